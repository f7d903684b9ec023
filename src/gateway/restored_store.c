/* Recovery after the store has come back from an older copy: joins what the
   copy holds of the key maps with what is known here, writes back what it
   lacks, and settles the era (docs/store-restore.md). */

#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "apricot/error.h"
#include "apricot/log.h"
#include "internal/lease_timing.h"
#include "internal/ownership_state.h"
#include "internal/store_cache_state.h"

/* Pause after an attempt to settle an era that failed. */
#define SETTLEMENT_RETRY_MS 500

/* Returns the newest known era of the store; 0 if it names none. */
int64_t
AprOwnership_Era(const AprOwnership_t *ownership)
{
    return ownership->restore.era;
}

/* Returns whether this process has started since the store came back from an
   older copy, and the store may lack what others know. */
bool
AprOwnership_KnowsOnlyCopy(const AprOwnership_t *ownership)
{
    return AprStoreRestore_KnowsOnlyCopy(&ownership->restore);
}

/* Returns whether all items of the present era have been read. */
static bool
is_era_read(const AprOwnership_t *ownership)
{
    const AprStoreCache_t *cache = ownership->gateway->store_cache;

    return AprStoreCache_IsLoaded(cache) &&
           AprRevision_Era(AprStoreCache_PrefixRevision(cache)) ==
               ownership->restore.era;
}

/* Returns whether the store has all that is known here of the own service's
   key map, or the era is settled. */
bool
AprOwnership_IsMapSaved(AprOwnership_t *ownership)
{
    const AprServiceKeyMap_t *entry;

    if (!AprStoreRestore_IsOpen(&ownership->restore)) {
        return true;
    }
    entry = AprOwnership_FindOwnMap(ownership);
    return is_era_read(ownership) &&
           (entry == NULL || entry->unsaved_parts == 0);
}

/* Returns whether this host may give its keys to other hosts: it knows who
   holds them, and the store has its claim and its part of the key map. */
bool
AprOwnership_MayMoveOwnKeys(AprOwnership_t *ownership)
{
    return !ownership->generation_record.claim_lost &&
           !AprStoreRestore_AreHoldersUnknown(&ownership->restore) &&
           AprOwnership_IsMapSaved(ownership);
}

/* Handles a change of a part that the store does not have. */
static void
mark_unsaved(AprOwnership_t *ownership, AprServiceKeyMap_t *entry, int part)
{
    entry->unsaved_parts |= 1u << part;
    AprOwnership_OnPartChanged(ownership, entry, part, entry->revisions[part]);
}

/* Takes over the open change of own keys as if it had been made: the store may
   have accepted it before it came back, and other hosts may have seen it. */
static void
join_own_proposal(AprOwnership_t *ownership)
{
    AprServiceKeyMap_t *entry = AprOwnership_FindOwnMap(ownership);
    AprKeyMap_t before;

    if (!ownership->has_proposal || entry == NULL ||
        AprKeyMap_Copy(&before, &entry->map) != APR_OK) {
        return;
    }
    for (int part = 0; part < APR_KEY_PARTS; part++) {
        if ((ownership->proposal_parts & (1u << part)) != 0 &&
            AprKeyMap_JoinPart(&entry->map, &ownership->proposal, part,
                               AprOwnership_OwnHost(ownership)) != APR_OK) {
            AprLog_Write(APR_LOG_ERROR, "keys_no_memory", "part=%d", part);
        }
    }
    AprOwnership_DropProposal(ownership);
    for (int part = 0; part < APR_KEY_PARTS; part++) {
        if ((AprKeyMap_ChangedParts(&before, &entry->map) & (1u << part)) !=
            0) {
            mark_unsaved(ownership, entry, part);
        }
    }
    AprKeyMap_Free(&before);
    if (!ownership->change_in_flight) {
        AprOwnership_SettleEarlyReleases(ownership);
        AprHotRangePlanner_OnChangeDone(&ownership->hot_ranges, false,
                                        g_random_int(),
                                        AprOwnership_NowMs(ownership));
    }
}

/* Records the era in which the store has answered. If it has come back from an
   older copy, nothing that the store has acknowledged in an earlier era counts
   any more. */
void
AprOwnership_NoticeEra(AprOwnership_t *ownership, int64_t era)
{
    AprStoreRestore_t *restore = &ownership->restore;
    int64_t now_ms = AprOwnership_NowMs(ownership);
    int64_t earlier = restore->era;
    bool kept;
    bool returned;

    if (era < 0 || (restore->known && era <= earlier)) {
        return;
    }
    kept = !AprGrantTable_IsTakeoverPossible(&ownership->grant_table, now_ms);
    returned =
        AprStoreRestore_Notice(restore, era, kept, g_random_int(), now_ms);
    for (int i = 0; i < ownership->map_count; i++) {
        AprKeyMap_RaiseFence(&ownership->maps[i].map, era);
    }
    if (!returned) {
        return;
    }
    AprLog_Write(APR_LOG_WARN, "store_restored",
                 "era=%lld was=%lld kept_authority=%d open_change=%d "
                 "claimed=%d",
                 (long long)era, (long long)earlier, kept,
                 ownership->has_proposal,
                 ownership->generation_record.claimed);
    AprGateway_IncrementCounter(ownership->gateway, "store_restores_total",
                                "");
    AprRemovalQueue_CancelAll(&ownership->removal_queue);
    AprGenerationRecord_OnStoreRestored(&ownership->generation_record);
    join_own_proposal(ownership);
}

/* Replaces a part of a key map by the stored one of the given revision. While
   the store may lack assignments, later ones that are known here stay in
   force. */
void
AprOwnership_AdoptPart(AprOwnership_t *ownership, AprServiceKeyMap_t *entry,
                       const AprKeyMap_t *stored, int part, int64_t revision)
{
    bool open = AprStoreRestore_IsOpen(&ownership->restore);
    uint32_t bit = 1u << part;
    uint32_t unsaved = 0;
    int result = open ? AprKeyMap_JoinPart(&entry->map, stored, part, NULL)
                      : AprKeyMap_CopyPart(&entry->map, stored, part);

    if (result != APR_OK) {
        AprLog_Write(APR_LOG_ERROR, "keys_no_memory", "part=%d", part);
        return;
    }
    if (open) {
        unsaved = AprKeyMap_ChangedParts(&entry->map, stored) & bit;
    }
    /* A previous holder that was started since the return learns of the
       assignment only now. */
    if (AprOwnership_IsOwnService(ownership, entry->service) &&
        ((entry->unsaved_parts & ~unsaved & bit) != 0 ||
         AprRevision_Era(revision) !=
             AprRevision_Era(entry->revisions[part]))) {
        AprGrantTable_RestartWaits(&ownership->grant_table, part);
    }
    entry->unsaved_parts = (entry->unsaved_parts & ~bit) | unsaved;
    AprOwnership_OnPartChanged(ownership, entry, part, revision);
}

/* Records the keys that a heartbeat reports as held, with the fencing tokens
   of the key map. Returns the highest generation of the tokens. */
static int64_t
record_held_keys(AprOwnership_t *ownership, const AprHeartbeat_t *heartbeat)
{
    int64_t generation = 0;

    ownership->reported_key_count = 0;
    free(ownership->reported_keys);
    ownership->reported_keys = calloc((size_t)heartbeat->held_count + 1,
                                      sizeof(*ownership->reported_keys));
    if (ownership->reported_keys == NULL) {
        return 0;
    }
    for (int i = 0; i < heartbeat->held_count; i++) {
        const AprGrant_t *held = &heartbeat->held[i];
        AprKeyRange_t *range =
            &ownership->reported_keys[ownership->reported_key_count++];

        range->first = held->first;
        range->last = held->last;
        range->fence = held->fence / APR_GENERATIONS_PER_FENCE;
        generation = MAX(generation, held->fence % APR_GENERATIONS_PER_FENCE);
    }
    return generation;
}

/* Joins the keys that the backend server holds with the key map while the
   store may lack their assignments. They are all that is left of these when
   every process that knew them has been restarted. */
void
AprOwnership_JoinHeldKeys(AprOwnership_t *ownership,
                          const AprHeartbeat_t *heartbeat)
{
    AprServiceKeyMap_t *entry = AprOwnership_FindOwnMap(ownership);
    AprKeyMap_t before;
    uint32_t changed;

    if (!AprStoreRestore_IsOpen(&ownership->restore) ||
        !AprOwnership_IsKeyed(ownership)) {
        return;
    }
    AprGenerationRecord_AdoptHeld(&ownership->generation_record,
                                  &ownership->incarnation,
                                  record_held_keys(ownership, heartbeat));
    if (entry == NULL && ownership->reported_key_count > 0) {
        entry = AprOwnership_AddMap(
            ownership, ownership->gateway->settings.backend_service);
    }
    if (entry == NULL || AprKeyMap_Copy(&before, &entry->map) != APR_OK) {
        return;
    }
    for (int i = 0; i < ownership->reported_key_count; i++) {
        const AprKeyRange_t *held = &ownership->reported_keys[i];

        if (AprKeyMap_JoinHeld(&entry->map, held->first, held->last,
                               held->fence,
                               AprOwnership_OwnHost(ownership)) != APR_OK) {
            AprLog_Write(APR_LOG_ERROR, "held_keys_invalid",
                         "first=%d last=%d fence=%lld", held->first,
                         held->last, (long long)held->fence);
        }
    }
    changed = AprKeyMap_ChangedParts(&before, &entry->map);
    for (int part = 0; part < APR_KEY_PARTS; part++) {
        if ((changed & (1u << part)) != 0) {
            mark_unsaved(ownership, entry, part);
        }
    }
    AprKeyMap_Free(&before);
}

/* Replaces a part by what the store has, which counts from now on. */
static void
restore_stored_part(AprOwnership_t *ownership, AprServiceKeyMap_t *entry,
                    int part)
{
    AprStoreCache_t *cache = ownership->gateway->store_cache;
    char key[APR_STORE_KEY_SIZE];
    const AprItem_t *item = AprStoreCache_FindItem(
        cache, AprStoreCache_FormatKeyMapKey(cache, entry->service, part, key,
                                             sizeof(key)));
    AprKeyMap_t stored;

    if (AprKeyMap_Init(&stored) != APR_OK) {
        return;
    }
    if (item == NULL || item->removed ||
        AprKeyMap_ParsePart(&stored, part, item->value, item->value_size) ==
            APR_OK) {
        AprOwnership_AdoptPart(ownership, entry, &stored, part,
                               entry->revisions[part]);
    }
    AprKeyMap_Free(&stored);
}

/* Applies the item that names the newest settled era. When the present one is
   settled, assignments that only this host knows are void. */
void
AprOwnership_ApplySettledEra(AprOwnership_t *ownership,
                             const AprKvItem_t *item)
{
    AprStoreRestore_t *restore = &ownership->restore;
    int dropped = 0;

    if (item->removed ||
        !AprStoreRestore_Settle(restore,
                                g_ascii_strtoll(item->value, NULL, 10))) {
        return;
    }
    for (int i = 0; i < ownership->map_count; i++) {
        AprServiceKeyMap_t *entry = &ownership->maps[i];

        for (int part = 0; part < APR_KEY_PARTS; part++) {
            if ((entry->unsaved_parts & (1u << part)) != 0) {
                restore_stored_part(ownership, entry, part);
                dropped++;
            }
        }
    }
    ownership->reported_key_count = 0;
    AprLog_Write(
        APR_LOG_INFO, "era_settled", "era=%lld after_ms=%lld dropped_parts=%d",
        (long long)restore->era,
        (long long)(AprOwnership_NowMs(ownership) - restore->noticed_ms),
        dropped);
}

/* Fills in the condition that the era has not been settled. `key` has
   APR_STORE_KEY_SIZE and must outlive `condition`. */
static void
fill_open_condition(const AprOwnership_t *ownership, char *key,
                    AprKvCondition_t *condition)
{
    AprStoreCache_t *cache = ownership->gateway->store_cache;
    const AprItem_t *item;

    snprintf(key, APR_STORE_KEY_SIZE, "%s" APR_SETTLED_ERA_KEY,
             ownership->gateway->settings.store_prefix);
    item = AprStoreCache_FindItem(cache, key);
    condition->key = key;
    condition->revision = item == NULL || item->removed ? 0 : item->revision;
}

/* Returns whether this host owns keys in a part that the store lacks. */
static bool
has_own_unsaved_keys(const AprOwnership_t *ownership,
                     const AprServiceKeyMap_t *entry)
{
    for (int i = 0; i < entry->map.count; i++) {
        const AprKeyRange_t *range = &entry->map.ranges[i];

        for (int part = range->first / APR_KEYS_PER_PART;
             part <= range->last / APR_KEYS_PER_PART; part++) {
            if ((entry->unsaved_parts & (1u << part)) != 0 &&
                strcmp(range->host, AprOwnership_OwnHost(ownership)) == 0) {
                return true;
            }
        }
    }
    return false;
}

static void
on_era_settled(void *context, const AprKvResult_t *result)
{
    AprOwnership_t *ownership = context;
    AprStoreCache_t *cache = ownership->gateway->store_cache;

    ownership->settlement_pending = false;
    ownership->next_settlement_ms =
        AprOwnership_NowMs(ownership) + SETTLEMENT_RETRY_MS;
    AprLog_Write(APR_LOG_INFO, "settlement_done", "result=%s revision=%lld",
                 AprError_Name(result->code), (long long)result->revision);
    if (result->code == APR_OK) {
        char key[APR_STORE_KEY_SIZE];
        char value[32];
        AprKvItem_t item = {.key = key, .value = value};

        snprintf(key, sizeof(key), "%s" APR_SETTLED_ERA_KEY,
                 ownership->gateway->settings.store_prefix);
        snprintf(value, sizeof(value), "%lld",
                 (long long)AprRevision_Era(result->revision));
        item.value_size = strlen(value);
        item.revision = result->revision;
        AprStoreCache_ApplyItem(cache, &item);
    }
    AprStoreCache_ApplyConflictItems(cache, result);
}

static void
settle_era(AprOwnership_t *ownership, const AprKvCondition_t *condition)
{
    const AprKvStore_t *kv = ownership->gateway->kv;
    AprKvTransaction_t transaction = {0};
    char value[32];

    snprintf(value, sizeof(value), "%lld", (long long)ownership->restore.era);
    transaction.conditions[0] = *condition;
    transaction.condition_count = 1;
    transaction.writes[0].key = condition->key;
    transaction.writes[0].value = value;
    transaction.writes[0].value_size = strlen(value);
    transaction.write_count = 1;
    ownership->settlement_pending = true;
    kv->commit(kv->self, &transaction, on_era_settled, ownership);
}

/* Returns whether the store has never had a key map, as far as this process
   and its backend server know. */
static bool
is_first_start(const AprOwnership_t *ownership)
{
    if (ownership->restore.returned || ownership->reported_key_count > 0) {
        return false;
    }
    for (int i = 0; i < ownership->map_count; i++) {
        for (int part = 0; part < APR_KEY_PARTS; part++) {
            if (ownership->maps[i].revisions[part] != 0) {
                return false;
            }
        }
    }
    return true;
}

/* Writes back what the store lacks, and settles the era when that is due.
   Called several times a second. */
void
AprOwnership_RecoverOnTick(AprOwnership_t *ownership)
{
    AprServiceKeyMap_t *entry = AprOwnership_FindOwnMap(ownership);
    int64_t now_ms = AprOwnership_NowMs(ownership);
    char key[APR_STORE_KEY_SIZE];
    AprKvCondition_t condition;

    if (!AprStoreRestore_IsOpen(&ownership->restore) ||
        !is_era_read(ownership) || !AprKeyMoves_CanSendChange(ownership)) {
        return;
    }
    fill_open_condition(ownership, key, &condition);
    if (entry != NULL && entry->unsaved_parts != 0) {
        if (AprStoreRestore_IsSaveDue(&ownership->restore,
                                      has_own_unsaved_keys(ownership, entry),
                                      now_ms)) {
            AprKeyMoves_SaveParts(ownership, &condition);
        }
        return;
    }
    if (!ownership->settlement_pending &&
        now_ms >= ownership->next_settlement_ms &&
        AprStoreRestore_IsSettlementDue(
            &ownership->restore, is_first_start(ownership),
            AprKeyMoves_IsPlanner(ownership),
            AprGrant_LatestExpiryMs(APR_GRANT_AUTHORITY_MS,
                                    ownership->grant_table.grant_ms),
            now_ms)) {
        settle_era(ownership, &condition);
    }
}
