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

/* Duration of a host's authority to grant keys, counted from the sending of
   its last successful lease renewal. Covers one failed renewal; if more fail,
   the backend server keeps its present grants until they expire. */
#define APR_GRANT_AUTHORITY_MS 1900

/* Duration of a host's authority while a majority of the hosts reports that
   the store does not answer them, counted from the oldest report that this
   majority needs. While the store is unavailable to most hosts, no host can
   take over keys of another one. */
#define APR_OUTAGE_AUTHORITY_MS 1500

/* A host no longer extends its authority by reports of a store outage when its
   last successful lease renewal was sent longer ago than this. */
#define APR_OUTAGE_AUTHORITY_MAX_MS 60000

#endif
