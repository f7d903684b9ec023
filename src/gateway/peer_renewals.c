/* Renewal of the lease of a host that cannot reach the store through another
   host. A request carries an id, and the host that gets it renews the lease of
   the sender's entry. The answer repeats the id and names the lease. It counts
   from the sending of the request that it answers: answers may be late, and
   may arrive on another link or at a later process of the sender. */

#include <stdlib.h>

#include "apricot/error.h"
#include "internal/store_cache_state.h"

/* Returns a new id for a request. Ids are negative, as earlier versions of the
   gateway send a lease, which is positive, in place of the id; and random, so
   that no process takes the answer to another one for its own. */
static int64_t
new_request_id(void)
{
    return -1 -
           (int64_t)((uint64_t)(g_random_int() >> 1) << 32 | g_random_int());
}

/* Asks another host to renew the lease of this one; each call asks the next
   host that can be reached. */
void
AprPeerRenewals_Request(AprStoreCache_t *cache)
{
    AprRegistration_t *registration = &cache->registration;
    AprGateway_t *gateway = cache->gateway;
    int count = AprMembers_Count(gateway->members);

    for (int i = 0; i < count; i++) {
        const AprHost_t *member = AprMembers_At(
            gateway->members, registration->next_renewal_peer++ % count);
        AprPeerRequest_t *request;

        if (member->is_self ||
            !AprLinks_IsHostAlive(gateway->links, member->host)) {
            continue;
        }
        request =
            &registration->peer_requests[registration->next_peer_request++ %
                                         APR_MAX_PEER_REQUESTS];
        request->id = new_request_id();
        request->lease = registration->lease_id;
        request->sent_ms = AprStoreCache_NowMs(cache);
        AprLinks_RequestLeaseRenewal(gateway->links, member->host,
                                     request->id);
        return;
    }
}

/* A renewal for another host that waits for the answer of the store. */
typedef struct PeerRenewal_t {
    AprStoreCache_t *cache;
    char host[APR_NAME_SIZE];
    int64_t request; /* as received */
    int64_t lease;
} PeerRenewal_t;

static void
on_peer_lease_renewed(void *context, const AprKvResult_t *result)
{
    PeerRenewal_t *renewal = context;

    AprLinks_SendRenewalResult(renewal->cache->gateway->links, renewal->host,
                               renewal->request,
                               result->code == APR_OK ? renewal->lease : -1);
    free(renewal);
}

/* Returns the lease that a request is about: that of the sender's entry, or
   the one that an earlier version of the gateway has sent. 0: not known. */
static int64_t
find_requested_lease(AprStoreCache_t *cache, const char *host, int64_t request)
{
    const AprHost_t *member = AprMembers_Find(cache->gateway->members, host);

    if (request >= 0) {
        return request;
    }
    return member != NULL && member->registered ? member->lease_id : 0;
}

/* Renews the lease of another host that cannot reach the store, and sends that
   host the result. Does nothing while the store does not answer here, or has
   come back from an older copy that has not been read: the sender's entry may
   be lost. */
void
AprStoreCache_RenewPeerLease(AprStoreCache_t *cache, const char *host,
                             int64_t request)
{
    const AprKvStore_t *kv = cache->gateway->kv;
    int64_t lease = find_requested_lease(cache, host, request);
    PeerRenewal_t *renewal;

    if (lease == 0 || !AprStoreCache_IsStoreReachable(cache) ||
        AprRevision_Era(AprStoreCache_PrefixRevision(cache)) !=
            kv->era(kv->self)) {
        return;
    }
    renewal = calloc(1, sizeof(*renewal));
    if (renewal == NULL) {
        return;
    }
    renewal->cache = cache;
    g_strlcpy(renewal->host, host, sizeof(renewal->host));
    renewal->request = request;
    renewal->lease = lease;
    kv->renew_lease(kv->self, lease, on_peer_lease_renewed, renewal);
}

/* Handles the answer to a request: the lease that was renewed, or a negative
   number if none was. The authority to grant keys counts from the sending of
   the request. */
void
AprStoreCache_OnPeerRenewalResult(AprStoreCache_t *cache, int64_t id,
                                  int64_t lease)
{
    AprRegistration_t *registration = &cache->registration;

    if (id >= 0) {
        return; /* no request of this version has such an id */
    }
    for (int i = 0; i < APR_MAX_PEER_REQUESTS; i++) {
        const AprPeerRequest_t *request = &registration->peer_requests[i];

        if (request->id == id && request->lease == lease &&
            lease == registration->lease_id &&
            registration->step == APR_LEASE_REGISTERED) {
            AprRegistration_ExtendAuthority(cache, request->sent_ms);
        }
    }
}
