#include "apricot/record.h"

#include <stdio.h>
#include <string.h>

#define XXH_STATIC_LINKING_ONLY /* for XXH3_state_t on the stack */
#include <xxhash.h>

#include "internal/lease_rules.h"
#include "internal/record_check.h"

/* Returns the hash that assigns a key of a service to a partition. The zero
   byte after the service name separates ("ab", "c") from ("a", "bc"). */
uint64_t
AprKey_Hash(const char *service, const char *key, size_t key_size)
{
    XXH3_state_t state;

    XXH3_64bits_reset(&state);
    XXH3_64bits_update(&state, service, strlen(service) + 1);
    XXH3_64bits_update(&state, key, key_size);
    return XXH3_64bits_digest(&state);
}

/* Initialises an empty record of a cell, with version 0. */
void
AprRecord_Init(AprRecord_t *record, const char *cell)
{
    memset(record, 0, sizeof(*record));
    snprintf(record->cell, sizeof(record->cell), "%s", cell);
}

/* Returns the member with this host name, or APR_NO_MEMBER. */
AprMember_t
AprRecord_FindHost(const AprRecord_t *record, const char *host)
{
    for (int i = 0; i < APR_MAX_MEMBERS; i++) {
        if (record->members[i].state != APR_MEMBER_FREE &&
            strcmp(record->members[i].host, host) == 0) {
            return (AprMember_t)i;
        }
    }
    return APR_NO_MEMBER;
}

/* Returns the index of a service, or APR_E_NOT_FOUND. */
int
AprRecord_FindService(const AprRecord_t *record, const char *name)
{
    for (int i = 0; i < record->service_count; i++) {
        if (strcmp(record->services[i].name, name) == 0) {
            return i;
        }
    }
    return APR_E_NOT_FOUND;
}

/* Returns the partition index of a key: that of the hot slot bound to its
   hash, or else the hash modulo APR_PARTITIONS. */
int
AprRecord_FindPartition(const AprRecord_t *record, int service,
                        uint64_t key_hash)
{
    const AprServiceTable_t *table = &record->services[service];

    for (int i = 0; i < APR_HOT_SLOTS; i++) {
        if (table->hot_slot_used[i] &&
            table->hot_slot_key_hash[i] == key_hash) {
            return APR_PARTITIONS + i;
        }
    }
    return (int)(key_hash % APR_PARTITIONS);
}

/* Returns the last removed incarnation of a host, or 0. */
uint64_t
AprRecord_LastRemovedIncarnation(const AprRecord_t *record, const char *host)
{
    for (int i = 0; i < record->removed_host_count; i++) {
        if (strcmp(record->removed_hosts[i].host, host) == 0) {
            return record->removed_hosts[i].incarnation;
        }
    }
    return 0;
}

/* Returns the number of members, including draining ones. */
int
AprRecord_CountMembers(const AprRecord_t *record)
{
    int count = 0;

    for (int i = 0; i < APR_MAX_MEMBERS; i++) {
        count += record->members[i].state != APR_MEMBER_FREE;
    }
    return count;
}

/* Returns the number of partitions and hot slots of a service that the member
   owns. */
int
AprRecord_CountOwnedPartitions(const AprRecord_t *record, int service,
                               AprMember_t member)
{
    int count = 0;

    for (int i = 0; i < APR_SLOTS; i++) {
        count += record->services[service].partitions[i].owner == member;
    }
    return count;
}

/* Increments the version. The store revision remains that of the value that
   was read, because the compare-and-swap needs it. */
void
AprRecord_BeginChange(AprRecord_t *record)
{
    record->version++;
}

static AprMember_t
find_free_member_slot(const AprRecord_t *record)
{
    for (int i = 0; i < APR_MAX_MEMBERS; i++) {
        if (record->members[i].state == APR_MEMBER_FREE) {
            return (AprMember_t)i;
        }
    }
    return APR_NO_MEMBER;
}

static int
check_new_member(const AprRecord_t *record, const AprMemberEntry_t *entry,
                 AprError_t *error)
{
    AprMember_t present = AprRecord_FindHost(record, entry->host);
    uint64_t removed = AprRecord_LastRemovedIncarnation(record, entry->host);

    if (!AprRecordCheck_IsValidEntry(entry) ||
        entry->state == APR_MEMBER_FREE ||
        !AprRecordCheck_AreServices(record, entry->offered_services) ||
        !AprRecordCheck_AreMembers(record, entry->witnesses,
                                   entry->witness_count)) {
        return AprError_Set(error, APR_E_INVALID, APR_STEP_RECORD, entry->host,
                            "a field of the member is out of range");
    }
    if (present != APR_NO_MEMBER) {
        return AprError_Set(
            error, APR_E_EXISTS, APR_STEP_RECORD, entry->host,
            "incarnation %llu of the host must be removed first",
            (unsigned long long)record->members[present].incarnation);
    }
    if (apr_lease_rules.reject_removed_incarnation &&
        entry->incarnation <= removed) {
        return AprError_Set(
            error, APR_E_STALE, APR_STEP_RECORD, entry->host,
            "incarnation %llu of the host was removed; a newer one "
            "must join",
            (unsigned long long)removed);
    }
    return APR_OK;
}

/* Adds a member and stores its handle in *member. Returns APR_E_INVALID for an
   entry with a field out of range, APR_E_EXISTS while any incarnation of the
   host is a member, APR_E_STALE if the incarnation is not newer than the last
   removed one, and APR_E_FULL if the cell has APR_MAX_MEMBERS members. */
int
AprRecord_AddMember(AprRecord_t *record, const AprMemberEntry_t *entry,
                    AprMember_t *member, AprError_t *error)
{
    int code = check_new_member(record, entry, error);

    if (code != APR_OK) {
        return code;
    }
    *member = find_free_member_slot(record);
    if (*member == APR_NO_MEMBER) {
        return AprError_Set(error, APR_E_FULL, APR_STEP_RECORD, entry->host,
                            "the cell is full: it has %d members",
                            APR_MAX_MEMBERS);
    }
    record->members[*member] = *entry;
    return APR_OK;
}

/* Returns the index of the removed host that can be dropped with the least
   risk: one whose newer incarnation is a member, or else the oldest. */
static int
choose_removed_to_drop(const AprRecord_t *record)
{
    for (int i = 0; i < record->removed_host_count; i++) {
        if (AprRecord_FindHost(record, record->removed_hosts[i].host) !=
            APR_NO_MEMBER) {
            return i;
        }
    }
    return 0;
}

static void
drop_removed(AprRecord_t *record, int index)
{
    record->removed_host_count--;
    memmove(&record->removed_hosts[index], &record->removed_hosts[index + 1],
            (size_t)(record->removed_host_count - index) *
                sizeof(record->removed_hosts[0]));
    memset(&record->removed_hosts[record->removed_host_count], 0,
           sizeof(record->removed_hosts[0]));
}

static void
add_removed(AprRecord_t *record, const AprMemberEntry_t *entry)
{
    AprRemovedHost_t *removed;

    for (int i = 0; i < record->removed_host_count; i++) {
        if (strcmp(record->removed_hosts[i].host, entry->host) == 0) {
            drop_removed(record, i);
            break;
        }
    }
    if (record->removed_host_count == APR_MAX_REMOVED) {
        drop_removed(record, choose_removed_to_drop(record));
    }
    removed = &record->removed_hosts[record->removed_host_count++];
    memcpy(removed->host, entry->host, sizeof(removed->host));
    removed->incarnation = entry->incarnation;
}

static void
set_owner(AprRecord_t *record, AprPartitionEntry_t *partition,
          AprMember_t owner, uint64_t handover)
{
    partition->owner = owner;
    partition->epoch = record->version;
    partition->handover_id = handover;
}

/* Removes a member, adds its incarnation to the removed hosts and leaves its
   partitions unowned. Other members' witness lists still contain it, because
   only a member itself changes its list. Returns APR_E_NOT_FOUND for a handle
   that is not that of a member. */
int
AprRecord_RemoveMember(AprRecord_t *record, AprMember_t member)
{
    if (!AprRecordCheck_IsMember(record, member)) {
        return APR_E_NOT_FOUND;
    }
    for (int i = 0; i < record->service_count; i++) {
        for (int j = 0; j < APR_SLOTS; j++) {
            if (record->services[i].partitions[j].owner == member) {
                set_owner(record, &record->services[i].partitions[j],
                          APR_NO_MEMBER, 0);
            }
        }
    }
    add_removed(record, &record->members[member]);
    memset(&record->members[member], 0, sizeof(record->members[member]));
    return APR_OK;
}

/* Sets the witness list of a member. Returns APR_E_INVALID unless all names
   are distinct members other than itself. The names are copied. */
int
AprRecord_SetWitnesses(AprRecord_t *record, AprMember_t member,
                       char witnesses[][APR_NAME_SIZE], int count)
{
    AprMemberEntry_t entry;

    if (!AprRecordCheck_IsMember(record, member)) {
        return APR_E_NOT_FOUND;
    }
    if (count < 0 || count > APR_MAX_WITNESSES) {
        return APR_E_INVALID;
    }
    entry = record->members[member];
    memset(entry.witnesses, 0, sizeof(entry.witnesses));
    entry.witness_count = count;
    for (int i = 0; i < count; i++) {
        snprintf(entry.witnesses[i], APR_NAME_SIZE, "%s", witnesses[i]);
    }
    if (!AprRecordCheck_IsValidEntry(&entry) ||
        !AprRecordCheck_AreMembers(record, witnesses, count)) {
        return APR_E_INVALID;
    }
    record->members[member] = entry;
    return APR_OK;
}

/* Sets the state of a member. Returns APR_E_INVALID for a state other than
   active and draining. */
int
AprRecord_SetMemberState(AprRecord_t *record, AprMember_t member,
                         AprMemberState_t state)
{
    if (!AprRecordCheck_IsMember(record, member)) {
        return APR_E_NOT_FOUND;
    }
    if (state != APR_MEMBER_ACTIVE && state != APR_MEMBER_DRAINING) {
        return APR_E_INVALID;
    }
    record->members[member].state = state;
    return APR_OK;
}

/* Adds a service with all partitions unowned and returns its index, or the
   index of the existing service of that name. Returns APR_E_INVALID for an
   invalid name and APR_E_FULL after APR_MAX_SERVICES services. */
int
AprRecord_AddService(AprRecord_t *record, const char *name)
{
    AprServiceTable_t *table;
    int present = AprRecord_FindService(record, name);

    if (present >= 0) {
        return present;
    }
    if (!AprRecordCheck_IsName(name)) {
        return APR_E_INVALID;
    }
    if (record->service_count == APR_MAX_SERVICES) {
        return APR_E_FULL;
    }
    table = &record->services[record->service_count];
    memset(table, 0, sizeof(*table));
    snprintf(table->name, sizeof(table->name), "%s", name);
    for (int i = 0; i < APR_SLOTS; i++) {
        table->partitions[i].owner = APR_NO_MEMBER;
    }
    return record->service_count++;
}

/* Sets whether a member has a live backend server of the service. */
int
AprRecord_SetServiceOffered(AprRecord_t *record, AprMember_t member,
                            int service, bool offered)
{
    if (!AprRecordCheck_IsMember(record, member) ||
        !AprRecordCheck_IsService(record, service)) {
        return APR_E_NOT_FOUND;
    }
    if (offered) {
        record->members[member].offered_services |= UINT32_C(1) << service;
    }
    else {
        record->members[member].offered_services &= ~(UINT32_C(1) << service);
    }
    return APR_OK;
}

/* Assigns a partition to a new owner, or to none (APR_NO_MEMBER), and sets its
   epoch to the record version. Without a change of the owner nothing is
   changed. Returns APR_E_INVALID unless the owner is active and offers the
   service. */
int
AprRecord_AssignPartition(AprRecord_t *record, int service, int partition,
                          AprMember_t owner, uint64_t handover)
{
    AprPartitionEntry_t *entry;

    if (!AprRecordCheck_IsService(record, service) ||
        !AprRecordCheck_IsPartition(&record->services[service], partition)) {
        return APR_E_NOT_FOUND;
    }
    if (owner != APR_NO_MEMBER &&
        (!AprRecordCheck_IsMember(record, owner) ||
         record->members[owner].state != APR_MEMBER_ACTIVE ||
         (record->members[owner].offered_services >> service & 1) == 0)) {
        return APR_E_INVALID;
    }
    entry = &record->services[service].partitions[partition];
    if (entry->owner != owner) {
        set_owner(record, entry, owner, handover);
    }
    return APR_OK;
}

/* Binds a free hot slot to a key hash and stores its partition index in
   *partition. The slot gets the owner and epoch of the key's base partition,
   so that binding does not change the key's owner. Returns APR_E_EXISTS when
   the key already has a slot and APR_E_FULL when no slot is free. */
int
AprRecord_BindHotSlot(AprRecord_t *record, int service, uint64_t key_hash,
                      int *partition)
{
    AprServiceTable_t *table;
    int base = (int)(key_hash % APR_PARTITIONS);

    if (!AprRecordCheck_IsService(record, service)) {
        return APR_E_NOT_FOUND;
    }
    if (AprRecord_FindPartition(record, service, key_hash) >= APR_PARTITIONS) {
        return APR_E_EXISTS;
    }
    table = &record->services[service];
    for (int i = 0; i < APR_HOT_SLOTS; i++) {
        if (!table->hot_slot_used[i]) {
            *partition = APR_PARTITIONS + i;
            table->hot_slot_used[i] = true;
            table->hot_slot_key_hash[i] = key_hash;
            table->partitions[*partition] = table->partitions[base];
            table->partitions[*partition].handover_id = 0;
            return APR_OK;
        }
    }
    return APR_E_FULL;
}

/* Frees a hot slot; its key returns to its base partition. Returns
   APR_E_CONFLICT unless both have the same owner, because a change of the
   owner needs a planned move or a takeover. The base partition gets the higher
   of the two epochs, so that the key's fencing token never decreases. */
int
AprRecord_FreeHotSlot(AprRecord_t *record, int service, int partition)
{
    AprServiceTable_t *table;
    AprPartitionEntry_t *hot;
    AprPartitionEntry_t *base;
    int slot = partition - APR_PARTITIONS;

    if (!AprRecordCheck_IsService(record, service) || slot < 0 ||
        slot >= APR_HOT_SLOTS ||
        !record->services[service].hot_slot_used[slot]) {
        return APR_E_NOT_FOUND;
    }
    table = &record->services[service];
    hot = &table->partitions[partition];
    base = &table->partitions[table->hot_slot_key_hash[slot] % APR_PARTITIONS];
    if (hot->owner != base->owner) {
        return APR_E_CONFLICT;
    }
    if (hot->epoch > base->epoch) {
        base->epoch = hot->epoch;
    }
    hot->owner = APR_NO_MEMBER;
    hot->epoch = 0;
    hot->handover_id = 0;
    table->hot_slot_used[slot] = false;
    table->hot_slot_key_hash[slot] = 0;
    return APR_OK;
}
