#ifndef APRICOT_INTERNAL_LATENCY_H
#define APRICOT_INTERNAL_LATENCY_H

#include <stdint.h>

/* Histogram of latencies in milliseconds, with logarithmically spaced bins. */
typedef struct AprLatency_t AprLatency_t;

AprLatency_t *AprLatency_New(void);
void AprLatency_Free(AprLatency_t *latency);
void AprLatency_Add(AprLatency_t *latency, double ms);
uint64_t AprLatency_Count(const AprLatency_t *latency);
double AprLatency_Quantile(const AprLatency_t *latency, double fraction);

#endif
