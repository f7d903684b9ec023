#ifndef APRICOT_INTERNAL_OWNERSHIP_STATE_H
#define APRICOT_INTERNAL_OWNERSHIP_STATE_H

/* Key ownership state of a gateway, shared by ownership.c (grants to the local
   backend server) and key_moves.c (changes of the key map). */

#include "apricot/departures.h"
#include "apricot/hot_range_plan.h"
#include "apricot/key_warmup.h"
#include "apricot/store_restore.h"
#include "internal/gateway.h"
#include "internal/generation_record.h"
#include "internal/removal_queue.h"

#define APR_MAX_GRANTS 1024
#define APR_MAX_MAPS 64
#define APR_MAX_CONDITIONS 2
#define APR_MAX_EARLY_RELEASES 256
#define APR_STORE_KEY_SIZE 256

/* The key map of one service as last known from the store. */
typedef struct AprServiceKeyMap_t {
    char service[APR_ROUTE_NAME_SIZE];
    AprKeyMap_t map;
    int64_t revisions[APR_KEY_PARTS]; /* of the stored parts; 0: not stored */
    /* Bit i: the store has lost assignments of part i that are known here. */
    uint32_t unsaved_parts;
    /* Host -> number of keys; NULL: to be counted again. */
    GHashTable *key_counts;
} AprServiceKeyMap_t;

/* Read of the own service's key map after a registration. */
typedef struct AprKeyMapRefresh_t {
    int64_t registered_revision; /* of the last registration; 0: none */
    int64_t read_revision;       /* the last read shows all changes up to it */
    int64_t wanted_revision;     /* same of the pending read */
    bool read_pending;
    char last_page_key[APR_STORE_KEY_SIZE]; /* the next page starts after it */
} AprKeyMapRefresh_t;

struct AprOwnership_t {
    AprGateway_t *gateway;
    AprServiceKeyMap_t maps[APR_MAX_MAPS];
    int map_count;
    AprKeyMapRefresh_t map_refresh;
    AprStoreRestore_t restore;
    bool settlement_pending; /* the store is asked to settle the era */
    int64_t next_settlement_ms;
    AprGrantTable_t grant_table;
    AprKeyDemand_t demand;
    int64_t last_demand_decay_ms;

    /* State from the heartbeats of the local backend server. */
    AprBackendIncarnation_t incarnation;     /* by the last heartbeat */
    AprGenerationRecord_t generation_record; /* stored generation */
    int64_t last_heartbeat_sequence;
    int64_t last_heartbeat_ms; /* receipt; 0: none */
    /* Keys that the backend server reports as held, with the fencing tokens of
       the key map; recorded while an era is not settled. */
    AprKeyRange_t *reported_keys;
    int reported_key_count;
    bool earlier_incarnation_checked; /* since the start of this process */
    bool backend_leaving;
    AprDepartures_t departures;
    /* Reply to a heartbeat that waits for a change; NULL if none waits. */
    AprHeartbeatReply_t pending_reply;
    void *pending_reply_context;
    int64_t pending_reply_deadline_ms; /* latest time of the reply */

    /* Grants that the backend server holds by the last reply. */
    AprGrant_t held_grants[APR_MAX_GRANTS];
    int held_grant_count;
    int64_t last_reply_ms;        /* time of the last reply with grants */
    int64_t held_grants_until_ms; /* new requests use them until then */
    AprKeyWarmup_t key_warmup;

    /* Proposed change of the own service's key map. Until it is settled, keys
       that it gives away are not granted. */
    bool change_in_flight; /* the change was sent and has no result yet */
    bool has_proposal;
    bool outcome_unknown;       /* an earlier attempt may still take effect */
    int change_failures;        /* attempts that did not settle the change */
    int64_t next_repetition_ms; /* earliest time of the next attempt */
    AprKeyMap_t proposal;
    uint32_t proposal_parts; /* bit i: part i changes */
    /* Revisions of the stored parts that the proposal replaces. */
    int64_t proposal_base_revisions[APR_KEY_PARTS];
    const char *proposal_reason; /* static text for the log */
    /* Own keys that the backend server released while the proposal was open,
       with the fencing token of their range. Who gets their handover tokens
       depends on the outcome. */
    AprGrant_t early_releases[APR_MAX_EARLY_RELEASES];
    int early_release_count;
    /* Conditions of the change in addition to the revisions of its parts. */
    AprKvCondition_t change_conditions[APR_MAX_CONDITIONS];
    char change_condition_keys[APR_MAX_CONDITIONS][APR_STORE_KEY_SIZE];
    int change_condition_count;
    bool grants_withheld; /* from the last heartbeat */
    int conflicts_in_row; /* of changes, also of different ones */
    int conflict_retries; /* retries of the current change after a conflict */

    int64_t next_rebalance_ms;     /* earliest time of the next rebalance */
    AprKeyDemand_t planned_demand; /* `demand` once the proposal is in force */
    /* Share of this host's demand that stays here once the proposal is in
       force; 0: the proposal does not change the demand. */
    double remaining_demand_share;
    AprHotRangePlanner_t hot_ranges; /* used if balancing is adaptive */
    int64_t last_query_ms; /* last query of the hosts about a missing one */
    int candidate_count;
    int64_t candidates_changed_ms; /* last change of candidate_count */
    int64_t started_ms;
    AprRemovalQueue_t removal_queue;
    int64_t next_loss_check_ms; /* next check for lost hosts */
};

int64_t AprOwnership_NowMs(const AprOwnership_t *ownership);
int64_t AprOwnership_NextHeartbeatMs(const AprOwnership_t *ownership);
const char *AprOwnership_OwnHost(const AprOwnership_t *ownership);
bool AprOwnership_IsOwnService(const AprOwnership_t *ownership,
                               const char *service);
AprServiceKeyMap_t *AprOwnership_FindMap(AprOwnership_t *ownership,
                                         const char *service);
AprServiceKeyMap_t *AprOwnership_FindOwnMap(AprOwnership_t *ownership);
int AprOwnership_CountKeysOf(AprServiceKeyMap_t *entry, const char *host);
int AprOwnership_CountOwnKeys(AprOwnership_t *ownership);
void AprOwnership_DropProposal(AprOwnership_t *ownership);
AprServiceKeyMap_t *AprOwnership_AddMap(AprOwnership_t *ownership,
                                        const char *service);
void AprOwnership_OnPartChanged(AprOwnership_t *ownership,
                                AprServiceKeyMap_t *entry, int part,
                                int64_t revision);
void AprOwnership_SendPendingReply(AprOwnership_t *ownership);
void AprOwnership_ReleaseAllKeys(AprOwnership_t *ownership);
void AprOwnership_SettleEarlyReleases(AprOwnership_t *ownership);
bool AprOwnership_IsRangeHeld(const AprOwnership_t *ownership,
                              const AprKeyRange_t *range);

/* Keys that arrived without a handover token (slow_keys.c). */
void AprOwnership_RecordReportedKeys(AprOwnership_t *ownership,
                                     const AprHeartbeat_t *heartbeat);
void AprOwnership_RecordGrantedKeys(AprOwnership_t *ownership);

/* Return of the store from an older copy (restored_store.c). */
void AprOwnership_AdoptPart(AprOwnership_t *ownership,
                            AprServiceKeyMap_t *entry,
                            const AprKeyMap_t *stored, int part,
                            int64_t revision);
void AprOwnership_JoinHeldKeys(AprOwnership_t *ownership,
                               const AprHeartbeat_t *heartbeat);
bool AprOwnership_IsMapSaved(AprOwnership_t *ownership);
bool AprOwnership_MayMoveOwnKeys(AprOwnership_t *ownership);
void AprOwnership_RecoverOnTick(AprOwnership_t *ownership);

/* Age of the local key map (key_map_refresh.c). */
int64_t AprKeyMapRefresh_KnownRevision(const AprOwnership_t *ownership);
bool AprKeyMapRefresh_MayGrant(AprOwnership_t *ownership);
bool AprKeyMapRefresh_Start(AprOwnership_t *ownership);

bool AprKeyMoves_CanSendChange(AprOwnership_t *ownership);
bool AprKeyMoves_IsPlanner(AprOwnership_t *ownership);
bool AprKeyMoves_SaveParts(AprOwnership_t *ownership,
                           const AprKvCondition_t *condition);
bool AprKeyMoves_OnHeartbeat(AprOwnership_t *ownership);
void AprKeyMoves_PlanOnTick(AprOwnership_t *ownership);

#endif
