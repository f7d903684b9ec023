#include "apricot/time_limits.h"

#include <math.h>
#include <stdbool.h>

/* Bucket i holds limits from FIRST_BUCKET_MS * BUCKET_RATIO^i on. */
#define FIRST_BUCKET_MS 20.0
#define BUCKET_RATIO 1.07

/* Number of adjacent buckets over which the limits of first attempts spread:
   a quarter above the least of them. */
#define BAND_BUCKETS 4

/* Part of all requests that the band of the first attempts holds at least,
   also when most requests are repeats. */
#define MIN_BAND_SHARE 0.2f

/* Samples without which nothing is estimated. */
#define MIN_SAMPLES 30.0f

#define UPDATE_INTERVAL_SAMPLES 16

/* Above this total the counts are halved, so that old samples lose weight. */
#define MAX_TOTAL 2000.0f

static int
find_bucket(int64_t limit_ms)
{
    double position =
        log((double)limit_ms / FIRST_BUCKET_MS) / log(BUCKET_RATIO);

    if (position < 0) {
        return 0;
    }
    return position < APR_TIME_LIMIT_BUCKETS ? (int)position
                                             : APR_TIME_LIMIT_BUCKETS - 1;
}

static double
bucket_start_ms(int bucket)
{
    return FIRST_BUCKET_MS * pow(BUCKET_RATIO, bucket);
}

/* Finds the highest band that holds MIN_BAND_SHARE of the requests: repeats
   have less time left than first attempts. Higher limits of a few patient
   callers do not count. */
static void
update_estimate(AprTimeLimits_t *limits)
{
    limits->usual_ms = 0;
    limits->least_ms = 0;
    for (int first = APR_TIME_LIMIT_BUCKETS - BAND_BUCKETS; first >= 0;
         first--) {
        double sum_ms = 0;
        float count = 0;

        for (int i = first; i < first + BAND_BUCKETS; i++) {
            count += limits->counts[i];
            sum_ms += (double)limits->counts[i] * bucket_start_ms(i) *
                      (1 + BUCKET_RATIO) / 2;
        }
        if (count >= MIN_BAND_SHARE * limits->total) {
            /* The band may reach further down. */
            while (first > 0 &&
                   limits->counts[first - 1] > limits->counts[first]) {
                first--;
                count += limits->counts[first];
                sum_ms += (double)limits->counts[first] *
                          bucket_start_ms(first) * (1 + BUCKET_RATIO) / 2;
            }
            limits->usual_ms = (int64_t)(sum_ms / (double)count);
            limits->least_ms = (int64_t)bucket_start_ms(first);
            return;
        }
    }
}

/* Adds the time limit of a request and returns the estimated time since the
   caller's first attempt, both in milliseconds; 0 for a first attempt and
   while there are too few samples. */
int64_t
AprTimeLimits_AddSample(AprTimeLimits_t *limits, int64_t limit_ms)
{
    if (limit_ms <= 0) {
        return 0;
    }
    if (limits->total >= MAX_TOTAL) {
        for (int i = 0; i < APR_TIME_LIMIT_BUCKETS; i++) {
            limits->counts[i] /= 2;
        }
        limits->total /= 2;
    }
    limits->counts[find_bucket(limit_ms)]++;
    limits->total++;
    if (--limits->samples_until_update < 0) {
        limits->samples_until_update = UPDATE_INTERVAL_SAMPLES;
        if (limits->total >= MIN_SAMPLES) {
            update_estimate(limits);
        }
    }
    return limit_ms < limits->least_ms && limit_ms < limits->usual_ms
               ? limits->usual_ms - limit_ms
               : 0;
}
