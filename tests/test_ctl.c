#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "internal/ctl.h"
#include "standins/lib/http.h"

#define TOKEN "operator-token"

/* Fake admin interface of a cell of two hosts, which share one address. */
typedef struct FakeAdmin_t {
    AprStandinHttp_t http;
    char owner[APR_NAME_SIZE]; /* of every key */
    bool applies_moves;        /* whether POST /move changes owner */
    bool rejects_posts;
    bool host_b_removed;
    bool host_b_draining;
    char posted_paths[256]; /* of all POST requests, concatenated */
} FakeAdmin_t;

typedef struct CtlRun_t {
    int exit_code;
    char *out;
    char *err;
} CtlRun_t;

static const char *
query_argument(struct MHD_Connection *client, const char *name)
{
    const char *value =
        MHD_lookup_connection_value(client, MHD_GET_ARGUMENT_KIND, name);

    return value == NULL ? "" : value;
}

static json_t *
member_to_json(const FakeAdmin_t *admin, const char *host)
{
    bool is_draining = admin->host_b_draining && strcmp(host, "host-b") == 0;

    return json_pack("{s:s, s:s, s:s, s:s, s:[s], s:[s]}", "host", host,
                     "state", is_draining ? "draining" : "active",
                     "failure_domain", "kochi-a", "admin", admin->http.address,
                     "services", "desk", "witnesses", "host-a");
}

static json_t *
status_to_json(const FakeAdmin_t *admin)
{
    json_t *members = json_array();

    json_array_append_new(members, member_to_json(admin, "host-a"));
    if (!admin->host_b_removed) {
        json_array_append_new(members, member_to_json(admin, "host-b"));
    }
    return json_pack(
        "{s:s, s:s, s:i, s:i, s:b, s:s, s:o, s:[{s:s, s:i, s:{s:i}, s:i, s:i, "
        "s:[{s:s, s:i, s:i, s:i, s:i}], s:i, s:i}]}",
        "host", "host-a", "cell", "kochi", "record_version", 17, "generation",
        4, "lease_valid", 1, "store", "ok", "members", members, "services",
        "name", "desk", "generation", 4, "partitions", "host-a", 256,
        "unowned", 0, "hot", 1, "ranks", "name", "urgent", "queued", 2,
        "answered", 30, "not_run", 4, "unknown", 1, "running", 3, "slots", 6);
}

static enum MHD_Result
handle_post(FakeAdmin_t *admin, struct MHD_Connection *client, const char *url)
{
    g_strlcat(admin->posted_paths, url, sizeof(admin->posted_paths));
    if (admin->rejects_posts) {
        return AprStandinHttp_SendJson(
            client, 200,
            json_pack("{s:b, s:s}", "ok", 0, "detail", "the last host stays"));
    }
    if (strcmp(url, "/move") == 0 && admin->applies_moves) {
        g_strlcpy(admin->owner, query_argument(client, "to"),
                  sizeof(admin->owner));
    }
    if (strcmp(url, "/remove-host") == 0) {
        admin->host_b_removed =
            strcmp(query_argument(client, "host"), "host-b") == 0 &&
            strcmp(query_argument(client, "confirm"), "dead") == 0;
    }
    return AprStandinHttp_SendJson(client, 202, json_pack("{s:b}", "ok", 1));
}

static enum MHD_Result
handle_request(void *context, struct MHD_Connection *client, const char *url,
               const char *method, const GString *body)
{
    FakeAdmin_t *admin = context;
    const char *token =
        MHD_lookup_connection_value(client, MHD_HEADER_KIND, "Authorization");

    (void)body;
    if (token == NULL || strcmp(token, "Bearer " TOKEN) != 0) {
        return AprStandinHttp_SendJson(client, 401,
                                       json_pack("{s:b}", "ok", 0));
    }
    if (strcmp(method, "POST") == 0) {
        return handle_post(admin, client, url);
    }
    if (strcmp(url, "/status") == 0) {
        return AprStandinHttp_SendJson(client, 200, status_to_json(admin));
    }
    if (strcmp(url, "/where") == 0) {
        return AprStandinHttp_SendJson(
            client, 200,
            json_pack("{s:s, s:s, s:i, s:s, s:i, s:s}", "service",
                      query_argument(client, "service"), "key",
                      query_argument(client, "key"), "partition", 7, "owner",
                      admin->owner, "epoch", 12, "callers", "10.0.0.1:7400"));
    }
    return AprStandinHttp_SendJson(client, 200,
                                   json_pack("{s:i}", "moves", 0));
}

static int
start_fake_admin(void **state)
{
    FakeAdmin_t *admin = calloc(1, sizeof(*admin));

    strcpy(admin->owner, "host-a");
    admin->applies_moves = true;
    *state = admin;
    return AprStandinHttp_Start(&admin->http, "127.0.0.1:0", 0, handle_request,
                                admin);
}

static int
stop_fake_admin(void **state)
{
    FakeAdmin_t *admin = *state;

    AprStandinHttp_Stop(&admin->http);
    free(admin);
    return 0;
}

/* Runs apricotctl with command_line, the address of the fake and a token. The
   caller frees out and err. */
static CtlRun_t
run_ctl(const FakeAdmin_t *admin, const char *token, const char *command_line)
{
    char *line = g_strdup_printf("apricotctl %s --admin %s --token %s",
                                 command_line, admin->http.address, token);
    char **argv = g_strsplit(line, " ", 0);
    CtlRun_t result;
    size_t out_size;
    size_t err_size;
    FILE *out = open_memstream(&result.out, &out_size);
    FILE *err = open_memstream(&result.err, &err_size);

    result.exit_code =
        AprCtl_Run((int)g_strv_length(argv), argv, out, err, NULL);
    fclose(out);
    fclose(err);
    g_strfreev(argv);
    g_free(line);
    return result;
}

/* Checks the exit code and that both streams contain the texts given. */
static void
expect_run(const FakeAdmin_t *admin, const char *command_line, int exit_code,
           const char *out, const char *err)
{
    CtlRun_t result = run_ctl(admin, TOKEN, command_line);

    assert_non_null(strstr(result.out, out));
    assert_non_null(strstr(result.err, err));
    assert_int_equal(result.exit_code, exit_code);
    free(result.out);
    free(result.err);
}

/* Guards against a status without members, ranks or the validity of the lease,
   and against keys that are not escaped in the query of GET /where. */
static void
test_status_where_and_dump(void **state)
{
    FakeAdmin_t *admin = *state;

    expect_run(admin, "status", 0, "lease valid, store ok", "");
    expect_run(admin, "status", 0, "256 partitions", "");
    expect_run(admin, "status", 0, "generation 4, 0 unowned, 1 hot, 3 of 6",
               "");
    expect_run(admin, "status --json", 0, "\"record_version\":17", "");
    expect_run(admin, "where desk job/1&x=%2F", 0,
               "desk job/1&x=%2F: partition 7, owner host-a, epoch 12", "");
    expect_run(admin, "dump host-b", 0, "\"moves\": 0", "");
    expect_run(admin, "dump host-c", 1, "", "host-c is not a member");
}

/* Guards against a move that is reported before /where shows the new owner,
   and against a move that is sent although it is not needed or cannot succeed.
 */
static void
test_move_reports_new_owner(void **state)
{
    FakeAdmin_t *admin = *state;

    expect_run(admin, "move desk job/1 host-a", 0, "owner host-a", "");
    assert_string_equal(admin->posted_paths, "");
    admin->host_b_draining = true;
    expect_run(admin, "move desk job/1 host-b", 1, "", "is draining");
    admin->host_b_draining = false;
    expect_run(admin, "move desk job/1 host-z", 1, "", "not a member");
    assert_string_equal(admin->posted_paths, "");
    expect_run(admin, "move desk job/1 host-b", 0,
               "owner host-b, before host-a", "");
    assert_string_equal(admin->posted_paths, "/move");
    admin->owner[0] = '\0';
    expect_run(admin, "move desk job/1 host-b", 1, "", "no owner now");
}

/* Guards against a rejected command ("ok":false) that is reported as a
   success. */
static void
test_drain_and_rejection(void **state)
{
    FakeAdmin_t *admin = *state;

    expect_run(admin, "drain host-b", 0, "host-b: draining", "");
    expect_run(admin, "undrain host-b --json", 0, "{\"ok\":true", "");
    assert_string_equal(admin->posted_paths, "/drain/undrain");
    admin->rejects_posts = true;
    expect_run(admin, "drain host-b", 1, "", "the last host stays");
    expect_run(admin, "drain host-b --json", 1, "\"ok\":false",
               "the last host");
}

/* Guards against a removal without the operator's confirmation. */
static void
test_remove_needs_confirmation(void **state)
{
    FakeAdmin_t *admin = *state;

    expect_run(admin, "remove-host host-b", 2, "", "--confirm-dead");
    assert_string_equal(admin->posted_paths, "");
    expect_run(admin, "remove-host host-b --confirm-dead", 0,
               "host-b: removed", "");
}

/* Guards against usage errors that reach the process, errors with the wrong
   exit code, and the value of an option before the verb that is parsed as the
   verb. */
static void
test_usage_errors_and_exit_codes(void **state)
{
    FakeAdmin_t *admin = *state;
    CtlRun_t result = run_ctl(admin, "wrong", "status");

    assert_int_equal(result.exit_code, 1);
    assert_non_null(strstr(result.err, "the token was refused"));
    free(result.out);
    free(result.err);
    expect_run(admin, "drain", 2, "", "drain takes HOST");
    expect_run(admin, "drain host-b extra", 2, "", "drain takes HOST");
    expect_run(admin, "status --based-on 3", 2, "",
               "Unknown option --based-on");
    expect_run(admin, "--prefix status status", 0, "lease valid", "");
    expect_run(admin, "fly", 2, "", "unknown verb");
    expect_run(admin, "move --help", 0, "SERVICE KEY HOST", "");
    AprStandinHttp_Stop(&admin->http);
    expect_run(admin, "status", 4, "", "check that the process runs");
    assert_int_equal(AprStandinHttp_Start(&admin->http, "127.0.0.1:0", 0,
                                          handle_request, admin),
                     0);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup_teardown(test_status_where_and_dump,
                                        start_fake_admin, stop_fake_admin),
        cmocka_unit_test_setup_teardown(test_move_reports_new_owner,
                                        start_fake_admin, stop_fake_admin),
        cmocka_unit_test_setup_teardown(test_drain_and_rejection,
                                        start_fake_admin, stop_fake_admin),
        cmocka_unit_test_setup_teardown(test_remove_needs_confirmation,
                                        start_fake_admin, stop_fake_admin),
        cmocka_unit_test_setup_teardown(test_usage_errors_and_exit_codes,
                                        start_fake_admin, stop_fake_admin),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
