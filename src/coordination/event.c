#include "internal/event.h"

#include <stdlib.h>
#include <time.h>

#include "apricot/error.h"

#define FULL_INBOX_PAUSE_NS 200000

/* Creates an event; NULL when memory runs out. */
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

/* Posts an event to the core thread. On APR_OK the core thread owns it; on
   APR_E_FULL the caller still does. */
int
AprEvent_Post(AprRing_t *inbox, AprEvent_t *event)
{
    if (event == NULL) {
        return APR_E_NOMEM;
    }
    return AprRing_Push(inbox, event);
}

/* Posts an event whose loss would leave a request without an end. Waits while
   the inbox is full, which slows the posting thread down only. */
void
AprEvent_PostAlways(AprRing_t *inbox, AprEvent_t *event)
{
    const struct timespec pause = {0, FULL_INBOX_PAUSE_NS};

    if (event == NULL) {
        return;
    }
    while (AprRing_Push(inbox, event) == APR_E_FULL) {
        nanosleep(&pause, NULL);
    }
}
