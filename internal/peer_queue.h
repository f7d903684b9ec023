#ifndef APRICOT_INTERNAL_PEER_QUEUE_H
#define APRICOT_INTERNAL_PEER_QUEUE_H

#include <stdatomic.h>
#include <stddef.h>

#include <glib.h>

#include "apricot/message.h"

#define APR_PEER_MAX_CONTROL 1024
#define APR_PEER_MAX_DATA 4096
/* Bodies of at most 64 KiB are usual, so the count is reached first. */
#define APR_PEER_MAX_BYTES (16 * 1024 * 1024)

typedef enum AprPeerClass_t {
    APR_PEER_CONTROL,
    APR_PEER_DATA,
    APR_PEER_CLASSES
} AprPeerClass_t;

/* What is queued for one link, counted from the sending threads on, so that a
   sender learns at once that there is no room. */
typedef struct AprPeerBudget_t {
    atomic_uint count[APR_PEER_CLASSES];
    atomic_size_t bytes[APR_PEER_CLASSES];
} AprPeerBudget_t;

/* Messages of one link in the order of sending, control first. Peer thread
   only. */
typedef struct AprPeerQueue_t {
    GQueue messages[APR_PEER_CLASSES];
} AprPeerQueue_t;

/* APR_E_FULL: no room for the message. Thread safe. */
int AprPeerBudget_Take(AprPeerBudget_t *budget, const AprMessage_t *message);
void AprPeerBudget_Return(AprPeerBudget_t *budget,
                          const AprMessage_t *message);
void AprPeerQueue_Init(AprPeerQueue_t *queue);
void AprPeerQueue_Push(AprPeerQueue_t *queue, AprMessage_t *message);
/* The next message, or NULL. */
AprMessage_t *AprPeerQueue_Pop(AprPeerQueue_t *queue);

#endif
