/* Local copy of the items in the store. */

#include "internal/store_cache_state.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "apricot/error.h"
#include "apricot/log.h"
#include "internal/lease_timing.h"

/* Base and limit of the exponential back-off after a refusal or failure of the
   store. The pause is a random time between half of the back-off and all of
   it. */
#define BACKOFF_MIN_MS 150
#define BACKOFF_MAX_MS 1500

int64_t
AprStoreCache_NowMs(const AprStoreCache_t *cache)
{
    return AprGateway_NowMs(cache->gateway);
}

/* Returns the pause after a number of failures in a row. */
int64_t
AprStoreCache_RandomBackoffMs(int failures)
{
    int64_t span = BACKOFF_MIN_MS << (failures < 4 ? failures : 4);

    if (span > BACKOFF_MAX_MS) {
        span = BACKOFF_MAX_MS;
    }
    return span / 2 + g_random_int_range(0, (gint32)(span / 2 + 1));
}

/* Records whether the store answered a call, and logs each change of that. */
void
AprStoreCache_RecordStoreResult(AprStoreCache_t *cache, int code)
{
    bool failed = code == APR_E_UNAVAILABLE || code == APR_E_UNKNOWN_OUTCOME ||
                  code == APR_E_PARSE;

    if (!failed) {
        cache->store_answered_ms = AprStoreCache_NowMs(cache);
    }
    if (failed != cache->store_lost) {
        cache->store_lost = failed;
        AprLog_Write(failed ? APR_LOG_WARN : APR_LOG_INFO,
                     failed ? "store_lost" : "store_recovered", "error=%s",
                     AprError_Name(code));
    }
}

/* Tells the other parts of the era in which the store has last answered. */
void
AprStoreCache_CheckEra(AprStoreCache_t *cache)
{
    const AprKvStore_t *kv = cache->gateway->kv;

    if (cache->loaded_ms != 0) {
        AprOwnership_NoticeEra(cache->gateway->ownership, kv->era(kv->self));
    }
}

static AprItem_t *
find_item(AprStoreCache_t *cache, const char *key)
{
    gpointer index;

    if (!g_hash_table_lookup_extended(cache->item_index, key, NULL, &index)) {
        return NULL;
    }
    return &cache->items[GPOINTER_TO_INT(index)];
}

/* Returns the item with a key, also a removed one, or NULL. It is valid until
   the next change of an item. */
const AprItem_t *
AprStoreCache_FindItem(AprStoreCache_t *cache, const char *key)
{
    return find_item(cache, key);
}

static AprItem_t *
add_item(AprStoreCache_t *cache, const char *key)
{
    AprItem_t *item;

    if (cache->items == NULL || cache->item_count == cache->item_capacity) {
        int capacity =
            cache->item_capacity == 0 ? 32 : cache->item_capacity * 2;
        AprItem_t *grown =
            realloc(cache->items, (size_t)capacity * sizeof(*grown));

        if (grown == NULL) {
            return NULL;
        }
        cache->items = grown;
        cache->item_capacity = capacity;
    }
    item = &cache->items[cache->item_count];
    memset(item, 0, sizeof(*item));
    item->key = strdup(key);
    if (item->key == NULL) {
        return NULL;
    }
    g_hash_table_insert(cache->item_index, item->key,
                        GINT_TO_POINTER(cache->item_count));
    cache->item_count++;
    return item;
}

static void
apply_config(AprStoreCache_t *cache, const AprKvItem_t *item)
{
    AprGateway_t *gateway = cache->gateway;
    AprRouteTable_t *table = NULL;
    AprError_t error = {0};

    if (item->removed) {
        return;
    }
    if (gateway->parse_routes(item->value, item->value_size, &table, &error) !=
        APR_OK) {
        AprLog_Write(APR_LOG_ERROR, "config_invalid",
                     "revision=%lld detail=\"%s\"", (long long)item->revision,
                     error.detail);
        return;
    }
    if (gateway->routes != NULL &&
        table->version <= gateway->routes->version) {
        AprLog_Write(APR_LOG_INFO, "config_ignored",
                     "version=%llx in_force=%llx",
                     (unsigned long long)table->version,
                     (unsigned long long)gateway->routes->version);
        AprRouteTable_Free(table);
        return;
    }
    AprRouteTable_Free(gateway->routes);
    gateway->routes = table;
    AprLog_Write(APR_LOG_INFO, "config_in_force",
                 "version=%llx routes=%d revision=%lld from=%s "
                 "items_age_ms=%lld",
                 (unsigned long long)table->version, table->route_count,
                 (long long)item->revision,
                 cache->applying_from[0] == '\0' ? "store"
                                                 : cache->applying_from,
                 (long long)AprStoreCache_ItemsAgeMs(cache));
}

/* Returns the part of `key` after the settings' prefix and `subfolder`, or
   NULL when the key does not start with them. */
static const char *
key_suffix(const AprStoreCache_t *cache, const char *key,
           const char *subfolder)
{
    const char *prefix = cache->gateway->settings.store_prefix;
    size_t size = strlen(prefix);

    if (strncmp(key, prefix, size) != 0 ||
        strncmp(key + size, subfolder, strlen(subfolder)) != 0) {
        return NULL;
    }
    return key + size + strlen(subfolder);
}

static void
dispatch_item(AprStoreCache_t *cache, const AprKvItem_t *item)
{
    AprGateway_t *gateway = cache->gateway;
    const char *name;

    if (strcmp(item->key, gateway->config_key) == 0) {
        apply_config(cache, item);
    }
    else if (g_str_has_prefix(item->key, gateway->evacuation_prefix)) {
        AprGateway_ApplyEvacuation(
            gateway, item->key + strlen(gateway->evacuation_prefix), item,
            cache->source_confirmed_ms);
    }
    else if ((name = key_suffix(cache, item->key, APR_MEMBER_KEY_PREFIX)) !=
             NULL) {
        AprMembers_ApplyEntry(gateway->members, name, item);
        if (strcmp(name, gateway->settings.host) == 0) {
            AprRegistration_OnOwnEntry(cache);
        }
    }
    else if ((name = key_suffix(cache, item->key, APR_KEY_MAP_KEY_PREFIX)) !=
             NULL) {
        AprOwnership_ApplyKeyMapPart(gateway->ownership, name, item);
    }
    else if ((name = key_suffix(cache, item->key, APR_SETTLED_ERA_KEY)) !=
                 NULL &&
             name[0] == '\0') {
        AprOwnership_ApplySettledEra(gateway->ownership, item);
    }
    else if ((name = key_suffix(cache, item->key, APR_FENCE_KEY_PREFIX)) !=
             NULL) {
        AprOwnership_ApplyFence(gateway->ownership, name, item);
    }
    else if ((name = key_suffix(cache, item->key,
                                APR_GENERATION_KEY_PREFIX)) != NULL) {
        AprOwnership_ApplyGenerationRecord(gateway->ownership, name, item);
    }
    else if ((name = key_suffix(cache, item->key, APR_LEASE_KEY_PREFIX)) !=
                 NULL &&
             strcmp(name, gateway->settings.host) == 0) {
        AprRegistration_OnOwnLeaseItem(cache);
    }
}

/* Applies a new state of an item, or its removal, unless the same or a later
   revision is already known, or the store has come back from an older copy
   since. Copies what it keeps of `update`. */
void
AprStoreCache_ApplyItem(AprStoreCache_t *cache, const AprKvItem_t *update)
{
    AprOwnership_t *ownership = cache->gateway->ownership;
    AprItem_t *item = find_item(cache, update->key);
    int64_t era = AprRevision_Era(update->revision);
    char *value;

    AprOwnership_NoticeEra(ownership, era);
    if (era < AprOwnership_Era(ownership) ||
        (item != NULL && item->revision >= update->revision)) {
        return;
    }
    value = malloc(update->value_size + 1);
    if (item == NULL) {
        item = add_item(cache, update->key);
    }
    if (item == NULL || value == NULL) {
        free(value);
        return;
    }
    if (update->value_size > 0) {
        memcpy(value, update->value, update->value_size);
    }
    value[update->value_size] = '\0';
    free(item->value);
    item->value = value;
    item->value_size = update->value_size;
    item->revision = update->revision;
    item->lease = update->lease;
    item->removed = update->removed;
    item->change_sequence = ++cache->last_change_sequence;
    dispatch_item(cache, update);
}

/* Records that a reload returned an item. */
void
AprStoreCache_MarkSeen(AprStoreCache_t *cache, const char *key)
{
    AprItem_t *item = find_item(cache, key);

    if (item != NULL) {
        item->seen_in_reload = true;
    }
}

/* Returns the revision up to which all states of a key are known here. */
static int64_t
known_revision_of(const AprStoreCache_t *cache, const char *key)
{
    const AprWatch_t *watch = strncmp(key, cache->prefix_watch.prefix,
                                      strlen(cache->prefix_watch.prefix)) == 0
                                  ? &cache->prefix_watch
                                  : &cache->config_watch;

    return watch->cursor > cache->peer_revision ? watch->cursor
                                                : cache->peer_revision;
}

/* Applies an item that does not come from the store at this moment but from
   another host or from a read that may be outdated. An item that is missing
   here although all states up to its revision are known was removed since, and
   is ignored. */
void
AprStoreCache_ApplyRemoteItem(AprStoreCache_t *cache,
                              const AprKvItem_t *update)
{
    if (find_item(cache, update->key) == NULL &&
        update->revision <= known_revision_of(cache, update->key)) {
        return;
    }
    AprStoreCache_ApplyItem(cache, update);
}

/* Applies the present items that the store returned with a change whose
   conditions failed. Has no effect for any other result. */
void
AprStoreCache_ApplyConflictItems(AprStoreCache_t *cache,
                                 const AprKvResult_t *result)
{
    for (int i = 0; result->code == APR_E_CONFLICT && i < result->item_count;
         i++) {
        AprStoreCache_ApplyItem(cache, &result->items[i]);
    }
}

/* Creates an empty copy, which reads nothing until AprStoreCache_Start().
   Returns NULL when memory runs out. */
AprStoreCache_t *
AprStoreCache_New(AprGateway_t *gateway)
{
    AprStoreCache_t *cache = calloc(1, sizeof(*cache));

    if (cache == NULL) {
        return NULL;
    }
    cache->gateway = gateway;
    cache->item_index = g_hash_table_new(g_str_hash, g_str_equal);
    AprWatchers_Init(&cache->watchers, gateway->members, &gateway->settings);
    cache->config_watch.cache = cache;
    cache->prefix_watch.cache = cache;
    g_strlcpy(cache->config_watch.prefix,
              gateway->settings.evacuation_deadline_s > 0
                  ? gateway->operator_prefix
                  : gateway->config_key,
              sizeof(cache->config_watch.prefix));
    g_strlcpy(cache->prefix_watch.prefix, gateway->settings.store_prefix,
              sizeof(cache->prefix_watch.prefix));
    return cache;
}

/* Frees the copy and its items. `cache` may be NULL. */
void
AprStoreCache_Free(AprStoreCache_t *cache)
{
    if (cache == NULL) {
        return;
    }
    for (int i = 0; i < cache->item_count; i++) {
        free(cache->items[i].key);
        free(cache->items[i].value);
    }
    AprWatchers_Clear(&cache->watchers);
    g_hash_table_destroy(cache->item_index);
    free(cache->items);
    AprRegistration_Clear(cache);
    free(cache);
}

/* Returns the store revision up to which all items are known here. */
int64_t
AprStoreCache_Revision(const AprStoreCache_t *cache)
{
    int64_t cursor = cache->config_watch.cursor < cache->prefix_watch.cursor
                         ? cache->config_watch.cursor
                         : cache->prefix_watch.cursor;

    return cursor > cache->peer_revision ? cursor : cache->peer_revision;
}

/* Returns the store revision up to which all items with the prefix of the
   settings are known here. */
int64_t
AprStoreCache_PrefixRevision(const AprStoreCache_t *cache)
{
    return MAX(cache->prefix_watch.cursor, cache->peer_revision);
}

/* Returns whether all items have been read at least once. */
bool
AprStoreCache_IsLoaded(const AprStoreCache_t *cache)
{
    return cache->config_watch.cursor > 0 && cache->prefix_watch.cursor > 0;
}

/* Returns whether the items of this process were known to be complete at some
   time. No request is answered by a configuration before that. */
bool
AprStoreCache_IsConfirmed(const AprStoreCache_t *cache)
{
    return cache->source_confirmed_ms != 0;
}

/* Returns whether the last call of the store did not fail and the store
   answered within the last two renewal intervals. */
bool
AprStoreCache_IsStoreReachable(const AprStoreCache_t *cache)
{
    return !cache->store_lost &&
           AprStoreCache_NowMs(cache) - cache->store_answered_ms <
               2 * AprRegistration_RenewIntervalMs(cache);
}

/* Writes the store key of the generation record of this host's backend server
   to `key`, and returns it. */
const char *
AprStoreCache_FormatGenerationKey(AprStoreCache_t *cache, char *key,
                                  size_t size)
{
    const AprGatewaySettings_t *settings = &cache->gateway->settings;

    snprintf(key, size, "%s" APR_GENERATION_KEY_PREFIX "%s",
             settings->store_prefix, settings->host);
    return key;
}

/* Writes the store key of a part of a service's key map to `key`, and returns
   it. */
const char *
AprStoreCache_FormatKeyMapKey(AprStoreCache_t *cache, const char *service,
                              int part, char *key, size_t size)
{
    snprintf(key, size, "%s" APR_KEY_MAP_KEY_PREFIX "%s/%d",
             cache->gateway->settings.store_prefix, service, part);
    return key;
}

/* Calls `visit` for each item with a revision above `after_revision` and a
   local change sequence above `after_sequence`, then once with `end_of_series`
   set and the revision up to which the list is complete. Returns the latest
   local change sequence, for the next call. */
int64_t
AprStoreCache_VisitChanges(AprStoreCache_t *cache, int64_t after_revision,
                           int64_t after_sequence, AprItemVisitor_t visit,
                           void *context)
{
    AprItemFrame_t frame = {0};

    for (int i = 0;
         after_sequence < cache->last_change_sequence && i < cache->item_count;
         i++) {
        const AprItem_t *item = &cache->items[i];

        if (item->revision <= after_revision ||
            item->change_sequence <= after_sequence) {
            continue;
        }
        frame.key = item->key;
        frame.key_size = strlen(item->key);
        frame.value = item->value;
        frame.value_size = item->value_size;
        frame.revision = item->revision;
        frame.lease_id = item->lease;
        frame.removed = item->removed;
        visit(context, &frame);
    }
    memset(&frame, 0, sizeof(frame));
    frame.end_of_series = true;
    frame.source_age_ms = AprItemSource_AgeMs(cache);
    frame.complete_revision = AprStoreCache_Revision(cache);
    visit(context, &frame);
    return cache->last_change_sequence;
}

/* Removes the items that are known from earlier eras only. To be called when
   all items of an era have arrived, `revision` being the last one. */
static void
remove_items_of_earlier_eras(AprStoreCache_t *cache, int64_t revision)
{
    for (int i = 0; i < cache->item_count; i++) {
        const AprItem_t *item = &cache->items[i];
        AprKvItem_t removal = {item->key, "", 0, revision, 0, true};

        if (!item->removed &&
            AprRevision_Era(item->revision) < AprRevision_Era(revision)) {
            AprStoreCache_ApplyItem(cache, &removal);
        }
    }
}

/* Applies an item, or the end of a list of items, that `host` sent. */
void
AprStoreCache_ApplyPeerItem(AprStoreCache_t *cache, const char *host,
                            const AprItemFrame_t *frame)
{
    AprKvItem_t item = {0};
    char *key;

    if (frame->end_of_series) {
        if (frame->complete_revision > cache->peer_revision) {
            if (AprRevision_Era(frame->complete_revision) !=
                AprRevision_Era(cache->peer_revision)) {
                remove_items_of_earlier_eras(cache, frame->complete_revision);
            }
            cache->peer_revision = frame->complete_revision;
        }
        if (frame->source_age_ms >= 0) {
            AprItemSource_ConfirmByPeer(cache, host, frame->source_age_ms);
        }
        AprItemSource_Forward(cache);
        return;
    }
    key = g_strndup(frame->key, frame->key_size);
    item.key = key;
    item.value = frame->value;
    item.value_size = frame->value_size;
    item.revision = frame->revision;
    item.lease = frame->lease_id;
    item.removed = frame->removed;
    g_strlcpy(cache->applying_from, host, sizeof(cache->applying_from));
    AprStoreCache_ApplyRemoteItem(cache, &item);
    cache->applying_from[0] = '\0';
    g_free(key);
}

/* Returns whether this host watches the store for the others. */
bool
AprStoreCache_IsWatcher(AprStoreCache_t *cache)
{
    return AprWatchers_IncludesSelf(&cache->watchers);
}

/* Returns whether this host watches the store, for the others or because it
   has no other source. */
bool
AprStoreCache_IsWatchingStore(const AprStoreCache_t *cache)
{
    return cache->watching_store;
}

/* Returns the milliseconds since the items were last known to be complete; -1:
   never. */
int64_t
AprStoreCache_ItemsAgeMs(const AprStoreCache_t *cache)
{
    return cache->source_confirmed_ms == 0
               ? -1
               : AprStoreCache_NowMs(cache) - cache->source_confirmed_ms;
}

/* Returns the name of the host that this host last subscribed to; "": none. */
const char *
AprStoreCache_Source(const AprStoreCache_t *cache)
{
    return cache->source;
}

/* Continues watches, subscription and lease. Called many times a second. */
void
AprStoreCache_Tick(AprStoreCache_t *cache)
{
    if (cache->stopping) {
        return;
    }
    AprStoreCache_CheckEra(cache);
    AprItemSource_Update(cache);
    if (AprStoreCache_PrefixRevision(cache) > 0) {
        AprRegistration_Advance(cache);
    }
    AprRegistration_ExtendAuthorityInOutage(cache);
}

/* Starts to read the store. */
void
AprStoreCache_Start(AprStoreCache_t *cache)
{
    AprStoreCache_Tick(cache);
}

/* Stops watches and lease renewal; AprStoreCache_Tick() then has no effect. */
void
AprStoreCache_Stop(AprStoreCache_t *cache)
{
    cache->stopping = true;
}
