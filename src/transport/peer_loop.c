#include "internal/peer_loop.h"

#include <errno.h>
#include <stdlib.h>
#include <sys/epoll.h>
#include <unistd.h>

#define MAX_EPOLL_EVENTS 256
#define MAX_EPOLL_WAIT_MS 1000
#define MAX_COMMANDS_PER_ROUND 1024
#define ACCEPT_PAUSE_MS 100
/* Epoll tokens that are never link handles, because the slot of a link is
   below APR_PEER_SLOT_COUNT. */
#define TOKEN_LISTENER UINT16_MAX
#define TOKEN_COMMANDS (UINT16_MAX - 1)

/* Net whose peer thread is the calling thread; NULL on other threads. */
static _Thread_local AprPeerNet_t *current_net;

static AprPeerLink_t *
find_link(AprPeerNet_t *net, AprLinkHandle_t handle)
{
    uint32_t slot = handle & UINT16_MAX;
    AprPeerLink_t *link = slot < APR_PEER_SLOT_COUNT ? net->links[slot] : NULL;

    return link != NULL && link->handle == handle ? link : NULL;
}

/* Has the loop write the output of a link at the end of its round. */
static void
request_flush(AprPeerNet_t *net, AprPeerLink_t *link)
{
    if (!link->flush_pending) {
        link->flush_pending = true;
        net->flush_pending[net->flush_pending_count++] = link;
    }
}

/* Lets the timers run no later than the deadline of a link. */
static void
schedule_timer(AprPeerNet_t *net, const AprPeerLink_t *link)
{
    struct timespec deadline = AprPeerLink_NextDeadline(link);

    if (AprTime_IsBefore(deadline, net->next_timer)) {
        net->next_timer = deadline;
    }
}

static void
set_epoll_events(AprPeerNet_t *net, int operation, int fd, uint32_t events,
                 uint32_t token)
{
    struct epoll_event event = {.events = events, .data.u32 = token};

    epoll_ctl(net->epoll_fd, operation, fd, &event);
}

static void
set_link_epoll_events(AprPeerNet_t *net, AprPeerLink_t *link, int operation)
{
    link->epollout_armed = link->needs_epollout;
    set_epoll_events(net, operation, link->fd,
                     link->needs_epollout ? EPOLLIN | EPOLLOUT : EPOLLIN,
                     link->handle);
}

static void
add_link(AprPeerNet_t *net, AprPeerLink_t *link)
{
    int slot = (int)(link->handle & UINT16_MAX);

    net->links[slot] = link;
    if (slot >= net->link_slot_end) {
        net->link_slot_end = slot + 1;
    }
}

static void
remove_link(AprPeerNet_t *net, AprPeerLink_t *link)
{
    if (link->flush_pending) {
        for (int i = 0; i < net->flush_pending_count; i++) {
            if (net->flush_pending[i] == link) {
                net->flush_pending[i] =
                    net->flush_pending[--net->flush_pending_count];
                break;
            }
        }
    }
    net->links[link->handle & UINT16_MAX] = NULL;
    AprPeerSlots_Release(&net->slots, link->handle, link->outbound);
    AprPeerLink_Free(link);
}

static bool
is_half_open(const AprPeerLink_t *link)
{
    return !link->outbound && link->state == APR_LINK_HANDSHAKE;
}

/* Ends the connection of a link; frees the link if it is inbound. */
static void
disconnect_link(AprPeerNet_t *net, AprPeerLink_t *link, int reason)
{
    if (is_half_open(link)) {
        net->half_open_count--;
    }
    AprPeerLink_Disconnect(link, reason);
    if (link->state == APR_LINK_CLOSED) {
        remove_link(net, link);
        return;
    }
    schedule_timer(net, link);
}

static void
connect_link(AprPeerNet_t *net, AprPeerLink_t *link)
{
    int status = AprPeerLink_Connect(link);

    if (status != APR_OK) {
        disconnect_link(net, link, status);
        return;
    }
    set_link_epoll_events(net, link, EPOLL_CTL_ADD);
    schedule_timer(net, link);
}

static void
flush_link(AprPeerNet_t *net, AprPeerLink_t *link)
{
    int status = AprPeerLink_Write(link);

    if (status != APR_OK) {
        disconnect_link(net, link, status);
    }
    else if (link->needs_epollout != link->epollout_armed) {
        set_link_epoll_events(net, link, EPOLL_CTL_MOD);
    }
}

static void
flush_pending_links(AprPeerNet_t *net)
{
    while (net->flush_pending_count > 0) {
        AprPeerLink_t *link = net->flush_pending[--net->flush_pending_count];

        link->flush_pending = false;
        /* If EPOLLOUT is armed, epoll triggers the next write. */
        if (!link->epollout_armed && (link->state == APR_LINK_HANDSHAKE ||
                                      link->state == APR_LINK_UP)) {
            flush_link(net, link);
        }
    }
}

static void
open_link(AprPeerNet_t *net, const AprPeerCommand_t *command)
{
    AprPeerLink_t *link = AprPeerLink_New(&net->shared, command->link, true);

    if (link == NULL) {
        AprPeerSlots_Release(&net->slots, command->link, true);
        return;
    }
    link->address = command->address;
    add_link(net, link);
    connect_link(net, link);
}

static void
close_link(AprPeerNet_t *net, AprLinkHandle_t handle)
{
    AprPeerLink_t *link = find_link(net, handle);

    if (link == NULL) {
        return;
    }
    if (is_half_open(link)) {
        net->half_open_count--;
    }
    AprPeerLink_Disconnect(link, APR_E_CLOSED);
    remove_link(net, link);
}

static void
run_command(AprPeerNet_t *net, const AprPeerCommand_t *command)
{
    AprPeerLink_t *link;

    switch (command->kind) {
    case APR_PEER_COMMAND_OPEN:
        open_link(net, command);
        break;
    case APR_PEER_COMMAND_CLOSE:
        close_link(net, command->link);
        break;
    case APR_PEER_COMMAND_SEND:
        link = find_link(net, command->link);
        if (link == NULL) {
            AprPeerLink_ReturnUndelivered(&net->shared, command->link,
                                          command->message);
            break;
        }
        AprPeerLink_QueueMessage(link, command->message);
        request_flush(net, link);
        break;
    }
}

static void
run_commands(AprPeerNet_t *net)
{
    AprPeerCommand_t *command;

    AprRing_ClearWake(net->commands);
    for (int i = 0; i < MAX_COMMANDS_PER_ROUND; i++) {
        command = AprRing_Pop(net->commands);
        if (command == NULL) {
            break;
        }
        run_command(net, command);
        free(command);
    }
}

/* Removes the listener from epoll for ACCEPT_PAUSE_MS. When file descriptors
   or memory have run out, accept fails and epoll would report the same
   connection again without delay. */
static void
pause_listener(AprPeerNet_t *net)
{
    set_epoll_events(net, EPOLL_CTL_DEL, net->listen_fd, 0, 0);
    net->listener_armed = false;
    net->listen_resume_time =
        AprTime_AddMs(AprClock_Now(&net->shared.clock), ACCEPT_PAUSE_MS);
    if (AprTime_IsBefore(net->listen_resume_time, net->next_timer)) {
        net->next_timer = net->listen_resume_time;
    }
}

static void
resume_listener(AprPeerNet_t *net)
{
    set_epoll_events(net, EPOLL_CTL_ADD, net->listen_fd, EPOLLIN,
                     TOKEN_LISTENER);
    net->listener_armed = true;
}

/* Allocates the handle of a new connection, or returns APR_NO_LINK if a limit
   is reached. The limits are checked before memory is allocated, so that a
   flood of connections costs little. */
static AprLinkHandle_t
allocate_inbound_handle(AprPeerNet_t *net)
{
    AprLinkHandle_t handle;

    if (net->half_open_count >= APR_PEER_MAX_HALF_OPEN) {
        AprMetric_Add(net->shared.counters.refused_half_open, 1);
        return APR_NO_LINK;
    }
    handle = AprPeerSlots_Allocate(&net->slots, false);
    if (handle == APR_NO_LINK) {
        AprMetric_Add(net->shared.counters.refused_link_limit, 1);
    }
    return handle;
}

/* Creates the link of an accepted socket, or closes the socket. */
static void
add_inbound_link(AprPeerNet_t *net, int fd)
{
    AprLinkHandle_t handle = allocate_inbound_handle(net);
    AprPeerLink_t *link;

    if (handle == APR_NO_LINK) {
        close(fd);
        return;
    }
    link = AprPeerLink_New(&net->shared, handle, false);
    if (link == NULL) {
        AprPeerSlots_Release(&net->slots, handle, false);
        close(fd);
        return;
    }
    add_link(net, link);
    if (AprPeerLink_AttachSocket(link, fd) != APR_OK) {
        remove_link(net, link);
        return;
    }
    net->half_open_count++;
    set_link_epoll_events(net, link, EPOLL_CTL_ADD);
    schedule_timer(net, link);
}

static void
accept_connections(AprPeerNet_t *net)
{
    for (int i = 0; i < APR_PEER_MAX_HALF_OPEN; i++) {
        int fd =
            accept4(net->listen_fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);

        if (fd >= 0) {
            add_inbound_link(net, fd);
            continue;
        }
        if (errno == EMFILE || errno == ENFILE || errno == ENOBUFS ||
            errno == ENOMEM) {
            pause_listener(net);
        }
        if (errno != EINTR && errno != ECONNABORTED) {
            return;
        }
    }
}

static void
handle_link_event(AprPeerNet_t *net, AprPeerLink_t *link, uint32_t events)
{
    bool was_half_open = is_half_open(link);
    int status = APR_OK;

    if (link->state == APR_LINK_CONNECTING) {
        flush_link(net, link);
        return;
    }
    if ((events & (EPOLLIN | EPOLLERR | EPOLLHUP)) != 0) {
        status = AprPeerLink_Read(link);
    }
    if (was_half_open && !is_half_open(link)) {
        net->half_open_count--;
    }
    if (status != APR_OK) {
        disconnect_link(net, link, status);
        return;
    }
    schedule_timer(net, link);
    if ((events & EPOLLOUT) != 0) {
        flush_link(net, link);
    }
    else {
        request_flush(net, link);
    }
}

static void
dispatch_epoll_event(AprPeerNet_t *net, const struct epoll_event *event)
{
    AprPeerLink_t *link;

    switch (event->data.u32) {
    case TOKEN_LISTENER:
        accept_connections(net);
        break;
    case TOKEN_COMMANDS:
        run_commands(net);
        break;
    default:
        link = find_link(net, event->data.u32);
        if (link != NULL && link->fd >= 0) {
            handle_link_event(net, link, event->events);
        }
        break;
    }
}

static void
run_link_timer(AprPeerNet_t *net, AprPeerLink_t *link, struct timespec now)
{
    bool was_in_backoff = link->state == APR_LINK_BACKOFF;
    int status = AprPeerLink_OnTimer(link, now);

    if (status != APR_OK) {
        disconnect_link(net, link, status);
        return;
    }
    if (was_in_backoff && link->state == APR_LINK_CONNECTING) {
        set_link_epoll_events(net, link, EPOLL_CTL_ADD);
    }
    else if (link->needs_epollout != link->epollout_armed) {
        set_link_epoll_events(net, link, EPOLL_CTL_MOD);
    }
    schedule_timer(net, link);
}

/* Checks all links once next_timer has passed, then sets it anew. Received
   data moves the deadline of its link without an update of next_timer, so a
   check may find that nothing is due yet. */
static void
run_timers(AprPeerNet_t *net, struct timespec now)
{
    if (AprTime_IsBefore(now, net->next_timer)) {
        return;
    }
    net->next_timer = AprTime_AddMs(now, MAX_EPOLL_WAIT_MS);
    if (!net->listener_armed) {
        if (!AprTime_IsBefore(now, net->listen_resume_time)) {
            resume_listener(net);
        }
        else if (AprTime_IsBefore(net->listen_resume_time, net->next_timer)) {
            net->next_timer = net->listen_resume_time;
        }
    }
    for (int slot = 0; slot < net->link_slot_end; slot++) {
        AprPeerLink_t *link = net->links[slot];

        if (link != NULL && link->close_requested) {
            close_link(net, link->handle);
        }
        else if (link != NULL) {
            run_link_timer(net, link, now);
        }
    }
}

static int
epoll_timeout_ms(AprPeerNet_t *net)
{
    int64_t ms;

    if (AprRing_Size(net->commands) > 0) {
        return 0;
    }
    ms = AprTime_DiffMs(net->next_timer, AprClock_Now(&net->shared.clock)) + 1;
    if (ms < 0) {
        return 0;
    }
    return ms > MAX_EPOLL_WAIT_MS ? MAX_EPOLL_WAIT_MS : (int)ms;
}

/* Creates the epoll instance and registers the listener and the command ring.
   Returns APR_E_IO on failure. */
int
AprPeerLoop_Init(AprPeerNet_t *net)
{
    net->epoll_fd = epoll_create1(EPOLL_CLOEXEC);
    if (net->epoll_fd < 0) {
        return APR_E_IO;
    }
    net->next_timer = AprClock_Now(&net->shared.clock);
    resume_listener(net);
    set_epoll_events(net, EPOLL_CTL_ADD, AprRing_WakeFd(net->commands),
                     EPOLLIN, TOKEN_COMMANDS);
    return APR_OK;
}

/* Start routine of the peer thread. Sockets are read before timers run: after
   a pause of this process, data that peers sent during the pause must be read
   before their silence is measured. */
void *
AprPeerLoop_Run(void *context)
{
    AprPeerNet_t *net = context;
    struct epoll_event events[MAX_EPOLL_EVENTS];

    current_net = net;
    while (!atomic_load(&net->stopping)) {
        int count = epoll_wait(net->epoll_fd, events, MAX_EPOLL_EVENTS,
                               epoll_timeout_ms(net));

        for (int i = 0; i < count; i++) {
            dispatch_epoll_event(net, &events[i]);
        }
        if (AprRing_Size(net->commands) > 0) {
            run_commands(net);
        }
        run_timers(net, AprClock_Now(&net->shared.clock));
        flush_pending_links(net);
    }
    return NULL;
}

/* Marks a link so that the loop closes it later, because a callback that
   closes its own link must not free it at once. Returns false on any thread
   other than the peer thread. */
bool
AprPeerLoop_RequestClose(AprPeerNet_t *net, AprLinkHandle_t handle)
{
    AprPeerLink_t *link;

    if (current_net != net) {
        return false;
    }
    link = find_link(net, handle);
    if (link != NULL) {
        link->close_requested = true;
        net->next_timer = AprClock_Now(&net->shared.clock);
    }
    return true;
}

/* Frees the remaining links and commands without callbacks. */
void
AprPeerLoop_FreeAll(AprPeerNet_t *net)
{
    AprPeerCommand_t *command;

    while ((command = AprRing_Pop(net->commands)) != NULL) {
        AprMessage_Free(command->message);
        free(command);
    }
    for (int slot = 0; slot < APR_PEER_SLOT_COUNT; slot++) {
        if (net->links[slot] != NULL) {
            AprPeerLink_Free(net->links[slot]);
        }
    }
}
