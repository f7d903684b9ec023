#include "internal/removal_queue.h"

#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "apricot/error.h"
#include "apricot/log.h"
#include "internal/gateway.h"

/* A host must be missing for this long, so that a restart of its process
   moves no keys. */
#define MISSING_MS 2000

/* A host whose lease is not known may still renew one for this long. */
#define UNKNOWN_LEASE_MS 10000

/* A step whose call failed is tried again after this time. */
#define RETRY_MS 500

#define FENCE_KEY_SIZE 200

static AprRemoval_t *
find(AprRemovalQueue_t *queue, const char *host)
{
    for (int i = 0; i < APR_MAX_REMOVALS; i++) {
        if (strcmp(queue->removals[i].host, host) == 0) {
            return &queue->removals[i];
        }
    }
    return NULL;
}

static void
clear(AprRemoval_t *removal)
{
    memset(removal, 0, sizeof(*removal));
}

/* Notes that a host is missing. */
int64_t
AprRemovalQueue_Add(AprRemovalQueue_t *queue, const char *host, int64_t lease,
                    int64_t now_ms)
{
    AprRemoval_t *removal = find(queue, host);

    if (removal != NULL) {
        return now_ms - removal->first_ms;
    }
    removal = find(queue, "");
    if (removal == NULL) {
        return 0;
    }
    g_strlcpy(removal->host, host, sizeof(removal->host));
    removal->lease = lease;
    removal->since_ms = now_ms;
    removal->first_ms = now_ms;
    return 0;
}

/* Notes that a host is there again. */
void
AprRemovalQueue_Cancel(AprRemovalQueue_t *queue, const char *host)
{
    AprRemoval_t *removal = find(queue, host);

    if (removal == NULL) {
        return;
    }
    if (removal->busy) {
        removal->cancelled = true;
    }
    else {
        clear(removal);
    }
}

static void
enter(AprRemoval_t *removal, AprRemovalStep_t step)
{
    removal->step = step;
    removal->since_ms = AprGateway_NowMs(removal->gateway);
    removal->busy = false;
    if (removal->cancelled) {
        clear(removal);
    }
}

static void
on_ended(void *context, const AprKvResult_t *result)
{
    AprRemoval_t *removal = context;

    if (result->code == APR_OK || result->code == APR_E_NOT_FOUND) {
        removal->ended_ms = AprGateway_NowMs(removal->gateway);
        if (removal->lease == 0) {
            removal->ended_ms += UNKNOWN_LEASE_MS;
        }
        enter(removal, APR_REMOVAL_FENCING);
        return;
    }
    enter(removal, APR_REMOVAL_WATCHED);
}

static void
on_fenced(void *context, const AprKvResult_t *result)
{
    AprRemoval_t *removal = context;

    if (result->code == APR_OK) {
        removal->fence_revision = result->revision;
        enter(removal, APR_REMOVAL_FENCED);
        AprLog_Write(APR_LOG_INFO, "host_fenced", "peer=%s revision=%lld",
                     removal->host, (long long)result->revision);
        return;
    }
    /* It registered again, or the outcome is open: from the beginning. */
    enter(removal, APR_REMOVAL_WATCHED);
}

static void
member_key(const AprRemoval_t *removal, const char *folder, char *key)
{
    snprintf(key, FENCE_KEY_SIZE, "%s%s/%s",
             removal->gateway->settings.store_prefix, folder, removal->host);
}

static void
write_fence(AprRemoval_t *removal)
{
    const AprKv_t *kv = removal->gateway->kv;
    const char *host = removal->gateway->settings.host;
    char member[FENCE_KEY_SIZE];
    char fence[FENCE_KEY_SIZE];
    AprKvChange_t change = {0};

    member_key(removal, "hosts", member);
    member_key(removal, "fences", fence);
    change.conditions[0].key = member;
    change.condition_count = 1;
    change.writes[0].key = fence;
    change.writes[0].value = host;
    change.writes[0].value_size = strlen(host);
    change.write_count = 1;
    removal->busy = true;
    kv->change(kv->service, &change, on_fenced, removal);
}

static bool
take_keys(AprRemoval_t *removal, AprRemovalTake_t take, void *context)
{
    char member[FENCE_KEY_SIZE];
    char fence[FENCE_KEY_SIZE];
    AprKvCondition_t conditions[2];

    member_key(removal, "hosts", member);
    member_key(removal, "fences", fence);
    conditions[0].key = member;
    conditions[0].revision = 0;
    conditions[1].key = fence;
    conditions[1].revision = removal->fence_revision;
    return take(context, removal->host, conditions, 2);
}

static void
drive(AprRemovalQueue_t *queue, AprRemoval_t *removal, int64_t wait_ms,
      AprRemovalTake_t take, void *context)
{
    const AprKv_t *kv = removal->gateway->kv;
    int64_t now_ms = AprGateway_NowMs(removal->gateway);

    switch (removal->step) {
    case APR_REMOVAL_WATCHED:
        if (now_ms - removal->since_ms < MISSING_MS) {
            return;
        }
        AprLog_Write(APR_LOG_WARN, "host_missing", "peer=%s lease=%lld",
                     removal->host, (long long)removal->lease);
        removal->step = APR_REMOVAL_ENDING;
        removal->busy = true;
        kv->end_lease(kv->service, removal->lease, on_ended, removal);
        break;
    case APR_REMOVAL_FENCING:
        write_fence(removal);
        removal->step = APR_REMOVAL_ENDING;
        break;
    case APR_REMOVAL_FENCED:
        if (now_ms - removal->ended_ms < wait_ms ||
            now_ms - removal->since_ms < RETRY_MS) {
            return;
        }
        if (take_keys(removal, take, context)) {
            removal->step = APR_REMOVAL_CHANGING;
            removal->busy = true;
            queue->has_changing = true;
            queue->changing = (int)(removal - queue->removals);
        }
        break;
    default:
        break;
    }
}

/* Takes the next step of each removal. `wait_ms` is the time after the end of
   a host's lease until its last grant has ended. */
void
AprRemovalQueue_Drive(AprRemovalQueue_t *queue, AprGateway_t *gateway,
                      int64_t wait_ms, AprRemovalTake_t take, void *context)
{
    for (int i = 0; i < APR_MAX_REMOVALS; i++) {
        AprRemoval_t *removal = &queue->removals[i];

        if (removal->host[0] != '\0' && !removal->busy) {
            removal->gateway = gateway;
            drive(queue, removal, wait_ms, take, context);
        }
    }
}

/* Notes the outcome of a change of the map. */
void
AprRemovalQueue_ChangeDone(AprRemovalQueue_t *queue, bool changed)
{
    AprRemoval_t *removal;

    if (!queue->has_changing) {
        return;
    }
    queue->has_changing = false;
    removal = &queue->removals[queue->changing];
    removal->busy = false;
    if (changed) {
        clear(removal);
    }
    else {
        enter(removal, APR_REMOVAL_WATCHED);
    }
}
