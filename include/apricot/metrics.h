#ifndef APRICOT_METRICS_H
#define APRICOT_METRICS_H

#include <stdint.h>

/* Registry of counters and gauges, exported in the Prometheus text exposition
   format. Metrics may be registered and changed from any thread; the registry
   owns them. */
typedef struct AprMetrics_t AprMetrics_t;
typedef struct AprMetric_t AprMetric_t;

AprMetrics_t *AprMetrics_New(void);
void AprMetrics_Free(AprMetrics_t *metrics);
AprMetric_t *AprMetrics_RegisterCounter(AprMetrics_t *metrics,
                                        const char *name, const char *labels,
                                        const char *help);
AprMetric_t *AprMetrics_RegisterGauge(AprMetrics_t *metrics, const char *name,
                                      const char *labels, const char *help);
void AprMetric_Add(AprMetric_t *metric, int64_t delta);
void AprMetric_Set(AprMetric_t *metric, int64_t value);
int64_t AprMetric_Value(const AprMetric_t *metric);
/* The caller frees the text. */
char *AprMetrics_Format(AprMetrics_t *metrics);

#endif
