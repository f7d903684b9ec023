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
#include <glib/gstdio.h>

#include "apricot/service_config.h"

#define RANK "[[rank]]\nname = \"urgent\"\ntarget_ms = 50\nworth = 10\n"
#define HEAD "service = \"desk\"\nkeys = [\"job/*\"]\n"

/* Writes up to two files into a new directory, loads it and removes it. */
static int
load(const char *first, const char *second, AprServiceConfig_t **configs,
     AprProblems_t *problems)
{
    char *directory = g_dir_make_tmp("services-XXXXXX", NULL);
    char *first_path = g_build_filename(directory, "a.toml", NULL);
    char *second_path = g_build_filename(directory, "b.toml", NULL);
    AprError_t error;
    int result;

    assert_true(g_file_set_contents(first_path, first, -1, NULL));
    if (second != NULL) {
        assert_true(g_file_set_contents(second_path, second, -1, NULL));
    }
    result =
        AprServiceConfig_LoadDirectory(directory, configs, problems, &error);
    unlink(first_path);
    unlink(second_path);
    g_rmdir(directory);
    g_free(second_path);
    g_free(first_path);
    g_free(directory);
    return result;
}

/* Guards against wrong defaults and ranks that are not ordered by urgency. */
static void
test_defaults_and_order(void **state)
{
    AprServiceConfig_t *configs;
    AprProblems_t problems;

    (void)state;
    assert_int_equal(
        load(HEAD "idempotent = [\"status\"]\n"
                  "[[rank]]\nname = \"batch\"\ntarget_ms = 2000\nworth = "
                  "1\n" RANK,
             NULL, &configs, &problems),
        1);
    assert_string_equal(configs->ranks[0].name, "urgent");
    assert_string_equal(configs->ranks[1].name, "batch");
    assert_true(configs->move_cost == 0.5 && configs->hot_share == 0.2);
    assert_true(configs->caller_rate == 200 && configs->service_rate == 5000);
    assert_int_equal(configs->ramp_s, 30);
    assert_int_equal(configs->queue, 256);
    assert_int_equal(configs->body_bytes, 65536);
    assert_int_equal(AprServiceConfig_FindRank(configs, ""), 1);
    assert_int_equal(AprServiceConfig_FindRank(configs, "urgent"), 0);
    assert_int_equal(AprServiceConfig_FindRank(configs, "none"),
                     APR_E_NOT_FOUND);
    assert_true(AprServiceConfig_IsIdempotent(configs, "status"));
    assert_false(AprServiceConfig_IsIdempotent(configs, "book"));
    free(configs);
}

/* Guards against keys outside the patterns, and against invalid UTF-8 that
   reaches GLib's matcher. */
static void
test_owned_keys(void **state)
{
    AprServiceConfig_t config = {0};

    (void)state;
    config.pattern_count = 2;
    strcpy(config.patterns[0], "job/*");
    strcpy(config.patterns[1], "*/sheet");
    assert_true(AprServiceConfig_OwnsKey(&config, "job/17"));
    assert_true(AprServiceConfig_OwnsKey(&config, "w/\xc3\xbc/sheet"));
    assert_false(AprServiceConfig_OwnsKey(&config, "dealer/17"));
    assert_false(AprServiceConfig_OwnsKey(&config, "\xff\xfe/sheet"));
}

/* Guards against a value of one file that is lost or silently overrides the
   value of another. */
static void
test_merge(void **state)
{
    AprServiceConfig_t *configs;
    AprProblems_t problems;

    (void)state;
    assert_int_equal(
        load(HEAD "move_cost = 0.8\n" RANK,
             "service = \"desk\"\nkeys = [\"dealer/*\", \"job/*\"]\n"
             "move_cost = 0.8\n[limits]\nqueue = 16\n" RANK,
             &configs, &problems),
        1);
    assert_int_equal(configs->pattern_count, 2);
    assert_string_equal(configs->patterns[1], "dealer/*");
    assert_int_equal(configs->queue, 16);
    assert_int_equal(configs->rank_count, 1);
    free(configs);
    assert_int_equal(load(HEAD "move_cost = 0.8\n" RANK,
                          "service = \"desk\"\n\nmove_cost = 0.2\n", &configs,
                          &problems),
                     APR_E_INVALID);
    assert_int_equal(problems.count, 1);
    assert_non_null(strstr(problems.items[0].file, "b.toml"));
    assert_int_equal(problems.items[0].line, 3);
    assert_string_equal(problems.items[0].field, "move_cost");
    assert_non_null(strstr(problems.items[0].message, "a.toml line 3"));
    assert_null(configs);
}

typedef struct BrokenCase_t {
    const char *content;
    int line;
    const char *field;
    const char *fix; /* part of the message */
} BrokenCase_t;

static const BrokenCase_t broken[] = {
    {HEAD "movecost = 1\n" RANK, 3, "movecost", "\"move_cost\""},
    {HEAD "queue = 1\n" RANK, 3, "queue", "\"limits.queue\""},
    {HEAD RANK "[limit]\nqueue = 1\n", 7, "limit", "\"limits\""},
    {"service = \"de sk\"\nkeys = [\"a\"]\n" RANK, 1, "service",
     "use only letters"},
    {HEAD "move_cost = 1.5\n" RANK, 3, "move_cost", "use 0 to 1"},
    {HEAD "move_cost = nan\n" RANK, 3, "move_cost", "use 0 to 1"},
    {HEAD "[limits]\nbody_bytes = 65537\n" RANK, 4, "limits.body_bytes",
     "use 0 to 65536"},
    {HEAD "ramp_s = 1.5\n" RANK, 3, "ramp_s", "whole number"},
    {"service = \"desk\"\nkeys = \"job/*\"\n" RANK, 2, "keys",
     "must be a list"},
    {HEAD, 1, "rank", "add a [[rank]]"},
    {"service = \"desk\"\n" RANK, 1, "keys", "add for instance"},
    {"keys = [\"a\"]\n" RANK, 1, "service", "is missing; set it"},
    {HEAD "[[rank]]\nname = \"a\"\nworth = 1\n", 3, "rank.target_ms",
     "is missing; set it"},
    {HEAD RANK "worthy = 1\n", 7, "rank.worthy", "\"worth\""},
    {HEAD RANK RANK, 7, "rank.name", "rename one"},
    {HEAD "keys = [\"b\"]\n" RANK, 3, "file", "TOML syntax"},
    {HEAD "rank = 3\n", 3, "rank", "[[rank]]"},
    {HEAD "generation = 3\n" RANK, 3, "generation", "not a known field"},
    {"service = \"de\\u0000sk\"\nkeys = [\"a\"]\n" RANK, 1, "service",
     "text in quotes"},
};

/* Guards against broken files that are accepted, or reported without file,
   line, field and fix. */
static void
test_broken_files(void **state)
{
    AprServiceConfig_t *configs;
    AprProblems_t problems;

    (void)state;
    for (size_t i = 0; i < sizeof(broken) / sizeof(broken[0]); i++) {
        const AprProblem_t *problem = &problems.items[0];

        assert_int_equal(load(broken[i].content, NULL, &configs, &problems),
                         APR_E_INVALID);
        assert_int_equal(problems.count, 1);
        assert_non_null(strstr(problem->file, "a.toml"));
        assert_int_equal(problem->line, broken[i].line);
        assert_string_equal(problem->field, broken[i].field);
        assert_non_null(strstr(problem->message, broken[i].fix));
    }
}

/* Guards against configuration JSON from a peer that would leave a service
   without ranks or with values out of range, and against a newer release's
   field that stops an older process. */
static void
test_json_is_checked(void **state)
{
    static const char *const refused[] = {
        "",
        "[]",
        "3",
        "{",
        "{\"service\":\"desk\"}",
        "{\"service\":\"desk\",\"keys\":[\"a\"],\"rank\":[]}",
        "{\"service\":\"desk\",\"keys\":[\"a\"],\"rank\":[{\"name\":\"u\","
        "\"target_ms\":0,\"worth\":1}]}",
        "{\"service\":\"desk\",\"keys\":[\"a\"],\"rank\":[3]}",
        "{\"service\":\"desk\",\"keys\":{\"a\":1},\"rank\":[{\"name\":\"u\","
        "\"target_ms\":1,\"worth\":1}]}",
    };
    const char *newer = "{\"service\":\"desk\",\"keys\":[\"a\"],\"zone\":1,"
                        "\"rank\":[{\"name\":\"u\",\"target_ms\":1,"
                        "\"worth\":1,\"shade\":2}]}";
    AprServiceConfig_t config;
    AprError_t error;

    (void)state;
    for (size_t i = 0; i < sizeof(refused) / sizeof(refused[0]); i++) {
        assert_int_equal(AprServiceConfig_FromJson(
                             refused[i], strlen(refused[i]), &config, &error),
                         APR_E_PARSE);
    }
    assert_int_equal(
        AprServiceConfig_FromJson(newer, strlen(newer), &config, &error),
        APR_OK);
    assert_int_equal(config.rank_count, 1);
}

/* Guards against a directory without service files that counts as valid. */
static void
test_no_files(void **state)
{
    AprServiceConfig_t *configs;
    AprProblems_t problems;
    AprError_t error;
    char *directory = g_dir_make_tmp("services-XXXXXX", NULL);

    (void)state;
    assert_int_equal(
        AprServiceConfig_LoadDirectory(directory, &configs, &problems, &error),
        APR_E_NOT_FOUND);
    g_rmdir(directory);
    assert_int_equal(
        AprServiceConfig_LoadDirectory(directory, &configs, &problems, &error),
        APR_E_IO);
    g_free(directory);
}

/* Guards against shipped examples that a release no longer accepts. Run from
   the root of the repository. */
static void
test_examples(void **state)
{
    const char *const directories[] = {"examples/kayalpuram",
                                       "examples/kitakaze"};
    AprServiceConfig_t *configs = NULL;
    AprProblems_t problems;
    AprError_t error;

    (void)state;
    assert_int_equal(AprServiceConfig_LoadDirectories(directories, 2, &configs,
                                                      &problems, &error),
                     4);
    assert_string_equal(configs[3].service, "rentals");
    assert_int_equal(configs[3].rank_count, 3);
    assert_string_equal(configs[3].ranks[0].name, "rush");
    assert_true(configs[0].move_cost > configs[3].move_cost);
    free(configs);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_defaults_and_order),
        cmocka_unit_test(test_owned_keys),
        cmocka_unit_test(test_merge),
        cmocka_unit_test(test_broken_files),
        cmocka_unit_test(test_json_is_checked),
        cmocka_unit_test(test_no_files),
        cmocka_unit_test(test_examples),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
