#include "apricot/placement.h"

#include <math.h>
#include <stdbool.h>
#include <string.h>

#define MS_PER_S 1000.0

/* Load of a hot slot in partitions when the owner of a hot key is chosen, so
   that hot keys do not meet on one member. The plan counts a hot slot as one
   partition: with 4, bench/placement moved two to three times as many keys
   while the hot set changed, and the load was no better balanced. */
#define HOT_WEIGHT 8

/* With move_cost 1 a member may be this fraction above or below its share. */
#define MAX_BAND 0.5

/* A new member starts cold and takes this fraction of its share at once. */
#define RAMP_START 0.25

#define ROUNDING 1e-9

/* The view of one service that a plan works on. */
typedef struct plan_t {
    const AprMemberEntry_t *members;
    AprMember_t owners[APR_SLOTS]; /* as after the moves planned so far */
    bool used[APR_SLOTS];
    bool moved[APR_SLOTS];
    bool eligible[APR_MAX_MEMBERS];
    double load[APR_MAX_MEMBERS];
    double target[APR_MAX_MEMBERS];
    int next_partition[APR_MAX_MEMBERS]; /* where to look for one to give */
    double band;
} plan_t;

static bool
is_eligible(const AprRecord_t *record, int service, int member)
{
    const AprMemberEntry_t *entry = &record->members[member];

    return entry->state == APR_MEMBER_ACTIVE &&
           (entry->services >> service & 1) != 0;
}

/* An owner that is no longer a member counts as none. */
static AprMember_t
owner_of(const AprRecord_t *record, int service, int partition)
{
    AprMember_t owner = record->services[service].partitions[partition].owner;

    if (owner >= APR_MAX_MEMBERS ||
        record->members[owner].state == APR_MEMBER_FREE) {
        return APR_NO_MEMBER;
    }
    return owner;
}

static double
ramp(const AprMemberEntry_t *entry, const AprPlacementPolicy_t *policy,
     int64_t wall_ms)
{
    double age_ms = (double)(wall_ms - entry->joined_at_ms);

    if (policy->ramp_s <= 0) {
        return 1;
    }
    age_ms /= policy->ramp_s * MS_PER_S;
    return RAMP_START + (1 - RAMP_START) * fmin(fmax(age_ms, 0), 1);
}

/* Splits the load of all partitions over the eligible members by their ramp.
   Returns false when no member is eligible. The targets do not depend on who
   owns what, so a plan that was carried out leads to an empty one. */
static bool
set_targets(plan_t *plan, const AprPlacementPolicy_t *policy, int64_t wall_ms)
{
    double total = 0;
    double ramps = 0;

    for (int i = 0; i < APR_SLOTS; i++) {
        total += plan->used[i];
    }
    for (int i = 0; i < APR_MAX_MEMBERS; i++) {
        if (plan->eligible[i]) {
            plan->target[i] = ramp(&plan->members[i], policy, wall_ms);
            ramps += plan->target[i];
        }
    }
    for (int i = 0; i < APR_MAX_MEMBERS && ramps > 0; i++) {
        plan->target[i] *= total / ramps;
    }
    return ramps > 0;
}

static bool
plan_init(plan_t *plan, const AprRecord_t *record, int service,
          const AprPlacementPolicy_t *policy, int64_t wall_ms)
{
    const AprServiceTable_t *table = &record->services[service];

    memset(plan, 0, sizeof(*plan));
    plan->members = record->members;
    plan->band = MAX_BAND * fmin(fmax(policy->move_cost, 0), 1);
    for (int i = 0; i < APR_MAX_MEMBERS; i++) {
        plan->eligible[i] = is_eligible(record, service, i);
    }
    for (int i = 0; i < APR_SLOTS; i++) {
        plan->used[i] =
            i < APR_PARTITIONS || table->hot_used[i - APR_PARTITIONS];
        plan->owners[i] = owner_of(record, service, i);
        if (plan->used[i] && plan->owners[i] != APR_NO_MEMBER) {
            plan->load[plan->owners[i]]++;
        }
    }
    return set_targets(plan, policy, wall_ms);
}

static double
excess(const plan_t *plan, int member)
{
    return plan->load[member] - plan->target[member];
}

/* The eligible member furthest below its target. Among equals the partition
   decides, so that the members do not receive in the same order each time. */
static AprMember_t
furthest_below(const plan_t *plan, int partition)
{
    AprMember_t best = APR_NO_MEMBER;

    for (int i = 0; i < APR_MAX_MEMBERS; i++) {
        AprMember_t member = (AprMember_t)((partition + i) % APR_MAX_MEMBERS);

        if (plan->eligible[member] &&
            (best == APR_NO_MEMBER ||
             excess(plan, member) < excess(plan, best) - ROUNDING)) {
            best = member;
        }
    }
    return best;
}

static void
reassign(plan_t *plan, int partition, AprMember_t to)
{
    AprMember_t from = plan->owners[partition];

    if (from != APR_NO_MEMBER) {
        plan->load[from]--;
    }
    plan->load[to]++;
    plan->owners[partition] = to;
    plan->moved[partition] = true;
}

/* The first partition that a member can give, -1 if none; hot slots stay where
   they were put. A partition moves at most once in a plan, because only its
   owner in the record can carry out the move; so the search goes forward
   only. */
static int
partition_to_give(plan_t *plan, int member)
{
    int *next = &plan->next_partition[member];

    while (*next < APR_PARTITIONS &&
           (plan->owners[*next] != member || plan->moved[*next])) {
        (*next)++;
    }
    return *next < APR_PARTITIONS ? *next : -1;
}

/* The eligible member furthest above its target that has something to give. */
static AprMember_t
furthest_above(plan_t *plan)
{
    AprMember_t best = APR_NO_MEMBER;

    for (int i = 0; i < APR_MAX_MEMBERS; i++) {
        if (plan->eligible[i] && partition_to_give(plan, i) >= 0 &&
            (best == APR_NO_MEMBER ||
             excess(plan, i) > excess(plan, best) + ROUNDING)) {
            best = (AprMember_t)i;
        }
    }
    return best;
}

/* Partitions that a member lacks to the lower edge of its band. */
static double
lacking(const plan_t *plan, int member)
{
    return floor(plan->target[member] * (1 - plan->band) + ROUNDING) -
           plan->load[member];
}

/* Partitions that a member has above the upper edge of its band. */
static double
surplus(const plan_t *plan, int member)
{
    return plan->load[member] -
           ceil(plan->target[member] * (1 + plan->band) - ROUNDING);
}

/* Of the members below their bands the one furthest below its target,
   APR_NO_MEMBER if none is. Comparing by the edge of the band, which is
   rounded, left receivers that a second plan would have made give. */
static AprMember_t
below_band(const plan_t *plan)
{
    AprMember_t best = APR_NO_MEMBER;

    for (int i = 0; i < APR_MAX_MEMBERS; i++) {
        if (plan->eligible[i] && lacking(plan, i) > 0 &&
            (best == APR_NO_MEMBER ||
             excess(plan, i) < excess(plan, best) - ROUNDING)) {
            best = (AprMember_t)i;
        }
    }
    return best;
}

/* The member furthest above its band that has something to give. */
static AprMember_t
above_band(plan_t *plan)
{
    AprMember_t best = APR_NO_MEMBER;

    for (int i = 0; i < APR_MAX_MEMBERS; i++) {
        if (plan->eligible[i] && surplus(plan, i) > 0 &&
            partition_to_give(plan, i) >= 0 &&
            (best == APR_NO_MEMBER ||
             surplus(plan, i) > surplus(plan, best))) {
            best = (AprMember_t)i;
        }
    }
    return best;
}

/* Chooses one move that brings a member closer to its band: first into those
   below it, then out of those above it. Members within the band are left
   alone, and a move must lower the sum of squared deviations, so the plan
   ends. */
static bool
next_move(plan_t *plan, AprMove_t *move)
{
    AprMember_t to = below_band(plan);
    AprMember_t from =
        to != APR_NO_MEMBER ? furthest_above(plan) : above_band(plan);
    int partition;

    if (from == APR_NO_MEMBER) {
        return false;
    }
    partition = partition_to_give(plan, from);
    if (to == APR_NO_MEMBER) {
        to = furthest_below(plan, partition);
    }
    if (excess(plan, from) - excess(plan, to) <= 1 + ROUNDING) {
        return false;
    }
    *move = (AprMove_t){partition, from, to};
    return true;
}

/* Moves everything away from owners that are draining or no longer offer the
   service. */
static int
leave_ineligible(plan_t *plan, AprMove_t *moves, int capacity)
{
    int count = 0;

    for (int i = 0; i < APR_SLOTS && count < capacity; i++) {
        AprMember_t owner = plan->owners[i];

        if (plan->used[i] && owner != APR_NO_MEMBER &&
            !plan->eligible[owner]) {
            moves[count] = (AprMove_t){i, owner, furthest_below(plan, i)};
            reassign(plan, i, moves[count].to);
            count++;
        }
    }
    return count;
}

/* Plans the moves that bring all eligible members into the band around their
   targets, with those from ineligible owners first. `wall_ms` is the calendar
   time in milliseconds. Writes at most `capacity` moves and returns their
   number; no move when no member is eligible. */
int
AprPlacement_Plan(const AprRecord_t *record, int service,
                  const AprPlacementPolicy_t *policy, int64_t wall_ms,
                  AprMove_t *moves, int capacity)
{
    plan_t plan;
    int count;

    if (!plan_init(&plan, record, service, policy, wall_ms)) {
        return 0;
    }
    count = leave_ineligible(&plan, moves, capacity);
    while (count < capacity && next_move(&plan, &moves[count])) {
        reassign(&plan, moves[count].partition, moves[count].to);
        count++;
    }
    return count;
}

/* Gives the partitions that have no owner to the members furthest below their
   targets, hot slots in use included. `record` is a copy between
   AprRecord_BeginChange and the swap. Returns the number assigned. */
int
AprPlacement_AssignUnowned(AprRecord_t *record, int service,
                           const AprPlacementPolicy_t *policy, int64_t wall_ms)
{
    plan_t plan;
    int count = 0;

    if (!plan_init(&plan, record, service, policy, wall_ms)) {
        return 0;
    }
    for (int i = 0; i < APR_SLOTS; i++) {
        if (plan.used[i] && plan.owners[i] == APR_NO_MEMBER) {
            reassign(&plan, i, furthest_below(&plan, i));
            count += AprRecord_Assign(record, service, i, plan.owners[i], 0) ==
                     APR_OK;
        }
    }
    return count;
}

/* The eligible member with the fewest partitions, hot slots counted with
   HOT_WEIGHT, and `current` among equals; APR_NO_MEMBER when none is
   eligible. */
AprMember_t
AprPlacement_ChooseForHotKey(const AprRecord_t *record, int service,
                             AprMember_t current)
{
    AprPlacementPolicy_t policy = {0, 0};
    AprMember_t best = APR_NO_MEMBER;
    plan_t plan;

    if (!plan_init(&plan, record, service, &policy, 0)) {
        return APR_NO_MEMBER;
    }
    for (int i = APR_PARTITIONS; i < APR_SLOTS; i++) {
        if (plan.used[i] && plan.owners[i] != APR_NO_MEMBER) {
            plan.load[plan.owners[i]] += HOT_WEIGHT - 1;
        }
    }
    for (int i = 0; i < APR_MAX_MEMBERS; i++) {
        if (plan.eligible[i] &&
            (best == APR_NO_MEMBER || plan.load[i] < plan.load[best] ||
             (plan.load[i] == plan.load[best] && i == current))) {
            best = (AprMember_t)i;
        }
    }
    return best;
}
