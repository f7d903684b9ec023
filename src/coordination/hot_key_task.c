#include <stdlib.h>
#include <string.h>

#include "internal/core.h"

#define HOT_KEY_CHECK_INTERVAL_MS 1000
#define DECAY_INTERVAL_MS 5000
/* With fewer requests, the share of a key isn't significant. */
#define MIN_SAMPLE_REQUESTS 200.0
/* Part of the hot share below which a key is merged back; the hysteresis
   prevents flapping. */
#define MERGE_SHARE_FACTOR 0.25
#define MAX_SPLIT_CANDIDATES 4

/* A change of the record that binds or frees one hot slot. */
typedef struct HotSlotChange_t {
    int service; /* index in AprCore_t.services */
    uint64_t key_hash;
    int partition; /* of the slot to free; 0: bind a slot */
} HotSlotChange_t;

static int
apply_slot_binding(AprCore_t *core, AprRecord_t *record, void *argument)
{
    const HotSlotChange_t *change = argument;
    const AprServiceState_t *state = core->services[change->service];
    int service = AprRecord_FindService(record, state->config.service);
    int base = (int)(change->key_hash % APR_PARTITIONS);
    int slot;

    if (service < 0) {
        return APR_E_STALE;
    }
    if (AprRecord_FindPartition(record, service, change->key_hash) != base) {
        return APR_E_EXISTS;
    }
    if (record->services[service].partitions[base].epoch !=
            state->owned_epoch[base] ||
        state->held_by_move[base] != 0) {
        return APR_E_STALE;
    }
    return AprRecord_BindHotSlot(record, service, change->key_hash, &slot);
}

static void
on_slot_bound(AprCore_t *core, int result, void *argument)
{
    HotSlotChange_t *change = argument;

    AprLog_Write(APR_LOG_INFO, "hot-key-split",
                 "service=%s key_hash=%016" PRIx64 " result=%s",
                 core->services[change->service]->config.service,
                 change->key_hash, AprError_Name(result));
    core->hot_key_change_queued = false;
    free(change);
}

static int
apply_slot_release(AprCore_t *core, AprRecord_t *record, void *argument)
{
    const HotSlotChange_t *change = argument;
    const AprServiceState_t *state = core->services[change->service];
    int service = AprRecord_FindService(record, state->config.service);
    int slot = change->partition - APR_PARTITIONS;
    int base = (int)(change->key_hash % APR_PARTITIONS);

    if (service < 0) {
        return APR_E_STALE;
    }
    if (!record->services[service].hot_slot_used[slot] ||
        record->services[service].hot_slot_key_hash[slot] !=
            change->key_hash) {
        return APR_E_EXISTS;
    }
    if (record->services[service].partitions[base].epoch !=
            state->owned_epoch[base] ||
        record->services[service].partitions[change->partition].epoch !=
            state->owned_epoch[change->partition]) {
        return APR_E_STALE;
    }
    return AprRecord_FreeHotSlot(record, service, change->partition);
}

static void
on_slot_freed(AprCore_t *core, int result, void *argument)
{
    HotSlotChange_t *change = argument;

    AprLog_Write(APR_LOG_INFO, "hot-key-merged",
                 "service=%s key_hash=%016" PRIx64 " result=%s",
                 core->services[change->service]->config.service,
                 change->key_hash, AprError_Name(result));
    core->hot_key_change_queued = false;
    free(change);
}

/* Queues a change of the record, one at a time: frees the hot slot of
   `partition`, or binds the key to a free slot when `partition` is 0. */
static void
queue_slot_change(AprCore_t *core, int index, uint64_t key_hash, int partition)
{
    HotSlotChange_t *change = calloc(1, sizeof(*change));

    if (change == NULL || core->hot_key_change_queued) {
        free(change);
        return;
    }
    change->service = index;
    change->key_hash = key_hash;
    change->partition = partition;
    core->hot_key_change_queued = true;
    if (partition == 0) {
        AprRecordSync_QueueChange(core, apply_slot_binding, on_slot_bound,
                                  change);
    }
    else {
        AprRecordSync_QueueChange(core, apply_slot_release, on_slot_freed,
                                  change);
    }
}

/* Moves the hot slot of a key that stays hot to a member chosen for it, so
   that it no longer shares an owner with its base partition. */
static void
move_hot_slot(AprCore_t *core, int index, int record_service, int partition)
{
    AprMember_t self = AprCore_FindSelf(core);
    AprMember_t to =
        AprPlacement_ChooseForHotKey(core->record, record_service, self);
    uint16_t moved = (uint16_t)partition;

    if (to != APR_NO_MEMBER && to != self) {
        AprHandover_Start(core, index, to, &moved, 1);
    }
}

static void
split_hot_keys(AprCore_t *core, int index, int record_service)
{
    AprServiceState_t *service = core->services[index];
    AprHotKey_t keys[MAX_SPLIT_CANDIDATES];
    int count;

    if (AprHotKeys_Total(service->hot_keys) < MIN_SAMPLE_REQUESTS) {
        return;
    }
    count = AprHotKeys_ListAbove(service->hot_keys, service->config.hot_share,
                                 keys, MAX_SPLIT_CANDIDATES);
    for (int i = 0; i < count; i++) {
        int partition = AprRecord_FindPartition(core->record, record_service,
                                                keys[i].key_hash);

        if (partition < APR_PARTITIONS &&
            AprOwner_Owns(core, index, partition)) {
            queue_slot_change(core, index, keys[i].key_hash, 0);
        }
    }
}

/* Returns the decayed request count of a key, or 0 when it isn't tracked. */
static double
get_request_count(const AprServiceState_t *service, uint64_t key_hash)
{
    AprHotKey_t keys[APR_HOT_KEY_ENTRIES];
    int count = AprHotKeys_ListAbove(service->hot_keys, 0.0, keys,
                                     APR_HOT_KEY_ENTRIES);

    for (int i = 0; i < count; i++) {
        if (keys[i].key_hash == key_hash) {
            return keys[i].count;
        }
    }
    return 0.0;
}

/* Merges a key that is no longer hot into its base partition: moves the slot
   to the base partition's owner, which then frees it, or frees it when that is
   this process. */
static void
merge_hot_slot(AprCore_t *core, int index, int record_service, int partition)
{
    const AprServiceTable_t *table = &core->record->services[record_service];
    uint64_t hash = table->hot_slot_key_hash[partition - APR_PARTITIONS];
    int base = (int)(hash % APR_PARTITIONS);
    uint16_t moved = (uint16_t)partition;

    if (table->partitions[base].owner == table->partitions[partition].owner) {
        queue_slot_change(core, index, hash, partition);
    }
    else if (table->partitions[base].owner != APR_NO_MEMBER) {
        AprHandover_Start(core, index, table->partitions[base].owner, &moved,
                          1);
    }
}

static void
update_hot_slots(AprCore_t *core, int index, int record_service)
{
    const AprServiceTable_t *table = &core->record->services[record_service];
    const AprServiceState_t *service = core->services[index];
    double total = AprHotKeys_Total(service->hot_keys);

    for (int slot = 0; slot < APR_HOT_SLOTS; slot++) {
        int partition = APR_PARTITIONS + slot;
        double share;
        int64_t age_ms;

        if (!table->hot_slot_used[slot] ||
            !AprOwner_Owns(core, index, partition) ||
            service->held_by_move[partition] != 0) {
            continue;
        }
        share =
            total < MIN_SAMPLE_REQUESTS
                ? 0.0
                : get_request_count(service, table->hot_slot_key_hash[slot]) /
                      total;
        age_ms =
            AprTime_DiffMs(AprCore_Now(core), service->owned_since[partition]);
        if (share >= service->config.hot_share &&
            AprOwner_Owns(
                core, index,
                (int)(table->hot_slot_key_hash[slot] % APR_PARTITIONS))) {
            move_hot_slot(core, index, record_service, partition);
        }
        /* A new owner needs time until its sketch has counted the key. */
        else if (share < service->config.hot_share * MERGE_SHARE_FACTOR &&
                 age_ms > 2 * DECAY_INTERVAL_MS) {
            merge_hot_slot(core, index, record_service, partition);
        }
    }
}

static void
decay_request_counts(AprCore_t *core)
{
    for (int i = 0; i < core->service_count; i++) {
        AprHotKeys_Decay(core->services[i]->hot_keys);
    }
}

/* Gives hot keys of this process's partitions a hot slot of their own, and
   merges keys that are no longer hot into their base partition. */
void
AprHotKeyTask_Tick(AprCore_t *core)
{
    struct timespec now = AprCore_Now(core);

    if (!AprTime_IsBefore(now, core->next_hot_decay)) {
        core->next_hot_decay = AprTime_AddMs(now, DECAY_INTERVAL_MS);
        decay_request_counts(core);
    }
    if (AprTime_IsBefore(now, core->next_hot_check) ||
        !core->store_available || core->hot_key_change_queued ||
        atomic_load(&core->draining) || !AprLease_IsValid(core->lease, now)) {
        return;
    }
    core->next_hot_check = AprTime_AddMs(now, HOT_KEY_CHECK_INTERVAL_MS);
    for (int i = 0; i < core->service_count; i++) {
        int service = AprRecord_FindService(core->record,
                                            core->services[i]->config.service);

        if (service >= 0 && core->services[i]->config.generation > 0) {
            split_hot_keys(core, i, service);
            update_hot_slots(core, i, service);
        }
    }
}
