#include <stdlib.h>
#include <string.h>

#include "internal/core.h"

/* Three missed announcements, which are due every second, plus a margin. */
#define BACKEND_TIMEOUT_MS 3500
#define PLACEMENT_INTERVAL_MS 200
#define MAX_MOVES_PER_PLAN 256
#define MAX_PARTITIONS_PER_MOVE 32
/* Time between a planned move of a partition and the next one. */
#define MIN_PARTITION_STAY_MS 2000

/* A change of whether this process offers a service. */
typedef struct OfferChange_t {
    int service; /* index in AprCore_t.services */
    bool offered;
} OfferChange_t;

static int
apply_offer(AprCore_t *core, AprRecord_t *record, void *argument)
{
    const OfferChange_t *offer = argument;
    const char *name = core->services[offer->service]->config.service;
    AprMember_t self = AprCore_FindSelfIn(core, record);
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
    is_offered = (record->members[self].offered_services >> service) & 1u;
    if (is_offered == offer->offered) {
        return APR_E_EXISTS;
    }
    return AprRecord_SetServiceOffered(record, self, service, offer->offered);
}

static void
on_offer_applied(AprCore_t *core, int result, void *argument)
{
    OfferChange_t *offer = argument;

    core->queued_offer_changes &= ~(1u << offer->service);
    if (result == APR_OK) {
        AprLog_Write(APR_LOG_INFO, "service-offer", "service=%s offered=%d",
                     core->services[offer->service]->config.service,
                     offer->offered);
    }
    free(offer);
}

static bool
is_offered_in_record(const AprCore_t *core, int index)
{
    AprMember_t self = AprCore_FindSelf(core);
    int service = AprRecord_FindService(core->record,
                                        core->services[index]->config.service);

    return self != APR_NO_MEMBER && service >= 0 &&
           ((core->record->members[self].offered_services >> service) & 1u);
}

/* Queues a change of the record when it doesn't match the local backend
   server: a service is offered while its backend server is alive and its
   configuration is published. A backend server that has stopped announcing
   itself counts as lost. */
static void
update_service_offer(AprCore_t *core, int index, struct timespec now)
{
    AprServiceState_t *service = core->services[index];
    OfferChange_t *offer;
    bool wanted;

    if (service->backend.alive &&
        AprTime_DiffMs(now, service->backend.announced_at) >
            BACKEND_TIMEOUT_MS) {
        service->backend.alive = false;
        AprLog_Write(APR_LOG_WARN, "backend-silent", "service=%s address=%s",
                     service->config.service, service->backend.address);
    }
    wanted = service->backend.alive && service->config.generation > 0;
    if (wanted == is_offered_in_record(core, index) ||
        (core->queued_offer_changes & (1u << index))) {
        return;
    }
    offer = calloc(1, sizeof(*offer));
    if (offer == NULL) {
        return;
    }
    offer->service = index;
    offer->offered = wanted;
    core->queued_offer_changes |= 1u << index;
    AprRecordSync_QueueChange(core, apply_offer, on_offer_applied, offer);
}

/* Returns whether a record contains a partition without an owner of a service
   that the member offers. */
static bool
has_claimable_partition(const AprCore_t *core, const AprRecord_t *record,
                        AprMember_t self)
{
    (void)core;
    for (int i = 0; i < record->service_count; i++) {
        if (!((record->members[self].offered_services >> i) & 1u)) {
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
    AprMember_t self = AprCore_FindSelfIn(core, record);

    (void)argument;
    if (self == APR_NO_MEMBER) {
        return APR_E_STALE;
    }
    if (!has_claimable_partition(core, record, self)) {
        return APR_E_EXISTS;
    }
    AprMembership_AssignUnowned(core, record);
    return APR_OK;
}

static void
on_claim_applied(AprCore_t *core, int result, void *argument)
{
    (void)result;
    (void)argument;
    core->claim_queued = false;
}

static void
claim_unowned_partitions(AprCore_t *core)
{
    AprMember_t self = AprCore_FindSelf(core);

    if (core->claim_queued || atomic_load(&core->draining) ||
        !has_claimable_partition(core, core->record, self)) {
        return;
    }
    core->claim_queued = true;
    AprRecordSync_QueueChange(core, apply_claim, on_claim_applied, NULL);
}

/* Returns whether a partition may be moved away: one that a planned move
   brought here stays for MIN_PARTITION_STAY_MS. The placement plan would
   otherwise undo an operator's move before anyone sees its effect. */
static bool
may_leave_again(const AprCore_t *core, int index, int partition)
{
    const AprServiceState_t *service = core->services[index];

    return service->owned_move_id[partition] == 0 ||
           AprTime_DiffMs(AprCore_Now(core),
                          service->owned_since[partition]) >=
               MIN_PARTITION_STAY_MS;
}

/* Computes the placement plan of a service and starts the moves whose source
   is this process, one move of up to MAX_PARTITIONS_PER_MOVE per target. */
static void
start_planned_moves(AprCore_t *core, int record_service)
{
    const char *name = core->record->services[record_service].name;
    AprPlacementPolicy_t policy = AprMembership_GetPlacementPolicy(core, name);
    AprMove_t moves[MAX_MOVES_PER_PLAN];
    AprMember_t self = AprCore_FindSelf(core);
    int index = AprCore_FindService(core, name);
    bool leaving =
        core->record->members[self].state == APR_MEMBER_DRAINING ||
        !((core->record->members[self].offered_services >> record_service) &
          1u);
    int count;

    if (index < 0) {
        return;
    }
    count = AprPlacement_Plan(core->record, record_service, &policy,
                              AprClock_WallMs(&core->clock), moves,
                              MAX_MOVES_PER_PLAN);
    for (int to = 0; to < APR_MAX_MEMBERS; to++) {
        uint16_t partitions[MAX_PARTITIONS_PER_MOVE];
        int partition_count = 0;

        for (int i = 0; i < count && partition_count < MAX_PARTITIONS_PER_MOVE;
             i++) {
            if (moves[i].from == self && moves[i].to == to &&
                (leaving ||
                 may_leave_again(core, index, moves[i].partition))) {
                partitions[partition_count++] = (uint16_t)moves[i].partition;
            }
        }
        if (partition_count > 0) {
            AprHandover_Start(core, index, (AprMember_t)to, partitions,
                              partition_count);
        }
    }
}

static void
run_placement(AprCore_t *core, struct timespec now)
{
    if (AprTime_IsBefore(now, core->next_placement) ||
        AprHandover_CountActive(core) > 0 ||
        !AprLease_IsValid(core->lease, now)) {
        return;
    }
    core->next_placement = AprTime_AddMs(now, PLACEMENT_INTERVAL_MS);
    for (int i = 0; i < core->record->service_count; i++) {
        start_planned_moves(core, i);
    }
}

/* Updates the services that this process offers in the record, claims
   partitions without an owner and starts the moves of the placement plan. */
void
AprAssignment_Tick(AprCore_t *core, struct timespec now)
{
    for (int i = 0; i < core->service_count; i++) {
        update_service_offer(core, i, now);
    }
    claim_unowned_partitions(core);
    run_placement(core, now);
}
