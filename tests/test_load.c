#include <math.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "apricot/clock.h"
#include "internal/latency.h"
#include "internal/load_client.h"
#include "internal/load_stats.h"
#include "internal/workload.h"
#include "standins/lib/backend_server.h"
#include "tests/cutting_server.h"

/* Guards against quantiles that are off by more than a bin, and against times
   outside the range that are lost. */
static void
test_latency_quantiles(void **state)
{
    AprLatency_t *latency = AprLatency_New();

    (void)state;
    assert_true(AprLatency_Quantile(latency, 0.5) == 0);
    for (int i = 1; i <= 1000; i++) {
        AprLatency_Add(latency, i);
    }
    assert_true(fabs(AprLatency_Quantile(latency, 0.5) - 500) < 25);
    assert_true(fabs(AprLatency_Quantile(latency, 0.99) - 990) < 50);
    AprLatency_Add(latency, -1);
    AprLatency_Add(latency, NAN);
    AprLatency_Add(latency, 1e12);
    assert_int_equal(AprLatency_Count(latency), 1003);
    assert_true(AprLatency_Quantile(latency, 1) > 9e5);
    AprLatency_Free(latency);
}

/* Guards against workloads that are read differently from what was written. */
static void
test_workload_is_read(void **state)
{
    AprWorkload_t workload;
    AprError_t error;

    (void)state;
    assert_int_equal(AprWorkload_SetTargets(
                         &workload, "127.0.0.1:8001,127.0.0.2:65535", &error),
                     APR_OK);
    assert_int_equal(workload.target_count, 2);
    assert_string_equal(workload.targets[1], "127.0.0.2:65535");
    assert_int_equal(
        AprWorkload_SetRanks(&workload,
                             "urgent:1:200:reserve,batch:3:8000:list", &error),
        APR_OK);
    assert_int_equal(workload.rank_count, 2);
    assert_string_equal(workload.ranks[1].name, "batch");
    assert_true(workload.ranks[1].share == 0.75);
    assert_int_equal(workload.ranks[1].timeout_ms, 8000);
    assert_string_equal(workload.ranks[1].operation, "list");
}

/* Guards against malformed options that start a run with other figures. */
static void
test_malformed_workload_is_refused(void **state)
{
    static const char *const targets[] = {
        "",           "127.0.0.1", "127.0.0.1:", "127.0.0.1:70000",
        "1.2.3.4:5,", ":80",       "a:1x"};
    static const char *const ranks[] = {
        "",      "a:1:200",     "a:1:200:op:x", "a:0:200:op", "a:x:200:op",
        ":1:2:", "a:nan:2:op",  "a:1:0:op",     "a:1:2:",     "a:1:2:op,",
        "a:1:",  "a:1:6e5x:op", "a:1:600001:op"};
    AprWorkload_t workload;
    AprError_t error;

    (void)state;
    for (size_t i = 0; i < sizeof(targets) / sizeof(targets[0]); i++) {
        assert_int_equal(AprWorkload_SetTargets(&workload, targets[i], &error),
                         APR_E_INVALID);
    }
    for (size_t i = 0; i < sizeof(ranks) / sizeof(ranks[0]); i++) {
        assert_int_equal(AprWorkload_SetRanks(&workload, ranks[i], &error),
                         APR_E_INVALID);
    }
}

/* Guards against arrivals that do not repeat with the seed or miss the rate,
   the mix or the skew. */
static void
test_arrivals(void **state)
{
    AprWorkload_t workload = {.rate = 1000, .keys = 100, .skew = 1, .seed = 7};
    AprArrivals_t *one;
    AprArrivals_t *two;
    AprArrival_t last = {0};
    int first_rank = 0;
    int first_key = 0;

    (void)state;
    AprWorkload_SetTargets(&workload, "127.0.0.1:1,127.0.0.1:2", NULL);
    AprWorkload_SetRanks(&workload, "a:1:9:op,b:3:9:op", NULL);
    one = AprArrivals_New(&workload);
    two = AprArrivals_New(&workload);
    for (int i = 0; i < 20000; i++) {
        AprArrival_t again = AprArrivals_Next(two);

        last = AprArrivals_Next(one);
        assert_true(last.at_s == again.at_s && last.key == again.key);
        first_rank += last.rank == 0;
        first_key += last.key == 0;
    }
    assert_true(fabs(last.at_s - 20) < 1);
    assert_true(abs(first_rank - 5000) < 400);
    /* The harmonic number of 100 is 5.187. */
    assert_true(abs(first_key - 3856) < 400);
    AprArrivals_Free(one);
    AprArrivals_Free(two);
}

/* Guards against idempotency keys that the router refuses or that repeat. */
static void
test_uuid_version_7(void **state)
{
    char one[APR_UUID_TEXT_SIZE];
    char two[APR_UUID_TEXT_SIZE];

    (void)state;
    AprUuid7_Text(0x0123456789abLL, one);
    AprUuid7_Text(0x0123456789abLL, two);
    assert_memory_equal(one, "01234567-89ab-7", 15);
    assert_non_null(strchr("89ab", one[19]));
    assert_string_not_equal(one, two);
}

/* Guards against outcomes counted under another name and against a gap that
   leaves out the start or the end of the run. */
static void
test_outcomes_and_gap(void **state)
{
    AprLoadStats_t stats;

    (void)state;
    assert_int_equal(AprLoadStats_OutcomeOf("answered"), APR_LOAD_ANSWERED);
    assert_int_equal(AprLoadStats_OutcomeOf("not-run"), APR_LOAD_NOT_RUN);
    assert_int_equal(AprLoadStats_OutcomeOf("unknown"), APR_LOAD_UNKNOWN);
    assert_int_equal(AprLoadStats_OutcomeOf("rejected"), APR_LOAD_REJECTED);
    assert_int_equal(AprLoadStats_OutcomeOf("transport"), APR_LOAD_TRANSPORT);
    assert_int_equal(AprLoadStats_OutcomeOf(NULL), APR_LOAD_TRANSPORT);
    assert_true(AprLoadStats_Init(&stats, 1));
    AprLoadStats_Add(&stats, 0, APR_LOAD_ANSWERED, 1.0, 1.5);
    AprLoadStats_Add(&stats, 0, APR_LOAD_NOT_RUN, 2.0, 2.5);
    AprLoadStats_Add(&stats, 0, APR_LOAD_ANSWERED, 2.0, 2.75);
    assert_true(stats.longest_gap_s == 1.5);
    AprLoadStats_Finish(&stats, 10);
    assert_true(stats.longest_gap_s == 7.25);
    assert_int_equal(AprLatency_Count(stats.ranks[0].latency), 2);
    AprLoadStats_Clear(&stats);
}

/* Guards against requests that libcurl sends a second time when a reused
   connection closes, against requests that are left in the waiting line, and
   against answers without an outcome that count as answered. */
static void
test_each_request_is_sent_once(void **state)
{
    AprClock_t clock = AprClock_System();
    AprWorkload_t workload = {.service = "desk",
                              .key_prefix = "job/",
                              .caller = "test",
                              .rate = 400,
                              .duration_s = 0.5,
                              .keys = 10,
                              .connections = 2,
                              .seed = 3};
    CuttingServer_t server;
    AprLoadStats_t stats;
    uint64_t sent;

    (void)state;
    start_cutting_server(&server);
    AprWorkload_SetTargets(&workload, server.address, NULL);
    AprWorkload_SetRanks(&workload, "a:3:5000:list,b:1:5000:cut", NULL);
    assert_true(AprLoadStats_Init(&stats, 2));
    assert_int_equal(AprLoadClient_Run(&workload, &clock, &stats, NULL),
                     APR_OK);
    sent = stats.ranks[0].sent + stats.ranks[1].sent;
    assert_true(stats.ranks[0].sent > 50 && stats.ranks[1].sent > 10);
    assert_int_equal(atomic_load(&server.requests), sent);
    assert_int_equal(stats.skipped, 0);
    for (int i = 0; i < 2; i++) {
        assert_int_equal(stats.ranks[i].outcomes[APR_LOAD_TRANSPORT],
                         stats.ranks[i].sent);
    }
    AprLoadStats_Clear(&stats);
    stop_cutting_server(&server);
}

/* Guards against a baseline without answers: the load generator counts only
   answers that name their outcome, so the stand-in has to name it. */
static void
test_backend_alone_answers(void **state)
{
    AprClock_t clock = AprClock_System();
    AprBackendOptions_t options = AprBackendOptions_Default();
    AprWorkload_t workload = {.service = "desk",
                              .key_prefix = "job/",
                              .caller = "test",
                              .rate = 200,
                              .duration_s = 0.5,
                              .keys = 10,
                              .connections = 2,
                              .seed = 3};
    AprBackendServer_t *server;
    AprLoadStats_t stats;

    (void)state;
    options.services[options.service_count++] = "desk";
    server = AprBackendServer_Start(&options);
    assert_non_null(server);
    AprWorkload_SetTargets(&workload, AprBackendServer_Address(server), NULL);
    AprWorkload_SetRanks(&workload, "a:1:5000:list", NULL);
    assert_true(AprLoadStats_Init(&stats, 1));
    assert_int_equal(AprLoadClient_Run(&workload, &clock, &stats, NULL),
                     APR_OK);
    assert_true(stats.ranks[0].sent > 50);
    assert_int_equal(stats.ranks[0].outcomes[APR_LOAD_ANSWERED],
                     stats.ranks[0].sent);
    AprLoadStats_Clear(&stats);
    AprBackendServer_Stop(server);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_latency_quantiles),
        cmocka_unit_test(test_workload_is_read),
        cmocka_unit_test(test_malformed_workload_is_refused),
        cmocka_unit_test(test_arrivals),
        cmocka_unit_test(test_uuid_version_7),
        cmocka_unit_test(test_outcomes_and_gap),
        cmocka_unit_test(test_each_request_is_sent_once),
        cmocka_unit_test(test_backend_alone_answers),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
