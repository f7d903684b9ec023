#include <arpa/inet.h>
#include <errno.h>
#include <glib.h>
#include <jansson.h>
#include <microhttpd.h>
#include <stdatomic.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "internal/http_entry.h"
#include "internal/event.h"
#include "internal/http_util.h"

#define ENTRY_THREADS 2
#define ENTRY_MAX_CONNECTIONS 4096
#define IDLE_TIMEOUT_S 120
#define REQUEST_PATH_PREFIX "/v1/"
#define MAX_HEADER_VALUE_SIZE 256
#define MAX_KEY_SIZE 512
#define MAX_TIMEOUT_MS 3600000
#define STOP_POLL_INTERVAL_NS 10000000L
#define STOP_MAX_POLLS 200

struct AprEntryServer_t {
    struct MHD_Daemon *daemon;
    AprRing_t *inbox;
    char caller_token[APR_SECRET_SIZE];
    atomic_bool closing;    /* responses ask callers to disconnect */
    atomic_int in_progress; /* requests posted to the core and not yet ended */
    AprMetric_t *requests;
    AprMetric_t *rejected;
};

/* State of one HTTP request while libmicrohttpd receives it. */
typedef struct EntryContext_t {
    AprEntryServer_t *server;
    AprEntryRequest_t *request;
    GByteArray *body;
    int reject_status; /* HTTP status; 0: not rejected */
    const char *reject_reason;
} EntryContext_t;

/* Returns the JSON body of a request that was not answered. The caller frees
   it with free(). */
char *
AprEntry_ErrorBody(const char *outcome, const char *reason, const char *step,
                   const char *peer, const char *detail)
{
    json_t *body =
        json_pack("{s:s,s:s,s:s,s:s,s:s}", "outcome", outcome, "reason",
                  reason, "step", step, "peer", peer, "detail", detail);
    char *text = body == NULL ? NULL : json_dumps(body, JSON_COMPACT);

    json_decref(body);
    return text == NULL ? strdup("{}") : text;
}

static void
free_request(AprEntryRequest_t *request)
{
    if (request == NULL) {
        return;
    }
    g_free(request->service);
    g_free(request->operation);
    g_free(request->key);
    g_free(request->rank_name);
    g_free(request->caller);
    g_free(request->content_type);
    g_free(request->body);
    g_free(request->response_content_type);
    g_free(request->response_body);
    free(request);
}

/* Returns the value of a request header, "" if it is missing. */
static const char *
header_value(struct MHD_Connection *connection, const char *name)
{
    const char *value =
        MHD_lookup_connection_value(connection, MHD_HEADER_KIND, name);

    return value == NULL ? "" : value;
}

static bool
is_valid_header_value(const char *value)
{
    return strlen(value) < MAX_HEADER_VALUE_SIZE &&
           g_utf8_validate(value, -1, NULL);
}

/* Splits /v1/<service>/<operation>/<key> into newly allocated strings. The key
   may contain slashes. Returns false for a malformed path. */
static bool
parse_path(const char *url, AprEntryRequest_t *request)
{
    char **parts;
    bool ok;

    if (!g_str_has_prefix(url, REQUEST_PATH_PREFIX)) {
        return false;
    }
    parts = g_strsplit(url + strlen(REQUEST_PATH_PREFIX), "/", 3);
    ok = g_strv_length(parts) == 3 && parts[0][0] != '\0' &&
         parts[1][0] != '\0' && parts[2][0] != '\0' &&
         strlen(parts[0]) < APR_NAME_SIZE &&
         strlen(parts[1]) < APR_NAME_SIZE && strlen(parts[2]) < MAX_KEY_SIZE &&
         g_utf8_validate(url, -1, NULL);
    if (ok) {
        request->service = g_strdup(parts[0]);
        request->operation = g_strdup(parts[1]);
        request->key = g_strdup(parts[2]);
    }
    g_strfreev(parts);
    return ok;
}

/* Parses a timeout in milliseconds; an empty text gives 0. */
static bool
parse_timeout(const char *text, int64_t *timeout_ms)
{
    guint64 value;

    if (text[0] == '\0') {
        *timeout_ms = 0;
        return true;
    }
    if (!g_ascii_string_to_unsigned(text, 10, 1, MAX_TIMEOUT_MS, &value,
                                    NULL)) {
        return false;
    }
    *timeout_ms = (int64_t)value;
    return true;
}

/* Returns a newly allocated string: the caller's name, or its IP address if it
   gave none, so that callers without a name do not share one rate limit. */
static char *
copy_caller_name_or_address(struct MHD_Connection *connection,
                            const char *name)
{
    const union MHD_ConnectionInfo *info;
    char address[INET_ADDRSTRLEN] = "";

    if (name[0] != '\0') {
        return g_strdup(name);
    }
    info = MHD_get_connection_info(connection,
                                   MHD_CONNECTION_INFO_CLIENT_ADDRESS);
    if (info != NULL && info->client_addr != NULL &&
        info->client_addr->sa_family == AF_INET) {
        const struct sockaddr_in *peer =
            (const struct sockaddr_in *)info->client_addr;

        inet_ntop(AF_INET, &peer->sin_addr, address, sizeof(address));
    }
    return g_strdup(address);
}

/* Copies the headers into the request. Returns NULL, or the reason to reject
   the request. */
static const char *
parse_headers(struct MHD_Connection *connection, AprEntryRequest_t *request)
{
    const char *key = header_value(connection, "Idempotency-Key");
    const char *rank = header_value(connection, "Apricot-Rank");
    const char *caller = header_value(connection, "Apricot-Caller");
    const char *type = header_value(connection, "Content-Type");

    if (!is_valid_header_value(rank) || !is_valid_header_value(caller) ||
        !is_valid_header_value(type)) {
        return "malformed-header";
    }
    if (!parse_timeout(header_value(connection, "Apricot-Timeout-Ms"),
                       &request->timeout_ms)) {
        return "malformed-timeout";
    }
    if (key[0] != '\0') {
        if (AprIdempotencyKey_Parse(key, request->idempotency_key) != 0) {
            return "malformed-idempotency-key";
        }
        request->has_idempotency_key = true;
    }
    request->first_attempt =
        strcmp(header_value(connection, "Apricot-Attempt"), "1") == 0;
    request->rank_name = g_strdup(rank);
    request->caller = copy_caller_name_or_address(connection, caller);
    request->content_type = g_strdup(type);
    return NULL;
}

/* Marks the request as rejected; the first reason is kept. */
static void
record_rejection(EntryContext_t *context, int status, const char *reason)
{
    if (context->reject_status == 0) {
        context->reject_status = status;
        context->reject_reason = reason;
    }
}

static int
caller_socket_fd(struct MHD_Connection *connection)
{
    const union MHD_ConnectionInfo *info =
        MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD);

    return info == NULL ? -1 : info->connect_fd;
}

/* Checks the request line and the headers, so that a malformed request is
   rejected without further work. */
static void
check_request_head(EntryContext_t *context, struct MHD_Connection *connection,
                   const char *url, const char *method)
{
    AprEntryRequest_t *request = context->request;
    const char *reason;

    request->connection = connection;
    request->socket = caller_socket_fd(connection);
    request->is_get = strcmp(method, "GET") == 0;
    request->service_index = -1;
    request->link = APR_NO_LINK;
    if (!request->is_get && strcmp(method, "POST") != 0) {
        record_rejection(context, 405, "method-not-allowed");
    }
    if (!AprHttp_TokenMatches(connection, context->server->caller_token)) {
        record_rejection(context, 401, "not-authorized");
    }
    if (!parse_path(url, request)) {
        record_rejection(context, 400, "malformed-path");
    }
    reason = parse_headers(connection, request);
    if (reason != NULL) {
        record_rejection(context, 400, reason);
    }
}

static void
append_body(EntryContext_t *context, const char *data, size_t size)
{
    if (context->reject_status != 0) {
        return;
    }
    if (context->body->len + size > APR_ENTRY_MAX_BODY) {
        record_rejection(context, 413, "body-too-large");
        return;
    }
    g_byte_array_append(context->body, (const guint8 *)data, (guint)size);
}

static enum MHD_Result
queue_response(const EntryContext_t *context,
               struct MHD_Connection *connection, int status,
               const char *outcome, const char *type, const char *body,
               size_t size)
{
    struct MHD_Response *response = MHD_create_response_from_buffer(
        size, (void *)body, MHD_RESPMEM_MUST_COPY);
    enum MHD_Result result;

    if (response == NULL) {
        return MHD_NO;
    }
    MHD_add_response_header(response, "Apricot-Outcome", outcome);
    if (type[0] != '\0') {
        MHD_add_response_header(response, "Content-Type", type);
    }
    if (strcmp(outcome, "not-run") == 0) {
        MHD_add_response_header(response, "Retry-After", "1");
    }
    if (atomic_load(&context->server->closing)) {
        MHD_add_response_header(response, "Connection", "close");
    }
    result = MHD_queue_response(connection, (unsigned)status, response);
    MHD_destroy_response(response);
    return result;
}

static enum MHD_Result
queue_rejection(const EntryContext_t *context,
                struct MHD_Connection *connection, int status,
                const char *outcome, const char *reason)
{
    char *body = AprEntry_ErrorBody(outcome, reason, "entry", "", "");
    enum MHD_Result result =
        queue_response(context, connection, status, outcome,
                       "application/json", body, strlen(body));

    free(body);
    return result;
}

/* Posts the request to the core thread, which owns it until
   AprEntryRequest_Complete(). The connection is suspended first, because the
   core thread may complete the request before this function returns. */
static enum MHD_Result
post_to_core(EntryContext_t *context, struct MHD_Connection *connection)
{
    AprEntryRequest_t *request = context->request;
    AprEvent_t *event = AprEvent_New(APR_EVENT_ENTRY);

    request->body_size = context->body->len;
    request->body = (char *)g_byte_array_free(context->body, FALSE);
    context->body = NULL;
    if (event == NULL) {
        return MHD_NO;
    }
    event->entry = request;
    AprMetric_Add(context->server->requests, 1);
    atomic_fetch_add(&context->server->in_progress, 1);
    request->in_progress = &context->server->in_progress;
    MHD_suspend_connection(connection);
    if (AprEvent_Post(context->server->inbox, event) != APR_OK) {
        char *body =
            AprEntry_ErrorBody("not-run", "entry-overloaded", "entry", "", "");

        free(event);
        request->outcome = APR_NOT_RUN;
        request->status = 503;
        request->response_content_type = g_strdup("application/json");
        request->response_size = strlen(body);
        request->response_body = g_strdup(body);
        free(body);
        AprEntryRequest_Complete(request);
    }
    return MHD_YES;
}

static EntryContext_t *
new_context(AprEntryServer_t *server)
{
    EntryContext_t *context = calloc(1, sizeof(*context));

    if (context == NULL) {
        return NULL;
    }
    context->server = server;
    context->request = calloc(1, sizeof(*context->request));
    if (context->request == NULL) {
        free(context);
        return NULL;
    }
    context->body = g_byte_array_new();
    return context;
}

/* Called by libmicrohttpd for the head of a request, for each part of its
   body, when the body is complete and after the connection has been resumed
   with a completed request. */
static enum MHD_Result
access_handler(void *cls, struct MHD_Connection *connection, const char *url,
               const char *method, const char *version,
               const char *upload_data, size_t *upload_data_size,
               void **connection_context)
{
    EntryContext_t *context = *connection_context;
    AprEntryRequest_t *request;

    (void)version;
    if (context == NULL) {
        context = new_context(cls);
        if (context == NULL) {
            return MHD_NO;
        }
        *connection_context = context;
        check_request_head(context, connection, url, method);
        return MHD_YES;
    }
    if (*upload_data_size > 0) {
        append_body(context, upload_data, *upload_data_size);
        *upload_data_size = 0;
        return MHD_YES;
    }
    request = context->request;
    if (context->reject_status != 0) {
        AprMetric_Add(context->server->rejected, 1);
        return queue_rejection(context, connection, context->reject_status,
                               "rejected", context->reject_reason);
    }
    if (!request->completed) {
        return post_to_core(context, connection);
    }
    return queue_response(context, connection, request->status,
                          AprOutcomeKind_Name(request->outcome),
                          request->response_content_type,
                          request->response_body, request->response_size);
}

static void
on_request_completed(void *cls, struct MHD_Connection *connection,
                     void **connection_context,
                     enum MHD_RequestTerminationCode code)
{
    EntryContext_t *context = *connection_context;

    (void)cls;
    (void)connection;
    (void)code;
    if (context == NULL) {
        return;
    }
    if (context->body != NULL) {
        g_byte_array_free(context->body, TRUE);
    }
    if (context->request->in_progress != NULL) {
        atomic_fetch_sub(context->request->in_progress, 1);
    }
    free_request(context->request);
    free(context);
    *connection_context = NULL;
}

/* Passes a completed request back to its HTTP thread. The core thread must not
   access it afterwards. */
void
AprEntryRequest_Complete(AprEntryRequest_t *request)
{
    request->completed = true;
    MHD_resume_connection(request->connection);
}

/* Starts the server for callers on `listen_callers` of the settings. Requests
   are posted to `inbox`. Returns NULL on failure, with the error set. */
AprEntryServer_t *
AprEntryServer_Start(const AprSettings_t *settings, AprRing_t *inbox,
                     AprMetrics_t *metrics, AprError_t *error)
{
    AprEntryServer_t *server = calloc(1, sizeof(*server));
    struct sockaddr_in address;

    if (server == NULL ||
        AprHttp_ParseAddress(settings->listen_callers, &address) != APR_OK) {
        AprError_Set(error, APR_E_INVALID, APR_STEP_ENTRY,
                     settings->listen_callers, "not an IP:port address");
        free(server);
        return NULL;
    }
    server->inbox = inbox;
    g_strlcpy(server->caller_token, settings->caller_token,
              sizeof(server->caller_token));
    server->requests =
        AprMetrics_RegisterCounter(metrics, "apricot_entry_requests_total",
                                   NULL, "Requests taken from callers");
    server->rejected = AprMetrics_RegisterCounter(
        metrics, "apricot_entry_rejected_total", NULL,
        "Requests rejected by their headers or size");
    server->daemon = MHD_start_daemon(
        MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME | MHD_USE_ITC,
        0, NULL, NULL, access_handler, server, MHD_OPTION_SOCK_ADDR, &address,
        MHD_OPTION_THREAD_POOL_SIZE, (unsigned)ENTRY_THREADS,
        MHD_OPTION_CONNECTION_LIMIT, (unsigned)ENTRY_MAX_CONNECTIONS,
        MHD_OPTION_CONNECTION_TIMEOUT, (unsigned)IDLE_TIMEOUT_S,
        MHD_OPTION_NOTIFY_COMPLETED, on_request_completed, NULL,
        MHD_OPTION_END);
    if (server->daemon == NULL) {
        AprError_Set(error, APR_E_IO, APR_STEP_ENTRY, settings->listen_callers,
                     "cannot listen: %s", strerror(errno));
        free(server);
        return NULL;
    }
    return server;
}

/* Makes every further response ask the caller to close its connection, so that
   callers switch to other processes before this one stops. */
void
AprEntryServer_StartDrain(AprEntryServer_t *server)
{
    atomic_store(&server->closing, true);
}

/* Stops listening, waits up to two seconds for responses that are still being
   sent, then stops and frees the server; NULL is ignored. Call it after the
   core has completed all requests. */
void
AprEntryServer_Stop(AprEntryServer_t *server)
{
    const struct timespec pause = {0, STOP_POLL_INTERVAL_NS};
    MHD_socket listener;

    if (server == NULL) {
        return;
    }
    AprEntryServer_StartDrain(server);
    listener = MHD_quiesce_daemon(server->daemon);
    for (int i = 0;
         i < STOP_MAX_POLLS && atomic_load(&server->in_progress) > 0; i++) {
        nanosleep(&pause, NULL);
    }
    MHD_stop_daemon(server->daemon);
    if (listener != MHD_INVALID_SOCKET) {
        close(listener);
    }
    free(server);
}
