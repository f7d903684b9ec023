#include <stdint.h>

#include "internal/message_codec.h"

/* Type bytes of the msgpack specification. */
#define FIXINT_MAX 0x7f
#define FIXARRAY_MIN 0x90
#define FIXARRAY_MAX 0x9f
#define FIXSTR_MIN 0xa0
#define FIXSTR_MAX 0xbf
#define TYPE_NIL 0xc0
#define TYPE_FALSE 0xc2
#define TYPE_TRUE 0xc3
#define TYPE_BIN8 0xc4
#define TYPE_BIN16 0xc5
#define TYPE_BIN32 0xc6
#define TYPE_UINT8 0xcc
#define TYPE_UINT64 0xcf
#define TYPE_INT8 0xd0
#define TYPE_INT64 0xd3
#define TYPE_STR8 0xd9
#define TYPE_STR32 0xdb
#define TYPE_ARRAY16 0xdc
#define TYPE_ARRAY32 0xdd
#define NEGATIVE_FIXINT_MIN 0xe0

typedef struct Scanner_t {
    const uint8_t *data;
    size_t size;
    size_t offset;
    bool allows_text;
    bool failed;
} Scanner_t;

static void
skip_bytes(Scanner_t *scanner, size_t count)
{
    if (count > scanner->size - scanner->offset) {
        scanner->failed = true;
        return;
    }
    scanner->offset += count;
}

static size_t
read_big_endian(Scanner_t *scanner, size_t width)
{
    size_t length = 0;

    if (width > scanner->size - scanner->offset) {
        scanner->failed = true;
        return 0;
    }
    for (size_t i = 0; i < width; i++) {
        length = length << 8 | scanner->data[scanner->offset++];
    }
    return length;
}

/* Skips one item but not its elements. Returns the number of elements, which
   is 0 unless the item is an array. */
static size_t
skip_item_header(Scanner_t *scanner)
{
    uint8_t type = (uint8_t)read_big_endian(scanner, 1);

    if (scanner->failed || type <= FIXINT_MAX || type >= NEGATIVE_FIXINT_MIN ||
        type == TYPE_NIL || type == TYPE_FALSE || type == TYPE_TRUE) {
        return 0;
    }
    if (type >= FIXARRAY_MIN && type <= FIXARRAY_MAX) {
        return type - FIXARRAY_MIN;
    }
    if (type >= TYPE_UINT8 && type <= TYPE_UINT64) {
        skip_bytes(scanner, (size_t)1 << (type - TYPE_UINT8));
        return 0;
    }
    if (type >= TYPE_INT8 && type <= TYPE_INT64) {
        skip_bytes(scanner, (size_t)1 << (type - TYPE_INT8));
        return 0;
    }
    if (type >= TYPE_BIN8 && type <= TYPE_BIN32) {
        skip_bytes(scanner,
                   read_big_endian(scanner, (size_t)1 << (type - TYPE_BIN8)));
        return 0;
    }
    if (type == TYPE_ARRAY16 || type == TYPE_ARRAY32) {
        return read_big_endian(scanner, type == TYPE_ARRAY16 ? 2 : 4);
    }
    if (scanner->allows_text && type >= FIXSTR_MIN && type <= FIXSTR_MAX) {
        skip_bytes(scanner, type - FIXSTR_MIN);
        return 0;
    }
    if (scanner->allows_text && type >= TYPE_STR8 && type <= TYPE_STR32) {
        skip_bytes(scanner,
                   read_big_endian(scanner, (size_t)1 << (type - TYPE_STR8)));
        return 0;
    }
    scanner->failed = true;
    return 0;
}

/* Checks the structure of the input before msgpack-c decodes it. msgpack-c
   allocates memory for as many elements as an array header states, which is up
   to 96 GiB for a header of 5 bytes. */
static bool
is_well_formed(const char *data, size_t size, bool allows_text)
{
    Scanner_t scanner = {(const uint8_t *)data, size, 0, allows_text, false};
    size_t remaining_items = 1;
    size_t item_count = 1;

    while (remaining_items > 0) {
        size_t element_count = skip_item_header(&scanner);

        /* Each element occupies at least one byte. */
        if (scanner.failed || element_count > size - scanner.offset) {
            return false;
        }
        item_count += element_count;
        if (item_count > APR_MESSAGE_MAX_ITEMS) {
            return false;
        }
        remaining_items += element_count - 1;
    }
    return scanner.offset == size;
}

/* Returns whether the bytes are one msgpack value of the types that messages
   have. */
bool
AprMessage_IsWellFormed(const char *data, size_t size)
{
    return is_well_formed(data, size, false);
}

/* Does the same for frames between gateways, which also have text. */
bool
AprMessage_IsFrameWellFormed(const char *data, size_t size)
{
    return is_well_formed(data, size, true);
}
