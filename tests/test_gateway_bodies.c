/* Property of kept connections: after bodies of any size, by length or
   chunked, slow readers and callers that leave, each later request is
   answered. The seeds are fixed; APR_BODIES_SEED, APR_BODIES_REQUESTS and
   APR_BODIES_ADAPTIVE replace them. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "gateway_cluster.h"
#include "internal/call.h"
#include "internal/http_message.h"

#define START_TIMEOUT_S 6.0
#define CALLERS 10
#define MAX_BODY_BYTES (4 << 20)
#define TIME_LIMIT_MS 8000
/* After its time limit a request has at least been answered with 504. */
#define RESPONSE_TIMEOUT_S (TIME_LIMIT_MS / 1000.0 + 2.0)

static Cluster_t cluster;
static GRand *random_numbers;

static const char body_bytes[MAX_BODY_BYTES];

static bool
is_chosen(double probability)
{
    return g_rand_double(random_numbers) < probability;
}

/* Returns a body size: of any magnitude up to MAX_BODY_BYTES, or near the
   number of bytes at which reading stops. */
static size_t
random_size(void)
{
    int bits = g_rand_int_range(random_numbers, 0, 23);

    if (is_chosen(0.3)) {
        return (size_t)g_rand_int_range(random_numbers,
                                        APR_CALL_WINDOW_BYTES - 20000,
                                        APR_CALL_WINDOW_BYTES + 60000);
    }
    return bits == 0 ? 0
                     : (size_t)g_rand_int_range(random_numbers, 0, 1 << bits);
}

/* Appends a body after its header fields, by length or in random chunks. */
static void
append_body(AprBuffer_t *text, size_t size, bool chunked)
{
    if (!chunked) {
        AprBuffer_AppendFormat(text, "Content-Length: %zu\r\n\r\n", size);
        AprBuffer_Append(text, body_bytes, size);
        return;
    }
    AprBuffer_AppendFormat(text, "Transfer-Encoding: chunked\r\n\r\n");
    while (size > 0) {
        size_t limit = (size_t)g_rand_int_range(random_numbers, 1, 200000);
        size_t chunk = MIN(size, limit);

        AprBuffer_AppendFormat(text, "%zx\r\n", chunk);
        AprBuffer_Append(text, body_bytes, chunk);
        AprBuffer_AppendFormat(text, "\r\n");
        size -= chunk;
    }
    AprBuffer_AppendFormat(text, "0\r\n\r\n");
}

/* A connection to the backend server, which sometimes stops reading for a
   while and responds with as many bytes as the path "/k/KEY/BYTES/CHUNKED"
   tells. */
typedef struct ServerConn_t {
    AprStream_t *stream;
    AprHttpParser_t *parser;
    ev_timer resume_timer;
    ev_timer response_timer;
    int response_size;
    int response_chunked;
} ServerConn_t;

static int
server_on_head(void *context, const AprHttpHead_t *head)
{
    ServerConn_t *conn = context;
    char target[64];

    snprintf(target, sizeof(target), "%.*s", (int)head->target_size,
             AprBuffer_Data(&head->text) + head->target_offset);
    return sscanf(target, "/k/%*d/%d/%d", &conn->response_size,
                  &conn->response_chunked) == 2
               ? 0
               : 1;
}

static int
server_on_body(void *context, const char *data, size_t size)
{
    ServerConn_t *conn = context;

    (void)data;
    (void)size;
    if (is_chosen(0.02) && !ev_is_active(&conn->resume_timer)) {
        AprStream_SetReadPaused(conn->stream, true);
        ev_timer_set(&conn->resume_timer,
                     g_rand_double_range(random_numbers, 0.001, 0.1), 0.0);
        ev_timer_start(cluster.loop, &conn->resume_timer);
    }
    return 0;
}

static void
server_on_run_end(struct ev_loop *loop, ev_timer *timer, int events)
{
    ServerConn_t *conn = timer->data;
    AprBuffer_t text = {0};

    (void)loop;
    (void)events;
    AprBuffer_AppendFormat(&text, "HTTP/1.1 200 OK\r\n");
    append_body(&text, (size_t)conn->response_size,
                conn->response_chunked != 0);
    AprStream_Write(conn->stream, AprBuffer_Data(&text),
                    AprBuffer_Size(&text));
    AprBuffer_Free(&text);
}

static int
server_on_complete(void *context)
{
    ServerConn_t *conn = context;

    ev_timer_set(&conn->response_timer,
                 g_rand_double_range(random_numbers, 0.0, 0.1), 0.0);
    ev_timer_start(cluster.loop, &conn->response_timer);
    return 0;
}

static void
server_on_resume(struct ev_loop *loop, ev_timer *timer, int events)
{
    ServerConn_t *conn = timer->data;

    (void)loop;
    (void)events;
    AprStream_SetReadPaused(conn->stream, false);
}

static void
server_on_data(void *context, const char *data, size_t size)
{
    ServerConn_t *conn = context;
    size_t used;

    assert_int_equal(AprHttpParser_Execute(conn->parser, data, size, &used),
                     APR_OK);
}

static void
server_on_close(void *context, int error)
{
    ServerConn_t *conn = context;

    (void)error;
    ev_timer_stop(cluster.loop, &conn->resume_timer);
    ev_timer_stop(cluster.loop, &conn->response_timer);
    AprHttpParser_Free(conn->parser);
    free(conn);
}

static const AprHttpHandler_t server_handler = {server_on_head, server_on_body,
                                                server_on_complete};

static const AprStreamHandler_t server_stream_handler = {
    server_on_data, server_on_close, NULL};

static void
server_on_accept(struct ev_loop *loop, ev_io *watcher, int events)
{
    int fd;

    (void)loop;
    (void)events;
    while ((fd = accept(watcher->fd, NULL, NULL)) >= 0) {
        ServerConn_t *conn = calloc(1, sizeof(*conn));

        ev_timer_init(&conn->resume_timer, server_on_resume, 0.0, 0.0);
        conn->resume_timer.data = conn;
        ev_timer_init(&conn->response_timer, server_on_run_end, 0.0, 0.0);
        conn->response_timer.data = conn;
        conn->parser = AprHttpParser_New(HTTP_REQUEST, &server_handler, conn);
        conn->stream =
            AprStream_Open(&cluster.streams, fd, &server_stream_handler, conn);
    }
}

/* A caller with one connection at a time and one request at a time. */
typedef struct Caller_t {
    int host;
    bool active; /* has a request */
    int fd;      /* negative: not connected */
    AprHttpParser_t *parser;
    AprBuffer_t request;     /* bytes to send */
    size_t bytes_until_exit; /* sent and received; then the caller leaves */
    size_t read_size;        /* bytes that it reads in one step */
    size_t response_size;    /* of the body */
    size_t received;         /* of the body */
    int status;
    bool complete;
    bool keep_alive;
    double sent_at;
    char description[128];
} Caller_t;

static int
caller_on_head(void *context, const AprHttpHead_t *head)
{
    Caller_t *caller = context;

    caller->status = head->status;
    caller->keep_alive = head->keep_alive;
    return 0;
}

static int
caller_on_body(void *context, const char *data, size_t size)
{
    Caller_t *caller = context;

    (void)data;
    caller->received += size;
    return 0;
}

static int
caller_on_complete(void *context)
{
    Caller_t *caller = context;

    caller->complete = true;
    return 0;
}

static const AprHttpHandler_t response_handler = {
    caller_on_head, caller_on_body, caller_on_complete};

static void
disconnect(Caller_t *caller)
{
    if (caller->fd >= 0) {
        close(caller->fd);
    }
    caller->fd = -1;
    AprHttpParser_Free(caller->parser);
    caller->parser = NULL;
}

/* Begins a random request on the caller's connection, or on a new one. */
static void
begin_request(Caller_t *caller)
{
    static int sent;
    size_t size = random_size();
    bool chunked = is_chosen(0.5);
    bool response_chunked = is_chosen(0.5);
    bool reused = caller->fd >= 0;

    if (!reused) {
        caller->fd = cluster_connect_caller(&cluster.hosts[caller->host],
                                            is_chosen(0.5) ? 16384 : 0);
        caller->parser =
            AprHttpParser_New(HTTP_RESPONSE, &response_handler, caller);
    }
    caller->response_size = random_size();
    caller->read_size = is_chosen(0.3) ? 40000 : MAX_BODY_BYTES;
    caller->bytes_until_exit =
        is_chosen(0.1) ? 1 + (size_t)g_rand_int_range(
                                 random_numbers, 0,
                                 (int)(size + caller->response_size) + 200)
                       : SIZE_MAX;
    caller->received = 0;
    caller->status = 0;
    caller->complete = false;
    caller->sent_at = ev_now(cluster.loop);
    AprBuffer_Consume(&caller->request, AprBuffer_Size(&caller->request));
    AprBuffer_AppendFormat(
        &caller->request,
        "%s /k/%d/%zu/%d HTTP/1.1\r\nHost: desk.example\r\nAttempt: b%d\r\n"
        "Time-Left: %d\r\nKey: %d\r\n",
        size == 0 ? "GET" : "POST", cluster.hosts[0].held[0].first,
        caller->response_size, response_chunked, ++sent, TIME_LIMIT_MS,
        cluster.hosts[0].held[0].first);
    append_body(&caller->request, size, chunked);
    snprintf(caller->description, sizeof(caller->description),
             "request b%d at host %d: %zu bytes%s, response %zu bytes%s, "
             "%s connection",
             sent, caller->host, size, chunked ? " chunked" : "",
             caller->response_size, response_chunked ? " chunked" : "",
             reused ? "kept" : "new");
}

/* Counts bytes towards the exit of the caller. Returns whether it left. */
static bool
leave_after(Caller_t *caller, size_t bytes)
{
    if (caller->bytes_until_exit == SIZE_MAX) {
        return false;
    }
    caller->bytes_until_exit -= MIN(bytes, caller->bytes_until_exit);
    if (caller->bytes_until_exit > 0) {
        return false;
    }
    disconnect(caller);
    return true;
}

/* Sends and receives what the connection takes. Returns whether the request is
   over: answered, or left by its caller. */
static bool
advance(Caller_t *caller)
{
    static char data[MAX_BODY_BYTES];
    ssize_t size = send(caller->fd, AprBuffer_Data(&caller->request),
                        AprBuffer_Size(&caller->request), MSG_NOSIGNAL);
    size_t used;

    if (size > 0) {
        AprBuffer_Consume(&caller->request, (size_t)size);
        if (leave_after(caller, (size_t)size)) {
            return true;
        }
    }
    size = recv(caller->fd, data, caller->read_size, 0);
    if (size > 0) {
        assert_int_equal(
            AprHttpParser_Execute(caller->parser, data, (size_t)size, &used),
            APR_OK);
        if (leave_after(caller, (size_t)size)) {
            return true;
        }
    }
    if (size == 0 || (size < 0 && errno != EAGAIN) ||
        ev_now(cluster.loop) - caller->sent_at > RESPONSE_TIMEOUT_S) {
        fail_msg("%s: %s after %.3f s, status %d, %zu bytes received",
                 caller->description,
                 size == 0 ? "closed"
                           : (errno == EAGAIN ? "no answer" : "reset"),
                 ev_now(cluster.loop) - caller->sent_at, caller->status,
                 caller->received);
    }
    return caller->complete;
}

/* Checks an answered request, and closes the connection if it must not be used
   again. */
static void
finish_request(Caller_t *caller, int *served)
{
    if (caller->fd < 0) {
        return;
    }
    if (caller->status == 200) {
        assert_int_equal(caller->received, caller->response_size);
        ++*served;
    }
    else if (caller->status != 503) {
        fail_msg("%s: status %d", caller->description, caller->status);
    }
    if (!caller->keep_alive || AprBuffer_Size(&caller->request) > 0) {
        disconnect(caller);
    }
}

/* Serves the requests of host 0 by a backend server of this test. */
static void
replace_backend(ev_io *listener)
{
    ClusterHost_t *host = &cluster.hosts[0];

    host_kill_backend(host);
    host->external_backend = true;
    ev_io_init(listener, server_on_accept,
               AprStream_Listen(host->settings.backend_address), EV_READ);
    ev_io_start(cluster.loop, listener);
}

static void
allow_long_requests(void)
{
    for (int i = 0; i < CLUSTER_HOSTS; i++) {
        AprRouteTable_t *routes = cluster.hosts[i].gateway->routes;

        routes->limits.max_body_bytes = MAX_BODY_BYTES;
        routes->routes[0].timeout_ms = TIME_LIMIT_MS;
        routes->routes[0].objective_ms = TIME_LIMIT_MS / 2;
    }
}

/* With adaptive balancing, hosts grant the bytes of the bodies that they
   receive from each other. */
static void
use_adaptive_balancing(void)
{
    for (int i = 0; i < CLUSTER_HOSTS; i++) {
        cluster.hosts[i].settings.balancing_mode = APR_BALANCING_ON;
        cluster.hosts[i].gateway->settings.balancing_mode = APR_BALANCING_ON;
    }
}

static void
check_kept_connections(unsigned seed, int requests, bool adaptive)
{
    Caller_t callers[CALLERS] = {0};
    ev_io listener;
    int served = 0;
    int begun = CALLERS;

    print_message("seed %u, %d requests\n", seed, requests);
    random_numbers = g_rand_new_with_seed(seed);
    cluster_start(&cluster);
    assert_true(cluster_wait_until_held(&cluster, START_TIMEOUT_S) <
                START_TIMEOUT_S);
    allow_long_requests();
    if (adaptive) {
        use_adaptive_balancing();
    }
    replace_backend(&listener);
    cluster_limit_send_buffers(&cluster.hosts[1], 8192);
    for (int i = 0; i < CALLERS; i++) {
        callers[i].host = i % 3;
        callers[i].fd = -1;
        callers[i].active = true;
        begin_request(&callers[i]);
    }
    for (int active = CALLERS; active > 0;) {
        active = 0;
        cluster_run_for(&cluster, 0.005);
        for (int i = 0; i < CALLERS; i++) {
            Caller_t *caller = &callers[i];

            if (!caller->active) {
                continue;
            }
            active++;
            if (!advance(caller)) {
                continue;
            }
            finish_request(caller, &served);
            caller->active = begun < requests;
            if (caller->active) {
                begun++;
                begin_request(caller);
            }
        }
    }
    print_message("%d of %d requests served\n", served, requests);
    assert_true(served * 2 > requests);
    for (int i = 0; i < CALLERS; i++) {
        disconnect(&callers[i]);
        AprBuffer_Free(&callers[i].request);
    }
    ev_io_stop(cluster.loop, &listener);
    close(listener.fd);
    cluster_stop(&cluster);
    g_rand_free(random_numbers);
}

/* Guards against a connection, of a caller or to a backend server, that is not
   read again after a body, so that a later request on it gets no answer. */
static void
test_kept_connections_answer(void **state)
{
    const char *seed = getenv("APR_BODIES_SEED");
    const char *requests = getenv("APR_BODIES_REQUESTS");
    int count = requests == NULL ? 120 : atoi(requests);

    (void)state;
    if (seed != NULL) {
        check_kept_connections((unsigned)strtoul(seed, NULL, 10), count,
                               getenv("APR_BODIES_ADAPTIVE") != NULL);
        return;
    }
    for (unsigned i = 1; i <= 2; i++) {
        check_kept_connections(i, count, false);
    }
    check_kept_connections(3, count, true);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_kept_connections_answer),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
