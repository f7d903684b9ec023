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
#include "internal/link.h"

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

/* A released range is announced this often, since the first frames may be
   lost with their link. */
#define RELEASE_REPEATS 6

typedef struct Release_t {
    char host[APR_NAME_SIZE];
    char service[APR_ROUTE_NAME_SIZE];
    AprGrant_t grant;
    int left;
    struct Release_t *next;
} Release_t;

struct AprLinks_t {
    AprGateway_t *gateway;
    AprLink_t *outbound;
    AprLink_t *inbound;
    AprLink_t
        *dead; /* freed with the next tick, when nothing refers to them */
    Release_t *releases;
    ev_io listener;
    int listen_fd;
    int64_t released_ms;
    msgpack_zone zone;
};

static void link_fail(AprLink_t *link, const char *reason);

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

/* Sends a frame, unless the link is down. */
void
AprLink_Send(AprLink_t *link, const AprLinkFrame_t *frame)
{
    if (link->stream != NULL) {
        AprLinkFrame_Write(link->stream, frame,
                           AprGateway_NowMs(link->gateway));
    }
}

static void
send_load(AprLink_t *link, AprLinkType_t type, int64_t sequence)
{
    AprLinkFrame_t frame = {0};

    frame.type = type;
    frame.sequence = sequence;
    AprGateway_Load(link->links->gateway, &frame.load);
    AprLink_Send(link, &frame);
}

static void
send_item(void *context, const AprItemFrame_t *item)
{
    AprLink_t *link = context;
    AprLinkFrame_t frame = {0};

    frame.type = APR_LINK_ITEM;
    frame.item = *item;
    AprLink_Send(link, &frame);
    AprGateway_Count(link->gateway, "items_sent_total", "");
}

static void
push_items(AprLink_t *link)
{
    AprReplica_t *replica = link->links->gateway->replica;

    link->sent_arrival = AprReplica_Visit(replica, link->asked_revision,
                                          link->sent_arrival, send_item, link);
}

static void
send_hello(AprLink_t *link)
{
    AprLinkFrame_t hello = {0};

    hello.type = APR_LINK_HELLO;
    g_strlcpy(hello.host, link->gateway->settings.host, sizeof(hello.host));
    g_strlcpy(hello.expected, link->host, sizeof(hello.expected));
    AprLink_Send(link, &hello);
}

/* Takes the first frame of a link. The address of a host that is gone may
   belong to another one by now: that one takes nothing and says who it is. */
static void
take_hello(AprLink_t *link, const AprLinkFrame_t *frame)
{
    if (!link->inbound) {
        link->foreign = strcmp(frame->host, link->host) != 0;
        link->established = !link->foreign;
        if (link->foreign) {
            AprLog_Write(APR_LOG_WARN, "link_foreign", "peer=%s found=%s",
                         link->host, frame->host);
            link_fail(link, "another host");
        }
        return;
    }
    g_strlcpy(link->host, frame->host, sizeof(link->host));
    send_hello(link);
    if (strcmp(frame->expected, link->gateway->settings.host) != 0) {
        AprStream_CloseAfterFlush(link->stream);
        link->stream = NULL;
        link_fail(link, "meant for another host");
    }
}

static void
answer_ask(AprLink_t *link, const char *about)
{
    AprLinkFrame_t frame = {0};

    frame.type = APR_LINK_HEARD;
    g_strlcpy(frame.host, about, sizeof(frame.host));
    frame.result = AprLinks_HeardAge(link->links, about);
    AprLink_Send(link, &frame);
}

static void
take_frame(AprLink_t *link, AprLinkFrame_t *frame)
{
    AprGateway_t *gateway = link->links->gateway;

    if (frame->type != APR_LINK_HELLO &&
        (link->inbound ? link->host[0] == '\0' : !link->established)) {
        link_fail(link, "no greeting");
        return;
    }
    switch (frame->type) {
    case APR_LINK_HELLO:
        take_hello(link, frame);
        break;
    case APR_LINK_CALL:
    case APR_LINK_ANSWER:
    case APR_LINK_DATA:
    case APR_LINK_CANCEL:
    case APR_LINK_FAIL:
    case APR_LINK_TAKEN:
        AprLinkCalls_Take(link, frame);
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
        link->asked_revision = frame->sequence;
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
free_link(AprLink_t *link)
{
    AprBuffer_Free(&link->in);
    g_hash_table_destroy(link->calls);
    free(link);
}

static void
unlink_link(AprLink_t **list, AprLink_t *link)
{
    while (*list != link) {
        list = &(*list)->next;
    }
    *list = link->next;
}

static void
read_frames(AprLink_t *link)
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
    AprLink_t *link = context;

    link->heard_ms = now_of(link->links);
    if (AprBuffer_Append(&link->in, data, size) != APR_OK) {
        link_fail(link, "out of memory");
        return;
    }
    read_frames(link);
}

static void
on_close(void *context, int error)
{
    AprLink_t *link = context;

    link_fail(link, error == 0 ? "closed" : strerror(error));
}

static const AprStreamHandler_t stream_handler = {on_data, on_close, NULL};

static void
close_stream(AprLink_t *link, const char *reason)
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
fail_inbound(AprLink_t *link, const char *reason)
{
    close_stream(link, reason);
    AprLinkCalls_CancelAll(link);
    unlink_link(&link->links->inbound, link);
    link->next = link->links->dead;
    link->links->dead = link;
}

/* Ends a link that this host opened; its calls fail. The next call opens it
   again. */
static void
fail_outbound(AprLink_t *link, const char *reason)
{
    /* Once the connection stands, the other side may have got any call. */
    bool unreached = link->foreign || (link->stream != NULL &&
                                       AprStream_Connecting(link->stream));
    AprCallFailure_t failure = {
        unreached ? APR_CALL_UNREACHABLE : APR_CALL_BROKEN, unreached, 0};

    close_stream(link, reason);
    AprMembers_NoteFailure(link->links->gateway->members, link->host);
    link->established = false;
    AprLinkCalls_FailAll(link, &failure);
}

static void
link_fail(AprLink_t *link, const char *reason)
{
    if (link->inbound) {
        fail_inbound(link, reason);
    }
    else {
        fail_outbound(link, reason);
    }
}

static AprLink_t *
find_link(const AprLinks_t *links, const char *host)
{
    AprLink_t *link = links->outbound;

    while (link != NULL && strcmp(link->host, host) != 0) {
        link = link->next;
    }
    return link;
}

static AprLink_t *
open_link(AprLinks_t *links, const char *host)
{
    AprHost_t *member = AprMembers_Find(links->gateway->members, host);
    AprLink_t *link = find_link(links, host);
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
        link->gateway = links->gateway;
        link->calls = AprLinkCalls_New();
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
    link->foreign = false;
    link->opened_ms = now_ms;
    link->heard_ms = now_ms;
    link->pinged_ms = now_ms;
    send_hello(link);
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
    AprLink_t *link = open_link(links, host);

    if (link == NULL) {
        failure->error = APR_CALL_UNREACHABLE;
        failure->not_run = true;
        failure->retry_after_ms = RECONNECT_MS;
        return false;
    }
    if (g_hash_table_size(link->calls) == 0) {
        /* The time of silence counts from the first call in flight. */
        link->heard_ms = now_of(links);
        link->pinged_ms = link->heard_ms;
    }
    AprLinkCalls_Open(link, head, data, size, end, sink, context, ref);
    return true;
}

/* Number of calls in flight to a host. */
int
AprLinks_InFlight(const AprLinks_t *links, const char *host)
{
    const AprLink_t *link = find_link(links, host);

    return link == NULL ? 0 : (int)g_hash_table_size(link->calls);
}

static void
send_release(AprLinks_t *links, const Release_t *release)
{
    AprLink_t *link = open_link(links, release->host);
    AprLinkFrame_t frame = {0};

    if (link == NULL) {
        return;
    }
    frame.type = APR_LINK_RELEASE;
    g_strlcpy(frame.service, release->service, sizeof(frame.service));
    frame.grant = release->grant;
    AprLink_Send(link, &frame);
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
    AprLink_t *link = open_link(links, host);
    AprLinkFrame_t frame = {0};

    if (link == NULL) {
        return false;
    }
    frame.type = APR_LINK_RENEW;
    frame.sequence = lease;
    AprLink_Send(link, &frame);
    return true;
}

/* Answers such a request; a negative age tells that the lease was not
   renewed. */
void
AprLinks_AnswerRenew(AprLinks_t *links, const char *host, int64_t lease,
                     int64_t age_ms)
{
    AprLink_t *link = links->inbound;
    AprLinkFrame_t frame = {0};

    frame.type = APR_LINK_RENEWED;
    frame.sequence = lease;
    frame.result = age_ms;
    while (link != NULL) {
        if (strcmp(link->host, host) == 0) {
            AprLink_Send(link, &frame);
        }
        link = link->next;
    }
}

/* Asks another host for the items of the store that changed after a
   revision. */
void
AprLinks_Fetch(AprLinks_t *links, const char *host, int64_t revision)
{
    AprLink_t *link = open_link(links, host);
    AprLinkFrame_t frame = {0};

    if (link == NULL) {
        return;
    }
    frame.type = APR_LINK_FETCH;
    frame.sequence = revision;
    AprLink_Send(link, &frame);
}

/* Milliseconds since bytes came from a host on a link that is still open; -1
   when there is none. */
int64_t
AprLinks_HeardAge(const AprLinks_t *links, const char *host)
{
    const AprLink_t *link = find_link(links, host);
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

    for (AprLink_t *link = links->inbound; link != NULL; link = link->next) {
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
    AprLink_t *link = open_link(links, host);
    AprLinkFrame_t frame = {0};

    if (link != NULL) {
        frame.type = APR_LINK_ASK;
        g_strlcpy(frame.host, about, sizeof(frame.host));
        AprLink_Send(link, &frame);
    }
}

/* Finds out whether a host can be reached. */
void
AprLinks_Probe(AprLinks_t *links, const char *host)
{
    AprLink_t *link = open_link(links, host);
    int64_t now_ms = now_of(links);

    if (link != NULL && now_ms - link->pinged_ms >= PING_AFTER_MS) {
        link->pinged_ms = now_ms;
        send_load(link, APR_LINK_PING, now_ms);
    }
}

static void
check_link(AprLink_t *link, int64_t now_ms)
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
        AprLink_t *link = links->dead;

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
    for (AprLink_t *link = links->outbound; link != NULL; link = link->next) {
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

    for (const AprLink_t *link = links->inbound; link != NULL;
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
        AprLink_t *link = calloc(1, sizeof(*link));

        if (link == NULL) {
            close(fd);
            return;
        }
        link->links = links;
        link->gateway = links->gateway;
        link->inbound = true;
        link->calls = AprLinkCalls_New();
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
        AprLink_t *link = links->inbound;

        links->inbound = link->next;
        AprLinkCalls_CancelAll(link);
        if (link->stream != NULL) {
            AprStream_Close(link->stream);
        }
        free_link(link);
    }
    free_dead(links);
    while (links->outbound != NULL) {
        AprLink_t *link = links->outbound;

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
