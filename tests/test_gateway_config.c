/* How soon a change of the configuration is in force on every host that can
   reach the store, while hosts that watch the store for the others are lost or
   get no answers. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "gateway_cluster.h"

#define START_TIMEOUT_S 6.0

/* Time after its acknowledgement from which a configuration must be in
   force. */
#define CONFIG_DEADLINE_S 2.0

/* Moments of the fault, spread over the longest wait of a watch, and of the
   change after it. */
#define MOMENTS 4
#define MOMENT_STEP_S 0.37
#define CHANGE_DELAY_S 0.1

/* Interval at which the hosts are asked. */
#define STEP_S 0.02

static Cluster_t cluster;
static bool excused[CLUSTER_HOSTS]; /* the fault concerns the host itself */
static unsigned version;
static bool running;

static int
stop_cluster(void **state)
{
    (void)state;
    if (running) {
        running = false;
        cluster_stop(&cluster);
    }
    return 0;
}

static void
start_with_watchers(void)
{
    stop_cluster(NULL);
    running = true;
    memset(excused, 0, sizeof(excused));
    version = 1;
    cluster_start(&cluster);
    assert_true(cluster_wait_until_held(&cluster, START_TIMEOUT_S) <
                START_TIMEOUT_S);
    cluster_run_for(&cluster, 2.0);
}

/* Lists the hosts that watch the store and returns their number. */
static int
list_watchers(int *hosts)
{
    int count = 0;

    for (int i = 0; i < CLUSTER_HOSTS; i++) {
        if (cluster.hosts[i].gateway != NULL &&
            AprStoreCache_IsWatcher(cluster.hosts[i].gateway->store_cache)) {
            hosts[count++] = i;
        }
    }
    return count;
}

static void
change_config(void)
{
    char text[16];

    snprintf(text, sizeof(text), "%u", ++version);
    cluster.store.revision++;
    store_put_item(&cluster.store, "config", text, 0);
}

/* Returns the seconds until the newest configuration is in force on all hosts
   but the excused ones; at most 6. */
static double
wait_until_in_force(void)
{
    for (int step = 0; step < 300; step++) {
        bool everywhere = true;

        for (int i = 0; i < CLUSTER_HOSTS; i++) {
            const ClusterHost_t *host = &cluster.hosts[i];

            everywhere &=
                excused[i] || host->gateway->routes->version == version;
        }
        if (everywhere) {
            return step * STEP_S;
        }
        cluster_run_for(&cluster, STEP_S);
    }
    return 300 * STEP_S;
}

static void
assert_change_is_in_force_in_time(void)
{
    double waited_s;

    cluster_run_for(&cluster, CHANGE_DELAY_S);
    change_config();
    waited_s = wait_until_in_force();
    print_message("in force after %.2f s\n", waited_s);
    assert_true(waited_s < CONFIG_DEADLINE_S);
}

/* Guards against hosts that follow a watcher which the store has stopped to
   answer. */
static void
test_config_passes_a_silent_watcher(void **state)
{
    int watchers[CLUSTER_HOSTS];

    (void)state;
    for (int i = 0; i < MOMENTS; i++) {
        start_with_watchers();
        cluster_run_for(&cluster, i * MOMENT_STEP_S);
        assert_int_equal(list_watchers(watchers), 2);
        cluster.hosts[watchers[i % 2]].store_silent = true;
        assert_change_is_in_force_in_time();
    }
}

/* Guards against hosts that wait for news of two watchers which the store does
   not answer, although it answers everybody else. */
static void
test_config_passes_two_silent_watchers(void **state)
{
    int watchers[CLUSTER_HOSTS];

    (void)state;
    for (int i = 0; i < MOMENTS; i++) {
        start_with_watchers();
        cluster_run_for(&cluster, i * MOMENT_STEP_S);
        assert_int_equal(list_watchers(watchers), 2);
        for (int j = 0; j < 2; j++) {
            cluster.hosts[watchers[j]].store_silent = true;
            excused[watchers[j]] = true;
        }
        assert_change_is_in_force_in_time();
    }
}

/* Guards against hosts that look for another source too late when both
   watchers are lost. */
static void
test_config_passes_two_lost_watchers(void **state)
{
    int watchers[CLUSTER_HOSTS];

    (void)state;
    for (int i = 0; i < MOMENTS; i++) {
        start_with_watchers();
        cluster_run_for(&cluster, i * MOMENT_STEP_S);
        assert_int_equal(list_watchers(watchers), 2);
        for (int j = 0; j < 2; j++) {
            host_kill_gateway(&cluster.hosts[watchers[j]]);
            excused[watchers[j]] = true;
        }
        assert_change_is_in_force_in_time();
    }
}

/* Guards against a further change that is late because the hosts have stopped
   to watch the store for themselves. */
static void
test_later_changes_pass_two_silent_watchers(void **state)
{
    int watchers[CLUSTER_HOSTS];

    (void)state;
    start_with_watchers();
    assert_int_equal(list_watchers(watchers), 2);
    for (int j = 0; j < 2; j++) {
        cluster.hosts[watchers[j]].store_silent = true;
        excused[watchers[j]] = true;
    }
    for (int i = 0; i < 4; i++) {
        assert_change_is_in_force_in_time();
        cluster_run_for(&cluster, i * MOMENT_STEP_S);
    }
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_teardown(test_config_passes_a_silent_watcher,
                                  stop_cluster),
        cmocka_unit_test_teardown(test_config_passes_two_silent_watchers,
                                  stop_cluster),
        cmocka_unit_test_teardown(test_config_passes_two_lost_watchers,
                                  stop_cluster),
        cmocka_unit_test_teardown(test_later_changes_pass_two_silent_watchers,
                                  stop_cluster),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
