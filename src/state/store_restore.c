#include "apricot/store_restore.h"

/* Added to the longest time for which authority and grants of an earlier era
   last, for hosts that learn of the new one late. */
#define SETTLEMENT_MARGIN_MS 2000

/* Time after which other hosts settle an era that the planner has not settled,
   as when the store answers it no calls. */
#define PLANNER_OVERDUE_MS 3000

/* Range of the pause after which a host writes back what does not concern its
   own keys. The owners of the keys do so at once, and the same change of
   others would only conflict. */
#define SAVE_PAUSE_MIN_MS 300
#define SAVE_PAUSE_SPREAD_MS 700

/* Records that the store is in an era. `kept_authority` tells that no other
   host can have taken over keys of this one since its last grant, and `random`
   spreads the changes of the hosts. Returns whether the store has come back
   from an older copy since this process read it. */
bool
AprStoreRestore_Notice(AprStoreRestore_t *restore, int64_t era,
                       bool kept_authority, uint32_t random, int64_t now_ms)
{
    bool returned = restore->known;

    if (restore->known && era <= restore->era) {
        return false;
    }
    restore->holders_unknown = !returned || !kept_authority ||
                               AprStoreRestore_AreHoldersUnknown(restore);
    restore->known = true;
    restore->returned |= returned;
    restore->era = era;
    restore->noticed_ms = now_ms;
    restore->save_pause_ms = SAVE_PAUSE_MIN_MS + random % SAVE_PAUSE_SPREAD_MS;
    return returned;
}

/* Records that the store names an era as settled. Returns whether the present
   era has become settled. */
bool
AprStoreRestore_Settle(AprStoreRestore_t *restore, int64_t era)
{
    bool was_open = AprStoreRestore_IsOpen(restore);

    if (era > restore->settled_era) {
        restore->settled_era = era;
    }
    return was_open && !AprStoreRestore_IsOpen(restore);
}

/* Returns whether the store may lack assignments of keys that were in force in
   an earlier era. */
bool
AprStoreRestore_IsOpen(const AprStoreRestore_t *restore)
{
    return restore->era > restore->settled_era;
}

/* Returns whether this process knows the store only as it came back from an
   older copy, and others may know more. */
bool
AprStoreRestore_KnowsOnlyCopy(const AprStoreRestore_t *restore)
{
    return AprStoreRestore_IsOpen(restore) && !restore->returned;
}

/* Returns whether the key map does not tell who may hold the keys of this
   host, so that only its backend server's own report does. */
bool
AprStoreRestore_AreHoldersUnknown(const AprStoreRestore_t *restore)
{
    return restore->holders_unknown && AprStoreRestore_IsOpen(restore);
}

/* Returns whether to write back what the store lacks; `own_keys` tells that
   keys of this host are concerned. */
bool
AprStoreRestore_IsSaveDue(const AprStoreRestore_t *restore, bool own_keys,
                          int64_t now_ms)
{
    return AprStoreRestore_IsOpen(restore) &&
           (own_keys ||
            now_ms - restore->noticed_ms >= restore->save_pause_ms);
}

/* Returns whether the present era may be settled: no host holds keys by what
   it knew in an earlier one without having written that back. `max_grant_ms`
   is the time after which a host without contact to the store holds no keys.
   `first_start`: the store has never had a key map. All hosts but the planner
   leave it time to do so. */
bool
AprStoreRestore_IsSettlementDue(const AprStoreRestore_t *restore,
                                bool first_start, bool is_planner,
                                int64_t max_grant_ms, int64_t now_ms)
{
    int64_t pause_ms = first_start ? 0 : max_grant_ms + SETTLEMENT_MARGIN_MS;

    if (!is_planner) {
        pause_ms += PLANNER_OVERDUE_MS + restore->save_pause_ms;
    }
    return AprStoreRestore_IsOpen(restore) &&
           now_ms - restore->noticed_ms >= pause_ms;
}
