#include "apricot/rate_limit.h"

#include <stdlib.h>
#include <string.h>

#include <glib.h>
#include <xxhash.h>

#include "apricot/clock.h"

#define CALLER_NAME_SIZE 64
#define NS_PER_S 1e9

typedef struct bucket_t {
    double tokens;
    struct timespec refilled_at;
} bucket_t;

typedef struct caller_t {
    GList link; /* in AprRateLimit_t.lru; link.data is this caller */
    char name[CALLER_NAME_SIZE];
    bucket_t bucket;
} caller_t;

struct AprRateLimit_t {
    double caller_rate;
    double service_rate;
    uint32_t max_callers;
    bool buckets_filled; /* the first request fills both shared buckets */
    bucket_t service_bucket;
    /* Shared by all callers that have no entry in `callers`. */
    bucket_t overflow_bucket;
    GHashTable *callers; /* from name to caller_t */
    GQueue lru;          /* of caller_t, least recently used first */
};

static guint
hash_name(gconstpointer name)
{
    return (guint)XXH3_64bits(name, strlen(name));
}

static double
burst_tokens(double rate)
{
    double burst = rate * APR_RATE_BURST_MS / 1000;

    return burst > 1 ? burst : 1;
}

static bool
is_unlimited(double rate)
{
    return rate <= 0;
}

static void
refill(bucket_t *bucket, double rate, struct timespec now)
{
    int64_t elapsed_ns = AprTime_DiffNs(now, bucket->refilled_at);

    if (elapsed_ns <= 0) {
        return;
    }
    bucket->tokens =
        MIN(bucket->tokens + rate * elapsed_ns / NS_PER_S, burst_tokens(rate));
    bucket->refilled_at = now;
}

/* Creates the limits of one service in requests per second; a rate of 0 means
   no limit. Up to `max_callers` callers have a bucket of their own. Returns
   NULL when memory runs out. */
AprRateLimit_t *
AprRateLimit_New(double caller_rate, double service_rate, uint32_t max_callers)
{
    AprRateLimit_t *limit = calloc(1, sizeof(*limit));

    if (limit == NULL) {
        return NULL;
    }
    limit->caller_rate = caller_rate;
    limit->service_rate = service_rate;
    limit->max_callers = max_callers;
    limit->callers = g_hash_table_new(hash_name, g_str_equal);
    g_queue_init(&limit->lru);
    return limit;
}

static void
evict_least_recent(AprRateLimit_t *limit)
{
    caller_t *least_recent = limit->lru.head->data;

    g_queue_unlink(&limit->lru, &least_recent->link);
    g_hash_table_remove(limit->callers, least_recent->name);
    free(least_recent);
}

/* Frees the limits; NULL is ignored. */
void
AprRateLimit_Free(AprRateLimit_t *limit)
{
    if (limit == NULL) {
        return;
    }
    while (limit->lru.head != NULL) {
        evict_least_recent(limit);
    }
    g_hash_table_destroy(limit->callers);
    free(limit);
}

static bucket_t
full_bucket(double rate, struct timespec now)
{
    return (bucket_t){burst_tokens(rate), now};
}

/* Returns whether the table has room for one more caller; evicts the least
   recently used one if needed. A caller is evicted only when its bucket is
   full again, because an earlier eviction would give it a second burst. */
static bool
ensure_room_for_caller(AprRateLimit_t *limit, struct timespec now)
{
    caller_t *least_recent;

    if (g_hash_table_size(limit->callers) < limit->max_callers) {
        return true;
    }
    if (limit->lru.head == NULL) {
        return false;
    }
    least_recent = limit->lru.head->data;
    refill(&least_recent->bucket, limit->caller_rate, now);
    if (least_recent->bucket.tokens < burst_tokens(limit->caller_rate)) {
        return false;
    }
    evict_least_recent(limit);
    return true;
}

static bucket_t *
find_or_add_bucket(AprRateLimit_t *limit, const char *name,
                   struct timespec now)
{
    caller_t *caller = g_hash_table_lookup(limit->callers, name);

    if (caller != NULL) {
        g_queue_unlink(&limit->lru, &caller->link);
        g_queue_push_tail_link(&limit->lru, &caller->link);
        return &caller->bucket;
    }
    if (!ensure_room_for_caller(limit, now)) {
        return &limit->overflow_bucket;
    }
    caller = calloc(1, sizeof(*caller));
    if (caller == NULL) {
        return &limit->overflow_bucket;
    }
    g_strlcpy(caller->name, name, sizeof(caller->name));
    /* The caller may have used the overflow bucket just before. Its own bucket
       starts with the tokens of that one, so that it gets no second burst. */
    refill(&limit->overflow_bucket, limit->caller_rate, now);
    caller->bucket = limit->overflow_bucket;
    caller->link.data = caller;
    g_queue_push_tail_link(&limit->lru, &caller->link);
    g_hash_table_insert(limit->callers, caller->name, caller);
    return &caller->bucket;
}

/* Takes one token from the buckets of the caller and of the service, or from
   neither. `caller` may be NULL; names are compared up to 63 bytes. */
AprRateDecision_t
AprRateLimit_TakeToken(AprRateLimit_t *limit, const char *caller,
                       struct timespec now)
{
    char name[CALLER_NAME_SIZE];
    bucket_t *caller_bucket = NULL;

    if (!limit->buckets_filled) {
        limit->service_bucket = full_bucket(limit->service_rate, now);
        limit->overflow_bucket = full_bucket(limit->caller_rate, now);
        limit->buckets_filled = true;
    }
    if (!is_unlimited(limit->caller_rate)) {
        g_strlcpy(name, caller == NULL ? "" : caller, sizeof(name));
        caller_bucket = find_or_add_bucket(limit, name, now);
        refill(caller_bucket, limit->caller_rate, now);
        if (caller_bucket->tokens < 1) {
            return APR_RATE_CALLER_EXCEEDED;
        }
    }
    if (!is_unlimited(limit->service_rate)) {
        refill(&limit->service_bucket, limit->service_rate, now);
        if (limit->service_bucket.tokens < 1) {
            return APR_RATE_SERVICE_EXCEEDED;
        }
        limit->service_bucket.tokens -= 1;
    }
    if (caller_bucket != NULL) {
        caller_bucket->tokens -= 1;
    }
    return APR_RATE_OK;
}
