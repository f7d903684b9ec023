#include <curl/curl.h>
#include <glib.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

#include "internal/daemon.h"

#define EXIT_FAILED 1
#define EXIT_USAGE 2
#define STOP_POLL_MS 20
#define NS_PER_MS 1000000L

static char *settings_path;
static gboolean check_only;
static gboolean describe_settings;

static GOptionEntry options[] = {
    {"settings", 's', 0, G_OPTION_ARG_FILENAME, &settings_path,
     "Settings file (TOML)", "FILE"},
    {"check", 0, 0, G_OPTION_ARG_NONE, &check_only,
     "Check the settings and exit", NULL},
    {"describe-settings", 0, 0, G_OPTION_ARG_NONE, &describe_settings,
     "Print every field with its unit, range and default", NULL},
    {NULL, 0, 0, 0, NULL, NULL, NULL}};

static bool
parse_options(int argc, char **argv)
{
    GOptionContext *context =
        g_option_context_new("- router process beside a backend server");
    GError *error = NULL;
    bool ok;

    g_option_context_add_main_entries(context, options, NULL);
    g_option_context_set_description(
        context, "SIGTERM starts a planned stop: the process moves its keys "
                 "to other hosts,\nfinishes the requests in flight and exits "
                 "with status 0. A second signal ends\nit at once.");
    ok = g_option_context_parse(context, &argc, &argv, &error);
    if (!ok) {
        fprintf(stderr, "apricotd: %s\n", error->message);
        g_error_free(error);
    }
    else if (settings_path == NULL && !describe_settings) {
        fprintf(stderr,
                "apricotd: --settings FILE is missing; give the settings "
                "file, or see apricotd --help\n");
        ok = false;
    }
    g_option_context_free(context);
    return ok;
}

/* Blocks SIGTERM and SIGINT before other threads start, so that only
   sigtimedwait receives them, and ignores SIGPIPE. */
static void
block_signals(sigset_t *signals)
{
    sigemptyset(signals);
    sigaddset(signals, SIGTERM);
    sigaddset(signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, signals, NULL);
    signal(SIGPIPE, SIG_IGN);
}

/* Waits until a planned stop, started by the first signal, is complete. A
   second signal ends the wait at once. */
static void
run_until_stopped(AprCore_t *core, AprEntryServer_t *entry,
                  const sigset_t *signals)
{
    const struct timespec poll_interval = {0, STOP_POLL_MS * NS_PER_MS};
    bool stopping = false;

    while (!AprCore_IsFinished(core)) {
        if (sigtimedwait(signals, NULL, &poll_interval) <= 0) {
            continue;
        }
        if (stopping) {
            AprLog_Write(APR_LOG_WARN, "stopped-early", "cause=second-signal");
            return;
        }
        stopping = true;
        AprLog_Write(APR_LOG_INFO, "stopping", "cause=signal");
        AprEntryServer_StartDrain(entry);
        AprCore_RequestDrain(core);
    }
}

static int
run_daemon(const AprSettings_t *settings)
{
    AprClock_t clock = AprClock_System();
    AprError_t error = {0};
    AprEntryServer_t *entry = NULL;
    AprAdminServer_t *admin = NULL;
    sigset_t signals;
    AprCore_t *core;

    block_signals(&signals);
    core = AprCore_Start(settings, &clock, &error);
    if (core != NULL) {
        entry = AprEntryServer_Start(settings, AprCore_Inbox(core),
                                     AprCore_Metrics(core), &error);
    }
    if (entry != NULL) {
        admin = AprAdminServer_Start(settings, AprCore_Inbox(core),
                                     AprCore_Metrics(core), &error);
    }
    if (admin == NULL) {
        fprintf(stderr, "apricotd: %s %s: %s\n", AprStep_Name(error.step),
                error.peer, error.detail);
        return EXIT_FAILED; /* the exit ends threads already started */
    }
    AprLog_Write(APR_LOG_INFO, "started",
                 "callers=%s peers=%s admin=%s failure_domain=%s",
                 settings->listen_callers, AprCore_PeerAddress(core),
                 settings->listen_admin, settings->failure_domain);
    run_until_stopped(core, entry, &signals);
    AprEntryServer_Stop(entry);
    AprAdminServer_Stop(admin);
    AprCore_Stop(core);
    AprLog_Write(APR_LOG_INFO, "stopped", "status=0");
    AprLog_Close();
    return 0;
}

int
main(int argc, char **argv)
{
    AprSettings_t settings;
    AprError_t error = {0};

    if (!parse_options(argc, argv)) {
        return EXIT_USAGE;
    }
    if (describe_settings) {
        char *text = AprSettings_DescribeFields();

        fputs(text, stdout);
        free(text);
        return 0;
    }
    if (AprSettings_Load(settings_path, &settings, &error) != APR_OK) {
        fprintf(stderr, "apricotd: %s\n", error.detail);
        return EXIT_USAGE;
    }
    if (check_only) {
        printf("settings ok\n");
        return 0;
    }
    if (AprLog_Init(settings.log_level, settings.log_file, settings.host) !=
        APR_OK) {
        fprintf(stderr,
                "apricotd: cannot open the log file %s; check that its "
                "directory exists and is writable\n",
                settings.log_file);
        return EXIT_USAGE;
    }
    curl_global_init(CURL_GLOBAL_DEFAULT);
    return run_daemon(&settings);
}
