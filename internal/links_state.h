#ifndef APRICOT_INTERNAL_LINKS_STATE_H
#define APRICOT_INTERNAL_LINKS_STATE_H

#include <msgpack.h>

#include "internal/gateway_link.h"
#include "internal/listener.h"

/* The links of a gateway, for the sources that implement them. */

/* Notice to the new owner of a key range that its last holder released it,
   sent as APR_LINK_HANDOVER_TOKEN. */
typedef struct AprReleaseNotice_t {
    char host[APR_NAME_SIZE];
    char service[APR_ROUTE_NAME_SIZE];
    AprGrant_t grant;
    int sends_left;
    struct AprReleaseNotice_t *next;
} AprReleaseNotice_t;

struct AprLinks_t {
    AprGateway_t *gateway;
    AprGatewayLink_t *outbound;
    GHashTable *outbound_by_host; /* name -> AprGatewayLink_t, not owned */
    AprGatewayLink_t *stalled;    /* outbound links replaced by new ones */
    AprGatewayLink_t *inbound;
    GHashTable *inbound_hosts; /* name -> AprInboundHost_t, owned */
    AprGatewayLink_t *closed;  /* freed at the next tick, when unreferenced */
    AprReleaseNotice_t *pending_releases;
    AprListener_t listener;
    int64_t last_release_send_ms;
    int64_t last_backlog_log_ms;
    msgpack_zone zone;
};

/* Implemented in links.c. */
int64_t AprLinks_NowMs(const AprLinks_t *links);
AprGatewayLink_t *AprLinks_FindOutbound(const AprLinks_t *links,
                                        const char *host);
AprGatewayLink_t *AprLinks_EnsureOutbound(AprLinks_t *links, const char *host);
void AprLinks_SendRelease(AprLinks_t *links,
                          const AprReleaseNotice_t *release);
void AprGatewayLink_Free(AprGatewayLink_t *link);
void AprGatewayLink_RemoveFrom(AprGatewayLink_t **list,
                               AprGatewayLink_t *link);
void AprGatewayLink_CloseOutbound(AprGatewayLink_t *link, const char *reason);
void AprGatewayLink_HandleFailure(AprGatewayLink_t *link, const char *reason);

/* Implemented in link_receive.c. */
void AprGatewayLink_RemoveFromInboundHost(AprGatewayLink_t *link);
void AprGatewayLink_SendLoad(AprGatewayLink_t *link, AprLinkType_t type,
                             int64_t sequence);
void AprGatewayLink_SendChangedItems(AprGatewayLink_t *link);
void AprGatewayLink_SendHello(AprGatewayLink_t *link);
void AprGatewayLink_OnData(void *context, const char *data, size_t size);

/* Implemented in link_health.c. */
void AprLinks_FreeClosed(AprLinks_t *links);

#endif
