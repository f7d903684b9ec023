#ifndef APRICOT_INTERNAL_AUTHORITY_H
#define APRICOT_INTERNAL_AUTHORITY_H

/* Times that decide when keys of a lost host may be given to another one.
   A host grants keys only within APR_AUTHORITY_MS of the sending of its last
   successful renewal. Whoever takes its keys ends its lease first, so that no
   renewal succeeds any more, and then waits for APR_AUTHORITY_MS and the
   longest grant. */

/* Time to live of the lease of a host's entry; several renewals may fail. */
#define APR_LEASE_TTL_MS 4000

/* Time between renewals. */
#define APR_RENEW_MS 900

/* Bridges one failed renewal; what a grant has left bridges more. */
#define APR_AUTHORITY_MS 1900

/* While the store answers most hosts not at all, nobody can take keys over. A
   host then grants for this time after the reports of a majority, ... */
#define APR_WITNESS_MS 1500

/* ... but no longer than this after its last renewal. */
#define APR_WITNESS_MAX_MS 60000

#endif
