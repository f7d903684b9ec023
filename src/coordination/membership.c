#include <stdlib.h>
#include <string.h>

#include "internal/core.h"

#define BACKEND_SILENCE_MS 3500 /* three announcements missed, and some */
#define PLAN_INTERVAL_MS 200
#define DRAIN_REFUSE_MS 1500  /* a leaving process takes no work after 2 s */
#define DRAIN_GIVE_UP_MS 8000 /* the store did not take the departure */
#define MOVES_PER_PLAN 256
#define MOVE_BATCH 32
#define MIN_STAY_MS 2000 /* of a partition that came by a planned move */
#define MAX_RENEWALS 8
#define WITNESS_SPREAD_PER_MEMBER_MS 150
#define WITNESS_SPREAD_MAX_MS 10000
#define DRIFT_PERCENT 1
#define DRIFT_FIXED_MS 10

/* The placement policy of a service, or the default one while its
   configuration is not known. */
AprPlacementPolicy_t
AprMembership_Policy(const AprCore_t *core, const char *service)
{
    AprPlacementPolicy_t policy = {0.5, 30};
    int index = AprCore_FindService(core, service);

    if (index >= 0 && core->services[index]->config.generation > 0) {
        policy.move_cost = core->services[index]->config.move_cost;
        policy.ramp_s = core->services[index]->config.ramp_s;
    }
    return policy;
}

/* Assigns all unowned partitions of all services. */
void
AprMembership_AssignUnowned(AprCore_t *core, AprRecord_t *record)
{
    int64_t wall_ms = AprClock_WallMs(&core->clock);

    for (int i = 0; i < record->service_count; i++) {
        AprPlacementPolicy_t policy =
            AprMembership_Policy(core, record->services[i].name);

        AprPlacement_AssignUnowned(record, i, &policy, wall_ms);
    }
}

static AprMember_t
self_in(const AprCore_t *core, const AprRecord_t *record)
{
    AprMember_t self = AprRecord_FindHost(record, core->settings.host);

    if (self == APR_NO_MEMBER ||
        record->members[self].incarnation != core->incarnation) {
        return APR_NO_MEMBER;
    }
    return self;
}

static void
fill_entry(const AprCore_t *core, AprMemberEntry_t *entry)
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

/* A host alone in its cell has no witness that could remove its earlier
   incarnation. Its address is bound by this process, so the earlier process
   has ended, and the wait covers what it may have dispatched. */
static bool
may_replace_itself(const AprCore_t *core, const AprRecord_t *record,
                   AprMember_t old)
{
    int64_t running = AprTime_DiffMs(AprCore_Now(core), core->started_at);

    return record->members[old].witness_count == 0 &&
           AprRecord_MemberCount(record) == 1 &&
           running > 2 * (int64_t)core->settings.lease_promise_ms;
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
    if (self_in(core, record) != APR_NO_MEMBER) {
        return APR_E_EXISTS;
    }
    if (old != APR_NO_MEMBER) {
        if (!may_replace_itself(core, record, old)) {
            return APR_E_STALE;
        }
        AprRecord_Remove(record, old);
    }
    fill_entry(core, &entry);
    code = AprRecord_Join(record, &entry, &self, &error);
    if (code != APR_OK) {
        return code;
    }
    entry.witness_count =
        AprRecord_ChooseWitnesses(record, self, entry.witnesses);
    return AprRecord_SetWitnesses(record, self, entry.witnesses,
                                  entry.witness_count);
}

static void
join_done(AprCore_t *core, int result, void *argument)
{
    (void)argument;
    core->join_change = false;
    if (result == APR_OK) {
        core->membership = APR_MEMBERSHIP_MEMBER;
        core->joined_at = AprCore_Now(core);
        AprLog_Write(APR_LOG_INFO, "joined",
                     "cell=%s incarnation=%" PRIu64 " version=%" PRIu64,
                     core->settings.cell, core->incarnation,
                     core->record->version);
    }
}

/* Joins when no earlier incarnation is left in the record. */
static void
try_join(AprCore_t *core)
{
    AprMember_t old = AprRecord_FindHost(core->record, core->settings.host);

    if (core->join_change || atomic_load(&core->draining) ||
        core->membership == APR_MEMBERSHIP_LEFT) {
        return;
    }
    if (old != APR_NO_MEMBER && !may_replace_itself(core, core->record, old)) {
        return;
    }
    core->join_change = true;
    AprRecordSync_Change(core, apply_join, join_done, NULL);
}

/* The lease times of the process settings. The allowance for clock drift
   follows the promise. */
AprLeaseSettings_t
AprMembership_LeaseSettings(const AprCore_t *core)
{
    AprLeaseSettings_t lease = {
        core->settings.lease_renew_ms, core->settings.lease_promise_ms,
        core->settings.lease_promise_ms * DRIFT_PERCENT / 100 +
            DRIFT_FIXED_MS};

    return lease;
}

/* A removed process forgets everything it owned and comes back under a new
   incarnation, like one that was restarted. */
static void
become_new_incarnation(AprCore_t *core)
{
    AprLeaseSettings_t lease = AprMembership_LeaseSettings(core);
    uint64_t removed =
        AprRecord_RemovedIncarnation(core->record, core->settings.host);
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

/* Notices that this process was removed, and that an earlier incarnation in
   the record is not older by its number. */
void
AprMembership_OnRecord(AprCore_t *core)
{
    AprMember_t entry = AprRecord_FindHost(core->record, core->settings.host);

    if (core->membership == APR_MEMBERSHIP_STARTING) {
        uint64_t known =
            AprRecord_RemovedIncarnation(core->record, core->settings.host);

        if (entry != APR_NO_MEMBER) {
            known = MAX(known, core->record->members[entry].incarnation);
        }
        core->membership = APR_MEMBERSHIP_JOINING;
        if (known >= core->incarnation) {
            core->incarnation = known; /* the clock went back */
            become_new_incarnation(core);
        }
        return;
    }
    if (core->membership == APR_MEMBERSHIP_MEMBER && !AprCore_IsMember(core)) {
        if (atomic_load(&core->draining)) {
            core->membership = APR_MEMBERSHIP_LEFT;
            return;
        }
        become_new_incarnation(core);
    }
}

static int
apply_witnesses(AprCore_t *core, AprRecord_t *record, void *argument)
{
    AprMember_t self = self_in(core, record);
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
witnesses_done(AprCore_t *core, int result, void *argument)
{
    (void)result;
    core->witness_change = false;
    AprLease_EndWitnessChange(core->lease);
    free(argument);
}

/* Whether the lease would soon lapse with the witnesses that still answer. */
static bool
lease_is_short(const AprCore_t *core, struct timespec now)
{
    return AprTime_DiffMs(AprLease_ValidUntil(core->lease), now) <
           core->settings.lease_promise_ms / 3;
}

/* Members whose lease still holds change their list at random times, because
   all survivors of a lost failure domain want a new one at once and would keep
   each other, and the removal of the lost hosts, from writing. */
static bool
witness_change_is_due(AprCore_t *core, struct timespec now)
{
    int spread_ms =
        MIN(AprRecord_MemberCount(core->record) * WITNESS_SPREAD_PER_MEMBER_MS,
            WITNESS_SPREAD_MAX_MS);

    if (!core->witness_wanted) {
        core->witness_wanted = true;
        core->witness_due =
            AprTime_AddMs(now, g_random_int_range(0, spread_ms + 1));
    }
    return lease_is_short(core, now) ||
           !AprTime_Before(now, core->witness_due);
}

static void
update_witnesses(AprCore_t *core, struct timespec now)
{
    AprMemberEntry_t *wanted;

    if (core->witness_change) {
        return;
    }
    wanted = calloc(1, sizeof(*wanted));
    if (wanted == NULL) {
        return;
    }
    if (!AprLease_WantsWitnesses(core->lease, core->record, wanted->witnesses,
                                 &wanted->witness_count)) {
        core->witness_wanted = false;
        free(wanted);
        return;
    }
    if (!witness_change_is_due(core, now)) {
        free(wanted);
        return;
    }
    core->witness_wanted = false;
    core->witness_change = true;
    AprLease_BeginWitnessChange(core->lease, wanted->witnesses,
                                wanted->witness_count);
    AprRecordSync_Change(core, apply_witnesses, witnesses_done, wanted);
}

static void
send_renewals(AprCore_t *core, struct timespec now)
{
    AprRenewal_t renewals[MAX_RENEWALS];
    int count = AprLease_DueRenewals(core->lease, now, renewals, MAX_RENEWALS);

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

/* Takes RENEW as a witness and RENEW_ACK as a member. Both tell what the peer
   knows, so that the one that is behind can pull. */
void
AprMembership_OnMessage(AprCore_t *core, AprLink_t link,
                        const AprMessage_t *message)
{
    const AprRenewMessage_t *renew = &message->renew;
    const char *host = AprLinks_HostOf(core, link);

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
    AprRecordSync_Compare(core, link, renew->record_version);
    AprRecordSync_Offer(core, link, renew->record_version);
    AprConfigSync_Compare(core, link, renew->config_digest);
}

typedef struct Offer_t {
    int service; /* index in AprCore_t.services */
    bool offered;
} Offer_t;

static int
apply_offer(AprCore_t *core, AprRecord_t *record, void *argument)
{
    const Offer_t *offer = argument;
    const char *name = core->services[offer->service]->config.service;
    AprMember_t self = self_in(core, record);
    int service;
    bool is_offered;

    if (self == APR_NO_MEMBER) {
        return APR_E_STALE;
    }
    service = AprRecord_FindService(record, name);
    if (service < 0) {
        service = AprRecord_AddService(record, name);
        if (service < 0) {
            return service;
        }
    }
    is_offered = (record->members[self].services >> service) & 1u;
    if (is_offered == offer->offered) {
        return APR_E_EXISTS;
    }
    return AprRecord_SetOffered(record, self, service, offer->offered);
}

static void
offer_done(AprCore_t *core, int result, void *argument)
{
    Offer_t *offer = argument;

    core->offer_changes &= ~(1u << offer->service);
    if (result == APR_OK) {
        AprLog_Write(APR_LOG_INFO, "service-offer", "service=%s offered=%d",
                     core->services[offer->service]->config.service,
                     offer->offered);
    }
    free(offer);
}

static bool
offered_in_record(const AprCore_t *core, int index)
{
    AprMember_t self = AprCore_Self(core);
    int service = AprRecord_FindService(core->record,
                                        core->services[index]->config.service);

    return self != APR_NO_MEMBER && service >= 0 &&
           ((core->record->members[self].services >> service) & 1u);
}

/* Brings the record in line with the local backend server: a service is
   offered while its backend is alive and its configuration is published. */
static void
update_offer(AprCore_t *core, int index, struct timespec now)
{
    AprServiceState_t *service = core->services[index];
    Offer_t *offer;
    bool wanted;

    if (service->backend.alive &&
        AprTime_DiffMs(now, service->backend.announced_at) >
            BACKEND_SILENCE_MS) {
        service->backend.alive = false;
        AprLog_Write(APR_LOG_WARN, "backend-silent", "service=%s address=%s",
                     service->config.service, service->backend.address);
    }
    wanted = service->backend.alive && service->config.generation > 0;
    if (wanted == offered_in_record(core, index) ||
        (core->offer_changes & (1u << index))) {
        return;
    }
    offer = calloc(1, sizeof(*offer));
    if (offer == NULL) {
        return;
    }
    offer->service = index;
    offer->offered = wanted;
    core->offer_changes |= 1u << index;
    AprRecordSync_Change(core, apply_offer, offer_done, offer);
}

static bool
has_claimable(const AprCore_t *core, const AprRecord_t *record,
              AprMember_t self)
{
    (void)core;
    for (int i = 0; i < record->service_count; i++) {
        if (!((record->members[self].services >> i) & 1u)) {
            continue;
        }
        for (int p = 0; p < APR_PARTITIONS; p++) {
            if (record->services[i].partitions[p].owner == APR_NO_MEMBER) {
                return true;
            }
        }
    }
    return false;
}

static int
apply_claim(AprCore_t *core, AprRecord_t *record, void *argument)
{
    AprMember_t self = self_in(core, record);

    (void)argument;
    if (self == APR_NO_MEMBER) {
        return APR_E_STALE;
    }
    if (!has_claimable(core, record, self)) {
        return APR_E_EXISTS;
    }
    AprMembership_AssignUnowned(core, record);
    return APR_OK;
}

static void
claim_done(AprCore_t *core, int result, void *argument)
{
    (void)result;
    (void)argument;
    core->claim_change = false;
}

static void
claim_unowned(AprCore_t *core)
{
    AprMember_t self = AprCore_Self(core);

    if (core->claim_change || atomic_load(&core->draining) ||
        !has_claimable(core, core->record, self)) {
        return;
    }
    core->claim_change = true;
    AprRecordSync_Change(core, apply_claim, claim_done, NULL);
}

/* A partition that came by a planned move stays for a while. The plan would
   otherwise undo an operator's move before anybody can see it. */
static bool
has_settled(const AprCore_t *core, int index, int partition)
{
    const AprServiceState_t *service = core->services[index];

    return service->owned_handover[partition] == 0 ||
           AprTime_DiffMs(AprCore_Now(core),
                          service->owned_since[partition]) >= MIN_STAY_MS;
}

/* Starts one move per receiver from the part of the plan whose source is this
   process. */
static void
start_planned_moves(AprCore_t *core, int record_service)
{
    const char *name = core->record->services[record_service].name;
    AprPlacementPolicy_t policy = AprMembership_Policy(core, name);
    AprMove_t moves[MOVES_PER_PLAN];
    AprMember_t self = AprCore_Self(core);
    int index = AprCore_FindService(core, name);
    bool leaving =
        core->record->members[self].state == APR_MEMBER_DRAINING ||
        !((core->record->members[self].services >> record_service) & 1u);
    int count;

    if (index < 0) {
        return;
    }
    count = AprPlacement_Plan(core->record, record_service, &policy,
                              AprClock_WallMs(&core->clock), moves,
                              MOVES_PER_PLAN);
    for (int to = 0; to < APR_MAX_MEMBERS; to++) {
        uint16_t partitions[MOVE_BATCH];
        int batch = 0;

        for (int i = 0; i < count && batch < MOVE_BATCH; i++) {
            if (moves[i].from == self && moves[i].to == to &&
                (leaving || has_settled(core, index, moves[i].partition))) {
                partitions[batch++] = (uint16_t)moves[i].partition;
            }
        }
        if (batch > 0) {
            AprHandover_Start(core, index, (AprMember_t)to, partitions, batch);
        }
    }
}

static void
plan_moves(AprCore_t *core, struct timespec now)
{
    if (AprTime_Before(now, core->next_plan) || AprHandover_Active(core) > 0 ||
        !AprLease_Valid(core->lease, now)) {
        return;
    }
    core->next_plan = AprTime_AddMs(now, PLAN_INTERVAL_MS);
    for (int i = 0; i < core->record->service_count; i++) {
        start_planned_moves(core, i);
    }
}

static int
apply_drain_state(AprCore_t *core, AprRecord_t *record, void *argument)
{
    AprMember_t self = self_in(core, record);
    AprMemberState_t wanted =
        atomic_load(&core->draining) ? APR_MEMBER_DRAINING : APR_MEMBER_ACTIVE;

    (void)argument;
    if (self == APR_NO_MEMBER) {
        return APR_E_STALE;
    }
    if (record->members[self].state == wanted) {
        return APR_E_EXISTS;
    }
    return AprRecord_SetState(record, self, wanted);
}

static int
apply_leave(AprCore_t *core, AprRecord_t *record, void *argument)
{
    AprMember_t self = self_in(core, record);

    (void)argument;
    if (self == APR_NO_MEMBER) {
        return APR_E_EXISTS;
    }
    AprRecord_Remove(record, self);
    AprMembership_AssignUnowned(core, record);
    return APR_OK;
}

static void
state_done(AprCore_t *core, int result, void *argument)
{
    (void)result;
    (void)argument;
    core->state_change = false;
}

static int
owned_count(const AprCore_t *core, AprMember_t self)
{
    int count = 0;

    for (int i = 0; i < core->record->service_count; i++) {
        count += AprRecord_OwnedCount(core->record, i, self);
    }
    return count;
}

static bool
has_work(const AprCore_t *core)
{
    return core->owned->len > core->owned_free->len;
}

static bool
has_receiver(const AprCore_t *core, AprMember_t self)
{
    for (int i = 0; i < APR_MAX_MEMBERS; i++) {
        const AprMemberEntry_t *member = &core->record->members[i];

        if (i != self && member->state == APR_MEMBER_ACTIVE &&
            member->services != 0) {
            return true;
        }
    }
    return false;
}

/* Whether new work is refused: a process that was asked to stop takes none
   after a few seconds, also when the store does not take its departure. */
bool
AprMembership_RefusesWork(const AprCore_t *core)
{
    return core->drain_seen && atomic_load(&core->leaving) &&
           AprTime_DiffMs(AprCore_Now(core), core->draining_since) >=
               DRAIN_REFUSE_MS;
}

/* Follows a drain: marks the member, lets the plan give everything away and,
   for a planned stop, leaves the record once nothing is owned. */
static void
follow_drain(AprCore_t *core, AprMember_t self, struct timespec now)
{
    bool draining = atomic_load(&core->draining);
    bool marked = core->record->members[self].state == APR_MEMBER_DRAINING;

    if (draining && !core->drain_seen) {
        core->draining_since = now;
    }
    core->drain_seen = draining;
    if (core->state_change) {
        return;
    }
    if (draining != marked) {
        core->state_change = true;
        AprRecordSync_Change(core, apply_drain_state, state_done, NULL);
        return;
    }
    if (draining && atomic_load(&core->leaving) && !has_work(core) &&
        (owned_count(core, self) == 0 || !has_receiver(core, self))) {
        core->state_change = true;
        AprRecordSync_Change(core, apply_leave, state_done, NULL);
    }
}

static void
check_finished(AprCore_t *core, struct timespec now)
{
    bool gave_up;

    if (!atomic_load(&core->draining) || !atomic_load(&core->leaving) ||
        has_work(core) || g_hash_table_size(core->entries) > 0) {
        return;
    }
    if (!core->drain_seen) {
        core->drain_seen = true;
        core->draining_since = now;
    }
    gave_up = AprTime_DiffMs(now, core->draining_since) >= DRAIN_GIVE_UP_MS;
    if (!AprCore_IsMember(core) || gave_up) {
        atomic_store(&core->finished, true);
    }
}

/* Runs everything of the membership that time drives. */
void
AprMembership_Tick(AprCore_t *core)
{
    struct timespec now = AprCore_Now(core);
    AprMember_t self;

    check_finished(core, now);
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
    self = AprCore_Self(core);
    if (self == APR_NO_MEMBER) {
        try_join(core);
        return;
    }
    send_renewals(core, now);
    update_witnesses(core, now);
    for (int i = 0; i < core->service_count; i++) {
        update_offer(core, i, now);
    }
    follow_drain(core, self, now);
    claim_unowned(core);
    plan_moves(core, now);
}
