#include <arpa/inet.h>
#include <ctype.h>
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "apricot/log.h"
#include "internal/field_table.h"

#define COMPARED_NAME_LENGTH 64 /* only this many characters are compared */
#define MAX_PORT_DIGITS 5
#define MAX_PORT 65535

static bool
is_valid_port(const char *text)
{
    size_t digits = strspn(text, "0123456789");
    long port;

    if (digits == 0 || digits > MAX_PORT_DIGITS || text[digits] != '\0') {
        return false;
    }
    port = strtol(text, NULL, 10);
    return port >= 1 && port <= MAX_PORT;
}

/* Whether the text is IPv4:port or [IPv6]:port with a port above 0. Host names
   are rejected, because resolving them can block for seconds. */
bool
AprAddress_IsValid(const char *text)
{
    char ip[INET6_ADDRSTRLEN];
    unsigned char binary[sizeof(struct in6_addr)];
    const char *colon = strrchr(text, ':');
    size_t size;

    if (colon == NULL || !is_valid_port(colon + 1)) {
        return false;
    }
    size = (size_t)(colon - text);
    if (text[0] == '[') {
        if (size < 2 || size - 2 >= sizeof(ip) || colon[-1] != ']') {
            return false;
        }
        g_strlcpy(ip, text + 1, size - 1);
        return inet_pton(AF_INET6, ip, binary) == 1;
    }
    if (size >= sizeof(ip)) {
        return false;
    }
    g_strlcpy(ip, text, size + 1);
    return inet_pton(AF_INET, ip, binary) == 1;
}

static bool
has_only_name_characters(const char *text)
{
    for (; *text != '\0'; text++) {
        if (!isalnum((unsigned char)*text) && strchr("._-", *text) == NULL) {
            return false;
        }
    }
    return true;
}

static bool
is_printable(const char *text)
{
    if (!g_utf8_validate(text, -1, NULL)) {
        return false;
    }
    for (; *text != '\0'; text++) {
        if (iscntrl((unsigned char)*text)) {
            return false;
        }
    }
    return true;
}

/* A hint on the expected format when the text is invalid for the kind of
   field; NULL when it is valid. */
static const char *
format_hint(AprFieldKind_t kind, const char *text)
{
    AprLogLevel_t level;

    switch (kind) {
    case APR_FIELD_NAME:
        return has_only_name_characters(text)
                   ? NULL
                   : "use only letters, digits, '.', '_' and '-'";
    case APR_FIELD_ADDRESS:
        return AprAddress_IsValid(text)
                   ? NULL
                   : "write IP:port, for instance \"10.1.2.3:7401\"; host "
                     "names are not resolved";
    case APR_FIELD_URL:
        if (!is_printable(text) || (strncmp(text, "http://", 7) != 0 &&
                                    strncmp(text, "https://", 8) != 0)) {
            return "write a URL, for instance \"http://10.1.2.3:2379\"";
        }
        return NULL;
    case APR_FIELD_LEVEL:
        return AprLog_LevelFromName(text, &level) == APR_OK
                   ? NULL
                   : "choose error, warn, info or debug";
    default:
        return is_printable(text) ? NULL : "remove the control characters";
    }
}

/* Checks the length and the format of a text. If it is invalid, returns false
   and writes to `message` what is wrong and what is expected. The message does
   not contain the value of an APR_FIELD_TEXT, which can be a secret. */
bool
AprField_CheckText(const AprField_t *field, const char *text, char *message,
                   size_t size)
{
    size_t length = strlen(text);
    const char *hint;

    if ((double)length < field->min || (double)length > field->max) {
        snprintf(message, size,
                 "has %zu characters; use between %.0f and %.0f", length,
                 field->min, field->max);
        return false;
    }
    if (length == 0) {
        return true;
    }
    hint = format_hint(field->kind, text);
    if (hint == NULL) {
        return true;
    }
    if (field->kind == APR_FIELD_TEXT) {
        snprintf(message, size, "is not valid: %s", hint);
    }
    else {
        snprintf(message, size, "\"%.60s\" is not valid: %s", text, hint);
    }
    return false;
}

static int
min3(int a, int b, int c)
{
    int smallest = a < b ? a : b;

    return smallest < c ? smallest : c;
}

/* The Levenshtein distance of two names. */
int
AprName_Distance(const char *left, const char *right)
{
    int row[COMPARED_NAME_LENGTH + 1];
    int columns = (int)strnlen(right, COMPARED_NAME_LENGTH);
    int rows = (int)strnlen(left, COMPARED_NAME_LENGTH);

    for (int j = 0; j <= columns; j++) {
        row[j] = j;
    }
    for (int i = 1; i <= rows; i++) {
        int diagonal = row[0];

        row[0] = i;
        for (int j = 1; j <= columns; j++) {
            int above = row[j];

            row[j] = min3(above + 1, row[j - 1] + 1,
                          diagonal + (left[i - 1] != right[j - 1]));
            diagonal = above;
        }
    }
    return row[columns];
}

/* Returns the known name with the smallest edit distance; NULL when `count` is
   0. */
const char *
AprName_FindNearest(const char *name, const char *const *known, int count)
{
    const char *nearest = NULL;
    int smallest = 0;

    for (int i = 0; i < count; i++) {
        int distance = AprName_Distance(name, known[i]);

        if (nearest == NULL || distance < smallest) {
            nearest = known[i];
            smallest = distance;
        }
    }
    return nearest;
}
