#include <msgpack.h>
#include <string.h>

#include "apricot/message.h"
#include "internal/message_codec.h"

static void
pack_bytes(msgpack_packer *packer, const void *data, size_t size)
{
    msgpack_pack_bin_with_body(packer, size == 0 ? "" : data, size);
}

static void
pack_bytes_field(msgpack_packer *packer, const AprBytes_t *bytes)
{
    pack_bytes(packer, bytes->data, bytes->size);
}

static void
pack_bool(msgpack_packer *packer, bool value)
{
    if (value) {
        msgpack_pack_true(packer);
    }
    else {
        msgpack_pack_false(packer);
    }
}

static void
pack_message_header(msgpack_packer *packer, AprMessageType_t type,
                    size_t field_count)
{
    msgpack_pack_array(packer, field_count + 1);
    msgpack_pack_int(packer, type);
}

static void
pack_renew(msgpack_packer *packer, const AprMessage_t *message)
{
    const AprRenewMessage_t *renew = &message->renew;

    pack_message_header(packer, message->type, 4);
    msgpack_pack_uint64(packer, renew->incarnation);
    msgpack_pack_uint64(packer, renew->send_id);
    msgpack_pack_uint64(packer, renew->record_version);
    msgpack_pack_uint64(packer, renew->config_digest);
}

static void
pack_consent(msgpack_packer *packer, const AprMessage_t *message)
{
    const AprConsentMessage_t *consent = &message->consent;
    bool is_ack = message->type == APR_MSG_CONSENT_ACK;

    pack_message_header(packer, message->type, is_ack ? 5 : 3);
    pack_bytes_field(packer, &consent->member);
    msgpack_pack_uint64(packer, consent->member_incarnation);
    msgpack_pack_uint64(packer, consent->record_version);
    if (is_ack) {
        pack_bool(packer, consent->granted);
        msgpack_pack_uint64(packer, consent->witness_incarnation);
    }
}

static void
pack_text_message(msgpack_packer *packer, const AprMessage_t *message)
{
    const AprTextMessage_t *text = &message->text;

    pack_message_header(packer, message->type, 3);
    msgpack_pack_uint64(packer, text->version);
    msgpack_pack_int64(packer, text->store_revision);
    pack_bytes_field(packer, &text->text);
}

static uint8_t
request_flags(const AprRequestMessage_t *request)
{
    return (request->idempotent ? APR_FLAG_IDEMPOTENT : 0) |
           (request->has_idempotency_key ? APR_FLAG_HAS_KEY : 0) |
           (request->first_attempt ? APR_FLAG_FIRST_ATTEMPT : 0) |
           (request->is_get ? APR_FLAG_GET : 0);
}

static void
pack_request(msgpack_packer *packer, const AprMessage_t *message)
{
    const AprRequestMessage_t *request = &message->request;

    pack_message_header(packer, message->type, 12);
    msgpack_pack_uint64(packer, request->id);
    pack_bytes_field(packer, &request->service);
    pack_bytes_field(packer, &request->operation);
    pack_bytes_field(packer, &request->key);
    msgpack_pack_uint64(packer, request->key_hash);
    msgpack_pack_int(packer, request->rank);
    msgpack_pack_int64(packer, request->remaining_ms);
    msgpack_pack_uint8(packer, request_flags(request));
    pack_bytes(packer, request->idempotency_key,
               request->has_idempotency_key ? APR_IDEMPOTENCY_KEY_SIZE : 0);
    pack_bytes_field(packer, &request->caller);
    pack_bytes_field(packer, &request->content_type);
    pack_bytes_field(packer, &request->body);
}

static void
pack_answer(msgpack_packer *packer, const AprMessage_t *message)
{
    const AprAnswerMessage_t *answer = &message->answer;

    pack_message_header(packer, message->type, 12);
    msgpack_pack_uint64(packer, answer->id);
    msgpack_pack_int(packer, answer->outcome);
    msgpack_pack_int(packer, answer->status);
    pack_bytes_field(packer, &answer->reason);
    msgpack_pack_int(packer, answer->step);
    pack_bytes_field(packer, &answer->peer);
    pack_bytes_field(packer, &answer->detail);
    msgpack_pack_int(packer, answer->hint_rank);
    msgpack_pack_int(packer, answer->hint_ms);
    msgpack_pack_uint64(packer, answer->record_version);
    pack_bytes_field(packer, &answer->content_type);
    pack_bytes_field(packer, &answer->body);
}

static void
pack_prepare(msgpack_packer *packer, const AprMessage_t *message)
{
    const AprPrepareMessage_t *prepare = &message->prepare;

    pack_message_header(packer, message->type, 4);
    msgpack_pack_uint64(packer, prepare->move_id);
    pack_bytes_field(packer, &prepare->service);
    pack_bool(packer, prepare->agreed);
    msgpack_pack_array(packer, (size_t)prepare->partition_count);
    for (int i = 0; i < prepare->partition_count; i++) {
        msgpack_pack_uint16(packer, prepare->partitions[i]);
    }
}

static void
pack_outcome_entry(msgpack_packer *packer, const AprOutcomeEntry_t *entry)
{
    const AprStoredAnswer_t *answer = &entry->answer;

    msgpack_pack_array(packer, 7);
    pack_bytes(packer, entry->request.idempotency_key,
               APR_IDEMPOTENCY_KEY_SIZE);
    msgpack_pack_uint64(packer, entry->request.key_hash);
    pack_bool(packer, entry->request.first_attempt);
    msgpack_pack_int64(packer, entry->finished_at_ms);
    msgpack_pack_int(packer, answer->status);
    if (answer->content_type == NULL) {
        msgpack_pack_nil(packer);
    }
    else {
        pack_bytes(packer, answer->content_type, strlen(answer->content_type));
    }
    pack_bytes(packer, answer->body, answer->body_size);
}

static void
pack_outcomes(msgpack_packer *packer, const AprMessage_t *message)
{
    const AprOutcomesMessage_t *outcomes = &message->outcomes;
    bool is_ack = message->type == APR_MSG_OUTCOMES_ACK;

    pack_message_header(packer, message->type, is_ack ? 4 : 6);
    msgpack_pack_uint64(packer, outcomes->move_id);
    pack_bytes_field(packer, &outcomes->service);
    msgpack_pack_int(packer, outcomes->partition);
    if (is_ack) {
        pack_bool(packer, outcomes->accepted);
        return;
    }
    msgpack_pack_int64(packer, outcomes->floor_ms);
    pack_bool(packer, outcomes->last);
    msgpack_pack_array(packer, (size_t)outcomes->entry_count);
    for (int i = 0; i < outcomes->entry_count; i++) {
        pack_outcome_entry(packer, &outcomes->entries[i]);
    }
}

static void
pack_message(msgpack_packer *packer, const AprMessage_t *message)
{
    switch (message->type) {
    case APR_MSG_RENEW:
    case APR_MSG_RENEW_ACK:
        pack_renew(packer, message);
        break;
    case APR_MSG_CONSENT:
    case APR_MSG_CONSENT_ACK:
    case APR_MSG_SUSPECT:
        pack_consent(packer, message);
        break;
    case APR_MSG_RECORD_GET:
    case APR_MSG_RECORD:
    case APR_MSG_CONFIG_GET:
    case APR_MSG_CONFIG:
        pack_text_message(packer, message);
        break;
    case APR_MSG_REQUEST:
        pack_request(packer, message);
        break;
    case APR_MSG_ANSWER:
        pack_answer(packer, message);
        break;
    case APR_MSG_CANCEL:
        pack_message_header(packer, message->type, 1);
        msgpack_pack_uint64(packer, message->cancel.id);
        break;
    case APR_MSG_PREPARE:
    case APR_MSG_PREPARE_ACK:
        pack_prepare(packer, message);
        break;
    default:
        pack_outcomes(packer, message);
        break;
    }
}

/* Serializes a message into *data, which the caller frees. Returns
   APR_E_INVALID if a field is out of range, APR_E_TOO_LARGE if the result does
   not fit into one frame, and APR_E_NOMEM if it could not be allocated. */
int
AprMessage_Encode(const AprMessage_t *message, char **data, size_t *size)
{
    msgpack_sbuffer buffer;
    msgpack_packer packer;

    if (!AprMessage_IsInRange(message)) {
        return APR_E_INVALID;
    }
    if (AprMessage_ContentSize(message) > 2 * APR_FRAME_MAX_BYTES) {
        return APR_E_TOO_LARGE;
    }
    msgpack_sbuffer_init(&buffer);
    msgpack_packer_init(&packer, &buffer, msgpack_sbuffer_write);
    pack_message(&packer, message);
    if (buffer.size > APR_FRAME_MAX_BYTES) {
        msgpack_sbuffer_destroy(&buffer);
        return APR_E_TOO_LARGE;
    }
    *size = buffer.size;
    *data = msgpack_sbuffer_release(&buffer);
    return *data == NULL ? APR_E_NOMEM : APR_OK;
}
