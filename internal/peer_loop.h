#ifndef APRICOT_INTERNAL_PEER_LOOP_H
#define APRICOT_INTERNAL_PEER_LOOP_H

#include <pthread.h>
#include <stdatomic.h>
#include <stdbool.h>
#include <stdint.h>

#include "apricot/peer_net.h"
#include "apricot/ring.h"
#include "internal/peer_link.h"

#define APR_PEER_MAX_INBOUND 1024
#define APR_PEER_MAX_OUTBOUND 1024
#define APR_PEER_SLOT_COUNT (APR_PEER_MAX_INBOUND + APR_PEER_MAX_OUTBOUND)
/* Inbound connections that have not completed the handshake. */
#define APR_PEER_MAX_HALF_OPEN 64
#define APR_PEER_COMMAND_CAPACITY 16384

typedef enum AprPeerCommandKind_t {
    APR_PEER_COMMAND_OPEN,
    APR_PEER_COMMAND_CLOSE,
    APR_PEER_COMMAND_SEND
} AprPeerCommandKind_t;

/* Command to the peer thread, which any thread may send. */
typedef struct AprPeerCommand_t {
    AprPeerCommandKind_t kind;
    AprLinkHandle_t link;
    AprMessage_t *message;    /* SEND only */
    AprPeerAddress_t address; /* OPEN only */
} AprPeerCommand_t;

/* Allocator of link slots. Guarded by a mutex, because any thread may allocate
   a slot for an outbound link. */
typedef struct AprPeerSlots_t {
    pthread_mutex_t mutex;
    int free_count;
    uint16_t free_slots[APR_PEER_SLOT_COUNT];
    uint16_t generations[APR_PEER_SLOT_COUNT]; /* of the next handle */
    int used_count[2];                         /* indexed by `outbound` */
} AprPeerSlots_t;

struct AprPeerNet_t {
    AprPeerShared_t shared;
    AprMetrics_t *owned_metrics; /* NULL if the caller gave a registry */
    AprPeerBudget_t budgets[APR_PEER_SLOT_COUNT];
    AprPeerSlots_t slots;
    char address[APR_ADDRESS_SIZE];
    AprRing_t *commands;
    atomic_bool stopping;
    pthread_t thread;

    /* The members below are used on the peer thread only. */
    int listen_fd;
    int epoll_fd;
    bool listener_armed;                /* epoll reports new connections */
    struct timespec listen_resume_time; /* unless listener_armed */
    int half_open_count;
    int link_slot_end; /* one past the highest slot ever used */
    AprPeerLink_t *links[APR_PEER_SLOT_COUNT];
    int flush_pending_count;
    AprPeerLink_t *flush_pending[APR_PEER_SLOT_COUNT];
    struct timespec next_timer; /* nothing is due before it */
};

/* Allocates a slot and returns its handle; APR_NO_LINK if the limit of the
   direction is reached. Thread safe. */
AprLinkHandle_t AprPeerSlots_Allocate(AprPeerSlots_t *slots, bool outbound);
/* Makes a slot available again. Thread safe. */
void AprPeerSlots_Release(AprPeerSlots_t *slots, AprLinkHandle_t link,
                          bool outbound);
/* Creates the epoll instance of the peer thread; APR_E_IO on failure. */
int AprPeerLoop_Init(AprPeerNet_t *net);
/* Start routine of the peer thread; runs until `stopping` is set. `context` is
   the AprPeerNet_t. */
void *AprPeerLoop_Run(void *context);
/* Requests the close of a link without the command ring. Does nothing and
   returns false on any thread other than the peer thread. */
bool AprPeerLoop_RequestClose(AprPeerNet_t *net, AprLinkHandle_t link);
/* Frees the remaining links and commands; called after the peer thread has
   ended. */
void AprPeerLoop_FreeAll(AprPeerNet_t *net);

#endif
