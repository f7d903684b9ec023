#ifndef APRICOT_ROUTE_TABLE_H
#define APRICOT_ROUTE_TABLE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define APR_ROUTE_NAME_SIZE 64
#define APR_MAX_ROUTE_PARTS 8

/* A service that takes a share of a route's requests. */
typedef struct AprRoutePart_t {
    int service; /* index into the services of the table */
    uint32_t weight;
    int64_t credit; /* state of the weighted round robin */
} AprRoutePart_t;

/* Requests of one host name whose path begins with one prefix. */
typedef struct AprRoute_t {
    char name[APR_ROUTE_NAME_SIZE];
    char *host;
    char *prefix; /* begins and ends with a slash */
    bool idempotent;
    int attempts;         /* backend servers that one request may reach */
    int rank;             /* 0 is the most urgent */
    int64_t limit_ms;     /* longest time until the answer */
    int64_t objective_ms; /* time of a fully useful answer */
    int part_count;
    AprRoutePart_t parts[APR_MAX_ROUTE_PARTS];
} AprRoute_t;

/* What operators say of a service. */
typedef struct AprServiceSpec_t {
    char name[APR_ROUTE_NAME_SIZE];
    int max_connections; /* accepted by one backend server, from everyone */
    bool keyed;          /* its keys are owned exclusively */
} AprServiceSpec_t;

/* Bounds of what a caller may send. */
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
    void *index; /* finds a route by host name and prefix */
} AprRouteTable_t;

AprRouteTable_t *AprRouteTable_New(int routes, int services);
void AprRouteTable_Free(AprRouteTable_t *table);
int AprRouteTable_BuildIndex(AprRouteTable_t *table);
AprRoute_t *AprRouteTable_Find(const AprRouteTable_t *table, const char *host,
                               size_t host_size, const char *path,
                               size_t path_size);
int AprRouteTable_FindService(const AprRouteTable_t *table, const char *name);
int AprRoute_NextService(AprRoute_t *route);

#endif
