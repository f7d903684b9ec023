#include "standins/lib/store_private.h"

#include <glib.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

/* Limit of the platform's service. */
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

/* Creates an empty store at revision 1 that keeps the given number of changes
   for watches. */
AprStoreData_t *
AprStoreData_New(int history_limit)
{
    AprStoreData_t *data = calloc(1, sizeof(*data));

    data->revision = 1;
    data->oldest_revision = 1;
    data->next_lease = 7000;
    data->history_limit = history_limit;
    data->pairs = g_tree_new_full(compare_keys, NULL, g_free, free_pair);
    data->leases =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, free);
    g_queue_init(&data->history);
    return data;
}

/* Frees the store. */
void
AprStoreData_Free(AprStoreData_t *data)
{
    g_tree_destroy(data->pairs);
    g_hash_table_destroy(data->leases);
    g_queue_clear_full(&data->history, free_change);
    free(data);
}

static json_t *
pair_object(const char *key, const AprStorePair_t *pair)
{
    json_t *object = json_object();

    json_object_set_new(object, "key", AprStoreJson_EncodeKey(key));
    json_object_set_new(object, "create_revision",
                        AprStoreJson_Int64(pair->create_revision));
    json_object_set_new(object, "mod_revision",
                        AprStoreJson_Int64(pair->mod_revision));
    json_object_set_new(object, "version", AprStoreJson_Int64(pair->version));
    json_object_set_new(object, "value", json_string(pair->value));
    if (pair->lease != 0) {
        json_object_set_new(object, "lease", AprStoreJson_Int64(pair->lease));
    }
    return object;
}

/* The header of each answer. */
json_t *
AprStoreData_Header(const AprStoreData_t *data)
{
    json_t *header = json_object();

    json_object_set_new(header, "cluster_id", AprStoreJson_Int64(1));
    json_object_set_new(header, "member_id", AprStoreJson_Int64(1));
    json_object_set_new(header, "revision",
                        AprStoreJson_Int64(data->revision));
    json_object_set_new(header, "raft_term", AprStoreJson_Int64(1));
    return header;
}

/* An answer that has only its header. */
json_t *
AprStoreData_Answer(const AprStoreData_t *data)
{
    json_t *answer = json_object();

    json_object_set_new(answer, "header", AprStoreData_Header(data));
    return answer;
}

typedef struct Collect_t {
    AprKeyRange_t range;
    json_t *pairs;
    GPtrArray *keys;
} Collect_t;

static gboolean
collect_pair(void *key, void *value, void *context)
{
    Collect_t *collect = context;

    if (AprStoreJson_InRange(&collect->range, key)) {
        if (collect->pairs != NULL) {
            json_array_append_new(collect->pairs, pair_object(key, value));
        }
        if (collect->keys != NULL) {
            g_ptr_array_add(collect->keys, g_strdup(key));
        }
    }
    return FALSE;
}

/* Answers a range request. */
json_t *
AprStoreData_Range(AprStoreData_t *data, const json_t *request)
{
    Collect_t collect = {AprStoreJson_GetRange(request), json_array(), NULL};
    json_t *answer = AprStoreData_Answer(data);

    g_tree_foreach(data->pairs, collect_pair, &collect);
    if (json_array_size(collect.pairs) > 0) {
        json_object_set(answer, "kvs", collect.pairs);
        json_object_set_new(
            answer, "count",
            AprStoreJson_Int64(json_array_size(collect.pairs)));
    }
    json_decref(collect.pairs);
    AprStoreJson_ClearRange(&collect.range);
    return answer;
}

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

/* Stores a value at the current revision. */
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
    /* PUT is the default type, which the API omits. */
    json_object_set_new(event, "kv", pair_object(key, pair));
    append_change(data, key, event);
    g_tree_replace(data->pairs, g_strdup(key), pair);
    g_free(key);
}

/* Deletes a key at the current revision. */
void
AprStoreData_ApplyDelete(AprStoreData_t *data, const char *key)
{
    json_t *event = json_object();
    json_t *pair = json_object();

    json_object_set_new(pair, "key", AprStoreJson_EncodeKey(key));
    json_object_set_new(pair, "mod_revision",
                        AprStoreJson_Int64(data->revision));
    json_object_set_new(event, "type", json_string("DELETE"));
    json_object_set_new(event, "kv", pair);
    append_change(data, key, event);
    g_tree_remove(data->pairs, key);
}

static bool
valid_put(AprStoreData_t *data, const json_t *put)
{
    const char *value = json_string_value(json_object_get(put, "value"));
    int64_t lease = AprStoreJson_GetInt64(put, "lease");

    return json_is_string(json_object_get(put, "key")) &&
           (value == NULL || strlen(value) / 4 * 3 <= MAX_VALUE_BYTES + 2) &&
           (lease == 0 || g_hash_table_contains(data->leases, &lease));
}

/* Puts one value. */
json_t *
AprStoreData_Put(AprStoreData_t *data, const json_t *request)
{
    if (!valid_put(data, request)) {
        return NULL;
    }
    data->revision++;
    apply_put(data, request);
    return AprStoreData_Answer(data);
}

/* Deletes a range of keys in one revision. */
json_t *
AprStoreData_Delete(AprStoreData_t *data, const json_t *request)
{
    Collect_t collect = {AprStoreJson_GetRange(request), NULL,
                         g_ptr_array_new_with_free_func(g_free)};
    json_t *answer;

    g_tree_foreach(data->pairs, collect_pair, &collect);
    data->revision += collect.keys->len > 0 ? 1 : 0;
    for (guint i = 0; i < collect.keys->len; i++) {
        AprStoreData_ApplyDelete(data, g_ptr_array_index(collect.keys, i));
    }
    answer = AprStoreData_Answer(data);
    json_object_set_new(answer, "deleted",
                        AprStoreJson_Int64(collect.keys->len));
    g_ptr_array_free(collect.keys, TRUE);
    AprStoreJson_ClearRange(&collect.range);
    return answer;
}

static bool
compare_holds(AprStoreData_t *data, const json_t *compare)
{
    char *key = AprStoreJson_DecodeKey(json_object_get(compare, "key"));
    const AprStorePair_t *pair = g_tree_lookup(data->pairs, key);
    /* The field is present in one of the two spellings. */
    int64_t expected = AprStoreJson_GetInt64(compare, "mod_revision") +
                       AprStoreJson_GetInt64(compare, "modRevision");

    g_free(key);
    return (pair == NULL ? 0 : pair->mod_revision) == expected;
}

static bool
valid_compare(const json_t *compare)
{
    const char *target = json_string_value(json_object_get(compare, "target"));
    const char *result = json_string_value(json_object_get(compare, "result"));

    return target != NULL && strcmp(target, "MOD") == 0 &&
           (result == NULL || strcmp(result, "EQUAL") == 0);
}

static bool
valid_txn(AprStoreData_t *data, const json_t *compares,
          const json_t *operations)
{
    for (size_t i = 0; i < json_array_size(compares); i++) {
        if (!valid_compare(json_array_get(compares, i))) {
            return false;
        }
    }
    for (size_t i = 0; i < json_array_size(operations); i++) {
        const json_t *put = AprStoreJson_GetEither(
            json_array_get(operations, i), "requestPut", "request_put");

        if (put == NULL || !valid_put(data, put)) {
            return false;
        }
    }
    return true;
}

/* Runs a transaction of modification revision comparisons and puts; other
   operations are refused. */
json_t *
AprStoreData_Txn(AprStoreData_t *data, const json_t *request)
{
    const json_t *compares = json_object_get(request, "compare");
    const json_t *operations = json_object_get(request, "success");
    bool holds = true;
    json_t *answer;

    if (!valid_txn(data, compares, operations)) {
        return NULL;
    }
    for (size_t i = 0; i < json_array_size(compares); i++) {
        holds = holds && compare_holds(data, json_array_get(compares, i));
    }
    if (holds && json_array_size(operations) > 0) {
        data->revision++;
        for (size_t i = 0; i < json_array_size(operations); i++) {
            apply_put(data,
                      AprStoreJson_GetEither(json_array_get(operations, i),
                                             "requestPut", "request_put"));
        }
    }
    answer = AprStoreData_Answer(data);
    if (holds) {
        json_object_set_new(answer, "succeeded", json_true());
    }
    return answer;
}

/* Revision of the latest change. */
int64_t
AprStoreData_Revision(const AprStoreData_t *data)
{
    return data->revision;
}

/* Oldest revision from which a watch can start. */
int64_t
AprStoreData_OldestRevision(const AprStoreData_t *data)
{
    return data->oldest_revision;
}

/* Events from revision `from` on in the range of a watch request. */
json_t *
AprStoreData_Events(const AprStoreData_t *data, const json_t *watch,
                    int64_t from)
{
    AprKeyRange_t range = AprStoreJson_GetRange(watch);
    json_t *events = json_array();
    const GList *link = data->history.tail;

    /* Walks back to the first change at or after `from`, then forward. */
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
