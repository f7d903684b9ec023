#include "apricot/route_table.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "apricot/error.h"

/* Longer request lines match no route. */
#define LOOKUP_SIZE 4096

/* Creates a table with zeroed routes and services; NULL when memory runs
   out. */
AprRouteTable_t *
AprRouteTable_New(int routes, int services)
{
    AprRouteTable_t *table = calloc(1, sizeof(*table));

    if (table == NULL) {
        return NULL;
    }
    table->routes = calloc((size_t)routes + 1, sizeof(*table->routes));
    table->services = calloc((size_t)services + 1, sizeof(*table->services));
    if (table->routes == NULL || table->services == NULL) {
        AprRouteTable_Free(table);
        return NULL;
    }
    table->route_count = routes;
    table->service_count = services;
    return table;
}

/* Frees a table; NULL is ignored. */
void
AprRouteTable_Free(AprRouteTable_t *table)
{
    if (table == NULL) {
        return;
    }
    for (int i = 0; i < table->route_count && table->routes != NULL; i++) {
        free(table->routes[i].host);
        free(table->routes[i].prefix);
    }
    if (table->index != NULL) {
        g_hash_table_destroy(table->index);
    }
    free(table->routes);
    free(table->services);
    free(table);
}

/* Prepares the lookup after all routes are filled in. Returns APR_E_INVALID
   when two routes have the same host name and prefix. */
int
AprRouteTable_BuildIndex(AprRouteTable_t *table)
{
    table->index =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    for (int i = 0; i < table->route_count; i++) {
        AprRoute_t *route = &table->routes[i];
        char *lower = g_ascii_strdown(route->host, -1);
        char *key = g_strconcat(lower, route->prefix, NULL);

        g_free(lower);
        if (!g_hash_table_insert(table->index, key, route)) {
            return APR_E_INVALID;
        }
    }
    return APR_OK;
}

/* Finds the route of a host name with the longest prefix of a path; a query
   is not part of the path. Returns NULL when there is none. */
AprRoute_t *
AprRouteTable_Find(const AprRouteTable_t *table, const char *host,
                   size_t host_size, const char *path, size_t path_size)
{
    char key[LOOKUP_SIZE];
    const char *colon = memchr(host, ':', host_size);
    const char *query = memchr(path, '?', path_size);

    if (colon != NULL) {
        host_size = (size_t)(colon - host);
    }
    if (query != NULL) {
        path_size = (size_t)(query - path);
    }
    if (host_size + path_size + 1 > sizeof(key)) {
        return NULL;
    }
    for (size_t i = 0; i < host_size; i++) {
        key[i] = g_ascii_tolower(host[i]);
    }
    memcpy(key + host_size, path, path_size);
    for (size_t end = path_size; end > 0; end--) {
        AprRoute_t *route;

        if (path[end - 1] != '/') {
            continue;
        }
        key[host_size + end] = '\0';
        route = g_hash_table_lookup(table->index, key);
        if (route != NULL) {
            return route;
        }
    }
    return NULL;
}

/* The index of a service, or -1. */
int
AprRouteTable_FindService(const AprRouteTable_t *table, const char *name)
{
    for (int i = 0; i < table->service_count; i++) {
        if (strcmp(table->services[i].name, name) == 0) {
            return i;
        }
    }
    return -1;
}

/* Picks the service of the next request by smooth weighted round robin, which
   keeps each part's share exact over short spans. */
int
AprRoute_NextService(AprRoute_t *route)
{
    int64_t total = 0;
    AprRoutePart_t *best = &route->parts[0];

    for (int i = 0; i < route->part_count; i++) {
        AprRoutePart_t *part = &route->parts[i];

        part->credit += part->weight;
        total += part->weight;
        if (part->credit > best->credit) {
            best = part;
        }
    }
    best->credit -= total;
    return best->service;
}
