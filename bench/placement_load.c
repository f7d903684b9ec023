/* Plays hot spots of keys that move every few seconds to the placement of keys
   in virtual time, and prints the served share of the requests and the
   processor time of a decision: without moves, with the moves at heartbeats,
   and with the moves of hot ranges. */

#include "tests/placement_simulation.h"

#define DURATION_MS 40000
#define DEFAULT_SEED 20261206

int
main(int argc, char **argv)
{
    static const char *const names[] = {"none", "heartbeat", "hot",
                                        "hot+wait"};
    static const int host_counts[] = {8, 64, 300};
    uint32_t seed =
        argc > 1 ? (uint32_t)strtoul(argv[1], NULL, 10) : DEFAULT_SEED;

    printf("%-34s %5s %-9s %6s %8s %7s %6s %6s %5s %5s %5s %8s %8s\n", "load",
           "hosts", "plan", "served", "possible", "pending", "plans", "moves",
           "confl", "rows", "map", "mean_ms", "max_ms");
    for (int load = 0; load < SIMULATED_LOADS; load++) {
        for (int hosts = 0; hosts < 3; hosts++) {
            for (int plan = PLAN_NONE; plan <= PLAN_HOT_AND_WAIT; plan++) {
                SimulationResult_t result =
                    simulation_run(host_counts[hosts], (SimulatedPlan_t)plan,
                                   &simulated_loads[load], DURATION_MS, seed);

                printf("%-34s %5d %-9s %6.3f %8.3f %7.3f %6d %6d %5d %5d %5d "
                       "%8.3f %8.3f\n",
                       simulated_loads[load].name, host_counts[hosts],
                       names[plan], result.served, result.possible,
                       result.pending, result.plans, result.moves,
                       result.conflicts, result.max_host_ranges,
                       result.map_ranges, result.mean_plan_ms,
                       result.max_plan_ms);
                fflush(stdout);
            }
        }
    }
    return 0;
}
