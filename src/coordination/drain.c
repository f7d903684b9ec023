#include <stdlib.h>
#include <string.h>

#include "internal/core.h"

/* Less than the 2 s after which a leaving process may accept no work. */
#define REFUSE_WORK_AFTER_MS 1500
/* Ends a planned stop even if the store doesn't accept the departure. */
#define DRAIN_TIMEOUT_MS 8000

static int
apply_drain_state(AprCore_t *core, AprRecord_t *record, void *argument)
{
    AprMember_t self = AprCore_FindSelfIn(core, record);
    AprMemberState_t wanted =
        atomic_load(&core->draining) ? APR_MEMBER_DRAINING : APR_MEMBER_ACTIVE;

    (void)argument;
    if (self == APR_NO_MEMBER) {
        return APR_E_STALE;
    }
    if (record->members[self].state == wanted) {
        return APR_E_EXISTS;
    }
    return AprRecord_SetMemberState(record, self, wanted);
}

static int
apply_leave(AprCore_t *core, AprRecord_t *record, void *argument)
{
    AprMember_t self = AprCore_FindSelfIn(core, record);

    (void)argument;
    if (self == APR_NO_MEMBER) {
        return APR_E_EXISTS;
    }
    AprRecord_RemoveMember(record, self);
    AprMembership_AssignUnowned(core, record);
    return APR_OK;
}

static void
on_state_applied(AprCore_t *core, int result, void *argument)
{
    (void)result;
    (void)argument;
    core->member_state_change_queued = false;
}

static int
count_owned_partitions(const AprCore_t *core, AprMember_t self)
{
    int count = 0;

    for (int i = 0; i < core->record->service_count; i++) {
        count += AprRecord_CountOwnedPartitions(core->record, i, self);
    }
    return count;
}

static bool
has_owned_requests(const AprCore_t *core)
{
    return core->owned_requests->len > core->free_owned_handles->len;
}

static bool
has_move_target(const AprCore_t *core, AprMember_t self)
{
    for (int i = 0; i < APR_MAX_MEMBERS; i++) {
        const AprMemberEntry_t *member = &core->record->members[i];

        if (i != self && member->state == APR_MEMBER_ACTIVE &&
            member->offered_services != 0) {
            return true;
        }
    }
    return false;
}

/* Returns whether new work is refused. A process that was asked to stop
   accepts none after REFUSE_WORK_AFTER_MS, even if the store doesn't accept
   its departure. */
bool
AprDrain_RefusesWork(const AprCore_t *core)
{
    return core->drain_started && atomic_load(&core->leaving) &&
           AprTime_DiffMs(AprCore_Now(core), core->draining_since) >=
               REFUSE_WORK_AFTER_MS;
}

/* Advances a drain: sets the member's state in the record, upon which the
   placement plan moves its partitions away. For a planned stop, also removes
   the member from the record when no requests are left and it owns nothing or
   no other member could take over. Resets the state when the drain was
   cancelled. */
void
AprDrain_Advance(AprCore_t *core, AprMember_t self, struct timespec now)
{
    bool draining = atomic_load(&core->draining);
    bool marked = core->record->members[self].state == APR_MEMBER_DRAINING;

    if (draining && !core->drain_started) {
        core->draining_since = now;
    }
    core->drain_started = draining;
    if (core->member_state_change_queued) {
        return;
    }
    if (draining != marked) {
        core->member_state_change_queued = true;
        AprRecordSync_QueueChange(core, apply_drain_state, on_state_applied,
                                  NULL);
        return;
    }
    if (draining && atomic_load(&core->leaving) && !has_owned_requests(core) &&
        (count_owned_partitions(core, self) == 0 ||
         !has_move_target(core, self))) {
        core->member_state_change_queued = true;
        AprRecordSync_QueueChange(core, apply_leave, on_state_applied, NULL);
    }
}

/* Marks a planned stop as finished when all requests are completed and the
   process has left the record, or DRAIN_TIMEOUT_MS has passed. */
void
AprDrain_CheckFinished(AprCore_t *core, struct timespec now)
{
    bool timed_out;

    if (!atomic_load(&core->draining) || !atomic_load(&core->leaving) ||
        has_owned_requests(core) || g_hash_table_size(core->entries) > 0) {
        return;
    }
    if (!core->drain_started) {
        core->drain_started = true;
        core->draining_since = now;
    }
    timed_out = AprTime_DiffMs(now, core->draining_since) >= DRAIN_TIMEOUT_MS;
    if (!AprCore_IsMember(core) || timed_out) {
        atomic_store(&core->finished, true);
    }
}
