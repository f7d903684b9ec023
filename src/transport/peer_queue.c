#include "internal/peer_queue.h"

#include "internal/message_codec.h"

static const unsigned count_limits[APR_PEER_CLASSES] = {
    [APR_PEER_CONTROL] = APR_PEER_MAX_CONTROL,
    [APR_PEER_DATA] = APR_PEER_MAX_DATA,
};

static AprPeerClass_t
class_of(const AprMessage_t *message)
{
    return AprMessage_IsControl(message->type) ? APR_PEER_CONTROL
                                               : APR_PEER_DATA;
}

/* Reserves room for a message. Each class has limits of its own, so that a
   flood of requests cannot keep lease renewals out. */
int
AprPeerBudget_Take(AprPeerBudget_t *budget, const AprMessage_t *message)
{
    AprPeerClass_t class = class_of(message);
    size_t weight = AprMessage_Weight(message);

    if (atomic_fetch_add(&budget->count[class], 1) >= count_limits[class]) {
        atomic_fetch_sub(&budget->count[class], 1);
        return APR_E_FULL;
    }
    if (atomic_fetch_add(&budget->bytes[class], weight) + weight >
        APR_PEER_MAX_BYTES) {
        AprPeerBudget_Return(budget, message);
        return APR_E_FULL;
    }
    return APR_OK;
}

/* Gives back the room of a message that leaves the queue. */
void
AprPeerBudget_Return(AprPeerBudget_t *budget, const AprMessage_t *message)
{
    AprPeerClass_t class = class_of(message);

    atomic_fetch_sub(&budget->count[class], 1);
    atomic_fetch_sub(&budget->bytes[class], AprMessage_Weight(message));
}

/* Makes an empty queue. */
void
AprPeerQueue_Init(AprPeerQueue_t *queue)
{
    for (int i = 0; i < APR_PEER_CLASSES; i++) {
        g_queue_init(&queue->messages[i]);
    }
}

/* Appends a message behind those of its class. */
void
AprPeerQueue_Push(AprPeerQueue_t *queue, AprMessage_t *message)
{
    g_queue_push_tail(&queue->messages[class_of(message)], message);
}

/* Takes the oldest control message, else the oldest other one. */
AprMessage_t *
AprPeerQueue_Pop(AprPeerQueue_t *queue)
{
    for (int i = 0; i < APR_PEER_CLASSES; i++) {
        AprMessage_t *message = g_queue_pop_head(&queue->messages[i]);

        if (message != NULL) {
            return message;
        }
    }
    return NULL;
}
