#ifndef APRICOT_ROUTE_TABLE_H
#define APRICOT_ROUTE_TABLE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define APR_ROUTE_NAME_SIZE 64
#define APR_HEALTH_PATH_SIZE 128
#define APR_MAX_ROUTE_SERVICES 8

/* A service that receives a weighted share of a route's requests. */
typedef struct AprWeightedService_t {
    int service; /* index into AprRouteTable_t.services */
    uint32_t weight;
    int64_t current_weight; /* of the smooth round robin */
} AprWeightedService_t;

/* A route for the requests to one host name whose path begins with one
   prefix. */
typedef struct AprRoute_t {
    char name[APR_ROUTE_NAME_SIZE];
    char *host;
    char *prefix; /* begins and ends with a slash */
    bool idempotent;
    int max_attempts;     /* backend servers that one request may be sent to */
    int rank;             /* 0 is the most urgent */
    int64_t timeout_ms;   /* time limit for the answer */
    int64_t objective_ms; /* latency objective: an answer within it has its
                             full value */
    int service_count;
    AprWeightedService_t services[APR_MAX_ROUTE_SERVICES];
} AprRoute_t;

/* A service as configured by operators. */
typedef struct AprServiceSpec_t {
    char name[APR_ROUTE_NAME_SIZE];
    int max_connections; /* that one backend server accepts in total */
    bool owns_keys; /* each key is owned by one backend server exclusively */
    /* Requests a second that a cold backend server tolerates; 0: no limit. */
    double cold_requests_per_s;
    char health_path[APR_HEALTH_PATH_SIZE]; /* "": none */
    /* Time for which a key that came without a handover token is slow; 0: it
       is not. */
    int64_t key_warmup_ms;
} AprServiceSpec_t;

/* Limits for requests and connections of callers. */
typedef struct AprCallerLimits_t {
    size_t max_head_bytes;
    uint64_t max_body_bytes;
    int64_t head_timeout_ms;
    int64_t idle_timeout_ms;
} AprCallerLimits_t;

/* One version of the routing configuration. */
typedef struct AprRouteTable_t {
    uint64_t version;
    AprRoute_t *routes;
    int route_count;
    AprServiceSpec_t *services;
    int service_count;
    AprCallerLimits_t limits;
    /* The costs of requests vary widely: there are routes for large bodies, or
       services with a limit for cold backend servers. */
    bool uneven_work;
    void *index; /* GHashTable from host name and prefix to AprRoute_t */
    size_t longest_key; /* length of the longest key of the index */
    char *key;          /* room for a key, used by AprRouteTable_Find() */
} AprRouteTable_t;

AprRouteTable_t *AprRouteTable_New(int route_count, int service_count);
void AprRouteTable_Free(AprRouteTable_t *table);
int AprRouteTable_BuildIndex(AprRouteTable_t *table);
AprRoute_t *AprRouteTable_Find(const AprRouteTable_t *table, const char *host,
                               size_t host_size, const char *path,
                               size_t path_size);
int AprRouteTable_FindService(const AprRouteTable_t *table, const char *name);
char *AprRoute_FormatKey(const AprRoute_t *route);
int AprRoute_NextService(AprRoute_t *route);

#endif
