#ifndef APRICOT_INTERNAL_ETCD_H
#define APRICOT_INTERNAL_ETCD_H

#include <curl/curl.h>
#include <glib.h>
#include <pthread.h>
#include <stdatomic.h>

#include "apricot/store.h"

#define APR_ETCD_MAX_ENDPOINTS 8
#define APR_ETCD_URL_SIZE 256
#define APR_ETCD_MAX_IDLE_HANDLES 8

/* An etcd client; the context of its AprStore_t. */
typedef struct AprEtcd_t {
    int endpoint_count;
    char endpoints[APR_ETCD_MAX_ENDPOINTS][APR_ETCD_URL_SIZE];
    int timeout_ms;
    atomic_int preferred_endpoint; /* index of the endpoint to try first */
    pthread_mutex_t mutex;
    int idle_handle_count; /* guarded by mutex */
    CURL *idle_handles[APR_ETCD_MAX_IDLE_HANDLES];
    struct curl_slist *headers;
} AprEtcd_t;

/* Result of one HTTP request to one endpoint. */
typedef struct AprEtcdReply_t {
    CURLcode result;
    long status;     /* HTTP status, 0 when there was no response */
    bool maybe_sent; /* part of the request may have reached the store */
    GString *body;
    const char *endpoint;
} AprEtcdReply_t;

CURL *AprEtcd_AcquireHandle(AprEtcd_t *etcd);
void AprEtcd_ReleaseHandle(AprEtcd_t *etcd, CURL *curl);
void AprEtcd_SetRequestOptions(AprEtcd_t *etcd, CURL *curl,
                               const char *endpoint, const char *path,
                               const char *request);
int AprEtcd_Watch(void *context, const char *prefix, int64_t revision,
                  AprStoreVisitor_t visit, void *visit_context,
                  AprStoreShouldStop_t stop, void *stop_context,
                  AprError_t *error);

#endif
