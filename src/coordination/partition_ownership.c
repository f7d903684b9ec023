#include "internal/core.h"
#include "internal/owned_table.h"

/* Stops serving a partition: completes its requests that aren't running with
   APR_MOVED and drops its finished outcomes. */
static void
drop_partition(AprCore_t *core, int index, int partition)
{
    AprServiceState_t *service = core->services[index];

    service->owned_epoch[partition] = 0;
    for (uint32_t handle = 0; handle < core->owned_requests->len; handle++) {
        AprOwnedRequest_t *owned = AprOwnedTable_Get(core, handle);

        /* Running requests stay in the table until their call ends. */
        if (!AprOwner_IsInPartition(owned, index, partition) ||
            owned->state == APR_OWNED_RUNNING) {
            continue;
        }
        if (owned->state == APR_OWNED_QUEUED) {
            AprRankQueue_Remove(owned->queue->rank_queue, owned->rank, handle);
        }
        AprOwner_CompleteAsMoved(core, handle, "moved");
    }
    AprOutcomes_RemoveFinished(core->outcomes, index, partition);
}

/* Moves the requests and outcomes of a hot key from its base partition to the
   hot slot that the record has bound to it. */
static void
move_key_to_hot_slot(AprCore_t *core, int index, int base, int slot,
                     uint64_t hash)
{
    AprServiceState_t *service = core->services[index];

    AprOutcomes_MoveKey(core->outcomes, index, hash, base, slot);
    AprOutcomes_RaiseFloor(core->outcomes, index, slot,
                           AprOutcomes_Floor(core->outcomes, index, base));
    for (uint32_t handle = 0; handle < core->owned_requests->len; handle++) {
        AprOwnedRequest_t *owned = AprOwnedTable_Get(core, handle);

        if (!AprOwner_IsInPartition(owned, index, base) ||
            owned->key_hash != hash) {
            continue;
        }
        if (owned->state == APR_OWNED_RUNNING) {
            service->in_flight[base]--;
            service->in_flight[slot]++;
        }
        owned->partition = slot;
    }
}

/* Takes over a partition, or accepts a new epoch of an owned one. Without the
   outcomes of the previous owner, a request with any idempotency key created
   up to now may have run there, so the outcome floor is the present time plus
   the clock skew. A partition that this incarnation has owned throughout and
   that only got a new epoch keeps its floor: only the owner can give it away,
   and it would then return with another handover id. A new hot slot takes its
   key's outcomes and floor from the base partition if that is owned here. */
static void
take_over_partition(AprCore_t *core, int index, const AprServiceTable_t *table,
                    int partition)
{
    AprServiceState_t *service = core->services[index];
    const AprPartitionEntry_t *entry = &table->partitions[partition];
    int slot = partition - APR_PARTITIONS;

    bool continued = service->owned_epoch[partition] != 0 &&
                     service->owned_move_id[partition] == entry->handover_id;

    service->owned_move_id[partition] = entry->handover_id;
    if (continued || (entry->handover_id != 0 &&
                      AprHandover_ImportStaged(core, index, partition,
                                               entry->handover_id))) {
        service->owned_epoch[partition] = entry->epoch;
        return;
    }
    if (slot >= 0 && table->hot_slot_used[slot]) {
        uint64_t hash = table->hot_slot_key_hash[slot];
        int base = (int)(hash % APR_PARTITIONS);

        if (service->owned_epoch[partition] == 0 &&
            service->owned_epoch[base] != 0 &&
            table->partitions[base].epoch == service->owned_epoch[base]) {
            move_key_to_hot_slot(core, index, base, slot + APR_PARTITIONS,
                                 hash);
            service->owned_epoch[partition] = entry->epoch;
            return;
        }
    }
    AprOutcomes_RaiseFloor(core->outcomes, index, partition,
                           AprClock_WallMs(&core->clock) + APR_CLOCK_SKEW_MS);
    service->owned_epoch[partition] = entry->epoch;
}

/* Moves the requests and outcomes of a freed hot slot back to the base
   partition of its key, which this process owns too. */
static void
move_key_to_base_partition(AprCore_t *core, int index, int partition,
                           uint64_t hash)
{
    AprServiceState_t *service = core->services[index];
    int base = (int)(hash % APR_PARTITIONS);

    AprOutcomes_MoveKey(core->outcomes, index, hash, partition, base);
    AprOutcomes_RaiseFloor(
        core->outcomes, index, base,
        MAX(AprOutcomes_Floor(core->outcomes, index, base),
            AprOutcomes_Floor(core->outcomes, index, partition)));
    for (uint32_t handle = 0; handle < core->owned_requests->len; handle++) {
        AprOwnedRequest_t *owned = AprOwnedTable_Get(core, handle);

        if (AprOwner_IsInPartition(owned, index, partition)) {
            if (owned->state == APR_OWNED_RUNNING) {
                service->in_flight[partition]--;
                service->in_flight[base]++;
            }
            owned->partition = base;
        }
    }
    service->owned_epoch[partition] = 0;
}

/* Returns whether a newer record has freed a hot slot whose base partition
   this process owns. Stores the hash of the slot's key in `hash`. */
static bool
was_hot_slot_freed(const AprCore_t *core, const AprRecord_t *previous,
                   int index, const AprServiceTable_t *table, int partition,
                   uint64_t *hash)
{
    int slot = partition - APR_PARTITIONS;
    int old = AprRecord_FindService(previous, table->name);

    if (slot < 0 || old < 0 || table->hot_slot_used[slot] ||
        !previous->services[old].hot_slot_used[slot]) {
        return false;
    }
    *hash = previous->services[old].hot_slot_key_hash[slot];
    return core->services[index]->owned_epoch[*hash % APR_PARTITIONS] != 0;
}

static void
update_partition_ownership(AprCore_t *core, const AprRecord_t *previous,
                           int index, const AprServiceTable_t *table,
                           int partition, AprMember_t self)
{
    const AprPartitionEntry_t *entry = &table->partitions[partition];
    uint64_t *owned_epoch = &core->services[index]->owned_epoch[partition];
    uint64_t hash;
    bool owned_here = self != APR_NO_MEMBER && entry->owner == self;

    if (owned_here && *owned_epoch != entry->epoch) {
        core->services[index]->owned_since[partition] = AprCore_Now(core);
        take_over_partition(core, index, table, partition);
    }
    else if (!owned_here && *owned_epoch != 0) {
        if (was_hot_slot_freed(core, previous, index, table, partition,
                               &hash)) {
            move_key_to_base_partition(core, index, partition, hash);
        }
        else {
            drop_partition(core, index, partition);
        }
    }
}

static void
drop_service(AprCore_t *core, int index)
{
    for (int p = 0; p < APR_SLOTS; p++) {
        if (core->services[index]->owned_epoch[p] != 0) {
            drop_partition(core, index, p);
        }
    }
}

/* Takes over, keeps or drops partitions according to a newer record.
   `previous` is the record before it. */
void
AprOwner_OnRecord(AprCore_t *core, const AprRecord_t *previous)
{
    AprMember_t self = AprCore_FindSelf(core);

    for (int i = 0; i < core->record->service_count; i++) {
        AprCore_AddService(core, core->record->services[i].name);
    }
    for (int i = 0; i < core->service_count; i++) {
        int index = AprRecord_FindService(core->record,
                                          core->services[i]->config.service);

        if (index < 0) {
            drop_service(core, i);
            continue;
        }
        for (int p = 0; p < APR_SLOTS; p++) {
            update_partition_ownership(
                core, previous, i, &core->record->services[index], p, self);
        }
    }
}
