#include <arpa/inet.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cmocka.h>

#include "apricot/error.h"
#include "apricot/gateway_settings.h"
#include "apricot/key_map.h"
#include "internal/generation_record.h"
#include "internal/http_message.h"
#include "internal/http_server.h"
#include "internal/link_frame.h"
#include "platform/codec.h"

/* Inputs that fuzzing (tests/fuzz_*.c) found to be handled wrongly. */

static int
ignore_head(void *context, const AprHttpHead_t *head)
{
    (void)context;
    (void)head;
    return 0;
}

static int
ignore_body(void *context, const char *data, size_t size)
{
    (void)context;
    (void)data;
    (void)size;
    return 0;
}

static int
ignore_completion(void *context)
{
    (void)context;
    return 0;
}

static int
parse_http(enum http_parser_type type, const char *data, size_t size)
{
    static const AprHttpHandler_t handler = {ignore_head, ignore_body,
                                             ignore_completion};
    AprHttpParser_t *parser = AprHttpParser_New(type, &handler, NULL);
    size_t used;
    int result = AprHttpParser_Execute(parser, data, size, &used);

    AprHttpParser_Free(parser);
    return result;
}

/* A tab or form feed in a target was passed on to the backend server, where it
   may end the target. */
static void
test_white_space_in_target_is_rejected(void **state)
{
    static const char tab[] = "GET /a\tb HTTP/1.1\r\nHost: h\r\n\r\n";
    static const char feed[] = "GET /a\fb HTTP/1.1\r\nHost: h\r\n\r\n";

    (void)state;
    assert_int_equal(parse_http(HTTP_REQUEST, tab, sizeof(tab) - 1),
                     APR_E_PARSE);
    assert_int_equal(parse_http(HTTP_REQUEST, feed, sizeof(feed) - 1),
                     APR_E_PARSE);
}

/* A NUL was accepted in values of headers that http_parser interprets, and cut
   off the forwarded header lines. */
static void
test_control_character_in_value_is_rejected(void **state)
{
    static const char nul[] =
        "HTTP/1.1 200 X\r\nTransfer-Encoding:\0chunked\r\n\r\n";
    static const char tab[] = "HTTP/1.1 200 X\r\nX-A: a\tb\r\n\r\n";

    (void)state;
    assert_int_equal(parse_http(HTTP_RESPONSE, nul, sizeof(nul) - 1),
                     APR_E_PARSE);
    assert_int_equal(parse_http(HTTP_RESPONSE, tab, sizeof(tab) - 1), APR_OK);
}

/* A message of another major version was forwarded as one of HTTP/1.1. */
static void
test_other_major_version_is_rejected(void **state)
{
    static const char *const requests[] = {
        "GET /\r\n\r\n", "GET / HTTP/0.9\r\nHost: h\r\n\r\n",
        "GET / HTTP/2.0\r\nHost: h\r\n\r\n"};
    static const char older[] = "GET / HTTP/1.0\r\n\r\n";

    (void)state;
    for (size_t i = 0; i < sizeof(requests) / sizeof(requests[0]); i++) {
        assert_int_equal(
            parse_http(HTTP_REQUEST, requests[i], strlen(requests[i])),
            APR_E_PARSE);
    }
    assert_int_equal(parse_http(HTTP_REQUEST, older, strlen(older)), APR_OK);
}

/* Parses a request in two parts. */
static int
parse_split_request(const char *data, size_t size, size_t first_size)
{
    static const AprHttpHandler_t handler = {ignore_head, ignore_body,
                                             ignore_completion};
    AprHttpParser_t *parser = AprHttpParser_New(HTTP_REQUEST, &handler, NULL);
    size_t used;
    int result = AprHttpParser_Execute(parser, data, first_size, &used);

    if (result == APR_OK) {
        result = AprHttpParser_Execute(parser, data + first_size,
                                       size - first_size, &used);
    }
    AprHttpParser_Free(parser);
    return result;
}

/* The joined value of a folded Connection header was forwarded, but had
   another meaning than the folded one. A value that is split between two
   packets is not folded, wherever it is split. */
static void
test_folded_header_is_rejected(void **state)
{
    static const char folded[] =
        "GET / HTTP/1.1\r\nConnection: a, close\r\n b\r\n\r\n";
    static const char plain[] =
        "GET / HTTP/1.1\r\nConnection: a, close b\r\nX-A:\r\n\r\n";

    (void)state;
    for (size_t i = 1; i < sizeof(folded) - 1; i++) {
        assert_int_equal(parse_split_request(folded, sizeof(folded) - 1, i),
                         APR_E_PARSE);
    }
    for (size_t i = 1; i < sizeof(plain) - 1; i++) {
        assert_int_equal(parse_split_request(plain, sizeof(plain) - 1, i),
                         APR_OK);
    }
}

#define SERVER_PORT 18081

/* A server that does not reply by itself. */
typedef struct SlowServer_t {
    AprHttpCall_t *call;
    int request_count;
    char last_path[16];
} SlowServer_t;

static void
on_request(void *context, AprHttpCall_t *call, const char *method,
           const char *path, const char *body, size_t size)
{
    SlowServer_t *server = context;

    (void)method;
    (void)body;
    (void)size;
    server->call = call;
    server->request_count++;
    strncpy(server->last_path, path, sizeof(server->last_path) - 1);
}

/* Two requests in one packet were both passed to the handler, before the reply
   to the first: the path and body of the first were freed, and the second
   reply used a call that was no longer waiting for one. A request after one
   that ends the connection was passed to the handler too. */
static void
test_request_waits_for_reply_to_the_last(void **state)
{
    static const char requests[] = "GET /1 HTTP/1.1\r\n\r\n"
                                   "GET /2 HTTP/1.1\r\n"
                                   "Connection: close\r\n\r\n"
                                   "GET /3 HTTP/1.1\r\n\r\n";
    struct ev_loop *loop = ev_loop_new(EVFLAG_AUTO);
    struct sockaddr_in address = {.sin_family = AF_INET,
                                  .sin_port = htons(SERVER_PORT)};
    SlowServer_t server = {0};
    AprStreamSet_t streams;
    AprHttpServer_t *http;
    char text[32];
    int fd = socket(AF_INET, SOCK_STREAM, 0);

    (void)state;
    /* An address of this process, which no other test uses. */
    address.sin_addr.s_addr = htonl(0x7f000000u | (uint32_t)getpid() << 2 | 1);
    snprintf(text, sizeof(text), "%s:%d", inet_ntoa(address.sin_addr),
             SERVER_PORT);
    AprStreamSet_Init(&streams, loop);
    http = AprHttpServer_New(&streams, text, on_request, &server);
    assert_non_null(http);
    assert_int_equal(connect(fd, (struct sockaddr *)&address, sizeof(address)),
                     0);
    assert_int_equal(send(fd, requests, sizeof(requests) - 1, 0),
                     sizeof(requests) - 1);
    while (server.call == NULL) {
        ev_run(loop, EVRUN_ONCE);
    }
    assert_int_equal(server.request_count, 1);
    assert_string_equal(server.last_path, "/1");
    AprHttpCall_Reply(server.call, 200, "", "", 0);
    ev_run(loop, EVRUN_NOWAIT);
    assert_int_equal(server.request_count, 2);
    assert_string_equal(server.last_path, "/2");
    AprHttpCall_Reply(server.call, 200, "", "", 0);
    ev_run(loop, EVRUN_NOWAIT);
    assert_int_equal(server.request_count, 2);
    close(fd);
    AprHttpServer_Free(http);
    ev_loop_destroy(loop);
}

static int
decode_frame(const char *bytes, size_t size, AprLinkFrame_t *frame)
{
    msgpack_zone zone;
    int result;

    msgpack_zone_init(&zone, 4096);
    result = AprLinkFrame_Decode(&zone, bytes, size, frame, 1000);
    msgpack_zone_destroy(&zone);
    return result;
}

/* Memory was allocated for as many elements as an array claims to have, up to
   96 GiB for 5 bytes. */
static void
test_frame_with_huge_array_is_rejected(void **state)
{
    static const char array[] = "\xdd\x00\xff\xff\xff\x05\x01";
    AprLinkFrame_t frame;
    msgpack_zone zone;

    (void)state;
    msgpack_zone_init(&zone, 4096);
    assert_int_equal(
        AprLinkFrame_Decode(&zone, array, sizeof(array) - 1, &frame, 1000),
        APR_E_PARSE);
    assert_int_equal(zone.chunk_list.free, 4096);
    msgpack_zone_destroy(&zone);
}

/* Numbers were cut to the size of their field: a type of 2^32 + 5 was taken
   for a cancellation, a negative stream for a high one. */
static void
test_frame_with_too_large_number_is_rejected(void **state)
{
    static const char type[] = "\x92\xcf\x00\x00\x00\x01\x00\x00\x00\x05\x07";
    static const char stream[] = "\x92\x05\xff";
    static const char valid[] = "\x92\x05\xce\xff\xff\xff\xff";
    AprLinkFrame_t frame;

    (void)state;
    assert_int_equal(decode_frame(type, sizeof(type) - 1, &frame),
                     APR_E_PARSE);
    assert_int_equal(decode_frame(stream, sizeof(stream) - 1, &frame),
                     APR_E_PARSE);
    assert_int_equal(decode_frame(valid, sizeof(valid) - 1, &frame), APR_OK);
    assert_int_equal(frame.stream, UINT32_MAX);
}

/* A text with a NUL was accepted and ended there, which changed host names and
   cut off header lines. */
static void
test_frame_with_nul_in_text_is_rejected(void **state)
{
    static const char query[] = "\x92\x0f\xa3h\0x";
    AprLinkFrame_t frame;

    (void)state;
    assert_int_equal(decode_frame(query, sizeof(query) - 1, &frame),
                     APR_E_PARSE);
}

/* Decodes a call with this time span until its deadline and this version of
   the configuration. */
static int
decode_call(int64_t left_ms, uint64_t version, AprLinkFrame_t *frame)
{
    AprLinkFrame_t call = {.type = APR_LINK_CALL};
    msgpack_sbuffer buffer;
    int result;

    call.call.target = "/";
    call.call.headers = "";
    call.call.deadline_ms = left_ms;
    call.call.config_version = version;
    msgpack_sbuffer_init(&buffer);
    AprLinkFrame_Encode(&buffer, &call, 0);
    result = decode_frame(buffer.data, buffer.size, frame);
    msgpack_sbuffer_destroy(&buffer);
    return result;
}

/* A long time span overflowed when the current time was added, so that the
   deadline was in the past. */
static void
test_call_with_too_long_time_is_rejected(void **state)
{
    AprLinkFrame_t frame;

    (void)state;
    assert_int_equal(decode_call(INT64_MAX, 1, &frame), APR_E_PARSE);
    assert_int_equal(decode_call(5000, 1, &frame), APR_OK);
    assert_int_equal(frame.call.deadline_ms, 6000);
}

/* The version of a configuration has 64 bits. Calls with a version of 2^63 or
   more were rejected, which closed the link. */
static void
test_call_with_highest_version_is_accepted(void **state)
{
    AprLinkFrame_t frame;

    (void)state;
    assert_int_equal(decode_call(5000, UINT64_MAX, &frame), APR_OK);
    assert_true(frame.call.config_version == UINT64_MAX);
}

/* Applies part 0 of a key map. */
static int
parse_part(AprKeyMap_t *map, const char *text)
{
    return AprKeyMap_ParsePart(map, 0, text, strlen(text));
}

/* A fencing token near 2^63 was accepted, and the next change of the map and
   each grant overflowed. Keys and host numbers were cut to 32 bits, so that a
   range up to key 2^32 + 4095 was taken for one up to key 4095. */
static void
test_key_map_with_too_large_number_is_rejected(void **state)
{
    AprKeyMap_t map;

    (void)state;
    assert_int_equal(AprKeyMap_Init(&map), APR_OK);
    assert_int_equal(parse_part(&map, "{\"hosts\":[\"h\"],\"ranges\":"
                                      "[[4095,0,9223372036854775807,-1]]}"),
                     APR_E_PARSE);
    assert_int_equal(parse_part(&map, "{\"hosts\":[\"h\"],\"ranges\":"
                                      "[[4294971391,0,1,-1]]}"),
                     APR_E_PARSE);
    assert_int_equal(parse_part(&map, "{\"hosts\":[\"h\"],\"ranges\":"
                                      "[[4095,4294967296,1,-1]]}"),
                     APR_E_PARSE);
    assert_int_equal(map.last_fence, 0);
    assert_int_equal(parse_part(&map, "{\"hosts\":[\"h\"],\"ranges\":"
                                      "[[4095,0,1,-1]]}"),
                     APR_OK);
    AprKeyMap_Free(&map);
}

static int
update_record(AprGenerationRecord_t *record, const char *text)
{
    AprKvItem_t item = {.value = text,
                        .value_size = strlen(text),
                        .revision = record->revision + 1};

    return AprGenerationRecord_Update(record, &item);
}

/* A generation of 2^63 - 1 was accepted, and the next one overflowed; from
   2^20 on, fencing tokens of different ranges of keys are equal. An id that is
   too long was cut off, so that its backend server counted as another one. */
static void
test_generation_out_of_range_is_rejected(void **state)
{
    AprGenerationRecord_t record = {0};
    char id[APR_BACKEND_ID_SIZE + 1] = {0};
    char text[160];

    (void)state;
    memset(id, 'a', APR_BACKEND_ID_SIZE);
    snprintf(text, sizeof(text), "{\"id\":\"%s\",\"born\":1,\"generation\":2}",
             id);
    assert_int_equal(update_record(&record, text), APR_E_PARSE);
    snprintf(text, sizeof(text), "{\"id\":\"b\",\"born\":1,\"generation\":%d}",
             APR_GENERATIONS_PER_FENCE);
    assert_int_equal(update_record(&record, text), APR_E_PARSE);
    assert_int_equal(record.revision, 0);
    snprintf(text, sizeof(text),
             "{\"id\":\"%s\",\"born\":1,\"generation\":%d}", id + 1,
             APR_GENERATIONS_PER_FENCE - 1);
    assert_int_equal(update_record(&record, text), APR_OK);
}

/* Refused settings were left half read in the caller's object. */
static void
test_refused_settings_change_nothing(void **state)
{
    AprGatewaySettings_t settings = {.host = "before"};
    AprError_t error;

    (void)state;
    assert_int_equal(
        AprGatewaySettings_Load("/nonexistent", &settings, &error),
        APR_E_INVALID);
    assert_string_equal(settings.host, "before");
    assert_true(settings.memory_mb == 0);
}

/* Writes a settings file and loads it. */
static int
load_settings(const char *text, AprError_t *error)
{
    char path[] = "/tmp/apricot-settings-XXXXXX";
    int fd = mkstemp(path);
    AprGatewaySettings_t settings;
    int result;

    assert_true(fd >= 0);
    assert_int_equal(write(fd, text, strlen(text)), strlen(text));
    close(fd);
    result = AprGatewaySettings_Load(path, &settings, error);
    unlink(path);
    return result;
}

/* A malformed key failed an assertion of the TOML library, which ended the
   process, also when a running gateway reloaded its settings. */
static void
test_malformed_key_is_refused(void **state)
{
    AprError_t error;

    (void)state;
    assert_int_equal(load_settings("[=]\n", &error), APR_E_INVALID);
    assert_non_null(strstr(error.detail, "TOML syntax"));
}

/* The number of slots was cut to 32 bits, so that 2^32 + 1 counted as 1. */
static void
test_heartbeat_with_too_many_slots_is_rejected(void **state)
{
    static const char text[] =
        "{\"address\":\"127.0.0.1:1\",\"info\":{\"service\":\"s\",\"slots\":"
        "4294967297},\"status\":{\"state\":\"ready\",\"sequence\":1}}";
    AprHeartbeat_t heartbeat;

    (void)state;
    assert_int_equal(
        Platform_ParseHeartbeat("b", text, sizeof(text) - 1, &heartbeat),
        APR_E_PARSE);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_white_space_in_target_is_rejected),
        cmocka_unit_test(test_control_character_in_value_is_rejected),
        cmocka_unit_test(test_other_major_version_is_rejected),
        cmocka_unit_test(test_folded_header_is_rejected),
        cmocka_unit_test(test_request_waits_for_reply_to_the_last),
        cmocka_unit_test(test_frame_with_huge_array_is_rejected),
        cmocka_unit_test(test_frame_with_too_large_number_is_rejected),
        cmocka_unit_test(test_frame_with_nul_in_text_is_rejected),
        cmocka_unit_test(test_call_with_too_long_time_is_rejected),
        cmocka_unit_test(test_call_with_highest_version_is_accepted),
        cmocka_unit_test(test_key_map_with_too_large_number_is_rejected),
        cmocka_unit_test(test_generation_out_of_range_is_rejected),
        cmocka_unit_test(test_refused_settings_change_nothing),
        cmocka_unit_test(test_malformed_key_is_refused),
        cmocka_unit_test(test_heartbeat_with_too_many_slots_is_rejected),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
