#include <stdlib.h>
#include <string.h>

#include "internal/core.h"
#include "internal/owned_table.h"
#include "internal/routing_rules.h"

#define MAX_OWNED 65536
#define HINT_MS 50 /* how long a refusal for lack of room is remembered */
#define CALL_ID_SHIFT 32

/* Whether this process may dispatch for a partition, its lease aside. A
   partition counts as owned only once its outcome floor is set. */
bool
AprOwner_Owns(const AprCore_t *core, int service, int partition)
{
    return core->services[service]->owned_epoch[partition] != 0;
}

/* Sends an answer to where the request came from. */
static void
reply_with(AprCore_t *core, const AprReplyTo_t *reply,
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

/* Refuses a request that did not run, or whose outcome is unknown. */
static void
refuse(AprCore_t *core, const AprReplyTo_t *reply, AprOutcomeKind_t outcome,
       AprStep_t step, const char *reason)
{
    AprAnswerMessage_t answer = {0};

    answer.outcome = outcome;
    answer.step = step;
    answer.reason = AprBytes_FromText(reason);
    answer.hint_rank = -1;
    reply_with(core, reply, &answer);
}

static void
refuse_for_room(AprCore_t *core, const AprOwnedRequest_t *owned,
                const char *reason)
{
    AprServiceState_t *service = core->services[owned->service];
    AprAnswerMessage_t answer = {0};

    answer.outcome = APR_NOT_RUN;
    answer.step = APR_STEP_QUEUE;
    answer.reason = AprBytes_FromText(reason);
    answer.hint_rank = AprRankQueue_LowestOpenRank(service->queue->ranks);
    answer.hint_ms = HINT_MS;
    reply_with(core, &owned->reply, &answer);
}

static void
answer_stored(AprCore_t *core, const AprReplyTo_t *reply,
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
    reply_with(core, reply, &answer);
}

/* Sends the requests that wait for an outcome back to their entries, because
   the request with the same idempotency key did not run. */
static void
end_repeats(AprCore_t *core, AprOutcome_t outcome)
{
    for (uint32_t handle = 0; core->parked > 0 && handle < core->owned->len;
         handle++) {
        const AprOwnedRequest_t *owned = AprOwnedTable_Get(core, handle);

        if (owned->state == APR_OWNED_WAITING && owned->outcome == outcome) {
            AprOwner_EndAsMoved(core, handle, "repeat-after-not-run");
        }
    }
}

/* Removes the outcome of a request that did not run. Its repeats end too: the
   handle is used again, and they would get the answer of another request. */
static void
abort_outcome(AprCore_t *core, AprOwnedRequest_t *owned)
{
    AprOutcome_t outcome = owned->outcome;

    owned->outcome = APR_NO_OUTCOME;
    if (outcome != APR_NO_OUTCOME && owned->state != APR_OWNED_WAITING) {
        AprOutcomes_Abort(core->outcomes, outcome);
        if (apr_routing_rules.end_repeats) {
            end_repeats(core, outcome);
        }
    }
}

static void
park(AprCore_t *core, AprOwnedRequest_t *owned, AprOwnedState_t state)
{
    owned->state = state;
    owned->queue = NULL;
    core->parked++;
}

static void
end_request(AprCore_t *core, uint32_t handle)
{
    const AprOwnedRequest_t *owned = AprOwnedTable_Get(core, handle);

    if (owned->state == APR_OWNED_HELD || owned->state == APR_OWNED_WAITING) {
        core->parked--;
    }
    AprOwnedTable_Free(core, handle);
}

/* Ends a request that has not run with MOVED, so that the entry looks the
   owner up again. */
void
AprOwner_EndAsMoved(AprCore_t *core, uint32_t handle, const char *reason)
{
    AprOwnedRequest_t *owned = AprOwnedTable_Get(core, handle);

    abort_outcome(core, owned);
    refuse(core, &owned->reply, APR_MOVED, APR_STEP_OWNER, reason);
    end_request(core, handle);
}

static void
end_as_not_run(AprCore_t *core, uint32_t handle, AprStep_t step,
               const char *reason)
{
    AprOwnedRequest_t *owned = AprOwnedTable_Get(core, handle);

    abort_outcome(core, owned);
    refuse(core, &owned->reply, APR_NOT_RUN, step, reason);
    end_request(core, handle);
}

static void
enqueue(AprCore_t *core, uint32_t handle)
{
    AprOwnedRequest_t *owned = AprOwnedTable_Get(core, handle);
    AprServiceState_t *service = core->services[owned->service];
    int code = AprRankQueue_Push(service->queue->ranks, owned->rank, handle,
                                 owned->deadline, AprCore_Now(core));

    if (code != APR_OK) {
        abort_outcome(core, owned);
        refuse_for_room(core, owned,
                        code == APR_E_FULL ? "queue-full"
                                           : "deadline-cannot-be-met");
        end_request(core, handle);
        return;
    }
    owned->state = APR_OWNED_QUEUED;
    owned->queue = service->queue;
}

/* Consults the outcome table for non-idempotent work. Returns true when the
   request may be queued. */
static bool
admit_once(AprCore_t *core, uint32_t handle)
{
    AprOwnedRequest_t *owned = AprOwnedTable_Get(core, handle);
    const AprRequestMessage_t *request = &owned->message->request;
    AprOutcomeRequest_t outcome = {owned->service,
                                   owned->partition,
                                   owned->key_hash,
                                   {0},
                                   request->first_attempt};
    AprOutcome_t found = APR_NO_OUTCOME;

    memcpy(outcome.idempotency_key, request->idempotency_key,
           sizeof(outcome.idempotency_key));
    switch (AprOutcomes_Admit(core->outcomes, &outcome,
                              AprClock_WallMs(&core->clock), &found)) {
    case APR_ADMIT_RUN:
        owned->outcome = found;
        return true;
    case APR_ADMIT_REPLAY:
        answer_stored(core, &owned->reply,
                      AprOutcomes_Answer(core->outcomes, found));
        break;
    case APR_ADMIT_WAIT:
        owned->outcome = found;
        park(core, owned, APR_OWNED_WAITING);
        return false;
    case APR_ADMIT_UNKNOWN:
        refuse(core, &owned->reply, APR_UNKNOWN, APR_STEP_OWNER,
               "may-have-run-before");
        break;
    case APR_ADMIT_FULL:
        refuse(core, &owned->reply, APR_NOT_RUN, APR_STEP_OWNER,
               "outcome-table-full");
        break;
    }
    end_request(core, handle);
    return false;
}

static void
admit(AprCore_t *core, uint32_t handle)
{
    AprOwnedRequest_t *owned = AprOwnedTable_Get(core, handle);
    AprServiceState_t *service = core->services[owned->service];

    AprHotKeys_Add(service->hot_keys, owned->key_hash, 1.0);
    if (!owned->idempotent && !admit_once(core, handle)) {
        return;
    }
    enqueue(core, handle);
    AprOwner_Dispatch(core, owned->service);
}

static bool
leaves_now(const AprCore_t *core)
{
    return apr_routing_rules.drain && AprDrain_RefusesWork(core);
}

/* The reason why this process cannot take a request now, or NULL. */
static const char *
refusal_reason(AprCore_t *core, int service, int partition)
{
    if (service < 0 || core->services[service]->queue == NULL) {
        return "service-not-here";
    }
    if (partition < 0 || (apr_routing_rules.ownership &&
                          !AprOwner_Owns(core, service, partition))) {
        return "not-owner";
    }
    if (apr_routing_rules.lease &&
        !AprLease_Valid(core->lease, AprCore_Now(core))) {
        AprMetric_Add(core->lease_refusals, 1);
        return "lease-expired";
    }
    return leaves_now(core) ? "draining" : NULL;
}

static int
find_partition(const AprCore_t *core, const char *service, uint64_t key_hash)
{
    int index = AprRecord_FindService(core->record, service);

    if (index < 0) {
        return APR_E_NOT_FOUND;
    }
    return AprRecord_Lookup(core->record, index, key_hash);
}

/* Takes a request as the owner of its key; keeps the message. */
void
AprOwner_OnRequest(AprCore_t *core, AprReplyTo_t reply, AprMessage_t *message)
{
    const AprRequestMessage_t *request = &message->request;
    int service = AprCore_FindService(core, request->service.data);
    int partition =
        find_partition(core, request->service.data, request->key_hash);
    const char *reason = refusal_reason(core, service, partition);
    AprOwnedRequest_t *owned;
    uint32_t handle;

    if (reason != NULL) {
        refuse(core, &reply, APR_MOVED, APR_STEP_OWNER, reason);
        AprMessage_Free(message);
        return;
    }
    handle = AprOwnedTable_New(core, MAX_OWNED);
    if (handle == APR_NO_OWNED) {
        refuse(core, &reply, APR_NOT_RUN, APR_STEP_OWNER, "owner-overloaded");
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
    if (core->services[service]->held_by[partition] != 0) {
        park(core, owned, APR_OWNED_HELD);
        return;
    }
    admit(core, handle);
}

static bool
same_reply(const AprReplyTo_t *left, const AprReplyTo_t *right)
{
    return left->local == right->local && left->id == right->id &&
           (left->local || left->link == right->link);
}

/* Frees the place of a request whose caller is gone. Non-idempotent work that
   is running goes on, so that its outcome is known for a repeat. */
void
AprOwner_OnCancel(AprCore_t *core, AprReplyTo_t reply)
{
    for (uint32_t handle = 0; handle < core->owned->len; handle++) {
        AprOwnedRequest_t *owned = AprOwnedTable_Get(core, handle);

        if (owned->state == APR_OWNED_FREE ||
            !same_reply(&owned->reply, &reply)) {
            continue;
        }
        if (owned->state == APR_OWNED_RUNNING) {
            if (owned->idempotent) {
                AprBackendClient_Cancel(
                    core->backends,
                    ((uint64_t)owned->turn << CALL_ID_SHIFT) | handle);
            }
            return;
        }
        if (owned->state == APR_OWNED_QUEUED) {
            AprRankQueue_Remove(owned->queue->ranks, owned->rank, handle);
        }
        abort_outcome(core, owned);
        end_request(core, handle);
        return;
    }
}

static AprBackendCall_t *
new_call(AprCore_t *core, uint32_t handle, struct timespec now)
{
    AprOwnedRequest_t *owned = AprOwnedTable_Get(core, handle);
    const AprServiceState_t *service = core->services[owned->service];
    struct timespec valid_until = AprLease_ValidUntil(core->lease);
    int64_t remaining = AprTime_DiffMs(owned->deadline, now);
    AprBackendCall_t *call = calloc(1, sizeof(*call));

    if (call == NULL) {
        return NULL;
    }
    call->id = ((uint64_t)owned->turn << CALL_ID_SHIFT) | handle;
    g_strlcpy(call->address, service->backend.address, sizeof(call->address));
    g_strlcpy(call->service, service->config.service, sizeof(call->service));
    g_strlcpy(call->rank, service->config.ranks[owned->rank].name,
              sizeof(call->rank));
    call->request = owned->message;
    call->grant_epoch = service->owned_epoch[owned->partition];
    call->not_after = AprTime_Before(valid_until, owned->deadline)
                          ? valid_until
                          : owned->deadline;
    call->grant_expiry_ms = AprClock_WallMs(&core->clock) +
                            MIN(AprTime_DiffMs(valid_until, now), remaining);
    call->timeout_ms =
        (int)CLAMP(remaining, 1, core->settings.backend_timeout_ms);
    return call;
}

/* The last check before work leaves for the backend server. Returns the
   reason against it, or NULL. */
static const char *
dispatch_refusal(const AprCore_t *core, const AprOwnedRequest_t *owned,
                 struct timespec now)
{
    const AprServiceState_t *service = core->services[owned->service];

    if (apr_routing_rules.ownership &&
        !AprOwner_Owns(core, owned->service, owned->partition)) {
        return "not-owner";
    }
    if (apr_routing_rules.lease && !AprLease_Valid(core->lease, now)) {
        return "lease-expired";
    }
    if (leaves_now(core)) {
        return "draining"; /* it waited here since before the limit */
    }
    return service->backend.alive ? NULL : "backend-lost";
}

static void
run(AprCore_t *core, uint32_t handle, struct timespec now)
{
    AprOwnedRequest_t *owned = AprOwnedTable_Get(core, handle);
    AprServiceState_t *service = core->services[owned->service];
    AprBackendCall_t *call = new_call(core, handle, now);

    if (call == NULL ||
        AprBackendClient_Submit(core->backends, call) != APR_OK) {
        AprRankQueue_Done(owned->queue->ranks, owned->rank, -1.0);
        free(call); /* the message is still the request's */
        end_as_not_run(core, handle, APR_STEP_BACKEND, "backend-overloaded");
        return;
    }
    owned->message = NULL;
    owned->state = APR_OWNED_RUNNING;
    owned->queue->running++;
    service->in_flight[owned->partition]++;
}

/* Dispatches queued requests while the backend server has free slots. */
void
AprOwner_Dispatch(AprCore_t *core, int index)
{
    AprServiceState_t *service = core->services[index];
    struct timespec now = AprCore_Now(core);
    uint32_t handle;
    int rank;

    while (service->queue != NULL &&
           AprRankQueue_Pop(service->queue->ranks, now, &handle, &rank)) {
        AprOwnedRequest_t *owned = AprOwnedTable_Get(core, handle);
        const char *reason = dispatch_refusal(core, owned, now);

        if (reason == NULL && service->held_by[owned->partition] == 0) {
            run(core, handle, now);
            continue;
        }
        AprRankQueue_Done(service->queue->ranks, rank, -1.0);
        if (reason != NULL) {
            AprOwner_EndAsMoved(core, handle, reason);
        }
        else {
            abort_outcome(core, owned);
            park(core, owned, APR_OWNED_HELD);
        }
    }
}

static void
update_slots(const AprCore_t *core, AprServiceState_t *service)
{
    int slots = service->backend.slots > 0 ? service->backend.slots
                                           : core->settings.backend_slots;

    AprRankQueue_SetSlots(service->queue->ranks,
                          MAX(1, slots - service->retired_running));
}

static void
release_queue(AprCore_t *core, AprServiceState_t *service,
              AprDispatchQueue_t *queue)
{
    queue->running--;
    if (!queue->retired) {
        return;
    }
    service->retired_running--;
    update_slots(core, service);
    if (queue->running == 0) {
        AprRankQueue_Free(queue->ranks);
        free(queue);
    }
}

/* Answers the requests that waited for the outcome of another one with the
   same idempotency key. */
static void
answer_repeats(AprCore_t *core, AprOutcome_t outcome)
{
    for (uint32_t handle = 0; core->parked > 0 && handle < core->owned->len;
         handle++) {
        const AprOwnedRequest_t *owned = AprOwnedTable_Get(core, handle);

        if (owned->state == APR_OWNED_WAITING && owned->outcome == outcome) {
            answer_stored(core, &owned->reply,
                          AprOutcomes_Answer(core->outcomes, outcome));
            end_request(core, handle);
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
        end_repeats(core, owned->outcome);
        return;
    }
    answer_repeats(core, owned->outcome);
}

/* A refused connection did not run anything; the entry tries the next owner
   meanwhile. Other refusals go to the caller. */
static void
answer_result(AprCore_t *core, const AprOwnedRequest_t *owned,
              const AprBackendResult_t *result)
{
    AprAnswerMessage_t answer = {0};

    answer.outcome = result->refused ? APR_MOVED : result->outcome;
    answer.status = result->status;
    answer.step = APR_STEP_BACKEND;
    answer.reason = AprBytes_FromText(
        result->refused ? "backend-lost" : AprError_Name(result->error.code));
    answer.detail = AprBytes_FromText(result->error.detail);
    answer.hint_rank = -1;
    answer.content_type = AprBytes_FromText(
        result->content_type == NULL ? "" : result->content_type);
    answer.body.data = result->body;
    answer.body.size = result->body_size;
    reply_with(core, &owned->reply, &answer);
}

static void
finish_call(AprCore_t *core, uint32_t handle, const AprBackendResult_t *result)
{
    AprOwnedRequest_t *owned = AprOwnedTable_Get(core, handle);
    AprServiceState_t *service = core->services[owned->service];
    int index = owned->service;
    int partition = owned->partition;
    bool ran = result->outcome != APR_NOT_RUN;

    AprRankQueue_Done(owned->queue->ranks, owned->rank,
                      ran ? result->service_ms : -1.0);
    release_queue(core, service, owned->queue);
    service->in_flight[partition]--;
    if (result->refused && service->backend.alive) {
        service->backend.alive = false;
        AprLog_Write(APR_LOG_WARN, "backend-refused", "service=%s address=%s",
                     service->config.service, service->backend.address);
    }
    store_outcome(core, owned, result);
    answer_result(core, owned, result);
    end_request(core, handle);
    if (service->in_flight[partition] == 0 && service->held_by[partition]) {
        AprHandover_OnIdle(core, index, partition);
    }
    AprOwner_Dispatch(core, index);
}

/* Takes the end of a backend call; frees the result. */
void
AprOwner_OnBackendResult(AprCore_t *core, AprBackendResult_t *result)
{
    uint32_t handle = (uint32_t)result->id;
    uint32_t turn = (uint32_t)(result->id >> CALL_ID_SHIFT);
    const AprOwnedRequest_t *owned =
        handle < core->owned->len ? AprOwnedTable_Get(core, handle) : NULL;

    if (owned != NULL && owned->state == APR_OWNED_RUNNING &&
        owned->turn == turn) {
        finish_call(core, handle, result);
    }
    else {
        AprMetric_Add(core->late_answers, 1);
    }
    AprBackendResult_Free(result);
}

/* Ends requests whose deadline has passed before they were dispatched. */
void
AprOwner_Tick(AprCore_t *core)
{
    struct timespec now = AprCore_Now(core);
    uint32_t handle;

    for (int i = 0; i < core->service_count; i++) {
        AprServiceState_t *service = core->services[i];

        while (service->queue != NULL &&
               AprRankQueue_PopExpired(service->queue->ranks, now, &handle)) {
            end_as_not_run(core, handle, APR_STEP_QUEUE, "deadline-passed");
        }
        AprOwner_Dispatch(core, i);
    }
    for (handle = 0; core->parked > 0 && handle < core->owned->len; handle++) {
        const AprOwnedRequest_t *owned = AprOwnedTable_Get(core, handle);

        if (!AprTime_Before(owned->deadline, now)) {
            continue;
        }
        if (owned->state == APR_OWNED_HELD) {
            end_as_not_run(core, handle, APR_STEP_OWNER, "deadline-in-move");
        }
        else if (owned->state == APR_OWNED_WAITING) {
            refuse(core, &owned->reply, APR_UNKNOWN, APR_STEP_OWNER,
                   "still-running");
            end_request(core, handle);
        }
    }
    AprOutcomes_Expire(core->outcomes, AprClock_WallMs(&core->clock));
}

static AprDispatchQueue_t *
new_queue(const AprServiceConfig_t *config)
{
    AprDispatchQueue_t *queue = calloc(1, sizeof(*queue));
    AprRankSpec_t ranks[APR_MAX_RANKS];

    if (queue == NULL) {
        abort();
    }
    for (int i = 0; i < config->rank_count; i++) {
        ranks[i] = config->ranks[i].spec;
    }
    queue->ranks = AprRankQueue_New(ranks, config->rank_count, 1,
                                    (uint32_t)config->queue);
    if (queue->ranks == NULL) {
        abort(); /* no request of the service could be served */
    }
    return queue;
}

static void
requeue(AprCore_t *core, const AprDispatchQueue_t *old)
{
    for (uint32_t handle = 0; handle < core->owned->len; handle++) {
        AprOwnedRequest_t *owned = AprOwnedTable_Get(core, handle);

        if (owned->state == APR_OWNED_QUEUED && owned->queue == old) {
            owned->rank =
                MIN(owned->rank,
                    core->services[owned->service]->config.rank_count - 1);
            enqueue(core, handle);
        }
    }
}

/* Builds the rank queue for the configuration and the backend now known, and
   takes over what waited in the old one. */
void
AprOwner_SetQueue(AprCore_t *core, int index)
{
    AprServiceState_t *service = core->services[index];
    AprDispatchQueue_t *old = service->queue;

    if (service->config.generation == 0) {
        return;
    }
    service->queue = new_queue(&service->config);
    if (old != NULL) {
        old->retired = true;
        service->retired_running += old->running;
        requeue(core, old);
        if (old->running == 0) {
            AprRankQueue_Free(old->ranks);
            free(old);
        }
    }
    update_slots(core, service);
}

/* Whether a request in use belongs to a partition. */
bool
AprOwner_InPartition(const AprOwnedRequest_t *owned, int service,
                     int partition)
{
    return owned->state != APR_OWNED_FREE && owned->service == service &&
           owned->partition == partition;
}

/* Ends the hold on a partition: its requests are admitted here, or sent on
   when the partition has moved. */
void
AprOwner_Release(AprCore_t *core, int index, int partition)
{
    core->services[index]->held_by[partition] = 0;
    for (uint32_t handle = 0; core->parked > 0 && handle < core->owned->len;
         handle++) {
        AprOwnedRequest_t *owned = AprOwnedTable_Get(core, handle);

        if (!AprOwner_InPartition(owned, index, partition) ||
            owned->state != APR_OWNED_HELD) {
            continue;
        }
        if (!AprOwner_Owns(core, index, partition)) {
            AprOwner_EndAsMoved(core, handle, "moved");
            continue;
        }
        core->parked--;
        owned->state = APR_OWNED_QUEUED;
        admit(core, handle);
    }
}
