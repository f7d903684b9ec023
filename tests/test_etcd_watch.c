#include <pthread.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stdatomic.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>
#include <unistd.h>

#include "apricot/clock.h"
#include "tests/store_fixture.h"

typedef struct Watcher_t {
    AprStore_t *store;
    int64_t from_revision;
    pthread_t thread;
    atomic_bool stop_requested;
    atomic_int event_count;
    int result;
    char received[256];
} Watcher_t;

static void
on_event(void *context, const AprStoreEvent_t *event)
{
    Watcher_t *watcher = context;

    append_event(watcher->received, event);
    atomic_fetch_add(&watcher->event_count, 1);
}

static bool
is_stop_requested(void *context)
{
    Watcher_t *watcher = context;

    return atomic_load(&watcher->stop_requested);
}

static void *
run_watch(void *argument)
{
    Watcher_t *watcher = argument;
    AprStore_t *store = watcher->store;

    watcher->result =
        store->watch(store->context, "/w/", watcher->from_revision, on_event,
                     watcher, is_stop_requested, watcher, NULL);
    return NULL;
}

static void
start_watcher(Watcher_t *watcher, AprStore_t *store, int64_t from_revision)
{
    memset(watcher, 0, sizeof(*watcher));
    watcher->store = store;
    watcher->from_revision = from_revision;
    pthread_create(&watcher->thread, NULL, run_watch, watcher);
}

static void
wait_for_events(Watcher_t *watcher, int count)
{
    for (int i = 0; i < 300 && atomic_load(&watcher->event_count) < count;
         i++) {
        usleep(10 * 1000);
    }
    assert_int_equal(atomic_load(&watcher->event_count), count);
}

/* Guards against watches that miss changes made before they started or while
   they wait, and against watches that take 200 ms or more to stop. */
static void
test_watch_reports_and_stops(void **state)
{
    Fixture_t *fixture = *state;
    AprClock_t clock = AprClock_System();
    struct timespec start;
    Watcher_t watcher;
    int64_t first;
    int64_t last;

    assert_int_equal(swap_key(&fixture->store, "/w/a", 0, "1", 0, &first),
                     APR_OK);
    start_watcher(&watcher, &fixture->store, first);
    wait_for_events(&watcher, 1);
    assert_int_equal(get_server_counts(fixture->server).watches_open, 1);
    assert_int_equal(swap_key(&fixture->store, "/x", 0, "0", 0, &last),
                     APR_OK);
    assert_int_equal(swap_key(&fixture->store, "/w/b", 0, "2", 0, &last),
                     APR_OK);
    wait_for_events(&watcher, 2);
    assert_string_equal(watcher.received, "/w/a1/w/b2");
    start = AprClock_Now(&clock);
    atomic_store(&watcher.stop_requested, true);
    pthread_join(watcher.thread, NULL);
    assert_true(AprTime_DiffMs(AprClock_Now(&clock), start) < 200);
    assert_int_equal(watcher.result, APR_OK);
}

/* Guards against a watch that does not report the deletion of a key whose
   lease expires. */
static void
test_watch_reports_lease_expiry(void **state)
{
    Fixture_t *fixture = *state;
    AprStore_t *store = &fixture->store;
    Watcher_t watcher;
    int64_t lease;
    int64_t revision;

    assert_int_equal(store->grant_lease(store->context, 1, &lease, NULL),
                     APR_OK);
    assert_int_equal(swap_key(store, "/w/l", 0, "1", lease, &revision),
                     APR_OK);
    start_watcher(&watcher, store, revision);
    wait_for_events(&watcher, 2);
    assert_string_equal(watcher.received, "/w/l1/w/l-");
    atomic_store(&watcher.stop_requested, true);
    pthread_join(watcher.thread, NULL);
}

/* Guards against a watch that silently skips changes which the store no
   longer holds, and against one that does not report an outage. */
static void
test_watch_closes_on_lost_changes_and_outage(void **state)
{
    Fixture_t *fixture = *state;
    Watcher_t watcher;
    int64_t revision = 0;

    for (int i = 0; i < 10; i++) { /* the store keeps 8 changes */
        assert_int_equal(
            swap_key(&fixture->store, "/w/a", revision, "1", 0, &revision),
            APR_OK);
    }
    start_watcher(&watcher, &fixture->store, 2);
    pthread_join(watcher.thread, NULL);
    assert_int_equal(watcher.result, APR_E_CLOSED);
    assert_int_equal(atomic_load(&watcher.event_count), 0);
    start_watcher(&watcher, &fixture->store, revision);
    wait_for_events(&watcher, 1);
    AprStoreServer_SetMode(fixture->server, APR_STORE_DOWN, 0, 0);
    pthread_join(watcher.thread, NULL);
    assert_int_equal(watcher.result, APR_E_CLOSED);
    start_watcher(&watcher, &fixture->store, revision);
    pthread_join(watcher.thread, NULL);
    assert_int_equal(watcher.result, APR_E_UNAVAILABLE);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        STORE_TEST(test_watch_reports_and_stops),
        STORE_TEST(test_watch_reports_lease_expiry),
        STORE_TEST(test_watch_closes_on_lost_changes_and_outage),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
