#include "apricot/key_plan.h"

#include <string.h>

#include "apricot/error.h"

/* A candidate at full load still gets this part of an idle one's share. */
#define MIN_SPARE 0.05

/* A host gives keys away when its load is above this, ... */
#define REBALANCE_LOAD 0.7

/* ... exceeds that of the least loaded host by this, ... */
#define REBALANCE_GAP 0.25

/* ... and moves at most this part of its demand at a time, so that a wrong
   estimate does not swap the roles of the two hosts. */
#define REBALANCE_SHARE 0.4

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
        if (AprKeyMap_Assign(map, key, last, &candidates[at].owner,
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
          bool from_end, double wanted, AprKeyMove_t *move)
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

/* A candidate without keys comes first: it can only be used once it has
   some. */
static int
least_loaded(const AprKeyCandidate_t *candidates, int count)
{
    int best = -1;

    for (int i = 0; i < count; i++) {
        const AprKeyCandidate_t *candidate = &candidates[i];

        if (best < 0 ||
            (candidate->keys == 0) > (candidates[best].keys == 0) ||
            ((candidate->keys == 0) == (candidates[best].keys == 0) &&
             candidate->load < candidates[best].load)) {
            best = i;
        }
    }
    return best;
}

/* Chooses keys of an overloaded host that are to go to the least loaded
   candidate: the part of one of its ranges that carries the demand to be
   moved with the fewest keys. Returns false when no move is worth while. */
bool
AprKeyPlan_Rebalance(const AprKeyMap_t *map, const char *host, double own_load,
                     int own_slots, const AprKeyDemand_t *demand,
                     const AprKeyCandidate_t *candidates, int count,
                     AprKeyMove_t *move)
{
    int to = least_loaded(candidates, count);
    double total = 0;
    double wanted;
    double best_density = 0;

    if (to < 0 || own_load <= candidates[to].load) {
        return false;
    }
    if (candidates[to].keys > 0 &&
        (own_load < REBALANCE_LOAD ||
         own_load - candidates[to].load < REBALANCE_GAP)) {
        return false;
    }
    for (int i = 0; i < map->count; i++) {
        if (strcmp(map->ranges[i].host, host) == 0) {
            total +=
                demand_of(demand, map->ranges[i].first, map->ranges[i].last);
        }
    }
    wanted =
        (own_load - candidates[to].load) *
        (own_slots < candidates[to].slots ? own_slots : candidates[to].slots) /
        2 / (own_load * own_slots) * total;
    if (wanted > REBALANCE_SHARE * total) {
        wanted = REBALANCE_SHARE * total;
    }
    for (int i = 0; i < map->count * 2; i++) {
        const AprKeyRange_t *range = &map->ranges[i / 2];
        AprKeyMove_t cut = {0, 0, to};
        double carried;
        double density;
        int keys;

        if (strcmp(range->host, host) != 0 ||
            range->releasing_host[0] != '\0') {
            continue;
        }
        carried = cut_range(demand, range, i % 2 == 1, wanted, &cut);
        keys = cut.last - cut.first + 1 + APR_KEYS_PER_BUCKET;
        density = carried / keys;
        if (carried > wanted / 4 && density > best_density) {
            best_density = density;
            *move = cut;
        }
    }
    return best_density > 0;
}
