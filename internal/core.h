#ifndef APRICOT_INTERNAL_CORE_H
#define APRICOT_INTERNAL_CORE_H

#include <glib.h>
#include <inttypes.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdbool.h>

#include "apricot/backend_client.h"
#include "apricot/clock.h"
#include "apricot/hot_keys.h"
#include "apricot/lease.h"
#include "apricot/log.h"
#include "apricot/metrics.h"
#include "apricot/outcomes.h"
#include "apricot/peer_net.h"
#include "apricot/placement.h"
#include "apricot/rank_queue.h"
#include "apricot/rate_limit.h"
#include "apricot/record.h"
#include "apricot/retry_budget.h"
#include "apricot/ring.h"
#include "apricot/service_config.h"
#include "apricot/settings.h"
#include "internal/http_entry.h"
#include "internal/event.h"
#include "internal/store_worker.h"

#define APR_CORE_TICK_MS 10
/* Members to which each member forwards records and configuration. */
#define APR_DISTRIBUTION_FAN_OUT 4

/* Target of the answer to a request at the owner of its key. */
typedef struct AprReplyTarget_t {
    bool local;           /* the entry request is in this process */
    AprLinkHandle_t link; /* of the entry's host; APR_NO_LINK if local */
    uint64_t id;          /* of the entry request */
} AprReplyTarget_t;

typedef enum AprOwnedState_t {
    APR_OWNED_FREE,
    APR_OWNED_QUEUED,
    APR_OWNED_RUNNING,  /* sent to the backend server */
    APR_OWNED_HELD,     /* held while its partition is being moved */
    APR_OWNED_DUPLICATE /* duplicate that waits for the first one's outcome */
} AprOwnedState_t;

/* A request at the owner of its key. Its handle is its index in
   the core's table of owned requests. */
typedef struct AprOwnedRequest_t {
    AprOwnedState_t state;
    uint32_t reuse_count; /* of the slot; tells its requests apart */
    AprReplyTarget_t reply;
    AprMessage_t *message;
    int service; /* index in AprCore_t.services */
    int partition;
    int rank;
    bool idempotent;
    uint64_t key_hash;
    struct timespec deadline;
    AprOutcomeHandle_t outcome; /* APR_NO_OUTCOME for an idempotent request */
    struct AprDispatchQueue_t *queue; /* while queued or running */
} AprOwnedRequest_t;

/* The rank queue of a backend server. A changed configuration replaces the
   queue; the old one is kept until its running requests have ended. */
typedef struct AprDispatchQueue_t {
    AprRankQueue_t *rank_queue;
    int running_count; /* requests sent to the backend server */
    bool retired;      /* replaced by a newer queue */
} AprDispatchQueue_t;

/* The backend server of a service on this host, as it announced itself. */
typedef struct AprLocalBackend_t {
    bool alive;
    char address[APR_ADDRESS_SIZE];
    int slots;
    int connections;
    bool verifies_grants;
    struct timespec announced_at;
} AprLocalBackend_t;

/* Counters of one rank of a service, by outcome. */
typedef struct AprRankCounters_t {
    AprMetric_t *answered;
    AprMetric_t *not_run;
    AprMetric_t *unknown;
    AprMetric_t *rejected;
} AprRankCounters_t;

/* State of one service in this process. */
typedef struct AprServiceState_t {
    AprServiceConfig_t config; /* generation 0: none published */
    AprLocalBackend_t backend;
    AprDispatchQueue_t *queue;
    int retired_running_count; /* running requests of replaced queues */
    AprRateLimit_t *rate_limit;
    AprRetryBudget_t retry_budget;
    AprHotKeys_t *hot_keys;
    AprRankCounters_t counters[APR_MAX_RANKS];
    /* Per partition. */
    int in_flight[APR_SLOTS];          /* requests at the backend server */
    uint64_t held_by_move[APR_SLOTS];  /* id of the move; 0: not held */
    uint64_t owned_epoch[APR_SLOTS];   /* epoch of ownership; 0: not owned */
    uint64_t owned_move_id[APR_SLOTS]; /* id of the move to here; 0: none */
    struct timespec owned_since[APR_SLOTS];
} AprServiceState_t;

/* A link that this process opened to a host of the record or to a seed. */
typedef struct AprOutboundLink_t {
    char host[APR_NAME_SIZE]; /* ":address" for a seed */
    char address[APR_ADDRESS_SIZE];
    AprLinkHandle_t link;
    bool up;
    bool host_mismatch;         /* another host answers at the address */
    int least_urgent_open_rank; /* least urgent rank that the overloaded host
                                   accepts */
    struct timespec hint_until; /* end of the overload hint's validity */
} AprOutboundLink_t;

typedef struct AprCore_t AprCore_t;

/* A queued change of the cell record. `apply` edits a copy of the record and
   returns APR_OK, APR_E_EXISTS when the record already contains the change, or
   another error when the change is no longer possible. `done` gets the result.
 */
typedef struct AprRecordChange_t {
    int (*apply)(AprCore_t *core, AprRecord_t *record, void *argument);
    void (*done)(AprCore_t *core, int result, void *argument);
    void *argument;
    bool in_swap;        /* included in the swap in progress */
    bool result_unknown; /* was included in a swap whose answer was lost */
} AprRecordChange_t;

typedef enum AprMembership_t {
    APR_MEMBERSHIP_STARTING, /* the record has not been read yet */
    APR_MEMBERSHIP_JOINING,
    APR_MEMBERSHIP_MEMBER,
    APR_MEMBERSHIP_LEFT
} AprMembership_t;

struct AprCore_t {
    AprSettings_t settings;
    AprClock_t clock;
    AprMetrics_t *metrics;
    AprRing_t *inbox;
    AprPeerNet_t *net;
    AprBackendClient_t *backends;
    AprStoreWorker_t *store;
    pthread_t thread;
    atomic_bool stop;
    atomic_bool draining; /* moves all partitions away */
    atomic_bool leaving;  /* planned stop: drains, leaves the record, exits */
    atomic_bool finished; /* the planned stop is over; the process may exit */

    uint64_t incarnation;
    AprMembership_t membership;
    AprRecord_t *record; /* newest known one; version 0: none */
    AprLease_t *lease;
    AprOutcomes_t *outcomes;
    int service_count;
    AprServiceState_t *services[APR_MAX_SERVICES];
    /* Highest configuration generation of a service. */
    uint64_t max_generation;
    uint64_t config_digest; /* over all services and their generations */

    GHashTable *links;       /* host -> AprOutboundLink_t */
    GHashTable *links_by_id; /* AprLinkHandle_t -> AprOutboundLink_t */
    /* AprLinkHandle_t -> host, for links opened by peers. */
    GHashTable *inbound;
    GHashTable *entries; /* id -> AprEntryRequest_t */
    uint64_t next_entry_id;
    struct timespec router_ran_at;    /* last entry request or router tick */
    struct timespec pause_hold_until; /* see PAUSE_HOLD_MS */
    GPtrArray *owned_requests; /* AprOwnedRequest_t; the index is the handle */
    GArray *free_owned_handles; /* handles of free slots */
    uint64_t tick_count;
    /* Number of owned requests that are held or duplicates. */
    int suspended_count;

    GQueue pending_changes;   /* AprRecordChange_t */
    AprRecord_t *swap_record; /* the copy in the swap in progress */
    bool swap_in_flight;      /* a swap is in progress */
    bool swap_delayed; /* no swap while a batch of changes is being queued */
    struct timespec next_swap_at;
    bool witness_change_queued;  /* a change of this member's witnesses is
                                    queued */
    bool witness_change_planned; /* a change of witnesses is delayed */
    struct timespec witness_change_at;
    bool join_queued;           /* joining the record is queued */
    bool claim_queued;          /* a claim of unowned partitions is queued */
    bool hot_key_change_queued; /* a change of a hot slot is queued */
    bool member_state_change_queued; /* a drain, its end or a departure is
                                        queued */
    uint32_t queued_offer_changes; /* queued ones: bit per index in services */
    bool seeds_opened;
    struct timespec draining_since;
    bool drain_started; /* draining_since is set for the present drain */

    GArray *move_requests;        /* AprMoveRequest_t of operators */
    GHashTable *active_moves;     /* id -> AprHandover_t */
    GHashTable *staged_outcomes;  /* "move/partition" -> AprStagedOutcomes_t */
    GHashTable *removal_attempts; /* host -> AprRemovalAttempt_t */
    bool removal_batch_pending;   /* ready removals wait to be swapped with
                                     others */
    struct timespec removal_batch_at;

    bool store_available; /* the last store request succeeded or conflicted */
    bool record_known;    /* from store or peer; version 0: none exists */
    bool record_read_pending;
    bool read_before_swap; /* no swap until the record has been read again */
    bool config_read;      /* the configuration has been read from the store */
    struct timespec next_tick;
    struct timespec next_placement;
    struct timespec next_hot_check;
    struct timespec next_hot_decay;
    struct timespec next_record_read;
    struct timespec next_config_read;
    struct timespec next_record_pull;
    struct timespec next_non_member_query; /* while not a member */
    struct timespec next_config_pull;
    struct timespec started_at;

    AprMetric_t *late_answers;
    AprMetric_t *lease_refusals;
    AprMetric_t *moves_done;
    AprMetric_t *moves_failed;
    AprMetric_t *removals_done;
    AprMetric_t *record_version_gauge;
    AprMetric_t *generation_gauge;
    AprMetric_t *lease_gauge;
    AprMetric_t *retries;
};

/* core.c */
AprCore_t *AprCore_New(const AprSettings_t *settings, const AprClock_t *clock);
void AprCore_Free(AprCore_t *core);
void AprCore_OnPeerMessage(AprCore_t *core, AprLinkHandle_t link,
                           AprMessage_t *message);
struct timespec AprCore_Now(const AprCore_t *core);
bool AprCore_IsMember(const AprCore_t *core);
AprMember_t AprCore_FindSelf(const AprCore_t *core);
AprMember_t AprCore_FindSelfIn(const AprCore_t *core,
                               const AprRecord_t *record);
int AprCore_FindService(const AprCore_t *core, const char *name);
int AprCore_AddService(AprCore_t *core, const char *name);

/* links.c */
AprOutboundLink_t *AprLinks_OpenForHost(AprCore_t *core, const char *host);
AprOutboundLink_t *AprLinks_FindById(AprCore_t *core, AprLinkHandle_t link);
void AprLinks_OnUp(AprCore_t *core, AprLinkHandle_t link, const char *host);
void AprLinks_OnDown(AprCore_t *core, AprLinkHandle_t link);
void AprLinks_CloseStale(AprCore_t *core);
void AprLinks_OpenSeeds(AprCore_t *core);
const char *AprLinks_FindHost(AprCore_t *core, AprLinkHandle_t link);
int AprLinks_SendToHost(AprCore_t *core, const char *host,
                        const AprMessage_t *message);
int AprLinks_Send(AprCore_t *core, AprLinkHandle_t link,
                  const AprMessage_t *message);
void AprLinks_SendToChildren(AprCore_t *core, const AprMessage_t *message);
void AprLinks_SendToRoot(AprCore_t *core, const AprMessage_t *message);

/* record_sync.c */
void AprRecordSync_QueueChange(
    AprCore_t *core, int (*apply)(AprCore_t *, AprRecord_t *, void *),
    void (*done)(AprCore_t *, int, void *), void *argument);
/* Cancels a queued change. Returns false when it may still take effect. */
bool AprRecordSync_CancelChange(AprCore_t *core, const void *argument);
void AprRecordSync_Tick(AprCore_t *core);
void AprRecordSync_OnStoreResult(AprCore_t *core, AprStoreResult_t *result);
void AprRecordSync_OnMessage(AprCore_t *core, AprLinkHandle_t link,
                             const AprMessage_t *message);
void AprRecordSync_OnWatch(AprCore_t *core, const char *data, size_t size,
                           int64_t revision);
void AprRecordSync_StartRead(AprCore_t *core);
void AprRecordSync_PullIfOlder(AprCore_t *core, AprLinkHandle_t link,
                               uint64_t version);
void AprRecordSync_SendIfNewer(AprCore_t *core, AprLinkHandle_t link,
                               uint64_t version);
void AprRecordSync_SendToHost(AprCore_t *core, const char *host);

/* config_sync.c */
void AprConfigSync_Tick(AprCore_t *core);
void AprConfigSync_OnStoreResult(AprCore_t *core, AprStoreResult_t *result);
void AprConfigSync_OnMessage(AprCore_t *core, AprLinkHandle_t link,
                             const AprMessage_t *message);
void AprConfigSync_OnWatch(AprCore_t *core, const char *data, size_t size);
void AprConfigSync_PullIfDifferent(AprCore_t *core, AprLinkHandle_t link,
                                   uint64_t digest);
void AprConfigSync_Exchange(AprCore_t *core, AprLinkHandle_t link);

/* membership.c */
void AprMembership_Tick(AprCore_t *core);
void AprMembership_OnMessage(AprCore_t *core, AprLinkHandle_t link,
                             const AprMessage_t *message);
/* Called after a newer record was adopted. */
void AprMembership_OnRecord(AprCore_t *core);
AprLeaseSettings_t AprMembership_GetLeaseSettings(const AprCore_t *core);
/* Returns the placement policy of a service from its configuration. */
AprPlacementPolicy_t AprMembership_GetPlacementPolicy(const AprCore_t *core,
                                                      const char *service);
/* Assigns partitions without an owner in a record that is being changed. */
void AprMembership_AssignUnowned(AprCore_t *core, AprRecord_t *record);

/* assignment.c */
void AprAssignment_Tick(AprCore_t *core, struct timespec now);

/* drain.c */
void AprDrain_Advance(AprCore_t *core, AprMember_t self, struct timespec now);
void AprDrain_CheckFinished(AprCore_t *core, struct timespec now);
/* Returns whether new work is refused because of a planned stop. */
bool AprDrain_RefusesWork(const AprCore_t *core);

/* removal_task.c */
void AprRemovalTask_Tick(AprCore_t *core);
void AprRemovalTask_OnRecord(AprCore_t *core);
/* Called after a read of the store: the record is as new as the store's. */
void AprRemovalTask_OnFreshRead(AprCore_t *core);
void AprRemovalTask_OnMessage(AprCore_t *core, AprLinkHandle_t link,
                              const AprMessage_t *message);

/* router.c: requests of callers at this process */
void AprRouter_OnEntryRequest(AprCore_t *core, AprEntryRequest_t *request);
void AprRouter_OnAnswer(AprCore_t *core, uint64_t id,
                        const AprAnswerMessage_t *answer);
void AprRouter_OnUndelivered(AprCore_t *core, const AprMessage_t *message);
void AprRouter_OnLinkDown(AprCore_t *core, AprLinkHandle_t link);
void AprRouter_Tick(AprCore_t *core);

/* owner.c: requests at the owner of their key */
void AprOwner_OnRequest(AprCore_t *core, AprReplyTarget_t reply,
                        AprMessage_t *message);
void AprOwner_OnCancel(AprCore_t *core, AprReplyTarget_t reply);
void AprOwner_OnBackendResult(AprCore_t *core, AprBackendResult_t *result);
void AprOwner_Dispatch(AprCore_t *core, int index);
void AprOwner_Tick(AprCore_t *core);
void AprOwner_RebuildQueue(AprCore_t *core, int index);
void AprOwner_OnRecord(AprCore_t *core, const AprRecord_t *previous);
void AprOwner_EndHold(AprCore_t *core, int index, int partition);
bool AprOwner_Owns(const AprCore_t *core, int service, int partition);
/* Used by partition_ownership.c. */
void AprOwner_CompleteAsMoved(AprCore_t *core, uint32_t handle,
                              const char *reason);
bool AprOwner_IsInPartition(const AprOwnedRequest_t *owned, int service,
                            int partition);

/* handover.c: planned moves */
void AprHandover_Init(AprCore_t *core);
void AprHandover_Tick(AprCore_t *core);
void AprHandover_OnMessage(AprCore_t *core, AprLinkHandle_t link,
                           AprMessage_t *message);
void AprHandover_OnIdle(AprCore_t *core, int service, int partition);
int AprHandover_Start(AprCore_t *core, int service, AprMember_t to,
                      const uint16_t *partitions, int count);
/* Queues an operator's request to move a partition. The move is retried for
   some seconds when it can't be started or is aborted. */
void AprHandover_QueueRequest(AprCore_t *core, int service, const char *to,
                              uint16_t partition);
/* Imports the outcomes staged for a partition that this process now owns.
   Returns false when there is no complete set for this move id. */
bool AprHandover_ImportStaged(AprCore_t *core, int service, int partition,
                              uint64_t move_id);
int AprHandover_CountActive(const AprCore_t *core);

/* hot_key_task.c */
void AprHotKeyTask_Tick(AprCore_t *core);

/* admin.c */
void AprAdmin_HandleRequest(AprCore_t *core,
                            struct AprAdminRequest_t *request);

#endif
