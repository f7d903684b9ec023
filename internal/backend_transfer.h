#ifndef APRICOT_INTERNAL_BACKEND_TRANSFER_H
#define APRICOT_INTERNAL_BACKEND_TRANSFER_H

#include <curl/curl.h>
#include <glib.h>

#include "apricot/backend_client.h"

/* One HTTP exchange with a backend server; used by the backend thread only. */
typedef struct AprBackendTransfer_t {
    AprBackendCall_t *call;
    const AprClock_t *clock;
    size_t max_body_bytes;
    CURL *curl;
    struct curl_slist *headers;
    GString *body;
    struct timespec deadline; /* of the whole exchange */
    struct timespec started_at;
    bool started; /* a byte of the request may have been sent */
    bool too_large;
} AprBackendTransfer_t;

AprBackendTransfer_t *AprBackendTransfer_New(AprBackendCall_t *call,
                                             const AprClock_t *clock,
                                             size_t max_body_bytes);
void AprBackendTransfer_Free(AprBackendTransfer_t *transfer);
/* Time at which the transfer has to be given up in its present state. */
struct timespec AprBackendTransfer_Limit(const AprBackendTransfer_t *transfer);
AprBackendResult_t *
AprBackendTransfer_Finish(const AprBackendTransfer_t *transfer, CURLcode code);
AprBackendResult_t *
AprBackendTransfer_GiveUp(const AprBackendTransfer_t *transfer, int code,
                          const char *reason);
/* Result of a call that was not started. */
AprBackendResult_t *AprBackendResult_NotRun(const AprBackendCall_t *call,
                                            int code, const char *reason);

#endif
