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

#include "apricot/backend_client.h"
#include "apricot/ring.h"
#include "standins/lib/backend_server.h"
#include "standins/lib/http.h"
#include "tests/disconnecting_server.h"
#include "tests/hostile_server.h"

#define MAX_CONNECTIONS 4
#define MAX_BODY_BYTES 4096
#define TIMEOUT_MS 2000
#define RESULT_TIMEOUT_MS 5000
#define CALL_COUNT 200

typedef struct Fixture_t {
    AprBackendOptions_t options;
    AprBackendServer_t *server;
    AprBackendClient_t *client;
    AprRing_t *results;
    AprClock_t clock;
} Fixture_t;

static void
push_result(void *context, AprBackendResult_t *result)
{
    AprRing_Push(context, result);
}

static int
set_up(void **state)
{
    Fixture_t *fixture = calloc(1, sizeof(*fixture));

    fixture->options = AprBackendOptions_Default();
    fixture->options.max_concurrent_requests = 1;
    fixture->options.checks_grants = true;
    fixture->clock = AprClock_System();
    fixture->results = AprRing_New(CALL_COUNT);
    fixture->server = AprBackendServer_Start(&fixture->options);
    fixture->client = AprBackendClient_Start(&fixture->clock, MAX_CONNECTIONS,
                                             MAX_BODY_BYTES, push_result,
                                             fixture->results, NULL);
    *state = fixture;
    return fixture->server == NULL || fixture->client == NULL;
}

static int
tear_down(void **state)
{
    Fixture_t *fixture = *state;

    AprBackendClient_Stop(fixture->client);
    if (fixture->server != NULL) {
        AprBackendServer_Stop(fixture->server);
    }
    AprRing_Free(fixture->results);
    free(fixture);
    return 0;
}

static void
restart_server(Fixture_t *fixture)
{
    AprBackendServer_Stop(fixture->server);
    fixture->server = AprBackendServer_Start(&fixture->options);
    assert_non_null(fixture->server);
}

/* Returns a call that the server accepts; tests change single fields. The
   strings must outlive the call. */
static AprBackendCall_t *
new_call(Fixture_t *fixture, uint64_t id, const char *operation,
         const char *key, const char *body)
{
    AprBackendCall_t *call = calloc(1, sizeof(*call));
    AprRequestMessage_t *request;

    call->id = id;
    snprintf(call->address, sizeof(call->address), "%s",
             AprBackendServer_Address(fixture->server));
    strcpy(call->service, "desk");
    strcpy(call->rank, "urgent");
    call->grant_epoch = 5;
    call->grant_expiry_ms = AprClock_WallMs(&fixture->clock) + 60000;
    call->timeout_ms = TIMEOUT_MS;
    call->send_deadline = AprTime_AddMs(AprClock_Now(&fixture->clock), 60000);
    call->request = calloc(1, sizeof(*call->request));
    call->request->type = APR_MSG_REQUEST;
    request = &call->request->request;
    request->operation = (AprBytes_t){operation, strlen(operation)};
    request->key = (AprBytes_t){key, strlen(key)};
    request->body = (AprBytes_t){body, strlen(body)};
    return call;
}

static AprBackendResult_t *
wait_for_result(Fixture_t *fixture)
{
    AprBackendResult_t *result = AprRing_Pop(fixture->results);

    while (result == NULL &&
           AprRing_Wait(fixture->results, RESULT_TIMEOUT_MS)) {
        result = AprRing_Pop(fixture->results);
    }
    assert_non_null(result);
    return result;
}

static void
submit_call(Fixture_t *fixture, AprBackendCall_t *call)
{
    assert_int_equal(AprBackendClient_Submit(fixture->client, call), APR_OK);
}

/* Runs one call and checks its outcome and, unless NULL, its body. */
static void
submit_and_expect(Fixture_t *fixture, AprBackendCall_t *call,
                  AprOutcomeKind_t outcome, const char *body)
{
    uint64_t id = call->id;
    AprBackendResult_t *result;

    submit_call(fixture, call);
    result = wait_for_result(fixture);
    assert_int_equal(result->id, id);
    assert_int_equal(result->outcome, outcome);
    if (body != NULL) {
        assert_string_equal(result->body, body);
    }
    AprBackendResult_Free(result);
}

static AprBackendCounts_t
server_counts(Fixture_t *fixture)
{
    AprBackendCounts_t counts;

    AprBackendServer_GetCounts(fixture->server, &counts);
    return counts;
}

static void
wait_for_slots_in_use(Fixture_t *fixture, int count)
{
    for (int i = 0; i < 300 && server_counts(fixture).slots_in_use != count;
         i++) {
        usleep(10 * 1000);
    }
    assert_int_equal(server_counts(fixture).slots_in_use, count);
}

/* Guards against keys that are altered on their way to the backend, and
   against runs that are logged without their idempotency key. */
static void
test_request_arrives_unchanged(void **state)
{
    static const uint8_t uuid[16] = {0x01, 0x8f, 0, 0, 0, 0, 0x70, 0,
                                     0x80, 0,    0, 0, 0, 0, 0,    7};
    static const char key[] = "job/../a b?c=1%2F#x";
    char path[] = "/tmp/apricot-run-log-XXXXXX";
    char text[256] = "";
    Fixture_t *fixture = *state;
    AprBackendCall_t *call;
    FILE *log;
    int fd = mkstemp(path);

    fixture->options.run_log = path;
    restart_server(fixture);
    call = new_call(fixture, 1, "book", key, "body");
    call->request->request.has_idempotency_key = true;
    memcpy(call->request->request.idempotency_key, uuid, sizeof(uuid));
    submit_and_expect(fixture, call, APR_ANSWERED,
                      "{\"service\":\"desk\",\"key\":\"job/../a b?c=1%2F#x\","
                      "\"operation\":\"book\",\"count\":1}");
    call = new_call(fixture, 2, "status", key, "");
    call->request->request.is_get = true;
    submit_and_expect(fixture, call, APR_ANSWERED, NULL);
    log = fdopen(fd, "r");
    assert_int_equal(fread(text, 1, sizeof(text) - 1, log) > 0, 1);
    fclose(log);
    unlink(path);
    assert_string_equal(text, "desk job/../a%20b%3Fc%3D1%252F%23x book "
                              "018f0000-0000-7000-8000-000000000007\n"
                              "desk job/../a%20b%3Fc%3D1%252F%23x status -\n");
}

/* Guards against reporting a refused connection as an unknown outcome, which
   would keep callers from repeating their requests. */
static void
test_refused_connection_is_not_run(void **state)
{
    Fixture_t *fixture = *state;
    AprBackendCall_t *call = new_call(fixture, 1, "book", "k", "");
    AprBackendResult_t *result;

    AprBackendServer_Stop(fixture->server);
    fixture->server = NULL;
    submit_call(fixture, call);
    result = wait_for_result(fixture);
    assert_int_equal(result->outcome, APR_NOT_RUN);
    assert_true(result->connection_refused);
    assert_int_equal(result->error.step, APR_STEP_BACKEND);
    AprBackendResult_Free(result);
}

/* Guards against dispatching a call after the lease of the host has ended,
   also when the call waited for a connection until then. */
static void
test_call_is_not_started_after_its_limit(void **state)
{
    Fixture_t *fixture = *state;
    AprBackendCall_t *call = new_call(fixture, 1, "book", "k", "");

    call->send_deadline = AprTime_AddMs(AprClock_Now(&fixture->clock), -1);
    submit_and_expect(fixture, call, APR_NOT_RUN, NULL);
    fixture->options.max_concurrent_requests = MAX_CONNECTIONS;
    restart_server(fixture);
    for (int i = 0; i < MAX_CONNECTIONS; i++) {
        submit_call(fixture, new_call(fixture, 10 + i, "sleep", "k", "400"));
    }
    wait_for_slots_in_use(fixture, MAX_CONNECTIONS);
    call = new_call(fixture, 2, "book", "k", "");
    call->send_deadline = AprTime_AddMs(AprClock_Now(&fixture->clock), 100);
    submit_and_expect(fixture, call, APR_NOT_RUN, NULL);
    for (int i = 0; i < MAX_CONNECTIONS; i++) {
        AprBackendResult_Free(wait_for_result(fixture));
    }
    assert_int_equal(server_counts(fixture).runs, MAX_CONNECTIONS);
}

/* Guards against libcurl sending a non-idempotent request twice. It resends a
   request when a reused connection breaks; the first call leaves a connection
   open for reuse. */
static void
test_broken_connection_is_unknown(void **state)
{
    Fixture_t *fixture = *state;
    DisconnectingServer_t server;
    AprBackendCall_t *first = new_call(fixture, 1, "status", "k", "");
    AprBackendCall_t *second = new_call(fixture, 2, "cut", "k", "");

    start_disconnecting_server(&server);
    strcpy(first->address, server.address);
    strcpy(second->address, server.address);
    first->request->request.idempotent = true;
    submit_and_expect(fixture, first, APR_ANSWERED, NULL);
    submit_and_expect(fixture, second, APR_UNKNOWN, NULL);
    assert_int_equal(atomic_load(&server.requests), 2);
    stop_disconnecting_server(&server);
}

/* Guards against calls that run past their timeout, and against a backend that
   keeps working for a caller that has gone. */
static void
test_timeout_and_cancel_are_unknown(void **state)
{
    Fixture_t *fixture = *state;
    AprBackendCall_t *call = new_call(fixture, 1, "sleep", "k", "5000");

    call->timeout_ms = 100;
    submit_and_expect(fixture, call, APR_UNKNOWN, NULL);
    wait_for_slots_in_use(fixture, 0);
    submit_call(fixture, new_call(fixture, 2, "sleep", "k", "5000"));
    wait_for_slots_in_use(fixture, 1);
    AprBackendClient_Cancel(fixture->client, 2);
    AprBackendClient_Cancel(fixture->client, 77); /* no such call: no effect */
    AprBackendResult_Free(wait_for_result(fixture));
    wait_for_slots_in_use(fixture, 0);
    assert_int_equal(server_counts(fixture).cancelled, 2);
}

/* Guards against reporting a request as run when the backend shed it or
   refused its grant. */
static void
test_shed_and_stale_grant_are_not_run(void **state)
{
    Fixture_t *fixture = *state;
    AprBackendCall_t *call;

    submit_call(fixture, new_call(fixture, 1, "sleep", "k", "300"));
    wait_for_slots_in_use(fixture, 1);
    submit_and_expect(fixture, new_call(fixture, 2, "book", "k", ""),
                      APR_NOT_RUN, NULL);
    AprBackendResult_Free(wait_for_result(fixture));
    call = new_call(fixture, 3, "book", "k", "");
    call->grant_epoch = 4;
    submit_and_expect(fixture, call, APR_NOT_RUN, NULL);
    call = new_call(fixture, 4, "book", "k", "");
    call->grant_expiry_ms = AprClock_WallMs(&fixture->clock) - 1;
    submit_and_expect(fixture, call, APR_NOT_RUN, NULL);
    call = new_call(fixture, 5, "book", "k", "");
    strcpy(call->service, "bench");
    call->grant_epoch = 4;
    submit_and_expect(fixture, call, APR_ANSWERED, NULL);
    assert_int_equal(server_counts(fixture).stale_grants, 2);
    assert_int_equal(server_counts(fixture).runs, 2);
}

/* Guards against forwarding a truncated response. */
static void
test_oversized_response_is_unknown(void **state)
{
    static char key[MAX_BODY_BYTES];
    Fixture_t *fixture = *state;

    memset(key, 'k', sizeof(key) - 1);
    submit_and_expect(fixture, new_call(fixture, 1, "book", key, ""),
                      APR_UNKNOWN, NULL);
}

/* Guards against responses that reach the wrong call, and against calls that
   wait for a connection and never get a response. */
static void
test_each_call_gets_its_own_response(void **state)
{
    static char keys[CALL_COUNT][16];
    Fixture_t *fixture = *state;
    bool seen[CALL_COUNT] = {false};

    fixture->options.max_concurrent_requests = MAX_CONNECTIONS;
    restart_server(fixture);
    for (int i = 0; i < CALL_COUNT; i++) {
        AprBackendCall_t *call;

        snprintf(keys[i], sizeof(keys[i]), "key-%d-", i);
        call = new_call(fixture, i, "status", keys[i], "");
        call->request->request.idempotent = i % 2 == 0;
        submit_call(fixture, call);
    }
    for (int i = 0; i < CALL_COUNT; i++) {
        AprBackendResult_t *result = wait_for_result(fixture);

        assert_int_equal(result->outcome, APR_ANSWERED);
        assert_false(seen[result->id]);
        seen[result->id] = true;
        assert_non_null(strstr(result->body, keys[result->id]));
        AprBackendResult_Free(result);
    }
}

/* Guards against calls that get no result when the client stops. */
static void
test_stop_ends_all_calls(void **state)
{
    Fixture_t *fixture = *state;
    int unknown = 0;

    submit_call(fixture, new_call(fixture, 1, "sleep", "k", "5000"));
    wait_for_slots_in_use(fixture, 1);
    submit_call(fixture, new_call(fixture, 2, "sleep", "k", "5000"));
    AprBackendClient_Stop(fixture->client);
    for (int i = 0; i < 2; i++) {
        AprBackendResult_t *result = wait_for_result(fixture);

        unknown += result->outcome == APR_UNKNOWN ? 1 : 0;
        AprBackendResult_Free(result);
    }
    assert_true(unknown >= 1);
    fixture->client = AprBackendClient_Start(&fixture->clock, MAX_CONNECTIONS,
                                             MAX_BODY_BYTES, push_result,
                                             fixture->results, NULL);
}

static void *
drain_server(void *argument)
{
    AprBackendServer_Drain(argument, RESULT_TIMEOUT_MS);
    return NULL;
}

/* Guards against a planned stop that interrupts a running request or accepts
   new ones. */
static void
test_drain_completes_running_requests(void **state)
{
    Fixture_t *fixture = *state;
    pthread_t thread;
    AprBackendResult_t *result;

    submit_call(fixture, new_call(fixture, 1, "sleep", "k", "400"));
    wait_for_slots_in_use(fixture, 1);
    pthread_create(&thread, NULL, drain_server, fixture->server);
    usleep(50 * 1000);
    submit_and_expect(fixture, new_call(fixture, 2, "book", "k", ""),
                      APR_NOT_RUN, NULL);
    pthread_join(thread, NULL);
    AprBackendServer_Stop(fixture->server);
    fixture->server = NULL;
    result = wait_for_result(fixture);
    assert_int_equal(result->outcome, APR_ANSWERED);
    AprBackendResult_Free(result);
}

/* Sends an idempotent call to a scripted server and checks its outcome. */
static void
call_hostile_server(Fixture_t *fixture, HostileServer_t *server, uint64_t id,
                    AprOutcomeKind_t outcome, const char *body)
{
    AprBackendCall_t *call = new_call(fixture, id, "status", "k", "");

    strcpy(call->address, server->address);
    call->request->request.idempotent = true;
    call->timeout_ms = 400;
    submit_and_expect(fixture, call, outcome, body);
}

/* Guards against bytes without end that occupy memory or a connection beyond
   the timeout of the call, and against a truncated response that counts as
   complete. */
static void
test_responses_without_end_are_unknown(void **state)
{
    static const HostileResponse_t responses[] = {
        {"HTTP/1.1 200 OK\r\n", "Filler: aaaaaaaaaaaaaaaa\r\n",
         HOSTILE_REPEAT},
        {"", "HTTP/1.1 100 Continue\r\n\r\n", HOSTILE_REPEAT},
        {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\na\r\n",
         HOSTILE_REPEAT},
        {"", "garbage", HOSTILE_REPEAT},
        {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\ncut", NULL,
         HOSTILE_CLOSE},
        {"HTTP/1.1 200 OK\r\n\r\ncut", NULL, HOSTILE_RESET},
        {"", NULL, HOSTILE_IGNORE},
    };
    int count = (int)(sizeof(responses) / sizeof(responses[0]));
    Fixture_t *fixture = *state;
    HostileServer_t server;

    assert_true(start_hostile_server(&server, 0,
                                     "Apricot-Request: ", responses, count));
    for (int i = 0; i < count; i++) {
        call_hostile_server(fixture, &server, (uint64_t)i + 1, APR_UNKNOWN,
                            NULL);
    }
    usleep(100 * 1000);
    assert_int_equal(atomic_load(&server.open_connections), 0);
    /* The client stops reading after 64 KB; the rest are socket buffers. */
    assert_true(atomic_load(&server.bytes_sent) < 64 * 1024 * 1024);
    stop_hostile_server(&server);
}

/* Guards against a late copy of an earlier response on a kept connection that
   is taken for the response to the next call. */
static void
test_late_copy_is_not_the_next_response(void **state)
{
    static const HostileResponse_t responses[] = {
        {"HTTP/1.1 200 OK\r\nApricot-Request: {id}\r\nContent-Length: 5\r\n"
         "\r\nfirst",
         NULL, HOSTILE_KEEP},
        {"HTTP/1.1 200 OK\r\nApricot-Request: {last}\r\nContent-Length: 5"
         "\r\n\r\nfirst",
         NULL, HOSTILE_KEEP},
        {"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nthird", NULL,
         HOSTILE_KEEP},
        {"HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nfourth", NULL,
         HOSTILE_KEEP},
    };
    Fixture_t *fixture = *state;
    HostileServer_t server;

    assert_true(
        start_hostile_server(&server, 0, "Apricot-Request: ", responses, 4));
    call_hostile_server(fixture, &server, 1, APR_ANSWERED, "first");
    assert_int_equal(atomic_load(&server.open_connections), 1);
    call_hostile_server(fixture, &server, 2, APR_UNKNOWN, NULL);
    /* A response that does not name its request is accepted on a connection
       that no other call has used, which is then closed. */
    call_hostile_server(fixture, &server, 3, APR_ANSWERED, "third");
    usleep(100 * 1000);
    assert_int_equal(atomic_load(&server.open_connections), 0);
    call_hostile_server(fixture, &server, 4, APR_ANSWERED, "fourth");
    stop_hostile_server(&server);
}

typedef struct Announcements_t {
    atomic_int count;
    char last[512];
} Announcements_t;

static enum MHD_Result
on_announce(void *context, struct MHD_Connection *client, const char *url,
            const char *method, const GString *body)
{
    Announcements_t *announcements = context;
    const char *token =
        MHD_lookup_connection_value(client, MHD_HEADER_KIND, "Authorization");

    snprintf(announcements->last, sizeof(announcements->last), "%s %s %s %s",
             method, url, token, body->str);
    atomic_fetch_add(&announcements->count, 1);
    return AprStandinHttp_SendText(client, MHD_HTTP_OK, "text/plain", "");
}

/* Guards against announcements that stop, that are sent more often than once a
   second, or that contain the wrong address. */
static void
test_backend_announces_itself(void **state)
{
    static Announcements_t announcements;
    Fixture_t *fixture = *state;
    AprStandinHttp_t http = {0};
    struct timespec start;
    char expected[512];

    assert_int_equal(AprStandinHttp_Start(&http, "127.0.0.1:0", 0, on_announce,
                                          &announcements),
                     APR_OK);
    fixture->options.announce_to = http.address;
    fixture->options.token = "secret";
    fixture->options.services[fixture->options.service_count++] = "desk";
    restart_server(fixture);
    start = AprClock_Now(&fixture->clock);
    for (int i = 0; i < 500 && atomic_load(&announcements.count) < 2; i++) {
        usleep(10 * 1000);
    }
    assert_int_equal(atomic_load(&announcements.count), 2);
    assert_true(AprTime_DiffMs(AprClock_Now(&fixture->clock), start) >= 800);
    snprintf(expected, sizeof(expected),
             "POST /announce Bearer secret {\"service\":\"desk\","
             "\"address\":\"%s\",\"slots\":1,\"connections\":120,"
             "\"checks_grants\":true}",
             AprBackendServer_Address(fixture->server));
    assert_string_equal(announcements.last, expected);
    AprBackendServer_Stop(fixture->server);
    fixture->server = NULL;
    AprStandinHttp_Stop(&http);
}

#define BACKEND_TEST(name) \
    cmocka_unit_test_setup_teardown(name, set_up, tear_down)

int
main(void)
{
    const struct CMUnitTest tests[] = {
        BACKEND_TEST(test_request_arrives_unchanged),
        BACKEND_TEST(test_refused_connection_is_not_run),
        BACKEND_TEST(test_call_is_not_started_after_its_limit),
        BACKEND_TEST(test_broken_connection_is_unknown),
        BACKEND_TEST(test_timeout_and_cancel_are_unknown),
        BACKEND_TEST(test_shed_and_stale_grant_are_not_run),
        BACKEND_TEST(test_oversized_response_is_unknown),
        BACKEND_TEST(test_each_call_gets_its_own_response),
        BACKEND_TEST(test_responses_without_end_are_unknown),
        BACKEND_TEST(test_late_copy_is_not_the_next_response),
        BACKEND_TEST(test_stop_ends_all_calls),
        BACKEND_TEST(test_drain_completes_running_requests),
        BACKEND_TEST(test_backend_announces_itself),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
