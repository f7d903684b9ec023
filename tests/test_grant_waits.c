/* Requests that wait for the grant of their key. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "apricot/grant_table.h"
#include "apricot/grant_waits.h"

#define SLOTS 4
#define NOW_MS 10000
#define GRANT_MS 3000

static AprGrantWaits_t waits;

/* Returns a request that arrives now, with a service time of 100 ms. */
static AprAdmissionRequest_t
make_request(uint64_t id, int64_t objective_ms, int64_t deadline_ms)
{
    return (AprAdmissionRequest_t){.id = id,
                                   .kind = 1,
                                   .arrived_ms = NOW_MS,
                                   .objective_ms = NOW_MS + objective_ms,
                                   .deadline_ms = NOW_MS + deadline_ms,
                                   .expected_service_ms = 100};
}

static bool
offer(uint64_t id, int64_t objective_ms, int64_t deadline_ms,
      int64_t grant_in_ms)
{
    AprAdmissionRequest_t request =
        make_request(id, objective_ms, deadline_ms);

    return AprGrantWaits_Offer(&waits, &request, 7, SLOTS, 0,
                               NOW_MS + grant_in_ms, NOW_MS)
        .admitted;
}

/* Guards against requests that are refused for a heartbeat after each move of
   their key, and against ones that wait without a chance. */
static void
test_waits_only_if_in_time(void **state)
{
    (void)state;
    memset(&waits, 0, sizeof(waits));
    assert_true(offer(1, 1000, 2000, 800));
    /* Later than the objective, but well before the deadline. */
    assert_true(offer(2, 500, 2000, 800));
    assert_false(offer(3, 500, 1000, 800));
    assert_false(offer(4, 500, 2000, 3000));
    assert_int_equal(waits.count, 2);
}

/* Guards against a crowd that waits for one grant and cannot be served in time
   after it: the waiting is bounded like the queue. */
static void
test_waiting_is_bounded(void **state)
{
    AprAdmissionRequest_t request = make_request(999, 60000, 60000);
    int admitted = 0;

    (void)state;
    memset(&waits, 0, sizeof(waits));
    for (uint64_t i = 0; i < 100; i++) {
        admitted += offer(i, 1000, 1200, 400);
    }
    /* 4 slots run 24 requests of 100 ms in the 600 ms left. */
    assert_true(admitted >= 20);
    assert_true(admitted <= 25);
    for (uint64_t i = 0; i < 2 * APR_MAX_GRANT_WAITS; i++) {
        offer(1000 + i, 60000, 60000, 400);
    }
    assert_int_equal(waits.count, APR_MAX_GRANT_WAITS);
    assert_true(
        AprGrantWaits_Offer(&waits, &request, 7, SLOTS, 0, NOW_MS, NOW_MS)
            .retry_after_ms > 0);
}

/* Guards against requests that wait although the queue of the host is longer
   than the time until the grant. */
static void
test_queue_counts(void **state)
{
    AprAdmissionRequest_t request = make_request(1, 500, 600);

    (void)state;
    memset(&waits, 0, sizeof(waits));
    assert_false(AprGrantWaits_Offer(&waits, &request, 7, SLOTS, 900,
                                     NOW_MS + 100, NOW_MS)
                     .admitted);
}

/* Guards against requests that keep waiting when the grant is late: they are
   refused while the caller can still go on. */
static void
test_late_grant_ends_waiting(void **state)
{
    (void)state;
    memset(&waits, 0, sizeof(waits));
    assert_true(offer(1, 500, 1000, 300));
    assert_true(AprGrantWaits_IsWorthWaiting(&waits, 0, SLOTS, NOW_MS + 300,
                                             NOW_MS + 100));
    assert_false(AprGrantWaits_IsWorthWaiting(&waits, 0, SLOTS, NOW_MS + 1200,
                                              NOW_MS + 400));
    /* A grant that should have come counts as coming now. */
    assert_false(AprGrantWaits_IsWorthWaiting(&waits, 0, SLOTS, NOW_MS + 300,
                                              NOW_MS + 900));
}

/* Guards against a request that is answered twice, after its caller left. */
static void
test_removed_request_does_not_wait(void **state)
{
    (void)state;
    memset(&waits, 0, sizeof(waits));
    offer(1, 1000, 2000, 300);
    offer(2, 1000, 2000, 300);
    assert_true(AprGrantWaits_Remove(&waits, 1));
    assert_false(AprGrantWaits_Remove(&waits, 1));
    assert_int_equal(waits.count, 1);
    assert_int_equal(waits.entries[0].request.id, 2);
}

/* Guards against requests that are refused although the handover token is on
   its way, and against ones that wait for a holder that is gone. */
static void
test_expected_release_of_a_range(void **state)
{
    AprGrant_t token = {0, 999, 2, "t"};
    static AprGrantTable_t table;
    const AprKeyRange_t *range;
    AprKeyMap_t map;

    (void)state;
    AprKeyMap_Init(&map);
    AprKeyMap_Assign(&map, 0, APR_KEY_COUNT - 1, "h2", NULL);
    AprKeyMap_Assign(&map, 0, 999, "h1", "h2");
    range = AprKeyMap_FindRange(&map, 0);
    AprGrantTable_Init(&table, "h1", GRANT_MS, 0);
    AprGrantTable_ApplyKeyMap(&table, &map, NOW_MS);
    assert_in_range(
        AprGrantTable_ExpectedReleaseMs(&table, range, NOW_MS + 100),
        NOW_MS + 300, NOW_MS + 600);
    /* Late: soon, but not later than the end of the last grant. */
    assert_in_range(
        AprGrantTable_ExpectedReleaseMs(&table, range, NOW_MS + 900),
        NOW_MS + 901, NOW_MS + 1200);
    assert_int_equal(
        AprGrantTable_ExpectedReleaseMs(&table, range, NOW_MS + GRANT_MS),
        AprGrant_LatestExpiryMs(NOW_MS, GRANT_MS));
    AprGrantTable_AddHandoverToken(&table, &token);
    assert_int_equal(
        AprGrantTable_ExpectedReleaseMs(&table, range, NOW_MS + 100),
        NOW_MS + 100);
    AprKeyMap_Free(&map);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_waits_only_if_in_time),
        cmocka_unit_test(test_waiting_is_bounded),
        cmocka_unit_test(test_queue_counts),
        cmocka_unit_test(test_late_grant_ends_waiting),
        cmocka_unit_test(test_removed_request_does_not_wait),
        cmocka_unit_test(test_expected_release_of_a_range),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
