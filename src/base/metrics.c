#include "apricot/metrics.h"

#include <glib.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdlib.h>
#include <string.h>

#define METRIC_NAME_SIZE 64
#define METRIC_LABELS_SIZE 128
#define METRIC_HELP_SIZE 128

struct AprMetric_t {
    char name[METRIC_NAME_SIZE];
    char labels[METRIC_LABELS_SIZE]; /* label="value" pairs, or empty */
    char help[METRIC_HELP_SIZE];
    const char *type;
    atomic_llong value;
    AprMetric_t *next;
};

struct AprMetrics_t {
    pthread_mutex_t mutex; /* guards the list; the values are atomic */
    AprMetric_t *first;
    AprMetric_t *last;
};

/* Creates an empty registry. Returns NULL when memory runs out. */
AprMetrics_t *
AprMetrics_New(void)
{
    AprMetrics_t *metrics = calloc(1, sizeof(*metrics));

    if (metrics != NULL) {
        pthread_mutex_init(&metrics->mutex, NULL);
    }
    return metrics;
}

/* Frees a registry and all of its metrics. */
void
AprMetrics_Free(AprMetrics_t *metrics)
{
    AprMetric_t *metric;

    if (metrics == NULL) {
        return;
    }
    metric = metrics->first;
    while (metric != NULL) {
        AprMetric_t *next = metric->next;

        free(metric);
        metric = next;
    }
    pthread_mutex_destroy(&metrics->mutex);
    free(metrics);
}

static AprMetric_t *
find_metric(AprMetrics_t *metrics, const char *name, const char *labels)
{
    for (AprMetric_t *metric = metrics->first; metric != NULL;
         metric = metric->next) {
        if (strcmp(metric->name, name) == 0 &&
            strcmp(metric->labels, labels) == 0) {
            return metric;
        }
    }
    return NULL;
}

/* Inserts a metric after the last one of the same name, because the exposition
   format requires all samples of a name to be adjacent. */
static void
insert_metric(AprMetrics_t *metrics, AprMetric_t *metric)
{
    AprMetric_t *after = metrics->last;

    for (AprMetric_t *other = metrics->first; other != NULL;
         other = other->next) {
        if (strcmp(other->name, metric->name) == 0) {
            after = other;
        }
    }
    if (after == NULL) {
        metrics->first = metric;
    }
    else {
        metric->next = after->next;
        after->next = metric;
    }
    if (metric->next == NULL) {
        metrics->last = metric;
    }
}

static AprMetric_t *
register_metric(AprMetrics_t *metrics, const char *name, const char *labels,
                const char *help, const char *type)
{
    AprMetric_t *metric;

    if (labels == NULL) {
        labels = "";
    }
    pthread_mutex_lock(&metrics->mutex);
    metric = find_metric(metrics, name, labels);
    if (metric == NULL) {
        metric = calloc(1, sizeof(*metric));
        if (metric == NULL) {
            abort(); /* start-up only; the process cannot run without it */
        }
        g_strlcpy(metric->name, name, sizeof(metric->name));
        g_strlcpy(metric->labels, labels, sizeof(metric->labels));
        g_strlcpy(metric->help, help, sizeof(metric->help));
        metric->type = type;
        insert_metric(metrics, metric);
    }
    pthread_mutex_unlock(&metrics->mutex);
    return metric;
}

/* Returns the counter with this name and labels, which is created on first use
   and owned by the registry. Never returns NULL: aborts when memory runs out.
   `labels` may be NULL. Thread safe. */
AprMetric_t *
AprMetrics_RegisterCounter(AprMetrics_t *metrics, const char *name,
                           const char *labels, const char *help)
{
    return register_metric(metrics, name, labels, help, "counter");
}

/* Returns the gauge with this name and labels, under the same rules as
   AprMetrics_RegisterCounter. */
AprMetric_t *
AprMetrics_RegisterGauge(AprMetrics_t *metrics, const char *name,
                         const char *labels, const char *help)
{
    return register_metric(metrics, name, labels, help, "gauge");
}

/* Adds to a metric. Thread safe. */
void
AprMetric_Add(AprMetric_t *metric, int64_t delta)
{
    atomic_fetch_add_explicit(&metric->value, delta, memory_order_relaxed);
}

/* Sets a gauge. Thread safe. */
void
AprMetric_Set(AprMetric_t *metric, int64_t value)
{
    atomic_store_explicit(&metric->value, value, memory_order_relaxed);
}

int64_t
AprMetric_Value(const AprMetric_t *metric)
{
    return atomic_load_explicit(&metric->value, memory_order_relaxed);
}

/* Formats all metrics in the text exposition format. The caller frees the text
   with free(); NULL when memory runs out. */
char *
AprMetrics_Format(AprMetrics_t *metrics)
{
    GString *text = g_string_new(NULL);
    const char *previous = "";
    char *result;

    pthread_mutex_lock(&metrics->mutex);
    for (AprMetric_t *metric = metrics->first; metric != NULL;
         metric = metric->next) {
        if (strcmp(previous, metric->name) != 0) {
            g_string_append_printf(text, "# HELP %s %s\n# TYPE %s %s\n",
                                   metric->name, metric->help, metric->name,
                                   metric->type);
            previous = metric->name;
        }
        g_string_append(text, metric->name);
        if (metric->labels[0] != '\0') {
            g_string_append_printf(text, "{%s}", metric->labels);
        }
        g_string_append_printf(text, " %lld\n",
                               (long long)AprMetric_Value(metric));
    }
    pthread_mutex_unlock(&metrics->mutex);
    result = strdup(text->str);
    g_string_free(text, TRUE);
    return result;
}
