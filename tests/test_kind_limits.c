/* Limits for a kind of peer in a running gateway. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "gateway_cluster.h"

#define START_TIMEOUT_S 6.0

static Cluster_t cluster;

/* Guards against a kind of peer that is read beyond its limit, against one
   that stops other kinds, and against a pause without an end. The store counts
   as at its limit while what is held of it is set to that. */
static void
test_kind_at_its_limit_is_not_read(void **state)
{
    ClusterHost_t *host = &cluster.hosts[0];
    size_t *held = &cluster.streams.received_by_kind[APR_MEMORY_BACKEND];
    size_t limit;
    int key;

    (void)state;
    cluster_start(&cluster);
    assert_true(cluster_wait_until_held(&cluster, START_TIMEOUT_S) <
                START_TIMEOUT_S);
    key = host->held[0].first;
    limit = AprMemoryBudget_KindLimit(&host->gateway->memory_budget,
                                      APR_MEMORY_BACKEND);
    cluster.streams.received_by_kind[APR_MEMORY_STORE] = 2 * limit;
    cluster_run_for(&cluster, 0.2);
    cluster_send_request(&cluster, 0, key, "GET");
    cluster_run_for(&cluster, 0.2);
    assert_int_equal(cluster.answered, 1);
    cluster.streams.received_by_kind[APR_MEMORY_STORE] = 0;

    *held = limit;
    cluster_run_for(&cluster, 0.2);
    cluster_send_request(&cluster, 0, key, "GET");
    cluster_run_for(&cluster, 0.4);
    assert_int_equal(host->run_count, 2);
    assert_int_equal(cluster.answered, 1);
    *held -= limit;
    cluster_run_for(&cluster, 0.3);
    assert_int_equal(cluster.answered, 2);
    cluster_stop(&cluster);
}

/* Guards against response bytes that still count to the limit after their
   caller has taken them, or has left. */
static void
test_delivered_bytes_do_not_count(void **state)
{
    size_t *held = &cluster.streams.received_by_kind[APR_MEMORY_BACKEND];
    size_t most = 0;
    int fd;

    (void)state;
    cluster_start(&cluster);
    assert_true(cluster_wait_until_held(&cluster, START_TIMEOUT_S) <
                START_TIMEOUT_S);
    cluster.hosts[0].response_size = 4 << 20;
    cluster_send_request(&cluster, 0, cluster.hosts[0].held[0].first, "GET");
    fd = cluster_connect_caller(&cluster.hosts[1], 4096);
    dprintf(fd,
            "GET /k/1 HTTP/1.1\r\nHost: desk.example\r\nAttempt: c1\r\n"
            "Time-Left: 1000\r\nKey: %d\r\n\r\n",
            cluster.hosts[0].held[0].first);
    for (int i = 0; i < 20; i++) {
        cluster_run_for(&cluster, 0.01);
        most = MAX(most, *held);
    }
    assert_true(most > 0);
    close(fd);
    cluster_run_for(&cluster, 1.5);
    assert_int_equal(*held, 0);
    cluster_stop(&cluster);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_kind_at_its_limit_is_not_read),
        cmocka_unit_test(test_delivered_bytes_do_not_count),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
