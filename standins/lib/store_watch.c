#include "standins/lib/store_server_private.h"

#include <stdlib.h>
#include <string.h>

/* Interval at which an idle watch checks for expired leases and for a closed
   connection. */
#define WATCH_POLL_MS 50
#define WATCH_BLOCK_BYTES (256u << 10)

typedef struct Watch_t {
    AprStoreServer_t *server;
    struct MHD_Connection *client;
    json_t *request;       /* the create_request */
    int64_t next_revision; /* first revision not yet reported */
    GString *pending;      /* lines to send */
    size_t sent_bytes;     /* bytes of `pending` that were sent */
    bool confirmed;        /* `created` was appended to `pending` */
    bool ended;            /* closes after `pending` was sent */
} Watch_t;

/* Appends a message line with the result, which it takes ownership of. */
static void
append_line(Watch_t *watch, json_t *result)
{
    json_t *message = json_object();
    char *text;

    json_object_set_new(message, "result", result);
    text = json_dumps(message, JSON_COMPACT);
    g_string_append(watch->pending, text);
    g_string_append_c(watch->pending, '\n');
    free(text);
    json_decref(message);
}

static json_t *
new_watch_result(const AprStoreServer_t *server)
{
    json_t *result = json_object();

    json_object_set_new(result, "header",
                        AprStoreData_NewHeader(server->data));
    return result;
}

/* Confirms the watch, and cancels it if the history no longer holds its start
   revision. */
static void
append_confirmation(Watch_t *watch)
{
    AprStoreServer_t *server = watch->server;
    int64_t oldest = AprStoreData_OldestRevision(server->data);
    json_t *result = new_watch_result(server);

    watch->confirmed = true;
    json_object_set_new(result, "created", json_true());
    append_line(watch, result);
    if (watch->next_revision < oldest) {
        result = new_watch_result(server);
        json_object_set_new(result, "canceled", json_true());
        json_object_set_new(result, "compact_revision",
                            json_sprintf("%lld", (long long)oldest));
        append_line(watch, result);
        watch->ended = true;
    }
}

/* Appends the events since the last report, if there are any. */
static void
append_events(Watch_t *watch)
{
    AprStoreServer_t *server = watch->server;
    int64_t revision = AprStoreData_Revision(server->data);
    json_t *events;
    json_t *result;

    if (revision < watch->next_revision) {
        return;
    }
    events = AprStoreData_ListEvents(server->data, watch->request,
                                     watch->next_revision);
    watch->next_revision = revision + 1;
    if (json_array_size(events) == 0) {
        json_decref(events);
        return;
    }
    result = new_watch_result(server);
    json_object_set_new(result, "events", events);
    append_line(watch, result);
}

/* Waits until the watch has data to send. Returns false if its connection must
   be cut or has been closed. The mutex is held, and released while
   waiting. */
static bool
wait_for_output(Watch_t *watch)
{
    AprStoreServer_t *server = watch->server;

    g_string_truncate(watch->pending, 0);
    watch->sent_bytes = 0;
    while (watch->pending->len == 0 && !watch->ended) {
        if (server->stopping || server->mode == APR_STORE_DOWN ||
            AprStandinHttp_IsClosed(watch->client)) {
            return false;
        }
        AprStoreData_ExpireLeases(server->data, AprStoreServer_NowMs());
        if (!watch->confirmed) {
            append_confirmation(watch);
        }
        else {
            append_events(watch);
        }
        if (watch->pending->len == 0) {
            AprStoreServer_WaitForChange(server, WATCH_POLL_MS);
        }
    }
    return true;
}

/* Content reader of libmicrohttpd for the response of a watch. */
static ssize_t
read_watch_output(void *context, uint64_t position, char *buffer,
                  size_t capacity)
{
    Watch_t *watch = context;
    size_t size;
    bool alive = true;

    (void)position;
    if (watch->sent_bytes == watch->pending->len) {
        if (watch->ended) {
            return MHD_CONTENT_READER_END_OF_STREAM;
        }
        pthread_mutex_lock(&watch->server->mutex);
        alive = wait_for_output(watch);
        pthread_mutex_unlock(&watch->server->mutex);
    }
    if (!alive) {
        return MHD_CONTENT_READER_END_WITH_ERROR;
    }
    size = MIN(capacity, watch->pending->len - watch->sent_bytes);
    memcpy(buffer, watch->pending->str + watch->sent_bytes, size);
    watch->sent_bytes += size;
    return (ssize_t)size;
}

static void
free_watch(void *context)
{
    Watch_t *watch = context;

    pthread_mutex_lock(&watch->server->mutex);
    watch->server->counts.watches_open--;
    pthread_mutex_unlock(&watch->server->mutex);
    json_decref(watch->request);
    g_string_free(watch->pending, TRUE);
    free(watch);
}

/* Starts a watch. The mutex is held, and released while the response is
   queued. */
enum MHD_Result
AprStoreServer_BeginWatch(AprStoreServer_t *server,
                          struct MHD_Connection *client, const json_t *request)
{
    json_t *create = json_object_get(request, "create_request");
    Watch_t *watch = calloc(1, sizeof(*watch));
    struct MHD_Response *response;
    enum MHD_Result result;
    const json_t *start;

    if (create == NULL) {
        create = json_object_get(request, "createRequest");
    }
    start = json_object_get(create, "start_revision");
    watch->server = server;
    watch->client = client;
    watch->request = json_incref(create);
    watch->pending = g_string_new(NULL);
    watch->next_revision =
        json_is_string(start)
            ? g_ascii_strtoll(json_string_value(start), NULL, 10)
            : json_integer_value(start);
    if (watch->next_revision <= 0) {
        watch->next_revision = AprStoreData_Revision(server->data) + 1;
    }
    server->counts.watches_open++;
    response = MHD_create_response_from_callback(
        MHD_SIZE_UNKNOWN, WATCH_BLOCK_BYTES, read_watch_output, watch,
        free_watch);
    MHD_add_response_header(response, "Content-Type", "application/json");
    pthread_mutex_unlock(&server->mutex);
    result = MHD_queue_response(client, MHD_HTTP_OK, response);
    MHD_destroy_response(response);
    pthread_mutex_lock(&server->mutex);
    return result;
}
