#ifndef APRICOT_INTERNAL_LINK_FRAME_H
#define APRICOT_INTERNAL_LINK_FRAME_H

#include <msgpack.h>

#include "apricot/grant_table.h"
#include "internal/call.h"
#include "internal/stream.h"

/* Frames between two gateways. A frame is a length of four bytes in network
   byte order, followed by a msgpack array whose first element is the type. */

#define APR_LINK_VERSION 3
#define APR_LINK_MAX_FRAME_BYTES (4 * 1024 * 1024)
#define APR_LINK_MAX_DATA_BYTES 32768

typedef enum AprLinkType_t {
    APR_LINK_HELLO = 1,
    APR_LINK_CALL,
    APR_LINK_RESPONSE,
    APR_LINK_DATA,
    APR_LINK_CANCEL,
    APR_LINK_FAIL,
    APR_LINK_ACK,
    APR_LINK_PING,
    APR_LINK_PONG,
    APR_LINK_HANDOVER_TOKEN,
    APR_LINK_SUBSCRIBE,
    APR_LINK_ITEM,
    APR_LINK_RENEW_LEASE,
    APR_LINK_RENEWAL_RESULT,
    APR_LINK_REACHABILITY_QUERY,
    APR_LINK_REACHABILITY_REPLY,
    APR_LINK_GOAWAY,
    APR_LINK_CREDIT
} AprLinkType_t;

/* Load of a gateway and how far its copy of the store goes; part of pings and
   of responses to calls. */
typedef struct AprHostLoad_t {
    int64_t wait_ms;        /* expected queueing time of a new request */
    int running;            /* requests */
    int queued;             /* requests */
    int slots;              /* requests that can run at the same time */
    int load_permille;      /* demand divided by capacity */
    bool accepts_calls;     /* the backend server accepts requests */
    bool stopping;          /* the gateway is shutting down */
    bool store_lost;        /* this host cannot reach the store */
    int64_t known_revision; /* store revision up to which it has all items */
    /* Remaining work, reported while balancing is adaptive only. Frames of
       other hosts end with the members above. */
    bool has_work;
    int64_t work_ms; /* service time at the usual pace, over all slots */
    int pace; /* 100: work takes as long as usual, 300: three times as long */
    int64_t network_delay_ms; /* queueing delay of requests to this host */
    /* Request bodies are sent to this host as it grants them, which takes
       body_wait_ms. */
    bool paces_bodies;
    int64_t body_wait_ms;
} AprHostLoad_t;

/* An item of the store that one gateway forwards to another, or the end of a
   series of items. */
typedef struct AprItemFrame_t {
    const char *key;
    size_t key_size;
    const char *value;
    size_t value_size;
    int64_t revision;
    int64_t lease_id; /* id of the store lease of the item; 0: none */
    bool removed;
    /* End of a series; only the members below apply. */
    bool end_of_series;
    /* Time since the sender's items were complete, in ms; -1: too long. */
    int64_t source_age_ms;
    int64_t complete_revision; /* store revision up to which the series has all
                                  items */
} AprItemFrame_t;

/* A decoded frame. `data`, item.key and item.value point into the received
   bytes. The strings in `call` and `response` are in the zone given to
   AprLinkFrame_Decode, so they must not be passed to free(). */
typedef struct AprLinkFrame_t {
    AprLinkType_t type;
    uint32_t stream;
    /* APR_LINK_HELLO: the sender. APR_LINK_REACHABILITY_QUERY and
       APR_LINK_REACHABILITY_REPLY: the host that the question is about. */
    char host[APR_NAME_SIZE];
    /* APR_LINK_HELLO: the host that the sender means to reach. */
    char expected_host[APR_NAME_SIZE];
    /* APR_LINK_CALL: points in time are those of the local clock; the wire
       carries time spans. */
    AprCallHead_t call;
    AprResponseHead_t response; /* APR_LINK_RESPONSE */
    /* Part of a body in APR_LINK_CALL, APR_LINK_RESPONSE and APR_LINK_DATA. */
    const char *data;
    size_t data_size;
    bool last_part; /* `data` ends the body */
    bool paced;     /* APR_LINK_CALL: the rest of the body waits for grants */
    AprCallFailure_t failure; /* APR_LINK_FAIL */
    /* APR_LINK_ACK: body bytes that the receiver consumed. APR_LINK_CREDIT:
       body bytes that may be sent in addition. */
    size_t acknowledged_bytes;
    /* APR_LINK_PING and APR_LINK_PONG: value that the reply repeats.
       APR_LINK_SUBSCRIBE: store revision after which changes are requested.
       APR_LINK_RENEW_LEASE and APR_LINK_RENEWAL_RESULT: id of the request,
       negative; a lease in frames of earlier versions.
       APR_LINK_GOAWAY: the last stream that the sender has read.
       APR_LINK_CALL: send time on the sender's clock, in ms. */
    int64_t sequence;
    /* APR_LINK_RENEWAL_RESULT: lease that was renewed, -1 if none was; 0 if
       renewed by an earlier version.
       APR_LINK_REACHABILITY_REPLY: ms since the host was last heard, -1 if
       never. */
    int64_t result;
    /* APR_LINK_PING, APR_LINK_PONG, APR_LINK_RESPONSE and APR_LINK_FAIL. */
    AprHostLoad_t load;
    char service[APR_ROUTE_NAME_SIZE]; /* APR_LINK_HANDOVER_TOKEN */
    AprGrant_t grant;                  /* APR_LINK_HANDOVER_TOKEN */
    AprItemFrame_t item;               /* APR_LINK_ITEM */
} AprLinkFrame_t;

void AprLinkFrame_Encode(msgpack_sbuffer *buffer, const AprLinkFrame_t *frame,
                         int64_t now_ms);
void AprLinkFrame_Write(AprStream_t *stream, const AprLinkFrame_t *frame,
                        int64_t now_ms);
int AprLinkFrame_Decode(msgpack_zone *zone, const char *bytes, size_t size,
                        AprLinkFrame_t *frame, int64_t now_ms);

#endif
