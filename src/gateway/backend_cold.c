/* Applies the limit of a cold backend server to its admission control. */

#include "internal/backend_cold.h"

#include "apricot/log.h"

/* Initializes the state of a backend server that is not known to be cold. */
void
AprBackendCold_Init(AprBackendCold_t *cold, AprGateway_t *gateway,
                    AprAdmission_t *admission)
{
    *cold = (AprBackendCold_t){.gateway = gateway,
                               .admission = admission,
                               .notice_limit = APR_NO_REQUEST_LIMIT};
    AprColdLimit_Init(&cold->limit, AprGateway_NowMs(gateway));
}

/* Sets the lower one of both limits. */
static void
apply_limit(AprBackendCold_t *cold, int64_t now_ms)
{
    double per_s = cold->notice_limit;

    if (cold->cold && (per_s < 0 || cold->limit.rate < per_s)) {
        per_s = cold->limit.rate;
    }
    if (per_s != cold->admission->request_limit) {
        AprAdmission_SetRequestLimit(cold->admission, per_s, now_ms);
    }
    AprAdmission_DelayStarts(
        cold->admission, AprColdLimit_WaitMs(&cold->limit, now_ms), now_ms);
}

/* Applies a change of the cold state. */
static void
apply_state(AprBackendCold_t *cold, int64_t now_ms)
{
    const char *id = AprBackend_GetIncarnation(cold->gateway->backend)->id;
    bool is_cold = AprColdLimit_IsCold(&cold->limit, now_ms);

    if (is_cold && !cold->cold) {
        AprLog_Write(
            APR_LOG_INFO, "backend_cold",
            "id=%s left_ms=%lld rate_per_s=%g recent=%d wait_ms=%lld", id,
            (long long)AprColdLimit_RemainingMs(&cold->limit, now_ms),
            cold->limit.rate, AprColdLimit_CountRecent(&cold->limit, now_ms),
            (long long)AprColdLimit_WaitMs(&cold->limit, now_ms));
        cold->cold_since_ms = now_ms;
        cold->sent = 0;
        cold->refused = 0;
        AprGateway_IncrementCounter(cold->gateway, "backend_cold_total", "");
        /* Queued requests that the limit makes late are refused at once. */
        ev_feed_event(cold->gateway->loop, &cold->gateway->start_calls_timer,
                      EV_TIMER);
    }
    else if (!is_cold && cold->cold) {
        AprLog_Write(APR_LOG_INFO, "backend_warm",
                     "id=%s cold_ms=%lld sent=%lld refused=%lld", id,
                     (long long)(now_ms - cold->cold_since_ms),
                     (long long)cold->sent, (long long)cold->refused);
    }
    cold->cold = is_cold;
    apply_limit(cold, now_ms);
}

/* Reads the configured limit, which may change at any time, and ends a cold
   time that has passed. Without a configuration the last one holds. */
void
AprBackendCold_Refresh(AprBackendCold_t *cold)
{
    const AprGatewaySettings_t *settings = &cold->gateway->settings;
    const AprServiceSpec_t *service =
        AprGateway_GetBackendService(cold->gateway);
    int64_t now_ms = AprGateway_NowMs(cold->gateway);
    double rate = cold->limit.rate;

    if (service != NULL) {
        AprColdLimit_Configure(&cold->limit, service->cold_requests_per_s,
                               settings->cold_over, settings->cold_slack,
                               now_ms);
    }
    if (AprColdLimit_IsCold(&cold->limit, now_ms) != cold->cold ||
        (cold->cold && cold->limit.rate != rate)) {
        apply_state(cold, now_ms);
    }
}

/* Records the remaining cold time that the backend server reports; 0 if it is
   not cold. */
void
AprBackendCold_Report(AprBackendCold_t *cold, int64_t cold_left_ms)
{
    cold->reported_ms = AprGateway_NowMs(cold->gateway);
    AprBackendCold_Refresh(cold);
    AprColdLimit_Report(&cold->limit, cold_left_ms, cold->reported_ms);
    AprBackendCold_Refresh(cold);
}

/* Sets the limit that the backend server names in its responses. */
void
AprBackendCold_SetNoticeLimit(AprBackendCold_t *cold, double per_s)
{
    cold->notice_limit = per_s;
    apply_limit(cold, AprGateway_NowMs(cold->gateway));
}

/* Counts a request that is sent to the backend server, for the first time or
   again. */
void
AprBackendCold_CountSent(AprBackendCold_t *cold)
{
    AprAdmission_CountSent(cold->admission, AprGateway_NowMs(cold->gateway));
    AprBackendCold_CountProbe(cold);
}

/* Counts a health probe. The limit that the backend server names in its
   responses is not meant for these. */
void
AprBackendCold_CountProbe(AprBackendCold_t *cold)
{
    int64_t now_ms = AprGateway_NowMs(cold->gateway);

    AprColdLimit_CountSent(&cold->limit, now_ms);
    if (cold->cold) {
        cold->sent++;
        AprAdmission_DelayStarts(cold->admission,
                                 AprColdLimit_WaitMs(&cold->limit, now_ms),
                                 now_ms);
    }
}

/* Counts a request that is refused while the backend server is cold. */
void
AprBackendCold_CountRefused(AprBackendCold_t *cold)
{
    if (cold->cold) {
        cold->refused++;
        AprGateway_IncrementCounter(cold->gateway,
                                    "backend_cold_refused_total", "");
    }
}

/* Adds the service time of a request that ends now. */
void
AprBackendCold_AddServiceTime(AprBackendCold_t *cold, int64_t started_ms)
{
    AprColdLimit_AddServiceTime(
        &cold->limit, (double)(AprGateway_NowMs(cold->gateway) - started_ms));
}

/* Returns whether the backend server is cold and its limit is not known, since
   the configuration has not been read. */
bool
AprBackendCold_IsLimitUnknown(const AprBackendCold_t *cold)
{
    return cold->gateway->routes == NULL && cold->limit.cold;
}

/* Returns whether the limit allows a request now. */
bool
AprBackendCold_MayStart(const AprBackendCold_t *cold)
{
    return AprColdLimit_WaitMs(&cold->limit,
                               AprGateway_NowMs(cold->gateway)) == 0;
}

/* Returns the number of slots that the limit lets requests use. */
int
AprBackendCold_UsableSlots(const AprBackendCold_t *cold)
{
    return AprColdLimit_UsableSlots(&cold->limit, cold->admission->slots,
                                    AprGateway_NowMs(cold->gateway));
}
