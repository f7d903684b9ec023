/* The limit of a cold backend server, under the load that would break it. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "apricot/cold_limit.h"

#define PER_S 7.1
#define OVER 1.5
#define SLACK 8.0
/* Most requests in a second: 7.1 x 1.5 + 8 = 18.65. */
#define MOST 18
#define RATE (PER_S * OVER)

#define MAX_SENDS 20000

/* Requests that arrive at one backend server, and whether it is cold. */
typedef struct Arrivals_t {
    int64_t at_ms[MAX_SENDS];
    bool cold[MAX_SENDS];
    int count;
} Arrivals_t;

static Arrivals_t arrivals;

static void
add_arrival(int64_t at_ms, bool cold)
{
    assert_true(arrivals.count < MAX_SENDS);
    arrivals.at_ms[arrivals.count] = at_ms;
    arrivals.cold[arrivals.count++] = cold;
}

/* Returns the most requests in any window that ends with a request to the cold
   backend server. Those that came before it became cold count. */
static int
most_in_window(int64_t window_ms)
{
    int most = 0;
    int first = 0;

    for (int i = 0; i < arrivals.count; i++) {
        while (arrivals.at_ms[first] <= arrivals.at_ms[i] - window_ms) {
            first++;
        }
        if (arrivals.cold[i] && i - first + 1 > most) {
            most = i - first + 1;
        }
    }
    return most;
}

static void
start_limit(AprColdLimit_t *limit, int64_t now_ms)
{
    memset(&arrivals, 0, sizeof(arrivals));
    AprColdLimit_Init(limit, now_ms);
    AprColdLimit_Configure(limit, PER_S, OVER, SLACK, now_ms);
}

/* Sends as many requests as the limit allows, at most `per_ms` in each
   millisecond. */
static void
flood(AprColdLimit_t *limit, int64_t from_ms, int64_t to_ms, int per_ms)
{
    for (int64_t now_ms = from_ms; now_ms < to_ms; now_ms++) {
        for (int i = 0; i < per_ms && AprColdLimit_WaitMs(limit, now_ms) == 0;
             i++) {
            AprColdLimit_CountSent(limit, now_ms);
            add_arrival(now_ms, AprColdLimit_IsCold(limit, now_ms));
        }
    }
}

/* Sends a request every `interval_ms` if the limit allows it. */
static void
send_regularly(AprColdLimit_t *limit, int64_t from_ms, int64_t to_ms,
               int interval_ms)
{
    for (int64_t now_ms = from_ms; now_ms < to_ms; now_ms += interval_ms) {
        flood(limit, now_ms, now_ms + 1, 1);
    }
}

/* Guards against a flood that crashes a backend server that has just started,
   and against a limit that leaves callers waiting: it gets what it tolerates,
   without long pauses. */
static void
test_flood_at_start(void **state)
{
    AprColdLimit_t limit;
    int64_t longest_gap_ms = 0;

    (void)state;
    start_limit(&limit, 0);
    AprColdLimit_Report(&limit, 20000, 5000);
    flood(&limit, 5000, 15000, 10);
    for (int i = 1; i < arrivals.count; i++) {
        int64_t gap_ms = arrivals.at_ms[i] - arrivals.at_ms[i - 1];

        longest_gap_ms = gap_ms > longest_gap_ms ? gap_ms : longest_gap_ms;
    }
    print_message("flood: %d requests in 10 s, at most %d in 1.1 s, gap %d\n",
                  arrivals.count, most_in_window(1100), (int)longest_gap_ms);
    assert_true(most_in_window(APR_COLD_WINDOW_MS) <= MOST);
    assert_true(arrivals.count >= (int)(10 * RATE) - 2);
    assert_true(arrivals.count <= (int)(10 * RATE) + 8);
    assert_true(longest_gap_ms <= 2 * 1000 / RATE);
}

/* Guards against the second in which a backend server becomes cold in the
   middle of work: what it got before counts. */
static void
test_becomes_cold_in_the_middle_of_work(void **state)
{
    AprColdLimit_t limit;

    (void)state;
    for (int interval_ms = 5; interval_ms <= 200; interval_ms += 5) {
        int sent_warm;

        start_limit(&limit, 0);
        AprColdLimit_Report(&limit, 0, 0);
        send_regularly(&limit, 0, 5000, interval_ms);
        sent_warm = arrivals.count;
        assert_true(sent_warm >= 5000 / interval_ms);
        AprColdLimit_Report(&limit, 3000, 5000);
        flood(&limit, 5000, 8000, 10);
        assert_true(most_in_window(APR_COLD_WINDOW_MS) <= MOST);
        /* It is served again as soon as the window allows. */
        assert_true(arrivals.count - sent_warm >= (int)(1.8 * RATE));
    }
}

/* Guards against a state that becomes known late: a backend server that gets
   40 requests a second and whose state is known after 250 ms gets no more than
   its bound in the second in which it becomes cold. */
static void
test_becomes_cold_before_it_is_known(void **state)
{
    AprColdLimit_t limit;

    (void)state;
    start_limit(&limit, 0);
    send_regularly(&limit, 0, 5000, 25);
    arrivals.count = 0; /* what came before does not count here */
    send_regularly(&limit, 5000, 5250, 25);
    memset(arrivals.cold, 1, (size_t)arrivals.count);
    AprColdLimit_Report(&limit, 3000, 5250);
    flood(&limit, 5250, 8000, 10);
    assert_true(most_in_window(1000) <= MOST);
}

/* Guards against a restart of the gateway that doubles the requests of one
   second: the new process does not know what the earlier one sent. */
static void
test_restart_of_the_gateway(void **state)
{
    (void)state;
    for (int pause_ms = 0; pause_ms <= 1500; pause_ms += 50) {
        for (int end_ms = 5000; end_ms <= 5200; end_ms += 20) {
            AprColdLimit_t limit;

            start_limit(&limit, 0);
            AprColdLimit_Report(&limit, 20000, 3000);
            flood(&limit, 3000, end_ms, 10);
            AprColdLimit_Init(&limit, end_ms);
            AprColdLimit_Configure(&limit, PER_S, OVER, SLACK, end_ms);
            AprColdLimit_Report(&limit, 20000, end_ms + pause_ms);
            flood(&limit, end_ms + pause_ms, 10000, 10);
            assert_true(most_in_window(APR_COLD_WINDOW_MS) <= MOST);
        }
    }
}

/* Guards against bursts of a backend server that changes between cold and
   warm: each change must not renew the allowance. */
static void
test_flapping_between_cold_and_warm(void **state)
{
    static const int periods_ms[] = {20, 50, 150, 250, 400, 870, 1100, 2500};

    (void)state;
    for (size_t i = 0; i < sizeof(periods_ms) / sizeof(*periods_ms); i++) {
        for (int interval_ms = 10; interval_ms <= 60; interval_ms += 25) {
            AprColdLimit_t limit;
            int64_t now_ms = 0;

            start_limit(&limit, -5000);
            for (int change = 0; change < 20; change++) {
                AprColdLimit_Report(&limit, change % 2 == 0 ? 9000 : 0,
                                    now_ms);
                send_regularly(&limit, now_ms, now_ms + periods_ms[i],
                               interval_ms);
                now_ms += periods_ms[i];
            }
            assert_true(most_in_window(APR_COLD_WINDOW_MS) <= MOST);
        }
    }
}

/* Guards against health probes and resends beyond the bound. A probe may
   precede requests that wait for the rate. */
static void
test_probes_count(void **state)
{
    AprColdLimit_t limit;
    int probes = 0;

    (void)state;
    start_limit(&limit, -5000);
    AprColdLimit_Report(&limit, 9000, 0);
    for (int64_t now_ms = 0; now_ms < 8000; now_ms++) {
        flood(&limit, now_ms, now_ms + 1, 10);
        if (now_ms % 100 == 0 && AprColdLimit_HasRoom(&limit, now_ms)) {
            AprColdLimit_CountSent(&limit, now_ms);
            add_arrival(now_ms, true);
            probes++;
        }
    }
    assert_true(probes >= 40);
    assert_true(most_in_window(APR_COLD_WINDOW_MS) <= MOST);
    assert_true(arrivals.count <= (int)(8 * RATE) + 8);
}

/* Guards against settings for which rate and burst exceed the bound. */
static void
test_bound_holds_for_all_settings(void **state)
{
    static const double rates[] = {0.3, 1, 7.1, 30, 90, 300};
    static const double overs[] = {1, 1.5, 3};
    static const double slacks[] = {0, 1, 8, 50};

    (void)state;
    for (int i = 0; i < 6 * 3 * 4; i++) {
        double per_s = rates[i / 12];
        double over = overs[i / 4 % 3];
        double slack = slacks[i % 4];
        int most = (int)(per_s * over + slack);
        AprColdLimit_t limit;

        start_limit(&limit, 0);
        AprColdLimit_Configure(&limit, per_s, over, slack, 0);
        AprColdLimit_Report(&limit, 60000, 2000);
        flood(&limit, 2000, 12000, 3);
        assert_true(most_in_window(APR_COLD_WINDOW_MS) <=
                    (most > 1 ? most : 1));
        if (most > 2 && most < APR_COLD_MAX_WINDOW_REQUESTS) {
            assert_true(arrivals.count >= (int)(10 * per_s * over * 0.6));
        }
    }
}

/* Guards against a limit that outlasts the cold time, and against one that a
   defective report imposes. */
static void
test_end_of_the_cold_time(void **state)
{
    AprColdLimit_t limit;

    (void)state;
    start_limit(&limit, -5000);
    AprColdLimit_Report(&limit, 500, 0);
    assert_true(AprColdLimit_IsCold(&limit, 499));
    assert_int_equal(AprColdLimit_RemainingMs(&limit, 400), 100);
    /* The cold time passes only while there is traffic, so that its end is
       confirmed by a report. */
    assert_true(AprColdLimit_IsCold(&limit, 1400));
    assert_false(AprColdLimit_IsCold(&limit, 2500));
    assert_int_equal(AprColdLimit_WaitMs(&limit, 2500), 0);
    AprColdLimit_Report(&limit, 500, 3000);
    assert_true(AprColdLimit_IsCold(&limit, 3000));
    AprColdLimit_Report(&limit, 0, 3100);
    assert_false(AprColdLimit_IsCold(&limit, 3100));
    AprColdLimit_Report(&limit, -700, 3200);
    assert_false(AprColdLimit_IsCold(&limit, 3200));
    AprColdLimit_Report(&limit, INT64_MAX / 4, 3300);
    assert_false(AprColdLimit_IsCold(&limit, 3300));
    /* Without a configured limit, nothing is limited. */
    AprColdLimit_Report(&limit, 500, 3400);
    AprColdLimit_Configure(&limit, 0, OVER, SLACK, 3400);
    assert_false(AprColdLimit_IsCold(&limit, 3400));
    assert_int_equal(AprColdLimit_WaitMs(&limit, 3400), 0);
    /* The report holds if the limit becomes known after it. */
    AprColdLimit_Configure(&limit, PER_S, OVER, SLACK, 3450);
    assert_true(AprColdLimit_IsCold(&limit, 3450));
}

/* Guards against a cold host that reports more slots than its rate uses. */
static void
test_usable_slots(void **state)
{
    AprColdLimit_t limit;

    (void)state;
    start_limit(&limit, -5000);
    assert_int_equal(AprColdLimit_UsableSlots(&limit, 9, 0), 9);
    AprColdLimit_Report(&limit, 9000, 0);
    assert_int_equal(AprColdLimit_UsableSlots(&limit, 9, 0), 1);
    AprColdLimit_AddServiceTime(&limit, 280);
    /* 10.65 requests a second of 280 ms. */
    assert_int_equal(AprColdLimit_UsableSlots(&limit, 9, 0), 3);
    assert_int_equal(AprColdLimit_UsableSlots(&limit, 2, 0), 2);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_flood_at_start),
        cmocka_unit_test(test_becomes_cold_in_the_middle_of_work),
        cmocka_unit_test(test_becomes_cold_before_it_is_known),
        cmocka_unit_test(test_restart_of_the_gateway),
        cmocka_unit_test(test_flapping_between_cold_and_warm),
        cmocka_unit_test(test_probes_count),
        cmocka_unit_test(test_bound_holds_for_all_settings),
        cmocka_unit_test(test_end_of_the_cold_time),
        cmocka_unit_test(test_usable_slots),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
