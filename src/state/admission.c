#include "apricot/admission.h"

#include <string.h>

/* Share of the service time that each kind with waiting work gets at least, so
   that a flood of urgent work does not starve the others. */
#define FLOOR_SHARE 0.15

/* All floors together leave the rest to the order of urgency. */
#define FLOOR_TOTAL 0.5

/* Weight of a new measurement in the mean service time of a kind. */
#define COST_WEIGHT 0.1

/* Before the first measurement the service time is taken as this part of the
   time until the objective. */
#define COST_PRIOR 0.33

/* Work that can only be answered after its objective is still queued while
   its expected answer comes before this part of the time until its deadline;
   the rest is the margin for slower runs. */
#define LATE_SHARE 0.8

/* A run that takes longer than expected is expected to take this part of its
   mean service time more. */
#define OVERDUE_SHARE 0.3

/* Range of the time after which a refused caller may return. */
#define RETRY_AFTER_MIN_MS 20
#define RETRY_AFTER_MAX_MS 2000

/* Starts empty in front of a backend server with this many slots. */
void
AprAdmission_Init(AprAdmission_t *admission, int slots)
{
    memset(admission, 0, sizeof(*admission));
    admission->slots = slots < 1 ? 1 : slots;
    if (admission->slots > APR_ADMISSION_MAX_SLOTS) {
        admission->slots = APR_ADMISSION_MAX_SLOTS;
    }
}

static AprKindCost_t *
find_cost(AprAdmission_t *admission, uint32_t kind)
{
    for (uint32_t i = 0; i < APR_ADMISSION_MAX_KINDS; i++) {
        AprKindCost_t *cost =
            &admission->costs[(kind + i) % APR_ADMISSION_MAX_KINDS];

        if (cost->kind == kind || cost->kind == 0) {
            return cost;
        }
    }
    return &admission->costs[kind % APR_ADMISSION_MAX_KINDS];
}

/* Expected service time of a kind in milliseconds; `span_ms` is the time
   until the objective of its requests. */
double
AprAdmission_CostMs(AprAdmission_t *admission, uint32_t kind, int64_t span_ms)
{
    const AprKindCost_t *cost = find_cost(admission, kind);

    if (cost->kind == kind && cost->mean_ms > 0) {
        return cost->mean_ms;
    }
    return COST_PRIOR * (double)(span_ms > 0 ? span_ms : 0);
}

/* A nested call is never late: its caller holds a slot until it has the
   answer, and its work is lost without it. */
static bool
is_late(const AprWork_t *work, int64_t now_ms)
{
    return !work->nested &&
           now_ms + (int64_t)work->cost_ms > work->objective_ms;
}

/* Whether `left` starts before `right`: work that can meet its objective
   first, then by rank, nested calls before others, then by the time of its
   objective. */
static bool
goes_before(const AprWork_t *left, const AprWork_t *right, int64_t now_ms)
{
    bool left_late = is_late(left, now_ms);
    bool right_late = is_late(right, now_ms);

    if (left_late != right_late) {
        return right_late;
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
remaining_ms(const AprRunning_t *running, int64_t now_ms)
{
    double left = running->cost_ms - (double)(now_ms - running->started_ms);
    double overdue = OVERDUE_SHARE * running->cost_ms;

    return left > overdue ? left : overdue;
}

static int
earliest(const double *free_at, int slots)
{
    int best = 0;

    for (int i = 1; i < slots; i++) {
        if (free_at[i] < free_at[best]) {
            best = i;
        }
    }
    return best;
}

/* When work is expected to start, in milliseconds from now. */
typedef struct Wait_t {
    double in_order; /* with all queued work ahead of it */
    double by_floor; /* at the latest, by the floor of its kind */
} Wait_t;

static Wait_t
expected_wait(const AprAdmission_t *admission, const AprWork_t *work,
              int64_t now_ms)
{
    double free_at[APR_ADMISSION_MAX_SLOTS] = {0};
    int slots = admission->slots;
    double own_kind = work->cost_ms / 2;
    Wait_t wait;

    for (int i = 0; i < admission->running_count; i++) {
        int slot = i < slots ? i : earliest(free_at, slots);

        free_at[slot] += remaining_ms(&admission->running[i], now_ms);
    }
    wait.by_floor = free_at[earliest(free_at, slots)];
    for (int i = 0; i < admission->queue_count; i++) {
        const AprWork_t *other = &admission->queue[i];

        if (other->id != work->id && goes_before(other, work, now_ms)) {
            free_at[earliest(free_at, slots)] += other->cost_ms;
            own_kind += other->kind == work->kind ? other->cost_ms : 0;
        }
    }
    wait.in_order = free_at[earliest(free_at, slots)];
    wait.by_floor += own_kind / (FLOOR_SHARE * slots);
    return wait;
}

/* Whether work is not worth a place. By its floor it only gets one if it meets
   its objective: the rest of the floor serves whoever comes later. */
static bool
is_hopeless(const AprWork_t *work, int64_t now_ms, Wait_t wait)
{
    double end_ms = (double)now_ms + wait.in_order + work->cost_ms;
    double floor_end_ms = (double)now_ms + wait.by_floor + work->cost_ms;
    double span_ms = (double)(work->deadline_ms - work->arrived_ms);

    if (floor_end_ms < end_ms && floor_end_ms <= (double)work->objective_ms) {
        end_ms = floor_end_ms;
    }
    if (end_ms <= (double)work->objective_ms &&
        end_ms <= (double)work->deadline_ms) {
        return false;
    }
    return end_ms > (double)work->arrived_ms + LATE_SHARE * span_ms;
}

static int64_t
retry_after(const AprWork_t *work, int64_t now_ms, double wait_ms)
{
    double target_ms = (double)(work->objective_ms - now_ms) - work->cost_ms;
    double after = wait_ms - (target_ms > 0 ? target_ms : 0);

    if (after < RETRY_AFTER_MIN_MS) {
        after = RETRY_AFTER_MIN_MS;
    }
    if (after > RETRY_AFTER_MAX_MS) {
        after = RETRY_AFTER_MAX_MS;
    }
    return (int64_t)after;
}

/* Queues work, or refuses it when it is not expected to be answered in time.
   Admitted work starts through AprAdmission_Next. */
AprAdmissionVerdict_t
AprAdmission_Offer(AprAdmission_t *admission, AprWork_t *work, int64_t now_ms)
{
    AprAdmissionVerdict_t verdict = {false, 0, 0};
    Wait_t wait;

    if (work->rank >= APR_ADMISSION_MAX_RANKS) {
        work->rank = APR_ADMISSION_MAX_RANKS - 1;
    }
    work->cost_ms = AprAdmission_CostMs(admission, work->kind,
                                        work->objective_ms - work->arrived_ms);
    wait = expected_wait(admission, work, now_ms);
    verdict.wait_ms = (int64_t)wait.in_order;
    verdict.admitted = admission->queue_count < APR_ADMISSION_MAX_QUEUE &&
                       !is_hopeless(work, now_ms, wait);
    if (verdict.admitted) {
        admission->queue[admission->queue_count++] = *work;
    }
    else {
        verdict.retry_after_ms = retry_after(work, now_ms, wait.in_order);
    }
    return verdict;
}

static void
remove_at(AprAdmission_t *admission, int index)
{
    admission->queue[index] = admission->queue[--admission->queue_count];
}

/* Withdraws queued work; false when it is not queued. */
bool
AprAdmission_Remove(AprAdmission_t *admission, uint64_t id)
{
    for (int i = 0; i < admission->queue_count; i++) {
        if (admission->queue[i].id == id) {
            remove_at(admission, i);
            return true;
        }
    }
    return false;
}

/* The work of a kind, or of all kinds if it is 0, that starts first. */
static int
first_of_kind(const AprAdmission_t *admission, uint32_t kind, int64_t now_ms)
{
    int best = -1;

    for (int i = 0; i < admission->queue_count; i++) {
        const AprWork_t *work = &admission->queue[i];

        if (kind != 0 && work->kind != kind) {
            continue;
        }
        if (best < 0 || goes_before(work, &admission->queue[best], now_ms)) {
            best = i;
        }
    }
    return best;
}

/* A kind whose floor entitles it to the next start, or 0: the one to which
   most is due for its service time. */
static uint32_t
kind_below_floor(AprAdmission_t *admission)
{
    uint32_t best = 0;
    double most = 1;

    for (int i = 0; i < admission->queue_count; i++) {
        const AprWork_t *work = &admission->queue[i];
        const AprKindCost_t *cost = find_cost(admission, work->kind);
        double due = work->cost_ms > 0 ? cost->floor_ms / work->cost_ms : 0;

        if (cost->kind == work->kind && due >= most) {
            best = work->kind;
            most = due;
        }
    }
    return best;
}

/* Adds to the floors of the waiting kinds what started work takes. */
static void
pay_floors(AprAdmission_t *admission, const AprWork_t *started)
{
    uint32_t kinds[APR_ADMISSION_MAX_KINDS];
    int count = 0;
    double share;

    for (int i = 0; i < admission->queue_count; i++) {
        uint32_t kind = admission->queue[i].kind;
        int at = 0;

        while (at < count && kinds[at] != kind) {
            at++;
        }
        if (at == count && count < APR_ADMISSION_MAX_KINDS) {
            kinds[count++] = kind;
        }
    }
    share =
        count * FLOOR_SHARE > FLOOR_TOTAL ? FLOOR_TOTAL / count : FLOOR_SHARE;
    for (int i = 0; i < count; i++) {
        AprKindCost_t *cost = find_cost(admission, kinds[i]);

        if (cost->kind == 0) {
            cost->kind = kinds[i];
        }
        if (cost->kind == kinds[i]) {
            cost->floor_ms += share * started->cost_ms;
        }
    }
}

/* A kind loses what was due to it when it gets a start, or does not wait. */
static void
settle_floor(AprAdmission_t *admission, const AprWork_t *started)
{
    AprKindCost_t *cost = find_cost(admission, started->kind);

    if (cost->kind == started->kind) {
        cost->floor_ms -= started->cost_ms;
        if (cost->floor_ms < 0 ||
            first_of_kind(admission, started->kind, 0) < 0) {
            cost->floor_ms = 0;
        }
    }
}

/* Takes the work that starts now; false when no slot is free or nothing
   waits. */
bool
AprAdmission_Next(AprAdmission_t *admission, int64_t now_ms, AprWork_t *work)
{
    AprRunning_t *running;
    int index;

    if (admission->closed || admission->queue_count == 0 ||
        admission->running_count >= admission->slots) {
        return false;
    }
    index = first_of_kind(admission, kind_below_floor(admission), now_ms);
    *work = admission->queue[index];
    remove_at(admission, index);
    settle_floor(admission, work);
    pay_floors(admission, work);
    running = &admission->running[admission->running_count++];
    running->id = work->id;
    running->kind = work->kind;
    running->started_ms = now_ms;
    running->cost_ms = work->cost_ms;
    return true;
}

/* Takes queued work that is no longer expected to be answered in time, so
   that its caller learns of it at once; false when there is none. */
bool
AprAdmission_NextHopeless(AprAdmission_t *admission, int64_t now_ms,
                          AprWork_t *work, AprAdmissionVerdict_t *verdict)
{
    for (int i = 0; i < admission->queue_count; i++) {
        Wait_t wait = expected_wait(admission, &admission->queue[i], now_ms);

        if (is_hopeless(&admission->queue[i], now_ms, wait)) {
            *work = admission->queue[i];
            verdict->admitted = false;
            verdict->wait_ms = (int64_t)wait.in_order;
            verdict->retry_after_ms = retry_after(work, now_ms, wait.in_order);
            remove_at(admission, i);
            return true;
        }
    }
    return false;
}

static void
learn_cost(AprAdmission_t *admission, uint32_t kind, double took_ms)
{
    AprKindCost_t *cost = find_cost(admission, kind);

    if (cost->kind != kind || cost->mean_ms <= 0) {
        cost->kind = kind;
        cost->mean_ms = took_ms;
        return;
    }
    cost->mean_ms += COST_WEIGHT * (took_ms - cost->mean_ms);
}

/* Frees the slot of started work. `measured` tells that the time it took is
   that of a whole run. */
void
AprAdmission_Done(AprAdmission_t *admission, uint64_t id, int64_t now_ms,
                  bool measured)
{
    for (int i = 0; i < admission->running_count; i++) {
        AprRunning_t *running = &admission->running[i];

        if (running->id != id) {
            continue;
        }
        if (measured) {
            learn_cost(admission, running->kind,
                       (double)(now_ms - running->started_ms));
        }
        *running = admission->running[--admission->running_count];
        return;
    }
}

/* Expected time until new work of a rank would start. */
int64_t
AprAdmission_WaitMs(const AprAdmission_t *admission, int rank, int64_t now_ms)
{
    AprWork_t probe = {0};

    probe.rank = rank;
    probe.arrived_ms = now_ms;
    probe.objective_ms = INT64_MAX / 2;
    probe.deadline_ms = INT64_MAX / 2;
    return (int64_t)expected_wait(admission, &probe, now_ms).in_order;
}
