#include "standins/lib/backend_server_private.h"

#include <gsl/gsl_randist.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "apricot/clock.h"
#include "apricot/error.h"

/* How often a running request looks whether its caller has gone. */
#define RUN_TICK_MS 5
/* A server that has just started takes up to this many times as long. */
#define COLD_FACTOR 5
#define DEFAULT_TIMEOUT_MS 30000

typedef struct Request_t {
    char *service;
    char *operation;
    char *key;
    uint64_t epoch;
    int64_t expiry_ms; /* calendar time */
    int64_t timeout_ms;
    const char *idempotency_key; /* "-" when there is none */
} Request_t;

/* Monotonic time in milliseconds. */
int64_t
AprBackendServer_NowMs(void)
{
    AprClock_t clock = AprClock_System();

    return AprTime_ToMs(AprClock_Now(&clock));
}

/* Waits on `changed` for at most the given time. The mutex is held. */
void
AprBackendServer_Wait(AprBackendServer_t *server, int64_t ms)
{
    struct timespec limit;

    clock_gettime(CLOCK_MONOTONIC, &limit);
    limit = AprTime_AddMs(limit, ms);
    pthread_cond_timedwait(&server->changed, &server->mutex, &limit);
}

/* Options as on the command line without arguments. */
AprBackendOptions_t
AprBackendOptions_Default(void)
{
    AprBackendOptions_t options = {
        .listen = "127.0.0.1:0", .slots = 6, .connections = 120};

    return options;
}

/* Answers that the request did not run, with the reason as text. */
static enum MHD_Result
refuse(struct MHD_Connection *client, int status, const char *outcome,
       const char *reason)
{
    struct MHD_Response *response = MHD_create_response_from_buffer(
        strlen(reason), (void *)(uintptr_t)reason, MHD_RESPMEM_PERSISTENT);
    enum MHD_Result result;

    MHD_add_response_header(response, "Apricot-Outcome", outcome);
    MHD_add_response_header(response, "Content-Type", "text/plain");
    result = MHD_queue_response(client, (unsigned)status, response);
    MHD_destroy_response(response);
    return result;
}

static const char *
get_header(struct MHD_Connection *client, const char *name)
{
    return MHD_lookup_connection_value(client, MHD_HEADER_KIND, name);
}

/* Splits /<service>/<operation>/<key>; the key may contain slashes. The prefix
   of the callers' interface is allowed, so that a load generator can measure
   the backend server alone as a baseline. */
static bool
parse_request(struct MHD_Connection *client, const char *url,
              Request_t *request)
{
    const char *timeout = get_header(client, "Apricot-Timeout-Ms");
    const char *grant = get_header(client, "Apricot-Grant");
    const char *uuid = get_header(client, "Idempotency-Key");
    char **parts =
        g_strsplit(g_str_has_prefix(url, "/v1/") ? url + 3 : url, "/", 4);
    bool complete = g_strv_length(parts) == 4 && parts[3][0] != '\0';

    memset(request, 0, sizeof(*request));
    if (complete) {
        request->service = g_strdup(parts[1]);
        request->operation = g_strdup(parts[2]);
        request->key = g_strdup(parts[3]);
    }
    g_strfreev(parts);
    request->timeout_ms = timeout == NULL ? DEFAULT_TIMEOUT_MS
                                          : g_ascii_strtoll(timeout, NULL, 10);
    request->idempotency_key = uuid == NULL ? "-" : uuid;
    if (grant != NULL) {
        char *end;

        request->epoch = g_ascii_strtoull(grant, &end, 10);
        request->expiry_ms =
            *end == ';' ? g_ascii_strtoll(end + 1, NULL, 10) : 0;
    }
    return complete;
}

static void
clear_request(Request_t *request)
{
    g_free(request->service);
    g_free(request->operation);
    g_free(request->key);
}

static bool
serves(const AprBackendServer_t *server, const char *service)
{
    for (int i = 0; i < server->options.service_count; i++) {
        if (strcmp(server->options.services[i], service) == 0) {
            return true;
        }
    }
    return server->options.service_count == 0;
}

static AprBackendKey_t *
find_key(AprBackendServer_t *server, const Request_t *request)
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

/* Whether the grant is the newest one seen for the key and in force. A call
   does not name its partition, so epochs are kept for each key of it. */
static bool
grant_holds(const Request_t *request, AprBackendKey_t *key)
{
    AprClock_t clock = AprClock_System();

    if (request->epoch < key->epoch ||
        request->expiry_ms <= AprClock_WallMs(&clock)) {
        return false;
    }
    key->epoch = request->epoch;
    return true;
}

/* Time of one run in milliseconds. While the server is cold its runs take
   longer; the factor falls evenly to one. The mutex is held. */
static int64_t
draw_service_ms(AprBackendServer_t *server, const Request_t *request,
                const GString *body)
{
    int64_t age_ms = AprBackendServer_NowMs() - server->started_ms;
    double left = 1 - (double)age_ms / MAX(server->options.cold_start_ms, 1);
    double factor = left > 0 ? 1 + (COLD_FACTOR - 1) * left : 1;

    if (strcmp(request->operation, "sleep") == 0) {
        return g_ascii_strtoll(body->str, NULL, 10);
    }
    if (server->options.service_ms <= 0) {
        return 0;
    }
    return (int64_t)(factor * gsl_ran_exponential(server->random,
                                                  server->options.service_ms) +
                     0.5);
}

static void
log_run(AprBackendServer_t *server, const Request_t *request)
{
    char *key;

    if (server->run_log == NULL) {
        return;
    }
    /* A space in a key would shift the columns. */
    key = g_uri_escape_string(request->key, "/:", TRUE);
    fprintf(server->run_log, "%s %s %s %s\n", request->service, key,
            request->operation, request->idempotency_key);
    fflush(server->run_log);
    g_free(key);
}

/* Holds the slot for the time of the run. Returns false when the time of the
   request was over or its caller left before. The mutex is held. */
static bool
work(AprBackendServer_t *server, struct MHD_Connection *client,
     int64_t service_ms, int64_t timeout_ms)
{
    int64_t start_ms = AprBackendServer_NowMs();
    int64_t passed_ms = 0;

    while (passed_ms < service_ms) {
        if (server->stopping || passed_ms >= timeout_ms ||
            AprStandinHttp_Closed(client)) {
            return false;
        }
        AprBackendServer_Wait(server,
                              MIN(RUN_TICK_MS, service_ms - passed_ms));
        passed_ms = AprBackendServer_NowMs() - start_ms;
    }
    return true;
}

/* The answer names its outcome, because a load generator that calls the
   backend server directly counts an answer without one as broken. */
static enum MHD_Result
answer_run(struct MHD_Connection *client, const Request_t *request,
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
    MHD_add_response_header(response, "Content-Type", "application/json");
    result = MHD_queue_response(client, MHD_HTTP_OK, response);
    MHD_destroy_response(response);
    free(text);
    json_decref(object);
    return result;
}

/* Runs an admitted request: the effect and its log line come first, so that a
   run that is cut off counts as one. The mutex is held. */
static enum MHD_Result
run_request(AprBackendServer_t *server, struct MHD_Connection *client,
            const Request_t *request, AprBackendKey_t *key,
            const GString *body)
{
    int64_t count = ++key->count;
    bool complete;

    server->counts.runs++;
    server->counts.in_use++;
    log_run(server, request);
    complete = work(server, client, draw_service_ms(server, request, body),
                    request->timeout_ms);
    server->counts.in_use--;
    pthread_cond_broadcast(&server->changed);
    if (!complete) {
        server->counts.cancelled++;
        return refuse(client, MHD_HTTP_GATEWAY_TIMEOUT, "unknown",
                      "cancelled\n");
    }
    return answer_run(client, request, count);
}

/* The mutex is held. */
static enum MHD_Result
admit(AprBackendServer_t *server, struct MHD_Connection *client,
      const Request_t *request, const GString *body)
{
    AprBackendKey_t *key;

    if (server->draining || server->counts.in_use >= server->options.slots) {
        server->counts.shed++;
        return refuse(client, MHD_HTTP_SERVICE_UNAVAILABLE, "not-run",
                      server->draining ? "draining\n" : "no free slot\n");
    }
    key = find_key(server, request);
    if (server->options.checks_grants && !grant_holds(request, key)) {
        server->counts.stale_grants++;
        return refuse(client, MHD_HTTP_CONFLICT, "not-run",
                      "older epoch or expired grant\n");
    }
    return run_request(server, client, request, key, body);
}

/* The state that /health shows is up to `health_lag_ms` old. With
   `health_lies` the server always claims to be idle. */
static enum MHD_Result
answer_health(AprBackendServer_t *server, struct MHD_Connection *client)
{
    int64_t now_ms = AprBackendServer_NowMs();
    const char *status = "ok";
    json_t *object;

    pthread_mutex_lock(&server->mutex);
    if (now_ms - server->health_ms >= server->options.health_lag_ms) {
        server->health_ms = now_ms;
        server->health_in_use = server->counts.in_use;
    }
    if (!server->options.health_lies && server->draining) {
        status = "draining";
    }
    object = json_pack(
        "{s:s,s:I,s:i}", "status", status, "in_use",
        (json_int_t)(server->options.health_lies ? 0 : server->health_in_use),
        "slots", server->options.slots);
    pthread_mutex_unlock(&server->mutex);
    return AprStandinHttp_Json(client, MHD_HTTP_OK, object);
}

static enum MHD_Result
answer_counts(AprBackendServer_t *server, struct MHD_Connection *client)
{
    AprBackendCounts_t counts;

    AprBackendServer_Counts(server, &counts);
    return AprStandinHttp_Json(
        client, MHD_HTTP_OK,
        json_pack("{s:I,s:I,s:I,s:I,s:I}", "runs", (json_int_t)counts.runs,
                  "shed", (json_int_t)counts.shed, "stale_grants",
                  (json_int_t)counts.stale_grants, "cancelled",
                  (json_int_t)counts.cancelled, "in_use",
                  (json_int_t)counts.in_use));
}

static enum MHD_Result
handle(void *context, struct MHD_Connection *client, const char *url,
       const char *method, const GString *body)
{
    AprBackendServer_t *server = context;
    enum MHD_Result result;
    Request_t request;

    (void)method;
    if (strcmp(url, "/health") == 0) {
        return answer_health(server, client);
    }
    if (strcmp(url, "/control/counts") == 0) {
        return answer_counts(server, client);
    }
    if (!parse_request(client, url, &request) ||
        !serves(server, request.service)) {
        result = refuse(client, MHD_HTTP_NOT_FOUND, "not-run",
                        "unknown service or path\n");
    }
    else {
        pthread_mutex_lock(&server->mutex);
        result = admit(server, client, &request, body);
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

/* Starts the stand-in backend and its announcements. The texts in the options
   must stay valid. Returns NULL when the address is malformed or taken, or
   the run log cannot be opened. */
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
                             (unsigned)options->connections, handle,
                             server) != APR_OK) {
        goto error;
    }
    if (options->announce_to != NULL) {
        server->announcing =
            pthread_create(&server->announcer, NULL, AprBackendServer_Announce,
                           server) == 0;
    }
    return server;

error:
    AprBackendServer_Stop(server);
    return NULL;
}

/* Refuses new work as not run, ends the announcements, and waits until all
   answers are sent or `wait_ms` milliseconds are over. */
void
AprBackendServer_Drain(AprBackendServer_t *server, int wait_ms)
{
    int64_t end_ms = AprBackendServer_NowMs() + wait_ms;

    pthread_mutex_lock(&server->mutex);
    server->draining = true;
    pthread_cond_broadcast(&server->changed);
    while (AprStandinHttp_Active(&server->http) > 0 &&
           AprBackendServer_NowMs() < end_ms) {
        AprBackendServer_Wait(server, RUN_TICK_MS);
    }
    pthread_mutex_unlock(&server->mutex);
}

/* Cuts off what runs and stops the server. */
void
AprBackendServer_Stop(AprBackendServer_t *server)
{
    pthread_mutex_lock(&server->mutex);
    server->stopping = true;
    pthread_cond_broadcast(&server->changed);
    pthread_mutex_unlock(&server->mutex);
    if (server->announcing) {
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

/* IP:port of the listener. */
const char *
AprBackendServer_Address(const AprBackendServer_t *server)
{
    return server->http.address;
}

/* Copies the counts. */
void
AprBackendServer_Counts(AprBackendServer_t *server, AprBackendCounts_t *counts)
{
    pthread_mutex_lock(&server->mutex);
    *counts = server->counts;
    pthread_mutex_unlock(&server->mutex);
}
