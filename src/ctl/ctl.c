#include "internal/ctl.h"

#include <stdlib.h>
#include <string.h>

/* Options that a verb uses, as bits. */
typedef enum VerbOptionFlags_t {
    VERB_NO_OPTIONS = 0,
    VERB_USES_ADMIN = 1,
    VERB_USES_STORE = 2,
    VERB_TAKES_BASED_ON = 4,
    VERB_TAKES_CONFIRM_DEAD = 8,
    VERB_TAKES_AGAINST = 16
} VerbOptionFlags_t;

typedef struct Verb_t {
    const char *name;
    const char *arguments;
    const char *summary;
    int min_arguments;
    int max_arguments;
    unsigned option_flags;
    int (*run)(AprCtl_t *ctl);
} Verb_t;

#define MAX_DIRECTORY_ARGUMENTS 1000 /* of check and publish */
#define DEFAULT_PREFIX "/apricot"

static const Verb_t verbs[] = {
    {"check", "DIR...", "Checks the service files in the directories.", 1,
     MAX_DIRECTORY_ARGUMENTS, VERB_NO_OPTIONS, AprCtl_RunCheck},
    {"publish", "DIR...",
     "Checks the service files in the directories and publishes them. "
     "Nothing is published if any file has an error.",
     1, MAX_DIRECTORY_ARGUMENTS, VERB_USES_STORE | VERB_TAKES_BASED_ON,
     AprCtl_RunPublish},
    {"config", "show|history [SERVICE] | check FILE",
     "Prints the published configuration (show), or who published what and "
     "when (history). check reads a configuration of apricot-gateway and "
     "prints what is wrong with it; its exit codes are 0 without findings, 1 "
     "with findings, and 2 if a file or the store cannot be read or the usage "
     "is wrong.",
     1, 2, VERB_USES_STORE | VERB_TAKES_AGAINST, AprCtl_RunConfig},
    {"status", "", "Prints the hosts and services of the cell.", 0, 0,
     VERB_USES_ADMIN, AprCtl_RunStatus},
    {"where", "SERVICE KEY", "Prints the owner of a key.", 2, 2,
     VERB_USES_ADMIN, AprCtl_RunWhere},
    {"dump", "HOST",
     "Prints the internal state of the process on a host as JSON.", 1, 1,
     VERB_USES_ADMIN, AprCtl_RunDump},
    {"drain", "HOST", "Moves all partitions away from a host.", 1, 1,
     VERB_USES_ADMIN, AprCtl_RunDrain},
    {"undrain", "HOST", "Lets a drained host own partitions again.", 1, 1,
     VERB_USES_ADMIN, AprCtl_RunUndrain},
    {"move", "SERVICE KEY HOST", "Moves the partition of a key to a host.", 3,
     3, VERB_USES_ADMIN, AprCtl_RunMove},
    {"remove-host", "HOST",
     "Removes a lost host from the cell without the consent of its witnesses. "
     "Confirm only when its process has certainly ended; otherwise two hosts "
     "could serve the same keys.",
     1, 1, VERB_USES_ADMIN | VERB_TAKES_CONFIRM_DEAD, AprCtl_RunRemoveHost},
};

#define VERB_COUNT ((int)(sizeof(verbs) / sizeof(verbs[0])))

static const char exit_codes[] =
    "Exit codes: 0 ok, 1 failed, 2 invalid input or usage, 3 conflict with "
    "another\noperator, 4 store or process unavailable.\n";

static void
print_overview(FILE *stream)
{
    fprintf(stream, "Usage: apricotctl VERB [OPTION...] [ARGUMENT...]\n\n");
    for (int i = 0; i < VERB_COUNT; i++) {
        fprintf(stream, "  %-12s %s\n", verbs[i].name, verbs[i].arguments);
    }
    fprintf(stream,
            "\napricotctl VERB --help explains a verb. Verbs that ask a "
            "process use --admin or\nAPRICOT_ADMIN and --token or "
            "APRICOT_TOKEN; verbs that use the store use --store\nor "
            "APRICOT_STORE.\n%s",
            exit_codes);
}

static void
add_options(GOptionContext *context, const Verb_t *verb, AprCtl_t *ctl,
            gboolean *help)
{
    GOptionEntry common[] = {
        {"help", 'h', 0, G_OPTION_ARG_NONE, help, "Shows this help", NULL},
        {"json", 0, 0, G_OPTION_ARG_NONE, &ctl->print_json, "Prints JSON",
         NULL},
        {0}};
    /* Every verb accepts the options of the admin interface and of the store,
       so that a shell function can always set them. The help shows only those
       that the verb uses. */
    int admin_flags =
        verb->option_flags & VERB_USES_ADMIN ? 0 : G_OPTION_FLAG_HIDDEN;
    int store_flags =
        verb->option_flags & VERB_USES_STORE ? 0 : G_OPTION_FLAG_HIDDEN;
    GOptionEntry admin[] = {
        {"admin", 0, admin_flags, G_OPTION_ARG_STRING, &ctl->admin_address,
         "Admin address of any apricotd of the cell (default: APRICOT_ADMIN)",
         "IP:port"},
        {"token", 0, admin_flags, G_OPTION_ARG_STRING, &ctl->admin_token,
         "Bearer token (admin_token of the process); APRICOT_TOKEN keeps it "
         "out of the process list",
         "TOKEN"},
        {0}};
    GOptionEntry store[] = {
        {"store", 0, store_flags, G_OPTION_ARG_STRING, &ctl->store_urls,
         "URLs of the store, separated by commas (default: APRICOT_STORE)",
         "URL"},
        {"prefix", 0, store_flags, G_OPTION_ARG_STRING, &ctl->key_prefix,
         "Start of every key in the store (default: /apricot)", "PREFIX"},
        {0}};
    GOptionEntry based_on[] = {
        {"based-on", 0, 0, G_OPTION_ARG_INT64, &ctl->based_on_generation,
         "Fails with exit code 3 if a service changed after this generation",
         "GENERATION"},
        {0}};
    GOptionEntry against[] = {
        {"against", 0, 0, G_OPTION_ARG_FILENAME, &ctl->against,
         "With check: also prints the differences from a file, or from the "
         "configuration in force (store)",
         "FILE|store"},
        {0}};
    GOptionEntry confirm[] = {
        {"confirm-dead", 0, 0, G_OPTION_ARG_NONE, &ctl->confirm_dead,
         "Confirms that the process on the host has ended", NULL},
        {0}};

    g_option_context_add_main_entries(context, common, NULL);
    g_option_context_add_main_entries(context, admin, NULL);
    g_option_context_add_main_entries(context, store, NULL);
    if (verb->option_flags & VERB_TAKES_BASED_ON) {
        g_option_context_add_main_entries(context, based_on, NULL);
    }
    if (verb->option_flags & VERB_TAKES_AGAINST) {
        g_option_context_add_main_entries(context, against, NULL);
    }
    if (verb->option_flags & VERB_TAKES_CONFIRM_DEAD) {
        g_option_context_add_main_entries(context, confirm, NULL);
    }
}

/* Returns the option parser of a verb; options are stored in ctl and help. */
static GOptionContext *
new_option_context(const Verb_t *verb, AprCtl_t *ctl, gboolean *help)
{
    GOptionContext *context = g_option_context_new(verb->arguments);
    char *program = g_strdup_printf("apricotctl %s", verb->name);

    g_set_prgname(program); /* GLib starts the usage line with it */
    g_free(program);
    g_option_context_set_summary(context, verb->summary);
    g_option_context_set_description(context, exit_codes);
    g_option_context_set_help_enabled(context, FALSE);
    add_options(context, verb, ctl, help);
    return context;
}

/* An option on the command line takes precedence; an empty variable counts as
   not set. */
static void
set_from_environment(char **option, const char *variable)
{
    const char *value = getenv(variable);

    if (*option == NULL && value != NULL && value[0] != '\0') {
        *option = g_strdup(value);
    }
}

/* Prints help_text if it is not NULL, and runs the verb otherwise. */
static int
run_verb(const Verb_t *verb, AprCtl_t *ctl, const char *help_text)
{
    int count = ctl->argument_count;

    if (help_text != NULL) {
        fputs(help_text, ctl->out);
        return APR_CTL_OK;
    }
    if (count < verb->min_arguments || count > verb->max_arguments) {
        return AprCtl_Fail(ctl, APR_CTL_INVALID,
                           "%s takes %s; see apricotctl %s --help", verb->name,
                           verb->arguments[0] == '\0' ? "no arguments"
                                                      : verb->arguments,
                           verb->name);
    }
    set_from_environment(&ctl->admin_address, "APRICOT_ADMIN");
    set_from_environment(&ctl->admin_token, "APRICOT_TOKEN");
    set_from_environment(&ctl->store_urls, "APRICOT_STORE");
    if (ctl->key_prefix == NULL) {
        ctl->key_prefix = g_strdup(DEFAULT_PREFIX);
    }
    return verb->run(ctl);
}

/* Returns the index of the verb, the first argument that is neither an option
   nor the value of one; 0 when there is none. */
static int
find_verb_index(int argc, char **argv)
{
    static const char *const options_with_value[] = {
        "--admin",    "--token",   "--store", "--prefix",
        "--based-on", "--against", NULL};
    int index = 1;

    while (index < argc && argv[index][0] == '-') {
        index += g_strv_contains(options_with_value, argv[index]) ? 2 : 1;
    }
    return index < argc ? index : 0;
}

/* Returns a copy of the command line without the verb, freed with
   g_strfreev. */
static char **
copy_arguments_without(int argc, char **argv, int verb_index)
{
    char **copy = g_new0(char *, argc);
    int count = 0;

    for (int i = 0; i < argc; i++) {
        if (i != verb_index) {
            copy[count++] = g_strdup(argv[i]);
        }
    }
    return copy;
}

/* Parses the options; GLib removes them from *remaining_arguments. */
static int
parse_and_run(const Verb_t *verb, char ***remaining_arguments, AprCtl_t *ctl)
{
    gboolean help = FALSE;
    GOptionContext *context = new_option_context(verb, ctl, &help);
    GError *error = NULL;
    char *help_text = NULL;
    int result;

    if (g_option_context_parse_strv(context, remaining_arguments, &error)) {
        ctl->arguments = *remaining_arguments + 1;
        ctl->argument_count = (int)g_strv_length(*remaining_arguments) - 1;
        if (help) {
            help_text = g_option_context_get_help(context, TRUE, NULL);
        }
        result = run_verb(verb, ctl, help_text);
    }
    else {
        result =
            AprCtl_Fail(ctl, APR_CTL_INVALID, "%s; see apricotctl %s --help",
                        error->message, verb->name);
        g_error_free(error);
    }
    g_free(help_text);
    g_option_context_free(context);
    return result;
}

static const Verb_t *
find_verb_by_name(const char *name)
{
    for (int i = 0; i < VERB_COUNT; i++) {
        if (strcmp(verbs[i].name, name) == 0) {
            return &verbs[i];
        }
    }
    return NULL;
}

/* --help prints the overview to out and succeeds; no verb prints it to err and
   is a usage error. */
static int
print_help_or_usage_error(int argc, char **argv, FILE *out, FILE *err)
{
    for (int i = 1; i < argc; i++) {
        if (strcmp(argv[i], "--help") == 0 || strcmp(argv[i], "-h") == 0) {
            print_overview(out);
            return APR_CTL_OK;
        }
    }
    print_overview(err);
    return APR_CTL_INVALID;
}

/* Runs one command line. Options may come before or after the verb. Without a
   platform, `config check` is not available. Returns the exit code. */
int
AprCtl_Run(int argc, char **argv, FILE *out, FILE *err,
           const AprCtlPlatform_t *platform)
{
    AprCtl_t ctl = {.out = out, .err = err, .platform = platform};
    int index = find_verb_index(argc, argv);
    const Verb_t *verb;
    char **remaining_arguments;
    int result;

    if (index == 0) {
        return print_help_or_usage_error(argc, argv, out, err);
    }
    verb = find_verb_by_name(argv[index]);
    if (verb == NULL) {
        return AprCtl_Fail(&ctl, APR_CTL_INVALID,
                           "unknown verb \"%s\"; see apricotctl --help",
                           argv[index]);
    }
    remaining_arguments = copy_arguments_without(argc, argv, index);
    result = parse_and_run(verb, &remaining_arguments, &ctl);
    g_strfreev(remaining_arguments);
    g_free(ctl.admin_address);
    g_free(ctl.admin_token);
    g_free(ctl.store_urls);
    g_free(ctl.key_prefix);
    g_free(ctl.against);
    return result;
}
