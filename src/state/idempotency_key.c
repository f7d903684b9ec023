#include <uuid.h>

#include "apricot/error.h"
#include "apricot/outcomes.h"

#define UUID_VERSION_TIME_ORDERED 7
#define UUID_TIME_BYTES 6

/* Parses the text form of a time-ordered UUID (version 7) with the usual
   dashes, in upper or lower case. Returns APR_E_INVALID for anything else. */
int
AprIdempotencyKey_Parse(const char *text,
                        uint8_t key[APR_IDEMPOTENCY_KEY_SIZE])
{
    if (text == NULL || uuid_parse(text, key) != 0) {
        return APR_E_INVALID;
    }
    /* The version is in the upper 4 bits of byte 6, the variant in the upper 2
       bits of byte 8. */
    if (key[6] >> 4 != UUID_VERSION_TIME_ORDERED || key[8] >> 6 != 2) {
        return APR_E_INVALID;
    }
    return APR_OK;
}

/* The creation time of a key in calendar milliseconds, which are its first 48
   bits. */
int64_t
AprIdempotencyKey_CreatedMs(const uint8_t key[APR_IDEMPOTENCY_KEY_SIZE])
{
    int64_t ms = 0;

    for (int i = 0; i < UUID_TIME_BYTES; i++) {
        ms = ms << 8 | key[i];
    }
    return ms;
}
