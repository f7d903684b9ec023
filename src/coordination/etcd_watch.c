#include "internal/etcd.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include "apricot/clock.h"
#include "internal/etcd_json.h"

/* `stop` must take effect within 200 ms; a shorter interval leaves time for a
   visit. */
#define STOP_POLL_INTERVAL_MS 50
#define MAX_LINE_BYTES (64u << 20)
/* A watch has no traffic while nothing changes. Without TCP keepalive probes
   it would wait forever after a network failure. */
#define KEEPALIVE_IDLE_S 2
#define KEEPALIVE_INTERVAL_S 1
#define KEEPALIVE_TIMEOUT_MS 5000

typedef struct WatchStream_t {
    AprStoreVisitor_t visit;
    void *visit_context;
    AprStoreShouldStop_t stop;
    void *stop_context;
    CURL *curl;
    GString *buffer; /* bytes after the last complete line */
    AprEtcdWatchState_t state;
    bool malformed;
} WatchStream_t;

static int
set_keepalive(void *context, curl_socket_t fd, curlsocktype purpose)
{
    int on = 1;
    int idle = KEEPALIVE_IDLE_S;
    int interval = KEEPALIVE_INTERVAL_S;
    unsigned timeout = KEEPALIVE_TIMEOUT_MS;

    (void)context;
    (void)purpose;
    setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
    setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &idle, sizeof(idle));
    setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &interval, sizeof(interval));
    setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout, sizeof(timeout));
    return CURL_SOCKOPT_OK;
}

/* Parses the complete lines of the buffer, one message each, and removes
   them. */
static void
parse_complete_lines(WatchStream_t *stream)
{
    size_t start = 0;
    char *end;

    while (!stream->malformed && !stream->state.canceled &&
           (end = memchr(stream->buffer->str + start, '\n',
                         stream->buffer->len - start)) != NULL) {
        size_t size = (size_t)(end - stream->buffer->str) - start;

        if (stream->stop(stream->stop_context)) {
            return;
        }
        if (AprEtcdJson_ParseWatch(stream->buffer->str + start, size,
                                   &stream->state, stream->visit,
                                   stream->visit_context) != APR_OK) {
            stream->malformed = true;
        }
        start += size + 1;
    }
    g_string_erase(stream->buffer, 0, (gssize)start);
}

static size_t
on_response_data(char *data, size_t size, size_t count, void *context)
{
    WatchStream_t *stream = context;
    size_t bytes = size * count;
    long status = 0;

    curl_easy_getinfo(stream->curl, CURLINFO_RESPONSE_CODE, &status);
    if (status != 200 || stream->buffer->len + bytes > MAX_LINE_BYTES) {
        return 0;
    }
    g_string_append_len(stream->buffer, data, (gssize)bytes);
    parse_complete_lines(stream);
    return stream->malformed || stream->state.canceled ? 0 : bytes;
}

/* Runs the transfer until it ends, `stop` returns true, or the store has not
   confirmed the watch within `timeout_ms`. Returns whether `stop` ended it. */
static bool
run_stream(WatchStream_t *stream, CURLM *multi, int timeout_ms)
{
    AprClock_t clock = AprClock_System();
    struct timespec confirm_deadline =
        AprTime_AddMs(AprClock_Now(&clock), timeout_ms);
    int running = 1;

    while (running > 0) {
        if (stream->stop(stream->stop_context)) {
            return true;
        }
        if (curl_multi_perform(multi, &running) != CURLM_OK) {
            return false;
        }
        if (!stream->state.created &&
            AprTime_IsBefore(confirm_deadline, AprClock_Now(&clock))) {
            return false;
        }
        if (running > 0) {
            curl_multi_poll(multi, NULL, 0, STOP_POLL_INTERVAL_MS, NULL);
        }
    }
    return stream->stop(stream->stop_context);
}

static int
watch_endpoint(AprEtcd_t *etcd, WatchStream_t *stream, const char *endpoint,
               const char *request, bool *stopped)
{
    CURLM *multi = curl_multi_init();

    stream->curl = curl_easy_init();
    if (multi == NULL || stream->curl == NULL) {
        goto error;
    }
    AprEtcd_SetRequestOptions(etcd, stream->curl, endpoint, "/v3/watch",
                              request);
    curl_easy_setopt(stream->curl, CURLOPT_SOCKOPTFUNCTION, set_keepalive);
    curl_easy_setopt(stream->curl, CURLOPT_WRITEFUNCTION, on_response_data);
    curl_easy_setopt(stream->curl, CURLOPT_WRITEDATA, stream);
    if (curl_multi_add_handle(multi, stream->curl) != CURLM_OK) {
        goto error;
    }
    *stopped = run_stream(stream, multi, etcd->timeout_ms);
    curl_multi_remove_handle(multi, stream->curl);
    curl_easy_cleanup(stream->curl);
    curl_multi_cleanup(multi);
    return APR_OK;

error:
    curl_easy_cleanup(stream->curl);
    curl_multi_cleanup(multi);
    return APR_E_NOMEM;
}

static int
set_watch_error(const WatchStream_t *stream, const char *endpoint,
                AprError_t *error)
{
    if (stream->state.canceled) {
        return AprError_Set(
            error, APR_E_CLOSED, APR_STEP_STORE, endpoint,
            "the store has compacted its history before revision %lld",
            (long long)stream->state.compact_revision);
    }
    if (stream->malformed) {
        return AprError_Set(error, APR_E_CLOSED, APR_STEP_STORE, endpoint,
                            "malformed message in the watch");
    }
    if (stream->state.created) {
        return AprError_Set(error, APR_E_CLOSED, APR_STEP_STORE, endpoint,
                            "the watch stream ended");
    }
    return AprError_Set(error, APR_E_UNAVAILABLE, APR_STEP_STORE, endpoint,
                        "the watch could not be opened");
}

/* Reports changes of keys with the prefix from `revision` on. Returns APR_OK
   when `stop`, which is polled at least every 100 ms, returned true;
   APR_E_CLOSED when an open watch ended or the store no longer holds the
   revision; APR_E_UNAVAILABLE when no endpoint confirmed the watch within the
   timeout. */
int
AprEtcd_Watch(void *context, const char *prefix, int64_t revision,
              AprStoreVisitor_t visit, void *visit_context,
              AprStoreShouldStop_t stop, void *stop_context, AprError_t *error)
{
    AprEtcd_t *etcd = context;
    WatchStream_t stream = {.visit = visit,
                            .visit_context = visit_context,
                            .stop = stop,
                            .stop_context = stop_context};
    char *request = AprEtcdJson_WatchRequest(prefix, revision);
    int first = atomic_load(&etcd->preferred_endpoint);
    int result = APR_E_UNAVAILABLE;
    bool stopped = false;

    stream.buffer = g_string_new(NULL);
    for (int i = 0; i < etcd->endpoint_count && !stopped &&
                    !stream.state.created && !stream.state.canceled;
         i++) {
        const char *endpoint =
            etcd->endpoints[(first + i) % etcd->endpoint_count];

        g_string_truncate(stream.buffer, 0);
        stream.malformed = false;
        if (watch_endpoint(etcd, &stream, endpoint, request, &stopped) !=
            APR_OK) {
            result = AprError_Set(error, APR_E_UNAVAILABLE, APR_STEP_STORE,
                                  endpoint, "out of memory");
            break;
        }
        result = stopped ? APR_OK : set_watch_error(&stream, endpoint, error);
    }
    g_string_free(stream.buffer, TRUE);
    free(request);
    return result;
}
