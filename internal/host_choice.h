#ifndef APRICOT_INTERNAL_HOST_CHOICE_H
#define APRICOT_INTERNAL_HOST_CHOICE_H

#include <stdbool.h>
#include <stdint.h>

/* State of a host that could be chosen for a request. */
typedef struct AprHostOption_t {
    int64_t wait_ms; /* reported waiting time of a new request */
    int64_t age_ms;  /* age of the host's last report */
    int busy;        /* reported number of waiting and running requests */
    int in_flight;   /* unanswered requests of this process to the host */
    int slots;
    bool same_domain;
    bool suspect; /* the host recently could not be reached */
    uint32_t tie; /* random number that decides between equal hosts */
} AprHostOption_t;

bool AprHostOption_IsBetter(const AprHostOption_t *left,
                            const AprHostOption_t *right);
double AprHostOption_ExpectedWaitMs(const AprHostOption_t *option);

#endif
