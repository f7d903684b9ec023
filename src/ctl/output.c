#include <stdarg.h>
#include <stdlib.h>
#include <time.h>

#include "internal/ctl.h"

#define MS_PER_S 1000

/* Prints a JSON value on one line and drops the reference to it. */
void
AprCtl_PrintJson(const AprCtl_t *ctl, json_t *value)
{
    char *text = json_dumps(value, JSON_COMPACT | JSON_ENCODE_ANY);

    fprintf(ctl->out, "%s\n", text == NULL ? "null" : text);
    free(text);
    json_decref(value);
}

/* Prints an error message as one line to ctl->err, and with --json also as an
   object to ctl->out. Returns exit_code. */
int
AprCtl_Fail(const AprCtl_t *ctl, int exit_code, const char *format, ...)
{
    va_list arguments;
    char *detail;

    va_start(arguments, format);
    detail = g_strdup_vprintf(format, arguments);
    va_end(arguments);
    fprintf(ctl->err, "apricotctl: %s\n", detail);
    if (ctl->print_json) {
        AprCtl_PrintJson(ctl, json_pack("{s:b, s:i, s:s}", "ok", 0, "exit",
                                        exit_code, "detail", detail));
    }
    g_free(detail);
    return exit_code;
}

/* Maps an APR_E_* error code to an exit code. */
int
AprCtl_ErrorToExitCode(int error_code)
{
    switch (error_code) {
    case APR_OK:
        return APR_CTL_OK;
    case APR_E_INVALID:
    case APR_E_PARSE:
        return APR_CTL_INVALID;
    case APR_E_CONFLICT:
    case APR_E_STALE:
        return APR_CTL_CONFLICT;
    case APR_E_UNAVAILABLE:
    case APR_E_UNKNOWN_OUTCOME:
    case APR_E_TIMEOUT:
    case APR_E_CLOSED:
        return APR_CTL_UNAVAILABLE;
    default:
        return APR_CTL_FAILED;
    }
}

/* Formats a wall-clock time, in milliseconds since 1970, as ISO 8601 in UTC;
   0 becomes "-". */
void
AprCtl_FormatTime(int64_t wall_ms, char *text, size_t size)
{
    time_t seconds = wall_ms / MS_PER_S;
    struct tm calendar;

    if (wall_ms == 0 || gmtime_r(&seconds, &calendar) == NULL) {
        g_strlcpy(text, "-", size);
        return;
    }
    strftime(text, size, "%Y-%m-%dT%H:%M:%SZ", &calendar);
}

/* Returns a string member of an object, which keeps the text; "" when it is
   absent or of another type. */
const char *
AprCtl_GetText(const json_t *object, const char *name)
{
    const char *text = json_string_value(json_object_get(object, name));

    return text == NULL ? "" : text;
}

/* Returns an integer member of an object; 0 when it is absent or of another
   type. */
json_int_t
AprCtl_GetInteger(const json_t *object, const char *name)
{
    return json_integer_value(json_object_get(object, name));
}
