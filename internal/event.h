#ifndef APRICOT_INTERNAL_EVENT_H
#define APRICOT_INTERNAL_EVENT_H

#include <stdint.h>

#include "apricot/backend_client.h"
#include "apricot/message.h"
#include "apricot/peer_net.h"
#include "apricot/ring.h"
#include "internal/http_entry.h"
#include "internal/store_worker.h"

typedef enum AprEventType_t {
    APR_EVENT_ENTRY,
    APR_EVENT_ADMIN,
    APR_EVENT_PEER_UP,
    APR_EVENT_PEER_DOWN,
    APR_EVENT_PEER_MESSAGE,
    APR_EVENT_PEER_UNDELIVERED,
    APR_EVENT_BACKEND,
    APR_EVENT_STORE,
    APR_EVENT_WATCH
} AprEventType_t;

/* A message of another thread to the core thread, posted to its inbox. */
typedef struct AprEvent_t {
    AprEventType_t type;
    AprLinkHandle_t link;
    char host[APR_NAME_SIZE];
    union {
        AprEntryRequest_t *entry;
        AprAdminRequest_t *admin;
        AprMessage_t *message;
        AprBackendResult_t *backend;
        AprStoreResult_t *store;
        AprWatchEvent_t *watch;
    };
} AprEvent_t;

AprEvent_t *AprEvent_New(AprEventType_t type);
/* Posts an event. Takes ownership of it on APR_OK. */
int AprEvent_Post(AprRing_t *inbox, AprEvent_t *event);
/* Posts an event that must not be lost, such as the result of a backend call.
   Blocks while the inbox is full. Takes ownership of the event. */
void AprEvent_PostBlocking(AprRing_t *inbox, AprEvent_t *event);

#endif
