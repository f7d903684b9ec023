#include "apricot/rate_limit.h"

#include <stdlib.h>
#include <string.h>

#include <glib.h>
#include <xxhash.h>

#include "apricot/clock.h"

#define CALLER_SIZE 64
#define NS_PER_S 1e9

typedef struct bucket_t {
    double tokens;
    struct timespec filled;
} bucket_t;

typedef struct caller_t {
    GList link; /* in `by_use`; link.data is the caller itself */
    char name[CALLER_SIZE];
    bucket_t bucket;
} caller_t;

struct AprRateLimit_t {
    double caller_rate;
    double service_rate;
    uint32_t max_callers;
    bool started;
    bucket_t service;
    bucket_t overflow; /* shared by callers that have no place in the table */
    GHashTable *callers;
    GQueue by_use; /* least recently used first */
};

static guint
hash_name(gconstpointer name)
{
    return (guint)XXH3_64bits(name, strlen(name));
}

static double
burst_of(double rate)
{
    double burst = rate * APR_RATE_BURST_MS / 1000;

    return burst > 1 ? burst : 1;
}

static bool
unlimited(double rate)
{
    return rate <= 0;
}

static void
refill(bucket_t *bucket, double rate, struct timespec now)
{
    int64_t elapsed_ns = AprTime_DiffNs(now, bucket->filled);

    if (elapsed_ns <= 0) {
        return;
    }
    bucket->tokens =
        MIN(bucket->tokens + rate * elapsed_ns / NS_PER_S, burst_of(rate));
    bucket->filled = now;
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
    g_queue_init(&limit->by_use);
    return limit;
}

static void
forget_oldest(AprRateLimit_t *limit)
{
    caller_t *oldest = limit->by_use.head->data;

    g_queue_unlink(&limit->by_use, &oldest->link);
    g_hash_table_remove(limit->callers, oldest->name);
    free(oldest);
}

/* Frees the limits. */
void
AprRateLimit_Free(AprRateLimit_t *limit)
{
    if (limit == NULL) {
        return;
    }
    while (limit->by_use.head != NULL) {
        forget_oldest(limit);
    }
    g_hash_table_destroy(limit->callers);
    free(limit);
}

static bucket_t
full_bucket(double rate, struct timespec now)
{
    return (bucket_t){burst_of(rate), now};
}

/* Makes room for one caller. A bucket is dropped only when it is full again,
   because dropping it earlier would give its caller a second burst. */
static bool
make_room(AprRateLimit_t *limit, struct timespec now)
{
    caller_t *oldest;

    if (g_hash_table_size(limit->callers) < limit->max_callers) {
        return true;
    }
    if (limit->by_use.head == NULL) {
        return false;
    }
    oldest = limit->by_use.head->data;
    refill(&oldest->bucket, limit->caller_rate, now);
    if (oldest->bucket.tokens < burst_of(limit->caller_rate)) {
        return false;
    }
    forget_oldest(limit);
    return true;
}

static bucket_t *
caller_bucket(AprRateLimit_t *limit, const char *name, struct timespec now)
{
    caller_t *caller = g_hash_table_lookup(limit->callers, name);

    if (caller != NULL) {
        g_queue_unlink(&limit->by_use, &caller->link);
        g_queue_push_tail_link(&limit->by_use, &caller->link);
        return &caller->bucket;
    }
    if (!make_room(limit, now)) {
        return &limit->overflow;
    }
    caller = calloc(1, sizeof(*caller));
    if (caller == NULL) {
        return &limit->overflow;
    }
    g_strlcpy(caller->name, name, sizeof(caller->name));
    /* It may have used the shared bucket just before; starting with what that
       one holds denies it a second burst. */
    refill(&limit->overflow, limit->caller_rate, now);
    caller->bucket = limit->overflow;
    caller->link.data = caller;
    g_queue_push_tail_link(&limit->by_use, &caller->link);
    g_hash_table_insert(limit->callers, caller->name, caller);
    return &caller->bucket;
}

/* Takes one token from the buckets of the caller and of the service, or from
   neither. `caller` may be NULL; names are compared up to 63 bytes. */
AprRateVerdict_t
AprRateLimit_Take(AprRateLimit_t *limit, const char *caller,
                  struct timespec now)
{
    char name[CALLER_SIZE];
    bucket_t *own = NULL;

    if (!limit->started) {
        limit->service = full_bucket(limit->service_rate, now);
        limit->overflow = full_bucket(limit->caller_rate, now);
        limit->started = true;
    }
    if (!unlimited(limit->caller_rate)) {
        g_strlcpy(name, caller == NULL ? "" : caller, sizeof(name));
        own = caller_bucket(limit, name, now);
        refill(own, limit->caller_rate, now);
        if (own->tokens < 1) {
            return APR_RATE_CALLER;
        }
    }
    if (!unlimited(limit->service_rate)) {
        refill(&limit->service, limit->service_rate, now);
        if (limit->service.tokens < 1) {
            return APR_RATE_SERVICE;
        }
        limit->service.tokens -= 1;
    }
    if (own != NULL) {
        own->tokens -= 1;
    }
    return APR_RATE_OK;
}
