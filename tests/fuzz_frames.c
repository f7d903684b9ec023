/* Frames between gateways. */

#include <msgpack.h>
#include <stdlib.h>
#include <string.h>

#include "apricot/error.h"
#include "fuzz_common.h"
#include "internal/link_frame.h"

#define NOW_MS 86400000
#define LOAD "iiiiibbbi"

/* Elements of each type of frame after the type: a digit stands for itself, i
   for a number, k for a key, s for a text, x for bytes and b for a boolean. */
static const char *const formats[] = {
    [APR_LINK_HELLO] = "3ss",
    [APR_LINK_CALL] = "iisssssssbbbikiiibiixbb",
    [APR_LINK_RESPONSE] = "iisbixb" LOAD,
    [APR_LINK_DATA] = "ixb",
    [APR_LINK_CANCEL] = "i",
    [APR_LINK_FAIL] = "i7bi" LOAD "i9ii",
    [APR_LINK_ACK] = "ii",
    [APR_LINK_PING] = "i" LOAD "i9i",
    [APR_LINK_PONG] = "i" LOAD "i9ii",
    [APR_LINK_HANDOVER_TOKEN] = "s0kis",
    [APR_LINK_SUBSCRIBE] = "i",
    [APR_LINK_ITEM] = "xxiibbii",
    [APR_LINK_RENEW_LEASE] = "i",
    [APR_LINK_RENEWAL_RESULT] = "ii",
    [APR_LINK_REACHABILITY_QUERY] = "s",
    [APR_LINK_REACHABILITY_REPLY] = "si",
    [APR_LINK_GOAWAY] = "i",
    [APR_LINK_CREDIT] = "ii",
};

/* Packs an element of any type, possibly an array or map without what it is
   to contain. */
static void
pack_odd_element(Fuzz_t *fuzz, msgpack_packer *packer, msgpack_sbuffer *buffer)
{
    static const char *const headers[] = {"\xc0",
                                          "\xc2",
                                          "\xa0",
                                          "\xc4\x01",
                                          "\xdc\x01\x11",
                                          "\x93",
                                          "\xd9\x21",
                                          "\xdd\xff\xff\xff\xff",
                                          "\xdf\xff\xff\xff\xff",
                                          "\xcb"};
    const char *header = headers[Fuzz_Below(fuzz, G_N_ELEMENTS(headers))];

    if (Fuzz_OneIn(fuzz, 2)) {
        msgpack_pack_uint64(packer, Fuzz_Integer(fuzz));
    }
    else if (Fuzz_OneIn(fuzz, 2)) {
        msgpack_pack_int64(packer, (int64_t)Fuzz_Integer(fuzz));
    }
    else if (Fuzz_OneIn(fuzz, 4)) {
        msgpack_pack_str_with_body(packer, "a\0b", 3);
    }
    else {
        msgpack_sbuffer_write(buffer, header, strlen(header));
    }
}

static void
pack_element(Fuzz_t *fuzz, msgpack_packer *packer, char format)
{
    size_t size = Fuzz_Below(fuzz, Fuzz_OneIn(fuzz, 30) ? 2000 : 20);
    char *text = g_strnfill(size, 'a');

    if (format == 'i' || format == 'k') {
        msgpack_pack_uint64(packer, Fuzz_Below(fuzz, 60000));
    }
    else if (format == 's') {
        msgpack_pack_str_with_body(packer, text, size);
    }
    else if (format == 'x') {
        msgpack_pack_bin_with_body(packer, text, size);
    }
    else if (format == 'b') {
        Fuzz_OneIn(fuzz, 2) ? msgpack_pack_true(packer)
                            : msgpack_pack_false(packer);
    }
    else {
        msgpack_pack_int(packer, format - '0');
    }
    g_free(text);
}

/* Makes a frame of any type in which some elements may be odd, missing or
   added, or bytes changed. Returns whether it is valid. */
static bool
generate_frame(Fuzz_t *fuzz)
{
    int type = 1 + (int)Fuzz_Below(fuzz, APR_LINK_GOAWAY);
    uint32_t count = (uint32_t)strlen(formats[type]);
    bool is_valid = Fuzz_OneIn(fuzz, 4);
    uint64_t odd_at = is_valid ? UINT64_MAX : Fuzz_Below(fuzz, count + 2);
    uint32_t extra = (uint32_t)Fuzz_Below(fuzz, 2);
    msgpack_sbuffer buffer;
    msgpack_packer packer;

    msgpack_sbuffer_init(&buffer);
    msgpack_packer_init(&packer, &buffer, msgpack_sbuffer_write);
    msgpack_pack_array(&packer, count + 1 + (is_valid ? 0 : extra));
    for (uint32_t i = 0; i < count + 1; i++) {
        if (i == odd_at) {
            pack_odd_element(fuzz, &packer, &buffer);
        }
        else if (i == 0) {
            msgpack_pack_int(&packer, type);
        }
        else {
            pack_element(fuzz, &packer, formats[type][i - 1]);
        }
    }
    if (!is_valid && extra > 0) {
        pack_odd_element(fuzz, &packer, &buffer);
    }
    g_string_append_len(fuzz->input, buffer.data, (gssize)buffer.size);
    msgpack_sbuffer_destroy(&buffer);
    if (!is_valid && Fuzz_OneIn(fuzz, 4)) {
        Fuzz_Mutate(fuzz);
    }
    /* Texts of 64 bytes or more do not fit into all fields. */
    return is_valid && fuzz->input->len < 64;
}

/* Checks that a decoded frame is encoded with the elements of the input, as
   far as the decoder knows them: elements that a later version appends are
   ignored. The send time of a call is that of the encoding. */
static void
check_encoding(const Fuzz_t *fuzz, const AprLinkFrame_t *frame)
{
    msgpack_unpacked unpacked;
    msgpack_unpacked copy;
    msgpack_sbuffer buffer;
    const msgpack_object_array *expected = &unpacked.data.via.array;
    const msgpack_object_array *actual = &copy.data.via.array;

    msgpack_sbuffer_init(&buffer);
    msgpack_unpacked_init(&unpacked);
    msgpack_unpacked_init(&copy);
    AprLinkFrame_Encode(&buffer, frame, NOW_MS);
    msgpack_unpack_next(&unpacked, fuzz->input->str, fuzz->input->len, NULL);
    msgpack_unpack_next(&copy, buffer.data, buffer.size, NULL);
    Fuzz_Check(actual->size <= expected->size, "elements are added");
    for (uint32_t i = 0; i < actual->size; i++) {
        Fuzz_Check((frame->type == APR_LINK_CALL && i == 2) ||
                       msgpack_object_equal(actual->ptr[i], expected->ptr[i]),
                   "element %u of a frame of type %d differs", i, frame->type);
    }
    msgpack_unpacked_destroy(&copy);
    msgpack_unpacked_destroy(&unpacked);
    msgpack_sbuffer_destroy(&buffer);
}

static void
run_link_frame(Fuzz_t *fuzz)
{
    bool is_valid = generate_frame(fuzz);
    char *bytes = Fuzz_Duplicate(fuzz->input->str, fuzz->input->len);
    msgpack_zone *zone = msgpack_zone_new(4096);
    size_t before = Fuzz_Allocated();
    AprLinkFrame_t frame;

    if (AprLinkFrame_Decode(zone, bytes, fuzz->input->len, &frame, NOW_MS) ==
        APR_OK) {
        fuzz->accepted++;
        check_encoding(fuzz, &frame);
    }
    else {
        Fuzz_Check(!is_valid, "a valid frame is rejected");
    }
    Fuzz_CheckHeld(fuzz, before);
    msgpack_zone_free(zone);
    free(bytes);
}

const FuzzEdge_t fuzz_frame_edge = {"link-frame", 100000, run_link_frame};
