#ifndef APRICOT_GRANT_WAITS_H
#define APRICOT_GRANT_WAITS_H

#include <stdbool.h>
#include <stdint.h>

#include "apricot/admission.h"

/* Requests for keys that this host owns and has not granted to its backend
   server yet. The code makes decisions only; times are milliseconds of a
   monotonic clock. */

#define APR_MAX_GRANT_WAITS APR_ADMISSION_MAX_QUEUE

typedef struct AprGrantWait_t {
    AprAdmissionRequest_t request;
    int key;
} AprGrantWait_t;

typedef struct AprGrantWaits_t {
    AprGrantWait_t entries[APR_MAX_GRANT_WAITS];
    int count;
} AprGrantWaits_t;

AprAdmissionDecision_t
AprGrantWaits_Offer(AprGrantWaits_t *waits,
                    const AprAdmissionRequest_t *request, int key, int slots,
                    int64_t queue_wait_ms, int64_t grant_ms, int64_t now_ms);
bool AprGrantWaits_IsWorthWaiting(const AprGrantWaits_t *waits, int index,
                                  int slots, int64_t grant_ms, int64_t now_ms);
bool AprGrantWaits_Remove(AprGrantWaits_t *waits, uint64_t id);

#endif
