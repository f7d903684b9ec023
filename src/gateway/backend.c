/* Calls to the local backend server: admission, dispatch and responses. */

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
        ev_timer_init(&backend->allowance_timer, AprBackend_OnAllowanceTimer,
                      0.0, 0.0);
        backend->allowance_timer.data = backend;
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

/* Frees a call that occupies no slot. */
void
AprBackend_FreeCall(AprBackendCall_t *call)
{
    g_hash_table_remove(call->backend->calls, &call->id);
}

/* Frees a call and its slot and starts queued calls. `measured` tells whether
   its duration updates the expected service time; that of a slow key never
   does, because it would make the backend server look slow. */
void
AprBackend_FinishCall(AprBackendCall_t *call, bool measured)
{
    AprBackend_t *backend = call->backend;

    if (measured && call->key_slow) {
        measured = false;
        AprGateway_IncrementCounter(backend->gateway,
                                    "backend_slow_key_runs_total", "");
    }
    AprAdmission_Finish(&backend->admission, (uint64_t)call->id,
                        AprGateway_NowMs(backend->gateway), measured);
    if (measured) {
        AprBackendCold_AddServiceTime(&backend->cold, call->started_ms);
    }
    AprBackend_FreeCall(call);
    AprBackend_StartQueuedCalls(backend);
}

/* Frees a call and reports its failure, unless its caller is gone. */
void
AprBackend_FailCall(AprBackendCall_t *call, const AprCallFailure_t *failure)
{
    AprCallHandlers_t handlers = call->handlers;
    void *context = call->context;
    bool detached = call->detached;

    AprLog_Write(APR_LOG_INFO, "backend_fail",
                 "request=%s route=%s error=%s not_run=%d waited_ms=%lld",
                 call->head.id, call->head.route,
                 AprCallError_Name(failure->error), failure->not_run,
                 (long long)(AprGateway_NowMs(call->backend->gateway) -
                             call->submitted_ms));
    if (!failure->not_run || failure->error == APR_CALL_UNREACHABLE) {
        AprBackend_RecordOutcome(call->backend, &call->head, false);
    }
    AprBackend_FinishCall(call, false);
    if (!detached) {
        handlers.on_failure(context, failure);
    }
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

/* Returns the call of a request that admission control knows by this id, or
   NULL. */
AprBackendCall_t *
AprBackend_FindCall(AprBackend_t *backend, uint64_t work_id)
{
    gint64 id = (gint64)work_id;

    return g_hash_table_lookup(backend->calls, &id);
}

/* Fails all queued calls. */
void
AprBackend_RefuseQueuedCalls(AprBackend_t *backend)
{
    while (backend->admission.queue_count > 0) {
        AprAdmissionRequest_t request = backend->admission.queue[0];
        AprBackendCall_t *call = AprBackend_FindCall(backend, request.id);
        AprCallFailure_t failure = {
            APR_CALL_NO_BACKEND, true,
            (int64_t)(backend->gateway->settings.heartbeat_s * 500)};

        AprAdmission_RemoveQueued(&backend->admission, request.id);
        if (call != NULL) {
            AprBackend_FailCall(call, &failure);
        }
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

/* Handles the end of a connection's current call or of the connection itself.
   Frees the connection unless the outcome is APR_CONN_REUSABLE. */
void
AprBackend_OnConnDone(AprBackendConn_t *conn, AprConnOutcome_t outcome)
{
    AprBackend_t *backend = conn->backend;
    AprBackendCall_t *call = conn->call;
    AprCallFailure_t failure = {APR_CALL_BROKEN, false, 0};
    bool answered = conn->response_started;
    bool first_use = !conn->reused;

    if (call != NULL) {
        call->conn = NULL;
    }
    conn->call = NULL;
    if (outcome != APR_CONN_REUSABLE) {
        AprBackend_RemoveConn(conn);
    }
    AprBackend_TrackRefusedConnects(backend, outcome);
    if (call == NULL) {
        return;
    }
    switch (outcome) {
    case APR_CONN_REUSABLE:
    case APR_CONN_CLOSED: {
        AprCallHandlers_t handlers = call->handlers;
        void *context = call->context;
        bool detached = call->detached;

        AprBackend_FinishCall(call, true);
        if (!detached) {
            handlers.on_end(context);
        }
        return;
    }
    case APR_CONN_NOT_RUN:
        failure.error = APR_CALL_SHED;
        failure.not_run = true;
        failure.retry_after_ms =
            AprAdmission_ExpectedWaitMs(&backend->admission, call->head.rank,
                                        AprGateway_NowMs(backend->gateway));
        break;
    case APR_CONN_REFUSED:
        failure.error = APR_CALL_UNREACHABLE;
        failure.not_run = true;
        failure.retry_after_ms =
            (int64_t)(backend->gateway->settings.heartbeat_s * 1000);
        break;
    case APR_CONN_CONNECT_FAILED:
        failure.error = APR_CALL_SHED;
        failure.not_run = true;
        break;
    case APR_CONN_MALFORMED:
        failure.error = APR_CALL_BAD_ANSWER;
        break;
    default:
        break;
    }
    /* The backend server may close a kept connection while a request is sent
       on it, most likely without having read the request. An idempotent one
       is resent once, but not in an evacuated failure domain. */
    if (outcome == APR_CONN_BROKEN && !answered && !first_use &&
        call->head.idempotent && !call->resent && !call->detached &&
        call->body_buffered &&
        AprBackend_MayStartHere(backend, call->head.key) &&
        AprBackendCold_MayStart(&backend->cold)) {
        call->resent = true;
        AprBackend_SendOnConn(call);
        return;
    }
    AprBackend_FailCall(call, &failure);
}

/* Sends an admitted call on an idle or a new connection. Fails the call when
   no connection can be opened. */
void
AprBackend_SendOnConn(AprBackendCall_t *call)
{
    AprBackend_t *backend = call->backend;
    AprCallFailure_t failure = {APR_CALL_UNREACHABLE, true, 0};
    AprBackendConn_t *conn = backend->conns;
    int64_t now_ms = AprGateway_NowMs(backend->gateway);

    while (conn != NULL && !AprBackendConn_IsIdle(conn, now_ms)) {
        conn = conn->next;
    }
    if (conn == NULL) {
        conn = AprBackendConn_Open(backend, backend->gateway);
        if (conn == NULL) {
            AprBackend_FailCall(call, &failure);
            return;
        }
        conn->next = backend->conns;
        backend->conns = conn;
        AprGateway_IncrementCounter(backend->gateway,
                                    "backend_connections_total", "");
    }
    backend->sent_requests++;
    AprBackendCold_CountSent(&backend->cold);
    AprGateway_IncrementCounter(backend->gateway, "backend_requests_total",
                                "");
    AprBackendConn_SendRequest(conn, call, &backend->incarnation, now_ms);
}

/* Fails queued calls that are no longer expected to be answered in time. */
static void
refuse_unmeetable_calls(AprBackend_t *backend, int64_t now_ms)
{
    AprAdmissionDecision_t decision;
    AprAdmissionRequest_t request;

    while (AprAdmission_ShedNext(&backend->admission, now_ms, &request,
                                 &decision)) {
        AprBackendCall_t *call = AprBackend_FindCall(backend, request.id);
        AprCallFailure_t failure = {APR_CALL_FULL, true,
                                    decision.retry_after_ms};

        AprBackendCold_CountRefused(&backend->cold);
        if (call != NULL) {
            AprBackend_FailCall(call, &failure);
        }
    }
}

/* Returns whether the backend server holds a key. Requests without a key may
   run anywhere. Fills in the failure otherwise, except not_run. */
bool
AprBackend_CheckKeyHeld(AprBackend_t *backend, int key,
                        AprCallFailure_t *failure)
{
    int64_t wait_ms = 0;

    if (key == APR_NO_KEY) {
        return true;
    }
    switch (
        AprOwnership_CheckKey(backend->gateway->ownership, key, &wait_ms)) {
    case APR_KEY_GRANTED:
        return true;
    case APR_KEY_GRANT_PENDING:
        failure->error = APR_CALL_FULL;
        failure->retry_after_ms = wait_ms;
        return false;
    default:
        failure->error = APR_CALL_NOT_OWNER;
        return false;
    }
}

/* Returns whether a call may be sent to the backend server as far as its key
   and an evacuation of the failure domain decide it. Fills in the failure
   otherwise, except not_run. A key that has moved away is reported as such, so
   that the request is sent to its new owner. */
bool
AprBackend_CheckKeyStartable(AprBackend_t *backend, int key,
                             AprCallFailure_t *failure)
{
    if (!AprBackend_CheckKeyHeld(backend, key, failure)) {
        return false;
    }
    if (!AprBackend_MayStartHere(backend, key)) {
        failure->error = APR_CALL_LEAVING;
        return false;
    }
    return true;
}

/* Refuses the queued calls that may not start because the failure domain is
   evacuated. */
void
AprBackend_RefuseEvacuatedCalls(AprBackend_t *backend)
{
    const AprGateway_t *gateway = backend->gateway;
    int i = 0;

    if (!AprGateway_IsEvacuated(gateway, gateway->settings.failure_domain)) {
        return;
    }
    while (i < backend->admission.queue_count) {
        uint64_t id = backend->admission.queue[i].id;
        AprBackendCall_t *call = AprBackend_FindCall(backend, id);
        AprCallFailure_t failure = {
            APR_CALL_LEAVING, true,
            (int64_t)(gateway->settings.heartbeat_s * 500)};

        if (call == NULL || AprBackend_MayStartHere(backend, call->head.key)) {
            i++;
            continue;
        }
        AprBackend_CheckKeyHeld(backend, call->head.key, &failure);
        AprAdmission_RemoveQueued(&backend->admission, id);
        AprBackend_FailCall(call, &failure);
        /* Other calls may have been started or refused meanwhile. */
        i = 0;
    }
}

/* Returns whether a queued call may still be sent to the backend server: its
   key may have been assigned to another host while it was queued. */
static bool
check_startable(AprBackend_t *backend, AprBackendCall_t *call,
                AprCallFailure_t *failure)
{
    if (!AprBackend_AcceptsCalls(backend)) {
        failure->error = APR_CALL_LEAVING;
        return false;
    }
    if (backend->unresponsive && backend->admission.running_count > 1) {
        failure->error = APR_CALL_NO_BACKEND;
        return false;
    }
    return AprBackend_CheckKeyStartable(backend, call->head.key, failure);
}

/* Called when the limit of the backend server allows the next start. */
void
AprBackend_OnAllowanceTimer(struct ev_loop *loop, ev_timer *timer, int events)
{
    (void)loop;
    (void)events;
    AprBackend_StartQueuedCalls(timer->data);
}

/* Sets the timer for the next call that waits only for the limit of the
   backend server. */
static void
schedule_next_start(AprBackend_t *backend, int64_t now_ms)
{
    const AprAdmission_t *admission = &backend->admission;
    int64_t wait_ms = AprAdmission_AllowanceWaitMs(admission, now_ms);

    ev_timer_stop(backend->gateway->loop, &backend->allowance_timer);
    if (wait_ms > 0 && admission->queue_count > 0 &&
        admission->running_count < admission->slots) {
        ev_timer_set(&backend->allowance_timer, (double)wait_ms / 1000.0, 0.0);
        ev_timer_start(backend->gateway->loop, &backend->allowance_timer);
    }
}

/* Starts queued calls while slots are free. Does nothing when called again
   from within, as finished calls do. */
void
AprBackend_StartQueuedCalls(AprBackend_t *backend)
{
    int64_t now_ms = AprGateway_NowMs(backend->gateway);
    AprAdmissionRequest_t request;

    if (backend->starting_calls) {
        return;
    }
    backend->starting_calls = true;
    while (AprBackendCold_MayStart(&backend->cold) &&
           AprAdmission_StartNext(&backend->admission, now_ms, &request)) {
        AprBackendCall_t *call = AprBackend_FindCall(backend, request.id);
        AprCallFailure_t failure = {APR_CALL_FULL, true, 0};

        if (call == NULL) {
            AprAdmission_Finish(&backend->admission, request.id, now_ms,
                                false);
        }
        else if (!check_startable(backend, call, &failure)) {
            AprBackend_FailCall(call, &failure);
        }
        else {
            call->started_ms = now_ms;
            call->key_slow = AprOwnership_IsKeySlow(
                backend->gateway->ownership, call->head.key);
            AprBackend_SendOnConn(call);
        }
    }
    if (backend->admission.queue_count > 0) {
        refuse_unmeetable_calls(backend, now_ms);
    }
    schedule_next_start(backend, now_ms);
    backend->starting_calls = false;
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

/* Returns the highest AprMemoryHolder_Score() of a queued request, and its id
   in `*id`; 0 when none holds enough. */
double
AprBackend_FindLargestQueued(AprBackend_t *backend, int64_t now_ms,
                             uint64_t *id)
{
    double highest = 0;

    for (int i = 0; i < backend->admission.queue_count; i++) {
        uint64_t queued_id = backend->admission.queue[i].id;
        const AprBackendCall_t *call = AprBackend_FindCall(backend, queued_id);
        AprMemoryHolder_t holder = {0};
        double score;

        if (call == NULL) {
            continue;
        }
        holder.held = call->body.capacity;
        holder.mark_ms = call->submitted_ms;
        score = AprMemoryHolder_Score(&holder, now_ms);
        if (score > highest) {
            highest = score;
            *id = queued_id;
        }
    }
    return highest;
}

/* Refuses a queued request as not run. */
void
AprBackend_RefuseQueued(AprBackend_t *backend, uint64_t id)
{
    AprBackendCall_t *call = AprBackend_FindCall(backend, id);
    AprCallFailure_t failure = {APR_CALL_FULL, true, 0};

    if (call != NULL && AprAdmission_RemoveQueued(&backend->admission, id)) {
        AprBackend_FailCall(call, &failure);
    }
}

/* Returns the head of the running request with an attempt id, or NULL. `id`
   need not be terminated. The head is valid while the request runs. */
const AprCallHead_t *
AprBackend_FindRunningRequest(const AprBackend_t *backend, const char *id,
                              size_t id_size)
{
    for (const AprBackendConn_t *conn = backend->conns; conn != NULL;
         conn = conn->next) {
        const AprBackendCall_t *call = conn->call;

        if (call != NULL && strncmp(call->head.id, id, id_size) == 0 &&
            call->head.id[id_size] == '\0') {
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
    while (backend->conns != NULL) {
        AprBackendConn_t *conn = backend->conns;

        backend->conns = conn->next;
        AprBackendConn_Free(conn);
    }
    AprHealthProbe_Free(backend->health_probe);
    g_hash_table_destroy(backend->calls);
    free(backend);
}
