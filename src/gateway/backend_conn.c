#include "internal/backend_conn.h"

#include <errno.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "apricot/error.h"
#include "apricot/log.h"
#include "apricot/response_window.h"

/* An idle connection is closed this long before the backend server would close
   it, so that no request is sent while it closes. */
#define IDLE_MARGIN_MS 700

/* Idle limit when the response has no Keep-Alive timeout. */
#define IDLE_DEFAULT_MS 8000

/* Bytes that may precede the response to the present request: interim
   responses, and late copies of responses to earlier requests. A connection
   with more of them carries bytes without end. */
#define MAX_DISCARDED_BYTES APR_CALL_WINDOW_BYTES

/* Passes the response head without hop-by-hop headers to the caller. */
static int
forward_response_head(AprBackendConn_t *conn, const AprHttpHead_t *head)
{
    const char *text = AprBuffer_Data(&head->text);
    AprBackendCall_t *call = conn->call;
    AprResponseHead_t response;
    AprBuffer_t lines = {0};

    for (int i = 0; i < head->header_count; i++) {
        const AprHttpHeader_t *header = &head->headers[i];

        if (AprHttpHeader_IsHopByHop(head, header)) {
            continue;
        }
        AprBuffer_AppendFormat(
            &lines, "%.*s: %.*s\r\n", (int)header->name_size,
            text + header->name_offset, (int)header->value_size,
            text + header->value_offset);
    }
    AprBuffer_Append(&lines, "", 1);
    response.status = head->status;
    response.headers = lines.data;
    response.has_length = head->has_content_length;
    response.length = head->content_length;
    if (!call->detached) {
        call->handlers.on_response_head(call->context, &response);
    }
    AprBuffer_Free(&lines);
    return 0;
}

/* Returns the timeout of the Keep-Alive header, which is in whole seconds, in
   milliseconds; -1 when there is none. */
static int64_t
parse_keep_alive_ms(const AprHttpHead_t *head)
{
    char value[64];
    const char *timeout;

    if (AprHttpHead_CopyValue(head, "Keep-Alive", value, sizeof(value)) !=
        APR_OK) {
        return -1;
    }
    timeout = strcasestr(value, "timeout=");
    return timeout == NULL
               ? -1
               : strtol(timeout + strlen("timeout="), NULL, 10) * 1000;
}

/* Counts bytes that do not belong to the response. Returns 1, which stops the
   parser, when there are too many. */
static int
discard_bytes(AprBackendConn_t *conn, size_t size)
{
    conn->discarded_bytes += size;
    if (conn->discarded_bytes <= MAX_DISCARDED_BYTES) {
        return 0;
    }
    AprLog_Write(APR_LOG_WARN, "answer_endless", "request=%s bytes=%zu",
                 conn->call->head.id, conn->discarded_bytes);
    return 1;
}

/* To which request a response belongs. */
typedef enum ResponseOwner_t {
    RESPONSE_OWN,
    RESPONSE_FOREIGN, /* a late one to an earlier request */
    RESPONSE_UNKNOWN  /* it should name its request, but does not */
} ResponseOwner_t;

static ResponseOwner_t
find_response_owner(const AprBackendConn_t *conn, const AprHttpHead_t *head)
{
    const AprHeaderNames_t *names = conn->gateway->header_names;
    const char *expected = conn->call->head.id;
    size_t size = 0;
    const char *found = AprHttpHead_FindValue(head, names->attempt_id, &size);
    char id[APR_CALL_ID_SIZE];

    if (found == NULL) {
        return names->attempt_id_echoed && expected[0] != '\0'
                   ? RESPONSE_UNKNOWN
                   : RESPONSE_OWN;
    }
    AprCallId_Set(id, found, size);
    if (strcmp(id, expected) == 0) {
        return RESPONSE_OWN;
    }
    AprLog_Write(APR_LOG_WARN, "answer_dropped", "request=%s belongs_to=%s",
                 expected, id);
    return RESPONSE_FOREIGN;
}

/* Reads the load that a response reports, if any, into `notice`, whose other
   members stay. */
void
AprBackendNotice_ReadLoad(AprBackendNotice_t *notice,
                          const AprHeaderNames_t *names,
                          const AprHttpHead_t *head)
{
    char text[64];

    if (names->server_load == NULL) {
        return;
    }
    switch (
        AprHttpHead_CopyValue(head, names->server_load, text, sizeof(text))) {
    case APR_OK:
        notice->load_invalid = !AprServerLoad_Parse(text, &notice->load);
        break;
    case APR_E_NOT_FOUND:
        break;
    default:
        notice->load_invalid = true;
        break;
    }
}

/* Reads what the backend server tells about itself. A limit that is no number
   of requests counts as none. */
static AprBackendNotice_t
parse_notice(const AprHeaderNames_t *names, const AprHttpHead_t *head)
{
    AprBackendNotice_t notice = {APR_NO_REQUEST_LIMIT, false, {0}, false};
    char text[64];
    char *end;

    if (AprHttpHead_CopyValue(head, names->request_limit, text,
                              sizeof(text)) == APR_OK) {
        double limit = g_ascii_strtod(text, &end);

        if (end != text && *end == '\0' && isfinite(limit) && limit >= 0) {
            notice.request_limit = limit;
        }
    }
    notice.leaving = AprHttpHead_CopyValue(head, names->leaving, text,
                                           sizeof(text)) == APR_OK &&
                     strcmp(text, "1") == 0;
    AprBackendNotice_ReadLoad(&notice, names, head);
    return notice;
}

static int
on_head(void *context, const AprHttpHead_t *head)
{
    AprBackendConn_t *conn = context;
    const AprHeaderNames_t *names = conn->gateway->header_names;
    AprBackendNotice_t notice;
    ResponseOwner_t owner;
    int64_t keep_ms;
    size_t size;

    if (conn->call == NULL) {
        return 1;
    }
    owner = head->status < 200 ? RESPONSE_FOREIGN
                               : find_response_owner(conn, head);
    if (owner == RESPONSE_UNKNOWN) {
        AprLog_Write(APR_LOG_WARN, "answer_without_id", "request=%s status=%d",
                     conn->call->head.id, head->status);
        return 1;
    }
    if (owner == RESPONSE_FOREIGN) {
        conn->discard_response = true;
        return discard_bytes(conn, AprBuffer_Size(&head->text) + 1);
    }
    conn->response_started = true;
    conn->response_has_length = head->has_content_length;
    notice = parse_notice(names, head);
    AprBackend_RecordResponse(conn->backend, &conn->incarnation, &notice);
    conn->keep_alive = head->keep_alive && conn->request_sent;
    keep_ms = parse_keep_alive_ms(head);
    if (keep_ms >= 0) {
        conn->idle_limit_ms = keep_ms - IDLE_MARGIN_MS;
    }
    if (AprHttpHead_FindValue(head, names->not_executed, &size) != NULL ||
        head->status == 421) {
        conn->not_run = true;
        return 0;
    }
    AprBackend_RecordOutcome(conn->backend, &conn->call->head,
                             head->status < 500);
    return forward_response_head(conn, head);
}

static void
set_undelivered(AprBackendConn_t *conn, size_t size)
{
    AprStreamSet_AddReceived(conn->gateway->streams, APR_MEMORY_BACKEND,
                             conn->undelivered_bytes, size);
    conn->undelivered_bytes = size;
}

/* Stops or resumes reading by the response bytes that the caller has not
   taken. Reading goes on when half of the window is free. Nothing is
   undelivered on a connection without a call, or when the caller has left. */
static void
update_reading(AprBackendConn_t *conn)
{
    size_t window = AprResponseWindow_Bytes(conn->gateway->settings.link_mbps);
    bool waits = conn->call != NULL && !conn->call->detached;

    if (conn->stream == NULL) {
        return;
    }
    if (!waits || conn->undelivered_bytes <= window / 2) {
        AprStream_SetReadPaused(conn->stream, false);
    }
    else if (conn->undelivered_bytes > window) {
        AprStream_SetReadPaused(conn->stream, true);
    }
}

static int
on_body(void *context, const char *data, size_t size)
{
    AprBackendConn_t *conn = context;
    AprBackendCall_t *call = conn->call;

    if (call == NULL || call->detached) {
        return 0;
    }
    if (conn->discard_response || conn->not_run) {
        return discard_bytes(conn, size);
    }
    set_undelivered(conn, conn->undelivered_bytes + size);
    update_reading(conn);
    call->handlers.on_data(call->context, data, size);
    return conn->free_after_parse ? 1 : 0;
}

static int
on_complete(void *context)
{
    AprBackendConn_t *conn = context;

    if (conn->discard_response) {
        conn->discard_response = false;
        return 0;
    }
    conn->response_complete = true;
    AprHttpParser_SetPaused(conn->parser, true);
    return 0;
}

static const AprHttpHandler_t http_handler = {on_head, on_body, on_complete};

/* Handles a complete response; `extra` is the number of bytes after it, which
   make the connection unusable. */
static void
finish_response(AprBackendConn_t *conn, size_t extra)
{
    AprConnOutcome_t outcome = APR_CONN_CLOSED;

    if (conn->not_run) {
        outcome = APR_CONN_NOT_RUN;
    }
    else if (conn->keep_alive && extra == 0) {
        outcome = APR_CONN_REUSABLE;
        conn->idle_since_ms = AprGateway_NowMs(conn->gateway);
        conn->reused = true;
        AprHttpParser_SetPaused(conn->parser, false);
        AprHttpParser_Reset(conn->parser);
        /* The link or the caller's connection holds what is undelivered. */
        set_undelivered(conn, 0);
        update_reading(conn);
    }
    AprBackend_OnConnDone(conn, outcome);
}

static void
on_data(void *context, const char *data, size_t size)
{
    AprBackendConn_t *conn = context;
    size_t used = 0;
    int result;

    if (conn->call == NULL) {
        /* Unexpected bytes on an idle connection. */
        AprBackend_OnConnDone(conn, APR_CONN_CLOSED);
        return;
    }
    conn->parsing = true;
    result = AprHttpParser_Execute(conn->parser, data, size, &used);
    conn->parsing = false;
    if (conn->free_after_parse) {
        AprBackendConn_Free(conn);
        return;
    }
    if (conn->response_complete) {
        finish_response(conn, size - used);
    }
    else if (result != APR_OK) {
        AprBackend_OnConnDone(conn, APR_CONN_MALFORMED);
    }
}

static void
on_close(void *context, int error)
{
    AprBackendConn_t *conn = context;
    bool connecting = AprStream_IsConnecting(conn->stream);

    conn->stream = NULL;
    if (conn->call == NULL) {
        AprBackend_OnConnDone(conn, APR_CONN_CLOSED);
        return;
    }
    if (connecting) {
        AprBackend_OnConnDone(conn, error == ECONNREFUSED
                                        ? APR_CONN_REFUSED
                                        : APR_CONN_CONNECT_FAILED);
        return;
    }
    if (error == 0 && conn->response_started) {
        int result;

        conn->parsing = true;
        result = AprHttpParser_OnConnectionEnd(conn->parser);
        conn->parsing = false;
        if (conn->free_after_parse) {
            AprBackendConn_Free(conn);
            return;
        }
        if (result == APR_OK && conn->response_complete) {
            AprBackend_OnConnDone(conn, conn->not_run ? APR_CONN_NOT_RUN
                                                      : APR_CONN_CLOSED);
            return;
        }
    }
    AprBackend_OnConnDone(conn, APR_CONN_BROKEN);
}

static void
on_drain(void *context)
{
    AprBackendConn_t *conn = context;
    AprBackendCall_t *call = conn->call;
    size_t size = conn->unwritten_body_bytes;

    conn->unwritten_body_bytes = 0;
    if (size > 0 && call != NULL && !call->detached) {
        call->handlers.on_body_consumed(call->context, size);
    }
}

static const AprStreamHandler_t stream_handler = {on_data, on_close, on_drain};

/* Starts to connect to the backend server. Returns NULL when that fails at
   once. The caller owns the connection. */
AprBackendConn_t *
AprBackendConn_Open(AprBackend_t *backend, AprGateway_t *gateway)
{
    AprBackendConn_t *conn = calloc(1, sizeof(*conn));

    if (conn == NULL) {
        return NULL;
    }
    conn->backend = backend;
    conn->gateway = gateway;
    conn->idle_limit_ms = IDLE_DEFAULT_MS;
    conn->parser = AprHttpParser_New(HTTP_RESPONSE, &http_handler, conn);
    conn->stream =
        AprStream_Connect(gateway->streams, gateway->settings.backend_address,
                          &stream_handler, conn);
    if (conn->parser == NULL || conn->stream == NULL) {
        AprBackendConn_Free(conn);
        return NULL;
    }
    AprStream_SetKind(conn->stream, APR_MEMORY_BACKEND);
    AprStream_AllowPausedReader(conn->stream);
    return conn;
}

/* Closes a connection and frees it; within a parser callback, the memory is
   freed when the parser returns. */
void
AprBackendConn_Free(AprBackendConn_t *conn)
{
    if (conn->stream != NULL) {
        AprStream_Close(conn->stream);
        conn->stream = NULL;
    }
    if (conn->parsing) {
        conn->free_after_parse = true;
        return;
    }
    set_undelivered(conn, 0);
    AprHttpParser_Free(conn->parser);
    free(conn);
}

/* Writes a part of the request body, chunked if the request is. */
static void
write_body(AprBackendConn_t *conn, const char *data, size_t size, bool end)
{
    char line[32];

    if (size > 0 && conn->request_chunked) {
        snprintf(line, sizeof(line), "%zx\r\n", size);
        AprStream_Write(conn->stream, line, strlen(line));
    }
    if (size > 0) {
        AprStream_Write(conn->stream, data, size);
        if (conn->request_chunked) {
            AprStream_Write(conn->stream, "\r\n", 2);
        }
    }
    if (end) {
        if (conn->request_chunked) {
            AprStream_Write(conn->stream, "0\r\n\r\n", 5);
        }
        conn->request_sent = true;
    }
}

static bool
has_body(const AprBackendCall_t *call)
{
    return !call->body_complete || AprBuffer_Size(&call->body) > 0 ||
           (call->head.has_length && call->head.length > 0);
}

/* Sends the request head of a call and the part of its body that has arrived.
   The connection refers to the call until AprBackend_OnConnDone(). */
void
AprBackendConn_SendRequest(AprBackendConn_t *conn, AprBackendCall_t *call,
                           const AprBackendIncarnation_t *incarnation,
                           int64_t now_ms)
{
    const AprHeaderNames_t *names = conn->gateway->header_names;
    const AprCallHead_t *head = &call->head;
    int64_t left_ms = head->deadline_ms - now_ms;
    AprBuffer_t text = {0};

    conn->call = call;
    call->conn = conn;
    conn->incarnation = *incarnation;
    conn->response_started = false;
    conn->discard_response = false;
    conn->response_complete = false;
    conn->response_has_length = false;
    conn->discarded_bytes = 0;
    conn->not_run = false;
    conn->request_sent = false;
    set_undelivered(conn, 0);
    conn->unwritten_body_bytes = 0;
    conn->request_chunked = !head->has_length && has_body(call);
    AprHttpParser_SetBodyOmitted(conn->parser,
                                 strcmp(head->method, "HEAD") == 0);
    AprBuffer_AppendFormat(&text, "%s %s HTTP/1.1\r\n%s%s: %lld\r\n%s: %s\r\n",
                           head->method, head->target, head->headers,
                           names->timeout,
                           (long long)(left_ms > 1 ? left_ms : 1),
                           names->caller_service, head->caller);
    AprBuffer_AppendFormat(&text, "%s: %s\r\n", names->expected_incarnation,
                           incarnation->id);
    if (conn->request_chunked) {
        AprBuffer_AppendFormat(&text, "Transfer-Encoding: chunked\r\n");
    }
    else if (head->has_length) {
        AprBuffer_AppendFormat(&text, "Content-Length: %llu\r\n",
                               (unsigned long long)head->length);
    }
    AprBuffer_AppendFormat(&text, "\r\n");
    AprStream_Write(conn->stream, AprBuffer_Data(&text),
                    AprBuffer_Size(&text));
    AprBuffer_Free(&text);
    conn->unwritten_body_bytes = AprBuffer_Size(&call->body);
    write_body(conn, AprBuffer_Data(&call->body), AprBuffer_Size(&call->body),
               call->body_complete);
    if (!call->body_buffered) {
        AprBuffer_Free(&call->body);
    }
}

/* Sends a further part of the request body. */
void
AprBackendConn_WriteBody(AprBackendConn_t *conn, const char *data, size_t size,
                         bool end)
{
    conn->unwritten_body_bytes += size;
    write_body(conn, data, size, end);
}

/* Records that response bytes were consumed. */
void
AprBackendConn_AcknowledgeResponse(AprBackendConn_t *conn, size_t size)
{
    set_undelivered(conn, conn->undelivered_bytes -
                              MIN(size, conn->undelivered_bytes));
    update_reading(conn);
}

/* Reads the rest of the response of a call that was detached from its caller,
   which is discarded. */
void
AprBackendConn_OnDetached(AprBackendConn_t *conn)
{
    set_undelivered(conn, 0);
    update_reading(conn);
}

/* Returns the time by which the response to the current call must be
   complete. */
int64_t
AprBackendConn_ResponseLimitMs(const AprBackendConn_t *conn)
{
    return AprCallHead_ResponseLimitMs(&conn->call->head,
                                       conn->response_started &&
                                           conn->response_has_length);
}

/* Returns whether the connection can carry a new call. */
bool
AprBackendConn_IsIdle(const AprBackendConn_t *conn, int64_t now_ms)
{
    return conn->call == NULL && conn->reused && !conn->free_after_parse &&
           conn->stream != NULL && !AprBackendConn_IsExpired(conn, now_ms);
}

/* Returns whether the connection has been idle for longer than its limit, so
   that the backend server may close it at any time. */
bool
AprBackendConn_IsExpired(const AprBackendConn_t *conn, int64_t now_ms)
{
    return conn->call == NULL && conn->reused &&
           now_ms - conn->idle_since_ms > conn->idle_limit_ms;
}
