#include "apricot/peer_net.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "internal/peer_loop.h"

#define LISTEN_BACKLOG 256
#define COMMAND_RETRY_US 1000

/* Takes a free slot and gives its next handle. Inbound and outbound links
   have limits of their own, so that a flood of connections leaves room to
   reach other hosts. */
AprLink_t
AprPeerSlots_Take(AprPeerSlots_t *slots, bool outbound)
{
    int limit = outbound ? APR_PEER_MAX_OUTBOUND : APR_PEER_MAX_INBOUND;
    AprLink_t link = APR_NO_LINK;

    pthread_mutex_lock(&slots->mutex);
    if (slots->used[outbound] < limit && slots->free_count > 0) {
        uint16_t slot = slots->free_slots[--slots->free_count];

        slots->used[outbound]++;
        link = (AprLink_t)slots->generations[slot]++ << 16 | slot;
    }
    pthread_mutex_unlock(&slots->mutex);
    return link;
}

/* Gives a slot back. */
void
AprPeerSlots_Release(AprPeerSlots_t *slots, AprLink_t link, bool outbound)
{
    pthread_mutex_lock(&slots->mutex);
    slots->used[outbound]--;
    slots->free_slots[slots->free_count++] = (uint16_t)(link & UINT16_MAX);
    pthread_mutex_unlock(&slots->mutex);
}

static void
init_slots(AprPeerSlots_t *slots)
{
    pthread_mutex_init(&slots->mutex, NULL);
    slots->free_count = APR_PEER_SLOTS;
    for (int i = 0; i < APR_PEER_SLOTS; i++) {
        slots->free_slots[i] = (uint16_t)(APR_PEER_SLOTS - 1 - i);
    }
}

static void
init_counters(AprPeerCounters_t *counters, AprMetrics_t *metrics)
{
    /* What AprSession_Next returns. */
    static const int codes[] = {APR_E_INVALID, APR_E_PARSE, APR_E_AUTH,
                                APR_E_REPLAY, APR_E_TOO_LARGE};
    char labels[64];

    counters->links_up = AprMetrics_Gauge(metrics, "apricot_peer_links_up",
                                          NULL, "Peer links that are up");
    counters->sent = AprMetrics_Counter(
        metrics, "apricot_peer_messages_total", "direction=\"sent\"",
        "Messages on peer links; sent ones at least in part");
    counters->received = AprMetrics_Counter(
        metrics, "apricot_peer_messages_total", "direction=\"received\"", "");
    counters->bytes_sent = AprMetrics_Counter(
        metrics, "apricot_peer_bytes_total", "direction=\"sent\"",
        "Bytes on the sockets of peer links, with headers and handshakes");
    counters->bytes_received = AprMetrics_Counter(
        metrics, "apricot_peer_bytes_total", "direction=\"received\"", "");
    counters->undelivered =
        AprMetrics_Counter(metrics, "apricot_peer_undelivered_total", NULL,
                           "Messages of which no byte was written");
    counters->refused_half_open = AprMetrics_Counter(
        metrics, "apricot_peer_refused_total", "reason=\"half-open\"",
        "Connections refused because of a limit");
    counters->refused_limit = AprMetrics_Counter(
        metrics, "apricot_peer_refused_total", "reason=\"links\"", "");
    counters->connect_failed =
        AprMetrics_Counter(metrics, "apricot_peer_connect_failed_total", NULL,
                           "Outbound attempts that did not come up");
    counters->handshake_timeout = AprMetrics_Counter(
        metrics, "apricot_peer_timeouts_total", "reason=\"handshake\"",
        "Connections closed because of a time limit");
    counters->silent = AprMetrics_Counter(
        metrics, "apricot_peer_timeouts_total", "reason=\"silence\"", "");
    for (size_t i = 0; i < sizeof(codes) / sizeof(codes[0]); i++) {
        snprintf(labels, sizeof(labels), "reason=\"%s\"",
                 AprError_Name(codes[i]));
        counters->bad[-codes[i]] = AprMetrics_Counter(
            metrics, "apricot_peer_bad_frames_total", labels,
            "Connections closed because of what the peer sent");
    }
}

static int
open_listener(AprPeerNet_t *net, const char *text)
{
    AprPeerAddress_t address;
    int one = 1;

    if (AprPeerAddress_Parse(text, &address) != APR_OK) {
        return APR_E_INVALID;
    }
    net->listen_fd = AprPeerAddress_Socket(&address);
    if (net->listen_fd < 0) {
        return APR_E_IO;
    }
    /* A restarted process takes its address again at once. */
    setsockopt(net->listen_fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
    if (bind(net->listen_fd, (struct sockaddr *)&address.storage,
             address.size) != 0 ||
        listen(net->listen_fd, LISTEN_BACKLOG) != 0) {
        return APR_E_IO;
    }
    return AprPeerAddress_OfSocket(net->listen_fd, net->address,
                                   sizeof(net->address));
}

static int
init_shared(AprPeerNet_t *net, const AprPeerSettings_t *settings,
            const AprClock_t *clock, const AprPeerEvents_t *events,
            AprMetrics_t *metrics)
{
    AprPeerShared_t *shared = &net->shared;

    if (strlen(settings->host) == 0 ||
        strlen(settings->host) >= sizeof(shared->identity.host)) {
        return APR_E_INVALID;
    }
    if (metrics == NULL) {
        metrics = net->own_metrics = AprMetrics_New();
    }
    shared->peer_key = strdup(settings->peer_key);
    if (metrics == NULL || shared->peer_key == NULL) {
        return APR_E_NOMEM;
    }
    shared->events = *events;
    shared->clock = *clock;
    strcpy(shared->identity.host, settings->host);
    shared->identity.incarnation = settings->incarnation;
    shared->budgets = net->budgets;
    init_counters(&shared->counters, metrics);
    return APR_OK;
}

static void
free_net(AprPeerNet_t *net)
{
    if (net->commands != NULL) {
        AprPeerLoop_Clear(net);
    }
    if (net->listen_fd >= 0) {
        close(net->listen_fd);
    }
    if (net->epoll_fd >= 0) {
        close(net->epoll_fd);
    }
    AprRing_Free(net->commands);
    if (net->shared.peer_key != NULL) {
        explicit_bzero(net->shared.peer_key, strlen(net->shared.peer_key));
    }
    free(net->shared.peer_key);
    AprMetrics_Free(net->own_metrics);
    pthread_mutex_destroy(&net->slots.mutex);
    free(net);
}

/* Listens and starts the thread. `clock` and `events` are copied. `metrics`
   may be NULL. Returns NULL with the error set when the address is invalid or
   taken, or resources are missing. */
AprPeerNet_t *
AprPeerNet_Start(const AprPeerSettings_t *settings, const AprClock_t *clock,
                 const AprPeerEvents_t *events, AprMetrics_t *metrics,
                 AprError_t *error)
{
    AprPeerNet_t *net = calloc(1, sizeof(*net));
    int status;

    if (net == NULL) {
        AprError_Set(error, APR_E_NOMEM, APR_STEP_PEER, NULL, "out of memory");
        return NULL;
    }
    net->listen_fd = -1;
    net->epoll_fd = -1;
    init_slots(&net->slots);
    net->commands = AprRing_New(APR_PEER_COMMANDS);
    status = net->commands == NULL ? APR_E_NOMEM : APR_OK;
    if (status == APR_OK) {
        status = init_shared(net, settings, clock, events, metrics);
    }
    if (status == APR_OK) {
        status = open_listener(net, settings->listen);
    }
    if (status == APR_OK) {
        status = AprPeerLoop_Init(net);
    }
    if (status == APR_OK &&
        pthread_create(&net->thread, NULL, AprPeerLoop_Run, net) != 0) {
        status = APR_E_NOMEM;
    }
    if (status != APR_OK) {
        AprError_Set(error, status, APR_STEP_PEER, settings->listen,
                     "the peer listener cannot start: %s",
                     AprError_Name(status));
        free_net(net);
        return NULL;
    }
    return net;
}

/* Ends the thread and frees everything. No event is reported any more after
   the return; messages still queued are freed. Not to be called from a
   callback. NULL is allowed. */
void
AprPeerNet_Stop(AprPeerNet_t *net)
{
    AprPeerCommand_t *wake;

    if (net == NULL) {
        return;
    }
    atomic_store(&net->stopping, true);
    /* A close of no link only wakes the thread; a full ring does so too. */
    wake = calloc(1, sizeof(*wake));
    if (wake != NULL) {
        wake->kind = APR_PEER_CLOSE;
        wake->link = APR_NO_LINK;
        if (AprRing_Push(net->commands, wake) != APR_OK) {
            free(wake);
        }
    }
    pthread_join(net->thread, NULL);
    free_net(net);
}

/* "IP:port" with the port that was picked. Valid until Stop. */
const char *
AprPeerNet_Address(const AprPeerNet_t *net)
{
    return net->address;
}

static int
push_command(AprPeerNet_t *net, const AprPeerCommand_t *command)
{
    AprPeerCommand_t *copy = malloc(sizeof(*copy));
    int status;

    if (copy == NULL) {
        return APR_E_NOMEM;
    }
    *copy = *command;
    status = AprRing_Push(net->commands, copy);
    if (status != APR_OK) {
        free(copy);
    }
    return status;
}

/* Opens a link to "IP:port" and keeps it connected. Returns APR_NO_LINK for
   an invalid address or when there is no room. */
AprLink_t
AprPeerNet_Open(AprPeerNet_t *net, const char *address)
{
    AprPeerCommand_t command = {.kind = APR_PEER_OPEN};

    if (AprPeerAddress_Parse(address, &command.address) != APR_OK) {
        return APR_NO_LINK;
    }
    command.link = AprPeerSlots_Take(&net->slots, true);
    if (command.link != APR_NO_LINK && push_command(net, &command) != APR_OK) {
        AprPeerSlots_Release(&net->slots, command.link, true);
        return APR_NO_LINK;
    }
    return command.link;
}

/* Closes a link of either direction. Queued messages are reported as
   undelivered, then `down` if the link was up. Waits while the command ring is
   full, because a close that is lost would keep the link forever; on the peer
   thread, which empties the ring, the link is marked instead. Unknown links
   are ignored. */
void
AprPeerNet_Close(AprPeerNet_t *net, AprLink_t link)
{
    AprPeerCommand_t command = {.kind = APR_PEER_CLOSE, .link = link};

    while (push_command(net, &command) != APR_OK &&
           !AprPeerLoop_RequestClose(net, link)) {
        usleep(COMMAND_RETRY_US);
    }
}

/* Queues a message for a link. Returns APR_E_FULL when the link's queue or
   the command ring is full, APR_E_NOT_FOUND for a handle that was never given
   out; the message then stays with the caller. A message for a link that is
   gone, or whose last connect failed, comes back by `undelivered`. */
int
AprPeerNet_Send(AprPeerNet_t *net, AprLink_t link, AprMessage_t *message)
{
    AprPeerCommand_t command = {
        .kind = APR_PEER_SEND, .link = link, .message = message};
    AprPeerBudget_t *budget;
    int status;

    if ((link & UINT16_MAX) >= APR_PEER_SLOTS) {
        return APR_E_NOT_FOUND;
    }
    budget = AprPeerLink_Budget(&net->shared, link);
    status = AprPeerBudget_Take(budget, message);
    if (status != APR_OK) {
        return status;
    }
    status = push_command(net, &command);
    if (status != APR_OK) {
        AprPeerBudget_Return(budget, message);
    }
    return status;
}
