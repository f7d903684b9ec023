/* Key maps, the grants of the local backend server, and the moves of keys. */

#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "apricot/error.h"
#include "apricot/log.h"
#include "internal/authority.h"
#include "internal/gateway.h"
#include "internal/removal_queue.h"

/* A grant bridges the heartbeats of this many intervals, ... */
#define HOLD_BEATS 2.0

/* ... and one that arrives late by this. */
#define HOLD_LATE_MS 1200

/* Shortest grant, so that short heartbeats do not end it too early. */
#define HOLD_MIN_MS 3000

/* The answer to a heartbeat waits this long for a change of the key map; the
   backend server takes no answer after a second. */
#define REPLY_WAIT_MS 300

/* A grant counts as ended for new requests this long before its end. */
#define SERVE_MARGIN_MS 200

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

/* Demand by key fades by this factor with each tick of a second. */
#define DEMAND_DECAY 0.75
#define DEMAND_TICK_MS 1000

/* A report of another host's load is used for this time. */
#define LOAD_FRESH_MS 3000

/* A missing host that another host heard within this time is not removed;
   the others are asked this often. */
#define HEARD_MS 2000
#define ASK_AFTER_MS 700
#define ASK_INTERVAL_MS 500

#define MAX_GRANTS 1024
#define MAX_CANDIDATES 2048
#define MAX_MAPS 64
#define MAX_CONDITIONS 2
#define KEY_SIZE 256

typedef struct ServiceMap_t {
    char service[APR_ROUTE_NAME_SIZE];
    AprKeyMap_t map;
    int64_t revision;
} ServiceMap_t;

struct AprOwnership_t {
    AprGateway_t *gateway;
    ServiceMap_t maps[MAX_MAPS];
    int map_count;
    AprGrantBook_t book;
    AprKeyDemand_t demand;
    int64_t demand_ms;
    /* Heartbeats of the backend server. */
    AprBackendLife_t life;
    int64_t sequence;
    int64_t beat_ms; /* last one; 0: none */
    bool leaving;
    AprBeatReply_t reply; /* of a heartbeat that waits for a change */
    void *reply_context;
    int64_t reply_due_ms;
    /* What it holds by the last answer. */
    AprGrant_t granted[MAX_GRANTS];
    int granted_count;
    int64_t granted_until_ms;
    /* A change of the own service's map that was sent. While its outcome is
       open, keys that it gives away are not granted. */
    bool changing;
    bool has_proposal;
    AprKeyMap_t proposal;
    int64_t proposal_revision; /* that it replaces */
    const char *proposal_reason;
    AprKvCondition_t conditions[MAX_CONDITIONS]; /* besides the revision */
    char condition_keys[MAX_CONDITIONS][KEY_SIZE];
    int condition_count;
    int64_t rebalance_ms;          /* no plan before */
    AprKeyDemand_t planned_demand; /* once the plan is in force */
    double planned_share;          /* of the demand that stays; 0: no plan */
    int64_t asked_ms;
    int candidate_count;
    int64_t candidates_ms; /* last change of their number */
    int64_t started_ms;
    AprRemovalQueue_t removals;
};

static int64_t
now_of(const AprOwnership_t *ownership)
{
    return AprGateway_NowMs(ownership->gateway);
}

static const char *
own_host(const AprOwnership_t *ownership)
{
    return ownership->gateway->settings.host;
}

static int64_t
hold_ms_of(const AprGatewaySettings_t *settings)
{
    int64_t hold_ms =
        (int64_t)(settings->heartbeat_s * 1000 * HOLD_BEATS) + HOLD_LATE_MS;
    int64_t max_ms = (int64_t)(settings->hold_max_s * 1000);

    if (hold_ms < HOLD_MIN_MS) {
        hold_ms = HOLD_MIN_MS;
    }
    return hold_ms < max_ms ? hold_ms : max_ms;
}

/* Creates the state without maps. */
AprOwnership_t *
AprOwnership_New(AprGateway_t *gateway)
{
    AprOwnership_t *ownership = calloc(1, sizeof(*ownership));

    if (ownership == NULL) {
        return NULL;
    }
    ownership->gateway = gateway;
    ownership->started_ms = AprGateway_NowMs(gateway);
    AprGrantBook_Init(&ownership->book, gateway->settings.host,
                      hold_ms_of(&gateway->settings), ownership->started_ms);
    return ownership;
}

/* Frees the state. */
void
AprOwnership_Free(AprOwnership_t *ownership)
{
    if (ownership == NULL) {
        return;
    }
    for (int i = 0; i < ownership->map_count; i++) {
        AprKeyMap_Free(&ownership->maps[i].map);
    }
    if (ownership->has_proposal) {
        AprKeyMap_Free(&ownership->proposal);
    }
    free(ownership);
}

static ServiceMap_t *
find_map(AprOwnership_t *ownership, const char *service)
{
    for (int i = 0; i < ownership->map_count; i++) {
        if (strcmp(ownership->maps[i].service, service) == 0) {
            return &ownership->maps[i];
        }
    }
    return NULL;
}

static ServiceMap_t *
own_map(AprOwnership_t *ownership)
{
    return find_map(ownership, ownership->gateway->settings.backend_service);
}

static bool
is_own_service(const AprOwnership_t *ownership, const char *service)
{
    return strcmp(service, ownership->gateway->settings.backend_service) == 0;
}

static bool
is_keyed(const AprOwnership_t *ownership)
{
    const AprRouteTable_t *routes = ownership->gateway->routes;
    int service;

    if (routes == NULL) {
        return false;
    }
    service = AprRouteTable_FindService(
        routes, ownership->gateway->settings.backend_service);
    return service >= 0 && routes->services[service].keyed;
}

static void
drop_proposal(AprOwnership_t *ownership)
{
    if (ownership->has_proposal) {
        AprKeyMap_Free(&ownership->proposal);
        ownership->has_proposal = false;
    }
}

static void
adopt_map(AprOwnership_t *ownership, ServiceMap_t *entry, AprKeyMap_t *map,
          int64_t revision)
{
    AprKeyMap_Free(&entry->map);
    entry->map = *map;
    entry->revision = revision;
    if (is_own_service(ownership, entry->service)) {
        AprGrantBook_Observe(&ownership->book, map, now_of(ownership));
        if (ownership->has_proposal && !ownership->changing &&
            revision > ownership->proposal_revision) {
            drop_proposal(ownership);
        }
    }
}

/* Takes over a stored key map. */
void
AprOwnership_ApplyMap(AprOwnership_t *ownership, const char *service,
                      const AprKvItem_t *item)
{
    ServiceMap_t *entry = find_map(ownership, service);
    AprKeyMap_t map;

    if (item->removed ||
        (entry != NULL && entry->revision >= item->revision)) {
        return;
    }
    if (AprKeyMap_Parse(&map, item->value, item->value_size) != APR_OK) {
        AprLog_Write(APR_LOG_ERROR, "keys_unreadable",
                     "service=%s revision=%lld", service,
                     (long long)item->revision);
        return;
    }
    if (entry == NULL) {
        if (ownership->map_count == MAX_MAPS) {
            AprKeyMap_Free(&map);
            return;
        }
        entry = &ownership->maps[ownership->map_count++];
        g_strlcpy(entry->service, service, sizeof(entry->service));
    }
    AprLog_Write(APR_LOG_INFO, "keys_changed",
                 "service=%s revision=%lld ranges=%d own_keys=%d", service,
                 (long long)item->revision, map.count,
                 AprKeyMap_CountOf(&map, own_host(ownership)));
    adopt_map(ownership, entry, &map, item->revision);
}

/* The host that owns a key; NULL when the map is not known. */
const char *
AprOwnership_HostOf(AprOwnership_t *ownership, const char *service, int key)
{
    ServiceMap_t *entry = find_map(ownership, service);

    return entry == NULL ? NULL : AprKeyMap_Find(&entry->map, key)->host;
}

/* Whether the local backend server may get a request for a key; for keys that
   it is about to get, *wait_ms is the expected time until then. */
AprKeyVerdict_t
AprOwnership_Check(AprOwnership_t *ownership, int key, int64_t *wait_ms)
{
    ServiceMap_t *entry = own_map(ownership);
    int64_t now_ms = now_of(ownership);
    int64_t beat_ms =
        (int64_t)(ownership->gateway->settings.heartbeat_s * 1000);

    if (now_ms < ownership->granted_until_ms) {
        for (int i = 0; i < ownership->granted_count; i++) {
            if (ownership->granted[i].first <= key &&
                key <= ownership->granted[i].last) {
                return APR_KEY_SERVE;
            }
        }
    }
    if (entry == NULL || strcmp(AprKeyMap_Find(&entry->map, key)->host,
                                own_host(ownership)) != 0) {
        return APR_KEY_ELSEWHERE;
    }
    *wait_ms = ownership->beat_ms + beat_ms - now_ms;
    if (*wait_ms < beat_ms / 4) {
        *wait_ms = beat_ms / 4;
    }
    return APR_KEY_WAIT;
}

/* Extends the time until which grants may be given. */
void
AprOwnership_Authorize(AprOwnership_t *ownership, int64_t until_ms)
{
    if (until_ms > ownership->book.authority_until_ms) {
        ownership->book.authority_until_ms = until_ms;
    }
}

/* The own service's key map, NULL when it is not known, and the time left
   in which grants may be given. */
const AprKeyMap_t *
AprOwnership_Map(AprOwnership_t *ownership, int64_t *authority_ms)
{
    ServiceMap_t *entry = own_map(ownership);

    *authority_ms = ownership->book.authority_until_ms - now_of(ownership);
    return entry == NULL ? NULL : &entry->map;
}

/* Notes the demand for a key. */
void
AprOwnership_NoteRequest(AprOwnership_t *ownership, int key, double cost_ms)
{
    AprKeyDemand_Add(&ownership->demand, key, cost_ms);
}

/* The map without the own keys that a change with open outcome gives away. */
static int
certain_map(const AprOwnership_t *ownership, const ServiceMap_t *entry,
            AprKeyMap_t *map)
{
    int result = AprKeyMap_Copy(map, &entry->map);

    if (result == APR_OK && ownership->has_proposal) {
        result =
            AprKeyMap_Withhold(map, &ownership->proposal, own_host(ownership));
        if (result != APR_OK) {
            AprKeyMap_Free(map);
        }
    }
    return result;
}

/* Answers a heartbeat with all that the backend server is to hold. */
static void
answer_beat(AprOwnership_t *ownership, AprBeatReply_t reply, void *context)
{
    ServiceMap_t *entry = own_map(ownership);
    int64_t now_ms = now_of(ownership);
    AprKeyMap_t certain;
    int count;

    if (entry == NULL || !is_keyed(ownership)) {
        reply(context, true, NULL, -1, 0);
        return;
    }
    if (certain_map(ownership, entry, &certain) != APR_OK) {
        reply(context, true, NULL, -1, 0);
        return;
    }
    count = AprGrantBook_Renew(&ownership->book, &certain, &ownership->life,
                               now_ms, ownership->granted, MAX_GRANTS);
    AprKeyMap_Free(&certain);
    if (count < 0) {
        AprLog_Write(APR_LOG_WARN, "grants_withheld",
                     "id=%s authority_age_ms=%lld", ownership->life.id,
                     (long long)(now_ms - ownership->book.authority_until_ms));
        reply(context, true, NULL, -1, 0);
        return;
    }
    ownership->granted_count = count;
    ownership->granted_until_ms =
        now_ms + ownership->book.hold_ms - SERVE_MARGIN_MS;
    reply(context, true, ownership->granted, count, ownership->book.hold_ms);
}

static void
flush_reply(AprOwnership_t *ownership)
{
    AprBeatReply_t reply = ownership->reply;

    if (reply != NULL) {
        ownership->reply = NULL;
        answer_beat(ownership, reply, ownership->reply_context);
    }
}

static void
on_changed(void *context, const AprKvResult_t *result)
{
    AprOwnership_t *ownership = context;
    ServiceMap_t *entry = own_map(ownership);

    ownership->changing = false;
    AprLog_Write(APR_LOG_INFO, "keys_change_done",
                 "reason=%s result=%s revision=%lld",
                 ownership->proposal_reason, AprError_Name(result->code),
                 (long long)result->revision);
    if (result->code == APR_OK && entry != NULL &&
        result->revision > entry->revision && ownership->has_proposal) {
        AprKeyMap_t map = ownership->proposal;

        ownership->has_proposal = false;
        adopt_map(ownership, entry, &map, result->revision);
        if (ownership->planned_share > 0) {
            ownership->demand = ownership->planned_demand;
            AprBackend_ScaleDemand(ownership->gateway->backend,
                                   ownership->planned_share);
        }
    }
    else if ((result->code != APR_E_UNKNOWN && result->code != APR_E_PARSE) ||
             (entry != NULL &&
              entry->revision > ownership->proposal_revision)) {
        drop_proposal(ownership);
    }
    ownership->planned_share = 0;
    AprRemovalQueue_ChangeDone(&ownership->removals, result->code == APR_OK);
    flush_reply(ownership);
}

/* Sends a changed map under the condition that the stored one is the present
   one. Takes over `map`. */
static void
send_change(AprOwnership_t *ownership, AprKeyMap_t *map, const char *reason,
            const AprKvCondition_t *conditions, int condition_count)
{
    AprGateway_t *gateway = ownership->gateway;
    ServiceMap_t *entry = own_map(ownership);
    AprKvChange_t change = {0};
    char key[KEY_SIZE];
    char *text;

    AprKeyMap_Merge(map);
    text = AprKeyMap_Text(map);
    if (text == NULL) {
        AprKeyMap_Free(map);
        return;
    }
    drop_proposal(ownership);
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
                      KEY_SIZE);
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
    ServiceMap_t *entry = own_map(ownership);
    int64_t now_ms = now_of(ownership);
    int count = 0;

    for (int i = 0; i < AprMembers_Count(members) && count < capacity; i++) {
        const AprHost_t *member = AprMembers_At(members, i);
        AprKeyCandidate_t *candidate = &candidates[count];
        bool fresh;

        if (!member->listed || !member->open || member->life.id[0] == '\0' ||
            !is_own_service(ownership, member->service) ||
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
        if (strcmp(member->host, own_host(ownership)) == 0) {
            candidate->load = AprBackend_Demand(ownership->gateway->backend);
        }
        count++;
    }
    return count;
}

static int
own_keys(AprOwnership_t *ownership)
{
    ServiceMap_t *entry = own_map(ownership);

    return entry == NULL ? 0
                         : AprKeyMap_CountOf(&entry->map, own_host(ownership));
}

static bool
may_change(AprOwnership_t *ownership)
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
    ServiceMap_t *entry = own_map(ownership);
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
    ServiceMap_t *entry = own_map(ownership);
    AprKeyOwner_t owner;
    AprKeyMap_t map;
    bool changed = false;

    if (entry == NULL || AprKeyMap_Copy(&map, &entry->map) != APR_OK) {
        return false;
    }
    g_strlcpy(owner.host, own_host(ownership), sizeof(owner.host));
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
    ServiceMap_t *entry = own_map(ownership);
    double before = AprBackend_Demand(gateway->backend);
    double after = before;
    AprHostLoad_t load = {0};
    AprKeyMap_t map;
    int count;
    int moves;

    if (entry == NULL || own_keys(ownership) == 0 ||
        now_of(ownership) < ownership->rebalance_ms ||
        AprKeyMap_Copy(&map, &entry->map) != APR_OK) {
        return false;
    }
    count = list_candidates(ownership, own_host(ownership), candidates,
                            MAX_CANDIDATES);
    AprBackend_Load(gateway->backend, &load);
    ownership->planned_demand = ownership->demand;
    moves =
        AprKeyPlan_Rebalance(&map, own_host(ownership), &after, load.slots,
                             &ownership->planned_demand, candidates, count);
    if (moves == 0) {
        AprKeyMap_Free(&map);
        return false;
    }
    ownership->rebalance_ms =
        now_of(ownership) + REBALANCE_PAUSE_MS +
        g_random_int_range(0, 1 + REBALANCE_SPREAD_MS * count);
    ownership->planned_share = after / before;
    AprLog_Write(APR_LOG_INFO, "rebalance",
                 "moves=%d load_before=%.2f load_after=%.2f", moves, before,
                 after);
    send_change(ownership, &map, "rebalance", NULL, 0);
    return true;
}

/* Passes the handover tokens of released keys to their new owners. */
static void
pass_tokens(AprOwnership_t *ownership, const AprGrant_t *released, int count)
{
    ServiceMap_t *entry = own_map(ownership);

    for (int i = 0; i < count && entry != NULL; i++) {
        for (int j = 0; j < entry->map.count; j++) {
            const AprKeyRange_t *range = &entry->map.ranges[j];
            AprGrant_t grant = released[i];

            if (strcmp(range->releasing_host, own_host(ownership)) != 0 ||
                range->last < grant.first || range->first > grant.last) {
                continue;
            }
            grant.first =
                range->first > grant.first ? range->first : grant.first;
            grant.last = range->last < grant.last ? range->last : grant.last;
            grant.fence = range->fence;
            AprLinks_Release(ownership->gateway->links, range->host,
                             entry->service, &grant);
        }
    }
}

/* Tells the new owners of own keys that no grant is in force any more. */
static void
release_ended(AprOwnership_t *ownership)
{
    AprGrant_t all = {0, APR_KEY_COUNT - 1, 0, ""};

    pass_tokens(ownership, &all, 1);
}

static bool
is_stale_beat(const AprOwnership_t *ownership, const AprBeat_t *beat)
{
    if (beat->life.born_ms != ownership->life.born_ms) {
        return beat->life.born_ms < ownership->life.born_ms;
    }
    return strcmp(beat->life.id, ownership->life.id) == 0 &&
           beat->sequence <= ownership->sequence;
}

static void
note_beat(AprOwnership_t *ownership, const AprBeat_t *beat)
{
    AprGateway_t *gateway = ownership->gateway;
    bool new_life = !AprBackendLife_Equal(&ownership->life, &beat->life);

    if (new_life) {
        /* The earlier life at this address has ended, and with it its
           grants. */
        if (ownership->life.id[0] != '\0') {
            ownership->book.grants_end_ms = now_of(ownership);
            release_ended(ownership);
        }
        ownership->granted_count = 0;
        ownership->leaving = false;
        ownership->life = beat->life;
    }
    ownership->sequence = beat->sequence;
    ownership->beat_ms = now_of(ownership);
    ownership->leaving |= beat->leaving;
    AprBackend_Announce(gateway->backend, beat);
    AprReplica_Publish(gateway->replica);
}

/* Handles a heartbeat of the backend server. `reply` is called once, now or
   within a third of a second. */
void
AprOwnership_Beat(AprOwnership_t *ownership, const AprBeat_t *beat,
                  AprBeatReply_t reply, void *context)
{
    const AprGatewaySettings_t *settings = &ownership->gateway->settings;
    bool changed = false;

    if (strcmp(beat->service, settings->backend_service) != 0 ||
        strcmp(beat->address, settings->backend_address) != 0) {
        AprLog_Write(APR_LOG_WARN, "beat_refused",
                     "id=%s service=%s address=%s", beat->life.id,
                     beat->service, beat->address);
        reply(context, false, NULL, -1, 0);
        return;
    }
    if (is_stale_beat(ownership, beat)) {
        AprLog_Write(APR_LOG_INFO, "beat_stale",
                     "id=%s sequence=%lld known=%lld", beat->life.id,
                     (long long)beat->sequence,
                     (long long)ownership->sequence);
        reply(context, true, NULL, -1, 0);
        return;
    }
    note_beat(ownership, beat);
    pass_tokens(ownership, beat->released, beat->released_count);
    flush_reply(ownership);
    if (is_keyed(ownership) && may_change(ownership)) {
        if (ownership->leaving && own_keys(ownership) > 0) {
            changed = give_away(ownership, own_host(ownership), true,
                                "leaving", NULL, 0);
        }
        else if (!ownership->leaving) {
            changed = adopt_new_life(ownership) || rebalance(ownership);
        }
    }
    if (changed) {
        ownership->reply = reply;
        ownership->reply_context = context;
        ownership->reply_due_ms = now_of(ownership) + REPLY_WAIT_MS;
        return;
    }
    answer_beat(ownership, reply, context);
}

/* Notes that a backend server says that it leaves without a further
   heartbeat. */
void
AprOwnership_Leave(AprOwnership_t *ownership, const char *id)
{
    if (strcmp(id, ownership->life.id) != 0) {
        return;
    }
    ownership->leaving = true;
    AprBackend_Leave(ownership->gateway->backend);
    AprReplica_Publish(ownership->gateway->replica);
}

/* Takes the handover token of keys that this host is to get. */
void
AprOwnership_TakeToken(AprOwnership_t *ownership, const char *service,
                       const AprGrant_t *grant)
{
    if (is_own_service(ownership, service)) {
        AprGrantBook_AddToken(&ownership->book, grant);
    }
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
            is_own_service(ownership, member->service) &&
            strcmp(member->host, own_host(ownership)) < 0) {
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
    int64_t now_ms = now_of(ownership);
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
    ServiceMap_t *entry = own_map(ownership);
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
    if (entry == NULL && ownership->map_count < MAX_MAPS) {
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
    int64_t now_ms = now_of(ownership);
    int64_t missing_ms = (int64_t)(ownership->gateway->settings.heartbeat_s *
                                   1000 * MISSING_BEATS);
    int64_t heard_ms =
        ownership->beat_ms > 0 ? ownership->beat_ms : ownership->started_ms;

    if (AprBackend_IsGone(backend)) {
        if (ownership->granted_count > 0) {
            ownership->granted_count = 0;
            release_ended(ownership);
        }
        if (own_keys(ownership) > 0) {
            give_away(ownership, own_host(ownership), false, "backend_gone",
                      NULL, 0);
        }
        return;
    }
    if (now_ms - heard_ms < missing_ms) {
        return;
    }
    if (now_ms >= ownership->book.grants_end_ms) {
        if (ownership->granted_count > 0) {
            ownership->granted_count = 0;
            release_ended(ownership);
        }
        if (own_keys(ownership) > 0) {
            give_away(ownership, own_host(ownership), false, "backend_silent",
                      NULL, 0);
        }
    }
}

/* Gives away the keys of a host that was lost. */
static bool
take_from_lost(void *context, const char *host,
               const AprKvCondition_t *conditions, int condition_count)
{
    AprOwnership_t *ownership = context;

    return may_change(ownership) &&
           give_away(ownership, host, false, "host_lost", conditions,
                     condition_count);
}

/* Whether this host or another one heard a host a moment ago. */
static bool
is_heard(AprOwnership_t *ownership, const AprHost_t *member, const char *host)
{
    return AprLinks_IsAlive(ownership->gateway->links, host) ||
           (member != NULL && member->heard_elsewhere_ms != 0 &&
            now_of(ownership) - member->heard_elsewhere_ms < HEARD_MS);
}

/* Asks all hosts whether they hear one that is missing here. */
static void
ask_about(AprOwnership_t *ownership, const char *host)
{
    AprGateway_t *gateway = ownership->gateway;
    int64_t now_ms = now_of(ownership);

    if (now_ms - ownership->asked_ms < ASK_INTERVAL_MS) {
        return;
    }
    ownership->asked_ms = now_ms;
    for (int i = 0; i < AprMembers_Count(gateway->members); i++) {
        const AprHost_t *other = AprMembers_At(gateway->members, i);

        if (other->listed && strcmp(other->host, own_host(ownership)) != 0) {
            AprLinks_Ask(gateway->links, other->host, host);
        }
    }
}

static void
plan_lost_hosts(AprOwnership_t *ownership)
{
    ServiceMap_t *entry = own_map(ownership);
    AprGateway_t *gateway = ownership->gateway;

    if (entry == NULL || !is_planner(ownership)) {
        return;
    }
    for (int i = 0; i < entry->map.count; i++) {
        const char *host = entry->map.ranges[i].host;
        const AprHost_t *member;

        if (host[0] == '\0' || strcmp(host, own_host(ownership)) == 0) {
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
        if (AprRemovalQueue_Add(&ownership->removals, host,
                                member == NULL ? 0 : member->lease,
                                now_of(ownership)) > ASK_AFTER_MS) {
            ask_about(ownership, host);
        }
    }
    AprRemovalQueue_Drive(
        &ownership->removals, gateway,
        AprGrant_LatestEnd(APR_AUTHORITY_MS, ownership->book.hold_ms),
        take_from_lost, ownership);
}

/* Takes over the state of a fence in the store. */
void
AprOwnership_ApplyFence(AprOwnership_t *ownership, const char *host,
                        const AprKvItem_t *item)
{
    if (item->removed) {
        AprRemovalQueue_Cancel(&ownership->removals, host);
    }
}

/* Does what is due. Called several times a second. */
void
AprOwnership_Tick(AprOwnership_t *ownership)
{
    int64_t now_ms = now_of(ownership);

    if (ownership->reply != NULL && now_ms >= ownership->reply_due_ms) {
        flush_reply(ownership);
    }
    if (now_ms - ownership->demand_ms >= DEMAND_TICK_MS) {
        ownership->demand_ms = now_ms;
        AprKeyDemand_Decay(&ownership->demand, DEMAND_DECAY);
    }
    if (!is_keyed(ownership)) {
        return;
    }
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
    if (!may_change(ownership)) {
        return;
    }
    plan_own_loss(ownership);
    if (may_change(ownership)) {
        plan_unowned(ownership);
    }
    if (may_change(ownership)) {
        plan_lost_hosts(ownership);
    }
}
