/* A backend server that reports its load in its responses, and gateways that
   report the remaining work to each other. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cmocka.h>

#include "scripted_backend.h"

#define RESPONSE(load)                                          \
    "HTTP/1.1 200 OK\r\nAttempt: {id}\r\nContent-Length: 4\r\n" \
    "Load: " load "\r\n\r\ndone"

static Cluster_t cluster;
static HostileServer_t server;

static int
stop_all(void **state)
{
    (void)state;
    stop_scripted_backend(&cluster, &server);
    return 0;
}

static void
start_all(AprBalancingMode_t mode, const HostileResponse_t *responses,
          int count)
{
    start_scripted_backend(&cluster, &server, responses, count);
    for (int i = 0; i < CLUSTER_HOSTS; i++) {
        cluster.hosts[i].gateway->settings.balancing_mode = mode;
    }
    cluster_run_for(&cluster, 0.2);
}

static int64_t
invalid_loads(void)
{
    AprMetric_t *metric =
        AprMetrics_RegisterCounter(cluster.hosts[0].gateway->metrics,
                                   "backend_load_invalid_total", "", "");

    return AprMetric_Value(metric);
}

/* Guards against a reported pace that does not reach the other hosts, and
   against a header that cannot be meant and is believed. */
static void
test_pace_reaches_other_hosts(void **state)
{
    static const HostileResponse_t responses[] = {
        {RESPONSE("5,0,6,-300"), NULL, HOSTILE_KEEP},
        {RESPONSE("5,0,6,300000"), NULL, HOSTILE_KEEP},
        {RESPONSE("5,0,6,300"), NULL, HOSTILE_KEEP}};
    AprHostLoad_t load;
    const AprHost_t *member;

    (void)state;
    start_all(APR_BALANCING_ON, responses, 3);
    send_to_scripted_backend(&cluster, &server, 1.0);
    AprGateway_GetLoad(cluster.hosts[0].gateway, &load);
    assert_true(load.has_work);
    assert_in_range(load.pace, 200, 300);
    member = AprMembers_Find(cluster.hosts[1].gateway->members, "h0");
    assert_non_null(member);
    assert_true(member->load_report.has_work);
    assert_in_range(member->load_report.pace, 200, 300);
    assert_int_equal(invalid_loads(), 2);
    assert_int_equal(cluster.failed + cluster.cut, 0);
}

/* Guards against remaining work in frames of a deployment that has not enabled
   adaptive balancing. */
static void
test_no_work_unless_adaptive(void **state)
{
    static const HostileResponse_t response = {RESPONSE("5,0,6,300"), NULL,
                                               HOSTILE_KEEP};
    const AprHost_t *member;

    (void)state;
    start_all(APR_BALANCING_OFF, &response, 1);
    send_to_scripted_backend(&cluster, &server, 0.5);
    member = AprMembers_Find(cluster.hosts[1].gateway->members, "h0");
    assert_non_null(member);
    assert_true(member->load_report_ms > 0);
    assert_false(member->load_report.has_work);
    assert_int_equal(cluster.failed + cluster.cut, 0);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_teardown(test_pace_reaches_other_hosts, stop_all),
        cmocka_unit_test_teardown(test_no_work_unless_adaptive, stop_all),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
