#include "standins/lib/store_private.h"

#include <glib.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

/* Value size limit of the platform's key-value store. */
#define MAX_VALUE_BYTES (1u << 20)

static int
compare_keys(const void *left, const void *right, void *context)
{
    (void)context;
    return strcmp(left, right);
}

static void
free_pair(void *item)
{
    AprStorePair_t *pair = item;

    free(pair->value);
    free(pair);
}

static void
free_change(void *item)
{
    AprStoreChange_t *change = item;

    g_free(change->key);
    json_decref(change->event);
    free(change);
}

/* Creates an empty store at revision 1 that keeps the last `history_limit`
   changes for watches. */
AprStoreData_t *
AprStoreData_New(int history_limit)
{
    AprStoreData_t *data = calloc(1, sizeof(*data));

    data->revision = 1;
    data->oldest_revision = 1;
    data->next_lease_id = 7000;
    data->history_limit = history_limit;
    data->pairs = g_tree_new_full(compare_keys, NULL, g_free, free_pair);
    data->leases =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, free);
    g_queue_init(&data->history);
    return data;
}

void
AprStoreData_Free(AprStoreData_t *data)
{
    g_tree_destroy(data->pairs);
    g_hash_table_destroy(data->leases);
    g_queue_clear_full(&data->history, free_change);
    free(data);
}

static json_t *
new_pair_object(const char *key, const AprStorePair_t *pair)
{
    json_t *object = json_object();

    json_object_set_new(object, "key", AprStoreJson_EncodeKey(key));
    json_object_set_new(object, "create_revision",
                        AprStoreJson_NewInt64(pair->create_revision));
    json_object_set_new(object, "mod_revision",
                        AprStoreJson_NewInt64(pair->mod_revision));
    json_object_set_new(object, "version",
                        AprStoreJson_NewInt64(pair->version));
    json_object_set_new(object, "value", json_string(pair->value));
    if (pair->lease != 0) {
        json_object_set_new(object, "lease",
                            AprStoreJson_NewInt64(pair->lease));
    }
    return object;
}

/* Creates the header that each response has. */
json_t *
AprStoreData_NewHeader(const AprStoreData_t *data)
{
    json_t *header = json_object();

    json_object_set_new(header, "cluster_id", AprStoreJson_NewInt64(1));
    json_object_set_new(header, "member_id", AprStoreJson_NewInt64(1));
    json_object_set_new(header, "revision",
                        AprStoreJson_NewInt64(data->revision));
    json_object_set_new(header, "raft_term", AprStoreJson_NewInt64(1));
    return header;
}

/* Creates a response that has only a header. */
json_t *
AprStoreData_NewResponse(const AprStoreData_t *data)
{
    json_t *response = json_object();

    json_object_set_new(response, "header", AprStoreData_NewHeader(data));
    return response;
}

/* Collects the keys in a range, as JSON objects, as names, or both. */
typedef struct Collector_t {
    AprKeyRange_t range;
    json_t *pairs;   /* array, or NULL */
    GPtrArray *keys; /* copies, or NULL */
} Collector_t;

static gboolean
collect_pair(void *key, void *value, void *context)
{
    Collector_t *collector = context;

    if (AprStoreJson_InRange(&collector->range, key)) {
        if (collector->pairs != NULL) {
            json_array_append_new(collector->pairs,
                                  new_pair_object(key, value));
        }
        if (collector->keys != NULL) {
            g_ptr_array_add(collector->keys, g_strdup(key));
        }
    }
    return FALSE;
}

/* Runs a range request. */
json_t *
AprStoreData_Range(AprStoreData_t *data, const json_t *request)
{
    Collector_t collector = {AprStoreJson_GetRange(request), json_array(),
                             NULL};
    json_t *response = AprStoreData_NewResponse(data);

    g_tree_foreach(data->pairs, collect_pair, &collector);
    if (json_array_size(collector.pairs) > 0) {
        json_object_set(response, "kvs", collector.pairs);
        json_object_set_new(
            response, "count",
            AprStoreJson_NewInt64(json_array_size(collector.pairs)));
    }
    json_decref(collector.pairs);
    AprStoreJson_ClearRange(&collector.range);
    return response;
}

/* Appends a change at the current revision to the history, which drops the
   oldest changes above its limit. Takes ownership of `event`. */
static void
append_change(AprStoreData_t *data, const char *key, json_t *event)
{
    AprStoreChange_t *change = calloc(1, sizeof(*change));

    change->key = g_strdup(key);
    change->event = event;
    change->revision = data->revision;
    g_queue_push_tail(&data->history, change);
    while (g_queue_get_length(&data->history) > (guint)data->history_limit) {
        AprStoreChange_t *oldest = g_queue_pop_head(&data->history);

        data->oldest_revision = oldest->revision + 1;
        free_change(oldest);
    }
}

/* Sets a key at the current revision and appends the event. */
static void
apply_put(AprStoreData_t *data, const json_t *put)
{
    char *key = AprStoreJson_DecodeKey(json_object_get(put, "key"));
    const char *value = json_string_value(json_object_get(put, "value"));
    const AprStorePair_t *old = g_tree_lookup(data->pairs, key);
    AprStorePair_t *pair = calloc(1, sizeof(*pair));
    json_t *event = json_object();

    pair->value = strdup(value == NULL ? "" : value);
    pair->create_revision =
        old == NULL ? data->revision : old->create_revision;
    pair->mod_revision = data->revision;
    pair->version = old == NULL ? 1 : old->version + 1;
    pair->lease = AprStoreJson_GetInt64(put, "lease");
    /* The API omits the event type PUT, because it is the default. */
    json_object_set_new(event, "kv", new_pair_object(key, pair));
    append_change(data, key, event);
    g_tree_replace(data->pairs, g_strdup(key), pair);
    g_free(key);
}

/* Deletes a key at the current revision and appends the event. */
void
AprStoreData_ApplyDelete(AprStoreData_t *data, const char *key)
{
    json_t *event = json_object();
    json_t *pair = json_object();

    json_object_set_new(pair, "key", AprStoreJson_EncodeKey(key));
    json_object_set_new(pair, "mod_revision",
                        AprStoreJson_NewInt64(data->revision));
    json_object_set_new(event, "type", json_string("DELETE"));
    json_object_set_new(event, "kv", pair);
    append_change(data, key, event);
    g_tree_remove(data->pairs, key);
}

static bool
is_valid_put(AprStoreData_t *data, const json_t *put)
{
    const char *value = json_string_value(json_object_get(put, "value"));
    int64_t lease = AprStoreJson_GetInt64(put, "lease");

    return json_is_string(json_object_get(put, "key")) &&
           (value == NULL || strlen(value) / 4 * 3 <= MAX_VALUE_BYTES + 2) &&
           (lease == 0 || g_hash_table_contains(data->leases, &lease));
}

/* Sets one key in a new revision. Returns NULL for an invalid request. */
json_t *
AprStoreData_Put(AprStoreData_t *data, const json_t *request)
{
    if (!is_valid_put(data, request)) {
        return NULL;
    }
    data->revision++;
    apply_put(data, request);
    return AprStoreData_NewResponse(data);
}

/* Deletes a range of keys; all of them in one new revision. */
json_t *
AprStoreData_Delete(AprStoreData_t *data, const json_t *request)
{
    Collector_t collector = {AprStoreJson_GetRange(request), NULL,
                             g_ptr_array_new_with_free_func(g_free)};
    json_t *response;

    g_tree_foreach(data->pairs, collect_pair, &collector);
    data->revision += collector.keys->len > 0 ? 1 : 0;
    for (guint i = 0; i < collector.keys->len; i++) {
        AprStoreData_ApplyDelete(data, g_ptr_array_index(collector.keys, i));
    }
    response = AprStoreData_NewResponse(data);
    json_object_set_new(response, "deleted",
                        AprStoreJson_NewInt64(collector.keys->len));
    g_ptr_array_free(collector.keys, TRUE);
    AprStoreJson_ClearRange(&collector.range);
    return response;
}

static bool
compare_matches(AprStoreData_t *data, const json_t *compare)
{
    char *key = AprStoreJson_DecodeKey(json_object_get(compare, "key"));
    const AprStorePair_t *pair = g_tree_lookup(data->pairs, key);
    /* At most one spelling of the field is present; the other one reads as
       0. */
    int64_t expected = AprStoreJson_GetInt64(compare, "mod_revision") +
                       AprStoreJson_GetInt64(compare, "modRevision");

    g_free(key);
    return (pair == NULL ? 0 : pair->mod_revision) == expected;
}

static bool
is_valid_compare(const json_t *compare)
{
    const char *target = json_string_value(json_object_get(compare, "target"));
    const char *result = json_string_value(json_object_get(compare, "result"));

    return target != NULL && strcmp(target, "MOD") == 0 &&
           (result == NULL || strcmp(result, "EQUAL") == 0);
}

static bool
is_valid_txn(AprStoreData_t *data, const json_t *compares,
             const json_t *operations)
{
    for (size_t i = 0; i < json_array_size(compares); i++) {
        if (!is_valid_compare(json_array_get(compares, i))) {
            return false;
        }
    }
    for (size_t i = 0; i < json_array_size(operations); i++) {
        const json_t *put = AprStoreJson_GetEither(
            json_array_get(operations, i), "requestPut", "request_put");

        if (put == NULL || !is_valid_put(data, put)) {
            return false;
        }
    }
    return true;
}

/* Runs a transaction of comparisons of modification revisions and puts.
   Returns NULL for an invalid request or one with other operations. */
json_t *
AprStoreData_Txn(AprStoreData_t *data, const json_t *request)
{
    const json_t *compares = json_object_get(request, "compare");
    const json_t *operations = json_object_get(request, "success");
    bool matches = true;
    json_t *response;

    if (!is_valid_txn(data, compares, operations)) {
        return NULL;
    }
    for (size_t i = 0; i < json_array_size(compares); i++) {
        matches =
            matches && compare_matches(data, json_array_get(compares, i));
    }
    if (matches && json_array_size(operations) > 0) {
        data->revision++;
        for (size_t i = 0; i < json_array_size(operations); i++) {
            apply_put(data,
                      AprStoreJson_GetEither(json_array_get(operations, i),
                                             "requestPut", "request_put"));
        }
    }
    response = AprStoreData_NewResponse(data);
    if (matches) {
        json_object_set_new(response, "succeeded", json_true());
    }
    return response;
}

/* Returns the revision of the latest change. */
int64_t
AprStoreData_Revision(const AprStoreData_t *data)
{
    return data->revision;
}

/* Returns the oldest revision from which a watch can start. */
int64_t
AprStoreData_OldestRevision(const AprStoreData_t *data)
{
    return data->oldest_revision;
}

/* Returns the events from revision `from` on in the range of a watch request,
   as a JSON array that the caller releases. */
json_t *
AprStoreData_ListEvents(const AprStoreData_t *data, const json_t *watch,
                        int64_t from)
{
    AprKeyRange_t range = AprStoreJson_GetRange(watch);
    json_t *events = json_array();
    const GList *link = data->history.tail;

    /* Walks back to the first change at or after `from`, then forwards. */
    while (link != NULL && link->prev != NULL &&
           ((const AprStoreChange_t *)link->prev->data)->revision >= from) {
        link = link->prev;
    }
    for (; link != NULL; link = link->next) {
        const AprStoreChange_t *change = link->data;

        if (change->revision >= from &&
            AprStoreJson_InRange(&range, change->key)) {
            json_array_append(events, change->event);
        }
    }
    AprStoreJson_ClearRange(&range);
    return events;
}
