#include "standins/lib/relay.h"

#include <errno.h>
#include <poll.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include "apricot/record.h"
#include "internal/peer_address.h"

#define MAX_PAIRS 256
#define FLOW_BUFFER_BYTES (64 * 1024)
#define LISTEN_BACKLOG 64
#define FIRST_PAIR_FD 2 /* index after the wake-up event and the listener */

/* Buffer for one direction of a pair: bytes read from one socket and not yet
   written to the other. */
typedef struct Flow_t {
    uint8_t bytes[FLOW_BUFFER_BYTES];
    size_t start;
    size_t end;
    bool sender_closed;      /* end of stream was read */
    bool receiver_shut_down; /* end of stream was passed on */
} Flow_t;

/* A relayed connection: fds[0] is accepted, fds[1] is connected to the target.
   Flow i goes from fds[i] to fds[1 - i]. */
typedef struct Pair_t {
    int fds[2];
    Flow_t flows[2];
} Pair_t;

struct AprRelay_t {
    AprPeerAddress_t to;
    char address[APR_ADDRESS_SIZE];
    int listen_fd;
    int wake_fd;
    atomic_bool cut;
    atomic_bool stopping;
    pthread_t thread;
    int pair_count;
    Pair_t *pairs[MAX_PAIRS];
};

/* Closes a pair and moves the last pair into its place. */
static void
close_pair(AprRelay_t *relay, int index)
{
    Pair_t *pair = relay->pairs[index];

    close(pair->fds[0]);
    close(pair->fds[1]);
    free(pair);
    relay->pairs[index] = relay->pairs[--relay->pair_count];
}

/* Accepts a connection and starts to connect to the target. The connection is
   closed if that fails or if MAX_PAIRS are open. */
static void
accept_pair(AprRelay_t *relay)
{
    int from =
        accept4(relay->listen_fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
    Pair_t *pair;
    int to;

    if (from < 0) {
        return;
    }
    to = AprPeerAddress_OpenSocket(&relay->to);
    pair = calloc(1, sizeof(*pair));
    if (to < 0 || pair == NULL || relay->pair_count == MAX_PAIRS ||
        (connect(to, (struct sockaddr *)&relay->to.storage, relay->to.size) !=
             0 &&
         errno != EINPROGRESS)) {
        close(from);
        if (to >= 0) {
            close(to);
        }
        free(pair);
        return;
    }
    pair->fds[0] = from;
    pair->fds[1] = to;
    relay->pairs[relay->pair_count++] = pair;
}

/* Reads into an empty buffer. Returns false if the socket failed. */
static bool
read_flow(Flow_t *flow, int fd)
{
    ssize_t count;

    if (flow->start != flow->end || flow->sender_closed) {
        return true;
    }
    count = recv(fd, flow->bytes, sizeof(flow->bytes), 0);
    if (count < 0) {
        return errno == EAGAIN || errno == EINTR;
    }
    flow->start = 0;
    flow->end = (size_t)count;
    flow->sender_closed = count == 0;
    return true;
}

/* Writes the buffer to the other socket and passes on the end of the stream.
   Returns false if the socket failed. */
static bool
write_flow(Flow_t *flow, int fd)
{
    while (flow->start < flow->end) {
        ssize_t count = send(fd, flow->bytes + flow->start,
                             flow->end - flow->start, MSG_NOSIGNAL);

        if (count < 0) {
            return errno == EAGAIN || errno == EINTR;
        }
        flow->start += (size_t)count;
    }
    if (flow->sender_closed && !flow->receiver_shut_down) {
        shutdown(fd, SHUT_WR);
        flow->receiver_shut_down = true;
    }
    return true;
}

/* Returns the events to poll for on one socket of a pair. */
static short
poll_events(const Pair_t *pair, int side)
{
    const Flow_t *out = &pair->flows[side];
    const Flow_t *in = &pair->flows[1 - side];
    short events = 0;

    if (out->start == out->end && !out->sender_closed) {
        events |= POLLIN;
    }
    if (in->start < in->end) {
        events |= POLLOUT;
    }
    return events;
}

/* Reads and writes what is possible without blocking. Returns false if the
   pair has ended or failed and must be closed. */
static bool
transfer_pair(Pair_t *pair, const struct pollfd *poll_results)
{
    for (int side = 0; side < 2; side++) {
        if ((poll_results[side].revents & POLLERR) != 0) {
            return false;
        }
        if ((poll_results[side].revents & (POLLIN | POLLHUP)) != 0 &&
            !read_flow(&pair->flows[side], pair->fds[side])) {
            return false;
        }
    }
    for (int side = 0; side < 2; side++) {
        /* Skips a flow that has had no data, because its receiver may still
           be connecting. */
        if (pair->flows[side].end > 0 || pair->flows[side].sender_closed) {
            if (!write_flow(&pair->flows[side], pair->fds[1 - side])) {
                return false;
            }
        }
    }
    return !pair->flows[0].receiver_shut_down ||
           !pair->flows[1].receiver_shut_down;
}

static int
fill_poll_fds(AprRelay_t *relay, struct pollfd *fds)
{
    int count = FIRST_PAIR_FD;

    fds[0] = (struct pollfd){relay->wake_fd, POLLIN, 0};
    fds[1] = (struct pollfd){relay->listen_fd, POLLIN, 0};
    if (atomic_load(&relay->cut)) {
        return 1; /* poll the wake-up event only */
    }
    for (int i = 0; i < relay->pair_count; i++) {
        for (int side = 0; side < 2; side++) {
            Pair_t *pair = relay->pairs[i];
            short events = poll_events(pair, side);

            /* poll() ignores negative descriptors. It reports POLLHUP even
               when no events are requested, so a closed socket would make
               every call return at once. */
            fds[count++] =
                (struct pollfd){events == 0 ? -1 : pair->fds[side], events, 0};
        }
    }
    return count;
}

static void
clear_wake_event(AprRelay_t *relay)
{
    uint64_t count;

    while (read(relay->wake_fd, &count, sizeof(count)) < 0 && errno == EINTR) {
    }
}

static void *
run_relay(void *context)
{
    AprRelay_t *relay = context;
    struct pollfd fds[FIRST_PAIR_FD + 2 * MAX_PAIRS];

    while (!atomic_load(&relay->stopping)) {
        int count = fill_poll_fds(relay, fds);

        if (poll(fds, (nfds_t)count, -1) < 0) {
            continue;
        }
        if ((fds[0].revents & POLLIN) != 0) {
            clear_wake_event(relay);
            continue; /* `cut` or `stopping` may have changed */
        }
        /* Iterates backwards, because close_pair() moves the last pair into
           the place of the closed one. */
        for (int i = relay->pair_count - 1; i >= 0; i--) {
            if (!transfer_pair(relay->pairs[i], &fds[FIRST_PAIR_FD + 2 * i])) {
                close_pair(relay, i);
            }
        }
        if ((fds[1].revents & POLLIN) != 0) {
            accept_pair(relay);
        }
    }
    return NULL;
}

static int
open_listener(AprRelay_t *relay, const char *text)
{
    AprPeerAddress_t address;
    int one = 1;

    if (AprPeerAddress_Parse(text, &address) != APR_OK) {
        return APR_E_INVALID;
    }
    relay->listen_fd = AprPeerAddress_OpenSocket(&address);
    relay->wake_fd = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
    if (relay->listen_fd < 0 || relay->wake_fd < 0) {
        return APR_E_IO;
    }
    setsockopt(relay->listen_fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
    if (bind(relay->listen_fd, (struct sockaddr *)&address.storage,
             address.size) != 0 ||
        listen(relay->listen_fd, LISTEN_BACKLOG) != 0) {
        return APR_E_IO;
    }
    return AprPeerAddress_FormatLocal(relay->listen_fd, relay->address,
                                      sizeof(relay->address));
}

static void
free_relay(AprRelay_t *relay)
{
    while (relay->pair_count > 0) {
        close_pair(relay, 0);
    }
    if (relay->listen_fd >= 0) {
        close(relay->listen_fd);
    }
    if (relay->wake_fd >= 0) {
        close(relay->wake_fd);
    }
    free(relay);
}

/* Starts the relay and its thread. Returns NULL and sets `error` if an address
   is invalid, the listener cannot be opened or memory is short. */
AprRelay_t *
AprRelay_Start(const char *listen, const char *to, AprError_t *error)
{
    AprRelay_t *relay = calloc(1, sizeof(*relay));
    int status;

    if (relay == NULL) {
        AprError_Set(error, APR_E_NOMEM, APR_STEP_NONE, NULL, "out of memory");
        return NULL;
    }
    relay->listen_fd = -1;
    relay->wake_fd = -1;
    status = AprPeerAddress_Parse(to, &relay->to);
    if (status == APR_OK) {
        status = open_listener(relay, listen);
    }
    if (status == APR_OK &&
        pthread_create(&relay->thread, NULL, run_relay, relay) != 0) {
        status = APR_E_NOMEM;
    }
    if (status != APR_OK) {
        AprError_Set(error, status, APR_STEP_NONE, listen,
                     "cannot relay to %s: %s", to, AprError_Name(status));
        free_relay(relay);
        return NULL;
    }
    return relay;
}

static void
wake_thread(AprRelay_t *relay)
{
    uint64_t one = 1;

    while (write(relay->wake_fd, &one, sizeof(one)) < 0 && errno == EINTR) {
    }
}

/* Stops the thread, closes all connections and frees the relay. NULL is
   allowed. */
void
AprRelay_Stop(AprRelay_t *relay)
{
    if (relay == NULL) {
        return;
    }
    atomic_store(&relay->stopping, true);
    wake_thread(relay);
    pthread_join(relay->thread, NULL);
    free_relay(relay);
}

/* Returns "IP:port" of the listener. */
const char *
AprRelay_Address(const AprRelay_t *relay)
{
    return relay->address;
}

/* Stops relaying: data, closes and new connections wait until
   AprRelay_Restore. Thread safe. */
void
AprRelay_Cut(AprRelay_t *relay)
{
    atomic_store(&relay->cut, true);
    wake_thread(relay);
}

/* Relays again, including what has waited. Thread safe. */
void
AprRelay_Restore(AprRelay_t *relay)
{
    atomic_store(&relay->cut, false);
    wake_thread(relay);
}
