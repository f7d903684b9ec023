#ifndef APRICOT_INTERNAL_WORKLOAD_H
#define APRICOT_INTERNAL_WORKLOAD_H

#include <stdint.h>

#include "apricot/error.h"
#include "apricot/rank_queue.h"

#define APR_LOAD_NAME_SIZE 64
#define APR_LOAD_MAX_TARGETS 64
#define APR_UUID_TEXT_SIZE 37

typedef struct AprLoadRank_t {
    char name[APR_LOAD_NAME_SIZE];
    double share; /* of the requests; all together 1 */
    int timeout_ms;
    char operation[APR_LOAD_NAME_SIZE];
} AprLoadRank_t;

typedef struct AprWorkload_t {
    char targets[APR_LOAD_MAX_TARGETS][APR_LOAD_NAME_SIZE]; /* IP:port */
    int target_count;
    AprLoadRank_t ranks[APR_MAX_RANKS];
    int rank_count;
    const char *service;
    const char *key_prefix;
    const char *caller;
    const char *token; /* bearer token, NULL: none */
    double rate;       /* requests per second */
    double duration_s;
    int keys;
    double skew; /* exponent of the Zipf distribution; 0: uniform */
    int connections;
    unsigned long seed;
} AprWorkload_t;

typedef struct AprArrival_t {
    double at_s; /* since the start */
    int rank;
    int target;
    int key;
} AprArrival_t;

/* Seeded source of the requests of a workload. */
typedef struct AprArrivals_t AprArrivals_t;

int AprWorkload_SetTargets(AprWorkload_t *workload, const char *text,
                           AprError_t *error);
int AprWorkload_SetRanks(AprWorkload_t *workload, const char *text,
                         AprError_t *error);
int AprWorkload_Check(const AprWorkload_t *workload, AprError_t *error);
AprArrivals_t *AprArrivals_New(const AprWorkload_t *workload);
void AprArrivals_Free(AprArrivals_t *arrivals);
AprArrival_t AprArrivals_Next(AprArrivals_t *arrivals);
void AprUuid7_Text(int64_t wall_ms, char text[APR_UUID_TEXT_SIZE]);

#endif
