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
heap_set(AprRankItems_t *items, AprRankItemSet_t *rank, uint32_t at,
         uint32_t index)
{
    rank->heap[at] = index;
    items->nodes[index].heap_index = at;
}

static void
heap_sift_up(AprRankItems_t *items, AprRankItemSet_t *rank, uint32_t at,
             uint32_t index)
{
    int64_t deadline_ns = items->nodes[index].deadline_ns;

    while (at > 0) {
        uint32_t parent = rank->heap[(at - 1) / 2];

        if (items->nodes[parent].deadline_ns <= deadline_ns) {
            break;
        }
        heap_set(items, rank, at, parent);
        at = (at - 1) / 2;
    }
    heap_set(items, rank, at, index);
}

static void
heap_sift_down(AprRankItems_t *items, AprRankItemSet_t *rank, uint32_t at,
               uint32_t index)
{
    int64_t deadline_ns = items->nodes[index].deadline_ns;
    uint32_t child;

    while ((child = 2 * at + 1) < rank->waiting_count) {
        if (child + 1 < rank->waiting_count &&
            items->nodes[rank->heap[child + 1]].deadline_ns <
                items->nodes[rank->heap[child]].deadline_ns) {
            child++;
        }
        if (items->nodes[rank->heap[child]].deadline_ns >= deadline_ns) {
            break;
        }
        heap_set(items, rank, at, rank->heap[child]);
        at = child;
    }
    heap_set(items, rank, at, index);
}

static void
heap_remove(AprRankItems_t *items, AprRankItemSet_t *rank, uint32_t index)
{
    uint32_t at = items->nodes[index].heap_index;
    uint32_t moved = rank->heap[--rank->waiting_count];

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
init_free_list(AprRankItems_t *items, uint32_t count)
{
    for (uint32_t i = 0; i < count; i++) {
        items->nodes[i].next = i + 1 < count ? i + 1 : APR_NO_NODE;
    }
    items->free_node = 0;
}

/* Initializes a table with room for `capacity_per_rank` items in each rank.
   Returns false when memory runs out; the caller has to call
   AprRankItems_Clear in either case. */
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
    init_free_list(items, count);
    for (int i = 0; i < rank_count; i++) {
        AprRankItemSet_t *rank = &items->ranks[i];

        rank->waiting = (AprItemList_t){APR_NO_NODE, APR_NO_NODE};
        rank->heap = calloc(capacity_per_rank, sizeof(*rank->heap));
        if (rank->heap == NULL) {
            return false;
        }
    }
    return true;
}

/* Frees the memory that a table owns, but not the table itself. */
void
AprRankItems_Clear(AprRankItems_t *items)
{
    for (int i = 0; i < APR_MAX_RANKS; i++) {
        free(items->ranks[i].heap);
    }
    g_hash_table_destroy(items->by_item);
    free(items->nodes);
}

/* Returns the index of the node of an item, APR_NO_NODE when the item is not
   in the table. */
uint32_t
AprRankItems_Find(const AprRankItems_t *items, uint32_t item)
{
    uint32_t found = GPOINTER_TO_UINT(
        g_hash_table_lookup(items->by_item, GUINT_TO_POINTER(item)));

    return found == 0 ? APR_NO_NODE : found - 1;
}

/* Adds an item. The caller makes sure that the item is not in the table yet
   and that the rank has room. */
void
AprRankItems_Add(AprRankItems_t *items, int rank, uint32_t item,
                 int64_t deadline_ns)
{
    uint32_t index = items->free_node;
    AprItemNode_t *node = &items->nodes[index];
    AprRankItemSet_t *own = &items->ranks[rank];

    items->free_node = node->next;
    node->item = item;
    node->rank = rank;
    node->deadline_ns = deadline_ns;
    list_append(items, &own->waiting, index);
    heap_sift_up(items, own, own->waiting_count++, index);
    own->size++;
    g_hash_table_insert(items->by_item, GUINT_TO_POINTER(item),
                        GUINT_TO_POINTER(index + 1));
}

/* Moves a waiting item to the list of expired items. It counts towards the
   size of its rank until AprRankItems_Remove. */
void
AprRankItems_Expire(AprRankItems_t *items, uint32_t node)
{
    AprRankItemSet_t *rank = &items->ranks[items->nodes[node].rank];

    list_unlink(items, &rank->waiting, node);
    heap_remove(items, rank, node);
    list_append(items, &items->expired, node);
}

/* Removes a waiting or expired item from the table, frees its node and returns
   the item. */
uint32_t
AprRankItems_Remove(AprRankItems_t *items, uint32_t node)
{
    AprItemNode_t *removed = &items->nodes[node];
    AprRankItemSet_t *rank = &items->ranks[removed->rank];

    if (removed->heap_index == APR_NO_NODE) {
        list_unlink(items, &items->expired, node);
    }
    else {
        list_unlink(items, &rank->waiting, node);
        heap_remove(items, rank, node);
    }
    rank->size--;
    g_hash_table_remove(items->by_item, GUINT_TO_POINTER(removed->item));
    removed->next = items->free_node;
    items->free_node = node;
    return removed->item;
}
