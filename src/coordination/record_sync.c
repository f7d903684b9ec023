#include <stdlib.h>
#include <string.h>

#include "internal/core.h"
#include "internal/sync_rules.h"

#define RECORD_READ_RETRY_MS 250
#define RECORD_PULL_INTERVAL_MS 20
#define CONFLICT_RETRY_MS 5
#define UNKNOWN_RESULT_RETRY_MS 20
#define UNAVAILABLE_RETRY_MS 200
/* Limits the traffic of processes that are not members, and is short enough
   for a newer record or configuration to reach them within 5 s. */
#define NON_MEMBER_QUERY_INTERVAL_MS 1000

AprSyncRules_t apr_sync_rules = {true, true, true, true, true,
                                 true, true, true, true, true};

/* Replaces the known record by `newer`, of which it takes ownership, and
   notifies the modules that depend on the record. */
static void
adopt_record(AprCore_t *core, AprRecord_t *newer)
{
    AprRecord_t *previous = core->record;

    core->record_known = true;
    core->record = newer;
    AprLease_OnRecord(core->lease, newer, AprCore_Now(core));
    AprMembership_OnRecord(core);
    AprOwner_OnRecord(core, previous);
    AprRemovalTask_OnRecord(core);
    AprLinks_CloseStale(core);
    AprLog_Write(APR_LOG_DEBUG, "record-adopted",
                 "version=%" PRIu64 " members=%d", newer->version,
                 AprRecord_CountMembers(newer));
    free(previous);
}

/* Parses a record and adopts it if its version is higher than the known one.
   `revision` is its revision in the store. Returns APR_OK also for a record
   that is not newer. */
static int
adopt_record_text_if_newer(AprCore_t *core, const char *text, size_t size,
                           int64_t revision)
{
    AprRecord_t *parsed = calloc(1, sizeof(*parsed));
    AprError_t error = {0};
    int code;

    if (parsed == NULL) {
        return APR_E_NOMEM;
    }
    code = AprRecord_FromJson(text, size, parsed, &error);
    if (code != APR_OK) {
        AprLog_Write(APR_LOG_ERROR, "record-invalid", "detail=\"%s\"",
                     error.detail);
        free(parsed);
        return code;
    }
    parsed->store_revision = revision;
    if (parsed->version > core->record->version ||
        (!apr_sync_rules.adopt_only_newer_record &&
         parsed->version < core->record->version)) {
        adopt_record(core, parsed);
        return APR_OK;
    }
    if (parsed->version == core->record->version) {
        core->record->store_revision = revision;
        core->record_known = true;
    }
    free(parsed);
    return APR_OK;
}

/* Queues a change of the cell record. Unless the change is cancelled, `done`
   is called exactly once, on the core thread and possibly before this function
   returns: with APR_OK when the change is in the store, APR_E_STALE when it
   can no longer be made, or APR_E_NOMEM. All changes that are queued at the
   same time share one swap. `argument` is passed to both functions and never
   freed here; AprRecordSync_CancelChange() finds the change by it. */
void
AprRecordSync_QueueChange(AprCore_t *core,
                          int (*apply)(AprCore_t *, AprRecord_t *, void *),
                          void (*done)(AprCore_t *, int, void *),
                          void *argument)
{
    AprRecordChange_t *change = calloc(1, sizeof(*change));

    if (change == NULL) {
        done(core, APR_E_NOMEM, argument);
        return;
    }
    change->apply = apply;
    change->done = done;
    change->argument = argument;
    g_queue_push_tail(&core->pending_changes, change);
    AprRecordSync_Tick(core);
}

/* Cancels the queued change with this `argument` without calling its `done`.
   Returns false when there is none, and when the change is part of a swap in
   flight or of one whose result is unknown, because it may still take
   effect. */
bool
AprRecordSync_CancelChange(AprCore_t *core, const void *argument)
{
    for (GList *item = core->pending_changes.head; item != NULL;
         item = item->next) {
        AprRecordChange_t *change = item->data;

        if (change->argument != argument) {
            continue;
        }
        if ((change->result_unknown &&
             apr_sync_rules.refuse_unconfirmed_cancel) ||
            (change->in_swap && core->swap_in_flight)) {
            return false;
        }
        g_queue_delete_link(&core->pending_changes, item);
        free(change);
        return true;
    }
    return false;
}

static void
finish_change(AprCore_t *core, AprRecordChange_t *change, int result)
{
    change->done(core, result, change->argument);
    free(change);
}

/* Applies every queued change to the copy of the record. Returns how many
   changes the copy contains; a change that is already in effect or no longer
   possible is finished here. */
static int
apply_queued_changes(AprCore_t *core)
{
    GQueue finished = G_QUEUE_INIT;
    GQueue remaining = G_QUEUE_INIT;
    AprRecordChange_t *change;
    int applied = 0;

    while ((change = g_queue_pop_head(&core->pending_changes)) != NULL) {
        int code = change->apply(core, core->swap_record, change->argument);

        change->in_swap = code == APR_OK;
        if (change->in_swap) {
            applied++;
            g_queue_push_tail(&remaining, change);
        }
        else {
            g_queue_push_tail(&finished, change);
            change->in_swap = code == APR_E_EXISTS;
        }
    }
    core->pending_changes = remaining;
    while ((change = g_queue_pop_head(&finished)) != NULL) {
        finish_change(core, change, change->in_swap ? APR_OK : APR_E_STALE);
    }
    return applied;
}

static void
start_record_swap(AprCore_t *core)
{
    char *text;

    *core->swap_record = *core->record;
    AprRecord_BeginChange(core->swap_record);
    /* Set early: `done` callbacks may queue further changes, which would
       otherwise start another swap. */
    core->swap_in_flight = true;
    if (apply_queued_changes(core) == 0) {
        core->swap_in_flight = false;
        return;
    }
    text = AprRecord_ToJson(core->swap_record);
    if (text == NULL ||
        AprStoreWorker_SwapRecord(core->store, text,
                                  core->record->store_revision) != APR_OK) {
        core->swap_in_flight = false;
        core->next_swap_at =
            AprTime_AddMs(AprCore_Now(core), UNAVAILABLE_RETRY_MS);
    }
}

/* Starts a read of the record from the store unless one is in flight. */
void
AprRecordSync_StartRead(AprCore_t *core)
{
    if (core->record_read_pending) {
        return;
    }
    if (AprStoreWorker_ReadRecord(core->store) == APR_OK) {
        core->record_read_pending = true;
    }
}

/* Returns a link to a random other member of the record or, when the record
   has no other members, to a random seed address; NULL when there is none.
   Opens the seed links again if they were closed while the record had other
   members: when all of these have left, no other process is known. */
static AprOutboundLink_t *
choose_random_link(AprCore_t *core)
{
    const char *hosts[APR_MAX_MEMBERS + APR_MAX_SEEDS];
    GHashTableIter iterator;
    gpointer name;
    bool members;
    int count = 0;

    for (int i = 0; i < APR_MAX_MEMBERS; i++) {
        const AprMemberEntry_t *member = &core->record->members[i];

        if (member->state != APR_MEMBER_FREE &&
            strcmp(member->host, core->settings.host) != 0) {
            hosts[count++] = member->host;
        }
    }
    members = count > 0;
    /* While the record has no other members, all links are seed links. */
    if (!members && g_hash_table_size(core->links) == 0 &&
        apr_sync_rules.reopen_seeds) {
        AprLinks_OpenSeeds(core);
    }
    g_hash_table_iter_init(&iterator, core->links);
    while (!members && count < APR_MAX_SEEDS &&
           g_hash_table_iter_next(&iterator, &name, NULL)) {
        hosts[count++] = name;
    }
    return count == 0 ? NULL
                      : AprLinks_OpenForHost(
                            core, hosts[g_random_int_range(0, count)]);
}

/* Queries the store and a random peer while this process is not a member. Such
   a process renews no lease, and the members do not push to it, so after one
   lost message it would keep an outdated record, unable to join, and an
   outdated configuration. The store returns a record even when this process
   knows none of its members; a peer returns one while the store is down. */
static void
query_as_non_member(AprCore_t *core, struct timespec now)
{
    AprMessage_t message = {0};
    AprOutboundLink_t *link;

    if (AprCore_IsMember(core) ||
        AprTime_IsBefore(now, core->next_non_member_query) ||
        !apr_sync_rules.query_as_non_member) {
        return;
    }
    core->next_non_member_query =
        AprTime_AddMs(now, NON_MEMBER_QUERY_INTERVAL_MS);
    AprRecordSync_StartRead(core);
    link = choose_random_link(core);
    if (link == NULL) {
        return;
    }
    message.type = APR_MSG_RECORD_GET;
    message.text.version = core->record->version;
    AprLinks_Send(core, link->link, &message);
    AprConfigSync_Exchange(core, link->link);
}

/* Runs the periodic work: queries of a process that is not a member, reads of
   the record that are due, and the next swap of queued changes. */
void
AprRecordSync_Tick(AprCore_t *core)
{
    struct timespec now = AprCore_Now(core);
    bool read_needed = core->read_before_swap || !core->record_known;

    query_as_non_member(core, now);
    if (read_needed && !AprTime_IsBefore(now, core->next_record_read)) {
        core->next_record_read = AprTime_AddMs(now, RECORD_READ_RETRY_MS);
        AprRecordSync_StartRead(core);
    }
    if (!read_needed && !core->swap_in_flight && !core->swap_delayed &&
        !g_queue_is_empty(&core->pending_changes) &&
        !AprTime_IsBefore(now, core->next_swap_at)) {
        start_record_swap(core);
    }
}

static void
init_record_message(const AprCore_t *core, AprMessage_t *message, char *text)
{
    message->type = APR_MSG_RECORD;
    message->text.version = core->record->version;
    message->text.store_revision = core->record->store_revision;
    message->text.text = AprBytes_FromText(text);
}

/* Forwards the record to the children of this process in the distribution tree
   of the cell. The process that wrote it also sends it to the root, whose
   watch may report it later. */
static void
forward_record(AprCore_t *core, bool written_by_self)
{
    AprMessage_t message = {0};
    char *text = AprRecord_ToJson(core->record);

    if (text == NULL) {
        return;
    }
    init_record_message(core, &message, text);
    AprLinks_SendToChildren(core, &message);
    if (written_by_self) {
        AprLinks_SendToRoot(core, &message);
    }
    free(text);
}

/* Sends the record directly to one member, for instance to a new owner, ahead
   of the distribution tree. */
void
AprRecordSync_SendToHost(AprCore_t *core, const char *host)
{
    AprMessage_t message = {0};
    char *text = AprRecord_ToJson(core->record);

    if (text == NULL) {
        return;
    }
    init_record_message(core, &message, text);
    AprLinks_SendToHost(core, host, &message);
    free(text);
}

static void
handle_swap_success(AprCore_t *core, int64_t revision)
{
    GQueue finished = core->pending_changes;
    AprRecord_t *written = core->swap_record;
    AprRecordChange_t *change;

    g_queue_init(&core->pending_changes);
    written->store_revision = revision;
    core->swap_record = calloc(1, sizeof(*core->swap_record));
    if (core->swap_record == NULL) {
        abort(); /* out of memory; no record could be written any more */
    }
    if (written->version > core->record->version) {
        adopt_record(core, written);
    }
    else {
        free(written); /* already received from the watch */
    }
    forward_record(core, true);
    while ((change = g_queue_pop_head(&finished)) != NULL) {
        if (change->in_swap || !apr_sync_rules.finish_only_applied_changes) {
            finish_change(core, change, APR_OK);
        }
        else if (apr_sync_rules.keep_unapplied_changes) {
            g_queue_push_tail(&core->pending_changes, change);
        }
    }
}

/* Schedules a read of the record after a swap that failed or whose result is
   unknown. The changes are then applied again, and those that the record
   already contains are finished. Of a delayed write and the next swap only one
   can succeed, because both compare the revision. */
static void
handle_swap_failure(AprCore_t *core, int code)
{
    struct timespec now = AprCore_Now(core);
    int delay = code == APR_E_CONFLICT          ? CONFLICT_RETRY_MS
                : code == APR_E_UNKNOWN_OUTCOME ? UNKNOWN_RESULT_RETRY_MS
                                                : UNAVAILABLE_RETRY_MS;

    for (GList *item = core->pending_changes.head; item != NULL;
         item = item->next) {
        AprRecordChange_t *change = item->data;

        change->result_unknown |=
            change->in_swap && code == APR_E_UNKNOWN_OUTCOME;
        change->in_swap = false;
    }
    if (code == APR_E_UNKNOWN_OUTCOME &&
        !apr_sync_rules.keep_unconfirmed_changes) {
        AprRecordChange_t *change = g_queue_pop_head(&core->pending_changes);

        finish_change(core, change, code);
    }
    core->read_before_swap = true;
    core->next_record_read = now;
    core->next_swap_at = AprTime_AddMs(
        now, delay + g_random_int_range(0, CONFLICT_RETRY_MS + 1));
}

/* Handles the result of a read or swap of the record. */
void
AprRecordSync_OnStoreResult(AprCore_t *core, AprStoreResult_t *result)
{
    if (result->type == APR_JOB_SWAP_RECORD) {
        core->swap_in_flight = false;
        if (result->code == APR_OK) {
            handle_swap_success(core, result->revision);
        }
        else {
            handle_swap_failure(core, result->code);
        }
        AprRecordSync_Tick(core);
        return;
    }
    core->record_read_pending = false;
    if (result->code != APR_OK) {
        AprRemovalTask_OnRecord(core);
        return;
    }
    if (result->data != NULL) {
        adopt_record_text_if_newer(core, result->data, result->size,
                                   result->revision);
    }
    core->record_known = true;
    core->read_before_swap = false;
    AprRemovalTask_OnFreshRead(core);
    AprRecordSync_Tick(core);
}

/* Handles a record that the watch reported and forwards it if it is newer. */
void
AprRecordSync_OnWatch(AprCore_t *core, const char *data, size_t size,
                      int64_t revision)
{
    uint64_t before = core->record->version;

    if (adopt_record_text_if_newer(core, data, size, revision) == APR_OK &&
        core->record->version > before) {
        forward_record(core, false);
    }
}

/* Sends the record to a peer whose `version` is lower. A removed member gets
   no acknowledgement of its renewals and learns of its removal this way. */
void
AprRecordSync_SendIfNewer(AprCore_t *core, AprLinkHandle_t link,
                          uint64_t version)
{
    AprMessage_t message = {0};
    char *text;

    if (version >= core->record->version) {
        return;
    }
    text = AprRecord_ToJson(core->record);
    if (text == NULL) {
        return;
    }
    init_record_message(core, &message, text);
    AprLinks_Send(core, link, &message);
    free(text);
}

/* Handles RECORD and RECORD_GET. The answer to RECORD_GET is the record when
   the sender is behind, and a pull when the sender is ahead. */
void
AprRecordSync_OnMessage(AprCore_t *core, AprLinkHandle_t link,
                        const AprMessage_t *message)
{
    uint64_t before = core->record->version;

    if (message->type == APR_MSG_RECORD) {
        adopt_record_text_if_newer(core, message->text.text.data,
                                   message->text.text.size,
                                   message->text.store_revision);
        if (core->record->version > before) {
            forward_record(core, false);
        }
        return;
    }
    AprRecordSync_SendIfNewer(core, link, message->text.version);
    AprRecordSync_PullIfOlder(core, link, message->text.version);
}

/* Requests the record from a peer whose `version` is higher, at most once per
   pull interval. */
void
AprRecordSync_PullIfOlder(AprCore_t *core, AprLinkHandle_t link,
                          uint64_t version)
{
    AprMessage_t message = {0};
    struct timespec now = AprCore_Now(core);

    if (version <= core->record->version ||
        AprTime_IsBefore(now, core->next_record_pull)) {
        return;
    }
    core->next_record_pull = AprTime_AddMs(now, RECORD_PULL_INTERVAL_MS);
    message.type = APR_MSG_RECORD_GET;
    message.text.version = core->record->version;
    AprLinks_Send(core, link, &message);
}
