#ifndef APRICOT_STANDIN_BACKEND_SERVER_H
#define APRICOT_STANDIN_BACKEND_SERVER_H

#include <stdbool.h>
#include <stdint.h>

#define APR_STANDIN_MAX_SERVICES 16

/* HTTP server of the stand-in backend. */
typedef struct AprBackendServer_t AprBackendServer_t;

typedef struct AprBackendOptions_t {
    const char *listen; /* IP:port; port 0 picks a free one */
    int service_count;  /* 0: serves any name and announces none */
    const char *services[APR_STANDIN_MAX_SERVICES];
    int slots;
    int connections;
    double service_ms; /* mean of exponentially distributed times */
    int cold_start_ms;
    bool checks_grants;
    const char *announce_to; /* IP:port, or NULL */
    const char *token;       /* bearer token of announcements, or NULL */
    const char *run_log;     /* file, or NULL */
    int health_lag_ms;
    bool health_lies;
} AprBackendOptions_t;

typedef struct AprBackendCounts_t {
    int64_t runs;
    int64_t shed;         /* refused above the slots or while draining */
    int64_t stale_grants; /* refused because of the grant */
    int64_t cancelled;    /* the caller left or the time was over */
    int64_t in_use;       /* slots */
} AprBackendCounts_t;

AprBackendOptions_t AprBackendOptions_Default(void);
AprBackendServer_t *AprBackendServer_Start(const AprBackendOptions_t *options);
/* Takes no new work and waits for what runs, at most `wait_ms`. */
void AprBackendServer_Drain(AprBackendServer_t *server, int wait_ms);
void AprBackendServer_Stop(AprBackendServer_t *server);
/* IP:port of the listener. */
const char *AprBackendServer_Address(const AprBackendServer_t *server);
void AprBackendServer_Counts(AprBackendServer_t *server,
                             AprBackendCounts_t *counts);

#endif
