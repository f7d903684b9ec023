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

#include "apricot/publish.h"
#include "standins/lib/store_server.h"

#define PREFIX "/apricot"
#define STORE_TIMEOUT_MS 400
#define PUBLISHERS 3
#define CHANGES_PER_PUBLISHER 10

typedef struct Fixture_t Fixture_t;

/* Called once, before or after the next swap of the hooked store. */
typedef void (*SwapHook_t)(Fixture_t *fixture);

struct Fixture_t {
    AprStoreServer_t *server;
    AprStore_t direct_store;
    AprStore_t hooked_store; /* direct_store with hooks around swap */
    SwapHook_t before_swap;
    SwapHook_t after_swap;
    AprPublishResult_t result;
    AprError_t error;
};

static int
hooked_get(void *context, const char *key, AprStoreValue_t *value,
           AprError_t *error)
{
    AprStore_t *direct_store = &((Fixture_t *)context)->direct_store;

    return direct_store->get(direct_store->context, key, value, error);
}

static void
run_hook(Fixture_t *fixture, SwapHook_t *hook)
{
    SwapHook_t callback = *hook;

    *hook = NULL;
    if (callback != NULL) {
        callback(fixture);
    }
}

static int
hooked_swap(void *context, const AprStoreCompare_t *compares,
            int compare_count, const AprStorePut_t *puts, int put_count,
            int64_t *revision, AprError_t *error)
{
    Fixture_t *fixture = context;
    AprStore_t *direct_store = &fixture->direct_store;
    int result;

    run_hook(fixture, &fixture->before_swap);
    result = direct_store->swap(direct_store->context, compares, compare_count,
                                puts, put_count, revision, error);
    run_hook(fixture, &fixture->after_swap);
    return result;
}

static int
hooked_watch(void *context, const char *prefix, int64_t revision,
             AprStoreVisitor_t visit, void *visit_context,
             AprStoreShouldStop_t stop, void *stop_context, AprError_t *error)
{
    AprStore_t *direct_store = &((Fixture_t *)context)->direct_store;

    return direct_store->watch(direct_store->context, prefix, revision, visit,
                               visit_context, stop, stop_context, error);
}

static int
set_up(void **state)
{
    Fixture_t *fixture = calloc(1, sizeof(*fixture));
    char url[128];
    const char *endpoint = url;

    fixture->server = AprStoreServer_Start("127.0.0.1:0", 1000);
    assert_non_null(fixture->server);
    snprintf(url, sizeof(url), "http://%s",
             AprStoreServer_Address(fixture->server));
    assert_int_equal(AprEtcd_Open(&endpoint, 1, STORE_TIMEOUT_MS,
                                  &fixture->direct_store, NULL),
                     APR_OK);
    fixture->hooked_store.get = hooked_get;
    fixture->hooked_store.swap = hooked_swap;
    fixture->hooked_store.watch = hooked_watch;
    fixture->hooked_store.context = fixture;
    *state = fixture;
    return 0;
}

static int
tear_down(void **state)
{
    Fixture_t *fixture = *state;

    AprStore_Close(&fixture->direct_store);
    AprStoreServer_Stop(fixture->server);
    free(fixture);
    return 0;
}

static AprServiceConfig_t
make_config(const char *service, const char *publisher, int queue)
{
    static const char format[] =
        "{\"service\":\"%s\",\"keys\":[\"job/*\"],\"rank\":[{\"name\":"
        "\"urgent\",\"target_ms\":50,\"worth\":10}]}";
    AprServiceConfig_t config;
    AprError_t error = {0};
    char text[256];

    snprintf(text, sizeof(text), format, service);
    if (AprServiceConfig_FromJson(text, strlen(text), &config, &error) !=
        APR_OK) {
        fail_msg("%s", error.detail);
    }
    config.queue = queue;
    config.published_at_ms = 1700000000000;
    snprintf(config.published_by, sizeof(config.published_by), "%s",
             publisher);
    return config;
}

static int
publish(Fixture_t *fixture, AprStore_t *store, const char *service, int queue,
        uint64_t based_on)
{
    AprServiceConfig_t config = make_config(service, "asha@ops-1", queue);

    return AprPublish_Service(store, PREFIX, &config, based_on,
                              &fixture->result, &fixture->error);
}

/* Queue length of a published service, or 0 when it is not published. */
static int
published_queue_length(Fixture_t *fixture, const char *service,
                       uint64_t *generation)
{
    AprServiceConfig_t *configs = NULL;
    int queue = 0;
    int count = AprPublish_ListServices(&fixture->direct_store, PREFIX,
                                        &configs, generation, &fixture->error);

    assert_true(count >= 0);
    for (int i = 0; i < count; i++) {
        if (strcmp(configs[i].service, service) == 0) {
            queue = configs[i].queue;
        }
    }
    free(configs);
    return queue;
}

/* Guards against generations that do not rise with each change, or that rise
   without one, which would push the configuration to every process again. */
static void
test_generation_rises_with_each_change(void **state)
{
    Fixture_t *fixture = *state;
    AprStore_t *store = &fixture->direct_store;
    AprServiceConfig_t *configs;
    uint64_t generation;

    assert_int_equal(publish(fixture, store, "desk", 10, 0), APR_OK);
    assert_int_equal(fixture->result.generation, 1);
    assert_int_equal(publish(fixture, store, "bench", 10, 0), APR_OK);
    assert_int_equal(fixture->result.generation, 2);
    assert_int_equal(publish(fixture, store, "desk", 10, 0), APR_OK);
    assert_true(fixture->result.unchanged);
    assert_int_equal(fixture->result.generation, 1);
    assert_int_equal(publish(fixture, store, "desk", 11, 0), APR_OK);
    assert_int_equal(fixture->result.generation, 3);
    assert_int_equal(AprPublish_ListServices(store, PREFIX, &configs,
                                             &generation, &fixture->error),
                     2);
    assert_int_equal(generation, 3);
    assert_string_equal(configs[0].service, "bench");
    assert_int_equal(configs[1].generation, 3);
    assert_string_equal(configs[1].published_by, "asha@ops-1");
    free(configs);
}

/* Guards against an operator who overwrites a change that was published after
   the files were read for editing. */
static void
test_newer_change_is_a_conflict(void **state)
{
    Fixture_t *fixture = *state;
    AprStore_t *store = &fixture->direct_store;
    uint64_t generation;

    assert_int_equal(publish(fixture, store, "desk", 10, 0), APR_OK);
    assert_int_equal(publish(fixture, store, "desk", 11, 1), APR_OK);
    assert_int_equal(publish(fixture, store, "desk", 12, 1), APR_E_CONFLICT);
    assert_true(fixture->result.conflict);
    assert_string_equal(fixture->result.winner, "asha@ops-1");
    assert_int_equal(fixture->result.winner_generation, 2);
    assert_int_equal(published_queue_length(fixture, "desk", &generation), 11);
}

static void
publish_concurrently(Fixture_t *fixture, const char *service)
{
    AprServiceConfig_t config = make_config(service, "ravi@ops-2", 99);
    AprPublishResult_t result;

    assert_int_equal(AprPublish_Service(&fixture->direct_store, PREFIX,
                                        &config, 0, &result, NULL),
                     APR_OK);
}

static void
publish_same_service_concurrently(Fixture_t *fixture)
{
    publish_concurrently(fixture, "desk");
}

static void
publish_other_service_concurrently(Fixture_t *fixture)
{
    publish_concurrently(fixture, "bench");
}

/* Guards against a conflict that does not name the publisher of the change in
   force. */
static void
test_conflict_names_the_winner(void **state)
{
    Fixture_t *fixture = *state;
    uint64_t generation;

    fixture->before_swap = publish_same_service_concurrently;
    assert_int_equal(publish(fixture, &fixture->hooked_store, "desk", 10, 0),
                     APR_E_CONFLICT);
    assert_string_equal(fixture->result.winner, "ravi@ops-2");
    assert_int_equal(fixture->result.winner_at_ms, 1700000000000);
    assert_int_equal(fixture->result.winner_generation, 1);
    assert_non_null(strstr(fixture->error.detail, "ravi@ops-2"));
    assert_int_equal(published_queue_length(fixture, "desk", &generation), 99);
}

/* Guards against publishers of different services that fail on a conflict on
   the shared generation. */
static void
test_conflict_on_generation_is_retried(void **state)
{
    Fixture_t *fixture = *state;

    fixture->before_swap = publish_other_service_concurrently;
    assert_int_equal(publish(fixture, &fixture->hooked_store, "desk", 10, 0),
                     APR_OK);
    assert_int_equal(fixture->result.generation, 2);
    assert_false(fixture->result.conflict);
}

/* Guards against a lost response that is reported as a failure, or that causes
   the same change to be published twice. */
static void
test_lost_response_is_read_back(void **state)
{
    Fixture_t *fixture = *state;
    AprStoreCounts_t counts;
    uint64_t generation;

    AprStoreServer_SetMode(fixture->server, APR_STORE_LOSE_RESPONSE, 0, 1);
    assert_int_equal(publish(fixture, &fixture->direct_store, "desk", 10, 0),
                     APR_OK);
    assert_int_equal(fixture->result.generation, 1);
    AprStoreServer_GetCounts(fixture->server, &counts);
    assert_int_equal(counts.writes, 1);
    assert_int_equal(published_queue_length(fixture, "desk", &generation), 10);
    assert_int_equal(generation, 1);
}

static void
set_store_slow(Fixture_t *fixture)
{
    AprStoreServer_SetMode(fixture->server, APR_STORE_SLOW,
                           2 * STORE_TIMEOUT_MS, 0);
}

static void
set_store_ok(Fixture_t *fixture)
{
    AprStoreServer_SetMode(fixture->server, APR_STORE_OK, 0, 0);
}

/* Guards against a write that arrives late and reverts a newer change. */
static void
test_late_write_does_not_revert(void **state)
{
    Fixture_t *fixture = *state;
    uint64_t generation;

    fixture->before_swap = set_store_slow;
    fixture->after_swap = set_store_ok;
    assert_int_equal(publish(fixture, &fixture->hooked_store, "desk", 10, 0),
                     APR_OK);
    assert_int_equal(publish(fixture, &fixture->direct_store, "desk", 11, 0),
                     APR_OK);
    usleep(3 * STORE_TIMEOUT_MS * 1000);
    assert_int_equal(published_queue_length(fixture, "desk", &generation), 11);
    assert_int_equal(generation, 2);
}

static void
set_store_lose_response(Fixture_t *fixture)
{
    AprStoreServer_SetMode(fixture->server, APR_STORE_LOSE_RESPONSE, 0, 1);
}

static void
set_store_down(Fixture_t *fixture)
{
    AprStoreServer_SetMode(fixture->server, APR_STORE_DOWN, 0, 0);
}

/* Guards against publishing that reports a success or failure which it cannot
   know while the store is down. */
static void
test_publish_while_store_is_down(void **state)
{
    Fixture_t *fixture = *state;
    AprServiceConfig_t *configs;
    uint64_t generation;

    set_store_down(fixture);
    assert_int_equal(publish(fixture, &fixture->direct_store, "desk", 10, 0),
                     APR_E_UNAVAILABLE);
    assert_int_equal(fixture->error.step, APR_STEP_STORE);
    assert_int_equal(AprPublish_ListServices(&fixture->direct_store, PREFIX,
                                             &configs, &generation,
                                             &fixture->error),
                     APR_E_UNAVAILABLE);
    set_store_ok(fixture);
    fixture->before_swap = set_store_lose_response;
    fixture->after_swap = set_store_down;
    assert_int_equal(publish(fixture, &fixture->hooked_store, "desk", 10, 0),
                     APR_E_UNKNOWN_OUTCOME);
    set_store_ok(fixture);
    assert_int_equal(publish(fixture, &fixture->direct_store, "desk", 10, 0),
                     APR_OK);
    assert_true(fixture->result.unchanged);
    assert_int_equal(fixture->result.generation, 1);
}

/* Guards against a change that took effect but is reported as a conflict,
   because its response was lost and another publisher replaced it before it
   was read back. */
static void
test_replaced_change_is_a_success(void **state)
{
    Fixture_t *fixture = *state;
    uint64_t generation;

    publish_concurrently(fixture, "desk2");
    fixture->before_swap = set_store_lose_response;
    fixture->after_swap = publish_same_service_concurrently;
    assert_int_equal(publish(fixture, &fixture->hooked_store, "desk", 10, 0),
                     APR_OK);
    assert_int_equal(fixture->result.generation, 2);
    assert_false(fixture->result.conflict);
    assert_int_equal(published_queue_length(fixture, "desk", &generation), 99);
    assert_int_equal(generation, 3);
}

typedef struct ConcurrentPublisher_t {
    Fixture_t *fixture;
    char own_service[16];
    pthread_t thread;
    int failures;
} ConcurrentPublisher_t;

/* Publishes the shared service with a queue length one higher. Returns whether
   this publisher made the change. */
static bool
increment_shared_queue(ConcurrentPublisher_t *publisher)
{
    AprPublishResult_t result;
    uint64_t generation;
    int queue =
        published_queue_length(publisher->fixture, "desk", &generation);
    AprServiceConfig_t config =
        make_config("desk", publisher->own_service, queue + 1);
    int code = AprPublish_Service(&publisher->fixture->direct_store, PREFIX,
                                  &config, generation, &result, NULL);

    publisher->failures += code != APR_OK && code != APR_E_CONFLICT ? 1 : 0;
    /* The same content came from another publisher, which counts it. */
    return code == APR_OK && !result.unchanged;
}

static void *
run_publisher(void *argument)
{
    ConcurrentPublisher_t *publisher = argument;

    for (int done = 0; done < CHANGES_PER_PUBLISHER;) {
        AprPublishResult_t result;
        AprServiceConfig_t own;

        if (!increment_shared_queue(publisher)) {
            continue;
        }
        done++;
        own = make_config(publisher->own_service, publisher->own_service,
                          100 + done);
        if (AprPublish_Service(&publisher->fixture->direct_store, PREFIX, &own,
                               0, &result, NULL) != APR_OK) {
            publisher->failures++;
        }
    }
    return NULL;
}

/* Guards against concurrent publishers that overwrite each other's change,
   also when responses are lost, and against two changes with the same
   generation. */
static void
test_concurrent_publishers_lose_no_change(void **state)
{
    Fixture_t *fixture = *state;
    ConcurrentPublisher_t publishers[PUBLISHERS] = {{0}};
    uint64_t generation;

    assert_int_equal(publish(fixture, &fixture->direct_store, "desk", 10, 0),
                     APR_OK);
    AprStoreServer_SetMode(fixture->server, APR_STORE_LOSE_RESPONSE, 0,
                           CHANGES_PER_PUBLISHER);
    for (int i = 0; i < PUBLISHERS; i++) {
        publishers[i].fixture = fixture;
        snprintf(publishers[i].own_service, sizeof(publishers[i].own_service),
                 "s%d", i);
        pthread_create(&publishers[i].thread, NULL, run_publisher,
                       &publishers[i]);
    }
    for (int i = 0; i < PUBLISHERS; i++) {
        pthread_join(publishers[i].thread, NULL);
        assert_int_equal(publishers[i].failures, 0);
    }
    assert_int_equal(published_queue_length(fixture, "desk", &generation),
                     10 + PUBLISHERS * CHANGES_PER_PUBLISHER);
    assert_int_equal(generation, 1 + 2 * PUBLISHERS * CHANGES_PER_PUBLISHER);
}

#define PUBLISH_TEST(name) \
    cmocka_unit_test_setup_teardown(name, set_up, tear_down)

int
main(void)
{
    const struct CMUnitTest tests[] = {
        PUBLISH_TEST(test_generation_rises_with_each_change),
        PUBLISH_TEST(test_newer_change_is_a_conflict),
        PUBLISH_TEST(test_conflict_names_the_winner),
        PUBLISH_TEST(test_conflict_on_generation_is_retried),
        PUBLISH_TEST(test_lost_response_is_read_back),
        PUBLISH_TEST(test_late_write_does_not_revert),
        PUBLISH_TEST(test_publish_while_store_is_down),
        PUBLISH_TEST(test_replaced_change_is_a_success),
        PUBLISH_TEST(test_concurrent_publishers_lose_no_change),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
