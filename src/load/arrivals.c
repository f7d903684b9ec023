#include "internal/workload.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>
#include <sys/random.h>

#include <gsl/gsl_randist.h>
#include <gsl/gsl_rng.h>
#include <uuid/uuid.h>

struct AprArrivals_t {
    gsl_rng *rng;
    gsl_ran_discrete_t *keys;
    gsl_ran_discrete_t *ranks;
    double mean_gap_s;
    double at_s;
    int target_count;
};

static gsl_ran_discrete_t *
zipf(int keys, double skew)
{
    double *weights = calloc((size_t)keys, sizeof(*weights));
    gsl_ran_discrete_t *table;

    if (weights == NULL) {
        return NULL;
    }
    for (int i = 0; i < keys; i++) {
        weights[i] = pow(i + 1.0, -skew);
    }
    table = gsl_ran_discrete_preproc((size_t)keys, weights);
    free(weights);
    return table;
}

static gsl_ran_discrete_t *
rank_table(const AprWorkload_t *workload)
{
    double shares[APR_MAX_RANKS];

    for (int i = 0; i < workload->rank_count; i++) {
        shares[i] = workload->ranks[i].share;
    }
    return gsl_ran_discrete_preproc((size_t)workload->rank_count, shares);
}

/* Creates the source of a checked workload; the same seed gives the same
   requests. Returns NULL when memory runs out. */
AprArrivals_t *
AprArrivals_New(const AprWorkload_t *workload)
{
    AprArrivals_t *arrivals = calloc(1, sizeof(*arrivals));

    if (arrivals == NULL) {
        return NULL;
    }
    arrivals->rng = gsl_rng_alloc(gsl_rng_mt19937);
    arrivals->keys = zipf(workload->keys, workload->skew);
    arrivals->ranks = rank_table(workload);
    if (arrivals->rng == NULL || arrivals->keys == NULL ||
        arrivals->ranks == NULL) {
        AprArrivals_Free(arrivals);
        return NULL;
    }
    gsl_rng_set(arrivals->rng, workload->seed);
    arrivals->mean_gap_s = 1 / workload->rate;
    arrivals->target_count = workload->target_count;
    return arrivals;
}

/* Frees a source. */
void
AprArrivals_Free(AprArrivals_t *arrivals)
{
    if (arrivals == NULL) {
        return;
    }
    if (arrivals->keys != NULL) {
        gsl_ran_discrete_free(arrivals->keys);
    }
    if (arrivals->ranks != NULL) {
        gsl_ran_discrete_free(arrivals->ranks);
    }
    if (arrivals->rng != NULL) {
        gsl_rng_free(arrivals->rng);
    }
    free(arrivals);
}

/* The next request of a Poisson process. */
AprArrival_t
AprArrivals_Next(AprArrivals_t *arrivals)
{
    AprArrival_t arrival;

    arrivals->at_s += gsl_ran_exponential(arrivals->rng, arrivals->mean_gap_s);
    arrival.at_s = arrivals->at_s;
    arrival.rank = (int)gsl_ran_discrete(arrivals->rng, arrivals->ranks);
    arrival.key = (int)gsl_ran_discrete(arrivals->rng, arrivals->keys);
    arrival.target = (int)gsl_rng_uniform_int(
        arrivals->rng, (unsigned long)arrivals->target_count);
    return arrival;
}

/* Writes a version 7 UUID. The random bits come from the operating system and
   not from the seed, because two runs with one seed must not use the same
   idempotency keys. */
void
AprUuid7_Text(int64_t wall_ms, char text[APR_UUID_TEXT_SIZE])
{
    uuid_t id;

    if (getrandom(id, sizeof(id), 0) != (ssize_t)sizeof(id)) {
        uuid_generate_random(id);
    }
    for (int i = 0; i < 6; i++) {
        id[i] = (unsigned char)((uint64_t)wall_ms >> (8 * (5 - i)));
    }
    id[6] = (unsigned char)(0x70 | (id[6] & 0x0f));
    id[8] = (unsigned char)(0x80 | (id[8] & 0x3f));
    uuid_unparse_lower(id, text);
}
