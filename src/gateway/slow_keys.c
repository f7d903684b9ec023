/* Keys that the local backend server got without a handover token. It serves
   them slowly for some time, in which their service times tell nothing about
   the requests or the backend server. */

#include "apricot/log.h"
#include "internal/ownership_state.h"

/* Records the keys that the backend server reports as held, which matter after
   a restart of this process and after a reply that was lost. A heartbeat
   without such a list tells nothing. */
void
AprOwnership_RecordReportedKeys(AprOwnership_t *ownership,
                                const AprHeartbeat_t *heartbeat)
{
    if (heartbeat->held != NULL) {
        AprKeyWarmup_SetHeld(&ownership->key_warmup, heartbeat->held,
                             heartbeat->held_count);
    }
}

/* Records the keys that a reply to a heartbeat grants. */
void
AprOwnership_RecordGrantedKeys(AprOwnership_t *ownership)
{
    const AprServiceSpec_t *service =
        AprGateway_GetBackendService(ownership->gateway);
    int64_t warmup_ms = service == NULL ? 0 : service->key_warmup_ms;
    int keys = AprKeyWarmup_AddGrants(
        &ownership->key_warmup, ownership->held_grants,
        ownership->held_grant_count, warmup_ms, AprOwnership_NowMs(ownership));

    if (keys > 0) {
        AprLog_Write(APR_LOG_INFO, "keys_slow", "id=%s keys=%d warmup_ms=%lld",
                     ownership->incarnation.id, keys, (long long)warmup_ms);
    }
}

/* Returns whether the local backend server serves a key slowly now. Requests
   without a key (APR_NO_KEY) are not affected. */
bool
AprOwnership_IsKeySlow(const AprOwnership_t *ownership, int key)
{
    return key != APR_NO_KEY &&
           AprKeyWarmup_IsSlow(&ownership->key_warmup, key,
                               AprOwnership_NowMs(ownership));
}
