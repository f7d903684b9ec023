/* Changes of the key map: keys move when a backend server shuts down, when a
   host or backend server is lost, and to balance the load. */

#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "apricot/error.h"
#include "apricot/log.h"
#include "internal/lease_timing.h"
#include "internal/ownership_state.h"
#include "internal/store_cache_state.h"

/* Number of heartbeat intervals without a heartbeat after which a backend
   server counts as lost, provided that its grants have ended. */
#define MISSED_HEARTBEATS 2.5

/* Shortest time after the start of this process until keys without an owner
   are assigned, so that the backend servers can register first. */
#define FIRST_PLAN_MIN_AGE_MS 2500

/* Time for which the number of candidates must not have changed before keys
   without an owner are assigned. */
#define FIRST_PLAN_QUIET_MS 1000

/* Time after the start of this process from which keys without an owner are
   assigned even while candidates are still being added. */
#define FIRST_PLAN_MAX_AGE_MS 6000

/* Pause between two rebalancing moves of one host, in which the loads
   settle. */
#define REBALANCE_PAUSE_MS 1200

/* A random time of at most this, multiplied by the number of candidate hosts,
   is added to the pause. All hosts change the same key map, and their changes
   would conflict if they came at the same time. */
#define REBALANCE_JITTER_MS 40

/* Time for which a load report of another host is used. */
#define LOAD_REPORT_VALID_MS 3000

/* A missing host is not removed if another host heard it within this time. */
#define PEER_REPORT_VALID_MS 2000

/* Time for which a host must be missing before the other hosts are asked
   whether they hear it. */
#define PEER_QUERY_DELAY_MS 700

/* Shortest interval between two queries of the other hosts about missing
   hosts. */
#define PEER_QUERY_INTERVAL_MS 500

/* Interval of the checks for lost hosts, each of which visits all ranges of
   the key map. */
#define LOSS_CHECK_INTERVAL_MS 150

#define MAX_CANDIDATES 2048

/* Number of conditions and writes together that one change of the store may
   have. */
#define MAX_CHANGE_ENTRIES 32

/* Number of times that a change which failed with a conflict is planned again,
   on the updated key map, while the heartbeat that led to it waits. */
#define MAX_CONFLICT_RETRIES 5

/* After this many conflicts in a row a change has one part only. */
#define MAX_CONFLICT_HALVINGS 4

/* Applies the parts that a successful change wrote to the local key map, and
   frees the proposal. */
static void
apply_proposal(AprOwnership_t *ownership, AprServiceKeyMap_t *entry,
               int64_t revision)
{
    AprKeyMap_t proposal = ownership->proposal;

    ownership->has_proposal = false;
    for (int part = 0; part < APR_KEY_PARTS; part++) {
        if ((ownership->proposal_parts & (1u << part)) == 0 ||
            revision <= entry->revisions[part]) {
            continue;
        }
        AprOwnership_AdoptPart(ownership, entry, &proposal, part, revision);
    }
    AprKeyMap_Free(&proposal);
}

/* Returns whether a failed attempt shows that the proposal is not in force and
   will not be. The items of a conflict show the stored parts, and each
   condition that has failed once can never hold again: revisions only grow,
   and the entry of a host comes back only together with the removal of its
   fence. Any other failure tells about one attempt, and nothing about earlier
   ones without an answer. */
static bool
is_change_settled(const AprOwnership_t *ownership, const AprKvResult_t *result)
{
    switch (result->code) {
    case APR_E_CONFLICT:
        return result->item_count > 0 || !ownership->outcome_unknown;
    case APR_E_UNKNOWN_OUTCOME:
    case APR_E_PARSE:
        return false;
    default:
        return !ownership->outcome_unknown;
    }
}

/* Drops the proposal after a failed attempt, or keeps it, and the keys that it
   gives away withheld, until a later attempt has settled it. The first
   repetition is sent at once. */
static void
handle_failed_change(AprOwnership_t *ownership, const AprKvResult_t *result)
{
    if (is_change_settled(ownership, result)) {
        AprOwnership_DropProposal(ownership);
        return;
    }
    ownership->outcome_unknown = true;
    ownership->next_repetition_ms = AprOwnership_NowMs(ownership);
    if (ownership->change_failures++ > 0) {
        ownership->next_repetition_ms +=
            AprStoreCache_RandomBackoffMs(ownership->change_failures);
    }
}

/* Returns whether the lost host whose removal sent the last change still owns
   keys. */
static bool
has_reassigned_host_keys(AprOwnership_t *ownership)
{
    AprServiceKeyMap_t *entry = AprOwnership_FindOwnMap(ownership);
    const char *host =
        AprRemovalQueue_ReassigningHost(&ownership->removal_queue);

    return host != NULL && AprOwnership_CountKeysOf(entry, host) > 0;
}

static void
on_map_changed(void *context, const AprKvResult_t *result)
{
    AprOwnership_t *ownership = context;
    AprServiceKeyMap_t *entry = AprOwnership_FindOwnMap(ownership);

    ownership->change_in_flight = false;
    ownership->conflicts_in_row =
        result->code == APR_E_CONFLICT ? ownership->conflicts_in_row + 1 : 0;
    AprLog_Write(APR_LOG_INFO, "keys_change_done",
                 "reason=%s result=%s revision=%lld",
                 ownership->proposal_reason, AprError_Name(result->code),
                 (long long)result->revision);
    if (result->code == APR_OK && ownership->has_proposal) {
        apply_proposal(ownership, entry, result->revision);
        if (ownership->remaining_demand_share > 0) {
            ownership->demand = ownership->planned_demand;
            AprBackend_ScaleDemand(ownership->gateway->backend,
                                   ownership->remaining_demand_share);
        }
    }
    else {
        handle_failed_change(ownership, result);
    }
    ownership->remaining_demand_share = 0;
    AprStoreCache_ApplyConflictItems(ownership->gateway->store_cache, result);
    if (!ownership->has_proposal) {
        AprOwnership_SettleEarlyReleases(ownership);
        AprHotRangePlanner_OnChangeDone(&ownership->hot_ranges,
                                        result->code == APR_OK, g_random_int(),
                                        AprOwnership_NowMs(ownership));
    }
    AprRemovalQueue_OnMapChangeDone(&ownership->removal_queue,
                                    result->code == APR_OK &&
                                        !has_reassigned_host_keys(ownership));
    if (result->code == APR_E_CONFLICT && result->item_count > 0 &&
        ownership->pending_reply != NULL &&
        ownership->conflict_retries < MAX_CONFLICT_RETRIES) {
        ownership->conflict_retries++;
        if (AprKeyMoves_OnHeartbeat(ownership)) {
            return;
        }
    }
    ownership->conflict_retries = 0;
    AprOwnership_SendPendingReply(ownership);
}

/* Returns how many parts one change may have. A change of many parts fails as
   soon as another host has changed one of them. With adaptive balancing the
   parts change many times a second, so that each conflict halves the number:
   before, nine of ten changes of a host that left had conflicts. */
static int
max_changed_parts(const AprOwnership_t *ownership, int condition_count)
{
    int room = (MAX_CHANGE_ENTRIES - condition_count) / 2;

    if (AprGateway_IsBalancingAdaptive(ownership->gateway)) {
        room = MIN(room, APR_KEY_PARTS >> MIN(ownership->conflicts_in_row,
                                              MAX_CONFLICT_HALVINGS));
    }
    return room;
}

/* Returns the changed parts of `map` as a bit set. Parts beyond `room` are
   reset in `map`, and planned again later. Returns 0 when nothing changed or
   memory runs out. */
static uint32_t
limit_changed_parts(const AprServiceKeyMap_t *entry, AprKeyMap_t *map,
                    int room)
{
    uint32_t changed = AprKeyMap_ChangedParts(&entry->map, map);
    uint32_t parts = 0;

    for (int part = 0; part < APR_KEY_PARTS; part++) {
        if ((changed & (1u << part)) == 0) {
            continue;
        }
        if (room-- > 0) {
            parts |= 1u << part;
        }
        else if (AprKeyMap_CopyPart(map, &entry->map, part) != APR_OK) {
            return 0;
        }
    }
    return parts;
}

/* Adds the conditions and writes for the proposal's parts to `transaction`.
   `keys` holds the store keys and must outlive the transaction. The caller
   frees the values of the writes, also after a failure. Returns false when
   memory runs out. */
static bool
add_proposal_writes(AprOwnership_t *ownership, AprServiceKeyMap_t *entry,
                    AprKvTransaction_t *transaction,
                    char keys[][APR_STORE_KEY_SIZE])
{
    AprGateway_t *gateway = ownership->gateway;

    for (int part = 0; part < APR_KEY_PARTS; part++) {
        int at = transaction->write_count;
        char *text;

        if ((ownership->proposal_parts & (1u << part)) == 0) {
            continue;
        }
        text = AprKeyMap_SerializePart(&ownership->proposal, part);
        if (text == NULL) {
            return false;
        }
        AprStoreCache_FormatKeyMapKey(gateway->store_cache, entry->service,
                                      part, keys[at], APR_STORE_KEY_SIZE);
        transaction->conditions[transaction->condition_count].key = keys[at];
        transaction->conditions[transaction->condition_count].revision =
            ownership->proposal_base_revisions[part];
        transaction->condition_count++;
        transaction->writes[at].key = keys[at];
        transaction->writes[at].value = text;
        transaction->writes[at].value_size = strlen(text);
        transaction->write_count++;
    }
    return true;
}

/* Sends the proposal with its conditions. A repetition is the same change
   under the same conditions as the first attempt, so that only one of them can
   take effect. Returns false when memory runs out. */
static bool
send_proposal(AprOwnership_t *ownership)
{
    AprGateway_t *gateway = ownership->gateway;
    AprServiceKeyMap_t *entry = AprOwnership_FindOwnMap(ownership);
    char keys[APR_KEY_PARTS][APR_STORE_KEY_SIZE];
    AprKvTransaction_t transaction = {0};
    bool filled = add_proposal_writes(ownership, entry, &transaction, keys);

    for (int i = 0; i < ownership->change_condition_count; i++) {
        transaction.conditions[transaction.condition_count++] =
            ownership->change_conditions[i];
    }
    if (filled) {
        ownership->change_in_flight = true;
        AprLog_Write(APR_LOG_INFO, "keys_change",
                     "reason=%s parts=%x repeated=%d",
                     ownership->proposal_reason, ownership->proposal_parts,
                     ownership->change_failures);
        gateway->kv->commit(gateway->kv->self, &transaction, on_map_changed,
                            ownership);
    }
    for (int i = 0; i < transaction.write_count; i++) {
        free((char *)transaction.writes[i].value);
    }
    return filled;
}

static void
save_conditions(AprOwnership_t *ownership, const AprKvCondition_t *conditions,
                int count)
{
    ownership->change_condition_count = count;
    for (int i = 0; i < count; i++) {
        g_strlcpy(ownership->change_condition_keys[i], conditions[i].key,
                  APR_STORE_KEY_SIZE);
        ownership->change_conditions[i].key =
            ownership->change_condition_keys[i];
        ownership->change_conditions[i].revision = conditions[i].revision;
    }
}

/* Writes parts of `map` to the store on condition that the stored parts still
   have the known revisions and that `conditions` hold. There must be no open
   proposal. Takes ownership of `map`; `reason` is not copied. Returns whether
   a change was sent. */
static bool
propose_parts(AprOwnership_t *ownership, AprKeyMap_t *map, uint32_t parts,
              const char *reason, const AprKvCondition_t *conditions,
              int condition_count)
{
    AprServiceKeyMap_t *entry = AprOwnership_FindOwnMap(ownership);

    if (parts == 0) {
        AprKeyMap_Free(map);
        return false;
    }
    AprKeyMap_MergeRanges(map);
    ownership->proposal = *map;
    ownership->proposal_parts = parts;
    ownership->has_proposal = true;
    ownership->proposal_reason = reason;
    ownership->outcome_unknown = false;
    ownership->change_failures = 0;
    memcpy(ownership->proposal_base_revisions, entry->revisions,
           sizeof(entry->revisions));
    save_conditions(ownership, conditions, condition_count);
    if (!send_proposal(ownership)) {
        AprOwnership_DropProposal(ownership);
        return false;
    }
    return true;
}

/* Writes the changed parts of `map` to the store; otherwise like
   propose_parts(). */
static bool
send_map_change(AprOwnership_t *ownership, AprKeyMap_t *map,
                const char *reason, const AprKvCondition_t *conditions,
                int condition_count)
{
    AprServiceKeyMap_t *entry = AprOwnership_FindOwnMap(ownership);
    uint32_t parts = limit_changed_parts(
        entry, map, max_changed_parts(ownership, condition_count));

    return propose_parts(ownership, map, parts, reason, conditions,
                         condition_count);
}

/* Returns the lowest `count` bits of a bit set. */
static uint32_t
lowest_bits(uint32_t bits, int count)
{
    uint32_t rest = bits;

    for (int i = 0; i < count; i++) {
        rest &= rest - 1;
    }
    return bits & ~rest;
}

/* Writes the local parts of the own service's key map that the store has lost,
   if `condition` holds. Returns whether a change was sent. */
bool
AprKeyMoves_SaveParts(AprOwnership_t *ownership,
                      const AprKvCondition_t *condition)
{
    AprServiceKeyMap_t *entry = AprOwnership_FindOwnMap(ownership);
    AprKeyMap_t map;

    if (AprKeyMap_Copy(&map, &entry->map) != APR_OK) {
        return false;
    }
    return propose_parts(
        ownership, &map,
        lowest_bits(entry->unsaved_parts, max_changed_parts(ownership, 1)),
        "store_restored", condition, 1);
}

/* Lists the hosts that may receive keys, except the host named `except` (NULL:
   none). Returns their number. */
static int
list_candidates(AprOwnership_t *ownership, const char *except,
                AprKeyCandidate_t *candidates, int capacity)
{
    AprMembers_t *members = ownership->gateway->members;
    AprServiceKeyMap_t *entry = AprOwnership_FindOwnMap(ownership);
    int64_t now_ms = AprOwnership_NowMs(ownership);
    GQuark own_service_id =
        g_quark_try_string(ownership->gateway->settings.backend_service);
    int count = 0;

    for (int i = 0; i < AprMembers_Count(members) && count < capacity; i++) {
        const AprHost_t *member = AprMembers_At(members, i);
        AprKeyCandidate_t *candidate = &candidates[count];
        bool fresh;

        if (!member->registered || !member->accepts_calls ||
            member->incarnation.id[0] == '\0' ||
            member->service_id != own_service_id ||
            AprGateway_IsEvacuated(ownership->gateway,
                                   member->failure_domain) ||
            (except != NULL && strcmp(member->host, except) == 0)) {
            continue;
        }
        fresh = member->load_report_ms != 0 &&
                now_ms - member->load_report_ms < LOAD_REPORT_VALID_MS;
        if (fresh && !member->load_report.accepts_calls) {
            continue;
        }
        g_strlcpy(candidate->host, member->host, sizeof(candidate->host));
        candidate->slots =
            AprMembers_ReportedSlots(members, member, LOAD_REPORT_VALID_MS);
        candidate->load =
            fresh ? member->load_report.load_permille / 1000.0 : 0.5;
        candidate->keys =
            entry == NULL ? 0 : AprOwnership_CountKeysOf(entry, member->host);
        if (member->is_self) {
            candidate->load =
                AprBackend_RelativeDemand(ownership->gateway->backend);
        }
        count++;
    }
    return count;
}

/* Returns whether a change of the own service's key map can be sent now: none
   is pending or has an unknown outcome, and the store answers. */
bool
AprKeyMoves_CanSendChange(AprOwnership_t *ownership)
{
    return !ownership->change_in_flight && !ownership->has_proposal &&
           AprStoreCache_IsLoaded(ownership->gateway->store_cache) &&
           AprStoreCache_IsStoreReachable(ownership->gateway->store_cache);
}

/* Returns whether this host waits for no previous holder of one of its own
   ranges; an AprKeyReleased_t. */
static bool
is_own_range_released(const void *context, const AprKeyRange_t *range)
{
    const AprOwnership_t *ownership = context;

    return AprGrantTable_IsReleased(&ownership->grant_table, range,
                                    AprOwnership_NowMs(ownership));
}

/* Fills in the condition of changes that give away this host's keys: a later
   process of this host, or a later incarnation of its backend server, has
   granted no keys. `key` has APR_STORE_KEY_SIZE and must outlive `condition`.
   Without it, a change whose answer was lost could be carried out after that,
   and its receivers would not wait for the new grants to end. */
static void
fill_claim_condition(const AprOwnership_t *ownership, char *key,
                     AprKvCondition_t *condition)
{
    condition->key = AprStoreCache_FormatGenerationKey(
        ownership->gateway->store_cache, key, APR_STORE_KEY_SIZE);
    condition->revision = ownership->generation_record.revision;
}

/* Reassigns all keys of a host to the other hosts. `releasing` tells that its
   backend server may still hold grants of them. Returns whether a change was
   sent. */
static bool
reassign_keys(AprOwnership_t *ownership, const char *host, bool releasing,
              const char *reason, const AprKvCondition_t *conditions,
              int condition_count)
{
    static AprKeyCandidate_t candidates[MAX_CANDIDATES];
    AprServiceKeyMap_t *entry = AprOwnership_FindOwnMap(ownership);
    int count = list_candidates(ownership, host, candidates, MAX_CANDIDATES);
    AprKeyMap_t map;
    bool own;

    if (entry == NULL || count == 0 ||
        AprKeyMap_Copy(&map, &entry->map) != APR_OK) {
        return false;
    }
    /* Of another host it is not known what it still waits for. */
    own = strcmp(host, AprOwnership_OwnHost(ownership)) == 0;
    if (AprKeyPlan_Distribute(
            &map, host, candidates, count, releasing ? host : NULL,
            own ? is_own_range_released : NULL, ownership) == 0) {
        AprKeyMap_Free(&map);
        return false;
    }
    return send_map_change(ownership, &map, reason, conditions,
                           condition_count);
}

/* Reassigns all keys of this host; otherwise like reassign_keys(). */
static bool
reassign_own_keys(AprOwnership_t *ownership, bool releasing,
                  const char *reason)
{
    char key[APR_STORE_KEY_SIZE];
    AprKvCondition_t claim;

    fill_claim_condition(ownership, key, &claim);
    return reassign_keys(ownership, AprOwnership_OwnHost(ownership), releasing,
                         reason, &claim, 1);
}

/* Removes the hosts with a cold backend server, which get no keys for balance.
   Returns the number of those that are left. */
static int
drop_cold_candidates(AprOwnership_t *ownership, AprKeyCandidate_t *candidates,
                     int count)
{
    AprMembers_t *members = ownership->gateway->members;
    int kept = 0;

    for (int i = 0; i < count; i++) {
        const AprHost_t *member = AprMembers_Find(members, candidates[i].host);

        if (member == NULL || candidates[i].slots >= member->slots) {
            candidates[kept++] = candidates[i];
        }
    }
    return kept;
}

/* Returns whether the backend server holds all keys of an own range and no
   previous holder has to release them; an AprKeyReleased_t. When such keys
   move, the backend server gives a handover token for each. */
static bool
is_own_range_movable(const void *context, const AprKeyRange_t *range)
{
    const AprOwnership_t *ownership = context;

    return is_own_range_released(context, range) &&
           AprOwnership_IsRangeHeld(ownership, range);
}

/* Returns whether one of the hosts has no keys. */
static bool
has_host_without_keys(const AprKeyCandidate_t *candidates, int count)
{
    for (int i = 0; i < count; i++) {
        if (candidates[i].keys == 0) {
            return true;
        }
    }
    return false;
}

/* Sends planned moves of hot keys. Takes ownership of `map`. Returns whether
   the change was sent. */
static bool
send_hot_key_moves(AprOwnership_t *ownership, AprKeyMap_t *map,
                   const AprHotRangeResult_t *result)
{
    AprGateway_t *gateway = ownership->gateway;
    char claim_key[APR_STORE_KEY_SIZE];
    AprKvCondition_t claim;

    AprLog_Write(APR_LOG_INFO, "hot_keys_move",
                 "moves=%d receivers=%d load_before=%.2f load_after=%.2f "
                 "mean=%.2f ranges=%d",
                 result->moves, result->receivers, result->load_before,
                 result->load_after, result->mean, map->count);
    fill_claim_condition(ownership, claim_key, &claim);
    ownership->planned_demand = ownership->demand;
    ownership->remaining_demand_share =
        result->load_after / result->load_before;
    if (!send_map_change(ownership, map, "hot_keys", &claim, 1)) {
        ownership->remaining_demand_share = 0;
        AprHotRangePlanner_OnChangeDone(&ownership->hot_ranges, false,
                                        g_random_int(),
                                        AprOwnership_NowMs(ownership));
        return false;
    }
    AprGateway_IncrementCounter(gateway, "key_move_plans_total", "");
    for (int i = 0; i < result->moves; i++) {
        AprGateway_IncrementCounter(gateway, "key_moves_total", "");
    }
    return true;
}

/* Sends a change that merges ranges. Takes ownership of `map`. Returns whether
   the change was sent. */
static bool
send_merged_ranges(AprOwnership_t *ownership, AprKeyMap_t *map, int changes)
{
    char claim_key[APR_STORE_KEY_SIZE];
    AprKvCondition_t claim;

    AprLog_Write(APR_LOG_INFO, "ranges_merge", "changes=%d ranges=%d", changes,
                 map->count);
    fill_claim_condition(ownership, claim_key, &claim);
    AprGateway_IncrementCounter(ownership->gateway, "key_range_merges_total",
                                "");
    return send_map_change(ownership, map, "merge", &claim, 1);
}

/* Moves hot keys of this host to hosts with spare capacity, if it is
   overloaded. Otherwise gives first keys to a host without any, or merges
   ranges that earlier moves have left. Returns whether a change was sent. */
static bool
move_hot_keys(AprOwnership_t *ownership, bool at_heartbeat)
{
    static AprKeyCandidate_t candidates[MAX_CANDIDATES];
    AprServiceKeyMap_t *entry = AprOwnership_FindOwnMap(ownership);
    AprHotRangePlanner_t *planner = &ownership->hot_ranges;
    const char *host = AprOwnership_OwnHost(ownership);
    int64_t now_ms = AprOwnership_NowMs(ownership);
    int64_t heartbeat_ms =
        at_heartbeat ? now_ms : AprOwnership_NextHeartbeatMs(ownership);
    AprHostLoad_t load = {0};
    AprHotRangeInput_t input = {.host = host,
                                .candidates = candidates,
                                .is_movable = is_own_range_movable,
                                .context = ownership,
                                .now_ms = now_ms};
    AprHotRangeResult_t result;
    AprKeyMap_t map;
    int changes;
    bool due;

    if (entry == NULL || AprOwnership_CountOwnKeys(ownership) == 0) {
        return false;
    }
    AprBackend_GetLoad(ownership->gateway->backend, &load);
    due = AprHotRangePlanner_IsDue(planner, &entry->map, host, load.slots,
                                   heartbeat_ms, now_ms);
    if (!due && !AprHotRangePlanner_IsIdleCheckDue(
                    planner, heartbeat_ms,
                    AprMembers_Count(ownership->gateway->members),
                    g_random_int(), now_ms)) {
        return false;
    }
    input.count = list_candidates(ownership, host, candidates, MAX_CANDIDATES);
    input.count = drop_cold_candidates(ownership, candidates, input.count);
    if (AprKeyMap_Copy(&map, &entry->map) != APR_OK) {
        return false;
    }
    input.map = &map;
    input.slots = load.slots;
    input.seed = g_random_int();
    if ((due || has_host_without_keys(candidates, input.count)) &&
        AprHotRangePlanner_Plan(planner, &input, &result) > 0) {
        return send_hot_key_moves(ownership, &map, &result);
    }
    changes = AprHotRangePlanner_IsMergeDue(planner, &input)
                  ? AprHotRangePlanner_Consolidate(planner, &input)
                  : 0;
    if (changes > 0) {
        return send_merged_ranges(ownership, &map, changes);
    }
    AprKeyMap_Free(&map);
    return false;
}

/* Moves some of this host's keys to hosts with less load. Returns whether a
   change was sent. */
static bool
move_keys_for_balance(AprOwnership_t *ownership)
{
    static AprKeyCandidate_t candidates[MAX_CANDIDATES];
    AprGateway_t *gateway = ownership->gateway;
    AprServiceKeyMap_t *entry = AprOwnership_FindOwnMap(ownership);
    double before = AprBackend_RelativeDemand(gateway->backend);
    double after = before;
    AprHostLoad_t load = {0};
    AprKeyMap_t map;
    char claim_key[APR_STORE_KEY_SIZE];
    AprKvCondition_t claim;
    int count;
    int moves;

    if (entry == NULL ||
        AprOwnership_NowMs(ownership) < ownership->next_rebalance_ms ||
        AprOwnership_CountOwnKeys(ownership) == 0 ||
        AprKeyMap_Copy(&map, &entry->map) != APR_OK) {
        return false;
    }
    count = list_candidates(ownership, AprOwnership_OwnHost(ownership),
                            candidates, MAX_CANDIDATES);
    count = drop_cold_candidates(ownership, candidates, count);
    AprBackend_GetLoad(gateway->backend, &load);
    ownership->planned_demand = ownership->demand;
    moves = AprKeyPlan_Rebalance(&map, AprOwnership_OwnHost(ownership), &after,
                                 load.slots, &ownership->planned_demand,
                                 candidates, count);
    if (moves == 0) {
        AprKeyMap_Free(&map);
        return false;
    }
    ownership->next_rebalance_ms =
        AprOwnership_NowMs(ownership) + REBALANCE_PAUSE_MS +
        g_random_int_range(0, 1 + REBALANCE_JITTER_MS * count);
    ownership->remaining_demand_share = after / before;
    AprLog_Write(APR_LOG_INFO, "rebalance",
                 "moves=%d load_before=%.2f load_after=%.2f", moves, before,
                 after);
    fill_claim_condition(ownership, claim_key, &claim);
    if (!send_map_change(ownership, &map, "rebalance", &claim, 1)) {
        ownership->remaining_demand_share = 0;
        return false;
    }
    return true;
}

/* Returns whether this host is the planner: the first candidate by name, which
   assigns unowned keys and removes lost hosts. */
bool
AprKeyMoves_IsPlanner(AprOwnership_t *ownership)
{
    AprMembers_t *members = ownership->gateway->members;

    for (int i = 0; i < AprMembers_Count(members); i++) {
        const AprHost_t *member = AprMembers_At(members, i);

        if (member->registered && member->accepts_calls &&
            member->incarnation.id[0] != '\0' &&
            AprOwnership_IsOwnService(ownership, member->service) &&
            strcmp(member->host, AprOwnership_OwnHost(ownership)) < 0) {
            return false;
        }
    }
    return ownership->incarnation.id[0] != '\0' && !ownership->backend_leaving;
}

/* Returns whether the backend servers had enough time to register, so that
   keys without an owner may be assigned. */
static bool
is_first_plan_due(AprOwnership_t *ownership)
{
    static AprKeyCandidate_t candidates[MAX_CANDIDATES];
    int64_t now_ms = AprOwnership_NowMs(ownership);
    int64_t age_ms = now_ms - ownership->started_ms;
    int count = list_candidates(ownership, NULL, candidates, MAX_CANDIDATES);

    if (count != ownership->candidate_count) {
        ownership->candidate_count = count;
        ownership->candidates_changed_ms = now_ms;
    }
    return age_ms >= FIRST_PLAN_MAX_AGE_MS ||
           (age_ms >= FIRST_PLAN_MIN_AGE_MS &&
            now_ms - ownership->candidates_changed_ms >= FIRST_PLAN_QUIET_MS);
}

/* Assigns the keys without an owner, if this host is the planner. */
static void
assign_unowned_keys(AprOwnership_t *ownership)
{
    static AprKeyCandidate_t candidates[MAX_CANDIDATES];
    AprServiceKeyMap_t *entry = AprOwnership_FindOwnMap(ownership);
    AprKeyMap_t map;
    int count;

    if ((entry != NULL && AprOwnership_CountKeysOf(entry, "") == 0) ||
        !is_first_plan_due(ownership) || !AprKeyMoves_IsPlanner(ownership)) {
        return;
    }
    if (entry == NULL) {
        entry = AprOwnership_AddMap(
            ownership, ownership->gateway->settings.backend_service);
    }
    if (entry == NULL || AprKeyMap_Copy(&map, &entry->map) != APR_OK) {
        return;
    }
    count = list_candidates(ownership, NULL, candidates, MAX_CANDIDATES);
    if (AprKeyPlan_Distribute(&map, "", candidates, count, NULL, NULL, NULL) ==
        0) {
        AprKeyMap_Free(&map);
        return;
    }
    send_map_change(ownership, &map, "unowned", NULL, 0);
}

/* Reassigns the keys of this host when its backend server refused a
   connection, or sent no heartbeat for MISSED_HEARTBEATS and its grants have
   ended. */
static void
reassign_lost_backend_keys(AprOwnership_t *ownership)
{
    AprBackend_t *backend = ownership->gateway->backend;
    int64_t now_ms = AprOwnership_NowMs(ownership);
    int64_t missing_ms = (int64_t)(ownership->gateway->settings.heartbeat_s *
                                   1000 * MISSED_HEARTBEATS);
    int64_t last_heartbeat_ms = ownership->last_heartbeat_ms > 0
                                    ? ownership->last_heartbeat_ms
                                    : ownership->started_ms;

    if (AprBackend_IsUnreachable(backend)) {
        if (ownership->held_grant_count > 0) {
            ownership->held_grant_count = 0;
            AprOwnership_ReleaseAllKeys(ownership);
        }
        if (AprOwnership_CountOwnKeys(ownership) > 0) {
            reassign_own_keys(ownership, false, "backend_gone");
        }
        return;
    }
    if (now_ms - last_heartbeat_ms < missing_ms) {
        return;
    }
    if (now_ms >= ownership->grant_table.latest_expiry_ms) {
        if (ownership->held_grant_count > 0) {
            ownership->held_grant_count = 0;
            AprOwnership_ReleaseAllKeys(ownership);
        }
        if (AprOwnership_CountOwnKeys(ownership) > 0) {
            reassign_own_keys(ownership, false, "backend_silent");
        }
    }
}

/* Reassigns the keys of a lost host; an AprRemovalReassign_t. */
static bool
reassign_lost_host_keys(void *context, const char *host,
                        const AprKvCondition_t *conditions,
                        int condition_count)
{
    AprOwnership_t *ownership = context;

    return AprKeyMoves_CanSendChange(ownership) &&
           reassign_keys(ownership, host, false, "host_lost", conditions,
                         condition_count);
}

/* Returns whether this host or another one recently received bytes from
   `host`. `member` may be NULL. */
static bool
was_heard_recently(AprOwnership_t *ownership, const AprHost_t *member,
                   const char *host)
{
    return AprLinks_IsHostAlive(ownership->gateway->links, host) ||
           (member != NULL && member->heard_by_peer_ms != 0 &&
            AprOwnership_NowMs(ownership) - member->heard_by_peer_ms <
                PEER_REPORT_VALID_MS);
}

/* Asks all other hosts whether they receive bytes from a host that is missing
   here. */
static void
query_peers_about(AprOwnership_t *ownership, const char *host)
{
    AprGateway_t *gateway = ownership->gateway;
    int64_t now_ms = AprOwnership_NowMs(ownership);

    if (now_ms - ownership->last_query_ms < PEER_QUERY_INTERVAL_MS) {
        return;
    }
    ownership->last_query_ms = now_ms;
    for (int i = 0; i < AprMembers_Count(gateway->members); i++) {
        const AprHost_t *other = AprMembers_At(gateway->members, i);

        if (other->registered && !other->is_self) {
            AprLinks_QueryReachability(gateway->links, other->host, host);
        }
    }
}

/* Looks for hosts that own keys and are missing, and advances the removal of
   those that are lost, if this host is the planner. */
static void
remove_lost_hosts(AprOwnership_t *ownership)
{
    AprServiceKeyMap_t *entry = AprOwnership_FindOwnMap(ownership);
    AprGateway_t *gateway = ownership->gateway;
    int64_t now_ms = AprOwnership_NowMs(ownership);

    if (now_ms < ownership->next_loss_check_ms || entry == NULL ||
        !AprKeyMoves_IsPlanner(ownership)) {
        return;
    }
    ownership->next_loss_check_ms = now_ms + LOSS_CHECK_INTERVAL_MS;
    for (int i = 0; i < entry->map.count; i++) {
        const char *host = entry->map.ranges[i].host;
        const AprHost_t *member;

        if (host[0] == '\0' ||
            strcmp(host, AprOwnership_OwnHost(ownership)) == 0) {
            continue;
        }
        member = AprMembers_Find(gateway->members, host);
        if (was_heard_recently(ownership, member, host)) {
            AprRemovalQueue_Cancel(&ownership->removal_queue, host);
            continue;
        }
        if (member != NULL) {
            AprLinks_Ping(gateway->links, host);
        }
        if (AprRemovalQueue_AddMissingHost(&ownership->removal_queue, host,
                                           member == NULL ? 0
                                                          : member->lease_id,
                                           now_ms) > PEER_QUERY_DELAY_MS) {
            query_peers_about(ownership, host);
        }
    }
    AprRemovalQueue_Advance(
        &ownership->removal_queue, gateway,
        AprGrant_LatestExpiryMs(APR_GRANT_AUTHORITY_MS,
                                ownership->grant_table.grant_ms),
        reassign_lost_host_keys, ownership);
}

/* Reassigns all keys of this host, whose failure domain is evacuated, to hosts
   outside; the backend server may still hold grants of them. The keys stay
   here when there is no such host. Returns whether a change was sent. */
static bool
hand_over_evacuated_keys(AprOwnership_t *ownership)
{
    int keys = AprOwnership_CountOwnKeys(ownership);

    if (keys == 0 || !reassign_own_keys(ownership, true, "evacuated")) {
        return false;
    }
    AprLog_Write(APR_LOG_INFO, "evacuation_handover", "keys=%d retries=%d",
                 keys, ownership->conflict_retries);
    AprGateway_IncrementCounter(ownership->gateway,
                                "evacuation_handovers_total", "");
    return true;
}

/* Plans moves of keys at a heartbeat: a backend server that shuts down or is
   evacuated loses all keys, an overloaded one some of them. Returns whether a
   change was sent; the answer to the heartbeat then waits for its result. */
bool
AprKeyMoves_OnHeartbeat(AprOwnership_t *ownership)
{
    if (!AprOwnership_IsKeyed(ownership) ||
        !AprKeyMoves_CanSendChange(ownership) ||
        !AprOwnership_MayMoveOwnKeys(ownership)) {
        return false;
    }
    if (ownership->backend_leaving) {
        return AprOwnership_CountOwnKeys(ownership) > 0 &&
               reassign_own_keys(ownership, true, "leaving");
    }
    if (AprGateway_IsHandoverDue(ownership->gateway)) {
        return hand_over_evacuated_keys(ownership);
    }
    return AprGateway_IsBalancingAdaptive(ownership->gateway)
               ? move_hot_keys(ownership, true)
               : move_keys_for_balance(ownership);
}

/* Returns whether an incarnation of the backend server sends heartbeats for
   which the generation record has not been claimed yet. The claim voids an
   open change that gives its keys away, so that a repetition after it settles
   the change without moving the keys. */
static bool
awaits_claim(const AprOwnership_t *ownership)
{
    double missing_ms =
        ownership->gateway->settings.heartbeat_s * 1000 * MISSED_HEARTBEATS;

    return ownership->incarnation.id[0] != '\0' &&
           (double)(AprOwnership_NowMs(ownership) -
                    ownership->last_heartbeat_ms) < missing_ms &&
           AprGenerationRecord_FindClaimed(&ownership->generation_record,
                                           &ownership->incarnation) == 0;
}

/* Plans changes of the key map that no heartbeat triggers: retries of a change
   with an unknown outcome, loss of the own backend server, unowned keys and
   lost hosts. Called several times a second. */
void
AprKeyMoves_PlanOnTick(AprOwnership_t *ownership)
{
    if (ownership->has_proposal && !ownership->change_in_flight &&
        AprOwnership_NowMs(ownership) >= ownership->next_repetition_ms &&
        !awaits_claim(ownership) &&
        AprStoreCache_IsStoreReachable(ownership->gateway->store_cache)) {
        if (!send_proposal(ownership)) {
            AprLog_Write(APR_LOG_ERROR, "keys_no_memory", "reason=%s",
                         ownership->proposal_reason);
        }
        return;
    }
    if (!AprKeyMoves_CanSendChange(ownership)) {
        return;
    }
    if (AprOwnership_MayMoveOwnKeys(ownership)) {
        reassign_lost_backend_keys(ownership);
        if (AprGateway_IsBalancingAdaptive(ownership->gateway) &&
            !ownership->backend_leaving &&
            AprKeyMoves_CanSendChange(ownership)) {
            move_hot_keys(ownership, false);
        }
    }
    if (AprStoreRestore_IsOpen(&ownership->restore)) {
        return; /* the owners of other keys may not be known */
    }
    if (AprKeyMoves_CanSendChange(ownership)) {
        assign_unowned_keys(ownership);
    }
    if (AprKeyMoves_CanSendChange(ownership)) {
        remove_lost_hosts(ownership);
    }
}
