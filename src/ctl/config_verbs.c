#include <stdlib.h>
#include <string.h>

#include "apricot/clock.h"
#include "apricot/publish.h"
#include "internal/ctl.h"

#define HISTORY_TIMEOUT_MS 10000

/* JSON escapes are valid in TOML text. */
static void
print_quoted(FILE *out, const char *text)
{
    json_t *value = json_string(text);

    json_dumpf(value, out, JSON_ENCODE_ANY);
    json_decref(value);
}

static void
print_list(FILE *out, const char *name, const char *first, size_t size,
           int count)
{
    fprintf(out, "%s = [", name);
    for (int i = 0; i < count; i++) {
        fputs(i == 0 ? "" : ", ", out);
        print_quoted(out, first + (size_t)i * size);
    }
    fputs("]\n", out);
}

/* Prints a configuration as a service file, so that it can be compared with
   the operator's own. */
static void
print_toml(FILE *out, const AprServiceConfig_t *config)
{
    char when[32];

    AprCtl_FormatTime(config->published_at_ms, when, sizeof(when));
    fprintf(out, "# generation %llu, published by %s at %s\nservice = ",
            (unsigned long long)config->generation, config->published_by,
            when);
    print_quoted(out, config->service);
    fputc('\n', out);
    print_list(out, "keys", config->patterns[0], sizeof(config->patterns[0]),
               config->pattern_count);
    print_list(out, "idempotent", config->idempotent[0],
               sizeof(config->idempotent[0]), config->idempotent_count);
    fprintf(out,
            "move_cost = %g\nramp_s = %d\nhot_share = %g\n\n[limits]\n"
            "caller_rate = %g\nservice_rate = %g\nqueue = %d\n"
            "body_bytes = %d\n",
            config->move_cost, config->ramp_s, config->hot_share,
            config->caller_rate, config->service_rate, config->queue,
            config->body_bytes);
    for (int i = 0; i < config->rank_count; i++) {
        const AprRankConfig_t *rank = &config->ranks[i];

        fprintf(out, "\n[[rank]]\nname = \"%s\"\ntarget_ms = %d\nworth = %d\n",
                rank->name, rank->spec.target_ms, rank->spec.worth);
    }
}

static json_t *
config_to_json(const AprServiceConfig_t *config)
{
    char *text = AprServiceConfig_ToJson(config);
    json_t *value = text == NULL ? json_null() : json_loads(text, 0, NULL);

    free(text);
    return value;
}

static bool
is_wanted(const AprCtl_t *ctl, const char *service)
{
    return ctl->argument_count < 2 || strcmp(ctl->arguments[1], service) == 0;
}

static int
show(const AprCtl_t *ctl, AprStore_t *store)
{
    AprServiceConfig_t *configs = NULL;
    json_t *list = json_array();
    AprError_t error = {0};
    uint64_t generation = 0;
    int shown = 0;
    int count =
        AprPublish_List(store, ctl->prefix, &configs, &generation, &error);

    for (int i = 0; i < count; i++) {
        if (!is_wanted(ctl, configs[i].service)) {
            continue;
        }
        json_array_append_new(list, config_to_json(&configs[i]));
        if (!ctl->json) {
            fputs(shown == 0 ? "" : "\n", ctl->out);
            print_toml(ctl->out, &configs[i]);
        }
        shown++;
    }
    if (ctl->json && count >= 0) {
        AprCtl_PrintJson(ctl,
                         json_pack("{s:b, s:I, s:O}", "ok", 1, "generation",
                                   (json_int_t)generation, "services", list));
    }
    json_decref(list);
    free(configs);
    if (count < 0) {
        return AprCtl_Fail(ctl, AprCtl_ExitOf(count),
                           "cannot read the store: %s", error.detail);
    }
    if (shown == 0 && ctl->argument_count > 1) {
        return AprCtl_Fail(ctl, APR_CTL_FAILED,
                           "service %s has not been published",
                           ctl->arguments[1]);
    }
    return APR_CTL_OK;
}

/* What one reading of the store's history has found so far. */
typedef struct History_t {
    const AprCtl_t *ctl;
    json_t *list;
    int64_t last_revision; /* of the newest value under the prefix */
    int64_t seen_revision;
    AprClock_t clock;
    struct timespec give_up;
} History_t;

static void
note_last_revision(void *context, const AprStoreEvent_t *event)
{
    History_t *history = context;

    if (event->revision > history->last_revision) {
        history->last_revision = event->revision;
    }
}

static void
collect_event(void *context, const AprStoreEvent_t *event)
{
    History_t *history = context;
    AprServiceConfig_t config;
    AprError_t error;

    history->seen_revision = event->revision;
    if (event->data == NULL ||
        AprServiceConfig_FromJson(event->data, event->size, &config, &error) !=
            APR_OK ||
        !is_wanted(history->ctl, config.service)) {
        return;
    }
    json_array_append_new(history->list, config_to_json(&config));
}

static bool
history_is_complete(void *context)
{
    const History_t *history = context;

    return history->seen_revision >= history->last_revision ||
           AprTime_Before(history->give_up, AprClock_Now(&history->clock));
}

static void
print_history(const AprCtl_t *ctl, const json_t *list)
{
    for (size_t i = 0; i < json_array_size(list); i++) {
        const json_t *entry = json_array_get(list, i);
        char when[32];

        AprCtl_FormatTime(AprCtl_Integer(entry, "published_at_ms"), when,
                          sizeof(when));
        fprintf(ctl->out, "generation %lld  %s  %s  %s\n",
                AprCtl_Integer(entry, "generation"), when,
                AprCtl_Text(entry, "service"),
                AprCtl_Text(entry, "published_by"));
    }
}

/* The store keeps former values until it compacts them; a watch from the
   first revision replays them. */
static int
read_history(History_t *history, AprStore_t *store, const char *prefix,
             AprError_t *error)
{
    int64_t revision;
    int result = store->list(store->context, prefix, note_last_revision,
                             history, &revision, error);

    if (result != APR_OK || history->last_revision == 0) {
        return result;
    }
    result = store->watch(store->context, prefix, 1, collect_event, history,
                          history_is_complete, history, error);
    if (history->seen_revision >= history->last_revision) {
        return APR_OK;
    }
    if (result == APR_E_CLOSED && history->seen_revision == 0) {
        fprintf(history->ctl->err,
                "apricotctl: the store no longer holds the whole history; "
                "only the current values are shown\n");
        return store->list(store->context, prefix, collect_event, history,
                           &revision, error);
    }
    if (result == APR_OK) {
        result = AprError_Set(error, APR_E_TIMEOUT, APR_STEP_STORE, "",
                              "the history was not complete after %d s",
                              HISTORY_TIMEOUT_MS / 1000);
    }
    return result;
}

static int
show_history(const AprCtl_t *ctl, AprStore_t *store)
{
    History_t history = {.ctl = ctl, .list = json_array()};
    char *prefix = g_strdup_printf("%s/config/", ctl->prefix);
    AprError_t error = {0};
    int result;

    history.clock = AprClock_System();
    history.give_up =
        AprTime_AddMs(AprClock_Now(&history.clock), HISTORY_TIMEOUT_MS);
    result = read_history(&history, store, prefix, &error);
    g_free(prefix);
    if (result != APR_OK) {
        json_decref(history.list);
        return AprCtl_Fail(ctl, AprCtl_ExitOf(result),
                           "cannot read the store: %s", error.detail);
    }
    if (ctl->json) {
        AprCtl_PrintJson(
            ctl, json_pack("{s:b, s:o}", "ok", 1, "history", history.list));
        return APR_CTL_OK;
    }
    print_history(ctl, history.list);
    json_decref(history.list);
    return APR_CTL_OK;
}

/* `config show` and `config history`. */
int
AprCtl_Config(AprCtl_t *ctl)
{
    bool shows = strcmp(ctl->arguments[0], "show") == 0;
    AprStore_t store;
    int result;

    if (!shows && strcmp(ctl->arguments[0], "history") != 0) {
        return AprCtl_Fail(ctl, APR_CTL_INVALID,
                           "config takes show or history, not \"%s\"",
                           ctl->arguments[0]);
    }
    result = AprCtl_OpenStore(ctl, &store);
    if (result != APR_CTL_OK) {
        return result;
    }
    result = shows ? show(ctl, &store) : show_history(ctl, &store);
    AprStore_Close(&store);
    return result;
}
