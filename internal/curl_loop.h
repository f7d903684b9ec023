#ifndef APRICOT_INTERNAL_CURL_LOOP_H
#define APRICOT_INTERNAL_CURL_LOOP_H

#include <stdint.h>

#include <curl/curl.h>

/* Event loop for many libcurl transfers, on epoll. The cost of one pass
   depends on the number of sockets with events, not on the number of
   transfers. */
typedef struct AprCurlLoop_t AprCurlLoop_t;

AprCurlLoop_t *AprCurlLoop_New(int connections);
void AprCurlLoop_Free(AprCurlLoop_t *loop);
CURLM *AprCurlLoop_GetMulti(AprCurlLoop_t *loop);
void AprCurlLoop_RunOnce(AprCurlLoop_t *loop, int64_t max_wait_ns);

#endif
