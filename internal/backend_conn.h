#ifndef APRICOT_INTERNAL_BACKEND_CONN_H
#define APRICOT_INTERNAL_BACKEND_CONN_H

#include <glib.h>

#include "internal/call.h"
#include "internal/gateway.h"
#include "internal/http_message.h"
#include "internal/stream.h"

typedef struct AprBackendCall_t AprBackendCall_t;
typedef struct AprBackendConn_t AprBackendConn_t;

/* How a connection's work on a call ended. */
typedef enum AprConnOutcome_t {
    APR_CONN_REUSABLE, /* answered; the connection can be used again */
    APR_CONN_ENDED,    /* answered; the connection is closed */
    APR_CONN_SHED,     /* the backend server says that it did not run */
    APR_CONN_REFUSED,  /* nothing listens at its address */
    APR_CONN_UNOPENED, /* no connection could be established otherwise */
    APR_CONN_BROKEN,   /* ended before the whole answer */
    APR_CONN_BAD       /* sent bytes that are no answer */
} AprConnOutcome_t;

/* A request for the local backend server, waiting or running. */
struct AprBackendCall_t {
    AprBackend_t *backend;
    gint64 id;
    AprCallHead_t head;
    AprBuffer_t body; /* kept until the call is sent, or whole if small */
    bool body_complete;
    bool body_kept; /* the whole body is in `body` */
    bool resent;
    bool detached; /* nobody waits for the answer */
    int64_t submitted_ms;
    int64_t started_ms;
    AprBackendConn_t *conn; /* NULL while it waits */
    AprCallSink_t sink;
    void *context;
};

/* A connection to the local backend server; it carries one call at a time. */
struct AprBackendConn_t {
    AprBackend_t *backend;
    AprGateway_t *gateway;
    AprStream_t *stream;
    AprHttpParser_t *parser;
    AprBackendCall_t *call;
    bool reused;       /* carried a call before */
    bool answered;     /* the head of the answer arrived */
    bool swallow;      /* the present answer belongs to another request */
    bool complete;     /* the answer is complete */
    bool shed;         /* the answer says that the request did not run */
    bool request_sent; /* the whole body was written */
    bool chunked;      /* the body is sent in chunks */
    bool keep;         /* the backend server keeps the connection */
    bool parsing;
    bool dead;       /* freed after the present parse */
    size_t unpassed; /* bytes of the answer not yet passed on */
    size_t untaken;  /* bytes of the body not yet written */
    int64_t idle_since_ms;
    int64_t idle_limit_ms;
    AprBackendConn_t *next;
};

AprBackendConn_t *AprBackendConn_Open(AprBackend_t *backend,
                                      AprGateway_t *gateway);
void AprBackendConn_Free(AprBackendConn_t *conn);
void AprBackendConn_Send(AprBackendConn_t *conn, AprBackendCall_t *call,
                         const char *expected_id, int64_t now_ms);
void AprBackendConn_Body(AprBackendConn_t *conn, const char *data, size_t size,
                         bool end);
void AprBackendConn_Taken(AprBackendConn_t *conn, size_t size);
bool AprBackendConn_IsIdle(const AprBackendConn_t *conn, int64_t now_ms);
bool AprBackendConn_IsExpired(const AprBackendConn_t *conn, int64_t now_ms);

/* Implemented by the backend; may free the connection. */
void AprBackend_ConnDone(AprBackendConn_t *conn, AprConnOutcome_t outcome);
void AprBackend_Dispatch(AprBackendCall_t *call);
void AprBackend_NoteAnswer(AprBackend_t *backend);

#endif
