#include "apricot/lease.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

#include "internal/lease_state.h"

/* Allowance for clocks that run at different rates: 1 % of the promise plus
   10 ms. */
#define DRIFT_PERCENT 1
#define DRIFT_FIXED_MS 10

/* Expiry of a lease without a time limit: about 30 years, small enough for
   differences in nanoseconds to fit into 64 bits. */
#define NO_EXPIRY_S 1000000000

AprLeaseRules_t apr_lease_rules = {true, true, true, true, true};

/* Returns the settings of docs/design.md: renewal every 250 ms, promises of
   900 ms. */
AprLeaseSettings_t
AprLeaseSettings_Default(void)
{
    AprLeaseSettings_t settings = {APR_LEASE_RENEW_MS, APR_LEASE_PROMISE_MS,
                                   APR_LEASE_PROMISE_MS * DRIFT_PERCENT / 100 +
                                       DRIFT_FIXED_MS};

    return settings;
}

/* Creates the lease state of a process that starts at `now`. The incarnation
   must be higher than all earlier ones of the host. The caller frees the
   result with AprLease_Free. Returns NULL when memory runs out. */
AprLease_t *
AprLease_New(const AprLeaseSettings_t *settings, const char *host,
             uint64_t incarnation, struct timespec now)
{
    AprLease_t *lease = calloc(1, sizeof(*lease));

    if (lease == NULL) {
        return NULL;
    }
    lease->settings = *settings;
    snprintf(lease->host, sizeof(lease->host), "%s", host);
    lease->incarnation = incarnation;
    lease->started_at = now;
    lease->self = APR_NO_MEMBER;
    /* Acknowledgements do not carry the member's incarnation. Distinct send
       ids keep those for an earlier incarnation from counting for this one. */
    lease->next_send_id = XXH3_64bits(&incarnation, sizeof(incarnation));
    return lease;
}

void
AprLease_Free(AprLease_t *lease)
{
    free(lease);
}

/* Returns whether the entry lists the host as a witness. */
bool
AprLeaseState_HasWitness(const AprMemberEntry_t *entry, const char *host)
{
    for (int i = 0; i < entry->witness_count; i++) {
        if (strcmp(entry->witnesses[i], host) == 0) {
            return true;
        }
    }
    return false;
}

/* Returns the member of the last record with this host name, or
   APR_NO_MEMBER. */
AprMember_t
AprLeaseState_FindMember(const AprLease_t *lease, const char *host)
{
    for (int i = 0; i < APR_MAX_MEMBERS; i++) {
        if (lease->members[i].state != APR_MEMBER_FREE &&
            strcmp(lease->members[i].host, host) == 0) {
            return (AprMember_t)i;
        }
    }
    return APR_NO_MEMBER;
}

static AprRenewalTarget_t *
find_target(AprRenewalTarget_t *targets, int count, const char *host)
{
    for (int i = 0; i < count; i++) {
        if (strcmp(targets[i].host, host) == 0) {
            return &targets[i];
        }
    }
    return NULL;
}

static void
add_targets(AprLease_t *lease, const AprRenewalTarget_t *old, int old_count,
            const AprWitnessList_t *list)
{
    for (int i = 0; i < list->count; i++) {
        const char *host = list->hosts[i];
        AprRenewalTarget_t *target;
        const AprRenewalTarget_t *known = NULL;

        if (find_target(lease->targets, lease->target_count, host) != NULL) {
            continue;
        }
        for (int j = 0; j < old_count && known == NULL; j++) {
            known = strcmp(old[j].host, host) == 0 ? &old[j] : NULL;
        }
        target = &lease->targets[lease->target_count++];
        if (known != NULL) {
            *target = *known;
        }
        else {
            memset(target, 0, sizeof(*target));
            snprintf(target->host, sizeof(target->host), "%s", host);
        }
    }
}

/* Sets the renewal targets to the witnesses of the current list and, during a
   change, of the pending one. Targets that remain keep their state. */
static void
rebuild_targets(AprLease_t *lease)
{
    AprRenewalTarget_t old[APR_LEASE_MAX_TARGETS];
    int old_count = lease->target_count;

    memcpy(old, lease->targets, sizeof(old));
    lease->target_count = 0;
    add_targets(lease, old, old_count, &lease->current_witnesses);
    if (lease->witness_change_pending) {
        add_targets(lease, old, old_count, &lease->pending_witnesses);
    }
}

/* Discards the acknowledgements of witnesses that have restarted since: the
   new incarnation does not know of the promise. */
static void
drop_acks_of_restarted_witnesses(AprLease_t *lease)
{
    for (int i = 0; i < lease->target_count; i++) {
        AprRenewalTarget_t *target = &lease->targets[i];
        AprMember_t witness = AprLeaseState_FindMember(lease, target->host);

        if (apr_lease_rules.check_witness_incarnation && target->has_ack &&
            witness != APR_NO_MEMBER &&
            lease->members[witness].incarnation > target->acked_incarnation) {
            target->has_ack = false;
        }
    }
}

/* Updates the own member index and witness list from a new record. An
   incarnation that was removed, or superseded by a newer one, never becomes a
   member again. */
static void
update_own_membership(AprLease_t *lease, const AprRecord_t *record)
{
    bool was_member = lease->self != APR_NO_MEMBER;
    AprMember_t member = AprRecord_FindHost(record, lease->host);
    const AprMemberEntry_t *entry;

    lease->self = APR_NO_MEMBER;
    lease->current_witnesses.count = 0;
    if (apr_lease_rules.reject_removed_incarnation &&
        AprRecord_LastRemovedIncarnation(record, lease->host) >=
            lease->incarnation) {
        lease->removed = true;
    }
    if (member == APR_NO_MEMBER ||
        record->members[member].incarnation != lease->incarnation) {
        lease->removed = lease->removed ||
                         (apr_lease_rules.reject_removed_incarnation &&
                          (was_member || (member != APR_NO_MEMBER &&
                                          record->members[member].incarnation >
                                              lease->incarnation)));
        return;
    }
    if (lease->removed) {
        return;
    }
    entry = &record->members[member];
    lease->self = member;
    lease->current_witnesses.count = entry->witness_count;
    memcpy(lease->current_witnesses.hosts, entry->witnesses,
           sizeof(lease->current_witnesses.hosts));
}

/* Applies a committed record. A version that is not newer than the last one
   is ignored. The record is copied as far as it is needed. */
void
AprLease_OnRecord(AprLease_t *lease, const AprRecord_t *record,
                  struct timespec now)
{
    if (record->version <= lease->record_version) {
        return;
    }
    AprLeaseState_UpdateWitnessed(lease, record, now);
    lease->record_version = record->version;
    memcpy(lease->members, record->members, sizeof(lease->members));
    update_own_membership(lease, record);
    rebuild_targets(lease);
    drop_acks_of_restarted_witnesses(lease);
}

/* Starts a change of the witness list: until AprLease_EndWitnessChange, the
   lease needs a quorum of both lists. Must be called before the write is sent,
   and not again before AprLease_EndWitnessChange. The names are copied. */
void
AprLease_BeginWitnessChange(AprLease_t *lease, char witnesses[][APR_NAME_SIZE],
                            int count)
{
    lease->witness_change_pending = true;
    lease->pending_witnesses.count =
        count < APR_MAX_WITNESSES ? count : APR_MAX_WITNESSES;
    for (int i = 0; i < lease->pending_witnesses.count; i++) {
        snprintf(lease->pending_witnesses.hosts[i], APR_NAME_SIZE, "%s",
                 witnesses[i]);
    }
    rebuild_targets(lease);
}

/* Ends a change of the witness list. Must be called only when the outcome of
   the write is known and its effect, if any, was passed to AprLease_OnRecord.
   After an unknown result that is the case once a record newer than the
   replaced version was read: the write can no longer take effect. */
void
AprLease_EndWitnessChange(AprLease_t *lease)
{
    lease->witness_change_pending = false;
    rebuild_targets(lease);
}

static uint64_t
record_send(AprLease_t *lease, AprRenewalTarget_t *target, struct timespec now)
{
    uint64_t id = lease->next_send_id++;

    target->send_ids[target->send_count % APR_LEASE_SEND_HISTORY] = id;
    target->send_times[target->send_count % APR_LEASE_SEND_HISTORY] = now;
    target->send_count++;
    target->last_send_time = now;
    return id;
}

/* Fills `renewals` with the renewals that are due, at most one per witness of
   the lists in force, and records `now` as their send time. Returns their
   number, at most `capacity`; 0 for a process that is not a member. */
int
AprLease_TakeDueRenewals(AprLease_t *lease, struct timespec now,
                         AprRenewal_t *renewals, int capacity)
{
    int count = 0;

    if (!AprLease_IsMember(lease)) {
        return 0;
    }
    for (int i = 0; i < lease->target_count && count < capacity; i++) {
        AprRenewalTarget_t *target = &lease->targets[i];

        if (target->send_count > 0 &&
            AprTime_DiffMs(now, target->last_send_time) <
                lease->settings.renew_ms) {
            continue;
        }
        snprintf(renewals[count].witness, APR_NAME_SIZE, "%s", target->host);
        renewals[count++].send_id = record_send(lease, target, now);
    }
    return count;
}

static int
find_send_index(const AprRenewalTarget_t *target, uint64_t send_id)
{
    for (int i = 0; i < APR_LEASE_SEND_HISTORY; i++) {
        if ((uint64_t)i < target->send_count &&
            target->send_ids[i] == send_id) {
            return i;
        }
    }
    return -1;
}

/* Handles an acknowledgement of a renewal. It counts only if it comes from the
   incarnation of the witness that is in the last record: the state of an older
   one is lost, and a newer one is not yet known to be committed. */
void
AprLease_OnRenewAck(AprLease_t *lease, const char *witness,
                    uint64_t witness_incarnation, uint64_t send_id)
{
    AprRenewalTarget_t *target =
        find_target(lease->targets, lease->target_count, witness);
    AprMember_t member = AprLeaseState_FindMember(lease, witness);
    int send;

    if (target == NULL) {
        return;
    }
    if (apr_lease_rules.check_witness_incarnation &&
        (member == APR_NO_MEMBER ||
         lease->members[member].incarnation != witness_incarnation)) {
        return;
    }
    send = find_send_index(target, send_id);
    if (send < 0 ||
        (target->has_ack && !AprTime_IsBefore(target->acked_send_time,
                                              target->send_times[send]))) {
        return;
    }
    target->has_ack = true;
    target->acked_send_time = target->send_times[send];
    target->acked_incarnation = witness_incarnation;
}

/* Returns whether this incarnation is a member in the last record. */
bool
AprLease_IsMember(const AprLease_t *lease)
{
    return lease->self != APR_NO_MEMBER;
}

/* Returns whether this incarnation was removed or superseded. It then never
   becomes a member again; the process needs a new AprLease_t with a newer
   incarnation. */
bool
AprLease_WasRemoved(const AprLease_t *lease)
{
    return lease->removed;
}

static struct timespec
later_time(struct timespec left, struct timespec right)
{
    return AprTime_IsBefore(left, right) ? right : left;
}

static struct timespec
earlier_time(struct timespec left, struct timespec right)
{
    return AprTime_IsBefore(left, right) ? left : right;
}

/* Returns the time until which the lease is valid under one witness list: with
   a quorum of p, the p-th latest acknowledged send time plus the promise.
   Returns the zero time if fewer than p witnesses have acknowledged. */
static struct timespec
list_valid_until(const AprLease_t *lease, const AprWitnessList_t *list)
{
    struct timespec latest[APR_MAX_WITNESSES];
    struct timespec none = {0, 0};
    struct timespec no_expiry = {NO_EXPIRY_S, 0};
    int count = 0;
    int quorum = AprLease_Quorum(list->count);

    if (list->count == 0) {
        return no_expiry;
    }
    for (int i = 0; i < list->count; i++) {
        for (int j = 0; j < lease->target_count; j++) {
            const AprRenewalTarget_t *target = &lease->targets[j];
            int position = count;

            if (!target->has_ack ||
                strcmp(target->host, list->hosts[i]) != 0) {
                continue;
            }
            while (position > 0 && AprTime_IsBefore(latest[position - 1],
                                                    target->acked_send_time)) {
                latest[position] = latest[position - 1];
                position--;
            }
            latest[position] = target->acked_send_time;
            count++;
        }
    }
    if (count < quorum) {
        return none;
    }
    return AprTime_AddMs(latest[quorum - 1], lease->settings.promise_ms);
}

/* Returns the time until which the lease is valid without further
   acknowledgements: the zero time for a process that is not a member, and
   NO_EXPIRY_S for a member without witnesses. */
struct timespec
AprLease_ValidUntil(const AprLease_t *lease)
{
    struct timespec current = {0, 0};
    struct timespec pending;

    if (!AprLease_IsMember(lease)) {
        return current;
    }
    current = list_valid_until(lease, &lease->current_witnesses);
    if (!lease->witness_change_pending) {
        return current;
    }
    pending = list_valid_until(lease, &lease->pending_witnesses);
    return apr_lease_rules.require_both_lists ? earlier_time(current, pending)
                                              : later_time(current, pending);
}

/* Returns whether the lease is valid at `now`, so that this process may act as
   an owner. Checked at each dispatch. */
bool
AprLease_IsValid(const AprLease_t *lease, struct timespec now)
{
    return AprLease_IsMember(lease) &&
           AprTime_IsBefore(now, AprLease_ValidUntil(lease));
}

/* Returns whether this member should write a new witness list, because a
   witness left or a better choice exists; `witnesses` and `count` then hold
   it. Returns false while another change is pending. */
bool
AprLease_NeedsWitnessChange(const AprLease_t *lease, const AprRecord_t *record,
                            char witnesses[][APR_NAME_SIZE], int *count)
{
    AprMember_t self = AprRecord_FindHost(record, lease->host);

    if (lease->removed || lease->witness_change_pending ||
        self == APR_NO_MEMBER ||
        record->members[self].incarnation != lease->incarnation) {
        return false;
    }
    *count = AprRecord_ChooseWitnesses(record, self, witnesses);
    if (*count != record->members[self].witness_count) {
        return true;
    }
    for (int i = 0; i < *count; i++) {
        if (!AprLeaseState_HasWitness(&record->members[self], witnesses[i])) {
            return true;
        }
    }
    return false;
}
