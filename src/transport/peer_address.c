#include "internal/peer_address.h"

#include <netdb.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <string.h>

#include "apricot/error.h"

#define HOST_SIZE 64
#define PORT_SIZE 16

/* Copies the host part of "host:port" without brackets and points `port` into
   `text`. */
static int
split_host_port(const char *text, char *host, size_t host_size,
                const char **port)
{
    const char *colon = strrchr(text, ':');
    const char *start = text;
    size_t size;

    if (colon == NULL) {
        return APR_E_INVALID;
    }
    size = (size_t)(colon - text);
    if (size >= 2 && text[0] == '[' && text[size - 1] == ']') {
        start++;
        size -= 2;
    }
    if (size == 0 || size >= host_size) {
        return APR_E_INVALID;
    }
    memcpy(host, start, size);
    host[size] = '\0';
    *port = colon + 1;
    return APR_OK;
}

/* Parses a numeric IPv4 or IPv6 address with a numeric port. Returns
   APR_E_INVALID for anything else, NULL included. */
int
AprPeerAddress_Parse(const char *text, AprPeerAddress_t *address)
{
    struct addrinfo hints = {.ai_flags = AI_NUMERICHOST | AI_NUMERICSERV,
                             .ai_socktype = SOCK_STREAM};
    struct addrinfo *result;
    char host[HOST_SIZE];
    const char *port;

    if (text == NULL ||
        split_host_port(text, host, sizeof(host), &port) != APR_OK ||
        port[0] == '\0' || getaddrinfo(host, port, &hints, &result) != 0) {
        return APR_E_INVALID;
    }
    memset(address, 0, sizeof(*address));
    memcpy(&address->storage, result->ai_addr, result->ai_addrlen);
    address->size = result->ai_addrlen;
    freeaddrinfo(result);
    return APR_OK;
}

/* Writes the local address of a socket as "IP:port" or "[IPv6]:port". Returns
   APR_E_IO if the address cannot be read. */
int
AprPeerAddress_FormatLocal(int fd, char *text, size_t size)
{
    struct sockaddr_storage storage = {0};
    socklen_t length = sizeof(storage);
    char host[HOST_SIZE];
    char port[PORT_SIZE];

    if (getsockname(fd, (struct sockaddr *)&storage, &length) != 0 ||
        getnameinfo((struct sockaddr *)&storage, length, host, sizeof(host),
                    port, sizeof(port), NI_NUMERICHOST | NI_NUMERICSERV)) {
        return APR_E_IO;
    }
    snprintf(text, size, storage.ss_family == AF_INET6 ? "[%s]:%s" : "%s:%s",
             host, port);
    return APR_OK;
}

/* Opens a non-blocking TCP socket. Returns a file descriptor or -1. Sets
   TCP_NODELAY, because small control messages must not wait for the
   acknowledgement of earlier segments. */
int
AprPeerAddress_OpenSocket(const AprPeerAddress_t *address)
{
    int one = 1;
    int fd = socket(address->storage.ss_family,
                    SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

    if (fd >= 0) {
        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
    }
    return fd;
}
