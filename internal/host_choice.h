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
} AprHostCandidate_t;

bool AprHostCandidate_IsBetter(const AprHostCandidate_t *left,
                               const AprHostCandidate_t *right);
double AprHostCandidate_ExpectedWaitMs(const AprHostCandidate_t *candidate);

#endif
