#include "standins/lib/http.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include "apricot/error.h"

#define MAX_BODY_BYTES (4u << 20)
#define MAX_PORT 65535
#define DEFAULT_MAX_CONNECTIONS 2000

/* Access handler of the daemon. libmicrohttpd calls it once with the headers,
   then for each part of the body, then once more with no data left. */
static enum MHD_Result
on_request(void *context, struct MHD_Connection *client, const char *url,
           const char *method, const char *version, const char *data,
           size_t *size, void **request)
{
    AprStandinHttp_t *http = context;
    GString *body = *request;

    (void)version;
    if (body == NULL) {
        *request = g_string_new(NULL);
        atomic_fetch_add(&http->active, 1);
        return MHD_YES;
    }
    if (*size > 0) {
        if (body->len + *size > MAX_BODY_BYTES) {
            return MHD_NO;
        }
        g_string_append_len(body, data, (gssize)*size);
        *size = 0;
        return MHD_YES;
    }
    return http->handle(http->context, client, url, method, body);
}

static void
on_completed(void *context, struct MHD_Connection *client, void **request,
             enum MHD_RequestTerminationCode code)
{
    AprStandinHttp_t *http = context;

    (void)client;
    (void)code;
    if (*request != NULL) {
        atomic_fetch_sub(&http->active, 1);
        g_string_free(*request, TRUE);
        *request = NULL;
    }
}

static int
parse_address(const char *text, struct sockaddr_in *address)
{
    char host[APR_STANDIN_ADDRESS_SIZE];
    const char *colon = strrchr(text, ':');
    char *end = NULL;
    long port;

    if (colon == NULL || (size_t)(colon - text) >= sizeof(host)) {
        return APR_E_INVALID;
    }
    snprintf(host, sizeof(host), "%.*s", (int)(colon - text), text);
    port = strtol(colon + 1, &end, 10);
    if (colon[1] == '\0' || *end != '\0' || port < 0 || port > MAX_PORT) {
        return APR_E_INVALID;
    }
    memset(address, 0, sizeof(*address));
    address->sin_family = AF_INET;
    address->sin_port = htons((uint16_t)port);
    return inet_pton(AF_INET, host, &address->sin_addr) == 1 ? APR_OK
                                                             : APR_E_INVALID;
}

/* Starts a server on IP:port; port 0 picks a free one. `http` must be zeroed,
   and it and `context` must stay valid until AprStandinHttp_Stop. Returns
   APR_E_INVALID for a malformed address and APR_E_IO if the daemon does not
   start, for example because the port is in use. */
int
AprStandinHttp_Start(AprStandinHttp_t *http, const char *listen,
                     unsigned max_connections, AprStandinHandler_t handle,
                     void *context)
{
    struct sockaddr_in address;
    const union MHD_DaemonInfo *info;
    char host[INET_ADDRSTRLEN];

    if (parse_address(listen, &address) != APR_OK) {
        return APR_E_INVALID;
    }
    http->handle = handle;
    http->context = context;
    http->daemon = MHD_start_daemon(
        MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD |
            MHD_USE_POLL,
        0, NULL, NULL, on_request, http, MHD_OPTION_SOCK_ADDR, &address,
        MHD_OPTION_NOTIFY_COMPLETED, on_completed, http,
        MHD_OPTION_CONNECTION_LIMIT,
        max_connections > 0 ? max_connections : DEFAULT_MAX_CONNECTIONS,
        MHD_OPTION_LISTENING_ADDRESS_REUSE, 1u, MHD_OPTION_END);
    if (http->daemon == NULL) {
        return APR_E_IO;
    }
    info = MHD_get_daemon_info(http->daemon, MHD_DAEMON_INFO_BIND_PORT);
    inet_ntop(AF_INET, &address.sin_addr, host, sizeof(host));
    snprintf(http->address, sizeof(http->address), "%s:%u", host, info->port);
    return APR_OK;
}

/* Waits until the running handlers have returned and stops the server. */
void
AprStandinHttp_Stop(AprStandinHttp_t *http)
{
    if (http->daemon != NULL) {
        MHD_stop_daemon(http->daemon);
        http->daemon = NULL;
    }
}

/* Sends a response with a copy of the text as its body. */
enum MHD_Result
AprStandinHttp_SendText(struct MHD_Connection *client, int status,
                        const char *type, const char *text)
{
    struct MHD_Response *response = MHD_create_response_from_buffer(
        strlen(text), (void *)(uintptr_t)text, MHD_RESPMEM_MUST_COPY);
    enum MHD_Result result;

    MHD_add_response_header(response, "Content-Type", type);
    result = MHD_queue_response(client, (unsigned)status, response);
    MHD_destroy_response(response);
    return result;
}

/* Sends a JSON response and releases the object. */
enum MHD_Result
AprStandinHttp_SendJson(struct MHD_Connection *client, int status,
                        json_t *object)
{
    char *text = json_dumps(object, JSON_COMPACT);
    enum MHD_Result result =
        AprStandinHttp_SendText(client, status, "application/json", text);

    free(text);
    json_decref(object);
    return result;
}

/* Returns whether the caller has closed its side of the connection. */
bool
AprStandinHttp_IsClosed(struct MHD_Connection *client)
{
    const union MHD_ConnectionInfo *info =
        MHD_get_connection_info(client, MHD_CONNECTION_INFO_CONNECTION_FD);
    ssize_t size;
    char byte;

    if (info == NULL) {
        return true;
    }
    size = recv(info->connect_fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return size == 0 || (size < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

/* Returns the number of requests whose response has not been sent. */
int
AprStandinHttp_CountActive(AprStandinHttp_t *http)
{
    return atomic_load(&http->active);
}

/* Returns a number from the query string of the URL, or `default_value` if it
   is missing. */
long
AprStandinHttp_QueryNumber(struct MHD_Connection *client, const char *name,
                           long default_value)
{
    const char *text =
        MHD_lookup_connection_value(client, MHD_GET_ARGUMENT_KIND, name);

    return text == NULL ? default_value : strtol(text, NULL, 10);
}
