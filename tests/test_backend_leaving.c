/* A backend server that says in its responses that it shuts down, before its
   heartbeats say so. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cmocka.h>

#include "internal/backend_conn.h"
#include "scripted_backend.h"

/* Time after which no request may reach a backend server that leaves, as in
   the settings of the cluster. */
#define DRAIN_S 2.0

#define LEAVING_RESPONSE                                        \
    "HTTP/1.1 200 OK\r\nAttempt: {id}\r\nContent-Length: 4\r\n" \
    "Leaving: 1\r\n\r\ndone"
#define PLAIN_RESPONSE \
    "HTTP/1.1 200 OK\r\nAttempt: {id}\r\nContent-Length: 4\r\n\r\ndone"

static const HostileResponse_t plain_then_leaving[] = {
    {PLAIN_RESPONSE, NULL, HOSTILE_KEEP},
    {LEAVING_RESPONSE, NULL, HOSTILE_KEEP}};

static Cluster_t cluster;
static HostileServer_t server;

static int
stop_all(void **state)
{
    (void)state;
    stop_scripted_backend(&cluster, &server);
    return 0;
}

/* Guards against requests that reach a backend server after the drain time,
   because only heartbeats were asked whether it leaves. */
static void
test_leaving_response_starts_the_drain(void **state)
{
    int late;

    (void)state;
    start_scripted_backend(&cluster, &server, plain_then_leaving, 2);
    send_to_scripted_backend(&cluster, &server, 0.2);
    assert_true(atomic_load(&server.requests) > 0);
    send_to_scripted_backend(&cluster, &server, DRAIN_S);
    late = send_to_scripted_backend(&cluster, &server, 3.0);
    cluster_run_for(&cluster, 1.5);
    print_message("%d requests after the drain time; answered %d, refused %d "
                  "of %d\n",
                  late, cluster.answered, cluster.refused, cluster.sent);
    assert_int_equal(late, 0);
    assert_int_equal(cluster.failed + cluster.cut, 0);
    assert_true(cluster.answered >= cluster.sent / 2);
    assert_int_equal(cluster.overlaps, 0);
}

/* Guards against a restart after which a backend server is used again that had
   said that it leaves. */
static void
test_restart_does_not_forget_a_leaving_response(void **state)
{
    int late;

    (void)state;
    start_scripted_backend(&cluster, &server, plain_then_leaving, 2);
    send_to_scripted_backend(&cluster, &server, 0.5);
    ev_timer_stop(cluster.loop, &cluster.hosts[0].heartbeat_timer);
    host_kill_gateway(&cluster.hosts[0]);
    cluster_run_for(&cluster, DRAIN_S);
    host_start_gateway(&cluster.hosts[0]);
    cluster_run_for(&cluster, 0.5);
    ev_timer_start(cluster.loop, &cluster.hosts[0].heartbeat_timer);
    late = send_to_scripted_backend(&cluster, &server, 2.0);
    assert_int_equal(late, 0);
    assert_false(AprBackend_AcceptsCalls(cluster.hosts[0].gateway->backend));
}

/* Guards against a drain that starts anew in a restarted process, because the
   earlier one could not store the notice. */
static void
test_restart_does_not_drain_again(void **state)
{
    ClusterHost_t *host = &cluster.hosts[0];
    int late;

    (void)state;
    start_scripted_backend(&cluster, &server, plain_then_leaving, 2);
    cluster.store.down = true;
    send_to_scripted_backend(&cluster, &server, 0.5);
    ev_timer_stop(cluster.loop, &host->heartbeat_timer);
    host_kill_gateway(host);
    cluster_run_for(&cluster, DRAIN_S);
    cluster.store.down = false;
    host_start_gateway(host);
    cluster_run_for(&cluster, 0.5);
    ev_timer_start(cluster.loop, &host->heartbeat_timer);
    late = send_to_scripted_backend(&cluster, &server, 3.0);
    print_message("%d requests after the restart\n", late);
    /* Those that are sent before the first response. */
    assert_true(late <= host->slots);
}

/* Guards against a late response of an earlier incarnation, which would make
   the present one drain. */
static void
test_leaving_response_of_an_earlier_incarnation(void **state)
{
    AprBackendNotice_t notice = {.request_limit = APR_NO_REQUEST_LIMIT,
                                 .leaving = true};
    AprBackendIncarnation_t earlier;
    AprBackend_t *backend;

    (void)state;
    start_scripted_backend(&cluster, &server, plain_then_leaving, 2);
    backend = cluster.hosts[0].gateway->backend;
    earlier = *AprBackend_GetIncarnation(backend);
    cluster.hosts[0].incarnation.started_ms += 100;
    cluster.hosts[0].sequence = 0;
    cluster_run_for(&cluster, 2 * CLUSTER_HEARTBEAT_S);
    AprBackend_RecordResponse(backend, &earlier, &notice);
    cluster_run_for(&cluster, DRAIN_S);
    assert_true(AprBackend_AcceptsCalls(backend));
    AprBackend_RecordResponse(backend, AprBackend_GetIncarnation(backend),
                              &notice);
    cluster_run_for(&cluster, DRAIN_S);
    assert_false(AprBackend_AcceptsCalls(backend));
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_teardown(test_leaving_response_starts_the_drain,
                                  stop_all),
        cmocka_unit_test_teardown(
            test_restart_does_not_forget_a_leaving_response, stop_all),
        cmocka_unit_test_teardown(test_restart_does_not_drain_again, stop_all),
        cmocka_unit_test_teardown(
            test_leaving_response_of_an_earlier_incarnation, stop_all),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
