#ifndef APRICOT_STANDINS_RELAY_H
#define APRICOT_STANDINS_RELAY_H

#include "apricot/error.h"

/* A TCP relay that simulates network failures in tests. One thread serves all
   connections. */
typedef struct AprRelay_t AprRelay_t;

/* Listens on "IP:port" (port 0 picks a free one) and relays each connection to
   the address `to`. */
AprRelay_t *AprRelay_Start(const char *listen, const char *to,
                           AprError_t *error);
void AprRelay_Stop(AprRelay_t *relay);
const char *AprRelay_Address(const AprRelay_t *relay);
/* Holds back data, closes and new connections in both directions, like a
   network partition. Nothing is lost; AprRelay_Restore passes it on. Thread
   safe. */
void AprRelay_Cut(AprRelay_t *relay);
void AprRelay_Restore(AprRelay_t *relay);

#endif
