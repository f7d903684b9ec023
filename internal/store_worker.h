#ifndef APRICOT_INTERNAL_STORE_WORKER_H
#define APRICOT_INTERNAL_STORE_WORKER_H

#include <stdbool.h>
#include <stdint.h>

#include "apricot/ring.h"
#include "apricot/settings.h"
#include "apricot/store.h"

typedef enum AprStoreJobType_t {
    APR_JOB_READ_RECORD,
    APR_JOB_SWAP_RECORD,
    APR_JOB_READ_CONFIG
} AprStoreJobType_t;

/* Published configuration of one service, as JSON. */
typedef struct AprServiceConfigText_t {
    char *data;
    size_t size;
} AprServiceConfigText_t;

/* Result of one store call. The receiver owns it and frees it with
   AprStoreResult_Free(). */
typedef struct AprStoreResult_t {
    AprStoreJobType_t type;
    int code;
    char *data; /* of READ_RECORD: JSON; NULL when there is no record */
    size_t size;
    int64_t revision;
    int config_count;
    AprServiceConfigText_t *configs; /* of READ_CONFIG */
    AprError_t error;
} AprStoreResult_t;

/* A change that a watch reported, of the record or of one service. The
   receiver owns it and frees it with AprWatchEvent_Free(). */
typedef struct AprWatchEvent_t {
    bool is_record;
    char *data;
    size_t size;
    int64_t revision;
} AprWatchEvent_t;

/* Threads that make the blocking calls to the store: one for reads and swaps,
   one that watches the record and one that watches the configuration. */
typedef struct AprStoreWorker_t AprStoreWorker_t;

AprStoreWorker_t *AprStoreWorker_Start(const AprSettings_t *settings,
                                       AprRing_t *inbox, AprError_t *error);
void AprStoreWorker_Stop(AprStoreWorker_t *worker);
int AprStoreWorker_ReadRecord(AprStoreWorker_t *worker);
int AprStoreWorker_ReadConfig(AprStoreWorker_t *worker);
/* Takes ownership of `text`, also on failure. */
int AprStoreWorker_SwapRecord(AprStoreWorker_t *worker, char *text,
                              int64_t revision);
/* Turns both watches on or off. */
void AprStoreWorker_SetWatchEnabled(AprStoreWorker_t *worker, bool enabled);
bool AprStoreWorker_IsWatching(const AprStoreWorker_t *worker);
void AprStoreResult_Free(AprStoreResult_t *result);
void AprWatchEvent_Free(AprWatchEvent_t *event);

#endif
