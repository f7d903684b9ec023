#include <errno.h>
#include <glib.h>
#include <microhttpd.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "internal/http_entry.h"
#include "internal/event.h"
#include "internal/http_util.h"

#define ADMIN_MAX_CONNECTIONS 64
#define ADMIN_MAX_BODY_BYTES 16384
#define ADMIN_IDLE_TIMEOUT_S 30
#define ADMIN_RESPONSE_TIMEOUT_S 5
#define ANNOUNCE_PATH "/announce"
#define METRICS_PATH "/metrics"

/* Synchronises the HTTP thread, which waits for a response, with the core
   thread, which fills it in. The core thread frees the request if the HTTP
   thread has timed out; otherwise the HTTP thread does. */
typedef struct AprAdminWait_t {
    pthread_mutex_t mutex;
    pthread_cond_t completed_cond;
    bool completed;
    bool timed_out;
} AprAdminWait_t;

struct AprAdminServer_t {
    struct MHD_Daemon *daemon;
    AprRing_t *inbox;
    AprMetrics_t *metrics;
    char token[APR_SECRET_SIZE];
};

static void
free_admin_request(AprAdminRequest_t *request)
{
    pthread_mutex_destroy(&request->wait->mutex);
    pthread_cond_destroy(&request->wait->completed_cond);
    free(request->wait);
    g_free(request->body);
    free(request->response_body);
    free(request);
}

/* Passes the filled-in response to the waiting HTTP thread, or frees the
   request if that thread has timed out. The core thread must not use the
   request afterwards. */
void
AprAdminRequest_Complete(AprAdminRequest_t *request)
{
    AprAdminWait_t *wait = request->wait;
    bool timed_out;

    pthread_mutex_lock(&wait->mutex);
    wait->completed = true;
    timed_out = wait->timed_out;
    pthread_cond_signal(&wait->completed_cond);
    pthread_mutex_unlock(&wait->mutex);
    if (timed_out) {
        free_admin_request(request);
    }
}

static enum MHD_Result
queue_response(struct MHD_Connection *connection, int status, const char *type,
               const char *body)
{
    struct MHD_Response *response = MHD_create_response_from_buffer(
        strlen(body), (void *)body, MHD_RESPMEM_MUST_COPY);
    enum MHD_Result result;

    if (response == NULL) {
        return MHD_NO;
    }
    MHD_add_response_header(response, "Content-Type", type);
    result = MHD_queue_response(connection, (unsigned)status, response);
    MHD_destroy_response(response);
    return result;
}

static enum MHD_Result
queue_error_response(struct MHD_Connection *connection, int status,
                     const char *detail)
{
    char *body = g_strdup_printf("{\"ok\":false,\"detail\":\"%s\"}", detail);
    enum MHD_Result result =
        queue_response(connection, status, "application/json", body);

    g_free(body);
    return result;
}

static void
copy_query_argument(struct MHD_Connection *connection, const char *name,
                    char *target, size_t size)
{
    const char *value =
        MHD_lookup_connection_value(connection, MHD_GET_ARGUMENT_KIND, name);

    g_strlcpy(target, value == NULL ? "" : value, size);
}

static AprAdminRequest_t *
new_admin_request(struct MHD_Connection *connection, const char *url,
                  GByteArray *body)
{
    AprAdminRequest_t *request = calloc(1, sizeof(*request));
    char confirm[APR_NAME_SIZE];

    if (request == NULL) {
        return NULL;
    }
    request->wait = calloc(1, sizeof(*request->wait));
    if (request->wait == NULL) {
        free(request);
        return NULL;
    }
    pthread_mutex_init(&request->wait->mutex, NULL);
    pthread_cond_init(&request->wait->completed_cond, NULL);
    g_strlcpy(request->path, url, sizeof(request->path));
    copy_query_argument(connection, "service", request->service,
                        sizeof(request->service));
    copy_query_argument(connection, "key", request->key, sizeof(request->key));
    copy_query_argument(connection, "to", request->target_host,
                        sizeof(request->target_host));
    copy_query_argument(connection, "host", request->host,
                        sizeof(request->host));
    copy_query_argument(connection, "confirm", confirm, sizeof(confirm));
    request->confirmed = strcmp(confirm, "dead") == 0;
    request->body_size = body->len;
    request->body = g_memdup2(body->data, body->len);
    return request;
}

/* Waits for the core thread to complete the request. Returns false on timeout;
   the core thread then owns the request. */
static bool
wait_for_response(AprAdminRequest_t *request)
{
    AprAdminWait_t *wait = request->wait;
    struct timespec deadline;
    bool completed;

    clock_gettime(CLOCK_REALTIME, &deadline);
    deadline.tv_sec += ADMIN_RESPONSE_TIMEOUT_S;
    pthread_mutex_lock(&wait->mutex);
    while (!wait->completed &&
           pthread_cond_timedwait(&wait->completed_cond, &wait->mutex,
                                  &deadline) != ETIMEDOUT) {
    }
    completed = wait->completed;
    wait->timed_out = !completed;
    pthread_mutex_unlock(&wait->mutex);
    return completed;
}

/* Posts a request to the core thread and sends its response. */
static enum MHD_Result
run_on_core_thread(AprAdminServer_t *server, struct MHD_Connection *connection,
                   const char *url, GByteArray *body)
{
    AprAdminRequest_t *request = new_admin_request(connection, url, body);
    AprEvent_t *event = AprEvent_New(APR_EVENT_ADMIN);
    enum MHD_Result result;

    if (request == NULL || event == NULL) {
        free(event);
        return MHD_NO;
    }
    event->admin = request;
    if (AprEvent_Post(server->inbox, event) != APR_OK) {
        free(event);
        free_admin_request(request);
        return queue_error_response(connection, 503,
                                    "the process is overloaded");
    }
    if (!wait_for_response(request)) {
        return queue_error_response(connection, 504,
                                    "the process did not answer");
    }
    result = queue_response(
        connection, request->status, "application/json",
        request->response_body == NULL ? "{}" : request->response_body);
    free_admin_request(request);
    return result;
}

static bool
is_read_only_path(const char *url)
{
    return strcmp(url, "/status") == 0 || strcmp(url, "/dump") == 0 ||
           strcmp(url, "/where") == 0 || strcmp(url, METRICS_PATH) == 0;
}

static enum MHD_Result
serve_request(AprAdminServer_t *server, struct MHD_Connection *connection,
              const char *url, const char *method, GByteArray *body)
{
    bool is_get = strcmp(method, "GET") == 0;
    char *text;
    enum MHD_Result result;

    if (strcmp(url, ANNOUNCE_PATH) == 0) {
        if (!AprHttp_IsFromLoopback(connection)) {
            return queue_error_response(
                connection, 403, "only this host may announce a backend");
        }
    }
    else if (!AprHttp_TokenMatches(connection, server->token)) {
        return queue_error_response(connection, 401,
                                    "the bearer token is wrong");
    }
    if (is_get != is_read_only_path(url)) {
        return queue_error_response(connection, 405,
                                    "use GET to read, else POST");
    }
    if (strcmp(url, METRICS_PATH) != 0) {
        return run_on_core_thread(server, connection, url, body);
    }
    text = AprMetrics_Format(server->metrics);
    result = queue_response(connection, 200, "text/plain; version=0.0.4",
                            text == NULL ? "" : text);
    free(text);
    return result;
}

/* Called by libmicrohttpd for the head of a request, for each part of its body
   and once more when the body is complete. */
static enum MHD_Result
access_handler(void *cls, struct MHD_Connection *connection, const char *url,
               const char *method, const char *version,
               const char *upload_data, size_t *upload_data_size,
               void **connection_context)
{
    GByteArray *body = *connection_context;

    (void)version;
    if (body == NULL) {
        *connection_context = g_byte_array_new();
        return MHD_YES;
    }
    if (*upload_data_size > 0) {
        if (body->len + *upload_data_size > ADMIN_MAX_BODY_BYTES) {
            return MHD_NO;
        }
        g_byte_array_append(body, (const guint8 *)upload_data,
                            (guint)*upload_data_size);
        *upload_data_size = 0;
        return MHD_YES;
    }
    return serve_request(cls, connection, url, method, body);
}

static void
on_request_completed(void *cls, struct MHD_Connection *connection,
                     void **connection_context,
                     enum MHD_RequestTerminationCode code)
{
    (void)cls;
    (void)connection;
    (void)code;
    if (*connection_context != NULL) {
        g_byte_array_free(*connection_context, TRUE);
        *connection_context = NULL;
    }
}

/* Starts the admin interface on `listen_admin` of the settings. Each
   connection has its own thread, because its requests block until the core
   thread responds. Returns NULL on failure, with the error set. */
AprAdminServer_t *
AprAdminServer_Start(const AprSettings_t *settings, AprRing_t *inbox,
                     AprMetrics_t *metrics, AprError_t *error)
{
    AprAdminServer_t *server = calloc(1, sizeof(*server));
    struct sockaddr_in address;

    if (server == NULL ||
        AprHttp_ParseAddress(settings->listen_admin, &address) != APR_OK) {
        AprError_Set(error, APR_E_INVALID, APR_STEP_ENTRY,
                     settings->listen_admin, "not an IP:port address");
        free(server);
        return NULL;
    }
    server->inbox = inbox;
    server->metrics = metrics;
    g_strlcpy(server->token, settings->admin_token, sizeof(server->token));
    server->daemon = MHD_start_daemon(
        MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD |
            MHD_USE_ITC,
        0, NULL, NULL, access_handler, server, MHD_OPTION_SOCK_ADDR, &address,
        MHD_OPTION_CONNECTION_LIMIT, (unsigned)ADMIN_MAX_CONNECTIONS,
        MHD_OPTION_CONNECTION_TIMEOUT, (unsigned)ADMIN_IDLE_TIMEOUT_S,
        MHD_OPTION_NOTIFY_COMPLETED, on_request_completed, NULL,
        MHD_OPTION_END);
    if (server->daemon == NULL) {
        AprError_Set(error, APR_E_IO, APR_STEP_ENTRY, settings->listen_admin,
                     "cannot listen: %s", strerror(errno));
        free(server);
        return NULL;
    }
    return server;
}

/* Stops the admin interface and frees the server; NULL is ignored. The core
   thread must still run, because open requests wait for it. */
void
AprAdminServer_Stop(AprAdminServer_t *server)
{
    if (server != NULL) {
        MHD_stop_daemon(server->daemon);
        free(server);
    }
}
