#include "internal/load_stats.h"

#include <math.h>
#include <string.h>

#include <jansson.h>

#define MS_PER_S 1000.0
#define QUANTILE_COUNT 3

static const char *const outcome_names[APR_LOAD_OUTCOME_COUNT] = {
    "answered", "not-run", "unknown", "rejected", "transport"};
static const char *const json_names[APR_LOAD_OUTCOME_COUNT] = {
    "answered", "not_run", "unknown", "rejected", "errors"};
static const double quantiles[QUANTILE_COUNT] = {0.5, 0.9, 0.99};
static const char *const quantile_names[QUANTILE_COUNT] = {"p50_ms", "p90_ms",
                                                           "p99_ms"};

/* Initialises empty statistics. Returns false when memory runs out; the caller
   must call AprLoadStats_Clear in that case too. */
bool
AprLoadStats_Init(AprLoadStats_t *stats, int rank_count)
{
    memset(stats, 0, sizeof(*stats));
    stats->rank_count = rank_count;
    for (int i = 0; i < rank_count; i++) {
        stats->ranks[i].latency = AprLatencyHistogram_New();
        if (stats->ranks[i].latency == NULL) {
            return false;
        }
    }
    return true;
}

/* Frees the histograms of all ranks. */
void
AprLoadStats_Clear(AprLoadStats_t *stats)
{
    for (int i = 0; i < stats->rank_count; i++) {
        AprLatencyHistogram_Free(stats->ranks[i].latency);
    }
}

/* Parses the value of an Apricot-Outcome header. A missing (NULL) or unknown
   value counts as a transport error. */
AprLoadOutcome_t
AprLoadStats_ParseOutcome(const char *header)
{
    for (int i = 0; header != NULL && i < APR_LOAD_TRANSPORT_ERROR; i++) {
        if (strcmp(header, outcome_names[i]) == 0) {
            return (AprLoadOutcome_t)i;
        }
    }
    return APR_LOAD_TRANSPORT_ERROR;
}

/* Ends the current time without an answered request at now_s. */
static void
end_answer_gap(AprLoadStats_t *stats, double now_s)
{
    stats->longest_gap_s =
        fmax(stats->longest_gap_s, now_s - stats->last_answer_s);
    stats->last_answer_s = now_s;
}

/* Counts a finished request. due_s and now_s are seconds since the start of
   the run; the latency is measured from the time at which the request was due.
 */
void
AprLoadStats_RecordResult(AprLoadStats_t *stats, int rank,
                          AprLoadOutcome_t outcome, double due_s, double now_s)
{
    stats->ranks[rank].outcomes[outcome]++;
    if (outcome == APR_LOAD_ANSWERED) {
        AprLatencyHistogram_Add(stats->ranks[rank].latency,
                                (now_s - due_s) * MS_PER_S);
        end_answer_gap(stats, now_s);
    }
}

/* Ends the last time without an answered request at now_s, the end of the
   sending time. */
void
AprLoadStats_Finish(AprLoadStats_t *stats, double now_s)
{
    if (now_s > stats->last_answer_s) {
        end_answer_gap(stats, now_s);
    }
}

/* Prints a table with one line per rank, then the longest time without an
   answered request and the number of requests not sent. */
void
AprLoadStats_PrintTable(const AprLoadStats_t *stats,
                        const AprWorkload_t *workload, FILE *file)
{
    fprintf(file, "%-12s %9s", "rank", "sent");
    for (int i = 0; i < APR_LOAD_OUTCOME_COUNT; i++) {
        fprintf(file, " %9s", outcome_names[i]);
    }
    for (int i = 0; i < QUANTILE_COUNT; i++) {
        fprintf(file, " %9s", quantile_names[i]);
    }
    fputc('\n', file);
    for (int rank = 0; rank < stats->rank_count; rank++) {
        const AprLoadRankStats_t *rank_stats = &stats->ranks[rank];

        fprintf(file, "%-12s %9llu", workload->ranks[rank].name,
                (unsigned long long)rank_stats->sent);
        for (int i = 0; i < APR_LOAD_OUTCOME_COUNT; i++) {
            fprintf(file, " %9llu",
                    (unsigned long long)rank_stats->outcomes[i]);
        }
        for (int i = 0; i < QUANTILE_COUNT; i++) {
            fprintf(file, " %9.2f",
                    AprLatencyHistogram_Quantile(rank_stats->latency,
                                                 quantiles[i]));
        }
        fputc('\n', file);
    }
    fprintf(file, "longest gap without an answer: %.0f ms\n",
            stats->longest_gap_s * MS_PER_S);
    fprintf(file, "not sent (no connection in time): %llu\n",
            (unsigned long long)stats->not_sent);
}

static json_t *
rank_to_json(const AprLoadRankStats_t *rank_stats, const char *name)
{
    json_t *object = json_object();

    json_object_set_new(object, "rank", json_string(name));
    json_object_set_new(object, "sent",
                        json_integer((json_int_t)rank_stats->sent));
    for (int i = 0; i < APR_LOAD_OUTCOME_COUNT; i++) {
        json_object_set_new(object, json_names[i],
                            json_integer((json_int_t)rank_stats->outcomes[i]));
    }
    for (int i = 0; i < QUANTILE_COUNT; i++) {
        json_object_set_new(object, quantile_names[i],
                            json_real(AprLatencyHistogram_Quantile(
                                rank_stats->latency, quantiles[i])));
    }
    return object;
}

/* Prints the figures of AprLoadStats_PrintTable as one JSON object. Transport
   errors have the key "errors". */
void
AprLoadStats_PrintJson(const AprLoadStats_t *stats,
                       const AprWorkload_t *workload, FILE *file)
{
    json_t *root = json_object();
    json_t *ranks = json_array();

    for (int i = 0; i < stats->rank_count; i++) {
        json_array_append_new(
            ranks, rank_to_json(&stats->ranks[i], workload->ranks[i].name));
    }
    json_object_set_new(root, "ranks", ranks);
    json_object_set_new(root, "longest_gap_ms",
                        json_real(stats->longest_gap_s * MS_PER_S));
    json_object_set_new(root, "not_sent",
                        json_integer((json_int_t)stats->not_sent));
    json_dumpf(root, file, JSON_INDENT(2));
    fputc('\n', file);
    json_decref(root);
}
