/* Learned service times and the pace of a backend server. */
#include <math.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "apricot/cost_model.h"
#include "apricot/server_load.h"

#define KIND 5

static AprCostModel_t model;

static double
random_unit(void)
{
    static uint64_t state = 11;

    state = state * 6364136223846793005u + 1442695041u;
    return ((double)(state >> 33) + 0.5) / 2147483648.0;
}

static double
log_normal(double mean_ms, double deviation)
{
    double normal =
        sqrt(-2 * log(random_unit())) * cos(6.283185307 * random_unit());

    return mean_ms * exp(deviation * normal - deviation * deviation / 2);
}

/* Guards against one estimate for requests whose bodies or calls differ, and
   against a distribution that is off. */
static void
test_learns_by_size_and_calls(void **state)
{
    AprCostEstimate_t small;
    AprCostEstimate_t large;
    AprCostEstimate_t calls;
    int above = 0;

    (void)state;
    AprCostModel_Init(&model, 0);
    assert_false(
        AprCostModel_Estimate(&model, KIND, 0, APR_COST_ANY_CALLS, &small));
    for (int i = 0; i < 1000; i++) {
        AprCostModel_AddSample(&model, KIND, 0, 0, log_normal(50, 0.4), 50, i);
        AprCostModel_AddSample(&model, KIND, 3, 0, log_normal(200, 0.4), 200,
                               i);
        AprCostModel_AddSample(&model, KIND, 0, 2, log_normal(120, 0.4), 120,
                               i);
    }
    assert_true(AprCostModel_Estimate(&model, KIND, 0, 0, &small));
    assert_true(
        AprCostModel_Estimate(&model, KIND, 3, APR_COST_ANY_CALLS, &large));
    assert_true(AprCostModel_Estimate(&model, KIND, 0, 2, &calls));
    assert_in_range(small.mean_ms, 40, 60);
    assert_in_range(large.mean_ms, 160, 240);
    assert_in_range(calls.mean_ms, 96, 144);
    for (int i = 0; i < 10000; i++) {
        above += log_normal(50, 0.4) > AprCostModel_HighMs(&small);
    }
    assert_in_range(above, 500, 1700);
    /* An unknown size class uses the nearest one that is known. */
    assert_true(
        AprCostModel_Estimate(&model, KIND, 2, APR_COST_ANY_CALLS, &small));
    assert_true(fabs(small.mean_ms - large.mean_ms) < 1);
}

/* Guards against slow periods that change the learned service times, and
   against an estimate that ignores them. */
static void
test_pace_is_apart_from_cost(void **state)
{
    AprCostEstimate_t estimate;

    (void)state;
    AprCostModel_Init(&model, 0);
    for (int64_t now_ms = 0; now_ms < 20000; now_ms += 10) {
        bool slow = now_ms % 2000 >= 1600;
        double started = AprCostModel_Progress(&model, now_ms);
        double work_ms;

        AprCostModel_ReportPace(&model, slow ? 300 : 100, now_ms);
        now_ms += slow ? 150 : 50;
        AprCostModel_ReportPace(&model, slow ? 300 : 100, now_ms);
        work_ms = AprCostModel_Progress(&model, now_ms) - started;
        AprCostModel_AddSample(&model, KIND, 0, 0, work_ms, slow ? 150 : 50,
                               now_ms);
    }
    assert_true(AprCostModel_Estimate(&model, KIND, 0, 0, &estimate));
    assert_in_range(estimate.mean_ms, 42, 58);
    AprCostModel_ReportPace(&model, 300, 20000);
    assert_in_range(AprCostModel_Pace(&model, 20000) * 100, 299, 301);
    assert_in_range(AprCostModel_ElapsedMs(&model, 50, 20000), 149, 151);
}

/* Guards against an old report that still counts, against values that cannot
   be meant, and against a model that never learns without reports. */
static void
test_old_and_invalid_paces(void **state)
{
    (void)state;
    AprCostModel_Init(&model, 0);
    AprCostModel_ReportPace(&model, 100, 0);
    AprCostModel_ReportPace(&model, 100, 10000);
    AprCostModel_ReportPace(&model, 300, 10010);
    assert_true(AprCostModel_Pace(&model, 10020) > 2.8);
    assert_true(AprCostModel_Pace(&model, 10210) < 2.2);
    assert_true(AprCostModel_Pace(&model, 10411) < 1.1);
    AprCostModel_ReportPace(&model, 0, 10420);
    AprCostModel_ReportPace(&model, -100, 10420);
    AprCostModel_ReportPace(&model, 1000000, 10420);
    assert_true(AprCostModel_Pace(&model, 10420) < 1.1);

    AprCostModel_Init(&model, 0);
    for (int64_t now_ms = 0; now_ms < 5000; now_ms += 20) {
        AprCostModel_AddSample(&model, KIND, 0, 0, 60, 60, now_ms);
    }
    assert_true(fabs(AprCostModel_Pace(&model, 5000) - 1) < 0.1);
    for (int64_t now_ms = 5000; now_ms < 5200; now_ms += 20) {
        AprCostModel_AddSample(&model, KIND, 0, 0, 180, 180, now_ms);
    }
    assert_true(AprCostModel_Pace(&model, 5200) > 1.4);
    assert_true(AprCostModel_Pace(&model, 6500) < 1.1);
}

/* Guards against a full table that loses what it knows or is written beyond
   its end. */
static void
test_more_kinds_than_cells(void **state)
{
    AprCostEstimate_t estimate;

    (void)state;
    AprCostModel_Init(&model, 0);
    for (uint32_t kind = 1; kind < 3 * APR_COST_MAX_CELLS; kind++) {
        for (int i = 0; i < 3; i++) {
            AprCostModel_AddSample(&model, kind, 0, 0, 30, 30, i);
        }
    }
    assert_true(AprCostModel_Estimate(&model, 1, 0, 0, &estimate));
    assert_in_range(estimate.mean_ms, 29, 31);
    assert_false(AprCostModel_Estimate(&model, 3 * APR_COST_MAX_CELLS - 1, 0,
                                       0, &estimate));
}

/* Guards against a header that cannot be meant and is believed, and against
   one without a pace that is refused. */
static void
test_server_load_header(void **state)
{
    static const char *const invalid[] = {
        "",          "3,1",         "3,1,0,100",
        "3,1,6,",    "3,1,6,100,1", "-3,1,6,50",
        "3, 1,6,50", "3,1,6,0",     "3,1,6,9999",
        "3,1,6,1e2", "a,b,c,d",     "3,1,6,99999999999999999999"};
    AprServerLoad_t load;

    (void)state;
    for (size_t i = 0; i < sizeof(invalid) / sizeof(invalid[0]); i++) {
        assert_false(AprServerLoad_Parse(invalid[i], &load));
        assert_false(load.known);
        assert_int_equal(load.pace, 0);
    }
    assert_true(AprServerLoad_Parse("3,12,6,300", &load));
    assert_int_equal(load.running, 3);
    assert_int_equal(load.waiting, 12);
    assert_int_equal(load.slots, 6);
    assert_int_equal(load.pace, 300);
    assert_true(AprServerLoad_Parse("0,0,4", &load));
    assert_true(load.known);
    assert_int_equal(load.pace, 0);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_learns_by_size_and_calls),
        cmocka_unit_test(test_pace_is_apart_from_cost),
        cmocka_unit_test(test_old_and_invalid_paces),
        cmocka_unit_test(test_more_kinds_than_cells),
        cmocka_unit_test(test_server_load_header),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
