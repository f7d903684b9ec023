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
#include "internal/authority.h"
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
    AprReplica_t *replica;
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

struct AprReplica_t {
    AprGateway_t *gateway;
    Item_t *items;
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
current_time_ms(const AprReplica_t *replica)
{
    return AprGateway_NowMs(replica->gateway);
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
record_store_result(AprReplica_t *replica, int code)
{
    bool failed = code == APR_E_UNAVAILABLE || code == APR_E_UNKNOWN ||
                  code == APR_E_PARSE;

    if (!failed) {
        replica->store_answered_ms = current_time_ms(replica);
    }
    if (failed != replica->store_lost) {
        replica->store_lost = failed;
        AprLog_Write(failed ? APR_LOG_WARN : APR_LOG_INFO,
                     failed ? "store_lost" : "store_found", "error=%s",
                     AprError_Name(code));
    }
}

static Item_t *
find_item(AprReplica_t *replica, const char *key)
{
    for (int i = 0; i < replica->item_count; i++) {
        if (strcmp(replica->items[i].key, key) == 0) {
            return &replica->items[i];
        }
    }
    return NULL;
}

static Item_t *
add_item(AprReplica_t *replica, const char *key)
{
    Item_t *item;

    if (replica->item_count == replica->item_capacity) {
        int capacity =
            replica->item_capacity == 0 ? 32 : replica->item_capacity * 2;
        Item_t *grown =
            realloc(replica->items, (size_t)capacity * sizeof(*grown));

        if (grown == NULL) {
            return NULL;
        }
        replica->items = grown;
        replica->item_capacity = capacity;
    }
    item = &replica->items[replica->item_count];
    memset(item, 0, sizeof(*item));
    item->key = strdup(key);
    if (item->key == NULL) {
        return NULL;
    }
    replica->item_count++;
    return item;
}

static void
apply_config(AprReplica_t *replica, const AprKvItem_t *item)
{
    AprGateway_t *gateway = replica->gateway;
    AprRouteTable_t *table = NULL;
    AprError_t error = {0};

    if (item->removed) {
        return;
    }
    if (gateway->read_routes(item->value, item->value_size, &table, &error) !=
        APR_OK) {
        AprLog_Write(APR_LOG_ERROR, "config_unreadable",
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
key_suffix(const AprReplica_t *replica, const char *key, const char *subfolder)
{
    const char *prefix = replica->gateway->settings.store_prefix;
    size_t size = strlen(prefix);

    if (strncmp(key, prefix, size) != 0 ||
        strncmp(key + size, subfolder, strlen(subfolder)) != 0) {
        return NULL;
    }
    return key + size + strlen(subfolder);
}

static void
dispatch_item(AprReplica_t *replica, const AprKvItem_t *item)
{
    AprGateway_t *gateway = replica->gateway;
    const char *name;

    if (strcmp(item->key, gateway->config_key) == 0) {
        apply_config(replica, item);
    }
    else if ((name = key_suffix(replica, item->key, MEMBER_KEY_PREFIX)) !=
             NULL) {
        AprMembers_Apply(gateway->members, name, item);
        if (strcmp(name, gateway->settings.host) == 0 && item->removed &&
            replica->lease_step == LEASE_REGISTERED) {
            replica->lease_step = LEASE_NONE;
            AprLog_Write(APR_LOG_WARN, "own_entry_removed", "revision=%lld",
                         (long long)item->revision);
        }
    }
    else if ((name = key_suffix(replica, item->key, KEY_MAP_KEY_PREFIX)) !=
             NULL) {
        AprOwnership_ApplyMap(gateway->ownership, name, item);
    }
    else if ((name = key_suffix(replica, item->key, FENCE_KEY_PREFIX)) !=
             NULL) {
        AprOwnership_ApplyFence(gateway->ownership, name, item);
    }
    else if ((name = key_suffix(replica, item->key, GENERATION_KEY_PREFIX)) !=
             NULL) {
        AprOwnership_ApplyLife(gateway->ownership, name, item);
    }
}

/* Applies a new state of an item, or its removal, unless the same or a later
   revision is already known. Copies what it keeps of `update`. */
void
AprReplica_Apply(AprReplica_t *replica, const AprKvItem_t *update)
{
    Item_t *item = find_item(replica, update->key);
    char *value;

    if (item != NULL && item->revision >= update->revision) {
        item->seen_in_reload = true;
        return;
    }
    value = malloc(update->value_size + 1);
    if (item == NULL) {
        item = add_item(replica, update->key);
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
    item->change_sequence = ++replica->last_change_sequence;
    dispatch_item(replica, update);
}

/* Applies the present items that the store returned with a change whose
   conditions failed. Has no effect for any other result. */
void
AprReplica_ApplyConflict(AprReplica_t *replica, const AprKvResult_t *result)
{
    for (int i = 0; result->code == APR_E_CONFLICT && i < result->item_count;
         i++) {
        AprReplica_Apply(replica, &result->items[i]);
    }
}

/* Removes the items with the watch's prefix that its reload did not return. */
static void
remove_unseen_items(AprReplica_t *replica, const Watch_t *watch)
{
    for (int i = 0; i < replica->item_count; i++) {
        Item_t *item = &replica->items[i];
        AprKvItem_t removal = {item->key, "",  0, watch->reload_revision,
                               0,         true};

        if (!item->seen_in_reload && !item->removed &&
            item->revision < watch->reload_revision &&
            strncmp(item->key, watch->prefix, strlen(watch->prefix)) == 0) {
            AprReplica_Apply(replica, &removal);
        }
    }
}

static void
back_off_watch(Watch_t *watch, int code)
{
    watch->failures++;
    watch->next_call_ms =
        current_time_ms(watch->replica) + random_backoff_ms(watch->failures);
    record_store_result(watch->replica, code);
}

static void
on_range_page(void *context, const AprKvResult_t *result)
{
    Watch_t *watch = context;
    AprReplica_t *replica = watch->replica;

    watch->call_pending = false;
    if (result->code != APR_OK) {
        back_off_watch(watch, result->code);
        watch->loading = false;
        return;
    }
    record_store_result(replica, APR_OK);
    watch->failures = 0;
    if (watch->last_page_key[0] == '\0') {
        watch->reload_revision = result->revision;
    }
    for (int i = 0; i < result->item_count; i++) {
        AprReplica_Apply(replica, &result->items[i]);
    }
    if (result->more && result->item_count > 0) {
        g_strlcpy(watch->last_page_key,
                  result->items[result->item_count - 1].key,
                  sizeof(watch->last_page_key));
        return;
    }
    remove_unseen_items(replica, watch);
    watch->loading = false;
    watch->loaded = true;
    watch->cursor = watch->reload_revision;
}

static void
on_watch_events(void *context, const AprKvResult_t *result)
{
    Watch_t *watch = context;
    AprReplica_t *replica = watch->replica;

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
    record_store_result(replica, APR_OK);
    watch->failures = 0;
    for (int i = 0; i < result->item_count; i++) {
        AprReplica_Apply(replica, &result->items[i]);
    }
    if (result->revision > watch->cursor) {
        watch->cursor = result->revision;
    }
    if (result->item_count > 0) {
        AprLinks_PushItems(replica->gateway->links);
    }
    watch->next_call_ms = current_time_ms(replica) + WATCH_BATCH_MS;
}

static void
start_reload(Watch_t *watch)
{
    AprReplica_t *replica = watch->replica;

    watch->loading = true;
    watch->last_page_key[0] = '\0';
    for (int i = 0; i < replica->item_count; i++) {
        Item_t *item = &replica->items[i];

        if (strncmp(item->key, watch->prefix, strlen(watch->prefix)) == 0) {
            item->seen_in_reload = false;
        }
    }
}

static void
advance_watch(Watch_t *watch)
{
    AprReplica_t *replica = watch->replica;
    const AprKv_t *kv = replica->gateway->kv;

    if (watch->call_pending ||
        current_time_ms(replica) < watch->next_call_ms) {
        return;
    }
    watch->call_pending = true;
    if (!watch->loaded) {
        if (!watch->loading) {
            start_reload(watch);
        }
        kv->range(kv->service, watch->prefix, watch->last_page_key,
                  on_range_page, watch);
        return;
    }
    kv->watch(kv->service, watch->prefix, watch->cursor, WATCH_TIMEOUT_MS,
              on_watch_events, watch);
}

/* Creates an empty copy, which reads nothing until AprReplica_Start(). Returns
   NULL when memory runs out. */
AprReplica_t *
AprReplica_New(AprGateway_t *gateway)
{
    AprReplica_t *replica = calloc(1, sizeof(*replica));

    if (replica == NULL) {
        return NULL;
    }
    replica->gateway = gateway;
    AprWatchers_Init(&replica->watchers, gateway->members, &gateway->settings);
    replica->config_watch.replica = replica;
    replica->prefix_watch.replica = replica;
    g_strlcpy(replica->config_watch.prefix, gateway->config_key,
              sizeof(replica->config_watch.prefix));
    g_strlcpy(replica->prefix_watch.prefix, gateway->settings.store_prefix,
              sizeof(replica->prefix_watch.prefix));
    return replica;
}

/* Frees the copy and its items. `replica` may be NULL. */
void
AprReplica_Free(AprReplica_t *replica)
{
    if (replica == NULL) {
        return;
    }
    for (int i = 0; i < replica->item_count; i++) {
        free(replica->items[i].key);
        free(replica->items[i].value);
    }
    AprWatchers_Clear(&replica->watchers);
    free(replica->items);
    free(replica->stored_entry);
    free(replica->pending_entry);
    free(replica);
}

static void
extend_authority(AprReplica_t *replica, int64_t sent_ms)
{
    replica->last_renewal_sent_ms = sent_ms;
    AprOwnership_Authorize(replica->gateway->ownership,
                           sent_ms + APR_GRANT_AUTHORITY_MS);
}

static void
back_off_lease(AprReplica_t *replica, int code)
{
    replica->lease_failures++;
    replica->next_lease_call_ms =
        current_time_ms(replica) + random_backoff_ms(replica->lease_failures);
    record_store_result(replica, code);
}

static void
on_entry_written(void *context, const AprKvResult_t *result)
{
    AprReplica_t *replica = context;

    if (result->code == APR_OK) {
        record_store_result(replica, APR_OK);
        replica->lease_step = LEASE_REGISTERED;
        replica->lease_failures = 0;
        replica->next_lease_call_ms = current_time_ms(replica) + APR_RENEW_MS;
        free(replica->stored_entry);
        replica->stored_entry = replica->pending_entry;
        replica->pending_entry = NULL;
        extend_authority(replica, replica->lease_call_sent_ms);
        AprLog_Write(APR_LOG_INFO, "registered", "lease=%lld revision=%lld",
                     (long long)replica->lease_id,
                     (long long)result->revision);
        return;
    }
    free(replica->pending_entry);
    replica->pending_entry = NULL;
    replica->lease_step =
        result->code == APR_E_NOT_FOUND ? LEASE_NONE : LEASE_GRANTED;
    back_off_lease(replica, result->code);
}

static void
write_entry(AprReplica_t *replica)
{
    const AprKv_t *kv = replica->gateway->kv;
    const AprGatewaySettings_t *settings = &replica->gateway->settings;
    char member[STORE_KEY_SIZE];
    char fence[STORE_KEY_SIZE];
    AprKvChange_t change = {0};

    replica->pending_entry = AprMembers_OwnEntry(replica->gateway);
    if (replica->pending_entry == NULL) {
        back_off_lease(replica, APR_E_NOMEM);
        return;
    }
    snprintf(member, sizeof(member), "%s" MEMBER_KEY_PREFIX "%s",
             settings->store_prefix, settings->host);
    snprintf(fence, sizeof(fence), "%s" FENCE_KEY_PREFIX "%s",
             settings->store_prefix, settings->host);
    change.write_count = 1;
    change.writes[0].key = member;
    change.writes[0].value = replica->pending_entry;
    change.writes[0].value_size = strlen(replica->pending_entry);
    change.writes[0].lease = replica->lease_id;
    if (replica->lease_step == LEASE_GRANTED) {
        change.removal_count = 1;
        change.removals[0] = fence;
    }
    replica->lease_step = LEASE_WRITING_ENTRY;
    replica->entry_changed = false;
    replica->lease_call_sent_ms = current_time_ms(replica);
    kv->change(kv->service, &change, on_entry_written, replica);
}

static void
on_lease_granted(void *context, const AprKvResult_t *result)
{
    AprReplica_t *replica = context;

    if (result->code != APR_OK) {
        replica->lease_step = LEASE_NONE;
        back_off_lease(replica, result->code);
        return;
    }
    record_store_result(replica, APR_OK);
    replica->lease_id = result->lease;
    replica->lease_step = LEASE_GRANTED;
}

static void
on_lease_renewed(void *context, const AprKvResult_t *result)
{
    AprReplica_t *replica = context;

    replica->renewal_pending = false;
    if (result->code == APR_OK) {
        record_store_result(replica, APR_OK);
        replica->lease_failures = 0;
        replica->next_lease_call_ms = current_time_ms(replica) + APR_RENEW_MS;
        if (replica->lease_step == LEASE_REGISTERED) {
            extend_authority(replica, replica->lease_call_sent_ms);
        }
        return;
    }
    if (result->code == APR_E_NOT_FOUND) {
        AprLog_Write(APR_LOG_WARN, "lease_ended", "lease=%lld",
                     (long long)replica->lease_id);
        replica->lease_step = LEASE_NONE;
        return;
    }
    back_off_lease(replica, result->code);
}

/* Asks another host to renew the lease of this one; each call asks the next
   host that can be reached. */
static void
renew_through_peer(AprReplica_t *replica)
{
    AprGateway_t *gateway = replica->gateway;
    int count = AprMembers_Count(gateway->members);
    int64_t now_ms = current_time_ms(replica);

    for (int i = 0; i < count; i++) {
        const AprHost_t *member = AprMembers_At(
            gateway->members, replica->next_renewal_peer++ % count);

        if (strcmp(member->host, gateway->settings.host) == 0 ||
            !AprLinks_IsAlive(gateway->links, member->host)) {
            continue;
        }
        replica->peer_renewal_sent_ms = now_ms;
        AprLinks_Renew(gateway->links, member->host, replica->lease_id);
        return;
    }
}

static void
advance_lease(AprReplica_t *replica)
{
    const AprKv_t *kv = replica->gateway->kv;
    int64_t now_ms = current_time_ms(replica);

    if (now_ms < replica->next_lease_call_ms) {
        return;
    }
    switch (replica->lease_step) {
    case LEASE_NONE:
        replica->lease_step = LEASE_REQUESTED;
        kv->lease(kv->service, APR_LEASE_TTL_MS, on_lease_granted, replica);
        break;
    case LEASE_GRANTED:
        write_entry(replica);
        break;
    case LEASE_REGISTERED:
        if (replica->renewal_pending) {
            break;
        }
        if (replica->entry_changed) {
            write_entry(replica);
            break;
        }
        replica->renewal_pending = true;
        replica->lease_call_sent_ms = now_ms;
        kv->renew(kv->service, replica->lease_id, on_lease_renewed, replica);
        if (replica->lease_failures > 0) {
            renew_through_peer(replica);
        }
        break;
    default:
        break;
    }
}

typedef struct PeerRenewal_t {
    AprReplica_t *replica;
    char host[APR_NAME_SIZE];
    int64_t lease;
} PeerRenewal_t;

static void
on_peer_lease_renewed(void *context, const AprKvResult_t *result)
{
    PeerRenewal_t *renewal = context;
    AprReplica_t *replica = renewal->replica;

    AprLinks_AnswerRenew(replica->gateway->links, renewal->host,
                         renewal->lease, result->code == APR_OK ? 0 : -1);
    free(renewal);
}

/* Renews the lease of another host that cannot reach the store, and sends that
   host the result. Does nothing while the store does not answer here. */
void
AprReplica_RenewFor(AprReplica_t *replica, const char *host, int64_t lease)
{
    const AprKv_t *kv = replica->gateway->kv;
    PeerRenewal_t *renewal;

    if (!AprReplica_StoreWorks(replica)) {
        return;
    }
    renewal = calloc(1, sizeof(*renewal));
    if (renewal == NULL) {
        return;
    }
    renewal->replica = replica;
    g_strlcpy(renewal->host, host, sizeof(renewal->host));
    renewal->lease = lease;
    kv->renew(kv->service, lease, on_peer_lease_renewed, renewal);
}

/* Handles the result of a renewal through another host; a negative `age_ms`
   means that the renewal failed. The authority to grant keys counts from the
   time at which that renewal was requested. */
void
AprReplica_Renewed(AprReplica_t *replica, int64_t lease, int64_t age_ms)
{
    if (age_ms < 0 || lease != replica->lease_id ||
        replica->lease_step != LEASE_REGISTERED) {
        return;
    }
    extend_authority(replica, replica->peer_renewal_sent_ms);
}

/* Writes this host's entry to the store again when it has changed. */
void
AprReplica_Publish(AprReplica_t *replica)
{
    char *entry = AprMembers_OwnEntry(replica->gateway);

    if (entry != NULL && (replica->stored_entry == NULL ||
                          strcmp(entry, replica->stored_entry) != 0)) {
        replica->entry_changed = true;
        if (replica->lease_step == LEASE_REGISTERED &&
            !replica->renewal_pending) {
            replica->next_lease_call_ms = 0;
        }
    }
    free(entry);
    advance_lease(replica);
}

/* Returns the store revision up to which all items are known here. */
int64_t
AprReplica_Revision(const AprReplica_t *replica)
{
    int64_t cursor =
        replica->config_watch.cursor < replica->prefix_watch.cursor
            ? replica->config_watch.cursor
            : replica->prefix_watch.cursor;

    return cursor > replica->peer_revision ? cursor : replica->peer_revision;
}

/* Returns whether all items have been read at least once. */
bool
AprReplica_IsLoaded(const AprReplica_t *replica)
{
    return replica->config_watch.cursor > 0 &&
           replica->prefix_watch.cursor > 0;
}

/* Returns whether the last call of the store did not fail and the store
   answered within the last two renewal intervals. */
bool
AprReplica_StoreWorks(const AprReplica_t *replica)
{
    return !replica->store_lost &&
           current_time_ms(replica) - replica->store_answered_ms <
               2 * APR_RENEW_MS;
}

/* Writes the store key of the generation record of this host's backend server
   to `key`, and returns it. */
const char *
AprReplica_LifeKey(AprReplica_t *replica, char *key, size_t size)
{
    const AprGatewaySettings_t *settings = &replica->gateway->settings;

    snprintf(key, size, "%s" GENERATION_KEY_PREFIX "%s",
             settings->store_prefix, settings->host);
    return key;
}

/* Writes the store key of a part of a service's key map to `key`, and returns
   it. */
const char *
AprReplica_MapKey(AprReplica_t *replica, const char *service, int part,
                  char *key, size_t size)
{
    snprintf(key, size, "%s" KEY_MAP_KEY_PREFIX "%s/%d",
             replica->gateway->settings.store_prefix, service, part);
    return key;
}

/* Calls `visit` for each item with a revision above `after_revision` and a
   local change sequence above `after_sequence`, then once with `last` set and
   the revision up to which the list is complete. Returns the latest local
   change sequence, for the next call. */
int64_t
AprReplica_Visit(AprReplica_t *replica, int64_t after_revision,
                 int64_t after_sequence, AprItemVisit_t visit, void *context)
{
    AprItemFrame_t frame = {0};

    for (int i = 0; i < replica->item_count; i++) {
        const Item_t *item = &replica->items[i];

        if (item->revision <= after_revision ||
            item->change_sequence <= after_sequence) {
            continue;
        }
        frame.key = item->key;
        frame.key_size = strlen(item->key);
        frame.value = item->value;
        frame.value_size = item->value_size;
        frame.revision = item->revision;
        frame.lease = item->lease;
        frame.removed = item->removed;
        visit(context, &frame);
    }
    memset(&frame, 0, sizeof(frame));
    frame.last = true;
    frame.store_lost =
        !AprReplica_StoreWorks(replica) || !AprReplica_IsWatcher(replica);
    frame.complete = AprReplica_Revision(replica);
    visit(context, &frame);
    return replica->last_change_sequence;
}

/* Applies an item, or the end of a list of items, that another host sent. */
void
AprReplica_TakeItem(AprReplica_t *replica, const AprItemFrame_t *frame)
{
    AprKvItem_t item = {0};
    char *key;

    if (frame->last) {
        if (frame->complete > replica->peer_revision) {
            replica->peer_revision = frame->complete;
        }
        if (!frame->store_lost) {
            replica->watcher_heard_ms = current_time_ms(replica);
        }
        return;
    }
    key = g_strndup(frame->key, frame->key_size);
    item.key = key;
    item.value = frame->value;
    item.value_size = frame->value_size;
    item.revision = frame->revision;
    item.lease = frame->lease;
    item.removed = frame->removed;
    AprReplica_Apply(replica, &item);
    g_free(key);
}

/* Extends the authority to grant keys during an outage of the store. While the
   store answers no call of most hosts, no host can take the keys over. */
static void
extend_authority_in_outage(AprReplica_t *replica)
{
    AprGateway_t *gateway = replica->gateway;
    int64_t now_ms = current_time_ms(replica);
    int64_t since_ms;

    if (replica->last_renewal_sent_ms == 0 || AprReplica_StoreWorks(replica) ||
        now_ms - replica->last_renewal_sent_ms > APR_OUTAGE_AUTHORITY_MAX_MS) {
        return;
    }
    for (int i = 0; i < AprMembers_Count(gateway->members); i++) {
        const AprHost_t *member = AprMembers_At(gateway->members, i);

        if (strcmp(member->host, gateway->settings.host) != 0) {
            AprLinks_Probe(gateway->links, member->host);
        }
    }
    since_ms = AprMembers_StoreLostSince(gateway->members);
    if (since_ms != 0) {
        AprOwnership_Authorize(gateway->ownership,
                               since_ms + APR_OUTAGE_AUTHORITY_MS);
    }
}

/* Fetches items from a host with a newer revision when this host has not
   received them within CATCH_UP_DELAY_MS. */
static void
fetch_from_newer_peer(AprReplica_t *replica)
{
    AprGateway_t *gateway = replica->gateway;
    int64_t revision = AprReplica_Revision(replica);
    int64_t now_ms = current_time_ms(replica);
    const AprHost_t *ahead = NULL;

    for (int i = 0; i < AprMembers_Count(gateway->members); i++) {
        const AprHost_t *member = AprMembers_At(gateway->members, i);

        if (member->load_ms != 0 && member->load.revision > revision &&
            strcmp(member->host, gateway->settings.host) != 0) {
            ahead = member;
        }
    }
    if (ahead == NULL) {
        replica->behind_since_ms = 0;
    }
    else if (replica->behind_since_ms == 0) {
        replica->behind_since_ms = now_ms;
    }
    else if (now_ms - replica->behind_since_ms > CATCH_UP_DELAY_MS) {
        replica->behind_since_ms = now_ms;
        AprLinks_Fetch(gateway->links, ahead->host, revision);
    }
}

/* Returns whether this host watches the store for the others. */
bool
AprReplica_IsWatcher(AprReplica_t *replica)
{
    return AprWatchers_IncludesSelf(&replica->watchers);
}

/* Renews the subscription to a host that watches the store. Returns false when
   no host that reaches the store has sent its list of items for
   OWN_WATCH_FALLBACK_MS although the store answers this host, which then must
   watch the store itself. */
static bool
subscribe_to_watcher(AprReplica_t *replica)
{
    int64_t now_ms = current_time_ms(replica);
    int64_t unheard_ms = now_ms - replica->watcher_heard_ms;
    const char *source;

    if (replica->watcher_since_ms == 0) {
        replica->watcher_since_ms = now_ms;
    }
    else if (unheard_ms > WATCHER_TIMEOUT_MS &&
             now_ms - replica->watcher_since_ms > WATCHER_TIMEOUT_MS) {
        replica->watcher_attempt++;
        replica->watcher_since_ms = now_ms;
        replica->subscribed_ms = 0;
    }
    if (now_ms - replica->subscribed_ms >= SUBSCRIBE_INTERVAL_MS) {
        replica->subscribed_ms = now_ms;
        source = AprWatchers_ForAttempt(&replica->watchers,
                                        replica->watcher_attempt);
        if (source != NULL) {
            AprLinks_Fetch(replica->gateway->links, source,
                           AprReplica_Revision(replica));
        }
    }
    return unheard_ms <= OWN_WATCH_FALLBACK_MS ||
           !AprReplica_StoreWorks(replica);
}

/* Decides whether this host watches the store itself or subscribes to a
   watcher, and continues its own watches. */
static void
update_item_source(AprReplica_t *replica)
{
    bool watch =
        !replica->config_watch.loaded || !replica->prefix_watch.loaded ||
        AprReplica_IsWatcher(replica) || !subscribe_to_watcher(replica);

    if (watch != replica->watching_store) {
        replica->watching_store = watch;
        AprLog_Write(APR_LOG_INFO, "watching", "own=%d revision=%lld", watch,
                     (long long)AprReplica_Revision(replica));
    }
    if (!watch) {
        return;
    }
    if (replica->peer_revision > replica->config_watch.cursor &&
        replica->config_watch.loaded) {
        replica->config_watch.cursor = replica->peer_revision;
    }
    if (replica->peer_revision > replica->prefix_watch.cursor &&
        replica->prefix_watch.loaded) {
        replica->prefix_watch.cursor = replica->peer_revision;
    }
    advance_watch(&replica->config_watch);
    advance_watch(&replica->prefix_watch);
}

/* Continues watches, subscription and lease. Called many times a second. */
void
AprReplica_Tick(AprReplica_t *replica)
{
    if (replica->stopping) {
        return;
    }
    update_item_source(replica);
    if (replica->prefix_watch.loaded) {
        advance_lease(replica);
    }
    fetch_from_newer_peer(replica);
    extend_authority_in_outage(replica);
}

/* Starts to read the store. */
void
AprReplica_Start(AprReplica_t *replica)
{
    AprReplica_Tick(replica);
}

/* Stops watches and lease renewal; AprReplica_Tick() then has no effect. */
void
AprReplica_Stop(AprReplica_t *replica)
{
    replica->stopping = true;
}
