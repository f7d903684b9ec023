#include "apricot/error.h"

#include <stdarg.h>
#include <stdio.h>

static const char *const step_names[APR_STEP_COUNT] = {
    "none",  "settings", "config",  "entry", "route", "forward",
    "owner", "queue",    "backend", "store", "peer",  "record"};

/* Fills an error and returns its code, so that a caller can write
   `return AprError_Set(...)`. `error` may be NULL if the caller does not need
   the text; `peer` may be NULL. Text that is too long is truncated. */
int
AprError_Set(AprError_t *error, int code, AprStep_t step, const char *peer,
             const char *format, ...)
{
    va_list arguments;

    if (error == NULL) {
        return code;
    }
    error->code = code;
    error->step = step;
    snprintf(error->peer, sizeof(error->peer), "%s", peer == NULL ? "" : peer);
    va_start(arguments, format);
    vsnprintf(error->detail, sizeof(error->detail), format, arguments);
    va_end(arguments);
    return code;
}

/* Returns the short name of an error code, for logs and messages. */
const char *
AprError_Name(int code)
{
    switch (code) {
    case APR_OK:
        return "ok";
    case APR_E_NOMEM:
        return "out-of-memory";
    case APR_E_INVALID:
        return "invalid";
    case APR_E_PARSE:
        return "parse-error";
    case APR_E_IO:
        return "io-error";
    case APR_E_TIMEOUT:
        return "timeout";
    case APR_E_CLOSED:
        return "closed";
    case APR_E_AUTH:
        return "not-authorized";
    case APR_E_CONFLICT:
        return "conflict";
    case APR_E_UNKNOWN_OUTCOME:
        return "unknown-outcome";
    case APR_E_UNAVAILABLE:
        return "unavailable";
    case APR_E_FULL:
        return "full";
    case APR_E_NOT_FOUND:
        return "not-found";
    case APR_E_STALE:
        return "stale";
    case APR_E_REPLAY:
        return "replay";
    case APR_E_TOO_LARGE:
        return "too-large";
    case APR_E_EXISTS:
        return "exists";
    default:
        return "error";
    }
}

/* Returns the short name of a step, for logs and the error bodies that callers
   receive. */
const char *
AprStep_Name(AprStep_t step)
{
    if ((unsigned)step >= APR_STEP_COUNT) {
        return "none";
    }
    return step_names[step];
}
