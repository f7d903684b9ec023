#ifndef APRICOT_INTERNAL_ROUTING_RULES_H
#define APRICOT_INTERNAL_ROUTING_RULES_H

#include <stdbool.h>

/* Checks of the request path. All are enabled; only property tests disable
   one, to show that the test detects its absence. Not thread-safe: change them
   only while no core is running. */
typedef struct AprRoutingRules_t {
    bool check_ownership;    /* dispatch only as the owner of the partition */
    bool check_lease;        /* dispatch only while the lease is valid */
    bool check_drain;        /* see AprDrain_RefusesWork */
    bool check_idempotent;   /* retry unknown outcomes only if idempotent */
    bool check_retry_budget; /* retry unknown outcomes only within a budget */
    bool report_unknown; /* unknown, not not-run, if an attempt may have run */
    bool end_duplicates; /* complete duplicates of a request that didn't run */
    bool check_first_attempt; /* drop the mark after a pause or owner change */
} AprRoutingRules_t;

extern AprRoutingRules_t apr_routing_rules;

#endif
