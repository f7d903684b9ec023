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
AprHostCandidate_ExpectedWaitMs(const AprHostCandidate_t *candidate)
{
    double report_weight =
        1.0 - (double)candidate->age_ms / REPORT_VALIDITY_MS;
    double busy =
        candidate->request_count * (report_weight > 0 ? report_weight : 0);
    double wait = (double)candidate->wait_ms - (double)candidate->age_ms;

    if (busy < candidate->in_flight) {
        busy = candidate->in_flight;
    }
    return (wait > 0 ? wait : 0) +
           OCCUPIED_SLOT_DELAY_MS * busy /
               (candidate->slots > 0 ? candidate->slots : 1) +
           (candidate->same_domain ? 0 : CROSS_DOMAIN_PENALTY_MS);
}

/* Whether a request should be sent to `left` rather than to `right`. A host
   that is not suspected of being unreachable always precedes one that is. */
bool
AprHostCandidate_IsBetter(const AprHostCandidate_t *left,
                          const AprHostCandidate_t *right)
{
    double left_wait = AprHostCandidate_ExpectedWaitMs(left);
    double right_wait = AprHostCandidate_ExpectedWaitMs(right);

    if (left->suspect != right->suspect) {
        return right->suspect;
    }
    if (left_wait < right_wait - EQUAL_WAIT_DIFFERENCE_MS) {
        return true;
    }
    if (left_wait > right_wait + EQUAL_WAIT_DIFFERENCE_MS) {
        return false;
    }
    return left->tie_breaker < right->tie_breaker;
}
