#include <stdlib.h>
#include <string.h>

#include "internal/core.h"

#define PREPARE_TIMEOUT_MS 500
#define IN_FLIGHT_TIMEOUT_MS 2000 /* for the end of requests in flight */
#define OUTCOMES_TIMEOUT_MS 1000
#define RECORD_CHANGE_TIMEOUT_MS 500
#define MOVE_REQUEST_LIFETIME_MS 8000
/* More than PREPARE_TIMEOUT_MS, so that an attempt to which the target host
   doesn't answer has ended before the next one. */
#define MOVE_REQUEST_RETRY_MS 600
#define STAGED_OUTCOMES_LIFETIME_MS 30000
#define MAX_CHUNK_BYTES (96 * 1024)
#define MAX_CHUNK_ENTRIES 512
#define ENTRY_OVERHEAD_BYTES 96

typedef enum MovePhase_t {
    MOVE_PREPARING,        /* waits for the target host to accept */
    MOVE_WAITING_FOR_IDLE, /* waits until no request is in flight */
    MOVE_SENDING_OUTCOMES, /* waits for the acknowledgement of the outcomes */
    MOVE_CHANGING_RECORD   /* waits for the change of the record */
} MovePhase_t;

/* A request of an operator to move a partition. */
typedef struct AprMoveRequest_t {
    int service;
    char target_host[APR_NAME_SIZE];
    uint16_t partition;
    struct timespec next_attempt_at;
    struct timespec deadline;
} MoveRequest_t;

/* A planned move of which this process is the source. */
typedef struct AprHandover_t {
    uint64_t id;
    MovePhase_t phase;
    int service;
    char target_host[APR_NAME_SIZE];
    int count;
    uint16_t partitions[APR_SLOTS];
    int unacknowledged_count;
    struct timespec deadline;
    struct timespec held_since;
} Move_t;

/* Outcomes of a partition that the source of a move has sent. They are kept
   until the record names this process as the owner. */
typedef struct AprStagedOutcomes_t {
    uint64_t move_id;
    int service;
    int partition;
    int64_t floor_ms;
    bool complete;
    GPtrArray *messages; /* AprMessage_t that contain the entries */
    struct timespec received_at;
} StagedOutcomes_t;

static void
free_staged_outcomes(gpointer value)
{
    StagedOutcomes_t *staged = value;

    g_ptr_array_free(staged->messages, TRUE);
    free(staged);
}

static void
free_message(gpointer value)
{
    AprMessage_Free(value);
}

static char *
format_staged_key(uint64_t move_id, int partition)
{
    return g_strdup_printf("%" PRIu64 "/%d", move_id, partition);
}

/* Creates the tables of requested moves, moves and staged outcomes. */
void
AprHandover_Init(AprCore_t *core)
{
    core->move_requests = g_array_new(FALSE, FALSE, sizeof(MoveRequest_t));
    core->active_moves =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, free);
    core->staged_outcomes = g_hash_table_new_full(
        g_str_hash, g_str_equal, g_free, free_staged_outcomes);
}

/* Returns the number of moves in progress away from this process. */
int
AprHandover_CountActive(const AprCore_t *core)
{
    return (int)g_hash_table_size(core->active_moves);
}

static void
release_partitions(AprCore_t *core, const Move_t *move)
{
    for (int i = 0; i < move->count; i++) {
        int partition = move->partitions[i];

        if (core->services[move->service]->held_by_move[partition] ==
            move->id) {
            AprOwner_EndHold(core, move->service, partition);
        }
    }
}

static void
end_move(AprCore_t *core, Move_t *move, int result)
{
    int64_t held_ms = 0;

    if (move->phase != MOVE_PREPARING) {
        held_ms = AprTime_DiffMs(AprCore_Now(core), move->held_since);
    }
    AprMetric_Add(result == APR_OK ? core->moves_done : core->moves_failed, 1);
    AprLog_Write(result == APR_OK ? APR_LOG_INFO : APR_LOG_WARN, "move-ended",
                 "service=%s to=%s partitions=%d phase=%d held_ms=%" PRId64
                 " result=%s",
                 core->services[move->service]->config.service,
                 move->target_host, move->count, move->phase, held_ms,
                 AprError_Name(result));
    g_hash_table_steal(core->active_moves, &move->id);
    release_partitions(core, move);
    free(move);
    core->next_placement = AprCore_Now(core);
}

static void
fill_prepare_message(const AprCore_t *core, const Move_t *move,
                     AprMessage_t *message)
{
    message->type = APR_MSG_PREPARE;
    message->prepare.move_id = move->id;
    message->prepare.service =
        AprBytes_FromText(core->services[move->service]->config.service);
    message->prepare.partition_count = move->count;
    memcpy(message->prepare.partitions, move->partitions,
           sizeof(uint16_t) * (size_t)move->count);
}

static bool
can_move_partition(const AprCore_t *core, int service, int partition)
{
    return AprOwner_Owns(core, service, partition) &&
           core->services[service]->held_by_move[partition] == 0;
}

/* Starts a planned move of partitions to a member. Skips partitions that this
   process doesn't own or that are already held by a move. Returns
   APR_E_NOT_FOUND when no partition is left or the member is unknown,
   APR_E_UNAVAILABLE when the message can't be sent, and APR_E_NOMEM. */
int
AprHandover_Start(AprCore_t *core, int service, AprMember_t to,
                  const uint16_t *partitions, int count)
{
    Move_t *move = calloc(1, sizeof(*move));
    AprMessage_t message = {0};

    if (move == NULL) {
        return APR_E_NOMEM;
    }
    for (int i = 0; i < count; i++) {
        if (can_move_partition(core, service, partitions[i])) {
            move->partitions[move->count++] = partitions[i];
        }
    }
    if (move->count == 0 || to >= APR_MAX_MEMBERS ||
        core->record->members[to].state == APR_MEMBER_FREE) {
        free(move);
        return APR_E_NOT_FOUND;
    }
    /* Random, because ids of several sources must differ. 0 means none. */
    move->id = ((uint64_t)g_random_int() << 32 | g_random_int()) | 1u;
    move->service = service;
    move->deadline = AprTime_AddMs(AprCore_Now(core), PREPARE_TIMEOUT_MS);
    g_strlcpy(move->target_host, core->record->members[to].host,
              sizeof(move->target_host));
    g_hash_table_insert(core->active_moves, &move->id, move);
    fill_prepare_message(core, move, &message);
    if (AprLinks_SendToHost(core, move->target_host, &message) != APR_OK) {
        end_move(core, move, APR_E_UNAVAILABLE);
        return APR_E_UNAVAILABLE;
    }
    return APR_OK;
}

typedef struct OutcomeExport_t {
    AprCore_t *core;
    Move_t *move;
    int partition;
    GArray *entries; /* AprOutcomeEntry_t; they point into the table */
    size_t bytes;
} OutcomeExport_t;

static void
send_outcomes_chunk(OutcomeExport_t *export, bool last)
{
    AprCore_t *core = export->core;
    AprMessage_t message = {0};

    message.type = APR_MSG_OUTCOMES;
    message.outcomes.move_id = export->move->id;
    message.outcomes.service = AprBytes_FromText(
        core->services[export->move->service]->config.service);
    message.outcomes.partition = export->partition;
    message.outcomes.floor_ms = AprOutcomes_Floor(
        core->outcomes, export->move->service, export->partition);
    message.outcomes.last = last;
    message.outcomes.entry_count = (int)export->entries->len;
    message.outcomes.entries = (AprOutcomeEntry_t *)export->entries->data;
    AprLinks_SendToHost(core, export->move->target_host, &message);
    g_array_set_size(export->entries, 0);
    export->bytes = 0;
}

static void
export_entry(void *context, const AprOutcomeEntry_t *entry)
{
    OutcomeExport_t *export = context;

    if (export->bytes > MAX_CHUNK_BYTES ||
        export->entries->len >= MAX_CHUNK_ENTRIES) {
        send_outcomes_chunk(export, false);
    }
    g_array_append_val(export->entries, *entry);
    export->bytes += entry->answer.body_size + ENTRY_OVERHEAD_BYTES;
}

static void
send_outcomes(AprCore_t *core, Move_t *move)
{
    OutcomeExport_t export = {core, move, 0, NULL, 0};

    export.entries = g_array_new(FALSE, FALSE, sizeof(AprOutcomeEntry_t));
    move->phase = MOVE_SENDING_OUTCOMES;
    move->unacknowledged_count = move->count;
    move->deadline = AprTime_AddMs(AprCore_Now(core), OUTCOMES_TIMEOUT_MS);
    for (int i = 0; i < move->count; i++) {
        export.partition = move->partitions[i];
        AprOutcomes_Export(core->outcomes, move->service, export.partition,
                           export_entry, &export);
        send_outcomes_chunk(&export, true);
    }
    g_array_free(export.entries, TRUE);
}

static void
send_outcomes_when_idle(AprCore_t *core, Move_t *move)
{
    const AprServiceState_t *service = core->services[move->service];

    for (int i = 0; i < move->count; i++) {
        if (service->in_flight[move->partitions[i]] > 0) {
            return;
        }
    }
    send_outcomes(core, move);
}

/* Continues a move after the last in-flight request of a held partition has
   ended: sends the outcomes when no partition of the move has requests in
   flight. */
void
AprHandover_OnIdle(AprCore_t *core, int service, int partition)
{
    uint64_t id = core->services[service]->held_by_move[partition];
    Move_t *move = g_hash_table_lookup(core->active_moves, &id);

    if (move != NULL && move->phase == MOVE_WAITING_FOR_IDLE) {
        send_outcomes_when_idle(core, move);
    }
}

/* Holds the partitions of a move. Drops those that another move has held since
   the prepare message was sent or that are no longer owned, so that each
   partition has one move at a time. */
static void
hold_partitions(AprCore_t *core, Move_t *move)
{
    int kept = 0;

    for (int i = 0; i < move->count; i++) {
        uint16_t partition = move->partitions[i];

        if (can_move_partition(core, move->service, partition)) {
            core->services[move->service]->held_by_move[partition] = move->id;
            move->partitions[kept++] = partition;
        }
    }
    move->count = kept;
}

static void
on_prepare_ack(AprCore_t *core, const AprPrepareMessage_t *answer)
{
    Move_t *move = g_hash_table_lookup(core->active_moves, &answer->move_id);

    if (move == NULL || move->phase != MOVE_PREPARING) {
        return;
    }
    if (!answer->agreed) {
        end_move(core, move, APR_E_UNAVAILABLE);
        return;
    }
    move->phase = MOVE_WAITING_FOR_IDLE;
    move->held_since = AprCore_Now(core);
    move->deadline = AprTime_AddMs(move->held_since, IN_FLIGHT_TIMEOUT_MS);
    hold_partitions(core, move);
    if (move->count == 0) {
        end_move(core, move, APR_E_STALE);
        return;
    }
    send_outcomes_when_idle(core, move);
}

/* Answers a prepare message. Agrees to receive the partitions when this
   process could serve them at once. */
static void
on_prepare(AprCore_t *core, AprLinkHandle_t link,
           const AprPrepareMessage_t *request)
{
    AprMessage_t answer = {0};
    AprMember_t self = AprCore_FindSelf(core);
    int service = AprCore_FindService(core, request->service.data);

    answer.type = APR_MSG_PREPARE_ACK;
    answer.prepare = *request;
    answer.prepare.agreed =
        service >= 0 && core->services[service]->backend.alive &&
        core->services[service]->queue != NULL && self != APR_NO_MEMBER &&
        core->record->members[self].state == APR_MEMBER_ACTIVE &&
        AprLease_IsValid(core->lease, AprCore_Now(core));
    AprLinks_Send(core, link, &answer);
}

/* Stages the outcomes of a partition until the record names this process as
   its owner with the same move id. Acknowledges the last message. */
static void
on_outcomes(AprCore_t *core, AprLinkHandle_t link, const AprMessage_t *message)
{
    const AprOutcomesMessage_t *outcomes = &message->outcomes;
    int service = AprCore_FindService(core, outcomes->service.data);
    char *key = format_staged_key(outcomes->move_id, outcomes->partition);
    StagedOutcomes_t *staged = g_hash_table_lookup(core->staged_outcomes, key);
    AprMessage_t answer = {0};

    if (service < 0) {
        g_free(key);
        return;
    }
    if (staged == NULL) {
        staged = calloc(1, sizeof(*staged));
        staged->move_id = outcomes->move_id;
        staged->service = service;
        staged->partition = outcomes->partition;
        staged->messages = g_ptr_array_new_with_free_func(free_message);
        g_hash_table_insert(core->staged_outcomes, key, staged);
    }
    else {
        g_free(key);
    }
    staged->floor_ms = outcomes->floor_ms;
    staged->complete = outcomes->last;
    staged->received_at = AprCore_Now(core);
    g_ptr_array_add(staged->messages, AprMessage_Copy(message));
    if (!outcomes->last) {
        return;
    }
    answer.type = APR_MSG_OUTCOMES_ACK;
    answer.outcomes.move_id = outcomes->move_id;
    answer.outcomes.service = outcomes->service;
    answer.outcomes.partition = outcomes->partition;
    answer.outcomes.accepted = true;
    AprLinks_Send(core, link, &answer);
}

static bool
import_staged_outcomes(AprCore_t *core, const StagedOutcomes_t *staged)
{
    for (guint i = 0; i < staged->messages->len; i++) {
        const AprMessage_t *message = g_ptr_array_index(staged->messages, i);

        for (int j = 0; j < message->outcomes.entry_count; j++) {
            AprOutcomeEntry_t entry = message->outcomes.entries[j];

            entry.request.service = staged->service;
            entry.request.partition = staged->partition;
            if (AprOutcomes_Import(core->outcomes, &entry) != APR_OK) {
                return false;
            }
        }
    }
    return true;
}

/* Imports the outcomes and the floor that were staged for a partition under
   this move id, which the record has as the partition's handover id, and
   removes them from the staging table. Returns false when they are missing or
   incomplete or can't be imported; the caller then sets the floor itself. */
bool
AprHandover_ImportStaged(AprCore_t *core, int service, int partition,
                         uint64_t move_id)
{
    char *key = format_staged_key(move_id, partition);
    const StagedOutcomes_t *staged =
        g_hash_table_lookup(core->staged_outcomes, key);
    bool taken = staged != NULL && staged->complete &&
                 staged->service == service &&
                 import_staged_outcomes(core, staged);

    if (taken) {
        AprOutcomes_RaiseFloor(core->outcomes, service, partition,
                               staged->floor_ms);
    }
    g_hash_table_remove(core->staged_outcomes, key);
    g_free(key);
    return taken;
}

static int
apply_move_to_record(AprCore_t *core, AprRecord_t *record, void *argument)
{
    const Move_t *move = argument;
    const AprServiceState_t *state = core->services[move->service];
    int service = AprRecord_FindService(record, state->config.service);
    AprMember_t self = AprRecord_FindHost(record, core->settings.host);
    AprMember_t to = AprRecord_FindHost(record, move->target_host);
    const AprPartitionEntry_t *first;

    if (service < 0 || to == APR_NO_MEMBER) {
        return APR_E_STALE;
    }
    first = &record->services[service].partitions[move->partitions[0]];
    if (first->owner == to && first->handover_id == move->id) {
        return APR_E_EXISTS;
    }
    for (int i = 0; i < move->count; i++) {
        const AprPartitionEntry_t *entry =
            &record->services[service].partitions[move->partitions[i]];

        if (self == APR_NO_MEMBER || entry->owner != self ||
            entry->epoch != state->owned_epoch[move->partitions[i]]) {
            return APR_E_STALE;
        }
    }
    for (int i = 0; i < move->count; i++) {
        AprRecord_AssignPartition(record, service, move->partitions[i], to,
                                  move->id);
    }
    return APR_OK;
}

static void
on_move_applied(AprCore_t *core, int result, void *argument)
{
    const Move_t *move = argument;

    if (result == APR_OK) {
        AprRecordSync_SendToHost(core, move->target_host);
    }
    end_move(core, argument, result);
}

static void
on_outcomes_ack(AprCore_t *core, const AprOutcomesMessage_t *answer)
{
    Move_t *move = g_hash_table_lookup(core->active_moves, &answer->move_id);

    if (move == NULL || move->phase != MOVE_SENDING_OUTCOMES ||
        !answer->accepted) {
        return;
    }
    if (--move->unacknowledged_count > 0) {
        return;
    }
    move->phase = MOVE_CHANGING_RECORD;
    move->deadline =
        AprTime_AddMs(AprCore_Now(core), RECORD_CHANGE_TIMEOUT_MS);
    AprRecordSync_QueueChange(core, apply_move_to_record, on_move_applied,
                              move);
}

/* Handles the messages of planned moves. The caller keeps the message. */
void
AprHandover_OnMessage(AprCore_t *core, AprLinkHandle_t link,
                      AprMessage_t *message)
{
    switch (message->type) {
    case APR_MSG_PREPARE:
        on_prepare(core, link, &message->prepare);
        break;
    case APR_MSG_PREPARE_ACK:
        on_prepare_ack(core, &message->prepare);
        break;
    case APR_MSG_OUTCOMES:
        on_outcomes(core, link, message);
        break;
    case APR_MSG_OUTCOMES_ACK:
        on_outcomes_ack(core, &message->outcomes);
        break;
    default:
        break;
    }
}

static void
time_out_moves(AprCore_t *core, struct timespec now)
{
    GList *moves = g_hash_table_get_values(core->active_moves);

    for (GList *item = moves; item != NULL; item = item->next) {
        Move_t *move = item->data;

        if (!AprTime_IsBefore(move->deadline, now)) {
            continue;
        }
        if (move->phase != MOVE_CHANGING_RECORD) {
            end_move(core, move, APR_E_TIMEOUT);
        }
        else if (AprRecordSync_CancelChange(core, move)) {
            end_move(core, move, APR_E_UNAVAILABLE);
        }
    }
    g_list_free(moves);
}

/* Queues an operator's request to move a partition; it is retried until
   MOVE_REQUEST_LIFETIME_MS has passed. A single attempt would fail when
   another move holds the partition or the target host is slow. */
void
AprHandover_QueueRequest(AprCore_t *core, int service, const char *to,
                         uint16_t partition)
{
    MoveRequest_t request = {0};

    request.service = service;
    request.partition = partition;
    request.next_attempt_at = AprCore_Now(core);
    request.deadline =
        AprTime_AddMs(AprCore_Now(core), MOVE_REQUEST_LIFETIME_MS);
    g_strlcpy(request.target_host, to, sizeof(request.target_host));
    g_array_append_val(core->move_requests, request);
}

/* Starts the requested moves whose retry is due. Drops those that are done,
   too old or no longer possible. */
static void
start_requested_moves(AprCore_t *core, struct timespec now)
{
    for (guint i = 0; i < core->move_requests->len;) {
        MoveRequest_t *request =
            &g_array_index(core->move_requests, MoveRequest_t, i);
        AprMember_t to =
            AprRecord_FindHost(core->record, request->target_host);

        if (to == APR_NO_MEMBER || !AprTime_IsBefore(now, request->deadline) ||
            !AprOwner_Owns(core, request->service, request->partition)) {
            g_array_remove_index(core->move_requests, i);
            continue;
        }
        if (!AprTime_IsBefore(now, request->next_attempt_at)) {
            request->next_attempt_at =
                AprTime_AddMs(now, MOVE_REQUEST_RETRY_MS);
            AprHandover_Start(core, request->service, to, &request->partition,
                              1);
        }
        i++;
    }
}

/* Aborts moves that have timed out, so that their partitions are served again,
   starts requested moves, and drops staged outcomes that were not used within
   STAGED_OUTCOMES_LIFETIME_MS because their move was aborted. */
void
AprHandover_Tick(AprCore_t *core)
{
    struct timespec now = AprCore_Now(core);
    GHashTableIter iterator;
    gpointer value;

    time_out_moves(core, now);
    start_requested_moves(core, now);
    g_hash_table_iter_init(&iterator, core->staged_outcomes);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const StagedOutcomes_t *staged = value;

        if (AprTime_DiffMs(now, staged->received_at) >
            STAGED_OUTCOMES_LIFETIME_MS) {
            g_hash_table_iter_remove(&iterator);
        }
    }
}
