#ifndef APRICOT_INTERNAL_GATEWAY_H
#define APRICOT_INTERNAL_GATEWAY_H

#include <ev.h>
#include <stdbool.h>
#include <stdint.h>

#include "apricot/clock.h"
#include "apricot/gateway_settings.h"
#include "apricot/grant_book.h"
#include "apricot/key_plan.h"
#include "apricot/kv.h"
#include "apricot/metrics.h"
#include "apricot/retry_budget.h"
#include "apricot/route_table.h"
#include "internal/call.h"
#include "internal/link_frame.h"
#include "internal/stream.h"

/* The gateway process of a host. It runs on a single event loop: a gateway has
   a fifth of a core, where passing requests between threads costs more than it
   gains. */

/* Names of the headers between callers, gateways and backend servers. */
typedef struct AprHeaderNames_t {
    const char *attempt;     /* id of one attempt of a caller */
    const char *time_left;   /* milliseconds until the caller times out */
    const char *expected_id; /* id of the incarnation to answer */
    const char *not_run;     /* in an answer: the request was not executed */
    const char *caller;      /* service on the host of the caller */
    const char *key;         /* key, for a service with keys */
    /* Ends the id of the running request at the start of the id of a call that
       this request makes; 0: ids do not show which request made a call. */
    char nested_separator;
} AprHeaderNames_t;

typedef struct AprGateway_t AprGateway_t;
typedef struct AprBackend_t AprBackend_t;
typedef struct AprLinks_t AprLinks_t;
typedef struct AprMembers_t AprMembers_t;
typedef struct AprOwnership_t AprOwnership_t;
typedef struct AprReplica_t AprReplica_t;
typedef struct AprEntry_t AprEntry_t;

/* Parses the configuration that operators publish. The caller frees the
   table. */
typedef int (*AprReadRoutes_t)(const char *text, size_t size,
                               AprRouteTable_t **table, AprError_t *error);

typedef struct AprGatewayOptions_t {
    const AprGatewaySettings_t *settings;
    const AprHeaderNames_t *names;
    const AprKv_t *kv;
    const char *config_key;
    AprReadRoutes_t read_routes;
} AprGatewayOptions_t;

/* Number of buckets in the histogram of response times. */
#define APR_DURATION_BUCKETS 10

/* Steps of a graceful shutdown. */
typedef enum AprStopStep_t {
    APR_STOP_NONE,
    APR_STOP_CALLERS, /* callers are told to use another host */
    APR_STOP_PEERS,   /* calls from other hosts are refused as well */
    APR_STOP_LAST     /* no new connections are accepted */
} AprStopStep_t;

struct AprGateway_t {
    struct ev_loop *loop;
    AprStreamSet_t *streams;
    AprClock_t clock;
    AprGatewaySettings_t settings;
    const AprHeaderNames_t *names;
    const AprKv_t *kv;
    const char *config_key;
    AprReadRoutes_t read_routes;
    AprRouteTable_t *routes; /* NULL until the first configuration */
    AprBackend_t *backend;
    AprLinks_t *links;
    AprMembers_t *members;
    AprOwnership_t *ownership;
    AprReplica_t *replica;
    AprEntry_t *entry;
    AprMetrics_t *metrics;
    AprMetric_t *duration[APR_DURATION_BUCKETS];
    AprRetryBudget_t retries;
    AprStopStep_t stop_step;
    int64_t stopping_since_ms;
    int64_t ticked_ms; /* time of the last tick */
    int64_t lagged_ms; /* time of the last tick that was late; 0: none */
    ev_timer tick;
    ev_timer work; /* fed when calls wait to be started */
    ev_timer stop_timer;
};

int64_t AprGateway_NowMs(const AprGateway_t *gateway);
AprGateway_t *AprGateway_New(struct ev_loop *loop, AprStreamSet_t *streams,
                             const AprGatewayOptions_t *options);
void AprGateway_Free(AprGateway_t *gateway);
int AprGateway_Start(AprGateway_t *gateway, AprError_t *error);
void AprGateway_Reload(AprGateway_t *gateway,
                       const AprGatewaySettings_t *settings);
void AprGateway_Stop(AprGateway_t *gateway);
bool AprGateway_IsReady(const AprGateway_t *gateway);
AprRetryBudget_t *AprGateway_RetryBudget(AprGateway_t *gateway);
void AprGateway_Load(AprGateway_t *gateway, AprHostLoad_t *load);
char *AprGateway_State(AprGateway_t *gateway);
/* Adds a request to the histogram of response times. */
void AprGateway_ObserveMs(AprGateway_t *gateway, int64_t took_ms);
void AprGateway_Count(AprGateway_t *gateway, const char *name,
                      const char *labels);

/* The local backend server: its queue, connections and load (backend.c). */
AprBackend_t *AprBackend_New(AprGateway_t *gateway);
void AprBackend_Free(AprBackend_t *backend);
bool AprBackend_Submit(AprBackend_t *backend, const AprCallHead_t *head,
                       const char *data, size_t size, bool end,
                       const AprCallSink_t *sink, void *context,
                       AprCallRef_t *ref, AprCallFailure_t *failure);
void AprBackend_Announce(AprBackend_t *backend, const AprBeat_t *beat);
void AprBackend_Leave(AprBackend_t *backend);
void AprBackend_Tick(AprBackend_t *backend);
void AprBackend_Load(const AprBackend_t *backend, AprHostLoad_t *load);
double AprBackend_Demand(const AprBackend_t *backend);
void AprBackend_ScaleDemand(AprBackend_t *backend, double factor);
const AprBackendLife_t *AprBackend_Life(const AprBackend_t *backend);
bool AprBackend_IsOpen(const AprBackend_t *backend);
bool AprBackend_IsGone(const AprBackend_t *backend);
int AprBackend_Busy(const AprBackend_t *backend);
/* Returns the request with the given id if the backend server runs it now,
   else NULL. */
const AprCallHead_t *AprBackend_FindRunning(const AprBackend_t *backend,
                                            const char *id, size_t id_size);

/* Connections to the gateways of other hosts (links.c, link_calls.c). */
AprLinks_t *AprLinks_New(AprGateway_t *gateway);
void AprLinks_Free(AprLinks_t *links);
int AprLinks_Listen(AprLinks_t *links, const char *address);
bool AprLinks_Submit(AprLinks_t *links, const char *host,
                     const AprCallHead_t *head, const char *data, size_t size,
                     bool end, const AprCallSink_t *sink, void *context,
                     AprCallRef_t *ref, AprCallFailure_t *failure);
int AprLinks_InFlight(const AprLinks_t *links, const char *host);
void AprLinks_Release(AprLinks_t *links, const char *host, const char *service,
                      const AprGrant_t *grant);
bool AprLinks_Renew(AprLinks_t *links, const char *host, int64_t lease);
/* Asks a host for the items that changed after a revision, and subscribes to
   those that change within the next seconds. */
void AprLinks_Fetch(AprLinks_t *links, const char *host, int64_t revision);
/* Sends the changed items to the hosts that subscribed to them. */
void AprLinks_PushItems(AprLinks_t *links);
/* Returns the milliseconds since a host last sent bytes; -1: never. */
int64_t AprLinks_HeardAge(const AprLinks_t *links, const char *host);
bool AprLinks_IsAlive(const AprLinks_t *links, const char *host);
void AprLinks_Probe(AprLinks_t *links, const char *host);
/* Asks `host` when it last received bytes from the host `about`. The answer is
   recorded with AprMembers_NoteHeard(). */
void AprLinks_Ask(AprLinks_t *links, const char *host, const char *about);
void AprLinks_Tick(AprLinks_t *links);
int AprLinks_InboundCalls(const AprLinks_t *links);
void AprLinks_AnswerRenew(AprLinks_t *links, const char *host, int64_t lease,
                          int64_t age_ms);

/* A host of the installation, as known from its entry in the store and from
   links. This host is in the table as well. */
typedef struct AprHost_t {
    char host[APR_NAME_SIZE];
    char address[APR_ADDRESS_SIZE]; /* where its gateway accepts links */
    char domain[APR_NAME_SIZE];     /* failure domain */
    char service[APR_ROUTE_NAME_SIZE];
    AprBackendLife_t life; /* incarnation; empty id: none */
    int slots;
    int capacity;        /* for passing items on, see members.c */
    bool open;           /* its backend server accepts new work */
    bool listed;         /* it has an entry in the store */
    int64_t unlisted_ms; /* when its entry was removed */
    int64_t lease;       /* id of the entry's lease */
    int64_t revision;    /* store revision of the entry */
    AprHostLoad_t load;  /* last load report */
    int64_t load_ms;     /* when that was received; 0: no valid report */
    int64_t failed_ms;   /* last failure to reach it; 0: none */
    /* Last time at which another host received bytes from it; 0: not known. */
    int64_t heard_elsewhere_ms;
} AprHost_t;

AprMembers_t *AprMembers_New(AprGateway_t *gateway);
void AprMembers_Free(AprMembers_t *members);
void AprMembers_Apply(AprMembers_t *members, const char *host,
                      const AprKvItem_t *item);
AprHost_t *AprMembers_Find(AprMembers_t *members, const char *host);
int AprMembers_Count(const AprMembers_t *members);
int64_t AprMembers_Version(const AprMembers_t *members);
AprHost_t *AprMembers_At(AprMembers_t *members, int index);
void AprMembers_NoteLoad(AprMembers_t *members, const char *host,
                         const AprHostLoad_t *load);
int64_t AprMembers_StoreLostSince(AprMembers_t *members);
void AprMembers_NoteHeard(AprMembers_t *members, const char *host,
                          int64_t age_ms);
void AprMembers_NoteFailure(AprMembers_t *members, const char *host);
char *AprMembers_OwnEntry(const AprGateway_t *gateway);
AprHost_t *AprMembers_Choose(AprMembers_t *members, const char *service,
                             char tried[][APR_NAME_SIZE], int tried_count);

/* Whether the local backend server may receive a request for a key. */
typedef enum AprKeyVerdict_t {
    APR_KEY_SERVE,    /* the local backend server holds a grant of it */
    APR_KEY_WAIT,     /* this host owns it, but has not granted it yet */
    APR_KEY_ELSEWHERE /* this host does not own it */
} AprKeyVerdict_t;

/* Answers a heartbeat. `known` is false when the settings name another backend
   server. `count` is -1 when the answer says nothing about grants; otherwise
   the backend server holds just these `grants`, for `hold_ms`. */
typedef void (*AprBeatReply_t)(void *context, bool known,
                               const AprGrant_t *grants, int count,
                               int64_t hold_ms);

/* Owners of keys, and the grants of the local backend server (ownership.c). */
AprOwnership_t *AprOwnership_New(AprGateway_t *gateway);
void AprOwnership_Free(AprOwnership_t *ownership);
void AprOwnership_ApplyMap(AprOwnership_t *ownership, const char *name,
                           const AprKvItem_t *item);
void AprOwnership_ApplyLife(AprOwnership_t *ownership, const char *host,
                            const AprKvItem_t *item);
void AprOwnership_ApplyFence(AprOwnership_t *ownership, const char *host,
                             const AprKvItem_t *item);
const char *AprOwnership_HostOf(AprOwnership_t *ownership, const char *service,
                                int key);
AprKeyVerdict_t AprOwnership_Check(AprOwnership_t *ownership, int key,
                                   int64_t *wait_ms);
void AprOwnership_Beat(AprOwnership_t *ownership, const AprBeat_t *beat,
                       AprBeatReply_t reply, void *context);
void AprOwnership_Leave(AprOwnership_t *ownership, const char *id);
void AprOwnership_Tick(AprOwnership_t *ownership);
void AprOwnership_Authorize(AprOwnership_t *ownership, int64_t until_ms);
const AprKeyMap_t *AprOwnership_Map(AprOwnership_t *ownership,
                                    int64_t *authority_ms);
void AprOwnership_NoteRequest(AprOwnership_t *ownership, int key,
                              double cost_ms);
void AprOwnership_TakeToken(AprOwnership_t *ownership, const char *service,
                            const AprGrant_t *grant);

/* Local copy of the items in the store, updated by watches of the store or by
   other hosts that watch it; also the lease of this host's entry (replica.c,
   watchers.c). */
AprReplica_t *AprReplica_New(AprGateway_t *gateway);
void AprReplica_Free(AprReplica_t *replica);
void AprReplica_Start(AprReplica_t *replica);
void AprReplica_Stop(AprReplica_t *replica);
void AprReplica_Tick(AprReplica_t *replica);
bool AprReplica_IsLoaded(const AprReplica_t *replica);
int64_t AprReplica_Revision(const AprReplica_t *replica);
void AprReplica_Publish(AprReplica_t *replica);
void AprReplica_Apply(AprReplica_t *replica, const AprKvItem_t *update);
void AprReplica_ApplyConflict(AprReplica_t *replica,
                              const AprKvResult_t *result);
void AprReplica_TakeItem(AprReplica_t *replica, const AprItemFrame_t *frame);
/* Receives an item. Its texts are valid during the call only. */
typedef void (*AprItemVisit_t)(void *context, const AprItemFrame_t *item);
int64_t AprReplica_Visit(AprReplica_t *replica, int64_t after_revision,
                         int64_t after_sequence, AprItemVisit_t visit,
                         void *context);
void AprReplica_RenewFor(AprReplica_t *replica, const char *host,
                         int64_t lease);
void AprReplica_Renewed(AprReplica_t *replica, int64_t lease, int64_t age_ms);
bool AprReplica_StoreWorks(const AprReplica_t *replica);
bool AprReplica_IsWatcher(AprReplica_t *replica);
const char *AprReplica_LifeKey(AprReplica_t *replica, char *key, size_t size);
const char *AprReplica_MapKey(AprReplica_t *replica, const char *service,
                              int part, char *key, size_t size);

/* Listener for the requests of callers (entry.c). */
AprEntry_t *AprEntry_New(AprGateway_t *gateway);
void AprEntry_Free(AprEntry_t *entry);
int AprEntry_Listen(AprEntry_t *entry, const char *address);
void AprEntry_StopListening(AprEntry_t *entry);
void AprEntry_CloseIdle(AprEntry_t *entry);
void AprEntry_Tick(AprEntry_t *entry);
int AprEntry_Busy(const AprEntry_t *entry);

#endif
