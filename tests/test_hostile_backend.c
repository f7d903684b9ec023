/* Responses of a backend server in trouble: bytes without end, truncated
   responses, and copies of earlier responses. The gateways are real; the
   backend server of one host is scripted. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/resource.h>

#include <cmocka.h>

#include "gateway_cluster.h"
#include "hostile_server.h"

#define START_TIMEOUT_S 6.0
#define TIME_LEFT_MS 700

/* Time after the deadline within which the caller must know the outcome and
   the slot must be free. */
#define GRACE_S 0.5

/* Most resident memory that a response without end may add. */
#define MAX_MEMORY_KB 8192

#define OK_HEAD "HTTP/1.1 200 OK\r\nAttempt: {id}\r\n"

/* What the caller sees of a request. */
typedef struct Observed_t {
    AprStream_t *stream;
    char text[4096];
    size_t size; /* of all bytes received */
    bool closed;
    int error;    /* of the close */
    double end_s; /* loop time of the close or of the whole response */
} Observed_t;

static Cluster_t cluster;
static HostileServer_t server;
static const AprHeaderNames_t echoing_header_names = {
    .attempt_id = "Attempt",
    .timeout = "Time-Left",
    .expected_incarnation = "Expected",
    .not_executed = "Not-Run",
    .caller_service = "Caller",
    .key = "Key",
    .request_limit = "Limit",
    .leaving = "Leaving",
    .nested_separator = '.',
    .attempt_id_echoed = true,
    .cold_left = "Cold-Ms",
    .server_load = "Load",
};

static void
observe_data(void *context, const char *data, size_t size)
{
    Observed_t *observed = context;

    for (size_t i = 0; i < size; i++) {
        if (observed->size + i < sizeof(observed->text) - 1) {
            observed->text[observed->size + i] = data[i];
        }
    }
    observed->size += size;
    observed->end_s = ev_now(cluster.loop);
}

static void
observe_close(void *context, int error)
{
    Observed_t *observed = context;

    observed->stream = NULL;
    observed->closed = true;
    observed->error = error;
    observed->end_s = ev_now(cluster.loop);
}

static const AprStreamHandler_t observer = {observe_data, observe_close, NULL};

/* Starts the cluster with a scripted backend server at host 0. */
static void
start_with_scripted_server(void)
{
    static const HostileResponse_t none = {"", NULL, HOSTILE_CLOSE};
    const char *port;

    cluster_start(&cluster);
    for (int i = 0; i < CLUSTER_HOSTS; i++) {
        cluster.hosts[i].gateway->header_names = &echoing_header_names;
    }
    port = strrchr(cluster.hosts[0].settings.backend_address, ':') + 1;
    AprHttpServer_Free(cluster.hosts[0].backend);
    assert_true(
        start_hostile_server(&server, atoi(port), "Attempt: ", &none, 1));
    cluster.hosts[0].backend = (AprHttpServer_t *)&server;
    assert_true(cluster_wait_until_held(&cluster, START_TIMEOUT_S) <
                START_TIMEOUT_S);
}

static void
stop_all(void)
{
    cluster.hosts[0].backend = NULL;
    cluster_stop(&cluster);
    stop_hostile_server(&server);
}

/* Sends a request for a key of host 0 to host 1. */
static void
send_observed(Observed_t *observed, const char *id)
{
    char text[512];
    int key = cluster.hosts[0].held[0].first;

    memset(observed, 0, sizeof(*observed));
    observed->stream = AprStream_Connect(
        &cluster.streams, cluster.hosts[1].settings.listen_callers, &observer,
        observed);
    snprintf(text, sizeof(text),
             "POST /k/%d HTTP/1.1\r\nHost: desk.example\r\nAttempt: %s\r\n"
             "Time-Left: %d\r\nKey: %d\r\nContent-Length: 0\r\n\r\n",
             key, id, TIME_LEFT_MS, key);
    AprStream_Write(observed->stream, text, strlen(text));
}

static int64_t
peak_memory_kb(void)
{
    struct rusage usage;

    getrusage(RUSAGE_SELF, &usage);
    return usage.ru_maxrss;
}

static void
finish_observed(Observed_t *observed)
{
    if (observed->stream != NULL) {
        AprStream_Close(observed->stream);
        observed->stream = NULL;
    }
}

/* A script for host 0, the request that is observed, and what the caller must
   get. */
typedef struct Case_t {
    const char *name;
    HostileResponse_t responses[2];
    int response_count;
    const char *expected_status; /* of the last request */
    const char *expected_body;   /* NULL: the connection must break off */
    bool connection_closed;      /* that of the backend server */
} Case_t;

/* Runs one case: a request for each response, the last of which is observed.
 */
static void
run_case(const Case_t *one)
{
    Observed_t observed;
    double sent_s;
    int64_t memory_kb;
    char id[32];

    set_hostile_script(&server, one->responses, one->response_count);
    cluster_run_for(&cluster, 0.1);
    for (int i = 0; i < one->response_count - 1; i++) {
        snprintf(id, sizeof(id), "early-%d", i);
        send_observed(&observed, id);
        cluster_run_for(&cluster, 0.2);
        finish_observed(&observed);
    }
    memory_kb = peak_memory_kb();
    sent_s = ev_now(cluster.loop);
    send_observed(&observed, "last");
    cluster_run_for(&cluster, TIME_LEFT_MS / 1000.0 + GRACE_S);
    print_message("%s: %.60s after %.2f s\n", one->name,
                  observed.size > 0 ? observed.text : "nothing",
                  observed.end_s - sent_s);
    if (strncmp(observed.text + strlen("HTTP/1.1 "), one->expected_status,
                3) != 0) {
        fail_msg("%s: expected %s, got %.60s", one->name, one->expected_status,
                 observed.text);
    }
    if (one->expected_body == NULL) {
        /* What breaks off must not look complete. */
        assert_true(observed.closed);
        assert_int_not_equal(observed.error, 0);
    }
    else {
        assert_non_null(strstr(observed.text, one->expected_body));
    }
    assert_int_equal(AprBackend_CountCalls(cluster.hosts[0].gateway->backend),
                     0);
    assert_int_equal(atomic_load(&server.open_connections) == 0,
                     one->connection_closed);
    assert_true(peak_memory_kb() - memory_kb < MAX_MEMORY_KB);
    finish_observed(&observed);
}

/* Guards against bytes without end, which occupy a slot, memory and a caller,
   and against a response that is none or belongs to another request but
   reaches the caller as a success. */
static void
test_responses_of_a_server_in_trouble(void **state)
{
    static const Case_t cases[] = {
        {"head without end",
         {{"HTTP/1.1 200 OK\r\n", "Filler: aaaaaaaaaaaaaaaa\r\n",
           HOSTILE_REPEAT}},
         1,
         "502",
         "",
         true},
        {"interim responses without end",
         {{"", "HTTP/1.1 100 Continue\r\n\r\n", HOSTILE_REPEAT}},
         1,
         "502",
         "",
         true},
        {"chunked body without end",
         {{OK_HEAD "Transfer-Encoding: chunked\r\n\r\n",
           "10\r\n0123456789abcdef\r\n", HOSTILE_REPEAT}},
         1,
         "200",
         NULL,
         true},
        {"body without length and end",
         {{OK_HEAD "Connection: close\r\n\r\n", "0123456789abcdef",
           HOSTILE_REPEAT}},
         1,
         "200",
         NULL,
         true},
        {"body longer than the time",
         {{OK_HEAD "Content-Length: 99999999999\r\n\r\n", "0123456789abcdef",
           HOSTILE_REPEAT}},
         1,
         "200",
         NULL,
         true},
        {"bytes that are no response, without end",
         {{"", "garbage", HOSTILE_REPEAT}},
         1,
         "502",
         "",
         true},
        {"body without end of another request",
         {{"HTTP/1.1 200 OK\r\nAttempt: other\r\n\r\n", "0123456789abcdef",
           HOSTILE_REPEAT}},
         1,
         "502",
         "",
         true},
        {"refusal with a body without end",
         {{"HTTP/1.1 503 Full\r\nAttempt: {id}\r\nNot-Run: 1\r\n\r\n",
           "0123456789abcdef", HOSTILE_REPEAT}},
         1,
         "502",
         "",
         true},
        {"response without id",
         {{"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone", NULL,
           HOSTILE_KEEP}},
         1,
         "502",
         "",
         true},
        {"refusal without id",
         {{"HTTP/1.1 503 Full\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n",
           NULL, HOSTILE_KEEP}},
         1,
         "502",
         "",
         true},
        {"truncated body of known length",
         {{OK_HEAD "Content-Length: 40\r\n\r\n0123456789", NULL,
           HOSTILE_CLOSE}},
         1,
         "200",
         NULL,
         true},
        {"truncated chunked body",
         {{OK_HEAD "Transfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n", NULL,
           HOSTILE_CLOSE}},
         1,
         "200",
         NULL,
         true},
        {"reset of a body without length",
         {{OK_HEAD "Connection: close\r\n\r\n0123456789", NULL,
           HOSTILE_RESET}},
         1,
         "200",
         NULL,
         true},
        {"no response", {{"", NULL, HOSTILE_IGNORE}}, 1, "504", "", true},
        {"status 000",
         {{"HTTP/1.1 000 Trouble\r\nAttempt: {id}\r\nContent-Length: 4\r\n\r\n"
           "done",
           NULL, HOSTILE_KEEP}},
         1,
         "502",
         "",
         true},
        {"status 000 before a response",
         {{"HTTP/1.1 000 Trouble\r\nAttempt: {id}\r\n"
           "Content-Length: 4\r\n\r\ndone" OK_HEAD
           "Content-Length: 6\r\n\r\nsecond",
           NULL, HOSTILE_KEEP}},
         1,
         "502",
         "",
         true},
        {"status of two digits",
         {{"HTTP/1.1 99 Trouble\r\nAttempt: {id}\r\nContent-Length: 4\r\n\r\n"
           "done",
           NULL, HOSTILE_KEEP}},
         1,
         "502",
         "",
         true},
        {"status 101 without a request for it",
         {{"HTTP/1.1 101 Switching Protocols\r\nAttempt: {id}\r\n"
           "Connection: upgrade\r\nUpgrade: other\r\n\r\ndone",
           NULL, HOSTILE_KEEP}},
         1,
         "502",
         "",
         true},
        {"status 600",
         {{"HTTP/1.1 600 Trouble\r\nAttempt: {id}\r\nContent-Length: 4\r\n\r\n"
           "done",
           NULL, HOSTILE_KEEP}},
         1,
         "502",
         "",
         true},
        {"late copy of the earlier response",
         {{OK_HEAD "Content-Length: 5\r\n\r\nfirst", NULL, HOSTILE_KEEP},
          {"HTTP/1.1 200 OK\r\nAttempt: {last}\r\nContent-Length: 5\r\n\r\n"
           "first" OK_HEAD "Content-Length: 6\r\n\r\nsecond",
           NULL, HOSTILE_KEEP}},
         2,
         "200",
         "second",
         false},
        {"late copy of the earlier response, without id",
         {{OK_HEAD "Content-Length: 5\r\n\r\nfirst", NULL, HOSTILE_KEEP},
          {"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst" OK_HEAD
           "Content-Length: 6\r\n\r\nsecond",
           NULL, HOSTILE_KEEP}},
         2,
         "502",
         "",
         true},
        {"second copy right after the response",
         {{OK_HEAD "Content-Length: 5\r\n\r\nfirst" OK_HEAD
                   "Content-Length: 5\r\n\r\nfirst",
           NULL, HOSTILE_KEEP},
          {OK_HEAD "Content-Length: 6\r\n\r\nsecond", NULL, HOSTILE_KEEP}},
         2,
         "200",
         "second",
         false},
    };

    (void)state;
    start_with_scripted_server();
    for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        run_case(&cases[i]);
    }
    stop_all();
}

/* Guards against a response that is dropped because its attempt id is long,
   and against one to another request whose long id differs at the end only. */
static void
test_long_attempt_ids(void **state)
{
    static const int sizes[] = {79, 80, 200};
    static const HostileResponse_t own = {
        OK_HEAD "Content-Length: 4\r\n\r\nmine", NULL, HOSTILE_KEEP};
    static const HostileResponse_t foreign[] = {
        {OK_HEAD "Content-Length: 4\r\n\r\nmine", NULL, HOSTILE_KEEP},
        {"HTTP/1.1 200 OK\r\nAttempt: {last}\r\n"
         "Content-Length: 4\r\n\r\nlate",
         NULL, HOSTILE_KEEP}};
    Observed_t observed;

    (void)state;
    start_with_scripted_server();
    for (size_t i = 0; i < sizeof(sizes) / sizeof(sizes[0]); i++) {
        char *id = g_strnfill((gsize)sizes[i], 'i');

        set_hostile_script(&server, &own, 1);
        cluster_run_for(&cluster, 0.1);
        send_observed(&observed, id);
        cluster_run_for(&cluster, 0.3);
        assert_non_null(strstr(observed.text, "\r\n\r\nmine"));
        finish_observed(&observed);

        set_hostile_script(&server, foreign, 2);
        cluster_run_for(&cluster, 0.1);
        send_observed(&observed, id);
        cluster_run_for(&cluster, 0.3);
        finish_observed(&observed);
        id[sizes[i] - 1] = 'j';
        send_observed(&observed, id);
        cluster_run_for(&cluster, TIME_LEFT_MS / 1000.0 + GRACE_S);
        assert_null(strstr(observed.text, "late"));
        finish_observed(&observed);
        g_free(id);
    }
    stop_all();
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_responses_of_a_server_in_trouble),
        cmocka_unit_test(test_long_attempt_ids),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
