#ifndef APRICOT_KV_H
#define APRICOT_KV_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "apricot/store_revision.h"

/* Asynchronous access to the platform's key-value store. Each operation calls
   `done` once, from the event loop, never before it returns.

   Result codes: APR_OK; APR_E_CONFLICT when a condition does not hold, with
   the present items of the conditions as far as the store returns them;
   APR_E_NOT_FOUND for a missing key or an expired lease; APR_E_STALE when the
   store no longer has the history from the requested revision on;
   APR_E_INVALID when the store forbids the operation; APR_E_UNAVAILABLE when
   the store refused the operation for now, without any effect;
   APR_E_UNKNOWN_OUTCOME when no response came, so that a change may still take
   effect; APR_E_PARSE for a malformed response.

   All revisions contain the store's era (store_revision.h). A result of an
   earlier era than the newest known one is reported as APR_E_UNKNOWN_OUTCOME,
   as is a change that was sent in an earlier era than it was carried out. A
   watch from a revision of an earlier era gets APR_E_STALE, and a change with
   such a condition APR_E_CONFLICT without items. */

/* An item, or the change notification of an item. */
typedef struct AprKvItem_t {
    const char *key;
    const char *value; /* decoded bytes with a NUL after them */
    size_t value_size;
    int64_t revision;
    int64_t lease; /* ID; 0: the item has no lease */
    bool removed;  /* in an event: the item was deleted */
} AprKvItem_t;

/* Result of an operation, valid only during the callback. Members that the
   operation does not report are 0. */
typedef struct AprKvResult_t {
    int code;
    int64_t revision; /* of the store, or of a committed change */
    int64_t lease;    /* ID of a new lease */
    int64_t ttl_ms;   /* time to live of a new lease */
    const AprKvItem_t *items;
    int item_count;
    bool has_more; /* a range has further items after the last one here */
} AprKvResult_t;

typedef void (*AprKvCallback_t)(void *context, const AprKvResult_t *result);

/* A condition of a change: the key has this revision, or does not exist if the
   revision is 0. */
typedef struct AprKvCondition_t {
    const char *key;
    int64_t revision;
} AprKvCondition_t;

typedef struct AprKvWrite_t {
    const char *key;
    const char *value;
    size_t value_size;
    int64_t lease; /* ID; 0: the item gets no lease */
} AprKvWrite_t;

/* Limit of the conditions, of the writes and of the removals of one change. A
   key map needs one condition and one write for each of its parts. */
#define APR_KV_MAX_ENTRIES 18

/* A transaction: all writes and removals take effect if all conditions hold,
   otherwise none does. */
typedef struct AprKvTransaction_t {
    AprKvCondition_t conditions[APR_KV_MAX_ENTRIES];
    int condition_count;
    AprKvWrite_t writes[APR_KV_MAX_ENTRIES];
    int write_count;
    const char *removals[APR_KV_MAX_ENTRIES];
    int removal_count;
} AprKvTransaction_t;

/* Operations of a store. The first argument of each is the state of the
   implementation, `self`. Arguments need to stay valid only during the call,
   except `context`, which the store passes to `done`. */
typedef struct AprKvStore_t {
    void *self; /* first argument of all operations */
    /* Lists the items whose key has the prefix and sorts after `after` (all
       of them if that is empty), possibly in several pages. `allow_stale`
       permits an outdated result, which costs the store less. */
    void (*range)(void *self, const char *prefix, const char *after,
                  bool allow_stale, AprKvCallback_t done, void *context);
    /* Waits up to `wait_ms` for changes below the prefix after a revision; no
       items: there were none in this time. */
    void (*watch)(void *self, const char *prefix, int64_t after_revision,
                  int64_t wait_ms, AprKvCallback_t done, void *context);
    /* Commits a transaction. */
    void (*commit)(void *self, const AprKvTransaction_t *transaction,
                   AprKvCallback_t done, void *context);
    /* Creates a lease; the store may choose another time to live. */
    void (*create_lease)(void *self, int64_t ttl_ms, AprKvCallback_t done,
                         void *context);
    /* Restarts the time to live of a lease. */
    void (*renew_lease)(void *self, int64_t lease, AprKvCallback_t done,
                        void *context);
    /* Ends a lease, which deletes its items. */
    void (*end_lease)(void *self, int64_t lease, AprKvCallback_t done,
                      void *context);
    /* Returns the newest known era of the store; 0: it has named none. */
    int64_t (*era)(void *self);
} AprKvStore_t;

#endif
