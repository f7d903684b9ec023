/* Health probes of the local backend server, on a connection of their own. */

#include "internal/health_probe.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include "apricot/error.h"
#include "internal/backend_conn.h"
#include "internal/http_message.h"
#include "internal/stream.h"

/* The health path answers at once, even if all slots are busy. A probe without
   a response for this time has failed, and its connection is closed. */
#define RESPONSE_TIMEOUT_MS 1000

/* After a failed probe the next one waits for this many intervals. */
#define FAILURE_PAUSE_INTERVALS 4

/* While more than this many intervals of the cold time remain, its end is not
   looked for. */
#define QUIET_INTERVALS 2

/* Part of the limit for a cold backend server after which a probe is due
   before the interval has passed, so that a backend server that becomes cold
   under high load does not get its limit before this is noticed. */
#define DUE_WINDOW_FRACTION 0.5

struct AprHealthProbe_t {
    AprGateway_t *gateway;
    AprBackendCold_t *cold;
    AprStream_t *stream; /* NULL: not connected */
    AprHttpParser_t *parser;
    bool awaiting_response;
    bool interim;  /* the response being read is a 1xx one */
    bool complete; /* the response has been read */
    bool keep_alive;
    AprBackendIncarnation_t incarnation; /* at the time of the last probe */
    int64_t sent_ms;                     /* of the last probe */
    uint64_t sent_count;                 /* requests until the last probe */
    int64_t not_before_ms;               /* the next probe waits until then */
};

/* Returns the value of the header with the remaining cold time; -1 if it is
   missing or no number of milliseconds. */
static int64_t
parse_cold_left_ms(const AprHeaderNames_t *names, const AprHttpHead_t *head)
{
    char text[32];
    char *end;
    long long left_ms;

    if (names->cold_left == NULL ||
        AprHttpHead_CopyValue(head, names->cold_left, text, sizeof(text)) !=
            APR_OK) {
        return -1;
    }
    errno = 0;
    left_ms = strtoll(text, &end, 10);
    return errno != 0 || end == text || *end != '\0' || left_ms < 0 ? -1
                                                                    : left_ms;
}

/* Returns whether the backend server of the last heartbeat sent a response, as
   far as the response tells: after a restart another one may have taken over
   the address. */
static bool
is_from_known_incarnation(const AprHealthProbe_t *probe,
                          const AprHttpHead_t *head)
{
    const char *name = probe->gateway->header_names->incarnation;
    const char *known = AprBackend_GetIncarnation(probe->gateway->backend)->id;
    char id[APR_NAME_SIZE];

    if (name == NULL) {
        return true;
    }
    switch (AprHttpHead_CopyValue(head, name, id, sizeof(id))) {
    case APR_OK:
        return strcmp(id, known) == 0;
    case APR_E_NOT_FOUND:
        return true;
    default:
        return false;
    }
}

/* Reads what the backend server tells about itself in the response to a probe:
   the remaining cold time and its load. */
static void
apply_response(AprHealthProbe_t *probe, const AprHttpHead_t *head)
{
    const AprHeaderNames_t *names = probe->gateway->header_names;
    int64_t cold_left_ms = parse_cold_left_ms(names, head);
    AprBackendNotice_t notice = {.request_limit = APR_NO_REQUEST_LIMIT};

    if (!is_from_known_incarnation(probe, head)) {
        AprGateway_IncrementCounter(
            probe->gateway, "health_probe_other_incarnation_total", "");
        return;
    }
    /* A heartbeat that arrived after the probe was sent may be newer. */
    if (cold_left_ms >= 0 && probe->cold->reported_ms <= probe->sent_ms) {
        AprBackendCold_Report(probe->cold, cold_left_ms);
    }
    AprBackendNotice_ReadLoad(&notice, names, head);
    AprBackend_RecordProbedLoad(probe->gateway->backend, &probe->incarnation,
                                &notice, probe->sent_ms);
}

static int
on_head(void *context, const AprHttpHead_t *head)
{
    AprHealthProbe_t *probe = context;

    probe->interim = head->status < 200;
    if (!probe->interim) {
        probe->keep_alive = head->keep_alive;
        apply_response(probe, head);
    }
    return 0;
}

static int
on_body(void *context, const char *data, size_t size)
{
    (void)context;
    (void)data;
    (void)size;
    return 0;
}

static int
on_complete(void *context)
{
    AprHealthProbe_t *probe = context;

    if (!probe->interim) {
        probe->complete = true;
        AprHttpParser_SetPaused(probe->parser, true);
    }
    return 0;
}

static const AprHttpHandler_t http_handler = {on_head, on_body, on_complete};

static void
disconnect(AprHealthProbe_t *probe)
{
    if (probe->stream != NULL) {
        AprStream_Close(probe->stream);
        probe->stream = NULL;
    }
    AprHttpParser_Free(probe->parser);
    probe->parser = NULL;
    probe->awaiting_response = false;
}

/* Ends a probe that got no response and waits longer than usual. */
static void
fail_probe(AprHealthProbe_t *probe)
{
    probe->not_before_ms = AprGateway_NowMs(probe->gateway) +
                           (int64_t)(FAILURE_PAUSE_INTERVALS *
                                     probe->gateway->settings.cold_probe_ms);
    AprGateway_IncrementCounter(probe->gateway, "health_probe_failures_total",
                                "");
    disconnect(probe);
}

static void
on_data(void *context, const char *data, size_t size)
{
    AprHealthProbe_t *probe = context;
    size_t used = 0;
    int result = APR_E_CLOSED;

    if (probe->awaiting_response) {
        result = AprHttpParser_Execute(probe->parser, data, size, &used);
    }
    if (probe->complete && probe->keep_alive && used == size) {
        probe->awaiting_response = false;
        AprHttpParser_SetPaused(probe->parser, false);
        AprHttpParser_Reset(probe->parser);
    }
    else if (probe->complete) {
        disconnect(probe);
    }
    else if (result != APR_OK) {
        fail_probe(probe);
    }
}

static void
on_close(void *context, int error)
{
    AprHealthProbe_t *probe = context;

    (void)error;
    probe->stream = NULL;
    if (probe->awaiting_response) {
        fail_probe(probe);
    }
    else {
        disconnect(probe);
    }
}

static const AprStreamHandler_t stream_handler = {on_data, on_close, NULL};

/* Connects to the backend server unless connected. Returns false when that
   fails at once. */
static bool
ensure_connected(AprHealthProbe_t *probe)
{
    if (probe->stream != NULL) {
        return true;
    }
    probe->parser = AprHttpParser_New(HTTP_RESPONSE, &http_handler, probe);
    if (probe->parser != NULL) {
        probe->stream = AprStream_Connect(
            probe->gateway->streams, probe->gateway->settings.backend_address,
            &stream_handler, probe);
    }
    return probe->stream != NULL;
}

static void
send_probe(AprHealthProbe_t *probe, const char *path, int64_t now_ms)
{
    AprBuffer_t text = {0};

    if (!ensure_connected(probe)) {
        fail_probe(probe);
        return;
    }
    AprBuffer_AppendFormat(&text, "GET %s HTTP/1.1\r\nHost: %s\r\n\r\n", path,
                           probe->gateway->settings.backend_address);
    AprStream_Write(probe->stream, AprBuffer_Data(&text),
                    AprBuffer_Size(&text));
    AprBuffer_Free(&text);
    AprBackendCold_CountProbe(probe->cold);
    probe->awaiting_response = true;
    probe->complete = false;
    probe->incarnation = *AprBackend_GetIncarnation(probe->gateway->backend);
    probe->sent_ms = now_ms;
    probe->sent_count = probe->cold->limit.sent_count;
}

/* Returns whether the next probe should be sent now. */
static bool
is_due(const AprHealthProbe_t *probe, int64_t now_ms)
{
    const AprColdLimit_t *limit = &probe->cold->limit;
    int64_t interval_ms = (int64_t)probe->gateway->settings.cold_probe_ms;
    bool much_sent = (double)(limit->sent_count - probe->sent_count) >=
                     DUE_WINDOW_FRACTION * limit->window_limit;

    if (probe->awaiting_response || now_ms < probe->not_before_ms) {
        return false;
    }
    if (AprColdLimit_IsCold(limit, now_ms)) {
        return now_ms - probe->sent_ms >= interval_ms &&
               AprColdLimit_RemainingMs(limit, now_ms) <=
                   QUIET_INTERVALS * interval_ms &&
               AprColdLimit_HasRoom(limit, now_ms);
    }
    return now_ms - probe->sent_ms >= interval_ms || much_sent;
}

/* Creates the probe; it is connected when it is first due. Returns NULL when
   out of memory. */
AprHealthProbe_t *
AprHealthProbe_New(AprGateway_t *gateway, AprBackendCold_t *cold)
{
    AprHealthProbe_t *probe = calloc(1, sizeof(*probe));

    if (probe != NULL) {
        probe->gateway = gateway;
        probe->cold = cold;
    }
    return probe;
}

/* Closes the connection and frees the probe; NULL is ignored. */
void
AprHealthProbe_Free(AprHealthProbe_t *probe)
{
    if (probe != NULL) {
        disconnect(probe);
        free(probe);
    }
}

/* Sends a probe when one is due and ends one without a response. Without a
   limit for cold backend servers, or before the first heartbeat, there are
   none. */
void
AprHealthProbe_Tick(AprHealthProbe_t *probe)
{
    AprGateway_t *gateway = probe->gateway;
    const AprServiceSpec_t *service = AprGateway_GetBackendService(gateway);
    int64_t now_ms = AprGateway_NowMs(gateway);

    if (probe->awaiting_response &&
        now_ms - probe->sent_ms > RESPONSE_TIMEOUT_MS) {
        fail_probe(probe);
    }
    if (service == NULL || service->cold_requests_per_s <= 0 ||
        service->health_path[0] != '/' ||
        gateway->settings.cold_probe_ms <= 0 ||
        AprBackend_GetIncarnation(gateway->backend)->id[0] == '\0') {
        return;
    }
    if (is_due(probe, now_ms)) {
        send_probe(probe, service->health_path, now_ms);
    }
}
