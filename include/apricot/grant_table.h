#ifndef APRICOT_GRANT_TABLE_H
#define APRICOT_GRANT_TABLE_H

#include <stdbool.h>
#include <stdint.h>

#include "apricot/key_map.h"

/* Time-limited grants of keys to the backend server of one host. The code
   makes decisions only; times are milliseconds of a monotonic clock that also
   counts the time during which the machine is suspended. */

#define APR_TOKEN_SIZE 64
#define APR_MAX_HANDOVER_TOKENS 256
#define APR_MAX_PENDING_RANGES 128

/* Number of backend server generations that a fencing token can tell apart.
   The token of a grant is the token of its range in the key map times this
   number, plus the generation of the backend server. A host whose backend
   server restarts every hour reaches the limit after a century. */
#define APR_GENERATIONS_PER_FENCE (1 << 20)

/* A range of keys that a backend server may serve, or reports to serve. */
typedef struct AprGrant_t {
    int first;
    int last;
    int64_t fence;
    /* Handover token of the previous holder; empty if there is none. */
    char token[APR_TOKEN_SIZE];
} AprGrant_t;

/* A heartbeat of a backend server. AprHeartbeat_FreeLists frees its lists. */
typedef struct AprHeartbeat_t {
    AprBackendIncarnation_t incarnation;
    int64_t sequence;
    char service[APR_NAME_SIZE];
    char address[APR_ADDRESS_SIZE];
    int slots;
    bool leaving;
    int64_t warm_up_ms; /* remaining warm-up time, during which it is slow */
    AprGrant_t *held;
    int held_count;
    AprGrant_t *released; /* `fence` of each entry is not set */
    int released_count;
} AprHeartbeat_t;

/* A range whose previous holder has to release it, or whose grant to that
   holder has to expire. */
typedef struct AprPendingRange_t {
    int64_t fence;
    /* Part of the key map; fencing tokens are unique only within a part. */
    int part;
    int64_t seen_ms; /* time at which this host learned of the change */
} AprPendingRange_t;

/* State of the grants of one host. */
typedef struct AprGrantTable_t {
    char host[APR_NAME_SIZE];
    int64_t grant_ms; /* validity period of a grant */
    /* No grant may be issued from this time on; extended by the caller. */
    int64_t authority_until_ms;
    int64_t latest_expiry_ms; /* latest expiry of all issued grants */
    AprGrant_t tokens[APR_MAX_HANDOVER_TOKENS];
    int token_count;
    AprPendingRange_t pending[APR_MAX_PENDING_RANGES];
    int pending_count;
} AprGrantTable_t;

void AprGrantTable_Init(AprGrantTable_t *table, const char *host,
                        int64_t grant_ms, int64_t now_ms);
int64_t AprGrant_LatestExpiryMs(int64_t granted_ms, int64_t grant_ms);
void AprGrantTable_AddHandoverToken(AprGrantTable_t *table,
                                    const AprGrant_t *grant);
void AprGrantTable_ApplyKeyMap(AprGrantTable_t *table, const AprKeyMap_t *map,
                               int64_t now_ms);
void AprGrantTable_RecordHeldKeys(AprGrantTable_t *table,
                                  const AprGrant_t *held, int count,
                                  int64_t generation);
void AprGrantTable_RestartWaits(AprGrantTable_t *table, int part);
bool AprGrantTable_IsReleased(const AprGrantTable_t *table,
                              const AprKeyRange_t *range, int64_t now_ms);
int64_t AprGrantTable_ExpectedReleaseMs(const AprGrantTable_t *table,
                                        const AprKeyRange_t *range,
                                        int64_t now_ms);
bool AprGrantTable_IsTakeoverPossible(const AprGrantTable_t *table,
                                      int64_t now_ms);
void AprGrantTable_HandleRestart(AprGrantTable_t *table, int64_t now_ms);
int AprGrantTable_RenewGrants(AprGrantTable_t *table, const AprKeyMap_t *map,
                              int64_t generation, int64_t now_ms,
                              AprGrant_t *grants, int capacity);
void AprHeartbeat_FreeLists(AprHeartbeat_t *heartbeat);

#endif
