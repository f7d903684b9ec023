#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "internal/core.h"
#include "internal/sync_rules.h"

#define CONFIG_READ_RETRY_MS 500
#define CONFIG_PULL_INTERVAL_MS 100
#define MAX_TRACKED_CALLERS 4096
#define RELAYS_PER_CELL 2

/* Computes the digest of all services and their generations. Two processes
   with the same digest have the same configuration. The highest generation
   alone would not show that a process missed an earlier change of another
   service. */
static void
update_config_digest(AprCore_t *core)
{
    uint64_t digest = 0;

    core->max_generation = 0;
    for (int i = 0; i < core->service_count; i++) {
        const AprServiceConfig_t *config = &core->services[i]->config;

        if (config->generation == 0) {
            continue;
        }
        /* A sum does not depend on the order of the services, which may
           differ between processes. */
        digest += XXH3_64bits_withSeed(
            config->service, strlen(config->service), config->generation);
        core->max_generation = MAX(core->max_generation, config->generation);
    }
    core->config_digest =
        apr_sync_rules.digest_all_services ? digest : core->max_generation;
}

static void
register_rank_counters(AprCore_t *core, AprServiceState_t *service)
{
    for (int i = 0; i < service->config.rank_count; i++) {
        char labels[APR_NAME_SIZE * 3];
        AprRankCounters_t *counters = &service->counters[i];

        g_snprintf(labels, sizeof(labels), "service=\"%s\",rank=\"%s\"",
                   service->config.service, service->config.ranks[i].name);
        counters->answered = AprMetrics_RegisterCounter(
            core->metrics, "apricot_answered_total", labels,
            "Requests answered by a backend server");
        counters->not_run = AprMetrics_RegisterCounter(
            core->metrics, "apricot_not_run_total", labels,
            "Requests refused that did not run");
        counters->unknown =
            AprMetrics_RegisterCounter(core->metrics, "apricot_unknown_total",
                                       labels, "Requests that may have run");
        counters->rejected =
            AprMetrics_RegisterCounter(core->metrics, "apricot_rejected_total",
                                       labels, "Requests rejected as invalid");
    }
}

static void
apply_config(AprCore_t *core, int index, const AprServiceConfig_t *config)
{
    AprServiceState_t *service = core->services[index];

    service->config = *config;
    AprRateLimit_Free(service->rate_limit);
    service->rate_limit = AprRateLimit_New(
        config->caller_rate, config->service_rate, MAX_TRACKED_CALLERS);
    register_rank_counters(core, service);
    AprOwner_RebuildQueue(core, index);
    update_config_digest(core);
    AprLog_Write(APR_LOG_INFO, "config-in-force",
                 "service=%s generation=%" PRIu64, config->service,
                 config->generation);
}

/* Parses a service's configuration and applies it if its generation is higher
   than the known one; it never reverts to a lower one. Returns whether it was
   applied. */
static bool
apply_config_text_if_newer(AprCore_t *core, const char *text, size_t size)
{
    AprServiceConfig_t config;
    AprError_t error = {0};
    int index;

    if (AprServiceConfig_FromJson(text, size, &config, &error) != APR_OK) {
        AprLog_Write(APR_LOG_ERROR, "config-invalid", "detail=\"%s\"",
                     error.detail);
        return false;
    }
    index = AprCore_AddService(core, config.service);
    if (index < 0) {
        AprLog_Write(APR_LOG_ERROR, "too-many-services", "service=%s limit=%d",
                     config.service, APR_MAX_SERVICES);
        return false;
    }
    if (config.generation <= core->services[index]->config.generation &&
        apr_sync_rules.apply_only_newer_config) {
        return false;
    }
    apply_config(core, index, &config);
    return true;
}

static void
init_config_message(const AprServiceConfig_t *config, AprMessage_t *message,
                    char *text)
{
    message->type = APR_MSG_CONFIG;
    message->text.version = config->generation;
    message->text.text = AprBytes_FromText(text);
}

/* Returns whether this process is one of the cell's relays, which are the
   first active members in record order. */
static bool
is_relay(const AprCore_t *core)
{
    AprMember_t self = AprCore_FindSelf(core);
    int active_before = 0;

    if (self == APR_NO_MEMBER) {
        return false;
    }
    for (int i = 0; i < self; i++) {
        active_before += core->record->members[i].state == APR_MEMBER_ACTIVE;
    }
    return active_before < RELAYS_PER_CELL;
}

/* Enables the watches of the store only on the relays of the cell, and reads
   the configuration from the store once after the start. */
void
AprConfigSync_Tick(AprCore_t *core)
{
    struct timespec now = AprCore_Now(core);

    AprStoreWorker_SetWatchEnabled(core->store, is_relay(core));
    if (!core->config_read && !AprTime_IsBefore(now, core->next_config_read)) {
        core->next_config_read = AprTime_AddMs(now, CONFIG_READ_RETRY_MS);
        AprStoreWorker_ReadConfig(core->store);
    }
}

/* Handles the result of the read of the configuration after the start. */
void
AprConfigSync_OnStoreResult(AprCore_t *core, AprStoreResult_t *result)
{
    if (result->code != APR_OK) {
        return;
    }
    core->config_read = true;
    for (int i = 0; i < result->config_count; i++) {
        apply_config_text_if_newer(core, result->configs[i].data,
                                   result->configs[i].size);
    }
}

/* Applies a service's configuration and, if it was newer, forwards it in the
   distribution tree of the cell. */
static void
apply_and_forward_config(AprCore_t *core, const char *data, size_t size)
{
    AprMessage_t message = {0};

    if (!apply_config_text_if_newer(core, data, size)) {
        return;
    }
    message.type = APR_MSG_CONFIG;
    message.text.version = core->max_generation;
    message.text.text.data = data;
    message.text.text.size = size;
    AprLinks_SendToChildren(core, &message);
}

/* Handles a service's configuration that the watch reported. */
void
AprConfigSync_OnWatch(AprCore_t *core, const char *data, size_t size)
{
    apply_and_forward_config(core, data, size);
}

static void
send_all_configs(AprCore_t *core, AprLinkHandle_t link)
{
    for (int i = 0; i < core->service_count; i++) {
        const AprServiceConfig_t *config = &core->services[i]->config;
        AprMessage_t message = {0};
        char *text;

        if (config->generation == 0) {
            continue;
        }
        text = AprServiceConfig_ToJson(config);
        if (text == NULL) {
            continue;
        }
        init_config_message(config, &message, text);
        AprLinks_Send(core, link, &message);
        free(text);
    }
}

/* Handles CONFIG, and answers CONFIG_GET with the configuration of every
   service. */
void
AprConfigSync_OnMessage(AprCore_t *core, AprLinkHandle_t link,
                        const AprMessage_t *message)
{
    if (message->type == APR_MSG_CONFIG) {
        apply_and_forward_config(core, message->text.text.data,
                                 message->text.text.size);
        return;
    }
    send_all_configs(core, link);
}

/* Requests the configuration from a peer whose digest differs, at most once
   per pull interval. Both peers compare, so the one that is behind catches
   up. */
void
AprConfigSync_PullIfDifferent(AprCore_t *core, AprLinkHandle_t link,
                              uint64_t digest)
{
    AprMessage_t message = {0};
    struct timespec now = AprCore_Now(core);

    if (digest == core->config_digest ||
        AprTime_IsBefore(now, core->next_config_pull)) {
        return;
    }
    core->next_config_pull = AprTime_AddMs(now, CONFIG_PULL_INTERVAL_MS);
    message.type = APR_MSG_CONFIG_GET;
    message.text.version = core->max_generation;
    AprLinks_Send(core, link, &message);
}

/* Requests the configuration of every service from a peer and sends it that of
   this process. The two exchange no renewals, which carry the digest, so
   nothing else would show that one of them is behind. */
void
AprConfigSync_Exchange(AprCore_t *core, AprLinkHandle_t link)
{
    AprMessage_t message = {0};

    message.type = APR_MSG_CONFIG_GET;
    message.text.version = core->max_generation;
    AprLinks_Send(core, link, &message);
    if (apr_sync_rules.send_config_as_non_member) {
        send_all_configs(core, link);
    }
}
