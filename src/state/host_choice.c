#include "internal/host_choice.h"

/* Mean delay of a new request for each occupied slot in relation to all slots.
   An occupied slot slows the backend server down, and other requests arrive at
   the same time. */
#define OCCUPIED_SLOT_DELAY_MS 20.0

/* Penalty for a host in another failure domain: the round trip, and the
   traffic between domains. */
#define CROSS_DOMAIN_PENALTY_MS 6.0

/* Hosts whose expected waiting times differ by at most this time are
   considered equal. */
#define EQUAL_WAIT_DIFFERENCE_MS 2.0

/* Time within which the reported number of requests becomes meaningless; its
   weight decreases linearly until then. */
#define REPORT_VALIDITY_MS 500.0

/* Returns the expected waiting time of a new request in milliseconds,
   including the penalty for another failure domain. An old report counts less,
   because the reported queue has been served since. */
double
AprHostOption_ExpectedWaitMs(const AprHostOption_t *option)
{
    double report_weight = 1.0 - (double)option->age_ms / REPORT_VALIDITY_MS;
    double busy = option->busy * (report_weight > 0 ? report_weight : 0);
    double wait = (double)option->wait_ms - (double)option->age_ms;

    if (busy < option->in_flight) {
        busy = option->in_flight;
    }
    return (wait > 0 ? wait : 0) +
           OCCUPIED_SLOT_DELAY_MS * busy /
               (option->slots > 0 ? option->slots : 1) +
           (option->same_domain ? 0 : CROSS_DOMAIN_PENALTY_MS);
}

/* Whether a request should be sent to `left` rather than to `right`. A host
   that is not suspected of being unreachable always precedes one that is. */
bool
AprHostOption_IsBetter(const AprHostOption_t *left,
                       const AprHostOption_t *right)
{
    double left_wait = AprHostOption_ExpectedWaitMs(left);
    double right_wait = AprHostOption_ExpectedWaitMs(right);

    if (left->suspect != right->suspect) {
        return right->suspect;
    }
    if (left_wait < right_wait - EQUAL_WAIT_DIFFERENCE_MS) {
        return true;
    }
    if (left_wait > right_wait + EQUAL_WAIT_DIFFERENCE_MS) {
        return false;
    }
    return left->tie < right->tie;
}
