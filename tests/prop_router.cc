/* Tests router, owner side, handover and membership of three processes with
   random interleavings of callers' requests, failures and record changes. */
#include <rapidcheck.h>

#include <sys/socket.h>
#include <unistd.h>

#include "core_doubles.h"
#include "core_fixture.h"

extern "C" {
#include "internal/routing_rules.h"
}

namespace {

constexpr int64_t kStartMs = 3000;   /* time of the first request */
constexpr int64_t kTrafficMs = 5000; /* duration of requests and failures */
constexpr int64_t kSettleMs = 4000;  /* time for all requests to complete */
constexpr int64_t kMaxDispatchAfterDrainMs = 2000;
constexpr double kRetryBudgetCap = 10;
constexpr double kRetryBudgetPerRequest = 0.1;
/* Seed of a run in which a process is paused with a first attempt, of which a
   repeat runs at an owner that is lost meanwhile. */
constexpr uint64_t kPausedEntrySeed = 3252540918;

/* Faults of the test doubles. Each is a mutant that a check must detect. */
enum class Fault {
    none,
    wrong_body,
    false_not_run,
    lost_completion,
    duplicate_completion
};

/* A request of a caller. `name` is sent in the `caller` field, which reaches
   the backend server; `content` is the body. A repeat has the content of an
   earlier attempt. */
struct Attempt {
    std::string name;
    std::string content;
    int entry = 0;
    bool idempotent = false;
    int completions = 0;
    int runs = 0;
    bool not_run = false;
    AprEntryRequest_t *request = nullptr;
};

/* The shard key and idempotency key that belong to a request's body. */
struct Content {
    std::string key;
    uint8_t idempotency_key[APR_IDEMPOTENCY_KEY_SIZE];
    int runs = 0;
};

class Model {
  public:
    Model(uint64_t seed, Fault fault) : world(seed), fault_(fault)
    {
        int pair[2];
        RC_ASSERT(socketpair(AF_UNIX, SOCK_STREAM, 0, pair) == 0);
        ::close(pair[0]);
        disconnected_socket_ = pair[1];
        world.on_submit = [this](int node, AprBackendCall_t *call) {
            on_backend_call(node, call);
        };
        world.on_cancel = [this](int, uint64_t) {
            world.event_counts["cancelled calls"]++;
        };
        world.on_complete = [this](AprEntryRequest_t *request) {
            on_request_completed(request);
        };
    }

    ~Model()
    {
        ::close(disconnected_socket_);
        for (Attempt &attempt : attempts_) {
            free_entry_request(attempt.request);
        }
    }

    std::string run()
    {
        while (world.now_ms < kStartMs) {
            announce_backends();
            world.advance_tick();
        }
        while (world.now_ms < kStartMs + kTrafficMs && violation_.empty()) {
            announce_backends();
            inject_random_failure();
            for (int64_t i = world.uniform(0, 1); i > 0; i--) {
                send_request();
            }
            world.advance_tick();
        }
        settle();
        return violation_;
    }

    World world;
    long outcome_counts[APR_MOVED + 1] = {};

  private:
    void report_violation(const std::string &what)
    {
        if (violation_.empty()) {
            violation_ = what;
        }
    }

    void announce_backends()
    {
        for (int i = 0; world.now_ms % 500 == 0 && i < World::kNodes; i++) {
            if (!world.nodes[i].frozen) {
                world.announce_backend(i);
            }
        }
    }

    void settle()
    {
        int64_t end = world.now_ms + kSettleMs;
        world.store_down = false;
        world.loss_percent = unknown_percent_ = 0;
        for (Node &node : world.nodes) {
            node.frozen = false;
        }
        while (world.now_ms < end && violation_.empty()) {
            announce_backends();
            world.advance_tick();
        }
        for (const Attempt &attempt : attempts_) {
            if (attempt.completions != 1) {
                report_violation("request was not completed");
            }
        }
    }

    /* Injects at most one random failure, move or stop. Some failures persist
       until a later draw or timeout, so that a request can meet several. */
    void inject_random_failure()
    {
        int node = int(world.uniform(0, World::kNodes - 1));
        switch (world.uniform(0, 299)) {
        case 0:
            if (drain_requested_at_.count(node) == 0) {
                world.nodes[node].frozen = true;
                resume_at_[node] = world.now_ms + world.uniform(50, 2500);
                world.event_counts["frozen processes"]++;
            }
            break;
        case 1:
            world.store_down = !world.store_down;
            world.event_counts["store outages"] += world.store_down;
            break;
        case 2:
            world.loss_percent = world.chance(50) ? 0 : 10;
            break;
        case 3:
            unknown_percent_ = world.chance(50) ? 3 : 60;
            break;
        case 4:
            if (drain_requested_at_.empty() && world.chance(30)) {
                request_drain(node);
            }
            break;
        case 5:
        case 6:
        case 7:
            world.break_connection(
                int(world.uniform(0, int64_t(world.connections.size()) - 1)));
            break;
        case 8:
        case 9:
        case 10:
            start_random_move(node);
            break;
        }
        for (auto &resume : resume_at_) {
            if (world.now_ms >= resume.second) {
                world.nodes[resume.first].frozen = false;
            }
        }
    }

    void request_drain(int node)
    {
        if (!world.nodes[node].frozen) {
            AprCore_RequestDrain(world.nodes[node].core);
            drain_requested_at_[node] = world.now_ms;
            world.event_counts["planned stops"]++;
        }
    }

    void start_random_move(int node)
    {
        AprCore_t *core = world.nodes[node].core;
        int service = AprCore_FindService(core, "desk");
        uint16_t partition = find_partition(core, choose_key());
        AprMember_t to = AprRecord_FindHost(
            core->record, std::string(1, char('a' + (node + 1) % 3)).c_str());
        if (!world.nodes[node].frozen && to != APR_NO_MEMBER &&
            AprHandover_Start(core, service, to, &partition, 1) == APR_OK) {
            world.event_counts["planned moves"]++;
        }
    }

    std::string choose_key()
    {
        return "job/" + std::to_string(world.uniform(0, 3));
    }

    static uint16_t find_partition(const AprCore_t *core,
                                   const std::string &key)
    {
        int service = AprRecord_FindService(core->record, "desk");
        uint64_t hash = AprKey_Hash("desk", key.c_str(), key.size());
        return service < 0 ? 0
                           : uint16_t(AprRecord_FindPartition(core->record,
                                                              service, hash));
    }

    /* Sends a new request, or repeats an earlier non-idempotent one; a repeat
       isn't marked as a first attempt. */
    void send_request()
    {
        bool idempotent = world.chance(50);
        bool repeat = !idempotent && !repeatable_.empty() && world.chance(30);
        Attempt attempt;
        attempt.name = "r" + std::to_string(attempts_.size());
        attempt.entry = int(world.uniform(0, World::kNodes - 1));
        attempt.idempotent = idempotent;
        attempt.content = repeat ? repeatable_[size_t(world.uniform(
                                       0, int64_t(repeatable_.size()) - 1))]
                                 : "content of " + attempt.name;
        if (!repeat) {
            add_content(attempt.content);
        }
        if (!idempotent && !repeat) {
            repeatable_.push_back(attempt.content);
        }
        world.event_counts[repeat       ? "repeats"
                           : idempotent ? "idempotent requests"
                                        : "other requests"]++;
        attempt.request = new_request(attempt, repeat);
        attempt_indexes_[attempt.name] = attempts_.size();
        earned_retries_[attempt.entry] += kRetryBudgetPerRequest;
        AprEntryRequest_t *request = attempt.request;
        attempts_.push_back(std::move(attempt));
        world.post(attempts_.back().entry, 0,
                   [request](AprCore_t *core, AprMessage_t *) {
                       AprRouter_OnEntryRequest(core, request);
                   });
    }

    void add_content(const std::string &name)
    {
        Content content = {choose_key(), {}, 0};
        int64_t created = 1700000000000 + world.now_ms;
        for (int i = 0; i < 6; i++) {
            content.idempotency_key[i] = uint8_t(created >> (40 - 8 * i));
        }
        for (int i = 6; i < APR_IDEMPOTENCY_KEY_SIZE; i++) {
            content.idempotency_key[i] = uint8_t(world.uniform(0, 255));
        }
        contents_[name] = content;
    }

    AprEntryRequest_t *new_request(const Attempt &attempt, bool repeat)
    {
        AprEntryRequest_t *request = static_cast<AprEntryRequest_t *>(
            calloc(1, sizeof(AprEntryRequest_t)));
        const Content &content = contents_[attempt.content];
        request->socket = world.chance(3) ? disconnected_socket_ : -1;
        request->service = g_strdup("desk");
        request->operation = g_strdup(attempt.idempotent ? "read" : "book");
        request->key = g_strdup(content.key.c_str());
        request->rank_name = g_strdup(world.chance(50) ? "urgent" : "normal");
        request->caller = g_strdup(attempt.name.c_str());
        request->content_type = g_strdup("text/plain");
        request->body = g_strdup(attempt.content.c_str());
        request->body_size = attempt.content.size();
        request->timeout_ms = world.uniform(50, 2000);
        request->first_attempt = !repeat && world.chance(70);
        request->has_idempotency_key = !attempt.idempotent;
        memcpy(request->idempotency_key, content.idempotency_key,
               sizeof(request->idempotency_key));
        return request;
    }

    /* Handles a call to the backend server of a host. */
    void on_backend_call(int node, AprBackendCall_t *call)
    {
        const AprRequestMessage_t &request = call->request->request;
        Attempt &attempt = attempts_[attempt_indexes_.at(request.caller.data)];
        check_dispatch_allowed(node, attempt);
        int percentile = int(world.uniform(1, 100));
        AprOutcomeKind_t outcome = percentile <= 3 ? APR_NOT_RUN
                                   : percentile <= 3 + unknown_percent_
                                       ? APR_UNKNOWN
                                       : APR_ANSWERED;
        bool refused = outcome == APR_NOT_RUN && world.chance(30);
        world.event_counts["backend calls"]++;
        if (outcome != APR_NOT_RUN) {
            count_run(attempt);
        }
        if (fault_ == Fault::false_not_run && world.chance(5)) {
            outcome = APR_NOT_RUN;
        }
        schedule_result(node, call->id, outcome, refused, attempt.content);
        AprBackendCall_Free(call);
    }

    void check_dispatch_allowed(int node, const Attempt &attempt)
    {
        const AprCore_t *core = world.nodes[node].core;
        int service = AprRecord_FindService(core->record, "desk");
        int partition = find_partition(core, contents_[attempt.content].key);
        AprMember_t self = AprCore_FindSelf(core);
        if (!AprLease_IsValid(core->lease, AprCore_Now(core))) {
            report_violation("dispatched after the lease expired");
        }
        if (self == APR_NO_MEMBER ||
            core->record->services[service].partitions[partition].owner !=
                self) {
            report_violation("dispatched without owning the partition");
        }
        auto leaving = drain_requested_at_.find(node);
        if (leaving != drain_requested_at_.end() &&
            world.now_ms > leaving->second + kMaxDispatchAfterDrainMs) {
            report_violation("dispatched 2 s after the request to leave");
        }
    }

    /* Counts a call that ran or may have run, and checks that it may. */
    void count_run(Attempt &attempt)
    {
        attempt.runs++;
        if (attempt.not_run) {
            report_violation("ran after it was refused as not run");
        }
        if (attempt.idempotent) {
            retry_counts_[attempt.entry] += attempt.runs > 1;
            if (retry_counts_[attempt.entry] >
                kRetryBudgetCap + earned_retries_[attempt.entry]) {
                report_violation("more retries than the budget");
            }
        }
        else if (++contents_[attempt.content].runs > 1) {
            report_violation("a non-idempotent request ran twice");
        }
    }

    void schedule_result(int node, uint64_t id, AprOutcomeKind_t outcome,
                         bool refused, std::string content)
    {
        if (fault_ == Fault::wrong_body && world.chance(5)) {
            content = contents_.begin()->first;
        }
        int64_t delay = world.uniform(5, world.chance(10) ? 400 : 40);
        world.post(node, delay, [=](AprCore_t *core, AprMessage_t *) {
            AprBackendResult_t *result =
                static_cast<AprBackendResult_t *>(calloc(1, sizeof(*result)));
            result->id = id;
            result->outcome = outcome;
            result->connection_refused = refused;
            result->service_ms = double(delay);
            if (outcome == APR_ANSWERED) {
                result->status = 200;
                result->content_type = strdup("text/plain");
                result->body = strdup(content.c_str());
                result->body_size = content.size();
            }
            AprOwner_OnBackendResult(core, result);
        });
    }

    void on_request_completed(AprEntryRequest_t *request)
    {
        Attempt &attempt = attempts_[attempt_indexes_.at(request->caller)];
        if (fault_ == Fault::lost_completion && world.chance(2)) {
            return;
        }
        attempt.completions += fault_ == Fault::duplicate_completion ? 2 : 1;
        if (attempt.completions > 1) {
            report_violation("request was completed twice");
        }
        outcome_counts[request->outcome]++;
        if (request->outcome == APR_ANSWERED &&
            attempt.content !=
                std::string(request->response_body, request->response_size)) {
            report_violation("answer of another request");
        }
        if (request->outcome == APR_NOT_RUN) {
            attempt.not_run = true;
            if (attempt.runs > 0) {
                report_violation("refused as not run, but it ran");
            }
        }
    }

    Fault fault_;
    int disconnected_socket_ = -1; /* socket whose other end is closed */
    int unknown_percent_ = 3;
    std::string violation_;
    std::vector<Attempt> attempts_;
    std::vector<std::string> repeatable_;
    std::map<std::string, size_t> attempt_indexes_;
    std::map<std::string, Content> contents_;
    std::map<int, int64_t> drain_requested_at_;
    std::map<int, int64_t> resume_at_;
    std::map<int, int> retry_counts_;
    std::map<int, double> earned_retries_;
};

struct Mutant {
    const char *name;
    Fault fault;
    /* Rules that are disabled. A second one is given where it detects the
       consequences of the first. */
    std::vector<bool *> rules;
    uint64_t first_seed = 1;
};

bool
detect_mutant(const Mutant &mutant)
{
    int seeds = 0;
    std::string violation;
    for (bool *rule : mutant.rules) {
        *rule = false;
    }
    while (violation.empty() && seeds < 400) {
        violation =
            Model(mutant.first_seed + uint64_t(seeds++), mutant.fault).run();
    }
    for (bool *rule : mutant.rules) {
        *rule = true;
    }
    printf("mutant %s: %s after %d seeds\n", mutant.name,
           violation.empty() ? "SURVIVED" : violation.c_str(), seeds);
    return !violation.empty();
}

bool
detect_all_mutants()
{
    AprRoutingRules_t *rules = &apr_routing_rules;
    const Mutant mutants[] = {
        {"answer of another request", Fault::wrong_body, {}},
        {"false not-run", Fault::false_not_run, {}},
        {"lost completion", Fault::lost_completion, {}},
        {"duplicate completion", Fault::duplicate_completion, {}},
        {"not-run after a try that may have run",
         Fault::none,
         {&rules->report_unknown}},
        {"non-idempotent work sent again",
         Fault::none,
         {&rules->check_idempotent, &rules->check_first_attempt}},
        {"retries without budget", Fault::none, {&rules->check_retry_budget}},
        {"dispatch without a lease", Fault::none, {&rules->check_lease}},
        {"dispatch without owning", Fault::none, {&rules->check_ownership}},
        {"dispatch while leaving", Fault::none, {&rules->check_drain}},
        {"repeats keep a freed handle", Fault::none, {&rules->end_duplicates}},
        {"a first attempt held over a loss of the owner",
         Fault::none,
         {&rules->check_first_attempt},
         kPausedEntrySeed},
    };
    bool all = true;
    for (const Mutant &mutant : mutants) {
        all = detect_mutant(mutant) && all;
    }
    return all;
}

bool
regression_seeds_hold()
{
    const uint64_t seeds[] = {kPausedEntrySeed};
    bool all = true;
    for (uint64_t seed : seeds) {
        std::string violation = Model(seed, Fault::none).run();
        if (!violation.empty()) {
            printf("regression seed %llu: %s\n",
                   static_cast<unsigned long long>(seed), violation.c_str());
            all = false;
        }
    }
    return all;
}

} // namespace

int
main()
{
    std::map<std::string, long> totals;
    long cases = 0;
    AprLogLevel_t level;
    AprLog_LevelFromName("error", &level);
    AprLog_Init(level, "", "test");
    bool passed = rc::check(
        "each request ends once with its own answer, not-run did not run, "
        "non-idempotent work runs once, and dispatch is permitted",
        [&] {
            uint64_t seed = *rc::gen::noShrink(rc::gen::arbitrary<uint64_t>());
            Model model(seed, Fault::none);
            std::string violation = model.run();
            const char *names[] = {"answered", "not run", "unknown",
                                   "rejected"};
            for (int i = 0; i < APR_MOVED; i++) {
                model.world.event_counts[names[i]] += model.outcome_counts[i];
            }
            for (const auto &count : model.world.event_counts) {
                totals[count.first] += count.second;
            }
            cases++;
            if (!violation.empty()) {
                fprintf(stderr, "model seed %llu: %s\n",
                        static_cast<unsigned long long>(seed),
                        violation.c_str());
            }
            RC_ASSERT(violation == "");
        });
    printf("proof|router|%s|%ld|", passed ? "held" : "VIOLATED", cases);
    for (const auto &total : totals) {
        printf("%ld %s, ", total.second, total.first.c_str());
    }
    printf("\n");
    passed = regression_seeds_hold() && passed;
    passed = detect_all_mutants() && passed;
    return passed ? 0 : 1;
}
