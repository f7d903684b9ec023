#include <string.h>

#include "internal/lease_state.h"

static const AprWitnessedMember_t *
find_previous_state(const AprLease_t *lease, const AprMemberEntry_t *entry)
{
    AprMember_t member = AprLeaseState_FindMember(lease, entry->host);

    if (member == APR_NO_MEMBER ||
        lease->members[member].incarnation != entry->incarnation) {
        return NULL;
    }
    return &lease->witnessed[member];
}

static void
update_witnessed_member(const AprLease_t *lease, const AprRecord_t *record,
                        const AprMemberEntry_t *entry, struct timespec now,
                        AprWitnessedMember_t *state)
{
    const AprWitnessedMember_t *previous = find_previous_state(lease, entry);
    bool was_listed = false;

    if (previous != NULL) {
        *state = *previous;
        was_listed = previous->listed;
        /* The removal that was consented to replaces exactly the version of
           the consent, so it can no longer succeed. */
        if (record->version > state->consent_version) {
            state->consent_version = 0;
        }
    }
    state->listed = AprLeaseState_HasWitness(entry, lease->host);
    if (state->listed && !was_listed) {
        state->listed_at = now;
    }
}

/* Carries the state of each member incarnation over to a newer record, in
   which the member may have another index. Must be called before
   lease->members is replaced. */
void
AprLeaseState_UpdateWitnessed(AprLease_t *lease, const AprRecord_t *record,
                              struct timespec now)
{
    AprWitnessedMember_t witnessed[APR_MAX_MEMBERS];

    memset(witnessed, 0, sizeof(witnessed));
    for (int i = 0; i < APR_MAX_MEMBERS; i++) {
        if (record->members[i].state != APR_MEMBER_FREE) {
            update_witnessed_member(lease, record, &record->members[i], now,
                                    &witnessed[i]);
        }
    }
    memcpy(lease->witnessed, witnessed, sizeof(lease->witnessed));
}

static AprWitnessedMember_t *
find_witnessed_member(AprLease_t *lease, const char *host,
                      uint64_t incarnation)
{
    AprMember_t member = AprLeaseState_FindMember(lease, host);

    if (member == APR_NO_MEMBER ||
        lease->members[member].incarnation != incarnation) {
        return NULL;
    }
    return &lease->witnessed[member];
}

/* Returns whether at least the promise plus the drift allowance has passed
   between `since` and `now`. */
static bool
promise_expired(const AprLease_t *lease, struct timespec since,
                struct timespec now)
{
    return !AprTime_IsBefore(
        now, AprTime_AddMs(since, lease->settings.promise_ms +
                                      lease->settings.drift_ms));
}

/* Returns whether this process may consent to the removal of a member. While
   this process is not in the record yet, it acknowledges no renewals, but a
   member from which it received one recently is alive, so it does not consent.
   This does not hold once it has consented, because only a removal or another
   change of the record ends a consent. */
static bool
may_consent(const AprLease_t *lease, const AprWitnessedMember_t *state,
            struct timespec now)
{
    if (!state->listed ||
        (state->has_promised &&
         !promise_expired(lease, state->last_promise_at, now))) {
        return false;
    }
    if (state->consent_version == 0 && state->has_renewed &&
        !promise_expired(lease, state->last_renewal_at, now)) {
        return false;
    }
    /* An earlier incarnation of this process may have made a promise that is
       still in force. */
    return !apr_lease_rules.delay_consent ||
           (promise_expired(lease, lease->started_at, now) &&
            promise_expired(lease, state->listed_at, now));
}

/* Handles a renewal by a member and returns whether to acknowledge it. True is
   a promise not to consent to the removal of this member for promise_ms.
   Returns false unless the last record has both the member's incarnation and
   that of this process, and while a consent is in force. */
bool
AprLease_OnRenew(AprLease_t *lease, const char *member,
                 uint64_t member_incarnation, struct timespec now)
{
    AprWitnessedMember_t *state =
        find_witnessed_member(lease, member, member_incarnation);

    if (state == NULL) {
        return false;
    }
    state->has_renewed = true;
    state->last_renewal_at = now;
    if ((apr_lease_rules.check_witness_incarnation &&
         !AprLease_IsMember(lease)) ||
        state->consent_version != 0) {
        return false;
    }
    state->has_promised = true;
    state->last_promise_at = now;
    return true;
}

/* Handles a request for consent to the removal of a member from exactly this
   record version and returns whether this process consents. A process that
   has restarted and is not in the record may consent. */
bool
AprLease_OnConsentRequest(AprLease_t *lease, const char *member,
                          uint64_t member_incarnation, uint64_t version,
                          struct timespec now)
{
    AprWitnessedMember_t *state =
        find_witnessed_member(lease, member, member_incarnation);

    if (state == NULL || version < lease->record_version ||
        version < state->consent_version || !may_consent(lease, state, now)) {
        return false;
    }
    state->consent_version = version;
    return true;
}

/* Lists the members of the last record that have this process as a witness and
   to which its promise has expired. Returns their number, limited to
   `capacity`. */
int
AprLease_ListExpiredMembers(const AprLease_t *lease, struct timespec now,
                            AprMember_t *members, int capacity)
{
    int count = 0;

    for (int i = 0; i < APR_MAX_MEMBERS && count < capacity; i++) {
        if (lease->members[i].state != APR_MEMBER_FREE &&
            may_consent(lease, &lease->witnessed[i], now)) {
            members[count++] = (AprMember_t)i;
        }
    }
    return count;
}
