#include "internal/http_message.h"

#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "apricot/error.h"

#define DEFAULT_MAX_HEAD_BYTES 65536

/* The statuses of HTTP: three digits, of which the first names one of five
   classes. */
#define MIN_STATUS 100
#define MAX_STATUS 599

struct AprHttpParser_t {
    http_parser parser;
    const AprHttpHandler_t *handler;
    void *context;
    AprHttpHead_t head;
    size_t max_head_bytes;
    bool in_message;
    bool in_head;
    bool in_header_value;  /* the next header name starts a new header */
    const char *input_end; /* of AprHttpParser_Execute() */
    bool value_goes_on;    /* the last part of a value ended with the input */
    bool body_omitted;     /* see AprHttpParser_SetBodyOmitted() */
    int error;             /* APR_E_*, set by a callback that stops parsing */
};

static int
append_head_text(AprHttpParser_t *parser, const char *data, size_t size)
{
    if (AprBuffer_Size(&parser->head.text) + size > parser->max_head_bytes) {
        parser->error = APR_E_TOO_LARGE;
        return 1;
    }
    if (AprBuffer_Append(&parser->head.text, data, size) != APR_OK) {
        parser->error = APR_E_NOMEM;
        return 1;
    }
    return 0;
}

/* Returns whether a part of a head has a control character other than a tab
   or, with `is_token`, a space or tab. http_parser accepts some of these,
   which another parser may read as the end of a target, name or value. */
static bool
has_forbidden_byte(const char *data, size_t size, bool is_token)
{
    for (size_t i = 0; i < size; i++) {
        unsigned char c = (unsigned char)data[i];

        if (c == 0x7f || (c < ' ' && c != '\t') ||
            (is_token && (c == ' ' || c == '\t'))) {
            return true;
        }
    }
    return false;
}

static int
on_message_begin(http_parser *raw)
{
    AprHttpParser_t *parser = raw->data;

    AprBuffer_Consume(&parser->head.text, AprBuffer_Size(&parser->head.text));
    parser->head.header_count = 0;
    parser->head.target_size = 0;
    parser->in_message = true;
    parser->in_head = true;
    parser->in_header_value = true;
    return 0;
}

static int
on_url(http_parser *raw, const char *data, size_t size)
{
    AprHttpParser_t *parser = raw->data;

    if (has_forbidden_byte(data, size, true)) {
        parser->error = APR_E_PARSE;
        return 1;
    }
    if (parser->head.target_size == 0) {
        parser->head.target_offset =
            (uint32_t)AprBuffer_Size(&parser->head.text);
    }
    parser->head.target_size += (uint32_t)size;
    return append_head_text(parser, data, size);
}

static int
on_header_field(http_parser *raw, const char *data, size_t size)
{
    AprHttpParser_t *parser = raw->data;
    AprHttpHead_t *head = &parser->head;
    AprHttpHeader_t *header;

    if (!parser->in_head) {
        return 0; /* a trailer */
    }
    if (parser->in_header_value) {
        if (head->header_count == APR_HTTP_MAX_HEADERS) {
            parser->error = APR_E_TOO_LARGE;
            return 1;
        }
        header = &head->headers[head->header_count++];
        memset(header, 0, sizeof(*header));
        header->name_offset = (uint32_t)AprBuffer_Size(&head->text);
        parser->in_header_value = false;
    }
    if (has_forbidden_byte(data, size, true)) {
        parser->error = APR_E_PARSE;
        return 1;
    }
    header = &head->headers[head->header_count - 1];
    header->name_size += (uint32_t)size;
    return append_head_text(parser, data, size);
}

static int
on_header_value(http_parser *raw, const char *data, size_t size)
{
    AprHttpParser_t *parser = raw->data;
    AprHttpHead_t *head = &parser->head;
    AprHttpHeader_t *header;

    if (!parser->in_head || head->header_count == 0) {
        return 0;
    }
    if (has_forbidden_byte(data, size, false)) {
        parser->error = APR_E_PARSE;
        return 1;
    }
    header = &head->headers[head->header_count - 1];
    /* http_parser joins folded lines, but interprets them otherwise than the
       joined value; RFC 9112, section 5.2, permits to reject them. */
    if (parser->in_header_value && !parser->value_goes_on) {
        parser->error = APR_E_PARSE;
        return 1;
    }
    parser->value_goes_on = data + size == parser->input_end;
    if (!parser->in_header_value) {
        header->value_offset = (uint32_t)AprBuffer_Size(&head->text);
        parser->in_header_value = true;
    }
    header->value_size += (uint32_t)size;
    return append_head_text(parser, data, size);
}

/* Returns whether a message is chunked and has a Content-Length too. */
static bool
has_conflicting_lengths(const http_parser *raw)
{
    return (raw->flags & F_CHUNKED) != 0 &&
           (raw->flags & F_CONTENTLENGTH) != 0;
}

/* Returns whether a message has a status that a response may have. The gateway
   never asks for another protocol, so that 101 is no response either. */
static bool
has_valid_status(const http_parser *raw)
{
    return raw->type == HTTP_REQUEST ||
           (raw->status_code >= MIN_STATUS && raw->status_code <= MAX_STATUS &&
            raw->status_code != HTTP_STATUS_SWITCHING_PROTOCOLS);
}

static int
on_headers_complete(http_parser *raw)
{
    AprHttpParser_t *parser = raw->data;
    AprHttpHead_t *head = &parser->head;

    parser->in_head = false;
    /* The framing of other major versions differs, and HTTP/0.9 has no
       headers; http_parser accepts all numbers, also as the status. */
    if (raw->http_major != 1 || has_conflicting_lengths(raw) ||
        !has_valid_status(raw)) {
        parser->error = APR_E_PARSE;
        return -1;
    }
    head->chunked = (raw->flags & F_CHUNKED) != 0;
    head->has_content_length = (raw->flags & F_CONTENTLENGTH) != 0;
    head->content_length = head->has_content_length ? raw->content_length : 0;
    head->status = (int)raw->status_code;
    head->keep_alive = http_should_keep_alive(raw) != 0;
    head->http_1_0 = raw->http_major == 1 && raw->http_minor == 0;
    if (raw->type == HTTP_REQUEST) {
        const char *method = http_method_str((enum http_method)raw->method);

        strncpy(head->method, method, sizeof(head->method) - 1);
        if (raw->method == HTTP_CONNECT || raw->upgrade) {
            raw->upgrade = 0;
        }
    }
    if (parser->handler->on_head(parser->context, head) != 0) {
        parser->error = APR_E_CLOSED;
        return -1;
    }
    return parser->body_omitted ? 1 : 0;
}

static int
on_body(http_parser *raw, const char *data, size_t size)
{
    AprHttpParser_t *parser = raw->data;

    if (parser->handler->on_body(parser->context, data, size) != 0) {
        parser->error = APR_E_CLOSED;
        return 1;
    }
    return 0;
}

static int
on_complete(http_parser *raw)
{
    AprHttpParser_t *parser = raw->data;

    parser->in_message = false;
    raw->upgrade = 0;
    if (parser->handler->on_complete(parser->context) != 0) {
        parser->error = APR_E_CLOSED;
        return 1;
    }
    return 0;
}

static const http_parser_settings callbacks = {
    .on_message_begin = on_message_begin,
    .on_url = on_url,
    .on_header_field = on_header_field,
    .on_header_value = on_header_value,
    .on_headers_complete = on_headers_complete,
    .on_body = on_body,
    .on_message_complete = on_complete,
};

/* Creates a parser of requests or responses. `handler` must outlive it.
   Returns NULL when memory runs out. */
AprHttpParser_t *
AprHttpParser_New(enum http_parser_type type, const AprHttpHandler_t *handler,
                  void *context)
{
    AprHttpParser_t *parser = calloc(1, sizeof(*parser));

    if (parser != NULL) {
        http_parser_init(&parser->parser, type);
        parser->parser.data = parser;
        parser->handler = handler;
        parser->context = context;
        parser->max_head_bytes = DEFAULT_MAX_HEAD_BYTES;
    }
    return parser;
}

void
AprHttpParser_Free(AprHttpParser_t *parser)
{
    if (parser != NULL) {
        AprBuffer_Free(&parser->head.text);
        free(parser);
    }
}

/* Discards a partly read message and any error. */
void
AprHttpParser_Reset(AprHttpParser_t *parser)
{
    http_parser_init(&parser->parser, parser->parser.type);
    parser->in_message = false;
    parser->in_head = false;
    parser->error = APR_OK;
}

/* Parses bytes and sets `*used` to the number of bytes parsed. Returns APR_OK,
   also when the parser was paused before the end; APR_E_PARSE for a malformed
   message; APR_E_TOO_LARGE for a head over its limit of bytes or headers;
   APR_E_NOMEM when memory runs out; APR_E_CLOSED when the handler stopped the
   parser. */
int
AprHttpParser_Execute(AprHttpParser_t *parser, const char *data, size_t size,
                      size_t *used)
{
    parser->input_end = data + size;
    *used = http_parser_execute(&parser->parser, &callbacks, data, size);
    if (parser->error != APR_OK) {
        return parser->error;
    }
    switch (HTTP_PARSER_ERRNO(&parser->parser)) {
    case HPE_OK:
    case HPE_PAUSED:
        return APR_OK;
    case HPE_HEADER_OVERFLOW:
        return APR_E_TOO_LARGE;
    default:
        return APR_E_PARSE;
    }
}

/* Returns the status with which a server answers a request that
   AprHttpParser_Execute() has rejected with `error`: 414 when the request
   target is too long by itself, 431 when the head is, otherwise 400. */
int
AprHttpParser_RejectionStatus(const AprHttpParser_t *parser, int error)
{
    if (error != APR_E_TOO_LARGE) {
        return 400;
    }
    return parser->head.header_count == 0 ? 414 : 431;
}

/* Reports the end of the connection to the parser. Completes a response whose
   body ends with the connection. Returns APR_E_PARSE when the current message
   is truncated. */
int
AprHttpParser_OnConnectionEnd(AprHttpParser_t *parser)
{
    size_t used;

    if (!parser->in_message) {
        return APR_OK;
    }
    if (AprHttpParser_Execute(parser, NULL, 0, &used) != APR_OK) {
        return APR_E_PARSE;
    }
    return parser->in_message ? APR_E_PARSE : APR_OK;
}

/* Returns whether a message has begun and is not complete. */
bool
AprHttpParser_IsInMessage(const AprHttpParser_t *parser)
{
    return parser->in_message;
}

/* Returns whether the head of a message has begun and is not complete. */
bool
AprHttpParser_IsInHead(const AprHttpParser_t *parser)
{
    return parser->in_head;
}

/* Returns the memory of the head of the present or the last message. */
size_t
AprHttpParser_HeldBytes(const AprHttpParser_t *parser)
{
    return parser->head.text.capacity;
}

/* Sets the maximum size in bytes of the request target, header names and
   header values of a message together. */
void
AprHttpParser_SetMaxHeadBytes(AprHttpParser_t *parser, size_t bytes)
{
    parser->max_head_bytes = bytes;
}

/* Tells a parser of responses that the response has no body, whatever its head
   says, as after a HEAD request. */
void
AprHttpParser_SetBodyOmitted(AprHttpParser_t *parser, bool omitted)
{
    parser->body_omitted = omitted;
}

/* Stops parsing after the current callback, or resumes. */
void
AprHttpParser_SetPaused(AprHttpParser_t *parser, bool pause)
{
    http_parser_pause(&parser->parser, pause ? 1 : 0);
}

/* Returns the value of a header, without a terminating NUL, and sets `*size`;
   NULL when the header is missing. The value belongs to the head. */
const char *
AprHttpHead_FindValue(const AprHttpHead_t *head, const char *name,
                      size_t *size)
{
    const char *text = AprBuffer_Data(&head->text);
    size_t length = strlen(name);

    for (int i = 0; i < head->header_count; i++) {
        const AprHttpHeader_t *header = &head->headers[i];

        if (header->name_size == length &&
            strncasecmp(text + header->name_offset, name, length) == 0) {
            *size = header->value_size;
            return text + header->value_offset;
        }
    }
    return NULL;
}

/* Copies the value of a header as a NUL-terminated string. Returns
   APR_E_NOT_FOUND when the header is missing and APR_E_TOO_LARGE when `value`
   is too small; `value` is then empty. */
int
AprHttpHead_CopyValue(const AprHttpHead_t *head, const char *name, char *value,
                      size_t size)
{
    size_t length = 0;
    const char *found = AprHttpHead_FindValue(head, name, &length);

    value[0] = '\0';
    if (found == NULL) {
        return APR_E_NOT_FOUND;
    }
    if (length >= size) {
        return APR_E_TOO_LARGE;
    }
    memcpy(value, found, length);
    value[length] = '\0';
    return APR_OK;
}

/* Returns whether a comma-separated list contains the name, ignoring case. */
static bool
token_list_contains(const char *list, size_t list_size, const char *name,
                    size_t name_size)
{
    size_t at = 0;

    while (at < list_size) {
        size_t end = at;

        while (end < list_size && list[end] != ',') {
            end++;
        }
        while (at < end && list[at] == ' ') {
            at++;
        }
        if (end - at >= name_size &&
            strncasecmp(list + at, name, name_size) == 0 &&
            (end - at == name_size || list[at + name_size] == ' ')) {
            return true;
        }
        at = end + 1;
    }
    return false;
}

/* Returns whether a header applies to one connection only and is not
   forwarded. This includes the headers named in the Connection header. */
bool
AprHttpHeader_IsHopByHop(const AprHttpHead_t *head,
                         const AprHttpHeader_t *header)
{
    static const char *const names[] = {
        "Connection", "Keep-Alive",     "Proxy-Connection",
        "TE",         "Trailer",        "Transfer-Encoding",
        "Upgrade",    "Content-Length", "Expect",
    };
    const char *text = AprBuffer_Data(&head->text);
    const char *name = text + header->name_offset;
    size_t size = 0;
    const char *connection;

    for (size_t i = 0; i < sizeof(names) / sizeof(names[0]); i++) {
        if (strlen(names[i]) == header->name_size &&
            strncasecmp(names[i], name, header->name_size) == 0) {
            return true;
        }
    }
    connection = AprHttpHead_FindValue(head, "Connection", &size);
    return connection != NULL &&
           token_list_contains(connection, size, name, header->name_size);
}

/* Returns the reason phrase of a status, "Status" for an unknown one. */
const char *
AprHttp_ReasonPhrase(int status)
{
    const char *reason = http_status_str((enum http_status)status);

    return strcmp(reason, "<unknown>") == 0 ? "Status" : reason;
}
