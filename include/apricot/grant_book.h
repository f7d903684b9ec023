#ifndef APRICOT_GRANT_BOOK_H
#define APRICOT_GRANT_BOOK_H

#include <stdbool.h>
#include <stdint.h>

#include "apricot/key_map.h"

/* Grants of keys to the backend server of one host. Decisions only; times are
   milliseconds of a steady clock that also counts suspended time. */

#define APR_TOKEN_SIZE 64
#define APR_MAX_TOKENS 256
#define APR_MAX_PENDING 128

/* A fencing token is that of the range in the key map, times this, plus the
   generation of the backend server. A host at which a backend server starts
   every hour reaches the limit after a century. */
#define APR_FENCE_GENERATIONS (1 << 20)

/* Keys that a backend server may serve, or says that it serves. */
typedef struct AprGrant_t {
    int first;
    int last;
    int64_t fence;
    char token[APR_TOKEN_SIZE]; /* handover token of the last holder, or "" */
} AprGrant_t;

/* What a backend server says of itself. */
typedef struct AprBeat_t {
    AprBackendLife_t life;
    int64_t sequence;
    char service[APR_NAME_SIZE];
    char address[APR_ADDRESS_SIZE];
    int slots;
    bool leaving;
    int64_t cold_ms; /* time for which it is still slow after its start */
    AprGrant_t *held;
    int held_count;
    AprGrant_t *released; /* `fence` is not set */
    int released_count;
} AprBeat_t;

/* A range whose last holder must release it or run out. */
typedef struct AprPendingRange_t {
    int64_t fence;
    int part;        /* fencing tokens are unique within a part of the map */
    int64_t seen_ms; /* since when this host knows of the change */
} AprPendingRange_t;

typedef struct AprGrantBook_t {
    char host[APR_NAME_SIZE];
    int64_t hold_ms;            /* length of a grant */
    int64_t authority_until_ms; /* no grant may be given later */
    int64_t grants_end_ms;      /* latest end of all grants given */
    AprGrant_t tokens[APR_MAX_TOKENS];
    int token_count;
    AprPendingRange_t pending[APR_MAX_PENDING];
    int pending_count;
} AprGrantBook_t;

void AprGrantBook_Init(AprGrantBook_t *book, const char *host, int64_t hold_ms,
                       int64_t now_ms);
int64_t AprGrant_LatestEnd(int64_t granted_ms, int64_t hold_ms);
void AprGrantBook_AddToken(AprGrantBook_t *book, const AprGrant_t *grant);
void AprGrantBook_Observe(AprGrantBook_t *book, const AprKeyMap_t *map,
                          int64_t now_ms);
void AprGrantBook_NewLife(AprGrantBook_t *book, int64_t now_ms);
int AprGrantBook_Renew(AprGrantBook_t *book, const AprKeyMap_t *map,
                       int64_t generation, int64_t now_ms, AprGrant_t *grants,
                       int capacity);
void AprBeat_Free(AprBeat_t *beat);

#endif
