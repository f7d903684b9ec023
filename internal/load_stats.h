#ifndef APRICOT_INTERNAL_LOAD_STATS_H
#define APRICOT_INTERNAL_LOAD_STATS_H

#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>

#include "internal/latency.h"
#include "internal/workload.h"

typedef enum AprLoadOutcome_t {
    APR_LOAD_ANSWERED,
    APR_LOAD_NOT_RUN,
    APR_LOAD_UNKNOWN,
    APR_LOAD_REJECTED,
    APR_LOAD_TRANSPORT_ERROR, /* no response, or an unknown outcome */
    APR_LOAD_OUTCOME_COUNT
} AprLoadOutcome_t;

typedef struct AprLoadRankStats_t {
    uint64_t sent;
    uint64_t outcomes[APR_LOAD_OUTCOME_COUNT];
    AprLatencyHistogram_t *latency; /* of answered requests; owned */
} AprLoadRankStats_t;

typedef struct AprLoadStats_t {
    AprLoadRankStats_t ranks[APR_MAX_RANKS];
    int rank_count;
    /* Requests without a free connection within their timeout, or dropped
       because the queue was full or memory ran out. */
    uint64_t not_sent;
    double last_answer_s; /* seconds since the start of the run */
    double longest_gap_s; /* longest time without an answered request */
} AprLoadStats_t;

bool AprLoadStats_Init(AprLoadStats_t *stats, int rank_count);
void AprLoadStats_Clear(AprLoadStats_t *stats);
AprLoadOutcome_t AprLoadStats_ParseOutcome(const char *header);
void AprLoadStats_RecordResult(AprLoadStats_t *stats, int rank,
                               AprLoadOutcome_t outcome, double due_s,
                               double now_s);
void AprLoadStats_Finish(AprLoadStats_t *stats, double now_s);
void AprLoadStats_PrintTable(const AprLoadStats_t *stats,
                             const AprWorkload_t *workload, FILE *file);
void AprLoadStats_PrintJson(const AprLoadStats_t *stats,
                            const AprWorkload_t *workload, FILE *file);

#endif
