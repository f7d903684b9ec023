#include "internal/owned_table.h"

#include <stdlib.h>
#include <string.h>

/* Allocates a slot and returns its handle. Returns APR_NO_OWNED_REQUEST when
   `limit` slots are in use or memory runs out. */
uint32_t
AprOwnedTable_Allocate(AprCore_t *core, uint32_t limit)
{
    AprOwnedRequest_t *owned;
    uint32_t handle;

    if (core->free_owned_handles->len > 0) {
        guint last = core->free_owned_handles->len - 1;

        handle = g_array_index(core->free_owned_handles, uint32_t, last);
        g_array_set_size(core->free_owned_handles, last);
        owned = AprOwnedTable_Get(core, handle);
        owned->reuse_count++;
        return handle;
    }
    if (core->owned_requests->len >= limit) {
        return APR_NO_OWNED_REQUEST;
    }
    owned = calloc(1, sizeof(*owned));
    if (owned == NULL) {
        return APR_NO_OWNED_REQUEST;
    }
    g_ptr_array_add(core->owned_requests, owned);
    return core->owned_requests->len - 1;
}

/* Returns the slot with this handle, which must exist. The table owns the
   slot; its state is APR_OWNED_FREE while it is not in use. */
AprOwnedRequest_t *
AprOwnedTable_Get(const AprCore_t *core, uint32_t handle)
{
    return g_ptr_array_index(core->owned_requests, handle);
}

/* Releases a slot for reuse and frees the message in it. Keeps the slot's
   reuse count, by which late results of an earlier request are recognised. */
void
AprOwnedTable_Release(AprCore_t *core, uint32_t handle)
{
    AprOwnedRequest_t *owned = AprOwnedTable_Get(core, handle);
    uint32_t reuse_count = owned->reuse_count;

    AprMessage_Free(owned->message);
    memset(owned, 0, sizeof(*owned));
    owned->reuse_count = reuse_count;
    g_array_append_val(core->free_owned_handles, handle);
}
