/* Load of the local backend server: what it reports, what is learned from its
   responses, and what other hosts are told. */

#include <stddef.h>

#include "apricot/log.h"
#include "internal/backend_state.h"

/* The demand is averaged over about this time and decays to zero within it. */
#define DEMAND_WINDOW_MS 2000.0

/* Records whether the backend server answered a request. A failure counts with
   the time left until the objective, as if the answer came then. */
void
AprBackend_RecordOutcome(AprBackend_t *backend, const AprCallHead_t *head,
                         bool answered)
{
    int64_t now_ms = AprGateway_NowMs(backend->gateway);

    AprRecentFailures_Add(&backend->failures,
                          answered ? 0 : (double)(head->objective_ms - now_ms),
                          now_ms);
}

static void
log_notice_changes(AprBackend_t *backend, const AprBackendNotice_t *notice)
{
    if (notice->request_limit != backend->notice.request_limit) {
        AprLog_Write(APR_LOG_INFO, "backend_limit",
                     "id=%s per_s=%g earlier=%g sent=%lld",
                     backend->incarnation.id, notice->request_limit,
                     backend->notice.request_limit,
                     (long long)backend->sent_requests);
    }
    if (notice->leaving && !backend->notice.leaving) {
        AprLog_Write(APR_LOG_INFO, "backend_answers_leaving",
                     "id=%s known=%d first_response=%d",
                     backend->incarnation.id, backend->leaving,
                     !backend->notice_known);
    }
}

/* Counts a load that cannot be meant and records a reported pace. */
static void
apply_load(AprBackend_t *backend, const AprBackendNotice_t *notice)
{
    if (notice->load_invalid) {
        AprGateway_IncrementCounter(backend->gateway,
                                    "backend_load_invalid_total", "");
    }
    if (notice->load.pace != 0) {
        AprCostModel_ReportPace(&backend->costs, notice->load.pace,
                                AprGateway_NowMs(backend->gateway));
    }
}

/* Acts on what the present incarnation tells about itself. If its first
   response to this process says that it leaves, an earlier process may have
   been told so long ago, and the drain time counts as over. */
static void
apply_notice(AprBackend_t *backend, const AprBackendNotice_t *notice)
{
    log_notice_changes(backend, notice);
    if (notice->request_limit != backend->notice.request_limit) {
        AprBackendCold_SetNoticeLimit(&backend->cold, notice->request_limit);
    }
    if (notice->leaving && !backend->notice.leaving) {
        AprOwnership_OnBackendLeaving(backend->gateway->ownership,
                                      backend->incarnation.id);
        if (!backend->notice_known) {
            AprBackend_EndDrain(backend);
        }
    }
    apply_load(backend, notice);
    backend->notice = *notice;
    backend->notice_known = true;
}

/* Records a response head, which ends the unresponsive state, and what the
   backend server tells about itself in it. A late response of an earlier
   incarnation tells nothing about the present one. */
void
AprBackend_RecordResponse(AprBackend_t *backend,
                          const AprBackendIncarnation_t *sender,
                          const AprBackendNotice_t *notice)
{
    backend->last_response_ms = AprGateway_NowMs(backend->gateway);
    if (AprBackendIncarnation_Equal(sender, &backend->incarnation)) {
        apply_notice(backend, notice);
    }
    if (backend->unresponsive) {
        backend->unresponsive = false;
        AprLog_Write(APR_LOG_INFO, "backend_answers", "id=%s",
                     backend->incarnation.id);
    }
}

/* Records the load in the response to a health probe that was sent at
   `sent_ms` to `sender`. A report that arrived since then may be newer and
   stays. */
void
AprBackend_RecordProbedLoad(AprBackend_t *backend,
                            const AprBackendIncarnation_t *sender,
                            const AprBackendNotice_t *notice, int64_t sent_ms)
{
    AprBackendNotice_t known = *notice;

    if (!AprBackendIncarnation_Equal(sender, &backend->incarnation)) {
        return;
    }
    if (backend->costs.reported_ms > sent_ms) {
        known.load.pace = 0;
    }
    apply_load(backend, &known);
}

/* Lets the cost model decide while balancing is adaptive. */
void
AprBackend_UpdateCostModel(AprBackend_t *backend)
{
    bool adaptive = AprGateway_IsBalancingAdaptive(backend->gateway);

    if (adaptive != (backend->admission.costs != NULL)) {
        AprAdmission_SetCostModel(&backend->admission,
                                  adaptive ? &backend->costs : NULL);
        AprLog_Write(APR_LOG_INFO, "admission_mode", "adaptive=%d", adaptive);
    }
}

/* Exports the pace and the remaining work while balancing is adaptive. */
void
AprBackend_UpdateLoadMetrics(AprBackend_t *backend)
{
    AprMetrics_t *metrics = backend->gateway->metrics;
    AprHostLoad_t load = {0};
    AprMetric_t *pace;
    AprMetric_t *work;

    if (backend->admission.costs == NULL) {
        return;
    }
    AprBackend_GetLoad(backend, &load);
    pace = AprMetrics_RegisterGauge(metrics, "backend_pace_percent", "",
                                    "100: work takes as long as usual");
    work = AprMetrics_RegisterGauge(metrics, "backend_work_ms", "",
                                    "remaining service time, over all slots");
    if (pace != NULL && work != NULL) {
        AprMetric_Set(pace, load.pace);
        AprMetric_Set(work, load.work_ms);
    }
}

/* Counts a call that a running request makes. */
void
AprBackend_RecordNestedCall(AprBackend_t *backend, const AprCallHead_t *parent)
{
    const AprBackendCall_t *call =
        (const AprBackendCall_t *)((const char *)parent -
                                   offsetof(AprBackendCall_t, head));

    AprAdmission_CountNestedCall(&backend->admission, (uint64_t)call->id);
}

/* Returns the demand, decayed linearly over DEMAND_WINDOW_MS, in milliseconds
   of service time. */
static double
decayed_demand(const AprBackend_t *backend, int64_t now_ms)
{
    double age =
        (double)(now_ms - backend->demand_updated_ms) / DEMAND_WINDOW_MS;

    return backend->demand_ms * (age < 1 ? 1 - age : 0);
}

/* Adds the expected service time of a request to the demand. */
void
AprBackend_AddDemand(AprBackend_t *backend, double cost_ms, int64_t now_ms)
{
    backend->demand_ms = decayed_demand(backend, now_ms) + cost_ms;
    backend->demand_updated_ms = now_ms;
}

/* Returns the decayed demand as a fraction of the capacity of all slots. */
double
AprBackend_RelativeDemand(const AprBackend_t *backend)
{
    return decayed_demand(backend, AprGateway_NowMs(backend->gateway)) /
           (DEMAND_WINDOW_MS * AprBackendCold_UsableSlots(&backend->cold));
}

/* Multiplies the demand by a factor, to remove the part of keys that move to
   other hosts. */
void
AprBackend_ScaleDemand(AprBackend_t *backend, double factor)
{
    backend->demand_ms *= factor;
}

/* Returns the number of slots that requests can use: fewer while the backend
   server is cold. */
int
AprBackend_CountUsableSlots(const AprBackend_t *backend)
{
    return AprBackendCold_UsableSlots(&backend->cold);
}

/* Fills in the load of the backend server; other members of `load` stay. */
void
AprBackend_GetLoad(const AprBackend_t *backend, AprHostLoad_t *load)
{
    load->running = backend->admission.running_count;
    load->queued = backend->admission.queue_count;
    load->slots = AprBackendCold_UsableSlots(&backend->cold);
    load->wait_ms = AprAdmission_ExpectedWaitMs(
        &backend->admission, 0, AprGateway_NowMs(backend->gateway));
    load->load_permille = (int)(AprBackend_RelativeDemand(backend) * 1000);
    load->accepts_calls = AprBackend_IsOpen(backend) &&
                          !backend->unresponsive &&
                          AprBackend_MayStartHere(backend, APR_NO_KEY);
    load->has_work = backend->admission.costs != NULL;
    if (load->has_work) {
        int64_t now_ms = AprGateway_NowMs(backend->gateway);

        /* Failures of the backend server that come too early for an answer
           count as work, so that it does not look idle to other hosts. */
        load->work_ms = (int64_t)(AprAdmission_RemainingWorkMs(
                                      &backend->admission, now_ms) +
                                  backend->admission.slots *
                                      AprRecentFailures_PenaltyMs(
                                          &backend->failures, now_ms));
        load->pace = (int)(AprCostModel_Pace(&backend->costs, now_ms) * 100);
        load->pace = load->pace < 1 ? 1 : load->pace;
    }
}
