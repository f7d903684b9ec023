#ifndef APRICOT_INTERNAL_OUTCOMES_TABLE_H
#define APRICOT_INTERNAL_OUTCOMES_TABLE_H

#include "apricot/error.h"
#include "apricot/outcomes.h"
#include "apricot/record.h"

typedef enum AprSlotState_t {
    APR_SLOT_FREE,
    APR_SLOT_RUNNING,
    APR_SLOT_DONE
} AprSlotState_t;

/* One entry, linked into the chain of its hash bucket, the list of its
   partition and, once done, the list in order of completion. */
typedef struct AprOutcomeSlot_t {
    AprSlotState_t state;
    AprOutcomeRequest_t request;
    int64_t finished_at_ms; /* while running: when it was admitted */
    int64_t expires_at_ms;
    AprStoredAnswer_t answer; /* content type and body: malloc */
    uint32_t bucket_next;     /* also links free slots */
    uint32_t partition_next;
    uint32_t partition_previous;
    uint32_t done_next;
    uint32_t done_previous;
} AprOutcomeSlot_t;

struct AprOutcomes_t {
    uint32_t capacity;
    uint32_t count;
    uint32_t fresh; /* slots from here on were never used */
    uint32_t free_first;
    uint32_t bucket_mask;
    uint32_t *buckets;
    AprOutcomeSlot_t *entries;
    uint32_t done_first;
    uint32_t done_last;
    size_t body_bytes;
    size_t body_bytes_limit;
    int64_t retention_ms;
    uint32_t partitions[APR_MAX_SERVICES][APR_SLOTS];
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
