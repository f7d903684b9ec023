#include <deque>
#include <map>
#include <set>
#include <vector>

#include <rapidcheck.h>

extern "C" {
#include "apricot/clock.h"
#include "apricot/error.h"
#include "apricot/rank_queue.h"
}

namespace {

const int64_t FAR_DEADLINE_MS = 1000000;
const double MAX_CREDIT_DISPATCHES = 4;

std::vector<AprRankSpec_t>
make_specs(const std::vector<int> &worths)
{
    std::vector<AprRankSpec_t> specs;

    for (int worth : worths) {
        specs.push_back({100, worth});
    }
    return specs;
}

rc::Gen<std::vector<int>>
worths_gen()
{
    return rc::gen::mapcat(rc::gen::inRange(2, APR_MAX_RANKS + 1), [](int n) {
        return rc::gen::container<std::vector<int>>(n,
                                                    rc::gen::inRange(1, 20));
    });
}

struct Operation {
    int kind; /* 0-2: push, 3-4: pop, 5: done, 6: remove, 7: take expired */
    int rank;
    int pick;
    int timeout_ms;
    int advance_ms;
};

rc::Gen<Operation>
operation_gen()
{
    return rc::gen::build<Operation>(
        rc::gen::set(&Operation::kind, rc::gen::inRange(0, 8)),
        rc::gen::set(&Operation::rank, rc::gen::inRange(0, APR_MAX_RANKS)),
        rc::gen::set(&Operation::pick, rc::gen::inRange(0, 1000)),
        rc::gen::set(&Operation::timeout_ms, rc::gen::inRange(-2, 400)),
        rc::gen::set(&Operation::advance_ms, rc::gen::inRange(0, 12)));
}

void
showValue(const Operation &op, std::ostream &os)
{
    os << "{" << op.kind << "," << op.rank << "," << op.pick << ","
       << op.timeout_ms << "," << op.advance_ms << "}";
}

/* Reference model of the queue: the waiting items of each rank with their
   deadlines, and the ranks of the running items. */
struct Model {
    AprRankQueue_t *queue;
    int ranks;
    int slots;
    uint32_t capacity;
    int64_t now_ms = 1000;
    uint32_t next_item = 1;
    std::vector<std::map<uint32_t, int64_t>> waiting;
    std::vector<int> running;

    void push(const Operation &op)
    {
        uint32_t item = next_item++;
        int64_t deadline_ms = now_ms + op.timeout_ms;
        int code = AprRankQueue_Push(queue, op.rank, item,
                                     AprTime_FromMs(deadline_ms),
                                     AprTime_FromMs(now_ms));

        if (op.rank >= ranks) {
            RC_ASSERT(code == APR_E_INVALID);
        }
        else if (waiting[op.rank].size() == capacity) {
            RC_ASSERT(code == APR_E_FULL);
        }
        else if (deadline_ms <= now_ms) {
            RC_ASSERT(code == APR_E_TIMEOUT);
        }
        else if (code == APR_OK) {
            waiting[op.rank][item] = deadline_ms;
            RC_ASSERT(AprRankQueue_Push(
                          queue, op.rank, item, AprTime_FromMs(deadline_ms),
                          AprTime_FromMs(now_ms)) == APR_E_EXISTS);
        }
        if (code != APR_OK) {
            RC_ASSERT(!AprRankQueue_Remove(queue, op.rank, item));
        }
    }

    void pop()
    {
        uint32_t item;
        int rank;
        int before = (int)running.size();

        if (!AprRankQueue_Pop(queue, AprTime_FromMs(now_ms), &item, &rank)) {
            return;
        }
        RC_ASSERT(before < slots);
        RC_ASSERT(waiting[rank].count(item) == 1);
        RC_ASSERT(waiting[rank][item] > now_ms);
        waiting[rank].erase(item);
        running.push_back(rank);
    }

    void done(const Operation &op)
    {
        if (running.empty()) {
            return;
        }
        size_t at = op.pick % running.size();

        AprRankQueue_Finish(queue, running[at], op.pick % 50 - 5);
        running.erase(running.begin() + (long)at);
    }

    void remove(const Operation &op)
    {
        if (op.rank >= ranks || waiting[op.rank].empty()) {
            return;
        }
        auto it = waiting[op.rank].begin();

        std::advance(it, op.pick % (int)waiting[op.rank].size());
        RC_ASSERT(AprRankQueue_Remove(queue, op.rank, it->first));
        RC_ASSERT(!AprRankQueue_Remove(queue, op.rank, it->first));
        waiting[op.rank].erase(it);
    }

    /* Takes all expired items and checks that no remaining deadline has
       passed. */
    void take_expired()
    {
        uint32_t item;

        while (AprRankQueue_PopExpired(queue, AprTime_FromMs(now_ms), &item)) {
            size_t erased = 0;

            for (auto &rank : waiting) {
                erased += rank.erase(item);
            }
            RC_ASSERT(erased == 1u);
        }
        for (auto &rank : waiting) {
            for (auto &entry : rank) {
                RC_ASSERT(entry.second > now_ms);
            }
        }
    }

    void apply(const Operation &op)
    {
        now_ms += op.advance_ms;
        switch (op.kind) {
        case 3:
        case 4:
            pop();
            break;
        case 5:
            done(op);
            break;
        case 6:
            remove(op);
            break;
        case 7:
            take_expired();
            break;
        default:
            push(op);
        }
        for (int i = 0; i < ranks; i++) {
            RC_ASSERT(AprRankQueue_Size(queue, i) == waiting[i].size());
        }
        RC_ASSERT(AprRankQueue_Running(queue) == (int)running.size());
    }
};

/* Checks that every item that leaves the queue was pushed before and leaves
   once, whatever the order of calls. */
void
check_conservation(const std::vector<int> &worths)
{
    auto specs = make_specs(worths);
    auto ops = *rc::gen::container<std::vector<Operation>>(
        *rc::gen::inRange(1, 600), operation_gen());
    Model model;

    model.slots = *rc::gen::inRange(1, 8);
    model.capacity = *rc::gen::inRange(1u, 20u);
    model.ranks = (int)specs.size();
    model.waiting.resize(specs.size());
    model.queue = AprRankQueue_New(specs.data(), model.ranks, model.slots,
                                   model.capacity);
    for (const Operation &op : ops) {
        model.apply(op);
    }
    model.now_ms += FAR_DEADLINE_MS;
    model.take_expired();
    AprRankQueue_Free(model.queue);
}

/* The queue under test, and two simpler queues that must fail the share
   property. */
struct Dispatcher {
    enum Kind { REAL, FIRST_COME, STRICT };
    Kind kind;
    AprRankQueue_t *real;
    std::deque<int> arrivals;
    std::vector<int> waiting;
    uint32_t next_item = 1;

    Dispatcher(Kind which, const std::vector<AprRankSpec_t> &specs)
        : kind(which), waiting(specs.size())
    {
        real = AprRankQueue_New(specs.data(), (int)specs.size(), 1, 256);
    }
    ~Dispatcher()
    {
        AprRankQueue_Free(real);
    }

    void push(int rank)
    {
        waiting[rank]++;
        arrivals.push_back(rank);
        if (kind == REAL) {
            RC_ASSERT(AprRankQueue_Push(real, rank, next_item++,
                                        AprTime_FromMs(FAR_DEADLINE_MS),
                                        AprTime_FromMs(1)) == APR_OK);
        }
    }

    int pop()
    {
        uint32_t item;
        int rank = 0;

        if (kind == REAL) {
            RC_ASSERT(AprRankQueue_Pop(real, AprTime_FromMs(1), &item, &rank));
            AprRankQueue_Finish(real, rank, 1);
        }
        else if (kind == FIRST_COME) {
            rank = arrivals.front();
            arrivals.pop_front();
        }
        else {
            while (waiting[rank] == 0) {
                rank++;
            }
        }
        waiting[rank]--;
        return rank;
    }
};

/* Dispatches from ranks that always have waiting items while one of them is
   flooded. Returns whether each rank got its guaranteed share. */
bool
shares_are_kept(Dispatcher::Kind kind, const std::vector<int> &worths,
                int flooded, int dispatches)
{
    auto specs = make_specs(worths);
    Dispatcher dispatcher(kind, specs);
    std::vector<int> served(specs.size());
    bool all_kept = true;

    for (int i = 0; i < dispatches; i++) {
        for (int rank = 0; rank < (int)specs.size(); rank++) {
            while (dispatcher.waiting[rank] < (rank == flooded ? 100 : 1)) {
                dispatcher.push(rank);
            }
        }
        served[dispatcher.pop()]++;
    }
    for (int rank = 0; rank < (int)specs.size(); rank++) {
        double share = AprRankQueue_GuaranteedShare(dispatcher.real, rank);

        all_kept = all_kept &&
                   served[rank] >= share * dispatches - MAX_CREDIT_DISPATCHES;
    }
    return all_kept;
}

/* Checks that a rank precedes a more urgent one only with dispatches that it
   earned by its guaranteed share. */
void
check_overtaking_is_earned(const std::vector<int> &worths)
{
    auto specs = make_specs(worths);
    Dispatcher dispatcher(Dispatcher::REAL, specs);
    std::vector<double> earned(specs.size());
    auto arrivals = *rc::gen::container<std::vector<int>>(
        800, rc::gen::inRange(0, (int)specs.size()));

    for (size_t i = 0; i < arrivals.size(); i++) {
        int most_urgent = 0;

        dispatcher.push(arrivals[i]);
        if (i % 4 == 0) {
            continue;
        }
        for (size_t rank = 0; rank < specs.size(); rank++) {
            if (dispatcher.waiting[rank] > 0) {
                earned[rank] +=
                    AprRankQueue_GuaranteedShare(dispatcher.real, (int)rank);
            }
        }
        while (dispatcher.waiting[most_urgent] == 0) {
            most_urgent++;
        }
        int rank = dispatcher.pop();

        if (rank != most_urgent) {
            earned[rank] -= 1;
            RC_ASSERT(earned[rank] > -1e-6);
        }
    }
}

} // namespace

int
main()
{
    bool ok = true;

    ok &= rc::check("guards against lost, duplicated or late-dispatched items "
                    "and dispatches above the slots",
                    [] { check_conservation(*worths_gen()); });
    ok &= rc::check("guards against a flood of any rank that takes the "
                    "guaranteed share of another",
                    [] {
                        auto worths = *worths_gen();
                        int flooded = *rc::gen::inRange(0, (int)worths.size());

                        RC_ASSERT(shares_are_kept(Dispatcher::REAL, worths,
                                                  flooded, 2000));
                    });
    ok &= rc::check("guards against less urgent work that overtakes without "
                    "having earned it",
                    [] { check_overtaking_is_earned(*worths_gen()); });
    ok &= rc::check(
        "a first-come-first-served queue and one without credits "
        "fail the share property",
        [] {
            std::vector<int> worths = {10, 3, 1};

            for (int flooded = 0; flooded < 3; flooded++) {
                RC_ASSERT(!shares_are_kept(Dispatcher::FIRST_COME, worths,
                                           flooded, 4000));
            }
            RC_ASSERT(!shares_are_kept(Dispatcher::STRICT, worths, 0, 4000));
        });
    return ok ? 0 : 1;
}
