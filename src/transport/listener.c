#include "internal/listener.h"

#include <errno.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "apricot/error.h"
#include "apricot/log.h"
#include "internal/stream.h"

/* Time for which a listener is not polled after it could not accept. */
#define PAUSE_S 0.05

/* Least time between two log lines about a listener that cannot accept. */
#define LOG_INTERVAL_S 1.0

static void
pause_accepting(AprListener_t *listener)
{
    ev_io_stop(listener->loop, &listener->reader);
    ev_timer_stop(listener->loop, &listener->resume_timer);
    ev_timer_set(&listener->resume_timer, PAUSE_S, 0.0);
    ev_timer_start(listener->loop, &listener->resume_timer);
    listener->pause_count++;
    if (listener->handler->on_pause != NULL) {
        listener->handler->on_pause(listener->context);
    }
}

static void
log_failure(AprListener_t *listener, int error)
{
    double now_s = ev_now(listener->loop);

    if (listener->last_log_s == 0 ||
        now_s - listener->last_log_s >= LOG_INTERVAL_S) {
        listener->last_log_s = now_s;
        AprLog_Write(APR_LOG_WARN, "accept_failed",
                     "listener=%s pauses=%lld error=\"%s\"", listener->name,
                     (long long)listener->pause_count, strerror(error));
    }
}

/* Accepts connections until there is none, or until that has to pause. */
void
AprListener_AcceptAll(AprListener_t *listener)
{
    const AprListenerHandler_t *handler = listener->handler;

    while (listener->open) {
        int fd;

        if (handler->may_accept != NULL &&
            !handler->may_accept(listener->context)) {
            pause_accepting(listener);
            return;
        }
        fd = accept(listener->fd, NULL, NULL);
        if (fd >= 0) {
            handler->on_accept(listener->context, fd);
        }
        else if (errno == EMFILE || errno == ENFILE || errno == ENOBUFS ||
                 errno == ENOMEM) {
            log_failure(listener, errno);
            pause_accepting(listener);
            return;
        }
        else if (errno != EINTR && errno != ECONNABORTED) {
            return;
        }
    }
}

static void
on_readable(struct ev_loop *loop, ev_io *watcher, int events)
{
    (void)loop;
    (void)events;
    AprListener_AcceptAll(watcher->data);
}

static void
on_resume(struct ev_loop *loop, ev_timer *watcher, int events)
{
    AprListener_t *listener = watcher->data;

    (void)events;
    ev_io_start(loop, &listener->reader);
}

/* Listens at "IP:port". `name` and `handler` must outlive the listener.
   Returns APR_OK or the error of AprStream_Listen(). */
int
AprListener_Open(AprListener_t *listener, struct ev_loop *loop,
                 const char *name, const char *address,
                 const AprListenerHandler_t *handler, void *context)
{
    int fd = AprStream_Listen(address);

    *listener = (AprListener_t){0};
    if (fd < 0) {
        return fd;
    }
    listener->loop = loop;
    listener->name = name;
    listener->handler = handler;
    listener->context = context;
    listener->fd = fd;
    listener->open = true;
    ev_io_init(&listener->reader, on_readable, fd, EV_READ);
    listener->reader.data = listener;
    ev_timer_init(&listener->resume_timer, on_resume, PAUSE_S, 0.0);
    listener->resume_timer.data = listener;
    ev_io_start(loop, &listener->reader);
    return APR_OK;
}

/* Stops listening; does nothing for a listener that is not open. */
void
AprListener_Close(AprListener_t *listener)
{
    if (listener->open) {
        listener->open = false;
        ev_io_stop(listener->loop, &listener->reader);
        ev_timer_stop(listener->loop, &listener->resume_timer);
        close(listener->fd);
    }
}
