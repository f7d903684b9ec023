#include <algorithm>
#include <cmath>
#include <cstring>
#include <memory>
#include <set>
#include <vector>

#include <rapidcheck.h>
#include <xxhash.h>

extern "C" {
#include "apricot/placement.h"
}

namespace {

const int64_t NOW_MS = 1000000;
const double HOT_SLOT_WEIGHT = 8;
const double MAX_BAND_FRACTION = 0.5;

using Record = std::unique_ptr<AprRecord_t>;

/* A record with one service in an arbitrary state: active and draining
   members, arbitrary owners, and some hot slots in use. With `all_owned` false
   some partitions have no owner. At least one member is eligible. */
Record
arbitrary_record(bool all_owned)
{
    Record record(new AprRecord_t());
    int members = *rc::gen::inRange(1, APR_MAX_MEMBERS + 1);
    int owners = *rc::gen::inRange(1, members + 1);
    auto owned = *rc::gen::container<std::vector<int>>(
        APR_SLOTS, rc::gen::inRange(all_owned ? 0 : -1, owners));
    auto hot = *rc::gen::container<std::vector<int>>(APR_HOT_SLOTS,
                                                     rc::gen::inRange(0, 12));

    record->version = 7;
    record->service_count = 1;
    for (int i = 0; i < members; i++) {
        record->members[i].state = *rc::gen::weightedElement<AprMemberState_t>(
            {{6, APR_MEMBER_ACTIVE}, {1, APR_MEMBER_DRAINING}});
        record->members[i].offered_services = *rc::gen::inRange(0, 8) > 0;
        record->members[i].joined_at_ms =
            NOW_MS - *rc::gen::inRange(-1000, 60000);
    }
    record->members[members - 1].state = APR_MEMBER_ACTIVE;
    record->members[members - 1].offered_services = 1;
    for (int i = 0; i < APR_SLOTS; i++) {
        bool used = i < APR_PARTITIONS || hot[i - APR_PARTITIONS] == 0;

        if (i >= APR_PARTITIONS) {
            record->services[0].hot_slot_used[i - APR_PARTITIONS] = used;
        }
        record->services[0].partitions[i].owner =
            used && owned[i] >= 0 ? (AprMember_t)owned[i] : APR_NO_MEMBER;
    }
    return record;
}

AprPlacementPolicy_t
arbitrary_policy()
{
    return {*rc::gen::inRange(0, 11) / 10.0, *rc::gen::inRange(0, 60)};
}

bool
is_eligible(const AprRecord_t &record, int member)
{
    return record.members[member].state == APR_MEMBER_ACTIVE &&
           record.members[member].offered_services == 1;
}

std::vector<AprMove_t>
plan_of(const AprRecord_t &record, const AprPlacementPolicy_t &policy)
{
    std::vector<AprMove_t> moves(2 * APR_SLOTS);

    moves.resize(AprPlacement_Plan(&record, 0, &policy, NOW_MS, moves.data(),
                                   (int)moves.size()));
    return moves;
}

/* Applies the moves of a plan. Each move must start at the owner in the
   record, and each partition may move at most once. */
void
apply_moves(AprRecord_t &record, const std::vector<AprMove_t> &moves)
{
    std::set<int> moved;

    for (const AprMove_t &move : moves) {
        AprPartitionEntry_t &entry =
            record.services[0].partitions[move.partition];

        RC_ASSERT(moved.insert(move.partition).second);
        RC_ASSERT(entry.owner == move.from);
        RC_ASSERT(move.to != move.from);
        RC_ASSERT(is_eligible(record, move.to));
        entry.owner = move.to;
    }
}

struct Loads {
    std::vector<double> load = std::vector<double>(APR_MAX_MEMBERS);
    std::vector<double> target = std::vector<double>(APR_MAX_MEMBERS);
    std::vector<int> base_partitions = std::vector<int>(APR_MAX_MEMBERS);
    double total = 0;
};

/* Loads and targets in partitions, computed independently of the code under
   test. */
Loads
loads_of(const AprRecord_t &record, const AprPlacementPolicy_t &policy,
         double hot_weight = 1)
{
    Loads loads;
    double ramp_sum = 0;

    for (int i = 0; i < APR_SLOTS; i++) {
        AprMember_t owner = record.services[0].partitions[i].owner;
        double weight = i < APR_PARTITIONS ? 1 : hot_weight;

        if (owner != APR_NO_MEMBER) {
            loads.load[owner] += weight;
            loads.base_partitions[owner] += i < APR_PARTITIONS;
            loads.total += weight;
        }
    }
    for (int i = 0; i < APR_MAX_MEMBERS; i++) {
        double age = (NOW_MS - record.members[i].joined_at_ms) / 1000.0;
        double ramp =
            policy.ramp_s == 0
                ? 1
                : 0.25 +
                      0.75 * std::min(std::max(age / policy.ramp_s, 0.0), 1.0);

        loads.target[i] = is_eligible(record, i) ? ramp : 0;
        ramp_sum += loads.target[i];
    }
    for (double &target : loads.target) {
        target *= loads.total / ramp_sum;
    }
    return loads;
}

/* A record in which every partition has an owner, which may be ineligible. */
Record
fully_owned_record()
{
    return arbitrary_record(true);
}

void
check_every_partition_owned()
{
    Record record = arbitrary_record(false);
    AprPlacementPolicy_t policy = arbitrary_policy();
    Record before(new AprRecord_t(*record));
    int unowned = 0;

    for (int i = 0; i < APR_SLOTS; i++) {
        bool used = i < APR_PARTITIONS ||
                    record->services[0].hot_slot_used[i - APR_PARTITIONS];

        unowned +=
            used && record->services[0].partitions[i].owner == APR_NO_MEMBER;
    }
    RC_ASSERT(AprPlacement_AssignUnowned(record.get(), 0, &policy, NOW_MS) ==
              unowned);
    for (int i = 0; i < APR_SLOTS; i++) {
        const AprPartitionEntry_t &old = before->services[0].partitions[i];
        const AprPartitionEntry_t &entry = record->services[0].partitions[i];

        RC_ASSERT(old.owner == APR_NO_MEMBER || old.owner == entry.owner);
        RC_ASSERT(old.owner == entry.owner || entry.epoch == record->version);
    }
    apply_moves(*record, plan_of(*record, policy));
    for (int i = 0; i < APR_SLOTS; i++) {
        AprMember_t owner = record->services[0].partitions[i].owner;

        if (i < APR_PARTITIONS ||
            record->services[0].hot_slot_used[i - APR_PARTITIONS]) {
            RC_ASSERT(
                (owner < APR_MAX_MEMBERS && is_eligible(*record, owner)));
        }
        else {
            RC_ASSERT(owner == APR_NO_MEMBER);
        }
    }
}

void
check_plan_converges()
{
    Record record = fully_owned_record();
    AprPlacementPolicy_t policy = arbitrary_policy();
    auto moves = plan_of(*record, policy);
    auto again = plan_of(*record, policy);

    RC_ASSERT(moves.size() == again.size());
    for (size_t i = 0; i < moves.size(); i++) {
        RC_ASSERT(moves[i].partition == again[i].partition);
        RC_ASSERT(moves[i].to == again[i].to);
    }
    apply_moves(*record, moves);
    RC_ASSERT(plan_of(*record, policy).empty());
}

/* A record in which every owner is eligible and no hot slot is in use, so that
   the bounds on balance and on the number of moves are exact. */
Record
record_without_hot_slots()
{
    Record record = fully_owned_record();

    std::memset(record->services[0].hot_slot_used, 0, APR_HOT_SLOTS);
    for (int i = 0; i < APR_SLOTS; i++) {
        AprMember_t owner = record->services[0].partitions[i].owner;

        if (i >= APR_PARTITIONS) {
            owner = APR_NO_MEMBER;
        }
        else if (!is_eligible(*record, owner)) {
            owner =
                (AprMember_t)(std::find_if(record->members,
                                           record->members + APR_MAX_MEMBERS,
                                           [](const AprMemberEntry_t &entry) {
                                               return entry.state ==
                                                          APR_MEMBER_ACTIVE &&
                                                      entry.offered_services ==
                                                          1;
                                           }) -
                              record->members);
        }
        record->services[0].partitions[i].owner = owner;
    }
    return record;
}

void
check_balance_and_moves()
{
    Record record = record_without_hot_slots();
    AprPlacementPolicy_t policy = arbitrary_policy();
    Loads before = loads_of(*record, policy);
    auto moves = plan_of(*record, policy);
    double surplus = 0;
    double deficit = 0;
    double band = MAX_BAND_FRACTION * policy.move_cost;

    apply_moves(*record, moves);
    Loads after = loads_of(*record, policy);

    for (int i = 0; i < APR_MAX_MEMBERS; i++) {
        double high = std::ceil(before.target[i] * (1 + band) - 1e-6);
        double low = std::floor(before.target[i] * (1 - band) + 1e-6);

        if (!is_eligible(*record, i)) {
            continue;
        }
        RC_ASSERT(after.load[i] <= high);
        RC_ASSERT(after.load[i] >= low);
        surplus += std::max(before.load[i] - high, 0.0);
        deficit += std::max(low - before.load[i], 0.0);
    }
    RC_ASSERT((double)moves.size() <= surplus + deficit);
}

/* Hashing partitions to members must violate the balance bound that the plan
   satisfies; otherwise the bound would not detect an imbalance. */
void
check_hashing_breaks_balance()
{
    Record record(new AprRecord_t());
    AprPlacementPolicy_t policy = {0, 0};
    bool within = true;

    record->service_count = 1;
    for (int i = 0; i < 9; i++) {
        record->members[i].state = APR_MEMBER_ACTIVE;
        record->members[i].offered_services = 1;
    }
    for (int i = 0; i < APR_SLOTS; i++) {
        record->services[0].partitions[i].owner =
            i < APR_PARTITIONS ? (AprMember_t)(XXH3_64bits(&i, sizeof(i)) % 9)
                               : APR_NO_MEMBER;
    }
    Loads hashed = loads_of(*record, policy);

    for (int i = 0; i < 9; i++) {
        within = within && hashed.load[i] <= std::ceil(hashed.target[i]);
    }
    RC_ASSERT(!within);
}

void
check_lost_member_is_spread()
{
    Record record(new AprRecord_t());
    AprPlacementPolicy_t policy = {arbitrary_policy().move_cost, 0};
    int members = *rc::gen::inRange(2, APR_MAX_MEMBERS + 1);
    int lost = *rc::gen::inRange(0, members);

    record->service_count = 1;
    for (int i = 0; i < members; i++) {
        record->members[i].state = APR_MEMBER_ACTIVE;
        record->members[i].offered_services = 1;
    }
    for (int i = 0; i < APR_SLOTS; i++) {
        record->services[0].partitions[i].owner = APR_NO_MEMBER;
    }
    AprPlacement_AssignUnowned(record.get(), 0, &policy, NOW_MS);
    record->members[lost].state = APR_MEMBER_FREE;
    AprPlacement_AssignUnowned(record.get(), 0, &policy, NOW_MS);
    Loads loads = loads_of(*record, policy);

    for (int i = 0; i < members; i++) {
        if (i != lost) {
            RC_ASSERT(loads.load[i] <= std::ceil(loads.target[i]));
        }
    }
}

void
check_hot_key_placement()
{
    Record record = fully_owned_record();
    AprPlacementPolicy_t policy = {0, 0};
    Loads loads = loads_of(*record, policy, HOT_SLOT_WEIGHT);
    AprMember_t current = (AprMember_t)*rc::gen::inRange(0, 64);
    AprMember_t chosen =
        AprPlacement_ChooseForHotKey(record.get(), 0, current);

    RC_ASSERT((chosen < APR_MAX_MEMBERS && is_eligible(*record, chosen)));
    for (int i = 0; i < APR_MAX_MEMBERS; i++) {
        RC_ASSERT(!is_eligible(*record, i) ||
                  loads.load[chosen] <= loads.load[i]);
    }
}

} // namespace

int
main()
{
    bool ok = true;

    ok &= rc::check("guards against partitions left without an eligible owner "
                    "or taken from their owner by the wrong step, and against "
                    "draining members that keep some",
                    check_every_partition_owned);
    ok &= rc::check("guards against plans that differ between members or move "
                    "partitions back and forth",
                    check_plan_converges);
    ok &= rc::check("guards against imbalance outside the band and against "
                    "more moves than the imbalance needs",
                    check_balance_and_moves);
    ok &= rc::check(
        "guards against a remaining member that takes most of a lost "
        "member's partitions",
        check_lost_member_is_spread);
    ok &= rc::check(
        "guards against hot keys placed on a member that is not the least "
        "loaded",
        check_hot_key_placement);
    ok &= rc::check("hashing partitions to members breaks the balance bound",
                    check_hashing_breaks_balance);
    return ok ? 0 : 1;
}
