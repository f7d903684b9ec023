#ifndef APRICOT_RATE_LIMIT_H
#define APRICOT_RATE_LIMIT_H

#include <stdbool.h>
#include <stdint.h>
#include <time.h>

/* The capacity of a bucket is its rate times this duration, at least one
   token. */
#define APR_RATE_BURST_MS 200

/* Token buckets of one service: one for the service as a whole, and one per
   caller in a table of bounded size. */
typedef struct AprRateLimit_t AprRateLimit_t;

typedef enum AprRateDecision_t {
    APR_RATE_OK,
    APR_RATE_CALLER_EXCEEDED, /* the caller exceeds its rate */
    APR_RATE_SERVICE_EXCEEDED /* the service exceeds its rate */
} AprRateDecision_t;

AprRateLimit_t *AprRateLimit_New(double caller_rate, double service_rate,
                                 uint32_t max_callers);
void AprRateLimit_Free(AprRateLimit_t *limit);
AprRateDecision_t AprRateLimit_TakeToken(AprRateLimit_t *limit,
                                         const char *caller,
                                         struct timespec now);

#endif
