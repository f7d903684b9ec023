#include "apricot/key_warmup.h"

#include <string.h>

/* Longest time for which a key counts as slow. A longer one in the
   configuration is a defect, which would otherwise keep the service times of
   new keys unknown for hours. */
#define MAX_WARM_MS (10 * 60 * 1000)

/* Forgets all keys: a new incarnation of the backend server holds none. */
void
AprKeyWarmup_Reset(AprKeyWarmup_t *warmup)
{
    warmup->held_count = 0;
    warmup->slow_count = 0;
}

/* Sets the keys that the backend server holds. */
void
AprKeyWarmup_SetHeld(AprKeyWarmup_t *warmup, const AprGrant_t *held, int count)
{
    warmup->held_count =
        count < APR_MAX_HELD_RANGES ? count : APR_MAX_HELD_RANGES;
    for (int i = 0; i < warmup->held_count; i++) {
        warmup->held[i] = (AprHeldRange_t){held[i].first, held[i].last};
    }
}

/* Returns whether a key is held. Sets `*end` to the last key up to `last` for
   which this is known to be the same. */
static bool
find_held(const AprKeyWarmup_t *warmup, int key, int last, int *end)
{
    *end = last;
    for (int i = 0; i < warmup->held_count; i++) {
        const AprHeldRange_t *held = &warmup->held[i];

        if (held->first <= key && key <= held->last) {
            *end = held->last < last ? held->last : last;
            return true;
        }
        if (key < held->first && held->first <= *end) {
            *end = held->first - 1;
        }
    }
    return false;
}

/* Adds a slow range. The one that was added first is dropped when there is no
   room. */
static void
add_slow_range(AprKeyWarmup_t *warmup, int first, int last, int64_t until_ms)
{
    if (warmup->slow_count == APR_MAX_SLOW_RANGES) {
        memmove(warmup->slow, warmup->slow + 1,
                (APR_MAX_SLOW_RANGES - 1) * sizeof(*warmup->slow));
        warmup->slow_count--;
    }
    warmup->slow[warmup->slow_count++] =
        (AprSlowRange_t){first, last, until_ms};
}

/* Keeps the parts of a slow range that the backend server still holds and is
   granted again. Its other keys arrive anew if they are granted later. */
static void
keep_slow_range(AprKeyWarmup_t *warmup, const AprSlowRange_t *slow,
                const AprGrant_t *grants, int count)
{
    for (int i = 0; i < count; i++) {
        int key =
            slow->first > grants[i].first ? slow->first : grants[i].first;
        int last = slow->last < grants[i].last ? slow->last : grants[i].last;

        while (key <= last) {
            int end;

            if (find_held(warmup, key, last, &end)) {
                add_slow_range(warmup, key, end, slow->until_ms);
            }
            key = end + 1;
        }
    }
}

/* Records all keys that a reply grants to the backend server. Those that it
   did not hold and that come without a handover token are slow for `warm_ms`
   from now on. Returns the number of these. */
int
AprKeyWarmup_AddGrants(AprKeyWarmup_t *warmup, const AprGrant_t *grants,
                       int count, int64_t warm_ms, int64_t now_ms)
{
    AprSlowRange_t known[APR_MAX_SLOW_RANGES];
    int known_count = warmup->slow_count;
    int slow_keys = 0;

    memcpy(known, warmup->slow, (size_t)known_count * sizeof(*known));
    warmup->slow_count = 0;
    for (int i = 0; i < known_count; i++) {
        if (now_ms < known[i].until_ms) {
            keep_slow_range(warmup, &known[i], grants, count);
        }
    }
    warm_ms = warm_ms < MAX_WARM_MS ? warm_ms : MAX_WARM_MS;
    for (int i = 0; i < count && warm_ms > 0; i++) {
        int key = grants[i].first;

        while (key <= grants[i].last && grants[i].token[0] == '\0') {
            int end;

            if (!find_held(warmup, key, grants[i].last, &end)) {
                add_slow_range(warmup, key, end, now_ms + warm_ms);
                slow_keys += end - key + 1;
            }
            key = end + 1;
        }
    }
    AprKeyWarmup_SetHeld(warmup, grants, count);
    return slow_keys;
}

/* Returns whether the backend server serves a key slowly now. */
bool
AprKeyWarmup_IsSlow(const AprKeyWarmup_t *warmup, int key, int64_t now_ms)
{
    for (int i = 0; i < warmup->slow_count; i++) {
        const AprSlowRange_t *slow = &warmup->slow[i];

        if (slow->first <= key && key <= slow->last &&
            now_ms < slow->until_ms) {
            return true;
        }
    }
    return false;
}
