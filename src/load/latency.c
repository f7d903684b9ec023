#include "internal/latency.h"

#include <math.h>
#include <stdlib.h>

#include <gsl/gsl_errno.h>
#include <gsl/gsl_histogram.h>

#define MIN_MS 0.01
#define MAX_MS 1e6

/* Each bin is about 5 % wider than the one before, which bounds the error of a
   quantile. */
#define BIN_COUNT 380

struct AprLatencyHistogram_t {
    gsl_histogram *histogram;
    uint64_t count;
};

/* Creates an empty histogram. Returns NULL when memory runs out. */
AprLatencyHistogram_t *
AprLatencyHistogram_New(void)
{
    AprLatencyHistogram_t *latency = calloc(1, sizeof(*latency));
    double ranges[BIN_COUNT + 1];

    if (latency == NULL) {
        return NULL;
    }
    for (int i = 0; i <= BIN_COUNT; i++) {
        ranges[i] = MIN_MS * pow(MAX_MS / MIN_MS, (double)i / BIN_COUNT);
    }
    latency->histogram = gsl_histogram_alloc(BIN_COUNT);
    if (latency->histogram == NULL ||
        gsl_histogram_set_ranges(latency->histogram, ranges, BIN_COUNT + 1) !=
            GSL_SUCCESS) {
        AprLatencyHistogram_Free(latency);
        return NULL;
    }
    return latency;
}

/* Frees a histogram; NULL is allowed. */
void
AprLatencyHistogram_Free(AprLatencyHistogram_t *latency)
{
    if (latency == NULL) {
        return;
    }
    if (latency->histogram != NULL) {
        gsl_histogram_free(latency->histogram);
    }
    free(latency);
}

/* Adds a latency in milliseconds. A latency below 0.01 ms or NaN counts in the
   first bin, and one above the range in the last bin. */
void
AprLatencyHistogram_Add(AprLatencyHistogram_t *latency, double ms)
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

/* Returns the number of latencies added. */
uint64_t
AprLatencyHistogram_Count(const AprLatencyHistogram_t *latency)
{
    return latency->count;
}

/* Returns the quantile (fraction from 0 to 1) in milliseconds, interpolated
   linearly within its bin; 0 for an empty histogram. */
double
AprLatencyHistogram_Quantile(const AprLatencyHistogram_t *latency,
                             double fraction)
{
    double target_count = fraction * (double)latency->count;
    double count_below = 0;

    for (size_t i = 0; i < BIN_COUNT; i++) {
        double bin_count = gsl_histogram_get(latency->histogram, i);
        double bin_low_ms;
        double bin_high_ms;

        if (bin_count > 0 && count_below + bin_count >= target_count) {
            gsl_histogram_get_range(latency->histogram, i, &bin_low_ms,
                                    &bin_high_ms);
            return bin_low_ms + (bin_high_ms - bin_low_ms) *
                                    fmax(target_count - count_below, 0) /
                                    bin_count;
        }
        count_below += bin_count;
    }
    return 0;
}
