#ifndef APRICOT_STANDINS_RELAY_H
#define APRICOT_STANDINS_RELAY_H

#include "apricot/error.h"

/* A TCP relay for failure tests, run by one thread. */
typedef struct AprRelay_t AprRelay_t;

/* Listens on "IP:port" (port 0 picks a free one) and passes each connection
   on to another address. */
AprRelay_t *AprRelay_Start(const char *listen, const char *to,
                           AprError_t *error);
void AprRelay_Stop(AprRelay_t *relay);
const char *AprRelay_Address(const AprRelay_t *relay);
/* Holds all bytes, closes and new connections back in both directions, like a
   network that is cut. Nothing is lost; Restore passes it on. Thread safe. */
void AprRelay_Cut(AprRelay_t *relay);
void AprRelay_Restore(AprRelay_t *relay);

#endif
