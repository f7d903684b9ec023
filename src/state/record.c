#include "apricot/record.h"

#include <stdio.h>
#include <string.h>

#define XXH_STATIC_LINKING_ONLY /* for the state structure on the stack */
#include <xxhash.h>

#include "internal/lease_rules.h"
#include "internal/record_check.h"

/* The hash that assigns a key of a service to a partition. The zero byte
   keeps ("ab", "c") and ("a", "bc") apart. */
uint64_t
AprKey_Hash(const char *service, const char *key, size_t key_size)
{
    XXH3_state_t state;

    XXH3_64bits_reset(&state);
    XXH3_64bits_update(&state, service, strlen(service) + 1);
    XXH3_64bits_update(&state, key, key_size);
    return XXH3_64bits_digest(&state);
}

/* An empty record of a cell: no members, no services, version 0. */
void
AprRecord_Init(AprRecord_t *record, const char *cell)
{
    memset(record, 0, sizeof(*record));
    snprintf(record->cell, sizeof(record->cell), "%s", cell);
}

/* The member with this host name, or APR_NO_MEMBER. */
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

/* The index of a service, or APR_E_NOT_FOUND. */
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

/* The partition that holds a key: the hot slot bound to its hash, else the
   partition of its hash. */
int
AprRecord_Lookup(const AprRecord_t *record, int service, uint64_t key_hash)
{
    const AprServiceTable_t *table = &record->services[service];

    for (int i = 0; i < APR_HOT_SLOTS; i++) {
        if (table->hot_used[i] && table->hot_hash[i] == key_hash) {
            return APR_PARTITIONS + i;
        }
    }
    return (int)(key_hash % APR_PARTITIONS);
}

/* The last removed incarnation of a host, or 0. */
uint64_t
AprRecord_RemovedIncarnation(const AprRecord_t *record, const char *host)
{
    for (int i = 0; i < record->removed_count; i++) {
        if (strcmp(record->removed[i].host, host) == 0) {
            return record->removed[i].incarnation;
        }
    }
    return 0;
}

/* Number of members, draining ones included. */
int
AprRecord_MemberCount(const AprRecord_t *record)
{
    int count = 0;

    for (int i = 0; i < APR_MAX_MEMBERS; i++) {
        count += record->members[i].state != APR_MEMBER_FREE;
    }
    return count;
}

/* Number of partitions and used hot slots of the service that the member
   owns. */
int
AprRecord_OwnedCount(const AprRecord_t *record, int service,
                     AprMember_t member)
{
    int count = 0;

    for (int i = 0; i < APR_SLOTS; i++) {
        count += record->services[service].partitions[i].owner == member;
    }
    return count;
}

/* Raises the version. The store revision stays that of the value that was
   read, because the swap compares it. */
void
AprRecord_BeginChange(AprRecord_t *record)
{
    record->version++;
}

static AprMember_t
free_member(const AprRecord_t *record)
{
    for (int i = 0; i < APR_MAX_MEMBERS; i++) {
        if (record->members[i].state == APR_MEMBER_FREE) {
            return (AprMember_t)i;
        }
    }
    return APR_NO_MEMBER;
}

static int
check_join(const AprRecord_t *record, const AprMemberEntry_t *entry,
           AprError_t *error)
{
    AprMember_t present = AprRecord_FindHost(record, entry->host);
    uint64_t removed = AprRecord_RemovedIncarnation(record, entry->host);

    if (!AprRecordCheck_Entry(entry) || entry->state == APR_MEMBER_FREE ||
        !AprRecordCheck_Services(record, entry->services) ||
        !AprRecordCheck_WitnessesAreMembers(record, entry->witnesses,
                                            entry->witness_count)) {
        return AprError_Set(error, APR_E_INVALID, APR_STEP_RECORD, entry->host,
                            "a field of the member is out of range");
    }
    if (present != APR_NO_MEMBER) {
        return AprError_Set(
            error, APR_E_EXISTS, APR_STEP_RECORD, entry->host,
            "incarnation %llu must be removed first",
            (unsigned long long)record->members[present].incarnation);
    }
    if (apr_lease_rules.removed_incarnation && entry->incarnation <= removed) {
        return AprError_Set(error, APR_E_STALE, APR_STEP_RECORD, entry->host,
                            "incarnation %llu was removed",
                            (unsigned long long)removed);
    }
    return APR_OK;
}

/* Adds a member. Errors: APR_E_INVALID for a malformed entry, APR_E_EXISTS
   while another incarnation of the host is a member, APR_E_STALE for an
   incarnation that is not newer than the one that was removed, APR_E_FULL. */
int
AprRecord_Join(AprRecord_t *record, const AprMemberEntry_t *entry,
               AprMember_t *member, AprError_t *error)
{
    int code = check_join(record, entry, error);

    if (code != APR_OK) {
        return code;
    }
    *member = free_member(record);
    if (*member == APR_NO_MEMBER) {
        return AprError_Set(error, APR_E_FULL, APR_STEP_RECORD, entry->host,
                            "the cell has %d members", APR_MAX_MEMBERS);
    }
    record->members[*member] = *entry;
    return APR_OK;
}

/* The entry that can be forgotten with the least risk: that of a host whose
   newer incarnation is a member, else the oldest. */
static int
removed_to_forget(const AprRecord_t *record)
{
    for (int i = 0; i < record->removed_count; i++) {
        if (AprRecord_FindHost(record, record->removed[i].host) !=
            APR_NO_MEMBER) {
            return i;
        }
    }
    return 0;
}

static void
forget_removed(AprRecord_t *record, int index)
{
    record->removed_count--;
    memmove(&record->removed[index], &record->removed[index + 1],
            (size_t)(record->removed_count - index) *
                sizeof(record->removed[0]));
    memset(&record->removed[record->removed_count], 0,
           sizeof(record->removed[0]));
}

static void
remember_removed(AprRecord_t *record, const AprMemberEntry_t *entry)
{
    AprRemovedHost_t *removed;

    for (int i = 0; i < record->removed_count; i++) {
        if (strcmp(record->removed[i].host, entry->host) == 0) {
            forget_removed(record, i);
            break;
        }
    }
    if (record->removed_count == APR_MAX_REMOVED) {
        forget_removed(record, removed_to_forget(record));
    }
    removed = &record->removed[record->removed_count++];
    memcpy(removed->host, entry->host, sizeof(removed->host));
    removed->incarnation = entry->incarnation;
}

static void
set_owner(AprRecord_t *record, AprPartitionEntry_t *partition,
          AprMember_t owner, uint64_t handover)
{
    partition->owner = owner;
    partition->epoch = record->version;
    partition->handover = handover;
}

/* Removes a member, remembers its incarnation and leaves its partitions
   unowned. Witness lists that name it stay, because only their own members
   change them. */
int
AprRecord_Remove(AprRecord_t *record, AprMember_t member)
{
    if (!AprRecordCheck_Member(record, member)) {
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
    remember_removed(record, &record->members[member]);
    memset(&record->members[member], 0, sizeof(record->members[member]));
    return APR_OK;
}

/* Sets the witness list of a member. APR_E_INVALID unless all names are
   distinct other members. */
int
AprRecord_SetWitnesses(AprRecord_t *record, AprMember_t member,
                       char witnesses[][APR_NAME_SIZE], int count)
{
    AprMemberEntry_t entry;

    if (!AprRecordCheck_Member(record, member)) {
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
    if (!AprRecordCheck_Entry(&entry) ||
        !AprRecordCheck_WitnessesAreMembers(record, witnesses, count)) {
        return APR_E_INVALID;
    }
    record->members[member] = entry;
    return APR_OK;
}

/* Sets a member active or draining. */
int
AprRecord_SetState(AprRecord_t *record, AprMember_t member,
                   AprMemberState_t state)
{
    if (!AprRecordCheck_Member(record, member)) {
        return APR_E_NOT_FOUND;
    }
    if (state != APR_MEMBER_ACTIVE && state != APR_MEMBER_DRAINING) {
        return APR_E_INVALID;
    }
    record->members[member].state = state;
    return APR_OK;
}

/* Adds a service with all partitions unowned and returns its index; returns
   the present index when the service exists. APR_E_INVALID or APR_E_FULL. */
int
AprRecord_AddService(AprRecord_t *record, const char *name)
{
    AprServiceTable_t *table;
    int present = AprRecord_FindService(record, name);

    if (present >= 0) {
        return present;
    }
    if (!AprRecordCheck_Name(name)) {
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

/* Notes whether a member has a live backend of the service. */
int
AprRecord_SetOffered(AprRecord_t *record, AprMember_t member, int service,
                     bool offered)
{
    if (!AprRecordCheck_Member(record, member) ||
        !AprRecordCheck_Service(record, service)) {
        return APR_E_NOT_FOUND;
    }
    if (offered) {
        record->members[member].services |= UINT32_C(1) << service;
    }
    else {
        record->members[member].services &= ~(UINT32_C(1) << service);
    }
    return APR_OK;
}

/* Gives a partition to a new owner, which must be active and offer the
   service, or to nobody (APR_NO_MEMBER). The epoch becomes the version of the
   record; a call that names the present owner changes nothing. */
int
AprRecord_Assign(AprRecord_t *record, int service, int partition,
                 AprMember_t owner, uint64_t handover)
{
    AprPartitionEntry_t *entry;

    if (!AprRecordCheck_Service(record, service) ||
        !AprRecordCheck_Partition(&record->services[service], partition)) {
        return APR_E_NOT_FOUND;
    }
    if (owner != APR_NO_MEMBER &&
        (!AprRecordCheck_Member(record, owner) ||
         record->members[owner].state != APR_MEMBER_ACTIVE ||
         (record->members[owner].services >> service & 1) == 0)) {
        return APR_E_INVALID;
    }
    entry = &record->services[service].partitions[partition];
    if (entry->owner != owner) {
        set_owner(record, entry, owner, handover);
    }
    return APR_OK;
}

/* Binds a free hot slot to a key hash. The slot starts with the owner and
   epoch of the partition that the key leaves, so that binding alone moves
   nothing; *partition is its index. APR_E_EXISTS when the key has a slot,
   APR_E_FULL when none is free. */
int
AprRecord_BindHotSlot(AprRecord_t *record, int service, uint64_t key_hash,
                      int *partition)
{
    AprServiceTable_t *table;
    int base = (int)(key_hash % APR_PARTITIONS);

    if (!AprRecordCheck_Service(record, service)) {
        return APR_E_NOT_FOUND;
    }
    if (AprRecord_Lookup(record, service, key_hash) >= APR_PARTITIONS) {
        return APR_E_EXISTS;
    }
    table = &record->services[service];
    for (int i = 0; i < APR_HOT_SLOTS; i++) {
        if (!table->hot_used[i]) {
            *partition = APR_PARTITIONS + i;
            table->hot_used[i] = true;
            table->hot_hash[i] = key_hash;
            table->partitions[*partition] = table->partitions[base];
            table->partitions[*partition].handover = 0;
            return APR_OK;
        }
    }
    return APR_E_FULL;
}

/* Frees a hot slot; its key returns to its base partition. Both must have the
   same owner (APR_E_CONFLICT otherwise), because a change of the owner needs
   a planned move or a takeover. The base partition keeps the higher epoch, so
   that the key's fencing token never falls. */
int
AprRecord_FreeHotSlot(AprRecord_t *record, int service, int partition)
{
    AprServiceTable_t *table;
    AprPartitionEntry_t *hot;
    AprPartitionEntry_t *base;
    int slot = partition - APR_PARTITIONS;

    if (!AprRecordCheck_Service(record, service) || slot < 0 ||
        slot >= APR_HOT_SLOTS || !record->services[service].hot_used[slot]) {
        return APR_E_NOT_FOUND;
    }
    table = &record->services[service];
    hot = &table->partitions[partition];
    base = &table->partitions[table->hot_hash[slot] % APR_PARTITIONS];
    if (hot->owner != base->owner) {
        return APR_E_CONFLICT;
    }
    if (hot->epoch > base->epoch) {
        base->epoch = hot->epoch;
    }
    hot->owner = APR_NO_MEMBER;
    hot->epoch = 0;
    hot->handover = 0;
    table->hot_used[slot] = false;
    table->hot_hash[slot] = 0;
    return APR_OK;
}
