#include <glib.h>
#include <stdbool.h>
#include <stdio.h>

#include "standins/lib/signals.h"
#include "standins/lib/store_server.h"

static char *listen_address = "127.0.0.1:0";
static int history = APR_STANDIN_STORE_HISTORY;

static const GOptionEntry options[] = {
    {"listen", 0, 0, G_OPTION_ARG_STRING, &listen_address,
     "Address to serve on; port 0 picks a free one", "IP:PORT"},
    {"history", 0, 0, G_OPTION_ARG_INT, &history,
     "Number of changes kept for watches", "N"},
    {NULL, 0, 0, 0, NULL, NULL, NULL}};

static bool
parse_options(int argc, char **argv)
{
    GOptionContext *context =
        g_option_context_new("- stand-in for the platform's key-value store");
    GError *error = NULL;
    bool parsed;

    g_option_context_add_main_entries(context, options, NULL);
    parsed = g_option_context_parse(context, &argc, &argv, &error);
    if (!parsed) {
        fprintf(stderr, "%s\n", error->message);
        g_clear_error(&error);
    }
    g_option_context_free(context);
    return parsed;
}

int
main(int argc, char **argv)
{
    AprStoreServer_t *server;
    sigset_t signals;

    if (!parse_options(argc, argv)) {
        return 2;
    }
    AprStandin_BlockStopSignals(&signals);
    server = AprStoreServer_Start(listen_address, history);
    if (server == NULL) {
        fprintf(stderr, "cannot listen on %s\n", listen_address);
        return 1;
    }
    printf("listening %s\n", AprStoreServer_Address(server));
    fflush(stdout);
    AprStandin_WaitForStopSignal(&signals);
    AprStoreServer_Stop(server);
    return 0;
}
