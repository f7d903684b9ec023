#ifndef APRICOT_INTERNAL_MESSAGE_CODEC_H
#define APRICOT_INTERNAL_MESSAGE_CODEC_H

#include <stdbool.h>
#include <stddef.h>

#include "apricot/message.h"

/* Maximum payload of a frame, and thus maximum size of an encoded message. */
#define APR_FRAME_MAX_BYTES (1024 * 1024)

/* Limits of the text fields, in bytes without the NUL. */
#define APR_KEY_MAX_BYTES 4096
#define APR_CALLER_MAX_BYTES 255
#define APR_CONTENT_TYPE_MAX_BYTES 255
#define APR_REASON_MAX_BYTES 63

/* One hour exceeds every deadline and hint in use, and sums of such values do
   not overflow an int. */
#define APR_REMAINING_MAX_MS 3600000
/* One hour, for the same reasons as APR_REMAINING_MAX_MS. */
#define APR_HINT_MAX_MS 3600000
#define APR_STATUS_MAX 999

/* Bounds the memory of the msgpack object tree to 1.5 MiB. An encoded
   APR_MSG_OUTCOMES of 128 KiB has fewer items. */
#define APR_MESSAGE_MAX_ITEMS 65536

/* Bits of the flags field of APR_MSG_REQUEST. */
#define APR_FLAG_IDEMPOTENT 1u
#define APR_FLAG_HAS_KEY 2u /* has an idempotency key */
#define APR_FLAG_FIRST_ATTEMPT 4u
#define APR_FLAG_GET 8u
#define APR_FLAGS_MAX 15 /* all bits set */

/* Returns whether every field is in its range. The encoder and the decoder
   both call this, so that both ends apply the same limits. */
bool AprMessage_IsInRange(const AprMessage_t *message);
/* Returns the size of the data that a message points to, for queue limits. */
size_t AprMessage_ContentSize(const AprMessage_t *message);
/* Returns whether the bytes are exactly one msgpack value that has only the
   types used by messages and no length beyond the end of the input. */
bool AprMessage_IsWellFormed(const char *data, size_t size);
/* Does the same for a frame between gateways, which may also have text. */
bool AprMessage_IsFrameWellFormed(const char *data, size_t size);
/* Returns whether a message is a control message. Queues send control messages
   before requests, answers and outcomes. */
bool AprMessage_IsControl(AprMessageType_t type);

#endif
