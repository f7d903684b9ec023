/* Checks of the links between gateways: pings, time limits and links on which
   nothing arrives. */

#include <stdlib.h>

#include "apricot/log.h"
#include "internal/links_state.h"

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

/* Backlog of the links from other hosts from which it is logged, and the least
   time between two such lines. */
#define BACKLOG_LOGGED_MS 500
#define BACKLOG_LOG_INTERVAL_MS 250

static void
record_ping(AprGatewayLink_t *link, int64_t now_ms)
{
    if (link->last_ping_ms <= link->last_received_ms) {
        link->unanswered_since_ms = now_ms;
    }
    link->last_ping_ms = now_ms;
}

/* Returns the milliseconds for which pings on the outbound link to a host have
   been without any answer; 0 when there is none. */
int64_t
AprLinks_UnansweredPingMs(const AprLinks_t *links, const char *host)
{
    const AprGatewayLink_t *link = AprLinks_FindOutbound(links, host);

    return link == NULL || link->stream == NULL ||
                   link->last_ping_ms <= link->last_received_ms
               ? 0
               : AprLinks_NowMs(links) - link->unanswered_since_ms;
}

/* Pings a host to find out whether it can be reached, at most once per
   BUSY_PING_INTERVAL_MS. */
void
AprLinks_Ping(AprLinks_t *links, const char *host)
{
    AprGatewayLink_t *link = AprLinks_EnsureOutbound(links, host);
    int64_t now_ms = AprLinks_NowMs(links);

    if (link != NULL && now_ms - link->last_ping_ms >= BUSY_PING_INTERVAL_MS) {
        record_ping(link, now_ms);
        AprGatewayLink_SendLoad(link, APR_LINK_PING, now_ms);
    }
}

/* Handles an outbound link on which nothing arrives: the other host is paused
   or cut off, its network link is full, or only this connection has died.
   Calls that are sent again when they fail are failed. The others may be
   running or have responses under way and no other way to end well, so the
   link is kept for them, apart from the link that the next call opens. */
static void
stall_link(AprGatewayLink_t *link, int64_t now_ms)
{
    AprLinks_t *links = link->links;
    AprCallFailure_t failure = {APR_CALL_BROKEN, false, 0};

    AprLog_Write(APR_LOG_INFO, "link_stalled",
                 "peer=%s calls=%u started=%d silent_ms=%lld ping_ms=%lld "
                 "unsent=%zu unacknowledged=%d",
                 link->host, g_hash_table_size(link->calls),
                 AprLinkCalls_CountStarted(link),
                 (long long)(now_ms - link->last_received_ms),
                 (long long)(now_ms - link->unanswered_since_ms),
                 AprStream_UnsentBytes(link->stream),
                 AprStream_UnacknowledgedBytes(link->stream));
    link->stalled_ms = now_ms;
    AprMembers_RecordUnreachable(links->gateway->members, link->host);
    g_hash_table_remove(links->outbound_by_host, link->host);
    AprGatewayLink_RemoveFrom(&links->outbound, link);
    link->next = links->stalled;
    links->stalled = link;
    AprLinkCalls_FailRepeatable(link, &failure);
}

/* Returns whether the host of a stalled link answers on a new connection but
   not on this one. */
static bool
is_replaced(const AprGatewayLink_t *link, int64_t now_ms)
{
    const AprGatewayLink_t *newer =
        AprLinks_FindOutbound(link->links, link->host);

    return link->last_received_ms < link->stalled_ms && newer != NULL &&
           newer->established &&
           now_ms - newer->established_ms > STALLED_RESUME_MS;
}

/* Fails the calls of a stalled link that need not wait on. A response that has
   started cannot be had again, so it may take until its deadline. Returns
   whether none is left. */
static bool
end_stalled_calls(AprGatewayLink_t *link, int64_t now_ms)
{
    AprCallFailure_t failure = {APR_CALL_BROKEN, false, 0};

    if (is_replaced(link, now_ms)) {
        AprLinkCalls_FailUnanswered(link, &failure);
    }
    AprLinkCalls_FailOverdue(link, &failure);
    return link->stream == NULL || g_hash_table_size(link->calls) == 0;
}

/* Ends the stalled links that are of no more use, and looks with a new one
   whether the host answers again. */
static void
check_stalled_links(AprLinks_t *links, int64_t now_ms)
{
    AprGatewayLink_t *link = links->stalled;

    while (link != NULL) {
        AprGatewayLink_t *next = link->next;

        if (end_stalled_calls(link, now_ms)) {
            AprLog_Write(APR_LOG_INFO, "stalled_link_ended",
                         "peer=%s after_ms=%lld resumed=%d", link->host,
                         (long long)(now_ms - link->stalled_ms),
                         link->last_received_ms >= link->stalled_ms);
            AprGatewayLink_RemoveFrom(&links->stalled, link);
            if (link->stream != NULL) {
                AprGatewayLink_CloseOutbound(link, "replaced");
            }
            link->next = links->closed;
            links->closed = link;
        }
        else {
            AprLinks_EnsureOutbound(links, link->host);
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
            AprGatewayLink_CloseOutbound(link, "connect timeout");
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
        record_ping(link, now_ms);
        AprGatewayLink_SendLoad(link, APR_LINK_PING, now_ms);
    }
}

static void
resend_releases(AprLinks_t *links)
{
    AprReleaseNotice_t **at = &links->pending_releases;

    while (*at != NULL) {
        AprReleaseNotice_t *release = *at;

        AprLinks_SendRelease(links, release);
        if (--release->sends_left <= 0) {
            *at = release->next;
            free(release);
        }
        else {
            at = &release->next;
        }
    }
}

/* Frees the closed inbound links. */
void
AprLinks_FreeClosed(AprLinks_t *links)
{
    while (links->closed != NULL) {
        AprGatewayLink_t *link = links->closed;

        links->closed = link->next;
        AprGatewayLink_Free(link);
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
            AprGatewayLink_SendLoad(link, APR_LINK_PONG, 0);
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
                  AprBodyPacing_WaitMs(&gateway->body_pacing, now_ms));
    }
}

/* Logs the bytes that wait on the links from other hosts when the network link
   of this host needs more than BACKLOG_LOGGED_MS for them: to those hosts this
   one seems silent. */
static void
report_backlog(AprLinks_t *links, int64_t now_ms)
{
    double bytes_per_ms = links->gateway->settings.link_mbps * 125.0;
    size_t unsent = 0;
    size_t unacknowledged = 0;
    int busy = 0;
    int64_t backlog_ms;

    if (bytes_per_ms <= 0 ||
        now_ms - links->last_backlog_log_ms < BACKLOG_LOG_INTERVAL_MS) {
        return;
    }
    for (AprGatewayLink_t *link = links->inbound; link != NULL;
         link = link->next) {
        if (link->stream != NULL && g_hash_table_size(link->calls) > 0) {
            int queued = AprStream_UnacknowledgedBytes(link->stream);

            unsent += AprStream_UnsentBytes(link->stream);
            unacknowledged += (size_t)MAX(queued, 0);
            busy++;
        }
    }
    backlog_ms = (int64_t)((double)(unsent + unacknowledged) / bytes_per_ms);
    if (backlog_ms > BACKLOG_LOGGED_MS) {
        links->last_backlog_log_ms = now_ms;
        AprLog_Write(APR_LOG_INFO, "links_backlog",
                     "links=%d unsent=%zu unacknowledged=%zu backlog_ms=%lld",
                     busy, unsent, unacknowledged, (long long)backlog_ms);
    }
}

/* Grants request bodies, and refuses the calls that cannot have theirs. */
static void
serve_paced_bodies(AprLinks_t *links)
{
    if (links->gateway->body_pacing.count == 0) {
        return;
    }
    for (AprGatewayLink_t *link = links->inbound; link != NULL;
         link = link->next) {
        AprLinkCalls_RefuseHeld(link);
    }
    AprLinkCalls_GrantBodies(links->gateway);
}

/* Pings outbound links without traffic, closes those that timed out, frees
   closed inbound links and resends release notices. Called several times a
   second. */
void
AprLinks_Tick(AprLinks_t *links)
{
    int64_t now_ms = AprLinks_NowMs(links);

    AprLinks_FreeClosed(links);
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
    report_backlog(links, now_ms);
    serve_paced_bodies(links);
    if (now_ms - links->last_release_send_ms >= BUSY_PING_INTERVAL_MS) {
        links->last_release_send_ms = now_ms;
        resend_releases(links);
    }
}
