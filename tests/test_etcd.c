#include <pthread.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>
#include <unistd.h>

#include "tests/store_fixture.h"

#define REFUSING_ENDPOINT "http://127.0.0.1:1" /* refuses connections */
#define WRITERS 4
#define INCREMENTS 25

/* Guards against swaps that ignore the revision, and against values that the
   encoding corrupts. */
static void
test_swap_compares_revisions(void **state)
{
    Fixture_t *fixture = *state;
    AprStore_t *store = &fixture->store;
    AprStoreValue_t value;
    int64_t first = 0;
    int64_t second = 0;

    assert_int_equal(store->get(store->context, "/a", &value, NULL), APR_OK);
    assert_int_equal(value.revision, 0);
    assert_null(value.data);
    assert_int_equal(
        swap_key(store, "/a", 0, "{\"x\":\"\xc3\xa9\"}", 0, &first), APR_OK);
    assert_int_equal(swap_key(store, "/a", 0, "two", 0, &second),
                     APR_E_CONFLICT);
    assert_int_equal(store->get(store->context, "/a", &value, NULL), APR_OK);
    assert_int_equal(value.revision, first);
    assert_string_equal(value.data, "{\"x\":\"\xc3\xa9\"}");
    AprStoreValue_Clear(&value);
    assert_int_equal(swap_key(store, "/a", first, "two", 0, &second), APR_OK);
    assert_true(second > first);
}

/* Guards against a transaction that applies some puts although one of its
   comparisons failed. */
static void
test_swap_is_all_or_nothing(void **state)
{
    Fixture_t *fixture = *state;
    AprStore_t *store = &fixture->store;
    int64_t revision = 0;
    AprStorePut_t puts[2] = {{"/a", "1", 1, 0}, {"/b", "2", 1, 0}};
    AprStoreCompare_t compares[2] = {{"/a", 0}, {"/b", 0}};

    assert_int_equal(swap_key(store, "/b", 0, "old", 0, &revision), APR_OK);
    assert_int_equal(
        store->swap(store->context, compares, 2, puts, 2, &revision, NULL),
        APR_E_CONFLICT);
    assert_int_equal(read_revision(store, "/a"), 0);
    compares[1].revision = read_revision(store, "/b");
    assert_int_equal(
        store->swap(store->context, compares, 2, puts, 2, &revision, NULL),
        APR_OK);
    assert_int_equal(read_revision(store, "/a"), revision);
    assert_int_equal(read_revision(store, "/b"), revision);
}

/* Guards against a listing that misses keys or returns keys outside the
   prefix. */
static void
test_list_returns_the_prefix(void **state)
{
    Fixture_t *fixture = *state;
    AprStore_t *store = &fixture->store;
    char seen[128] = "";
    int64_t revision = 0;
    int64_t last = 0;

    assert_int_equal(swap_key(store, "/c/b", 0, "2", 0, &last), APR_OK);
    assert_int_equal(swap_key(store, "/c/a", 0, "1", 0, &last), APR_OK);
    assert_int_equal(swap_key(store, "/c", 0, "x", 0, &last), APR_OK);
    assert_int_equal(swap_key(store, "/c0", 0, "y", 0, &last), APR_OK);
    assert_int_equal(store->list(store->context, "/c/", append_event, seen,
                                 &revision, NULL),
                     APR_OK);
    assert_string_equal(seen, "/c/a1/c/b2");
    assert_int_equal(revision, last);
}

/* Guards against a swap that is sent again when its response is lost: the
   second request would report a conflict with the first. The read before the
   swap leaves an idle connection; libcurl retries a request that fails on a
   reused connection. */
static void
test_lost_response_is_unknown(void **state)
{
    Fixture_t *fixture = *state;
    AprStoreServer_t *other = AprStoreServer_Start("127.0.0.1:0", 8);
    AprStore_t store;
    char second[128];
    int64_t revision;

    snprintf(second, sizeof(second), "http://%s",
             AprStoreServer_Address(other));
    open_store_client(fixture->server, second, &store);
    assert_int_equal(read_revision(&store, "/a"), 0);
    AprStoreServer_SetMode(fixture->server, APR_STORE_LOSE_RESPONSE, 0, 1);
    assert_int_equal(swap_key(&store, "/a", 0, "one", 0, &revision),
                     APR_E_UNKNOWN_OUTCOME);
    assert_int_equal(get_server_counts(fixture->server).writes, 1);
    assert_int_equal(get_server_counts(other).writes, 0);
    assert_true(read_revision(&fixture->store, "/a") > 0);
    AprStore_Close(&store);
    AprStoreServer_Stop(other);
}

/* Guards against a write that takes effect after its caller timed out, but is
   reported as a write without effect. */
static void
test_late_write_result_is_unknown(void **state)
{
    Fixture_t *fixture = *state;
    AprStore_t *store = &fixture->store;
    int64_t revision;

    AprStoreServer_SetMode(fixture->server, APR_STORE_SLOW,
                           STORE_TIMEOUT_MS * 2, 0);
    assert_int_equal(swap_key(store, "/a", 0, "late", 0, &revision),
                     APR_E_UNKNOWN_OUTCOME);
    AprStoreServer_SetMode(fixture->server, APR_STORE_OK, 0, 0);
    assert_int_equal(read_revision(store, "/a"), 0);
    usleep(STORE_TIMEOUT_MS * 2 * 1000);
    assert_true(read_revision(store, "/a") > 0);
    assert_int_equal(swap_key(store, "/a", 0, "new", 0, &revision),
                     APR_E_CONFLICT);
}

/* Guards against an unreachable endpoint that fails a call which another
   endpoint would serve, and against unknown results where nothing was sent. */
static void
test_endpoints_are_tried_in_turn(void **state)
{
    Fixture_t *fixture = *state;
    const char *refusing_endpoints[2] = {REFUSING_ENDPOINT, REFUSING_ENDPOINT};
    const char *mixed_endpoints[2] = {REFUSING_ENDPOINT, NULL};
    char url[128];
    AprStore_t store;
    AprError_t error;
    AprStoreValue_t value;
    int64_t revision;

    snprintf(url, sizeof(url), "http://%s/",
             AprStoreServer_Address(fixture->server));
    mixed_endpoints[1] = url;
    assert_int_equal(
        AprEtcd_Open(mixed_endpoints, 2, STORE_TIMEOUT_MS, &store, NULL),
        APR_OK);
    assert_int_equal(swap_key(&store, "/a", 0, "1", 0, &revision), APR_OK);
    AprStore_Close(&store);
    assert_int_equal(
        AprEtcd_Open(refusing_endpoints, 2, STORE_TIMEOUT_MS, &store, NULL),
        APR_OK);
    assert_int_equal(swap_key(&store, "/a", 0, "1", 0, &revision),
                     APR_E_UNAVAILABLE);
    assert_int_equal(store.get(store.context, "/a", &value, &error),
                     APR_E_UNAVAILABLE);
    assert_int_equal(error.step, APR_STEP_STORE);
    assert_string_equal(error.peer, REFUSING_ENDPOINT);
    AprStore_Close(&store);
}

/* Guards against calls that hang or succeed while the store is down. */
static void
test_calls_fail_while_store_is_down(void **state)
{
    Fixture_t *fixture = *state;
    AprStore_t *store = &fixture->store;
    AprStoreValue_t value;
    int64_t number;

    AprStoreServer_SetMode(fixture->server, APR_STORE_DOWN, 0, 0);
    for (int i = 0; i < 2; i++) { /* 503 first, then a closed connection */
        assert_int_equal(store->get(store->context, "/a", &value, NULL),
                         APR_E_UNAVAILABLE);
        assert_int_equal(store->grant_lease(store->context, 1, &number, NULL),
                         APR_E_UNAVAILABLE);
        assert_int_equal(swap_key(store, "/a", 0, "1", 0, &number),
                         APR_E_UNKNOWN_OUTCOME);
    }
    AprStoreServer_SetMode(fixture->server, APR_STORE_OK, 0, 0);
    assert_int_equal(read_revision(store, "/a"), 0);
}

/* Guards against a client that rejects a value of 1 MiB, which the store
   accepts, and against one that sends a larger value, which the store would
   reject. */
static void
test_value_size_limit(void **state)
{
    Fixture_t *fixture = *state;
    AprStore_t *store = &fixture->store;
    AprStoreValue_t value;
    size_t size = 1u << 20;
    char *data = malloc(size + 2);
    int64_t revision;

    memset(data, 'v', size + 1);
    data[size] = '\0';
    assert_int_equal(swap_key(store, "/big", 0, data, 0, &revision), APR_OK);
    assert_int_equal(store->get(store->context, "/big", &value, NULL), APR_OK);
    assert_int_equal(value.size, size);
    assert_memory_equal(value.data, data, size);
    AprStoreValue_Clear(&value);
    data[size] = 'v';
    data[size + 1] = '\0';
    assert_int_equal(swap_key(store, "/big", revision, data, 0, &revision),
                     APR_E_TOO_LARGE);
    free(data);
}

/* Guards against leases that expire although they are renewed, and against
   keys that outlive their lease. */
static void
test_lease_expires_unless_renewed(void **state)
{
    Fixture_t *fixture = *state;
    AprStore_t *store = &fixture->store;
    int64_t lease;
    int64_t revision;

    assert_int_equal(store->grant_lease(store->context, 1, &lease, NULL),
                     APR_OK);
    assert_int_equal(swap_key(store, "/l", 0, "1", lease, &revision), APR_OK);
    for (int i = 0; i < 3; i++) {
        usleep(500 * 1000);
        assert_int_equal(store->renew_lease(store->context, lease, NULL),
                         APR_OK);
    }
    assert_int_equal(read_revision(store, "/l"), revision);
    usleep(1200 * 1000);
    assert_int_equal(read_revision(store, "/l"), 0);
    assert_int_equal(store->renew_lease(store->context, lease, NULL),
                     APR_E_NOT_FOUND);
}

static void *
increment_counter(void *argument)
{
    AprStore_t *store = argument;
    AprStoreValue_t value;
    char next[32];
    int64_t revision;

    for (int done = 0; done < INCREMENTS;) {
        if (store->get(store->context, "/n", &value, NULL) != APR_OK) {
            continue;
        }
        snprintf(next, sizeof(next), "%ld",
                 (value.data == NULL ? 0 : strtol(value.data, NULL, 10)) + 1);
        if (swap_key(store, "/n", value.revision, next, 0, &revision) ==
            APR_OK) {
            done++;
        }
        AprStoreValue_Clear(&value);
    }
    return NULL;
}

/* Guards against updates lost between threads that share one client. */
static void
test_concurrent_swaps_lose_no_update(void **state)
{
    Fixture_t *fixture = *state;
    AprStore_t *store = &fixture->store;
    pthread_t threads[WRITERS];
    AprStoreValue_t value;

    for (int i = 0; i < WRITERS; i++) {
        pthread_create(&threads[i], NULL, increment_counter, store);
    }
    for (int i = 0; i < WRITERS; i++) {
        pthread_join(threads[i], NULL);
    }
    assert_int_equal(store->get(store->context, "/n", &value, NULL), APR_OK);
    assert_int_equal(strtol(value.data, NULL, 10), WRITERS * INCREMENTS);
    AprStoreValue_Clear(&value);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        STORE_TEST(test_swap_compares_revisions),
        STORE_TEST(test_swap_is_all_or_nothing),
        STORE_TEST(test_list_returns_the_prefix),
        STORE_TEST(test_lost_response_is_unknown),
        STORE_TEST(test_late_write_result_is_unknown),
        STORE_TEST(test_endpoints_are_tried_in_turn),
        STORE_TEST(test_calls_fail_while_store_is_down),
        STORE_TEST(test_value_size_limit),
        STORE_TEST(test_lease_expires_unless_renewed),
        STORE_TEST(test_concurrent_swaps_lose_no_update),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
