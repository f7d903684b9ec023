#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "apricot/message.h"
#include "internal/message_codec.h"

/* Encodes a message and returns the decoded result, which the caller frees. */
static AprMessage_t *
round_trip(const AprMessage_t *message)
{
    AprMessage_t *decoded = NULL;
    char *data = NULL;
    size_t size = 0;

    assert_int_equal(AprMessage_Encode(message, &data, &size), APR_OK);
    assert_int_equal(AprMessage_Decode(data, size, &decoded), APR_OK);
    free(data);
    assert_int_equal(decoded->type, message->type);
    return decoded;
}

static void
assert_bytes_equal(AprBytes_t bytes, const char *expected)
{
    assert_int_equal(bytes.size, strlen(expected));
    assert_string_equal(bytes.data, expected);
}

/* Guards against fields that are lost or swapped in the control messages. */
static void
test_control_messages(void **state)
{
    AprMessage_t message = {.type = APR_MSG_RENEW_ACK};
    AprMessage_t *decoded;

    (void)state;
    message.renew = (AprRenewMessage_t){1, UINT64_MAX, 3, 4};
    decoded = round_trip(&message);
    assert_memory_equal(&decoded->renew, &message.renew,
                        sizeof(decoded->renew));
    AprMessage_Free(decoded);

    message.type = APR_MSG_CONSENT_ACK;
    message.consent =
        (AprConsentMessage_t){AprBytes_FromText("kochi-1"), 5, 6, true, 7};
    decoded = round_trip(&message);
    assert_bytes_equal(decoded->consent.member, "kochi-1");
    assert_int_equal(decoded->consent.member_incarnation, 5);
    assert_int_equal(decoded->consent.record_version, 6);
    assert_true(decoded->consent.granted);
    assert_int_equal(decoded->consent.witness_incarnation, 7);
    AprMessage_Free(decoded);

    message.type = APR_MSG_RECORD;
    message.text = (AprTextMessage_t){8, -9, AprBytes_FromText("{}")};
    decoded = round_trip(&message);
    assert_int_equal(decoded->text.version, 8);
    assert_int_equal(decoded->text.store_revision, -9);
    assert_bytes_equal(decoded->text.text, "{}");
    AprMessage_Free(decoded);

    message.type = APR_MSG_CANCEL;
    message.cancel.id = 10;
    decoded = round_trip(&message);
    assert_int_equal(decoded->cancel.id, 10);
    AprMessage_Free(decoded);
}

static AprMessage_t
sample_request(void)
{
    AprMessage_t message = {.type = APR_MSG_REQUEST};
    AprRequestMessage_t *request = &message.request;

    request->id = 11;
    request->service = AprBytes_FromText("desk");
    request->operation = AprBytes_FromText("book");
    request->key = AprBytes_FromText("job/17");
    request->key_hash = UINT64_MAX - 1;
    request->rank = 3;
    request->remaining_ms = 250;
    request->has_idempotency_key = true;
    memset(request->idempotency_key, 0xa5, APR_IDEMPOTENCY_KEY_SIZE);
    request->first_attempt = true;
    request->is_get = true;
    request->caller = AprBytes_FromText("dealer-4");
    request->content_type = AprBytes_FromText("application/json");
    request->body = (AprBytes_t){"a\0b", 3};
    return message;
}

static void
assert_sample_request(const AprRequestMessage_t *decoded)
{
    AprMessage_t expected = sample_request();

    assert_int_equal(decoded->id, 11);
    assert_bytes_equal(decoded->service, "desk");
    assert_bytes_equal(decoded->operation, "book");
    assert_bytes_equal(decoded->key, "job/17");
    assert_true(decoded->key_hash == UINT64_MAX - 1);
    assert_int_equal(decoded->rank, 3);
    assert_int_equal(decoded->remaining_ms, 250);
    assert_false(decoded->idempotent);
    assert_true(decoded->has_idempotency_key);
    assert_memory_equal(decoded->idempotency_key,
                        expected.request.idempotency_key,
                        APR_IDEMPOTENCY_KEY_SIZE);
    assert_true(decoded->first_attempt);
    assert_true(decoded->is_get);
    assert_bytes_equal(decoded->caller, "dealer-4");
    assert_bytes_equal(decoded->content_type, "application/json");
    assert_int_equal(decoded->body.size, 3);
    assert_memory_equal(decoded->body.data, "a\0b", 4);
}

/* Guards against lost fields of a request, and against a copy that still
   points into the original. */
static void
test_request_and_copy(void **state)
{
    AprMessage_t message = sample_request();
    AprMessage_t *decoded = round_trip(&message);
    AprMessage_t *copy = AprMessage_Copy(decoded);

    (void)state;
    assert_sample_request(&decoded->request);
    memset(decoded->storage, 'x', 8);
    AprMessage_Free(decoded);
    assert_sample_request(&copy->request);
    AprMessage_Free(copy);
}

/* Guards against lost fields of an answer. */
static void
test_answer(void **state)
{
    AprMessage_t message = {.type = APR_MSG_ANSWER};
    AprAnswerMessage_t *answer = &message.answer;
    AprMessage_t *decoded;

    (void)state;
    answer->id = 12;
    answer->outcome = APR_MOVED;
    answer->status = 409;
    answer->reason = AprBytes_FromText("queue-full");
    answer->step = APR_STEP_QUEUE;
    answer->peer = AprBytes_FromText("kochi-2");
    answer->detail = AprBytes_FromText("no room");
    answer->hint_rank = -1;
    answer->hint_ms = 40;
    answer->record_version = 13;
    answer->content_type = AprBytes_FromText("text/plain");
    answer->body = AprBytes_FromText("body");
    decoded = round_trip(&message);
    answer = &decoded->answer;
    assert_int_equal(answer->id, 12);
    assert_int_equal(answer->outcome, APR_MOVED);
    assert_int_equal(answer->status, 409);
    assert_bytes_equal(answer->reason, "queue-full");
    assert_int_equal(answer->step, APR_STEP_QUEUE);
    assert_bytes_equal(answer->peer, "kochi-2");
    assert_bytes_equal(answer->detail, "no room");
    assert_int_equal(answer->hint_rank, -1);
    assert_int_equal(answer->hint_ms, 40);
    assert_int_equal(answer->record_version, 13);
    assert_bytes_equal(answer->content_type, "text/plain");
    assert_bytes_equal(answer->body, "body");
    AprMessage_Free(decoded);
}

static void
assert_sample_outcomes(const AprOutcomesMessage_t *decoded)
{
    assert_int_equal(decoded->move_id, 14);
    assert_bytes_equal(decoded->service, "desk");
    assert_int_equal(decoded->partition, APR_SLOTS - 1);
    assert_int_equal(decoded->floor_ms, -15);
    assert_true(decoded->last);
    assert_int_equal(decoded->entry_count, 2);
    for (int i = 0; i < 2; i++) {
        const AprOutcomeEntry_t *entry = &decoded->entries[i];

        assert_int_equal(entry->request.partition, APR_SLOTS - 1);
        assert_int_equal(entry->request.key_hash, 16 + i);
        assert_int_equal(entry->request.idempotency_key[15], i + 1);
        assert_int_equal(entry->request.first_attempt, i);
        assert_int_equal(entry->finished_at_ms, 17 + i);
        assert_int_equal(entry->answer.status, 200 * i);
        assert_int_equal(entry->answer.body_size, 4 * i);
    }
    assert_null(decoded->entries[0].answer.content_type);
    assert_string_equal(decoded->entries[1].answer.content_type, "text/plain");
    assert_memory_equal(decoded->entries[1].answer.body, "done", 4);
}

/* Guards against an entry or field of the outcomes that is lost in a planned
   move, so that a retried request would run twice. */
static void
test_outcomes(void **state)
{
    AprOutcomeEntry_t entries[2] = {0};
    AprMessage_t message = {.type = APR_MSG_OUTCOMES};
    AprMessage_t *decoded;
    AprMessage_t *copy;

    (void)state;
    for (int i = 0; i < 2; i++) {
        entries[i].request.key_hash = 16 + i;
        entries[i].request.idempotency_key[15] = (uint8_t)(i + 1);
        entries[i].request.first_attempt = i == 1;
        entries[i].finished_at_ms = 17 + i;
    }
    entries[1].answer = (AprStoredAnswer_t){200, "text/plain", "done", 4};
    message.outcomes = (AprOutcomesMessage_t){
        14,   AprBytes_FromText("desk"), APR_SLOTS - 1, -15, true, 2, entries,
        false};
    decoded = round_trip(&message);
    assert_sample_outcomes(&decoded->outcomes);
    copy = AprMessage_Copy(decoded);
    AprMessage_Free(decoded);
    assert_sample_outcomes(&copy->outcomes);
    AprMessage_Free(copy);

    message.type = APR_MSG_OUTCOMES_ACK;
    message.outcomes.accepted = true;
    decoded = round_trip(&message);
    assert_int_equal(decoded->outcomes.move_id, 14);
    assert_int_equal(decoded->outcomes.entry_count, 0);
    assert_true(decoded->outcomes.accepted);
    AprMessage_Free(decoded);
}

/* Guards against lost partitions in a planned move. */
static void
test_prepare(void **state)
{
    AprMessage_t message = {.type = APR_MSG_PREPARE_ACK};
    AprMessage_t *decoded;

    (void)state;
    message.prepare.move_id = 18;
    message.prepare.service = AprBytes_FromText("desk");
    message.prepare.agreed = true;
    message.prepare.partition_count = APR_SLOTS;
    for (int i = 0; i < APR_SLOTS; i++) {
        message.prepare.partitions[i] = (uint16_t)i;
    }
    decoded = round_trip(&message);
    assert_int_equal(decoded->prepare.move_id, 18);
    assert_bytes_equal(decoded->prepare.service, "desk");
    assert_true(decoded->prepare.agreed);
    assert_int_equal(decoded->prepare.partition_count, APR_SLOTS);
    assert_memory_equal(decoded->prepare.partitions,
                        message.prepare.partitions,
                        sizeof(message.prepare.partitions));
    AprMessage_Free(decoded);
}

static int
encode_and_discard(const AprMessage_t *message)
{
    char *data = NULL;
    size_t size;
    int status = AprMessage_Encode(message, &data, &size);

    free(data);
    return status;
}

/* Guards against messages that this end sends and the other end rejects, which
   would close the link each time. */
static void
test_encoder_rejects_out_of_range(void **state)
{
    static char large[APR_FRAME_MAX_BYTES + 1];
    char name[APR_NAME_SIZE + 1] = {0};
    AprMessage_t message = sample_request();

    (void)state;
    memset(name, 'n', APR_NAME_SIZE);
    message.request.service = AprBytes_FromText(name);
    assert_int_equal(encode_and_discard(&message), APR_E_INVALID);
    message = sample_request();
    message.request.rank = 8;
    assert_int_equal(encode_and_discard(&message), APR_E_INVALID);
    message = sample_request();
    message.request.remaining_ms = -1;
    assert_int_equal(encode_and_discard(&message), APR_E_INVALID);
    message = sample_request();
    message.request.key = (AprBytes_t){"a\0b", 3};
    assert_int_equal(encode_and_discard(&message), APR_E_INVALID);
    message = sample_request();
    message.request.body = (AprBytes_t){large, APR_FRAME_MAX_BYTES};
    assert_int_equal(encode_and_discard(&message), APR_E_TOO_LARGE);
    message.request.body = (AprBytes_t){large, sizeof(large)};
    assert_int_equal(encode_and_discard(&message), APR_E_INVALID);
    message.type = APR_MSG_TYPE_END;
    assert_int_equal(encode_and_discard(&message), APR_E_INVALID);
}

static void
assert_decode_rejects(const char *bytes, size_t size)
{
    AprMessage_t *message = NULL;

    assert_int_equal(AprMessage_Decode(bytes, size, &message), APR_E_PARSE);
    assert_null(message);
}

#define ASSERT_DECODE_REJECTS(text) \
    assert_decode_rejects(text, sizeof(text) - 1)

/* Guards against allocations for lengths that exceed the input, against deep
   nesting, and against unknown, missing and surplus fields. */
static void
test_decoder_rejects_malformed_input(void **state)
{
    char nested[40];
    AprMessage_t *message = NULL;

    (void)state;
    assert_decode_rejects("", 0);
    ASSERT_DECODE_REJECTS("\xdd\xff\xff\xff\xff"); /* 4 G elements */
    ASSERT_DECODE_REJECTS(
        "\x92\x0b\xdd\x7f\xff\xff\xff\x01"); /* the same, nested */
    ASSERT_DECODE_REJECTS(
        "\x92\x0b\xc6\xff\xff\xff\xff\x01");   /* 4 GiB of bytes */
    ASSERT_DECODE_REJECTS("\x0b");             /* not an array */
    ASSERT_DECODE_REJECTS("\x90");             /* no type */
    ASSERT_DECODE_REJECTS("\x91\x0b");         /* no id */
    ASSERT_DECODE_REJECTS("\x93\x0b\x01\x01"); /* surplus field */
    ASSERT_DECODE_REJECTS("\x92\x0b\x01\x01"); /* surplus byte */
    ASSERT_DECODE_REJECTS("\x92\x0b\xff");     /* negative id */
    ASSERT_DECODE_REJECTS("\x92\x00\x01");     /* type 0 */
    ASSERT_DECODE_REJECTS("\x92\x10\x01");     /* wrong field type */
    ASSERT_DECODE_REJECTS("\x92\x0b\x80");     /* a map */
    /* APR_MSG_OUTCOMES whose entries are not the last field: their storage
       would be sized by another array. */
    ASSERT_DECODE_REJECTS("\x98\x0e\x01\xc4\x00\x01\x01\xc3\x92\x01\x01\x90");
    memset(nested, '\x91', sizeof(nested));
    assert_decode_rejects(nested, sizeof(nested));
    nested[sizeof(nested) - 1] = 1;
    assert_decode_rejects(nested, sizeof(nested));
    assert_int_equal(AprMessage_Decode("\x92\x0b\x05", 3, &message), APR_OK);
    assert_int_equal(message->cancel.id, 5);
    AprMessage_Free(message);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_control_messages),
        cmocka_unit_test(test_request_and_copy),
        cmocka_unit_test(test_answer),
        cmocka_unit_test(test_outcomes),
        cmocka_unit_test(test_prepare),
        cmocka_unit_test(test_encoder_rejects_out_of_range),
        cmocka_unit_test(test_decoder_rejects_malformed_input),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
