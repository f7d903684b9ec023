#ifndef APRICOT_TESTS_GATEWAY_CLUSTER_H
#define APRICOT_TESTS_GATEWAY_CLUSTER_H

/* A cluster of gateways, backend servers and a store in one process on one
   event loop, for tests that inject failures. Links and requests use loopback
   connections. */

#include <arpa/inet.h>
#include <ev.h>
#include <fcntl.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "apricot/error.h"
#include "apricot/gateway_settings.h"
#include "apricot/store_revision.h"
#include "internal/backend_state.h"
#include "internal/gateway.h"
#include "internal/http_server.h"

#define CLUSTER_HOSTS 4
#define CLUSTER_SERVICE "desk"
#define CLUSTER_HEARTBEAT_S 0.3
#define CLUSTER_RELEASE_S 0.1 /* until the heartbeat with released keys */
#define CLUSTER_IN_FLIGHT_S 0.03
#define CLUSTER_SERVICE_TIME_S 0.01
#define CLUSTER_STORE_TIMEOUT_S 1.0
#define CLUSTER_STORE_AWAY_S 1.0 /* before it comes back from its copy */
#define CLUSTER_MAX_ITEMS 64
#define CLUSTER_MAX_GRANTS 64

/* Limit of cold backend servers and health path in the configuration. */
static double cluster_cold_per_s;
static const char *cluster_health_path = "";

/* Time for which keys without a handover token are slow, by the
   configuration. */
static int64_t cluster_key_warmup_ms;

typedef struct StoreItem_t {
    char key[128];
    char *value;
    int64_t revision;
    int64_t lease;
    bool removed;
} StoreItem_t;

typedef struct StoreLease_t {
    int64_t id;
    double expires_s; /* loop time; 0: the lease has ended */
    double ttl_s;
} StoreLease_t;

/* What the store comes back with in store_return_from_copy(). */
typedef struct StoreCopy_t {
    StoreItem_t items[CLUSTER_MAX_ITEMS];
    int item_count;
    int64_t revision;
    StoreLease_t leases[64];
    int lease_count;
} StoreCopy_t;

/* A store with revisions, leases and watches; a watch polls the items. */
typedef struct ClusterStore_t {
    struct ev_loop *loop;
    StoreItem_t items[CLUSTER_MAX_ITEMS];
    int item_count;
    int64_t revision; /* its upper bits hold the era */
    StoreLease_t leases[64];
    int lease_count;
    StoreCopy_t copy;
    bool down; /* requests fail and leases don't expire */
    /* The next change of a key with this prefix gets no answer and waits for
       store_apply_late_change(); NULL: none. */
    const char *lost_prefix;
    AprKvTransaction_t late_change; /* owned texts; valid if has_late_change */
    bool has_late_change;
    double watch_poll_s;  /* longest delay of a change; 0: 20 ms */
    bool ignores_watches; /* new watches get no response and time out */
    /* Changes up to this revision are no longer known. */
    int64_t compacted_revision;
    /* What reads that may be outdated return; revision 0: what others do. */
    StoreItem_t stale_items[CLUSTER_MAX_ITEMS];
    int stale_item_count;
    int64_t stale_revision;
    int commit_count;
    int conflict_count;
} ClusterStore_t;

typedef struct ClusterHost_t ClusterHost_t;
typedef struct Cluster_t Cluster_t;

/* A host with its gateway and its backend server. */
struct ClusterHost_t {
    Cluster_t *cluster;
    int index;
    AprGatewaySettings_t settings;
    AprKvStore_t kv;
    AprGateway_t *gateway;    /* NULL: not running */
    AprHttpServer_t *backend; /* NULL: not running */
    bool external_backend;    /* the test serves the address of `backend` */
    AprBackendIncarnation_t incarnation;
    int64_t sequence;
    bool leaving;
    bool unresponsive;     /* the backend server answers no request */
    double service_time_s; /* 0: CLUSTER_SERVICE_TIME_S */
    int response_size;     /* bytes of each response body; 0: a short text */
    /* The store answers no request of this host, not even those that are in
       flight; they time out. */
    bool store_silent;
    int64_t known_era;          /* newest one by the store's responses */
    bool store_refuses_changes; /* as a response with status 503 does */
    bool store_refuses_reads;   /* likewise; watches and leases go on */
    int slots;
    double cold_until_s; /* loop time */
    int health_count;    /* requests for the health path */
    /* Header line of responses to probes; NULL: the remaining cold time. */
    const char *health_header;
    AprGrant_t held[CLUSTER_MAX_GRANTS];
    int held_count;
    double held_until_s;     /* loop time */
    double grants_changed_s; /* loop time of the last reply with grants */
    AprGrant_t released[CLUSTER_MAX_GRANTS];
    int released_count;
    ev_timer heartbeat_timer;
    int run_count;
    /* Called for each request that the backend server gets; may be NULL. */
    void (*on_request)(ClusterHost_t *host, const char *path);
    int gateway_generation; /* incremented when the gateway is killed */
    int backend_generation; /* incremented when the backend server is killed */
};

/* A cluster and the counts of what its callers and backend servers saw. */
struct Cluster_t {
    struct ev_loop *loop;
    AprStreamSet_t streams;
    ClusterStore_t store;
    ClusterHost_t hosts[CLUSTER_HOSTS];
    int next_port;
    int overlaps;     /* keys held by several backend servers at once */
    int unowned_runs; /* runs of a key that the backend server did not hold */
    /* Those that came later than CLUSTER_IN_FLIGHT_S after a change of its
       grants. A request that is on its way when the reply to a heartbeat
       leaves its key out arrives afterwards, and the platform's backend server
       refuses it; the gateway must send none later. */
    int late_unowned_runs;
    int answered;  /* responses with status 200 */
    int refused;   /* responses with status 503 */
    int cut;       /* connections closed without a response */
    int failed;    /* responses with another status */
    int not_found; /* those of them with status 404 */
    int sent;
};

/* A request to the store, which gets its response when the timer fires. */
typedef struct StoreRequest_t {
    ClusterStore_t *store;
    ClusterHost_t *host;
    int gateway_generation; /* of the gateway that sent the request */
    int64_t era;            /* of the store when the request was sent */
    ev_timer timer;
    AprKvCallback_t done;
    void *context;
    AprKvResult_t result;
    bool is_watch;
    bool allow_stale;
    char prefix[128];
    int64_t after_revision;
    double deadline_s; /* of a watch; loop time */
    double timeout_s;  /* when the gateway gives up; loop time */
    bool lost;         /* it has timed out */
} StoreRequest_t;

/* Lists those of the stored items below a prefix that changed after a revision
   and returns their number. The keys and values still belong to the store. */
static int
store_select_items(const StoreItem_t *stored, int stored_count,
                   const char *prefix, int64_t after_revision,
                   bool include_removed, AprKvItem_t *items)
{
    int count = 0;

    for (int i = 0; i < stored_count; i++) {
        const StoreItem_t *item = &stored[i];

        if (item->revision <= after_revision ||
            (item->removed && !include_removed) ||
            strncmp(item->key, prefix, strlen(prefix)) != 0) {
            continue;
        }
        items[count].key = item->key;
        items[count].value = item->removed ? "" : item->value;
        items[count].value_size = strlen(items[count].value);
        items[count].revision = item->revision;
        items[count].lease = item->lease;
        items[count].removed = item->removed;
        count++;
    }
    return count;
}

/* Lists the present items; see store_select_items(). */
static int
store_collect_items(ClusterStore_t *store, const char *prefix,
                    int64_t after_revision, bool include_removed,
                    AprKvItem_t *items)
{
    return store_select_items(store->items, store->item_count, prefix,
                              after_revision, include_removed, items);
}

/* Lets reads that may be outdated return the present items from now on. */
static inline void
store_freeze_stale_reads(ClusterStore_t *store)
{
    store->stale_revision = store->revision;
    store->stale_item_count = store->item_count;
    for (int i = 0; i < store->item_count; i++) {
        store->stale_items[i] = store->items[i];
        if (store->items[i].value != NULL) {
            store->stale_items[i].value = strdup(store->items[i].value);
        }
    }
}

/* Returns whether a request gets no answer for now, and lets it wait in that
   case. Once it has timed out, its result is an unknown outcome. */
static bool
store_keep_silent(struct ev_loop *loop, StoreRequest_t *request)
{
    if (!request->host->store_silent || request->lost) {
        return false;
    }
    request->lost = ev_now(loop) >= request->timeout_s;
    ev_timer_set(&request->timer, request->lost ? 0.0 : 0.02, 0.0);
    ev_timer_start(loop, &request->timer);
    return true;
}

/* Copies stored items; the caller frees the values. */
static inline int
store_copy_items(const StoreItem_t *from, int count, StoreItem_t *to)
{
    memset(to, 0, CLUSTER_MAX_ITEMS * sizeof(*to));
    for (int i = 0; i < count; i++) {
        to[i] = from[i];
        to[i].value = from[i].value == NULL ? NULL : strdup(from[i].value);
    }
    return count;
}

/* Takes the copy for store_return_from_copy(). */
static inline void
store_take_copy(ClusterStore_t *store)
{
    StoreCopy_t *copy = &store->copy;

    copy->item_count =
        store_copy_items(store->items, store->item_count, copy->items);
    copy->revision = store->revision;
    memcpy(copy->leases, store->leases, sizeof(copy->leases));
    copy->lease_count = store->lease_count;
}

/* Lets the store come back from its copy in the next era: changes since are
   lost, leases begin anew, and revisions are given out again. */
static inline void
store_return_from_copy(ClusterStore_t *store)
{
    const StoreCopy_t *copy = &store->copy;
    int64_t era = AprRevision_Era(store->revision) + 1;

    store->item_count =
        store_copy_items(copy->items, copy->item_count, store->items);
    for (int i = 0; i < store->item_count; i++) {
        StoreItem_t *item = &store->items[i];

        item->revision =
            AprRevision_Make(era, AprRevision_Number(item->revision));
    }
    store->revision =
        AprRevision_Make(era, AprRevision_Number(copy->revision));
    store->compacted_revision = store->revision;
    for (int i = 0; i < store->lease_count; i++) {
        StoreLease_t *lease = &store->leases[i];

        lease->expires_s = 0;
        if (i < copy->lease_count && copy->leases[i].expires_s != 0) {
            lease->expires_s = ev_now(store->loop) + lease->ttl_s;
        }
    }
    store->down = false;
}

/* Records the era of a response. Returns whether the request was sent in the
   same one: the store answers no request across its return. */
static bool
store_note_era(StoreRequest_t *request)
{
    int64_t era = AprRevision_Era(request->store->revision);

    if (request->era != era) {
        return false;
    }
    request->host->known_era = era;
    return true;
}

static int64_t
store_era(void *self)
{
    return ((ClusterHost_t *)self)->known_era;
}

/* Completes a request, or lets a watch without changes poll again until its
   deadline. A request of a killed gateway is dropped. */
static void
store_complete_request(struct ev_loop *loop, ev_timer *timer, int events)
{
    StoreRequest_t *request = timer->data;
    AprKvItem_t items[CLUSTER_MAX_ITEMS];

    (void)events;
    if (request->gateway_generation != request->host->gateway_generation) {
        free(request);
        return;
    }
    if (store_keep_silent(loop, request)) {
        return;
    }
    if (request->store->down || request->lost || !store_note_era(request)) {
        request->result.code = APR_E_UNKNOWN_OUTCOME;
    }
    else if (request->is_watch &&
             request->after_revision < request->store->compacted_revision) {
        request->result.code = APR_E_STALE;
    }
    else if (request->is_watch) {
        request->result.items = items;
        request->result.item_count =
            store_collect_items(request->store, request->prefix,
                                request->after_revision, true, items);
        request->result.revision = request->store->revision;
        if (request->result.item_count == 0 &&
            ev_now(loop) < request->deadline_s) {
            ev_timer_set(timer,
                         request->store->watch_poll_s > 0
                             ? request->store->watch_poll_s
                             : 0.02,
                         0.0);
            ev_timer_start(loop, timer);
            return;
        }
    }
    request->done(request->context, &request->result);
    free(request);
}

/* Creates a request that completes after a short delay. The result has code
   APR_OK as long as the caller sets no other. */
static StoreRequest_t *
store_start_request(ClusterHost_t *host, AprKvCallback_t done, void *context)
{
    ClusterStore_t *store = &host->cluster->store;
    StoreRequest_t *request = calloc(1, sizeof(*request));

    request->store = store;
    request->host = host;
    request->gateway_generation = host->gateway_generation;
    request->era = AprRevision_Era(store->revision);
    request->done = done;
    request->context = context;
    ev_timer_init(&request->timer, store_complete_request,
                  store->down ? 0.5 : 0.003, 0.0);
    request->timer.data = request;
    request->timeout_s = ev_now(store->loop) + CLUSTER_STORE_TIMEOUT_S;
    ev_timer_start(store->loop, &request->timer);
    return request;
}

static void
store_complete_range(struct ev_loop *loop, ev_timer *timer, int events)
{
    StoreRequest_t *request = timer->data;
    AprKvItem_t items[CLUSTER_MAX_ITEMS];

    (void)events;
    if (request->gateway_generation != request->host->gateway_generation) {
        free(request);
        return;
    }
    if (store_keep_silent(loop, request)) {
        return;
    }
    request->result.items = items;
    if (request->store->down || request->lost || !store_note_era(request)) {
        request->result.code = APR_E_UNKNOWN_OUTCOME;
    }
    else if (request->host->store_refuses_reads) {
        request->result.code = APR_E_UNAVAILABLE;
    }
    else if (request->allow_stale && request->store->stale_revision != 0) {
        request->result.item_count = store_select_items(
            request->store->stale_items, request->store->stale_item_count,
            request->prefix, 0, false, items);
        request->result.revision = request->store->stale_revision;
    }
    else {
        request->result.item_count = store_collect_items(
            request->store, request->prefix, 0, false, items);
        request->result.revision = request->store->revision;
    }
    request->done(request->context, &request->result);
    free(request);
}

static void
store_complete_conflict(struct ev_loop *loop, ev_timer *timer, int events)
{
    StoreRequest_t *request = timer->data;
    AprKvItem_t items[CLUSTER_MAX_ITEMS];

    (void)loop;
    (void)events;
    request->result.items = items;
    request->result.code = APR_E_UNKNOWN_OUTCOME;
    if (store_note_era(request)) {
        request->result.item_count = store_collect_items(
            request->store, request->prefix, 0, false, items);
        request->result.code = APR_E_CONFLICT;
    }
    if (request->gateway_generation == request->host->gateway_generation) {
        request->done(request->context, &request->result);
    }
    free(request);
}

static void
store_range(void *self, const char *prefix, const char *after,
            bool allow_stale, AprKvCallback_t done, void *context)
{
    StoreRequest_t *request = store_start_request(self, done, context);

    (void)after;
    request->allow_stale = allow_stale;
    ev_set_cb(&request->timer, store_complete_range);
    snprintf(request->prefix, sizeof(request->prefix), "%s", prefix);
}

static void
store_watch(void *self, const char *prefix, int64_t after_revision,
            int64_t wait_ms, AprKvCallback_t done, void *context)
{
    ClusterStore_t *store = &((ClusterHost_t *)self)->cluster->store;
    StoreRequest_t *request = store_start_request(self, done, context);

    if (store->ignores_watches) {
        request->result.code = APR_E_UNKNOWN_OUTCOME;
        ev_timer_stop(store->loop, &request->timer);
        ev_timer_set(&request->timer,
                     (double)wait_ms / 1000.0 + CLUSTER_STORE_TIMEOUT_S, 0.0);
        ev_timer_start(store->loop, &request->timer);
        return;
    }
    request->is_watch = true;
    request->after_revision = after_revision;
    request->deadline_s = ev_now(store->loop) + (double)wait_ms / 1000.0;
    request->timeout_s = request->deadline_s + CLUSTER_STORE_TIMEOUT_S;
    snprintf(request->prefix, sizeof(request->prefix), "%s", prefix);
}

static StoreItem_t *
store_find_item(ClusterStore_t *store, const char *key)
{
    for (int i = 0; i < store->item_count; i++) {
        if (strcmp(store->items[i].key, key) == 0) {
            return &store->items[i];
        }
    }
    return NULL;
}

/* Writes an item with the present revision; removes it if `value` is NULL. */
static void
store_put_item(ClusterStore_t *store, const char *key, const char *value,
               int64_t lease)
{
    StoreItem_t *item = store_find_item(store, key);

    if (item == NULL) {
        item = &store->items[store->item_count++];
        snprintf(item->key, sizeof(item->key), "%s", key);
    }
    free(item->value);
    item->value = value == NULL ? NULL : strdup(value);
    item->removed = value == NULL;
    item->lease = lease;
    item->revision = store->revision;
}

/* Drops the history up to the present revision, removals included. */
static inline void
store_compact(ClusterStore_t *store)
{
    int kept = 0;

    for (int i = 0; i < store->item_count; i++) {
        if (!store->items[i].removed) {
            store->items[kept++] = store->items[i];
        }
    }
    memset(&store->items[kept], 0,
           (size_t)(store->item_count - kept) * sizeof(store->items[0]));
    store->item_count = kept;
    store->compacted_revision = store->revision;
}

/* Returns a lease that has not ended, or NULL. */
static StoreLease_t *
store_find_lease(ClusterStore_t *store, int64_t id)
{
    for (int i = 0; i < store->lease_count; i++) {
        if (store->leases[i].id == id &&
            store->leases[i].expires_s > ev_now(store->loop)) {
            return &store->leases[i];
        }
    }
    return NULL;
}

static bool
store_conditions_hold(ClusterStore_t *store,
                      const AprKvTransaction_t *transaction)
{
    for (int i = 0; i < transaction->condition_count; i++) {
        StoreItem_t *item =
            store_find_item(store, transaction->conditions[i].key);
        int64_t revision = item == NULL || item->removed ? 0 : item->revision;

        if (revision != transaction->conditions[i].revision) {
            return false;
        }
    }
    return true;
}

/* Carries out a change without a check of its conditions. */
static void
store_apply_change(ClusterStore_t *store,
                   const AprKvTransaction_t *transaction)
{
    store->commit_count++;
    store->revision++;
    for (int i = 0; i < transaction->write_count; i++) {
        char *value = strndup(transaction->writes[i].value,
                              transaction->writes[i].value_size);

        store_put_item(store, transaction->writes[i].key, value,
                       transaction->writes[i].lease);
        free(value);
    }
    for (int i = 0; i < transaction->removal_count; i++) {
        StoreItem_t *item = store_find_item(store, transaction->removals[i]);

        if (item != NULL && !item->removed) {
            store_put_item(store, transaction->removals[i], NULL, 0);
        }
    }
}

/* Returns whether the change is to be lost, and keeps a copy of it if so. */
static bool
store_lose_change(ClusterStore_t *store, const AprKvTransaction_t *transaction)
{
    AprKvTransaction_t *copy = &store->late_change;

    if (store->lost_prefix == NULL || transaction->write_count == 0 ||
        strncmp(transaction->writes[0].key, store->lost_prefix,
                strlen(store->lost_prefix)) != 0) {
        return false;
    }
    store->lost_prefix = NULL;
    store->has_late_change = true;
    *copy = *transaction;
    for (int i = 0; i < copy->condition_count; i++) {
        copy->conditions[i].key = strdup(transaction->conditions[i].key);
    }
    for (int i = 0; i < copy->write_count; i++) {
        copy->writes[i].key = strdup(transaction->writes[i].key);
        copy->writes[i].value = strndup(transaction->writes[i].value,
                                        transaction->writes[i].value_size);
    }
    for (int i = 0; i < copy->removal_count; i++) {
        copy->removals[i] = strdup(transaction->removals[i]);
    }
    return true;
}

/* Carries out the lost change if its conditions still hold; returns whether
   they did. */
static inline bool
store_apply_late_change(ClusterStore_t *store)
{
    AprKvTransaction_t *change = &store->late_change;
    bool holds = store_conditions_hold(store, change);

    if (holds) {
        store_apply_change(store, change);
    }
    for (int i = 0; i < change->condition_count; i++) {
        free((char *)change->conditions[i].key);
    }
    for (int i = 0; i < change->write_count; i++) {
        free((char *)change->writes[i].key);
        free((char *)change->writes[i].value);
    }
    for (int i = 0; i < change->removal_count; i++) {
        free((char *)change->removals[i]);
    }
    store->has_late_change = false;
    return holds;
}

static void
store_commit(void *self, const AprKvTransaction_t *transaction,
             AprKvCallback_t done, void *context)
{
    ClusterHost_t *host = self;
    ClusterStore_t *store = &host->cluster->store;
    StoreRequest_t *request = store_start_request(self, done, context);

    if (store->down) {
        return;
    }
    if (host->store_refuses_changes) {
        request->result.code = APR_E_UNAVAILABLE;
        return;
    }
    if (store_lose_change(store, transaction)) {
        request->result.code = APR_E_UNKNOWN_OUTCOME;
        ev_timer_stop(store->loop, &request->timer);
        ev_timer_set(&request->timer, CLUSTER_STORE_TIMEOUT_S, 0.0);
        ev_timer_start(store->loop, &request->timer);
        return;
    }
    if (!store_conditions_hold(store, transaction)) {
        store->conflict_count++;
        /* The response lists all items in the folder of the first key. */
        snprintf(request->prefix, sizeof(request->prefix), "%s",
                 transaction->conditions[0].key);
        *strrchr(request->prefix, '/') = '\0';
        ev_set_cb(&request->timer, store_complete_conflict);
        return;
    }
    store_apply_change(store, transaction);
    request->result.revision = store->revision;
}

static void
store_create_lease(void *self, int64_t ttl_ms, AprKvCallback_t done,
                   void *context)
{
    ClusterStore_t *store = &((ClusterHost_t *)self)->cluster->store;
    StoreRequest_t *request = store_start_request(self, done, context);
    StoreLease_t *lease;

    if (store->down) {
        return;
    }
    lease = &store->leases[store->lease_count++];
    lease->id = 1000 + store->lease_count;
    lease->ttl_s = (double)ttl_ms / 1000.0;
    lease->expires_s = ev_now(store->loop) + lease->ttl_s;
    request->result.lease = lease->id;
}

static void
store_renew_lease(void *self, int64_t id, AprKvCallback_t done, void *context)
{
    ClusterStore_t *store = &((ClusterHost_t *)self)->cluster->store;
    StoreRequest_t *request = store_start_request(self, done, context);
    StoreLease_t *lease = store_find_lease(store, id);

    if (lease == NULL) {
        request->result.code = APR_E_NOT_FOUND;
    }
    else if (!store->down) {
        lease->expires_s = ev_now(store->loop) + lease->ttl_s;
    }
}

static void
store_remove_leased_items(ClusterStore_t *store, int64_t id)
{
    store->revision++;
    for (int i = 0; i < store->item_count; i++) {
        if (!store->items[i].removed && store->items[i].lease == id) {
            store_put_item(store, store->items[i].key, NULL, 0);
        }
    }
}

static void
store_end_lease(void *self, int64_t id, AprKvCallback_t done, void *context)
{
    ClusterStore_t *store = &((ClusterHost_t *)self)->cluster->store;
    StoreRequest_t *request = store_start_request(self, done, context);
    StoreLease_t *lease = store_find_lease(store, id);

    if (lease == NULL) {
        request->result.code = APR_E_NOT_FOUND;
        return;
    }
    lease->expires_s = 0;
    store_remove_leased_items(store, id);
}

static void
store_expire_leases(ClusterStore_t *store)
{
    for (int i = 0; i < store->lease_count && !store->down; i++) {
        if (store->leases[i].expires_s != 0 &&
            store->leases[i].expires_s <= ev_now(store->loop)) {
            store->leases[i].expires_s = 0;
            store_remove_leased_items(store, store->leases[i].id);
        }
    }
}

/* Returns whether the backend server runs and an unexpired grant covers the
   key. */
static bool
host_holds_key(const ClusterHost_t *host, int key)
{
    if (host->backend == NULL ||
        ev_now(host->cluster->loop) >= host->held_until_s) {
        return false;
    }
    for (int i = 0; i < host->held_count; i++) {
        if (host->held[i].first <= key && key <= host->held[i].last) {
            return true;
        }
    }
    return false;
}

/* Samples every 97th key and adds those with several holders to the overlaps
   of the cluster. */
static void
cluster_count_overlaps(Cluster_t *cluster)
{
    for (int key = 0; key < APR_KEY_COUNT; key += 97) {
        int holders = 0;

        for (int i = 0; i < CLUSTER_HOSTS; i++) {
            holders += host_holds_key(&cluster->hosts[i], key) ? 1 : 0;
        }
        cluster->overlaps += holders > 1 ? 1 : 0;
    }
}

/* Samples every 97th key and returns the number of those without a holder. */
static inline int
cluster_count_unheld_keys(Cluster_t *cluster)
{
    int unheld = 0;

    for (int key = 0; key < APR_KEY_COUNT; key += 97) {
        int holders = 0;

        for (int i = 0; i < CLUSTER_HOSTS; i++) {
            holders += host_holds_key(&cluster->hosts[i], key) ? 1 : 0;
        }
        unheld += holders == 0 ? 1 : 0;
    }
    return unheld;
}

/* Adds each held range that the new grants lack to the released ranges, with
   a handover token. */
static void
host_release_lost_keys(ClusterHost_t *host, const AprGrant_t *grants,
                       int count)
{
    for (int i = 0; i < host->held_count; i++) {
        AprGrant_t *old = &host->held[i];
        int key = old->first;

        while (key <= old->last) {
            int last = key;
            bool kept = false;

            for (int j = 0; j < count; j++) {
                if (grants[j].first <= key && key <= grants[j].last) {
                    kept = true;
                    last = grants[j].last < old->last ? grants[j].last
                                                      : old->last;
                }
            }
            if (!kept) {
                while (last < old->last) {
                    bool next_kept = false;

                    for (int j = 0; j < count; j++) {
                        next_kept |= grants[j].first <= last + 1 &&
                                     last + 1 <= grants[j].last;
                    }
                    if (next_kept) {
                        break;
                    }
                    last++;
                }
                if (host->released_count < CLUSTER_MAX_GRANTS) {
                    AprGrant_t *released =
                        &host->released[host->released_count++];

                    released->first = key;
                    released->last = last;
                    snprintf(released->token, sizeof(released->token),
                             "t%d-%d", host->index, key);
                }
            }
            key = last + 1;
        }
    }
}

/* Replaces the grants of a backend server by those of a heartbeat response. */
static void
host_on_grants(void *context, bool known, const AprGrant_t *grants, int count,
               int64_t grant_ms)
{
    ClusterHost_t *host = context;

    if (!known || count < 0) {
        return;
    }
    cluster_count_overlaps(host->cluster);
    host->grants_changed_s = ev_now(host->cluster->loop);
    if (ev_now(host->cluster->loop) < host->held_until_s) {
        host_release_lost_keys(host, grants, count);
    }
    host->held_count = count < CLUSTER_MAX_GRANTS ? count : CLUSTER_MAX_GRANTS;
    memcpy(host->held, grants, (size_t)host->held_count * sizeof(*host->held));
    host->held_until_s =
        ev_now(host->cluster->loop) + (double)grant_ms / 1000.0;
    cluster_count_overlaps(host->cluster);
    if (host->released_count > 0 && ev_is_active(&host->heartbeat_timer)) {
        ev_timer_stop(host->cluster->loop, &host->heartbeat_timer);
        ev_timer_set(&host->heartbeat_timer, CLUSTER_RELEASE_S,
                     CLUSTER_HEARTBEAT_S);
        ev_timer_start(host->cluster->loop, &host->heartbeat_timer);
    }
}

/* Sends a heartbeat of the backend server to the gateway of its host. */
static void
host_on_heartbeat_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
    ClusterHost_t *host = timer->data;
    AprGrant_t released[CLUSTER_MAX_GRANTS];
    AprHeartbeat_t heartbeat = {0};

    (void)loop;
    (void)events;
    if ((host->backend == NULL && !host->external_backend) ||
        host->gateway == NULL) {
        return;
    }
    heartbeat.incarnation = host->incarnation;
    heartbeat.sequence = ++host->sequence;
    heartbeat.slots = host->slots;
    heartbeat.leaving = host->leaving;
    if (host->cold_until_s > ev_now(loop)) {
        heartbeat.warm_up_ms =
            (int64_t)((host->cold_until_s - ev_now(loop)) * 1000) + 1;
    }
    strcpy(heartbeat.service, CLUSTER_SERVICE);
    strcpy(heartbeat.address, host->settings.backend_address);
    heartbeat.held = host->held;
    heartbeat.held_count = host->held_count;
    heartbeat.released = released;
    heartbeat.released_count = host->released_count;
    memcpy(released, host->released,
           (size_t)host->released_count * sizeof(*released));
    /* The reply, which may come before the call returns, adds new ones. */
    host->released_count = 0;
    AprOwnership_OnHeartbeat(host->gateway->ownership, &heartbeat,
                             host_on_grants, host);
}

/* A request that a backend server runs. */
typedef struct BackendRun_t {
    ev_timer timer;
    const ClusterHost_t *host;
    int backend_generation; /* of the backend server that runs the request */
    AprHttpCall_t *call;
    int response_size;
} BackendRun_t;

/* Replies to a request, unless the backend server was killed, which has freed
   the call. */
static void
host_on_run_end(struct ev_loop *loop, ev_timer *timer, int events)
{
    BackendRun_t *run = timer->data;

    (void)loop;
    (void)events;
    if (run->backend_generation != run->host->backend_generation) {
        free(run);
        return;
    }
    if (run->response_size > 0) {
        char *body = malloc((size_t)run->response_size);

        memset(body, 'x', (size_t)run->response_size);
        AprHttpCall_Reply(run->call, 200, "text/plain", body,
                          (size_t)run->response_size);
        free(body);
    }
    else {
        AprHttpCall_Reply(run->call, 200, "text/plain", "done", 4);
    }
    free(run);
}

/* Replies to a request for the health path. The reply names the remaining cold
   time in a line after the content type. */
static void
host_reply_to_probe(ClusterHost_t *host, AprHttpCall_t *call)
{
    double left_s = host->cold_until_s - ev_now(host->cluster->loop);
    char type[128];

    host->health_count++;
    snprintf(type, sizeof(type), "text/plain\r\nCold-Ms: %d",
             left_s > 0 ? (int)(left_s * 1000) + 1 : 0);
    if (host->health_header != NULL) {
        snprintf(type, sizeof(type), "text/plain\r\n%s", host->health_header);
    }
    AprHttpCall_Reply(call, 200, type, "ok", 2);
}

/* Runs a request at a backend server, and counts it as unowned if no grant
   covers its key. */
static void
host_serve_request(void *context, AprHttpCall_t *call, const char *method,
                   const char *path, const char *body, size_t size)
{
    ClusterHost_t *host = context;
    BackendRun_t *run;
    int key = atoi(path + strlen("/k/"));

    (void)method;
    (void)body;
    (void)size;
    if (host->on_request != NULL) {
        host->on_request(host, path);
    }
    if (cluster_health_path[0] != '\0' &&
        strcmp(path, cluster_health_path) == 0) {
        host_reply_to_probe(host, call);
        return;
    }
    host->run_count++;
    if (host->unresponsive) {
        return;
    }
    if (!host_holds_key(host, key)) {
        host->cluster->unowned_runs++;
        host->cluster->late_unowned_runs +=
            ev_now(host->cluster->loop) - host->grants_changed_s >
            CLUSTER_IN_FLIGHT_S;
    }
    run = calloc(1, sizeof(*run));
    run->call = call;
    run->host = host;
    run->backend_generation = host->backend_generation;
    run->response_size = host->response_size;
    ev_timer_init(&run->timer, host_on_run_end,
                  host->service_time_s > 0 ? host->service_time_s
                                           : CLUSTER_SERVICE_TIME_S,
                  0.0);
    run->timer.data = run;
    ev_timer_start(host->cluster->loop, &run->timer);
}

/* A caller's request on a connection of its own. */
typedef struct CallerRequest_t {
    Cluster_t *cluster;
    AprStream_t *stream;
    char text[512]; /* beginning of the response */
    size_t size;
} CallerRequest_t;

/* Counts the response by its status as soon as its head is complete, and ends
   the connection. */
static void
caller_on_data(void *context, const char *data, size_t size)
{
    CallerRequest_t *request = context;
    Cluster_t *cluster = request->cluster;
    size_t room = sizeof(request->text) - 1 - request->size;

    if (size > room) {
        size = room;
    }
    memcpy(request->text + request->size, data, size);
    request->size += size;
    request->text[request->size] = '\0';
    if (strstr(request->text, "\r\n\r\n") == NULL) {
        return;
    }
    if (strncmp(request->text, "HTTP/1.1 200", 12) == 0) {
        cluster->answered++;
    }
    else if (strncmp(request->text, "HTTP/1.1 503", 12) == 0) {
        cluster->refused++;
    }
    else {
        cluster->failed++;
        cluster->not_found += strncmp(request->text, "HTTP/1.1 404", 12) == 0;
    }
    AprStream_Close(request->stream);
    free(request);
}

static void
caller_on_close(void *context, int error)
{
    CallerRequest_t *request = context;

    (void)error;
    request->cluster->cut++;
    free(request);
}

static const AprStreamHandler_t caller_handler = {caller_on_data,
                                                  caller_on_close, NULL};

/* Sends a request for a key with a Host header to the gateway of a host. */
static void
cluster_send_to(Cluster_t *cluster, int host, const char *name, int key,
                const char *method)
{
    CallerRequest_t *request = calloc(1, sizeof(*request));
    char text[256];

    request->cluster = cluster;
    request->stream = AprStream_Connect(
        &cluster->streams, cluster->hosts[host].settings.listen_callers,
        &caller_handler, request);
    snprintf(text, sizeof(text),
             "%s /k/%d HTTP/1.1\r\nHost: %s\r\nAttempt: a%d\r\n"
             "Time-Left: 1000\r\nKey: %d\r\nContent-Length: 0\r\n\r\n",
             method, key, name, ++cluster->sent, key);
    AprStream_Write(request->stream, text, strlen(text));
}

/* Sends a request for a key to the gateway of a host. */
static inline void
cluster_send_request(Cluster_t *cluster, int host, int key, const char *method)
{
    cluster_send_to(cluster, host, "desk.example", key, method);
}

/* Opens a connection to the callers' address of a host, with a receive buffer
   of `buffer_size` bytes (0: of the usual size). */
static inline int
cluster_connect_caller(const ClusterHost_t *host, int buffer_size)
{
    struct sockaddr_in address = {.sin_family = AF_INET};
    int fd = socket(AF_INET, SOCK_STREAM, 0);

    if (buffer_size > 0) {
        setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &buffer_size,
                   sizeof(buffer_size));
    }
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port =
        htons((uint16_t)atoi(strrchr(host->settings.listen_callers, ':') + 1));
    if (connect(fd, (struct sockaddr *)&address, sizeof(address)) != 0) {
        perror("connect");
        abort();
    }
    fcntl(fd, F_SETFL, O_NONBLOCK);
    return fd;
}

/* Sets the size of the send buffers of connections that a gateway accepts from
   callers. */
static inline void
cluster_limit_send_buffers(const ClusterHost_t *host, int buffer_size)
{
    int port = atoi(strrchr(host->settings.listen_callers, ':') + 1);

    for (int fd = 3; fd < 1024; fd++) {
        struct sockaddr_in address = {0};
        socklen_t address_size = sizeof(address);
        int listens = 0;
        socklen_t size = sizeof(listens);

        if (getsockopt(fd, SOL_SOCKET, SO_ACCEPTCONN, &listens, &size) == 0 &&
            listens != 0 &&
            getsockname(fd, (struct sockaddr *)&address, &address_size) == 0 &&
            ntohs(address.sin_port) == port) {
            setsockopt(fd, SOL_SOCKET, SO_SNDBUF, &buffer_size,
                       sizeof(buffer_size));
        }
    }
}

static const AprHeaderNames_t cluster_header_names = {
    .attempt_id = "Attempt",
    .timeout = "Time-Left",
    .expected_incarnation = "Expected",
    .not_executed = "Not-Run",
    .caller_service = "Caller",
    .key = "Key",
    .request_limit = "Limit",
    .leaving = "Leaving",
    .nested_separator = '.',
    .attempt_id_echoed = false,
    .cold_left = "Cold-Ms",
    .incarnation = "Incarnation",
    .server_load = "Load",
};

/* Creates a configuration with one route to one service; `text` is its
   version, followed by "unkeyed" if the service has no keys, and by
   "idempotent" if requests may run more than once. */
static int
cluster_parse_routes(const char *text, size_t size, AprRouteTable_t **table,
                     AprError_t *error)
{
    AprRouteTable_t *routes = AprRouteTable_New(1, 1);

    (void)error;
    routes->version = strtoull(text, NULL, 10);
    (void)size;
    strcpy(routes->services[0].name, CLUSTER_SERVICE);
    routes->services[0].cold_requests_per_s = cluster_cold_per_s;
    strcpy(routes->services[0].health_path, cluster_health_path);
    routes->services[0].key_warmup_ms = cluster_key_warmup_ms;
    routes->services[0].owns_keys = strstr(text, "unkeyed") == NULL;
    routes->routes[0].host = strdup("desk.example");
    routes->routes[0].prefix = strdup("/");
    strcpy(routes->routes[0].name, "all");
    routes->routes[0].idempotent = strstr(text, "idempotent") != NULL;
    routes->routes[0].max_attempts = 2;
    routes->routes[0].timeout_ms = 1000;
    routes->routes[0].objective_ms = 300;
    routes->routes[0].service_count = 1;
    routes->routes[0].services[0].weight = 1;
    routes->limits.max_head_bytes = 8192;
    routes->limits.max_body_bytes = 1 << 20;
    routes->limits.head_timeout_ms = 3000;
    routes->limits.idle_timeout_ms = 10000;
    *table = routes;
    return AprRouteTable_BuildIndex(routes);
}

static void
host_start_gateway(ClusterHost_t *host)
{
    /* The operators' prefix covers the key of the configuration. */
    AprGatewayOptions_t options = {
        &host->settings, &cluster_header_names, &host->kv,
        "config",        cluster_parse_routes,  "conf",
        "conf/evacuate/"};
    AprError_t error;

    host->gateway =
        AprGateway_New(host->cluster->loop, &host->cluster->streams, &options);
    if (AprGateway_Start(host->gateway, &error) != APR_OK) {
        fprintf(stderr, "%s\n", error.detail);
        abort();
    }
}

/* Stops a gateway at once. Its memory is not freed, because responses of the
   store that are still in flight refer to it. */
static void
host_kill_gateway(ClusterHost_t *host)
{
    ev_timer_stop(host->cluster->loop, &host->gateway->tick_timer);
    ev_timer_stop(host->cluster->loop, &host->gateway->stop_timer);
    AprStoreCache_Stop(host->gateway->store_cache);
    AprIngress_Free(host->gateway->ingress);
    AprLinks_Free(host->gateway->links);
    /* Calls that ended are not followed by queued ones. */
    ev_timer_stop(host->cluster->loop,
                  &host->gateway->backend->free_slot_timer);
    host->gateway = NULL;
    host->gateway_generation++;
}

/* Starts a new incarnation of a backend server, which holds no keys. */
static void
host_start_backend(ClusterHost_t *host)
{
    static int64_t born;

    host->backend = AprHttpServer_New(&host->cluster->streams,
                                      host->settings.backend_address,
                                      host_serve_request, host);
    snprintf(host->incarnation.id, sizeof(host->incarnation.id), "b%d",
             host->index);
    host->incarnation.started_ms = ++born;
    host->sequence = 0;
    host->held_count = 0;
}

static void
host_kill_backend(ClusterHost_t *host)
{
    AprHttpServer_Free(host->backend);
    host->backend = NULL;
    host->backend_generation++;
}

/* Writes an unused loopback address to a buffer of APR_ADDRESS_SIZE. */
static void
cluster_allocate_address(Cluster_t *cluster, char *address)
{
    snprintf(address, APR_ADDRESS_SIZE, "127.0.0.1:%d", cluster->next_port++);
}

/* Prepares the store and the settings of all hosts. */
static void
cluster_init(Cluster_t *cluster)
{
    memset(cluster, 0, sizeof(*cluster));
    cluster->loop = ev_loop_new(EVBACKEND_EPOLL);
    AprStreamSet_Init(&cluster->streams, cluster->loop);
    cluster->store.loop = cluster->loop;
    /* Lower than the ports that outgoing connections use. */
    cluster->next_port = 20000 + (int)(getpid() % 750) * 16;
    cluster->store.revision = 1;
    store_put_item(&cluster->store, "config", "1", 0);
    for (int i = 0; i < CLUSTER_HOSTS; i++) {
        ClusterHost_t *host = &cluster->hosts[i];
        AprKvStore_t kv = {host,
                           store_range,
                           store_watch,
                           store_commit,
                           store_create_lease,
                           store_renew_lease,
                           store_end_lease,
                           store_era};

        host->cluster = cluster;
        host->index = i;
        host->slots = 4;
        host->kv = kv;
        snprintf(host->settings.host, sizeof(host->settings.host), "h%d", i);
        snprintf(host->settings.failure_domain, APR_NAME_SIZE, "d%d", i % 3);
        strcpy(host->settings.backend_service, CLUSTER_SERVICE);
        strcpy(host->settings.store_prefix, "apricot/");
        cluster_allocate_address(cluster, host->settings.listen_callers);
        cluster_allocate_address(cluster, host->settings.listen_peers);
        cluster_allocate_address(cluster, host->settings.backend_address);
        host->settings.cpu_share = 1;
        host->settings.link_mbps = 1000;
        host->settings.heartbeat_s = CLUSTER_HEARTBEAT_S;
        host->settings.config_deadline_s = 2;
        host->settings.hold_max_s = 10;
        host->settings.drain_s = 2;
        host->settings.stop_grace_s = 6;
        host->settings.cold_over = 1.5;
        host->settings.cold_slack = 8;
    }
}

/* Starts all gateways and backend servers and schedules the heartbeats. */
static void
cluster_start_hosts(Cluster_t *cluster)
{
    for (int i = 0; i < CLUSTER_HOSTS; i++) {
        ClusterHost_t *host = &cluster->hosts[i];

        host_start_backend(host);
        host_start_gateway(host);
        ev_timer_init(&host->heartbeat_timer, host_on_heartbeat_timer,
                      0.05 * i, CLUSTER_HEARTBEAT_S);
        host->heartbeat_timer.data = host;
        ev_timer_start(cluster->loop, &host->heartbeat_timer);
    }
}

/* Starts a cluster with the usual settings. */
static inline void
cluster_start(Cluster_t *cluster)
{
    cluster_init(cluster);
    cluster_start_hosts(cluster);
}

/* Starts a cluster with a store that names its first era. */
static inline void
cluster_start_in_first_era(Cluster_t *cluster)
{
    cluster_init(cluster);
    cluster->store.revision = AprRevision_Make(1, 1);
    store_put_item(&cluster->store, "config", "1", 0);
    cluster_start_hosts(cluster);
}

/* Returns the number of items that a host sent to other hosts. */
static inline int64_t
host_items_sent(ClusterHost_t *host)
{
    return AprMetric_Value(AprMetrics_RegisterCounter(
        host->gateway->metrics, "items_sent_total", "", ""));
}

static void
on_run_timeout(struct ev_loop *loop, ev_timer *timer, int events)
{
    (void)timer;
    (void)events;
    ev_break(loop, EVBREAK_ONE);
}

/* Runs the event loop for some seconds, and every 20 ms ends expired leases
   and counts overlaps. */
static void
cluster_run_for(Cluster_t *cluster, double seconds)
{
    double end;

    ev_now_update(cluster->loop);
    end = ev_now(cluster->loop) + seconds;
    while (ev_now(cluster->loop) < end) {
        ev_timer timer;

        ev_timer_init(&timer, on_run_timeout, 0.02, 0.0);
        ev_timer_start(cluster->loop, &timer);
        ev_run(cluster->loop, 0);
        ev_timer_stop(cluster->loop, &timer);
        store_expire_leases(&cluster->store);
        cluster_count_overlaps(cluster);
    }
}

/* Lets the store go away for a moment and come back from its copy. */
static inline void
cluster_return_from_copy(Cluster_t *cluster)
{
    cluster->store.down = true;
    cluster_run_for(cluster, CLUSTER_STORE_AWAY_S);
    store_return_from_copy(&cluster->store);
}

/* Runs the event loop for some seconds, and every 20 ms sends a request to the
   next host whose gateway runs and is not stopping. */
static inline void
cluster_run_with_load(Cluster_t *cluster, double seconds, const char *method)
{
    int steps = (int)(seconds / 0.02);

    for (int i = 0; i < steps; i++) {
        ClusterHost_t *host = &cluster->hosts[i % CLUSTER_HOSTS];

        if (host->gateway != NULL &&
            host->gateway->stop_step == APR_STOP_NONE) {
            cluster_send_request(cluster, i % CLUSTER_HOSTS,
                                 (i * 7919) % APR_KEY_COUNT, method);
        }
        cluster_run_for(cluster, 0.02);
    }
}

/* Runs the event loop until all keys are held or the timeout is reached;
   returns the seconds that this took. */
static inline double
cluster_wait_until_held(Cluster_t *cluster, double timeout_s)
{
    double waited_s = 0;

    while (waited_s < timeout_s && cluster_count_unheld_keys(cluster) > 0) {
        cluster_run_for(cluster, 0.1);
        waited_s += 0.1;
    }
    return waited_s;
}

/* Kills all gateways and backend servers. */
static inline void
cluster_stop(Cluster_t *cluster)
{
    for (int i = 0; i < CLUSTER_HOSTS; i++) {
        ev_timer_stop(cluster->loop, &cluster->hosts[i].heartbeat_timer);
        if (cluster->hosts[i].gateway != NULL) {
            host_kill_gateway(&cluster->hosts[i]);
        }
        host_kill_backend(&cluster->hosts[i]);
    }
    cluster_run_for(cluster, 0.1);
}

#endif
