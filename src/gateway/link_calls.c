/* Calls on the links between gateways. */

#include <stdlib.h>
#include <string.h>

#include "internal/gateway_link.h"

/* A call that this host sent to another one. */
typedef struct OutboundCall_t {
    AprGatewayLink_t *link;
    gint stream;
    bool response_started;
    /* By when the response is complete, without and with a known length. */
    int64_t limit_ms;
    int64_t sized_limit_ms;
    AprCallHandlers_t handlers;
    void *context;
    /* The other host grants the bytes of the body. */
    bool paced;
    size_t credit; /* bytes that may be sent */
    AprBuffer_t unsent;
    bool unsent_end; /* `unsent` ends the body */
} OutboundCall_t;

/* A call of another host to the local backend server. */
typedef struct InboundCall_t {
    AprGatewayLink_t *link;
    gint stream;
    AprCallRef_t ref;
    bool paced; /* in AprGateway_t.body_pacing until the body has arrived */
    bool held;  /* not yet submitted to the backend server */
    AprCallHead_t head;  /* while held */
    AprBuffer_t body;    /* while held */
    size_t acknowledged; /* bytes of the body, while it was held */
} InboundCall_t;

/* A paced call is submitted when its body is complete, so that it occupies no
   slot while it is received, or with this many bytes: the sender stops at
   APR_CALL_WINDOW_BYTES. */
#define HELD_BODY_BYTES (APR_CALL_WINDOW_BYTES * 3 / 4)

/* The clocks of two hosts may drift apart by a millisecond in this time (200
   ppm), which must not look like a delay of the network. */
#define CLOCK_DRIFT_MS 5000

static uint64_t
pacing_id(const InboundCall_t *call)
{
    return (uint64_t)(uintptr_t)call;
}

static void
destroy_inbound_call(gpointer value)
{
    InboundCall_t *call = value;

    if (call->paced) {
        AprBodyPacing_Remove(&call->link->gateway->body_pacing,
                             pacing_id(call));
    }
    AprCallHead_Clear(&call->head);
    AprBuffer_Free(&call->body);
    free(call);
}

static void
destroy_outbound_call(gpointer value)
{
    OutboundCall_t *call = value;

    AprBuffer_Free(&call->unsent);
    free(call);
}

/* Creates an empty call table, which owns its calls. */
GHashTable *
AprLinkCalls_NewTable(bool inbound)
{
    return g_hash_table_new_full(g_int_hash, g_int_equal, NULL,
                                 inbound ? destroy_inbound_call
                                         : destroy_outbound_call);
}

/* Records the load that the other host of a link reported. */
void
AprLinkCalls_UpdatePeerLoad(AprGatewayLink_t *link, const AprHostLoad_t *load)
{
    AprMembers_UpdateLoad(link->gateway->members, link->host, load);
    link->peer_paces_bodies = load->paces_bodies;
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
    size_t early = size < call->acknowledged ? size : call->acknowledged;

    call->acknowledged -= early;
    if (size > early) {
        send_acknowledgement(call->link, (uint32_t)call->stream, size - early);
    }
}

static const AprCallHandlers_t inbound_handlers = {
    inbound_response_head, inbound_response_data, inbound_response_end,
    inbound_call_failed,   inbound_body_consumed, NULL};

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
    int64_t now_ms = AprGateway_NowMs(link->gateway);
    int64_t delay_ms;

    if (!link->has_clock_offset ||
        clock_offset_ms < link->min_clock_offset_ms) {
        link->has_clock_offset = true;
        link->min_clock_offset_ms = clock_offset_ms;
        link->clock_offset_raised_ms = now_ms;
    }
    else if (now_ms - link->clock_offset_raised_ms >= CLOCK_DRIFT_MS) {
        link->min_clock_offset_ms++;
        link->clock_offset_raised_ms = now_ms;
    }
    delay_ms = clock_offset_ms - link->min_clock_offset_ms;
    AprNetworkDelay_Add(&link->gateway->network_delay, delay_ms, now_ms);
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

/* Sends the grants that are due for request bodies. */
void
AprLinkCalls_GrantBodies(AprGateway_t *gateway)
{
    uint64_t id;
    size_t size;

    while ((size = AprBodyPacing_NextGrant(&gateway->body_pacing, &id,
                                           AprGateway_NowMs(gateway))) > 0) {
        InboundCall_t *call = (InboundCall_t *)(uintptr_t)id;
        AprLinkFrame_t frame = {0};

        frame.type = APR_LINK_CREDIT;
        frame.stream = (uint32_t)call->stream;
        frame.acknowledged_bytes = size;
        AprGatewayLink_Send(call->link, &frame);
    }
}

/* Takes a part of the body of a held call. It is acknowledged at once, as the
   sender may stop long before the call is submitted when its memory is
   scarce. Returns false when out of memory. */
static bool
append_held_data(InboundCall_t *call, const AprLinkFrame_t *frame)
{
    if (AprBuffer_Append(&call->body, frame->data, frame->data_size) !=
        APR_OK) {
        return false;
    }
    if (!frame->last_part) {
        call->acknowledged += frame->data_size;
        send_acknowledgement(call->link, (uint32_t)call->stream,
                             frame->data_size);
    }
    return true;
}

/* Holds a call until its body has been received. Returns false if the link of
   this host does not carry the body in time. */
static bool
hold_call(InboundCall_t *call, const AprLinkFrame_t *frame)
{
    AprGateway_t *gateway = call->link->gateway;
    const AprCallHead_t *head = &frame->call;
    int64_t now_ms = AprGateway_NowMs(gateway);
    int64_t end_ms =
        head->objective_ms > now_ms ? head->objective_ms : head->deadline_ms;
    uint64_t left =
        head->length > frame->data_size ? head->length - frame->data_size : 0;

    call->paced =
        AprBodyPacing_Offer(&gateway->body_pacing, pacing_id(call),
                            head->has_length, left, end_ms - now_ms, now_ms);
    AprGateway_IncrementCounter(gateway, "paced_bodies_total",
                                call->paced ? "result=\"accepted\""
                                            : "result=\"refused\"");
    call->held = call->paced &&
                 AprCallHead_Copy(&call->head, head) == APR_OK &&
                 append_held_data(call, frame);
    return call->held;
}

/* Submits a held call to the local backend server. */
static void
submit_held_call(InboundCall_t *call, bool end)
{
    AprGatewayLink_t *link = call->link;
    AprCallFailure_t failure = {APR_CALL_FULL, true, 0};
    AprCallHead_t head = call->head;
    AprBuffer_t body = call->body;

    /* The call may be freed while it is submitted. */
    memset(&call->head, 0, sizeof(call->head));
    memset(&call->body, 0, sizeof(call->body));
    call->held = false;
    if (!AprBackend_Submit(link->gateway->backend, &head,
                           AprBuffer_Data(&body), AprBuffer_Size(&body), end,
                           &inbound_handlers, call, &call->ref, &failure)) {
        inbound_call_failed(call, &failure);
    }
    AprCallHead_Clear(&head);
    AprBuffer_Free(&body);
}

/* Counts received data of a paced call. Returns false if the data was taken
   for a held call. */
static bool
receive_paced_data(InboundCall_t *call, const AprLinkFrame_t *frame)
{
    AprGateway_t *gateway = call->link->gateway;
    bool held = call->held;

    AprBodyPacing_Receive(&gateway->body_pacing, pacing_id(call),
                          frame->data_size, AprGateway_NowMs(gateway));
    if (frame->last_part) {
        AprBodyPacing_Remove(&gateway->body_pacing, pacing_id(call));
        call->paced = false;
    }
    if (held) {
        AprCallFailure_t failure = {APR_CALL_FULL, true, 0};

        if (!append_held_data(call, frame)) {
            inbound_call_failed(call, &failure);
        }
        else if (frame->last_part ||
                 AprBuffer_Size(&call->body) >= HELD_BODY_BYTES) {
            submit_held_call(call, frame->last_part);
        }
    }
    return !held;
}

/* Refuses the held calls of an inbound link whose deadline has passed, or all
   of them when this host is stopping. */
void
AprLinkCalls_RefuseHeld(AprGatewayLink_t *link)
{
    bool stopping = link->gateway->stop_step >= APR_STOP_REFUSE_PEERS;
    int64_t now_ms = AprGateway_NowMs(link->gateway);
    AprCallFailure_t failure = {stopping ? APR_CALL_LEAVING : APR_CALL_FULL,
                                true, APR_RESTART_RETRY_AFTER_MS};
    GHashTableIter calls;
    gpointer value;

    g_hash_table_iter_init(&calls, link->calls);
    while (g_hash_table_iter_next(&calls, NULL, &value)) {
        InboundCall_t *call = value;

        if (call->held && (stopping || call->head.deadline_ms < now_ms)) {
            send_failure(link, (uint32_t)call->stream, &failure);
            g_hash_table_iter_remove(&calls);
        }
    }
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
        if (frame->paced && !frame->last_part) {
            if (hold_call(call, frame)) {
                AprLinkCalls_GrantBodies(link->gateway);
                return;
            }
            failure.retry_after_ms = AprBodyPacing_WaitMs(
                &link->gateway->body_pacing, AprGateway_NowMs(link->gateway));
        }
        else if (AprBackend_Submit(link->gateway->backend, &frame->call,
                                   frame->data, frame->data_size,
                                   frame->last_part, &inbound_handlers, call,
                                   &call->ref, &failure)) {
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

        g_hash_table_iter_remove(&calls);
        if (ref.call != NULL) {
            ref.ops->cancel(ref.call);
        }
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

/* Sends as much of the body of a paced call as was granted. */
static void
send_granted_data(OutboundCall_t *call)
{
    size_t size = AprBuffer_Size(&call->unsent);
    size_t part = size < call->credit ? size : call->credit;
    bool end = call->unsent_end && part == size;

    if (part > 0 || end) {
        call->credit -= part;
        send_data(call->link, (uint32_t)call->stream,
                  AprBuffer_Data(&call->unsent), part, end);
        AprBuffer_Consume(&call->unsent, part);
        call->unsent_end = call->unsent_end && !end;
    }
}

static void
write_outbound_body(void *context, const char *data, size_t size, bool end)
{
    OutboundCall_t *call = context;

    if (call->paced) {
        AprBuffer_Append(&call->unsent, data, size);
        call->unsent_end = end;
        send_granted_data(call);
        return;
    }
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

    AprLinkCalls_UpdatePeerLoad(link, &frame->load);
    if (call == NULL) {
        return;
    }
    call->response_started = true;
    if (frame->response.has_length) {
        call->limit_ms = call->sized_limit_ms;
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

        if (call != NULL &&
            (!call->paced || receive_paced_data(call, frame))) {
            call->ref.ops->write_body(call->ref.call, frame->data,
                                      frame->data_size, frame->last_part);
        }
        AprLinkCalls_GrantBodies(link->gateway);
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

        if (call != NULL && call->ref.call != NULL) {
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
handle_credit(AprGatewayLink_t *link, const AprLinkFrame_t *frame)
{
    OutboundCall_t *call = find_outbound_call(link, frame->stream);

    if (call != NULL && call->paced) {
        call->credit += frame->acknowledged_bytes;
        send_granted_data(call);
    }
}

static void
handle_cancel(AprGatewayLink_t *link, const AprLinkFrame_t *frame)
{
    InboundCall_t *call = find_inbound_call(link, frame->stream);

    if (call == NULL) {
        return;
    }
    if (call->ref.call != NULL) {
        call->ref.ops->cancel(call->ref.call);
    }
    free_inbound_call(call);
    AprLinkCalls_GrantBodies(link->gateway);
}

static void
handle_failure(AprGatewayLink_t *link, const AprLinkFrame_t *frame)
{
    OutboundCall_t *call = find_outbound_call(link, frame->stream);

    AprLinkCalls_UpdatePeerLoad(link, &frame->load);
    if (call != NULL) {
        fail_outbound_call(call, &frame->failure);
    }
}

/* Returns the number of calls of an outbound link whose response has
   started. */
int
AprLinkCalls_CountStarted(const AprGatewayLink_t *link)
{
    GHashTableIter calls;
    gpointer value;
    int count = 0;

    g_hash_table_iter_init(&calls, link->calls);
    while (g_hash_table_iter_next(&calls, NULL, &value)) {
        count += ((const OutboundCall_t *)value)->response_started;
    }
    return count;
}

/* Fails the calls of an outbound link for which `selects` returns true. */
static void
fail_selected(AprGatewayLink_t *link, const AprCallFailure_t *failure,
              bool (*selects)(const OutboundCall_t *call))
{
    GHashTableIter calls;
    gpointer value;

    g_hash_table_iter_init(&calls, link->calls);
    while (g_hash_table_iter_next(&calls, NULL, &value)) {
        if (selects(value)) {
            fail_outbound_call(value, failure);
            /* The failed call may have ended others on this link. */
            g_hash_table_iter_init(&calls, link->calls);
        }
    }
}

static bool
is_repeatable(const OutboundCall_t *call)
{
    return !call->response_started && call->handlers.may_repeat != NULL &&
           call->handlers.may_repeat(call->context);
}

static bool
is_unanswered(const OutboundCall_t *call)
{
    return !call->response_started;
}

static bool
is_overdue(const OutboundCall_t *call)
{
    return call->response_started &&
           AprGateway_NowMs(call->link->gateway) >
               call->limit_ms + APR_RESPONSE_GRACE_MS;
}

/* Fails the calls of an outbound link that are sent again then. */
void
AprLinkCalls_FailRepeatable(AprGatewayLink_t *link,
                            const AprCallFailure_t *failure)
{
    fail_selected(link, failure, is_repeatable);
}

/* Fails the calls of an outbound link without a response that has started. */
void
AprLinkCalls_FailUnanswered(AprGatewayLink_t *link,
                            const AprCallFailure_t *failure)
{
    fail_selected(link, failure, is_unanswered);
}

/* Fails the calls of an outbound link whose responses have started and should
   be complete. */
void
AprLinkCalls_FailOverdue(AprGatewayLink_t *link,
                         const AprCallFailure_t *failure)
{
    fail_selected(link, failure, is_overdue);
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
    bool small =
        end ? size <= APR_BODY_UNPACED_BYTES
            : head->has_length && head->length <= APR_BODY_UNPACED_BYTES;
    bool paced = !small && link->peer_paces_bodies &&
                 AprGateway_IsBalancingAdaptive(link->gateway);
    size_t limit = paced ? APR_BODY_UNPACED_BYTES : APR_LINK_MAX_DATA_BYTES;
    size_t first = size < limit ? size : limit;

    call->paced = paced;
    call->link = link;
    call->stream = ++link->next_stream;
    call->limit_ms = AprCallHead_ResponseLimitMs(head, false);
    call->sized_limit_ms = AprCallHead_ResponseLimitMs(head, true);
    call->handlers = *handlers;
    call->context = context;
    g_hash_table_insert(link->calls, &call->stream, call);
    frame.type = APR_LINK_CALL;
    frame.stream = (uint32_t)call->stream;
    frame.call = *head;
    frame.data = data;
    frame.data_size = first;
    frame.last_part = end && first == size;
    frame.paced = paced;
    AprGatewayLink_Send(link, &frame);
    if (paced) {
        AprBuffer_Append(&call->unsent, data + first, size - first);
        call->unsent_end = end && !frame.last_part;
    }
    else if (first < size) {
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
    case APR_LINK_CREDIT:
        handle_credit(link, frame);
        break;
    default:
        break;
    }
}
