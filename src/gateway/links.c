/* Connections between gateways. Each host opens one link to every host that it
   sends calls to; responses arrive on the same link. */

#include <arpa/inet.h>
#include <errno.h>
#include <glib.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "apricot/error.h"
#include "apricot/log.h"
#include "internal/gateway_link.h"
#include "internal/listener.h"

/* A link with calls in flight is pinged when nothing arrived for this time. */
#define BUSY_PING_INTERVAL_MS 300

/* An outbound link that waits for a response or a pong is closed when nothing
   arrived for this time. Two lost packets, or a host at a fifth of its speed,
   stay within it. */
#define PEER_TIMEOUT_MS 1500

/* Ping interval of a link without calls. */
#define IDLE_PING_INTERVAL_MS 4000

/* Time limit for the TCP connect of a link. */
#define CONNECT_TIMEOUT_MS 1000

/* Time for which a stalled link may still resume after the host has answered
   on a new connection. */
#define STALLED_RESUME_MS 500

/* Delay of the next connect after a failure. */
#define RECONNECT_DELAY_MS 200

/* A host that fetched items is sent changed items for this time. */
#define SUBSCRIPTION_TTL_MS 3000

/* A release notice is sent again this many times, since earlier frames may be
   lost with their link. */
#define RELEASE_RESENDS 6

/* Notice to the new owner of a key range that its last holder released it,
   sent as APR_LINK_HANDOVER_TOKEN. */
typedef struct ReleaseNotice_t {
    char host[APR_NAME_SIZE];
    char service[APR_ROUTE_NAME_SIZE];
    AprGrant_t grant;
    int sends_left;
    struct ReleaseNotice_t *next;
} ReleaseNotice_t;

struct AprLinks_t {
    AprGateway_t *gateway;
    AprGatewayLink_t *outbound;
    GHashTable *outbound_by_host; /* name -> AprGatewayLink_t, not owned */
    AprGatewayLink_t *stalled;    /* outbound links replaced by new ones */
    AprGatewayLink_t *inbound;
    GHashTable *inbound_hosts; /* name -> AprInboundHost_t, owned */
    AprGatewayLink_t *closed;  /* freed at the next tick, when unreferenced */
    ReleaseNotice_t *pending_releases;
    AprListener_t listener;
    int64_t last_release_send_ms;
    msgpack_zone zone;
};

static void handle_link_failure(AprGatewayLink_t *link, const char *reason);

static int64_t
links_now_ms(const AprLinks_t *links)
{
    return AprGateway_NowMs(links->gateway);
}

/* Creates the table without links. Returns NULL when out of memory. */
AprLinks_t *
AprLinks_New(AprGateway_t *gateway)
{
    AprLinks_t *links = calloc(1, sizeof(*links));

    if (links == NULL) {
        return NULL;
    }
    links->gateway = gateway;
    AprBodyPacing_Init(&gateway->body_pacing, gateway->settings.link_mbps);
    links->outbound_by_host = g_hash_table_new(g_str_hash, g_str_equal);
    links->inbound_hosts =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
    if (!msgpack_zone_init(&links->zone, MSGPACK_ZONE_CHUNK_SIZE)) {
        g_hash_table_destroy(links->outbound_by_host);
        g_hash_table_destroy(links->inbound_hosts);
        free(links);
        return NULL;
    }
    return links;
}

/* Adds an inbound link, whose HELLO names its host, to those of the host. */
static void
add_to_inbound_host(AprGatewayLink_t *link)
{
    GHashTable *hosts = link->links->inbound_hosts;
    AprInboundHost_t *entry = g_hash_table_lookup(hosts, link->host);

    if (entry == NULL) {
        entry = g_new0(AprInboundHost_t, 1);
        g_strlcpy(entry->host, link->host, sizeof(entry->host));
        g_hash_table_insert(hosts, entry->host, entry);
    }
    entry->link_count++;
    entry->last_received_ms = link->last_received_ms;
    link->inbound_host = entry;
}

static void
remove_from_inbound_host(AprGatewayLink_t *link)
{
    AprInboundHost_t *entry = link->inbound_host;

    link->inbound_host = NULL;
    if (entry != NULL && --entry->link_count == 0) {
        g_hash_table_remove(link->links->inbound_hosts, entry->host);
    }
}

/* Sends a frame; drops it when the link is not connected. */
void
AprGatewayLink_Send(AprGatewayLink_t *link, const AprLinkFrame_t *frame)
{
    if (link->stream != NULL) {
        AprLinkFrame_Write(link->stream, frame,
                           AprGateway_NowMs(link->gateway));
    }
}

/* Sends a ping or a pong with the load of this host. */
static void
send_load(AprGatewayLink_t *link, AprLinkType_t type, int64_t sequence)
{
    AprLinkFrame_t frame = {0};

    frame.type = type;
    frame.sequence = sequence;
    AprGateway_GetLoad(link->links->gateway, &frame.load);
    AprGatewayLink_Send(link, &frame);
}

static void
send_item(void *context, const AprItemFrame_t *item)
{
    AprGatewayLink_t *link = context;
    AprLinkFrame_t frame = {0};

    frame.type = APR_LINK_ITEM;
    frame.item = *item;
    AprGatewayLink_Send(link, &frame);
    AprGateway_IncrementCounter(link->gateway, "items_sent_total", "");
}

/* Sends the items that changed since the last time to a subscriber. */
static void
send_changed_items(AprGatewayLink_t *link)
{
    AprStoreCache_t *cache = link->links->gateway->store_cache;

    link->last_sent_sequence =
        AprStoreCache_VisitChanges(cache, link->subscriber_revision,
                                   link->last_sent_sequence, send_item, link);
}

static void
send_hello(AprGatewayLink_t *link)
{
    AprLinkFrame_t hello = {0};

    hello.type = APR_LINK_HELLO;
    g_strlcpy(hello.host, link->gateway->settings.host, sizeof(hello.host));
    g_strlcpy(hello.expected_host, link->host, sizeof(hello.expected_host));
    AprGatewayLink_Send(link, &hello);
}

/* Handles the first frame of a link. The address of a lost host may have been
   reassigned to another host, which then takes no calls and responds with its
   own name. */
static void
handle_hello(AprGatewayLink_t *link, const AprLinkFrame_t *frame)
{
    if (!link->inbound) {
        link->wrong_host = strcmp(frame->host, link->host) != 0;
        link->established = !link->wrong_host;
        link->established_ms = links_now_ms(link->links);
        if (link->wrong_host) {
            AprLog_Write(APR_LOG_WARN, "link_wrong_host", "peer=%s found=%s",
                         link->host, frame->host);
            handle_link_failure(link, "HELLO names another host");
        }
        return;
    }
    if (link->inbound_host != NULL) {
        handle_link_failure(link, "second HELLO");
        return;
    }
    g_strlcpy(link->host, frame->host, sizeof(link->host));
    add_to_inbound_host(link);
    send_hello(link);
    if (strcmp(frame->expected_host, link->gateway->settings.host) != 0) {
        AprStream_CloseAfterFlush(link->stream);
        link->stream = NULL;
        handle_link_failure(link, "HELLO is for another host");
    }
}

/* Replies when this host last received bytes from the host `about`. */
static void
send_heard_age(AprGatewayLink_t *link, const char *about)
{
    AprLinkFrame_t frame = {0};

    frame.type = APR_LINK_REACHABILITY_REPLY;
    g_strlcpy(frame.host, about, sizeof(frame.host));
    frame.result = AprLinks_LastReceivedAgeMs(link->links, about);
    AprGatewayLink_Send(link, &frame);
}

/* Handles a received frame. May close the link. */
static void
handle_frame(AprGatewayLink_t *link, AprLinkFrame_t *frame)
{
    AprGateway_t *gateway = link->links->gateway;

    if (frame->type != APR_LINK_HELLO &&
        (link->inbound ? link->host[0] == '\0' : !link->established)) {
        handle_link_failure(link, "frame before HELLO");
        return;
    }
    switch (frame->type) {
    case APR_LINK_HELLO:
        handle_hello(link, frame);
        break;
    case APR_LINK_CALL:
    case APR_LINK_RESPONSE:
    case APR_LINK_DATA:
    case APR_LINK_CANCEL:
    case APR_LINK_FAIL:
    case APR_LINK_ACK:
    case APR_LINK_CREDIT:
        AprLinkCalls_HandleFrame(link, frame);
        break;
    case APR_LINK_PING:
        AprMembers_UpdateLoad(gateway->members, link->host, &frame->load);
        send_load(link, APR_LINK_PONG, frame->sequence);
        break;
    case APR_LINK_PONG:
        AprLinkCalls_UpdatePeerLoad(link, &frame->load);
        break;
    case APR_LINK_HANDOVER_TOKEN:
        AprOwnership_AddHandoverToken(gateway->ownership, frame->service,
                                      &frame->grant);
        break;
    case APR_LINK_SUBSCRIBE:
        link->subscribed_ms = links_now_ms(link->links);
        link->subscriber_revision = frame->sequence;
        send_changed_items(link);
        break;
    case APR_LINK_ITEM:
        AprStoreCache_ApplyPeerItem(gateway->store_cache, link->host,
                                    &frame->item);
        break;
    case APR_LINK_RENEW_LEASE:
        AprStoreCache_RenewPeerLease(gateway->store_cache, link->host,
                                     frame->sequence);
        break;
    case APR_LINK_REACHABILITY_QUERY:
        send_heard_age(link, frame->host);
        break;
    case APR_LINK_REACHABILITY_REPLY:
        AprMembers_RecordReachability(gateway->members, frame->host,
                                      frame->result);
        break;
    case APR_LINK_GOAWAY:
        if (!link->inbound) {
            AprLinkCalls_OnGoaway(link, frame->sequence);
        }
        break;
    case APR_LINK_RENEWAL_RESULT:
        AprStoreCache_OnPeerRenewalResult(gateway->store_cache,
                                          frame->sequence, frame->result);
        break;
    }
}

static void
free_link(AprGatewayLink_t *link)
{
    AprBuffer_Free(&link->receive_buffer);
    g_hash_table_destroy(link->calls);
    free(link);
}

/* Removes a link from a list that contains it. */
static void
remove_link(AprGatewayLink_t **list, AprGatewayLink_t *link)
{
    while (*list != link) {
        list = &(*list)->next;
    }
    *list = link->next;
}

/* Handles all complete frames in the receive buffer. */
static void
read_frames(AprGatewayLink_t *link)
{
    AprLinks_t *links = link->links;
    int64_t now_ms = links_now_ms(links);

    while (link->stream != NULL &&
           AprBuffer_Size(&link->receive_buffer) >= sizeof(uint32_t)) {
        const char *bytes = AprBuffer_Data(&link->receive_buffer);
        AprLinkFrame_t frame;
        uint32_t size;

        memcpy(&size, bytes, sizeof(size));
        size = ntohl(size);
        if (size > APR_LINK_MAX_FRAME_BYTES) {
            handle_link_failure(link, "frame too long");
            return;
        }
        if (AprBuffer_Size(&link->receive_buffer) < sizeof(size) + size) {
            return;
        }
        if (AprLinkFrame_Decode(&links->zone, bytes + sizeof(size), size,
                                &frame, now_ms) != APR_OK) {
            msgpack_zone_clear(&links->zone);
            handle_link_failure(link, "malformed frame");
            return;
        }
        handle_frame(link, &frame);
        msgpack_zone_clear(&links->zone);
        if (link->stream == NULL) {
            return;
        }
        AprBuffer_Consume(&link->receive_buffer, sizeof(size) + size);
    }
}

static void
on_data(void *context, const char *data, size_t size)
{
    AprGatewayLink_t *link = context;

    link->last_received_ms = links_now_ms(link->links);
    if (link->inbound_host != NULL) {
        link->inbound_host->last_received_ms = link->last_received_ms;
    }
    if (AprBuffer_Append(&link->receive_buffer, data, size) != APR_OK) {
        handle_link_failure(link, "out of memory");
        return;
    }
    read_frames(link);
}

static void
on_close(void *context, int error)
{
    AprGatewayLink_t *link = context;

    handle_link_failure(link, error == 0 ? "closed" : strerror(error));
}

static const AprStreamHandler_t stream_handler = {on_data, on_close, NULL};

static void
close_stream(AprGatewayLink_t *link, const char *reason)
{
    if (link->stream != NULL) {
        AprStream_Close(link->stream);
        link->stream = NULL;
    }
    AprLog_Write(APR_LOG_INFO, "link_lost", "peer=%s inbound=%d reason=%s",
                 link->host, link->inbound, reason);
    link->failed_ms = links_now_ms(link->links);
}

/* Closes a link that another host opened and cancels its calls. The memory is
   freed at the next tick. */
static void
close_inbound_link(AprGatewayLink_t *link, const char *reason)
{
    close_stream(link, reason);
    remove_from_inbound_host(link);
    AprLinkCalls_CancelAll(link);
    remove_link(&link->links->inbound, link);
    link->next = link->links->closed;
    link->links->closed = link;
}

/* Closes a link that this host opened and fails its calls. The next call opens
   it again. */
static void
close_outbound_link(AprGatewayLink_t *link, const char *reason)
{
    /* Once the connection is established, any call may have been
       delivered. */
    bool not_delivered =
        link->wrong_host ||
        (link->stream != NULL && AprStream_IsConnecting(link->stream));
    AprCallFailure_t failure = {not_delivered ? APR_CALL_UNREACHABLE
                                              : APR_CALL_BROKEN,
                                not_delivered, 0};

    close_stream(link, reason);
    if (link->stalled_ms == 0) {
        AprMembers_RecordUnreachable(link->links->gateway->members,
                                     link->host);
    }
    link->established = false;
    AprLinkCalls_FailAll(link, &failure);
}

static void
handle_link_failure(AprGatewayLink_t *link, const char *reason)
{
    if (link->inbound) {
        close_inbound_link(link, reason);
    }
    else {
        close_outbound_link(link, reason);
    }
}

static AprGatewayLink_t *
find_outbound_link(const AprLinks_t *links, const char *host)
{
    return g_hash_table_lookup(links->outbound_by_host, host);
}

/* Returns the connected or connecting link to a host and opens it if needed.
   Returns NULL when the host has no known address, right after a failure, or
   when out of memory. */
static AprGatewayLink_t *
ensure_outbound_link(AprLinks_t *links, const char *host)
{
    AprHost_t *member = AprMembers_Find(links->gateway->members, host);
    AprGatewayLink_t *link = find_outbound_link(links, host);
    int64_t now_ms = links_now_ms(links);

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
        link->calls = AprLinkCalls_NewTable(false);
        g_strlcpy(link->host, host, sizeof(link->host));
        link->next = links->outbound;
        links->outbound = link;
        g_hash_table_insert(links->outbound_by_host, link->host, link);
    }
    if (link->failed_ms != 0 &&
        now_ms - link->failed_ms < RECONNECT_DELAY_MS) {
        return NULL;
    }
    AprBuffer_Free(&link->receive_buffer);
    link->stream = AprStream_Connect(links->gateway->streams, member->address,
                                     &stream_handler, link);
    if (link->stream == NULL) {
        link->failed_ms = now_ms;
        return NULL;
    }
    link->established = false;
    link->wrong_host = false;
    link->going_away = false;
    link->opened_ms = now_ms;
    link->last_received_ms = now_ms;
    link->last_ping_ms = now_ms;
    send_hello(link);
    send_load(link, APR_LINK_PING, 0);
    return link;
}

/* Sends a call to the backend server of another host. `head`, `data` and
   `handlers` are not referred to afterwards. Returns false and fills in
   `failure` when there is no link to that host and none can be opened now. */
bool
AprLinks_Submit(AprLinks_t *links, const char *host, const AprCallHead_t *head,
                const char *data, size_t size, bool end,
                const AprCallHandlers_t *handlers, void *context,
                AprCallRef_t *ref, AprCallFailure_t *failure)
{
    AprGatewayLink_t *link = ensure_outbound_link(links, host);

    if (link == NULL || link->going_away) {
        failure->error = APR_CALL_UNREACHABLE;
        failure->not_run = true;
        failure->retry_after_ms = RECONNECT_DELAY_MS;
        return false;
    }
    AprResources_Update(links->gateway);
    if (!AprMemoryBudget_MayAcceptCall(&links->gateway->memory_budget,
                                       AprGatewayLink_HeldBytes(link), true)) {
        *failure = (AprCallFailure_t){APR_CALL_FULL, true, 0};
        return false;
    }
    if (g_hash_table_size(link->calls) == 0) {
        /* The timeout counts from the first call in flight. */
        link->last_received_ms = links_now_ms(links);
        link->last_ping_ms = link->last_received_ms;
    }
    AprLinkCalls_Start(link, head, data, size, end, handlers, context, ref);
    return true;
}

/* Returns the number of calls in flight to a host. */
int
AprLinks_CountOutboundCalls(const AprLinks_t *links, const char *host)
{
    const AprGatewayLink_t *link = find_outbound_link(links, host);

    return link == NULL ? 0 : (int)g_hash_table_size(link->calls);
}

/* Returns the milliseconds for which a ping on the outbound link to a host has
   been without any answer; 0 when there is none. */
int64_t
AprLinks_UnansweredPingMs(const AprLinks_t *links, const char *host)
{
    const AprGatewayLink_t *link = find_outbound_link(links, host);

    return link == NULL || link->stream == NULL ||
                   link->last_ping_ms <= link->last_received_ms
               ? 0
               : links_now_ms(links) - link->last_ping_ms;
}

static void
send_release(AprLinks_t *links, const ReleaseNotice_t *release)
{
    AprGatewayLink_t *link = ensure_outbound_link(links, release->host);
    AprLinkFrame_t frame = {0};

    if (link == NULL) {
        return;
    }
    frame.type = APR_LINK_HANDOVER_TOKEN;
    g_strlcpy(frame.service, release->service, sizeof(frame.service));
    frame.grant = release->grant;
    AprGatewayLink_Send(link, &frame);
}

/* Notifies the new owner of keys that their last holder released them. Copies
   `grant`. AprLinks_Tick() sends the notice RELEASE_RESENDS more times. */
void
AprLinks_SendHandoverToken(AprLinks_t *links, const char *host,
                           const char *service, const AprGrant_t *grant)
{
    ReleaseNotice_t *release = calloc(1, sizeof(*release));

    if (release == NULL) {
        return;
    }
    g_strlcpy(release->host, host, sizeof(release->host));
    g_strlcpy(release->service, service, sizeof(release->service));
    release->grant = *grant;
    release->sends_left = RELEASE_RESENDS;
    release->next = links->pending_releases;
    links->pending_releases = release;
    send_release(links, release);
}

/* Asks another host to renew this host's lease at the store. Returns false
   when there is no link. */
bool
AprLinks_RequestLeaseRenewal(AprLinks_t *links, const char *host,
                             int64_t lease)
{
    AprGatewayLink_t *link = ensure_outbound_link(links, host);
    AprLinkFrame_t frame = {0};

    if (link == NULL) {
        return false;
    }
    frame.type = APR_LINK_RENEW_LEASE;
    frame.sequence = lease;
    AprGatewayLink_Send(link, &frame);
    return true;
}

/* Responds to a request of another host to renew its lease. A negative
   `age_ms` means that the lease was not renewed. */
void
AprLinks_SendRenewalResult(AprLinks_t *links, const char *host, int64_t lease,
                           int64_t age_ms)
{
    AprGatewayLink_t *link = links->inbound;
    AprLinkFrame_t frame = {0};

    frame.type = APR_LINK_RENEWAL_RESULT;
    frame.sequence = lease;
    frame.result = age_ms;
    while (link != NULL) {
        if (strcmp(link->host, host) == 0) {
            AprGatewayLink_Send(link, &frame);
        }
        link = link->next;
    }
}

/* Asks another host for the items of the store that changed after a revision,
   and subscribes to later changes for SUBSCRIPTION_TTL_MS. */
void
AprLinks_SubscribeToItems(AprLinks_t *links, const char *host,
                          int64_t revision)
{
    AprGatewayLink_t *link = ensure_outbound_link(links, host);
    AprLinkFrame_t frame = {0};

    if (link == NULL) {
        return;
    }
    frame.type = APR_LINK_SUBSCRIBE;
    frame.sequence = revision;
    AprGatewayLink_Send(link, &frame);
}

/* Returns the milliseconds since bytes arrived from a host on an established
   outbound link or an open inbound one; -1 when there is none. */
int64_t
AprLinks_LastReceivedAgeMs(const AprLinks_t *links, const char *host)
{
    const AprGatewayLink_t *link = find_outbound_link(links, host);
    const AprInboundHost_t *inbound =
        g_hash_table_lookup(links->inbound_hosts, host);
    int64_t heard_ms =
        link != NULL && link->established ? link->last_received_ms : -1;

    if (inbound != NULL && inbound->last_received_ms > heard_ms) {
        heard_ms = inbound->last_received_ms;
    }
    return heard_ms < 0 ? -1 : links_now_ms(links) - heard_ms;
}

/* Ends the sending direction of the links that other hosts opened, so that
   they close them when they have read all responses. */
void
AprLinks_EndInbound(AprLinks_t *links)
{
    for (AprGatewayLink_t *link = links->inbound; link != NULL;
         link = link->next) {
        if (link->stream != NULL) {
            AprStream_EndWriting(link->stream);
        }
    }
}

/* Returns whether links that other hosts opened are still open. */
bool
AprLinks_HasInbound(const AprLinks_t *links)
{
    return links->inbound != NULL;
}

/* Tells each host that opened a link which of its calls were read; this
   process ends and ignores later ones. */
void
AprLinks_SendGoaway(AprLinks_t *links)
{
    for (AprGatewayLink_t *link = links->inbound; link != NULL;
         link = link->next) {
        AprLinkFrame_t frame = {0};

        frame.type = APR_LINK_GOAWAY;
        frame.sequence = link->last_stream;
        AprGatewayLink_Send(link, &frame);
        link->going_away = true;
    }
}

/* Sends changed items to the hosts that fetched items within
   SUBSCRIPTION_TTL_MS. */
void
AprLinks_SendChangedItems(AprLinks_t *links)
{
    int64_t now_ms = links_now_ms(links);

    for (AprGatewayLink_t *link = links->inbound; link != NULL;
         link = link->next) {
        if (link->stream != NULL && link->subscribed_ms != 0 &&
            now_ms - link->subscribed_ms < SUBSCRIPTION_TTL_MS) {
            send_changed_items(link);
        }
    }
}

/* Returns whether bytes arrived from a host within PEER_TIMEOUT_MS. */
bool
AprLinks_IsHostAlive(const AprLinks_t *links, const char *host)
{
    int64_t age_ms = AprLinks_LastReceivedAgeMs(links, host);

    return age_ms >= 0 && age_ms < PEER_TIMEOUT_MS;
}

/* Asks a host when it last received bytes from another one. The reply is
   recorded in the table of members. */
void
AprLinks_QueryReachability(AprLinks_t *links, const char *host,
                           const char *about)
{
    AprGatewayLink_t *link = ensure_outbound_link(links, host);
    AprLinkFrame_t frame = {0};

    if (link != NULL) {
        frame.type = APR_LINK_REACHABILITY_QUERY;
        g_strlcpy(frame.host, about, sizeof(frame.host));
        AprGatewayLink_Send(link, &frame);
    }
}

/* Pings a host to find out whether it can be reached, at most once per
   BUSY_PING_INTERVAL_MS. */
void
AprLinks_Ping(AprLinks_t *links, const char *host)
{
    AprGatewayLink_t *link = ensure_outbound_link(links, host);
    int64_t now_ms = links_now_ms(links);

    if (link != NULL && now_ms - link->last_ping_ms >= BUSY_PING_INTERVAL_MS) {
        link->last_ping_ms = now_ms;
        send_load(link, APR_LINK_PING, now_ms);
    }
}

/* Handles an outbound link on which nothing arrives: the other host is paused
   or cut off, or only this connection has died. Idempotent calls are failed,
   so that they can be sent elsewhere. The others may be running and have no
   other way to end well, so the link is kept for them, apart from the link
   that the next call opens. */
static void
stall_link(AprGatewayLink_t *link, int64_t now_ms)
{
    AprLinks_t *links = link->links;
    AprCallFailure_t failure = {APR_CALL_BROKEN, false, 0};

    AprLog_Write(APR_LOG_INFO, "link_stalled", "peer=%s calls=%u", link->host,
                 g_hash_table_size(link->calls));
    link->stalled_ms = now_ms;
    AprMembers_RecordUnreachable(links->gateway->members, link->host);
    g_hash_table_remove(links->outbound_by_host, link->host);
    remove_link(&links->outbound, link);
    link->next = links->stalled;
    links->stalled = link;
    AprLinkCalls_FailIdempotent(link, &failure);
}

/* Returns whether a stalled link is of no more use: its calls have ended, or
   the host answers on a new connection but not on this one. */
static bool
is_stalled_link_over(const AprGatewayLink_t *link, int64_t now_ms)
{
    const AprGatewayLink_t *newer =
        find_outbound_link(link->links, link->host);

    return link->stream == NULL || g_hash_table_size(link->calls) == 0 ||
           (link->last_received_ms < link->stalled_ms && newer != NULL &&
            newer->established &&
            now_ms - newer->established_ms > STALLED_RESUME_MS);
}

/* Ends the stalled links that are of no more use, and looks with a new one
   whether the host answers again. */
static void
check_stalled_links(AprLinks_t *links, int64_t now_ms)
{
    AprGatewayLink_t *link = links->stalled;

    while (link != NULL) {
        AprGatewayLink_t *next = link->next;

        if (is_stalled_link_over(link, now_ms)) {
            remove_link(&links->stalled, link);
            if (link->stream != NULL) {
                close_outbound_link(link, "replaced");
            }
            link->next = links->closed;
            links->closed = link;
        }
        else {
            ensure_outbound_link(links, link->host);
        }
        link = next;
    }
}

/* Closes a link that timed out; pings one without recent traffic. */
static void
check_outbound_link(AprGatewayLink_t *link, int64_t now_ms)
{
    int64_t silence_ms = now_ms - link->last_received_ms;
    bool busy = g_hash_table_size(link->calls) > 0;

    if (AprStream_IsConnecting(link->stream)) {
        if (now_ms - link->opened_ms > CONNECT_TIMEOUT_MS) {
            close_outbound_link(link, "connect timeout");
        }
        return;
    }
    if ((busy || link->last_ping_ms > link->last_received_ms) &&
        silence_ms > PEER_TIMEOUT_MS &&
        now_ms - link->last_ping_ms > BUSY_PING_INTERVAL_MS) {
        stall_link(link, now_ms);
        return;
    }
    if (silence_ms > (busy ? BUSY_PING_INTERVAL_MS : IDLE_PING_INTERVAL_MS) &&
        now_ms - link->last_ping_ms >
            (busy ? BUSY_PING_INTERVAL_MS : IDLE_PING_INTERVAL_MS)) {
        link->last_ping_ms = now_ms;
        send_load(link, APR_LINK_PING, now_ms);
    }
}

static void
resend_releases(AprLinks_t *links)
{
    ReleaseNotice_t **at = &links->pending_releases;

    while (*at != NULL) {
        ReleaseNotice_t *release = *at;

        send_release(links, release);
        if (--release->sends_left <= 0) {
            *at = release->next;
            free(release);
        }
        else {
            at = &release->next;
        }
    }
}

static void
free_closed_links(AprLinks_t *links)
{
    while (links->closed != NULL) {
        AprGatewayLink_t *link = links->closed;

        links->closed = link->next;
        free_link(link);
    }
}

/* Tells the hosts that opened links of a high network delay. */
static void
advertise_delay(AprLinks_t *links, int64_t now_ms)
{
    if (!AprGateway_IsBalancingAdaptive(links->gateway) ||
        !AprNetworkDelay_MustAdvertise(&links->gateway->network_delay,
                                       now_ms)) {
        return;
    }
    for (AprGatewayLink_t *link = links->inbound; link != NULL;
         link = link->next) {
        if (link->host[0] != '\0') {
            send_load(link, APR_LINK_PONG, 0);
        }
    }
    AprGateway_IncrementCounter(links->gateway, "network_delay_reports_total",
                                "");
}

static void
set_gauge(const AprLinks_t *links, const char *name, const char *help,
          int64_t value)
{
    AprMetric_t *gauge =
        AprMetrics_RegisterGauge(links->gateway->metrics, name, "", help);

    if (gauge != NULL) {
        AprMetric_Set(gauge, value);
    }
}

static void
update_network_metrics(const AprLinks_t *links, int64_t now_ms)
{
    AprGateway_t *gateway = links->gateway;

    if (AprGateway_IsBalancingAdaptive(gateway)) {
        set_gauge(links, "network_delay_ms",
                  "queueing delay of requests from other hosts",
                  AprNetworkDelay_Get(&gateway->network_delay, now_ms));
        set_gauge(links, "body_wait_ms",
                  "time that the link needs for the bodies taken",
                  AprBodyPacing_WaitMs(&gateway->body_pacing));
    }
}

/* Pings outbound links without traffic, closes those that timed out, frees
   closed inbound links and resends release notices. Called several times a
   second. */
void
AprLinks_Tick(AprLinks_t *links)
{
    int64_t now_ms = links_now_ms(links);

    free_closed_links(links);
    for (AprGatewayLink_t *link = links->outbound; link != NULL;) {
        AprGatewayLink_t *next = link->next;

        if (link->stream != NULL) {
            check_outbound_link(link, now_ms);
        }
        link = next;
    }
    check_stalled_links(links, now_ms);
    advertise_delay(links, now_ms);
    update_network_metrics(links, now_ms);
    if (links->gateway->stop_step >= APR_STOP_REFUSE_PEERS) {
        for (AprGatewayLink_t *link = links->inbound; link != NULL;
             link = link->next) {
            AprLinkCalls_RefuseHeld(link);
        }
    }
    AprLinkCalls_GrantBodies(links->gateway);
    if (now_ms - links->last_release_send_ms >= BUSY_PING_INTERVAL_MS) {
        links->last_release_send_ms = now_ms;
        resend_releases(links);
    }
}

/* Returns the memory of received and unsent bytes of all links. */
size_t
AprLinks_HeldBytes(const AprLinks_t *links)
{
    const AprGatewayLink_t *const lists[] = {links->inbound, links->outbound,
                                             links->stalled};
    size_t sum = 0;

    for (size_t i = 0; i < G_N_ELEMENTS(lists); i++) {
        for (const AprGatewayLink_t *link = lists[i]; link != NULL;
             link = link->next) {
            sum += AprGatewayLink_HeldBytes(link);
        }
    }
    return sum;
}

/* Returns the number of queued and running calls of other hosts. */
int
AprLinks_CountInboundCalls(const AprLinks_t *links)
{
    int count = 0;

    for (const AprGatewayLink_t *link = links->inbound; link != NULL;
         link = link->next) {
        count += (int)g_hash_table_size(link->calls);
    }
    return count;
}

static void
on_accept(void *context, int fd)
{
    AprLinks_t *links = context;
    AprGatewayLink_t *link = calloc(1, sizeof(*link));

    if (link == NULL) {
        close(fd);
        return;
    }
    link->links = links;
    link->gateway = links->gateway;
    link->inbound = true;
    link->calls = AprLinkCalls_NewTable(true);
    link->last_received_ms = links_now_ms(links);
    link->stream =
        AprStream_Open(links->gateway->streams, fd, &stream_handler, link);
    if (link->stream == NULL) {
        free_link(link);
        return;
    }
    link->next = links->inbound;
    links->inbound = link;
}

static void
on_accept_pause(void *context)
{
    const AprLinks_t *links = context;

    AprGateway_IncrementCounter(links->gateway, "accept_pauses_total",
                                "listener=\"links\"");
}

static const AprListenerHandler_t listener_handler = {on_accept, NULL,
                                                      on_accept_pause};

/* Accepts links at an IP:port. Returns APR_OK or the error of
   AprStream_Listen(). */
int
AprLinks_Listen(AprLinks_t *links, const char *address)
{
    return AprListener_Open(&links->listener, links->gateway->loop, "links",
                            address, &listener_handler, links);
}

/* Closes all links and frees the table. Outbound calls get no further
   callback. */
void
AprLinks_Free(AprLinks_t *links)
{
    if (links == NULL) {
        return;
    }
    while (links->inbound != NULL) {
        AprGatewayLink_t *link = links->inbound;

        links->inbound = link->next;
        AprLinkCalls_CancelAll(link);
        if (link->stream != NULL) {
            AprStream_Close(link->stream);
        }
        free_link(link);
    }
    free_closed_links(links);
    while (links->stalled != NULL) {
        AprGatewayLink_t *link = links->stalled;

        links->stalled = link->next;
        link->next = links->outbound;
        links->outbound = link;
    }
    while (links->outbound != NULL) {
        AprGatewayLink_t *link = links->outbound;

        links->outbound = link->next;
        if (link->stream != NULL) {
            AprStream_Close(link->stream);
        }
        free_link(link);
    }
    while (links->pending_releases != NULL) {
        ReleaseNotice_t *release = links->pending_releases;

        links->pending_releases = release->next;
        free(release);
    }
    AprListener_Close(&links->listener);
    msgpack_zone_destroy(&links->zone);
    g_hash_table_destroy(links->outbound_by_host);
    g_hash_table_destroy(links->inbound_hosts);
    AprBodyPacing_Free(&links->gateway->body_pacing);
    free(links);
}
