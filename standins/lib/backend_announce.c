#include "standins/lib/backend_server_private.h"

#include <curl/curl.h>
#include <stdlib.h>
#include <string.h>

#define REQUEST_TIMEOUT_MS 500

static size_t
discard_response(const char *data, size_t size, size_t count, void *context)
{
    (void)data;
    (void)context;
    return size * count;
}

/* Serializes the announcement of a service; the caller frees the text. */
static char *
announcement_json(const AprBackendServer_t *server, const char *service)
{
    const AprBackendOptions_t *options = &server->options;
    json_t *object = json_pack("{s:s,s:s,s:i,s:i,s:b}", "service", service,
                               "address", server->http.address, "slots",
                               options->max_concurrent_requests, "connections",
                               options->max_connections, "checks_grants",
                               (int)options->checks_grants);
    char *text = json_dumps(object, JSON_COMPACT);

    json_decref(object);
    return text;
}

/* Sends one announcement. Errors are ignored, because the announcement is
   repeated after APR_ANNOUNCE_INTERVAL_MS. */
static void
send_announcement(const AprBackendServer_t *server, CURL *curl,
                  const char *service)
{
    char *text = announcement_json(server, service);
    char *url =
        g_strdup_printf("http://%s/announce", server->options.announce_to);
    struct curl_slist *headers =
        curl_slist_append(NULL, "Content-Type: application/json");

    if (server->options.token != NULL) {
        char *header =
            g_strdup_printf("Authorization: Bearer %s", server->options.token);

        headers = curl_slist_append(headers, header);
        g_free(header);
    }
    curl_easy_setopt(curl, CURLOPT_URL, url);
    curl_easy_setopt(curl, CURLOPT_HTTPHEADER, headers);
    curl_easy_setopt(curl, CURLOPT_POSTFIELDS, text);
    curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, discard_response);
    curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, (long)REQUEST_TIMEOUT_MS);
    curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(curl, CURLOPT_PROXY, "");
    curl_easy_perform(curl);
    curl_slist_free_all(headers);
    g_free(url);
    free(text);
}

/* Thread function: announces all services every APR_ANNOUNCE_INTERVAL_MS
   until the server drains or stops. `context` is the server. */
void *
AprBackendServer_RunAnnouncer(void *context)
{
    AprBackendServer_t *server = context;
    CURL *curl = curl_easy_init();

    pthread_mutex_lock(&server->mutex);
    while (!server->stopping && !server->draining) {
        int64_t next_ms = AprBackendServer_NowMs() + APR_ANNOUNCE_INTERVAL_MS;

        pthread_mutex_unlock(&server->mutex);
        for (int i = 0; i < server->options.service_count; i++) {
            send_announcement(server, curl, server->options.services[i]);
        }
        pthread_mutex_lock(&server->mutex);
        while (!server->stopping && !server->draining &&
               AprBackendServer_NowMs() < next_ms) {
            AprBackendServer_WaitForChange(server,
                                           next_ms - AprBackendServer_NowMs());
        }
    }
    pthread_mutex_unlock(&server->mutex);
    curl_easy_cleanup(curl);
    return NULL;
}
