#include "internal/http_server.h"

#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "apricot/error.h"
#include "internal/http_message.h"
#include "internal/listener.h"

/* A request with a longer body closes the connection. */
#define MAX_BODY_BYTES (1024 * 1024)

struct AprHttpCall_t {
    AprHttpServer_t *server;
    AprStream_t *stream; /* NULL: closed */
    AprHttpParser_t *parser;
    AprBuffer_t input; /* received and not parsed yet */
    char method[24];
    char *path;
    AprBuffer_t body;
    bool keep_alive;
    bool awaiting_reply; /* the handler has not replied yet */
    bool parsing; /* parse_input() uses the call: it must not be freed */
    AprHttpCall_t *next;
};

struct AprHttpServer_t {
    AprStreamSet_t *streams;
    AprHttpRequestHandler_t handler;
    void *context;
    AprListener_t listener;
    AprMetric_t *pauses;  /* NULL: not counted */
    AprHttpCall_t *calls; /* one for each connection */
};

static void
close_and_free_call(AprHttpCall_t *call)
{
    if (call->stream != NULL) {
        AprStream_Close(call->stream);
    }
    AprHttpParser_Free(call->parser);
    AprBuffer_Free(&call->input);
    AprBuffer_Free(&call->body);
    free(call->path);
    free(call);
}

static void
unlink_and_free_call(AprHttpCall_t *call)
{
    AprHttpCall_t **at = &call->server->calls;

    while (*at != call) {
        at = &(*at)->next;
    }
    *at = call->next;
    close_and_free_call(call);
}

static void
free_if_unused(AprHttpCall_t *call)
{
    if (call->stream == NULL && !call->awaiting_reply && !call->parsing) {
        unlink_and_free_call(call);
    }
}

/* Parses the input up to the end of the next request without a reply, because
   the call has room for one request. Frees the call if it is not used any
   more. */
static void
parse_input(AprHttpCall_t *call)
{
    int result = APR_OK;

    call->parsing = true;
    while (result == APR_OK && call->stream != NULL && !call->awaiting_reply &&
           AprBuffer_Size(&call->input) > 0) {
        size_t used;

        AprHttpParser_SetPaused(call->parser, false);
        result =
            AprHttpParser_Execute(call->parser, AprBuffer_Data(&call->input),
                                  AprBuffer_Size(&call->input), &used);
        AprBuffer_Consume(&call->input, used);
    }
    call->parsing = false;
    if (result != APR_OK && call->stream != NULL) {
        AprStream_Close(call->stream);
        call->stream = NULL;
    }
    if (call->stream != NULL) {
        AprStream_SetReadPaused(call->stream, call->awaiting_reply);
    }
    free_if_unused(call);
}

/* Sends the response and resumes reading from the connection; `body` is
   copied. The call may be freed, so it must not be used afterwards. */
void
AprHttpCall_Reply(AprHttpCall_t *call, int status, const char *type,
                  const char *body, size_t size)
{
    AprBuffer_t text = {0};

    call->awaiting_reply = false;
    if (call->stream != NULL) {
        AprBuffer_AppendFormat(&text,
                               "HTTP/1.1 %d %s\r\nContent-Length: %zu\r\n",
                               status, AprHttp_ReasonPhrase(status), size);
        if (size > 0) {
            AprBuffer_AppendFormat(&text, "Content-Type: %s\r\n", type);
        }
        AprBuffer_AppendFormat(
            &text, "%s\r\n", call->keep_alive ? "" : "Connection: close\r\n");
        AprBuffer_Append(&text, body, size);
        AprStream_Write(call->stream, AprBuffer_Data(&text),
                        AprBuffer_Size(&text));
        AprBuffer_Free(&text);
        if (!call->keep_alive) {
            AprStream_CloseAfterFlush(call->stream);
            call->stream = NULL;
        }
    }
    if (!call->parsing) {
        parse_input(call);
    }
}

static int
on_head(void *context, const AprHttpHead_t *head)
{
    AprHttpCall_t *call = context;

    memcpy(call->method, head->method, sizeof(call->method));
    free(call->path);
    call->path = strndup(AprBuffer_Data(&head->text) + head->target_offset,
                         head->target_size);
    call->keep_alive = head->keep_alive;
    AprBuffer_Free(&call->body);
    return call->path == NULL ? 1 : 0;
}

static int
on_body(void *context, const char *data, size_t size)
{
    AprHttpCall_t *call = context;

    return AprBuffer_Size(&call->body) + size > MAX_BODY_BYTES ||
                   AprBuffer_Append(&call->body, data, size) != APR_OK
               ? 1
               : 0;
}

static int
on_complete(void *context)
{
    AprHttpCall_t *call = context;
    AprHttpServer_t *server = call->server;

    call->awaiting_reply = true;
    AprHttpParser_SetPaused(call->parser, true);
    AprBuffer_Append(&call->body, "", 1); /* terminating NUL */
    server->handler(server->context, call, call->method, call->path,
                    AprBuffer_Data(&call->body),
                    AprBuffer_Size(&call->body) - 1);
    return 0;
}

static const AprHttpHandler_t http_handler = {on_head, on_body, on_complete};

static void
on_data(void *context, const char *data, size_t size)
{
    AprHttpCall_t *call = context;

    if (AprBuffer_Append(&call->input, data, size) != APR_OK) {
        AprStream_Close(call->stream);
        call->stream = NULL;
    }
    parse_input(call);
}

static void
on_close(void *context, int error)
{
    AprHttpCall_t *call = context;

    (void)error;
    call->stream = NULL;
    free_if_unused(call);
}

static const AprStreamHandler_t stream_handler = {on_data, on_close, NULL};

static void
on_accept(void *context, int fd)
{
    AprHttpServer_t *server = context;
    AprHttpCall_t *call = calloc(1, sizeof(*call));

    if (call == NULL) {
        close(fd);
        return;
    }
    call->server = server;
    call->next = server->calls;
    server->calls = call;
    call->parser = AprHttpParser_New(HTTP_REQUEST, &http_handler, call);
    call->stream = AprStream_Open(server->streams, fd, &stream_handler, call);
    if (call->parser == NULL || call->stream == NULL) {
        unlink_and_free_call(call);
    }
}

static void
on_pause(void *context)
{
    const AprHttpServer_t *server = context;

    if (server->pauses != NULL) {
        AprMetric_Add(server->pauses, 1);
    }
}

static const AprListenerHandler_t listener_handler = {on_accept, NULL,
                                                      on_pause};

/* Starts to listen at "IP:port". Returns NULL when that fails or memory runs
   out. */
AprHttpServer_t *
AprHttpServer_New(AprStreamSet_t *streams, const char *address,
                  AprHttpRequestHandler_t handler, void *context)
{
    AprHttpServer_t *server = calloc(1, sizeof(*server));

    if (server == NULL) {
        return NULL;
    }
    server->streams = streams;
    server->handler = handler;
    server->context = context;
    if (AprListener_Open(&server->listener, streams->loop, "http", address,
                         &listener_handler, server) != APR_OK) {
        free(server);
        return NULL;
    }
    return server;
}

/* Counts the pauses in accepting in a metric, which must outlive the server.
 */
void
AprHttpServer_CountPauses(AprHttpServer_t *server, AprMetric_t *metric)
{
    server->pauses = metric;
}

/* Stops listening, closes all connections and frees their calls, also those
   that await a reply; NULL is ignored. */
void
AprHttpServer_Free(AprHttpServer_t *server)
{
    if (server == NULL) {
        return;
    }
    AprListener_Close(&server->listener);
    while (server->calls != NULL) {
        AprHttpCall_t *call = server->calls;

        server->calls = call->next;
        close_and_free_call(call);
    }
    free(server);
}
