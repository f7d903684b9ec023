#include "standins/lib/signals.h"

#include <stddef.h>

/* Blocks SIGTERM and SIGINT, so that only AprStandin_WaitForStopSignal
   receives them, and ignores SIGPIPE. Must be called before threads start,
   because they inherit the mask. */
void
AprStandin_BlockStopSignals(sigset_t *signals)
{
    sigemptyset(signals);
    sigaddset(signals, SIGTERM);
    sigaddset(signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, signals, NULL);
    signal(SIGPIPE, SIG_IGN);
}

/* Waits for SIGTERM or SIGINT. */
void
AprStandin_WaitForStopSignal(const sigset_t *signals)
{
    int signal_number;

    sigwait(signals, &signal_number);
}
