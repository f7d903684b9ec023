#ifndef APRICOT_TESTS_PEER_TEST_H
#define APRICOT_TESTS_PEER_TEST_H

/* Short forms of the peer node for cmocka tests, to be included after cmocka.
 */

#include "standins/lib/peer_node.h"

#define WAIT_MS 10000
#define KEY "correct horse"

typedef AprPeerNode_t Node_t;

static inline void
start(Node_t *node, const char *host, const char *listen, const char *key)
{
    assert_int_equal(AprPeerNode_Start(node, host, listen, key), APR_OK);
}

static inline void
wait_for(Node_t *node, const atomic_int *counter, int value)
{
    assert_true(AprPeerNode_Wait(node, counter, value, WAIT_MS) >= 0);
}

static inline void
wait_metric(Node_t *node, const char *name, const char *labels, int64_t value)
{
    assert_true(AprPeerNode_WaitMetric(node, name, labels, value, WAIT_MS));
}

static inline void
send_message(Node_t *node, AprLink_t link, AprMessageType_t type, uint64_t id)
{
    assert_int_equal(AprPeerNode_Send(node, link, type, id, NULL, 0), APR_OK);
}

/* Two nodes with a link from a to b that is up. */
static inline AprLink_t
start_linked(Node_t *a, Node_t *b)
{
    AprLink_t link;

    start(a, "a", "127.0.0.1:0", KEY);
    start(b, "b", "127.0.0.1:0", KEY);
    link = AprPeerNet_Open(a->net, AprPeerNet_Address(b->net));
    wait_for(a, &a->up, 1);
    wait_for(b, &b->up, 1);
    return link;
}

#endif
