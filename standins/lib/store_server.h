#ifndef APRICOT_STANDIN_STORE_SERVER_H
#define APRICOT_STANDIN_STORE_SERVER_H

#include <stdint.h>

#define APR_STANDIN_STORE_HISTORY 10000

/* HTTP server of the stand-in store. */
typedef struct AprStoreServer_t AprStoreServer_t;

typedef enum AprStoreMode_t {
    APR_STORE_OK,
    APR_STORE_DOWN,         /* calls get 503 or a cut connection in turn */
    APR_STORE_SLOW,         /* each call waits before it takes effect */
    APR_STORE_LOSE_RESPONSE /* a write takes effect, then its answer is lost */
} AprStoreMode_t;

typedef struct AprStoreCounts_t {
    int64_t reads;
    int64_t writes;
    int64_t watches_started; /* begun */
    int64_t watches_open;
    int64_t lease_calls;
    int64_t active_leases; /* in force */
} AprStoreCounts_t;

/* `listen` is IP:port; port 0 picks a free one. NULL on failure. */
AprStoreServer_t *AprStoreServer_Start(const char *listen, int history_limit);
void AprStoreServer_Stop(AprStoreServer_t *server);
/* IP:port of the listener. */
const char *AprStoreServer_Address(const AprStoreServer_t *server);
/* `times`: number of writes that the mode lose-answer affects; 0: all. */
void AprStoreServer_SetMode(AprStoreServer_t *server, AprStoreMode_t mode,
                            int delay_ms, int times);
void AprStoreServer_Counts(AprStoreServer_t *server, AprStoreCounts_t *counts);

#endif
