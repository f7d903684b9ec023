#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include <rapidcheck.h>

extern "C" {
#include "apricot/clock.h"
#include "apricot/hot_keys.h"
#include "apricot/rate_limit.h"
#include "apricot/retry_budget.h"
}

namespace {

struct Call {
    int caller;
    int gap_ms;
};

void
showValue(const Call &call, std::ostream &os)
{
    os << "{" << call.caller << "," << call.gap_ms << "}";
}

rc::Gen<std::vector<Call>>
calls_gen(int callers)
{
    return rc::gen::container<std::vector<Call>>(
        600,
        rc::gen::build<Call>(
            rc::gen::set(&Call::caller, rc::gen::inRange(0, callers)),
            rc::gen::set(&Call::gap_ms, rc::gen::element(0, 0, 0, 1, 5, 60))));
}

double
burst_tokens(double rate)
{
    return std::max(1.0, rate * APR_RATE_BURST_MS / 1000);
}

/* Whether the number of accepted calls at `times` (ms, ascending) is at most
   rate * time + burst over every interval. */
bool
is_within_rate_bound(const std::vector<int64_t> &times, double rate)
{
    for (size_t i = 0; i < times.size(); i++) {
        for (size_t j = i; j < times.size(); j++) {
            double span_s = (double)(times[j] - times[i]) / 1000;

            if ((double)(j - i + 1) >
                rate * span_s + burst_tokens(rate) + 1e-6) {
                return false;
            }
        }
    }
    return true;
}

/* Mutant: a fixed-window limiter that accepts `rate` calls in each whole
   second, so that twice as many calls can pass around a window boundary. */
std::vector<int64_t>
accept_by_fixed_window(const std::vector<Call> &calls, double rate)
{
    std::vector<int64_t> accepted;
    std::map<int64_t, int> used;
    int64_t now_ms = 900;

    for (const Call &call : calls) {
        now_ms += call.gap_ms;
        if (used[now_ms / 1000]++ < rate) {
            accepted.push_back(now_ms);
        }
    }
    return accepted;
}

void
check_rate_bound()
{
    int callers = *rc::gen::inRange(1, 6);
    double caller_rate = *rc::gen::inRange(1, 200);
    double service_rate = *rc::gen::inRange(1, 400);
    uint32_t max_callers = *rc::gen::inRange(0u, 4u);
    auto calls = *calls_gen(callers);
    AprRateLimit_t *limit =
        AprRateLimit_New(caller_rate, service_rate, max_callers);
    std::map<int, std::vector<int64_t>> accepted;
    std::vector<int64_t> all;
    int64_t now_ms = 1000;

    for (const Call &call : calls) {
        std::string name = "caller-" + std::to_string(call.caller);

        now_ms += call.gap_ms;
        if (AprRateLimit_TakeToken(limit, name.c_str(),
                                   AprTime_FromMs(now_ms)) == APR_RATE_OK) {
            accepted[call.caller].push_back(now_ms);
            all.push_back(now_ms);
        }
    }
    RC_ASSERT(!all.empty());
    for (auto &entry : accepted) {
        RC_ASSERT(is_within_rate_bound(entry.second, caller_rate));
    }
    RC_ASSERT(is_within_rate_bound(all, service_rate));
    AprRateLimit_Free(limit);
}

/* A caller within its rate must not be refused because another caller exceeds
   its own. */
void
check_caller_isolation()
{
    AprRateLimit_t *limit = AprRateLimit_New(100, 0, 8);
    int flood_calls = *rc::gen::inRange(1, 50);

    for (int64_t ms = 1000; ms < 3000; ms += 10) {
        for (int i = 0; i < flood_calls; i++) {
            AprRateLimit_TakeToken(limit, "flooder", AprTime_FromMs(ms));
        }
        RC_ASSERT(AprRateLimit_TakeToken(limit, "steady",
                                         AprTime_FromMs(ms)) == APR_RATE_OK);
    }
    AprRateLimit_Free(limit);
}

void
check_retry_budget()
{
    auto retries = *rc::gen::container<std::vector<bool>>(
        2000, rc::gen::arbitrary<bool>());
    AprRetryBudget_t budget;
    double earned = 0;
    double spent = 0;

    AprRetryBudget_Init(&budget);
    for (bool retry : retries) {
        if (!retry) {
            AprRetryBudget_Deposit(&budget);
            earned += 0.1;
        }
        else if (AprRetryBudget_TryWithdraw(&budget)) {
            spent++;
        }
        RC_ASSERT(spent <= 10 + earned + 1e-6);
        RC_ASSERT(budget.tokens <= 10);
    }
    for (int i = 0; i < 1000; i++) {
        AprRetryBudget_Deposit(&budget);
    }
    for (int i = 0; i < 10; i++) {
        RC_ASSERT(AprRetryBudget_TryWithdraw(&budget));
    }
    RC_ASSERT(!AprRetryBudget_TryWithdraw(&budget));
    for (int i = 0; i < 10; i++) {
        RC_ASSERT(!AprRetryBudget_TryWithdraw(&budget));
        AprRetryBudget_Deposit(&budget);
    }
    RC_ASSERT(AprRetryBudget_TryWithdraw(&budget));
}

/* Guarantees of the space-saving sketch: a count is an upper bound, a count
   minus its error is a lower bound, and a key with more than 1/64 of the total
   is always present. */
void
check_hot_key_sketch()
{
    auto keys = *rc::gen::container<std::vector<int>>(
        3000,
        rc::gen::oneOf(rc::gen::inRange(0, 20), rc::gen::inRange(0, 1000)));
    AprHotKeys_t *sketch = AprHotKeys_New();
    std::map<uint64_t, double> exact;
    std::vector<AprHotKey_t> found(APR_HOT_KEY_ENTRIES);
    double total = 0;

    for (size_t i = 0; i < keys.size(); i++) {
        double weight = 1 + keys[i] % 3;

        AprHotKeys_Add(sketch, (uint64_t)keys[i], weight);
        exact[(uint64_t)keys[i]] += weight;
        total += weight;
        if (i == 1500) {
            AprHotKeys_Decay(sketch);
            total /= 2;
            for (auto &entry : exact) {
                entry.second /= 2;
            }
        }
    }
    RC_ASSERT(std::abs(AprHotKeys_Total(sketch) - total) < 1e-6);
    found.resize(AprHotKeys_ListAbove(sketch, -1, found.data(), 64));
    RC_ASSERT(found.size() <= (size_t)APR_HOT_KEY_ENTRIES);
    for (size_t i = 0; i < found.size(); i++) {
        RC_ASSERT(found[i].count >= exact[found[i].key_hash] - 1e-6);
        RC_ASSERT(found[i].count - found[i].error <=
                  exact[found[i].key_hash] + 1e-6);
        /* RC_ASSERT evaluates both sides of || unless it is in parentheses. */
        RC_ASSERT((i == 0 || found[i - 1].count >= found[i].count));
    }
    for (auto &entry : exact) {
        if (entry.second > total / APR_HOT_KEY_ENTRIES) {
            RC_ASSERT(std::any_of(found.begin(), found.end(),
                                  [&](const AprHotKey_t &key) {
                                      return key.key_hash == entry.first;
                                  }));
        }
    }
    found.resize(APR_HOT_KEY_ENTRIES);
    found.resize(AprHotKeys_ListAbove(sketch, 0.02, found.data(), 64));
    for (const AprHotKey_t &key : found) {
        RC_ASSERT(exact[key.key_hash] > 0.02 * total - 1e-6);
    }
    AprHotKeys_Free(sketch);
}

} // namespace

int
main()
{
    bool ok = true;

    ok &= rc::check("guards against callers or services above rate * time + "
                    "burst, also when the table of callers is full",
                    check_rate_bound);
    ok &= rc::check(
        "guards against a caller refused because another exceeds its rate",
        check_caller_isolation);
    ok &= rc::check("a fixed-window limiter breaks the rate bound", [] {
        std::vector<Call> calls(400, Call{0, 1});

        RC_ASSERT(
            !is_within_rate_bound(accept_by_fixed_window(calls, 100), 100));
    });
    ok &= rc::check("guards against retries that amplify a failure",
                    check_retry_budget);
    ok &= rc::check("guards against hot keys that are missed and other keys "
                    "reported as hot",
                    check_hot_key_sketch);
    return ok ? 0 : 1;
}
