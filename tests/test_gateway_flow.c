/* Connections whose reading stops because the next party is slow. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "gateway_cluster.h"
#include "internal/call.h"

#define START_TIMEOUT_S 6.0

/* More than the window of a call, so that reading stops on the way. */
#define LONG_BODY_BYTES (APR_CALL_WINDOW_BYTES + 20000)

static Cluster_t cluster;

static void
start_with_all_keys_held(void)
{
    cluster_start(&cluster);
    assert_true(cluster_wait_until_held(&cluster, START_TIMEOUT_S) <
                START_TIMEOUT_S);
}

/* Sends bytes while the event loop runs. */
static void
send_all(int fd, const char *data, size_t size)
{
    while (size > 0) {
        ssize_t sent = send(fd, data, size, MSG_NOSIGNAL);

        if (sent > 0) {
            data += sent;
            size -= (size_t)sent;
        }
        cluster_run_for(&cluster, 0.001);
    }
}

static void
send_request(int fd, const char *method, int key, size_t body_size)
{
    static int sent;
    char head[256];
    char *body = calloc(1, body_size + 1);
    int size = snprintf(head, sizeof(head),
                        "%s /k/%d HTTP/1.1\r\nHost: desk.example\r\n"
                        "Attempt: f%d\r\nTime-Left: 1000\r\nKey: %d\r\n"
                        "Content-Length: %zu\r\n\r\n",
                        method, key, ++sent, key, body_size);

    memset(body, 'u', body_size);
    send_all(fd, head, (size_t)size);
    send_all(fd, body, body_size);
    free(body);
}

/* Reads a response of which the body has at least `body_size` bytes. Returns
   its status, or 0 when it is not there within 1.5 s. */
static int
read_response(int fd, size_t body_size)
{
    static char text[2 * LONG_BODY_BYTES];
    size_t received = 0;

    for (int i = 0; i < 150; i++) {
        ssize_t size =
            recv(fd, text + received, sizeof(text) - 1 - received, 0);

        received += size > 0 ? (size_t)size : 0;
        text[received] = '\0';
        if (received > body_size && strstr(text, "\r\n\r\n") != NULL) {
            return atoi(text + strlen("HTTP/1.1 "));
        }
        cluster_run_for(&cluster, 0.01);
    }
    return 0;
}

/* Guards against a connection to a backend server that is not read again after
   a long response, so that the response to the next request is lost. */
static void
test_long_response_leaves_backend_connection_readable(void **state)
{
    int key;
    int fd;

    (void)state;
    start_with_all_keys_held();
    key = cluster.hosts[0].held[0].first;
    cluster_limit_send_buffers(&cluster.hosts[1], 4096);
    fd = cluster_connect_caller(&cluster.hosts[1], 32768);
    for (int i = 0; i < 4; i++) {
        cluster.hosts[0].response_size = LONG_BODY_BYTES;
        send_request(fd, "GET", key, 0);
        cluster_run_for(&cluster, 0.3);
        assert_int_equal(read_response(fd, LONG_BODY_BYTES), 200);
        cluster.hosts[0].response_size = 0;
        send_request(fd, "POST", key, 0);
        assert_int_equal(read_response(fd, 4), 200);
    }
    close(fd);
    cluster_stop(&cluster);
}

/* Guards against a caller's connection that is not read again after an upload
   that waited for a slot of the backend server. */
static void
test_upload_leaves_caller_connection_readable(void **state)
{
    int key;
    int fd;

    (void)state;
    start_with_all_keys_held();
    key = cluster.hosts[0].held[0].first;
    for (int i = 0; i < 8; i++) {
        fd = cluster_connect_caller(&cluster.hosts[1], 0);
        for (int other = 0; other < 8; other++) {
            cluster_send_request(&cluster, 0, key, "GET");
        }
        send_request(fd, "POST", key, LONG_BODY_BYTES);
        assert_int_equal(read_response(fd, 4), 200);
        send_request(fd, "POST", key, 0);
        assert_int_equal(read_response(fd, 4), 200);
        close(fd);
    }
    cluster_stop(&cluster);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(
            test_long_response_leaves_backend_connection_readable),
        cmocka_unit_test(test_upload_leaves_caller_connection_readable),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
