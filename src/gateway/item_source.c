/* Where this host learns of changes in the store: it watches the store itself,
   or subscribes to a host that passes the changes on. */

#include <stdio.h>
#include <string.h>

#include "apricot/error.h"
#include "apricot/log.h"
#include "internal/store_cache_state.h"

/* Pause before the next watch, so that changes which follow each other within
   this time are fetched together. */
#define WATCH_BATCH_MS 60

/* Interval at which a host renews its subscription. */
#define SUBSCRIBE_INTERVAL_MS 500

/* Least advance of the time up to which the items are complete that is passed
   on without a change. Less than the interval of the watches, and more than
   the time that frames usually take, so that two hosts which follow each other
   do not answer each other's frames. */
#define FORWARD_STEP_MS 100

/* Interval at which a host that knows no source reads the entries of the
   others. Such reads may be outdated and cost the store little, whereas a
   watch is answered with each host that registers. */
#define DISCOVERY_INTERVAL_MS 300

/* Time after the first read from which hosts are looked for even if this host
   has not registered. When all start at once, none has registered before. */
#define DISCOVERY_START_MS 1000

/* Shortest time between two log lines about requests without a route. */
#define UNKNOWN_ROUTE_LOG_INTERVAL_MS 200

static AprFreshness_t
get_freshness(const AprStoreCache_t *cache)
{
    return AprFreshness_FromDeadline(
        cache->gateway->settings.config_deadline_s);
}

/* Returns how far the items of this host can be relied on. */
AprCopyState_t
AprItemSource_CopyState(const AprStoreCache_t *cache)
{
    AprFreshness_t freshness = get_freshness(cache);
    AprCopyState_t state =
        AprFreshness_ClassifyCopy(&freshness, AprStoreCache_ItemsAgeMs(cache));

    return state == APR_COPY_FRESH &&
                   AprOwnership_KnowsOnlyCopy(cache->gateway->ownership)
               ? APR_COPY_RESTORED
               : state;
}

/* Logs that this host knows no route for a request, and what it knows
   about its copy of the configuration; at most once per
   UNKNOWN_ROUTE_LOG_INTERVAL_MS. */
void
AprItemSource_LogUnknownRoute(AprStoreCache_t *cache)
{
    int64_t now_ms = AprStoreCache_NowMs(cache);
    const char *state = AprCopyState_Name(AprItemSource_CopyState(cache));
    char labels[32];

    snprintf(labels, sizeof(labels), "copy=\"%s\"", state);
    AprGateway_IncrementCounter(cache->gateway, "unknown_route_total", labels);
    if (cache->unknown_route_log_ms != 0 &&
        now_ms - cache->unknown_route_log_ms < UNKNOWN_ROUTE_LOG_INTERVAL_MS) {
        return;
    }
    cache->unknown_route_log_ms = now_ms;
    AprLog_Write(APR_LOG_INFO, "unknown_route",
                 "version=%llx copy=%s items_age_ms=%lld loaded_ms=%lld "
                 "source=%s watching=%d store_reachable=%d",
                 (unsigned long long)cache->gateway->routes->version, state,
                 (long long)AprStoreCache_ItemsAgeMs(cache),
                 (long long)(now_ms - cache->loaded_ms), cache->source,
                 cache->watching_store, AprStoreCache_IsStoreReachable(cache));
}

/* Records that the items of this host were complete at a time, as `source`
   has shown. */
static void
confirm_items(AprStoreCache_t *cache, const char *source, int64_t confirmed_ms)
{
    if (cache->source_confirmed_ms == 0) {
        AprLog_Write(
            APR_LOG_INFO, "items_confirmed",
            "by=%s age_ms=%lld loaded_ms=%lld", source,
            (long long)(AprStoreCache_NowMs(cache) - confirmed_ms),
            (long long)(cache->loaded_ms == 0
                            ? 0
                            : AprStoreCache_NowMs(cache) - cache->loaded_ms));
    }
    if (confirmed_ms > cache->source_confirmed_ms) {
        cache->source_confirmed_ms = confirmed_ms;
    }
}

/* Records that the store has answered with all of the watch's items as of
   `complete_ms`. Only an answer proves that: a watch without one may have been
   lost. */
static void
record_watch_answer(AprWatch_t *watch, int64_t complete_ms)
{
    AprStoreCache_t *cache = watch->cache;
    int64_t config_ms;
    int64_t prefix_ms;

    watch->answered_ms = complete_ms;
    config_ms = cache->config_watch.answered_ms;
    prefix_ms = cache->prefix_watch.answered_ms;
    if (config_ms != 0 && prefix_ms != 0) {
        confirm_items(cache, "store",
                      config_ms < prefix_ms ? config_ms : prefix_ms);
    }
}

/* Passes changed items, or the time up to which the items are complete, on to
   the hosts that subscribed to this one. */
void
AprItemSource_Forward(AprStoreCache_t *cache)
{
    if (cache->forwarded_sequence == cache->last_change_sequence &&
        cache->source_confirmed_ms - cache->forwarded_confirmed_ms <
            FORWARD_STEP_MS) {
        return;
    }
    cache->forwarded_sequence = cache->last_change_sequence;
    cache->forwarded_confirmed_ms = cache->source_confirmed_ms;
    AprLinks_SendChangedItems(cache->gateway->links);
}

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
    if (watch->last_page_key[0] != '\0' &&
        AprRevision_Era(result->revision) !=
            AprRevision_Era(watch->reload_revision)) {
        watch->loading = false; /* the earlier pages are of another era */
        return;
    }
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
    record_watch_answer(watch, watch->reload_sent_ms);
    AprItemSource_Forward(cache);
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
        return;
    }
    if (result->code != APR_OK) {
        back_off_watch(watch, result->code);
        return;
    }
    AprStoreCache_RecordStoreResult(cache, APR_OK);
    watch->failures = 0;
    for (int i = 0; i < result->item_count; i++) {
        AprStoreCache_ApplyItem(cache, &result->items[i]);
    }
    /* After the items: an evacuation is as old as the items' earlier age at
       most. */
    cache->changes_heard = true;
    record_watch_answer(watch, AprStoreCache_NowMs(cache));
    if (result->revision > watch->cursor) {
        watch->cursor = result->revision;
    }
    AprItemSource_Forward(cache);
    watch->next_call_ms = AprStoreCache_NowMs(cache) + WATCH_BATCH_MS;
}

static void
start_reload(AprWatch_t *watch)
{
    AprStoreCache_t *cache = watch->cache;

    watch->loading = true;
    watch->reload_sent_ms = AprStoreCache_NowMs(cache);
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
        kv->range(kv->self, watch->prefix, watch->last_page_key, false,
                  on_range_page, watch);
        return;
    }
    kv->watch(kv->self, watch->prefix, watch->cursor,
              get_freshness(cache).watch_wait_ms, on_watch_events, watch);
}

/* Returns the host that reported the newest revision, or NULL when none is
   newer than `revision`. */
static const AprHost_t *
find_newer_peer(const AprStoreCache_t *cache, int64_t revision)
{
    AprMembers_t *members = cache->gateway->members;
    const AprHost_t *newest = NULL;

    for (int i = 0; i < AprMembers_Count(members); i++) {
        const AprHost_t *member = AprMembers_At(members, i);

        if (member->load_report_ms != 0 && !member->is_self &&
            member->load_report.known_revision > revision) {
            newest = member;
            revision = member->load_report.known_revision;
        }
    }
    return newest;
}

/* Fetches items from a host with a newer revision when this host has not
   reached that revision within the usual time. */
static void
fetch_from_newer_peer(AprStoreCache_t *cache)
{
    int64_t revision = AprStoreCache_Revision(cache);
    int64_t now_ms = AprStoreCache_NowMs(cache);
    const AprHost_t *newest = find_newer_peer(cache, revision);

    if (newest == NULL || revision >= cache->awaited_revision) {
        cache->awaited_revision =
            newest == NULL ? 0 : newest->load_report.known_revision;
        cache->behind_since_ms = now_ms;
    }
    else if (now_ms - cache->behind_since_ms >
             get_freshness(cache).catch_up_ms) {
        cache->behind_since_ms = now_ms;
        AprLinks_SubscribeToItems(cache->gateway->links, newest->host,
                                  revision);
    }
}

/* Returns the time since the items of this host were known to be complete, in
   milliseconds; -1 when it is too long for a source of changes. */
int64_t
AprItemSource_AgeMs(const AprStoreCache_t *cache)
{
    int64_t age_ms = AprStoreCache_ItemsAgeMs(cache);

    return age_ms <= get_freshness(cache).host_age_ms ? age_ms : -1;
}

/* Records that another host, which has passed its items on, knew `age_ms` ago
   that they were complete. */
void
AprItemSource_ConfirmByPeer(AprStoreCache_t *cache, const char *host,
                            int64_t age_ms)
{
    cache->changes_heard = true;
    confirm_items(cache, host, AprStoreCache_NowMs(cache) - age_ms);
    if (age_ms <= get_freshness(cache).source_age_ms) {
        cache->source_heard = true;
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

static void
get_source_state(AprStoreCache_t *cache, AprSourceState_t *state)
{
    int64_t now_ms = AprStoreCache_NowMs(cache);

    state->age_ms = AprStoreCache_ItemsAgeMs(cache);
    state->source_ms = now_ms - cache->source_since_ms;
    state->just_started = !cache->changes_heard;
    state->is_watcher = AprWatchers_IncludesSelf(&cache->watchers);
    state->is_relay = AprWatchers_IsRelay(&cache->watchers);
    state->watching = cache->watching_store;
    state->source_heard = cache->source_heard;
    state->store_reachable = AprStoreCache_IsStoreReachable(cache);
}

static void
log_source_change(AprStoreCache_t *cache, const char *source)
{
    AprLog_Write(APR_LOG_INFO, "source_changed",
                 "from=%s to=%s revision=%lld items_age_ms=%lld",
                 cache->source, source,
                 (long long)AprStoreCache_Revision(cache),
                 (long long)AprStoreCache_ItemsAgeMs(cache));
    AprGateway_IncrementCounter(cache->gateway, "source_changes_total", "");
}

/* Renews the subscription to the present source. */
static void
subscribe(AprStoreCache_t *cache)
{
    int64_t now_ms = AprStoreCache_NowMs(cache);
    const char *source =
        AprWatchers_SourceForAttempt(&cache->watchers, cache->source_attempt);

    if (now_ms - cache->subscribed_ms < SUBSCRIBE_INTERVAL_MS ||
        source == NULL) {
        return;
    }
    if (strcmp(source, cache->source) != 0) {
        log_source_change(cache, source);
        g_strlcpy(cache->source, source, sizeof(cache->source));
    }
    cache->subscribed_ms = now_ms;
    AprLinks_SubscribeToItems(cache->gateway->links, source,
                              AprStoreCache_Revision(cache));
}

/* Follows a host that passes changes on, and goes on to the next one when the
   items become outdated. */
static void
follow_source(AprStoreCache_t *cache, const AprFreshness_t *freshness,
              const AprSourceState_t *state)
{
    int64_t now_ms = AprStoreCache_NowMs(cache);

    if (cache->source_since_ms == 0 ||
        AprWatchers_SourceForAttempt(&cache->watchers, 0) == NULL) {
        cache->source_since_ms = now_ms;
    }
    else if (AprFreshness_ShouldChangeSource(freshness, state)) {
        cache->source_attempt++;
        cache->source_since_ms = now_ms;
        cache->subscribed_ms = 0;
    }
    if ((!cache->changes_heard || AprFreshness_IsOutdated(freshness, state)) &&
        (AprStoreCache_IsRegistered(cache) ||
         now_ms - cache->loaded_ms > DISCOVERY_START_MS)) {
        discover_hosts(cache);
    }
    subscribe(cache);
}

/* Decides whether this host watches the store itself, and follows another one
   unless its own watches are answered. */
static bool
should_watch_store(AprStoreCache_t *cache)
{
    AprFreshness_t freshness = get_freshness(cache);
    AprSourceState_t state;

    get_source_state(cache, &state);
    if (!state.is_watcher || AprFreshness_IsOutdated(&freshness, &state)) {
        follow_source(cache, &freshness, &state);
    }
    return AprFreshness_ShouldWatch(&freshness, &state);
}

/* Lets a watch go on from the revision up to which other hosts have sent all
   items. That spares a reload which has not begun. */
static void
skip_to_peer_revision(AprWatch_t *watch)
{
    const AprStoreCache_t *cache = watch->cache;

    if (cache->loaded_ms != 0 && !watch->loading &&
        cache->peer_revision > watch->cursor) {
        watch->cursor = cache->peer_revision;
        watch->loaded = true;
    }
}

static void
advance_own_watches(AprStoreCache_t *cache)
{
    AprWatch_t *watches[] = {&cache->config_watch, &cache->prefix_watch};

    for (size_t i = 0; i < sizeof(watches) / sizeof(watches[0]); i++) {
        skip_to_peer_revision(watches[i]);
        advance_watch(watches[i]);
    }
}

/* Reads the store, renews the subscription or continues the own watches. */
void
AprItemSource_Update(AprStoreCache_t *cache)
{
    bool watch;

    if (cache->loaded_ms == 0) {
        advance_own_watches(cache);
        return;
    }
    watch = should_watch_store(cache);
    if (watch != cache->watching_store) {
        cache->watching_store = watch;
        cache->source_heard = false;
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
