#include "apricot/departures.h"

#include <glib.h>
#include <string.h>

/* Adds the incarnations with an id that started at `started_ms` (wall clock)
   or before. */
void
AprDepartures_Add(AprDepartures_t *departures, const char *id,
                  int64_t started_ms)
{
    AprBackendIncarnation_t *entry;

    if (departures->count == APR_MAX_DEPARTURES) {
        memmove(departures->entries, departures->entries + 1,
                (APR_MAX_DEPARTURES - 1) * sizeof(*departures->entries));
        departures->count--;
    }
    entry = &departures->entries[departures->count++];
    g_strlcpy(entry->id, id, sizeof(entry->id));
    entry->started_ms = started_ms;
}

/* Returns whether an incarnation is known to shut down. */
bool
AprDepartures_Contain(const AprDepartures_t *departures,
                      const AprBackendIncarnation_t *incarnation)
{
    for (int i = 0; i < departures->count; i++) {
        const AprBackendIncarnation_t *entry = &departures->entries[i];

        if (strcmp(entry->id, incarnation->id) == 0 &&
            incarnation->started_ms <= entry->started_ms) {
            return true;
        }
    }
    return false;
}

/* Returns the incarnation that was added last, or NULL. */
const AprBackendIncarnation_t *
AprDepartures_Latest(const AprDepartures_t *departures)
{
    return departures->count == 0
               ? NULL
               : &departures->entries[departures->count - 1];
}
