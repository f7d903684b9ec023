#include "internal/etcd.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "internal/etcd_json.h"

/* Limit for one response; the largest ones list values of up to 1 MB each. */
#define MAX_RESPONSE_BYTES (64u << 20)
/* The key-value service of the platform accepts values of up to 1 MB. */
#define MAX_VALUE_BYTES (1u << 20)

static pthread_once_t curl_once = PTHREAD_ONCE_INIT;

static void
init_curl(void)
{
    curl_global_init(CURL_GLOBAL_DEFAULT);
}

/* Returns an idle handle, so that its connections are reused, or a new one.
   The caller gives it back with AprEtcd_ReleaseHandle(). Returns NULL when out
   of memory. */
CURL *
AprEtcd_AcquireHandle(AprEtcd_t *etcd)
{
    CURL *curl = NULL;

    pthread_mutex_lock(&etcd->mutex);
    if (etcd->idle_handle_count > 0) {
        curl = etcd->idle_handles[--etcd->idle_handle_count];
    }
    pthread_mutex_unlock(&etcd->mutex);
    return curl != NULL ? curl : curl_easy_init();
}

/* Keeps a handle for later calls, or closes it when enough are idle. */
void
AprEtcd_ReleaseHandle(AprEtcd_t *etcd, CURL *curl)
{
    curl_easy_reset(curl);
    pthread_mutex_lock(&etcd->mutex);
    if (etcd->idle_handle_count < APR_ETCD_MAX_IDLE_HANDLES) {
        etcd->idle_handles[etcd->idle_handle_count++] = curl;
        curl = NULL;
    }
    pthread_mutex_unlock(&etcd->mutex);
    if (curl != NULL) {
        curl_easy_cleanup(curl);
    }
}

/* Sets the options that all requests share. `request` is not copied and must
   stay valid until the transfer is over. */
void
AprEtcd_SetRequestOptions(AprEtcd_t *etcd, CURL *curl, const char *endpoint,
                          const char *path, const char *request)
{
    char url[APR_ETCD_URL_SIZE * 2];

    snprintf(url, sizeof(url), "%s%s", endpoint, path);
    curl_easy_setopt(curl, CURLOPT_URL, url);
    curl_easy_setopt(curl, CURLOPT_POSTFIELDSIZE_LARGE,
                     (curl_off_t)strlen(request));
    curl_easy_setopt(curl, CURLOPT_POSTFIELDS, request);
    curl_easy_setopt(curl, CURLOPT_HTTPHEADER, etcd->headers);
    curl_easy_setopt(curl, CURLOPT_HTTP_VERSION, (long)CURL_HTTP_VERSION_1_1);
    curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(curl, CURLOPT_PROXY, "");
    curl_easy_setopt(curl, CURLOPT_CONNECTTIMEOUT_MS, (long)etcd->timeout_ms);
}

static size_t
append_to_body(char *data, size_t size, size_t count, void *context)
{
    GString *body = context;

    if (body->len + size * count > MAX_RESPONSE_BYTES) {
        return 0;
    }
    g_string_append_len(body, data, (gssize)(size * count));
    return size * count;
}

static void
perform_request(AprEtcd_t *etcd, const char *endpoint, const char *path,
                const char *request, bool new_connection,
                AprEtcdReply_t *reply)
{
    CURL *curl = AprEtcd_AcquireHandle(etcd);
    curl_off_t connect_us = 0;

    reply->endpoint = endpoint;
    reply->status = 0;
    reply->maybe_sent = false;
    g_string_truncate(reply->body, 0);
    if (curl == NULL) {
        reply->result = CURLE_OUT_OF_MEMORY;
        return;
    }
    AprEtcd_SetRequestOptions(etcd, curl, endpoint, path, request);
    curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, (long)etcd->timeout_ms);
    curl_easy_setopt(curl, CURLOPT_FRESH_CONNECT, new_connection ? 1L : 0L);
    curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, append_to_body);
    curl_easy_setopt(curl, CURLOPT_WRITEDATA, reply->body);
    reply->result = curl_easy_perform(curl);
    curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, &reply->status);
    curl_easy_getinfo(curl, CURLINFO_CONNECT_TIME_T, &connect_us);
    /* Nothing was sent if the new connection was never established. */
    reply->maybe_sent = connect_us != 0;
    AprEtcd_ReleaseHandle(etcd, curl);
}

static int
set_reply_error(const AprEtcdReply_t *reply, int code, AprError_t *error)
{
    if (reply->result != CURLE_OK) {
        return AprError_Set(error, code, APR_STEP_STORE, reply->endpoint, "%s",
                            curl_easy_strerror(reply->result));
    }
    return AprError_Set(error, code, APR_STEP_STORE, reply->endpoint,
                        "status %ld: %.120s", reply->status, reply->body->str);
}

/* Makes a call that may be repeated. Tries each endpoint once, starting with
   the one that answered last. */
static int
call_idempotent(AprEtcd_t *etcd, const char *path, const char *request,
                AprEtcdReply_t *reply, AprError_t *error)
{
    int first = atomic_load(&etcd->preferred_endpoint);

    for (int i = 0; i < etcd->endpoint_count; i++) {
        int endpoint = (first + i) % etcd->endpoint_count;

        perform_request(etcd, etcd->endpoints[endpoint], path, request, false,
                        reply);
        if (reply->result == CURLE_OK && reply->status == 200) {
            atomic_store(&etcd->preferred_endpoint, endpoint);
            return APR_OK;
        }
    }
    return set_reply_error(reply, APR_E_UNAVAILABLE, error);
}

/* Makes a call that must not be repeated. Tries another endpoint only if
   nothing was sent to the previous one. Always opens a new connection, because
   libcurl repeats a request when a reused connection closes early, and the
   repetition would report a conflict with the first request. A 5xx response
   gives APR_E_UNKNOWN_OUTCOME, because the store may still apply the write
   later. */
static int
call_non_idempotent(AprEtcd_t *etcd, const char *path, const char *request,
                    AprEtcdReply_t *reply, AprError_t *error)
{
    int first = atomic_load(&etcd->preferred_endpoint);

    for (int i = 0; i < etcd->endpoint_count; i++) {
        int endpoint = (first + i) % etcd->endpoint_count;

        perform_request(etcd, etcd->endpoints[endpoint], path, request, true,
                        reply);
        if (reply->result == CURLE_OK && reply->status == 200) {
            atomic_store(&etcd->preferred_endpoint, endpoint);
            return APR_OK;
        }
        if (reply->result == CURLE_OK && reply->status >= 400 &&
            reply->status < 500) {
            return set_reply_error(reply, APR_E_UNAVAILABLE, error);
        }
        if (reply->maybe_sent) {
            /* The next call starts with the next endpoint. */
            atomic_store(&etcd->preferred_endpoint,
                         (endpoint + 1) % etcd->endpoint_count);
            return set_reply_error(reply, APR_E_UNKNOWN_OUTCOME, error);
        }
    }
    return set_reply_error(reply, APR_E_UNAVAILABLE, error);
}

typedef struct GetContext_t {
    AprStoreValue_t *value;
    bool failed;
} GetContext_t;

static void
copy_value(void *context, const AprStoreEvent_t *event)
{
    GetContext_t *get = context;

    get->value->data = malloc(event->size + 1);
    if (get->value->data == NULL) {
        get->failed = true;
        return;
    }
    memcpy(get->value->data, event->data, event->size + 1);
    get->value->size = event->size;
    get->value->revision = event->revision;
}

/* Reads one key. The caller frees the value with AprStoreValue_Clear(). For a
   key that does not exist returns APR_OK with revision 0 and no data. */
static int
etcd_get(void *context, const char *key, AprStoreValue_t *value,
         AprError_t *error)
{
    AprEtcd_t *etcd = context;
    AprEtcdReply_t reply = {.body = g_string_new(NULL)};
    char *request = AprEtcdJson_RangeRequest(key, false);
    GetContext_t get = {value, false};
    int64_t revision;
    int result;

    memset(value, 0, sizeof(*value));
    snprintf(value->key, sizeof(value->key), "%s", key);
    result = call_idempotent(etcd, "/v3/kv/range", request, &reply, error);
    if (result == APR_OK &&
        (AprEtcdJson_ParseRange(reply.body->str, reply.body->len, copy_value,
                                &get, &revision) != APR_OK ||
         get.failed)) {
        result = set_reply_error(&reply, APR_E_UNAVAILABLE, error);
    }
    free(request);
    g_string_free(reply.body, TRUE);
    return result;
}

static int
etcd_list(void *context, const char *prefix, AprStoreVisitor_t visit,
          void *visit_context, int64_t *revision, AprError_t *error)
{
    AprEtcd_t *etcd = context;
    AprEtcdReply_t reply = {.body = g_string_new(NULL)};
    char *request = AprEtcdJson_RangeRequest(prefix, true);
    int result = call_idempotent(etcd, "/v3/kv/range", request, &reply, error);

    if (result == APR_OK &&
        AprEtcdJson_ParseRange(reply.body->str, reply.body->len, visit,
                               visit_context, revision) != APR_OK) {
        result = set_reply_error(&reply, APR_E_UNAVAILABLE, error);
    }
    free(request);
    g_string_free(reply.body, TRUE);
    return result;
}

static int
check_value_sizes(const AprStorePut_t *puts, int put_count, AprError_t *error)
{
    for (int i = 0; i < put_count; i++) {
        if (puts[i].size > MAX_VALUE_BYTES) {
            return AprError_Set(error, APR_E_TOO_LARGE, APR_STEP_STORE, NULL,
                                "value of %s has %zu bytes, limit %u",
                                puts[i].key, puts[i].size, MAX_VALUE_BYTES);
        }
    }
    return APR_OK;
}

static int
parse_swap_reply(const AprEtcdReply_t *reply, int64_t *revision,
                 AprError_t *error)
{
    bool succeeded;

    if (AprEtcdJson_ParseTxn(reply->body->str, reply->body->len, &succeeded,
                             revision) != APR_OK) {
        return set_reply_error(reply, APR_E_UNKNOWN_OUTCOME, error);
    }
    if (!succeeded) {
        return AprError_Set(error, APR_E_CONFLICT, APR_STEP_STORE,
                            reply->endpoint,
                            "the revision of a compared key has changed");
    }
    return APR_OK;
}

static int
etcd_swap(void *context, const AprStoreCompare_t *compares, int compare_count,
          const AprStorePut_t *puts, int put_count, int64_t *revision,
          AprError_t *error)
{
    AprEtcd_t *etcd = context;
    AprEtcdReply_t reply = {0};
    char *request;
    int result = check_value_sizes(puts, put_count, error);

    if (result != APR_OK) {
        return result;
    }
    reply.body = g_string_new(NULL);
    request = AprEtcdJson_TxnRequest(compares, compare_count, puts, put_count);
    result = call_non_idempotent(etcd, "/v3/kv/txn", request, &reply, error);
    if (result == APR_OK) {
        result = parse_swap_reply(&reply, revision, error);
    }
    free(request);
    g_string_free(reply.body, TRUE);
    return result;
}

/* Requests a lease. The call may be repeated, because a lease whose grant was
   lost expires. */
static int
etcd_grant_lease(void *context, int ttl_s, int64_t *lease, AprError_t *error)
{
    AprEtcd_t *etcd = context;
    AprEtcdReply_t reply = {.body = g_string_new(NULL)};
    char *request = AprEtcdJson_GrantRequest(ttl_s);
    int result =
        call_idempotent(etcd, "/v3/lease/grant", request, &reply, error);

    if (result == APR_OK &&
        AprEtcdJson_ParseGrant(reply.body->str, reply.body->len, lease) !=
            APR_OK) {
        result = set_reply_error(&reply, APR_E_UNAVAILABLE, error);
    }
    free(request);
    g_string_free(reply.body, TRUE);
    return result;
}

/* Renews a lease. Returns APR_E_NOT_FOUND when it has expired. */
static int
etcd_renew_lease(void *context, int64_t lease, AprError_t *error)
{
    AprEtcd_t *etcd = context;
    AprEtcdReply_t reply = {.body = g_string_new(NULL)};
    char *request = AprEtcdJson_KeepAliveRequest(lease);
    int64_t ttl_s = 0;
    int result =
        call_idempotent(etcd, "/v3/lease/keepalive", request, &reply, error);

    if (result == APR_OK &&
        AprEtcdJson_ParseKeepAlive(reply.body->str, reply.body->len, &ttl_s) !=
            APR_OK) {
        result = set_reply_error(&reply, APR_E_UNAVAILABLE, error);
    }
    else if (result == APR_OK && ttl_s <= 0) {
        result = AprError_Set(error, APR_E_NOT_FOUND, APR_STEP_STORE,
                              reply.endpoint, "the lease has expired");
    }
    free(request);
    g_string_free(reply.body, TRUE);
    return result;
}

static void
etcd_free(void *context)
{
    AprEtcd_t *etcd = context;

    for (int i = 0; i < etcd->idle_handle_count; i++) {
        curl_easy_cleanup(etcd->idle_handles[i]);
    }
    curl_slist_free_all(etcd->headers);
    pthread_mutex_destroy(&etcd->mutex);
    free(etcd);
}

static int
add_endpoint(AprEtcd_t *etcd, const char *endpoint, AprError_t *error)
{
    size_t size = strlen(endpoint);

    while (size > 0 && endpoint[size - 1] == '/') {
        size--;
    }
    if (size == 0 || size >= APR_ETCD_URL_SIZE ||
        etcd->endpoint_count == APR_ETCD_MAX_ENDPOINTS) {
        return AprError_Set(
            error, APR_E_INVALID, APR_STEP_STORE, endpoint,
            "endpoint must have 1 to %d bytes; at most %d endpoints",
            APR_ETCD_URL_SIZE - 1, APR_ETCD_MAX_ENDPOINTS);
    }
    memcpy(etcd->endpoints[etcd->endpoint_count++], endpoint, size);
    return APR_OK;
}

/* Opens a client for the given endpoint URLs without connecting. The URLs are
   copied. Each request to one endpoint takes at most `timeout_ms`
   milliseconds. */
int
AprEtcd_Open(const char *const *endpoints, int endpoint_count, int timeout_ms,
             AprStore_t *store, AprError_t *error)
{
    AprEtcd_t *etcd = calloc(1, sizeof(*etcd));
    int result = APR_OK;

    memset(store, 0, sizeof(*store));
    if (etcd == NULL || endpoint_count < 1 || timeout_ms < 1) {
        free(etcd);
        return AprError_Set(
            error, APR_E_INVALID, APR_STEP_STORE, NULL,
            "no endpoint given, invalid timeout or out of memory");
    }
    pthread_once(&curl_once, init_curl);
    pthread_mutex_init(&etcd->mutex, NULL);
    etcd->timeout_ms = timeout_ms;
    etcd->headers = curl_slist_append(NULL, "Content-Type: application/json");
    /* Without this header libcurl waits for "100 Continue" before it sends
       large bodies. */
    etcd->headers = curl_slist_append(etcd->headers, "Expect:");
    for (int i = 0; i < endpoint_count && result == APR_OK; i++) {
        result = add_endpoint(etcd, endpoints[i], error);
    }
    if (result != APR_OK) {
        etcd_free(etcd);
        return result;
    }
    *store = (AprStore_t){
        etcd_get,         etcd_list,     etcd_swap, etcd_grant_lease,
        etcd_renew_lease, AprEtcd_Watch, etcd_free, etcd};
    return APR_OK;
}
