#ifndef APRICOT_INTERNAL_HOST_CHOICE_H
#define APRICOT_INTERNAL_HOST_CHOICE_H

#include <stdbool.h>
#include <stdint.h>

/* State of a host that could be chosen for a request. */
typedef struct AprHostCandidate_t {
    int64_t wait_ms;   /* reported waiting time of a new request */
    int64_t age_ms;    /* age of the host's last report */
    int request_count; /* reported number of waiting and running requests */
    int in_flight;     /* unanswered requests of this process to the host */
    int slots;
    bool same_domain;
    bool suspect;         /* the host recently could not be reached */
    uint32_t tie_breaker; /* random number that decides between equal hosts */
    /* For AprHostSample_t only. */
    bool has_work;      /* the host reports its remaining work */
    double work_ms;     /* service time at the usual pace, over all slots */
    double pace;        /* 1: usual */
    int sent_count;     /* requests of this process since the report */
    double failures_ms; /* AprRecentFailures_PenaltyMs() */
    int64_t network_delay_ms; /* reported, at the time of the report */
    int64_t body_wait_ms; /* reported; 0 for a request without large body */
    int64_t silent_ms;    /* a ping has been without answer for this time */
} AprHostCandidate_t;

/* Usual load of the hosts of a service, as far as they reported it: what an
   old report is worth. */
typedef struct AprUsualLoad_t {
    double work_per_slot_ms; /* 0: not known */
    double cost_ms;          /* work of one request; 0: not known */
} AprUsualLoad_t;

/* Failures of a host in the last second, decaying. */
typedef struct AprRecentFailures_t {
    double outcomes;
    double lost_ms;
    int64_t updated_ms;
} AprRecentFailures_t;

#define APR_HOST_SAMPLE_MAX 6

/* A few hosts, one of which gets a request. */
typedef struct AprHostSample_t {
    int host_count; /* hosts to sample from */
    int own_index;  /* of this host; -1: none */
    int start;
    int stride;
    int count;
    int indexes[APR_HOST_SAMPLE_MAX];
    AprHostCandidate_t candidates[APR_HOST_SAMPLE_MAX];
    int any_count;   /* sampled hosts but the own one */
    bool has_domain; /* one of them is in the own failure domain */
} AprHostSample_t;

void AprHostSample_Init(AprHostSample_t *sample, int host_count, int own_index,
                        uint64_t random);
int AprHostSample_IndexAt(const AprHostSample_t *sample, int step);
bool AprHostSample_Add(AprHostSample_t *sample, int index,
                       const AprHostCandidate_t *candidate, int step);
int AprHostSample_FindBest(const AprHostSample_t *sample,
                           const AprUsualLoad_t *usual);
double AprHostCandidate_ScoreMs(const AprHostCandidate_t *candidate,
                                const AprUsualLoad_t *usual);
void AprUsualLoad_Add(AprUsualLoad_t *usual, double work_ms, double pace,
                      int request_count, int slots);
void AprRecentFailures_Add(AprRecentFailures_t *failures, double lost_ms,
                           int64_t now_ms);
double AprRecentFailures_PenaltyMs(const AprRecentFailures_t *failures,
                                   int64_t now_ms);

bool AprHostCandidate_IsBetter(const AprHostCandidate_t *left,
                               const AprHostCandidate_t *right);
double AprHostCandidate_ExpectedWaitMs(const AprHostCandidate_t *candidate);

#endif
