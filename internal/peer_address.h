#ifndef APRICOT_INTERNAL_PEER_ADDRESS_H
#define APRICOT_INTERNAL_PEER_ADDRESS_H

#include <stddef.h>
#include <sys/socket.h>

typedef struct AprPeerAddress_t {
    struct sockaddr_storage storage;
    socklen_t size;
} AprPeerAddress_t;

/* Parses "IP:port" or "[IPv6]:port". Host names give APR_E_INVALID, because
   name resolution would block the caller. */
int AprPeerAddress_Parse(const char *text, AprPeerAddress_t *address);
/* Writes the local address of a socket as text. APR_E_IO if the socket has
   none. */
int AprPeerAddress_FormatLocal(int fd, char *text, size_t size);
/* Opens a non-blocking TCP socket of the address's family. Returns -1 on
   failure. */
int AprPeerAddress_OpenSocket(const AprPeerAddress_t *address);

#endif
