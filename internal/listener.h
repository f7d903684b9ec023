#ifndef APRICOT_INTERNAL_LISTENER_H
#define APRICOT_INTERNAL_LISTENER_H

#include <ev.h>
#include <stdbool.h>
#include <stdint.h>

typedef struct AprListenerHandler_t {
    /* Takes over the descriptor of an accepted connection. */
    void (*on_accept)(void *context, int fd);
    /* Returns whether a further connection may be accepted now; NULL: always.
     */
    bool (*may_accept)(void *context);
    /* Accepting has paused; NULL: not notified. */
    void (*on_pause)(void *context);
} AprListenerHandler_t;

/* A listening socket on an event loop. When descriptors have run out, or when
   `may_accept` returns false, it is not polled for 50 ms: it would stay
   readable and keep the event loop busy. */
typedef struct AprListener_t {
    struct ev_loop *loop;
    const char *name; /* in the log */
    const AprListenerHandler_t *handler;
    void *context;
    int fd; /* valid if `open` */
    bool open;
    ev_io reader;
    ev_timer resume_timer; /* active while accepting pauses */
    int64_t pause_count;
    double last_log_s; /* loop time */
} AprListener_t;

int AprListener_Open(AprListener_t *listener, struct ev_loop *loop,
                     const char *name, const char *address,
                     const AprListenerHandler_t *handler, void *context);
void AprListener_AcceptAll(AprListener_t *listener);
void AprListener_Close(AprListener_t *listener);

#endif
