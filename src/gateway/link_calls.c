/* Calls on the links between gateways. */

#include <stdlib.h>
#include <string.h>

#include "internal/gateway_link.h"

/* A call that this host sent to another one. */
typedef struct OutboundCall_t {
    AprGatewayLink_t *link;
    gint stream;
    bool idempotent;
    AprCallHandlers_t handlers;
    void *context;
} OutboundCall_t;

/* A call of another host to the local backend server. */
typedef struct InboundCall_t {
    AprGatewayLink_t *link;
    gint stream;
    AprCallRef_t ref;
} InboundCall_t;

/* Creates an empty call table, which owns its calls. */
GHashTable *
AprLinkCalls_NewTable(void)
{
    return g_hash_table_new_full(g_int_hash, g_int_equal, NULL, free);
}

static void
free_inbound_call(InboundCall_t *call)
{
    g_hash_table_remove(call->link->calls, &call->stream);
}

static void
inbound_response_head(void *context, const AprResponseHead_t *head)
{
    InboundCall_t *call = context;
    AprLinkFrame_t frame = {0};

    frame.type = APR_LINK_RESPONSE;
    frame.stream = (uint32_t)call->stream;
    frame.response = *head;
    AprGateway_GetLoad(call->link->gateway, &frame.load);
    AprGatewayLink_Send(call->link, &frame);
}

/* Sends body data in frames of at most APR_LINK_MAX_DATA_BYTES bytes; at least
   one frame is sent. */
static void
send_data(AprGatewayLink_t *link, uint32_t stream, const char *data,
          size_t size, bool end)
{
    AprLinkFrame_t frame = {0};

    frame.type = APR_LINK_DATA;
    frame.stream = stream;
    do {
        size_t part =
            size < APR_LINK_MAX_DATA_BYTES ? size : APR_LINK_MAX_DATA_BYTES;

        frame.data = data;
        frame.data_size = part;
        frame.last_part = end && part == size;
        AprGatewayLink_Send(link, &frame);
        data += part;
        size -= part;
    } while (size > 0);
}

static void
inbound_response_data(void *context, const char *data, size_t size)
{
    InboundCall_t *call = context;

    send_data(call->link, (uint32_t)call->stream, data, size, false);
}

static void
inbound_response_end(void *context)
{
    InboundCall_t *call = context;

    send_data(call->link, (uint32_t)call->stream, "", 0, true);
    free_inbound_call(call);
}

static void
send_failure(AprGatewayLink_t *link, uint32_t stream,
             const AprCallFailure_t *failure)
{
    AprLinkFrame_t frame = {0};

    frame.type = APR_LINK_FAIL;
    frame.stream = stream;
    frame.failure = *failure;
    AprGateway_GetLoad(link->gateway, &frame.load);
    AprGatewayLink_Send(link, &frame);
}

static void
inbound_call_failed(void *context, const AprCallFailure_t *failure)
{
    InboundCall_t *call = context;

    send_failure(call->link, (uint32_t)call->stream, failure);
    free_inbound_call(call);
}

/* Reports that `size` bytes of body data were consumed. */
static void
send_acknowledgement(AprGatewayLink_t *link, uint32_t stream, size_t size)
{
    AprLinkFrame_t frame = {0};

    frame.type = APR_LINK_ACK;
    frame.stream = stream;
    frame.acknowledged_bytes = size;
    AprGatewayLink_Send(link, &frame);
}

static void
inbound_body_consumed(void *context, size_t size)
{
    InboundCall_t *call = context;

    send_acknowledgement(call->link, (uint32_t)call->stream, size);
}

static const AprCallHandlers_t inbound_handlers = {
    inbound_response_head, inbound_response_data, inbound_response_end,
    inbound_call_failed, inbound_body_consumed};

static InboundCall_t *
find_inbound_call(AprGatewayLink_t *link, uint32_t stream)
{
    return link->inbound ? g_hash_table_lookup(link->calls, &stream) : NULL;
}

/* Subtracts the queueing delay of a call frame from its times. They were sent
   relative to the time of sending and decoded relative to the arrival. The
   delay is counted beyond that of the fastest frame of this link, as the clock
   offset of the hosts is not known. */
static void
subtract_queueing_delay(AprGatewayLink_t *link, AprLinkFrame_t *frame)
{
    int64_t clock_offset_ms =
        AprGateway_NowMs(link->gateway) - frame->sequence;
    int64_t delay_ms;

    if (!link->has_clock_offset ||
        clock_offset_ms < link->min_clock_offset_ms) {
        link->has_clock_offset = true;
        link->min_clock_offset_ms = clock_offset_ms;
    }
    delay_ms = clock_offset_ms - link->min_clock_offset_ms;
    frame->call.arrived_ms -= delay_ms;
    frame->call.objective_ms -= delay_ms;
    frame->call.deadline_ms -= delay_ms;
}

/* Returns the memory of received and unsent bytes of a link. */
size_t
AprGatewayLink_HeldBytes(const AprGatewayLink_t *link)
{
    return link->receive_buffer.capacity +
           (link->stream == NULL ? 0 : AprStream_HeldBytes(link->stream));
}

/* Submits a received call to the local backend server. */
static void
handle_call(AprGatewayLink_t *link, AprLinkFrame_t *frame)
{
    AprCallFailure_t failure = {APR_CALL_FULL, true, 0};
    InboundCall_t *call;

    if (link->going_away) {
        return; /* its sender takes it for not delivered */
    }
    link->last_stream = frame->stream;
    subtract_queueing_delay(link, frame);
    if (link->gateway->stop_step >= APR_STOP_REFUSE_PEERS) {
        failure.error = APR_CALL_LEAVING;
        failure.retry_after_ms = APR_RESTART_RETRY_AFTER_MS;
        send_failure(link, frame->stream, &failure);
        return;
    }
    AprResources_Update(link->gateway);
    if (!AprMemoryBudget_MayAcceptCall(&link->gateway->memory_budget,
                                       AprGatewayLink_HeldBytes(link),
                                       frame->last_part)) {
        AprGateway_IncrementCounter(link->gateway, "calls_refused_total",
                                    "reason=\"memory\"");
        send_failure(link, frame->stream, &failure);
        return;
    }
    call = calloc(1, sizeof(*call));
    if (call != NULL) {
        call->link = link;
        call->stream = (gint)frame->stream;
        g_hash_table_replace(link->calls, &call->stream, call);
        if (AprBackend_Submit(link->gateway->backend, &frame->call,
                              frame->data, frame->data_size, frame->last_part,
                              &inbound_handlers, call, &call->ref, &failure)) {
            return;
        }
        free_inbound_call(call);
    }
    send_failure(link, frame->stream, &failure);
}

/* Cancels all calls of an inbound link. */
void
AprLinkCalls_CancelAll(AprGatewayLink_t *link)
{
    GHashTableIter calls;
    gpointer value;

    g_hash_table_iter_init(&calls, link->calls);
    while (g_hash_table_iter_next(&calls, NULL, &value)) {
        AprCallRef_t ref = ((InboundCall_t *)value)->ref;

        /* The freed slot may start or end other calls on this link, which
           invalidates the iterator. */
        g_hash_table_iter_remove(&calls);
        ref.ops->cancel(ref.call);
        g_hash_table_iter_init(&calls, link->calls);
    }
}

static OutboundCall_t *
find_outbound_call(AprGatewayLink_t *link, uint32_t stream)
{
    return link->inbound ? NULL : g_hash_table_lookup(link->calls, &stream);
}

static void
free_outbound_call(OutboundCall_t *call)
{
    g_hash_table_remove(call->link->calls, &call->stream);
}

static void
complete_outbound_call(OutboundCall_t *call)
{
    AprCallHandlers_t handlers = call->handlers;
    void *context = call->context;

    free_outbound_call(call);
    handlers.on_end(context);
}

static void
fail_outbound_call(OutboundCall_t *call, const AprCallFailure_t *failure)
{
    AprCallHandlers_t handlers = call->handlers;
    void *context = call->context;

    free_outbound_call(call);
    handlers.on_failure(context, failure);
}

static void
write_outbound_body(void *context, const char *data, size_t size, bool end)
{
    OutboundCall_t *call = context;

    send_data(call->link, (uint32_t)call->stream, data, size, end);
}

static void
acknowledge_outbound_response(void *context, size_t size)
{
    OutboundCall_t *call = context;

    send_acknowledgement(call->link, (uint32_t)call->stream, size);
}

static void
cancel_outbound_call(void *context)
{
    OutboundCall_t *call = context;
    AprLinkFrame_t frame = {0};

    frame.type = APR_LINK_CANCEL;
    frame.stream = (uint32_t)call->stream;
    AprGatewayLink_Send(call->link, &frame);
    free_outbound_call(call);
}

static const AprCallOps_t outbound_ops = {
    write_outbound_body, acknowledge_outbound_response, cancel_outbound_call};

static void
handle_response_head(AprGatewayLink_t *link, const AprLinkFrame_t *frame)
{
    OutboundCall_t *call = find_outbound_call(link, frame->stream);

    AprMembers_UpdateLoad(link->gateway->members, link->host, &frame->load);
    if (call == NULL) {
        return;
    }
    call->handlers.on_response_head(call->context, &frame->response);
}

/* Handles body data: of a request on an inbound link, of a response on an
   outbound one. */
static void
handle_data(AprGatewayLink_t *link, const AprLinkFrame_t *frame)
{
    if (link->inbound) {
        InboundCall_t *call = find_inbound_call(link, frame->stream);

        if (call != NULL) {
            call->ref.ops->write_body(call->ref.call, frame->data,
                                      frame->data_size, frame->last_part);
        }
        return;
    }
    OutboundCall_t *call = find_outbound_call(link, frame->stream);

    if (call == NULL) {
        return;
    }
    if (frame->data_size > 0) {
        call->handlers.on_data(call->context, frame->data, frame->data_size);
        call = find_outbound_call(link, frame->stream);
    }
    if (frame->last_part && call != NULL) {
        complete_outbound_call(call);
    }
}

/* Handles an acknowledgement of response data on an inbound link, of request
   data on an outbound one. */
static void
handle_acknowledgement(AprGatewayLink_t *link, const AprLinkFrame_t *frame)
{
    if (link->inbound) {
        InboundCall_t *call = find_inbound_call(link, frame->stream);

        if (call != NULL) {
            call->ref.ops->acknowledge_response(call->ref.call,
                                                frame->acknowledged_bytes);
        }
        return;
    }
    OutboundCall_t *call = find_outbound_call(link, frame->stream);

    if (call != NULL) {
        call->handlers.on_body_consumed(call->context,
                                        frame->acknowledged_bytes);
    }
}

static void
handle_cancel(AprGatewayLink_t *link, const AprLinkFrame_t *frame)
{
    InboundCall_t *call = find_inbound_call(link, frame->stream);

    if (call != NULL) {
        call->ref.ops->cancel(call->ref.call);
        free_inbound_call(call);
    }
}

static void
handle_failure(AprGatewayLink_t *link, const AprLinkFrame_t *frame)
{
    OutboundCall_t *call = find_outbound_call(link, frame->stream);

    AprMembers_UpdateLoad(link->gateway->members, link->host, &frame->load);
    if (call != NULL) {
        fail_outbound_call(call, &frame->failure);
    }
}

/* Fails the idempotent calls of an outbound link. */
void
AprLinkCalls_FailIdempotent(AprGatewayLink_t *link,
                            const AprCallFailure_t *failure)
{
    GHashTableIter calls;
    gpointer value;

    g_hash_table_iter_init(&calls, link->calls);
    while (g_hash_table_iter_next(&calls, NULL, &value)) {
        OutboundCall_t *call = value;

        if (call->idempotent) {
            fail_outbound_call(call, failure);
            /* The failed call may have ended others on this link. */
            g_hash_table_iter_init(&calls, link->calls);
        }
    }
}

/* Fails all calls of an outbound link. */
void
AprLinkCalls_FailAll(AprGatewayLink_t *link, const AprCallFailure_t *failure)
{
    GHashTableIter calls;
    gpointer value;

    /* A failed call may end other calls on this link, which invalidates the
       iterator. */
    g_hash_table_iter_init(&calls, link->calls);
    while (g_hash_table_iter_next(&calls, NULL, &value)) {
        fail_outbound_call(value, failure);
        g_hash_table_iter_init(&calls, link->calls);
    }
}

/* Fails the calls that the other host had not read when it ended. */
void
AprLinkCalls_OnGoaway(AprGatewayLink_t *link, int64_t last_stream)
{
    AprCallFailure_t failure = {APR_CALL_UNREACHABLE, true,
                                APR_RESTART_RETRY_AFTER_MS};
    GHashTableIter calls;
    gpointer value;

    link->going_away = true;
    g_hash_table_iter_init(&calls, link->calls);
    while (g_hash_table_iter_next(&calls, NULL, &value)) {
        OutboundCall_t *call = value;

        if ((uint32_t)call->stream > (uint32_t)last_stream) {
            fail_outbound_call(call, &failure);
            /* The failed call may have ended others on this link. */
            g_hash_table_iter_init(&calls, link->calls);
        }
    }
}

/* Sends a call on an outbound link and fills in `ref`. `head` and `data` are
   encoded and `handlers` is copied before this returns. */
void
AprLinkCalls_Start(AprGatewayLink_t *link, const AprCallHead_t *head,
                   const char *data, size_t size, bool end,
                   const AprCallHandlers_t *handlers, void *context,
                   AprCallRef_t *ref)
{
    OutboundCall_t *call = g_new0(OutboundCall_t, 1);
    AprLinkFrame_t frame = {0};
    size_t first =
        size < APR_LINK_MAX_DATA_BYTES ? size : APR_LINK_MAX_DATA_BYTES;

    call->link = link;
    call->stream = ++link->next_stream;
    call->idempotent = head->idempotent;
    call->handlers = *handlers;
    call->context = context;
    g_hash_table_insert(link->calls, &call->stream, call);
    frame.type = APR_LINK_CALL;
    frame.stream = (uint32_t)call->stream;
    frame.call = *head;
    frame.data = data;
    frame.data_size = first;
    frame.last_part = end && first == size;
    AprGatewayLink_Send(link, &frame);
    if (first < size) {
        send_data(link, (uint32_t)call->stream, data + first, size - first,
                  end);
    }
    ref->ops = &outbound_ops;
    ref->call = call;
}

/* Handles a received frame that belongs to a call. */
void
AprLinkCalls_HandleFrame(AprGatewayLink_t *link, AprLinkFrame_t *frame)
{
    switch (frame->type) {
    case APR_LINK_CALL:
        handle_call(link, frame);
        break;
    case APR_LINK_RESPONSE:
        handle_response_head(link, frame);
        break;
    case APR_LINK_DATA:
        handle_data(link, frame);
        break;
    case APR_LINK_CANCEL:
        handle_cancel(link, frame);
        break;
    case APR_LINK_FAIL:
        handle_failure(link, frame);
        break;
    case APR_LINK_ACK:
        handle_acknowledgement(link, frame);
        break;
    default:
        break;
    }
}
