#include <glib.h>
#include <stdio.h>
#include <string.h>

#include <xxhash.h>

#include "internal/call.h"

/* Bytes of a long attempt id that are kept, for logs. */
#define KEPT_BYTES 40

/* Sets the id of a call, which has APR_CALL_ID_SIZE, from the attempt id that
   a header names. A long one is replaced by its beginning and a digest of all
   of it, so that different ones stay different. Responses that repeat an id
   and nested calls that extend it are compared after the same replacement. */
void
AprCallId_Set(char *id, const char *text, size_t size)
{
    XXH128_hash_t digest;

    if (size < APR_CALL_ID_SIZE) {
        if (size > 0) {
            memcpy(id, text, size);
        }
        id[size] = '\0';
        return;
    }
    digest = XXH3_128bits(text, size);
    snprintf(id, APR_CALL_ID_SIZE, "%.*s~%016llx%016llx", KEPT_BYTES, text,
             (unsigned long long)digest.high64,
             (unsigned long long)digest.low64);
}
