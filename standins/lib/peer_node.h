#ifndef APRICOT_STANDINS_PEER_NODE_H
#define APRICOT_STANDINS_PEER_NODE_H

#include <pthread.h>
#include <stdatomic.h>
#include <stdbool.h>
#include <stdint.h>

#include "apricot/metrics.h"
#include "apricot/peer_net.h"

#define APR_PEER_NODE_LOG 8192

/* A process on the peer network that records what its net reports. Events are
   recorded under the mutex, so holding it blocks the peer thread; the counters
   can be read at any time. */
typedef struct AprPeerNode_t {
    pthread_mutex_t mutex;
    pthread_cond_t changed;
    atomic_int up;
    atomic_int down;
    atomic_int messages;
    atomic_int undelivered;
    atomic_int undelivered_after_down;
    atomic_int unpaired_down; /* without an `up` before it */
    AprLinkHandle_t last_up;
    char peer_host[APR_NAME_SIZE];
    uint64_t peer_incarnation;
    AprMessageType_t types[APR_PEER_NODE_LOG]; /* of the first messages */
    uint64_t ids[APR_PEER_NODE_LOG];
    bool answers; /* each request is answered with its id */
    AprMetrics_t *metrics;
    AprPeerNet_t *net;
} AprPeerNode_t;

/* Incarnations rise with each start in the process. */
int AprPeerNode_Start(AprPeerNode_t *node, const char *host,
                      const char *listen, const char *peer_key);
void AprPeerNode_Stop(AprPeerNode_t *node);
/* Waits until one of the node's counters has reached a value. Returns the
   milliseconds it took, or -1 when the limit passed. */
int64_t AprPeerNode_Wait(AprPeerNode_t *node, const atomic_int *counter,
                         int value, int limit_ms);
/* Waits in the same way for a metric of the net. */
bool AprPeerNode_WaitMetric(AprPeerNode_t *node, const char *name,
                            const char *labels, int64_t value, int limit_ms);
int64_t AprPeerNode_Metric(AprPeerNode_t *node, const char *name,
                           const char *labels);
/* Sends a REQUEST, ANSWER or RENEW with this id; the body is not copied and
   may be NULL. */
int AprPeerNode_Send(AprPeerNode_t *node, AprLinkHandle_t link,
                     AprMessageType_t type, uint64_t id, const char *body,
                     size_t body_size);

#endif
