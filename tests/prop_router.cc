/* Random interleavings of callers' requests, failures and record changes over
   the real router, owner side, handover and membership of three processes. */
#include <rapidcheck.h>

#include <sys/socket.h>
#include <unistd.h>

#include "core_doubles.h"
#include "core_fixture.h"

extern "C" {
#include "internal/routing_rules.h"
}

namespace {

constexpr int64_t kStartMs = 3000;   /* until the first request */
constexpr int64_t kTrafficMs = 5000; /* requests and failures */
constexpr int64_t kSettleMs = 4000;  /* until every request has ended */
constexpr int64_t kDrainBoundMs = 2000;
constexpr double kBudgetCap = 10;
constexpr double kBudgetEarned = 0.1;

/* Faults of the doubles, each a mutant that a check must detect. */
enum class Fault { none, other_body, false_not_run, lost_end, two_ends };

/* One request of a caller. Its name is the `caller` field, which reaches the
   backend; its content is the body, which a repeat shares. */
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
        gone_ = pair[1];
        world.on_submit = [this](int node, AprBackendCall_t *call) {
            submitted(node, call);
        };
        world.on_cancel = [this](int, uint64_t) {
            world.counts["cancelled calls"]++;
        };
        world.on_complete = [this](AprEntryRequest_t *request) {
            completed(request);
        };
    }

    ~Model()
    {
        ::close(gone_);
        for (Attempt &attempt : attempts_) {
            free_entry_request(attempt.request);
        }
    }

    std::string run()
    {
        while (world.now_ms < kStartMs) {
            announce();
            world.step();
        }
        while (world.now_ms < kStartMs + kTrafficMs && violation_.empty()) {
            announce();
            fail_at_random();
            for (int64_t i = world.uniform(0, 1); i > 0; i--) {
                arrive();
            }
            world.step();
        }
        settle();
        return violation_;
    }

    World world;
    long ended[APR_MOVED + 1] = {};

  private:
    void violate(const std::string &what)
    {
        if (violation_.empty()) {
            violation_ = what;
        }
    }

    void announce()
    {
        for (int i = 0; world.now_ms % 500 == 0 && i < World::kNodes; i++) {
            if (!world.nodes[i].frozen) {
                world.announce(i);
            }
        }
    }

    void settle()
    {
        int64_t end = world.now_ms + kSettleMs;
        world.store_down = false;
        world.lost_percent = unknown_percent_ = 0;
        for (Node &node : world.nodes) {
            node.frozen = false;
        }
        while (world.now_ms < end && violation_.empty()) {
            announce();
            world.step();
        }
        for (const Attempt &attempt : attempts_) {
            if (attempt.completions != 1) {
                violate("request without an end");
            }
        }
    }

    /* Failures come in phases, so that some requests meet several. */
    void fail_at_random()
    {
        int node = int(world.uniform(0, World::kNodes - 1));
        switch (world.uniform(0, 299)) {
        case 0:
            if (leaving_at_.count(node) == 0) {
                world.nodes[node].frozen = true;
                thaw_at_[node] = world.now_ms + world.uniform(50, 2500);
                world.counts["frozen processes"]++;
            }
            break;
        case 1:
            world.store_down = !world.store_down;
            world.counts["store outages"] += world.store_down;
            break;
        case 2:
            world.lost_percent = world.chance(50) ? 0 : 10;
            break;
        case 3:
            unknown_percent_ = world.chance(50) ? 3 : 60;
            break;
        case 4:
            if (leaving_at_.empty() && world.chance(30)) {
                leave(node);
            }
            break;
        case 5:
        case 6:
        case 7:
            world.cut(
                int(world.uniform(0, int64_t(world.connections.size()) - 1)));
            break;
        case 8:
        case 9:
        case 10:
            move(node);
            break;
        }
        for (auto &thaw : thaw_at_) {
            if (world.now_ms >= thaw.second) {
                world.nodes[thaw.first].frozen = false;
            }
        }
    }

    void leave(int node)
    {
        if (!world.nodes[node].frozen) {
            AprCore_RequestDrain(world.nodes[node].core);
            leaving_at_[node] = world.now_ms;
            world.counts["planned stops"]++;
        }
    }

    void move(int node)
    {
        AprCore_t *core = world.nodes[node].core;
        int service = AprCore_FindService(core, "desk");
        uint16_t partition = partition_of(core, key_name());
        AprMember_t to = AprRecord_FindHost(
            core->record, std::string(1, char('a' + (node + 1) % 3)).c_str());
        if (!world.nodes[node].frozen && to != APR_NO_MEMBER &&
            AprHandover_Start(core, service, to, &partition, 1) == APR_OK) {
            world.counts["planned moves"]++;
        }
    }

    std::string key_name()
    {
        return "job/" + std::to_string(world.uniform(0, 3));
    }

    static uint16_t partition_of(const AprCore_t *core, const std::string &key)
    {
        int service = AprRecord_FindService(core->record, "desk");
        uint64_t hash = AprKey_Hash("desk", key.c_str(), key.size());
        return service < 0
                   ? 0
                   : uint16_t(AprRecord_Lookup(core->record, service, hash));
    }

    /* A new request, or a repeat of a non-idempotent one that a caller sends
       without the mark of a first attempt. */
    void arrive()
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
        world.counts[repeat       ? "repeats"
                     : idempotent ? "idempotent requests"
                                  : "other requests"]++;
        attempt.request = new_request(attempt, repeat);
        names_[attempt.name] = attempts_.size();
        earned_[attempt.entry] += kBudgetEarned;
        AprEntryRequest_t *request = attempt.request;
        attempts_.push_back(std::move(attempt));
        world.post(attempts_.back().entry, 0,
                   [request](AprCore_t *core, AprMessage_t *) {
                       AprRouter_OnEntryRequest(core, request);
                   });
    }

    void add_content(const std::string &name)
    {
        Content content = {key_name(), {}, 0};
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
        request->socket = world.chance(3) ? gone_ : -1;
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

    /* The backend server of a host takes a call. */
    void submitted(int node, AprBackendCall_t *call)
    {
        const AprRequestMessage_t &request = call->request->request;
        Attempt &attempt = attempts_[names_.at(request.caller.data)];
        check_permission(node, attempt);
        int draw = int(world.uniform(1, 100));
        AprOutcomeKind_t outcome = draw <= 3 ? APR_NOT_RUN
                                   : draw <= 3 + unknown_percent_
                                       ? APR_UNKNOWN
                                       : APR_ANSWERED;
        bool refused = outcome == APR_NOT_RUN && world.chance(30);
        world.counts["backend calls"]++;
        if (outcome != APR_NOT_RUN) {
            count_run(attempt);
        }
        if (fault_ == Fault::false_not_run && world.chance(5)) {
            outcome = APR_NOT_RUN;
        }
        finish_later(node, call->id, outcome, refused, attempt.content);
        AprBackendCall_Free(call);
    }

    void check_permission(int node, const Attempt &attempt)
    {
        const AprCore_t *core = world.nodes[node].core;
        int service = AprRecord_FindService(core->record, "desk");
        int partition = partition_of(core, contents_[attempt.content].key);
        AprMember_t self = AprCore_Self(core);
        if (!AprLease_Valid(core->lease, AprCore_Now(core))) {
            violate("dispatched after the lease expired");
        }
        if (self == APR_NO_MEMBER ||
            core->record->services[service].partitions[partition].owner !=
                self) {
            violate("dispatched without owning the partition");
        }
        auto leaving = leaving_at_.find(node);
        if (leaving != leaving_at_.end() &&
            world.now_ms > leaving->second + kDrainBoundMs) {
            violate("dispatched 2 s after the request to leave");
        }
    }

    /* The call ran, or may have. */
    void count_run(Attempt &attempt)
    {
        attempt.runs++;
        if (attempt.not_run) {
            violate("ran after it was refused as not run");
        }
        if (attempt.idempotent) {
            retries_[attempt.entry] += attempt.runs > 1;
            if (retries_[attempt.entry] >
                kBudgetCap + earned_[attempt.entry]) {
                violate("more retries than the budget");
            }
        }
        else if (++contents_[attempt.content].runs > 1) {
            violate("a non-idempotent request ran twice");
        }
    }

    void finish_later(int node, uint64_t id, AprOutcomeKind_t outcome,
                      bool refused, std::string content)
    {
        if (fault_ == Fault::other_body && world.chance(5)) {
            content = contents_.begin()->first;
        }
        int64_t delay = world.uniform(5, world.chance(10) ? 400 : 40);
        world.post(node, delay, [=](AprCore_t *core, AprMessage_t *) {
            AprBackendResult_t *result =
                static_cast<AprBackendResult_t *>(calloc(1, sizeof(*result)));
            result->id = id;
            result->outcome = outcome;
            result->refused = refused;
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

    void completed(AprEntryRequest_t *request)
    {
        Attempt &attempt = attempts_[names_.at(request->caller)];
        if (fault_ == Fault::lost_end && world.chance(2)) {
            return;
        }
        attempt.completions += fault_ == Fault::two_ends ? 2 : 1;
        if (attempt.completions > 1) {
            violate("request ended twice");
        }
        ended[request->outcome]++;
        if (request->outcome == APR_ANSWERED &&
            attempt.content !=
                std::string(request->answer_body, request->answer_size)) {
            violate("answer of another request");
        }
        if (request->outcome == APR_NOT_RUN) {
            attempt.not_run = true;
            if (attempt.runs > 0) {
                violate("refused as not run, but it ran");
            }
        }
    }

    Fault fault_;
    int gone_ = -1; /* socket of callers that have closed theirs */
    int unknown_percent_ = 3;
    std::string violation_;
    std::vector<Attempt> attempts_;
    std::vector<std::string> repeatable_;
    std::map<std::string, size_t> names_;
    std::map<std::string, Content> contents_;
    std::map<int, int64_t> leaving_at_;
    std::map<int, int64_t> thaw_at_;
    std::map<int, int> retries_;
    std::map<int, double> earned_;
};

bool
mutant_is_detected(const char *name, Fault fault, bool *rule)
{
    uint64_t seed = 0;
    std::string violation;
    if (rule != nullptr) {
        *rule = false;
    }
    while (violation.empty() && seed < 400) {
        violation = Model(++seed, fault).run();
    }
    if (rule != nullptr) {
        *rule = true;
    }
    printf("mutant %s: %s after %d seeds\n", name,
           violation.empty() ? "SURVIVED" : violation.c_str(), int(seed));
    return !violation.empty();
}

bool
mutants_are_detected()
{
    AprRoutingRules_t *rules = &apr_routing_rules;
    const struct {
        const char *name;
        Fault fault;
        bool *rule;
    } mutants[] = {
        {"answer of another request", Fault::other_body, nullptr},
        {"false not-run", Fault::false_not_run, nullptr},
        {"lost end", Fault::lost_end, nullptr},
        {"two ends", Fault::two_ends, nullptr},
        {"not-run after a try that may have run", Fault::none,
         &rules->report_unknown},
        {"non-idempotent work sent again", Fault::none,
         &rules->check_idempotent},
        {"retries without budget", Fault::none, &rules->check_retry_budget},
        {"dispatch without a lease", Fault::none, &rules->check_lease},
        {"dispatch without owning", Fault::none, &rules->check_ownership},
        {"dispatch while leaving", Fault::none, &rules->check_drain},
        {"repeats keep a freed handle", Fault::none, &rules->end_duplicates},
    };
    bool all = true;
    for (const auto &mutant : mutants) {
        all =
            mutant_is_detected(mutant.name, mutant.fault, mutant.rule) && all;
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
                model.world.counts[names[i]] += model.ended[i];
            }
            for (const auto &count : model.world.counts) {
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
    passed = mutants_are_detected() && passed;
    return passed ? 0 : 1;
}
