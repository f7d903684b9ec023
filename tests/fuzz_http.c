/* HTTP messages of callers, backend servers and the store, and the HTTP server
   for heartbeats. */

#include <arpa/inet.h>
#include <errno.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "apricot/error.h"
#include "fuzz_common.h"
#include "internal/http_message.h"
#include "internal/http_server.h"

/* Rounds of the event loop after which a connection counts as stuck. */
#define MAX_ROUNDS 50000
#define PORT 18080

#define HEADER                                                              \
    "<X-B: ~|X-B: v |Connection: close|Connection: x-b, keep-alive|"        \
    "Upgrade: h2c|Expect: 100-continue|X-B:|X-B: a\r\n b|Keep-Alive: #|"    \
    "Content-Length: #|Transfer-Encoding: chunked|Transfer-Encoding: gzip>" \
    "\r\n"

/* Appends up to four messages. */
static void
generate_messages(Fuzz_t *fuzz, bool is_response)
{
    for (uint64_t n = 1 + Fuzz_Below(fuzz, 4); n > 0; n--) {
        int size = (int)Fuzz_Below(fuzz, Fuzz_OneIn(fuzz, 9) ? 2000 : 40);
        uint64_t framing = Fuzz_Below(fuzz, 3);

        Fuzz_Expand(
            fuzz, is_response
                      ? "HTTP/1.<0|1|1|1> <200|200|204|304|100|101|503> X\r\n"
                      : "<GET|POST|PUT|HEAD|OPTIONS|CONNECT> /~ "
                        "HTTP/1.<0|1|1|1>\r\nHost: ~\r\n");
        for (uint64_t i = Fuzz_OneIn(fuzz, 50) ? 130 : Fuzz_Below(fuzz, 3);
             i > 0; i--) {
            Fuzz_Expand(fuzz, HEADER);
        }
        if (framing == 0) {
            Fuzz_Expand(fuzz, is_response ? "\r\n~" : "\r\n");
        }
        else if (framing == 1) {
            g_string_append_printf(
                fuzz->input, "Content-Length: %d\r\n\r\n%*s", size, size, "");
        }
        else {
            g_string_append_printf(fuzz->input,
                                   "Transfer-Encoding: chunked\r\n\r\n%x%s"
                                   "\r\n%*s\r\n",
                                   size + 5, size == 7 ? ";a=\"b\"" : "",
                                   size + 5, "\r\n0\r\n");
            Fuzz_Expand(fuzz, "<|||1\r\na\r\n>0\r\n"
                              "<|||X-T: ~\r\n|Content-Length: 2\r\n>\r\n");
        }
    }
    Fuzz_Mutate(fuzz);
}

/* What a parser makes of an input. */
typedef struct Trace_t {
    AprHttpParser_t *parser;
    bool is_response;
    bool body_omitted;
    size_t max_head_bytes;
    GString *messages; /* encoded again, without trailers */
    GString *flags;    /* what follows from the heads */
    GString *body;     /* of the present message */
    const AprHttpHead_t *head;
    int result;
} Trace_t;

/* Appends a part of a head that must not contain bytes which end it or, with
   `is_token`, separate it from others. */
static void
append_head_text(Trace_t *trace, uint32_t offset, uint32_t size, bool is_token)
{
    const AprBuffer_t *text = &trace->head->text;

    Fuzz_Check((size_t)offset + size <= AprBuffer_Size(text),
               "a part is outside of the head");
    for (uint32_t i = 0; i < size; i++) {
        unsigned char c = (unsigned char)AprBuffer_Data(text)[offset + i];

        Fuzz_Check((c >= ' ' || (c == '\t' && !is_token)) && c != 0x7f &&
                       (c != ' ' || !is_token),
                   "byte %d in a target or header", c);
    }
    g_string_append_len(trace->messages, AprBuffer_Data(text) + offset, size);
}

static int
on_head(void *context, const AprHttpHead_t *head)
{
    Trace_t *trace = context;
    char host[8];

    trace->head = head;
    Fuzz_Check(!head->chunked || !head->has_content_length,
               "a message has two lengths");
    Fuzz_Check(AprBuffer_Size(&head->text) <= trace->max_head_bytes,
               "a head exceeds its limit");
    g_string_append_printf(trace->flags, "%d %d %d %d ",
                           AprHttpHead_CopyValue(head, "Host", host, 8),
                           head->chunked, head->keep_alive, head->http_1_0);
    if (trace->is_response) {
        g_string_append_printf(trace->messages, "HTTP/1.%d %03d X",
                               !head->http_1_0, head->status);
    }
    else {
        g_string_append_printf(trace->messages, "%s ", head->method);
        append_head_text(trace, head->target_offset, head->target_size, true);
        g_string_append_printf(trace->messages, " HTTP/1.%d", !head->http_1_0);
    }
    for (int i = 0; i < head->header_count; i++) {
        const AprHttpHeader_t *header = &head->headers[i];

        g_string_append_c(trace->flags,
                          AprHttpHeader_IsHopByHop(head, header) ? 'h' : 'e');
        g_string_append(trace->messages, "\r\n");
        append_head_text(trace, header->name_offset, header->name_size, true);
        g_string_append(trace->messages, ": ");
        append_head_text(trace, header->value_offset, header->value_size,
                         false);
    }
    g_string_append(trace->messages, "\r\n\r\n");
    return 0;
}

static int
on_body(void *context, const char *data, size_t size)
{
    Trace_t *trace = context;

    g_string_append_len(trace->body, data, (gssize)size);
    return 0;
}

/* Appends the body to the message. Pauses a parser of responses, because
   clients stop there. */
static int
on_complete(void *context)
{
    Trace_t *trace = context;
    const AprHttpHead_t *head = trace->head;
    int status = head->status;
    bool has_no_body = trace->body_omitted || status / 100 == 1 ||
                       status == 204 || status == 304;

    Fuzz_Check(!head->has_content_length ||
                   trace->body->len == head->content_length ||
                   (has_no_body && trace->body->len == 0),
               "a body of %zu bytes where %llu are declared", trace->body->len,
               (unsigned long long)head->content_length);
    if (head->chunked && trace->body->len > 0) {
        g_string_append_printf(trace->messages, "%zx\r\n", trace->body->len);
        g_string_append(trace->body, "\r\n");
    }
    if (head->chunked && !trace->body_omitted) {
        g_string_append(trace->body, "0\r\n\r\n");
    }
    g_string_append_len(trace->messages, trace->body->str,
                        (gssize)trace->body->len);
    g_string_append(trace->flags, "complete\n");
    g_string_truncate(trace->body, 0);
    AprHttpParser_SetPaused(trace->parser, trace->is_response);
    return 0;
}

/* Parses a part of an input. */
static void
parse_part(Trace_t *trace, const char *part, size_t size)
{
    size_t at = 0;
    size_t used;

    while (at < size && trace->result == APR_OK) {
        trace->result =
            AprHttpParser_Execute(trace->parser, part + at, size - at, &used);
        at += used;
        Fuzz_Check(at == size || trace->result != APR_OK || trace->is_response,
                   "bytes are lost");
        Fuzz_Check(AprHttpParser_HeldBytes(trace->parser) <=
                       2 * trace->max_head_bytes + 512,
                   "a head holds too much memory");
        if (trace->result == APR_OK && trace->is_response &&
            !AprHttpParser_IsInMessage(trace->parser)) {
            AprHttpParser_SetPaused(trace->parser, false);
            AprHttpParser_Reset(trace->parser);
        }
    }
}

/* Parses an input in parts, or in one part if `fuzz` is NULL. */
static void
trace_input(Trace_t *trace, const GString *input, Fuzz_t *fuzz)
{
    static const AprHttpHandler_t handler = {on_head, on_body, on_complete};
    size_t size;

    trace->messages = g_string_new(NULL);
    trace->flags = g_string_new(NULL);
    trace->body = g_string_new(NULL);
    trace->result = APR_OK;
    trace->parser = AprHttpParser_New(
        trace->is_response ? HTTP_RESPONSE : HTTP_REQUEST, &handler, trace);
    AprHttpParser_SetMaxHeadBytes(trace->parser, trace->max_head_bytes);
    AprHttpParser_SetBodyOmitted(trace->parser, trace->body_omitted);
    for (size_t at = 0; at < input->len && trace->result == APR_OK;
         at += size) {
        char *part;

        size = input->len - at;
        size = fuzz == NULL ? size : Fuzz_PartSize(fuzz, size);
        part = Fuzz_Duplicate(input->str + at, size);
        parse_part(trace, part, size);
        free(part);
    }
    if (trace->result == APR_OK) {
        trace->result = AprHttpParser_OnConnectionEnd(trace->parser);
    }
    AprHttpParser_Free(trace->parser);
}

static void
free_trace(const Trace_t *trace)
{
    g_string_free(trace->messages, TRUE);
    g_string_free(trace->flags, TRUE);
    g_string_free(trace->body, TRUE);
}

/* Parses an input again as `expected` did and compares the results. */
static void
check_trace(const Trace_t *expected, const GString *input, Fuzz_t *fuzz,
            const char *what)
{
    Trace_t trace = *expected;

    trace_input(&trace, input, fuzz);
    /* Whether the limit or the malformed byte is reached first depends on the
       split; both close the connection. */
    Fuzz_Check((trace.result == APR_OK) == (expected->result == APR_OK) &&
                   g_string_equal(trace.flags, expected->flags) &&
                   g_string_equal(trace.messages, expected->messages),
               "%s: %s\n%s%s\nin one part: %s\n%s%s", what,
               AprError_Name(trace.result), trace.flags->str,
               trace.messages->str, AprError_Name(expected->result),
               expected->flags->str, expected->messages->str);
    free_trace(&trace);
}

static void
run_messages(Fuzz_t *fuzz, bool is_response)
{
    Trace_t trace = {.is_response = is_response};

    trace.max_head_bytes = Fuzz_OneIn(fuzz, 8) ? Fuzz_Below(fuzz, 300) : 8192;
    trace.body_omitted = is_response && Fuzz_OneIn(fuzz, 5);
    generate_messages(fuzz, is_response);
    trace_input(&trace, fuzz->input, NULL);
    check_trace(&trace, fuzz->input, fuzz, "the result depends on the split");
    if (trace.result == APR_OK) {
        fuzz->accepted++;
        check_trace(&trace, trace.messages, NULL, "encoded messages differ");
    }
    free_trace(&trace);
}

static void
run_requests(Fuzz_t *fuzz)
{
    run_messages(fuzz, false);
}

static void
run_responses(Fuzz_t *fuzz)
{
    run_messages(fuzz, true);
}

/* A server with one connection. */
typedef struct Server_t {
    struct ev_loop *loop;
    GString *requests;   /* that the handler got */
    AprHttpCall_t *call; /* awaits a reply */
    int delay;           /* rounds until the reply; 0: at once */
    int rounds;
    int reply_round;
} Server_t;

static void
on_request(void *context, AprHttpCall_t *call, const char *method,
           const char *path, const char *body, size_t size)
{
    Server_t *server = context;

    Fuzz_Check(server->call == NULL, "a request before the reply to the last");
    g_string_append_printf(server->requests, "%s %s %.*s\n", method, path,
                           (int)size, body);
    if (server->delay == 0) {
        AprHttpCall_Reply(call, 200, "a/b", "c", 1);
        return;
    }
    server->call = call;
    server->reply_round = server->rounds + server->delay;
}

/* Runs the event loop once and replies if a reply is due. */
static void
run_round(Server_t *server)
{
    AprHttpCall_t *call = server->call;

    ev_run(server->loop, EVRUN_NOWAIT);
    Fuzz_Check(++server->rounds < MAX_ROUNDS, "the connection is stuck");
    if (call != NULL && server->rounds >= server->reply_round) {
        server->call = NULL;
        AprHttpCall_Reply(call, 200, "a/b", "c", 1);
    }
}

/* Sends the input to a new server, in one part if `splitter` is NULL, and
   returns the requests that its handler got. */
static GString *
serve_input(const GString *input, Fuzz_t *splitter, int delay)
{
    Server_t server = {.loop = ev_loop_new(EVFLAG_AUTO),
                       .requests = g_string_new(NULL),
                       .delay = delay};
    AprStreamSet_t streams;
    AprHttpServer_t *http;
    struct sockaddr_in address = {.sin_family = AF_INET,
                                  .sin_port = htons(PORT)};
    char text[32];
    ssize_t size = 1;
    int fd = socket(AF_INET, SOCK_STREAM, 0);

    /* An address of this process, so that runs do not disturb each other. */
    address.sin_addr.s_addr = htonl(0x7f000000u | (uint32_t)getpid() << 2 | 1);
    g_snprintf(text, sizeof(text), "%s:%d", inet_ntoa(address.sin_addr), PORT);
    AprStreamSet_Init(&streams, server.loop);
    http = AprHttpServer_New(&streams, text, on_request, &server);
    Fuzz_Check(http != NULL && connect(fd, (struct sockaddr *)&address,
                                       sizeof(address)) == 0,
               "no connection to %s", text);
    setsockopt(fd, SOL_SOCKET, SO_LINGER, &(struct linger){1, 0},
               sizeof(struct linger));
    for (size_t at = 0; at < input->len && size >= 0; run_round(&server)) {
        size_t part = input->len - at;

        part = splitter == NULL ? part : Fuzz_PartSize(splitter, part);
        size = send(fd, input->str + at, part, MSG_NOSIGNAL);
        at += part;
    }
    shutdown(fd, SHUT_WR);
    do {
        char ignored[4096];

        run_round(&server);
        size = recv(fd, ignored, sizeof(ignored), MSG_DONTWAIT);
    } while (server.call != NULL || size > 0 || (size < 0 && errno == EAGAIN));
    close(fd);
    AprHttpServer_Free(http);
    ev_run(server.loop, EVRUN_NOWAIT);
    ev_loop_destroy(server.loop);
    return server.requests;
}

static void
run_server(Fuzz_t *fuzz)
{
    g_autoptr(GString) whole = NULL;
    g_autoptr(GString) split = NULL;

    generate_messages(fuzz, false);
    whole = serve_input(fuzz->input, NULL, 0);
    split = serve_input(fuzz->input, fuzz, (int)Fuzz_Below(fuzz, 4));
    Fuzz_Check(g_string_equal(whole, split),
               "requests depend on the split:\n%s\nin one part:\n%s",
               split->str, whole->str);
    fuzz->accepted += whole->len > 0;
}

const FuzzEdge_t fuzz_http_edges[FUZZ_HTTP_EDGES] = {
    {"http-request", 30000, run_requests},
    {"http-response", 30000, run_responses},
    {"http-server", 6000, run_server},
};
