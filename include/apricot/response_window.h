#ifndef APRICOT_RESPONSE_WINDOW_H
#define APRICOT_RESPONSE_WINDOW_H

#include <stddef.h>

/* Decides how many bytes of a response may be under way from the backend
   server to the caller. Load: a burst of large responses from hosts on slow
   network links. All of them share the link of their host, and whatever else
   it sends waits behind the bytes that are under way. */
size_t AprResponseWindow_Bytes(double link_mbps);

#endif
