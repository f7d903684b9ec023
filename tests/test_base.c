#include <poll.h>
#include <pthread.h>
#include <setjmp.h>
#include <stdatomic.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "apricot/clock.h"
#include "apricot/error.h"
#include "apricot/metrics.h"
#include "apricot/ring.h"

#define PRODUCERS 4
#define ITEMS_PER_PRODUCER 20000
#define PACED_ITEMS 50000
#define WAIT_LIMIT_MS 5000

/* Guards against time arithmetic that leaves tv_nsec out of range. */
static void
test_time_arithmetic(void **state)
{
    struct timespec start = {10, 900000000};
    struct timespec later = AprTime_AddMs(start, 250);
    struct timespec earlier = AprTime_AddMs(start, -950);

    (void)state;
    assert_int_equal(later.tv_sec, 11);
    assert_int_equal(later.tv_nsec, 150000000);
    assert_int_equal(earlier.tv_sec, 9);
    assert_int_equal(earlier.tv_nsec, 950000000);
    assert_int_equal(AprTime_DiffMs(later, earlier), 1200);
    assert_true(AprTime_IsBefore(earlier, later));
    assert_false(AprTime_IsBefore(later, later));
}

/* Guards against a full ring that loses items or blocks the producer; it must
   refuse the push. */
static void
test_ring_refuses_when_full(void **state)
{
    AprRing_t *ring = AprRing_New(3);
    int items[3] = {0};

    (void)state;
    for (int i = 0; i < 3; i++) {
        assert_int_equal(AprRing_Push(ring, &items[i]), APR_OK);
    }
    assert_int_equal(AprRing_Push(ring, &items[0]), APR_E_FULL);
    assert_true(AprRing_Wait(ring, 0));
    for (int i = 0; i < 3; i++) {
        assert_ptr_equal(AprRing_Pop(ring), &items[i]);
    }
    assert_null(AprRing_Pop(ring));
    assert_false(AprRing_Wait(ring, 0));
    AprRing_Free(ring);
}

static void *
push_items(void *argument)
{
    AprRing_t *ring = argument;

    for (uintptr_t i = 1; i <= ITEMS_PER_PRODUCER; i++) {
        while (AprRing_Push(ring, (void *)i) != APR_OK) {
        }
    }
    return NULL;
}

/* Guards against lost items or missed wake-ups with several producers. */
static void
test_ring_with_many_producers(void **state)
{
    AprRing_t *ring = AprRing_New(64);
    pthread_t threads[PRODUCERS];
    uint64_t sum = 0;
    int count = 0;

    (void)state;
    for (int i = 0; i < PRODUCERS; i++) {
        pthread_create(&threads[i], NULL, push_items, ring);
    }
    while (count < PRODUCERS * ITEMS_PER_PRODUCER) {
        void *item;

        assert_true(AprRing_Wait(ring, 5000));
        while ((item = AprRing_Pop(ring)) != NULL) {
            sum += (uintptr_t)item;
            count++;
        }
    }
    for (int i = 0; i < PRODUCERS; i++) {
        pthread_join(threads[i], NULL);
    }
    assert_int_equal(sum, (uint64_t)PRODUCERS * ITEMS_PER_PRODUCER *
                              (ITEMS_PER_PRODUCER + 1) / 2);
    AprRing_Free(ring);
}

typedef struct paced_producer_t {
    AprRing_t *ring;
    atomic_int popped_count;
} paced_producer_t;

/* Pushes each item only after the previous one was popped. The reader is thus
   about to sleep, asleep or just awake at each push, and a missed wake-up is
   not hidden by the wake-up of a later push. */
static void *
push_one_at_a_time(void *argument)
{
    paced_producer_t *producer = argument;

    for (int i = 0; i < PACED_ITEMS; i++) {
        AprRing_Push(producer->ring, producer);
        while (atomic_load(&producer->popped_count) <= i) {
        }
    }
    return NULL;
}

static void
pop_all(paced_producer_t *producer)
{
    while (AprRing_Pop(producer->ring) != NULL) {
        atomic_fetch_add(&producer->popped_count, 1);
    }
}

/* Guards against a push that does not wake a reader in AprRing_Wait. */
static void
test_ring_wait_wakes_for_every_push(void **state)
{
    paced_producer_t producer = {AprRing_New(4), 0};
    pthread_t thread;

    (void)state;
    pthread_create(&thread, NULL, push_one_at_a_time, &producer);
    while (atomic_load(&producer.popped_count) < PACED_ITEMS) {
        assert_true(AprRing_Wait(producer.ring, WAIT_LIMIT_MS));
        pop_all(&producer);
    }
    pthread_join(thread, NULL);
    AprRing_Free(producer.ring);
}

/* Guards against a push that does not wake a reader that polls the file
   descriptor and calls AprRing_ClearWake. */
static void
test_ring_fd_wakes_for_every_push(void **state)
{
    paced_producer_t producer = {AprRing_New(4), 0};
    struct pollfd descriptor = {AprRing_WakeFd(producer.ring), POLLIN, 0};
    pthread_t thread;

    (void)state;
    pthread_create(&thread, NULL, push_one_at_a_time, &producer);
    while (atomic_load(&producer.popped_count) < PACED_ITEMS) {
        assert_int_equal(poll(&descriptor, 1, WAIT_LIMIT_MS), 1);
        AprRing_ClearWake(producer.ring);
        pop_all(&producer);
    }
    pthread_join(thread, NULL);
    AprRing_Free(producer.ring);
}

/* Guards against samples of one name that are not adjacent, which parsers of
   the exposition format reject. */
static void
test_metrics_text(void **state)
{
    AprMetrics_t *metrics = AprMetrics_New();
    AprMetric_t *urgent = AprMetrics_RegisterCounter(
        metrics, "requests", "rank=\"urgent\"", "Requests");
    AprMetric_t *links =
        AprMetrics_RegisterGauge(metrics, "links", NULL, "Links");
    AprMetric_t *batch = AprMetrics_RegisterCounter(
        metrics, "requests", "rank=\"batch\"", "Requests");
    char *text;

    (void)state;
    AprMetric_Add(urgent, 2);
    AprMetric_Add(batch, 1);
    AprMetric_Set(links, 5);
    text = AprMetrics_Format(metrics);
    assert_string_equal(text, "# HELP requests Requests\n"
                              "# TYPE requests counter\n"
                              "requests{rank=\"urgent\"} 2\n"
                              "requests{rank=\"batch\"} 1\n"
                              "# HELP links Links\n"
                              "# TYPE links gauge\n"
                              "links 5\n");
    free(text);
    AprMetrics_Free(metrics);
}

/* Guards against an error that loses its step or peer. */
static void
test_error_carries_step_and_peer(void **state)
{
    AprError_t error;
    int code = AprError_Set(&error, APR_E_TIMEOUT, APR_STEP_FORWARD, "host-b",
                            "no answer in %d ms", 40);

    (void)state;
    assert_int_equal(code, APR_E_TIMEOUT);
    assert_string_equal(AprStep_Name(error.step), "forward");
    assert_string_equal(error.peer, "host-b");
    assert_string_equal(error.detail, "no answer in 40 ms");
    assert_string_equal(AprError_Name(code), "timeout");
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_time_arithmetic),
        cmocka_unit_test(test_ring_refuses_when_full),
        cmocka_unit_test(test_ring_with_many_producers),
        cmocka_unit_test(test_ring_wait_wakes_for_every_push),
        cmocka_unit_test(test_ring_fd_wakes_for_every_push),
        cmocka_unit_test(test_metrics_text),
        cmocka_unit_test(test_error_carries_step_and_peer),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
