#ifndef APRICOT_MEMORY_BUDGET_H
#define APRICOT_MEMORY_BUDGET_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Limits on the memory and the descriptors that one process holds for others.
   The code makes decisions only: the caller measures what is held and passes
   the time, in milliseconds of a monotonic clock. Load: callers that send many
   requests and read no response, or read it very slowly, that send large
   bodies to a slow backend server, or that open connections and leave them. */

/* A connection may always hold this much: enough for ordinary requests. */
#define APR_MEMORY_MIN_SHARE_BYTES 32768

/* For whom memory is held. */
typedef enum AprMemoryKind_t {
    APR_MEMORY_CALLERS,
    APR_MEMORY_BACKEND, /* the local backend server */
    APR_MEMORY_PEERS,   /* gateways of other hosts */
    APR_MEMORY_STORE,   /* responses of the store that are not complete */
    APR_MEMORY_OTHER,   /* anything else, such as what was read */
    APR_MEMORY_KIND_COUNT
} AprMemoryKind_t;

/* What one connection holds, and when it last made progress. */
typedef struct AprMemoryHolder_t {
    size_t held;            /* bytes */
    bool busy;              /* some of them wait to be taken by its peer */
    uint64_t taken;         /* bytes that its peer has taken so far */
    uint64_t taken_at_mark; /* `taken` at mark_ms */
    int64_t mark_ms;        /* last progress; 0: not measured yet */
} AprMemoryHolder_t;

typedef struct AprMemoryBudget_t {
    size_t limit;  /* bytes that may be held for all peers together */
    size_t held;   /* bytes in buffers */
    size_t unread; /* bytes that the kernel holds on paused connections */
    size_t held_by_kind[APR_MEMORY_KIND_COUNT];
    /* Peers of the kind are not read, as the kind is at its limit. */
    bool kind_paused[APR_MEMORY_KIND_COUNT];
    int holder_count;        /* connections that hold more than a small part */
    int pipelined_in_flight; /* requests in progress behind another one */
    int socket_limit;
    int caller_socket_limit; /* at which callers are no longer accepted */
} AprMemoryBudget_t;

void AprMemoryBudget_Init(AprMemoryBudget_t *budget, double memory_mb,
                          double descriptors);
size_t AprMemoryBudget_Total(const AprMemoryBudget_t *budget);
size_t AprMemoryBudget_ShareOf(const AprMemoryBudget_t *budget);
bool AprMemoryBudget_IsTight(const AprMemoryBudget_t *budget);
bool AprMemoryBudget_MayStart(const AprMemoryBudget_t *budget,
                              size_t unsent_bytes, bool first);
bool AprMemoryBudget_MayRead(const AprMemoryBudget_t *budget, size_t held);
bool AprMemoryBudget_MayAccept(const AprMemoryBudget_t *budget, size_t held);
bool AprMemoryBudget_MayAcceptCall(const AprMemoryBudget_t *budget,
                                   size_t link_held, bool body_complete);
size_t AprMemoryBudget_KindLimit(const AprMemoryBudget_t *budget,
                                 AprMemoryKind_t kind);
bool AprMemoryBudget_UpdateKind(AprMemoryBudget_t *budget,
                                AprMemoryKind_t kind, size_t received);
bool AprMemoryBudget_MustShed(const AprMemoryBudget_t *budget);
bool AprMemoryBudget_MayAcceptSocket(const AprMemoryBudget_t *budget,
                                     int open_sockets);
int AprMemoryBudget_ReceiveWindowBytes(const AprMemoryBudget_t *budget);

void AprMemoryHolder_Update(AprMemoryHolder_t *holder, size_t held, bool idle,
                            uint64_t taken, int64_t now_ms);
int64_t AprMemoryHolder_StalledMs(const AprMemoryHolder_t *holder,
                                  int64_t now_ms);
double AprMemoryHolder_Score(const AprMemoryHolder_t *holder, int64_t now_ms);

#endif
