#include "apricot/grant_waits.h"

#include <string.h>

/* A request whose objective cannot be met waits if its expected answer comes
   within this fraction of the time from its arrival to its deadline, as in
   admission control. */
#define LATE_ANSWER_FRACTION 0.8

/* Shortest delay that is returned with a refusal. */
#define RETRY_AFTER_MIN_MS 20

/* Whether a request that starts at `start_ms` is expected to be answered in
   time for its objective, or else for its deadline. */
static bool
is_in_time(const AprAdmissionRequest_t *request, double start_ms)
{
    double end_ms = start_ms + request->expected_service_ms +
                    request->service_deviation_ms;
    double span_ms = (double)(request->deadline_ms - request->arrived_ms);

    return end_ms <= (double)request->objective_ms ||
           end_ms <=
               (double)request->arrived_ms + LATE_ANSWER_FRACTION * span_ms;
}

/* Returns the time that the first `count` entries keep the slots busy. */
static double
work_ahead_ms(const AprGrantWaits_t *waits, int count, int slots)
{
    double sum_ms = 0;

    for (int i = 0; i < count; i++) {
        sum_ms += waits->entries[i].request.expected_service_ms;
    }
    return sum_ms / (slots > 0 ? slots : 1);
}

/* Decides whether a request waits for the grant of its key, which is expected
   at `grant_ms` (INT64_MAX: never), and keeps a copy of it in that case. The
   requests that wait already start first, and so do those of the queue, which
   would let the request start after `queue_wait_ms` now. `request` has its
   expected service time. */
AprAdmissionDecision_t
AprGrantWaits_Offer(AprGrantWaits_t *waits,
                    const AprAdmissionRequest_t *request, int key, int slots,
                    int64_t queue_wait_ms, int64_t grant_ms, int64_t now_ms)
{
    double start_ms = (double)(grant_ms > now_ms ? grant_ms : now_ms);
    AprAdmissionDecision_t decision = {0};

    if (grant_ms == INT64_MAX) {
        return decision;
    }
    if ((double)(now_ms + queue_wait_ms) > start_ms) {
        start_ms = (double)(now_ms + queue_wait_ms);
    }
    start_ms += work_ahead_ms(waits, waits->count, slots);
    decision.wait_ms = (int64_t)start_ms - now_ms;
    decision.retry_after_ms = decision.wait_ms > RETRY_AFTER_MIN_MS
                                  ? decision.wait_ms
                                  : RETRY_AFTER_MIN_MS;
    if (waits->count < APR_MAX_GRANT_WAITS && is_in_time(request, start_ms)) {
        waits->entries[waits->count].request = *request;
        waits->entries[waits->count++].key = key;
        decision.admitted = true;
    }
    return decision;
}

/* Returns whether an entry is still expected to be answered in time if its key
   is granted at `grant_ms`. */
bool
AprGrantWaits_IsWorthWaiting(const AprGrantWaits_t *waits, int index,
                             int slots, int64_t grant_ms, int64_t now_ms)
{
    double start_ms = (double)(grant_ms > now_ms ? grant_ms : now_ms);

    return is_in_time(&waits->entries[index].request,
                      start_ms + work_ahead_ms(waits, index, slots));
}

/* Removes an entry. Returns whether there was one. */
bool
AprGrantWaits_Remove(AprGrantWaits_t *waits, uint64_t id)
{
    for (int i = 0; i < waits->count; i++) {
        if (waits->entries[i].request.id == id) {
            memmove(&waits->entries[i], &waits->entries[i + 1],
                    (size_t)(waits->count - i - 1) *
                        sizeof(waits->entries[0]));
            waits->count--;
            return true;
        }
    }
    return false;
}
