#ifndef APRICOT_NETWORK_DELAY_H
#define APRICOT_NETWORK_DELAY_H

#include <stdbool.h>
#include <stdint.h>

/* Queueing delay of the network on the way to this host. Load: large request
   bodies that fill the link of a host, so that all requests to it arrive late
   while its backend server is idle, and reports of remaining work make it look
   free. */
typedef struct AprNetworkDelay_t {
    double delay_ms;       /* mean of the last arrivals */
    int64_t updated_ms;    /* of the last arrival; 0: none */
    int64_t advertised_ms; /* see AprNetworkDelay_MustAdvertise() */
} AprNetworkDelay_t;

void AprNetworkDelay_Add(AprNetworkDelay_t *delay, int64_t sample_ms,
                         int64_t now_ms);
int64_t AprNetworkDelay_Get(const AprNetworkDelay_t *delay, int64_t now_ms);
bool AprNetworkDelay_MustAdvertise(AprNetworkDelay_t *delay, int64_t now_ms);

#endif
