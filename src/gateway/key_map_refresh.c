/* Whether the local key map is as new as the registration of this host. While
   a host has no entry in the store, other hosts may take over its keys. After
   it has registered again, it must not grant keys by a key map from before
   that. */

#include <glib.h>
#include <string.h>

#include "apricot/error.h"
#include "apricot/log.h"
#include "internal/ownership_state.h"
#include "internal/store_cache_state.h"

/* Records the store revision at which the entry of this host began to exist.
   From then on nobody else changes the owner of its keys. */
void
AprOwnership_OnRegistered(AprOwnership_t *ownership, int64_t revision)
{
    AprKeyMapRefresh_t *refresh = &ownership->map_refresh;

    refresh->registered_revision = MAX(refresh->registered_revision, revision);
}

/* Returns the store revision up to which the changes of the own service's key
   map are known. */
int64_t
AprKeyMapRefresh_KnownRevision(const AprOwnership_t *ownership)
{
    return MAX(ownership->map_refresh.read_revision,
               AprStoreCache_PrefixRevision(ownership->gateway->store_cache));
}

static bool
is_map_current(const AprOwnership_t *ownership)
{
    return AprKeyMapRefresh_KnownRevision(ownership) >=
           ownership->map_refresh.registered_revision;
}

/* Returns whether keys may be granted by the local key map, or it gives none
   to this host. If other hosts may hold keys by assignments that the store has
   lost, what the backend server holds must be stored first. */
bool
AprKeyMapRefresh_MayGrant(AprOwnership_t *ownership)
{
    return AprOwnership_CountOwnKeys(ownership) == 0 ||
           (is_map_current(ownership) &&
            (!AprStoreRestore_AreHoldersUnknown(&ownership->restore) ||
             AprOwnership_IsMapSaved(ownership)));
}

static void read_next_page(AprOwnership_t *ownership);

static void
on_page_read(void *context, const AprKvResult_t *result)
{
    AprOwnership_t *ownership = context;
    AprKeyMapRefresh_t *refresh = &ownership->map_refresh;

    refresh->read_pending = false;
    for (int i = 0; result->code == APR_OK && i < result->item_count; i++) {
        AprStoreCache_ApplyItem(ownership->gateway->store_cache,
                                &result->items[i]);
    }
    if (result->code == APR_OK && result->has_more && result->item_count > 0) {
        g_strlcpy(refresh->last_page_key,
                  result->items[result->item_count - 1].key,
                  sizeof(refresh->last_page_key));
        read_next_page(ownership);
        return;
    }
    if (result->code == APR_OK) {
        refresh->read_revision = refresh->wanted_revision;
    }
    AprGateway_IncrementCounter(ownership->gateway, "key_map_reads_total",
                                result->code == APR_OK ? "result=\"ok\""
                                                       : "result=\"failed\"");
    AprLog_Write(APR_LOG_INFO, "key_map_read", "result=%s revision=%lld",
                 AprError_Name(result->code),
                 (long long)refresh->wanted_revision);
    AprOwnership_SendPendingReply(ownership);
}

static void
read_next_page(AprOwnership_t *ownership)
{
    const AprKvStore_t *kv = ownership->gateway->kv;
    const AprGatewaySettings_t *settings = &ownership->gateway->settings;
    AprKeyMapRefresh_t *refresh = &ownership->map_refresh;
    char prefix[APR_STORE_KEY_SIZE];

    g_snprintf(prefix, sizeof(prefix), "%s" APR_KEY_MAP_KEY_PREFIX "%s/",
               settings->store_prefix, settings->backend_service);
    refresh->read_pending = true;
    kv->range(kv->self, prefix, refresh->last_page_key, false, on_page_read,
              ownership);
}

/* Reads the key map from the store if the local one gives keys to this host
   and is older than its registration. Returns whether a read is pending, at
   whose end the waiting heartbeat is answered. */
bool
AprKeyMapRefresh_Start(AprOwnership_t *ownership)
{
    AprKeyMapRefresh_t *refresh = &ownership->map_refresh;

    if (is_map_current(ownership) ||
        AprOwnership_CountOwnKeys(ownership) == 0) {
        return false;
    }
    if (!refresh->read_pending) {
        /* The store has acknowledged that revision, so that the read shows all
           changes up to it. */
        refresh->wanted_revision = refresh->registered_revision;
        refresh->last_page_key[0] = '\0';
        read_next_page(ownership);
    }
    return true;
}
