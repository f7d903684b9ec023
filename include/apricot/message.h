#ifndef APRICOT_MESSAGE_H
#define APRICOT_MESSAGE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "apricot/error.h"
#include "apricot/outcomes.h"
#include "apricot/record.h"

typedef enum AprMessageType_t {
    APR_MSG_RENEW = 1,
    APR_MSG_RENEW_ACK,
    APR_MSG_CONSENT,
    APR_MSG_CONSENT_ACK,
    APR_MSG_RECORD_GET,
    APR_MSG_RECORD,
    APR_MSG_CONFIG_GET,
    APR_MSG_CONFIG,
    APR_MSG_REQUEST,
    APR_MSG_ANSWER,
    APR_MSG_CANCEL,
    APR_MSG_PREPARE,
    APR_MSG_PREPARE_ACK,
    APR_MSG_OUTCOMES,
    APR_MSG_OUTCOMES_ACK,
    /* Reports a member whose lease expired to the process that removes
       members; has the fields of APR_MSG_CONSENT. */
    APR_MSG_SUSPECT,
    APR_MSG_TYPE_END
} AprMessageType_t;

/* Bytes that a message refers to. A decoded or copied message owns them, and a
   NUL that `size` does not count follows them. */
typedef struct AprBytes_t {
    const char *data;
    size_t size;
} AprBytes_t;

/* Fields of APR_MSG_RENEW and APR_MSG_RENEW_ACK. */
typedef struct AprRenewMessage_t {
    uint64_t incarnation; /* of the sender */
    uint64_t send_id;     /* the acknowledgement repeats that of the renewal */
    uint64_t record_version;
    uint64_t config_digest; /* of all services and their generations */
} AprRenewMessage_t;

/* Fields of APR_MSG_CONSENT, APR_MSG_CONSENT_ACK and APR_MSG_SUSPECT. */
typedef struct AprConsentMessage_t {
    AprBytes_t member; /* host name of the member to remove */
    uint64_t member_incarnation;
    uint64_t record_version;      /* of the membership record */
    bool granted;                 /* APR_MSG_CONSENT_ACK only */
    uint64_t witness_incarnation; /* APR_MSG_CONSENT_ACK only */
} AprConsentMessage_t;

/* Fields of APR_MSG_RECORD_GET, APR_MSG_RECORD, APR_MSG_CONFIG_GET and
   APR_MSG_CONFIG. `text` is JSON, and empty in the two GET messages.
   APR_MSG_CONFIG carries the configuration of one service. */
typedef struct AprTextMessage_t {
    uint64_t version;       /* of the record, or configuration generation */
    int64_t store_revision; /* APR_MSG_RECORD only */
    AprBytes_t text;
} AprTextMessage_t;

typedef struct AprRequestMessage_t {
    uint64_t id;
    AprBytes_t service;
    AprBytes_t operation;
    AprBytes_t key;
    uint64_t key_hash;
    int rank;
    int64_t remaining_ms; /* time left until the deadline */
    bool idempotent;
    bool has_idempotency_key;
    uint8_t idempotency_key[APR_IDEMPOTENCY_KEY_SIZE];
    bool first_attempt;
    bool is_get; /* the HTTP method is GET; otherwise it is POST */
    AprBytes_t caller;
    AprBytes_t content_type;
    AprBytes_t body;
} AprRequestMessage_t;

typedef enum AprOutcomeKind_t {
    APR_ANSWERED,
    APR_NOT_RUN,
    APR_UNKNOWN,
    APR_REJECTED,
    APR_MOVED /* between processes only: not run; the sender of the request
                 looks the owner up again */
} AprOutcomeKind_t;

typedef struct AprAnswerMessage_t {
    uint64_t id;
    AprOutcomeKind_t outcome;
    int status;        /* HTTP status of the backend server */
    AprBytes_t reason; /* short identifier, for example "queue-full" */
    AprStep_t step;
    AprBytes_t peer;
    AprBytes_t detail;
    int hint_rank; /* least urgent rank that the owner accepts; -1: none */
    int hint_ms;   /* how long hint_rank is valid; 0: no hint */
    uint64_t record_version;
    AprBytes_t content_type;
    AprBytes_t body;
} AprAnswerMessage_t;

typedef struct AprCancelMessage_t {
    uint64_t id;
} AprCancelMessage_t;

typedef struct AprPrepareMessage_t {
    uint64_t move_id;
    AprBytes_t service;
    int partition_count;
    uint16_t partitions[APR_SLOTS];
    bool agreed; /* APR_MSG_PREPARE_ACK only */
} AprPrepareMessage_t;

typedef struct AprOutcomesMessage_t {
    uint64_t move_id;
    AprBytes_t service;
    int partition;
    int64_t floor_ms; /* floor of the partition, see AprOutcomes_Floor */
    bool last;        /* no more entries of this partition follow */
    int entry_count;
    AprOutcomeEntry_t *entries; /* request.service is not transmitted */
    bool accepted;              /* APR_MSG_OUTCOMES_ACK only */
} AprOutcomesMessage_t;

typedef struct AprMessage_t {
    AprMessageType_t type;
    union {
        AprRenewMessage_t renew;
        AprConsentMessage_t consent;
        AprTextMessage_t text;
        AprRequestMessage_t request;
        AprAnswerMessage_t answer;
        AprCancelMessage_t cancel;
        AprPrepareMessage_t prepare;
        AprOutcomesMessage_t outcomes;
    };
    void *storage; /* owned copies of the data that the message points to;
                      NULL if that data belongs to someone else */
} AprMessage_t;

/* Serializes a message into *data, which the caller frees with free(). */
int AprMessage_Encode(const AprMessage_t *message, char **data, size_t *size);
/* Parses untrusted bytes into a new message that owns copies of all its data.
   Returns APR_E_TOO_LARGE for more bytes than fit into one frame, and
   APR_E_PARSE when a field is malformed or out of range, or memory runs
   out. */
int AprMessage_Decode(const char *data, size_t size, AprMessage_t **message);
/* Makes a deep copy, which can be passed to another thread. */
AprMessage_t *AprMessage_Copy(const AprMessage_t *message);
void AprMessage_Free(AprMessage_t *message);
const char *AprOutcomeKind_Name(AprOutcomeKind_t outcome);
const char *AprMessage_TypeName(AprMessageType_t type);
AprBytes_t AprBytes_FromText(const char *text);

#endif
