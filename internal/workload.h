#ifndef APRICOT_INTERNAL_WORKLOAD_H
#define APRICOT_INTERNAL_WORKLOAD_H

#include <stdint.h>

#include "apricot/error.h"
#include "apricot/rank_queue.h"

#define APR_LOAD_NAME_SIZE 64
#define APR_LOAD_MAX_TARGETS 64
#define APR_UUID_TEXT_SIZE 37

/* Requests of one rank in a workload. */
typedef struct AprLoadRank_t {
    char name[APR_LOAD_NAME_SIZE];
    double share; /* fraction of the requests; the sum over ranks is 1 */
    int timeout_ms;
    char operation[APR_LOAD_NAME_SIZE];
} AprLoadRank_t;

/* Load to generate. The strings are borrowed. */
typedef struct AprWorkload_t {
    char targets[APR_LOAD_MAX_TARGETS][APR_LOAD_NAME_SIZE]; /* IP:port */
    int target_count;
    AprLoadRank_t ranks[APR_MAX_RANKS];
    int rank_count;
    const char *service;
    const char *key_prefix;
    const char *caller;
    const char *token; /* bearer token; NULL: send none */
    double rate_per_s; /* mean number of requests per second */
    double duration_s;
    int key_count;
    double skew;     /* exponent of the Zipf distribution; 0: uniform */
    int connections; /* maximum number, divided evenly among the ranks */
    unsigned long seed;
} AprWorkload_t;

/* One request of the arrival process. */
typedef struct AprArrival_t {
    double due_s; /* seconds since the start of the run */
    int rank_index;
    int target_index;
    int key_index;
} AprArrival_t;

/* Seeded generator of the arrival process of a workload. */
typedef struct AprArrivals_t AprArrivals_t;

int AprWorkload_ParseTargets(AprWorkload_t *workload, const char *text,
                             AprError_t *error);
int AprWorkload_ParseRanks(AprWorkload_t *workload, const char *text,
                           AprError_t *error);
int AprWorkload_Validate(const AprWorkload_t *workload, AprError_t *error);
AprArrivals_t *AprArrivals_New(const AprWorkload_t *workload);
void AprArrivals_Free(AprArrivals_t *arrivals);
AprArrival_t AprArrivals_Next(AprArrivals_t *arrivals);
void AprUuid7_Format(int64_t wall_ms, char text[APR_UUID_TEXT_SIZE]);

#endif
