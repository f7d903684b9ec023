#ifndef APRICOT_TESTS_STORE_FIXTURE_H
#define APRICOT_TESTS_STORE_FIXTURE_H

/* Fixture of tests that run the etcd client against the stand-in store. The
   including file includes cmocka.h first. */

#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "apricot/store.h"
#include "standins/lib/store_server.h"

#define STORE_TIMEOUT_MS 400

typedef struct Fixture_t {
    AprStoreServer_t *server;
    AprStore_t store;
    AprError_t error;
} Fixture_t;

/* Opens a client of the server `first` and, unless NULL, of the endpoint URL
   `second`. */
static inline void
open_store_client(const AprStoreServer_t *first, const char *second,
                  AprStore_t *store)
{
    char url[128];
    const char *endpoints[2] = {url, second};

    snprintf(url, sizeof(url), "http://%s", AprStoreServer_Address(first));
    assert_int_equal(AprEtcd_Open(endpoints, second == NULL ? 1 : 2,
                                  STORE_TIMEOUT_MS, store, NULL),
                     APR_OK);
}

static inline int
set_up(void **state)
{
    Fixture_t *fixture = calloc(1, sizeof(*fixture));

    fixture->server = AprStoreServer_Start("127.0.0.1:0", 8);
    assert_non_null(fixture->server);
    open_store_client(fixture->server, NULL, &fixture->store);
    *state = fixture;
    return 0;
}

static inline int
tear_down(void **state)
{
    Fixture_t *fixture = *state;

    AprStore_Close(&fixture->store);
    AprStoreServer_Stop(fixture->server);
    free(fixture);
    return 0;
}

/* Writes a key if its revision is `expected`; 0 means that it must not
   exist. */
static inline int
swap_key(AprStore_t *store, const char *key, int64_t expected,
         const char *data, int64_t lease, int64_t *revision)
{
    AprStoreCompare_t compare = {key, expected};
    AprStorePut_t put = {key, data, strlen(data), lease};

    return store->swap(store->context, &compare, 1, &put, 1, revision, NULL);
}

static inline int64_t
read_revision(AprStore_t *store, const char *key)
{
    AprStoreValue_t value;
    int64_t revision;

    assert_int_equal(store->get(store->context, key, &value, NULL), APR_OK);
    revision = value.revision;
    AprStoreValue_Clear(&value);
    return revision;
}

static inline AprStoreCounts_t
get_server_counts(AprStoreServer_t *server)
{
    AprStoreCounts_t counts;

    AprStoreServer_GetCounts(server, &counts);
    return counts;
}

/* Appends key and data of the event to the string `context`; "-" stands for a
   deleted key. The caller provides room. */
static inline void
append_event(void *context, const AprStoreEvent_t *event)
{
    strcat(context, event->key);
    strcat(context, event->data == NULL ? "-" : event->data);
}

#define STORE_TEST(name) \
    cmocka_unit_test_setup_teardown(name, set_up, tear_down)

#endif
