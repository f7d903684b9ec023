#include "apricot/server_load.h"

#include <stdlib.h>
#include <string.h>

#include "apricot/cost_model.h"

/* Upper bound of reported counts; larger ones cannot be meant. */
#define MAX_COUNT 100000

/* Reads a decimal number without sign or spaces in front. Returns false unless
   it is at most `most` and is followed by a comma or the end. */
static bool
read_number(const char **at, long most, int *number)
{
    char *end;
    long value;

    if (**at < '0' || **at > '9') {
        return false;
    }
    value = strtol(*at, &end, 10);
    if (value > most || (*end != ',' && *end != '\0')) {
        return false;
    }
    *number = (int)value;
    *at = end;
    return true;
}

/* Reads "running,waiting,slots,pace"; the pace may be missing. Returns false,
   and a load that is not known, if the text is malformed or a value cannot be
   meant: no slots, or a pace out of the bounds of the cost model. */
bool
AprServerLoad_Parse(const char *text, AprServerLoad_t *load)
{
    AprServerLoad_t parsed = {0};
    int *fields[] = {&parsed.running, &parsed.waiting, &parsed.slots,
                     &parsed.pace};
    int count = 0;

    memset(load, 0, sizeof(*load));
    for (;;) {
        if (!read_number(&text, MAX_COUNT, fields[count++])) {
            return false;
        }
        if (*text == '\0') {
            break;
        }
        if (count == 4) {
            return false;
        }
        text++;
    }
    if (count < 3 || parsed.slots < 1 ||
        (count == 4 &&
         (parsed.pace < APR_PACE_MIN || parsed.pace > APR_PACE_MAX))) {
        return false;
    }
    parsed.known = true;
    *load = parsed;
    return true;
}
