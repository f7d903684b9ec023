#include <string.h>

#include "internal/lease_state.h"

static const AprLeaseWatch_t *
watch_of(const AprLease_t *lease, const AprMemberEntry_t *entry)
{
    AprMember_t member = AprLeaseState_Find(lease, entry->host);

    if (member == APR_NO_MEMBER ||
        lease->members[member].incarnation != entry->incarnation) {
        return NULL;
    }
    return &lease->watches[member];
}

static void
carry_watch(const AprLease_t *lease, const AprRecord_t *record,
            const AprMemberEntry_t *entry, struct timespec now,
            AprLeaseWatch_t *watch)
{
    const AprLeaseWatch_t *known = watch_of(lease, entry);
    bool was_named = false;

    if (known != NULL) {
        *watch = *known;
        was_named = known->named;
        /* The swap on the version of the consent can no longer succeed. */
        if (record->version > watch->consent_version) {
            watch->consent_version = 0;
        }
    }
    watch->named = AprLeaseState_Lists(entry, lease->host);
    if (watch->named && !was_named) {
        watch->named_at = now;
    }
}

/* Takes what is known of each member incarnation over to a newer record, in
   which it may have another index. Called before the members are replaced. */
void
AprLeaseState_CarryWatches(AprLease_t *lease, const AprRecord_t *record,
                           struct timespec now)
{
    AprLeaseWatch_t watches[APR_MAX_MEMBERS];

    memset(watches, 0, sizeof(watches));
    for (int i = 0; i < APR_MAX_MEMBERS; i++) {
        if (record->members[i].state != APR_MEMBER_FREE) {
            carry_watch(lease, record, &record->members[i], now, &watches[i]);
        }
    }
    memcpy(lease->watches, watches, sizeof(lease->watches));
}

static AprLeaseWatch_t *
find_watch(AprLease_t *lease, const char *host, uint64_t incarnation)
{
    AprMember_t member = AprLeaseState_Find(lease, host);

    if (member == APR_NO_MEMBER ||
        lease->members[member].incarnation != incarnation) {
        return NULL;
    }
    return &lease->watches[member];
}

/* Whether at least the promise plus drift has passed since a time. */
static bool
promise_is_over(const AprLease_t *lease, struct timespec since,
                struct timespec now)
{
    return !AprTime_Before(now,
                           AprTime_AddMs(since, lease->settings.promise_ms +
                                                    lease->settings.drift_ms));
}

/* Whether this process may consent to the removal of a member. A member that
   was heard but not acknowledged, because this process is not in the record
   yet, is alive and is spared; one to whose removal this process consented is
   not, because only a removal or another change of the record ends that. */
static bool
may_consent(const AprLease_t *lease, const AprLeaseWatch_t *watch,
            struct timespec now)
{
    if (!watch->named || (watch->promised &&
                          !promise_is_over(lease, watch->promised_at, now))) {
        return false;
    }
    if (watch->consent_version == 0 && watch->heard &&
        !promise_is_over(lease, watch->heard_at, now)) {
        return false;
    }
    /* An earlier incarnation of this process may have promised. */
    return !apr_lease_rules.no_early_consent ||
           (promise_is_over(lease, lease->started, now) &&
            promise_is_over(lease, watch->named_at, now));
}

/* Answers a renewal; true promises not to consent to the removal of this
   member for promise_ms. Refused unless the last record has the member's
   incarnation and this process's own, and while a consent is in force. */
bool
AprLease_OnRenew(AprLease_t *lease, const char *member,
                 uint64_t member_incarnation, struct timespec now)
{
    AprLeaseWatch_t *watch = find_watch(lease, member, member_incarnation);

    if (watch == NULL) {
        return false;
    }
    watch->heard = true;
    watch->heard_at = now;
    if ((apr_lease_rules.witness_incarnation && !AprLease_IsMember(lease)) ||
        watch->consent_version != 0) {
        return false;
    }
    watch->promised = true;
    watch->promised_at = now;
    return true;
}

/* Answers a request for consent to the removal of a member in exactly this
   record version. A process that has restarted and is not in the record may
   consent. */
bool
AprLease_OnConsentRequest(AprLease_t *lease, const char *member,
                          uint64_t member_incarnation, uint64_t version,
                          struct timespec now)
{
    AprLeaseWatch_t *watch = find_watch(lease, member, member_incarnation);

    if (watch == NULL || version < lease->version ||
        version < watch->consent_version || !may_consent(lease, watch, now)) {
        return false;
    }
    watch->consent_version = version;
    return true;
}

/* Members of the last record for which this process is a witness and whose
   promise has run out. Returns their number, at most `capacity`. */
int
AprLease_Suspects(const AprLease_t *lease, struct timespec now,
                  AprMember_t *members, int capacity)
{
    int count = 0;

    for (int i = 0; i < APR_MAX_MEMBERS && count < capacity; i++) {
        if (lease->members[i].state != APR_MEMBER_FREE &&
            may_consent(lease, &lease->watches[i], now)) {
            members[count++] = (AprMember_t)i;
        }
    }
    return count;
}
