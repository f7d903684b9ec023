#include "internal/record_check.h"

#include <string.h>

#include "internal/lease_rules.h"

/* Whether a text is terminated within a name's size and printable ASCII.
   Names go into JSON, headers and log lines, where control characters would
   break the line. */
bool
AprRecordCheck_Text(const char *text)
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

/* Whether a text is a name: not empty, printable. */
bool
AprRecordCheck_Name(const char *name)
{
    return name[0] != '\0' && AprRecordCheck_Text(name);
}

static bool
check_witnesses(const AprMemberEntry_t *entry)
{
    if (entry->witness_count < 0 || entry->witness_count > APR_MAX_WITNESSES) {
        return false;
    }
    for (int i = 0; i < entry->witness_count; i++) {
        if (!AprRecordCheck_Name(entry->witnesses[i]) ||
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

/* Whether the fields of a member are in range. Incarnations stay within the
   integers that JSON readers keep exact. */
bool
AprRecordCheck_Entry(const AprMemberEntry_t *entry)
{
    return entry->state <= APR_MEMBER_DRAINING &&
           AprRecordCheck_Name(entry->host) && entry->incarnation > 0 &&
           entry->incarnation <= INT64_MAX &&
           AprRecordCheck_Text(entry->peer_address) &&
           AprRecordCheck_Text(entry->admin_address) &&
           AprRecordCheck_Text(entry->caller_address) &&
           AprRecordCheck_Text(entry->failure_domain) &&
           AprRecordCheck_Text(entry->region) && entry->joined_at_ms >= 0 &&
           check_witnesses(entry);
}

/* Whether the handle names a member. */
bool
AprRecordCheck_Member(const AprRecord_t *record, AprMember_t member)
{
    return member < APR_MAX_MEMBERS &&
           record->members[member].state != APR_MEMBER_FREE;
}

/* Whether the index names a service. */
bool
AprRecordCheck_Service(const AprRecord_t *record, int service)
{
    return service >= 0 && service < record->service_count;
}

/* Whether all bits belong to services of the record. */
bool
AprRecordCheck_Services(const AprRecord_t *record, uint32_t services)
{
    return (services >> record->service_count) == 0;
}

/* Whether the index names a partition or a used hot slot. */
bool
AprRecordCheck_Partition(const AprServiceTable_t *table, int partition)
{
    return partition >= 0 && partition < APR_SLOTS &&
           (partition < APR_PARTITIONS ||
            table->hot_used[partition - APR_PARTITIONS]);
}

/* Whether all names are members of the record. */
bool
AprRecordCheck_WitnessesAreMembers(const AprRecord_t *record,
                                   const char (*witnesses)[APR_NAME_SIZE],
                                   int count)
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
        if (!AprRecordCheck_Entry(entry) ||
            !AprRecordCheck_Services(record, entry->services) ||
            AprRecord_FindHost(record, entry->host) != i ||
            (apr_lease_rules.removed_incarnation &&
             AprRecord_RemovedIncarnation(record, entry->host) >=
                 entry->incarnation)) {
            return false;
        }
    }
    return true;
}

static bool
check_removed(const AprRecord_t *record)
{
    if (record->removed_count < 0 || record->removed_count > APR_MAX_REMOVED) {
        return false;
    }
    for (int i = 0; i < record->removed_count; i++) {
        const AprRemovedHost_t *removed = &record->removed[i];

        if (!AprRecordCheck_Name(removed->host) || removed->incarnation == 0 ||
            removed->incarnation > INT64_MAX) {
            return false;
        }
        for (int j = 0; j < i; j++) {
            if (strcmp(record->removed[j].host, removed->host) == 0) {
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
        if (!table->hot_used[i]) {
            continue;
        }
        for (int j = 0; j < i; j++) {
            if (table->hot_used[j] &&
                table->hot_hash[j] == table->hot_hash[i]) {
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

    if (!AprRecordCheck_Name(table->name) ||
        AprRecord_FindService(record, table->name) != service ||
        !check_hot_slots(table)) {
        return false;
    }
    for (int i = 0; i < APR_SLOTS; i++) {
        const AprPartitionEntry_t *entry = &table->partitions[i];

        if (entry->epoch > record->version ||
            (entry->owner != APR_NO_MEMBER &&
             (!AprRecordCheck_Member(record, entry->owner) ||
              !AprRecordCheck_Partition(table, i)))) {
            return false;
        }
    }
    return true;
}

/* Whether the whole record is consistent: names and numbers in range, hosts,
   services and hot keys unique, every owner a member, no epoch above the
   version, no member at or below its removed incarnation. */
bool
AprRecordCheck_All(const AprRecord_t *record)
{
    if (!AprRecordCheck_Name(record->cell) || record->version > INT64_MAX ||
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
