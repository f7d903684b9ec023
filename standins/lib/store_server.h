#ifndef APRICOT_STANDIN_STORE_SERVER_H
#define APRICOT_STANDIN_STORE_SERVER_H

#include <stdint.h>

/* Default number of changes that are kept for watches. */
#define APR_STANDIN_STORE_HISTORY 10000

/* HTTP server that stands in for the key-value store in tests. It implements
   the part of the etcd v3 JSON API that the project uses, and fails on
   request. */
typedef struct AprStoreServer_t AprStoreServer_t;

typedef enum AprStoreMode_t {
    APR_STORE_OK,
    APR_STORE_DOWN, /* calls get a 503 or a closed connection in turn */
    APR_STORE_SLOW, /* each call is delayed before it takes effect */
    APR_STORE_LOSE_RESPONSE /* writes take effect, their response is lost */
} AprStoreMode_t;

typedef struct AprStoreCounts_t {
    int64_t reads;
    int64_t writes;
    int64_t watches_started;
    int64_t watches_open;
    int64_t lease_calls;
    int64_t active_leases; /* not expired */
} AprStoreCounts_t;

/* `listen` is IP:port; port 0 picks a free one. Returns NULL on failure. */
AprStoreServer_t *AprStoreServer_Start(const char *listen, int history_limit);
void AprStoreServer_Stop(AprStoreServer_t *server);
/* Returns IP:port of the listener, valid until the server is stopped. */
const char *AprStoreServer_Address(const AprStoreServer_t *server);
/* `times`: number of writes that APR_STORE_LOSE_RESPONSE affects; 0: all. */
void AprStoreServer_SetMode(AprStoreServer_t *server, AprStoreMode_t mode,
                            int delay_ms, int times);
void AprStoreServer_GetCounts(AprStoreServer_t *server,
                              AprStoreCounts_t *counts);

#endif
