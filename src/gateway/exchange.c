#include "internal/exchange.h"

#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "apricot/error.h"
#include "apricot/log.h"
#include "apricot/retry_budget.h"

/* A larger request body is streamed while it arrives, and such a request
   cannot be retried. */
#define MAX_BUFFERED_BODY_BYTES 65536

/* Time limit of requests without one from the caller or the route. */
#define DEFAULT_TIMEOUT_MS 30000

/* A response that requests wait behind is held until it is complete, but not
   for more bytes or a longer time. Its sender stops at a part of
   APR_CALL_WINDOW_BYTES that is not taken. */
#define MAX_HELD_BYTES 32768
#define HOLD_MS 250

/* Delay of the next attempt for a key whose owner is about to change. */
#define OWNER_CHANGE_RETRY_MS 40

/* Longest wait for the new owner of a key. A change of the key map usually
   reaches all hosts within 200 ms. */
#define OWNER_CHANGE_MAX_MS 300

/* Retry-After of failures whose end is not known. */
#define RETRY_AFTER_DEFAULT_MS 200

/* Retry-After of a request that a backend server shed although it had a free
   slot. A short one still leaves time to meet the objective. */
#define SHED_RETRY_AFTER_MS 50

/* Least part of a request's time limit that must be left for a retry. */
#define MIN_RETRY_TIME_FRACTION 0.3

static void start_attempt(AprExchange_t *exchange);
static void start_retry_timer(AprExchange_t *exchange);

static int64_t
exchange_now_ms(const AprExchange_t *exchange)
{
    return AprGateway_NowMs(exchange->gateway);
}

/* Sends response bytes, or buffers them until the responses to earlier
   requests of the connection are complete, or while the response is held. */
static void
write_response(AprExchange_t *exchange, const char *data, size_t size)
{
    if (exchange->caller->first_exchange == exchange &&
        !exchange->response_held) {
        exchange->response_sent |= exchange->response_started;
        AprStream_Write(exchange->caller->stream, data, size);
    }
    else {
        AprBuffer_Append(&exchange->buffered_response, data, size);
    }
}

/* Holds a response that is not complete, as requests wait behind it: if it
   breaks off after a part of it was sent, their responses are lost with the
   connection. */
static void
hold_response(AprExchange_t *exchange)
{
    exchange->response_held = true;
    ev_timer_set(&exchange->hold_timer, HOLD_MS / 1000.0, 0.0);
    ev_timer_start(exchange->gateway->loop, &exchange->hold_timer);
}

/* Sends what was held of a response. */
static void
release_response(AprExchange_t *exchange)
{
    if (!exchange->response_held) {
        return;
    }
    exchange->response_held = false;
    ev_timer_stop(exchange->gateway->loop, &exchange->hold_timer);
    if (exchange->caller->first_exchange == exchange) {
        AprExchange_FlushBuffered(exchange);
    }
}

static void
on_hold_timer(struct ev_loop *loop, ev_timer *watcher, int events)
{
    (void)loop;
    (void)events;
    release_response(watcher->data);
}

/* Drops a response of which nothing was sent. */
static void
drop_response(AprExchange_t *exchange)
{
    exchange->response_held = false;
    ev_timer_stop(exchange->gateway->loop, &exchange->hold_timer);
    AprBuffer_Free(&exchange->buffered_response);
    exchange->unsent_bytes = 0;
    exchange->response_started = false;
    exchange->response_chunked = false;
    exchange->close_after = false;
    exchange->status = 0;
}

static void
log_exchange(const AprExchange_t *exchange, const char *reason)
{
    const AprCallHead_t *head = &exchange->head;

    AprLog_Write(
        APR_LOG_INFO, "request",
        "request=%s route=%s service=%s key=%d peer=%s status=%d tries=%d "
        "took_ms=%lld left_ms=%lld config=%llx reason=%s",
        head->id, head->route, head->service, head->key,
        exchange->attempt_count > 0
            ? exchange->tried_hosts[exchange->attempt_count - 1]
            : "none",
        exchange->status, exchange->attempt_count,
        (long long)(exchange_now_ms(exchange) - exchange->received_ms),
        (long long)(head->deadline_ms - exchange_now_ms(exchange)),
        (unsigned long long)head->config_version, reason);
}

static void
stop_counting_as_pipelined(AprExchange_t *exchange)
{
    if (exchange->counts_as_pipelined) {
        exchange->counts_as_pipelined = false;
        exchange->gateway->memory_budget.pipelined_in_flight--;
    }
}

/* Marks the response as complete. May free the exchange and the caller. */
static void
finish_exchange(AprExchange_t *exchange)
{
    exchange->response_complete = true;
    exchange->waiting_to_start = false;
    exchange->call_ref.call = NULL;
    stop_counting_as_pipelined(exchange);
    ev_timer_stop(exchange->gateway->loop, &exchange->deadline_timer);
    ev_timer_stop(exchange->gateway->loop, &exchange->retry_timer);
    AprEntry_OnExchangeDone(exchange->caller);
}

/* Returns whether the connection closes after the response. */
static bool
should_close(const AprExchange_t *exchange)
{
    return !exchange->keep_alive || !exchange->body_complete ||
           exchange->gateway->stop_step != APR_STOP_NONE;
}

/* Responds to a request from the gateway itself, without a body, unless a
   response has started. `reason` is a metric label. Completes the exchange. */
static void
send_gateway_response(AprExchange_t *exchange, int status,
                      int64_t retry_after_ms, const char *reason)
{
    AprBuffer_t text = {0};
    char labels[96];

    if (exchange->response_started || exchange->response_complete) {
        return;
    }
    exchange->response_started = true;
    exchange->status = status;
    exchange->close_after |= should_close(exchange);
    AprBuffer_AppendFormat(&text, "HTTP/1.1 %d %s\r\nContent-Length: 0\r\n",
                           status, AprHttp_ReasonPhrase(status));
    if (retry_after_ms > 0) {
        AprBuffer_AppendFormat(&text, "Retry-After: %.3f\r\n",
                               (double)retry_after_ms / 1000.0);
    }
    if (exchange->close_after) {
        AprBuffer_AppendFormat(&text, "Connection: close\r\n");
    }
    AprBuffer_AppendFormat(&text, "\r\n");
    write_response(exchange, AprBuffer_Data(&text), AprBuffer_Size(&text));
    AprBuffer_Free(&text);
    snprintf(labels, sizeof(labels), "reason=\"%s\",status=\"%d\"", reason,
             status);
    AprGateway_IncrementCounter(exchange->gateway, "requests_failed_total",
                                labels);
    log_exchange(exchange, reason);
    finish_exchange(exchange);
}

/* Responds with an error from the gateway itself and cancels the call in
   progress. Does nothing when a response has started. `reason` is a metric
   label. */
void
AprExchange_Reject(AprExchange_t *exchange, int status, const char *reason)
{
    if (exchange->response_started) {
        return;
    }
    if (exchange->call_ref.call != NULL) {
        exchange->call_ref.ops->cancel(exchange->call_ref.call);
        exchange->call_ref.call = NULL;
        exchange->may_have_run = true;
    }
    send_gateway_response(exchange, status, 0, reason);
}

/* Writes an error response to a connection without a parsed request. */
void
AprExchange_WriteError(AprStream_t *stream, int status)
{
    char text[128];

    snprintf(text, sizeof(text),
             "HTTP/1.1 %d %s\r\nContent-Length: 0\r\nConnection: "
             "close\r\n\r\n",
             status, AprHttp_ReasonPhrase(status));
    AprStream_Write(stream, text, strlen(text));
}

/* Responds with 503 if the last attempt did not execute the request, and
   either no earlier attempt may have executed it or it is idempotent;
   otherwise with 504 after a timeout and 502 after other failures. */
static void
respond_with_failure(AprExchange_t *exchange, const AprCallFailure_t *failure)
{
    bool adaptive = AprGateway_IsBalancingAdaptive(exchange->gateway);
    int64_t after_ms = failure->retry_after_ms;
    int64_t left_ms = exchange->head.deadline_ms - exchange_now_ms(exchange);

    if (after_ms <= 0) {
        after_ms = failure->error == APR_CALL_SHED && adaptive
                       ? SHED_RETRY_AFTER_MS
                       : RETRY_AFTER_DEFAULT_MS;
    }
    if (adaptive) {
        after_ms = MAX(1, MIN(after_ms, left_ms / 3));
    }
    if (!exchange->may_have_run || exchange->head.idempotent) {
        if (failure->not_run) {
            send_gateway_response(exchange, 503, after_ms,
                                  AprCallError_Name(failure->error));
            return;
        }
    }
    send_gateway_response(exchange,
                          failure->error == APR_CALL_TIMEOUT ? 504 : 502, 0,
                          AprCallError_Name(failure->error));
}

static bool
has_time_to_retry(const AprExchange_t *exchange)
{
    const AprCallHead_t *head = &exchange->head;
    double span_ms = (double)(head->deadline_ms - exchange->received_ms);

    return (double)(head->deadline_ms - exchange_now_ms(exchange)) >
           MIN_RETRY_TIME_FRACTION * span_ms;
}

/* Returns whether a failed attempt reached a backend server, as far as it can
   be told. Such attempts are limited by the route and by the retry budget. */
static bool
has_reached_backend(const AprCallFailure_t *failure)
{
    return !failure->not_run || failure->error == APR_CALL_SHED;
}

/* Returns whether another attempt may follow, if the retry budget allows
   it. */
static bool
allows_retry(const AprExchange_t *exchange, const AprCallFailure_t *failure)
{
    if (exchange->response_started ||
        exchange->attempt_count >= APR_MAX_ATTEMPTS ||
        exchange->body_not_buffered || !exchange->body_complete ||
        !has_time_to_retry(exchange)) {
        return false;
    }
    if (!failure->not_run && !exchange->head.idempotent) {
        return false;
    }
    return !has_reached_backend(failure) ||
           (exchange->attempt_count < exchange->max_backend_attempts &&
            failure->error != APR_CALL_TIMEOUT);
}

/* Returns whether another attempt may follow, and takes its token from the
   retry budget. */
static bool
may_retry(AprExchange_t *exchange, const AprCallFailure_t *failure)
{
    return allows_retry(exchange, failure) &&
           (!has_reached_backend(failure) ||
            AprRetryBudget_TryWithdraw(
                AprGateway_GetRetryBudget(exchange->gateway)));
}

/* Returns whether the owner of a key has refused the request, so that another
   attempt would be refused as well. With adaptive balancing, a shed request is
   tried again: the owner had a free slot, and only its backend server did not
   take this request. */
static bool
is_owner_refusal(const AprExchange_t *exchange,
                 const AprCallFailure_t *failure)
{
    return exchange->keyed && failure->not_run &&
           failure->error != APR_CALL_NOT_OWNER &&
           failure->error != APR_CALL_UNREACHABLE &&
           (failure->error != APR_CALL_SHED ||
            !AprGateway_IsBalancingAdaptive(exchange->gateway));
}

/* Tells the table of hosts how the current attempt of an unkeyed request
   ended. A failure counts with the time left until the objective, or with the
   time that the attempt took if that is longer: a host whose requests fail at
   their deadline must not look like one that answers. */
static void
record_outcome(const AprExchange_t *exchange, bool answered)
{
    int64_t now_ms = exchange_now_ms(exchange);
    int64_t left_ms = exchange->head.objective_ms - now_ms;
    int64_t took_ms = now_ms - exchange->attempt_started_ms;

    if (!exchange->keyed && exchange->attempt_count > 0) {
        AprMembers_RecordOutcome(
            exchange->gateway->members,
            exchange->tried_hosts[exchange->attempt_count - 1],
            answered ? 0 : (double)(left_ms > took_ms ? left_ms : took_ms));
    }
}

/* Handles a failed attempt: retries it, on another host if the service is not
   keyed, or responds with the failure. */
static void
on_call_failed(void *context, const AprCallFailure_t *failure)
{
    AprExchange_t *exchange = context;

    exchange->call_ref.call = NULL;
    record_outcome(exchange, false);
    exchange->last_failure = *failure;
    if (!failure->not_run) {
        exchange->may_have_run = true;
    }
    if (exchange->response_started && !exchange->response_sent) {
        drop_response(exchange);
    }
    if (exchange->response_started) {
        AprLog_Write(APR_LOG_INFO, "response_aborted",
                     "request=%s peer=%s error=%s behind=%d",
                     exchange->head.id,
                     exchange->tried_hosts[exchange->attempt_count - 1],
                     AprCallError_Name(failure->error),
                     exchange->caller->exchange_count - 1);
        AprGateway_IncrementCounter(exchange->gateway,
                                    "responses_aborted_total", "");
        AprEntry_AbortConn(exchange->caller);
        return;
    }
    if (is_owner_refusal(exchange, failure) || !may_retry(exchange, failure)) {
        respond_with_failure(exchange, failure);
        return;
    }
    AprLog_Write(APR_LOG_INFO, "request_retry",
                 "request=%s peer=%s error=%s tries=%d", exchange->head.id,
                 exchange->tried_hosts[exchange->attempt_count - 1],
                 AprCallError_Name(failure->error), exchange->attempt_count);
    if (exchange->keyed) {
        exchange->owner_change_since_ms = exchange_now_ms(exchange);
        start_retry_timer(exchange);
        return;
    }
    start_attempt(exchange);
}

static bool
status_has_body(int status)
{
    return status >= 200 && status != 204 && status != 304;
}

static void
on_response_head(void *context, const AprResponseHead_t *head)
{
    AprExchange_t *exchange = context;
    AprBuffer_t text = {0};
    bool has_body =
        !exchange->omit_response_body && status_has_body(head->status);

    record_outcome(exchange, head->status < 500);
    exchange->response_started = true;
    exchange->status = head->status;
    exchange->close_after = should_close(exchange);
    if (exchange->next != NULL) {
        hold_response(exchange);
    }
    AprBuffer_AppendFormat(&text, "HTTP/1.1 %d %s\r\n%s", head->status,
                           AprHttp_ReasonPhrase(head->status), head->headers);
    if (head->has_length) {
        AprBuffer_AppendFormat(&text, "Content-Length: %llu\r\n",
                               (unsigned long long)head->length);
    }
    else if (has_body && !exchange->http_1_0) {
        exchange->response_chunked = true;
        AprBuffer_AppendFormat(&text, "Transfer-Encoding: chunked\r\n");
    }
    else if (has_body) {
        exchange->close_after = true;
    }
    if (exchange->close_after) {
        AprBuffer_AppendFormat(&text, "Connection: close\r\n");
    }
    AprBuffer_AppendFormat(&text, "\r\n");
    write_response(exchange, AprBuffer_Data(&text), AprBuffer_Size(&text));
    AprBuffer_Free(&text);
}

static void
on_response_data(void *context, const char *data, size_t size)
{
    AprExchange_t *exchange = context;
    char line[32];

    if (exchange->omit_response_body) {
        return;
    }
    exchange->unsent_bytes += size;
    if (exchange->response_chunked) {
        snprintf(line, sizeof(line), "%zx\r\n", size);
        write_response(exchange, line, strlen(line));
    }
    write_response(exchange, data, size);
    if (exchange->response_chunked) {
        write_response(exchange, "\r\n", 2);
    }
    if (AprBuffer_Size(&exchange->buffered_response) > MAX_HELD_BYTES) {
        release_response(exchange);
    }
}

static void
on_response_end(void *context)
{
    AprExchange_t *exchange = context;

    exchange->call_ref.call = NULL;
    if (exchange->response_chunked) {
        write_response(exchange, "0\r\n\r\n", 5);
    }
    release_response(exchange);
    log_exchange(exchange, "answered");
    AprGateway_IncrementCounter(exchange->gateway, "requests_answered_total",
                                "");
    AprGateway_ObserveDuration(exchange->gateway, exchange_now_ms(exchange) -
                                                      exchange->received_ms);
    finish_exchange(exchange);
}

static void
on_request_consumed(void *context, size_t size)
{
    AprExchange_t *exchange = context;

    exchange->caller->consumed_body_bytes += size;
    exchange->unconsumed_body_bytes -= size < exchange->unconsumed_body_bytes
                                           ? size
                                           : exchange->unconsumed_body_bytes;
    AprEntry_UpdateReading(exchange->caller);
}

/* Returns whether the request would be sent again if its attempt failed now
   with an unknown outcome, and not be answered with the failure. */
static bool
may_repeat(void *context)
{
    AprExchange_t *exchange = context;
    AprGateway_t *gateway = exchange->gateway;
    AprCallFailure_t failure = {APR_CALL_BROKEN, false, 0};

    return allows_retry(exchange, &failure) &&
           AprRetryBudget_MayWithdraw(AprGateway_GetRetryBudget(gateway)) &&
           (exchange->keyed ||
            AprMembers_HasUntried(gateway->members, exchange->head.service,
                                  exchange->tried_hosts,
                                  exchange->attempt_count));
}

static const AprCallHandlers_t call_handlers = {
    on_response_head, on_response_data,    on_response_end,
    on_call_failed,   on_request_consumed, may_repeat};

/* Returns whether other hosts grant the bytes of the request body. */
static bool
has_large_body(const AprExchange_t *exchange)
{
    return exchange->body_complete
               ? AprBuffer_Size(&exchange->body) > APR_BODY_UNPACED_BYTES
               : !exchange->head.has_length ||
                     exchange->head.length > APR_BODY_UNPACED_BYTES;
}

/* Copies the name of the host for the next attempt to `host`, which holds
   APR_NAME_SIZE bytes. Returns false when there is none. */
static bool
select_host(AprExchange_t *exchange, char *host)
{
    AprGateway_t *gateway = exchange->gateway;
    const char *owner;
    const AprHost_t *member;

    if (exchange->keyed) {
        owner = AprOwnership_FindOwner(
            gateway->ownership, exchange->head.service, exchange->head.key);
        if (owner == NULL || owner[0] == '\0') {
            return false;
        }
        member = AprMembers_Find(gateway->members, owner);
        if (member != NULL &&
            !AprGateway_MayStartIn(gateway, member->failure_domain,
                                   exchange->head.service, true)) {
            return false;
        }
        g_strlcpy(host, owner, APR_NAME_SIZE);
        return true;
    }
    member = AprMembers_ChooseHost(
        gateway->members, exchange->head.service, has_large_body(exchange),
        exchange->tried_hosts, exchange->attempt_count);
    if (member == NULL) {
        return false;
    }
    g_strlcpy(host, member->host, APR_NAME_SIZE);
    return true;
}

/* Sends the request to the local backend server or to another host. */
static void
start_attempt(AprExchange_t *exchange)
{
    AprGateway_t *gateway = exchange->gateway;
    AprCallFailure_t failure = {APR_CALL_NO_BACKEND, true, 0};
    const char *data = AprBuffer_Data(&exchange->body);
    size_t size = AprBuffer_Size(&exchange->body);
    char *host = exchange->tried_hosts[exchange->attempt_count];
    bool sent;

    if (!select_host(exchange, host)) {
        respond_with_failure(exchange, exchange->attempt_count > 0
                                           ? &exchange->last_failure
                                           : &failure);
        return;
    }
    exchange->attempt_count++;
    exchange->attempt_started_ms = exchange_now_ms(exchange);
    exchange->unconsumed_body_bytes = size;
    if (strcmp(host, gateway->settings.host) == 0) {
        sent = AprBackend_Submit(gateway->backend, &exchange->head, data, size,
                                 exchange->body_complete, &call_handlers,
                                 exchange, &exchange->call_ref, &failure);
    }
    else {
        sent = AprLinks_Submit(gateway->links, host, &exchange->head, data,
                               size, exchange->body_complete, &call_handlers,
                               exchange, &exchange->call_ref, &failure);
    }
    if (!sent) {
        on_call_failed(exchange, &failure);
    }
}

/* Returns whether the host that was tried last said that it does not own the
   key, and this host does not know the new owner yet. An attempt at the same
   host would only use up one of the attempts. */
static bool
awaits_owner_change(const AprExchange_t *exchange)
{
    AprGateway_t *gateway = exchange->gateway;
    const char *owner;

    if (!exchange->keyed || !AprGateway_IsBalancingAdaptive(gateway) ||
        exchange->last_failure.error != APR_CALL_NOT_OWNER ||
        exchange_now_ms(exchange) - exchange->owner_change_since_ms >=
            OWNER_CHANGE_MAX_MS) {
        return false;
    }
    owner = AprOwnership_FindOwner(gateway->ownership, exchange->head.service,
                                   exchange->head.key);
    return owner != NULL &&
           strcmp(owner, exchange->tried_hosts[exchange->attempt_count - 1]) ==
               0;
}

static void
start_retry_timer(AprExchange_t *exchange)
{
    ev_timer_set(&exchange->retry_timer, OWNER_CHANGE_RETRY_MS / 1000.0, 0.0);
    ev_timer_start(exchange->gateway->loop, &exchange->retry_timer);
}

static void
on_retry_timer(struct ev_loop *loop, ev_timer *watcher, int events)
{
    AprExchange_t *exchange = watcher->data;

    (void)loop;
    (void)events;
    if (awaits_owner_change(exchange)) {
        start_retry_timer(exchange);
        return;
    }
    start_attempt(exchange);
}

/* Answers a request whose time is over and cancels its call. Does nothing when
   a response has started. May free the exchange. */
void
AprExchange_TimeOut(AprExchange_t *exchange)
{
    AprCallFailure_t failure = {APR_CALL_TIMEOUT, false, 0};

    if (exchange->response_started) {
        return;
    }
    if (exchange->call_ref.call != NULL) {
        /* Without the whole body the host waits for the caller. */
        if (exchange->body_complete) {
            record_outcome(exchange, false);
        }
        exchange->call_ref.ops->cancel(exchange->call_ref.call);
        exchange->call_ref.call = NULL;
        exchange->may_have_run = true;
    }
    else if (exchange->waiting_to_start && exchange->body_complete) {
        failure = (AprCallFailure_t){APR_CALL_FULL, true, 0};
    }
    else if (!exchange->submitted) {
        exchange->close_after = true;
        send_gateway_response(exchange, 408, 0, "body incomplete");
        return;
    }
    respond_with_failure(exchange, &failure);
}

static void
on_deadline_timer(struct ev_loop *loop, ev_timer *watcher, int events)
{
    (void)loop;
    (void)events;
    AprExchange_TimeOut(watcher->data);
}

/* Starts the first attempt. May complete the exchange, but does not free it
   while AprCallerConn_t.parsing is set. */
void
AprExchange_Start(AprExchange_t *exchange)
{
    AprCallerConn_t *caller = exchange->caller;

    exchange->waiting_to_start = false;
    exchange->submitted = true;
    if (caller->first_exchange != exchange) {
        exchange->counts_as_pipelined = true;
        exchange->gateway->memory_budget.pipelined_in_flight++;
    }
    AprRetryBudget_Deposit(AprGateway_GetRetryBudget(exchange->gateway));
    start_attempt(exchange);
    if (!caller->closed && exchange->body_not_buffered) {
        AprBuffer_Free(&exchange->body);
    }
}

/* Starts the first attempt, or lets it wait until its caller has taken enough
   of the responses to earlier requests. */
static void
start_or_wait(AprExchange_t *exchange)
{
    if (AprEntry_MayStart(exchange)) {
        AprExchange_Start(exchange);
    }
    else {
        exchange->waiting_to_start = true;
    }
}

/* Buffers a part of the request body or passes it to the call in progress. */
void
AprExchange_AddBody(AprExchange_t *exchange, const char *data, size_t size)
{
    if (exchange->response_started || exchange->reject_status != 0) {
        return;
    }
    if (exchange->call_ref.call != NULL) {
        exchange->unconsumed_body_bytes += size;
        exchange->call_ref.ops->write_body(exchange->call_ref.call, data, size,
                                           false);
        return;
    }
    AprBuffer_Append(&exchange->body, data, size);
    if (!exchange->submitted && !exchange->waiting_to_start &&
        AprBuffer_Size(&exchange->body) > MAX_BUFFERED_BODY_BYTES) {
        exchange->body_not_buffered = true;
        start_or_wait(exchange);
    }
}

/* Handles the end of the request body: starts the first attempt unless it has
   started, or sends a pending rejection. */
void
AprExchange_EndBody(AprExchange_t *exchange)
{
    exchange->body_complete = true;
    if (exchange->response_started) {
        return;
    }
    if (exchange->reject_status != 0) {
        send_gateway_response(exchange, exchange->reject_status,
                              exchange->reject_retry_after_ms,
                              exchange->reject_reason);
        return;
    }
    if (exchange->submitted) {
        if (exchange->call_ref.call != NULL) {
            exchange->call_ref.ops->write_body(exchange->call_ref.call, "", 0,
                                               true);
        }
        return;
    }
    start_or_wait(exchange);
}

/* Returns whether the gateway itself sets this header on requests. */
static bool
is_gateway_header(const AprHeaderNames_t *names, const char *name, size_t size)
{
    const char *gateway_headers[] = {
        names->timeout, names->expected_incarnation, names->caller_service};

    for (size_t i = 0;
         i < sizeof(gateway_headers) / sizeof(gateway_headers[0]); i++) {
        if (strlen(gateway_headers[i]) == size &&
            strncasecmp(gateway_headers[i], name, size) == 0) {
            return true;
        }
    }
    return false;
}

/* Returns the headers to forward, allocated with malloc; NULL when out of
   memory. */
static char *
copy_headers(const AprHeaderNames_t *names, const AprHttpHead_t *head)
{
    const char *text = AprBuffer_Data(&head->text);
    AprBuffer_t lines = {0};

    for (int i = 0; i < head->header_count; i++) {
        const AprHttpHeader_t *header = &head->headers[i];

        if (!AprHttpHeader_IsHopByHop(head, header) &&
            !is_gateway_header(names, text + header->name_offset,
                               header->name_size)) {
            AprBuffer_AppendFormat(
                &lines, "%.*s: %.*s\r\n", (int)header->name_size,
                text + header->name_offset, (int)header->value_size,
                text + header->value_offset);
        }
    }
    AprBuffer_Append(&lines, "", 1);
    return AprBuffer_Release(&lines);
}

/* Starts the timer for the deadline, or starts it again. */
static void
start_deadline_timer(AprExchange_t *exchange)
{
    int64_t left_ms = exchange->head.deadline_ms - exchange_now_ms(exchange);

    ev_timer_stop(exchange->gateway->loop, &exchange->deadline_timer);
    ev_timer_set(&exchange->deadline_timer,
                 (double)(MAX(left_ms, 0) + APR_RESPONSE_GRACE_MS) / 1000.0,
                 0.0);
    ev_timer_start(exchange->gateway->loop, &exchange->deadline_timer);
}

/* Sets the objective and the deadline from the route and the caller's time
   limit, and starts the deadline timer. */
static void
set_deadlines(AprExchange_t *exchange, const AprHttpHead_t *http,
              const AprRoute_t *route)
{
    AprCallHead_t *head = &exchange->head;
    int64_t limit_ms = route != NULL && route->timeout_ms > 0
                           ? route->timeout_ms
                           : DEFAULT_TIMEOUT_MS;
    char text[32];

    exchange->received_ms = exchange_now_ms(exchange);
    head->arrived_ms = exchange->received_ms;
    if (AprHttpHead_CopyValue(http, exchange->gateway->header_names->timeout,
                              text, sizeof(text)) == APR_OK) {
        int64_t left_ms = strtoll(text, NULL, 10);

        head->has_deadline = left_ms > 0;
        if (left_ms > 0 && route != NULL) {
            head->arrived_ms -= AprGateway_EstimateWaitedMs(
                exchange->gateway, route->name, left_ms);
        }
        if (left_ms > 0 && left_ms < limit_ms) {
            limit_ms = left_ms;
        }
    }
    head->deadline_ms = exchange->received_ms + limit_ms;
    head->objective_ms =
        head->arrived_ms + (route != NULL && route->objective_ms > 0
                                ? route->objective_ms
                                : limit_ms);
    if (head->objective_ms > head->deadline_ms) {
        head->objective_ms = head->deadline_ms;
    }
    start_deadline_timer(exchange);
}

/* Reads the key of a keyed service. Returns APR_OK, APR_E_NOT_FOUND or
   APR_E_INVALID. */
static int
parse_key_header(AprExchange_t *exchange, const AprHttpHead_t *http)
{
    char text[16];
    char *end;
    long key;

    if (AprHttpHead_CopyValue(http, exchange->gateway->header_names->key, text,
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

/* Rejects the request once its body was read, so that the connection can be
   kept. `reason` must be static. */
static void
reject_after_body(AprExchange_t *exchange, int status, const char *reason)
{
    exchange->reject_status = status;
    exchange->reject_reason = reason;
    exchange->reject_retry_after_ms =
        status == 503 ? RETRY_AFTER_DEFAULT_MS : 0;
}

/* Rejects a request without a route: for good only if the configuration is
   known to be a recent one, as the route may have been added since. */
static void
reject_unknown_route(AprExchange_t *exchange)
{
    AprStoreCache_t *cache = exchange->gateway->store_cache;

    AprItemSource_LogUnknownRoute(cache);
    if (AprItemSource_CopyState(cache) == APR_COPY_FRESH) {
        reject_after_body(exchange, 404, "no route");
    }
    else {
        reject_after_body(exchange, 503, "outdated configuration");
    }
}

/* Sets the route and service of a request, or its rejection. */
static void
find_route(AprExchange_t *exchange, const AprHttpHead_t *http)
{
    AprGateway_t *gateway = exchange->gateway;
    AprCallHead_t *head = &exchange->head;
    AprRoute_t *route;
    size_t host_size = 0;
    const char *host = AprHttpHead_FindValue(http, "Host", &host_size);
    int service;

    if (gateway->routes == NULL ||
        !AprStoreCache_IsConfirmed(gateway->store_cache)) {
        reject_after_body(exchange, 503, "no configuration");
        set_deadlines(exchange, http, NULL);
        return;
    }
    head->config_version = gateway->routes->version;
    route = AprRouteTable_Find(gateway->routes, host == NULL ? "" : host,
                               host_size, head->target, strlen(head->target));
    set_deadlines(exchange, http, route);
    if (route == NULL) {
        reject_unknown_route(exchange);
        return;
    }
    service = AprRoute_NextService(route);
    g_strlcpy(head->route, route->name, sizeof(head->route));
    head->idempotent = route->idempotent;
    head->rank = route->rank;
    exchange->max_backend_attempts = route->max_attempts;
    if (service < 0) {
        reject_after_body(exchange, 503, "no service");
        return;
    }
    g_strlcpy(head->service, gateway->routes->services[service].name,
              sizeof(head->service));
    exchange->keyed = gateway->routes->services[service].owns_keys;
    if (exchange->keyed && parse_key_header(exchange, http) != APR_OK) {
        reject_after_body(exchange, 400, "no valid key");
    }
}

/* Recognizes a call that a request running at the local backend server makes,
   by its attempt id, which extends that of the request. Such a call gets at
   least the priority of that request, and its objective is extended to that of
   the request. */
static void
detect_nested_call(AprExchange_t *exchange, const char *id, size_t id_size)
{
    AprGateway_t *gateway = exchange->gateway;
    AprCallHead_t *head = &exchange->head;
    char separator = gateway->header_names->nested_separator;
    const char *end = id == NULL ? NULL : memrchr(id, separator, id_size);
    char parent_id[APR_CALL_ID_SIZE];
    const AprCallHead_t *parent;

    if (separator == '\0' || end == NULL) {
        return;
    }
    AprCallId_Set(parent_id, id, (size_t)(end - id));
    parent = AprBackend_FindRunningRequest(gateway->backend, parent_id);
    if (parent == NULL) {
        return;
    }
    head->nested = true;
    AprBackend_RecordNestedCall(gateway->backend, parent);
    if (parent->rank < head->rank) {
        head->rank = parent->rank;
    }
    if (parent->objective_ms > head->objective_ms) {
        head->objective_ms = parent->objective_ms < head->deadline_ms
                                 ? parent->objective_ms
                                 : head->deadline_ms;
    }
}

/* Rejects a request that may outlast a planned stop, or else limits its
   deadline. A nested call is limited only, as the request that makes it runs
   already. */
static void
apply_stop_plan(AprExchange_t *exchange)
{
    AprGateway_t *gateway = exchange->gateway;
    AprCallHead_t *head = &exchange->head;

    if (gateway->stop_step == APR_STOP_NONE || exchange->reject_status != 0) {
        return;
    }
    if (!head->nested &&
        !AprStopPlan_Accepts(&gateway->stop_plan, exchange->received_ms,
                             head->deadline_ms)) {
        reject_after_body(exchange, 503, "stopping");
        exchange->reject_retry_after_ms = APR_RESTART_RETRY_AFTER_MS;
        return;
    }
    head->deadline_ms = AprGateway_LimitDeadline(gateway, head->deadline_ms);
    head->objective_ms = MIN(head->objective_ms, head->deadline_ms);
    start_deadline_timer(exchange);
}

/* Rejects a request of a connection that holds too much memory already. */
static void
apply_memory_limit(AprExchange_t *exchange)
{
    AprGateway_t *gateway = exchange->gateway;

    AprResources_Update(gateway);
    if (exchange->reject_status == 0 &&
        !AprMemoryBudget_MayAccept(&gateway->memory_budget,
                                   AprEntry_HeldBytes(exchange->caller))) {
        reject_after_body(exchange, 503, "memory");
    }
}

/* Creates the exchange of a request whose head was read. The connection owns
   it. Returns NULL when out of memory. */
AprExchange_t *
AprExchange_New(AprGateway_t *gateway, AprCallerConn_t *caller,
                const AprHttpHead_t *http)
{
    AprExchange_t *exchange = calloc(1, sizeof(*exchange));
    AprCallHead_t *head;
    size_t id_size = 0;
    const char *id = AprHttpHead_FindValue(
        http, gateway->header_names->attempt_id, &id_size);
    char expect[32];

    if (exchange == NULL) {
        return NULL;
    }
    head = &exchange->head;
    exchange->gateway = gateway;
    exchange->caller = caller;
    ev_timer_init(&exchange->deadline_timer, on_deadline_timer, 0.0, 0.0);
    ev_timer_init(&exchange->retry_timer, on_retry_timer, 0.0, 0.0);
    ev_timer_init(&exchange->hold_timer, on_hold_timer, 0.0, 0.0);
    exchange->deadline_timer.data = exchange;
    exchange->retry_timer.data = exchange;
    exchange->hold_timer.data = exchange;
    head->key = APR_NO_KEY;
    head->headers = copy_headers(gateway->header_names, http);
    head->target = strndup(AprBuffer_Data(&http->text) + http->target_offset,
                           http->target_size);
    if (head->headers == NULL || head->target == NULL) {
        AprExchange_Free(exchange);
        return NULL;
    }
    g_strlcpy(head->method, http->method, sizeof(head->method));
    g_strlcpy(head->caller, gateway->settings.backend_service,
              sizeof(head->caller));
    AprCallId_Set(head->id, id, id_size);
    head->has_length = http->has_content_length;
    head->length = http->content_length;
    exchange->keep_alive = http->keep_alive;
    exchange->http_1_0 = http->http_1_0;
    exchange->omit_response_body = strcmp(http->method, "HEAD") == 0;
    find_route(exchange, http);
    detect_nested_call(exchange, id, id_size);
    apply_stop_plan(exchange);
    exchange->head_bytes = 2 * (strlen(head->headers) + strlen(head->target));
    gateway->head_bytes += exchange->head_bytes;
    apply_memory_limit(exchange);
    if (AprHttpHead_CopyValue(http, "Expect", expect, sizeof(expect)) ==
            APR_OK &&
        strcasecmp(expect, "100-continue") == 0) {
        write_response(exchange, "HTTP/1.1 100 Continue\r\n\r\n", 25);
    }
    return exchange;
}

/* Sends the response bytes that were buffered until the exchange became the
   first of its connection, unless the response is still held. */
void
AprExchange_FlushBuffered(AprExchange_t *exchange)
{
    if (exchange->response_held) {
        return;
    }
    exchange->response_sent |= exchange->response_started;
    AprStream_Write(exchange->caller->stream,
                    AprBuffer_Data(&exchange->buffered_response),
                    AprBuffer_Size(&exchange->buffered_response));
    AprBuffer_Free(&exchange->buffered_response);
}

/* Acknowledges the response bytes after the kernel has taken all of them. */
void
AprExchange_OnDrained(AprExchange_t *exchange)
{
    size_t size = exchange->unsent_bytes;

    exchange->unsent_bytes = 0;
    if (size > 0 && exchange->call_ref.call != NULL) {
        exchange->call_ref.ops->acknowledge_response(exchange->call_ref.call,
                                                     size);
    }
}

/* Cancels and frees a request whose connection is closed. `reason` is for the
   log. */
void
AprExchange_Abandon(AprExchange_t *exchange, const char *reason)
{
    if (!exchange->response_complete) {
        exchange->status = 0;
        /* A caller that leaves early says nothing about the host. */
        if (exchange->call_ref.call != NULL && exchange->body_complete &&
            !exchange->response_started &&
            exchange_now_ms(exchange) >= exchange->head.objective_ms) {
            record_outcome(exchange, false);
        }
        log_exchange(exchange, reason);
    }
    if (exchange->call_ref.call != NULL) {
        exchange->call_ref.ops->cancel(exchange->call_ref.call);
        exchange->call_ref.call = NULL;
    }
    AprExchange_Free(exchange);
}

/* Frees a request without a call in progress. */
void
AprExchange_Free(AprExchange_t *exchange)
{
    ev_timer_stop(exchange->gateway->loop, &exchange->deadline_timer);
    ev_timer_stop(exchange->gateway->loop, &exchange->retry_timer);
    ev_timer_stop(exchange->gateway->loop, &exchange->hold_timer);
    stop_counting_as_pipelined(exchange);
    exchange->gateway->head_bytes -= exchange->head_bytes;
    AprCallHead_Clear(&exchange->head);
    AprBuffer_Free(&exchange->body);
    AprBuffer_Free(&exchange->buffered_response);
    free(exchange);
}
