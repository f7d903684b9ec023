#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "apricot/error.h"
#include "apricot/route_table.h"
#include "internal/host_choice.h"
#include "internal/http_message.h"

static AprRouteTable_t *
table_of_three(void)
{
    AprRouteTable_t *table = AprRouteTable_New(3, 2);

    table->routes[0].host = strdup("A.example");
    table->routes[0].prefix = strdup("/");
    table->routes[1].host = strdup("a.example");
    table->routes[1].prefix = strdup("/jobs/");
    table->routes[2].host = strdup("a.example");
    table->routes[2].prefix = strdup("/jobs/new/");
    assert_int_equal(AprRouteTable_BuildIndex(table), APR_OK);
    return table;
}

static int
find(const AprRouteTable_t *table, const char *host, const char *path)
{
    AprRoute_t *route =
        AprRouteTable_Find(table, host, strlen(host), path, strlen(path));

    return route == NULL ? -1 : (int)(route - table->routes);
}

/* Guards against a request that goes to a shorter prefix, to another host
   name, or by something in its query. */
static void
test_longest_prefix(void **state)
{
    AprRouteTable_t *table = table_of_three();

    (void)state;
    assert_int_equal(find(table, "a.example", "/jobs/new/1"), 2);
    assert_int_equal(find(table, "a.example:80", "/jobs/newer"), 1);
    assert_int_equal(find(table, "A.EXAMPLE", "/jobs"), 0);
    assert_int_equal(find(table, "a.example", "/x?/jobs/"), 0);
    assert_int_equal(find(table, "b.example", "/jobs/"), -1);
    assert_int_equal(find(table, "", "/"), -1);
    AprRouteTable_Free(table);
}

/* Guards against shares of a split that differ from their weights. */
static void
test_split_follows_weights(void **state)
{
    AprRoute_t route = {0};
    int counts[2] = {0};

    (void)state;
    route.part_count = 2;
    route.parts[0].service = 0;
    route.parts[0].weight = 90;
    route.parts[1].service = 1;
    route.parts[1].weight = 10;
    for (int i = 0; i < 200; i++) {
        counts[AprRoute_NextService(&route)]++;
    }
    assert_int_equal(counts[0], 180);
    assert_int_equal(counts[1], 20);
}

/* Guards against a choice that ignores a queue, a failure or the way. */
static void
test_host_choice(void **state)
{
    AprHostOption_t idle = {0, 0, 0, 0, 6, true, false, 1};
    AprHostOption_t busy = {120, 0, 12, 0, 6, true, false, 0};
    AprHostOption_t far = {0, 0, 0, 0, 6, false, false, 0};
    AprHostOption_t failed = {0, 0, 0, 0, 6, true, true, 0};
    AprHostOption_t sent = {0, 400, 0, 9, 6, true, false, 0};

    (void)state;
    assert_true(AprHostOption_IsBetter(&idle, &busy));
    assert_true(AprHostOption_IsBetter(&idle, &far));
    assert_true(AprHostOption_IsBetter(&far, &busy));
    assert_true(AprHostOption_IsBetter(&busy, &failed));
    assert_true(AprHostOption_IsBetter(&idle, &sent));
}

typedef struct Seen_t {
    int heads;
    int completes;
    size_t body;
    int header_count;
} Seen_t;

static int
on_head(void *context, const AprHttpHead_t *head)
{
    Seen_t *seen = context;

    seen->heads++;
    seen->header_count = head->header_count;
    return 0;
}

static int
on_body(void *context, const char *data, size_t size)
{
    (void)data;
    ((Seen_t *)context)->body += size;
    return 0;
}

static int
on_complete(void *context)
{
    ((Seen_t *)context)->completes++;
    return 0;
}

static const AprHttpHandler_t handler = {on_head, on_body, on_complete};

static int
parse(enum http_parser_type type, const char *text, size_t step, Seen_t *seen)
{
    AprHttpParser_t *parser = AprHttpParser_New(type, &handler, seen);
    size_t size = strlen(text);
    int result = APR_OK;

    memset(seen, 0, sizeof(*seen));
    for (size_t at = 0; at < size && result == APR_OK; at += step) {
        size_t used;
        size_t part = size - at < step ? size - at : step;

        result = AprHttpParser_Execute(parser, text + at, part, &used);
    }
    AprHttpParser_Free(parser);
    return result;
}

/* Guards against a request inside another one: two lengths, a length with
   chunks, and malformed lines. */
static void
test_refuses_smuggling(void **state)
{
    static const char *const requests[] = {
        "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n"
        "Content-Length: 4\r\n\r\nabcd",
        "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n"
        "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n"
        "Content-Length: 3\r\n\r\n0\r\n\r\n",
        "POST / HTTP/1.1\r\nHost : a\r\n\r\n",
        "POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n",
        "POST / HTTP/1.1\r\nContent-Length: 1x\r\n\r\n",
        "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
    };
    Seen_t seen;

    (void)state;
    for (size_t i = 0; i < sizeof(requests) / sizeof(requests[0]); i++) {
        assert_int_equal(parse(HTTP_REQUEST, requests[i], 1000, &seen),
                         APR_E_PARSE);
        assert_int_equal(parse(HTTP_REQUEST, requests[i], 1, &seen),
                         APR_E_PARSE);
        assert_int_equal(seen.completes, 0);
    }
}

/* Guards against a result that depends on how the bytes are cut, with
   requests that follow each other on one connection. */
static void
test_parses_in_any_pieces(void **state)
{
    const char *text = "GET /a HTTP/1.1\r\nHost: x\r\nEmpty:\r\n\r\n"
                       "POST /b HTTP/1.1\r\nHost: x\r\n"
                       "Transfer-Encoding: chunked\r\n\r\n"
                       "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n";
    Seen_t seen;

    (void)state;
    for (size_t step = 1; step < 40; step++) {
        assert_int_equal(parse(HTTP_REQUEST, text, step, &seen), APR_OK);
        assert_int_equal(seen.heads, 2);
        assert_int_equal(seen.completes, 2);
        assert_int_equal(seen.body, 5);
        assert_int_equal(seen.header_count, 2);
    }
}

/* Guards against an answer that was cut and is taken as whole. */
static void
test_cut_answers(void **state)
{
    static const struct {
        const char *text;
        bool whole;
    } answers[] = {
        {"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc", false},
        {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
         false},
        {"HTTP/1.1 200 OK\r\nContent-Le", false},
        {"HTTP/1.1 200 OK\r\n\r\nuntil the end", true},
    };
    Seen_t seen;

    (void)state;
    for (size_t i = 0; i < sizeof(answers) / sizeof(answers[0]); i++) {
        AprHttpParser_t *parser =
            AprHttpParser_New(HTTP_RESPONSE, &handler, &seen);
        size_t used;

        memset(&seen, 0, sizeof(seen));
        assert_int_equal(AprHttpParser_Execute(parser, answers[i].text,
                                               strlen(answers[i].text), &used),
                         APR_OK);
        assert_int_equal(AprHttpParser_Finish(parser) == APR_OK,
                         answers[i].whole);
        assert_int_equal(seen.completes, answers[i].whole ? 1 : 0);
        AprHttpParser_Free(parser);
    }
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_longest_prefix),
        cmocka_unit_test(test_split_follows_weights),
        cmocka_unit_test(test_host_choice),
        cmocka_unit_test(test_refuses_smuggling),
        cmocka_unit_test(test_parses_in_any_pieces),
        cmocka_unit_test(test_cut_answers),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
