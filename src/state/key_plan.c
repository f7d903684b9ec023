#include "apricot/key_plan.h"

#include <glib.h>
#include <string.h>

#include "apricot/error.h"

/* Minimum spare capacity of a candidate as a fraction of its capacity, so that
   a candidate at full load still gets a small share of the keys. */
#define MIN_SPARE_FRACTION 0.05

/* The keys of a host are handed on in pieces of at least this part of a usual
   share. */
#define PIECES_PER_USUAL_SHARE 4

/* A host moves keys to other hosts only when its load exceeds this value. */
#define REBALANCE_MIN_LOAD 0.45

/* A host moves keys to other hosts only when its load exceeds that of the
   least loaded host by this difference. */
#define REBALANCE_MIN_LOAD_DIFFERENCE 0.15

/* Candidates whose load exceeds the lowest by at most this difference are
   considered equal. */
#define EQUAL_LOAD_DIFFERENCE 0.15

/* Maximum number of moves in one plan. Each move adds a range to the key map,
   which every host stores. */
#define MAX_MOVES_PER_PLAN 6

/* Keys that move to another host, and their demand. */
typedef struct KeyMove_t {
    int first;
    int last;
    double demand;
} KeyMove_t;

/* Adds the expected service time of a request, in milliseconds, to the demand
   of its key. */
void
AprKeyDemand_Add(AprKeyDemand_t *demand, int key, double cost_ms)
{
    demand->bucket_ms[key / APR_KEYS_PER_BUCKET] += (float)cost_ms;
}

/* Multiplies the demand of all keys by a factor below one. */
void
AprKeyDemand_Decay(AprKeyDemand_t *demand, double factor)
{
    for (int i = 0; i < APR_KEY_BUCKETS; i++) {
        demand->bucket_ms[i] *= (float)factor;
    }
}

static double
spare_capacity(const AprKeyCandidate_t *candidate)
{
    double fraction = 1.0 - candidate->load;

    return (fraction > MIN_SPARE_FRACTION ? fraction : MIN_SPARE_FRACTION) *
           candidate->slots;
}

/* Hashes a host name with FNV-1a, offset by the number of the move. */
static uint32_t
hash_host(const char *host, int move)
{
    uint32_t hash = 2166136261u + (uint32_t)move;

    for (const char *at = host; *at != '\0'; at++) {
        hash = (hash ^ (uint8_t)*at) * 16777619u;
    }
    return hash;
}

/* Returns how many candidates receive the keys of a host: so many that a piece
   is not smaller than a quarter of a host's usual share, within the bounds of
   the number of candidates. When hundreds of hosts each received a few keys of
   every host that leaves, each later change would touch all parts of the key
   map and conflict with every other. */
static int
count_receivers(int keys, int candidate_count)
{
    int least_keys =
        APR_KEY_COUNT / (candidate_count + 1) / PIECES_PER_USUAL_SHARE;
    int receivers = least_keys > 0 ? (keys + least_keys - 1) / least_keys
                                   : candidate_count;

    return receivers < candidate_count ? receivers : candidate_count;
}

/* Returns the spare capacity of a candidate, varied by a quarter either way so
   that hosts which plan at the same time choose different candidates. */
static double
varied_capacity(const AprKeyCandidate_t *candidate, const char *host)
{
    uint32_t hash = hash_host(candidate->host, (int)hash_host(host, 0));

    return spare_capacity(candidate) * (0.75 + (double)(hash % 1024) / 2048);
}

/* Moves the `wanted` candidates with the most spare capacity to the front. */
static void
select_receivers(AprKeyCandidate_t *candidates, int count, int wanted,
                 const char *host)
{
    for (int i = 0; i < wanted && wanted < count; i++) {
        AprKeyCandidate_t chosen;
        int best = i;

        for (int j = i + 1; j < count; j++) {
            if (varied_capacity(&candidates[j], host) >
                varied_capacity(&candidates[best], host)) {
                best = j;
            }
        }
        chosen = candidates[best];
        candidates[best] = candidates[i];
        candidates[i] = chosen;
    }
}

/* Assigns all keys of a host, or those without an owner if `host` is an empty
   string, to some of the candidates in proportion to their spare capacity, in
   few ranges. Changes the order of the candidates. `releasing_host` is passed
   to AprKeyMap_Assign, except for a range that the host itself still waits
   for: the host before it may hold that range and has to release it.
   `is_released`, which may be NULL, tells the ranges that the host no longer
   waits for. Returns the number of reassigned keys, which is lower when memory
   runs out. */
int
AprKeyPlan_Distribute(AprKeyMap_t *map, const char *host,
                      AprKeyCandidate_t *candidates, int count,
                      const char *releasing_host, AprKeyReleased_t is_released,
                      const void *context)
{
    int total = AprKeyMap_CountKeysOf(map, host);
    double spare_sum = 0;
    double spare_used = 0;
    int assigned = 0;
    int at = 0;
    int key = 0;

    if (host[0] != '\0') {
        int receivers = count_receivers(total, count);

        select_receivers(candidates, count, receivers, host);
        count = receivers;
    }
    for (int i = 0; i < count; i++) {
        spare_sum += spare_capacity(&candidates[i]);
    }
    while (assigned < total && at < count) {
        const AprKeyRange_t *range = AprKeyMap_FindRange(map, key);
        int quota = (int)((spare_used + spare_capacity(&candidates[at])) /
                          spare_sum * total) -
                    assigned;
        char holder[APR_NAME_SIZE];
        bool waits;
        int last;

        if (strcmp(range->host, host) != 0) {
            key = range->last + 1;
            continue;
        }
        if (at == count - 1) {
            quota = total - assigned;
        }
        if (quota <= 0) {
            spare_used += spare_capacity(&candidates[at++]);
            continue;
        }
        last = key + quota - 1 < range->last ? key + quota - 1 : range->last;
        g_strlcpy(holder, range->releasing_host, sizeof(holder));
        waits = holder[0] != '\0' &&
                (releasing_host == NULL || strcmp(holder, host) != 0) &&
                (is_released == NULL || !is_released(context, range));
        if (AprKeyMap_Assign(map, key, last, candidates[at].host,
                             waits ? holder : releasing_host) != APR_OK) {
            break;
        }
        assigned += last - key + 1;
        key = last + 1;
    }
    return assigned;
}

static double
sum_demand(const AprKeyDemand_t *demand, int first, int last)
{
    double sum = 0;

    for (int i = first / APR_KEYS_PER_BUCKET; i <= last / APR_KEYS_PER_BUCKET;
         i++) {
        sum += demand->bucket_ms[i];
    }
    return sum;
}

/* Extends a move from one end of a range, bucket by bucket, as long as its
   demand does not exceed the wanted demand. Returns the demand of the move, 0
   when there is none. */
static double
extend_move(const AprKeyDemand_t *demand, const AprKeyRange_t *range,
            bool from_end, double wanted, KeyMove_t *move)
{
    int step = from_end ? -1 : 1;
    int bucket = (from_end ? range->last : range->first) / APR_KEYS_PER_BUCKET;
    int stop = (from_end ? range->first : range->last) / APR_KEYS_PER_BUCKET;
    double sum = 0;
    double best = 0;

    for (; bucket != stop; bucket += step) {
        sum += demand->bucket_ms[bucket];
        if (sum > wanted) {
            break;
        }
        best = sum;
        if (from_end) {
            move->first = bucket * APR_KEYS_PER_BUCKET;
            move->last = range->last;
        }
        else {
            move->first = range->first;
            move->last = (bucket + 1) * APR_KEYS_PER_BUCKET - 1;
        }
    }
    if (best > 0 && move->first < range->first) {
        move->first = range->first;
    }
    return best;
}

/* Chooses a candidate that can take over keys, or returns -1. A candidate
   without keys is chosen first if this host is the most loaded one, because
   that candidate can serve no requests until it has keys. Among the candidates
   with nearly the lowest load the choice depends on a hash of the host name
   and the move, so that several hosts that plan at the same time choose
   different ones. */
static int
choose_candidate(const AprKeyCandidate_t *candidates, int count,
                 const char *host, double own_load, int move)
{
    uint32_t hash = hash_host(host, move);
    double least = own_load;
    bool most_loaded = true;
    int empty = -1;
    int equal_count = 0;

    for (int i = 0; i < count; i++) {
        most_loaded &= candidates[i].load <= own_load;
        if (candidates[i].keys == 0) {
            empty = i;
        }
        if (candidates[i].load < least) {
            least = candidates[i].load;
        }
    }
    if (empty >= 0 && most_loaded && own_load > candidates[empty].load) {
        return empty;
    }
    if (own_load <= REBALANCE_MIN_LOAD ||
        own_load - least <= REBALANCE_MIN_LOAD_DIFFERENCE) {
        return -1;
    }
    for (int i = 0; i < count; i++) {
        equal_count += candidates[i].load <= least + EQUAL_LOAD_DIFFERENCE;
    }
    if (equal_count == 0) {
        return -1;
    }
    equal_count = (int)(hash % (uint32_t)equal_count);
    for (int i = 0; i < count; i++) {
        if (candidates[i].load <= least + EQUAL_LOAD_DIFFERENCE &&
            equal_count-- == 0) {
            return i;
        }
    }
    return -1;
}

static double
sum_demand_of_host(const AprKeyMap_t *map, const char *host,
                   const AprKeyDemand_t *demand)
{
    double total = 0;

    for (int i = 0; i < map->count; i++) {
        if (strcmp(map->ranges[i].host, host) == 0) {
            total +=
                sum_demand(demand, map->ranges[i].first, map->ranges[i].last);
        }
    }
    return total;
}

/* Finds, among both ends of all ranges of the host, the move with the most
   demand per key that does not exceed the wanted demand. Ranges that another
   host still has to release are left out. Returns false when no end carries
   more than a quarter of the wanted demand. */
static bool
find_move(const AprKeyMap_t *map, const char *host,
          const AprKeyDemand_t *demand, double wanted, KeyMove_t *move)
{
    double best_density = 0;

    for (int i = 0; i < map->count * 2; i++) {
        const AprKeyRange_t *range = &map->ranges[i / 2];
        KeyMove_t candidate = {0, 0, 0};
        double density;
        int keys;

        if (strcmp(range->host, host) != 0 ||
            range->releasing_host[0] != '\0') {
            continue;
        }
        candidate.demand =
            extend_move(demand, range, i % 2 == 1, wanted, &candidate);
        keys = candidate.last - candidate.first + 1 + APR_KEYS_PER_BUCKET;
        density = candidate.demand / keys;
        if (candidate.demand > wanted / 4 && density > best_density) {
            best_density = density;
            *move = candidate;
        }
    }
    return best_density > 0;
}

static void
clear_demand(AprKeyDemand_t *demand, const KeyMove_t *move)
{
    for (int i = move->first / APR_KEYS_PER_BUCKET;
         i <= move->last / APR_KEYS_PER_BUCKET; i++) {
        demand->bucket_ms[i] = 0;
    }
}

/* Moves keys of a host that has more load than others to the least loaded
   candidates. Each move carries up to half of the difference in load. Updates
   the loads and the demand, so that the next plan does not move the same
   demand again. Returns the number of moves made in the map. */
int
AprKeyPlan_Rebalance(AprKeyMap_t *map, const char *host, double *own_load,
                     int own_slots, AprKeyDemand_t *demand,
                     AprKeyCandidate_t *candidates, int count)
{
    double total = sum_demand_of_host(map, host, demand);
    double demand_per_load = *own_load > 0 ? total / *own_load : 0;
    int moves = 0;

    while (moves < MAX_MOVES_PER_PLAN && demand_per_load > 0) {
        int to = choose_candidate(candidates, count, host, *own_load, moves);
        KeyMove_t move = {0, 0, 0};
        double load_to_move;

        if (to < 0) {
            break;
        }
        load_to_move = (*own_load - candidates[to].load) / 2;
        if (!find_move(map, host, demand, load_to_move * demand_per_load,
                       &move) ||
            AprKeyMap_Assign(map, move.first, move.last, candidates[to].host,
                             host) != APR_OK) {
            break;
        }
        *own_load -= move.demand / demand_per_load;
        candidates[to].load +=
            move.demand / demand_per_load * own_slots / candidates[to].slots;
        candidates[to].keys += move.last - move.first + 1;
        clear_demand(demand, &move);
        moves++;
    }
    return moves;
}
