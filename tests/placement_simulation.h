#ifndef APRICOT_TESTS_PLACEMENT_SIMULATION_H
#define APRICOT_TESTS_PLACEMENT_SIMULATION_H

/* Simulates hosts, their key map and requests with moving hot keys in virtual
   time, without a network. Each host plans on its own, with load reports that
   are late and requests that it has seen itself. */

#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "apricot/error.h"
#include "apricot/hot_range_plan.h"
#include "apricot/key_plan.h"

#define SIMULATION_TICK_MS 50
#define SIMULATION_HEARTBEAT_MS 870
#define SIMULATION_SLOTS 6
#define SIMULATION_SERVICE_MS 80
#define SIMULATION_LOAD                                  \
    0.6 /* mean load of all hosts, relative to the slots \
         */
#define SIMULATION_REPORT_MS 250   /* age of the load reports, at most */
#define SIMULATION_ENTRY_MS 100    /* until entry gateways know a change */
#define SIMULATION_RELEASE_MS 100  /* from a reply to the handover token */
#define SIMULATION_MAX_WAIT_MS 400 /* longest wait of an accepted request */
#define SIMULATION_MAX_HOSTS 300
#define SIMULATION_MAX_SPOTS 4

/* Adjacent keys that get a share of all requests for a while, and then others
   do. */
typedef struct HotSpot_t {
    double share;
    int keys;
    int period_ms;
    int offset_ms; /* of the changes */
    int first;     /* set by the simulation */
} HotSpot_t;

typedef struct SimulatedLoad_t {
    const char *name;
    int spot_count;
    HotSpot_t spots[SIMULATION_MAX_SPOTS];
} SimulatedLoad_t;

typedef enum SimulatedPlan_t {
    PLAN_NONE,
    PLAN_REBALANCE,    /* AprKeyPlan_Rebalance() at heartbeats */
    PLAN_HOT_RANGES,   /* AprHotRangePlanner_Plan() at each tick */
    PLAN_HOT_AND_WAIT, /* requests wait for grants that come in time, too */
} SimulatedPlan_t;

typedef struct SimulatedHost_t {
    char name[APR_NAME_SIZE];
    AprHotRangePlanner_t planner;
    AprKeyDemand_t demand;
    double demand_ms;     /* decaying as in the gateway */
    double reported_load; /* as the other hosts know it */
    double backlog_ms;    /* accepted work */
    int64_t heartbeat_ms; /* the next one */
    int64_t next_rebalance_ms;
} SimulatedHost_t;

typedef struct SimulationResult_t {
    double served;   /* share of the offered work */
    double possible; /* share if each key could have a host of its own */
    double pending;  /* share refused because the grant was pending */
    int moves;
    int plans;
    int conflicts;
    int max_host_ranges;
    int map_ranges;
    double max_plan_ms;
    double mean_plan_ms;
} SimulationResult_t;

typedef struct Simulation_t {
    int host_count;
    SimulatedPlan_t plan;
    SimulatedHost_t *hosts;
    AprKeyMap_t map;
    int64_t revisions[APR_KEY_PARTS];
    int owners[APR_KEY_COUNT];       /* by the map */
    int previous[APR_KEY_COUNT];     /* owner before the last move */
    int64_t moved_ms[APR_KEY_COUNT]; /* time of the last move */
    int64_t lost_ms[APR_KEY_COUNT];  /* the previous owner serves until then */
    int64_t granted_ms[APR_KEY_COUNT]; /* the owner serves from then on */
    GHashTable *indices;               /* host name -> index + 1 */
    GRand *random;
    int64_t now_ms;
    double plan_seconds;
    SimulationResult_t result;
} Simulation_t;

/* A change that is written at the end of a tick. */
typedef struct SimulatedChange_t {
    AprKeyMap_t map;
    int host;
    uint32_t parts;
    double load_factor; /* of the host, by the change */
} SimulatedChange_t;

static inline void
simulation_init(Simulation_t *simulation, int host_count, SimulatedPlan_t plan,
                uint32_t seed)
{
    memset(simulation, 0, sizeof(*simulation));
    simulation->host_count = host_count;
    simulation->plan = plan;
    simulation->hosts = calloc((size_t)host_count, sizeof(SimulatedHost_t));
    simulation->random = g_rand_new_with_seed(seed);
    simulation->indices = g_hash_table_new(g_str_hash, g_str_equal);
    AprKeyMap_Init(&simulation->map);
    for (int i = 0; i < host_count; i++) {
        SimulatedHost_t *host = &simulation->hosts[i];
        int first = (int)((int64_t)i * APR_KEY_COUNT / host_count);
        int last = (int)((int64_t)(i + 1) * APR_KEY_COUNT / host_count) - 1;

        snprintf(host->name, sizeof(host->name), "h%03d", i);
        g_hash_table_insert(simulation->indices, host->name,
                            GINT_TO_POINTER(i + 1));
        host->heartbeat_ms =
            g_rand_int_range(simulation->random, 0, SIMULATION_HEARTBEAT_MS);
        AprKeyMap_Assign(&simulation->map, first, last, host->name, NULL);
        for (int key = first; key <= last; key++) {
            simulation->owners[key] = i;
            simulation->previous[key] = i;
        }
    }
}

static inline void
simulation_free(Simulation_t *simulation)
{
    AprKeyMap_Free(&simulation->map);
    g_hash_table_destroy(simulation->indices);
    g_rand_free(simulation->random);
    free(simulation->hosts);
}

/* The host that plans; context of simulation_is_movable(). */
typedef struct SimulatedView_t {
    const Simulation_t *simulation;
    int host;
} SimulatedView_t;

/* An AprKeyReleased_t: the backend server of the owner holds the range. */
static bool
simulation_is_movable(const void *context, const AprKeyRange_t *range)
{
    const Simulation_t *simulation =
        ((const SimulatedView_t *)context)->simulation;

    return simulation->granted_ms[range->first] <= simulation->now_ms &&
           simulation->granted_ms[range->last] <= simulation->now_ms;
}

static inline int64_t
simulation_next_heartbeat(const Simulation_t *simulation, int host,
                          int64_t after_ms)
{
    int64_t at_ms = simulation->hosts[host].heartbeat_ms;

    while (at_ms < after_ms) {
        at_ms += SIMULATION_HEARTBEAT_MS;
    }
    return at_ms;
}

/* Writes a change, unless another one has written one of its parts in this
   tick. Returns whether it is in force. */
static inline bool
simulation_commit(Simulation_t *simulation, const SimulatedChange_t *change,
                  const int64_t *base_revisions)
{
    int64_t now_ms = simulation->now_ms;

    for (int part = 0; part < APR_KEY_PARTS; part++) {
        if ((change->parts & (1u << part)) != 0 &&
            simulation->revisions[part] != base_revisions[part]) {
            simulation->result.conflicts++;
            return false;
        }
    }
    for (int part = 0; part < APR_KEY_PARTS; part++) {
        if ((change->parts & (1u << part)) == 0) {
            continue;
        }
        simulation->revisions[part]++;
        AprKeyMap_CopyPart(&simulation->map, &change->map, part);
    }
    for (int i = 0; i < simulation->map.count; i++) {
        const AprKeyRange_t *range = &simulation->map.ranges[i];
        int owner = GPOINTER_TO_INT(g_hash_table_lookup(simulation->indices,
                                                        range->host)) -
                    1;

        if (simulation->owners[range->first] == owner &&
            simulation->owners[range->last] == owner) {
            continue;
        }
        for (int key = range->first; key <= range->last; key++) {
            int previous = simulation->owners[key];
            int64_t lost_ms =
                simulation_next_heartbeat(simulation, previous, now_ms);

            if (previous == owner) {
                continue;
            }
            simulation->previous[key] = previous;
            simulation->owners[key] = owner;
            simulation->moved_ms[key] = now_ms;
            simulation->lost_ms[key] = lost_ms;
            simulation->granted_ms[key] = simulation_next_heartbeat(
                simulation, owner, lost_ms + SIMULATION_RELEASE_MS);
        }
    }
    return true;
}

static inline int
simulation_list_candidates(const Simulation_t *simulation, int host,
                           AprKeyCandidate_t *candidates)
{
    int count = 0;

    for (int i = 0; i < simulation->host_count; i++) {
        if (i == host) {
            continue;
        }
        memset(&candidates[count], 0, sizeof(candidates[count]));
        strcpy(candidates[count].host, simulation->hosts[i].name);
        candidates[count].slots = SIMULATION_SLOTS;
        candidates[count].load = simulation->hosts[i].reported_load;
        candidates[count].keys = 1;
        count++;
    }
    return count;
}

static inline double
simulation_seconds(void)
{
    struct timespec now;

    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
    return (double)now.tv_sec + (double)now.tv_nsec / 1e9;
}

/* Merges ranges. Returns the number of changes in `change`. */
static inline int
simulation_consolidate(Simulation_t *simulation, int index,
                       SimulatedChange_t *change)
{
    static AprKeyCandidate_t candidates[SIMULATION_MAX_HOSTS];
    SimulatedHost_t *host = &simulation->hosts[index];
    SimulatedView_t view = {simulation, index};
    AprHotRangeInput_t input = {.host = host->name,
                                .slots = SIMULATION_SLOTS,
                                .candidates = candidates,
                                .is_movable = simulation_is_movable,
                                .context = &view,
                                .now_ms = simulation->now_ms};
    int changes;

    if (!AprHotRangePlanner_IsIdleCheckDue(
            &host->planner, host->heartbeat_ms, simulation->host_count,
            g_rand_int(simulation->random), simulation->now_ms)) {
        return 0;
    }
    input.count = simulation_list_candidates(simulation, index, candidates);
    AprKeyMap_Copy(&change->map, &simulation->map);
    input.map = &change->map;
    input.seed = g_rand_int(simulation->random);
    changes = AprHotRangePlanner_IsMergeDue(&host->planner, &input)
                  ? AprHotRangePlanner_Consolidate(&host->planner, &input)
                  : 0;
    if (changes == 0) {
        AprKeyMap_Free(&change->map);
        return 0;
    }
    change->load_factor = 1;
    return changes;
}

/* Plans with hot ranges. Returns the number of moves in `change`. */
static inline int
simulation_plan_hot_ranges(Simulation_t *simulation, int index,
                           SimulatedChange_t *change)
{
    static AprKeyCandidate_t candidates[SIMULATION_MAX_HOSTS];
    SimulatedHost_t *host = &simulation->hosts[index];
    SimulatedView_t view = {simulation, index};
    AprHotRangeResult_t result;
    AprHotRangeInput_t input = {.host = host->name,
                                .slots = SIMULATION_SLOTS,
                                .candidates = candidates,
                                .is_movable = simulation_is_movable,
                                .context = &view,
                                .now_ms = simulation->now_ms};

    if (!AprHotRangePlanner_IsDue(&host->planner, &simulation->map, host->name,
                                  SIMULATION_SLOTS, host->heartbeat_ms,
                                  simulation->now_ms)) {
        return simulation_consolidate(simulation, index, change);
    }
    input.count = simulation_list_candidates(simulation, index, candidates);
    AprKeyMap_Copy(&change->map, &simulation->map);
    input.map = &change->map;
    input.seed = g_rand_int(simulation->random);
    if (AprHotRangePlanner_Plan(&host->planner, &input, &result) == 0) {
        AprKeyMap_Free(&change->map);
        return 0;
    }
    change->load_factor = result.load_after / result.load_before;
    return result.moves;
}

/* Plans as before, at heartbeats. Returns the number of moves in `change`. */
static inline int
simulation_rebalance(Simulation_t *simulation, int index,
                     SimulatedChange_t *change)
{
    static AprKeyCandidate_t candidates[SIMULATION_MAX_HOSTS];
    SimulatedHost_t *host = &simulation->hosts[index];
    double before = host->demand_ms / (2000.0 * SIMULATION_SLOTS);
    double after = before;
    int count;
    int moves;

    if (simulation->now_ms + SIMULATION_TICK_MS <= host->heartbeat_ms ||
        simulation->now_ms < host->next_rebalance_ms) {
        return 0;
    }
    count = simulation_list_candidates(simulation, index, candidates);
    AprKeyMap_Copy(&change->map, &simulation->map);
    moves = AprKeyPlan_Rebalance(&change->map, host->name, &after,
                                 SIMULATION_SLOTS, &host->demand, candidates,
                                 count);
    if (moves == 0) {
        AprKeyMap_Free(&change->map);
        return 0;
    }
    host->next_rebalance_ms =
        simulation->now_ms + 1200 +
        g_rand_int_range(simulation->random, 0, 1 + 40 * count);
    change->load_factor = after / before;
    return moves;
}

/* Lets all hosts plan on the same map, and writes their changes in a random
   order. */
static inline void
simulation_plan(Simulation_t *simulation)
{
    static SimulatedChange_t changes[SIMULATION_MAX_HOSTS];
    int64_t base[APR_KEY_PARTS];
    int count = 0;

    memcpy(base, simulation->revisions, sizeof(base));
    for (int i = 0; i < simulation->host_count; i++) {
        double started = simulation_seconds();
        double took_ms;
        int moves =
            simulation->plan == PLAN_REBALANCE
                ? simulation_rebalance(simulation, i, &changes[count])
                : simulation_plan_hot_ranges(simulation, i, &changes[count]);

        if (moves == 0) {
            continue;
        }
        took_ms = (simulation_seconds() - started) * 1000;
        simulation->plan_seconds += took_ms / 1000;
        simulation->result.max_plan_ms =
            MAX(simulation->result.max_plan_ms, took_ms);
        simulation->result.plans++;
        simulation->result.moves += moves;
        changes[count].host = i;
        changes[count].parts =
            AprKeyMap_ChangedParts(&simulation->map, &changes[count].map);
        count++;
    }
    for (int i = 0; i < count; i++) {
        int j = g_rand_int_range(simulation->random, i, count);
        SimulatedChange_t change = changes[j];
        SimulatedHost_t *host = &simulation->hosts[change.host];
        bool in_force;

        changes[j] = changes[i];
        in_force = simulation_commit(simulation, &change, base);
        if (in_force) {
            host->demand_ms *= change.load_factor;
        }
        if (simulation->plan != PLAN_REBALANCE) {
            AprHotRangePlanner_OnChangeDone(&host->planner, in_force,
                                            g_rand_int(simulation->random),
                                            simulation->now_ms);
        }
        AprKeyMap_Free(&change.map);
    }
}

static inline int
simulation_draw_key(Simulation_t *simulation, const SimulatedLoad_t *load)
{
    double draw = g_rand_double(simulation->random);

    for (int i = 0; i < load->spot_count; i++) {
        const HotSpot_t *spot = &load->spots[i];

        if (draw < spot->share) {
            return spot->first +
                   g_rand_int_range(simulation->random, 0, spot->keys);
        }
        draw -= spot->share;
    }
    return g_rand_int_range(simulation->random, 0, APR_KEY_COUNT);
}

/* Sends a request. Returns whether a host accepts it in time. */
static inline bool
simulation_send(Simulation_t *simulation, int key)
{
    int64_t now_ms = simulation->now_ms;
    bool stale = now_ms < simulation->moved_ms[key] + SIMULATION_ENTRY_MS;
    bool waits = !stale && now_ms < simulation->granted_ms[key];
    int index = stale ? simulation->previous[key] : simulation->owners[key];
    SimulatedHost_t *host = &simulation->hosts[index];
    int64_t wait_ms = waits ? simulation->granted_ms[key] - now_ms : 0;

    AprHotRangePlanner_AddRequest(&host->planner, key, SIMULATION_SERVICE_MS,
                                  now_ms);
    AprKeyDemand_Add(&host->demand, key, SIMULATION_SERVICE_MS);
    host->demand_ms += SIMULATION_SERVICE_MS;
    if (stale && now_ms >= simulation->lost_ms[key]) {
        /* "Not owner"; the entry gateway tries the new owner. */
        index = simulation->owners[key];
        host = &simulation->hosts[index];
        wait_ms = simulation->granted_ms[key] - now_ms;
    }
    if (wait_ms > 0 && (simulation->plan != PLAN_HOT_AND_WAIT ||
                        wait_ms > SIMULATION_MAX_WAIT_MS)) {
        simulation->result.pending += 1;
        return false;
    }
    if (host->backlog_ms / SIMULATION_SLOTS > SIMULATION_MAX_WAIT_MS) {
        return false;
    }
    host->backlog_ms += SIMULATION_SERVICE_MS;
    return true;
}

/* Advances the work, heartbeats and load reports of the hosts by a tick. */
static inline void
simulation_advance(Simulation_t *simulation)
{
    for (int i = 0; i < simulation->host_count; i++) {
        SimulatedHost_t *host = &simulation->hosts[i];

        host->backlog_ms =
            MAX(0, host->backlog_ms - SIMULATION_SLOTS * SIMULATION_TICK_MS);
        host->demand_ms *= 1 - SIMULATION_TICK_MS / 2000.0;
        if (simulation->now_ms >= host->heartbeat_ms) {
            host->heartbeat_ms += SIMULATION_HEARTBEAT_MS;
        }
        if (simulation->now_ms % SIMULATION_REPORT_MS == 0) {
            host->reported_load =
                host->demand_ms / (2000.0 * SIMULATION_SLOTS);
        }
        if (simulation->now_ms % 1000 == 0) {
            AprKeyDemand_Decay(&host->demand, 0.75);
        }
    }
}

/* Places the spots whose period begins. */
static inline void
simulation_move_spots(Simulation_t *simulation, SimulatedLoad_t *load)
{
    for (int i = 0; i < load->spot_count; i++) {
        HotSpot_t *spot = &load->spots[i];

        if ((simulation->now_ms + spot->offset_ms) % spot->period_ms == 0 ||
            simulation->now_ms == 0) {
            spot->first = g_rand_int_range(simulation->random, 0,
                                           APR_KEY_COUNT - spot->keys);
        }
    }
}

/* Returns the share of the demand that can be served if no key has more than
   one host. */
static inline double
simulation_possible_share(const Simulation_t *simulation,
                          const SimulatedLoad_t *load)
{
    double total = SIMULATION_LOAD * simulation->host_count;
    double lost = 0;

    for (int i = 0; i < load->spot_count; i++) {
        const HotSpot_t *spot = &load->spots[i];
        double per_key = spot->share * total / spot->keys;

        lost += per_key > 1 ? (per_key - 1) * spot->keys : 0;
    }
    return 1 - lost / total;
}

/* Runs a load for a time. */
static inline SimulationResult_t
simulation_run(int host_count, SimulatedPlan_t plan,
               const SimulatedLoad_t *load, int64_t duration_ms, uint32_t seed)
{
    Simulation_t *simulation = malloc(sizeof(*simulation));
    SimulatedLoad_t spots = *load;
    double per_tick = SIMULATION_LOAD * host_count * SIMULATION_SLOTS *
                      SIMULATION_TICK_MS / SIMULATION_SERVICE_MS;
    double due = 0;
    int64_t sent = 0;
    int64_t served = 0;
    SimulationResult_t result;

    simulation_init(simulation, host_count, plan, seed);
    while (simulation->now_ms < duration_ms) {
        simulation_move_spots(simulation, &spots);
        for (due += per_tick; due >= 1; due -= 1) {
            sent++;
            served += simulation_send(simulation,
                                      simulation_draw_key(simulation, &spots));
        }
        if (plan != PLAN_NONE) {
            simulation_plan(simulation);
        }
        simulation_advance(simulation);
        simulation->now_ms += SIMULATION_TICK_MS;
    }
    result = simulation->result;
    result.served = (double)served / (double)sent;
    result.pending /= (double)sent;
    result.possible = simulation_possible_share(simulation, load);
    result.map_ranges = simulation->map.count;
    result.mean_plan_ms =
        result.plans > 0 ? simulation->plan_seconds * 1000 / result.plans : 0;
    for (int i = 0; i < host_count; i++) {
        int ranges = 0;

        for (int j = 0; j < simulation->map.count; j++) {
            ranges += strcmp(simulation->map.ranges[j].host,
                             simulation->hosts[i].name) == 0;
        }
        result.max_host_ranges = MAX(result.max_host_ranges, ranges);
    }
    simulation_free(simulation);
    free(simulation);
    return result;
}

/* The loads that the placement of keys has to cope with. */
static const SimulatedLoad_t simulated_loads[] = {
    {"one hot key, 16 %", 1, {{0.16, 1, 4500, 0, 0}}},
    {"60 keys, 40 %, each 4 s", 1, {{0.40, 60, 4000, 0, 0}}},
    {"200 keys, 40 %, each 5 s", 1, {{0.40, 200, 5000, 0, 0}}},
    {"60 keys, 25 %, and 200 keys, 20 %",
     2,
     {{0.25, 60, 4000, 0, 0}, {0.20, 200, 5000, 2000, 0}}},
};

#define SIMULATED_LOADS \
    ((int)(sizeof(simulated_loads) / sizeof(simulated_loads[0])))

#endif
