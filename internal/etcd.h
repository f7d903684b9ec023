#ifndef APRICOT_INTERNAL_ETCD_H
#define APRICOT_INTERNAL_ETCD_H

#include <curl/curl.h>
#include <glib.h>
#include <pthread.h>
#include <stdatomic.h>

#include "apricot/store.h"

#define APR_ETCD_MAX_ENDPOINTS 8
#define APR_ETCD_URL_SIZE 256
#define APR_ETCD_IDLE_HANDLES 8

/* One etcd client; its context pointer in AprStore_t. */
typedef struct AprEtcd_t {
    int endpoint_count;
    char endpoints[APR_ETCD_MAX_ENDPOINTS][APR_ETCD_URL_SIZE];
    int timeout_ms;
    atomic_int preferred; /* endpoint that answered last */
    pthread_mutex_t mutex;
    int idle_count; /* guarded by mutex */
    CURL *idle[APR_ETCD_IDLE_HANDLES];
    struct curl_slist *headers;
} AprEtcd_t;

/* Result of one HTTP exchange with one endpoint. */
typedef struct AprEtcdReply_t {
    CURLcode result;
    long status;
    bool sent; /* any byte of the request may have reached the store */
    GString *body;
    const char *endpoint;
} AprEtcdReply_t;

CURL *AprEtcd_TakeHandle(AprEtcd_t *etcd);
void AprEtcd_ReturnHandle(AprEtcd_t *etcd, CURL *curl);
void AprEtcd_Prepare(AprEtcd_t *etcd, CURL *curl, const char *endpoint,
                     const char *path, const char *request);
int AprEtcd_Watch(void *context, const char *prefix, int64_t revision,
                  AprStoreVisitor_t visit, void *visit_context,
                  AprStoreStop_t stop, void *stop_context, AprError_t *error);

#endif
