#include "standins/lib/peer_node.h"

#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define METRIC_POLL_MS 2
#define US_PER_MS 1000

static void
on_up(void *context, AprLinkHandle_t link, const char *host,
      uint64_t incarnation)
{
    AprPeerNode_t *node = context;

    pthread_mutex_lock(&node->mutex);
    node->link_up_count++;
    node->last_link_up = link;
    node->peer_incarnation = incarnation;
    snprintf(node->peer_host, sizeof(node->peer_host), "%s", host);
    pthread_cond_broadcast(&node->changed);
    pthread_mutex_unlock(&node->mutex);
}

static void
on_down(void *context, AprLinkHandle_t link)
{
    AprPeerNode_t *node = context;

    (void)link;
    pthread_mutex_lock(&node->mutex);
    node->down_without_up += node->link_down_count >= node->link_up_count;
    node->link_down_count++;
    pthread_cond_broadcast(&node->changed);
    pthread_mutex_unlock(&node->mutex);
}

/* Returns the id of a REQUEST or ANSWER, or the send id of a RENEW. */
static uint64_t
message_id(const AprMessage_t *message)
{
    switch (message->type) {
    case APR_MSG_REQUEST:
        return message->request.id;
    case APR_MSG_ANSWER:
        return message->answer.id;
    default:
        return message->renew.send_id;
    }
}

static void
on_message(void *context, AprLinkHandle_t link, AprMessage_t *message)
{
    AprPeerNode_t *node = context;
    uint64_t id = message_id(message);

    pthread_mutex_lock(&node->mutex);
    if (node->message_count < APR_PEER_NODE_LOG) {
        node->types[node->message_count] = message->type;
        node->ids[node->message_count] = id;
    }
    if (node->sends_answers && message->type == APR_MSG_REQUEST) {
        AprPeerNode_Send(node, link, APR_MSG_ANSWER, id, NULL, 0);
    }
    node->message_count++;
    pthread_cond_broadcast(&node->changed);
    pthread_mutex_unlock(&node->mutex);
    AprMessage_Free(message);
}

static void
on_undelivered(void *context, AprLinkHandle_t link, AprMessage_t *message)
{
    AprPeerNode_t *node = context;

    (void)link;
    AprMessage_Free(message);
    pthread_mutex_lock(&node->mutex);
    node->undelivered_count++;
    node->undelivered_after_link_down += node->link_down_count > 0;
    pthread_cond_broadcast(&node->changed);
    pthread_mutex_unlock(&node->mutex);
}

/* Initializes and starts a node. Returns APR_E_IO, with the error printed to
   stderr, if its peer network does not start. */
int
AprPeerNode_Start(AprPeerNode_t *node, const char *host, const char *listen,
                  const char *peer_key)
{
    static atomic_ullong incarnation = 100;
    AprPeerSettings_t settings = {host, atomic_fetch_add(&incarnation, 1),
                                  listen, peer_key};
    AprPeerCallbacks_t callbacks = {on_up, on_down, on_message, on_undelivered,
                                    node};
    AprClock_t clock = AprClock_System();
    AprError_t error;

    memset(node, 0, sizeof(*node));
    pthread_mutex_init(&node->mutex, NULL);
    pthread_cond_init(&node->changed, NULL);
    node->metrics = AprMetrics_New();
    node->net =
        AprPeerNet_Start(&settings, &clock, &callbacks, node->metrics, &error);
    if (node->net == NULL) {
        fprintf(stderr, "%s: %s\n", host, error.detail);
        return APR_E_IO;
    }
    return APR_OK;
}

/* Stops a node. Its counters stay readable, its metrics do not. */
void
AprPeerNode_Stop(AprPeerNode_t *node)
{
    AprPeerNet_Stop(node->net);
    AprMetrics_Free(node->metrics);
    pthread_cond_destroy(&node->changed);
    pthread_mutex_destroy(&node->mutex);
}

/* Waits until a counter of the node reaches `value`. Returns the time waited
   in milliseconds, or -1 after `limit_ms`. */
int64_t
AprPeerNode_WaitForCounter(AprPeerNode_t *node, const atomic_int *counter,
                           int value, int limit_ms)
{
    AprClock_t clock = AprClock_System();
    struct timespec begin = AprClock_Now(&clock);
    struct timespec limit;
    int status = 0;
    bool reached;

    clock_gettime(CLOCK_REALTIME, &limit);
    limit = AprTime_AddMs(limit, limit_ms);
    pthread_mutex_lock(&node->mutex);
    while (*counter < value && status == 0) {
        status = pthread_cond_timedwait(&node->changed, &node->mutex, &limit);
    }
    reached = *counter >= value;
    pthread_mutex_unlock(&node->mutex);
    return reached ? AprTime_DiffMs(AprClock_Now(&clock), begin) : -1;
}

/* Returns the value of a metric of the peer network. */
int64_t
AprPeerNode_GetMetric(AprPeerNode_t *node, const char *name,
                      const char *labels)
{
    return AprMetric_Value(
        AprMetrics_RegisterCounter(node->metrics, name, labels, ""));
}

/* Waits until a metric of the peer network reaches `value`. Returns false
   after `limit_ms`. */
bool
AprPeerNode_WaitForMetric(AprPeerNode_t *node, const char *name,
                          const char *labels, int64_t value, int limit_ms)
{
    for (int ms = 0; ms < limit_ms; ms += METRIC_POLL_MS) {
        if (AprPeerNode_GetMetric(node, name, labels) >= value) {
            return true;
        }
        usleep(METRIC_POLL_MS * US_PER_MS);
    }
    return false;
}

/* Sends a message. Returns APR_E_NOMEM or the result of AprPeerNet_Send. */
int
AprPeerNode_Send(AprPeerNode_t *node, AprLinkHandle_t link,
                 AprMessageType_t type, uint64_t id, const char *body,
                 size_t body_size)
{
    AprMessage_t *message = calloc(1, sizeof(*message));
    int status;

    if (message == NULL) {
        return APR_E_NOMEM;
    }
    message->type = type;
    if (type == APR_MSG_REQUEST) {
        message->request.id = id;
        message->request.body = (AprBytes_t){body, body_size};
    }
    else if (type == APR_MSG_ANSWER) {
        message->answer.id = id;
        message->answer.body = (AprBytes_t){body, body_size};
    }
    else {
        message->renew.send_id = id;
    }
    status = AprPeerNet_Send(node->net, link, message);
    if (status != APR_OK) {
        AprMessage_Free(message);
    }
    return status;
}
