#ifndef APRICOT_INTERNAL_CURL_LOOP_H
#define APRICOT_INTERNAL_CURL_LOOP_H

#include <stdint.h>

#include <curl/curl.h>

/* Event loop for many libcurl transfers; the cost of a round depends on the
   sockets with events and not on the number of transfers. */
typedef struct AprCurlLoop_t AprCurlLoop_t;

AprCurlLoop_t *AprCurlLoop_New(int connections);
void AprCurlLoop_Free(AprCurlLoop_t *loop);
CURLM *AprCurlLoop_Multi(AprCurlLoop_t *loop);
void AprCurlLoop_Run(AprCurlLoop_t *loop, int64_t wait_ns);

#endif
