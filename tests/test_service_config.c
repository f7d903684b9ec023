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

#define URGENT_RANK "[[rank]]\nname = \"urgent\"\ntarget_ms = 50\nworth = 10\n"
#define SERVICE_AND_KEYS "service = \"desk\"\nkeys = [\"job/*\"]\n"

/* Writes up to two files into a new directory, loads it and removes it. */
static int
load_files(const char *first, const char *second, AprServiceConfig_t **configs,
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
        load_files(SERVICE_AND_KEYS
                   "idempotent = [\"status\"]\n"
                   "[[rank]]\nname = \"batch\"\ntarget_ms = 2000\nworth = "
                   "1\n" URGENT_RANK,
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

/* Guards against keys accepted outside the patterns, and against invalid UTF-8
   passed to GLib's matcher, which is undefined for it. */
static void
test_key_patterns(void **state)
{
    AprServiceConfig_t config = {0};

    (void)state;
    config.pattern_count = 2;
    strcpy(config.patterns[0], "job/*");
    strcpy(config.patterns[1], "*/sheet");
    assert_true(AprServiceConfig_MatchesKey(&config, "job/17"));
    assert_true(AprServiceConfig_MatchesKey(&config, "w/\xc3\xbc/sheet"));
    assert_false(AprServiceConfig_MatchesKey(&config, "dealer/17"));
    assert_false(AprServiceConfig_MatchesKey(&config, "\xff\xfe/sheet"));
}

/* Guards against a value that is lost when two files of a service are merged,
   or that silently overrides the value of the other file. */
static void
test_merge_of_files(void **state)
{
    AprServiceConfig_t *configs;
    AprProblems_t problems;

    (void)state;
    assert_int_equal(
        load_files(SERVICE_AND_KEYS "move_cost = 0.8\n" URGENT_RANK,
                   "service = \"desk\"\nkeys = [\"dealer/*\", \"job/*\"]\n"
                   "move_cost = 0.8\n[limits]\nqueue = 16\n" URGENT_RANK,
                   &configs, &problems),
        1);
    assert_int_equal(configs->pattern_count, 2);
    assert_string_equal(configs->patterns[1], "dealer/*");
    assert_int_equal(configs->queue, 16);
    assert_int_equal(configs->rank_count, 1);
    free(configs);
    assert_int_equal(load_files(SERVICE_AND_KEYS
                                "move_cost = 0.8\n" URGENT_RANK,
                                "service = \"desk\"\n\nmove_cost = 0.2\n",
                                &configs, &problems),
                     APR_E_INVALID);
    assert_int_equal(problems.count, 1);
    assert_non_null(strstr(problems.items[0].file, "b.toml"));
    assert_int_equal(problems.items[0].line, 3);
    assert_string_equal(problems.items[0].field, "move_cost");
    assert_non_null(strstr(problems.items[0].message, "a.toml line 3"));
    assert_null(configs);
}

typedef struct InvalidFileCase_t {
    const char *content;
    int line;
    const char *field;
    const char *message_part; /* part of the message */
} InvalidFileCase_t;

static const InvalidFileCase_t invalid_files[] = {
    {SERVICE_AND_KEYS "movecost = 1\n" URGENT_RANK, 3, "movecost",
     "\"move_cost\""},
    {SERVICE_AND_KEYS "queue = 1\n" URGENT_RANK, 3, "queue",
     "\"limits.queue\""},
    {SERVICE_AND_KEYS URGENT_RANK "[limit]\nqueue = 1\n", 7, "limit",
     "\"limits\""},
    {"service = \"de sk\"\nkeys = [\"a\"]\n" URGENT_RANK, 1, "service",
     "use only letters"},
    {SERVICE_AND_KEYS "move_cost = 1.5\n" URGENT_RANK, 3, "move_cost",
     "use 0 to 1"},
    {SERVICE_AND_KEYS "move_cost = nan\n" URGENT_RANK, 3, "move_cost",
     "use 0 to 1"},
    {SERVICE_AND_KEYS "[limits]\nbody_bytes = 65537\n" URGENT_RANK, 4,
     "limits.body_bytes", "use 0 to 65536"},
    {SERVICE_AND_KEYS "ramp_s = 1.5\n" URGENT_RANK, 3, "ramp_s",
     "whole number"},
    {"service = \"desk\"\nkeys = \"job/*\"\n" URGENT_RANK, 2, "keys",
     "must be a list"},
    {SERVICE_AND_KEYS, 1, "rank", "add a [[rank]]"},
    {"service = \"desk\"\n" URGENT_RANK, 1, "keys", "add for instance"},
    {"keys = [\"a\"]\n" URGENT_RANK, 1, "service", "is missing; set it"},
    {SERVICE_AND_KEYS "[[rank]]\nname = \"a\"\nworth = 1\n", 3,
     "rank.target_ms", "is missing; set it"},
    {SERVICE_AND_KEYS URGENT_RANK "worthy = 1\n", 7, "rank.worthy",
     "\"worth\""},
    {SERVICE_AND_KEYS URGENT_RANK URGENT_RANK, 7, "rank.name", "rename one"},
    {SERVICE_AND_KEYS "keys = [\"b\"]\n" URGENT_RANK, 3, "file",
     "TOML syntax"},
    {SERVICE_AND_KEYS "rank = 3\n", 3, "rank", "[[rank]]"},
    {SERVICE_AND_KEYS "generation = 3\n" URGENT_RANK, 3, "generation",
     "not a known field"},
    {"service = \"de\\u0000sk\"\nkeys = [\"a\"]\n" URGENT_RANK, 1, "service",
     "text in quotes"},
};

/* Guards against invalid files that are accepted, or reported without the
   file, the line, the field and how to correct it. */
static void
test_invalid_files(void **state)
{
    AprServiceConfig_t *configs;
    AprProblems_t problems;

    (void)state;
    for (size_t i = 0; i < sizeof(invalid_files) / sizeof(invalid_files[0]);
         i++) {
        const AprProblem_t *problem = &problems.items[0];

        assert_int_equal(
            load_files(invalid_files[i].content, NULL, &configs, &problems),
            APR_E_INVALID);
        assert_int_equal(problems.count, 1);
        assert_non_null(strstr(problem->file, "a.toml"));
        assert_int_equal(problem->line, invalid_files[i].line);
        assert_string_equal(problem->field, invalid_files[i].field);
        assert_non_null(
            strstr(problem->message, invalid_files[i].message_part));
    }
}

/* Guards against configuration JSON from a peer that leaves a service without
   ranks or with values out of range, and against an older process that rejects
   JSON with a field of a newer release. */
static void
test_json_validation(void **state)
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

/* Guards against a directory without service files, or a missing one, that is
   accepted as valid. */
static void
test_directory_without_files(void **state)
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

/* Guards against shipped examples that the release no longer accepts. The test
   must run in the root directory of the repository. */
static void
test_shipped_examples(void **state)
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
        cmocka_unit_test(test_key_patterns),
        cmocka_unit_test(test_merge_of_files),
        cmocka_unit_test(test_invalid_files),
        cmocka_unit_test(test_json_validation),
        cmocka_unit_test(test_directory_without_files),
        cmocka_unit_test(test_shipped_examples),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
