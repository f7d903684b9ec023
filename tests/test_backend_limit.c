/* A backend server that names in its responses how many requests a second it
   takes. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cmocka.h>

#include "scripted_backend.h"

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

static int
stop_all(void **state)
{
    (void)state;
    stop_scripted_backend(&cluster, &server);
    return 0;
}

static int
send_load(double seconds)
{
    return send_to_scripted_backend(&cluster, &server, seconds);
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
    start_scripted_backend(&cluster, &server, &limited, 1);
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
    start_scripted_backend(&cluster, &server, responses, 4);
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
