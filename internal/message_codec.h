#ifndef APRICOT_INTERNAL_MESSAGE_CODEC_H
#define APRICOT_INTERNAL_MESSAGE_CODEC_H

#include <stdbool.h>
#include <stddef.h>

#include "apricot/message.h"

/* Largest payload of one frame, and so of one encoded message. */
#define APR_FRAME_MAX_BYTES (1024 * 1024)

/* Limits of the text fields, in bytes without the NUL. */
#define APR_KEY_MAX_BYTES 4096
#define APR_CALLER_MAX_BYTES 255
#define APR_CONTENT_TYPE_MAX_BYTES 255
#define APR_REASON_MAX_BYTES 63

/* An hour is far above every deadline and hint in use, and keeps sums of
   them inside an int. */
#define APR_REMAINING_MAX_MS 3600000
#define APR_HINT_MAX_MS 3600000
#define APR_STATUS_MAX 999

/* An encoded OUTCOMES message of 128 KiB has fewer items than this. The limit
   bounds the memory of the msgpack object tree to 1.5 MiB. */
#define APR_MESSAGE_MAX_ITEMS 65536

/* Bits of the flags field of REQUEST. */
#define APR_FLAG_IDEMPOTENT 1u
#define APR_FLAG_HAS_KEY 2u
#define APR_FLAG_FIRST_ATTEMPT 4u
#define APR_FLAG_GET 8u
#define APR_FLAGS_MAX 15

/* Whether every field is in its range; used before encoding and after
   decoding, so that both sides apply the same limits. */
bool AprMessage_InRange(const AprMessage_t *message);
/* Bytes of the texts and bodies of a message, for queue limits. */
size_t AprMessage_Weight(const AprMessage_t *message);
/* Whether the bytes are exactly one msgpack value made of the types that
   messages use, with all lengths inside the input. */
bool AprMessage_WellFormed(const char *data, size_t size);
/* Control messages overtake requests, answers and outcomes. */
bool AprMessage_IsControl(AprMessageType_t type);

#endif
