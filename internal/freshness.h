#ifndef APRICOT_INTERNAL_FRESHNESS_H
#define APRICOT_INTERNAL_FRESHNESS_H

#include <stdbool.h>
#include <stdint.h>

/* Limits on the age of a host's copy of the store: the time since the copy was
   last known to be complete. */
typedef struct AprFreshness_t {
    int64_t deadline_ms;    /* a change must be in force after this time */
    int64_t watch_wait_ms;  /* longest time until a watch is answered */
    int64_t catch_up_ms;    /* time to reach the revision of another host */
    int64_t source_age_ms;  /* age at which the next source is tried */
    int64_t source_wait_ms; /* time that each further source is given */
    int64_t relay_age_ms;   /* age at which a relay watches the store itself */
    int64_t host_age_ms;    /* age at which any other host does */
} AprFreshness_t;

/* How far a host's copy of the store can be relied on. */
typedef enum AprCopyState_t {
    APR_COPY_UNCONFIRMED, /* it was never known to be complete */
    APR_COPY_RESTORED,    /* the store itself may be older than other hosts */
    APR_COPY_OUTDATED,    /* not within the deadline */
    APR_COPY_FRESH
} AprCopyState_t;

/* What a host knows about its copy of the store and the sources of changes. */
typedef struct AprSourceState_t {
    int64_t age_ms;    /* of the copy, which has been complete */
    int64_t source_ms; /* time since the present source is used */
    bool
        just_started; /* nothing has confirmed the copy since the first read */
    bool is_watcher;  /* watches the store for the others */
    bool is_relay;    /* passes changes on to the others */
    bool watching;    /* watches the store now */
    bool source_heard; /* a source has been fresh since `watching` began */
    bool store_reachable;
} AprSourceState_t;

AprFreshness_t AprFreshness_FromDeadline(double deadline_s);
AprCopyState_t AprFreshness_ClassifyCopy(const AprFreshness_t *freshness,
                                         int64_t age_ms);
const char *AprCopyState_Name(AprCopyState_t state);
bool AprFreshness_IsOutdated(const AprFreshness_t *freshness,
                             const AprSourceState_t *state);
bool AprFreshness_ShouldChangeSource(const AprFreshness_t *freshness,
                                     const AprSourceState_t *state);
bool AprFreshness_ShouldWatch(const AprFreshness_t *freshness,
                              const AprSourceState_t *state);

#endif
