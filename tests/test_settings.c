#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <cmocka.h>
#include <glib.h>

#include "apricot/settings.h"

#define VALID_HOST_FIELDS   \
    "host = \"kochi-a1\"\n" \
    "failure_domain = \"kochi-a\"\n"
#define VALID_SECURITY \
    "[security]\n"     \
    "peer_key = \"0123456789abcdef\"\n"

static int
load_settings(const char *content, AprSettings_t *settings, AprError_t *error)
{
    char *path = NULL;
    int fd = g_file_open_tmp("settings-XXXXXX.toml", &path, NULL);
    int result;

    assert_true(fd >= 0);
    assert_int_equal(write(fd, content, strlen(content)), strlen(content));
    close(fd);
    memset(error, 0, sizeof(*error));
    result = AprSettings_Load(path, settings, error);
    unlink(path);
    g_free(path);
    return result;
}

/* Guards against defaults that are lost or not derived from `listen`. */
static void
test_defaults_and_derived_fields(void **state)
{
    AprSettings_t settings;
    AprError_t error;

    (void)state;
    assert_int_equal(load_settings(VALID_HOST_FIELDS
                                   "[listen]\npeers = \"10.0.0.1:9001\"\n"
                                   "[store]\nendpoints = "
                                   "[\"http://10.0.0.9:2379\", "
                                   "\"http://10.0.0.8:2379\"]\n"
                                   "[log]\nlevel = \"debug\"\n" VALID_SECURITY,
                                   &settings, &error),
                     APR_OK);
    assert_string_equal(settings.host, "kochi-a1");
    assert_string_equal(settings.cell, "main");
    assert_string_equal(settings.advertise_peers, "10.0.0.1:9001");
    assert_string_equal(settings.listen_admin, "127.0.0.1:7402");
    assert_int_equal(settings.endpoint_count, 2);
    assert_string_equal(settings.endpoints[1], "http://10.0.0.8:2379");
    assert_string_equal(settings.store_prefix, "/apricot");
    assert_int_equal(settings.backend_slots, 6);
    assert_int_equal(settings.lease_renew_ms, 250);
    assert_int_equal(settings.lease_promise_ms, 900);
    assert_int_equal(settings.log_level, APR_LOG_DEBUG);
    assert_int_equal(settings.seed_count, 0);
}

typedef struct InvalidCase_t {
    const char *content;
    const char *expected_suffix; /* of the message, after the file name */
} InvalidCase_t;

static const InvalidCase_t invalid_cases[] = {
    {VALID_HOST_FIELDS "[listen]\npeer = \"10.0.0.1:9001\"\n" VALID_SECURITY,
     ":4: listen.peer: is not a known field; the closest known one is "
     "\"listen.peers\""},
    {VALID_HOST_FIELDS "peer_key = \"0123456789abcdef\"\n",
     ":3: peer_key: is not a known field; the closest known one is "
     "\"security.peer_key\""},
    {VALID_HOST_FIELDS "[listen]\nadmin = \"node1:7402\"\n" VALID_SECURITY,
     ":4: listen.admin: \"node1:7402\" is not valid: write IP:port, for "
     "instance \"10.1.2.3:7401\"; host names are not resolved"},
    {VALID_HOST_FIELDS "[security]\npeer_key = \"short\"\n",
     ":4: security.peer_key: has 5 characters; use between 16 and 127"},
    {VALID_HOST_FIELDS "[backend]\nslots = 0\n" VALID_SECURITY,
     ":4: backend.slots: is 0; use 1 to 1024 requests"},
    {VALID_HOST_FIELDS "[backend]\nslots = \"6\"\n" VALID_SECURITY,
     ":4: backend.slots: must be a whole number"},
    {"host = \"kochi-a1\"\n" VALID_SECURITY,
     ":1: failure_domain: is missing; set it (zone that fails as a whole)"},
    {VALID_HOST_FIELDS "[listen\n", ":3: file: TOML syntax: "},
    {VALID_HOST_FIELDS "[log]\nlevel = \"loud\"\n" VALID_SECURITY,
     ":4: log.level: \"loud\" is not valid: choose error, warn, info or "
     "debug"},
    {VALID_HOST_FIELDS "[lease]\nrenew_ms = 800\n" VALID_SECURITY,
     ":1: lease.promise_ms: is less than two lease.renew_ms; raise it or "
     "lower lease.renew_ms"},
    {VALID_HOST_FIELDS "[listen]\ncallers = \"0.0.0.0:7400\"\n" VALID_SECURITY,
     ":4: advertise.callers: would tell others to connect to all addresses; "
     "set it to an address of this host"},
    {VALID_HOST_FIELDS "seeds = [\"10.0.0.1\"]\n" VALID_SECURITY,
     ":3: seeds: \"10.0.0.1\" is not valid: write IP:port, for instance "
     "\"10.1.2.3:7401\"; host names are not resolved"},
};

/* Guards against invalid settings that are accepted, or rejected without a
   one-line message that gives file, line, field and correction. */
static void
test_invalid_settings(void **state)
{
    AprSettings_t settings;
    AprError_t error;

    (void)state;
    for (size_t i = 0; i < sizeof(invalid_cases) / sizeof(invalid_cases[0]);
         i++) {
        const char *suffix;

        assert_int_equal(
            load_settings(invalid_cases[i].content, &settings, &error),
            APR_E_INVALID);
        suffix = strstr(error.detail, ".toml:");
        assert_non_null(suffix);
        suffix += strlen(".toml");
        assert_memory_equal(suffix, invalid_cases[i].expected_suffix,
                            strlen(invalid_cases[i].expected_suffix));
        assert_null(strchr(error.detail, '\n'));
        assert_int_equal(error.step, APR_STEP_SETTINGS);
    }
}

/* Guards against a missing file that is reported as another error, and against
   a message that contains a secret. */
static void
test_missing_file_and_secret(void **state)
{
    AprSettings_t settings;
    AprError_t error = {0};

    (void)state;
    assert_int_equal(
        AprSettings_Load("/nonexistent/host.toml", &settings, &error),
        APR_E_INVALID);
    assert_non_null(strstr(error.detail, "/nonexistent/host.toml:0: file: "));
    assert_int_equal(
        load_settings(VALID_HOST_FIELDS
                      "[security]\npeer_key = \"secret-secret-\\u0007\"\n",
                      &settings, &error),
        APR_E_INVALID);
    assert_null(strstr(error.detail, "secret-"));
    assert_non_null(strstr(error.detail, "security.peer_key"));
}

/* Guards against a field that --help does not describe. */
static void
test_description_lists_fields(void **state)
{
    char *text = AprSettings_DescribeFields();

    (void)state;
    assert_non_null(strstr(text, "lease.promise_ms"));
    assert_non_null(strstr(text, "ms; default 900"));
    assert_non_null(strstr(text, "required"));
    free(text);
}

/* Guards against a shipped example that the loader does not accept. The path
   is relative to the root of the repository. */
static void
test_shipped_example(void **state)
{
    AprSettings_t settings;
    AprError_t error;

    (void)state;
    assert_int_equal(
        AprSettings_Load("examples/settings/host.toml", &settings, &error),
        APR_OK);
    assert_string_equal(settings.failure_domain, "kochi-a");
    assert_int_equal(settings.seed_count, 2);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_defaults_and_derived_fields),
        cmocka_unit_test(test_invalid_settings),
        cmocka_unit_test(test_missing_file_and_secret),
        cmocka_unit_test(test_description_lists_fields),
        cmocka_unit_test(test_shipped_example),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
