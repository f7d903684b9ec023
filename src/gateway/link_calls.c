/* Calls on the links between gateways. */

#include <stdlib.h>
#include <string.h>

#include "internal/link.h"

/* A process that stops is usually there again after this time. */
#define RESTART_MS 1500

/* A call of this host at another one. */
typedef struct OutCall_t {
    AprLink_t *link;
    gint stream;
    AprCallSink_t sink;
    void *context;
} OutCall_t;

/* A call of another host at the backend server here. */
typedef struct InCall_t {
    AprLink_t *link;
    gint stream;
    AprCallRef_t ref;
} InCall_t;

/* An empty table of calls. */
GHashTable *
AprLinkCalls_New(void)
{
    return g_hash_table_new_full(g_int_hash, g_int_equal, NULL, free);
}

/* Calls of other hosts. */

static void
remove_in_call(InCall_t *call)
{
    g_hash_table_remove(call->link->calls, &call->stream);
}

static void
in_answer(void *context, const AprAnswerHead_t *head)
{
    InCall_t *call = context;
    AprLinkFrame_t frame = {0};

    frame.type = APR_LINK_ANSWER;
    frame.stream = (uint32_t)call->stream;
    frame.answer = *head;
    AprGateway_Load(call->link->gateway, &frame.load);
    AprLink_Send(call->link, &frame);
}

static void
send_data(AprLink_t *link, uint32_t stream, const char *data, size_t size,
          bool end)
{
    AprLinkFrame_t frame = {0};

    frame.type = APR_LINK_DATA;
    frame.stream = stream;
    do {
        size_t part = size < APR_LINK_MAX_DATA ? size : APR_LINK_MAX_DATA;

        frame.data = data;
        frame.data_size = part;
        frame.end = end && part == size;
        AprLink_Send(link, &frame);
        data += part;
        size -= part;
    } while (size > 0);
}

static void
in_data(void *context, const char *data, size_t size)
{
    InCall_t *call = context;

    send_data(call->link, (uint32_t)call->stream, data, size, false);
}

static void
in_end(void *context)
{
    InCall_t *call = context;

    send_data(call->link, (uint32_t)call->stream, "", 0, true);
    remove_in_call(call);
}

static void
send_failure(AprLink_t *link, uint32_t stream, const AprCallFailure_t *failure)
{
    AprLinkFrame_t frame = {0};

    frame.type = APR_LINK_FAIL;
    frame.stream = stream;
    frame.failure = *failure;
    AprGateway_Load(link->gateway, &frame.load);
    AprLink_Send(link, &frame);
}

static void
in_fail(void *context, const AprCallFailure_t *failure)
{
    InCall_t *call = context;

    send_failure(call->link, (uint32_t)call->stream, failure);
    remove_in_call(call);
}

static void
send_taken(AprLink_t *link, uint32_t stream, size_t size)
{
    AprLinkFrame_t frame = {0};

    frame.type = APR_LINK_TAKEN;
    frame.stream = stream;
    frame.taken = size;
    AprLink_Send(link, &frame);
}

static void
in_taken(void *context, size_t size)
{
    InCall_t *call = context;

    send_taken(call->link, (uint32_t)call->stream, size);
}

static const AprCallSink_t in_sink = {in_answer, in_data, in_end, in_fail,
                                      in_taken};

static InCall_t *
find_in_call(AprLink_t *link, uint32_t stream)
{
    return link->inbound ? g_hash_table_lookup(link->calls, &stream) : NULL;
}

/* Spans left in a call count from its sending. What it spent in queues on the
   way, beyond the fastest frame of this link, is taken off. */
static void
take_off_delay(AprLink_t *link, AprLinkFrame_t *frame)
{
    int64_t skew_ms = AprGateway_NowMs(link->gateway) - frame->sequence;
    int64_t delay_ms;

    if (!link->has_skew || skew_ms < link->skew_ms) {
        link->has_skew = true;
        link->skew_ms = skew_ms;
    }
    delay_ms = skew_ms - link->skew_ms;
    frame->call.arrived_ms -= delay_ms;
    frame->call.objective_ms -= delay_ms;
    frame->call.deadline_ms -= delay_ms;
}

static void
take_call(AprLink_t *link, AprLinkFrame_t *frame)
{
    AprCallFailure_t failure = {APR_CALL_FULL, true, 0};
    InCall_t *call;

    take_off_delay(link, frame);
    if (link->gateway->stop_step >= APR_STOP_PEERS) {
        failure.error = APR_CALL_LEAVING;
        failure.retry_after_ms = RESTART_MS;
        send_failure(link, frame->stream, &failure);
        return;
    }
    call = calloc(1, sizeof(*call));
    if (call != NULL) {
        call->link = link;
        call->stream = (gint)frame->stream;
        g_hash_table_replace(link->calls, &call->stream, call);
        if (AprBackend_Submit(link->gateway->backend, &frame->call,
                              frame->data, frame->data_size, frame->end,
                              &in_sink, call, &call->ref, &failure)) {
            return;
        }
        remove_in_call(call);
    }
    send_failure(link, frame->stream, &failure);
}

/* Cancels the calls of the host at the other end. */
void
AprLinkCalls_CancelAll(AprLink_t *link)
{
    GHashTableIter calls;
    gpointer value;

    g_hash_table_iter_init(&calls, link->calls);
    while (g_hash_table_iter_next(&calls, NULL, &value)) {
        AprCallRef_t ref = ((InCall_t *)value)->ref;

        /* A free slot may end others on this link. */
        g_hash_table_iter_remove(&calls);
        ref.ops->cancel(ref.call);
        g_hash_table_iter_init(&calls, link->calls);
    }
}

/* Calls of this host. */

static OutCall_t *
find_out_call(AprLink_t *link, uint32_t stream)
{
    return link->inbound ? NULL : g_hash_table_lookup(link->calls, &stream);
}

static void
remove_out_call(OutCall_t *call)
{
    g_hash_table_remove(call->link->calls, &call->stream);
}

static void
end_out_call(OutCall_t *call)
{
    AprCallSink_t sink = call->sink;
    void *context = call->context;

    remove_out_call(call);
    sink.on_end(context);
}

static void
fail_out_call(OutCall_t *call, const AprCallFailure_t *failure)
{
    AprCallSink_t sink = call->sink;
    void *context = call->context;

    remove_out_call(call);
    sink.on_failure(context, failure);
}

static void
out_body(void *context, const char *data, size_t size, bool end)
{
    OutCall_t *call = context;

    send_data(call->link, (uint32_t)call->stream, data, size, end);
}

static void
out_taken(void *context, size_t size)
{
    OutCall_t *call = context;

    send_taken(call->link, (uint32_t)call->stream, size);
}

static void
out_cancel(void *context)
{
    OutCall_t *call = context;
    AprLinkFrame_t frame = {0};

    frame.type = APR_LINK_CANCEL;
    frame.stream = (uint32_t)call->stream;
    AprLink_Send(call->link, &frame);
    remove_out_call(call);
}

static const AprCallOps_t out_ops = {out_body, out_taken, out_cancel};

static void
take_answer(AprLink_t *link, const AprLinkFrame_t *frame)
{
    OutCall_t *call = find_out_call(link, frame->stream);

    AprMembers_NoteLoad(link->gateway->members, link->host, &frame->load);
    if (call == NULL) {
        return;
    }
    call->sink.on_response_head(call->context, &frame->answer);
}

/* Data goes to a call of this host on its own link, and else to the body of
   a call of the other host. */
static void
take_data(AprLink_t *link, const AprLinkFrame_t *frame)
{
    if (link->inbound) {
        InCall_t *call = find_in_call(link, frame->stream);

        if (call != NULL) {
            call->ref.ops->write_body(call->ref.call, frame->data,
                                      frame->data_size, frame->end);
        }
        return;
    }
    OutCall_t *call = find_out_call(link, frame->stream);

    if (call == NULL) {
        return;
    }
    if (frame->data_size > 0) {
        call->sink.on_data(call->context, frame->data, frame->data_size);
        call = find_out_call(link, frame->stream);
    }
    if (frame->end && call != NULL) {
        end_out_call(call);
    }
}

static void
take_taken(AprLink_t *link, const AprLinkFrame_t *frame)
{
    if (link->inbound) {
        InCall_t *call = find_in_call(link, frame->stream);

        if (call != NULL) {
            call->ref.ops->acknowledge_response(call->ref.call, frame->taken);
        }
        return;
    }
    OutCall_t *call = find_out_call(link, frame->stream);

    if (call != NULL) {
        call->sink.on_body_consumed(call->context, frame->taken);
    }
}

static void
take_cancel(AprLink_t *link, const AprLinkFrame_t *frame)
{
    InCall_t *call = find_in_call(link, frame->stream);

    if (call != NULL) {
        call->ref.ops->cancel(call->ref.call);
        remove_in_call(call);
    }
}

static void
take_failure(AprLink_t *link, const AprLinkFrame_t *frame)
{
    OutCall_t *call = find_out_call(link, frame->stream);

    AprMembers_NoteLoad(link->gateway->members, link->host, &frame->load);
    if (call != NULL) {
        fail_out_call(call, &frame->failure);
    }
}

/* Fails all calls to the host at the other end. */
void
AprLinkCalls_FailAll(AprLink_t *link, const AprCallFailure_t *failure)
{
    GHashTableIter calls;
    gpointer value;

    /* A failed call may lead to the end of others on this link. */
    g_hash_table_iter_init(&calls, link->calls);
    while (g_hash_table_iter_next(&calls, NULL, &value)) {
        fail_out_call(value, failure);
        g_hash_table_iter_init(&calls, link->calls);
    }
}

/* Sends a call to the host at the other end. */
void
AprLinkCalls_Open(AprLink_t *link, const AprCallHead_t *head, const char *data,
                  size_t size, bool end, const AprCallSink_t *sink,
                  void *context, AprCallRef_t *ref)
{
    OutCall_t *call = g_new0(OutCall_t, 1);
    AprLinkFrame_t frame = {0};
    size_t first = size < APR_LINK_MAX_DATA ? size : APR_LINK_MAX_DATA;

    call->link = link;
    call->stream = ++link->next_stream;
    call->sink = *sink;
    call->context = context;
    g_hash_table_insert(link->calls, &call->stream, call);
    frame.type = APR_LINK_CALL;
    frame.stream = (uint32_t)call->stream;
    frame.call = *head;
    frame.data = data;
    frame.data_size = first;
    frame.end = end && first == size;
    AprLink_Send(link, &frame);
    if (first < size) {
        send_data(link, (uint32_t)call->stream, data + first, size - first,
                  end);
    }
    ref->ops = &out_ops;
    ref->call = call;
}

/* Handles a frame that belongs to a call. */
void
AprLinkCalls_Take(AprLink_t *link, AprLinkFrame_t *frame)
{
    switch (frame->type) {
    case APR_LINK_CALL:
        take_call(link, frame);
        break;
    case APR_LINK_ANSWER:
        take_answer(link, frame);
        break;
    case APR_LINK_DATA:
        take_data(link, frame);
        break;
    case APR_LINK_CANCEL:
        take_cancel(link, frame);
        break;
    case APR_LINK_FAIL:
        take_failure(link, frame);
        break;
    case APR_LINK_TAKEN:
        take_taken(link, frame);
        break;
    default:
        break;
    }
}
