#include "apricot/record.h"

#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "internal/record_check.h"

/* Version of the JSON form. Columns of the partition table are run-length
   encoded as [value, count, ...], because neighbouring partitions
   mostly change together. Hashes and handover ids use all 64 bits
   and are hexadecimal strings; other numbers are JSON integers. */
#define RECORD_FORMAT 1
#define HEX_SIZE 17

static const char *const state_names[] = {"free", "active", "draining"};

static json_t *
encode_hex(uint64_t value)
{
    char text[HEX_SIZE];

    snprintf(text, sizeof(text), "%" PRIx64, value);
    return json_string(text);
}

static json_t *
encode_int(uint64_t value)
{
    return json_integer((json_int_t)value);
}

static json_t *
encode_member(const AprMemberEntry_t *entry, int slot)
{
    json_t *witnesses = json_array();

    for (int i = 0; i < entry->witness_count; i++) {
        json_array_append_new(witnesses, json_string(entry->witnesses[i]));
    }
    return json_pack(
        "{si ss ss sI ss ss ss ss ss sI so sI}", "slot", slot, "state",
        state_names[entry->state], "host", entry->host, "incarnation",
        (json_int_t)entry->incarnation, "peer", entry->peer_address, "admin",
        entry->admin_address, "caller", entry->caller_address, "domain",
        entry->failure_domain, "region", entry->region, "services",
        (json_int_t)entry->offered_services, "witnesses", witnesses,
        "joined_at_ms", (json_int_t)entry->joined_at_ms);
}

static uint64_t
owner_column(const AprPartitionEntry_t *entry)
{
    return entry->owner;
}

static uint64_t
epoch_column(const AprPartitionEntry_t *entry)
{
    return entry->epoch;
}

static uint64_t
handover_column(const AprPartitionEntry_t *entry)
{
    return entry->handover_id;
}

/* Encodes one column of the partition table as [value, count, ...]. */
static json_t *
encode_runs(const AprServiceTable_t *table,
            uint64_t (*column)(const AprPartitionEntry_t *entry),
            json_t *(*encode)(uint64_t value))
{
    json_t *runs = json_array();
    int start = 0;

    for (int i = 1; i <= APR_SLOTS; i++) {
        uint64_t value = column(&table->partitions[start]);

        if (i == APR_SLOTS || column(&table->partitions[i]) != value) {
            json_array_append_new(runs, encode(value));
            json_array_append_new(runs, json_integer(i - start));
            start = i;
        }
    }
    return runs;
}

static json_t *
encode_service(const AprServiceTable_t *table)
{
    json_t *hot = json_array();

    for (int i = 0; i < APR_HOT_SLOTS; i++) {
        if (table->hot_slot_used[i]) {
            json_array_append_new(hot, json_integer(i));
            json_array_append_new(hot,
                                  encode_hex(table->hot_slot_key_hash[i]));
        }
    }
    return json_pack("{ss so so so so}", "name", table->name, "owners",
                     encode_runs(table, owner_column, encode_int), "epochs",
                     encode_runs(table, epoch_column, encode_int), "handovers",
                     encode_runs(table, handover_column, encode_hex), "hot",
                     hot);
}

/* Returns the JSON text of a record without its store revision, allocated with
   malloc; the caller frees it. Returns NULL for an inconsistent record or when
   memory runs out. */
char *
AprRecord_ToJson(const AprRecord_t *record)
{
    json_t *members = json_array();
    json_t *removed = json_array();
    json_t *services = json_array();
    json_t *root;
    char *text = NULL;

    for (int i = 0; i < APR_MAX_MEMBERS; i++) {
        if (record->members[i].state != APR_MEMBER_FREE) {
            json_array_append_new(members,
                                  encode_member(&record->members[i], i));
        }
    }
    for (int i = 0; i < record->removed_host_count; i++) {
        json_array_append_new(removed,
                              json_string(record->removed_hosts[i].host));
        json_array_append_new(
            removed, encode_int(record->removed_hosts[i].incarnation));
    }
    for (int i = 0; i < record->service_count; i++) {
        json_array_append_new(services, encode_service(&record->services[i]));
    }
    root =
        json_pack("{si sI ss so so so}", "format", RECORD_FORMAT, "version",
                  (json_int_t)record->version, "cell", record->cell, "members",
                  members, "removed", removed, "services", services);
    if (root != NULL && AprRecordCheck_IsConsistent(record)) {
        text = json_dumps(root, JSON_COMPACT);
    }
    json_decref(root);
    return text;
}

static bool
read_text(const json_t *json, char target[APR_NAME_SIZE])
{
    const char *text = json_string_value(json);

    if (text == NULL || json_string_length(json) >= APR_NAME_SIZE) {
        return false;
    }
    memcpy(target, text, json_string_length(json) + 1);
    return AprRecordCheck_IsText(target);
}

static bool
read_int(const json_t *json, uint64_t limit, uint64_t *value)
{
    if (!json_is_integer(json) || json_integer_value(json) < 0) {
        return false;
    }
    *value = (uint64_t)json_integer_value(json);
    return *value <= limit;
}

static bool
read_number(const json_t *json, uint64_t *value)
{
    return read_int(json, INT64_MAX, value);
}

static bool
read_owner(const json_t *json, uint64_t *value)
{
    return read_int(json, APR_NO_MEMBER, value);
}

/* Parses a hexadecimal string. Accepts only the form that encode_hex writes:
   lower case without leading zeros. */
static bool
read_hex(const json_t *json, uint64_t *value)
{
    const char *text = json_string_value(json);
    size_t size = text == NULL ? 0 : json_string_length(json);

    if (size == 0 || size >= HEX_SIZE || (size > 1 && text[0] == '0') ||
        strspn(text, "0123456789abcdef") != size) {
        return false;
    }
    *value = strtoull(text, NULL, 16);
    return true;
}

static bool
read_state(const json_t *json, AprMemberState_t *state)
{
    const char *text = json_string_value(json);

    for (int i = APR_MEMBER_ACTIVE; text && i <= APR_MEMBER_DRAINING; i++) {
        if (strcmp(text, state_names[i]) == 0) {
            *state = (AprMemberState_t)i;
            return true;
        }
    }
    return false;
}

static bool
read_witnesses(const json_t *json, AprMemberEntry_t *entry)
{
    size_t count = json_array_size(json);

    if (!json_is_array(json) || count > APR_MAX_WITNESSES) {
        return false;
    }
    entry->witness_count = (int)count;
    for (size_t i = 0; i < count; i++) {
        if (!read_text(json_array_get(json, i), entry->witnesses[i])) {
            return false;
        }
    }
    return true;
}

static bool
read_member(const json_t *json, AprRecord_t *record)
{
    uint64_t slot;
    uint64_t services;
    uint64_t joined_at;
    AprMemberEntry_t *entry;

    if (json_object_size(json) != 12 ||
        !read_int(json_object_get(json, "slot"), APR_MAX_MEMBERS - 1, &slot) ||
        record->members[slot].state != APR_MEMBER_FREE) {
        return false;
    }
    entry = &record->members[slot];
    if (!read_state(json_object_get(json, "state"), &entry->state) ||
        !read_text(json_object_get(json, "host"), entry->host) ||
        !read_number(json_object_get(json, "incarnation"),
                     &entry->incarnation) ||
        !read_text(json_object_get(json, "peer"), entry->peer_address) ||
        !read_text(json_object_get(json, "admin"), entry->admin_address) ||
        !read_text(json_object_get(json, "caller"), entry->caller_address) ||
        !read_text(json_object_get(json, "domain"), entry->failure_domain) ||
        !read_text(json_object_get(json, "region"), entry->region) ||
        !read_int(json_object_get(json, "services"), UINT32_MAX, &services) ||
        !read_number(json_object_get(json, "joined_at_ms"), &joined_at) ||
        !read_witnesses(json_object_get(json, "witnesses"), entry)) {
        return false;
    }
    entry->offered_services = (uint32_t)services;
    entry->joined_at_ms = (int64_t)joined_at;
    return true;
}

static bool
read_removed(const json_t *json, AprRecord_t *record)
{
    size_t count = json_array_size(json);

    if (!json_is_array(json) || count % 2 != 0 ||
        count / 2 > APR_MAX_REMOVED) {
        return false;
    }
    record->removed_host_count = (int)(count / 2);
    for (size_t i = 0; i < count / 2; i++) {
        if (!read_text(json_array_get(json, 2 * i),
                       record->removed_hosts[i].host) ||
            !read_number(json_array_get(json, 2 * i + 1),
                         &record->removed_hosts[i].incarnation)) {
            return false;
        }
    }
    return true;
}

/* Decodes [value, count, ...]. Returns false unless it has exactly APR_SLOTS
   values. */
static bool
read_runs(const json_t *json, bool (*decode)(const json_t *json, uint64_t *),
          uint64_t values[APR_SLOTS])
{
    size_t size = json_array_size(json);
    uint64_t filled = 0;

    if (!json_is_array(json) || size % 2 != 0) {
        return false;
    }
    for (size_t i = 0; i < size; i += 2) {
        uint64_t value;
        uint64_t count;

        if (!decode(json_array_get(json, i), &value) ||
            !read_int(json_array_get(json, i + 1), APR_SLOTS - filled,
                      &count) ||
            count == 0) {
            return false;
        }
        for (uint64_t j = 0; j < count; j++) {
            values[filled++] = value;
        }
    }
    return filled == APR_SLOTS;
}

static bool
read_hot_slots(const json_t *json, AprServiceTable_t *table)
{
    size_t size = json_array_size(json);

    if (!json_is_array(json) || size % 2 != 0) {
        return false;
    }
    for (size_t i = 0; i < size; i += 2) {
        uint64_t slot;

        if (!read_int(json_array_get(json, i), APR_HOT_SLOTS - 1, &slot) ||
            table->hot_slot_used[slot] ||
            !read_hex(json_array_get(json, i + 1),
                      &table->hot_slot_key_hash[slot])) {
            return false;
        }
        table->hot_slot_used[slot] = true;
    }
    return true;
}

static bool
read_service(const json_t *json, AprServiceTable_t *table)
{
    uint64_t owners[APR_SLOTS];
    uint64_t epochs[APR_SLOTS];
    uint64_t handovers[APR_SLOTS];

    if (json_object_size(json) != 5 ||
        !read_text(json_object_get(json, "name"), table->name) ||
        !read_runs(json_object_get(json, "owners"), read_owner, owners) ||
        !read_runs(json_object_get(json, "epochs"), read_number, epochs) ||
        !read_runs(json_object_get(json, "handovers"), read_hex, handovers) ||
        !read_hot_slots(json_object_get(json, "hot"), table)) {
        return false;
    }
    for (int i = 0; i < APR_SLOTS; i++) {
        table->partitions[i].owner = (AprMember_t)owners[i];
        table->partitions[i].epoch = epochs[i];
        table->partitions[i].handover_id = handovers[i];
    }
    return true;
}

static bool
read_members(const json_t *json, AprRecord_t *record)
{
    if (!json_is_array(json) || json_array_size(json) > APR_MAX_MEMBERS) {
        return false;
    }
    for (size_t i = 0; i < json_array_size(json); i++) {
        if (!read_member(json_array_get(json, i), record)) {
            return false;
        }
    }
    return true;
}

static bool
read_services(const json_t *json, AprRecord_t *record)
{
    if (!json_is_array(json) || json_array_size(json) > APR_MAX_SERVICES) {
        return false;
    }
    record->service_count = (int)json_array_size(json);
    for (size_t i = 0; i < json_array_size(json); i++) {
        if (!read_service(json_array_get(json, i), &record->services[i])) {
            return false;
        }
    }
    return true;
}

/* Parses a whole record. Returns the name of the first malformed part, or
   NULL. */
static const char *
read_record(const json_t *root, AprRecord_t *record)
{
    uint64_t format;

    if (json_object_size(root) != 6 ||
        !read_int(json_object_get(root, "format"), RECORD_FORMAT, &format) ||
        format != RECORD_FORMAT) {
        return "format";
    }
    if (!read_number(json_object_get(root, "version"), &record->version)) {
        return "version";
    }
    if (!read_text(json_object_get(root, "cell"), record->cell)) {
        return "cell";
    }
    if (!read_members(json_object_get(root, "members"), record)) {
        return "members";
    }
    if (!read_removed(json_object_get(root, "removed"), record)) {
        return "removed";
    }
    if (!read_services(json_object_get(root, "services"), record)) {
        return "services";
    }
    return AprRecordCheck_IsConsistent(record) ? NULL : "consistency";
}

/* Parses a record and sets its store revision to 0. Returns APR_E_PARSE for a
   text that is not JSON of this form, is out of range or is inconsistent;
   *record is then undefined. */
int
AprRecord_FromJson(const char *text, size_t size, AprRecord_t *record,
                   AprError_t *error)
{
    json_error_t parse_error;
    const char *part;
    json_t *root =
        json_loadb(text, size, JSON_REJECT_DUPLICATES, &parse_error);

    if (root == NULL) {
        return AprError_Set(error, APR_E_PARSE, APR_STEP_RECORD, NULL,
                            "record is not JSON: %s at byte %d",
                            parse_error.text, parse_error.position);
    }
    memset(record, 0, sizeof(*record));
    part = read_record(root, record);
    json_decref(root);
    if (part != NULL) {
        return AprError_Set(error, APR_E_PARSE, APR_STEP_RECORD, NULL,
                            "record is malformed: %s", part);
    }
    return APR_OK;
}
