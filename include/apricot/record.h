#ifndef APRICOT_RECORD_H
#define APRICOT_RECORD_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "apricot/error.h"

#define APR_NAME_SIZE 64
#define APR_ADDRESS_SIZE 64
#define APR_MAX_MEMBERS 64
#define APR_MAX_SERVICES 16
#define APR_MAX_WITNESSES 3
#define APR_MAX_REMOVED 128
#define APR_PARTITIONS 256
#define APR_HOT_SLOTS 64
#define APR_SLOTS (APR_PARTITIONS + APR_HOT_SLOTS)
#define APR_NO_MEMBER UINT16_MAX

/* Handle of a member: its index in AprRecord_t.members. Valid for one record
   version. */
typedef uint16_t AprMember_t;

typedef enum AprMemberState_t {
    APR_MEMBER_FREE, /* the array element is unused */
    APR_MEMBER_ACTIVE,
    APR_MEMBER_DRAINING
} AprMemberState_t;

typedef struct AprMemberEntry_t {
    AprMemberState_t state;
    char host[APR_NAME_SIZE];
    uint64_t incarnation;
    char peer_address[APR_ADDRESS_SIZE];
    char admin_address[APR_ADDRESS_SIZE];
    char caller_address[APR_ADDRESS_SIZE];
    char failure_domain[APR_NAME_SIZE];
    char region[APR_NAME_SIZE];
    uint32_t offered_services; /* bit i: has a live backend server of
                          AprRecord_t.services[i] */
    int witness_count;
    char witnesses[APR_MAX_WITNESSES][APR_NAME_SIZE];
    int64_t joined_at_ms; /* since the Unix epoch */
} AprMemberEntry_t;

typedef struct AprPartitionEntry_t {
    AprMember_t owner;    /* APR_NO_MEMBER: unowned */
    uint64_t epoch;       /* record version of the last change of the owner */
    uint64_t handover_id; /* id of the planned move to this owner; 0: none */
} AprPartitionEntry_t;

typedef struct AprServiceTable_t {
    char name[APR_NAME_SIZE];
    /* The partitions, followed from index APR_PARTITIONS by the hot slots. */
    AprPartitionEntry_t partitions[APR_SLOTS];
    bool hot_slot_used[APR_HOT_SLOTS];
    uint64_t hot_slot_key_hash[APR_HOT_SLOTS]; /* hash of the key bound to the
                                                  slot */
} AprServiceTable_t;

/* The last removed incarnation of a host. */
typedef struct AprRemovedHost_t {
    char host[APR_NAME_SIZE];
    uint64_t incarnation;
} AprRemovedHost_t;

/* The ownership record of one cell. `version` increases by one with each
   change and is part of the stored value. `store_revision` is the store's
   modification revision of the value that was read; 0 when the store has no
   value yet. */
typedef struct AprRecord_t {
    uint64_t version;
    int64_t store_revision;
    char cell[APR_NAME_SIZE];
    AprMemberEntry_t members[APR_MAX_MEMBERS];
    int removed_host_count;
    AprRemovedHost_t removed_hosts[APR_MAX_REMOVED];
    int service_count;
    AprServiceTable_t services[APR_MAX_SERVICES];
} AprRecord_t;

uint64_t AprKey_Hash(const char *service, const char *key, size_t key_size);

void AprRecord_Init(AprRecord_t *record, const char *cell);

/* Lookups. */
AprMember_t AprRecord_FindHost(const AprRecord_t *record, const char *host);
int AprRecord_FindService(const AprRecord_t *record, const char *name);
int AprRecord_FindPartition(const AprRecord_t *record, int service,
                            uint64_t key_hash);
uint64_t AprRecord_LastRemovedIncarnation(const AprRecord_t *record,
                                          const char *host);
int AprRecord_CountMembers(const AprRecord_t *record);
int AprRecord_CountOwnedPartitions(const AprRecord_t *record, int service,
                                   AprMember_t member);
int AprRecord_ChooseWitnesses(const AprRecord_t *record, AprMember_t member,
                              char witnesses[][APR_NAME_SIZE]);

/* Changes with checked arguments. They apply to a copy, which the caller then
   writes to the store with a compare-and-swap. AprRecord_BeginChange must be
   called before the first change; it increments `version`. */
void AprRecord_BeginChange(AprRecord_t *record);
int AprRecord_AddMember(AprRecord_t *record, const AprMemberEntry_t *entry,
                        AprMember_t *member, AprError_t *error);
int AprRecord_RemoveMember(AprRecord_t *record, AprMember_t member);
int AprRecord_SetWitnesses(AprRecord_t *record, AprMember_t member,
                           char witnesses[][APR_NAME_SIZE], int count);
int AprRecord_SetMemberState(AprRecord_t *record, AprMember_t member,
                             AprMemberState_t state);
int AprRecord_AddService(AprRecord_t *record, const char *name);
int AprRecord_SetServiceOffered(AprRecord_t *record, AprMember_t member,
                                int service, bool offered);
int AprRecord_AssignPartition(AprRecord_t *record, int service, int partition,
                              AprMember_t owner, uint64_t handover);
int AprRecord_BindHotSlot(AprRecord_t *record, int service, uint64_t key_hash,
                          int *partition);
int AprRecord_FreeHotSlot(AprRecord_t *record, int service, int partition);

/* JSON form. The text is allocated with malloc; the caller frees it. */
char *AprRecord_ToJson(const AprRecord_t *record);
int AprRecord_FromJson(const char *text, size_t size, AprRecord_t *record,
                       AprError_t *error);

#endif
