/* The local backend server: heartbeats, availability and its connections. */

#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "apricot/log.h"
#include "internal/backend_state.h"

/* A backend server may respond at the deadline itself. The response may take
   this much longer to arrive. */
#define RESPONSE_GRACE_MS 150

/* Concurrency limit of a backend server before its first heartbeat. */
#define DEFAULT_SLOTS 4

/* After a leave, new requests are refused this long before the drain time
   ends, so that requests in transit still arrive in time. */
#define DRAIN_REFUSAL_MARGIN_MS 300

/* Number of consecutive refused connections after which a backend server
   counts as unreachable. A single refusal may have other causes. */
#define UNREACHABLE_REFUSALS 3

/* Least time between the first and the last of the consecutive refused
   connections that make a backend server unreachable. */
#define UNREACHABLE_MIN_MS 250

/* A running call is overdue after at least this time, if no response of the
   backend server arrived meanwhile. */
#define UNRESPONSIVE_MIN_MS 500

/* A running call is overdue after this multiple of its expected service time,
   if that is longer than UNRESPONSIVE_MIN_MS. */
#define UNRESPONSIVE_COST_FACTOR 5

/* Number of overdue calls that make a backend server unresponsive. It then
   gets one request at a time until it responds again. */
#define UNRESPONSIVE_MIN_CALLS 2

static void
destroy_call(gpointer data)
{
    AprBackendCall_t *call = data;

    AprBuffer_Free(&call->body);
    AprCallHead_Clear(&call->head);
    free(call);
}

/* Creates the state; the backend server is unknown until its first heartbeat.
   Returns NULL when out of memory. */
AprBackend_t *
AprBackend_New(AprGateway_t *gateway)
{
    AprBackend_t *backend = calloc(1, sizeof(*backend));

    if (backend != NULL) {
        backend->gateway = gateway;
        backend->last_response_ms = AprGateway_NowMs(gateway);
        AprAdmission_Init(&backend->admission, DEFAULT_SLOTS);
        AprBackendCold_Init(&backend->cold, gateway, &backend->admission);
        AprCostModel_Init(&backend->costs, AprGateway_NowMs(gateway));
        backend->notice.request_limit = APR_NO_REQUEST_LIMIT;
        ev_timer_init(&backend->allowance_timer, AprBackend_OnStartTimer, 0.0,
                      0.0);
        backend->allowance_timer.data = backend;
        ev_timer_init(&backend->free_slot_timer, AprBackend_OnStartTimer, 0.0,
                      0.0);
        backend->free_slot_timer.data = backend;
        backend->calls = g_hash_table_new_full(g_int64_hash, g_int64_equal,
                                               NULL, destroy_call);
        backend->health_probe = AprHealthProbe_New(gateway, &backend->cold);
        if (backend->health_probe == NULL) {
            AprBackend_Free(backend);
            return NULL;
        }
    }
    return backend;
}

/* Removes a connection from the list, closes and frees it. */
void
AprBackend_RemoveConn(AprBackendConn_t *conn)
{
    AprBackendConn_t **at = &conn->backend->conns;

    while (*at != NULL && *at != conn) {
        at = &(*at)->next;
    }
    if (*at == conn) {
        *at = conn->next;
    }
    AprBackendConn_Free(conn);
}

/* Counts consecutive refused connections and marks the backend server as
   unreachable. */
void
AprBackend_TrackRefusedConnects(AprBackend_t *backend,
                                AprConnOutcome_t outcome)
{
    int64_t now_ms = AprGateway_NowMs(backend->gateway);

    if (outcome != APR_CONN_REFUSED) {
        backend->consecutive_refusals = 0;
        return;
    }
    if (backend->consecutive_refusals++ == 0) {
        backend->first_refusal_ms = now_ms;
    }
    if (!backend->unreachable &&
        backend->consecutive_refusals >= UNREACHABLE_REFUSALS &&
        now_ms - backend->first_refusal_ms >= UNREACHABLE_MIN_MS) {
        backend->unreachable = true;
        AprLog_Write(APR_LOG_WARN, "backend_gone", "id=%s refusals=%d",
                     backend->incarnation.id, backend->consecutive_refusals);
        /* So that no other host gives keys to this one. */
        AprStoreCache_PublishOwnEntry(backend->gateway->store_cache);
    }
}

/* Returns whether the head of the response to a running call has arrived. Its
   end may take long only because the caller reads slowly. */
static bool
has_response(AprBackend_t *backend, uint64_t id)
{
    const AprBackendCall_t *call = AprBackend_FindCall(backend, id);

    return call != NULL && call->conn != NULL && call->conn->response_started;
}

/* Marks the backend server as unresponsive when several running calls are
   overdue and no response arrived meanwhile. */
static void
detect_unresponsive_server(AprBackend_t *backend, int64_t now_ms)
{
    const AprAdmission_t *admission = &backend->admission;
    int64_t since_ms = backend->last_response_ms;
    int overdue_calls = 0;

    for (int i = 0; i < admission->running_count; i++) {
        const AprRunningRequest_t *running = &admission->running[i];
        int64_t limit_ms =
            (int64_t)(UNRESPONSIVE_COST_FACTOR * running->expected_service_ms);

        if (limit_ms < UNRESPONSIVE_MIN_MS) {
            limit_ms = UNRESPONSIVE_MIN_MS;
        }
        overdue_calls += now_ms - running->started_ms > limit_ms &&
                         now_ms - since_ms > limit_ms &&
                         !has_response(backend, running->id);
    }
    if (!backend->unresponsive && overdue_calls >= UNRESPONSIVE_MIN_CALLS) {
        backend->unresponsive = true;
        AprLog_Write(APR_LOG_WARN, "backend_silent",
                     "id=%s running=%d answer_age_ms=%lld",
                     backend->incarnation.id, admission->running_count,
                     (long long)(now_ms - since_ms));
        AprBackend_RefuseQueuedCalls(backend);
    }
}

/* Returns whether the failure domain of this host lets requests with a key, or
   without one (APR_NO_KEY), be sent to the backend server. */
bool
AprBackend_MayStartHere(const AprBackend_t *backend, int key)
{
    const AprGatewaySettings_t *settings = &backend->gateway->settings;

    return AprGateway_MayStartIn(backend->gateway, settings->failure_domain,
                                 settings->backend_service, key != APR_NO_KEY);
}

/* Processes a heartbeat of the backend server, which may be a new
   incarnation. */
void
AprBackend_OnHeartbeat(AprBackend_t *backend, const AprHeartbeat_t *heartbeat)
{
    bool same = AprBackendIncarnation_Equal(&backend->incarnation,
                                            &heartbeat->incarnation);

    if (!same) {
        AprLog_Write(APR_LOG_INFO, "backend_found",
                     "id=%s born_ms=%lld slots=%d earlier=%s",
                     heartbeat->incarnation.id,
                     (long long)heartbeat->incarnation.started_ms,
                     heartbeat->slots, backend->incarnation.id);
        backend->incarnation = heartbeat->incarnation;
        backend->leaving = false;
        backend->unresponsive = false;
        backend->notice =
            (AprBackendNotice_t){APR_NO_REQUEST_LIMIT, false, {0}, false};
        backend->notice_known = false;
        backend->sent_requests = 0;
        AprBackendCold_SetNoticeLimit(&backend->cold, APR_NO_REQUEST_LIMIT);
    }
    backend->unreachable = false;
    backend->consecutive_refusals = 0;
    backend->admission.slots = heartbeat->slots > APR_ADMISSION_MAX_SLOTS
                                   ? APR_ADMISSION_MAX_SLOTS
                                   : heartbeat->slots;
    AprBackendCold_Report(&backend->cold, heartbeat->warm_up_ms);
    if (heartbeat->leaving) {
        AprBackend_StartDrain(backend);
    }
}

/* Starts the drain time of the backend server, unless it has started. */
void
AprBackend_StartDrain(AprBackend_t *backend)
{
    if (!backend->leaving) {
        backend->leaving = true;
        backend->leaving_since_ms = AprGateway_NowMs(backend->gateway);
        AprLog_Write(APR_LOG_INFO, "backend_leaving", "id=%s",
                     backend->incarnation.id);
    }
}

/* Ends the drain time: a backend server that was told to an earlier process to
   be leaving accepts no new requests. */
void
AprBackend_EndDrain(AprBackend_t *backend)
{
    AprBackend_StartDrain(backend);
    backend->leaving_since_ms = INT64_MIN / 2;
}

/* Returns whether the backend server accepts new requests. */
bool
AprBackend_AcceptsCalls(const AprBackend_t *backend)
{
    int64_t drain_ms = (int64_t)(backend->gateway->settings.drain_s * 1000);

    return backend->incarnation.id[0] != '\0' &&
           (!backend->leaving || AprGateway_NowMs(backend->gateway) <
                                     backend->leaving_since_ms + drain_ms -
                                         DRAIN_REFUSAL_MARGIN_MS);
}

/* Returns whether other hosts may send requests, as far as heartbeats decide
   it: the next one ends each state in which this is false, except a drain. */
bool
AprBackend_IsOpen(const AprBackend_t *backend)
{
    return AprBackend_AcceptsCalls(backend) && !backend->leaving &&
           !backend->unreachable;
}

/* Returns whether the next request may test an unresponsive backend server:
   only the response to a request ends that state. */
bool
AprBackend_IsProbeDue(const AprBackend_t *backend)
{
    return backend->unresponsive && AprBackend_IsOpen(backend) &&
           AprBackend_CountCalls(backend) == 0 &&
           AprBackend_MayStartHere(backend, APR_NO_KEY);
}

/* Returns whether the backend server has refused several connections in a row
   since its last heartbeat, so that it no longer holds any keys. */
bool
AprBackend_IsUnreachable(const AprBackend_t *backend)
{
    return backend->unreachable;
}

/* Returns whether the backend server is cold: it takes fewer requests a second
   than its slots could run. */
bool
AprBackend_IsCold(const AprBackend_t *backend)
{
    return backend->cold.cold;
}

/* Returns the number of slots of the backend server, cold or not. */
int
AprBackend_CountSlots(const AprBackend_t *backend)
{
    return backend->admission.slots;
}

/* Returns the current incarnation of the backend server; its id is empty
   before the first heartbeat. Owned by the backend. */
const AprBackendIncarnation_t *
AprBackend_GetIncarnation(const AprBackend_t *backend)
{
    return &backend->incarnation;
}

/* Returns the number of queued and running calls. */
int
AprBackend_CountCalls(const AprBackend_t *backend)
{
    return backend->admission.running_count + backend->admission.queue_count +
           backend->grant_waits.count;
}

/* Returns the memory of queued request bodies and of unsent bytes. */
size_t
AprBackend_HeldBytes(const AprBackend_t *backend)
{
    GHashTableIter calls;
    gpointer value;
    size_t sum = 0;

    g_hash_table_iter_init(&calls, backend->calls);
    while (g_hash_table_iter_next(&calls, NULL, &value)) {
        sum += ((const AprBackendCall_t *)value)->body.capacity;
    }
    for (const AprBackendConn_t *conn = backend->conns; conn != NULL;
         conn = conn->next) {
        sum += conn->stream == NULL ? 0 : AprStream_HeldBytes(conn->stream);
    }
    return sum;
}

/* Returns the head of the running request with an id of AprCallId_Set(), or
   NULL. The head is valid while the request runs. */
const AprCallHead_t *
AprBackend_FindRunningRequest(const AprBackend_t *backend, const char *id)
{
    for (const AprBackendConn_t *conn = backend->conns; conn != NULL;
         conn = conn->next) {
        const AprBackendCall_t *call = conn->call;

        if (call != NULL && strcmp(call->head.id, id) == 0) {
            return &call->head;
        }
    }
    return NULL;
}

/* Returns whether the response to a sent call is not complete in time. */
static gboolean
is_overdue(gpointer key, gpointer value, gpointer data)
{
    const AprBackendCall_t *call = value;
    const int64_t *now_ms = data;

    (void)key;
    return call->conn != NULL &&
           *now_ms >
               AprBackendConn_ResponseLimitMs(call->conn) + RESPONSE_GRACE_MS;
}

/* Times out calls, closes expired idle connections, checks whether the backend
   server responds, and starts queued calls. */
void
AprBackend_Tick(AprBackend_t *backend)
{
    int64_t now_ms = AprGateway_NowMs(backend->gateway);
    AprBackendCall_t *call;

    AprBackend_UpdateCostModel(backend);
    while ((call = g_hash_table_find(backend->calls, is_overdue, &now_ms)) !=
           NULL) {
        AprBackendConn_t *conn = call->conn;
        AprCallFailure_t failure = {APR_CALL_TIMEOUT, false, 0};

        conn->call = NULL;
        call->conn = NULL;
        AprBackend_RemoveConn(conn);
        AprBackend_FailCall(call, &failure);
    }
    for (AprBackendConn_t *conn = backend->conns; conn != NULL;) {
        AprBackendConn_t *next = conn->next;

        if (AprBackendConn_IsExpired(conn, now_ms)) {
            AprBackend_RemoveConn(conn);
        }
        conn = next;
    }
    AprBackendCold_Refresh(&backend->cold);
    AprHealthProbe_Tick(backend->health_probe);
    detect_unresponsive_server(backend, now_ms);
    AprBackend_RefuseEvacuatedCalls(backend);
    AprBackend_SettleGrantWaits(backend, now_ms);
    AprBackend_StartQueuedCalls(backend);
    AprBackend_UpdateLoadMetrics(backend);
}

/* Closes all connections and frees the state. No call gets a callback. */
void
AprBackend_Free(AprBackend_t *backend)
{
    if (backend == NULL) {
        return;
    }
    ev_timer_stop(backend->gateway->loop, &backend->allowance_timer);
    ev_timer_stop(backend->gateway->loop, &backend->free_slot_timer);
    while (backend->conns != NULL) {
        AprBackendConn_t *conn = backend->conns;

        backend->conns = conn->next;
        AprBackendConn_Free(conn);
    }
    AprHealthProbe_Free(backend->health_probe);
    g_hash_table_destroy(backend->calls);
    free(backend);
}
