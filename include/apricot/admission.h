#ifndef APRICOT_ADMISSION_H
#define APRICOT_ADMISSION_H

#include <stdbool.h>
#include <stdint.h>

#include "apricot/cost_model.h"

/* Admission control in front of one backend server, which runs `slots`
   requests at a time. The code makes decisions only: it does no input or
   output, and the caller passes the time, in milliseconds of a monotonic
   clock. Under overload a first-come-first-served queue would answer every
   request late. Instead, a request that cannot be answered in time is rejected
   on arrival, and an urgent request that can still meet its objective starts
   first. */

#define APR_ADMISSION_MAX_QUEUE 256
#define APR_ADMISSION_MAX_SLOTS 256
#define APR_ADMISSION_MAX_RANKS 8
#define APR_ADMISSION_MAX_KINDS 128

/* The backend server names no limit on the requests that it takes. */
#define APR_NO_REQUEST_LIMIT (-1.0)

/* A request that waits for a slot of the backend server. */
typedef struct AprAdmissionRequest_t {
    uint64_t id;
    /* Requests of a kind take similar time. 0 is not a kind. */
    uint32_t kind;
    int rank; /* 0 is the most urgent */
    /* A running request at another backend server waits for the answer. */
    bool nested;
    int64_t arrived_ms;
    int64_t objective_ms; /* latest time of a timely answer */
    int64_t deadline_ms;  /* time after which the caller no longer waits */
    double expected_service_ms;  /* set on admission */
    double service_deviation_ms; /* usual error of that; set on admission */
    /* With a cost model: size class of the body; mean and standard deviation
       of the logarithm of the service time, which are set on admission. */
    int size_class;
    double log_mean;
    double log_deviation;
} AprAdmissionRequest_t;

/* A request that occupies a slot. */
typedef struct AprRunningRequest_t {
    uint64_t id;
    uint32_t kind;
    int64_t started_ms;
    double expected_service_ms;
    /* With a cost model: size class of the body, calls made so far, and
       AprCostModel_Progress() at the start. */
    int size_class;
    int calls;
    double started_progress;
} AprRunningRequest_t;

/* Statistics of the requests of one kind. */
typedef struct AprKindStats_t {
    uint32_t kind; /* 0: the entry is free */
    /* Moving average of the service time; 0 before the first sample. */
    double mean_service_ms;
    /* Moving average of the difference between a service time and the mean. */
    double deviation_ms;
    /* Service time that the kind is owed under its minimum share. */
    double owed_ms;
} AprKindStats_t;

typedef struct AprAdmission_t {
    int slots;
    bool closed; /* no request may start */
    AprRunningRequest_t running[APR_ADMISSION_MAX_SLOTS];
    int running_count;
    AprAdmissionRequest_t queue[APR_ADMISSION_MAX_QUEUE];
    int queue_count;
    AprKindStats_t kinds[APR_ADMISSION_MAX_KINDS];
    /* Requests a second that the backend server takes, or
       APR_NO_REQUEST_LIMIT. */
    double request_limit;
    /* Requests that may start now without exceeding the limit, at
       `allowance_ms`; negative after starts that had to exceed it. */
    double allowance;
    int64_t allowance_ms;
    /* Cost model of the backend server, which must outlive this; NULL: none.
       With one, expected service times are those at pace 1, and
       adaptive_admission.c decides what is queued and what starts. */
    AprCostModel_t *costs;
    /* Service time that the arrivals of each rank required, decaying; the
       first element is that of nested calls. */
    double demand_ms[APR_ADMISSION_MAX_RANKS + 1];
    int64_t demand_updated_ms;
} AprAdmission_t;

typedef struct AprAdmissionDecision_t {
    bool admitted;
    int64_t wait_ms; /* expected time until the request starts */
    /* Of a rejected request: delay after which a retry may be served. */
    int64_t retry_after_ms;
} AprAdmissionDecision_t;

void AprAdmission_Init(AprAdmission_t *admission, int slots);
void AprAdmission_SetCostModel(AprAdmission_t *admission,
                               AprCostModel_t *costs);
void AprAdmission_CountNestedCall(AprAdmission_t *admission, uint64_t id);
double AprAdmission_RemainingWorkMs(const AprAdmission_t *admission,
                                    int64_t now_ms);
void AprAdmission_SetRequestLimit(AprAdmission_t *admission, double per_s,
                                  int64_t now_ms);
void AprAdmission_DelayStarts(AprAdmission_t *admission, int64_t wait_ms,
                              int64_t now_ms);
void AprAdmission_CountSent(AprAdmission_t *admission, int64_t now_ms);
int64_t AprAdmission_AllowanceWaitMs(const AprAdmission_t *admission,
                                     int64_t now_ms);
AprAdmissionDecision_t AprAdmission_Offer(AprAdmission_t *admission,
                                          AprAdmissionRequest_t *request,
                                          int64_t now_ms);
bool AprAdmission_StartNext(AprAdmission_t *admission, int64_t now_ms,
                            AprAdmissionRequest_t *request);
bool AprAdmission_ShedNext(AprAdmission_t *admission, int64_t now_ms,
                           AprAdmissionRequest_t *request,
                           AprAdmissionDecision_t *decision);
bool AprAdmission_RemoveQueued(AprAdmission_t *admission, uint64_t id);
void AprAdmission_Finish(AprAdmission_t *admission, uint64_t id,
                         int64_t now_ms, bool measured);
int64_t AprAdmission_ExpectedWaitMs(const AprAdmission_t *admission, int rank,
                                    int64_t now_ms);
double AprAdmission_ExpectedServiceMs(AprAdmission_t *admission, uint32_t kind,
                                      int64_t span_ms);

#endif
