#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "internal/core.h"

#define STATUS_OK 200
#define STATUS_ACCEPTED 202
#define STATUS_BAD_REQUEST 400
#define STATUS_NOT_FOUND 404
#define STATUS_CONFLICT 409

/* Sets the answer of a request; releases `value`. */
static void
set_json_answer(AprAdminRequest_t *request, int status, json_t *value)
{
    request->status = status;
    request->response_body = json_dumps(value, JSON_COMPACT);
    json_decref(value);
}

static void
set_success(AprAdminRequest_t *request)
{
    set_json_answer(request, STATUS_OK, json_pack("{s:b}", "ok", 1));
}

static void
set_failure(AprAdminRequest_t *request, int status, const char *detail)
{
    set_json_answer(request, status,
                    json_pack("{s:b,s:s}", "ok", 0, "detail", detail));
}

static json_t *
member_services(const AprRecord_t *record, const AprMemberEntry_t *member)
{
    json_t *services = json_array();

    for (int i = 0; i < record->service_count; i++) {
        if ((member->offered_services >> i) & 1u) {
            json_array_append_new(services,
                                  json_string(record->services[i].name));
        }
    }
    return services;
}

static json_t *
member_json(const AprRecord_t *record, const AprMemberEntry_t *member)
{
    json_t *witnesses = json_array();

    for (int i = 0; i < member->witness_count; i++) {
        json_array_append_new(witnesses, json_string(member->witnesses[i]));
    }
    return json_pack(
        "{s:s,s:I,s:s,s:s,s:s,s:s,s:s,s:o,s:o}", "host", member->host,
        "incarnation", (json_int_t)member->incarnation, "state",
        member->state == APR_MEMBER_DRAINING ? "draining" : "active",
        "failure_domain", member->failure_domain, "peers",
        member->peer_address, "admin", member->admin_address, "callers",
        member->caller_address, "services", member_services(record, member),
        "witnesses", witnesses);
}

static json_t *
members_json(const AprRecord_t *record)
{
    json_t *members = json_array();

    for (int i = 0; i < APR_MAX_MEMBERS; i++) {
        if (record->members[i].state != APR_MEMBER_FREE) {
            json_array_append_new(members,
                                  member_json(record, &record->members[i]));
        }
    }
    return members;
}

static json_t *
partitions_json(const AprRecord_t *record, int service)
{
    json_t *partitions = json_object();

    for (int i = 0; i < APR_MAX_MEMBERS; i++) {
        int owned =
            AprRecord_CountOwnedPartitions(record, service, (AprMember_t)i);

        if (record->members[i].state != APR_MEMBER_FREE && owned > 0) {
            json_object_set_new(partitions, record->members[i].host,
                                json_integer(owned));
        }
    }
    return partitions;
}

static json_t *
ranks_json(const AprServiceState_t *service)
{
    json_t *ranks = json_array();

    for (int i = 0; i < service->config.rank_count; i++) {
        const AprRankCounters_t *counters = &service->counters[i];
        uint32_t queued =
            service->queue == NULL
                ? 0
                : AprRankQueue_Size(service->queue->rank_queue, i);

        json_array_append_new(
            ranks,
            json_pack(
                "{s:s,s:I,s:I,s:I,s:I}", "name", service->config.ranks[i].name,
                "queued", (json_int_t)queued, "answered",
                (json_int_t)AprMetric_Value(counters->answered), "not_run",
                (json_int_t)AprMetric_Value(counters->not_run), "unknown",
                (json_int_t)AprMetric_Value(counters->unknown)));
    }
    return ranks;
}

static json_t *
service_json(const AprCore_t *core, const AprServiceState_t *service)
{
    int index = AprRecord_FindService(core->record, service->config.service);
    int unowned = 0;
    int hot = 0;
    int running = service->queue == NULL
                      ? 0
                      : AprRankQueue_Running(service->queue->rank_queue);

    for (int p = 0; index >= 0 && p < APR_PARTITIONS; p++) {
        unowned +=
            core->record->services[index].partitions[p].owner == APR_NO_MEMBER;
    }
    for (int slot = 0; index >= 0 && slot < APR_HOT_SLOTS; slot++) {
        hot += core->record->services[index].hot_slot_used[slot];
    }
    return json_pack(
        "{s:s,s:I,s:o,s:i,s:i,s:o,s:i,s:i,s:b}", "name",
        service->config.service, "generation",
        (json_int_t)service->config.generation, "partitions",
        index < 0 ? json_object() : partitions_json(core->record, index),
        "unowned", unowned, "hot", hot, "ranks", ranks_json(service),
        "running", running, "slots", service->backend.slots, "backend_alive",
        service->backend.alive);
}

static json_t *
services_json(const AprCore_t *core)
{
    json_t *services = json_array();

    for (int i = 0; i < core->service_count; i++) {
        json_array_append_new(services, service_json(core, core->services[i]));
    }
    return services;
}

static json_t *
status_json(const AprCore_t *core)
{
    return json_pack(
        "{s:s,s:s,s:I,s:I,s:b,s:b,s:s,s:o,s:o}", "host", core->settings.host,
        "cell", core->settings.cell, "record_version",
        (json_int_t)core->record->version, "generation",
        (json_int_t)core->max_generation, "lease_valid",
        AprLease_IsValid(core->lease, AprCore_Now(core)), "member",
        AprCore_IsMember(core), "store", core->store_available ? "ok" : "down",
        "members", members_json(core->record), "services",
        services_json(core));
}

static json_t *
links_json(const AprCore_t *core)
{
    json_t *links = json_array();
    GHashTableIter iterator;
    gpointer value;

    g_hash_table_iter_init(&iterator, core->links);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const AprOutboundLink_t *link = value;

        json_array_append_new(links, json_pack("{s:s,s:s,s:b}", "host",
                                               link->host, "address",
                                               link->address, "up", link->up));
    }
    return links;
}

static json_t *
owned_requests_json(const AprCore_t *core)
{
    static const char *const names[] = {"free", "queued", "running", "held",
                                        "waiting"};
    int counts[G_N_ELEMENTS(names)] = {0};
    json_t *owned = json_object();

    for (guint i = 0; i < core->owned_requests->len; i++) {
        const AprOwnedRequest_t *request =
            g_ptr_array_index(core->owned_requests, i);

        counts[request->state]++;
    }
    for (size_t i = 1; i < G_N_ELEMENTS(names); i++) {
        json_object_set_new(owned, names[i], json_integer(counts[i]));
    }
    return owned;
}

/* Returns the status with the internal state of the process, for diagnosis. */
static json_t *
dump_json(const AprCore_t *core)
{
    char *text = AprRecord_ToJson(core->record);
    json_t *record = text == NULL ? NULL : json_loads(text, 0, NULL);
    json_t *dump = status_json(core);

    free(text);
    json_object_set_new(dump, "incarnation",
                        json_integer((json_int_t)core->incarnation));
    json_object_set_new(dump, "membership", json_integer(core->membership));
    json_object_set_new(
        dump, "lease_remaining_ms",
        json_integer(AprTime_DiffMs(AprLease_ValidUntil(core->lease),
                                    AprCore_Now(core))));
    json_object_set_new(dump, "links", links_json(core));
    json_object_set_new(dump, "requests", owned_requests_json(core));
    json_object_set_new(
        dump, "entry_requests",
        json_integer((json_int_t)g_hash_table_size(core->entries)));
    json_object_set_new(
        dump, "outcomes",
        json_integer((json_int_t)AprOutcomes_Count(core->outcomes)));
    json_object_set_new(dump, "queued_changes",
                        json_integer((json_int_t)g_queue_get_length(
                            (GQueue *)&core->pending_changes)));
    json_object_set_new(dump, "moves",
                        json_integer(AprHandover_CountActive(core)));
    json_object_set_new(
        dump, "removal_attempts",
        json_integer((json_int_t)g_hash_table_size(core->removal_attempts)));
    json_object_set_new(dump, "watching",
                        json_boolean(AprStoreWorker_IsWatching(core->store)));
    json_object_set_new(dump, "record", record == NULL ? json_null() : record);
    return dump;
}

static void
handle_where(AprCore_t *core, AprAdminRequest_t *request)
{
    int service = AprRecord_FindService(core->record, request->service);
    uint64_t hash =
        AprKey_Hash(request->service, request->key, strlen(request->key));
    const AprPartitionEntry_t *entry;
    const AprMemberEntry_t *owner = NULL;
    int partition;

    if (service < 0) {
        set_failure(request, STATUS_NOT_FOUND, "unknown service");
        return;
    }
    partition = AprRecord_FindPartition(core->record, service, hash);
    entry = &core->record->services[service].partitions[partition];
    if (entry->owner != APR_NO_MEMBER) {
        owner = &core->record->members[entry->owner];
    }
    set_json_answer(request, STATUS_OK,
                    json_pack("{s:s,s:s,s:i,s:s?,s:I,s:s?}", "service",
                              request->service, "key", request->key,
                              "partition", partition, "owner",
                              owner ? owner->host : NULL, "epoch",
                              (json_int_t)entry->epoch, "callers",
                              owner ? owner->caller_address : NULL));
}

static void
update_local_backend(AprCore_t *core, int index, json_t *body)
{
    AprServiceState_t *service = core->services[index];
    AprLocalBackend_t *backend = &service->backend;
    const char *address = json_string_value(json_object_get(body, "address"));
    int slots = (int)json_integer_value(json_object_get(body, "slots"));
    bool changed = !backend->alive || backend->slots != slots ||
                   strcmp(backend->address, address) != 0;

    backend->alive = true;
    backend->announced_at = AprCore_Now(core);
    backend->slots = slots;
    backend->connections =
        (int)json_integer_value(json_object_get(body, "connections"));
    backend->verifies_grants =
        json_is_true(json_object_get(body, "checks_grants"));
    g_strlcpy(backend->address, address, sizeof(backend->address));
    if (changed) {
        AprLog_Write(APR_LOG_INFO, "backend-announced",
                     "service=%s address=%s slots=%d", service->config.service,
                     backend->address, slots);
        AprOwner_RebuildQueue(core, index);
    }
}

static bool
announcement_is_valid(json_t *body)
{
    json_int_t slots = json_integer_value(json_object_get(body, "slots"));

    return json_is_string(json_object_get(body, "service")) &&
           json_is_string(json_object_get(body, "address")) && slots >= 1 &&
           slots <= 4096;
}

static void
handle_announce(AprCore_t *core, AprAdminRequest_t *request)
{
    json_t *body = json_loadb(request->body, request->body_size, 0, NULL);
    int index;

    if (body == NULL || !announcement_is_valid(body)) {
        set_failure(request, STATUS_BAD_REQUEST,
                    "service, address and slots (1 to 4096) are required");
        json_decref(body);
        return;
    }
    index = AprCore_AddService(
        core, json_string_value(json_object_get(body, "service")));
    if (index < 0) {
        set_failure(request, STATUS_CONFLICT, "too many services");
    }
    else {
        update_local_backend(core, index, body);
        set_success(request);
    }
    json_decref(body);
}

static void
handle_move(AprCore_t *core, AprAdminRequest_t *request)
{
    int service = AprRecord_FindService(core->record, request->service);
    int index = AprCore_FindService(core, request->service);
    AprMember_t to = AprRecord_FindHost(core->record, request->target_host);
    uint64_t hash =
        AprKey_Hash(request->service, request->key, strlen(request->key));
    uint16_t partition;

    if (service < 0 || index < 0 || to == APR_NO_MEMBER) {
        set_failure(request, STATUS_NOT_FOUND, "unknown service or host");
        return;
    }
    partition = (uint16_t)AprRecord_FindPartition(core->record, service, hash);
    if (!AprOwner_Owns(core, index, partition)) {
        set_failure(request, STATUS_CONFLICT,
                    "this host does not own the key; ask its owner");
        return;
    }
    AprHandover_QueueRequest(core, index, request->target_host, partition);
    set_success(request);
}

/* A removal that an operator confirmed, without consents of witnesses. */
typedef struct ForcedRemoval_t {
    char host[APR_NAME_SIZE];
    uint64_t incarnation;
} ForcedRemoval_t;

static int
apply_forced_removal(AprCore_t *core, AprRecord_t *record, void *argument)
{
    const ForcedRemoval_t *removal = argument;
    AprMember_t member = AprRecord_FindHost(record, removal->host);

    if (member == APR_NO_MEMBER ||
        record->members[member].incarnation != removal->incarnation) {
        return APR_E_EXISTS;
    }
    AprRecord_RemoveMember(record, member);
    AprMembership_AssignUnowned(core, record);
    return APR_OK;
}

static void
on_forced_removal_done(AprCore_t *core, int result, void *argument)
{
    ForcedRemoval_t *removal = argument;

    (void)core;
    AprLog_Write(APR_LOG_WARN, "member-removed-by-operator",
                 "member=%s result=%s", removal->host, AprError_Name(result));
    free(removal);
}

static void
handle_remove_host(AprCore_t *core, AprAdminRequest_t *request)
{
    AprMember_t member = AprRecord_FindHost(core->record, request->host);
    ForcedRemoval_t *removal;

    if (!request->confirmed) {
        set_failure(request, STATUS_BAD_REQUEST,
                    "confirm=dead is required: a host that still runs would "
                    "serve keys that another host serves too");
        return;
    }
    if (member == APR_NO_MEMBER) {
        set_failure(request, STATUS_NOT_FOUND, "unknown host");
        return;
    }
    removal = calloc(1, sizeof(*removal));
    if (removal == NULL) {
        set_failure(request, STATUS_CONFLICT, "out of memory");
        return;
    }
    g_strlcpy(removal->host, request->host, sizeof(removal->host));
    removal->incarnation = core->record->members[member].incarnation;
    AprRecordSync_QueueChange(core, apply_forced_removal,
                              on_forced_removal_done, removal);
    set_success(request);
    request->status = STATUS_ACCEPTED;
}

static void
handle_drain(AprCore_t *core, AprAdminRequest_t *request, bool draining)
{
    if (!AprCore_IsMember(core)) {
        set_failure(request, STATUS_CONFLICT, "this host is not a member");
        return;
    }
    atomic_store(&core->draining, draining);
    set_success(request);
}

/* Handles one request of the admin interface and completes it with a status
   and a JSON answer. */
void
AprAdmin_HandleRequest(AprCore_t *core, AprAdminRequest_t *request)
{
    const char *path = request->path;

    if (strcmp(path, "/status") == 0) {
        set_json_answer(request, STATUS_OK, status_json(core));
    }
    else if (strcmp(path, "/dump") == 0) {
        set_json_answer(request, STATUS_OK, dump_json(core));
    }
    else if (strcmp(path, "/where") == 0) {
        handle_where(core, request);
    }
    else if (strcmp(path, "/announce") == 0) {
        handle_announce(core, request);
    }
    else if (strcmp(path, "/drain") == 0) {
        handle_drain(core, request, true);
    }
    else if (strcmp(path, "/undrain") == 0) {
        handle_drain(core, request, false);
    }
    else if (strcmp(path, "/move") == 0) {
        handle_move(core, request);
    }
    else if (strcmp(path, "/remove-host") == 0) {
        handle_remove_host(core, request);
    }
    else {
        set_failure(request, STATUS_NOT_FOUND, "unknown path");
    }
    AprAdminRequest_Complete(request);
}
