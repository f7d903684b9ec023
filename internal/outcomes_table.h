#ifndef APRICOT_INTERNAL_OUTCOMES_TABLE_H
#define APRICOT_INTERNAL_OUTCOMES_TABLE_H

#include "apricot/error.h"
#include "apricot/outcomes.h"
#include "apricot/record.h"

typedef enum AprOutcomeState_t {
    APR_OUTCOME_FREE,
    APR_OUTCOME_RUNNING,
    APR_OUTCOME_DONE
} AprOutcomeState_t;

/* One entry. It is linked into the chain of its hash bucket, the list of its
   partition and, once done, the list of done entries. Links are indexes into
   AprOutcomes_t.entries, or APR_NO_OUTCOME. */
typedef struct AprOutcomeSlot_t {
    AprOutcomeState_t state;
    AprOutcomeRequest_t request;
    int64_t finished_at_ms; /* admission time while the request is running */
    int64_t expires_at_ms;
    AprStoredAnswer_t answer; /* owns content type and body */
    uint32_t bucket_next;     /* of a free entry: next free entry */
    uint32_t partition_next;
    uint32_t partition_previous;
    uint32_t done_next; /* in order of completion */
    uint32_t done_previous;
} AprOutcomeSlot_t;

struct AprOutcomes_t {
    uint32_t capacity;
    uint32_t count;
    uint32_t never_used_first; /* entries from this index on are unused */
    uint32_t free_list_first;
    uint32_t bucket_mask;
    uint32_t *buckets;
    AprOutcomeSlot_t *entries;
    uint32_t done_list_first;
    uint32_t done_list_last;
    size_t stored_body_bytes; /* of all answers together */
    size_t body_bytes_limit;
    int64_t retention_ms;
    /* First entry of each partition. */
    uint32_t partition_lists[APR_MAX_SERVICES][APR_SLOTS];
    /* Floor of each partition, in calendar milliseconds. */
    int64_t floors[APR_MAX_SERVICES][APR_SLOTS];
};

uint32_t AprOutcomesTable_Find(const AprOutcomes_t *outcomes,
                               const AprOutcomeRequest_t *request);
uint32_t AprOutcomesTable_Insert(AprOutcomes_t *outcomes,
                                 const AprOutcomeRequest_t *request);
void AprOutcomesTable_Remove(AprOutcomes_t *outcomes, uint32_t index);
void AprOutcomesTable_AppendDone(AprOutcomes_t *outcomes, uint32_t index);
void AprOutcomesTable_MoveToPartition(AprOutcomes_t *outcomes, uint32_t index,
                                      int partition);
void AprOutcomesTable_StoreAnswer(AprOutcomes_t *outcomes,
                                  AprOutcomeSlot_t *slot,
                                  const AprStoredAnswer_t *answer);
void AprOutcomesTable_ClearAnswer(AprOutcomes_t *outcomes,
                                  AprOutcomeSlot_t *slot);

#endif
