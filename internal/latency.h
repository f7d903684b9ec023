#ifndef APRICOT_INTERNAL_LATENCY_H
#define APRICOT_INTERNAL_LATENCY_H

#include <stdint.h>

/* Histogram of latencies in milliseconds, with logarithmically spaced bins. */
typedef struct AprLatencyHistogram_t AprLatencyHistogram_t;

AprLatencyHistogram_t *AprLatencyHistogram_New(void);
void AprLatencyHistogram_Free(AprLatencyHistogram_t *latency);
void AprLatencyHistogram_Add(AprLatencyHistogram_t *latency, double ms);
uint64_t AprLatencyHistogram_Count(const AprLatencyHistogram_t *latency);
double AprLatencyHistogram_Quantile(const AprLatencyHistogram_t *latency,
                                    double fraction);

#endif
