#include "apricot/stop_plan.h"

#include <glib.h>

/* Least time from the stop signal to the exit. Callers poll the readiness once
   a second and move to other hosts within this time. */
#define LEAVE_MIN_MS 2600

/* The process exits this long before it would be killed. */
#define EXIT_MARGIN_MS 400

/* Time between the last response from a backend server and the exit, in which
   it is passed on over a link and to the caller, or the request times out. */
#define FINISH_MARGIN_MS 300

/* Time between the answers to all callers that still wait and the exit. */
#define ANSWER_MARGIN_MS 100

/* Fills in the times of a stop that started at `started_ms` and in which the
   process is killed after `grace_ms`. */
void
AprStopPlan_Init(AprStopPlan_t *plan, int64_t started_ms, int64_t grace_ms)
{
    int64_t limit_ms = grace_ms > 2 * EXIT_MARGIN_MS
                           ? grace_ms - EXIT_MARGIN_MS
                           : grace_ms / 2;

    plan->started_ms = started_ms;
    plan->leave_ms = started_ms + MIN(LEAVE_MIN_MS, limit_ms / 2);
    plan->accept_until_ms = plan->leave_ms;
    plan->exit_ms = started_ms + limit_ms;
    plan->finish_by_ms = plan->exit_ms - MIN(FINISH_MARGIN_MS, limit_ms / 2);
    plan->answer_by_ms = plan->exit_ms - MIN(ANSWER_MARGIN_MS, limit_ms / 4);
}

/* Returns whether a request that arrives now may be sent to a backend server.
   Later in the stop, only those are accepted that can't outlast it: the others
   are better sent again to the next process than cut off. */
bool
AprStopPlan_Accepts(const AprStopPlan_t *plan, int64_t now_ms,
                    int64_t deadline_ms)
{
    return now_ms <= plan->accept_until_ms ||
           deadline_ms <= plan->finish_by_ms;
}

/* Returns the deadline of a request, or the time by which all responses are
   due if that is earlier. */
int64_t
AprStopPlan_LimitDeadline(const AprStopPlan_t *plan, int64_t deadline_ms)
{
    return MIN(deadline_ms, plan->finish_by_ms);
}
