#ifndef APRICOT_INTERNAL_SYNC_RULES_H
#define APRICOT_INTERNAL_SYNC_RULES_H

#include <stdbool.h>

/* Rules for changes of the record and for the distribution of record and
   configuration. All are enabled; only property tests disable one, to show
   that they detect its absence. Not thread-safe. */
typedef struct AprSyncRules_t {
    bool record_forward; /* only a higher version replaces the record */
    bool config_forward; /* only a higher generation replaces a service */
    bool whole_digest; /* digest of all services, not the highest generation */
    bool settle_unknown; /* changes with unknown result stay queued */
    bool no_late_cancel; /* no cancelling after a swap with unknown result */
    bool keep_waiting;   /* changes queued during a swap stay for the next */
    bool only_applied;   /* a swap finishes only changes that it contains */
    bool ask_outside;    /* a process that is not a member queries its peers */
    bool tell_outside;   /* such a query also sends the own configuration */
} AprSyncRules_t;

extern AprSyncRules_t apr_sync_rules;

#endif
