#include "apricot/key_map.h"

#include <glib.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "apricot/error.h"
#include "apricot/grant_table.h"

#define LAST_KEY (APR_KEY_COUNT - 1)

/* Highest fencing token of a stored range. Grants multiply it by
   APR_GENERATIONS_PER_FENCE; half of the range is left for later changes. */
#define MAX_STORED_FENCE (INT64_MAX / 2 / APR_GENERATIONS_PER_FENCE)

/* Fencing tokens that the assignments of one era of the store may take before
   they reach those of the next one. */
#define FENCES_PER_ERA ((int64_t)1 << 22)

/* Whether two values identify the same incarnation of a backend server. */
bool
AprBackendIncarnation_Equal(const AprBackendIncarnation_t *left,
                            const AprBackendIncarnation_t *right)
{
    return left->started_ms == right->started_ms &&
           strcmp(left->id, right->id) == 0;
}

static int
reserve_ranges(AprKeyMap_t *map, int count)
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

/* Initializes a map with a single range of all keys, which has no owner.
   Returns APR_E_NOMEM when memory runs out. */
int
AprKeyMap_Init(AprKeyMap_t *map)
{
    memset(map, 0, sizeof(*map));
    if (reserve_ranges(map, 1) != APR_OK) {
        return APR_E_NOMEM;
    }
    memset(map->ranges, 0, sizeof(*map->ranges));
    map->ranges[0].last = LAST_KEY;
    map->count = 1;
    return APR_OK;
}

/* Frees the ranges and leaves an empty map. */
void
AprKeyMap_Free(AprKeyMap_t *map)
{
    free(map->ranges);
    memset(map, 0, sizeof(*map));
}

/* Initializes `to` as a deep copy of `from`. Ranges that `to` already has are
   not freed. Returns APR_E_NOMEM when memory runs out. */
int
AprKeyMap_Copy(AprKeyMap_t *to, const AprKeyMap_t *from)
{
    memset(to, 0, sizeof(*to));
    if (reserve_ranges(to, from->count) != APR_OK) {
        return APR_E_NOMEM;
    }
    memcpy(to->ranges, from->ranges,
           (size_t)from->count * sizeof(*from->ranges));
    to->count = from->count;
    to->last_fence = from->last_fence;
    return APR_OK;
}

/* Returns the range that contains a key from 0 to APR_KEY_COUNT - 1. The
   pointer is valid until the next change of the map. */
const AprKeyRange_t *
AprKeyMap_FindRange(const AprKeyMap_t *map, int key)
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

/* Splits a range, if necessary, so that one begins at `first`, and returns the
   index of that one. The caller has reserved room for one more range. */
static int
split_before(AprKeyMap_t *map, int first)
{
    int index = (int)(AprKeyMap_FindRange(map, first) - map->ranges);
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

/* Assigns keys `first` to `last` to a host, or to nobody when `host` is NULL,
   under a new fencing token. `releasing_host` names the host that has to
   release the keys first; NULL stands for none. Returns APR_E_INVALID for an
   invalid range of keys and APR_E_NOMEM when memory runs out. */
int
AprKeyMap_Assign(AprKeyMap_t *map, int first, int last, const char *host,
                 const char *releasing_host)
{
    AprKeyRange_t *range;
    int from;
    int to;

    if (first < 0 || last < first || last > LAST_KEY) {
        return APR_E_INVALID;
    }
    if (reserve_ranges(map, map->count + 2) != APR_OK) {
        return APR_E_NOMEM;
    }
    from = split_before(map, first);
    to = last == LAST_KEY ? map->count : split_before(map, last + 1);
    range = &map->ranges[from];
    memmove(range + 1, &map->ranges[to],
            (size_t)(map->count - to) * sizeof(*map->ranges));
    map->count -= to - from - 1;
    memset(range, 0, sizeof(*range));
    range->first = first;
    range->last = last;
    range->fence = ++map->last_fence;
    if (host != NULL) {
        g_strlcpy(range->host, host, sizeof(range->host));
    }
    if (releasing_host != NULL) {
        g_strlcpy(range->releasing_host, releasing_host,
                  sizeof(range->releasing_host));
    }
    return APR_OK;
}

/* Removes the owner of those keys of a host that the proposal gives to another
   one. While the outcome of the proposed change is unknown, the host must
   not serve these keys, since they may belong to another host. Returns
   APR_E_NOMEM when memory runs out. */
int
AprKeyMap_UnassignChangedKeys(AprKeyMap_t *map, const AprKeyMap_t *proposal,
                              const char *host)
{
    for (int i = 0; i < proposal->count; i++) {
        const AprKeyRange_t *proposed = &proposal->ranges[i];
        int key = proposed->first;

        while (key <= proposed->last) {
            const AprKeyRange_t *range = AprKeyMap_FindRange(map, key);
            int last =
                range->last < proposed->last ? range->last : proposed->last;

            if (strcmp(range->host, host) == 0 &&
                range->fence != proposed->fence &&
                strcmp(proposed->host, host) != 0 &&
                AprKeyMap_Assign(map, key, last, NULL, NULL) != APR_OK) {
                return APR_E_NOMEM;
            }
            key = last + 1;
        }
    }
    return APR_OK;
}

static bool
is_same_assignment(const AprKeyRange_t *left, const AprKeyRange_t *right)
{
    return left->fence == right->fence &&
           strcmp(left->host, right->host) == 0 &&
           strcmp(left->releasing_host, right->releasing_host) == 0;
}

/* Merges adjacent ranges with the same owner, fencing token and releasing
   host. */
void
AprKeyMap_MergeRanges(AprKeyMap_t *map)
{
    int kept = 0;

    for (int i = 1; i < map->count; i++) {
        if (is_same_assignment(&map->ranges[kept], &map->ranges[i])) {
            map->ranges[kept].last = map->ranges[i].last;
        }
        else {
            map->ranges[++kept] = map->ranges[i];
        }
    }
    map->count = kept + 1;
}

/* Assigns keys as another map does: the same owner, fencing token and
   releasing host. Returns APR_E_NOMEM when memory runs out. */
static int
copy_assignment(AprKeyMap_t *map, int first, int last,
                const AprKeyRange_t *assignment)
{
    int64_t last_fence = MAX(map->last_fence, assignment->fence);
    AprKeyRange_t copy = *assignment;
    int result = AprKeyMap_Assign(map, first, last, NULL, NULL);

    if (result == APR_OK) {
        copy.first = first;
        copy.last = last;
        map->ranges[AprKeyMap_FindRange(map, first) - map->ranges] = copy;
        map->last_fence = last_fence;
    }
    return result;
}

/* Returns whether an assignment of a key replaces another one when two maps
   are joined: the one with the higher fencing token, and the same one of the
   two in either order. */
static bool
supersedes(const AprKeyRange_t *left, const AprKeyRange_t *right)
{
    int difference;

    if (left->fence != right->fence) {
        return left->fence > right->fence;
    }
    difference = strcmp(left->host, right->host);
    return difference != 0
               ? difference > 0
               : strcmp(left->releasing_host, right->releasing_host) > 0;
}

/* Joins a part of another map with that of `map`: each key gets the later one
   of its two assignments. `only_of`: only keys that this host owns in `map`;
   NULL: all. Returns APR_E_NOMEM when memory runs out. */
int
AprKeyMap_JoinPart(AprKeyMap_t *map, const AprKeyMap_t *other, int part,
                   const char *only_of)
{
    int key = part * APR_KEYS_PER_PART;
    int end = key + APR_KEYS_PER_PART - 1;

    while (key <= end) {
        const AprKeyRange_t *known = AprKeyMap_FindRange(map, key);
        const AprKeyRange_t *range = AprKeyMap_FindRange(other, key);
        int last = MIN(MIN(known->last, range->last), end);

        if ((only_of == NULL || strcmp(known->host, only_of) == 0) &&
            supersedes(range, known) &&
            copy_assignment(map, key, last, range) != APR_OK) {
            return APR_E_NOMEM;
        }
        key = last + 1;
    }
    AprKeyMap_MergeRanges(map);
    return APR_OK;
}

/* Joins keys that a host's backend server holds under a fencing token of the
   key map: where the token is above that of the map, the assignment is missing
   there. Nobody has to release such keys. Returns APR_E_INVALID for an invalid
   range of keys and APR_E_NOMEM when memory runs out. */
int
AprKeyMap_JoinHeld(AprKeyMap_t *map, int first, int last, int64_t fence,
                   const char *host)
{
    AprKeyRange_t held = {.fence = fence};
    int key = first;

    if (first < 0 || last < first || last > LAST_KEY || fence < 0 ||
        fence > MAX_STORED_FENCE) {
        return APR_E_INVALID;
    }
    g_strlcpy(held.host, host, sizeof(held.host));
    while (key <= last) {
        const AprKeyRange_t *known = AprKeyMap_FindRange(map, key);
        int end = MIN(known->last, last);

        if (fence > known->fence &&
            copy_assignment(map, key, end, &held) != APR_OK) {
            return APR_E_NOMEM;
        }
        key = end + 1;
    }
    AprKeyMap_MergeRanges(map);
    return APR_OK;
}

/* Returns the fencing token that all assignments of an era of the store
   exceed, and none of the earlier eras. */
int64_t
AprKeyMap_EraFence(int64_t era)
{
    return MIN(era * FENCES_PER_ERA, MAX_STORED_FENCE / 2);
}

/* Lets later assignments take fencing tokens above all those of earlier eras
   of the store, of which this map may not show all. */
void
AprKeyMap_RaiseFence(AprKeyMap_t *map, int64_t era)
{
    map->last_fence = MAX(map->last_fence, AprKeyMap_EraFence(era));
}

/* Returns the row of `held` that covers a key under a fencing token, or NULL.
 */
static const AprKeyRange_t *
find_held(const AprKeyRange_t *held, int held_count, int key, int64_t fence)
{
    for (int i = 0; i < held_count; i++) {
        if (held[i].fence == fence && held[i].first <= key &&
            key <= held[i].last) {
            return &held[i];
        }
    }
    return NULL;
}

/* Removes the owner of those keys of a host that are assigned under a fencing
   token of at most `below_fence` and that no row of `held` covers under the
   same token. Returns APR_E_NOMEM when memory runs out. */
int
AprKeyMap_UnassignUnheldKeys(AprKeyMap_t *map, const char *host,
                             int64_t below_fence, const AprKeyRange_t *held,
                             int held_count)
{
    int key = 0;

    while (key <= LAST_KEY) {
        const AprKeyRange_t *range = AprKeyMap_FindRange(map, key);
        int last = range->last;

        if (strcmp(range->host, host) == 0 && range->fence <= below_fence) {
            const AprKeyRange_t *row =
                find_held(held, held_count, key, range->fence);
            int end = key;

            if (row != NULL) {
                last = MIN(last, row->last);
            }
            else {
                while (end < last && find_held(held, held_count, end + 1,
                                               range->fence) == NULL) {
                    end++;
                }
                last = end;
                if (AprKeyMap_Assign(map, key, last, NULL, NULL) != APR_OK) {
                    return APR_E_NOMEM;
                }
            }
        }
        key = last + 1;
    }
    return APR_OK;
}

/* Returns the number of keys that the backend server of a host owns. */
int
AprKeyMap_CountKeysOf(const AprKeyMap_t *map, const char *host)
{
    int count = 0;

    for (int i = 0; i < map->count; i++) {
        if (strcmp(map->ranges[i].host, host) == 0) {
            count += map->ranges[i].last - map->ranges[i].first + 1;
        }
    }
    return count;
}

/* Returns the index of a host name in the list of names, to which it is
   appended if missing. The stored form contains each name only once to keep it
   short, because every change of the map is sent to every host. */
static int
add_host_name(json_t *names, const char *host)
{
    size_t index;
    json_t *name;

    json_array_foreach(names, index, name)
    {
        if (strcmp(json_string_value(name), host) == 0) {
            return (int)index;
        }
    }
    json_array_append_new(names, json_string(host));
    return (int)json_array_size(names) - 1;
}

static int
copy_host_name(const json_t *names, json_int_t index, char *host)
{
    const char *text = json_string_value(json_array_get(names, (size_t)index));

    if (index < 0 || text == NULL ||
        g_strlcpy(host, text, APR_NAME_SIZE) >= APR_NAME_SIZE) {
        return APR_E_PARSE;
    }
    return APR_OK;
}

/* Parses a row of the stored form: the last key, the index of the owner, the
   fencing token and the index of the host that has to release the keys, or -1
   if there is none. */
static int
parse_range(const json_t *names, json_t *row, int first, int limit,
            AprKeyRange_t *range)
{
    json_int_t last;
    json_int_t fence;
    json_int_t releasing;
    json_int_t owner;

    memset(range, 0, sizeof(*range));
    if (json_unpack(row, "[I,I,I,I]", &last, &owner, &fence, &releasing) !=
            0 ||
        last < first || last > limit || fence < 0 ||
        fence > MAX_STORED_FENCE ||
        copy_host_name(names, owner, range->host) != APR_OK ||
        (releasing >= 0 &&
         copy_host_name(names, releasing, range->releasing_host) != APR_OK)) {
        return APR_E_PARSE;
    }
    range->first = first;
    range->last = (int)last;
    range->fence = fence;
    return APR_OK;
}

static int
parse_rows(const json_t *names, const json_t *rows, int part,
           AprKeyRange_t *ranges)
{
    int limit = (part + 1) * APR_KEYS_PER_PART - 1;
    int next = part * APR_KEYS_PER_PART;
    size_t index;
    json_t *row;

    json_array_foreach(rows, index, row)
    {
        if (parse_range(names, row, next, limit, &ranges[index]) != APR_OK) {
            return APR_E_PARSE;
        }
        next = ranges[index].last + 1;
    }
    return next == limit + 1 ? APR_OK : APR_E_PARSE;
}

/* Replaces the ranges of a part by `ranges`, which cover it, and raises the
   last fencing token of the map to the highest of theirs. */
static int
replace_part(AprKeyMap_t *map, int part, const AprKeyRange_t *ranges,
             int count)
{
    int end = (part + 1) * APR_KEYS_PER_PART;
    int from;
    int to;

    if (reserve_ranges(map, map->count + count + 2) != APR_OK) {
        return APR_E_NOMEM;
    }
    from = split_before(map, part * APR_KEYS_PER_PART);
    to = end == APR_KEY_COUNT ? map->count : split_before(map, end);
    memmove(&map->ranges[from + count], &map->ranges[to],
            (size_t)(map->count - to) * sizeof(*map->ranges));
    memcpy(&map->ranges[from], ranges, (size_t)count * sizeof(*ranges));
    map->count += count - (to - from);
    for (int i = 0; i < count; i++) {
        if (ranges[i].fence > map->last_fence) {
            map->last_fence = ranges[i].fence;
        }
    }
    return APR_OK;
}

/* Replaces a part by its stored form. Returns APR_E_PARSE when the text is
   malformed or does not cover the part, and APR_E_NOMEM when memory runs out;
   the map is then unchanged. */
int
AprKeyMap_ParsePart(AprKeyMap_t *map, int part, const char *text, size_t size)
{
    json_t *root = json_loadb(text, size, 0, NULL);
    json_t *names = json_object_get(root, "hosts");
    json_t *rows = json_object_get(root, "ranges");
    size_t count = json_array_size(rows);
    AprKeyRange_t *ranges = NULL;
    int result = APR_E_PARSE;

    if (count == 0 || count > APR_KEYS_PER_PART) {
        goto done;
    }
    ranges = calloc(count, sizeof(*ranges));
    if (ranges == NULL) {
        result = APR_E_NOMEM;
        goto done;
    }
    result = parse_rows(names, rows, part, ranges);
    if (result == APR_OK) {
        result = replace_part(map, part, ranges, (int)count);
    }
done:
    free(ranges);
    json_decref(root);
    return result;
}

/* Copies the ranges of a part, clipped to its bounds, and returns their
   number. The caller provides room for all ranges of the map. */
static int
copy_part_ranges(const AprKeyMap_t *map, int part, AprKeyRange_t *ranges)
{
    int first = part * APR_KEYS_PER_PART;
    int last = first + APR_KEYS_PER_PART - 1;
    int count = 0;

    for (const AprKeyRange_t *at = AprKeyMap_FindRange(map, first);
         at < map->ranges + map->count && at->first <= last; at++) {
        AprKeyRange_t *range = &ranges[count++];

        *range = *at;
        range->first = at->first < first ? first : at->first;
        range->last = at->last > last ? last : at->last;
    }
    return count;
}

/* Replaces a part of `to` by that of `from`. Returns APR_E_NOMEM when memory
   runs out. */
int
AprKeyMap_CopyPart(AprKeyMap_t *to, const AprKeyMap_t *from, int part)
{
    AprKeyRange_t *ranges = calloc((size_t)from->count, sizeof(*ranges));
    int result = APR_E_NOMEM;

    if (ranges != NULL) {
        result = replace_part(to, part, ranges,
                              copy_part_ranges(from, part, ranges));
    }
    free(ranges);
    return result;
}

/* Returns a bit mask of the parts in which two maps differ. */
uint32_t
AprKeyMap_ChangedParts(const AprKeyMap_t *left, const AprKeyMap_t *right)
{
    uint32_t parts = 0;
    int key = 0;

    while (key < APR_KEY_COUNT) {
        const AprKeyRange_t *left_range = AprKeyMap_FindRange(left, key);
        const AprKeyRange_t *right_range = AprKeyMap_FindRange(right, key);
        int last = left_range->last < right_range->last ? left_range->last
                                                        : right_range->last;

        if (!is_same_assignment(left_range, right_range)) {
            for (int i = key / APR_KEYS_PER_PART;
                 i <= last / APR_KEYS_PER_PART; i++) {
                parts |= 1u << i;
            }
        }
        key = last + 1;
    }
    return parts;
}

/* Returns the stored form of a part as a string that the caller frees with
   free(), or NULL when memory runs out. */
char *
AprKeyMap_SerializePart(const AprKeyMap_t *map, int part)
{
    AprKeyRange_t *ranges = calloc((size_t)map->count, sizeof(*ranges));
    json_t *names = json_array();
    json_t *rows = json_array();
    json_t *root = json_pack("{s:o,s:o}", "hosts", names, "ranges", rows);
    char *text = NULL;
    int count;

    if (ranges == NULL) {
        goto done;
    }
    count = copy_part_ranges(map, part, ranges);
    for (int i = 0; i < count; i++) {
        const AprKeyRange_t *range = &ranges[i];
        int releasing = range->releasing_host[0] == '\0'
                            ? -1
                            : add_host_name(names, range->releasing_host);

        json_array_append_new(rows,
                              json_pack("[i,i,I,i]", range->last,
                                        add_host_name(names, range->host),
                                        (json_int_t)range->fence, releasing));
    }
    text = json_dumps(root, JSON_COMPACT);
done:
    free(ranges);
    json_decref(root);
    return text;
}
