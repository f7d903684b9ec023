#include "apricot/evacuation.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

/* Part of the deadline for which keyed requests may start after this process
   has learned of the evacuation. The rest covers the time until an item of the
   store reaches every process, which is up to 2 s of 5 s if a source of items
   is lost. */
#define KEYED_FRACTION 0.6

/* Part of the deadline after which no keyed request starts, counted from the
   last time at which the items of the store were known to be complete without
   the evacuation. The rest covers an answer of the store in transit. */
#define KEYED_COMPLETE_FRACTION 0.9

/* Initializes the state without evacuated domains. `host` is the name of this
   host, from which its handover delay is derived; `deadline_ms` is 0 if
   evacuation is not used. */
void
AprEvacuation_Init(AprEvacuation_t *evacuation, const char *host,
                   int64_t deadline_ms)
{
    memset(evacuation, 0, sizeof(*evacuation));
    evacuation->deadline_ms = deadline_ms;
    evacuation->handover_delay_ms =
        (int64_t)(XXH3_64bits(host, strlen(host)) % APR_EVACUATION_STAGGER_MS);
}

/* Frees the list of domains. */
void
AprEvacuation_Clear(AprEvacuation_t *evacuation)
{
    free(evacuation->domains);
    evacuation->domains = NULL;
    evacuation->count = 0;
    evacuation->capacity = 0;
}

/* Returns the index of a domain, or -1. */
static int
find_index(const AprEvacuation_t *evacuation, const char *domain)
{
    for (int i = 0; i < evacuation->count; i++) {
        if (strcmp(evacuation->domains[i].name, domain) == 0) {
            return i;
        }
    }
    return -1;
}

static bool
reserve_entry(AprEvacuation_t *evacuation)
{
    int capacity = evacuation->capacity == 0 ? 4 : evacuation->capacity * 2;
    AprEvacuatedDomain_t *grown;

    if (evacuation->count < evacuation->capacity) {
        return true;
    }
    grown = realloc(evacuation->domains, (size_t)capacity * sizeof(*grown));
    if (grown == NULL) {
        return false;
    }
    evacuation->domains = grown;
    evacuation->capacity = capacity;
    return true;
}

/* Records that a domain is evacuated. `complete_ms` is the last time at which
   all items of the store were known here, without this evacuation; 0: never,
   so that it may be of any age and no keyed request may start. Returns false
   without effect when evacuation is not used, the domain is known to be
   evacuated, its name is empty or longer than that of any host's domain, or
   memory runs out. */
bool
AprEvacuation_Add(AprEvacuation_t *evacuation, const char *domain,
                  int64_t complete_ms, int64_t now_ms)
{
    AprEvacuatedDomain_t *entry;
    int64_t limit_ms =
        (int64_t)((double)evacuation->deadline_ms * KEYED_COMPLETE_FRACTION);

    if (evacuation->deadline_ms <= 0 || domain[0] == '\0' ||
        strlen(domain) >= APR_NAME_SIZE ||
        find_index(evacuation, domain) >= 0 || !reserve_entry(evacuation)) {
        return false;
    }
    entry = &evacuation->domains[evacuation->count++];
    g_strlcpy(entry->name, domain, sizeof(entry->name));
    entry->known_ms = now_ms;
    entry->keyed_until_ms =
        now_ms + (int64_t)((double)evacuation->deadline_ms * KEYED_FRACTION);
    if (complete_ms == 0) {
        entry->keyed_until_ms = now_ms;
    }
    else if (complete_ms + limit_ms < entry->keyed_until_ms) {
        entry->keyed_until_ms = complete_ms + limit_ms;
    }
    return true;
}

/* Records that a domain is not evacuated. Returns whether it was. */
bool
AprEvacuation_Remove(AprEvacuation_t *evacuation, const char *domain)
{
    int index = find_index(evacuation, domain);

    if (index < 0) {
        return false;
    }
    evacuation->domains[index] = evacuation->domains[--evacuation->count];
    return true;
}

/* Returns the entry of an evacuated domain, which is valid until the next
   change, or NULL when the domain is not evacuated. */
const AprEvacuatedDomain_t *
AprEvacuation_Find(const AprEvacuation_t *evacuation, const char *domain)
{
    int index = find_index(evacuation, domain);

    return index < 0 ? NULL : &evacuation->domains[index];
}

/* Returns whether a request may start at a backend server of a domain: in an
   evacuated one only a keyed request, until its limit. */
bool
AprEvacuation_MayStart(const AprEvacuation_t *evacuation, const char *domain,
                       bool keyed, int64_t now_ms)
{
    const AprEvacuatedDomain_t *entry = AprEvacuation_Find(evacuation, domain);

    return entry == NULL || (keyed && now_ms < entry->keyed_until_ms);
}

/* Returns whether this host, in `domain`, hands its keys over: the domain is
   evacuated and the delay of this host has passed. The delays of the hosts of
   a domain differ, because all of them change the same key map. */
bool
AprEvacuation_IsHandoverDue(const AprEvacuation_t *evacuation,
                            const char *domain, int64_t now_ms)
{
    const AprEvacuatedDomain_t *entry = AprEvacuation_Find(evacuation, domain);

    return entry != NULL &&
           now_ms >= entry->known_ms + evacuation->handover_delay_ms;
}
