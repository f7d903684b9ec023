#ifndef APRICOT_INTERNAL_HOST_CHOICE_H
#define APRICOT_INTERNAL_HOST_CHOICE_H

#include <stdbool.h>
#include <stdint.h>

/* What is known of a host that could take a request. */
typedef struct AprHostOption_t {
    int64_t wait_ms; /* that it reported for new work */
    int64_t age_ms;  /* of that report */
    int busy;        /* waiting and running requests it reported */
    int in_flight;   /* requests of this process there */
    int slots;
    bool same_domain;
    bool suspect; /* could not be reached a moment ago */
    uint32_t tie; /* random */
} AprHostOption_t;

bool AprHostOption_IsBetter(const AprHostOption_t *left,
                            const AprHostOption_t *right);
double AprHostOption_ExpectedWaitMs(const AprHostOption_t *option);

#endif
