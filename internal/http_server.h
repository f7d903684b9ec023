#ifndef APRICOT_INTERNAL_HTTP_SERVER_H
#define APRICOT_INTERNAL_HTTP_SERVER_H

#include <stddef.h>

#include "apricot/metrics.h"
#include "internal/stream.h"

/* A small HTTP server on the event loop for requests with short bodies. A
   handler may reply after it has returned. */
typedef struct AprHttpServer_t AprHttpServer_t;
/* A connection with its current request. */
typedef struct AprHttpCall_t AprHttpCall_t;

/* Handles a request. The handler or a later event must call
   AprHttpCall_Reply() exactly once. The strings belong to the call. */
typedef void (*AprHttpRequestHandler_t)(void *context, AprHttpCall_t *call,
                                        const char *method, const char *path,
                                        const char *body, size_t size);

AprHttpServer_t *AprHttpServer_New(AprStreamSet_t *streams,
                                   const char *address,
                                   AprHttpRequestHandler_t handler,
                                   void *context);
void AprHttpServer_CountPauses(AprHttpServer_t *server, AprMetric_t *metric);
void AprHttpServer_Free(AprHttpServer_t *server);
void AprHttpCall_Reply(AprHttpCall_t *call, int status, const char *type,
                       const char *body, size_t size);

#endif
