/* Evacuation of a failure domain in a cluster: the operators' item stops the
   requests to its backend servers and moves their keys, and its removal opens
   the domain again. Hosts 0 and 3 are in domain d0. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "gateway_cluster.h"

#define START_TIMEOUT_S 6.0

/* Time from the acknowledgement of the item until no request may reach a
   backend server of the domain. */
#define DEADLINE_S 5.0

static Cluster_t cluster;
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
start_with_evacuation(void)
{
    running = true;
    cluster_init(&cluster);
    for (int i = 0; i < CLUSTER_HOSTS; i++) {
        cluster.hosts[i].settings.evacuation_deadline_s = DEADLINE_S;
    }
    cluster_start_hosts(&cluster);
    assert_true(cluster_wait_until_held(&cluster, START_TIMEOUT_S) <
                START_TIMEOUT_S);
}

/* Writes or removes the item of a domain, as the operators do. */
static void
set_evacuated(const char *domain, bool evacuated)
{
    char key[64];

    snprintf(key, sizeof(key), "conf/evacuate/%s", domain);
    cluster.store.revision++;
    store_put_item(&cluster.store, key, evacuated ? "{}" : NULL, 0);
}

static bool
is_in_domain(int host, const char *domain)
{
    return strcmp(cluster.hosts[host].settings.failure_domain, domain) == 0;
}

/* Returns the number of requests that the backend servers of a domain got. */
static int
count_runs(const char *domain)
{
    int runs = 0;

    for (int i = 0; i < CLUSTER_HOSTS; i++) {
        runs += is_in_domain(i, domain) ? cluster.hosts[i].run_count : 0;
    }
    return runs;
}

static int
count_held_ranges(const char *domain)
{
    int ranges = 0;

    for (int i = 0; i < CLUSTER_HOSTS; i++) {
        ranges += is_in_domain(i, domain) ? cluster.hosts[i].held_count : 0;
    }
    return ranges;
}

static void
assert_single_owner(void)
{
    assert_int_equal(cluster.overlaps, 0);
    assert_int_equal(cluster.unowned_runs, 0);
}

/* Guards against requests that still reach a domain after the deadline, keys
   that stay there, and requests that its hosts no longer take from callers. */
static void
test_domain_gets_no_requests_after_deadline(void **state)
{
    int runs;

    (void)state;
    start_with_evacuation();
    cluster_run_with_load(&cluster, 0.5, "POST");
    set_evacuated("d0", true);
    cluster_run_with_load(&cluster, 3.0, "POST");
    assert_int_equal(count_held_ranges("d0"), 0);
    assert_int_equal(cluster_count_unheld_keys(&cluster), 0);
    print_message("refused %d of %d during the handover\n", cluster.refused,
                  cluster.sent);
    cluster_run_for(&cluster, 0.5);
    assert_int_equal(cluster.cut + cluster.failed, 0);
    cluster.sent = 0;
    cluster.answered = 0;
    runs = count_runs("d0");
    cluster_run_with_load(&cluster, 3.0, "POST");
    cluster_run_for(&cluster, 0.3);
    assert_int_equal(count_runs("d0"), runs);
    assert_int_equal(cluster.answered, cluster.sent);
    assert_single_owner();
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_teardown(test_domain_gets_no_requests_after_deadline,
                                  stop_cluster),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
