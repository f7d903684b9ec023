#ifndef APRICOT_INTERNAL_REMOVAL_QUEUE_H
#define APRICOT_INTERNAL_REMOVAL_QUEUE_H

#include <stdbool.h>
#include <stdint.h>

#include "apricot/kv.h"
#include "apricot/record.h"

#define APR_MAX_REMOVALS 64

typedef enum AprRemovalStep_t {
    APR_REMOVAL_WATCHED, /* missing, but not yet for long */
    APR_REMOVAL_ENDING,  /* its lease is being ended */
    APR_REMOVAL_FENCING, /* the fence is being written */
    APR_REMOVAL_FENCED,  /* waiting for the last grant to end */
    APR_REMOVAL_CHANGING /* the change of the map was sent */
} AprRemovalStep_t;

/* Removal of a lost host from a key map. The fence is an item of the store
   that the host's registration removes: if it is still there at the end, the
   host had no authority in between. */
typedef struct AprRemoval_t {
    char host[APR_NAME_SIZE];
    AprRemovalStep_t step;
    int64_t lease;
    int64_t since_ms; /* of the present step */
    int64_t first_ms; /* when it was found missing */
    int64_t ended_ms; /* when its lease had certainly ended */
    int64_t fence_revision;
    bool cancelled;
    bool busy; /* a call is under way; the slot must stay */
    struct AprGateway_t *gateway;
} AprRemoval_t;

typedef struct AprRemovalQueue_t {
    AprRemoval_t removals[APR_MAX_REMOVALS];
    int changing; /* index of the removal whose change was sent */
    bool has_changing;
} AprRemovalQueue_t;

typedef bool (*AprRemovalTake_t)(void *context, const char *host,
                                 const AprKvCondition_t *conditions,
                                 int condition_count);

struct AprGateway_t;

/* Returns the time in milliseconds since which the host is missing. */
int64_t AprRemovalQueue_Add(AprRemovalQueue_t *queue, const char *host,
                            int64_t lease, int64_t now_ms);
void AprRemovalQueue_Cancel(AprRemovalQueue_t *queue, const char *host);
void AprRemovalQueue_Drive(AprRemovalQueue_t *queue,
                           struct AprGateway_t *gateway, int64_t wait_ms,
                           AprRemovalTake_t take, void *context);
void AprRemovalQueue_ChangeDone(AprRemovalQueue_t *queue, bool changed);

#endif
