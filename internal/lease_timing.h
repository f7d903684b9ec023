#ifndef APRICOT_INTERNAL_LEASE_TIMING_H
#define APRICOT_INTERNAL_LEASE_TIMING_H

/* Times that decide when the keys of a lost host may be given to another one.
   A host has the authority to grant keys to its backend server only for
   APR_GRANT_AUTHORITY_MS after it sent its last successful lease renewal. The
   host that reassigns the keys first ends that lease, so that no further
   renewal succeeds, and then waits for APR_GRANT_AUTHORITY_MS and the longest
   grant. */

/* Time to live of the lease of a host's entry in the store. Long enough for
   several failed renewals. */
#define APR_LEASE_TTL_MS 4000

/* Time between renewals of the lease. */
#define APR_LEASE_RENEW_INTERVAL_MS 900

/* Covers one failed renewal; the rest of a running grant covers more. */
#define APR_GRANT_AUTHORITY_MS 1900

/* Duration of a host's authority after a majority of the hosts reported that
   the store does not answer them. While the store is unavailable to most
   hosts, no host can take over keys of another one. */
#define APR_OUTAGE_AUTHORITY_MS 1500

/* Limit of the authority through such reports, counted from the last
   successful renewal of the host itself. */
#define APR_OUTAGE_AUTHORITY_MAX_MS 60000

#endif
