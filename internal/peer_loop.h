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
#define APR_PEER_SLOTS (APR_PEER_MAX_INBOUND + APR_PEER_MAX_OUTBOUND)
#define APR_PEER_MAX_HALF_OPEN 64
#define APR_PEER_COMMANDS 16384

typedef enum AprPeerCommandKind_t {
    APR_PEER_OPEN,
    APR_PEER_CLOSE,
    APR_PEER_SEND
} AprPeerCommandKind_t;

/* From any thread to the peer thread. */
typedef struct AprPeerCommand_t {
    AprPeerCommandKind_t kind;
    AprLink_t link;
    AprMessage_t *message;    /* SEND */
    AprPeerAddress_t address; /* OPEN */
} AprPeerCommand_t;

/* Slots of links; given out to any thread, so guarded by a mutex. */
typedef struct AprPeerSlots_t {
    pthread_mutex_t mutex;
    int free_count;
    uint16_t free_slots[APR_PEER_SLOTS];
    uint16_t generations[APR_PEER_SLOTS];
    int used[2]; /* inbound, outbound */
} AprPeerSlots_t;

struct AprPeerNet_t {
    AprPeerShared_t shared;
    AprMetrics_t *own_metrics; /* when the caller has none */
    AprPeerBudget_t budgets[APR_PEER_SLOTS];
    AprPeerSlots_t slots;
    char address[APR_ADDRESS_SIZE];
    AprRing_t *commands;
    atomic_bool stopping;
    pthread_t thread;

    /* Peer thread only. */
    int listen_fd;
    int epoll_fd;
    bool listening; /* epoll reports new connections */
    struct timespec listen_again;
    int half_open;
    int link_end; /* all links are in slots below it */
    AprPeerLink_t *links[APR_PEER_SLOTS];
    int dirty_count;
    AprPeerLink_t *dirty[APR_PEER_SLOTS];
    struct timespec next_timer;
};

/* APR_NO_LINK: no slot is free. Thread safe. */
AprLink_t AprPeerSlots_Take(AprPeerSlots_t *slots, bool outbound);
void AprPeerSlots_Release(AprPeerSlots_t *slots, AprLink_t link,
                          bool outbound);
/* Prepares epoll; APR_E_IO. */
int AprPeerLoop_Init(AprPeerNet_t *net);
/* The peer thread; runs until `stopping` is set. */
void *AprPeerLoop_Run(void *context);
/* Closes a link without the command ring. Returns false on any other thread
   than the peer thread. */
bool AprPeerLoop_RequestClose(AprPeerNet_t *net, AprLink_t link);
/* Frees all links and commands that are left after the thread has ended. */
void AprPeerLoop_Clear(AprPeerNet_t *net);

#endif
