#include "internal/call.h"

#include <stdlib.h>
#include <string.h>

#include "apricot/error.h"

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
