#include <stdlib.h>
#include <string.h>

#include "internal/core.h"

#define MAX_RENEWALS_PER_TICK 8
#define WITNESS_CHANGE_SPREAD_PER_MEMBER_MS 150
#define WITNESS_CHANGE_SPREAD_MAX_MS 10000
#define CLOCK_DRIFT_PERCENT 1
#define CLOCK_DRIFT_FIXED_MS 10

/* Returns the placement policy from the configuration of a service, or the
   default policy while the configuration is not known. */
AprPlacementPolicy_t
AprMembership_GetPlacementPolicy(const AprCore_t *core, const char *service)
{
    AprPlacementPolicy_t policy = {0.5, 30};
    int index = AprCore_FindService(core, service);

    if (index >= 0 && core->services[index]->config.generation > 0) {
        policy.move_cost = core->services[index]->config.move_cost;
        policy.ramp_s = core->services[index]->config.ramp_s;
    }
    return policy;
}

/* Assigns an owner to every unowned partition of all services in `record`,
   which is the copy that a change edits. */
void
AprMembership_AssignUnowned(AprCore_t *core, AprRecord_t *record)
{
    int64_t wall_ms = AprClock_WallMs(&core->clock);

    for (int i = 0; i < record->service_count; i++) {
        AprPlacementPolicy_t policy =
            AprMembership_GetPlacementPolicy(core, record->services[i].name);

        AprPlacement_AssignUnowned(record, i, &policy, wall_ms);
    }
}

static void
init_own_entry(const AprCore_t *core, AprMemberEntry_t *entry)
{
    const AprSettings_t *settings = &core->settings;

    memset(entry, 0, sizeof(*entry));
    entry->state = APR_MEMBER_ACTIVE;
    entry->incarnation = core->incarnation;
    entry->joined_at_ms = AprClock_WallMs(&core->clock);
    g_strlcpy(entry->host, settings->host, sizeof(entry->host));
    g_strlcpy(entry->peer_address, settings->advertise_peers,
              sizeof(entry->peer_address));
    g_strlcpy(entry->admin_address, settings->advertise_admin,
              sizeof(entry->admin_address));
    g_strlcpy(entry->caller_address, settings->advertise_callers,
              sizeof(entry->caller_address));
    g_strlcpy(entry->failure_domain, settings->failure_domain,
              sizeof(entry->failure_domain));
    g_strlcpy(entry->region, settings->region, sizeof(entry->region));
}

/* Returns whether this process may remove the previous incarnation of its host
   itself, because the host is alone in the cell and has no witness that could.
   The previous process has ended, since this one is bound to its address. The
   wait of two promise times covers requests that it may have dispatched. */
static bool
can_replace_old_incarnation(const AprCore_t *core, const AprRecord_t *record,
                            AprMember_t old)
{
    int64_t uptime_ms = AprTime_DiffMs(AprCore_Now(core), core->started_at);

    return record->members[old].witness_count == 0 &&
           AprRecord_CountMembers(record) == 1 &&
           uptime_ms > 2 * (int64_t)core->settings.lease_promise_ms;
}

static int
apply_join(AprCore_t *core, AprRecord_t *record, void *argument)
{
    AprMember_t old = AprRecord_FindHost(record, core->settings.host);
    AprMemberEntry_t entry;
    AprMember_t self;
    AprError_t error = {0};
    int code;

    (void)argument;
    if (AprCore_FindSelfIn(core, record) != APR_NO_MEMBER) {
        return APR_E_EXISTS;
    }
    if (old != APR_NO_MEMBER) {
        if (!can_replace_old_incarnation(core, record, old)) {
            return APR_E_STALE;
        }
        AprRecord_RemoveMember(record, old);
    }
    init_own_entry(core, &entry);
    code = AprRecord_AddMember(record, &entry, &self, &error);
    if (code != APR_OK) {
        return code;
    }
    entry.witness_count =
        AprRecord_ChooseWitnesses(record, self, entry.witnesses);
    return AprRecord_SetWitnesses(record, self, entry.witnesses,
                                  entry.witness_count);
}

static void
on_join_done(AprCore_t *core, int result, void *argument)
{
    (void)argument;
    core->join_queued = false;
    if (result == APR_OK) {
        core->membership = APR_MEMBERSHIP_MEMBER;
        AprLog_Write(APR_LOG_INFO, "joined",
                     "cell=%s incarnation=%" PRIu64 " version=%" PRIu64,
                     core->settings.cell, core->incarnation,
                     core->record->version);
    }
}

/* Queues the join of this process once no earlier incarnation of its host is
   left in the record. */
static void
try_join(AprCore_t *core)
{
    AprMember_t old = AprRecord_FindHost(core->record, core->settings.host);

    if (core->join_queued || atomic_load(&core->draining) ||
        core->membership == APR_MEMBERSHIP_LEFT) {
        return;
    }
    if (old != APR_NO_MEMBER &&
        !can_replace_old_incarnation(core, core->record, old)) {
        return;
    }
    core->join_queued = true;
    AprRecordSync_QueueChange(core, apply_join, on_join_done, NULL);
}

/* Returns the lease times from the process settings. The allowance for clock
   drift is proportional to the promise time, plus a fixed part. */
AprLeaseSettings_t
AprMembership_GetLeaseSettings(const AprCore_t *core)
{
    AprLeaseSettings_t lease = {
        core->settings.lease_renew_ms, core->settings.lease_promise_ms,
        core->settings.lease_promise_ms * CLOCK_DRIFT_PERCENT / 100 +
            CLOCK_DRIFT_FIXED_MS};

    return lease;
}

/* Discards the lease of a removed process and lets it join again under a new,
   higher incarnation number, as if it had been restarted. */
static void
restart_as_new_incarnation(AprCore_t *core)
{
    AprLeaseSettings_t lease = AprMembership_GetLeaseSettings(core);
    uint64_t removed =
        AprRecord_LastRemovedIncarnation(core->record, core->settings.host);
    uint64_t wall_ms = (uint64_t)AprClock_WallMs(&core->clock);

    core->incarnation = MAX(MAX(wall_ms, core->incarnation + 1), removed + 1);
    core->started_at = AprCore_Now(core);
    AprLease_Free(core->lease);
    core->lease = AprLease_New(&lease, core->settings.host, core->incarnation,
                               core->started_at);
    AprLease_OnRecord(core->lease, core->record, core->started_at);
    core->membership = APR_MEMBERSHIP_JOINING;
    AprLog_Write(APR_LOG_WARN, "removed",
                 "version=%" PRIu64 " next_incarnation=%" PRIu64,
                 core->record->version, core->incarnation);
}

/* Starts a new incarnation when the record shows that this process was
   removed. Also does so on the first record when that holds an incarnation of
   this host whose number is not lower than that of this process. */
void
AprMembership_OnRecord(AprCore_t *core)
{
    AprMember_t entry = AprRecord_FindHost(core->record, core->settings.host);

    if (core->membership == APR_MEMBERSHIP_STARTING) {
        uint64_t known = AprRecord_LastRemovedIncarnation(core->record,
                                                          core->settings.host);

        if (entry != APR_NO_MEMBER) {
            known = MAX(known, core->record->members[entry].incarnation);
        }
        core->membership = APR_MEMBERSHIP_JOINING;
        if (known >= core->incarnation) {
            core->incarnation = known; /* the wall clock was set back */
            restart_as_new_incarnation(core);
        }
        return;
    }
    if (core->membership == APR_MEMBERSHIP_MEMBER && !AprCore_IsMember(core)) {
        if (atomic_load(&core->draining)) {
            core->membership = APR_MEMBERSHIP_LEFT;
            return;
        }
        restart_as_new_incarnation(core);
    }
}

static int
apply_witness_change(AprCore_t *core, AprRecord_t *record, void *argument)
{
    AprMember_t self = AprCore_FindSelfIn(core, record);
    const AprMemberEntry_t *wanted = argument;
    char list[APR_MAX_WITNESSES][APR_NAME_SIZE];

    if (self == APR_NO_MEMBER) {
        return APR_E_STALE;
    }
    if (record->members[self].witness_count == wanted->witness_count &&
        memcmp(record->members[self].witnesses, wanted->witnesses,
               sizeof(list)) == 0) {
        return APR_E_EXISTS;
    }
    memcpy(list, wanted->witnesses, sizeof(list));
    return AprRecord_SetWitnesses(record, self, list, wanted->witness_count);
}

static void
on_witness_change_done(AprCore_t *core, int result, void *argument)
{
    (void)result;
    core->witness_change_queued = false;
    AprLease_EndWitnessChange(core->lease);
    free(argument);
}

/* Returns whether less than a third of the promise time remains until the
   lease expires. The settings allow at least two renewals per promise time, so
   a member with a valid lease normally gets there only when too few witnesses
   still acknowledge them. */
static bool
lease_expires_soon(const AprCore_t *core, struct timespec now)
{
    return AprTime_DiffMs(AprLease_ValidUntil(core->lease), now) <
           core->settings.lease_promise_ms / 3;
}

/* Returns whether the planned change of the witness list may be written now.
   A member whose lease does not expire soon waits for a random time. After the
   loss of a failure domain all survivors need new witnesses at once, and their
   writes would conflict with each other and with the removal of the lost
   hosts. */
static bool
witness_change_is_due(AprCore_t *core, struct timespec now)
{
    int spread_ms = MIN(AprRecord_CountMembers(core->record) *
                            WITNESS_CHANGE_SPREAD_PER_MEMBER_MS,
                        WITNESS_CHANGE_SPREAD_MAX_MS);

    if (!core->witness_change_planned) {
        core->witness_change_planned = true;
        core->witness_change_at =
            AprTime_AddMs(now, g_random_int_range(0, spread_ms + 1));
    }
    return lease_expires_soon(core, now) ||
           !AprTime_IsBefore(now, core->witness_change_at);
}

static void
update_witness_list(AprCore_t *core, struct timespec now)
{
    AprMemberEntry_t *wanted;

    if (core->witness_change_queued) {
        return;
    }
    wanted = calloc(1, sizeof(*wanted));
    if (wanted == NULL) {
        return;
    }
    if (!AprLease_NeedsWitnessChange(core->lease, core->record,
                                     wanted->witnesses,
                                     &wanted->witness_count)) {
        core->witness_change_planned = false;
        free(wanted);
        return;
    }
    if (!witness_change_is_due(core, now)) {
        free(wanted);
        return;
    }
    core->witness_change_planned = false;
    core->witness_change_queued = true;
    AprLease_BeginWitnessChange(core->lease, wanted->witnesses,
                                wanted->witness_count);
    AprRecordSync_QueueChange(core, apply_witness_change,
                              on_witness_change_done, wanted);
}

static void
send_renewals(AprCore_t *core, struct timespec now)
{
    AprRenewal_t renewals[MAX_RENEWALS_PER_TICK];
    int count = AprLease_TakeDueRenewals(core->lease, now, renewals,
                                         MAX_RENEWALS_PER_TICK);

    for (int i = 0; i < count; i++) {
        AprMessage_t message = {0};

        message.type = APR_MSG_RENEW;
        message.renew.incarnation = core->incarnation;
        message.renew.send_id = renewals[i].send_id;
        message.renew.record_version = core->record->version;
        message.renew.config_digest = core->config_digest;
        AprLinks_SendToHost(core, renewals[i].witness, &message);
    }
}

/* Handles RENEW as a witness and RENEW_ACK as a member. Both messages carry
   the record version and the configuration digest of the sender, so that the
   side that is behind can pull. */
void
AprMembership_OnMessage(AprCore_t *core, AprLinkHandle_t link,
                        const AprMessage_t *message)
{
    const AprRenewMessage_t *renew = &message->renew;
    const char *host = AprLinks_FindHost(core, link);

    if (host == NULL) {
        return;
    }
    if (message->type == APR_MSG_RENEW_ACK) {
        AprLease_OnRenewAck(core->lease, host, renew->incarnation,
                            renew->send_id);
    }
    else if (AprLease_OnRenew(core->lease, host, renew->incarnation,
                              AprCore_Now(core))) {
        AprMessage_t answer = {0};

        answer.type = APR_MSG_RENEW_ACK;
        answer.renew.incarnation = core->incarnation;
        answer.renew.send_id = renew->send_id;
        answer.renew.record_version = core->record->version;
        answer.renew.config_digest = core->config_digest;
        AprLinks_Send(core, link, &answer);
    }
    AprRecordSync_PullIfOlder(core, link, renew->record_version);
    AprRecordSync_SendIfNewer(core, link, renew->record_version);
    AprConfigSync_PullIfDifferent(core, link, renew->config_digest);
}

/* Runs the periodic work of a member: seed links, joining, lease renewals,
   witness changes, draining and assignment of partitions. */
void
AprMembership_Tick(AprCore_t *core)
{
    struct timespec now = AprCore_Now(core);
    AprMember_t self;

    AprDrain_CheckFinished(core, now);
    if (!core->seeds_opened) {
        core->seeds_opened = true;
        AprLinks_OpenSeeds(core);
    }
    if (!core->record_known) {
        return;
    }
    if (core->membership == APR_MEMBERSHIP_STARTING) {
        core->membership = APR_MEMBERSHIP_JOINING; /* no record exists yet */
    }
    self = AprCore_FindSelf(core);
    if (self == APR_NO_MEMBER) {
        try_join(core);
        return;
    }
    send_renewals(core, now);
    update_witness_list(core, now);
    AprDrain_Advance(core, self, now);
    AprAssignment_Tick(core, now);
}
