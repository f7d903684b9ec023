#include "apricot/network_delay.h"

/* Weight of an arrival. A single sender with a delay of its own, for instance
   by retransmissions, then counts little. */
#define ARRIVAL_WEIGHT 0.15

/* From this delay on, other hosts are told at once: with their next request
   they would learn of it too late. Half of a usual objective of calls that
   backend servers make. */
#define ADVERTISED_DELAY_MS 75

/* Least time between two such reports. */
#define ADVERTISE_INTERVAL_MS 250

/* Adds the queueing delay of a request that arrived now. */
void
AprNetworkDelay_Add(AprNetworkDelay_t *delay, int64_t sample_ms,
                    int64_t now_ms)
{
    double kept_ms = (double)AprNetworkDelay_Get(delay, now_ms);

    if (sample_ms < 0) {
        sample_ms = 0;
    }
    delay->delay_ms = kept_ms + ARRIVAL_WEIGHT * ((double)sample_ms - kept_ms);
    delay->updated_ms = now_ms;
}

/* Returns the expected delay in milliseconds. Without arrivals it falls by the
   time that passes, as a queue without arrivals does. */
int64_t
AprNetworkDelay_Get(const AprNetworkDelay_t *delay, int64_t now_ms)
{
    double left_ms = delay->delay_ms - (double)(now_ms - delay->updated_ms);

    return left_ms > 0 ? (int64_t)(left_ms + 0.5) : 0;
}

/* Returns whether other hosts should be told of the delay now, and counts this
   as done. */
bool
AprNetworkDelay_MustAdvertise(AprNetworkDelay_t *delay, int64_t now_ms)
{
    if (AprNetworkDelay_Get(delay, now_ms) < ADVERTISED_DELAY_MS ||
        now_ms - delay->advertised_ms < ADVERTISE_INTERVAL_MS) {
        return false;
    }
    delay->advertised_ms = now_ms;
    return true;
}
