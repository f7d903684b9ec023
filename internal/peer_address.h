#ifndef APRICOT_INTERNAL_PEER_ADDRESS_H
#define APRICOT_INTERNAL_PEER_ADDRESS_H

#include <stddef.h>
#include <sys/socket.h>

typedef struct AprPeerAddress_t {
    struct sockaddr_storage storage;
    socklen_t size;
} AprPeerAddress_t;

/* Parses "IP:port" or "[IPv6]:port". Names are refused with APR_E_INVALID:
   resolving them would block. */
int AprPeerAddress_Parse(const char *text, AprPeerAddress_t *address);
/* Writes the text form of the address that a socket is bound to. */
int AprPeerAddress_OfSocket(int fd, char *text, size_t size);
/* Opens a non-blocking TCP socket of the address's family. */
int AprPeerAddress_Socket(const AprPeerAddress_t *address);

#endif
