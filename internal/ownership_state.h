#ifndef APRICOT_INTERNAL_OWNERSHIP_STATE_H
#define APRICOT_INTERNAL_OWNERSHIP_STATE_H

/* Key ownership state of a gateway, shared by ownership.c (grants to the local
   backend server) and key_moves.c (changes of the key map). */

#include "internal/gateway.h"
#include "internal/life_record.h"
#include "internal/removal_queue.h"

#define APR_MAX_GRANTS 1024
#define APR_MAX_MAPS 64
#define APR_MAX_CONDITIONS 2
#define APR_STORE_KEY_SIZE 256

/* The key map of one service as last known from the store. */
typedef struct AprServiceMap_t {
    char service[APR_ROUTE_NAME_SIZE];
    AprKeyMap_t map;
    int64_t revisions[APR_KEY_PARTS]; /* of the stored parts; 0: not stored */
} AprServiceMap_t;

struct AprOwnership_t {
    AprGateway_t *gateway;
    AprServiceMap_t maps[APR_MAX_MAPS];
    int map_count;
    AprGrantBook_t book;
    AprKeyDemand_t demand;
    int64_t demand_ms; /* last decay of `demand` */

    /* State from the heartbeats of the local backend server. */
    AprBackendLife_t life;  /* its instance by the last heartbeat */
    AprLifeRecord_t record; /* stored generation of its instances */
    int64_t sequence;       /* of the last heartbeat */
    int64_t beat_ms;        /* receipt of the last heartbeat; 0: none */
    bool leaving;
    /* Reply to a heartbeat that waits for a change; NULL if none waits. */
    AprBeatReply_t reply;
    void *reply_context;
    int64_t reply_due_ms; /* latest time of the reply */

    /* Grants that the backend server holds by the last reply. */
    AprGrant_t granted[APR_MAX_GRANTS];
    int granted_count;
    int64_t granted_until_ms;

    /* Proposed change of the own service's key map. While its outcome is
       unknown, keys that it gives away are not granted. */
    bool changing; /* the change was sent and has no result yet */
    bool has_proposal;
    AprKeyMap_t proposal;
    uint32_t proposal_parts;                   /* bit i: part i changes */
    int64_t proposal_revisions[APR_KEY_PARTS]; /* replaced by the proposal */
    const char *proposal_reason;
    /* Conditions of the change in addition to the revisions of its parts. */
    AprKvCondition_t conditions[APR_MAX_CONDITIONS];
    char condition_keys[APR_MAX_CONDITIONS][APR_STORE_KEY_SIZE];
    int condition_count;
    int repeats; /* retries of the current change after a conflict */

    int64_t rebalance_ms;          /* earliest time of the next rebalance */
    AprKeyDemand_t planned_demand; /* `demand` once the proposal is in force */
    double planned_share; /* share of the demand that remains; 0: no plan */
    int64_t asked_ms;     /* last query of the hosts about a missing one */
    int candidate_count;
    int64_t candidates_ms; /* last change of candidate_count */
    int64_t started_ms;
    AprRemovalQueue_t removals;
};

int64_t AprOwnership_NowMs(const AprOwnership_t *ownership);
const char *AprOwnership_OwnHost(const AprOwnership_t *ownership);
bool AprOwnership_IsOwnService(const AprOwnership_t *ownership,
                               const char *service);
AprServiceMap_t *AprOwnership_FindMap(AprOwnership_t *ownership,
                                      const char *service);
AprServiceMap_t *AprOwnership_OwnMap(AprOwnership_t *ownership);
bool AprOwnership_IsKeyed(const AprOwnership_t *ownership);
int AprOwnership_OwnKeys(AprOwnership_t *ownership);
void AprOwnership_DropProposal(AprOwnership_t *ownership);
AprServiceMap_t *AprOwnership_AddMap(AprOwnership_t *ownership,
                                     const char *service);
void AprOwnership_PartChanged(AprOwnership_t *ownership,
                              AprServiceMap_t *entry, int part,
                              int64_t revision);
void AprOwnership_FlushReply(AprOwnership_t *ownership);
void AprOwnership_ReleaseEnded(AprOwnership_t *ownership);

bool AprKeyMoves_MayChange(AprOwnership_t *ownership);
bool AprKeyMoves_OnBeat(AprOwnership_t *ownership);
void AprKeyMoves_Plan(AprOwnership_t *ownership);

#endif
