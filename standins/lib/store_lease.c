#include "standins/lib/store_private.h"

#include <stdlib.h>

#define MS_PER_S 1000

/* Creates a lease with the requested TTL in seconds, at least 1. */
json_t *
AprStoreData_GrantLease(AprStoreData_t *data, const json_t *request,
                        int64_t now_ms)
{
    AprStoreLease_t *lease = calloc(1, sizeof(*lease));
    int64_t *lease_id = g_new(int64_t, 1);
    json_t *response = AprStoreData_NewResponse(data);

    *lease_id = data->next_lease_id++;
    lease->ttl_s = MAX(AprStoreJson_GetInt64(request, "TTL"), 1);
    lease->expires_at_ms = now_ms + lease->ttl_s * MS_PER_S;
    json_object_set_new(response, "ID", AprStoreJson_NewInt64(*lease_id));
    json_object_set_new(response, "TTL", AprStoreJson_NewInt64(lease->ttl_s));
    g_hash_table_insert(data->leases, lease_id, lease);
    return response;
}

/* Renews a lease; the response for an unknown lease has no TTL. */
json_t *
AprStoreData_KeepLeaseAlive(AprStoreData_t *data, const json_t *request,
                            int64_t now_ms)
{
    int64_t lease_id = AprStoreJson_GetInt64(request, "ID");
    AprStoreLease_t *lease = g_hash_table_lookup(data->leases, &lease_id);
    json_t *result = AprStoreData_NewResponse(data);
    json_t *response = json_object();

    json_object_set_new(result, "ID", AprStoreJson_NewInt64(lease_id));
    if (lease != NULL) {
        lease->expires_at_ms = now_ms + lease->ttl_s * MS_PER_S;
        json_object_set_new(result, "TTL",
                            AprStoreJson_NewInt64(lease->ttl_s));
    }
    json_object_set_new(response, "result", result);
    return response;
}

typedef struct LeasedKeys_t {
    int64_t lease;
    GPtrArray *keys;
} LeasedKeys_t;

static gboolean
collect_leased_key(void *key, void *value, void *context)
{
    const AprStorePair_t *pair = value;
    LeasedKeys_t *leased = context;

    if (pair->lease == leased->lease) {
        g_ptr_array_add(leased->keys, g_strdup(key));
    }
    return FALSE;
}

static void
delete_leased_keys(AprStoreData_t *data, int64_t lease)
{
    LeasedKeys_t leased = {lease, g_ptr_array_new_with_free_func(g_free)};

    g_tree_foreach(data->pairs, collect_leased_key, &leased);
    data->revision += leased.keys->len > 0 ? 1 : 0;
    for (guint i = 0; i < leased.keys->len; i++) {
        AprStoreData_ApplyDelete(data, g_ptr_array_index(leased.keys, i));
    }
    g_ptr_array_free(leased.keys, TRUE);
}

/* Removes expired leases and deletes their keys, one revision per lease. */
void
AprStoreData_ExpireLeases(AprStoreData_t *data, int64_t now_ms)
{
    GHashTableIter iterator;
    void *lease_id;
    void *lease;

    g_hash_table_iter_init(&iterator, data->leases);
    while (g_hash_table_iter_next(&iterator, &lease_id, &lease)) {
        if (((const AprStoreLease_t *)lease)->expires_at_ms <= now_ms) {
            delete_leased_keys(data, *(const int64_t *)lease_id);
            g_hash_table_iter_remove(&iterator);
        }
    }
}

/* Returns the number of leases that were not removed as expired. */
int
AprStoreData_CountLeases(const AprStoreData_t *data)
{
    return (int)g_hash_table_size(data->leases);
}
