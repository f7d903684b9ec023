/* Requests that arrive during a planned stop while all queues are full. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "apricot/stop_plan.h"

#define GRACE_MS 6000

/* Guards against accepted requests that outlast the process: callers keep
   sending requests of each time limit, every 10 ms, until the exit. */
static void
test_accepted_requests_end_before_the_exit(void **state)
{
    AprStopPlan_t plan;

    (void)state;
    AprStopPlan_Init(&plan, 1000, GRACE_MS);
    for (int limit_ms = 50; limit_ms <= 30000; limit_ms *= 2) {
        for (int64_t now_ms = 1000; now_ms < plan.exit_ms; now_ms += 10) {
            int64_t deadline_ms = now_ms + limit_ms;

            if (!AprStopPlan_Accepts(&plan, now_ms, deadline_ms)) {
                continue;
            }
            assert_true(AprStopPlan_LimitDeadline(&plan, deadline_ms) <=
                        plan.finish_by_ms);
            /* A deadline that is brought forward leaves time to run. */
            assert_true(deadline_ms <= plan.finish_by_ms ||
                        plan.finish_by_ms - now_ms >= GRACE_MS / 3);
        }
    }
}

/* Guards against refusals of requests that could be answered in time. */
static void
test_short_requests_are_accepted_until_late(void **state)
{
    AprStopPlan_t plan;

    (void)state;
    AprStopPlan_Init(&plan, 0, GRACE_MS);
    assert_true(AprStopPlan_Accepts(&plan, 0, 30000));
    assert_true(AprStopPlan_Accepts(&plan, 4000, 5000));
    assert_false(AprStopPlan_Accepts(&plan, 4000, 7000));
}

/* Guards against an exit after the process would be killed, for any grace. */
static void
test_steps_are_in_order(void **state)
{
    (void)state;
    for (int64_t grace_ms = 500; grace_ms <= 600000; grace_ms += 100) {
        AprStopPlan_t plan;

        AprStopPlan_Init(&plan, 0, grace_ms);
        assert_true(plan.accept_until_ms <= plan.leave_ms);
        assert_true(plan.leave_ms <= plan.finish_by_ms);
        assert_true(plan.finish_by_ms <= plan.answer_by_ms);
        assert_true(plan.answer_by_ms < plan.exit_ms);
        assert_true(plan.exit_ms < grace_ms);
    }
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_accepted_requests_end_before_the_exit),
        cmocka_unit_test(test_short_requests_are_accepted_until_late),
        cmocka_unit_test(test_steps_are_in_order),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
