#include "internal/host_choice.h"

#include <math.h>
#include <string.h>

/* Mean delay of a new request when a host has as many requests as slots; the
   delay is proportional to the number of requests. An occupied slot slows the
   backend server down, and other requests arrive at the same time. */
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

/* Hosts that are compared besides the own one. More of them make the entry
   gateways choose the same hosts by the same old reports. */
#define SAMPLED_HOSTS 4

/* Hosts that are looked at for one of the own failure domain, once there are
   enough others. With five domains, one in a hundred samples has none. */
#define MAX_STEPS 24

/* Weight of a new report in the usual load. */
#define USUAL_LOAD_WEIGHT 0.02

/* Work of a request while none was reported. */
#define DEFAULT_COST_MS 50.0

/* Time constant of recent failures. */
#define FAILURES_MS 500.0

/* Outcomes that count as good ones, so that a single failure does not exclude
   a host. */
#define PRIOR_OUTCOMES 0.5

/* Initializes an empty sample. `random` decides in which order the hosts are
   looked at. */
void
AprHostSample_Init(AprHostSample_t *sample, int host_count, int own_index,
                   uint64_t random)
{
    static const int strides[] = {101, 211, 307, 401, 503, 601, 701, 809};

    memset(sample, 0, sizeof(*sample));
    sample->host_count = host_count;
    sample->own_index = own_index;
    if (host_count > 0) {
        sample->start = (int)((random >> 32) % (uint64_t)host_count);
    }
    /* A prime that does not divide the number of hosts visits all of them. */
    for (size_t i = 0; i < sizeof(strides) / sizeof(strides[0]); i++) {
        sample->stride = strides[((random >> 24) + i) % 8];
        if (host_count % sample->stride != 0) {
            break;
        }
    }
}

/* Returns the index of the host to look at in a step, from 0 to host_count:
   the own host first, then the others in a random order. Returns -1 when there
   is none in this step. */
int
AprHostSample_IndexAt(const AprHostSample_t *sample, int step)
{
    int index;

    if (step == 0) {
        return sample->own_index;
    }
    index = (int)((sample->start + (int64_t)(step - 1) * sample->stride) %
                  sample->host_count);
    return index == sample->own_index ? -1 : index;
}

/* Adds a host that may get the request. Returns whether the sample is
   complete: it has enough hosts, one of them in the own failure domain or
   there was none among many. */
bool
AprHostSample_Add(AprHostSample_t *sample, int index,
                  const AprHostCandidate_t *candidate, int step)
{
    bool own = index == sample->own_index;
    bool useful = own || sample->any_count < SAMPLED_HOSTS ||
                  (candidate->same_domain && !sample->has_domain);

    if (useful) {
        sample->indexes[sample->count] = index;
        sample->candidates[sample->count++] = *candidate;
        sample->any_count += !own;
        sample->has_domain |= !own && candidate->same_domain;
    }
    return sample->any_count >= SAMPLED_HOSTS &&
           (sample->has_domain || step >= MAX_STEPS);
}

/* Returns the expected queueing delay in milliseconds of a request on its way
   to a host. A reported queue is emptied no faster than time passes, however
   old the report is. */
static double
network_delay_ms(const AprHostCandidate_t *candidate)
{
    int64_t left_ms = candidate->network_delay_ms + candidate->body_wait_ms -
                      candidate->age_ms;

    return (double)(left_ms > candidate->silent_ms ? left_ms
                                                   : candidate->silent_ms);
}

/* Returns the expected time in milliseconds from now to the end of a usual
   request on a host, plus the delay that it adds to those behind it. What a
   report says about the queue loses its weight with its age, towards the usual
   load, and requests that were sent since then count in addition. */
double
AprHostCandidate_ScoreMs(const AprHostCandidate_t *candidate,
                         const AprUsualLoad_t *usual)
{
    double cost_ms = usual->cost_ms > 0 ? usual->cost_ms : DEFAULT_COST_MS;
    int slots = candidate->slots > 0 ? candidate->slots : 1;
    double weight = 1 - (double)candidate->age_ms / REPORT_VALIDITY_MS;
    double reported_ms = candidate->has_work
                             ? candidate->work_ms
                             : candidate->request_count * cost_ms;
    double pace = candidate->has_work ? candidate->pace : 1;
    double work_ms;
    double wait_ms;

    weight = weight > 0 ? weight : 0;
    work_ms = weight * reported_ms +
              (1 - weight) * usual->work_per_slot_ms * slots +
              candidate->sent_count * cost_ms;
    if (work_ms < candidate->in_flight * cost_ms / 2) {
        work_ms = candidate->in_flight * cost_ms / 2;
    }
    pace = 1 + weight * (pace - 1);
    wait_ms = work_ms / slots * pace;
    return wait_ms + cost_ms * pace +
           /* Those behind it wait for its share of the slots. */
           cost_ms * pace / slots * fmin(work_ms / (slots * cost_ms), 2) +
           candidate->failures_ms + network_delay_ms(candidate) +
           (candidate->same_domain ? 0 : CROSS_DOMAIN_PENALTY_MS);
}

/* Returns the index of the host to which a request is sent; -1 when the sample
   is empty. */
int
AprHostSample_FindBest(const AprHostSample_t *sample,
                       const AprUsualLoad_t *usual)
{
    int best = -1;
    double best_ms = 0;

    for (int i = 0; i < sample->count; i++) {
        const AprHostCandidate_t *candidate = &sample->candidates[i];
        double score_ms = AprHostCandidate_ScoreMs(candidate, usual);
        bool better = best < 0 || score_ms < best_ms;

        if (best >= 0 &&
            candidate->suspect != sample->candidates[best].suspect) {
            better = !candidate->suspect;
        }
        if (better) {
            best = i;
            best_ms = score_ms;
        }
    }
    return best < 0 ? -1 : sample->indexes[best];
}

/* Adds a report of remaining work to the usual load. */
void
AprUsualLoad_Add(AprUsualLoad_t *usual, double work_ms, double pace,
                 int request_count, int slots)
{
    double per_slot_ms = work_ms * pace / (slots > 0 ? slots : 1);

    if (usual->work_per_slot_ms <= 0) {
        usual->work_per_slot_ms = per_slot_ms;
    }
    usual->work_per_slot_ms +=
        USUAL_LOAD_WEIGHT * (per_slot_ms - usual->work_per_slot_ms);
    if (request_count > 0) {
        double cost_ms = work_ms / request_count;

        if (usual->cost_ms <= 0) {
            usual->cost_ms = cost_ms;
        }
        usual->cost_ms += USUAL_LOAD_WEIGHT * (cost_ms - usual->cost_ms);
    }
}

/* Adds an outcome: 0 for an answer, or the time that a failure came too early
   to be one, which is the time left until the objective. */
void
AprRecentFailures_Add(AprRecentFailures_t *failures, double lost_ms,
                      int64_t now_ms)
{
    double kept = exp(-(double)(now_ms - failures->updated_ms) / FAILURES_MS);

    failures->outcomes = failures->outcomes * kept + 1;
    failures->lost_ms = failures->lost_ms * kept + (lost_ms > 0 ? lost_ms : 0);
    failures->updated_ms = now_ms;
}

/* Returns the waiting time in milliseconds that recent failures count as, so
   that a host that fails fast does not look like one that answers fast. */
double
AprRecentFailures_PenaltyMs(const AprRecentFailures_t *failures,
                            int64_t now_ms)
{
    double kept = exp(-(double)(now_ms - failures->updated_ms) / FAILURES_MS);

    return failures->lost_ms * kept /
           (failures->outcomes * kept + PRIOR_OUTCOMES);
}
