#include "standins/lib/signals.h"

#include <stddef.h>

/* Blocks SIGTERM and SIGINT, so that only AprStandin_WaitSignal sees them;
   called before threads start. Ignores SIGPIPE. */
void
AprStandin_BlockSignals(sigset_t *signals)
{
    sigemptyset(signals);
    sigaddset(signals, SIGTERM);
    sigaddset(signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, signals, NULL);
    signal(SIGPIPE, SIG_IGN);
}

/* Waits for SIGTERM or SIGINT. */
void
AprStandin_WaitSignal(const sigset_t *signals)
{
    int number;

    sigwait(signals, &number);
}
