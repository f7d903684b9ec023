#ifndef APRICOT_STANDIN_SIGNALS_H
#define APRICOT_STANDIN_SIGNALS_H

#include <signal.h>

void AprStandin_BlockStopSignals(sigset_t *signals);
void AprStandin_WaitForStopSignal(const sigset_t *signals);

#endif
