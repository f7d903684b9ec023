#include "apricot/hot_keys.h"

#include <stdlib.h>

/* Hashes, counts and errors are separate arrays, because each addition scans
   all hashes. */
struct AprHotKeys_t {
    int used;
    double total;
    uint64_t hashes[APR_HOT_KEY_ENTRIES];
    double counts[APR_HOT_KEY_ENTRIES];
    double errors[APR_HOT_KEY_ENTRIES];
};

/* Creates an empty sketch. Returns NULL when memory runs out. */
AprHotKeys_t *
AprHotKeys_New(void)
{
    return calloc(1, sizeof(AprHotKeys_t));
}

/* Frees a sketch. */
void
AprHotKeys_Free(AprHotKeys_t *sketch)
{
    free(sketch);
}

static int
find_entry(const AprHotKeys_t *sketch, uint64_t key_hash)
{
    for (int i = 0; i < sketch->used; i++) {
        if (sketch->hashes[i] == key_hash) {
            return i;
        }
    }
    return -1;
}

static int
smallest_entry(const AprHotKeys_t *sketch)
{
    int smallest = 0;

    for (int i = 1; i < sketch->used; i++) {
        if (sketch->counts[i] < sketch->counts[smallest]) {
            smallest = i;
        }
    }
    return smallest;
}

/* The entry for a key that has none: an unused one, or that of the least
   frequent key, whose count becomes the error of the new key. */
static int
claim_entry(AprHotKeys_t *sketch, uint64_t key_hash)
{
    int entry;

    if (sketch->used < APR_HOT_KEY_ENTRIES) {
        entry = sketch->used++;
        sketch->counts[entry] = 0;
    }
    else {
        entry = smallest_entry(sketch);
    }
    sketch->errors[entry] = sketch->counts[entry];
    sketch->hashes[entry] = key_hash;
    return entry;
}

/* Counts a request for a key, with its weight (requests or cost). Weights
   that are not positive are ignored. */
void
AprHotKeys_Add(AprHotKeys_t *sketch, uint64_t key_hash, double weight)
{
    int entry;

    if (!(weight > 0)) {
        return;
    }
    entry = find_entry(sketch, key_hash);
    if (entry < 0) {
        entry = claim_entry(sketch, key_hash);
    }
    sketch->counts[entry] += weight;
    sketch->total += weight;
}

/* Halves all counts, so that keys which are no longer requested make room. */
void
AprHotKeys_Decay(AprHotKeys_t *sketch)
{
    for (int i = 0; i < sketch->used; i++) {
        sketch->counts[i] /= 2;
        sketch->errors[i] /= 2;
    }
    sketch->total /= 2;
}

/* The weight of all additions, halved with the counts. */
double
AprHotKeys_Total(const AprHotKeys_t *sketch)
{
    return sketch->total;
}

static int
compare_counts(const void *left, const void *right)
{
    const AprHotKey_t *a = left;
    const AprHotKey_t *b = right;

    if (a->count != b->count) {
        return a->count < b->count ? 1 : -1;
    }
    return (a->key_hash > b->key_hash) - (a->key_hash < b->key_hash);
}

/* Writes up to `capacity` keys whose lower bound is above `share` of the
   total, most frequent first. Returns their number. */
int
AprHotKeys_Above(const AprHotKeys_t *sketch, double share, AprHotKey_t *keys,
                 int capacity)
{
    AprHotKey_t above[APR_HOT_KEY_ENTRIES];
    int count = 0;

    for (int i = 0; i < sketch->used; i++) {
        if (sketch->counts[i] - sketch->errors[i] > share * sketch->total) {
            above[count++] = (AprHotKey_t){
                sketch->hashes[i], sketch->counts[i], sketch->errors[i]};
        }
    }
    qsort(above, (size_t)count, sizeof(above[0]), compare_counts);
    if (count > capacity) {
        count = capacity;
    }
    for (int i = 0; i < count; i++) {
        keys[i] = above[i];
    }
    return count;
}
