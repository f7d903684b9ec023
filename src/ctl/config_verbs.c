#include <stdlib.h>
#include <string.h>

#include "apricot/clock.h"
#include "apricot/publish.h"
#include "internal/ctl.h"

#define HISTORY_TIMEOUT_MS 10000

/* Writes text as a JSON string, whose escapes are valid in a TOML string. */
static void
print_toml_string(FILE *out, const char *text)
{
    json_t *value = json_string(text);

    json_dumpf(value, out, JSON_ENCODE_ANY);
    json_decref(value);
}

/* Prints an array of count strings that lie item_size bytes apart. */
static void
print_toml_string_list(FILE *out, const char *name, const char *first_item,
                       size_t item_size, int count)
{
    fprintf(out, "%s = [", name);
    for (int i = 0; i < count; i++) {
        fputs(i == 0 ? "" : ", ", out);
        print_toml_string(out, first_item + (size_t)i * item_size);
    }
    fputs("]\n", out);
}

/* Prints a configuration in the format of a service file, so that an operator
   can compare it with the local file. */
static void
print_toml(FILE *out, const AprServiceConfig_t *config)
{
    char published_at[32];

    AprCtl_FormatTime(config->published_at_ms, published_at,
                      sizeof(published_at));
    fprintf(out, "# generation %llu, published by %s at %s\nservice = ",
            (unsigned long long)config->generation, config->published_by,
            published_at);
    print_toml_string(out, config->service);
    fputc('\n', out);
    print_toml_string_list(out, "keys", config->patterns[0],
                           sizeof(config->patterns[0]), config->pattern_count);
    print_toml_string_list(out, "idempotent", config->idempotent[0],
                           sizeof(config->idempotent[0]),
                           config->idempotent_count);
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

/* Returns a new reference; JSON null when memory runs out. */
static json_t *
config_to_json(const AprServiceConfig_t *config)
{
    char *text = AprServiceConfig_ToJson(config);
    json_t *value = text == NULL ? json_null() : json_loads(text, 0, NULL);

    free(text);
    return value;
}

/* Without a SERVICE argument every service is selected. */
static bool
is_service_selected(const AprCtl_t *ctl, const char *service)
{
    return ctl->argument_count < 2 || strcmp(ctl->arguments[1], service) == 0;
}

static int
show_configs(const AprCtl_t *ctl, AprStore_t *store)
{
    AprServiceConfig_t *configs = NULL;
    json_t *list = json_array();
    AprError_t error = {0};
    uint64_t generation = 0;
    int shown_count = 0;
    int count = AprPublish_ListServices(store, ctl->key_prefix, &configs,
                                        &generation, &error);

    for (int i = 0; i < count; i++) {
        if (!is_service_selected(ctl, configs[i].service)) {
            continue;
        }
        json_array_append_new(list, config_to_json(&configs[i]));
        if (!ctl->print_json) {
            fputs(shown_count == 0 ? "" : "\n", ctl->out);
            print_toml(ctl->out, &configs[i]);
        }
        shown_count++;
    }
    if (ctl->print_json && count >= 0) {
        AprCtl_PrintJson(ctl,
                         json_pack("{s:b, s:I, s:O}", "ok", 1, "generation",
                                   (json_int_t)generation, "services", list));
    }
    json_decref(list);
    free(configs);
    if (count < 0) {
        return AprCtl_Fail(ctl, AprCtl_ErrorToExitCode(count),
                           "cannot read the store: %s", error.detail);
    }
    if (shown_count == 0 && ctl->argument_count > 1) {
        return AprCtl_Fail(ctl, APR_CTL_FAILED,
                           "service %s has not been published",
                           ctl->arguments[1]);
    }
    return APR_CTL_OK;
}

/* State of one read of the published configurations in the store's history. */
typedef struct HistoryReader_t {
    const AprCtl_t *ctl;
    json_t *list;               /* configurations found */
    int64_t newest_revision;    /* of the current values under the prefix */
    int64_t last_seen_revision; /* of the last value received */
    AprClock_t clock;
    struct timespec deadline;
} HistoryReader_t;

static void
record_newest_revision(void *context, const AprStoreEvent_t *event)
{
    HistoryReader_t *history = context;

    if (event->revision > history->newest_revision) {
        history->newest_revision = event->revision;
    }
}

/* Skips deletions, values that do not parse and services that are not
   selected. */
static void
append_history_entry(void *context, const AprStoreEvent_t *event)
{
    HistoryReader_t *history = context;
    AprServiceConfig_t config;
    AprError_t error;

    history->last_seen_revision = event->revision;
    if (event->data == NULL ||
        AprServiceConfig_FromJson(event->data, event->size, &config, &error) !=
            APR_OK ||
        !is_service_selected(history->ctl, config.service)) {
        return;
    }
    json_array_append_new(history->list, config_to_json(&config));
}

/* Ends the watch when the newest value has been received or the deadline has
   passed. */
static bool
history_should_stop(void *context)
{
    const HistoryReader_t *history = context;

    return history->last_seen_revision >= history->newest_revision ||
           AprTime_IsBefore(history->deadline, AprClock_Now(&history->clock));
}

static void
print_history(const AprCtl_t *ctl, const json_t *list)
{
    for (size_t i = 0; i < json_array_size(list); i++) {
        const json_t *entry = json_array_get(list, i);
        char published_at[32];

        AprCtl_FormatTime(AprCtl_GetInteger(entry, "published_at_ms"),
                          published_at, sizeof(published_at));
        fprintf(ctl->out, "generation %lld  %s  %s  %s\n",
                AprCtl_GetInteger(entry, "generation"), published_at,
                AprCtl_GetText(entry, "service"),
                AprCtl_GetText(entry, "published_by"));
    }
}

/* Reads the history with a watch from revision 1: the store keeps previous
   values until it compacts them, and the watch replays them. Falls back to the
   current values when the store has compacted its history. */
static int
read_history(HistoryReader_t *history, AprStore_t *store, const char *prefix,
             AprError_t *error)
{
    int64_t revision;
    int result = store->list(store->context, prefix, record_newest_revision,
                             history, &revision, error);

    if (result != APR_OK || history->newest_revision == 0) {
        return result;
    }
    result = store->watch(store->context, prefix, 1, append_history_entry,
                          history, history_should_stop, history, error);
    if (history->last_seen_revision >= history->newest_revision) {
        return APR_OK;
    }
    if (result == APR_E_CLOSED && history->last_seen_revision == 0) {
        fprintf(history->ctl->err,
                "apricotctl: the store has compacted its history; only the "
                "current values are shown\n");
        return store->list(store->context, prefix, append_history_entry,
                           history, &revision, error);
    }
    if (result == APR_OK) {
        result = AprError_Set(error, APR_E_TIMEOUT, APR_STEP_STORE, "",
                              "reading the history did not finish within %d s",
                              HISTORY_TIMEOUT_MS / 1000);
    }
    return result;
}

static int
show_history(const AprCtl_t *ctl, AprStore_t *store)
{
    HistoryReader_t history = {.ctl = ctl, .list = json_array()};
    char *prefix = g_strdup_printf("%s/config/", ctl->key_prefix);
    AprError_t error = {0};
    int result;

    history.clock = AprClock_System();
    history.deadline =
        AprTime_AddMs(AprClock_Now(&history.clock), HISTORY_TIMEOUT_MS);
    result = read_history(&history, store, prefix, &error);
    g_free(prefix);
    if (result != APR_OK) {
        json_decref(history.list);
        return AprCtl_Fail(ctl, AprCtl_ErrorToExitCode(result),
                           "cannot read the store: %s", error.detail);
    }
    if (ctl->print_json) {
        AprCtl_PrintJson(
            ctl, json_pack("{s:b, s:o}", "ok", 1, "history", history.list));
        return APR_CTL_OK;
    }
    print_history(ctl, history.list);
    json_decref(history.list);
    return APR_CTL_OK;
}

/* Runs `config show`, `config history` or `config check`. */
int
AprCtl_RunConfig(AprCtl_t *ctl)
{
    bool is_show = strcmp(ctl->arguments[0], "show") == 0;
    AprStore_t store;
    int result;

    if (strcmp(ctl->arguments[0], "check") == 0) {
        return AprCtl_RunConfigCheck(ctl);
    }
    if (!is_show && strcmp(ctl->arguments[0], "history") != 0) {
        return AprCtl_Fail(ctl, APR_CTL_INVALID,
                           "config takes show, history or check, not \"%s\"; "
                           "see apricotctl config --help",
                           ctl->arguments[0]);
    }
    if (ctl->against != NULL) {
        return AprCtl_Fail(ctl, APR_CTL_INVALID,
                           "--against is an option of config check only");
    }
    result = AprCtl_OpenStore(ctl, &store);
    if (result != APR_CTL_OK) {
        return result;
    }
    result = is_show ? show_configs(ctl, &store) : show_history(ctl, &store);
    AprStore_Close(&store);
    return result;
}
