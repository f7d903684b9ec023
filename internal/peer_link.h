#ifndef APRICOT_INTERNAL_PEER_LINK_H
#define APRICOT_INTERNAL_PEER_LINK_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "apricot/clock.h"
#include "apricot/metrics.h"
#include "apricot/peer_net.h"
#include "internal/peer_address.h"
#include "internal/peer_queue.h"
#include "internal/session.h"

#define APR_PEER_BATCH 256
#define APR_PEER_READ_BYTES (64 * 1024)
#define APR_PEER_ERROR_CODES 17 /* of error.h, with zero */

typedef enum AprLinkState_t {
    APR_LINK_BACKOFF, /* outbound: waits for the next attempt */
    APR_LINK_CONNECTING,
    APR_LINK_HANDSHAKE,
    APR_LINK_UP,
    APR_LINK_DEAD /* inbound: to be freed */
} AprLinkState_t;

typedef struct AprPeerCounters_t {
    AprMetric_t *links_up;
    AprMetric_t *sent;
    AprMetric_t *received;
    AprMetric_t *bytes_sent;
    AprMetric_t *bytes_received;
    AprMetric_t *undelivered;
    AprMetric_t *refused_half_open;
    AprMetric_t *refused_limit;
    AprMetric_t *connect_failed;
    AprMetric_t *handshake_timeout;
    AprMetric_t *silent;
    AprMetric_t *bad[APR_PEER_ERROR_CODES]; /* by negated error number */
} AprPeerCounters_t;

/* What all links of a net share. Peer thread only, but for the budgets. */
typedef struct AprPeerShared_t {
    AprPeerEvents_t events;
    AprClock_t clock;
    AprIdentity_t identity;
    char *peer_key;
    AprPeerCounters_t counters;
    AprPeerBudget_t *budgets; /* by slot */
    uint8_t read_buffer[APR_PEER_READ_BYTES];
} AprPeerShared_t;

/* A message whose frame is in the output and of which nothing is written. */
typedef struct AprSealed_t {
    AprMessage_t *message;
    size_t start; /* of its frame in the output */
} AprSealed_t;

typedef struct AprPeerLink_t {
    AprPeerShared_t *shared;
    AprLink_t handle;
    bool outbound;
    AprLinkState_t state;
    int fd;
    bool closing;     /* to be closed once no callback runs */
    bool dirty;       /* waits to be flushed */
    bool wants_write; /* the socket took less than there is */
    bool armed_write; /* epoll reports when it can take more */
    AprPeerAddress_t address;
    AprSession_t *session;
    AprPeerQueue_t queue;
    AprSealed_t sealed[APR_PEER_BATCH];
    int sealed_first;
    int sealed_end;
    size_t written; /* bytes of the session's output */
    int backoff_ms;
    struct timespec deadline; /* of the present state; not for UP */
    struct timespec last_received;
    struct timespec last_sent;
    struct timespec last_probe;
} AprPeerLink_t;

AprPeerLink_t *AprPeerLink_New(AprPeerShared_t *shared, AprLink_t handle,
                               bool outbound);
/* Frees a link without any event. */
void AprPeerLink_Free(AprPeerLink_t *link);
AprPeerBudget_t *AprPeerLink_Budget(AprPeerShared_t *shared, AprLink_t handle);
/* Reports a message as undelivered and gives its room back. */
void AprPeerLink_Reject(AprPeerShared_t *shared, AprLink_t handle,
                        AprMessage_t *message);
/* Starts to connect an outbound link, or takes over an accepted socket. On
   APR_OK the file descriptor is set. */
int AprPeerLink_Connect(AprPeerLink_t *link);
int AprPeerLink_Accept(AprPeerLink_t *link, int fd);
void AprPeerLink_Queue(AprPeerLink_t *link, AprMessage_t *message);
/* Each returns APR_OK or the reason why the link has to be broken. */
int AprPeerLink_Read(AprPeerLink_t *link);
int AprPeerLink_Write(AprPeerLink_t *link);
int AprPeerLink_OnTimer(AprPeerLink_t *link, struct timespec now);
/* Time of the next AprPeerLink_OnTimer. */
struct timespec AprPeerLink_Deadline(const AprPeerLink_t *link);
/* Closes the socket, reports what is undelivered and then `down`. Outbound
   links go to BACKOFF, inbound ones are DEAD. */
void AprPeerLink_Break(AprPeerLink_t *link, int reason);

#endif
