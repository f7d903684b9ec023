#ifndef APRICOT_OUTCOMES_H
#define APRICOT_OUTCOMES_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define APR_IDEMPOTENCY_KEY_SIZE 16 /* bytes of a UUID */
#define APR_OUTCOME_RETENTION_MS 600000
#define APR_CLOCK_SKEW_MS 2000
#define APR_NO_OUTCOME UINT32_MAX

/* Idempotency table of one process: the non-idempotent requests that are
   running or have run in it, with their answers. Not safe for concurrent use
   by several threads. */
typedef struct AprOutcomes_t AprOutcomes_t;

/* Handle to an entry; valid until the entry is removed by AprOutcomes_Abort,
   AprOutcomes_RemoveFinished or AprOutcomes_Expire. */
typedef uint32_t AprOutcomeHandle_t;

typedef enum AprOutcomeAdmission_t {
    APR_ADMIT_RUN,    /* new: run it, then call Finish, Abort or MarkUnknown */
    APR_ADMIT_REPLAY, /* finished: reply with AprOutcomes_Answer */
    APR_ADMIT_WAIT,   /* running: reply with the answer of that run */
    APR_ADMIT_UNKNOWN, /* may have run before; its answer is not known */
    APR_ADMIT_FULL     /* table full: reject as not run */
} AprOutcomeAdmission_t;

typedef struct AprOutcomeRequest_t {
    int service;
    int partition;
    uint64_t key_hash;
    uint8_t idempotency_key[APR_IDEMPOTENCY_KEY_SIZE];
    bool first_attempt; /* the caller states that it has not sent it before */
} AprOutcomeRequest_t;

typedef struct AprStoredAnswer_t {
    int status; /* HTTP status; 0 for an unknown outcome */
    const char *content_type;
    const void *body;
    size_t body_size;
} AprStoredAnswer_t;

typedef struct AprOutcomeEntry_t {
    AprOutcomeRequest_t request;
    int64_t finished_at_ms; /* calendar time; admission time while running */
    AprStoredAnswer_t answer;
} AprOutcomeEntry_t;

typedef void (*AprOutcomeVisitor_t)(void *context,
                                    const AprOutcomeEntry_t *entry);

AprOutcomes_t *AprOutcomes_New(uint32_t capacity, size_t body_bytes_limit,
                               int64_t retention_ms);
void AprOutcomes_Free(AprOutcomes_t *outcomes);
AprOutcomeAdmission_t AprOutcomes_Admit(AprOutcomes_t *outcomes,
                                        const AprOutcomeRequest_t *request,
                                        int64_t wall_ms,
                                        AprOutcomeHandle_t *outcome);
void AprOutcomes_Finish(AprOutcomes_t *outcomes, AprOutcomeHandle_t outcome,
                        const AprStoredAnswer_t *answer, int64_t wall_ms);
/* For a request that was not dispatched; a repeat of it may run. */
void AprOutcomes_Abort(AprOutcomes_t *outcomes, AprOutcomeHandle_t outcome);
void AprOutcomes_MarkUnknown(AprOutcomes_t *outcomes,
                             AprOutcomeHandle_t outcome, int64_t wall_ms);
const AprStoredAnswer_t *AprOutcomes_Answer(const AprOutcomes_t *outcomes,
                                            AprOutcomeHandle_t outcome);
/* Raises the floor of a partition. A request whose idempotency key was created
   before it may have run in another process. */
void AprOutcomes_RaiseFloor(AprOutcomes_t *outcomes, int service,
                            int partition, int64_t floor_ms);
int64_t AprOutcomes_Floor(const AprOutcomes_t *outcomes, int service,
                          int partition);
void AprOutcomes_Export(const AprOutcomes_t *outcomes, int service,
                        int partition, AprOutcomeVisitor_t visit,
                        void *context);
int AprOutcomes_Import(AprOutcomes_t *outcomes,
                       const AprOutcomeEntry_t *entry);
void AprOutcomes_RemoveFinished(AprOutcomes_t *outcomes, int service,
                                int partition);
/* Moves the entries of one shard key to another partition, when a hot slot is
   assigned to the key or freed. */
void AprOutcomes_MoveKey(AprOutcomes_t *outcomes, int service,
                         uint64_t key_hash, int from, int to);
void AprOutcomes_Expire(AprOutcomes_t *outcomes, int64_t wall_ms);
uint32_t AprOutcomes_Count(const AprOutcomes_t *outcomes);

/* Parses the text form of a time-ordered UUID (version 7). Returns
   APR_E_INVALID for anything else. */
int AprIdempotencyKey_Parse(const char *text,
                            uint8_t key[APR_IDEMPOTENCY_KEY_SIZE]);
int64_t
AprIdempotencyKey_CreatedMs(const uint8_t key[APR_IDEMPOTENCY_KEY_SIZE]);

#endif
