/* Prints which share of unkeyed requests is answered in time, and the time per
   choice of a host, before and after hosts are chosen by remaining work. */
#include <stdio.h>

#include "tests/choice_replay.h"

#define DURATION_MS 6000

int
main(void)
{
    static const char *const names[REPLAY_POLICIES] = {
        "present admission, all hosts", "admission by cost, all hosts",
        "admission by cost, sampled"};
    static const int hosts[] = {8, 64, 300};
    static const double loads[] = {0.7, 0.9, 1.7};

    for (size_t i = 0; i < sizeof(hosts) / sizeof(hosts[0]); i++) {
        for (size_t j = 0; j < sizeof(loads) / sizeof(loads[0]); j++) {
            for (int policy = 0; policy < REPLAY_POLICIES; policy++) {
                ReplayOptions_t options = {(ReplayPolicy_t)policy, hosts[i],
                                           loads[j], false, DURATION_MS};
                ReplayResult_t result = replay_choice(&options);

                printf("hosts %3d load %.1f %-29s timely %.3f late %.3f "
                       "refused %.3f decision_ns %.0f\n",
                       hosts[i], loads[j], names[policy],
                       (double)result.timely / result.offered,
                       (double)result.late / result.offered,
                       (double)result.refused / result.offered,
                       result.decision_ns);
                fflush(stdout);
            }
        }
    }
    return 0;
}
