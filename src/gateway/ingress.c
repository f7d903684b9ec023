/* Callers' connections together: the listener, time limits, and the ones that
   are closed at a limit. */

#include <stdlib.h>

#include "internal/ingress_state.h"

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

static const AprCallerLimits_t default_limits = {
    DEFAULT_MAX_HEAD_BYTES, DEFAULT_MAX_BODY_BYTES, DEFAULT_HEAD_TIMEOUT_MS,
    DEFAULT_IDLE_TIMEOUT_MS};

/* Returns the limits for callers. */
const AprCallerLimits_t *
AprIngress_CallerLimits(const AprIngress_t *ingress)
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
    AprCallerConn_Close(caller, true);
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

static const AprListenerHandler_t listener_handler = {AprCallerConn_Accept,
                                                      may_accept, on_pause};

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
            AprCallerConn_Close(caller, false);
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
        AprCallerConn_StartWaiting(caller);
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
    const AprCallerLimits_t *limits = AprIngress_CallerLimits(ingress);
    int64_t now_ms = AprGateway_NowMs(ingress->gateway);
    AprCallerConn_t *caller = ingress->callers;

    ingress->visiting = true;
    while (caller != NULL) {
        AprCallerConn_t *next = caller->next;

        if (caller->closed) {
            /* Closed by the end of an earlier one's call. */
        }
        else if (is_idle(caller)) {
            if (now_ms - caller->idle_since_ms > limits->idle_timeout_ms &&
                !AprStream_HasReceivedBytes(caller->stream)) {
                AprCallerConn_Close(caller, false);
            }
        }
        else if (is_head_overdue(caller, limits, now_ms)) {
            AprCallerConn_EndWithStatus(caller, 408);
        }
        caller = next;
    }
    update_callers(ingress, now_ms);
    ingress->visiting = false;
    while (ingress->closed_callers != NULL) {
        caller = ingress->closed_callers;
        ingress->closed_callers = caller->next_closed;
        AprCallerConn_Free(caller);
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

        AprCallerConn_Close(caller, false);
        caller = next;
    }
    free(ingress);
}
