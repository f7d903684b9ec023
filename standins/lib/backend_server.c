#include "standins/lib/backend_server_private.h"

#include <gsl/gsl_randist.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "apricot/clock.h"
#include "apricot/error.h"

/* Interval at which a running request checks whether its caller has closed
   the connection. */
#define RUN_POLL_MS 5
/* Service times are up to this many times longer after a cold start. */
#define COLD_START_FACTOR 5
#define DEFAULT_TIMEOUT_MS 30000

typedef struct Request_t {
    char *service;
    char *operation;
    char *key;
    uint64_t grant_epoch;
    int64_t grant_expiry_ms; /* wall-clock time */
    int64_t timeout_ms;
    const char *idempotency_key; /* "-" when there is none */
} Request_t;

/* Returns the monotonic time in milliseconds. */
int64_t
AprBackendServer_NowMs(void)
{
    AprClock_t clock = AprClock_System();

    return AprTime_ToMs(AprClock_Now(&clock));
}

/* Waits on `changed` for up to `ms` milliseconds. The caller holds the
   mutex. */
void
AprBackendServer_WaitForChange(AprBackendServer_t *server, int64_t ms)
{
    struct timespec limit;

    clock_gettime(CLOCK_MONOTONIC, &limit);
    limit = AprTime_AddMs(limit, ms);
    pthread_cond_timedwait(&server->changed, &server->mutex, &limit);
}

/* Returns the defaults of the command line. */
AprBackendOptions_t
AprBackendOptions_Default(void)
{
    AprBackendOptions_t options = {.listen = "127.0.0.1:0",
                                   .max_concurrent_requests = 6,
                                   .max_connections = 120};

    return options;
}

/* Names the request in the response, so that the gateway can tell it from a
   late copy of an earlier one. */
static void
add_request_header(struct MHD_Connection *client,
                   struct MHD_Response *response)
{
    const char *id = MHD_lookup_connection_value(client, MHD_HEADER_KIND,
                                                 "Apricot-Request");

    if (id != NULL) {
        MHD_add_response_header(response, "Apricot-Request", id);
    }
}

/* Sends a response with an Apricot-Outcome header and the reason as its text.
   `reason` is not copied, so it must outlive the response. */
static enum MHD_Result
send_outcome(struct MHD_Connection *client, int status, const char *outcome,
             const char *reason)
{
    struct MHD_Response *response = MHD_create_response_from_buffer(
        strlen(reason), (void *)(uintptr_t)reason, MHD_RESPMEM_PERSISTENT);
    enum MHD_Result result;

    MHD_add_response_header(response, "Apricot-Outcome", outcome);
    add_request_header(client, response);
    MHD_add_response_header(response, "Content-Type", "text/plain");
    result = MHD_queue_response(client, (unsigned)status, response);
    MHD_destroy_response(response);
    return result;
}

static const char *
find_header(struct MHD_Connection *client, const char *name)
{
    return MHD_lookup_connection_value(client, MHD_HEADER_KIND, name);
}

/* Parses /<service>/<operation>/<key>; the key may contain slashes. The path
   prefix /v1 of the callers' interface is accepted too, so that a load
   generator can call the backend server directly as a baseline. Returns false
   for a malformed path; the request must be cleared in both cases. */
static bool
parse_request(struct MHD_Connection *client, const char *url,
              Request_t *request)
{
    const char *timeout = find_header(client, "Apricot-Timeout-Ms");
    const char *grant = find_header(client, "Apricot-Grant");
    const char *idempotency_key = find_header(client, "Idempotency-Key");
    char **parts =
        g_strsplit(g_str_has_prefix(url, "/v1/") ? url + 3 : url, "/", 4);
    bool valid = g_strv_length(parts) == 4 && parts[3][0] != '\0';

    memset(request, 0, sizeof(*request));
    if (valid) {
        request->service = g_strdup(parts[1]);
        request->operation = g_strdup(parts[2]);
        request->key = g_strdup(parts[3]);
    }
    g_strfreev(parts);
    request->timeout_ms = timeout == NULL ? DEFAULT_TIMEOUT_MS
                                          : g_ascii_strtoll(timeout, NULL, 10);
    request->idempotency_key = idempotency_key == NULL ? "-" : idempotency_key;
    if (grant != NULL) {
        char *end;

        request->grant_epoch = g_ascii_strtoull(grant, &end, 10);
        request->grant_expiry_ms =
            *end == ';' ? g_ascii_strtoll(end + 1, NULL, 10) : 0;
    }
    return valid;
}

static void
clear_request(Request_t *request)
{
    g_free(request->service);
    g_free(request->operation);
    g_free(request->key);
}

static bool
serves_service(const AprBackendServer_t *server, const char *service)
{
    for (int i = 0; i < server->options.service_count; i++) {
        if (strcmp(server->options.services[i], service) == 0) {
            return true;
        }
    }
    return server->options.service_count == 0;
}

/* Returns the state of the key in the request; `keys` owns it. The mutex is
   held. */
static AprBackendKey_t *
find_or_add_key(AprBackendServer_t *server, const Request_t *request)
{
    char *name = g_strdup_printf("%s/%s", request->service, request->key);
    AprBackendKey_t *key = g_hash_table_lookup(server->keys, name);

    if (key == NULL) {
        key = calloc(1, sizeof(*key));
        g_hash_table_insert(server->keys, name, key);
    }
    else {
        g_free(name);
    }
    return key;
}

/* Checks that the grant has not expired and that its epoch is not below the
   highest one accepted for the key, and records its epoch. Epochs are kept per
   key because requests do not name their partition. */
static bool
accept_grant(const Request_t *request, AprBackendKey_t *key)
{
    AprClock_t clock = AprClock_System();

    if (request->grant_epoch < key->highest_epoch ||
        request->grant_expiry_ms <= AprClock_WallMs(&clock)) {
        return false;
    }
    key->highest_epoch = request->grant_epoch;
    return true;
}

/* Draws the service time of one run in milliseconds. During the cold start it
   is multiplied by a factor that falls linearly from COLD_START_FACTOR to one.
   The operation `sleep` takes the time given in the body. The mutex is
   held. */
static int64_t
draw_service_ms(AprBackendServer_t *server, const Request_t *request,
                const GString *body)
{
    int64_t age_ms = AprBackendServer_NowMs() - server->started_ms;
    double cold_left =
        1 - (double)age_ms / MAX(server->options.cold_start_ms, 1);
    double factor =
        cold_left > 0 ? 1 + (COLD_START_FACTOR - 1) * cold_left : 1;

    if (strcmp(request->operation, "sleep") == 0) {
        return g_ascii_strtoll(body->str, NULL, 10);
    }
    if (server->options.mean_service_ms <= 0) {
        return 0;
    }
    return (int64_t)(factor *
                         gsl_ran_exponential(server->random,
                                             server->options.mean_service_ms) +
                     0.5);
}

static void
log_run(AprBackendServer_t *server, const Request_t *request)
{
    char *key;

    if (server->run_log == NULL) {
        return;
    }
    /* Escaped, because a space in the key would shift the columns. */
    key = g_uri_escape_string(request->key, "/:", TRUE);
    fprintf(server->run_log, "%s %s %s %s\n", request->service, key,
            request->operation, request->idempotency_key);
    fflush(server->run_log);
    g_free(key);
}

/* Waits for the service time of a run. Returns false if the request times out
   first, its caller disconnects or the server stops. The mutex is held, and
   released while waiting. */
static bool
wait_service_time(AprBackendServer_t *server, struct MHD_Connection *client,
                  int64_t service_ms, int64_t timeout_ms)
{
    int64_t start_ms = AprBackendServer_NowMs();
    int64_t elapsed_ms = 0;

    while (elapsed_ms < service_ms) {
        if (server->stopping || elapsed_ms >= timeout_ms ||
            AprStandinHttp_IsClosed(client)) {
            return false;
        }
        AprBackendServer_WaitForChange(
            server, MIN(RUN_POLL_MS, service_ms - elapsed_ms));
        elapsed_ms = AprBackendServer_NowMs() - start_ms;
    }
    return true;
}

/* Sends the response of a completed run. It has the Apricot-Outcome header,
   because a load generator that calls the backend server directly counts
   responses without it as errors. */
static enum MHD_Result
send_run_response(struct MHD_Connection *client, const Request_t *request,
                  int64_t count)
{
    json_t *object = json_pack(
        "{s:s,s:s,s:s,s:I}", "service", request->service, "key", request->key,
        "operation", request->operation, "count", (json_int_t)count);
    char *text = json_dumps(object, JSON_COMPACT);
    struct MHD_Response *response = MHD_create_response_from_buffer(
        strlen(text), text, MHD_RESPMEM_MUST_COPY);
    enum MHD_Result result;

    MHD_add_response_header(response, "Apricot-Outcome", "answered");
    add_request_header(client, response);
    MHD_add_response_header(response, "Content-Type", "application/json");
    result = MHD_queue_response(client, MHD_HTTP_OK, response);
    MHD_destroy_response(response);
    free(text);
    json_decref(object);
    return result;
}

/* Runs an admitted request. The run is counted and logged before the service
   time, so that a cancelled run counts too. The mutex is held. */
static enum MHD_Result
run_request(AprBackendServer_t *server, struct MHD_Connection *client,
            const Request_t *request, AprBackendKey_t *key,
            const GString *body)
{
    int64_t count = ++key->run_count;
    bool completed;

    server->counts.runs++;
    server->counts.slots_in_use++;
    log_run(server, request);
    completed = wait_service_time(server, client,
                                  draw_service_ms(server, request, body),
                                  request->timeout_ms);
    server->counts.slots_in_use--;
    pthread_cond_broadcast(&server->changed);
    if (!completed) {
        server->counts.cancelled++;
        return send_outcome(client, MHD_HTTP_GATEWAY_TIMEOUT, "unknown",
                            "cancelled\n");
    }
    return send_run_response(client, request, count);
}

/* Runs the request, or rejects it without a run when the server drains, all
   slots are in use or the grant is not accepted. The mutex is held. */
static enum MHD_Result
admit_and_run(AprBackendServer_t *server, struct MHD_Connection *client,
              const Request_t *request, const GString *body)
{
    AprBackendKey_t *key;

    if (server->draining || server->counts.slots_in_use >=
                                server->options.max_concurrent_requests) {
        server->counts.shed++;
        return send_outcome(client, MHD_HTTP_SERVICE_UNAVAILABLE, "not-run",
                            server->draining ? "draining\n"
                                             : "no free slot\n");
    }
    key = find_or_add_key(server, request);
    if (server->options.checks_grants && !accept_grant(request, key)) {
        server->counts.stale_grants++;
        return send_outcome(client, MHD_HTTP_CONFLICT, "not-run",
                            "older epoch or expired grant\n");
    }
    return run_request(server, client, request, key, body);
}

/* Sends the state of the server, which is up to `health_lag_ms` old. With
   `health_lies` the server always reports that it is idle. */
static enum MHD_Result
send_health(AprBackendServer_t *server, struct MHD_Connection *client)
{
    int64_t now_ms = AprBackendServer_NowMs();
    const char *status = "ok";
    json_t *object;

    pthread_mutex_lock(&server->mutex);
    if (now_ms - server->health_sampled_ms >= server->options.health_lag_ms) {
        server->health_sampled_ms = now_ms;
        server->health_in_use = server->counts.slots_in_use;
    }
    if (!server->options.health_lies && server->draining) {
        status = "draining";
    }
    object = json_pack(
        "{s:s,s:I,s:i}", "status", status, "in_use",
        (json_int_t)(server->options.health_lies ? 0 : server->health_in_use),
        "slots", server->options.max_concurrent_requests);
    pthread_mutex_unlock(&server->mutex);
    return AprStandinHttp_SendJson(client, MHD_HTTP_OK, object);
}

static enum MHD_Result
send_counts(AprBackendServer_t *server, struct MHD_Connection *client)
{
    AprBackendCounts_t counts;

    AprBackendServer_GetCounts(server, &counts);
    return AprStandinHttp_SendJson(
        client, MHD_HTTP_OK,
        json_pack("{s:I,s:I,s:I,s:I,s:I}", "runs", (json_int_t)counts.runs,
                  "shed", (json_int_t)counts.shed, "stale_grants",
                  (json_int_t)counts.stale_grants, "cancelled",
                  (json_int_t)counts.cancelled, "in_use",
                  (json_int_t)counts.slots_in_use));
}

static enum MHD_Result
handle_request(void *context, struct MHD_Connection *client, const char *url,
               const char *method, const GString *body)
{
    AprBackendServer_t *server = context;
    enum MHD_Result result;
    Request_t request;

    (void)method;
    if (strcmp(url, "/health") == 0) {
        return send_health(server, client);
    }
    if (strcmp(url, "/control/counts") == 0) {
        return send_counts(server, client);
    }
    if (!parse_request(client, url, &request) ||
        !serves_service(server, request.service)) {
        result = send_outcome(client, MHD_HTTP_NOT_FOUND, "not-run",
                              "unknown service or path\n");
    }
    else {
        pthread_mutex_lock(&server->mutex);
        result = admit_and_run(server, client, &request, body);
        pthread_mutex_unlock(&server->mutex);
    }
    clear_request(&request);
    return result;
}

static void
init_state(AprBackendServer_t *server)
{
    pthread_condattr_t attributes;

    pthread_mutex_init(&server->mutex, NULL);
    pthread_condattr_init(&attributes);
    pthread_condattr_setclock(&attributes, CLOCK_MONOTONIC);
    pthread_cond_init(&server->changed, &attributes);
    pthread_condattr_destroy(&attributes);
    server->keys =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free);
    server->random = gsl_rng_alloc(gsl_rng_mt19937);
    server->started_ms = AprBackendServer_NowMs();
    gsl_rng_set(server->random, (unsigned long)server->started_ms);
}

/* Starts the server and its announcements. The strings in the options are not
   copied and must outlive the server. Returns NULL if the address is malformed
   or in use, or if the run log cannot be opened. */
AprBackendServer_t *
AprBackendServer_Start(const AprBackendOptions_t *options)
{
    AprBackendServer_t *server = calloc(1, sizeof(*server));

    server->options = *options;
    init_state(server);
    if (options->run_log != NULL) {
        server->run_log = fopen(options->run_log, "ae");
        if (server->run_log == NULL) {
            goto error;
        }
    }
    if (AprStandinHttp_Start(&server->http, options->listen,
                             (unsigned)options->max_connections,
                             handle_request, server) != APR_OK) {
        goto error;
    }
    if (options->announce_to != NULL) {
        server->announcer_started =
            pthread_create(&server->announcer, NULL,
                           AprBackendServer_RunAnnouncer, server) == 0;
    }
    return server;

error:
    AprBackendServer_Stop(server);
    return NULL;
}

/* Rejects new requests with the outcome not-run, ends the announcements, and
   waits until all responses are sent, up to `wait_ms` milliseconds. */
void
AprBackendServer_Drain(AprBackendServer_t *server, int wait_ms)
{
    int64_t end_ms = AprBackendServer_NowMs() + wait_ms;

    pthread_mutex_lock(&server->mutex);
    server->draining = true;
    pthread_cond_broadcast(&server->changed);
    while (AprStandinHttp_CountActive(&server->http) > 0 &&
           AprBackendServer_NowMs() < end_ms) {
        AprBackendServer_WaitForChange(server, RUN_POLL_MS);
    }
    pthread_mutex_unlock(&server->mutex);
}

/* Cancels running requests, stops the server and frees it. */
void
AprBackendServer_Stop(AprBackendServer_t *server)
{
    pthread_mutex_lock(&server->mutex);
    server->stopping = true;
    pthread_cond_broadcast(&server->changed);
    pthread_mutex_unlock(&server->mutex);
    if (server->announcer_started) {
        pthread_join(server->announcer, NULL);
    }
    AprStandinHttp_Stop(&server->http);
    if (server->run_log != NULL) {
        fclose(server->run_log);
    }
    g_hash_table_destroy(server->keys);
    gsl_rng_free(server->random);
    pthread_cond_destroy(&server->changed);
    pthread_mutex_destroy(&server->mutex);
    free(server);
}

/* Returns IP:port of the listener. */
const char *
AprBackendServer_Address(const AprBackendServer_t *server)
{
    return server->http.address;
}

/* Copies the counts into `counts`. */
void
AprBackendServer_GetCounts(AprBackendServer_t *server,
                           AprBackendCounts_t *counts)
{
    pthread_mutex_lock(&server->mutex);
    *counts = server->counts;
    pthread_mutex_unlock(&server->mutex);
}
