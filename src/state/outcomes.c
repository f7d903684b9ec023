#include "apricot/outcomes.h"

#include <stdlib.h>
#include <string.h>

#include "internal/outcomes_rules.h"
#include "internal/outcomes_table.h"

AprOutcomesRules_t apr_outcomes_rules = {true, true};

static uint32_t
power_of_two(uint32_t value)
{
    uint32_t power = 1;

    while (power < value && power < UINT32_C(1) << 31) {
        power *= 2;
    }
    return power;
}

/* Creates a table for `capacity` entries whose answers together hold at most
   `body_bytes_limit` bytes. Entries are kept for retention_ms. NULL when
   memory runs out. */
AprOutcomes_t *
AprOutcomes_New(uint32_t capacity, size_t body_bytes_limit,
                int64_t retention_ms)
{
    AprOutcomes_t *outcomes = calloc(1, sizeof(*outcomes));
    uint32_t buckets = power_of_two(capacity);

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
    memset(outcomes->partitions, 0xff, sizeof(outcomes->partitions));
    outcomes->bucket_mask = buckets - 1;
    outcomes->capacity = capacity;
    outcomes->body_bytes_limit = body_bytes_limit;
    outcomes->retention_ms = retention_ms;
    outcomes->free_first = APR_NO_OUTCOME;
    outcomes->done_first = APR_NO_OUTCOME;
    outcomes->done_last = APR_NO_OUTCOME;
    return outcomes;
}

/* Frees the table with all answers. */
void
AprOutcomes_Free(AprOutcomes_t *outcomes)
{
    if (outcomes == NULL) {
        return;
    }
    for (uint32_t i = 0; outcomes->entries != NULL && i < outcomes->fresh;
         i++) {
        AprOutcomesTable_ClearAnswer(outcomes, &outcomes->entries[i]);
    }
    free(outcomes->entries);
    free(outcomes->buckets);
    free(outcomes);
}

static bool
in_range(const AprOutcomeRequest_t *request)
{
    return request->service >= 0 && request->service < APR_MAX_SERVICES &&
           request->partition >= 0 && request->partition < APR_SLOTS;
}

/* Whether an earlier run of a request that is not in the table may have been
   forgotten here, or made by another process. */
static bool
may_have_run(const AprOutcomes_t *outcomes, const AprOutcomeRequest_t *request,
             int64_t wall_ms)
{
    int64_t created = AprIdempotencyKey_MintedMs(request->idempotency_key);

    return (apr_outcomes_rules.retention &&
            created <= wall_ms - outcomes->retention_ms) ||
           (apr_outcomes_rules.floor &&
            created < outcomes->floors[request->service][request->partition]);
}

/* What to do with an entry that is present. */
static AprAdmission_t
admit_present(const AprOutcomeSlot_t *slot)
{
    if (slot->state == APR_SLOT_RUNNING) {
        return APR_ADMIT_WAIT;
    }
    return slot->answer.status == 0 ? APR_ADMIT_UNKNOWN : APR_ADMIT_REPLAY;
}

/* Decides on a request; wall_ms is the calendar time. *outcome is the entry,
   or APR_NO_OUTCOME when there is none. The entry of a request is that of the
   same idempotency key, service and key hash: an answer to another key is
   never given out. */
AprAdmission_t
AprOutcomes_Admit(AprOutcomes_t *outcomes, const AprOutcomeRequest_t *request,
                  int64_t wall_ms, AprOutcome_t *outcome)
{
    *outcome = APR_NO_OUTCOME;
    if (!in_range(request)) {
        return APR_ADMIT_FULL;
    }
    *outcome = AprOutcomesTable_Find(outcomes, request);
    if (*outcome != APR_NO_OUTCOME) {
        return admit_present(&outcomes->entries[*outcome]);
    }
    if (!request->first_attempt && may_have_run(outcomes, request, wall_ms)) {
        return APR_ADMIT_UNKNOWN;
    }
    if (outcomes->body_bytes >= outcomes->body_bytes_limit) {
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
running_slot(AprOutcomes_t *outcomes, AprOutcome_t outcome)
{
    if (outcome >= outcomes->fresh ||
        outcomes->entries[outcome].state != APR_SLOT_RUNNING) {
        return NULL;
    }
    return &outcomes->entries[outcome];
}

static int64_t
max_ms(int64_t left, int64_t right)
{
    return left > right ? left : right;
}

/* A key can be created slightly ahead of this clock; the entry stays until
   the key is before the retention window, so that it is never both forgotten
   and acceptable. */
static void
complete(AprOutcomes_t *outcomes, AprOutcome_t outcome, int64_t finished_at_ms)
{
    AprOutcomeSlot_t *slot = &outcomes->entries[outcome];
    int64_t created =
        AprIdempotencyKey_MintedMs(slot->request.idempotency_key);

    slot->state = APR_SLOT_DONE;
    slot->finished_at_ms = finished_at_ms;
    slot->expires_at_ms =
        max_ms(finished_at_ms, created) + outcomes->retention_ms;
    AprOutcomesTable_AppendDone(outcomes, outcome);
}

/* Stores the complete answer. If its copy does not fit into the limit, the
   outcome is kept as unknown, so that a repeat does not run. */
void
AprOutcomes_Finish(AprOutcomes_t *outcomes, AprOutcome_t outcome,
                   const AprStoredAnswer_t *answer, int64_t wall_ms)
{
    AprOutcomeSlot_t *slot = running_slot(outcomes, outcome);

    if (slot != NULL) {
        AprOutcomesTable_StoreAnswer(outcomes, slot, answer);
        complete(outcomes, outcome, wall_ms);
    }
}

/* The request was not dispatched: its entry is removed and a repeat may run.
 */
void
AprOutcomes_Abort(AprOutcomes_t *outcomes, AprOutcome_t outcome)
{
    if (running_slot(outcomes, outcome) != NULL) {
        AprOutcomesTable_Remove(outcomes, outcome);
    }
}

/* The request may have run, and its answer is lost. */
void
AprOutcomes_MarkUnknown(AprOutcomes_t *outcomes, AprOutcome_t outcome,
                        int64_t wall_ms)
{
    if (running_slot(outcomes, outcome) != NULL) {
        complete(outcomes, outcome, wall_ms);
    }
}

/* The stored answer of a finished entry, with status 0 if it is unknown; NULL
   for any other handle. Valid until the entry expires. */
const AprStoredAnswer_t *
AprOutcomes_Answer(const AprOutcomes_t *outcomes, AprOutcome_t outcome)
{
    if (outcome >= outcomes->fresh ||
        outcomes->entries[outcome].state != APR_SLOT_DONE) {
        return NULL;
    }
    return &outcomes->entries[outcome].answer;
}

/* Raises the floor of a partition, in calendar milliseconds. A lower value
   than the present one has no effect, because the floor also covers entries
   that this table has forgotten. */
void
AprOutcomes_SetFloor(AprOutcomes_t *outcomes, int service, int partition,
                     int64_t floor_ms)
{
    int64_t *floor = &outcomes->floors[service][partition];

    *floor = max_ms(*floor, floor_ms);
}

/* The earliest creation time for which every outcome of the partition is
   known, in calendar milliseconds. */
int64_t
AprOutcomes_Floor(const AprOutcomes_t *outcomes, int service, int partition)
{
    return outcomes->floors[service][partition];
}

/* Visits all entries of a partition. A running one is reported as unknown:
   whoever takes it over cannot know its answer. */
void
AprOutcomes_Export(const AprOutcomes_t *outcomes, int service, int partition,
                   AprOutcomeVisitor_t visit, void *context)
{
    uint32_t next = outcomes->partitions[service][partition];

    while (next != APR_NO_OUTCOME) {
        const AprOutcomeSlot_t *slot = &outcomes->entries[next];
        AprOutcomeEntry_t entry = {slot->request, slot->finished_at_ms,
                                   slot->answer};

        visit(context, &entry);
        next = slot->partition_next;
    }
}

/* Stores an entry of the previous owner. An entry that is present stays,
   except that an answer replaces an unknown outcome. APR_E_FULL: the entry is
   not stored, so the partition must not be taken over; APR_E_INVALID. */
int
AprOutcomes_Import(AprOutcomes_t *outcomes, const AprOutcomeEntry_t *entry)
{
    AprOutcome_t outcome;
    AprOutcomeSlot_t *slot;

    if (!in_range(&entry->request)) {
        return APR_E_INVALID;
    }
    outcome = AprOutcomesTable_Find(outcomes, &entry->request);
    if (outcome != APR_NO_OUTCOME) {
        slot = &outcomes->entries[outcome];
        if (slot->state == APR_SLOT_DONE && slot->answer.status == 0) {
            AprOutcomesTable_StoreAnswer(outcomes, slot, &entry->answer);
        }
        return APR_OK;
    }
    if (entry->answer.body_size >
        outcomes->body_bytes_limit - outcomes->body_bytes) {
        return APR_E_FULL;
    }
    outcome = AprOutcomesTable_Insert(outcomes, &entry->request);
    if (outcome == APR_NO_OUTCOME) {
        return APR_E_FULL;
    }
    AprOutcomesTable_StoreAnswer(outcomes, &outcomes->entries[outcome],
                                 &entry->answer);
    complete(outcomes, outcome, entry->finished_at_ms);
    return APR_OK;
}

/* Forgets a finished entry and raises the floor above its key, so that a
   repeat is refused as unknown even if a clock is set back. */
static void
forget(AprOutcomes_t *outcomes, AprOutcome_t outcome)
{
    const AprOutcomeRequest_t *request = &outcomes->entries[outcome].request;

    if (apr_outcomes_rules.retention) {
        AprOutcomes_SetFloor(
            outcomes, request->service, request->partition,
            AprIdempotencyKey_MintedMs(request->idempotency_key) + 1);
    }
    AprOutcomesTable_Remove(outcomes, outcome);
}

/* Forgets the finished entries of a partition that moved away. Running ones
   stay: their outcome is still to come, and it stays true. */
void
AprOutcomes_Drop(AprOutcomes_t *outcomes, int service, int partition)
{
    uint32_t next = outcomes->partitions[service][partition];

    while (next != APR_NO_OUTCOME) {
        AprOutcome_t outcome = next;

        next = outcomes->entries[outcome].partition_next;
        if (outcomes->entries[outcome].state == APR_SLOT_DONE) {
            forget(outcomes, outcome);
        }
    }
}

/* Moves the entries of one key to another partition (hot slot bound or
   freed). The floor of the new partition covers that of the old one. */
void
AprOutcomes_Rebind(AprOutcomes_t *outcomes, int service, uint64_t key_hash,
                   int from, int to)
{
    uint32_t next = outcomes->partitions[service][from];

    AprOutcomes_SetFloor(outcomes, service, to,
                         outcomes->floors[service][from]);
    while (next != APR_NO_OUTCOME) {
        AprOutcome_t outcome = next;

        next = outcomes->entries[outcome].partition_next;
        if (outcomes->entries[outcome].request.key_hash == key_hash) {
            AprOutcomesTable_MoveToPartition(outcomes, outcome, to);
        }
    }
}

/* Forgets the entries whose retention is over. Entries expire in the order in
   which they were finished or imported here; an imported one may therefore
   stay longer than it must. */
void
AprOutcomes_Expire(AprOutcomes_t *outcomes, int64_t wall_ms)
{
    while (outcomes->done_first != APR_NO_OUTCOME &&
           outcomes->entries[outcomes->done_first].expires_at_ms <= wall_ms) {
        forget(outcomes, outcomes->done_first);
    }
}

/* Number of entries, running ones included. */
uint32_t
AprOutcomes_Count(const AprOutcomes_t *outcomes)
{
    return outcomes->count;
}
