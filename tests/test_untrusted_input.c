#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "apricot/error.h"
#include "internal/http_message.h"

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

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_white_space_in_target_is_rejected),
        cmocka_unit_test(test_control_character_in_value_is_rejected),
        cmocka_unit_test(test_other_major_version_is_rejected),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
