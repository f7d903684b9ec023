#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "internal/handshake.h"
#include "internal/session.h"

#define PEER_KEY "correct horse"

typedef struct SessionPair_t {
    AprSession_t *initiator;
    AprSession_t *acceptor;
} SessionPair_t;

/* A copy of the bytes that a session wrote. */
typedef struct CapturedBytes_t {
    uint8_t bytes[2048];
    size_t size;
} CapturedBytes_t;

static AprSession_t *
new_session(AprDirection_t role, const char *host, const char *key)
{
    AprIdentity_t identity = {.incarnation = 1};

    strcpy(identity.host, host);
    return AprSession_New(role, &identity, key);
}

static SessionPair_t
new_pair(const char *initiator_key, const char *acceptor_key)
{
    SessionPair_t pair = {new_session(APR_FROM_INITIATOR, "a", initiator_key),
                          new_session(APR_FROM_ACCEPTOR, "b", acceptor_key)};

    return pair;
}

static void
free_pair(SessionPair_t *pair)
{
    AprSession_Free(pair->initiator);
    AprSession_Free(pair->acceptor);
}

static CapturedBytes_t
take_output(AprSession_t *session)
{
    GByteArray *output = AprSession_Output(session);
    CapturedBytes_t wire = {.size = output->len};

    assert_true(output->len <= sizeof(wire.bytes));
    memcpy(wire.bytes, output->data, output->len);
    g_byte_array_set_size(output, 0);
    return wire;
}

/* Feeds bytes to a session and takes the next event. Returns its status. */
static int
feed(AprSession_t *session, const CapturedBytes_t *wire,
     AprSessionEventKind_t *kind)
{
    AprSessionEvent_t event;
    int status;

    AprSession_AppendInput(session, wire->bytes, wire->size);
    status = AprSession_NextEvent(session, &event);
    *kind = event.kind;
    AprMessage_Free(event.message);
    return status;
}

static void
assert_feed_yields(AprSession_t *session, const CapturedBytes_t *wire,
                   AprSessionEventKind_t expected)
{
    AprSessionEventKind_t kind;

    assert_int_equal(feed(session, wire, &kind), APR_OK);
    assert_int_equal(kind, expected);
}

/* Checks that the session fails with this error, returns it again when more
   bytes arrive, and produces neither events nor output. */
static void
assert_feed_fails(AprSession_t *session, const CapturedBytes_t *wire,
                  int expected)
{
    AprSessionEventKind_t kind;

    assert_int_equal(feed(session, wire, &kind), expected);
    assert_int_equal(kind, APR_SESSION_NEED_INPUT);
    assert_false(AprSession_IsUp(session));
    assert_int_equal(feed(session, wire, &kind), expected);
    assert_int_equal(kind, APR_SESSION_NEED_INPUT);
    assert_int_equal(AprSession_Output(session)->len, 0);
    assert_int_equal(AprSession_AppendKeepalive(session, false), APR_E_CLOSED);
}

static void
complete_handshake(SessionPair_t *pair)
{
    CapturedBytes_t wire = take_output(pair->initiator);

    assert_feed_yields(pair->acceptor, &wire, APR_SESSION_NEED_INPUT);
    wire = take_output(pair->acceptor);
    assert_feed_yields(pair->initiator, &wire, APR_SESSION_UP);
    wire = take_output(pair->initiator);
    assert_feed_yields(pair->acceptor, &wire, APR_SESSION_UP);
}

static CapturedBytes_t
seal_cancel(AprSession_t *session, uint64_t id)
{
    AprMessage_t message = {.type = APR_MSG_CANCEL, .cancel = {id}};

    assert_int_equal(AprSession_AppendMessage(session, &message), APR_OK);
    return take_output(session);
}

/* Guards against a handshake that does not complete or reports the wrong peer,
   and against a message that is sent before the peer is authenticated. */
static void
test_handshake(void **state)
{
    SessionPair_t pair = new_pair(PEER_KEY, PEER_KEY);
    AprMessage_t message = {.type = APR_MSG_CANCEL};
    CapturedBytes_t wire;

    (void)state;
    assert_int_equal(AprSession_AppendMessage(pair.initiator, &message),
                     APR_E_CLOSED);
    complete_handshake(&pair);
    assert_string_equal(AprSession_PeerIdentity(pair.initiator)->host, "b");
    assert_string_equal(AprSession_PeerIdentity(pair.acceptor)->host, "a");
    assert_int_equal(AprSession_PeerIdentity(pair.acceptor)->incarnation, 1);
    for (uint64_t id = 0; id < 3; id++) {
        wire = seal_cancel(pair.initiator, id);
        assert_feed_yields(pair.acceptor, &wire, APR_SESSION_MESSAGE);
        wire = seal_cancel(pair.acceptor, id);
        assert_feed_yields(pair.initiator, &wire, APR_SESSION_MESSAGE);
    }
    free_pair(&pair);
}

/* Guards against frames that are lost or duplicated when the network delivers
   them in fragments, down to single bytes, or several at once. */
static void
test_fragmented_frames(void **state)
{
    SessionPair_t pair = new_pair(PEER_KEY, PEER_KEY);
    AprSessionEvent_t event;
    CapturedBytes_t wire;
    int count = 0;

    (void)state;
    complete_handshake(&pair);
    for (int pass = 0; pass < 2; pass++) {
        size_t piece_size = pass == 0 ? 1 : 2000;

        AprSession_AppendKeepalive(pair.initiator, true);
        for (uint64_t id = 0; id < 5; id++) {
            AprMessage_t message = {.type = APR_MSG_CANCEL, .cancel = {id}};

            AprSession_AppendMessage(pair.initiator, &message);
        }
        wire = take_output(pair.initiator);
        for (size_t at = 0; at < wire.size; at += piece_size) {
            size_t size =
                wire.size - at < piece_size ? wire.size - at : piece_size;

            AprSession_AppendInput(pair.acceptor, wire.bytes + at, size);
            do {
                assert_int_equal(AprSession_NextEvent(pair.acceptor, &event),
                                 APR_OK);
                count += event.kind == APR_SESSION_MESSAGE;
                AprMessage_Free(event.message);
            } while (event.kind != APR_SESSION_NEED_INPUT);
        }
    }
    assert_int_equal(count, 10);
    free_pair(&pair);
}

/* Guards against either side accepting a peer that has another key. */
static void
test_wrong_key(void **state)
{
    SessionPair_t pair = new_pair(PEER_KEY, "another key");
    CapturedBytes_t wire = take_output(pair.initiator);

    (void)state;
    assert_feed_yields(pair.acceptor, &wire, APR_SESSION_NEED_INPUT);
    wire = take_output(pair.acceptor);
    assert_feed_fails(pair.initiator, &wire, APR_E_AUTH);
    free_pair(&pair);

    pair = new_pair(PEER_KEY, PEER_KEY);
    wire = take_output(pair.initiator);
    assert_feed_yields(pair.acceptor, &wire, APR_SESSION_NEED_INPUT);
    wire = take_output(pair.acceptor);
    assert_feed_yields(pair.initiator, &wire, APR_SESSION_UP);
    wire = take_output(pair.initiator);
    wire.bytes[wire.size - 1] ^= 1;
    assert_feed_fails(pair.acceptor, &wire, APR_E_AUTH);
    free_pair(&pair);
}

/* Guards against a replayed frame, which would run a request twice. */
static void
test_replayed_frame(void **state)
{
    SessionPair_t pair = new_pair(PEER_KEY, PEER_KEY);
    CapturedBytes_t wire;

    (void)state;
    complete_handshake(&pair);
    wire = seal_cancel(pair.initiator, 1);
    assert_feed_yields(pair.acceptor, &wire, APR_SESSION_MESSAGE);
    assert_feed_fails(pair.acceptor, &wire, APR_E_REPLAY);
    free_pair(&pair);
}

/* Guards against frames that are dropped or reordered in transit. */
static void
test_reordered_frame(void **state)
{
    SessionPair_t pair = new_pair(PEER_KEY, PEER_KEY);
    CapturedBytes_t second;

    (void)state;
    complete_handshake(&pair);
    seal_cancel(pair.initiator, 1);
    second = seal_cancel(pair.initiator, 2);
    assert_feed_fails(pair.acceptor, &second, APR_E_REPLAY);
    free_pair(&pair);
}

/* Guards against a modified byte anywhere after the length of a frame. */
static void
test_modified_frame(void **state)
{
    (void)state;
    for (size_t at = 4; at < APR_FRAME_HEADER_SIZE + 3; at++) {
        SessionPair_t pair = new_pair(PEER_KEY, PEER_KEY);
        CapturedBytes_t wire;

        complete_handshake(&pair);
        wire = seal_cancel(pair.initiator, 1);
        wire.bytes[at] ^= 0x10;
        assert_feed_fails(pair.acceptor, &wire, APR_E_AUTH);
        free_pair(&pair);
    }
}

/* Guards against a replayed handshake that opens a second connection. The
   acceptor uses a new nonce for each handshake. */
static void
test_replayed_handshake(void **state)
{
    SessionPair_t pair = new_pair(PEER_KEY, PEER_KEY);
    AprSession_t *second_acceptor =
        new_session(APR_FROM_ACCEPTOR, "b", PEER_KEY);
    CapturedBytes_t hello = take_output(pair.initiator);
    CapturedBytes_t done;
    CapturedBytes_t wire;

    (void)state;
    assert_feed_yields(pair.acceptor, &hello, APR_SESSION_NEED_INPUT);
    wire = take_output(pair.acceptor);
    assert_feed_yields(pair.initiator, &wire, APR_SESSION_UP);
    done = take_output(pair.initiator);
    assert_feed_yields(second_acceptor, &hello, APR_SESSION_NEED_INPUT);
    take_output(second_acceptor);
    assert_feed_fails(second_acceptor, &done, APR_E_AUTH);
    AprSession_Free(second_acceptor);
    free_pair(&pair);
}

/* Guards against an attacker without the key who reflects the handshake of a
   process: as the reply, through the listener of the process, or by using the
   proof of one side as that of the other. */
static void
test_reflected_handshake(void **state)
{
    SessionPair_t pair = new_pair(PEER_KEY, PEER_KEY);
    AprSession_t *own_listener = new_session(APR_FROM_ACCEPTOR, "a", PEER_KEY);
    CapturedBytes_t hello = take_output(pair.initiator);
    CapturedBytes_t ack;
    CapturedBytes_t done = {.size = 0};
    GByteArray *payload = g_byte_array_new();
    AprHello_t forged = {.type = APR_FRAME_HELLO_DONE};

    (void)state;
    assert_feed_yields(pair.acceptor, &hello, APR_SESSION_NEED_INPUT);
    ack = take_output(pair.acceptor);
    memcpy(forged.proof, ack.bytes + ack.size - APR_MAC_SIZE, APR_MAC_SIZE);
    AprHello_Encode(&forged, payload);
    done.bytes[3] = (uint8_t)payload->len;
    memcpy(done.bytes + APR_FRAME_HEADER_SIZE, payload->data, payload->len);
    done.size = APR_FRAME_HEADER_SIZE + payload->len;
    g_byte_array_unref(payload);
    assert_feed_fails(pair.acceptor, &done, APR_E_AUTH);

    assert_feed_fails(own_listener, &hello, APR_E_INVALID);
    assert_feed_fails(pair.initiator, &hello, APR_E_PARSE);
    AprSession_Free(own_listener);
    free_pair(&pair);
}

/* Guards against a reflected frame that its sender accepts as a frame of the
   peer. Both directions start from the same sequence. */
static void
test_reflected_frame(void **state)
{
    SessionPair_t pair = new_pair(PEER_KEY, PEER_KEY);
    CapturedBytes_t wire;

    (void)state;
    complete_handshake(&pair);
    wire = seal_cancel(pair.initiator, 1);
    assert_feed_fails(pair.initiator, &wire, APR_E_AUTH);
    free_pair(&pair);
}

/* Guards against a peer that makes this process use much memory. The limit is
   APR_HANDSHAKE_MAX_BYTES before the peer is authenticated, and one frame
   afterwards. */
static void
test_oversized_frame(void **state)
{
    SessionPair_t pair = new_pair(PEER_KEY, PEER_KEY);
    AprSession_t *fresh = new_session(APR_FROM_ACCEPTOR, "c", PEER_KEY);
    AprFrameHeader_t header = {APR_HANDSHAKE_MAX_BYTES + 1, 0, {0}};
    CapturedBytes_t wire = {.size = APR_FRAME_HEADER_SIZE};

    (void)state;
    AprFrame_EncodeHeader(&header, wire.bytes);
    assert_feed_fails(fresh, &wire, APR_E_TOO_LARGE);
    AprSession_Free(fresh);
    complete_handshake(&pair);
    header = (AprFrameHeader_t){APR_FRAME_MAX_BYTES + 1, 1, {0}};
    AprFrame_EncodeHeader(&header, wire.bytes);
    assert_feed_fails(pair.acceptor, &wire, APR_E_TOO_LARGE);
    free_pair(&pair);
}

/* Derives the session key from the captured handshake, as a peer does. */
static void
derive_session_key(const CapturedBytes_t *hello_wire,
                   const CapturedBytes_t *ack_wire, AprMacKey_t *key)
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
    AprTranscript_DeriveSessionKey(&transcript, PEER_KEY, key);
}

/* Guards against an undecodable payload from an authenticated peer: the
   session must fail and use nothing of the payload. */
static void
test_undecodable_payload(void **state)
{
    SessionPair_t pair = new_pair(PEER_KEY, PEER_KEY);
    AprFrameHeader_t header = {2, 1, {0}};
    CapturedBytes_t hello = take_output(pair.initiator);
    CapturedBytes_t ack;
    CapturedBytes_t wire;
    AprMacKey_t key;

    (void)state;
    assert_feed_yields(pair.acceptor, &hello, APR_SESSION_NEED_INPUT);
    ack = take_output(pair.acceptor);
    assert_feed_yields(pair.initiator, &ack, APR_SESSION_UP);
    wire = take_output(pair.initiator);
    assert_feed_yields(pair.acceptor, &wire, APR_SESSION_UP);
    derive_session_key(&hello, &ack, &key);
    AprFrame_ComputeMac(&key, APR_FROM_INITIATOR, 1, "\x91\x0b", 2,
                        header.mac);
    AprFrame_EncodeHeader(&header, wire.bytes);
    memcpy(wire.bytes + APR_FRAME_HEADER_SIZE, "\x91\x0b", 2);
    wire.size = APR_FRAME_HEADER_SIZE + 2;
    assert_feed_fails(pair.acceptor, &wire, APR_E_PARSE);
    free_pair(&pair);
}

/* Guards against a MAC that differs from standard HMAC-SHA256, which other
   implementations of the protocol compute. */
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
    /* The second MAC starts from the state that the first one left. */
    for (int pass = 0; pass < 2; pass++) {
        AprFrame_ComputeMac(&hmac, APR_FROM_ACCEPTOR, 7, "payload", 7, mac);
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
        cmocka_unit_test(test_fragmented_frames),
        cmocka_unit_test(test_wrong_key),
        cmocka_unit_test(test_replayed_frame),
        cmocka_unit_test(test_reordered_frame),
        cmocka_unit_test(test_modified_frame),
        cmocka_unit_test(test_replayed_handshake),
        cmocka_unit_test(test_reflected_handshake),
        cmocka_unit_test(test_reflected_frame),
        cmocka_unit_test(test_oversized_frame),
        cmocka_unit_test(test_undecodable_payload),
        cmocka_unit_test(test_frame_mac),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
