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

/* Protocol state of one end of a connection between two processes. It does no
   I/O: the owner feeds received bytes, and takes events and the bytes to
   write. An error is permanent; the owner then closes the connection. */
typedef struct AprSession_t AprSession_t;

typedef struct AprIdentity_t {
    char host[APR_NAME_SIZE];
    uint64_t incarnation;
} AprIdentity_t;

typedef enum AprSessionEventKind_t {
    APR_SESSION_NEED_INPUT, /* no complete frame; more bytes are needed */
    APR_SESSION_UP,         /* the peer proved that it knows the key */
    APR_SESSION_MESSAGE,
    /* The owner replies with AprSession_AppendKeepalive(session, true). */
    APR_SESSION_KEEPALIVE
} AprSessionEventKind_t;

typedef struct AprSessionEvent_t {
    AprSessionEventKind_t kind;
    AprMessage_t *message; /* APR_SESSION_MESSAGE only; owned by the caller */
} AprSessionEvent_t;

AprSession_t *AprSession_New(AprDirection_t role, const AprIdentity_t *self,
                             const char *peer_key);
void AprSession_Free(AprSession_t *session);
/* Returns the bytes to write. The owner removes what it has written. The array
   belongs to the session and is valid until AprSession_ReleaseEmptyBuffers. */
GByteArray *AprSession_Output(AprSession_t *session);
/* Appends received bytes to the input. */
void AprSession_AppendInput(AprSession_t *session, const void *bytes,
                            size_t size);
/* Takes the next event. The session has failed if this returns APR_E_PARSE,
   APR_E_TOO_LARGE, APR_E_AUTH, APR_E_REPLAY or APR_E_INVALID (other protocol
   version, or the peer has the identity of this process). */
int AprSession_NextEvent(AprSession_t *session, AprSessionEvent_t *event);
/* Appends one message to the output. Returns APR_E_CLOSED unless the session
   is up, or the error of AprMessage_Encode. */
int AprSession_AppendMessage(AprSession_t *session,
                             const AprMessage_t *message);
int AprSession_AppendKeepalive(AprSession_t *session, bool is_reply);
/* Releases the memory of empty buffers. */
void AprSession_ReleaseEmptyBuffers(AprSession_t *session);
bool AprSession_IsUp(const AprSession_t *session);
/* Returns the identity of the peer; valid once the session is up. */
const AprIdentity_t *AprSession_PeerIdentity(const AprSession_t *session);

#endif
