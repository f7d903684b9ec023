#include "internal/daemon.h"

#include <stdlib.h>
#include <string.h>

#define INBOX_CAPACITY 16384
#define OUTCOME_CAPACITY 262144
#define OUTCOME_BODY_LIMIT_BYTES (64u * 1024 * 1024)
#define MAX_EVENTS_PER_ROUND 1024

static void
post_link_up(void *context, AprLinkHandle_t link, const char *host,
             uint64_t incarnation)
{
    AprCore_t *core = context;
    AprEvent_t *event = AprEvent_New(APR_EVENT_PEER_UP);

    (void)incarnation;
    if (event != NULL) {
        event->link = link;
        g_strlcpy(event->host, host, sizeof(event->host));
    }
    AprEvent_PostBlocking(core->inbox, event);
}

static void
post_link_down(void *context, AprLinkHandle_t link)
{
    AprCore_t *core = context;
    AprEvent_t *event = AprEvent_New(APR_EVENT_PEER_DOWN);

    if (event != NULL) {
        event->link = link;
    }
    AprEvent_PostBlocking(core->inbox, event);
}

static void
post_message_event(AprCore_t *core, AprEventType_t type, AprLinkHandle_t link,
                   AprMessage_t *message)
{
    AprEvent_t *event = AprEvent_New(type);

    if (event == NULL) {
        AprMessage_Free(message);
        return;
    }
    event->link = link;
    event->message = message;
    AprEvent_PostBlocking(core->inbox, event);
}

static void
post_peer_message(void *context, AprLinkHandle_t link, AprMessage_t *message)
{
    post_message_event(context, APR_EVENT_PEER_MESSAGE, link, message);
}

static void
post_undelivered_message(void *context, AprLinkHandle_t link,
                         AprMessage_t *message)
{
    post_message_event(context, APR_EVENT_PEER_UNDELIVERED, link, message);
}

static void
post_backend_result(void *context, AprBackendResult_t *result)
{
    AprCore_t *core = context;
    AprEvent_t *event = AprEvent_New(APR_EVENT_BACKEND);

    if (event == NULL) {
        AprBackendResult_Free(result);
        return;
    }
    event->backend = result;
    AprEvent_PostBlocking(core->inbox, event);
}

/* Returns the present time of the core's monotonic clock. */
struct timespec
AprCore_Now(const AprCore_t *core)
{
    return AprClock_Now(&core->clock);
}

/* Returns this process's member handle in a record, or APR_NO_MEMBER when the
   record doesn't contain the current incarnation. */
AprMember_t
AprCore_FindSelfIn(const AprCore_t *core, const AprRecord_t *record)
{
    AprMember_t self = AprRecord_FindHost(record, core->settings.host);

    if (self == APR_NO_MEMBER ||
        record->members[self].incarnation != core->incarnation) {
        return APR_NO_MEMBER;
    }
    return self;
}

/* Returns this process's member handle in the newest record that it knows, or
   APR_NO_MEMBER. */
AprMember_t
AprCore_FindSelf(const AprCore_t *core)
{
    return AprCore_FindSelfIn(core, core->record);
}

/* Returns whether the newest record that this process knows contains its
   current incarnation. */
bool
AprCore_IsMember(const AprCore_t *core)
{
    return AprCore_FindSelf(core) != APR_NO_MEMBER;
}

/* Returns the index of a service in AprCore_t.services, or APR_E_NOT_FOUND. */
int
AprCore_FindService(const AprCore_t *core, const char *name)
{
    for (int i = 0; i < core->service_count; i++) {
        if (strcmp(core->services[i]->config.service, name) == 0) {
            return i;
        }
    }
    return APR_E_NOT_FOUND;
}

/* Finds a service or adds it without a configuration. Returns its index in
   AprCore_t.services, APR_E_FULL or APR_E_NOMEM. */
int
AprCore_AddService(AprCore_t *core, const char *name)
{
    int index = AprCore_FindService(core, name);
    AprServiceState_t *service;

    if (index >= 0) {
        return index;
    }
    if (core->service_count == APR_MAX_SERVICES) {
        return APR_E_FULL;
    }
    service = calloc(1, sizeof(*service));
    if (service == NULL) {
        return APR_E_NOMEM;
    }
    g_strlcpy(service->config.service, name, sizeof(service->config.service));
    AprRetryBudget_Init(&service->retry_budget);
    service->hot_keys = AprHotKeys_New();
    core->services[core->service_count] = service;
    return core->service_count++;
}

static void
free_service_state(AprServiceState_t *service)
{
    if (service->queue != NULL) {
        AprRankQueue_Free(service->queue->rank_queue);
        free(service->queue);
    }
    AprRateLimit_Free(service->rate_limit);
    AprHotKeys_Free(service->hot_keys);
    free(service);
}

/* Dispatches a message of a peer to the module that handles its type. Takes
   ownership of the message. Public for tests that run no peer thread. */
void
AprCore_OnPeerMessage(AprCore_t *core, AprLinkHandle_t link,
                      AprMessage_t *message)
{
    AprReplyTarget_t reply = {false, link, 0};

    switch (message->type) {
    case APR_MSG_RENEW:
    case APR_MSG_RENEW_ACK:
        AprMembership_OnMessage(core, link, message);
        break;
    case APR_MSG_CONSENT:
    case APR_MSG_CONSENT_ACK:
    case APR_MSG_SUSPECT:
        AprRemovalTask_OnMessage(core, link, message);
        break;
    case APR_MSG_RECORD_GET:
    case APR_MSG_RECORD:
        AprRecordSync_OnMessage(core, link, message);
        break;
    case APR_MSG_CONFIG_GET:
    case APR_MSG_CONFIG:
        AprConfigSync_OnMessage(core, link, message);
        break;
    case APR_MSG_REQUEST:
        reply.id = message->request.id;
        AprOwner_OnRequest(core, reply, message);
        return; /* AprOwner_OnRequest owns the message */
    case APR_MSG_ANSWER:
        AprRouter_OnAnswer(core, message->answer.id, &message->answer);
        break;
    case APR_MSG_CANCEL:
        reply.id = message->cancel.id;
        AprOwner_OnCancel(core, reply);
        break;
    case APR_MSG_PREPARE:
    case APR_MSG_PREPARE_ACK:
    case APR_MSG_OUTCOMES:
    case APR_MSG_OUTCOMES_ACK:
        AprHandover_OnMessage(core, link, message);
        break;
    case APR_MSG_TYPE_END:
        break;
    }
    AprMessage_Free(message);
}

static void
handle_store_result(AprCore_t *core, AprStoreResult_t *result)
{
    bool ok = result->code == APR_OK || result->code == APR_E_CONFLICT;

    if (ok != core->store_available) {
        AprLog_Write(ok ? APR_LOG_INFO : APR_LOG_WARN,
                     ok ? "store-available" : "store-unavailable",
                     "error=%s detail=\"%s\"", AprError_Name(result->code),
                     result->error.detail);
        core->store_available = ok;
    }
    if (result->type == APR_JOB_READ_CONFIG) {
        AprConfigSync_OnStoreResult(core, result);
    }
    else {
        AprRecordSync_OnStoreResult(core, result);
    }
    AprStoreResult_Free(result);
}

static void
handle_watch_event(AprCore_t *core, AprWatchEvent_t *watch)
{
    if (watch->is_record) {
        AprRecordSync_OnWatch(core, watch->data, watch->size, watch->revision);
    }
    else {
        AprConfigSync_OnWatch(core, watch->data, watch->size);
    }
    AprWatchEvent_Free(watch);
}

static void
handle_event(AprCore_t *core, AprEvent_t *event)
{
    switch (event->type) {
    case APR_EVENT_ENTRY:
        AprRouter_OnEntryRequest(core, event->entry);
        break;
    case APR_EVENT_ADMIN:
        AprAdmin_HandleRequest(core, event->admin);
        break;
    case APR_EVENT_PEER_UP:
        AprLinks_OnUp(core, event->link, event->host);
        break;
    case APR_EVENT_PEER_DOWN:
        AprLinks_OnDown(core, event->link);
        AprRouter_OnLinkDown(core, event->link);
        break;
    case APR_EVENT_PEER_MESSAGE:
        AprCore_OnPeerMessage(core, event->link, event->message);
        break;
    case APR_EVENT_PEER_UNDELIVERED:
        AprRouter_OnUndelivered(core, event->message);
        AprMessage_Free(event->message);
        break;
    case APR_EVENT_BACKEND:
        AprOwner_OnBackendResult(core, event->backend);
        break;
    case APR_EVENT_STORE:
        handle_store_result(core, event->store);
        break;
    case APR_EVENT_WATCH:
        handle_watch_event(core, event->watch);
        break;
    }
    free(event);
}

static void
run_timers(AprCore_t *core)
{
    AprMembership_Tick(core);
    AprRemovalTask_Tick(core);
    AprRecordSync_Tick(core);
    AprConfigSync_Tick(core);
    AprHandover_Tick(core);
    AprHotKeyTask_Tick(core);
    AprOwner_Tick(core);
    AprRouter_Tick(core);
    AprMetric_Set(core->record_version_gauge, (int64_t)core->record->version);
    AprMetric_Set(core->generation_gauge, (int64_t)core->max_generation);
    AprMetric_Set(core->lease_gauge,
                  AprLease_IsValid(core->lease, AprCore_Now(core)));
}

/* Handles waiting events, at most MAX_EVENTS_PER_ROUND, so that timers such as
   lease renewals run on time during a flood of requests. */
static void
process_inbox(AprCore_t *core)
{
    for (int i = 0; i < MAX_EVENTS_PER_ROUND; i++) {
        AprEvent_t *event = AprRing_Pop(core->inbox);

        if (event == NULL) {
            return;
        }
        handle_event(core, event);
    }
}

static void *
run_core_thread(void *argument)
{
    AprCore_t *core = argument;

    core->next_tick = AprCore_Now(core);
    while (!atomic_load(&core->stop)) {
        struct timespec now = AprCore_Now(core);

        if (!AprTime_IsBefore(now, core->next_tick)) {
            run_timers(core);
            core->next_tick = AprTime_AddMs(now, APR_CORE_TICK_MS);
        }
        if (AprRing_Size(core->inbox) == 0) {
            int64_t wait = AprTime_DiffMs(core->next_tick, AprCore_Now(core));

            AprRing_Wait(core->inbox, wait < 0 ? 0 : (int)wait + 1);
        }
        process_inbox(core);
    }
    return NULL;
}

static void
register_metrics(AprCore_t *core)
{
    AprMetrics_t *metrics = core->metrics;

    core->late_answers =
        AprMetrics_RegisterCounter(metrics, "apricot_late_answers_total", NULL,
                                   "Answers whose request had already ended");
    core->lease_refusals = AprMetrics_RegisterCounter(
        metrics, "apricot_lease_refusals_total", NULL,
        "Requests refused because the lease had expired");
    core->moves_done = AprMetrics_RegisterCounter(
        metrics, "apricot_moves_total", NULL, "Planned moves completed");
    core->moves_failed = AprMetrics_RegisterCounter(
        metrics, "apricot_moves_failed_total", NULL, "Planned moves aborted");
    core->removals_done =
        AprMetrics_RegisterCounter(metrics, "apricot_removals_total", NULL,
                                   "Members removed by this process");
    core->retries =
        AprMetrics_RegisterCounter(metrics, "apricot_retries_total", NULL,
                                   "Requests sent to an owner again");
    core->record_version_gauge = AprMetrics_RegisterGauge(
        metrics, "apricot_record_version", NULL, "Version of the cell record");
    core->generation_gauge =
        AprMetrics_RegisterGauge(metrics, "apricot_config_generation", NULL,
                                 "Generation of the configuration");
    core->lease_gauge = AprMetrics_RegisterGauge(
        metrics, "apricot_lease_valid", NULL, "1 while the lease is valid");
}

static int
init_core_state(AprCore_t *core)
{
    AprLeaseSettings_t lease = AprMembership_GetLeaseSettings(core);

    core->incarnation = (uint64_t)AprClock_WallMs(&core->clock);
    core->started_at = AprCore_Now(core);
    core->store_available = true;
    core->inbox = AprRing_New(INBOX_CAPACITY);
    core->metrics = AprMetrics_New();
    core->record = calloc(1, sizeof(*core->record));
    core->swap_record = calloc(1, sizeof(*core->swap_record));
    core->lease = AprLease_New(&lease, core->settings.host, core->incarnation,
                               core->started_at);
    core->outcomes = AprOutcomes_New(
        OUTCOME_CAPACITY, OUTCOME_BODY_LIMIT_BYTES, APR_OUTCOME_RETENTION_MS);
    core->links = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free);
    core->links_by_id = g_hash_table_new(g_direct_hash, g_direct_equal);
    core->inbound =
        g_hash_table_new_full(g_direct_hash, g_direct_equal, NULL, g_free);
    core->entries = g_hash_table_new(g_int64_hash, g_int64_equal);
    core->next_entry_id = 1;
    core->router_ran_at = core->started_at;
    core->owned_requests = g_ptr_array_new_with_free_func(free);
    core->free_owned_handles = g_array_new(FALSE, FALSE, sizeof(uint32_t));
    g_queue_init(&core->pending_changes);
    core->removal_attempts =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free);
    AprHandover_Init(core);
    if (core->inbox == NULL || core->metrics == NULL || core->record == NULL ||
        core->swap_record == NULL || core->lease == NULL ||
        core->outcomes == NULL) {
        return APR_E_NOMEM;
    }
    AprRecord_Init(core->record, core->settings.cell);
    register_metrics(core);
    return APR_OK;
}

static int
start_threads(AprCore_t *core, AprError_t *error)
{
    AprPeerCallbacks_t callbacks = {post_link_up, post_link_down,
                                    post_peer_message,
                                    post_undelivered_message, core};
    AprPeerSettings_t peer = {core->settings.host, core->incarnation,
                              core->settings.listen_peers,
                              core->settings.peer_key};

    core->net = AprPeerNet_Start(&peer, &core->clock, &callbacks,
                                 core->metrics, error);
    if (core->net == NULL) {
        return error->code;
    }
    core->backends = AprBackendClient_Start(
        &core->clock, core->settings.backend_connections, APR_ENTRY_MAX_BODY,
        post_backend_result, core, error);
    if (core->backends == NULL) {
        return error->code;
    }
    core->store = AprStoreWorker_Start(&core->settings, core->inbox, error);
    if (core->store == NULL) {
        return error->code;
    }
    if (pthread_create(&core->thread, NULL, run_core_thread, core) != 0) {
        return AprError_Set(error, APR_E_NOMEM, APR_STEP_NONE, NULL,
                            "cannot start the core thread");
    }
    return APR_OK;
}

/* Creates the core state without threads: peer network, backend client and
   store worker are NULL. Copies the settings and the clock. Returns NULL when
   memory runs out. */
AprCore_t *
AprCore_New(const AprSettings_t *settings, const AprClock_t *clock)
{
    AprCore_t *core = calloc(1, sizeof(*core));

    if (core == NULL) {
        return NULL;
    }
    core->settings = *settings;
    core->clock = *clock;
    if (init_core_state(core) != APR_OK) {
        AprCore_Free(core);
        return NULL;
    }
    return core;
}

/* Creates the core and starts all threads of the process except its HTTP
   servers. Returns NULL on failure, with the error set. */
AprCore_t *
AprCore_Start(const AprSettings_t *settings, const AprClock_t *clock,
              AprError_t *error)
{
    AprCore_t *core = AprCore_New(settings, clock);

    if (core == NULL) {
        AprError_Set(error, APR_E_NOMEM, APR_STEP_NONE, NULL, "out of memory");
        return NULL;
    }
    if (start_threads(core, error) != APR_OK) {
        return NULL; /* the program exits, which ends started threads */
    }
    return core;
}

/* Requests a planned stop: the process drains, leaves the record and exits.
   Safe to call from any thread. */
void
AprCore_RequestDrain(AprCore_t *core)
{
    atomic_store(&core->leaving, true);
    atomic_store(&core->draining, true);
}

/* Returns whether a planned stop is over and the process may exit: no request
   is in progress, and the process has left the record or the drain timed
   out. Safe to call from any thread. */
bool
AprCore_IsFinished(const AprCore_t *core)
{
    return atomic_load(&core->finished);
}

/* Returns the inbox, to which the HTTP servers post their requests. The core
   owns it. */
AprRing_t *
AprCore_Inbox(AprCore_t *core)
{
    return core->inbox;
}

/* Returns the metrics of the process. The core owns them. */
AprMetrics_t *
AprCore_Metrics(AprCore_t *core)
{
    return core->metrics;
}

/* Returns the address to which the peer listener is bound. */
const char *
AprCore_PeerAddress(const AprCore_t *core)
{
    return AprPeerNet_ListenAddress(core->net);
}

/* Frees the core state. Its threads must have ended or must never have been
   started. */
void
AprCore_Free(AprCore_t *core)
{
    for (int i = 0; i < core->service_count; i++) {
        free_service_state(core->services[i]);
    }
    AprLease_Free(core->lease);
    AprOutcomes_Free(core->outcomes);
    AprRing_Free(core->inbox);
    AprMetrics_Free(core->metrics);
    g_hash_table_destroy(core->links_by_id);
    g_hash_table_destroy(core->links);
    g_hash_table_destroy(core->inbound);
    g_hash_table_destroy(core->entries);
    g_hash_table_destroy(core->removal_attempts);
    g_array_free(core->move_requests, TRUE);
    g_hash_table_destroy(core->active_moves);
    g_hash_table_destroy(core->staged_outcomes);
    g_ptr_array_free(core->owned_requests, TRUE);
    g_array_free(core->free_owned_handles, TRUE);
    free(core->record);
    free(core->swap_record);
    free(core);
}

/* Stops the core thread, the backend client, the peer network and the store
   worker, and frees the core. */
void
AprCore_Stop(AprCore_t *core)
{
    atomic_store(&core->stop, true);
    pthread_join(core->thread, NULL);
    AprBackendClient_Stop(core->backends);
    AprPeerNet_Stop(core->net);
    AprStoreWorker_Stop(core->store);
    AprCore_Free(core);
}
