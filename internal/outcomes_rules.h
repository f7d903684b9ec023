#ifndef APRICOT_INTERNAL_OUTCOMES_RULES_H
#define APRICOT_INTERNAL_OUTCOMES_RULES_H

#include <stdbool.h>

/* The checks of section 4 of the design page. Both are on; only property
   tests switch one off, to show that the test notices its absence. Not
   protected against concurrent changes. */
typedef struct AprOutcomesRules_t {
    bool floor; /* keys created before the floor are unknown */
    /* Keys created before the retention window, or no later than a forgotten
       one, are unknown. */
    bool retention;
} AprOutcomesRules_t;

extern AprOutcomesRules_t apr_outcomes_rules;

#endif
