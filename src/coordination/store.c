#include "apricot/store.h"

#include <stdlib.h>
#include <string.h>

/* Frees the data of a value and resets all its fields; the value itself
   belongs to the caller. */
void
AprStoreValue_Clear(AprStoreValue_t *value)
{
    free(value->data);
    memset(value, 0, sizeof(*value));
}

/* Closes a store that an adapter opened, and resets its fields. No call may be
   in progress. */
void
AprStore_Close(AprStore_t *store)
{
    if (store->free != NULL) {
        store->free(store->context);
    }
    memset(store, 0, sizeof(*store));
}
