/* Merges of the key ranges that moves of hot keys leave behind. */

#include <glib.h>
#include <string.h>

#include "apricot/error.h"
#include "internal/hot_range.h"

/* Ranges of the map, or of the host, from which ranges are merged. */
#define CONSOLIDATE_MAP_RANGES 512
#define CONSOLIDATE_HOST_RANGES 16

/* Mean time between two merges by all hosts together, in a map with few ranges
   and in one that has as many as it may have. Each merge is a write to the
   store, conflicts with other changes of the same part, and is sent to all
   hosts: 34 merges a second doubled the store calls of a deployment. */
#define MERGE_INTERVAL_MS 500.0
#define FULL_MAP_MERGE_INTERVAL_MS 25.0

/* Keys of a range that is given to the owner of its neighbour to be merged,
   at most, and requests for them within the window. */
#define CONSOLIDATE_KEYS 32
#define CONSOLIDATE_REQUESTS 1

/* Ranges that one merge changes at most. */
#define CONSOLIDATE_CHANGES 16

static int
count_requests(const AprHotRangePlanner_t *planner, int first, int last)
{
    int count = 0;

    for (int i = 0; i < planner->request_count; i++) {
        int key = AprHotRangePlanner_RequestAt(planner, i)->key;

        count += first <= key && key <= last;
    }
    return count;
}

/* Returns whether a host is a candidate with room for another range. */
static bool
takes_range(const AprHotRangeInput_t *input, const char *host)
{
    int ranges = 0;

    for (int i = 0; i < input->map->count; i++) {
        ranges += strcmp(input->map->ranges[i].host, host) == 0;
    }
    if (ranges >= APR_HOT_RANGE_MAX_HOST_RANGES) {
        return false;
    }
    for (int i = 0; i < input->count; i++) {
        if (strcmp(input->candidates[i].host, host) == 0) {
            return true;
        }
    }
    return false;
}

static int
count_keys(const AprKeyRange_t *range)
{
    return range->last - range->first + 1;
}

/* Returns the longer one of the neighbours of a short range, if another host
   owns it and it is longer than the range; otherwise NULL. */
static const AprKeyRange_t *
find_longer_neighbour(const AprHotRangeInput_t *input, int index)
{
    const AprKeyRange_t *range = &input->map->ranges[index];
    const AprKeyRange_t *best = NULL;

    for (int step = -1; step <= 1; step += 2) {
        const AprKeyRange_t *next = range + step;

        if (index + step >= 0 && index + step < input->map->count &&
            next->first / APR_KEYS_PER_PART ==
                range->first / APR_KEYS_PER_PART &&
            count_keys(next) > count_keys(range) &&
            (best == NULL || count_keys(next) > count_keys(best))) {
            best = next;
        }
    }
    return best != NULL && strcmp(best->host, input->host) != 0 ? best : NULL;
}

static bool
is_movable_in_part(const AprHotRangeInput_t *input, int index, int part)
{
    const AprKeyRange_t *range = &input->map->ranges[index];

    return range->first / APR_KEYS_PER_PART == part &&
           range->last / APR_KEYS_PER_PART == part &&
           strcmp(range->host, input->host) == 0 &&
           input->is_movable(input->context, range);
}

/* Gives short ranges without much demand in a part to the owners of their
   neighbours. Returns the number of changes. */
static int
give_short_ranges(const AprHotRangePlanner_t *planner,
                  const AprHotRangeInput_t *input, int part)
{
    int changes = 0;

    for (int i = 0; i < input->map->count && changes < CONSOLIDATE_CHANGES;
         i++) {
        AprKeyRange_t range = input->map->ranges[i];
        const AprKeyRange_t *next;
        char host[APR_NAME_SIZE];

        if (!is_movable_in_part(input, i, part) ||
            count_keys(&range) > CONSOLIDATE_KEYS ||
            count_requests(planner, range.first, range.last) >
                CONSOLIDATE_REQUESTS) {
            continue;
        }
        next = find_longer_neighbour(input, i);
        if (next == NULL || !takes_range(input, next->host)) {
            continue;
        }
        g_strlcpy(host, next->host, sizeof(host));
        changes += AprKeyMap_Assign(input->map, range.first, range.last, host,
                                    input->host) == APR_OK;
    }
    return changes;
}

/* Merges adjacent ranges of the host in a part under a new fencing token. The
   backend server holds their keys before and after it. Returns the number of
   changes. */
static int
merge_own_ranges(const AprHotRangeInput_t *input, int part)
{
    int changes = 0;

    for (int i = 0; i < input->map->count && changes < CONSOLIDATE_CHANGES;
         i++) {
        int end = i;

        while (end < input->map->count &&
               is_movable_in_part(input, end, part)) {
            end++;
        }
        if (end - i >= 2) {
            changes +=
                AprKeyMap_Assign(input->map, input->map->ranges[i].first,
                                 input->map->ranges[end - 1].last, input->host,
                                 NULL) == APR_OK;
        }
        else if (end > i) {
            i = end - 1;
        }
    }
    return changes;
}

/* Returns whether ranges may be merged now, and sets the time of the next
   merge: the fuller the map is, the sooner. */
bool
AprHotRangePlanner_IsMergeDue(AprHotRangePlanner_t *planner,
                              const AprHotRangeInput_t *input)
{
    double room = MAX(0.0, 1.0 - (double)input->map->count /
                                     AprHotRangePlanner_MaxMapRanges(input));
    double interval_ms = input->count * (FULL_MAP_MERGE_INTERVAL_MS +
                                         MERGE_INTERVAL_MS * room * room);

    if (input->now_ms < planner->next_merge_ms) {
        return false;
    }
    planner->next_merge_ms =
        input->now_ms +
        (int64_t)(interval_ms / 2 + interval_ms * (input->seed % 1024) / 1024);
    return true;
}

/* Merges ranges in one part of the map, if moves have left many: own ones with
   each other, and short ones that are no longer hot with those of their
   neighbours. Only keys that the planner calls movable change. Returns the
   number of changes in the map. */
int
AprHotRangePlanner_Consolidate(AprHotRangePlanner_t *planner,
                               const AprHotRangeInput_t *input)
{
    int own = 0;

    for (int i = 0; i < input->map->count; i++) {
        own += strcmp(input->map->ranges[i].host, input->host) == 0;
    }
    if (own <= CONSOLIDATE_HOST_RANGES &&
        input->map->count <= CONSOLIDATE_MAP_RANGES) {
        return 0;
    }
    for (int i = 0; i < APR_KEY_PARTS; i++) {
        int part = (int)((input->seed + (uint32_t)i) % APR_KEY_PARTS);
        int changes = merge_own_ranges(input, part) +
                      give_short_ranges(planner, input, part);

        if (changes > 0) {
            return changes;
        }
    }
    return 0;
}
