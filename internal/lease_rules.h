#ifndef APRICOT_INTERNAL_LEASE_RULES_H
#define APRICOT_INTERNAL_LEASE_RULES_H

#include <stdbool.h>

/* The five safety rules of witness leases, numbered as in section 3 of
   docs/design.md. All are enabled in production. Property tests disable one at
   a time to show that they detect its absence. Access is not synchronised, so
   a rule must not be changed while another thread uses leases. */
typedef struct AprLeaseRules_t {
    /* 1: an acknowledgement counts only from the witness's incarnation in the
       record, and a consent is void if the record has a newer incarnation of
       the witness, because a restart loses the promises of a witness. */
    bool check_witness_incarnation;
    /* 2: a removed incarnation never becomes a member again. */
    bool reject_removed_incarnation;
    /* 3: during a change of the witness list, a member needs a quorum of the
       old list and of the new one. */
    bool require_both_lists;
    /* 4: a witness gives no consent until the promise duration plus drift has
       passed since its start and since it was listed. */
    bool delay_consent;
    /* 5: consents are valid only for the record version that was read. */
    bool require_exact_version;
} AprLeaseRules_t;

extern AprLeaseRules_t apr_lease_rules;

#endif
