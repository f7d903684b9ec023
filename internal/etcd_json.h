#ifndef APRICOT_INTERNAL_ETCD_JSON_H
#define APRICOT_INTERNAL_ETCD_JSON_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "apricot/store.h"

/* State of a watch, from the messages of its stream. */
typedef struct AprEtcdWatchState_t {
    bool created;
    bool canceled;
    int64_t compact_revision; /* oldest revision that can still be watched */
} AprEtcdWatchState_t;

/* Builders of request bodies; the caller frees the text with free(). */
char *AprEtcdJson_RangeRequest(const char *key, bool prefix);
char *AprEtcdJson_TxnRequest(const AprStoreCompare_t *compares,
                             int compare_count, const AprStorePut_t *puts,
                             int put_count);
char *AprEtcdJson_GrantRequest(int ttl_s);
char *AprEtcdJson_KeepAliveRequest(int64_t lease);
char *AprEtcdJson_WatchRequest(const char *prefix, int64_t revision);

/* Parsers of response bodies. Return APR_E_PARSE when the text is not the
   expected message. */
int AprEtcdJson_ParseRange(const char *text, size_t size,
                           AprStoreVisitor_t visit, void *context,
                           int64_t *revision);
int AprEtcdJson_ParseTxn(const char *text, size_t size, bool *succeeded,
                         int64_t *revision);
int AprEtcdJson_ParseGrant(const char *text, size_t size, int64_t *lease);
int AprEtcdJson_ParseKeepAlive(const char *text, size_t size, int64_t *ttl_s);
int AprEtcdJson_ParseWatch(const char *text, size_t size,
                           AprEtcdWatchState_t *state, AprStoreVisitor_t visit,
                           void *context);

#endif
