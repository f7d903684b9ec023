#include "internal/exchange.h"

#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "apricot/error.h"
#include "apricot/log.h"
#include "apricot/retry_budget.h"

/* Larger bodies are passed on while they arrive and cannot be repeated. */
#define BODY_KEEP 65536

/* Requests whose caller names no time limit and whose route has none. */
#define DEFAULT_LIMIT_MS 30000

/* Time that an answer from the far end of a call may take after its
   deadline. */
#define FINAL_GRACE_MS 200

/* When the owner of a key is about to change, the next try waits this
   long. */
#define OWNER_RETRY_MS 40

/* When to come back while the cause is not known to end at a certain time. */
#define RETRY_AFTER_DEFAULT_MS 200

/* A request is not tried again with less time left than this part of what it
   had. */
#define MIN_TIME_LEFT_SHARE 0.3

static void try_call(AprExchange_t *exchange);

static int64_t
now_of(const AprExchange_t *exchange)
{
    return AprGateway_NowMs(exchange->gateway);
}

/* Sends bytes, or keeps them until the requests before this one have their
   answers. */
static void
emit(AprExchange_t *exchange, const char *data, size_t size)
{
    if (exchange->caller->first == exchange) {
        AprStream_Write(exchange->caller->stream, data, size);
    }
    else {
        AprBuffer_Append(&exchange->held, data, size);
    }
}

static void
log_result(const AprExchange_t *exchange, const char *reason)
{
    const AprCallHead_t *head = &exchange->head;

    AprLog_Write(
        APR_LOG_INFO, "request",
        "request=%s route=%s service=%s key=%d peer=%s status=%d tries=%d "
        "took_ms=%lld left_ms=%lld config=%llx reason=%s",
        head->id, head->route, head->service, head->key,
        exchange->tries > 0 ? exchange->tried[exchange->tries - 1] : "none",
        exchange->status, exchange->tries,
        (long long)(now_of(exchange) - head->arrived_ms),
        (long long)(head->deadline_ms - now_of(exchange)),
        (unsigned long long)head->config_version, reason);
}

static void
finish(AprExchange_t *exchange)
{
    exchange->answered_whole = true;
    exchange->ref.call = NULL;
    ev_timer_stop(exchange->gateway->loop, &exchange->timer);
    ev_timer_stop(exchange->gateway->loop, &exchange->again);
    AprEntry_Settle(exchange->caller);
}

static bool
wants_close(const AprExchange_t *exchange)
{
    return !exchange->keep_alive ||
           exchange->gateway->stop_step != APR_STOP_NONE;
}

/* Sends an answer of the gateway itself. */
static void
answer_self(AprExchange_t *exchange, int status, int64_t retry_after_ms,
            const char *reason)
{
    AprBuffer_t text = {0};
    char labels[96];

    if (exchange->answer_started || exchange->answered_whole) {
        return;
    }
    exchange->answer_started = true;
    exchange->status = status;
    exchange->close_after = wants_close(exchange);
    AprBuffer_Print(&text, "HTTP/1.1 %d %s\r\nContent-Length: 0\r\n", status,
                    AprHttp_Reason(status));
    if (retry_after_ms > 0) {
        AprBuffer_Print(&text, "Retry-After: %.3f\r\n",
                        (double)retry_after_ms / 1000.0);
    }
    if (exchange->close_after) {
        AprBuffer_Print(&text, "Connection: close\r\n");
    }
    AprBuffer_Print(&text, "\r\n");
    emit(exchange, AprBuffer_Data(&text), AprBuffer_Size(&text));
    AprBuffer_Free(&text);
    snprintf(labels, sizeof(labels), "reason=\"%s\",status=\"%d\"", reason,
             status);
    AprGateway_Count(exchange->gateway, "requests_failed_total", labels);
    log_result(exchange, reason);
    finish(exchange);
}

/* Ends a request at once with an answer of the gateway itself; a call that is
   under way is cancelled. */
void
AprExchange_Reject(AprExchange_t *exchange, int status, const char *reason)
{
    if (exchange->answer_started) {
        return;
    }
    if (exchange->ref.call != NULL) {
        exchange->ref.ops->cancel(exchange->ref.call);
        exchange->ref.call = NULL;
        exchange->may_have_run = true;
    }
    answer_self(exchange, status, 0, reason);
}

/* Writes a minimal answer on a connection without a request. */
void
AprExchange_WriteError(AprStream_t *stream, int status)
{
    char text[128];

    snprintf(text, sizeof(text),
             "HTTP/1.1 %d %s\r\nContent-Length: 0\r\nConnection: "
             "close\r\n\r\n",
             status, AprHttp_Reason(status));
    AprStream_Write(stream, text, strlen(text));
}

static void
refuse(AprExchange_t *exchange, const AprCallFailure_t *failure)
{
    int64_t after_ms = failure->retry_after_ms > 0 ? failure->retry_after_ms
                                                   : RETRY_AFTER_DEFAULT_MS;

    if (!exchange->may_have_run || exchange->head.idempotent) {
        if (failure->not_run) {
            answer_self(exchange, 503, after_ms,
                        AprCallError_Name(failure->error));
            return;
        }
    }
    answer_self(exchange, failure->error == APR_CALL_TIMEOUT ? 504 : 502, 0,
                AprCallError_Name(failure->error));
}

static bool
has_time(const AprExchange_t *exchange)
{
    const AprCallHead_t *head = &exchange->head;
    double span_ms = (double)(head->deadline_ms - head->arrived_ms);

    return (double)(head->deadline_ms - now_of(exchange)) >
           MIN_TIME_LEFT_SHARE * span_ms;
}

static bool
may_repeat(AprExchange_t *exchange, const AprCallFailure_t *failure)
{
    bool arrived = !failure->not_run || failure->error == APR_CALL_SHED;

    if (exchange->answer_started || exchange->tries >= APR_MAX_TRIES ||
        exchange->body_dropped || !exchange->body_complete ||
        !has_time(exchange)) {
        return false;
    }
    if (!failure->not_run && !exchange->head.idempotent) {
        return false;
    }
    if (!arrived) {
        return true;
    }
    return exchange->tries < exchange->attempts &&
           failure->error != APR_CALL_TIMEOUT &&
           AprRetryBudget_Spend(AprGateway_RetryBudget(exchange->gateway));
}

static void
on_fail(void *context, const AprCallFailure_t *failure)
{
    AprExchange_t *exchange = context;
    bool keyed_refusal = exchange->keyed && failure->not_run &&
                         failure->error != APR_CALL_NOT_OWNER &&
                         failure->error != APR_CALL_UNREACHABLE;

    exchange->ref.call = NULL;
    exchange->last_failure = *failure;
    if (!failure->not_run) {
        exchange->may_have_run = true;
    }
    if (exchange->answer_started) {
        log_result(exchange, "answer cut");
        AprEntry_Break(exchange->caller);
        return;
    }
    if (keyed_refusal || !may_repeat(exchange, failure)) {
        refuse(exchange, failure);
        return;
    }
    AprLog_Write(APR_LOG_INFO, "request_repeat",
                 "request=%s peer=%s error=%s tries=%d", exchange->head.id,
                 exchange->tried[exchange->tries - 1],
                 AprCallError_Name(failure->error), exchange->tries);
    if (exchange->keyed) {
        ev_timer_set(&exchange->again, OWNER_RETRY_MS / 1000.0, 0.0);
        ev_timer_start(exchange->gateway->loop, &exchange->again);
        return;
    }
    try_call(exchange);
}

static bool
status_has_body(int status)
{
    return status >= 200 && status != 204 && status != 304;
}

static void
on_answer(void *context, const AprAnswerHead_t *head)
{
    AprExchange_t *exchange = context;
    AprBuffer_t text = {0};
    bool has_body = !exchange->no_body && status_has_body(head->status);

    exchange->answer_started = true;
    exchange->status = head->status;
    exchange->close_after = wants_close(exchange);
    AprBuffer_Print(&text, "HTTP/1.1 %d %s\r\n%s", head->status,
                    AprHttp_Reason(head->status), head->headers);
    if (head->has_length) {
        AprBuffer_Print(&text, "Content-Length: %llu\r\n",
                        (unsigned long long)head->length);
    }
    else if (has_body && !exchange->http_1_0) {
        exchange->answer_chunked = true;
        AprBuffer_Print(&text, "Transfer-Encoding: chunked\r\n");
    }
    else if (has_body) {
        exchange->close_after = true;
    }
    if (exchange->close_after) {
        AprBuffer_Print(&text, "Connection: close\r\n");
    }
    AprBuffer_Print(&text, "\r\n");
    emit(exchange, AprBuffer_Data(&text), AprBuffer_Size(&text));
    AprBuffer_Free(&text);
}

static void
on_answer_data(void *context, const char *data, size_t size)
{
    AprExchange_t *exchange = context;
    char line[32];

    if (exchange->no_body) {
        return;
    }
    exchange->unpassed += size;
    if (exchange->answer_chunked) {
        snprintf(line, sizeof(line), "%zx\r\n", size);
        emit(exchange, line, strlen(line));
    }
    emit(exchange, data, size);
    if (exchange->answer_chunked) {
        emit(exchange, "\r\n", 2);
    }
}

static void
on_answer_end(void *context)
{
    AprExchange_t *exchange = context;

    exchange->ref.call = NULL;
    if (exchange->answer_chunked) {
        emit(exchange, "0\r\n\r\n", 5);
    }
    log_result(exchange, "answered");
    AprGateway_Count(exchange->gateway, "requests_answered_total", "");
    AprGateway_ObserveMs(exchange->gateway,
                         now_of(exchange) - exchange->head.arrived_ms);
    finish(exchange);
}

static void
on_body_taken(void *context, size_t size)
{
    AprExchange_t *exchange = context;

    exchange->body_untaken -=
        size < exchange->body_untaken ? size : exchange->body_untaken;
    if (exchange->body_untaken <= APR_CALL_WINDOW / 2 &&
        exchange->caller->reading == exchange &&
        exchange->caller->stream != NULL) {
        AprStream_ReadPause(exchange->caller->stream, false);
    }
}

static const AprCallSink_t sink = {on_answer, on_answer_data, on_answer_end,
                                   on_fail, on_body_taken};

/* The host for the next try; false when there is none. */
static bool
choose_host(AprExchange_t *exchange, char *host)
{
    AprGateway_t *gateway = exchange->gateway;
    const char *owner;
    AprHost_t *member;

    if (exchange->keyed) {
        owner = AprOwnership_HostOf(gateway->ownership, exchange->head.service,
                                    exchange->head.key);
        if (owner == NULL || owner[0] == '\0') {
            return false;
        }
        g_strlcpy(host, owner, APR_NAME_SIZE);
        return true;
    }
    member = AprMembers_Choose(gateway->members, exchange->head.service,
                               exchange->tried, exchange->tries);
    if (member == NULL) {
        return false;
    }
    g_strlcpy(host, member->host, APR_NAME_SIZE);
    return true;
}

static void
try_call(AprExchange_t *exchange)
{
    AprGateway_t *gateway = exchange->gateway;
    AprCallFailure_t failure = {APR_CALL_NO_BACKEND, true, 0};
    const char *data = AprBuffer_Data(&exchange->body);
    size_t size = AprBuffer_Size(&exchange->body);
    char *host = exchange->tried[exchange->tries];
    bool sent;

    if (!choose_host(exchange, host)) {
        refuse(exchange,
               exchange->tries > 0 ? &exchange->last_failure : &failure);
        return;
    }
    exchange->tries++;
    exchange->body_untaken = size;
    if (strcmp(host, gateway->settings.host) == 0) {
        sent = AprBackend_Submit(gateway->backend, &exchange->head, data, size,
                                 exchange->body_complete, &sink, exchange,
                                 &exchange->ref, &failure);
    }
    else {
        sent = AprLinks_Submit(gateway->links, host, &exchange->head, data,
                               size, exchange->body_complete, &sink, exchange,
                               &exchange->ref, &failure);
    }
    if (!sent) {
        on_fail(exchange, &failure);
    }
}

static void
on_again(struct ev_loop *loop, ev_timer *watcher, int events)
{
    (void)loop;
    (void)events;
    try_call(watcher->data);
}

static void
on_limit(struct ev_loop *loop, ev_timer *watcher, int events)
{
    AprExchange_t *exchange = watcher->data;
    AprCallFailure_t failure = {APR_CALL_TIMEOUT, false, 0};

    (void)loop;
    (void)events;
    if (exchange->answer_started) {
        return;
    }
    if (exchange->ref.call != NULL) {
        exchange->ref.ops->cancel(exchange->ref.call);
        exchange->ref.call = NULL;
        exchange->may_have_run = true;
    }
    else if (!exchange->submitted) {
        exchange->close_after = true;
        answer_self(exchange, 408, 0, "body incomplete");
        return;
    }
    refuse(exchange, &failure);
}

static void
start_call(AprExchange_t *exchange)
{
    exchange->submitted = true;
    AprRetryBudget_Earn(AprGateway_RetryBudget(exchange->gateway));
    try_call(exchange);
}

/* Takes a part of the request's body. */
void
AprExchange_Body(AprExchange_t *exchange, const char *data, size_t size)
{
    if (exchange->answer_started || exchange->reject_status != 0) {
        return;
    }
    if (exchange->ref.call != NULL) {
        exchange->body_untaken += size;
        if (exchange->body_untaken > APR_CALL_WINDOW) {
            AprStream_ReadPause(exchange->caller->stream, true);
        }
        exchange->ref.ops->write_body(exchange->ref.call, data, size, false);
        return;
    }
    AprBuffer_Append(&exchange->body, data, size);
    if (!exchange->submitted && AprBuffer_Size(&exchange->body) > BODY_KEEP) {
        exchange->body_dropped = true;
        start_call(exchange);
        AprBuffer_Free(&exchange->body);
    }
}

/* The whole body was read. */
void
AprExchange_BodyEnd(AprExchange_t *exchange)
{
    exchange->body_complete = true;
    if (exchange->answer_started) {
        return;
    }
    if (exchange->reject_status != 0) {
        answer_self(exchange, exchange->reject_status,
                    exchange->reject_status == 503 ? RETRY_AFTER_DEFAULT_MS
                                                   : 0,
                    exchange->reject_reason);
        return;
    }
    if (exchange->submitted) {
        if (exchange->ref.call != NULL) {
            exchange->ref.ops->write_body(exchange->ref.call, "", 0, true);
        }
        return;
    }
    start_call(exchange);
}

static bool
is_own_header(const AprHeaderNames_t *names, const char *name, size_t size)
{
    const char *own[] = {names->time_left, names->expected_id, names->caller};

    for (size_t i = 0; i < sizeof(own) / sizeof(own[0]); i++) {
        if (strlen(own[i]) == size && strncasecmp(own[i], name, size) == 0) {
            return true;
        }
    }
    return false;
}

static char *
copy_headers(const AprHeaderNames_t *names, const AprHttpHead_t *head)
{
    const char *text = AprBuffer_Data(&head->text);
    AprBuffer_t lines = {0};

    for (int i = 0; i < head->header_count; i++) {
        const AprHttpHeader_t *header = &head->headers[i];

        if (!AprHttpHeader_IsHopByHop(head, header) &&
            !is_own_header(names, text + header->name, header->name_size)) {
            AprBuffer_Print(&lines, "%.*s: %.*s\r\n", (int)header->name_size,
                            text + header->name, (int)header->value_size,
                            text + header->value);
        }
    }
    AprBuffer_Append(&lines, "", 1);
    return lines.data;
}

static void
set_times(AprExchange_t *exchange, const AprHttpHead_t *http,
          const AprRoute_t *route)
{
    AprCallHead_t *head = &exchange->head;
    int64_t limit_ms = route != NULL && route->limit_ms > 0 ? route->limit_ms
                                                            : DEFAULT_LIMIT_MS;
    char text[32];

    head->arrived_ms = now_of(exchange);
    if (AprHttpHead_Copy(http, exchange->gateway->names->time_left, text,
                         sizeof(text)) == APR_OK) {
        int64_t left_ms = strtoll(text, NULL, 10);

        head->has_deadline = left_ms > 0;
        if (left_ms > 0 && left_ms < limit_ms) {
            limit_ms = left_ms;
        }
    }
    head->deadline_ms = head->arrived_ms + limit_ms;
    head->objective_ms =
        head->arrived_ms + (route != NULL && route->objective_ms > 0
                                ? route->objective_ms
                                : limit_ms);
    if (head->objective_ms > head->deadline_ms) {
        head->objective_ms = head->deadline_ms;
    }
    ev_timer_set(&exchange->timer,
                 (double)(limit_ms + FINAL_GRACE_MS) / 1000.0, 0.0);
    ev_timer_start(exchange->gateway->loop, &exchange->timer);
}

static int
read_key(AprExchange_t *exchange, const AprHttpHead_t *http)
{
    char text[16];
    char *end;
    long key;

    if (AprHttpHead_Copy(http, exchange->gateway->names->key, text,
                         sizeof(text)) != APR_OK) {
        return APR_E_NOT_FOUND;
    }
    key = strtol(text, &end, 10);
    if (end == text || *end != '\0' || key < 0 || key >= APR_KEY_COUNT) {
        return APR_E_INVALID;
    }
    exchange->head.key = (int)key;
    return APR_OK;
}

static void
reject_later(AprExchange_t *exchange, int status, const char *reason)
{
    exchange->reject_status = status;
    exchange->reject_reason = reason;
}

static void
find_route(AprExchange_t *exchange, const AprHttpHead_t *http)
{
    AprGateway_t *gateway = exchange->gateway;
    AprCallHead_t *head = &exchange->head;
    AprRoute_t *route;
    size_t host_size = 0;
    const char *host = AprHttpHead_Find(http, "Host", &host_size);
    int service;

    if (gateway->routes == NULL) {
        reject_later(exchange, 503, "no configuration");
        set_times(exchange, http, NULL);
        return;
    }
    head->config_version = gateway->routes->version;
    route = AprRouteTable_Find(gateway->routes, host == NULL ? "" : host,
                               host_size, head->target, strlen(head->target));
    set_times(exchange, http, route);
    if (route == NULL) {
        reject_later(exchange, 404, "no route");
        return;
    }
    service = AprRoute_NextService(route);
    g_strlcpy(head->route, route->name, sizeof(head->route));
    head->idempotent = route->idempotent;
    head->rank = route->rank;
    exchange->attempts = route->attempts;
    if (service < 0) {
        reject_later(exchange, 503, "no service");
        return;
    }
    g_strlcpy(head->service, gateway->routes->services[service].name,
              sizeof(head->service));
    exchange->keyed = gateway->routes->services[service].keyed;
    if (exchange->keyed && read_key(exchange, http) != APR_OK) {
        reject_later(exchange, 400, "no valid key");
    }
}

/* Recognizes a call that a request running at the local backend server makes.
   It has the urgency of that request and is in time while that one can be. */
static void
find_parent(AprExchange_t *exchange)
{
    AprGateway_t *gateway = exchange->gateway;
    AprCallHead_t *head = &exchange->head;
    const char *end = strrchr(head->id, gateway->names->nested_separator);
    const AprCallHead_t *parent;

    if (gateway->names->nested_separator == '\0' || end == NULL) {
        return;
    }
    parent = AprBackend_FindRunning(gateway->backend, head->id,
                                    (size_t)(end - head->id));
    if (parent == NULL) {
        return;
    }
    head->nested = true;
    if (parent->rank < head->rank) {
        head->rank = parent->rank;
    }
    if (parent->objective_ms > head->objective_ms) {
        head->objective_ms = parent->objective_ms < head->deadline_ms
                                 ? parent->objective_ms
                                 : head->deadline_ms;
    }
}

/* Takes in a request whose head was read. NULL when memory runs out. */
AprExchange_t *
AprExchange_New(AprGateway_t *gateway, AprCaller_t *caller,
                const AprHttpHead_t *http)
{
    AprExchange_t *exchange = calloc(1, sizeof(*exchange));
    AprCallHead_t *head;
    char expect[32];

    if (exchange == NULL) {
        return NULL;
    }
    head = &exchange->head;
    exchange->gateway = gateway;
    exchange->caller = caller;
    ev_timer_init(&exchange->timer, on_limit, 0.0, 0.0);
    ev_timer_init(&exchange->again, on_again, 0.0, 0.0);
    exchange->timer.data = exchange;
    exchange->again.data = exchange;
    head->key = APR_NO_KEY;
    head->headers = copy_headers(gateway->names, http);
    head->target =
        strndup(AprBuffer_Data(&http->text) + http->target, http->target_size);
    if (head->headers == NULL || head->target == NULL) {
        AprExchange_Free(exchange);
        return NULL;
    }
    g_strlcpy(head->method, http->method, sizeof(head->method));
    g_strlcpy(head->caller, gateway->settings.backend_service,
              sizeof(head->caller));
    AprHttpHead_Copy(http, gateway->names->attempt, head->id,
                     sizeof(head->id));
    head->has_length = http->has_length;
    head->length = http->length;
    exchange->keep_alive = http->keep_alive;
    exchange->http_1_0 = http->http_1_0;
    exchange->no_body = strcmp(http->method, "HEAD") == 0;
    find_route(exchange, http);
    find_parent(exchange);
    if (AprHttpHead_Copy(http, "Expect", expect, sizeof(expect)) == APR_OK &&
        strcasecmp(expect, "100-continue") == 0) {
        emit(exchange, "HTTP/1.1 100 Continue\r\n\r\n", 25);
    }
    return exchange;
}

/* Sends what was kept while earlier requests were answered. */
void
AprExchange_FlushHeld(AprExchange_t *exchange)
{
    AprStream_Write(exchange->caller->stream, AprBuffer_Data(&exchange->held),
                    AprBuffer_Size(&exchange->held));
    AprBuffer_Free(&exchange->held);
}

/* All written bytes of the answer were sent. */
void
AprExchange_Drained(AprExchange_t *exchange)
{
    size_t size = exchange->unpassed;

    exchange->unpassed = 0;
    if (size > 0 && exchange->ref.call != NULL) {
        exchange->ref.ops->acknowledge_response(exchange->ref.call, size);
    }
}

/* Ends a request whose caller left. */
void
AprExchange_Abandon(AprExchange_t *exchange)
{
    if (!exchange->answered_whole) {
        exchange->status = 0;
        log_result(exchange, "caller left");
    }
    if (exchange->ref.call != NULL) {
        exchange->ref.ops->cancel(exchange->ref.call);
        exchange->ref.call = NULL;
    }
    AprExchange_Free(exchange);
}

/* Frees a request that is no longer under way. */
void
AprExchange_Free(AprExchange_t *exchange)
{
    ev_timer_stop(exchange->gateway->loop, &exchange->timer);
    ev_timer_stop(exchange->gateway->loop, &exchange->again);
    AprCallHead_Clear(&exchange->head);
    AprBuffer_Free(&exchange->body);
    AprBuffer_Free(&exchange->held);
    free(exchange);
}
