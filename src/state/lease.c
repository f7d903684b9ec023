#include "apricot/lease.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

#include "internal/lease_state.h"

/* Allowance for clocks whose rates differ: 1 % of the promise and 10 ms. */
#define DRIFT_PERCENT 1
#define DRIFT_FIXED_MS 10

/* About 30 years, far enough for "without a limit" and small enough for
   differences in nanoseconds. */
#define FAR_AHEAD_S 1000000000

AprLeaseRules_t apr_lease_rules = {true, true, true, true, true};

/* The settings of the design page: renewal every 250 ms, promises of 900 ms.
 */
AprLeaseSettings_t
AprLeaseSettings_Default(void)
{
    AprLeaseSettings_t settings = {APR_LEASE_RENEW_MS, APR_LEASE_PROMISE_MS,
                                   APR_LEASE_PROMISE_MS * DRIFT_PERCENT / 100 +
                                       DRIFT_FIXED_MS};

    return settings;
}

/* Creates the lease state of a process that starts now. The incarnation must
   be higher than all earlier ones of the host. NULL when memory runs out. */
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
    lease->started = now;
    lease->self = APR_NO_MEMBER;
    /* Acknowledgements do not name the member's incarnation. Distinct send
       ids keep those for an earlier incarnation from counting for this one. */
    lease->next_send_id = XXH3_64bits(&incarnation, sizeof(incarnation));
    return lease;
}

/* Frees the lease state. */
void
AprLease_Free(AprLease_t *lease)
{
    free(lease);
}

/* Whether the entry lists the host as a witness. */
bool
AprLeaseState_Lists(const AprMemberEntry_t *entry, const char *host)
{
    for (int i = 0; i < entry->witness_count; i++) {
        if (strcmp(entry->witnesses[i], host) == 0) {
            return true;
        }
    }
    return false;
}

/* The member of the last record with this host name, or APR_NO_MEMBER. */
AprMember_t
AprLeaseState_Find(const AprLease_t *lease, const char *host)
{
    for (int i = 0; i < APR_MAX_MEMBERS; i++) {
        if (lease->members[i].state != APR_MEMBER_FREE &&
            strcmp(lease->members[i].host, host) == 0) {
            return (AprMember_t)i;
        }
    }
    return APR_NO_MEMBER;
}

static AprLeaseTarget_t *
find_target(AprLeaseTarget_t *targets, int count, const char *host)
{
    for (int i = 0; i < count; i++) {
        if (strcmp(targets[i].host, host) == 0) {
            return &targets[i];
        }
    }
    return NULL;
}

static void
add_targets(AprLease_t *lease, const AprLeaseTarget_t *old, int old_count,
            const AprWitnessList_t *list)
{
    for (int i = 0; i < list->count; i++) {
        const char *host = list->hosts[i];
        AprLeaseTarget_t *target;
        const AprLeaseTarget_t *known = NULL;

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

/* Makes the targets the witnesses of both lists and keeps what is known of
   those that stay. */
static void
rebuild_targets(AprLease_t *lease)
{
    AprLeaseTarget_t old[APR_LEASE_TARGETS];
    int old_count = lease->target_count;

    memcpy(old, lease->targets, sizeof(old));
    lease->target_count = 0;
    add_targets(lease, old, old_count, &lease->current);
    if (lease->changing) {
        add_targets(lease, old, old_count, &lease->pending);
    }
}

/* Drops acknowledgements of a witness that has restarted since: its new
   incarnation knows nothing of the promise. */
static void
drop_outdated_acks(AprLease_t *lease)
{
    for (int i = 0; i < lease->target_count; i++) {
        AprLeaseTarget_t *target = &lease->targets[i];
        AprMember_t witness = AprLeaseState_Find(lease, target->host);

        if (apr_lease_rules.witness_incarnation && target->acknowledged &&
            witness != APR_NO_MEMBER &&
            lease->members[witness].incarnation > target->incarnation) {
            target->acknowledged = false;
        }
    }
}

/* Finds this process in the new record. An incarnation that was removed, or
   superseded by a newer one, is never a member again. */
static void
find_self(AprLease_t *lease, const AprRecord_t *record)
{
    bool was_member = lease->self != APR_NO_MEMBER;
    AprMember_t member = AprRecord_FindHost(record, lease->host);
    const AprMemberEntry_t *entry;

    lease->self = APR_NO_MEMBER;
    lease->current.count = 0;
    if (apr_lease_rules.removed_incarnation &&
        AprRecord_RemovedIncarnation(record, lease->host) >=
            lease->incarnation) {
        lease->removed = true;
    }
    if (member == APR_NO_MEMBER ||
        record->members[member].incarnation != lease->incarnation) {
        lease->removed = lease->removed ||
                         (apr_lease_rules.removed_incarnation &&
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
    lease->current.count = entry->witness_count;
    memcpy(lease->current.hosts, entry->witnesses,
           sizeof(lease->current.hosts));
}

/* Takes a record as committed. Versions that are not newer than the last one
   are ignored. */
void
AprLease_OnRecord(AprLease_t *lease, const AprRecord_t *record,
                  struct timespec now)
{
    if (record->version <= lease->version) {
        return;
    }
    AprLeaseState_CarryWatches(lease, record, now);
    lease->version = record->version;
    memcpy(lease->members, record->members, sizeof(lease->members));
    find_self(lease, record);
    rebuild_targets(lease);
    drop_outdated_acks(lease);
}

/* Notes that a write of this witness list begins. Called before the write is
   sent and not again before AprLease_EndWitnessChange. */
void
AprLease_BeginWitnessChange(AprLease_t *lease, char witnesses[][APR_NAME_SIZE],
                            int count)
{
    lease->changing = true;
    lease->pending.count =
        count < APR_MAX_WITNESSES ? count : APR_MAX_WITNESSES;
    for (int i = 0; i < lease->pending.count; i++) {
        snprintf(lease->pending.hosts[i], APR_NAME_SIZE, "%s", witnesses[i]);
    }
    rebuild_targets(lease);
}

/* Notes that the outcome of the write is known and that its effect, if any,
   was given to AprLease_OnRecord. After an unknown result this is so once a
   record newer than the replaced version was read: the write can no longer
   take effect. */
void
AprLease_EndWitnessChange(AprLease_t *lease)
{
    lease->changing = false;
    rebuild_targets(lease);
}

static uint64_t
note_send(AprLease_t *lease, AprLeaseTarget_t *target, struct timespec now)
{
    uint64_t id = lease->next_send_id++;

    target->send_ids[target->send_count % APR_LEASE_SENDS] = id;
    target->send_times[target->send_count % APR_LEASE_SENDS] = now;
    target->send_count++;
    target->last_send = now;
    return id;
}

/* The renewals to send now, at most one to each witness of the lists in
   force. Their send time is `now`. Returns their number. */
int
AprLease_DueRenewals(AprLease_t *lease, struct timespec now,
                     AprRenewal_t *renewals, int capacity)
{
    int count = 0;

    if (!AprLease_IsMember(lease)) {
        return 0;
    }
    for (int i = 0; i < lease->target_count && count < capacity; i++) {
        AprLeaseTarget_t *target = &lease->targets[i];

        if (target->send_count > 0 && AprTime_DiffMs(now, target->last_send) <
                                          lease->settings.renew_ms) {
            continue;
        }
        snprintf(renewals[count].witness, APR_NAME_SIZE, "%s", target->host);
        renewals[count++].send_id = note_send(lease, target, now);
    }
    return count;
}

static int
find_send(const AprLeaseTarget_t *target, uint64_t send_id)
{
    for (int i = 0; i < APR_LEASE_SENDS; i++) {
        if ((uint64_t)i < target->send_count &&
            target->send_ids[i] == send_id) {
            return i;
        }
    }
    return -1;
}

/* Takes an acknowledgement. It counts only from the incarnation of the
   witness that is in the last record: an older one has lost its memory, and a
   newer one is not yet known to be committed. */
void
AprLease_OnRenewAck(AprLease_t *lease, const char *witness,
                    uint64_t witness_incarnation, uint64_t send_id)
{
    AprLeaseTarget_t *target =
        find_target(lease->targets, lease->target_count, witness);
    AprMember_t member = AprLeaseState_Find(lease, witness);
    int send;

    if (target == NULL) {
        return;
    }
    if (apr_lease_rules.witness_incarnation &&
        (member == APR_NO_MEMBER ||
         lease->members[member].incarnation != witness_incarnation)) {
        return;
    }
    send = find_send(target, send_id);
    if (send < 0 ||
        (target->acknowledged && !AprTime_Before(target->acknowledged_send,
                                                 target->send_times[send]))) {
        return;
    }
    target->acknowledged = true;
    target->acknowledged_send = target->send_times[send];
    target->incarnation = witness_incarnation;
}

/* Whether this incarnation is in the last record. */
bool
AprLease_IsMember(const AprLease_t *lease)
{
    return lease->self != APR_NO_MEMBER;
}

/* Whether this incarnation was removed. It is then never a member again; the
   process needs a new AprLease_t with a newer incarnation. */
bool
AprLease_WasRemoved(const AprLease_t *lease)
{
    return lease->removed;
}

static struct timespec
later_of(struct timespec left, struct timespec right)
{
    return AprTime_Before(left, right) ? right : left;
}

static struct timespec
earlier_of(struct timespec left, struct timespec right)
{
    return AprTime_Before(left, right) ? left : right;
}

/* The time until which the acknowledgements suffice for one list: the p-th
   latest acknowledged send plus the promise. The zero time if there are fewer
   than p. */
static struct timespec
list_valid_until(const AprLease_t *lease, const AprWitnessList_t *list)
{
    struct timespec latest[APR_MAX_WITNESSES];
    struct timespec none = {0, 0};
    struct timespec far_ahead = {FAR_AHEAD_S, 0};
    int count = 0;
    int quorum = AprLease_Quorum(list->count);

    if (list->count == 0) {
        return far_ahead;
    }
    for (int i = 0; i < list->count; i++) {
        for (int j = 0; j < lease->target_count; j++) {
            const AprLeaseTarget_t *target = &lease->targets[j];
            int place = count;

            if (!target->acknowledged ||
                strcmp(target->host, list->hosts[i]) != 0) {
                continue;
            }
            while (place > 0 && AprTime_Before(latest[place - 1],
                                               target->acknowledged_send)) {
                latest[place] = latest[place - 1];
                place--;
            }
            latest[place] = target->acknowledged_send;
            count++;
        }
    }
    if (count < quorum) {
        return none;
    }
    return AprTime_AddMs(latest[quorum - 1], lease->settings.promise_ms);
}

/* Time until which the lease is valid without further acknowledgements: the
   zero time for a process that is not a member, a time far ahead for a member
   without witnesses. */
struct timespec
AprLease_ValidUntil(const AprLease_t *lease)
{
    struct timespec current = {0, 0};
    struct timespec pending;

    if (!AprLease_IsMember(lease)) {
        return current;
    }
    current = list_valid_until(lease, &lease->current);
    if (!lease->changing) {
        return current;
    }
    pending = list_valid_until(lease, &lease->pending);
    return apr_lease_rules.both_lists ? earlier_of(current, pending)
                                      : later_of(current, pending);
}

/* Whether this process may act as an owner now. Checked at each dispatch. */
bool
AprLease_Valid(const AprLease_t *lease, struct timespec now)
{
    return AprLease_IsMember(lease) &&
           AprTime_Before(now, AprLease_ValidUntil(lease));
}

/* Whether the member's list in the record should become `witnesses`: a
   witness left or a better choice exists. False while a change is under way.
 */
bool
AprLease_WantsWitnesses(const AprLease_t *lease, const AprRecord_t *record,
                        char witnesses[][APR_NAME_SIZE], int *count)
{
    AprMember_t self = AprRecord_FindHost(record, lease->host);

    if (lease->removed || lease->changing || self == APR_NO_MEMBER ||
        record->members[self].incarnation != lease->incarnation) {
        return false;
    }
    *count = AprRecord_ChooseWitnesses(record, self, witnesses);
    if (*count != record->members[self].witness_count) {
        return true;
    }
    for (int i = 0; i < *count; i++) {
        if (!AprLeaseState_Lists(&record->members[self], witnesses[i])) {
            return true;
        }
    }
    return false;
}
