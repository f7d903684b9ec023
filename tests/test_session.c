#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "internal/handshake.h"
#include "internal/session.h"

#define KEY "correct horse"

typedef struct Pair_t {
    AprSession_t *initiator;
    AprSession_t *acceptor;
} Pair_t;

/* A copy of bytes that were on the wire. */
typedef struct Wire_t {
    uint8_t bytes[2048];
    size_t size;
} Wire_t;

static AprSession_t *
new_session(AprDirection_t role, const char *host, const char *key)
{
    AprIdentity_t identity = {.incarnation = 1};

    strcpy(identity.host, host);
    return AprSession_New(role, &identity, key);
}

static Pair_t
new_pair(const char *initiator_key, const char *acceptor_key)
{
    Pair_t pair = {new_session(APR_FROM_INITIATOR, "a", initiator_key),
                   new_session(APR_FROM_ACCEPTOR, "b", acceptor_key)};

    return pair;
}

static void
free_pair(Pair_t *pair)
{
    AprSession_Free(pair->initiator);
    AprSession_Free(pair->acceptor);
}

static Wire_t
take_output(AprSession_t *session)
{
    GByteArray *output = AprSession_Output(session);
    Wire_t wire = {.size = output->len};

    assert_true(output->len <= sizeof(wire.bytes));
    memcpy(wire.bytes, output->data, output->len);
    g_byte_array_set_size(output, 0);
    return wire;
}

/* Gives bytes to a session and returns the status of the next event. */
static int
give(AprSession_t *session, const Wire_t *wire, AprSessionEventKind_t *kind)
{
    AprSessionEvent_t event;
    int status;

    AprSession_Push(session, wire->bytes, wire->size);
    status = AprSession_Next(session, &event);
    *kind = event.kind;
    AprMessage_Free(event.message);
    return status;
}

static void
assert_given(AprSession_t *session, const Wire_t *wire,
             AprSessionEventKind_t expected)
{
    AprSessionEventKind_t kind;

    assert_int_equal(give(session, wire, &kind), APR_OK);
    assert_int_equal(kind, expected);
}

/* The session must fail with this error, say so again for any later bytes,
   and produce neither events nor output. */
static void
assert_fails(AprSession_t *session, const Wire_t *wire, int expected)
{
    AprSessionEventKind_t kind;

    assert_int_equal(give(session, wire, &kind), expected);
    assert_int_equal(kind, APR_SESSION_NOTHING);
    assert_false(AprSession_IsUp(session));
    assert_int_equal(give(session, wire, &kind), expected);
    assert_int_equal(kind, APR_SESSION_NOTHING);
    assert_int_equal(AprSession_Output(session)->len, 0);
    assert_int_equal(AprSession_SealKeepalive(session, false), APR_E_CLOSED);
}

static void
establish(Pair_t *pair)
{
    Wire_t wire = take_output(pair->initiator);

    assert_given(pair->acceptor, &wire, APR_SESSION_NOTHING);
    wire = take_output(pair->acceptor);
    assert_given(pair->initiator, &wire, APR_SESSION_UP);
    wire = take_output(pair->initiator);
    assert_given(pair->acceptor, &wire, APR_SESSION_UP);
}

static Wire_t
seal(AprSession_t *session, uint64_t id)
{
    AprMessage_t message = {.type = APR_MSG_CANCEL, .cancel = {id}};

    assert_int_equal(AprSession_Seal(session, &message), APR_OK);
    return take_output(session);
}

/* Guards against a handshake that does not come up, or reports the wrong
   peer, and against a message sent before the proof. */
static void
test_handshake(void **state)
{
    Pair_t pair = new_pair(KEY, KEY);
    AprMessage_t message = {.type = APR_MSG_CANCEL};
    Wire_t wire;

    (void)state;
    assert_int_equal(AprSession_Seal(pair.initiator, &message), APR_E_CLOSED);
    establish(&pair);
    assert_string_equal(AprSession_Peer(pair.initiator)->host, "b");
    assert_string_equal(AprSession_Peer(pair.acceptor)->host, "a");
    assert_int_equal(AprSession_Peer(pair.acceptor)->incarnation, 1);
    for (uint64_t id = 0; id < 3; id++) {
        wire = seal(pair.initiator, id);
        assert_given(pair.acceptor, &wire, APR_SESSION_MESSAGE);
        wire = seal(pair.acceptor, id);
        assert_given(pair.initiator, &wire, APR_SESSION_MESSAGE);
    }
    free_pair(&pair);
}

/* Guards against frames that are lost or repeated when the network delivers
   them in pieces, down to single bytes, and several at once. */
static void
test_pieces(void **state)
{
    Pair_t pair = new_pair(KEY, KEY);
    AprSessionEvent_t event;
    Wire_t wire;
    int count = 0;

    (void)state;
    establish(&pair);
    for (int round = 0; round < 2; round++) {
        size_t step = round == 0 ? 1 : 2000;

        AprSession_SealKeepalive(pair.initiator, true);
        for (uint64_t id = 0; id < 5; id++) {
            AprMessage_t message = {.type = APR_MSG_CANCEL, .cancel = {id}};

            AprSession_Seal(pair.initiator, &message);
        }
        wire = take_output(pair.initiator);
        for (size_t at = 0; at < wire.size; at += step) {
            size_t size = wire.size - at < step ? wire.size - at : step;

            AprSession_Push(pair.acceptor, wire.bytes + at, size);
            do {
                assert_int_equal(AprSession_Next(pair.acceptor, &event),
                                 APR_OK);
                count += event.kind == APR_SESSION_MESSAGE;
                AprMessage_Free(event.message);
            } while (event.kind != APR_SESSION_NOTHING);
        }
    }
    assert_int_equal(count, 10);
    free_pair(&pair);
}

/* Guards against a process with another key that is accepted by either
   side. */
static void
test_wrong_key(void **state)
{
    Pair_t pair = new_pair(KEY, "another key");
    Wire_t wire = take_output(pair.initiator);

    (void)state;
    assert_given(pair.acceptor, &wire, APR_SESSION_NOTHING);
    wire = take_output(pair.acceptor);
    assert_fails(pair.initiator, &wire, APR_E_AUTH);
    free_pair(&pair);

    pair = new_pair(KEY, KEY);
    wire = take_output(pair.initiator);
    assert_given(pair.acceptor, &wire, APR_SESSION_NOTHING);
    wire = take_output(pair.acceptor);
    assert_given(pair.initiator, &wire, APR_SESSION_UP);
    wire = take_output(pair.initiator);
    wire.bytes[wire.size - 1] ^= 1;
    assert_fails(pair.acceptor, &wire, APR_E_AUTH);
    free_pair(&pair);
}

/* Guards against a recorded frame that is sent again and so runs a request
   twice. */
static void
test_replayed_frame(void **state)
{
    Pair_t pair = new_pair(KEY, KEY);
    Wire_t wire;

    (void)state;
    establish(&pair);
    wire = seal(pair.initiator, 1);
    assert_given(pair.acceptor, &wire, APR_SESSION_MESSAGE);
    assert_fails(pair.acceptor, &wire, APR_E_REPLAY);
    free_pair(&pair);
}

/* Guards against frames that are dropped or swapped on the way. */
static void
test_reordered_frame(void **state)
{
    Pair_t pair = new_pair(KEY, KEY);
    Wire_t second;

    (void)state;
    establish(&pair);
    seal(pair.initiator, 1);
    second = seal(pair.initiator, 2);
    assert_fails(pair.acceptor, &second, APR_E_REPLAY);
    free_pair(&pair);
}

/* Guards against changed frames, wherever the change is. */
static void
test_changed_frame(void **state)
{
    (void)state;
    for (size_t at = 4; at < APR_FRAME_HEADER_SIZE + 3; at++) {
        Pair_t pair = new_pair(KEY, KEY);
        Wire_t wire;

        establish(&pair);
        wire = seal(pair.initiator, 1);
        wire.bytes[at] ^= 0x10;
        assert_fails(pair.acceptor, &wire, APR_E_AUTH);
        free_pair(&pair);
    }
}

/* Guards against a recorded handshake that opens a second link: the
   acceptor's nonce is new each time. */
static void
test_replayed_handshake(void **state)
{
    Pair_t pair = new_pair(KEY, KEY);
    AprSession_t *again = new_session(APR_FROM_ACCEPTOR, "b", KEY);
    Wire_t hello = take_output(pair.initiator);
    Wire_t done;
    Wire_t wire;

    (void)state;
    assert_given(pair.acceptor, &hello, APR_SESSION_NOTHING);
    wire = take_output(pair.acceptor);
    assert_given(pair.initiator, &wire, APR_SESSION_UP);
    done = take_output(pair.initiator);
    assert_given(again, &hello, APR_SESSION_NOTHING);
    take_output(again);
    assert_fails(again, &done, APR_E_AUTH);
    AprSession_Free(again);
    free_pair(&pair);
}

/* Guards against an attacker without the key who sends a process its own
   handshake back: as an answer, through its own listener, or the proof of one
   side as that of the other. */
static void
test_reflected_handshake(void **state)
{
    Pair_t pair = new_pair(KEY, KEY);
    AprSession_t *own_listener = new_session(APR_FROM_ACCEPTOR, "a", KEY);
    Wire_t hello = take_output(pair.initiator);
    Wire_t ack;
    Wire_t done = {.size = 0};
    GByteArray *payload = g_byte_array_new();
    AprHello_t forged = {.type = APR_FRAME_HELLO_DONE};

    (void)state;
    assert_given(pair.acceptor, &hello, APR_SESSION_NOTHING);
    ack = take_output(pair.acceptor);
    memcpy(forged.proof, ack.bytes + ack.size - APR_MAC_SIZE, APR_MAC_SIZE);
    AprHello_Encode(&forged, payload);
    done.bytes[3] = (uint8_t)payload->len;
    memcpy(done.bytes + APR_FRAME_HEADER_SIZE, payload->data, payload->len);
    done.size = APR_FRAME_HEADER_SIZE + payload->len;
    g_byte_array_unref(payload);
    assert_fails(pair.acceptor, &done, APR_E_AUTH);

    assert_fails(own_listener, &hello, APR_E_INVALID);
    assert_fails(pair.initiator, &hello, APR_E_PARSE);
    AprSession_Free(own_listener);
    free_pair(&pair);
}

/* Guards against a frame that is sent back to its sender and taken as one of
   the peer: both directions count from the same sequence. */
static void
test_reflected_frame(void **state)
{
    Pair_t pair = new_pair(KEY, KEY);
    Wire_t wire;

    (void)state;
    establish(&pair);
    wire = seal(pair.initiator, 1);
    assert_fails(pair.initiator, &wire, APR_E_AUTH);
    free_pair(&pair);
}

/* Guards against memory that a peer makes this process hold: little before
   the proof, one frame after it. */
static void
test_oversized_frame(void **state)
{
    Pair_t pair = new_pair(KEY, KEY);
    AprSession_t *fresh = new_session(APR_FROM_ACCEPTOR, "c", KEY);
    AprFrameHeader_t header = {APR_HANDSHAKE_MAX_BYTES + 1, 0, {0}};
    Wire_t wire = {.size = APR_FRAME_HEADER_SIZE};

    (void)state;
    AprFrame_WriteHeader(&header, wire.bytes);
    assert_fails(fresh, &wire, APR_E_TOO_LARGE);
    AprSession_Free(fresh);
    establish(&pair);
    header = (AprFrameHeader_t){APR_FRAME_MAX_BYTES + 1, 1, {0}};
    AprFrame_WriteHeader(&header, wire.bytes);
    assert_fails(pair.acceptor, &wire, APR_E_TOO_LARGE);
    free_pair(&pair);
}

/* Computes the session key from what was on the wire, as a peer would. */
static void
derive_key(const Wire_t *hello_wire, const Wire_t *ack_wire, AprMacKey_t *key)
{
    AprTranscript_t transcript = {0};
    AprHello_t hello;

    assert_int_equal(AprHello_Decode(hello_wire->bytes + APR_FRAME_HEADER_SIZE,
                                     hello_wire->size - APR_FRAME_HEADER_SIZE,
                                     APR_FRAME_HELLO, &hello),
                     APR_OK);
    transcript.initiator = hello.identity;
    memcpy(transcript.initiator_nonce, hello.nonce, APR_NONCE_SIZE);
    assert_int_equal(AprHello_Decode(ack_wire->bytes + APR_FRAME_HEADER_SIZE,
                                     ack_wire->size - APR_FRAME_HEADER_SIZE,
                                     APR_FRAME_HELLO_ACK, &hello),
                     APR_OK);
    transcript.acceptor = hello.identity;
    memcpy(transcript.acceptor_nonce, hello.nonce, APR_NONCE_SIZE);
    AprTranscript_SessionKey(&transcript, KEY, key);
}

/* Guards against an undecodable payload from a peer that has the key: it ends
   the session, and nothing of it is used. */
static void
test_undecodable_payload(void **state)
{
    Pair_t pair = new_pair(KEY, KEY);
    AprFrameHeader_t header = {2, 1, {0}};
    Wire_t hello = take_output(pair.initiator);
    Wire_t ack;
    Wire_t wire;
    AprMacKey_t key;

    (void)state;
    assert_given(pair.acceptor, &hello, APR_SESSION_NOTHING);
    ack = take_output(pair.acceptor);
    assert_given(pair.initiator, &ack, APR_SESSION_UP);
    wire = take_output(pair.initiator);
    assert_given(pair.acceptor, &wire, APR_SESSION_UP);
    derive_key(&hello, &ack, &key);
    AprFrame_Mac(&key, APR_FROM_INITIATOR, 1, "\x91\x0b", 2, header.mac);
    AprFrame_WriteHeader(&header, wire.bytes);
    memcpy(wire.bytes + APR_FRAME_HEADER_SIZE, "\x91\x0b", 2);
    wire.size = APR_FRAME_HEADER_SIZE + 2;
    assert_fails(pair.acceptor, &wire, APR_E_PARSE);
    free_pair(&pair);
}

/* Guards against a MAC that differs from the published HMAC-SHA256, which
   other implementations of the protocol compute. */
static void
test_frame_mac(void **state)
{
    static const guchar key[] = "key";
    static const guchar bytes[] = "\2\0\0\0\0\0\0\0\7payload";
    char *expected = g_compute_hmac_for_data(G_CHECKSUM_SHA256, key, 3, bytes,
                                             sizeof(bytes) - 1);
    AprMacKey_t hmac;
    uint8_t mac[APR_FRAME_MAC_SIZE];
    char text[3];

    (void)state;
    hmac_sha256_set_key(&hmac, 3, key);
    /* The second MAC finds the state as the first one left it. */
    for (int round = 0; round < 2; round++) {
        AprFrame_Mac(&hmac, APR_FROM_ACCEPTOR, 7, "payload", 7, mac);
        for (int i = 0; i < APR_FRAME_MAC_SIZE; i++) {
            g_snprintf(text, sizeof(text), "%02x", mac[i]);
            assert_memory_equal(text, expected + (ptrdiff_t)2 * i, 2);
        }
    }
    g_free(expected);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_handshake),
        cmocka_unit_test(test_pieces),
        cmocka_unit_test(test_wrong_key),
        cmocka_unit_test(test_replayed_frame),
        cmocka_unit_test(test_reordered_frame),
        cmocka_unit_test(test_changed_frame),
        cmocka_unit_test(test_replayed_handshake),
        cmocka_unit_test(test_reflected_handshake),
        cmocka_unit_test(test_reflected_frame),
        cmocka_unit_test(test_oversized_frame),
        cmocka_unit_test(test_undecodable_payload),
        cmocka_unit_test(test_frame_mac),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
