#ifndef APRICOT_INTERNAL_REMOVAL_QUEUE_H
#define APRICOT_INTERNAL_REMOVAL_QUEUE_H

#include <stdbool.h>
#include <stdint.h>

#include "apricot/kv.h"
#include "apricot/record.h"

#define APR_MAX_REMOVALS 64

/* Steps of the removal of a lost host. */
typedef enum AprHostRemovalStep_t {
    APR_REMOVAL_MISSING,      /* not missing for long enough yet */
    APR_REMOVAL_CALL_PENDING, /* ending the lease or writing the fence */
    APR_REMOVAL_LEASE_ENDED,  /* the fence must be written next */
    APR_REMOVAL_FENCED,       /* waiting for the last grant to end */
    APR_REMOVAL_REASSIGNING   /* the change of the key map was sent */
} AprHostRemovalStep_t;

/* Removal of a lost host from a key map. The fence is an item of the store
   that the host deletes when it registers. If the fence still exists when the
   key map is changed, the host has not registered since the fence was written,
   and so had no authority to grant keys in between. */
typedef struct AprHostRemoval_t {
    char host[APR_NAME_SIZE];
    AprHostRemovalStep_t step;
    int64_t lease_id; /* 0: not known */
    int64_t step_since_ms;
    int64_t missing_since_ms;
    int64_t lease_ended_ms; /* time by which the lease has surely ended */
    int64_t fence_revision;
    bool cancelled;    /* dropped once the pending call has ended */
    bool call_pending; /* the callback refers to this slot; do not reuse */
    struct AprGateway_t *gateway;
} AprHostRemoval_t;

typedef struct AprRemovalQueue_t {
    AprHostRemoval_t removals[APR_MAX_REMOVALS];
    int used_limit;        /* the slots from here on have never been used */
    int reassigning_index; /* removal whose key map change was sent */
    bool has_reassigning;
} AprRemovalQueue_t;

/* Sends the change of the key map that gives the keys of `host` to other hosts
   under the given conditions. The conditions are valid during the call only.
   Returns whether a change was sent; AprRemovalQueue_OnMapChangeDone() must
   be called with its result. */
typedef bool (*AprRemovalReassign_t)(void *context, const char *host,
                                     const AprKvCondition_t *conditions,
                                     int condition_count);

struct AprGateway_t;

int64_t AprRemovalQueue_AddMissingHost(AprRemovalQueue_t *queue,
                                       const char *host, int64_t lease_id,
                                       int64_t now_ms);
void AprRemovalQueue_Cancel(AprRemovalQueue_t *queue, const char *host);
void AprRemovalQueue_CancelAll(AprRemovalQueue_t *queue);
void AprRemovalQueue_Advance(AprRemovalQueue_t *queue,
                             struct AprGateway_t *gateway,
                             int64_t max_grant_ms,
                             AprRemovalReassign_t reassign, void *context);
const char *AprRemovalQueue_ReassigningHost(const AprRemovalQueue_t *queue);
void AprRemovalQueue_OnMapChangeDone(AprRemovalQueue_t *queue, bool done);

#endif
