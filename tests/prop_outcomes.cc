/* Random interleavings over the idempotency tables of two processes that hand
   one partition to each other. */
#include <rapidcheck.h>

#include <cstdio>
#include <cstdlib>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

extern "C" {
#include "apricot/outcomes.h"
#include "internal/outcomes_rules.h"
}

namespace {

constexpr int64_t kRetention = 1000;
constexpr int64_t kLongestRun = 100;
constexpr int kPartition = 5;
constexpr int kHotPartition = 256;

using Table = std::unique_ptr<AprOutcomes_t, void (*)(AprOutcomes_t *)>;

Table
new_table()
{
    return Table(AprOutcomes_New(64, 4096, kRetention), AprOutcomes_Free);
}

/* One request of a caller, as the caller and an observer of the backend know
   it. */
struct Request {
    AprOutcomeRequest_t id = {};
    int runs = 0;          /* times dispatched to a backend */
    bool running = false;  /* at the present owner */
    bool answered = false; /* the caller may repeat it, and expects this: */
    std::string answer;
    int64_t finished_at = 0;
    bool transferred = true; /* no owner that knew it was lost since */
    AprOutcome_t handle = APR_NO_OUTCOME;
};

class Model {
  public:
    /* Entries expire `early` ms too early; 0 but for a mutant. */
    explicit Model(uint64_t seed, int64_t early = 0)
        : random_(seed), early_(early)
    {
    }

    std::string run()
    {
        for (int step = 0; step < 400 && violation_.empty(); step++) {
            now_ += uniform(0, 30);
            switch (uniform(0, 11)) {
            case 0:
                if (uniform(0, 9) == 0) {
                    lose_owner();
                }
                break;
            case 1:
                hand_over();
                break;
            case 2:
                AprOutcomes_Expire(owner_.get(), now_ + early_);
                break;
            case 3:
                rebind();
                break;
            case 4:
            case 5:
                finish_one();
                break;
            default:
                arrive();
            }
        }
        return violation_;
    }

    std::map<std::string, long> counts;

  private:
    int64_t uniform(int64_t low, int64_t high)
    {
        return low + int64_t(random_() % uint64_t(high - low + 1));
    }

    /* A first attempt or a repeat arrives at the owner. Repeats use the same
       idempotency key; the mark of a first attempt is true when set. */
    void arrive()
    {
        bool repeat = !requests_.empty() && uniform(0, 2) > 0;
        if (!repeat) {
            add_request();
        }
        Request &request = requests_[repeat ? random_() % requests_.size()
                                            : requests_.size() - 1];
        AprOutcome_t handle;
        request.id.partition = partition_;
        request.id.first_attempt = !repeat && uniform(0, 1) == 0;
        counts[repeat ? "repeats" : "first attempts"]++;
        AprAdmission_t admission =
            AprOutcomes_Admit(owner_.get(), &request.id, now_, &handle);
        check(request, admission, handle);
    }

    /* Some new requests use the idempotency key of another one for another
       key, and some keys were created long before they arrive. */
    void add_request()
    {
        Request request;
        int64_t created = now_ - (uniform(0, 3) == 0 ? uniform(0, 1500) : 0);
        request.id.key_hash = next_hash_++;
        for (int i = 0; i < 6; i++) {
            request.id.idempotency_key[i] = uint8_t(created >> (40 - 8 * i));
        }
        request.id.idempotency_key[15] = uint8_t(uniform(0, 255));
        if (!requests_.empty() && uniform(0, 4) == 0) {
            const Request &other = requests_[random_() % requests_.size()];
            std::copy(other.id.idempotency_key,
                      other.id.idempotency_key + APR_IDEMPOTENCY_KEY_SIZE,
                      request.id.idempotency_key);
        }
        requests_.push_back(request);
    }

    void check(Request &request, AprAdmission_t admission, AprOutcome_t handle)
    {
        bool kept = request.answered && request.transferred &&
                    now_ < request.finished_at + kRetention;
        if (admission == APR_ADMIT_RUN) {
            if (request.runs++ > 0) {
                violation_ = "ran twice";
            }
            request.running = true;
            request.handle = handle;
            running_++;
        }
        else if (admission == APR_ADMIT_REPLAY) {
            const AprStoredAnswer_t *answer =
                AprOutcomes_Answer(owner_.get(), handle);
            if (!request.answered ||
                request.answer !=
                    std::string(static_cast<const char *>(answer->body),
                                answer->body_size)) {
                violation_ = "answer of another request";
            }
        }
        else if (admission == APR_ADMIT_WAIT &&
                 (!request.running || handle != request.handle)) {
            violation_ = "waits for another request";
        }
        if (kept && admission != APR_ADMIT_REPLAY) {
            violation_ = "answer not retained";
        }
    }

    void finish_one()
    {
        for (Request &request : requests_) {
            if (!request.running || uniform(0, 1) == 0) {
                continue;
            }
            request.running = false;
            running_--;
            switch (uniform(0, 3)) {
            case 0:
                AprOutcomes_Abort(owner_.get(), request.handle);
                request.runs--; /* it was never dispatched */
                return;
            case 1:
                AprOutcomes_MarkUnknown(owner_.get(), request.handle, now_);
                return;
            default:
                finish(request);
                return;
            }
        }
    }

    void finish(Request &request)
    {
        request.answer = "answer " + std::to_string(request.id.key_hash);
        request.answered = true;
        request.transferred = true;
        request.finished_at = now_;
        AprStoredAnswer_t answer = {200, "text/plain", request.answer.data(),
                                    request.answer.size()};
        AprOutcomes_Finish(owner_.get(), request.handle, &answer, now_);
    }

    /* The owner dies. The next one knows nothing; its floor is the takeover
       time plus the clock skew. What ran may have finished unseen. */
    void lose_owner()
    {
        counts["losses"]++;
        owner_ = new_table();
        now_ += uniform(0, kLongestRun);
        for (int partition : {kPartition, kHotPartition}) {
            AprOutcomes_SetFloor(owner_.get(), 0, partition,
                                 now_ + APR_CLOCK_SKEW_MS);
        }
        for (Request &request : requests_) {
            running_ -= request.running;
            request.running = false;
            request.transferred = false;
        }
    }

    /* A planned move; it waits for requests in flight. The other process may
       hold a table of an earlier time, and its clock differs. */
    void hand_over()
    {
        if (running_ > 0) {
            return;
        }
        counts["planned moves"]++;
        AprOutcomes_Export(
            owner_.get(), 0, partition_,
            [](void *context, const AprOutcomeEntry_t *entry) {
                RC_ASSERT(
                    AprOutcomes_Import(static_cast<AprOutcomes_t *>(context),
                                       entry) == 0);
            },
            other_.get());
        AprOutcomes_SetFloor(other_.get(), 0, partition_,
                             AprOutcomes_Floor(owner_.get(), 0, partition_));
        AprOutcomes_Drop(owner_.get(), 0, partition_);
        std::swap(owner_, other_);
        now_ -= uniform(0, 20);
    }

    /* All keys of the model move to a hot slot, or back. */
    void rebind()
    {
        int to = partition_ == kPartition ? kHotPartition : kPartition;
        counts["rebinds"]++;
        for (const Request &request : requests_) {
            AprOutcomes_Rebind(owner_.get(), 0, request.id.key_hash,
                               partition_, to);
        }
        partition_ = to;
    }

    std::mt19937_64 random_;
    int64_t early_;
    int64_t now_ = 1000000;
    uint64_t next_hash_ = 1;
    int running_ = 0;
    int partition_ = kPartition;
    Table owner_ = new_table();
    Table other_ = new_table();
    std::vector<Request> requests_;
    std::string violation_;
};

bool
mutant_is_detected(const char *name, bool *enabled, int64_t early)
{
    uint64_t seed = 0;
    std::string violation;
    *enabled = early != 0;
    while (violation.empty() && seed < 200) {
        violation = Model(++seed, early).run();
    }
    *enabled = true;
    printf("mutant %s: %s after %d seeds\n", name,
           violation.empty() ? "SURVIVED" : violation.c_str(), int(seed));
    return !violation.empty();
}

} // namespace

int
main()
{
    std::map<std::string, long> totals;
    long cases = 0;
    bool passed = rc::check(
        "no key runs twice, no answer goes to another request, and answers "
        "are kept for the retention",
        [&] {
            Model model(*rc::gen::noShrink(rc::gen::arbitrary<uint64_t>()));
            std::string violation = model.run();
            for (const auto &count : model.counts) {
                totals[count.first] += count.second;
            }
            cases++;
            RC_ASSERT(violation == "");
        });
    printf("proof outcomes: %s, %ld cases;", passed ? "held" : "VIOLATED",
           cases);
    for (const auto &total : totals) {
        printf(" %ld %s,", total.second, total.first.c_str());
    }
    printf(" seeds %s\n", getenv("RC_PARAMS") ? getenv("RC_PARAMS") : "any");
    bool *floor = &apr_outcomes_rules.floor;
    bool *retention = &apr_outcomes_rules.retention;
    passed = mutant_is_detected("without floor", floor, 0) && passed;
    passed = mutant_is_detected("without retention", retention, 0) && passed;
    passed = mutant_is_detected("early expiry", retention, 200) && passed;
    return passed ? 0 : 1;
}
