#ifndef APRICOT_INTERNAL_HTTP_ENTRY_H
#define APRICOT_INTERNAL_HTTP_ENTRY_H

#include <stdatomic.h>
#include <stdbool.h>
#include <stdint.h>
#include <time.h>

#include "apricot/message.h"
#include "apricot/metrics.h"
#include "apricot/peer_net.h"
#include "apricot/ring.h"
#include "apricot/settings.h"

#define APR_ENTRY_MAX_BODY 65536

typedef enum AprEntryState_t {
    APR_ENTRY_ROUTING,   /* waiting for a reachable owner */
    APR_ENTRY_FORWARDED, /* sent to the owner on another host */
    APR_ENTRY_LOCAL      /* handled by the owner in this process */
} AprEntryState_t;

/* One caller's request. The HTTP thread fills it in; the core thread owns it
   until AprEntryRequest_Complete(). */
typedef struct AprEntryRequest_t {
    uint64_t id;
    struct MHD_Connection *connection;
    int socket; /* of the caller, to detect that it closed the connection */

    char *service;
    char *operation;
    char *key;
    char *rank_name; /* may be empty */
    char *caller;
    char *content_type;
    char *body;
    size_t body_size;
    int64_t timeout_ms; /* 0: four times the rank's target */
    bool is_get;
    bool first_attempt;
    bool has_idempotency_key;
    uint8_t idempotency_key[APR_IDEMPOTENCY_KEY_SIZE];

    /* Used by the core thread only. */
    AprEntryState_t state;
    int service_index;
    int rank;
    bool idempotent;
    uint64_t key_hash;
    /* Of the key's partition at the arrival: epoch (0: not known), owner and
       the owner's incarnation. */
    uint64_t arrival_epoch;
    AprMember_t arrival_owner;
    uint64_t arrival_incarnation;
    struct timespec deadline;
    struct timespec retry_at;
    AprLinkHandle_t link;
    char peer[APR_NAME_SIZE]; /* host of the last owner tried */
    int tries;
    bool may_have_run; /* the outcome of an earlier try is unknown */
    char last_reason[APR_NAME_SIZE]; /* why the last try was not executed */

    /* Set before the connection is resumed: in_progress by the HTTP thread
       when it queues the request, the others by the core thread. */
    atomic_int *in_progress; /* count of the server; NULL until queued */
    bool completed;
    AprOutcomeKind_t outcome;
    int status;
    char *response_content_type;
    char *response_body;
    size_t response_size;
} AprEntryRequest_t;

/* Returns the JSON body for a request that was not answered. The caller frees
   it with free(). */
char *AprEntry_ErrorBody(const char *outcome, const char *reason,
                         const char *step, const char *peer,
                         const char *detail);

typedef struct AprEntryServer_t AprEntryServer_t;

AprEntryServer_t *AprEntryServer_Start(const AprSettings_t *settings,
                                       AprRing_t *inbox, AprMetrics_t *metrics,
                                       AprError_t *error);
void AprEntryServer_StartDrain(AprEntryServer_t *server);
void AprEntryServer_Stop(AprEntryServer_t *server);
/* Passes the completed request back to the HTTP thread. */
void AprEntryRequest_Complete(AprEntryRequest_t *request);

/* A request of the admin interface. The HTTP thread blocks until the core
   thread has filled in the response. */
typedef struct AprAdminRequest_t {
    char path[64];
    char service[APR_NAME_SIZE];
    char key[256];
    char target_host[APR_NAME_SIZE];
    char host[APR_NAME_SIZE];
    bool confirmed;
    char *body; /* request body of /announce */
    size_t body_size;
    int status;
    char *response_body; /* JSON response, allocated with malloc */
    struct AprAdminWait_t *wait;
} AprAdminRequest_t;

typedef struct AprAdminServer_t AprAdminServer_t;

AprAdminServer_t *AprAdminServer_Start(const AprSettings_t *settings,
                                       AprRing_t *inbox, AprMetrics_t *metrics,
                                       AprError_t *error);
void AprAdminServer_Stop(AprAdminServer_t *server);
void AprAdminRequest_Complete(AprAdminRequest_t *request);

#endif
