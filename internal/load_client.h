#ifndef APRICOT_INTERNAL_LOAD_CLIENT_H
#define APRICOT_INTERNAL_LOAD_CLIENT_H

#include "apricot/clock.h"
#include "internal/load_stats.h"
#include "internal/workload.h"

/* Open-loop client: sends each request of a workload when it is due, whether
   or not earlier requests have been answered. */
int AprLoadClient_Run(const AprWorkload_t *workload, const AprClock_t *clock,
                      AprLoadStats_t *stats, AprError_t *error);

#endif
