/* Links on which nothing arrives for a while, although the host lives. The
   links to one host pass through a relay that the test pauses. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cmocka.h>

#include "gateway_cluster.h"

#define START_TIMEOUT_S 6.0
#define MAX_PAIRS 64

/* Time without bytes after which a link counts as silent, and a margin. */
#define SILENCE_S 2.0

typedef struct Pair_t {
    AprStream_t *sides[2]; /* NULL: closed */
} Pair_t;

typedef struct Side_t {
    Pair_t *pair;
    int index;
} Side_t;

static Cluster_t cluster;
static Pair_t pairs[MAX_PAIRS];
static Side_t sides[MAX_PAIRS][2];
static int pair_count;
static ev_io relay_listener;
static char relay_target[APR_ADDRESS_SIZE];

static void
relay_on_data(void *context, const char *data, size_t size)
{
    Side_t *side = context;
    AprStream_t *other = side->pair->sides[1 - side->index];

    if (other != NULL) {
        AprStream_Write(other, data, size);
    }
}

static void
relay_on_close(void *context, int error)
{
    Side_t *side = context;
    AprStream_t *other = side->pair->sides[1 - side->index];

    (void)error;
    side->pair->sides[0] = NULL;
    side->pair->sides[1] = NULL;
    if (other != NULL) {
        AprStream_Close(other);
    }
}

static const AprStreamHandler_t relay_handler = {relay_on_data, relay_on_close,
                                                 NULL};

static void
relay_on_accept(struct ev_loop *loop, ev_io *watcher, int events)
{
    int fd;

    (void)loop;
    (void)events;
    while ((fd = accept(watcher->fd, NULL, NULL)) >= 0) {
        Pair_t *pair = &pairs[pair_count];

        assert_true(pair_count < MAX_PAIRS);
        for (int i = 0; i < 2; i++) {
            sides[pair_count][i] = (Side_t){pair, i};
        }
        pair->sides[0] = AprStream_Open(&cluster.streams, fd, &relay_handler,
                                        &sides[pair_count][0]);
        pair->sides[1] =
            AprStream_Connect(&cluster.streams, relay_target, &relay_handler,
                              &sides[pair_count][1]);
        pair_count++;
    }
}

/* Pauses or resumes the connections that exist now. */
static void
pause_relay(bool pause)
{
    for (int i = 0; i < pair_count; i++) {
        for (int j = 0; j < 2; j++) {
            if (pairs[i].sides[j] != NULL) {
                AprStream_SetReadPaused(pairs[i].sides[j], pause);
            }
        }
    }
}

static void
start_with_relay(void)
{
    char address[APR_ADDRESS_SIZE];
    int fd;

    pair_count = 0;
    cluster_start(&cluster);
    cluster_allocate_address(&cluster, address);
    fd = AprStream_Listen(address);
    assert_true(fd >= 0);
    ev_io_init(&relay_listener, relay_on_accept, fd, EV_READ);
    ev_io_start(cluster.loop, &relay_listener);
    strcpy(relay_target, cluster.hosts[0].settings.listen_peers);
    strcpy(cluster.hosts[0].gateway->settings.advertise_peers, address);
    assert_true(cluster_wait_until_held(&cluster, START_TIMEOUT_S) <
                START_TIMEOUT_S);
    for (int i = 0; i < CLUSTER_HOSTS; i++) {
        cluster.hosts[i].gateway->routes->routes[0].timeout_ms = 6000;
    }
}

static void
stop_relay(void)
{
    ev_io_stop(cluster.loop, &relay_listener);
    close(relay_listener.fd);
    cluster_stop(&cluster);
}

/* Sends a non-idempotent request for a key of host 0 to host 1, with more time
   than a link may be silent. */
static void
send_long_request(void)
{
    CallerRequest_t *request = calloc(1, sizeof(*request));
    int key = cluster.hosts[0].held[0].first;
    char text[256];

    request->cluster = &cluster;
    request->stream = AprStream_Connect(
        &cluster.streams, cluster.hosts[1].settings.listen_callers,
        &caller_handler, request);
    snprintf(text, sizeof(text),
             "POST /k/%d HTTP/1.1\r\nHost: desk.example\r\nAttempt: a%d\r\n"
             "Time-Left: 5000\r\nKey: %d\r\nContent-Length: 0\r\n\r\n",
             key, ++cluster.sent, key);
    AprStream_Write(request->stream, text, strlen(text));
}

/* Guards against work that is given up because its host is silent for longer
   than the timeout of a link, although the host goes on with it. */
static void
test_silent_host_keeps_its_work(void **state)
{
    (void)state;
    start_with_relay();
    send_long_request();
    cluster_run_for(&cluster, 0.3);
    assert_int_equal(cluster.answered, 1);
    send_long_request();
    pause_relay(true);
    cluster_run_for(&cluster, SILENCE_S);
    assert_int_equal(cluster.failed + cluster.refused + cluster.cut, 0);
    pause_relay(false);
    cluster_run_for(&cluster, 0.5);
    assert_int_equal(cluster.answered, 2);
    assert_int_equal(cluster.hosts[0].run_count, 2);
    stop_relay();
}

/* Guards against a call that waits until its deadline on a connection that has
   died without a reset, although the host answers on a new one. */
static void
test_dead_connection_is_replaced(void **state)
{
    (void)state;
    start_with_relay();
    send_long_request();
    cluster_run_for(&cluster, 0.3);
    assert_int_equal(cluster.answered, 1);
    send_long_request();
    pause_relay(true);
    cluster_run_for(&cluster, SILENCE_S);
    send_long_request();
    cluster_run_for(&cluster, 1.0);
    /* The second may have run; the third was sent on the new connection. */
    assert_int_equal(cluster.failed, 1);
    assert_int_equal(cluster.answered, 2);
    stop_relay();
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_silent_host_keeps_its_work),
        cmocka_unit_test(test_dead_connection_is_replaced),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
