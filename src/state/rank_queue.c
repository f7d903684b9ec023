#include "apricot/rank_queue.h"

#include <math.h>
#include <stdlib.h>

#include "apricot/clock.h"
#include "apricot/error.h"
#include "internal/rank_items.h"

#define NS_PER_MS 1e6

/* Maximum number of items per rank; keeps node indices within 32 bits. */
#define MAX_RANK_CAPACITY (1u << 20)

/* Weight of a new sample in the moving average of the service time. The
   average follows a change of the backend server within tens of answers. */
#define SERVICE_TIME_SAMPLE_WEIGHT 0.0625

/* Maximum credit of a rank, in dispatches; it bounds the burst of a rank. The
   cap never reduces a guaranteed share: if all eight ranks become due at once,
   a rank waits for at most eight dispatches and earns less than 2.4 credits
   meanwhile. */
#define MAX_CREDIT_DISPATCHES 4.0

/* Time constant of the moving average of each rank's load, which predicts the
   more urgent requests that have yet to arrive. */
#define LOAD_TIME_CONSTANT_MS 1000.0

/* Lower bound of the fraction of the slots that a rank is expected to get. */
#define MIN_SLOT_FRACTION 0.02

/* A backlog counts as standing after the rank has missed its target without
   interruption for this many times the target. Such a backlog no longer
   absorbs a burst but makes every request late. The callers' default timeout
   is the same multiple of the target. */
#define STANDING_BACKLOG_MIN_TARGETS 4

/* Fraction of the target up to which a rank with a standing backlog admits
   requests by their expected response time. The estimate is a mean: with
   admission up to the full target, more than half of the answers to the
   flooded rank in bench/policy were late. */
#define STANDING_BACKLOG_ADMIT_FRACTION 0.75

/* Fraction of the target at which a backlog no longer counts as standing. It
   lies far below STANDING_BACKLOG_ADMIT_FRACTION because the estimate varies
   by a fifth. */
#define STANDING_BACKLOG_END_FRACTION 0.25

typedef struct RankState_t {
    double share;  /* guaranteed fraction of all dispatches */
    double credit; /* earned dispatches that the rank has not used yet */
    double mean_ms;
    bool has_mean;
    /* Recently dispatched service time; decays with LOAD_TIME_CONSTANT_MS. */
    double recent_load_ms;
    int target_ms;
    /* Every request since missing_since_ns would have missed the target. */
    bool missing_target;
    int64_t missing_since_ns;
} RankState_t;

struct AprRankQueue_t {
    AprRankItems_t items;
    RankState_t ranks[APR_MAX_RANKS];
    uint32_t capacity;
    int rank_count;
    int slots;
    int running;
    double mean_ms;
    bool has_mean;
    int64_t loads_updated_ns; /* time of the last decay of the loads */
};

static int64_t
timespec_to_ns(struct timespec time)
{
    return AprTime_DiffNs(time, (struct timespec){0, 0});
}

static uint32_t
waiting_count(const AprRankQueue_t *queue, int rank)
{
    return queue->items.ranks[rank].waiting_count;
}

static void
set_guaranteed_shares(AprRankQueue_t *queue, const AprRankSpec_t *specs)
{
    double total_worth = 0;

    for (int i = 0; i < queue->rank_count; i++) {
        total_worth += specs[i].worth > 0 ? specs[i].worth : 0;
    }
    for (int i = 0; i < queue->rank_count && total_worth > 0; i++) {
        double own_worth = specs[i].worth > 0 ? specs[i].worth : 0;

        queue->ranks[i].share =
            APR_GUARANTEED_PERCENT / 100.0 * own_worth / total_worth;
    }
}

/* Creates a queue for 1 to APR_MAX_RANKS ranks, each with room for
   `capacity_per_rank` items, in front of a backend server that runs `slots`
   requests at a time. Returns NULL when an argument is out of range or memory
   runs out. */
AprRankQueue_t *
AprRankQueue_New(const AprRankSpec_t *ranks, int rank_count, int slots,
                 uint32_t capacity_per_rank)
{
    AprRankQueue_t *queue;

    if (rank_count < 1 || rank_count > APR_MAX_RANKS || slots < 0 ||
        capacity_per_rank == 0 || capacity_per_rank > MAX_RANK_CAPACITY) {
        return NULL;
    }
    queue = calloc(1, sizeof(*queue));
    if (queue == NULL) {
        return NULL;
    }
    queue->rank_count = rank_count;
    queue->slots = slots;
    queue->capacity = capacity_per_rank;
    if (!AprRankItems_Init(&queue->items, rank_count, capacity_per_rank)) {
        AprRankQueue_Free(queue);
        return NULL;
    }
    for (int i = 0; i < rank_count; i++) {
        queue->ranks[i].target_ms = ranks[i].target_ms;
    }
    set_guaranteed_shares(queue, ranks);
    return queue;
}

/* Frees a queue. The caller has to reject the queued items first. */
void
AprRankQueue_Free(AprRankQueue_t *queue)
{
    if (queue == NULL) {
        return;
    }
    AprRankItems_Clear(&queue->items);
    free(queue);
}

/* Sets the number of slots that the backend server announced. If more requests
   are running than there are slots, no item is dispatched until enough of them
   finish. */
void
AprRankQueue_SetSlots(AprRankQueue_t *queue, int slots)
{
    queue->slots = slots < 0 ? 0 : slots;
}

static double
rank_mean_ms(const AprRankQueue_t *queue, int rank)
{
    return queue->ranks[rank].has_mean ? queue->ranks[rank].mean_ms
                                       : queue->mean_ms;
}

static void
decay_loads(AprRankQueue_t *queue, int64_t now_ns)
{
    double elapsed_ms = (double)(now_ns - queue->loads_updated_ns) / NS_PER_MS;
    double factor;

    if (elapsed_ms <= 0) {
        return;
    }
    factor = exp(-elapsed_ms / LOAD_TIME_CONSTANT_MS);
    for (int i = 0; i < queue->rank_count; i++) {
        queue->ranks[i].recent_load_ms *= factor;
    }
    queue->loads_updated_ns = now_ns;
}

/* Returns the fraction of the slots that remains for a rank while its items
   wait for dispatch by urgency. More urgent requests continue to arrive, and
   less urgent ranks with queued items keep their guaranteed shares. */
static double
available_slot_fraction(const AprRankQueue_t *queue, int rank)
{
    double fraction = 1;

    for (int i = 0; i < rank; i++) {
        fraction -= queue->ranks[i].recent_load_ms /
                    (LOAD_TIME_CONSTANT_MS * MAX(queue->slots, 1));
    }
    for (int i = rank + 1; i < queue->rank_count; i++) {
        fraction -= waiting_count(queue, i) > 0 ? queue->ranks[i].share : 0;
    }
    return MAX(fraction, MIN_SLOT_FRACTION);
}

/* Returns the expected time in milliseconds until a new item of this rank
   starts. An item is dispatched either by urgency, after the items of its own
   and of more urgent ranks, or by the guaranteed share of its rank; the
   earlier of the two counts. */
static double
expected_wait_ms(const AprRankQueue_t *queue, int rank)
{
    double ahead_ms = 0;
    int64_t occupying_count = queue->running;
    double wait_ms;
    double share = queue->ranks[rank].share;

    for (int i = 0; i <= rank; i++) {
        ahead_ms += waiting_count(queue, i) * rank_mean_ms(queue, i);
        occupying_count += waiting_count(queue, i);
    }
    if (occupying_count < queue->slots) {
        return 0;
    }
    /* The time until the first slot is free counts as one more item. */
    wait_ms =
        (ahead_ms + queue->mean_ms) / available_slot_fraction(queue, rank);
    if (share > 0) {
        double own_count = waiting_count(queue, rank) + 1.0;

        wait_ms = MIN(wait_ms, own_count * rank_mean_ms(queue, rank) / share);
    }
    return wait_ms / MAX(queue->slots, 1);
}

/* Whether the rank has a standing backlog; updates the state that detects it.
   During a standing backlog AprRankQueue_Push also rejects requests that could
   meet their deadline but not the target of the rank. This leaves the number
   of answers unchanged, but they meet the target. */
static bool
has_standing_backlog(AprRankQueue_t *queue, int index, double response_ms,
                     int64_t now_ns)
{
    RankState_t *rank = &queue->ranks[index];
    double target_ms = rank->target_ms;

    if (waiting_count(queue, index) == 0 ||
        response_ms <= STANDING_BACKLOG_END_FRACTION * target_ms) {
        rank->missing_target = false;
    }
    else if (!rank->missing_target && response_ms > target_ms) {
        rank->missing_target = true;
        rank->missing_since_ns = now_ns;
    }
    return rank->missing_target &&
           (double)(now_ns - rank->missing_since_ns) >=
               STANDING_BACKLOG_MIN_TARGETS * target_ms * NS_PER_MS;
}

/* Whether a new item can meet its deadline and, during a standing backlog, the
   admission bound of its rank. */
static bool
is_admissible(AprRankQueue_t *queue, int rank, int64_t deadline_ns,
              int64_t now_ns)
{
    double response_ms;

    if (deadline_ns <= now_ns) {
        return false;
    }
    /* An idle backend server gets the next request whatever the estimate says,
       because only an answer can correct the estimate. */
    if (queue->running == 0 && g_hash_table_size(queue->items.by_item) == 0) {
        return true;
    }
    decay_loads(queue, now_ns);
    response_ms = expected_wait_ms(queue, rank) + rank_mean_ms(queue, rank);
    if (has_standing_backlog(queue, rank, response_ms, now_ns) &&
        response_ms >
            STANDING_BACKLOG_ADMIT_FRACTION * queue->ranks[rank].target_ms) {
        return false;
    }
    return (double)(deadline_ns - now_ns) >= response_ms * NS_PER_MS;
}

/* Queues an item. Returns APR_E_INVALID for an unknown rank, APR_E_EXISTS when
   the item is already queued, APR_E_FULL when the rank has no room, and
   APR_E_TIMEOUT when the deadline, or during a standing backlog the target of
   the rank, cannot be met. The item is not queued on any error. */
int
AprRankQueue_Push(AprRankQueue_t *queue, int rank, uint32_t item,
                  struct timespec deadline, struct timespec now)
{
    int64_t deadline_ns = timespec_to_ns(deadline);

    if (rank < 0 || rank >= queue->rank_count) {
        return APR_E_INVALID;
    }
    if (AprRankItems_Find(&queue->items, item) != APR_NO_NODE) {
        return APR_E_EXISTS;
    }
    if (queue->items.ranks[rank].size >= queue->capacity) {
        return APR_E_FULL;
    }
    if (!is_admissible(queue, rank, deadline_ns, timespec_to_ns(now))) {
        return APR_E_TIMEOUT;
    }
    AprRankItems_Add(&queue->items, rank, item, deadline_ns);
    return APR_OK;
}

/* Moves items that can no longer meet their deadline to the expired list. The
   mean service time is taken into account only while a request is running;
   otherwise a wrong estimate would expire every item and stay uncorrected. */
static void
expire_items(AprRankQueue_t *queue, int64_t now_ns)
{
    for (int i = 0; i < queue->rank_count; i++) {
        const AprRankItemSet_t *rank = &queue->items.ranks[i];
        int64_t earliest_end_ns = now_ns;

        if (queue->running > 0) {
            earliest_end_ns += (int64_t)(rank_mean_ms(queue, i) * NS_PER_MS);
        }
        while (rank->waiting_count > 0) {
            uint32_t node = rank->heap[0];
            int64_t deadline_ns = queue->items.nodes[node].deadline_ns;

            if (deadline_ns > now_ns && deadline_ns >= earliest_end_ns) {
                break;
            }
            AprRankItems_Expire(&queue->items, node);
        }
    }
}

/* Returns the rank to dispatch from: the one with the largest credit if that
   credit covers a dispatch, otherwise the most urgent one with queued items.
   Returns -1 when no item is queued. */
static int
choose_rank(const AprRankQueue_t *queue)
{
    int most_urgent = -1;
    int credited = -1;

    for (int i = queue->rank_count - 1; i >= 0; i--) {
        const RankState_t *rank = &queue->ranks[i];

        if (waiting_count(queue, i) == 0) {
            continue;
        }
        most_urgent = i;
        if (rank->credit >= 1 &&
            (credited < 0 || rank->credit >= queue->ranks[credited].credit)) {
            credited = i;
        }
    }
    return credited >= 0 ? credited : most_urgent;
}

/* Adds the guaranteed share of one dispatch to the credit of each rank that
   has queued items, and charges one dispatch to the served rank. */
static void
update_credits(AprRankQueue_t *queue, int served)
{
    for (int i = 0; i < queue->rank_count; i++) {
        RankState_t *rank = &queue->ranks[i];

        if (waiting_count(queue, i) > 0) {
            rank->credit =
                MIN(rank->credit + rank->share, MAX_CREDIT_DISPATCHES);
        }
    }
    queue->ranks[served].credit = MAX(queue->ranks[served].credit - 1, 0.0);
}

/* Takes the next item to dispatch and its rank, and occupies a slot for it
   until AprRankQueue_Finish. Returns false when no slot is free or no item is
   queued. Items that can no longer meet their deadline stay for
   AprRankQueue_PopExpired. */
bool
AprRankQueue_Pop(AprRankQueue_t *queue, struct timespec now, uint32_t *item,
                 int *rank)
{
    int chosen;

    if (queue->running >= queue->slots) {
        return false;
    }
    expire_items(queue, timespec_to_ns(now));
    chosen = choose_rank(queue);
    if (chosen < 0) {
        return false;
    }
    update_credits(queue, chosen);
    decay_loads(queue, timespec_to_ns(now));
    queue->ranks[chosen].recent_load_ms += rank_mean_ms(queue, chosen);
    *item = AprRankItems_Remove(&queue->items,
                                queue->items.ranks[chosen].waiting.first);
    *rank = chosen;
    queue->running++;
    return true;
}

/* Takes one item whose deadline has passed or can no longer be met; the caller
   rejects it as not run. Returns false when there is none. */
bool
AprRankQueue_PopExpired(AprRankQueue_t *queue, struct timespec now,
                        uint32_t *item)
{
    expire_items(queue, timespec_to_ns(now));
    if (queue->items.expired.first == APR_NO_NODE) {
        return false;
    }
    *item = AprRankItems_Remove(&queue->items, queue->items.expired.first);
    return true;
}

/* Removes a cancelled item, whether it waits or has expired. Returns false
   when it is not in this rank. */
bool
AprRankQueue_Remove(AprRankQueue_t *queue, int rank, uint32_t item)
{
    uint32_t node = AprRankItems_Find(&queue->items, item);

    if (node == APR_NO_NODE || queue->items.nodes[node].rank != rank) {
        return false;
    }
    AprRankItems_Remove(&queue->items, node);
    return true;
}

static void
add_service_sample(double *mean_ms, bool *has_mean, double sample_ms)
{
    *mean_ms = *has_mean ? *mean_ms + SERVICE_TIME_SAMPLE_WEIGHT *
                                          (sample_ms - *mean_ms)
                         : sample_ms;
    *has_mean = true;
}

/* Frees the slot of a dispatched item and adds its service time in
   milliseconds to the moving averages. A negative time means that the item did
   not reach the backend server and gives no sample. */
void
AprRankQueue_Finish(AprRankQueue_t *queue, int rank, double service_ms)
{
    if (rank < 0 || rank >= queue->rank_count) {
        return;
    }
    if (queue->running > 0) {
        queue->running--;
    }
    if (service_ms >= 0) {
        add_service_sample(&queue->mean_ms, &queue->has_mean, service_ms);
        add_service_sample(&queue->ranks[rank].mean_ms,
                           &queue->ranks[rank].has_mean, service_ms);
    }
}

/* Returns the number of items in the rank, including expired ones. */
uint32_t
AprRankQueue_Size(const AprRankQueue_t *queue, int rank)
{
    return rank < 0 || rank >= queue->rank_count
               ? 0
               : queue->items.ranks[rank].size;
}

int
AprRankQueue_Running(const AprRankQueue_t *queue)
{
    return queue->running;
}

/* Returns the moving average of the service time over all ranks in
   milliseconds, 0 before the first sample. */
double
AprRankQueue_MeanServiceMs(const AprRankQueue_t *queue)
{
    return queue->mean_ms;
}

/* Returns the least urgent rank that has room, for back-pressure, or -1 if no
   rank has room. */
int
AprRankQueue_LeastUrgentRankWithRoom(const AprRankQueue_t *queue)
{
    for (int i = queue->rank_count - 1; i >= 0; i--) {
        if (queue->items.ranks[i].size < queue->capacity) {
            return i;
        }
    }
    return -1;
}

/* Returns the fraction of dispatches that is guaranteed to a rank while it has
   queued items. */
double
AprRankQueue_GuaranteedShare(const AprRankQueue_t *queue, int rank)
{
    return rank < 0 || rank >= queue->rank_count ? 0
                                                 : queue->ranks[rank].share;
}
