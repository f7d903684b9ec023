#ifndef APRICOT_STORE_RESTORE_H
#define APRICOT_STORE_RESTORE_H

#include <stdbool.h>
#include <stdint.h>

/* What a host knows about returns of the store from an older copy. An era is
   settled once the store says that the hosts have written back what the copy
   lacks (docs/store-restore.md). The code makes decisions only; times are
   milliseconds of a monotonic clock that also counts the time during which the
   machine is suspended. */

typedef struct AprStoreRestore_t {
    bool known;            /* the store has been read in some era */
    bool returned;         /* this process has seen the store come back */
    int64_t era;           /* newest known one; 0: the store names none */
    int64_t settled_era;   /* newest settled one */
    int64_t noticed_ms;    /* when `era` became known */
    int64_t save_pause_ms; /* pause before a change that others may send */
    bool holders_unknown;  /* other hosts may hold keys without this host's
                              knowledge */
} AprStoreRestore_t;

bool AprStoreRestore_Notice(AprStoreRestore_t *restore, int64_t era,
                            bool kept_authority, uint32_t random,
                            int64_t now_ms);
bool AprStoreRestore_Settle(AprStoreRestore_t *restore, int64_t era);
bool AprStoreRestore_IsOpen(const AprStoreRestore_t *restore);
bool AprStoreRestore_KnowsOnlyCopy(const AprStoreRestore_t *restore);
bool AprStoreRestore_AreHoldersUnknown(const AprStoreRestore_t *restore);
bool AprStoreRestore_IsSaveDue(const AprStoreRestore_t *restore, bool own_keys,
                               int64_t now_ms);
bool AprStoreRestore_IsSettlementDue(const AprStoreRestore_t *restore,
                                     bool first_start, bool is_planner,
                                     int64_t max_grant_ms, int64_t now_ms);

#endif
