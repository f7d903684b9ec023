#ifndef APRICOT_STOP_PLAN_H
#define APRICOT_STOP_PLAN_H

#include <stdbool.h>
#include <stdint.h>

/* Times of a planned stop, on the steady clock. Load pattern: callers keep
   connections open and all queues full, so that requests go on arriving until
   the process exits, and most of them wait. */
typedef struct AprStopPlan_t {
    int64_t started_ms;
    int64_t leave_ms;        /* earliest exit */
    int64_t accept_until_ms; /* requests with any time limit are accepted */
    int64_t finish_by_ms;    /* all responses are due */
    int64_t answer_by_ms;    /* callers that still wait get an answer */
    int64_t exit_ms;         /* latest exit */
} AprStopPlan_t;

void AprStopPlan_Init(AprStopPlan_t *plan, int64_t started_ms,
                      int64_t grace_ms);
bool AprStopPlan_Accepts(const AprStopPlan_t *plan, int64_t now_ms,
                         int64_t deadline_ms);
int64_t AprStopPlan_LimitDeadline(const AprStopPlan_t *plan,
                                  int64_t deadline_ms);

#endif
