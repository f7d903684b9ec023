/* Arrival of calls to the local backend server: acceptance, waits for a grant,
   and what callers do with a call later. */

#include <glib.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "apricot/error.h"
#include "internal/backend_state.h"

/* Shortest interval of the checks of requests that wait for a grant. Each
   compares all of them with the grants. */
#define GRANT_CHECK_INTERVAL_MS 20

/* Returns a non-zero hash of the route: requests of one route take similar
   time. */
static uint32_t
request_kind(const AprCallHead_t *head)
{
    uint32_t hash = (uint32_t)XXH3_64bits(head->route, strlen(head->route));

    return hash == 0 ? 1 : hash;
}

static void
write_request_body(void *context, const char *data, size_t size, bool end)
{
    AprBackendCall_t *call = context;

    call->body_complete = end;
    if (call->conn != NULL) {
        AprBackendConn_WriteBody(call->conn, data, size, end);
    }
    else {
        AprBuffer_Append(&call->body, data, size);
    }
}

static void
acknowledge_response(void *context, size_t size)
{
    AprBackendCall_t *call = context;

    if (call->conn != NULL) {
        AprBackendConn_AcknowledgeResponse(call->conn, size);
    }
}

/* Ends a call whose caller is gone. */
static void
cancel_call(void *context)
{
    AprBackendCall_t *call = context;
    AprBackend_t *backend = call->backend;

    if (AprAdmission_RemoveQueued(&backend->admission, (uint64_t)call->id) ||
        AprGrantWaits_Remove(&backend->grant_waits, (uint64_t)call->id)) {
        AprBackend_FreeCall(call);
        return;
    }
    if (!call->head.idempotent && call->body_complete) {
        /* The request may change state. Closing the connection would leave
           its outcome unknown, so it runs to its end. */
        call->detached = true;
        if (call->conn != NULL) {
            AprBackendConn_OnDetached(call->conn);
        }
        return;
    }
    if (call->conn != NULL) {
        AprBackendConn_t *conn = call->conn;

        conn->call = NULL;
        call->conn = NULL;
        AprBackend_RemoveConn(conn);
    }
    AprBackend_FinishCall(call, false);
}

static const AprCallOps_t call_ops = {write_request_body, acknowledge_response,
                                      cancel_call};

/* Returns whether a call may be queued. Fills in the failure otherwise. */
static bool
check_accepts_call(AprBackend_t *backend, const AprCallHead_t *head,
                   AprCallFailure_t *failure)
{
    failure->not_run = true;
    failure->retry_after_ms =
        (int64_t)(backend->gateway->settings.heartbeat_s * 500);
    if (backend->incarnation.id[0] == '\0' || backend->unreachable ||
        AprBackendCold_IsLimitUnknown(&backend->cold) ||
        (backend->unresponsive &&
         (AprBackend_CountCalls(backend) > 0 ||
          !AprBackend_MayStartHere(backend, APR_NO_KEY)))) {
        failure->error = APR_CALL_NO_BACKEND;
        return false;
    }
    if (!AprBackend_AcceptsCalls(backend)) {
        failure->error = APR_CALL_LEAVING;
        return false;
    }
    if (strcmp(head->service, backend->gateway->settings.backend_service) !=
        0) {
        failure->error = APR_CALL_NOT_OWNER;
        return false;
    }
    return AprBackend_CheckKeyStartable(backend, head->key, failure);
}

/* Creates a queued call with copies of `head` and `data`. Returns NULL when
   out of memory. */
static AprBackendCall_t *
create_call(AprBackend_t *backend, const AprCallHead_t *head, const char *data,
            size_t size, bool end)
{
    AprBackendCall_t *call = calloc(1, sizeof(*call));

    if (call == NULL) {
        return NULL;
    }
    if (AprCallHead_Copy(&call->head, head) != APR_OK ||
        AprBuffer_Append(&call->body, data, size) != APR_OK) {
        AprCallHead_Clear(&call->head);
        free(call);
        return NULL;
    }
    call->head.deadline_ms =
        AprGateway_LimitDeadline(backend->gateway, head->deadline_ms);
    call->backend = backend;
    call->id = (gint64)++backend->next_id;
    call->submitted_ms = AprGateway_NowMs(backend->gateway);
    call->body_complete = end;
    call->body_buffered = end;
    g_hash_table_insert(backend->calls, &call->id, call);
    return call;
}

/* Returns whether a refused request is for a key whose grant may be waited
   for. */
static bool
may_wait_for_grant(const AprBackend_t *backend,
                   const AprCallFailure_t *failure)
{
    return failure->error == APR_CALL_FULL &&
           AprGateway_IsBalancingAdaptive(backend->gateway);
}

/* Lets a request wait for the grant of its key if it can be answered in time
   then. Sets its expected service time. */
static AprAdmissionDecision_t
offer_to_grant_waits(AprBackend_t *backend, AprAdmissionRequest_t *request,
                     int key, int64_t now_ms)
{
    AprAdmissionDecision_t decision;

    request->expected_service_ms = AprAdmission_ExpectedServiceMs(
        &backend->admission, request->kind,
        request->objective_ms - request->arrived_ms);
    decision = AprGrantWaits_Offer(
        &backend->grant_waits, request, key, backend->admission.slots,
        AprAdmission_ExpectedWaitMs(&backend->admission, request->rank,
                                    now_ms),
        AprOwnership_ExpectedGrantMs(backend->gateway->ownership, key),
        now_ms);
    AprGateway_IncrementCounter(backend->gateway, "grant_waits_total",
                                decision.admitted ? "result=\"waits\""
                                                  : "result=\"refused\"");
    return decision;
}

/* Moves a request whose key is granted to the queue, or refuses it. Returns
   false if it is to wait on. */
static bool
settle_grant_wait(AprBackend_t *backend, int index, int64_t now_ms)
{
    AprGrantWait_t wait = backend->grant_waits.entries[index];
    AprBackendCall_t *call = AprBackend_FindCall(backend, wait.request.id);
    AprCallFailure_t failure = {APR_CALL_FULL, true, 0};
    AprAdmissionDecision_t decision;

    if (AprBackend_CheckKeyHeld(backend, wait.key, &failure)) {
        if (!AprOwnership_AreGrantsSettled(backend->gateway->ownership)) {
            return false;
        }
        decision =
            AprAdmission_Offer(&backend->admission, &wait.request, now_ms);
        failure.error = APR_CALL_FULL;
        failure.retry_after_ms = decision.retry_after_ms;
        AprGrantWaits_Remove(&backend->grant_waits, wait.request.id);
        if (decision.admitted) {
            return true;
        }
    }
    else if (failure.error == APR_CALL_FULL &&
             AprGrantWaits_IsWorthWaiting(
                 &backend->grant_waits, index, backend->admission.slots,
                 AprOwnership_ExpectedGrantMs(backend->gateway->ownership,
                                              wait.key),
                 now_ms)) {
        return false;
    }
    else {
        AprGrantWaits_Remove(&backend->grant_waits, wait.request.id);
    }
    AprGateway_IncrementCounter(backend->gateway, "grant_waits_total",
                                "result=\"ended\"");
    if (call != NULL) {
        AprBackend_FailCall(call, &failure);
    }
    return true;
}

/* Queues the requests whose keys have been granted, and refuses those that can
   no longer be served in time or whose keys have another owner. */
void
AprBackend_SettleGrantWaits(AprBackend_t *backend, int64_t now_ms)
{
    int index = 0;

    if (now_ms < backend->next_settle_ms) {
        return;
    }
    backend->next_settle_ms = now_ms + GRANT_CHECK_INTERVAL_MS;
    while (index < backend->grant_waits.count) {
        index += settle_grant_wait(backend, index, now_ms) ? 0 : 1;
    }
}

/* Queues a request for the local backend server. `head`, `data` and `handlers`
   are copied. Returns false and fills in `failure` when the request is refused
   at once; otherwise fills in `ref`, and the handlers are called from the
   event loop. */
bool
AprBackend_Submit(AprBackend_t *backend, const AprCallHead_t *head,
                  const char *data, size_t size, bool end,
                  const AprCallHandlers_t *handlers, void *context,
                  AprCallRef_t *ref, AprCallFailure_t *failure)
{
    int64_t now_ms = AprGateway_NowMs(backend->gateway);
    AprAdmissionDecision_t decision;
    AprBackendCall_t *call;
    AprAdmissionRequest_t request = {0};
    bool granted = check_accepts_call(backend, head, failure);

    if (!granted && !may_wait_for_grant(backend, failure)) {
        return false;
    }
    request.id = backend->next_id + 1;
    request.kind = request_kind(head);
    request.rank = head->rank;
    request.nested = head->nested;
    request.size_class = AprCostModel_SizeClass(end || head->has_length,
                                                end ? size : head->length);
    request.arrived_ms = head->arrived_ms;
    request.deadline_ms =
        AprGateway_LimitDeadline(backend->gateway, head->deadline_ms);
    request.objective_ms = MIN(head->objective_ms, request.deadline_ms);
    decision =
        granted ? AprAdmission_Offer(&backend->admission, &request, now_ms)
                : offer_to_grant_waits(backend, &request, head->key, now_ms);
    AprBackend_AddDemand(backend, request.expected_service_ms, now_ms);
    AprOwnership_AddDemand(backend->gateway->ownership, head->key,
                           request.expected_service_ms);
    if (!decision.admitted) {
        AprBackendCold_CountRefused(&backend->cold);
        failure->error = APR_CALL_FULL;
        failure->not_run = true;
        failure->retry_after_ms = decision.retry_after_ms;
        return false;
    }
    call = create_call(backend, head, data, size, end);
    if (call == NULL) {
        AprAdmission_RemoveQueued(&backend->admission, request.id);
        AprGrantWaits_Remove(&backend->grant_waits, request.id);
        failure->error = APR_CALL_FULL;
        failure->not_run = true;
        return false;
    }
    call->handlers = *handlers;
    call->context = context;
    ref->ops = &call_ops;
    ref->call = call;
    /* The call starts from the event loop, after the caller has received its
       reference. */
    ev_feed_event(backend->gateway->loop, &backend->gateway->start_calls_timer,
                  EV_TIMER);
    return true;
}

static void
limit_deadline(AprBackend_t *backend, AprAdmissionRequest_t *request)
{
    AprBackendCall_t *call = AprBackend_FindCall(backend, request->id);

    request->deadline_ms =
        AprGateway_LimitDeadline(backend->gateway, request->deadline_ms);
    request->objective_ms = MIN(request->objective_ms, request->deadline_ms);
    if (call != NULL) {
        call->head.deadline_ms = request->deadline_ms;
    }
}

/* Applies the limit that a planned stop sets on deadlines to the calls that
   wait. Those that can't be answered by then are refused as not run. */
void
AprBackend_LimitDeadlines(AprBackend_t *backend)
{
    for (int i = 0; i < backend->admission.queue_count; i++) {
        limit_deadline(backend, &backend->admission.queue[i]);
    }
    for (int i = 0; i < backend->grant_waits.count; i++) {
        limit_deadline(backend, &backend->grant_waits.entries[i].request);
    }
}
