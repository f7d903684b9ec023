#include "internal/peer_link.h"

#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "apricot/log.h"

#define BACKOFF_MIN_MS 50
#define BACKOFF_MAX_MS 1000
#define HANDSHAKE_MS 1000
#define PROBE_MS 1000
#define SILENCE_MS 2000
/* The initiator probes at least once a second, so an acceptor that hears
   nothing for three seconds has missed several probes. */
#define ACCEPTOR_SILENCE_MS 3000
/* Frames sealed ahead of the socket delay a later control message, so this is
   a few hundred microseconds of a 1 Gbit/s network. */
#define OUTPUT_BYTES (64 * 1024)
/* Bounds the time that one busy link takes from the others. */
#define MAX_ROUNDS 4

static struct timespec
time_now(const AprPeerLink_t *link)
{
    return AprClock_Now(&link->shared->clock);
}

/* Creates a link without a connection; NULL when memory runs out. */
AprPeerLink_t *
AprPeerLink_New(AprPeerShared_t *shared, AprLink_t handle, bool outbound)
{
    AprPeerLink_t *link = calloc(1, sizeof(*link));

    if (link != NULL) {
        link->shared = shared;
        link->handle = handle;
        link->outbound = outbound;
        link->state = outbound ? APR_LINK_BACKOFF : APR_LINK_DEAD;
        link->fd = -1;
        link->backoff_ms = BACKOFF_MIN_MS;
        AprPeerQueue_Init(&link->queue);
    }
    return link;
}

static AprMessage_t *
next_unwritten(AprPeerLink_t *link)
{
    if (link->sealed_first < link->sealed_end) {
        return link->sealed[link->sealed_first++].message;
    }
    return AprPeerQueue_Pop(&link->queue);
}

static void
close_connection(AprPeerLink_t *link)
{
    if (link->fd >= 0) {
        close(link->fd);
        link->fd = -1;
    }
    AprSession_Free(link->session);
    link->session = NULL;
    link->wants_write = false;
    link->armed_write = false;
    link->written = 0;
}

/* Closes and frees a link; what is queued is freed without an event. */
void
AprPeerLink_Free(AprPeerLink_t *link)
{
    AprMessage_t *message;

    while ((message = next_unwritten(link)) != NULL) {
        AprPeerBudget_Return(AprPeerLink_Budget(link->shared, link->handle),
                             message);
        AprMessage_Free(message);
    }
    if (link->state == APR_LINK_UP) {
        AprMetric_Add(link->shared->counters.links_up, -1);
    }
    close_connection(link);
    free(link);
}

/* The budget of a link's slot. */
AprPeerBudget_t *
AprPeerLink_Budget(AprPeerShared_t *shared, AprLink_t handle)
{
    return &shared->budgets[handle & UINT16_MAX];
}

/* Hands a message of which no byte was written back to the owner. */
void
AprPeerLink_Reject(AprPeerShared_t *shared, AprLink_t handle,
                   AprMessage_t *message)
{
    AprPeerBudget_Return(AprPeerLink_Budget(shared, handle), message);
    AprMetric_Add(shared->counters.undelivered, 1);
    shared->events.undelivered(shared->events.context, handle, message);
}

static int
start_session(AprPeerLink_t *link)
{
    link->session =
        AprSession_New(link->outbound ? APR_FROM_INITIATOR : APR_FROM_ACCEPTOR,
                       &link->shared->identity, link->shared->peer_key);
    link->sealed_first = 0;
    link->sealed_end = 0;
    link->deadline = AprTime_AddMs(time_now(link), HANDSHAKE_MS);
    return link->session == NULL ? APR_E_NOMEM : APR_OK;
}

/* Starts a non-blocking connect. The time limit covers the connect and the
   handshake. */
int
AprPeerLink_Connect(AprPeerLink_t *link)
{
    link->fd = AprPeerAddress_Socket(&link->address);
    if (link->fd < 0) {
        return APR_E_IO;
    }
    link->state = APR_LINK_CONNECTING;
    link->wants_write = true;
    if (connect(link->fd, (struct sockaddr *)&link->address.storage,
                link->address.size) != 0 &&
        errno != EINPROGRESS) {
        return APR_E_IO;
    }
    return start_session(link);
}

/* Takes over an accepted, non-blocking socket. */
int
AprPeerLink_Accept(AprPeerLink_t *link, int fd)
{
    int one = 1;

    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
    link->fd = fd;
    link->state = APR_LINK_HANDSHAKE;
    return start_session(link);
}

/* Takes ownership of a message. While the link waits for the next attempt it
   is undelivered at once: the last attempt has just failed. */
void
AprPeerLink_Queue(AprPeerLink_t *link, AprMessage_t *message)
{
    if (link->state == APR_LINK_BACKOFF || link->state == APR_LINK_DEAD) {
        AprPeerLink_Reject(link->shared, link->handle, message);
        return;
    }
    AprPeerQueue_Push(&link->queue, message);
}

static int
on_connected(AprPeerLink_t *link)
{
    int failure = 0;
    socklen_t size = sizeof(failure);

    if (getsockopt(link->fd, SOL_SOCKET, SO_ERROR, &failure, &size) != 0 ||
        failure != 0) {
        return APR_E_IO;
    }
    link->state = APR_LINK_HANDSHAKE;
    return APR_OK;
}

/* Seals queued messages until there is enough to write. */
static void
fill_output(AprPeerLink_t *link)
{
    GByteArray *output = AprSession_Output(link->session);

    link->sealed_first = 0;
    link->sealed_end = 0;
    while (link->sealed_end < APR_PEER_BATCH && output->len < OUTPUT_BYTES) {
        AprMessage_t *message = AprPeerQueue_Pop(&link->queue);
        size_t start = output->len;

        if (message == NULL) {
            return;
        }
        if (AprSession_Seal(link->session, message) != APR_OK) {
            AprLog_Write(APR_LOG_ERROR, "peer-encode", "type=%s",
                         AprMessage_TypeName(message->type));
            AprPeerLink_Reject(link->shared, link->handle, message);
            continue;
        }
        link->sealed[link->sealed_end++] = (AprSealed_t){message, start};
    }
}

/* Releases the messages that are written at least in part. */
static void
release_written(AprPeerLink_t *link)
{
    while (link->sealed_first < link->sealed_end &&
           link->sealed[link->sealed_first].start < link->written) {
        AprMessage_t *message = link->sealed[link->sealed_first++].message;

        AprPeerBudget_Return(AprPeerLink_Budget(link->shared, link->handle),
                             message);
        AprMetric_Add(link->shared->counters.sent, 1);
        AprMessage_Free(message);
    }
}

/* Writes what is in the output. Returns APR_E_FULL when the socket takes no
   more. */
static int
write_output(AprPeerLink_t *link)
{
    GByteArray *output = AprSession_Output(link->session);

    while (link->written < output->len) {
        ssize_t count = send(link->fd, output->data + link->written,
                             output->len - link->written, MSG_NOSIGNAL);

        if (count < 0 && errno == EINTR) {
            continue;
        }
        if (count < 0) {
            return errno == EAGAIN || errno == EWOULDBLOCK ? APR_E_FULL
                                                           : APR_E_CLOSED;
        }
        link->written += (size_t)count;
        AprMetric_Add(link->shared->counters.bytes_sent, count);
        link->last_sent = time_now(link);
        release_written(link);
    }
    g_byte_array_set_size(output, 0);
    link->written = 0;
    return APR_OK;
}

/* Writes as much as the socket takes, control messages first. */
int
AprPeerLink_Write(AprPeerLink_t *link)
{
    int status = APR_OK;

    if (link->state == APR_LINK_CONNECTING) {
        status = on_connected(link);
    }
    for (int round = 0; status == APR_OK && round < MAX_ROUNDS; round++) {
        status = write_output(link);
        if (status == APR_OK && link->state == APR_LINK_UP) {
            fill_output(link);
        }
    }
    if (status != APR_OK && status != APR_E_FULL) {
        return status;
    }
    link->wants_write = AprSession_Output(link->session)->len > 0;
    return APR_OK;
}

static void
on_up(AprPeerLink_t *link)
{
    const AprIdentity_t *peer = AprSession_Peer(link->session);
    AprPeerShared_t *shared = link->shared;

    link->state = APR_LINK_UP;
    link->backoff_ms = BACKOFF_MIN_MS;
    link->last_sent = link->last_received;
    link->last_probe = link->last_received;
    AprMetric_Add(shared->counters.links_up, 1);
    AprLog_Write(APR_LOG_INFO, "peer-up", "peer=%s outbound=%d", peer->host,
                 link->outbound);
    shared->events.up(shared->events.context, link->handle, peer->host,
                      peer->incarnation);
}

static void
handle_event(AprPeerLink_t *link, const AprSessionEvent_t *event)
{
    AprPeerShared_t *shared = link->shared;

    switch (event->kind) {
    case APR_SESSION_UP:
        on_up(link);
        break;
    case APR_SESSION_MESSAGE:
        AprMetric_Add(shared->counters.received, 1);
        shared->events.message(shared->events.context, link->handle,
                               event->message);
        break;
    case APR_SESSION_KEEPALIVE:
        /* With so much to write, the peer will hear from us anyway. */
        if (AprSession_Output(link->session)->len < OUTPUT_BYTES) {
            AprSession_SealKeepalive(link->session, true);
        }
        break;
    default:
        break;
    }
}

static void
count_bad(AprPeerShared_t *shared, int status)
{
    if (shared->counters.bad[-status] != NULL) {
        AprMetric_Add(shared->counters.bad[-status], 1);
    }
}

static int
take_events(AprPeerLink_t *link)
{
    AprSessionEvent_t event;
    int status;

    do {
        status = AprSession_Next(link->session, &event);
        if (status != APR_OK) {
            count_bad(link->shared, status);
            AprLog_Write(APR_LOG_WARN, "peer-bad", "reason=%s outbound=%d",
                         AprError_Name(status), link->outbound);
            return status;
        }
        handle_event(link, &event);
    } while (event.kind != APR_SESSION_NOTHING);
    return APR_OK;
}

/* Reads what has arrived and reports it. */
int
AprPeerLink_Read(AprPeerLink_t *link)
{
    uint8_t *buffer = link->shared->read_buffer;

    for (int round = 0; round < MAX_ROUNDS; round++) {
        ssize_t count = recv(link->fd, buffer, APR_PEER_READ_BYTES, 0);
        int status;

        if (count < 0 && errno == EINTR) {
            continue;
        }
        if (count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
            return APR_OK;
        }
        if (count <= 0) {
            return APR_E_CLOSED;
        }
        AprMetric_Add(link->shared->counters.bytes_received, count);
        link->last_received = time_now(link);
        AprSession_Push(link->session, buffer, (size_t)count);
        status = take_events(link);
        if (status != APR_OK || count < APR_PEER_READ_BYTES) {
            return status;
        }
    }
    return APR_OK;
}

static int64_t
silence_limit_ms(const AprPeerLink_t *link)
{
    return link->outbound ? SILENCE_MS : ACCEPTOR_SILENCE_MS;
}

static struct timespec
earlier(struct timespec left, struct timespec right)
{
    return AprTime_Before(left, right) ? left : right;
}

static struct timespec
later(struct timespec left, struct timespec right)
{
    return AprTime_Before(left, right) ? right : left;
}

/* A probe is due when nothing was received for a second, also while messages
   that need no prompt answer are sent, and when nothing was sent for a second,
   because the acceptor relies on it. */
static struct timespec
probe_time(const AprPeerLink_t *link)
{
    struct timespec heard = later(link->last_received, link->last_probe);

    return AprTime_AddMs(earlier(heard, link->last_sent), PROBE_MS);
}

/* When OnTimer has something to do. */
struct timespec
AprPeerLink_Deadline(const AprPeerLink_t *link)
{
    struct timespec silent;

    if (link->state != APR_LINK_UP) {
        return link->deadline;
    }
    silent = AprTime_AddMs(link->last_received, silence_limit_ms(link));
    return link->outbound ? earlier(silent, probe_time(link)) : silent;
}

static int
check_silence(AprPeerLink_t *link, struct timespec now)
{
    if (AprTime_DiffMs(now, link->last_received) >= silence_limit_ms(link)) {
        AprMetric_Add(link->shared->counters.silent, 1);
        return APR_E_TIMEOUT;
    }
    if (link->outbound && !AprTime_Before(now, probe_time(link))) {
        AprSession_SealKeepalive(link->session, false);
        link->last_sent = now;
        link->last_probe = now;
        return AprPeerLink_Write(link);
    }
    return APR_OK;
}

/* Acts on deadlines: next attempt, handshake limit, probe, silence. */
int
AprPeerLink_OnTimer(AprPeerLink_t *link, struct timespec now)
{
    if (AprTime_Before(now, AprPeerLink_Deadline(link))) {
        return APR_OK;
    }
    switch (link->state) {
    case APR_LINK_BACKOFF:
        return AprPeerLink_Connect(link);
    case APR_LINK_CONNECTING:
    case APR_LINK_HANDSHAKE:
        AprMetric_Add(link->shared->counters.handshake_timeout, 1);
        return APR_E_TIMEOUT;
    case APR_LINK_UP:
        AprSession_Trim(link->session);
        return check_silence(link, now);
    default:
        return APR_OK;
    }
}

static void
schedule_attempt(AprPeerLink_t *link)
{
    link->state = APR_LINK_BACKOFF;
    link->deadline = AprTime_AddMs(time_now(link), link->backoff_ms);
    link->backoff_ms = link->backoff_ms * 2 > BACKOFF_MAX_MS
                           ? BACKOFF_MAX_MS
                           : link->backoff_ms * 2;
}

/* Ends a connection for any reason. What was not written is reported before
   `down`, so that the owner can tell it from what may have arrived. */
void
AprPeerLink_Break(AprPeerLink_t *link, int reason)
{
    AprPeerShared_t *shared = link->shared;
    bool was_up = link->state == APR_LINK_UP;
    AprMessage_t *message;

    AprLog_Write(was_up ? APR_LOG_INFO : APR_LOG_DEBUG, "peer-down",
                 "peer=%s outbound=%d reason=%s",
                 was_up ? AprSession_Peer(link->session)->host : "",
                 link->outbound, AprError_Name(reason));
    close_connection(link);
    while ((message = next_unwritten(link)) != NULL) {
        AprPeerLink_Reject(shared, link->handle, message);
    }
    if (was_up) {
        AprMetric_Add(shared->counters.links_up, -1);
        shared->events.down(shared->events.context, link->handle);
    }
    else if (link->outbound) {
        AprMetric_Add(shared->counters.connect_failed, 1);
    }
    if (link->outbound) {
        schedule_attempt(link);
    }
    else {
        link->state = APR_LINK_DEAD;
    }
}
