#include "standins/lib/store_private.h"

#include <stdlib.h>

#define MS_PER_S 1000

/* Creates a lease. */
json_t *
AprStoreData_Grant(AprStoreData_t *data, const json_t *request, int64_t now_ms)
{
    AprStoreLease_t *lease = calloc(1, sizeof(*lease));
    int64_t *number = g_new(int64_t, 1);
    json_t *answer = AprStoreData_Answer(data);

    *number = data->next_lease++;
    lease->ttl_s = MAX(AprStoreJson_GetInt64(request, "TTL"), 1);
    lease->expires_at_ms = now_ms + lease->ttl_s * MS_PER_S;
    json_object_set_new(answer, "ID", AprStoreJson_Int64(*number));
    json_object_set_new(answer, "TTL", AprStoreJson_Int64(lease->ttl_s));
    g_hash_table_insert(data->leases, number, lease);
    return answer;
}

/* Renews a lease; the answer for an unknown lease has no TTL. */
json_t *
AprStoreData_KeepAlive(AprStoreData_t *data, const json_t *request,
                       int64_t now_ms)
{
    int64_t number = AprStoreJson_GetInt64(request, "ID");
    AprStoreLease_t *lease = g_hash_table_lookup(data->leases, &number);
    json_t *result = AprStoreData_Answer(data);
    json_t *answer = json_object();

    json_object_set_new(result, "ID", AprStoreJson_Int64(number));
    if (lease != NULL) {
        lease->expires_at_ms = now_ms + lease->ttl_s * MS_PER_S;
        json_object_set_new(result, "TTL", AprStoreJson_Int64(lease->ttl_s));
    }
    json_object_set_new(answer, "result", result);
    return answer;
}

typedef struct LeaseKeys_t {
    int64_t lease;
    GPtrArray *keys;
} LeaseKeys_t;

static gboolean
collect_leased(void *key, void *value, void *context)
{
    const AprStorePair_t *pair = value;
    LeaseKeys_t *leased = context;

    if (pair->lease == leased->lease) {
        g_ptr_array_add(leased->keys, g_strdup(key));
    }
    return FALSE;
}

static void
delete_leased(AprStoreData_t *data, int64_t lease)
{
    LeaseKeys_t leased = {lease, g_ptr_array_new_with_free_func(g_free)};

    g_tree_foreach(data->pairs, collect_leased, &leased);
    data->revision += leased.keys->len > 0 ? 1 : 0;
    for (guint i = 0; i < leased.keys->len; i++) {
        AprStoreData_ApplyDelete(data, g_ptr_array_index(leased.keys, i));
    }
    g_ptr_array_free(leased.keys, TRUE);
}

/* Deletes the keys of leases that have expired, one revision per lease. */
void
AprStoreData_Expire(AprStoreData_t *data, int64_t now_ms)
{
    GHashTableIter iterator;
    void *number;
    void *lease;

    g_hash_table_iter_init(&iterator, data->leases);
    while (g_hash_table_iter_next(&iterator, &number, &lease)) {
        if (((const AprStoreLease_t *)lease)->expires_at_ms <= now_ms) {
            delete_leased(data, *(const int64_t *)number);
            g_hash_table_iter_remove(&iterator);
        }
    }
}

/* Number of leases in force. */
int
AprStoreData_LeaseCount(const AprStoreData_t *data)
{
    return (int)g_hash_table_size(data->leases);
}
