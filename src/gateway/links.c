/* Connections between gateways. Each host opens one link to every host that it
   sends calls to; responses arrive on the same link. */

#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "apricot/error.h"
#include "apricot/log.h"
#include "internal/links_state.h"

/* An outbound link that waits for a response or a pong is closed when nothing
   arrived for this time. Two lost packets, or a host at a fifth of its speed,
   stay within it. */
#define PEER_TIMEOUT_MS 1500

/* Delay of the next connect after a failure. */
#define RECONNECT_DELAY_MS 200

/* A host that fetched items is sent changed items for this time. */
#define SUBSCRIPTION_TTL_MS 3000

/* A release notice is sent again this many times, since earlier frames may be
   lost with their link. */
#define RELEASE_RESENDS 6

/* Returns the time of the monotonic clock in milliseconds. */
int64_t
AprLinks_NowMs(const AprLinks_t *links)
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

/* Frees a link that is in no list and has no open connection. */
void
AprGatewayLink_Free(AprGatewayLink_t *link)
{
    AprBuffer_Free(&link->receive_buffer);
    g_hash_table_destroy(link->calls);
    free(link);
}

/* Removes a link from a list that contains it. */
void
AprGatewayLink_RemoveFrom(AprGatewayLink_t **list, AprGatewayLink_t *link)
{
    while (*list != link) {
        list = &(*list)->next;
    }
    *list = link->next;
}

static void
on_close(void *context, int error)
{
    AprGatewayLink_t *link = context;

    AprGatewayLink_HandleFailure(link,
                                 error == 0 ? "closed" : strerror(error));
}

static const AprStreamHandler_t stream_handler = {AprGatewayLink_OnData,
                                                  on_close, NULL};

static void
close_stream(AprGatewayLink_t *link, const char *reason)
{
    if (link->stream != NULL) {
        AprStream_Close(link->stream);
        link->stream = NULL;
    }
    AprLog_Write(APR_LOG_INFO, "link_lost", "peer=%s inbound=%d reason=%s",
                 link->host, link->inbound, reason);
    link->failed_ms = AprLinks_NowMs(link->links);
}

/* Closes a link that another host opened and cancels its calls. The memory is
   freed at the next tick. */
static void
close_inbound_link(AprGatewayLink_t *link, const char *reason)
{
    close_stream(link, reason);
    AprGatewayLink_RemoveFromInboundHost(link);
    AprLinkCalls_CancelAll(link);
    AprGatewayLink_RemoveFrom(&link->links->inbound, link);
    link->next = link->links->closed;
    link->links->closed = link;
}

/* Closes a link that this host opened and fails its calls. The next call opens
   it again. */
void
AprGatewayLink_CloseOutbound(AprGatewayLink_t *link, const char *reason)
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

/* Closes a link that has failed. */
void
AprGatewayLink_HandleFailure(AprGatewayLink_t *link, const char *reason)
{
    if (link->inbound) {
        close_inbound_link(link, reason);
    }
    else {
        AprGatewayLink_CloseOutbound(link, reason);
    }
}

/* Returns the link that this host opened to another one, or NULL. */
AprGatewayLink_t *
AprLinks_FindOutbound(const AprLinks_t *links, const char *host)
{
    return g_hash_table_lookup(links->outbound_by_host, host);
}

/* Returns the connected or connecting link to a host and opens it if needed.
   Returns NULL when the host has no known address, right after a failure, or
   when out of memory. */
AprGatewayLink_t *
AprLinks_EnsureOutbound(AprLinks_t *links, const char *host)
{
    AprHost_t *member = AprMembers_Find(links->gateway->members, host);
    AprGatewayLink_t *link = AprLinks_FindOutbound(links, host);
    int64_t now_ms = AprLinks_NowMs(links);

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
    /* A gateway of an earlier version may answer on the new connection. */
    link->peer_paces_bodies = false;
    link->opened_ms = now_ms;
    link->last_received_ms = now_ms;
    link->last_ping_ms = now_ms;
    AprGatewayLink_SendHello(link);
    AprGatewayLink_SendLoad(link, APR_LINK_PING, 0);
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
    AprGatewayLink_t *link = AprLinks_EnsureOutbound(links, host);

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
        link->last_received_ms = AprLinks_NowMs(links);
        link->last_ping_ms = link->last_received_ms;
    }
    AprLinkCalls_Start(link, head, data, size, end, handlers, context, ref);
    return true;
}

/* Returns the number of calls in flight to a host. */
int
AprLinks_CountOutboundCalls(const AprLinks_t *links, const char *host)
{
    const AprGatewayLink_t *link = AprLinks_FindOutbound(links, host);

    return link == NULL ? 0 : (int)g_hash_table_size(link->calls);
}

/* Sends a release notice, unless there is no link. */
void
AprLinks_SendRelease(AprLinks_t *links, const AprReleaseNotice_t *release)
{
    AprGatewayLink_t *link = AprLinks_EnsureOutbound(links, release->host);
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
    AprReleaseNotice_t *release = calloc(1, sizeof(*release));

    if (release == NULL) {
        return;
    }
    g_strlcpy(release->host, host, sizeof(release->host));
    g_strlcpy(release->service, service, sizeof(release->service));
    release->grant = *grant;
    release->sends_left = RELEASE_RESENDS;
    release->next = links->pending_releases;
    links->pending_releases = release;
    AprLinks_SendRelease(links, release);
}

/* Asks another host to renew this host's lease at the store. Returns false
   when there is no link. */
bool
AprLinks_RequestLeaseRenewal(AprLinks_t *links, const char *host,
                             int64_t lease)
{
    AprGatewayLink_t *link = AprLinks_EnsureOutbound(links, host);
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
    AprGatewayLink_t *link = AprLinks_EnsureOutbound(links, host);
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
    const AprGatewayLink_t *link = AprLinks_FindOutbound(links, host);
    const AprInboundHost_t *inbound =
        g_hash_table_lookup(links->inbound_hosts, host);
    int64_t heard_ms =
        link != NULL && link->established ? link->last_received_ms : -1;

    if (inbound != NULL && inbound->last_received_ms > heard_ms) {
        heard_ms = inbound->last_received_ms;
    }
    return heard_ms < 0 ? -1 : AprLinks_NowMs(links) - heard_ms;
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
    int64_t now_ms = AprLinks_NowMs(links);

    for (AprGatewayLink_t *link = links->inbound; link != NULL;
         link = link->next) {
        if (link->stream != NULL && link->subscribed_ms != 0 &&
            now_ms - link->subscribed_ms < SUBSCRIPTION_TTL_MS) {
            AprGatewayLink_SendChangedItems(link);
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
    AprGatewayLink_t *link = AprLinks_EnsureOutbound(links, host);
    AprLinkFrame_t frame = {0};

    if (link != NULL) {
        frame.type = APR_LINK_REACHABILITY_QUERY;
        g_strlcpy(frame.host, about, sizeof(frame.host));
        AprGatewayLink_Send(link, &frame);
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
    link->last_received_ms = AprLinks_NowMs(links);
    link->stream =
        AprStream_Open(links->gateway->streams, fd, &stream_handler, link);
    if (link->stream == NULL) {
        AprGatewayLink_Free(link);
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
        AprGatewayLink_Free(link);
    }
    AprLinks_FreeClosed(links);
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
        AprGatewayLink_Free(link);
    }
    while (links->pending_releases != NULL) {
        AprReleaseNotice_t *release = links->pending_releases;

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
