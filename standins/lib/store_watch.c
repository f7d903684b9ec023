#include "standins/lib/store_server_private.h"

#include <stdlib.h>
#include <string.h>

/* How often a waiting watch looks for expired leases and for a caller that
   has gone. */
#define WATCH_TICK_MS 50
#define WATCH_BLOCK_BYTES (256u << 10)

typedef struct Watch_t {
    AprStoreServer_t *server;
    struct MHD_Connection *client;
    json_t *request; /* the create_request */
    int64_t next;    /* first revision that was not reported */
    GString *pending;
    size_t sent;  /* bytes of `pending` */
    bool created; /* the confirmation was queued */
    bool ended;
} Watch_t;

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
result_object(const AprStoreServer_t *server)
{
    json_t *result = json_object();

    json_object_set_new(result, "header", AprStoreData_Header(server->data));
    return result;
}

/* Confirms the watch, or cancels it when its start was dropped from the
   history. */
static void
append_created(Watch_t *watch)
{
    AprStoreServer_t *server = watch->server;
    int64_t oldest = AprStoreData_OldestRevision(server->data);
    json_t *result = result_object(server);

    watch->created = true;
    json_object_set_new(result, "created", json_true());
    append_line(watch, result);
    if (watch->next < oldest) {
        result = result_object(server);
        json_object_set_new(result, "canceled", json_true());
        json_object_set_new(result, "compact_revision",
                            json_sprintf("%lld", (long long)oldest));
        append_line(watch, result);
        watch->ended = true;
    }
}

static void
append_events(Watch_t *watch)
{
    AprStoreServer_t *server = watch->server;
    int64_t revision = AprStoreData_Revision(server->data);
    json_t *events;
    json_t *result;

    if (revision < watch->next) {
        return;
    }
    events = AprStoreData_Events(server->data, watch->request, watch->next);
    watch->next = revision + 1;
    if (json_array_size(events) == 0) {
        json_decref(events);
        return;
    }
    result = result_object(server);
    json_object_set_new(result, "events", events);
    append_line(watch, result);
}

/* Waits until the watch has something to send. Returns false when it is to be
   cut. The mutex is held. */
static bool
fill_pending(Watch_t *watch)
{
    AprStoreServer_t *server = watch->server;

    g_string_truncate(watch->pending, 0);
    watch->sent = 0;
    while (watch->pending->len == 0 && !watch->ended) {
        if (server->stopping || server->mode == APR_STORE_DOWN ||
            AprStandinHttp_Closed(watch->client)) {
            return false;
        }
        AprStoreData_Expire(server->data, AprStoreServer_NowMs());
        if (!watch->created) {
            append_created(watch);
        }
        else {
            append_events(watch);
        }
        if (watch->pending->len == 0) {
            AprStoreServer_Wait(server, WATCH_TICK_MS);
        }
    }
    return true;
}

static ssize_t
read_watch(void *context, uint64_t position, char *buffer, size_t capacity)
{
    Watch_t *watch = context;
    size_t size;
    bool alive = true;

    (void)position;
    if (watch->sent == watch->pending->len) {
        if (watch->ended) {
            return MHD_CONTENT_READER_END_OF_STREAM;
        }
        pthread_mutex_lock(&watch->server->mutex);
        alive = fill_pending(watch);
        pthread_mutex_unlock(&watch->server->mutex);
    }
    if (!alive) {
        return MHD_CONTENT_READER_END_WITH_ERROR;
    }
    size = MIN(capacity, watch->pending->len - watch->sent);
    memcpy(buffer, watch->pending->str + watch->sent, size);
    watch->sent += size;
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

/* Begins a watch. The mutex is held. */
enum MHD_Result
AprStoreServer_Watch(AprStoreServer_t *server, struct MHD_Connection *client,
                     const json_t *request)
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
    watch->next = json_is_string(start)
                      ? g_ascii_strtoll(json_string_value(start), NULL, 10)
                      : json_integer_value(start);
    if (watch->next <= 0) {
        watch->next = AprStoreData_Revision(server->data) + 1;
    }
    server->counts.watches_open++;
    response = MHD_create_response_from_callback(
        MHD_SIZE_UNKNOWN, WATCH_BLOCK_BYTES, read_watch, watch, free_watch);
    MHD_add_response_header(response, "Content-Type", "application/json");
    pthread_mutex_unlock(&server->mutex);
    result = MHD_queue_response(client, MHD_HTTP_OK, response);
    MHD_destroy_response(response);
    pthread_mutex_lock(&server->mutex);
    return result;
}
