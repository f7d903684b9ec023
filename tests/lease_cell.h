#ifndef APRICOT_TESTS_LEASE_CELL_H
#define APRICOT_TESTS_LEASE_CELL_H

/* Random model of one cell in virtual time. It drives the real lease, removal
   and record code of every host over a lossy network and a store with
   compare-and-swap, and looks for two valid owners of a partition. */
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
using Change = std::shared_ptr<AprRecord_t>;
using Action = std::function<void()>;
using Micros = int64_t; /* virtual real time */

constexpr int kPartitions = 6;
constexpr Micros kMs = 1000;
constexpr Micros kStoreTimeout = 300 * kMs;
constexpr Micros kFaultsEnd = 8000 * kMs;
constexpr Micros kEnd = kFaultsEnd + 2000 * kMs; /* requirement 1.7 */

struct Host {
    std::string name;
    double rate = 1;
    Micros offset = 0;
    uint64_t incarnation = 1;
    int life = 0; /* process generation: timers of earlier ones are dropped */
    bool up = false;
    Micros paused_until = 0;
    AprLease_t *lease = nullptr;
    Record known;
    Record last_own;         /* the last record that had this incarnation */
    int operation = 0;       /* identifies the latest store call */
    Micros busy_until = 0;   /* a store call is under way */
    uint64_t unresolved = 0; /* version replaced by a write of its own state
                                whose outcome is not known */
    bool held[kPartitions] = {};
    AprRemoval_t removal = {};
    Record removal_base;
};

/* What a run is about: failures then strike at the moments that matter for
   one of the rules, which purely random ones seldom meet. */
enum Focus { kRandom, kRemoval, kJoin, kWitnesses, kFocusCount };

class Cell {
  public:
    Cell(uint64_t seed, Focus focus) : random_(seed), focus_(focus)
    {
        Change first = std::make_shared<AprRecord_t>();
        AprRecord_Init(first.get(), "cell");
        AprRecord_BeginChange(first.get());
        AprRecord_AddService(first.get(), "desk");
        hosts_.resize(3 + random_() % 7);
        for (size_t i = 0; i < hosts_.size(); i++) {
            hosts_[i].name = "host" + std::to_string(i);
            hosts_[i].rate = 1 + double(uniform(-100, 100)) / 10000;
            hosts_[i].offset = uniform(1, 1000000) * kMs;
            join(hosts_[i], first.get());
        }
        for (AprMember_t i = 0; i < hosts_.size(); i++) {
            choose_witnesses(first.get(), i);
        }
        for (int i = 0; i < kPartitions; i++) {
            AprRecord_Assign(first.get(), 0, i,
                             AprMember_t(size_t(i) % hosts_.size()), 0);
        }
        current_ = first;
        for (Host &host : hosts_) {
            boot(host);
            learn(host, current_);
        }
        at(kFaultsEnd, [this] {
            cut_until_.clear();
            outage_until_ = 0;
        });
    }

    virtual ~Cell()
    {
        for (Host &host : hosts_) {
            AprLease_Free(host.lease);
        }
    }

    /* Runs the model. Returns what was violated, or an empty text. */
    std::string run()
    {
        at(kEnd, [this] { check_recovery(); });
        while (violation.empty() && now_ < kEnd) {
            Event event = queue_.top();
            queue_.pop();
            now_ = event.time;
            event.run();
            /* Every host could dispatch now, also one that resumes. */
            for (int i = 0; i < kPartitions && violation.empty(); i++) {
                if (owners_of(i) > 1) {
                    violation = "two valid owners";
                }
            }
        }
        return violation;
    }

    std::string violation;
    std::map<std::string, long> counts; /* failures brought about */

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

    bool fails(int percent) /* no failure after the end of failures */
    {
        return now_ < kFaultsEnd && uniform(0, 99) < percent;
    }

    void at(Micros time, Action run)
    {
        queue_.push({time, sequence_++, std::move(run)});
    }

    struct timespec clock(const Host &host) const
    {
        Micros time = host.offset + Micros(double(now_) * host.rate);
        return {time / 1000000, time % 1000000 * 1000};
    }

    /* Runs on the host once it is not paused, unless it is down or, with a
       `life`, another process by then. */
    void at_host(Host &host, int life, Micros time, Action run)
    {
        at(time, [this, &host, life, run] {
            if (!host.up || (life >= 0 && life != host.life)) {
                return;
            }
            if (now_ < host.paused_until) {
                at_host(host, life,
                        std::min(host.paused_until, now_ + 20 * kMs), run);
                return;
            }
            run();
        });
    }

    /* Short delays, and long ones that end with the failures. */
    Micros arrival()
    {
        return fails(3) ? std::min(now_ + uniform(5, 2000) * kMs, kFaultsEnd)
                        : now_ + uniform(300, 3000);
    }

    /* Every message can lead to a pull of the sender's record, one round trip
       later. A message may reach a later process of the host. */
    void send(Host &from, Host &to, Action handle)
    {
        Record carried = from.known;
        if (&from == &to) {
            handle();
            return;
        }
        if (cut_until_[{&from, &to}] > now_ || fails(2)) {
            counts["lost messages"]++;
            return;
        }
        bool pull = !fails(no_pull_);
        at_host(to, -1, arrival(), [this, &to, carried, pull, handle] {
            handle();
            if (pull) {
                at_host(to, -1, arrival(),
                        [this, &to, carried] { learn(to, carried); });
            }
        });
    }

    Host &host_named(const char *name)
    {
        return hosts_[size_t(atoi(name + 4))];
    }

    static AprMember_t member_of(const Record &record, const Host &host)
    {
        return AprRecord_FindHost(record.get(), host.name.c_str());
    }

    static void choose_witnesses(AprRecord_t *record, AprMember_t member)
    {
        char list[APR_MAX_WITNESSES][APR_NAME_SIZE];
        int count = AprRecord_ChooseWitnesses(record, member, list);
        AprRecord_SetWitnesses(record, member, list, count);
    }

    static bool join(const Host &host, AprRecord_t *record)
    {
        AprMemberEntry_t entry = {};
        AprMember_t member;
        entry.state = APR_MEMBER_ACTIVE;
        entry.incarnation = host.incarnation;
        entry.services = 1;
        snprintf(entry.host, sizeof(entry.host), "%s", host.name.c_str());
        entry.failure_domain[0] = char('0' + (host.name.back() - '0') % 3);
        if (AprRecord_Join(record, &entry, &member, nullptr) != APR_OK) {
            return false;
        }
        choose_witnesses(record, member);
        return true;
    }

    /* Starts a process, also in place of one that found itself removed. With
       rule 2 switched off, a removed host keeps its incarnation. */
    void boot(Host &host)
    {
        AprLeaseSettings_t settings = AprLeaseSettings_Default();
        if (host.life > 0 && (apr_lease_rules.removed_incarnation ||
                              member_of(current_, host) != APR_NO_MEMBER)) {
            host.incarnation++;
        }
        host.life++;
        host.up = true;
        AprLease_Free(host.lease);
        host.lease = AprLease_New(&settings, host.name.c_str(),
                                  host.incarnation, clock(host));
        host.known = host.removal_base = nullptr;
        host.busy_until = 0;
        host.unresolved = 0;
        std::fill(host.held, host.held + kPartitions, false);
        at_host(host, host.life, now_ + uniform(1, 50) * kMs,
                [this, &host] { tick(host); });
    }

    /* Takes up a record. One newer than the version that an unresolved write
       replaces tells its outcome. */
    void learn(Host &host, const Record &record)
    {
        bool was_member = AprLease_IsMember(host.lease);
        if (!record ||
            (host.known && host.known->version >= record->version)) {
            return;
        }
        host.last_own = was_member ? host.known : host.last_own;
        host.known = record;
        AprLease_OnRecord(host.lease, record.get(), clock(host));
        if (host.unresolved != 0 && record->version > host.unresolved) {
            AprLease_EndWitnessChange(host.lease);
            std::fill(host.held, host.held + kPartitions, false);
            host.unresolved = 0;
        }
        if (was_member && !AprLease_IsMember(host.lease)) {
            counts["rejoins"]++;
            boot(host);
        }
    }

    void renew(Host &host)
    {
        AprRenewal_t due[2 * APR_MAX_WITNESSES];
        int count = AprLease_DueRenewals(host.lease, clock(host), due,
                                         2 * APR_MAX_WITNESSES);
        uint64_t incarnation = host.incarnation;
        for (int i = 0; i < count; i++) {
            Host &witness = host_named(due[i].witness);
            uint64_t id = due[i].send_id;
            send(host, witness, [this, &host, &witness, incarnation, id] {
                bool granted =
                    AprLease_OnRenew(witness.lease, host.name.c_str(),
                                     incarnation, clock(witness));
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

    static bool unowned(const Record &record)
    {
        const AprPartitionEntry_t *table = record->services[0].partitions;
        return std::any_of(table, table + kPartitions,
                           [](const AprPartitionEntry_t &entry) {
                               return entry.owner == APR_NO_MEMBER;
                           });
    }

    void tick(Host &host)
    {
        char list[APR_MAX_WITNESSES][APR_NAME_SIZE];
        int count;
        AprMember_t suspect;
        renew(host);
        if (host.busy_until <= now_ &&
            (!AprLease_Valid(host.lease, clock(host)) ||
             host.unresolved != 0 || unowned(host.known) ||
             AprLease_Suspects(host.lease, clock(host), &suspect, 1) > 0 ||
             AprLease_WantsWitnesses(host.lease, host.known.get(), list,
                                     &count) ||
             fails(activity_))) {
            read(host);
        }
        at_host(host, host.life, now_ + uniform(20, 60) * kMs,
                [this, &host] { tick(host); });
    }

    void read(Host &host)
    {
        int operation = ++host.operation;
        int life = host.life;
        host.busy_until = now_ + kStoreTimeout;
        if (cut_until_[{&host, nullptr}] > now_) {
            return;
        }
        at(arrival(), [this, &host, operation, life] {
            Record fresh = current_;
            if (now_ < outage_until_) {
                return;
            }
            at_host(host, life, arrival(), [this, &host, operation, fresh] {
                if (host.operation == operation && host.busy_until > now_) {
                    host.busy_until = 0;
                    decide(host, fresh);
                }
            });
        });
    }

    /* Sends a compare-and-swap on the version that `next` replaces. It can
       arrive late, and its answer can get lost. */
    void swap(Host &host, const Change &next, Micros extra = 0)
    {
        int operation = ++host.operation;
        int life = host.life;
        host.busy_until = now_ + kStoreTimeout;
        if (cut_until_[{&host, nullptr}] <= now_) {
            at(arrival() + extra, [this, &host, operation, life, next] {
                apply(host, operation, life, next);
            });
        }
    }

    void apply(Host &host, int operation, int life, const Change &next)
    {
        bool done = current_->version + 1 == next->version;
        if (now_ < outage_until_) {
            counts["writes in an outage"]++;
            if (fails(50)) { /* applied when the store is back */
                at(outage_until_, [this, &host, operation, life, next] {
                    apply(host, operation, life, next);
                });
            }
            return;
        }
        if (done) {
            commit(host, next);
        }
        if (fails(10)) {
            counts["lost store answers"]++;
            return;
        }
        at_host(host, life, arrival(), [this, &host, operation, done, next] {
            host.busy_until =
                host.operation == operation ? 0 : host.busy_until;
            learn(host, done ? Record(next) : nullptr);
            for (Host &other : hosts_) {
                send(host, other, [] {});
            }
        });
    }

    /* Checks that only its owner, or its removal, takes a partition away, and
       that no valid member is removed. */
    void commit(Host &writer, const Record &next)
    {
        const AprPartitionEntry_t *before = current_->services[0].partitions;
        const AprPartitionEntry_t *after = next->services[0].partitions;
        for (Host &host : hosts_) {
            AprMember_t member = member_of(current_, host);
            bool removed = member_of(next, host) == APR_NO_MEMBER;
            if (member != APR_NO_MEMBER && removed) {
                counts["removals"]++;
                if (host.up && AprLease_Valid(host.lease, clock(host)) &&
                    current_->members[member].incarnation ==
                        host.incarnation) {
                    violation = "valid member removed";
                }
            }
            for (int i = 0; i < kPartitions; i++) {
                if (member != APR_NO_MEMBER && !removed && &host != &writer &&
                    before[i].owner == member && after[i].owner != member) {
                    violation = "assignment lost";
                }
            }
        }
        if (!AprRecordCheck_All(next.get())) {
            violation = "inconsistent record";
        }
        current_ = next;
        for (Host &host : hosts_) { /* the store's watch */
            if (cut_until_[{&host, nullptr}] <= now_ && !fails(50)) {
                at_host(host, -1, arrival(),
                        [this, &host, next] { learn(host, next); });
            }
        }
    }

    /* One decision of a host from a fresh read. */
    virtual void decide(Host &host, const Record &fresh) = 0;

    int owners_of(int partition) const
    {
        int count = 0;
        for (const Host &host : hosts_) {
            if (host.up && host.known && !host.held[partition] &&
                AprLease_Valid(host.lease, clock(host))) {
                count += host.known->services[0].partitions[partition].owner ==
                         member_of(host.known, host);
            }
        }
        return count;
    }

    /* Every partition is served again, unless a lost member without witnesses
       waits for an operator. */
    void check_recovery()
    {
        for (const Host &host : hosts_) {
            AprMember_t member = member_of(current_, host);
            if (member != APR_NO_MEMBER &&
                current_->members[member].witness_count == 0 &&
                current_->members[member].incarnation != host.incarnation) {
                counts["left to an operator"]++;
                return;
            }
        }
        for (int i = 0; i < kPartitions; i++) {
            if (owners_of(i) == 0) {
                violation = "partition without a valid owner";
            }
        }
    }

    std::mt19937_64 random_;
    Focus focus_;
    int activity_ = int(uniform(0, 2));  /* percentage of ticks with a move */
    int no_pull_ = int(uniform(10, 80)); /* percentage of messages */
    Micros fault_gap_ = uniform(1, 4) * 600 * kMs;
    Micros now_ = 0;
    uint64_t sequence_ = 0;
    std::priority_queue<Event> queue_;
    std::vector<Host> hosts_;
    Record current_; /* the value in the store */
    Micros outage_until_ = 0;
    std::map<std::pair<const Host *, const Host *>, Micros> cut_until_;
};

#endif
