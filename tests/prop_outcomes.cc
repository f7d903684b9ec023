/* Guards against a request that runs twice, an answer that goes to another
   request, and an answer that is lost before its retention ends. Runs random
   interleavings of requests, expiry, planned moves and owner crashes over the
   idempotency tables of two processes that move one partition between them. */
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

constexpr int64_t kRetentionMs = 1000;
constexpr int64_t kLongestRunMs = 100;
constexpr int kPartition = 5;
constexpr int kHotPartition = 256;

using Table = std::unique_ptr<AprOutcomes_t, void (*)(AprOutcomes_t *)>;

Table
new_table()
{
    return Table(AprOutcomes_New(64, 4096, kRetentionMs), AprOutcomes_Free);
}

/* One request with the state that the caller and an observer of the backend
   server would see. */
struct Request {
    AprOutcomeRequest_t id = {};
    int runs = 0;          /* times dispatched to a backend server */
    bool running = false;  /* at the current owner */
    bool answered = false; /* a repeat must get `answer` */
    std::string answer;
    int64_t finished_at_ms = 0;
    bool outcome_transferred = true; /* no owner that held it has crashed */
    AprOutcomeHandle_t handle = APR_NO_OUTCOME;
};

class Model {
  public:
    /* Entries expire `early_expiry_ms` too early; only a mutant sets a value
       other than 0. */
    explicit Model(uint64_t seed, int64_t early_expiry_ms = 0)
        : random_(seed), early_expiry_ms_(early_expiry_ms)
    {
    }

    std::string run()
    {
        for (int step = 0; step < 400 && violation_.empty(); step++) {
            now_ms_ += uniform(0, 30);
            switch (uniform(0, 11)) {
            case 0:
                if (uniform(0, 9) == 0) {
                    crash_owner();
                }
                break;
            case 1:
                hand_over_partition();
                break;
            case 2:
                AprOutcomes_Expire(owner_.get(), now_ms_ + early_expiry_ms_);
                break;
            case 3:
                move_to_other_partition();
                break;
            case 4:
            case 5:
                end_one_request();
                break;
            default:
                admit_request();
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

    /* Sends a first attempt or a repeat to the owner. Repeats use the same
       idempotency key and never set `first_attempt`; half of the first
       attempts set it. */
    void admit_request()
    {
        bool repeat = !requests_.empty() && uniform(0, 2) > 0;
        if (!repeat) {
            add_request();
        }
        Request &request = requests_[repeat ? random_() % requests_.size()
                                            : requests_.size() - 1];
        AprOutcomeHandle_t handle;
        request.id.partition = partition_;
        request.id.first_attempt = !repeat && uniform(0, 1) == 0;
        counts[repeat ? "repeats" : "first attempts"]++;
        AprOutcomeAdmission_t admission =
            AprOutcomes_Admit(owner_.get(), &request.id, now_ms_, &handle);
        check_admission(request, admission, handle);
    }

    /* Some new requests reuse the idempotency key of another request for a
       different shard key, and some idempotency keys are created up to 1,500
       ms before they arrive. */
    void add_request()
    {
        Request request;
        int64_t created =
            now_ms_ - (uniform(0, 3) == 0 ? uniform(0, 1500) : 0);
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

    void check_admission(Request &request, AprOutcomeAdmission_t admission,
                         AprOutcomeHandle_t handle)
    {
        bool kept = request.answered && request.outcome_transferred &&
                    now_ms_ < request.finished_at_ms + kRetentionMs;
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

    void end_one_request()
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
                request.runs--; /* an aborted request was not dispatched */
                return;
            case 1:
                AprOutcomes_MarkUnknown(owner_.get(), request.handle, now_ms_);
                return;
            default:
                finish_with_answer(request);
                return;
            }
        }
    }

    void finish_with_answer(Request &request)
    {
        request.answer = "answer " + std::to_string(request.id.key_hash);
        request.answered = true;
        request.outcome_transferred = true;
        request.finished_at_ms = now_ms_;
        AprStoredAnswer_t answer = {200, "text/plain", request.answer.data(),
                                    request.answer.size()};
        AprOutcomes_Finish(owner_.get(), request.handle, &answer, now_ms_);
    }

    /* The owner crashes. The next owner starts with an empty table and a floor
       of the takeover time plus the clock skew. Requests that were running may
       have completed at the backend server. */
    void crash_owner()
    {
        counts["losses"]++;
        owner_ = new_table();
        now_ms_ += uniform(0, kLongestRunMs);
        for (int partition : {kPartition, kHotPartition}) {
            AprOutcomes_RaiseFloor(owner_.get(), 0, partition,
                                   now_ms_ + APR_CLOCK_SKEW_MS);
        }
        for (Request &request : requests_) {
            running_ -= request.running;
            request.running = false;
            request.outcome_transferred = false;
        }
    }

    /* A planned move of the partition; it does not start while requests are
       running. The other process may still hold entries from an earlier
       ownership, and its clock is up to 20 ms behind. */
    void hand_over_partition()
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
        AprOutcomes_RaiseFloor(other_.get(), 0, partition_,
                               AprOutcomes_Floor(owner_.get(), 0, partition_));
        AprOutcomes_RemoveFinished(owner_.get(), 0, partition_);
        std::swap(owner_, other_);
        now_ms_ -= uniform(0, 20);
    }

    /* Moves all keys of the model to a hot slot, or back to the base
       partition. */
    void move_to_other_partition()
    {
        int to = partition_ == kPartition ? kHotPartition : kPartition;
        counts["rebinds"]++;
        for (const Request &request : requests_) {
            AprOutcomes_MoveKey(owner_.get(), 0, request.id.key_hash,
                                partition_, to);
        }
        partition_ = to;
    }

    std::mt19937_64 random_;
    int64_t early_expiry_ms_;
    int64_t now_ms_ = 1000000;
    uint64_t next_hash_ = 1;
    int running_ = 0;
    int partition_ = kPartition;
    Table owner_ = new_table();
    Table other_ = new_table();
    std::vector<Request> requests_;
    std::string violation_;
};

bool
is_mutant_detected(const char *name, bool *enabled, int64_t early_expiry_ms)
{
    uint64_t seed = 0;
    std::string violation;
    *enabled = early_expiry_ms != 0;
    while (violation.empty() && seed < 200) {
        violation = Model(++seed, early_expiry_ms).run();
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
    printf("proof|outcomes|%s|%ld|", passed ? "held" : "VIOLATED", cases);
    for (const auto &total : totals) {
        printf("%ld %s, ", total.second, total.first.c_str());
    }
    printf("\n");
    bool *floor = &apr_outcomes_rules.floor;
    bool *retention = &apr_outcomes_rules.retention;
    passed = is_mutant_detected("without floor", floor, 0) && passed;
    passed = is_mutant_detected("without retention", retention, 0) && passed;
    passed = is_mutant_detected("early expiry", retention, 200) && passed;
    return passed ? 0 : 1;
}
