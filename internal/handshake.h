#ifndef APRICOT_INTERNAL_HANDSHAKE_H
#define APRICOT_INTERNAL_HANDSHAKE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

#include "internal/session.h"

/* Payload types of the session layer; larger than all values of
   AprMessageType_t. */
enum {
    APR_FRAME_HELLO = 100,
    APR_FRAME_HELLO_ACK = 101,
    APR_FRAME_HELLO_DONE = 102,
    APR_FRAME_KEEPALIVE = 103,
    APR_FRAME_KEEPALIVE_REPLY = 104
};

/* Limits the memory that an unauthenticated peer can make this process use. A
   handshake payload is far smaller. */
#define APR_HANDSHAKE_MAX_BYTES 512

/* Handshake payload. APR_FRAME_HELLO_DONE carries only `type` and `proof`. */
typedef struct AprHello_t {
    /* APR_FRAME_HELLO, APR_FRAME_HELLO_ACK or APR_FRAME_HELLO_DONE. */
    int type;
    uint64_t protocol_version; /* APR_PROTOCOL_VERSION of the sender */
    AprIdentity_t identity;
    uint8_t nonce[APR_NONCE_SIZE];
    uint8_t proof[APR_MAC_SIZE]; /* not in APR_FRAME_HELLO */
} AprHello_t;

/* Handshake values that both ends must have seen alike; the proofs and the
   session key are derived from them. */
typedef struct AprTranscript_t {
    AprIdentity_t initiator;
    AprIdentity_t acceptor;
    uint8_t initiator_nonce[APR_NONCE_SIZE];
    uint8_t acceptor_nonce[APR_NONCE_SIZE];
} AprTranscript_t;

/* Appends the encoded payload, without a frame header, to `payload`. */
void AprHello_Encode(const AprHello_t *hello, GByteArray *payload);
/* Returns APR_E_PARSE unless the bytes are exactly one payload of this
   type. */
int AprHello_Decode(const uint8_t *data, size_t size, int type,
                    AprHello_t *hello);
/* Computes the proof of one side. The two sides use different labels, so that
   a proof cannot be reflected to its sender as the proof of the other side. */
void AprTranscript_ComputeProof(const AprTranscript_t *transcript,
                                const char *peer_key, AprDirection_t prover,
                                uint8_t proof[APR_MAC_SIZE]);
/* Derives the session key and initializes `session` with it. */
void AprTranscript_DeriveSessionKey(const AprTranscript_t *transcript,
                                    const char *peer_key,
                                    AprMacKey_t *session);

#endif
