#include "internal/call.h"

#include <stdlib.h>
#include <string.h>

#include "apricot/error.h"

/* Returns the time by which the response to a call must be complete. A backend
   server ends its work at the deadline. A response of known length that a
   caller without a time limit of its own still receives may take twice as
   long; one without a known end may not. */
int64_t
AprCallHead_ResponseLimitMs(const AprCallHead_t *head, bool has_length)
{
    return has_length && !head->has_deadline
               ? 2 * head->deadline_ms - head->arrived_ms
               : head->deadline_ms;
}

/* Makes a deep copy; release it with AprCallHead_Clear(). Returns APR_OK or
   APR_E_NOMEM. */
int
AprCallHead_Copy(AprCallHead_t *to, const AprCallHead_t *from)
{
    *to = *from;
    to->target = strdup(from->target);
    to->headers = strdup(from->headers);
    if (to->target == NULL || to->headers == NULL) {
        AprCallHead_Clear(to);
        return APR_E_NOMEM;
    }
    return APR_OK;
}

/* Frees the strings that the head owns, but not the head itself. */
void
AprCallHead_Clear(AprCallHead_t *head)
{
    free(head->target);
    free(head->headers);
    head->target = NULL;
    head->headers = NULL;
}

/* Returns the static name of an error for logs and metric labels. */
const char *
AprCallError_Name(AprCallError_t error)
{
    static const char *const names[APR_CALL_ERROR_COUNT] = {
        "full",        "not_owner", "no_backend", "leaving",    "shed",
        "unreachable", "broken",    "timeout",    "bad_answer",
    };

    return error < APR_CALL_ERROR_COUNT ? names[error] : "unknown";
}
