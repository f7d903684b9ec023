#include <stdio.h>
#include <string.h>

#include "internal/lease_state.h"

/* Returns the number of acknowledgements that make a member's lease valid. */
int
AprLease_Quorum(int witness_count)
{
    return witness_count == 0 ? 0 : witness_count / 2 + witness_count % 2;
}

/* Returns the number of consents that permit a removal. Any set of this size
   shares a witness with any quorum that makes the member's lease valid. */
int
AprLease_ConsentQuorum(int witness_count)
{
    return witness_count - AprLease_Quorum(witness_count) + 1;
}

/* Begins an attempt to remove a member of a record just read from the store.
   Returns APR_E_NOT_FOUND if the handle is not that of a member, and
   APR_E_INVALID if the member has no witnesses: only an operator may remove
   such a member. */
int
AprMemberRemoval_Begin(AprMemberRemoval_t *removal, const AprRecord_t *record,
                       AprMember_t member)
{
    if (member >= APR_MAX_MEMBERS ||
        record->members[member].state == APR_MEMBER_FREE) {
        return APR_E_NOT_FOUND;
    }
    if (record->members[member].witness_count == 0) {
        return APR_E_INVALID;
    }
    memset(removal, 0, sizeof(*removal));
    memcpy(removal->member, record->members[member].host, APR_NAME_SIZE);
    removal->member_incarnation = record->members[member].incarnation;
    removal->record_version = record->version;
    return APR_OK;
}

/* Adds a consent to this attempt. If two incarnations of a witness consent,
   the newer one counts. */
void
AprMemberRemoval_AddConsent(AprMemberRemoval_t *removal, const char *witness,
                            uint64_t witness_incarnation)
{
    int slot = 0;

    while (slot < removal->consent_count &&
           strcmp(removal->consenting_witnesses[slot], witness) != 0) {
        slot++;
    }
    if (slot == APR_MAX_WITNESSES) {
        return;
    }
    if (slot == removal->consent_count) {
        removal->consent_count++;
        snprintf(removal->consenting_witnesses[slot], APR_NAME_SIZE, "%s",
                 witness);
        removal->consenting_incarnations[slot] = 0;
    }
    if (witness_incarnation > removal->consenting_incarnations[slot]) {
        removal->consenting_incarnations[slot] = witness_incarnation;
    }
}

/* Returns the highest incarnation of a host in the record, as a member or as a
   removed host; 0 if there is none. */
static uint64_t
latest_known_incarnation(const AprRecord_t *record, const char *host)
{
    AprMember_t member = AprRecord_FindHost(record, host);
    uint64_t removed = AprRecord_LastRemovedIncarnation(record, host);

    if (member != APR_NO_MEMBER &&
        record->members[member].incarnation > removed) {
        return record->members[member].incarnation;
    }
    return removed;
}

/* Returns whether the consents form a quorum for exactly this record version.
   If the record has a newer incarnation of a witness that consented, the
   removal is void: the newer one may have acknowledged the member. */
bool
AprMemberRemoval_HasQuorum(const AprMemberRemoval_t *removal,
                           const AprRecord_t *record)
{
    AprMember_t member = AprRecord_FindHost(record, removal->member);
    int count = 0;

    if (member == APR_NO_MEMBER ||
        record->members[member].incarnation != removal->member_incarnation ||
        (apr_lease_rules.require_exact_version &&
         record->version != removal->record_version)) {
        return false;
    }
    for (int i = 0; i < removal->consent_count; i++) {
        const char *witness = removal->consenting_witnesses[i];

        if (!AprLeaseState_HasWitness(&record->members[member], witness)) {
            continue;
        }
        if (apr_lease_rules.check_witness_incarnation &&
            latest_known_incarnation(record, witness) >
                removal->consenting_incarnations[i]) {
            return false;
        }
        count++;
    }
    return record->members[member].witness_count > 0 &&
           count >=
               AprLease_ConsentQuorum(record->members[member].witness_count);
}
