#include <curl/curl.h>
#include <stdarg.h>
#include <string.h>

#include "internal/ctl.h"
#include "internal/field_table.h"

#define CONNECT_TIMEOUT_MS 2000L
/* apricotd times out an admin request after 5 s. The client waits longer,
   because the response of apricotd states the reason. */
#define CALL_TIMEOUT_MS 10000L
#define RESPONSE_BYTES_MAX (64U * 1024U * 1024U)

enum {
    HTTP_OK = 200,
    HTTP_ACCEPTED = 202,
    HTTP_BAD_REQUEST = 400,
    HTTP_UNAUTHORIZED = 401,
    HTTP_FORBIDDEN = 403,
    HTTP_CONFLICT = 409,
    HTTP_UNAVAILABLE = 503,
    HTTP_TIMEOUT = 504
};

/* libcurl write callback: appends to the GString in context and rejects
   responses of more than RESPONSE_BYTES_MAX bytes. */
static size_t
append_response_body(char *data, size_t size, size_t count, void *context)
{
    GString *body = context;

    if (body->len + size * count > RESPONSE_BYTES_MAX) {
        return 0; /* a short count makes libcurl fail the transfer */
    }
    g_string_append_len(body, data, (gssize)(size * count));
    return size * count;
}

/* Returns NULL without a token; the caller frees the list. */
static struct curl_slist *
make_request_headers(const AprCtl_t *ctl)
{
    struct curl_slist *headers = NULL;

    if (ctl->admin_token != NULL) {
        char *line =
            g_strdup_printf("Authorization: Bearer %s", ctl->admin_token);

        headers = curl_slist_append(headers, line);
        g_free(line);
    }
    return headers;
}

/* Sends one GET, or one POST with an empty body, and frees the headers.
   Environment variables for proxies are ignored. */
static CURLcode
perform_request(struct curl_slist *headers, const char *url, bool is_post,
                GString *body, long *status)
{
    CURL *curl = curl_easy_init();
    CURLcode code;

    if (curl == NULL) {
        curl_slist_free_all(headers);
        return CURLE_FAILED_INIT;
    }
    curl_easy_setopt(curl, CURLOPT_URL, url);
    curl_easy_setopt(curl, CURLOPT_PROXY, "");
    curl_easy_setopt(curl, CURLOPT_HTTPHEADER, headers);
    curl_easy_setopt(curl, CURLOPT_CONNECTTIMEOUT_MS, CONNECT_TIMEOUT_MS);
    curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, CALL_TIMEOUT_MS);
    curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, append_response_body);
    curl_easy_setopt(curl, CURLOPT_WRITEDATA, body);
    curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
    if (is_post) {
        curl_easy_setopt(curl, CURLOPT_POSTFIELDS, "");
        curl_easy_setopt(curl, CURLOPT_POSTFIELDSIZE, 0L);
    }
    code = curl_easy_perform(curl);
    curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, status);
    curl_easy_cleanup(curl);
    curl_slist_free_all(headers);
    return code;
}

/* Sends a GET to a URL without the token, which other servers must not see.
   Returns NULL if there was a response, else the reason. */
const char *
AprCtl_FetchUrl(const char *url, GString *body, long *status)
{
    CURLcode code = perform_request(NULL, url, false, body, status);

    return code == CURLE_OK ? NULL : curl_easy_strerror(code);
}

/* A POST that failed after the connection was made may have been executed, so
   its message does not call it failed. */
static int
report_transport_error(const AprCtl_t *ctl, const char *address, bool is_post,
                       CURLcode code)
{
    if (is_post && code != CURLE_COULDNT_CONNECT) {
        return AprCtl_Fail(ctl, APR_CTL_UNAVAILABLE,
                           "%s: %s; the command may have taken effect, check "
                           "with apricotctl status",
                           address, curl_easy_strerror(code));
    }
    return AprCtl_Fail(ctl, APR_CTL_UNAVAILABLE,
                       "%s: %s; check that the process runs and that the "
                       "address is its admin address",
                       address, curl_easy_strerror(code));
}

static int
exit_code_of_status(long status)
{
    switch (status) {
    case HTTP_BAD_REQUEST:
        return APR_CTL_INVALID;
    case HTTP_CONFLICT:
        return APR_CTL_CONFLICT;
    case HTTP_UNAVAILABLE:
    case HTTP_TIMEOUT:
        return APR_CTL_UNAVAILABLE;
    default:
        return APR_CTL_FAILED;
    }
}

/* Prints an error for an HTTP status other than 200 and 202, for a body that
   is not a JSON object, and for "ok":false. Returns the exit code. */
static int
check_response(const AprCtl_t *ctl, const char *address, long status,
               const json_t *response)
{
    const char *detail = AprCtl_GetText(response, "detail");

    if (status == HTTP_UNAUTHORIZED || status == HTTP_FORBIDDEN) {
        return AprCtl_Fail(ctl, APR_CTL_FAILED,
                           "%s: the token was refused; set --token or "
                           "APRICOT_TOKEN to the process's admin_token",
                           address);
    }
    if (status != HTTP_OK && status != HTTP_ACCEPTED) {
        return AprCtl_Fail(ctl, exit_code_of_status(status), "%s: HTTP %ld %s",
                           address, status, detail);
    }
    if (!json_is_object(response)) {
        return AprCtl_Fail(ctl, APR_CTL_FAILED,
                           "%s: the response is not a JSON object; check that "
                           "the address is an admin address",
                           address);
    }
    if (json_is_false(json_object_get(response, "ok"))) {
        return AprCtl_Fail(ctl, APR_CTL_FAILED, "%s: %s", address,
                           detail[0] == '\0' ? "refused" : detail);
    }
    return APR_CTL_OK;
}

/* Sends a request and checks the response. *response is NULL on an error. */
static int
call_admin(const AprCtl_t *ctl, const char *address, const char *path,
           bool is_post, json_t **response)
{
    char *url = g_strdup_printf("http://%s%s", address, path);
    GString *body = g_string_new(NULL);
    long status = 0;
    CURLcode code = perform_request(make_request_headers(ctl), url, is_post,
                                    body, &status);
    int result;

    *response = NULL;
    if (code != CURLE_OK) {
        result = report_transport_error(ctl, address, is_post, code);
    }
    else {
        *response = json_loadb(body->str, body->len, 0, NULL);
        result = check_response(ctl, address, status, *response);
    }
    if (result != APR_CTL_OK) {
        json_decref(*response);
        *response = NULL;
    }
    g_string_free(body, TRUE);
    g_free(url);
    return result;
}

/* Sends a GET to the admin interface at address (IP:port). */
int
AprCtl_HttpGet(const AprCtl_t *ctl, const char *address, const char *path,
               json_t **response)
{
    return call_admin(ctl, address, path, false, response);
}

/* Sends a POST with an empty body to the admin interface at address. */
int
AprCtl_HttpPost(const AprCtl_t *ctl, const char *address, const char *path,
                json_t **response)
{
    return call_admin(ctl, address, path, true, response);
}

/* Checks that an admin address is set and is a valid IP:port. Prints an error
   and returns APR_CTL_INVALID otherwise. */
int
AprCtl_RequireAdminAddress(const AprCtl_t *ctl)
{
    if (ctl->admin_address == NULL) {
        return AprCtl_Fail(ctl, APR_CTL_INVALID,
                           "no admin address; set --admin IP:port or "
                           "APRICOT_ADMIN");
    }
    if (!AprAddress_IsValid(ctl->admin_address)) {
        return AprCtl_Fail(ctl, APR_CTL_INVALID,
                           "admin address \"%s\" is not IP:port; write for "
                           "example 10.20.1.11:7402",
                           ctl->admin_address);
    }
    return APR_CTL_OK;
}

/* Copies the admin address of a host out of a GET /status response. */
static int
copy_admin_address(const AprCtl_t *ctl, const json_t *status, const char *host,
                   char *address, size_t size)
{
    const json_t *members = json_object_get(status, "members");

    for (size_t i = 0; i < json_array_size(members); i++) {
        const json_t *member = json_array_get(members, i);
        const char *admin = AprCtl_GetText(member, "admin");

        if (strcmp(AprCtl_GetText(member, "host"), host) != 0) {
            continue;
        }
        if (!AprAddress_IsValid(admin)) {
            return AprCtl_Fail(ctl, APR_CTL_FAILED,
                               "host %s publishes no valid admin address; set "
                               "advertise.admin in its settings file",
                               host);
        }
        g_strlcpy(address, admin, size);
        return APR_CTL_OK;
    }
    return AprCtl_Fail(ctl, APR_CTL_FAILED,
                       "host %s is not a member; apricotctl status lists the "
                       "members",
                       host);
}

/* Reads the admin address of a host from GET /status of the process at
   --admin. size is that of address in bytes. Returns an exit code; on an error
   the message has been printed. */
int
AprCtl_FindAdminAddress(const AprCtl_t *ctl, const char *host, char *address,
                        size_t size)
{
    json_t *status;
    int result = AprCtl_RequireAdminAddress(ctl);

    if (result != APR_CTL_OK) {
        return result;
    }
    result = AprCtl_HttpGet(ctl, ctl->admin_address, "/status", &status);
    if (result != APR_CTL_OK) {
        return result;
    }
    result = copy_admin_address(ctl, status, host, address, size);
    json_decref(status);
    return result;
}

/* Formats a path with a query from pairs of name and value, ended by NULL. The
   values are escaped. The result is freed with g_free. */
char *
AprCtl_FormatPath(const char *path, const char *name, ...)
{
    GString *text = g_string_new(path);
    char separator = '?';
    va_list arguments;

    va_start(arguments, name);
    while (name != NULL) {
        char *value =
            g_uri_escape_string(va_arg(arguments, const char *), NULL, FALSE);

        g_string_append_printf(text, "%c%s=%s", separator, name, value);
        g_free(value);
        separator = '&';
        name = va_arg(arguments, const char *);
    }
    va_end(arguments);
    return g_string_free(text, FALSE);
}
