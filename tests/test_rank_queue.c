#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "apricot/clock.h"
#include "apricot/error.h"
#include "apricot/rank_queue.h"

static const AprRankSpec_t two_ranks[] = {{50, 10}, {2000, 5}};

static struct timespec
at_ms(int64_t ms)
{
    return AprTime_FromMs(ms);
}

/* Creates a queue whose mean service time is `mean_ms` from one sample. */
static AprRankQueue_t *
new_queue_with_mean(int rank_count, int slots, uint32_t capacity,
                    double mean_ms)
{
    AprRankQueue_t *queue =
        AprRankQueue_New(two_ranks, rank_count, slots, capacity);
    uint32_t item;
    int rank;

    assert_int_equal(AprRankQueue_Push(queue, 0, 1000, at_ms(9999), at_ms(0)),
                     APR_OK);
    assert_true(AprRankQueue_Pop(queue, at_ms(0), &item, &rank));
    AprRankQueue_Finish(queue, rank, mean_ms);
    return queue;
}

/* Guards against requests that are queued although their deadline cannot be
   met, and against rejection of requests that can still be met. */
static void
test_rejects_unmeetable_deadline(void **state)
{
    AprRankQueue_t *queue = new_queue_with_mean(2, 2, 4, 100);
    uint32_t item;
    int rank;

    (void)state;
    for (uint32_t i = 0; i < 2; i++) {
        assert_int_equal(AprRankQueue_Push(queue, 0, i, at_ms(9999), at_ms(0)),
                         APR_OK);
        assert_true(AprRankQueue_Pop(queue, at_ms(0), &item, &rank));
    }
    /* Both slots are in use: one is expected to be free after 50 ms, and the
       service time is 100 ms. */
    assert_int_equal(AprRankQueue_Push(queue, 0, 2, at_ms(149), at_ms(0)),
                     APR_E_TIMEOUT);
    assert_int_equal(AprRankQueue_Push(queue, 0, 2, at_ms(150), at_ms(0)),
                     APR_OK);
    /* An item of the less urgent rank also waits for the queued urgent item,
       which makes 100 ms, and for urgent requests that arrive meanwhile. These
       took 200 ms of service time within the last 1,000 ms on 2 slots, which
       extends the wait to 111 ms. */
    assert_int_equal(AprRankQueue_Push(queue, 1, 3, at_ms(211), at_ms(0)),
                     APR_E_TIMEOUT);
    assert_int_equal(AprRankQueue_Push(queue, 1, 3, at_ms(212), at_ms(0)),
                     APR_OK);
    AprRankQueue_Free(queue);
}

/* Guards against a slow period after which every request is rejected, because
   no request is left whose answer could correct the estimate. */
static void
test_idle_backend_gets_request(void **state)
{
    AprRankQueue_t *queue = new_queue_with_mean(2, 2, 4, 100);
    uint32_t item;
    int rank;

    (void)state;
    assert_int_equal(AprRankQueue_Push(queue, 0, 1, at_ms(20), at_ms(0)),
                     APR_OK);
    assert_true(AprRankQueue_Pop(queue, at_ms(0), &item, &rank));
    for (int i = 0; i < 100; i++) {
        AprRankQueue_Finish(queue, 0, 5);
    }
    assert_true(AprRankQueue_MeanServiceMs(queue) < 6);
    AprRankQueue_Free(queue);
}

/* Guards against a flood that makes every answer late. A rank may fill up to
   the deadlines during a burst, but not permanently. */
static void
test_standing_backlog(void **state)
{
    AprRankQueue_t *queue = new_queue_with_mean(1, 1, 256, 5);
    uint32_t next = 1;
    uint32_t item;
    int rank;
    uint32_t size_in_burst = 0;

    (void)state;
    for (int64_t ms = 0; ms < 1000; ms += 5) {
        while (AprRankQueue_Push(queue, 0, next, at_ms(ms + 200), at_ms(ms)) ==
                   APR_OK &&
               next < 100000) {
            next++;
        }
        size_in_burst =
            ms == 100 ? AprRankQueue_Size(queue, 0) : size_in_burst;
        while (AprRankQueue_PopExpired(queue, at_ms(ms), &item)) {
        }
        assert_true(AprRankQueue_Pop(queue, at_ms(ms), &item, &rank));
        AprRankQueue_Finish(queue, rank, 5);
    }
    assert_in_range(size_in_burst, 30, 40);
    assert_in_range(AprRankQueue_Size(queue, 0), 5, 10);
    AprRankQueue_Free(queue);
}

/* Guards against the dispatch of expired items, and against the loss of
   expired items when one is cancelled before it is rejected. */
static void
test_expired_items(void **state)
{
    AprRankQueue_t *queue = AprRankQueue_New(two_ranks, 2, 2, 4);
    uint32_t item;
    int rank;

    (void)state;
    for (uint32_t i = 0; i < 3; i++) {
        assert_int_equal(
            AprRankQueue_Push(queue, 1, i, at_ms(50 + i), at_ms(0)), APR_OK);
    }
    assert_true(AprRankQueue_Pop(queue, at_ms(51), &item, &rank));
    assert_int_equal(item, 2);
    assert_int_equal(AprRankQueue_Size(queue, 1), 2);
    assert_true(AprRankQueue_Remove(queue, 1, 0));
    assert_true(AprRankQueue_PopExpired(queue, at_ms(51), &item));
    assert_int_equal(item, 1);
    assert_false(AprRankQueue_PopExpired(queue, at_ms(51), &item));
    AprRankQueue_Free(queue);
}

/* Guards against back-pressure that reports the wrong rank. */
static void
test_lowest_open_rank(void **state)
{
    AprRankQueue_t *queue = AprRankQueue_New(two_ranks, 2, 0, 1);

    (void)state;
    assert_int_equal(AprRankQueue_LeastUrgentRankWithRoom(queue), 1);
    AprRankQueue_Push(queue, 1, 1, at_ms(50), at_ms(0));
    assert_int_equal(AprRankQueue_LeastUrgentRankWithRoom(queue), 0);
    assert_int_equal(AprRankQueue_Push(queue, 1, 2, at_ms(50), at_ms(0)),
                     APR_E_FULL);
    AprRankQueue_Push(queue, 0, 2, at_ms(50), at_ms(0));
    assert_int_equal(AprRankQueue_LeastUrgentRankWithRoom(queue), -1);
    AprRankQueue_Free(queue);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_rejects_unmeetable_deadline),
        cmocka_unit_test(test_idle_backend_gets_request),
        cmocka_unit_test(test_standing_backlog),
        cmocka_unit_test(test_expired_items),
        cmocka_unit_test(test_lowest_open_rank),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
