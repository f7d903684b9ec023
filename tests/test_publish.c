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
#define TIMEOUT_MS 400
#define THREADS 3
#define ROUNDS 10

typedef struct Fixture_t Fixture_t;

/* Runs before or after a swap of the hooked store, once. */
typedef void (*Hook_t)(Fixture_t *fixture);

struct Fixture_t {
    AprStoreServer_t *server;
    AprStore_t direct;
    AprStore_t hooked; /* like `direct`, with the hooks around swap */
    Hook_t before;
    Hook_t after;
    AprPublishResult_t result;
    AprError_t error;
};

static int
hooked_get(void *context, const char *key, AprStoreValue_t *value,
           AprError_t *error)
{
    AprStore_t *direct = &((Fixture_t *)context)->direct;

    return direct->get(direct->context, key, value, error);
}

static void
run_hook(Fixture_t *fixture, Hook_t *hook)
{
    Hook_t now = *hook;

    *hook = NULL;
    if (now != NULL) {
        now(fixture);
    }
}

static int
hooked_swap(void *context, const AprStoreCompare_t *compares,
            int compare_count, const AprStorePut_t *puts, int put_count,
            int64_t *revision, AprError_t *error)
{
    Fixture_t *fixture = context;
    AprStore_t *direct = &fixture->direct;
    int result;

    run_hook(fixture, &fixture->before);
    result = direct->swap(direct->context, compares, compare_count, puts,
                          put_count, revision, error);
    run_hook(fixture, &fixture->after);
    return result;
}

static int
hooked_watch(void *context, const char *prefix, int64_t revision,
             AprStoreVisitor_t visit, void *visit_context, AprStoreStop_t stop,
             void *stop_context, AprError_t *error)
{
    AprStore_t *direct = &((Fixture_t *)context)->direct;

    return direct->watch(direct->context, prefix, revision, visit,
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
    assert_int_equal(
        AprEtcd_Open(&endpoint, 1, TIMEOUT_MS, &fixture->direct, NULL),
        APR_OK);
    fixture->hooked.get = hooked_get;
    fixture->hooked.swap = hooked_swap;
    fixture->hooked.watch = hooked_watch;
    fixture->hooked.context = fixture;
    *state = fixture;
    return 0;
}

static int
tear_down(void **state)
{
    Fixture_t *fixture = *state;

    AprStore_Close(&fixture->direct);
    AprStoreServer_Stop(fixture->server);
    free(fixture);
    return 0;
}

static AprServiceConfig_t
config_of(const char *service, const char *publisher, int queue)
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
    AprServiceConfig_t config = config_of(service, "asha@ops-1", queue);

    return AprPublish_Service(store, PREFIX, &config, based_on,
                              &fixture->result, &fixture->error);
}

/* Queue length of a published service, or 0 when it is not published. */
static int
published_queue(Fixture_t *fixture, const char *service, uint64_t *generation)
{
    AprServiceConfig_t *configs = NULL;
    int queue = 0;
    int count = AprPublish_List(&fixture->direct, PREFIX, &configs, generation,
                                &fixture->error);

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
    AprStore_t *store = &fixture->direct;
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
    assert_int_equal(
        AprPublish_List(store, PREFIX, &configs, &generation, &fixture->error),
        2);
    assert_int_equal(generation, 3);
    assert_string_equal(configs[0].service, "bench");
    assert_int_equal(configs[1].generation, 3);
    assert_string_equal(configs[1].published_by, "asha@ops-1");
    free(configs);
}

/* Guards against an operator who overwrites a change that was not there when
   the files were edited. */
static void
test_newer_change_is_a_conflict(void **state)
{
    Fixture_t *fixture = *state;
    AprStore_t *store = &fixture->direct;
    uint64_t generation;

    assert_int_equal(publish(fixture, store, "desk", 10, 0), APR_OK);
    assert_int_equal(publish(fixture, store, "desk", 11, 1), APR_OK);
    assert_int_equal(publish(fixture, store, "desk", 12, 1), APR_E_CONFLICT);
    assert_true(fixture->result.conflict);
    assert_string_equal(fixture->result.winner, "asha@ops-1");
    assert_int_equal(fixture->result.winner_generation, 2);
    assert_int_equal(published_queue(fixture, "desk", &generation), 11);
}

static void
publish_other(Fixture_t *fixture, const char *service)
{
    AprServiceConfig_t config = config_of(service, "ravi@ops-2", 99);
    AprPublishResult_t result;

    assert_int_equal(AprPublish_Service(&fixture->direct, PREFIX, &config, 0,
                                        &result, NULL),
                     APR_OK);
}

static void
publish_same_service(Fixture_t *fixture)
{
    publish_other(fixture, "desk");
}

static void
publish_other_service(Fixture_t *fixture)
{
    publish_other(fixture, "bench");
}

/* Guards against a conflict that does not say who won. */
static void
test_loser_learns_the_winner(void **state)
{
    Fixture_t *fixture = *state;
    uint64_t generation;

    fixture->before = publish_same_service;
    assert_int_equal(publish(fixture, &fixture->hooked, "desk", 10, 0),
                     APR_E_CONFLICT);
    assert_string_equal(fixture->result.winner, "ravi@ops-2");
    assert_int_equal(fixture->result.winner_at_ms, 1700000000000);
    assert_int_equal(fixture->result.winner_generation, 1);
    assert_non_null(strstr(fixture->error.detail, "ravi@ops-2"));
    assert_int_equal(published_queue(fixture, "desk", &generation), 99);
}

/* Guards against publishers of different services that stop each other. */
static void
test_conflict_on_generation_is_retried(void **state)
{
    Fixture_t *fixture = *state;

    fixture->before = publish_other_service;
    assert_int_equal(publish(fixture, &fixture->hooked, "desk", 10, 0),
                     APR_OK);
    assert_int_equal(fixture->result.generation, 2);
    assert_false(fixture->result.conflict);
}

/* Guards against a lost answer that is reported as a failure, or that
   publishes the same change twice. */
static void
test_lost_answer_is_read_back(void **state)
{
    Fixture_t *fixture = *state;
    AprStoreCounts_t counts;
    uint64_t generation;

    AprStoreServer_SetMode(fixture->server, APR_STORE_LOSE_ANSWER, 0, 1);
    assert_int_equal(publish(fixture, &fixture->direct, "desk", 10, 0),
                     APR_OK);
    assert_int_equal(fixture->result.generation, 1);
    AprStoreServer_Counts(fixture->server, &counts);
    assert_int_equal(counts.writes, 1);
    assert_int_equal(published_queue(fixture, "desk", &generation), 10);
    assert_int_equal(generation, 1);
}

static void
slow_down(Fixture_t *fixture)
{
    AprStoreServer_SetMode(fixture->server, APR_STORE_SLOW, 2 * TIMEOUT_MS, 0);
}

static void
speed_up(Fixture_t *fixture)
{
    AprStoreServer_SetMode(fixture->server, APR_STORE_OK, 0, 0);
}

/* Guards against a write that arrives late and reverts a newer change. */
static void
test_late_write_does_not_revert(void **state)
{
    Fixture_t *fixture = *state;
    uint64_t generation;

    fixture->before = slow_down;
    fixture->after = speed_up;
    assert_int_equal(publish(fixture, &fixture->hooked, "desk", 10, 0),
                     APR_OK);
    assert_int_equal(publish(fixture, &fixture->direct, "desk", 11, 0),
                     APR_OK);
    usleep(3 * TIMEOUT_MS * 1000);
    assert_int_equal(published_queue(fixture, "desk", &generation), 11);
    assert_int_equal(generation, 2);
}

static void
lose_answer(Fixture_t *fixture)
{
    AprStoreServer_SetMode(fixture->server, APR_STORE_LOSE_ANSWER, 0, 1);
}

static void
go_down(Fixture_t *fixture)
{
    AprStoreServer_SetMode(fixture->server, APR_STORE_DOWN, 0, 0);
}

/* Guards against publishing that claims success or failure it cannot know
   while the store is down. */
static void
test_store_down(void **state)
{
    Fixture_t *fixture = *state;
    AprServiceConfig_t *configs;
    uint64_t generation;

    go_down(fixture);
    assert_int_equal(publish(fixture, &fixture->direct, "desk", 10, 0),
                     APR_E_UNAVAILABLE);
    assert_int_equal(fixture->error.step, APR_STEP_STORE);
    assert_int_equal(AprPublish_List(&fixture->direct, PREFIX, &configs,
                                     &generation, &fixture->error),
                     APR_E_UNAVAILABLE);
    speed_up(fixture);
    fixture->before = lose_answer;
    fixture->after = go_down;
    assert_int_equal(publish(fixture, &fixture->hooked, "desk", 10, 0),
                     APR_E_UNKNOWN);
    speed_up(fixture);
    assert_int_equal(publish(fixture, &fixture->direct, "desk", 10, 0),
                     APR_OK);
    assert_true(fixture->result.unchanged);
    assert_int_equal(fixture->result.generation, 1);
}

/* Guards against a change that took effect and is reported as a conflict,
   because another publisher built on it before it was read back. */
static void
test_accepted_change_that_was_replaced(void **state)
{
    Fixture_t *fixture = *state;
    uint64_t generation;

    publish_other(fixture, "desk2");
    fixture->before = lose_answer;
    fixture->after = publish_same_service;
    assert_int_equal(publish(fixture, &fixture->hooked, "desk", 10, 0),
                     APR_OK);
    assert_int_equal(fixture->result.generation, 2);
    assert_false(fixture->result.conflict);
    assert_int_equal(published_queue(fixture, "desk", &generation), 99);
    assert_int_equal(generation, 3);
}

typedef struct Racer_t {
    Fixture_t *fixture;
    char own_service[16];
    pthread_t thread;
    int failures;
} Racer_t;

/* Raises the queue length of the shared service by one. */
static bool
raise_shared(Racer_t *racer)
{
    AprPublishResult_t result;
    uint64_t generation;
    int queue = published_queue(racer->fixture, "desk", &generation);
    AprServiceConfig_t config =
        config_of("desk", racer->own_service, queue + 1);
    int code = AprPublish_Service(&racer->fixture->direct, PREFIX, &config,
                                  generation, &result, NULL);

    racer->failures += code != APR_OK && code != APR_E_CONFLICT ? 1 : 0;
    /* The same content from another racer is that racer's change. */
    return code == APR_OK && !result.unchanged;
}

static void *
race(void *argument)
{
    Racer_t *racer = argument;

    for (int done = 0; done < ROUNDS;) {
        AprPublishResult_t result;
        AprServiceConfig_t own;

        if (!raise_shared(racer)) {
            continue;
        }
        done++;
        own = config_of(racer->own_service, racer->own_service, 100 + done);
        if (AprPublish_Service(&racer->fixture->direct, PREFIX, &own, 0,
                               &result, NULL) != APR_OK) {
            racer->failures++;
        }
    }
    return NULL;
}

/* Guards against racing publishers that overwrite each other's change, also
   when answers are lost, and against two changes at one generation. */
static void
test_racing_publishers_lose_nothing(void **state)
{
    Fixture_t *fixture = *state;
    Racer_t racers[THREADS] = {{0}};
    uint64_t generation;

    assert_int_equal(publish(fixture, &fixture->direct, "desk", 10, 0),
                     APR_OK);
    AprStoreServer_SetMode(fixture->server, APR_STORE_LOSE_ANSWER, 0, ROUNDS);
    for (int i = 0; i < THREADS; i++) {
        racers[i].fixture = fixture;
        snprintf(racers[i].own_service, sizeof(racers[i].own_service), "s%d",
                 i);
        pthread_create(&racers[i].thread, NULL, race, &racers[i]);
    }
    for (int i = 0; i < THREADS; i++) {
        pthread_join(racers[i].thread, NULL);
        assert_int_equal(racers[i].failures, 0);
    }
    assert_int_equal(published_queue(fixture, "desk", &generation),
                     10 + THREADS * ROUNDS);
    assert_int_equal(generation, 1 + 2 * THREADS * ROUNDS);
}

#define PUBLISH_TEST(name) \
    cmocka_unit_test_setup_teardown(name, set_up, tear_down)

int
main(void)
{
    const struct CMUnitTest tests[] = {
        PUBLISH_TEST(test_generation_rises_with_each_change),
        PUBLISH_TEST(test_newer_change_is_a_conflict),
        PUBLISH_TEST(test_loser_learns_the_winner),
        PUBLISH_TEST(test_conflict_on_generation_is_retried),
        PUBLISH_TEST(test_lost_answer_is_read_back),
        PUBLISH_TEST(test_late_write_does_not_revert),
        PUBLISH_TEST(test_store_down),
        PUBLISH_TEST(test_accepted_change_that_was_replaced),
        PUBLISH_TEST(test_racing_publishers_lose_nothing),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
