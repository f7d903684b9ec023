#include "internal/record_check.h"

#include <string.h>

#include "internal/lease_rules.h"

/* Returns whether a text is printable ASCII and terminated within
   APR_NAME_SIZE bytes. Names are written to JSON, headers and log lines, where
   control characters would break the line. */
bool
AprRecordCheck_IsText(const char *text)
{
    for (int i = 0; i < APR_NAME_SIZE; i++) {
        if (text[i] == '\0') {
            return true;
        }
        if (text[i] < ' ' || text[i] > '~') {
            return false;
        }
    }
    return false;
}

/* Returns whether a text is a valid name: printable and not empty. */
bool
AprRecordCheck_IsName(const char *name)
{
    return name[0] != '\0' && AprRecordCheck_IsText(name);
}

static bool
check_witnesses(const AprMemberEntry_t *entry)
{
    if (entry->witness_count < 0 || entry->witness_count > APR_MAX_WITNESSES) {
        return false;
    }
    for (int i = 0; i < entry->witness_count; i++) {
        if (!AprRecordCheck_IsName(entry->witnesses[i]) ||
            strcmp(entry->witnesses[i], entry->host) == 0) {
            return false;
        }
        for (int j = 0; j < i; j++) {
            if (strcmp(entry->witnesses[i], entry->witnesses[j]) == 0) {
                return false;
            }
        }
    }
    return true;
}

/* Returns whether the fields of a member are in range. Incarnations are
   limited to INT64_MAX, because the JSON form has signed 64-bit integers. */
bool
AprRecordCheck_IsValidEntry(const AprMemberEntry_t *entry)
{
    return entry->state <= APR_MEMBER_DRAINING &&
           AprRecordCheck_IsName(entry->host) && entry->incarnation > 0 &&
           entry->incarnation <= INT64_MAX &&
           AprRecordCheck_IsText(entry->peer_address) &&
           AprRecordCheck_IsText(entry->admin_address) &&
           AprRecordCheck_IsText(entry->caller_address) &&
           AprRecordCheck_IsText(entry->failure_domain) &&
           AprRecordCheck_IsText(entry->region) && entry->joined_at_ms >= 0 &&
           check_witnesses(entry);
}

/* Returns whether the handle refers to a member. */
bool
AprRecordCheck_IsMember(const AprRecord_t *record, AprMember_t member)
{
    return member < APR_MAX_MEMBERS &&
           record->members[member].state != APR_MEMBER_FREE;
}

/* Returns whether the index refers to a service of the record. */
bool
AprRecordCheck_IsService(const AprRecord_t *record, int service)
{
    return service >= 0 && service < record->service_count;
}

/* Returns whether each set bit is the index of a service of the record. */
bool
AprRecordCheck_AreServices(const AprRecord_t *record, uint32_t services)
{
    return (services >> record->service_count) == 0;
}

/* Returns whether the index refers to a partition or to a hot slot in use. */
bool
AprRecordCheck_IsPartition(const AprServiceTable_t *table, int partition)
{
    return partition >= 0 && partition < APR_SLOTS &&
           (partition < APR_PARTITIONS ||
            table->hot_slot_used[partition - APR_PARTITIONS]);
}

/* Returns whether all names are host names of members. */
bool
AprRecordCheck_AreMembers(const AprRecord_t *record,
                          const char (*witnesses)[APR_NAME_SIZE], int count)
{
    for (int i = 0; i < count; i++) {
        if (AprRecord_FindHost(record, witnesses[i]) == APR_NO_MEMBER) {
            return false;
        }
    }
    return true;
}

static bool
check_members(const AprRecord_t *record)
{
    for (int i = 0; i < APR_MAX_MEMBERS; i++) {
        const AprMemberEntry_t *entry = &record->members[i];

        if (entry->state == APR_MEMBER_FREE) {
            continue;
        }
        if (!AprRecordCheck_IsValidEntry(entry) ||
            !AprRecordCheck_AreServices(record, entry->offered_services) ||
            AprRecord_FindHost(record, entry->host) != i ||
            (apr_lease_rules.reject_removed_incarnation &&
             AprRecord_LastRemovedIncarnation(record, entry->host) >=
                 entry->incarnation)) {
            return false;
        }
    }
    return true;
}

static bool
check_removed(const AprRecord_t *record)
{
    if (record->removed_host_count < 0 ||
        record->removed_host_count > APR_MAX_REMOVED) {
        return false;
    }
    for (int i = 0; i < record->removed_host_count; i++) {
        const AprRemovedHost_t *removed = &record->removed_hosts[i];

        if (!AprRecordCheck_IsName(removed->host) ||
            removed->incarnation == 0 || removed->incarnation > INT64_MAX) {
            return false;
        }
        for (int j = 0; j < i; j++) {
            if (strcmp(record->removed_hosts[j].host, removed->host) == 0) {
                return false;
            }
        }
    }
    return true;
}

static bool
check_hot_slots(const AprServiceTable_t *table)
{
    for (int i = 0; i < APR_HOT_SLOTS; i++) {
        if (!table->hot_slot_used[i]) {
            continue;
        }
        for (int j = 0; j < i; j++) {
            if (table->hot_slot_used[j] &&
                table->hot_slot_key_hash[j] == table->hot_slot_key_hash[i]) {
                return false;
            }
        }
    }
    return true;
}

static bool
check_service(const AprRecord_t *record, int service)
{
    const AprServiceTable_t *table = &record->services[service];

    if (!AprRecordCheck_IsName(table->name) ||
        AprRecord_FindService(record, table->name) != service ||
        !check_hot_slots(table)) {
        return false;
    }
    for (int i = 0; i < APR_SLOTS; i++) {
        const AprPartitionEntry_t *entry = &table->partitions[i];

        if (entry->epoch > record->version ||
            (entry->owner != APR_NO_MEMBER &&
             (!AprRecordCheck_IsMember(record, entry->owner) ||
              !AprRecordCheck_IsPartition(table, i)))) {
            return false;
        }
    }
    return true;
}

/* Returns whether the whole record is consistent: names and numbers are in
   range; hosts, services and hot keys are unique; every owner is a member; no
   epoch is above the version; every member is newer than the last removed
   incarnation of its host. */
bool
AprRecordCheck_IsConsistent(const AprRecord_t *record)
{
    if (!AprRecordCheck_IsName(record->cell) || record->version > INT64_MAX ||
        record->service_count < 0 ||
        record->service_count > APR_MAX_SERVICES || !check_removed(record) ||
        !check_members(record)) {
        return false;
    }
    for (int i = 0; i < record->service_count; i++) {
        if (!check_service(record, i)) {
            return false;
        }
    }
    return true;
}
