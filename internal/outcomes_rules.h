#ifndef APRICOT_INTERNAL_OUTCOMES_RULES_H
#define APRICOT_INTERNAL_OUTCOMES_RULES_H

#include <stdbool.h>

/* Switches for the checks of section 4 of docs/design.md. Both are on in
   production; a property test turns one off to show that it detects the
   missing check. Access is not synchronized between threads. */
typedef struct AprOutcomesRules_t {
    bool floor; /* requests with keys created before the floor are unknown */
    /* Requests with keys created before the retention window, or no later than
       the key of a removed entry, are unknown. */
    bool retention;
} AprOutcomesRules_t;

extern AprOutcomesRules_t apr_outcomes_rules;

#endif
