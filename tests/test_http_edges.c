/* Requests at the edges of HTTP: heads that are too long or incomplete, alone
   and behind a request that is still running. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "gateway_cluster.h"

#define START_TIMEOUT_S 6.0
#define MAX_HEAD_BYTES 8192 /* as cluster_parse_routes() sets it */
#define HEAD_TIMEOUT_MS 300
#define LONG_BYTES (100 * 1024) /* more than http_parser takes for a head */

static Cluster_t cluster;

/* Starts a cluster in which requests get a 504 after 1.2 s, and returns a
   connection to host 1. */
static int
start(void)
{
    AprCallerLimits_t *limits;

    cluster_start(&cluster);
    assert_true(cluster_wait_until_held(&cluster, START_TIMEOUT_S) <
                START_TIMEOUT_S);
    cluster.hosts[0].unresponsive = true;
    limits = &cluster.hosts[1].gateway->routes->limits;
    limits->head_timeout_ms = HEAD_TIMEOUT_MS;
    return cluster_connect_caller(&cluster.hosts[1], 0);
}

static void
send_text(int fd, const char *text)
{
    size_t size = strlen(text);

    while (size > 0) {
        ssize_t sent = send(fd, text, size, MSG_NOSIGNAL);

        if (sent < 0 && errno != EAGAIN) {
            return;
        }
        text += sent > 0 ? sent : 0;
        size -= sent > 0 ? (size_t)sent : 0;
        cluster_run_for(&cluster, 0.001);
    }
}

/* Sends a request that runs until its time limit. */
static void
send_running_request(int fd)
{
    char text[256];
    int key = cluster.hosts[0].held[0].first;

    snprintf(text, sizeof(text),
             "GET /k/%d HTTP/1.1\r\nHost: desk.example\r\nAttempt: e%d\r\n"
             "Time-Left: 1000\r\nKey: %d\r\n\r\n",
             key, fd, key);
    send_text(fd, text);
}

/* Sends a request of which the path and a header have so many bytes more. */
static void
send_long_head(int fd, int path_bytes, int header_bytes)
{
    char *text = malloc((size_t)(path_bytes + header_bytes) + 256);
    char *path = g_strnfill((gsize)path_bytes, 'p');
    char *header = g_strnfill((gsize)header_bytes, 'h');

    sprintf(text, "GET /%s HTTP/1.1\r\nHost: desk.example\r\nLong: %s\r\n\r\n",
            path, header);
    send_text(fd, text);
    free(text);
    g_free(path);
    g_free(header);
}

/* Checks the statuses of the responses that a connection gets until it is
   closed, such as "504 408 ", and that the last one announces the end. */
static void
check_statuses(int fd, const char *expected)
{
    char text[4096] = "";
    char statuses[64] = "";
    size_t received = 0;
    ssize_t size = -1;
    const char *last = text;

    for (int i = 0; i < 250 && size != 0; i++) {
        cluster_run_for(&cluster, 0.01);
        size = recv(fd, text + received, sizeof(text) - 1 - received, 0);
        received += size > 0 ? (size_t)size : 0;
    }
    for (const char *at = text; (at = strstr(at, "HTTP/1.1 ")) != NULL;) {
        at += strlen("HTTP/1.1 ");
        snprintf(statuses + strlen(statuses),
                 sizeof(statuses) - strlen(statuses), "%.3s ", at);
        last = at;
    }
    assert_string_equal(statuses, expected);
    assert_int_equal(size, 0);
    assert_non_null(strstr(last, "Connection: close"));
    close(fd);
}

static int
stop(void **state)
{
    (void)state;
    cluster_stop(&cluster);
    return 0;
}

/* Guards against another status than 414 for a path that is too long. */
static void
test_long_path(void **state)
{
    int fd = start();

    (void)state;
    send_long_head(fd, MAX_HEAD_BYTES, 0);
    check_statuses(fd, "414 ");
}

/* Guards against 404 for a path that is within the limit of the configuration,
   however long the path or the query is
   (review/15). */
static void
test_long_path_finds_its_route(void **state)
{
    static const int path_bytes[] = {500, 4069, 4070, 4096, 5000, 7900};
    char text[8192 + 256];

    (void)state;
    close(start());
    cluster.hosts[0].unresponsive = false;
    for (size_t i = 0; i < sizeof(path_bytes) / sizeof(path_bytes[0]); i++) {
        for (int query = 0; query < 2; query++) {
            int fd = cluster_connect_caller(&cluster.hosts[1], 0);
            char *rest = g_strnfill((gsize)path_bytes[i], 'p');
            int key = cluster.hosts[1].held[0].first;

            snprintf(text, sizeof(text),
                     "GET /k/%d%s%s HTTP/1.1\r\nHost: desk.example\r\n"
                     "Attempt: l%d-%d\r\nTime-Left: 900\r\nKey: %d\r\n"
                     "Connection: close\r\n\r\n",
                     key, query ? "?" : "/", rest, (int)i, query, key);
            send_text(fd, text);
            check_statuses(fd, "200 ");
            g_free(rest);
        }
    }
}

/* Guards against another status for a path that is over the parser's own limit
   before it reaches that of the configuration. */
static void
test_path_over_the_limit_of_the_parser(void **state)
{
    int fd = start();

    (void)state;
    cluster.hosts[1].gateway->routes->limits.max_head_bytes = 4 * LONG_BYTES;
    send_long_head(fd, LONG_BYTES, 0);
    check_statuses(fd, "414 ");
}

/* Guards against another status than 431 for headers that are too large, also
   with a path that no route matches. */
static void
test_large_headers(void **state)
{
    int fd = start();

    (void)state;
    send_long_head(fd, 100, MAX_HEAD_BYTES);
    check_statuses(fd, "431 ");
}

/* Guards against a connection that closes without a status for a long head
   because an earlier request was still running. */
static void
test_long_heads_behind_a_running_request(void **state)
{
    int fd = start();

    (void)state;
    send_running_request(fd);
    send_long_head(fd, MAX_HEAD_BYTES, 0);
    check_statuses(fd, "504 414 ");
    fd = cluster_connect_caller(&cluster.hosts[1], 0);
    send_running_request(fd);
    send_long_head(fd, 0, MAX_HEAD_BYTES);
    check_statuses(fd, "504 431 ");
}

/* Guards against a 408 that its caller takes for the response to an earlier
   request, which is still running. */
static void
test_incomplete_head_behind_a_running_request(void **state)
{
    int fd = start();
    char byte;

    (void)state;
    send_running_request(fd);
    send_text(fd, "GET /k/1 HTTP/1.1\r\nHost: desk.");
    cluster_run_for(&cluster, 3 * HEAD_TIMEOUT_MS / 1000.0);
    assert_int_equal(recv(fd, &byte, 1, MSG_PEEK), -1);
    check_statuses(fd, "504 408 ");
}

/* Guards against a 408 for an incomplete body that comes first, or that does
   not end the connection. */
static void
test_incomplete_body_behind_a_running_request(void **state)
{
    int fd = start();
    char text[256];

    (void)state;
    send_running_request(fd);
    snprintf(text, sizeof(text),
             "POST /k/1 HTTP/1.1\r\nHost: desk.example\r\nAttempt: b1\r\n"
             "Time-Left: 300\r\nKey: 1\r\nContent-Length: 9\r\n\r\nab");
    send_text(fd, text);
    check_statuses(fd, "504 408 ");
}

/* Guards against a change of the 408 that a caller gets for an incomplete head
   on a connection without other requests. */
static void
test_incomplete_head(void **state)
{
    int fd = start();

    (void)state;
    send_text(fd, "GET /k/1 HTTP/1.1\r\nHost: desk.");
    check_statuses(fd, "408 ");
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_teardown(test_long_path, stop),
        cmocka_unit_test_teardown(test_long_path_finds_its_route, stop),
        cmocka_unit_test_teardown(test_path_over_the_limit_of_the_parser,
                                  stop),
        cmocka_unit_test_teardown(test_large_headers, stop),
        cmocka_unit_test_teardown(test_long_heads_behind_a_running_request,
                                  stop),
        cmocka_unit_test_teardown(
            test_incomplete_head_behind_a_running_request, stop),
        cmocka_unit_test_teardown(
            test_incomplete_body_behind_a_running_request, stop),
        cmocka_unit_test_teardown(test_incomplete_head, stop),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
