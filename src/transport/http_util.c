#include "internal/http_util.h"

#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>

#include "apricot/error.h"

#define BEARER "Bearer "
#define IP_TEXT_SIZE 64
#define LOOPBACK_FIRST_OCTET 127u

/* Parses "IP:port" with an IPv4 address. Returns APR_E_INVALID for anything
   else; host names are not resolved. */
int
AprHttp_ParseAddress(const char *text, struct sockaddr_in *address)
{
    const char *colon = strrchr(text, ':');
    char ip[IP_TEXT_SIZE];
    char *end;
    long port;

    if (colon == NULL || (size_t)(colon - text) >= sizeof(ip)) {
        return APR_E_INVALID;
    }
    memcpy(ip, text, (size_t)(colon - text));
    ip[colon - text] = '\0';
    port = strtol(colon + 1, &end, 10);
    memset(address, 0, sizeof(*address));
    address->sin_family = AF_INET;
    if (*end != '\0' || end == colon + 1 || port < 0 || port > UINT16_MAX ||
        inet_pton(AF_INET, ip, &address->sin_addr) != 1) {
        return APR_E_INVALID;
    }
    address->sin_port = htons((uint16_t)port);
    return APR_OK;
}

/* Compares without an early exit, so that the response time does not reveal
   how many leading characters of a guessed token are correct. */
static bool
secrets_equal(const char *left, const char *right)
{
    size_t size = strlen(right);
    unsigned difference = strlen(left) != size;

    for (size_t i = 0; i < size && left[i] != '\0'; i++) {
        difference |= (unsigned)(left[i] ^ right[i]);
    }
    return difference == 0;
}

/* Returns whether the request carries the bearer token; an empty token admits
   every request. */
bool
AprHttp_TokenMatches(struct MHD_Connection *connection, const char *token)
{
    const char *value = MHD_lookup_connection_value(
        connection, MHD_HEADER_KIND, "Authorization");

    if (token[0] == '\0') {
        return true;
    }
    return value != NULL && strncmp(value, BEARER, strlen(BEARER)) == 0 &&
           secrets_equal(value + strlen(BEARER), token);
}

/* Returns whether the request comes from a loopback IPv4 address. */
bool
AprHttp_IsFromLoopback(struct MHD_Connection *connection)
{
    const union MHD_ConnectionInfo *info = MHD_get_connection_info(
        connection, MHD_CONNECTION_INFO_CLIENT_ADDRESS);
    const struct sockaddr_in *address;

    if (info == NULL || info->client_addr == NULL ||
        info->client_addr->sa_family != AF_INET) {
        return false;
    }
    address = (const struct sockaddr_in *)info->client_addr;
    return ntohl(address->sin_addr.s_addr) >> 24 == LOOPBACK_FIRST_OCTET;
}
