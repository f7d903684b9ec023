/* When a host looks for another source of the store's changes. */

#include "internal/freshness.h"

/* Parts of the deadline. A watch that is answered, passed on over two hops and
   a tick late stays below SOURCE_AGE_PART. Hosts watch the store themselves
   when two further sources have been tried, which leaves a quarter of the
   deadline for the read. Relays do so earlier, so that most hosts need not. */
#define WATCH_WAIT_PART 0.25
#define CATCH_UP_PART 0.35
#define SOURCE_AGE_PART 0.45
#define SOURCE_WAIT_PART 0.15
#define RELAY_AGE_PART 0.6
#define HOST_AGE_PART 0.75

/* Returns the limits for a time within which changes must be in force. */
AprFreshness_t
AprFreshness_FromDeadline(double deadline_s)
{
    double deadline_ms = deadline_s * 1000.0;
    AprFreshness_t freshness = {
        .deadline_ms = (int64_t)deadline_ms,
        .watch_wait_ms = (int64_t)(WATCH_WAIT_PART * deadline_ms),
        .catch_up_ms = (int64_t)(CATCH_UP_PART * deadline_ms),
        .source_age_ms = (int64_t)(SOURCE_AGE_PART * deadline_ms),
        .source_wait_ms = (int64_t)(SOURCE_WAIT_PART * deadline_ms),
        .relay_age_ms = (int64_t)(RELAY_AGE_PART * deadline_ms),
        .host_age_ms = (int64_t)(HOST_AGE_PART * deadline_ms),
    };

    return freshness;
}

/* Returns the state of a copy that was last known to be complete `age_ms` ago;
   -1: never. */
AprCopyState_t
AprFreshness_ClassifyCopy(const AprFreshness_t *freshness, int64_t age_ms)
{
    if (age_ms < 0) {
        return APR_COPY_UNCONFIRMED;
    }
    return age_ms > freshness->deadline_ms ? APR_COPY_OUTDATED
                                           : APR_COPY_FRESH;
}

/* Returns the name of a state in logs and metrics. */
const char *
AprCopyState_Name(AprCopyState_t state)
{
    switch (state) {
    case APR_COPY_UNCONFIRMED:
        return "unconfirmed";
    case APR_COPY_RESTORED:
        return "restored";
    case APR_COPY_OUTDATED:
        return "outdated";
    default:
        return "fresh";
    }
}

/* Returns whether the present source should have confirmed the copy by now. */
bool
AprFreshness_IsOutdated(const AprFreshness_t *freshness,
                        const AprSourceState_t *state)
{
    return state->age_ms > freshness->source_age_ms;
}

/* Returns whether to go on to the next source: the copy is outdated, and the
   present source had time to change that; or the host keeps the copy complete
   by watches that a source could spare it. When hosts start together, the
   sources have nothing to pass on yet, and all hosts would leave the nearest
   one. */
bool
AprFreshness_ShouldChangeSource(const AprFreshness_t *freshness,
                                const AprSourceState_t *state)
{
    if (state->just_started) {
        return state->source_ms > freshness->host_age_ms;
    }
    if (AprFreshness_IsOutdated(freshness, state)) {
        return state->source_ms > freshness->source_wait_ms;
    }
    return state->watching && !state->is_watcher && !state->source_heard &&
           state->source_ms > freshness->deadline_ms;
}

/* Returns whether this host watches the store. A host that is not a watcher
   does so while it has no fresh source, but not during an outage of the store,
   in which the watches of all hosts would fail. */
bool
AprFreshness_ShouldWatch(const AprFreshness_t *freshness,
                         const AprSourceState_t *state)
{
    if (state->is_watcher) {
        return true;
    }
    if (!state->store_reachable) {
        return false;
    }
    if (state->watching) {
        return !state->source_heard;
    }
    return state->age_ms > (state->is_relay ? freshness->relay_age_ms
                                            : freshness->host_age_ms);
}
