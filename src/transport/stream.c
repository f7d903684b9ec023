#include "internal/stream.h"

#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "apricot/error.h"
#include "internal/peer_address.h"

#define READ_SIZE 32768
#define BUFFER_MIN 512
#define LISTEN_BACKLOG 1024

/* A buffer that grew beyond this is freed as soon as it is empty, so that one
   long body does not raise the memory of an idle connection. */
#define BUFFER_KEEP 4096

/* Unacknowledged bytes and missing keep-alive answers end a connection after
   this time; a partition that heals sooner costs no request. */
#define USER_TIMEOUT_MS 3000
#define KEEPALIVE_IDLE_S 2
#define KEEPALIVE_INTERVAL_S 1
#define KEEPALIVE_PROBES 2

/* Time for which a closing connection still reads, so that unread bytes do
   not reset it before the peer has the answer. */
#define LINGER_S 1.0

struct AprStream_t {
    AprStreamSet_t *set;
    int fd;
    ev_io reader;
    ev_io writer;
    ev_timer linger;
    AprBuffer_t out;
    const AprStreamHandler_t *handler;
    void *context;
    bool connecting;
    bool is_dirty;
    bool is_closed;
    bool close_after_flush;
    bool read_paused;
    bool drop_abandoned;
    AprStream_t *next_dirty;
    AprStream_t *next_closed;
};

/* Number of bytes in use. */
size_t
AprBuffer_Size(const AprBuffer_t *buffer)
{
    return buffer->end - buffer->start;
}

/* The first byte in use. */
const char *
AprBuffer_Data(const AprBuffer_t *buffer)
{
    return buffer->data + buffer->start;
}

static int
reserve(AprBuffer_t *buffer, size_t size)
{
    size_t used = AprBuffer_Size(buffer);
    size_t capacity = buffer->capacity == 0 ? BUFFER_MIN : buffer->capacity;
    char *data;

    if (buffer->end + size <= buffer->capacity) {
        return APR_OK;
    }
    if (buffer->start > 0) {
        memmove(buffer->data, buffer->data + buffer->start, used);
        buffer->start = 0;
        buffer->end = used;
    }
    while (capacity < used + size) {
        capacity *= 2;
    }
    if (capacity > buffer->capacity) {
        data = realloc(buffer->data, capacity);
        if (data == NULL) {
            return APR_E_NOMEM;
        }
        buffer->data = data;
        buffer->capacity = capacity;
    }
    return APR_OK;
}

/* Adds bytes at the end. Returns APR_E_NOMEM when memory runs out. */
int
AprBuffer_Append(AprBuffer_t *buffer, const void *data, size_t size)
{
    if (size == 0) {
        return APR_OK;
    }
    if (reserve(buffer, size) != APR_OK) {
        return APR_E_NOMEM;
    }
    memcpy(buffer->data + buffer->end, data, size);
    buffer->end += size;
    return APR_OK;
}

/* Adds formatted text at the end, without the terminating NUL. */
int
AprBuffer_Print(AprBuffer_t *buffer, const char *format, ...)
{
    va_list arguments;
    int size;

    va_start(arguments, format);
    size = vsnprintf(NULL, 0, format, arguments);
    va_end(arguments);
    if (size < 0 || reserve(buffer, (size_t)size + 1) != APR_OK) {
        return APR_E_NOMEM;
    }
    va_start(arguments, format);
    vsnprintf(buffer->data + buffer->end, (size_t)size + 1, format, arguments);
    va_end(arguments);
    buffer->end += (size_t)size;
    return APR_OK;
}

/* Drops bytes from the front. */
void
AprBuffer_Consume(AprBuffer_t *buffer, size_t size)
{
    buffer->start += size;
    if (buffer->start == buffer->end) {
        buffer->start = 0;
        buffer->end = 0;
        if (buffer->capacity > BUFFER_KEEP) {
            AprBuffer_Free(buffer);
        }
    }
}

/* Frees the memory; the buffer is empty and usable afterwards. */
void
AprBuffer_Free(AprBuffer_t *buffer)
{
    free(buffer->data);
    memset(buffer, 0, sizeof(*buffer));
}

static void
set_option(int fd, int level, int name, int value)
{
    setsockopt(fd, level, name, &value, sizeof(value));
}

static void
set_socket_options(int fd)
{
    fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) | O_NONBLOCK);
    fcntl(fd, F_SETFD, FD_CLOEXEC);
    set_option(fd, IPPROTO_TCP, TCP_NODELAY, 1);
    set_option(fd, SOL_SOCKET, SO_KEEPALIVE, 1);
    set_option(fd, IPPROTO_TCP, TCP_KEEPIDLE, KEEPALIVE_IDLE_S);
    set_option(fd, IPPROTO_TCP, TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S);
    set_option(fd, IPPROTO_TCP, TCP_KEEPCNT, KEEPALIVE_PROBES);
    set_option(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, USER_TIMEOUT_MS);
}

static void
retire(AprStream_t *stream)
{
    if (stream->is_closed) {
        return;
    }
    stream->is_closed = true;
    ev_io_stop(stream->set->loop, &stream->reader);
    ev_io_stop(stream->set->loop, &stream->writer);
    ev_timer_stop(stream->set->loop, &stream->linger);
    close(stream->fd);
    stream->next_closed = stream->set->closed;
    stream->set->closed = stream;
}

static void
report_close(AprStream_t *stream, int error)
{
    const AprStreamHandler_t *handler = stream->handler;

    retire(stream);
    if (handler != NULL) {
        stream->handler = NULL;
        handler->on_close(stream->context, error);
    }
}

static void
shut_down_write(AprStream_t *stream)
{
    shutdown(stream->fd, SHUT_WR);
    stream->handler = NULL;
    ev_io_start(stream->set->loop, &stream->reader);
    ev_timer_set(&stream->linger, LINGER_S, 0.0);
    ev_timer_start(stream->set->loop, &stream->linger);
}

static void
flush_stream(AprStream_t *stream)
{
    size_t size = AprBuffer_Size(&stream->out);
    ssize_t sent;

    if (stream->is_closed || stream->connecting) {
        return;
    }
    while (size > 0) {
        sent =
            send(stream->fd, AprBuffer_Data(&stream->out), size, MSG_NOSIGNAL);
        if (sent < 0) {
            if (errno == EAGAIN || errno == EINTR) {
                ev_io_start(stream->set->loop, &stream->writer);
                return;
            }
            report_close(stream, errno);
            return;
        }
        AprBuffer_Consume(&stream->out, (size_t)sent);
        size = AprBuffer_Size(&stream->out);
    }
    ev_io_stop(stream->set->loop, &stream->writer);
    if (stream->close_after_flush) {
        stream->close_after_flush = false;
        shut_down_write(stream);
    }
    else if (stream->handler != NULL && stream->handler->on_drain != NULL) {
        stream->handler->on_drain(stream->context);
    }
}

static void
on_prepare(struct ev_loop *loop, ev_prepare *watcher, int events)
{
    AprStreamSet_t *set = watcher->data;

    (void)loop;
    (void)events;
    while (set->dirty != NULL) {
        AprStream_t *stream = set->dirty;

        set->dirty = stream->next_dirty;
        stream->is_dirty = false;
        flush_stream(stream);
    }
    while (set->closed != NULL) {
        AprStream_t *stream = set->closed;

        set->closed = stream->next_closed;
        AprBuffer_Free(&stream->out);
        free(stream);
    }
}

/* Whether the sender of what was just read has closed since. */
static bool
is_abandoned(const AprStream_t *stream)
{
    char byte;

    return stream->drop_abandoned && stream->set->lagging &&
           recv(stream->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

static void
on_readable(struct ev_loop *loop, ev_io *watcher, int events)
{
    static char chunk[READ_SIZE];
    AprStream_t *stream = watcher->data;
    ssize_t size = recv(stream->fd, chunk, sizeof(chunk), 0);

    (void)loop;
    (void)events;
    if (size > 0 && is_abandoned(stream)) {
        report_close(stream, 0);
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
    report_close(stream, size == 0 ? 0 : errno);
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
            report_close(stream, error);
            return;
        }
        stream->connecting = false;
        ev_io_stop(loop, &stream->writer);
        if (!stream->read_paused) {
            ev_io_start(loop, &stream->reader);
        }
    }
    flush_stream(stream);
}

static void
on_linger_end(struct ev_loop *loop, ev_timer *watcher, int events)
{
    (void)loop;
    (void)events;
    report_close(watcher->data, 0);
}

/* Prepares an empty set on an event loop. */
void
AprStreamSet_Init(AprStreamSet_t *set, struct ev_loop *loop)
{
    memset(set, 0, sizeof(*set));
    set->loop = loop;
    ev_prepare_init(&set->flush, on_prepare);
    set->flush.data = set;
    ev_prepare_start(loop, &set->flush);
    ev_unref(loop);
}

/* Opens a listening socket at "IP:port". Returns the descriptor or a negative
   error number. */
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
    set_option(fd, SOL_SOCKET, SO_REUSEADDR, 1);
    fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) | O_NONBLOCK);
    fcntl(fd, F_SETFD, FD_CLOEXEC);
    if (bind(fd, (struct sockaddr *)&parsed.storage, parsed.size) != 0 ||
        listen(fd, LISTEN_BACKLOG) != 0) {
        close(fd);
        return APR_E_IO;
    }
    return fd;
}

/* Takes over a connected socket. Returns NULL when memory runs out; the
   socket is closed then. */
AprStream_t *
AprStream_Open(AprStreamSet_t *set, int fd, const AprStreamHandler_t *handler,
               void *context)
{
    AprStream_t *stream = calloc(1, sizeof(*stream));

    if (stream == NULL) {
        close(fd);
        return NULL;
    }
    set_socket_options(fd);
    stream->set = set;
    stream->fd = fd;
    stream->handler = handler;
    stream->context = context;
    ev_io_init(&stream->reader, on_readable, fd, EV_READ);
    ev_io_init(&stream->writer, on_writable, fd, EV_WRITE);
    ev_timer_init(&stream->linger, on_linger_end, LINGER_S, 0.0);
    stream->reader.data = stream;
    stream->writer.data = stream;
    stream->linger.data = stream;
    ev_io_start(set->loop, &stream->reader);
    return stream;
}

/* Starts a connection to "IP:port"; bytes written meanwhile are kept. Returns
   NULL when it fails at once. */
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

/* Adds bytes to be sent at the end of this pass of the event loop. */
void
AprStream_Write(AprStream_t *stream, const void *data, size_t size)
{
    if (stream->is_closed) {
        return;
    }
    if (AprBuffer_Append(&stream->out, data, size) != APR_OK) {
        report_close(stream, ENOMEM);
        return;
    }
    if (!stream->is_dirty) {
        stream->is_dirty = true;
        stream->next_dirty = stream->set->dirty;
        stream->set->dirty = stream;
    }
}

/* Whether the connection is not yet established. */
bool
AprStream_Connecting(const AprStream_t *stream)
{
    return stream->connecting;
}

/* Stops or resumes reading, so that a slow receiver slows the sender. */
void
AprStream_ReadPause(AprStream_t *stream, bool pause)
{
    if (stream->is_closed || stream->read_paused == pause) {
        return;
    }
    stream->read_paused = pause;
    if (pause) {
        ev_io_stop(stream->set->loop, &stream->reader);
    }
    else if (!stream->connecting) {
        ev_io_start(stream->set->loop, &stream->reader);
    }
}

/* Drops bytes whose sender has closed already while the process is behind. */
void
AprStream_DropAbandoned(AprStream_t *stream)
{
    stream->drop_abandoned = true;
}

/* Closes at once; unsent bytes are dropped and no callback follows. */
void
AprStream_Close(AprStream_t *stream)
{
    stream->handler = NULL;
    retire(stream);
}

/* Closes with a reset, so that the peer cannot take the answer for whole. */
void
AprStream_Abort(AprStream_t *stream)
{
    struct linger option = {1, 0};

    if (!stream->is_closed) {
        setsockopt(stream->fd, SOL_SOCKET, SO_LINGER, &option, sizeof(option));
    }
    AprStream_Close(stream);
}

/* Closes after all written bytes are sent; no callback follows. */
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
