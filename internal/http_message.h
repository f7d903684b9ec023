#ifndef APRICOT_INTERNAL_HTTP_MESSAGE_H
#define APRICOT_INTERNAL_HTTP_MESSAGE_H

#include <http_parser.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "internal/stream.h"

#define APR_HTTP_MAX_HEADERS 128

/* A header field; `name` and `value` are offsets into AprHttpHead_t.text. */
typedef struct AprHttpHeader_t {
    uint32_t name_offset;
    uint32_t name_size;
    uint32_t value_offset;
    uint32_t value_size;
} AprHttpHeader_t;

/* Head of a request or a response. */
typedef struct AprHttpHead_t {
    AprBuffer_t text; /* request target, header names and values */
    AprHttpHeader_t headers[APR_HTTP_MAX_HEADERS];
    int header_count;
    char method[24];        /* requests only */
    uint32_t target_offset; /* offset of the request target in `text` */
    uint32_t target_size;
    int status; /* responses only */
    bool has_content_length;
    uint64_t content_length; /* Content-Length; 0 if there is none */
    bool chunked;
    bool keep_alive;
    bool http_1_0;
} AprHttpHead_t;

typedef struct AprHttpParser_t AprHttpParser_t;

/* Callbacks for the parts of a message, in their order. A non-zero return
   value stops the parser with APR_E_CLOSED. */
typedef struct AprHttpHandler_t {
    int (*on_head)(void *context, const AprHttpHead_t *head);
    int (*on_body)(void *context, const char *data, size_t size);
    int (*on_complete)(void *context);
} AprHttpHandler_t;

AprHttpParser_t *AprHttpParser_New(enum http_parser_type type,
                                   const AprHttpHandler_t *handler,
                                   void *context);
void AprHttpParser_Free(AprHttpParser_t *parser);
void AprHttpParser_Reset(AprHttpParser_t *parser);
int AprHttpParser_Execute(AprHttpParser_t *parser, const char *data,
                          size_t size, size_t *used);
int AprHttpParser_RejectionStatus(const AprHttpParser_t *parser, int error);
int AprHttpParser_OnConnectionEnd(AprHttpParser_t *parser);
bool AprHttpParser_IsInMessage(const AprHttpParser_t *parser);
bool AprHttpParser_IsInHead(const AprHttpParser_t *parser);
size_t AprHttpParser_HeldBytes(const AprHttpParser_t *parser);
void AprHttpParser_SetMaxHeadBytes(AprHttpParser_t *parser, size_t bytes);
void AprHttpParser_SetBodyOmitted(AprHttpParser_t *parser, bool omitted);
void AprHttpParser_SetPaused(AprHttpParser_t *parser, bool pause);

const char *AprHttpHead_FindValue(const AprHttpHead_t *head, const char *name,
                                  size_t *size);
int AprHttpHead_CopyValue(const AprHttpHead_t *head, const char *name,
                          char *value, size_t size);
bool AprHttpHeader_IsHopByHop(const AprHttpHead_t *head,
                              const AprHttpHeader_t *header);
const char *AprHttp_ReasonPhrase(int status);

#endif
