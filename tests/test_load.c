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
#include "tests/disconnecting_server.h"

/* Guards against quantiles that are wrong by more than a bin, and against
   latencies outside the range of the histogram that are not counted. */
static void
test_latency_quantiles(void **state)
{
    AprLatencyHistogram_t *latency = AprLatencyHistogram_New();

    (void)state;
    assert_true(AprLatencyHistogram_Quantile(latency, 0.5) == 0);
    for (int i = 1; i <= 1000; i++) {
        AprLatencyHistogram_Add(latency, i);
    }
    assert_true(fabs(AprLatencyHistogram_Quantile(latency, 0.5) - 500) < 25);
    assert_true(fabs(AprLatencyHistogram_Quantile(latency, 0.99) - 990) < 50);
    AprLatencyHistogram_Add(latency, -1);
    AprLatencyHistogram_Add(latency, NAN);
    AprLatencyHistogram_Add(latency, 1e12);
    assert_int_equal(AprLatencyHistogram_Count(latency), 1003);
    assert_true(AprLatencyHistogram_Quantile(latency, 1) > 9e5);
    AprLatencyHistogram_Free(latency);
}

/* Guards against targets and ranks that are parsed into wrong values. */
static void
test_workload_is_parsed(void **state)
{
    AprWorkload_t workload;
    AprError_t error;

    (void)state;
    assert_int_equal(AprWorkload_ParseTargets(
                         &workload, "127.0.0.1:8001,127.0.0.2:65535", &error),
                     APR_OK);
    assert_int_equal(workload.target_count, 2);
    assert_string_equal(workload.targets[1], "127.0.0.2:65535");
    assert_int_equal(
        AprWorkload_ParseRanks(
            &workload, "urgent:1:200:reserve,batch:3:8000:list", &error),
        APR_OK);
    assert_int_equal(workload.rank_count, 2);
    assert_string_equal(workload.ranks[1].name, "batch");
    assert_true(workload.ranks[1].share == 0.75);
    assert_int_equal(workload.ranks[1].timeout_ms, 8000);
    assert_string_equal(workload.ranks[1].operation, "list");
}

/* Guards against malformed options that start a run with other values instead
   of an error. */
static void
test_malformed_workload_is_rejected(void **state)
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
        assert_int_equal(
            AprWorkload_ParseTargets(&workload, targets[i], &error),
            APR_E_INVALID);
    }
    for (size_t i = 0; i < sizeof(ranks) / sizeof(ranks[0]); i++) {
        assert_int_equal(AprWorkload_ParseRanks(&workload, ranks[i], &error),
                         APR_E_INVALID);
    }
}

/* Guards against arrivals that differ between runs with the same seed or do
   not follow the rate, the shares of the ranks or the skew of the keys. */
static void
test_arrivals_follow_seed_and_distributions(void **state)
{
    AprWorkload_t workload = {
        .rate_per_s = 1000, .key_count = 100, .skew = 1, .seed = 7};
    AprArrivals_t *first;
    AprArrivals_t *second;
    AprArrival_t last = {0};
    int first_rank = 0;
    int first_key = 0;

    (void)state;
    AprWorkload_ParseTargets(&workload, "127.0.0.1:1,127.0.0.1:2", NULL);
    AprWorkload_ParseRanks(&workload, "a:1:9:op,b:3:9:op", NULL);
    first = AprArrivals_New(&workload);
    second = AprArrivals_New(&workload);
    for (int i = 0; i < 20000; i++) {
        AprArrival_t again = AprArrivals_Next(second);

        last = AprArrivals_Next(first);
        assert_true(last.due_s == again.due_s &&
                    last.key_index == again.key_index);
        first_rank += last.rank_index == 0;
        first_key += last.key_index == 0;
    }
    assert_true(fabs(last.due_s - 20) < 1);
    assert_true(abs(first_rank - 5000) < 400);
    /* The first of 100 keys has a probability of 1 / 5.187, the inverse of the
       100th harmonic number. */
    assert_true(abs(first_key - 3856) < 400);
    AprArrivals_Free(first);
    AprArrivals_Free(second);
}

/* Guards against idempotency keys that the router rejects, because they are
   not version 7 UUIDs, and against duplicate ones. */
static void
test_uuid_version_7(void **state)
{
    char first[APR_UUID_TEXT_SIZE];
    char second[APR_UUID_TEXT_SIZE];

    (void)state;
    AprUuid7_Format(0x0123456789abLL, first);
    AprUuid7_Format(0x0123456789abLL, second);
    assert_memory_equal(first, "01234567-89ab-7", 15);
    assert_non_null(strchr("89ab", first[19]));
    assert_string_not_equal(first, second);
}

/* Guards against outcomes counted under another name, and against a longest
   time without an answer that ignores the start or the end of the run. */
static void
test_outcome_counts_and_longest_gap(void **state)
{
    AprLoadStats_t stats;

    (void)state;
    assert_int_equal(AprLoadStats_ParseOutcome("answered"), APR_LOAD_ANSWERED);
    assert_int_equal(AprLoadStats_ParseOutcome("not-run"), APR_LOAD_NOT_RUN);
    assert_int_equal(AprLoadStats_ParseOutcome("unknown"), APR_LOAD_UNKNOWN);
    assert_int_equal(AprLoadStats_ParseOutcome("rejected"), APR_LOAD_REJECTED);
    assert_int_equal(AprLoadStats_ParseOutcome("transport"),
                     APR_LOAD_TRANSPORT_ERROR);
    assert_int_equal(AprLoadStats_ParseOutcome(NULL),
                     APR_LOAD_TRANSPORT_ERROR);
    assert_true(AprLoadStats_Init(&stats, 1));
    AprLoadStats_RecordResult(&stats, 0, APR_LOAD_ANSWERED, 1.0, 1.5);
    AprLoadStats_RecordResult(&stats, 0, APR_LOAD_NOT_RUN, 2.0, 2.5);
    AprLoadStats_RecordResult(&stats, 0, APR_LOAD_ANSWERED, 2.0, 2.75);
    assert_true(stats.longest_gap_s == 1.5);
    AprLoadStats_Finish(&stats, 10);
    assert_true(stats.longest_gap_s == 7.25);
    assert_int_equal(AprLatencyHistogram_Count(stats.ranks[0].latency), 2);
    AprLoadStats_Clear(&stats);
}

/* Guards against requests that libcurl resends when a reused connection
   closes, against requests that are left in the queue, and against responses
   without an outcome that count as answered. */
static void
test_each_request_is_sent_once(void **state)
{
    AprClock_t clock = AprClock_System();
    AprWorkload_t workload = {.service = "desk",
                              .key_prefix = "job/",
                              .caller = "test",
                              .rate_per_s = 400,
                              .duration_s = 0.5,
                              .key_count = 10,
                              .connections = 2,
                              .seed = 3};
    DisconnectingServer_t server;
    AprLoadStats_t stats;
    uint64_t sent;

    (void)state;
    start_disconnecting_server(&server);
    AprWorkload_ParseTargets(&workload, server.address, NULL);
    AprWorkload_ParseRanks(&workload, "a:3:5000:list,b:1:5000:cut", NULL);
    assert_true(AprLoadStats_Init(&stats, 2));
    assert_int_equal(AprLoadClient_Run(&workload, &clock, &stats, NULL),
                     APR_OK);
    sent = stats.ranks[0].sent + stats.ranks[1].sent;
    assert_true(stats.ranks[0].sent > 50 && stats.ranks[1].sent > 10);
    assert_int_equal(atomic_load(&server.requests), sent);
    assert_int_equal(stats.not_sent, 0);
    for (int i = 0; i < 2; i++) {
        assert_int_equal(stats.ranks[i].outcomes[APR_LOAD_TRANSPORT_ERROR],
                         stats.ranks[i].sent);
    }
    AprLoadStats_Clear(&stats);
    stop_disconnecting_server(&server);
}

/* Guards against a baseline run without answered requests: the load generator
   counts only responses with an Apricot-Outcome header, so the stand-in
   backend server has to send it. */
static void
test_backend_responses_count_as_answered(void **state)
{
    AprClock_t clock = AprClock_System();
    AprBackendOptions_t options = AprBackendOptions_Default();
    AprWorkload_t workload = {.service = "desk",
                              .key_prefix = "job/",
                              .caller = "test",
                              .rate_per_s = 200,
                              .duration_s = 0.5,
                              .key_count = 10,
                              .connections = 2,
                              .seed = 3};
    AprBackendServer_t *server;
    AprLoadStats_t stats;

    (void)state;
    options.services[options.service_count++] = "desk";
    server = AprBackendServer_Start(&options);
    assert_non_null(server);
    AprWorkload_ParseTargets(&workload, AprBackendServer_Address(server),
                             NULL);
    AprWorkload_ParseRanks(&workload, "a:1:5000:list", NULL);
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
        cmocka_unit_test(test_workload_is_parsed),
        cmocka_unit_test(test_malformed_workload_is_rejected),
        cmocka_unit_test(test_arrivals_follow_seed_and_distributions),
        cmocka_unit_test(test_uuid_version_7),
        cmocka_unit_test(test_outcome_counts_and_longest_gap),
        cmocka_unit_test(test_each_request_is_sent_once),
        cmocka_unit_test(test_backend_responses_count_as_answered),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
