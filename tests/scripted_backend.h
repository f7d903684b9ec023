#ifndef APRICOT_TESTS_SCRIPTED_BACKEND_H
#define APRICOT_TESTS_SCRIPTED_BACKEND_H

/* A cluster of gateways with a backend server at host 0 whose responses a test
   scripts. */

#include "gateway_cluster.h"
#include "hostile_server.h"

#define SCRIPTED_START_TIMEOUT_S 6.0
#define SCRIPTED_SEND_INTERVAL_S 0.02

/* Starts the cluster; the request number n to the backend server gets the
   response number n, or the last one. */
static inline void
start_scripted_backend(Cluster_t *cluster, HostileServer_t *server,
                       const HostileResponse_t *responses, int count)
{
    const char *port;

    cluster_start(cluster);
    port = strrchr(cluster->hosts[0].settings.backend_address, ':') + 1;
    AprHttpServer_Free(cluster->hosts[0].backend);
    assert_true(start_hostile_server(server, atoi(port),
                                     "Attempt: ", responses, count));
    cluster->hosts[0].backend = (AprHttpServer_t *)server;
    assert_true(cluster_wait_until_held(cluster, SCRIPTED_START_TIMEOUT_S) <
                SCRIPTED_START_TIMEOUT_S);
}

static inline void
stop_scripted_backend(Cluster_t *cluster, HostileServer_t *server)
{
    cluster->hosts[0].backend = NULL;
    cluster_stop(cluster);
    stop_hostile_server(server);
}

/* Sends requests to all hosts in turn, for the first key that the scripted
   backend server held at the start. Returns how many it got. */
static inline int
send_to_scripted_backend(Cluster_t *cluster, HostileServer_t *server,
                         double seconds)
{
    static int key = -1;
    int before = atomic_load(&server->requests);
    int steps = (int)(seconds / SCRIPTED_SEND_INTERVAL_S);

    if (before == 0) {
        key = cluster->hosts[0].held[0].first;
    }
    for (int i = 0; i < steps; i++) {
        int host = i % CLUSTER_HOSTS;

        if (cluster->hosts[host].gateway != NULL) {
            cluster_send_request(cluster, host, key, "GET");
        }
        cluster_run_for(cluster, SCRIPTED_SEND_INTERVAL_S);
    }
    return atomic_load(&server->requests) - before;
}

#endif
