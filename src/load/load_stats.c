#include "internal/load_stats.h"

#include <math.h>
#include <string.h>

#include <jansson.h>

#define MS_PER_S 1000.0
#define QUANTILES 3

static const char *const outcome_names[APR_LOAD_OUTCOMES] = {
    "answered", "not-run", "unknown", "rejected", "transport"};
static const char *const json_names[APR_LOAD_OUTCOMES] = {
    "answered", "not_run", "unknown", "rejected", "errors"};
static const double quantiles[QUANTILES] = {0.5, 0.9, 0.99};
static const char *const quantile_names[QUANTILES] = {"p50_ms", "p90_ms",
                                                      "p99_ms"};

/* Prepares empty statistics. Returns false when memory runs out;
   AprLoadStats_Clear is then still due. */
bool
AprLoadStats_Init(AprLoadStats_t *stats, int rank_count)
{
    memset(stats, 0, sizeof(*stats));
    stats->rank_count = rank_count;
    for (int i = 0; i < rank_count; i++) {
        stats->ranks[i].latency = AprLatency_New();
        if (stats->ranks[i].latency == NULL) {
            return false;
        }
    }
    return true;
}

/* Frees the histograms. */
void
AprLoadStats_Clear(AprLoadStats_t *stats)
{
    for (int i = 0; i < stats->rank_count; i++) {
        AprLatency_Free(stats->ranks[i].latency);
    }
}

/* The outcome that an Apricot-Outcome header names; a missing (NULL) or
   unknown one counts as a transport error. */
AprLoadOutcome_t
AprLoadStats_OutcomeOf(const char *header)
{
    for (int i = 0; header != NULL && i < APR_LOAD_TRANSPORT; i++) {
        if (strcmp(header, outcome_names[i]) == 0) {
            return (AprLoadOutcome_t)i;
        }
    }
    return APR_LOAD_TRANSPORT;
}

static void
close_gap(AprLoadStats_t *stats, double now_s)
{
    stats->longest_gap_s =
        fmax(stats->longest_gap_s, now_s - stats->last_answer_s);
    stats->last_answer_s = now_s;
}

/* Counts a finished request. Times are seconds since the start; the latency
   runs from the time at which the request was due. */
void
AprLoadStats_Add(AprLoadStats_t *stats, int rank, AprLoadOutcome_t what,
                 double sent_s, double now_s)
{
    stats->ranks[rank].outcomes[what]++;
    if (what == APR_LOAD_ANSWERED) {
        AprLatency_Add(stats->ranks[rank].latency,
                       (now_s - sent_s) * MS_PER_S);
        close_gap(stats, now_s);
    }
}

/* Closes the last gap, at the time when the last request was due. */
void
AprLoadStats_Finish(AprLoadStats_t *stats, double now_s)
{
    if (now_s > stats->last_answer_s) {
        close_gap(stats, now_s);
    }
}

/* Prints a table with one line per rank. */
void
AprLoadStats_PrintTable(const AprLoadStats_t *stats,
                        const AprWorkload_t *workload, FILE *file)
{
    fprintf(file, "%-12s %9s", "rank", "sent");
    for (int i = 0; i < APR_LOAD_OUTCOMES; i++) {
        fprintf(file, " %9s", outcome_names[i]);
    }
    for (int i = 0; i < QUANTILES; i++) {
        fprintf(file, " %9s", quantile_names[i]);
    }
    fputc('\n', file);
    for (int rank = 0; rank < stats->rank_count; rank++) {
        const AprLoadRankStats_t *own = &stats->ranks[rank];

        fprintf(file, "%-12s %9llu", workload->ranks[rank].name,
                (unsigned long long)own->sent);
        for (int i = 0; i < APR_LOAD_OUTCOMES; i++) {
            fprintf(file, " %9llu", (unsigned long long)own->outcomes[i]);
        }
        for (int i = 0; i < QUANTILES; i++) {
            fprintf(file, " %9.2f",
                    AprLatency_Quantile(own->latency, quantiles[i]));
        }
        fputc('\n', file);
    }
    fprintf(file, "longest gap without an answer: %.0f ms\n",
            stats->longest_gap_s * MS_PER_S);
    fprintf(file, "not sent (no connection in time): %llu\n",
            (unsigned long long)stats->skipped);
}

static json_t *
rank_json(const AprLoadRankStats_t *own, const char *name)
{
    json_t *object = json_object();

    json_object_set_new(object, "rank", json_string(name));
    json_object_set_new(object, "sent", json_integer((json_int_t)own->sent));
    for (int i = 0; i < APR_LOAD_OUTCOMES; i++) {
        json_object_set_new(object, json_names[i],
                            json_integer((json_int_t)own->outcomes[i]));
    }
    for (int i = 0; i < QUANTILES; i++) {
        json_object_set_new(
            object, quantile_names[i],
            json_real(AprLatency_Quantile(own->latency, quantiles[i])));
    }
    return object;
}

/* Prints the same figures as one JSON object; transport errors are its
   "errors". */
void
AprLoadStats_PrintJson(const AprLoadStats_t *stats,
                       const AprWorkload_t *workload, FILE *file)
{
    json_t *root = json_object();
    json_t *ranks = json_array();

    for (int i = 0; i < stats->rank_count; i++) {
        json_array_append_new(
            ranks, rank_json(&stats->ranks[i], workload->ranks[i].name));
    }
    json_object_set_new(root, "ranks", ranks);
    json_object_set_new(root, "longest_gap_ms",
                        json_real(stats->longest_gap_s * MS_PER_S));
    json_object_set_new(root, "not_sent",
                        json_integer((json_int_t)stats->skipped));
    json_dumpf(root, file, JSON_INDENT(2));
    fputc('\n', file);
    json_decref(root);
}
