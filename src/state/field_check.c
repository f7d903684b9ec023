#include <arpa/inet.h>
#include <ctype.h>
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "apricot/log.h"
#include "internal/field_table.h"

#define NAME_LIMIT 64 /* longer names are compared by their beginning */
#define PORT_DIGITS 5
#define PORT_MAX 65535

static bool
port_valid(const char *text)
{
    size_t digits = strspn(text, "0123456789");
    long port;

    if (digits == 0 || digits > PORT_DIGITS || text[digits] != '\0') {
        return false;
    }
    port = strtol(text, NULL, 10);
    return port >= 1 && port <= PORT_MAX;
}

/* Whether the text is IPv4:port or [IPv6]:port with a port above 0. Host names
   are refused because resolving them can block for seconds. */
bool
AprAddress_Valid(const char *text)
{
    char ip[INET6_ADDRSTRLEN];
    unsigned char binary[sizeof(struct in6_addr)];
    const char *colon = strrchr(text, ':');
    size_t size;

    if (colon == NULL || !port_valid(colon + 1)) {
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
is_name(const char *text)
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

/* Text that the check of the kind refuses; NULL when it is acceptable. */
static const char *
expectation(AprFieldKind_t kind, const char *text)
{
    AprLogLevel_t level;

    switch (kind) {
    case APR_FIELD_NAME:
        return is_name(text) ? NULL
                             : "use only letters, digits, '.', '_' and '-'";
    case APR_FIELD_ADDRESS:
        return AprAddress_Valid(text)
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

/* Checks the length and the form of a text. On a fault `message` says what is
   wrong and what is expected; secrets are not repeated in it. */
bool
AprField_CheckText(const AprField_t *field, const char *text, char *message,
                   size_t size)
{
    size_t length = strlen(text);
    const char *expected;

    if ((double)length < field->min || (double)length > field->max) {
        snprintf(message, size,
                 "has %zu characters; use between %.0f and %.0f", length,
                 field->min, field->max);
        return false;
    }
    if (length == 0) {
        return true;
    }
    expected = expectation(field->kind, text);
    if (expected == NULL) {
        return true;
    }
    if (field->kind == APR_FIELD_TEXT) {
        snprintf(message, size, "is not valid: %s", expected);
    }
    else {
        snprintf(message, size, "\"%.60s\" is not valid: %s", text, expected);
    }
    return false;
}

static int
min3(int a, int b, int c)
{
    int least = a < b ? a : b;

    return least < c ? least : c;
}

/* Levenshtein distance. */
static int
edit_distance(const char *left, const char *right)
{
    int row[NAME_LIMIT + 1];
    int columns = (int)strnlen(right, NAME_LIMIT);
    int rows = (int)strnlen(left, NAME_LIMIT);

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

/* The known name with the smallest edit distance; NULL when none is known. */
const char *
AprName_Nearest(const char *name, const char *const *known, int count)
{
    const char *nearest = NULL;
    int least = 0;

    for (int i = 0; i < count; i++) {
        int distance = edit_distance(name, known[i]);

        if (nearest == NULL || distance < least) {
            nearest = known[i];
            least = distance;
        }
    }
    return nearest;
}
