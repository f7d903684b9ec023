#ifndef APRICOT_PLACEMENT_H
#define APRICOT_PLACEMENT_H

#include <stdint.h>

#include "apricot/record.h"

typedef struct AprPlacementPolicy_t {
    double move_cost; /* 0..1: 0 moves for any imbalance, 1 only for gross */
    int ramp_s;       /* a new member's share grows from 25 % over this time */
} AprPlacementPolicy_t;

typedef struct AprMove_t {
    int partition;
    AprMember_t from;
    AprMember_t to;
} AprMove_t;

/* The moves that would balance the service's partitions over its eligible
   members (active, offering the service; all from draining ones). Depends on
   its arguments only, so that every member computes the same plan and each
   source executes its own moves. Returns the number of moves. */
int AprPlacement_Plan(const AprRecord_t *record, int service,
                      const AprPlacementPolicy_t *policy, int64_t wall_ms,
                      AprMove_t *moves, int capacity);
/* Assigns all unowned partitions of the service in a record that is being
   changed. Returns the number assigned. */
int AprPlacement_AssignUnowned(AprRecord_t *record, int service,
                               const AprPlacementPolicy_t *policy,
                               int64_t wall_ms);
/* The member that should take a hot key: the eligible one with the fewest
   partitions, hot slots counted with `hot_weight`. */
AprMember_t AprPlacement_ChooseForHotKey(const AprRecord_t *record,
                                         int service, AprMember_t current);

#endif
