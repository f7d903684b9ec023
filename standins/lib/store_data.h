#ifndef APRICOT_STANDIN_STORE_DATA_H
#define APRICOT_STANDIN_STORE_DATA_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

/* In-memory data of the stand-in store: keys, revisions, leases and a bounded
   history of changes. Requests and responses are JSON messages of the etcd v3
   API; the caller releases the responses. Not thread safe. */
typedef struct AprStoreData_t AprStoreData_t;

AprStoreData_t *AprStoreData_New(int history_limit);
void AprStoreData_Free(AprStoreData_t *data);

json_t *AprStoreData_Range(AprStoreData_t *data, const json_t *request);
/* Returns NULL for an invalid request, as AprStoreData_Put does. */
json_t *AprStoreData_Txn(AprStoreData_t *data, const json_t *request);
json_t *AprStoreData_Put(AprStoreData_t *data, const json_t *request);
json_t *AprStoreData_Delete(AprStoreData_t *data, const json_t *request);
json_t *AprStoreData_GrantLease(AprStoreData_t *data, const json_t *request,
                                int64_t now_ms);
json_t *AprStoreData_KeepLeaseAlive(AprStoreData_t *data,
                                    const json_t *request, int64_t now_ms);
/* Removes expired leases and deletes their keys. */
void AprStoreData_ExpireLeases(AprStoreData_t *data, int64_t now_ms);
int AprStoreData_CountLeases(const AprStoreData_t *data);
int64_t AprStoreData_Revision(const AprStoreData_t *data);
/* Returns the oldest revision from which a watch can start. */
int64_t AprStoreData_OldestRevision(const AprStoreData_t *data);
json_t *AprStoreData_NewHeader(const AprStoreData_t *data);
/* Returns the events from revision `from` on in the range of a watch request,
   as a JSON array that the caller releases. */
json_t *AprStoreData_ListEvents(const AprStoreData_t *data,
                                const json_t *watch, int64_t from);

#endif
