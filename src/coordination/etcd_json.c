#include "internal/etcd_json.h"

#include <glib.h>
#include <inttypes.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

static json_t *
encode_base64(const char *data, size_t size)
{
    char *text = g_base64_encode((const guchar *)data, size);
    json_t *value = json_string(text);

    g_free(text);
    return value;
}

static json_t *
encode_base64_text(const char *text)
{
    return encode_base64(text, strlen(text));
}

/* Encodes a 64-bit number as a string, as the API does, because JSON parsers
   may keep only 53 bits of a number. */
static json_t *
encode_int64(int64_t value)
{
    return json_sprintf("%" PRId64, value);
}

/* Encodes the end of the range of keys that start with the prefix: the prefix
   with its last byte incremented. Keys are ASCII, so no byte is 0xff. An empty
   prefix gives "\0", which means all keys. */
static json_t *
encode_prefix_end(const char *prefix)
{
    size_t size = strlen(prefix);
    char *end = g_strdup(prefix);
    json_t *value;

    if (size == 0) {
        g_free(end);
        return encode_base64("\0", 1);
    }
    end[size - 1]++;
    value = encode_base64(end, size);
    g_free(end);
    return value;
}

static void
set_key_range(json_t *object, const char *key, bool prefix)
{
    if (prefix && key[0] == '\0') {
        json_object_set_new(object, "key", encode_base64("\0", 1));
    }
    else {
        json_object_set_new(object, "key", encode_base64_text(key));
    }
    if (prefix) {
        json_object_set_new(object, "range_end", encode_prefix_end(key));
    }
}

static char *
serialize_and_free(json_t *object)
{
    char *text = json_dumps(object, JSON_COMPACT);

    json_decref(object);
    return text;
}

/* Builds a request that reads one key, or all keys with a prefix. */
char *
AprEtcdJson_RangeRequest(const char *key, bool prefix)
{
    json_t *object = json_object();

    set_key_range(object, key, prefix);
    return serialize_and_free(object);
}

static json_t *
encode_compare(const AprStoreCompare_t *compare)
{
    json_t *object = json_object();

    json_object_set_new(object, "key", encode_base64_text(compare->key));
    json_object_set_new(object, "target", json_string("MOD"));
    json_object_set_new(object, "result", json_string("EQUAL"));
    json_object_set_new(object, "mod_revision",
                        encode_int64(compare->revision));
    return object;
}

static json_t *
encode_put(const AprStorePut_t *put)
{
    json_t *object = json_object();
    json_t *operation = json_object();

    json_object_set_new(object, "key", encode_base64_text(put->key));
    json_object_set_new(object, "value", encode_base64(put->data, put->size));
    if (put->lease != 0) {
        json_object_set_new(object, "lease", encode_int64(put->lease));
    }
    json_object_set_new(operation, "requestPut", object);
    return operation;
}

/* Builds a request that writes all values if every compared key has the given
   modification revision. */
char *
AprEtcdJson_TxnRequest(const AprStoreCompare_t *compares, int compare_count,
                       const AprStorePut_t *puts, int put_count)
{
    json_t *object = json_object();
    json_t *compare = json_array();
    json_t *success = json_array();

    for (int i = 0; i < compare_count; i++) {
        json_array_append_new(compare, encode_compare(&compares[i]));
    }
    for (int i = 0; i < put_count; i++) {
        json_array_append_new(success, encode_put(&puts[i]));
    }
    json_object_set_new(object, "compare", compare);
    json_object_set_new(object, "success", success);
    return serialize_and_free(object);
}

/* Builds a request for a lease that lasts `ttl_s` seconds without renewal. */
char *
AprEtcdJson_GrantRequest(int ttl_s)
{
    json_t *object = json_object();

    json_object_set_new(object, "TTL", encode_int64(ttl_s));
    return serialize_and_free(object);
}

/* Builds a request that renews a lease. */
char *
AprEtcdJson_KeepAliveRequest(int64_t lease)
{
    json_t *object = json_object();

    json_object_set_new(object, "ID", encode_int64(lease));
    return serialize_and_free(object);
}

/* Builds a request that watches the keys with a prefix, from a revision on,
   inclusive. */
char *
AprEtcdJson_WatchRequest(const char *prefix, int64_t revision)
{
    json_t *object = json_object();
    json_t *create = json_object();

    set_key_range(create, prefix, true);
    json_object_set_new(create, "start_revision", encode_int64(revision));
    json_object_set_new(object, "create_request", create);
    return serialize_and_free(object);
}

/* Reads a 64-bit number that is written as a number or as a string. Returns 0
   for an absent field, because the API omits fields that are 0. */
static int64_t
get_int64(const json_t *object, const char *name)
{
    const json_t *value = json_object_get(object, name);

    if (json_is_integer(value)) {
        return json_integer_value(value);
    }
    if (json_is_string(value)) {
        return g_ascii_strtoll(json_string_value(value), NULL, 10);
    }
    return 0;
}

/* Decodes a base64 field into NUL-terminated text allocated with g_malloc. An
   absent field gives empty text. */
static char *
get_base64(const json_t *object, const char *name, size_t *size)
{
    const char *encoded = json_string_value(json_object_get(object, name));
    char *text = g_strdup(encoded == NULL ? "" : encoded);

    *size = 0;
    if (text[0] != '\0') {
        g_base64_decode_inplace(text, size);
        text[*size] = '\0';
    }
    return text;
}

static int
visit_key_value(const json_t *pair, bool deleted, AprStoreVisitor_t visit,
                void *context)
{
    AprStoreEvent_t event = {0};
    size_t key_size;
    char *key;
    char *data;

    if (!json_is_object(pair)) {
        return APR_E_PARSE;
    }
    key = get_base64(pair, "key", &key_size);
    data = get_base64(pair, "value", &event.size);
    event.key = key;
    event.data = deleted ? NULL : data;
    event.revision = get_int64(pair, "mod_revision");
    visit(context, &event);
    g_free(key);
    g_free(data);
    return APR_OK;
}

/* Visits the values of a range response and reads the store's revision. */
int
AprEtcdJson_ParseRange(const char *text, size_t size, AprStoreVisitor_t visit,
                       void *context, int64_t *revision)
{
    json_t *object = json_loadb(text, size, 0, NULL);
    const json_t *header = json_object_get(object, "header");
    const json_t *pairs = json_object_get(object, "kvs");
    int result = json_is_object(header) ? APR_OK : APR_E_PARSE;

    *revision = get_int64(header, "revision");
    for (size_t i = 0; i < json_array_size(pairs) && result == APR_OK; i++) {
        result =
            visit_key_value(json_array_get(pairs, i), false, visit, context);
    }
    json_decref(object);
    return result;
}

/* Reads whether the comparisons of a transaction held, and the store's
   revision after it. */
int
AprEtcdJson_ParseTxn(const char *text, size_t size, bool *succeeded,
                     int64_t *revision)
{
    json_t *object = json_loadb(text, size, 0, NULL);
    const json_t *header = json_object_get(object, "header");
    int result = json_is_object(header) ? APR_OK : APR_E_PARSE;

    *succeeded = json_is_true(json_object_get(object, "succeeded"));
    *revision = get_int64(header, "revision");
    json_decref(object);
    return result;
}

/* Reads the ID of a new lease. */
int
AprEtcdJson_ParseGrant(const char *text, size_t size, int64_t *lease)
{
    json_t *object = json_loadb(text, size, 0, NULL);

    *lease = get_int64(object, "ID");
    json_decref(object);
    return *lease == 0 ? APR_E_PARSE : APR_OK;
}

/* Reads the remaining time of a renewed lease in seconds, which is 0 when the
   lease no longer exists. */
int
AprEtcdJson_ParseKeepAlive(const char *text, size_t size, int64_t *ttl_s)
{
    json_t *object = json_loadb(text, size, 0, NULL);
    const json_t *answer = json_object_get(object, "result");
    int result = json_is_object(answer) ? APR_OK : APR_E_PARSE;

    *ttl_s = get_int64(answer, "TTL");
    json_decref(object);
    return result;
}

static int
visit_event(const json_t *event, AprStoreVisitor_t visit, void *context)
{
    const char *type = json_string_value(json_object_get(event, "type"));
    bool deleted = type != NULL && strcmp(type, "DELETE") == 0;

    return visit_key_value(json_object_get(event, "kv"), deleted, visit,
                           context);
}

/* Parses one message of a watch stream, updates `state` and visits the events
   of the message. */
int
AprEtcdJson_ParseWatch(const char *text, size_t size,
                       AprEtcdWatchState_t *state, AprStoreVisitor_t visit,
                       void *context)
{
    json_t *object = json_loadb(text, size, 0, NULL);
    const json_t *answer = json_object_get(object, "result");
    const json_t *events = json_object_get(answer, "events");
    int result = json_is_object(answer) ? APR_OK : APR_E_PARSE;

    state->created |= json_is_true(json_object_get(answer, "created"));
    state->canceled |= json_is_true(json_object_get(answer, "canceled"));
    state->compact_revision = get_int64(answer, "compact_revision");
    for (size_t i = 0; i < json_array_size(events) && result == APR_OK; i++) {
        result = visit_event(json_array_get(events, i), visit, context);
    }
    json_decref(object);
    return result;
}
