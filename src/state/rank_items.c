#include "internal/rank_items.h"

#include <stdlib.h>

static void
list_append(AprRankItems_t *items, AprItemList_t *list, uint32_t index)
{
    AprItemNode_t *node = &items->nodes[index];

    node->previous = list->last;
    node->next = APR_NO_NODE;
    if (list->last == APR_NO_NODE) {
        list->first = index;
    }
    else {
        items->nodes[list->last].next = index;
    }
    list->last = index;
}

static void
list_unlink(AprRankItems_t *items, AprItemList_t *list, uint32_t index)
{
    AprItemNode_t *node = &items->nodes[index];

    if (node->previous == APR_NO_NODE) {
        list->first = node->next;
    }
    else {
        items->nodes[node->previous].next = node->next;
    }
    if (node->next == APR_NO_NODE) {
        list->last = node->previous;
    }
    else {
        items->nodes[node->next].previous = node->previous;
    }
}

static void
heap_put(AprRankItems_t *items, AprItemRank_t *rank, uint32_t at,
         uint32_t index)
{
    rank->heap[at] = index;
    items->nodes[index].heap_index = at;
}

static void
heap_sift_up(AprRankItems_t *items, AprItemRank_t *rank, uint32_t at,
             uint32_t index)
{
    int64_t deadline_ns = items->nodes[index].deadline_ns;

    while (at > 0) {
        uint32_t parent = rank->heap[(at - 1) / 2];

        if (items->nodes[parent].deadline_ns <= deadline_ns) {
            break;
        }
        heap_put(items, rank, at, parent);
        at = (at - 1) / 2;
    }
    heap_put(items, rank, at, index);
}

static void
heap_sift_down(AprRankItems_t *items, AprItemRank_t *rank, uint32_t at,
               uint32_t index)
{
    int64_t deadline_ns = items->nodes[index].deadline_ns;
    uint32_t child;

    while ((child = 2 * at + 1) < rank->waits) {
        if (child + 1 < rank->waits &&
            items->nodes[rank->heap[child + 1]].deadline_ns <
                items->nodes[rank->heap[child]].deadline_ns) {
            child++;
        }
        if (items->nodes[rank->heap[child]].deadline_ns >= deadline_ns) {
            break;
        }
        heap_put(items, rank, at, rank->heap[child]);
        at = child;
    }
    heap_put(items, rank, at, index);
}

static void
heap_remove(AprRankItems_t *items, AprItemRank_t *rank, uint32_t index)
{
    uint32_t at = items->nodes[index].heap_index;
    uint32_t moved = rank->heap[--rank->waits];

    items->nodes[index].heap_index = APR_NO_NODE;
    if (moved == index) {
        return;
    }
    if (items->nodes[moved].deadline_ns < items->nodes[index].deadline_ns) {
        heap_sift_up(items, rank, at, moved);
    }
    else {
        heap_sift_down(items, rank, at, moved);
    }
}

static void
link_free_nodes(AprRankItems_t *items, uint32_t count)
{
    for (uint32_t i = 0; i < count; i++) {
        items->nodes[i].next = i + 1 < count ? i + 1 : APR_NO_NODE;
    }
    items->free_node = 0;
}

/* Prepares a table with room for `capacity_per_rank` items in each rank.
   Returns false when memory runs out; AprRankItems_Clear is then still due. */
bool
AprRankItems_Init(AprRankItems_t *items, int rank_count,
                  uint32_t capacity_per_rank)
{
    uint32_t count = (uint32_t)rank_count * capacity_per_rank;

    items->expired = (AprItemList_t){APR_NO_NODE, APR_NO_NODE};
    items->by_item = g_hash_table_new(g_direct_hash, g_direct_equal);
    items->nodes = calloc(count, sizeof(*items->nodes));
    if (items->nodes == NULL) {
        return false;
    }
    link_free_nodes(items, count);
    for (int i = 0; i < rank_count; i++) {
        AprItemRank_t *rank = &items->ranks[i];

        rank->waiting = (AprItemList_t){APR_NO_NODE, APR_NO_NODE};
        rank->heap = calloc(capacity_per_rank, sizeof(*rank->heap));
        if (rank->heap == NULL) {
            return false;
        }
    }
    return true;
}

/* Frees the memory of a table. */
void
AprRankItems_Clear(AprRankItems_t *items)
{
    for (int i = 0; i < APR_MAX_RANKS; i++) {
        free(items->ranks[i].heap);
    }
    g_hash_table_destroy(items->by_item);
    free(items->nodes);
}

/* The node of an item, APR_NO_NODE when it is not in the table. */
uint32_t
AprRankItems_Find(const AprRankItems_t *items, uint32_t item)
{
    uint32_t found = GPOINTER_TO_UINT(
        g_hash_table_lookup(items->by_item, GUINT_TO_POINTER(item)));

    return found == 0 ? APR_NO_NODE : found - 1;
}

/* Adds an item that is not in the table, to a rank that has room. */
void
AprRankItems_Add(AprRankItems_t *items, int rank, uint32_t item,
                 int64_t deadline_ns)
{
    uint32_t index = items->free_node;
    AprItemNode_t *node = &items->nodes[index];
    AprItemRank_t *own = &items->ranks[rank];

    items->free_node = node->next;
    node->item = item;
    node->rank = rank;
    node->deadline_ns = deadline_ns;
    list_append(items, &own->waiting, index);
    heap_sift_up(items, own, own->waits++, index);
    own->size++;
    g_hash_table_insert(items->by_item, GUINT_TO_POINTER(item),
                        GUINT_TO_POINTER(index + 1));
}

/* Moves a waiting item to the list of expired ones; it keeps its place in the
   rank until it is taken. */
void
AprRankItems_Expire(AprRankItems_t *items, uint32_t node)
{
    AprItemRank_t *rank = &items->ranks[items->nodes[node].rank];

    list_unlink(items, &rank->waiting, node);
    heap_remove(items, rank, node);
    list_append(items, &items->expired, node);
}

/* Takes a waiting or an expired item out of the table and returns it. */
uint32_t
AprRankItems_Take(AprRankItems_t *items, uint32_t node)
{
    AprItemNode_t *taken = &items->nodes[node];
    AprItemRank_t *rank = &items->ranks[taken->rank];

    if (taken->heap_index == APR_NO_NODE) {
        list_unlink(items, &items->expired, node);
    }
    else {
        list_unlink(items, &rank->waiting, node);
        heap_remove(items, rank, node);
    }
    rank->size--;
    g_hash_table_remove(items->by_item, GUINT_TO_POINTER(taken->item));
    taken->next = items->free_node;
    items->free_node = node;
    return taken->item;
}
