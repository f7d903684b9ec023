/* Callers' connections: requests in, answers out in the same order. */

#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

#include "apricot/error.h"
#include "apricot/log.h"
#include "internal/exchange.h"

/* Requests of one connection that are read ahead. */
#define MAX_PIPELINED 16

/* Limits that hold before the first configuration. */
#define DEFAULT_HEAD_BYTES 16384
#define DEFAULT_BODY_BYTES (64ull * 1024 * 1024)
#define DEFAULT_HEAD_TIMEOUT_MS 3000
#define DEFAULT_IDLE_TIMEOUT_MS 15000

struct AprEntry_t {
    AprGateway_t *gateway;
    AprCaller_t *callers;
    int exchange_count;
    int listen_fd;
    ev_io listener;
};

static const AprCallerLimits_t default_limits = {
    DEFAULT_HEAD_BYTES, DEFAULT_BODY_BYTES, DEFAULT_HEAD_TIMEOUT_MS,
    DEFAULT_IDLE_TIMEOUT_MS};

static const AprCallerLimits_t *
limits_of(const AprEntry_t *entry)
{
    return entry->gateway->routes == NULL ? &default_limits
                                          : &entry->gateway->routes->limits;
}

/* Creates the state without a listener. */
AprEntry_t *
AprEntry_New(AprGateway_t *gateway)
{
    AprEntry_t *entry = calloc(1, sizeof(*entry));

    if (entry != NULL) {
        entry->gateway = gateway;
        entry->listen_fd = -1;
    }
    return entry;
}

static void
unlink_caller(AprCaller_t *caller)
{
    AprCaller_t **at = &caller->entry->callers;

    while (*at != caller) {
        at = &(*at)->next;
    }
    *at = caller->next;
}

/* The caller is no longer in the list. */
static void
free_caller(AprCaller_t *caller)
{
    AprHttpParser_Free(caller->parser);
    free(caller);
}

static void
drop_exchanges(AprCaller_t *caller)
{
    while (caller->first != NULL) {
        AprExchange_t *exchange = caller->first;

        caller->first = exchange->next;
        caller->entry->exchange_count--;
        AprExchange_Abandon(exchange);
    }
    caller->last = NULL;
    caller->reading = NULL;
}

/* Ends a connection. Inside a parse the memory is freed after it. */
static void
close_caller(AprCaller_t *caller, bool abort)
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
    drop_exchanges(caller);
    if (!caller->parsing) {
        free_caller(caller);
    }
}

/* Ends answered requests; false when that ended the connection. */
static bool
pop_finished(AprCaller_t *caller)
{
    while (caller->first != NULL && caller->first->answered_whole &&
           caller->first != caller->reading) {
        AprExchange_t *exchange = caller->first;
        bool close = exchange->close_after;

        caller->first = exchange->next;
        if (caller->first == NULL) {
            caller->last = NULL;
        }
        caller->count--;
        caller->entry->exchange_count--;
        AprExchange_Free(exchange);
        if (close) {
            close_caller(caller, false);
            return false;
        }
        if (caller->first != NULL) {
            AprExchange_FlushHeld(caller->first);
        }
    }
    caller->idle_since_ms = AprGateway_NowMs(caller->entry->gateway);
    return true;
}

/* Called when an exchange has its whole answer. May free the caller, so that
   it runs from the event loop and not from the callbacks of a parse. */
void
AprEntry_Settle(AprCaller_t *caller)
{
    AprExchange_t *first = caller->first;

    if (caller->closed || caller->parsing) {
        return;
    }
    if (first != NULL && first->answered_whole && first == caller->reading) {
        /* Answered before its body was read: the rest cannot be told from
           the next request. */
        first->close_after = true;
        caller->reading = NULL;
    }
    if (pop_finished(caller) && caller->paused &&
        caller->count < MAX_PIPELINED) {
        caller->paused = false;
        AprStream_ReadPause(caller->stream, false);
    }
}

/* Ends a connection whose answer cannot be completed. */
void
AprEntry_Break(AprCaller_t *caller)
{
    close_caller(caller, true);
}

static int
on_head(void *context, const AprHttpHead_t *head)
{
    AprCaller_t *caller = context;
    AprExchange_t *exchange =
        AprExchange_New(caller->entry->gateway, caller, head);

    if (exchange == NULL) {
        return 1;
    }
    caller->entry->exchange_count++;
    caller->count++;
    if (caller->last == NULL) {
        caller->first = exchange;
    }
    else {
        caller->last->next = exchange;
    }
    caller->last = exchange;
    caller->reading = exchange;
    if (head->has_length &&
        head->length > limits_of(caller->entry)->max_body_bytes) {
        AprExchange_Reject(exchange, 413, "body too large");
    }
    return 0;
}

static int
on_body(void *context, const char *data, size_t size)
{
    AprCaller_t *caller = context;
    AprExchange_t *exchange = caller->reading;

    if (exchange == NULL) {
        return 0;
    }
    exchange->body_size += size;
    if (exchange->body_size > limits_of(caller->entry)->max_body_bytes) {
        AprExchange_Reject(exchange, 413, "body too large");
        return 0;
    }
    AprExchange_Body(exchange, data, size);
    return caller->closed ? 1 : 0;
}

static int
on_complete(void *context)
{
    AprCaller_t *caller = context;
    AprExchange_t *exchange = caller->reading;

    caller->reading = NULL;
    if (exchange != NULL) {
        AprExchange_BodyEnd(exchange);
    }
    return caller->closed ? 1 : 0;
}

static const AprHttpHandler_t http_handler = {on_head, on_body, on_complete};

/* Answers bytes that are no request; false when that ended the
   connection. */
static bool
reject_malformed(AprCaller_t *caller, int result)
{
    bool too_large = result == APR_E_TOO_LARGE;

    AprLog_Write(APR_LOG_INFO, "request_malformed", "step=entry error=%s",
                 AprError_Name(result));
    if (caller->reading != NULL && !caller->reading->answered_whole) {
        caller->parsing = true;
        AprExchange_Reject(caller->reading, 400, "malformed body");
        caller->parsing = false;
        return true;
    }
    if (caller->first == NULL) {
        AprExchange_WriteError(caller->stream, too_large ? 431 : 400);
        close_caller(caller, false);
        return false;
    }
    /* Answers to the requests before it are still due. */
    caller->last->close_after = true;
    return true;
}

static void
on_data(void *context, const char *data, size_t size)
{
    AprCaller_t *caller = context;
    size_t used = 0;
    int result;

    caller->heard_ms = AprGateway_NowMs(caller->entry->gateway);
    caller->parsing = true;
    AprHttpParser_SetMaxHead(caller->parser,
                             limits_of(caller->entry)->max_head_bytes);
    result = AprHttpParser_Execute(caller->parser, data, size, &used);
    caller->parsing = false;
    if (caller->closed) {
        free_caller(caller);
        return;
    }
    if (result != APR_OK && !reject_malformed(caller, result)) {
        return;
    }
    if (caller->count >= MAX_PIPELINED && !caller->paused) {
        caller->paused = true;
        AprStream_ReadPause(caller->stream, true);
    }
    AprEntry_Settle(caller);
}

static void
on_close(void *context, int error)
{
    AprCaller_t *caller = context;

    (void)error;
    caller->stream = NULL;
    close_caller(caller, false);
}

static void
on_drain(void *context)
{
    AprCaller_t *caller = context;

    if (caller->first != NULL) {
        AprExchange_Drained(caller->first);
    }
}

static const AprStreamHandler_t stream_handler = {on_data, on_close, on_drain};

static void
add_caller(AprEntry_t *entry, int fd)
{
    AprCaller_t *caller = calloc(1, sizeof(*caller));

    if (caller == NULL) {
        close(fd);
        return;
    }
    caller->entry = entry;
    caller->parser = AprHttpParser_New(HTTP_REQUEST, &http_handler, caller);
    caller->stream = caller->parser == NULL
                         ? NULL
                         : AprStream_Open(entry->gateway->streams, fd,
                                          &stream_handler, caller);
    if (caller->stream == NULL) {
        AprHttpParser_Free(caller->parser);
        free(caller);
        return;
    }
    AprStream_DropAbandoned(caller->stream);
    caller->idle_since_ms = AprGateway_NowMs(entry->gateway);
    caller->heard_ms = caller->idle_since_ms;
    caller->next = entry->callers;
    entry->callers = caller;
}

static void
on_accept(struct ev_loop *loop, ev_io *watcher, int events)
{
    AprEntry_t *entry = watcher->data;
    int fd;

    (void)loop;
    (void)events;
    while ((fd = accept(entry->listen_fd, NULL, NULL)) >= 0) {
        add_caller(entry, fd);
    }
}

/* Accepts callers at an address. */
int
AprEntry_Listen(AprEntry_t *entry, const char *address)
{
    entry->listen_fd = AprStream_Listen(address);
    if (entry->listen_fd < 0) {
        return entry->listen_fd;
    }
    ev_io_init(&entry->listener, on_accept, entry->listen_fd, EV_READ);
    entry->listener.data = entry;
    ev_io_start(entry->gateway->loop, &entry->listener);
    return APR_OK;
}

/* Accepts no further callers. */
void
AprEntry_StopListening(AprEntry_t *entry)
{
    if (entry->listen_fd >= 0) {
        ev_io_stop(entry->gateway->loop, &entry->listener);
        close(entry->listen_fd);
        entry->listen_fd = -1;
    }
}

static bool
is_idle(const AprCaller_t *caller)
{
    return caller->first == NULL && !AprHttpParser_InMessage(caller->parser);
}

/* Closes the connections that carry no request. */
void
AprEntry_CloseIdle(AprEntry_t *entry)
{
    AprCaller_t *caller = entry->callers;

    while (caller != NULL) {
        AprCaller_t *next = caller->next;

        if (is_idle(caller)) {
            close_caller(caller, false);
        }
        caller = next;
    }
}

/* Ends connections that are idle, or slow to send a head, for too long. */
void
AprEntry_Tick(AprEntry_t *entry)
{
    const AprCallerLimits_t *limits = limits_of(entry);
    int64_t now_ms = AprGateway_NowMs(entry->gateway);
    AprCaller_t *caller = entry->callers;

    while (caller != NULL) {
        AprCaller_t *next = caller->next;

        if (is_idle(caller)) {
            if (now_ms - caller->idle_since_ms > limits->idle_timeout_ms) {
                close_caller(caller, false);
            }
        }
        else if (AprHttpParser_InHead(caller->parser) &&
                 now_ms - caller->heard_ms > limits->head_timeout_ms) {
            AprExchange_WriteError(caller->stream, 408);
            close_caller(caller, false);
        }
        caller = next;
    }
}

/* Number of requests without a whole answer. */
int
AprEntry_Busy(const AprEntry_t *entry)
{
    return entry->exchange_count;
}

/* Closes all connections and frees the state. */
void
AprEntry_Free(AprEntry_t *entry)
{
    if (entry == NULL) {
        return;
    }
    AprEntry_StopListening(entry);
    for (AprCaller_t *caller = entry->callers; caller != NULL;) {
        AprCaller_t *next = caller->next;

        close_caller(caller, false);
        caller = next;
    }
    free(entry);
}
