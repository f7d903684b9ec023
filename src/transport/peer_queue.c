#include "internal/peer_queue.h"

#include "internal/message_codec.h"

static const unsigned max_queued[APR_PEER_CLASS_COUNT] = {
    [APR_PEER_CLASS_CONTROL] = APR_PEER_MAX_QUEUED_CONTROL,
    [APR_PEER_CLASS_DATA] = APR_PEER_MAX_QUEUED_DATA,
};

static AprPeerMessageClass_t
message_class(const AprMessage_t *message)
{
    return AprMessage_IsControl(message->type) ? APR_PEER_CLASS_CONTROL
                                               : APR_PEER_CLASS_DATA;
}

/* Reserves room for a message. Each class has its own limits, so that a flood
   of requests cannot displace lease renewals. */
int
AprPeerBudget_Reserve(AprPeerBudget_t *budget, const AprMessage_t *message)
{
    AprPeerMessageClass_t class = message_class(message);
    size_t weight = AprMessage_ContentSize(message);

    if (atomic_fetch_add(&budget->count[class], 1) >= max_queued[class]) {
        atomic_fetch_sub(&budget->count[class], 1);
        return APR_E_FULL;
    }
    if (atomic_fetch_add(&budget->bytes[class], weight) + weight >
        APR_PEER_MAX_QUEUED_BYTES) {
        AprPeerBudget_Release(budget, message);
        return APR_E_FULL;
    }
    return APR_OK;
}

/* Releases the reservation of a message that leaves the queue. */
void
AprPeerBudget_Release(AprPeerBudget_t *budget, const AprMessage_t *message)
{
    AprPeerMessageClass_t class = message_class(message);

    atomic_fetch_sub(&budget->count[class], 1);
    atomic_fetch_sub(&budget->bytes[class], AprMessage_ContentSize(message));
}

/* Initializes an empty queue. */
void
AprPeerQueue_Init(AprPeerQueue_t *queue)
{
    for (int i = 0; i < APR_PEER_CLASS_COUNT; i++) {
        g_queue_init(&queue->messages[i]);
    }
}

/* Appends a message to the queue of its class. The queue takes ownership. */
void
AprPeerQueue_Push(AprPeerQueue_t *queue, AprMessage_t *message)
{
    g_queue_push_tail(&queue->messages[message_class(message)], message);
}

/* Removes the oldest control message or, if there is none, the oldest data
   message. The caller owns it. */
AprMessage_t *
AprPeerQueue_Pop(AprPeerQueue_t *queue)
{
    for (int i = 0; i < APR_PEER_CLASS_COUNT; i++) {
        AprMessage_t *message = g_queue_pop_head(&queue->messages[i]);

        if (message != NULL) {
            return message;
        }
    }
    return NULL;
}
