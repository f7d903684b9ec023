#include <curl/curl.h>
#include <stdarg.h>
#include <string.h>

#include "internal/ctl.h"
#include "internal/field_table.h"

#define CONNECT_TIMEOUT_MS 2000L
/* The process itself gives up after 5 s; its answer says more. */
#define CALL_TIMEOUT_MS 10000L
#define ANSWER_BYTES_MAX (64U * 1024U * 1024U)

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

static size_t
collect(char *data, size_t size, size_t count, void *context)
{
    GString *body = context;

    if (body->len + size * count > ANSWER_BYTES_MAX) {
        return 0; /* makes libcurl fail the call */
    }
    g_string_append_len(body, data, (gssize)(size * count));
    return size * count;
}

static struct curl_slist *
make_headers(const AprCtl_t *ctl)
{
    struct curl_slist *headers = NULL;

    if (ctl->token != NULL) {
        char *line = g_strdup_printf("Authorization: Bearer %s", ctl->token);

        headers = curl_slist_append(headers, line);
        g_free(line);
    }
    return headers;
}

static CURLcode
perform(const AprCtl_t *ctl, const char *url, bool post, GString *body,
        long *status)
{
    CURL *curl = curl_easy_init();
    struct curl_slist *headers = make_headers(ctl);
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
    curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, collect);
    curl_easy_setopt(curl, CURLOPT_WRITEDATA, body);
    curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
    if (post) {
        curl_easy_setopt(curl, CURLOPT_POSTFIELDS, "");
        curl_easy_setopt(curl, CURLOPT_POSTFIELDSIZE, 0L);
    }
    code = curl_easy_perform(curl);
    curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, status);
    curl_easy_cleanup(curl);
    curl_slist_free_all(headers);
    return code;
}

static int
report_transport(const AprCtl_t *ctl, const char *address, bool post,
                 CURLcode code)
{
    if (post && code != CURLE_COULDNT_CONNECT) {
        return AprCtl_Fail(ctl, APR_CTL_UNAVAILABLE,
                           "%s: %s; the command may have taken effect, look "
                           "at apricotctl status",
                           address, curl_easy_strerror(code));
    }
    return AprCtl_Fail(ctl, APR_CTL_UNAVAILABLE,
                       "%s: %s; check that the process runs and that the "
                       "address is its admin address",
                       address, curl_easy_strerror(code));
}

static int
exit_of_status(long status)
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

/* Turns a status other than 200 and 202, or "ok":false, into an exit code. */
static int
judge_answer(const AprCtl_t *ctl, const char *address, long status,
             const json_t *answer)
{
    const char *detail = AprCtl_Text(answer, "detail");

    if (status == HTTP_UNAUTHORIZED || status == HTTP_FORBIDDEN) {
        return AprCtl_Fail(ctl, APR_CTL_FAILED,
                           "%s: the token was refused; set --token or "
                           "APRICOT_TOKEN to the process's admin_token",
                           address);
    }
    if (status != HTTP_OK && status != HTTP_ACCEPTED) {
        return AprCtl_Fail(ctl, exit_of_status(status), "%s: HTTP %ld %s",
                           address, status, detail);
    }
    if (!json_is_object(answer)) {
        return AprCtl_Fail(ctl, APR_CTL_FAILED,
                           "%s: the answer is not a JSON object; check that "
                           "it is an admin address",
                           address);
    }
    if (json_is_false(json_object_get(answer, "ok"))) {
        return AprCtl_Fail(ctl, APR_CTL_FAILED, "%s: %s", address,
                           detail[0] == '\0' ? "refused" : detail);
    }
    return APR_CTL_OK;
}

static int
call(const AprCtl_t *ctl, const char *address, const char *path, bool post,
     json_t **answer)
{
    char *url = g_strdup_printf("http://%s%s", address, path);
    GString *body = g_string_new(NULL);
    long status = 0;
    CURLcode code = perform(ctl, url, post, body, &status);
    int result;

    *answer = NULL;
    if (code != CURLE_OK) {
        result = report_transport(ctl, address, post, code);
    }
    else {
        *answer = json_loadb(body->str, body->len, 0, NULL);
        result = judge_answer(ctl, address, status, *answer);
    }
    if (result != APR_CTL_OK) {
        json_decref(*answer);
        *answer = NULL;
    }
    g_string_free(body, TRUE);
    g_free(url);
    return result;
}

/* GET on the admin interface at IP:port. */
int
AprCtl_Get(const AprCtl_t *ctl, const char *address, const char *path,
           json_t **answer)
{
    return call(ctl, address, path, false, answer);
}

/* POST with an empty body. */
int
AprCtl_Post(const AprCtl_t *ctl, const char *address, const char *path,
            json_t **answer)
{
    return call(ctl, address, path, true, answer);
}

/* Checks that an admin address is known and well-formed. */
int
AprCtl_RequireAdmin(const AprCtl_t *ctl)
{
    if (ctl->admin == NULL) {
        return AprCtl_Fail(ctl, APR_CTL_INVALID,
                           "no admin address; set --admin IP:port or "
                           "APRICOT_ADMIN");
    }
    if (!AprAddress_Valid(ctl->admin)) {
        return AprCtl_Fail(ctl, APR_CTL_INVALID,
                           "admin address \"%s\" is not IP:port", ctl->admin);
    }
    return APR_CTL_OK;
}

static int
take_address(const AprCtl_t *ctl, const json_t *status, const char *host,
             char *address, size_t size)
{
    const json_t *members = json_object_get(status, "members");

    for (size_t i = 0; i < json_array_size(members); i++) {
        const json_t *member = json_array_get(members, i);
        const char *admin = AprCtl_Text(member, "admin");

        if (strcmp(AprCtl_Text(member, "host"), host) != 0) {
            continue;
        }
        if (!AprAddress_Valid(admin)) {
            return AprCtl_Fail(ctl, APR_CTL_FAILED,
                               "host %s announces no usable admin address",
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

/* Looks up the admin address of a host in the status of the process at
   --admin. */
int
AprCtl_FindHost(const AprCtl_t *ctl, const char *host, char *address,
                size_t size)
{
    json_t *status;
    int result = AprCtl_RequireAdmin(ctl);

    if (result != APR_CTL_OK) {
        return result;
    }
    result = AprCtl_Get(ctl, ctl->admin, "/status", &status);
    if (result != APR_CTL_OK) {
        return result;
    }
    result = take_address(ctl, status, host, address, size);
    json_decref(status);
    return result;
}

/* Joins a path and a query: pairs of name and value, ended by NULL. Values
   are escaped. Freed with g_free. */
char *
AprCtl_Path(const char *path, const char *name, ...)
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
