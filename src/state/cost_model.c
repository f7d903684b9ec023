#include "apricot/cost_model.h"

#include <math.h>
#include <string.h>

/* Weight of a new sample in the averages of a cell. The first samples get the
   weight of a plain average. */
#define SAMPLE_WEIGHT 0.05

/* Samples without which a cell says nothing. One request in fifty takes
   several times as long, and would mislead as the only sample. */
#define MIN_SAMPLES 3

/* Standard deviations of the logarithm between the median and the high
   quantile, which one request in ten exceeds. */
#define HIGH_QUANTILE_DEVIATIONS 1.28

/* Bounds of the standard deviation of the logarithm of a service time. A few
   equal samples must not look like certainty. */
#define MIN_LOG_DEVIATION 0.15
#define MAX_LOG_DEVIATION 1.0

/* Upper bounds in bytes of the size classes but the last one. */
#define SMALL_BODY_BYTES 4096
#define MEDIUM_BODY_BYTES 65536
#define LARGE_BODY_BYTES (1024 * 1024)

/* Time within which a reported pace loses its weight; slow periods last about
   as long. */
#define PACE_VALIDITY_MS 400.0

/* Expected time that a pace which differs from the usual one still lasts: half
   of a slow period, as it is noticed at a random time within it. */
#define PACE_RESIDUAL_MS 200.0

/* Time constant of the long-term average of the reported pace. */
#define USUAL_PACE_MS 5000.0

/* Time constant of the pace by durations. */
#define RECENT_DURATIONS_MS 150.0

/* Age from which reports of the pace no longer count at all: the backend
   server has ceased to send them. */
#define PACE_REPORTS_END_MS 5000

/* Expected durations that count as much as the assumption of pace 1, so that a
   single slow request does not look like a slow backend server. */
#define PACE_PRIOR_MS 200.0

/* Longest duration of one request in the pace by durations, as a multiple of
   the expected value. */
#define MAX_DURATION_RATIO 4.0

/* Initializes a model without samples. */
void
AprCostModel_Init(AprCostModel_t *model, int64_t now_ms)
{
    memset(model, 0, sizeof(*model));
    model->usual_rate = 1;
    model->progress_ms = now_ms;
    model->recent_ms = now_ms;
}

/* Returns the size class of a request body. Bodies of unknown length count as
   those of medium size. */
int
AprCostModel_SizeClass(bool known, uint64_t bytes)
{
    if (!known) {
        return 1;
    }
    if (bytes <= SMALL_BODY_BYTES) {
        return 0;
    }
    if (bytes <= MEDIUM_BODY_BYTES) {
        return 1;
    }
    return bytes <= LARGE_BODY_BYTES ? 2 : 3;
}

/* Returns a key that is not 0. Cells with `calls` of APR_COST_ANY_CALLS hold
   all requests of a kind and size. */
static uint64_t
cell_key(uint32_t kind, int size_class, int calls)
{
    if (calls > APR_COST_MAX_CALLS) {
        calls = APR_COST_MAX_CALLS;
    }
    return ((uint64_t)kind << 8) + (uint64_t)size_class * 16 +
           (uint64_t)(calls + 2);
}

/* Returns the index of a key's cell, or of a free one; -1 when the table is
   full. */
static int
find_cell(const AprCostModel_t *model, uint64_t key)
{
    uint64_t start = (key * 0x9e3779b97f4a7c15u) >> 32;

    for (uint64_t i = 0; i < APR_COST_MAX_CELLS; i++) {
        int at = (int)((start + i) % APR_COST_MAX_CELLS);

        if (model->cells[at].key == key || model->cells[at].key == 0) {
            return at;
        }
    }
    return -1;
}

static const AprCostCell_t *
find_learned_cell(const AprCostModel_t *model, uint32_t kind, int size_class,
                  int calls)
{
    int at = find_cell(model, cell_key(kind, size_class, calls));

    return at < 0 || model->cells[at].sample_count < MIN_SAMPLES
               ? NULL
               : &model->cells[at];
}

/* Fills in the expected service time of a request at pace 1. `calls` is the
   number of calls that it has made, or APR_COST_ANY_CALLS. Without samples of
   such requests, those with any number of calls and then of the nearest size
   class count. Returns false when there are none of the kind. */
bool
AprCostModel_Estimate(const AprCostModel_t *model, uint32_t kind,
                      int size_class, int calls, AprCostEstimate_t *estimate)
{
    const AprCostCell_t *cell =
        find_learned_cell(model, kind, size_class, calls);
    double deviation;

    if (cell == NULL) {
        cell = find_learned_cell(model, kind, size_class, APR_COST_ANY_CALLS);
    }
    for (int i = 1; i < APR_COST_SIZE_CLASSES && cell == NULL; i++) {
        if (size_class - i >= 0) {
            cell = find_learned_cell(model, kind, size_class - i,
                                     APR_COST_ANY_CALLS);
        }
        if (cell == NULL && size_class + i < APR_COST_SIZE_CLASSES) {
            cell = find_learned_cell(model, kind, size_class + i,
                                     APR_COST_ANY_CALLS);
        }
    }
    if (cell == NULL) {
        return false;
    }
    deviation = sqrt(cell->log_variance);
    if (deviation < MIN_LOG_DEVIATION) {
        deviation = MIN_LOG_DEVIATION;
    }
    if (deviation > MAX_LOG_DEVIATION) {
        deviation = MAX_LOG_DEVIATION;
    }
    estimate->mean_ms = cell->mean_ms;
    estimate->deviation_ms = cell->deviation_ms;
    estimate->log_mean = cell->log_mean;
    estimate->log_deviation = deviation;
    return true;
}

static void
add_to_cell(AprCostModel_t *model, uint64_t key, double work_ms)
{
    int at = find_cell(model, key);
    AprCostCell_t *cell;
    double weight;
    double error;
    double log_error;

    if (at < 0) {
        return;
    }
    cell = &model->cells[at];
    cell->key = key;
    cell->sample_count += cell->sample_count < 1000000;
    weight = 1.0 / cell->sample_count;
    if (weight < SAMPLE_WEIGHT) {
        weight = SAMPLE_WEIGHT;
    }
    error = work_ms - cell->mean_ms;
    cell->mean_ms += weight * error;
    log_error = log(work_ms) - cell->log_mean;
    cell->log_mean += weight * log_error;
    if (cell->sample_count > 1) {
        cell->deviation_ms += weight * (fabs(error) - cell->deviation_ms);
        cell->log_variance = (1 - weight) * (cell->log_variance +
                                             weight * log_error * log_error);
    }
}

static double
decay(double age_ms, double constant_ms)
{
    return age_ms > 0 ? exp(-age_ms / constant_ms) : 1;
}

/* Adds a complete run of a request: its service time at pace 1 as the
   difference of AprCostModel_Progress() between end and start, and its
   duration. `calls` is the number of calls that it made. */
void
AprCostModel_AddSample(AprCostModel_t *model, uint32_t kind, int size_class,
                       int calls, double work_ms, double duration_ms,
                       int64_t now_ms)
{
    AprCostEstimate_t estimate;

    if (work_ms < 0.5) {
        work_ms = 0.5;
    }
    if (AprCostModel_Estimate(model, kind, size_class, calls, &estimate)) {
        double kept =
            decay((double)(now_ms - model->recent_ms), RECENT_DURATIONS_MS);
        double longest_ms = MAX_DURATION_RATIO * estimate.mean_ms;

        model->recent_duration_ms =
            model->recent_duration_ms * kept +
            (duration_ms < longest_ms ? duration_ms : longest_ms);
        model->recent_expected_ms =
            model->recent_expected_ms * kept + estimate.mean_ms;
        model->recent_ms = now_ms;
    }
    add_to_cell(model, cell_key(kind, size_class, calls), work_ms);
    add_to_cell(model, cell_key(kind, size_class, APR_COST_ANY_CALLS),
                work_ms);
}

/* Whether the backend server reports its pace. */
static bool
has_reports(const AprCostModel_t *model, int64_t now_ms)
{
    return model->reported_pace > 0 &&
           now_ms - model->reported_ms < PACE_REPORTS_END_MS;
}

/* Returns the pace by recent durations. */
static double
pace_by_durations(const AprCostModel_t *model, int64_t now_ms)
{
    double kept =
        decay((double)(now_ms - model->recent_ms), RECENT_DURATIONS_MS);

    return (model->recent_duration_ms * kept + PACE_PRIOR_MS) /
           (model->recent_expected_ms * kept + PACE_PRIOR_MS);
}

/* Returns the present pace: 1 is usual, 3 means that work takes three times as
   long. A report loses its weight with its age, towards the usual pace. */
double
AprCostModel_Pace(const AprCostModel_t *model, int64_t now_ms)
{
    double weight;

    if (!has_reports(model, now_ms)) {
        return pace_by_durations(model, now_ms);
    }
    weight = 1 - (double)(now_ms - model->reported_ms) / PACE_VALIDITY_MS;
    if (weight < 0) {
        weight = 0;
    }
    return 1 / model->usual_rate +
           weight * (model->reported_pace - 1 / model->usual_rate);
}

/* Returns the pace at which work is done in the long term, 1 without reports.
   It is the inverse of the average rate: in a slow period less work is done.
 */
double
AprCostModel_UsualPace(const AprCostModel_t *model, int64_t now_ms)
{
    return has_reports(model, now_ms) ? 1 / model->usual_rate : 1;
}

/* Returns the work that a request which never pauses has done until now, in
   milliseconds at pace 1. Only differences have a meaning. Without reports of
   the pace, work is counted as time: an average of the durations cannot
   correct itself. */
double
AprCostModel_Progress(AprCostModel_t *model, int64_t now_ms)
{
    if (now_ms > model->progress_ms) {
        double pace = has_reports(model, now_ms)
                          ? (AprCostModel_Pace(model, model->progress_ms) +
                             AprCostModel_Pace(model, now_ms)) /
                                2
                          : 1;

        model->progress += (double)(now_ms - model->progress_ms) / pace;
        model->progress_ms = now_ms;
    }
    return model->progress;
}

/* Records the pace that the backend server reports, in percent. A value out of
   bounds is ignored. */
void
AprCostModel_ReportPace(AprCostModel_t *model, int pace, int64_t now_ms)
{
    double reported = pace / 100.0;
    double kept;

    if (pace < APR_PACE_MIN || pace > APR_PACE_MAX) {
        return;
    }
    AprCostModel_Progress(model, now_ms);
    kept = decay((double)(now_ms - model->reported_ms), USUAL_PACE_MS);
    if (model->reported_pace <= 0) {
        kept = 0.5;
    }
    model->usual_rate += (1 - kept) * (1 / reported - model->usual_rate);
    model->reported_pace = reported;
    model->reported_ms = now_ms;
}

/* Returns the time in milliseconds that work of `work_ms` at pace 1 is
   expected to take from now on. The present pace is expected to last for a
   while and to be the usual one afterwards. */
double
AprCostModel_ElapsedMs(const AprCostModel_t *model, double work_ms,
                       int64_t now_ms)
{
    double pace = AprCostModel_Pace(model, now_ms);
    double usual = AprCostModel_UsualPace(model, now_ms);

    return work_ms * pace <= PACE_RESIDUAL_MS
               ? work_ms * pace
               : PACE_RESIDUAL_MS +
                     (work_ms - PACE_RESIDUAL_MS / pace) * usual;
}

/* Returns the work at pace 1 that is expected to be done in the next `span_ms`
   milliseconds; the inverse of AprCostModel_ElapsedMs(). */
static double
work_within(const AprCostModel_t *model, double span_ms, int64_t now_ms)
{
    double pace = AprCostModel_Pace(model, now_ms);

    return span_ms <= PACE_RESIDUAL_MS
               ? span_ms / pace
               : PACE_RESIDUAL_MS / pace +
                     (span_ms - PACE_RESIDUAL_MS) /
                         AprCostModel_UsualPace(model, now_ms);
}

/* Returns the service time at pace 1 that one request in ten exceeds. */
double
AprCostModel_HighMs(const AprCostEstimate_t *estimate)
{
    return exp(estimate->log_mean +
               HIGH_QUANTILE_DEVIATIONS * estimate->log_deviation);
}

/* Returns the probability that a request which starts after `wait_ms` is
   complete within `span_ms` from now. Its service time at pace 1 is taken to
   be log-normal. */
double
AprCostModel_ProbabilityWithin(const AprCostModel_t *model, double log_mean,
                               double log_deviation, double span_ms,
                               double wait_ms, int64_t now_ms)
{
    double work_ms;

    if (wait_ms < 0) {
        wait_ms = 0;
    }
    if (span_ms <= wait_ms) {
        return 0;
    }
    work_ms = work_within(model, span_ms, now_ms) -
              work_within(model, wait_ms, now_ms);
    return 0.5 *
           erfc(-(log(work_ms) - log_mean) / (log_deviation * sqrt(2.0)));
}
