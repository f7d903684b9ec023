#ifndef APRICOT_RANK_QUEUE_H
#define APRICOT_RANK_QUEUE_H

#include <stdbool.h>
#include <stdint.h>
#include <time.h>

#define APR_MAX_RANKS 8

/* Percentage of all dispatches that is guaranteed to the ranks, divided in
   proportion to their worth. */
#define APR_GUARANTEED_PERCENT 30

typedef struct AprRankSpec_t {
    int target_ms; /* target of the time until the answer */
    int worth;     /* weight for the guaranteed share of dispatches */
} AprRankSpec_t;

/* Bounded priority queue with one sub-queue per rank in front of one backend
   server. Items are indices into a table of the caller. Rank 0 is the most
   urgent. */
typedef struct AprRankQueue_t AprRankQueue_t;

AprRankQueue_t *AprRankQueue_New(const AprRankSpec_t *ranks, int rank_count,
                                 int slots, uint32_t capacity_per_rank);
void AprRankQueue_Free(AprRankQueue_t *queue);
void AprRankQueue_SetSlots(AprRankQueue_t *queue, int slots);
/* Returns APR_E_FULL when the rank has no room, APR_E_TIMEOUT when the
   deadline, or under a standing backlog the target of the rank, cannot be met,
   and APR_E_EXISTS when the item is already queued. */
int AprRankQueue_Push(AprRankQueue_t *queue, int rank, uint32_t item,
                      struct timespec deadline, struct timespec now);
/* Takes the next item to dispatch if a slot is free. The slot stays in use
   until AprRankQueue_Finish. */
bool AprRankQueue_Pop(AprRankQueue_t *queue, struct timespec now,
                      uint32_t *item, int *rank);
/* Takes an item whose deadline has passed or can no longer be met. */
bool AprRankQueue_PopExpired(AprRankQueue_t *queue, struct timespec now,
                             uint32_t *item);
bool AprRankQueue_Remove(AprRankQueue_t *queue, int rank, uint32_t item);
/* Frees the slot of a dispatched item of this rank. A negative `service_ms`
   means that the item did not reach the backend server and gives no sample of
   the service time. */
void AprRankQueue_Finish(AprRankQueue_t *queue, int rank, double service_ms);
uint32_t AprRankQueue_Size(const AprRankQueue_t *queue, int rank);
int AprRankQueue_Running(const AprRankQueue_t *queue);
double AprRankQueue_MeanServiceMs(const AprRankQueue_t *queue);
/* Returns the least urgent rank that still has room, which callers use for
   back-pressure; -1 if no rank has room. */
int AprRankQueue_LeastUrgentRankWithRoom(const AprRankQueue_t *queue);
double AprRankQueue_GuaranteedShare(const AprRankQueue_t *queue, int rank);

#endif
