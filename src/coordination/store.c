#include "apricot/store.h"

#include <stdlib.h>
#include <string.h>

/* Frees what a value holds and empties it. */
void
AprStoreValue_Clear(AprStoreValue_t *value)
{
    free(value->data);
    memset(value, 0, sizeof(*value));
}

/* Closes a store that an adapter opened. No call may be in progress. */
void
AprStore_Close(AprStore_t *store)
{
    if (store->free != NULL) {
        store->free(store->context);
    }
    memset(store, 0, sizeof(*store));
}
