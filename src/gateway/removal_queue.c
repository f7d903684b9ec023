#include "internal/removal_queue.h"

#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "apricot/error.h"
#include "apricot/log.h"
#include "internal/gateway.h"
#include "internal/store_cache_state.h"

/* A host must be missing for this long before its removal starts, so that a
   restart of its process moves no keys. */
#define MIN_MISSING_MS 2000

/* A host whose lease is not known may still renew one. That lease counts as
   ended this long after the call to end it. */
#define UNKNOWN_LEASE_TTL_MS 10000

/* Shortest time between writing the fence and changing the key map. */
#define MIN_FENCED_MS 500

#define STORE_KEY_SIZE 200

/* Ends the value of a fence that was written after the end of the host's known
   lease, so that another process can go on with the removal: it does not know
   the lease, because the entry that named it is gone. */
#define LEASE_ENDED_MARK " lease_ended"

static AprHostRemoval_t *
find_removal(AprRemovalQueue_t *queue, const char *host)
{
    /* Slots from used_limit on have never been used, and are free. */
    for (int i = 0; i < queue->used_limit; i++) {
        if (strcmp(queue->removals[i].host, host) == 0) {
            return &queue->removals[i];
        }
    }
    if (host[0] == '\0' && queue->used_limit < APR_MAX_REMOVALS) {
        return &queue->removals[queue->used_limit++];
    }
    return NULL;
}

static void
reset_removal(AprHostRemoval_t *removal)
{
    memset(removal, 0, sizeof(*removal));
}

/* Records that a host is missing. Has no effect on a host that is already
   queued, or when the queue is full. Returns for how many milliseconds the
   host has been missing; 0 when it was just added or the queue is full. */
int64_t
AprRemovalQueue_AddMissingHost(AprRemovalQueue_t *queue, const char *host,
                               int64_t lease_id, int64_t now_ms)
{
    AprHostRemoval_t *removal = find_removal(queue, host);

    if (removal != NULL) {
        return now_ms - removal->missing_since_ms;
    }
    removal = find_removal(queue, "");
    if (removal == NULL) {
        return 0;
    }
    g_strlcpy(removal->host, host, sizeof(removal->host));
    removal->lease_id = lease_id;
    removal->step_since_ms = now_ms;
    removal->missing_since_ms = now_ms;
    return 0;
}

/* Cancels the removal of a host that is reachable or has registered again.
   While a call of the removal is pending, the slot is freed when the call
   ends. */
void
AprRemovalQueue_Cancel(AprRemovalQueue_t *queue, const char *host)
{
    AprHostRemoval_t *removal = find_removal(queue, host);

    if (removal == NULL) {
        return;
    }
    if (removal->call_pending) {
        removal->cancelled = true;
    }
    else {
        reset_removal(removal);
    }
}

/* Cancels the removals of all hosts. */
void
AprRemovalQueue_CancelAll(AprRemovalQueue_t *queue)
{
    for (int i = 0; i < queue->used_limit; i++) {
        if (queue->removals[i].host[0] != '\0') {
            AprRemovalQueue_Cancel(queue, queue->removals[i].host);
        }
    }
}

static void
enter_step(AprHostRemoval_t *removal, AprHostRemovalStep_t step)
{
    removal->step = step;
    removal->step_since_ms = AprGateway_NowMs(removal->gateway);
    removal->call_pending = false;
    if (removal->cancelled) {
        reset_removal(removal);
    }
}

static void
on_lease_ended(void *context, const AprKvResult_t *result)
{
    AprHostRemoval_t *removal = context;

    if (result->code == APR_OK || result->code == APR_E_NOT_FOUND) {
        removal->lease_ended_ms = AprGateway_NowMs(removal->gateway);
        if (removal->lease_id == 0) {
            removal->lease_ended_ms += UNKNOWN_LEASE_TTL_MS;
        }
        enter_step(removal, APR_REMOVAL_LEASE_ENDED);
        return;
    }
    enter_step(removal, APR_REMOVAL_MISSING);
}

static void
on_fence_written(void *context, const AprKvResult_t *result)
{
    AprHostRemoval_t *removal = context;

    if (result->code == APR_OK) {
        removal->fence_revision = result->revision;
        enter_step(removal, APR_REMOVAL_FENCED);
        AprLog_Write(APR_LOG_INFO, "host_fenced", "peer=%s revision=%lld",
                     removal->host, (long long)result->revision);
        return;
    }
    /* The host has registered again, or the outcome of the write is unknown:
       start over. */
    enter_step(removal, APR_REMOVAL_MISSING);
}

static void
format_store_key(const AprHostRemoval_t *removal, const char *subfolder,
                 char *key)
{
    snprintf(key, STORE_KEY_SIZE, "%s%s/%s",
             removal->gateway->settings.store_prefix, subfolder,
             removal->host);
}

/* Returns the item that names the lease of a host's last registration, or NULL
   if it is not stored. `key` has STORE_KEY_SIZE and gets its key. */
static const AprItem_t *
find_lease_item(const AprHostRemoval_t *removal, char *key)
{
    const AprItem_t *item;

    format_store_key(removal, "leases", key);
    item = AprStoreCache_FindItem(removal->gateway->store_cache, key);
    return item == NULL || item->removed ? NULL : item;
}

/* Writes the fence on condition that the host has no entry. The item that
   names the ended lease is removed with it, on condition that it is still the
   known one: the mark of the fence says from then on that the lease has ended,
   and a host that registers again writes the item again. */
static void
write_fence(AprHostRemoval_t *removal)
{
    const AprKvStore_t *kv = removal->gateway->kv;
    char member[STORE_KEY_SIZE];
    char fence[STORE_KEY_SIZE];
    char lease[STORE_KEY_SIZE];
    char value[STORE_KEY_SIZE];
    const AprItem_t *lease_item = find_lease_item(removal, lease);
    AprKvTransaction_t transaction = {0};

    format_store_key(removal, "hosts", member);
    format_store_key(removal, "fences", fence);
    transaction.conditions[0].key = member;
    transaction.condition_count = 1;
    transaction.writes[0].key = fence;
    snprintf(value, sizeof(value), "%s%s", removal->gateway->settings.host,
             removal->lease_id != 0 ? LEASE_ENDED_MARK : "");
    transaction.writes[0].value = value;
    transaction.writes[0].value_size = strlen(value);
    transaction.write_count = 1;
    if (lease_item != NULL && removal->lease_id != 0 &&
        strtoll(lease_item->value, NULL, 10) == removal->lease_id) {
        transaction.conditions[1].key = lease;
        transaction.conditions[1].revision = lease_item->revision;
        transaction.condition_count = 2;
        transaction.removals[0] = lease;
        transaction.removal_count = 1;
    }
    removal->call_pending = true;
    kv->commit(kv->self, &transaction, on_fence_written, removal);
}

/* Returns the lease of a host's last registration, 0 if it is not stored. */
static int64_t
find_stored_lease(const AprHostRemoval_t *removal)
{
    char key[STORE_KEY_SIZE];
    const AprItem_t *item = find_lease_item(removal, key);

    return item == NULL ? 0 : strtoll(item->value, NULL, 10);
}

/* Goes on from the fence that an earlier process wrote, if the lease had ended
   before. The host has not registered since, or the fence would be gone, so
   its last grant ends within the longest grant from now. Returns false when
   there is no such fence. */
static bool
resume_from_fence(AprHostRemoval_t *removal)
{
    char key[STORE_KEY_SIZE];
    const AprItem_t *fence;

    format_store_key(removal, "fences", key);
    fence = AprStoreCache_FindItem(removal->gateway->store_cache, key);
    if (fence == NULL || fence->removed ||
        !g_str_has_suffix(fence->value, LEASE_ENDED_MARK)) {
        return false;
    }
    removal->fence_revision = fence->revision;
    removal->lease_ended_ms = AprGateway_NowMs(removal->gateway);
    enter_step(removal, APR_REMOVAL_FENCED);
    AprLog_Write(APR_LOG_INFO, "host_removal_resumed", "peer=%s revision=%lld",
                 removal->host, (long long)fence->revision);
    return true;
}

static bool
reassign_keys(AprHostRemoval_t *removal, AprRemovalReassign_t reassign,
              void *context)
{
    char member[STORE_KEY_SIZE];
    char fence[STORE_KEY_SIZE];
    AprKvCondition_t conditions[2];

    format_store_key(removal, "hosts", member);
    format_store_key(removal, "fences", fence);
    conditions[0].key = member;
    conditions[0].revision = 0;
    conditions[1].key = fence;
    conditions[1].revision = removal->fence_revision;
    return reassign(context, removal->host, conditions, 2);
}

static void
advance_removal(AprRemovalQueue_t *queue, AprHostRemoval_t *removal,
                int64_t max_grant_ms, AprRemovalReassign_t reassign,
                void *context)
{
    const AprKvStore_t *kv = removal->gateway->kv;
    int64_t now_ms = AprGateway_NowMs(removal->gateway);

    switch (removal->step) {
    case APR_REMOVAL_MISSING:
        if (now_ms - removal->step_since_ms < MIN_MISSING_MS) {
            return;
        }
        if (removal->lease_id == 0 && resume_from_fence(removal)) {
            return;
        }
        if (removal->lease_id == 0) {
            removal->lease_id = find_stored_lease(removal);
        }
        AprLog_Write(APR_LOG_WARN, "host_missing", "peer=%s lease=%lld",
                     removal->host, (long long)removal->lease_id);
        removal->step = APR_REMOVAL_CALL_PENDING;
        removal->call_pending = true;
        kv->end_lease(kv->self, removal->lease_id, on_lease_ended, removal);
        break;
    case APR_REMOVAL_LEASE_ENDED:
        write_fence(removal);
        removal->step = APR_REMOVAL_CALL_PENDING;
        break;
    case APR_REMOVAL_FENCED:
        if (now_ms - removal->lease_ended_ms < max_grant_ms ||
            now_ms - removal->step_since_ms < MIN_FENCED_MS) {
            return;
        }
        if (reassign_keys(removal, reassign, context)) {
            removal->step = APR_REMOVAL_REASSIGNING;
            removal->call_pending = true;
            queue->has_reassigning = true;
            queue->reassigning_index = (int)(removal - queue->removals);
        }
        break;
    default:
        break;
    }
}

/* Performs the next step of each removal that waits for no call.
   `max_grant_ms` is the time from the end of a host's lease until its last
   grant has surely ended. `reassign` is called for each host whose keys may
   now be given to others. */
void
AprRemovalQueue_Advance(AprRemovalQueue_t *queue, AprGateway_t *gateway,
                        int64_t max_grant_ms, AprRemovalReassign_t reassign,
                        void *context)
{
    for (int i = 0; i < APR_MAX_REMOVALS; i++) {
        AprHostRemoval_t *removal = &queue->removals[i];

        if (removal->host[0] != '\0' && !removal->call_pending) {
            removal->gateway = gateway;
            advance_removal(queue, removal, max_grant_ms, reassign, context);
        }
    }
}

/* Returns whether the fence of a removal is still the known one. */
static bool
is_fence_in_force(const AprHostRemoval_t *removal)
{
    char key[STORE_KEY_SIZE];
    const AprItem_t *fence;

    format_store_key(removal, "fences", key);
    fence = AprStoreCache_FindItem(removal->gateway->store_cache, key);
    return fence != NULL && !fence->removed &&
           fence->revision == removal->fence_revision;
}

/* Returns the host whose removal has sent a change of the key map, or NULL. */
const char *
AprRemovalQueue_ReassigningHost(const AprRemovalQueue_t *queue)
{
    return queue->has_reassigning
               ? queue->removals[queue->reassigning_index].host
               : NULL;
}

/* Handles the result of a key map change. `done` tells that the host has no
   keys left, which finishes the removal that sent the change. Otherwise it
   sends another change if the fence is still there, as another host may just
   have changed the map, or the change did not have all keys; else it starts
   over. Has no effect when no removal has sent a change. */
void
AprRemovalQueue_OnMapChangeDone(AprRemovalQueue_t *queue, bool done)
{
    AprHostRemoval_t *removal;

    if (!queue->has_reassigning) {
        return;
    }
    queue->has_reassigning = false;
    removal = &queue->removals[queue->reassigning_index];
    removal->call_pending = false;
    if (done) {
        reset_removal(removal);
    }
    else {
        enter_step(removal, is_fence_in_force(removal) ? APR_REMOVAL_FENCED
                                                       : APR_REMOVAL_MISSING);
    }
}
