#ifndef APRICOT_LEASE_H
#define APRICOT_LEASE_H

#include <stdbool.h>
#include <stdint.h>
#include <time.h>

#include "apricot/record.h"

#define APR_LEASE_RENEW_MS 250
#define APR_LEASE_PROMISE_MS 900

typedef struct AprLeaseSettings_t {
    int renew_ms;
    int promise_ms;
    int drift_ms; /* clock drift allowance, added to promise_ms before a
                     witness consents */
} AprLeaseSettings_t;

/* Lease state of one process in both of its roles: as a member that renews its
   lease with its witnesses, and as a witness of other members. It performs no
   I/O and reads no clock: calls that depend on the time take it as `now`. */
typedef struct AprLease_t AprLease_t;

AprLeaseSettings_t AprLeaseSettings_Default(void);
AprLease_t *AprLease_New(const AprLeaseSettings_t *settings, const char *host,
                         uint64_t incarnation, struct timespec now);
void AprLease_Free(AprLease_t *lease);

/* Applies a committed record. A version that is not newer than the last one
   is ignored. */
void AprLease_OnRecord(AprLease_t *lease, const AprRecord_t *record,
                       struct timespec now);

/* Role as a member. */

/* A renewal to send to one witness. The acknowledgement carries `send_id`. */
typedef struct AprRenewal_t {
    char witness[APR_NAME_SIZE];
    uint64_t send_id;
} AprRenewal_t;

/* Begins the write of a new witness list. Until its outcome is known, the
   lease is valid only with a quorum of both the old and the new list. */
void AprLease_BeginWitnessChange(AprLease_t *lease,
                                 char witnesses[][APR_NAME_SIZE], int count);
void AprLease_EndWitnessChange(AprLease_t *lease);
int AprLease_TakeDueRenewals(AprLease_t *lease, struct timespec now,
                             AprRenewal_t *renewals, int capacity);
void AprLease_OnRenewAck(AprLease_t *lease, const char *witness,
                         uint64_t witness_incarnation, uint64_t send_id);
bool AprLease_IsMember(const AprLease_t *lease);
/* Whether this incarnation was removed from the record or superseded by a
   newer one. The process must then rejoin under a newer incarnation. */
bool AprLease_WasRemoved(const AprLease_t *lease);
bool AprLease_IsValid(const AprLease_t *lease, struct timespec now);
/* Time until which the lease is valid without further acknowledgements. For a
   member without witnesses, this is about 30 years after the clock's zero. */
struct timespec AprLease_ValidUntil(const AprLease_t *lease);
/* Whether this member should write a new witness list, because a witness left
   or a better choice exists. If true, `witnesses` and `count` hold it. */
bool AprLease_NeedsWitnessChange(const AprLease_t *lease,
                                 const AprRecord_t *record,
                                 char witnesses[][APR_NAME_SIZE], int *count);

/* Role as a witness. */
bool AprLease_OnRenew(AprLease_t *lease, const char *member,
                      uint64_t member_incarnation, struct timespec now);
bool AprLease_OnConsentRequest(AprLease_t *lease, const char *member,
                               uint64_t member_incarnation, uint64_t version,
                               struct timespec now);
/* Lists the members of the last record that have this process as a witness and
   to which its promise has expired. */
int AprLease_ListExpiredMembers(const AprLease_t *lease, struct timespec now,
                                AprMember_t *members, int capacity);

/* One attempt to remove a member, based on a record that was just read from
   the store. */
typedef struct AprMemberRemoval_t {
    char member[APR_NAME_SIZE];
    uint64_t member_incarnation;
    uint64_t record_version; /* of the record that the removal replaces */
    int consent_count;
    char consenting_witnesses[APR_MAX_WITNESSES][APR_NAME_SIZE];
    uint64_t consenting_incarnations[APR_MAX_WITNESSES];
} AprMemberRemoval_t;

int AprMemberRemoval_Begin(AprMemberRemoval_t *removal,
                           const AprRecord_t *record, AprMember_t member);
void AprMemberRemoval_AddConsent(AprMemberRemoval_t *removal,
                                 const char *witness,
                                 uint64_t witness_incarnation);
/* Whether the consents form a quorum for exactly this record version. */
bool AprMemberRemoval_HasQuorum(const AprMemberRemoval_t *removal,
                                const AprRecord_t *record);

/* Number of acknowledgements that make the lease of a member with this many
   witnesses valid. */
int AprLease_Quorum(int witness_count);
/* Number of consents that permit the removal of a member with this many
   witnesses. */
int AprLease_ConsentQuorum(int witness_count);

#endif
