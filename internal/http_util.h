#ifndef APRICOT_INTERNAL_HTTP_UTIL_H
#define APRICOT_INTERNAL_HTTP_UTIL_H

#include <microhttpd.h>
#include <netinet/in.h>
#include <stdbool.h>

int AprHttp_ParseAddress(const char *text, struct sockaddr_in *address);
/* Returns whether the request carries the bearer token; an empty token admits
   every request. */
bool AprHttp_TokenMatches(struct MHD_Connection *connection,
                          const char *token);
bool AprHttp_IsFromLoopback(struct MHD_Connection *connection);

#endif
