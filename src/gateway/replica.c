/* This host's copy of the items in the store: watches, the lease of its own
   entry, and the exchange of items with other hosts while the store does not
   answer here. */

#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "apricot/error.h"
#include "apricot/log.h"
#include "internal/gateway.h"
#include "internal/authority.h"
#include "internal/watchers.h"

/* Keys below the prefix of the settings. */
#define MEMBER_FOLDER "hosts/"
#define MAP_FOLDER "keys/"
#define FENCE_FOLDER "fences/"
#define LIFE_FOLDER "lives/"

#define KEY_SIZE 200

/* A watch waits this long at the store. One that came in an outage is never
   answered, and nothing that changes meanwhile is seen until it is renewed. */
#define WATCH_WAIT_MS 4000

/* Changes that follow each other within this time are fetched together. */
#define WATCH_BATCH_MS 60

/* Range of the pauses after a refusal or a failure of the store. */
#define BACKOFF_MIN_MS 150
#define BACKOFF_MAX_MS 1500

/* A host asks its watcher again after this time, ... */
#define SUBSCRIBE_MS 800

/* ... asks the next one when none answered for this time, ... */
#define RELAY_SILENT_MS 1200

/* ... and watches the store itself after this time. */
#define RELAY_LOST_MS 2000

/* Another host is asked for items that it knows and this one lacks for this
   time, which is longer than a watch usually takes. */
#define BEHIND_MS 400

typedef struct Item_t {
    char *key;
    char *value;
    size_t value_size;
    int64_t revision;
    int64_t lease;
    int64_t arrival; /* counts the changes in the order in which they came */
    bool removed;
    bool seen; /* in the present reload */
} Item_t;

typedef struct Watch_t {
    AprReplica_t *replica;
    char prefix[KEY_SIZE];
    bool loaded;
    bool loading;
    bool busy;
    int64_t reload_revision; /* of the first page */
    char page_after[KEY_SIZE];
    int64_t cursor;
    int failures;
    int64_t next_ms; /* no call before */
} Watch_t;

typedef enum LeaseStep_t {
    LEASE_NONE, /* a lease is needed */
    LEASE_ASKED,
    LEASE_REGISTER, /* the entry must be written */
    LEASE_WRITING,
    LEASE_HELD
} LeaseStep_t;

struct AprReplica_t {
    AprGateway_t *gateway;
    Item_t *items;
    int count;
    int capacity;
    int64_t arrivals;
    Watch_t config;
    Watch_t own;
    LeaseStep_t step;
    int64_t lease;
    int lease_failures;
    int64_t lease_next_ms;
    bool renewing;
    int64_t sent_ms; /* of the present lease call */
    int64_t relay_sent_ms;
    int64_t renewed_ms; /* last successful renewal; 0: none */
    int relay_index;
    bool republish;
    char *written; /* entry that the store has */
    char *writing;
    int64_t store_ok_ms;
    bool store_lost;
    int64_t relay_revision;
    int64_t relay_heard_ms; /* last list of a watcher whom the store answers */
    int64_t subscribed_ms;
    AprWatchers_t watchers;
    int64_t source_since_ms; /* 0: none was asked yet */
    int source;              /* which of the watchers is asked */
    bool watching;
    int64_t behind_since_ms;
    bool stopping;
};

static int64_t
now_of(const AprReplica_t *replica)
{
    return AprGateway_NowMs(replica->gateway);
}

static int64_t
backoff_ms(int failures)
{
    int64_t span = BACKOFF_MIN_MS << (failures < 4 ? failures : 4);

    if (span > BACKOFF_MAX_MS) {
        span = BACKOFF_MAX_MS;
    }
    return span / 2 + g_random_int_range(0, (gint32)(span / 2 + 1));
}

/* Notes whether the store answered; logs each change. */
static void
note_store(AprReplica_t *replica, int code)
{
    bool failed = code == APR_E_UNAVAILABLE || code == APR_E_UNKNOWN ||
                  code == APR_E_PARSE;

    if (!failed) {
        replica->store_ok_ms = now_of(replica);
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
    for (int i = 0; i < replica->count; i++) {
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

    if (replica->count == replica->capacity) {
        int capacity = replica->capacity == 0 ? 32 : replica->capacity * 2;
        Item_t *grown =
            realloc(replica->items, (size_t)capacity * sizeof(*grown));

        if (grown == NULL) {
            return NULL;
        }
        replica->items = grown;
        replica->capacity = capacity;
    }
    item = &replica->items[replica->count];
    memset(item, 0, sizeof(*item));
    item->key = strdup(key);
    if (item->key == NULL) {
        return NULL;
    }
    replica->count++;
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

/* The rest of a key below a folder of the prefix, or NULL. */
static const char *
below(const AprReplica_t *replica, const char *key, const char *folder)
{
    const char *prefix = replica->gateway->settings.store_prefix;
    size_t size = strlen(prefix);

    if (strncmp(key, prefix, size) != 0 ||
        strncmp(key + size, folder, strlen(folder)) != 0) {
        return NULL;
    }
    return key + size + strlen(folder);
}

static void
dispatch(AprReplica_t *replica, const AprKvItem_t *item)
{
    AprGateway_t *gateway = replica->gateway;
    const char *name;

    if (strcmp(item->key, gateway->config_key) == 0) {
        apply_config(replica, item);
    }
    else if ((name = below(replica, item->key, MEMBER_FOLDER)) != NULL) {
        AprMembers_Apply(gateway->members, name, item);
        if (strcmp(name, gateway->settings.host) == 0 && item->removed &&
            replica->step == LEASE_HELD) {
            replica->step = LEASE_NONE;
            AprLog_Write(APR_LOG_WARN, "own_entry_removed", "revision=%lld",
                         (long long)item->revision);
        }
    }
    else if ((name = below(replica, item->key, MAP_FOLDER)) != NULL) {
        AprOwnership_ApplyMap(gateway->ownership, name, item);
    }
    else if ((name = below(replica, item->key, FENCE_FOLDER)) != NULL) {
        AprOwnership_ApplyFence(gateway->ownership, name, item);
    }
    else if ((name = below(replica, item->key, LIFE_FOLDER)) != NULL) {
        AprOwnership_ApplyLife(gateway->ownership, name, item);
    }
}

/* Takes over an item, or its removal, unless a later state of it is known. */
void
AprReplica_Apply(AprReplica_t *replica, const AprKvItem_t *news)
{
    Item_t *item = find_item(replica, news->key);
    char *value;

    if (item != NULL && item->revision >= news->revision) {
        item->seen = true;
        return;
    }
    value = malloc(news->value_size + 1);
    if (item == NULL) {
        item = add_item(replica, news->key);
    }
    if (item == NULL || value == NULL) {
        free(value);
        return;
    }
    if (news->value_size > 0) {
        memcpy(value, news->value, news->value_size);
    }
    value[news->value_size] = '\0';
    free(item->value);
    item->value = value;
    item->value_size = news->value_size;
    item->revision = news->revision;
    item->lease = news->lease;
    item->removed = news->removed;
    item->seen = true;
    item->arrival = ++replica->arrivals;
    dispatch(replica, news);
}

/* Takes over the present items of the conditions that a change did not
   meet. */
void
AprReplica_ApplyConflict(AprReplica_t *replica, const AprKvResult_t *result)
{
    for (int i = 0; result->code == APR_E_CONFLICT && i < result->item_count;
         i++) {
        AprReplica_Apply(replica, &result->items[i]);
    }
}

/* Removes what a reload of a prefix no longer showed. */
static void
drop_unseen(AprReplica_t *replica, const Watch_t *watch)
{
    for (int i = 0; i < replica->count; i++) {
        Item_t *item = &replica->items[i];
        AprKvItem_t removal = {item->key, "",  0, watch->reload_revision,
                               0,         true};

        if (!item->seen && !item->removed &&
            item->revision < watch->reload_revision &&
            strncmp(item->key, watch->prefix, strlen(watch->prefix)) == 0) {
            AprReplica_Apply(replica, &removal);
        }
    }
}

static void
delay_watch(Watch_t *watch, int code)
{
    watch->failures++;
    watch->next_ms = now_of(watch->replica) + backoff_ms(watch->failures);
    note_store(watch->replica, code);
}

static void
on_page(void *context, const AprKvResult_t *result)
{
    Watch_t *watch = context;
    AprReplica_t *replica = watch->replica;

    watch->busy = false;
    if (result->code != APR_OK) {
        delay_watch(watch, result->code);
        watch->loading = false;
        return;
    }
    note_store(replica, APR_OK);
    watch->failures = 0;
    if (watch->page_after[0] == '\0') {
        watch->reload_revision = result->revision;
    }
    for (int i = 0; i < result->item_count; i++) {
        AprReplica_Apply(replica, &result->items[i]);
    }
    if (result->more && result->item_count > 0) {
        g_strlcpy(watch->page_after, result->items[result->item_count - 1].key,
                  sizeof(watch->page_after));
        return;
    }
    drop_unseen(replica, watch);
    watch->loading = false;
    watch->loaded = true;
    watch->cursor = watch->reload_revision;
}

static void
on_events(void *context, const AprKvResult_t *result)
{
    Watch_t *watch = context;
    AprReplica_t *replica = watch->replica;

    watch->busy = false;
    if (result->code == APR_E_STALE) {
        AprLog_Write(APR_LOG_INFO, "watch_restarted",
                     "prefix=%s cursor=%lld reason=history_gone",
                     watch->prefix, (long long)watch->cursor);
        watch->loaded = false;
        return;
    }
    if (result->code != APR_OK) {
        delay_watch(watch, result->code);
        return;
    }
    note_store(replica, APR_OK);
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
    watch->next_ms = now_of(replica) + WATCH_BATCH_MS;
}

static void
start_reload(Watch_t *watch)
{
    AprReplica_t *replica = watch->replica;

    watch->loading = true;
    watch->page_after[0] = '\0';
    for (int i = 0; i < replica->count; i++) {
        Item_t *item = &replica->items[i];

        if (strncmp(item->key, watch->prefix, strlen(watch->prefix)) == 0) {
            item->seen = false;
        }
    }
}

static void
drive_watch(Watch_t *watch)
{
    AprReplica_t *replica = watch->replica;
    const AprKv_t *kv = replica->gateway->kv;

    if (watch->busy || now_of(replica) < watch->next_ms) {
        return;
    }
    watch->busy = true;
    if (!watch->loaded) {
        if (!watch->loading) {
            start_reload(watch);
        }
        kv->range(kv->service, watch->prefix, watch->page_after, on_page,
                  watch);
        return;
    }
    kv->watch(kv->service, watch->prefix, watch->cursor, WATCH_WAIT_MS,
              on_events, watch);
}

/* Creates an empty copy. */
AprReplica_t *
AprReplica_New(AprGateway_t *gateway)
{
    AprReplica_t *replica = calloc(1, sizeof(*replica));

    if (replica == NULL) {
        return NULL;
    }
    replica->gateway = gateway;
    AprWatchers_Init(&replica->watchers, gateway->members, &gateway->settings);
    replica->config.replica = replica;
    replica->own.replica = replica;
    g_strlcpy(replica->config.prefix, gateway->config_key,
              sizeof(replica->config.prefix));
    g_strlcpy(replica->own.prefix, gateway->settings.store_prefix,
              sizeof(replica->own.prefix));
    return replica;
}

/* Frees the copy. */
void
AprReplica_Free(AprReplica_t *replica)
{
    if (replica == NULL) {
        return;
    }
    for (int i = 0; i < replica->count; i++) {
        free(replica->items[i].key);
        free(replica->items[i].value);
    }
    AprWatchers_Clear(&replica->watchers);
    free(replica->items);
    free(replica->written);
    free(replica->writing);
    free(replica);
}

static void
extend_authority(AprReplica_t *replica, int64_t sent_ms)
{
    replica->renewed_ms = sent_ms;
    AprOwnership_Authorize(replica->gateway->ownership,
                           sent_ms + APR_AUTHORITY_MS);
}

static void
delay_lease(AprReplica_t *replica, int code)
{
    replica->lease_failures++;
    replica->lease_next_ms =
        now_of(replica) + backoff_ms(replica->lease_failures);
    note_store(replica, code);
}

static void
on_registered(void *context, const AprKvResult_t *result)
{
    AprReplica_t *replica = context;

    if (result->code == APR_OK) {
        note_store(replica, APR_OK);
        replica->step = LEASE_HELD;
        replica->lease_failures = 0;
        replica->lease_next_ms = now_of(replica) + APR_RENEW_MS;
        free(replica->written);
        replica->written = replica->writing;
        replica->writing = NULL;
        extend_authority(replica, replica->sent_ms);
        AprLog_Write(APR_LOG_INFO, "registered", "lease=%lld revision=%lld",
                     (long long)replica->lease, (long long)result->revision);
        return;
    }
    free(replica->writing);
    replica->writing = NULL;
    replica->step =
        result->code == APR_E_NOT_FOUND ? LEASE_NONE : LEASE_REGISTER;
    delay_lease(replica, result->code);
}

static void
write_entry(AprReplica_t *replica)
{
    const AprKv_t *kv = replica->gateway->kv;
    const AprGatewaySettings_t *settings = &replica->gateway->settings;
    char member[KEY_SIZE];
    char fence[KEY_SIZE];
    AprKvChange_t change = {0};

    replica->writing = AprMembers_OwnEntry(replica->gateway);
    if (replica->writing == NULL) {
        delay_lease(replica, APR_E_NOMEM);
        return;
    }
    snprintf(member, sizeof(member), "%s" MEMBER_FOLDER "%s",
             settings->store_prefix, settings->host);
    snprintf(fence, sizeof(fence), "%s" FENCE_FOLDER "%s",
             settings->store_prefix, settings->host);
    change.write_count = 1;
    change.writes[0].key = member;
    change.writes[0].value = replica->writing;
    change.writes[0].value_size = strlen(replica->writing);
    change.writes[0].lease = replica->lease;
    if (replica->step == LEASE_REGISTER) {
        change.removal_count = 1;
        change.removals[0] = fence;
    }
    replica->step = LEASE_WRITING;
    replica->republish = false;
    replica->sent_ms = now_of(replica);
    kv->change(kv->service, &change, on_registered, replica);
}

static void
on_lease(void *context, const AprKvResult_t *result)
{
    AprReplica_t *replica = context;

    if (result->code != APR_OK) {
        replica->step = LEASE_NONE;
        delay_lease(replica, result->code);
        return;
    }
    note_store(replica, APR_OK);
    replica->lease = result->lease;
    replica->step = LEASE_REGISTER;
}

static void
on_renewed(void *context, const AprKvResult_t *result)
{
    AprReplica_t *replica = context;

    replica->renewing = false;
    if (result->code == APR_OK) {
        note_store(replica, APR_OK);
        replica->lease_failures = 0;
        replica->lease_next_ms = now_of(replica) + APR_RENEW_MS;
        if (replica->step == LEASE_HELD) {
            extend_authority(replica, replica->sent_ms);
        }
        return;
    }
    if (result->code == APR_E_NOT_FOUND) {
        AprLog_Write(APR_LOG_WARN, "lease_ended", "lease=%lld",
                     (long long)replica->lease);
        replica->step = LEASE_NONE;
        return;
    }
    delay_lease(replica, result->code);
}

/* Asks one other host after the other to renew the lease. */
static void
renew_by_relay(AprReplica_t *replica)
{
    AprGateway_t *gateway = replica->gateway;
    int count = AprMembers_Count(gateway->members);
    int64_t now_ms = now_of(replica);

    for (int i = 0; i < count; i++) {
        const AprHost_t *member =
            AprMembers_At(gateway->members, replica->relay_index++ % count);

        if (strcmp(member->host, gateway->settings.host) == 0 ||
            !AprLinks_IsAlive(gateway->links, member->host)) {
            continue;
        }
        replica->relay_sent_ms = now_ms;
        AprLinks_Renew(gateway->links, member->host, replica->lease);
        return;
    }
}

static void
drive_lease(AprReplica_t *replica)
{
    const AprKv_t *kv = replica->gateway->kv;
    int64_t now_ms = now_of(replica);

    if (now_ms < replica->lease_next_ms) {
        return;
    }
    switch (replica->step) {
    case LEASE_NONE:
        replica->step = LEASE_ASKED;
        kv->lease(kv->service, APR_LEASE_TTL_MS, on_lease, replica);
        break;
    case LEASE_REGISTER:
        write_entry(replica);
        break;
    case LEASE_HELD:
        if (replica->renewing) {
            break;
        }
        if (replica->republish) {
            write_entry(replica);
            break;
        }
        replica->renewing = true;
        replica->sent_ms = now_ms;
        kv->renew(kv->service, replica->lease, on_renewed, replica);
        if (replica->lease_failures > 0) {
            renew_by_relay(replica);
        }
        break;
    default:
        break;
    }
}

typedef struct RelayRenewal_t {
    AprReplica_t *replica;
    char host[APR_NAME_SIZE];
    int64_t lease;
} RelayRenewal_t;

static void
on_relay_renewed(void *context, const AprKvResult_t *result)
{
    RelayRenewal_t *renewal = context;
    AprReplica_t *replica = renewal->replica;

    AprLinks_AnswerRenew(replica->gateway->links, renewal->host,
                         renewal->lease, result->code == APR_OK ? 0 : -1);
    free(renewal);
}

/* Renews the lease of another host, which the store does not answer. */
void
AprReplica_RenewFor(AprReplica_t *replica, const char *host, int64_t lease)
{
    const AprKv_t *kv = replica->gateway->kv;
    RelayRenewal_t *renewal;

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
    kv->renew(kv->service, lease, on_relay_renewed, renewal);
}

/* Takes another host's answer to a renewal. The authority counts from the
   time at which it was asked. */
void
AprReplica_Renewed(AprReplica_t *replica, int64_t lease, int64_t age_ms)
{
    if (age_ms < 0 || lease != replica->lease || replica->step != LEASE_HELD) {
        return;
    }
    extend_authority(replica, replica->relay_sent_ms);
}

/* Writes this host's entry again when it has changed. */
void
AprReplica_Publish(AprReplica_t *replica)
{
    char *entry = AprMembers_OwnEntry(replica->gateway);

    if (entry != NULL &&
        (replica->written == NULL || strcmp(entry, replica->written) != 0)) {
        replica->republish = true;
        if (replica->step == LEASE_HELD && !replica->renewing) {
            replica->lease_next_ms = 0;
        }
    }
    free(entry);
    drive_lease(replica);
}

/* The revision up to which all items are known here. */
int64_t
AprReplica_Revision(const AprReplica_t *replica)
{
    int64_t cursor = replica->config.cursor < replica->own.cursor
                         ? replica->config.cursor
                         : replica->own.cursor;

    return cursor > replica->relay_revision ? cursor : replica->relay_revision;
}

/* Whether all items were read once. */
bool
AprReplica_IsLoaded(const AprReplica_t *replica)
{
    return replica->config.cursor > 0 && replica->own.cursor > 0;
}

/* Whether the store answered this host a moment ago. */
bool
AprReplica_StoreWorks(const AprReplica_t *replica)
{
    return !replica->store_lost &&
           now_of(replica) - replica->store_ok_ms < 2 * APR_RENEW_MS;
}

/* The store's key of the generation of this host's backend server. */
const char *
AprReplica_LifeKey(AprReplica_t *replica, char *key, size_t size)
{
    const AprGatewaySettings_t *settings = &replica->gateway->settings;

    snprintf(key, size, "%s" LIFE_FOLDER "%s", settings->store_prefix,
             settings->host);
    return key;
}

/* The store's key of a part of a service's key map. */
const char *
AprReplica_MapKey(AprReplica_t *replica, const char *service, int part,
                  char *key, size_t size)
{
    snprintf(key, size, "%s" MAP_FOLDER "%s/%d",
             replica->gateway->settings.store_prefix, service, part);
    return key;
}

/* Gives all items that changed after a revision, and that came after a given
   arrival, to `visit`; the last one carries the revision up to which the list
   is complete. Returns the latest arrival. */
int64_t
AprReplica_Visit(AprReplica_t *replica, int64_t after_revision,
                 int64_t after_arrival, AprItemVisit_t visit, void *context)
{
    AprItemFrame_t frame = {0};

    for (int i = 0; i < replica->count; i++) {
        const Item_t *item = &replica->items[i];

        if (item->revision <= after_revision ||
            item->arrival <= after_arrival) {
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
    return replica->arrivals;
}

/* Takes an item from another host. */
void
AprReplica_TakeItem(AprReplica_t *replica, const AprItemFrame_t *frame)
{
    AprKvItem_t item = {0};
    char *key;

    if (frame->last) {
        if (frame->complete > replica->relay_revision) {
            replica->relay_revision = frame->complete;
        }
        if (!frame->store_lost) {
            replica->relay_heard_ms = now_of(replica);
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

/* Keeps the authority to grant keys through an outage of the store: while it
   answers most hosts not at all, nobody can take the keys over. */
static void
use_witnesses(AprReplica_t *replica)
{
    AprGateway_t *gateway = replica->gateway;
    int64_t now_ms = now_of(replica);
    int64_t since_ms;

    if (replica->renewed_ms == 0 || AprReplica_StoreWorks(replica) ||
        now_ms - replica->renewed_ms > APR_WITNESS_MAX_MS) {
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
        AprOwnership_Authorize(gateway->ownership, since_ms + APR_WITNESS_MS);
    }
}

/* Fetches items from a host that knows more, after a while in which the own
   watches did not bring them. */
static void
catch_up(AprReplica_t *replica)
{
    AprGateway_t *gateway = replica->gateway;
    int64_t revision = AprReplica_Revision(replica);
    int64_t now_ms = now_of(replica);
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
    else if (now_ms - replica->behind_since_ms > BEHIND_MS) {
        replica->behind_since_ms = now_ms;
        AprLinks_Fetch(gateway->links, ahead->host, revision);
    }
}

/* Whether this host is one of those that watch the store for the others. */
bool
AprReplica_IsWatcher(AprReplica_t *replica)
{
    return AprWatchers_IsOwn(&replica->watchers);
}

/* Gets the items from a host that watches the store. Returns false when none
   of them serves, while the store answers this host. */
static bool
subscribe(AprReplica_t *replica)
{
    int64_t now_ms = now_of(replica);
    int64_t silent_ms = now_ms - replica->relay_heard_ms;
    const char *source;

    if (replica->source_since_ms == 0) {
        replica->source_since_ms = now_ms;
    }
    else if (silent_ms > RELAY_SILENT_MS &&
             now_ms - replica->source_since_ms > RELAY_SILENT_MS) {
        replica->source++;
        replica->source_since_ms = now_ms;
        replica->subscribed_ms = 0;
    }
    if (now_ms - replica->subscribed_ms >= SUBSCRIBE_MS) {
        replica->subscribed_ms = now_ms;
        source = AprWatchers_At(&replica->watchers, replica->source);
        if (source != NULL) {
            AprLinks_Fetch(replica->gateway->links, source,
                           AprReplica_Revision(replica));
        }
    }
    return silent_ms <= RELAY_LOST_MS || !AprReplica_StoreWorks(replica);
}

/* Chooses between own watches and those of other hosts. */
static void
drive_items(AprReplica_t *replica)
{
    bool watch = !replica->config.loaded || !replica->own.loaded ||
                 AprReplica_IsWatcher(replica) || !subscribe(replica);

    if (watch != replica->watching) {
        replica->watching = watch;
        AprLog_Write(APR_LOG_INFO, "watching", "own=%d revision=%lld", watch,
                     (long long)AprReplica_Revision(replica));
    }
    if (!watch) {
        return;
    }
    if (replica->relay_revision > replica->config.cursor &&
        replica->config.loaded) {
        replica->config.cursor = replica->relay_revision;
    }
    if (replica->relay_revision > replica->own.cursor && replica->own.loaded) {
        replica->own.cursor = replica->relay_revision;
    }
    drive_watch(&replica->config);
    drive_watch(&replica->own);
}

/* Continues watches and the lease. Called many times a second. */
void
AprReplica_Tick(AprReplica_t *replica)
{
    if (replica->stopping) {
        return;
    }
    drive_items(replica);
    if (replica->own.loaded) {
        drive_lease(replica);
    }
    catch_up(replica);
    use_witnesses(replica);
}

/* Begins to read the store. */
void
AprReplica_Start(AprReplica_t *replica)
{
    AprReplica_Tick(replica);
}

/* Calls the store no more. */
void
AprReplica_Stop(AprReplica_t *replica)
{
    replica->stopping = true;
}
