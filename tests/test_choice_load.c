/* Choice of hosts for unkeyed requests by remaining work; see choice_replay.h
   for the load. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "choice_replay.h"

static ReplayResult_t
run(ReplayPolicy_t policy, int hosts, double load, bool failing_host,
    int64_t duration_ms)
{
    ReplayOptions_t options = {policy, hosts, load, failing_host, duration_ms};
    ReplayResult_t result = replay_choice(&options);

    print_message("%d hosts, load %.1f, %s: timely %.3f, late %.3f, refused "
                  "%.3f, failed %.4f, %.0f ns a choice\n",
                  hosts, load,
                  policy == REPLAY_ADAPTIVE ? "sampled" : "all compared",
                  (double)result.timely / result.offered,
                  (double)result.late / result.offered,
                  (double)result.refused / result.offered,
                  (double)result.failed / result.offered, result.decision_ns);
    return result;
}

/* Guards against entry gateways that choose the same hosts by old reports, and
   against hosts that are chosen by the number of their requests while these
   take long. */
static void
test_many_entry_gateways(void **state)
{
    static const int hosts[] = {8, 64, 300};
    static const int64_t durations_ms[] = {6000, 4000, 3000};

    (void)state;
    for (size_t i = 0; i < sizeof(hosts) / sizeof(hosts[0]); i++) {
        ReplayResult_t present =
            run(REPLAY_PRESENT, hosts[i], 0.9, false, durations_ms[i]);
        ReplayResult_t adaptive =
            run(REPLAY_ADAPTIVE, hosts[i], 0.9, false, durations_ms[i]);

        assert_true(adaptive.timely * (double)present.offered >
                    present.timely * (double)adaptive.offered);
        assert_true(adaptive.timely >= 0.9 * adaptive.offered);
    }
}

/* Guards against a host that fails everything at once, and so looks idle. Each
   entry gateway has to find out for itself and to ask again later, so that it
   gets some requests, but at most a quarter of a fair share. */
static void
test_host_that_fails_at_once(void **state)
{
    ReplayResult_t present;
    ReplayResult_t adaptive;

    (void)state;
    present = run(REPLAY_PRESENT, 64, 0.7, true, 4000);
    adaptive = run(REPLAY_ADAPTIVE, 64, 0.7, true, 4000);
    assert_true(adaptive.failed < present.failed);
    assert_true(adaptive.failed <= 0.25 * adaptive.offered / 64);
}

/* Guards against a sample that leaves out a host, looks at one twice, lacks
   the own host, or looks at all hosts of a large installation. */
static void
test_sample_visits_hosts_once(void **state)
{
    AprHostCandidate_t candidate = {.slots = 6};
    AprHostSample_t sample;

    (void)state;
    for (int hosts = 1; hosts <= 310; hosts++) {
        int visits[310] = {0};

        AprHostSample_Init(&sample, hosts, hosts / 2,
                           (uint64_t)hosts * 0x9e3779b97f4a7c15u);
        for (int step = 0; step <= hosts; step++) {
            int index = AprHostSample_IndexAt(&sample, step);

            if (index >= 0) {
                visits[index]++;
            }
        }
        for (int i = 0; i < hosts; i++) {
            assert_int_equal(visits[i], 1);
        }
        for (int step = 0; step <= hosts; step++) {
            int index = AprHostSample_IndexAt(&sample, step);

            candidate.same_domain = step % 7 == 6;
            if (index >= 0 &&
                AprHostSample_Add(&sample, index, &candidate, step)) {
                assert_in_range(step, 4, 24);
                break;
            }
        }
        assert_int_equal(sample.indexes[0], hosts / 2);
        assert_true(sample.count <= APR_HOST_SAMPLE_MAX);
        assert_true(hosts < 14 || sample.has_domain);
    }
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_many_entry_gateways),
        cmocka_unit_test(test_host_that_fails_at_once),
        cmocka_unit_test(test_sample_visits_hosts_once),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
