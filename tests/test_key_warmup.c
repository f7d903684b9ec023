/* Keys that arrive at a backend server without a handover token: which count
   as slow, and whose service times are learned. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "apricot/key_warmup.h"
#include "gateway_cluster.h"
#include "platform/codec.h"

#define WARM_MS 4000

static AprGrant_t
grant(int first, int last, const char *token)
{
    AprGrant_t result = {.first = first, .last = last, .fence = 1};

    g_strlcpy(result.token, token, sizeof(result.token));
    return result;
}

/* Guards against keys that count as slow although they were handed over, and
   against the reverse, when ranges are cut differently with each reply. */
static void
test_new_keys_without_token_are_slow(void **state)
{
    AprKeyWarmup_t warmup = {0};
    AprGrant_t first[] = {grant(0, 99, "t")};
    AprGrant_t second[] = {grant(50, 149, ""), grant(150, 199, "t"),
                           grant(300, 300, "")};
    AprGrant_t third[] = {grant(0, 120, ""), grant(150, 300, "t")};

    (void)state;
    assert_int_equal(AprKeyWarmup_AddGrants(&warmup, first, 1, WARM_MS, 1000),
                     0);
    assert_int_equal(AprKeyWarmup_AddGrants(&warmup, second, 3, WARM_MS, 2000),
                     51);
    assert_false(AprKeyWarmup_IsSlow(&warmup, 99, 2000));
    assert_true(AprKeyWarmup_IsSlow(&warmup, 100, 2000));
    assert_true(AprKeyWarmup_IsSlow(&warmup, 149, 2000));
    assert_false(AprKeyWarmup_IsSlow(&warmup, 150, 2000));
    assert_true(AprKeyWarmup_IsSlow(&warmup, 300, 2000 + WARM_MS - 1));
    assert_false(AprKeyWarmup_IsSlow(&warmup, 300, 2000 + WARM_MS));
    /* 0 to 49 return without a token, 121 to 149 leave, and the others are
       slow for as long as before. */
    assert_int_equal(AprKeyWarmup_AddGrants(&warmup, third, 2, WARM_MS, 3000),
                     50);
    assert_true(AprKeyWarmup_IsSlow(&warmup, 49, 2000 + WARM_MS));
    assert_true(AprKeyWarmup_IsSlow(&warmup, 120, 2000 + WARM_MS - 1));
    assert_false(AprKeyWarmup_IsSlow(&warmup, 120, 2000 + WARM_MS));
    assert_false(AprKeyWarmup_IsSlow(&warmup, 121, 3000));
    assert_true(AprKeyWarmup_IsSlow(&warmup, 300, 3000));
}

/* Guards against a restart of the gateway after which all keys count as slow,
   and against a lost reply whose keys count as held. */
static void
test_reported_keys_are_held(void **state)
{
    AprKeyWarmup_t warmup = {0};
    AprGrant_t all[] = {grant(0, 9, ""), grant(10, 19, "")};

    (void)state;
    AprKeyWarmup_SetHeld(&warmup, all, 1);
    assert_int_equal(AprKeyWarmup_AddGrants(&warmup, all, 2, WARM_MS, 0), 10);
    assert_false(AprKeyWarmup_IsSlow(&warmup, 9, 0));
    AprKeyWarmup_SetHeld(&warmup, all, 1);
    assert_int_equal(AprKeyWarmup_AddGrants(&warmup, all, 2, WARM_MS, 900),
                     10);
    assert_true(AprKeyWarmup_IsSlow(&warmup, 10, WARM_MS + 899));
    AprKeyWarmup_Reset(&warmup);
    AprKeyWarmup_AddGrants(&warmup, all, 1, INT64_MAX, 1000);
    assert_false(AprKeyWarmup_IsSlow(&warmup, 0, 1000 + 10 * 60 * 1000));
    AprKeyWarmup_Reset(&warmup);
    assert_int_equal(AprKeyWarmup_AddGrants(&warmup, all, 2, 0, 1000), 0);
    assert_false(AprKeyWarmup_IsSlow(&warmup, 10, 1000));
}

/* Guards against a write beyond the lists when a key map is cut into single
   keys. */
static void
test_more_ranges_than_are_kept(void **state)
{
    static AprGrant_t grants[APR_MAX_HELD_RANGES + 1];
    AprKeyWarmup_t warmup = {0};
    int count = APR_MAX_HELD_RANGES + 1;

    (void)state;
    for (int i = 0; i < count; i++) {
        grants[i] = grant(2 * i, 2 * i, "");
    }
    assert_int_equal(
        AprKeyWarmup_AddGrants(&warmup, grants, count, WARM_MS, 0), count);
    assert_int_equal(warmup.slow_count, APR_MAX_SLOW_RANGES);
    assert_true(AprKeyWarmup_IsSlow(&warmup, 2 * (count - 1), 0));
    AprKeyWarmup_AddGrants(&warmup, grants, count, WARM_MS, 100);
    assert_true(warmup.slow_count <= APR_MAX_SLOW_RANGES);
}

static int64_t
parse_warmup_ms(const char *member)
{
    char text[400];
    AprRouteTable_t *table;
    AprError_t error;
    int64_t warmup_ms;

    snprintf(text, sizeof(text),
             "{\"version\":\"1\",\"routes\":[],\"services\":[{\"name\":\"s\""
             "%s}],\"limits\":{\"maxHeaderBytes\":1,\"idleTimeoutS\":1}}",
             member);
    assert_int_equal(Platform_ParseRoutes(text, strlen(text), &table, &error),
                     APR_OK);
    warmup_ms = table->services[0].key_warmup_ms;
    AprRouteTable_Free(table);
    return warmup_ms;
}

/* Guards against a member that is read wrongly, or whose absence is an error.
 */
static void
test_configuration(void **state)
{
    (void)state;
    assert_int_equal(parse_warmup_ms(""), 0);
    assert_int_equal(parse_warmup_ms(",\"warmS\":3.5"), 3500);
    assert_int_equal(parse_warmup_ms(",\"warmS\":\"x\""), 0);
}

static Cluster_t cluster;

static int
stop_cluster(void **state)
{
    (void)state;
    cluster_run_for(&cluster, 1.2);
    cluster_stop(&cluster);
    return 0;
}

/* Sends 50 requests a second to host 0 for a key of its own. Returns its pace
   in percent, which follows from the durations, at the end. */
static int
send_load(double seconds)
{
    AprHostLoad_t load = {0};
    int key = cluster.hosts[0].held[0].first;

    for (int i = 0; i < (int)(seconds * 50); i++) {
        cluster_send_request(&cluster, 0, key, "GET");
        cluster_run_for(&cluster, 0.02);
    }
    AprGateway_GetLoad(cluster.hosts[0].gateway, &load);
    return load.pace;
}

static int64_t
count_slow_runs(void)
{
    return AprMetric_Value(
        AprMetrics_RegisterCounter(cluster.hosts[0].gateway->metrics,
                                   "backend_slow_key_runs_total", "", ""));
}

/* Guards against a backend server with new keys that is taken for a slow one,
   and against service times that are still left out afterwards. */
static void
test_service_times_of_slow_keys_are_left_out(void **state)
{
    ClusterHost_t *host = &cluster.hosts[0];
    int64_t slow_runs;
    int pace;

    (void)state;
    cluster_key_warmup_ms = 2000;
    cluster_start(&cluster);
    host->gateway->settings.balancing_mode = APR_BALANCING_ON;
    assert_true(cluster_wait_until_held(&cluster, 6.0) < 6.0);
    cluster_run_for(&cluster, 2.1);
    pace = send_load(0.5);
    assert_in_range(pace, 80, 110);
    slow_runs = count_slow_runs();
    /* A new incarnation gets its keys without tokens and is slow. */
    host->service_time_s = 4 * CLUSTER_SERVICE_TIME_S;
    host_kill_backend(host);
    host_start_backend(host);
    cluster_run_for(&cluster, 2 * CLUSTER_HEARTBEAT_S);
    assert_true(host->held_count > 0);
    pace = send_load(0.4);
    print_message("pace %d, left out %d\n", pace,
                  (int)(count_slow_runs() - slow_runs));
    assert_in_range(pace, 80, 110);
    assert_true(count_slow_runs() > slow_runs);
    cluster_run_for(&cluster, 1.5);
    slow_runs = count_slow_runs();
    pace = send_load(0.2);
    print_message("pace %d afterwards\n", pace);
    assert_int_equal(count_slow_runs(), slow_runs);
    assert_true(pace > 110);
}

/* Guards against a restarted gateway that leaves out the service times of keys
   which the backend server has held for long. */
static void
test_restart_of_the_gateway(void **state)
{
    ClusterHost_t *host = &cluster.hosts[0];
    int answered;

    (void)state;
    cluster_key_warmup_ms = 8000;
    cluster_start(&cluster);
    assert_true(cluster_wait_until_held(&cluster, 6.0) < 6.0);
    host_kill_gateway(host);
    host_start_gateway(host);
    cluster_run_for(&cluster, 3 * CLUSTER_HEARTBEAT_S);
    answered = cluster.answered;
    send_load(0.5);
    assert_true(cluster.answered > answered);
    assert_int_equal(count_slow_runs(), 0);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_new_keys_without_token_are_slow),
        cmocka_unit_test(test_reported_keys_are_held),
        cmocka_unit_test(test_more_ranges_than_are_kept),
        cmocka_unit_test(test_configuration),
        cmocka_unit_test_teardown(test_service_times_of_slow_keys_are_left_out,
                                  stop_cluster),
        cmocka_unit_test_teardown(test_restart_of_the_gateway, stop_cluster),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
