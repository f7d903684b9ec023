#ifndef APRICOT_INTERNAL_LEASE_RULES_H
#define APRICOT_INTERNAL_LEASE_RULES_H

#include <stdbool.h>

/* The five rules of section 3 of the design page. All are on; only property
   tests switch one off, to show that the test notices its absence. Not
   protected against concurrent changes. */
typedef struct AprLeaseRules_t {
    bool witness_incarnation; /* 1: restarted witnesses */
    bool removed_incarnation; /* 2: rejoin under a newer incarnation */
    bool both_lists;          /* 3: old and new witness list */
    bool no_early_consent;    /* 4: no consent for D plus drift */
    bool exact_version;       /* 5: decisions from a fresh read */
} AprLeaseRules_t;

extern AprLeaseRules_t apr_lease_rules;

#endif
