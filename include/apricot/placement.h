#ifndef APRICOT_PLACEMENT_H
#define APRICOT_PLACEMENT_H

#include <stdint.h>

#include "apricot/record.h"

typedef struct AprPlacementPolicy_t {
    double move_cost; /* 0..1; 0 corrects any imbalance, 1 only a gross one */
    /* Time in which a new member's share grows from 25 % to 100 %. */
    int ramp_s;
} AprPlacementPolicy_t;

typedef struct AprMove_t {
    int partition;
    AprMember_t from;
    AprMember_t to;
} AprMove_t;

/* Plans the moves that balance the service's partitions over its eligible
   members, which are active and offer the service; a draining member gives up
   all its partitions. The plan depends on the arguments only, so that every
   member computes the same one and each source executes its own moves. Returns
   the number of moves. */
int AprPlacement_Plan(const AprRecord_t *record, int service,
                      const AprPlacementPolicy_t *policy, int64_t wall_ms,
                      AprMove_t *moves, int capacity);
/* Assigns an owner to each unowned partition of the service in a record that
   is being changed. Returns the number of partitions assigned. */
int AprPlacement_AssignUnowned(AprRecord_t *record, int service,
                               const AprPlacementPolicy_t *policy,
                               int64_t wall_ms);
/* Chooses the owner of a hot key: the eligible member with the fewest
   partitions, where a hot slot counts as several partitions. */
AprMember_t AprPlacement_ChooseForHotKey(const AprRecord_t *record,
                                         int service, AprMember_t current);

#endif
