#include "apricot/peer_net.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "internal/peer_loop.h"

#define LISTEN_BACKLOG 256
#define COMMAND_RETRY_INTERVAL_US 1000

/* Allocates a slot and returns a new handle for it. Inbound and outbound links
   have separate limits, so that a flood of inbound connections does not
   prevent links to other hosts. */
AprLinkHandle_t
AprPeerSlots_Allocate(AprPeerSlots_t *slots, bool outbound)
{
    int limit = outbound ? APR_PEER_MAX_OUTBOUND : APR_PEER_MAX_INBOUND;
    AprLinkHandle_t link = APR_NO_LINK;

    pthread_mutex_lock(&slots->mutex);
    if (slots->used_count[outbound] < limit && slots->free_count > 0) {
        uint16_t slot = slots->free_slots[--slots->free_count];

        slots->used_count[outbound]++;
        link = (AprLinkHandle_t)slots->generations[slot]++ << 16 | slot;
    }
    pthread_mutex_unlock(&slots->mutex);
    return link;
}

/* Returns the slot of a link to the free slots. */
void
AprPeerSlots_Release(AprPeerSlots_t *slots, AprLinkHandle_t link,
                     bool outbound)
{
    pthread_mutex_lock(&slots->mutex);
    slots->used_count[outbound]--;
    slots->free_slots[slots->free_count++] = (uint16_t)(link & UINT16_MAX);
    pthread_mutex_unlock(&slots->mutex);
}

static void
init_slots(AprPeerSlots_t *slots)
{
    pthread_mutex_init(&slots->mutex, NULL);
    slots->free_count = APR_PEER_SLOT_COUNT;
    for (int i = 0; i < APR_PEER_SLOT_COUNT; i++) {
        slots->free_slots[i] = (uint16_t)(APR_PEER_SLOT_COUNT - 1 - i);
    }
}

static void
init_counters(AprPeerCounters_t *counters, AprMetrics_t *metrics)
{
    /* Errors that AprSession_NextEvent returns. */
    static const int codes[] = {APR_E_INVALID, APR_E_PARSE, APR_E_AUTH,
                                APR_E_REPLAY, APR_E_TOO_LARGE};
    char labels[64];

    counters->links_up = AprMetrics_RegisterGauge(
        metrics, "apricot_peer_links_up", NULL, "Peer links that are up");
    counters->messages_sent = AprMetrics_RegisterCounter(
        metrics, "apricot_peer_messages_total", "direction=\"sent\"",
        "Messages on peer links; sent ones at least in part");
    counters->messages_received = AprMetrics_RegisterCounter(
        metrics, "apricot_peer_messages_total", "direction=\"received\"", "");
    counters->bytes_sent = AprMetrics_RegisterCounter(
        metrics, "apricot_peer_bytes_total", "direction=\"sent\"",
        "Bytes on the sockets of peer links, with headers and handshakes");
    counters->bytes_received = AprMetrics_RegisterCounter(
        metrics, "apricot_peer_bytes_total", "direction=\"received\"", "");
    counters->messages_undelivered = AprMetrics_RegisterCounter(
        metrics, "apricot_peer_undelivered_total", NULL,
        "Messages of which no byte was written");
    counters->refused_half_open = AprMetrics_RegisterCounter(
        metrics, "apricot_peer_refused_total", "reason=\"half-open\"",
        "Connections refused because of a limit");
    counters->refused_link_limit = AprMetrics_RegisterCounter(
        metrics, "apricot_peer_refused_total", "reason=\"links\"", "");
    counters->failed_connects = AprMetrics_RegisterCounter(
        metrics, "apricot_peer_connect_failed_total", NULL,
        "Outbound attempts that did not come up");
    counters->handshake_timeouts = AprMetrics_RegisterCounter(
        metrics, "apricot_peer_timeouts_total", "reason=\"handshake\"",
        "Connections closed because of a time limit");
    counters->silence_timeouts = AprMetrics_RegisterCounter(
        metrics, "apricot_peer_timeouts_total", "reason=\"silence\"", "");
    for (size_t i = 0; i < sizeof(codes) / sizeof(codes[0]); i++) {
        snprintf(labels, sizeof(labels), "reason=\"%s\"",
                 AprError_Name(codes[i]));
        counters->bad_frames[-codes[i]] = AprMetrics_RegisterCounter(
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
    net->listen_fd = AprPeerAddress_OpenSocket(&address);
    if (net->listen_fd < 0) {
        return APR_E_IO;
    }
    /* Lets a restarted process bind the same address at once. */
    setsockopt(net->listen_fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
    if (bind(net->listen_fd, (struct sockaddr *)&address.storage,
             address.size) != 0 ||
        listen(net->listen_fd, LISTEN_BACKLOG) != 0) {
        return APR_E_IO;
    }
    return AprPeerAddress_FormatLocal(net->listen_fd, net->address,
                                      sizeof(net->address));
}

static int
init_shared(AprPeerNet_t *net, const AprPeerSettings_t *settings,
            const AprClock_t *clock, const AprPeerCallbacks_t *callbacks,
            AprMetrics_t *metrics)
{
    AprPeerShared_t *shared = &net->shared;

    if (strlen(settings->host) == 0 ||
        strlen(settings->host) >= sizeof(shared->identity.host)) {
        return APR_E_INVALID;
    }
    if (metrics == NULL) {
        metrics = net->owned_metrics = AprMetrics_New();
    }
    shared->peer_key = strdup(settings->peer_key);
    if (metrics == NULL || shared->peer_key == NULL) {
        return APR_E_NOMEM;
    }
    shared->callbacks = *callbacks;
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
        AprPeerLoop_FreeAll(net);
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
    AprMetrics_Free(net->owned_metrics);
    pthread_mutex_destroy(&net->slots.mutex);
    free(net);
}

/* Opens the listener and starts the peer thread. Copies the settings, `clock`
   and `callbacks`. `metrics` may be NULL; otherwise it must outlive the net.
   Returns NULL with the error set when the host name or the address is
   invalid, the address is in use or resources are missing. */
AprPeerNet_t *
AprPeerNet_Start(const AprPeerSettings_t *settings, const AprClock_t *clock,
                 const AprPeerCallbacks_t *callbacks, AprMetrics_t *metrics,
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
    net->commands = AprRing_New(APR_PEER_COMMAND_CAPACITY);
    status = net->commands == NULL ? APR_E_NOMEM : APR_OK;
    if (status == APR_OK) {
        status = init_shared(net, settings, clock, callbacks, metrics);
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
                     "cannot start the peer listener: %s",
                     AprError_Name(status));
        free_net(net);
        return NULL;
    }
    return net;
}

/* Ends the peer thread and frees the net with its links and queued messages.
   No callback runs after the return. Must not be called from a callback. NULL
   is allowed. */
void
AprPeerNet_Stop(AprPeerNet_t *net)
{
    AprPeerCommand_t *wake;

    if (net == NULL) {
        return;
    }
    atomic_store(&net->stopping, true);
    /* Closing APR_NO_LINK has no effect but to wake the thread. If the ring is
       full, the thread is awake already. */
    wake = calloc(1, sizeof(*wake));
    if (wake != NULL) {
        wake->kind = APR_PEER_COMMAND_CLOSE;
        wake->link = APR_NO_LINK;
        if (AprRing_Push(net->commands, wake) != APR_OK) {
            free(wake);
        }
    }
    pthread_join(net->thread, NULL);
    free_net(net);
}

/* Returns the listener's address as "IP:port", with the actual port when the
   settings gave port 0. Valid until AprPeerNet_Stop. */
const char *
AprPeerNet_ListenAddress(const AprPeerNet_t *net)
{
    return net->address;
}

/* Pushes a copy of a command to the peer thread. */
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

/* Opens an outbound link to "IP:port", which reconnects until it is closed.
   Returns APR_NO_LINK for an invalid address or when no slot is free, the
   command ring is full or memory runs out. */
AprLinkHandle_t
AprPeerNet_OpenLink(AprPeerNet_t *net, const char *address)
{
    AprPeerCommand_t command = {.kind = APR_PEER_COMMAND_OPEN};

    if (AprPeerAddress_Parse(address, &command.address) != APR_OK) {
        return APR_NO_LINK;
    }
    command.link = AprPeerSlots_Allocate(&net->slots, true);
    if (command.link != APR_NO_LINK && push_command(net, &command) != APR_OK) {
        AprPeerSlots_Release(&net->slots, command.link, true);
        return APR_NO_LINK;
    }
    return command.link;
}

/* Closes a link of either direction. Queued messages are reported as
   undelivered, then `on_down` is called if the link was up. Blocks until the
   command ring has room, because a lost close would leak the link. The peer
   thread, which empties the ring, does not block but marks the link to be
   closed. Does not wait until the link is closed, so callbacks for it may
   still follow. Unknown handles are ignored. */
void
AprPeerNet_CloseLink(AprPeerNet_t *net, AprLinkHandle_t link)
{
    AprPeerCommand_t command = {.kind = APR_PEER_COMMAND_CLOSE, .link = link};

    while (push_command(net, &command) != APR_OK &&
           !AprPeerLoop_RequestClose(net, link)) {
        usleep(COMMAND_RETRY_INTERVAL_US);
    }
}

/* Queues a message for a link and takes ownership of it on APR_OK. Returns
   APR_E_FULL when the link's queue or the command ring is full,
   APR_E_NOT_FOUND for a handle whose slot does not exist and APR_E_NOMEM; the
   caller then keeps the message. A message for a link that was closed or is in
   back-off is returned through the `on_undelivered` callback. */
int
AprPeerNet_Send(AprPeerNet_t *net, AprLinkHandle_t link, AprMessage_t *message)
{
    AprPeerCommand_t command = {
        .kind = APR_PEER_COMMAND_SEND, .link = link, .message = message};
    AprPeerBudget_t *budget;
    int status;

    if ((link & UINT16_MAX) >= APR_PEER_SLOT_COUNT) {
        return APR_E_NOT_FOUND;
    }
    budget = AprPeerLink_GetBudget(&net->shared, link);
    status = AprPeerBudget_Reserve(budget, message);
    if (status != APR_OK) {
        return status;
    }
    status = push_command(net, &command);
    if (status != APR_OK) {
        AprPeerBudget_Release(budget, message);
    }
    return status;
}
