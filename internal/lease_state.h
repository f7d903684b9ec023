#ifndef APRICOT_INTERNAL_LEASE_STATE_H
#define APRICOT_INTERNAL_LEASE_STATE_H

#include "apricot/clock.h"
#include "apricot/lease.h"
#include "internal/lease_rules.h"

/* Renewals whose acknowledgement may still matter: those of 2 s at the
   default interval, which is longer than a promise. */
#define APR_LEASE_SENDS 8
#define APR_LEASE_TARGETS (2 * APR_MAX_WITNESSES)

typedef struct AprWitnessList_t {
    int count;
    char hosts[APR_MAX_WITNESSES][APR_NAME_SIZE];
} AprWitnessList_t;

/* A witness with which this process renews. */
typedef struct AprLeaseTarget_t {
    char host[APR_NAME_SIZE];
    uint64_t incarnation;              /* of the last acknowledgement */
    struct timespec acknowledged_send; /* latest send acknowledged */
    struct timespec last_send;
    uint64_t send_count;
    uint64_t send_ids[APR_LEASE_SENDS]; /* ring of the latest sends */
    struct timespec send_times[APR_LEASE_SENDS];
    bool acknowledged;
} AprLeaseTarget_t;

/* What this process, as a witness, knows of one member of its record. */
typedef struct AprLeaseWatch_t {
    uint64_t consent_version; /* 0: no consent in force */
    struct timespec named_at;
    struct timespec heard_at;
    struct timespec promised_at;
    bool named; /* the record lists this process as a witness */
    bool heard;
    bool promised;
} AprLeaseWatch_t;

struct AprLease_t {
    AprLeaseSettings_t settings;
    char host[APR_NAME_SIZE];
    uint64_t incarnation;
    struct timespec started;
    uint64_t version; /* of the last record; 0: none seen */
    bool removed;     /* this incarnation was removed; never reset */
    AprMember_t self; /* APR_NO_MEMBER: not in the last record */
    AprMemberEntry_t members[APR_MAX_MEMBERS];
    AprLeaseWatch_t watches[APR_MAX_MEMBERS]; /* parallel to members */
    bool changing;
    AprWitnessList_t current; /* in the last record */
    AprWitnessList_t pending; /* being written, if `changing` */
    int target_count;
    AprLeaseTarget_t targets[APR_LEASE_TARGETS];
    uint64_t next_send_id;
};

AprMember_t AprLeaseState_Find(const AprLease_t *lease, const char *host);
bool AprLeaseState_Lists(const AprMemberEntry_t *entry, const char *host);
void AprLeaseState_CarryWatches(AprLease_t *lease, const AprRecord_t *record,
                                struct timespec now);

#endif
