#ifndef APRICOT_STANDIN_STORE_DATA_H
#define APRICOT_STANDIN_STORE_DATA_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

/* Keys, revisions, leases and the bounded history of the stand-in store, in
   memory. Requests and answers are the JSON messages of the etcd v3 API. Not
   thread safe. */
typedef struct AprStoreData_t AprStoreData_t;

AprStoreData_t *AprStoreData_New(int history_limit);
void AprStoreData_Free(AprStoreData_t *data);

json_t *AprStoreData_Range(AprStoreData_t *data, const json_t *request);
/* NULL for a malformed request. */
json_t *AprStoreData_Txn(AprStoreData_t *data, const json_t *request);
json_t *AprStoreData_Put(AprStoreData_t *data, const json_t *request);
json_t *AprStoreData_Delete(AprStoreData_t *data, const json_t *request);
json_t *AprStoreData_Grant(AprStoreData_t *data, const json_t *request,
                           int64_t now_ms);
json_t *AprStoreData_KeepAlive(AprStoreData_t *data, const json_t *request,
                               int64_t now_ms);
/* Deletes the keys of leases that have expired. */
void AprStoreData_Expire(AprStoreData_t *data, int64_t now_ms);
int AprStoreData_LeaseCount(const AprStoreData_t *data);
int64_t AprStoreData_Revision(const AprStoreData_t *data);
/* Oldest revision from which a watch can start. */
int64_t AprStoreData_OldestRevision(const AprStoreData_t *data);
json_t *AprStoreData_Header(const AprStoreData_t *data);
/* Events from revision `from` on in the range of a watch request, as a JSON
   array. */
json_t *AprStoreData_Events(const AprStoreData_t *data, const json_t *watch,
                            int64_t from);

#endif
