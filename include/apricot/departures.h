#ifndef APRICOT_DEPARTURES_H
#define APRICOT_DEPARTURES_H

#include <stdbool.h>
#include <stdint.h>

#include "apricot/grant_table.h"

/* Number of departed incarnations that are remembered; the oldest is dropped
   first. */
#define APR_MAX_DEPARTURES 8

/* Incarnations of the local backend server that are known to shut down, but
   are not the present one: a late heartbeat may be their first sign of life
   here. Each covers the incarnations with its id that started at
   `started_ms` or before. */
typedef struct AprDepartures_t {
    AprBackendIncarnation_t entries[APR_MAX_DEPARTURES];
    int count;
} AprDepartures_t;

void AprDepartures_Add(AprDepartures_t *departures, const char *id,
                       int64_t started_ms);
bool AprDepartures_Contain(const AprDepartures_t *departures,
                           const AprBackendIncarnation_t *incarnation);
const AprBackendIncarnation_t *
AprDepartures_Latest(const AprDepartures_t *departures);

#endif
