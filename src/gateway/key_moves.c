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

/* A change that met a conflict is planned again on the present map this often
   while its heartbeat waits. */
#define MAX_REPEATS 5

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
    if (result->code == APR_OK && entry != NULL &&
        result->revision > entry->revision && ownership->has_proposal) {
        AprKeyMap_t map = ownership->proposal;

        ownership->has_proposal = false;
        AprOwnership_AdoptMap(ownership, entry, &map, result->revision);
        if (ownership->planned_share > 0) {
            ownership->demand = ownership->planned_demand;
            AprBackend_ScaleDemand(ownership->gateway->backend,
                                   ownership->planned_share);
        }
    }
    else if ((result->code != APR_E_UNKNOWN && result->code != APR_E_PARSE) ||
             (entry != NULL &&
              entry->revision > ownership->proposal_revision)) {
        AprOwnership_DropProposal(ownership);
    }
    ownership->planned_share = 0;
    for (int i = 0; result->code == APR_E_CONFLICT && i < result->item_count;
         i++) {
        AprReplica_Apply(ownership->gateway->replica, &result->items[i]);
    }
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

/* Sends a changed map under the condition that the stored one is the present
   one. Takes over `map`. */
static void
send_change(AprOwnership_t *ownership, AprKeyMap_t *map, const char *reason,
            const AprKvCondition_t *conditions, int condition_count)
{
    AprGateway_t *gateway = ownership->gateway;
    AprServiceMap_t *entry = AprOwnership_OwnMap(ownership);
    AprKvChange_t change = {0};
    char key[APR_STORE_KEY_SIZE];
    char *text;

    AprKeyMap_Merge(map);
    text = AprKeyMap_Text(map);
    if (text == NULL) {
        AprKeyMap_Free(map);
        return;
    }
    AprOwnership_DropProposal(ownership);
    ownership->proposal = *map;
    ownership->has_proposal = true;
    ownership->changing = true;
    ownership->proposal_reason = reason;
    ownership->proposal_revision = entry == NULL ? 0 : entry->revision;
    change.conditions[0].key = AprReplica_MapKey(
        gateway->replica, gateway->settings.backend_service, key, sizeof(key));
    change.conditions[0].revision = ownership->proposal_revision;
    for (int i = 0; i < condition_count; i++) {
        if (conditions != ownership->conditions) {
            g_strlcpy(ownership->condition_keys[i], conditions[i].key,
                      APR_STORE_KEY_SIZE);
            ownership->conditions[i].key = ownership->condition_keys[i];
            ownership->conditions[i].revision = conditions[i].revision;
        }
        change.conditions[1 + i] = ownership->conditions[i];
    }
    ownership->condition_count = condition_count;
    change.condition_count = 1 + condition_count;
    change.writes[0].key = key;
    change.writes[0].value = text;
    change.writes[0].value_size = strlen(text);
    change.write_count = 1;
    AprLog_Write(APR_LOG_INFO, "keys_change", "reason=%s replaces=%lld",
                 reason, (long long)ownership->proposal_revision);
    gateway->kv->change(gateway->kv->service, &change, on_changed, ownership);
    free(text);
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
        g_strlcpy(candidate->owner.host, member->host,
                  sizeof(candidate->owner.host));
        candidate->owner.life = member->life;
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
    send_change(ownership, &map, reason, conditions, condition_count);
    return true;
}

/* Gives the keys of an earlier life of the backend server to the present
   one. */
static bool
adopt_new_life(AprOwnership_t *ownership)
{
    AprServiceMap_t *entry = AprOwnership_OwnMap(ownership);
    AprKeyOwner_t owner;
    AprKeyMap_t map;
    bool changed = false;

    if (entry == NULL || AprKeyMap_Copy(&map, &entry->map) != APR_OK) {
        return false;
    }
    g_strlcpy(owner.host, AprOwnership_OwnHost(ownership), sizeof(owner.host));
    owner.life = ownership->life;
    for (int i = 0; i < entry->map.count; i++) {
        const AprKeyRange_t *range = &entry->map.ranges[i];

        if (strcmp(range->host, owner.host) == 0 &&
            !AprBackendLife_Equal(&range->owner, &owner.life)) {
            AprKeyMap_Assign(&map, range->first, range->last, &owner,
                             strcmp(range->releasing_host, owner.host) == 0
                                 ? NULL
                                 : range->releasing_host);
            changed = true;
        }
    }
    if (!changed) {
        AprKeyMap_Free(&map);
        return false;
    }
    send_change(ownership, &map, "new_life", NULL, 0);
    return true;
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
    send_change(ownership, &map, "rebalance", NULL, 0);
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
    if ((entry == NULL ? AprKeyMap_Init(&map)
                       : AprKeyMap_Copy(&map, &entry->map)) != APR_OK) {
        return;
    }
    count = list_candidates(ownership, NULL, candidates, MAX_CANDIDATES);
    if (AprKeyPlan_Distribute(&map, "", candidates, count, NULL) == 0) {
        AprKeyMap_Free(&map);
        return;
    }
    if (entry == NULL && ownership->map_count < APR_MAX_MAPS) {
        entry = &ownership->maps[ownership->map_count++];
        g_strlcpy(entry->service, ownership->gateway->settings.backend_service,
                  sizeof(entry->service));
        AprKeyMap_Init(&entry->map);
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
        AprGrant_LatestEnd(APR_AUTHORITY_MS, ownership->book.hold_ms),
        take_from_lost, ownership);
}

/* Does with a heartbeat what is due: keys of a leaving backend server go to
   others, those of its earlier life to the present one, and part of the keys
   of an overloaded one elsewhere. Returns whether a change was sent, for which
   the answer to the heartbeat waits. */
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
    return adopt_new_life(ownership) || rebalance(ownership);
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
