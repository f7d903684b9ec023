#ifndef APRICOT_COST_MODEL_H
#define APRICOT_COST_MODEL_H

#include <stdbool.h>
#include <stdint.h>

/* Learned service times of the requests to one backend server, and the pace at
   which that backend server works. A service time is learned at pace 1, so
   that a period in which all work takes longer does not change it. The code
   does no input or output; the caller passes the time, in milliseconds of a
   monotonic clock. */

#define APR_COST_MAX_CELLS 256

/* Size classes of request bodies; see AprCostModel_SizeClass(). */
#define APR_COST_SIZE_CLASSES 4

/* Requests that make this many calls or more are learned together. */
#define APR_COST_MAX_CALLS 3

/* The number of calls of a request is not known yet. */
#define APR_COST_ANY_CALLS (-1)

/* Bounds of a reported pace, as the backend server writes it: 100 is usual,
   300 means that work takes three times as long. */
#define APR_PACE_MIN 10
#define APR_PACE_MAX 2000

/* Distribution of the service time of one kind of request. */
typedef struct AprCostCell_t {
    uint64_t key; /* 0: the cell is free */
    int sample_count;
    double mean_ms;
    double deviation_ms; /* mean difference from mean_ms */
    double log_mean;     /* mean and variance of the logarithm */
    double log_variance;
} AprCostCell_t;

/* Expected service time of a request at pace 1. */
typedef struct AprCostEstimate_t {
    double mean_ms;
    double deviation_ms;
    /* Mean and standard deviation of the logarithm. */
    double log_mean;
    double log_deviation;
} AprCostEstimate_t;

typedef struct AprCostModel_t {
    AprCostCell_t cells[APR_COST_MAX_CELLS];
    /* Pace by the header of the latest response; 0: none received. */
    double reported_pace;
    int64_t reported_ms;
    double usual_rate; /* long-term average of 1 / pace */
    /* Pace by durations: weighted sums of durations and of their expected
       values, which decay. */
    double recent_duration_ms;
    double recent_expected_ms;
    int64_t recent_ms;
    /* Work done by a request that runs without pause, in milliseconds of
       service time at pace 1, up to `progress_ms`. */
    double progress;
    int64_t progress_ms;
} AprCostModel_t;

void AprCostModel_Init(AprCostModel_t *model, int64_t now_ms);
int AprCostModel_SizeClass(bool known, uint64_t bytes);
bool AprCostModel_Estimate(const AprCostModel_t *model, uint32_t kind,
                           int size_class, int calls,
                           AprCostEstimate_t *estimate);
void AprCostModel_AddSample(AprCostModel_t *model, uint32_t kind,
                            int size_class, int calls, double work_ms,
                            double duration_ms, int64_t now_ms);
void AprCostModel_ReportPace(AprCostModel_t *model, int pace, int64_t now_ms);
double AprCostModel_Pace(const AprCostModel_t *model, int64_t now_ms);
double AprCostModel_UsualPace(const AprCostModel_t *model, int64_t now_ms);
double AprCostModel_Progress(AprCostModel_t *model, int64_t now_ms);
double AprCostModel_HighMs(const AprCostEstimate_t *estimate);
double AprCostModel_ProbabilityWithin(const AprCostModel_t *model,
                                      double log_mean, double log_deviation,
                                      double span_ms, double wait_ms,
                                      int64_t now_ms);
double AprCostModel_ElapsedMs(const AprCostModel_t *model, double work_ms,
                              int64_t now_ms);

#endif
