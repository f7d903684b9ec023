#include "apricot/memory_budget.h"

#include <glib.h>

#include "internal/call.h"

/* Memory of a process that holds nothing for others: 7 MB were measured with
   a few hosts. The items of a large site take up to 5 MB more. */
#define BASE_BYTES (12u * 1000 * 1000)

/* Part of the remaining memory that buffers may hold. The rest covers the
   allocator's overhead, parsers and connections, and what arrives before a
   decision takes effect. */
#define HELD_FRACTION 0.7

/* Parts of the limit from which connections that hold more than their share
   are no longer read, and from which their new requests are refused. What lies
   above stays reserved for callers that hold little. */
#define TIGHT_FRACTION 0.5
#define REFUSE_FRACTION 0.7

/* Part of the limit at which connections are closed. */
#define SHED_FRACTION 0.9

/* Part of the limit that one link may hold. */
#define LINK_FRACTION 0.25

/* Part of the limit that responses of the backend server may hold which their
   callers have not taken, and that incomplete responses of the store may. */
#define BACKEND_FRACTION 0.5
#define STORE_FRACTION 0.5

/* Least limit for the store: two responses with an item of 4 MiB, which takes
   5.6 MB as base64 and up to a quarter more in a buffer that grows. */
#define MIN_STORE_BYTES (16u * 1024 * 1024)

/* Part of its limit below which a kind is read again. */
#define RESUME_FRACTION 0.8

/* A connection that holds less is not closed: it would free little. A parser
   keeps up to 4 KiB between two requests. */
#define MIN_SHED_BYTES 8192

/* Peers make progress when they take this part of what is held for them. */
#define PROGRESS_DIVISOR 8

/* Descriptors that the platform sets aside for files. */
#define FILE_DESCRIPTORS 200

/* Part of the sockets that callers may not use: those of links, the store and
   the backend server. Each other host has up to two links. */
#define OTHER_SOCKETS_DIVISOR 6
#define MIN_OTHER_SOCKETS 96

/* Limits of a socket's receive buffer. With the divisor, 280 connections that
   are not read hold about half of the limit. */
#define MIN_RECEIVE_WINDOW_BYTES 32768
#define MAX_RECEIVE_WINDOW_BYTES 524288
#define RECEIVE_WINDOW_DIVISOR 768

/* Limits of a process whose settings do not name any, as in tests. */
#define DEFAULT_MEMORY_MB 256
#define DEFAULT_DESCRIPTORS 4096

/* Derives the limits from the memory in MB (10^6 bytes) and the number of
   descriptors that the process may use. 0 stands for the defaults. */
void
AprMemoryBudget_Init(AprMemoryBudget_t *budget, double memory_mb,
                     double descriptors)
{
    double bytes = (memory_mb > 0 ? memory_mb : DEFAULT_MEMORY_MB) * 1e6;
    int count = (int)(descriptors > 0 ? descriptors : DEFAULT_DESCRIPTORS);
    int others;

    *budget = (AprMemoryBudget_t){0};
    /* At the smallest settings, which are for trials, some is left. */
    budget->limit =
        (size_t)(MAX(bytes - BASE_BYTES, bytes / 4) * HELD_FRACTION);
    budget->socket_limit =
        count >= 2 * FILE_DESCRIPTORS ? count - FILE_DESCRIPTORS : count / 2;
    others = MAX(budget->socket_limit / OTHER_SOCKETS_DIVISOR,
                 MIN(MIN_OTHER_SOCKETS, budget->socket_limit / 3));
    budget->caller_socket_limit = budget->socket_limit - others;
}

/* Returns the bytes that are held for all peers together. */
size_t
AprMemoryBudget_Total(const AprMemoryBudget_t *budget)
{
    return budget->held + budget->unread;
}

static bool
is_above(const AprMemoryBudget_t *budget, double fraction)
{
    return (double)AprMemoryBudget_Total(budget) >
           fraction * (double)budget->limit;
}

/* Returns whether connections that hold more than their share are no longer
   read. */
bool
AprMemoryBudget_IsTight(const AprMemoryBudget_t *budget)
{
    return is_above(budget, TIGHT_FRACTION);
}

/* Returns the bytes that each connection may hold when memory is tight. */
size_t
AprMemoryBudget_ShareOf(const AprMemoryBudget_t *budget)
{
    size_t share = (size_t)(TIGHT_FRACTION * (double)budget->limit) /
                   (size_t)MAX(budget->holder_count, 1);

    return CLAMP(share, APR_MEMORY_MIN_SHARE_BYTES, APR_CALL_WINDOW_BYTES);
}

/* Returns whether a request of a connection may be sent to a backend server.
   `unsent_bytes` of earlier responses of the connection wait for its caller;
   `first` tells that no other request of it is in progress before this one. A
   further one may bring a whole window of response bytes that the caller
   cannot take yet, so there is room for only so many of these. */
bool
AprMemoryBudget_MayStart(const AprMemoryBudget_t *budget, size_t unsent_bytes,
                         bool first)
{
    double promised = ((double)budget->pipelined_in_flight + 1) *
                      (double)APR_CALL_WINDOW_BYTES;

    if (unsent_bytes > APR_CALL_WINDOW_BYTES) {
        return false;
    }
    return first || (double)AprMemoryBudget_Total(budget) + promised <=
                        TIGHT_FRACTION * (double)budget->limit;
}

/* Returns whether to read on from a caller whose connection holds so many
   bytes. */
bool
AprMemoryBudget_MayRead(const AprMemoryBudget_t *budget, size_t held)
{
    return !AprMemoryBudget_IsTight(budget) ||
           held <= AprMemoryBudget_ShareOf(budget);
}

/* Returns whether a new request of a connection that holds so many bytes is
   accepted. */
bool
AprMemoryBudget_MayAccept(const AprMemoryBudget_t *budget, size_t held)
{
    return !is_above(budget, REFUSE_FRACTION) ||
           held <= AprMemoryBudget_ShareOf(budget);
}

/* Returns whether a call of another host is accepted, for which a link holds
   `link_held` bytes. A call with a body that has not arrived as a whole brings
   up to a window of it, which cannot be refused later. */
bool
AprMemoryBudget_MayAcceptCall(const AprMemoryBudget_t *budget,
                              size_t link_held, bool body_complete)
{
    if ((double)link_held > LINK_FRACTION * (double)budget->limit) {
        return false;
    }
    if (!body_complete && AprMemoryBudget_IsTight(budget)) {
        return false;
    }
    return AprMemoryBudget_MayAccept(budget, link_held);
}

/* Returns the bytes that peers of a kind may make this process hold before
   they are no longer read; 0: no limit of this form. Callers and links are
   limited for each connection, see AprMemoryBudget_MayRead() and
   AprMemoryBudget_MayAcceptCall(). */
size_t
AprMemoryBudget_KindLimit(const AprMemoryBudget_t *budget,
                          AprMemoryKind_t kind)
{
    switch (kind) {
    case APR_MEMORY_BACKEND:
        return (size_t)(BACKEND_FRACTION * (double)budget->limit);
    case APR_MEMORY_STORE:
        return MAX((size_t)(STORE_FRACTION * (double)budget->limit),
                   MIN_STORE_BYTES);
    default:
        return 0;
    }
}

/* Decides whether peers of a kind are read while `received` bytes are held
   that came from them, and records it in AprMemoryBudget_t.kind_paused.
   Returns whether the decision has changed. */
bool
AprMemoryBudget_UpdateKind(AprMemoryBudget_t *budget, AprMemoryKind_t kind,
                           size_t received)
{
    double limit = (double)AprMemoryBudget_KindLimit(budget, kind);
    bool paused = budget->kind_paused[kind];

    budget->kind_paused[kind] =
        limit > 0 &&
        (double)received >= (paused ? RESUME_FRACTION * limit : limit);
    return budget->kind_paused[kind] != paused;
}

/* Returns whether a connection has to be closed now. */
bool
AprMemoryBudget_MustShed(const AprMemoryBudget_t *budget)
{
    return is_above(budget, SHED_FRACTION);
}

/* Returns whether a further connection of a caller may be accepted while so
   many sockets are open. */
bool
AprMemoryBudget_MayAcceptSocket(const AprMemoryBudget_t *budget,
                                int open_sockets)
{
    return open_sockets < budget->caller_socket_limit;
}

/* Returns the size in bytes of the receive window of each socket. The kernel
   would otherwise hold megabytes of a connection that is not read. */
int
AprMemoryBudget_ReceiveWindowBytes(const AprMemoryBudget_t *budget)
{
    return (int)CLAMP(budget->limit / RECEIVE_WINDOW_DIVISOR,
                      MIN_RECEIVE_WINDOW_BYTES, MAX_RECEIVE_WINDOW_BYTES);
}

/* Records what a connection holds, and how many bytes its peer has taken since
   it was opened. `idle` tells that none of the held bytes wait for the peer.
   The time without progress starts when some do. */
void
AprMemoryHolder_Update(AprMemoryHolder_t *holder, size_t held, bool idle,
                       uint64_t taken, int64_t now_ms)
{
    if (holder->mark_ms == 0 || idle || !holder->busy ||
        taken - holder->taken_at_mark >= held / PROGRESS_DIVISOR) {
        holder->mark_ms = now_ms;
        holder->taken_at_mark = taken;
    }
    holder->held = held;
    holder->busy = !idle;
    holder->taken = taken;
}

/* Returns the time since the peer has last made progress. */
int64_t
AprMemoryHolder_StalledMs(const AprMemoryHolder_t *holder, int64_t now_ms)
{
    return holder->mark_ms == 0 ? 0 : now_ms - holder->mark_ms;
}

/* Returns how much there is to gain by closing a connection: the bytes that it
   holds times the time without progress; 0 if it holds little. */
double
AprMemoryHolder_Score(const AprMemoryHolder_t *holder, int64_t now_ms)
{
    return holder->held < MIN_SHED_BYTES
               ? 0
               : (double)holder->held *
                     (double)(AprMemoryHolder_StalledMs(holder, now_ms) + 1);
}
