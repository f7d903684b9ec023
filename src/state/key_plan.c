#include "apricot/key_plan.h"

#include <string.h>

#include "apricot/error.h"

/* A candidate at full load still gets this part of an idle one's share. */
#define MIN_SPARE 0.05

/* A host gives keys away when its load is above this, ... */
#define REBALANCE_LOAD 0.6

/* ... and exceeds that of the least loaded host by this. */
#define REBALANCE_GAP 0.2

/* Candidates whose load differs by less are equally good. */
#define NEAR_LOAD 0.15

/* Moves of one plan; each one is a further range to be kept by everyone. */
#define REBALANCE_MOVES 6

/* Keys that are to go to another host. */
typedef struct Move_t {
    int first;
    int last;
    double demand;
} Move_t;

/* Adds the expected service time of a request for a key. */
void
AprKeyDemand_Add(AprKeyDemand_t *demand, int key, double cost_ms)
{
    demand->bucket_ms[key / APR_KEYS_PER_BUCKET] += (float)cost_ms;
}

/* Multiplies all demand by a factor below one. */
void
AprKeyDemand_Decay(AprKeyDemand_t *demand, double factor)
{
    for (int i = 0; i < APR_KEY_BUCKETS; i++) {
        demand->bucket_ms[i] *= (float)factor;
    }
}

static double
spare(const AprKeyCandidate_t *candidate)
{
    double left = 1.0 - candidate->load;

    return (left > MIN_SPARE ? left : MIN_SPARE) * candidate->slots;
}

/* Gives all keys of a host ("" for those without an owner) to the candidates,
   each a share by its spare capacity, in few ranges. Returns the number of
   keys that changed. */
int
AprKeyPlan_Distribute(AprKeyMap_t *map, const char *host,
                      const AprKeyCandidate_t *candidates, int count,
                      const char *releasing_host)
{
    int total = AprKeyMap_CountOf(map, host);
    double spare_sum = 0;
    double spare_given = 0;
    int given = 0;
    int at = 0;
    int key = 0;

    for (int i = 0; i < count; i++) {
        spare_sum += spare(&candidates[i]);
    }
    while (given < total && at < count) {
        const AprKeyRange_t *range = AprKeyMap_Find(map, key);
        int quota =
            (int)((spare_given + spare(&candidates[at])) / spare_sum * total) -
            given;
        int last;

        if (strcmp(range->host, host) != 0) {
            key = range->last + 1;
            continue;
        }
        if (at == count - 1) {
            quota = total - given;
        }
        if (quota <= 0) {
            spare_given += spare(&candidates[at++]);
            continue;
        }
        last = key + quota - 1 < range->last ? key + quota - 1 : range->last;
        if (AprKeyMap_Assign(map, key, last, candidates[at].host,
                             releasing_host) != APR_OK) {
            break;
        }
        given += last - key + 1;
        key = last + 1;
    }
    return given;
}

static double
demand_of(const AprKeyDemand_t *demand, int first, int last)
{
    double sum = 0;

    for (int i = first / APR_KEYS_PER_BUCKET; i <= last / APR_KEYS_PER_BUCKET;
         i++) {
        sum += demand->bucket_ms[i];
    }
    return sum;
}

/* Extends a move from one end of a range until it carries the wanted demand;
   returns the demand it carries. */
static double
cut_range(const AprKeyDemand_t *demand, const AprKeyRange_t *range,
          bool from_end, double wanted, Move_t *move)
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

static uint32_t
hash_of(const char *host, int move)
{
    uint32_t hash = 2166136261u + (uint32_t)move;

    for (const char *at = host; *at != '\0'; at++) {
        hash = (hash ^ (uint8_t)*at) * 16777619u;
    }
    return hash;
}

/* Chooses a candidate that can take work, or -1. One without keys comes first
   if this host is the most loaded of all: it can only be used once it has
   some. Among those with nearly the least load each host prefers another one,
   since several hosts plan at the same time. */
static int
choose_candidate(const AprKeyCandidate_t *candidates, int count,
                 const char *host, double own_load, int move)
{
    uint32_t hash = hash_of(host, move);
    double least = own_load;
    bool most_loaded = true;
    int empty = -1;
    int near = 0;

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
    if (own_load <= REBALANCE_LOAD || own_load - least <= REBALANCE_GAP) {
        return -1;
    }
    for (int i = 0; i < count; i++) {
        near += candidates[i].load <= least + NEAR_LOAD;
    }
    if (near == 0) {
        return -1;
    }
    near = (int)(hash % (uint32_t)near);
    for (int i = 0; i < count; i++) {
        if (candidates[i].load <= least + NEAR_LOAD && near-- == 0) {
            return i;
        }
    }
    return -1;
}

static double
demand_of_host(const AprKeyMap_t *map, const char *host,
               const AprKeyDemand_t *demand)
{
    double total = 0;

    for (int i = 0; i < map->count; i++) {
        if (strcmp(map->ranges[i].host, host) == 0) {
            total +=
                demand_of(demand, map->ranges[i].first, map->ranges[i].last);
        }
    }
    return total;
}

/* Finds the end of one of a host's ranges that carries the wanted demand with
   the fewest keys; false when no end carries a fair part of it. */
static bool
find_move(const AprKeyMap_t *map, const char *host,
          const AprKeyDemand_t *demand, double wanted, Move_t *move)
{
    double best_density = 0;

    for (int i = 0; i < map->count * 2; i++) {
        const AprKeyRange_t *range = &map->ranges[i / 2];
        Move_t cut = {0, 0, 0};
        double density;
        int keys;

        if (strcmp(range->host, host) != 0 ||
            range->releasing_host[0] != '\0') {
            continue;
        }
        cut.demand = cut_range(demand, range, i % 2 == 1, wanted, &cut);
        keys = cut.last - cut.first + 1 + APR_KEYS_PER_BUCKET;
        density = cut.demand / keys;
        if (cut.demand > wanted / 4 && density > best_density) {
            best_density = density;
            *move = cut;
        }
    }
    return best_density > 0;
}

static void
forget_demand(AprKeyDemand_t *demand, const Move_t *move)
{
    for (int i = move->first / APR_KEYS_PER_BUCKET;
         i <= move->last / APR_KEYS_PER_BUCKET; i++) {
        demand->bucket_ms[i] = 0;
    }
}

/* Moves keys of a host whose backend server has more work than others to the
   least loaded candidates, each time half of the difference. Loads and demand
   are brought up to date, so that the next plan does not move the same work
   again. Returns the number of moves that were made in the map. */
int
AprKeyPlan_Rebalance(AprKeyMap_t *map, const char *host, double *own_load,
                     int own_slots, AprKeyDemand_t *demand,
                     AprKeyCandidate_t *candidates, int count)
{
    double total = demand_of_host(map, host, demand);
    double per_load = *own_load > 0 ? total / *own_load : 0;
    int moves = 0;

    while (moves < REBALANCE_MOVES && per_load > 0) {
        int to = choose_candidate(candidates, count, host, *own_load, moves);
        Move_t move = {0, 0, 0};
        double part;

        if (to < 0) {
            break;
        }
        part = (*own_load - candidates[to].load) / 2;
        if (!find_move(map, host, demand, part * per_load, &move) ||
            AprKeyMap_Assign(map, move.first, move.last, candidates[to].host,
                             host) != APR_OK) {
            break;
        }
        *own_load -= move.demand / per_load;
        candidates[to].load +=
            move.demand / per_load * own_slots / candidates[to].slots;
        candidates[to].keys += move.last - move.first + 1;
        forget_demand(demand, &move);
        moves++;
    }
    return moves;
}
