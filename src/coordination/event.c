#include "internal/event.h"

#include <stdlib.h>
#include <time.h>

#include "apricot/error.h"

#define FULL_INBOX_RETRY_NS 200000

/* Creates an event without a link. Returns NULL when memory runs out. */
AprEvent_t *
AprEvent_New(AprEventType_t type)
{
    AprEvent_t *event = calloc(1, sizeof(*event));

    if (event != NULL) {
        event->type = type;
        event->link = APR_NO_LINK;
    }
    return event;
}

/* Posts an event to the core thread. On APR_OK the core thread owns the event;
   on APR_E_FULL the caller keeps it. A NULL event gives APR_E_NOMEM. */
int
AprEvent_Post(AprRing_t *inbox, AprEvent_t *event)
{
    if (event == NULL) {
        return APR_E_NOMEM;
    }
    return AprRing_Push(inbox, event);
}

/* Posts an event whose loss would leave a request incomplete. Blocks while the
   inbox is full, which delays only the posting thread. Takes ownership of the
   event; does nothing when it is NULL. */
void
AprEvent_PostBlocking(AprRing_t *inbox, AprEvent_t *event)
{
    const struct timespec delay = {0, FULL_INBOX_RETRY_NS};

    if (event == NULL) {
        return;
    }
    while (AprRing_Push(inbox, event) == APR_E_FULL) {
        nanosleep(&delay, NULL);
    }
}
