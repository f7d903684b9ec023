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
    gsl_ran_discrete_t *key_table;
    gsl_ran_discrete_t *rank_table;
    double mean_interval_s;
    double last_due_s;
    int target_count;
};

/* Returns a table for drawing key indexes with weight 1 / (index + 1)^skew;
   NULL when memory runs out. */
static gsl_ran_discrete_t *
new_zipf_table(int key_count, double skew)
{
    double *weights = calloc((size_t)key_count, sizeof(*weights));
    gsl_ran_discrete_t *table;

    if (weights == NULL) {
        return NULL;
    }
    for (int i = 0; i < key_count; i++) {
        weights[i] = pow(i + 1.0, -skew);
    }
    table = gsl_ran_discrete_preproc((size_t)key_count, weights);
    free(weights);
    return table;
}

/* Returns a table for drawing rank indexes by their shares; NULL when memory
   runs out. */
static gsl_ran_discrete_t *
new_rank_table(const AprWorkload_t *workload)
{
    double shares[APR_MAX_RANKS];

    for (int i = 0; i < workload->rank_count; i++) {
        shares[i] = workload->ranks[i].share;
    }
    return gsl_ran_discrete_preproc((size_t)workload->rank_count, shares);
}

/* Creates the generator of a workload that AprWorkload_Validate has accepted.
   The same seed gives the same requests. Returns NULL when memory runs out. */
AprArrivals_t *
AprArrivals_New(const AprWorkload_t *workload)
{
    AprArrivals_t *arrivals = calloc(1, sizeof(*arrivals));

    if (arrivals == NULL) {
        return NULL;
    }
    arrivals->rng = gsl_rng_alloc(gsl_rng_mt19937);
    arrivals->key_table = new_zipf_table(workload->key_count, workload->skew);
    arrivals->rank_table = new_rank_table(workload);
    if (arrivals->rng == NULL || arrivals->key_table == NULL ||
        arrivals->rank_table == NULL) {
        AprArrivals_Free(arrivals);
        return NULL;
    }
    gsl_rng_set(arrivals->rng, workload->seed);
    arrivals->mean_interval_s = 1 / workload->rate_per_s;
    arrivals->target_count = workload->target_count;
    return arrivals;
}

/* Frees a generator; NULL is allowed. */
void
AprArrivals_Free(AprArrivals_t *arrivals)
{
    if (arrivals == NULL) {
        return;
    }
    if (arrivals->key_table != NULL) {
        gsl_ran_discrete_free(arrivals->key_table);
    }
    if (arrivals->rank_table != NULL) {
        gsl_ran_discrete_free(arrivals->rank_table);
    }
    if (arrivals->rng != NULL) {
        gsl_rng_free(arrivals->rng);
    }
    free(arrivals);
}

/* Returns the next request. Arrivals form a Poisson process; rank, key and
   target are drawn independently. */
AprArrival_t
AprArrivals_Next(AprArrivals_t *arrivals)
{
    AprArrival_t arrival;

    arrivals->last_due_s +=
        gsl_ran_exponential(arrivals->rng, arrivals->mean_interval_s);
    arrival.due_s = arrivals->last_due_s;
    arrival.rank_index =
        (int)gsl_ran_discrete(arrivals->rng, arrivals->rank_table);
    arrival.key_index =
        (int)gsl_ran_discrete(arrivals->rng, arrivals->key_table);
    arrival.target_index = (int)gsl_rng_uniform_int(
        arrivals->rng, (unsigned long)arrivals->target_count);
    return arrival;
}

/* Formats a version 7 UUID for a time in milliseconds since 1970. The random
   bits come from the operating system and not from the seed, because two runs
   with the same seed must not use the same idempotency keys. */
void
AprUuid7_Format(int64_t wall_ms, char text[APR_UUID_TEXT_SIZE])
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
