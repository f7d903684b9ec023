#ifndef APRICOT_INTERNAL_ROUTING_RULES_H
#define APRICOT_INTERNAL_ROUTING_RULES_H

#include <stdbool.h>

/* Checks of the request path. All are on; only property tests switch one off,
   to show that the test notices its absence. Not protected against concurrent
   changes. */
typedef struct AprRoutingRules_t {
    bool ownership;    /* only the owner of the partition dispatches */
    bool lease;        /* nothing is dispatched after the lease expired */
    bool drain;        /* a leaving process dispatches nothing after a time */
    bool once;         /* non-idempotent work is not sent a second time */
    bool retry_budget; /* retries are paid for */
    bool may_have_run; /* a request that may have run is never "not run" */
    bool end_repeats;  /* repeats end with a request that did not run */
} AprRoutingRules_t;

extern AprRoutingRules_t apr_routing_rules;

#endif
