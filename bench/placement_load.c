/* Plays hot spots of keys that move every few seconds to the placement of keys
   in virtual time, and prints the served share of the requests and the
   processor time of a decision: without moves, with the moves at heartbeats,
   with the moves of hot ranges, and with requests that wait for grants, too.
 */

#include "tests/placement_simulation.h"

#define DURATION_MS 40000
#define DEFAULT_SEED 20261206

static const char *const load_names[] = {"one_key", "60_keys", "200_keys",
                                         "two_spots"};
static const char *const plan_names[] = {"none", "heartbeat", "hot",
                                         "hot_and_wait"};
static const int host_counts[] = {8, 64, 300};

static void
print_value(int load, int hosts, int plan, const char *name, double value,
            const char *unit)
{
    printf("placement_load.%s.%d_hosts.%s.%s %.3f %s\n", load_names[load],
           hosts, plan_names[plan], name, value, unit);
}

static void
run(int load, int hosts, int plan, uint32_t seed)
{
    SimulationResult_t result =
        simulation_run(hosts, (SimulatedPlan_t)plan, &simulated_loads[load],
                       DURATION_MS, seed);

    print_value(load, hosts, plan, "served", result.served, "share");
    print_value(load, hosts, plan, "possible", result.possible, "share");
    if (plan != PLAN_NONE) {
        print_value(load, hosts, plan, "pending", result.pending, "share");
        print_value(load, hosts, plan, "plans", result.plans, "plans");
        print_value(load, hosts, plan, "moves", result.moves, "moves");
        print_value(load, hosts, plan, "conflicts", result.conflicts,
                    "changes");
        print_value(load, hosts, plan, "map", result.map_ranges, "ranges");
        print_value(load, hosts, plan, "host", result.max_host_ranges,
                    "ranges");
        print_value(load, hosts, plan, "plan_mean", result.mean_plan_ms, "ms");
        print_value(load, hosts, plan, "plan_max", result.max_plan_ms, "ms");
    }
    fflush(stdout);
}

int
main(int argc, char **argv)
{
    uint32_t seed =
        argc > 1 ? (uint32_t)strtoul(argv[1], NULL, 10) : DEFAULT_SEED;

    for (int load = 0; load < SIMULATED_LOADS; load++) {
        for (int i = 0; i < 3; i++) {
            for (int plan = PLAN_NONE; plan <= PLAN_HOT_AND_WAIT; plan++) {
                run(load, host_counts[i], plan, seed);
            }
        }
    }
    return 0;
}
