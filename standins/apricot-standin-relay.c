#include <glib.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

#include "standins/lib/relay.h"

/* Cuts the relay on SIGUSR1 and restores it on SIGUSR2; returns on SIGINT or
   SIGTERM. */
static void
handle_signals(AprRelay_t *relay, const sigset_t *signals)
{
    for (;;) {
        int number;

        if (sigwait(signals, &number) != 0) {
            continue;
        }
        if (number == SIGUSR1) {
            AprRelay_Cut(relay);
            puts("cut");
        }
        else if (number == SIGUSR2) {
            AprRelay_Restore(relay);
            puts("restored");
        }
        else {
            return;
        }
    }
}

/* Blocks the signals so that only sigwait() receives them. Must be called
   before the relay's thread starts, because threads inherit the mask. */
static void
block_signals(sigset_t *signals)
{
    sigemptyset(signals);
    sigaddset(signals, SIGUSR1);
    sigaddset(signals, SIGUSR2);
    sigaddset(signals, SIGINT);
    sigaddset(signals, SIGTERM);
    pthread_sigmask(SIG_BLOCK, signals, NULL);
}

static int
parse_options(int argc, char **argv, char **listen, char **to)
{
    GOptionEntry entries[] = {
        {"listen", 'l', 0, G_OPTION_ARG_STRING, listen,
         "address to listen on; port 0 picks a free one (default 127.0.0.1:0)",
         "IP:PORT"},
        {"to", 't', 0, G_OPTION_ARG_STRING, to, "address to relay to",
         "IP:PORT"},
        {0},
    };
    GOptionContext *context = g_option_context_new(
        "- TCP relay for failure tests; SIGUSR1 cuts, SIGUSR2 restores");
    GError *error = NULL;
    int status = EXIT_SUCCESS;

    g_option_context_add_main_entries(context, entries, NULL);
    if (!g_option_context_parse(context, &argc, &argv, &error)) {
        fprintf(stderr, "apricot-standin-relay: %s\n", error->message);
        g_error_free(error);
        status = EXIT_FAILURE;
    }
    else if (*to == NULL) {
        fprintf(stderr, "apricot-standin-relay: --to IP:PORT is missing\n");
        status = EXIT_FAILURE;
    }
    g_option_context_free(context);
    return status;
}

int
main(int argc, char **argv)
{
    char *listen = NULL;
    char *to = NULL;
    AprRelay_t *relay = NULL;
    AprError_t error;
    sigset_t signals;
    int status = parse_options(argc, argv, &listen, &to);

    if (status == EXIT_SUCCESS) {
        block_signals(&signals);
        relay = AprRelay_Start(listen == NULL ? "127.0.0.1:0" : listen, to,
                               &error);
        if (relay == NULL) {
            fprintf(stderr, "apricot-standin-relay: %s\n", error.detail);
            status = EXIT_FAILURE;
        }
    }
    if (relay != NULL) {
        setvbuf(stdout, NULL, _IOLBF, 0);
        printf("listening %s\n", AprRelay_Address(relay));
        handle_signals(relay, &signals);
        AprRelay_Stop(relay);
    }
    g_free(listen);
    g_free(to);
    return status;
}
