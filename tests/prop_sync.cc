#include <rapidcheck.h>

#include "tests/sync_fixture.h"
#include "tests/sync_doubles.h"

namespace {

constexpr int kGroup = 1000; /* hashes of one group exclude each other */
constexpr int kFaultsMs = 5000;
constexpr int kLateMs = 2500; /* the latest delayed write or message */
constexpr int kSpreadMs = 5000;
constexpr char kService[] = "sync";
const char *const kConfigs[] = {"desk", "bench"};

/* One queued change: binds `hash` unless its group has another one. */
struct Change {
    class Model *model;
    int process;
    int life;
    uint64_t hash;
    int ends = 0;
    int result = 0;
    bool cancelled = false;
    bool bound_at_end = false;
};

int apply_change(AprCore_t *, AprRecord_t *record, void *argument);
void end_change(AprCore_t *, int result, void *argument);

class Model {
  public:
    Model(uint64_t seed, bool store_back)
        : store_back_(store_back), rare_(seed / 4 % 2 == 1),
          cell(seed, 1 + int(seed % 3))
    {
        cell.loss_percent = rare_ ? 60 : 15;
        g_random_set_seed(guint32(seed));
        cell.on_tick = [this] { step(); };
    }

    std::string run()
    {
        cell.run_until(kFaultsMs);
        cell.failing = false;
        cell.store.down = !store_back_;
        for (Process &process : cell.processes) {
            if (process.core == nullptr) {
                cell.start(process);
            }
        }
        cell.run_until(kFaultsMs + kLateMs + kSpreadMs - 1000);
        uint64_t newest = newest_version();
        cell.run_until(kFaultsMs + kLateMs + kSpreadMs);
        check_spread(newest);
        check_changes();
        return violation_;
    }

    void fail(const std::string &what)
    {
        if (violation_.empty()) {
            violation_ = what;
        }
    }

    Cell &of()
    {
        return cell;
    }

    std::map<std::string, long> counts;

  private:
    void step()
    {
        for (Process &process : cell.processes) {
            if (process.core != nullptr) {
                watch_forward(process);
                keep_backend(process);
            }
        }
        if (!cell.failing) {
            return;
        }
        if (cell.chance(8)) {
            queue_change(cell.processes[pick()]);
        }
        if (cell.chance(8) && !changes_.empty()) {
            cancel(*changes_[size_t(
                cell.uniform(0, int64_t(changes_.size()) - 1))]);
        }
        if (cell.chance(rare_ ? 1 : 3) && !cell.store.down) {
            publish(kConfigs[cell.uniform(0, 1)]);
        }
        if (cell.uniform(1, 1000) <= 5) {
            counts["store outages"]++;
            cell.store.down = true;
            cell.after(cell.uniform(50, 1000), [this] {
                cell.store.down = !cell.failing && !store_back_;
            });
        }
        if (cell.uniform(1, 1000) <= (rare_ ? 1 : 4)) {
            restart(cell.processes[pick()]);
        }
    }

    size_t pick()
    {
        return size_t(cell.uniform(0, int64_t(cell.processes.size()) - 1));
    }

    void queue_change(Process &process)
    {
        uint64_t group = uint64_t(cell.uniform(1, APR_HOT_SLOTS - 4));
        if (process.core == nullptr) {
            return;
        }
        counts["changes"]++;
        changes_.push_back(std::make_unique<Change>());
        Change &change = *changes_.back();
        change.model = this;
        change.process = process.index;
        change.life = process.life;
        change.hash = group * kGroup * kGroup + changes_.size();
        AprRecordSync_Change(process.core, apply_change, end_change, &change);
    }

    void cancel(Change &change)
    {
        Process &process = cell.processes[size_t(change.process)];
        if (process.life == change.life && process.core != nullptr &&
            change.ends == 0 && !change.cancelled &&
            AprRecordSync_Cancel(process.core, &change)) {
            counts["cancelled changes"]++;
            change.cancelled = true;
        }
    }

    void publish(const char *service)
    {
        AprServiceConfig_t config = {};
        g_strlcpy(config.service, service, sizeof(config.service));
        config.generation = ++cell.store.generation;
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
        cell.store.configs[service] = {config.generation, text};
        free(text);
        counts["published generations"]++;
    }

    void restart(Process &process)
    {
        if (process.core == nullptr) {
            return;
        }
        counts["restarts"]++;
        cell.stop(process);
        cell.after(cell.uniform(10, 500), [this, &process] {
            if (process.core == nullptr) {
                cell.start(process);
            }
        });
    }

    /* Offers of a service come and go with its backend server. */
    void keep_backend(Process &process)
    {
        int index = AprCore_AddService(process.core, kConfigs[0]);
        AprLocalBackend_t &backend = process.core->services[index]->backend;
        backend.announced_at = AprCore_Now(process.core);
        if (!backend.alive || (cell.failing && cell.chance(1))) {
            backend.alive = !backend.alive;
        }
    }

    void watch_forward(Process &process)
    {
        AprCore_t *core = process.core;
        if (core->record->version < process.version) {
            fail("the record went back");
        }
        process.version = core->record->version;
        for (int i = 0; i < core->service_count; i++) {
            const AprServiceConfig_t &config = core->services[i]->config;
            uint64_t &known = process.known[config.service];
            if (config.generation < known) {
                fail("a configuration went back");
            }
            known = config.generation;
        }
    }

    /* With the store down, the newest is what a running process has. */
    uint64_t newest_version() const
    {
        uint64_t newest = store_back_ ? cell.store.version : 0;
        for (const Process &process : cell.processes) {
            newest = std::max(newest, process.core->record->version);
        }
        return newest;
    }

    uint64_t newest_generation(const char *service)
    {
        uint64_t newest = store_back_ ? cell.store.configs[service].first : 0;
        for (Process &process : cell.processes) {
            newest = std::max(newest, process.known[service]);
        }
        return newest;
    }

    void check_spread(uint64_t newest)
    {
        for (Process &process : cell.processes) {
            if (process.core->record->version < newest) {
                fail("a process lacks the newest record");
            }
            for (const char *service : kConfigs) {
                if (process.known[service] < newest_generation(service)) {
                    fail("a process lacks the newest configuration");
                }
            }
        }
    }

    void check_changes()
    {
        for (const auto &change : changes_) {
            const Process &process = cell.processes[size_t(change->process)];
            bool bound = cell.store.bound.count(change->hash) > 0;
            if (change->ends > 1 || (change->ends > 0 && change->cancelled)) {
                fail("a change ended twice");
            }
            if (change->cancelled && bound) {
                fail("a cancelled change took effect");
            }
            if (change->ends > 0 && change->result != APR_OK && bound) {
                fail("a change that failed took effect");
            }
            if (change->ends > 0 && change->result == APR_OK &&
                !change->bound_at_end) {
                fail("a change ended well without effect");
            }
            if (change->ends == 0 && !change->cancelled && store_back_ &&
                process.life == change->life) {
                fail("a change never ended");
            }
        }
    }

    bool store_back_;
    bool rare_; /* changes and restarts are few, lost messages many */
    std::string violation_;
    std::vector<std::unique_ptr<Change>> changes_;
    Cell cell;
};

int
apply_change(AprCore_t *, AprRecord_t *record, void *argument)
{
    const Change *change = static_cast<Change *>(argument);
    int service = AprRecord_FindService(record, kService);
    int partition;
    if (service < 0) {
        service = AprRecord_AddService(record, kService);
    }
    if (service < 0) {
        return service;
    }
    const AprServiceTable_t &table = record->services[service];
    for (int i = 0; i < APR_HOT_SLOTS; i++) {
        if (table.hot_used[i] && table.hot_hash[i] == change->hash) {
            return APR_E_EXISTS;
        }
        if (table.hot_used[i] && table.hot_hash[i] / kGroup / kGroup ==
                                     change->hash / kGroup / kGroup) {
            return APR_E_STALE;
        }
    }
    return AprRecord_BindHotSlot(record, service, change->hash, &partition);
}

void
end_change(AprCore_t *, int result, void *argument)
{
    Change *change = static_cast<Change *>(argument);
    change->ends++;
    change->result = result;
    change->bound_at_end =
        change->model->of().store.bound.count(change->hash) > 0;
}

struct Mutant {
    const char *name;
    bool *enabled;
    const char *expected;
    bool store_down; /* in the end; else in a quarter of the runs */
};

constexpr uint64_t kMutantSeeds = 500;

/* Two processes are the fewest of which one can fail to tell the other. */
uint64_t
seed_of(const Mutant &mutant, uint64_t seed)
{
    return mutant.store_down ? seed * 3 + 1 : seed;
}

bool
with_store(const Mutant &mutant, uint64_t seed)
{
    return !mutant.store_down && seed % 4 != 0;
}

/* Runs the property without one rule; it must fail in the expected way, on a
   seed that passes with the rule. */
bool
mutant_is_detected(const Mutant &mutant)
{
    bool detected = false;
    uint64_t seed = 0;
    while (!detected && seed < kMutantSeeds) {
        seed++;
        *mutant.enabled = false;
        detected =
            Model(seed_of(mutant, seed), with_store(mutant, seed)).run() ==
            mutant.expected;
        *mutant.enabled = true;
        detected =
            detected && Model(seed_of(mutant, seed), with_store(mutant, seed))
                            .run()
                            .empty();
    }
    printf("mutant without %s: %s after %d seeds\n", mutant.name,
           detected ? mutant.expected : "SURVIVED", int(seed));
    return detected;
}

} // namespace

/* Seeds that once violated a check, each with whether the store comes back.
   186619: a record that named only the process's own earlier incarnation left
   it without a link to anybody. */
static bool
known_cases_hold()
{
    const std::pair<uint64_t, bool> known[] = {{186619, false}};
    bool hold = true;

    for (const auto &one : known) {
        std::string violation = Model(one.first, one.second).run();

        if (!violation.empty()) {
            printf("known seed %llu store_back %d: %s\n",
                   static_cast<unsigned long long>(one.first), one.second,
                   violation.c_str());
            hold = false;
        }
    }
    return hold;
}

int
main()
{
    const Mutant mutants[] = {
        {"record_forward", &apr_sync_rules.record_forward,
         "the record went back", false},
        {"config_forward", &apr_sync_rules.config_forward,
         "a configuration went back", false},
        {"whole_digest", &apr_sync_rules.whole_digest,
         "a process lacks the newest configuration", false},
        {"settle_unknown", &apr_sync_rules.settle_unknown,
         "a change that failed took effect", false},
        {"no_late_cancel", &apr_sync_rules.no_late_cancel,
         "a cancelled change took effect", false},
        {"keep_waiting", &apr_sync_rules.keep_waiting, "a change never ended",
         false},
        {"only_applied", &apr_sync_rules.only_applied,
         "a change ended well without effect", false},
        {"ask_outside", &apr_sync_rules.ask_outside,
         "a process lacks the newest record", false},
        {"tell_outside", &apr_sync_rules.tell_outside,
         "a process lacks the newest configuration", true},
    };
    std::map<std::string, long> totals;
    long cases = 0;
    bool passed = rc::check(
        "record changes end once and truly, record and configuration never "
        "go back and reach every process within 5 s of the failures",
        [&] {
            auto seed = *rc::gen::noShrink(rc::gen::arbitrary<uint64_t>());
            auto store_back = *rc::gen::noShrink(rc::gen::inRange(0, 4)) != 0;
            Model model(seed, store_back);
            std::string violation = model.run();
            for (const auto &count : model.counts) {
                totals[count.first] += count.second;
            }
            cases++;
            if (!violation.empty()) {
                printf("seed %llu store_back %d: %s\n",
                       static_cast<unsigned long long>(seed), store_back,
                       violation.c_str());
            }
            RC_ASSERT(violation == "");
        });
    printf("proof|sync|%s|%ld|", passed ? "held" : "VIOLATED", cases);
    for (const auto &total : totals) {
        printf("%ld %s, ", total.second, total.first.c_str());
    }
    printf("\n");
    passed = known_cases_hold() && passed;
    for (const Mutant &mutant : mutants) {
        passed = mutant_is_detected(mutant) && passed;
    }
    return passed ? 0 : 1;
}
