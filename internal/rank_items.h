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
    uint32_t next;       /* also links the free nodes */
    uint32_t heap_index; /* APR_NO_NODE: the item has expired */
    int64_t deadline_ns;
    int rank;
} AprItemNode_t;

typedef struct AprItemList_t {
    uint32_t first;
    uint32_t last;
} AprItemList_t;

/* The items of one rank: in order of arrival in `waiting`, and by deadline in
   a binary heap, which finds those that cannot be met any more. */
typedef struct AprItemRank_t {
    AprItemList_t waiting;
    uint32_t *heap;
    uint32_t waits; /* items that wait for dispatch */
    uint32_t size;  /* these and the expired ones */
} AprItemRank_t;

/* Table of the queued items of all ranks, bounded per rank. Handles are
   indices of nodes. */
typedef struct AprRankItems_t {
    AprItemNode_t *nodes;
    uint32_t free_node;
    GHashTable *by_item; /* item -> node + 1 */
    AprItemList_t expired;
    AprItemRank_t ranks[APR_MAX_RANKS];
} AprRankItems_t;

bool AprRankItems_Init(AprRankItems_t *items, int rank_count,
                       uint32_t capacity_per_rank);
void AprRankItems_Clear(AprRankItems_t *items);
uint32_t AprRankItems_Find(const AprRankItems_t *items, uint32_t item);
void AprRankItems_Add(AprRankItems_t *items, int rank, uint32_t item,
                      int64_t deadline_ns);
void AprRankItems_Expire(AprRankItems_t *items, uint32_t node);
uint32_t AprRankItems_Take(AprRankItems_t *items, uint32_t node);

#endif
