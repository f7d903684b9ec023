#include "apricot/rank_queue.h"

#include <math.h>
#include <stdlib.h>

#include "apricot/clock.h"
#include "apricot/error.h"
#include "internal/rank_items.h"

#define NS_PER_MS 1e6
#define MAX_CAPACITY (1u << 20) /* keeps the number of nodes in 32 bits */

/* Weight of a new sample in the mean service time: the estimate follows a
   change of the backend within some tens of answers. */
#define SAMPLE_WEIGHT 0.0625

/* Eight ranks that become due together wait at most eight dispatches, during
   which one of them earns less than 2.4 credits; a cap of 4 therefore never
   cuts into a guaranteed share, and bounds the burst of a rank. */
#define MAX_CREDIT 4.0

/* Time over which the load of each rank is averaged, to foresee more urgent
   work that has yet to arrive. */
#define LOAD_MS 1000.0

/* Lower bound of the part of the slots that a rank is expected to get. */
#define MIN_PART 0.02

/* A backlog that makes a rank late for this many targets without a break is a
   standing one: it no longer absorbs a burst, it only makes every request
   late. The factor is that of the callers' default timeout. */
#define STANDING_TARGETS 4

/* Part of the target up to which a rank with a standing backlog is filled. The
   estimate is a mean; filled up to the target, more than half of the answers
   to the flooded rank in bench/policy were late. */
#define FILL_PART 0.75

/* Part of the target at which a backlog no longer counts as standing; far
   below FILL_PART, because the estimate varies by a fifth. */
#define RECOVERED_PART 0.25

typedef struct rank_t {
    double share;
    double credit;
    double mean_ms;
    bool has_mean;
    double load_ms; /* service time dispatched lately, see LOAD_MS */
    int target_ms;
    bool late; /* since late_ns every request would have missed the target */
    int64_t late_ns;
} rank_t;

struct AprRankQueue_t {
    AprRankItems_t items;
    rank_t ranks[APR_MAX_RANKS];
    uint32_t capacity;
    int rank_count;
    int slots;
    int running;
    double mean_ms;
    bool has_mean;
    int64_t load_ns; /* when the loads were brought up to date */
};

static int64_t
to_ns(struct timespec time)
{
    return AprTime_DiffNs(time, (struct timespec){0, 0});
}

static uint32_t
waits(const AprRankQueue_t *queue, int rank)
{
    return queue->items.ranks[rank].waits;
}

static void
set_shares(AprRankQueue_t *queue, const AprRankSpec_t *specs)
{
    double worth = 0;

    for (int i = 0; i < queue->rank_count; i++) {
        worth += specs[i].worth > 0 ? specs[i].worth : 0;
    }
    for (int i = 0; i < queue->rank_count && worth > 0; i++) {
        double own = specs[i].worth > 0 ? specs[i].worth : 0;

        queue->ranks[i].share = APR_GUARANTEED_PERCENT / 100.0 * own / worth;
    }
}

/* Creates a queue for 1 to APR_MAX_RANKS ranks, each with room for
   `capacity_per_rank` items, in front of a backend server that works on
   `slots` requests at a time. Returns NULL when an argument is out of range
   or memory runs out. */
AprRankQueue_t *
AprRankQueue_New(const AprRankSpec_t *ranks, int rank_count, int slots,
                 uint32_t capacity_per_rank)
{
    AprRankQueue_t *queue;

    if (rank_count < 1 || rank_count > APR_MAX_RANKS || slots < 0 ||
        capacity_per_rank == 0 || capacity_per_rank > MAX_CAPACITY) {
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
    set_shares(queue, ranks);
    return queue;
}

/* Frees a queue; the items in it are the caller's to refuse first. */
void
AprRankQueue_Free(AprRankQueue_t *queue)
{
    if (queue == NULL) {
        return;
    }
    AprRankItems_Clear(&queue->items);
    free(queue);
}

/* Sets the number of slots that the backend server announced. With fewer
   slots than requests in work, nothing is dispatched until enough finish. */
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
update_loads(AprRankQueue_t *queue, int64_t now_ns)
{
    double past_ms = (double)(now_ns - queue->load_ns) / NS_PER_MS;
    double kept;

    if (past_ms <= 0) {
        return;
    }
    kept = exp(-past_ms / LOAD_MS);
    for (int i = 0; i < queue->rank_count; i++) {
        queue->ranks[i].load_ms *= kept;
    }
    queue->load_ns = now_ns;
}

/* The part of the slots that is left to a rank while it waits for its turn by
   urgency: more urgent work goes on arriving, and less urgent ranks with work
   keep their shares. */
static double
part_left(const AprRankQueue_t *queue, int rank)
{
    double left = 1;

    for (int i = 0; i < rank; i++) {
        left -= queue->ranks[i].load_ms / (LOAD_MS * MAX(queue->slots, 1));
    }
    for (int i = rank + 1; i < queue->rank_count; i++) {
        left -= waits(queue, i) > 0 ? queue->ranks[i].share : 0;
    }
    return MAX(left, MIN_PART);
}

/* The time until a new item of this rank would start, by the earlier of the
   two ways to be dispatched: by urgency, after the work of its own and the
   more urgent ranks; or by its own guaranteed share. */
static double
expected_wait_ms(const AprRankQueue_t *queue, int rank)
{
    double ahead_ms = 0;
    int64_t busy = queue->running;
    double wait_ms;
    double share = queue->ranks[rank].share;

    for (int i = 0; i <= rank; i++) {
        ahead_ms += waits(queue, i) * rank_mean_ms(queue, i);
        busy += waits(queue, i);
    }
    if (busy < queue->slots) {
        return 0;
    }
    /* Until the first slot is free counts as one more item. */
    wait_ms = (ahead_ms + queue->mean_ms) / part_left(queue, rank);
    if (share > 0) {
        double own = waits(queue, rank) + 1.0;

        wait_ms = MIN(wait_ms, own * rank_mean_ms(queue, rank) / share);
    }
    return wait_ms / MAX(queue->slots, 1);
}

/* Whether the rank has a standing backlog. A request that could still meet its
   deadline, but not the target of its rank, is then refused: as many are
   answered, but in time for the target. */
static bool
has_standing_backlog(AprRankQueue_t *queue, int index, double need_ms,
                     int64_t now_ns)
{
    rank_t *rank = &queue->ranks[index];
    double target_ms = rank->target_ms;

    if (waits(queue, index) == 0 || need_ms <= RECOVERED_PART * target_ms) {
        rank->late = false;
    }
    else if (!rank->late && need_ms > target_ms) {
        rank->late = true;
        rank->late_ns = now_ns;
    }
    return rank->late && (double)(now_ns - rank->late_ns) >=
                             STANDING_TARGETS * target_ms * NS_PER_MS;
}

static bool
can_meet(AprRankQueue_t *queue, int rank, int64_t deadline_ns, int64_t now_ns)
{
    double need_ms;

    if (deadline_ns <= now_ns) {
        return false;
    }
    /* With nothing in work no answer corrects the estimate, so an idle
       backend server gets the next request whatever the estimate says. */
    if (queue->running == 0 && g_hash_table_size(queue->items.by_item) == 0) {
        return true;
    }
    update_loads(queue, now_ns);
    need_ms = expected_wait_ms(queue, rank) + rank_mean_ms(queue, rank);
    if (has_standing_backlog(queue, rank, need_ms, now_ns) &&
        need_ms > FILL_PART * queue->ranks[rank].target_ms) {
        return false;
    }
    return (double)(deadline_ns - now_ns) >= need_ms * NS_PER_MS;
}

/* Queues an item. Returns APR_E_INVALID for an unknown rank, APR_E_EXISTS
   when the item is queued already, APR_E_FULL when the rank has no room, and
   APR_E_TIMEOUT when the deadline, or during a standing backlog the target of
   the rank, cannot be met; the item is then not queued. */
int
AprRankQueue_Push(AprRankQueue_t *queue, int rank, uint32_t item,
                  struct timespec deadline, struct timespec now)
{
    int64_t deadline_ns = to_ns(deadline);

    if (rank < 0 || rank >= queue->rank_count) {
        return APR_E_INVALID;
    }
    if (AprRankItems_Find(&queue->items, item) != APR_NO_NODE) {
        return APR_E_EXISTS;
    }
    if (queue->items.ranks[rank].size >= queue->capacity) {
        return APR_E_FULL;
    }
    if (!can_meet(queue, rank, deadline_ns, to_ns(now))) {
        return APR_E_TIMEOUT;
    }
    AprRankItems_Add(&queue->items, rank, item, deadline_ns);
    return APR_OK;
}

/* Moves the items that cannot be met any more to the expired list. The mean
   service time counts only while something is in work; otherwise a wrong
   estimate would drop every item and never be corrected. */
static void
expire(AprRankQueue_t *queue, int64_t now_ns)
{
    for (int i = 0; i < queue->rank_count; i++) {
        const AprItemRank_t *rank = &queue->items.ranks[i];
        int64_t limit_ns = now_ns;

        if (queue->running > 0) {
            limit_ns += (int64_t)(rank_mean_ms(queue, i) * NS_PER_MS);
        }
        while (rank->waits > 0) {
            uint32_t node = rank->heap[0];
            int64_t deadline_ns = queue->items.nodes[node].deadline_ns;

            if (deadline_ns > now_ns && deadline_ns >= limit_ns) {
                break;
            }
            AprRankItems_Expire(&queue->items, node);
        }
    }
}

/* The rank whose unused credit is the largest, if it has earned a dispatch;
   otherwise the most urgent one. -1 when nothing waits. */
static int
choose_rank(const AprRankQueue_t *queue)
{
    int most_urgent = -1;
    int due = -1;

    for (int i = queue->rank_count - 1; i >= 0; i--) {
        const rank_t *rank = &queue->ranks[i];

        if (waits(queue, i) == 0) {
            continue;
        }
        most_urgent = i;
        if (rank->credit >= 1 &&
            (due < 0 || rank->credit >= queue->ranks[due].credit)) {
            due = i;
        }
    }
    return due >= 0 ? due : most_urgent;
}

/* Every rank that had work at this dispatch earns its share of it; the one
   that was served pays one. */
static void
account_dispatch(AprRankQueue_t *queue, int served)
{
    for (int i = 0; i < queue->rank_count; i++) {
        rank_t *rank = &queue->ranks[i];

        if (waits(queue, i) > 0) {
            rank->credit = MIN(rank->credit + rank->share, MAX_CREDIT);
        }
    }
    queue->ranks[served].credit = MAX(queue->ranks[served].credit - 1, 0.0);
}

/* Takes the next item to dispatch and its rank, and puts a slot in use for
   it. Returns false when no slot is free or nothing waits. Items that cannot
   meet their deadline any more are left to AprRankQueue_PopExpired. */
bool
AprRankQueue_Pop(AprRankQueue_t *queue, struct timespec now, uint32_t *item,
                 int *rank)
{
    int chosen;

    if (queue->running >= queue->slots) {
        return false;
    }
    expire(queue, to_ns(now));
    chosen = choose_rank(queue);
    if (chosen < 0) {
        return false;
    }
    account_dispatch(queue, chosen);
    update_loads(queue, to_ns(now));
    queue->ranks[chosen].load_ms += rank_mean_ms(queue, chosen);
    *item = AprRankItems_Take(&queue->items,
                              queue->items.ranks[chosen].waiting.first);
    *rank = chosen;
    queue->running++;
    return true;
}

/* Takes one item whose deadline has passed or cannot be met any more; the
   caller refuses it as not run. Returns false when there is none. */
bool
AprRankQueue_PopExpired(AprRankQueue_t *queue, struct timespec now,
                        uint32_t *item)
{
    expire(queue, to_ns(now));
    if (queue->items.expired.first == APR_NO_NODE) {
        return false;
    }
    *item = AprRankItems_Take(&queue->items, queue->items.expired.first);
    return true;
}

/* Takes a cancelled item out. Returns false when it does not wait in this
   rank. */
bool
AprRankQueue_Remove(AprRankQueue_t *queue, int rank, uint32_t item)
{
    uint32_t node = AprRankItems_Find(&queue->items, item);

    if (node == APR_NO_NODE || queue->items.nodes[node].rank != rank) {
        return false;
    }
    AprRankItems_Take(&queue->items, node);
    return true;
}

static void
add_sample(double *mean_ms, bool *has_mean, double sample_ms)
{
    *mean_ms = *has_mean ? *mean_ms + SAMPLE_WEIGHT * (sample_ms - *mean_ms)
                         : sample_ms;
    *has_mean = true;
}

/* Frees the slot of a dispatched item and takes its service time, in
   milliseconds, into the estimate; negative: the item did not reach the
   backend server and gives no sample. */
void
AprRankQueue_Done(AprRankQueue_t *queue, int rank, double service_ms)
{
    if (rank < 0 || rank >= queue->rank_count) {
        return;
    }
    if (queue->running > 0) {
        queue->running--;
    }
    if (service_ms >= 0) {
        add_sample(&queue->mean_ms, &queue->has_mean, service_ms);
        add_sample(&queue->ranks[rank].mean_ms, &queue->ranks[rank].has_mean,
                   service_ms);
    }
}

/* Number of items that the rank holds, expired ones included. */
uint32_t
AprRankQueue_Size(const AprRankQueue_t *queue, int rank)
{
    return rank < 0 || rank >= queue->rank_count
               ? 0
               : queue->items.ranks[rank].size;
}

/* Number of slots in use. */
int
AprRankQueue_Running(const AprRankQueue_t *queue)
{
    return queue->running;
}

/* Moving average of the service time over all ranks in milliseconds; 0 before
   the first sample. */
double
AprRankQueue_MeanServiceMs(const AprRankQueue_t *queue)
{
    return queue->mean_ms;
}

/* The least urgent rank that has room, for back-pressure; -1 if none has. */
int
AprRankQueue_LowestOpenRank(const AprRankQueue_t *queue)
{
    for (int i = queue->rank_count - 1; i >= 0; i--) {
        if (queue->items.ranks[i].size < queue->capacity) {
            return i;
        }
    }
    return -1;
}

/* The fraction of dispatches that a rank keeps while it has work. */
double
AprRankQueue_GuaranteedShare(const AprRankQueue_t *queue, int rank)
{
    return rank < 0 || rank >= queue->rank_count ? 0
                                                 : queue->ranks[rank].share;
}
