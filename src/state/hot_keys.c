#include "apricot/hot_keys.h"

#include <stdlib.h>

/* Hashes, counts and errors are separate arrays, because each addition scans
   all hashes. */
struct AprHotKeys_t {
    int entry_count;
    double total;
    uint64_t hashes[APR_HOT_KEY_ENTRIES];
    double counts[APR_HOT_KEY_ENTRIES];
    double errors[APR_HOT_KEY_ENTRIES];
};

/* Creates an empty sketch; NULL when memory runs out. */
AprHotKeys_t *
AprHotKeys_New(void)
{
    return calloc(1, sizeof(AprHotKeys_t));
}

/* Frees a sketch; NULL is ignored. */
void
AprHotKeys_Free(AprHotKeys_t *sketch)
{
    free(sketch);
}

static int
find_entry(const AprHotKeys_t *sketch, uint64_t key_hash)
{
    for (int i = 0; i < sketch->entry_count; i++) {
        if (sketch->hashes[i] == key_hash) {
            return i;
        }
    }
    return -1;
}

static int
find_smallest_entry(const AprHotKeys_t *sketch)
{
    int smallest = 0;

    for (int i = 1; i < sketch->entry_count; i++) {
        if (sketch->counts[i] < sketch->counts[smallest]) {
            smallest = i;
        }
    }
    return smallest;
}

/* Assigns an entry to a key that has none: an unused entry or that of the
   least frequent key. Its previous count becomes the error of the new key. */
static int
assign_entry(AprHotKeys_t *sketch, uint64_t key_hash)
{
    int entry;

    if (sketch->entry_count < APR_HOT_KEY_ENTRIES) {
        entry = sketch->entry_count++;
        sketch->counts[entry] = 0;
    }
    else {
        entry = find_smallest_entry(sketch);
    }
    sketch->errors[entry] = sketch->counts[entry];
    sketch->hashes[entry] = key_hash;
    return entry;
}

/* Adds a request for a key. `weight` is a number of requests or a cost;
   weights that are not positive are ignored. */
void
AprHotKeys_Add(AprHotKeys_t *sketch, uint64_t key_hash, double weight)
{
    int entry;

    if (!(weight > 0)) {
        return;
    }
    entry = find_entry(sketch, key_hash);
    if (entry < 0) {
        entry = assign_entry(sketch, key_hash);
    }
    sketch->counts[entry] += weight;
    sketch->total += weight;
}

/* Halves all counts, errors and the total, so that keys which are no longer
   requested are replaced. */
void
AprHotKeys_Decay(AprHotKeys_t *sketch)
{
    for (int i = 0; i < sketch->entry_count; i++) {
        sketch->counts[i] /= 2;
        sketch->errors[i] /= 2;
    }
    sketch->total /= 2;
}

/* The sum of all added weights, halved by each decay. */
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
AprHotKeys_ListAbove(const AprHotKeys_t *sketch, double share,
                     AprHotKey_t *keys, int capacity)
{
    AprHotKey_t above[APR_HOT_KEY_ENTRIES];
    int count = 0;

    for (int i = 0; i < sketch->entry_count; i++) {
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
