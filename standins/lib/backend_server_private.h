#ifndef APRICOT_STANDIN_BACKEND_SERVER_PRIVATE_H
#define APRICOT_STANDIN_BACKEND_SERVER_PRIVATE_H

#include <gsl/gsl_rng.h>
#include <pthread.h>
#include <stdio.h>

#include "standins/lib/backend_server.h"
#include "standins/lib/http.h"

#define APR_ANNOUNCE_INTERVAL_MS 1000

typedef struct AprBackendKey_t {
    int64_t run_count;
    uint64_t highest_epoch; /* of the grants accepted for the key */
} AprBackendKey_t;

struct AprBackendServer_t {
    AprStandinHttp_t http;
    AprBackendOptions_t options;
    pthread_mutex_t mutex;
    pthread_cond_t changed; /* slot freed, `draining` or `stopping` set */
    GHashTable *keys;       /* "service/key" -> AprBackendKey_t */
    gsl_rng *random;
    FILE *run_log;
    int64_t started_ms;
    bool draining;
    bool stopping;
    AprBackendCounts_t counts;
    int64_t health_sampled_ms; /* when health_in_use was read */
    int64_t health_in_use;
    bool announcer_started; /* `announcer` must be joined */
    pthread_t announcer;
};

int64_t AprBackendServer_NowMs(void);
void AprBackendServer_WaitForChange(AprBackendServer_t *server, int64_t ms);
void *AprBackendServer_RunAnnouncer(void *context);

#endif
