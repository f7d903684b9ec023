#ifndef APRICOT_RATE_LIMIT_H
#define APRICOT_RATE_LIMIT_H

#include <stdbool.h>
#include <stdint.h>
#include <time.h>

/* A bucket holds the tokens of this time, at least one. */
#define APR_RATE_BURST_MS 200

/* Token buckets: one for the service, one per caller in a bounded table. */
typedef struct AprRateLimit_t AprRateLimit_t;

typedef enum AprRateVerdict_t {
    APR_RATE_OK,
    APR_RATE_CALLER, /* the caller is over its rate */
    APR_RATE_SERVICE /* the service is over its rate */
} AprRateVerdict_t;

AprRateLimit_t *AprRateLimit_New(double caller_rate, double service_rate,
                                 uint32_t max_callers);
void AprRateLimit_Free(AprRateLimit_t *limit);
AprRateVerdict_t AprRateLimit_Take(AprRateLimit_t *limit, const char *caller,
                                   struct timespec now);

#endif
