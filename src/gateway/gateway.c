/* Setup, periodic work and shutdown of one gateway process. */

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "apricot/error.h"
#include "apricot/log.h"
#include "internal/gateway.h"

/* Interval at which the timeouts of all parts are checked. */
#define TICK_INTERVAL_S 0.05

/* A process whose ticks come later than this is lagging. */
#define LAG_THRESHOLD_MS 30

/* Time after a late tick during which the process counts as lagging. */
#define LAG_HOLD_MS 1000

/* Part of the stop time after which calls of other hosts are refused even if
   callers' requests are in flight. */
#define STOP_CALLERS_FRACTION 0.6

/* Part of the stop time after which new connections are refused even if calls
   are in flight. The time left is longer than requests usually take. */
#define STOP_PEERS_FRACTION 0.8

/* Longest time for which a stopping process waits for the other hosts to close
   their links. */
#define LINK_CLOSE_WAIT_MS 500

/* Returns the time of the monotonic clock in milliseconds. */
int64_t
AprGateway_NowMs(const AprGateway_t *gateway)
{
    return AprTime_ToMs(AprClock_Now(&gateway->clock));
}

/* Returns the retry budget of this process, owned by the gateway, with the
   current limits: half of the retries allowed per request, because a retried
   request retries its nested calls as well, and one more than this host's
   share of half of the additional retries of all hosts. */
AprRetryBudget_t *
AprGateway_GetRetryBudget(AprGateway_t *gateway)
{
    int hosts = AprMembers_Count(gateway->members);

    AprRetryBudget_Configure(
        &gateway->retry_budget, gateway->settings.retry_ratio / 2,
        1 + gateway->settings.retry_extra / 2 / (hosts > 0 ? hosts : 1));
    return &gateway->retry_budget;
}

int64_t
AprGateway_EstimateWaitedMs(AprGateway_t *gateway, const char *route,
                            int64_t limit_ms)
{
    AprTimeLimits_t *limits = g_hash_table_lookup(gateway->time_limits, route);

    if (limits == NULL) {
        limits = g_new0(AprTimeLimits_t, 1);
        g_hash_table_insert(gateway->time_limits, g_strdup(route), limits);
    }
    return AprTimeLimits_AddSample(limits, limit_ms);
}

/* Increments a counter, which is created on first use. */
void
AprGateway_IncrementCounter(AprGateway_t *gateway, const char *name,
                            const char *labels)
{
    AprMetric_t *metric =
        AprMetrics_RegisterCounter(gateway->metrics, name, labels, "");

    if (metric != NULL) {
        AprMetric_Add(metric, 1);
    }
}

/* Upper bounds of the histogram buckets in milliseconds; INT64_MAX: none. */
static const int64_t duration_bounds_ms[APR_DURATION_BUCKETS] = {
    5, 10, 25, 50, 100, 200, 400, 800, 1600, INT64_MAX};

static void
register_duration_histogram(AprGateway_t *gateway)
{
    char labels[32];

    for (int i = 0; i < APR_DURATION_BUCKETS; i++) {
        if (duration_bounds_ms[i] == INT64_MAX) {
            snprintf(labels, sizeof(labels), "le=\"+Inf\"");
        }
        else {
            snprintf(labels, sizeof(labels), "le=\"%lld\"",
                     (long long)duration_bounds_ms[i]);
        }
        gateway->duration_buckets[i] = AprMetrics_RegisterCounter(
            gateway->metrics, "request_duration_ms_bucket", labels,
            "requests answered within so many milliseconds");
    }
}

/* Adds a response time to the cumulative histogram. */
void
AprGateway_ObserveDuration(AprGateway_t *gateway, int64_t took_ms)
{
    for (int i = 0; i < APR_DURATION_BUCKETS; i++) {
        if (took_ms <= duration_bounds_ms[i]) {
            AprMetric_Add(gateway->duration_buckets[i], 1);
        }
    }
}

bool
AprGateway_IsBalancingAdaptive(const AprGateway_t *gateway)
{
    switch (gateway->settings.balancing_mode) {
    case APR_BALANCING_ON:
        return true;
    case APR_BALANCING_OFF:
        return false;
    default:
        return gateway->routes != NULL && gateway->routes->uneven_work;
    }
}

const AprServiceSpec_t *
AprGateway_GetBackendService(const AprGateway_t *gateway)
{
    int service;

    if (gateway->routes == NULL) {
        return NULL;
    }
    service = AprRouteTable_FindService(gateway->routes,
                                        gateway->settings.backend_service);
    return service < 0 ? NULL : &gateway->routes->services[service];
}

/* Fills in the load that this host reports to others. */
void
AprGateway_GetLoad(AprGateway_t *gateway, AprHostLoad_t *load)
{
    memset(load, 0, sizeof(*load));
    AprBackend_GetLoad(gateway->backend, load);
    load->stopping = gateway->stop_step != APR_STOP_NONE;
    load->store_lost = !AprStoreCache_IsStoreReachable(gateway->store_cache);
    load->known_revision = AprStoreCache_Revision(gateway->store_cache);
    load->network_delay_ms = AprNetworkDelay_Get(&gateway->network_delay,
                                                 AprGateway_NowMs(gateway));
    load->paces_bodies =
        load->has_work && AprBodyPacing_IsActive(&gateway->body_pacing);
    load->body_wait_ms =
        AprBodyPacing_WaitMs(&gateway->body_pacing, AprGateway_NowMs(gateway));
}

int64_t
AprGateway_LimitDeadline(const AprGateway_t *gateway, int64_t deadline_ms)
{
    return gateway->stop_step == APR_STOP_NONE
               ? deadline_ms
               : AprStopPlan_LimitDeadline(&gateway->stop_plan, deadline_ms);
}

/* Returns whether the process is ready for callers. */
bool
AprGateway_IsReady(const AprGateway_t *gateway)
{
    return gateway->routes != NULL && gateway->stop_step == APR_STOP_NONE &&
           AprStoreCache_IsConfirmed(gateway->store_cache);
}

/* Detects by the time between ticks that the process is lagging. */
static void
detect_lag(AprGateway_t *gateway)
{
    int64_t now_ms = AprGateway_NowMs(gateway);

    if (gateway->last_tick_ms != 0 &&
        now_ms - gateway->last_tick_ms >
            (int64_t)(TICK_INTERVAL_S * 1000) + LAG_THRESHOLD_MS) {
        gateway->last_late_tick_ms = now_ms;
    }
    gateway->last_tick_ms = now_ms;
    gateway->streams->lagging =
        gateway->last_late_tick_ms != 0 &&
        now_ms - gateway->last_late_tick_ms < LAG_HOLD_MS;
}

static void
on_tick(struct ev_loop *loop, ev_timer *watcher, int events)
{
    AprGateway_t *gateway = watcher->data;

    (void)loop;
    (void)events;
    detect_lag(gateway);
    AprStoreCache_Tick(gateway->store_cache);
    AprLinks_Tick(gateway->links);
    AprOwnership_Tick(gateway->ownership);
    AprBackend_Tick(gateway->backend);
    AprIngress_Tick(gateway->ingress);
    AprResources_Tick(gateway);
}

static void
on_work_event(struct ev_loop *loop, ev_timer *watcher, int events)
{
    AprGateway_t *gateway = watcher->data;

    (void)loop;
    (void)events;
    AprBackend_Tick(gateway->backend);
}

static void
enter_stop_step(AprGateway_t *gateway, AprStopStep_t step)
{
    gateway->stop_step = step;
    AprLog_Write(APR_LOG_INFO, "stop_step",
                 "step=%d callers=%d peers=%d age_ms=%lld", (int)step,
                 AprIngress_CountRequests(gateway->ingress),
                 AprLinks_CountInboundCalls(gateway->links),
                 (long long)(AprGateway_NowMs(gateway) -
                             gateway->stop_plan.started_ms));
    if (step == APR_STOP_CLOSE_LISTENER) {
        AprIngress_StopListening(gateway->ingress);
    }
    else if (step == APR_STOP_EXIT) {
        AprStoreCache_RemoveLeaseItem(gateway->store_cache);
    }
}

/* Ends the links from other hosts. Returns whether they have closed them, or
   had the time to. The exit of the process would reset a link on which
   acknowledgements arrive, and with it the end of a long response that its
   receiver has not read yet. */
static bool
are_links_ended(AprGateway_t *gateway, int64_t now_ms)
{
    if (gateway->links_ended_ms == 0) {
        gateway->links_ended_ms = now_ms;
        AprLinks_EndInbound(gateway->links);
    }
    return !AprLinks_HasInbound(gateway->links) ||
           now_ms - gateway->links_ended_ms >= LINK_CLOSE_WAIT_MS;
}

/* Advances the planned stop and leaves the event loop once nothing is in
   flight. Calls that the local backend server makes on behalf of other hosts'
   requests arrive as callers' requests, so the listener stays open until those
   are done. */
static void
on_stop_timer(struct ev_loop *loop, ev_timer *watcher, int events)
{
    AprGateway_t *gateway = watcher->data;
    const AprStopPlan_t *plan = &gateway->stop_plan;
    int64_t now_ms = AprGateway_NowMs(gateway);
    int64_t age_ms = now_ms - plan->started_ms;
    int64_t limit_ms = plan->exit_ms - plan->started_ms;
    int caller_requests;
    int peer_calls;

    (void)events;
    if (now_ms < plan->leave_ms) {
        return;
    }
    if (now_ms >= plan->answer_by_ms) {
        AprIngress_EndRequests(gateway->ingress);
    }
    caller_requests = AprIngress_CountRequests(gateway->ingress);
    peer_calls = AprLinks_CountInboundCalls(gateway->links);
    AprIngress_CloseIdleConnections(gateway->ingress);
    switch (gateway->stop_step) {
    case APR_STOP_REFUSE_CALLERS:
        if (caller_requests == 0 ||
            age_ms >= limit_ms * STOP_CALLERS_FRACTION) {
            enter_stop_step(gateway, APR_STOP_REFUSE_PEERS);
        }
        break;
    case APR_STOP_REFUSE_PEERS:
        if (peer_calls + AprBackend_CountCalls(gateway->backend) == 0 ||
            age_ms >= limit_ms * STOP_PEERS_FRACTION) {
            enter_stop_step(gateway, APR_STOP_CLOSE_LISTENER);
        }
        break;
    case APR_STOP_CLOSE_LISTENER:
        if (caller_requests + peer_calls == 0 || age_ms >= limit_ms) {
            AprLinks_SendGoaway(gateway->links);
            enter_stop_step(gateway, APR_STOP_EXIT);
        }
        break;
    default:
        /* Streams send what was written to them before the loop polls again,
           which it does not do after the exit. */
        AprStreamSet_Flush(gateway->streams);
        if ((!AprIngress_HasConnections(gateway->ingress) &&
             gateway->streams->unsent_bytes == 0 &&
             are_links_ended(gateway, now_ms)) ||
            age_ms >= limit_ms) {
            AprLog_Write(APR_LOG_INFO, "stop", "in_flight=%d took_ms=%lld",
                         caller_requests + peer_calls, (long long)age_ms);
            gateway->stop_step = APR_STOP_DONE;
            ev_timer_stop(loop, watcher);
            ev_break(loop, EVBREAK_ALL);
        }
        break;
    }
}

/* Creates a gateway and its parts. `loop`, `streams` and the objects in
   `options` must outlive it, except the settings, which are copied. Returns
   NULL when out of memory. */
AprGateway_t *
AprGateway_New(struct ev_loop *loop, AprStreamSet_t *streams,
               const AprGatewayOptions_t *options)
{
    AprGateway_t *gateway = calloc(1, sizeof(*gateway));

    if (gateway == NULL) {
        return NULL;
    }
    gateway->loop = loop;
    gateway->streams = streams;
    gateway->clock = AprClock_System();
    gateway->settings = *options->settings;
    gateway->header_names = options->header_names;
    gateway->kv = options->kv;
    gateway->config_key = options->config_key;
    gateway->parse_routes = options->parse_routes;
    gateway->operator_prefix = options->operator_prefix;
    gateway->evacuation_prefix = options->evacuation_prefix;
    AprEvacuation_Init(
        &gateway->evacuation, gateway->settings.host,
        (int64_t)(gateway->settings.evacuation_deadline_s * 1000));
    AprRetryBudget_Init(&gateway->retry_budget);
    AprResources_Init(gateway);
    gateway->time_limits =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    gateway->metrics = AprMetrics_New();
    gateway->backend = AprBackend_New(gateway);
    gateway->links = AprLinks_New(gateway);
    gateway->members = AprMembers_New(gateway);
    gateway->ownership = AprOwnership_New(gateway);
    gateway->store_cache = AprStoreCache_New(gateway);
    gateway->ingress = AprIngress_New(gateway);
    ev_timer_init(&gateway->tick_timer, on_tick, TICK_INTERVAL_S,
                  TICK_INTERVAL_S);
    ev_timer_init(&gateway->start_calls_timer, on_work_event, 0.0, 0.0);
    ev_timer_init(&gateway->stop_timer, on_stop_timer, TICK_INTERVAL_S,
                  TICK_INTERVAL_S);
    gateway->tick_timer.data = gateway;
    gateway->start_calls_timer.data = gateway;
    gateway->stop_timer.data = gateway;
    if (gateway->metrics == NULL || gateway->backend == NULL ||
        gateway->links == NULL || gateway->members == NULL ||
        gateway->ownership == NULL || gateway->store_cache == NULL ||
        gateway->ingress == NULL) {
        AprGateway_Free(gateway);
        return NULL;
    }
    register_duration_histogram(gateway);
    return gateway;
}

/* Closes all connections of a gateway and frees it. */
void
AprGateway_Free(AprGateway_t *gateway)
{
    if (gateway == NULL) {
        return;
    }
    ev_timer_stop(gateway->loop, &gateway->tick_timer);
    ev_timer_stop(gateway->loop, &gateway->stop_timer);
    AprResources_Free(gateway);
    AprIngress_Free(gateway->ingress);
    AprLinks_Free(gateway->links);
    AprBackend_Free(gateway->backend);
    AprOwnership_Free(gateway->ownership);
    AprStoreCache_Free(gateway->store_cache);
    AprMembers_Free(gateway->members);
    AprRouteTable_Free(gateway->routes);
    AprMetrics_Free(gateway->metrics);
    g_hash_table_destroy(gateway->time_limits);
    AprEvacuation_Clear(&gateway->evacuation);
    free(gateway);
}

/* Opens the listeners and starts to read the store. Returns APR_OK, or
   APR_E_IO with the address in `error`. */
int
AprGateway_Start(AprGateway_t *gateway, AprError_t *error)
{
    const AprGatewaySettings_t *settings = &gateway->settings;

    if (AprLinks_Listen(gateway->links, settings->listen_peers) != APR_OK) {
        return AprError_Set(error, APR_E_IO, APR_STEP_PEER,
                            settings->listen_peers, "cannot listen");
    }
    if (AprIngress_Listen(gateway->ingress, settings->listen_callers) !=
        APR_OK) {
        return AprError_Set(error, APR_E_IO, APR_STEP_ENTRY,
                            settings->listen_callers, "cannot listen");
    }
    ev_timer_start(gateway->loop, &gateway->tick_timer);
    AprStoreCache_Start(gateway->store_cache);
    return APR_OK;
}

/* Starts a planned stop, in which requests in flight are completed. */
void
AprGateway_Stop(AprGateway_t *gateway)
{
    if (gateway->stop_step != APR_STOP_NONE) {
        return;
    }
    AprStopPlan_Init(&gateway->stop_plan, AprGateway_NowMs(gateway),
                     (int64_t)(gateway->settings.stop_grace_s * 1000));
    gateway->stop_step = APR_STOP_REFUSE_CALLERS;
    AprBackend_LimitDeadlines(gateway->backend);
    AprLog_Write(APR_LOG_INFO, "stopping", "in_flight=%d",
                 AprIngress_CountRequests(gateway->ingress));
    ev_timer_start(gateway->loop, &gateway->stop_timer);
}

/* Applies the settings that may change while the process runs. Addresses and
   names keep their values from the start. */
void
AprGateway_ApplySettings(AprGateway_t *gateway,
                         const AprGatewaySettings_t *settings)
{
    gateway->settings.config_deadline_s = settings->config_deadline_s;
    gateway->settings.drain_s = settings->drain_s;
    gateway->settings.stop_grace_s = settings->stop_grace_s;
    gateway->settings.heartbeat_s = settings->heartbeat_s;
    gateway->settings.retry_ratio = settings->retry_ratio;
    gateway->settings.retry_extra = settings->retry_extra;
    AprLog_Write(APR_LOG_INFO, "reload", "drain_s=%g stop_s=%g",
                 settings->drain_s, settings->stop_grace_s);
}
