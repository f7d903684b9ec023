#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cmocka.h>

#include "internal/peer_loop.h"
#include "tests/peer_test.h"

static int
connect_socket(const char *address)
{
    AprPeerAddress_t peer_address;
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

    assert_int_equal(AprPeerAddress_Parse(address, &peer_address), APR_OK);
    assert_int_equal(connect(fd, (struct sockaddr *)&peer_address.storage,
                             peer_address.size),
                     0);
    return fd;
}

/* Guards against a process with another key being accepted as a peer. */
static void
test_peer_with_other_key_is_refused(void **state)
{
    Node_t a, b;
    AprLinkHandle_t link;

    (void)state;
    start_node(&a, "a", "127.0.0.1:0", PEER_KEY);
    start_node(&b, "b", "127.0.0.1:0", "another key");
    link = AprPeerNet_OpenLink(a.net, AprPeerNet_ListenAddress(b.net));
    send_message(&a, link, APR_MSG_REQUEST, 1);
    wait_for_count(&a, &a.undelivered_count, 1);
    wait_for_metric(&a, "apricot_peer_bad_frames_total",
                    "reason=\"not-authorized\"", 2);
    assert_int_equal(a.link_up_count + b.link_up_count, 0);
    assert_int_equal(a.link_down_count + b.link_down_count, 0);
    AprPeerNode_Stop(&a);
    AprPeerNode_Stop(&b);
}

/* Guards against clients that send random bytes: the net must count them,
   close their connections and keep its other link working. */
static void
test_garbage_is_counted_and_closed(void **state)
{
    Node_t a, b;
    AprLinkHandle_t link;
    char garbage[4096];

    (void)state;
    link = start_linked_nodes(&a, &b);
    srand(20261204);
    for (int i = 0; i < 50; i++) {
        int fd = connect_socket(AprPeerNet_ListenAddress(b.net));

        for (size_t at = 0; at < sizeof(garbage); at++) {
            garbage[at] = (char)rand();
        }
        send(fd, garbage, sizeof(garbage), MSG_NOSIGNAL);
        /* The net closes the connection, by a FIN or a reset. */
        assert_true(recv(fd, garbage, 1, 0) <= 0);
        close(fd);
    }
    wait_for_metric(&b, "apricot_peer_bad_frames_total",
                    "reason=\"too-large\"", 50);
    send_message(&a, link, APR_MSG_REQUEST, 1);
    wait_for_count(&b, &b.message_count, 1);
    assert_int_equal(b.link_up_count, 1);
    AprPeerNode_Stop(&a);
    AprPeerNode_Stop(&b);
}

/* Guards against silent connections that exhaust the process: at most 64 are
   open without a completed handshake, each for at most one second. */
static void
test_half_open_limit(void **state)
{
    int fds[APR_PEER_MAX_HALF_OPEN + 10];
    int count = sizeof(fds) / sizeof(fds[0]);
    Node_t a, b;

    (void)state;
    start_node(&a, "a", "127.0.0.1:0", PEER_KEY);
    for (int i = 0; i < count; i++) {
        fds[i] = connect_socket(AprPeerNet_ListenAddress(a.net));
    }
    wait_for_metric(&a, "apricot_peer_refused_total", "reason=\"half-open\"",
                    10);
    wait_for_metric(&a, "apricot_peer_timeouts_total", "reason=\"handshake\"",
                    APR_PEER_MAX_HALF_OPEN);
    start_node(&b, "b", "127.0.0.1:0", PEER_KEY);
    AprPeerNet_OpenLink(b.net, AprPeerNet_ListenAddress(a.net));
    wait_for_count(&b, &b.link_up_count, 1);
    for (int i = 0; i < count; i++) {
        close(fds[i]);
    }
    AprPeerNode_Stop(&a);
    AprPeerNode_Stop(&b);
}

/* Guards against an unlimited number of links: the 1025th inbound link is
   refused and counted, while outbound links can still be opened. */
static void
test_inbound_limit(void **state)
{
    const char *name = "apricot_peer_refused_total";
    Node_t a, b, c;

    (void)state;
    start_node(&a, "a", "127.0.0.1:0", PEER_KEY);
    start_node(&b, "b", "127.0.0.1:0", PEER_KEY);
    start_node(&c, "c", "127.0.0.1:0", PEER_KEY);
    for (int i = 0; i < APR_PEER_MAX_OUTBOUND; i++) {
        assert_int_not_equal(
            AprPeerNet_OpenLink(a.net, AprPeerNet_ListenAddress(b.net)),
            APR_NO_LINK);
    }
    assert_int_equal(
        AprPeerNet_OpenLink(a.net, AprPeerNet_ListenAddress(b.net)),
        APR_NO_LINK);
    wait_for_count(&b, &b.link_up_count, APR_PEER_MAX_INBOUND);
    AprPeerNet_OpenLink(c.net, AprPeerNet_ListenAddress(b.net));
    wait_for_metric(&b, name, "reason=\"links\"", 1);
    assert_int_equal(c.link_up_count, 0);
    AprPeerNet_OpenLink(b.net, AprPeerNet_ListenAddress(c.net));
    wait_for_count(&b, &b.link_up_count, APR_PEER_MAX_INBOUND + 1);
    AprPeerNode_Stop(&a);
    wait_for_count(&c, &c.link_up_count, 2);
    AprPeerNode_Stop(&b);
    AprPeerNode_Stop(&c);
}

/* Guards against a process that links to itself, for instance because its own
   address is among the seeds, and then counts itself as a peer. */
static void
test_no_link_to_itself(void **state)
{
    Node_t a;

    (void)state;
    start_node(&a, "a", "127.0.0.1:0", PEER_KEY);
    AprPeerNet_OpenLink(a.net, AprPeerNet_ListenAddress(a.net));
    wait_for_metric(&a, "apricot_peer_bad_frames_total", "reason=\"invalid\"",
                    1);
    assert_int_equal(a.link_up_count, 0);
    assert_int_equal(AprPeerNet_OpenLink(a.net, "localhost:1"), APR_NO_LINK);
    assert_int_equal(AprPeerNet_OpenLink(a.net, "127.0.0.1"), APR_NO_LINK);
    AprPeerNode_Stop(&a);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_peer_with_other_key_is_refused),
        cmocka_unit_test(test_garbage_is_counted_and_closed),
        cmocka_unit_test(test_half_open_limit),
        cmocka_unit_test(test_inbound_limit),
        cmocka_unit_test(test_no_link_to_itself),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
