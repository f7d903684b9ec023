#ifndef APRICOT_HOT_RANGE_PLAN_H
#define APRICOT_HOT_RANGE_PLAN_H

#include <stdbool.h>
#include <stdint.h>

#include "apricot/key_map.h"
#include "apricot/key_plan.h"

/* Plans which keys leave a host whose load comes from a few hot keys or from
   adjacent hot keys that change every few seconds. The code makes decisions
   only; times are milliseconds of a monotonic clock, and loads are in slots:
   1.0 keeps one slot of a backend server busy. */

/* Requests that are kept for the demand. A gateway with half a core passes on
   fewer within the window; beyond that the window is shorter. */
#define APR_HOT_RANGE_REQUESTS 8192

/* Moves that are remembered until the load reports of their receivers show
   them. */
#define APR_HOT_RANGE_TRANSFERS 256

/* Most ranges that a plan leaves at one host. The reply to a heartbeat has a
   row of 29 to 60 bytes for each and must stay below 4 KiB. */
#define APR_HOT_RANGE_MAX_HOST_RANGES 64

/* Most ranges of a map that plans with hot keys create, with any number of
   hosts. */
#define APR_HOT_RANGE_MAX_MAP_RANGES 2048

/* A request for a key. */
typedef struct AprKeyRequest_t {
    int64_t at_ms;
    int key;       /* negative: without a key */
    float cost_ms; /* expected service time */
} AprKeyRequest_t;

/* Demand that a change of the key map gave to another host. */
typedef struct AprKeyTransfer_t {
    char host[APR_NAME_SIZE];
    double slots;
    int64_t at_ms;
    bool confirmed; /* the change is in force */
} AprKeyTransfer_t;

/* State of the planning of one host. */
typedef struct AprHotRangePlanner_t {
    AprKeyRequest_t requests[APR_HOT_RANGE_REQUESTS]; /* ring */
    int oldest;
    int request_count;
    /* Time for which each slot has had work beyond its capacity, in ms. */
    double excess_ms;
    int64_t checked_ms; /* last check of the load */
    int64_t next_plan_ms;
    int conflicts; /* failed changes since the last one in force */
    int64_t next_idle_check_ms;
    int64_t next_merge_ms;
    double allowance; /* moves that may be made now */
    int64_t allowance_ms;
    AprKeyTransfer_t transfers[APR_HOT_RANGE_TRANSFERS];
    int transfer_count;
} AprHotRangePlanner_t;

/* What a plan is made from. */
typedef struct AprHotRangeInput_t {
    const char *host;                    /* the host that plans */
    int slots;                           /* of its backend server */
    AprKeyMap_t *map;                    /* gets the moves */
    const AprKeyCandidate_t *candidates; /* the other hosts */
    int count;
    /* Whether a range of the host may move: no previous holder has to release
       it, and the backend server of the host holds it now. */
    AprKeyReleased_t is_movable;
    const void *context;
    uint32_t seed; /* of the sampling of receivers */
    int64_t now_ms;
} AprHotRangeInput_t;

typedef struct AprHotRangeResult_t {
    int moves;
    int receivers;
    double load_before; /* of the host, relative to its slots */
    double load_after;
    double mean; /* load of all hosts, relative to their slots */
} AprHotRangeResult_t;

void AprHotRangePlanner_AddRequest(AprHotRangePlanner_t *planner, int key,
                                   double cost_ms, int64_t now_ms);
double AprHotRangePlanner_OwnLoad(const AprHotRangePlanner_t *planner,
                                  const AprKeyMap_t *map, const char *host,
                                  int64_t window_ms, int64_t now_ms);
bool AprHotRangePlanner_IsDue(AprHotRangePlanner_t *planner,
                              const AprKeyMap_t *map, const char *host,
                              int slots, int64_t next_heartbeat_ms,
                              int64_t now_ms);
bool AprHotRangePlanner_IsIdleCheckDue(AprHotRangePlanner_t *planner,
                                       int64_t next_heartbeat_ms, int hosts,
                                       uint32_t seed, int64_t now_ms);
bool AprHotRangePlanner_IsMergeDue(AprHotRangePlanner_t *planner,
                                   const AprHotRangeInput_t *input);
int AprHotRangePlanner_Consolidate(AprHotRangePlanner_t *planner,
                                   const AprHotRangeInput_t *input);
int AprHotRangePlanner_Plan(AprHotRangePlanner_t *planner,
                            const AprHotRangeInput_t *input,
                            AprHotRangeResult_t *result);
void AprHotRangePlanner_OnChangeDone(AprHotRangePlanner_t *planner,
                                     bool in_force, uint32_t seed,
                                     int64_t now_ms);

#endif
