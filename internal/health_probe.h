#ifndef APRICOT_INTERNAL_HEALTH_PROBE_H
#define APRICOT_INTERNAL_HEALTH_PROBE_H

#include "internal/backend_cold.h"

/* Polls the health path of the local backend server, which names the remaining
   cold time, between its heartbeats. */
typedef struct AprHealthProbe_t AprHealthProbe_t;

AprHealthProbe_t *AprHealthProbe_New(AprGateway_t *gateway,
                                     AprBackendCold_t *cold);
void AprHealthProbe_Free(AprHealthProbe_t *probe);
void AprHealthProbe_Tick(AprHealthProbe_t *probe);

#endif
