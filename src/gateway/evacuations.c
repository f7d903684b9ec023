/* Evacuated failure domains: applies the operators' items, and tells the other
   parts which backend servers may receive requests and keys. */

#include <string.h>

#include "apricot/log.h"
#include "internal/gateway.h"

/* Applies the item of an evacuated failure domain, or its removal. Only the
   existence of an item counts. `complete_ms` is the last time at which all
   items were known here; 0: never. */
void
AprGateway_ApplyEvacuation(AprGateway_t *gateway, const char *domain,
                           const AprKvItem_t *item, int64_t complete_ms)
{
    AprEvacuation_t *evacuation = &gateway->evacuation;
    int64_t now_ms = AprGateway_NowMs(gateway);
    const AprEvacuatedDomain_t *entry;
    AprMetric_t *gauge;

    if (evacuation->deadline_ms <= 0) {
        return;
    }
    if (item->removed) {
        entry = AprEvacuation_Find(evacuation, domain);
        if (entry == NULL) {
            return;
        }
        AprLog_Write(APR_LOG_INFO, "evacuation_ended",
                     "domain=%s own=%d revision=%lld lasted_ms=%lld", domain,
                     strcmp(domain, gateway->settings.failure_domain) == 0,
                     (long long)item->revision,
                     (long long)(now_ms - entry->known_ms));
        AprEvacuation_Remove(evacuation, domain);
        AprMembers_DiscardLoadReports(gateway->members, domain);
    }
    else if (AprEvacuation_Add(evacuation, domain, complete_ms, now_ms)) {
        entry = AprEvacuation_Find(evacuation, domain);
        AprLog_Write(APR_LOG_WARN, "evacuation_started",
                     "domain=%s own=%d revision=%lld keyed_left_ms=%lld",
                     domain,
                     strcmp(domain, gateway->settings.failure_domain) == 0,
                     (long long)item->revision,
                     (long long)(entry->keyed_until_ms - now_ms));
        AprGateway_IncrementCounter(gateway, "evacuations_total", "");
    }
    gauge = AprMetrics_RegisterGauge(
        gateway->metrics, "evacuated_domains", "",
        "failure domains whose backend servers get no requests");
    if (gauge != NULL) {
        AprMetric_Set(gauge, evacuation->count);
    }
    /* Queued requests are refused from the event loop, because their entry
       gateways may choose other hosts by the items being applied. */
    ev_feed_event(gateway->loop, &gateway->start_calls_timer, EV_TIMER);
}

/* Returns whether the operators evacuate a failure domain. */
bool
AprGateway_IsEvacuated(const AprGateway_t *gateway, const char *domain)
{
    return gateway->evacuation.count > 0 &&
           AprEvacuation_Find(&gateway->evacuation, domain) != NULL;
}

/* Returns whether a request may be sent to a backend server of a service in a
   failure domain. In an evacuated one, keyed requests start while their keys
   can still move to a host outside. */
bool
AprGateway_MayStartIn(const AprGateway_t *gateway, const char *domain,
                      const char *service, bool keyed)
{
    if (!AprGateway_IsEvacuated(gateway, domain)) {
        return true;
    }
    return AprEvacuation_MayStart(&gateway->evacuation, domain, keyed,
                                  AprGateway_NowMs(gateway)) &&
           AprMembers_HasUsableHost(gateway->members, service);
}

/* Returns whether this host hands its keys over because its failure domain is
   evacuated. */
bool
AprGateway_IsHandoverDue(const AprGateway_t *gateway)
{
    return gateway->evacuation.count > 0 &&
           AprEvacuation_IsHandoverDue(&gateway->evacuation,
                                       gateway->settings.failure_domain,
                                       AprGateway_NowMs(gateway));
}
