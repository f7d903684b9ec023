#include "apricot/outcomes.h"

#include <stdlib.h>
#include <string.h>

#include "internal/outcomes_rules.h"
#include "internal/outcomes_table.h"

AprOutcomesRules_t apr_outcomes_rules = {true, true};

static uint32_t
round_up_to_power_of_two(uint32_t value)
{
    uint32_t power = 1;

    while (power < value && power < UINT32_C(1) << 31) {
        power *= 2;
    }
    return power;
}

/* Creates a table for `capacity` entries whose answer bodies together hold at
   most `body_bytes_limit` bytes. Finished entries are kept for `retention_ms`.
   Returns NULL when memory runs out. */
AprOutcomes_t *
AprOutcomes_New(uint32_t capacity, size_t body_bytes_limit,
                int64_t retention_ms)
{
    AprOutcomes_t *outcomes = calloc(1, sizeof(*outcomes));
    uint32_t buckets = round_up_to_power_of_two(capacity);

    if (outcomes == NULL) {
        return NULL;
    }
    outcomes->entries = calloc(capacity, sizeof(*outcomes->entries));
    outcomes->buckets = malloc(buckets * sizeof(*outcomes->buckets));
    if (outcomes->entries == NULL || outcomes->buckets == NULL) {
        AprOutcomes_Free(outcomes);
        return NULL;
    }
    memset(outcomes->buckets, 0xff, buckets * sizeof(*outcomes->buckets));
    memset(outcomes->partition_lists, 0xff, sizeof(outcomes->partition_lists));
    outcomes->bucket_mask = buckets - 1;
    outcomes->capacity = capacity;
    outcomes->body_bytes_limit = body_bytes_limit;
    outcomes->retention_ms = retention_ms;
    outcomes->free_list_first = APR_NO_OUTCOME;
    outcomes->done_list_first = APR_NO_OUTCOME;
    outcomes->done_list_last = APR_NO_OUTCOME;
    return outcomes;
}

/* Frees the table and all stored answers. NULL is ignored. */
void
AprOutcomes_Free(AprOutcomes_t *outcomes)
{
    if (outcomes == NULL) {
        return;
    }
    for (uint32_t i = 0;
         outcomes->entries != NULL && i < outcomes->never_used_first; i++) {
        AprOutcomesTable_ClearAnswer(outcomes, &outcomes->entries[i]);
    }
    free(outcomes->entries);
    free(outcomes->buckets);
    free(outcomes);
}

static bool
request_in_range(const AprOutcomeRequest_t *request)
{
    return request->service >= 0 && request->service < APR_MAX_SERVICES &&
           request->partition >= 0 && request->partition < APR_SLOTS;
}

/* Whether a request that is not in the table may have run before: either its
   entry was removed here, or it ran in another process. */
static bool
may_have_run(const AprOutcomes_t *outcomes, const AprOutcomeRequest_t *request,
             int64_t wall_ms)
{
    int64_t created = AprIdempotencyKey_CreatedMs(request->idempotency_key);

    return (apr_outcomes_rules.retention &&
            created <= wall_ms - outcomes->retention_ms) ||
           (apr_outcomes_rules.floor &&
            created < outcomes->floors[request->service][request->partition]);
}

/* The decision for a request that already has an entry. */
static AprOutcomeAdmission_t
admit_existing(const AprOutcomeSlot_t *slot)
{
    if (slot->state == APR_OUTCOME_RUNNING) {
        return APR_ADMIT_WAIT;
    }
    return slot->answer.status == 0 ? APR_ADMIT_UNKNOWN : APR_ADMIT_REPLAY;
}

/* Decides whether a request runs, and adds a running entry for it if so.
   `wall_ms` is the calendar time. Sets *outcome to the entry of the request,
   or to APR_NO_OUTCOME when there is none. Entries are matched by idempotency
   key, service and shard key hash, so that a request never gets the answer to
   a request for another shard key. */
AprOutcomeAdmission_t
AprOutcomes_Admit(AprOutcomes_t *outcomes, const AprOutcomeRequest_t *request,
                  int64_t wall_ms, AprOutcomeHandle_t *outcome)
{
    *outcome = APR_NO_OUTCOME;
    if (!request_in_range(request)) {
        return APR_ADMIT_FULL;
    }
    *outcome = AprOutcomesTable_Find(outcomes, request);
    if (*outcome != APR_NO_OUTCOME) {
        return admit_existing(&outcomes->entries[*outcome]);
    }
    if (!request->first_attempt && may_have_run(outcomes, request, wall_ms)) {
        return APR_ADMIT_UNKNOWN;
    }
    if (outcomes->stored_body_bytes >= outcomes->body_bytes_limit) {
        return APR_ADMIT_FULL;
    }
    *outcome = AprOutcomesTable_Insert(outcomes, request);
    if (*outcome == APR_NO_OUTCOME) {
        return APR_ADMIT_FULL;
    }
    outcomes->entries[*outcome].finished_at_ms = wall_ms;
    return APR_ADMIT_RUN;
}

static AprOutcomeSlot_t *
find_running(AprOutcomes_t *outcomes, AprOutcomeHandle_t outcome)
{
    if (outcome >= outcomes->never_used_first ||
        outcomes->entries[outcome].state != APR_OUTCOME_RUNNING) {
        return NULL;
    }
    return &outcomes->entries[outcome];
}

static int64_t
later_ms(int64_t left, int64_t right)
{
    return left > right ? left : right;
}

/* Marks an entry as done and sets its expiry. A key can have a creation time
   slightly ahead of this process's clock. The retention therefore starts at
   the later of the two times: the entry expires only once the key is before
   the retention window, so that a repeat after its removal is not accepted. */
static void
mark_done(AprOutcomes_t *outcomes, AprOutcomeHandle_t outcome,
          int64_t finished_at_ms)
{
    AprOutcomeSlot_t *slot = &outcomes->entries[outcome];
    int64_t created =
        AprIdempotencyKey_CreatedMs(slot->request.idempotency_key);

    slot->state = APR_OUTCOME_DONE;
    slot->finished_at_ms = finished_at_ms;
    slot->expires_at_ms =
        later_ms(finished_at_ms, created) + outcomes->retention_ms;
    AprOutcomesTable_AppendDone(outcomes, outcome);
}

/* Stores a copy of the complete answer and marks the entry as done. If the
   copy does not fit into the limit or memory runs out, the outcome is kept as
   unknown, so that a repeat does not run. */
void
AprOutcomes_Finish(AprOutcomes_t *outcomes, AprOutcomeHandle_t outcome,
                   const AprStoredAnswer_t *answer, int64_t wall_ms)
{
    AprOutcomeSlot_t *slot = find_running(outcomes, outcome);

    if (slot != NULL) {
        AprOutcomesTable_StoreAnswer(outcomes, slot, answer);
        mark_done(outcomes, outcome, wall_ms);
    }
}

/* Removes the running entry of a request that was not dispatched; a repeat of
   it may run. */
void
AprOutcomes_Abort(AprOutcomes_t *outcomes, AprOutcomeHandle_t outcome)
{
    if (find_running(outcomes, outcome) != NULL) {
        AprOutcomesTable_Remove(outcomes, outcome);
    }
}

/* Marks an entry as done with an unknown outcome: the request may have run and
   its answer is lost. */
void
AprOutcomes_MarkUnknown(AprOutcomes_t *outcomes, AprOutcomeHandle_t outcome,
                        int64_t wall_ms)
{
    if (find_running(outcomes, outcome) != NULL) {
        mark_done(outcomes, outcome, wall_ms);
    }
}

/* The stored answer of a finished entry, with status 0 if the outcome is
   unknown; NULL for any other handle. Owned by the table and valid until the
   entry is removed. */
const AprStoredAnswer_t *
AprOutcomes_Answer(const AprOutcomes_t *outcomes, AprOutcomeHandle_t outcome)
{
    if (outcome >= outcomes->never_used_first ||
        outcomes->entries[outcome].state != APR_OUTCOME_DONE) {
        return NULL;
    }
    return &outcomes->entries[outcome].answer;
}

/* Raises the floor of a partition, in calendar milliseconds. A value below the
   current floor has no effect, because the floor also covers entries that were
   removed from this table. */
void
AprOutcomes_RaiseFloor(AprOutcomes_t *outcomes, int service, int partition,
                       int64_t floor_ms)
{
    int64_t *floor = &outcomes->floors[service][partition];

    *floor = later_ms(*floor, floor_ms);
}

/* The floor of a partition: the earliest creation time of an idempotency key,
   in calendar milliseconds, from which on all its outcomes are known here. */
int64_t
AprOutcomes_Floor(const AprOutcomes_t *outcomes, int service, int partition)
{
    return outcomes->floors[service][partition];
}

/* Calls `visit` for each entry of a partition; the entry is valid during the
   call only. A running entry is passed with an unknown outcome, because the
   next owner cannot get its answer. */
void
AprOutcomes_Export(const AprOutcomes_t *outcomes, int service, int partition,
                   AprOutcomeVisitor_t visit, void *context)
{
    uint32_t next = outcomes->partition_lists[service][partition];

    while (next != APR_NO_OUTCOME) {
        const AprOutcomeSlot_t *slot = &outcomes->entries[next];
        AprOutcomeEntry_t entry = {slot->request, slot->finished_at_ms,
                                   slot->answer};

        visit(context, &entry);
        next = slot->partition_next;
    }
}

/* Stores a copy of an entry that the previous owner exported. An existing
   entry is kept, except that an answer replaces an unknown outcome. Returns
   APR_E_INVALID when the service or the partition is out of range, and
   APR_E_FULL when the entry does not fit; the partition must then not be taken
   over. */
int
AprOutcomes_Import(AprOutcomes_t *outcomes, const AprOutcomeEntry_t *entry)
{
    AprOutcomeHandle_t outcome;
    AprOutcomeSlot_t *slot;

    if (!request_in_range(&entry->request)) {
        return APR_E_INVALID;
    }
    outcome = AprOutcomesTable_Find(outcomes, &entry->request);
    if (outcome != APR_NO_OUTCOME) {
        slot = &outcomes->entries[outcome];
        if (slot->state == APR_OUTCOME_DONE && slot->answer.status == 0) {
            AprOutcomesTable_StoreAnswer(outcomes, slot, &entry->answer);
        }
        return APR_OK;
    }
    if (entry->answer.body_size >
        outcomes->body_bytes_limit - outcomes->stored_body_bytes) {
        return APR_E_FULL;
    }
    outcome = AprOutcomesTable_Insert(outcomes, &entry->request);
    if (outcome == APR_NO_OUTCOME) {
        return APR_E_FULL;
    }
    AprOutcomesTable_StoreAnswer(outcomes, &outcomes->entries[outcome],
                                 &entry->answer);
    mark_done(outcomes, outcome, entry->finished_at_ms);
    return APR_OK;
}

/* Removes a finished entry and raises the floor above its key, so that a
   repeat is rejected as unknown even if a clock is set back. */
static void
remove_finished(AprOutcomes_t *outcomes, AprOutcomeHandle_t outcome)
{
    const AprOutcomeRequest_t *request = &outcomes->entries[outcome].request;

    if (apr_outcomes_rules.retention) {
        AprOutcomes_RaiseFloor(
            outcomes, request->service, request->partition,
            AprIdempotencyKey_CreatedMs(request->idempotency_key) + 1);
    }
    AprOutcomesTable_Remove(outcomes, outcome);
}

/* Removes the finished entries of a partition that moved to another owner.
   Running entries are kept, because their requests still finish here and the
   outcome remains valid. */
void
AprOutcomes_RemoveFinished(AprOutcomes_t *outcomes, int service, int partition)
{
    uint32_t next = outcomes->partition_lists[service][partition];

    while (next != APR_NO_OUTCOME) {
        AprOutcomeHandle_t outcome = next;

        next = outcomes->entries[outcome].partition_next;
        if (outcomes->entries[outcome].state == APR_OUTCOME_DONE) {
            remove_finished(outcomes, outcome);
        }
    }
}

/* Moves the entries of one shard key to another partition, when a hot slot is
   assigned to the key or freed. Raises the floor of the new partition to that
   of the old one. */
void
AprOutcomes_MoveKey(AprOutcomes_t *outcomes, int service, uint64_t key_hash,
                    int from, int to)
{
    uint32_t next = outcomes->partition_lists[service][from];

    AprOutcomes_RaiseFloor(outcomes, service, to,
                           outcomes->floors[service][from]);
    while (next != APR_NO_OUTCOME) {
        AprOutcomeHandle_t outcome = next;

        next = outcomes->entries[outcome].partition_next;
        if (outcomes->entries[outcome].request.key_hash == key_hash) {
            AprOutcomesTable_MoveToPartition(outcomes, outcome, to);
        }
    }
}

/* Removes the entries whose retention has ended. Entries expire in the order
   in which they were finished or imported here, so an imported entry may stay
   longer than its retention. */
void
AprOutcomes_Expire(AprOutcomes_t *outcomes, int64_t wall_ms)
{
    while (outcomes->done_list_first != APR_NO_OUTCOME &&
           outcomes->entries[outcomes->done_list_first].expires_at_ms <=
               wall_ms) {
        remove_finished(outcomes, outcomes->done_list_first);
    }
}

/* Number of entries, running ones included. */
uint32_t
AprOutcomes_Count(const AprOutcomes_t *outcomes)
{
    return outcomes->count;
}
