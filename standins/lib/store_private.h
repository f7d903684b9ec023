#ifndef APRICOT_STANDIN_STORE_PRIVATE_H
#define APRICOT_STANDIN_STORE_PRIVATE_H

#include <glib.h>

#include "standins/lib/store_data.h"

/* Value and metadata of a key. */
typedef struct AprStorePair_t {
    char *value; /* base64, as received */
    int64_t create_revision;
    int64_t mod_revision;
    int64_t version; /* puts since the key was created */
    int64_t lease;   /* lease ID, 0: none */
} AprStorePair_t;

/* An entry of the history. */
typedef struct AprStoreChange_t {
    char *key;
    json_t *event;
    int64_t revision;
} AprStoreChange_t;

typedef struct AprStoreLease_t {
    int64_t ttl_s;
    int64_t expires_at_ms;
} AprStoreLease_t;

struct AprStoreData_t {
    int64_t revision;
    int64_t next_lease_id;
    int64_t oldest_revision;
    int history_limit;
    GTree *pairs;       /* key -> AprStorePair_t */
    GHashTable *leases; /* lease ID -> AprStoreLease_t */
    GQueue history;     /* AprStoreChange_t, oldest first */
};

typedef struct AprKeyRange_t {
    char *first;
    char *end; /* exclusive; NULL: only `first`; empty: no upper bound */
} AprKeyRange_t;

/* Encoding and decoding of JSON fields of the etcd v3 API. */
json_t *AprStoreJson_NewInt64(int64_t value);
int64_t AprStoreJson_GetInt64(const json_t *object, const char *name);
json_t *AprStoreJson_GetEither(const json_t *object, const char *camel,
                               const char *snake);
char *AprStoreJson_DecodeKey(const json_t *encoded);
json_t *AprStoreJson_EncodeKey(const char *key);
AprKeyRange_t AprStoreJson_GetRange(const json_t *request);
void AprStoreJson_ClearRange(AprKeyRange_t *range);
bool AprStoreJson_InRange(const AprKeyRange_t *range, const char *key);

json_t *AprStoreData_NewResponse(const AprStoreData_t *data);
void AprStoreData_ApplyDelete(AprStoreData_t *data, const char *key);

#endif
