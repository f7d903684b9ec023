#include "apricot/response_window.h"

#include "internal/call.h"

/* Time for which the bytes of one response that are under way occupy the
   network link. Acknowledgements from the farthest failure domain return
   sooner, so that a single response keeps the link busy. */
#define WINDOW_MS 30

/* Least bytes under way, for slow links. */
#define MIN_WINDOW_BYTES 65536

/* Returns the flow-control window of a response for a network link of this
   rate; 0: unknown. */
size_t
AprResponseWindow_Bytes(double link_mbps)
{
    double bytes = link_mbps * 125.0 * WINDOW_MS;

    if (bytes <= 0 || bytes >= APR_CALL_WINDOW_BYTES) {
        return APR_CALL_WINDOW_BYTES;
    }
    return bytes < MIN_WINDOW_BYTES ? MIN_WINDOW_BYTES : (size_t)bytes;
}
