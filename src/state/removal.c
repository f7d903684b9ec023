#include <stdio.h>
#include <string.h>

#include "internal/lease_state.h"

/* Number of acknowledgements that make a member valid. */
int
AprLease_Quorum(int witness_count)
{
    return witness_count == 0 ? 0 : witness_count / 2 + witness_count % 2;
}

/* Number of consents that permit a removal: any such set shares a witness
   with any set that makes the member valid. */
int
AprLease_ConsentQuorum(int witness_count)
{
    return witness_count - AprLease_Quorum(witness_count) + 1;
}

/* Begins an attempt to remove a member of a record that was read afresh.
   APR_E_NOT_FOUND if it is no member, APR_E_INVALID if it has no witnesses:
   only an operator removes such a member. */
int
AprRemoval_Begin(AprRemoval_t *removal, const AprRecord_t *record,
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
    removal->version = record->version;
    return APR_OK;
}

/* Notes a consent to exactly this attempt. Of two incarnations of a witness
   the newer one counts. */
void
AprRemoval_AddConsent(AprRemoval_t *removal, const char *witness,
                      uint64_t witness_incarnation)
{
    int place = 0;

    while (place < removal->consent_count &&
           strcmp(removal->consenting[place], witness) != 0) {
        place++;
    }
    if (place == APR_MAX_WITNESSES) {
        return;
    }
    if (place == removal->consent_count) {
        removal->consent_count++;
        snprintf(removal->consenting[place], APR_NAME_SIZE, "%s", witness);
        removal->consenting_incarnation[place] = 0;
    }
    if (witness_incarnation > removal->consenting_incarnation[place]) {
        removal->consenting_incarnation[place] = witness_incarnation;
    }
}

/* The highest incarnation of a host that the record knows of. */
static uint64_t
known_incarnation(const AprRecord_t *record, const char *host)
{
    AprMember_t member = AprRecord_FindHost(record, host);
    uint64_t removed = AprRecord_RemovedIncarnation(record, host);

    if (member != APR_NO_MEMBER &&
        record->members[member].incarnation > removed) {
        return record->members[member].incarnation;
    }
    return removed;
}

/* Whether the consents suffice in exactly this record version. A consenting
   witness whose newer incarnation the record knows makes the removal void:
   the newer one may have acknowledged the member. */
bool
AprRemoval_Ready(const AprRemoval_t *removal, const AprRecord_t *record)
{
    AprMember_t member = AprRecord_FindHost(record, removal->member);
    int count = 0;

    if (member == APR_NO_MEMBER ||
        record->members[member].incarnation != removal->member_incarnation ||
        (apr_lease_rules.exact_version &&
         record->version != removal->version)) {
        return false;
    }
    for (int i = 0; i < removal->consent_count; i++) {
        const char *witness = removal->consenting[i];

        if (!AprLeaseState_Lists(&record->members[member], witness)) {
            continue;
        }
        if (apr_lease_rules.witness_incarnation &&
            known_incarnation(record, witness) >
                removal->consenting_incarnation[i]) {
            return false;
        }
        count++;
    }
    return record->members[member].witness_count > 0 &&
           count >=
               AprLease_ConsentQuorum(record->members[member].witness_count);
}
