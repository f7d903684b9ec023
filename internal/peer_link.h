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

/* Messages of a link that are sealed into its output at one time. */
#define APR_PEER_MAX_SEALED 256
#define APR_PEER_READ_BUFFER_SIZE (64 * 1024)
/* Number of codes in apricot/error.h, APR_OK included. */
#define APR_PEER_ERROR_CODE_COUNT 17

typedef enum AprLinkState_t {
    APR_LINK_BACKOFF, /* outbound only: the next connect attempt is pending */
    APR_LINK_CONNECTING,
    APR_LINK_HANDSHAKE,
    APR_LINK_UP,
    APR_LINK_CLOSED /* inbound only: has no connection */
} AprLinkState_t;

typedef struct AprPeerCounters_t {
    AprMetric_t *links_up;
    AprMetric_t *messages_sent;
    AprMetric_t *messages_received;
    AprMetric_t *bytes_sent;
    AprMetric_t *bytes_received;
    AprMetric_t *messages_undelivered;
    AprMetric_t *refused_half_open;
    AprMetric_t *refused_link_limit;
    AprMetric_t *failed_connects;
    AprMetric_t *handshake_timeouts;
    AprMetric_t *silence_timeouts;
    /* Connections closed because of received data, by negated error code. */
    AprMetric_t *bad_frames[APR_PEER_ERROR_CODE_COUNT];
} AprPeerCounters_t;

/* State that all links of a net share. Used on the peer thread only, except
   for the budgets, which are thread safe. */
typedef struct AprPeerShared_t {
    AprPeerCallbacks_t callbacks;
    AprClock_t clock;
    AprIdentity_t identity;
    char *peer_key;
    AprPeerCounters_t counters;
    AprPeerBudget_t *budgets; /* one per slot */
    uint8_t read_buffer[APR_PEER_READ_BUFFER_SIZE];
} AprPeerShared_t;

/* A message whose frame is in the output of the session and of which no byte
   has been written to the socket. */
typedef struct AprPeerSealedMessage_t {
    AprMessage_t *message;
    size_t output_offset; /* first byte of the frame in the output */
} AprPeerSealedMessage_t;

typedef struct AprPeerLink_t {
    AprPeerShared_t *shared;
    AprLinkHandle_t handle;
    bool outbound;
    AprLinkState_t state;
    int fd;
    bool close_requested; /* the loop closes the link on its next timer run */
    bool flush_pending;   /* listed in AprPeerNet_t.flush_pending */
    bool needs_epollout;  /* connecting, or output is left to write */
    bool epollout_armed;  /* EPOLLOUT is registered with epoll */
    AprPeerAddress_t address;
    AprSession_t *session;
    AprPeerQueue_t queue;
    AprPeerSealedMessage_t sealed[APR_PEER_MAX_SEALED];
    int sealed_first;      /* oldest sealed message with no byte written */
    int sealed_end;        /* one past the newest sealed message */
    size_t output_written; /* bytes of the session's output already sent */
    int backoff_ms;        /* delay before the next connect attempt */
    struct timespec state_deadline; /* end of the state, except for UP */
    struct timespec last_received;
    struct timespec last_sent;
    struct timespec last_keepalive;
} AprPeerLink_t;

/* Creates a link without a socket. */
AprPeerLink_t *AprPeerLink_New(AprPeerShared_t *shared, AprLinkHandle_t handle,
                               bool outbound);
/* Closes the socket and frees the link and its queued messages, without any
   callback. */
void AprPeerLink_Free(AprPeerLink_t *link);
AprPeerBudget_t *AprPeerLink_GetBudget(AprPeerShared_t *shared,
                                       AprLinkHandle_t handle);
/* Passes a message to the `on_undelivered` callback, which takes ownership,
   and releases its reservation in the budget. */
void AprPeerLink_ReturnUndelivered(AprPeerShared_t *shared,
                                   AprLinkHandle_t handle,
                                   AprMessage_t *message);
/* Starts to connect an outbound link. On APR_OK the file descriptor is set. */
int AprPeerLink_Connect(AprPeerLink_t *link);
/* Gives an accepted socket to an inbound link, which owns it from then on,
   also on an error. */
int AprPeerLink_AttachSocket(AprPeerLink_t *link, int fd);
/* Takes ownership of the message. */
void AprPeerLink_QueueMessage(AprPeerLink_t *link, AprMessage_t *message);
/* AprPeerLink_Read, AprPeerLink_Write and AprPeerLink_OnTimer return APR_OK or
   the error code to pass to AprPeerLink_Disconnect. */
int AprPeerLink_Read(AprPeerLink_t *link);
int AprPeerLink_Write(AprPeerLink_t *link);
int AprPeerLink_OnTimer(AprPeerLink_t *link, struct timespec now);
/* Time at which AprPeerLink_OnTimer next has something to do. */
struct timespec AprPeerLink_NextDeadline(const AprPeerLink_t *link);
/* Closes the socket, reports unwritten messages as undelivered and then calls
   `on_down` if the link was up. Outbound links go to BACKOFF, inbound links to
   CLOSED. `reason` is an error code for the log. */
void AprPeerLink_Disconnect(AprPeerLink_t *link, int reason);

#endif
