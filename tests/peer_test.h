#ifndef APRICOT_TESTS_PEER_TEST_H
#define APRICOT_TESTS_PEER_TEST_H

/* Wrappers of the peer node that assert success, for tests with cmocka.
   Include after cmocka.h. */

#include "standins/lib/peer_node.h"

#define WAIT_LIMIT_MS 10000
#define PEER_KEY "correct horse"

typedef AprPeerNode_t Node_t;

static inline void
start_node(Node_t *node, const char *host, const char *listen, const char *key)
{
    assert_int_equal(AprPeerNode_Start(node, host, listen, key), APR_OK);
}

static inline void
wait_for_count(Node_t *node, const atomic_int *counter, int value)
{
    assert_true(
        AprPeerNode_WaitForCounter(node, counter, value, WAIT_LIMIT_MS) >= 0);
}

static inline void
wait_for_metric(Node_t *node, const char *name, const char *labels,
                int64_t value)
{
    assert_true(
        AprPeerNode_WaitForMetric(node, name, labels, value, WAIT_LIMIT_MS));
}

static inline void
send_message(Node_t *node, AprLinkHandle_t link, AprMessageType_t type,
             uint64_t id)
{
    assert_int_equal(AprPeerNode_Send(node, link, type, id, NULL, 0), APR_OK);
}

/* Starts two nodes, opens a link from `a` to `b`, waits until it is up on both
   and returns its handle at `a`. */
static inline AprLinkHandle_t
start_linked_nodes(Node_t *a, Node_t *b)
{
    AprLinkHandle_t link;

    start_node(a, "a", "127.0.0.1:0", PEER_KEY);
    start_node(b, "b", "127.0.0.1:0", PEER_KEY);
    link = AprPeerNet_OpenLink(a->net, AprPeerNet_ListenAddress(b->net));
    wait_for_count(a, &a->link_up_count, 1);
    wait_for_count(b, &b->link_up_count, 1);
    return link;
}

#endif
