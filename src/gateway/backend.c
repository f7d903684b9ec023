/* Calls of the local backend server: admission, dispatch and answers. */

#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "apricot/admission.h"
#include "apricot/error.h"
#include "apricot/log.h"
#include "internal/backend_conn.h"
#include "internal/gateway.h"

/* A backend server answers at the deadline itself; its answer may take this
   much longer to arrive. */
#define ANSWER_GRACE_MS 150

/* Demand is averaged over about this time. */
#define DEMAND_SPAN_MS 2000.0

/* The slots of a backend server before its first heartbeat. */
#define DEFAULT_SLOTS 4

/* After a leave, new work is refused this long before the drain time ends, so
   that requests on their way still arrive in time. */
#define DRAIN_MARGIN_MS 300

/* A backend server counts as gone when it refused this many connections in a
   row, over at least this time; a single refusal may have other causes. */
#define GONE_REFUSALS 3
#define GONE_SPAN_MS 250

/* A backend server that answered nothing for this time, and for this many
   times the expected service time, although several requests run, gets one
   request at a time until it answers again. */
#define SILENT_MS 500
#define SILENT_COSTS 5
#define SILENT_RUNNING 2

struct AprBackend_t {
    AprGateway_t *gateway;
    AprAdmission_t admission;
    AprBackendLife_t life; /* empty id: none announced */
    bool leaving;
    int64_t leaving_since_ms;
    bool gone;
    bool silent;
    int64_t answered_ms; /* last byte of an answer */
    int refusals;        /* in a row */
    int64_t refused_since_ms;
    uint64_t next_id;
    GHashTable *calls; /* by id */
    AprBackendConn_t *conns;
    double demand_ms; /* service time asked for in the averaging span */
    int64_t demand_at_ms;
    bool pumping;
};

static uint32_t
kind_of(const AprCallHead_t *head)
{
    uint32_t hash = (uint32_t)XXH3_64bits(head->route, strlen(head->route));

    return hash == 0 ? 1 : hash;
}

static void
dispose_call(gpointer data)
{
    AprBackendCall_t *call = data;

    AprBuffer_Free(&call->body);
    AprCallHead_Clear(&call->head);
    free(call);
}

/* Creates the state without a known backend server. */
AprBackend_t *
AprBackend_New(AprGateway_t *gateway)
{
    AprBackend_t *backend = calloc(1, sizeof(*backend));

    if (backend != NULL) {
        backend->gateway = gateway;
        AprAdmission_Init(&backend->admission, DEFAULT_SLOTS);
        backend->calls = g_hash_table_new_full(g_int64_hash, g_int64_equal,
                                               NULL, dispose_call);
    }
    return backend;
}

static void
free_call(AprBackendCall_t *call)
{
    g_hash_table_remove(call->backend->calls, &call->id);
}

static void pump(AprBackend_t *backend);

/* Ends a call; its slot is free afterwards. */
static void
finish_call(AprBackendCall_t *call, bool measured)
{
    AprBackend_t *backend = call->backend;

    AprAdmission_Done(&backend->admission, (uint64_t)call->id,
                      AprGateway_NowMs(backend->gateway), measured);
    free_call(call);
    pump(backend);
}

static void
fail_call(AprBackendCall_t *call, const AprCallFailure_t *failure)
{
    AprCallSink_t sink = call->sink;
    void *context = call->context;
    bool detached = call->detached;

    AprLog_Write(APR_LOG_INFO, "backend_fail",
                 "request=%s route=%s error=%s not_run=%d waited_ms=%lld",
                 call->head.id, call->head.route,
                 AprCallError_Name(failure->error), failure->not_run,
                 (long long)(AprGateway_NowMs(call->backend->gateway) -
                             call->submitted_ms));
    finish_call(call, false);
    if (!detached) {
        sink.fail(context, failure);
    }
}

static void
remove_conn(AprBackendConn_t *conn)
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

static void
note_refusal(AprBackend_t *backend, AprConnOutcome_t outcome)
{
    int64_t now_ms = AprGateway_NowMs(backend->gateway);

    if (outcome != APR_CONN_REFUSED) {
        backend->refusals = 0;
        return;
    }
    if (backend->refusals++ == 0) {
        backend->refused_since_ms = now_ms;
    }
    if (!backend->gone && backend->refusals >= GONE_REFUSALS &&
        now_ms - backend->refused_since_ms >= GONE_SPAN_MS) {
        backend->gone = true;
        AprLog_Write(APR_LOG_WARN, "backend_gone", "id=%s refusals=%d",
                     backend->life.id, backend->refusals);
    }
}

static AprBackendCall_t *
find_call(AprBackend_t *backend, uint64_t work_id)
{
    gint64 id = (gint64)work_id;

    return g_hash_table_lookup(backend->calls, &id);
}

/* Notes that the backend server answers. */
void
AprBackend_NoteAnswer(AprBackend_t *backend)
{
    backend->answered_ms = AprGateway_NowMs(backend->gateway);
    if (backend->silent) {
        backend->silent = false;
        AprLog_Write(APR_LOG_INFO, "backend_answers", "id=%s",
                     backend->life.id);
    }
}

/* Refuses all that waits. */
static void
refuse_queue(AprBackend_t *backend)
{
    while (backend->admission.queue_count > 0) {
        AprWork_t work = backend->admission.queue[0];
        AprBackendCall_t *call = find_call(backend, work.id);
        AprCallFailure_t failure = {
            APR_CALL_NO_BACKEND, true,
            (int64_t)(backend->gateway->settings.heartbeat_s * 500)};

        AprAdmission_Remove(&backend->admission, work.id);
        if (call != NULL) {
            fail_call(call, &failure);
        }
    }
}

/* Notices a backend server that stopped to answer. */
static void
check_silence(AprBackend_t *backend, int64_t now_ms)
{
    const AprAdmission_t *admission = &backend->admission;
    int64_t since_ms = backend->answered_ms;
    int waiting = 0;

    for (int i = 0; i < admission->running_count; i++) {
        const AprRunning_t *running = &admission->running[i];
        int64_t limit_ms = (int64_t)(SILENT_COSTS * running->cost_ms);

        if (limit_ms < SILENT_MS) {
            limit_ms = SILENT_MS;
        }
        waiting += now_ms - running->started_ms > limit_ms &&
                   now_ms - since_ms > limit_ms;
    }
    if (!backend->silent && waiting >= SILENT_RUNNING) {
        backend->silent = true;
        AprLog_Write(APR_LOG_WARN, "backend_silent",
                     "id=%s running=%d answer_age_ms=%lld", backend->life.id,
                     admission->running_count, (long long)(now_ms - since_ms));
        refuse_queue(backend);
    }
}

/* Handles the end of a connection's current call or of the connection. */
void
AprBackend_ConnDone(AprBackendConn_t *conn, AprConnOutcome_t outcome)
{
    AprBackend_t *backend = conn->backend;
    AprBackendCall_t *call = conn->call;
    AprCallFailure_t failure = {APR_CALL_BROKEN, false, 0};
    bool answered = conn->answered;
    bool fresh = !conn->reused;

    if (call != NULL) {
        call->conn = NULL;
    }
    conn->call = NULL;
    if (outcome != APR_CONN_REUSABLE) {
        remove_conn(conn);
    }
    note_refusal(backend, outcome);
    if (call == NULL) {
        return;
    }
    switch (outcome) {
    case APR_CONN_REUSABLE:
    case APR_CONN_ENDED: {
        AprCallSink_t sink = call->sink;
        void *context = call->context;
        bool detached = call->detached;

        finish_call(call, true);
        if (!detached) {
            sink.end(context);
        }
        return;
    }
    case APR_CONN_SHED:
        failure.error = APR_CALL_SHED;
        failure.not_run = true;
        failure.retry_after_ms =
            AprAdmission_WaitMs(&backend->admission, call->head.rank,
                                AprGateway_NowMs(backend->gateway));
        break;
    case APR_CONN_REFUSED:
        failure.error = APR_CALL_UNREACHABLE;
        failure.not_run = true;
        failure.retry_after_ms =
            (int64_t)(backend->gateway->settings.heartbeat_s * 1000);
        break;
    case APR_CONN_UNOPENED:
        failure.error = APR_CALL_SHED;
        failure.not_run = true;
        break;
    case APR_CONN_BAD:
        failure.error = APR_CALL_BAD_ANSWER;
        break;
    default:
        break;
    }
    /* A kept connection may die under an idempotent request; the backend
       server has most likely not seen it. */
    if (outcome == APR_CONN_BROKEN && !answered && !fresh &&
        call->head.idempotent && !call->resent && !call->detached &&
        call->body_kept) {
        call->resent = true;
        AprBackend_Dispatch(call);
        return;
    }
    fail_call(call, &failure);
}

/* Sends an admitted call on an idle or a new connection. */
void
AprBackend_Dispatch(AprBackendCall_t *call)
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
            fail_call(call, &failure);
            return;
        }
        conn->next = backend->conns;
        backend->conns = conn;
        AprGateway_Count(backend->gateway, "backend_connections_total", "");
    }
    AprBackendConn_Send(conn, call, backend->life.id, now_ms);
}

static void
refuse_hopeless(AprBackend_t *backend, int64_t now_ms)
{
    AprAdmissionVerdict_t verdict;
    AprWork_t work;

    while (AprAdmission_NextHopeless(&backend->admission, now_ms, &work,
                                     &verdict)) {
        AprBackendCall_t *call = find_call(backend, work.id);
        AprCallFailure_t failure = {APR_CALL_FULL, true,
                                    verdict.retry_after_ms};

        if (call != NULL) {
            fail_call(call, &failure);
        }
    }
}

/* Whether the backend server holds a key; requests without one may run
   anywhere. */
static bool
check_key(AprBackend_t *backend, int key, AprCallFailure_t *failure)
{
    int64_t wait_ms = 0;

    if (key == APR_NO_KEY) {
        return true;
    }
    switch (AprOwnership_Check(backend->gateway->ownership, key, &wait_ms)) {
    case APR_KEY_SERVE:
        return true;
    case APR_KEY_WAIT:
        failure->error = APR_CALL_FULL;
        failure->retry_after_ms = wait_ms;
        return false;
    default:
        failure->error = APR_CALL_NOT_OWNER;
        return false;
    }
}

/* Whether a queued call may still go to the backend server: its key may have
   been given away while it waited. */
static bool
may_start(AprBackend_t *backend, AprBackendCall_t *call,
          AprCallFailure_t *failure)
{
    if (!AprBackend_IsOpen(backend)) {
        failure->error = APR_CALL_LEAVING;
        return false;
    }
    if (backend->silent && backend->admission.running_count > 1) {
        failure->error = APR_CALL_NO_BACKEND;
        return false;
    }
    return check_key(backend, call->head.key, failure);
}

static void
pump(AprBackend_t *backend)
{
    int64_t now_ms = AprGateway_NowMs(backend->gateway);
    AprWork_t work;

    if (backend->pumping) {
        return;
    }
    backend->pumping = true;
    while (AprAdmission_Next(&backend->admission, now_ms, &work)) {
        AprBackendCall_t *call = find_call(backend, work.id);
        AprCallFailure_t failure = {APR_CALL_FULL, true, 0};

        if (call == NULL) {
            AprAdmission_Done(&backend->admission, work.id, now_ms, false);
        }
        else if (!may_start(backend, call, &failure)) {
            fail_call(call, &failure);
        }
        else {
            call->started_ms = now_ms;
            AprBackend_Dispatch(call);
        }
    }
    if (backend->admission.queue_count > 0) {
        refuse_hopeless(backend, now_ms);
    }
    backend->pumping = false;
}

static void
call_body(void *context, const char *data, size_t size, bool end)
{
    AprBackendCall_t *call = context;

    call->body_complete = end;
    if (call->conn != NULL) {
        AprBackendConn_Body(call->conn, data, size, end);
    }
    else {
        AprBuffer_Append(&call->body, data, size);
    }
}

static void
call_taken(void *context, size_t size)
{
    AprBackendCall_t *call = context;

    if (call->conn != NULL) {
        AprBackendConn_Taken(call->conn, size);
    }
}

static void
call_cancel(void *context)
{
    AprBackendCall_t *call = context;
    AprBackend_t *backend = call->backend;

    if (AprAdmission_Remove(&backend->admission, (uint64_t)call->id)) {
        free_call(call);
        return;
    }
    if (!call->head.idempotent && call->body_complete) {
        /* It may change state; a cut run would leave its outcome open. */
        call->detached = true;
        return;
    }
    if (call->conn != NULL) {
        AprBackendConn_t *conn = call->conn;

        conn->call = NULL;
        call->conn = NULL;
        remove_conn(conn);
    }
    finish_call(call, false);
}

static const AprCallOps_t call_ops = {call_body, call_taken, call_cancel};

/* Demand of the recent past, in milliseconds of service time. */
static double
faded_demand(const AprBackend_t *backend, int64_t now_ms)
{
    double age = (double)(now_ms - backend->demand_at_ms) / DEMAND_SPAN_MS;

    return backend->demand_ms * (age < 1 ? 1 - age : 0);
}

static void
add_demand(AprBackend_t *backend, double cost_ms, int64_t now_ms)
{
    backend->demand_ms = faded_demand(backend, now_ms) + cost_ms;
    backend->demand_at_ms = now_ms;
}

/* Demand of the recent past over the capacity of the slots. */
double
AprBackend_Demand(const AprBackend_t *backend)
{
    return faded_demand(backend, AprGateway_NowMs(backend->gateway)) /
           (DEMAND_SPAN_MS * backend->admission.slots);
}

/* Forgets part of the demand, that of keys which go to other hosts. */
void
AprBackend_ScaleDemand(AprBackend_t *backend, double factor)
{
    backend->demand_ms *= factor;
}

static bool
check_place(AprBackend_t *backend, const AprCallHead_t *head,
            AprCallFailure_t *failure)
{
    failure->not_run = true;
    failure->retry_after_ms =
        (int64_t)(backend->gateway->settings.heartbeat_s * 500);
    if (backend->life.id[0] == '\0' || backend->gone ||
        (backend->silent && AprBackend_Busy(backend) > 0)) {
        failure->error = APR_CALL_NO_BACKEND;
        return false;
    }
    if (!AprBackend_IsOpen(backend)) {
        failure->error = APR_CALL_LEAVING;
        return false;
    }
    if (strcmp(head->service, backend->gateway->settings.backend_service) !=
        0) {
        failure->error = APR_CALL_NOT_OWNER;
        return false;
    }
    return check_key(backend, head->key, failure);
}

static AprBackendCall_t *
new_call(AprBackend_t *backend, const AprCallHead_t *head, const char *data,
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
    call->backend = backend;
    call->id = (gint64)++backend->next_id;
    call->submitted_ms = AprGateway_NowMs(backend->gateway);
    call->body_complete = end;
    call->body_kept = end;
    g_hash_table_insert(backend->calls, &call->id, call);
    return call;
}

/* Queues a request for the local backend server. Returns false with a failure
   when it is refused at once; otherwise the sink is called later. */
bool
AprBackend_Submit(AprBackend_t *backend, const AprCallHead_t *head,
                  const char *data, size_t size, bool end,
                  const AprCallSink_t *sink, void *context, AprCallRef_t *ref,
                  AprCallFailure_t *failure)
{
    int64_t now_ms = AprGateway_NowMs(backend->gateway);
    AprAdmissionVerdict_t verdict;
    AprBackendCall_t *call;
    AprWork_t work = {0};

    if (!check_place(backend, head, failure)) {
        return false;
    }
    work.id = backend->next_id + 1;
    work.kind = kind_of(head);
    work.rank = head->rank;
    work.nested = head->nested;
    work.arrived_ms = head->arrived_ms;
    work.objective_ms = head->objective_ms;
    work.deadline_ms = head->deadline_ms;
    verdict = AprAdmission_Offer(&backend->admission, &work, now_ms);
    add_demand(backend, work.cost_ms, now_ms);
    if (head->key != APR_NO_KEY) {
        AprOwnership_NoteRequest(backend->gateway->ownership, head->key,
                                 work.cost_ms);
    }
    if (!verdict.admitted) {
        failure->error = APR_CALL_FULL;
        failure->not_run = true;
        failure->retry_after_ms = verdict.retry_after_ms;
        return false;
    }
    call = new_call(backend, head, data, size, end);
    if (call == NULL) {
        AprAdmission_Remove(&backend->admission, work.id);
        failure->error = APR_CALL_FULL;
        failure->not_run = true;
        return false;
    }
    call->sink = *sink;
    call->context = context;
    ref->ops = &call_ops;
    ref->call = call;
    /* The caller learns its reference first: work starts from the loop. */
    ev_feed_event(backend->gateway->loop, &backend->gateway->work, EV_TIMER);
    return true;
}

/* Notes a heartbeat of the backend server. */
void
AprBackend_Announce(AprBackend_t *backend, const AprBeat_t *beat)
{
    bool same = AprBackendLife_Equal(&backend->life, &beat->life);

    if (!same) {
        AprLog_Write(APR_LOG_INFO, "backend_found",
                     "id=%s born_ms=%lld slots=%d earlier=%s", beat->life.id,
                     (long long)beat->life.born_ms, beat->slots,
                     backend->life.id);
        backend->life = beat->life;
        backend->leaving = false;
        backend->silent = false;
    }
    backend->gone = false;
    backend->refusals = 0;
    backend->admission.slots = beat->slots > APR_ADMISSION_MAX_SLOTS
                                   ? APR_ADMISSION_MAX_SLOTS
                                   : beat->slots;
    if (beat->leaving) {
        AprBackend_Leave(backend);
    }
}

/* Notes that the backend server is about to leave. */
void
AprBackend_Leave(AprBackend_t *backend)
{
    if (!backend->leaving) {
        backend->leaving = true;
        backend->leaving_since_ms = AprGateway_NowMs(backend->gateway);
        AprLog_Write(APR_LOG_INFO, "backend_leaving", "id=%s",
                     backend->life.id);
    }
}

/* Whether new work may be sent to the backend server. */
bool
AprBackend_IsOpen(const AprBackend_t *backend)
{
    int64_t drain_ms = (int64_t)(backend->gateway->settings.drain_s * 1000);

    return backend->life.id[0] != '\0' &&
           (!backend->leaving ||
            AprGateway_NowMs(backend->gateway) <
                backend->leaving_since_ms + drain_ms - DRAIN_MARGIN_MS);
}

/* Whether the backend server refused a connection since its last heartbeat,
   so that it holds no keys any more. */
bool
AprBackend_IsGone(const AprBackend_t *backend)
{
    return backend->gone;
}

/* The present life of the backend server; an empty id before the first. */
const AprBackendLife_t *
AprBackend_Life(const AprBackend_t *backend)
{
    return &backend->life;
}

/* Number of calls that wait or run. */
int
AprBackend_Busy(const AprBackend_t *backend)
{
    return backend->admission.running_count + backend->admission.queue_count;
}

/* The request with an id that the backend server runs now; NULL when there
   is none. */
const AprCallHead_t *
AprBackend_FindRunning(const AprBackend_t *backend, const char *id,
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

/* Fills in the load of the backend server. */
void
AprBackend_Load(const AprBackend_t *backend, AprHostLoad_t *load)
{
    load->running = backend->admission.running_count;
    load->queued = backend->admission.queue_count;
    load->slots = backend->admission.slots;
    load->wait_ms = AprAdmission_WaitMs(&backend->admission, 0,
                                        AprGateway_NowMs(backend->gateway));
    load->load_permille = (int)(AprBackend_Demand(backend) * 1000);
    load->open = AprBackend_IsOpen(backend) && !backend->leaving &&
                 !backend->gone && !backend->silent;
}

/* Whether the backend server did not answer a call by its deadline. */
static gboolean
is_overdue(gpointer key, gpointer value, gpointer data)
{
    const AprBackendCall_t *call = value;
    const int64_t *now_ms = data;

    (void)key;
    return call->conn != NULL && !call->conn->answered &&
           *now_ms > call->head.deadline_ms + ANSWER_GRACE_MS;
}

/* Starts waiting work, and ends calls whose backend server did not answer by
   their deadline. */
void
AprBackend_Tick(AprBackend_t *backend)
{
    int64_t now_ms = AprGateway_NowMs(backend->gateway);
    AprBackendCall_t *call;

    while ((call = g_hash_table_find(backend->calls, is_overdue, &now_ms)) !=
           NULL) {
        AprBackendConn_t *conn = call->conn;
        AprCallFailure_t failure = {APR_CALL_TIMEOUT, false, 0};

        conn->call = NULL;
        call->conn = NULL;
        remove_conn(conn);
        fail_call(call, &failure);
    }
    for (AprBackendConn_t *conn = backend->conns; conn != NULL;) {
        AprBackendConn_t *next = conn->next;

        if (AprBackendConn_IsExpired(conn, now_ms)) {
            remove_conn(conn);
        }
        conn = next;
    }
    check_silence(backend, now_ms);
    pump(backend);
}

/* Frees the state; calls get no further callback. */
void
AprBackend_Free(AprBackend_t *backend)
{
    if (backend == NULL) {
        return;
    }
    while (backend->conns != NULL) {
        AprBackendConn_t *conn = backend->conns;

        backend->conns = conn->next;
        AprBackendConn_Free(conn);
    }
    g_hash_table_destroy(backend->calls);
    free(backend);
}
