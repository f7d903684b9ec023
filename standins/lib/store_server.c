#include "standins/lib/store_server_private.h"

#include <stdlib.h>
#include <string.h>

#include "apricot/clock.h"
#include "apricot/error.h"

typedef enum CallKind_t {
    CALL_READ,
    CALL_WRITE,
    CALL_LEASE,
    CALL_WATCH
} CallKind_t;

/* Runs one call and returns its response, which the caller releases, or NULL
   for an invalid request. The mutex is held. */
typedef json_t *(*Operation_t)(AprStoreServer_t *server,
                               const json_t *request);

typedef struct Route_t {
    const char *path;
    CallKind_t kind;
    Operation_t run;
} Route_t;

static json_t *
run_range(AprStoreServer_t *server, const json_t *request)
{
    return AprStoreData_Range(server->data, request);
}

static json_t *
run_txn(AprStoreServer_t *server, const json_t *request)
{
    return AprStoreData_Txn(server->data, request);
}

static json_t *
run_put(AprStoreServer_t *server, const json_t *request)
{
    return AprStoreData_Put(server->data, request);
}

static json_t *
run_delete(AprStoreServer_t *server, const json_t *request)
{
    return AprStoreData_Delete(server->data, request);
}

static json_t *
run_lease_grant(AprStoreServer_t *server, const json_t *request)
{
    return AprStoreData_GrantLease(server->data, request,
                                   AprStoreServer_NowMs());
}

static json_t *
run_lease_keepalive(AprStoreServer_t *server, const json_t *request)
{
    return AprStoreData_KeepLeaseAlive(server->data, request,
                                       AprStoreServer_NowMs());
}

static const Route_t routes[] = {
    {"/v3/kv/range", CALL_READ, run_range},
    {"/v3/kv/txn", CALL_WRITE, run_txn},
    {"/v3/kv/put", CALL_WRITE, run_put},
    {"/v3/kv/deleterange", CALL_WRITE, run_delete},
    {"/v3/lease/grant", CALL_LEASE, run_lease_grant},
    {"/v3/lease/keepalive", CALL_LEASE, run_lease_keepalive},
    {"/v3/watch", CALL_WATCH, NULL},
};

static const Route_t *
find_route(const char *path)
{
    for (size_t i = 0; i < G_N_ELEMENTS(routes); i++) {
        if (strcmp(routes[i].path, path) == 0) {
            return &routes[i];
        }
    }
    return NULL;
}

static json_t *
new_error(int code, const char *message)
{
    json_t *object = json_object();

    json_object_set_new(object, "error", json_string(message));
    json_object_set_new(object, "code", json_integer(code));
    json_object_set_new(object, "message", json_string(message));
    return object;
}

/* Returns the monotonic time in milliseconds. */
int64_t
AprStoreServer_NowMs(void)
{
    AprClock_t clock = AprClock_System();

    return AprTime_ToMs(AprClock_Now(&clock));
}

/* Waits on `changed` for up to `ms` milliseconds. The caller holds the
   mutex. */
void
AprStoreServer_WaitForChange(AprStoreServer_t *server, int64_t ms)
{
    struct timespec limit;

    clock_gettime(CLOCK_MONOTONIC, &limit);
    limit = AprTime_AddMs(limit, ms);
    pthread_cond_timedwait(&server->changed, &server->mutex, &limit);
}

/* Waits for the whole time, or until the server stops. The mutex is held, and
   released while waiting. */
static void
wait_delay(AprStoreServer_t *server, int64_t ms)
{
    int64_t end = AprStoreServer_NowMs() + ms;

    while (!server->stopping && AprStoreServer_NowMs() < end) {
        AprStoreServer_WaitForChange(server, end - AprStoreServer_NowMs());
    }
}

static void
count_call(AprStoreServer_t *server, CallKind_t kind)
{
    switch (kind) {
    case CALL_READ:
        server->counts.reads++;
        break;
    case CALL_WRITE:
        server->counts.writes++;
        break;
    case CALL_LEASE:
        server->counts.lease_calls++;
        break;
    case CALL_WATCH:
        server->counts.watches_started++;
        break;
    }
}

/* Returns whether the response of this call must be dropped. If the mode is
   limited to a number of writes, it ends with the last of them. The mutex is
   held. */
static bool
take_lost_response(AprStoreServer_t *server, const Route_t *route)
{
    if (server->mode != APR_STORE_LOSE_RESPONSE || route->kind != CALL_WRITE) {
        return false;
    }
    if (server->times > 0 && --server->times == 0) {
        server->mode = APR_STORE_OK;
    }
    return true;
}

/* Runs one call of the API in the present mode. The mutex is held. */
static enum MHD_Result
handle_call(AprStoreServer_t *server, struct MHD_Connection *client,
            const Route_t *route, const json_t *request)
{
    json_t *response;

    count_call(server, route->kind);
    if (server->mode == APR_STORE_SLOW) {
        wait_delay(server, server->delay_ms);
    }
    if (server->mode == APR_STORE_DOWN) {
        server->cut_next = !server->cut_next;
        return server->cut_next
                   ? AprStandinHttp_SendJson(client,
                                             MHD_HTTP_SERVICE_UNAVAILABLE,
                                             new_error(14, "store is down"))
                   : MHD_NO;
    }
    if (route->kind == CALL_WATCH) {
        return AprStoreServer_BeginWatch(server, client, request);
    }
    AprStoreData_ExpireLeases(server->data, AprStoreServer_NowMs());
    response = route->run(server, request);
    pthread_cond_broadcast(&server->changed);
    if (response == NULL) {
        return AprStandinHttp_SendJson(client, MHD_HTTP_BAD_REQUEST,
                                       new_error(3, "invalid request"));
    }
    if (take_lost_response(server, route)) {
        json_decref(response);
        return MHD_NO;
    }
    return AprStandinHttp_SendJson(client, MHD_HTTP_OK, response);
}

static enum MHD_Result
send_counts(AprStoreServer_t *server, struct MHD_Connection *client)
{
    AprStoreCounts_t counts;

    AprStoreServer_GetCounts(server, &counts);
    return AprStandinHttp_SendJson(
        client, MHD_HTTP_OK,
        json_pack("{s:I,s:I,s:I,s:I,s:I,s:I}", "reads",
                  (json_int_t)counts.reads, "writes",
                  (json_int_t)counts.writes, "watches",
                  (json_int_t)counts.watches_started, "watches_open",
                  (json_int_t)counts.watches_open, "lease_calls",
                  (json_int_t)counts.lease_calls, "leases",
                  (json_int_t)counts.active_leases));
}

/* Sets the mode from the query string. */
static enum MHD_Result
handle_control(AprStoreServer_t *server, struct MHD_Connection *client)
{
    static const char *const names[] = {"ok", "down", "slow", "lose_answer"};
    const char *mode =
        MHD_lookup_connection_value(client, MHD_GET_ARGUMENT_KIND, "mode");

    for (size_t i = 0; mode != NULL && i < G_N_ELEMENTS(names); i++) {
        if (strcmp(mode, names[i]) == 0) {
            AprStoreServer_SetMode(
                server, (AprStoreMode_t)i,
                (int)AprStandinHttp_QueryNumber(client, "delay_ms", 0),
                (int)AprStandinHttp_QueryNumber(client, "times", 0));
            return AprStandinHttp_SendText(client, MHD_HTTP_OK, "text/plain",
                                           "ok\n");
        }
    }
    return AprStandinHttp_SendText(client, MHD_HTTP_BAD_REQUEST, "text/plain",
                                   "mode is ok, down, slow or lose_answer\n");
}

static enum MHD_Result
handle_request(void *context, struct MHD_Connection *client, const char *url,
               const char *method, const GString *body)
{
    AprStoreServer_t *server = context;
    const Route_t *route = find_route(url);
    enum MHD_Result result;
    json_t *request;

    if (strcmp(url, "/control") == 0 && strcmp(method, "POST") == 0) {
        return handle_control(server, client);
    }
    if (strcmp(url, "/control/counts") == 0) {
        return send_counts(server, client);
    }
    if (route == NULL || strcmp(method, "POST") != 0) {
        return AprStandinHttp_SendJson(client, MHD_HTTP_NOT_FOUND,
                                       new_error(5, "Not Found"));
    }
    request = json_loadb(body->str, body->len, 0, NULL);
    if (!json_is_object(request)) {
        json_decref(request);
        return AprStandinHttp_SendJson(client, MHD_HTTP_BAD_REQUEST,
                                       new_error(3, "invalid JSON"));
    }
    pthread_mutex_lock(&server->mutex);
    result = handle_call(server, client, route, request);
    pthread_mutex_unlock(&server->mutex);
    json_decref(request);
    return result;
}

/* Starts an empty store on IP:port that keeps the last `history_limit` changes
   for watches. Returns NULL if the address is malformed or in use. */
AprStoreServer_t *
AprStoreServer_Start(const char *listen, int history_limit)
{
    AprStoreServer_t *server = calloc(1, sizeof(*server));
    pthread_condattr_t attributes;

    pthread_mutex_init(&server->mutex, NULL);
    pthread_condattr_init(&attributes);
    pthread_condattr_setclock(&attributes, CLOCK_MONOTONIC);
    pthread_cond_init(&server->changed, &attributes);
    pthread_condattr_destroy(&attributes);
    server->data = AprStoreData_New(history_limit);
    if (AprStandinHttp_Start(&server->http, listen, 0, handle_request,
                             server) != APR_OK) {
        AprStoreServer_Stop(server);
        return NULL;
    }
    return server;
}

/* Ends all watches, stops the server and frees it. */
void
AprStoreServer_Stop(AprStoreServer_t *server)
{
    pthread_mutex_lock(&server->mutex);
    server->stopping = true;
    pthread_cond_broadcast(&server->changed);
    pthread_mutex_unlock(&server->mutex);
    AprStandinHttp_Stop(&server->http);
    AprStoreData_Free(server->data);
    pthread_cond_destroy(&server->changed);
    pthread_mutex_destroy(&server->mutex);
    free(server);
}

/* Returns IP:port of the listener. */
const char *
AprStoreServer_Address(const AprStoreServer_t *server)
{
    return server->http.address;
}

/* Sets the failure mode; APR_STORE_DOWN also cuts the connections of open
   watches. `delay_ms` applies to APR_STORE_SLOW, `times` to
   APR_STORE_LOSE_RESPONSE. */
void
AprStoreServer_SetMode(AprStoreServer_t *server, AprStoreMode_t mode,
                       int delay_ms, int times)
{
    pthread_mutex_lock(&server->mutex);
    server->mode = mode;
    server->delay_ms = delay_ms;
    server->times = times;
    pthread_cond_broadcast(&server->changed);
    pthread_mutex_unlock(&server->mutex);
}

/* Copies the counts into `counts`. */
void
AprStoreServer_GetCounts(AprStoreServer_t *server, AprStoreCounts_t *counts)
{
    pthread_mutex_lock(&server->mutex);
    AprStoreData_ExpireLeases(server->data, AprStoreServer_NowMs());
    *counts = server->counts;
    counts->active_leases = AprStoreData_CountLeases(server->data);
    pthread_mutex_unlock(&server->mutex);
}
