/* Frames on the links between gateways: the handling of received ones, and
   those that one link sends by itself. */

#include <arpa/inet.h>
#include <string.h>

#include "apricot/log.h"
#include "internal/links_state.h"

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

/* Removes an inbound link from those of its host, if it has sent HELLO. */
void
AprGatewayLink_RemoveFromInboundHost(AprGatewayLink_t *link)
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
void
AprGatewayLink_SendLoad(AprGatewayLink_t *link, AprLinkType_t type,
                        int64_t sequence)
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
void
AprGatewayLink_SendChangedItems(AprGatewayLink_t *link)
{
    AprStoreCache_t *cache = link->links->gateway->store_cache;

    link->last_sent_sequence =
        AprStoreCache_VisitChanges(cache, link->subscriber_revision,
                                   link->last_sent_sequence, send_item, link);
}

/* Sends the first frame of a link. */
void
AprGatewayLink_SendHello(AprGatewayLink_t *link)
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
        link->established_ms = AprLinks_NowMs(link->links);
        if (link->wrong_host) {
            AprLog_Write(APR_LOG_WARN, "link_wrong_host", "peer=%s found=%s",
                         link->host, frame->host);
            AprGatewayLink_HandleFailure(link, "HELLO names another host");
        }
        return;
    }
    if (link->inbound_host != NULL) {
        AprGatewayLink_HandleFailure(link, "second HELLO");
        return;
    }
    g_strlcpy(link->host, frame->host, sizeof(link->host));
    add_to_inbound_host(link);
    AprGatewayLink_SendHello(link);
    if (strcmp(frame->expected_host, link->gateway->settings.host) != 0) {
        AprStream_CloseAfterFlush(link->stream);
        link->stream = NULL;
        AprGatewayLink_HandleFailure(link, "HELLO is for another host");
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
        AprGatewayLink_HandleFailure(link, "frame before HELLO");
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
        AprGatewayLink_SendLoad(link, APR_LINK_PONG, frame->sequence);
        break;
    case APR_LINK_PONG:
        AprLinkCalls_UpdatePeerLoad(link, &frame->load);
        break;
    case APR_LINK_HANDOVER_TOKEN:
        AprOwnership_AddHandoverToken(gateway->ownership, frame->service,
                                      &frame->grant);
        break;
    case APR_LINK_SUBSCRIBE:
        link->subscribed_ms = AprLinks_NowMs(link->links);
        link->subscriber_revision = frame->sequence;
        AprGatewayLink_SendChangedItems(link);
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

/* Handles all complete frames in the receive buffer. */
static void
read_frames(AprGatewayLink_t *link)
{
    AprLinks_t *links = link->links;
    int64_t now_ms = AprLinks_NowMs(links);

    while (link->stream != NULL &&
           AprBuffer_Size(&link->receive_buffer) >= sizeof(uint32_t)) {
        const char *bytes = AprBuffer_Data(&link->receive_buffer);
        AprLinkFrame_t frame;
        uint32_t size;

        memcpy(&size, bytes, sizeof(size));
        size = ntohl(size);
        if (size > APR_LINK_MAX_FRAME_BYTES) {
            AprGatewayLink_HandleFailure(link, "frame too long");
            return;
        }
        if (AprBuffer_Size(&link->receive_buffer) < sizeof(size) + size) {
            return;
        }
        if (AprLinkFrame_Decode(&links->zone, bytes + sizeof(size), size,
                                &frame, now_ms) != APR_OK) {
            msgpack_zone_clear(&links->zone);
            AprGatewayLink_HandleFailure(link, "malformed frame");
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

/* Handles received bytes. */
void
AprGatewayLink_OnData(void *context, const char *data, size_t size)
{
    AprGatewayLink_t *link = context;

    link->last_received_ms = AprLinks_NowMs(link->links);
    if (link->inbound_host != NULL) {
        link->inbound_host->last_received_ms = link->last_received_ms;
    }
    if (AprBuffer_Append(&link->receive_buffer, data, size) != APR_OK) {
        AprGatewayLink_HandleFailure(link, "out of memory");
        return;
    }
    read_frames(link);
}
