#include <rapidcheck.h>

#include "tests/sync_fixture.h"
#include "tests/sync_doubles.h"

namespace {

/* The group of a hash is hash / kGroupFactor / kGroupFactor. The record binds
   at most one hash of a group. */
constexpr int kGroupFactor = 1000;
/* Simulated time at which the failures end. */
constexpr int kFaultsEndMs = 5000;
/* Covers every write and message that a failure delayed. */
constexpr int kMaxLateEffectMs = 2500;
constexpr int kConvergenceMs = 5000;
constexpr char kHotSlotService[] = "sync";
const char *const kPublishedServices[] = {"desk", "bench"};

/* A change of the record that binds `hash` to a hot slot, unless another hash
   of its group is bound. */
struct Change {
    class Model *model;
    int process_index;
    int epoch;
    uint64_t hash;
    int end_count = 0;
    int result = 0;
    bool cancelled = false;
    bool bound_at_end = false;
};

int apply_change(AprCore_t *, AprRecord_t *record, void *argument);
void on_change_end(AprCore_t *, int result, void *argument);

class Model {
  public:
    Model(uint64_t seed, bool store_recovers)
        : store_recovers_(store_recovers), lossy_network_(seed / 4 % 2 == 1),
          cell_(seed, 1 + int(seed % 3))
    {
        cell_.message_loss_percent = lossy_network_ ? 60 : 15;
        g_random_set_seed(guint32(seed));
        cell_.on_tick = [this] { on_tick_end(); };
    }

    std::string run()
    {
        cell_.run_until(kFaultsEndMs);
        cell_.inject_failures = false;
        cell_.store.down = !store_recovers_;
        for (Process &process : cell_.processes) {
            if (process.core == nullptr) {
                cell_.start_process(process);
            }
        }
        cell_.run_until(kFaultsEndMs + kMaxLateEffectMs + kConvergenceMs -
                        1000);
        uint64_t newest = newest_record_version();
        cell_.run_until(kFaultsEndMs + kMaxLateEffectMs + kConvergenceMs);
        check_convergence(newest);
        check_change_results();
        return violation_;
    }

    void report_violation(const std::string &what)
    {
        if (violation_.empty()) {
            violation_ = what;
        }
    }

    Cell &cell()
    {
        return cell_;
    }

    std::map<std::string, long> event_counts;

  private:
    void on_tick_end()
    {
        for (Process &process : cell_.processes) {
            if (process.core != nullptr) {
                check_versions(process);
                refresh_backend(process);
            }
        }
        if (!cell_.inject_failures) {
            return;
        }
        if (cell_.random_chance(8)) {
            queue_random_change(cell_.processes[random_process_index()]);
        }
        if (cell_.random_chance(8) && !changes_.empty()) {
            cancel_change(*changes_[size_t(
                cell_.random_uniform(0, int64_t(changes_.size()) - 1))]);
        }
        if (cell_.random_chance(lossy_network_ ? 1 : 3) && !cell_.store.down) {
            publish_config(kPublishedServices[cell_.random_uniform(0, 1)]);
        }
        if (cell_.random_uniform(1, 1000) <= 5) {
            event_counts["store outages"]++;
            cell_.store.down = true;
            cell_.schedule(cell_.random_uniform(50, 1000), [this] {
                cell_.store.down = !cell_.inject_failures && !store_recovers_;
            });
        }
        if (cell_.random_uniform(1, 1000) <= (lossy_network_ ? 1 : 4)) {
            restart_process(cell_.processes[random_process_index()]);
        }
    }

    size_t random_process_index()
    {
        return size_t(
            cell_.random_uniform(0, int64_t(cell_.processes.size()) - 1));
    }

    void queue_random_change(Process &process)
    {
        uint64_t group = uint64_t(cell_.random_uniform(1, APR_HOT_SLOTS - 4));
        if (process.core == nullptr) {
            return;
        }
        event_counts["changes"]++;
        changes_.push_back(std::make_unique<Change>());
        Change &change = *changes_.back();
        change.model = this;
        change.process_index = process.index;
        change.epoch = process.epoch;
        change.hash = group * kGroupFactor * kGroupFactor + changes_.size();
        AprRecordSync_QueueChange(process.core, apply_change, on_change_end,
                                  &change);
    }

    void cancel_change(Change &change)
    {
        Process &process = cell_.processes[size_t(change.process_index)];
        if (process.epoch == change.epoch && process.core != nullptr &&
            change.end_count == 0 && !change.cancelled &&
            AprRecordSync_CancelChange(process.core, &change)) {
            event_counts["cancelled changes"]++;
            change.cancelled = true;
        }
    }

    void publish_config(const char *service)
    {
        AprServiceConfig_t config = {};
        g_strlcpy(config.service, service, sizeof(config.service));
        config.generation = ++cell_.store.config_generation;
        g_strlcpy(config.published_by, "test@host",
                  sizeof(config.published_by));
        config.pattern_count = 1;
        g_strlcpy(config.patterns[0], "job/*", sizeof(config.patterns[0]));
        config.rank_count = 1;
        g_strlcpy(config.ranks[0].name, "urgent",
                  sizeof(config.ranks[0].name));
        config.ranks[0].spec = {50, 10};
        config.move_cost = 0.5;
        config.caller_rate = config.service_rate = 1000;
        config.queue = 16;
        config.body_bytes = 1024;
        config.hot_share = 0.2;
        char *text = AprServiceConfig_ToJson(&config);
        cell_.store.configs[service] = {config.generation, text};
        free(text);
        event_counts["published generations"]++;
    }

    void restart_process(Process &process)
    {
        if (process.core == nullptr) {
            return;
        }
        event_counts["restarts"]++;
        cell_.stop_process(process);
        cell_.schedule(cell_.random_uniform(10, 500), [this, &process] {
            if (process.core == nullptr) {
                cell_.start_process(process);
            }
        });
    }

    /* Offers of a service come and go with its backend server. */
    void refresh_backend(Process &process)
    {
        int index = AprCore_AddService(process.core, kPublishedServices[0]);
        AprLocalBackend_t &backend = process.core->services[index]->backend;
        backend.announced_at = AprCore_Now(process.core);
        if (!backend.alive ||
            (cell_.inject_failures && cell_.random_chance(1))) {
            backend.alive = !backend.alive;
        }
    }

    void check_versions(Process &process)
    {
        AprCore_t *core = process.core;
        if (core->record->version < process.record_version) {
            report_violation("the record went back");
        }
        process.record_version = core->record->version;
        for (int i = 0; i < core->service_count; i++) {
            const AprServiceConfig_t &config = core->services[i]->config;
            uint64_t &last_generation =
                process.config_generations[config.service];
            if (config.generation < last_generation) {
                report_violation("a configuration went back");
            }
            last_generation = config.generation;
        }
    }

    /* Highest version that must reach every process. While the store stays
       down, a version that only the store has does not count. */
    uint64_t newest_record_version() const
    {
        uint64_t newest = store_recovers_ ? cell_.store.record_version : 0;
        for (const Process &process : cell_.processes) {
            newest = std::max(newest, process.core->record->version);
        }
        return newest;
    }

    uint64_t newest_generation(const char *service)
    {
        uint64_t newest =
            store_recovers_ ? cell_.store.configs[service].first : 0;
        for (Process &process : cell_.processes) {
            newest = std::max(newest, process.config_generations[service]);
        }
        return newest;
    }

    void check_convergence(uint64_t newest)
    {
        for (Process &process : cell_.processes) {
            if (process.core->record->version < newest) {
                report_violation("a process lacks the newest record");
            }
            for (const char *service : kPublishedServices) {
                if (process.config_generations[service] <
                    newest_generation(service)) {
                    report_violation(
                        "a process lacks the newest configuration");
                }
            }
        }
    }

    void check_change_results()
    {
        for (const auto &change : changes_) {
            const Process &process =
                cell_.processes[size_t(change->process_index)];
            bool bound = cell_.store.bound_hashes.count(change->hash) > 0;
            if (change->end_count > 1 ||
                (change->end_count > 0 && change->cancelled)) {
                report_violation("a change ended twice");
            }
            if (change->cancelled && bound) {
                report_violation("a cancelled change took effect");
            }
            if (change->end_count > 0 && change->result != APR_OK && bound) {
                report_violation("a change that failed took effect");
            }
            if (change->end_count > 0 && change->result == APR_OK &&
                !change->bound_at_end) {
                report_violation("a change ended well without effect");
            }
            if (change->end_count == 0 && !change->cancelled &&
                store_recovers_ && process.epoch == change->epoch) {
                report_violation("a change never ended");
            }
        }
    }

    bool store_recovers_;
    /* Loses 60 % of the messages instead of 15 %; publications and restarts
       are rarer. */
    bool lossy_network_;
    std::string violation_;
    std::vector<std::unique_ptr<Change>> changes_;
    Cell cell_;
};

int
apply_change(AprCore_t *, AprRecord_t *record, void *argument)
{
    const Change *change = static_cast<Change *>(argument);
    int service = AprRecord_FindService(record, kHotSlotService);
    int partition;
    if (service < 0) {
        service = AprRecord_AddService(record, kHotSlotService);
    }
    if (service < 0) {
        return service;
    }
    const AprServiceTable_t &table = record->services[service];
    for (int i = 0; i < APR_HOT_SLOTS; i++) {
        if (table.hot_slot_used[i] &&
            table.hot_slot_key_hash[i] == change->hash) {
            return APR_E_EXISTS;
        }
        if (table.hot_slot_used[i] &&
            table.hot_slot_key_hash[i] / kGroupFactor / kGroupFactor ==
                change->hash / kGroupFactor / kGroupFactor) {
            return APR_E_STALE;
        }
    }
    return AprRecord_BindHotSlot(record, service, change->hash, &partition);
}

void
on_change_end(AprCore_t *, int result, void *argument)
{
    Change *change = static_cast<Change *>(argument);
    change->end_count++;
    change->result = result;
    change->bound_at_end =
        change->model->cell().store.bound_hashes.count(change->hash) > 0;
}

struct Mutant {
    const char *name;
    /* The rules that are disabled. A second one is given where it repairs the
       consequences of the first. */
    std::vector<bool *> rules;
    const char *expected;
    /* Keeps the store down after the failures in all runs; if false, in a
       quarter of the runs. */
    bool store_stays_down;
};

constexpr uint64_t kMutantSeeds = 500;

/* Returns a seed that gives the cell two processes if the store stays down:
   the fewest of which one can fail to send its state to the other. */
uint64_t
mutant_seed(const Mutant &mutant, uint64_t seed)
{
    return mutant.store_stays_down ? seed * 3 + 1 : seed;
}

bool
mutant_store_recovers(const Mutant &mutant, uint64_t seed)
{
    return !mutant.store_stays_down && seed % 4 != 0;
}

/* Runs the property with one rule disabled until a seed fails with the
   expected violation and passes with the rule enabled. Returns false if none
   of kMutantSeeds seeds does. */
bool
mutant_is_detected(const Mutant &mutant)
{
    bool detected = false;
    uint64_t seed = 0;
    while (!detected && seed < kMutantSeeds) {
        seed++;
        for (bool *rule : mutant.rules) {
            *rule = false;
        }
        detected = Model(mutant_seed(mutant, seed),
                         mutant_store_recovers(mutant, seed))
                       .run() == mutant.expected;
        for (bool *rule : mutant.rules) {
            *rule = true;
        }
        detected = detected && Model(mutant_seed(mutant, seed),
                                     mutant_store_recovers(mutant, seed))
                                   .run()
                                   .empty();
    }
    printf("mutant without %s: %s after %d seeds\n", mutant.name,
           detected ? mutant.expected : "SURVIVED", int(seed));
    return detected;
}

} // namespace

/* Regression seeds, each with whether the store recovers. 186619 guards
   against a process that opens no link, because the record names no member
   but an earlier incarnation of the process itself. */
static bool
regression_seeds_hold()
{
    const std::pair<uint64_t, bool> regressions[] = {{186619, false},
                                                     {325733008405, false}};
    bool all_hold = true;

    for (const auto &one : regressions) {
        std::string violation = Model(one.first, one.second).run();

        if (!violation.empty()) {
            printf("regression seed %llu store_recovers %d: %s\n",
                   static_cast<unsigned long long>(one.first), one.second,
                   violation.c_str());
            all_hold = false;
        }
    }
    return all_hold;
}

int
main()
{
    const Mutant mutants[] = {
        {"adopt_only_newer_record",
         {&apr_sync_rules.adopt_only_newer_record},
         "the record went back",
         false},
        {"apply_only_newer_config",
         {&apr_sync_rules.apply_only_newer_config},
         "a configuration went back",
         false},
        {"digest_all_services",
         {&apr_sync_rules.digest_all_services},
         "a process lacks the newest configuration",
         false},
        {"keep_unconfirmed_changes",
         {&apr_sync_rules.keep_unconfirmed_changes},
         "a change that failed took effect",
         false},
        {"refuse_unconfirmed_cancel",
         {&apr_sync_rules.refuse_unconfirmed_cancel},
         "a cancelled change took effect",
         false},
        {"keep_unapplied_changes",
         {&apr_sync_rules.keep_unapplied_changes},
         "a change never ended",
         false},
        {"finish_only_applied_changes",
         {&apr_sync_rules.finish_only_applied_changes},
         "a change ended well without effect",
         false},
        {"query_as_non_member",
         {&apr_sync_rules.query_as_non_member},
         "a process lacks the newest record",
         false},
        {"send_config_as_non_member",
         {&apr_sync_rules.send_config_as_non_member,
          &apr_sync_rules.reopen_seeds},
         "a process lacks the newest configuration",
         true},
        {"reopen_seeds",
         {&apr_sync_rules.reopen_seeds},
         "a process lacks the newest record",
         true},
    };
    std::map<std::string, long> totals;
    long cases = 0;
    bool passed = rc::check(
        "a record change ends once with its true result; versions of record "
        "and configuration never decrease and reach every process within 5 s "
        "of the last failure",
        [&] {
            auto seed = *rc::gen::noShrink(rc::gen::arbitrary<uint64_t>());
            auto store_recovers =
                *rc::gen::noShrink(rc::gen::inRange(0, 4)) != 0;
            Model model(seed, store_recovers);
            std::string violation = model.run();
            for (const auto &count : model.event_counts) {
                totals[count.first] += count.second;
            }
            cases++;
            if (!violation.empty()) {
                printf("seed %llu store_recovers %d: %s\n",
                       static_cast<unsigned long long>(seed), store_recovers,
                       violation.c_str());
            }
            RC_ASSERT(violation == "");
        });
    printf("proof|sync|%s|%ld|", passed ? "held" : "VIOLATED", cases);
    for (const auto &total : totals) {
        printf("%ld %s, ", total.second, total.first.c_str());
    }
    printf("\n");
    passed = regression_seeds_hold() && passed;
    for (const Mutant &mutant : mutants) {
        passed = mutant_is_detected(mutant) && passed;
    }
    return passed ? 0 : 1;
}
