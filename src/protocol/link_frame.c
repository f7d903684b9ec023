#include "internal/link_frame.h"

#include <arpa/inet.h>
#include <glib.h>
#include <limits.h>
#include <string.h>

#include "apricot/error.h"
#include "internal/message_codec.h"

/* Time spans in ms are below this, so that sums of a few of them and of points
   in time do not overflow. */
#define MAX_SPAN_MS (INT64_C(1) << 56)

static void
pack_text(msgpack_packer *packer, const char *text)
{
    size_t size = text == NULL ? 0 : strlen(text);

    msgpack_pack_str(packer, size);
    msgpack_pack_str_body(packer, text == NULL ? "" : text, size);
}

static void
pack_bytes(msgpack_packer *packer, const char *bytes, size_t size)
{
    msgpack_pack_bin(packer, size);
    msgpack_pack_bin_body(packer, bytes == NULL ? "" : bytes, size);
}

static void
pack_bool(msgpack_packer *packer, bool flag)
{
    if (flag) {
        msgpack_pack_true(packer);
    }
    else {
        msgpack_pack_false(packer);
    }
}

/* Elements of a load without the remaining work, and of the remaining work.
   The load is the last part of a frame, so that a receiver recognizes by the
   number of elements whether the remaining work follows, and one that does not
   know of it ignores it. */
#define LOAD_FIELD_COUNT 9
#define WORK_FIELD_COUNT 3
#define PACING_FIELD_COUNT 1

/* Elements of the remaining work that earlier versions send: without the
   network delay. */
#define MIN_WORK_FIELD_COUNT 2

/* Returns the number of elements that pack_load() writes. */
static uint32_t
load_field_count(const AprHostLoad_t *load)
{
    return LOAD_FIELD_COUNT +
           (load->has_work ? WORK_FIELD_COUNT +
                                 (load->paces_bodies ? PACING_FIELD_COUNT : 0)
                           : 0);
}

static void
pack_load(msgpack_packer *packer, const AprHostLoad_t *load)
{
    msgpack_pack_int64(packer, load->wait_ms);
    msgpack_pack_int(packer, load->running);
    msgpack_pack_int(packer, load->queued);
    msgpack_pack_int(packer, load->slots);
    msgpack_pack_int(packer, load->load_permille);
    pack_bool(packer, load->accepts_calls);
    pack_bool(packer, load->stopping);
    pack_bool(packer, load->store_lost);
    msgpack_pack_int64(packer, load->known_revision);
    if (load->has_work) {
        msgpack_pack_int64(packer, load->work_ms);
        msgpack_pack_int(packer, load->pace);
        msgpack_pack_int64(packer, load->network_delay_ms);
        if (load->paces_bodies) {
            msgpack_pack_int64(packer, load->body_wait_ms);
        }
    }
}

/* Elements of APR_LINK_CALL after type and stream: send time, the 18 elements
   that pack_call() writes, data and last_part. */
#define CALL_FIELD_COUNT 21

/* Points in time are sent as time spans relative to now, because the clocks of
   two hosts differ. */
static void
pack_call(msgpack_packer *packer, const AprCallHead_t *call, int64_t now_ms)
{
    pack_text(packer, call->id);
    pack_text(packer, call->method);
    pack_text(packer, call->target);
    pack_text(packer, call->headers);
    pack_text(packer, call->service);
    pack_text(packer, call->caller);
    pack_text(packer, call->route);
    pack_bool(packer, call->idempotent);
    pack_bool(packer, call->has_deadline);
    pack_bool(packer, call->nested);
    msgpack_pack_int(packer, call->rank);
    msgpack_pack_int(packer, call->key);
    msgpack_pack_int64(packer, now_ms - call->arrived_ms);
    msgpack_pack_int64(packer, call->objective_ms - now_ms);
    msgpack_pack_int64(packer, call->deadline_ms - now_ms);
    pack_bool(packer, call->has_length);
    msgpack_pack_uint64(packer, call->length);
    msgpack_pack_uint64(packer, call->config_version);
}

static void
pack_frame(msgpack_packer *packer, const AprLinkFrame_t *frame, int64_t now_ms)
{
    switch (frame->type) {
    case APR_LINK_HELLO:
        msgpack_pack_array(packer, 4);
        msgpack_pack_int(packer, frame->type);
        msgpack_pack_int(packer, APR_LINK_VERSION);
        pack_text(packer, frame->host);
        pack_text(packer, frame->expected_host);
        break;
    case APR_LINK_CALL:
        msgpack_pack_array(packer, 2 + CALL_FIELD_COUNT + frame->paced);
        msgpack_pack_int(packer, frame->type);
        msgpack_pack_uint32(packer, frame->stream);
        msgpack_pack_int64(packer, now_ms);
        pack_call(packer, &frame->call, now_ms);
        pack_bytes(packer, frame->data, frame->data_size);
        pack_bool(packer, frame->last_part);
        if (frame->paced) {
            pack_bool(packer, true);
        }
        break;
    case APR_LINK_RESPONSE:
        msgpack_pack_array(packer, 8 + load_field_count(&frame->load));
        msgpack_pack_int(packer, frame->type);
        msgpack_pack_uint32(packer, frame->stream);
        msgpack_pack_int(packer, frame->response.status);
        pack_text(packer, frame->response.headers);
        pack_bool(packer, frame->response.has_length);
        msgpack_pack_uint64(packer, frame->response.length);
        pack_bytes(packer, frame->data, frame->data_size);
        pack_bool(packer, frame->last_part);
        pack_load(packer, &frame->load);
        break;
    case APR_LINK_DATA:
        msgpack_pack_array(packer, 4);
        msgpack_pack_int(packer, frame->type);
        msgpack_pack_uint32(packer, frame->stream);
        pack_bytes(packer, frame->data, frame->data_size);
        pack_bool(packer, frame->last_part);
        break;
    case APR_LINK_CANCEL:
        msgpack_pack_array(packer, 2);
        msgpack_pack_int(packer, frame->type);
        msgpack_pack_uint32(packer, frame->stream);
        break;
    case APR_LINK_FAIL:
        msgpack_pack_array(packer, 5 + load_field_count(&frame->load));
        msgpack_pack_int(packer, frame->type);
        msgpack_pack_uint32(packer, frame->stream);
        msgpack_pack_int(packer, (int)frame->failure.error);
        pack_bool(packer, frame->failure.not_run);
        msgpack_pack_int64(packer, frame->failure.retry_after_ms);
        pack_load(packer, &frame->load);
        break;
    case APR_LINK_ACK:
    case APR_LINK_CREDIT:
        msgpack_pack_array(packer, 3);
        msgpack_pack_int(packer, frame->type);
        msgpack_pack_uint32(packer, frame->stream);
        msgpack_pack_uint64(packer, frame->acknowledged_bytes);
        break;
    case APR_LINK_PING:
    case APR_LINK_PONG:
        msgpack_pack_array(packer, 2 + load_field_count(&frame->load));
        msgpack_pack_int(packer, frame->type);
        msgpack_pack_int64(packer, frame->sequence);
        pack_load(packer, &frame->load);
        break;
    case APR_LINK_HANDOVER_TOKEN:
        msgpack_pack_array(packer, 6);
        msgpack_pack_int(packer, frame->type);
        pack_text(packer, frame->service);
        msgpack_pack_int(packer, frame->grant.first);
        msgpack_pack_int(packer, frame->grant.last);
        msgpack_pack_int64(packer, frame->grant.fence);
        pack_text(packer, frame->grant.token);
        break;
    case APR_LINK_SUBSCRIBE:
    case APR_LINK_RENEW_LEASE:
        msgpack_pack_array(packer, 2);
        msgpack_pack_int(packer, frame->type);
        msgpack_pack_int64(packer, frame->sequence);
        break;
    case APR_LINK_ITEM:
        msgpack_pack_array(packer, 9);
        msgpack_pack_int(packer, frame->type);
        pack_bytes(packer, frame->item.key, frame->item.key_size);
        pack_bytes(packer, frame->item.value, frame->item.value_size);
        msgpack_pack_int64(packer, frame->item.revision);
        msgpack_pack_int64(packer, frame->item.lease_id);
        pack_bool(packer, frame->item.removed);
        pack_bool(packer, frame->item.end_of_series);
        msgpack_pack_int64(packer, frame->item.source_age_ms);
        msgpack_pack_int64(packer, frame->item.complete_revision);
        break;
    case APR_LINK_REACHABILITY_QUERY:
        msgpack_pack_array(packer, 2);
        msgpack_pack_int(packer, frame->type);
        pack_text(packer, frame->host);
        break;
    case APR_LINK_REACHABILITY_REPLY:
        msgpack_pack_array(packer, 3);
        msgpack_pack_int(packer, frame->type);
        pack_text(packer, frame->host);
        msgpack_pack_int64(packer, frame->result);
        break;
    case APR_LINK_GOAWAY:
        msgpack_pack_array(packer, 2);
        msgpack_pack_int(packer, frame->type);
        msgpack_pack_int64(packer, frame->sequence);
        break;
    case APR_LINK_RENEWAL_RESULT:
        msgpack_pack_array(packer, 3);
        msgpack_pack_int(packer, frame->type);
        msgpack_pack_int64(packer, frame->sequence);
        msgpack_pack_int64(packer, frame->result);
        break;
    }
}

/* Encodes a frame without its length prefix. `now_ms` is the current time of
   the clock that the points in time in frame->call refer to. */
void
AprLinkFrame_Encode(msgpack_sbuffer *buffer, const AprLinkFrame_t *frame,
                    int64_t now_ms)
{
    msgpack_packer packer;

    msgpack_packer_init(&packer, buffer, msgpack_sbuffer_write);
    pack_frame(&packer, frame, now_ms);
}

/* Encodes a frame and writes it to a stream; `now_ms` as for
   AprLinkFrame_Encode(). */
void
AprLinkFrame_Write(AprStream_t *stream, const AprLinkFrame_t *frame,
                   int64_t now_ms)
{
    msgpack_sbuffer buffer;
    uint32_t size;

    msgpack_sbuffer_init(&buffer);
    AprLinkFrame_Encode(&buffer, frame, now_ms);
    size = htonl((uint32_t)buffer.size);
    AprStream_Write(stream, &size, sizeof(size));
    AprStream_Write(stream, buffer.data, buffer.size);
    msgpack_sbuffer_destroy(&buffer);
}

/* Reads the elements of an array in order. An element that is missing or has
   the wrong type sets `failed`. */
typedef struct Reader_t {
    const msgpack_object *next;
    uint32_t remaining;
    bool failed;
} Reader_t;

static const msgpack_object *
next_element(Reader_t *reader)
{
    static const msgpack_object nil = {.type = MSGPACK_OBJECT_NIL};

    if (reader->remaining == 0) {
        reader->failed = true;
        return &nil;
    }
    reader->remaining--;
    return reader->next++;
}

static int64_t
read_int(Reader_t *reader)
{
    const msgpack_object *object = next_element(reader);

    if (object->type == MSGPACK_OBJECT_POSITIVE_INTEGER &&
        object->via.u64 <= INT64_MAX) {
        return (int64_t)object->via.u64;
    }
    if (object->type == MSGPACK_OBJECT_NEGATIVE_INTEGER) {
        return object->via.i64;
    }
    reader->failed = true;
    return 0;
}

/* Reads an integer within bounds; returns the lower one on failure. */
static int64_t
read_int_between(Reader_t *reader, int64_t min, int64_t max)
{
    int64_t value = read_int(reader);

    if (value < min || value > max) {
        reader->failed = true;
        return min;
    }
    return value;
}

static int
read_plain_int(Reader_t *reader)
{
    return (int)read_int_between(reader, INT_MIN, INT_MAX);
}

static uint32_t
read_stream(Reader_t *reader)
{
    return (uint32_t)read_int_between(reader, 0, UINT32_MAX);
}

static int64_t
read_span_ms(Reader_t *reader)
{
    return read_int_between(reader, -MAX_SPAN_MS, MAX_SPAN_MS);
}

/* Reads a number that may use all 64 bits, as the version of a configuration
   does. */
static uint64_t
read_unsigned(Reader_t *reader)
{
    const msgpack_object *object = next_element(reader);

    if (object->type != MSGPACK_OBJECT_POSITIVE_INTEGER) {
        reader->failed = true;
        return 0;
    }
    return object->via.u64;
}

static bool
read_bool(Reader_t *reader)
{
    const msgpack_object *object = next_element(reader);

    if (object->type != MSGPACK_OBJECT_BOOLEAN) {
        reader->failed = true;
        return false;
    }
    return object->via.boolean;
}

static void
read_bytes(Reader_t *reader, const char **bytes, size_t *size)
{
    const msgpack_object *object = next_element(reader);

    *bytes = "";
    *size = 0;
    if (object->type == MSGPACK_OBJECT_BIN) {
        *bytes = object->via.bin.ptr;
        *size = object->via.bin.size;
    }
    else {
        reader->failed = true;
    }
}

/* Copies a text. One that contains a NUL is rejected, since it would end
   there. */
static void
copy_text(Reader_t *reader, const msgpack_object_str *from, char *text)
{
    if (from->size > 0) {
        reader->failed |= memchr(from->ptr, '\0', from->size) != NULL;
        memcpy(text, from->ptr, from->size);
    }
    text[from->size] = '\0';
}

static void
read_text(Reader_t *reader, char *text, size_t capacity)
{
    const msgpack_object *object = next_element(reader);

    text[0] = '\0';
    if (object->type != MSGPACK_OBJECT_STR ||
        object->via.str.size >= capacity) {
        reader->failed = true;
        return;
    }
    copy_text(reader, &object->via.str, text);
}

/* Copies a text into the zone, so that it is valid as long as the decoded
   frame. Returns NULL on failure. */
static char *
read_text_into_zone(Reader_t *reader, msgpack_zone *zone)
{
    const msgpack_object *object = next_element(reader);
    char *text;

    if (object->type != MSGPACK_OBJECT_STR) {
        reader->failed = true;
        return NULL;
    }
    text = msgpack_zone_malloc(zone, object->via.str.size + 1);
    if (text == NULL) {
        reader->failed = true;
        return NULL;
    }
    copy_text(reader, &object->via.str, text);
    return text;
}

static void
read_load(Reader_t *reader, AprHostLoad_t *load)
{
    load->wait_ms = read_span_ms(reader);
    load->running = read_plain_int(reader);
    load->queued = read_plain_int(reader);
    load->slots = read_plain_int(reader);
    load->load_permille = read_plain_int(reader);
    load->accepts_calls = read_bool(reader);
    load->stopping = read_bool(reader);
    load->store_lost = read_bool(reader);
    load->known_revision = read_int(reader);
    if (reader->remaining >= MIN_WORK_FIELD_COUNT) {
        load->has_work = true;
        load->work_ms = read_span_ms(reader);
        load->pace = read_plain_int(reader);
        load->network_delay_ms =
            reader->remaining > 0 ? read_span_ms(reader) : 0;
        load->paces_bodies = reader->remaining > 0;
        load->body_wait_ms = load->paces_bodies ? read_span_ms(reader) : 0;
        if (load->work_ms < 0 || load->pace < 1 ||
            load->network_delay_ms < 0 || load->body_wait_ms < 0) {
            reader->failed = true;
        }
    }
}

static void
read_call(Reader_t *reader, msgpack_zone *zone, AprCallHead_t *call,
          int64_t now_ms)
{
    read_text(reader, call->id, sizeof(call->id));
    read_text(reader, call->method, sizeof(call->method));
    call->target = read_text_into_zone(reader, zone);
    call->headers = read_text_into_zone(reader, zone);
    read_text(reader, call->service, sizeof(call->service));
    read_text(reader, call->caller, sizeof(call->caller));
    read_text(reader, call->route, sizeof(call->route));
    call->idempotent = read_bool(reader);
    call->has_deadline = read_bool(reader);
    call->nested = read_bool(reader);
    call->rank = read_plain_int(reader);
    call->key = read_plain_int(reader);
    call->arrived_ms = now_ms - read_span_ms(reader);
    call->objective_ms = now_ms + read_span_ms(reader);
    call->deadline_ms = now_ms + read_span_ms(reader);
    call->has_length = read_bool(reader);
    call->length = read_unsigned(reader);
    call->config_version = read_unsigned(reader);
    if (call->rank < 0 || call->key < APR_NO_KEY ||
        call->key >= APR_KEY_COUNT) {
        reader->failed = true;
    }
}

static void
read_item(Reader_t *reader, AprItemFrame_t *item)
{
    read_bytes(reader, &item->key, &item->key_size);
    read_bytes(reader, &item->value, &item->value_size);
    item->revision = read_int(reader);
    item->lease_id = read_int(reader);
    item->removed = read_bool(reader);
    item->end_of_series = read_bool(reader);
    item->source_age_ms = read_span_ms(reader);
    item->complete_revision = read_int(reader);
}

static void
read_frame_fields(Reader_t *reader, msgpack_zone *zone, AprLinkFrame_t *frame,
                  int64_t now_ms)
{
    switch (frame->type) {
    case APR_LINK_HELLO:
        reader->failed |= read_int(reader) != APR_LINK_VERSION;
        read_text(reader, frame->host, sizeof(frame->host));
        read_text(reader, frame->expected_host, sizeof(frame->expected_host));
        break;
    case APR_LINK_CALL:
        frame->stream = read_stream(reader);
        frame->sequence = read_span_ms(reader);
        read_call(reader, zone, &frame->call, now_ms);
        read_bytes(reader, &frame->data, &frame->data_size);
        frame->last_part = read_bool(reader);
        frame->paced = reader->remaining > 0 && read_bool(reader);
        break;
    case APR_LINK_RESPONSE:
        frame->stream = read_stream(reader);
        frame->response.status = read_plain_int(reader);
        frame->response.headers = read_text_into_zone(reader, zone);
        frame->response.has_length = read_bool(reader);
        frame->response.length = read_unsigned(reader);
        read_bytes(reader, &frame->data, &frame->data_size);
        frame->last_part = read_bool(reader);
        read_load(reader, &frame->load);
        break;
    case APR_LINK_DATA:
        frame->stream = read_stream(reader);
        read_bytes(reader, &frame->data, &frame->data_size);
        frame->last_part = read_bool(reader);
        break;
    case APR_LINK_CANCEL:
        frame->stream = read_stream(reader);
        break;
    case APR_LINK_FAIL: {
        int64_t error;

        frame->stream = read_stream(reader);
        error = read_int(reader);
        if (error < 0 || error >= APR_CALL_ERROR_COUNT) {
            reader->failed = true;
        }
        frame->failure.error = (AprCallError_t)error;
        frame->failure.not_run = read_bool(reader);
        frame->failure.retry_after_ms = read_span_ms(reader);
        read_load(reader, &frame->load);
        break;
    }
    case APR_LINK_ACK:
    case APR_LINK_CREDIT:
        frame->stream = read_stream(reader);
        frame->acknowledged_bytes = read_unsigned(reader);
        break;
    case APR_LINK_PING:
    case APR_LINK_PONG:
        frame->sequence = read_int(reader);
        read_load(reader, &frame->load);
        break;
    case APR_LINK_HANDOVER_TOKEN:
        read_text(reader, frame->service, sizeof(frame->service));
        frame->grant.first = read_plain_int(reader);
        frame->grant.last = read_plain_int(reader);
        frame->grant.fence = read_int(reader);
        read_text(reader, frame->grant.token, sizeof(frame->grant.token));
        break;
    case APR_LINK_SUBSCRIBE:
    case APR_LINK_RENEW_LEASE:
        frame->sequence = read_int(reader);
        break;
    case APR_LINK_ITEM:
        read_item(reader, &frame->item);
        break;
    case APR_LINK_REACHABILITY_QUERY:
        read_text(reader, frame->host, sizeof(frame->host));
        break;
    case APR_LINK_REACHABILITY_REPLY:
        read_text(reader, frame->host, sizeof(frame->host));
        frame->result = read_span_ms(reader);
        break;
    case APR_LINK_GOAWAY:
        frame->sequence = read_int(reader);
        break;
    case APR_LINK_RENEWAL_RESULT:
        frame->sequence = read_int(reader);
        frame->result = read_span_ms(reader);
        break;
    default:
        reader->failed = true;
        break;
    }
}

/* Decodes a frame without its length prefix. The result refers to memory in
   `zone` and `bytes`, which must outlive it. `now_ms` is the current time of
   the clock that the points in time in frame->call then refer to. Returns
   APR_E_PARSE if the frame is malformed or has another APR_LINK_VERSION. */
int
AprLinkFrame_Decode(msgpack_zone *zone, const char *bytes, size_t size,
                    AprLinkFrame_t *frame, int64_t now_ms)
{
    msgpack_object root;
    size_t offset = 0;
    Reader_t reader;

    memset(frame, 0, sizeof(*frame));
    if (!AprMessage_IsFrameWellFormed(bytes, size) ||
        msgpack_unpack(bytes, size, &offset, zone, &root) !=
            MSGPACK_UNPACK_SUCCESS ||
        root.type != MSGPACK_OBJECT_ARRAY || root.via.array.size == 0) {
        return APR_E_PARSE;
    }
    reader.next = root.via.array.ptr;
    reader.remaining = root.via.array.size;
    reader.failed = false;
    frame->type = (AprLinkType_t)read_int_between(&reader, 0, APR_LINK_CREDIT);
    read_frame_fields(&reader, zone, frame, now_ms);
    return reader.failed ? APR_E_PARSE : APR_OK;
}
