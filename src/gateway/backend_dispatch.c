/* Start and end of calls to the local backend server. */

#include <glib.h>
#include <stdlib.h>

#include "apricot/log.h"
#include "internal/backend_state.h"

/* Frees a call that occupies no slot. */
void
AprBackend_FreeCall(AprBackendCall_t *call)
{
    g_hash_table_remove(call->backend->calls, &call->id);
}

/* Starts queued calls from the event loop. Their failures are reported there,
   and not to callers that are just ending another call. */
static void
schedule_queued_calls(AprBackend_t *backend)
{
    if (backend->admission.queue_count > 0) {
        ev_feed_event(backend->gateway->loop, &backend->free_slot_timer,
                      EV_TIMER);
    }
}

/* Frees a call and its slot, for which queued calls start from the event loop.
   `measured` tells whether its duration updates the expected service time;
   that of a slow key never does, because it would make the backend server look
   slow. */
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
    schedule_queued_calls(backend);
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

/* Returns how a call failed whose connection ended without a complete
   response. */
static AprCallFailure_t
find_failure(const AprBackendCall_t *call, AprConnOutcome_t outcome)
{
    const AprBackend_t *backend = call->backend;
    AprCallFailure_t failure = {APR_CALL_BROKEN, false, 0};

    switch (outcome) {
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
    return failure;
}

/* Ends a call whose response is complete. */
static void
complete_call(AprBackendCall_t *call)
{
    AprCallHandlers_t handlers = call->handlers;
    void *context = call->context;
    bool detached = call->detached;

    AprBackend_FinishCall(call, true);
    if (!detached) {
        handlers.on_end(context);
    }
}

/* Handles the end of a connection's current call or of the connection itself.
   Frees the connection unless the outcome is APR_CONN_REUSABLE. */
void
AprBackend_OnConnDone(AprBackendConn_t *conn, AprConnOutcome_t outcome)
{
    AprBackend_t *backend = conn->backend;
    AprBackendCall_t *call = conn->call;
    AprCallFailure_t failure;
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
    if (outcome == APR_CONN_REUSABLE || outcome == APR_CONN_CLOSED) {
        complete_call(call);
        return;
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
    failure = find_failure(call, outcome);
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

/* Called when a slot is free, or the limit of the backend server allows the
   next start. */
void
AprBackend_OnStartTimer(struct ev_loop *loop, ev_timer *timer, int events)
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

/* Starts queued calls while slots are free. To be called from the event loop
   only, as it reports failed calls to their handlers. */
void
AprBackend_StartQueuedCalls(AprBackend_t *backend)
{
    int64_t now_ms = AprGateway_NowMs(backend->gateway);
    AprAdmissionRequest_t request;

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
