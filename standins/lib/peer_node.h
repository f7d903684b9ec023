#ifndef APRICOT_STANDINS_PEER_NODE_H
#define APRICOT_STANDINS_PEER_NODE_H

#include <pthread.h>
#include <stdatomic.h>
#include <stdbool.h>
#include <stdint.h>

#include "apricot/metrics.h"
#include "apricot/peer_net.h"

/* Number of messages whose type and id a node records. */
#define APR_PEER_NODE_LOG 8192

/* A peer for tests and benchmarks that records the events of its peer network.
   Events are recorded under the mutex, so a test that holds it blocks the peer
   thread. The counters may be read without the mutex. */
typedef struct AprPeerNode_t {
    pthread_mutex_t mutex;
    pthread_cond_t changed;
    atomic_int link_up_count;
    atomic_int link_down_count;
    atomic_int message_count;
    atomic_int undelivered_count;
    atomic_int undelivered_after_link_down;
    atomic_int down_without_up; /* `down` events without an `up` before */
    AprLinkHandle_t last_link_up;
    char peer_host[APR_NAME_SIZE];
    uint64_t peer_incarnation;
    AprMessageType_t types[APR_PEER_NODE_LOG]; /* of the first messages */
    uint64_t ids[APR_PEER_NODE_LOG];           /* of the first messages */
    bool sends_answers; /* sends an ANSWER with the id of each REQUEST */
    AprMetrics_t *metrics;
    AprPeerNet_t *net;
} AprPeerNode_t;

/* Starts a node with a higher incarnation than the nodes that this process
   started before. */
int AprPeerNode_Start(AprPeerNode_t *node, const char *host,
                      const char *listen, const char *peer_key);
void AprPeerNode_Stop(AprPeerNode_t *node);
/* Waits until a counter of the node reaches `value`. Returns the time waited
   in milliseconds, or -1 after `limit_ms`. */
int64_t AprPeerNode_WaitForCounter(AprPeerNode_t *node,
                                   const atomic_int *counter, int value,
                                   int limit_ms);
/* Waits until a metric of the peer network reaches `value`. Returns false
   after `limit_ms`. */
bool AprPeerNode_WaitForMetric(AprPeerNode_t *node, const char *name,
                               const char *labels, int64_t value,
                               int limit_ms);
int64_t AprPeerNode_GetMetric(AprPeerNode_t *node, const char *name,
                              const char *labels);
/* Sends a REQUEST, ANSWER or RENEW with the given id. The body may be NULL; it
   is not copied and must stay valid until the message was sent or the node was
   stopped. */
int AprPeerNode_Send(AprPeerNode_t *node, AprLinkHandle_t link,
                     AprMessageType_t type, uint64_t id, const char *body,
                     size_t body_size);

#endif
