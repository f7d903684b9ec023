#include <netinet/in.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cmocka.h>

#include "internal/peer_address.h"
#include "internal/peer_queue.h"
#include "internal/session.h"
#include "tests/peer_test.h"

#define FLOOD_COUNT 400
#define FLOOD_BODY 30000
#define LARGE_COUNT 20
#define LARGE_BODY 700000
/* Three keepalives, in case the machine is slow. */
#define MAX_KEEPALIVE_BYTES 100
/* All ids from this one on take three bytes in a frame. */
#define FLOOD_FIRST_ID 1000

static const char flood_body[LARGE_BODY];

/* Sends requests on a link whose receiver does not read, so that the socket
   buffers and then the queue fill up. All frames have the same size. */
static void
send_flood(Node_t *a, AprLinkHandle_t link, int count, size_t body_size)
{
    for (int i = 0; i < count; i++) {
        assert_int_equal(AprPeerNode_Send(a, link, APR_MSG_REQUEST,
                                          FLOOD_FIRST_ID + i, flood_body,
                                          body_size),
                         APR_OK);
    }
    usleep(200000);
}

/* Guards against messages that are lost, reordered within their class or
   answered on another link. */
static void
test_messages_in_both_directions(void **state)
{
    Node_t a, b;
    AprLinkHandle_t link;

    (void)state;
    link = start_linked_nodes(&a, &b);
    b.sends_answers = true;
    assert_int_equal(a.last_link_up, link);
    assert_string_equal(a.peer_host, "b");
    assert_string_equal(b.peer_host, "a");
    for (uint64_t id = 0; id < 1000; id++) {
        send_message(&a, link, APR_MSG_REQUEST, id);
    }
    wait_for_count(&a, &a.message_count, 1000);
    for (uint64_t id = 0; id < 1000; id++) {
        assert_int_equal(b.types[id], APR_MSG_REQUEST);
        assert_int_equal(b.ids[id], id);
        assert_int_equal(a.types[id], APR_MSG_ANSWER);
        assert_int_equal(a.ids[id], id);
    }
    AprPeerNode_Stop(&a);
    wait_for_count(&b, &b.link_down_count, 1);
    AprPeerNode_Stop(&b);
}

/* Guards against a link that does not reconnect, or reports `up` before
   `down`, when the other process restarts at the same address. */
static void
test_peer_restart(void **state)
{
    char address[APR_ADDRESS_SIZE];
    uint64_t incarnation;
    Node_t a, b;
    AprLinkHandle_t link;

    (void)state;
    start_node(&a, "a", "127.0.0.1:0", PEER_KEY);
    start_node(&b, "b", "127.0.0.1:0", PEER_KEY);
    snprintf(address, sizeof(address), "%s", AprPeerNet_ListenAddress(b.net));
    link = AprPeerNet_OpenLink(a.net, address);
    for (int round = 1; round <= 3; round++) {
        wait_for_count(&a, &a.link_up_count, round);
        incarnation = a.peer_incarnation;
        AprPeerNode_Stop(&b);
        wait_for_count(&a, &a.link_down_count, round);
        start_node(&b, "b", address, PEER_KEY);
    }
    wait_for_count(&a, &a.link_up_count, 4);
    assert_int_equal(a.peer_incarnation, incarnation + 1);
    assert_int_equal(a.last_link_up, link);
    assert_int_equal(a.down_without_up, 0);
    send_message(&a, link, APR_MSG_REQUEST, 7);
    wait_for_count(&b, &b.message_count, 1);
    AprPeerNode_Stop(&a);
    AprPeerNode_Stop(&b);
}

static int
listen_socket(char *address, size_t size)
{
    struct sockaddr_in local = {.sin_family = AF_INET,
                                .sin_addr = {htonl(INADDR_LOOPBACK)}};
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

    assert_int_equal(bind(fd, (struct sockaddr *)&local, sizeof(local)), 0);
    assert_int_equal(listen(fd, 16), 0);
    assert_int_equal(AprPeerAddress_FormatLocal(fd, address, size), APR_OK);
    return fd;
}

/* Guards against a message that is kept without limit, or lost, while its link
   cannot connect. The listener first accepts without a handshake, then refuses
   the connection. */
static void
test_undelivered_when_not_connected(void **state)
{
    char address[APR_ADDRESS_SIZE];
    int fd = listen_socket(address, sizeof(address));
    Node_t a;
    AprLinkHandle_t link;

    (void)state;
    start_node(&a, "a", "127.0.0.1:0", PEER_KEY);
    link = AprPeerNet_OpenLink(a.net, address);
    send_message(&a, link, APR_MSG_REQUEST, 1);
    send_message(&a, link, APR_MSG_RENEW, 2);
    wait_for_count(&a, &a.undelivered_count, 2);
    assert_int_equal(AprPeerNode_GetMetric(&a, "apricot_peer_timeouts_total",
                                           "reason=\"handshake\""),
                     1);
    close(fd);
    AprPeerNet_CloseLink(a.net, link);
    link = AprPeerNet_OpenLink(a.net, address);
    send_message(&a, link, APR_MSG_REQUEST, 3);
    wait_for_count(&a, &a.undelivered_count, 3);
    /* Further connect attempts follow at 50, 150, 350, 750 and 1550 ms. A
       message that is sent between two attempts must be returned at once. */
    usleep(900000);
    send_message(&a, link, APR_MSG_REQUEST, 5);
    assert_true(AprPeerNode_WaitForCounter(&a, &a.undelivered_count, 4, 300) >=
                0);
    AprPeerNet_CloseLink(a.net, link);
    send_message(&a, link, APR_MSG_REQUEST, 4);
    wait_for_count(&a, &a.undelivered_count, 5);
    assert_int_equal(a.link_up_count, 0);
    assert_int_equal(a.link_down_count, 0);
    AprPeerNode_Stop(&a);
}

/* Accepts one connection and completes the handshake as the acceptor. Returns
   the socket, from which nothing more is read. */
static int
accept_peer(int listen_fd)
{
    AprIdentity_t identity = {"raw", 1};
    AprSession_t *session =
        AprSession_New(APR_FROM_ACCEPTOR, &identity, PEER_KEY);
    int fd = accept(listen_fd, NULL, NULL);

    while (!AprSession_IsUp(session)) {
        GByteArray *output = AprSession_Output(session);
        AprSessionEvent_t event;
        char bytes[1024];
        ssize_t count = recv(fd, bytes, sizeof(bytes), 0);

        assert_true(count > 0);
        AprSession_AppendInput(session, bytes, (size_t)count);
        assert_int_equal(AprSession_NextEvent(session, &event), APR_OK);
        send(fd, output->data, output->len, MSG_NOSIGNAL);
        g_byte_array_set_size(output, 0);
    }
    AprSession_Free(session);
    return fd;
}

static size_t
flood_frame_size(size_t body_size)
{
    AprMessage_t message = {.type = APR_MSG_REQUEST};
    char *data;
    size_t size;

    message.request.id = FLOOD_FIRST_ID;
    message.request.body = (AprBytes_t){flood_body, body_size};
    assert_int_equal(AprMessage_Encode(&message, &data, &size), APR_OK);
    free(data);
    return APR_FRAME_HEADER_SIZE + size;
}

/* Reads until the connection ends and returns the number of bytes. */
static size_t
count_bytes_until_eof(int fd)
{
    static char bytes[65536];
    size_t total = 0;
    ssize_t count;

    while ((count = recv(fd, bytes, sizeof(bytes), 0)) > 0) {
        total += (size_t)count;
    }
    return total;
}

/* Closes a link whose receiver has stopped reading, so that the socket buffers
   are full. The bytes received tell how many messages were at least partly
   written; all others must be undelivered. Returns whether the last written
   message is incomplete. */
static bool
close_full_link(int count, size_t body_size)
{
    size_t frame_size = flood_frame_size(body_size);
    char address[APR_ADDRESS_SIZE];
    int listen_fd = listen_socket(address, sizeof(address));
    size_t bytes;
    size_t written_count;
    Node_t a;
    AprLinkHandle_t link;
    int fd;

    start_node(&a, "a", "127.0.0.1:0", PEER_KEY);
    link = AprPeerNet_OpenLink(a.net, address);
    fd = accept_peer(listen_fd);
    wait_for_count(&a, &a.link_up_count, 1);
    send_flood(&a, link, count, body_size);
    AprPeerNet_CloseLink(a.net, link);
    wait_for_count(&a, &a.link_down_count, 1);
    bytes = count_bytes_until_eof(fd);
    written_count = (bytes + frame_size - 1) / frame_size;
    assert_in_range(written_count, 1, count - 1);
    assert_int_equal(a.undelivered_count, count - written_count);
    assert_int_equal(a.undelivered_after_link_down, 0);
    AprPeerNode_Stop(&a);
    close(fd);
    close(listen_fd);
    return bytes % frame_size != 0;
}

/* Guards against a message reported as undelivered although a part of it was
   written (a retry could execute it twice), and against a message that is not
   reported although no byte was written. With small messages some are sealed
   but not written. With large messages one is partly written, except in the
   rare case that the socket buffers are full exactly after a message; the test
   then repeats. */
static void
test_partly_written_not_undelivered(void **state)
{
    int attempts = 1;

    (void)state;
    close_full_link(FLOOD_COUNT, FLOOD_BODY);
    while (!close_full_link(LARGE_COUNT, LARGE_BODY)) {
        assert_in_range(++attempts, 2, 10);
    }
}

/* Guards against lease renewals that wait behind a flood of requests. */
static void
test_control_before_data(void **state)
{
    Node_t a, b;
    AprLinkHandle_t link;
    int renew_index = 0;

    (void)state;
    link = start_linked_nodes(&a, &b);
    pthread_mutex_lock(&b.mutex);
    send_flood(&a, link, FLOOD_COUNT, FLOOD_BODY);
    send_message(&a, link, APR_MSG_RENEW, 1);
    usleep(50000);
    pthread_mutex_unlock(&b.mutex);
    wait_for_count(&b, &b.message_count, FLOOD_COUNT + 1);
    while (b.types[renew_index] != APR_MSG_RENEW) {
        renew_index++;
    }
    /* It arrives after the requests in the socket buffers, but before the
       queued ones. */
    assert_in_range(renew_index, 0, FLOOD_COUNT - 10);
    AprPeerNode_Stop(&a);
    AprPeerNode_Stop(&b);
}

/* Guards against a queue that grows without limit and against a blocked
   sender: a full queue refuses requests at once and still accepts control
   messages. */
static void
test_full_queue_refuses(void **state)
{
    char address[APR_ADDRESS_SIZE];
    int fd = listen_socket(address, sizeof(address));
    int accepted = 0;
    Node_t a;
    AprLinkHandle_t link;

    (void)state;
    start_node(&a, "a", "127.0.0.1:0", PEER_KEY);
    link = AprPeerNet_OpenLink(a.net, address);
    while (AprPeerNode_Send(&a, link, APR_MSG_REQUEST, 1, NULL, 0) == APR_OK) {
        accepted++;
    }
    assert_int_equal(accepted, APR_PEER_MAX_QUEUED_DATA);
    send_message(&a, link, APR_MSG_RENEW, 1);
    wait_for_count(&a, &a.undelivered_count, accepted + 1);
    AprPeerNode_Stop(&a);
    close(fd);
}

/* Guards against bytes on the sockets that are not counted or counted twice:
   the sent bytes of one side equal the received bytes of the other, and a
   message adds the size of its whole frame. */
static void
test_byte_counters(void **state)
{
    static const char *name = "apricot_peer_bytes_total";
    static const char *sent = "direction=\"sent\"";
    static const char *received = "direction=\"received\"";
    Node_t a, b;
    AprLinkHandle_t link;
    int64_t before;

    (void)state;
    link = start_linked_nodes(&a, &b);
    before = AprPeerNode_GetMetric(&b, name, received);
    assert_true(before > 0);
    wait_for_metric(&a, name, sent, before);
    assert_in_range(AprPeerNode_GetMetric(&a, name, sent), before,
                    before + MAX_KEEPALIVE_BYTES);
    before = AprPeerNode_GetMetric(&b, name, sent);
    assert_true(before > 0);
    assert_in_range(AprPeerNode_GetMetric(&a, name, received), before,
                    before + MAX_KEEPALIVE_BYTES);
    before = AprPeerNode_GetMetric(&b, name, received);
    AprPeerNode_Send(&a, link, APR_MSG_REQUEST, 1, flood_body, FLOOD_BODY);
    wait_for_count(&b, &b.message_count, 1);
    before += APR_FRAME_HEADER_SIZE + FLOOD_BODY;
    assert_in_range(AprPeerNode_GetMetric(&b, name, received), before,
                    before + 500);
    wait_for_metric(&a, name, sent, AprPeerNode_GetMetric(&b, name, received));
    AprPeerNode_Stop(&a);
    AprPeerNode_Stop(&b);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_messages_in_both_directions),
        cmocka_unit_test(test_peer_restart),
        cmocka_unit_test(test_undelivered_when_not_connected),
        cmocka_unit_test(test_partly_written_not_undelivered),
        cmocka_unit_test(test_control_before_data),
        cmocka_unit_test(test_full_queue_refuses),
        cmocka_unit_test(test_byte_counters),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
