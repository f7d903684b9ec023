/* Local copy of the items in the store: watches of the store, subscriptions to
   hosts that watch it, and the lease under which this host's entry is
   stored. */

#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "apricot/error.h"
#include "apricot/log.h"
#include "internal/gateway.h"
#include "internal/lease_timing.h"
#include "internal/watchers.h"

/* Store keys of each kind of item, relative to the prefix in the settings. */
#define MEMBER_KEY_PREFIX "hosts/"
#define KEY_MAP_KEY_PREFIX "keys/"
#define FENCE_KEY_PREFIX "fences/"
#define GENERATION_KEY_PREFIX "lives/"

#define STORE_KEY_SIZE 200

/* Time after which the store answers a watch without a change. A watch that
   arrives at the store during an outage is never answered, so changes go
   unnoticed until the next watch. */
#define WATCH_TIMEOUT_MS 4000

/* Pause before the next watch, so that changes which follow each other within
   this time are fetched together. */
#define WATCH_BATCH_MS 60

/* Base and limit of the exponential back-off after a refusal or failure of the
   store. The pause is a random time between half of the back-off and all of
   it. */
#define BACKOFF_MIN_MS 150
#define BACKOFF_MAX_MS 1500

/* Interval at which a host renews its subscription to a watcher. */
#define SUBSCRIBE_INTERVAL_MS 800

/* Time without a list of items from a host that reaches the store, after which
   this host subscribes to the next watcher. */
#define WATCHER_TIMEOUT_MS 1200

/* Time without a list of items from a host that reaches the store, after which
   this host watches the store itself. */
#define OWN_WATCH_FALLBACK_MS 2000

/* Time for which this host must lack items that another host has before it
   fetches them from there. Longer than a watch usually takes. */
#define CATCH_UP_DELAY_MS 400

typedef struct Item_t {
    char *key;
    char *value;
    size_t value_size;
    int64_t revision;
    int64_t lease;
    int64_t change_sequence; /* order in which changes reached this process */
    bool removed;
    bool seen_in_reload;
} Item_t;

/* Initial read, in pages, and watch of the keys with a prefix. */
typedef struct Watch_t {
    AprStoreCache_t *cache;
    char prefix[STORE_KEY_SIZE];
    bool loaded;  /* all pages were read */
    bool loading; /* some pages were read */
    bool call_pending;
    int64_t reload_revision;            /* revision of the first page */
    char last_page_key[STORE_KEY_SIZE]; /* the next page starts after it */
    int64_t cursor; /* revision up to which changes are known */
    int failures;   /* in a row */
    int64_t next_call_ms;
} Watch_t;

typedef enum LeaseStep_t {
    LEASE_NONE, /* a lease must be requested */
    LEASE_REQUESTED,
    LEASE_GRANTED, /* the entry must be written, and the fence removed */
    LEASE_WRITING_ENTRY,
    LEASE_REGISTERED /* the entry is stored; the lease must be renewed */
} LeaseStep_t;

struct AprStoreCache_t {
    AprGateway_t *gateway;
    Item_t *items;
    GHashTable *item_index; /* key -> index in `items` */
    int item_count;
    int item_capacity;
    int64_t last_change_sequence;
    Watch_t config_watch; /* the operators' configuration */
    Watch_t prefix_watch; /* all keys with the prefix of the settings */
    LeaseStep_t lease_step;
    int64_t lease_id;
    int lease_failures; /* in a row */
    int64_t next_lease_call_ms;
    bool renewal_pending;
    int64_t lease_call_sent_ms;   /* last renewal or write of the entry */
    int64_t peer_renewal_sent_ms; /* last renewal through another host */
    int64_t last_renewal_sent_ms; /* of the last success; 0: none */
    int next_renewal_peer;        /* counts up; modulo the member count */
    bool entry_changed;           /* the stored entry is out of date */
    char *stored_entry;
    char *pending_entry; /* being written */
    int64_t store_answered_ms;
    bool store_lost;
    int64_t peer_revision;    /* up to which other hosts sent all items */
    int64_t watcher_heard_ms; /* last list of a host that the store answers */
    int64_t subscribed_ms;
    AprWatchers_t watchers;
    int64_t watcher_since_ms; /* first use of the watcher; 0: none yet */
    int watcher_attempt;      /* selects the watcher to subscribe to */
    bool watching_store;
    int64_t behind_since_ms; /* another host has newer items; 0: none has */
    bool stopping;
};

static int64_t
current_time_ms(const AprStoreCache_t *cache)
{
    return AprGateway_NowMs(cache->gateway);
}

static int64_t
random_backoff_ms(int failures)
{
    int64_t span = BACKOFF_MIN_MS << (failures < 4 ? failures : 4);

    if (span > BACKOFF_MAX_MS) {
        span = BACKOFF_MAX_MS;
    }
    return span / 2 + g_random_int_range(0, (gint32)(span / 2 + 1));
}

/* Records whether the store answered a call, and logs each change of that. */
static void
record_store_result(AprStoreCache_t *cache, int code)
{
    bool failed = code == APR_E_UNAVAILABLE || code == APR_E_UNKNOWN_OUTCOME ||
                  code == APR_E_PARSE;

    if (!failed) {
        cache->store_answered_ms = current_time_ms(cache);
    }
    if (failed != cache->store_lost) {
        cache->store_lost = failed;
        AprLog_Write(failed ? APR_LOG_WARN : APR_LOG_INFO,
                     failed ? "store_lost" : "store_recovered", "error=%s",
                     AprError_Name(code));
    }
}

static Item_t *
find_item(AprStoreCache_t *cache, const char *key)
{
    gpointer index;

    if (!g_hash_table_lookup_extended(cache->item_index, key, NULL, &index)) {
        return NULL;
    }
    return &cache->items[GPOINTER_TO_INT(index)];
}

static Item_t *
add_item(AprStoreCache_t *cache, const char *key)
{
    Item_t *item;

    if (cache->item_count == cache->item_capacity) {
        int capacity =
            cache->item_capacity == 0 ? 32 : cache->item_capacity * 2;
        Item_t *grown =
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
                 "version=%llx routes=%d revision=%lld",
                 (unsigned long long)table->version, table->route_count,
                 (long long)item->revision);
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
    else if ((name = key_suffix(cache, item->key, MEMBER_KEY_PREFIX)) !=
             NULL) {
        AprMembers_ApplyEntry(gateway->members, name, item);
        if (strcmp(name, gateway->settings.host) == 0 && item->removed &&
            cache->lease_step == LEASE_REGISTERED) {
            cache->lease_step = LEASE_NONE;
            AprLog_Write(APR_LOG_WARN, "own_entry_removed", "revision=%lld",
                         (long long)item->revision);
        }
    }
    else if ((name = key_suffix(cache, item->key, KEY_MAP_KEY_PREFIX)) !=
             NULL) {
        AprOwnership_ApplyKeyMapPart(gateway->ownership, name, item);
    }
    else if ((name = key_suffix(cache, item->key, FENCE_KEY_PREFIX)) != NULL) {
        AprOwnership_ApplyFence(gateway->ownership, name, item);
    }
    else if ((name = key_suffix(cache, item->key, GENERATION_KEY_PREFIX)) !=
             NULL) {
        AprOwnership_ApplyGenerationRecord(gateway->ownership, name, item);
    }
}

/* Applies a new state of an item, or its removal, unless the same or a later
   revision is already known. Copies what it keeps of `update`. */
void
AprStoreCache_ApplyItem(AprStoreCache_t *cache, const AprKvItem_t *update)
{
    Item_t *item = find_item(cache, update->key);
    char *value;

    if (item != NULL && item->revision >= update->revision) {
        item->seen_in_reload = true;
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
    item->seen_in_reload = true;
    item->change_sequence = ++cache->last_change_sequence;
    dispatch_item(cache, update);
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

/* Removes the items with the watch's prefix that its reload did not return. */
static void
remove_unseen_items(AprStoreCache_t *cache, const Watch_t *watch)
{
    for (int i = 0; i < cache->item_count; i++) {
        Item_t *item = &cache->items[i];
        AprKvItem_t removal = {item->key, "",  0, watch->reload_revision,
                               0,         true};

        if (!item->seen_in_reload && !item->removed &&
            item->revision < watch->reload_revision &&
            strncmp(item->key, watch->prefix, strlen(watch->prefix)) == 0) {
            AprStoreCache_ApplyItem(cache, &removal);
        }
    }
}

static void
back_off_watch(Watch_t *watch, int code)
{
    watch->failures++;
    watch->next_call_ms =
        current_time_ms(watch->cache) + random_backoff_ms(watch->failures);
    record_store_result(watch->cache, code);
}

static void
on_range_page(void *context, const AprKvResult_t *result)
{
    Watch_t *watch = context;
    AprStoreCache_t *cache = watch->cache;

    watch->call_pending = false;
    if (result->code != APR_OK) {
        back_off_watch(watch, result->code);
        watch->loading = false;
        return;
    }
    record_store_result(cache, APR_OK);
    watch->failures = 0;
    if (watch->last_page_key[0] == '\0') {
        watch->reload_revision = result->revision;
    }
    for (int i = 0; i < result->item_count; i++) {
        AprStoreCache_ApplyItem(cache, &result->items[i]);
    }
    if (result->has_more && result->item_count > 0) {
        g_strlcpy(watch->last_page_key,
                  result->items[result->item_count - 1].key,
                  sizeof(watch->last_page_key));
        return;
    }
    remove_unseen_items(cache, watch);
    watch->loading = false;
    watch->loaded = true;
    watch->cursor = watch->reload_revision;
}

static void
on_watch_events(void *context, const AprKvResult_t *result)
{
    Watch_t *watch = context;
    AprStoreCache_t *cache = watch->cache;

    watch->call_pending = false;
    if (result->code == APR_E_STALE) {
        AprLog_Write(APR_LOG_INFO, "watch_restarted",
                     "prefix=%s cursor=%lld reason=history_gone",
                     watch->prefix, (long long)watch->cursor);
        watch->loaded = false;
        return;
    }
    if (result->code != APR_OK) {
        back_off_watch(watch, result->code);
        return;
    }
    record_store_result(cache, APR_OK);
    watch->failures = 0;
    for (int i = 0; i < result->item_count; i++) {
        AprStoreCache_ApplyItem(cache, &result->items[i]);
    }
    if (result->revision > watch->cursor) {
        watch->cursor = result->revision;
    }
    if (result->item_count > 0) {
        AprLinks_SendChangedItems(cache->gateway->links);
    }
    watch->next_call_ms = current_time_ms(cache) + WATCH_BATCH_MS;
}

static void
start_reload(Watch_t *watch)
{
    AprStoreCache_t *cache = watch->cache;

    watch->loading = true;
    watch->last_page_key[0] = '\0';
    for (int i = 0; i < cache->item_count; i++) {
        Item_t *item = &cache->items[i];

        if (strncmp(item->key, watch->prefix, strlen(watch->prefix)) == 0) {
            item->seen_in_reload = false;
        }
    }
}

static void
advance_watch(Watch_t *watch)
{
    AprStoreCache_t *cache = watch->cache;
    const AprKvStore_t *kv = cache->gateway->kv;

    if (watch->call_pending || current_time_ms(cache) < watch->next_call_ms) {
        return;
    }
    watch->call_pending = true;
    if (!watch->loaded) {
        if (!watch->loading) {
            start_reload(watch);
        }
        kv->range(kv->self, watch->prefix, watch->last_page_key, on_range_page,
                  watch);
        return;
    }
    kv->watch(kv->self, watch->prefix, watch->cursor, WATCH_TIMEOUT_MS,
              on_watch_events, watch);
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
    g_strlcpy(cache->config_watch.prefix, gateway->config_key,
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
    free(cache->stored_entry);
    free(cache->pending_entry);
    free(cache);
}

static void
extend_authority(AprStoreCache_t *cache, int64_t sent_ms)
{
    cache->last_renewal_sent_ms = sent_ms;
    AprOwnership_ExtendAuthority(cache->gateway->ownership,
                                 sent_ms + APR_GRANT_AUTHORITY_MS);
}

static void
back_off_lease(AprStoreCache_t *cache, int code)
{
    cache->lease_failures++;
    cache->next_lease_call_ms =
        current_time_ms(cache) + random_backoff_ms(cache->lease_failures);
    record_store_result(cache, code);
}

static void
on_entry_written(void *context, const AprKvResult_t *result)
{
    AprStoreCache_t *cache = context;

    if (result->code == APR_OK) {
        record_store_result(cache, APR_OK);
        cache->lease_step = LEASE_REGISTERED;
        cache->lease_failures = 0;
        cache->next_lease_call_ms =
            current_time_ms(cache) + APR_LEASE_RENEW_INTERVAL_MS;
        free(cache->stored_entry);
        cache->stored_entry = cache->pending_entry;
        cache->pending_entry = NULL;
        extend_authority(cache, cache->lease_call_sent_ms);
        AprLog_Write(APR_LOG_INFO, "registered", "lease=%lld revision=%lld",
                     (long long)cache->lease_id, (long long)result->revision);
        return;
    }
    free(cache->pending_entry);
    cache->pending_entry = NULL;
    cache->lease_step =
        result->code == APR_E_NOT_FOUND ? LEASE_NONE : LEASE_GRANTED;
    back_off_lease(cache, result->code);
}

static void
write_entry(AprStoreCache_t *cache)
{
    const AprKvStore_t *kv = cache->gateway->kv;
    const AprGatewaySettings_t *settings = &cache->gateway->settings;
    char member[STORE_KEY_SIZE];
    char fence[STORE_KEY_SIZE];
    AprKvTransaction_t transaction = {0};

    cache->pending_entry = AprMembers_FormatOwnEntry(cache->gateway);
    if (cache->pending_entry == NULL) {
        back_off_lease(cache, APR_E_NOMEM);
        return;
    }
    snprintf(member, sizeof(member), "%s" MEMBER_KEY_PREFIX "%s",
             settings->store_prefix, settings->host);
    snprintf(fence, sizeof(fence), "%s" FENCE_KEY_PREFIX "%s",
             settings->store_prefix, settings->host);
    transaction.write_count = 1;
    transaction.writes[0].key = member;
    transaction.writes[0].value = cache->pending_entry;
    transaction.writes[0].value_size = strlen(cache->pending_entry);
    transaction.writes[0].lease = cache->lease_id;
    if (cache->lease_step == LEASE_GRANTED) {
        transaction.removal_count = 1;
        transaction.removals[0] = fence;
    }
    cache->lease_step = LEASE_WRITING_ENTRY;
    cache->entry_changed = false;
    cache->lease_call_sent_ms = current_time_ms(cache);
    kv->commit(kv->self, &transaction, on_entry_written, cache);
}

static void
on_lease_granted(void *context, const AprKvResult_t *result)
{
    AprStoreCache_t *cache = context;

    if (result->code != APR_OK) {
        cache->lease_step = LEASE_NONE;
        back_off_lease(cache, result->code);
        return;
    }
    record_store_result(cache, APR_OK);
    cache->lease_id = result->lease;
    cache->lease_step = LEASE_GRANTED;
}

static void
on_lease_renewed(void *context, const AprKvResult_t *result)
{
    AprStoreCache_t *cache = context;

    cache->renewal_pending = false;
    if (result->code == APR_OK) {
        record_store_result(cache, APR_OK);
        cache->lease_failures = 0;
        cache->next_lease_call_ms =
            current_time_ms(cache) + APR_LEASE_RENEW_INTERVAL_MS;
        if (cache->lease_step == LEASE_REGISTERED) {
            extend_authority(cache, cache->lease_call_sent_ms);
        }
        return;
    }
    if (result->code == APR_E_NOT_FOUND) {
        AprLog_Write(APR_LOG_WARN, "lease_ended", "lease=%lld",
                     (long long)cache->lease_id);
        cache->lease_step = LEASE_NONE;
        return;
    }
    back_off_lease(cache, result->code);
}

/* Asks another host to renew the lease of this one; each call asks the next
   host that can be reached. */
static void
renew_through_peer(AprStoreCache_t *cache)
{
    AprGateway_t *gateway = cache->gateway;
    int count = AprMembers_Count(gateway->members);
    int64_t now_ms = current_time_ms(cache);

    for (int i = 0; i < count; i++) {
        const AprHost_t *member = AprMembers_At(
            gateway->members, cache->next_renewal_peer++ % count);

        if (member->is_self ||
            !AprLinks_IsHostAlive(gateway->links, member->host)) {
            continue;
        }
        cache->peer_renewal_sent_ms = now_ms;
        AprLinks_RequestLeaseRenewal(gateway->links, member->host,
                                     cache->lease_id);
        return;
    }
}

static void
advance_lease(AprStoreCache_t *cache)
{
    const AprKvStore_t *kv = cache->gateway->kv;
    int64_t now_ms = current_time_ms(cache);

    if (now_ms < cache->next_lease_call_ms) {
        return;
    }
    switch (cache->lease_step) {
    case LEASE_NONE:
        cache->lease_step = LEASE_REQUESTED;
        kv->create_lease(kv->self, APR_LEASE_TTL_MS, on_lease_granted, cache);
        break;
    case LEASE_GRANTED:
        write_entry(cache);
        break;
    case LEASE_REGISTERED:
        if (cache->renewal_pending) {
            break;
        }
        if (cache->entry_changed) {
            write_entry(cache);
            break;
        }
        cache->renewal_pending = true;
        cache->lease_call_sent_ms = now_ms;
        kv->renew_lease(kv->self, cache->lease_id, on_lease_renewed, cache);
        if (cache->lease_failures > 0) {
            renew_through_peer(cache);
        }
        break;
    default:
        break;
    }
}

typedef struct PeerRenewal_t {
    AprStoreCache_t *cache;
    char host[APR_NAME_SIZE];
    int64_t lease;
} PeerRenewal_t;

static void
on_peer_lease_renewed(void *context, const AprKvResult_t *result)
{
    PeerRenewal_t *renewal = context;
    AprStoreCache_t *cache = renewal->cache;

    AprLinks_SendRenewalResult(cache->gateway->links, renewal->host,
                               renewal->lease,
                               result->code == APR_OK ? 0 : -1);
    free(renewal);
}

/* Renews the lease of another host that cannot reach the store, and sends that
   host the result. Does nothing while the store does not answer here. */
void
AprStoreCache_RenewPeerLease(AprStoreCache_t *cache, const char *host,
                             int64_t lease)
{
    const AprKvStore_t *kv = cache->gateway->kv;
    PeerRenewal_t *renewal;

    if (!AprStoreCache_IsStoreReachable(cache)) {
        return;
    }
    renewal = calloc(1, sizeof(*renewal));
    if (renewal == NULL) {
        return;
    }
    renewal->cache = cache;
    g_strlcpy(renewal->host, host, sizeof(renewal->host));
    renewal->lease = lease;
    kv->renew_lease(kv->self, lease, on_peer_lease_renewed, renewal);
}

/* Handles the result of a renewal through another host; a negative `age_ms`
   means that the renewal failed. The authority to grant keys counts from this
   host's last request for a renewal to another host. */
void
AprStoreCache_OnPeerRenewalResult(AprStoreCache_t *cache, int64_t lease,
                                  int64_t age_ms)
{
    if (age_ms < 0 || lease != cache->lease_id ||
        cache->lease_step != LEASE_REGISTERED) {
        return;
    }
    extend_authority(cache, cache->peer_renewal_sent_ms);
}

/* Writes this host's entry to the store again when it has changed. */
void
AprStoreCache_PublishOwnEntry(AprStoreCache_t *cache)
{
    char *entry = AprMembers_FormatOwnEntry(cache->gateway);

    if (entry != NULL && (cache->stored_entry == NULL ||
                          strcmp(entry, cache->stored_entry) != 0)) {
        cache->entry_changed = true;
        if (cache->lease_step == LEASE_REGISTERED && !cache->renewal_pending) {
            cache->next_lease_call_ms = 0;
        }
    }
    free(entry);
    advance_lease(cache);
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

/* Returns whether all items have been read at least once. */
bool
AprStoreCache_IsLoaded(const AprStoreCache_t *cache)
{
    return cache->config_watch.cursor > 0 && cache->prefix_watch.cursor > 0;
}

/* Returns whether the last call of the store did not fail and the store
   answered within the last two renewal intervals. */
bool
AprStoreCache_IsStoreReachable(const AprStoreCache_t *cache)
{
    return !cache->store_lost &&
           current_time_ms(cache) - cache->store_answered_ms <
               2 * APR_LEASE_RENEW_INTERVAL_MS;
}

/* Writes the store key of the generation record of this host's backend server
   to `key`, and returns it. */
const char *
AprStoreCache_FormatGenerationKey(AprStoreCache_t *cache, char *key,
                                  size_t size)
{
    const AprGatewaySettings_t *settings = &cache->gateway->settings;

    snprintf(key, size, "%s" GENERATION_KEY_PREFIX "%s",
             settings->store_prefix, settings->host);
    return key;
}

/* Writes the store key of a part of a service's key map to `key`, and returns
   it. */
const char *
AprStoreCache_FormatKeyMapKey(AprStoreCache_t *cache, const char *service,
                              int part, char *key, size_t size)
{
    snprintf(key, size, "%s" KEY_MAP_KEY_PREFIX "%s/%d",
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
        const Item_t *item = &cache->items[i];

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
    frame.store_lost = !AprStoreCache_IsStoreReachable(cache) ||
                       !AprStoreCache_IsWatcher(cache);
    frame.complete_revision = AprStoreCache_Revision(cache);
    visit(context, &frame);
    return cache->last_change_sequence;
}

/* Applies an item, or the end of a list of items, that another host sent. */
void
AprStoreCache_ApplyPeerItem(AprStoreCache_t *cache,
                            const AprItemFrame_t *frame)
{
    AprKvItem_t item = {0};
    char *key;

    if (frame->end_of_series) {
        if (frame->complete_revision > cache->peer_revision) {
            cache->peer_revision = frame->complete_revision;
        }
        if (!frame->store_lost) {
            cache->watcher_heard_ms = current_time_ms(cache);
        }
        return;
    }
    key = g_strndup(frame->key, frame->key_size);
    item.key = key;
    item.value = frame->value;
    item.value_size = frame->value_size;
    item.revision = frame->revision;
    item.lease = frame->lease_id;
    item.removed = frame->removed;
    AprStoreCache_ApplyItem(cache, &item);
    g_free(key);
}

/* Extends the authority to grant keys during an outage of the store. While the
   store answers no call of most hosts, no host can take the keys over. */
static void
extend_authority_in_outage(AprStoreCache_t *cache)
{
    AprGateway_t *gateway = cache->gateway;
    int64_t now_ms = current_time_ms(cache);
    int64_t since_ms;

    if (cache->last_renewal_sent_ms == 0 ||
        AprStoreCache_IsStoreReachable(cache) ||
        now_ms - cache->last_renewal_sent_ms > APR_OUTAGE_AUTHORITY_MAX_MS) {
        return;
    }
    for (int i = 0; i < AprMembers_Count(gateway->members); i++) {
        const AprHost_t *member = AprMembers_At(gateway->members, i);

        if (!member->is_self) {
            AprLinks_Ping(gateway->links, member->host);
        }
    }
    since_ms = AprMembers_StoreOutageSinceMs(gateway->members);
    if (since_ms != 0) {
        AprOwnership_ExtendAuthority(gateway->ownership,
                                     since_ms + APR_OUTAGE_AUTHORITY_MS);
    }
}

/* Fetches items from a host with a newer revision when this host has not
   received them within CATCH_UP_DELAY_MS. */
static void
fetch_from_newer_peer(AprStoreCache_t *cache)
{
    AprGateway_t *gateway = cache->gateway;
    int64_t revision = AprStoreCache_Revision(cache);
    int64_t now_ms = current_time_ms(cache);
    const AprHost_t *ahead = NULL;

    for (int i = 0; i < AprMembers_Count(gateway->members); i++) {
        const AprHost_t *member = AprMembers_At(gateway->members, i);

        if (member->load_report_ms != 0 &&
            member->load_report.known_revision > revision &&
            !member->is_self) {
            ahead = member;
        }
    }
    if (ahead == NULL) {
        cache->behind_since_ms = 0;
    }
    else if (cache->behind_since_ms == 0) {
        cache->behind_since_ms = now_ms;
    }
    else if (now_ms - cache->behind_since_ms > CATCH_UP_DELAY_MS) {
        cache->behind_since_ms = now_ms;
        AprLinks_SubscribeToItems(gateway->links, ahead->host, revision);
    }
}

/* Returns whether this host watches the store for the others. */
bool
AprStoreCache_IsWatcher(AprStoreCache_t *cache)
{
    return AprWatchers_IncludesSelf(&cache->watchers);
}

/* Renews the subscription to a host that watches the store. Returns false when
   no host that reaches the store has sent its list of items for
   OWN_WATCH_FALLBACK_MS although the store answers this host, which then must
   watch the store itself. */
static bool
subscribe_to_watcher(AprStoreCache_t *cache)
{
    int64_t now_ms = current_time_ms(cache);
    int64_t unheard_ms = now_ms - cache->watcher_heard_ms;
    const char *source;

    if (cache->watcher_since_ms == 0) {
        cache->watcher_since_ms = now_ms;
    }
    else if (unheard_ms > WATCHER_TIMEOUT_MS &&
             now_ms - cache->watcher_since_ms > WATCHER_TIMEOUT_MS) {
        cache->watcher_attempt++;
        cache->watcher_since_ms = now_ms;
        cache->subscribed_ms = 0;
    }
    if (now_ms - cache->subscribed_ms >= SUBSCRIBE_INTERVAL_MS) {
        cache->subscribed_ms = now_ms;
        source =
            AprWatchers_ForAttempt(&cache->watchers, cache->watcher_attempt);
        if (source != NULL) {
            AprLinks_SubscribeToItems(cache->gateway->links, source,
                                      AprStoreCache_Revision(cache));
        }
    }
    return unheard_ms <= OWN_WATCH_FALLBACK_MS ||
           !AprStoreCache_IsStoreReachable(cache);
}

/* Decides whether this host watches the store itself or subscribes to a
   watcher, and continues its own watches. */
static void
update_item_source(AprStoreCache_t *cache)
{
    bool watch = !cache->config_watch.loaded || !cache->prefix_watch.loaded ||
                 AprStoreCache_IsWatcher(cache) ||
                 !subscribe_to_watcher(cache);

    if (watch != cache->watching_store) {
        cache->watching_store = watch;
        AprLog_Write(APR_LOG_INFO, "watching", "own=%d revision=%lld", watch,
                     (long long)AprStoreCache_Revision(cache));
    }
    if (!watch) {
        return;
    }
    if (cache->peer_revision > cache->config_watch.cursor &&
        cache->config_watch.loaded) {
        cache->config_watch.cursor = cache->peer_revision;
    }
    if (cache->peer_revision > cache->prefix_watch.cursor &&
        cache->prefix_watch.loaded) {
        cache->prefix_watch.cursor = cache->peer_revision;
    }
    advance_watch(&cache->config_watch);
    advance_watch(&cache->prefix_watch);
}

/* Continues watches, subscription and lease. Called many times a second. */
void
AprStoreCache_Tick(AprStoreCache_t *cache)
{
    if (cache->stopping) {
        return;
    }
    update_item_source(cache);
    if (cache->prefix_watch.loaded) {
        advance_lease(cache);
    }
    fetch_from_newer_peer(cache);
    extend_authority_in_outage(cache);
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
