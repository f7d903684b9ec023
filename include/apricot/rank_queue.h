#ifndef APRICOT_RANK_QUEUE_H
#define APRICOT_RANK_QUEUE_H

#include <stdbool.h>
#include <stdint.h>
#include <time.h>

#define APR_MAX_RANKS 8
#define APR_GUARANTEED_PERCENT 30 /* of dispatches, split by worth */

typedef struct AprRankSpec_t {
    int target_ms;
    int worth;
} AprRankSpec_t;

/* Bounded queue per rank in front of one backend server. Items are handles
   of the caller's own table. Ranks go from the most urgent (0) down. */
typedef struct AprRankQueue_t AprRankQueue_t;

AprRankQueue_t *AprRankQueue_New(const AprRankSpec_t *ranks, int rank_count,
                                 int slots, uint32_t capacity_per_rank);
void AprRankQueue_Free(AprRankQueue_t *queue);
void AprRankQueue_SetSlots(AprRankQueue_t *queue, int slots);
/* APR_E_FULL: no room in the rank; APR_E_TIMEOUT: the deadline cannot be
   met, or the target of a rank with a standing backlog; APR_E_EXISTS: the
   item is queued already. */
int AprRankQueue_Push(AprRankQueue_t *queue, int rank, uint32_t item,
                      struct timespec deadline, struct timespec now);
/* Takes the next item to dispatch while a slot is free; the slot is in use
   until Done. */
bool AprRankQueue_Pop(AprRankQueue_t *queue, struct timespec now,
                      uint32_t *item, int *rank);
/* Takes an item whose deadline has passed or cannot be met any more. */
bool AprRankQueue_PopExpired(AprRankQueue_t *queue, struct timespec now,
                             uint32_t *item);
bool AprRankQueue_Remove(AprRankQueue_t *queue, int rank, uint32_t item);
/* Frees the slot of an item of this rank. service_ms < 0: not dispatched,
   no sample. */
void AprRankQueue_Done(AprRankQueue_t *queue, int rank, double service_ms);
uint32_t AprRankQueue_Size(const AprRankQueue_t *queue, int rank);
int AprRankQueue_Running(const AprRankQueue_t *queue);
double AprRankQueue_MeanServiceMs(const AprRankQueue_t *queue);
/* Back-pressure: the least urgent rank that still has room, -1 if none. */
int AprRankQueue_LowestOpenRank(const AprRankQueue_t *queue);
double AprRankQueue_GuaranteedShare(const AprRankQueue_t *queue, int rank);

#endif
