#include "internal/outcomes_table.h"

#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

static uint32_t *
hash_bucket_of(const AprOutcomes_t *outcomes,
               const AprOutcomeRequest_t *request)
{
    uint64_t hash = XXH3_64bits_withSeed(
        request->idempotency_key, APR_IDEMPOTENCY_KEY_SIZE, request->key_hash);

    return &outcomes->buckets[hash & outcomes->bucket_mask];
}

/* Whether two requests are repeats of each other. The partition is not
   compared, because it changes when a hot slot is assigned to the key. */
static bool
same_request(const AprOutcomeRequest_t *left, const AprOutcomeRequest_t *right)
{
    return left->service == right->service &&
           left->key_hash == right->key_hash &&
           memcmp(left->idempotency_key, right->idempotency_key,
                  APR_IDEMPOTENCY_KEY_SIZE) == 0;
}

/* Returns the index of the entry for a request, or APR_NO_OUTCOME. */
uint32_t
AprOutcomesTable_Find(const AprOutcomes_t *outcomes,
                      const AprOutcomeRequest_t *request)
{
    uint32_t index = *hash_bucket_of(outcomes, request);

    while (index != APR_NO_OUTCOME &&
           !same_request(&outcomes->entries[index].request, request)) {
        index = outcomes->entries[index].bucket_next;
    }
    return index;
}

static uint32_t
allocate_entry(AprOutcomes_t *outcomes)
{
    uint32_t index = outcomes->free_list_first;

    if (index != APR_NO_OUTCOME) {
        outcomes->free_list_first = outcomes->entries[index].bucket_next;
        return index;
    }
    return outcomes->never_used_first < outcomes->capacity
               ? outcomes->never_used_first++
               : APR_NO_OUTCOME;
}

static void
link_into_partition(AprOutcomes_t *outcomes, uint32_t index)
{
    AprOutcomeSlot_t *slot = &outcomes->entries[index];
    uint32_t *first =
        &outcomes
             ->partition_lists[slot->request.service][slot->request.partition];

    slot->partition_previous = APR_NO_OUTCOME;
    slot->partition_next = *first;
    if (*first != APR_NO_OUTCOME) {
        outcomes->entries[*first].partition_previous = index;
    }
    *first = index;
}

static void
unlink_from_partition(AprOutcomes_t *outcomes, uint32_t index)
{
    const AprOutcomeSlot_t *slot = &outcomes->entries[index];

    if (slot->partition_previous != APR_NO_OUTCOME) {
        outcomes->entries[slot->partition_previous].partition_next =
            slot->partition_next;
    }
    else {
        outcomes
            ->partition_lists[slot->request.service][slot->request.partition] =
            slot->partition_next;
    }
    if (slot->partition_next != APR_NO_OUTCOME) {
        outcomes->entries[slot->partition_next].partition_previous =
            slot->partition_previous;
    }
}

/* Adds a running entry and returns its index; APR_NO_OUTCOME when the table is
   full. */
uint32_t
AprOutcomesTable_Insert(AprOutcomes_t *outcomes,
                        const AprOutcomeRequest_t *request)
{
    uint32_t index = allocate_entry(outcomes);
    uint32_t *bucket = hash_bucket_of(outcomes, request);
    AprOutcomeSlot_t *slot;

    if (index == APR_NO_OUTCOME) {
        return APR_NO_OUTCOME;
    }
    slot = &outcomes->entries[index];
    memset(slot, 0, sizeof(*slot));
    slot->state = APR_OUTCOME_RUNNING;
    slot->request = *request;
    slot->bucket_next = *bucket;
    *bucket = index;
    link_into_partition(outcomes, index);
    outcomes->count++;
    return index;
}

/* Appends an entry to the list of done entries, which is in order of
   completion. */
void
AprOutcomesTable_AppendDone(AprOutcomes_t *outcomes, uint32_t index)
{
    AprOutcomeSlot_t *slot = &outcomes->entries[index];

    slot->done_next = APR_NO_OUTCOME;
    slot->done_previous = outcomes->done_list_last;
    if (outcomes->done_list_last != APR_NO_OUTCOME) {
        outcomes->entries[outcomes->done_list_last].done_next = index;
    }
    else {
        outcomes->done_list_first = index;
    }
    outcomes->done_list_last = index;
}

static void
unlink_from_done(AprOutcomes_t *outcomes, uint32_t index)
{
    const AprOutcomeSlot_t *slot = &outcomes->entries[index];

    if (slot->done_previous != APR_NO_OUTCOME) {
        outcomes->entries[slot->done_previous].done_next = slot->done_next;
    }
    else {
        outcomes->done_list_first = slot->done_next;
    }
    if (slot->done_next != APR_NO_OUTCOME) {
        outcomes->entries[slot->done_next].done_previous = slot->done_previous;
    }
    else {
        outcomes->done_list_last = slot->done_previous;
    }
}

/* Removes an entry from all lists and frees its answer. */
void
AprOutcomesTable_Remove(AprOutcomes_t *outcomes, uint32_t index)
{
    AprOutcomeSlot_t *slot = &outcomes->entries[index];
    uint32_t *link = hash_bucket_of(outcomes, &slot->request);

    while (*link != index) {
        link = &outcomes->entries[*link].bucket_next;
    }
    *link = slot->bucket_next;
    unlink_from_partition(outcomes, index);
    if (slot->state == APR_OUTCOME_DONE) {
        unlink_from_done(outcomes, index);
    }
    AprOutcomesTable_ClearAnswer(outcomes, slot);
    slot->state = APR_OUTCOME_FREE;
    slot->bucket_next = outcomes->free_list_first;
    outcomes->free_list_first = index;
    outcomes->count--;
}

/* Moves an entry to another partition of its service. */
void
AprOutcomesTable_MoveToPartition(AprOutcomes_t *outcomes, uint32_t index,
                                 int partition)
{
    unlink_from_partition(outcomes, index);
    outcomes->entries[index].request.partition = partition;
    link_into_partition(outcomes, index);
}

/* Copies an answer into an entry that has none. The entry keeps status 0
   (unknown outcome) when the answer has status 0, when its body exceeds the
   limit of the table or when memory runs out. */
void
AprOutcomesTable_StoreAnswer(AprOutcomes_t *outcomes, AprOutcomeSlot_t *slot,
                             const AprStoredAnswer_t *answer)
{
    char *type;
    void *body;

    if (answer->status == 0 ||
        answer->body_size > outcomes->body_bytes_limit ||
        outcomes->stored_body_bytes >
            outcomes->body_bytes_limit - answer->body_size) {
        return;
    }
    type = strdup(answer->content_type == NULL ? "" : answer->content_type);
    body = malloc(answer->body_size + 1); /* malloc(0) may return NULL */
    if (type == NULL || body == NULL) {
        free(type);
        free(body);
        return;
    }
    if (answer->body_size > 0) {
        memcpy(body, answer->body, answer->body_size);
    }
    slot->answer.status = answer->status;
    slot->answer.content_type = type;
    slot->answer.body = body;
    slot->answer.body_size = answer->body_size;
    outcomes->stored_body_bytes += answer->body_size;
}

/* Frees the answer of an entry, which then has status 0. */
void
AprOutcomesTable_ClearAnswer(AprOutcomes_t *outcomes, AprOutcomeSlot_t *slot)
{
    outcomes->stored_body_bytes -= slot->answer.body_size;
    free((void *)(uintptr_t)slot->answer.content_type);
    free((void *)(uintptr_t)slot->answer.body);
    memset(&slot->answer, 0, sizeof(slot->answer));
}
