#ifndef APRICOT_INTERNAL_SYNC_RULES_H
#define APRICOT_INTERNAL_SYNC_RULES_H

#include <stdbool.h>

/* Rules for changes of the record and for the distribution of record and
   configuration. All are enabled; only property tests disable one, to show
   that they detect its absence. Not thread-safe. */
typedef struct AprSyncRules_t {
    /* Only a higher version replaces the record. */
    bool adopt_only_newer_record;
    bool apply_only_newer_config; /* only a higher generation replaces a
                                     service's configuration */
    bool digest_all_services;     /* digest of all services, not the highest
                                     generation */
    /* Changes with unknown result stay queued. */
    bool keep_unconfirmed_changes;
    bool refuse_unconfirmed_cancel; /* no cancelling after a swap with unknown
                                       result */
    bool keep_unapplied_changes; /* changes queued during a swap stay for the
                                    next */
    bool finish_only_applied_changes; /* a swap finishes only changes that it
                                         contains */
    bool query_as_non_member; /* a process that is not a member queries its
                                 peers */
    bool send_config_as_non_member; /* such a query also sends the own
                                       configuration */
    bool reopen_seeds; /* when no other process is known any more */
} AprSyncRules_t;

extern AprSyncRules_t apr_sync_rules;

#endif
