/* The state of a gateway process as JSON, for operators. */

#include <jansson.h>
#include <string.h>

#include "internal/gateway.h"

static json_t *
dump_members(AprGateway_t *gateway)
{
    int64_t now_ms = AprGateway_NowMs(gateway);
    json_t *list = json_array();

    for (int i = 0; i < AprMembers_Count(gateway->members); i++) {
        const AprHost_t *host = AprMembers_At(gateway->members, i);

        json_array_append_new(
            list,
            json_pack("{s:s,s:s,s:s,s:s,s:b,s:b,s:I,s:I,s:I,s:I,s:i,s:I}",
                      "host", host->host, "service", host->service, "domain",
                      host->failure_domain, "backend", host->incarnation.id,
                      "open", host->accepts_calls, "listed", host->registered,
                      "heard_age_ms",
                      (json_int_t)AprLinks_LastReceivedAgeMs(gateway->links,
                                                             host->host),
                      "load_age_ms",
                      (json_int_t)(host->load_report_ms == 0
                                       ? -1
                                       : now_ms - host->load_report_ms),
                      "wait_ms", (json_int_t)host->load_report.wait_ms,
                      "work_ms", (json_int_t)host->load_report.work_ms, "pace",
                      host->load_report.pace, "failures_ms",
                      (json_int_t)AprRecentFailures_PenaltyMs(&host->failures,
                                                              now_ms)));
    }
    return list;
}

static json_t *
dump_ranges(const AprKeyMap_t *map)
{
    json_t *list = json_array();

    for (int i = 0; map != NULL && i < map->count; i++) {
        const AprKeyRange_t *range = &map->ranges[i];

        json_array_append_new(
            list, json_pack("{s:i,s:i,s:s,s:I,s:s}", "first", range->first,
                            "last", range->last, "host", range->host, "fence",
                            (json_int_t)range->fence, "releasing",
                            range->releasing_host));
    }
    return list;
}

static json_t *
dump_evacuations(const AprGateway_t *gateway)
{
    int64_t now_ms = AprGateway_NowMs(gateway);
    json_t *list = json_array();

    for (int i = 0; i < gateway->evacuation.count; i++) {
        const AprEvacuatedDomain_t *entry = &gateway->evacuation.domains[i];

        json_array_append_new(
            list,
            json_pack("{s:s,s:I,s:I}", "domain", entry->name, "known_age_ms",
                      (json_int_t)(now_ms - entry->known_ms), "keyed_left_ms",
                      (json_int_t)(entry->keyed_until_ms - now_ms)));
    }
    return list;
}

/* Returns the present state of this process as JSON text, which the caller
   frees with free(), or NULL when memory runs out. */
char *
AprGateway_FormatState(AprGateway_t *gateway)
{
    AprHostLoad_t load;
    int64_t authority_ms = 0;
    const AprKeyMap_t *map =
        AprOwnership_GetOwnKeyMap(gateway->ownership, &authority_ms);
    json_t *root;
    char *text;

    AprGateway_GetLoad(gateway, &load);
    root = json_pack(
        "{s:s,s:I,s:I,s:s,s:I,s:b,s:b,s:b,s:I,s:i,s:i,s:i,s:s,s:o,s:o,s:o}",
        "host", gateway->settings.host, "config_version",
        (json_int_t)(gateway->routes == NULL ? 0 : gateway->routes->version),
        "revision", (json_int_t)load.known_revision, "item_source",
        AprStoreCache_Source(gateway->store_cache), "items_age_ms",
        (json_int_t)AprStoreCache_ItemsAgeMs(gateway->store_cache),
        "watching_store", AprStoreCache_IsWatchingStore(gateway->store_cache),
        "ready", AprGateway_IsReady(gateway), "store_lost", load.store_lost,
        "authority_ms", (json_int_t)authority_ms, "running", load.running,
        "queued", load.queued, "load_permille", load.load_permille, "backend",
        AprBackend_GetIncarnation(gateway->backend)->id, "members",
        dump_members(gateway), "ranges", dump_ranges(map), "evacuated",
        dump_evacuations(gateway));
    text = json_dumps(root, JSON_INDENT(1));
    json_decref(root);
    return text;
}
