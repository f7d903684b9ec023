#ifndef APRICOT_KEY_PLAN_H
#define APRICOT_KEY_PLAN_H

#include <stdbool.h>

#include "apricot/key_map.h"

/* Plans the distribution of keys over hosts. The code makes decisions only. */

/* A host whose backend server may be assigned keys. */
typedef struct AprKeyCandidate_t {
    char host[APR_NAME_SIZE];
    double load; /* demand divided by capacity */
    int slots;
    int keys; /* number of keys that it owns */
} AprKeyCandidate_t;

#define APR_KEY_BUCKETS 4096
#define APR_KEYS_PER_BUCKET (APR_KEY_COUNT / APR_KEY_BUCKETS)

/* Recent demand per bucket of adjacent keys, in milliseconds of service time.
   The caller lets it decay at regular intervals. Plans depend only on the
   proportions between the buckets. */
typedef struct AprKeyDemand_t {
    float bucket_ms[APR_KEY_BUCKETS];
} AprKeyDemand_t;

/* Returns whether the previous holder of a range has released it or its grant
   has expired. */
typedef bool (*AprKeyReleased_t)(const void *context,
                                 const AprKeyRange_t *range);

int AprKeyPlan_Distribute(AprKeyMap_t *map, const char *host,
                          AprKeyCandidate_t *candidates, int count,
                          const char *releasing_host,
                          AprKeyReleased_t is_released, const void *context);
int AprKeyPlan_Rebalance(AprKeyMap_t *map, const char *host, double *own_load,
                         int own_slots, AprKeyDemand_t *demand,
                         AprKeyCandidate_t *candidates, int count);
void AprKeyDemand_Add(AprKeyDemand_t *demand, int key, double cost_ms);
void AprKeyDemand_Decay(AprKeyDemand_t *demand, double factor);

#endif
