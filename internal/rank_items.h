#ifndef APRICOT_INTERNAL_RANK_ITEMS_H
#define APRICOT_INTERNAL_RANK_ITEMS_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "apricot/rank_queue.h"

#define APR_NO_NODE UINT32_MAX

typedef struct AprItemNode_t {
    uint32_t item;
    uint32_t previous;
    uint32_t next;       /* next node of the list or of the free list */
    uint32_t heap_index; /* APR_NO_NODE once the item has expired */
    int64_t deadline_ns;
    int rank;
} AprItemNode_t;

typedef struct AprItemList_t {
    uint32_t first;
    uint32_t last;
} AprItemList_t;

/* The items of one rank. `waiting` lists them in order of arrival; `heap` is a
   binary min-heap by deadline, which finds the items that can no longer meet
   theirs. */
typedef struct AprRankItemSet_t {
    AprItemList_t waiting;
    uint32_t *heap;
    uint32_t waiting_count; /* items that wait for dispatch */
    uint32_t size;          /* waiting and expired items */
} AprRankItemSet_t;

/* Table of the queued items of all ranks, with a bounded number per rank.
   Callers refer to an entry by the index of its node. */
typedef struct AprRankItems_t {
    AprItemNode_t *nodes;
    uint32_t free_node;
    GHashTable *by_item; /* maps an item to the index of its node plus 1 */
    AprItemList_t expired;
    AprRankItemSet_t ranks[APR_MAX_RANKS];
} AprRankItems_t;

bool AprRankItems_Init(AprRankItems_t *items, int rank_count,
                       uint32_t capacity_per_rank);
void AprRankItems_Clear(AprRankItems_t *items);
uint32_t AprRankItems_Find(const AprRankItems_t *items, uint32_t item);
void AprRankItems_Add(AprRankItems_t *items, int rank, uint32_t item,
                      int64_t deadline_ns);
void AprRankItems_Expire(AprRankItems_t *items, uint32_t node);
uint32_t AprRankItems_Remove(AprRankItems_t *items, uint32_t node);

#endif
