#ifndef APRICOT_INTERNAL_LINK_H
#define APRICOT_INTERNAL_LINK_H

#include <glib.h>

#include "internal/gateway.h"
#include "internal/link_frame.h"

/* A connection between two gateways. The side that opened it sends calls, the
   other one answers. */
typedef struct AprLink_t AprLink_t;

struct AprLink_t {
    AprGateway_t *gateway;
    AprLinks_t *links;
    bool inbound;
    char host[APR_NAME_SIZE];
    AprStream_t *stream; /* NULL: not connected */
    AprBuffer_t in;
    bool established; /* the other side named itself as the host meant */
    bool foreign;     /* it is another host, and took nothing */
    int64_t opened_ms;
    int64_t heard_ms;
    int64_t pinged_ms;
    int64_t failed_ms; /* 0: the last try did not fail */
    gint next_stream;
    bool has_skew;
    int64_t skew_ms;        /* least difference of the clocks, with the way */
    int64_t subscribed_ms;  /* last request for items; 0: none */
    int64_t asked_revision; /* up to which it has all items */
    int64_t sent_arrival;   /* of the last item that was sent */
    GHashTable *calls;      /* by stream: calls sent, or taken if inbound */
    AprLink_t *next;
};

void AprLink_Send(AprLink_t *link, const AprLinkFrame_t *frame);

/* Calls on a link (link_calls.c). */
GHashTable *AprLinkCalls_New(void);
void AprLinkCalls_Open(AprLink_t *link, const AprCallHead_t *head,
                       const char *data, size_t size, bool end,
                       const AprCallSink_t *sink, void *context,
                       AprCallRef_t *ref);
void AprLinkCalls_Take(AprLink_t *link, AprLinkFrame_t *frame);
void AprLinkCalls_CancelAll(AprLink_t *link);
void AprLinkCalls_FailAll(AprLink_t *link, const AprCallFailure_t *failure);

#endif
