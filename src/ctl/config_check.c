#include <stdlib.h>
#include <string.h>

#include "internal/ctl.h"

#define MAX_STORE_URLS 8
#define HTTP_OK 200
#define HTTP_NOT_FOUND 404

/* The JSON library prints 0.1 with 17 digits as 0.10000000000000001. */
#define VALUE_FLAGS (JSON_COMPACT | JSON_ENCODE_ANY | JSON_REAL_PRECISION(15))

/* The text of a file or of the configuration in force. */
typedef struct ConfigText_t {
    char *text; /* NULL: there is none */
    size_t size;
} ConfigText_t;

/* Reads a file. Returns NULL, or the reason, which is freed with g_free(). */
static char *
read_file(const char *path, ConfigText_t *config)
{
    if (g_file_get_contents(path, &config->text, &config->size, NULL)) {
        return NULL;
    }
    return g_strdup_printf(
        "%s: cannot be read; check that the file exists and is readable",
        path);
}

/* Asks one store for the configuration in force. An item that does not exist
   leaves `config` empty. Returns NULL, or the reason, which is freed with
   g_free(). */
static char *
fetch_from(const AprCtl_t *ctl, const char *base_url, ConfigText_t *config)
{
    size_t size = strlen(base_url);
    GString *body = g_string_new(NULL);
    char *reason = NULL;
    long status = 0;
    const char *error;
    char *url;

    if (size > 0 && base_url[size - 1] == '/') {
        size--;
    }
    url = g_strdup_printf("%.*s%s", (int)size, base_url,
                          ctl->platform->config_path);
    error = AprCtl_FetchUrl(url, body, &status);
    if (error != NULL) {
        reason = g_strdup_printf("store %s: %s", base_url, error);
    }
    else if (status == HTTP_OK) {
        config->text = ctl->platform->decode_config_item(body->str, body->len,
                                                         &config->size);
        if (config->text == NULL) {
            reason = g_strdup_printf(
                "store %s: the response is not an item; check that this is "
                "the URL of the platform's store",
                base_url);
        }
    }
    else if (status != HTTP_NOT_FOUND) {
        reason = g_strdup_printf("store %s: HTTP %ld", base_url, status);
    }
    g_string_free(body, TRUE);
    g_free(url);
    return reason;
}

/* Reads the configuration in force from the first store that responds. Returns
   NULL, or the reason, which is freed with g_free(). */
static char *
fetch_config_in_force(const AprCtl_t *ctl, ConfigText_t *config)
{
    char *reason = NULL;
    char **urls;

    if (ctl->store_urls == NULL) {
        return g_strdup("no store URL; set --store URL or APRICOT_STORE");
    }
    urls = g_strsplit(ctl->store_urls, ",", MAX_STORE_URLS);
    for (int i = 0; urls[i] != NULL; i++) {
        g_free(reason);
        reason = fetch_from(ctl, urls[i], config);
        if (reason == NULL) {
            break;
        }
    }
    g_strfreev(urls);
    if (reason == NULL && config->text == NULL) {
        fprintf(ctl->err, "apricotctl: the store has no configuration; all "
                          "routes and services count as added\n");
    }
    return reason;
}

/* Reads the configuration that --against names. Returns NULL, or the reason,
   which is freed with g_free(). */
static char *
read_old_config(const AprCtl_t *ctl, ConfigText_t *config)
{
    if (strcmp(ctl->against, "store") == 0) {
        return fetch_config_in_force(ctl, config);
    }
    return read_file(ctl->against, config);
}

/* Prints a value of a difference; (none) for what does not exist. */
static void
print_value(const AprCtl_t *ctl, const json_t *value)
{
    if (json_is_null(value)) {
        fputs("(none)", ctl->out);
    }
    else {
        json_dumpf(value, ctl->out, VALUE_FLAGS | JSON_ENSURE_ASCII);
    }
}

/* Prints the name of a member, which can be any text, with escapes. */
static void
print_member_name(const AprCtl_t *ctl, const json_t *name)
{
    char *text = json_dumps(name, VALUE_FLAGS | JSON_ENSURE_ASCII);

    fprintf(ctl->out, " %.*s: ", (int)strlen(text) - 2, text + 1);
    free(text);
}

/* Prints a difference on one line, for instance
   `route changed "desk" sloS: 0.5 -> 0.4`. */
static void
print_difference(const AprCtl_t *ctl, const json_t *difference)
{
    char *kind = g_strdup(AprCtl_GetText(difference, "kind"));
    const json_t *old_value = json_object_get(difference, "old");
    const json_t *new_value = json_object_get(difference, "new");

    fputs(g_strdelimit(kind, "_", ' '), ctl->out);
    g_free(kind);
    if (AprCtl_GetText(difference, "name")[0] != '\0') {
        fputc(' ', ctl->out);
        print_value(ctl, json_object_get(difference, "name"));
    }
    if (AprCtl_GetText(difference, "field")[0] == '\0') {
        fputs(": ", ctl->out);
        print_value(ctl, json_is_null(old_value) ? new_value : old_value);
    }
    else {
        print_member_name(ctl, json_object_get(difference, "field"));
        print_value(ctl, old_value);
        fputs(" -> ", ctl->out);
        print_value(ctl, new_value);
    }
    fputc('\n', ctl->out);
}

/* Prints the findings and then the differences. */
static void
print_text(const AprCtl_t *ctl, const json_t *findings,
           const json_t *differences, bool compared)
{
    size_t index;
    json_t *item;

    json_array_foreach(findings, index, item)
    {
        fprintf(ctl->out, "%s:%lld: %s: %s [%s]\n",
                AprCtl_GetText(item, "file"),
                (long long)AprCtl_GetInteger(item, "line"),
                AprCtl_GetText(item, "field"), AprCtl_GetText(item, "message"),
                AprCtl_GetText(item, "severity"));
    }
    if (json_array_size(findings) == 0) {
        fprintf(ctl->out, "%s: no findings\n", ctl->arguments[1]);
    }
    json_array_foreach(differences, index, item)
    {
        print_difference(ctl, item);
    }
    if (compared && json_array_size(differences) == 0) {
        fprintf(ctl->out, "no differences\n");
    }
}

/* Prints the result. `reason` is NULL unless something could not be read.
   Returns the exit code. */
static int
report(const AprCtl_t *ctl, const json_t *findings, const json_t *differences,
       const char *reason)
{
    bool has_findings = json_array_size(findings) > 0;
    int exit_code = reason != NULL ? APR_CTL_INVALID
                    : has_findings ? APR_CTL_FAILED
                                   : APR_CTL_OK;
    json_t *root;

    if (reason != NULL) {
        fprintf(ctl->err, "apricotctl: not compared: %s\n", reason);
    }
    if (!ctl->print_json) {
        print_text(ctl, findings, differences,
                   ctl->against != NULL && reason == NULL);
        return exit_code;
    }
    root = json_pack("{s:b, s:i, s:O, s:O}", "ok", exit_code == APR_CTL_OK,
                     "exit", exit_code, "findings", findings, "differences",
                     differences);
    if (reason != NULL) {
        json_object_set_new(root, "detail", json_string(reason));
    }
    json_dumpf(root, ctl->out, VALUE_FLAGS);
    fputc('\n', ctl->out);
    json_decref(root);
    return exit_code;
}

/* Checks a configuration that has been read, and compares it if `old` could be
   read, too. Takes over `reason`. Returns the exit code. */
static int
check_and_report(const AprCtl_t *ctl, const ConfigText_t *config,
                 const ConfigText_t *old, char *reason)
{
    char *file = g_filename_display_name(ctl->arguments[1]);
    AprCtlConfigInput_t input = {.file = file,
                                 .text = config->text,
                                 .size = config->size,
                                 .compares =
                                     ctl->against != NULL && reason == NULL,
                                 .old_text = old->text,
                                 .old_size = old->size};
    json_t *findings = json_array();
    json_t *differences = json_array();
    AprError_t error = {0};
    int exit_code;

    if (ctl->platform->check_config(&input, findings, differences, &error) !=
        APR_OK) {
        reason = g_strdup_printf("%s: %s", ctl->against, error.detail);
    }
    exit_code = report(ctl, findings, differences, reason);
    json_decref(findings);
    json_decref(differences);
    g_free(reason);
    g_free(file);
    return exit_code;
}

/* Runs `config check FILE`. Returns 0 without findings, 1 with findings, and 2
   if something cannot be read. */
int
AprCtl_RunConfigCheck(AprCtl_t *ctl)
{
    ConfigText_t config = {0};
    ConfigText_t old = {0};
    char *reason;
    int exit_code;

    if (ctl->argument_count != 2 || ctl->platform == NULL) {
        return AprCtl_Fail(ctl, APR_CTL_INVALID,
                           "config check takes FILE; see apricotctl config "
                           "--help");
    }
    reason = read_file(ctl->arguments[1], &config);
    if (reason != NULL) {
        exit_code = AprCtl_Fail(ctl, APR_CTL_INVALID, "%s", reason);
        g_free(reason);
        return exit_code;
    }
    reason = ctl->against == NULL ? NULL : read_old_config(ctl, &old);
    exit_code = check_and_report(ctl, &config, &old, reason);
    g_free(config.text);
    g_free(old.text);
    return exit_code;
}
