#include "internal/backend_transfer.h"

#include <errno.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <uuid/uuid.h>

#define HEADER_SIZE 256
#define UUID_TEXT_SIZE 37

static void
add_header(AprBackendTransfer_t *transfer, const char *name, const char *value)
{
    char line[HEADER_SIZE];
    struct curl_slist *headers;

    snprintf(line, sizeof(line), "%s: %s", name, value);
    /* A line break in a caller's value would begin another header. */
    if (strpbrk(line, "\r\n") != NULL) {
        return;
    }
    headers = curl_slist_append(transfer->headers, line);
    if (headers != NULL) {
        transfer->headers = headers;
    }
}

static void
add_headers(AprBackendTransfer_t *transfer)
{
    const AprBackendCall_t *call = transfer->call;
    const AprRequestMessage_t *request = &call->request->request;
    char text[HEADER_SIZE];
    int64_t left =
        AprTime_DiffMs(transfer->deadline, AprClock_Now(transfer->clock));

    add_header(transfer, "Apricot-Rank", call->rank);
    snprintf(text, sizeof(text), "%" PRId64, left > 0 ? left : 0);
    add_header(transfer, "Apricot-Timeout-Ms", text);
    snprintf(text, sizeof(text), "%" PRIu64 ";%" PRId64, call->grant_epoch,
             call->grant_expiry_ms);
    add_header(transfer, "Apricot-Grant", text);
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
    /* Without it libcurl waits for "100 Continue" before large bodies. */
    transfer->headers = curl_slist_append(transfer->headers, "Expect:");
}

static char *
escape(AprBytes_t bytes, const char *also_allowed)
{
    return g_uri_escape_bytes((const guint8 *)bytes.data, bytes.size,
                              also_allowed);
}

static void
set_url(const AprBackendTransfer_t *transfer)
{
    const AprBackendCall_t *call = transfer->call;
    const AprRequestMessage_t *request = &call->request->request;
    char *operation = escape(request->operation, NULL);
    char *key = escape(request->key, "/");
    char *url = g_strdup_printf("http://%s/%s/%s/%s", call->address,
                                call->service, operation, key);

    curl_easy_setopt(transfer->curl, CURLOPT_URL, url);
    g_free(url);
    g_free(key);
    g_free(operation);
}

static size_t
collect(char *data, size_t size, size_t count, void *context)
{
    AprBackendTransfer_t *transfer = context;

    if (transfer->body->len + size * count > transfer->max_body_bytes) {
        transfer->too_large = true;
        return 0;
    }
    g_string_append_len(transfer->body, data, (gssize)(size * count));
    return size * count;
}

/* Called by libcurl on a connection that is ready, right before the first
   byte of the request. The last point at which the call can be dropped with
   certainty that it did not run. libcurl sets the parameter types. */
static int
/* NOLINTNEXTLINE(readability-non-const-parameter) */
before_request(void *context, char *remote_ip, char *local_ip, int remote_port,
               int local_port)
{
    AprBackendTransfer_t *transfer = context;
    struct timespec now = AprClock_Now(transfer->clock);

    (void)remote_ip;
    (void)local_ip;
    (void)remote_port;
    (void)local_port;
    if (!AprTime_Before(now, AprBackendTransfer_Limit(transfer))) {
        return CURL_PREREQFUNC_ABORT;
    }
    transfer->started = true;
    transfer->started_at = now;
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
set_options(AprBackendTransfer_t *transfer)
{
    CURL *curl = transfer->curl;
    bool idempotent = transfer->call->request->request.idempotent;

    set_url(transfer);
    set_method(transfer);
    add_headers(transfer);
    curl_easy_setopt(curl, CURLOPT_HTTPHEADER, transfer->headers);
    curl_easy_setopt(curl, CURLOPT_PRIVATE, transfer);
    curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, collect);
    curl_easy_setopt(curl, CURLOPT_WRITEDATA, transfer);
    curl_easy_setopt(curl, CURLOPT_PREREQFUNCTION, before_request);
    curl_easy_setopt(curl, CURLOPT_PREREQDATA, transfer);
    /* libcurl sends a request again when a reused connection closes early,
       which would run a non-idempotent operation twice. */
    curl_easy_setopt(curl, CURLOPT_FRESH_CONNECT, idempotent ? 0L : 1L);
    curl_easy_setopt(curl, CURLOPT_HTTP_VERSION, (long)CURL_HTTP_VERSION_1_1);
    curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(curl, CURLOPT_PROXY, "");
    /* Keys may contain "..", which libcurl would otherwise fold away. */
    curl_easy_setopt(curl, CURLOPT_PATH_AS_IS, 1L);
}

/* Prepares an exchange and takes ownership of the call. Returns NULL, and
   leaves the call to the caller, when memory runs out. */
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
    set_options(transfer);
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

/* Time at which the exchange has to be given up. A request that has not been
   sent is also bound by `not_after`, because the lease of the host may end
   then. */
struct timespec
AprBackendTransfer_Limit(const AprBackendTransfer_t *transfer)
{
    if (!transfer->started &&
        AprTime_Before(transfer->call->not_after, transfer->deadline)) {
        return transfer->call->not_after;
    }
    return transfer->deadline;
}

static AprBackendResult_t *
new_result(const AprBackendCall_t *call, AprOutcomeKind_t outcome)
{
    AprBackendResult_t *result = calloc(1, sizeof(*result));

    if (result == NULL) {
        /* A call without a result would hold its slot for ever. */
        abort();
    }
    result->id = call->id;
    result->outcome = outcome;
    return result;
}

/* Result of a call that was not started. */
AprBackendResult_t *
AprBackendResult_NotRun(const AprBackendCall_t *call, int code,
                        const char *reason)
{
    AprBackendResult_t *result = new_result(call, APR_NOT_RUN);

    AprError_Set(&result->error, code, APR_STEP_BACKEND, call->address, "%s",
                 reason);
    return result;
}

static double
elapsed_ms(const AprBackendTransfer_t *transfer)
{
    if (!transfer->started) {
        return 0;
    }
    return (double)AprTime_DiffNs(AprClock_Now(transfer->clock),
                                  transfer->started_at) /
           1e6;
}

/* Result of an exchange that is abandoned: not run if nothing was sent,
   otherwise unknown. */
AprBackendResult_t *
AprBackendTransfer_GiveUp(const AprBackendTransfer_t *transfer, int code,
                          const char *reason)
{
    AprBackendResult_t *result =
        AprBackendResult_NotRun(transfer->call, code, reason);

    result->outcome = transfer->started ? APR_UNKNOWN : APR_NOT_RUN;
    result->service_ms = elapsed_ms(transfer);
    return result;
}

static bool
has_outcome(const AprBackendTransfer_t *transfer, const char *outcome)
{
    struct curl_header *header;

    return curl_easy_header(transfer->curl, "Apricot-Outcome", 0, CURLH_HEADER,
                            -1, &header) == CURLHE_OK &&
           strcmp(header->value, outcome) == 0;
}

/* What the backend says about its own answer. An error without a statement is
   an answer like any other. */
static AprOutcomeKind_t
stated_outcome(const AprBackendTransfer_t *transfer, long status)
{
    if (status >= 400 && has_outcome(transfer, "not-run")) {
        return APR_NOT_RUN;
    }
    if (status >= 400 && has_outcome(transfer, "unknown")) {
        return APR_UNKNOWN;
    }
    return APR_ANSWERED;
}

static void
set_body(AprBackendResult_t *result, const GString *body, const char *type)
{
    result->content_type = strdup(type == NULL ? "" : type);
    result->body = malloc(body->len + 1);
    if (result->content_type == NULL || result->body == NULL) {
        abort(); /* as in new_result */
    }
    memcpy(result->body, body->str, body->len + 1);
    result->body_size = body->len;
}

static AprBackendResult_t *
answer_result(const AprBackendTransfer_t *transfer)
{
    AprBackendResult_t *result = new_result(transfer->call, APR_ANSWERED);
    char *content_type = NULL;
    long status = 0;

    curl_easy_getinfo(transfer->curl, CURLINFO_RESPONSE_CODE, &status);
    curl_easy_getinfo(transfer->curl, CURLINFO_CONTENT_TYPE, &content_type);
    result->outcome = stated_outcome(transfer, status);
    result->status = (int)status;
    result->service_ms = elapsed_ms(transfer);
    if (result->outcome == APR_ANSWERED) {
        set_body(result, transfer->body, content_type);
    }
    else {
        AprError_Set(&result->error, APR_E_UNAVAILABLE, APR_STEP_BACKEND,
                     transfer->call->address, "status %ld: %.120s", status,
                     transfer->body->str);
    }
    return result;
}

/* Result of an exchange that libcurl has ended. */
AprBackendResult_t *
AprBackendTransfer_Finish(const AprBackendTransfer_t *transfer, CURLcode code)
{
    AprBackendResult_t *result;
    long os_error = 0;

    if (code == CURLE_OK) {
        return answer_result(transfer);
    }
    if (transfer->too_large) {
        return AprBackendTransfer_GiveUp(transfer, APR_E_TOO_LARGE,
                                         "the answer is too large");
    }
    if (code == CURLE_ABORTED_BY_CALLBACK) {
        return AprBackendTransfer_GiveUp(transfer, APR_E_TIMEOUT,
                                         "too late to start");
    }
    result = AprBackendTransfer_GiveUp(transfer, APR_E_IO,
                                       curl_easy_strerror(code));
    curl_easy_getinfo(transfer->curl, CURLINFO_OS_ERRNO, &os_error);
    result->refused = !transfer->started && code == CURLE_COULDNT_CONNECT &&
                      os_error == ECONNREFUSED;
    return result;
}
