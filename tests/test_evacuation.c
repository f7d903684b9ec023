/* Decisions about evacuated failure domains. The load that the last two tests
   replay: 25 hosts of a domain, 8 keyed requests a second to each, heartbeats
   every 870 ms, an evacuation deadline of 5 s. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

#include "apricot/evacuation.h"

#define DEADLINE_MS 5000
#define DOMAIN_HOSTS 25
#define REQUEST_INTERVAL_MS 125
#define HEARTBEAT_MS 870

/* Time at which the store acknowledges the item of the domain. */
#define ACKNOWLEDGED_MS 100000

static AprEvacuation_t evacuation;

static int
set_up(void **state)
{
    (void)state;
    AprEvacuation_Init(&evacuation, "h1", DEADLINE_MS);
    return 0;
}

static int
tear_down(void **state)
{
    (void)state;
    AprEvacuation_Clear(&evacuation);
    return 0;
}

/* Guards against unkeyed requests that start in an evacuated domain, keyed
   ones that start after their limit, and effects on other domains. */
static void
test_requests_stop_and_start_again(void **state)
{
    (void)state;
    assert_true(AprEvacuation_MayStart(&evacuation, "a", false, 1000));
    assert_true(AprEvacuation_Add(&evacuation, "a", 900, 1000));
    assert_false(AprEvacuation_MayStart(&evacuation, "a", false, 1000));
    assert_true(AprEvacuation_MayStart(&evacuation, "a", true, 3999));
    assert_false(AprEvacuation_MayStart(&evacuation, "a", true, 4000));
    assert_true(AprEvacuation_MayStart(&evacuation, "b", false, 4000));
    assert_true(AprEvacuation_Remove(&evacuation, "a"));
    assert_true(AprEvacuation_MayStart(&evacuation, "a", false, 4001));
    assert_false(AprEvacuation_Remove(&evacuation, "a"));
}

/* Guards against a deployment without the setting that acts on an item. */
static void
test_nothing_happens_without_deadline(void **state)
{
    (void)state;
    AprEvacuation_Init(&evacuation, "h1", 0);
    assert_false(AprEvacuation_Add(&evacuation, "a", 900, 1000));
    assert_true(AprEvacuation_MayStart(&evacuation, "a", false, 1000));
    assert_false(AprEvacuation_IsHandoverDue(&evacuation, "a", 9000));
}

/* Guards against names that no failure domain can have, which would otherwise
   be cut to the name of another one. */
static void
test_impossible_names_are_ignored(void **state)
{
    char name[APR_NAME_SIZE + 1];

    (void)state;
    memset(name, 'a', sizeof(name));
    name[APR_NAME_SIZE] = '\0';
    assert_false(AprEvacuation_Add(&evacuation, name, 900, 1000));
    assert_false(AprEvacuation_Add(&evacuation, "", 900, 1000));
    assert_int_equal(evacuation.count, 0);
    name[APR_NAME_SIZE - 1] = '\0';
    assert_true(AprEvacuation_Add(&evacuation, name, 900, 1000));
}

/* Guards against more time for keyed requests when an item is written again,
   and against a lost domain when several are evacuated and one ends. */
static void
test_repeated_items_extend_nothing(void **state)
{
    char name[8];

    (void)state;
    for (int i = 0; i < 9; i++) {
        snprintf(name, sizeof(name), "d%d", i);
        assert_true(AprEvacuation_Add(&evacuation, name, 900, 1000 + i));
    }
    assert_false(AprEvacuation_Add(&evacuation, "d0", 3000, 3000));
    assert_false(AprEvacuation_MayStart(&evacuation, "d0", true, 4000));
    assert_true(AprEvacuation_Remove(&evacuation, "d0"));
    for (int i = 1; i < 9; i++) {
        snprintf(name, sizeof(name), "d%d", i);
        assert_int_equal(AprEvacuation_Find(&evacuation, name)->known_ms,
                         1000 + i);
    }
    assert_null(AprEvacuation_Find(&evacuation, "d0"));
}

/* Guards against keyed requests in a process that starts during an evacuation
   of unknown age. */
static void
test_first_read_gives_no_time(void **state)
{
    (void)state;
    assert_true(AprEvacuation_Add(&evacuation, "a", 0, 1000));
    assert_false(AprEvacuation_MayStart(&evacuation, "a", true, 1000));
    assert_true(AprEvacuation_IsHandoverDue(&evacuation, "a",
                                            1000 + APR_EVACUATION_STAGGER_MS));
}

/* Replays the keyed requests of a domain whose hosts learn of the evacuation
   `delay_ms` after its acknowledgement and had complete items until
   `cut_before_ms` before it. No handover takes place. Returns the time from
   the acknowledgement to the last start. */
static int64_t
replay_keyed_requests(int64_t delay_ms, int64_t cut_before_ms)
{
    int64_t known_ms = ACKNOWLEDGED_MS + delay_ms;
    int64_t last_ms = 0;

    for (int host = 0; host < DOMAIN_HOSTS; host++) {
        int64_t now_ms = ACKNOWLEDGED_MS + host * 5;
        bool known = false;

        AprEvacuation_Clear(&evacuation);
        AprEvacuation_Init(&evacuation, "h", DEADLINE_MS);
        for (; now_ms < ACKNOWLEDGED_MS + 4 * DEADLINE_MS;
             now_ms += REQUEST_INTERVAL_MS) {
            if (!known && now_ms >= known_ms) {
                known = AprEvacuation_Add(
                    &evacuation, "a", ACKNOWLEDGED_MS - cut_before_ms, now_ms);
            }
            if (AprEvacuation_MayStart(&evacuation, "a", true, now_ms) &&
                now_ms - ACKNOWLEDGED_MS > last_ms) {
                last_ms = now_ms - ACKNOWLEDGED_MS;
            }
        }
    }
    return last_ms;
}

/* Guards against requests that start after the deadline at hosts which learn
   of the evacuation late: usually after 0.5 s, after 2 s when the sources of
   items are lost, and after 4.4 s when the host was cut off. */
static void
test_no_request_starts_after_deadline(void **state)
{
    (void)state;
    assert_true(replay_keyed_requests(500, 400) <= DEADLINE_MS);
    assert_true(replay_keyed_requests(500, 400) >= 3400);
    assert_true(replay_keyed_requests(2000, 100) <= DEADLINE_MS);
    assert_true(replay_keyed_requests(2000, 4000) <= 2000);
    assert_true(replay_keyed_requests(4400, 100) <= DEADLINE_MS);
}

/* Guards against hosts of a domain that all change the key map in the same
   moment, and against a handover that is so late that requests are refused. */
static void
test_handovers_are_spread(void **state)
{
    int per_slot[APR_EVACUATION_STAGGER_MS / 50] = {0};
    int busiest = 0;

    (void)state;
    for (int host = 0; host < DOMAIN_HOSTS; host++) {
        char name[32];
        int64_t now_ms = ACKNOWLEDGED_MS;

        snprintf(name, sizeof(name), "sidecar-sapporo-%d", host + 1);
        AprEvacuation_Clear(&evacuation);
        AprEvacuation_Init(&evacuation, name, DEADLINE_MS);
        AprEvacuation_Add(&evacuation, "sapporo", ACKNOWLEDGED_MS - 100,
                          ACKNOWLEDGED_MS);
        while (!AprEvacuation_IsHandoverDue(&evacuation, "sapporo", now_ms)) {
            now_ms++;
        }
        assert_true(now_ms - ACKNOWLEDGED_MS < APR_EVACUATION_STAGGER_MS);
        per_slot[(now_ms - ACKNOWLEDGED_MS) / 50]++;
        /* Two heartbeats, as a host may need two changes. */
        assert_true(AprEvacuation_MayStart(&evacuation, "sapporo", true,
                                           now_ms + 2 * HEARTBEAT_MS));
    }
    for (int i = 0; i < APR_EVACUATION_STAGGER_MS / 50; i++) {
        busiest = per_slot[i] > busiest ? per_slot[i] : busiest;
    }
    assert_true(busiest <= DOMAIN_HOSTS / 2);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup_teardown(test_requests_stop_and_start_again,
                                        set_up, tear_down),
        cmocka_unit_test_setup_teardown(test_nothing_happens_without_deadline,
                                        set_up, tear_down),
        cmocka_unit_test_setup_teardown(test_impossible_names_are_ignored,
                                        set_up, tear_down),
        cmocka_unit_test_setup_teardown(test_repeated_items_extend_nothing,
                                        set_up, tear_down),
        cmocka_unit_test_setup_teardown(test_first_read_gives_no_time, set_up,
                                        tear_down),
        cmocka_unit_test_setup_teardown(test_no_request_starts_after_deadline,
                                        set_up, tear_down),
        cmocka_unit_test_setup_teardown(test_handovers_are_spread, set_up,
                                        tear_down),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
