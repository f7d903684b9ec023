#include "internal/peer_link.h"

#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "apricot/log.h"

#define MIN_BACKOFF_MS 50
#define MAX_BACKOFF_MS 1000
#define HANDSHAKE_TIMEOUT_MS 1000
#define KEEPALIVE_INTERVAL_MS 1000
#define INITIATOR_SILENCE_TIMEOUT_MS 2000
/* The initiator sends a keepalive at least once a second, so an acceptor that
   receives nothing for three seconds has missed several of them. */
#define ACCEPTOR_SILENCE_TIMEOUT_MS 3000
/* A control message cannot overtake frames that are already in the output, so
   the output is limited to what a 1 Gbit/s network sends in a few hundred
   microseconds. */
#define OUTPUT_TARGET_BYTES (64 * 1024)
/* Reads or writes of one call; bounds the time that a busy link takes from the
   others. */
#define MAX_IO_ROUNDS 4

static struct timespec
time_now(const AprPeerLink_t *link)
{
    return AprClock_Now(&link->shared->clock);
}

/* Creates a link without a connection. Returns NULL when memory runs out. */
AprPeerLink_t *
AprPeerLink_New(AprPeerShared_t *shared, AprLinkHandle_t handle, bool outbound)
{
    AprPeerLink_t *link = calloc(1, sizeof(*link));

    if (link != NULL) {
        link->shared = shared;
        link->handle = handle;
        link->outbound = outbound;
        link->state = outbound ? APR_LINK_BACKOFF : APR_LINK_CLOSED;
        link->fd = -1;
        link->backoff_ms = MIN_BACKOFF_MS;
        AprPeerQueue_Init(&link->queue);
    }
    return link;
}

/* Removes the oldest message of which no byte was written, sealed ones first.
   The caller owns it; NULL if there is none. */
static AprMessage_t *
pop_unwritten(AprPeerLink_t *link)
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
    link->needs_epollout = false;
    link->epollout_armed = false;
    link->output_written = 0;
}

/* Closes and frees a link. Queued messages are freed without a callback. */
void
AprPeerLink_Free(AprPeerLink_t *link)
{
    AprMessage_t *message;

    while ((message = pop_unwritten(link)) != NULL) {
        AprPeerBudget_Release(
            AprPeerLink_GetBudget(link->shared, link->handle), message);
        AprMessage_Free(message);
    }
    if (link->state == APR_LINK_UP) {
        AprMetric_Add(link->shared->counters.links_up, -1);
    }
    close_connection(link);
    free(link);
}

/* Returns the budget of the link's slot, which exists also when no link is in
   the slot. */
AprPeerBudget_t *
AprPeerLink_GetBudget(AprPeerShared_t *shared, AprLinkHandle_t handle)
{
    return &shared->budgets[handle & UINT16_MAX];
}

/* Returns a message of which no byte was written through the `on_undelivered`
   callback, which takes ownership. */
void
AprPeerLink_ReturnUndelivered(AprPeerShared_t *shared, AprLinkHandle_t handle,
                              AprMessage_t *message)
{
    AprPeerBudget_Release(AprPeerLink_GetBudget(shared, handle), message);
    AprMetric_Add(shared->counters.messages_undelivered, 1);
    shared->callbacks.on_undelivered(shared->callbacks.context, handle,
                                     message);
}

static int
start_session(AprPeerLink_t *link)
{
    link->session =
        AprSession_New(link->outbound ? APR_FROM_INITIATOR : APR_FROM_ACCEPTOR,
                       &link->shared->identity, link->shared->peer_key);
    link->sealed_first = 0;
    link->sealed_end = 0;
    link->state_deadline = AprTime_AddMs(time_now(link), HANDSHAKE_TIMEOUT_MS);
    return link->session == NULL ? APR_E_NOMEM : APR_OK;
}

/* Starts a non-blocking connect. One timeout covers the connect and the
   handshake. On APR_E_IO or APR_E_NOMEM the caller must call
   AprPeerLink_Disconnect, which schedules the next attempt. */
int
AprPeerLink_Connect(AprPeerLink_t *link)
{
    link->fd = AprPeerAddress_OpenSocket(&link->address);
    if (link->fd < 0) {
        return APR_E_IO;
    }
    link->state = APR_LINK_CONNECTING;
    link->needs_epollout = true;
    if (connect(link->fd, (struct sockaddr *)&link->address.storage,
                link->address.size) != 0 &&
        errno != EINPROGRESS) {
        return APR_E_IO;
    }
    return start_session(link);
}

/* Gives an accepted, non-blocking socket to an inbound link, which owns it
   from then on, also on an error. */
int
AprPeerLink_AttachSocket(AprPeerLink_t *link, int fd)
{
    int one = 1;

    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
    link->fd = fd;
    link->state = APR_LINK_HANDSHAKE;
    return start_session(link);
}

/* Queues a message and takes ownership of it. During the back-off after a
   failed connect or a lost connection the message is returned as undelivered
   at once, because the peer has just been unreachable. */
void
AprPeerLink_QueueMessage(AprPeerLink_t *link, AprMessage_t *message)
{
    if (link->state == APR_LINK_BACKOFF || link->state == APR_LINK_CLOSED) {
        AprPeerLink_ReturnUndelivered(link->shared, link->handle, message);
        return;
    }
    AprPeerQueue_Push(&link->queue, message);
}

static int
finish_connect(AprPeerLink_t *link)
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

/* Seals queued messages into the output until it has OUTPUT_TARGET_BYTES or
   the limit of sealed messages is reached. */
static void
seal_queued_messages(AprPeerLink_t *link)
{
    GByteArray *output = AprSession_Output(link->session);

    link->sealed_first = 0;
    link->sealed_end = 0;
    while (link->sealed_end < APR_PEER_MAX_SEALED &&
           output->len < OUTPUT_TARGET_BYTES) {
        AprMessage_t *message = AprPeerQueue_Pop(&link->queue);
        size_t start = output->len;

        if (message == NULL) {
            return;
        }
        if (AprSession_AppendMessage(link->session, message) != APR_OK) {
            AprLog_Write(APR_LOG_ERROR, "peer-encode", "type=%s",
                         AprMessage_TypeName(message->type));
            AprPeerLink_ReturnUndelivered(link->shared, link->handle, message);
            continue;
        }
        link->sealed[link->sealed_end++] =
            (AprPeerSealedMessage_t){message, start};
    }
}

/* Frees the sealed messages of which at least one byte was written and
   releases their reservations. */
static void
free_written_messages(AprPeerLink_t *link)
{
    while (link->sealed_first < link->sealed_end &&
           link->sealed[link->sealed_first].output_offset <
               link->output_written) {
        AprMessage_t *message = link->sealed[link->sealed_first++].message;

        AprPeerBudget_Release(
            AprPeerLink_GetBudget(link->shared, link->handle), message);
        AprMetric_Add(link->shared->counters.messages_sent, 1);
        AprMessage_Free(message);
    }
}

/* Sends the output of the session. Returns APR_E_FULL when the send buffer of
   the socket is full. */
static int
write_output(AprPeerLink_t *link)
{
    GByteArray *output = AprSession_Output(link->session);

    while (link->output_written < output->len) {
        ssize_t count = send(link->fd, output->data + link->output_written,
                             output->len - link->output_written, MSG_NOSIGNAL);

        if (count < 0 && errno == EINTR) {
            continue;
        }
        if (count < 0) {
            return errno == EAGAIN || errno == EWOULDBLOCK ? APR_E_FULL
                                                           : APR_E_CLOSED;
        }
        link->output_written += (size_t)count;
        AprMetric_Add(link->shared->counters.bytes_sent, count);
        link->last_sent = time_now(link);
        free_written_messages(link);
    }
    g_byte_array_set_size(output, 0);
    link->output_written = 0;
    return APR_OK;
}

/* Completes a pending connect, then writes until the send buffer is full,
   nothing is queued or MAX_IO_ROUNDS is reached. Control messages are sealed
   first. */
int
AprPeerLink_Write(AprPeerLink_t *link)
{
    int status = APR_OK;

    if (link->state == APR_LINK_CONNECTING) {
        status = finish_connect(link);
    }
    for (int round = 0; status == APR_OK && round < MAX_IO_ROUNDS; round++) {
        status = write_output(link);
        if (status == APR_OK && link->state == APR_LINK_UP) {
            seal_queued_messages(link);
        }
    }
    if (status != APR_OK && status != APR_E_FULL) {
        return status;
    }
    link->needs_epollout = AprSession_Output(link->session)->len > 0;
    return APR_OK;
}

static void
handle_session_up(AprPeerLink_t *link)
{
    const AprIdentity_t *peer = AprSession_PeerIdentity(link->session);
    AprPeerShared_t *shared = link->shared;

    link->state = APR_LINK_UP;
    link->backoff_ms = MIN_BACKOFF_MS;
    link->last_sent = link->last_received;
    link->last_keepalive = link->last_received;
    AprMetric_Add(shared->counters.links_up, 1);
    AprLog_Write(APR_LOG_INFO, "peer-up", "peer=%s outbound=%d", peer->host,
                 link->outbound);
    shared->callbacks.on_up(shared->callbacks.context, link->handle,
                            peer->host, peer->incarnation);
}

static void
handle_session_event(AprPeerLink_t *link, const AprSessionEvent_t *event)
{
    AprPeerShared_t *shared = link->shared;

    switch (event->kind) {
    case APR_SESSION_UP:
        handle_session_up(link);
        break;
    case APR_SESSION_MESSAGE:
        AprMetric_Add(shared->counters.messages_received, 1);
        shared->callbacks.on_message(shared->callbacks.context, link->handle,
                                     event->message);
        break;
    case APR_SESSION_KEEPALIVE:
        /* The pending output keeps the link alive without a reply. */
        if (AprSession_Output(link->session)->len < OUTPUT_TARGET_BYTES) {
            AprSession_AppendKeepalive(link->session, true);
        }
        break;
    default:
        break;
    }
}

static void
count_bad_frame(AprPeerShared_t *shared, int status)
{
    if (shared->counters.bad_frames[-status] != NULL) {
        AprMetric_Add(shared->counters.bad_frames[-status], 1);
    }
}

static int
process_session_events(AprPeerLink_t *link)
{
    AprSessionEvent_t event;
    int status;

    do {
        status = AprSession_NextEvent(link->session, &event);
        if (status != APR_OK) {
            count_bad_frame(link->shared, status);
            AprLog_Write(APR_LOG_WARN, "peer-bad", "reason=%s outbound=%d",
                         AprError_Name(status), link->outbound);
            return status;
        }
        handle_session_event(link, &event);
    } while (event.kind != APR_SESSION_NEED_INPUT);
    return APR_OK;
}

/* Reads from the socket and passes the received messages to the callbacks.
   Returns APR_E_CLOSED when the peer has closed the connection or the socket
   failed, or the error of the session when the received data is invalid. */
int
AprPeerLink_Read(AprPeerLink_t *link)
{
    uint8_t *buffer = link->shared->read_buffer;

    for (int round = 0; round < MAX_IO_ROUNDS; round++) {
        ssize_t count = recv(link->fd, buffer, APR_PEER_READ_BUFFER_SIZE, 0);
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
        AprSession_AppendInput(link->session, buffer, (size_t)count);
        status = process_session_events(link);
        if (status != APR_OK || count < APR_PEER_READ_BUFFER_SIZE) {
            return status;
        }
    }
    return APR_OK;
}

static int64_t
silence_timeout_ms(const AprPeerLink_t *link)
{
    return link->outbound ? INITIATOR_SILENCE_TIMEOUT_MS
                          : ACCEPTOR_SILENCE_TIMEOUT_MS;
}

static struct timespec
earlier(struct timespec left, struct timespec right)
{
    return AprTime_IsBefore(left, right) ? left : right;
}

static struct timespec
later(struct timespec left, struct timespec right)
{
    return AprTime_IsBefore(left, right) ? right : left;
}

/* Time at which the initiator sends the next keepalive. It is due when nothing
   was received for a second, even while messages without a prompt response are
   sent, and when nothing was sent for a second, because the acceptor relies on
   regular traffic. */
static struct timespec
next_keepalive_time(const AprPeerLink_t *link)
{
    struct timespec last_contact =
        later(link->last_received, link->last_keepalive);

    return AprTime_AddMs(earlier(last_contact, link->last_sent),
                         KEEPALIVE_INTERVAL_MS);
}

/* Returns the time at which AprPeerLink_OnTimer next has something to do. */
struct timespec
AprPeerLink_NextDeadline(const AprPeerLink_t *link)
{
    struct timespec silence_deadline;

    if (link->state != APR_LINK_UP) {
        return link->state_deadline;
    }
    silence_deadline =
        AprTime_AddMs(link->last_received, silence_timeout_ms(link));
    return link->outbound
               ? earlier(silence_deadline, next_keepalive_time(link))
               : silence_deadline;
}

/* Returns APR_E_TIMEOUT when nothing was received for too long; else sends a
   keepalive on an outbound link if one is due. */
static int
check_liveness(AprPeerLink_t *link, struct timespec now)
{
    if (AprTime_DiffMs(now, link->last_received) >= silence_timeout_ms(link)) {
        AprMetric_Add(link->shared->counters.silence_timeouts, 1);
        return APR_E_TIMEOUT;
    }
    if (link->outbound && !AprTime_IsBefore(now, next_keepalive_time(link))) {
        AprSession_AppendKeepalive(link->session, false);
        link->last_sent = now;
        link->last_keepalive = now;
        return AprPeerLink_Write(link);
    }
    return APR_OK;
}

/* Handles an expired deadline: starts the next connect attempt, sends a
   keepalive, or returns APR_E_TIMEOUT for a handshake that took too long or a
   silent peer. */
int
AprPeerLink_OnTimer(AprPeerLink_t *link, struct timespec now)
{
    if (AprTime_IsBefore(now, AprPeerLink_NextDeadline(link))) {
        return APR_OK;
    }
    switch (link->state) {
    case APR_LINK_BACKOFF:
        return AprPeerLink_Connect(link);
    case APR_LINK_CONNECTING:
    case APR_LINK_HANDSHAKE:
        AprMetric_Add(link->shared->counters.handshake_timeouts, 1);
        return APR_E_TIMEOUT;
    case APR_LINK_UP:
        AprSession_ReleaseEmptyBuffers(link->session);
        return check_liveness(link, now);
    default:
        return APR_OK;
    }
}

static void
schedule_reconnect(AprPeerLink_t *link)
{
    link->state = APR_LINK_BACKOFF;
    link->state_deadline = AprTime_AddMs(time_now(link), link->backoff_ms);
    link->backoff_ms = link->backoff_ms * 2 > MAX_BACKOFF_MS
                           ? MAX_BACKOFF_MS
                           : link->backoff_ms * 2;
}

/* Ends a connection or a connect attempt. Unwritten messages are reported as
   undelivered before `on_down`, so that the owner can tell them from messages
   that may have arrived. */
void
AprPeerLink_Disconnect(AprPeerLink_t *link, int reason)
{
    AprPeerShared_t *shared = link->shared;
    bool was_up = link->state == APR_LINK_UP;
    AprMessage_t *message;

    AprLog_Write(was_up ? APR_LOG_INFO : APR_LOG_DEBUG, "peer-down",
                 "peer=%s outbound=%d reason=%s",
                 was_up ? AprSession_PeerIdentity(link->session)->host : "",
                 link->outbound, AprError_Name(reason));
    close_connection(link);
    while ((message = pop_unwritten(link)) != NULL) {
        AprPeerLink_ReturnUndelivered(shared, link->handle, message);
    }
    if (was_up) {
        AprMetric_Add(shared->counters.links_up, -1);
        shared->callbacks.on_down(shared->callbacks.context, link->handle);
    }
    else if (link->outbound) {
        AprMetric_Add(shared->counters.failed_connects, 1);
    }
    if (link->outbound) {
        schedule_reconnect(link);
    }
    else {
        link->state = APR_LINK_CLOSED;
    }
}
