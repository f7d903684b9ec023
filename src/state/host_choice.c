#include "internal/host_choice.h"

/* What an occupied slot costs a new request on average, as the backend server
   slows down and others arrive at the same time. */
#define BUSY_COST_MS 20.0

/* Another failure domain costs the way there and back, and traffic between
   domains. */
#define OTHER_DOMAIN_MS 6.0

/* Options that differ by less are equally good. */
#define TIE_MS 2.0

/* A report loses its meaning within about this time. */
#define REPORT_SPAN_MS 500.0

/* Expected wait of a new request. An old report counts less, since the queue
   that it tells of has been worked off. */
double
AprHostOption_ExpectedWaitMs(const AprHostOption_t *option)
{
    double fresh = 1.0 - (double)option->age_ms / REPORT_SPAN_MS;
    double busy = option->busy * (fresh > 0 ? fresh : 0);
    double wait = (double)option->wait_ms - (double)option->age_ms;

    if (busy < option->in_flight) {
        busy = option->in_flight;
    }
    return (wait > 0 ? wait : 0) +
           BUSY_COST_MS * busy / (option->slots > 0 ? option->slots : 1) +
           (option->same_domain ? 0 : OTHER_DOMAIN_MS);
}

/* Whether a request should rather go to the left host. */
bool
AprHostOption_IsBetter(const AprHostOption_t *left,
                       const AprHostOption_t *right)
{
    double left_wait = AprHostOption_ExpectedWaitMs(left);
    double right_wait = AprHostOption_ExpectedWaitMs(right);

    if (left->suspect != right->suspect) {
        return right->suspect;
    }
    if (left_wait < right_wait - TIE_MS) {
        return true;
    }
    if (left_wait > right_wait + TIE_MS) {
        return false;
    }
    return left->tie < right->tie;
}
