#include <rapidcheck.h>

#include "tests/cell_simulation.h"

namespace {

/* Decisions of the hosts, and the faults that are injected. */
class RandomFaultSimulation : public CellSimulation {
  public:
    RandomFaultSimulation(uint64_t seed, FaultFocus focus)
        : CellSimulation(seed, focus)
    {
        schedule(100 * kMs, [this] { inject_fault(); });
    }

  private:
    void act_on_read(Host &host, const Record &fresh) override
    {
        int process_id = host.process_id;
        apply_record(host, fresh);
        if (host.process_id != process_id || host.known_record != fresh) {
            return;
        }
        MutableRecord next = begin_change(fresh);
        if (host.unresolved_version != 0) {
            compare_and_swap(host, next); /* supersedes the unresolved write */
        }
        else if (find_member(fresh, host) == APR_NO_MEMBER) {
            if (add_to_record(host, next.get())) {
                Micros delay =
                    should_inject(kJoinFaults) ? uniform(10, 100) * kMs : 0;
                compare_and_swap(host, next, delay);
                if (delay > 0) {
                    inject_join_faults(host, delay);
                }
            }
        }
        else if (!remove_expired_member(host, fresh) &&
                 AprLease_IsMember(host.lease)) {
            change_own_state(host, find_member(fresh, host), fresh, next);
        }
    }

    static MutableRecord begin_change(const Record &base)
    {
        MutableRecord next = std::make_shared<AprRecord_t>(*base);
        AprRecord_BeginChange(next.get());
        return next;
    }

    void write_removal(Host &host, const Record &base)
    {
        MutableRecord next = begin_change(base);
        AprRecord_RemoveMember(
            next.get(), AprRecord_FindHost(base.get(), host.removal.member));
        compare_and_swap(host, next, inject_removal_faults(host));
    }

    bool remove_expired_member(Host &host, const Record &fresh)
    {
        AprMember_t suspects[APR_MAX_MEMBERS];
        if (host.removal_record &&
            AprMemberRemoval_HasQuorum(&host.removal, fresh.get())) {
            write_removal(host, fresh);
            return true;
        }
        int count = AprLease_ListExpiredMembers(host.lease, local_time(host),
                                                suspects, APR_MAX_MEMBERS);
        if (count == 0) {
            return false;
        }
        AprMember_t member = suspects[uniform(0, count - 1)];
        if (AprMemberRemoval_Begin(&host.removal, fresh.get(), member) ==
            APR_OK) {
            host.removal_record = fresh;
            for (int i = 0; i < fresh->members[member].witness_count; i++) {
                request_consent(
                    host, find_host(fresh->members[member].witnesses[i]));
            }
        }
        return false;
    }

    void request_consent(Host &host, Host &witness)
    {
        AprMemberRemoval_t removal = host.removal;
        send(host, witness, [this, &host, &witness, removal] {
            if (!AprLease_OnConsentRequest(
                    witness.lease, removal.member, removal.member_incarnation,
                    removal.record_version, local_time(witness))) {
                return;
            }
            uint64_t witness_incarnation = witness.incarnation;
            send(witness, host,
                 [this, &host, &witness, removal, witness_incarnation] {
                     on_consent(host, witness, removal, witness_incarnation);
                 });
        });
    }

    void on_consent(Host &host, Host &witness,
                    const AprMemberRemoval_t &removal,
                    uint64_t witness_incarnation)
    {
        if (!host.removal_record ||
            host.removal.record_version != removal.record_version ||
            std::string(host.removal.member) != removal.member) {
            return;
        }
        AprMemberRemoval_AddConsent(&host.removal, witness.name.c_str(),
                                    witness_incarnation);
        if (host.store_call_until <= now_ &&
            AprMemberRemoval_HasQuorum(&host.removal,
                                       host.removal_record.get())) {
            write_removal(host, host.removal_record);
        }
    }

    /* Writes a new witness list, a claim of unowned partitions or a planned
       move. */
    void change_own_state(Host &host, AprMember_t self, const Record &fresh,
                          const MutableRecord &next)
    {
        char list[APR_MAX_WITNESSES][APR_NAME_SIZE];
        int count;
        AprPartitionEntry_t *table = next->services[0].partitions;
        if (AprLease_NeedsWitnessChange(host.lease, fresh.get(), list,
                                        &count)) {
            event_counts["witness changes"]++;
            AprLease_BeginWitnessChange(host.lease, list, count);
            renew(host);
            AprRecord_SetWitnesses(next.get(), self, list, count);
            host.unresolved_version = fresh->version;
            inject_witness_change_faults(host, fresh->members[self], list,
                                         count);
            compare_and_swap(host, next);
        }
        else if (has_unowned_partition(fresh)) {
            for (int i = 0; i < kPartitionCount; i++) {
                if (table[i].owner == APR_NO_MEMBER) {
                    AprRecord_AssignPartition(next.get(), 0, i, self, 0);
                }
            }
            compare_and_swap(host, next);
        }
        else if (random_event(100)) {
            int moved = int(uniform(0, kPartitionCount - 1));
            AprMember_t to =
                find_member(fresh, hosts_[random_() % hosts_.size()]);
            if (table[moved].owner == self && to != APR_NO_MEMBER) {
                event_counts["planned moves"]++;
                AprRecord_AssignPartition(next.get(), 0, moved, to,
                                          random_() | 1);
                host.move_unresolved[moved] = true;
                host.unresolved_version = fresh->version;
                compare_and_swap(host, next);
            }
        }
    }

    bool should_inject(FaultFocus focus)
    {
        return focus_ == focus && random_event(50);
    }

    void cut_link(Host &host, Host &other, Micros until)
    {
        link_cut_until_[{&host, &other}] = link_cut_until_[{&other, &host}] =
            until;
    }

    void isolate(Host &host, Micros until)
    {
        for (Host &peer : hosts_) {
            cut_link(host, peer, until);
        }
    }

    /* Delays the write of a removal. Meanwhile the member is reachable again
       and a witness that consented restarts. Returns the delay. */
    Micros inject_removal_faults(Host &host)
    {
        if (!should_inject(kRemovalFaults)) {
            return 0;
        }
        Host &member = find_host(host.removal.member);
        member.paused_until = 0;
        isolate(member, 0);
        restart(find_host(host.removal.consenting_witnesses[0]), 50);
        return uniform(100, 1000) * kMs;
    }

    /* Called when the write of a join is delayed: restarts the process, which
       then receives only an old record. */
    void inject_join_faults(Host &host, Micros delay)
    {
        Record stale = host.last_member_record;
        link_cut_until_[{&host, nullptr}] = now_ + uniform(500, 2000) * kMs;
        isolate(host, now_ + delay);
        restart(host, 5);
        run_on_host(host, -1, now_ + delay + uniform(3, 60) * kMs,
                    [this, &host, stale] {
                        apply_record(host, stale);
                        renew(host);
                    });
    }

    /* Cuts the member off from the store, so that the new list does not reach
       it, from the witnesses that leave the list and from one that remains. */
    void inject_witness_change_faults(Host &host,
                                      const AprMemberEntry_t &entry,
                                      char list[][APR_NAME_SIZE], int count)
    {
        Micros until = now_ + uniform(1000, 2500) * kMs;
        bool cut_one_remaining = true;
        if (!should_inject(kWitnessChangeFaults)) {
            return;
        }
        link_cut_until_[{&host, nullptr}] = until;
        for (int i = 0; i < entry.witness_count; i++) {
            bool remains = std::any_of(list, list + count, [&](char *name) {
                return std::string(name) == entry.witnesses[i];
            });
            if (!remains || cut_one_remaining) {
                cut_link(host, find_host(entry.witnesses[i]), until);
                cut_one_remaining = cut_one_remaining && !remains;
            }
        }
    }

    void restart(Host &host, int64_t max_downtime_ms)
    {
        int process_id = host.process_id;
        Micros restart_time = now_ + uniform(0, max_downtime_ms) * kMs;
        event_counts["restarts"]++;
        host.running = false;
        schedule(std::min(restart_time, kFaultsEnd),
                 [this, &host, process_id] {
                     if (!host.running && host.process_id == process_id) {
                         host.paused_until = 0;
                         start_process(host);
                     }
                 });
    }

    /* Injects one random fault and schedules the next. */
    void inject_fault()
    {
        Host &host = hosts_[random_() % hosts_.size()];
        Host &other = hosts_[random_() % hosts_.size()];
        Micros until = now_ + uniform(100, 2500) * kMs;
        int kind = int(uniform(0, 9));
        if (now_ >= kFaultsEnd) {
            return;
        }
        if (kind < 3) {
            event_counts["pauses"]++;
            host.paused_until = std::min(until, kFaultsEnd);
        }
        else if (kind < 5) {
            restart(host, 1500);
        }
        else if (kind < 8) { /* in one direction, in both, or to the store */
            event_counts["cut links"]++;
            link_cut_until_[{&host, kind == 7 ? nullptr : &other}] = until;
            link_cut_until_[{&other, &host}] = kind == 6 ? until : 0;
        }
        else if (kind == 8) {
            event_counts["isolated hosts"]++;
            isolate(host, until);
        }
        else {
            event_counts["store outages"]++;
            outage_until_ = until;
        }
        schedule(now_ + uniform(20 * kMs, max_fault_interval_),
                 [this] { inject_fault(); });
    }
};

struct Mutant {
    int rule;
    bool *enabled;
    FaultFocus focus;
};

/* Number of seeds tried per mutant. If none of them shows a violation, the
   property does not test the rule. */
constexpr uint64_t kMaxMutantSeeds = 400;

/* Runs the property with one rule disabled. Returns whether a violation was
   found. */
bool
mutant_is_detected(const Mutant &mutant)
{
    uint64_t seed = 0;
    std::string violation;
    *mutant.enabled = false;
    while (violation.empty() && seed < kMaxMutantSeeds) {
        violation = RandomFaultSimulation(++seed, mutant.focus).run();
    }
    *mutant.enabled = true;
    printf("mutant without rule %d: %s after %d seeds\n", mutant.rule,
           violation.empty() ? "SURVIVED" : violation.c_str(), int(seed));
    return !violation.empty();
}

} // namespace

int
main()
{
    const Mutant mutants[] = {
        {1, &apr_lease_rules.check_witness_incarnation, kRemovalFaults},
        {2, &apr_lease_rules.reject_removed_incarnation, kJoinFaults},
        {3, &apr_lease_rules.require_both_lists, kWitnessChangeFaults},
        {4, &apr_lease_rules.delay_consent, kRandomFaults},
        {5, &apr_lease_rules.require_exact_version, kRandomFaults},
    };
    std::map<std::string, long> totals;
    long cases = 0;
    bool passed = rc::check(
        "a partition has at most one valid owner, no valid owner loses its "
        "assignment, and all are served 2 s after the failures",
        [&] {
            auto seed = *rc::gen::noShrink(rc::gen::arbitrary<uint64_t>());
            auto focus = *rc::gen::noShrink(
                rc::gen::inRange(int(kRandomFaults), int(kFocusCount)));
            RandomFaultSimulation model(seed, FaultFocus(focus));
            std::string violation = model.run();
            for (const auto &count : model.event_counts) {
                totals[count.first] += count.second;
            }
            cases++;
            RC_ASSERT(violation == "");
        });
    printf("proof|lease|%s|%ld|", passed ? "held" : "VIOLATED", cases);
    for (const auto &total : totals) {
        printf("%ld %s, ", total.second, total.first.c_str());
    }
    printf("\n");
    for (const Mutant &mutant : mutants) {
        passed = mutant_is_detected(mutant) && passed;
    }
    return passed ? 0 : 1;
}
