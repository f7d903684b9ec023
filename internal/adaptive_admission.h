#ifndef APRICOT_INTERNAL_ADAPTIVE_ADMISSION_H
#define APRICOT_INTERNAL_ADAPTIVE_ADMISSION_H

#include "apricot/admission.h"

/* Decisions of the admission control of a backend server with a cost model.
   admission.c calls them and holds the state. */

void AprAdaptiveAdmission_SetCost(AprAdmission_t *admission,
                                  AprAdmissionRequest_t *request,
                                  int64_t now_ms);
void AprAdaptiveAdmission_AddDemand(AprAdmission_t *admission,
                                    const AprAdmissionRequest_t *request,
                                    int64_t now_ms);
double AprAdaptiveAdmission_WaitMs(const AprAdmission_t *admission,
                                   const AprAdmissionRequest_t *request,
                                   int64_t now_ms);
bool AprAdaptiveAdmission_ShouldReject(const AprAdmission_t *admission,
                                       const AprAdmissionRequest_t *request,
                                       int64_t now_ms, double wait_ms);
int AprAdaptiveAdmission_FindNext(const AprAdmission_t *admission,
                                  uint32_t underserved_kind, int64_t now_ms);

int64_t AprAdaptiveAdmission_RetryDelayMs(const AprAdmission_t *admission,
                                          const AprAdmissionRequest_t *request,
                                          int64_t now_ms, double wait_ms);

/* Implemented in admission.c. Returns the milliseconds until the limit of the
   backend server lets a request start that comes after `ahead` others. */
double AprAdmission_LimitWaitMs(const AprAdmission_t *admission, int ahead,
                                int64_t now_ms);

#endif
