/* Limits on memory and descriptors under callers that do not behave well. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "apricot/memory_budget.h"
#include "internal/call.h"

#define CONNECTIONS 300
#define PIPELINED 16
#define RESPONSE_BYTES 200000
#define KB 1024

/* Guards against pipelines whose unread responses exceed the memory: 300
   connections with 16 requests each, whose responses of 200 kB all arrive and
   are not read. Replays the load at the smallest hosts and below. */
static void
test_unread_pipelines_stay_within_the_limit(void **state)
{
    static const int memory_mb[] = {48, 160, 512};

    (void)state;
    for (size_t i = 0; i < sizeof(memory_mb) / sizeof(memory_mb[0]); i++) {
        AprMemoryBudget_t budget;
        int started = 0;

        AprMemoryBudget_Init(&budget, memory_mb[i], 4096);
        for (int round = 0; round < 64; round++) {
            /* The requests behind the first one of each connection. */
            for (int j = 0; j < CONNECTIONS * (PIPELINED - 1); j++) {
                if (AprMemoryBudget_MayStart(&budget, 0, false)) {
                    budget.pipelined_in_flight++;
                }
            }
            started += budget.pipelined_in_flight;
            budget.held += (size_t)budget.pipelined_in_flight * RESPONSE_BYTES;
            budget.pipelined_in_flight = 0;
            assert_true(budget.held <= budget.limit / 2);
        }
        assert_true(started > 0);
        assert_true(budget.limit < (size_t)memory_mb[i] * 1000 * 1000);
    }
}

/* Guards against refusals to a caller within the limits: 16 pipelined requests
   run at the same time when the process is otherwise idle. */
static void
test_idle_process_runs_a_whole_pipeline(void **state)
{
    AprMemoryBudget_t budget;

    (void)state;
    AprMemoryBudget_Init(&budget, 48, 4096);
    for (int i = 0; i < PIPELINED; i++) {
        assert_true(AprMemoryBudget_MayStart(&budget, 0, i == 0));
        budget.pipelined_in_flight += i > 0;
    }
}

/* Guards against a connection that holds several windows: further requests
   wait until the caller has taken earlier responses. */
static void
test_pipeline_waits_for_unread_responses(void **state)
{
    AprMemoryBudget_t budget;

    (void)state;
    AprMemoryBudget_Init(&budget, 160, 4096);
    assert_true(
        AprMemoryBudget_MayStart(&budget, APR_CALL_WINDOW_BYTES, false));
    assert_false(
        AprMemoryBudget_MayStart(&budget, APR_CALL_WINDOW_BYTES + 1, false));
    assert_false(
        AprMemoryBudget_MayStart(&budget, APR_CALL_WINDOW_BYTES + 1, true));
}

/* Guards against ordinary callers being cut off by others: 400 connections
   upload to a backend server that reads slowly, and one caller holds little.
 */
static void
test_ordinary_callers_are_read_at_the_limit(void **state)
{
    AprMemoryBudget_t budget;
    size_t share;

    (void)state;
    AprMemoryBudget_Init(&budget, 160, 4096);
    assert_true(AprMemoryBudget_MayRead(&budget, APR_CALL_WINDOW_BYTES));
    budget.holder_count = 400;
    budget.held = budget.limit * 6 / 10;
    share = AprMemoryBudget_ShareOf(&budget);
    assert_true(share < APR_CALL_WINDOW_BYTES);
    assert_true(400 * share <= budget.limit / 2);
    assert_false(AprMemoryBudget_MayRead(&budget, share + 1));
    assert_true(AprMemoryBudget_MayAccept(&budget, share + 1));
    budget.held = budget.limit * 8 / 10;
    assert_false(AprMemoryBudget_MayAccept(&budget, share + 1));
    assert_false(AprMemoryBudget_MustShed(&budget));
    budget.held = budget.limit;
    assert_true(AprMemoryBudget_MustShed(&budget));
    budget.holder_count = 1000000;
    assert_true(AprMemoryBudget_MayRead(&budget, 16 * KB));
    assert_true(AprMemoryBudget_MayAccept(&budget, 16 * KB));
    assert_true(AprMemoryBudget_MayStart(&budget, 0, true));
}

/* Guards against bytes that the kernel holds and that nobody counts. */
static void
test_unread_bytes_count(void **state)
{
    AprMemoryBudget_t budget;

    (void)state;
    AprMemoryBudget_Init(&budget, 160, 4096);
    budget.held = budget.limit / 2;
    assert_false(AprMemoryBudget_MustShed(&budget));
    budget.unread = budget.limit / 2;
    assert_true(AprMemoryBudget_MustShed(&budget));
    /* Without a limit the kernel holds up to 6 MB of each connection. */
    assert_in_range(AprMemoryBudget_ReceiveWindowBytes(&budget), 32 * KB,
                    512 * KB);
}

/* Guards against a slow link, or calls with large bodies, taking the memory of
   the host of the backend server. */
static void
test_calls_of_other_hosts_are_limited(void **state)
{
    AprMemoryBudget_t budget;

    (void)state;
    AprMemoryBudget_Init(&budget, 160, 4096);
    assert_true(AprMemoryBudget_MayAcceptCall(&budget, 0, false));
    assert_false(
        AprMemoryBudget_MayAcceptCall(&budget, budget.limit / 3, true));
    budget.held = budget.limit * 6 / 10;
    assert_false(AprMemoryBudget_MayAcceptCall(&budget, 0, false));
    assert_true(AprMemoryBudget_MayAcceptCall(&budget, 0, true));
    budget.held = budget.limit;
    assert_true(AprMemoryBudget_MayAcceptCall(&budget, 0, true));
}

/* Guards against closing a caller who reads steadily, or has just been sent a
   large response, before one who reads 1 kB a second. */
static void
test_slowest_reader_is_closed_first(void **state)
{
    AprMemoryHolder_t trickle = {0}, steady = {0}, ordinary = {0};
    AprMemoryHolder_t fresh = {0};
    int64_t now_ms;

    (void)state;
    for (now_ms = 1000; now_ms < 6000; now_ms += 50) {
        uint64_t elapsed_ms = (uint64_t)(now_ms - 1000);

        AprMemoryHolder_Update(&trickle, 240000, false, elapsed_ms, now_ms);
        AprMemoryHolder_Update(&steady, 250000, false, elapsed_ms * 200,
                               now_ms);
        AprMemoryHolder_Update(&ordinary, 4 * KB, true, 0, now_ms);
    }
    AprMemoryHolder_Update(&fresh, 256 * KB, false, 0, now_ms);
    assert_true(AprMemoryHolder_StalledMs(&trickle, now_ms) > 4000);
    assert_true(AprMemoryHolder_StalledMs(&steady, now_ms) < 1000);
    assert_true(AprMemoryHolder_Score(&trickle, now_ms) >
                10 * AprMemoryHolder_Score(&steady, now_ms));
    assert_true(AprMemoryHolder_Score(&trickle, now_ms) >
                10 * AprMemoryHolder_Score(&fresh, now_ms));
    assert_true(AprMemoryHolder_Score(&ordinary, now_ms) == 0);
}

/* Guards against a time without progress that counts from before the bytes
   were held: a kept connection was idle, and is then sent a response. */
static void
test_idle_time_is_no_stall(void **state)
{
    AprMemoryHolder_t holder = {0};

    (void)state;
    AprMemoryHolder_Update(&holder, 4 * KB, true, 0, 1000);
    AprMemoryHolder_Update(&holder, 200000, false, 0, 60000);
    assert_int_equal(AprMemoryHolder_StalledMs(&holder, 60000), 0);
    AprMemoryHolder_Update(&holder, 200000, false, 0, 61000);
    assert_int_equal(AprMemoryHolder_StalledMs(&holder, 61000), 1000);
}

/* Guards against callers' connections that take the descriptors of links, of
   the backend server and of the store, or those set aside for files. */
static void
test_callers_leave_descriptors(void **state)
{
    AprMemoryBudget_t budget;

    (void)state;
    AprMemoryBudget_Init(&budget, 160, 4100);
    assert_int_equal(budget.socket_limit, 3900);
    assert_true(budget.socket_limit - budget.caller_socket_limit >= 480);
    assert_true(AprMemoryBudget_MayAcceptSocket(
        &budget, budget.caller_socket_limit - 1));
    assert_false(
        AprMemoryBudget_MayAcceptSocket(&budget, budget.caller_socket_limit));
    for (int descriptors = 64; descriptors < 10000; descriptors++) {
        AprMemoryBudget_Init(&budget, 160, descriptors);
        assert_true(budget.caller_socket_limit >= 16);
        assert_true(budget.caller_socket_limit < budget.socket_limit);
        assert_true(budget.socket_limit < descriptors);
    }
}

/* Guards against a limit for the backend server or the store that traffic
   within the documented limits reaches, also at the smallest hosts: 16 full
   windows, and two responses of the store with an item of 4 MiB. */
static void
test_documented_traffic_reaches_no_kind_limit(void **state)
{
    const size_t item_bytes = 4u * KB * KB / 3 * 4 * 5 / 4;
    AprMemoryBudget_t budget;

    (void)state;
    AprMemoryBudget_Init(&budget, 48, 4096);
    assert_false(AprMemoryBudget_UpdateKind(
        &budget, APR_MEMORY_BACKEND,
        16 * (size_t)(APR_CALL_WINDOW_BYTES + 32 * KB)));
    assert_false(
        AprMemoryBudget_UpdateKind(&budget, APR_MEMORY_STORE, 2 * item_bytes));
}

/* Guards against reading that stops and resumes with each read at the limit,
   and against one kind that stops another one. */
static void
test_kind_at_its_limit_pauses(void **state)
{
    AprMemoryBudget_t budget;
    size_t limit;

    (void)state;
    AprMemoryBudget_Init(&budget, 160, 4096);
    limit = AprMemoryBudget_KindLimit(&budget, APR_MEMORY_BACKEND);
    assert_in_range(limit, 1, budget.limit);
    assert_true(
        AprMemoryBudget_UpdateKind(&budget, APR_MEMORY_BACKEND, limit));
    assert_true(budget.kind_paused[APR_MEMORY_BACKEND]);
    assert_false(AprMemoryBudget_UpdateKind(&budget, APR_MEMORY_BACKEND,
                                            limit * 9 / 10));
    assert_false(AprMemoryBudget_UpdateKind(&budget, APR_MEMORY_STORE, 0));
    assert_false(budget.kind_paused[APR_MEMORY_STORE]);
    assert_true(
        AprMemoryBudget_UpdateKind(&budget, APR_MEMORY_BACKEND, limit / 2));
    assert_false(budget.kind_paused[APR_MEMORY_BACKEND]);
    assert_false(
        AprMemoryBudget_UpdateKind(&budget, APR_MEMORY_CALLERS, budget.limit));
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_unread_pipelines_stay_within_the_limit),
        cmocka_unit_test(test_idle_process_runs_a_whole_pipeline),
        cmocka_unit_test(test_pipeline_waits_for_unread_responses),
        cmocka_unit_test(test_ordinary_callers_are_read_at_the_limit),
        cmocka_unit_test(test_unread_bytes_count),
        cmocka_unit_test(test_calls_of_other_hosts_are_limited),
        cmocka_unit_test(test_slowest_reader_is_closed_first),
        cmocka_unit_test(test_idle_time_is_no_stall),
        cmocka_unit_test(test_callers_leave_descriptors),
        cmocka_unit_test(test_documented_traffic_reaches_no_kind_limit),
        cmocka_unit_test(test_kind_at_its_limit_pauses),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
