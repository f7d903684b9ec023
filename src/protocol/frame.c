#include "internal/frame.h"

#include <string.h>

#include <glib.h>

#define SEQUENCE_OFFSET 4
#define MAC_OFFSET 12
#define MAC_PREFIX_SIZE 9 /* direction and sequence */

static void
write_u64_be(uint8_t *bytes, uint64_t value)
{
    value = GUINT64_TO_BE(value);
    memcpy(bytes, &value, sizeof(value));
}

/* Encodes a frame header. */
void
AprFrame_EncodeHeader(const AprFrameHeader_t *header,
                      uint8_t bytes[APR_FRAME_HEADER_SIZE])
{
    uint32_t size = GUINT32_TO_BE(header->payload_size);

    memcpy(bytes, &size, sizeof(size));
    write_u64_be(bytes + SEQUENCE_OFFSET, header->sequence);
    memcpy(bytes + MAC_OFFSET, header->mac, APR_FRAME_MAC_SIZE);
}

/* Decodes a frame header. This cannot fail; the caller checks the fields. */
void
AprFrame_DecodeHeader(const uint8_t bytes[APR_FRAME_HEADER_SIZE],
                      AprFrameHeader_t *header)
{
    memcpy(&header->payload_size, bytes, sizeof(header->payload_size));
    memcpy(&header->sequence, bytes + SEQUENCE_OFFSET,
           sizeof(header->sequence));
    header->payload_size = GUINT32_FROM_BE(header->payload_size);
    header->sequence = GUINT64_FROM_BE(header->sequence);
    memcpy(header->mac, bytes + MAC_OFFSET, APR_FRAME_MAC_SIZE);
}

/* Computes the MAC of a frame: the first 16 bytes of the HMAC-SHA256 over
   direction, sequence and payload. hmac_sha256_digest() restores the state
   that follows the key, which saves hashing the two blocks of the key for each
   frame. */
void
AprFrame_ComputeMac(AprMacKey_t *key, AprDirection_t direction,
                    uint64_t sequence, const void *payload, size_t size,
                    uint8_t mac[APR_FRAME_MAC_SIZE])
{
    uint8_t prefix[MAC_PREFIX_SIZE];

    prefix[0] = (uint8_t)direction;
    write_u64_be(prefix + 1, sequence);
    hmac_sha256_update(key, sizeof(prefix), prefix);
    hmac_sha256_update(key, size, payload);
    hmac_sha256_digest(key, APR_FRAME_MAC_SIZE, mac);
}
