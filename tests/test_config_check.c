/* Check of the operators' configuration, and its agreement with what the
   gateway accepts. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "apricot/error.h"
#include "internal/json_lines.h"
#include "platform/codec.h"
#include "platform/config_check.h"

/* A configuration without findings. */
static const char valid[] =
    "{\"version\": \"0000000a\",\n"
    " \"routes\": [\n"
    "  {\"name\": \"desk\", \"host\": \"desk.example\",\n"
    "   \"prefix\": \"/desk/\", \"kind\": \"idempotent\",\n"
    "   \"timeoutS\": 2, \"sloS\": 0.5,\n"
    "   \"priority\": 0, \"attempts\": 2,\n"
    "   \"service\": \"desk\"},\n"
    "  {\"name\": \"put\", \"host\": \"desk.example\",\n"
    "   \"prefix\": \"/put/\", \"kind\": \"upload\",\n"
    "   \"timeoutS\": 30, \"sloS\": 10,\n"
    "   \"priority\": 1, \"attempts\": 1,\n"
    "   \"split\": [\n"
    "    {\"service\": \"desk\", \"weight\": 9},\n"
    "    {\"service\": \"bench\", \"weight\": 1}]}],\n"
    " \"services\": [\n"
    "  {\"name\": \"desk\", \"sharded\": true, \"warmS\": 4},\n"
    "  {\"name\": \"bench\", \"coldStartS\": 20, \"coldPerS\": 4}],\n"
    " \"limits\": {\n"
    "  \"maxHeaderBytes\": 16384,\n"
    "  \"maxBodyBytes\": 1048576,\n"
    "  \"headerTimeoutS\": 5, \"idleTimeoutS\": 30}}\n";

#define TEN "xxxxxxxxxx"
#define SEVENTY TEN TEN TEN TEN TEN TEN TEN
#define PART "{\"service\": \"desk\", \"weight\": 1}"

/* One change of the valid configuration and the finding that it must cause.
   `accepted` says whether the gateway puts the changed configuration into
   force. */
typedef struct RuleCase_t {
    const char *from;
    const char *to;
    bool accepted;
    int line;
    const char *field;
    const char *severity;
    const char *message;
} RuleCase_t;

static const RuleCase_t rule_cases[] = {
    {"0000000a", "1x", false, 1, "version", "error", "hexadecimal"},
    {"0000000a", "0x0a", true, 1, "version", "error", "hexadecimal"},
    {"\"0000000a\"", "10", false, 1, "version", "error", "a string"},
    {"\"0000000a\"", "\"0a\", \"versions\": 1", true, 1, "versions", "warning",
     "\"version\""},
    {"\"0000000a\"", "\"0a\", \"version\": \"0b\"", true, 1, "version",
     "warning", "repeatedly"},
    {"\"routes\"", "\"router\"", false, 1, "routes", "error", "missing"},
    {"\"name\": \"put\", ", "", false, 8, "routes[1].name", "error",
     "missing"},
    {"\"kind\": \"upload\"", "\"kind\": \"uplod\"", true, 9, "routes[1].kind",
     "error", "use idempotent"},
    {"\"kind\": \"upload\"", "\"kind\": 4", false, 9, "routes[1].kind",
     "error", "a string"},
    {"\"/put/\"", "\"/put\"", true, 9, "routes[1].prefix", "error", "slash"},
    {"\"/put/\"", "\"\"", true, 9, "routes[1].prefix", "error", "slash"},
    {"\"/put/\"", "\"/p?/\"", true, 9, "routes[1].prefix", "warning",
     "question mark"},
    {"\"put\", \"host\": \"desk.example\",\n   \"prefix\": \"/put/\"",
     "\"put\", \"host\": \"DESK.example\",\n   \"prefix\": \"/desk/\"", false,
     9, "routes[1].prefix", "error", "routes[0]"},
    {"\"put\", \"host\": \"desk.example\"", "\"put\", \"host\": \"a:80\"",
     true, 8, "routes[1].host", "warning", "ports"},
    {"\"timeoutS\": 30", "\"timeoutS\": \"30\"", true, 10,
     "routes[1].timeoutS", "error", "a number"},
    {"\"sloS\": 0.5", "\"sloS\": 0", true, 5, "routes[0].sloS", "error",
     "is 0"},
    {"\"sloS\": 0.5", "\"sloS\": 3", true, 5, "routes[0].sloS", "warning",
     "above the timeoutS of 2"},
    {"\"priority\": 1", "\"priority\": -1", false, 11, "routes[1].priority",
     "error", "is -1"},
    {"\"attempts\": 2", "\"attempts\": 0", true, 6, "routes[0].attempts",
     "error", "is 0"},
    {"\"attempts\": 2", "\"attempts\": 2.0", true, 6, "routes[0].attempts",
     "error", "whole number"},
    {"\"service\": \"desk\"}", "\"service\": \"none\"}", false, 7,
     "routes[0].service", "error", "\"none\""},
    {"\"service\": \"desk\"}", "\"servise\": \"desk\"}", false, 3,
     "routes[0].service", "error", "missing"},
    {"\"split\"", "\"service\": \"desk\", \"split\"", true, 12,
     "routes[1].service", "warning", "not used"},
    {"\"bench\", \"weight\"", "\"desk\", \"weight\"", true, 14,
     "routes[1].split[1].service", "warning", "twice"},
    {"\"weight\": 9", "\"weight\": 0", true, 13, "routes[1].split[0].weight",
     "warning", "is 0"},
    {"\"weight\": 9},\n    {\"service\": \"bench\", \"weight\": 1",
     "\"weight\": 0},\n    {\"service\": \"bench\", \"weight\": 0", true, 12,
     "routes[1].split", "warning", "only weights of 0"},
    {"\"weight\": 9", "\"weight\": 4294967296", true, 13,
     "routes[1].split[0].weight", "error", "4294967295 or less"},
    {"\"weight\": 9", "\"weight\": -9", false, 13, "routes[1].split[0].weight",
     "error", "is -9"},
    {"\"bench\", \"weight\": 1}", "\"desk\", \"weight\": 1}", true, 17,
     "services[1].name", "warning", "no route"},
    {"\"bench\", \"cold", "\"desk\", \"cold", false, 17, "services[1].name",
     "warning", "services[0]"},
    {", \"coldPerS\": 4", "", true, 17, "services[1].coldStartS", "warning",
     "without \"coldPerS\""},
    {"\"coldStartS\": 20, ", "", true, 17, "services[1].coldPerS", "warning",
     "without \"coldStartS\""},
    {", \"warmS\": 4", "", true, 16, "services[0].sharded", "warning",
     "without \"warmS\""},
    {"\"sharded\"", "\"shardet\"", true, 16, "services[0].shardet", "warning",
     "\"sharded\""},
    {"\"limits\"", "\"bounds\"", false, 1, "limits", "error", "missing"},
    {"16384", "0", false, 19, "limits.maxHeaderBytes", "error", "is 0"},
    {"16384", "-1", true, 19, "limits.maxHeaderBytes", "error", "is -1"},
    {"16384", "20", true, 4, "routes[0].prefix", "warning", "maxHeaderBytes"},
    {"1048576", "0", true, 9, "routes[1].kind", "warning", "maxBodyBytes"},
    {"\"headerTimeoutS\": 5, ", "", true, 18, "limits.headerTimeoutS", "error",
     "missing"},
    {"\"idleTimeoutS\": 30", "\"idleTimeoutS\": 4", true, 21,
     "limits.idleTimeoutS", "warning", "below"},
    {"\"idleTimeoutS\": 30", "\"idleTimeoutS\": 1e999", false, 21, "document",
     "error", "overflow"},
    {"\"services\": [", "\"services\": {}, \"x\": [", false, 15, "services",
     "error", "a list"},
    {"\"services\": [", "\"services\": [1, ", false, 15, "services[0]",
     "error", "an object"},
    {"\"name\": \"put\"", "\"name\": \"" SEVENTY "\"", false, 8,
     "routes[1].name", "error", "63 bytes"},
    {"\"prefix\": \"/put/\", ", "", false, 8, "routes[1].prefix", "error",
     "missing"},
    {"\"service\": \"desk\"}", "\"service\": \"desk\", \"split\": []}", true,
     7, "routes[0].split", "warning", "empty"},
    {"\"split\": [",
     "\"split\": [" PART "," PART "," PART "," PART "," PART "," PART "," PART
     ",",
     false, 12, "routes[1].split", "error", "8 services"},
    {"\"warmS\": 4", "\"healthPath\": \"" SEVENTY SEVENTY "\"", true, 16,
     "services[0].healthPath", "error", "127 bytes"},
    {"\"idleTimeoutS\": 30", "\"idleTimeoutS\": 0", false, 21,
     "limits.idleTimeoutS", "error", "is 0"},
    {"30}}", "30}", false, 22, "document", "error", "not JSON"},
};

/* Returns the valid configuration with one text replaced, freed with
   g_free(). */
static char *
change_valid(const char *from, const char *to)
{
    const char *start = strstr(valid, from);

    assert_non_null(start);
    return g_strdup_printf("%.*s%s%s", (int)(start - valid), valid, to,
                           start + strlen(from));
}

/* Returns the findings; `differences` may be NULL. */
static json_t *
run_check(const char *text, const char *old_text, json_t *differences)
{
    AprCtlConfigInput_t input = {.file = "new.json",
                                 .text = text,
                                 .size = strlen(text),
                                 .compares = differences != NULL,
                                 .old_text = old_text};
    json_t *findings = json_array();
    AprError_t error = {0};

    input.old_size = old_text == NULL ? 0 : strlen(old_text);
    assert_int_equal(
        platform_ctl.check_config(&input, findings, differences, &error),
        APR_OK);
    return findings;
}

static const char *
text_of(const json_t *object, const char *member)
{
    return json_string_value(json_object_get(object, member));
}

static bool
contains_finding(const json_t *findings, const RuleCase_t *expected)
{
    size_t index;
    json_t *finding;

    json_array_foreach(findings, index, finding)
    {
        if (json_integer_value(json_object_get(finding, "line")) ==
                expected->line &&
            strcmp(text_of(finding, "field"), expected->field) == 0 &&
            strcmp(text_of(finding, "severity"), expected->severity) == 0 &&
            strstr(text_of(finding, "message"), expected->message) != NULL) {
            return true;
        }
    }
    return false;
}

static int
count_errors(const json_t *findings)
{
    int count = 0;
    size_t index;
    json_t *finding;

    json_array_foreach(findings, index, finding)
    {
        count += strcmp(text_of(finding, "severity"), "error") == 0;
    }
    return count;
}

/* Whether the gateway accepts the text; `error` is set otherwise. */
static bool
gateway_accepts(const char *text, AprError_t *error)
{
    AprRouteTable_t *table;
    int result = Platform_ParseRoutes(text, strlen(text), &table, error);

    assert_true((result == APR_OK) == (table != NULL));
    AprRouteTable_Free(table);
    return result == APR_OK;
}

/* Guards against findings for a correct configuration. */
static void
test_valid_configuration_has_no_findings(void **state)
{
    AprError_t error = {0};
    json_t *findings = run_check(valid, NULL, NULL);

    (void)state;
    assert_int_equal(json_array_size(findings), 0);
    assert_true(gateway_accepts(valid, &error));
    json_decref(findings);
}

/* Guards against a rule that is not applied, against a finding with a wrong
   line or field, and against a gateway that accepts more or less than
   before. */
static void
test_each_rule(void **state)
{
    (void)state;
    for (size_t i = 0; i < sizeof(rule_cases) / sizeof(rule_cases[0]); i++) {
        const RuleCase_t *rule = &rule_cases[i];
        char *text = change_valid(rule->from, rule->to);
        json_t *findings = run_check(text, NULL, NULL);
        AprError_t error = {0};

        if (!contains_finding(findings, rule) ||
            gateway_accepts(text, &error) != rule->accepted) {
            json_dumpf(findings, stderr, JSON_INDENT(1));
            fail_msg("%s -> %s", rule->from, rule->to);
        }
        if (!rule->accepted) {
            assert_true(count_errors(findings) > 0);
        }
        json_decref(findings);
        g_free(text);
    }
}

/* Returns whether the gateway finds the first route for a path. */
static bool
gateway_finds_route(const char *text, const char *path)
{
    AprRouteTable_t *table;
    AprError_t error = {0};
    bool found;

    assert_int_equal(Platform_ParseRoutes(text, strlen(text), &table, &error),
                     APR_OK);
    found = AprRouteTable_Find(table, "desk.example", strlen("desk.example"),
                               path, strlen(path)) == &table->routes[0];
    AprRouteTable_Free(table);
    return found;
}

/* Guards against a route that is never found although its requests are within
   the limits. Only a prefix that fits into no head must be reported. */
static void
test_longest_prefix(void **state)
{
    size_t size = 16384 - strlen("Host") - strlen("desk.example") - 2;
    static const RuleCase_t expected = {NULL,
                                        NULL,
                                        true,
                                        4,
                                        "routes[0].prefix",
                                        "warning",
                                        "at least 16385 bytes"};

    (void)state;
    for (size_t extra = 0; extra < 2; extra++) {
        char *name = g_strnfill(size + extra, 'x');
        char *prefix = g_strdup_printf("\"/%s/\"", name);
        char *path = g_strdup_printf("/%s/p", name);
        char *text = change_valid("\"/desk/\"", prefix);
        json_t *findings = run_check(text, NULL, NULL);

        assert_true(gateway_finds_route(text, path));
        assert_int_equal(json_array_size(findings), extra);
        assert_true(extra == 0 || contains_finding(findings, &expected));
        g_free(path);
        json_decref(findings);
        g_free(text);
        g_free(prefix);
        g_free(name);
    }
}

/* Guards against a rejection by the gateway whose log line does not say what
   to correct. */
static void
test_rejection_names_field_and_reason(void **state)
{
    AprError_t error = {0};
    char *text = change_valid("\"weight\": 1", "\"weight\": -1");

    (void)state;
    assert_false(gateway_accepts(text, &error));
    assert_string_equal(error.detail, "routes[1].split[1].weight: is below 0");
    g_free(text);
    assert_false(gateway_accepts("{\n\"version\":}", &error));
    assert_non_null(strstr(error.detail, "document: line 2: "));
}

/* Guards against several errors of which only the first one is reported, and
   against findings that are not in the order of the file. */
static void
test_all_errors_are_reported_in_order(void **state)
{
    json_t *findings =
        run_check("{\"version\": \"1\",\n \"services\": [1,\n  {}],\n "
                  "\"routes\": [],\n \"limits\": {}}",
                  NULL, NULL);
    json_int_t last_line = 0;
    size_t index;
    json_t *finding;

    (void)state;
    assert_int_equal(json_array_size(findings), 6);
    json_array_foreach(findings, index, finding)
    {
        json_int_t line = json_integer_value(json_object_get(finding, "line"));

        assert_true(line >= last_line);
        last_line = line;
    }
    json_decref(findings);
}

/* Guards against lines that are wrong after escapes, brackets in strings or
   deep nesting, and against members that several objects have in common. */
static void
test_lines_of_values(void **state)
{
    static const char text[] =
        "{\"a\\\"{\": \"]}\\\\\",\n\"b\": [[[[[[[[[[1,\n"
        "2]]]]]]]]]], \"\\u0063\":\n[{\"x\": -1e5}\n,"
        "{\"x\": 1,\n\"x\": 2}]}";
    AprJsonLines_t *lines = AprJsonLines_New(text, strlen(text));

    (void)state;
    assert_int_equal(AprJsonLines_Find(lines, "a\"{"), 1);
    assert_int_equal(AprJsonLines_Find(lines, "b"), 2);
    assert_int_equal(AprJsonLines_Find(lines, "c"), 3);
    assert_int_equal(AprJsonLines_Find(lines, "c[0].x"), 4);
    assert_int_equal(AprJsonLines_Find(lines, "c[1].x"), 6);
    assert_int_equal(AprJsonLines_Find(lines, "c[1].missing"), 5);
    assert_int_equal(AprJsonLines_Find(lines, "missing"), 1);
    assert_int_equal(lines->duplicates->len, 1);
    assert_string_equal(g_ptr_array_index(lines->duplicates, 0), "c[1].x");
    AprJsonLines_Free(lines);
}

/* Guards against differences that are missing or lack a value, and against a
   change of 2 to 2.0 that counts as a difference. */
static void
test_differences_from_an_older_configuration(void **state)
{
    char *text = change_valid("0000000a\",\n \"routes\": [\n  {\"name\": "
                              "\"desk\"",
                              "0000000b\",\n \"routes\": [\n  {\"name\": "
                              "\"new\"");
    char *numbers = change_valid("\"timeoutS\": 2,", "\"timeoutS\": 2.0,");
    json_t *differences = json_array();
    json_t *findings = run_check(text, valid, differences);
    char *summary;

    (void)state;
    assert_int_equal(json_array_size(findings), 0);
    json_object_del(json_array_get(differences, 1), "old");
    json_object_del(json_array_get(differences, 2), "new");
    summary = json_dumps(differences, JSON_COMPACT);
    assert_string_equal(
        summary,
        "[{\"kind\":\"member_changed\",\"name\":\"\",\"field\":\"version\","
        "\"old\":\"0000000a\",\"new\":\"0000000b\"},"
        "{\"kind\":\"route_removed\",\"name\":\"desk\",\"field\":\"\","
        "\"new\":null},"
        "{\"kind\":\"route_added\",\"name\":\"new\",\"field\":\"\","
        "\"old\":null}]");
    free(summary);
    json_decref(findings);
    json_array_clear(differences);
    findings = run_check(numbers, valid, differences);
    assert_int_equal(json_array_size(differences), 0);
    json_decref(findings);
    json_decref(differences);
    g_free(numbers);
    g_free(text);
}

/* Guards against a configuration that is sent although the gateways would
   ignore its version. Versions are compared as numbers. */
static void
test_version_must_be_above_the_one_in_force(void **state)
{
    static const char *const versions[] = {"a", "00000009", "A"};
    static const RuleCase_t expected = {NULL,      NULL,    true,       1,
                                        "version", "error", "not above"};

    (void)state;
    for (int i = 0; i < 3; i++) {
        char *text = change_valid("0000000a", versions[i]);
        json_t *differences = json_array();
        json_t *findings = run_check(text, valid, differences);

        assert_true(contains_finding(findings, &expected));
        json_decref(findings);
        json_decref(differences);
        g_free(text);
    }
}

/* Guards against an older configuration that is malformed and counts as empty,
   and against findings that are lost with it. */
static void
test_malformed_older_configuration(void **state)
{
    AprCtlConfigInput_t input = {.file = "new.json",
                                 .text = "{}",
                                 .size = 2,
                                 .compares = true,
                                 .old_text = "{\"version\": \"x\"}",
                                 .old_size = 16};
    json_t *findings = json_array();
    json_t *differences = json_array();
    AprError_t error = {0};

    (void)state;
    assert_int_equal(
        platform_ctl.check_config(&input, findings, differences, &error),
        APR_E_PARSE);
    assert_int_equal(json_array_size(findings), 4);
    assert_int_equal(json_array_size(differences), 0);
    assert_string_equal(error.detail,
                        "version: is missing or not hexadecimal");
    json_decref(findings);
    json_decref(differences);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_valid_configuration_has_no_findings),
        cmocka_unit_test(test_each_rule),
        cmocka_unit_test(test_longest_prefix),
        cmocka_unit_test(test_rejection_names_field_and_reason),
        cmocka_unit_test(test_all_errors_are_reported_in_order),
        cmocka_unit_test(test_lines_of_values),
        cmocka_unit_test(test_differences_from_an_older_configuration),
        cmocka_unit_test(test_version_must_be_above_the_one_in_force),
        cmocka_unit_test(test_malformed_older_configuration),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
