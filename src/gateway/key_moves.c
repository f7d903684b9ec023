/* Moves of keys between hosts: by leaving, loss and load. */

#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "apricot/error.h"
#include "apricot/log.h"
#include "internal/authority.h"
#include "internal/ownership_state.h"

/* A backend server is taken as lost when this many heartbeats are missing and
   its grants have ended. */
#define MISSING_BEATS 2.5

/* Keys without an owner are given out once the backend servers had this time
   to announce themselves. */
#define FIRST_PLAN_MS 2500

/* The first plan also waits until no host was added for this time, but no
   longer than the limit. */
#define FIRST_PLAN_QUIET_MS 1000
#define FIRST_PLAN_LIMIT_MS 6000

/* Pause between two plans of one host for the sake of balance, in which the
   loads settle. */
#define REBALANCE_PAUSE_MS 1200

/* Added for each other host, at random, since all of them change one map. */
#define REBALANCE_SPREAD_MS 40

/* A report of another host's load is used for this time. */
#define LOAD_FRESH_MS 3000

/* A missing host that another host heard within this time is not removed;
   the others are asked this often. */
#define HEARD_MS 2000
#define ASK_AFTER_MS 700
#define ASK_INTERVAL_MS 500

#define MAX_CANDIDATES 2048

/* Conditions and writes that the store takes in one change. */
#define MAX_CHANGE_ENTRIES 32

/* A change that met a conflict is planned again on the present map this often
   while its heartbeat waits. */
#define MAX_REPEATS 5

/* Puts the parts that a successful change wrote into force. */
static void
adopt_proposal(AprOwnership_t *ownership, AprServiceMap_t *entry,
               int64_t revision)
{
    AprKeyMap_t proposal = ownership->proposal;

    ownership->has_proposal = false;
    for (int part = 0; part < APR_KEY_PARTS; part++) {
        if ((ownership->proposal_parts & (1u << part)) == 0 ||
            revision <= entry->revisions[part]) {
            continue;
        }
        if (AprKeyMap_CopyPart(&entry->map, &proposal, part) != APR_OK) {
            /* The watch brings it again. */
            AprLog_Write(APR_LOG_ERROR, "keys_no_memory", "part=%d", part);
            continue;
        }
        AprOwnership_PartChanged(ownership, entry, part, revision);
    }
    AprKeyMap_Free(&proposal);
}

/* Whether another change of one of the proposal's parts is known. */
static bool
is_outrun(const AprOwnership_t *ownership, const AprServiceMap_t *entry)
{
    for (int part = 0; part < APR_KEY_PARTS; part++) {
        if ((ownership->proposal_parts & (1u << part)) != 0 &&
            entry->revisions[part] > ownership->proposal_revisions[part]) {
            return true;
        }
    }
    return false;
}

static void
on_changed(void *context, const AprKvResult_t *result)
{
    AprOwnership_t *ownership = context;
    AprServiceMap_t *entry = AprOwnership_OwnMap(ownership);

    ownership->changing = false;
    AprLog_Write(APR_LOG_INFO, "keys_change_done",
                 "reason=%s result=%s revision=%lld",
                 ownership->proposal_reason, AprError_Name(result->code),
                 (long long)result->revision);
    if (result->code == APR_OK && ownership->has_proposal) {
        adopt_proposal(ownership, entry, result->revision);
        if (ownership->planned_share > 0) {
            ownership->demand = ownership->planned_demand;
            AprBackend_ScaleDemand(ownership->gateway->backend,
                                   ownership->planned_share);
        }
    }
    else if ((result->code != APR_E_UNKNOWN && result->code != APR_E_PARSE) ||
             is_outrun(ownership, entry)) {
        AprOwnership_DropProposal(ownership);
    }
    ownership->planned_share = 0;
    AprReplica_ApplyConflict(ownership->gateway->replica, result);
    AprRemovalQueue_ChangeDone(&ownership->removals, result->code == APR_OK);
    if (result->code == APR_E_CONFLICT && result->item_count > 0 &&
        ownership->reply != NULL && ownership->repeats < MAX_REPEATS) {
        ownership->repeats++;
        if (AprKeyMoves_OnBeat(ownership)) {
            return;
        }
    }
    ownership->repeats = 0;
    AprOwnership_FlushReply(ownership);
}

/* Finds the parts that a changed map touches. What does not fit into one
   change of the store is taken back from the map, and planned again later. */
static uint32_t
limit_parts(const AprServiceMap_t *entry, AprKeyMap_t *map,
            int condition_count)
{
    uint32_t changed = AprKeyMap_ChangedParts(&entry->map, map);
    uint32_t parts = 0;
    int room = (MAX_CHANGE_ENTRIES - condition_count) / 2;

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

/* Adds the conditions and writes of the proposal's parts to a change. The
   written texts are freed by the caller. */
static bool
fill_change(AprOwnership_t *ownership, AprServiceMap_t *entry,
            AprKvChange_t *change, char keys[][APR_STORE_KEY_SIZE])
{
    AprGateway_t *gateway = ownership->gateway;

    for (int part = 0; part < APR_KEY_PARTS; part++) {
        int at = change->write_count;
        char *text;

        if ((ownership->proposal_parts & (1u << part)) == 0) {
            continue;
        }
        text = AprKeyMap_PartText(&ownership->proposal, part);
        if (text == NULL) {
            return false;
        }
        AprReplica_MapKey(gateway->replica, entry->service, part, keys[at],
                          APR_STORE_KEY_SIZE);
        ownership->proposal_revisions[part] = entry->revisions[part];
        change->conditions[change->condition_count].key = keys[at];
        change->conditions[change->condition_count].revision =
            entry->revisions[part];
        change->condition_count++;
        change->writes[at].key = keys[at];
        change->writes[at].value = text;
        change->writes[at].value_size = strlen(text);
        change->write_count++;
    }
    return true;
}

static void
keep_conditions(AprOwnership_t *ownership, const AprKvCondition_t *conditions,
                int count)
{
    ownership->condition_count = count;
    for (int i = 0; i < count && conditions != ownership->conditions; i++) {
        g_strlcpy(ownership->condition_keys[i], conditions[i].key,
                  APR_STORE_KEY_SIZE);
        ownership->conditions[i].key = ownership->condition_keys[i];
        ownership->conditions[i].revision = conditions[i].revision;
    }
}

/* Sends the changed parts of a map under the condition that the stored ones
   are the present ones. Takes over `map`. Returns whether a change was
   sent. */
static bool
send_change(AprOwnership_t *ownership, AprKeyMap_t *map, const char *reason,
            const AprKvCondition_t *conditions, int condition_count)
{
    AprGateway_t *gateway = ownership->gateway;
    AprServiceMap_t *entry = AprOwnership_OwnMap(ownership);
    char keys[APR_KEY_PARTS][APR_STORE_KEY_SIZE];
    AprKvChange_t change = {0};
    uint32_t parts = limit_parts(entry, map, condition_count);
    bool filled;

    if (parts == 0) {
        AprKeyMap_Free(map);
        return false;
    }
    AprKeyMap_Merge(map);
    AprOwnership_DropProposal(ownership);
    ownership->proposal = *map;
    ownership->proposal_parts = parts;
    ownership->has_proposal = true;
    ownership->proposal_reason = reason;
    keep_conditions(ownership, conditions, condition_count);
    filled = fill_change(ownership, entry, &change, keys);
    for (int i = 0; i < condition_count; i++) {
        change.conditions[change.condition_count++] = ownership->conditions[i];
    }
    if (filled) {
        ownership->changing = true;
        AprLog_Write(APR_LOG_INFO, "keys_change", "reason=%s parts=%x", reason,
                     parts);
        gateway->kv->change(gateway->kv->service, &change, on_changed,
                            ownership);
    }
    else {
        AprOwnership_DropProposal(ownership);
    }
    for (int i = 0; i < change.write_count; i++) {
        free((char *)change.writes[i].value);
    }
    return filled;
}

/* Lists the hosts that may get keys, without `except`. */
static int
list_candidates(AprOwnership_t *ownership, const char *except,
                AprKeyCandidate_t *candidates, int capacity)
{
    AprMembers_t *members = ownership->gateway->members;
    AprServiceMap_t *entry = AprOwnership_OwnMap(ownership);
    int64_t now_ms = AprOwnership_NowMs(ownership);
    int count = 0;

    for (int i = 0; i < AprMembers_Count(members) && count < capacity; i++) {
        const AprHost_t *member = AprMembers_At(members, i);
        AprKeyCandidate_t *candidate = &candidates[count];
        bool fresh;

        if (!member->listed || !member->open || member->life.id[0] == '\0' ||
            !AprOwnership_IsOwnService(ownership, member->service) ||
            (except != NULL && strcmp(member->host, except) == 0)) {
            continue;
        }
        fresh =
            member->load_ms != 0 && now_ms - member->load_ms < LOAD_FRESH_MS;
        if (fresh && !member->load.open) {
            continue;
        }
        g_strlcpy(candidate->host, member->host, sizeof(candidate->host));
        candidate->slots = member->slots;
        candidate->load = fresh ? member->load.load_permille / 1000.0 : 0.5;
        candidate->keys =
            entry == NULL ? 0 : AprKeyMap_CountOf(&entry->map, member->host);
        if (strcmp(member->host, AprOwnership_OwnHost(ownership)) == 0) {
            candidate->load = AprBackend_Demand(ownership->gateway->backend);
        }
        count++;
    }
    return count;
}

/* Whether a change of the own map can be sent now. */
bool
AprKeyMoves_MayChange(AprOwnership_t *ownership)
{
    return !ownership->changing && !ownership->has_proposal &&
           AprReplica_IsLoaded(ownership->gateway->replica) &&
           AprReplica_StoreWorks(ownership->gateway->replica);
}

/* Gives all keys of a host to the others. `releasing` tells that its backend
   server may still hold them. */
static bool
give_away(AprOwnership_t *ownership, const char *host, bool releasing,
          const char *reason, const AprKvCondition_t *conditions,
          int condition_count)
{
    static AprKeyCandidate_t candidates[MAX_CANDIDATES];
    AprServiceMap_t *entry = AprOwnership_OwnMap(ownership);
    int count = list_candidates(ownership, host, candidates, MAX_CANDIDATES);
    AprKeyMap_t map;

    if (entry == NULL || count == 0 ||
        AprKeyMap_Copy(&map, &entry->map) != APR_OK) {
        return false;
    }
    if (AprKeyPlan_Distribute(&map, host, candidates, count,
                              releasing ? host : NULL) == 0) {
        AprKeyMap_Free(&map);
        return false;
    }
    return send_change(ownership, &map, reason, conditions, condition_count);
}

/* Moves part of the own keys to hosts with less load. */
static bool
rebalance(AprOwnership_t *ownership)
{
    static AprKeyCandidate_t candidates[MAX_CANDIDATES];
    AprGateway_t *gateway = ownership->gateway;
    AprServiceMap_t *entry = AprOwnership_OwnMap(ownership);
    double before = AprBackend_Demand(gateway->backend);
    double after = before;
    AprHostLoad_t load = {0};
    AprKeyMap_t map;
    int count;
    int moves;

    if (entry == NULL || AprOwnership_OwnKeys(ownership) == 0 ||
        AprOwnership_NowMs(ownership) < ownership->rebalance_ms ||
        AprKeyMap_Copy(&map, &entry->map) != APR_OK) {
        return false;
    }
    count = list_candidates(ownership, AprOwnership_OwnHost(ownership),
                            candidates, MAX_CANDIDATES);
    AprBackend_Load(gateway->backend, &load);
    ownership->planned_demand = ownership->demand;
    moves = AprKeyPlan_Rebalance(&map, AprOwnership_OwnHost(ownership), &after,
                                 load.slots, &ownership->planned_demand,
                                 candidates, count);
    if (moves == 0) {
        AprKeyMap_Free(&map);
        return false;
    }
    ownership->rebalance_ms =
        AprOwnership_NowMs(ownership) + REBALANCE_PAUSE_MS +
        g_random_int_range(0, 1 + REBALANCE_SPREAD_MS * count);
    ownership->planned_share = after / before;
    AprLog_Write(APR_LOG_INFO, "rebalance",
                 "moves=%d load_before=%.2f load_after=%.2f", moves, before,
                 after);
    if (!send_change(ownership, &map, "rebalance", NULL, 0)) {
        ownership->planned_share = 0;
        return false;
    }
    return true;
}

/* Whether this host is the first of the candidates by name, which plans what
   nobody else is responsible for. */
static bool
is_planner(AprOwnership_t *ownership)
{
    AprMembers_t *members = ownership->gateway->members;

    for (int i = 0; i < AprMembers_Count(members); i++) {
        const AprHost_t *member = AprMembers_At(members, i);

        if (member->listed && member->open && member->life.id[0] != '\0' &&
            AprOwnership_IsOwnService(ownership, member->service) &&
            strcmp(member->host, AprOwnership_OwnHost(ownership)) < 0) {
            return false;
        }
    }
    return ownership->life.id[0] != '\0' && !ownership->leaving;
}

/* Whether the backend servers had the time to announce themselves. */
static bool
may_plan_first(AprOwnership_t *ownership)
{
    static AprKeyCandidate_t candidates[MAX_CANDIDATES];
    int64_t now_ms = AprOwnership_NowMs(ownership);
    int64_t age_ms = now_ms - ownership->started_ms;
    int count = list_candidates(ownership, NULL, candidates, MAX_CANDIDATES);

    if (count != ownership->candidate_count) {
        ownership->candidate_count = count;
        ownership->candidates_ms = now_ms;
    }
    return age_ms >= FIRST_PLAN_LIMIT_MS ||
           (age_ms >= FIRST_PLAN_MS &&
            now_ms - ownership->candidates_ms >= FIRST_PLAN_QUIET_MS);
}

/* Gives out the keys that have no owner. */
static void
plan_unowned(AprOwnership_t *ownership)
{
    static AprKeyCandidate_t candidates[MAX_CANDIDATES];
    AprServiceMap_t *entry = AprOwnership_OwnMap(ownership);
    AprKeyMap_t map;
    int count;

    if (!may_plan_first(ownership) ||
        (entry != NULL && AprKeyMap_CountOf(&entry->map, "") == 0) ||
        !is_planner(ownership)) {
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
    if (AprKeyPlan_Distribute(&map, "", candidates, count, NULL) == 0) {
        AprKeyMap_Free(&map);
        return;
    }
    send_change(ownership, &map, "unowned", NULL, 0);
}

/* Gives the own keys away when the backend server is lost. */
static void
plan_own_loss(AprOwnership_t *ownership)
{
    AprBackend_t *backend = ownership->gateway->backend;
    int64_t now_ms = AprOwnership_NowMs(ownership);
    int64_t missing_ms = (int64_t)(ownership->gateway->settings.heartbeat_s *
                                   1000 * MISSING_BEATS);
    int64_t heard_ms =
        ownership->beat_ms > 0 ? ownership->beat_ms : ownership->started_ms;

    if (AprBackend_IsGone(backend)) {
        if (ownership->granted_count > 0) {
            ownership->granted_count = 0;
            AprOwnership_ReleaseEnded(ownership);
        }
        if (AprOwnership_OwnKeys(ownership) > 0) {
            give_away(ownership, AprOwnership_OwnHost(ownership), false,
                      "backend_gone", NULL, 0);
        }
        return;
    }
    if (now_ms - heard_ms < missing_ms) {
        return;
    }
    if (now_ms >= ownership->book.grants_end_ms) {
        if (ownership->granted_count > 0) {
            ownership->granted_count = 0;
            AprOwnership_ReleaseEnded(ownership);
        }
        if (AprOwnership_OwnKeys(ownership) > 0) {
            give_away(ownership, AprOwnership_OwnHost(ownership), false,
                      "backend_silent", NULL, 0);
        }
    }
}

/* Gives away the keys of a host that was lost. */
static bool
take_from_lost(void *context, const char *host,
               const AprKvCondition_t *conditions, int condition_count)
{
    AprOwnership_t *ownership = context;

    return AprKeyMoves_MayChange(ownership) &&
           give_away(ownership, host, false, "host_lost", conditions,
                     condition_count);
}

/* Whether this host or another one heard a host a moment ago. */
static bool
is_heard(AprOwnership_t *ownership, const AprHost_t *member, const char *host)
{
    return AprLinks_IsAlive(ownership->gateway->links, host) ||
           (member != NULL && member->heard_elsewhere_ms != 0 &&
            AprOwnership_NowMs(ownership) - member->heard_elsewhere_ms <
                HEARD_MS);
}

/* Asks all hosts whether they hear one that is missing here. */
static void
ask_about(AprOwnership_t *ownership, const char *host)
{
    AprGateway_t *gateway = ownership->gateway;
    int64_t now_ms = AprOwnership_NowMs(ownership);

    if (now_ms - ownership->asked_ms < ASK_INTERVAL_MS) {
        return;
    }
    ownership->asked_ms = now_ms;
    for (int i = 0; i < AprMembers_Count(gateway->members); i++) {
        const AprHost_t *other = AprMembers_At(gateway->members, i);

        if (other->listed &&
            strcmp(other->host, AprOwnership_OwnHost(ownership)) != 0) {
            AprLinks_Ask(gateway->links, other->host, host);
        }
    }
}

static void
plan_lost_hosts(AprOwnership_t *ownership)
{
    AprServiceMap_t *entry = AprOwnership_OwnMap(ownership);
    AprGateway_t *gateway = ownership->gateway;

    if (entry == NULL || !is_planner(ownership)) {
        return;
    }
    for (int i = 0; i < entry->map.count; i++) {
        const char *host = entry->map.ranges[i].host;
        const AprHost_t *member;

        if (host[0] == '\0' ||
            strcmp(host, AprOwnership_OwnHost(ownership)) == 0) {
            continue;
        }
        member = AprMembers_Find(gateway->members, host);
        if (is_heard(ownership, member, host)) {
            AprRemovalQueue_Cancel(&ownership->removals, host);
            continue;
        }
        if (member != NULL) {
            AprLinks_Probe(gateway->links, host);
        }
        if (AprRemovalQueue_Add(
                &ownership->removals, host, member == NULL ? 0 : member->lease,
                AprOwnership_NowMs(ownership)) > ASK_AFTER_MS) {
            ask_about(ownership, host);
        }
    }
    AprRemovalQueue_Drive(
        &ownership->removals, gateway,
        AprGrant_LatestEnd(APR_GRANT_AUTHORITY_MS, ownership->book.hold_ms),
        take_from_lost, ownership);
}

/* Does with a heartbeat what is due: keys of a leaving backend server go to
   others, and part of the keys of an overloaded one elsewhere. Returns whether
   a change was sent, for which the answer to the heartbeat waits. */
bool
AprKeyMoves_OnBeat(AprOwnership_t *ownership)
{
    if (!AprOwnership_IsKeyed(ownership) ||
        !AprKeyMoves_MayChange(ownership)) {
        return false;
    }
    if (ownership->leaving) {
        return AprOwnership_OwnKeys(ownership) > 0 &&
               give_away(ownership, AprOwnership_OwnHost(ownership), true,
                         "leaving", NULL, 0);
    }
    return rebalance(ownership);
}

/* Plans what no heartbeat leads to. Called several times a second. */
void
AprKeyMoves_Plan(AprOwnership_t *ownership)
{
    if (ownership->has_proposal && !ownership->changing &&
        AprReplica_StoreWorks(ownership->gateway->replica)) {
        AprKeyMap_t again;

        /* The outcome is open: the same change again either succeeds or
           shows that another one was made. */
        if (AprKeyMap_Copy(&again, &ownership->proposal) == APR_OK) {
            send_change(ownership, &again, "repeated", ownership->conditions,
                        ownership->condition_count);
        }
        return;
    }
    if (!AprKeyMoves_MayChange(ownership)) {
        return;
    }
    plan_own_loss(ownership);
    if (AprKeyMoves_MayChange(ownership)) {
        plan_unowned(ownership);
    }
    if (AprKeyMoves_MayChange(ownership)) {
        plan_lost_hosts(ownership);
    }
}
