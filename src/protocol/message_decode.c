#include <limits.h>
#include <msgpack.h>
#include <stdlib.h>
#include <string.h>

#include "apricot/message.h"
#include "internal/message_codec.h"

/* Reads the items of one array in order. The first item that is missing, has
   the wrong type or is out of range sets `failed`, and no further items are
   read. */
typedef struct Reader_t {
    const msgpack_object *items;
    uint32_t count;
    uint32_t next;
    char **free_storage; /* start of the unused part of the storage */
    bool failed;
} Reader_t;

static const msgpack_object nil_object = {.type = MSGPACK_OBJECT_NIL};

static const msgpack_object *
next_item(Reader_t *reader)
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
    const msgpack_object *item = next_item(reader);

    if (item->type != MSGPACK_OBJECT_POSITIVE_INTEGER) {
        reader->failed = true;
        return 0;
    }
    return item->via.u64;
}

static int64_t
read_i64(Reader_t *reader)
{
    const msgpack_object *item = next_item(reader);

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
    const msgpack_object *item = next_item(reader);

    if (item->type != MSGPACK_OBJECT_BOOLEAN) {
        reader->failed = true;
        return false;
    }
    return item->via.boolean;
}

/* Copies a byte string and a terminating NUL into the storage, which is at
   least as large as the input. Both always fit, because an encoded byte string
   is at least one byte longer than its content. */
static AprBytes_t
read_bytes(Reader_t *reader)
{
    const msgpack_object *item = next_item(reader);
    AprBytes_t bytes = {"", 0};

    if (item->type != MSGPACK_OBJECT_BIN) {
        reader->failed = true;
        return bytes;
    }
    bytes.data = *reader->free_storage;
    bytes.size = item->via.bin.size;
    if (bytes.size > 0) {
        memcpy(*reader->free_storage, item->via.bin.ptr, bytes.size);
    }
    (*reader->free_storage)[bytes.size] = '\0';
    *reader->free_storage += bytes.size + 1;
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

/* Returns a reader for the array that is the next item. */
static Reader_t
read_array(Reader_t *reader)
{
    const msgpack_object *item = next_item(reader);
    Reader_t array_reader = {NULL, 0, 0, reader->free_storage, false};

    if (item->type != MSGPACK_OBJECT_ARRAY) {
        reader->failed = true;
        array_reader.failed = true;
        return array_reader;
    }
    array_reader.items = item->via.array.ptr;
    array_reader.count = item->via.array.size;
    return array_reader;
}

/* Returns whether all items were read without a failure. */
static bool
all_items_read(const Reader_t *reader)
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
    consent->record_version = read_u64(reader);
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
    Reader_t list_reader;

    prepare->move_id = read_u64(reader);
    prepare->service = read_bytes(reader);
    prepare->agreed = read_bool(reader);
    list_reader = read_array(reader);
    if (list_reader.failed || list_reader.count > APR_SLOTS) {
        reader->failed = true;
        return;
    }
    prepare->partition_count = (int)list_reader.count;
    for (int i = 0; i < prepare->partition_count; i++) {
        prepare->partitions[i] =
            (uint16_t)read_int(&list_reader, 0, APR_SLOTS - 1);
    }
    reader->failed = !all_items_read(&list_reader);
}

/* Reads the content type of a stored answer, or NULL for nil. A NUL inside it
   is rejected, because C string functions use it. */
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
read_entry(Reader_t *list_reader, int partition, AprOutcomeEntry_t *entry)
{
    Reader_t reader = read_array(list_reader);
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
    return all_items_read(&reader);
}

static void
read_entries(Reader_t *reader, AprOutcomesMessage_t *outcomes, void *entries)
{
    Reader_t list_reader = read_array(reader);

    /* The storage is sized for the elements of the last field, so the entries
       must be the last field. */
    if (list_reader.failed || reader->next != reader->count) {
        reader->failed = true;
        return;
    }
    outcomes->entries = entries;
    outcomes->entry_count = (int)list_reader.count;
    for (int i = 0; i < outcomes->entry_count; i++) {
        if (!read_entry(&list_reader, outcomes->partition,
                        &outcomes->entries[i])) {
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
read_message_fields(Reader_t *reader, AprMessage_t *message)
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

/* Returns the storage size of the entries of APR_MSG_OUTCOMES, which are its
   last field. */
static size_t
entries_storage_size(const msgpack_object_array *array)
{
    const msgpack_object *last = &array->ptr[array->size - 1];

    if (last->type != MSGPACK_OBJECT_ARRAY) {
        return 0;
    }
    return last->via.array.size * sizeof(AprOutcomeEntry_t);
}

static AprMessage_t *
decode_message_object(const msgpack_object *object, size_t size)
{
    Reader_t reader = {NULL, 0, 0, NULL, false};
    AprMessage_t *message;
    size_t entries_size;
    char *free_storage;

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
    entries_size = message->type == APR_MSG_OUTCOMES
                       ? entries_storage_size(&object->via.array)
                       : 0;
    message->storage = calloc(1, entries_size + size + 1);
    if (message->storage == NULL || reader.failed) {
        goto error;
    }
    free_storage = (char *)message->storage + entries_size;
    reader.free_storage = &free_storage;
    read_message_fields(&reader, message);
    if (!all_items_read(&reader) || !AprMessage_IsInRange(message)) {
        goto error;
    }
    return message;

error:
    AprMessage_Free(message);
    return NULL;
}

/* Parses the bytes of one message. On APR_OK the caller frees *message with
   AprMessage_Free; on APR_E_PARSE or APR_E_TOO_LARGE it is NULL. A failed
   allocation of the message is reported as APR_E_PARSE too. */
int
AprMessage_Decode(const char *data, size_t size, AprMessage_t **message)
{
    msgpack_unpacked unpacked;
    size_t offset = 0;

    *message = NULL;
    if (size > APR_FRAME_MAX_BYTES) {
        return APR_E_TOO_LARGE;
    }
    if (!AprMessage_IsWellFormed(data, size)) {
        return APR_E_PARSE;
    }
    msgpack_unpacked_init(&unpacked);
    if (msgpack_unpack_next(&unpacked, data, size, &offset) ==
            MSGPACK_UNPACK_SUCCESS &&
        offset == size) {
        *message = decode_message_object(&unpacked.data, size);
    }
    msgpack_unpacked_destroy(&unpacked);
    return *message == NULL ? APR_E_PARSE : APR_OK;
}
