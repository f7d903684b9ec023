/* Callers' connections. Responses are sent in the order of the requests. */

#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <unistd.h>

#include "apricot/error.h"
#include "apricot/log.h"
#include "internal/exchange.h"
#include "internal/listener.h"

/* Pipelined requests of one connection; reading pauses at this number. */
#define MAX_PIPELINED_REQUESTS 16

/* Time within which a caller sends the first request on a new connection. */
#define FIRST_REQUEST_MS 1000

/* At the limit of descriptors, connections are closed for new ones after at
   least this time without a request, within a head, or without progress. Other
   callers send a request within a round trip. */
#define REPLACE_IDLE_MS 250
#define REPLACE_HEAD_MS 1000
#define REPLACE_STALLED_MS 2000

/* Limits before the first configuration. */
#define DEFAULT_MAX_HEAD_BYTES 16384
#define DEFAULT_MAX_BODY_BYTES (64ull * 1024 * 1024)
#define DEFAULT_HEAD_TIMEOUT_MS 3000
#define DEFAULT_IDLE_TIMEOUT_MS 15000

struct AprIngress_t {
    AprGateway_t *gateway;
    AprCallerConn_t *callers;
    int exchange_count;
    AprListener_t listener;
    bool visiting; /* closed callers are freed after the visit of the list */
    AprCallerConn_t *closed_callers;
};

static const AprCallerLimits_t default_limits = {
    DEFAULT_MAX_HEAD_BYTES, DEFAULT_MAX_BODY_BYTES, DEFAULT_HEAD_TIMEOUT_MS,
    DEFAULT_IDLE_TIMEOUT_MS};

static const AprCallerLimits_t *
caller_limits(const AprIngress_t *ingress)
{
    return ingress->gateway->routes == NULL
               ? &default_limits
               : &ingress->gateway->routes->limits;
}

/* Creates the state without a listener. Returns NULL when out of memory. */
AprIngress_t *
AprIngress_New(AprGateway_t *gateway)
{
    AprIngress_t *ingress = calloc(1, sizeof(*ingress));

    if (ingress != NULL) {
        ingress->gateway = gateway;
    }
    return ingress;
}

static void
unlink_caller(AprCallerConn_t *caller)
{
    AprCallerConn_t **at = &caller->ingress->callers;

    while (*at != caller) {
        at = &(*at)->next;
    }
    *at = caller->next;
}

/* Frees a caller that is no longer in the list. */
static void
free_caller(AprCallerConn_t *caller)
{
    if (caller->ingress->visiting) {
        caller->next_closed = caller->ingress->closed_callers;
        caller->ingress->closed_callers = caller;
        return;
    }
    AprHttpParser_Free(caller->parser);
    free(caller);
}

/* Abandons all requests of a connection and cancels their calls. */
static void
abandon_exchanges(AprCallerConn_t *caller)
{
    while (caller->first_exchange != NULL) {
        AprExchange_t *exchange = caller->first_exchange;

        caller->first_exchange = exchange->next;
        caller->ingress->exchange_count--;
        AprExchange_Abandon(exchange);
    }
    caller->last_exchange = NULL;
    caller->reading_exchange = NULL;
}

/* Closes a connection and abandons its requests. `abort` closes it with a
   reset. Within a parser callback, the memory is freed when the parser
   returns. */
static void
close_caller(AprCallerConn_t *caller, bool abort)
{
    if (caller->closed) {
        return;
    }
    caller->closed = true;
    if (caller->stream != NULL) {
        if (abort) {
            AprStream_Abort(caller->stream);
        }
        else {
            AprStream_CloseAfterFlush(caller->stream);
        }
        caller->stream = NULL;
    }
    unlink_caller(caller);
    abandon_exchanges(caller);
    if (!caller->parsing) {
        free_caller(caller);
    }
}

/* Sends the response with which the connection closes, if there is one and the
   responses to all requests were sent. Returns whether the connection was
   closed. */
static bool
send_final_response(AprCallerConn_t *caller)
{
    if (caller->final_status == 0 || caller->first_exchange != NULL) {
        return false;
    }
    AprExchange_WriteError(caller->stream, caller->final_status);
    close_caller(caller, false);
    return true;
}

/* Ends a connection with a response of its own after those to the requests
   that are in progress. Returns whether the connection was closed. */
static bool
end_with_status(AprCallerConn_t *caller, int status)
{
    caller->final_status = status;
    return send_final_response(caller);
}

/* Frees the completed requests at the head of the queue. Returns false when
   the connection was closed. */
static bool
free_finished_exchanges(AprCallerConn_t *caller)
{
    while (caller->first_exchange != NULL &&
           caller->first_exchange->response_complete) {
        AprExchange_t *exchange = caller->first_exchange;
        /* The rest of an incomplete body cannot be told from the next
           request. */
        bool close =
            exchange->close_after || exchange == caller->reading_exchange;

        caller->first_exchange = exchange->next;
        if (caller->first_exchange == NULL) {
            caller->last_exchange = NULL;
        }
        caller->exchange_count--;
        caller->ingress->exchange_count--;
        AprExchange_Free(exchange);
        if (close) {
            close_caller(caller, false);
            return false;
        }
        if (caller->first_exchange != NULL) {
            AprExchange_FlushBuffered(caller->first_exchange);
        }
    }
    caller->idle_since_ms = AprGateway_NowMs(caller->ingress->gateway);
    return !send_final_response(caller);
}

/* Returns the memory that a connection holds in buffers, with request body
   bytes that were passed on and not taken yet. */
size_t
AprEntry_HeldBytes(const AprCallerConn_t *caller)
{
    size_t sum = AprHttpParser_HeldBytes(caller->parser);

    if (caller->stream != NULL) {
        sum += AprStream_HeldBytes(caller->stream);
    }
    for (const AprExchange_t *exchange = caller->first_exchange;
         exchange != NULL; exchange = exchange->next) {
        sum += exchange->head_bytes + exchange->body.capacity +
               exchange->buffered_response.capacity +
               exchange->unconsumed_body_bytes;
    }
    return sum;
}

/* Returns whether the first attempt of a request may start: earlier requests
   of the connection do not wait, and their responses leave room. */
bool
AprEntry_MayStart(const AprExchange_t *exchange)
{
    const AprCallerConn_t *caller = exchange->caller;
    size_t unsent = AprStream_UnsentBytes(caller->stream);

    for (const AprExchange_t *earlier = caller->first_exchange;
         earlier != NULL && earlier != exchange; earlier = earlier->next) {
        if (earlier->waiting_to_start) {
            return false;
        }
        unsent += AprBuffer_Size(&earlier->buffered_response);
    }
    AprResources_Update(exchange->gateway);
    return AprMemoryBudget_MayStart(&exchange->gateway->memory_budget, unsent,
                                    caller->first_exchange == exchange);
}

/* Starts requests that wait until the caller has taken earlier responses. May
   free the caller. */
static void
start_waiting_exchanges(AprCallerConn_t *caller)
{
    bool started = false;

    if (caller->closed || caller->parsing) {
        return;
    }
    caller->parsing = true;
    for (AprExchange_t *exchange = caller->first_exchange; exchange != NULL;
         exchange = exchange->next) {
        if (!exchange->waiting_to_start) {
            continue;
        }
        if (!AprEntry_MayStart(exchange)) {
            break;
        }
        started = true;
        AprExchange_Start(exchange);
        if (caller->closed) {
            break;
        }
    }
    caller->parsing = false;
    if (caller->closed) {
        free_caller(caller);
    }
    else if (started) {
        AprEntry_OnExchangeDone(caller);
    }
}

/* Returns whether reading from a caller has to stop: too many of its requests
   wait, or too much of the body that it sends was not taken yet. A body that
   is complete no longer counts. */
static bool
should_pause_reading(const AprCallerConn_t *caller)
{
    const AprExchange_t *exchange = caller->reading_exchange;
    size_t limit = caller->read_paused ? APR_CALL_WINDOW_BYTES / 2
                                       : APR_CALL_WINDOW_BYTES;

    if (caller->exchange_count >= MAX_PIPELINED_REQUESTS ||
        (exchange != NULL && exchange->waiting_to_start)) {
        return true;
    }
    if (!AprMemoryBudget_MayRead(&caller->ingress->gateway->memory_budget,
                                 AprEntry_HeldBytes(caller))) {
        return true;
    }
    return exchange != NULL && exchange->call_ref.call != NULL &&
           exchange->unconsumed_body_bytes > limit;
}

/* Stops or resumes reading from a caller. To be called after each change of
   what should_pause_reading() depends on. */
void
AprEntry_UpdateReading(AprCallerConn_t *caller)
{
    if (caller->closed || caller->stream == NULL) {
        return;
    }
    if (caller->read_paused) {
        /* See is_head_overdue(). */
        caller->last_read_ms = AprGateway_NowMs(caller->ingress->gateway);
    }
    caller->read_paused = should_pause_reading(caller);
    AprStream_SetReadPaused(caller->stream, caller->read_paused);
}

/* Handles an exchange whose response is complete. May free the caller, so it
   does nothing within a parser callback; on_data() calls it again after the
   parse. */
void
AprEntry_OnExchangeDone(AprCallerConn_t *caller)
{
    if (caller->closed || caller->parsing) {
        return;
    }
    if (free_finished_exchanges(caller)) {
        AprEntry_UpdateReading(caller);
        start_waiting_exchanges(caller);
    }
}

/* Closes a connection with a reset, as its response cannot be completed. */
void
AprEntry_AbortConn(AprCallerConn_t *caller)
{
    close_caller(caller, true);
}

static int
on_head(void *context, const AprHttpHead_t *head)
{
    AprCallerConn_t *caller = context;
    AprExchange_t *exchange =
        AprExchange_New(caller->ingress->gateway, caller, head);

    if (exchange == NULL) {
        return 1;
    }
    caller->used = true;
    caller->head_since_ms = 0;
    caller->ingress->exchange_count++;
    caller->exchange_count++;
    if (caller->last_exchange == NULL) {
        caller->first_exchange = exchange;
    }
    else {
        caller->last_exchange->next = exchange;
    }
    caller->last_exchange = exchange;
    caller->reading_exchange = exchange;
    if (head->has_content_length &&
        head->content_length >
            caller_limits(caller->ingress)->max_body_bytes) {
        AprExchange_Reject(exchange, 413, "body too large");
    }
    return 0;
}

static int
on_body(void *context, const char *data, size_t size)
{
    AprCallerConn_t *caller = context;
    AprExchange_t *exchange = caller->reading_exchange;

    if (exchange == NULL) {
        return 0;
    }
    exchange->body_size += size;
    if (exchange->body_size > caller_limits(caller->ingress)->max_body_bytes) {
        AprExchange_Reject(exchange, 413, "body too large");
        return 0;
    }
    AprExchange_AddBody(exchange, data, size);
    return caller->closed ? 1 : 0;
}

static int
on_complete(void *context)
{
    AprCallerConn_t *caller = context;
    AprExchange_t *exchange = caller->reading_exchange;

    caller->reading_exchange = NULL;
    if (exchange != NULL) {
        AprExchange_EndBody(exchange);
    }
    return caller->closed ? 1 : 0;
}

static const AprHttpHandler_t http_handler = {on_head, on_body, on_complete};

/* Responds to bytes that are not a valid request. Returns false when the
   connection was closed. */
static bool
reject_malformed(AprCallerConn_t *caller, int result)
{
    AprLog_Write(APR_LOG_INFO, "request_malformed", "step=entry error=%s",
                 AprError_Name(result));
    if (caller->reading_exchange != NULL &&
        caller->reading_exchange->response_complete) {
        return true; /* its response ends the connection */
    }
    if (caller->reading_exchange != NULL) {
        caller->parsing = true;
        AprExchange_Reject(caller->reading_exchange, 400, "malformed body");
        caller->parsing = false;
        return true;
    }
    return !end_with_status(
        caller, AprHttpParser_RejectionStatus(caller->parser, result));
}

static void
on_data(void *context, const char *data, size_t size)
{
    AprCallerConn_t *caller = context;
    size_t used = 0;
    int result;

    caller->last_read_ms = AprGateway_NowMs(caller->ingress->gateway);
    if (caller->final_status != 0) {
        return;
    }
    caller->parsing = true;
    AprHttpParser_SetMaxHeadBytes(
        caller->parser, caller_limits(caller->ingress)->max_head_bytes);
    result = AprHttpParser_Execute(caller->parser, data, size, &used);
    caller->parsing = false;
    if (caller->closed) {
        free_caller(caller);
        return;
    }
    if (result != APR_OK && !reject_malformed(caller, result)) {
        return;
    }
    if (caller->head_since_ms == 0 && AprHttpParser_IsInHead(caller->parser)) {
        caller->head_since_ms = caller->last_read_ms;
    }
    AprEntry_OnExchangeDone(caller);
}

static void
on_close(void *context, int error)
{
    AprCallerConn_t *caller = context;

    (void)error;
    caller->stream = NULL;
    close_caller(caller, false);
}

static void
on_drain(void *context)
{
    AprCallerConn_t *caller = context;

    if (caller->first_exchange != NULL) {
        caller->parsing = true;
        AprExchange_OnDrained(caller->first_exchange);
        caller->parsing = false;
    }
    if (caller->closed) {
        free_caller(caller);
        return;
    }
    start_waiting_exchanges(caller);
}

static const AprStreamHandler_t stream_handler = {on_data, on_close, on_drain};

static void
on_accept(void *context, int fd)
{
    AprIngress_t *ingress = context;
    AprCallerConn_t *caller = calloc(1, sizeof(*caller));

    if (caller == NULL) {
        close(fd);
        return;
    }
    caller->ingress = ingress;
    caller->parser = AprHttpParser_New(HTTP_REQUEST, &http_handler, caller);
    caller->stream = caller->parser == NULL
                         ? NULL
                         : AprStream_Open(ingress->gateway->streams, fd,
                                          &stream_handler, caller);
    if (caller->stream == NULL) {
        AprHttpParser_Free(caller->parser);
        free(caller);
        return;
    }
    AprStream_EnableDropAbandoned(caller->stream);
    caller->idle_since_ms = AprGateway_NowMs(ingress->gateway);
    caller->last_read_ms = caller->idle_since_ms;
    caller->next = ingress->callers;
    ingress->callers = caller;
}

/* Measures what a connection holds. */
static void
update_holder(AprCallerConn_t *caller, int64_t now_ms)
{
    size_t held = AprEntry_HeldBytes(caller);
    uint64_t taken = caller->consumed_body_bytes;

    if (caller->stream != NULL) {
        taken += AprStream_SentBytes(caller->stream);
    }
    AprMemoryHolder_Update(&caller->holder, held,
                           held == AprHttpParser_HeldBytes(caller->parser),
                           taken, now_ms);
}

/* Returns the highest AprMemoryHolder_Score() of a connection, and the
   connection in `*found`. */
double
AprIngress_FindLargest(AprIngress_t *ingress, int64_t now_ms,
                       AprCallerConn_t **found)
{
    double highest = 0;

    *found = NULL;
    for (AprCallerConn_t *caller = ingress->callers; caller != NULL;
         caller = caller->next) {
        double score;

        update_holder(caller, now_ms);
        score = AprMemoryHolder_Score(&caller->holder, now_ms);
        if (score > highest) {
            highest = score;
            *found = caller;
        }
    }
    return highest;
}

/* Returns whether a connection has a request in progress, or response bytes
   that were not sent yet. */
static bool
has_unfinished_response(const AprCallerConn_t *caller)
{
    return caller->first_exchange != NULL ||
           AprStream_UnsentBytes(caller->stream) > 0;
}

/* Closes a connection at once, without waiting until unsent bytes are taken.
   Unless all responses were sent, it is reset, so that none seems complete. */
void
AprIngress_Drop(AprCallerConn_t *caller)
{
    if (caller->stream != NULL && !has_unfinished_response(caller)) {
        AprStream_Close(caller->stream);
        caller->stream = NULL;
    }
    close_caller(caller, true);
}

/* Returns for how long a connection has been of a kind that is closed for new
   ones, beyond the least time of this kind; negative: not at all. Idle ones
   are closed before the others. */
static int64_t
replaceable_ms(const AprCallerConn_t *caller, int64_t now_ms)
{
    /* Longer than a connection of another kind lasts. */
    const int64_t idle_first_ms = 86400 * 1000;

    if (has_unfinished_response(caller)) {
        return AprMemoryHolder_StalledMs(&caller->holder, now_ms) -
               REPLACE_STALLED_MS;
    }
    if (AprHttpParser_IsInMessage(caller->parser)) {
        return now_ms - caller->head_since_ms - REPLACE_HEAD_MS;
    }
    if (now_ms - caller->idle_since_ms < REPLACE_IDLE_MS) {
        return -1;
    }
    return now_ms - caller->idle_since_ms + idle_first_ms;
}

/* Closes the connection that is replaced first. Returns whether there is one.
 */
static bool
close_replaceable(AprIngress_t *ingress)
{
    AprGateway_t *gateway = ingress->gateway;
    int64_t now_ms = AprGateway_NowMs(gateway);
    AprCallerConn_t *found = NULL;
    int64_t longest_ms = -1;

    for (AprCallerConn_t *caller = ingress->callers; caller != NULL;
         caller = caller->next) {
        int64_t time_ms = replaceable_ms(caller, now_ms);

        if (time_ms > longest_ms &&
            (has_unfinished_response(caller) ||
             !AprStream_HasReceivedBytes(caller->stream))) {
            longest_ms = time_ms;
            found = caller;
        }
    }
    if (found != NULL) {
        AprResources_CountClosed(gateway, "descriptors");
        AprIngress_Drop(found);
        return true;
    }
    if (AprStreamSet_AbortStalled(gateway->streams, now_ms,
                                  REPLACE_STALLED_MS)) {
        AprResources_CountClosed(gateway, "descriptors");
        return true;
    }
    return false;
}

/* Returns whether a further connection may be accepted, and closes another one
   for it if necessary. */
static bool
may_accept(void *context)
{
    AprIngress_t *ingress = context;
    AprGateway_t *gateway = ingress->gateway;

    return AprMemoryBudget_MayAcceptSocket(&gateway->memory_budget,
                                           gateway->streams->open_count) ||
           close_replaceable(ingress);
}

static void
on_pause(void *context)
{
    const AprIngress_t *ingress = context;

    AprGateway_IncrementCounter(ingress->gateway, "accept_pauses_total",
                                "listener=\"callers\"");
}

static const AprListenerHandler_t listener_handler = {on_accept, may_accept,
                                                      on_pause};

/* Accepts callers at an IP:port. Returns APR_OK or the error of
   AprStream_Listen(). */
int
AprIngress_Listen(AprIngress_t *ingress, const char *address)
{
    return AprListener_Open(&ingress->listener, ingress->gateway->loop,
                            "callers", address, &listener_handler, ingress);
}

/* Closes the listener; open connections stay. Connections that the kernel has
   established are accepted first, because closing the listener would reset
   them. */
void
AprIngress_StopListening(AprIngress_t *ingress)
{
    AprListener_AcceptAll(&ingress->listener);
    AprListener_Close(&ingress->listener);
}

/* Returns whether a connection has no request and no part of one. */
static bool
is_idle(const AprCallerConn_t *caller)
{
    return caller->first_exchange == NULL &&
           !AprHttpParser_IsInMessage(caller->parser);
}

/* Returns whether a request may be on its way on an idle connection: bytes
   have arrived that were not read yet, or the connection is new. */
static bool
may_carry_request(const AprCallerConn_t *caller, int64_t now_ms)
{
    return AprStream_HasReceivedBytes(caller->stream) ||
           (!caller->used &&
            now_ms - caller->idle_since_ms < FIRST_REQUEST_MS);
}

/* Closes the connections without a request in progress. */
void
AprIngress_CloseIdleConnections(AprIngress_t *ingress)
{
    int64_t now_ms = AprGateway_NowMs(ingress->gateway);
    AprCallerConn_t *caller = ingress->callers;

    while (caller != NULL) {
        AprCallerConn_t *next = caller->next;

        if (is_idle(caller) && !may_carry_request(caller, now_ms)) {
            close_caller(caller, false);
        }
        caller = next;
    }
}

/* Returns a request without a response that has started, or NULL. */
static AprExchange_t *
find_unanswered(const AprIngress_t *ingress)
{
    for (const AprCallerConn_t *caller = ingress->callers; caller != NULL;
         caller = caller->next) {
        for (AprExchange_t *exchange = caller->first_exchange;
             exchange != NULL; exchange = exchange->next) {
            if (!exchange->response_started) {
                return exchange;
            }
        }
    }
    return NULL;
}

/* Answers all requests that still wait for a response, as their time is over.
   The process is about to exit. */
void
AprIngress_EndRequests(AprIngress_t *ingress)
{
    AprExchange_t *exchange;

    /* Each answer may free the exchange and its connection. */
    while ((exchange = find_unanswered(ingress)) != NULL) {
        AprExchange_TimeOut(exchange);
    }
}

/* Measures the connections, and lets those go on that waited for memory. */
static void
update_callers(AprIngress_t *ingress, int64_t now_ms)
{
    AprMemoryBudget_t *budget = &ingress->gateway->memory_budget;
    int holders = 0;
    size_t held = 0;

    for (AprCallerConn_t *caller = ingress->callers; caller != NULL;
         caller = caller->next) {
        if (caller->closed) {
            continue;
        }
        update_holder(caller, now_ms);
        holders += caller->holder.held > APR_MEMORY_MIN_SHARE_BYTES;
        held += caller->holder.held;
        AprEntry_UpdateReading(caller);
        start_waiting_exchanges(caller);
    }
    budget->holder_count = holders;
    budget->held_by_kind[APR_MEMORY_CALLERS] = held;
    while (ingress->gateway->streams->open_count > budget->socket_limit &&
           close_replaceable(ingress)) {
    }
}

/* Returns whether a caller has sent nothing for too long while a request head
   is incomplete. The time in which its connection is not read does not
   count. */
static bool
is_head_overdue(const AprCallerConn_t *caller, const AprCallerLimits_t *limits,
                int64_t now_ms)
{
    return caller->final_status == 0 && !caller->read_paused &&
           AprHttpParser_IsInHead(caller->parser) &&
           now_ms - caller->last_read_ms > limits->head_timeout_ms;
}

/* Closes connections that have been idle for too long or that have sent
   nothing for too long while a request head is incomplete. */
void
AprIngress_Tick(AprIngress_t *ingress)
{
    const AprCallerLimits_t *limits = caller_limits(ingress);
    int64_t now_ms = AprGateway_NowMs(ingress->gateway);
    AprCallerConn_t *caller = ingress->callers;

    ingress->visiting = true;
    while (caller != NULL) {
        AprCallerConn_t *next = caller->next;

        if (caller->closed) {
            /* Closed by the end of an earlier one's call. */
        }
        else if (is_idle(caller)) {
            if (now_ms - caller->idle_since_ms > limits->idle_timeout_ms) {
                close_caller(caller, false);
            }
        }
        else if (is_head_overdue(caller, limits, now_ms)) {
            end_with_status(caller, 408);
        }
        caller = next;
    }
    update_callers(ingress, now_ms);
    ingress->visiting = false;
    while (ingress->closed_callers != NULL) {
        caller = ingress->closed_callers;
        ingress->closed_callers = caller->next_closed;
        free_caller(caller);
    }
}

/* Returns whether callers have open connections. */
bool
AprIngress_HasConnections(const AprIngress_t *ingress)
{
    return ingress->callers != NULL;
}

/* Returns the number of requests in progress. */
int
AprIngress_CountRequests(const AprIngress_t *ingress)
{
    return ingress->exchange_count;
}

/* Closes all connections and frees the state. */
void
AprIngress_Free(AprIngress_t *ingress)
{
    if (ingress == NULL) {
        return;
    }
    AprIngress_StopListening(ingress);
    for (AprCallerConn_t *caller = ingress->callers; caller != NULL;) {
        AprCallerConn_t *next = caller->next;

        close_caller(caller, false);
        caller = next;
    }
    free(ingress);
}
