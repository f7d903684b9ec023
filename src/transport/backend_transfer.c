#include "internal/backend_transfer.h"

#include <errno.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <uuid/uuid.h>

#define MAX_HEADER_LINE_SIZE 256
#define UUID_TEXT_SIZE 37

/* Largest response head, interim responses included. */
#define MAX_HEAD_BYTES 65536

/* Names the request to the backend server. A response that repeats the header
   can be told from a late copy of an earlier one; the connection of a response
   without it is not used again. */
#define REQUEST_ID_HEADER "Apricot-Request"

/* Adds a request header. A value that contains a line break is left out, as it
   would start another header. */
static void
add_header(AprBackendTransfer_t *transfer, const char *name, const char *value)
{
    char line[MAX_HEADER_LINE_SIZE];
    struct curl_slist *headers;

    snprintf(line, sizeof(line), "%s: %s", name, value);
    if (strpbrk(line, "\r\n") != NULL) {
        return;
    }
    headers = curl_slist_append(transfer->headers, line);
    if (headers != NULL) {
        transfer->headers = headers;
    }
}

static void
add_request_headers(AprBackendTransfer_t *transfer)
{
    const AprBackendCall_t *call = transfer->call;
    const AprRequestMessage_t *request = &call->request->request;
    char text[MAX_HEADER_LINE_SIZE];
    int64_t remaining_ms =
        AprTime_DiffMs(transfer->deadline, AprClock_Now(transfer->clock));

    add_header(transfer, "Apricot-Rank", call->rank);
    snprintf(text, sizeof(text), "%" PRId64,
             remaining_ms > 0 ? remaining_ms : 0);
    add_header(transfer, "Apricot-Timeout-Ms", text);
    snprintf(text, sizeof(text), "%" PRIu64 ";%" PRId64, call->grant_epoch,
             call->grant_expiry_ms);
    add_header(transfer, "Apricot-Grant", text);
    snprintf(text, sizeof(text), "%" PRIu64, call->id);
    add_header(transfer, REQUEST_ID_HEADER, text);
    if (request->has_idempotency_key) {
        char uuid[UUID_TEXT_SIZE];

        uuid_unparse_lower(request->idempotency_key, uuid);
        add_header(transfer, "Idempotency-Key", uuid);
    }
    if (request->content_type.size > 0) {
        snprintf(text, sizeof(text), "%.*s", (int)request->content_type.size,
                 request->content_type.data);
        add_header(transfer, "Content-Type", text);
    }
    /* An empty Expect header stops libcurl from waiting for "100 Continue"
       before it sends a large body. */
    transfer->headers = curl_slist_append(transfer->headers, "Expect:");
}

static char *
percent_encode(AprBytes_t bytes, const char *also_allowed)
{
    return g_uri_escape_bytes((const guint8 *)bytes.data, bytes.size,
                              also_allowed);
}

static void
set_url(const AprBackendTransfer_t *transfer)
{
    const AprBackendCall_t *call = transfer->call;
    const AprRequestMessage_t *request = &call->request->request;
    char *operation = percent_encode(request->operation, NULL);
    char *key = percent_encode(request->key, "/");
    char *url = g_strdup_printf("http://%s/%s/%s/%s", call->address,
                                call->service, operation, key);

    curl_easy_setopt(transfer->curl, CURLOPT_URL, url);
    g_free(url);
    g_free(key);
    g_free(operation);
}

static size_t
write_callback(char *data, size_t size, size_t count, void *context)
{
    AprBackendTransfer_t *transfer = context;

    if (transfer->body->len + size * count > transfer->max_body_bytes) {
        transfer->body_too_large = true;
        return 0;
    }
    g_string_append_len(transfer->body, data, (gssize)(size * count));
    return size * count;
}

/* Handles the end of a response head. Returns whether the response may belong
   to the request. */
static bool
on_head_end(AprBackendTransfer_t *transfer)
{
    long status = 0;

    curl_easy_getinfo(transfer->curl, CURLINFO_RESPONSE_CODE, &status);
    if (status < 200) {
        return true;
    }
    if (!transfer->request_id_seen) {
        curl_easy_setopt(transfer->curl, CURLOPT_FORBID_REUSE, 1L);
    }
    return !transfer->foreign_response;
}

/* Handles a header line of a response. */
static size_t
header_callback(char *data, size_t size, size_t count, void *context)
{
    AprBackendTransfer_t *transfer = context;
    size_t length = size * count;
    size_t name_length = strlen(REQUEST_ID_HEADER ":");

    transfer->head_bytes += length;
    if (transfer->head_bytes > MAX_HEAD_BYTES) {
        transfer->head_too_large = true;
        return 0;
    }
    if (length > name_length &&
        strncasecmp(data, REQUEST_ID_HEADER ":", name_length) == 0) {
        char text[MAX_HEADER_LINE_SIZE];

        snprintf(text, sizeof(text), "%.*s", (int)(length - name_length),
                 data + name_length);
        transfer->request_id_seen = true;
        transfer->foreign_response =
            strtoull(text, NULL, 10) != transfer->call->id;
    }
    if (data[0] == '\r' || data[0] == '\n') {
        return on_head_end(transfer) ? length : 0;
    }
    return length;
}

/* Called by libcurl when a connection is ready, right before the first byte of
   the request is sent. This is the last point at which the call can be aborted
   with certainty that it did not run. libcurl sets the parameter types. */
static int
/* NOLINTNEXTLINE(readability-non-const-parameter) */
prerequest_callback(void *context, char *remote_ip, char *local_ip,
                    int remote_port, int local_port)
{
    AprBackendTransfer_t *transfer = context;
    struct timespec now = AprClock_Now(transfer->clock);

    (void)remote_ip;
    (void)local_ip;
    (void)remote_port;
    (void)local_port;
    if (!AprTime_IsBefore(now, AprBackendTransfer_ExpiresAt(transfer))) {
        return CURL_PREREQFUNC_ABORT;
    }
    transfer->send_started = true;
    transfer->send_started_at = now;
    return CURL_PREREQFUNC_OK;
}

static void
set_method(const AprBackendTransfer_t *transfer)
{
    const AprRequestMessage_t *request = &transfer->call->request->request;

    if (request->is_get) {
        curl_easy_setopt(transfer->curl, CURLOPT_HTTPGET, 1L);
        return;
    }
    curl_easy_setopt(transfer->curl, CURLOPT_POST, 1L);
    curl_easy_setopt(transfer->curl, CURLOPT_POSTFIELDSIZE_LARGE,
                     (curl_off_t)request->body.size);
    curl_easy_setopt(transfer->curl, CURLOPT_POSTFIELDS,
                     request->body.size > 0 ? request->body.data : "");
}

static void
set_transfer_options(AprBackendTransfer_t *transfer)
{
    CURL *curl = transfer->curl;
    bool idempotent = transfer->call->request->request.idempotent;

    set_url(transfer);
    set_method(transfer);
    add_request_headers(transfer);
    curl_easy_setopt(curl, CURLOPT_HTTPHEADER, transfer->headers);
    curl_easy_setopt(curl, CURLOPT_PRIVATE, transfer);
    curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, write_callback);
    curl_easy_setopt(curl, CURLOPT_WRITEDATA, transfer);
    curl_easy_setopt(curl, CURLOPT_HEADERFUNCTION, header_callback);
    curl_easy_setopt(curl, CURLOPT_HEADERDATA, transfer);
    curl_easy_setopt(curl, CURLOPT_PREREQFUNCTION, prerequest_callback);
    curl_easy_setopt(curl, CURLOPT_PREREQDATA, transfer);
    /* libcurl resends a request when a reused connection closes before the
       response, which could run a non-idempotent operation twice. */
    curl_easy_setopt(curl, CURLOPT_FRESH_CONNECT, idempotent ? 0L : 1L);
    curl_easy_setopt(curl, CURLOPT_HTTP_VERSION, (long)CURL_HTTP_VERSION_1_1);
    curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(curl, CURLOPT_PROXY, "");
    /* Keys may contain "..", which libcurl would otherwise resolve. */
    curl_easy_setopt(curl, CURLOPT_PATH_AS_IS, 1L);
}

/* Prepares an exchange and takes ownership of the call. Returns NULL when
   memory runs out; the caller then keeps the call. */
AprBackendTransfer_t *
AprBackendTransfer_New(AprBackendCall_t *call, const AprClock_t *clock,
                       size_t max_body_bytes)
{
    AprBackendTransfer_t *transfer = calloc(1, sizeof(*transfer));

    if (transfer == NULL) {
        return NULL;
    }
    transfer->curl = curl_easy_init();
    if (transfer->curl == NULL) {
        free(transfer);
        return NULL;
    }
    transfer->call = call;
    transfer->clock = clock;
    transfer->max_body_bytes = max_body_bytes;
    transfer->body = g_string_new(NULL);
    transfer->deadline = AprTime_AddMs(AprClock_Now(clock), call->timeout_ms);
    set_transfer_options(transfer);
    return transfer;
}

/* Frees the exchange and its call. */
void
AprBackendTransfer_Free(AprBackendTransfer_t *transfer)
{
    curl_easy_cleanup(transfer->curl);
    curl_slist_free_all(transfer->headers);
    g_string_free(transfer->body, TRUE);
    AprBackendCall_Free(transfer->call);
    free(transfer);
}

/* Returns the time at which the exchange expires. A request that has not been
   sent also expires at `send_deadline`, because the lease of the host may end
   then. */
struct timespec
AprBackendTransfer_ExpiresAt(const AprBackendTransfer_t *transfer)
{
    if (!transfer->send_started &&
        AprTime_IsBefore(transfer->call->send_deadline, transfer->deadline)) {
        return transfer->call->send_deadline;
    }
    return transfer->deadline;
}

static AprBackendResult_t *
new_result(const AprBackendCall_t *call, AprOutcomeKind_t outcome)
{
    AprBackendResult_t *result = calloc(1, sizeof(*result));

    if (result == NULL) {
        /* A call without a result would occupy its slot forever. */
        abort();
    }
    result->id = call->id;
    result->outcome = outcome;
    return result;
}

/* Returns a result, owned by the caller, for a call that was not started. */
AprBackendResult_t *
AprBackendResult_NewNotRun(const AprBackendCall_t *call, int code,
                           const char *reason)
{
    AprBackendResult_t *result = new_result(call, APR_NOT_RUN);

    AprError_Set(&result->error, code, APR_STEP_BACKEND, call->address, "%s",
                 reason);
    return result;
}

/* Returns the time since the request was sent, or 0 if it was not. */
static double
elapsed_ms(const AprBackendTransfer_t *transfer)
{
    if (!transfer->send_started) {
        return 0;
    }
    return (double)AprTime_DiffNs(AprClock_Now(transfer->clock),
                                  transfer->send_started_at) /
           1e6;
}

/* Returns the result of an aborted exchange: not run if nothing was sent,
   otherwise unknown. The caller owns the result. */
AprBackendResult_t *
AprBackendTransfer_NewAbortedResult(const AprBackendTransfer_t *transfer,
                                    int code, const char *reason)
{
    AprBackendResult_t *result =
        AprBackendResult_NewNotRun(transfer->call, code, reason);

    result->outcome = transfer->send_started ? APR_UNKNOWN : APR_NOT_RUN;
    result->service_ms = elapsed_ms(transfer);
    return result;
}

static bool
has_outcome_header(const AprBackendTransfer_t *transfer, const char *outcome)
{
    struct curl_header *header;

    return curl_easy_header(transfer->curl, "Apricot-Outcome", 0, CURLH_HEADER,
                            -1, &header) == CURLHE_OK &&
           strcmp(header->value, outcome) == 0;
}

/* Returns the outcome that an error response states in its Apricot-Outcome
   header. An error response without that header counts as answered. */
static AprOutcomeKind_t
outcome_of_response(const AprBackendTransfer_t *transfer, long status)
{
    if (status >= 400 && has_outcome_header(transfer, "not-run")) {
        return APR_NOT_RUN;
    }
    if (status >= 400 && has_outcome_header(transfer, "unknown")) {
        return APR_UNKNOWN;
    }
    return APR_ANSWERED;
}

static void
copy_response_body(AprBackendResult_t *result, const GString *body,
                   const char *type)
{
    result->content_type = strdup(type == NULL ? "" : type);
    result->body = malloc(body->len + 1);
    if (result->content_type == NULL || result->body == NULL) {
        /* A call without a result would occupy its slot forever. */
        abort();
    }
    memcpy(result->body, body->str, body->len + 1);
    result->body_size = body->len;
}

static AprBackendResult_t *
new_response_result(const AprBackendTransfer_t *transfer)
{
    AprBackendResult_t *result = new_result(transfer->call, APR_ANSWERED);
    char *content_type = NULL;
    long status = 0;

    curl_easy_getinfo(transfer->curl, CURLINFO_RESPONSE_CODE, &status);
    curl_easy_getinfo(transfer->curl, CURLINFO_CONTENT_TYPE, &content_type);
    result->outcome = outcome_of_response(transfer, status);
    result->status = (int)status;
    result->service_ms = elapsed_ms(transfer);
    if (result->outcome == APR_ANSWERED) {
        copy_response_body(result, transfer->body, content_type);
    }
    else {
        AprError_Set(&result->error, APR_E_UNAVAILABLE, APR_STEP_BACKEND,
                     transfer->call->address, "status %ld: %.120s", status,
                     transfer->body->str);
    }
    return result;
}

/* Returns the result, owned by the caller, of an exchange that libcurl has
   completed with `code`. */
AprBackendResult_t *
AprBackendTransfer_NewResult(const AprBackendTransfer_t *transfer,
                             CURLcode code)
{
    AprBackendResult_t *result;
    long os_error = 0;

    if (code == CURLE_OK) {
        return new_response_result(transfer);
    }
    if (transfer->body_too_large || transfer->head_too_large) {
        return AprBackendTransfer_NewAbortedResult(transfer, APR_E_TOO_LARGE,
                                                   "the answer is too large");
    }
    if (transfer->foreign_response) {
        return AprBackendTransfer_NewAbortedResult(
            transfer, APR_E_PARSE, "the answer belongs to another request");
    }
    if (code == CURLE_ABORTED_BY_CALLBACK) {
        return AprBackendTransfer_NewAbortedResult(transfer, APR_E_TIMEOUT,
                                                   "too late to start");
    }
    result = AprBackendTransfer_NewAbortedResult(transfer, APR_E_IO,
                                                 curl_easy_strerror(code));
    curl_easy_getinfo(transfer->curl, CURLINFO_OS_ERRNO, &os_error);
    result->connection_refused = !transfer->send_started &&
                                 code == CURLE_COULDNT_CONNECT &&
                                 os_error == ECONNREFUSED;
    return result;
}
