#include <stdlib.h>
#include <string.h>

#include "internal/core.h"
#include "internal/owned_table.h"
#include "internal/routing_rules.h"

#define MAX_OWNED_REQUESTS 65536
#define OVERLOAD_HINT_MS 50 /* validity of the overload hint in a refusal */
/* A backend call id is the slot's reuse count above the request's handle, so
   that a late result isn't taken for that of a later request in the slot. */
#define CALL_ID_SHIFT 32

/* Returns whether this process owns a partition; doesn't check the lease. A
   partition is owned only after its outcome floor has been set. */
bool
AprOwner_Owns(const AprCore_t *core, int service, int partition)
{
    return core->services[service]->owned_epoch[partition] != 0;
}

/* Sends an answer to the entry request of this process or over the link from
   which the request came. Fills in the answer's id, record version and, when
   it is missing, the peer. */
static void
send_answer(AprCore_t *core, const AprReplyTarget_t *reply,
            AprAnswerMessage_t *answer)
{
    AprMessage_t message = {0};

    answer->id = reply->id;
    answer->record_version = core->record->version;
    if (answer->peer.data == NULL) {
        answer->peer = AprBytes_FromText(core->settings.host);
    }
    if (reply->local) {
        AprRouter_OnAnswer(core, reply->id, answer);
        return;
    }
    message.type = APR_MSG_ANSWER;
    message.answer = *answer;
    AprLinks_Send(core, reply->link, &message);
}

/* Sends an answer without a body for a request that did not run, whose
   partition is owned elsewhere, or whose outcome is unknown. */
static void
send_refusal(AprCore_t *core, const AprReplyTarget_t *reply,
             AprOutcomeKind_t outcome, AprStep_t step, const char *reason)
{
    AprAnswerMessage_t answer = {0};

    answer.outcome = outcome;
    answer.step = step;
    answer.reason = AprBytes_FromText(reason);
    answer.hint_rank = -1;
    send_answer(core, reply, &answer);
}

static void
send_queue_refusal(AprCore_t *core, const AprOwnedRequest_t *owned,
                   const char *reason)
{
    AprServiceState_t *service = core->services[owned->service];
    AprAnswerMessage_t answer = {0};

    answer.outcome = APR_NOT_RUN;
    answer.step = APR_STEP_QUEUE;
    answer.reason = AprBytes_FromText(reason);
    answer.hint_rank =
        AprRankQueue_LeastUrgentRankWithRoom(service->queue->rank_queue);
    answer.hint_ms = OVERLOAD_HINT_MS;
    send_answer(core, &owned->reply, &answer);
}

static void
send_stored_answer(AprCore_t *core, const AprReplyTarget_t *reply,
                   const AprStoredAnswer_t *stored)
{
    AprAnswerMessage_t answer = {0};

    answer.outcome = stored->status == 0 ? APR_UNKNOWN : APR_ANSWERED;
    answer.status = stored->status;
    answer.reason =
        AprBytes_FromText(stored->status == 0 ? "outcome-unknown" : "repeat");
    answer.step = APR_STEP_OWNER;
    answer.hint_rank = -1;
    answer.content_type = AprBytes_FromText(
        stored->content_type == NULL ? "" : stored->content_type);
    answer.body.data = stored->body;
    answer.body.size = stored->body_size;
    send_answer(core, reply, &answer);
}

/* Answers the duplicates that wait for an outcome with APR_MOVED, so that
   their entry sends them again: the request with the same idempotency key did
   not run. */
static void
complete_duplicates_as_moved(AprCore_t *core, AprOutcomeHandle_t outcome)
{
    for (uint32_t handle = 0;
         core->suspended_count > 0 && handle < core->owned_requests->len;
         handle++) {
        const AprOwnedRequest_t *owned = AprOwnedTable_Get(core, handle);

        if (owned->state == APR_OWNED_DUPLICATE && owned->outcome == outcome) {
            AprOwner_CompleteAsMoved(core, handle, "repeat-after-not-run");
        }
    }
}

/* Removes the outcome entry of a request that did not run, and completes the
   duplicates that wait for it: the table reuses the entry's handle, so they
   would otherwise get the answer of another request. */
static void
abort_outcome_entry(AprCore_t *core, AprOwnedRequest_t *owned)
{
    AprOutcomeHandle_t outcome = owned->outcome;

    owned->outcome = APR_NO_OUTCOME;
    if (outcome != APR_NO_OUTCOME && owned->state != APR_OWNED_DUPLICATE) {
        AprOutcomes_Abort(core->outcomes, outcome);
        if (apr_routing_rules.end_duplicates) {
            complete_duplicates_as_moved(core, outcome);
        }
    }
}

static void
suspend_request(AprCore_t *core, AprOwnedRequest_t *owned,
                AprOwnedState_t state)
{
    owned->state = state;
    owned->queue = NULL;
    core->suspended_count++;
}

static void
release_request(AprCore_t *core, uint32_t handle)
{
    const AprOwnedRequest_t *owned = AprOwnedTable_Get(core, handle);

    if (owned->state == APR_OWNED_HELD ||
        owned->state == APR_OWNED_DUPLICATE) {
        core->suspended_count--;
    }
    AprOwnedTable_Release(core, handle);
}

/* Completes a request that has not run with APR_MOVED, so that its entry looks
   up the owner again. Frees the request. */
void
AprOwner_CompleteAsMoved(AprCore_t *core, uint32_t handle, const char *reason)
{
    AprOwnedRequest_t *owned = AprOwnedTable_Get(core, handle);

    abort_outcome_entry(core, owned);
    send_refusal(core, &owned->reply, APR_MOVED, APR_STEP_OWNER, reason);
    release_request(core, handle);
}

static void
complete_as_not_run(AprCore_t *core, uint32_t handle, AprStep_t step,
                    const char *reason)
{
    AprOwnedRequest_t *owned = AprOwnedTable_Get(core, handle);

    abort_outcome_entry(core, owned);
    send_refusal(core, &owned->reply, APR_NOT_RUN, step, reason);
    release_request(core, handle);
}

static void
enqueue_request(AprCore_t *core, uint32_t handle)
{
    AprOwnedRequest_t *owned = AprOwnedTable_Get(core, handle);
    AprServiceState_t *service = core->services[owned->service];
    int code = AprRankQueue_Push(service->queue->rank_queue, owned->rank,
                                 handle, owned->deadline, AprCore_Now(core));

    if (code != APR_OK) {
        abort_outcome_entry(core, owned);
        send_queue_refusal(core, owned,
                           code == APR_E_FULL ? "queue-full"
                                              : "deadline-cannot-be-met");
        release_request(core, handle);
        return;
    }
    owned->state = APR_OWNED_QUEUED;
    owned->queue = service->queue;
}

/* Looks up a non-idempotent request in the outcome table. Returns true when
   the request may be queued. Otherwise it was answered and freed, or it waits
   for the outcome of the request with the same idempotency key. */
static bool
admit_non_idempotent(AprCore_t *core, uint32_t handle)
{
    AprOwnedRequest_t *owned = AprOwnedTable_Get(core, handle);
    const AprRequestMessage_t *request = &owned->message->request;
    AprOutcomeRequest_t outcome = {owned->service,
                                   owned->partition,
                                   owned->key_hash,
                                   {0},
                                   request->first_attempt};
    AprOutcomeHandle_t found = APR_NO_OUTCOME;

    memcpy(outcome.idempotency_key, request->idempotency_key,
           sizeof(outcome.idempotency_key));
    switch (AprOutcomes_Admit(core->outcomes, &outcome,
                              AprClock_WallMs(&core->clock), &found)) {
    case APR_ADMIT_RUN:
        owned->outcome = found;
        return true;
    case APR_ADMIT_REPLAY:
        send_stored_answer(core, &owned->reply,
                           AprOutcomes_Answer(core->outcomes, found));
        break;
    case APR_ADMIT_WAIT:
        owned->outcome = found;
        suspend_request(core, owned, APR_OWNED_DUPLICATE);
        return false;
    case APR_ADMIT_UNKNOWN:
        send_refusal(core, &owned->reply, APR_UNKNOWN, APR_STEP_OWNER,
                     "may-have-run-before");
        break;
    case APR_ADMIT_FULL:
        send_refusal(core, &owned->reply, APR_NOT_RUN, APR_STEP_OWNER,
                     "outcome-table-full");
        break;
    }
    release_request(core, handle);
    return false;
}

static void
admit_request(AprCore_t *core, uint32_t handle)
{
    AprOwnedRequest_t *owned = AprOwnedTable_Get(core, handle);
    AprServiceState_t *service = core->services[owned->service];

    AprHotKeys_Add(service->hot_keys, owned->key_hash, 1.0);
    if (!owned->idempotent && !admit_non_idempotent(core, handle)) {
        return;
    }
    enqueue_request(core, handle);
    AprOwner_Dispatch(core, owned->service);
}

static bool
drain_refuses_work(const AprCore_t *core)
{
    return apr_routing_rules.check_drain && AprDrain_RefusesWork(core);
}

/* Returns the reason why this process can't accept a request at present, or
   NULL. */
static const char *
find_refusal_reason(AprCore_t *core, int service, int partition)
{
    if (service < 0 || core->services[service]->queue == NULL) {
        return "service-not-here";
    }
    if (partition < 0 || (apr_routing_rules.check_ownership &&
                          !AprOwner_Owns(core, service, partition))) {
        return "not-owner";
    }
    if (apr_routing_rules.check_lease &&
        !AprLease_IsValid(core->lease, AprCore_Now(core))) {
        AprMetric_Add(core->lease_refusals, 1);
        return "lease-expired";
    }
    return drain_refuses_work(core) ? "draining" : NULL;
}

static int
find_partition(const AprCore_t *core, const char *service, uint64_t key_hash)
{
    int index = AprRecord_FindService(core->record, service);

    if (index < 0) {
        return APR_E_NOT_FOUND;
    }
    return AprRecord_FindPartition(core->record, index, key_hash);
}

/* Handles a request as the owner of its key: refuses it, holds it while its
   partition is being moved, or queues it for the backend server. Takes
   ownership of the message. */
void
AprOwner_OnRequest(AprCore_t *core, AprReplyTarget_t reply,
                   AprMessage_t *message)
{
    const AprRequestMessage_t *request = &message->request;
    int service = AprCore_FindService(core, request->service.data);
    int partition =
        find_partition(core, request->service.data, request->key_hash);
    const char *reason = find_refusal_reason(core, service, partition);
    AprOwnedRequest_t *owned;
    uint32_t handle;

    if (reason != NULL) {
        send_refusal(core, &reply, APR_MOVED, APR_STEP_OWNER, reason);
        AprMessage_Free(message);
        return;
    }
    handle = AprOwnedTable_Allocate(core, MAX_OWNED_REQUESTS);
    if (handle == APR_NO_OWNED_REQUEST) {
        send_refusal(core, &reply, APR_NOT_RUN, APR_STEP_OWNER,
                     "owner-overloaded");
        AprMessage_Free(message);
        return;
    }
    owned = AprOwnedTable_Get(core, handle);
    owned->reply = reply;
    owned->message = message;
    owned->service = service;
    owned->partition = partition;
    owned->key_hash = request->key_hash;
    owned->idempotent = request->idempotent;
    owned->rank = CLAMP(request->rank, 0,
                        core->services[service]->config.rank_count - 1);
    owned->deadline = AprTime_AddMs(AprCore_Now(core), request->remaining_ms);
    owned->outcome = APR_NO_OUTCOME;
    if (core->services[service]->held_by_move[partition] != 0) {
        suspend_request(core, owned, APR_OWNED_HELD);
        return;
    }
    admit_request(core, handle);
}

static bool
is_same_reply_target(const AprReplyTarget_t *left,
                     const AprReplyTarget_t *right)
{
    return left->local == right->local && left->id == right->id &&
           (left->local || left->link == right->link);
}

/* Cancels the request with this reply target, because its caller has
   disconnected or its entry has timed out. A running call is cancelled only
   when it is idempotent; a non-idempotent one continues, so that its outcome
   is known when the caller sends it again. */
void
AprOwner_OnCancel(AprCore_t *core, AprReplyTarget_t reply)
{
    for (uint32_t handle = 0; handle < core->owned_requests->len; handle++) {
        AprOwnedRequest_t *owned = AprOwnedTable_Get(core, handle);

        if (owned->state == APR_OWNED_FREE ||
            !is_same_reply_target(&owned->reply, &reply)) {
            continue;
        }
        if (owned->state == APR_OWNED_RUNNING) {
            if (owned->idempotent) {
                AprBackendClient_Cancel(
                    core->backends,
                    ((uint64_t)owned->reuse_count << CALL_ID_SHIFT) | handle);
            }
            return;
        }
        if (owned->state == APR_OWNED_QUEUED) {
            AprRankQueue_Remove(owned->queue->rank_queue, owned->rank, handle);
        }
        abort_outcome_entry(core, owned);
        release_request(core, handle);
        return;
    }
}

static AprBackendCall_t *
create_backend_call(AprCore_t *core, uint32_t handle, struct timespec now)
{
    AprOwnedRequest_t *owned = AprOwnedTable_Get(core, handle);
    const AprServiceState_t *service = core->services[owned->service];
    struct timespec valid_until = AprLease_ValidUntil(core->lease);
    int64_t remaining = AprTime_DiffMs(owned->deadline, now);
    AprBackendCall_t *call = calloc(1, sizeof(*call));

    if (call == NULL) {
        return NULL;
    }
    call->id = ((uint64_t)owned->reuse_count << CALL_ID_SHIFT) | handle;
    g_strlcpy(call->address, service->backend.address, sizeof(call->address));
    g_strlcpy(call->service, service->config.service, sizeof(call->service));
    g_strlcpy(call->rank, service->config.ranks[owned->rank].name,
              sizeof(call->rank));
    call->request = owned->message;
    call->grant_epoch = service->owned_epoch[owned->partition];
    call->send_deadline = AprTime_IsBefore(valid_until, owned->deadline)
                              ? valid_until
                              : owned->deadline;
    call->grant_expiry_ms = AprClock_WallMs(&core->clock) +
                            MIN(AprTime_DiffMs(valid_until, now), remaining);
    call->timeout_ms =
        (int)CLAMP(remaining, 1, core->settings.backend_timeout_ms);
    return call;
}

/* Repeats the checks of ownership, lease and drain directly before a dispatch,
   because they may have changed while the request was queued, and checks that
   the backend server is alive. Returns the reason for a refusal, or NULL. */
static const char *
find_dispatch_refusal(const AprCore_t *core, const AprOwnedRequest_t *owned,
                      struct timespec now)
{
    const AprServiceState_t *service = core->services[owned->service];

    if (apr_routing_rules.check_ownership &&
        !AprOwner_Owns(core, owned->service, owned->partition)) {
        return "not-owner";
    }
    if (apr_routing_rules.check_lease && !AprLease_IsValid(core->lease, now)) {
        return "lease-expired";
    }
    if (drain_refuses_work(core)) {
        return "draining"; /* accepted before new work was refused */
    }
    return service->backend.alive ? NULL : "backend-lost";
}

static void
start_backend_call(AprCore_t *core, uint32_t handle, struct timespec now)
{
    AprOwnedRequest_t *owned = AprOwnedTable_Get(core, handle);
    AprServiceState_t *service = core->services[owned->service];
    AprBackendCall_t *call = create_backend_call(core, handle, now);

    if (call == NULL ||
        AprBackendClient_Submit(core->backends, call) != APR_OK) {
        AprRankQueue_Finish(owned->queue->rank_queue, owned->rank, -1.0);
        free(call); /* the request still owns the message */
        complete_as_not_run(core, handle, APR_STEP_BACKEND,
                            "backend-overloaded");
        return;
    }
    owned->message = NULL;
    owned->state = APR_OWNED_RUNNING;
    owned->queue->running_count++;
    service->in_flight[owned->partition]++;
}

/* Dispatches queued requests of a service while its backend server has free
   slots. */
void
AprOwner_Dispatch(AprCore_t *core, int index)
{
    AprServiceState_t *service = core->services[index];
    struct timespec now = AprCore_Now(core);
    uint32_t handle;
    int rank;

    while (service->queue != NULL &&
           AprRankQueue_Pop(service->queue->rank_queue, now, &handle, &rank)) {
        AprOwnedRequest_t *owned = AprOwnedTable_Get(core, handle);
        const char *reason = find_dispatch_refusal(core, owned, now);

        if (reason == NULL && service->held_by_move[owned->partition] == 0) {
            start_backend_call(core, handle, now);
            continue;
        }
        AprRankQueue_Finish(service->queue->rank_queue, rank, -1.0);
        if (reason != NULL) {
            AprOwner_CompleteAsMoved(core, handle, reason);
        }
        else {
            abort_outcome_entry(core, owned);
            suspend_request(core, owned, APR_OWNED_HELD);
        }
    }
}

static void
update_queue_slots(const AprCore_t *core, AprServiceState_t *service)
{
    int slots = service->backend.slots > 0 ? service->backend.slots
                                           : core->settings.backend_slots;

    AprRankQueue_SetSlots(service->queue->rank_queue,
                          MAX(1, slots - service->retired_running_count));
}

static void
release_queue_slot(AprCore_t *core, AprServiceState_t *service,
                   AprDispatchQueue_t *queue)
{
    queue->running_count--;
    if (!queue->retired) {
        return;
    }
    service->retired_running_count--;
    update_queue_slots(core, service);
    if (queue->running_count == 0) {
        AprRankQueue_Free(queue->rank_queue);
        free(queue);
    }
}

/* Sends the stored answer to the duplicates that wait for the outcome of the
   request with the same idempotency key. */
static void
answer_duplicates(AprCore_t *core, AprOutcomeHandle_t outcome)
{
    for (uint32_t handle = 0;
         core->suspended_count > 0 && handle < core->owned_requests->len;
         handle++) {
        const AprOwnedRequest_t *owned = AprOwnedTable_Get(core, handle);

        if (owned->state == APR_OWNED_DUPLICATE && owned->outcome == outcome) {
            send_stored_answer(core, &owned->reply,
                               AprOutcomes_Answer(core->outcomes, outcome));
            release_request(core, handle);
        }
    }
}

static void
store_outcome(AprCore_t *core, const AprOwnedRequest_t *owned,
              const AprBackendResult_t *result)
{
    AprStoredAnswer_t answer = {result->status, result->content_type,
                                result->body, result->body_size};
    int64_t wall_ms = AprClock_WallMs(&core->clock);

    if (owned->outcome == APR_NO_OUTCOME) {
        return;
    }
    switch (result->outcome) {
    case APR_ANSWERED:
        AprOutcomes_Finish(core->outcomes, owned->outcome, &answer, wall_ms);
        break;
    case APR_UNKNOWN:
        AprOutcomes_MarkUnknown(core->outcomes, owned->outcome, wall_ms);
        break;
    default:
        AprOutcomes_Abort(core->outcomes, owned->outcome);
        complete_duplicates_as_moved(core, owned->outcome);
        return;
    }
    answer_duplicates(core, owned->outcome);
}

/* Sends the result of a backend call to the entry. A refused connection ran
   nothing and is answered with APR_MOVED, so that the entry retries and finds
   a new owner. Of the other results, the entry may retry unknown ones of
   idempotent requests; it returns the rest to the caller. */
static void
send_backend_result(AprCore_t *core, const AprOwnedRequest_t *owned,
                    const AprBackendResult_t *result)
{
    AprAnswerMessage_t answer = {0};

    answer.outcome = result->connection_refused ? APR_MOVED : result->outcome;
    answer.status = result->status;
    answer.step = APR_STEP_BACKEND;
    answer.reason = AprBytes_FromText(result->connection_refused
                                          ? "backend-lost"
                                          : AprError_Name(result->error.code));
    answer.detail = AprBytes_FromText(result->error.detail);
    answer.hint_rank = -1;
    answer.content_type = AprBytes_FromText(
        result->content_type == NULL ? "" : result->content_type);
    answer.body.data = result->body;
    answer.body.size = result->body_size;
    send_answer(core, &owned->reply, &answer);
}

static void
finish_backend_call(AprCore_t *core, uint32_t handle,
                    const AprBackendResult_t *result)
{
    AprOwnedRequest_t *owned = AprOwnedTable_Get(core, handle);
    AprServiceState_t *service = core->services[owned->service];
    int index = owned->service;
    int partition = owned->partition;
    bool ran = result->outcome != APR_NOT_RUN;

    AprRankQueue_Finish(owned->queue->rank_queue, owned->rank,
                        ran ? result->service_ms : -1.0);
    release_queue_slot(core, service, owned->queue);
    service->in_flight[partition]--;
    if (result->connection_refused && service->backend.alive) {
        service->backend.alive = false;
        AprLog_Write(APR_LOG_WARN, "backend-refused", "service=%s address=%s",
                     service->config.service, service->backend.address);
    }
    store_outcome(core, owned, result);
    send_backend_result(core, owned, result);
    release_request(core, handle);
    if (service->in_flight[partition] == 0 &&
        service->held_by_move[partition]) {
        AprHandover_OnIdle(core, index, partition);
    }
    AprOwner_Dispatch(core, index);
}

/* Handles the result of a backend call and frees it. A result whose request
   has already been freed is counted and dropped. */
void
AprOwner_OnBackendResult(AprCore_t *core, AprBackendResult_t *result)
{
    uint32_t handle = (uint32_t)result->id;
    uint32_t reuse_count = (uint32_t)(result->id >> CALL_ID_SHIFT);
    const AprOwnedRequest_t *owned = handle < core->owned_requests->len
                                         ? AprOwnedTable_Get(core, handle)
                                         : NULL;

    if (owned != NULL && owned->state == APR_OWNED_RUNNING &&
        owned->reuse_count == reuse_count) {
        finish_backend_call(core, handle, result);
    }
    else {
        AprMetric_Add(core->late_answers, 1);
    }
    AprBackendResult_Free(result);
}

/* Completes requests whose deadline has passed: queued and held ones as not
   run, waiting duplicates as unknown. Also dispatches queued requests and
   removes expired outcomes. */
void
AprOwner_Tick(AprCore_t *core)
{
    struct timespec now = AprCore_Now(core);
    uint32_t handle;

    for (int i = 0; i < core->service_count; i++) {
        AprServiceState_t *service = core->services[i];

        while (service->queue != NULL &&
               AprRankQueue_PopExpired(service->queue->rank_queue, now,
                                       &handle)) {
            complete_as_not_run(core, handle, APR_STEP_QUEUE,
                                "deadline-passed");
        }
        AprOwner_Dispatch(core, i);
    }
    for (handle = 0;
         core->suspended_count > 0 && handle < core->owned_requests->len;
         handle++) {
        const AprOwnedRequest_t *owned = AprOwnedTable_Get(core, handle);

        if (!AprTime_IsBefore(owned->deadline, now)) {
            continue;
        }
        if (owned->state == APR_OWNED_HELD) {
            complete_as_not_run(core, handle, APR_STEP_OWNER,
                                "deadline-in-move");
        }
        else if (owned->state == APR_OWNED_DUPLICATE) {
            send_refusal(core, &owned->reply, APR_UNKNOWN, APR_STEP_OWNER,
                         "still-running");
            release_request(core, handle);
        }
    }
    AprOutcomes_Expire(core->outcomes, AprClock_WallMs(&core->clock));
}

static AprDispatchQueue_t *
create_dispatch_queue(const AprServiceConfig_t *config)
{
    AprDispatchQueue_t *queue = calloc(1, sizeof(*queue));
    AprRankSpec_t ranks[APR_MAX_RANKS];

    if (queue == NULL) {
        abort();
    }
    for (int i = 0; i < config->rank_count; i++) {
        ranks[i] = config->ranks[i].spec;
    }
    queue->rank_queue = AprRankQueue_New(ranks, config->rank_count, 1,
                                         (uint32_t)config->queue);
    if (queue->rank_queue == NULL) {
        abort(); /* without a queue the service can't serve a request */
    }
    return queue;
}

static void
requeue_requests(AprCore_t *core, const AprDispatchQueue_t *old)
{
    for (uint32_t handle = 0; handle < core->owned_requests->len; handle++) {
        AprOwnedRequest_t *owned = AprOwnedTable_Get(core, handle);

        if (owned->state == APR_OWNED_QUEUED && owned->queue == old) {
            owned->rank =
                MIN(owned->rank,
                    core->services[owned->service]->config.rank_count - 1);
            enqueue_request(core, handle);
        }
    }
}

/* Creates the rank queue of a service for its present configuration and
   backend server, and moves the queued requests of the old queue to it. Does
   nothing without a published configuration. */
void
AprOwner_RebuildQueue(AprCore_t *core, int index)
{
    AprServiceState_t *service = core->services[index];
    AprDispatchQueue_t *old = service->queue;

    if (service->config.generation == 0) {
        return;
    }
    service->queue = create_dispatch_queue(&service->config);
    if (old != NULL) {
        old->retired = true;
        service->retired_running_count += old->running_count;
        requeue_requests(core, old);
        if (old->running_count == 0) {
            AprRankQueue_Free(old->rank_queue);
            free(old);
        }
    }
    update_queue_slots(core, service);
}

/* Returns whether a slot is in use by a request of this partition. */
bool
AprOwner_IsInPartition(const AprOwnedRequest_t *owned, int service,
                       int partition)
{
    return owned->state != APR_OWNED_FREE && owned->service == service &&
           owned->partition == partition;
}

/* Ends the hold on a partition during a move: its held requests are admitted
   here, or answered with APR_MOVED when the partition is no longer owned. */
void
AprOwner_EndHold(AprCore_t *core, int index, int partition)
{
    core->services[index]->held_by_move[partition] = 0;
    for (uint32_t handle = 0;
         core->suspended_count > 0 && handle < core->owned_requests->len;
         handle++) {
        AprOwnedRequest_t *owned = AprOwnedTable_Get(core, handle);

        if (!AprOwner_IsInPartition(owned, index, partition) ||
            owned->state != APR_OWNED_HELD) {
            continue;
        }
        if (!AprOwner_Owns(core, index, partition)) {
            AprOwner_CompleteAsMoved(core, handle, "moved");
            continue;
        }
        core->suspended_count--;
        owned->state = APR_OWNED_QUEUED;
        admit_request(core, handle);
    }
}
