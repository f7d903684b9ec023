#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include "internal/core.h"
#include "internal/routing_rules.h"

#define DEFAULT_TIMEOUT_FACTOR 4
#define MAX_TIMEOUT_MS 60000
#define RETRY_DELAY_BASE_MS 10
#define RETRY_DELAY_MAX_MS 80
/* Time for an answer that the owner sends at the deadline to arrive. */
#define ANSWER_GRACE_MS 200
#define CALLER_CHECK_INTERVAL_TICKS 10
/* Allowed clock skew of callers. Less than APR_CLOCK_SKEW_MS, by which a new
   owner without the previous owner's outcomes sets its outcome floor ahead of
   its clock. */
#define MAX_KEY_CLOCK_SKEW_MS 1000
/* Time after a pause of this process within which a request that arrives may
   have been sent before or during the pause. */
#define PAUSE_HOLD_MS 1000

static void
set_answer_body(AprEntryRequest_t *request, const char *type, const char *body,
                size_t size)
{
    request->response_content_type = g_strdup(type);
    request->response_body = g_memdup2(body, size);
    request->response_size = size;
}

static void
count_outcome(AprCore_t *core, const AprEntryRequest_t *request)
{
    const AprRankCounters_t *counters;

    if (request->service_index < 0) {
        return;
    }
    counters =
        &core->services[request->service_index]->counters[request->rank];
    switch (request->outcome) {
    case APR_ANSWERED:
        AprMetric_Add(counters->answered, 1);
        break;
    case APR_UNKNOWN:
        AprMetric_Add(counters->unknown, 1);
        break;
    case APR_REJECTED:
        AprMetric_Add(counters->rejected, 1);
        break;
    default:
        AprMetric_Add(counters->not_run, 1);
        break;
    }
}

static void
complete_request(AprCore_t *core, AprEntryRequest_t *request)
{
    g_hash_table_remove(core->entries, &request->id);
    count_outcome(core, request);
    AprEntryRequest_Complete(request);
}

/* Completes a request with a JSON body that gives outcome, reason, step, peer
   and detail. A not-run outcome becomes unknown when an earlier attempt may
   have run: the last attempt did not run, but the request may have. */
static void
complete_with_error(AprCore_t *core, AprEntryRequest_t *request,
                    AprOutcomeKind_t outcome, int status, AprStep_t step,
                    const char *reason, const char *peer, const char *detail)
{
    char *body;

    if (outcome == APR_NOT_RUN && request->may_have_run &&
        apr_routing_rules.report_unknown) {
        outcome = APR_UNKNOWN;
        status = 504;
    }
    body = AprEntry_ErrorBody(AprOutcomeKind_Name(outcome), reason,
                              AprStep_Name(step), peer, detail);

    request->outcome = outcome;
    request->status = status;
    set_answer_body(request, "application/json", body, strlen(body));
    free(body);
    complete_request(core, request);
}

static void
complete_not_run(AprCore_t *core, AprEntryRequest_t *request, AprStep_t step,
                 const char *reason, const char *peer)
{
    complete_with_error(core, request, APR_NOT_RUN, 503, step, reason, peer,
                        "");
}

static void
complete_unknown(AprCore_t *core, AprEntryRequest_t *request, AprStep_t step,
                 const char *reason, const char *peer)
{
    complete_with_error(core, request, APR_UNKNOWN, 504, step, reason, peer,
                        "");
}

/* Schedules another routing attempt of the request. The delay doubles with
   each attempt, up to RETRY_DELAY_MAX_MS. */
static void
schedule_retry(AprCore_t *core, AprEntryRequest_t *request, const char *reason)
{
    int delay =
        MIN(RETRY_DELAY_BASE_MS << MIN(request->tries, 4), RETRY_DELAY_MAX_MS);

    request->state = APR_ENTRY_ROUTING;
    g_strlcpy(request->last_reason, reason, sizeof(request->last_reason));
    request->retry_at = AprTime_AddMs(AprCore_Now(core), delay);
}

/* Returns the partition of a request's key, or NULL when the record does not
   know the service. */
static const AprPartitionEntry_t *
find_partition(const AprCore_t *core, const AprEntryRequest_t *request)
{
    int service = AprRecord_FindService(core->record, request->service);
    int partition;

    if (service < 0) {
        return NULL;
    }
    partition =
        AprRecord_FindPartition(core->record, service, request->key_hash);
    return &core->record->services[service].partitions[partition];
}

/* Remembers epoch and owner of the key's partition at the arrival of a
   request. */
static void
record_arrival_owner(const AprCore_t *core, AprEntryRequest_t *request)
{
    const AprPartitionEntry_t *partition = find_partition(core, request);

    request->arrival_epoch = partition == NULL ? 0 : partition->epoch;
    request->arrival_owner =
        partition == NULL ? APR_NO_MEMBER : partition->owner;
    request->arrival_incarnation =
        request->arrival_owner == APR_NO_MEMBER
            ? 0
            : core->record->members[request->arrival_owner].incarnation;
}

/* Returns whether the key's partition has had no owner since the arrival of a
   request that was lost with its outcomes: the owner is the same, or a planned
   move took the outcomes along and the former owner is still a member. */
static bool
outcomes_were_kept(const AprCore_t *core, const AprEntryRequest_t *request)
{
    const AprPartitionEntry_t *partition = find_partition(core, request);
    const AprMemberEntry_t *former;

    if (partition == NULL || request->arrival_owner == APR_NO_MEMBER) {
        return false;
    }
    former = &core->record->members[request->arrival_owner];
    return partition->epoch == request->arrival_epoch ||
           (partition->handover_id != 0 && former->state != APR_MEMBER_FREE &&
            former->incarnation == request->arrival_incarnation);
}

/* Returns whether the owner can still rely on the caller's statement that this
   is its first attempt. While this process was paused, or while the request
   waited for another owner, the caller may have sent a repeat that ran at an
   owner which was then lost with its outcomes. */
static bool
is_first_attempt_still(const AprCore_t *core, const AprEntryRequest_t *entry)
{
    return entry->first_attempt && (!apr_routing_rules.check_first_attempt ||
                                    outcomes_were_kept(core, entry));
}

static void
fill_request_message(const AprCore_t *core, const AprEntryRequest_t *entry,
                     AprMessage_t *message)
{
    AprRequestMessage_t *request = &message->request;

    message->type = APR_MSG_REQUEST;
    request->id = entry->id;
    request->service = AprBytes_FromText(entry->service);
    request->operation = AprBytes_FromText(entry->operation);
    request->key = AprBytes_FromText(entry->key);
    request->key_hash = entry->key_hash;
    request->rank = entry->rank;
    request->remaining_ms = AprTime_DiffMs(entry->deadline, AprCore_Now(core));
    request->idempotent = entry->idempotent;
    request->has_idempotency_key = entry->has_idempotency_key;
    memcpy(request->idempotency_key, entry->idempotency_key,
           sizeof(request->idempotency_key));
    request->first_attempt = is_first_attempt_still(core, entry);
    request->is_get = entry->is_get;
    request->caller = AprBytes_FromText(entry->caller);
    request->content_type = AprBytes_FromText(entry->content_type);
    request->body.data = entry->body;
    request->body.size = entry->body_size;
}

static bool
is_owner_overloaded(const AprCore_t *core, const AprOutboundLink_t *link,
                    int rank)
{
    return rank > link->least_urgent_open_rank &&
           AprTime_IsBefore(AprCore_Now(core), link->hint_until);
}

static void
forward_request(AprCore_t *core, AprEntryRequest_t *request,
                const AprMemberEntry_t *owner)
{
    AprOutboundLink_t *link = AprLinks_OpenForHost(core, owner->host);
    AprMessage_t message = {0};

    g_strlcpy(request->peer, owner->host, sizeof(request->peer));
    if (link == NULL) {
        schedule_retry(core, request, "owner-unreachable");
        return;
    }
    if (is_owner_overloaded(core, link, request->rank)) {
        complete_not_run(core, request, APR_STEP_ENTRY, "owner-overloaded",
                         owner->host);
        return;
    }
    fill_request_message(core, request, &message);
    if (AprLinks_Send(core, link->link, &message) != APR_OK) {
        complete_not_run(core, request, APR_STEP_FORWARD, "link-queue-full",
                         owner->host);
        return;
    }
    request->state = APR_ENTRY_FORWARDED;
    request->link = link->link;
}

static void
submit_to_local_owner(AprCore_t *core, AprEntryRequest_t *request)
{
    AprReplyTarget_t reply = {true, APR_NO_LINK, request->id};
    AprMessage_t borrowed = {0};
    AprMessage_t *message;

    fill_request_message(core, request, &borrowed);
    message = AprMessage_Copy(&borrowed);
    if (message == NULL) {
        complete_not_run(core, request, APR_STEP_ENTRY, "out-of-memory", "");
        return;
    }
    g_strlcpy(request->peer, core->settings.host, sizeof(request->peer));
    request->state = APR_ENTRY_LOCAL;
    AprOwner_OnRequest(core, reply, message);
}

/* Gives the attempt an id of its own, so that a late answer to an earlier
   attempt isn't taken for the answer to this one. */
static void
assign_new_id(AprCore_t *core, AprEntryRequest_t *request)
{
    g_hash_table_remove(core->entries, &request->id);
    request->id = core->next_entry_id++;
    g_hash_table_insert(core->entries, &request->id, request);
}

static const AprMemberEntry_t *
find_owner(const AprCore_t *core, const AprEntryRequest_t *request)
{
    const AprPartitionEntry_t *partition = find_partition(core, request);

    return partition == NULL || partition->owner == APR_NO_MEMBER
               ? NULL
               : &core->record->members[partition->owner];
}

/* Sends a request to the owner of its key: to the owner side of this process
   or over a link to another host. Schedules a retry when there is no owner. */
static void
route_request(AprCore_t *core, AprEntryRequest_t *request)
{
    const AprMemberEntry_t *owner = find_owner(core, request);

    if (request->tries++ > 0) {
        assign_new_id(core, request);
        AprMetric_Add(core->retries, 1);
    }
    if (owner == NULL) {
        request->peer[0] = '\0';
        schedule_retry(core, request, "no-owner");
    }
    else if (strcmp(owner->host, core->settings.host) == 0) {
        submit_to_local_owner(core, request);
    }
    else {
        forward_request(core, request, owner);
    }
}

static void
reject_request(AprCore_t *core, AprEntryRequest_t *request, int status,
               const char *reason, const char *detail)
{
    complete_with_error(core, request, APR_REJECTED, status, APR_STEP_ENTRY,
                        reason, core->settings.host, detail);
}

/* Sets service and rank of a request, and checks its key and body size against
   the service's configuration. Returns false when the request was completed:
   rejected, or refused because no configuration has been read yet. */
static bool
resolve_service_and_rank(AprCore_t *core, AprEntryRequest_t *request)
{
    int index = AprCore_FindService(core, request->service);
    const AprServiceConfig_t *config;
    int rank;

    request->service_index = -1;
    if (index < 0 || core->services[index]->config.generation == 0) {
        if (!core->config_read && core->max_generation == 0) {
            complete_not_run(core, request, APR_STEP_CONFIG,
                             "no-configuration-yet", core->settings.host);
            return false;
        }
        reject_request(core, request, 404, "unknown-service",
                       request->service);
        return false;
    }
    config = &core->services[index]->config;
    rank = AprServiceConfig_FindRank(config, request->rank_name);
    if (rank < 0) {
        reject_request(core, request, 400, "unknown-rank", request->rank_name);
        return false;
    }
    request->service_index = index;
    request->rank = rank;
    if (!AprServiceConfig_MatchesKey(config, request->key)) {
        reject_request(core, request, 404, "key-not-of-service", request->key);
        return false;
    }
    if (request->body_size > (size_t)config->body_bytes) {
        reject_request(core, request, 413, "body-too-large", "");
        return false;
    }
    return true;
}

/* Checks the idempotency key of a non-idempotent request. Returns false after
   rejecting the request. A key with a creation time in the future would pass
   the outcome floor of a new owner although it may have run at the previous
   owner, so callers whose clock is ahead are rejected. */
static bool
check_idempotency(AprCore_t *core, AprEntryRequest_t *request)
{
    const AprServiceConfig_t *config =
        &core->services[request->service_index]->config;

    request->idempotent =
        AprServiceConfig_IsIdempotent(config, request->operation);
    if (request->idempotent) {
        return true;
    }
    if (!request->has_idempotency_key) {
        reject_request(
            core, request, 400, "idempotency-key-required",
            "this operation is not idempotent; send Idempotency-Key with "
            "a version 7 UUID");
        return false;
    }
    if (AprIdempotencyKey_CreatedMs(request->idempotency_key) >
        AprClock_WallMs(&core->clock) + MAX_KEY_CLOCK_SKEW_MS) {
        reject_request(core, request, 400, "idempotency-key-from-the-future",
                       "the clock of the caller is ahead");
        return false;
    }
    return true;
}

static bool
check_rate_limit(AprCore_t *core, AprEntryRequest_t *request)
{
    AprServiceState_t *service = core->services[request->service_index];

    switch (AprRateLimit_TakeToken(service->rate_limit, request->caller,
                                   AprCore_Now(core))) {
    case APR_RATE_CALLER_EXCEEDED:
        complete_not_run(core, request, APR_STEP_ENTRY, "caller-rate",
                         core->settings.host);
        return false;
    case APR_RATE_SERVICE_EXCEEDED:
        complete_not_run(core, request, APR_STEP_ENTRY, "service-rate",
                         core->settings.host);
        return false;
    default:
        return true;
    }
}

static void
set_deadline(AprCore_t *core, AprEntryRequest_t *request)
{
    const AprServiceConfig_t *config =
        &core->services[request->service_index]->config;
    int64_t timeout = request->timeout_ms;

    if (timeout == 0) {
        timeout = (int64_t)config->ranks[request->rank].spec.target_ms *
                  DEFAULT_TIMEOUT_FACTOR;
    }
    request->deadline =
        AprTime_AddMs(AprCore_Now(core), MIN(timeout, MAX_TIMEOUT_MS));
}

/* Detects that this process did not run for so long that an owner may have
   been replaced meanwhile. Requests that arrive within the next
   PAUSE_HOLD_MS may have been sent before or during the pause. */
static void
detect_pause(AprCore_t *core, struct timespec now)
{
    if (AprTime_DiffMs(now, core->router_ran_at) >
        core->settings.lease_promise_ms / 2) {
        core->pause_hold_until = AprTime_AddMs(now, PAUSE_HOLD_MS);
    }
    core->router_ran_at = now;
}

/* Validates a caller's request and routes it to the owner of its key. The core
   owns the request until it completes it. */
void
AprRouter_OnEntryRequest(AprCore_t *core, AprEntryRequest_t *request)
{
    struct timespec now = AprCore_Now(core);

    detect_pause(core, now);
    if (AprTime_IsBefore(now, core->pause_hold_until) &&
        apr_routing_rules.check_first_attempt) {
        request->first_attempt = false;
    }
    request->id = core->next_entry_id++;
    g_hash_table_insert(core->entries, &request->id, request);
    if (!resolve_service_and_rank(core, request) ||
        !check_idempotency(core, request) ||
        !check_rate_limit(core, request)) {
        return;
    }
    set_deadline(core, request);
    request->key_hash =
        AprKey_Hash(request->service, request->key, strlen(request->key));
    record_arrival_owner(core, request);
    AprRetryBudget_Deposit(
        &core->services[request->service_index]->retry_budget);
    route_request(core, request);
}

static void
store_overload_hint(AprCore_t *core, const AprEntryRequest_t *request,
                    const AprAnswerMessage_t *answer)
{
    AprOutboundLink_t *link = AprLinks_FindById(core, request->link);

    if (link == NULL || request->state != APR_ENTRY_FORWARDED ||
        answer->hint_ms <= 0) {
        return;
    }
    link->least_urgent_open_rank = answer->hint_rank;
    link->hint_until = AprTime_AddMs(AprCore_Now(core), answer->hint_ms);
}

static void
complete_with_answer(AprCore_t *core, AprEntryRequest_t *request,
                     const AprAnswerMessage_t *answer)
{
    request->outcome = APR_ANSWERED;
    request->status = answer->status;
    set_answer_body(request, answer->content_type.data, answer->body.data,
                    answer->body.size);
    complete_request(core, request);
}

/* Schedules a retry of an idempotent request whose last attempt has an unknown
   outcome. Returns false when the request is not idempotent, its deadline has
   passed or the retry budget is spent; the calling function then completes the
   request. */
static bool
retry_idempotent(AprCore_t *core, AprEntryRequest_t *request,
                 const char *reason)
{
    AprServiceState_t *service = core->services[request->service_index];

    if ((!request->idempotent && apr_routing_rules.check_idempotent) ||
        !AprTime_IsBefore(AprCore_Now(core), request->deadline) ||
        (!AprRetryBudget_TryWithdraw(&service->retry_budget) &&
         apr_routing_rules.check_retry_budget)) {
        return false;
    }
    request->may_have_run = true;
    schedule_retry(core, request, reason);
    return true;
}

/* Handles the answer to an attempt: completes the request, or schedules a
   retry when the owner has changed or when the outcome of an idempotent
   request is unknown. An answer to an attempt that has already ended is
   counted and dropped. */
void
AprRouter_OnAnswer(AprCore_t *core, uint64_t id,
                   const AprAnswerMessage_t *answer)
{
    AprEntryRequest_t *request = g_hash_table_lookup(core->entries, &id);

    if (request == NULL || request->state == APR_ENTRY_ROUTING) {
        AprMetric_Add(core->late_answers, 1);
        return;
    }
    store_overload_hint(core, request, answer);
    switch (answer->outcome) {
    case APR_ANSWERED:
        complete_with_answer(core, request, answer);
        break;
    case APR_MOVED:
        if (request->state == APR_ENTRY_FORWARDED) {
            AprRecordSync_PullIfOlder(core, request->link,
                                      answer->record_version);
        }
        schedule_retry(core, request, answer->reason.data);
        break;
    case APR_UNKNOWN:
        if (!retry_idempotent(core, request, answer->reason.data)) {
            complete_with_error(core, request, APR_UNKNOWN, 504, answer->step,
                                answer->reason.data, answer->peer.data,
                                answer->detail.data);
        }
        break;
    default:
        complete_with_error(core, request, APR_NOT_RUN, 503, answer->step,
                            answer->reason.data, answer->peer.data,
                            answer->detail.data);
        break;
    }
}

/* Schedules a retry of a request of whose message no byte was written, so that
   it did not run. The caller keeps the message. */
void
AprRouter_OnUndelivered(AprCore_t *core, const AprMessage_t *message)
{
    AprEntryRequest_t *request;

    if (message->type != APR_MSG_REQUEST) {
        return;
    }
    request = g_hash_table_lookup(core->entries, &message->request.id);
    if (request != NULL && request->state == APR_ENTRY_FORWARDED) {
        schedule_retry(core, request, "owner-unreachable");
    }
}

/* Returns the ids of all requests; the caller frees the array. Completing one
   request can complete others, so a list of pointers could contain freed
   requests while it is iterated. */
static GArray *
list_request_ids(const AprCore_t *core)
{
    GArray *ids = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    GHashTableIter iterator;
    gpointer key;

    g_hash_table_iter_init(&iterator, core->entries);
    while (g_hash_table_iter_next(&iterator, &key, NULL)) {
        g_array_append_vals(ids, key, 1);
    }
    return ids;
}

static AprEntryRequest_t *
find_listed_request(const AprCore_t *core, const GArray *ids, guint index)
{
    return g_hash_table_lookup(core->entries,
                               &g_array_index(ids, uint64_t, index));
}

/* Retries or completes the requests that were sent on a link which is now
   down. They have no answer and may have run. */
void
AprRouter_OnLinkDown(AprCore_t *core, AprLinkHandle_t link)
{
    GArray *ids = list_request_ids(core);

    for (guint i = 0; i < ids->len; i++) {
        AprEntryRequest_t *request = find_listed_request(core, ids, i);

        if (request != NULL && request->state == APR_ENTRY_FORWARDED &&
            request->link == link &&
            !retry_idempotent(core, request, "link-lost")) {
            complete_unknown(core, request, APR_STEP_FORWARD, "link-lost",
                             request->peer);
        }
    }
    g_array_free(ids, TRUE);
}

static void
cancel_attempt(AprCore_t *core, const AprEntryRequest_t *request)
{
    AprReplyTarget_t reply = {true, APR_NO_LINK, request->id};
    AprMessage_t message = {0};

    if (request->state == APR_ENTRY_LOCAL) {
        AprOwner_OnCancel(core, reply);
    }
    else if (request->state == APR_ENTRY_FORWARDED) {
        message.type = APR_MSG_CANCEL;
        message.cancel.id = request->id;
        AprLinks_Send(core, request->link, &message);
    }
}

static bool
has_caller_disconnected(const AprEntryRequest_t *request)
{
    char byte;

    return recv(request->socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

static void
update_request(AprCore_t *core, AprEntryRequest_t *request,
               struct timespec now, bool check_disconnect)
{
    if (check_disconnect && has_caller_disconnected(request)) {
        bool sent = request->state != APR_ENTRY_ROUTING;

        cancel_attempt(core, request);
        complete_with_error(core, request, sent ? APR_UNKNOWN : APR_NOT_RUN,
                            sent ? 504 : 503, APR_STEP_ENTRY, "caller-gone",
                            "", "");
        return;
    }
    if (request->state == APR_ENTRY_ROUTING) {
        if (!AprTime_IsBefore(now, request->deadline)) {
            complete_not_run(core, request, APR_STEP_ROUTE,
                             request->last_reason, request->peer);
        }
        else if (!AprTime_IsBefore(now, request->retry_at)) {
            route_request(core, request);
        }
        return;
    }
    if (!AprTime_IsBefore(now,
                          AprTime_AddMs(request->deadline, ANSWER_GRACE_MS))) {
        cancel_attempt(core, request);
        complete_unknown(core, request, APR_STEP_FORWARD, "timeout",
                         request->peer);
    }
}

/* Retries requests whose delay is over, completes those whose deadline has
   passed, and cancels those whose caller has disconnected. */
void
AprRouter_Tick(AprCore_t *core)
{
    struct timespec now = AprCore_Now(core);
    bool check_disconnects =
        ++core->tick_count % CALLER_CHECK_INTERVAL_TICKS == 0;
    GArray *ids;

    detect_pause(core, now);
    if (g_hash_table_size(core->entries) == 0) {
        return;
    }
    ids = list_request_ids(core);

    for (guint i = 0; i < ids->len; i++) {
        AprEntryRequest_t *request = find_listed_request(core, ids, i);

        if (request != NULL) {
            update_request(core, request, now, check_disconnects);
        }
    }
    g_array_free(ids, TRUE);
}
