#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <unistd.h>

#include <cmocka.h>

#include "standins/lib/relay.h"
#include "tests/peer_test.h"

/* Guards against a network cut that goes undetected, on an idle link and on
   one whose owner keeps sending, and against a link that does not reconnect
   when the network is restored. */
static void
check_cut_and_restore(int sending)
{
    Node_t a, b;
    AprRelay_t *relay;
    AprLinkHandle_t link;
    int64_t waited_ms;

    start_node(&a, "a", "127.0.0.1:0", PEER_KEY);
    start_node(&b, "b", "127.0.0.1:0", PEER_KEY);
    relay =
        AprRelay_Start("127.0.0.1:0", AprPeerNet_ListenAddress(b.net), NULL);
    assert_non_null(relay);
    link = AprPeerNet_OpenLink(a.net, AprRelay_Address(relay));
    wait_for_count(&a, &a.link_up_count, 1);
    wait_for_count(&b, &b.link_up_count, 1);
    AprRelay_Cut(relay);
    for (int i = 0; sending && i < 15; i++) {
        send_message(&a, link, APR_MSG_REQUEST, 1);
        usleep(100000);
    }
    waited_ms =
        AprPeerNode_WaitForCounter(&a, &a.link_down_count, 1, WAIT_LIMIT_MS);
    assert_in_range(waited_ms, sending ? 0 : 1500, sending ? 1000 : 2500);
    wait_for_count(&b, &b.link_down_count, 1);
    assert_int_equal(b.message_count, 0);
    AprRelay_Restore(relay);
    wait_for_count(&a, &a.link_up_count, 2);
    send_message(&a, link, APR_MSG_REQUEST, 1);
    wait_for_count(&b, &b.message_count, 1);
    assert_int_equal(a.undelivered_count, 0);
    AprPeerNode_Stop(&a);
    AprRelay_Stop(relay);
    AprPeerNode_Stop(&b);
}

static void
test_network_cut_on_idle_link(void **state)
{
    (void)state;
    check_cut_and_restore(0);
}

static void
test_network_cut_on_busy_link(void **state)
{
    (void)state;
    check_cut_and_restore(1);
}

/* Guards against links that close although the network works: a link without
   any message, and a link whose owner sends but receives no response for
   longer than the silence timeout. */
static void
test_link_without_responses_stays_up(void **state)
{
    Node_t a, b;
    AprLinkHandle_t link;

    (void)state;
    start_node(&a, "a", "127.0.0.1:0", PEER_KEY);
    start_node(&b, "b", "127.0.0.1:0", PEER_KEY);
    link = AprPeerNet_OpenLink(a.net, AprPeerNet_ListenAddress(b.net));
    wait_for_count(&b, &b.link_up_count, 1);
    usleep(3500000);
    for (int i = 0; i < 35; i++) {
        send_message(&a, link, APR_MSG_REQUEST, 1);
        usleep(100000);
    }
    wait_for_count(&b, &b.message_count, 35);
    assert_int_equal(a.link_down_count, 0);
    assert_int_equal(b.link_down_count, 0);
    AprPeerNode_Stop(&a);
    AprPeerNode_Stop(&b);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_network_cut_on_idle_link),
        cmocka_unit_test(test_network_cut_on_busy_link),
        cmocka_unit_test(test_link_without_responses_stays_up),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
