#ifndef APRICOT_INTERNAL_HOT_RANGE_H
#define APRICOT_INTERNAL_HOT_RANGE_H

#include "apricot/hot_range_plan.h"

/* Shared by the planning of moves (hot_range_plan.c) and of merges
   (range_merge.c). */

const AprKeyRequest_t *
AprHotRangePlanner_RequestAt(const AprHotRangePlanner_t *planner, int index);
int AprHotRangePlanner_MaxMapRanges(const AprHotRangeInput_t *input);

#endif
