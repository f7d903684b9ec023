#include "apricot/route_table.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "apricot/error.h"

/* Creates a table with zeroed routes and services and without an index; NULL
   when memory runs out. */
AprRouteTable_t *
AprRouteTable_New(int route_count, int service_count)
{
    AprRouteTable_t *table = calloc(1, sizeof(*table));

    if (table == NULL) {
        return NULL;
    }
    table->routes = calloc((size_t)route_count + 1, sizeof(*table->routes));
    table->services =
        calloc((size_t)service_count + 1, sizeof(*table->services));
    if (table->routes == NULL || table->services == NULL) {
        AprRouteTable_Free(table);
        return NULL;
    }
    table->route_count = route_count;
    table->service_count = service_count;
    return table;
}

/* Frees a table with its routes, services and index; NULL is ignored. */
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
    g_free(table->key);
    free(table->routes);
    free(table->services);
    free(table);
}

/* Returns the key of a route in the index: the host name in lower case and the
   prefix. The caller frees it with g_free(). */
char *
AprRoute_FormatKey(const AprRoute_t *route)
{
    char *lower = g_ascii_strdown(route->host, -1);
    char *key = g_strconcat(lower, route->prefix, NULL);

    g_free(lower);
    return key;
}

/* Builds the index for AprRouteTable_Find once all routes are set.
   Returns APR_E_INVALID when two routes have the same key. */
int
AprRouteTable_BuildIndex(AprRouteTable_t *table)
{
    table->index =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    for (int i = 0; i < table->route_count; i++) {
        AprRoute_t *route = &table->routes[i];
        char *key = AprRoute_FormatKey(route);

        table->longest_key = MAX(table->longest_key, strlen(key));
        if (!g_hash_table_insert(table->index, key, route)) {
            return APR_E_INVALID;
        }
    }
    table->key = g_malloc(table->longest_key + 1);
    return APR_OK;
}

/* Finds the route of a host name whose prefix is the longest match of the
   path. A port in `host` and a query in `path` are ignored, and neither has a
   limit of length. Returns NULL when there is none; the route is owned by the
   table. */
AprRoute_t *
AprRouteTable_Find(const AprRouteTable_t *table, const char *host,
                   size_t host_size, const char *path, size_t path_size)
{
    char *key = table->key;
    const char *colon = memchr(host, ':', host_size);
    const char *query = memchr(path, '?', path_size);

    if (colon != NULL) {
        host_size = (size_t)(colon - host);
    }
    if (query != NULL) {
        path_size = (size_t)(query - path);
    }
    if (host_size > table->longest_key) {
        return NULL;
    }
    /* No prefix reaches beyond that. */
    path_size = MIN(path_size, table->longest_key - host_size);
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

/* The index of the service with this name, or -1. */
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

/* Selects the service of the next request by smooth weighted round robin,
   which keeps the share of each service exact over short sequences of
   requests, and advances the state of the round robin. Returns the index of
   the service. */
int
AprRoute_NextService(AprRoute_t *route)
{
    int64_t total = 0;
    AprWeightedService_t *best = &route->services[0];

    for (int i = 0; i < route->service_count; i++) {
        AprWeightedService_t *weighted = &route->services[i];

        weighted->current_weight += weighted->weight;
        total += weighted->weight;
        if (weighted->current_weight > best->current_weight) {
            best = weighted;
        }
    }
    best->current_weight -= total;
    return best->service;
}
