#include "apricot/grant_table.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

/* Maximum drift of a backend server's clock in percent. A clock that runs slow
   by this much makes the backend server hold a grant for longer than it was
   issued for. */
#define MAX_CLOCK_DRIFT_PERCENT 2

/* Margin added to the expiry of a grant, for timers that fire early and for
   requests that start at the last moment. */
#define GRANT_EXPIRY_MARGIN_MS 100

/* Usual time from a change of the key map until its handover tokens arrive:
   the previous owner writes it up to 200 ms before a heartbeat, whose reply
   omits the keys, and the tokens come with the next one 100 ms later. */
#define USUAL_HANDOVER_MS 400

/* A token that has not arrived after the usual time is expected within this
   time: at the latest, one heartbeat interval later. */
#define LATE_HANDOVER_MS 200

/* Initializes the state without authority to issue grants. Grants that an
   earlier process of this host issued may still be in force, so their expiry
   is taken as if they had been issued now. */
void
AprGrantTable_Init(AprGrantTable_t *table, const char *host, int64_t grant_ms,
                   int64_t now_ms)
{
    memset(table, 0, sizeof(*table));
    g_strlcpy(table->host, host, sizeof(table->host));
    table->grant_ms = grant_ms;
    table->authority_until_ms = now_ms;
    table->latest_expiry_ms = AprGrant_LatestExpiryMs(now_ms, grant_ms);
}

/* Returns the time by which a grant issued at `granted_ms` for `grant_ms` has
   expired even at a backend server with the slowest permitted clock. */
int64_t
AprGrant_LatestExpiryMs(int64_t granted_ms, int64_t grant_ms)
{
    return granted_ms + grant_ms + grant_ms * MAX_CLOCK_DRIFT_PERCENT / 100 +
           GRANT_EXPIRY_MARGIN_MS;
}

/* Returns whether another host may have taken over keys of this one. It waits
   until the last grant that the authority allowed has expired. */
bool
AprGrantTable_IsTakeoverPossible(const AprGrantTable_t *table, int64_t now_ms)
{
    return now_ms >=
           AprGrant_LatestExpiryMs(table->authority_until_ms, table->grant_ms);
}

/* Stores a copy of the handover token of released keys, with the fencing token
   of the range in the key map that it belongs to. Replaces the token of the
   same keys; otherwise drops the oldest token when there is no room. */
void
AprGrantTable_AddHandoverToken(AprGrantTable_t *table, const AprGrant_t *grant)
{
    for (int i = 0; i < table->token_count; i++) {
        AprGrant_t *entry = &table->tokens[i];

        if (entry->first == grant->first && entry->last == grant->last) {
            *entry = *grant;
            return;
        }
    }
    if (table->token_count == APR_MAX_HANDOVER_TOKENS) {
        memmove(table->tokens, table->tokens + 1,
                (APR_MAX_HANDOVER_TOKENS - 1) * sizeof(*table->tokens));
        table->token_count--;
    }
    table->tokens[table->token_count++] = *grant;
}

/* Returns the handover token that covers a key of a range, or NULL. Tokens of
   earlier assignments of the range do not count. */
static const AprGrant_t *
find_token(const AprGrantTable_t *table, const AprKeyRange_t *range, int key)
{
    for (int i = table->token_count - 1; i >= 0; i--) {
        const AprGrant_t *token = &table->tokens[i];

        if (token->fence == range->fence && token->first <= key &&
            key <= token->last) {
            return token;
        }
    }
    return NULL;
}

static const AprPendingRange_t *
find_pending(const AprPendingRange_t *pending, int count,
             const AprKeyRange_t *range)
{
    for (int i = 0; i < count; i++) {
        if (pending[i].fence == range->fence &&
            pending[i].part == range->first / APR_KEYS_PER_PART) {
            return &pending[i];
        }
    }
    return NULL;
}

/* Applies a change of the key map. The time of the first call that shows a
   range assigned to this host starts the wait for the grant of its previous
   holder, which is not renewed from then on. */
void
AprGrantTable_ApplyKeyMap(AprGrantTable_t *table, const AprKeyMap_t *map,
                          int64_t now_ms)
{
    AprPendingRange_t earlier[APR_MAX_PENDING_RANGES];
    int earlier_count = table->pending_count;

    memcpy(earlier, table->pending, sizeof(earlier));
    table->pending_count = 0;
    for (int i = 0; i < map->count; i++) {
        const AprKeyRange_t *range = &map->ranges[i];
        const AprPendingRange_t *known;
        AprPendingRange_t *entry;

        if (range->releasing_host[0] == '\0' ||
            strcmp(range->host, table->host) != 0 ||
            table->pending_count == APR_MAX_PENDING_RANGES) {
            continue;
        }
        known = find_pending(earlier, earlier_count, range);
        entry = &table->pending[table->pending_count++];
        entry->fence = range->fence;
        entry->part = range->first / APR_KEYS_PER_PART;
        entry->seen_ms = known == NULL ? now_ms : known->seen_ms;
    }
}

/* Lets the waits for previous holders of a part of the key map begin anew with
   the next AprGrantTable_ApplyKeyMap(). Needed when a previous holder may not
   have known of the change until now. */
void
AprGrantTable_RestartWaits(AprGrantTable_t *table, int part)
{
    int kept = 0;

    for (int i = 0; i < table->pending_count; i++) {
        if (table->pending[i].part != part) {
            table->pending[kept++] = table->pending[i];
        }
    }
    table->pending_count = kept;
}

/* Records the keys that a heartbeat of the backend server's `generation`
   reports as held. A fencing token of the present assignment shows that an
   earlier process of this host granted the keys, after their previous holder
   had released them or its grant had expired; a restarted process need not
   wait for that again. Only keys that have to be released by another host
   count. */
void
AprGrantTable_RecordHeldKeys(AprGrantTable_t *table, const AprGrant_t *held,
                             int count, int64_t generation)
{
    for (int i = 0; i < count; i++) {
        AprGrant_t proof = held[i];

        if (generation <= 0 ||
            held[i].fence % APR_GENERATIONS_PER_FENCE != generation) {
            continue;
        }
        proof.fence = held[i].fence / APR_GENERATIONS_PER_FENCE;
        proof.token[0] = '\0';
        for (int j = 0; j < table->pending_count; j++) {
            if (table->pending[j].fence == proof.fence &&
                table->pending[j].part >= proof.first / APR_KEYS_PER_PART &&
                table->pending[j].part <= proof.last / APR_KEYS_PER_PART) {
                AprGrantTable_AddHandoverToken(table, &proof);
                break;
            }
        }
    }
}

/* Whether no grant of a previous owner of the range can still be in force. */
static bool
previous_grants_expired(const AprGrantTable_t *table,
                        const AprKeyRange_t *range, int64_t now_ms)
{
    const AprPendingRange_t *entry;

    if (range->releasing_host[0] == '\0') {
        return true;
    }
    entry = find_pending(table->pending, table->pending_count, range);
    return entry != NULL &&
           now_ms >= AprGrant_LatestExpiryMs(entry->seen_ms, table->grant_ms);
}

/* Returns whether this host waits for no previous holder of a range that is
   assigned to it. */
bool
AprGrantTable_IsReleased(const AprGrantTable_t *table,
                         const AprKeyRange_t *range, int64_t now_ms)
{
    int key = range->first;

    if (previous_grants_expired(table, range, now_ms)) {
        return true;
    }
    while (key <= range->last) {
        const AprGrant_t *token = find_token(table, range, key);

        if (token == NULL) {
            return false;
        }
        key = token->last + 1;
    }
    return true;
}

/* Returns the time at which the previous holder of an own range is expected to
   have released it; `now_ms` if it has. */
int64_t
AprGrantTable_ExpectedReleaseMs(const AprGrantTable_t *table,
                                const AprKeyRange_t *range, int64_t now_ms)
{
    const AprPendingRange_t *entry;
    int64_t release_ms;
    int64_t expiry_ms;

    if (AprGrantTable_IsReleased(table, range, now_ms)) {
        return now_ms;
    }
    entry = find_pending(table->pending, table->pending_count, range);
    if (entry == NULL) {
        return now_ms + table->grant_ms;
    }
    release_ms = entry->seen_ms + USUAL_HANDOVER_MS;
    if (release_ms < now_ms) {
        release_ms = now_ms + LATE_HANDOVER_MS;
    }
    expiry_ms = AprGrant_LatestExpiryMs(entry->seen_ms, table->grant_ms);
    return release_ms < expiry_ms ? release_ms : expiry_ms;
}

/* Handles a restart of the backend server: the grants of the previous
   incarnation have ended. The texts of the handover tokens are cleared,
   because the previous incarnation has used them and each is valid only once.
   The entries remain as proof that the keys were released. */
void
AprGrantTable_HandleRestart(AprGrantTable_t *table, int64_t now_ms)
{
    table->latest_expiry_ms = now_ms;
    for (int i = 0; i < table->token_count; i++) {
        table->tokens[i].token[0] = '\0';
    }
}

static bool
add_grant(AprGrant_t *grants, int *count, int capacity, int first, int last,
          int64_t fence, const char *token)
{
    AprGrant_t *grant;

    if (*count == capacity) {
        return false;
    }
    grant = &grants[(*count)++];
    grant->first = first;
    grant->last = last;
    grant->fence = fence;
    g_strlcpy(grant->token, token, sizeof(grant->token));
    return true;
}

/* Appends grants for those keys of a range whose handover tokens have arrived,
   and for the other keys only if the previous holder's grant has expired.
   Returns false when the list is full. */
static bool
add_range_grants(const AprGrantTable_t *table, const AprKeyRange_t *range,
                 bool holder_expired, AprGrant_t *grants, int *count,
                 int capacity)
{
    int key = range->first;

    while (key <= range->last) {
        const AprGrant_t *token = find_token(table, range, key);
        int end = key;

        if (token != NULL) {
            end = token->last < range->last ? token->last : range->last;
            if (!add_grant(grants, count, capacity, key, end, range->fence,
                           token->token)) {
                return false;
            }
        }
        else {
            while (end < range->last &&
                   find_token(table, range, end + 1) == NULL) {
                end++;
            }
            if (holder_expired && !add_grant(grants, count, capacity, key, end,
                                             range->fence, "")) {
                return false;
            }
        }
        key = end + 1;
    }
    return true;
}

/* Writes to `grants` the grants for the answer to a heartbeat of the backend
   server that arrived at `now_ms`; the backend server holds them from then on.
   Extends the latest expiry accordingly. Returns the number of grants, or -1
   when no grant may be renewed: without authority, without a generation, or
   when there are more than `capacity` grants. */
int
AprGrantTable_RenewGrants(AprGrantTable_t *table, const AprKeyMap_t *map,
                          int64_t generation, int64_t now_ms,
                          AprGrant_t *grants, int capacity)
{
    int count = 0;

    if (now_ms >= table->authority_until_ms || generation <= 0) {
        return -1;
    }
    for (int i = 0; i < map->count; i++) {
        const AprKeyRange_t *range = &map->ranges[i];

        if (strcmp(range->host, table->host) != 0) {
            continue;
        }
        if (!add_range_grants(table, range,
                              previous_grants_expired(table, range, now_ms),
                              grants, &count, capacity)) {
            return -1;
        }
    }
    for (int i = 0; i < count; i++) {
        grants[i].fence =
            grants[i].fence * APR_GENERATIONS_PER_FENCE + generation;
    }
    if (count > 0) {
        int64_t end_ms = AprGrant_LatestExpiryMs(now_ms, table->grant_ms);

        if (end_ms > table->latest_expiry_ms) {
            table->latest_expiry_ms = end_ms;
        }
    }
    return count;
}

/* Frees the lists of a heartbeat, but not the heartbeat itself. */
void
AprHeartbeat_FreeLists(AprHeartbeat_t *heartbeat)
{
    free(heartbeat->held);
    free(heartbeat->released);
    heartbeat->held = NULL;
    heartbeat->released = NULL;
    heartbeat->held_count = 0;
    heartbeat->released_count = 0;
}
