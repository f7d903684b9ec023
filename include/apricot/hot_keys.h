#ifndef APRICOT_HOT_KEYS_H
#define APRICOT_HOT_KEYS_H

#include <stdint.h>

#define APR_HOT_KEY_ENTRIES 64

/* Space-saving sketch of the most frequent keys of one service, with a fixed
   number of entries. */
typedef struct AprHotKeys_t AprHotKeys_t;

typedef struct AprHotKey_t {
    uint64_t key_hash;
    double count; /* upper bound of the key's weight */
    double error; /* count - error is a lower bound of the weight */
} AprHotKey_t;

AprHotKeys_t *AprHotKeys_New(void);
void AprHotKeys_Free(AprHotKeys_t *sketch);
void AprHotKeys_Add(AprHotKeys_t *sketch, uint64_t key_hash, double weight);
/* Halves all counts. Called every 5 s. */
void AprHotKeys_Decay(AprHotKeys_t *sketch);
double AprHotKeys_Total(const AprHotKeys_t *sketch);
/* Keys whose lower bound is above `share` of the total, most frequent first.
 */
int AprHotKeys_ListAbove(const AprHotKeys_t *sketch, double share,
                         AprHotKey_t *keys, int capacity);

#endif
