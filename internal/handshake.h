#ifndef APRICOT_INTERNAL_HANDSHAKE_H
#define APRICOT_INTERNAL_HANDSHAKE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

#include "internal/session.h"

/* Payload types of the session itself; above all message types. */
enum {
    APR_FRAME_HELLO = 100,
    APR_FRAME_HELLO_ACK = 101,
    APR_FRAME_HELLO_DONE = 102,
    APR_FRAME_KEEPALIVE = 103,
    APR_FRAME_KEEPALIVE_REPLY = 104
};

/* A handshake payload is far smaller; the limit keeps an unproved peer from
   making this process hold more. */
#define APR_HANDSHAKE_MAX_BYTES 512

typedef struct AprHello_t {
    int type; /* of the three handshake payloads */
    uint64_t protocol;
    AprIdentity_t identity;
    uint8_t nonce[APR_NONCE_SIZE];
    uint8_t proof[APR_MAC_SIZE]; /* HELLO_ACK and HELLO_DONE */
} AprHello_t;

/* What both ends must agree on. */
typedef struct AprTranscript_t {
    AprIdentity_t initiator;
    AprIdentity_t acceptor;
    uint8_t initiator_nonce[APR_NONCE_SIZE];
    uint8_t acceptor_nonce[APR_NONCE_SIZE];
} AprTranscript_t;

/* Appends the payload; the frame header is the caller's. */
void AprHello_Encode(const AprHello_t *hello, GByteArray *payload);
/* APR_E_PARSE unless the payload is exactly one of this type. */
int AprHello_Decode(const uint8_t *data, size_t size, int type,
                    AprHello_t *hello);
/* The proof of one side. Its label keeps the proof of one side from being
   sent back as that of the other. */
void AprTranscript_Proof(const AprTranscript_t *transcript,
                         const char *peer_key, AprDirection_t prover,
                         uint8_t proof[APR_MAC_SIZE]);
/* Keys `session` with the session key. */
void AprTranscript_SessionKey(const AprTranscript_t *transcript,
                              const char *peer_key, AprMacKey_t *session);

#endif
