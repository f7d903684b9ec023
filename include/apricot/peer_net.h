#ifndef APRICOT_PEER_NET_H
#define APRICOT_PEER_NET_H

#include <stdint.h>

#include "apricot/clock.h"
#include "apricot/error.h"
#include "apricot/message.h"
#include "apricot/metrics.h"

#define APR_NO_LINK UINT32_MAX

/* TCP links to other processes, run by one thread of its own. */
typedef struct AprPeerNet_t AprPeerNet_t;

/* Handle to a link; a handle is not reused for 2^16 links of its slot. */
typedef uint32_t AprLink_t;

/* Called on the peer thread. The callee takes ownership of messages. */
typedef struct AprPeerEvents_t {
    void (*up)(void *context, AprLink_t link, const char *host,
               uint64_t incarnation);
    /* The link is gone (inbound) or down until it reconnects (outbound). What
       was sent on it and not answered may have arrived. */
    void (*down)(void *context, AprLink_t link);
    void (*message)(void *context, AprLink_t link, AprMessage_t *message);
    /* No byte of this message was written. */
    void (*undelivered)(void *context, AprLink_t link, AprMessage_t *message);
    void *context;
} AprPeerEvents_t;

typedef struct AprPeerSettings_t {
    const char *host;
    uint64_t incarnation;
    const char *listen; /* IP:port; port 0 picks a free one */
    const char *peer_key;
} AprPeerSettings_t;

AprPeerNet_t *AprPeerNet_Start(const AprPeerSettings_t *settings,
                               const AprClock_t *clock,
                               const AprPeerEvents_t *events,
                               AprMetrics_t *metrics, AprError_t *error);
void AprPeerNet_Stop(AprPeerNet_t *net);
/* Address that the listener is bound to. */
const char *AprPeerNet_Address(const AprPeerNet_t *net);
/* Opens an outbound link that is kept connected until it is closed. Thread
   safe. */
AprLink_t AprPeerNet_Open(AprPeerNet_t *net, const char *address);
void AprPeerNet_Close(AprPeerNet_t *net, AprLink_t link);
/* Queues a message and takes ownership of it on APR_OK. Thread safe.
   APR_E_FULL: not queued. Control messages overtake requests and answers. */
int AprPeerNet_Send(AprPeerNet_t *net, AprLink_t link, AprMessage_t *message);

#endif
