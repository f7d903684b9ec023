#ifndef APRICOT_INTERNAL_EXCHANGE_H
#define APRICOT_INTERNAL_EXCHANGE_H

#include "internal/gateway.h"
#include "internal/http_message.h"

#define APR_MAX_ATTEMPTS 4

typedef struct AprExchange_t AprExchange_t;

/* Connection of a caller. Responses are sent in the order of the requests. */
typedef struct AprCallerConn_t {
    AprIngress_t *ingress;
    AprStream_t *stream;
    AprHttpParser_t *parser;
    AprExchange_t *first_exchange; /* its response is sent next */
    AprExchange_t *last_exchange;
    AprExchange_t *reading_exchange; /* receives its body; NULL: none */
    int exchange_count;
    bool used; /* a request was read */
    bool
        parsing; /* a parser callback or a start of requests is on the stack */
    bool read_paused;
    bool closed; /* freed when the parser returns */
    /* Status of the response after those to all requests, with which the
       connection closes; what arrives later is discarded. 0: none. */
    int final_status;
    int64_t idle_since_ms;
    int64_t last_read_ms;
    int64_t head_since_ms;        /* start of an incomplete head; 0: none */
    uint64_t consumed_body_bytes; /* request body bytes that were passed on */
    AprMemoryHolder_t holder;
    struct AprCallerConn_t *next;
    struct AprCallerConn_t *next_closed;
} AprCallerConn_t;

/* One request of a caller, from its head to the end of its response. */
struct AprExchange_t {
    AprGateway_t *gateway;
    AprCallerConn_t *caller;
    AprCallHead_t head;
    int max_backend_attempts; /* backend servers it may be sent to */
    bool keyed;               /* the service assigns keys to owners */
    int reject_status; /* sent after the body was read; 0: not rejected */
    const char *reject_reason;
    int64_t reject_retry_after_ms; /* 0: no Retry-After */
    int64_t received_ms;           /* arrival of this attempt */
    bool http_1_0;
    bool omit_response_body; /* set for HEAD requests */
    bool keep_alive;
    AprBuffer_t body; /* buffered for a retry */
    uint64_t body_size;
    bool body_complete;
    bool body_not_buffered;       /* too large for a retry; streamed */
    size_t unconsumed_body_bytes; /* sent and not yet acknowledged */
    bool submitted;               /* the first attempt started */
    bool waiting_to_start; /* until the caller has taken earlier responses */
    bool counts_as_pipelined; /* in AprMemoryBudget_t.pipelined_in_flight */
    size_t head_bytes;        /* of `head`, here and in its call */
    bool may_have_run;        /* an attempt failed with unknown outcome */
    int attempt_count;
    int64_t attempt_started_ms;    /* the last one */
    AprCallFailure_t last_failure; /* of the last attempt */
    char tried_hosts[APR_MAX_ATTEMPTS][APR_NAME_SIZE];
    AprCallRef_t call_ref; /* current attempt */
    /* Until earlier responses are sent, and while response_held. */
    AprBuffer_t buffered_response;
    bool response_held;  /* see hold_response() */
    bool response_sent;  /* a part of it was passed to the caller */
    size_t unsent_bytes; /* response body bytes not yet sent */
    bool response_started;
    bool response_chunked;
    bool response_complete;
    bool close_after;
    int status;
    ev_timer deadline_timer;
    ev_timer retry_timer; /* delays the next attempt */
    ev_timer hold_timer;  /* ends response_held */
    /* Since when the owner of the key is expected to change; 0: not. */
    int64_t owner_change_since_ms;
    AprExchange_t *next;
};

AprExchange_t *AprExchange_New(AprGateway_t *gateway, AprCallerConn_t *caller,
                               const AprHttpHead_t *http);
void AprExchange_Free(AprExchange_t *exchange);
void AprExchange_Abandon(AprExchange_t *exchange, const char *reason);
void AprExchange_AddBody(AprExchange_t *exchange, const char *data,
                         size_t size);
void AprExchange_EndBody(AprExchange_t *exchange);
void AprExchange_Start(AprExchange_t *exchange);
void AprExchange_TimeOut(AprExchange_t *exchange);
void AprExchange_Reject(AprExchange_t *exchange, int status,
                        const char *reason);
void AprExchange_FlushBuffered(AprExchange_t *exchange);
void AprExchange_OnDrained(AprExchange_t *exchange);
void AprExchange_WriteError(AprStream_t *stream, int status);

/* Implemented in ingress.c and caller_conn.c. */
bool AprEntry_MayStart(const AprExchange_t *exchange);
size_t AprEntry_HeldBytes(const AprCallerConn_t *caller);
double AprIngress_FindLargest(AprIngress_t *ingress, int64_t now_ms,
                              AprCallerConn_t **found);
void AprIngress_Drop(AprCallerConn_t *caller);

/* Implemented in caller_conn.c. These may free the connection. */
void AprEntry_UpdateReading(AprCallerConn_t *caller);
void AprEntry_OnExchangeDone(AprCallerConn_t *caller);
void AprEntry_AbortConn(AprCallerConn_t *caller);

#endif
