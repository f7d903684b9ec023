#include "internal/backend_conn.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "apricot/error.h"
#include "apricot/log.h"

/* Idle connections are closed this long before the backend server would, so
   that no request meets the close; the default holds where it says no time. */
#define IDLE_MARGIN_MS 700
#define IDLE_DEFAULT_MS 8000

static int
pass_head(AprBackendConn_t *conn, const AprHttpHead_t *head)
{
    const char *text = AprBuffer_Data(&head->text);
    AprBackendCall_t *call = conn->call;
    AprAnswerHead_t answer;
    AprBuffer_t lines = {0};

    for (int i = 0; i < head->header_count; i++) {
        const AprHttpHeader_t *header = &head->headers[i];

        if (AprHttpHeader_IsHopByHop(head, header)) {
            continue;
        }
        AprBuffer_Print(&lines, "%.*s: %.*s\r\n", (int)header->name_size,
                        text + header->name, (int)header->value_size,
                        text + header->value);
    }
    AprBuffer_Append(&lines, "", 1);
    answer.status = head->status;
    answer.headers = lines.data;
    answer.has_length = head->has_length;
    answer.length = head->length;
    if (!call->detached) {
        call->sink.answer(call->context, &answer);
    }
    AprBuffer_Free(&lines);
    return 0;
}

/* The time in whole seconds that a Keep-Alive header names, or -1. */
static int64_t
keep_alive_ms(const AprHttpHead_t *head)
{
    char value[64];
    const char *timeout;

    if (AprHttpHead_Copy(head, "Keep-Alive", value, sizeof(value)) != APR_OK) {
        return -1;
    }
    timeout = strcasestr(value, "timeout=");
    return timeout == NULL
               ? -1
               : strtol(timeout + strlen("timeout="), NULL, 10) * 1000;
}

static int
on_head(void *context, const AprHttpHead_t *head)
{
    AprBackendConn_t *conn = context;
    const AprHeaderNames_t *names = conn->gateway->names;
    char id[APR_CALL_ID_SIZE];
    int64_t keep_ms;
    size_t size;

    if (conn->call == NULL) {
        return 1;
    }
    if (head->status < 200) {
        conn->swallow = true;
        return 0;
    }
    if (AprHttpHead_Copy(head, names->attempt, id, sizeof(id)) == APR_OK &&
        strcmp(id, conn->call->head.id) != 0) {
        AprLog_Write(APR_LOG_WARN, "answer_dropped",
                     "request=%s belongs_to=%s", conn->call->head.id, id);
        conn->swallow = true;
        return 0;
    }
    conn->answered = true;
    AprBackend_NoteAnswer(conn->backend);
    conn->keep = head->keep_alive && conn->request_sent;
    keep_ms = keep_alive_ms(head);
    if (keep_ms >= 0) {
        conn->idle_limit_ms = keep_ms - IDLE_MARGIN_MS;
    }
    if (AprHttpHead_Find(head, names->not_run, &size) != NULL ||
        head->status == 421) {
        conn->shed = true;
        return 0;
    }
    return pass_head(conn, head);
}

static int
on_body(void *context, const char *data, size_t size)
{
    AprBackendConn_t *conn = context;
    AprBackendCall_t *call = conn->call;

    if (conn->swallow || conn->shed || call == NULL || call->detached) {
        return 0;
    }
    conn->unpassed += size;
    if (conn->unpassed > APR_CALL_WINDOW) {
        AprStream_ReadPause(conn->stream, true);
    }
    call->sink.data(call->context, data, size);
    return conn->dead ? 1 : 0;
}

static int
on_complete(void *context)
{
    AprBackendConn_t *conn = context;

    if (conn->swallow) {
        conn->swallow = false;
        return 0;
    }
    conn->complete = true;
    AprHttpParser_Pause(conn->parser, true);
    return 0;
}

static const AprHttpHandler_t http_handler = {on_head, on_body, on_complete};

static void
settle(AprBackendConn_t *conn, size_t extra)
{
    AprConnOutcome_t outcome = APR_CONN_ENDED;

    if (conn->shed) {
        outcome = APR_CONN_SHED;
    }
    else if (conn->keep && extra == 0) {
        outcome = APR_CONN_REUSABLE;
        conn->idle_since_ms = AprGateway_NowMs(conn->gateway);
        conn->reused = true;
        AprHttpParser_Pause(conn->parser, false);
        AprHttpParser_Reset(conn->parser);
    }
    AprBackend_ConnDone(conn, outcome);
}

static void
on_data(void *context, const char *data, size_t size)
{
    AprBackendConn_t *conn = context;
    size_t used = 0;
    int result;

    if (conn->call == NULL) {
        /* Bytes without a request: a second answer, or none at all. */
        AprBackend_ConnDone(conn, APR_CONN_ENDED);
        return;
    }
    conn->parsing = true;
    result = AprHttpParser_Execute(conn->parser, data, size, &used);
    conn->parsing = false;
    if (conn->dead) {
        AprBackendConn_Free(conn);
        return;
    }
    if (conn->complete) {
        settle(conn, size - used);
    }
    else if (result != APR_OK) {
        AprBackend_ConnDone(conn, APR_CONN_BAD);
    }
}

static void
on_close(void *context, int error)
{
    AprBackendConn_t *conn = context;
    bool connecting = AprStream_Connecting(conn->stream);

    conn->stream = NULL;
    if (conn->call == NULL) {
        AprBackend_ConnDone(conn, APR_CONN_ENDED);
        return;
    }
    if (connecting) {
        AprBackend_ConnDone(conn, error == ECONNREFUSED ? APR_CONN_REFUSED
                                                        : APR_CONN_UNOPENED);
        return;
    }
    if (error == 0 && conn->answered) {
        int result;

        conn->parsing = true;
        result = AprHttpParser_Finish(conn->parser);
        conn->parsing = false;
        if (conn->dead) {
            AprBackendConn_Free(conn);
            return;
        }
        if (result == APR_OK && conn->complete) {
            AprBackend_ConnDone(conn,
                                conn->shed ? APR_CONN_SHED : APR_CONN_ENDED);
            return;
        }
    }
    AprBackend_ConnDone(conn, APR_CONN_BROKEN);
}

static void
on_drain(void *context)
{
    AprBackendConn_t *conn = context;
    AprBackendCall_t *call = conn->call;
    size_t size = conn->untaken;

    conn->untaken = 0;
    if (size > 0 && call != NULL && !call->detached) {
        call->sink.taken(call->context, size);
    }
}

static const AprStreamHandler_t stream_handler = {on_data, on_close, on_drain};

/* Starts a connection to the backend server; NULL when it fails at once. */
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
    return conn;
}

/* Closes and frees a connection, after the present parse if there is one. */
void
AprBackendConn_Free(AprBackendConn_t *conn)
{
    if (conn->stream != NULL) {
        AprStream_Close(conn->stream);
        conn->stream = NULL;
    }
    if (conn->parsing) {
        conn->dead = true;
        return;
    }
    AprHttpParser_Free(conn->parser);
    free(conn);
}

static void
write_body(AprBackendConn_t *conn, const char *data, size_t size, bool end)
{
    char line[32];

    if (size > 0 && conn->chunked) {
        snprintf(line, sizeof(line), "%zx\r\n", size);
        AprStream_Write(conn->stream, line, strlen(line));
    }
    if (size > 0) {
        AprStream_Write(conn->stream, data, size);
        if (conn->chunked) {
            AprStream_Write(conn->stream, "\r\n", 2);
        }
    }
    if (end) {
        if (conn->chunked) {
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

/* Sends a call: its head, and what has arrived of its body. */
void
AprBackendConn_Send(AprBackendConn_t *conn, AprBackendCall_t *call,
                    const char *expected_id, int64_t now_ms)
{
    const AprHeaderNames_t *names = conn->gateway->names;
    const AprCallHead_t *head = &call->head;
    int64_t left_ms = head->deadline_ms - now_ms;
    AprBuffer_t text = {0};

    conn->call = call;
    call->conn = conn;
    conn->answered = false;
    conn->swallow = false;
    conn->complete = false;
    conn->shed = false;
    conn->request_sent = false;
    conn->unpassed = 0;
    conn->untaken = 0;
    conn->chunked = !head->has_length && has_body(call);
    AprBuffer_Print(&text, "%s %s HTTP/1.1\r\n%s%s: %lld\r\n%s: %s\r\n",
                    head->method, head->target, head->headers,
                    names->time_left, (long long)(left_ms > 1 ? left_ms : 1),
                    names->caller, head->caller);
    AprBuffer_Print(&text, "%s: %s\r\n", names->expected_id, expected_id);
    if (conn->chunked) {
        AprBuffer_Print(&text, "Transfer-Encoding: chunked\r\n");
    }
    else if (head->has_length) {
        AprBuffer_Print(&text, "Content-Length: %llu\r\n",
                        (unsigned long long)head->length);
    }
    AprBuffer_Print(&text, "\r\n");
    AprStream_Write(conn->stream, AprBuffer_Data(&text),
                    AprBuffer_Size(&text));
    AprBuffer_Free(&text);
    conn->untaken = AprBuffer_Size(&call->body);
    write_body(conn, AprBuffer_Data(&call->body), AprBuffer_Size(&call->body),
               call->body_complete);
    if (!call->body_kept) {
        AprBuffer_Free(&call->body);
    }
}

/* Sends a further part of the body. */
void
AprBackendConn_Body(AprBackendConn_t *conn, const char *data, size_t size,
                    bool end)
{
    conn->untaken += size;
    write_body(conn, data, size, end);
}

/* Notes that bytes of the answer were passed on. */
void
AprBackendConn_Taken(AprBackendConn_t *conn, size_t size)
{
    conn->unpassed -= size < conn->unpassed ? size : conn->unpassed;
    if (conn->unpassed <= APR_CALL_WINDOW / 2 && conn->stream != NULL) {
        AprStream_ReadPause(conn->stream, false);
    }
}

/* Whether the connection can carry a new call. */
bool
AprBackendConn_IsIdle(const AprBackendConn_t *conn, int64_t now_ms)
{
    return conn->call == NULL && conn->reused && !conn->dead &&
           conn->stream != NULL && !AprBackendConn_IsExpired(conn, now_ms);
}

/* Whether an idle connection is about to be closed by the backend server. */
bool
AprBackendConn_IsExpired(const AprBackendConn_t *conn, int64_t now_ms)
{
    return conn->call == NULL && conn->reused &&
           now_ms - conn->idle_since_ms > conn->idle_limit_ms;
}
