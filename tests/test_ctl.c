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

/* Admin interface of a cell of two hosts; both answer at one address. */
typedef struct FakeAdmin_t {
    AprStandinHttp_t http;
    char owner[APR_NAME_SIZE]; /* of every key */
    bool moves;                /* whether a move is carried out */
    bool refuses;
    bool b_removed;
    bool b_draining;
    char posts[256]; /* paths of all POST calls */
} FakeAdmin_t;

typedef struct Run_t {
    int exit_code;
    char *out;
    char *err;
} Run_t;

static const char *
argument(struct MHD_Connection *client, const char *name)
{
    const char *value =
        MHD_lookup_connection_value(client, MHD_GET_ARGUMENT_KIND, name);

    return value == NULL ? "" : value;
}

static json_t *
member(const FakeAdmin_t *admin, const char *host)
{
    bool is_draining = admin->b_draining && strcmp(host, "host-b") == 0;

    return json_pack("{s:s, s:s, s:s, s:s, s:[s], s:[s]}", "host", host,
                     "state", is_draining ? "draining" : "active",
                     "failure_domain", "kochi-a", "admin", admin->http.address,
                     "services", "desk", "witnesses", "host-a");
}

static json_t *
status(const FakeAdmin_t *admin)
{
    json_t *members = json_array();

    json_array_append_new(members, member(admin, "host-a"));
    if (!admin->b_removed) {
        json_array_append_new(members, member(admin, "host-b"));
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
answer_post(FakeAdmin_t *admin, struct MHD_Connection *client, const char *url)
{
    g_strlcat(admin->posts, url, sizeof(admin->posts));
    if (admin->refuses) {
        return AprStandinHttp_Json(
            client, 200,
            json_pack("{s:b, s:s}", "ok", 0, "detail", "the last host stays"));
    }
    if (strcmp(url, "/move") == 0 && admin->moves) {
        g_strlcpy(admin->owner, argument(client, "to"), sizeof(admin->owner));
    }
    if (strcmp(url, "/remove-host") == 0) {
        admin->b_removed = strcmp(argument(client, "host"), "host-b") == 0 &&
                           strcmp(argument(client, "confirm"), "dead") == 0;
    }
    return AprStandinHttp_Json(client, 202, json_pack("{s:b}", "ok", 1));
}

static enum MHD_Result
handle(void *context, struct MHD_Connection *client, const char *url,
       const char *method, const GString *body)
{
    FakeAdmin_t *admin = context;
    const char *token =
        MHD_lookup_connection_value(client, MHD_HEADER_KIND, "Authorization");

    (void)body;
    if (token == NULL || strcmp(token, "Bearer " TOKEN) != 0) {
        return AprStandinHttp_Json(client, 401, json_pack("{s:b}", "ok", 0));
    }
    if (strcmp(method, "POST") == 0) {
        return answer_post(admin, client, url);
    }
    if (strcmp(url, "/status") == 0) {
        return AprStandinHttp_Json(client, 200, status(admin));
    }
    if (strcmp(url, "/where") == 0) {
        return AprStandinHttp_Json(
            client, 200,
            json_pack("{s:s, s:s, s:i, s:s, s:i, s:s}", "service",
                      argument(client, "service"), "key",
                      argument(client, "key"), "partition", 7, "owner",
                      admin->owner, "epoch", 12, "callers", "10.0.0.1:7400"));
    }
    return AprStandinHttp_Json(client, 200, json_pack("{s:i}", "moves", 0));
}

static int
start(void **state)
{
    FakeAdmin_t *admin = calloc(1, sizeof(*admin));

    strcpy(admin->owner, "host-a");
    admin->moves = true;
    *state = admin;
    return AprStandinHttp_Start(&admin->http, "127.0.0.1:0", 0, handle, admin);
}

static int
stop(void **state)
{
    FakeAdmin_t *admin = *state;

    AprStandinHttp_Stop(&admin->http);
    free(admin);
    return 0;
}

/* Runs "apricotctl WORDS" with the address of the fake added. */
static Run_t
run(const FakeAdmin_t *admin, const char *token, const char *words)
{
    char *line = g_strdup_printf("apricotctl %s --admin %s --token %s", words,
                                 admin->http.address, token);
    char **argv = g_strsplit(line, " ", 0);
    Run_t result;
    size_t out_size;
    size_t err_size;
    FILE *out = open_memstream(&result.out, &out_size);
    FILE *err = open_memstream(&result.err, &err_size);

    result.exit_code = AprCtl_Run((int)g_strv_length(argv), argv, out, err);
    fclose(out);
    fclose(err);
    g_strfreev(argv);
    g_free(line);
    return result;
}

static void
expect(const FakeAdmin_t *admin, const char *words, int exit_code,
       const char *out, const char *err)
{
    Run_t result = run(admin, TOKEN, words);

    assert_non_null(strstr(result.out, out));
    assert_non_null(strstr(result.err, err));
    assert_int_equal(result.exit_code, exit_code);
    free(result.out);
    free(result.err);
}

/* Guards against a status that hides members, ranks or a lost lease, and
   against keys that are not escaped on the way. */
static void
test_reading(void **state)
{
    FakeAdmin_t *admin = *state;

    expect(admin, "status", 0, "lease valid, store ok", "");
    expect(admin, "status", 0, "256 partitions", "");
    expect(admin, "status", 0, "generation 4, 0 unowned, 1 hot, 3 of 6", "");
    expect(admin, "status --json", 0, "\"record_version\":17", "");
    expect(admin, "where desk job/1&x=%2F", 0,
           "desk job/1&x=%2F: partition 7, owner host-a, epoch 12", "");
    expect(admin, "dump host-b", 0, "\"moves\": 0", "");
    expect(admin, "dump host-c", 1, "", "host-c is not a member");
}

/* Guards against a move that is reported before the record shows it, and one
   that is sent for nothing. */
static void
test_move(void **state)
{
    FakeAdmin_t *admin = *state;

    expect(admin, "move desk job/1 host-a", 0, "owner host-a", "");
    assert_string_equal(admin->posts, "");
    admin->b_draining = true;
    expect(admin, "move desk job/1 host-b", 1, "", "is draining");
    admin->b_draining = false;
    expect(admin, "move desk job/1 host-z", 1, "", "not a member");
    assert_string_equal(admin->posts, "");
    expect(admin, "move desk job/1 host-b", 0, "owner host-b, before host-a",
           "");
    assert_string_equal(admin->posts, "/move");
    admin->owner[0] = '\0';
    expect(admin, "move desk job/1 host-b", 1, "", "no owner now");
}

/* Guards against a refusal that looks like success. */
static void
test_drain_and_refusal(void **state)
{
    FakeAdmin_t *admin = *state;

    expect(admin, "drain host-b", 0, "host-b: draining", "");
    expect(admin, "undrain host-b --json", 0, "{\"ok\":true", "");
    assert_string_equal(admin->posts, "/drain/undrain");
    admin->refuses = true;
    expect(admin, "drain host-b", 1, "", "the last host stays");
    expect(admin, "drain host-b --json", 1, "\"ok\":false", "the last host");
}

/* Guards against a removal without the operator's confirmation. */
static void
test_remove_needs_confirmation(void **state)
{
    FakeAdmin_t *admin = *state;

    expect(admin, "remove-host host-b", 2, "", "--confirm-dead");
    assert_string_equal(admin->posts, "");
    expect(admin, "remove-host host-b --confirm-dead", 0, "host-b: removed",
           "");
}

/* Guards against usage faults that are sent, exit codes that scripts cannot
   tell apart, and options before the verb that are taken for it. */
static void
test_faults(void **state)
{
    FakeAdmin_t *admin = *state;
    Run_t result = run(admin, "wrong", "status");

    assert_int_equal(result.exit_code, 1);
    assert_non_null(strstr(result.err, "the token was refused"));
    free(result.out);
    free(result.err);
    expect(admin, "drain", 2, "", "drain takes HOST");
    expect(admin, "drain host-b extra", 2, "", "drain takes HOST");
    expect(admin, "status --based-on 3", 2, "", "Unknown option --based-on");
    expect(admin, "--prefix status status", 0, "lease valid", "");
    expect(admin, "fly", 2, "", "unknown verb");
    expect(admin, "move --help", 0, "SERVICE KEY HOST", "");
    AprStandinHttp_Stop(&admin->http);
    expect(admin, "status", 4, "", "check that the process runs");
    assert_int_equal(
        AprStandinHttp_Start(&admin->http, "127.0.0.1:0", 0, handle, admin),
        0);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup_teardown(test_reading, start, stop),
        cmocka_unit_test_setup_teardown(test_move, start, stop),
        cmocka_unit_test_setup_teardown(test_drain_and_refusal, start, stop),
        cmocka_unit_test_setup_teardown(test_remove_needs_confirmation, start,
                                        stop),
        cmocka_unit_test_setup_teardown(test_faults, start, stop),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
