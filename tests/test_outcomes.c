#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "apricot/error.h"
#include "apricot/outcomes.h"

#define RETENTION_MS 1000
#define NOW_MS 5000

static AprOutcomeRequest_t
make_request(int64_t created_ms, uint8_t id, uint64_t key_hash)
{
    AprOutcomeRequest_t result = {.partition = 3, .key_hash = key_hash};

    for (int i = 0; i < 6; i++) {
        result.idempotency_key[i] = (uint8_t)(created_ms >> (40 - 8 * i));
    }
    result.idempotency_key[15] = id;
    return result;
}

static AprOutcomeAdmission_t
admit(AprOutcomes_t *outcomes, AprOutcomeRequest_t request, int64_t wall_ms,
      AprOutcomeHandle_t *outcome)
{
    return AprOutcomes_Admit(outcomes, &request, wall_ms, outcome);
}

/* Guards against a second run of a running, finished, unknown or forgotten
   request, and against an answer given to another key. */
static void
test_repeated_requests(void **state)
{
    AprOutcomes_t *outcomes = AprOutcomes_New(2, 100, RETENTION_MS);
    AprStoredAnswer_t answer = {200, "text/plain", "done", 4};
    AprOutcomeRequest_t first = make_request(NOW_MS, 1, 7);
    AprOutcomeHandle_t one;
    AprOutcomeHandle_t two;
    AprOutcomeHandle_t repeat;

    (void)state;
    assert_int_equal(admit(outcomes, first, NOW_MS, &one), APR_ADMIT_RUN);
    assert_int_equal(admit(outcomes, first, NOW_MS, &repeat), APR_ADMIT_WAIT);
    assert_int_equal(repeat, one);
    AprOutcomes_Finish(outcomes, one, &answer, NOW_MS + 100);
    assert_int_equal(admit(outcomes, first, NOW_MS, &repeat),
                     APR_ADMIT_REPLAY);
    assert_memory_equal(AprOutcomes_Answer(outcomes, repeat)->body, "done", 4);
    assert_int_equal(admit(outcomes, make_request(NOW_MS, 1, 8), NOW_MS, &two),
                     APR_ADMIT_RUN);
    AprOutcomes_MarkUnknown(outcomes, two, NOW_MS + 200);
    assert_int_equal(
        admit(outcomes, make_request(NOW_MS, 1, 8), NOW_MS, &repeat),
        APR_ADMIT_UNKNOWN);
    assert_int_equal(
        admit(outcomes, make_request(NOW_MS, 2, 8), NOW_MS, &repeat),
        APR_ADMIT_FULL);
    AprOutcomes_Expire(outcomes, NOW_MS + 100 + RETENTION_MS - 1);
    assert_int_equal(AprOutcomes_Count(outcomes), 2);
    AprOutcomes_Expire(outcomes, NOW_MS + 100 + RETENTION_MS);
    assert_int_equal(AprOutcomes_Count(outcomes), 1);
    assert_int_equal(admit(outcomes, first, NOW_MS, &repeat),
                     APR_ADMIT_UNKNOWN);
    AprOutcomes_Free(outcomes);
}

/* Guards against answers that are freed twice or never, and against a table
   that stores more answer bytes than its limit. */
static void
test_stored_body_limit(void **state)
{
    AprOutcomes_t *outcomes = AprOutcomes_New(8, 6, RETENTION_MS);
    AprStoredAnswer_t answer = {200, NULL, "done", 4};
    AprOutcomeHandle_t outcome;

    (void)state;
    for (uint8_t i = 0; i < 2; i++) {
        assert_int_equal(
            admit(outcomes, make_request(NOW_MS, i, 7), NOW_MS, &outcome),
            APR_ADMIT_RUN);
        AprOutcomes_Finish(outcomes, outcome, &answer, NOW_MS);
    }
    assert_int_equal(AprOutcomes_Answer(outcomes, outcome)->status, 0);
    AprOutcomes_RemoveFinished(outcomes, 0, 3);
    assert_int_equal(AprOutcomes_Count(outcomes), 0);
    assert_int_equal(AprOutcomes_Floor(outcomes, 0, 3), NOW_MS + 1);
    AprOutcomes_Free(outcomes);
}

/* Guards against UUIDs of other versions, which do not start with a creation
   time. */
static void
test_idempotency_key_format(void **state)
{
    uint8_t key[APR_IDEMPOTENCY_KEY_SIZE];

    (void)state;
    assert_int_equal(
        AprIdempotencyKey_Parse("0192f0c1-2345-7abc-8def-0123456789ab", key),
        APR_OK);
    assert_int_equal(AprIdempotencyKey_CreatedMs(key), 0x0192f0c12345);
    assert_int_equal(
        AprIdempotencyKey_Parse("0192f0c1-2345-4abc-8def-0123456789ab", key),
        APR_E_INVALID);
    assert_int_equal(
        AprIdempotencyKey_Parse("0192f0c1-2345-7abc-cdef-0123456789ab", key),
        APR_E_INVALID);
    assert_int_equal(
        AprIdempotencyKey_Parse("0192f0c123457abc8def0123456789ab", key),
        APR_E_INVALID);
    assert_int_equal(AprIdempotencyKey_Parse("", key), APR_E_INVALID);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_repeated_requests),
        cmocka_unit_test(test_stored_body_limit),
        cmocka_unit_test(test_idempotency_key_format),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
