/* Simulates load balance and churn of placement in virtual time, with a
   changing set of hot keys, a join, a drain and the loss of a host. The
   baseline is a consistent-hash ring without hot-key slots that gets the same
   requests. */

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <gsl/gsl_randist.h>
#include <gsl/gsl_rng.h>
#include <xxhash.h>

#include "apricot/hot_keys.h"
#include "apricot/placement.h"
#include "apricot/record.h"

#define HOSTS 9
#define KEYS 20000
#define SKEW 0.9
#define REQUESTS_PER_S 8000
#define PHASE_S 60
/* The popularity ranking shifts by this many keys at each change. */
#define HOT_SET_KEYS 420
#define HOT_SET_PERIOD_S 20 /* time between changes of the hot set */
#define COOL_DOWN_FACTOR 0.25
#define MIN_SLOT_AGE_S 10
#define DECAY_INTERVAL_S 5
#define MOVES_PER_S 16
#define RING_POINTS_PER_HOST 64
#define MIN_SAMPLE_REQUESTS 200
#define MAX_CANDIDATES 4
/* Runs with different keys, because the result depends on which keys share a
   host. */
#define REPETITIONS 6
#define DEFAULT_SEED 20261204

enum { STEADY, JOIN, DRAIN, LOSS, PHASES };

static const char *const phase_names[PHASES] = {"moving_hot_set", "join",
                                                "drain", "loss"};

/* Results of one phase. An imbalance is the ratio of the maximum to the mean
   over the active hosts; load_imbalance and key_imbalance are averaged over
   the phase. */
typedef struct Totals_t {
    double load_imbalance;
    double key_imbalance;
    double max_load_imbalance;
    double keys_moved;
} Totals_t;

typedef struct RingPoint_t {
    uint64_t hash;
    AprMember_t member;
} RingPoint_t;

typedef struct Simulation_t {
    AprRecord_t record;
    AprPlacementPolicy_t policy;
    double hot_share;
    AprHotKeys_t *sketches[APR_MAX_MEMBERS];
    int slot_bound_at_s[APR_HOT_SLOTS];
    RingPoint_t ring[RING_POINTS_PER_HOST * APR_MAX_MEMBERS];
    int ring_size;
    uint64_t hashes[KEYS];
    AprMember_t owners[2][KEYS]; /* 0: placement, 1: ring */
    Totals_t totals[2][PHASES];  /* 0: placement, 1: ring */
    gsl_rng *rng;
    gsl_ran_discrete_t *popularity;
    int now_s;
} Simulation_t;

static bool
is_active(const Simulation_t *sim, int member)
{
    return sim->record.members[member].state == APR_MEMBER_ACTIVE;
}

static int
compare_points(const void *left, const void *right)
{
    const RingPoint_t *a = left;
    const RingPoint_t *b = right;

    return (a->hash > b->hash) - (a->hash < b->hash);
}

static void
build_ring(Simulation_t *sim)
{
    sim->ring_size = 0;
    for (int i = 0; i < APR_MAX_MEMBERS; i++) {
        for (int j = 0; is_active(sim, i) && j < RING_POINTS_PER_HOST; j++) {
            int point[2] = {i, j};

            sim->ring[sim->ring_size++] = (RingPoint_t){
                XXH3_64bits(point, sizeof(point)), (AprMember_t)i};
        }
    }
    qsort(sim->ring, (size_t)sim->ring_size, sizeof(sim->ring[0]),
          compare_points);
}

static AprMember_t
ring_owner(const Simulation_t *sim, uint64_t hash)
{
    int low = 0;
    int high = sim->ring_size;

    while (low < high) {
        int middle = (low + high) / 2;

        if (sim->ring[middle].hash < hash) {
            low = middle + 1;
        }
        else {
            high = middle;
        }
    }
    return sim->ring[low % sim->ring_size].member;
}

static AprMember_t
record_owner(const Simulation_t *sim, uint64_t hash)
{
    int partition = AprRecord_FindPartition(&sim->record, 0, hash);

    return sim->record.services[0].partitions[partition].owner;
}

static void
add_member(Simulation_t *sim, int member)
{
    AprMemberEntry_t *entry = &sim->record.members[member];

    memset(entry, 0, sizeof(*entry));
    snprintf(entry->host, sizeof(entry->host), "host-%d", member);
    entry->state = APR_MEMBER_ACTIVE;
    entry->incarnation = 1;
    entry->offered_services = 1;
    entry->joined_at_ms = sim->now_s * 1000LL;
    sim->sketches[member] = AprHotKeys_New();
}

static void
assign_unowned(Simulation_t *sim)
{
    AprPlacement_AssignUnowned(&sim->record, 0, &sim->policy,
                               sim->now_s * 1000LL);
}

static void
apply_member_events(Simulation_t *sim)
{
    if (sim->now_s == JOIN * PHASE_S) {
        add_member(sim, HOSTS);
    }
    else if (sim->now_s == DRAIN * PHASE_S) {
        sim->record.members[1].state = APR_MEMBER_DRAINING;
    }
    else if (sim->now_s == LOSS * PHASE_S) {
        sim->record.members[2].state = APR_MEMBER_FREE;
        assign_unowned(sim);
    }
    else {
        return;
    }
    build_ring(sim);
}

/* Moves the hot keys of a member to slots of their own. */
static void
split_hot_keys(Simulation_t *sim, AprMember_t member)
{
    AprHotKey_t keys[MAX_CANDIDATES];
    int count = AprHotKeys_ListAbove(sim->sketches[member], sim->hot_share,
                                     keys, MAX_CANDIDATES);

    for (int i = 0; i < count; i++) {
        int slot;

        if (record_owner(sim, keys[i].key_hash) != member ||
            AprRecord_BindHotSlot(&sim->record, 0, keys[i].key_hash, &slot) !=
                APR_OK) {
            continue;
        }
        sim->slot_bound_at_s[slot - APR_PARTITIONS] = sim->now_s;
        AprRecord_AssignPartition(
            &sim->record, 0, slot,
            AprPlacement_ChooseForHotKey(&sim->record, 0, member), 1);
    }
}

/* Returns the share of a key in the requests that a sketch has counted. */
static double
share_in_sketch(const AprHotKeys_t *sketch, uint64_t hash)
{
    AprHotKey_t keys[APR_HOT_KEY_ENTRIES];
    int count = AprHotKeys_ListAbove(sketch, 0, keys, APR_HOT_KEY_ENTRIES);

    for (int i = 0; i < count; i++) {
        if (keys[i].key_hash == hash) {
            return keys[i].count / AprHotKeys_Total(sketch);
        }
    }
    return 0;
}

/* Returns the keys of hot-key slots that have cooled down to their base
   partitions. */
static void
free_cold_slots(Simulation_t *sim)
{
    AprServiceTable_t *table = &sim->record.services[0];

    for (int i = 0; i < APR_HOT_SLOTS; i++) {
        AprMember_t owner = table->partitions[APR_PARTITIONS + i].owner;
        int base = (int)(table->hot_slot_key_hash[i] % APR_PARTITIONS);

        if (table->hot_slot_used[i] &&
            sim->now_s - sim->slot_bound_at_s[i] > MIN_SLOT_AGE_S &&
            share_in_sketch(sim->sketches[owner],
                            table->hot_slot_key_hash[i]) <
                sim->hot_share * COOL_DOWN_FACTOR) {
            AprRecord_AssignPartition(&sim->record, 0, APR_PARTITIONS + i,
                                      table->partitions[base].owner, 1);
            AprRecord_FreeHotSlot(&sim->record, 0, APR_PARTITIONS + i);
        }
    }
}

static void
apply_planned_moves(Simulation_t *sim)
{
    AprMove_t moves[MOVES_PER_S];
    int count = AprPlacement_Plan(&sim->record, 0, &sim->policy,
                                  sim->now_s * 1000LL, moves, MOVES_PER_S);

    for (int i = 0; i < count; i++) {
        AprRecord_AssignPartition(&sim->record, 0, moves[i].partition,
                                  moves[i].to, 1);
    }
}

static void
run_control_step(Simulation_t *sim)
{
    AprRecord_BeginChange(&sim->record);
    for (int i = 0; i < APR_MAX_MEMBERS; i++) {
        if (is_active(sim, i) &&
            AprHotKeys_Total(sim->sketches[i]) >= MIN_SAMPLE_REQUESTS) {
            split_hot_keys(sim, (AprMember_t)i);
        }
    }
    free_cold_slots(sim);
    apply_planned_moves(sim);
    for (int i = 0; sim->now_s % DECAY_INTERVAL_S == 0 && i < APR_MAX_MEMBERS;
         i++) {
        if (sim->sketches[i] != NULL) {
            AprHotKeys_Decay(sim->sketches[i]);
        }
    }
}

static double
max_to_mean(const Simulation_t *sim, const double counts[APR_MAX_MEMBERS])
{
    double max = 0;
    double sum = 0;
    int active = 0;

    for (int i = 0; i < APR_MAX_MEMBERS; i++) {
        sum += counts[i];
        max = counts[i] > max ? counts[i] : max;
        active += is_active(sim, i);
    }
    return max * active / sum;
}

/* Updates the owners of all keys, and adds the number of changes and the
   imbalance of keys to the totals. */
static void
update_owners(Simulation_t *sim, int algorithm, Totals_t *totals)
{
    double counts[APR_MAX_MEMBERS] = {0};

    for (int i = 0; i < KEYS; i++) {
        AprMember_t owner = algorithm == 0 ? record_owner(sim, sim->hashes[i])
                                           : ring_owner(sim, sim->hashes[i]);

        totals->keys_moved +=
            sim->now_s > 0 && owner != sim->owners[algorithm][i];
        sim->owners[algorithm][i] = owner;
        counts[owner]++;
    }
    totals->key_imbalance += max_to_mean(sim, counts) / PHASE_S;
}

static void
send_requests(Simulation_t *sim, int phase)
{
    double counts[2][APR_MAX_MEMBERS] = {{0}};
    int shift = sim->now_s / HOT_SET_PERIOD_S * HOT_SET_KEYS;

    for (int i = 0; i < REQUESTS_PER_S; i++) {
        int key =
            ((int)gsl_ran_discrete(sim->rng, sim->popularity) + shift) % KEYS;

        AprHotKeys_Add(sim->sketches[sim->owners[0][key]], sim->hashes[key],
                       1);
        counts[0][sim->owners[0][key]]++;
        counts[1][sim->owners[1][key]]++;
    }
    for (int algorithm = 0; algorithm < 2; algorithm++) {
        Totals_t *totals = &sim->totals[algorithm][phase];
        double imbalance = max_to_mean(sim, counts[algorithm]);

        totals->load_imbalance += imbalance / PHASE_S;
        if (imbalance > totals->max_load_imbalance) {
            totals->max_load_imbalance = imbalance;
        }
    }
}

static Simulation_t *
new_sim(double move_cost, double hot_share, unsigned long seed)
{
    Simulation_t *sim = calloc(1, sizeof(*sim));
    double *weights = calloc(KEYS, sizeof(*weights));

    if (sim == NULL || weights == NULL) {
        abort();
    }
    sim->policy = (AprPlacementPolicy_t){move_cost, 30};
    sim->hot_share = hot_share;
    AprRecord_Init(&sim->record, "bench");
    AprRecord_BeginChange(&sim->record);
    AprRecord_AddService(&sim->record, "catalogue");
    for (int i = 0; i < KEYS; i++) {
        char key[48];
        int size = snprintf(key, sizeof(key), "item/%lu/%d", seed, i);

        sim->hashes[i] = AprKey_Hash("catalogue", key, (size_t)size);
        weights[i] = 1 / pow(i + 1.0, SKEW);
    }
    for (int i = 0; i < HOSTS; i++) {
        add_member(sim, i);
    }
    assign_unowned(sim);
    build_ring(sim);
    sim->rng = gsl_rng_alloc(gsl_rng_mt19937);
    gsl_rng_set(sim->rng, seed);
    sim->popularity = gsl_ran_discrete_preproc(KEYS, weights);
    free(weights);
    return sim;
}

static void
free_sim(Simulation_t *sim)
{
    for (int i = 0; i < APR_MAX_MEMBERS; i++) {
        AprHotKeys_Free(sim->sketches[i]);
    }
    gsl_ran_discrete_free(sim->popularity);
    gsl_rng_free(sim->rng);
    free(sim);
}

static void
print_totals(const char *name, const char *algorithm, const Totals_t *totals)
{
    printf("%s.%s.load_imbalance %.3f max_to_mean\n", name, algorithm,
           totals->load_imbalance);
    printf("%s.%s.worst_load_imbalance %.3f max_to_mean\n", name, algorithm,
           totals->max_load_imbalance);
    printf("%s.%s.key_imbalance %.3f max_to_mean\n", name, algorithm,
           totals->key_imbalance);
    printf("%s.%s.keys_moved %.2f percent\n", name, algorithm,
           totals->keys_moved * 100 / KEYS);
}

static void
simulate(Simulation_t *sim)
{
    for (sim->now_s = 0; sim->now_s < PHASES * PHASE_S; sim->now_s++) {
        int phase = sim->now_s / PHASE_S;

        apply_member_events(sim);
        update_owners(sim, 0, &sim->totals[0][phase]);
        update_owners(sim, 1, &sim->totals[1][phase]);
        send_requests(sim, phase);
        run_control_step(sim);
    }
}

static void
add_mean(Totals_t *mean, const Totals_t *totals)
{
    mean->load_imbalance += totals->load_imbalance / REPETITIONS;
    mean->key_imbalance += totals->key_imbalance / REPETITIONS;
    mean->max_load_imbalance += totals->max_load_imbalance / REPETITIONS;
    mean->keys_moved += totals->keys_moved / REPETITIONS;
}

static void
run_case(double move_cost, double hot_share, unsigned long seed)
{
    Totals_t means[2][PHASES] = {{{0, 0, 0, 0}}};

    for (int i = 0; i < REPETITIONS; i++) {
        Simulation_t *sim =
            new_sim(move_cost, hot_share, seed + (unsigned long)i);

        simulate(sim);
        for (int phase = 0; phase < PHASES; phase++) {
            add_mean(&means[0][phase], &sim->totals[0][phase]);
            add_mean(&means[1][phase], &sim->totals[1][phase]);
        }
        free_sim(sim);
    }
    for (int phase = 0; phase < PHASES; phase++) {
        const Totals_t *plan = &means[0][phase];
        const Totals_t *ring = &means[1][phase];
        char name[96];

        snprintf(name, sizeof(name),
                 "placement.move_cost_%.1f.hot_share_%.2f.%s", move_cost,
                 hot_share, phase_names[phase]);
        print_totals(name, "plan", plan);
        print_totals(name, "consistent_hashing", ring);
        printf("%s.excess_load_to_consistent_hashing %.3f ratio\n", name,
               (plan->load_imbalance - 1) / (ring->load_imbalance - 1));
    }
}

int
main(int argc, char **argv)
{
    unsigned long seed = argc > 1 ? strtoul(argv[1], NULL, 10) : DEFAULT_SEED;

    printf("placement.seed %lu seed\n", seed);
    run_case(0.1, 0.2, seed);
    run_case(0.8, 0.2, seed);
    run_case(0.1, 0.05, seed);
    return 0;
}
