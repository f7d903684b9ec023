#ifndef APRICOT_INTERNAL_LEASE_STATE_H
#define APRICOT_INTERNAL_LEASE_STATE_H

#include "apricot/clock.h"
#include "apricot/lease.h"
#include "internal/lease_rules.h"

/* Number of renewals per witness whose acknowledgement is still accepted. At
   the default interval they cover 2 s, which is longer than a promise. */
#define APR_LEASE_SEND_HISTORY 8
#define APR_LEASE_MAX_TARGETS (2 * APR_MAX_WITNESSES)

typedef struct AprWitnessList_t {
    int count;
    char hosts[APR_MAX_WITNESSES][APR_NAME_SIZE];
} AprWitnessList_t;

/* A witness to which this process sends renewals. */
typedef struct AprRenewalTarget_t {
    char host[APR_NAME_SIZE];
    uint64_t acked_incarnation;      /* of the witness that acknowledged */
    struct timespec acked_send_time; /* of the latest acknowledged renewal */
    struct timespec last_send_time;
    uint64_t send_count;
    /* Ring buffers of the latest renewals: their ids and send times. */
    uint64_t send_ids[APR_LEASE_SEND_HISTORY];
    struct timespec send_times[APR_LEASE_SEND_HISTORY];
    bool has_ack;
} AprRenewalTarget_t;

/* What this process, in its role as a witness, knows of one member of the
   record. */
typedef struct AprWitnessedMember_t {
    uint64_t consent_version;        /* 0: no consent in force */
    struct timespec listed_at;       /* when `listed` became true */
    struct timespec last_renewal_at; /* receipt, acknowledged or not */
    struct timespec last_promise_at; /* last acknowledged renewal */
    bool listed; /* the member's entry lists this process as a witness */
    bool has_renewed;
    bool has_promised;
} AprWitnessedMember_t;

struct AprLease_t {
    AprLeaseSettings_t settings;
    char host[APR_NAME_SIZE];
    uint64_t incarnation;
    struct timespec started_at;
    uint64_t record_version; /* of the last record; 0: none received */
    bool removed;            /* this incarnation was removed; never reset */
    AprMember_t self;        /* APR_NO_MEMBER: not in the last record */
    AprMemberEntry_t members[APR_MAX_MEMBERS];
    AprWitnessedMember_t
        witnessed[APR_MAX_MEMBERS]; /* same index as members */
    bool witness_change_pending;
    AprWitnessList_t current_witnesses; /* from the last record */
    AprWitnessList_t pending_witnesses; /* if `witness_change_pending` */
    int target_count;
    AprRenewalTarget_t targets[APR_LEASE_MAX_TARGETS];
    uint64_t next_send_id;
};

AprMember_t AprLeaseState_FindMember(const AprLease_t *lease,
                                     const char *host);
bool AprLeaseState_HasWitness(const AprMemberEntry_t *entry, const char *host);
void AprLeaseState_UpdateWitnessed(AprLease_t *lease,
                                   const AprRecord_t *record,
                                   struct timespec now);

#endif
