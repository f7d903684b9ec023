#include "apricot/hot_range_plan.h"

#include <glib.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "apricot/error.h"
#include "internal/hot_range.h"

/* Window of the demand of a key. */
#define DEMAND_WINDOW_MS 1000

/* Window in which the start or the end of a hot spot shows early. */
#define RECENT_WINDOW_MS 400

/* The load has just risen if it is this many times as high in the recent
   window as in the whole one. The demand per key then comes from the recent
   window, since the whole one shows only a part of it. */
#define RISE_FACTOR 1.3

/* Load, relative to the slots, from which requests wait noticeably for a
   slot. */
#define OVERLOAD 0.85

/* A host whose load exceeds the mean of the hosts by less than this factor
   keeps its keys. The load of a host that gets 40 requests a second varies by
   0.15 in a window, and each change of the map is sent to all hosts. */
#define MEAN_FACTOR 1.3

/* Load above which a receiver gets no keys, however high the mean is: while
   all hosts are overloaded, a move only changes which requests are refused. */
#define MAX_RECEIVER_LOAD 0.95

/* Load that an overloaded host keeps, if the mean is lower. */
#define TARGET_LOAD 0.7

/* Excess work per slot from which keys move. A move leaves its keys without a
   server for about one heartbeat, and most hot spots last for several seconds.
   With this value a host with twice its capacity is found within 0.4 s, and
   one with a tenth too much after 1 s. */
#define MIN_EXCESS_MS 100.0

/* Limit of the excess that one check adds, relative to the slots. */
#define MAX_EXCESS_LOAD 2.0

/* A pause of checks that is longer than this does not count as excess. */
#define MAX_CHECK_INTERVAL_MS 200

/* Pause after a plan, until its effect shows in the recent window. */
#define PLAN_PAUSE_MS 250

/* A change that conflicted with that of another host is planned again after a
   random time of at most this, doubled with each further conflict. */
#define CONFLICT_PAUSE_MS 60
#define MAX_CONFLICT_DOUBLINGS 3

/* Keys move this long before the next heartbeat of the backend server. It
   serves them until then, and its capacity would be idle while the requests
   already wait at the new owners. With 64 hosts and 60 hot keys this cuts the
   moves to a third and raises the served share from 0.885 to 0.910. */
#define WRITE_LEAD_MS 200

/* Shortest interval at which a host that is not overloaded looks for hosts
   without keys and for ranges to merge: the sum of both, the second one for
   each host, as all of them write to the same map and each change goes to all.
   A random time of at most the same is added. */
#define IDLE_CHECK_INTERVAL_MS 1000
#define IDLE_CHECK_HOST_MS 6

/* Ranges that plans create in a map at most: so many, and so many more for
   each host. */
#define MIN_MAP_RANGES 256
#define RANGES_PER_HOST 16

/* Fewest requests in the window from which keys are moved. */
#define MIN_REQUESTS 12

/* Moves a second of a host, and the most that it makes at once. 60 hot keys of
   which each keeps one host busy need 59 moves. */
#define MOVES_PER_S 24.0
#define MAX_MOVES_AT_ONCE 64

/* Capacity that must be spare at a receiver, relative to its slots. */
#define MIN_SPARE 0.08

/* Share of the spare capacity that one plan uses, as the demand that it knows
   is a sample. */
#define SPARE_SHARE 0.9

/* Share of the spare capacity that one plan uses if other hosts are overloaded
   as well and choose receivers at the same time. */
#define SHARED_SPARE_SHARE 0.6

/* Least number of keys that is added to the length of a window of keys when
   windows are compared by their demand per key, so that a whole hot spot is
   preferred to its hottest key. */
#define WINDOW_KEYS 64

/* A window that ends this close to the end of a range takes the rest, which
   would be a range of its own. */
#define EDGE_KEYS 16

/* Windows of keys that one plan moves. */
#define MAX_WINDOWS 8

/* A key that is larger than the excess moves only if it is not larger than
   this many times the excess: all its requests are delayed by the move. */
#define MAX_KEY_EXCESS 2.0

/* Time for which moved demand does not show in the load reports of its
   receiver, and time until it shows fully. */
#define TRANSFER_HIDDEN_MS 500
#define TRANSFER_VISIBLE_MS 2500

#define MAX_CANDIDATES 2048

/* A key of the host with its demand in slots. */
typedef struct KeyLoad_t {
    int key;
    double slots;
} KeyLoad_t;

/* Adjacent movable keys of the host with demand: elements `from` to `to` of
   the sorted list of keys. */
typedef struct KeyWindow_t {
    int from;
    int to;
    double slots;
} KeyWindow_t;

typedef struct Receiver_t {
    const AprKeyCandidate_t *candidate;
    double load;  /* in slots, with what it was given recently */
    double spare; /* capacity that this plan may use, in slots */
    int range_count;
    double order; /* random, lower for more spare capacity */
    bool used;
} Receiver_t;

/* Work area of one plan. */
typedef struct Plan_t {
    AprHotRangePlanner_t *planner;
    const AprHotRangeInput_t *input;
    KeyLoad_t keys[APR_HOT_RANGE_REQUESTS]; /* sorted, own keys only */
    int segments[APR_HOT_RANGE_REQUESTS];   /* -1: the key may not move */
    int key_count;
    int kept_key;    /* -1: none */
    int window_keys; /* added to the length of a window; see WINDOW_KEYS */
    Receiver_t receivers[MAX_CANDIDATES];
    int receiver_count;
    int at; /* receiver of the next piece */
    double own_slots;
    double excess; /* demand that is to move, in slots */
    int own_range_count;
    int moves;
    int receivers_used;
} Plan_t;

/* Adds a request, also one that is refused, to the demand. `key` is negative
   for a request without a key, and `cost_ms` is the expected service time. */
void
AprHotRangePlanner_AddRequest(AprHotRangePlanner_t *planner, int key,
                              double cost_ms, int64_t now_ms)
{
    int at =
        (planner->oldest + planner->request_count) % APR_HOT_RANGE_REQUESTS;

    planner->requests[at] = (AprKeyRequest_t){now_ms, key, (float)cost_ms};
    if (planner->request_count < APR_HOT_RANGE_REQUESTS) {
        planner->request_count++;
    }
    else {
        planner->oldest = (planner->oldest + 1) % APR_HOT_RANGE_REQUESTS;
    }
}

/* Returns a kept request; index 0 is the oldest one. */
const AprKeyRequest_t *
AprHotRangePlanner_RequestAt(const AprHotRangePlanner_t *planner, int index)
{
    return &planner
                ->requests[(planner->oldest + index) % APR_HOT_RANGE_REQUESTS];
}

static void
drop_old_requests(AprHotRangePlanner_t *planner, int64_t now_ms)
{
    while (planner->request_count > 0 &&
           AprHotRangePlanner_RequestAt(planner, 0)->at_ms <=
               now_ms - DEMAND_WINDOW_MS) {
        planner->oldest = (planner->oldest + 1) % APR_HOT_RANGE_REQUESTS;
        planner->request_count--;
    }
}

/* Returns the window, shortened to the time that the kept requests cover. */
static int64_t
covered_window_ms(const AprHotRangePlanner_t *planner, int64_t window_ms,
                  int64_t now_ms)
{
    int64_t covered_ms;

    if (planner->request_count < APR_HOT_RANGE_REQUESTS) {
        return window_ms;
    }
    covered_ms = now_ms - AprHotRangePlanner_RequestAt(planner, 0)->at_ms + 1;
    return covered_ms < window_ms ? covered_ms : window_ms;
}

static bool
is_own_request(const AprKeyMap_t *map, const char *host,
               const AprKeyRequest_t *request)
{
    return request->key < 0 ||
           strcmp(AprKeyMap_FindRange(map, request->key)->host, host) == 0;
}

/* Returns the load, in slots, of the requests of the last `window_ms` for keys
   that a host owns or without a key. */
double
AprHotRangePlanner_OwnLoad(const AprHotRangePlanner_t *planner,
                           const AprKeyMap_t *map, const char *host,
                           int64_t window_ms, int64_t now_ms)
{
    double sum_ms = 0;

    window_ms = covered_window_ms(planner, window_ms, now_ms);
    for (int i = planner->request_count - 1; i >= 0; i--) {
        const AprKeyRequest_t *request =
            AprHotRangePlanner_RequestAt(planner, i);

        if (request->at_ms <= now_ms - window_ms) {
            break;
        }
        if (is_own_request(map, host, request)) {
            sum_ms += request->cost_ms;
        }
    }
    return sum_ms / (double)window_ms;
}

/* Updates the excess work of the host and returns whether it is large enough
   for a plan, and the next heartbeat of the backend server near enough. Called
   several times a second. */
bool
AprHotRangePlanner_IsDue(AprHotRangePlanner_t *planner, const AprKeyMap_t *map,
                         const char *host, int slots,
                         int64_t next_heartbeat_ms, int64_t now_ms)
{
    int64_t interval_ms = now_ms - planner->checked_ms;
    double load;

    if (slots <= 0) {
        return false;
    }
    drop_old_requests(planner, now_ms);
    planner->checked_ms = now_ms;
    if (interval_ms > MAX_CHECK_INTERVAL_MS) {
        interval_ms = MAX_CHECK_INTERVAL_MS;
    }
    load = AprHotRangePlanner_OwnLoad(planner, map, host, RECENT_WINDOW_MS,
                                      now_ms) /
               slots -
           OVERLOAD;
    if (load > MAX_EXCESS_LOAD) {
        load = MAX_EXCESS_LOAD;
    }
    planner->excess_ms += load * (double)interval_ms;
    if (planner->excess_ms < 0) {
        planner->excess_ms = 0;
    }
    return planner->excess_ms >= MIN_EXCESS_MS && load > 0 &&
           now_ms >= planner->next_plan_ms &&
           now_ms >= next_heartbeat_ms - WRITE_LEAD_MS;
}

static int
compare_keys(const void *left, const void *right)
{
    const KeyLoad_t *a = left;
    const KeyLoad_t *b = right;

    return (a->key > b->key) - (a->key < b->key);
}

/* Lists the demand of the own keys over a window, sorted by key. Returns the
   number of requests in it. */
static int
collect_keys(Plan_t *plan, int64_t window_ms)
{
    const AprHotRangePlanner_t *planner = plan->planner;
    int64_t now_ms = plan->input->now_ms;
    int count = 0;
    int kept = -1;

    window_ms = covered_window_ms(planner, window_ms, now_ms);
    for (int i = planner->request_count - 1; i >= 0; i--) {
        const AprKeyRequest_t *request =
            AprHotRangePlanner_RequestAt(planner, i);

        if (request->at_ms <= now_ms - window_ms) {
            break;
        }
        if (!is_own_request(plan->input->map, plan->input->host, request)) {
            continue;
        }
        plan->keys[count].key = request->key;
        plan->keys[count++].slots = request->cost_ms / (double)window_ms;
    }
    qsort(plan->keys, (size_t)count, sizeof(*plan->keys), compare_keys);
    plan->own_slots = 0;
    for (int i = 0; i < count; i++) {
        plan->own_slots += plan->keys[i].slots;
        if (plan->keys[i].key < 0) {
            continue;
        }
        if (kept >= 0 && plan->keys[kept].key == plan->keys[i].key) {
            plan->keys[kept].slots += plan->keys[i].slots;
        }
        else {
            plan->keys[++kept] = plan->keys[i];
        }
    }
    plan->key_count = kept + 1;
    return count;
}

/* Marks each key with the number of the run of adjacent movable keys that it
   belongs to. Counts the own ranges. */
static void
mark_segments(Plan_t *plan)
{
    const AprHotRangeInput_t *input = plan->input;
    int at = 0;
    int segment = 0;
    int end = -2; /* last key of the present segment */
    int own_keys = 0;

    plan->own_range_count = 0;
    for (int i = 0; i < input->map->count; i++) {
        const AprKeyRange_t *range = &input->map->ranges[i];
        bool own = strcmp(range->host, input->host) == 0;
        bool movable;

        plan->own_range_count += own;
        own_keys += own ? range->last - range->first + 1 : 0;
        while (at < plan->key_count && plan->keys[at].key < range->first) {
            plan->segments[at++] = -1;
        }
        if (at == plan->key_count || plan->keys[at].key > range->last) {
            /* Still joins the ranges next to it. */
            if (own && end == range->first - 1 &&
                input->is_movable(input->context, range)) {
                end = range->last;
            }
            continue;
        }
        movable = own && input->is_movable(input->context, range);
        if (!movable || end != range->first - 1) {
            segment++;
        }
        end = movable ? range->last : -2;
        while (at < plan->key_count && plan->keys[at].key <= range->last) {
            if (plan->keys[at].key == plan->kept_key) {
                plan->segments[at] = -1;
                segment++;
            }
            else {
                plan->segments[at] = movable ? segment : -1;
            }
            at++;
        }
    }
    /* Without hot keys, requests come for keys that lie far apart. A window of
       one key must not look denser than one of many. */
    plan->window_keys =
        MAX(WINDOW_KEYS, 2 * own_keys / MAX(plan->key_count, 1));
}

/* Returns what a host was given recently and its load report does not show
   yet, in slots. */
static double
hidden_transfers(const AprHotRangePlanner_t *planner, const char *host,
                 int64_t now_ms)
{
    double sum = 0;

    for (int i = 0; i < planner->transfer_count; i++) {
        const AprKeyTransfer_t *transfer = &planner->transfers[i];
        double age = (double)(now_ms - transfer->at_ms - TRANSFER_HIDDEN_MS) /
                     (TRANSFER_VISIBLE_MS - TRANSFER_HIDDEN_MS);

        if (age < 1 && strcmp(transfer->host, host) == 0) {
            sum += transfer->slots * (age > 0 ? 1 - age : 1);
        }
    }
    return sum;
}

static void
drop_old_transfers(AprHotRangePlanner_t *planner, int64_t now_ms)
{
    int kept = 0;

    for (int i = 0; i < planner->transfer_count; i++) {
        if (now_ms - planner->transfers[i].at_ms < TRANSFER_VISIBLE_MS) {
            planner->transfers[kept++] = planner->transfers[i];
        }
    }
    planner->transfer_count = kept;
}

static int
compare_receivers(const void *left, const void *right)
{
    const Receiver_t *a = left;
    const Receiver_t *b = right;

    return (a->order > b->order) - (a->order < b->order);
}

/* Sets `range_count` of the receivers. */
static void
count_ranges(Plan_t *plan)
{
    GHashTable *by_host = g_hash_table_new(g_str_hash, g_str_equal);

    for (int i = 0; i < plan->receiver_count; i++) {
        g_hash_table_insert(by_host,
                            (gpointer)plan->receivers[i].candidate->host,
                            &plan->receivers[i]);
    }
    for (int i = 0; i < plan->input->map->count; i++) {
        Receiver_t *receiver =
            g_hash_table_lookup(by_host, plan->input->map->ranges[i].host);

        if (receiver != NULL) {
            receiver->range_count++;
        }
    }
    g_hash_table_destroy(by_host);
}

/* Returns the mean load of all hosts, relative to their slots. Sets the load
   of the receivers. */
static double
mean_load(Plan_t *plan, int *overloaded)
{
    const AprHotRangeInput_t *input = plan->input;
    double slots = input->slots;
    double load = plan->own_slots;

    *overloaded = 0;
    plan->receiver_count = 0;
    for (int i = 0; i < input->count && i < MAX_CANDIDATES; i++) {
        Receiver_t *receiver = &plan->receivers[plan->receiver_count++];

        memset(receiver, 0, sizeof(*receiver));
        receiver->candidate = &input->candidates[i];
        receiver->load =
            receiver->candidate->load * receiver->candidate->slots +
            hidden_transfers(plan->planner, receiver->candidate->host,
                             input->now_ms);
        slots += receiver->candidate->slots;
        load += receiver->load;
        *overloaded += receiver->candidate->load > OVERLOAD;
    }
    return load / slots;
}

/* Keeps the hosts with spare capacity below a relative load, in a random order
   in which those with more of it tend to come first. Hosts that plan at the
   same time so choose different ones. */
static void
select_receivers(Plan_t *plan, double limit, double share)
{
    GRand *random = g_rand_new_with_seed(plan->input->seed);
    int kept = 0;

    for (int i = 0; i < plan->receiver_count; i++) {
        Receiver_t *receiver = &plan->receivers[i];
        double slots = receiver->candidate->slots;
        double spare = limit * slots - receiver->load;

        if (slots <= 0 || spare < MIN_SPARE * slots) {
            continue;
        }
        receiver->spare = spare * share;
        receiver->order = -log(1.0 - g_rand_double(random)) / (spare * spare);
        plan->receivers[kept++] = *receiver;
    }
    plan->receiver_count = kept;
    g_rand_free(random);
    count_ranges(plan);
    qsort(plan->receivers, (size_t)kept, sizeof(*plan->receivers),
          compare_receivers);
}

/* Finds the window with the most demand per key that does not exceed the
   excess; otherwise a single key that is not much larger. Returns false when
   there is none. */
static bool
find_window(const Plan_t *plan, KeyWindow_t *best)
{
    double best_density = 0;
    double sum = 0;
    int from = 0;

    for (int to = 0; to < plan->key_count; to++) {
        double density;

        if (plan->segments[to] < 0 ||
            (to > 0 && plan->segments[to] != plan->segments[to - 1])) {
            from = to;
            sum = 0;
        }
        if (plan->segments[to] < 0) {
            continue;
        }
        sum += plan->keys[to].slots;
        while (from < to && sum > plan->excess) {
            sum -= plan->keys[from++].slots;
        }
        if (sum > plan->excess * (from == to ? MAX_KEY_EXCESS : 1.0)) {
            continue;
        }
        density = sum / (plan->keys[to].key - plan->keys[from].key +
                         plan->window_keys);
        if (density > best_density) {
            best_density = density;
            *best = (KeyWindow_t){from, to, sum};
        }
    }
    return best_density > 0;
}

/* Returns the most ranges of a map that plans with hot keys create. Each host
   stores all of them, and a changed part is sent to each host. */
int
AprHotRangePlanner_MaxMapRanges(const AprHotRangeInput_t *input)
{
    return MIN(APR_HOT_RANGE_MAX_MAP_RANGES,
               MIN_MAP_RANGES + RANGES_PER_HOST * (input->count + 1));
}

static bool
has_room(const Plan_t *plan)
{
    return plan->at < plan->receiver_count &&
           plan->planner->allowance >= 1.0 &&
           plan->input->map->count + 2 <=
               AprHotRangePlanner_MaxMapRanges(plan->input) &&
           plan->planner->transfer_count < APR_HOT_RANGE_TRANSFERS;
}

/* Returns whether the receiver whose turn it is takes a single key that is
   larger than its spare capacity: it must still have less load than this host
   without the key. */
static bool
accepts_large_key(const Plan_t *plan, double slots)
{
    const Receiver_t *receiver = &plan->receivers[plan->at];

    return !receiver->used &&
           (receiver->load + slots) / receiver->candidate->slots <=
               (plan->own_slots - slots) / plan->input->slots;
}

/* Skips receivers that have as many ranges as a host may get. */
static void
skip_full_receivers(Plan_t *plan)
{
    while (plan->at < plan->receiver_count &&
           plan->receivers[plan->at].range_count >=
               APR_HOT_RANGE_MAX_HOST_RANGES) {
        plan->at++;
    }
}

/* Moves keys to the receiver whose turn it is. Returns false when memory runs
   out. */
static bool
move_piece(Plan_t *plan, int first, int last, double slots)
{
    Receiver_t *receiver = &plan->receivers[plan->at];
    AprHotRangePlanner_t *planner = plan->planner;
    AprKeyTransfer_t *transfer = &planner->transfers[planner->transfer_count];

    if (AprKeyMap_Assign(plan->input->map, first, last,
                         receiver->candidate->host,
                         plan->input->host) != APR_OK) {
        return false;
    }
    memset(transfer, 0, sizeof(*transfer));
    g_strlcpy(transfer->host, receiver->candidate->host,
              sizeof(transfer->host));
    transfer->slots = slots;
    transfer->at_ms = plan->input->now_ms;
    planner->transfer_count++;
    planner->allowance -= 1.0;
    receiver->load += slots;
    receiver->spare -= slots;
    receiver->range_count++;
    plan->receivers_used += !receiver->used;
    receiver->used = true;
    plan->own_slots -= slots;
    plan->excess -= slots;
    plan->moves++;
    return true;
}

/* Returns the first key of a window, or that of its range if only a few keys
   lie before the window. */
static int
window_first_key(const Plan_t *plan, const KeyWindow_t *window)
{
    int key = plan->keys[window->from].key;
    const AprKeyRange_t *range = AprKeyMap_FindRange(plan->input->map, key);
    bool near = key - range->first <= EDGE_KEYS;

    return near && !(plan->kept_key >= range->first && plan->kept_key < key)
               ? range->first
               : key;
}

/* Returns the last key of a window; otherwise like window_first_key(). */
static int
window_last_key(const Plan_t *plan, const KeyWindow_t *window)
{
    int key = plan->keys[window->to].key;
    const AprKeyRange_t *range = AprKeyMap_FindRange(plan->input->map, key);
    bool near = range->last - key <= EDGE_KEYS;

    return near && !(plan->kept_key > key && plan->kept_key <= range->last)
               ? range->last
               : key;
}

/* Cuts a window into pieces that fit the receivers and moves them. Returns
   whether it has moved all keys. */
static bool
move_window(Plan_t *plan, const KeyWindow_t *window)
{
    int first = window_first_key(plan, window);
    int last = window_last_key(plan, window);
    double sum = 0;
    int i = window->from;

    while (i <= window->to) {
        double slots = plan->keys[i].slots;

        skip_full_receivers(plan);
        if (!has_room(plan)) {
            return false;
        }
        if (sum + slots <= plan->receivers[plan->at].spare) {
            sum += slots;
            if (i++ == window->to && !move_piece(plan, first, last, sum)) {
                return false;
            }
            continue;
        }
        if (sum > 0) {
            if (!move_piece(plan, first, plan->keys[i].key - 1, sum)) {
                return false;
            }
            first = plan->keys[i].key;
            sum = 0;
        }
        else if (accepts_large_key(plan, slots)) {
            int end = i == window->to ? last : plan->keys[i].key;

            if (!move_piece(plan, first, end, slots)) {
                return false;
            }
            first = end + 1;
            i++;
        }
        plan->at++;
    }
    return true;
}

/* Moves windows of keys until the excess has gone. */
static void
move_excess(Plan_t *plan, double least)
{
    for (int i = 0; i < MAX_WINDOWS && plan->excess > least; i++) {
        KeyWindow_t window = {0};

        if (plan->own_range_count >= APR_HOT_RANGE_MAX_HOST_RANGES ||
            !find_window(plan, &window) || !move_window(plan, &window)) {
            return;
        }
        for (int j = window.from; j <= window.to; j++) {
            plan->segments[j] = -1;
        }
        plan->own_range_count++;
    }
}

/* Returns the hottest key, or -1; sets its demand. */
static int
find_hottest_key(const Plan_t *plan, double *slots)
{
    int hottest = -1;

    *slots = 0;
    for (int i = 0; i < plan->key_count; i++) {
        if (plan->keys[i].slots > *slots) {
            *slots = plan->keys[i].slots;
            hottest = plan->keys[i].key;
        }
    }
    return hottest;
}

/* Returns the load, relative to its slots, up to which a receiver is filled:
   the mean of the hosts, or the load that an overloaded host keeps if there is
   too little room below the mean, as with one overloaded host among many. It
   never exceeds MAX_RECEIVER_LOAD. */
static double
receiver_limit(const Plan_t *plan, double mean)
{
    double room = 0;

    for (int i = 0; i < plan->receiver_count; i++) {
        double slots = plan->receivers[i].candidate->slots;
        double spare = mean * slots - plan->receivers[i].load;

        room += spare >= MIN_SPARE * slots ? spare : 0;
    }
    if (room < plan->excess) {
        mean = MAX(mean, TARGET_LOAD);
    }
    return MIN(mean, MAX_RECEIVER_LOAD);
}

/* Sets the excess of an overloaded host and its receivers. A key that exceeds
   the load which the host is to keep stays, and its neighbours leave. */
static void
prepare_relief(Plan_t *plan, double mean, int overloaded)
{
    double kept =
        (mean > TARGET_LOAD ? mean : TARGET_LOAD) * plan->input->slots;
    double hottest_slots;
    int hottest = find_hottest_key(plan, &hottest_slots);

    if (hottest_slots >= kept) {
        plan->kept_key = hottest;
        kept = MAX(MAX(kept, hottest_slots), OVERLOAD * plan->input->slots);
    }
    plan->excess = plan->own_slots - kept;
    select_receivers(plan, receiver_limit(plan, mean),
                     overloaded > 0 ? SHARED_SPARE_SHARE : SPARE_SHARE);
}

/* Finds a host without keys, which cannot serve requests until it has some, if
   this host has the most load of all. Makes it the only receiver, of half of
   the difference. Returns whether there is one. */
static bool
prepare_first_keys(Plan_t *plan)
{
    double own = plan->own_slots / plan->input->slots;
    Receiver_t *empty = NULL;

    for (int i = 0; i < plan->receiver_count; i++) {
        Receiver_t *receiver = &plan->receivers[i];
        double load = receiver->load / receiver->candidate->slots;

        if (load > own) {
            return false;
        }
        if (receiver->candidate->keys == 0 && load < own) {
            empty = receiver;
        }
    }
    if (empty == NULL) {
        return false;
    }
    plan->excess = (plan->own_slots - empty->load) / 2;
    empty->spare = plan->excess;
    plan->receivers[0] = *empty;
    plan->receiver_count = 1;
    return true;
}

static void
refill_allowance(AprHotRangePlanner_t *planner, int64_t now_ms)
{
    planner->allowance +=
        (double)(now_ms - planner->allowance_ms) * MOVES_PER_S / 1000.0;
    if (planner->allowance > MAX_MOVES_AT_ONCE) {
        planner->allowance = MAX_MOVES_AT_ONCE;
    }
    planner->allowance_ms = now_ms;
}

/* Moves keys of an overloaded host to hosts with spare capacity, in the map of
   the input: the densest demand first, in pieces of which none exceeds the
   spare capacity of its receiver up to the mean load of all hosts, unless it
   is a single key. Also gives first keys to a host without any. Returns the
   number of moves; if there are some, AprHotRangePlanner_OnChangeDone() must
   be called when the change of the map is settled. */
int
AprHotRangePlanner_Plan(AprHotRangePlanner_t *planner,
                        const AprHotRangeInput_t *input,
                        AprHotRangeResult_t *result)
{
    static Plan_t plan;
    double recent;
    double whole;
    int requests;
    int overloaded;

    memset(result, 0, sizeof(*result));
    if (input->slots <= 0) {
        return 0;
    }
    drop_old_requests(planner, input->now_ms);
    drop_old_transfers(planner, input->now_ms);
    refill_allowance(planner, input->now_ms);
    plan.planner = planner;
    plan.input = input;
    plan.kept_key = -1;
    plan.at = 0;
    plan.moves = 0;
    plan.receivers_used = 0;
    recent = AprHotRangePlanner_OwnLoad(planner, input->map, input->host,
                                        RECENT_WINDOW_MS, input->now_ms);
    whole = AprHotRangePlanner_OwnLoad(planner, input->map, input->host,
                                       DEMAND_WINDOW_MS, input->now_ms);
    requests =
        collect_keys(&plan, recent > whole * RISE_FACTOR ? RECENT_WINDOW_MS
                                                         : DEMAND_WINDOW_MS);
    result->load_before = plan.own_slots / input->slots;
    result->load_after = result->load_before;
    result->mean = mean_load(&plan, &overloaded);
    if (requests < MIN_REQUESTS) {
        return 0;
    }
    if (result->load_before > OVERLOAD &&
        result->load_before > result->mean * MEAN_FACTOR) {
        prepare_relief(&plan, result->mean, overloaded);
    }
    else if (!prepare_first_keys(&plan)) {
        return 0;
    }
    mark_segments(&plan);
    move_excess(&plan, MIN_SPARE * input->slots / 2);
    planner->excess_ms = 0;
    planner->next_plan_ms = input->now_ms + PLAN_PAUSE_MS;
    result->moves = plan.moves;
    result->receivers = plan.receivers_used;
    result->load_after = plan.own_slots / input->slots;
    return plan.moves;
}

/* Returns whether a host that is not overloaded is to look for hosts without
   keys and for ranges to merge. Sets the time of the next look. */
bool
AprHotRangePlanner_IsIdleCheckDue(AprHotRangePlanner_t *planner,
                                  int64_t next_heartbeat_ms, int hosts,
                                  uint32_t seed, int64_t now_ms)
{
    int64_t interval_ms =
        IDLE_CHECK_INTERVAL_MS + (int64_t)IDLE_CHECK_HOST_MS * hosts;

    if (now_ms < planner->next_idle_check_ms ||
        now_ms < planner->next_plan_ms ||
        now_ms < next_heartbeat_ms - WRITE_LEAD_MS) {
        return false;
    }
    planner->next_idle_check_ms =
        now_ms + interval_ms + (int64_t)seed % interval_ms;
    return true;
}

/* Handles the result of a change of the map. Planned moves that are not in
   force are planned again soon, with other receivers. */
void
AprHotRangePlanner_OnChangeDone(AprHotRangePlanner_t *planner, bool in_force,
                                uint32_t seed, int64_t now_ms)
{
    bool dropped = false;
    int kept = 0;

    for (int i = 0; i < planner->transfer_count; i++) {
        AprKeyTransfer_t *transfer = &planner->transfers[i];

        if (!transfer->confirmed && in_force) {
            transfer->confirmed = true;
            transfer->at_ms = now_ms;
        }
        if (transfer->confirmed) {
            planner->transfers[kept++] = *transfer;
        }
        else {
            planner->allowance += 1.0;
            dropped = true;
        }
    }
    planner->transfer_count = kept;
    if (dropped) {
        planner->next_plan_ms =
            now_ms +
            (int64_t)(seed % (CONFLICT_PAUSE_MS << planner->conflicts));
        planner->conflicts =
            MIN(planner->conflicts + 1, MAX_CONFLICT_DOUBLINGS);
        planner->excess_ms = MIN_EXCESS_MS;
    }
    else if (in_force) {
        planner->conflicts = 0;
    }
}
