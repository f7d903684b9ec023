/* The connection of one caller. Responses are sent in the order of the
 * requests.
 */

#include <stdlib.h>
#include <unistd.h>

#include "apricot/error.h"
#include "apricot/log.h"
#include "internal/ingress_state.h"

/* Pipelined requests of one connection; reading pauses at this number. */
#define MAX_PIPELINED_REQUESTS 16

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
void
AprCallerConn_Free(AprCallerConn_t *caller)
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
abandon_exchanges(AprCallerConn_t *caller, const char *reason)
{
    while (caller->first_exchange != NULL) {
        AprExchange_t *exchange = caller->first_exchange;

        caller->first_exchange = exchange->next;
        caller->ingress->exchange_count--;
        AprExchange_Abandon(exchange, reason);
    }
    caller->last_exchange = NULL;
    caller->reading_exchange = NULL;
}

/* Closes a connection and abandons its requests. `abort` closes it with a
   reset. Within a parser callback, the memory is freed when the parser
   returns. */
void
AprCallerConn_Close(AprCallerConn_t *caller, bool abort)
{
    const char *reason = "caller closed the connection";

    if (caller->closed) {
        return;
    }
    caller->closed = true;
    if (caller->stream != NULL) {
        if (abort) {
            AprStream_Abort(caller->stream);
            reason = "connection reset";
        }
        else {
            AprStream_CloseAfterFlush(caller->stream);
            reason = "connection closed";
        }
        caller->stream = NULL;
    }
    unlink_caller(caller);
    abandon_exchanges(caller, reason);
    if (!caller->parsing) {
        AprCallerConn_Free(caller);
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
    AprCallerConn_Close(caller, false);
    return true;
}

/* Ends a connection with a response of its own after those to the requests
   that are in progress. Returns whether the connection was closed. */
bool
AprCallerConn_EndWithStatus(AprCallerConn_t *caller, int status)
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
            AprCallerConn_Close(caller, false);
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
void
AprCallerConn_StartWaiting(AprCallerConn_t *caller)
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
        AprCallerConn_Free(caller);
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
        AprCallerConn_StartWaiting(caller);
    }
}

/* Closes a connection with a reset, as its response cannot be completed. */
void
AprEntry_AbortConn(AprCallerConn_t *caller)
{
    AprCallerConn_Close(caller, true);
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
            AprIngress_CallerLimits(caller->ingress)->max_body_bytes) {
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
    if (exchange->body_size >
        AprIngress_CallerLimits(caller->ingress)->max_body_bytes) {
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
    return !AprCallerConn_EndWithStatus(
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
        caller->parser,
        AprIngress_CallerLimits(caller->ingress)->max_head_bytes);
    result = AprHttpParser_Execute(caller->parser, data, size, &used);
    caller->parsing = false;
    if (caller->closed) {
        AprCallerConn_Free(caller);
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
    AprCallerConn_Close(caller, false);
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
        AprCallerConn_Free(caller);
        return;
    }
    AprCallerConn_StartWaiting(caller);
}

static const AprStreamHandler_t stream_handler = {on_data, on_close, on_drain};

/* Takes over an accepted connection. `context` is the AprIngress_t. */
void
AprCallerConn_Accept(void *context, int fd)
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
    AprStream_AllowPausedReader(caller->stream);
    caller->idle_since_ms = AprGateway_NowMs(ingress->gateway);
    caller->last_read_ms = caller->idle_since_ms;
    caller->next = ingress->callers;
    ingress->callers = caller;
}
