#ifndef APRICOT_KV_H
#define APRICOT_KV_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Asynchronous access to the platform's key-value service. Each operation
   calls `done` once, from the event loop, never before it returns.

   Result codes: APR_OK; APR_E_CONFLICT when a condition does not hold, with
   the present items of the conditions as far as the service gives them;
   APR_E_NOT_FOUND for a missing key or an ended lease; APR_E_STALE when the
   history asked for is gone; APR_E_UNAVAILABLE when the service refused and
   did nothing; APR_E_UNKNOWN when no answer came, so that a change may still
   take effect; APR_E_PARSE for an answer that cannot be read. */

typedef struct AprKvItem_t {
    const char *key;
    const char *value; /* decoded; followed by a NUL */
    size_t value_size;
    int64_t revision;
    int64_t lease; /* 0: none */
    bool removed;
} AprKvItem_t;

typedef struct AprKvResult_t {
    int code;
    int64_t revision; /* of the service, or of a change that was made */
    int64_t lease;
    int64_t ttl_ms;
    const AprKvItem_t *items;
    int item_count;
    bool more;
} AprKvResult_t;

typedef void (*AprKvDone_t)(void *context, const AprKvResult_t *result);

/* A condition of a change; revision 0: the key does not exist. */
typedef struct AprKvCondition_t {
    const char *key;
    int64_t revision;
} AprKvCondition_t;

typedef struct AprKvWrite_t {
    const char *key;
    const char *value;
    size_t value_size;
    int64_t lease;
} AprKvWrite_t;

/* Conditions, and writes, of one change; a key map takes one of each for each
   of its parts. */
#define APR_KV_MAX_ENTRIES 18

typedef struct AprKvChange_t {
    AprKvCondition_t conditions[APR_KV_MAX_ENTRIES];
    int condition_count;
    AprKvWrite_t writes[APR_KV_MAX_ENTRIES];
    int write_count;
    const char *removals[APR_KV_MAX_ENTRIES];
    int removal_count;
} AprKvChange_t;

typedef struct AprKv_t {
    void *service;
    void (*range)(void *service, const char *prefix, const char *after,
                  AprKvDone_t done, void *context);
    void (*watch)(void *service, const char *prefix, int64_t after_revision,
                  int64_t wait_ms, AprKvDone_t done, void *context);
    void (*change)(void *service, const AprKvChange_t *change,
                   AprKvDone_t done, void *context);
    void (*lease)(void *service, int64_t ttl_ms, AprKvDone_t done,
                  void *context);
    void (*renew)(void *service, int64_t lease, AprKvDone_t done,
                  void *context);
    void (*end_lease)(void *service, int64_t lease, AprKvDone_t done,
                      void *context);
} AprKv_t;

#endif
