#ifndef APRICOT_STANDIN_BACKEND_SERVER_H
#define APRICOT_STANDIN_BACKEND_SERVER_H

#include <stdbool.h>
#include <stdint.h>

#define APR_STANDIN_MAX_SERVICES 16

/* HTTP server that stands in for a backend server in tests and benchmarks. */
typedef struct AprBackendServer_t AprBackendServer_t;

/* The strings are not copied and must outlive the server. */
typedef struct AprBackendOptions_t {
    const char *listen; /* IP:port; port 0 picks a free one */
    int service_count;  /* 0: accepts any name, announces none */
    const char *services[APR_STANDIN_MAX_SERVICES];
    int max_concurrent_requests;
    int max_connections;
    double mean_service_ms; /* mean of the exponential distribution */
    int cold_start_ms;  /* period of longer service times after the start */
    bool checks_grants; /* rejects older epochs and expired grants */
    const char *announce_to; /* IP:port, or NULL */
    const char *token;       /* bearer token of announcements, or NULL */
    const char *run_log;     /* file, or NULL */
    int health_lag_ms;       /* maximum age of the state in /health */
    bool health_lies;        /* /health always reports an idle server */
} AprBackendOptions_t;

typedef struct AprBackendCounts_t {
    int64_t runs;
    int64_t shed;         /* rejected: no free slot, or draining */
    int64_t stale_grants; /* rejected: older epoch or expired grant */
    int64_t cancelled;    /* caller disconnected or request timed out */
    int64_t slots_in_use;
} AprBackendCounts_t;

AprBackendOptions_t AprBackendOptions_Default(void);
AprBackendServer_t *AprBackendServer_Start(const AprBackendOptions_t *options);
/* Rejects new requests and waits up to `wait_ms` for those in progress. */
void AprBackendServer_Drain(AprBackendServer_t *server, int wait_ms);
void AprBackendServer_Stop(AprBackendServer_t *server);
/* Returns IP:port of the listener, valid until the server is stopped. */
const char *AprBackendServer_Address(const AprBackendServer_t *server);
void AprBackendServer_GetCounts(AprBackendServer_t *server,
                                AprBackendCounts_t *counts);

#endif
