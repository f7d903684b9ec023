/* Replays overload with callers that come back: they are refused, wait as told
   and try again within their time limit. Service times are scattered. */
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
#include "apricot/time_limits.h"

#define SLOTS 9
#define SERVICE_TIME_MS 60.0
#define SERVICE_DEVIATION 0.35 /* of the logarithm of a service time */
#define OBJECTIVE_MS 200
#define TIME_LIMIT_MS 1200
#define TIME_LIMIT_SPREAD 0.15 /* callers use up to this much less */
#define MAX_ATTEMPTS 3
#define NETWORK_MS 5
#define LOAD 1.2
#define DURATION_MS 60000
#define MAX_CALLERS 20000

/* How the server orders and refuses the requests. */
typedef enum Policy_t {
    POLICY_FIRST_COME, /* in order of arrival, until the deadline */
    POLICY_RANDOM,     /* in random order, until the deadline */
    POLICY_ATTEMPTS,   /* AprAdmission; each attempt counts as a new request */
    POLICY_CALLERS     /* AprAdmission with AprTimeLimits */
} Policy_t;

typedef struct Caller_t {
    int64_t first_ms;
    int64_t deadline_ms;
    int64_t next_ms; /* of the next attempt; 0: none */
    int attempts;
} Caller_t;

typedef struct Result_t {
    int callers;
    int in_objective; /* counted from the first attempt */
    int late;
    int refused_again; /* came back and were never served */
} Result_t;

typedef struct Run_t {
    Policy_t policy;
    uint64_t random_state;
    AprAdmission_t admission;
    AprTimeLimits_t limits;
    Caller_t callers[MAX_CALLERS];
    int caller_count;
    /* Queue of the two baselines: indexes of callers. */
    int queue[MAX_CALLERS * MAX_ATTEMPTS];
    int queue_count;
    int running[SLOTS]; /* caller; -1: free */
    uint64_t running_id[SLOTS];
    int64_t end_ms[SLOTS];
    int owner_of_id[MAX_CALLERS * MAX_ATTEMPTS + 1];
    uint64_t next_id;
    Result_t result;
} Run_t;

static double
random_unit(Run_t *run)
{
    run->random_state = run->random_state * 6364136223846793005u + 1442695041u;
    return ((double)(run->random_state >> 33) + 0.5) / 2147483648.0;
}

static int64_t
random_service_ms(Run_t *run)
{
    double normal =
        sqrt(-2 * log(random_unit(run))) * cos(6.283185307 * random_unit(run));

    return (int64_t)(SERVICE_TIME_MS *
                     exp(SERVICE_DEVIATION * normal -
                         SERVICE_DEVIATION * SERVICE_DEVIATION / 2));
}

/* Sends a refused caller back, or ends its request. */
static void
refuse(Run_t *run, Caller_t *caller, int64_t retry_after_ms, int64_t now_ms)
{
    int64_t left_ms = caller->deadline_ms - now_ms;

    if (retry_after_ms > left_ms / 3) {
        retry_after_ms = left_ms / 3;
    }
    if (caller->attempts < MAX_ATTEMPTS && left_ms > 4 * NETWORK_MS) {
        caller->next_ms = now_ms + 2 * NETWORK_MS + retry_after_ms;
        return;
    }
    run->result.refused_again += caller->attempts > 1;
}

static void
attempt(Run_t *run, int index, int64_t now_ms)
{
    Caller_t *caller = &run->callers[index];
    AprAdmissionRequest_t request = {0};
    AprAdmissionDecision_t decision;
    int64_t waited_ms;

    caller->next_ms = 0;
    caller->attempts++;
    if (run->policy <= POLICY_RANDOM) {
        run->queue[run->queue_count++] = index;
        return;
    }
    waited_ms =
        AprTimeLimits_AddSample(&run->limits, caller->deadline_ms - now_ms);
    request.id = ++run->next_id;
    run->owner_of_id[request.id] = index;
    request.kind = 1;
    request.arrived_ms =
        run->policy == POLICY_CALLERS ? now_ms - waited_ms : now_ms;
    request.objective_ms = request.arrived_ms + OBJECTIVE_MS;
    request.deadline_ms = caller->deadline_ms;
    decision = AprAdmission_Offer(&run->admission, &request, now_ms);
    if (!decision.admitted) {
        refuse(run, caller, decision.retry_after_ms, now_ms);
    }
}

/* Takes the next request of a baseline; returns -1 when there is none. */
static int
take_queued(Run_t *run, int64_t now_ms)
{
    while (run->queue_count > 0) {
        int at = run->policy == POLICY_RANDOM
                     ? (int)(random_unit(run) * run->queue_count)
                     : 0;
        int index = run->queue[at];

        memmove(&run->queue[at], &run->queue[at + 1],
                (size_t)(--run->queue_count - at) * sizeof(run->queue[0]));
        if (run->callers[index].deadline_ms > now_ms) {
            return index;
        }
    }
    return -1;
}

static void
finish_slots(Run_t *run, int64_t now_ms)
{
    for (int i = 0; i < SLOTS; i++) {
        const Caller_t *caller;

        if (run->running[i] < 0 || run->end_ms[i] > now_ms) {
            continue;
        }
        caller = &run->callers[run->running[i]];
        run->running[i] = -1;
        if (run->policy > POLICY_RANDOM) {
            AprAdmission_Finish(&run->admission, run->running_id[i], now_ms,
                                true);
        }
        if (now_ms <= caller->first_ms + OBJECTIVE_MS) {
            run->result.in_objective++;
        }
        else if (now_ms <= caller->deadline_ms) {
            run->result.late++;
        }
    }
}

static void
start_slots(Run_t *run, int64_t now_ms)
{
    AprAdmissionRequest_t request;
    AprAdmissionDecision_t decision;

    for (int i = 0; i < SLOTS; i++) {
        if (run->running[i] >= 0) {
            continue;
        }
        if (run->policy <= POLICY_RANDOM) {
            run->running[i] = take_queued(run, now_ms);
        }
        else if (AprAdmission_StartNext(&run->admission, now_ms, &request)) {
            run->running[i] = run->owner_of_id[request.id];
            run->running_id[i] = request.id;
        }
        run->end_ms[i] = now_ms + random_service_ms(run);
    }
    while (
        run->policy > POLICY_RANDOM &&
        AprAdmission_ShedNext(&run->admission, now_ms, &request, &decision)) {
        refuse(run, &run->callers[run->owner_of_id[request.id]],
               decision.retry_after_ms, now_ms);
    }
}

static Result_t
replay(Policy_t policy)
{
    static Run_t run;
    double due = 0;
    int oldest = 0;

    memset(&run, 0, sizeof(run));
    run.policy = policy;
    run.random_state = 7;
    AprAdmission_Init(&run.admission, SLOTS);
    memset(run.running, 0xff, sizeof(run.running));
    for (int64_t now_ms = 1; now_ms < DURATION_MS; now_ms++) {
        due += LOAD * SLOTS / SERVICE_TIME_MS;
        while (due >= 1) {
            Caller_t *caller = &run.callers[run.caller_count];
            double limit_ms =
                TIME_LIMIT_MS * (1 - TIME_LIMIT_SPREAD * random_unit(&run));

            due -= 1;
            caller->first_ms = now_ms;
            caller->deadline_ms = now_ms + (int64_t)limit_ms;
            attempt(&run, run.caller_count++, now_ms);
        }
        while (oldest < run.caller_count &&
               run.callers[oldest].deadline_ms < now_ms) {
            oldest++;
        }
        for (int i = oldest; i < run.caller_count; i++) {
            if (run.callers[i].next_ms != 0 &&
                run.callers[i].next_ms <= now_ms) {
                attempt(&run, i, now_ms);
            }
        }
        finish_slots(&run, now_ms);
        start_slots(&run, now_ms);
    }
    run.result.callers = run.caller_count;
    return run.result;
}

static void
print_result(const char *name, const Result_t *result)
{
    print_message("%s: of %d callers %d in time, %d late, %d refused again\n",
                  name, result->callers, result->in_objective, result->late,
                  result->refused_again);
}

/* Guards against slots that go to answers which are late for their callers:
   repeats that count as new requests, and requests that start when only a
   shorter service time than usual would end in time. */
static void
test_callers_that_come_back(void **state)
{
    Result_t first_come = replay(POLICY_FIRST_COME);
    Result_t random = replay(POLICY_RANDOM);
    Result_t attempts = replay(POLICY_ATTEMPTS);
    Result_t callers = replay(POLICY_CALLERS);

    (void)state;
    print_result("first come, first served", &first_come);
    print_result("random", &random);
    print_result("by attempts", &attempts);
    print_result("by callers", &callers);
    /* The slots can serve 1 / LOAD of the callers. Up to a quarter of that may
       go to late answers, which use slots that would otherwise be idle. */
    assert_true(callers.in_objective * LOAD >= 0.75 * callers.callers);
    assert_true(callers.in_objective > attempts.in_objective);
    assert_true(callers.in_objective > random.in_objective);
    assert_true(callers.in_objective > first_come.in_objective);
}

/* Guards against callers with a shorter time limit of their own that count as
   repeats, against a few patient ones that make all others look like repeats,
   and against an estimate from too few requests. */
static void
test_time_already_waited(void **state)
{
    static AprTimeLimits_t limits;

    (void)state;
    for (int i = 0; i < 20; i++) {
        assert_int_equal(AprTimeLimits_AddSample(&limits, 1200 - 50 * i), 0);
    }
    for (int i = 0; i < 400; i++) {
        AprTimeLimits_AddSample(&limits, 1020 + i % 180);
        if (i % 20 == 0) {
            assert_int_equal(AprTimeLimits_AddSample(&limits, 6000), 0);
        }
    }
    assert_int_equal(AprTimeLimits_AddSample(&limits, 1030), 0);
    assert_in_range(AprTimeLimits_AddSample(&limits, 600), 450, 600);
    assert_int_equal(AprTimeLimits_AddSample(&limits, 0), 0);
    /* Most callers change to a shorter limit. */
    for (int i = 0; i < 8000; i++) {
        AprTimeLimits_AddSample(&limits, 500);
    }
    assert_int_equal(AprTimeLimits_AddSample(&limits, 500), 0);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_callers_that_come_back),
        cmocka_unit_test(test_time_already_waited),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
