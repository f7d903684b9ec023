#include "apricot/placement.h"

#include <math.h>
#include <stdbool.h>
#include <string.h>

#define MS_PER_S 1000.0

/* Load of a hot slot, in partitions, when the owner of a hot key is chosen.
   The weight keeps several hot keys from being placed on one member. The plan
   counts a hot slot as one partition: with a weight of 4 in the plan,
   bench/placement moved two to three times as many keys while the set of hot
   keys changed, and the load was no better balanced. */
#define HOT_SLOT_WEIGHT 8

/* With a move_cost of 1 a member's load may be this fraction of its target
   above or below the target. */
#define MAX_BAND_FRACTION 0.5

/* Fraction of its share that a new member receives at once. It does not
   receive all of it because it starts cold. */
#define INITIAL_RAMP_FRACTION 0.25

#define ROUNDING_TOLERANCE 1e-9

/* Working state of a plan for one service. Loads and targets are in
   partitions. */
typedef struct plan_t {
    const AprMemberEntry_t *members;
    AprMember_t owners[APR_SLOTS]; /* after the moves planned so far */
    bool used[APR_SLOTS];
    bool moved[APR_SLOTS];
    bool eligible[APR_MAX_MEMBERS];
    double load[APR_MAX_MEMBERS];
    double target[APR_MAX_MEMBERS];
    int next_candidate[APR_MAX_MEMBERS]; /* partition at which the search for a
                                            movable one continues */
    double band_fraction;
} plan_t;

static bool
is_eligible(const AprRecord_t *record, int service, int member)
{
    const AprMemberEntry_t *entry = &record->members[member];

    return entry->state == APR_MEMBER_ACTIVE &&
           (entry->offered_services >> service & 1) != 0;
}

/* The owner of a partition, or APR_NO_MEMBER when it has none or when its
   owner is no longer a member. */
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
ramp_fraction(const AprMemberEntry_t *entry,
              const AprPlacementPolicy_t *policy, int64_t wall_ms)
{
    double age_ms = (double)(wall_ms - entry->joined_at_ms);

    if (policy->ramp_s <= 0) {
        return 1;
    }
    age_ms /= policy->ramp_s * MS_PER_S;
    return INITIAL_RAMP_FRACTION +
           (1 - INITIAL_RAMP_FRACTION) * fmin(fmax(age_ms, 0), 1);
}

/* Distributes the load of all partitions over the eligible members in
   proportion to their ramp fractions. Returns false when no member is
   eligible. The targets do not depend on the current owners, so that the plan
   is empty once its moves have been executed. */
static bool
compute_targets(plan_t *plan, const AprPlacementPolicy_t *policy,
                int64_t wall_ms)
{
    double total = 0;
    double ramp_sum = 0;

    for (int i = 0; i < APR_SLOTS; i++) {
        total += plan->used[i];
    }
    for (int i = 0; i < APR_MAX_MEMBERS; i++) {
        if (plan->eligible[i]) {
            plan->target[i] =
                ramp_fraction(&plan->members[i], policy, wall_ms);
            ramp_sum += plan->target[i];
        }
    }
    for (int i = 0; i < APR_MAX_MEMBERS && ramp_sum > 0; i++) {
        plan->target[i] *= total / ramp_sum;
    }
    return ramp_sum > 0;
}

static bool
plan_init(plan_t *plan, const AprRecord_t *record, int service,
          const AprPlacementPolicy_t *policy, int64_t wall_ms)
{
    const AprServiceTable_t *table = &record->services[service];

    memset(plan, 0, sizeof(*plan));
    plan->members = record->members;
    plan->band_fraction =
        MAX_BAND_FRACTION * fmin(fmax(policy->move_cost, 0), 1);
    for (int i = 0; i < APR_MAX_MEMBERS; i++) {
        plan->eligible[i] = is_eligible(record, service, i);
    }
    for (int i = 0; i < APR_SLOTS; i++) {
        plan->used[i] =
            i < APR_PARTITIONS || table->hot_slot_used[i - APR_PARTITIONS];
        plan->owners[i] = owner_of(record, service, i);
        if (plan->used[i] && plan->owners[i] != APR_NO_MEMBER) {
            plan->load[plan->owners[i]]++;
        }
    }
    return compute_targets(plan, policy, wall_ms);
}

static double
load_above_target(const plan_t *plan, int member)
{
    return plan->load[member] - plan->target[member];
}

/* The eligible member furthest below its target. The search starts at a member
   that depends on the partition, so that ties do not always go to the same
   members. */
static AprMember_t
find_furthest_below_target(const plan_t *plan, int partition)
{
    AprMember_t best = APR_NO_MEMBER;

    for (int i = 0; i < APR_MAX_MEMBERS; i++) {
        AprMember_t member = (AprMember_t)((partition + i) % APR_MAX_MEMBERS);

        if (plan->eligible[member] &&
            (best == APR_NO_MEMBER ||
             load_above_target(plan, member) <
                 load_above_target(plan, best) - ROUNDING_TOLERANCE)) {
            best = member;
        }
    }
    return best;
}

static void
plan_reassign(plan_t *plan, int partition, AprMember_t to)
{
    AprMember_t from = plan->owners[partition];

    if (from != APR_NO_MEMBER) {
        plan->load[from]--;
    }
    plan->load[to]++;
    plan->owners[partition] = to;
    plan->moved[partition] = true;
}

/* The next partition that can move away from a member, or -1 if there is none.
   Hot slots are not moved for balance. A partition moves at most once in a
   plan, because only its owner in the record can execute the move; the search
   therefore never goes back. */
static int
find_movable_partition(plan_t *plan, int member)
{
    int *next = &plan->next_candidate[member];

    while (*next < APR_PARTITIONS &&
           (plan->owners[*next] != member || plan->moved[*next])) {
        (*next)++;
    }
    return *next < APR_PARTITIONS ? *next : -1;
}

/* The eligible member furthest above its target that has a movable
   partition. */
static AprMember_t
find_furthest_above_target(plan_t *plan)
{
    AprMember_t best = APR_NO_MEMBER;

    for (int i = 0; i < APR_MAX_MEMBERS; i++) {
        if (plan->eligible[i] && find_movable_partition(plan, i) >= 0 &&
            (best == APR_NO_MEMBER ||
             load_above_target(plan, i) >
                 load_above_target(plan, best) + ROUNDING_TOLERANCE)) {
            best = (AprMember_t)i;
        }
    }
    return best;
}

/* Number of partitions by which a member is below the lower edge of its band;
   negative when it is above the edge. */
static double
deficit_below_band(const plan_t *plan, int member)
{
    return floor(plan->target[member] * (1 - plan->band_fraction) +
                 ROUNDING_TOLERANCE) -
           plan->load[member];
}

/* Number of partitions by which a member is above the upper edge of its band;
   negative when it is below the edge. */
static double
surplus_above_band(const plan_t *plan, int member)
{
    return plan->load[member] -
           ceil(plan->target[member] * (1 + plan->band_fraction) -
                ROUNDING_TOLERANCE);
}

/* Of the members below their bands, the one furthest below its target;
   APR_NO_MEMBER if there is none. Members are not compared by the distance to
   the edge of the band, because the edge is rounded: a second plan would then
   move partitions away from members that received some in the first. */
static AprMember_t
find_receiver_below_band(const plan_t *plan)
{
    AprMember_t best = APR_NO_MEMBER;

    for (int i = 0; i < APR_MAX_MEMBERS; i++) {
        if (plan->eligible[i] && deficit_below_band(plan, i) > 0 &&
            (best == APR_NO_MEMBER ||
             load_above_target(plan, i) <
                 load_above_target(plan, best) - ROUNDING_TOLERANCE)) {
            best = (AprMember_t)i;
        }
    }
    return best;
}

/* The eligible member furthest above its band that has a movable partition;
   APR_NO_MEMBER if there is none. */
static AprMember_t
find_source_above_band(plan_t *plan)
{
    AprMember_t best = APR_NO_MEMBER;

    for (int i = 0; i < APR_MAX_MEMBERS; i++) {
        if (plan->eligible[i] && surplus_above_band(plan, i) > 0 &&
            find_movable_partition(plan, i) >= 0 &&
            (best == APR_NO_MEMBER ||
             surplus_above_band(plan, i) > surplus_above_band(plan, best))) {
            best = (AprMember_t)i;
        }
    }
    return best;
}

/* Chooses one move that brings a member closer to its band: first to members
   below their bands, then from members above theirs. Returns false when no
   member is outside its band or no move helps. A move must lower the sum of
   squared deviations from the targets, so that the plan is finite. */
static bool
choose_next_move(plan_t *plan, AprMove_t *move)
{
    AprMember_t to = find_receiver_below_band(plan);
    AprMember_t from = to != APR_NO_MEMBER ? find_furthest_above_target(plan)
                                           : find_source_above_band(plan);
    int partition;

    if (from == APR_NO_MEMBER) {
        return false;
    }
    partition = find_movable_partition(plan, from);
    if (to == APR_NO_MEMBER) {
        to = find_furthest_below_target(plan, partition);
    }
    if (load_above_target(plan, from) - load_above_target(plan, to) <=
        1 + ROUNDING_TOLERANCE) {
        return false;
    }
    *move = (AprMove_t){partition, from, to};
    return true;
}

/* Plans a move of each partition whose owner is draining or no longer offers
   the service. Returns the number of moves. */
static int
plan_moves_from_ineligible(plan_t *plan, AprMove_t *moves, int capacity)
{
    int count = 0;

    for (int i = 0; i < APR_SLOTS && count < capacity; i++) {
        AprMember_t owner = plan->owners[i];

        if (plan->used[i] && owner != APR_NO_MEMBER &&
            !plan->eligible[owner]) {
            moves[count] =
                (AprMove_t){i, owner, find_furthest_below_target(plan, i)};
            plan_reassign(plan, i, moves[count].to);
            count++;
        }
    }
    return count;
}

/* Plans the moves that bring all eligible members into the band around their
   targets; moves from ineligible owners come first. `wall_ms` is the calendar
   time in milliseconds. Writes at most `capacity` moves and returns their
   number, which is 0 when no member is eligible. */
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
    count = plan_moves_from_ineligible(&plan, moves, capacity);
    while (count < capacity && choose_next_move(&plan, &moves[count])) {
        plan_reassign(&plan, moves[count].partition, moves[count].to);
        count++;
    }
    return count;
}

/* Assigns each partition without an owner, hot slots in use included, to the
   member furthest below its target. `record` is a copy on which
   AprRecord_BeginChange was called and which is not yet swapped into the
   store. Returns the number of partitions assigned. */
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
            plan_reassign(&plan, i, find_furthest_below_target(&plan, i));
            count += AprRecord_AssignPartition(record, service, i,
                                               plan.owners[i], 0) == APR_OK;
        }
    }
    return count;
}

/* The eligible member with the fewest partitions, where a hot slot counts as
   HOT_SLOT_WEIGHT partitions; `current` is preferred among equals.
   APR_NO_MEMBER when no member is eligible. */
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
            plan.load[plan.owners[i]] += HOT_SLOT_WEIGHT - 1;
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
