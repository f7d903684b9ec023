#ifndef APRICOT_INTERNAL_BACKEND_COLD_H
#define APRICOT_INTERNAL_BACKEND_COLD_H

#include "apricot/admission.h"
#include "apricot/cold_limit.h"
#include "internal/gateway.h"

/* Limits the requests to the local backend server while it is cold. */
typedef struct AprBackendCold_t {
    AprGateway_t *gateway;
    AprAdmission_t *admission;
    AprColdLimit_t limit;
    bool cold; /* as last applied to the admission control */
    int64_t cold_since_ms;
    int64_t sent;        /* requests since it became cold */
    int64_t refused;     /* requests since it became cold */
    int64_t reported_ms; /* last heartbeat or response to a probe */
    double notice_limit; /* that the backend server names in its responses */
} AprBackendCold_t;

void AprBackendCold_Init(AprBackendCold_t *cold, AprGateway_t *gateway,
                         AprAdmission_t *admission);
void AprBackendCold_Report(AprBackendCold_t *cold, int64_t cold_left_ms);
void AprBackendCold_Refresh(AprBackendCold_t *cold);
void AprBackendCold_SetNoticeLimit(AprBackendCold_t *cold, double per_s);
void AprBackendCold_CountSent(AprBackendCold_t *cold);
void AprBackendCold_CountProbe(AprBackendCold_t *cold);
void AprBackendCold_CountRefused(AprBackendCold_t *cold);
void AprBackendCold_AddServiceTime(AprBackendCold_t *cold, int64_t started_ms);
bool AprBackendCold_IsLimitUnknown(const AprBackendCold_t *cold);
bool AprBackendCold_MayStart(const AprBackendCold_t *cold);
int AprBackendCold_UsableSlots(const AprBackendCold_t *cold);

#endif
