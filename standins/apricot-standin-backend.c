#include <glib.h>
#include <stdbool.h>
#include <stdio.h>

#include "standins/lib/backend_server.h"
#include "standins/lib/signals.h"

/* Running requests are cut off this long after SIGTERM. */
#define DRAIN_TIMEOUT_MS 30000

static AprBackendOptions_t settings;
static char **services;
static gboolean checks_grants;
static gboolean health_lies;

static const GOptionEntry entries[] = {
    {"listen", 0, 0, G_OPTION_ARG_STRING, &settings.listen,
     "Address to serve on; port 0 picks a free one", "IP:PORT"},
    {"service", 0, 0, G_OPTION_ARG_STRING_ARRAY, &services,
     "Service to serve and announce; may be repeated", "NAME"},
    {"slots", 0, 0, G_OPTION_ARG_INT, &settings.max_concurrent_requests,
     "Limit of requests that run concurrently (6)", "N"},
    {"connections", 0, 0, G_OPTION_ARG_INT, &settings.max_connections,
     "Limit of open connections (120)", "N"},
    {"service-ms", 0, 0, G_OPTION_ARG_DOUBLE, &settings.mean_service_ms,
     "Mean service time, exponentially distributed (0)", "MS"},
    {"cold-start-ms", 0, 0, G_OPTION_ARG_INT, &settings.cold_start_ms,
     "Period after the start with up to five times the service time (0)",
     "MS"},
    {"checks-grants", 0, 0, G_OPTION_ARG_NONE, &checks_grants,
     "Reject older epochs and expired grants", NULL},
    {"announce-to", 0, 0, G_OPTION_ARG_STRING, &settings.announce_to,
     "Admin address of the process on this host", "IP:PORT"},
    {"token", 0, 0, G_OPTION_ARG_STRING, &settings.token,
     "Bearer token of the announcements", "TEXT"},
    {"run-log", 0, 0, G_OPTION_ARG_FILENAME, &settings.run_log,
     "File to log each run to, as: service key operation idempotency-key",
     "FILE"},
    {"health-lag-ms", 0, 0, G_OPTION_ARG_INT, &settings.health_lag_ms,
     "Maximum age of the state that /health reports (0)", "MS"},
    {"health-lies", 0, 0, G_OPTION_ARG_NONE, &health_lies,
     "/health always reports an idle server", NULL},
    {NULL, 0, 0, 0, NULL, NULL, NULL}};

static bool
parse_options(int argc, char **argv)
{
    GOptionContext *context =
        g_option_context_new("- stand-in for a backend server");
    GError *error = NULL;
    bool parsed;

    settings = AprBackendOptions_Default();
    g_option_context_add_main_entries(context, entries, NULL);
    parsed = g_option_context_parse(context, &argc, &argv, &error);
    if (!parsed) {
        fprintf(stderr, "%s\n", error->message);
        g_clear_error(&error);
    }
    g_option_context_free(context);
    settings.checks_grants = checks_grants;
    settings.health_lies = health_lies;
    for (int i = 0; services != NULL && services[i] != NULL &&
                    i < APR_STANDIN_MAX_SERVICES;
         i++) {
        settings.services[settings.service_count++] = services[i];
    }
    return parsed;
}

int
main(int argc, char **argv)
{
    AprBackendServer_t *server;
    sigset_t signals;

    if (!parse_options(argc, argv)) {
        return 2;
    }
    AprStandin_BlockStopSignals(&signals);
    server = AprBackendServer_Start(&settings);
    if (server == NULL) {
        fprintf(stderr, "cannot listen on %s or open the run log\n",
                settings.listen);
        return 1;
    }
    printf("listening %s\n", AprBackendServer_Address(server));
    fflush(stdout);
    AprStandin_WaitForStopSignal(&signals);
    AprBackendServer_Drain(server, DRAIN_TIMEOUT_MS);
    AprBackendServer_Stop(server);
    return 0;
}
