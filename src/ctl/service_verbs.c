#include <stdlib.h>

#include "apricot/clock.h"
#include "apricot/publish.h"
#include "internal/ctl.h"

#define STORE_TIMEOUT_MS 5000
#define MAX_STORE_URLS 8

static json_t *
problem_to_json(const AprProblem_t *problem)
{
    return json_pack("{s:s, s:i, s:s, s:s}", "file", problem->file, "line",
                     problem->line, "field", problem->field, "message",
                     problem->message);
}

/* Prints each problem to ctl->err, and with --json all of them as an object to
   ctl->out. */
static void
print_problems(const AprCtl_t *ctl, const AprProblems_t *problems)
{
    json_t *list = json_array();

    for (int i = 0; i < problems->count; i++) {
        const AprProblem_t *problem = &problems->items[i];

        fprintf(ctl->err, "%s:%d: %s: %s\n", problem->file, problem->line,
                problem->field, problem->message);
        json_array_append_new(list, problem_to_json(problem));
    }
    if (problems->count == APR_MAX_PROBLEMS) {
        fprintf(ctl->err, "further problems are not shown; correct these and "
                          "run apricotctl check again\n");
    }
    if (ctl->print_json) {
        AprCtl_PrintJson(ctl, json_pack("{s:b, s:i, s:o}", "ok", 0, "exit",
                                        APR_CTL_INVALID, "problems", list));
    }
    else {
        json_decref(list);
    }
}

/* Loads the service files of all directories on the command line and prints
   every error in them. Returns an exit code; on APR_CTL_OK the caller frees
   *configs with free. */
int
AprCtl_LoadServices(const AprCtl_t *ctl, AprServiceConfig_t **configs,
                    int *count)
{
    AprProblems_t problems;
    AprError_t error = {0};

    *count = AprServiceConfig_LoadDirectories(
        (const char *const *)ctl->arguments, ctl->argument_count, configs,
        &problems, &error);
    if (*count >= 0) {
        return APR_CTL_OK;
    }
    if (problems.count > 0) {
        print_problems(ctl, &problems);
        return APR_CTL_INVALID;
    }
    return AprCtl_Fail(ctl, APR_CTL_INVALID, "%s: %s", error.peer,
                       error.detail);
}

/* Prints one line per service, or every error with its file, line, field and
   correction. */
int
AprCtl_RunCheck(AprCtl_t *ctl)
{
    AprServiceConfig_t *configs;
    json_t *names = json_array();
    int count;
    int result = AprCtl_LoadServices(ctl, &configs, &count);

    for (int i = 0; i < count; i++) {
        json_array_append_new(names, json_string(configs[i].service));
        if (!ctl->print_json) {
            fprintf(ctl->out, "%s: ok, key patterns: %d, ranks: %d\n",
                    configs[i].service, configs[i].pattern_count,
                    configs[i].rank_count);
        }
    }
    if (ctl->print_json && result == APR_CTL_OK) {
        AprCtl_PrintJson(ctl,
                         json_pack("{s:b, s:O}", "ok", 1, "services", names));
    }
    json_decref(names);
    free(configs);
    return result;
}

/* Opens the store at the URLs of --store. Returns an exit code; on APR_CTL_OK
   the caller closes the store with AprStore_Close. */
int
AprCtl_OpenStore(const AprCtl_t *ctl, AprStore_t *store)
{
    AprError_t error = {0};
    char **urls;
    int count;
    int result;

    if (ctl->store_urls == NULL) {
        return AprCtl_Fail(ctl, APR_CTL_INVALID,
                           "no store URL; set --store URL or APRICOT_STORE");
    }
    urls = g_strsplit(ctl->store_urls, ",", MAX_STORE_URLS);
    count = (int)g_strv_length(urls);
    result = AprEtcd_Open((const char *const *)urls, count, STORE_TIMEOUT_MS,
                          store, &error);
    g_strfreev(urls);
    if (result != APR_OK) {
        return AprCtl_Fail(ctl, AprCtl_ErrorToExitCode(result), "store: %s",
                           error.detail);
    }
    return APR_CTL_OK;
}

static json_t *
publish_result_to_json(const AprServiceConfig_t *config, int code,
                       const AprPublishResult_t *published, const char *detail)
{
    json_t *entry = json_pack(
        "{s:s, s:b, s:I, s:b, s:s}", "service", config->service, "ok",
        code == APR_OK, "generation", (json_int_t)published->generation,
        "unchanged", published->unchanged, "detail", detail);

    if (published->conflict) {
        json_object_set_new(entry, "winner", json_string(published->winner));
        json_object_set_new(
            entry, "winner_generation",
            json_integer((json_int_t)published->winner_generation));
        json_object_set_new(entry, "winner_at_ms",
                            json_integer(published->winner_at_ms));
    }
    return entry;
}

/* Returns one line that states the result for the service and the next step;
   freed with g_free. */
static char *
describe_publish_result(const AprServiceConfig_t *config, int code,
                        const AprPublishResult_t *published,
                        const AprError_t *error)
{
    char winner_time[32];

    if (code == APR_OK) {
        return g_strdup_printf("%s: %s at generation %llu", config->service,
                               published->unchanged ? "unchanged, in force"
                                                    : "in force",
                               (unsigned long long)published->generation);
    }
    if (published->conflict) {
        AprCtl_FormatTime(published->winner_at_ms, winner_time,
                          sizeof(winner_time));
        return g_strdup_printf(
            "%s: not published, %s published generation %llu at %s; compare "
            "with apricotctl config show %s, then publish again",
            config->service, published->winner,
            (unsigned long long)published->winner_generation, winner_time,
            config->service);
    }
    if (code == APR_E_UNKNOWN_OUTCOME) {
        return g_strdup_printf(
            "%s: may be in force, the store's response was lost (%s); publish "
            "again, which changes nothing if it is in force",
            config->service, error->detail);
    }
    if (code == APR_E_UNAVAILABLE) {
        return g_strdup_printf(
            "%s: not published, what is in force stays; the store is "
            "unavailable: %s",
            config->service, error->detail);
    }
    return g_strdup_printf("%s: not published: %s", config->service,
                           error->detail);
}

static void
set_publisher_and_time(AprServiceConfig_t *config)
{
    AprClock_t clock = AprClock_System();

    snprintf(config->published_by, sizeof(config->published_by), "%.60s@%.60s",
             g_get_user_name(), g_get_host_name());
    config->published_at_ms = AprClock_WallMs(&clock);
}

/* Publishes one service, prints the result and appends it to list. Returns an
   exit code. */
static int
publish_service(const AprCtl_t *ctl, AprStore_t *store,
                AprServiceConfig_t *config, json_t *list)
{
    AprPublishResult_t published = {0};
    AprError_t error = {0};
    char *line;
    int code;

    set_publisher_and_time(config);
    code = AprPublish_Service(store, ctl->key_prefix, config,
                              (uint64_t)ctl->based_on_generation, &published,
                              &error);
    if (published.conflict && code == APR_OK) {
        code = APR_E_CONFLICT;
    }
    line = describe_publish_result(config, code, &published, &error);
    if (code != APR_OK) {
        fprintf(ctl->err, "apricotctl: %s\n", line);
    }
    else if (!ctl->print_json) {
        fprintf(ctl->out, "%s\n", line);
    }
    json_array_append_new(
        list, publish_result_to_json(config, code, &published, line));
    g_free(line);
    return AprCtl_ErrorToExitCode(code);
}

/* Publishes the services one by one. After a conflict it continues with the
   next service; when the store is unavailable it stops. Returns the highest
   exit code of the services. */
static int
publish_all(const AprCtl_t *ctl, AprStore_t *store,
            AprServiceConfig_t *configs, int count)
{
    json_t *list = json_array();
    int result = APR_CTL_OK;

    for (int i = 0; i < count; i++) {
        int code = publish_service(ctl, store, &configs[i], list);

        result = code > result ? code : result;
        if (code == APR_CTL_UNAVAILABLE && i + 1 < count) {
            fprintf(ctl->err, "apricotctl: %d more services not tried\n",
                    count - i - 1);
            break;
        }
    }
    if (ctl->print_json) {
        AprCtl_PrintJson(ctl, json_pack("{s:b, s:i, s:O}", "ok",
                                        result == APR_CTL_OK, "exit", result,
                                        "services", list));
    }
    json_decref(list);
    return result;
}

/* Checks the files of all directories, then publishes every service. */
int
AprCtl_RunPublish(AprCtl_t *ctl)
{
    AprServiceConfig_t *configs;
    AprStore_t store;
    int count;
    int result;

    if (ctl->based_on_generation < 0) {
        return AprCtl_Fail(ctl, APR_CTL_INVALID,
                           "--based-on is negative; give the generation that "
                           "apricotctl config show prints");
    }
    result = AprCtl_LoadServices(ctl, &configs, &count);
    if (result != APR_CTL_OK) {
        return result;
    }
    result = AprCtl_OpenStore(ctl, &store);
    if (result == APR_CTL_OK) {
        result = publish_all(ctl, &store, configs, count);
        AprStore_Close(&store);
    }
    free(configs);
    return result;
}
