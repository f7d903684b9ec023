#ifndef APRICOT_KEY_WARMUP_H
#define APRICOT_KEY_WARMUP_H

#include <stdbool.h>
#include <stdint.h>

#include "apricot/grant_table.h"

/* Keys that a backend server got without a handover token and that it serves
   slowly for some time. The code makes decisions only; times are milliseconds
   of a monotonic clock. */

/* Most ranges of keys that are known to be held, and to be slow. Service times
   of keys beyond these count as usual. */
#define APR_MAX_HELD_RANGES 1024
#define APR_MAX_SLOW_RANGES 256

typedef struct AprHeldRange_t {
    int first;
    int last;
} AprHeldRange_t;

typedef struct AprSlowRange_t {
    int first;
    int last;
    int64_t until_ms;
} AprSlowRange_t;

/* State of one backend server. Initialized with zeros. */
typedef struct AprKeyWarmup_t {
    AprHeldRange_t held[APR_MAX_HELD_RANGES];
    int held_count;
    AprSlowRange_t slow[APR_MAX_SLOW_RANGES];
    int slow_count;
} AprKeyWarmup_t;

void AprKeyWarmup_Reset(AprKeyWarmup_t *warmup);
void AprKeyWarmup_SetHeld(AprKeyWarmup_t *warmup, const AprGrant_t *held,
                          int count);
int AprKeyWarmup_AddGrants(AprKeyWarmup_t *warmup, const AprGrant_t *grants,
                           int count, int64_t warm_ms, int64_t now_ms);
bool AprKeyWarmup_IsSlow(const AprKeyWarmup_t *warmup, int key,
                         int64_t now_ms);

#endif
