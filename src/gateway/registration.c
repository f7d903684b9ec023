/* The entry of this host in the store, the lease under which it is stored, and
   the authority to grant keys that the lease gives. */

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "apricot/error.h"
#include "apricot/log.h"
#include "internal/lease_timing.h"
#include "internal/store_cache_state.h"

/* Interval of the renewals of a host that grants no keys and needs no
   authority for that. Leaves time for two further renewals before the lease
   ends. */
#define PLAIN_RENEW_INTERVAL_MS 1500

/* Time for which the first entry waits for a heartbeat of the backend server,
   so that entry and generation are stored in one change. */
#define FIRST_HEARTBEAT_WAIT_MS 1500

/* Time after which an entry of an earlier process is written again if the
   backend server that it names has sent no heartbeat to this process. */
#define RESUMED_ENTRY_TIMEOUT_MS 2500

/* Returns the time between renewals of the lease. */
int64_t
AprRegistration_RenewIntervalMs(const AprStoreCache_t *cache)
{
    const AprGateway_t *gateway = cache->gateway;

    return gateway->routes == NULL || AprOwnership_IsKeyed(gateway->ownership)
               ? APR_LEASE_RENEW_INTERVAL_MS
               : PLAIN_RENEW_INTERVAL_MS;
}

/* Extends the authority to grant keys after a call of the store, sent at
   `sent_ms`, that found the lease of this host in force. */
void
AprRegistration_ExtendAuthority(AprStoreCache_t *cache, int64_t sent_ms)
{
    AprRegistration_t *registration = &cache->registration;

    AprStoreCache_CheckEra(cache);
    if (sent_ms > registration->last_renewal_sent_ms) {
        registration->last_renewal_sent_ms = sent_ms;
    }
    AprOwnership_ExtendAuthority(cache->gateway->ownership,
                                 sent_ms + APR_GRANT_AUTHORITY_MS);
}

static void
back_off_lease(AprStoreCache_t *cache, int code)
{
    AprRegistration_t *registration = &cache->registration;

    registration->lease_failures++;
    registration->next_lease_call_ms =
        AprStoreCache_NowMs(cache) +
        AprStoreCache_RandomBackoffMs(registration->lease_failures);
    AprStoreCache_RecordStoreResult(cache, code);
}

/* Writes the store key of this host's item in a folder to `key`, which has
   APR_CACHE_KEY_SIZE. */
static void
format_own_key(const AprStoreCache_t *cache, const char *folder, char *key)
{
    const AprGatewaySettings_t *settings = &cache->gateway->settings;

    snprintf(key, APR_CACHE_KEY_SIZE, "%s%s%s", settings->store_prefix, folder,
             settings->host);
}

/* Records the state of the own entry at a store revision. `entry` is copied;
   NULL: there is none. */
static void
set_stored_entry(AprRegistration_t *registration, const char *entry,
                 int64_t revision)
{
    free(registration->stored_entry);
    registration->stored_entry = entry == NULL ? NULL : strdup(entry);
    registration->entry_revision = entry == NULL ? 0 : revision;
    registration->entry_known_revision = revision;
}

/* Takes over the own entry from the local copy of the store, unless an answer
   to a write was about a later state. Returns its item, or NULL when the entry
   does not exist as far as is known. */
static const AprItem_t *
update_stored_entry(AprStoreCache_t *cache)
{
    AprRegistration_t *registration = &cache->registration;
    const AprItem_t *item;
    char key[APR_CACHE_KEY_SIZE];

    format_own_key(cache, APR_MEMBER_KEY_PREFIX, key);
    item = AprStoreCache_FindItem(cache, key);
    if (item != NULL && item->revision > registration->entry_known_revision) {
        set_stored_entry(registration, item->removed ? NULL : item->value,
                         item->revision);
    }
    return item == NULL || item->removed ? NULL : item;
}

/* Returns whether the entry that this host should have is not the stored one.
 */
static bool
is_entry_changed(const AprStoreCache_t *cache)
{
    const char *stored = cache->registration.stored_entry;
    char *entry = AprMembers_FormatOwnEntry(cache->gateway);
    bool changed =
        entry != NULL && (stored == NULL || strcmp(entry, stored) != 0);

    free(entry);
    return changed;
}

/* Returns the item that names the lease of this host, or NULL if it is not
   stored. `key` has APR_CACHE_KEY_SIZE and gets its key. */
static const AprItem_t *
find_lease_item(AprStoreCache_t *cache, char *key)
{
    const AprItem_t *item;

    format_own_key(cache, APR_LEASE_KEY_PREFIX, key);
    item = AprStoreCache_FindItem(cache, key);
    return item == NULL || item->removed ? NULL : item;
}

/* Notes whether the item that names the lease was removed after this process
   wrote it, as when a removal that an earlier process sent at its stop is
   carried out. The next heartbeat then writes it again, with the entry. */
void
AprRegistration_OnOwnLeaseItem(AprStoreCache_t *cache)
{
    AprRegistration_t *registration = &cache->registration;
    const AprItem_t *item;
    char key[APR_CACHE_KEY_SIZE];

    format_own_key(cache, APR_LEASE_KEY_PREFIX, key);
    item = AprStoreCache_FindItem(cache, key);
    registration->lease_item_missing =
        item != NULL && item->removed &&
        item->revision > registration->lease_item_revision &&
        cache->gateway->stop_step < APR_STOP_EXIT;
}

static bool
has_heartbeat(const AprStoreCache_t *cache)
{
    return AprBackend_GetIncarnation(cache->gateway->backend)->id[0] != '\0';
}

/* Handles a change of the own entry in the local copy of the store: registers
   again after its removal, and replaces an entry that is not the present one,
   as it appears when a write of an earlier process is carried out late. Own
   writes are not looked at before their answer. */
void
AprRegistration_OnOwnEntry(AprStoreCache_t *cache)
{
    AprRegistration_t *registration = &cache->registration;
    int64_t known_revision = registration->entry_known_revision;
    const AprItem_t *item;

    if (registration->step == APR_LEASE_WRITING_ENTRY ||
        registration->step == APR_LEASE_READING_ENTRY) {
        return;
    }
    item = update_stored_entry(cache);
    if (registration->step != APR_LEASE_REGISTERED ||
        registration->entry_known_revision == known_revision) {
        return;
    }
    if (item == NULL) {
        registration->step = APR_LEASE_NONE;
        AprLog_Write(APR_LOG_WARN, "own_entry_removed", "revision=%lld",
                     (long long)registration->entry_known_revision);
        return;
    }
    AprLog_Write(APR_LOG_WARN, "own_entry_replaced",
                 "lease=%lld revision=%lld", (long long)item->lease,
                 (long long)item->revision);
    if (item->lease != registration->lease_id) {
        /* It ends with a lease that this process does not renew. */
        registration->step = APR_LEASE_GRANTED;
        registration->next_lease_call_ms = 0;
    }
    else if (!registration->resumed || has_heartbeat(cache)) {
        AprStoreCache_PublishOwnEntry(cache);
    }
}

/* Forgets the entry that was stored under a lease which has ended. If there is
   another one, the store refuses the next write. */
static void
forget_stored_entry(AprRegistration_t *registration)
{
    set_stored_entry(registration, NULL, registration->entry_known_revision);
}

static void
enter_registered(AprStoreCache_t *cache, int64_t next_call_ms)
{
    AprRegistration_t *registration = &cache->registration;

    registration->step = APR_LEASE_REGISTERED;
    registration->resumed = false;
    registration->lease_failures = 0;
    registration->next_lease_call_ms = next_call_ms;
}

/* Handles the answer to a read of the own entry. If the last write was carried
   out, the renewal of the lease shows whether it still exists. */
static void
on_entry_read(void *context, const AprKvResult_t *result)
{
    AprStoreCache_t *cache = context;
    AprRegistration_t *registration = &cache->registration;
    AprKvItem_t entry = {.value = "", .removed = true};
    const AprItem_t *item;
    char key[APR_CACHE_KEY_SIZE];

    registration->step = APR_LEASE_GRANTED;
    if (result->code != APR_OK) {
        back_off_lease(cache, result->code);
        return;
    }
    AprStoreCache_RecordStoreResult(cache, APR_OK);
    format_own_key(cache, APR_MEMBER_KEY_PREFIX, key);
    entry.key = key;
    entry.revision = result->revision;
    for (int i = 0; i < result->item_count; i++) {
        if (strcmp(result->items[i].key, key) == 0) {
            entry = result->items[i];
        }
    }
    AprStoreCache_ApplyItem(cache, &entry);
    registration->entry_uncertain = false;
    registration->entry_known_revision = 0;
    item = update_stored_entry(cache);
    if (item != NULL && item->lease == registration->lease_id) {
        AprOwnership_OnRegistered(cache->gateway->ownership, item->revision);
        enter_registered(cache, 0);
        AprStoreCache_PublishOwnEntry(cache);
    }
}

/* Reads the entry of this host from the store itself. */
static void
read_entry(AprStoreCache_t *cache)
{
    const AprKvStore_t *kv = cache->gateway->kv;
    char key[APR_CACHE_KEY_SIZE];

    cache->registration.step = APR_LEASE_READING_ENTRY;
    format_own_key(cache, APR_MEMBER_KEY_PREFIX, key);
    /* Of the keys that start with it, the key itself is the first one. */
    kv->range(kv->self, key, "", false, on_entry_read, cache);
}

/* Goes on after a write of the entry that was not carried out, as far as is
   known. */
static void
handle_failed_write(AprStoreCache_t *cache, const AprKvResult_t *result)
{
    AprRegistration_t *registration = &cache->registration;

    switch (result->code) {
    case APR_E_NOT_FOUND:
        registration->step = APR_LEASE_NONE;
        forget_stored_entry(registration);
        break;
    case APR_E_CONFLICT:
    case APR_E_UNKNOWN_OUTCOME:
    case APR_E_PARSE:
        registration->entry_uncertain = true;
        registration->step = APR_LEASE_GRANTED;
        break;
    default:
        registration->step = APR_LEASE_GRANTED;
        break;
    }
    back_off_lease(cache, result->code);
}

static void
on_entry_written(void *context, const AprKvResult_t *result)
{
    AprStoreCache_t *cache = context;
    AprRegistration_t *registration = &cache->registration;
    char *entry = registration->pending_entry;

    registration->pending_entry = NULL;
    if (result->code == APR_OK && registration->pending_is_new) {
        AprOwnership_OnRegistered(cache->gateway->ownership, result->revision);
    }
    if (registration->writing_generation) {
        registration->writing_generation = false;
        AprOwnership_OnGenerationStored(cache->gateway->ownership, result);
    }
    if (result->code == APR_OK) {
        AprStoreCache_RecordStoreResult(cache, APR_OK);
        enter_registered(cache, AprStoreCache_NowMs(cache) +
                                    AprRegistration_RenewIntervalMs(cache));
        set_stored_entry(registration, entry, result->revision);
        if (registration->writing_lease_item) {
            registration->lease_item_revision = result->revision;
            AprRegistration_OnOwnLeaseItem(cache);
        }
        /* Heartbeats during the write compared with the previous entry. */
        registration->entry_changed = is_entry_changed(cache);
        AprRegistration_ExtendAuthority(cache, registration->entry_sent_ms);
        AprLog_Write(APR_LOG_INFO, "registered", "lease=%lld revision=%lld",
                     (long long)registration->lease_id,
                     (long long)result->revision);
        /* A later change may have been seen before this answer. */
        AprRegistration_OnOwnEntry(cache);
    }
    else {
        handle_failed_write(cache, result);
    }
    free(entry);
}

/* Adds the writes and the removal of a registration under a new lease: the
   lease is also stored outside the entry, so that a process which did not see
   the entry can end it. `keys` holds the fence's and the lease's key; they and
   `lease_id` must outlive the transaction. */
static void
add_registration_writes(const AprStoreCache_t *cache,
                        AprKvTransaction_t *transaction,
                        char keys[][APR_CACHE_KEY_SIZE], const char *lease_id)
{
    AprKvWrite_t *write = &transaction->writes[transaction->write_count++];

    format_own_key(cache, APR_FENCE_KEY_PREFIX, keys[0]);
    format_own_key(cache, APR_LEASE_KEY_PREFIX, keys[1]);
    transaction->removals[transaction->removal_count++] = keys[0];
    write->key = keys[1];
    write->value = lease_id;
    write->value_size = strlen(lease_id);
}

/* Writes the entry of this host, and a new generation of its backend server if
   there is one, on condition that the stored entry is the known one. Without
   it, an older write that is carried out late, as one of the process before a
   restart, would replace a newer entry. */
static void
write_entry(AprStoreCache_t *cache)
{
    AprRegistration_t *registration = &cache->registration;
    const AprKvStore_t *kv = cache->gateway->kv;
    char member[APR_CACHE_KEY_SIZE];
    char keys[2][APR_CACHE_KEY_SIZE];
    char lease_id[32];
    char generation[APR_CACHE_KEY_SIZE];
    char *generation_text;
    AprKvTransaction_t transaction = {0};

    registration->pending_entry = AprMembers_FormatOwnEntry(cache->gateway);
    if (registration->pending_entry == NULL) {
        back_off_lease(cache, APR_E_NOMEM);
        return;
    }
    format_own_key(cache, APR_MEMBER_KEY_PREFIX, member);
    transaction.write_count = 1;
    transaction.writes[0].key = member;
    transaction.writes[0].value = registration->pending_entry;
    transaction.writes[0].value_size = strlen(registration->pending_entry);
    transaction.writes[0].lease = registration->lease_id;
    registration->pending_is_new = registration->step == APR_LEASE_GRANTED;
    registration->writing_lease_item =
        registration->pending_is_new || registration->lease_item_missing;
    if (registration->writing_lease_item) {
        snprintf(lease_id, sizeof(lease_id), "%lld",
                 (long long)registration->lease_id);
        add_registration_writes(cache, &transaction, keys, lease_id);
    }
    /* The condition of the generation comes first: a conflict shows the items
       near the key of the first one, and the entry is read anyway. */
    registration->writing_generation = AprOwnership_AddGenerationWrite(
        cache->gateway->ownership, &transaction, generation,
        sizeof(generation), &generation_text);
    transaction.conditions[transaction.condition_count].key = member;
    transaction.conditions[transaction.condition_count++].revision =
        registration->entry_revision;
    registration->step = APR_LEASE_WRITING_ENTRY;
    registration->entry_changed = false;
    registration->entry_sent_ms = AprStoreCache_NowMs(cache);
    kv->commit(kv->self, &transaction, on_entry_written, cache);
    free(generation_text);
}

static void
on_lease_granted(void *context, const AprKvResult_t *result)
{
    AprStoreCache_t *cache = context;
    AprRegistration_t *registration = &cache->registration;

    if (result->code != APR_OK) {
        registration->step = APR_LEASE_NONE;
        back_off_lease(cache, result->code);
        return;
    }
    AprStoreCache_RecordStoreResult(cache, APR_OK);
    registration->lease_id = result->lease;
    registration->renewal_pending = false;
    registration->step = APR_LEASE_GRANTED;
}

/* A renewal of the lease that waits for its answer. */
typedef struct LeaseRenewal_t {
    AprStoreCache_t *cache;
    int64_t lease;
    int64_t sent_ms;
} LeaseRenewal_t;

static void
on_lease_renewed(void *context, const AprKvResult_t *result)
{
    LeaseRenewal_t renewal = *(LeaseRenewal_t *)context;
    AprStoreCache_t *cache = renewal.cache;
    AprRegistration_t *registration = &cache->registration;

    free(context);
    if (renewal.lease != registration->lease_id) {
        return; /* of a lease that was replaced meanwhile */
    }
    registration->renewal_pending = false;
    if (registration->step != APR_LEASE_REGISTERED) {
        return; /* a new lease or a write of the entry is on its way */
    }
    if (result->code == APR_OK) {
        AprStoreCache_RecordStoreResult(cache, APR_OK);
        registration->lease_failures = 0;
        registration->next_lease_call_ms =
            AprStoreCache_NowMs(cache) +
            AprRegistration_RenewIntervalMs(cache);
        AprRegistration_ExtendAuthority(cache, renewal.sent_ms);
        return;
    }
    if (result->code == APR_E_NOT_FOUND) {
        AprLog_Write(APR_LOG_WARN, "lease_ended", "lease=%lld",
                     (long long)registration->lease_id);
        registration->step = APR_LEASE_NONE;
        forget_stored_entry(registration);
        return;
    }
    back_off_lease(cache, result->code);
}

static void
renew_lease(AprStoreCache_t *cache)
{
    AprRegistration_t *registration = &cache->registration;
    const AprKvStore_t *kv = cache->gateway->kv;
    LeaseRenewal_t *renewal = calloc(1, sizeof(*renewal));

    if (renewal == NULL) {
        back_off_lease(cache, APR_E_NOMEM);
        return;
    }
    renewal->cache = cache;
    renewal->lease = registration->lease_id;
    renewal->sent_ms = AprStoreCache_NowMs(cache);
    registration->renewal_pending = true;
    kv->renew_lease(kv->self, renewal->lease, on_lease_renewed, renewal);
}

/* Goes on with the entry of an earlier process of this host, if that still
   exists: its lease only has to be renewed. Any change of the key map without
   the consent of this host is conditional on the absence of the entry. */
static void
resume_registration(AprStoreCache_t *cache)
{
    AprRegistration_t *registration = &cache->registration;
    AprGateway_t *gateway = cache->gateway;
    const AprHost_t *self =
        AprMembers_Find(gateway->members, gateway->settings.host);
    const AprItem_t *item;
    char key[APR_CACHE_KEY_SIZE];

    registration->started = true;
    registration->started_ms = AprStoreCache_NowMs(cache);
    item = update_stored_entry(cache);
    if (item == NULL || item->lease == 0 || self == NULL) {
        return;
    }
    if (self->leaving) {
        AprOwnership_RestoreLeaving(gateway->ownership, &self->incarnation);
    }
    AprOwnership_OnRegistered(gateway->ownership, item->revision);
    registration->resumed = true;
    registration->lease_item_missing = find_lease_item(cache, key) == NULL;
    registration->lease_id = item->lease;
    registration->step = APR_LEASE_REGISTERED;
    /* A heartbeat before this had no stored entry to compare with. */
    registration->entry_changed = false;
    AprLog_Write(APR_LOG_INFO, "registration_resumed",
                 "lease=%lld revision=%lld backend=%s leaving=%d",
                 (long long)item->lease, (long long)item->revision,
                 self->incarnation.id, self->leaving);
    if (has_heartbeat(cache)) {
        AprStoreCache_PublishOwnEntry(cache);
    }
}

static void
advance_lease(AprStoreCache_t *cache)
{
    AprRegistration_t *registration = &cache->registration;
    const AprKvStore_t *kv = cache->gateway->kv;
    int64_t now_ms = AprStoreCache_NowMs(cache);

    if (!registration->started || now_ms < registration->next_lease_call_ms) {
        return;
    }
    switch (registration->step) {
    case APR_LEASE_NONE:
        if (!has_heartbeat(cache) &&
            now_ms - registration->started_ms < FIRST_HEARTBEAT_WAIT_MS) {
            break;
        }
        registration->step = APR_LEASE_REQUESTED;
        kv->create_lease(kv->self, APR_LEASE_TTL_MS, on_lease_granted, cache);
        break;
    case APR_LEASE_GRANTED:
        if (registration->entry_uncertain) {
            read_entry(cache);
        }
        else {
            write_entry(cache);
        }
        break;
    case APR_LEASE_REGISTERED:
        if (registration->renewal_pending) {
            break;
        }
        if (registration->entry_changed) {
            write_entry(cache);
            break;
        }
        renew_lease(cache);
        if (registration->lease_failures > 0) {
            AprPeerRenewals_Request(cache);
        }
        break;
    default:
        break;
    }
}

/* Writes this host's entry to the store again when it has changed. */
void
AprStoreCache_PublishOwnEntry(AprStoreCache_t *cache)
{
    AprRegistration_t *registration = &cache->registration;

    registration->entry_changed =
        is_entry_changed(cache) ||
        (registration->lease_item_missing &&
         AprOwnership_IsKeyed(cache->gateway->ownership));
    if (registration->entry_changed &&
        registration->step == APR_LEASE_REGISTERED &&
        !registration->renewal_pending) {
        registration->next_lease_call_ms = 0;
    }
    advance_lease(cache);
}

/* Takes up the registration of an earlier process, registers, or renews the
   lease. Called many times a second once the store has been read. */
void
AprRegistration_Advance(AprStoreCache_t *cache)
{
    AprRegistration_t *registration = &cache->registration;

    if (!registration->started) {
        resume_registration(cache);
    }
    if (registration->resumed && !has_heartbeat(cache) &&
        AprStoreCache_NowMs(cache) - registration->started_ms >
            RESUMED_ENTRY_TIMEOUT_MS) {
        registration->resumed = false;
        AprStoreCache_PublishOwnEntry(cache);
    }
    advance_lease(cache);
}

/* Returns whether the entry of this host is stored, as far as it knows. */
bool
AprStoreCache_IsRegistered(const AprStoreCache_t *cache)
{
    return cache->registration.step == APR_LEASE_REGISTERED;
}

static void
on_lease_item_removed(void *context, const AprKvResult_t *result)
{
    (void)context;
    AprLog_Write(APR_LOG_INFO, "lease_item_removed", "result=%s",
                 AprError_Name(result->code));
}

/* Removes the item that names the lease of this host, at the end of a planned
   stop. While the host owns keys, the item stays: it may be restarted, and
   otherwise who removes the host removes the item. The process may exit before
   the answer. A removal that is carried out late fails once the item has been
   written again. */
void
AprStoreCache_RemoveLeaseItem(AprStoreCache_t *cache)
{
    const AprKvStore_t *kv = cache->gateway->kv;
    AprKvTransaction_t transaction = {0};
    char key[APR_CACHE_KEY_SIZE];
    const AprItem_t *item = find_lease_item(cache, key);
    int64_t authority_ms;
    const AprKeyMap_t *map =
        AprOwnership_GetOwnKeyMap(cache->gateway->ownership, &authority_ms);

    if (item == NULL || !AprStoreCache_IsStoreReachable(cache) ||
        (map != NULL &&
         AprKeyMap_CountKeysOf(map, cache->gateway->settings.host) > 0)) {
        return;
    }
    transaction.conditions[0].key = key;
    transaction.conditions[0].revision = item->revision;
    transaction.condition_count = 1;
    transaction.removals[0] = key;
    transaction.removal_count = 1;
    kv->commit(kv->self, &transaction, on_lease_item_removed, cache);
}

/* Frees what the registration holds, but not the struct itself. */
void
AprRegistration_Clear(AprStoreCache_t *cache)
{
    free(cache->registration.stored_entry);
    free(cache->registration.pending_entry);
}

/* Extends the authority to grant keys during an outage of the store. While the
   store answers no call of most hosts, no host can take the keys over. */
void
AprRegistration_ExtendAuthorityInOutage(AprStoreCache_t *cache)
{
    AprRegistration_t *registration = &cache->registration;
    AprGateway_t *gateway = cache->gateway;
    int64_t now_ms = AprStoreCache_NowMs(cache);
    int64_t since_ms;

    if (registration->last_renewal_sent_ms == 0 ||
        AprStoreCache_IsStoreReachable(cache) ||
        now_ms - registration->last_renewal_sent_ms >
            APR_OUTAGE_AUTHORITY_MAX_MS) {
        return;
    }
    for (int i = 0; i < AprMembers_Count(gateway->members); i++) {
        const AprHost_t *member = AprMembers_At(gateway->members, i);

        if (!member->is_self) {
            AprLinks_Ping(gateway->links, member->host);
        }
    }
    since_ms = AprMembers_StoreOutageSinceMs(gateway->members);
    if (since_ms != 0) {
        AprOwnership_ExtendAuthorityInOutage(
            gateway->ownership, since_ms + APR_OUTAGE_AUTHORITY_MS);
    }
}
