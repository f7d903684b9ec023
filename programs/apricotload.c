#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <curl/curl.h>
#include <glib.h>

#include "apricot/clock.h"
#include "apricot/error.h"
#include "internal/load_client.h"
#include "internal/load_stats.h"
#include "internal/workload.h"

typedef struct options_t {
    char *targets;
    char *service;
    char *ranks;
    char *key_prefix;
    char *caller;
    char *token;
    double rate;
    double duration_s;
    double skew;
    int seed;
    int keys;
    int connections;
    gboolean json;
} options_t;

static gboolean
parse_options(int *argc, char ***argv, options_t *options, GError **error)
{
    GOptionEntry entries[] = {
        {"targets", 't', 0, G_OPTION_ARG_STRING, &options->targets,
         "Addresses for callers of the apricotd processes", "IP:PORT,..."},
        {"service", 's', 0, G_OPTION_ARG_STRING, &options->service, "Service",
         "NAME"},
        {"ranks", 0, 0, G_OPTION_ARG_STRING, &options->ranks,
         "Ranks with their shares, timeouts and operations",
         "NAME:SHARE:TIMEOUT_MS:OPERATION,..."},
        {"rate", 'r', 0, G_OPTION_ARG_DOUBLE, &options->rate,
         "Mean number of requests per second (default: 100)", "N"},
        {"duration-s", 'd', 0, G_OPTION_ARG_DOUBLE, &options->duration_s,
         "Seconds during which requests are sent (default: 10)", "N"},
        {"seed", 0, 0, G_OPTION_ARG_INT, &options->seed,
         "Seed of arrival times, ranks, keys and targets (default: 1)", "N"},
        {"keys", 0, 0, G_OPTION_ARG_INT, &options->keys,
         "Number of keys (default: 1000)", "N"},
        {"key-prefix", 0, 0, G_OPTION_ARG_STRING, &options->key_prefix,
         "Text before the number of the key (default: job/)", "TEXT"},
        {"skew", 0, 0, G_OPTION_ARG_DOUBLE, &options->skew,
         "Exponent of the Zipf distribution of keys (default: 0, uniform)",
         "N"},
        {"connections", 'c', 0, G_OPTION_ARG_INT, &options->connections,
         "Maximum number of connections, divided evenly among the ranks "
         "(default: 64)",
         "N"},
        {"caller", 0, 0, G_OPTION_ARG_STRING, &options->caller,
         "Name of the caller (default: apricotload)", "NAME"},
        {"token", 0, 0, G_OPTION_ARG_STRING, &options->token,
         "Bearer token for callers", "TEXT"},
        {"json", 0, 0, G_OPTION_ARG_NONE, &options->json,
         "Print the results as JSON", NULL},
        {NULL, 0, 0, G_OPTION_ARG_NONE, NULL, NULL, NULL}};
    GOptionContext *context =
        g_option_context_new("- open-loop load generator for apricottrail");
    gboolean parsed;

    g_option_context_add_main_entries(context, entries, NULL);
    parsed = g_option_context_parse(context, argc, argv, error);
    g_option_context_free(context);
    return parsed;
}

static int
make_workload(const options_t *options, AprWorkload_t *workload,
              AprError_t *error)
{
    int code;

    workload->service = options->service;
    workload->key_prefix = options->key_prefix ? options->key_prefix : "job/";
    workload->caller = options->caller ? options->caller : "apricotload";
    workload->token = options->token;
    workload->rate_per_s = options->rate;
    workload->duration_s = options->duration_s;
    workload->key_count = options->keys;
    workload->skew = options->skew;
    workload->connections = options->connections;
    workload->seed = (unsigned long)options->seed;
    code = AprWorkload_ParseTargets(
        workload, options->targets ? options->targets : "", error);
    if (code == APR_OK) {
        code = AprWorkload_ParseRanks(
            workload, options->ranks ? options->ranks : "", error);
    }
    return code == APR_OK ? AprWorkload_Validate(workload, error) : code;
}

static int
run_load(const options_t *options)
{
    AprWorkload_t workload;
    AprLoadStats_t stats;
    AprClock_t clock = AprClock_System();
    AprError_t error;
    int code;

    memset(&workload, 0, sizeof(workload));
    if (make_workload(options, &workload, &error) != APR_OK) {
        fprintf(stderr, "apricotload: %s\n", error.detail);
        return 2;
    }
    if (!AprLoadStats_Init(&stats, workload.rank_count)) {
        AprLoadStats_Clear(&stats);
        fprintf(stderr, "apricotload: out of memory\n");
        return 1;
    }
    code = AprLoadClient_Run(&workload, &clock, &stats, &error);
    if (code != APR_OK) {
        fprintf(stderr, "apricotload: %s\n", error.detail);
    }
    else if (options->json) {
        AprLoadStats_PrintJson(&stats, &workload, stdout);
    }
    else {
        AprLoadStats_PrintTable(&stats, &workload, stdout);
    }
    AprLoadStats_Clear(&stats);
    return code == APR_OK ? 0 : 1;
}

int
main(int argc, char **argv)
{
    options_t options = {.rate = 100,
                         .duration_s = 10,
                         .seed = 1,
                         .keys = 1000,
                         .connections = 64};
    GError *error = NULL;
    int status;

    if (!parse_options(&argc, &argv, &options, &error)) {
        fprintf(stderr, "apricotload: %s\n", error->message);
        g_error_free(error);
        return 2;
    }
    curl_global_init(CURL_GLOBAL_DEFAULT);
    status = run_load(&options);
    curl_global_cleanup();
    return status;
}
