#ifndef APRICOT_BACKEND_CLIENT_H
#define APRICOT_BACKEND_CLIENT_H

#include <stdbool.h>
#include <stdint.h>

#include "apricot/clock.h"
#include "apricot/error.h"
#include "apricot/message.h"

/* HTTP calls to the backend servers of this host, run by one thread with a
   libcurl multi handle. */
typedef struct AprBackendClient_t AprBackendClient_t;

typedef struct AprBackendCall_t {
    uint64_t id;
    char address[APR_ADDRESS_SIZE]; /* IP:port */
    char service[APR_NAME_SIZE];
    char rank[APR_NAME_SIZE];
    AprMessage_t *request; /* type REQUEST; owned by the call */
    uint64_t grant_epoch;
    /* The request is not sent after this time. */
    struct timespec send_deadline;
    int64_t grant_expiry_ms; /* wall-clock time */
    int timeout_ms;          /* of the whole exchange */
} AprBackendCall_t;

typedef struct AprBackendResult_t {
    uint64_t id;
    AprOutcomeKind_t outcome; /* APR_ANSWERED, APR_NOT_RUN or APR_UNKNOWN */
    bool connection_refused;  /* no backend listens */
    int status;
    char *content_type; /* allocated with malloc */
    char *body;         /* allocated with malloc */
    size_t body_size;
    double service_ms; /* since the request was sent; 0: never sent */
    AprError_t error;
} AprBackendResult_t;

/* Called on the client's thread; the callee owns the result and frees it with
   AprBackendResult_Free(). */
typedef void (*AprBackendResultHandler_t)(void *context,
                                          AprBackendResult_t *result);

AprBackendClient_t *AprBackendClient_Start(const AprClock_t *clock,
                                           int max_connections,
                                           size_t max_body_bytes,
                                           AprBackendResultHandler_t done,
                                           void *context, AprError_t *error);
void AprBackendClient_Stop(AprBackendClient_t *client);
/* Queues the call and takes ownership of it. On failure, such as APR_E_FULL,
   the caller keeps the call. */
int AprBackendClient_Submit(AprBackendClient_t *client,
                            AprBackendCall_t *call);
void AprBackendClient_Cancel(AprBackendClient_t *client, uint64_t id);
void AprBackendCall_Free(AprBackendCall_t *call);
void AprBackendResult_Free(AprBackendResult_t *result);

#endif
