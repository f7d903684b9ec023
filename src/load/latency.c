#include "internal/latency.h"

#include <math.h>
#include <stdlib.h>

#include <gsl/gsl_errno.h>
#include <gsl/gsl_histogram.h>

#define MIN_MS 0.01
#define MAX_MS 1e6

/* Bins grow by about 5 %, which bounds the error of a quantile. */
#define BINS 380

struct AprLatency_t {
    gsl_histogram *histogram;
    uint64_t count;
};

/* Creates an empty histogram. Returns NULL when memory runs out. */
AprLatency_t *
AprLatency_New(void)
{
    AprLatency_t *latency = calloc(1, sizeof(*latency));
    double ranges[BINS + 1];

    if (latency == NULL) {
        return NULL;
    }
    for (int i = 0; i <= BINS; i++) {
        ranges[i] = MIN_MS * pow(MAX_MS / MIN_MS, (double)i / BINS);
    }
    latency->histogram = gsl_histogram_alloc(BINS);
    if (latency->histogram == NULL ||
        gsl_histogram_set_ranges(latency->histogram, ranges, BINS + 1) !=
            GSL_SUCCESS) {
        AprLatency_Free(latency);
        return NULL;
    }
    return latency;
}

/* Frees a histogram. */
void
AprLatency_Free(AprLatency_t *latency)
{
    if (latency == NULL) {
        return;
    }
    if (latency->histogram != NULL) {
        gsl_histogram_free(latency->histogram);
    }
    free(latency);
}

/* Adds a time in milliseconds. Times outside the range of the histogram count
   in its first or last bin. */
void
AprLatency_Add(AprLatency_t *latency, double ms)
{
    if (!(ms >= MIN_MS)) {
        ms = MIN_MS;
    }
    else if (ms > MAX_MS * 0.99) {
        ms = MAX_MS * 0.99;
    }
    gsl_histogram_increment(latency->histogram, ms);
    latency->count++;
}

/* Number of times added. */
uint64_t
AprLatency_Count(const AprLatency_t *latency)
{
    return latency->count;
}

/* The time in milliseconds below which this fraction of the times lies,
   interpolated within its bin; 0 for an empty histogram. */
double
AprLatency_Quantile(const AprLatency_t *latency, double fraction)
{
    double wanted = fraction * (double)latency->count;
    double below = 0;

    for (size_t i = 0; i < BINS; i++) {
        double count = gsl_histogram_get(latency->histogram, i);
        double low;
        double high;

        if (count > 0 && below + count >= wanted) {
            gsl_histogram_get_range(latency->histogram, i, &low, &high);
            return low + (high - low) * fmax(wanted - below, 0) / count;
        }
        below += count;
    }
    return 0;
}
