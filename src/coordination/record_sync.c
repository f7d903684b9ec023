#include <stdlib.h>
#include <string.h>

#include "internal/core.h"
#include "internal/sync_rules.h"

#define READ_RETRY_MS 250
#define PULL_INTERVAL_MS 20
#define CONFLICT_RETRY_MS 5
#define UNKNOWN_RETRY_MS 20
#define UNAVAILABLE_RETRY_MS 200
#define OUTSIDE_ASK_MS 1000 /* bounds the traffic; news within 5 s */

AprSyncRules_t apr_sync_rules = {true, true, true, true, true,
                                 true, true, true, true};

/* Tells every module that a newer record is in force. */
static void
adopt(AprCore_t *core, AprRecord_t *fresh)
{
    AprRecord_t *previous = core->record;

    core->record_known = true;
    core->record = fresh;
    AprLease_OnRecord(core->lease, fresh, AprCore_Now(core));
    AprMembership_OnRecord(core);
    AprOwner_OnRecord(core, previous);
    AprRemovalTask_OnRecord(core);
    AprLinks_Update(core);
    AprLog_Write(APR_LOG_DEBUG, "record-adopted",
                 "version=%" PRIu64 " members=%d", fresh->version,
                 AprRecord_MemberCount(fresh));
    free(previous);
}

/* Takes a record text if it is newer than the known one. */
static int
offer_record(AprCore_t *core, const char *text, size_t size, int64_t revision)
{
    AprRecord_t *fresh = calloc(1, sizeof(*fresh));
    AprError_t error = {0};
    int code;

    if (fresh == NULL) {
        return APR_E_NOMEM;
    }
    code = AprRecord_FromJson(text, size, fresh, &error);
    if (code != APR_OK) {
        AprLog_Write(APR_LOG_ERROR, "record-invalid", "detail=\"%s\"",
                     error.detail);
        free(fresh);
        return code;
    }
    fresh->store_revision = revision;
    if (fresh->version > core->record->version ||
        (!apr_sync_rules.record_forward &&
         fresh->version < core->record->version)) {
        adopt(core, fresh);
        return APR_OK;
    }
    if (fresh->version == core->record->version) {
        core->record->store_revision = revision;
        core->record_known = true;
    }
    free(fresh);
    return APR_OK;
}

/* Queues a change of the cell record. `done` is called once, on the core
   thread, when the change is in the store or cannot be made any more. Changes
   that wait together share one swap. */
void
AprRecordSync_Change(AprCore_t *core,
                     int (*apply)(AprCore_t *, AprRecord_t *, void *),
                     void (*done)(AprCore_t *, int, void *), void *argument)
{
    AprChange_t *change = calloc(1, sizeof(*change));

    if (change == NULL) {
        done(core, APR_E_NOMEM, argument);
        return;
    }
    change->apply = apply;
    change->done = done;
    change->argument = argument;
    g_queue_push_tail(&core->changes, change);
    AprRecordSync_Tick(core);
}

/* Takes a queued change back without calling its `done`. Returns false when
   it is part of a swap under way or of one whose answer was lost, because it
   may still take effect then. */
bool
AprRecordSync_Cancel(AprCore_t *core, const void *argument)
{
    for (GList *item = core->changes.head; item != NULL; item = item->next) {
        AprChange_t *change = item->data;

        if (change->argument != argument) {
            continue;
        }
        if ((change->uncertain && apr_sync_rules.no_late_cancel) ||
            (change->applied && core->change_busy)) {
            return false;
        }
        g_queue_delete_link(&core->changes, item);
        free(change);
        return true;
    }
    return false;
}

static void
end_change(AprCore_t *core, AprChange_t *change, int result)
{
    change->done(core, result, change->argument);
    free(change);
}

/* Applies every queued change to the copy. Returns how many are part of it;
   changes that are already in effect or no longer possible end here. */
static int
apply_changes(AprCore_t *core)
{
    GQueue ended = G_QUEUE_INIT;
    GQueue kept = G_QUEUE_INIT;
    AprChange_t *change;
    int applied = 0;

    while ((change = g_queue_pop_head(&core->changes)) != NULL) {
        int code = change->apply(core, core->change_record, change->argument);

        change->applied = code == APR_OK;
        if (change->applied) {
            applied++;
            g_queue_push_tail(&kept, change);
        }
        else {
            g_queue_push_tail(&ended, change);
            change->applied = code == APR_E_EXISTS;
        }
    }
    core->changes = kept;
    while ((change = g_queue_pop_head(&ended)) != NULL) {
        end_change(core, change, change->applied ? APR_OK : APR_E_STALE);
    }
    return applied;
}

static void
start_swap(AprCore_t *core)
{
    char *text;

    *core->change_record = *core->record;
    AprRecord_BeginChange(core->change_record);
    core->change_busy = true; /* a `done` may queue further changes */
    if (apply_changes(core) == 0) {
        core->change_busy = false;
        return;
    }
    text = AprRecord_ToJson(core->change_record);
    if (text == NULL ||
        AprStoreWorker_SwapRecord(core->store, text,
                                  core->record->store_revision) != APR_OK) {
        core->change_busy = false;
        core->change_retry_at =
            AprTime_AddMs(AprCore_Now(core), UNAVAILABLE_RETRY_MS);
    }
}

/* Starts a fresh read of the record from the store. */
void
AprRecordSync_Read(AprCore_t *core)
{
    if (core->record_read_pending) {
        return;
    }
    if (AprStoreWorker_ReadRecord(core->store) == APR_OK) {
        core->record_read_pending = true;
    }
}

/* A link to any other member of the record or, while it names none, to any
   seed address; NULL when there is none. */
static AprHostLink_t *
random_link(AprCore_t *core)
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
    /* Without other members all links are seeds. */
    g_hash_table_iter_init(&iterator, core->links);
    while (!members && count < APR_MAX_SEEDS &&
           g_hash_table_iter_next(&iterator, &name, NULL)) {
        hosts[count++] = name;
    }
    return count == 0
               ? NULL
               : AprLinks_ForHost(core, hosts[g_random_int_range(0, count)]);
}

/* A process outside the record renews no lease, and the members do not push
   to it. Without asking, a lost message would leave it with an old record,
   unable to join, and with an old configuration. The store tells it about a
   record whose members it does not know; a peer helps while the store is
   down. */
static void
ask_while_outside(AprCore_t *core, struct timespec now)
{
    AprMessage_t message = {0};
    AprHostLink_t *link;

    if (AprCore_IsMember(core) ||
        AprTime_Before(now, core->next_outside_ask) ||
        !apr_sync_rules.ask_outside) {
        return;
    }
    core->next_outside_ask = AprTime_AddMs(now, OUTSIDE_ASK_MS);
    AprRecordSync_Read(core);
    link = random_link(core);
    if (link == NULL) {
        return;
    }
    message.type = APR_MSG_RECORD_GET;
    message.text.version = core->record->version;
    AprLinks_Send(core, link->link, &message);
    AprConfigSync_Exchange(core, link->link);
}

/* Starts the next swap when one is due, and the first read of the record. */
void
AprRecordSync_Tick(AprCore_t *core)
{
    struct timespec now = AprCore_Now(core);
    bool need_read = core->change_needs_read || !core->record_known;

    ask_while_outside(core, now);
    if (need_read && !AprTime_Before(now, core->next_record_read)) {
        core->next_record_read = AprTime_AddMs(now, READ_RETRY_MS);
        AprRecordSync_Read(core);
    }
    if (!need_read && !core->change_busy && !core->change_hold &&
        !g_queue_is_empty(&core->changes) &&
        !AprTime_Before(now, core->change_retry_at)) {
        start_swap(core);
    }
}

static void
fill_record(const AprCore_t *core, AprMessage_t *message, char *text)
{
    message->type = APR_MSG_RECORD;
    message->text.version = core->record->version;
    message->text.store_revision = core->record->store_revision;
    message->text.text = AprBytes_FromText(text);
}

/* Passes the record on in the tree of the cell; its writer also tells the
   root, which may hear of it later from its watch. */
static void
pass_on(AprCore_t *core, bool written_here)
{
    AprMessage_t message = {0};
    char *text = AprRecord_ToJson(core->record);

    if (text == NULL) {
        return;
    }
    fill_record(core, &message, text);
    AprLinks_SendDown(core, &message);
    if (written_here) {
        AprLinks_SendToRoot(core, &message);
    }
    free(text);
}

/* Sends the record to one member at once, for instance to a new owner. */
void
AprRecordSync_SendTo(AprCore_t *core, const char *host)
{
    AprMessage_t message = {0};
    char *text = AprRecord_ToJson(core->record);

    if (text == NULL) {
        return;
    }
    fill_record(core, &message, text);
    AprLinks_SendToHost(core, host, &message);
    free(text);
}

static void
swap_succeeded(AprCore_t *core, int64_t revision)
{
    GQueue ended = core->changes;
    AprRecord_t *fresh = core->change_record;
    AprChange_t *change;

    g_queue_init(&core->changes);
    fresh->store_revision = revision;
    core->change_record = calloc(1, sizeof(*core->change_record));
    if (core->change_record == NULL) {
        abort(); /* no record change would be possible any more */
    }
    if (fresh->version > core->record->version) {
        adopt(core, fresh);
    }
    else {
        free(fresh); /* the watch was faster */
    }
    pass_on(core, true);
    while ((change = g_queue_pop_head(&ended)) != NULL) {
        if (change->applied || !apr_sync_rules.only_applied) {
            end_change(core, change, APR_OK);
        }
        else if (apr_sync_rules.keep_waiting) {
            g_queue_push_tail(&core->changes, change);
        }
    }
}

/* The result of a swap that failed or whose answer was lost is settled by a
   fresh read: the changes are applied again, and those found in effect end. A
   write that takes effect late then fails on the revision, or makes ours
   fail. */
static void
swap_failed(AprCore_t *core, int code)
{
    struct timespec now = AprCore_Now(core);
    int delay = code == APR_E_CONFLICT  ? CONFLICT_RETRY_MS
                : code == APR_E_UNKNOWN ? UNKNOWN_RETRY_MS
                                        : UNAVAILABLE_RETRY_MS;

    for (GList *item = core->changes.head; item != NULL; item = item->next) {
        AprChange_t *change = item->data;

        change->uncertain |= change->applied && code == APR_E_UNKNOWN;
        change->applied = false;
    }
    if (code == APR_E_UNKNOWN && !apr_sync_rules.settle_unknown) {
        AprChange_t *change = g_queue_pop_head(&core->changes);

        end_change(core, change, code);
    }
    core->change_needs_read = true;
    core->next_record_read = now;
    core->change_retry_at = AprTime_AddMs(
        now, delay + g_random_int_range(0, CONFLICT_RETRY_MS + 1));
}

/* Takes the result of a read or swap of the record. */
void
AprRecordSync_OnStoreResult(AprCore_t *core, AprStoreResult_t *result)
{
    if (result->type == APR_JOB_SWAP_RECORD) {
        core->change_busy = false;
        if (result->code == APR_OK) {
            swap_succeeded(core, result->revision);
        }
        else {
            swap_failed(core, result->code);
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
        offer_record(core, result->data, result->size, result->revision);
    }
    core->record_known = true;
    core->change_needs_read = false;
    AprRemovalTask_OnFreshRead(core);
    AprRecordSync_Tick(core);
}

/* Takes a change of the record that the watch reported. */
void
AprRecordSync_OnWatch(AprCore_t *core, const char *data, size_t size,
                      int64_t revision)
{
    uint64_t before = core->record->version;

    if (offer_record(core, data, size, revision) == APR_OK &&
        core->record->version > before) {
        pass_on(core, false);
    }
}

/* Sends the record to a peer that is behind. A removed member that renews
   gets no acknowledgement, so this is how it learns of its removal. */
void
AprRecordSync_Offer(AprCore_t *core, AprLink_t link, uint64_t version)
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
    fill_record(core, &message, text);
    AprLinks_Send(core, link, &message);
    free(text);
}

/* Answers RECORD_GET when the asking process is behind, pulls when it is
   ahead, and takes RECORD. */
void
AprRecordSync_OnMessage(AprCore_t *core, AprLink_t link,
                        const AprMessage_t *message)
{
    uint64_t before = core->record->version;

    if (message->type == APR_MSG_RECORD) {
        offer_record(core, message->text.text.data, message->text.text.size,
                     message->text.store_revision);
        if (core->record->version > before) {
            pass_on(core, false);
        }
        return;
    }
    AprRecordSync_Offer(core, link, message->text.version);
    AprRecordSync_Compare(core, link, message->text.version);
}

/* Pulls the record from a peer that has a newer version. */
void
AprRecordSync_Compare(AprCore_t *core, AprLink_t link, uint64_t version)
{
    AprMessage_t message = {0};
    struct timespec now = AprCore_Now(core);

    if (version <= core->record->version ||
        AprTime_Before(now, core->next_record_pull)) {
        return;
    }
    core->next_record_pull = AprTime_AddMs(now, PULL_INTERVAL_MS);
    message.type = APR_MSG_RECORD_GET;
    message.text.version = core->record->version;
    AprLinks_Send(core, link, &message);
}
