#ifndef APRICOT_INTERNAL_EXCHANGE_H
#define APRICOT_INTERNAL_EXCHANGE_H

#include "internal/gateway.h"
#include "internal/http_message.h"

#define APR_MAX_TRIES 4

typedef struct AprExchange_t AprExchange_t;

/* Connection of a caller; its requests wait for their answers in order. */
typedef struct AprCaller_t {
    AprEntry_t *entry;
    AprStream_t *stream;
    AprHttpParser_t *parser;
    AprExchange_t *first; /* its answer is the next to be sent */
    AprExchange_t *last;
    AprExchange_t *reading; /* its body is still coming */
    int count;
    bool parsing;
    bool paused;
    bool closed;
    int64_t idle_since_ms;
    int64_t heard_ms;
    struct AprCaller_t *next;
} AprCaller_t;

/* One request at the entry, from its head to the end of its answer. */
struct AprExchange_t {
    AprGateway_t *gateway;
    AprCaller_t *caller;
    AprCallHead_t head;
    int attempts; /* backend servers that it may reach */
    bool keyed;
    int reject_status; /* to be sent once the body was read */
    const char *reject_reason;
    int64_t limit_ms; /* point in time of its final answer */
    bool http_1_0;
    bool no_body; /* the answer has none, as for HEAD */
    bool keep_alive;
    AprBuffer_t body; /* kept for a repeat */
    uint64_t body_size;
    bool body_complete;
    bool body_dropped;   /* too large to be kept */
    size_t body_untaken; /* sent and not yet taken */
    bool submitted;
    bool may_have_run;
    int tries;
    AprCallFailure_t last_failure; /* of the last try */
    char tried[APR_MAX_TRIES][APR_NAME_SIZE];
    AprCallRef_t ref; /* of the present try */
    AprBuffer_t held; /* answer bytes behind an earlier request */
    size_t unpassed;  /* answer bytes not yet sent */
    bool answer_started;
    bool answer_chunked;
    bool answered_whole;
    bool close_after;
    int status;
    ev_timer timer; /* final answer */
    ev_timer again; /* next try */
    AprExchange_t *next;
};

AprExchange_t *AprExchange_New(AprGateway_t *gateway, AprCaller_t *caller,
                               const AprHttpHead_t *http);
void AprExchange_Free(AprExchange_t *exchange);
/* The caller left. */
void AprExchange_Abandon(AprExchange_t *exchange);
void AprExchange_Body(AprExchange_t *exchange, const char *data, size_t size);
void AprExchange_BodyEnd(AprExchange_t *exchange);
void AprExchange_Reject(AprExchange_t *exchange, int status,
                        const char *reason);
/* It is now the first of its connection. */
void AprExchange_FlushHeld(AprExchange_t *exchange);
void AprExchange_Drained(AprExchange_t *exchange);
void AprExchange_WriteError(AprStream_t *stream, int status);

/* Implemented by the entry. */
void AprEntry_Settle(AprCaller_t *caller);
void AprEntry_Break(AprCaller_t *caller);

#endif
