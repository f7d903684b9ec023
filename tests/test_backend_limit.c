/* A backend server that names in its responses how many requests a second it
   takes. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cmocka.h>

#include "gateway_cluster.h"
#include "hostile_server.h"

#define START_TIMEOUT_S 6.0

/* The users' rule: from STABLE_S after the first response with a limit, a span
   of SPAN_S may bring this many requests. */
#define STABLE_S 3.0
#define SPAN_S 4.0
#define ALLOWED(limit) (1.5 * SPAN_S * (limit) + 5)

#define LIMIT_PER_S 10.0
#define LIMITED_RESPONSE                                        \
    "HTTP/1.1 200 OK\r\nAttempt: {id}\r\nContent-Length: 4\r\n" \
    "Limit: 10.0\r\n\r\ndone"
#define PLAIN_RESPONSE \
    "HTTP/1.1 200 OK\r\nAttempt: {id}\r\nContent-Length: 4\r\n\r\ndone"

static Cluster_t cluster;
static HostileServer_t server;

/* Starts the cluster with a scripted backend server at host 0, which gives one
   of the responses to each request. */
static void
start_with_responses(const HostileResponse_t *responses, int count)
{
    const char *port;

    cluster_start(&cluster);
    port = strrchr(cluster.hosts[0].settings.backend_address, ':') + 1;
    AprHttpServer_Free(cluster.hosts[0].backend);
    assert_true(start_hostile_server(&server, atoi(port),
                                     "Attempt: ", responses, count));
    cluster.hosts[0].backend = (AprHttpServer_t *)&server;
    assert_true(cluster_wait_until_held(&cluster, START_TIMEOUT_S) <
                START_TIMEOUT_S);
}

static int
stop_all(void **state)
{
    (void)state;
    cluster.hosts[0].backend = NULL;
    cluster_stop(&cluster);
    stop_hostile_server(&server);
    return 0;
}

/* Sends requests for keys of host 0 to all hosts, one every 20 ms. Returns how
   many the backend server got. */
static int
send_load(double seconds)
{
    int before = atomic_load(&server.requests);
    int steps = (int)(seconds / 0.02);

    for (int i = 0; i < steps; i++) {
        if (cluster.hosts[0].held_count > 0) {
            cluster_send_request(&cluster, i % CLUSTER_HOSTS,
                                 cluster.hosts[0].held[0].first, "GET");
        }
        cluster_run_for(&cluster, 0.02);
    }
    return atomic_load(&server.requests) - before;
}

/* Guards against a backend server that gets more requests than it says that it
   takes, and against callers who wait for what it will not take. */
static void
test_backend_gets_no_more_than_its_limit(void **state)
{
    static const HostileResponse_t limited = {LIMITED_RESPONSE, NULL,
                                              HOSTILE_KEEP};
    int received;

    (void)state;
    start_with_responses(&limited, 1);
    send_load(STABLE_S);
    received = send_load(SPAN_S);
    cluster_run_for(&cluster, 1.5);
    print_message("%d requests in %.0f s, allowed %.0f; answered %d, refused "
                  "%d, failed %d of %d\n",
                  received, SPAN_S, ALLOWED(LIMIT_PER_S), cluster.answered,
                  cluster.refused, cluster.failed, cluster.sent);
    assert_true(received <= ALLOWED(LIMIT_PER_S));
    assert_true(received >= SPAN_S * LIMIT_PER_S * 0.5);
    assert_int_equal(cluster.failed + cluster.cut, 0);
    assert_int_equal(cluster.answered + cluster.refused, cluster.sent);
}

/* Guards against a limit that outlasts the need of the backend server. */
static void
test_limit_ends_with_the_first_response_without_it(void **state)
{
    static const HostileResponse_t responses[] = {
        {LIMITED_RESPONSE, NULL, HOSTILE_KEEP},
        {LIMITED_RESPONSE, NULL, HOSTILE_KEEP},
        {LIMITED_RESPONSE, NULL, HOSTILE_KEEP},
        {PLAIN_RESPONSE, NULL, HOSTILE_KEEP}};
    int sent;
    int received;

    (void)state;
    start_with_responses(responses, 4);
    send_load(1.0);
    sent = cluster.sent;
    received = send_load(2.0);
    assert_true(received >= cluster.sent - sent - 2);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_teardown(test_backend_gets_no_more_than_its_limit,
                                  stop_all),
        cmocka_unit_test_teardown(
            test_limit_ends_with_the_first_response_without_it, stop_all),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
