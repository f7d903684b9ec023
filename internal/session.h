#ifndef APRICOT_INTERNAL_SESSION_H
#define APRICOT_INTERNAL_SESSION_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

#include "apricot/message.h"
#include "internal/frame.h"

#define APR_PROTOCOL_VERSION 1
#define APR_NONCE_SIZE 32

/* One end of a connection between two processes, without any input or output:
   bytes go in, events and bytes to write come out. After an error the session
   stays failed; the owner closes the connection. */
typedef struct AprSession_t AprSession_t;

typedef struct AprIdentity_t {
    char host[APR_NAME_SIZE];
    uint64_t incarnation;
} AprIdentity_t;

typedef enum AprSessionEventKind_t {
    APR_SESSION_NOTHING, /* more bytes are needed */
    APR_SESSION_UP,      /* the peer has proved that it knows the key */
    APR_SESSION_MESSAGE,
    APR_SESSION_KEEPALIVE /* the owner calls AprSession_SealKeepalive(true) */
} AprSessionEventKind_t;

typedef struct AprSessionEvent_t {
    AprSessionEventKind_t kind;
    AprMessage_t *message; /* MESSAGE only; owned by the receiver */
} AprSessionEvent_t;

AprSession_t *AprSession_New(AprDirection_t role, const AprIdentity_t *self,
                             const char *peer_key);
void AprSession_Free(AprSession_t *session);
/* Bytes to write; the owner removes what it has written. Valid until Trim. */
GByteArray *AprSession_Output(AprSession_t *session);
/* Adds received bytes. */
void AprSession_Push(AprSession_t *session, const void *bytes, size_t size);
/* Takes the next event. APR_E_PARSE, APR_E_TOO_LARGE, APR_E_AUTH,
   APR_E_REPLAY or APR_E_INVALID (protocol version, or the peer is this very
   process): the session has failed. */
int AprSession_Next(AprSession_t *session, AprSessionEvent_t *event);
/* Appends one message to the output. APR_E_CLOSED before UP; APR_E_INVALID or
   APR_E_TOO_LARGE for a message that cannot be encoded. */
int AprSession_Seal(AprSession_t *session, const AprMessage_t *message);
int AprSession_SealKeepalive(AprSession_t *session, bool is_reply);
/* Releases buffers that are empty. */
void AprSession_Trim(AprSession_t *session);
bool AprSession_IsUp(const AprSession_t *session);
/* Identity of the peer; valid after UP. */
const AprIdentity_t *AprSession_Peer(const AprSession_t *session);

#endif
