#ifndef APRICOT_INTERNAL_LOAD_CLIENT_H
#define APRICOT_INTERNAL_LOAD_CLIENT_H

#include "apricot/clock.h"
#include "internal/load_stats.h"
#include "internal/workload.h"

/* Sends the requests of a workload at their times, whether or not earlier
   ones were answered. */
int AprLoadClient_Run(const AprWorkload_t *workload, const AprClock_t *clock,
                      AprLoadStats_t *stats, AprError_t *error);

#endif
