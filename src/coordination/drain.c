#include <stdlib.h>
#include <string.h>

#include "internal/core.h"

#define DRAIN_REFUSE_MS 1500  /* a leaving process takes no work after 2 s */
#define DRAIN_GIVE_UP_MS 8000 /* the store did not take the departure */

static int
apply_drain_state(AprCore_t *core, AprRecord_t *record, void *argument)
{
    AprMember_t self = AprCore_SelfIn(core, record);
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
    AprMember_t self = AprCore_SelfIn(core, record);

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
AprDrain_RefusesWork(const AprCore_t *core)
{
    return core->drain_seen && atomic_load(&core->leaving) &&
           AprTime_DiffMs(AprCore_Now(core), core->draining_since) >=
               DRAIN_REFUSE_MS;
}

/* Follows a drain: marks the member, lets the plan give everything away and,
   for a planned stop, leaves the record once nothing is owned. */
void
AprDrain_Follow(AprCore_t *core, AprMember_t self, struct timespec now)
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

/* Notices that a planned stop is complete, or that it cannot be completed. */
void
AprDrain_CheckFinished(AprCore_t *core, struct timespec now)
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
