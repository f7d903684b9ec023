#ifndef APRICOT_INTERNAL_OWNERSHIP_STATE_H
#define APRICOT_INTERNAL_OWNERSHIP_STATE_H

/* State that grants (ownership.c) and moves of keys (key_moves.c) share. */

#include "internal/gateway.h"
#include "internal/life_record.h"
#include "internal/removal_queue.h"

#define APR_MAX_GRANTS 1024
#define APR_MAX_MAPS 64
#define APR_MAX_CONDITIONS 2
#define APR_STORE_KEY_SIZE 256

typedef struct AprServiceMap_t {
    char service[APR_ROUTE_NAME_SIZE];
    AprKeyMap_t map;
    int64_t revisions[APR_KEY_PARTS]; /* 0: the part is not stored */
} AprServiceMap_t;

struct AprOwnership_t {
    AprGateway_t *gateway;
    AprServiceMap_t maps[APR_MAX_MAPS];
    int map_count;
    AprGrantBook_t book;
    AprKeyDemand_t demand;
    int64_t demand_ms;
    /* Heartbeats of the backend server. */
    AprBackendLife_t life;
    AprLifeRecord_t record;
    int64_t sequence;
    int64_t beat_ms; /* last one; 0: none */
    bool leaving;
    AprBeatReply_t reply; /* of a heartbeat that waits for a change */
    void *reply_context;
    int64_t reply_due_ms;
    /* What it holds by the last answer. */
    AprGrant_t granted[APR_MAX_GRANTS];
    int granted_count;
    int64_t granted_until_ms;
    /* A change of the own service's map that was sent. While its outcome is
       open, keys that it gives away are not granted. */
    bool changing;
    bool has_proposal;
    AprKeyMap_t proposal;
    uint32_t proposal_parts; /* that it changes, one bit each */
    int64_t proposal_revisions[APR_KEY_PARTS]; /* that it replaces */
    const char *proposal_reason;
    AprKvCondition_t conditions[APR_MAX_CONDITIONS]; /* besides the revision */
    char condition_keys[APR_MAX_CONDITIONS][APR_STORE_KEY_SIZE];
    int condition_count;
    int repeats;                   /* of the present change */
    int64_t rebalance_ms;          /* no plan before */
    AprKeyDemand_t planned_demand; /* once the plan is in force */
    double planned_share;          /* of the demand that stays; 0: no plan */
    int64_t asked_ms;
    int candidate_count;
    int64_t candidates_ms; /* last change of their number */
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
