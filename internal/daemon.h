#ifndef APRICOT_INTERNAL_DAEMON_H
#define APRICOT_INTERNAL_DAEMON_H

#include "apricot/settings.h"
#include "internal/core.h"

AprCore_t *AprCore_Start(const AprSettings_t *settings,
                         const AprClock_t *clock, AprError_t *error);
/* Requests a planned stop: the process hands over all partitions and leaves
   the record. */
void AprCore_RequestDrain(AprCore_t *core);
bool AprCore_IsFinished(const AprCore_t *core);
void AprCore_Stop(AprCore_t *core);
AprRing_t *AprCore_Inbox(AprCore_t *core);
AprMetrics_t *AprCore_Metrics(AprCore_t *core);
/* Returns the address of the peer listener; the core owns the text. */
const char *AprCore_PeerAddress(const AprCore_t *core);

#endif
