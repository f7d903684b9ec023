#include <stdint.h>

#include "internal/message_codec.h"

/* msgpack type bytes, from the published format. */
#define FIXINT_MAX 0x7f
#define FIXARRAY_MIN 0x90
#define FIXARRAY_MAX 0x9f
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
#define TYPE_ARRAY16 0xdc
#define TYPE_ARRAY32 0xdd
#define NEGATIVE_FIXINT_MIN 0xe0

typedef struct Scan_t {
    const uint8_t *data;
    size_t size;
    size_t offset;
    bool failed;
} Scan_t;

static void
skip(Scan_t *scan, size_t count)
{
    if (count > scan->size - scan->offset) {
        scan->failed = true;
        return;
    }
    scan->offset += count;
}

static size_t
read_length(Scan_t *scan, size_t width)
{
    size_t length = 0;

    if (width > scan->size - scan->offset) {
        scan->failed = true;
        return 0;
    }
    for (size_t i = 0; i < width; i++) {
        length = length << 8 | scan->data[scan->offset++];
    }
    return length;
}

/* Passes over one item without its elements, and returns how many elements
   it has. */
static size_t
scan_item(Scan_t *scan)
{
    uint8_t type = (uint8_t)read_length(scan, 1);

    if (scan->failed || type <= FIXINT_MAX || type >= NEGATIVE_FIXINT_MIN ||
        type == TYPE_NIL || type == TYPE_FALSE || type == TYPE_TRUE) {
        return 0;
    }
    if (type >= FIXARRAY_MIN && type <= FIXARRAY_MAX) {
        return type - FIXARRAY_MIN;
    }
    if (type >= TYPE_UINT8 && type <= TYPE_UINT64) {
        skip(scan, (size_t)1 << (type - TYPE_UINT8));
        return 0;
    }
    if (type >= TYPE_INT8 && type <= TYPE_INT64) {
        skip(scan, (size_t)1 << (type - TYPE_INT8));
        return 0;
    }
    if (type >= TYPE_BIN8 && type <= TYPE_BIN32) {
        skip(scan, read_length(scan, (size_t)1 << (type - TYPE_BIN8)));
        return 0;
    }
    if (type == TYPE_ARRAY16 || type == TYPE_ARRAY32) {
        return read_length(scan, type == TYPE_ARRAY16 ? 2 : 4);
    }
    scan->failed = true;
    return 0;
}

/* Checks the outer form before msgpack-c builds its objects: it reserves
   memory for as many elements as an array header claims, up to 96 GiB for a
   header of 5 bytes. */
bool
AprMessage_WellFormed(const char *data, size_t size)
{
    Scan_t scan = {(const uint8_t *)data, size, 0, false};
    size_t pending = 1;
    size_t total = 1;

    while (pending > 0) {
        size_t elements = scan_item(&scan);

        /* Each element takes at least one byte. */
        if (scan.failed || elements > size - scan.offset) {
            return false;
        }
        total += elements;
        if (total > APR_MESSAGE_MAX_ITEMS) {
            return false;
        }
        pending += elements - 1;
    }
    return scan.offset == size;
}
