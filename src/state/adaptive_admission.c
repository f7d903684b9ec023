#include "internal/adaptive_admission.h"

#include <math.h>
#include <stddef.h>

/* Minimum share of the service time of a rank or kind that has queued
   requests; the same value as in admission.c. */
#define MIN_SHARE 0.15

/* Least probability of a timely answer with which a request starts before
   those of lower rank. With 0.93, fewer requests of rank 0 are answered in
   time at 0.9 times the capacity (0.877 instead of 0.932,
   test_admission_uneven). */
#define MIN_START_PROBABILITY 0.6

/* Least probability of a timely answer with which a request is queued in
   overload. With 0.5, fewer requests of rank 0 are answered in time at 2.1
   times the capacity (0.668 instead of 0.684); with 0.8, fewer of rank 1
   at 1.2 times (0.348 instead of 0.357). */
#define MIN_QUEUE_PROBABILITY 0.65

/* Time constant of the demand by rank. */
#define DEMAND_MS 1000.0

/* Demand of a rank and those before it, relative to the capacity, from which
   requests of the rank that would be late are refused. Below it, a late
   request waits until no timely one does. With the demand of all ranks
   instead, fewer requests of rank 0 are answered in time at 1.2 times the
   capacity (0.876 instead of 0.922, test_admission_uneven). */
#define OVERLOAD_DEMAND 0.9

/* A late answer has to be expected within this fraction of the time from the
   arrival of a request to its deadline. */
#define LATE_ANSWER_FRACTION 0.8

/* Expected service time of a request whose kind has no samples, as a fraction
   of the time from its arrival to its objective, and the deviation of its
   logarithm. */
#define INITIAL_SERVICE_TIME_FRACTION 0.33
#define INITIAL_LOG_DEVIATION 0.5

/* Lower bound of the remaining work of a running request, as a fraction of its
   expected work. */
#define MIN_REMAINING_FRACTION 0.3

/* Least delay after which a refused caller should come back. */
#define RETRY_MIN_MS 20.0

/* Sets the expected service time of a request at pace 1. */
void
AprAdaptiveAdmission_SetCost(AprAdmission_t *admission,
                             AprAdmissionRequest_t *request, int64_t now_ms)
{
    AprCostEstimate_t estimate;
    double span_ms = (double)(request->objective_ms - request->arrived_ms);

    (void)now_ms;
    if (AprCostModel_Estimate(admission->costs, request->kind,
                              request->size_class, APR_COST_ANY_CALLS,
                              &estimate)) {
        request->expected_service_ms = estimate.mean_ms;
        request->service_deviation_ms = estimate.deviation_ms;
        request->log_mean = estimate.log_mean;
        request->log_deviation = estimate.log_deviation;
        return;
    }
    request->expected_service_ms =
        INITIAL_SERVICE_TIME_FRACTION * (span_ms > 0 ? span_ms : 0);
    request->service_deviation_ms = 0;
    request->log_mean = log(fmax(request->expected_service_ms, 1));
    request->log_deviation = INITIAL_LOG_DEVIATION;
}

/* Returns the index of a request's demand: nested calls precede all ranks. */
static int
demand_class(const AprAdmissionRequest_t *request)
{
    return request->nested ? 0 : request->rank + 1;
}

/* Adds the work of an arrived request to the demand, also if it is refused. */
void
AprAdaptiveAdmission_AddDemand(AprAdmission_t *admission,
                               const AprAdmissionRequest_t *request,
                               int64_t now_ms)
{
    double kept =
        exp(-(double)(now_ms - admission->demand_updated_ms) / DEMAND_MS);

    for (int i = 0; i <= APR_ADMISSION_MAX_RANKS; i++) {
        admission->demand_ms[i] *= kept;
    }
    admission->demand_updated_ms = now_ms;
    admission->demand_ms[demand_class(request)] +=
        request->expected_service_ms;
}

/* Returns the demand of the classes before `end`, relative to the capacity. */
static double
relative_demand(const AprAdmission_t *admission, int end, int64_t now_ms)
{
    double kept =
        exp(-(double)(now_ms - admission->demand_updated_ms) / DEMAND_MS);
    double demand_ms = 0;

    for (int i = 0; i < end; i++) {
        demand_ms += admission->demand_ms[i];
    }
    return demand_ms * kept *
           AprCostModel_UsualPace(admission->costs, now_ms) /
           (DEMAND_MS * admission->slots);
}

/* Returns the probability that a request is answered within its objective if
   it starts after `wait_ms`. */
static double
timely_probability(const AprAdmission_t *admission,
                   const AprAdmissionRequest_t *request, int64_t now_ms,
                   double wait_ms)
{
    return AprCostModel_ProbabilityWithin(
        admission->costs, request->log_mean, request->log_deviation,
        (double)(request->objective_ms - now_ms), wait_ms, now_ms);
}

/* Whether a request is expected to be answered within its objective if it
   starts now. A nested call always is: without its answer the work of its
   caller is lost. */
static bool
is_timely(const AprAdmission_t *admission,
          const AprAdmissionRequest_t *request, int64_t now_ms)
{
    return request->nested || timely_probability(admission, request, now_ms,
                                                 0) >= MIN_START_PROBABILITY;
}

/* Whether `left` starts before `right`: nested calls first, then timely
   requests, by rank and then by objective. Arrival and id break ties. */
static bool
starts_before(const AprAdmission_t *admission,
              const AprAdmissionRequest_t *left,
              const AprAdmissionRequest_t *right, int64_t now_ms)
{
    bool left_timely;
    bool right_timely;

    if (left->nested != right->nested) {
        return left->nested;
    }
    left_timely = is_timely(admission, left, now_ms);
    right_timely = is_timely(admission, right, now_ms);
    if (left_timely != right_timely) {
        return left_timely;
    }
    if (left->rank != right->rank) {
        return left->rank < right->rank;
    }
    if (left->objective_ms != right->objective_ms) {
        return left->objective_ms < right->objective_ms;
    }
    if (left->arrived_ms != right->arrived_ms) {
        return left->arrived_ms < right->arrived_ms;
    }
    return left->id < right->id;
}

/* Returns the remaining work of a running request at pace 1. The calls that it
   has made tell more about it than its kind alone. */
static double
remaining_work_ms(const AprAdmission_t *admission,
                  const AprRunningRequest_t *running, int64_t now_ms)
{
    AprCostEstimate_t estimate;
    double work_ms = running->expected_service_ms;
    double done_ms = AprCostModel_Progress(admission->costs, now_ms) -
                     running->started_progress;

    if (running->calls > 0 &&
        AprCostModel_Estimate(admission->costs, running->kind,
                              running->size_class, running->calls,
                              &estimate)) {
        work_ms = estimate.mean_ms;
    }
    return fmax(work_ms - done_ms, MIN_REMAINING_FRACTION * work_ms);
}

/* Returns the work of all running and queued requests at pace 1, in
   milliseconds of service time. */
double
AprAdmission_RemainingWorkMs(const AprAdmission_t *admission, int64_t now_ms)
{
    double work_ms = 0;

    if (admission->costs == NULL) {
        return 0;
    }
    for (int i = 0; i < admission->running_count; i++) {
        work_ms +=
            remaining_work_ms(admission, &admission->running[i], now_ms);
    }
    for (int i = 0; i < admission->queue_count; i++) {
        work_ms += admission->queue[i].expected_service_ms;
    }
    return work_ms;
}

static int
find_earliest_slot(const double *free_after_ms, int slots)
{
    int best = 0;

    for (int i = 1; i < slots; i++) {
        if (free_after_ms[i] < free_after_ms[best]) {
            best = i;
        }
    }
    return best;
}

/* Returns the expected time in milliseconds until a request starts: after the
   requests that precede it and those that will arrive and precede it, or by
   the minimum share of its kind if that is earlier. */
double
AprAdaptiveAdmission_WaitMs(const AprAdmission_t *admission,
                            const AprAdmissionRequest_t *request,
                            int64_t now_ms)
{
    double free_after_ms[APR_ADMISSION_MAX_SLOTS] = {0};
    int slots = admission->slots;
    double own_kind_ms = request->expected_service_ms / 2;
    double first_free_ms;
    double order_ms;
    double share_ms;
    double limit_ms;
    int ahead = 0;

    for (int i = 0; i < admission->running_count; i++) {
        int slot = i < slots ? i : find_earliest_slot(free_after_ms, slots);

        free_after_ms[slot] +=
            remaining_work_ms(admission, &admission->running[i], now_ms);
    }
    first_free_ms = free_after_ms[find_earliest_slot(free_after_ms, slots)];
    for (int i = 0; i < admission->queue_count; i++) {
        const AprAdmissionRequest_t *other = &admission->queue[i];

        if (other->id != request->id &&
            starts_before(admission, other, request, now_ms)) {
            free_after_ms[find_earliest_slot(free_after_ms, slots)] +=
                other->expected_service_ms;
            own_kind_ms +=
                other->kind == request->kind ? other->expected_service_ms : 0;
            ahead++;
        }
    }
    order_ms = free_after_ms[find_earliest_slot(free_after_ms, slots)];
    if (!request->nested) {
        order_ms /= fmax(
            MIN_SHARE,
            1 - relative_demand(admission, demand_class(request), now_ms));
        share_ms = first_free_ms + own_kind_ms / (MIN_SHARE * slots);
        order_ms = fmin(order_ms, share_ms);
    }
    order_ms = AprCostModel_ElapsedMs(admission->costs, order_ms, now_ms);
    limit_ms = AprAdmission_LimitWaitMs(admission, ahead, now_ms);
    return fmax(order_ms, limit_ms);
}

/* Whether a request should be refused that starts after `wait_ms`. A nested
   call is refused only if it may not be answered by its deadline. Others are
   refused when they would be late, unless there is room for late answers: a
   free slot, or a demand below the capacity. An
   idle backend server refuses nothing that has time left, as in
   admission.c. */
bool
AprAdaptiveAdmission_ShouldReject(const AprAdmission_t *admission,
                                  const AprAdmissionRequest_t *request,
                                  int64_t now_ms, double wait_ms)
{
    double end_ms =
        (double)now_ms + wait_ms +
        AprCostModel_ElapsedMs(admission->costs, request->expected_service_ms,
                               now_ms);
    double span_ms = (double)(request->deadline_ms - request->arrived_ms);

    if (wait_ms <= 0 && admission->running_count == 0) {
        return now_ms >= request->deadline_ms;
    }
    if (request->nested) {
        return end_ms > (double)request->deadline_ms;
    }
    if (timely_probability(admission, request, now_ms, wait_ms) >=
        MIN_QUEUE_PROBABILITY) {
        return false;
    }
    if (wait_ms > 0 && relative_demand(admission, demand_class(request) + 1,
                                       now_ms) > OVERLOAD_DEMAND) {
        return true;
    }
    return end_ms >
           (double)request->arrived_ms + LATE_ANSWER_FRACTION * span_ms;
}

/* Returns the index of the queued request that starts next. The minimum share
   of a kind goes to a timely request only, and not before nested calls. The
   queue must not be empty. */
int
AprAdaptiveAdmission_FindNext(const AprAdmission_t *admission,
                              uint32_t underserved_kind, int64_t now_ms)
{
    int best = 0;
    int best_of_kind = -1;

    for (int i = 0; i < admission->queue_count; i++) {
        const AprAdmissionRequest_t *request = &admission->queue[i];

        if (starts_before(admission, request, &admission->queue[best],
                          now_ms)) {
            best = i;
        }
        if (request->kind == underserved_kind &&
            is_timely(admission, request, now_ms) &&
            (best_of_kind < 0 ||
             starts_before(admission, request, &admission->queue[best_of_kind],
                           now_ms))) {
            best_of_kind = i;
        }
    }
    return best_of_kind >= 0 && !admission->queue[best].nested ? best_of_kind
                                                               : best;
}

/* Returns a number from 0 to 1 that spreads requests by their ids. */
static double
spread_by_id(uint64_t id)
{
    return (double)((id * 0x9e3779b97f4a7c15u) >> 40) / (double)(1 << 24);
}

/* Returns the delay in milliseconds after which the caller of a refused
   request should come back: from the time at which the queue is short enough
   until all work that is here now is done, spread by the id, so that the
   callers do not return together. It is at most a third of the time that the
   caller has. */
int64_t
AprAdaptiveAdmission_RetryDelayMs(const AprAdmission_t *admission,
                                  const AprAdmissionRequest_t *request,
                                  int64_t now_ms, double wait_ms)
{
    double service_ms = AprCostModel_ElapsedMs(
        admission->costs, request->expected_service_ms, now_ms);
    double slack_ms = (double)(request->objective_ms - now_ms) - service_ms;
    double work_ms = AprAdmission_RemainingWorkMs(admission, now_ms);
    double most_ms = (double)(request->deadline_ms - now_ms) / 3;
    double first_ms = fmax(RETRY_MIN_MS, wait_ms - fmax(slack_ms, 0));
    double last_ms =
        first_ms + AprCostModel_ElapsedMs(admission->costs,
                                          work_ms / admission->slots, now_ms);

    last_ms = fmin(last_ms, most_ms);
    first_ms = fmin(first_ms, last_ms / 2);
    return (int64_t)fmax(1, first_ms + spread_by_id(request->id) *
                                           (last_ms - first_ms));
}
