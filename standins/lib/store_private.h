#ifndef APRICOT_STANDIN_STORE_PRIVATE_H
#define APRICOT_STANDIN_STORE_PRIVATE_H

#include <glib.h>

#include "standins/lib/store_data.h"

typedef struct AprStorePair_t {
    char *value; /* base64, as it came */
    int64_t create_revision;
    int64_t mod_revision;
    int64_t version;
    int64_t lease;
} AprStorePair_t;

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
    int64_t next_lease;
    int64_t oldest_revision;
    int history_limit;
    GTree *pairs;       /* key -> AprStorePair_t */
    GHashTable *leases; /* number -> AprStoreLease_t */
    GQueue history;     /* AprStoreChange_t, oldest first */
};

typedef struct AprKeyRange_t {
    char *first;
    char *end; /* NULL: only `first`; empty: no upper bound */
} AprKeyRange_t;

/* JSON fields as the API writes them. */
json_t *AprStoreJson_Int64(int64_t value);
int64_t AprStoreJson_GetInt64(const json_t *object, const char *name);
json_t *AprStoreJson_GetEither(const json_t *object, const char *camel,
                               const char *snake);
char *AprStoreJson_DecodeKey(const json_t *encoded);
json_t *AprStoreJson_EncodeKey(const char *key);
AprKeyRange_t AprStoreJson_GetRange(const json_t *request);
void AprStoreJson_ClearRange(AprKeyRange_t *range);
bool AprStoreJson_InRange(const AprKeyRange_t *range, const char *key);

json_t *AprStoreData_Answer(const AprStoreData_t *data);
void AprStoreData_ApplyDelete(AprStoreData_t *data, const char *key);

#endif
