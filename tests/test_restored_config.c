/* Configurations when the store comes back from an older copy. */
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

/* Time after the return within which the era is settled. */
#define SETTLE_TIMEOUT_S 9.0

static Cluster_t cluster;

static void
start_in_first_era(void)
{
    cluster_start_in_first_era(&cluster);
    assert_true(cluster_wait_until_held(&cluster, START_TIMEOUT_S) <
                START_TIMEOUT_S);
    cluster_run_for(&cluster, 1.0);
}

static void
publish(unsigned version)
{
    char text[16];

    snprintf(text, sizeof(text), "%u", version);
    cluster.store.revision++;
    store_put_item(&cluster.store, "config", text, 0);
}

static void
publish_in_a_row(unsigned first, unsigned last)
{
    for (unsigned version = first; version <= last; version++) {
        publish(version);
        cluster_run_for(&cluster, 0.33);
    }
}

static void
assert_in_force_everywhere(unsigned version)
{
    for (int i = 0; i < CLUSTER_HOSTS; i++) {
        const AprGateway_t *gateway = cluster.hosts[i].gateway;

        assert_non_null(gateway->routes);
        assert_int_equal(gateway->routes->version, version);
    }
}

/* Guards against versions that are ignored until the revisions have passed
   those of before the return (review/12). */
static void
test_versions_after_the_return_are_in_force(void **state)
{
    (void)state;
    start_in_first_era();
    store_take_copy(&cluster.store);
    publish_in_a_row(2, 7);
    cluster_return_from_copy(&cluster);
    publish(7);
    cluster_run_for(&cluster, 6.0);
    assert_in_force_everywhere(7);
    publish(8);
    cluster_run_for(&cluster, CONFIG_DEADLINE_S);
    assert_in_force_everywhere(8);
    /* Twice in a row, and with a version that is published at once. */
    store_take_copy(&cluster.store);
    publish_in_a_row(9, 11);
    cluster_return_from_copy(&cluster);
    cluster_return_from_copy(&cluster);
    publish(11);
    publish(12);
    cluster_run_for(&cluster, CONFIG_DEADLINE_S);
    assert_in_force_everywhere(12);
    cluster_stop(&cluster);
}

/* Guards against an older configuration that replaces the one in force before
   the operators have written that again. */
static void
test_older_version_does_not_come_back(void **state)
{
    (void)state;
    start_in_first_era();
    store_take_copy(&cluster.store);
    publish_in_a_row(2, 4);
    cluster_run_for(&cluster, 1.0);
    cluster_return_from_copy(&cluster);
    for (int i = 0; i < 30; i++) {
        cluster_run_for(&cluster, 0.1);
        assert_in_force_everywhere(4);
    }
    publish(4);
    publish(5);
    cluster_run_for(&cluster, CONFIG_DEADLINE_S);
    assert_in_force_everywhere(5);
    cluster_stop(&cluster);
}

/* Guards against a refusal for good, by a process that knows only the copy, of
   a request whose route the copy may lack. */
static void
test_host_started_in_the_gap_is_not_sure_of_routes(void **state)
{
    ClusterHost_t *host = &cluster.hosts[1];

    (void)state;
    start_in_first_era();
    store_take_copy(&cluster.store);
    cluster.store.down = true;
    cluster_run_for(&cluster, CLUSTER_STORE_AWAY_S);
    host_kill_gateway(host);
    store_return_from_copy(&cluster.store);
    host_start_gateway(host);
    cluster_run_for(&cluster, 1.5);
    for (int i = 0; i < 10; i++) {
        cluster_send_to(&cluster, 1, "new.example", i, "GET");
        cluster_run_for(&cluster, 0.2);
    }
    assert_int_equal(cluster.refused, 10);
    assert_int_equal(cluster.not_found, 0);
    /* A host that has lived through the return knows. */
    cluster_send_to(&cluster, 2, "new.example", 0, "GET");
    cluster_run_for(&cluster, 0.3);
    assert_int_equal(cluster.not_found, 1);
    cluster_run_for(&cluster, SETTLE_TIMEOUT_S);
    cluster_send_to(&cluster, 1, "new.example", 0, "GET");
    cluster_run_for(&cluster, 0.3);
    assert_int_equal(cluster.not_found, 2);
    cluster_stop(&cluster);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_versions_after_the_return_are_in_force),
        cmocka_unit_test(test_older_version_does_not_come_back),
        cmocka_unit_test(test_host_started_in_the_gap_is_not_sure_of_routes),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
