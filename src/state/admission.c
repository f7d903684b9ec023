#include "apricot/admission.h"

#include <math.h>
#include <string.h>

#include "internal/adaptive_admission.h"

/* Minimum share of the service time of each kind that has queued requests.
   Without it a flood of urgent requests would starve the other kinds. */
#define MIN_KIND_SHARE 0.15

/* Upper bound of the sum of the minimum shares of all kinds; the rest of the
   service time is assigned by urgency. */
#define MAX_TOTAL_KIND_SHARE 0.5

/* Weight of a new sample in the moving average of a kind's service time. */
#define SERVICE_TIME_SAMPLE_WEIGHT 0.1

/* Expected service time of a kind without samples, as a fraction of the time
   from arrival to the objective. */
#define INITIAL_SERVICE_TIME_FRACTION 0.33

/* A request that cannot meet its objective is still queued if its expected
   answer comes within this fraction of the time from its arrival to its
   deadline. The rest is a margin for requests that run for longer. */
#define LATE_ANSWER_FRACTION 0.8

/* Lower bound of the expected remaining time of a running request, as a
   fraction of its expected service time. A request that has run for longer
   than expected is expected to need this much more. */
#define MIN_REMAINING_FRACTION 0.3

/* Time within which the starts that a limit allows may follow each other at
   once, so that a short pause in the arrivals does not waste them. */
#define ALLOWANCE_SPAN_MS 250.0

/* Least limit that is kept. Without any response the backend server could not
   tell that it takes more again. */
#define MIN_REQUEST_LIMIT 0.25

/* Places in the queue that only nested calls may take, with a cost model. */
#define NESTED_QUEUE 64

/* Bounds of the retry delay that is returned with a rejection. */
#define RETRY_AFTER_MIN_MS 20
#define RETRY_AFTER_MAX_MS 2000

/* Initializes an empty queue for a backend server with `slots` slots, limited
   to the range 1 to APR_ADMISSION_MAX_SLOTS. */
void
AprAdmission_Init(AprAdmission_t *admission, int slots)
{
    memset(admission, 0, sizeof(*admission));
    admission->request_limit = APR_NO_REQUEST_LIMIT;
    admission->slots = slots < 1 ? 1 : slots;
    if (admission->slots > APR_ADMISSION_MAX_SLOTS) {
        admission->slots = APR_ADMISSION_MAX_SLOTS;
    }
}

static bool
is_limited(const AprAdmission_t *admission)
{
    return admission->request_limit >= 0;
}

/* Returns the number of requests that may start now. */
static double
current_allowance(const AprAdmission_t *admission, int64_t now_ms)
{
    double most = admission->request_limit * ALLOWANCE_SPAN_MS / 1000.0;
    double allowance = admission->allowance +
                       admission->request_limit *
                           (double)(now_ms - admission->allowance_ms) / 1000.0;

    if (most < 1) {
        most = 1;
    }
    return allowance < most ? allowance : most;
}

/* Sets the number of requests a second that the backend server takes;
   APR_NO_REQUEST_LIMIT ends the limit. The requests that run when a limit
   becomes known count against it: after a restart of this process, they were
   sent under a limit that the earlier process knew. */
void
AprAdmission_SetRequestLimit(AprAdmission_t *admission, double per_s,
                             int64_t now_ms)
{
    if (per_s >= 0 && per_s < MIN_REQUEST_LIMIT) {
        per_s = MIN_REQUEST_LIMIT;
    }
    if (is_limited(admission) && per_s >= 0) {
        admission->allowance = current_allowance(admission, now_ms);
    }
    else {
        admission->allowance = -admission->running_count;
    }
    admission->allowance_ms = now_ms;
    admission->request_limit = per_s;
}

/* Lets no request start within `wait_ms`, if there is a limit. The expected
   waits follow. */
void
AprAdmission_DelayStarts(AprAdmission_t *admission, int64_t wait_ms,
                         int64_t now_ms)
{
    double most = 1 - (double)wait_ms * admission->request_limit / 1000.0;

    if (is_limited(admission) && wait_ms > 0 &&
        current_allowance(admission, now_ms) > most) {
        admission->allowance = most;
        admission->allowance_ms = now_ms;
    }
}

/* Counts a request that is sent to the backend server, for the first time or
   again, against its limit. */
void
AprAdmission_CountSent(AprAdmission_t *admission, int64_t now_ms)
{
    if (is_limited(admission)) {
        admission->allowance = current_allowance(admission, now_ms) - 1;
        admission->allowance_ms = now_ms;
    }
}

/* Returns the milliseconds until the limit lets a request start that comes
   after `ahead` others. */
static double
allowance_wait_ms(const AprAdmission_t *admission, int ahead, int64_t now_ms)
{
    double missing;

    if (!is_limited(admission)) {
        return 0;
    }
    missing = ahead + 1 - current_allowance(admission, now_ms);
    return missing > 0 ? missing * 1000.0 / admission->request_limit : 0;
}

double
AprAdmission_LimitWaitMs(const AprAdmission_t *admission, int ahead,
                         int64_t now_ms)
{
    return allowance_wait_ms(admission, ahead, now_ms);
}

/* Lets a cost model decide on the requests, or none if it is NULL. Queued and
   running requests keep the expected service times that they have. */
void
AprAdmission_SetCostModel(AprAdmission_t *admission, AprCostModel_t *costs)
{
    admission->costs = costs;
}

/* Counts a call that a running request makes. */
void
AprAdmission_CountNestedCall(AprAdmission_t *admission, uint64_t id)
{
    for (int i = 0; i < admission->running_count; i++) {
        if (admission->running[i].id == id) {
            admission->running[i].calls++;
        }
    }
}

/* Returns the milliseconds, rounded up, until the limit lets the next request
   start. */
int64_t
AprAdmission_AllowanceWaitMs(const AprAdmission_t *admission, int64_t now_ms)
{
    return (int64_t)ceil(allowance_wait_ms(admission, 0, now_ms));
}

/* Returns the entry of a kind, or a free one if the kind has none. When the
   table is full, returns the entry to which the kind hashes, which belongs to
   another kind. */
static AprKindStats_t *
find_kind_stats(AprAdmission_t *admission, uint32_t kind)
{
    for (uint32_t i = 0; i < APR_ADMISSION_MAX_KINDS; i++) {
        AprKindStats_t *stats =
            &admission->kinds[(kind + i) % APR_ADMISSION_MAX_KINDS];

        if (stats->kind == kind || stats->kind == 0) {
            return stats;
        }
    }
    return &admission->kinds[kind % APR_ADMISSION_MAX_KINDS];
}

/* Returns the expected service time of a kind in milliseconds. `span_ms`, the
   time from the arrival of a request to its objective, determines the result
   while the kind has no samples. */
double
AprAdmission_ExpectedServiceMs(AprAdmission_t *admission, uint32_t kind,
                               int64_t span_ms)
{
    const AprKindStats_t *stats = find_kind_stats(admission, kind);

    if (stats->kind == kind && stats->mean_service_ms > 0) {
        return stats->mean_service_ms;
    }
    return INITIAL_SERVICE_TIME_FRACTION * (double)(span_ms > 0 ? span_ms : 0);
}

/* Returns the usual difference between a service time of a kind and the mean;
   0 while the kind has no samples. */
static double
expected_deviation_ms(AprAdmission_t *admission, uint32_t kind)
{
    const AprKindStats_t *stats = find_kind_stats(admission, kind);

    return stats->kind == kind ? stats->deviation_ms : 0;
}

/* Whether a request would probably miss its objective if it started now. Under
   overload the requests that start are those whose objective is close, so that
   half of them would end late if only the mean service time counted. A nested
   call never counts as late: its caller occupies a slot until the answer
   arrives, and without the answer the caller's work is lost. */
static bool
would_miss_objective(const AprAdmissionRequest_t *request, int64_t now_ms)
{
    return !request->nested &&
           now_ms + (int64_t)(request->expected_service_ms +
                              request->service_deviation_ms) >
               request->objective_ms;
}

/* Whether `left` starts before `right`. Requests that can meet their objective
   come first, then the more urgent rank, then nested calls, then the earlier
   objective. Arrival time and id break ties. */
static bool
starts_before(const AprAdmissionRequest_t *left,
              const AprAdmissionRequest_t *right, int64_t now_ms)
{
    bool left_misses = would_miss_objective(left, now_ms);
    bool right_misses = would_miss_objective(right, now_ms);

    if (left_misses != right_misses) {
        return right_misses;
    }
    if (left->rank != right->rank) {
        return left->rank < right->rank;
    }
    if (left->nested != right->nested) {
        return left->nested;
    }
    if (left->objective_ms != right->objective_ms) {
        return left->objective_ms < right->objective_ms;
    }
    if (left->arrived_ms != right->arrived_ms) {
        return left->arrived_ms < right->arrived_ms;
    }
    return left->id < right->id;
}

static double
expected_remaining_ms(const AprRunningRequest_t *running, int64_t now_ms)
{
    double left =
        running->expected_service_ms - (double)(now_ms - running->started_ms);
    double minimum = MIN_REMAINING_FRACTION * running->expected_service_ms;

    return left > minimum ? left : minimum;
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

/* Expected waiting time of a request in milliseconds, for a slot and for the
   limit of the backend server. */
typedef struct ExpectedWait_t {
    double by_order_ms; /* after all queued requests that precede it */
    double by_share_ms; /* upper bound by the minimum share of its kind */
    bool slot_free;     /* the request would start at once */
    bool idle;          /* nothing runs and nothing precedes the request */
} ExpectedWait_t;

static ExpectedWait_t
expected_wait(const AprAdmission_t *admission,
              const AprAdmissionRequest_t *request, int64_t now_ms)
{
    double free_after_ms[APR_ADMISSION_MAX_SLOTS] = {0};
    int slots = admission->slots;
    double own_kind_ms = request->expected_service_ms / 2;
    double allowance_ms;
    double own_kind_allowance_ms;
    int ahead = 0;
    int own_kind_ahead = 0;
    ExpectedWait_t wait;

    for (int i = 0; i < admission->running_count; i++) {
        int slot = i < slots ? i : find_earliest_slot(free_after_ms, slots);

        free_after_ms[slot] +=
            expected_remaining_ms(&admission->running[i], now_ms);
    }
    wait.by_share_ms = free_after_ms[find_earliest_slot(free_after_ms, slots)];
    for (int i = 0; i < admission->queue_count; i++) {
        const AprAdmissionRequest_t *other = &admission->queue[i];

        if (other->id != request->id &&
            starts_before(other, request, now_ms)) {
            free_after_ms[find_earliest_slot(free_after_ms, slots)] +=
                other->expected_service_ms;
            own_kind_ms +=
                other->kind == request->kind ? other->expected_service_ms : 0;
            ahead++;
            own_kind_ahead += other->kind == request->kind;
        }
    }
    wait.by_order_ms = free_after_ms[find_earliest_slot(free_after_ms, slots)];
    allowance_ms = allowance_wait_ms(admission, ahead, now_ms);
    if (allowance_ms > wait.by_order_ms) {
        wait.by_order_ms = allowance_ms;
    }
    wait.slot_free = wait.by_order_ms <= 0;
    wait.idle = wait.slot_free && admission->running_count == 0;
    wait.by_share_ms += own_kind_ms / (MIN_KIND_SHARE * slots);
    own_kind_allowance_ms =
        allowance_wait_ms(admission, own_kind_ahead, now_ms) / MIN_KIND_SHARE;
    if (own_kind_allowance_ms > wait.by_share_ms) {
        wait.by_share_ms = own_kind_allowance_ms;
    }
    return wait;
}

/* Whether a request should be rejected because it is not expected to be
   answered in time. The minimum share of its kind counts only if it lets the
   request meet its objective: what remains of the share serves requests that
   arrive later. An idle backend server rejects nothing that has time left: its
   expected service times may date from a time when it was slow, and only new
   samples correct them. */
static bool
should_reject(const AprAdmissionRequest_t *request, int64_t now_ms,
              ExpectedWait_t wait)
{
    double end_ms =
        (double)now_ms + wait.by_order_ms + request->expected_service_ms;
    double share_end_ms =
        (double)now_ms + wait.by_share_ms + request->expected_service_ms;
    double span_ms = (double)(request->deadline_ms - request->arrived_ms);

    if (wait.idle) {
        return now_ms >= request->deadline_ms;
    }
    if (!wait.slot_free && !request->nested) {
        end_ms += request->service_deviation_ms;
        share_end_ms += request->service_deviation_ms;
    }
    if (share_end_ms < end_ms &&
        share_end_ms <= (double)request->objective_ms) {
        end_ms = share_end_ms;
    }
    if (end_ms <= (double)request->objective_ms &&
        end_ms <= (double)request->deadline_ms) {
        return false;
    }
    return end_ms >
           (double)request->arrived_ms + LATE_ANSWER_FRACTION * span_ms;
}

/* Returns the time in milliseconds by which the queue has to shrink before a
   retry could meet its objective, within the bounds of the retry delay. */
static int64_t
retry_delay_ms(const AprAdmissionRequest_t *request, int64_t now_ms,
               double wait_ms)
{
    double target_ms = (double)(request->objective_ms - now_ms) -
                       request->expected_service_ms;
    double delay_ms = wait_ms - (target_ms > 0 ? target_ms : 0);

    if (delay_ms < RETRY_AFTER_MIN_MS) {
        delay_ms = RETRY_AFTER_MIN_MS;
    }
    if (delay_ms > RETRY_AFTER_MAX_MS) {
        delay_ms = RETRY_AFTER_MAX_MS;
    }
    return (int64_t)delay_ms;
}

/* Queues a copy of a request, or rejects it, by the cost model. Part of the
   queue is kept for nested calls. */
static AprAdmissionDecision_t
offer_by_cost(AprAdmission_t *admission, AprAdmissionRequest_t *request,
              int64_t now_ms)
{
    AprAdmissionDecision_t decision = {false, 0, 0};
    int most = request->nested ? APR_ADMISSION_MAX_QUEUE
                               : APR_ADMISSION_MAX_QUEUE - NESTED_QUEUE;
    double wait_ms;

    AprAdaptiveAdmission_SetCost(admission, request, now_ms);
    wait_ms = AprAdaptiveAdmission_WaitMs(admission, request, now_ms);
    decision.wait_ms = (int64_t)wait_ms;
    decision.admitted = admission->queue_count < most &&
                        !AprAdaptiveAdmission_ShouldReject(admission, request,
                                                           now_ms, wait_ms);
    AprAdaptiveAdmission_AddDemand(admission, request, now_ms);
    if (decision.admitted) {
        admission->queue[admission->queue_count++] = *request;
    }
    else {
        decision.retry_after_ms = AprAdaptiveAdmission_RetryDelayMs(
            admission, request, now_ms, wait_ms);
    }
    return decision;
}

/* Queues a copy of a request, or rejects it when the queue is full or it is
   not expected to be answered in time. Sets `expected_service_ms` of the
   request and limits its rank to the valid range. AprAdmission_StartNext
   starts queued requests. */
AprAdmissionDecision_t
AprAdmission_Offer(AprAdmission_t *admission, AprAdmissionRequest_t *request,
                   int64_t now_ms)
{
    AprAdmissionDecision_t decision = {false, 0, 0};
    ExpectedWait_t wait;

    if (request->rank >= APR_ADMISSION_MAX_RANKS) {
        request->rank = APR_ADMISSION_MAX_RANKS - 1;
    }
    if (admission->costs != NULL) {
        return offer_by_cost(admission, request, now_ms);
    }
    request->expected_service_ms = AprAdmission_ExpectedServiceMs(
        admission, request->kind, request->objective_ms - request->arrived_ms);
    request->service_deviation_ms =
        expected_deviation_ms(admission, request->kind);
    wait = expected_wait(admission, request, now_ms);
    decision.wait_ms = (int64_t)wait.by_order_ms;
    decision.admitted = admission->queue_count < APR_ADMISSION_MAX_QUEUE &&
                        !should_reject(request, now_ms, wait);
    if (decision.admitted) {
        admission->queue[admission->queue_count++] = *request;
    }
    else {
        decision.retry_after_ms =
            retry_delay_ms(request, now_ms, wait.by_order_ms);
    }
    return decision;
}

static void
remove_queued(AprAdmission_t *admission, int index)
{
    admission->queue[index] = admission->queue[--admission->queue_count];
}

/* Removes a queued request. Returns false when the id is not queued. */
bool
AprAdmission_RemoveQueued(AprAdmission_t *admission, uint64_t id)
{
    for (int i = 0; i < admission->queue_count; i++) {
        if (admission->queue[i].id == id) {
            remove_queued(admission, i);
            return true;
        }
    }
    return false;
}

/* Returns the index of the queued request of a kind that starts first, -1 when
   there is none. Kind 0 stands for all kinds. */
static int
find_first_of_kind(const AprAdmission_t *admission, uint32_t kind,
                   int64_t now_ms)
{
    int best = -1;

    for (int i = 0; i < admission->queue_count; i++) {
        const AprAdmissionRequest_t *request = &admission->queue[i];

        if (kind != 0 && request->kind != kind) {
            continue;
        }
        if (best < 0 ||
            starts_before(request, &admission->queue[best], now_ms)) {
            best = i;
        }
    }
    return best;
}

/* Returns the kind that is owed the most service time relative to the expected
   service time of its requests, or 0 when no kind is owed a whole request. */
static uint32_t
find_underserved_kind(AprAdmission_t *admission)
{
    uint32_t best = 0;
    double most_owed = 1;

    for (int i = 0; i < admission->queue_count; i++) {
        const AprAdmissionRequest_t *request = &admission->queue[i];
        const AprKindStats_t *stats =
            find_kind_stats(admission, request->kind);
        double owed_requests =
            request->expected_service_ms > 0
                ? stats->owed_ms / request->expected_service_ms
                : 0;

        if (stats->kind == request->kind && owed_requests >= most_owed) {
            best = request->kind;
            most_owed = owed_requests;
        }
    }
    return best;
}

/* Credits each kind that has queued requests with its minimum share of the
   service time of a request that starts. */
static void
credit_waiting_kinds(AprAdmission_t *admission,
                     const AprAdmissionRequest_t *started)
{
    uint32_t waiting[APR_ADMISSION_MAX_KINDS];
    int count = 0;
    double share;

    for (int i = 0; i < admission->queue_count; i++) {
        uint32_t kind = admission->queue[i].kind;
        int at = 0;

        while (at < count && waiting[at] != kind) {
            at++;
        }
        if (at == count && count < APR_ADMISSION_MAX_KINDS) {
            waiting[count++] = kind;
        }
    }
    share = count * MIN_KIND_SHARE > MAX_TOTAL_KIND_SHARE
                ? MAX_TOTAL_KIND_SHARE / count
                : MIN_KIND_SHARE;
    for (int i = 0; i < count; i++) {
        AprKindStats_t *stats = find_kind_stats(admission, waiting[i]);

        if (stats->kind == 0) {
            stats->kind = waiting[i];
        }
        if (stats->kind == waiting[i]) {
            stats->owed_ms += share * started->expected_service_ms;
        }
    }
}

/* Charges the service time of a request that starts to its kind. A kind that
   has no more queued requests loses the rest of its credit. */
static void
charge_kind(AprAdmission_t *admission, const AprAdmissionRequest_t *started)
{
    AprKindStats_t *stats = find_kind_stats(admission, started->kind);

    if (stats->kind == started->kind) {
        stats->owed_ms -= started->expected_service_ms;
        if (stats->owed_ms < 0 ||
            find_first_of_kind(admission, started->kind, 0) < 0) {
            stats->owed_ms = 0;
        }
    }
}

/* Takes the request that starts next from the queue into `request` and
   occupies a slot for it until AprAdmission_Finish. Returns false when no slot
   is free, the limit of the backend server is reached, no request is queued or
   the queue is closed. */
bool
AprAdmission_StartNext(AprAdmission_t *admission, int64_t now_ms,
                       AprAdmissionRequest_t *request)
{
    AprRunningRequest_t *running;
    int index;

    if (admission->closed || admission->queue_count == 0 ||
        admission->running_count >= admission->slots ||
        allowance_wait_ms(admission, 0, now_ms) > 0) {
        return false;
    }
    index = admission->costs != NULL
                ? AprAdaptiveAdmission_FindNext(
                      admission, find_underserved_kind(admission), now_ms)
                : find_first_of_kind(admission,
                                     find_underserved_kind(admission), now_ms);
    *request = admission->queue[index];
    remove_queued(admission, index);
    /* With a cost model, nested calls may use the shares of other kinds. */
    if (admission->costs == NULL || !request->nested) {
        charge_kind(admission, request);
        credit_waiting_kinds(admission, request);
    }
    running = &admission->running[admission->running_count++];
    running->id = request->id;
    running->kind = request->kind;
    running->started_ms = now_ms;
    running->expected_service_ms = request->expected_service_ms;
    running->size_class = request->size_class;
    running->calls = 0;
    running->started_progress =
        admission->costs == NULL
            ? 0
            : AprCostModel_Progress(admission->costs, now_ms);
    return true;
}

/* Returns the expected wait of a queued request, and in `rejected` whether it
   is no longer expected to be answered in time. */
static double
check_queued(const AprAdmission_t *admission,
             const AprAdmissionRequest_t *request, int64_t now_ms,
             bool *rejected)
{
    ExpectedWait_t wait;
    double wait_ms;

    if (admission->costs != NULL) {
        wait_ms = AprAdaptiveAdmission_WaitMs(admission, request, now_ms);
        *rejected = AprAdaptiveAdmission_ShouldReject(admission, request,
                                                      now_ms, wait_ms);
        return wait_ms;
    }
    wait = expected_wait(admission, request, now_ms);
    *rejected = should_reject(request, now_ms, wait);
    return wait.by_order_ms;
}

/* Takes a request that is no longer expected to be answered in time from the
   queue into `request`, so that its caller is told at once, and describes the
   rejection in `decision`. Returns false when there is none. */
bool
AprAdmission_ShedNext(AprAdmission_t *admission, int64_t now_ms,
                      AprAdmissionRequest_t *request,
                      AprAdmissionDecision_t *decision)
{
    for (int i = 0; i < admission->queue_count; i++) {
        bool rejected;
        double wait_ms =
            check_queued(admission, &admission->queue[i], now_ms, &rejected);

        if (rejected) {
            *request = admission->queue[i];
            decision->admitted = false;
            decision->wait_ms = (int64_t)wait_ms;
            decision->retry_after_ms =
                admission->costs != NULL
                    ? AprAdaptiveAdmission_RetryDelayMs(admission, request,
                                                        now_ms, wait_ms)
                    : retry_delay_ms(request, now_ms, wait_ms);
            remove_queued(admission, i);
            return true;
        }
    }
    return false;
}

static void
add_service_sample(AprAdmission_t *admission, uint32_t kind, double service_ms)
{
    AprKindStats_t *stats = find_kind_stats(admission, kind);
    double error_ms;

    if (stats->kind != kind || stats->mean_service_ms <= 0) {
        stats->kind = kind;
        stats->mean_service_ms = service_ms;
        stats->deviation_ms = 0;
        return;
    }
    error_ms = service_ms - stats->mean_service_ms;
    stats->mean_service_ms += SERVICE_TIME_SAMPLE_WEIGHT * error_ms;
    stats->deviation_ms +=
        SERVICE_TIME_SAMPLE_WEIGHT * (fabs(error_ms) - stats->deviation_ms);
}

/* Frees the slot of a started request; an unknown id has no effect. `measured`
   tells whether the time since its start is that of a complete run; only then
   does it count as a sample of the service time. */
void
AprAdmission_Finish(AprAdmission_t *admission, uint64_t id, int64_t now_ms,
                    bool measured)
{
    for (int i = 0; i < admission->running_count; i++) {
        AprRunningRequest_t *running = &admission->running[i];

        if (running->id != id) {
            continue;
        }
        if (measured && admission->costs != NULL) {
            AprCostModel_AddSample(
                admission->costs, running->kind, running->size_class,
                running->calls,
                AprCostModel_Progress(admission->costs, now_ms) -
                    running->started_progress,
                (double)(now_ms - running->started_ms), now_ms);
        }
        if (measured) {
            add_service_sample(admission, running->kind,
                               (double)(now_ms - running->started_ms));
        }
        *running = admission->running[--admission->running_count];
        return;
    }
}

/* Returns the expected time in milliseconds until a new request of a rank
   would start. */
int64_t
AprAdmission_ExpectedWaitMs(const AprAdmission_t *admission, int rank,
                            int64_t now_ms)
{
    AprAdmissionRequest_t probe = {0};

    probe.rank = rank;
    probe.arrived_ms = now_ms;
    probe.objective_ms = INT64_MAX / 2;
    probe.deadline_ms = INT64_MAX / 2;
    if (admission->costs != NULL) {
        return (int64_t)AprAdaptiveAdmission_WaitMs(admission, &probe, now_ms);
    }
    return (int64_t)expected_wait(admission, &probe, now_ms).by_order_ms;
}
