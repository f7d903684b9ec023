#include "standins/lib/store_private.h"

#include <inttypes.h>
#include <string.h>

/* Creates a 64-bit number as a string, because JSON parsers may keep only 53
   bits of a number. */
json_t *
AprStoreJson_NewInt64(int64_t value)
{
    return json_sprintf("%" PRId64, value);
}

/* Reads a 64-bit number written as a number or a string. Returns 0 if it is
   missing. */
int64_t
AprStoreJson_GetInt64(const json_t *object, const char *name)
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

/* Returns a field by its camel-case or snake-case name, since the API accepts
   both. The reference is borrowed. */
json_t *
AprStoreJson_GetEither(const json_t *object, const char *camel,
                       const char *snake)
{
    json_t *value = json_object_get(object, camel);

    return value != NULL ? value : json_object_get(object, snake);
}

/* Decodes a base64 key; the caller frees it with g_free. */
char *
AprStoreJson_DecodeKey(const json_t *encoded)
{
    const char *text = json_string_value(encoded);
    char *key = g_strdup(text == NULL ? "" : text);
    gsize size = 0;

    if (key[0] != '\0') {
        g_base64_decode_inplace(key, &size);
        key[size] = '\0';
    }
    return key;
}

/* Reads the key and the range end of a request. The range is released with
   AprStoreJson_ClearRange. */
AprKeyRange_t
AprStoreJson_GetRange(const json_t *request)
{
    const json_t *end =
        AprStoreJson_GetEither(request, "rangeEnd", "range_end");
    AprKeyRange_t range = {
        AprStoreJson_DecodeKey(json_object_get(request, "key")),
        end == NULL ? NULL : AprStoreJson_DecodeKey(end)};

    return range;
}

/* Frees the keys of a range. */
void
AprStoreJson_ClearRange(AprKeyRange_t *range)
{
    g_free(range->first);
    g_free(range->end);
}

/* Returns whether a key is in the range. */
bool
AprStoreJson_InRange(const AprKeyRange_t *range, const char *key)
{
    if (range->end == NULL) {
        return strcmp(key, range->first) == 0;
    }
    return strcmp(key, range->first) >= 0 &&
           (range->end[0] == '\0' || strcmp(key, range->end) < 0);
}

/* Encodes a key as base64. */
json_t *
AprStoreJson_EncodeKey(const char *key)
{
    char *encoded = g_base64_encode((const guchar *)key, strlen(key));
    json_t *value = json_string(encoded);

    g_free(encoded);
    return value;
}
