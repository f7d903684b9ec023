#include "apricot/cold_limit.h"

#include <math.h>
#include <string.h>

/* Longest cold time that is believed. A longer one is a defect of the backend
   server, which would otherwise keep its limit for hours. */
#define MAX_COLD_MS (10 * 60 * 1000)

/* Time for which a report holds beyond the cold time that it names. The cold
   time passes only while there is traffic, so its end has to be confirmed;
   two heartbeats, 0.87 s apart, arrive within this time. */
#define CONFIRMATION_MS 2000

/* Time within which the requests that the rate allows may follow each other at
   once, as in admission control. */
#define BURST_SPAN_S 0.25

/* Weight of a new sample in the moving average of the service time. */
#define SERVICE_TIME_SAMPLE_WEIGHT 0.1

/* Initializes the limit of a process that starts now. Until it is configured,
   there is none. */
void
AprColdLimit_Init(AprColdLimit_t *limit, int64_t now_ms)
{
    memset(limit, 0, sizeof(*limit));
    limit->created_ms = now_ms;
}

/* Returns the requests that may be sent after a time without any. An earlier
   process may have used the whole limit just before this one started, so that
   in the first window the allowance grows by the tolerated rate only. */
static double
accrue(const AprColdLimit_t *limit, double allowance, int64_t from_ms,
       int64_t to_ms)
{
    int64_t slow_until_ms = limit->created_ms + APR_COLD_WINDOW_MS;
    int64_t slow_ms = 0;

    if (from_ms < slow_until_ms) {
        slow_ms = (to_ms < slow_until_ms ? to_ms : slow_until_ms) - from_ms;
    }
    allowance += (limit->per_s < limit->rate ? limit->per_s : limit->rate) *
                 (double)slow_ms / 1000.0;
    allowance += limit->rate * (double)(to_ms - from_ms - slow_ms) / 1000.0;
    return allowance < limit->burst ? allowance : limit->burst;
}

/* Returns the send time of the request that came `back` requests before the
   next one; INT64_MIN / 2 if there was none. */
static int64_t
sent_before(const AprColdLimit_t *limit, int back)
{
    if ((uint64_t)back > limit->sent_count) {
        return INT64_MIN / 2;
    }
    return limit->sent_ms[(limit->sent_count - (uint64_t)back) %
                          APR_COLD_MAX_WINDOW_REQUESTS];
}

/* Returns the number of requests that were sent within the last window, as far
   as their send times are kept. */
int
AprColdLimit_CountRecent(const AprColdLimit_t *limit, int64_t now_ms)
{
    int count = 0;

    while (count < APR_COLD_MAX_WINDOW_REQUESTS &&
           sent_before(limit, count + 1) > now_ms - APR_COLD_WINDOW_MS) {
        count++;
    }
    return count;
}

/* Sets the allowance of a backend server that becomes cold: what the requests
   of the last window have left of it. A debt is not carried over, because the
   window limits the requests that were sent before. */
static void
reset_allowance(AprColdLimit_t *limit, int64_t now_ms)
{
    int64_t at_ms = now_ms - APR_COLD_WINDOW_MS;
    double allowance = limit->burst;

    if (at_ms <= limit->created_ms) {
        at_ms = limit->created_ms;
        allowance = 0;
    }
    for (int i = AprColdLimit_CountRecent(limit, now_ms); i > 0; i--) {
        int64_t sent_ms = sent_before(limit, i);

        allowance = accrue(limit, allowance, at_ms, sent_ms) - 1;
        at_ms = sent_ms;
    }
    allowance = accrue(limit, allowance, at_ms, now_ms);
    limit->allowance = allowance > 0 ? allowance : 0;
    limit->allowance_ms = now_ms;
}

/* Sets the limit: in any second, at most `per_s` * `over` + `slack` requests
   may arrive, and at least one. `per_s` of 0 or less ends the limit. The rate
   is `per_s` * `over`, or less if a window had no room for a burst of one
   request then. */
void
AprColdLimit_Configure(AprColdLimit_t *limit, double per_s, double over,
                       double slack, int64_t now_ms)
{
    double bound = floor(per_s * over + slack);
    double window_s = APR_COLD_WINDOW_MS / 1000.0;
    double rate = per_s * over;
    double burst;

    if (!isfinite(bound) || per_s <= 0) {
        limit->per_s = 0;
        return;
    }
    bound = fmin(fmax(bound, 1), APR_COLD_MAX_WINDOW_REQUESTS);
    rate = fmin(rate, fmax(bound - 1, 0.5) / window_s);
    burst = fmax(fmin(bound - rate * window_s, rate * BURST_SPAN_S), 1);
    if (limit->per_s == per_s && limit->rate == rate &&
        limit->window_limit == (int)bound) {
        return;
    }
    limit->per_s = per_s;
    limit->rate = rate;
    limit->burst = burst;
    limit->window_limit = (int)bound;
    reset_allowance(limit, now_ms);
}

/* Records the remaining cold time that the backend server reports; 0 if it is
   not cold. An implausible one counts as 0. The report is kept even if there
   is no limit yet. */
void
AprColdLimit_Report(AprColdLimit_t *limit, int64_t cold_left_ms,
                    int64_t now_ms)
{
    bool was_cold = AprColdLimit_IsCold(limit, now_ms);

    if (cold_left_ms <= 0 || cold_left_ms > MAX_COLD_MS) {
        limit->cold = false;
        return;
    }
    limit->cold = true;
    limit->cold_until_ms = now_ms + cold_left_ms;
    limit->valid_until_ms = limit->cold_until_ms + CONFIRMATION_MS;
    if (!was_cold) {
        reset_allowance(limit, now_ms);
    }
}

/* Returns whether the backend server is cold as far as known, and has a
   limit. */
bool
AprColdLimit_IsCold(const AprColdLimit_t *limit, int64_t now_ms)
{
    return limit->cold && limit->per_s > 0 && now_ms < limit->valid_until_ms;
}

/* Returns the remaining cold time by the last report; 0 if it is over. */
int64_t
AprColdLimit_RemainingMs(const AprColdLimit_t *limit, int64_t now_ms)
{
    return AprColdLimit_IsCold(limit, now_ms) && limit->cold_until_ms > now_ms
               ? limit->cold_until_ms - now_ms
               : 0;
}

/* Counts a request that is sent, also again or to the health path. Those sent
   to a warm backend server count as well: it may become cold before the window
   has passed. */
void
AprColdLimit_CountSent(AprColdLimit_t *limit, int64_t now_ms)
{
    if (limit->per_s <= 0) {
        return;
    }
    if (limit->cold) {
        limit->allowance =
            accrue(limit, limit->allowance, limit->allowance_ms, now_ms) - 1;
        limit->allowance_ms = now_ms;
    }
    limit->sent_ms[limit->sent_count++ % APR_COLD_MAX_WINDOW_REQUESTS] =
        now_ms;
}

/* Returns the milliseconds until the window has room for a request. */
static int64_t
window_wait_ms(const AprColdLimit_t *limit, int64_t now_ms)
{
    int64_t wait_ms =
        sent_before(limit, limit->window_limit) + APR_COLD_WINDOW_MS - now_ms;

    return wait_ms > 0 ? wait_ms : 0;
}

/* Returns whether the window has room for a request, even if the rate makes
   requests wait: a health probe may precede them. */
bool
AprColdLimit_HasRoom(const AprColdLimit_t *limit, int64_t now_ms)
{
    return !AprColdLimit_IsCold(limit, now_ms) ||
           window_wait_ms(limit, now_ms) == 0;
}

/* Returns the milliseconds, rounded up, until the next request may be sent. */
int64_t
AprColdLimit_WaitMs(const AprColdLimit_t *limit, int64_t now_ms)
{
    int64_t slow_until_ms = limit->created_ms + APR_COLD_WINDOW_MS;
    int64_t wait_ms;
    double missing;
    double rate = limit->rate;

    if (!AprColdLimit_IsCold(limit, now_ms)) {
        return 0;
    }
    wait_ms = window_wait_ms(limit, now_ms);
    missing = 1 - accrue(limit, limit->allowance, limit->allowance_ms, now_ms);
    if (missing > 0) {
        if (now_ms < slow_until_ms && limit->per_s < rate) {
            rate = limit->per_s;
        }
        wait_ms = (int64_t)fmax((double)wait_ms, ceil(missing * 1000 / rate));
    }
    return wait_ms;
}

/* Adds the service time of a request to the average. */
void
AprColdLimit_AddServiceTime(AprColdLimit_t *limit, double service_ms)
{
    if (limit->mean_service_ms <= 0) {
        limit->mean_service_ms = service_ms;
    }
    else {
        limit->mean_service_ms +=
            SERVICE_TIME_SAMPLE_WEIGHT * (service_ms - limit->mean_service_ms);
    }
}

/* Returns the number of slots that requests at the limit's rate occupy on
   average, at least 1 and at most `slots`; `slots` while not cold. */
int
AprColdLimit_UsableSlots(const AprColdLimit_t *limit, int slots,
                         int64_t now_ms)
{
    double used = limit->rate * limit->mean_service_ms / 1000.0;

    if (!AprColdLimit_IsCold(limit, now_ms) || used >= slots) {
        return slots;
    }
    return used < 1 ? 1 : (int)lround(used);
}
