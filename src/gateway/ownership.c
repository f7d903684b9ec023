/* Key maps of all services, heartbeats of the local backend server, and the
   grants that the answers to heartbeats give it. */

#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "apricot/error.h"
#include "apricot/log.h"
#include "internal/ownership_state.h"

/* Number of heartbeat intervals that a grant covers. */
#define GRANT_HEARTBEATS 2.0

/* Added to the length of a grant, for a heartbeat that arrives late. */
#define GRANT_LATE_HEARTBEAT_MS 1200

/* Minimum length of a grant, so that short heartbeat intervals do not make
   grants end too early. */
#define GRANT_MIN_MS 3000

/* Longest delay of the answer to a heartbeat while a change in the store is
   pending. The backend server accepts no answer after one second. */
#define REPLY_MAX_DELAY_MS 300

/* No new request uses a grant during this time before its end. */
#define GRANT_END_MARGIN_MS 200

/* Grants from which the reply to a heartbeat may exceed 4 KiB. */
#define LONG_REPLY_GRANTS 100

/* Time after which requests that waited for a grant start. */
#define GRANT_SETTLE_MS 20

/* An incarnation of the backend server with an earlier start time than the
   known one is accepted this long after the grants of the known one have
   ended. */
#define EARLIER_INCARNATION_DELAY_MS 2000

/* Factor by which the recorded demand for each key decays at every interval of
   DEMAND_DECAY_INTERVAL_MS. */
#define DEMAND_DECAY 0.75
#define DEMAND_DECAY_INTERVAL_MS 1000

/* Returns the time of the steady clock in milliseconds. */
int64_t
AprOwnership_NowMs(const AprOwnership_t *ownership)
{
    return AprGateway_NowMs(ownership->gateway);
}

/* Returns the time at which the next heartbeat of the backend server is
   expected. */
int64_t
AprOwnership_NextHeartbeatMs(const AprOwnership_t *ownership)
{
    return ownership->last_heartbeat_ms +
           (int64_t)(ownership->gateway->settings.heartbeat_s * 1000);
}

const char *
AprOwnership_OwnHost(const AprOwnership_t *ownership)
{
    return ownership->gateway->settings.host;
}

/* Returns whether the local backend server provides a service. */
bool
AprOwnership_IsOwnService(const AprOwnership_t *ownership, const char *service)
{
    return strcmp(service, ownership->gateway->settings.backend_service) == 0;
}

static int64_t
grant_duration_ms(const AprGatewaySettings_t *settings)
{
    int64_t grant_ms =
        (int64_t)(settings->heartbeat_s * 1000 * GRANT_HEARTBEATS) +
        GRANT_LATE_HEARTBEAT_MS;
    int64_t max_ms = (int64_t)(settings->hold_max_s * 1000);

    if (grant_ms < GRANT_MIN_MS) {
        grant_ms = GRANT_MIN_MS;
    }
    return grant_ms < max_ms ? grant_ms : max_ms;
}

/* Creates the state without any key map; returns NULL when memory runs out. */
AprOwnership_t *
AprOwnership_New(AprGateway_t *gateway)
{
    AprOwnership_t *ownership = calloc(1, sizeof(*ownership));

    if (ownership == NULL) {
        return NULL;
    }
    ownership->gateway = gateway;
    ownership->started_ms = AprGateway_NowMs(gateway);
    AprGrantTable_Init(&ownership->grant_table, gateway->settings.host,
                       grant_duration_ms(&gateway->settings),
                       ownership->started_ms);
    return ownership;
}

void
AprOwnership_Free(AprOwnership_t *ownership)
{
    if (ownership == NULL) {
        return;
    }
    for (int i = 0; i < ownership->map_count; i++) {
        AprKeyMap_Free(&ownership->maps[i].map);
        if (ownership->maps[i].key_counts != NULL) {
            g_hash_table_destroy(ownership->maps[i].key_counts);
        }
    }
    if (ownership->has_proposal) {
        AprKeyMap_Free(&ownership->proposal);
    }
    free(ownership->reported_keys);
    free(ownership);
}

/* Returns the key map of a service, or NULL when it is not known. */
AprServiceKeyMap_t *
AprOwnership_FindMap(AprOwnership_t *ownership, const char *service)
{
    for (int i = 0; i < ownership->map_count; i++) {
        if (strcmp(ownership->maps[i].service, service) == 0) {
            return &ownership->maps[i];
        }
    }
    return NULL;
}

/* Returns the key map of the local backend server's service, or NULL when it
   is not known. */
AprServiceKeyMap_t *
AprOwnership_FindOwnMap(AprOwnership_t *ownership)
{
    return AprOwnership_FindMap(ownership,
                                ownership->gateway->settings.backend_service);
}

/* Returns whether the configuration says that the local backend server's
   service has keys. */
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
    return service >= 0 && routes->services[service].owns_keys;
}

/* Discards the proposed change of the key map, if there is one. */
void
AprOwnership_DropProposal(AprOwnership_t *ownership)
{
    if (ownership->has_proposal) {
        AprKeyMap_Free(&ownership->proposal);
        ownership->has_proposal = false;
    }
}

/* Adds a key map without owners for a service. Returns NULL when there are
   already APR_MAX_MAPS or memory runs out. */
AprServiceKeyMap_t *
AprOwnership_AddMap(AprOwnership_t *ownership, const char *service)
{
    AprServiceKeyMap_t *entry = &ownership->maps[ownership->map_count];

    if (ownership->map_count == APR_MAX_MAPS ||
        AprKeyMap_Init(&entry->map) != APR_OK) {
        AprLog_Write(APR_LOG_ERROR, "key_map_limit_reached",
                     "service=%s maps=%d", service, ownership->map_count);
        return NULL;
    }
    g_strlcpy(entry->service, service, sizeof(entry->service));
    AprKeyMap_RaiseFence(&entry->map, ownership->restore.era);
    ownership->map_count++;
    return entry;
}

/* Handles the replacement of a part of a key map by the stored one of the
   given revision. A proposal for other parts takes over the new part. One that
   changes this part stays open until the store has answered an attempt: the
   new revision may be its own, and the change of its other parts not known
   yet. */
void
AprOwnership_OnPartChanged(AprOwnership_t *ownership,
                           AprServiceKeyMap_t *entry, int part,
                           int64_t revision)
{
    entry->revisions[part] = revision;
    if (entry->key_counts != NULL) {
        g_hash_table_destroy(entry->key_counts);
        entry->key_counts = NULL;
    }
    if (!AprOwnership_IsOwnService(ownership, entry->service)) {
        return;
    }
    AprGrantTable_ApplyKeyMap(&ownership->grant_table, &entry->map,
                              AprOwnership_NowMs(ownership));
    if (ownership->has_proposal &&
        (ownership->proposal_parts & (1u << part)) == 0 &&
        AprKeyMap_CopyPart(&ownership->proposal, &entry->map, part) !=
            APR_OK) {
        AprLog_Write(APR_LOG_ERROR, "keys_no_memory", "part=%d", part);
    }
}

/* Parses "SERVICE/PART". Copies the service to `service` and returns the part,
   or -1 when the name is malformed. */
static int
parse_part_name(const char *name, char *service, size_t size)
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

/* Applies a stored part of a key map, or its absence after the return of the
   store from an older copy; `name` is "SERVICE/PART". Ignores revisions that
   are not newer than the known one. */
void
AprOwnership_ApplyKeyMapPart(AprOwnership_t *ownership, const char *name,
                             const AprKvItem_t *item)
{
    char service[APR_ROUTE_NAME_SIZE];
    int part = parse_part_name(name, service, sizeof(service));
    AprServiceKeyMap_t *entry = AprOwnership_FindMap(ownership, service);
    AprKeyMap_t stored = {0};

    if (part >= 0 && entry != NULL &&
        entry->revisions[part] >= item->revision) {
        return;
    }
    if (item->removed && (part < 0 || entry == NULL ||
                          AprRevision_Era(item->revision) <=
                              AprRevision_Era(entry->revisions[part]))) {
        return;
    }
    if (part >= 0 && entry == NULL) {
        entry = AprOwnership_AddMap(ownership, service);
    }
    if (part < 0 || entry == NULL || AprKeyMap_Init(&stored) != APR_OK ||
        (!item->removed && AprKeyMap_ParsePart(&stored, part, item->value,
                                               item->value_size) != APR_OK)) {
        AprLog_Write(APR_LOG_ERROR, "key_map_part_invalid",
                     "name=%s revision=%lld", name, (long long)item->revision);
        AprKeyMap_Free(&stored);
        return;
    }
    AprOwnership_AdoptPart(ownership, entry, &stored, part, item->revision);
    AprKeyMap_Free(&stored);
    if (item->removed) {
        entry->revisions[part] = 0;
    }
    AprLog_Write(
        APR_LOG_INFO, "keys_changed",
        "service=%s part=%d revision=%lld own_keys=%d", service, part,
        (long long)item->revision,
        AprKeyMap_CountKeysOf(&entry->map, AprOwnership_OwnHost(ownership)));
}

/* Returns the host that owns a key of a service; "" if the key has no owner,
   NULL if the key map is not known. The name is valid until the key map
   changes. */
const char *
AprOwnership_FindOwner(AprOwnership_t *ownership, const char *service, int key)
{
    AprServiceKeyMap_t *entry = AprOwnership_FindMap(ownership, service);

    return entry == NULL ? NULL : AprKeyMap_FindRange(&entry->map, key)->host;
}

/* Returns whether an open change gives an own key to another host. */
static bool
is_key_leaving(const AprOwnership_t *ownership, int key)
{
    return ownership->has_proposal &&
           AprGateway_IsBalancingAdaptive(ownership->gateway) &&
           strcmp(AprKeyMap_FindRange(&ownership->proposal, key)->host,
                  AprOwnership_OwnHost(ownership)) != 0;
}

/* Returns whether the local backend server may receive a request for a key.
   For APR_KEY_GRANT_PENDING, *wait_ms is set to the expected time until the
   key is granted; otherwise it is left as it is. */
AprKeyStatus_t
AprOwnership_CheckKey(AprOwnership_t *ownership, int key, int64_t *wait_ms)
{
    AprServiceKeyMap_t *entry = AprOwnership_FindOwnMap(ownership);
    int64_t now_ms = AprOwnership_NowMs(ownership);
    int64_t interval_ms =
        (int64_t)(ownership->gateway->settings.heartbeat_s * 1000);

    if (now_ms < ownership->held_grants_until_ms) {
        for (int i = 0; i < ownership->held_grant_count; i++) {
            if (ownership->held_grants[i].first <= key &&
                key <= ownership->held_grants[i].last) {
                return APR_KEY_GRANTED;
            }
        }
    }
    if (entry == NULL ||
        strcmp(AprKeyMap_FindRange(&entry->map, key)->host,
               AprOwnership_OwnHost(ownership)) != 0 ||
        is_key_leaving(ownership, key)) {
        return APR_KEY_NOT_OWNED;
    }
    *wait_ms = ownership->last_heartbeat_ms + interval_ms - now_ms;
    if (*wait_ms < interval_ms / 4) {
        *wait_ms = interval_ms / 4;
    }
    return APR_KEY_GRANT_PENDING;
}

/* Returns whether nothing can be granted at present: the authority to grant
   keys has ended, as for a host without a connection to the store, the last
   grants were withheld, or the backend server misses a heartbeat. */
static bool
are_grants_suspended(const AprOwnership_t *ownership)
{
    int64_t now_ms = AprOwnership_NowMs(ownership);
    int64_t interval_ms =
        (int64_t)(ownership->gateway->settings.heartbeat_s * 1000);

    return ownership->grants_withheld ||
           now_ms >= ownership->grant_table.authority_until_ms ||
           now_ms > AprOwnership_NextHeartbeatMs(ownership) + interval_ms / 2;
}

/* Returns the time at which an own key that is not granted is expected to be
   granted: at the next heartbeat after its previous holder releases it.
   INT64_MAX while nothing can be granted. */
int64_t
AprOwnership_ExpectedGrantMs(AprOwnership_t *ownership, int key)
{
    AprServiceKeyMap_t *entry = AprOwnership_FindOwnMap(ownership);
    int64_t now_ms = AprOwnership_NowMs(ownership);
    int64_t interval_ms =
        (int64_t)(ownership->gateway->settings.heartbeat_s * 1000);
    int64_t release_ms = AprGrantTable_ExpectedReleaseMs(
        &ownership->grant_table, AprKeyMap_FindRange(&entry->map, key),
        now_ms);
    int64_t grant_ms = AprOwnership_NextHeartbeatMs(ownership);

    if (are_grants_suspended(ownership)) {
        return INT64_MAX;
    }
    if (grant_ms < now_ms) {
        grant_ms = now_ms + interval_ms / 4; /* the heartbeat is late */
    }
    while (grant_ms < release_ms && interval_ms > 0) {
        grant_ms += interval_ms;
    }
    return grant_ms;
}

/* Returns whether the backend server has had the time to learn of its last
   grants: the reply that carries them and a request that is sent right after
   it take different connections. */
bool
AprOwnership_AreGrantsSettled(const AprOwnership_t *ownership)
{
    return AprOwnership_NowMs(ownership) >=
           ownership->last_reply_ms + GRANT_SETTLE_MS;
}

/* Extends the authority to grant keys until the given time. An earlier time
   has no effect, nor has any while the store lacks assignments that are known
   here: once it is settled, other hosts rely on what it has. */
void
AprOwnership_ExtendAuthority(AprOwnership_t *ownership, int64_t until_ms)
{
    if (AprOwnership_IsMapSaved(ownership) &&
        until_ms > ownership->grant_table.authority_until_ms) {
        ownership->grant_table.authority_until_ms = until_ms;
    }
}

/* Extends the authority like AprOwnership_ExtendAuthority(), but without an
   answer of the store. Has no effect once another host may have taken over
   keys of this one: only the store tells whether one has. */
void
AprOwnership_ExtendAuthorityInOutage(AprOwnership_t *ownership,
                                     int64_t until_ms)
{
    if (!AprGrantTable_IsTakeoverPossible(&ownership->grant_table,
                                          AprOwnership_NowMs(ownership))) {
        AprOwnership_ExtendAuthority(ownership, until_ms);
    }
}

/* Returns the key map of the local backend server's service, or NULL when it
   is not known. Sets *authority_ms to the time for which keys may still be
   granted; negative when the authority has ended. */
const AprKeyMap_t *
AprOwnership_GetOwnKeyMap(AprOwnership_t *ownership, int64_t *authority_ms)
{
    AprServiceKeyMap_t *entry = AprOwnership_FindOwnMap(ownership);

    *authority_ms = ownership->grant_table.authority_until_ms -
                    AprOwnership_NowMs(ownership);
    return entry == NULL ? NULL : &entry->map;
}

/* Adds a request, also one that is refused, to the recorded demand for a key
   or, with APR_NO_KEY, to that of the host; `cost_ms` is its expected service
   time. */
void
AprOwnership_AddDemand(AprOwnership_t *ownership, int key, double cost_ms)
{
    if (key != APR_NO_KEY) {
        AprKeyDemand_Add(&ownership->demand, key, cost_ms);
    }
    if (AprGateway_IsBalancingAdaptive(ownership->gateway)) {
        AprHotRangePlanner_AddRequest(&ownership->hot_ranges, key, cost_ms,
                                      AprOwnership_NowMs(ownership));
    }
}

/* Copies the key map without the keys of this host that a proposed change
   gives to other hosts: the change may have taken effect in the store. If
   other hosts may hold keys by assignments that the store has lost, only those
   are left that the backend server holds, or that were assigned since. The
   caller frees `map` after APR_OK. */
static int
copy_grantable_map(const AprOwnership_t *ownership,
                   const AprServiceKeyMap_t *entry, AprKeyMap_t *map)
{
    int result = AprKeyMap_Copy(map, &entry->map);

    if (result == APR_OK &&
        AprStoreRestore_AreHoldersUnknown(&ownership->restore)) {
        result = AprKeyMap_UnassignUnheldKeys(
            map, AprOwnership_OwnHost(ownership),
            AprKeyMap_EraFence(ownership->restore.era),
            ownership->reported_keys, ownership->reported_key_count);
        if (result != APR_OK) {
            AprKeyMap_Free(map);
        }
    }
    if (result == APR_OK && ownership->has_proposal) {
        result = AprKeyMap_UnassignChangedKeys(
            map, &ownership->proposal, AprOwnership_OwnHost(ownership));
        if (result != APR_OK) {
            AprKeyMap_Free(map);
        }
    }
    return result;
}

/* Answers a heartbeat with all keys that are granted to the backend server. */
static void
answer_heartbeat(AprOwnership_t *ownership, AprHeartbeatReply_t reply,
                 void *context)
{
    AprServiceKeyMap_t *entry = AprOwnership_FindOwnMap(ownership);
    int64_t now_ms = AprOwnership_NowMs(ownership);
    AprKeyMap_t grantable;
    int count = -1;

    if (entry == NULL || !AprOwnership_IsKeyed(ownership)) {
        reply(context, true, NULL, -1, 0);
        return;
    }
    if (copy_grantable_map(ownership, entry, &grantable) != APR_OK) {
        reply(context, true, NULL, -1, 0);
        return;
    }
    if (AprKeyMapRefresh_MayGrant(ownership)) {
        count = AprGrantTable_RenewGrants(
            &ownership->grant_table, &grantable,
            AprGenerationRecord_FindClaimed(&ownership->generation_record,
                                            &ownership->incarnation),
            now_ms, ownership->held_grants, APR_MAX_GRANTS);
    }
    AprKeyMap_Free(&grantable);
    ownership->grants_withheld = count < 0;
    if (count < 0) {
        AprLog_Write(
            APR_LOG_WARN, "grants_withheld",
            "id=%s recorded=%s claimed=%d authority_age_ms=%lld "
            "map_revision=%lld registered_revision=%lld map_saved=%d",
            ownership->incarnation.id,
            ownership->generation_record.incarnation.id,
            ownership->generation_record.claimed,
            (long long)(now_ms - ownership->grant_table.authority_until_ms),
            (long long)AprKeyMapRefresh_KnownRevision(ownership),
            (long long)ownership->map_refresh.registered_revision,
            AprOwnership_IsMapSaved(ownership));
        reply(context, true, NULL, -1, 0);
        return;
    }
    if (count > LONG_REPLY_GRANTS) {
        AprLog_Write(APR_LOG_WARN, "heartbeat_reply_long", "grants=%d", count);
    }
    ownership->held_grant_count = count;
    AprOwnership_RecordGrantedKeys(ownership);
    ownership->last_reply_ms = now_ms;
    ownership->held_grants_until_ms =
        now_ms + ownership->grant_table.grant_ms - GRANT_END_MARGIN_MS;
    reply(context, true, ownership->held_grants, count,
          ownership->grant_table.grant_ms);
}

/* Answers the heartbeat that waits for a change in the store, if there is
   one. */
void
AprOwnership_SendPendingReply(AprOwnership_t *ownership)
{
    AprHeartbeatReply_t reply = ownership->pending_reply;

    if (reply != NULL) {
        ownership->pending_reply = NULL;
        answer_heartbeat(ownership, reply, ownership->pending_reply_context);
    }
}

/* Returns the number of keys that a key map assigns to a host, or that have no
   owner if `host` is "". Counts the keys of all hosts once for each version of
   the map. */
int
AprOwnership_CountKeysOf(AprServiceKeyMap_t *entry, const char *host)
{
    if (entry->key_counts == NULL) {
        entry->key_counts =
            g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
        for (int i = 0; i < entry->map.count; i++) {
            const AprKeyRange_t *range = &entry->map.ranges[i];
            int count = GPOINTER_TO_INT(
                g_hash_table_lookup(entry->key_counts, range->host));

            g_hash_table_insert(
                entry->key_counts, g_strdup(range->host),
                GINT_TO_POINTER(count + range->last - range->first + 1));
        }
    }
    return GPOINTER_TO_INT(g_hash_table_lookup(entry->key_counts, host));
}

/* Returns the number of keys that the key map assigns to this host. */
int
AprOwnership_CountOwnKeys(AprOwnership_t *ownership)
{
    AprServiceKeyMap_t *entry = AprOwnership_FindOwnMap(ownership);

    return entry == NULL ? 0
                         : AprOwnership_CountKeysOf(
                               entry, AprOwnership_OwnHost(ownership));
}

/* Limits released keys to a range. Returns whether any are left. */
static bool
clip_release(AprGrant_t *released, const AprKeyRange_t *range)
{
    released->first = MAX(released->first, range->first);
    released->last = MIN(released->last, range->last);
    released->fence = range->fence;
    return released->first <= released->last;
}

/* Sends the handover tokens of released keys to the hosts that now own the
   keys. */
static void
send_release_tokens(AprOwnership_t *ownership, const AprGrant_t *released,
                    int count)
{
    AprServiceKeyMap_t *entry = AprOwnership_FindOwnMap(ownership);

    for (int i = 0; i < count && entry != NULL; i++) {
        for (int j = 0; j < entry->map.count; j++) {
            const AprKeyRange_t *range = &entry->map.ranges[j];
            AprGrant_t grant = released[i];

            if (strcmp(range->releasing_host,
                       AprOwnership_OwnHost(ownership)) == 0 &&
                clip_release(&grant, range)) {
                AprLinks_SendHandoverToken(ownership->gateway->links,
                                           range->host, entry->service,
                                           &grant);
            }
        }
    }
}

/* Keeps the handover tokens of keys that the backend server releases while a
   change of the key map is open, for the keys that this host owns as far as it
   knows. They may belong to another host by the change. The fencing tokens
   tell whether they still have the same assignment when it is settled. */
static void
keep_early_releases(AprOwnership_t *ownership, const AprGrant_t *released,
                    int count)
{
    AprServiceKeyMap_t *entry = AprOwnership_FindOwnMap(ownership);

    for (int i = 0; i < count && entry != NULL; i++) {
        for (int j = 0; j < entry->map.count; j++) {
            const AprKeyRange_t *range = &entry->map.ranges[j];
            AprGrant_t grant = released[i];

            if (strcmp(range->host, AprOwnership_OwnHost(ownership)) == 0 &&
                clip_release(&grant, range) &&
                ownership->early_release_count < APR_MAX_EARLY_RELEASES) {
                ownership->early_releases[ownership->early_release_count++] =
                    grant;
            }
        }
    }
}

/* Uses the handover tokens that arrived while a change was open, now that its
   outcome is known: they go to the new owners, or, if the keys have not moved,
   back to the backend server with its next grants. */
void
AprOwnership_SettleEarlyReleases(AprOwnership_t *ownership)
{
    AprServiceKeyMap_t *entry = AprOwnership_FindOwnMap(ownership);
    int count = ownership->early_release_count;

    ownership->early_release_count = 0;
    send_release_tokens(ownership, ownership->early_releases, count);
    for (int i = 0; i < count && entry != NULL; i++) {
        const AprGrant_t *grant = &ownership->early_releases[i];
        const AprKeyRange_t *range =
            AprKeyMap_FindRange(&entry->map, grant->first);

        if (range->fence == grant->fence && range->last >= grant->last &&
            strcmp(range->host, AprOwnership_OwnHost(ownership)) == 0) {
            AprGrantTable_AddHandoverToken(&ownership->grant_table, grant);
        }
    }
}

/* Returns whether the backend server holds a grant of all keys of an own
   range by the last reply to its heartbeats. */
bool
AprOwnership_IsRangeHeld(const AprOwnership_t *ownership,
                         const AprKeyRange_t *range)
{
    int key = range->first;

    if (AprOwnership_NowMs(ownership) >= ownership->held_grants_until_ms) {
        return false;
    }
    for (int i = 0; i < ownership->held_grant_count; i++) {
        const AprGrant_t *grant = &ownership->held_grants[i];

        if (grant->first <= key && key <= grant->last &&
            grant->fence / APR_GENERATIONS_PER_FENCE == range->fence) {
            key = grant->last + 1;
        }
    }
    return key > range->last;
}

/* Tells the hosts that took over keys from this one that all grants of the
   local backend server have ended. */
void
AprOwnership_ReleaseAllKeys(AprOwnership_t *ownership)
{
    AprGrant_t all = {0, APR_KEY_COUNT - 1, 0, ""};

    send_release_tokens(ownership, &all, 1);
}

static bool
is_stale_heartbeat(const AprOwnership_t *ownership,
                   const AprHeartbeat_t *heartbeat)
{
    /* After a restart of this process the store knows the last incarnation. */
    const AprBackendIncarnation_t *known =
        ownership->incarnation.id[0] != '\0'
            ? &ownership->incarnation
            : &ownership->generation_record.incarnation;

    if (heartbeat->incarnation.started_ms != known->started_ms) {
        /* The wall clock may have been set back since the last start. */
        return heartbeat->incarnation.started_ms < known->started_ms &&
               AprOwnership_NowMs(ownership) <
                   ownership->grant_table.latest_expiry_ms +
                       EARLIER_INCARNATION_DELAY_MS;
    }
    return strcmp(heartbeat->incarnation.id, ownership->incarnation.id) == 0 &&
           heartbeat->sequence <= ownership->last_heartbeat_sequence;
}

/* Tells the new owners of keys that were moved away from this host that an
   earlier incarnation of its backend server has ended, which this process
   never heard: the store names another incarnation than the first heartbeat.
   Each process does this once. */
static void
release_for_earlier_incarnation(AprOwnership_t *ownership)
{
    const AprBackendIncarnation_t *recorded =
        &ownership->generation_record.incarnation;

    if (ownership->earlier_incarnation_checked ||
        ownership->incarnation.id[0] == '\0' ||
        !AprStoreCache_IsLoaded(ownership->gateway->store_cache)) {
        return;
    }
    ownership->earlier_incarnation_checked = true;
    if (recorded->id[0] != '\0' &&
        !AprBackendIncarnation_Equal(recorded, &ownership->incarnation)) {
        AprGrantTable_HandleRestart(&ownership->grant_table,
                                    AprOwnership_NowMs(ownership));
        AprOwnership_ReleaseAllKeys(ownership);
    }
}

static void
accept_heartbeat(AprOwnership_t *ownership, const AprHeartbeat_t *heartbeat)
{
    AprGateway_t *gateway = ownership->gateway;
    bool new_incarnation = !AprBackendIncarnation_Equal(
        &ownership->incarnation, &heartbeat->incarnation);
    bool left_before =
        AprDepartures_Contain(&ownership->departures, &heartbeat->incarnation);

    if (new_incarnation) {
        /* The previous incarnation at this address has ended, and its grants
           with it. */
        if (ownership->incarnation.id[0] != '\0') {
            AprGrantTable_HandleRestart(&ownership->grant_table,
                                        AprOwnership_NowMs(ownership));
            AprOwnership_ReleaseAllKeys(ownership);
        }
        AprKeyWarmup_Reset(&ownership->key_warmup);
        ownership->held_grant_count = 0;
        ownership->early_release_count = 0;
        ownership->backend_leaving = false;
        ownership->incarnation = heartbeat->incarnation;
    }
    release_for_earlier_incarnation(ownership);
    ownership->last_heartbeat_sequence = heartbeat->sequence;
    ownership->last_heartbeat_ms = AprOwnership_NowMs(ownership);
    ownership->backend_leaving |= heartbeat->leaving || left_before;
    AprOwnership_RecordReportedKeys(ownership, heartbeat);
    AprOwnership_JoinHeldKeys(ownership, heartbeat);
    AprGrantTable_RecordHeldKeys(
        &ownership->grant_table, heartbeat->held, heartbeat->held_count,
        AprGenerationRecord_Find(&ownership->generation_record,
                                 &ownership->incarnation));
    AprBackend_OnHeartbeat(gateway->backend, heartbeat);
    if (left_before) {
        AprBackend_EndDrain(gateway->backend);
    }
    AprStoreCache_PublishOwnEntry(gateway->store_cache);
}

/* Returns whether the backend server is shutting down. */
bool
AprOwnership_IsBackendLeaving(const AprOwnership_t *ownership)
{
    return ownership->backend_leaving;
}

/* Returns the incarnation for the entry of this host: the present one, or
   before the first heartbeat the last one that is known to shut down, so that
   the next process knows it too. Its id is empty if there is neither. Sets
   `*leaving` to whether it shuts down. */
const AprBackendIncarnation_t *
AprOwnership_GetEntryIncarnation(const AprOwnership_t *ownership,
                                 bool *leaving)
{
    const AprBackendIncarnation_t *departed =
        AprDepartures_Latest(&ownership->departures);

    if (ownership->incarnation.id[0] == '\0' && departed != NULL) {
        *leaving = true;
        return departed;
    }
    *leaving = ownership->backend_leaving;
    return &ownership->incarnation;
}

/* Records that an earlier process of this host knew an incarnation of the
   backend server to be shutting down. A late heartbeat of it may tell
   otherwise. */
void
AprOwnership_RestoreLeaving(AprOwnership_t *ownership,
                            const AprBackendIncarnation_t *incarnation)
{
    AprDepartures_Add(&ownership->departures, incarnation->id,
                      incarnation->started_ms);
}

/* Handles the result of a change that stored a generation. */
void
AprOwnership_OnGenerationStored(AprOwnership_t *ownership,
                                const AprKvResult_t *result)
{
    AprGenerationRecord_EndWrite(&ownership->generation_record, result);
    AprStoreCache_ApplyConflictItems(ownership->gateway->store_cache, result);
    AprLog_Write(APR_LOG_INFO, "generation_stored",
                 "id=%s generation=%lld result=%s", ownership->incarnation.id,
                 (long long)ownership->generation_record.generation,
                 AprError_Name(result->code));
    if (ownership->pending_reply == NULL ||
        !AprKeyMapRefresh_Start(ownership)) {
        AprOwnership_SendPendingReply(ownership);
    }
}

static void
on_generation_stored(void *context, const AprKvResult_t *result)
{
    AprOwnership_OnGenerationStored(context, result);
}

/* Adds a write of the generation record to a change, if this process has not
   claimed it for the incarnation of the backend server. `key` and `*text`,
   which the caller frees, must outlive the transaction. Returns whether a
   write was added; the caller then passes the result to
   AprOwnership_OnGenerationStored(). */
bool
AprOwnership_AddGenerationWrite(AprOwnership_t *ownership,
                                AprKvTransaction_t *transaction, char *key,
                                size_t key_size, char **text)
{
    AprGenerationRecord_t *record = &ownership->generation_record;
    int at = transaction->write_count;

    *text = NULL;
    if (!AprOwnership_IsKeyed(ownership) || record->write_pending ||
        ownership->incarnation.id[0] == '\0' ||
        (AprGenerationRecord_FindClaimed(record, &ownership->incarnation) >
             0 &&
         !record->claim_lost)) {
        return false;
    }
    *text = AprGenerationRecord_BeginWrite(record, &ownership->incarnation);
    if (*text == NULL) {
        return false;
    }
    AprStoreCache_FormatGenerationKey(ownership->gateway->store_cache, key,
                                      key_size);
    transaction->conditions[transaction->condition_count].key = key;
    transaction->conditions[transaction->condition_count].revision =
        record->revision;
    transaction->condition_count++;
    transaction->writes[at].key = key;
    transaction->writes[at].value = *text;
    transaction->writes[at].value_size = strlen(*text);
    transaction->write_count++;
    return true;
}

/* Claims the generation record for the incarnation of the backend server,
   which gives a new incarnation a new generation. Writes a claim again that
   the store has lost. Returns whether the answer to the heartbeat must wait
   for the store's result. */
static bool
store_generation(AprOwnership_t *ownership)
{
    AprGateway_t *gateway = ownership->gateway;
    AprGenerationRecord_t *record = &ownership->generation_record;
    AprKvTransaction_t transaction = {0};
    char key[APR_STORE_KEY_SIZE];
    char *text;
    bool claimed =
        AprGenerationRecord_FindClaimed(record, &ownership->incarnation) > 0;

    if ((claimed && !record->claim_lost) ||
        !AprStoreCache_IsLoaded(gateway->store_cache) ||
        !AprStoreCache_IsStoreReachable(gateway->store_cache)) {
        return false;
    }
    /* Until this host is registered, the write of its entry stores it. */
    if (record->write_pending ||
        !AprStoreCache_IsRegistered(gateway->store_cache)) {
        return !claimed;
    }
    if (!AprOwnership_AddGenerationWrite(ownership, &transaction, key,
                                         sizeof(key), &text)) {
        return false;
    }
    gateway->kv->commit(gateway->kv->self, &transaction, on_generation_stored,
                        ownership);
    free(text);
    return !claimed;
}

/* Handles a heartbeat of the backend server. `reply` is called once, either
   before this function returns or about REPLY_MAX_DELAY_MS later at most. Does
   not keep `heartbeat`. */
void
AprOwnership_OnHeartbeat(AprOwnership_t *ownership,
                         const AprHeartbeat_t *heartbeat,
                         AprHeartbeatReply_t reply, void *context)
{
    const AprGatewaySettings_t *settings = &ownership->gateway->settings;
    bool changed;

    if (strcmp(heartbeat->service, settings->backend_service) != 0 ||
        strcmp(heartbeat->address, settings->backend_address) != 0) {
        AprLog_Write(APR_LOG_WARN, "heartbeat_refused",
                     "id=%s service=%s address=%s", heartbeat->incarnation.id,
                     heartbeat->service, heartbeat->address);
        reply(context, false, NULL, -1, 0);
        return;
    }
    if (is_stale_heartbeat(ownership, heartbeat)) {
        AprLog_Write(APR_LOG_INFO, "heartbeat_stale",
                     "id=%s sequence=%lld known=%lld",
                     heartbeat->incarnation.id, (long long)heartbeat->sequence,
                     (long long)ownership->last_heartbeat_sequence);
        reply(context, true, NULL, -1, 0);
        return;
    }
    accept_heartbeat(ownership, heartbeat);
    send_release_tokens(ownership, heartbeat->released,
                        heartbeat->released_count);
    if (ownership->has_proposal &&
        AprGateway_IsBalancingAdaptive(ownership->gateway)) {
        keep_early_releases(ownership, heartbeat->released,
                            heartbeat->released_count);
    }
    AprOwnership_SendPendingReply(ownership);
    changed =
        AprOwnership_IsKeyed(ownership) &&
        (store_generation(ownership) || AprKeyMapRefresh_Start(ownership) ||
         AprKeyMoves_OnHeartbeat(ownership));
    if (changed) {
        ownership->pending_reply = reply;
        ownership->pending_reply_context = context;
        ownership->pending_reply_deadline_ms =
            AprOwnership_NowMs(ownership) + REPLY_MAX_DELAY_MS;
        return;
    }
    answer_heartbeat(ownership, reply, context);
}

/* Returns the latest start time of the incarnation that a notice with this id
   is about: that of the incarnation with the id that an earlier process has
   stored, or else the present time, as a later one can't have sent it. */
static int64_t
departure_started_ms(const AprOwnership_t *ownership, const char *id)
{
    const AprGateway_t *gateway = ownership->gateway;
    const AprBackendIncarnation_t *recorded =
        &ownership->generation_record.incarnation;
    const AprHost_t *self =
        AprMembers_Find(gateway->members, gateway->settings.host);

    if (strcmp(recorded->id, id) == 0) {
        return recorded->started_ms;
    }
    if (self != NULL && strcmp(self->incarnation.id, id) == 0) {
        return self->incarnation.started_ms;
    }
    return AprClock_WallMs(&gateway->clock);
}

/* Handles the notice of an incarnation that it shuts down without another
   heartbeat. It binds also if the incarnation is not the present one, as its
   last heartbeat may arrive after the notice. */
void
AprOwnership_OnBackendLeaving(AprOwnership_t *ownership, const char *id)
{
    bool present = strcmp(id, ownership->incarnation.id) == 0;

    AprLog_Write(APR_LOG_INFO, "backend_leaves", "id=%s present=%d", id,
                 present);
    if (present) {
        ownership->backend_leaving = true;
        AprBackend_StartDrain(ownership->gateway->backend);
    }
    else {
        AprDepartures_Add(&ownership->departures, id,
                          departure_started_ms(ownership, id));
    }
    AprStoreCache_PublishOwnEntry(ownership->gateway->store_cache);
}

/* Records the handover token of keys that another host released to this one.
   Copies `grant`. */
void
AprOwnership_AddHandoverToken(AprOwnership_t *ownership, const char *service,
                              const AprGrant_t *grant)
{
    if (AprOwnership_IsOwnService(ownership, service)) {
        AprGrantTable_AddHandoverToken(&ownership->grant_table, grant);
    }
}

/* Applies the stored generation record of a host's backend server; only that
   of this host is used. */
void
AprOwnership_ApplyGenerationRecord(AprOwnership_t *ownership, const char *host,
                                   const AprKvItem_t *item)
{
    if (strcmp(host, AprOwnership_OwnHost(ownership)) == 0 &&
        AprGenerationRecord_Update(&ownership->generation_record, item) !=
            APR_OK) {
        AprLog_Write(APR_LOG_ERROR, "generation_record_invalid",
                     "revision=%lld", (long long)item->revision);
    }
}

/* Applies a change of a host's fence in the store. The removal of a fence
   means that the host has registered again, which cancels its removal here. */
void
AprOwnership_ApplyFence(AprOwnership_t *ownership, const char *host,
                        const AprKvItem_t *item)
{
    if (item->removed) {
        AprRemovalQueue_Cancel(&ownership->removal_queue, host);
    }
}

/* Answers a delayed heartbeat when it is due, lets the demand decay, and plans
   moves of keys. Called several times a second. */
void
AprOwnership_Tick(AprOwnership_t *ownership)
{
    int64_t now_ms = AprOwnership_NowMs(ownership);

    if (ownership->pending_reply != NULL &&
        now_ms >= ownership->pending_reply_deadline_ms) {
        AprOwnership_SendPendingReply(ownership);
    }
    if (now_ms - ownership->last_demand_decay_ms >= DEMAND_DECAY_INTERVAL_MS) {
        ownership->last_demand_decay_ms = now_ms;
        AprKeyDemand_Decay(&ownership->demand, DEMAND_DECAY);
    }
    AprOwnership_RecoverOnTick(ownership);
    if (!AprOwnership_IsKeyed(ownership)) {
        return;
    }
    release_for_earlier_incarnation(ownership);
    AprKeyMoves_PlanOnTick(ownership);
}
