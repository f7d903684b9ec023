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

/* One gateway process. All of it runs on one event loop: with a fifth of a
   core, handing requests between threads costs more than it gains. */

/* Names of the headers between callers, gateways and backend servers. */
typedef struct AprHeaderNames_t {
    const char *attempt;     /* id of one attempt of a caller */
    const char *time_left;   /* milliseconds that the caller waits */
    const char *expected_id; /* id of the backend server that must answer */
    const char *not_run;     /* in an answer: the request did not run */
    const char *caller;      /* service on the host of the caller */
    const char *key;         /* key of a keyed service */
    /* Between the id of a running request and the rest of the id of a call
       that it makes; 0: ids do not tell. */
    char nested_separator;
} AprHeaderNames_t;

typedef struct AprGateway_t AprGateway_t;
typedef struct AprBackend_t AprBackend_t;
typedef struct AprLinks_t AprLinks_t;
typedef struct AprMembers_t AprMembers_t;
typedef struct AprOwnership_t AprOwnership_t;
typedef struct AprReplica_t AprReplica_t;
typedef struct AprEntry_t AprEntry_t;

/* Reads an operators' configuration; the table is owned by the caller. */
typedef int (*AprReadRoutes_t)(const char *text, size_t size,
                               AprRouteTable_t **table, AprError_t *error);

typedef struct AprGatewayOptions_t {
    const AprGatewaySettings_t *settings;
    const AprHeaderNames_t *names;
    const AprKv_t *kv;
    const char *config_key;
    AprReadRoutes_t read_routes;
} AprGatewayOptions_t;

/* Buckets of the histogram of answer times. */
#define APR_DURATION_BUCKETS 10

/* Steps of a planned stop. */
typedef enum AprStopStep_t {
    APR_STOP_NONE,
    APR_STOP_CALLERS, /* callers are told to go elsewhere */
    APR_STOP_PEERS,   /* calls of other hosts are refused, too */
    APR_STOP_LAST     /* no new connections */
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
    int64_t ticked_ms; /* last tick */
    int64_t lagged_ms; /* last tick that came late */
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
/* The present state as JSON, allocated with malloc. */
char *AprGateway_State(AprGateway_t *gateway);
/* Adds a request to the histogram of answer times. */
void AprGateway_ObserveMs(AprGateway_t *gateway, int64_t took_ms);
void AprGateway_Count(AprGateway_t *gateway, const char *name,
                      const char *labels);

/* Local backend server. */
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
/* The request with an id that the backend server runs now, or NULL. */
const AprCallHead_t *AprBackend_FindRunning(const AprBackend_t *backend,
                                            const char *id, size_t id_size);

/* Connections to the gateways of other hosts. */
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
/* Asks a host for the items that changed after a revision, and for those
   that change within the next seconds. */
void AprLinks_Fetch(AprLinks_t *links, const char *host, int64_t revision);
/* Sends the items that changed to the hosts that asked for them. */
void AprLinks_PushItems(AprLinks_t *links);
/* Milliseconds since bytes came from a host; -1: never. */
int64_t AprLinks_HeardAge(const AprLinks_t *links, const char *host);
bool AprLinks_IsAlive(const AprLinks_t *links, const char *host);
void AprLinks_Probe(AprLinks_t *links, const char *host);
/* Asks a host whether it hears another one. */
void AprLinks_Ask(AprLinks_t *links, const char *host, const char *about);
void AprLinks_Tick(AprLinks_t *links);
int AprLinks_InboundCalls(const AprLinks_t *links);
void AprLinks_AnswerRenew(AprLinks_t *links, const char *host, int64_t lease,
                          int64_t age_ms);

/* Other hosts, from the store and from links. */
typedef struct AprHost_t {
    char host[APR_NAME_SIZE];
    char address[APR_ADDRESS_SIZE]; /* for links */
    char domain[APR_NAME_SIZE];     /* failure domain */
    char service[APR_ROUTE_NAME_SIZE];
    AprBackendLife_t life; /* empty id: no backend server */
    int slots;
    int capacity;        /* for work on behalf of other hosts */
    bool open;           /* its backend server takes new work */
    bool listed;         /* its entry is in the store */
    int64_t unlisted_ms; /* since when it is not */
    int64_t lease;
    int64_t revision;
    AprHostLoad_t load;         /* last heard */
    int64_t load_ms;            /* when; 0: never */
    int64_t failed_ms;          /* last failure to reach it; 0: none */
    int64_t heard_elsewhere_ms; /* last time another host said to hear it */
} AprHost_t;

AprMembers_t *AprMembers_New(AprGateway_t *gateway);
void AprMembers_Free(AprMembers_t *members);
void AprMembers_Apply(AprMembers_t *members, const char *host,
                      const AprKvItem_t *item);
AprHost_t *AprMembers_Find(AprMembers_t *members, const char *host);
int AprMembers_Count(const AprMembers_t *members);
/* Rises with each change of an entry. */
int64_t AprMembers_Version(const AprMembers_t *members);
AprHost_t *AprMembers_At(AprMembers_t *members, int index);
void AprMembers_NoteLoad(AprMembers_t *members, const char *host,
                         const AprHostLoad_t *load);
/* A time since which most hosts report that the store does not answer them;
   0 when that is not so. */
int64_t AprMembers_StoreLostSince(AprMembers_t *members);
void AprMembers_NoteHeard(AprMembers_t *members, const char *host,
                          int64_t age_ms);
void AprMembers_NoteFailure(AprMembers_t *members, const char *host);
char *AprMembers_OwnEntry(const AprGateway_t *gateway);
/* The host for a request that any backend server of a service can take;
   hosts in `tried` are left out. NULL: none. */
AprHost_t *AprMembers_Choose(AprMembers_t *members, const char *service,
                             char tried[][APR_NAME_SIZE], int tried_count);

/* Who owns keys, and the grants of the local backend server. */
typedef enum AprKeyVerdict_t {
    APR_KEY_SERVE, /* the local backend server holds it */
    APR_KEY_WAIT,  /* owned here, but not granted yet */
    APR_KEY_ELSEWHERE
} AprKeyVerdict_t;

typedef void (*AprBeatReply_t)(void *context, bool known,
                               const AprGrant_t *grants, int count,
                               int64_t hold_ms);

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
/* The own service's key map; NULL when it is not known. */
const AprKeyMap_t *AprOwnership_Map(AprOwnership_t *ownership,
                                    int64_t *authority_ms);
void AprOwnership_NoteRequest(AprOwnership_t *ownership, int key,
                              double cost_ms);
void AprOwnership_TakeToken(AprOwnership_t *ownership, const char *service,
                            const AprGrant_t *grant);

/* Copy of the items of the store that matter here, kept by watches and, when
   the store does not answer this host, by other hosts. */
AprReplica_t *AprReplica_New(AprGateway_t *gateway);
void AprReplica_Free(AprReplica_t *replica);
void AprReplica_Start(AprReplica_t *replica);
void AprReplica_Stop(AprReplica_t *replica);
void AprReplica_Tick(AprReplica_t *replica);
bool AprReplica_IsLoaded(const AprReplica_t *replica);
int64_t AprReplica_Revision(const AprReplica_t *replica);
void AprReplica_Publish(AprReplica_t *replica);
void AprReplica_Apply(AprReplica_t *replica, const AprKvItem_t *news);
void AprReplica_ApplyConflict(AprReplica_t *replica,
                              const AprKvResult_t *result);
void AprReplica_TakeItem(AprReplica_t *replica, const AprItemFrame_t *frame);
typedef void (*AprItemVisit_t)(void *context, const AprItemFrame_t *item);
int64_t AprReplica_Visit(AprReplica_t *replica, int64_t after_revision,
                         int64_t after_arrival, AprItemVisit_t visit,
                         void *context);
void AprReplica_RenewFor(AprReplica_t *replica, const char *host,
                         int64_t lease);
void AprReplica_Renewed(AprReplica_t *replica, int64_t lease, int64_t age_ms);
bool AprReplica_StoreWorks(const AprReplica_t *replica);
bool AprReplica_IsWatcher(AprReplica_t *replica);
const char *AprReplica_LifeKey(AprReplica_t *replica, char *key, size_t size);
const char *AprReplica_MapKey(AprReplica_t *replica, const char *service,
                              int part, char *key, size_t size);

/* Callers' requests. */
AprEntry_t *AprEntry_New(AprGateway_t *gateway);
void AprEntry_Free(AprEntry_t *entry);
int AprEntry_Listen(AprEntry_t *entry, const char *address);
void AprEntry_StopListening(AprEntry_t *entry);
void AprEntry_CloseIdle(AprEntry_t *entry);
void AprEntry_Tick(AprEntry_t *entry);
int AprEntry_Busy(const AprEntry_t *entry);

#endif
