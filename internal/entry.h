#ifndef APRICOT_INTERNAL_ENTRY_H
#define APRICOT_INTERNAL_ENTRY_H

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
    APR_ENTRY_ROUTING,   /* waits for an owner that can be reached */
    APR_ENTRY_FORWARDED, /* at another process */
    APR_ENTRY_LOCAL      /* at the owner side of this process */
} AprEntryState_t;

/* One caller's request. Filled by the HTTP thread, then owned by the core
   thread until it is completed. */
typedef struct AprEntryRequest_t {
    uint64_t id;
    struct MHD_Connection *connection;
    int socket; /* of the caller, to notice that it closed */

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

    /* Core thread only. */
    AprEntryState_t state;
    int service_index;
    int rank;
    bool idempotent;
    uint64_t key_hash;
    struct timespec deadline;
    struct timespec retry_at;
    AprLink_t link;
    char peer[APR_NAME_SIZE]; /* host of the last owner that was tried */
    int tries;
    bool may_have_run;               /* an earlier try has an unknown end */
    char last_reason[APR_NAME_SIZE]; /* why the last try did not run */

    /* Set by the core thread before the connection is resumed. */
    atomic_int *in_progress; /* of the server; NULL before the hand-over */
    bool completed;
    AprOutcomeKind_t outcome;
    int status;
    char *answer_type;
    char *answer_body;
    size_t answer_size;
} AprEntryRequest_t;

/* JSON body of a refusal; malloc. */
char *AprEntry_ErrorBody(const char *outcome, const char *reason,
                         const char *step, const char *peer,
                         const char *detail);

typedef struct AprEntryServer_t AprEntryServer_t;

AprEntryServer_t *AprEntryServer_Start(const AprSettings_t *settings,
                                       AprRing_t *inbox, AprMetrics_t *metrics,
                                       AprError_t *error);
void AprEntryServer_BeginClose(AprEntryServer_t *server);
void AprEntryServer_Stop(AprEntryServer_t *server);
/* Hands the finished request back to the HTTP thread. */
void AprEntryRequest_Complete(AprEntryRequest_t *request);

/* Admin interface. The HTTP thread waits until the core thread has filled
   in the answer. */
typedef struct AprAdminRequest_t {
    char path[64];
    char service[APR_NAME_SIZE];
    char key[256];
    char to[APR_NAME_SIZE];
    char host[APR_NAME_SIZE];
    bool confirmed;
    char *body; /* announcement */
    size_t body_size;
    int status;
    char *answer; /* malloc; JSON */
    struct AprAdminWait_t *wait;
} AprAdminRequest_t;

typedef struct AprAdminServer_t AprAdminServer_t;

AprAdminServer_t *AprAdminServer_Start(const AprSettings_t *settings,
                                       AprRing_t *inbox, AprMetrics_t *metrics,
                                       AprError_t *error);
void AprAdminServer_Stop(AprAdminServer_t *server);
void AprAdminRequest_Complete(AprAdminRequest_t *request);

#endif
