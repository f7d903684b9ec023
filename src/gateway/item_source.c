/* Where this host learns of changes in the store: it watches the store itself,
   or subscribes to a host that passes the changes on. */

#include <stdio.h>
#include <string.h>

#include "apricot/error.h"
#include "apricot/log.h"
#include "internal/store_cache_state.h"

/* Time after which the store answers a watch without a change. A watch that
   arrives at the store during an outage is never answered, so changes go
   unnoticed until the next watch. */
#define WATCH_TIMEOUT_MS 4000

/* Pause before the next watch, so that changes which follow each other within
   this time are fetched together. */
#define WATCH_BATCH_MS 60

/* Interval at which a host renews its subscription. */
#define SUBSCRIBE_INTERVAL_MS 500

/* Age of the items of the present source after which this host subscribes to
   the next one. */
#define SOURCE_TIMEOUT_MS 1500

/* Age of the items, or time since they were first read, after which this host
   watches the store itself. */
#define OWN_WATCH_FALLBACK_MS 2000

/* Time after which a watch has reached the store. */
#define WATCH_START_MS 100

/* Interval at which a host that knows no source reads the entries of the
   others. Such reads may be outdated and cost the store little, whereas a
   watch is answered with each host that registers. */
#define DISCOVERY_INTERVAL_MS 300

/* Time after the first read from which hosts are looked for even if this host
   has not registered. When all start at once, none has registered before. */
#define DISCOVERY_START_MS 1000

/* Time for which this host must lack items that another host has before it
   fetches them from there. Longer than a watch usually takes. */
#define CATCH_UP_DELAY_MS 400

/* Removes the items with the watch's prefix that its reload did not return. */
static void
remove_unseen_items(AprStoreCache_t *cache, const AprWatch_t *watch)
{
    for (int i = 0; i < cache->item_count; i++) {
        AprItem_t *item = &cache->items[i];
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
back_off_watch(AprWatch_t *watch, int code)
{
    AprStoreCache_t *cache = watch->cache;

    AprLog_Write(APR_LOG_INFO, "watch_failed",
                 "prefix=%s error=%s waited_ms=%lld cursor=%lld "
                 "items_age_ms=%lld",
                 watch->prefix, AprError_Name(code),
                 (long long)(AprStoreCache_NowMs(cache) - watch->call_sent_ms),
                 (long long)watch->cursor,
                 (long long)AprStoreCache_ItemsAgeMs(cache));
    AprGateway_IncrementCounter(cache->gateway, "watch_failures_total", "");
    watch->failures++;
    watch->next_call_ms = AprStoreCache_NowMs(watch->cache) +
                          AprStoreCache_RandomBackoffMs(watch->failures);
    AprStoreCache_RecordStoreResult(watch->cache, code);
}

static void
on_range_page(void *context, const AprKvResult_t *result)
{
    AprWatch_t *watch = context;
    AprStoreCache_t *cache = watch->cache;

    watch->call_pending = false;
    if (result->code != APR_OK) {
        back_off_watch(watch, result->code);
        watch->loading = false;
        return;
    }
    AprStoreCache_RecordStoreResult(cache, APR_OK);
    watch->failures = 0;
    if (watch->last_page_key[0] == '\0' ||
        result->revision < watch->reload_revision) {
        watch->reload_revision = result->revision;
    }
    for (int i = 0; i < result->item_count; i++) {
        AprStoreCache_ApplyItem(cache, &result->items[i]);
        AprStoreCache_MarkSeen(cache, result->items[i].key);
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
    if (cache->loaded_ms == 0 && cache->config_watch.loaded &&
        cache->prefix_watch.loaded) {
        cache->loaded_ms = AprStoreCache_NowMs(cache);
    }
}

static void
on_watch_events(void *context, const AprKvResult_t *result)
{
    AprWatch_t *watch = context;
    AprStoreCache_t *cache = watch->cache;

    watch->call_pending = false;
    if (result->code == APR_E_STALE) {
        AprLog_Write(APR_LOG_INFO, "watch_restarted",
                     "prefix=%s cursor=%lld reason=history_gone",
                     watch->prefix, (long long)watch->cursor);
        watch->loaded = false;
        watch->allow_stale = false;
        return;
    }
    if (result->code != APR_OK) {
        back_off_watch(watch, result->code);
        return;
    }
    watch->answered = true;
    AprItemSource_Confirm(cache, 0);
    AprStoreCache_RecordStoreResult(cache, APR_OK);
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
    watch->next_call_ms = AprStoreCache_NowMs(cache) + WATCH_BATCH_MS;
}

static void
start_reload(AprWatch_t *watch)
{
    AprStoreCache_t *cache = watch->cache;

    watch->loading = true;
    watch->last_page_key[0] = '\0';
    for (int i = 0; i < cache->item_count; i++) {
        AprItem_t *item = &cache->items[i];

        if (strncmp(item->key, watch->prefix, strlen(watch->prefix)) == 0) {
            item->seen_in_reload = false;
        }
    }
}

static void
advance_watch(AprWatch_t *watch)
{
    AprStoreCache_t *cache = watch->cache;
    const AprKvStore_t *kv = cache->gateway->kv;

    if (watch->call_pending ||
        AprStoreCache_NowMs(cache) < watch->next_call_ms) {
        return;
    }
    watch->call_pending = true;
    watch->call_sent_ms = AprStoreCache_NowMs(cache);
    if (!watch->loaded) {
        if (!watch->loading) {
            start_reload(watch);
        }
        kv->range(kv->self, watch->prefix, watch->last_page_key,
                  watch->allow_stale, on_range_page, watch);
        return;
    }
    kv->watch(kv->self, watch->prefix, watch->cursor, WATCH_TIMEOUT_MS,
              on_watch_events, watch);
}

/* Fetches items from a host with a newer revision when this host has not
   received them within CATCH_UP_DELAY_MS. */
static void
fetch_from_newer_peer(AprStoreCache_t *cache)
{
    AprGateway_t *gateway = cache->gateway;
    int64_t revision = AprStoreCache_Revision(cache);
    int64_t now_ms = AprStoreCache_NowMs(cache);
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

/* Returns whether a watch that this process has begun surely reports changes
   by now. */
static bool
is_watch_in_force(const AprStoreCache_t *cache, const AprWatch_t *watch)
{
    return watch->answered ||
           (watch->call_pending &&
            AprStoreCache_NowMs(cache) - watch->call_sent_ms > WATCH_START_MS);
}

/* Returns the time since the items of this host were known to be complete, in
   milliseconds; -1 when it is longer than OWN_WATCH_FALLBACK_MS. */
int64_t
AprItemSource_AgeMs(const AprStoreCache_t *cache)
{
    int64_t age_ms = AprStoreCache_NowMs(cache) - cache->source_confirmed_ms;

    if (cache->watching_store && AprStoreCache_IsStoreReachable(cache) &&
        is_watch_in_force(cache, &cache->config_watch) &&
        is_watch_in_force(cache, &cache->prefix_watch)) {
        return 0;
    }
    return cache->source_confirmed_ms != 0 && age_ms <= OWN_WATCH_FALLBACK_MS
               ? age_ms
               : -1;
}

/* Records that the items of this host were complete `age_ms` ago. */
void
AprItemSource_Confirm(AprStoreCache_t *cache, int64_t age_ms)
{
    int64_t confirmed_ms = AprStoreCache_NowMs(cache) - age_ms;

    if (confirmed_ms > cache->source_confirmed_ms) {
        cache->source_confirmed_ms = confirmed_ms;
    }
}

static void
on_entries_read(void *context, const AprKvResult_t *result)
{
    AprStoreCache_t *cache = context;

    cache->discovery_pending = false;
    for (int i = 0; result->code == APR_OK && i < result->item_count; i++) {
        AprStoreCache_ApplyRemoteItem(cache, &result->items[i]);
    }
}

/* Reads the entries of the other hosts, to find one to subscribe to. */
static void
discover_hosts(AprStoreCache_t *cache)
{
    const AprKvStore_t *kv = cache->gateway->kv;
    int64_t now_ms = AprStoreCache_NowMs(cache);
    char prefix[APR_CACHE_KEY_SIZE];

    if (cache->discovery_pending || now_ms < cache->next_discovery_ms ||
        !AprStoreCache_IsStoreReachable(cache)) {
        return;
    }
    cache->discovery_pending = true;
    cache->next_discovery_ms = now_ms + DISCOVERY_INTERVAL_MS;
    snprintf(prefix, sizeof(prefix), "%s" APR_MEMBER_KEY_PREFIX,
             cache->gateway->settings.store_prefix);
    kv->range(kv->self, prefix, "", true, on_entries_read, cache);
}

/* Renews the subscription to a host that passes changes on, and goes on to the
   next one when the items of the present one are too old. */
static void
renew_subscription(AprStoreCache_t *cache)
{
    int64_t now_ms = AprStoreCache_NowMs(cache);
    bool outdated = now_ms - cache->source_confirmed_ms > SOURCE_TIMEOUT_MS;
    const char *source;

    if (cache->source_since_ms == 0) {
        cache->source_since_ms = now_ms;
    }
    else if (outdated && now_ms - cache->source_since_ms > SOURCE_TIMEOUT_MS) {
        cache->source_attempt++;
        cache->source_since_ms = now_ms;
        cache->subscribed_ms = 0;
    }
    if (outdated && (AprStoreCache_IsRegistered(cache) ||
                     now_ms - cache->loaded_ms > DISCOVERY_START_MS)) {
        discover_hosts(cache);
    }
    if (now_ms - cache->subscribed_ms < SUBSCRIBE_INTERVAL_MS) {
        return;
    }
    source =
        AprWatchers_SourceForAttempt(&cache->watchers, cache->source_attempt);
    if (source != NULL) {
        if (strcmp(source, cache->source) != 0) {
            AprLog_Write(APR_LOG_INFO, "source_changed",
                         "from=%s to=%s revision=%lld items_age_ms=%lld",
                         cache->source, source,
                         (long long)AprStoreCache_Revision(cache),
                         (long long)AprStoreCache_ItemsAgeMs(cache));
            AprGateway_IncrementCounter(cache->gateway, "source_changes_total",
                                        "");
            g_strlcpy(cache->source, source, sizeof(cache->source));
        }
        cache->subscribed_ms = now_ms;
        AprLinks_SubscribeToItems(cache->gateway->links, source,
                                  AprStoreCache_Revision(cache));
    }
}

/* Returns whether no other host has passed on complete items for
   OWN_WATCH_FALLBACK_MS although the store answers this host. */
static bool
needs_own_watch(const AprStoreCache_t *cache)
{
    int64_t since_ms = cache->source_confirmed_ms > cache->loaded_ms
                           ? cache->source_confirmed_ms
                           : cache->loaded_ms;

    return AprStoreCache_NowMs(cache) - since_ms > OWN_WATCH_FALLBACK_MS &&
           AprStoreCache_IsStoreReachable(cache);
}

/* Decides whether this host watches the store itself. */
static bool
should_watch_store(AprStoreCache_t *cache)
{
    if (AprStoreCache_IsWatcher(cache)) {
        return true;
    }
    renew_subscription(cache);
    /* Confirmed by its own watches, which it ends once others are heard. */
    return cache->watching_store ? !cache->source_heard
                                 : needs_own_watch(cache);
}

static void
advance_own_watches(AprStoreCache_t *cache)
{
    AprWatch_t *watches[] = {&cache->config_watch, &cache->prefix_watch};

    for (size_t i = 0; i < sizeof(watches) / sizeof(watches[0]); i++) {
        if (watches[i]->loaded && cache->peer_revision > watches[i]->cursor) {
            watches[i]->cursor = cache->peer_revision;
        }
        advance_watch(watches[i]);
    }
}

/* Reads the store, renews the subscription or continues the own watches. */
void
AprItemSource_Update(AprStoreCache_t *cache)
{
    bool watch;

    if (!cache->config_watch.loaded || !cache->prefix_watch.loaded) {
        advance_own_watches(cache);
        return;
    }
    watch = should_watch_store(cache);
    if (watch != cache->watching_store) {
        cache->watching_store = watch;
        cache->source_heard = false;
        cache->config_watch.answered = false;
        cache->prefix_watch.answered = false;
        AprLog_Write(APR_LOG_INFO, "watching",
                     "own=%d revision=%lld items_age_ms=%lld", watch,
                     (long long)AprStoreCache_Revision(cache),
                     (long long)AprStoreCache_ItemsAgeMs(cache));
    }
    if (watch) {
        advance_own_watches(cache);
    }
    fetch_from_newer_peer(cache);
}
