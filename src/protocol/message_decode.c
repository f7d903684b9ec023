#include <limits.h>
#include <msgpack.h>
#include <stdlib.h>
#include <string.h>

#include "apricot/message.h"
#include "internal/message_codec.h"

/* Reads the items of one array in order. After the first item of a wrong type
   or range `failed` stays set and all further reads give zero. */
typedef struct Reader_t {
    const msgpack_object *items;
    uint32_t count;
    uint32_t next;
    char **text; /* where the next bytes are copied */
    bool failed;
} Reader_t;

static const msgpack_object nil_object = {.type = MSGPACK_OBJECT_NIL};

static const msgpack_object *
read_item(Reader_t *reader)
{
    if (reader->failed || reader->next >= reader->count) {
        reader->failed = true;
        return &nil_object;
    }
    return &reader->items[reader->next++];
}

static uint64_t
read_u64(Reader_t *reader)
{
    const msgpack_object *item = read_item(reader);

    if (item->type != MSGPACK_OBJECT_POSITIVE_INTEGER) {
        reader->failed = true;
        return 0;
    }
    return item->via.u64;
}

static int64_t
read_i64(Reader_t *reader)
{
    const msgpack_object *item = read_item(reader);

    if (item->type == MSGPACK_OBJECT_NEGATIVE_INTEGER) {
        return item->via.i64;
    }
    if (item->type != MSGPACK_OBJECT_POSITIVE_INTEGER ||
        item->via.u64 > INT64_MAX) {
        reader->failed = true;
        return 0;
    }
    return (int64_t)item->via.u64;
}

static int
read_int(Reader_t *reader, int min, int max)
{
    int64_t value = read_i64(reader);

    if (value < min || value > max) {
        reader->failed = true;
        return min;
    }
    return (int)value;
}

static bool
read_bool(Reader_t *reader)
{
    const msgpack_object *item = read_item(reader);

    if (item->type != MSGPACK_OBJECT_BOOLEAN) {
        reader->failed = true;
        return false;
    }
    return item->via.boolean;
}

/* The encoded form of a byte string is longer than its content by at least
   one byte, so the content and a NUL always fit into the storage, which has
   the size of the input. */
static AprBytes_t
read_bytes(Reader_t *reader)
{
    const msgpack_object *item = read_item(reader);
    AprBytes_t bytes = {"", 0};

    if (item->type != MSGPACK_OBJECT_BIN) {
        reader->failed = true;
        return bytes;
    }
    bytes.data = *reader->text;
    bytes.size = item->via.bin.size;
    if (bytes.size > 0) {
        memcpy(*reader->text, item->via.bin.ptr, bytes.size);
    }
    (*reader->text)[bytes.size] = '\0';
    *reader->text += bytes.size + 1;
    return bytes;
}

static void
read_idempotency_key(Reader_t *reader, uint8_t *key, bool expected)
{
    AprBytes_t bytes = read_bytes(reader);
    size_t size = expected ? APR_IDEMPOTENCY_KEY_SIZE : 0;

    if (bytes.size != size) {
        reader->failed = true;
        return;
    }
    if (size > 0) {
        memcpy(key, bytes.data, size);
    }
}

/* Starts to read the array that is the next item. */
static Reader_t
read_array(Reader_t *reader)
{
    const msgpack_object *item = read_item(reader);
    Reader_t inner = {NULL, 0, 0, reader->text, false};

    if (item->type != MSGPACK_OBJECT_ARRAY) {
        reader->failed = true;
        inner.failed = true;
        return inner;
    }
    inner.items = item->via.array.ptr;
    inner.count = item->via.array.size;
    return inner;
}

/* Whether everything was read, no more and no less. */
static bool
reader_finished(const Reader_t *reader)
{
    return !reader->failed && reader->next == reader->count;
}

static void
read_renew(Reader_t *reader, AprRenewMessage_t *renew)
{
    renew->incarnation = read_u64(reader);
    renew->send_id = read_u64(reader);
    renew->record_version = read_u64(reader);
    renew->config_digest = read_u64(reader);
}

static void
read_consent(Reader_t *reader, AprMessage_t *message)
{
    AprConsentMessage_t *consent = &message->consent;

    consent->member = read_bytes(reader);
    consent->member_incarnation = read_u64(reader);
    consent->version = read_u64(reader);
    if (message->type == APR_MSG_CONSENT_ACK) {
        consent->granted = read_bool(reader);
        consent->witness_incarnation = read_u64(reader);
    }
}

static void
read_text_message(Reader_t *reader, AprTextMessage_t *text)
{
    text->version = read_u64(reader);
    text->store_revision = read_i64(reader);
    text->text = read_bytes(reader);
}

static void
read_request(Reader_t *reader, AprRequestMessage_t *request)
{
    unsigned flags;

    request->id = read_u64(reader);
    request->service = read_bytes(reader);
    request->operation = read_bytes(reader);
    request->key = read_bytes(reader);
    request->key_hash = read_u64(reader);
    request->rank = read_int(reader, 0, INT_MAX);
    request->remaining_ms = read_i64(reader);
    flags = (unsigned)read_int(reader, 0, APR_FLAGS_MAX);
    request->idempotent = (flags & APR_FLAG_IDEMPOTENT) != 0;
    request->has_idempotency_key = (flags & APR_FLAG_HAS_KEY) != 0;
    request->first_attempt = (flags & APR_FLAG_FIRST_ATTEMPT) != 0;
    request->is_get = (flags & APR_FLAG_GET) != 0;
    read_idempotency_key(reader, request->idempotency_key,
                         request->has_idempotency_key);
    request->caller = read_bytes(reader);
    request->content_type = read_bytes(reader);
    request->body = read_bytes(reader);
}

static void
read_answer(Reader_t *reader, AprAnswerMessage_t *answer)
{
    answer->id = read_u64(reader);
    answer->outcome = (AprOutcomeKind_t)read_int(reader, 0, APR_MOVED);
    answer->status = read_int(reader, 0, APR_STATUS_MAX);
    answer->reason = read_bytes(reader);
    answer->step = (AprStep_t)read_int(reader, 0, APR_STEP_COUNT - 1);
    answer->peer = read_bytes(reader);
    answer->detail = read_bytes(reader);
    answer->hint_rank = read_int(reader, -1, INT_MAX);
    answer->hint_ms = read_int(reader, 0, APR_HINT_MAX_MS);
    answer->record_version = read_u64(reader);
    answer->content_type = read_bytes(reader);
    answer->body = read_bytes(reader);
}

static void
read_prepare(Reader_t *reader, AprPrepareMessage_t *prepare)
{
    Reader_t list;

    prepare->move_id = read_u64(reader);
    prepare->service = read_bytes(reader);
    prepare->agreed = read_bool(reader);
    list = read_array(reader);
    if (list.failed || list.count > APR_SLOTS) {
        reader->failed = true;
        return;
    }
    prepare->partition_count = (int)list.count;
    for (int i = 0; i < prepare->partition_count; i++) {
        prepare->partitions[i] = (uint16_t)read_int(&list, 0, APR_SLOTS - 1);
    }
    reader->failed = !reader_finished(&list);
}

/* An answer's content type is text for C functions, so a NUL inside it is
   refused; nil stands for none. */
static const char *
read_content_type(Reader_t *reader)
{
    AprBytes_t bytes;

    if (reader->next < reader->count &&
        reader->items[reader->next].type == MSGPACK_OBJECT_NIL) {
        reader->next++;
        return NULL;
    }
    bytes = read_bytes(reader);
    if (strlen(bytes.data) != bytes.size) {
        reader->failed = true;
    }
    return bytes.data;
}

static bool
read_entry(Reader_t *list, int partition, AprOutcomeEntry_t *entry)
{
    Reader_t reader = read_array(list);
    AprBytes_t body;

    read_idempotency_key(&reader, entry->request.idempotency_key, true);
    entry->request.partition = partition;
    entry->request.key_hash = read_u64(&reader);
    entry->request.first_attempt = read_bool(&reader);
    entry->finished_at_ms = read_i64(&reader);
    entry->answer.status = read_int(&reader, 0, APR_STATUS_MAX);
    entry->answer.content_type = read_content_type(&reader);
    body = read_bytes(&reader);
    entry->answer.body = body.data;
    entry->answer.body_size = body.size;
    return reader_finished(&reader);
}

static void
read_entries(Reader_t *reader, AprOutcomesMessage_t *outcomes, void *entries)
{
    Reader_t list = read_array(reader);

    /* The storage has room for the elements of the last field only. */
    if (list.failed || reader->next != reader->count) {
        reader->failed = true;
        return;
    }
    outcomes->entries = entries;
    outcomes->entry_count = (int)list.count;
    for (int i = 0; i < outcomes->entry_count; i++) {
        if (!read_entry(&list, outcomes->partition, &outcomes->entries[i])) {
            reader->failed = true;
            return;
        }
    }
}

static void
read_outcomes(Reader_t *reader, AprMessage_t *message, void *entries)
{
    AprOutcomesMessage_t *outcomes = &message->outcomes;

    outcomes->move_id = read_u64(reader);
    outcomes->service = read_bytes(reader);
    outcomes->partition = read_int(reader, 0, APR_SLOTS - 1);
    if (message->type == APR_MSG_OUTCOMES_ACK) {
        outcomes->accepted = read_bool(reader);
        return;
    }
    outcomes->floor_ms = read_i64(reader);
    outcomes->last = read_bool(reader);
    read_entries(reader, outcomes, entries);
}

static void
read_message(Reader_t *reader, AprMessage_t *message)
{
    switch (message->type) {
    case APR_MSG_RENEW:
    case APR_MSG_RENEW_ACK:
        read_renew(reader, &message->renew);
        break;
    case APR_MSG_CONSENT:
    case APR_MSG_CONSENT_ACK:
    case APR_MSG_SUSPECT:
        read_consent(reader, message);
        break;
    case APR_MSG_RECORD_GET:
    case APR_MSG_RECORD:
    case APR_MSG_CONFIG_GET:
    case APR_MSG_CONFIG:
        read_text_message(reader, &message->text);
        break;
    case APR_MSG_REQUEST:
        read_request(reader, &message->request);
        break;
    case APR_MSG_ANSWER:
        read_answer(reader, &message->answer);
        break;
    case APR_MSG_CANCEL:
        message->cancel.id = read_u64(reader);
        break;
    case APR_MSG_PREPARE:
    case APR_MSG_PREPARE_ACK:
        read_prepare(reader, &message->prepare);
        break;
    default:
        read_outcomes(reader, message, message->storage);
        break;
    }
}

/* Room for the entries of OUTCOMES, which are its last field. */
static size_t
entries_size(const msgpack_object_array *array)
{
    const msgpack_object *last = &array->ptr[array->size - 1];

    if (last->type != MSGPACK_OBJECT_ARRAY) {
        return 0;
    }
    return last->via.array.size * sizeof(AprOutcomeEntry_t);
}

static AprMessage_t *
message_from_object(const msgpack_object *object, size_t size)
{
    Reader_t reader = {NULL, 0, 0, NULL, false};
    AprMessage_t *message;
    size_t reserved;
    char *text;

    if (object->type != MSGPACK_OBJECT_ARRAY || object->via.array.size == 0) {
        return NULL;
    }
    reader.items = object->via.array.ptr;
    reader.count = object->via.array.size;
    message = calloc(1, sizeof(*message));
    if (message == NULL) {
        return NULL;
    }
    message->type = (AprMessageType_t)read_int(&reader, APR_MSG_RENEW,
                                               APR_MSG_TYPE_END - 1);
    reserved = message->type == APR_MSG_OUTCOMES
                   ? entries_size(&object->via.array)
                   : 0;
    message->storage = calloc(1, reserved + size + 1);
    if (message->storage == NULL || reader.failed) {
        goto error;
    }
    text = (char *)message->storage + reserved;
    reader.text = &text;
    read_message(&reader, message);
    if (!reader_finished(&reader) || !AprMessage_InRange(message)) {
        goto error;
    }
    return message;

error:
    AprMessage_Free(message);
    return NULL;
}

/* Parses the bytes of one message. On APR_OK the caller frees *message with
   AprMessage_Free; otherwise (APR_E_PARSE, APR_E_TOO_LARGE) it is NULL. */
int
AprMessage_Decode(const char *data, size_t size, AprMessage_t **message)
{
    msgpack_unpacked unpacked;
    size_t offset = 0;

    *message = NULL;
    if (size > APR_FRAME_MAX_BYTES) {
        return APR_E_TOO_LARGE;
    }
    if (!AprMessage_WellFormed(data, size)) {
        return APR_E_PARSE;
    }
    msgpack_unpacked_init(&unpacked);
    if (msgpack_unpack_next(&unpacked, data, size, &offset) ==
            MSGPACK_UNPACK_SUCCESS &&
        offset == size) {
        *message = message_from_object(&unpacked.data, size);
    }
    msgpack_unpacked_destroy(&unpacked);
    return *message == NULL ? APR_E_PARSE : APR_OK;
}
