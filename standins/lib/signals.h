#ifndef APRICOT_STANDIN_SIGNALS_H
#define APRICOT_STANDIN_SIGNALS_H

#include <signal.h>

void AprStandin_BlockSignals(sigset_t *signals);
void AprStandin_WaitSignal(const sigset_t *signals);

#endif
