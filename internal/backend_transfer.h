#ifndef APRICOT_INTERNAL_BACKEND_TRANSFER_H
#define APRICOT_INTERNAL_BACKEND_TRANSFER_H

#include <curl/curl.h>
#include <glib.h>

#include "apricot/backend_client.h"

/* One HTTP exchange with a backend server; used by the thread of the backend
   client only. */
typedef struct AprBackendTransfer_t {
    AprBackendCall_t *call;
    const AprClock_t *clock;
    size_t max_body_bytes;
    CURL *curl;
    struct curl_slist *headers;
    GString *body;
    struct timespec deadline; /* of the whole exchange */
    struct timespec send_started_at;
    bool send_started; /* a byte of the request may have been sent */
    bool body_too_large;
    size_t head_bytes; /* of all response heads */
    bool head_too_large;
    bool request_id_seen;  /* the response names its request */
    bool foreign_response; /* it names another one */
} AprBackendTransfer_t;

AprBackendTransfer_t *AprBackendTransfer_New(AprBackendCall_t *call,
                                             const AprClock_t *clock,
                                             size_t max_body_bytes);
void AprBackendTransfer_Free(AprBackendTransfer_t *transfer);
struct timespec
AprBackendTransfer_ExpiresAt(const AprBackendTransfer_t *transfer);
AprBackendResult_t *
AprBackendTransfer_NewResult(const AprBackendTransfer_t *transfer,
                             CURLcode code);
AprBackendResult_t *
AprBackendTransfer_NewAbortedResult(const AprBackendTransfer_t *transfer,
                                    int code, const char *reason);
AprBackendResult_t *AprBackendResult_NewNotRun(const AprBackendCall_t *call,
                                               int code, const char *reason);

#endif
