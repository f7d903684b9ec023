#ifndef APRICOT_TESTS_CELL_SIMULATION_H
#define APRICOT_TESTS_CELL_SIMULATION_H

/* Randomised simulation of one cell in virtual time. It runs the lease,
   removal and record code of every host over a simulated lossy network and a
   simulated store with compare-and-swap, and reports a violation when a
   partition has two valid owners. */
#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <tuple>
#include <vector>

extern "C" {
#include "apricot/lease.h"
#include "internal/lease_rules.h"
#include "internal/record_check.h"
}

using Record = std::shared_ptr<const AprRecord_t>;
using MutableRecord = std::shared_ptr<AprRecord_t>;
using Action = std::function<void()>;
using Micros = int64_t; /* virtual time, independent of the hosts' clocks */

constexpr int kPartitionCount = 6;
constexpr Micros kMs = 1000;
constexpr Micros kStoreTimeout = 300 * kMs;
constexpr Micros kFaultsEnd = 8000 * kMs;
/* Requirement 1.7: every partition is served again within 2 s. */
constexpr Micros kSimulationEnd = kFaultsEnd + 2000 * kMs;

struct Host {
    std::string name;
    double clock_rate = 1;
    Micros clock_offset = 0;
    uint64_t incarnation = 1;
    /* Increments with each process start; events scheduled for an earlier
       process are dropped. */
    int process_id = 0;
    bool running = false;
    Micros paused_until = 0;
    AprLease_t *lease = nullptr;
    Record known_record;
    Record last_member_record;   /* last record that has this incarnation */
    int call_id = 0;             /* of the latest store call */
    Micros store_call_until = 0; /* timeout of a pending store call; 0: none */
    /* Version replaced by a pending write of the host's own witness list or
       planned move; 0: none. */
    uint64_t unresolved_version = 0;
    /* Partitions given away by a pending write, which are not served. */
    bool move_unresolved[kPartitionCount] = {};
    AprMemberRemoval_t removal = {};
    Record removal_record; /* the record on which `removal` is based */
};

/* Kind of faults that a run adds to the random ones. Each kind occurs at the
   moments that matter for one of the lease rules, which random faults seldom
   hit. */
enum FaultFocus {
    kRandomFaults,
    kRemovalFaults,
    kJoinFaults,
    kWitnessChangeFaults,
    kFocusCount
};

class CellSimulation {
  public:
    CellSimulation(uint64_t seed, FaultFocus focus)
        : random_(seed), focus_(focus)
    {
        MutableRecord first = std::make_shared<AprRecord_t>();
        AprRecord_Init(first.get(), "cell");
        AprRecord_BeginChange(first.get());
        AprRecord_AddService(first.get(), "desk");
        hosts_.resize(3 + random_() % 7);
        for (size_t i = 0; i < hosts_.size(); i++) {
            hosts_[i].name = "host" + std::to_string(i);
            hosts_[i].clock_rate = 1 + double(uniform(-100, 100)) / 10000;
            hosts_[i].clock_offset = uniform(1, 1000000) * kMs;
            add_to_record(hosts_[i], first.get());
        }
        for (AprMember_t i = 0; i < hosts_.size(); i++) {
            choose_witnesses(first.get(), i);
        }
        for (int i = 0; i < kPartitionCount; i++) {
            AprRecord_AssignPartition(
                first.get(), 0, i, AprMember_t(size_t(i) % hosts_.size()), 0);
        }
        stored_record_ = first;
        for (Host &host : hosts_) {
            start_process(host);
            apply_record(host, stored_record_);
        }
        schedule(kFaultsEnd, [this] {
            link_cut_until_.clear();
            outage_until_ = 0;
        });
    }

    virtual ~CellSimulation()
    {
        for (Host &host : hosts_) {
            AprLease_Free(host.lease);
        }
    }

    /* Runs the simulation. Returns the violation found, or an empty string. */
    std::string run()
    {
        schedule(kSimulationEnd, [this] { check_recovery(); });
        while (violation.empty() && now_ < kSimulationEnd) {
            Event event = queue_.top();
            queue_.pop();
            now_ = event.time;
            event.run();
            /* Any host could dispatch at this moment, including one that
               resumes from a pause. */
            for (int i = 0; i < kPartitionCount && violation.empty(); i++) {
                if (count_valid_owners(i) > 1) {
                    violation = "two valid owners";
                }
            }
        }
        return violation;
    }

    std::string violation;
    std::map<std::string, long> event_counts; /* faults and reactions */

  protected:
    struct Event {
        Micros time;
        uint64_t sequence;
        Action run;
        bool operator<(const Event &other) const
        {
            return std::tie(time, sequence) >
                   std::tie(other.time, other.sequence);
        }
    };

    int64_t uniform(int64_t low, int64_t high)
    {
        return low + int64_t(random_() % uint64_t(high - low + 1));
    }

    /* Returns true with this probability, and always false once the fault
       phase has ended. */
    bool random_event(int percent)
    {
        return now_ < kFaultsEnd && uniform(0, 99) < percent;
    }

    void schedule(Micros time, Action run)
    {
        queue_.push({time, sequence_++, std::move(run)});
    }

    struct timespec local_time(const Host &host) const
    {
        Micros time =
            host.clock_offset + Micros(double(now_) * host.clock_rate);
        return {time / 1000000, time % 1000000 * 1000};
    }

    /* Runs an action on the host at `time`, or later when it is not paused.
       The action is dropped if the host is down or if process_id, unless
       negative, is not that of its current process. */
    void run_on_host(Host &host, int process_id, Micros time, Action run)
    {
        schedule(time, [this, &host, process_id, run] {
            if (!host.running ||
                (process_id >= 0 && process_id != host.process_id)) {
                return;
            }
            if (now_ < host.paused_until) {
                run_on_host(host, process_id,
                            std::min(host.paused_until, now_ + 20 * kMs), run);
                return;
            }
            run();
        });
    }

    /* Returns the arrival time of a message sent now. Delays are short, except
       for 3 % long ones, which end with the fault phase at the latest. */
    Micros arrival_time()
    {
        return random_event(3)
                   ? std::min(now_ + uniform(5, 2000) * kMs, kFaultsEnd)
                   : now_ + uniform(300, 3000);
    }

    /* Sends a message. The receiver may also pull the sender's record, one
       delay later. A message may reach a later process of the host. */
    void send(Host &from, Host &to, Action handle)
    {
        Record sender_record = from.known_record;
        if (&from == &to) {
            handle();
            return;
        }
        if (link_cut_until_[{&from, &to}] > now_ || random_event(2)) {
            event_counts["lost messages"]++;
            return;
        }
        bool pulls_record = !random_event(skipped_pull_percent_);
        run_on_host(to, -1, arrival_time(),
                    [this, &to, sender_record, pulls_record, handle] {
                        handle();
                        if (pulls_record) {
                            run_on_host(to, -1, arrival_time(),
                                        [this, &to, sender_record] {
                                            apply_record(to, sender_record);
                                        });
                        }
                    });
    }

    Host &find_host(const char *name)
    {
        return hosts_[size_t(atoi(name + 4))];
    }

    static AprMember_t find_member(const Record &record, const Host &host)
    {
        return AprRecord_FindHost(record.get(), host.name.c_str());
    }

    static void choose_witnesses(AprRecord_t *record, AprMember_t member)
    {
        char list[APR_MAX_WITNESSES][APR_NAME_SIZE];
        int count = AprRecord_ChooseWitnesses(record, member, list);
        AprRecord_SetWitnesses(record, member, list, count);
    }

    static bool add_to_record(const Host &host, AprRecord_t *record)
    {
        AprMemberEntry_t entry = {};
        AprMember_t member;
        entry.state = APR_MEMBER_ACTIVE;
        entry.incarnation = host.incarnation;
        entry.offered_services = 1;
        snprintf(entry.host, sizeof(entry.host), "%s", host.name.c_str());
        entry.failure_domain[0] = char('0' + (host.name.back() - '0') % 3);
        if (AprRecord_AddMember(record, &entry, &member, nullptr) != APR_OK) {
            return false;
        }
        choose_witnesses(record, member);
        return true;
    }

    /* Starts a process, which replaces the previous one of the host. With rule
       2 disabled, a removed host keeps its incarnation. */
    void start_process(Host &host)
    {
        AprLeaseSettings_t settings = AprLeaseSettings_Default();
        if (host.process_id > 0 &&
            (apr_lease_rules.reject_removed_incarnation ||
             find_member(stored_record_, host) != APR_NO_MEMBER)) {
            host.incarnation++;
        }
        host.process_id++;
        host.running = true;
        AprLease_Free(host.lease);
        host.lease = AprLease_New(&settings, host.name.c_str(),
                                  host.incarnation, local_time(host));
        host.known_record = host.removal_record = nullptr;
        host.store_call_until = 0;
        host.unresolved_version = 0;
        std::fill(host.move_unresolved, host.move_unresolved + kPartitionCount,
                  false);
        run_on_host(host, host.process_id, now_ + uniform(1, 50) * kMs,
                    [this, &host] { renew_and_check(host); });
    }

    /* Applies a record on a host. One newer than the version that an
       unresolved write replaces shows the outcome of the write. */
    void apply_record(Host &host, const Record &record)
    {
        bool was_member = AprLease_IsMember(host.lease);
        if (!record || (host.known_record &&
                        host.known_record->version >= record->version)) {
            return;
        }
        host.last_member_record =
            was_member ? host.known_record : host.last_member_record;
        host.known_record = record;
        AprLease_OnRecord(host.lease, record.get(), local_time(host));
        if (host.unresolved_version != 0 &&
            record->version > host.unresolved_version) {
            AprLease_EndWitnessChange(host.lease);
            std::fill(host.move_unresolved,
                      host.move_unresolved + kPartitionCount, false);
            host.unresolved_version = 0;
        }
        if (was_member && !AprLease_IsMember(host.lease)) {
            event_counts["rejoins"]++;
            start_process(host);
        }
    }

    void renew(Host &host)
    {
        AprRenewal_t due[2 * APR_MAX_WITNESSES];
        int count = AprLease_TakeDueRenewals(host.lease, local_time(host), due,
                                             2 * APR_MAX_WITNESSES);
        uint64_t incarnation = host.incarnation;
        for (int i = 0; i < count; i++) {
            Host &witness = find_host(due[i].witness);
            uint64_t id = due[i].send_id;
            send(host, witness, [this, &host, &witness, incarnation, id] {
                bool granted =
                    AprLease_OnRenew(witness.lease, host.name.c_str(),
                                     incarnation, local_time(witness));
                uint64_t from = witness.incarnation;
                send(witness, host, [&host, &witness, granted, from, id] {
                    if (granted) {
                        AprLease_OnRenewAck(host.lease, witness.name.c_str(),
                                            from, id);
                    }
                });
            });
        }
    }

    static bool has_unowned_partition(const Record &record)
    {
        const AprPartitionEntry_t *table = record->services[0].partitions;
        return std::any_of(table, table + kPartitionCount,
                           [](const AprPartitionEntry_t &entry) {
                               return entry.owner == APR_NO_MEMBER;
                           });
    }

    void renew_and_check(Host &host)
    {
        char list[APR_MAX_WITNESSES][APR_NAME_SIZE];
        int count;
        AprMember_t suspect;
        renew(host);
        if (host.store_call_until <= now_ &&
            (!AprLease_IsValid(host.lease, local_time(host)) ||
             host.unresolved_version != 0 ||
             has_unowned_partition(host.known_record) ||
             AprLease_ListExpiredMembers(host.lease, local_time(host),
                                         &suspect, 1) > 0 ||
             AprLease_NeedsWitnessChange(host.lease, host.known_record.get(),
                                         list, &count) ||
             random_event(move_percent_))) {
            read_record(host);
        }
        run_on_host(host, host.process_id, now_ + uniform(20, 60) * kMs,
                    [this, &host] { renew_and_check(host); });
    }

    void read_record(Host &host)
    {
        int call_id = ++host.call_id;
        int process_id = host.process_id;
        host.store_call_until = now_ + kStoreTimeout;
        if (link_cut_until_[{&host, nullptr}] > now_) {
            return;
        }
        schedule(arrival_time(), [this, &host, call_id, process_id] {
            Record fresh = stored_record_;
            if (now_ < outage_until_) {
                return;
            }
            run_on_host(host, process_id, arrival_time(),
                        [this, &host, call_id, fresh] {
                            if (host.call_id == call_id &&
                                host.store_call_until > now_) {
                                host.store_call_until = 0;
                                act_on_read(host, fresh);
                            }
                        });
        });
    }

    /* Sends a compare-and-swap on the version that `next` replaces. The
       request can be delayed and its response can be lost. */
    void compare_and_swap(Host &host, const MutableRecord &next,
                          Micros extra_delay = 0)
    {
        int call_id = ++host.call_id;
        int process_id = host.process_id;
        host.store_call_until = now_ + kStoreTimeout;
        if (link_cut_until_[{&host, nullptr}] <= now_) {
            schedule(arrival_time() + extra_delay,
                     [this, &host, call_id, process_id, next] {
                         execute_swap(host, call_id, process_id, next);
                     });
        }
    }

    void execute_swap(Host &host, int call_id, int process_id,
                      const MutableRecord &next)
    {
        bool succeeded = stored_record_->version + 1 == next->version;
        if (now_ < outage_until_) {
            event_counts["writes in an outage"]++;
            if (random_event(50)) { /* applied after the outage */
                schedule(outage_until_,
                         [this, &host, call_id, process_id, next] {
                             execute_swap(host, call_id, process_id, next);
                         });
            }
            return;
        }
        if (succeeded) {
            commit(host, next);
        }
        if (random_event(10)) {
            event_counts["lost store answers"]++;
            return;
        }
        run_on_host(host, process_id, arrival_time(),
                    [this, &host, call_id, succeeded, next] {
                        host.store_call_until = host.call_id == call_id
                                                    ? 0
                                                    : host.store_call_until;
                        apply_record(host, succeeded ? Record(next) : nullptr);
                        for (Host &other : hosts_) {
                            send(host, other, [] {});
                        }
                    });
    }

    /* Commits a record to the store. Checks that a partition changes its owner
       only if the owner writes the change or is removed, and that no member
       with a valid lease is removed. */
    void commit(Host &writer, const Record &next)
    {
        const AprPartitionEntry_t *before =
            stored_record_->services[0].partitions;
        const AprPartitionEntry_t *after = next->services[0].partitions;
        for (Host &host : hosts_) {
            AprMember_t member = find_member(stored_record_, host);
            bool removed = find_member(next, host) == APR_NO_MEMBER;
            if (member != APR_NO_MEMBER && removed) {
                event_counts["removals"]++;
                if (host.running &&
                    AprLease_IsValid(host.lease, local_time(host)) &&
                    stored_record_->members[member].incarnation ==
                        host.incarnation) {
                    violation = "valid member removed";
                }
            }
            for (int i = 0; i < kPartitionCount; i++) {
                if (member != APR_NO_MEMBER && !removed && &host != &writer &&
                    before[i].owner == member && after[i].owner != member) {
                    violation = "assignment lost";
                }
            }
        }
        if (!AprRecordCheck_IsConsistent(next.get())) {
            violation = "inconsistent record";
        }
        stored_record_ = next;
        for (Host &host : hosts_) { /* change notifications */
            if (link_cut_until_[{&host, nullptr}] <= now_ &&
                !random_event(50)) {
                run_on_host(host, -1, arrival_time(),
                            [this, &host, next] { apply_record(host, next); });
            }
        }
    }

    /* Lets a host act on a record just read from the store. */
    virtual void act_on_read(Host &host, const Record &fresh) = 0;

    int count_valid_owners(int partition) const
    {
        int count = 0;
        for (const Host &host : hosts_) {
            if (host.running && host.known_record &&
                !host.move_unresolved[partition] &&
                AprLease_IsValid(host.lease, local_time(host))) {
                count += host.known_record->services[0]
                             .partitions[partition]
                             .owner == find_member(host.known_record, host);
            }
        }
        return count;
    }

    /* Checks that every partition is served, unless a lost member without
       witnesses remains, which only an operator may remove. */
    void check_recovery()
    {
        for (const Host &host : hosts_) {
            AprMember_t member = find_member(stored_record_, host);
            if (member != APR_NO_MEMBER &&
                stored_record_->members[member].witness_count == 0 &&
                stored_record_->members[member].incarnation !=
                    host.incarnation) {
                event_counts["left to an operator"]++;
                return;
            }
        }
        for (int i = 0; i < kPartitionCount; i++) {
            if (count_valid_owners(i) == 0) {
                violation = "partition without a valid owner";
            }
        }
    }

    std::mt19937_64 random_;
    FaultFocus focus_;
    /* Percentage of timer ticks whose read can lead to a planned move. */
    int move_percent_ = int(uniform(0, 2));
    /* Percentage of messages after which the record is not pulled. */
    int skipped_pull_percent_ = int(uniform(10, 80));
    Micros max_fault_interval_ = uniform(1, 4) * 600 * kMs;
    Micros now_ = 0;
    uint64_t sequence_ = 0;
    std::priority_queue<Event> queue_;
    std::vector<Host> hosts_;
    Record stored_record_; /* the value in the store */
    Micros outage_until_ = 0;
    std::map<std::pair<const Host *, const Host *>, Micros> link_cut_until_;
};

#endif
