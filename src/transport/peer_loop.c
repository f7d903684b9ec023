#include "internal/peer_loop.h"

#include <errno.h>
#include <stdlib.h>
#include <sys/epoll.h>
#include <unistd.h>

#define MAX_EVENTS 256
#define MAX_WAIT_MS 1000
#define MAX_COMMANDS 1024
#define ACCEPT_PAUSE_MS 100
/* Never the handles of links, which have a slot below APR_PEER_SLOTS. */
#define TOKEN_LISTENER UINT16_MAX
#define TOKEN_COMMANDS (UINT16_MAX - 1)

/* The net whose peer thread this is. */
static _Thread_local AprPeerNet_t *current_net;

static AprPeerLink_t *
find_link(AprPeerNet_t *net, AprLink_t handle)
{
    uint32_t slot = handle & UINT16_MAX;
    AprPeerLink_t *link = slot < APR_PEER_SLOTS ? net->links[slot] : NULL;

    return link != NULL && link->handle == handle ? link : NULL;
}

static void
mark_dirty(AprPeerNet_t *net, AprPeerLink_t *link)
{
    if (!link->dirty) {
        link->dirty = true;
        net->dirty[net->dirty_count++] = link;
    }
}

static void
note_deadline(AprPeerNet_t *net, const AprPeerLink_t *link)
{
    struct timespec deadline = AprPeerLink_Deadline(link);

    if (AprTime_Before(deadline, net->next_timer)) {
        net->next_timer = deadline;
    }
}

static void
watch(AprPeerNet_t *net, int operation, int fd, uint32_t events,
      uint32_t token)
{
    struct epoll_event event = {.events = events, .data.u32 = token};

    epoll_ctl(net->epoll_fd, operation, fd, &event);
}

static void
watch_link(AprPeerNet_t *net, AprPeerLink_t *link, int operation)
{
    link->armed_write = link->wants_write;
    watch(net, operation, link->fd,
          link->wants_write ? EPOLLIN | EPOLLOUT : EPOLLIN, link->handle);
}

static void
add_link(AprPeerNet_t *net, AprPeerLink_t *link)
{
    int slot = (int)(link->handle & UINT16_MAX);

    net->links[slot] = link;
    if (slot >= net->link_end) {
        net->link_end = slot + 1;
    }
}

static void
remove_link(AprPeerNet_t *net, AprPeerLink_t *link)
{
    if (link->dirty) {
        for (int i = 0; i < net->dirty_count; i++) {
            if (net->dirty[i] == link) {
                net->dirty[i] = net->dirty[--net->dirty_count];
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

static void
break_link(AprPeerNet_t *net, AprPeerLink_t *link, int reason)
{
    if (is_half_open(link)) {
        net->half_open--;
    }
    AprPeerLink_Break(link, reason);
    if (link->state == APR_LINK_DEAD) {
        remove_link(net, link);
        return;
    }
    note_deadline(net, link);
}

static void
connect_link(AprPeerNet_t *net, AprPeerLink_t *link)
{
    int status = AprPeerLink_Connect(link);

    if (status != APR_OK) {
        break_link(net, link, status);
        return;
    }
    watch_link(net, link, EPOLL_CTL_ADD);
    note_deadline(net, link);
}

static void
flush_link(AprPeerNet_t *net, AprPeerLink_t *link)
{
    int status = AprPeerLink_Write(link);

    if (status != APR_OK) {
        break_link(net, link, status);
    }
    else if (link->wants_write != link->armed_write) {
        watch_link(net, link, EPOLL_CTL_MOD);
    }
}

static void
flush_dirty(AprPeerNet_t *net)
{
    while (net->dirty_count > 0) {
        AprPeerLink_t *link = net->dirty[--net->dirty_count];

        link->dirty = false;
        /* While epoll waits for room in the socket there is nothing to try. */
        if (!link->armed_write && (link->state == APR_LINK_HANDSHAKE ||
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
close_link(AprPeerNet_t *net, AprLink_t handle)
{
    AprPeerLink_t *link = find_link(net, handle);

    if (link == NULL) {
        return;
    }
    if (is_half_open(link)) {
        net->half_open--;
    }
    AprPeerLink_Break(link, APR_E_CLOSED);
    remove_link(net, link);
}

static void
run_command(AprPeerNet_t *net, const AprPeerCommand_t *command)
{
    AprPeerLink_t *link;

    switch (command->kind) {
    case APR_PEER_OPEN:
        open_link(net, command);
        break;
    case APR_PEER_CLOSE:
        close_link(net, command->link);
        break;
    case APR_PEER_SEND:
        link = find_link(net, command->link);
        if (link == NULL) {
            AprPeerLink_Reject(&net->shared, command->link, command->message);
            break;
        }
        AprPeerLink_Queue(link, command->message);
        mark_dirty(net, link);
        break;
    }
}

static void
run_commands(AprPeerNet_t *net)
{
    AprPeerCommand_t *command;

    AprRing_ClearWake(net->commands);
    for (int i = 0; i < MAX_COMMANDS; i++) {
        command = AprRing_Pop(net->commands);
        if (command == NULL) {
            break;
        }
        run_command(net, command);
        free(command);
    }
}

/* Without a file descriptor or memory to spare, the listener would report the
   same connection without end; it is left alone for a moment. */
static void
pause_listener(AprPeerNet_t *net)
{
    watch(net, EPOLL_CTL_DEL, net->listen_fd, 0, 0);
    net->listening = false;
    net->listen_again =
        AprTime_AddMs(AprClock_Now(&net->shared.clock), ACCEPT_PAUSE_MS);
    if (AprTime_Before(net->listen_again, net->next_timer)) {
        net->next_timer = net->listen_again;
    }
}

static void
resume_listener(AprPeerNet_t *net)
{
    watch(net, EPOLL_CTL_ADD, net->listen_fd, EPOLLIN, TOKEN_LISTENER);
    net->listening = true;
}

/* Refuses before anything is allocated, so that a flood of connections costs
   little. */
static AprLink_t
admit(AprPeerNet_t *net)
{
    AprLink_t handle;

    if (net->half_open >= APR_PEER_MAX_HALF_OPEN) {
        AprMetric_Add(net->shared.counters.refused_half_open, 1);
        return APR_NO_LINK;
    }
    handle = AprPeerSlots_Take(&net->slots, false);
    if (handle == APR_NO_LINK) {
        AprMetric_Add(net->shared.counters.refused_limit, 1);
    }
    return handle;
}

static void
accept_link(AprPeerNet_t *net, int fd)
{
    AprLink_t handle = admit(net);
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
    if (AprPeerLink_Accept(link, fd) != APR_OK) {
        remove_link(net, link);
        return;
    }
    net->half_open++;
    watch_link(net, link, EPOLL_CTL_ADD);
    note_deadline(net, link);
}

static void
accept_all(AprPeerNet_t *net)
{
    for (int i = 0; i < APR_PEER_MAX_HALF_OPEN; i++) {
        int fd =
            accept4(net->listen_fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);

        if (fd >= 0) {
            accept_link(net, fd);
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
on_link_event(AprPeerNet_t *net, AprPeerLink_t *link, uint32_t events)
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
        net->half_open--;
    }
    if (status != APR_OK) {
        break_link(net, link, status);
        return;
    }
    note_deadline(net, link);
    if ((events & EPOLLOUT) != 0) {
        flush_link(net, link);
    }
    else {
        mark_dirty(net, link);
    }
}

static void
on_event(AprPeerNet_t *net, const struct epoll_event *event)
{
    AprPeerLink_t *link;

    switch (event->data.u32) {
    case TOKEN_LISTENER:
        accept_all(net);
        break;
    case TOKEN_COMMANDS:
        run_commands(net);
        break;
    default:
        link = find_link(net, event->data.u32);
        if (link != NULL && link->fd >= 0) {
            on_link_event(net, link, event->events);
        }
        break;
    }
}

static void
run_timer(AprPeerNet_t *net, AprPeerLink_t *link, struct timespec now)
{
    bool was_waiting = link->state == APR_LINK_BACKOFF;
    int status = AprPeerLink_OnTimer(link, now);

    if (status != APR_OK) {
        break_link(net, link, status);
        return;
    }
    if (was_waiting && link->state == APR_LINK_CONNECTING) {
        watch_link(net, link, EPOLL_CTL_ADD);
    }
    else if (link->wants_write != link->armed_write) {
        watch_link(net, link, EPOLL_CTL_MOD);
    }
    note_deadline(net, link);
}

/* Looks at all links when the earliest deadline has passed. Deadlines that
   moved later meanwhile are found here, not at each receipt. */
static void
run_timers(AprPeerNet_t *net, struct timespec now)
{
    if (AprTime_Before(now, net->next_timer)) {
        return;
    }
    net->next_timer = AprTime_AddMs(now, MAX_WAIT_MS);
    if (!net->listening) {
        if (!AprTime_Before(now, net->listen_again)) {
            resume_listener(net);
        }
        else if (AprTime_Before(net->listen_again, net->next_timer)) {
            net->next_timer = net->listen_again;
        }
    }
    for (int slot = 0; slot < net->link_end; slot++) {
        AprPeerLink_t *link = net->links[slot];

        if (link != NULL && link->closing) {
            close_link(net, link->handle);
        }
        else if (link != NULL) {
            run_timer(net, link, now);
        }
    }
}

static int
wait_ms(AprPeerNet_t *net)
{
    int64_t ms;

    if (AprRing_Size(net->commands) > 0) {
        return 0;
    }
    ms = AprTime_DiffMs(net->next_timer, AprClock_Now(&net->shared.clock)) + 1;
    if (ms < 0) {
        return 0;
    }
    return ms > MAX_WAIT_MS ? MAX_WAIT_MS : (int)ms;
}

/* Prepares what the thread waits for. */
int
AprPeerLoop_Init(AprPeerNet_t *net)
{
    net->epoll_fd = epoll_create1(EPOLL_CLOEXEC);
    if (net->epoll_fd < 0) {
        return APR_E_IO;
    }
    net->next_timer = AprClock_Now(&net->shared.clock);
    resume_listener(net);
    watch(net, EPOLL_CTL_ADD, AprRing_Fd(net->commands), EPOLLIN,
          TOKEN_COMMANDS);
    return APR_OK;
}

/* The peer thread. Sockets come before timers: after a pause of this process,
   what the peers sent meanwhile counts before silence is judged. */
void *
AprPeerLoop_Run(void *context)
{
    AprPeerNet_t *net = context;
    struct epoll_event events[MAX_EVENTS];

    current_net = net;
    while (!atomic_load(&net->stopping)) {
        int count =
            epoll_wait(net->epoll_fd, events, MAX_EVENTS, wait_ms(net));

        for (int i = 0; i < count; i++) {
            on_event(net, &events[i]);
        }
        if (AprRing_Size(net->commands) > 0) {
            run_commands(net);
        }
        run_timers(net, AprClock_Now(&net->shared.clock));
        flush_dirty(net);
    }
    return NULL;
}

/* Marks a link to be closed by the loop, because a callback that closes its
   own link must not free it at once. */
bool
AprPeerLoop_RequestClose(AprPeerNet_t *net, AprLink_t handle)
{
    AprPeerLink_t *link;

    if (current_net != net) {
        return false;
    }
    link = find_link(net, handle);
    if (link != NULL) {
        link->closing = true;
        net->next_timer = AprClock_Now(&net->shared.clock);
    }
    return true;
}

/* Frees links and commands without events. */
void
AprPeerLoop_Clear(AprPeerNet_t *net)
{
    AprPeerCommand_t *command;

    while ((command = AprRing_Pop(net->commands)) != NULL) {
        AprMessage_Free(command->message);
        free(command);
    }
    for (int slot = 0; slot < APR_PEER_SLOTS; slot++) {
        if (net->links[slot] != NULL) {
            AprPeerLink_Free(net->links[slot]);
        }
    }
}
