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
    int drift_ms; /* added to promise_ms before a witness consents */
} AprLeaseSettings_t;

/* Both sides of the witness leases of one process: as a member that renews
   with its witnesses, and as a witness of other members. No input or output;
   every call takes the time. */
typedef struct AprLease_t AprLease_t;

AprLeaseSettings_t AprLeaseSettings_Default(void);
AprLease_t *AprLease_New(const AprLeaseSettings_t *settings, const char *host,
                         uint64_t incarnation, struct timespec now);
void AprLease_Free(AprLease_t *lease);

/* Takes a record as committed. Older versions than the last one are ignored.
 */
void AprLease_OnRecord(AprLease_t *lease, const AprRecord_t *record,
                       struct timespec now);

/* Member side. */
typedef struct AprRenewal_t {
    char witness[APR_NAME_SIZE];
    uint64_t send_id;
} AprRenewal_t;

/* The member has begun a write of this witness list; until the outcome is
   known it is valid only under the old and the new list. */
void AprLease_BeginWitnessChange(AprLease_t *lease,
                                 char witnesses[][APR_NAME_SIZE], int count);
void AprLease_EndWitnessChange(AprLease_t *lease);
int AprLease_DueRenewals(AprLease_t *lease, struct timespec now,
                         AprRenewal_t *renewals, int capacity);
void AprLease_OnRenewAck(AprLease_t *lease, const char *witness,
                         uint64_t witness_incarnation, uint64_t send_id);
bool AprLease_IsMember(const AprLease_t *lease);
/* Whether this incarnation was a member and is none any more, or was
   superseded: the process must rejoin under a newer incarnation. */
bool AprLease_WasRemoved(const AprLease_t *lease);
bool AprLease_Valid(const AprLease_t *lease, struct timespec now);
/* Time until which the lease is valid without further acknowledgements; for
   a member without witnesses a time far ahead. */
struct timespec AprLease_ValidUntil(const AprLease_t *lease);
/* Whether the list in the record should be changed by its member: a witness
   left or a better choice exists. */
bool AprLease_WantsWitnesses(const AprLease_t *lease,
                             const AprRecord_t *record,
                             char witnesses[][APR_NAME_SIZE], int *count);

/* Witness side. */
bool AprLease_OnRenew(AprLease_t *lease, const char *member,
                      uint64_t member_incarnation, struct timespec now);
bool AprLease_OnConsentRequest(AprLease_t *lease, const char *member,
                               uint64_t member_incarnation, uint64_t version,
                               struct timespec now);
/* Members of the last record whose promise by this process has run out and
   for which it is a witness. */
int AprLease_Suspects(const AprLease_t *lease, struct timespec now,
                      AprMember_t *members, int capacity);

/* One attempt to remove a member, from a record that was read afresh from
   the store. */
typedef struct AprRemoval_t {
    char member[APR_NAME_SIZE];
    uint64_t member_incarnation;
    uint64_t version;
    int consent_count;
    char consenting[APR_MAX_WITNESSES][APR_NAME_SIZE];
    uint64_t consenting_incarnation[APR_MAX_WITNESSES];
} AprRemoval_t;

int AprRemoval_Begin(AprRemoval_t *removal, const AprRecord_t *record,
                     AprMember_t member);
void AprRemoval_AddConsent(AprRemoval_t *removal, const char *witness,
                           uint64_t witness_incarnation);
/* Whether the consents suffice in exactly this record version. */
bool AprRemoval_Ready(const AprRemoval_t *removal, const AprRecord_t *record);

/* Number of acknowledgements that make a member with this many witnesses
   valid, and number of consents that permit its removal. */
int AprLease_Quorum(int witness_count);
int AprLease_ConsentQuorum(int witness_count);

#endif
