#ifndef APRICOT_INTERNAL_SYNC_RULES_H
#define APRICOT_INTERNAL_SYNC_RULES_H

#include <stdbool.h>

/* Rules of the record changes and of the spread of record and configuration.
   All are on; only property tests switch one off, to show that the test
   notices its absence. Not protected against concurrent changes. */
typedef struct AprSyncRules_t {
    bool record_forward; /* only a higher version replaces the record */
    bool config_forward; /* only a higher generation replaces a service */
    bool whole_digest;   /* compares all services, not the highest one */
    bool settle_unknown; /* changes of a swap without an answer stay queued */
    bool no_late_cancel; /* such a change cannot be taken back */
    bool keep_waiting;   /* changes queued during a swap wait for the next */
    bool only_applied;   /* a swap ends only the changes that it contains */
    bool ask_outside;    /* a process outside the record asks for news */
    bool tell_outside;   /* and tells what it knows itself */
} AprSyncRules_t;

extern AprSyncRules_t apr_sync_rules;

#endif
