#include "internal/stream.h"

#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include "apricot/error.h"
#include "internal/peer_address.h"

#define READ_CHUNK_SIZE 32768
#define LISTEN_BACKLOG 1024

/* A connection fails when sent bytes or keep-alive probes stay unacknowledged
   for this time; a network partition that heals sooner costs no request. */
#define UNACKNOWLEDGED_TIMEOUT_MS 3000

/* The same for peers that may stop reading: the kernel also counts the time in
   which a peer acknowledges everything and keeps its window closed. Requests
   without a time limit last as long. */
#define PAUSED_READER_TIMEOUT_MS 30000

/* Idle time before the first TCP keep-alive probe. */
#define KEEPALIVE_IDLE_S 2
#define KEEPALIVE_INTERVAL_S 1
#define KEEPALIVE_PROBES 2

/* Time for which a closing connection still reads, so that unread bytes do
   not reset it before the peer has received the response. */
#define CLOSE_LINGER_S 1.0

struct AprStream_t {
    AprStreamSet_t *set;
    int fd;
    ev_io reader;
    ev_io writer;
    ev_timer linger_timer;
    AprBuffer_t unsent;
    const AprStreamHandler_t *handler;
    void *context;
    bool connecting;
    bool flush_queued; /* in the list AprStreamSet_t.to_flush */
    bool is_closed;    /* in the list AprStreamSet_t.closed_streams */
    bool close_after_flush;
    bool read_paused;
    AprMemoryKind_t kind;
    bool write_ended;          /* see AprStream_EndWriting() */
    bool drop_abandoned;       /* see AprStream_EnableDropAbandoned() */
    bool allows_paused_reader; /* see AprStream_AllowPausedReader() */
    uint64_t sent_bytes;
    AprMemoryHolder_t holder; /* while close_after_flush */
    AprStream_t *next_to_flush;
    AprStream_t *next_closed;
    AprStream_t *next_open;
    AprStream_t *previous_open;
};

static void
set_int_option(int fd, int level, int name, int value)
{
    setsockopt(fd, level, name, &value, sizeof(value));
}

static void
set_socket_options(const AprStreamSet_t *set, int fd)
{
    if (set->receive_window_bytes > 0) {
        set_int_option(fd, SOL_SOCKET, SO_RCVBUF, set->receive_window_bytes);
    }
    fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) | O_NONBLOCK);
    fcntl(fd, F_SETFD, FD_CLOEXEC);
    set_int_option(fd, IPPROTO_TCP, TCP_NODELAY, 1);
    set_int_option(fd, SOL_SOCKET, SO_KEEPALIVE, 1);
    set_int_option(fd, IPPROTO_TCP, TCP_KEEPIDLE, KEEPALIVE_IDLE_S);
    set_int_option(fd, IPPROTO_TCP, TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S);
    set_int_option(fd, IPPROTO_TCP, TCP_KEEPCNT, KEEPALIVE_PROBES);
    set_int_option(fd, IPPROTO_TCP, TCP_USER_TIMEOUT,
                   UNACKNOWLEDGED_TIMEOUT_MS);
}

static void
add_to_open_streams(AprStream_t *stream)
{
    AprStreamSet_t *set = stream->set;

    stream->next_open = set->streams;
    if (set->streams != NULL) {
        set->streams->previous_open = stream;
    }
    set->streams = stream;
    set->open_count++;
}

static void
remove_from_open_streams(AprStream_t *stream)
{
    AprStreamSet_t *set = stream->set;

    if (stream->previous_open == NULL) {
        set->streams = stream->next_open;
    }
    else {
        stream->previous_open->next_open = stream->next_open;
    }
    if (stream->next_open != NULL) {
        stream->next_open->previous_open = stream->previous_open;
    }
    set->open_count--;
}

/* Returns whether a stream is not read, because its owner or its kind pauses.
   One that its owner has closed is read until its peer closes. */
static bool
is_reading_paused(const AprStream_t *stream)
{
    return stream->read_paused ||
           (stream->handler != NULL && stream->set->kind_paused[stream->kind]);
}

static void
update_reader(AprStream_t *stream)
{
    if (stream->is_closed || stream->connecting) {
        return;
    }
    if (is_reading_paused(stream)) {
        ev_io_stop(stream->set->loop, &stream->reader);
    }
    else {
        ev_io_start(stream->set->loop, &stream->reader);
    }
}

/* Closes the socket. The stream is freed before the event loop polls again. */
static void
close_and_free_later(AprStream_t *stream)
{
    if (stream->is_closed) {
        return;
    }
    stream->is_closed = true;
    if (!stream->connecting) {
        stream->set->unsent_bytes -= AprBuffer_Size(&stream->unsent);
    }
    AprBuffer_Free(&stream->unsent);
    remove_from_open_streams(stream);
    ev_io_stop(stream->set->loop, &stream->reader);
    ev_io_stop(stream->set->loop, &stream->writer);
    ev_timer_stop(stream->set->loop, &stream->linger_timer);
    close(stream->fd);
    stream->next_closed = stream->set->closed_streams;
    stream->set->closed_streams = stream;
}

/* Closes the stream and calls on_close, unless the owner has closed it. */
static void
close_and_notify(AprStream_t *stream, int error)
{
    const AprStreamHandler_t *handler = stream->handler;

    close_and_free_later(stream);
    if (handler != NULL) {
        stream->handler = NULL;
        handler->on_close(stream->context, error);
    }
}

/* Ends the sending direction and discards received bytes until the peer closes
   or the linger time is over. */
static void
shut_down_write_and_linger(AprStream_t *stream)
{
    shutdown(stream->fd, SHUT_WR);
    stream->handler = NULL;
    /* What the peer still sends is read also if the owner had paused: unread
       bytes would reset the connection, and the response with it. */
    stream->read_paused = false;
    ev_io_start(stream->set->loop, &stream->reader);
    ev_timer_set(&stream->linger_timer, CLOSE_LINGER_S, 0.0);
    ev_timer_start(stream->set->loop, &stream->linger_timer);
}

/* Sends as much as the socket takes, and waits for the socket to become
   writable if bytes remain. */
static void
flush_stream(AprStream_t *stream)
{
    size_t size = AprBuffer_Size(&stream->unsent);
    ssize_t sent;

    if (stream->is_closed || stream->connecting) {
        return;
    }
    while (size > 0) {
        sent = send(stream->fd, AprBuffer_Data(&stream->unsent), size,
                    MSG_NOSIGNAL);
        if (sent < 0) {
            if (errno == EAGAIN || errno == EINTR) {
                ev_io_start(stream->set->loop, &stream->writer);
                return;
            }
            close_and_notify(stream, errno);
            return;
        }
        AprBuffer_Consume(&stream->unsent, (size_t)sent);
        stream->set->unsent_bytes -= (size_t)sent;
        stream->sent_bytes += (uint64_t)sent;
        size = AprBuffer_Size(&stream->unsent);
    }
    ev_io_stop(stream->set->loop, &stream->writer);
    if (stream->close_after_flush) {
        stream->close_after_flush = false;
        shut_down_write_and_linger(stream);
    }
    else if (stream->handler != NULL && stream->handler->on_flushed != NULL) {
        stream->handler->on_flushed(stream->context);
    }
}

/* Sends what was written to the streams, as far as the kernel takes it. */
void
AprStreamSet_Flush(AprStreamSet_t *set)
{
    while (set->to_flush != NULL) {
        AprStream_t *stream = set->to_flush;

        set->to_flush = stream->next_to_flush;
        stream->flush_queued = false;
        flush_stream(stream);
    }
}

static void
flush_and_free_streams(struct ev_loop *loop, ev_prepare *watcher, int events)
{
    AprStreamSet_t *set = watcher->data;

    (void)loop;
    (void)events;
    AprStreamSet_Flush(set);
    while (set->closed_streams != NULL) {
        AprStream_t *stream = set->closed_streams;

        set->closed_streams = stream->next_closed;
        free(stream);
    }
}

/* Returns whether bytes that were just read are to be dropped, because the
   process lags and the peer has closed the connection since. */
static bool
should_drop_abandoned(const AprStream_t *stream)
{
    char byte;

    return stream->drop_abandoned && stream->set->lagging &&
           recv(stream->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

static void
on_readable(struct ev_loop *loop, ev_io *watcher, int events)
{
    static char chunk[READ_CHUNK_SIZE];
    AprStream_t *stream = watcher->data;
    ssize_t size;

    (void)loop;
    (void)events;
    if (stream->set->make_room != NULL) {
        stream->set->make_room(stream->set->make_room_context);
        if (stream->is_closed || is_reading_paused(stream)) {
            return;
        }
    }
    size = recv(stream->fd, chunk, sizeof(chunk), 0);
    if (size > 0 && should_drop_abandoned(stream)) {
        close_and_notify(stream, 0);
        return;
    }
    if (size > 0) {
        if (stream->handler != NULL) {
            stream->handler->on_data(stream->context, chunk, (size_t)size);
        }
        return;
    }
    if (size < 0 && (errno == EAGAIN || errno == EINTR)) {
        return;
    }
    close_and_notify(stream, size == 0 ? 0 : errno);
}

static void
on_writable(struct ev_loop *loop, ev_io *watcher, int events)
{
    AprStream_t *stream = watcher->data;
    int error = 0;
    socklen_t size = sizeof(error);

    (void)events;
    if (stream->connecting) {
        getsockopt(stream->fd, SOL_SOCKET, SO_ERROR, &error, &size);
        if (error != 0) {
            close_and_notify(stream, error);
            return;
        }
        stream->connecting = false;
        if (stream->allows_paused_reader) {
            AprStream_AllowPausedReader(stream);
        }
        stream->set->unsent_bytes += AprBuffer_Size(&stream->unsent);
        ev_io_stop(loop, &stream->writer);
        update_reader(stream);
    }
    flush_stream(stream);
}

static void
on_linger_timeout(struct ev_loop *loop, ev_timer *watcher, int events)
{
    (void)loop;
    (void)events;
    close_and_notify(watcher->data, 0);
}

/* Initialises an empty set on an event loop. */
void
AprStreamSet_Init(AprStreamSet_t *set, struct ev_loop *loop)
{
    memset(set, 0, sizeof(*set));
    set->loop = loop;
    ev_prepare_init(&set->flush_watcher, flush_and_free_streams);
    set->flush_watcher.data = set;
    ev_prepare_start(loop, &set->flush_watcher);
    ev_unref(loop);
}

/* Opens a listening socket at "IP:port". Returns its descriptor, or
   APR_E_INVALID or APR_E_IO, which are negative. */
int
AprStream_Listen(const char *address)
{
    AprPeerAddress_t parsed;
    int fd;

    if (AprPeerAddress_Parse(address, &parsed) != APR_OK) {
        return APR_E_INVALID;
    }
    fd = socket(parsed.storage.ss_family, SOCK_STREAM, 0);
    if (fd < 0) {
        return APR_E_IO;
    }
    set_int_option(fd, SOL_SOCKET, SO_REUSEADDR, 1);
    fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) | O_NONBLOCK);
    fcntl(fd, F_SETFD, FD_CLOEXEC);
    if (bind(fd, (struct sockaddr *)&parsed.storage, parsed.size) != 0 ||
        listen(fd, LISTEN_BACKLOG) != 0) {
        close(fd);
        return APR_E_IO;
    }
    return fd;
}

/* Creates a stream that owns a connected socket. Returns NULL when memory runs
   out; the socket is closed then. The set frees the stream after it closed. */
AprStream_t *
AprStream_Open(AprStreamSet_t *set, int fd, const AprStreamHandler_t *handler,
               void *context)
{
    AprStream_t *stream = calloc(1, sizeof(*stream));

    if (stream == NULL) {
        close(fd);
        return NULL;
    }
    set_socket_options(set, fd);
    stream->set = set;
    stream->fd = fd;
    stream->handler = handler;
    stream->context = context;
    stream->kind = APR_MEMORY_OTHER;
    ev_io_init(&stream->reader, on_readable, fd, EV_READ);
    ev_io_init(&stream->writer, on_writable, fd, EV_WRITE);
    ev_timer_init(&stream->linger_timer, on_linger_timeout, CLOSE_LINGER_S,
                  0.0);
    stream->reader.data = stream;
    stream->writer.data = stream;
    stream->linger_timer.data = stream;
    ev_io_start(set->loop, &stream->reader);
    add_to_open_streams(stream);
    return stream;
}

/* Starts to connect to "IP:port"; bytes written before the connection is
   established are buffered. Returns NULL when the address is invalid,
   connecting fails at once or memory runs out. */
AprStream_t *
AprStream_Connect(AprStreamSet_t *set, const char *address,
                  const AprStreamHandler_t *handler, void *context)
{
    AprPeerAddress_t parsed;
    AprStream_t *stream;
    int fd;

    if (AprPeerAddress_Parse(address, &parsed) != APR_OK) {
        return NULL;
    }
    fd = socket(parsed.storage.ss_family, SOCK_STREAM, 0);
    if (fd < 0) {
        return NULL;
    }
    fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) | O_NONBLOCK);
    if (connect(fd, (struct sockaddr *)&parsed.storage, parsed.size) != 0 &&
        errno != EINPROGRESS) {
        close(fd);
        return NULL;
    }
    stream = AprStream_Open(set, fd, handler, context);
    if (stream != NULL) {
        ev_io_stop(set->loop, &stream->reader);
        stream->connecting = true;
        ev_io_start(set->loop, &stream->writer);
    }
    return stream;
}

/* Copies bytes to be sent before the event loop polls again. When memory runs
   out, closes the stream and calls on_close with ENOMEM before it returns. */
void
AprStream_Write(AprStream_t *stream, const void *data, size_t size)
{
    if (stream->is_closed || stream->write_ended) {
        return;
    }
    if (AprBuffer_Append(&stream->unsent, data, size) != APR_OK) {
        close_and_notify(stream, ENOMEM);
        return;
    }
    if (!stream->connecting) {
        stream->set->unsent_bytes += size;
    }
    if (!stream->flush_queued) {
        stream->flush_queued = true;
        stream->next_to_flush = stream->set->to_flush;
        stream->set->to_flush = stream;
    }
}

/* Returns whether the connection is not yet established. */
bool
AprStream_IsConnecting(const AprStream_t *stream)
{
    return stream->connecting;
}

/* Returns the memory of bytes that are not sent yet. */
size_t
AprStream_HeldBytes(const AprStream_t *stream)
{
    return stream->unsent.capacity;
}

/* Returns the number of bytes that were written and not yet passed to the
   kernel. */
size_t
AprStream_UnsentBytes(const AprStream_t *stream)
{
    return AprBuffer_Size(&stream->unsent);
}

/* Returns the number of bytes that were passed to the kernel and that the peer
   has not acknowledged; -1 if the kernel does not tell. */
int
AprStream_UnacknowledgedBytes(const AprStream_t *stream)
{
    int size = 0;

    if (stream->is_closed || stream->connecting ||
        ioctl(stream->fd, TIOCOUTQ, &size) != 0) {
        return -1;
    }
    return size;
}

/* Returns the number of bytes that were passed to the kernel. */
uint64_t
AprStream_SentBytes(const AprStream_t *stream)
{
    return stream->sent_bytes;
}

/* Returns the number of bytes that the kernel holds for a stream whose reading
   is paused; 0 for others, as their bytes are read soon. */
size_t
AprStream_CountUnread(const AprStream_t *stream)
{
    int size = 0;

    if (!is_reading_paused(stream) || stream->is_closed ||
        stream->connecting || ioctl(stream->fd, FIONREAD, &size) != 0) {
        return 0;
    }
    return (size_t)size;
}

/* Records the progress of the streams that close when their peer has taken all
   bytes, and returns the sum of AprStream_CountUnread() of all streams. */
size_t
AprStreamSet_Measure(AprStreamSet_t *set, int64_t now_ms)
{
    size_t sum = 0;

    for (AprStream_t *stream = set->streams; stream != NULL;
         stream = stream->next_open) {
        sum += AprStream_CountUnread(stream);
        if (stream->close_after_flush) {
            AprMemoryHolder_Update(&stream->holder,
                                   AprStream_HeldBytes(stream), false,
                                   stream->sent_bytes, now_ms);
        }
    }
    return sum;
}

/* Returns the stream with the highest AprMemoryHolder_Score() among those that
   close when their peer has taken all bytes, and sets `*score`; NULL when none
   has a score. */
AprStream_t *
AprStreamSet_FindDraining(AprStreamSet_t *set, int64_t now_ms, double *score)
{
    AprStream_t *found = NULL;

    *score = 0;
    for (AprStream_t *stream = set->streams; stream != NULL;
         stream = stream->next_open) {
        double own = AprMemoryHolder_Score(&stream->holder, now_ms);

        if (stream->close_after_flush && own > *score) {
            *score = own;
            found = stream;
        }
    }
    return found;
}

/* Closes with a reset the stream that waits for the longest time, and for at
   least `min_ms`, for its peer to take its last bytes. Returns whether there
   is one. */
bool
AprStreamSet_AbortStalled(AprStreamSet_t *set, int64_t now_ms, int64_t min_ms)
{
    AprStream_t *found = NULL;
    int64_t longest_ms = min_ms - 1;

    for (AprStream_t *stream = set->streams; stream != NULL;
         stream = stream->next_open) {
        int64_t time_ms = AprMemoryHolder_StalledMs(&stream->holder, now_ms);

        if (stream->close_after_flush && time_ms > longest_ms) {
            longest_ms = time_ms;
            found = stream;
        }
    }
    if (found == NULL) {
        return false;
    }
    AprStream_Abort(found);
    return true;
}

/* Returns whether bytes that were not read yet have arrived. */
bool
AprStream_HasReceivedBytes(const AprStream_t *stream)
{
    char byte;

    return !stream->is_closed && !stream->connecting &&
           recv(stream->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

/* Stops or resumes reading, so that a slow receiver applies back-pressure to
   the sender. */
void
AprStream_SetReadPaused(AprStream_t *stream, bool pause)
{
    if (stream->is_closed || stream->read_paused == pause) {
        return;
    }
    stream->read_paused = pause;
    update_reader(stream);
}

/* Sets the kind of the peer; APR_MEMORY_OTHER unless it is set. */
void
AprStream_SetKind(AprStream_t *stream, AprMemoryKind_t kind)
{
    stream->kind = kind;
    update_reader(stream);
}

/* Records that what an owner of a stream of a kind holds of the bytes received
   on it has changed. */
void
AprStreamSet_AddReceived(AprStreamSet_t *set, AprMemoryKind_t kind,
                         size_t before, size_t now)
{
    set->received_by_kind[kind] += now - before;
}

/* Stops or resumes reading from the streams of a kind. */
void
AprStreamSet_SetKindPaused(AprStreamSet_t *set, AprMemoryKind_t kind,
                           bool pause)
{
    set->kind_paused[kind] = pause;
    for (AprStream_t *stream = set->streams; stream != NULL;
         stream = stream->next_open) {
        if (stream->kind == kind && stream->handler != NULL) {
            update_reader(stream);
        }
    }
}

/* Lets the peer stop reading for PAUSED_READER_TIMEOUT_MS. The time limit of
   connecting stays. */
void
AprStream_AllowPausedReader(AprStream_t *stream)
{
    stream->allows_paused_reader = true;
    if (!stream->is_closed && !stream->connecting) {
        set_int_option(stream->fd, IPPROTO_TCP, TCP_USER_TIMEOUT,
                       PAUSED_READER_TIMEOUT_MS);
    }
}

/* Makes the stream close without delivering received bytes when the process
   lags and the peer has closed the connection since it sent them, because
   nobody waits for the response. */
void
AprStream_EnableDropAbandoned(AprStream_t *stream)
{
    stream->drop_abandoned = true;
}

/* Ends the sending direction if all written bytes were sent. The peer reads
   them and then the end; received bytes are still delivered, and what is
   written later is dropped. */
void
AprStream_EndWriting(AprStream_t *stream)
{
    if (!stream->is_closed && !stream->connecting &&
        AprBuffer_Size(&stream->unsent) == 0) {
        stream->write_ended = true;
        shutdown(stream->fd, SHUT_WR);
    }
}

/* Closes at once and discards unsent bytes; no callback follows. */
void
AprStream_Close(AprStream_t *stream)
{
    stream->handler = NULL;
    close_and_free_later(stream);
}

/* Closes with a TCP reset, so that the peer cannot take a truncated response
   for a complete one. */
void
AprStream_Abort(AprStream_t *stream)
{
    struct linger option = {1, 0};

    if (!stream->is_closed) {
        setsockopt(stream->fd, SOL_SOCKET, SO_LINGER, &option, sizeof(option));
    }
    AprStream_Close(stream);
}

/* Closes after all written bytes are sent, then discards received bytes for up
   to CLOSE_LINGER_S; no callback follows. */
void
AprStream_CloseAfterFlush(AprStream_t *stream)
{
    stream->handler = NULL;
    if (stream->is_closed) {
        return;
    }
    stream->close_after_flush = true;
    AprStream_Write(stream, "", 0);
}
