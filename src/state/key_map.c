#include "apricot/key_map.h"

#include <glib.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "apricot/error.h"

#define LAST_KEY (APR_KEY_COUNT - 1)

/* More ranges than this are refused when a stored map is read. */
#define MAX_RANGES 16384

/* Whether two values name the same life of a backend server. */
bool
AprBackendLife_Equal(const AprBackendLife_t *left,
                     const AprBackendLife_t *right)
{
    return left->born_ms == right->born_ms && strcmp(left->id, right->id) == 0;
}

static int
reserve(AprKeyMap_t *map, int count)
{
    AprKeyRange_t *ranges;
    int capacity = map->capacity == 0 ? 16 : map->capacity;

    while (capacity < count) {
        capacity *= 2;
    }
    if (capacity == map->capacity) {
        return APR_OK;
    }
    ranges = realloc(map->ranges, (size_t)capacity * sizeof(*ranges));
    if (ranges == NULL) {
        return APR_E_NOMEM;
    }
    map->ranges = ranges;
    map->capacity = capacity;
    return APR_OK;
}

/* Starts with all keys in one range that nobody owns. */
int
AprKeyMap_Init(AprKeyMap_t *map)
{
    memset(map, 0, sizeof(*map));
    if (reserve(map, 1) != APR_OK) {
        return APR_E_NOMEM;
    }
    memset(map->ranges, 0, sizeof(*map->ranges));
    map->ranges[0].last = LAST_KEY;
    map->count = 1;
    return APR_OK;
}

/* Frees the ranges. */
void
AprKeyMap_Free(AprKeyMap_t *map)
{
    free(map->ranges);
    memset(map, 0, sizeof(*map));
}

/* Makes an independent copy. */
int
AprKeyMap_Copy(AprKeyMap_t *to, const AprKeyMap_t *from)
{
    memset(to, 0, sizeof(*to));
    if (reserve(to, from->count) != APR_OK) {
        return APR_E_NOMEM;
    }
    memcpy(to->ranges, from->ranges,
           (size_t)from->count * sizeof(*from->ranges));
    to->count = from->count;
    to->last_fence = from->last_fence;
    return APR_OK;
}

/* The range that holds a key. */
const AprKeyRange_t *
AprKeyMap_Find(const AprKeyMap_t *map, int key)
{
    int low = 0;
    int high = map->count - 1;

    while (low < high) {
        int middle = (low + high) / 2;

        if (map->ranges[middle].last < key) {
            low = middle + 1;
        }
        else {
            high = middle;
        }
    }
    return &map->ranges[low];
}

/* Splits ranges so that one begins at `first`; returns its index. */
static int
cut_before(AprKeyMap_t *map, int first)
{
    int index = (int)(AprKeyMap_Find(map, first) - map->ranges);
    AprKeyRange_t *range = &map->ranges[index];

    if (range->first == first) {
        return index;
    }
    memmove(range + 1, range,
            (size_t)(map->count - index) * sizeof(*map->ranges));
    map->count++;
    range[0].last = first - 1;
    range[1].first = first;
    return index + 1;
}

/* Gives keys `first` to `last` to an owner, or to nobody when `owner` is
   NULL, under a new fencing token. */
int
AprKeyMap_Assign(AprKeyMap_t *map, int first, int last,
                 const AprKeyOwner_t *owner, const char *releasing_host)
{
    AprKeyRange_t *range;
    int from;
    int to;

    if (first < 0 || last < first || last > LAST_KEY) {
        return APR_E_INVALID;
    }
    if (reserve(map, map->count + 2) != APR_OK) {
        return APR_E_NOMEM;
    }
    from = cut_before(map, first);
    to = last == LAST_KEY ? map->count : cut_before(map, last + 1);
    range = &map->ranges[from];
    memmove(range + 1, &map->ranges[to],
            (size_t)(map->count - to) * sizeof(*map->ranges));
    map->count -= to - from - 1;
    memset(range, 0, sizeof(*range));
    range->first = first;
    range->last = last;
    range->fence = ++map->last_fence;
    if (owner != NULL) {
        g_strlcpy(range->host, owner->host, sizeof(range->host));
        range->owner = owner->life;
    }
    if (releasing_host != NULL) {
        g_strlcpy(range->releasing_host, releasing_host,
                  sizeof(range->releasing_host));
    }
    return APR_OK;
}

/* Takes from a host the keys whose grant another map would change, so that a
   change whose outcome is open can do no harm. */
int
AprKeyMap_Withhold(AprKeyMap_t *map, const AprKeyMap_t *proposal,
                   const char *host)
{
    for (int i = 0; i < proposal->count; i++) {
        const AprKeyRange_t *proposed = &proposal->ranges[i];
        int key = proposed->first;

        while (key <= proposed->last) {
            const AprKeyRange_t *range = AprKeyMap_Find(map, key);
            int last =
                range->last < proposed->last ? range->last : proposed->last;

            if (strcmp(range->host, host) == 0 &&
                range->fence != proposed->fence &&
                AprKeyMap_Assign(map, key, last, NULL, NULL) != APR_OK) {
                return APR_E_NOMEM;
            }
            key = last + 1;
        }
    }
    return APR_OK;
}

static bool
is_same_grant(const AprKeyRange_t *left, const AprKeyRange_t *right)
{
    return left->fence == right->fence &&
           strcmp(left->host, right->host) == 0 &&
           strcmp(left->releasing_host, right->releasing_host) == 0 &&
           AprBackendLife_Equal(&left->owner, &right->owner);
}

/* Joins neighbours that belong to the same grant. */
void
AprKeyMap_Merge(AprKeyMap_t *map)
{
    int kept = 0;

    for (int i = 1; i < map->count; i++) {
        if (is_same_grant(&map->ranges[kept], &map->ranges[i])) {
            map->ranges[kept].last = map->ranges[i].last;
        }
        else {
            map->ranges[++kept] = map->ranges[i];
        }
    }
    map->count = kept + 1;
}

/* Number of keys that a host's backend server owns. */
int
AprKeyMap_CountOf(const AprKeyMap_t *map, const char *host)
{
    int count = 0;

    for (int i = 0; i < map->count; i++) {
        if (strcmp(map->ranges[i].host, host) == 0) {
            count += map->ranges[i].last - map->ranges[i].first + 1;
        }
    }
    return count;
}

/* Owners and releasing hosts stand once each in the stored form, since every
   change of the map goes to every host. */
typedef struct NameTable_t {
    json_t *list; /* [host, id, birth] */
} NameTable_t;

static int
name_index(const NameTable_t *table, const char *host,
           const AprBackendLife_t *life)
{
    size_t count = json_array_size(table->list);

    for (size_t i = 0; i < count; i++) {
        const json_t *row = json_array_get(table->list, i);

        if (strcmp(json_string_value(json_array_get(row, 0)), host) == 0 &&
            strcmp(json_string_value(json_array_get(row, 1)), life->id) == 0 &&
            json_integer_value(json_array_get(row, 2)) == life->born_ms) {
            return (int)i;
        }
    }
    json_array_append_new(table->list, json_pack("[s,s,I]", host, life->id,
                                                 (json_int_t)life->born_ms));
    return (int)count;
}

static int
read_name(const json_t *names, int index, char *host, AprBackendLife_t *life)
{
    const char *host_text;
    const char *id;
    json_int_t born;

    if (index < 0 || json_unpack(json_array_get(names, (size_t)index),
                                 "[s,s,I]", &host_text, &id, &born) != 0) {
        return APR_E_PARSE;
    }
    g_strlcpy(host, host_text, APR_NAME_SIZE);
    g_strlcpy(life->id, id, sizeof(life->id));
    life->born_ms = born;
    return APR_OK;
}

/* A row has the last key, the owner, the fencing token and, if there is one,
   the host that must release the keys. */
static int
parse_range(const json_t *names, json_t *row, int first, AprKeyRange_t *range)
{
    AprBackendLife_t unused;
    json_int_t fence;
    int releasing = -1;
    int owner;

    memset(range, 0, sizeof(*range));
    if (json_unpack(row, "[i,i,I,i]", &range->last, &owner, &fence,
                    &releasing) != 0 ||
        range->last < first || range->last > LAST_KEY || fence < 0 ||
        read_name(names, owner, range->host, &range->owner) != APR_OK ||
        (releasing >= 0 && read_name(names, releasing, range->releasing_host,
                                     &unused) != APR_OK)) {
        return APR_E_PARSE;
    }
    range->first = first;
    range->fence = fence;
    return APR_OK;
}

/* Reads a stored map. Returns APR_E_PARSE, and an empty map, when it is
   malformed or leaves keys out. */
int
AprKeyMap_Parse(AprKeyMap_t *map, const char *text, size_t size)
{
    json_t *root = json_loadb(text, size, 0, NULL);
    json_t *names = json_object_get(root, "owners");
    json_t *rows = json_object_get(root, "ranges");
    size_t count = json_array_size(rows);
    int next = 0;
    int result = APR_E_PARSE;

    memset(map, 0, sizeof(*map));
    if (count == 0 || count > MAX_RANGES ||
        !json_is_integer(json_object_get(root, "last_fence"))) {
        goto done;
    }
    if (reserve(map, (int)count) != APR_OK) {
        result = APR_E_NOMEM;
        goto done;
    }
    map->last_fence = json_integer_value(json_object_get(root, "last_fence"));
    for (size_t i = 0; i < count; i++) {
        AprKeyRange_t *range = &map->ranges[i];

        if (parse_range(names, json_array_get(rows, i), next, range) !=
            APR_OK) {
            goto done;
        }
        next = range->last + 1;
    }
    map->count = (int)count;
    result = next == APR_KEY_COUNT ? APR_OK : APR_E_PARSE;
done:
    json_decref(root);
    if (result != APR_OK) {
        AprKeyMap_Free(map);
    }
    return result;
}

/* The stored form, allocated with malloc; NULL when memory runs out. */
char *
AprKeyMap_Text(const AprKeyMap_t *map)
{
    static const AprBackendLife_t no_life;
    NameTable_t names = {json_array()};
    json_t *rows = json_array();
    json_t *root =
        json_pack("{s:I,s:o,s:o}", "last_fence", (json_int_t)map->last_fence,
                  "owners", names.list, "ranges", rows);
    char *text;

    for (int i = 0; i < map->count; i++) {
        const AprKeyRange_t *range = &map->ranges[i];
        int releasing =
            range->releasing_host[0] == '\0'
                ? -1
                : name_index(&names, range->releasing_host, &no_life);

        json_array_append_new(
            rows, json_pack("[i,i,I,i]", range->last,
                            name_index(&names, range->host, &range->owner),
                            (json_int_t)range->fence, releasing));
    }
    text = json_dumps(root, JSON_COMPACT);
    json_decref(root);
    return text;
}
