/* Key maps and the grants of the local backend server. */

#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "apricot/error.h"
#include "apricot/log.h"
#include "internal/ownership_state.h"

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

/* A life that began earlier by the calendar is accepted this long after the
   grants of the known one have ended. */
#define EARLIER_LIFE_MS 2000

/* Demand by key fades by this factor with each tick of a second. */
#define DEMAND_DECAY 0.75
#define DEMAND_TICK_MS 1000

/* Milliseconds of the steady clock. */
int64_t
AprOwnership_NowMs(const AprOwnership_t *ownership)
{
    return AprGateway_NowMs(ownership->gateway);
}

/* The name of this host. */
const char *
AprOwnership_OwnHost(const AprOwnership_t *ownership)
{
    return ownership->gateway->settings.host;
}

/* Whether a service is that of the local backend server. */
bool
AprOwnership_IsOwnService(const AprOwnership_t *ownership, const char *service)
{
    return strcmp(service, ownership->gateway->settings.backend_service) == 0;
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

/* The map of a service; NULL when it is not known. */
AprServiceMap_t *
AprOwnership_FindMap(AprOwnership_t *ownership, const char *service)
{
    for (int i = 0; i < ownership->map_count; i++) {
        if (strcmp(ownership->maps[i].service, service) == 0) {
            return &ownership->maps[i];
        }
    }
    return NULL;
}

/* The map of the own service; NULL when it is not known. */
AprServiceMap_t *
AprOwnership_OwnMap(AprOwnership_t *ownership)
{
    return AprOwnership_FindMap(ownership,
                                ownership->gateway->settings.backend_service);
}

/* Whether the own service has keys. */
bool
AprOwnership_IsKeyed(const AprOwnership_t *ownership)
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

/* Forgets a change that was not made, or that is in force. */
void
AprOwnership_DropProposal(AprOwnership_t *ownership)
{
    if (ownership->has_proposal) {
        AprKeyMap_Free(&ownership->proposal);
        ownership->has_proposal = false;
    }
}

/* Adds a service with all keys unowned; NULL when there is no room. */
AprServiceMap_t *
AprOwnership_AddMap(AprOwnership_t *ownership, const char *service)
{
    AprServiceMap_t *entry = &ownership->maps[ownership->map_count];

    if (ownership->map_count == APR_MAX_MAPS ||
        AprKeyMap_Init(&entry->map) != APR_OK) {
        AprLog_Write(APR_LOG_ERROR, "keys_no_room", "service=%s maps=%d",
                     service, ownership->map_count);
        return NULL;
    }
    g_strlcpy(entry->service, service, sizeof(entry->service));
    ownership->map_count++;
    return entry;
}

/* Notes that a part of a map was replaced. A proposal that changes this part
   has lost against the change; one for other parts follows it. */
void
AprOwnership_PartChanged(AprOwnership_t *ownership, AprServiceMap_t *entry,
                         int part, int64_t revision)
{
    entry->revisions[part] = revision;
    if (!AprOwnership_IsOwnService(ownership, entry->service)) {
        return;
    }
    AprGrantBook_Observe(&ownership->book, &entry->map,
                         AprOwnership_NowMs(ownership));
    if (!ownership->has_proposal) {
        return;
    }
    if ((ownership->proposal_parts & (1u << part)) == 0) {
        if (AprKeyMap_CopyPart(&ownership->proposal, &entry->map, part) !=
            APR_OK) {
            AprLog_Write(APR_LOG_ERROR, "keys_no_memory", "part=%d", part);
        }
    }
    else if (!ownership->changing &&
             revision > ownership->proposal_revisions[part]) {
        AprOwnership_DropProposal(ownership);
    }
}

/* Splits "SERVICE/PART"; returns the part, or -1 when it is malformed. */
static int
split_part(const char *name, char *service, size_t size)
{
    const char *slash = strrchr(name, '/');
    char *end;
    long part;

    if (slash == NULL || (size_t)(slash - name) >= size) {
        return -1;
    }
    memcpy(service, name, (size_t)(slash - name));
    service[slash - name] = '\0';
    part = strtol(slash + 1, &end, 10);
    return end != slash + 1 && *end == '\0' && part >= 0 &&
                   part < APR_KEY_PARTS
               ? (int)part
               : -1;
}

/* Takes over a stored part of a key map; `name` is "SERVICE/PART". */
void
AprOwnership_ApplyMap(AprOwnership_t *ownership, const char *name,
                      const AprKvItem_t *item)
{
    char service[APR_ROUTE_NAME_SIZE];
    int part = split_part(name, service, sizeof(service));
    AprServiceMap_t *entry = AprOwnership_FindMap(ownership, service);

    if (item->removed || (part >= 0 && entry != NULL &&
                          entry->revisions[part] >= item->revision)) {
        return;
    }
    if (part >= 0 && entry == NULL) {
        entry = AprOwnership_AddMap(ownership, service);
    }
    if (part < 0 || entry == NULL ||
        AprKeyMap_ReadPart(&entry->map, part, item->value, item->value_size) !=
            APR_OK) {
        AprLog_Write(APR_LOG_ERROR, "keys_unreadable", "name=%s revision=%lld",
                     name, (long long)item->revision);
        return;
    }
    AprLog_Write(
        APR_LOG_INFO, "keys_changed",
        "service=%s part=%d revision=%lld own_keys=%d", service, part,
        (long long)item->revision,
        AprKeyMap_CountOf(&entry->map, AprOwnership_OwnHost(ownership)));
    AprOwnership_PartChanged(ownership, entry, part, item->revision);
}

/* The host that owns a key; NULL when the map is not known. */
const char *
AprOwnership_HostOf(AprOwnership_t *ownership, const char *service, int key)
{
    AprServiceMap_t *entry = AprOwnership_FindMap(ownership, service);

    return entry == NULL ? NULL : AprKeyMap_Find(&entry->map, key)->host;
}

/* Whether the local backend server may get a request for a key; for keys that
   it is about to get, *wait_ms is the expected time until then. */
AprKeyVerdict_t
AprOwnership_Check(AprOwnership_t *ownership, int key, int64_t *wait_ms)
{
    AprServiceMap_t *entry = AprOwnership_OwnMap(ownership);
    int64_t now_ms = AprOwnership_NowMs(ownership);
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
                                AprOwnership_OwnHost(ownership)) != 0) {
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
    AprServiceMap_t *entry = AprOwnership_OwnMap(ownership);

    *authority_ms =
        ownership->book.authority_until_ms - AprOwnership_NowMs(ownership);
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
certain_map(const AprOwnership_t *ownership, const AprServiceMap_t *entry,
            AprKeyMap_t *map)
{
    int result = AprKeyMap_Copy(map, &entry->map);

    if (result == APR_OK && ownership->has_proposal) {
        result = AprKeyMap_Withhold(map, &ownership->proposal,
                                    AprOwnership_OwnHost(ownership));
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
    AprServiceMap_t *entry = AprOwnership_OwnMap(ownership);
    int64_t now_ms = AprOwnership_NowMs(ownership);
    AprKeyMap_t certain;
    int count;

    if (entry == NULL || !AprOwnership_IsKeyed(ownership)) {
        reply(context, true, NULL, -1, 0);
        return;
    }
    if (certain_map(ownership, entry, &certain) != APR_OK) {
        reply(context, true, NULL, -1, 0);
        return;
    }
    count = AprGrantBook_Renew(
        &ownership->book, &certain,
        AprLifeRecord_Generation(&ownership->record, &ownership->life), now_ms,
        ownership->granted, APR_MAX_GRANTS);
    AprKeyMap_Free(&certain);
    if (count < 0) {
        AprLog_Write(APR_LOG_WARN, "grants_withheld",
                     "id=%s recorded=%s authority_age_ms=%lld",
                     ownership->life.id, ownership->record.life.id,
                     (long long)(now_ms - ownership->book.authority_until_ms));
        reply(context, true, NULL, -1, 0);
        return;
    }
    ownership->granted_count = count;
    ownership->granted_until_ms =
        now_ms + ownership->book.hold_ms - SERVE_MARGIN_MS;
    reply(context, true, ownership->granted, count, ownership->book.hold_ms);
}

/* Answers a heartbeat that waits for a change. */
void
AprOwnership_FlushReply(AprOwnership_t *ownership)
{
    AprBeatReply_t reply = ownership->reply;

    if (reply != NULL) {
        ownership->reply = NULL;
        answer_beat(ownership, reply, ownership->reply_context);
    }
}

/* Number of keys that the local backend server owns. */
int
AprOwnership_OwnKeys(AprOwnership_t *ownership)
{
    AprServiceMap_t *entry = AprOwnership_OwnMap(ownership);

    return entry == NULL ? 0
                         : AprKeyMap_CountOf(&entry->map,
                                             AprOwnership_OwnHost(ownership));
}

/* Passes the handover tokens of released keys to their new owners. */
static void
pass_tokens(AprOwnership_t *ownership, const AprGrant_t *released, int count)
{
    AprServiceMap_t *entry = AprOwnership_OwnMap(ownership);

    for (int i = 0; i < count && entry != NULL; i++) {
        for (int j = 0; j < entry->map.count; j++) {
            const AprKeyRange_t *range = &entry->map.ranges[j];
            AprGrant_t grant = released[i];

            if (strcmp(range->releasing_host,
                       AprOwnership_OwnHost(ownership)) != 0 ||
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
void
AprOwnership_ReleaseEnded(AprOwnership_t *ownership)
{
    AprGrant_t all = {0, APR_KEY_COUNT - 1, 0, ""};

    pass_tokens(ownership, &all, 1);
}

static bool
is_stale_beat(const AprOwnership_t *ownership, const AprBeat_t *beat)
{
    if (beat->life.born_ms != ownership->life.born_ms) {
        /* The calendar clock may have been set back since the last start. */
        return beat->life.born_ms < ownership->life.born_ms &&
               AprOwnership_NowMs(ownership) <
                   ownership->book.grants_end_ms + EARLIER_LIFE_MS;
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
            AprGrantBook_NewLife(&ownership->book,
                                 AprOwnership_NowMs(ownership));
            AprOwnership_ReleaseEnded(ownership);
        }
        ownership->granted_count = 0;
        ownership->leaving = false;
        ownership->life = beat->life;
    }
    ownership->sequence = beat->sequence;
    ownership->beat_ms = AprOwnership_NowMs(ownership);
    ownership->leaving |= beat->leaving;
    AprBackend_Announce(gateway->backend, beat);
    AprReplica_Publish(gateway->replica);
}

static void
on_recorded(void *context, const AprKvResult_t *result)
{
    AprOwnership_t *ownership = context;

    AprLifeRecord_Done(&ownership->record, result);
    AprReplica_ApplyConflict(ownership->gateway->replica, result);
    AprLog_Write(APR_LOG_INFO, "life_recorded",
                 "id=%s generation=%lld result=%s", ownership->life.id,
                 (long long)ownership->record.generation,
                 AprError_Name(result->code));
    AprOwnership_FlushReply(ownership);
}

/* Records a new life of the backend server in the store. Returns whether the
   answer to its heartbeat must wait for that. */
static bool
record_life(AprOwnership_t *ownership)
{
    AprGateway_t *gateway = ownership->gateway;
    AprLifeRecord_t *record = &ownership->record;
    AprKvChange_t change = {0};
    char key[APR_STORE_KEY_SIZE];
    char *text;

    if (AprLifeRecord_Generation(record, &ownership->life) > 0 ||
        !AprReplica_IsLoaded(gateway->replica) ||
        !AprReplica_StoreWorks(gateway->replica)) {
        return false;
    }
    if (record->writing) {
        return true;
    }
    text = AprLifeRecord_Propose(record, &ownership->life);
    if (text == NULL) {
        return false;
    }
    change.conditions[0].key =
        AprReplica_LifeKey(gateway->replica, key, sizeof(key));
    change.conditions[0].revision = record->revision;
    change.condition_count = 1;
    change.writes[0].key = key;
    change.writes[0].value = text;
    change.writes[0].value_size = strlen(text);
    change.write_count = 1;
    gateway->kv->change(gateway->kv->service, &change, on_recorded, ownership);
    free(text);
    return true;
}

/* Handles a heartbeat of the backend server. `reply` is called once, now or
   within a third of a second. */
void
AprOwnership_Beat(AprOwnership_t *ownership, const AprBeat_t *beat,
                  AprBeatReply_t reply, void *context)
{
    const AprGatewaySettings_t *settings = &ownership->gateway->settings;
    bool changed;

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
    AprOwnership_FlushReply(ownership);
    changed = AprOwnership_IsKeyed(ownership) &&
              (record_life(ownership) || AprKeyMoves_OnBeat(ownership));
    if (changed) {
        ownership->reply = reply;
        ownership->reply_context = context;
        ownership->reply_due_ms =
            AprOwnership_NowMs(ownership) + REPLY_WAIT_MS;
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
    if (AprOwnership_IsOwnService(ownership, service)) {
        AprGrantBook_AddToken(&ownership->book, grant);
    }
}

/* Takes over the stored generation of this host's backend server. */
void
AprOwnership_ApplyLife(AprOwnership_t *ownership, const char *host,
                       const AprKvItem_t *item)
{
    if (strcmp(host, AprOwnership_OwnHost(ownership)) == 0 &&
        AprLifeRecord_Read(&ownership->record, item) != APR_OK) {
        AprLog_Write(APR_LOG_ERROR, "life_unreadable", "revision=%lld",
                     (long long)item->revision);
    }
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
    int64_t now_ms = AprOwnership_NowMs(ownership);

    if (ownership->reply != NULL && now_ms >= ownership->reply_due_ms) {
        AprOwnership_FlushReply(ownership);
    }
    if (now_ms - ownership->demand_ms >= DEMAND_TICK_MS) {
        ownership->demand_ms = now_ms;
        AprKeyDemand_Decay(&ownership->demand, DEMAND_DECAY);
    }
    if (!AprOwnership_IsKeyed(ownership)) {
        return;
    }
    AprKeyMoves_Plan(ownership);
}
