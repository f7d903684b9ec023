/* Connections between gateways. Each host opens one link to every host that
   it sends calls to; answers come back on the same link. */

#include <arpa/inet.h>
#include <errno.h>
#include <glib.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "apricot/error.h"
#include "apricot/log.h"
#include "internal/gateway.h"
#include "internal/link_frame.h"

/* A link with calls in flight is probed when nothing arrived for this time,
   ... */
#define PING_AFTER_MS 300

/* ... and given up when nothing arrived for this time. Two lost packets and a
   host at a fifth of its speed stay within it. */
#define SILENT_AFTER_MS 1500

/* A link without calls is probed this rarely. */
#define IDLE_PING_MS 4000

/* Time for a link to be established. */
#define CONNECT_TIMEOUT_MS 1000

/* After a failure the next try waits this long. */
#define RECONNECT_MS 200

/* Hosts that asked for items get the news for this time. */
#define SUBSCRIPTION_MS 3000

/* A process that stops is usually there again after this time. */
#define RESTART_MS 1500

/* A released range is announced this often, since the first frames may be
   lost with their link. */
#define RELEASE_REPEATS 6

typedef struct Link_t Link_t;

/* A call of this host at another one. */
typedef struct OutCall_t {
    Link_t *link;
    gint stream;
    AprCallSink_t sink;
    void *context;
} OutCall_t;

/* A call of another host at the backend server here. */
typedef struct InCall_t {
    Link_t *link;
    gint stream;
    AprCallRef_t ref;
} InCall_t;

struct Link_t {
    AprLinks_t *links;
    bool inbound;
    char host[APR_NAME_SIZE];
    AprStream_t *stream; /* NULL: not connected */
    AprBuffer_t in;
    bool established; /* bytes arrived from the other side */
    int64_t opened_ms;
    int64_t heard_ms;
    int64_t pinged_ms;
    int64_t failed_ms; /* 0: the last try did not fail */
    gint next_stream;
    bool has_skew;
    int64_t skew_ms;       /* least difference of the clocks, with the way */
    int64_t subscribed_ms; /* last request for items; 0: none */
    int64_t sent_revision; /* up to which items were sent */
    GHashTable *calls;     /* by stream: OutCall_t, or InCall_t if inbound */
    Link_t *next;
};

typedef struct Release_t {
    char host[APR_NAME_SIZE];
    char service[APR_ROUTE_NAME_SIZE];
    AprGrant_t grant;
    int left;
    struct Release_t *next;
} Release_t;

struct AprLinks_t {
    AprGateway_t *gateway;
    Link_t *outbound;
    Link_t *inbound;
    Link_t *dead; /* freed with the next tick, when nothing refers to them */
    Release_t *releases;
    ev_io listener;
    int listen_fd;
    int64_t released_ms;
    msgpack_zone zone;
};

static void link_fail(Link_t *link, const char *reason);

static int64_t
now_of(const AprLinks_t *links)
{
    return AprGateway_NowMs(links->gateway);
}

/* Creates the table without links. */
AprLinks_t *
AprLinks_New(AprGateway_t *gateway)
{
    AprLinks_t *links = calloc(1, sizeof(*links));

    if (links == NULL) {
        return NULL;
    }
    links->gateway = gateway;
    links->listen_fd = -1;
    if (!msgpack_zone_init(&links->zone, MSGPACK_ZONE_CHUNK_SIZE)) {
        free(links);
        return NULL;
    }
    return links;
}

static void
send_frame(Link_t *link, const AprLinkFrame_t *frame)
{
    if (link->stream != NULL) {
        AprLinkFrame_Write(link->stream, frame, now_of(link->links));
    }
}

static void
send_load(Link_t *link, AprLinkType_t type, int64_t sequence)
{
    AprLinkFrame_t frame = {0};

    frame.type = type;
    frame.sequence = sequence;
    AprGateway_Load(link->links->gateway, &frame.load);
    send_frame(link, &frame);
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
    AprGateway_Load(call->link->links->gateway, &frame.load);
    send_frame(call->link, &frame);
}

static void
send_data(Link_t *link, uint32_t stream, const char *data, size_t size,
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
        send_frame(link, &frame);
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
send_failure(Link_t *link, uint32_t stream, const AprCallFailure_t *failure)
{
    AprLinkFrame_t frame = {0};

    frame.type = APR_LINK_FAIL;
    frame.stream = stream;
    frame.failure = *failure;
    AprGateway_Load(link->links->gateway, &frame.load);
    send_frame(link, &frame);
}

static void
in_fail(void *context, const AprCallFailure_t *failure)
{
    InCall_t *call = context;

    send_failure(call->link, (uint32_t)call->stream, failure);
    remove_in_call(call);
}

static void
send_taken(Link_t *link, uint32_t stream, size_t size)
{
    AprLinkFrame_t frame = {0};

    frame.type = APR_LINK_TAKEN;
    frame.stream = stream;
    frame.taken = size;
    send_frame(link, &frame);
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
find_in_call(Link_t *link, uint32_t stream)
{
    return link->inbound ? g_hash_table_lookup(link->calls, &stream) : NULL;
}

/* Spans left in a call count from its sending. What it spent in queues on the
   way, beyond the fastest frame of this link, is taken off. */
static void
take_off_delay(Link_t *link, AprLinkFrame_t *frame)
{
    int64_t skew_ms = now_of(link->links) - frame->sequence;
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
take_call(Link_t *link, AprLinkFrame_t *frame)
{
    AprCallFailure_t failure = {APR_CALL_FULL, true, 0};
    InCall_t *call;

    take_off_delay(link, frame);
    if (link->links->gateway->stop_step >= APR_STOP_PEERS) {
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
        if (AprBackend_Submit(link->links->gateway->backend, &frame->call,
                              frame->data, frame->data_size, frame->end,
                              &in_sink, call, &call->ref, &failure)) {
            return;
        }
        remove_in_call(call);
    }
    send_failure(link, frame->stream, &failure);
}

static void
cancel_in_calls(Link_t *link)
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
find_out_call(Link_t *link, uint32_t stream)
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
    sink.end(context);
}

static void
fail_out_call(OutCall_t *call, const AprCallFailure_t *failure)
{
    AprCallSink_t sink = call->sink;
    void *context = call->context;

    remove_out_call(call);
    sink.fail(context, failure);
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
    send_frame(call->link, &frame);
    remove_out_call(call);
}

static const AprCallOps_t out_ops = {out_body, out_taken, out_cancel};

static void
take_answer(Link_t *link, const AprLinkFrame_t *frame)
{
    OutCall_t *call = find_out_call(link, frame->stream);

    AprMembers_NoteLoad(link->links->gateway->members, link->host,
                        &frame->load);
    if (call == NULL) {
        return;
    }
    call->sink.answer(call->context, &frame->answer);
}

/* Data goes to a call of this host on its own link, and else to the body of
   a call of the other host. */
static void
take_data(Link_t *link, const AprLinkFrame_t *frame)
{
    if (link->inbound) {
        InCall_t *call = find_in_call(link, frame->stream);

        if (call != NULL) {
            call->ref.ops->body(call->ref.call, frame->data, frame->data_size,
                                frame->end);
        }
        return;
    }
    OutCall_t *call = find_out_call(link, frame->stream);

    if (call == NULL) {
        return;
    }
    if (frame->data_size > 0) {
        call->sink.data(call->context, frame->data, frame->data_size);
        call = find_out_call(link, frame->stream);
    }
    if (frame->end && call != NULL) {
        end_out_call(call);
    }
}

static void
take_taken(Link_t *link, const AprLinkFrame_t *frame)
{
    if (link->inbound) {
        InCall_t *call = find_in_call(link, frame->stream);

        if (call != NULL) {
            call->ref.ops->taken(call->ref.call, frame->taken);
        }
        return;
    }
    OutCall_t *call = find_out_call(link, frame->stream);

    if (call != NULL) {
        call->sink.taken(call->context, frame->taken);
    }
}

static void
take_cancel(Link_t *link, const AprLinkFrame_t *frame)
{
    InCall_t *call = find_in_call(link, frame->stream);

    if (call != NULL) {
        call->ref.ops->cancel(call->ref.call);
        remove_in_call(call);
    }
}

static void
take_failure(Link_t *link, const AprLinkFrame_t *frame)
{
    OutCall_t *call = find_out_call(link, frame->stream);

    AprMembers_NoteLoad(link->links->gateway->members, link->host,
                        &frame->load);
    if (call != NULL) {
        fail_out_call(call, &frame->failure);
    }
}

static void
send_item(void *context, const AprItemFrame_t *item)
{
    AprLinkFrame_t frame = {0};

    frame.type = APR_LINK_ITEM;
    frame.item = *item;
    send_frame(context, &frame);
}

static void
push_items(Link_t *link)
{
    AprReplica_t *replica = link->links->gateway->replica;

    AprReplica_Visit(replica, link->sent_revision, send_item, link);
    link->sent_revision = AprReplica_Revision(replica);
}

static void
answer_ask(Link_t *link, const char *about)
{
    AprLinkFrame_t frame = {0};

    frame.type = APR_LINK_HEARD;
    g_strlcpy(frame.host, about, sizeof(frame.host));
    frame.result = AprLinks_HeardAge(link->links, about);
    send_frame(link, &frame);
}

static void
take_frame(Link_t *link, AprLinkFrame_t *frame)
{
    AprGateway_t *gateway = link->links->gateway;

    switch (frame->type) {
    case APR_LINK_HELLO:
        g_strlcpy(link->host, frame->host, sizeof(link->host));
        break;
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
    case APR_LINK_PING:
        AprMembers_NoteLoad(gateway->members, link->host, &frame->load);
        send_load(link, APR_LINK_PONG, frame->sequence);
        break;
    case APR_LINK_PONG:
        AprMembers_NoteLoad(gateway->members, link->host, &frame->load);
        break;
    case APR_LINK_RELEASE:
        AprOwnership_TakeToken(gateway->ownership, frame->service,
                               &frame->grant);
        break;
    case APR_LINK_FETCH:
        link->subscribed_ms = now_of(link->links);
        link->sent_revision = frame->sequence;
        push_items(link);
        break;
    case APR_LINK_ITEM:
        AprReplica_TakeItem(gateway->replica, &frame->item);
        break;
    case APR_LINK_RENEW:
        AprReplica_RenewFor(gateway->replica, link->host, frame->sequence);
        break;
    case APR_LINK_ASK:
        answer_ask(link, frame->host);
        break;
    case APR_LINK_HEARD:
        AprMembers_NoteHeard(gateway->members, frame->host, frame->result);
        break;
    case APR_LINK_RENEWED:
        AprReplica_Renewed(gateway->replica, frame->sequence, frame->result);
        break;
    }
}

static void
free_link(Link_t *link)
{
    AprBuffer_Free(&link->in);
    g_hash_table_destroy(link->calls);
    free(link);
}

static GHashTable *
new_call_table(void)
{
    return g_hash_table_new_full(g_int_hash, g_int_equal, NULL, free);
}

static void
unlink_link(Link_t **list, Link_t *link)
{
    while (*list != link) {
        list = &(*list)->next;
    }
    *list = link->next;
}

static void
read_frames(Link_t *link)
{
    AprLinks_t *links = link->links;
    int64_t now_ms = now_of(links);

    while (link->stream != NULL &&
           AprBuffer_Size(&link->in) >= sizeof(uint32_t)) {
        const char *bytes = AprBuffer_Data(&link->in);
        AprLinkFrame_t frame;
        uint32_t size;

        memcpy(&size, bytes, sizeof(size));
        size = ntohl(size);
        if (size > APR_LINK_MAX_FRAME) {
            link_fail(link, "frame too long");
            return;
        }
        if (AprBuffer_Size(&link->in) < sizeof(size) + size) {
            return;
        }
        if (AprLinkFrame_Read(&links->zone, bytes + sizeof(size), size, &frame,
                              now_ms) != APR_OK) {
            msgpack_zone_clear(&links->zone);
            link_fail(link, "malformed frame");
            return;
        }
        take_frame(link, &frame);
        msgpack_zone_clear(&links->zone);
        if (link->stream == NULL) {
            return;
        }
        AprBuffer_Consume(&link->in, sizeof(size) + size);
    }
}

static void
on_data(void *context, const char *data, size_t size)
{
    Link_t *link = context;

    link->heard_ms = now_of(link->links);
    link->established = true;
    if (AprBuffer_Append(&link->in, data, size) != APR_OK) {
        link_fail(link, "out of memory");
        return;
    }
    read_frames(link);
}

static void
on_close(void *context, int error)
{
    Link_t *link = context;

    link_fail(link, error == 0 ? "closed" : strerror(error));
}

static const AprStreamHandler_t stream_handler = {on_data, on_close, NULL};

static void
close_stream(Link_t *link, const char *reason)
{
    if (link->stream != NULL) {
        AprStream_Close(link->stream);
        link->stream = NULL;
    }
    AprLog_Write(APR_LOG_INFO, "link_lost", "peer=%s inbound=%d reason=%s",
                 link->host, link->inbound, reason);
    link->failed_ms = now_of(link->links);
}

/* Ends a link that another host opened; its calls are cancelled. */
static void
fail_inbound(Link_t *link, const char *reason)
{
    close_stream(link, reason);
    cancel_in_calls(link);
    unlink_link(&link->links->inbound, link);
    link->next = link->links->dead;
    link->links->dead = link;
}

/* Ends a link that this host opened; its calls fail. The next call opens it
   again. */
static void
fail_outbound(Link_t *link, const char *reason)
{
    /* Once the connection stands, the other side may have got any call. */
    bool connecting =
        link->stream != NULL && AprStream_Connecting(link->stream);
    AprCallFailure_t failure = {
        connecting ? APR_CALL_UNREACHABLE : APR_CALL_BROKEN, connecting, 0};
    GHashTableIter calls;
    gpointer value;

    close_stream(link, reason);
    AprMembers_NoteFailure(link->links->gateway->members, link->host);
    link->established = false;
    /* A failed call may lead to the end of others on this link. */
    g_hash_table_iter_init(&calls, link->calls);
    while (g_hash_table_iter_next(&calls, NULL, &value)) {
        fail_out_call(value, &failure);
        g_hash_table_iter_init(&calls, link->calls);
    }
}

static void
link_fail(Link_t *link, const char *reason)
{
    if (link->inbound) {
        fail_inbound(link, reason);
    }
    else {
        fail_outbound(link, reason);
    }
}

static Link_t *
find_link(const AprLinks_t *links, const char *host)
{
    Link_t *link = links->outbound;

    while (link != NULL && strcmp(link->host, host) != 0) {
        link = link->next;
    }
    return link;
}

static Link_t *
open_link(AprLinks_t *links, const char *host)
{
    AprHost_t *member = AprMembers_Find(links->gateway->members, host);
    Link_t *link = find_link(links, host);
    AprLinkFrame_t hello = {0};
    int64_t now_ms = now_of(links);

    if (link != NULL && link->stream != NULL) {
        return link;
    }
    if (member == NULL || member->address[0] == '\0') {
        return NULL;
    }
    if (link == NULL) {
        link = calloc(1, sizeof(*link));
        if (link == NULL) {
            return NULL;
        }
        link->links = links;
        link->calls = new_call_table();
        g_strlcpy(link->host, host, sizeof(link->host));
        link->next = links->outbound;
        links->outbound = link;
    }
    if (link->failed_ms != 0 && now_ms - link->failed_ms < RECONNECT_MS) {
        return NULL;
    }
    AprBuffer_Free(&link->in);
    link->stream = AprStream_Connect(links->gateway->streams, member->address,
                                     &stream_handler, link);
    if (link->stream == NULL) {
        link->failed_ms = now_ms;
        return NULL;
    }
    link->established = false;
    link->opened_ms = now_ms;
    link->heard_ms = now_ms;
    link->pinged_ms = now_ms;
    hello.type = APR_LINK_HELLO;
    g_strlcpy(hello.host, links->gateway->settings.host, sizeof(hello.host));
    send_frame(link, &hello);
    send_load(link, APR_LINK_PING, 0);
    return link;
}

/* Sends a call to the backend server of another host. Returns false with a
   failure when there is no way to that host at present. */
bool
AprLinks_Submit(AprLinks_t *links, const char *host, const AprCallHead_t *head,
                const char *data, size_t size, bool end,
                const AprCallSink_t *sink, void *context, AprCallRef_t *ref,
                AprCallFailure_t *failure)
{
    Link_t *link = open_link(links, host);
    OutCall_t *call = link == NULL ? NULL : calloc(1, sizeof(*call));
    AprLinkFrame_t frame = {0};
    size_t first = size < APR_LINK_MAX_DATA ? size : APR_LINK_MAX_DATA;

    if (call == NULL) {
        failure->error = APR_CALL_UNREACHABLE;
        failure->not_run = true;
        failure->retry_after_ms = RECONNECT_MS;
        return false;
    }
    call->link = link;
    call->stream = ++link->next_stream;
    call->sink = *sink;
    call->context = context;
    g_hash_table_insert(link->calls, &call->stream, call);
    if (g_hash_table_size(link->calls) == 1) {
        /* The time of silence counts from the first call in flight. */
        link->heard_ms = now_of(links);
        link->pinged_ms = link->heard_ms;
    }
    frame.type = APR_LINK_CALL;
    frame.stream = (uint32_t)call->stream;
    frame.call = *head;
    frame.data = data;
    frame.data_size = first;
    frame.end = end && first == size;
    send_frame(link, &frame);
    if (first < size) {
        send_data(link, call->stream, data + first, size - first, end);
    }
    ref->ops = &out_ops;
    ref->call = call;
    return true;
}

/* Number of calls in flight to a host. */
int
AprLinks_InFlight(const AprLinks_t *links, const char *host)
{
    const Link_t *link = find_link(links, host);

    return link == NULL ? 0 : (int)g_hash_table_size(link->calls);
}

static void
send_release(AprLinks_t *links, const Release_t *release)
{
    Link_t *link = open_link(links, release->host);
    AprLinkFrame_t frame = {0};

    if (link == NULL) {
        return;
    }
    frame.type = APR_LINK_RELEASE;
    g_strlcpy(frame.service, release->service, sizeof(frame.service));
    frame.grant = release->grant;
    send_frame(link, &frame);
}

/* Tells the new owner of keys that their last holder released them. */
void
AprLinks_Release(AprLinks_t *links, const char *host, const char *service,
                 const AprGrant_t *grant)
{
    Release_t *release = calloc(1, sizeof(*release));

    if (release == NULL) {
        return;
    }
    g_strlcpy(release->host, host, sizeof(release->host));
    g_strlcpy(release->service, service, sizeof(release->service));
    release->grant = *grant;
    release->left = RELEASE_REPEATS;
    release->next = links->releases;
    links->releases = release;
    send_release(links, release);
}

/* Asks another host to renew this host's lease at the store; false when there
   is no link. */
bool
AprLinks_Renew(AprLinks_t *links, const char *host, int64_t lease)
{
    Link_t *link = open_link(links, host);
    AprLinkFrame_t frame = {0};

    if (link == NULL) {
        return false;
    }
    frame.type = APR_LINK_RENEW;
    frame.sequence = lease;
    send_frame(link, &frame);
    return true;
}

/* Answers such a request; a negative age tells that the lease was not
   renewed. */
void
AprLinks_AnswerRenew(AprLinks_t *links, const char *host, int64_t lease,
                     int64_t age_ms)
{
    Link_t *link = links->inbound;
    AprLinkFrame_t frame = {0};

    frame.type = APR_LINK_RENEWED;
    frame.sequence = lease;
    frame.result = age_ms;
    while (link != NULL) {
        if (strcmp(link->host, host) == 0) {
            send_frame(link, &frame);
        }
        link = link->next;
    }
}

/* Asks another host for the items of the store that changed after a
   revision. */
void
AprLinks_Fetch(AprLinks_t *links, const char *host, int64_t revision)
{
    Link_t *link = open_link(links, host);
    AprLinkFrame_t frame = {0};

    if (link == NULL) {
        return;
    }
    frame.type = APR_LINK_FETCH;
    frame.sequence = revision;
    send_frame(link, &frame);
}

/* Milliseconds since bytes came from a host on a link that is still open; -1
   when there is none. */
int64_t
AprLinks_HeardAge(const AprLinks_t *links, const char *host)
{
    const Link_t *link = find_link(links, host);
    int64_t heard_ms = link != NULL && link->established ? link->heard_ms : -1;

    for (link = links->inbound; link != NULL; link = link->next) {
        if (strcmp(link->host, host) == 0 && link->heard_ms > heard_ms) {
            heard_ms = link->heard_ms;
        }
    }
    return heard_ms < 0 ? -1 : now_of(links) - heard_ms;
}

/* Sends the items that changed to the hosts that asked for them a moment
   ago. */
void
AprLinks_PushItems(AprLinks_t *links)
{
    int64_t now_ms = now_of(links);

    for (Link_t *link = links->inbound; link != NULL; link = link->next) {
        if (link->stream != NULL && link->subscribed_ms != 0 &&
            now_ms - link->subscribed_ms < SUBSCRIPTION_MS) {
            push_items(link);
        }
    }
}

/* Whether bytes came from a host within the time after which silence counts
   as a failure. */
bool
AprLinks_IsAlive(const AprLinks_t *links, const char *host)
{
    int64_t age_ms = AprLinks_HeardAge(links, host);

    return age_ms >= 0 && age_ms < SILENT_AFTER_MS;
}

/* Asks a host whether it hears another one; the answer is noted in the
   table of members. */
void
AprLinks_Ask(AprLinks_t *links, const char *host, const char *about)
{
    Link_t *link = open_link(links, host);
    AprLinkFrame_t frame = {0};

    if (link != NULL) {
        frame.type = APR_LINK_ASK;
        g_strlcpy(frame.host, about, sizeof(frame.host));
        send_frame(link, &frame);
    }
}

/* Finds out whether a host can be reached. */
void
AprLinks_Probe(AprLinks_t *links, const char *host)
{
    Link_t *link = open_link(links, host);
    int64_t now_ms = now_of(links);

    if (link != NULL && now_ms - link->pinged_ms >= PING_AFTER_MS) {
        link->pinged_ms = now_ms;
        send_load(link, APR_LINK_PING, now_ms);
    }
}

static void
check_link(Link_t *link, int64_t now_ms)
{
    int64_t silent_ms = now_ms - link->heard_ms;
    bool busy = g_hash_table_size(link->calls) > 0;

    if (AprStream_Connecting(link->stream)) {
        if (now_ms - link->opened_ms > CONNECT_TIMEOUT_MS) {
            fail_outbound(link, "connect timeout");
        }
        return;
    }
    if ((busy || link->pinged_ms > link->heard_ms) &&
        silent_ms > SILENT_AFTER_MS &&
        now_ms - link->pinged_ms > PING_AFTER_MS) {
        fail_outbound(link, "silent");
        return;
    }
    if (silent_ms > (busy ? PING_AFTER_MS : IDLE_PING_MS) &&
        now_ms - link->pinged_ms > (busy ? PING_AFTER_MS : IDLE_PING_MS)) {
        link->pinged_ms = now_ms;
        send_load(link, APR_LINK_PING, now_ms);
    }
}

static void
repeat_releases(AprLinks_t *links)
{
    Release_t **at = &links->releases;

    while (*at != NULL) {
        Release_t *release = *at;

        send_release(links, release);
        if (--release->left <= 0) {
            *at = release->next;
            free(release);
        }
        else {
            at = &release->next;
        }
    }
}

static void
free_dead(AprLinks_t *links)
{
    while (links->dead != NULL) {
        Link_t *link = links->dead;

        links->dead = link->next;
        free_link(link);
    }
}

/* Probes silent links and gives up dead ones. Called several times a
   second. */
void
AprLinks_Tick(AprLinks_t *links)
{
    int64_t now_ms = now_of(links);

    free_dead(links);
    for (Link_t *link = links->outbound; link != NULL; link = link->next) {
        if (link->stream != NULL) {
            check_link(link, now_ms);
        }
    }
    if (now_ms - links->released_ms >= PING_AFTER_MS) {
        links->released_ms = now_ms;
        repeat_releases(links);
    }
}

/* Number of calls of other hosts that wait or run here. */
int
AprLinks_InboundCalls(const AprLinks_t *links)
{
    int count = 0;

    for (const Link_t *link = links->inbound; link != NULL;
         link = link->next) {
        count += (int)g_hash_table_size(link->calls);
    }
    return count;
}

static void
on_accept(struct ev_loop *loop, ev_io *watcher, int events)
{
    AprLinks_t *links = watcher->data;
    int fd;

    (void)loop;
    (void)events;
    while ((fd = accept(links->listen_fd, NULL, NULL)) >= 0) {
        Link_t *link = calloc(1, sizeof(*link));

        if (link == NULL) {
            close(fd);
            return;
        }
        link->links = links;
        link->inbound = true;
        link->calls = new_call_table();
        link->heard_ms = now_of(links);
        link->stream =
            AprStream_Open(links->gateway->streams, fd, &stream_handler, link);
        if (link->stream == NULL) {
            free_link(link);
            return;
        }
        link->next = links->inbound;
        links->inbound = link;
    }
}

/* Accepts links at an address. */
int
AprLinks_Listen(AprLinks_t *links, const char *address)
{
    links->listen_fd = AprStream_Listen(address);
    if (links->listen_fd < 0) {
        return links->listen_fd;
    }
    ev_io_init(&links->listener, on_accept, links->listen_fd, EV_READ);
    links->listener.data = links;
    ev_io_start(links->gateway->loop, &links->listener);
    return APR_OK;
}

/* Closes all links; calls get no further callback. */
void
AprLinks_Free(AprLinks_t *links)
{
    if (links == NULL) {
        return;
    }
    while (links->inbound != NULL) {
        Link_t *link = links->inbound;

        links->inbound = link->next;
        cancel_in_calls(link);
        if (link->stream != NULL) {
            AprStream_Close(link->stream);
        }
        free_link(link);
    }
    free_dead(links);
    while (links->outbound != NULL) {
        Link_t *link = links->outbound;

        links->outbound = link->next;
        if (link->stream != NULL) {
            AprStream_Close(link->stream);
        }
        free_link(link);
    }
    while (links->releases != NULL) {
        Release_t *release = links->releases;

        links->releases = release->next;
        free(release);
    }
    if (links->listen_fd >= 0) {
        ev_io_stop(links->gateway->loop, &links->listener);
        close(links->listen_fd);
    }
    msgpack_zone_destroy(&links->zone);
    free(links);
}
