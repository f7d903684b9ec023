#ifndef APRICOT_INTERNAL_PEER_QUEUE_H
#define APRICOT_INTERNAL_PEER_QUEUE_H

#include <stdatomic.h>
#include <stddef.h>

#include <glib.h>

#include "apricot/message.h"

/* Messages of each class that are queued for one link. */
#define APR_PEER_MAX_QUEUED_CONTROL 1024
#define APR_PEER_MAX_QUEUED_DATA 4096
/* Bytes of each class that are queued for one link. Bodies are usually at most
   64 KiB. Data messages of more than 4 KiB on average reach this limit before
   their count. */
#define APR_PEER_MAX_QUEUED_BYTES (16 * 1024 * 1024)

typedef enum AprPeerMessageClass_t {
    APR_PEER_CLASS_CONTROL,
    APR_PEER_CLASS_DATA,
    APR_PEER_CLASS_COUNT
} AprPeerMessageClass_t;

/* Messages and bytes reserved for one link. The sending threads reserve room
   before the message reaches the peer thread, so that a sender learns at once
   that the queue is full. */
typedef struct AprPeerBudget_t {
    atomic_uint count[APR_PEER_CLASS_COUNT];
    atomic_size_t bytes[APR_PEER_CLASS_COUNT];
} AprPeerBudget_t;

/* Messages queued for one link, first in first out within each class. Used on
   the peer thread only. */
typedef struct AprPeerQueue_t {
    GQueue messages[APR_PEER_CLASS_COUNT];
} AprPeerQueue_t;

/* Reserves room for a message; APR_E_FULL if there is none. Thread safe. */
int AprPeerBudget_Reserve(AprPeerBudget_t *budget,
                          const AprMessage_t *message);
/* Releases the reservation of a message. Thread safe. */
void AprPeerBudget_Release(AprPeerBudget_t *budget,
                           const AprMessage_t *message);
void AprPeerQueue_Init(AprPeerQueue_t *queue);
void AprPeerQueue_Push(AprPeerQueue_t *queue, AprMessage_t *message);
/* Removes the next message to send, control messages first, and passes its
   ownership to the caller; NULL if the queue is empty. */
AprMessage_t *AprPeerQueue_Pop(AprPeerQueue_t *queue);

#endif
