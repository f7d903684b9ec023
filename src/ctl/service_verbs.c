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
        fprintf(ctl->err, "further problems are not shown\n");
    }
    if (ctl->json) {
        AprCtl_PrintJson(ctl, json_pack("{s:b, s:i, s:o}", "ok", 0, "exit",
                                        APR_CTL_INVALID, "problems", list));
    }
    else {
        json_decref(list);
    }
}

/* Loads the service files of all directories on the command line and reports
   what is wrong with them. *configs is freed with free. */
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

/* Prints one line per service, or reports every fault with file, line, field
   and fix. */
int
AprCtl_Check(AprCtl_t *ctl)
{
    AprServiceConfig_t *configs;
    json_t *names = json_array();
    int count;
    int result = AprCtl_LoadServices(ctl, &configs, &count);

    for (int i = 0; i < count; i++) {
        json_array_append_new(names, json_string(configs[i].service));
        if (!ctl->json) {
            fprintf(ctl->out, "%s: ok, key patterns: %d, ranks: %d\n",
                    configs[i].service, configs[i].pattern_count,
                    configs[i].rank_count);
        }
    }
    if (ctl->json && result == APR_CTL_OK) {
        AprCtl_PrintJson(ctl,
                         json_pack("{s:b, s:O}", "ok", 1, "services", names));
    }
    json_decref(names);
    free(configs);
    return result;
}

/* Opens the store named by --store. */
int
AprCtl_OpenStore(const AprCtl_t *ctl, AprStore_t *store)
{
    AprError_t error = {0};
    char **urls;
    int count;
    int result;

    if (ctl->store == NULL) {
        return AprCtl_Fail(ctl, APR_CTL_INVALID,
                           "no store; set --store URL or APRICOT_STORE");
    }
    urls = g_strsplit(ctl->store, ",", MAX_STORE_URLS);
    count = (int)g_strv_length(urls);
    result = AprEtcd_Open((const char *const *)urls, count, STORE_TIMEOUT_MS,
                          store, &error);
    g_strfreev(urls);
    if (result != APR_OK) {
        return AprCtl_Fail(ctl, AprCtl_ExitOf(result), "store: %s",
                           error.detail);
    }
    return APR_CTL_OK;
}

static json_t *
result_to_json(const AprServiceConfig_t *config, int code,
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

/* One line that says what happened to the service and what to do next. */
static char *
describe_result(const AprServiceConfig_t *config, int code,
                const AprPublishResult_t *published, const AprError_t *error)
{
    char when[32];

    if (code == APR_OK) {
        return g_strdup_printf("%s: %s at generation %llu", config->service,
                               published->unchanged ? "unchanged, in force"
                                                    : "in force",
                               (unsigned long long)published->generation);
    }
    if (published->conflict) {
        AprCtl_FormatTime(published->winner_at_ms, when, sizeof(when));
        return g_strdup_printf(
            "%s: not published, %s published generation %llu at %s; compare "
            "with apricotctl config show %s, then publish again",
            config->service, published->winner,
            (unsigned long long)published->winner_generation, when,
            config->service);
    }
    if (code == APR_E_UNKNOWN) {
        return g_strdup_printf(
            "%s: may be in force, the store's answer was lost (%s); publish "
            "again, which changes nothing if it is",
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
stamp(AprServiceConfig_t *config)
{
    AprClock_t clock = AprClock_System();

    snprintf(config->published_by, sizeof(config->published_by), "%.60s@%.60s",
             g_get_user_name(), g_get_host_name());
    config->published_at_ms = AprClock_WallMs(&clock);
}

static int
publish_one(const AprCtl_t *ctl, AprStore_t *store, AprServiceConfig_t *config,
            json_t *list)
{
    AprPublishResult_t published = {0};
    AprError_t error = {0};
    char *line;
    int code;

    stamp(config);
    code = AprPublish_Service(store, ctl->prefix, config,
                              (uint64_t)ctl->based_on, &published, &error);
    if (published.conflict && code == APR_OK) {
        code = APR_E_CONFLICT;
    }
    line = describe_result(config, code, &published, &error);
    if (code != APR_OK) {
        fprintf(ctl->err, "apricotctl: %s\n", line);
    }
    else if (!ctl->json) {
        fprintf(ctl->out, "%s\n", line);
    }
    json_array_append_new(list,
                          result_to_json(config, code, &published, line));
    g_free(line);
    return AprCtl_ExitOf(code);
}

/* Services are published one by one. A conflict leaves the others to be
   published; when the store is unavailable the rest is not tried. */
static int
publish_all(const AprCtl_t *ctl, AprStore_t *store,
            AprServiceConfig_t *configs, int count)
{
    json_t *list = json_array();
    int result = APR_CTL_OK;

    for (int i = 0; i < count; i++) {
        int code = publish_one(ctl, store, &configs[i], list);

        result = code > result ? code : result;
        if (code == APR_CTL_UNAVAILABLE && i + 1 < count) {
            fprintf(ctl->err, "apricotctl: %d more services not tried\n",
                    count - i - 1);
            break;
        }
    }
    if (ctl->json) {
        AprCtl_PrintJson(ctl, json_pack("{s:b, s:i, s:O}", "ok",
                                        result == APR_CTL_OK, "exit", result,
                                        "services", list));
    }
    json_decref(list);
    return result;
}

/* Checks all directories, then puts every service into force. */
int
AprCtl_Publish(AprCtl_t *ctl)
{
    AprServiceConfig_t *configs;
    AprStore_t store;
    int count;
    int result;

    if (ctl->based_on < 0) {
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
