#ifndef APRICOT_INTERNAL_HTTP_SERVICE_H
#define APRICOT_INTERNAL_HTTP_SERVICE_H

#include <stddef.h>

#include "internal/stream.h"

/* A small HTTP server on the event loop for calls with short bodies, whose
   answers may come later. */
typedef struct AprHttpService_t AprHttpService_t;
typedef struct AprHttpCall_t AprHttpCall_t;

/* Must lead to one AprHttpCall_Reply, now or later. */
typedef void (*AprHttpServe_t)(void *context, AprHttpCall_t *call,
                               const char *method, const char *path,
                               const char *body, size_t size);

AprHttpService_t *AprHttpService_New(AprStreamSet_t *streams,
                                     const char *address, AprHttpServe_t serve,
                                     void *context);
void AprHttpService_Free(AprHttpService_t *service);
void AprHttpCall_Reply(AprHttpCall_t *call, int status, const char *type,
                       const char *body, size_t size);

#endif
