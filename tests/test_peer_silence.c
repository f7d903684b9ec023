#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <unistd.h>

#include <cmocka.h>

#include "standins/lib/peer_node.h"
#include "standins/lib/relay.h"

#define KEY "correct horse"

typedef AprPeerNode_t Node_t;

static void
start(Node_t *node, const char *host)
{
    assert_int_equal(AprPeerNode_Start(node, host, "127.0.0.1:0", KEY),
                     APR_OK);
}

static int64_t
wait_for(Node_t *node, const int *counter, int value, int limit_ms)
{
    int64_t waited_ms = AprPeerNode_Wait(node, counter, value, limit_ms);

    assert_true(waited_ms >= 0);
    return waited_ms;
}

static void
send_request(Node_t *node, AprLink_t link)
{
    assert_int_equal(AprPeerNode_Send(node, link, APR_MSG_REQUEST, 1, NULL, 0),
                     APR_OK);
}

/* Guards against a cut network that goes unnoticed, on an idle link as well as
   on one whose owner keeps sending, and against a link that does not return
   when the network does. */
static void
cut_and_restore(int sending)
{
    Node_t a, b;
    AprRelay_t *relay;
    AprLink_t link;

    start(&a, "a");
    start(&b, "b");
    relay = AprRelay_Start("127.0.0.1:0", AprPeerNet_Address(b.net), NULL);
    assert_non_null(relay);
    link = AprPeerNet_Open(a.net, AprRelay_Address(relay));
    wait_for(&a, &a.up, 1, 2000);
    wait_for(&b, &b.up, 1, 2000);
    AprRelay_Cut(relay);
    for (int i = 0; sending && i < 15; i++) {
        send_request(&a, link);
        usleep(100000);
    }
    assert_in_range(wait_for(&a, &a.down, 1, 3000), sending ? 0 : 1500, 2500);
    wait_for(&b, &b.down, 1, 3000);
    assert_int_equal(b.messages, 0);
    AprRelay_Restore(relay);
    wait_for(&a, &a.up, 2, 4000);
    send_request(&a, link);
    wait_for(&b, &b.messages, 1, 2000);
    assert_int_equal(a.undelivered, 0);
    AprPeerNode_Stop(&a);
    AprRelay_Stop(relay);
    AprPeerNode_Stop(&b);
}

static void
test_cut_of_idle_link(void **state)
{
    (void)state;
    cut_and_restore(0);
}

static void
test_cut_of_busy_link(void **state)
{
    (void)state;
    cut_and_restore(1);
}

/* Guards against links that break although the network is fine: one without
   any message, and one whose owner sends and gets no answer for longer than
   the silence limit. */
static void
test_quiet_link_stays_up(void **state)
{
    Node_t a, b;
    AprLink_t link;

    (void)state;
    start(&a, "a");
    start(&b, "b");
    link = AprPeerNet_Open(a.net, AprPeerNet_Address(b.net));
    wait_for(&b, &b.up, 1, 2000);
    usleep(3500000);
    for (int i = 0; i < 35; i++) {
        send_request(&a, link);
        usleep(100000);
    }
    wait_for(&b, &b.messages, 35, 1000);
    assert_int_equal(a.down, 0);
    assert_int_equal(b.down, 0);
    AprPeerNode_Stop(&a);
    AprPeerNode_Stop(&b);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_cut_of_idle_link),
        cmocka_unit_test(test_cut_of_busy_link),
        cmocka_unit_test(test_quiet_link_stays_up),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
