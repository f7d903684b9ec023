#ifndef APRICOT_INTERNAL_GATEWAY_LINK_H
#define APRICOT_INTERNAL_GATEWAY_LINK_H

#include <glib.h>

#include "internal/gateway.h"
#include "internal/link_frame.h"

/* A connection between two gateways. Only the side that opened it sends
   calls; the other side responds. */
typedef struct AprGatewayLink_t AprGatewayLink_t;

/* The open links from one host. */
typedef struct AprInboundHost_t {
    char host[APR_NAME_SIZE];
    int link_count;
    int64_t last_received_ms; /* on any of them */
} AprInboundHost_t;

struct AprGatewayLink_t {
    AprGateway_t *gateway;
    AprLinks_t *links;
    bool inbound;             /* opened by the other host */
    char host[APR_NAME_SIZE]; /* of the other side; inbound: "" before HELLO */
    AprInboundHost_t *inbound_host; /* of an inbound link after HELLO */
    AprStream_t *stream;            /* NULL: not connected */
    AprBuffer_t receive_buffer;     /* received bytes of incomplete frames */
    bool established;  /* outbound: HELLO named the expected host */
    bool wrong_host;   /* HELLO named another host, which took no calls */
    int64_t opened_ms; /* start of the connect */
    int64_t last_received_ms;
    int64_t last_ping_ms;
    int64_t unanswered_since_ms; /* first ping after last_received_ms */
    int64_t failed_ms;           /* last failure; 0: none */
    int64_t established_ms;      /* outbound: receipt of HELLO */
    int64_t stalled_ms;          /* see stall_link(); 0: not stalled */
    gint next_stream;            /* outbound: id of the last call sent */
    uint32_t last_stream;        /* inbound: id of the last call read */
    bool peer_paces_bodies;      /* outbound: AprHostLoad_t.paces_bodies */
    bool going_away;             /* GOAWAY was sent (inbound) or received */
    bool has_clock_offset;
    /* Smallest receive time minus send time of a call: the offset of the two
       hosts' clocks plus the least transmission delay. */
    int64_t min_clock_offset_ms;
    int64_t clock_offset_raised_ms; /* last change of it */
    int64_t subscribed_ms; /* last SUBSCRIBE of the other side; 0: none */
    int64_t subscriber_revision; /* the other side has all items up to this */
    /* Change sequence up to which items were sent; see
       AprStoreCache_VisitChanges(). */
    int64_t last_sent_sequence;
    GHashTable *calls; /* stream id to call: sent if outbound, else received */
    AprGatewayLink_t *next;
};

void AprGatewayLink_Send(AprGatewayLink_t *link, const AprLinkFrame_t *frame);

/* Implemented in link_calls.c. */
size_t AprGatewayLink_HeldBytes(const AprGatewayLink_t *link);
GHashTable *AprLinkCalls_NewTable(bool inbound);
void AprLinkCalls_UpdatePeerLoad(AprGatewayLink_t *link,
                                 const AprHostLoad_t *load);
void AprLinkCalls_GrantBodies(AprGateway_t *gateway);
void AprLinkCalls_RefuseHeld(AprGatewayLink_t *link);
void AprLinkCalls_Start(AprGatewayLink_t *link, const AprCallHead_t *head,
                        const char *data, size_t size, bool end,
                        const AprCallHandlers_t *handlers, void *context,
                        AprCallRef_t *ref);
void AprLinkCalls_HandleFrame(AprGatewayLink_t *link, AprLinkFrame_t *frame);
void AprLinkCalls_CancelAll(AprGatewayLink_t *link);
void AprLinkCalls_OnGoaway(AprGatewayLink_t *link, int64_t last_stream);
int AprLinkCalls_CountStarted(const AprGatewayLink_t *link);
void AprLinkCalls_FailRepeatable(AprGatewayLink_t *link,
                                 const AprCallFailure_t *failure);
void AprLinkCalls_FailUnanswered(AprGatewayLink_t *link,
                                 const AprCallFailure_t *failure);
void AprLinkCalls_FailOverdue(AprGatewayLink_t *link,
                              const AprCallFailure_t *failure);
void AprLinkCalls_FailAll(AprGatewayLink_t *link,
                          const AprCallFailure_t *failure);

#endif
