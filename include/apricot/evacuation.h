#ifndef APRICOT_EVACUATION_H
#define APRICOT_EVACUATION_H

#include <stdbool.h>
#include <stdint.h>

#include "apricot/record.h"

/* Failure domains that the operators evacuate, as one process knows them. The
   code makes decisions only; times are milliseconds of a monotonic clock. */

/* Longest time by which a host delays the first handover of its keys. */
#define APR_EVACUATION_STAGGER_MS 300

typedef struct AprEvacuatedDomain_t {
    char name[APR_NAME_SIZE];
    int64_t known_ms;       /* when this process learned of the evacuation */
    int64_t keyed_until_ms; /* keyed requests may start before this time */
} AprEvacuatedDomain_t;

typedef struct AprEvacuation_t {
    AprEvacuatedDomain_t *domains; /* owned */
    int count;
    int capacity;
    /* Time from the evacuation until no request may reach a backend server of
       the domain; 0: evacuation is not used. */
    int64_t deadline_ms;
    int64_t handover_delay_ms; /* of this host */
} AprEvacuation_t;

void AprEvacuation_Init(AprEvacuation_t *evacuation, const char *host,
                        int64_t deadline_ms);
void AprEvacuation_Clear(AprEvacuation_t *evacuation);
bool AprEvacuation_Add(AprEvacuation_t *evacuation, const char *domain,
                       int64_t complete_ms, int64_t now_ms);
bool AprEvacuation_Remove(AprEvacuation_t *evacuation, const char *domain);
const AprEvacuatedDomain_t *
AprEvacuation_Find(const AprEvacuation_t *evacuation, const char *domain);
bool AprEvacuation_MayStart(const AprEvacuation_t *evacuation,
                            const char *domain, bool keyed, int64_t now_ms);
bool AprEvacuation_IsHandoverDue(const AprEvacuation_t *evacuation,
                                 const char *domain, int64_t now_ms);

#endif
