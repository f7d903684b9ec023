#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "internal/core.h"
#include "internal/sync_rules.h"

#define READ_RETRY_MS 500
#define PULL_INTERVAL_MS 100
#define MAX_TRACKED_CALLERS 4096
#define RELAYS_PER_CELL 2

/* The digest of all services and their generations. Two processes with the
   same digest have the same configuration; the highest generation alone would
   hide an older change of another service that one of them missed. */
static void
update_digest(AprCore_t *core)
{
    uint64_t digest = 0;

    core->generation = 0;
    for (int i = 0; i < core->service_count; i++) {
        const AprServiceConfig_t *config = &core->services[i]->config;

        if (config->generation == 0) {
            continue;
        }
        /* A sum does not depend on the order in which services came. */
        digest += XXH3_64bits_withSeed(
            config->service, strlen(config->service), config->generation);
        core->generation = MAX(core->generation, config->generation);
    }
    core->config_digest =
        apr_sync_rules.whole_digest ? digest : core->generation;
}

static void
register_counters(AprCore_t *core, AprServiceState_t *service)
{
    for (int i = 0; i < service->config.rank_count; i++) {
        char labels[APR_NAME_SIZE * 3];
        AprRankCounters_t *counters = &service->counters[i];

        g_snprintf(labels, sizeof(labels), "service=\"%s\",rank=\"%s\"",
                   service->config.service, service->config.ranks[i].name);
        counters->answered =
            AprMetrics_Counter(core->metrics, "apricot_answered_total", labels,
                               "Requests answered by a backend server");
        counters->not_run =
            AprMetrics_Counter(core->metrics, "apricot_not_run_total", labels,
                               "Requests refused that did not run");
        counters->unknown =
            AprMetrics_Counter(core->metrics, "apricot_unknown_total", labels,
                               "Requests that may have run");
        counters->rejected =
            AprMetrics_Counter(core->metrics, "apricot_rejected_total", labels,
                               "Requests rejected as invalid");
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
    register_counters(core, service);
    AprOwner_SetQueue(core, index);
    update_digest(core);
    AprLog_Write(APR_LOG_INFO, "config-in-force",
                 "service=%s generation=%" PRIu64, config->service,
                 config->generation);
}

/* Takes a service's configuration if its generation is higher than the known
   one; a lower one is never put back. Returns whether it was newer. */
static bool
offer_config(AprCore_t *core, const char *text, size_t size)
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
        apr_sync_rules.config_forward) {
        return false;
    }
    apply_config(core, index, &config);
    return true;
}

static void
fill_config(const AprServiceConfig_t *config, AprMessage_t *message,
            char *text)
{
    message->type = APR_MSG_CONFIG;
    message->text.version = config->generation;
    message->text.text = AprBytes_FromText(text);
}

/* Decides whether this process is one of the cell's relays, the first active
   members in record order. */
static bool
is_relay(const AprCore_t *core)
{
    AprMember_t self = AprCore_Self(core);
    int before = 0;

    if (self == APR_NO_MEMBER) {
        return false;
    }
    for (int i = 0; i < self; i++) {
        before += core->record->members[i].state == APR_MEMBER_ACTIVE;
    }
    return before < RELAYS_PER_CELL;
}

/* Keeps the watches with the relays, and reads the configuration once after
   the start. */
void
AprConfigSync_Tick(AprCore_t *core)
{
    struct timespec now = AprCore_Now(core);

    AprStoreWorker_SetWatch(core->store, is_relay(core));
    if (!core->config_read && !AprTime_Before(now, core->next_config_read)) {
        core->next_config_read = AprTime_AddMs(now, READ_RETRY_MS);
        AprStoreWorker_ReadConfig(core->store);
    }
}

/* Takes the result of the read after the start. */
void
AprConfigSync_OnStoreResult(AprCore_t *core, AprStoreResult_t *result)
{
    if (result->code != APR_OK) {
        return;
    }
    core->config_read = true;
    for (int i = 0; i < result->config_count; i++) {
        offer_config(core, result->configs[i].data, result->configs[i].size);
    }
}

/* Takes a service's configuration and passes it on in the tree of the cell if
   it was newer. */
static void
take_and_pass_on(AprCore_t *core, const char *data, size_t size)
{
    AprMessage_t message = {0};

    if (!offer_config(core, data, size)) {
        return;
    }
    message.type = APR_MSG_CONFIG;
    message.text.version = core->generation;
    message.text.text.data = data;
    message.text.text.size = size;
    AprLinks_SendDown(core, &message);
}

/* Takes a change that the watch reported. */
void
AprConfigSync_OnWatch(AprCore_t *core, const char *data, size_t size)
{
    take_and_pass_on(core, data, size);
}

static void
send_all(AprCore_t *core, AprLink_t link)
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
        fill_config(config, &message, text);
        AprLinks_Send(core, link, &message);
        free(text);
    }
}

/* Answers CONFIG_GET with every service and takes CONFIG. */
void
AprConfigSync_OnMessage(AprCore_t *core, AprLink_t link,
                        const AprMessage_t *message)
{
    if (message->type == APR_MSG_CONFIG) {
        take_and_pass_on(core, message->text.text.data,
                         message->text.text.size);
        return;
    }
    send_all(core, link);
}

/* Pulls the configuration from a peer whose digest differs. Both sides of a
   pair compare, so the one that is behind catches up. */
void
AprConfigSync_Compare(AprCore_t *core, AprLink_t link, uint64_t digest)
{
    AprMessage_t message = {0};
    struct timespec now = AprCore_Now(core);

    if (digest == core->config_digest ||
        AprTime_Before(now, core->next_config_pull)) {
        return;
    }
    core->next_config_pull = AprTime_AddMs(now, PULL_INTERVAL_MS);
    message.type = APR_MSG_CONFIG_GET;
    message.text.version = core->generation;
    AprLinks_Send(core, link, &message);
}

/* Asks a peer for every service and sends it all that is known here: between
   processes that exchange no renewals nobody else notices who is behind. */
void
AprConfigSync_Exchange(AprCore_t *core, AprLink_t link)
{
    AprMessage_t message = {0};

    message.type = APR_MSG_CONFIG_GET;
    message.text.version = core->generation;
    AprLinks_Send(core, link, &message);
    if (apr_sync_rules.tell_outside) {
        send_all(core, link);
    }
}
