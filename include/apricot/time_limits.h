#ifndef APRICOT_TIME_LIMITS_H
#define APRICOT_TIME_LIMITS_H

#include <stdint.h>

/* Estimates how long a caller has waited already when a request arrives, from
   the time that it still has. A caller that was refused comes back with the
   rest of its time limit, and its objective counts from the first attempt.
   Under overload most arrivals are such repeats: if they counted as new ones,
   slots would go to answers that are late for their callers. The callers of a
   route are taken to use similar time limits, within a fifth of one another.
   The code makes decisions only. */

#define APR_TIME_LIMIT_BUCKETS 112

/* Distribution of the time limits of the requests of one route. */
typedef struct AprTimeLimits_t {
    float counts[APR_TIME_LIMIT_BUCKETS]; /* by logarithm; they decay */
    float total;
    int samples_until_update;
    int64_t usual_ms; /* of a first attempt; 0: not known */
    int64_t least_ms; /* a first attempt has this much at least */
} AprTimeLimits_t;

int64_t AprTimeLimits_AddSample(AprTimeLimits_t *limits, int64_t limit_ms);

#endif
