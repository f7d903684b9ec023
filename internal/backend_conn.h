#ifndef APRICOT_INTERNAL_BACKEND_CONN_H
#define APRICOT_INTERNAL_BACKEND_CONN_H

#include <glib.h>

#include "apricot/admission.h"
#include "apricot/server_load.h"
#include "internal/call.h"
#include "internal/gateway.h"
#include "internal/http_message.h"
#include "internal/stream.h"

typedef struct AprBackendCall_t AprBackendCall_t;
typedef struct AprBackendConn_t AprBackendConn_t;

/* How a call on a connection, or an idle connection, ended. */
typedef enum AprConnOutcome_t {
    APR_CONN_REUSABLE, /* complete response; the connection stays open */
    APR_CONN_CLOSED,   /* complete response or idle; connection closed */
    APR_CONN_NOT_RUN,  /* the backend server did not execute the request */
    APR_CONN_REFUSED,  /* connect failed with ECONNREFUSED */
    APR_CONN_CONNECT_FAILED, /* connect failed for another reason */
    APR_CONN_BROKEN,         /* closed before the whole response */
    APR_CONN_MALFORMED       /* the response is not valid HTTP */
} AprConnOutcome_t;

/* What a backend server tells about itself in each response. */
typedef struct AprBackendNotice_t {
    double request_limit; /* requests a second, or APR_NO_REQUEST_LIMIT */
    bool leaving;         /* it is shutting down */
    AprServerLoad_t load;
    bool load_invalid; /* it reports a load that cannot be meant */
} AprBackendNotice_t;

/* A request for the local backend server, queued or running. */
struct AprBackendCall_t {
    AprBackend_t *backend;
    gint64 id;
    AprCallHead_t head;
    AprBuffer_t body; /* request body that arrived before the call was sent */
    bool body_complete;
    bool body_buffered; /* `body` holds the whole body, for a resend */
    bool resent;        /* sent a second time after a kept connection broke */
    bool detached;      /* the caller is gone; the response is discarded */
    bool key_slow;      /* its key was slow when it left the queue */
    int64_t submitted_ms;
    int64_t started_ms;     /* when it left the queue */
    AprBackendConn_t *conn; /* NULL while queued */
    AprCallHandlers_t handlers;
    void *context; /* of `handlers` */
};

/* A connection to the local backend server. It carries one call at a time. */
struct AprBackendConn_t {
    AprBackend_t *backend;
    AprGateway_t *gateway;
    AprStream_t *stream;
    AprHttpParser_t *parser;
    AprBackendCall_t *call;
    AprBackendIncarnation_t incarnation; /* that the call was sent to */
    bool reused;                         /* completed an earlier call */
    bool response_started;               /* the response head arrived */
    bool discard_response;               /* 1xx, or for another request */
    bool response_complete;              /* the whole response arrived */
    bool response_has_length;    /* the response head tells its length */
    bool not_run;                /* the request was not executed */
    bool request_sent;           /* the whole request body was written */
    bool request_chunked;        /* the request body uses chunked encoding */
    bool keep_alive;             /* the connection can carry another request */
    bool parsing;                /* a parser callback is on the stack */
    bool free_after_parse;       /* freed when the parser returns */
    size_t discarded_bytes;      /* of responses to other requests */
    size_t undelivered_bytes;    /* response bytes not yet acknowledged */
    size_t unwritten_body_bytes; /* request body bytes not yet in the kernel */
    int64_t idle_since_ms;
    int64_t idle_limit_ms; /* idle time after which it is closed */
    AprBackendConn_t *next;
};

AprBackendConn_t *AprBackendConn_Open(AprBackend_t *backend,
                                      AprGateway_t *gateway);
void AprBackendConn_Free(AprBackendConn_t *conn);
void AprBackendConn_SendRequest(AprBackendConn_t *conn, AprBackendCall_t *call,
                                const AprBackendIncarnation_t *incarnation,
                                int64_t now_ms);
void AprBackendConn_WriteBody(AprBackendConn_t *conn, const char *data,
                              size_t size, bool end);
void AprBackendConn_OnDetached(AprBackendConn_t *conn);
void AprBackendConn_AcknowledgeResponse(AprBackendConn_t *conn, size_t size);
int64_t AprBackendConn_ResponseLimitMs(const AprBackendConn_t *conn);
bool AprBackendConn_IsIdle(const AprBackendConn_t *conn, int64_t now_ms);
bool AprBackendConn_IsExpired(const AprBackendConn_t *conn, int64_t now_ms);

void AprBackendNotice_ReadLoad(AprBackendNotice_t *notice,
                               const AprHeaderNames_t *names,
                               const AprHttpHead_t *head);

/* Implemented beside backend.c; AprBackend_OnConnDone() may free `conn`. */
void AprBackend_OnConnDone(AprBackendConn_t *conn, AprConnOutcome_t outcome);
void AprBackend_SendOnConn(AprBackendCall_t *call);
void AprBackend_RecordOutcome(AprBackend_t *backend, const AprCallHead_t *head,
                              bool answered);
void AprBackend_RecordResponse(AprBackend_t *backend,
                               const AprBackendIncarnation_t *sender,
                               const AprBackendNotice_t *notice);
void AprBackend_RecordProbedLoad(AprBackend_t *backend,
                                 const AprBackendIncarnation_t *sender,
                                 const AprBackendNotice_t *notice,
                                 int64_t sent_ms);

#endif
