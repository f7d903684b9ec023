#include "internal/ctl.h"

#include <stdlib.h>
#include <string.h>

typedef enum VerbOptions_t {
    VERB_PLAIN = 0,
    VERB_ADMIN = 1,
    VERB_STORE = 2,
    VERB_BASED_ON = 4,
    VERB_CONFIRM_DEAD = 8
} VerbOptions_t;

typedef struct Verb_t {
    const char *name;
    const char *arguments;
    const char *summary;
    int min_arguments;
    int max_arguments;
    unsigned options;
    int (*run)(AprCtl_t *ctl);
} Verb_t;

#define ANY_COUNT 1000
#define DEFAULT_PREFIX "/apricot"

static const Verb_t verbs[] = {
    {"check", "DIR...", "Checks the service files of directories.", 1,
     ANY_COUNT, VERB_PLAIN, AprCtl_Check},
    {"publish", "DIR...",
     "Checks the service files and puts them into force. Nothing is "
     "published when one of them has a fault.",
     1, ANY_COUNT, VERB_STORE | VERB_BASED_ON, AprCtl_Publish},
    {"config", "show|history [SERVICE]",
     "Prints the published configuration, or who published what and when.", 1,
     2, VERB_STORE, AprCtl_Config},
    {"status", "", "Prints the members and services of the cell.", 0, 0,
     VERB_ADMIN, AprCtl_Status},
    {"where", "SERVICE KEY", "Prints the owner of a key.", 2, 2, VERB_ADMIN,
     AprCtl_Where},
    {"dump", "HOST", "Prints the internal state of one process.", 1, 1,
     VERB_ADMIN, AprCtl_Dump},
    {"drain", "HOST", "Moves all partitions away from a host.", 1, 1,
     VERB_ADMIN, AprCtl_Drain},
    {"undrain", "HOST", "Lets a drained host own partitions again.", 1, 1,
     VERB_ADMIN, AprCtl_Undrain},
    {"move", "SERVICE KEY HOST", "Moves the partition of a key to a host.", 3,
     3, VERB_ADMIN, AprCtl_Move},
    {"remove-host", "HOST",
     "Removes a lost host from the record by the operator's word. Confirm "
     "only when its process has certainly ended: two owners could answer "
     "otherwise.",
     1, 1, VERB_ADMIN | VERB_CONFIRM_DEAD, AprCtl_RemoveHost},
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
        {"json", 0, 0, G_OPTION_ARG_NONE, &ctl->json, "Prints JSON", NULL},
        {0}};
    /* Every verb takes these, so that a shell function can always set them;
       the help shows the ones that matter. */
    int admin_flags = verb->options & VERB_ADMIN ? 0 : G_OPTION_FLAG_HIDDEN;
    int store_flags = verb->options & VERB_STORE ? 0 : G_OPTION_FLAG_HIDDEN;
    GOptionEntry admin[] = {
        {"admin", 0, admin_flags, G_OPTION_ARG_STRING, &ctl->admin,
         "Admin address of any process (default: APRICOT_ADMIN)", "IP:port"},
        {"token", 0, admin_flags, G_OPTION_ARG_STRING, &ctl->token,
         "Bearer token; APRICOT_TOKEN keeps it out of the process list",
         "TOKEN"},
        {0}};
    GOptionEntry store[] = {
        {"store", 0, store_flags, G_OPTION_ARG_STRING, &ctl->store,
         "URLs of the store, separated by commas (default: APRICOT_STORE)",
         "URL"},
        {"prefix", 0, store_flags, G_OPTION_ARG_STRING, &ctl->prefix,
         "Start of every key in the store (default: /apricot)", "PREFIX"},
        {0}};
    GOptionEntry based_on[] = {
        {"based-on", 0, 0, G_OPTION_ARG_INT64, &ctl->based_on,
         "Fails with 3 if a service changed after this generation",
         "GENERATION"},
        {0}};
    GOptionEntry confirm[] = {
        {"confirm-dead", 0, 0, G_OPTION_ARG_NONE, &ctl->confirm_dead,
         "States that the host's process has ended", NULL},
        {0}};

    g_option_context_add_main_entries(context, common, NULL);
    g_option_context_add_main_entries(context, admin, NULL);
    g_option_context_add_main_entries(context, store, NULL);
    if (verb->options & VERB_BASED_ON) {
        g_option_context_add_main_entries(context, based_on, NULL);
    }
    if (verb->options & VERB_CONFIRM_DEAD) {
        g_option_context_add_main_entries(context, confirm, NULL);
    }
}

static GOptionContext *
new_context(const Verb_t *verb, AprCtl_t *ctl, gboolean *help)
{
    GOptionContext *context = g_option_context_new(verb->arguments);
    char *program = g_strdup_printf("apricotctl %s", verb->name);

    g_set_prgname(program); /* GLib prints it in front of the usage */
    g_free(program);
    g_option_context_set_summary(context, verb->summary);
    g_option_context_set_description(context, exit_codes);
    g_option_context_set_help_enabled(context, FALSE);
    add_options(context, verb, ctl, help);
    return context;
}

static void
take_default(char **option, const char *variable)
{
    const char *value = getenv(variable);

    if (*option == NULL && value != NULL && value[0] != '\0') {
        *option = g_strdup(value);
    }
}

static int
run_verb(const Verb_t *verb, AprCtl_t *ctl, const char *help)
{
    int count = ctl->argument_count;

    if (help != NULL) {
        fputs(help, ctl->out);
        return APR_CTL_OK;
    }
    if (count < verb->min_arguments || count > verb->max_arguments) {
        return AprCtl_Fail(ctl, APR_CTL_INVALID,
                           "%s takes %s; see apricotctl %s --help", verb->name,
                           verb->arguments[0] == '\0' ? "no arguments"
                                                      : verb->arguments,
                           verb->name);
    }
    take_default(&ctl->admin, "APRICOT_ADMIN");
    take_default(&ctl->token, "APRICOT_TOKEN");
    take_default(&ctl->store, "APRICOT_STORE");
    if (ctl->prefix == NULL) {
        ctl->prefix = g_strdup(DEFAULT_PREFIX);
    }
    return verb->run(ctl);
}

/* The index of the verb: the first argument that is neither an option nor the
   value of one. */
static int
find_verb(int argc, char **argv)
{
    static const char *const with_value[] = {
        "--admin", "--token", "--store", "--prefix", "--based-on", NULL};
    int index = 1;

    while (index < argc && argv[index][0] == '-') {
        index += g_strv_contains(with_value, argv[index]) ? 2 : 1;
    }
    return index < argc ? index : 0;
}

/* The command line without the verb. */
static char **
copy_without(int argc, char **argv, int verb)
{
    char **copy = g_new0(char *, argc);
    int count = 0;

    for (int i = 0; i < argc; i++) {
        if (i != verb) {
            copy[count++] = g_strdup(argv[i]);
        }
    }
    return copy;
}

static int
parse_and_run(const Verb_t *verb, char ***rest, AprCtl_t *ctl)
{
    gboolean help = FALSE;
    GOptionContext *context = new_context(verb, ctl, &help);
    GError *fault = NULL;
    char *text = NULL;
    int result;

    if (g_option_context_parse_strv(context, rest, &fault)) {
        ctl->arguments = *rest + 1;
        ctl->argument_count = (int)g_strv_length(*rest) - 1;
        if (help) {
            text = g_option_context_get_help(context, TRUE, NULL);
        }
        result = run_verb(verb, ctl, text);
    }
    else {
        result =
            AprCtl_Fail(ctl, APR_CTL_INVALID, "%s; see apricotctl %s --help",
                        fault->message, verb->name);
        g_error_free(fault);
    }
    g_free(text);
    g_option_context_free(context);
    return result;
}

static const Verb_t *
verb_of_name(const char *name)
{
    for (int i = 0; i < VERB_COUNT; i++) {
        if (strcmp(verbs[i].name, name) == 0) {
            return &verbs[i];
        }
    }
    return NULL;
}

static int
run_without_verb(int argc, char **argv, FILE *out, FILE *err)
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

/* Runs one command line. Options may come before or after the verb. Returns
   the exit code. */
int
AprCtl_Run(int argc, char **argv, FILE *out, FILE *err)
{
    AprCtl_t ctl = {.out = out, .err = err};
    int index = find_verb(argc, argv);
    const Verb_t *verb;
    char **rest;
    int result;

    if (index == 0) {
        return run_without_verb(argc, argv, out, err);
    }
    verb = verb_of_name(argv[index]);
    if (verb == NULL) {
        return AprCtl_Fail(&ctl, APR_CTL_INVALID,
                           "unknown verb \"%s\"; see apricotctl --help",
                           argv[index]);
    }
    rest = copy_without(argc, argv, index);
    result = parse_and_run(verb, &rest, &ctl);
    g_strfreev(rest);
    g_free(ctl.admin);
    g_free(ctl.token);
    g_free(ctl.store);
    g_free(ctl.prefix);
    return result;
}
