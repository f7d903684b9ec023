#ifndef APRICOT_ADMISSION_H
#define APRICOT_ADMISSION_H

#include <stdbool.h>
#include <stdint.h>

/* Admission in front of one backend server, which runs `slots` requests at a
   time. Decisions only: no input or output, and time comes in as an argument,
   in milliseconds of a steady clock.

   It answers load above capacity: first-come-first-served would serve
   everything late, so work that cannot be answered in time is refused on
   arrival, and urgent work that can still meet its objective goes first. */

#define APR_ADMISSION_MAX_QUEUE 256
#define APR_ADMISSION_MAX_SLOTS 256
#define APR_ADMISSION_MAX_RANKS 8
#define APR_ADMISSION_MAX_KINDS 128

/* One request for the backend server. */
typedef struct AprWork_t {
    uint64_t id;
    uint32_t kind; /* requests of a kind take similar time */
    int rank;      /* 0 is the most urgent */
    bool nested;   /* a running request elsewhere waits for it */
    int64_t arrived_ms;
    int64_t objective_ms; /* point in time until which the answer is best */
    int64_t deadline_ms;  /* point in time after which nobody waits */
    double cost_ms;       /* expected service time; set by Offer */
} AprWork_t;

typedef struct AprRunning_t {
    uint64_t id;
    uint32_t kind;
    int64_t started_ms;
    double cost_ms;
} AprRunning_t;

typedef struct AprKindCost_t {
    uint32_t kind;   /* 0: free */
    double mean_ms;  /* 0: not measured */
    double floor_ms; /* service time that is due to it by its floor */
} AprKindCost_t;

typedef struct AprAdmission_t {
    int slots;
    bool closed; /* nothing may start */
    AprRunning_t running[APR_ADMISSION_MAX_SLOTS];
    int running_count;
    AprWork_t queue[APR_ADMISSION_MAX_QUEUE];
    int queue_count;
    AprKindCost_t costs[APR_ADMISSION_MAX_KINDS];
} AprAdmission_t;

typedef struct AprAdmissionVerdict_t {
    bool admitted;
    int64_t wait_ms;        /* expected time until it starts */
    int64_t retry_after_ms; /* of a refusal: when a repeat may be served */
} AprAdmissionVerdict_t;

void AprAdmission_Init(AprAdmission_t *admission, int slots);
AprAdmissionVerdict_t AprAdmission_Offer(AprAdmission_t *admission,
                                         AprWork_t *work, int64_t now_ms);
bool AprAdmission_Next(AprAdmission_t *admission, int64_t now_ms,
                       AprWork_t *work);
bool AprAdmission_NextHopeless(AprAdmission_t *admission, int64_t now_ms,
                               AprWork_t *work,
                               AprAdmissionVerdict_t *verdict);
bool AprAdmission_Remove(AprAdmission_t *admission, uint64_t id);
void AprAdmission_Done(AprAdmission_t *admission, uint64_t id, int64_t now_ms,
                       bool measured);
int64_t AprAdmission_WaitMs(const AprAdmission_t *admission, int rank,
                            int64_t now_ms);
double AprAdmission_CostMs(AprAdmission_t *admission, uint32_t kind,
                           int64_t span_ms);

#endif
