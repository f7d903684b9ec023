#include "apricot/grant_book.h"

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

/* Initializes the state without authority to issue grants. Grants that an
   earlier process of this host issued may still be in force, so their expiry
   is taken as if they had been issued now. */
void
AprGrantBook_Init(AprGrantBook_t *book, const char *host, int64_t hold_ms,
                  int64_t now_ms)
{
    memset(book, 0, sizeof(*book));
    g_strlcpy(book->host, host, sizeof(book->host));
    book->hold_ms = hold_ms;
    book->authority_until_ms = now_ms;
    book->grants_end_ms = AprGrant_LatestEnd(now_ms, hold_ms);
}

/* Returns the time by which a grant issued at `granted_ms` for `hold_ms` has
   expired even at a backend server with the slowest permitted clock. */
int64_t
AprGrant_LatestEnd(int64_t granted_ms, int64_t hold_ms)
{
    return granted_ms + hold_ms + hold_ms * MAX_CLOCK_DRIFT_PERCENT / 100 +
           GRANT_EXPIRY_MARGIN_MS;
}

/* Stores a copy of the handover token of released keys, with the fencing token
   of the range in the key map that it belongs to. Replaces the token of the
   same keys; otherwise drops the oldest token when there is no room. */
void
AprGrantBook_AddToken(AprGrantBook_t *book, const AprGrant_t *grant)
{
    for (int i = 0; i < book->token_count; i++) {
        AprGrant_t *entry = &book->tokens[i];

        if (entry->first == grant->first && entry->last == grant->last) {
            *entry = *grant;
            return;
        }
    }
    if (book->token_count == APR_MAX_HANDOVER_TOKENS) {
        memmove(book->tokens, book->tokens + 1,
                (APR_MAX_HANDOVER_TOKENS - 1) * sizeof(*book->tokens));
        book->token_count--;
    }
    book->tokens[book->token_count++] = *grant;
}

/* Returns the handover token that covers a key of a range, or NULL. Tokens of
   earlier assignments of the range do not count. */
static const AprGrant_t *
find_token(const AprGrantBook_t *book, const AprKeyRange_t *range, int key)
{
    for (int i = book->token_count - 1; i >= 0; i--) {
        const AprGrant_t *token = &book->tokens[i];

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
AprGrantBook_Observe(AprGrantBook_t *book, const AprKeyMap_t *map,
                     int64_t now_ms)
{
    AprPendingRange_t earlier[APR_MAX_PENDING_RANGES];
    int earlier_count = book->pending_count;

    memcpy(earlier, book->pending, sizeof(earlier));
    book->pending_count = 0;
    for (int i = 0; i < map->count; i++) {
        const AprKeyRange_t *range = &map->ranges[i];
        const AprPendingRange_t *known;
        AprPendingRange_t *entry;

        if (range->releasing_host[0] == '\0' ||
            strcmp(range->host, book->host) != 0 ||
            book->pending_count == APR_MAX_PENDING_RANGES) {
            continue;
        }
        known = find_pending(earlier, earlier_count, range);
        entry = &book->pending[book->pending_count++];
        entry->fence = range->fence;
        entry->part = range->first / APR_KEYS_PER_PART;
        entry->seen_ms = known == NULL ? now_ms : known->seen_ms;
    }
}

/* Whether no grant of a previous owner of the range can still be in force. */
static bool
previous_grants_expired(const AprGrantBook_t *book, const AprKeyRange_t *range,
                        int64_t now_ms)
{
    const AprPendingRange_t *entry;

    if (range->releasing_host[0] == '\0') {
        return true;
    }
    entry = find_pending(book->pending, book->pending_count, range);
    return entry != NULL &&
           now_ms >= AprGrant_LatestEnd(entry->seen_ms, book->hold_ms);
}

/* Handles a restart of the backend server: the grants of the previous
   incarnation have ended. The handover tokens are cleared, because the
   previous incarnation has used them and each is valid only once. The entries
   remain as proof that the keys were released. */
void
AprGrantBook_NewLife(AprGrantBook_t *book, int64_t now_ms)
{
    book->grants_end_ms = now_ms;
    for (int i = 0; i < book->token_count; i++) {
        book->tokens[i].token[0] = '\0';
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
add_range_grants(const AprGrantBook_t *book, const AprKeyRange_t *range,
                 bool holder_expired, AprGrant_t *grants, int *count,
                 int capacity)
{
    int key = range->first;

    while (key <= range->last) {
        const AprGrant_t *token = find_token(book, range, key);
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
                   find_token(book, range, end + 1) == NULL) {
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

/* Lists the grants that the backend server of this host holds from a heartbeat
   on that arrived at `now_ms`, and extends the latest expiry accordingly.
   Returns the number of grants, or -1 when no grant may be renewed: without
   authority, without a generation, or when the list exceeds `capacity`. */
int
AprGrantBook_Renew(AprGrantBook_t *book, const AprKeyMap_t *map,
                   int64_t generation, int64_t now_ms, AprGrant_t *grants,
                   int capacity)
{
    int count = 0;

    if (now_ms >= book->authority_until_ms || generation <= 0) {
        return -1;
    }
    for (int i = 0; i < map->count; i++) {
        const AprKeyRange_t *range = &map->ranges[i];

        if (strcmp(range->host, book->host) != 0) {
            continue;
        }
        if (!add_range_grants(book, range,
                              previous_grants_expired(book, range, now_ms),
                              grants, &count, capacity)) {
            return -1;
        }
    }
    for (int i = 0; i < count; i++) {
        grants[i].fence =
            grants[i].fence * APR_GENERATIONS_PER_FENCE + generation;
    }
    if (count > 0) {
        int64_t end_ms = AprGrant_LatestEnd(now_ms, book->hold_ms);

        if (end_ms > book->grants_end_ms) {
            book->grants_end_ms = end_ms;
        }
    }
    return count;
}

/* Frees the lists of a heartbeat, but not the heartbeat itself. */
void
AprBeat_Free(AprBeat_t *beat)
{
    free(beat->held);
    free(beat->released);
    beat->held = NULL;
    beat->released = NULL;
    beat->held_count = 0;
    beat->released_count = 0;
}
