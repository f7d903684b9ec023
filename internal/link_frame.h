#ifndef APRICOT_INTERNAL_LINK_FRAME_H
#define APRICOT_INTERNAL_LINK_FRAME_H

#include <msgpack.h>

#include "apricot/grant_book.h"
#include "internal/call.h"
#include "internal/stream.h"

/* Frames between two processes: a length of four bytes, then a msgpack array
   whose first element is the type. */

#define APR_LINK_VERSION 3
#define APR_LINK_MAX_FRAME (4 * 1024 * 1024)
#define APR_LINK_MAX_DATA 32768

typedef enum AprLinkType_t {
    APR_LINK_HELLO = 1,
    APR_LINK_CALL,
    APR_LINK_ANSWER,
    APR_LINK_DATA,
    APR_LINK_CANCEL,
    APR_LINK_FAIL,
    APR_LINK_TAKEN,
    APR_LINK_PING,
    APR_LINK_PONG,
    APR_LINK_RELEASE,
    APR_LINK_FETCH,
    APR_LINK_ITEM,
    APR_LINK_RENEW,
    APR_LINK_RENEWED,
    APR_LINK_ASK,
    APR_LINK_HEARD
} AprLinkType_t;

/* Load and knowledge of a process, sent along with pings and answers. */
typedef struct AprHostLoad_t {
    int64_t wait_ms; /* until new work would start */
    int running;
    int queued;
    int slots;
    int load_permille; /* demand over capacity */
    bool open;         /* its backend server takes work */
    bool stopping;     /* the process is about to end */
    bool store_lost;   /* the store does not answer this host */
    int64_t revision;  /* of the store, up to which it knows all items */
} AprHostLoad_t;

/* An item of the store, passed on between processes. */
typedef struct AprItemFrame_t {
    const char *key;
    size_t key_size;
    const char *value;
    size_t value_size;
    int64_t revision;
    int64_t lease;
    bool removed;
    bool last;        /* of a series; carries the next two fields */
    bool store_lost;  /* the store does not answer the sender */
    int64_t complete; /* revision up to which the series is complete */
} AprItemFrame_t;

/* One decoded frame; texts point into the received bytes. */
typedef struct AprLinkFrame_t {
    AprLinkType_t type;
    uint32_t stream;
    char host[APR_NAME_SIZE];     /* HELLO (the sender), ASK, HEARD */
    char expected[APR_NAME_SIZE]; /* HELLO: whom the sender means */
    AprCallHead_t call;           /* CALL; times are spans left */
    AprAnswerHead_t answer;       /* ANSWER */
    const char *data;             /* DATA, CALL, ANSWER */
    size_t data_size;
    bool end;
    AprCallFailure_t failure; /* FAIL */
    size_t taken;             /* TAKEN */
    int64_t sequence; /* PING, PONG, FETCH, RENEW, RENEWED; CALL: sent at */
    int64_t result;   /* RENEWED: -1 if not renewed; HEARD: age, -1 if never */
    AprHostLoad_t load;                /* PING, PONG, ANSWER, FAIL */
    char service[APR_ROUTE_NAME_SIZE]; /* RELEASE */
    AprGrant_t grant;                  /* RELEASE */
    AprItemFrame_t item;
} AprLinkFrame_t;

void AprLinkFrame_Write(AprStream_t *stream, const AprLinkFrame_t *frame,
                        int64_t now_ms);
int AprLinkFrame_Read(msgpack_zone *zone, const char *bytes, size_t size,
                      AprLinkFrame_t *frame, int64_t now_ms);

#endif
