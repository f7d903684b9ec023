#ifndef APRICOT_INTERNAL_FRAME_H
#define APRICOT_INTERNAL_FRAME_H

#include <stddef.h>
#include <stdint.h>

#include <nettle/hmac.h>

#include "internal/message_codec.h"

/* Frame header: payload length (u32, big-endian), sequence (u64, big-endian)
   and MAC. */
#define APR_FRAME_HEADER_SIZE 28
#define APR_FRAME_MAC_SIZE 16
#define APR_MAC_SIZE 32 /* HMAC-SHA256 */

/* The end of a connection that sends a frame. */
typedef enum AprDirection_t {
    APR_FROM_INITIATOR = 1,
    APR_FROM_ACCEPTOR = 2
} AprDirection_t;

/* HMAC-SHA256 state initialized with a key. Computing a MAC modifies the state
   and then restores it, so threads must not share it without a lock. */
typedef struct hmac_sha256_ctx AprMacKey_t;

typedef struct AprFrameHeader_t {
    uint32_t payload_size;
    uint64_t sequence;
    uint8_t mac[APR_FRAME_MAC_SIZE];
} AprFrameHeader_t;

void AprFrame_EncodeHeader(const AprFrameHeader_t *header,
                           uint8_t bytes[APR_FRAME_HEADER_SIZE]);
void AprFrame_DecodeHeader(const uint8_t bytes[APR_FRAME_HEADER_SIZE],
                           AprFrameHeader_t *header);
/* Computes the MAC of a frame. `key` holds the session key; it has its initial
   state again after the call. */
void AprFrame_ComputeMac(AprMacKey_t *key, AprDirection_t direction,
                         uint64_t sequence, const void *payload, size_t size,
                         uint8_t mac[APR_FRAME_MAC_SIZE]);

#endif
