/* Replays overload with uneven work on two hosts that call each other: service
   times are log-normal, one request in a hundred takes three times as long,
   and all work takes three times as long in spells of 400 ms, a fifth of the
   time. Requests have two ranks, and a third of the less urgent ones make a
   call to the other host in the middle of their work. */
#include <math.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "apricot/admission.h"

#define HOSTS 4
#define PAIR 2 /* hosts that call each other */
#define SLOTS 6
#define SPREAD 0.4 /* of the logarithm of a service time */
#define LONG_SHARE 0.01
#define LONG_FACTOR 3.0
#define SLOW_FACTOR 3.0
#define SLOW_MS 400
#define CYCLE_MS 2000 /* with one slow spell, at a random time */
#define DURATION_MS 120000
#define MAX_REQUESTS 200000
#define MAX_RUNNING 64
#define SHARED_CALLS 0.8 /* of the requests that call a shared host */
#define LATE_WORTH 0.17  /* of a late answer; the users' range is 4 to 30 % */

typedef enum Policy_t {
    POLICY_PRESENT,  /* without a cost model */
    POLICY_COSTS,    /* with a cost model that learns from durations */
    POLICY_REPORTED, /* and is told the pace with each response */
    POLICY_COUNT
} Policy_t;

static const char *const policy_names[POLICY_COUNT] = {
    "present admission", "cost model", "cost model, reported pace"};

/* A kind of request. The last one is that of nested calls. */
typedef struct Kind_t {
    int rank;
    double mean_ms;
    int64_t objective_ms;
    int64_t deadline_ms;
    double share;        /* of the arriving work */
    double nested_share; /* of its requests make a call */
} Kind_t;

#define KIND_COUNT 4
#define NESTED_KIND 3

static const Kind_t kinds[KIND_COUNT] = {
    {0, 60, 250, 1000, 0.35, 0},
    {0, 120, 500, 1500, 0.15, 0},
    {1, 140, 600, 1800, 0.5, 0.33},
    {1, 40, 0, 0, 0, 0},
};

typedef struct Request_t {
    int host;
    int kind;
    int64_t arrived_ms;
    int64_t objective_ms;
    int64_t deadline_ms;
    double work_ms;         /* left, at the usual pace */
    double call_at_work_ms; /* makes its call when this is left; 0: none */
    int parent;             /* of a nested call; -1: none */
    bool waits;             /* for its call */
    bool failed;            /* its call was refused */
} Request_t;

typedef struct Host_t {
    AprAdmission_t admission;
    AprCostModel_t costs;
    int running[MAX_RUNNING];
    int running_count;
    int64_t slow_from_ms;
} Host_t;

typedef struct Result_t {
    int offered[2]; /* by rank, without nested calls */
    int timely[2];
    int late[2];
    int lost_work;        /* refused call of a running request, or too late */
    int64_t refusal_wait; /* sum of the times until refusals */
    int refused;
    int nested_refused;
} Result_t;

typedef struct Run_t {
    Policy_t policy;
    int host_count;
    bool shared; /* all other hosts call the last one */
    uint64_t random_state;
    Host_t hosts[HOSTS];
    Request_t requests[MAX_REQUESTS];
    int request_count;
    Result_t result;
} Run_t;

static double
random_unit(Run_t *run)
{
    run->random_state = run->random_state * 6364136223846793005u + 1442695041u;
    return ((double)(run->random_state >> 33) + 0.5) / 2147483648.0;
}

static double
random_work_ms(Run_t *run, double mean_ms)
{
    double normal =
        sqrt(-2 * log(random_unit(run))) * cos(6.283185307 * random_unit(run));
    double factor = exp(SPREAD * normal - SPREAD * SPREAD / 2);

    return mean_ms * factor *
           (random_unit(run) < LONG_SHARE ? LONG_FACTOR : 1);
}

static void finish_request(Run_t *run, int index, bool answered,
                           int64_t now_ms);

static void
on_refused(Run_t *run, int index, int64_t now_ms)
{
    run->result.refused++;
    run->result.refusal_wait += now_ms - run->requests[index].arrived_ms;
    run->result.nested_refused += run->requests[index].parent >= 0;
    finish_request(run, index, false, now_ms);
}

static void
offer(Run_t *run, int index, int64_t now_ms)
{
    Request_t *request = &run->requests[index];
    AprAdmissionRequest_t offered = {0};

    offered.id = (uint64_t)index + 1;
    offered.kind = (uint32_t)request->kind + 1;
    offered.rank = kinds[request->kind].rank;
    offered.nested = request->parent >= 0;
    offered.arrived_ms = request->arrived_ms;
    offered.objective_ms = request->objective_ms;
    offered.deadline_ms = request->deadline_ms;
    if (!AprAdmission_Offer(&run->hosts[request->host].admission, &offered,
                            now_ms)
             .admitted) {
        on_refused(run, index, now_ms);
    }
}

static void
add_request(Run_t *run, int host, int kind, int parent, int64_t now_ms)
{
    int index = run->request_count++;
    Request_t *request = &run->requests[index];

    request->host = host;
    request->kind = kind;
    request->parent = parent;
    request->arrived_ms = now_ms;
    request->work_ms = random_work_ms(run, kinds[kind].mean_ms);
    if (parent >= 0) {
        request->objective_ms = run->requests[parent].objective_ms;
        request->deadline_ms = run->requests[parent].deadline_ms;
    }
    else {
        request->objective_ms = now_ms + kinds[kind].objective_ms;
        request->deadline_ms = now_ms + kinds[kind].deadline_ms;
        run->result.offered[kinds[kind].rank]++;
        if (random_unit(run) <
                (run->shared ? SHARED_CALLS : kinds[kind].nested_share) &&
            (!run->shared || host != run->host_count - 1)) {
            request->call_at_work_ms = request->work_ms / 2;
        }
    }
    offer(run, index, now_ms);
}

/* Counts the outcome of a request, and tells its caller if that is a running
   one. */
static void
finish_request(Run_t *run, int index, bool answered, int64_t now_ms)
{
    Request_t *request = &run->requests[index];
    int rank = kinds[request->kind].rank;

    if (request->parent >= 0) {
        run->requests[request->parent].waits = false;
        run->requests[request->parent].failed = !answered;
        return;
    }
    if (answered && !request->failed && now_ms <= request->objective_ms) {
        run->result.timely[rank]++;
    }
    else if (answered && !request->failed && now_ms <= request->deadline_ms) {
        run->result.late[rank]++;
    }
    else if (answered) {
        run->result.lost_work++;
    }
}

static void
work(Run_t *run, Host_t *host, int64_t now_ms)
{
    bool slow =
        now_ms >= host->slow_from_ms && now_ms < host->slow_from_ms + SLOW_MS;

    for (int i = 0; i < host->running_count; i++) {
        int index = host->running[i];
        Request_t *request = &run->requests[index];

        if (request->waits) {
            continue;
        }
        request->work_ms -= slow ? 1 / SLOW_FACTOR : 1;
        if (request->call_at_work_ms > 0 &&
            request->work_ms <= request->call_at_work_ms) {
            request->call_at_work_ms = 0;
            request->waits = true;
            AprAdmission_CountNestedCall(&host->admission,
                                         (uint64_t)index + 1);
            add_request(run,
                        run->shared ? run->host_count - 1
                                    : (request->host + 1) % run->host_count,
                        NESTED_KIND, index, now_ms);
        }
        else if (request->work_ms <= 0) {
            host->running[i--] = host->running[--host->running_count];
            if (run->policy == POLICY_REPORTED) {
                AprCostModel_ReportPace(&host->costs, slow ? 300 : 100,
                                        now_ms);
            }
            AprAdmission_Finish(&host->admission, (uint64_t)index + 1, now_ms,
                                true);
            finish_request(run, index, true, now_ms);
        }
    }
}

static void
start(Run_t *run, Host_t *host, int64_t now_ms)
{
    AprAdmissionRequest_t request;
    AprAdmissionDecision_t decision;

    while (AprAdmission_StartNext(&host->admission, now_ms, &request)) {
        host->running[host->running_count++] = (int)request.id - 1;
    }
    while (
        AprAdmission_ShedNext(&host->admission, now_ms, &request, &decision)) {
        on_refused(run, (int)request.id - 1, now_ms);
    }
}

static Result_t
replay(Policy_t policy, double load, bool shared)
{
    static Run_t run;
    double due[HOSTS][KIND_COUNT] = {{0}};

    memset(&run, 0, sizeof(run));
    run.policy = policy;
    run.shared = shared;
    run.host_count = shared ? HOSTS : PAIR;
    run.random_state = 7;
    for (int i = 0; i < run.host_count; i++) {
        AprAdmission_Init(&run.hosts[i].admission, SLOTS);
        AprCostModel_Init(&run.hosts[i].costs, 0);
        if (policy != POLICY_PRESENT) {
            AprAdmission_SetCostModel(&run.hosts[i].admission,
                                      &run.hosts[i].costs);
        }
    }
    for (int64_t now_ms = 1; now_ms < DURATION_MS; now_ms++) {
        for (int i = 0; i < run.host_count; i++) {
            Host_t *host = &run.hosts[i];

            if (now_ms % CYCLE_MS == 1) {
                host->slow_from_ms = now_ms + (int64_t)(random_unit(&run) *
                                                        (CYCLE_MS - SLOW_MS));
            }
            for (int kind = 0; kind < NESTED_KIND; kind++) {
                due[i][kind] += load * SLOTS * kinds[kind].share *
                                (2 * random_unit(&run)) / kinds[kind].mean_ms;
                while (due[i][kind] >= 1) {
                    due[i][kind] -= 1;
                    add_request(&run, i, kind, -1, now_ms);
                }
            }
            work(&run, host, now_ms);
            start(&run, host, now_ms);
        }
    }
    return run.result;
}

/* Returns the worth of the answers per offered request of a rank. */
static double
worth(const Result_t *result, int rank)
{
    return (result->timely[rank] + LATE_WORTH * result->late[rank]) /
           result->offered[rank];
}

static void
print_result(const char *name, const Result_t *result)
{
    print_message(
        "  %-26s timely %.3f %.3f, late %.3f %.3f, worth %.3f; work lost %d, "
        "nested calls refused %d, refused after %.0f ms\n",
        name, (double)result->timely[0] / result->offered[0],
        (double)result->timely[1] / result->offered[1],
        (double)result->late[0] / result->offered[0],
        (double)result->late[1] / result->offered[1],
        (worth(result, 0) * result->offered[0] +
         worth(result, 1) * result->offered[1]) /
            (result->offered[0] + result->offered[1]),
        result->lost_work, result->nested_refused,
        result->refused > 0 ? (double)result->refusal_wait / result->refused
                            : 0.0);
}

static int
timely(const Result_t *result)
{
    return result->timely[0] + result->timely[1];
}

/* Guards against slots that go to answers which are late under overload with
   uneven work, and against running requests that lose their work because a
   call of theirs is refused. */
static void
test_overload_with_uneven_work(void **state)
{
    static const double loads[] = {0.6, 0.9, 1.2, 1.7, 2.1, 2.5};
    bool better = true;

    (void)state;
    for (size_t i = 0; i < sizeof(loads) / sizeof(loads[0]); i++) {
        Result_t results[POLICY_COUNT];

        print_message("load %.1f, ranks 0 and 1:\n", loads[i]);
        for (int policy = 0; policy < POLICY_COUNT; policy++) {
            results[policy] = replay((Policy_t)policy, loads[i], false);
            print_result(policy_names[policy], &results[policy]);
        }
        for (int policy = POLICY_COSTS; policy < POLICY_COUNT; policy++) {
            const Result_t *result = &results[policy];
            const Result_t *present = &results[POLICY_PRESENT];

            better = better && timely(result) >= (loads[i] < 1 ? 0.98 : 1.02) *
                                                     timely(present);
            if (loads[i] > 0.8) {
                better = better &&
                         result->timely[0] >= 0.99 * present->timely[0] &&
                         result->timely[1] >= present->timely[1];
            }
            if (loads[i] > 1.5) {
                better = better && result->timely[0] >= present->timely[0] &&
                         result->timely[1] >= present->timely[1] &&
                         result->refusal_wait * present->refused <
                             present->refusal_wait * result->refused / 2;
            }
            better = better && result->nested_refused == 0;
        }
    }
    assert_true(better);
}

/* Guards against calls to an overloaded host that are refused, so that the
   requests that make them lose their work: three hosts call one, which has
   requests of its own. */
static void
test_calls_to_an_overloaded_host(void **state)
{
    static const double loads[] = {1.0, 1.7, 2.5};

    (void)state;
    for (size_t i = 0; i < sizeof(loads) / sizeof(loads[0]); i++) {
        Result_t results[POLICY_COUNT];

        print_message("load %.1f, three hosts call one, ranks 0 and 1:\n",
                      loads[i]);
        for (int policy = 0; policy < POLICY_COUNT; policy++) {
            results[policy] = replay((Policy_t)policy, loads[i], true);
            print_result(policy_names[policy], &results[policy]);
        }
        for (int policy = POLICY_COSTS; policy < POLICY_COUNT; policy++) {
            assert_true(timely(&results[policy]) >
                        timely(&results[POLICY_PRESENT]));
            assert_true(results[policy].lost_work <=
                        results[POLICY_PRESENT].lost_work);
        }
    }
}

/* Guards against refused callers who come back together, or later than a third
   of the time that they have. */
static void
test_retries_are_spread(void **state)
{
    static AprAdmission_t admission;
    static AprCostModel_t costs;
    AprAdmissionRequest_t request = {
        .kind = 1, .objective_ms = 200, .deadline_ms = 900};
    int by_quarter[4] = {0};
    int64_t least_ms = INT64_MAX;
    int64_t most_ms = 0;
    int refused = 0;

    (void)state;
    AprAdmission_Init(&admission, 4);
    AprCostModel_Init(&costs, 0);
    AprAdmission_SetCostModel(&admission, &costs);
    for (int i = 0; i < 400; i++) {
        AprAdmissionRequest_t offered = request;
        AprAdmissionDecision_t decision;

        offered.id = (uint64_t)i + 1;
        decision = AprAdmission_Offer(&admission, &offered, 0);
        if (i < 100) {
            while (AprAdmission_StartNext(&admission, 0, &offered)) {
            }
        }
        else if (!decision.admitted) {
            int64_t delay_ms = decision.retry_after_ms;

            refused++;
            assert_in_range(delay_ms, 1, 300);
            least_ms = delay_ms < least_ms ? delay_ms : least_ms;
            most_ms = delay_ms > most_ms ? delay_ms : most_ms;
        }
    }
    assert_true(refused > 200);
    assert_true(most_ms >= least_ms + 40);
    for (uint64_t id = 100; id < 500; id++) {
        AprAdmissionRequest_t offered = request;
        int64_t delay_ms;

        offered.id = id;
        delay_ms = AprAdmission_Offer(&admission, &offered, 0).retry_after_ms;
        by_quarter[(delay_ms - least_ms) * 4 / (most_ms - least_ms + 1)]++;
    }
    for (int i = 0; i < 4; i++) {
        assert_in_range(by_quarter[i], 60, 140);
    }
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_overload_with_uneven_work),
        cmocka_unit_test(test_calls_to_an_overloaded_host),
        cmocka_unit_test(test_retries_are_spread),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
