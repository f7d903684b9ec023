#ifndef APRICOT_STORE_H
#define APRICOT_STORE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "apricot/error.h"

#define APR_STORE_KEY_SIZE 256
#define APR_STORE_MAX_OPERATIONS 8

/* A value of the store. `data` is allocated with malloc and NUL terminated;
   `revision` is the modification revision, 0 when the key does not exist. */
typedef struct AprStoreValue_t {
    char key[APR_STORE_KEY_SIZE];
    char *data;
    size_t size;
    int64_t revision;
} AprStoreValue_t;

/* Condition of a swap: the key must have this modification revision. */
typedef struct AprStoreCompare_t {
    const char *key;
    int64_t revision; /* 0: the key must not exist */
} AprStoreCompare_t;

typedef struct AprStorePut_t {
    const char *key;
    const char *data;
    size_t size;
    int64_t lease; /* 0: none */
} AprStorePut_t;

/* A key found by a listing, or a change reported by a watch. */
typedef struct AprStoreEvent_t {
    const char *key;
    const char *data; /* NULL: the key was deleted */
    size_t size;
    int64_t revision;
} AprStoreEvent_t;

/* Called once per key or change. The event is valid during the call only. */
typedef void (*AprStoreVisitor_t)(void *context, const AprStoreEvent_t *event);
/* Polled by a watch; returning true ends the watch. */
typedef bool (*AprStoreShouldStop_t)(void *context);

/* The key-value service of the platform. All calls block. Each returns APR_OK,
   APR_E_UNAVAILABLE (no effect), APR_E_UNKNOWN_OUTCOME (may have taken effect)
   or APR_E_CONFLICT (a comparison failed). Thread-safe. */
typedef struct AprStore_t {
    int (*get)(void *context, const char *key, AprStoreValue_t *value,
               AprError_t *error);
    /* Visits every key with the prefix; *revision is the store's revision. */
    int (*list)(void *context, const char *prefix, AprStoreVisitor_t visit,
                void *visit_context, int64_t *revision, AprError_t *error);
    /* Writes all values if all comparisons hold. *revision is the revision of
       the new values. */
    int (*swap)(void *context, const AprStoreCompare_t *compares,
                int compare_count, const AprStorePut_t *puts, int put_count,
                int64_t *revision, AprError_t *error);
    /* Requests a lease that expires `ttl_s` seconds after its last renewal. */
    int (*grant_lease)(void *context, int ttl_s, int64_t *lease,
                       AprError_t *error);
    /* Returns APR_E_NOT_FOUND when the lease has expired. */
    int (*renew_lease)(void *context, int64_t lease, AprError_t *error);
    /* Reports changes of keys with the prefix from `revision` on until `stop`
       returns true or the connection is lost. In the latter case returns
       APR_E_CLOSED, and the caller lists the keys again. */
    int (*watch)(void *context, const char *prefix, int64_t revision,
                 AprStoreVisitor_t visit, void *visit_context,
                 AprStoreShouldStop_t stop, void *stop_context,
                 AprError_t *error);
    void (*free)(void *context);
    void *context;
} AprStore_t;

void AprStoreValue_Clear(AprStoreValue_t *value);

/* Adapter for the etcd v3 JSON/HTTP API. */
int AprEtcd_Open(const char *const *endpoints, int endpoint_count,
                 int timeout_ms, AprStore_t *store, AprError_t *error);
void AprStore_Close(AprStore_t *store);

#endif
