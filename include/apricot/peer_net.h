#ifndef APRICOT_PEER_NET_H
#define APRICOT_PEER_NET_H

#include <stdint.h>

#include "apricot/clock.h"
#include "apricot/error.h"
#include "apricot/message.h"
#include "apricot/metrics.h"

#define APR_NO_LINK UINT32_MAX

/* TCP links to other processes of apricotd. One thread, the peer thread,
   serves all links of a net. */
typedef struct AprPeerNet_t AprPeerNet_t;

/* Handle to a link: the slot in the low 16 bits, the generation of the slot in
   the high 16 bits. A handle is reused only after 2^16 links in its slot. */
typedef uint32_t AprLinkHandle_t;

/* Callbacks, called on the peer thread. The callee takes ownership of
   messages; strings are valid during the call only. */
typedef struct AprPeerCallbacks_t {
    /* The handshake has succeeded; `host` and `incarnation` are the peer's. */
    void (*on_up)(void *context, AprLinkHandle_t link, const char *host,
                  uint64_t incarnation);
    /* The connection of a link that was up has ended. An inbound link is freed
       and its handle invalid; an outbound link reconnects until it is closed.
       Messages sent on the link without a response may have arrived. */
    void (*on_down)(void *context, AprLinkHandle_t link);
    /* A message has arrived. */
    void (*on_message)(void *context, AprLinkHandle_t link,
                       AprMessage_t *message);
    /* A message that AprPeerNet_Send accepted was dropped before any byte of
       it was written, so the peer has not received it. */
    void (*on_undelivered)(void *context, AprLinkHandle_t link,
                           AprMessage_t *message);
    void *context;
} AprPeerCallbacks_t;

typedef struct AprPeerSettings_t {
    const char *host;
    uint64_t incarnation;
    const char *listen;   /* IP:port; port 0 selects a free port */
    const char *peer_key; /* secret that all processes share */
} AprPeerSettings_t;

AprPeerNet_t *AprPeerNet_Start(const AprPeerSettings_t *settings,
                               const AprClock_t *clock,
                               const AprPeerCallbacks_t *callbacks,
                               AprMetrics_t *metrics, AprError_t *error);
void AprPeerNet_Stop(AprPeerNet_t *net);
/* Address that the listener is bound to; valid until AprPeerNet_Stop. */
const char *AprPeerNet_ListenAddress(const AprPeerNet_t *net);
/* Opens an outbound link, which reconnects until AprPeerNet_CloseLink. Thread
   safe. */
AprLinkHandle_t AprPeerNet_OpenLink(AprPeerNet_t *net, const char *address);
/* Closes a link of either direction. Thread safe. */
void AprPeerNet_CloseLink(AprPeerNet_t *net, AprLinkHandle_t link);
/* Queues a message and takes ownership of it if APR_OK is returned. Control
   messages are sent before queued requests and responses. Thread safe. */
int AprPeerNet_Send(AprPeerNet_t *net, AprLinkHandle_t link,
                    AprMessage_t *message);

#endif
