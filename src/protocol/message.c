#include "apricot/message.h"

#include <stdlib.h>
#include <string.h>

#include "apricot/rank_queue.h"
#include "internal/message_codec.h"

#define MAX_BYTE_FIELDS 8

static const char *const message_type_names[APR_MSG_TYPE_END] = {
    "none",        "renew",       "renew-ack", "consent",
    "consent-ack", "record-get",  "record",    "config-get",
    "config",      "request",     "answer",    "cancel",
    "prepare",     "prepare-ack", "outcomes",  "outcomes-ack"};

typedef struct ByteField_t {
    AprBytes_t *bytes;
    size_t max_size;
    bool may_contain_nul;
} ByteField_t;

/* Returns the name of a message type for logs; "none" for an unknown type. */
const char *
AprMessage_TypeName(AprMessageType_t type)
{
    if ((unsigned)type >= APR_MSG_TYPE_END) {
        return "none";
    }
    return message_type_names[type];
}

/* Returns bytes that refer to a NUL-terminated text, which must outlive them.
   NULL yields empty bytes. */
AprBytes_t
AprBytes_FromText(const char *text)
{
    AprBytes_t bytes = {text == NULL ? "" : text,
                        text == NULL ? 0 : strlen(text)};

    return bytes;
}

/* Returns whether queues send a message of this type before requests, answers
   and outcomes. */
bool
AprMessage_IsControl(AprMessageType_t type)
{
    return type != APR_MSG_REQUEST && type != APR_MSG_ANSWER &&
           type != APR_MSG_OUTCOMES;
}

static int
list_request_fields(AprRequestMessage_t *request, ByteField_t *fields)
{
    const ByteField_t all[] = {
        {&request->service, APR_NAME_SIZE - 1, false},
        {&request->operation, APR_NAME_SIZE - 1, false},
        {&request->key, APR_KEY_MAX_BYTES, false},
        {&request->caller, APR_CALLER_MAX_BYTES, false},
        {&request->content_type, APR_CONTENT_TYPE_MAX_BYTES, false},
        {&request->body, APR_FRAME_MAX_BYTES, true},
    };

    memcpy(fields, all, sizeof(all));
    return sizeof(all) / sizeof(all[0]);
}

static int
list_answer_fields(AprAnswerMessage_t *answer, ByteField_t *fields)
{
    const ByteField_t all[] = {
        {&answer->reason, APR_REASON_MAX_BYTES, false},
        {&answer->peer, APR_ERROR_PEER_SIZE - 1, false},
        {&answer->detail, APR_ERROR_DETAIL_SIZE - 1, false},
        {&answer->content_type, APR_CONTENT_TYPE_MAX_BYTES, false},
        {&answer->body, APR_FRAME_MAX_BYTES, true},
    };

    memcpy(fields, all, sizeof(all));
    return sizeof(all) / sizeof(all[0]);
}

/* Fills `fields` with the byte fields of a message and returns their number.
   The entries of APR_MSG_OUTCOMES are not among them. */
static int
list_byte_fields(AprMessage_t *message, ByteField_t *fields)
{
    switch (message->type) {
    case APR_MSG_CONSENT:
    case APR_MSG_CONSENT_ACK:
    case APR_MSG_SUSPECT:
        fields[0] =
            (ByteField_t){&message->consent.member, APR_NAME_SIZE - 1, false};
        return 1;
    case APR_MSG_RECORD_GET:
    case APR_MSG_RECORD:
    case APR_MSG_CONFIG_GET:
    case APR_MSG_CONFIG:
        fields[0] =
            (ByteField_t){&message->text.text, APR_FRAME_MAX_BYTES, false};
        return 1;
    case APR_MSG_REQUEST:
        return list_request_fields(&message->request, fields);
    case APR_MSG_ANSWER:
        return list_answer_fields(&message->answer, fields);
    case APR_MSG_PREPARE:
    case APR_MSG_PREPARE_ACK:
        fields[0] =
            (ByteField_t){&message->prepare.service, APR_NAME_SIZE - 1, false};
        return 1;
    case APR_MSG_OUTCOMES:
    case APR_MSG_OUTCOMES_ACK:
        fields[0] = (ByteField_t){&message->outcomes.service,
                                  APR_NAME_SIZE - 1, false};
        return 1;
    default:
        return 0;
    }
}

static bool
has_entries(const AprMessage_t *message)
{
    return message->type == APR_MSG_OUTCOMES;
}

static bool
byte_fields_in_range(const AprMessage_t *message)
{
    ByteField_t fields[MAX_BYTE_FIELDS];
    /* The cast is safe: the fields are only read here. */
    int count = list_byte_fields((AprMessage_t *)message, fields);

    for (int i = 0; i < count; i++) {
        const AprBytes_t *bytes = fields[i].bytes;

        if (bytes->size > fields[i].max_size) {
            return false;
        }
        /* With a NUL inside, strlen() would differ from the size. */
        if (!fields[i].may_contain_nul && bytes->size > 0 &&
            memchr(bytes->data, '\0', bytes->size) != NULL) {
            return false;
        }
    }
    return true;
}

static bool
entries_in_range(const AprOutcomesMessage_t *outcomes)
{
    if (outcomes->entry_count < 0 ||
        outcomes->entry_count > APR_MESSAGE_MAX_ITEMS) {
        return false;
    }
    for (int i = 0; i < outcomes->entry_count; i++) {
        const AprStoredAnswer_t *answer = &outcomes->entries[i].answer;

        if (answer->status < 0 || answer->status > APR_STATUS_MAX ||
            answer->body_size > APR_FRAME_MAX_BYTES ||
            (answer->content_type != NULL &&
             strlen(answer->content_type) > APR_CONTENT_TYPE_MAX_BYTES)) {
            return false;
        }
    }
    return true;
}

static bool
prepare_in_range(const AprPrepareMessage_t *prepare)
{
    if (prepare->partition_count < 0 || prepare->partition_count > APR_SLOTS) {
        return false;
    }
    for (int i = 0; i < prepare->partition_count; i++) {
        if (prepare->partitions[i] >= APR_SLOTS) {
            return false;
        }
    }
    return true;
}

static bool
answer_in_range(const AprAnswerMessage_t *answer)
{
    return (unsigned)answer->outcome <= APR_MOVED && answer->status >= 0 &&
           answer->status <= APR_STATUS_MAX &&
           (unsigned)answer->step < APR_STEP_COUNT &&
           answer->hint_rank >= -1 && answer->hint_rank < APR_MAX_RANKS &&
           answer->hint_ms >= 0 && answer->hint_ms <= APR_HINT_MAX_MS;
}

/* Returns whether every field of a message is in the range that the decoder
   accepts. */
bool
AprMessage_IsInRange(const AprMessage_t *message)
{
    if (message->type < APR_MSG_RENEW || message->type >= APR_MSG_TYPE_END ||
        !byte_fields_in_range(message)) {
        return false;
    }
    switch (message->type) {
    case APR_MSG_REQUEST:
        return message->request.rank >= 0 &&
               message->request.rank < APR_MAX_RANKS &&
               message->request.remaining_ms >= 0 &&
               message->request.remaining_ms <= APR_REMAINING_MAX_MS;
    case APR_MSG_ANSWER:
        return answer_in_range(&message->answer);
    case APR_MSG_PREPARE:
    case APR_MSG_PREPARE_ACK:
        return prepare_in_range(&message->prepare);
    case APR_MSG_OUTCOMES:
    case APR_MSG_OUTCOMES_ACK:
        return message->outcomes.partition >= 0 &&
               message->outcomes.partition < APR_SLOTS &&
               (!has_entries(message) || entries_in_range(&message->outcomes));
    default:
        return true;
    }
}

static size_t
entry_content_size(const AprOutcomeEntry_t *entry)
{
    size_t size = entry->answer.body_size;

    if (entry->answer.content_type != NULL) {
        size += strlen(entry->answer.content_type) + 1;
    }
    return size;
}

/* Returns the size of the data that a message points to, including entries and
   terminating NULs. */
size_t
AprMessage_ContentSize(const AprMessage_t *message)
{
    ByteField_t fields[MAX_BYTE_FIELDS];
    int count = list_byte_fields((AprMessage_t *)message, fields);
    size_t size = 0;

    if (has_entries(message)) {
        for (int i = 0; i < message->outcomes.entry_count; i++) {
            size += sizeof(AprOutcomeEntry_t) +
                    entry_content_size(&message->outcomes.entries[i]);
        }
    }
    for (int i = 0; i < count; i++) {
        size += fields[i].bytes->size + 1;
    }
    return size;
}

static char *
append_bytes(char *storage, const void *data, size_t size)
{
    if (size > 0) {
        memcpy(storage, data, size);
    }
    return storage + size;
}

static char *
copy_entries(AprMessage_t *copy, char *storage)
{
    AprOutcomesMessage_t *outcomes = &copy->outcomes;
    const AprOutcomeEntry_t *source = outcomes->entries;
    AprOutcomeEntry_t *entries = (AprOutcomeEntry_t *)storage;

    storage += (size_t)outcomes->entry_count * sizeof(*entries);
    for (int i = 0; i < outcomes->entry_count; i++) {
        const AprStoredAnswer_t *answer = &source[i].answer;

        entries[i] = source[i];
        if (answer->content_type != NULL) {
            entries[i].answer.content_type = storage;
            storage = append_bytes(storage, answer->content_type,
                                   strlen(answer->content_type) + 1);
        }
        entries[i].answer.body = storage;
        storage = append_bytes(storage, answer->body, answer->body_size);
    }
    outcomes->entries = entries;
    return storage;
}

/* Copies a message and all data it points to. The caller frees the copy with
   AprMessage_Free. Returns NULL when out of memory. */
AprMessage_t *
AprMessage_Copy(const AprMessage_t *message)
{
    ByteField_t fields[MAX_BYTE_FIELDS];
    AprMessage_t *copy = malloc(sizeof(*copy));
    char *storage = malloc(AprMessage_ContentSize(message) + 1);
    int count;

    if (copy == NULL || storage == NULL) {
        free(copy);
        free(storage);
        return NULL;
    }
    *copy = *message;
    copy->storage = storage;
    if (has_entries(copy)) {
        storage = copy_entries(copy, storage);
    }
    count = list_byte_fields(copy, fields);
    for (int i = 0; i < count; i++) {
        AprBytes_t *bytes = fields[i].bytes;
        const char *data = bytes->data;

        bytes->data = storage;
        storage = append_bytes(storage, data, bytes->size);
        *storage++ = '\0';
    }
    return copy;
}

/* Frees a message allocated with malloc, and its storage. Accepts NULL. */
void
AprMessage_Free(AprMessage_t *message)
{
    if (message != NULL) {
        free(message->storage);
        free(message);
    }
}

/* Returns the outcome name that callers see. APR_MOVED is reported as not run,
   which it is. */
const char *
AprOutcomeKind_Name(AprOutcomeKind_t outcome)
{
    switch (outcome) {
    case APR_ANSWERED:
        return "answered";
    case APR_UNKNOWN:
        return "unknown";
    case APR_REJECTED:
        return "rejected";
    default:
        return "not-run";
    }
}
