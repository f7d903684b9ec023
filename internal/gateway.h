#ifndef APRICOT_INTERNAL_GATEWAY_H
#define APRICOT_INTERNAL_GATEWAY_H

#include <ev.h>
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "apricot/clock.h"
#include "apricot/evacuation.h"
#include "apricot/gateway_settings.h"
#include "apricot/grant_table.h"
#include "apricot/key_plan.h"
#include "apricot/kv.h"
#include "apricot/body_pacing.h"
#include "apricot/memory_budget.h"
#include "apricot/network_delay.h"
#include "apricot/metrics.h"
#include "apricot/retry_budget.h"
#include "apricot/route_table.h"
#include "apricot/stop_plan.h"
#include "apricot/time_limits.h"
#include "internal/call.h"
#include "internal/freshness.h"
#include "internal/host_choice.h"
#include "internal/link_frame.h"
#include "internal/stream.h"

/* The gateway process of a host. It runs on a single event loop: a gateway has
   a fifth of a core, where passing requests between threads costs more than it
   gains. */

/* Names of the headers between callers, gateways and backend servers. */
typedef struct AprHeaderNames_t {
    const char *attempt_id; /* id of one attempt of a caller */
    const char *timeout;    /* milliseconds until the caller times out */
    const char *expected_incarnation; /* id of the incarnation to answer */
    const char *not_executed; /* in an answer: the request was not executed */
    const char *caller_service; /* service on the host of the caller */
    const char *key;            /* for a service with keys */
    /* In a response: requests a second that the backend server takes. */
    const char *request_limit;
    const char *leaving; /* in a response: "1" if the backend server leaves */
    /* In a response: running and waiting requests, slots and, optionally, the
       pace of the backend server; see AprServerLoad_t. NULL: none. */
    const char *server_load;
    /* Ends the id of the running request at the start of the id of a call that
       this request makes; 0: ids do not show which request made a call. */
    char nested_separator;
    /* Each response repeats attempt_id; one without it is not accepted. */
    bool attempt_id_echoed;
    /* In a response to a health probe: remaining cold time in milliseconds. */
    const char *cold_left;
    /* In a response to a health probe: id of the incarnation that sent it.
       NULL: none. */
    const char *incarnation;
} AprHeaderNames_t;

typedef struct AprGateway_t AprGateway_t;
typedef struct AprBackend_t AprBackend_t;
typedef struct AprLinks_t AprLinks_t;
typedef struct AprMembers_t AprMembers_t;
typedef struct AprOwnership_t AprOwnership_t;
typedef struct AprStoreCache_t AprStoreCache_t;
typedef struct AprIngress_t AprIngress_t;

/* Parses the configuration that operators publish. The caller frees the
   table. */
typedef int (*AprParseRoutes_t)(const char *text, size_t size,
                                AprRouteTable_t **table, AprError_t *error);

typedef struct AprGatewayOptions_t {
    const AprGatewaySettings_t *settings;
    const AprHeaderNames_t *header_names;
    const AprKvStore_t *kv;
    const char *config_key;
    AprParseRoutes_t parse_routes;
    /* Keys that the operators write, including config_key; watched instead of
       config_key if evacuation is used. */
    const char *operator_prefix;
    /* The item with this prefix and the name of a failure domain exists while
       that is evacuated. Starts with operator_prefix. */
    const char *evacuation_prefix;
} AprGatewayOptions_t;

/* Number of buckets in the histogram of response times. */
#define APR_DURATION_BUCKETS 10

/* Retry-After of a stopping process, which usually has restarted by then. */
#define APR_RESTART_RETRY_AFTER_MS 1500

/* Steps of a graceful shutdown. */
typedef enum AprStopStep_t {
    APR_STOP_NONE,
    APR_STOP_REFUSE_CALLERS, /* callers are told to use another host */
    APR_STOP_REFUSE_PEERS,   /* calls from other hosts are refused as well */
    APR_STOP_CLOSE_LISTENER, /* no new connections are accepted */
    APR_STOP_EXIT,           /* the other hosts were told so */
    APR_STOP_DONE            /* the process leaves the event loop */
} AprStopStep_t;

struct AprGateway_t {
    struct ev_loop *loop;
    AprStreamSet_t *streams;
    AprClock_t clock;
    AprGatewaySettings_t settings;
    const AprHeaderNames_t *header_names;
    const AprKvStore_t *kv;
    const char *config_key;
    AprParseRoutes_t parse_routes;
    const char *operator_prefix;
    const char *evacuation_prefix;
    AprEvacuation_t evacuation;
    AprRouteTable_t *routes; /* NULL until the first configuration */
    AprBackend_t *backend;
    AprLinks_t *links;
    AprMembers_t *members;
    AprOwnership_t *ownership;
    AprStoreCache_t *store_cache;
    AprIngress_t *ingress;
    AprMetrics_t *metrics;
    AprMetric_t *duration_buckets[APR_DURATION_BUCKETS];
    AprRetryBudget_t retry_budget;
    AprMemoryBudget_t memory_budget;
    AprBodyPacing_t body_pacing;     /* of calls from other hosts */
    AprNetworkDelay_t network_delay; /* of requests from other hosts */
    size_t head_bytes;         /* memory of the heads of callers' requests */
    int64_t closed_for_memory; /* connections, since the last log line */
    int64_t closed_for_descriptors;
    int64_t last_limit_log_ms;
    GHashTable *time_limits; /* route name -> AprTimeLimits_t, owned */
    AprStopStep_t stop_step;
    AprStopPlan_t stop_plan; /* valid while stopping */
    int64_t links_ended_ms;  /* call of AprLinks_EndInbound(); 0: none */
    int64_t last_tick_ms;
    int64_t last_late_tick_ms; /* 0: none */
    ev_timer tick_timer;
    ev_timer start_calls_timer; /* fed when calls wait to be started */
    ev_timer stop_timer;
};

int64_t AprGateway_NowMs(const AprGateway_t *gateway);
AprGateway_t *AprGateway_New(struct ev_loop *loop, AprStreamSet_t *streams,
                             const AprGatewayOptions_t *options);
void AprGateway_Free(AprGateway_t *gateway);
int AprGateway_Start(AprGateway_t *gateway, AprError_t *error);
void AprGateway_ApplySettings(AprGateway_t *gateway,
                              const AprGatewaySettings_t *settings);
void AprGateway_Stop(AprGateway_t *gateway);
bool AprGateway_IsReady(const AprGateway_t *gateway);
AprRetryBudget_t *AprGateway_GetRetryBudget(AprGateway_t *gateway);
/* Returns the deadline of a request that this process may handle until then: a
   planned stop may bring it forward. */
int64_t AprGateway_LimitDeadline(const AprGateway_t *gateway,
                                 int64_t deadline_ms);
/* Returns the estimated time since the caller's first attempt of a request
   that arrives with this time limit. */
int64_t AprGateway_EstimateWaitedMs(AprGateway_t *gateway, const char *route,
                                    int64_t limit_ms);
/* Returns whether learned costs and reported load decide on the placement of
   requests and keys. */
bool AprGateway_IsBalancingAdaptive(const AprGateway_t *gateway);
/* Returns the configuration of the local backend server's service, or NULL
   while it is not known. */
const AprServiceSpec_t *
AprGateway_GetBackendService(const AprGateway_t *gateway);
/* Evacuated failure domains (evacuations.c). */
void AprGateway_ApplyEvacuation(AprGateway_t *gateway, const char *domain,
                                const AprKvItem_t *item, int64_t complete_ms);
bool AprGateway_IsEvacuated(const AprGateway_t *gateway, const char *domain);
bool AprGateway_MayStartIn(const AprGateway_t *gateway, const char *domain,
                           const char *service, bool keyed);
bool AprGateway_IsHandoverDue(const AprGateway_t *gateway);
void AprGateway_GetLoad(AprGateway_t *gateway, AprHostLoad_t *load);
char *AprGateway_FormatState(AprGateway_t *gateway);
/* Adds a request to the histogram of response times. */
void AprGateway_ObserveDuration(AprGateway_t *gateway, int64_t took_ms);
void AprGateway_IncrementCounter(AprGateway_t *gateway, const char *name,
                                 const char *labels);

/* Limits on memory and descriptors (resource_limits.c). */
void AprResources_Init(AprGateway_t *gateway);
void AprResources_Free(AprGateway_t *gateway);
void AprResources_Update(AprGateway_t *gateway);
void AprResources_Tick(AprGateway_t *gateway);
/* Counts a connection that is closed for a reason: "memory" or
   "descriptors". */
void AprResources_CountClosed(AprGateway_t *gateway, const char *reason);

/* The local backend server: its queue, connections and load (backend.c and
   backend_*.c). */
AprBackend_t *AprBackend_New(AprGateway_t *gateway);
void AprBackend_Free(AprBackend_t *backend);
bool AprBackend_Submit(AprBackend_t *backend, const AprCallHead_t *head,
                       const char *data, size_t size, bool end,
                       const AprCallHandlers_t *handlers, void *context,
                       AprCallRef_t *ref, AprCallFailure_t *failure);
void AprBackend_OnHeartbeat(AprBackend_t *backend,
                            const AprHeartbeat_t *heartbeat);
void AprBackend_LimitDeadlines(AprBackend_t *backend);
void AprBackend_StartDrain(AprBackend_t *backend);
void AprBackend_EndDrain(AprBackend_t *backend);
void AprBackend_Tick(AprBackend_t *backend);
void AprBackend_GetLoad(const AprBackend_t *backend, AprHostLoad_t *load);
double AprBackend_RelativeDemand(const AprBackend_t *backend);
void AprBackend_ScaleDemand(AprBackend_t *backend, double factor);
const AprBackendIncarnation_t *
AprBackend_GetIncarnation(const AprBackend_t *backend);
bool AprBackend_AcceptsCalls(const AprBackend_t *backend);
bool AprBackend_IsOpen(const AprBackend_t *backend);
bool AprBackend_IsProbeDue(const AprBackend_t *backend);
bool AprBackend_IsUnreachable(const AprBackend_t *backend);
bool AprBackend_IsCold(const AprBackend_t *backend);
int AprBackend_CountSlots(const AprBackend_t *backend);
int AprBackend_CountUsableSlots(const AprBackend_t *backend);
int AprBackend_CountCalls(const AprBackend_t *backend);
void AprBackend_RecordNestedCall(AprBackend_t *backend,
                                 const AprCallHead_t *parent);
size_t AprBackend_HeldBytes(const AprBackend_t *backend);
double AprBackend_FindLargestQueued(AprBackend_t *backend, int64_t now_ms,
                                    uint64_t *id);
void AprBackend_RefuseQueued(AprBackend_t *backend, uint64_t id);
/* Returns the request with the given id if the backend server runs it now,
   else NULL. */
const AprCallHead_t *AprBackend_FindRunningRequest(const AprBackend_t *backend,
                                                   const char *id);

/* Connections to the gateways of other hosts (links.c,
   link_receive.c, link_health.c, link_calls.c). */
AprLinks_t *AprLinks_New(AprGateway_t *gateway);
void AprLinks_Free(AprLinks_t *links);
int AprLinks_Listen(AprLinks_t *links, const char *address);
bool AprLinks_Submit(AprLinks_t *links, const char *host,
                     const AprCallHead_t *head, const char *data, size_t size,
                     bool end, const AprCallHandlers_t *handlers,
                     void *context, AprCallRef_t *ref,
                     AprCallFailure_t *failure);
int AprLinks_CountOutboundCalls(const AprLinks_t *links, const char *host);
int64_t AprLinks_UnansweredPingMs(const AprLinks_t *links, const char *host);
void AprLinks_SendHandoverToken(AprLinks_t *links, const char *host,
                                const char *service, const AprGrant_t *grant);
bool AprLinks_RequestLeaseRenewal(AprLinks_t *links, const char *host,
                                  int64_t lease);
/* Asks a host for the items that changed after a revision, and subscribes to
   those that change within the next seconds. */
void AprLinks_SubscribeToItems(AprLinks_t *links, const char *host,
                               int64_t revision);
/* Sends the changed items to the hosts that subscribed to them. */
void AprLinks_SendChangedItems(AprLinks_t *links);
/* Tells the other hosts which of their calls this host has read. Later ones
   are ignored. */
void AprLinks_SendGoaway(AprLinks_t *links);
void AprLinks_EndInbound(AprLinks_t *links);
bool AprLinks_HasInbound(const AprLinks_t *links);
/* Returns the milliseconds since a host last sent bytes; -1: never. */
int64_t AprLinks_LastReceivedAgeMs(const AprLinks_t *links, const char *host);
bool AprLinks_IsHostAlive(const AprLinks_t *links, const char *host);
void AprLinks_Ping(AprLinks_t *links, const char *host);
/* Asks `host` when it last received bytes from the host `about`. The answer is
   recorded with AprMembers_RecordReachability(). */
void AprLinks_QueryReachability(AprLinks_t *links, const char *host,
                                const char *about);
void AprLinks_Tick(AprLinks_t *links);
int AprLinks_CountInboundCalls(const AprLinks_t *links);
size_t AprLinks_HeldBytes(const AprLinks_t *links);
void AprLinks_SendRenewalResult(AprLinks_t *links, const char *host,
                                int64_t lease, int64_t age_ms);

/* A host of the installation, as known from its entry in the store and from
   links. This host is in the table as well. */
typedef struct AprHost_t {
    char host[APR_NAME_SIZE];
    char address[APR_ADDRESS_SIZE]; /* where its gateway accepts links */
    char failure_domain[APR_NAME_SIZE];
    char service[APR_ROUTE_NAME_SIZE];
    GQuark service_id;  /* of `service` */
    bool is_self;       /* this host */
    bool in_own_domain; /* in the failure domain of this host */
    AprBackendIncarnation_t incarnation; /* empty id: none */
    int slots;
    int relay_capacity; /* for passing items on, see members.c */
    bool accepts_calls; /* its backend server accepts new work */
    bool leaving;       /* its backend server is shutting down */
    bool registered;    /* it has an entry in the store */
    int64_t entry_removed_ms;
    int64_t lease_id;          /* id of the entry's lease */
    int64_t entry_revision;    /* store revision of the entry */
    AprHostLoad_t load_report; /* the latest */
    int64_t load_report_ms;    /* receipt of load_report; 0: not valid */
    int64_t unreachable_ms;    /* last failure to reach it; 0: none */
    int sent_count; /* unkeyed requests sent to it since load_report */
    AprRecentFailures_t failures; /* of unkeyed requests sent to it */
    /* Last time at which another host received bytes from it; 0: not known. */
    int64_t heard_by_peer_ms;
} AprHost_t;

AprMembers_t *AprMembers_New(AprGateway_t *gateway);
void AprMembers_Free(AprMembers_t *members);
void AprMembers_ApplyEntry(AprMembers_t *members, const char *host,
                           const AprKvItem_t *item);
AprHost_t *AprMembers_Find(AprMembers_t *members, const char *host);
int AprMembers_Count(const AprMembers_t *members);
int64_t AprMembers_Version(const AprMembers_t *members);
AprHost_t *AprMembers_At(AprMembers_t *members, int index);
void AprMembers_UpdateLoad(AprMembers_t *members, const char *host,
                           const AprHostLoad_t *load);
int64_t AprMembers_StoreOutageSinceMs(AprMembers_t *members);
void AprMembers_RecordReachability(AprMembers_t *members, const char *host,
                                   int64_t age_ms);
int AprMembers_ReportedSlots(const AprMembers_t *members,
                             const AprHost_t *host, int64_t max_age_ms);
void AprMembers_RecordUnreachable(AprMembers_t *members, const char *host);
char *AprMembers_FormatOwnEntry(const AprGateway_t *gateway);
void AprMembers_DiscardLoadReports(AprMembers_t *members, const char *domain);
bool AprMembers_HasUsableHost(AprMembers_t *members, const char *service);
/* Records the outcome of an unkeyed request: 0, or the time left until its
   objective when the host failed or refused it. */
void AprMembers_RecordOutcome(AprMembers_t *members, const char *host,
                              double lost_ms);
bool AprMembers_HasUntried(const AprMembers_t *members, const char *service,
                           char tried[][APR_NAME_SIZE], int tried_count);
AprHost_t *AprMembers_ChooseHost(AprMembers_t *members, const char *service,
                                 bool large_body, char tried[][APR_NAME_SIZE],
                                 int tried_count);

/* Whether the local backend server may receive a request for a key. */
typedef enum AprKeyStatus_t {
    APR_KEY_GRANTED,       /* the local backend server holds a grant of it */
    APR_KEY_GRANT_PENDING, /* this host owns it, but has not granted it yet */
    APR_KEY_NOT_OWNED      /* this host does not own it */
} AprKeyStatus_t;

/* Answers a heartbeat. `known` is false when the settings name another backend
   server. `count` is -1 when the answer says nothing about grants; otherwise
   the backend server holds just these `grants`, for `grant_ms`. */
typedef void (*AprHeartbeatReply_t)(void *context, bool known,
                                    const AprGrant_t *grants, int count,
                                    int64_t grant_ms);

/* Owners of keys, and the grants of the local backend server (ownership.c). */
AprOwnership_t *AprOwnership_New(AprGateway_t *gateway);
void AprOwnership_Free(AprOwnership_t *ownership);
void AprOwnership_ApplyKeyMapPart(AprOwnership_t *ownership, const char *name,
                                  const AprKvItem_t *item);
void AprOwnership_ApplyGenerationRecord(AprOwnership_t *ownership,
                                        const char *host,
                                        const AprKvItem_t *item);
void AprOwnership_NoticeEra(AprOwnership_t *ownership, int64_t era);
int64_t AprOwnership_Era(const AprOwnership_t *ownership);
bool AprOwnership_KnowsOnlyCopy(const AprOwnership_t *ownership);
void AprOwnership_ApplySettledEra(AprOwnership_t *ownership,
                                  const AprKvItem_t *item);
void AprOwnership_ApplyFence(AprOwnership_t *ownership, const char *host,
                             const AprKvItem_t *item);
const char *AprOwnership_FindOwner(AprOwnership_t *ownership,
                                   const char *service, int key);
AprKeyStatus_t AprOwnership_CheckKey(AprOwnership_t *ownership, int key,
                                     int64_t *wait_ms);
int64_t AprOwnership_ExpectedGrantMs(AprOwnership_t *ownership, int key);
bool AprOwnership_IsKeySlow(const AprOwnership_t *ownership, int key);
bool AprOwnership_AreGrantsSettled(const AprOwnership_t *ownership);
void AprOwnership_OnHeartbeat(AprOwnership_t *ownership,
                              const AprHeartbeat_t *heartbeat,
                              AprHeartbeatReply_t reply, void *context);
void AprOwnership_OnBackendLeaving(AprOwnership_t *ownership, const char *id);
bool AprOwnership_IsKeyed(const AprOwnership_t *ownership);
bool AprOwnership_IsBackendLeaving(const AprOwnership_t *ownership);
const AprBackendIncarnation_t *
AprOwnership_GetEntryIncarnation(const AprOwnership_t *ownership,
                                 bool *leaving);
void AprOwnership_RestoreLeaving(AprOwnership_t *ownership,
                                 const AprBackendIncarnation_t *incarnation);
bool AprOwnership_AddGenerationWrite(AprOwnership_t *ownership,
                                     AprKvTransaction_t *transaction,
                                     char *key, size_t key_size, char **text);
void AprOwnership_OnGenerationStored(AprOwnership_t *ownership,
                                     const AprKvResult_t *result);
void AprOwnership_Tick(AprOwnership_t *ownership);
void AprOwnership_ExtendAuthority(AprOwnership_t *ownership, int64_t until_ms);
void AprOwnership_ExtendAuthorityInOutage(AprOwnership_t *ownership,
                                          int64_t until_ms);
void AprOwnership_OnRegistered(AprOwnership_t *ownership, int64_t revision);
const AprKeyMap_t *AprOwnership_GetOwnKeyMap(AprOwnership_t *ownership,
                                             int64_t *authority_ms);
void AprOwnership_AddDemand(AprOwnership_t *ownership, int key,
                            double cost_ms);
void AprOwnership_AddHandoverToken(AprOwnership_t *ownership,
                                   const char *service,
                                   const AprGrant_t *grant);

/* Local copy of the items in the store, updated by watches of the store or by
   other hosts that watch it; also the lease of this host's entry
   (store_cache.c, watchers.c). */
AprStoreCache_t *AprStoreCache_New(AprGateway_t *gateway);
void AprStoreCache_Free(AprStoreCache_t *cache);
void AprStoreCache_Start(AprStoreCache_t *cache);
void AprStoreCache_Stop(AprStoreCache_t *cache);
void AprStoreCache_Tick(AprStoreCache_t *cache);
bool AprStoreCache_IsLoaded(const AprStoreCache_t *cache);
bool AprStoreCache_IsConfirmed(const AprStoreCache_t *cache);
int64_t AprStoreCache_Revision(const AprStoreCache_t *cache);
int64_t AprStoreCache_PrefixRevision(const AprStoreCache_t *cache);
void AprStoreCache_PublishOwnEntry(AprStoreCache_t *cache);
void AprStoreCache_RemoveLeaseItem(AprStoreCache_t *cache);
void AprStoreCache_ApplyItem(AprStoreCache_t *cache,
                             const AprKvItem_t *update);
void AprStoreCache_ApplyConflictItems(AprStoreCache_t *cache,
                                      const AprKvResult_t *result);
void AprStoreCache_ApplyPeerItem(AprStoreCache_t *cache, const char *host,
                                 const AprItemFrame_t *frame);
/* Receives an item. Its texts are valid during the call only. */
typedef void (*AprItemVisitor_t)(void *context, const AprItemFrame_t *item);
int64_t AprStoreCache_VisitChanges(AprStoreCache_t *cache,
                                   int64_t after_revision,
                                   int64_t after_sequence,
                                   AprItemVisitor_t visit, void *context);
void AprStoreCache_RenewPeerLease(AprStoreCache_t *cache, const char *host,
                                  int64_t request);
void AprStoreCache_OnPeerRenewalResult(AprStoreCache_t *cache, int64_t id,
                                       int64_t lease);
bool AprStoreCache_IsRegistered(const AprStoreCache_t *cache);
bool AprStoreCache_IsStoreReachable(const AprStoreCache_t *cache);
bool AprStoreCache_IsWatcher(AprStoreCache_t *cache);
bool AprStoreCache_IsWatchingStore(const AprStoreCache_t *cache);
AprCopyState_t AprItemSource_CopyState(const AprStoreCache_t *cache);
void AprItemSource_LogUnknownRoute(AprStoreCache_t *cache);
int64_t AprStoreCache_ItemsAgeMs(const AprStoreCache_t *cache);
const char *AprStoreCache_Source(const AprStoreCache_t *cache);
const char *AprStoreCache_FormatGenerationKey(AprStoreCache_t *cache,
                                              char *key, size_t size);
const char *AprStoreCache_FormatKeyMapKey(AprStoreCache_t *cache,
                                          const char *service, int part,
                                          char *key, size_t size);

/* Listener for the requests of callers (ingress.c, caller_conn.c). */
AprIngress_t *AprIngress_New(AprGateway_t *gateway);
void AprIngress_Free(AprIngress_t *ingress);
int AprIngress_Listen(AprIngress_t *ingress, const char *address);
void AprIngress_StopListening(AprIngress_t *ingress);
void AprIngress_CloseIdleConnections(AprIngress_t *ingress);
void AprIngress_EndRequests(AprIngress_t *ingress);
void AprIngress_Tick(AprIngress_t *ingress);
bool AprIngress_HasConnections(const AprIngress_t *ingress);
int AprIngress_CountRequests(const AprIngress_t *ingress);

#endif
