#ifndef APRICOT_TESTS_GATEWAY_CELL_H
#define APRICOT_TESTS_GATEWAY_CELL_H

/* Gateways, backend servers and a store in one process on one event loop, for
   tests that bring failures about. Links and requests go over loopback. */

#include <ev.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "apricot/error.h"
#include "apricot/gateway_settings.h"
#include "internal/gateway.h"
#include "internal/http_service.h"

#define CELL_HOSTS 4
#define CELL_SERVICE "desk"
#define CELL_BEAT_S 0.3
#define CELL_WORK_S 0.01
#define CELL_MAX_ITEMS 64
#define CELL_MAX_GRANTS 64

/* The store: items with revisions, leases and watches that poll. */
typedef struct CellItem_t {
    char key[128];
    char *value;
    int64_t revision;
    int64_t lease;
    bool removed;
} CellItem_t;

typedef struct CellLease_t {
    int64_t id;
    double ends; /* loop time; 0: free */
    double ttl;
} CellLease_t;

typedef struct CellStore_t {
    struct ev_loop *loop;
    CellItem_t items[CELL_MAX_ITEMS];
    int count;
    int64_t revision;
    CellLease_t leases[64];
    int lease_count;
    bool down;
    bool swallows; /* watches that come now are never answered */
    int writes;
    int conflicts;
} CellStore_t;

typedef struct CellHost_t CellHost_t;
typedef struct Cell_t Cell_t;

struct CellHost_t {
    Cell_t *cell;
    int index;
    AprGatewaySettings_t settings;
    AprKv_t kv;
    AprGateway_t *gateway;     /* NULL: not running */
    AprHttpService_t *backend; /* NULL: not running */
    AprBackendLife_t life;
    int64_t sequence;
    bool leaving;
    bool dark; /* answers nothing */
    int slots;
    AprGrant_t held[CELL_MAX_GRANTS];
    int held_count;
    double held_until;
    AprGrant_t released[CELL_MAX_GRANTS];
    int released_count;
    ev_timer beat;
    int runs;
    int generation; /* rises when the gateway is killed */
};

struct Cell_t {
    struct ev_loop *loop;
    AprStreamSet_t streams;
    CellStore_t store;
    CellHost_t hosts[CELL_HOSTS];
    int next_port;
    int overlaps;     /* keys held by two backend servers at once */
    int unowned_runs; /* runs of a key that the backend server did not hold */
    int answered;
    int refused;
    int cut;
    int failed;
    int sent;
};

/* A call of the store that answers a moment later. */
typedef struct CellCall_t {
    CellStore_t *store;
    const CellHost_t *host;
    int generation; /* of the host's gateway */
    ev_timer timer;
    AprKvDone_t done;
    void *context;
    AprKvResult_t result;
    bool is_watch;
    char prefix[128];
    int64_t after;
    double until;
} CellCall_t;

static int
cell_collect(CellStore_t *store, const char *prefix, int64_t after,
             bool removed_too, AprKvItem_t *items)
{
    int count = 0;

    for (int i = 0; i < store->count; i++) {
        CellItem_t *item = &store->items[i];

        if (item->revision <= after || (item->removed && !removed_too) ||
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

static void
cell_on_call(struct ev_loop *loop, ev_timer *timer, int events)
{
    CellCall_t *call = timer->data;
    AprKvItem_t items[CELL_MAX_ITEMS];

    (void)events;
    if (call->generation != call->host->generation) {
        free(call);
        return;
    }
    if (call->store->down) {
        call->result.code = APR_E_UNKNOWN;
    }
    else if (call->is_watch) {
        call->result.items = items;
        call->result.item_count =
            cell_collect(call->store, call->prefix, call->after, true, items);
        call->result.revision = call->store->revision;
        if (call->result.item_count == 0 && ev_now(loop) < call->until) {
            ev_timer_set(timer, 0.02, 0.0);
            ev_timer_start(loop, timer);
            return;
        }
    }
    call->done(call->context, &call->result);
    free(call);
}

static CellCall_t *
cell_call(CellHost_t *host, AprKvDone_t done, void *context)
{
    CellStore_t *store = &host->cell->store;
    CellCall_t *call = calloc(1, sizeof(*call));

    call->store = store;
    call->host = host;
    call->generation = host->generation;
    call->done = done;
    call->context = context;
    ev_timer_init(&call->timer, cell_on_call, store->down ? 0.5 : 0.003, 0.0);
    call->timer.data = call;
    ev_timer_start(store->loop, &call->timer);
    return call;
}

static void
cell_on_range(struct ev_loop *loop, ev_timer *timer, int events)
{
    CellCall_t *call = timer->data;
    AprKvItem_t items[CELL_MAX_ITEMS];

    (void)loop;
    (void)events;
    if (call->generation != call->host->generation) {
        free(call);
        return;
    }
    call->result.code = call->store->down ? APR_E_UNKNOWN : APR_OK;
    call->result.items = items;
    call->result.item_count =
        cell_collect(call->store, call->prefix, 0, false, items);
    call->result.revision = call->store->revision;
    call->done(call->context, &call->result);
    free(call);
}

static void
cell_on_conflict(struct ev_loop *loop, ev_timer *timer, int events)
{
    CellCall_t *call = timer->data;
    AprKvItem_t items[CELL_MAX_ITEMS];

    (void)loop;
    (void)events;
    call->result.items = items;
    call->result.item_count =
        cell_collect(call->store, call->prefix, 0, false, items);
    call->result.code = APR_E_CONFLICT;
    if (call->generation == call->host->generation) {
        call->done(call->context, &call->result);
    }
    free(call);
}

static void
cell_range(void *service, const char *prefix, const char *after,
           AprKvDone_t done, void *context)
{
    CellCall_t *call = cell_call(service, done, context);

    (void)after;
    ev_set_cb(&call->timer, cell_on_range);
    snprintf(call->prefix, sizeof(call->prefix), "%s", prefix);
}

static void
cell_watch(void *service, const char *prefix, int64_t after, int64_t wait_ms,
           AprKvDone_t done, void *context)
{
    CellStore_t *store = &((CellHost_t *)service)->cell->store;
    CellCall_t *call = cell_call(service, done, context);

    if (store->swallows) {
        call->result.code = APR_E_UNKNOWN;
        ev_timer_stop(store->loop, &call->timer);
        ev_timer_set(&call->timer, (double)wait_ms / 1000.0 + 1.0, 0.0);
        ev_timer_start(store->loop, &call->timer);
        return;
    }
    call->is_watch = true;
    call->after = after;
    call->until = ev_now(store->loop) + (double)wait_ms / 1000.0;
    snprintf(call->prefix, sizeof(call->prefix), "%s", prefix);
}

static CellItem_t *
cell_find(CellStore_t *store, const char *key)
{
    for (int i = 0; i < store->count; i++) {
        if (strcmp(store->items[i].key, key) == 0) {
            return &store->items[i];
        }
    }
    return NULL;
}

/* Writes an item with the present revision. */
static void
cell_put(CellStore_t *store, const char *key, const char *value, int64_t lease)
{
    CellItem_t *item = cell_find(store, key);

    if (item == NULL) {
        item = &store->items[store->count++];
        snprintf(item->key, sizeof(item->key), "%s", key);
    }
    free(item->value);
    item->value = value == NULL ? NULL : strdup(value);
    item->removed = value == NULL;
    item->lease = lease;
    item->revision = store->revision;
}

static CellLease_t *
cell_lease_of(CellStore_t *store, int64_t id)
{
    for (int i = 0; i < store->lease_count; i++) {
        if (store->leases[i].id == id &&
            store->leases[i].ends > ev_now(store->loop)) {
            return &store->leases[i];
        }
    }
    return NULL;
}

static bool
cell_holds(CellStore_t *store, const AprKvChange_t *change)
{
    for (int i = 0; i < change->condition_count; i++) {
        CellItem_t *item = cell_find(store, change->conditions[i].key);
        int64_t revision = item == NULL || item->removed ? 0 : item->revision;

        if (revision != change->conditions[i].revision) {
            return false;
        }
    }
    return true;
}

static void
cell_change(void *service, const AprKvChange_t *change, AprKvDone_t done,
            void *context)
{
    CellStore_t *store = &((CellHost_t *)service)->cell->store;
    CellCall_t *call = cell_call(service, done, context);

    if (store->down) {
        return;
    }
    if (!cell_holds(store, change)) {
        store->conflicts++;
        /* All items beside that of the first condition. */
        snprintf(call->prefix, sizeof(call->prefix), "%s",
                 change->conditions[0].key);
        *strrchr(call->prefix, '/') = '\0';
        ev_set_cb(&call->timer, cell_on_conflict);
        return;
    }
    store->writes++;
    store->revision++;
    for (int i = 0; i < change->write_count; i++) {
        char *value =
            strndup(change->writes[i].value, change->writes[i].value_size);

        cell_put(store, change->writes[i].key, value, change->writes[i].lease);
        free(value);
    }
    for (int i = 0; i < change->removal_count; i++) {
        CellItem_t *item = cell_find(store, change->removals[i]);

        if (item != NULL && !item->removed) {
            cell_put(store, change->removals[i], NULL, 0);
        }
    }
    call->result.revision = store->revision;
}

static void
cell_lease(void *service, int64_t ttl_ms, AprKvDone_t done, void *context)
{
    CellStore_t *store = &((CellHost_t *)service)->cell->store;
    CellCall_t *call = cell_call(service, done, context);
    CellLease_t *lease;

    if (store->down) {
        return;
    }
    lease = &store->leases[store->lease_count++];
    lease->id = 1000 + store->lease_count;
    lease->ttl = (double)ttl_ms / 1000.0;
    lease->ends = ev_now(store->loop) + lease->ttl;
    call->result.lease = lease->id;
}

static void
cell_renew(void *service, int64_t id, AprKvDone_t done, void *context)
{
    CellStore_t *store = &((CellHost_t *)service)->cell->store;
    CellCall_t *call = cell_call(service, done, context);
    CellLease_t *lease = cell_lease_of(store, id);

    if (lease == NULL) {
        call->result.code = APR_E_NOT_FOUND;
    }
    else if (!store->down) {
        lease->ends = ev_now(store->loop) + lease->ttl;
    }
}

static void
cell_expire(CellStore_t *store, int64_t id)
{
    store->revision++;
    for (int i = 0; i < store->count; i++) {
        if (!store->items[i].removed && store->items[i].lease == id) {
            cell_put(store, store->items[i].key, NULL, 0);
        }
    }
}

static void
cell_end_lease(void *service, int64_t id, AprKvDone_t done, void *context)
{
    CellStore_t *store = &((CellHost_t *)service)->cell->store;
    CellCall_t *call = cell_call(service, done, context);
    CellLease_t *lease = cell_lease_of(store, id);

    if (lease == NULL) {
        call->result.code = APR_E_NOT_FOUND;
        return;
    }
    lease->ends = 0;
    cell_expire(store, id);
}

static void
cell_check_leases(CellStore_t *store)
{
    for (int i = 0; i < store->lease_count && !store->down; i++) {
        if (store->leases[i].ends != 0 &&
            store->leases[i].ends <= ev_now(store->loop)) {
            store->leases[i].ends = 0;
            cell_expire(store, store->leases[i].id);
        }
    }
}

/* Backend servers. */

static bool
cell_host_holds(const CellHost_t *host, int key)
{
    if (host->backend == NULL ||
        ev_now(host->cell->loop) >= host->held_until) {
        return false;
    }
    for (int i = 0; i < host->held_count; i++) {
        if (host->held[i].first <= key && key <= host->held[i].last) {
            return true;
        }
    }
    return false;
}

static void
cell_check_overlaps(Cell_t *cell)
{
    for (int key = 0; key < APR_KEY_COUNT; key += 97) {
        int holders = 0;

        for (int i = 0; i < CELL_HOSTS; i++) {
            holders += cell_host_holds(&cell->hosts[i], key) ? 1 : 0;
        }
        cell->overlaps += holders > 1 ? 1 : 0;
    }
}

static int
cell_unheld(Cell_t *cell)
{
    int unheld = 0;

    for (int key = 0; key < APR_KEY_COUNT; key += 97) {
        int holders = 0;

        for (int i = 0; i < CELL_HOSTS; i++) {
            holders += cell_host_holds(&cell->hosts[i], key) ? 1 : 0;
        }
        unheld += holders == 0 ? 1 : 0;
    }
    return unheld;
}

/* Releases with a token what the new grants leave out. */
static void
cell_release(CellHost_t *host, const AprGrant_t *grants, int count)
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
                if (host->released_count < CELL_MAX_GRANTS) {
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

static void
cell_on_grants(void *context, bool known, const AprGrant_t *grants, int count,
               int64_t hold_ms)
{
    CellHost_t *host = context;

    if (!known || count < 0) {
        return;
    }
    cell_check_overlaps(host->cell);
    if (ev_now(host->cell->loop) < host->held_until) {
        cell_release(host, grants, count);
    }
    host->held_count = count < CELL_MAX_GRANTS ? count : CELL_MAX_GRANTS;
    memcpy(host->held, grants, (size_t)host->held_count * sizeof(*host->held));
    host->held_until = ev_now(host->cell->loop) + (double)hold_ms / 1000.0;
    cell_check_overlaps(host->cell);
}

static void
cell_on_beat(struct ev_loop *loop, ev_timer *timer, int events)
{
    CellHost_t *host = timer->data;
    AprBeat_t beat = {0};

    (void)loop;
    (void)events;
    if (host->backend == NULL || host->gateway == NULL) {
        return;
    }
    beat.life = host->life;
    beat.sequence = ++host->sequence;
    beat.slots = host->slots;
    beat.leaving = host->leaving;
    strcpy(beat.service, CELL_SERVICE);
    strcpy(beat.address, host->settings.backend_address);
    beat.held = host->held;
    beat.held_count = host->held_count;
    beat.released = host->released;
    beat.released_count = host->released_count;
    AprOwnership_Beat(host->gateway->ownership, &beat, cell_on_grants, host);
    host->released_count = 0;
}

typedef struct CellRun_t {
    ev_timer timer;
    AprHttpCall_t *call;
} CellRun_t;

static void
cell_on_run_end(struct ev_loop *loop, ev_timer *timer, int events)
{
    CellRun_t *run = timer->data;

    (void)loop;
    (void)events;
    AprHttpCall_Reply(run->call, 200, "text/plain", "done", 4);
    free(run);
}

static void
cell_serve(void *context, AprHttpCall_t *call, const char *method,
           const char *path, const char *body, size_t size)
{
    CellHost_t *host = context;
    CellRun_t *run;
    int key = atoi(path + strlen("/k/"));

    (void)method;
    (void)body;
    (void)size;
    host->runs++;
    if (host->dark) {
        return;
    }
    host->cell->unowned_runs += cell_host_holds(host, key) ? 0 : 1;
    run = calloc(1, sizeof(*run));
    run->call = call;
    ev_timer_init(&run->timer, cell_on_run_end, CELL_WORK_S, 0.0);
    run->timer.data = run;
    ev_timer_start(host->cell->loop, &run->timer);
}

/* Callers. */

typedef struct CellRequest_t {
    Cell_t *cell;
    AprStream_t *stream;
    char text[512];
    size_t size;
} CellRequest_t;

static void
cell_on_answer(void *context, const char *data, size_t size)
{
    CellRequest_t *request = context;
    Cell_t *cell = request->cell;
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
        cell->answered++;
    }
    else if (strncmp(request->text, "HTTP/1.1 503", 12) == 0) {
        cell->refused++;
    }
    else {
        cell->failed++;
    }
    AprStream_Close(request->stream);
    free(request);
}

static void
cell_on_cut(void *context, int error)
{
    CellRequest_t *request = context;

    (void)error;
    request->cell->cut++;
    free(request);
}

static const AprStreamHandler_t cell_caller = {cell_on_answer, cell_on_cut,
                                               NULL};

static void
cell_send(Cell_t *cell, int host, int key, const char *method)
{
    CellRequest_t *request = calloc(1, sizeof(*request));
    char text[256];

    request->cell = cell;
    request->stream = AprStream_Connect(
        &cell->streams, cell->hosts[host].settings.listen_callers,
        &cell_caller, request);
    snprintf(text, sizeof(text),
             "%s /k/%d HTTP/1.1\r\nHost: desk.example\r\nAttempt: a%d\r\n"
             "Time-Left: 1000\r\nKey: %d\r\nContent-Length: 0\r\n\r\n",
             method, key, ++cell->sent, key);
    AprStream_Write(request->stream, text, strlen(text));
}

/* Hosts. */

static const AprHeaderNames_t cell_names = {
    "Attempt", "Time-Left", "Expected", "Not-Run", "Caller", "Key", '.'};

static int
cell_read_routes(const char *text, size_t size, AprRouteTable_t **table,
                 AprError_t *error)
{
    AprRouteTable_t *routes = AprRouteTable_New(1, 1);

    (void)error;
    routes->version = strtoull(text, NULL, 10);
    (void)size;
    strcpy(routes->services[0].name, CELL_SERVICE);
    routes->services[0].keyed = true;
    routes->routes[0].host = strdup("desk.example");
    routes->routes[0].prefix = strdup("/");
    strcpy(routes->routes[0].name, "all");
    routes->routes[0].attempts = 2;
    routes->routes[0].limit_ms = 1000;
    routes->routes[0].objective_ms = 300;
    routes->routes[0].part_count = 1;
    routes->routes[0].parts[0].weight = 1;
    routes->limits.max_head_bytes = 8192;
    routes->limits.max_body_bytes = 1 << 20;
    routes->limits.head_timeout_ms = 3000;
    routes->limits.idle_timeout_ms = 10000;
    *table = routes;
    return AprRouteTable_BuildIndex(routes);
}

static void
cell_start_gateway(CellHost_t *host)
{
    AprGatewayOptions_t options = {&host->settings, &cell_names, &host->kv,
                                   "config", cell_read_routes};
    AprError_t error;

    host->gateway =
        AprGateway_New(host->cell->loop, &host->cell->streams, &options);
    if (AprGateway_Start(host->gateway, &error) != APR_OK) {
        fprintf(stderr, "%s\n", error.detail);
        abort();
    }
}

static void
cell_kill_gateway(CellHost_t *host)
{
    /* Answers of the store that are under way would come to a freed gateway:
       its memory stays, as that of a paused process does. */
    ev_timer_stop(host->cell->loop, &host->gateway->tick);
    ev_timer_stop(host->cell->loop, &host->gateway->stop_timer);
    AprReplica_Stop(host->gateway->replica);
    AprEntry_Free(host->gateway->entry);
    AprLinks_Free(host->gateway->links);
    host->gateway = NULL;
    host->generation++;
}

static void
cell_start_backend(CellHost_t *host)
{
    static int64_t born;

    host->backend =
        AprHttpService_New(&host->cell->streams,
                           host->settings.backend_address, cell_serve, host);
    snprintf(host->life.id, sizeof(host->life.id), "b%d", host->index);
    host->life.born_ms = ++born;
    host->sequence = 0;
    host->held_count = 0;
}

static void
cell_kill_backend(CellHost_t *host)
{
    AprHttpService_Free(host->backend);
    host->backend = NULL;
}

static void
cell_address(Cell_t *cell, char *address)
{
    snprintf(address, APR_ADDRESS_SIZE, "127.0.0.1:%d", cell->next_port++);
}

static void
cell_open(Cell_t *cell)
{
    memset(cell, 0, sizeof(*cell));
    cell->loop = ev_loop_new(EVBACKEND_EPOLL);
    AprStreamSet_Init(&cell->streams, cell->loop);
    cell->store.loop = cell->loop;
    /* Below the ports of outgoing connections. */
    cell->next_port = 20000 + (int)(getpid() % 1500) * 8;
    cell->store.revision = 1;
    cell_put(&cell->store, "config", "1", 0);
    for (int i = 0; i < CELL_HOSTS; i++) {
        CellHost_t *host = &cell->hosts[i];
        AprKv_t kv = {host,       cell_range, cell_watch,    cell_change,
                      cell_lease, cell_renew, cell_end_lease};

        host->cell = cell;
        host->index = i;
        host->slots = 4;
        host->kv = kv;
        snprintf(host->settings.host, sizeof(host->settings.host), "h%d", i);
        snprintf(host->settings.failure_domain, APR_NAME_SIZE, "d%d", i % 3);
        strcpy(host->settings.backend_service, CELL_SERVICE);
        strcpy(host->settings.store_prefix, "apricot/");
        cell_address(cell, host->settings.listen_callers);
        cell_address(cell, host->settings.listen_peers);
        cell_address(cell, host->settings.backend_address);
        host->settings.cpu_share = 1;
        host->settings.link_mbps = 1000;
        host->settings.heartbeat_s = CELL_BEAT_S;
        host->settings.hold_max_s = 10;
        host->settings.drain_s = 2;
        host->settings.stop_s = 6;
        cell_start_backend(host);
        cell_start_gateway(host);
        ev_timer_init(&host->beat, cell_on_beat, 0.05 * i, CELL_BEAT_S);
        host->beat.data = host;
        ev_timer_start(cell->loop, &host->beat);
    }
}

/* Number of items that a host sent to others. */
static int64_t
cell_items_sent(CellHost_t *host)
{
    return AprMetric_Value(AprMetrics_Counter(host->gateway->metrics,
                                              "items_sent_total", "", ""));
}

static void
cell_on_end(struct ev_loop *loop, ev_timer *timer, int events)
{
    (void)timer;
    (void)events;
    ev_break(loop, EVBREAK_ONE);
}

/* Lets time pass. */
static void
cell_run(Cell_t *cell, double seconds)
{
    double end;

    ev_now_update(cell->loop);
    end = ev_now(cell->loop) + seconds;
    while (ev_now(cell->loop) < end) {
        ev_timer timer;

        ev_timer_init(&timer, cell_on_end, 0.02, 0.0);
        ev_timer_start(cell->loop, &timer);
        ev_run(cell->loop, 0);
        ev_timer_stop(cell->loop, &timer);
        cell_check_leases(&cell->store);
        cell_check_overlaps(cell);
    }
}

/* Lets time pass while callers at all running hosts send requests. */
static void
cell_run_load(Cell_t *cell, double seconds, const char *method)
{
    int steps = (int)(seconds / 0.02);

    for (int i = 0; i < steps; i++) {
        CellHost_t *host = &cell->hosts[i % CELL_HOSTS];

        if (host->gateway != NULL &&
            host->gateway->stop_step == APR_STOP_NONE) {
            cell_send(cell, i % CELL_HOSTS, (i * 7919) % APR_KEY_COUNT,
                      method);
        }
        cell_run(cell, 0.02);
    }
}

/* Seconds until all keys are held again, at most `limit`. */
static double
cell_wait_held(Cell_t *cell, double limit)
{
    double waited = 0;

    while (waited < limit && cell_unheld(cell) > 0) {
        cell_run(cell, 0.1);
        waited += 0.1;
    }
    return waited;
}

static void
cell_close(Cell_t *cell)
{
    for (int i = 0; i < CELL_HOSTS; i++) {
        ev_timer_stop(cell->loop, &cell->hosts[i].beat);
        if (cell->hosts[i].gateway != NULL) {
            cell_kill_gateway(&cell->hosts[i]);
        }
        AprHttpService_Free(cell->hosts[i].backend);
    }
    cell_run(cell, 0.1);
}

#endif
