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
#include "internal/link_frame.h"

static AprRouteTable_t *
new_table_of_three_routes(void)
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
find_route_index(const AprRouteTable_t *table, const char *host,
                 const char *path)
{
    AprRoute_t *route =
        AprRouteTable_Find(table, host, strlen(host), path, strlen(path));

    return route == NULL ? -1 : (int)(route - table->routes);
}

/* Guards against routing a request by a shorter prefix, by another host name
   or by text in its query string. */
static void
test_longest_prefix_wins(void **state)
{
    AprRouteTable_t *table = new_table_of_three_routes();

    (void)state;
    assert_int_equal(find_route_index(table, "a.example", "/jobs/new/1"), 2);
    assert_int_equal(find_route_index(table, "a.example:80", "/jobs/newer"),
                     1);
    assert_int_equal(find_route_index(table, "A.EXAMPLE", "/jobs"), 0);
    assert_int_equal(find_route_index(table, "a.example", "/x?/jobs/"), 0);
    assert_int_equal(find_route_index(table, "b.example", "/jobs/"), -1);
    assert_int_equal(find_route_index(table, "", "/"), -1);
    AprRouteTable_Free(table);
}

/* Guards against services that get another share of a split route than their
   weights say. */
static void
test_split_follows_weights(void **state)
{
    AprRoute_t route = {0};
    int counts[2] = {0};

    (void)state;
    route.service_count = 2;
    route.services[0].service = 0;
    route.services[0].weight = 90;
    route.services[1].service = 1;
    route.services[1].weight = 10;
    for (int i = 0; i < 200; i++) {
        counts[AprRoute_NextService(&route)]++;
    }
    assert_int_equal(counts[0], 180);
    assert_int_equal(counts[1], 20);
}

/* Guards against choosing a host without regard to its queue, a recent
   failure, its failure domain or the requests in flight to it. */
static void
test_host_choice(void **state)
{
    AprHostCandidate_t idle = {
        .slots = 6, .same_domain = true, .tie_breaker = 1};
    AprHostCandidate_t busy = {
        .wait_ms = 120, .request_count = 12, .slots = 6, .same_domain = true};
    AprHostCandidate_t other_domain = {.slots = 6};
    AprHostCandidate_t failed = {
        .slots = 6, .same_domain = true, .suspect = true};
    AprHostCandidate_t in_flight = {
        .age_ms = 400, .in_flight = 9, .slots = 6, .same_domain = true};

    (void)state;
    assert_true(AprHostCandidate_IsBetter(&idle, &busy));
    assert_true(AprHostCandidate_IsBetter(&idle, &other_domain));
    assert_true(AprHostCandidate_IsBetter(&other_domain, &busy));
    assert_true(AprHostCandidate_IsBetter(&busy, &failed));
    assert_true(AprHostCandidate_IsBetter(&idle, &in_flight));
}

/* Guards against frames that change while balancing is not adaptive: gateways
   of the earlier version must read them, and read these bytes. */
static void
test_load_without_remaining_work(void **state)
{
    static const unsigned char expected[] = {
        0x9b, APR_LINK_PING, 7,    5,    1,    2,    6,
        0xcd, 0x01,          0x2c, 0xc3, 0xc2, 0xc2, 9};
    AprLinkFrame_t frame = {.type = APR_LINK_PING,
                            .sequence = 7,
                            .load = {.wait_ms = 5,
                                     .running = 1,
                                     .queued = 2,
                                     .slots = 6,
                                     .load_permille = 300,
                                     .accepts_calls = true,
                                     .known_revision = 9,
                                     .work_ms = 77}};
    AprLinkFrame_t decoded;
    msgpack_sbuffer buffer;
    msgpack_zone zone;

    (void)state;
    msgpack_sbuffer_init(&buffer);
    msgpack_zone_init(&zone, 4096);
    AprLinkFrame_Encode(&buffer, &frame, 0);
    assert_int_equal(buffer.size, sizeof(expected));
    assert_memory_equal(buffer.data, expected, sizeof(expected));
    assert_int_equal(
        AprLinkFrame_Decode(&zone, buffer.data, buffer.size, &decoded, 0),
        APR_OK);
    assert_false(decoded.load.has_work);
    assert_int_equal(decoded.load.work_ms, 0);
    assert_int_equal(decoded.load.known_revision, 9);
    msgpack_zone_destroy(&zone);
    msgpack_sbuffer_destroy(&buffer);
}

/* Guards against a load whose remaining work is lost, in each frame that ends
   with a load, and against values that cannot be meant. */
static void
test_load_with_remaining_work(void **state)
{
    static const AprLinkType_t types[] = {APR_LINK_PING, APR_LINK_PONG,
                                          APR_LINK_RESPONSE, APR_LINK_FAIL};

    (void)state;
    for (size_t i = 0; i < 2 * sizeof(types) / sizeof(types[0]); i++) {
        bool valid = i % 2 == 0;
        AprLinkFrame_t frame = {.type = types[i / 2],
                                .response = {.status = 200, .headers = ""},
                                .load = {.slots = 6,
                                         .known_revision = 9,
                                         .has_work = true,
                                         .work_ms = 1234,
                                         .pace = valid ? 300 : 0}};
        AprLinkFrame_t decoded;
        msgpack_sbuffer buffer;
        msgpack_zone zone;

        msgpack_sbuffer_init(&buffer);
        msgpack_zone_init(&zone, 4096);
        AprLinkFrame_Encode(&buffer, &frame, 0);
        assert_int_equal(
            AprLinkFrame_Decode(&zone, buffer.data, buffer.size, &decoded, 0),
            valid ? APR_OK : APR_E_PARSE);
        if (valid) {
            assert_true(decoded.load.has_work);
            assert_int_equal(decoded.load.work_ms, 1234);
            assert_int_equal(decoded.load.pace, 300);
            assert_int_equal(decoded.load.known_revision, 9);
        }
        msgpack_zone_destroy(&zone);
        msgpack_sbuffer_destroy(&buffer);
    }
}

/* Guards against a paced call, a grant or the wait for bodies that is lost,
   and against loads of earlier versions that are not read. */
static void
test_frames_of_paced_bodies(void **state)
{
    AprLinkFrame_t frames[] = {
        {.type = APR_LINK_CALL,
         .call = {.target = "/", .headers = "", .key = APR_NO_KEY},
         .data = "ab",
         .data_size = 2,
         .paced = true},
        {.type = APR_LINK_CREDIT, .stream = 3, .acknowledged_bytes = 16384},
        {.type = APR_LINK_PONG,
         .load = {.has_work = true,
                  .pace = 100,
                  .network_delay_ms = 40,
                  .paces_bodies = true,
                  .body_wait_ms = 250}}};
    /* A pong whose load ends with remaining work and pace. */
    static const unsigned char earlier[] = {
        0x9d, APR_LINK_PONG, 7, 5, 1, 2, 6, 0, 0xc3, 0xc2, 0xc2, 9, 50, 100};
    AprLinkFrame_t decoded;
    msgpack_zone zone;

    (void)state;
    msgpack_zone_init(&zone, 4096);
    for (size_t i = 0; i < sizeof(frames) / sizeof(frames[0]); i++) {
        msgpack_sbuffer buffer;

        msgpack_sbuffer_init(&buffer);
        AprLinkFrame_Encode(&buffer, &frames[i], 0);
        assert_int_equal(
            AprLinkFrame_Decode(&zone, buffer.data, buffer.size, &decoded, 0),
            APR_OK);
        assert_int_equal(decoded.paced, frames[i].paced);
        assert_int_equal(decoded.acknowledged_bytes,
                         frames[i].acknowledged_bytes);
        assert_int_equal(decoded.load.network_delay_ms,
                         frames[i].load.network_delay_ms);
        assert_int_equal(decoded.load.paces_bodies,
                         frames[i].load.paces_bodies);
        assert_int_equal(decoded.load.body_wait_ms,
                         frames[i].load.body_wait_ms);
        msgpack_sbuffer_destroy(&buffer);
    }
    assert_int_equal(AprLinkFrame_Decode(&zone, (const char *)earlier,
                                         sizeof(earlier), &decoded, 0),
                     APR_OK);
    assert_true(decoded.load.has_work && !decoded.load.paces_bodies);
    assert_int_equal(decoded.load.work_ms, 50);
    msgpack_zone_destroy(&zone);
}

typedef struct ParseCounts_t {
    int heads;
    int completes;
    size_t body_size;
    int header_count;
} ParseCounts_t;

static int
on_head(void *context, const AprHttpHead_t *head)
{
    ParseCounts_t *counts = context;

    counts->heads++;
    counts->header_count = head->header_count;
    return 0;
}

static int
on_body(void *context, const char *data, size_t size)
{
    (void)data;
    ((ParseCounts_t *)context)->body_size += size;
    return 0;
}

static int
on_complete(void *context)
{
    ((ParseCounts_t *)context)->completes++;
    return 0;
}

static const AprHttpHandler_t handler = {on_head, on_body, on_complete};

/* Parses a text in chunks of a given size and counts what the parser reports;
   returns the parser's result. */
static int
parse(enum http_parser_type type, const char *text, size_t chunk_size,
      ParseCounts_t *counts)
{
    AprHttpParser_t *parser = AprHttpParser_New(type, &handler, counts);
    size_t size = strlen(text);
    int result = APR_OK;

    memset(counts, 0, sizeof(*counts));
    for (size_t at = 0; at < size && result == APR_OK; at += chunk_size) {
        size_t used;
        size_t part = size - at < chunk_size ? size - at : chunk_size;

        result = AprHttpParser_Execute(parser, text + at, part, &used);
    }
    AprHttpParser_Free(parser);
    return result;
}

/* Guards against request smuggling by two lengths, by a length together with
   chunked coding, and by malformed lines. */
static void
test_rejects_request_smuggling(void **state)
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
    ParseCounts_t counts;

    (void)state;
    for (size_t i = 0; i < sizeof(requests) / sizeof(requests[0]); i++) {
        assert_int_equal(parse(HTTP_REQUEST, requests[i], 1000, &counts),
                         APR_E_PARSE);
        assert_int_equal(parse(HTTP_REQUEST, requests[i], 1, &counts),
                         APR_E_PARSE);
        assert_int_equal(counts.completes, 0);
    }
}

/* Guards against results that depend on how the data is split into reads, with
   two requests in sequence on one connection. */
static void
test_parses_data_in_any_pieces(void **state)
{
    const char *text = "GET /a HTTP/1.1\r\nHost: x\r\nEmpty:\r\n\r\n"
                       "POST /b HTTP/1.1\r\nHost: x\r\n"
                       "Transfer-Encoding: chunked\r\n\r\n"
                       "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n";
    ParseCounts_t counts;

    (void)state;
    for (size_t chunk_size = 1; chunk_size < 40; chunk_size++) {
        assert_int_equal(parse(HTTP_REQUEST, text, chunk_size, &counts),
                         APR_OK);
        assert_int_equal(counts.heads, 2);
        assert_int_equal(counts.completes, 2);
        assert_int_equal(counts.body_size, 5);
        assert_int_equal(counts.header_count, 2);
    }
}

/* Guards against accepting a truncated response as complete. */
static void
test_detects_truncated_responses(void **state)
{
    static const struct {
        const char *text;
        bool complete;
    } answers[] = {
        {"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc", false},
        {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
         false},
        {"HTTP/1.1 200 OK\r\nContent-Le", false},
        {"HTTP/1.1 200 OK\r\n\r\nuntil the end", true},
    };
    ParseCounts_t counts;

    (void)state;
    for (size_t i = 0; i < sizeof(answers) / sizeof(answers[0]); i++) {
        AprHttpParser_t *parser =
            AprHttpParser_New(HTTP_RESPONSE, &handler, &counts);
        size_t used;

        memset(&counts, 0, sizeof(counts));
        assert_int_equal(AprHttpParser_Execute(parser, answers[i].text,
                                               strlen(answers[i].text), &used),
                         APR_OK);
        assert_int_equal(AprHttpParser_OnConnectionEnd(parser) == APR_OK,
                         answers[i].complete);
        assert_int_equal(counts.completes, answers[i].complete ? 1 : 0);
        AprHttpParser_Free(parser);
    }
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_longest_prefix_wins),
        cmocka_unit_test(test_split_follows_weights),
        cmocka_unit_test(test_host_choice),
        cmocka_unit_test(test_load_without_remaining_work),
        cmocka_unit_test(test_load_with_remaining_work),
        cmocka_unit_test(test_frames_of_paced_bodies),
        cmocka_unit_test(test_rejects_request_smuggling),
        cmocka_unit_test(test_parses_data_in_any_pieces),
        cmocka_unit_test(test_detects_truncated_responses),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
