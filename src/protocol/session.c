#include "internal/session.h"

#include <stdlib.h>
#include <string.h>
#include <sys/random.h>

#include <nettle/memops.h>

#include "internal/handshake.h"

#define FIRST_SEQUENCE 1 /* handshake frames have sequence 0 */
#define KEEPALIVE_SIZE 3 /* bytes; a msgpack array of one uint8 */

typedef enum SessionState_t {
    AWAIT_HELLO,
    AWAIT_HELLO_ACK,
    AWAIT_HELLO_DONE,
    ESTABLISHED,
    FAILED
} SessionState_t;

struct AprSession_t {
    AprDirection_t role; /* direction of the frames that this end sends */
    SessionState_t state;
    int error; /* valid if FAILED */
    char *peer_key;
    AprTranscript_t transcript;
    AprMacKey_t key; /* session key; valid if ESTABLISHED */
    uint64_t send_sequence;
    uint64_t receive_sequence;
    GByteArray *output;
    GByteArray *input;
    size_t consumed_size; /* parsed bytes at the start of input */
};

static AprIdentity_t *
own_identity(AprSession_t *session)
{
    return session->role == APR_FROM_INITIATOR ? &session->transcript.initiator
                                               : &session->transcript.acceptor;
}

static AprIdentity_t *
peer_identity(AprSession_t *session)
{
    return session->role == APR_FROM_INITIATOR
               ? &session->transcript.acceptor
               : &session->transcript.initiator;
}

static uint8_t *
own_nonce(AprSession_t *session)
{
    return session->role == APR_FROM_INITIATOR
               ? session->transcript.initiator_nonce
               : session->transcript.acceptor_nonce;
}

static uint8_t *
peer_nonce(AprSession_t *session)
{
    return session->role == APR_FROM_INITIATOR
               ? session->transcript.acceptor_nonce
               : session->transcript.initiator_nonce;
}

static void
append_frame(AprSession_t *session, uint64_t sequence, const void *payload,
             size_t size)
{
    AprFrameHeader_t header = {(uint32_t)size, sequence, {0}};
    uint8_t bytes[APR_FRAME_HEADER_SIZE];

    if (session->state == ESTABLISHED) {
        AprFrame_ComputeMac(&session->key, session->role, sequence, payload,
                            size, header.mac);
    }
    AprFrame_EncodeHeader(&header, bytes);
    g_byte_array_append(session->output, bytes, sizeof(bytes));
    g_byte_array_append(session->output, payload, (guint)size);
}

/* Appends a handshake frame of the given type to the output. Handshake frames
   have sequence 0 and no MAC; the proofs cover their content. */
static void
append_handshake_frame(AprSession_t *session, int type)
{
    AprHello_t hello = {.type = type,
                        .protocol_version = APR_PROTOCOL_VERSION};
    GByteArray *payload = g_byte_array_new();

    hello.identity = *own_identity(session);
    memcpy(hello.nonce, own_nonce(session), APR_NONCE_SIZE);
    if (type != APR_FRAME_HELLO) {
        AprTranscript_ComputeProof(&session->transcript, session->peer_key,
                                   session->role, hello.proof);
    }
    AprHello_Encode(&hello, payload);
    append_frame(session, 0, payload->data, payload->len);
    g_byte_array_unref(payload);
}

static int
generate_nonce(uint8_t nonce[APR_NONCE_SIZE])
{
    /* getrandom() returns up to 256 bytes in full once the entropy pool is
       initialized. */
    return getrandom(nonce, APR_NONCE_SIZE, 0) == APR_NONCE_SIZE ? APR_OK
                                                                 : APR_E_IO;
}

/* Creates one end of a connection. The output of an initiator contains its
   APR_FRAME_HELLO. Copies the arguments. Returns NULL when memory or random
   bytes are not available. */
AprSession_t *
AprSession_New(AprDirection_t role, const AprIdentity_t *self,
               const char *peer_key)
{
    AprSession_t *session = calloc(1, sizeof(*session));

    if (session == NULL) {
        return NULL;
    }
    session->role = role;
    session->peer_key = g_strdup(peer_key);
    session->send_sequence = FIRST_SEQUENCE;
    session->receive_sequence = FIRST_SEQUENCE;
    session->output = g_byte_array_new();
    session->input = g_byte_array_new();
    *own_identity(session) = *self;
    if (generate_nonce(own_nonce(session)) != APR_OK) {
        AprSession_Free(session);
        return NULL;
    }
    if (role == APR_FROM_INITIATOR) {
        session->state = AWAIT_HELLO_ACK;
        append_handshake_frame(session, APR_FRAME_HELLO);
    }
    return session;
}

/* Frees a session after erasing its copies of the keys. Accepts NULL. */
void
AprSession_Free(AprSession_t *session)
{
    if (session == NULL) {
        return;
    }
    explicit_bzero(&session->key, sizeof(session->key));
    explicit_bzero(session->peer_key, strlen(session->peer_key));
    g_free(session->peer_key);
    g_byte_array_unref(session->output);
    g_byte_array_unref(session->input);
    free(session);
}

/* Returns the bytes to write to the connection; the session keeps the array.
 */
GByteArray *
AprSession_Output(AprSession_t *session)
{
    return session->output;
}

static void
discard_consumed_input(AprSession_t *session)
{
    if (session->consumed_size > 0) {
        g_byte_array_remove_range(session->input, 0,
                                  (guint)session->consumed_size);
        session->consumed_size = 0;
    }
}

static void
reallocate_if_empty(GByteArray **array)
{
    if ((*array)->len == 0) {
        g_byte_array_unref(*array);
        *array = g_byte_array_new();
    }
}

/* Releases empty buffers, which otherwise keep the size of the largest message
   so far. Links call this periodically, so that idle links use little
   memory. */
void
AprSession_ReleaseEmptyBuffers(AprSession_t *session)
{
    discard_consumed_input(session);
    reallocate_if_empty(&session->input);
    reallocate_if_empty(&session->output);
}

/* Appends received bytes to the input, which AprSession_NextEvent parses. A
   failed session ignores them. The owner takes all events before the next
   call, so that the input holds at most one partial frame from earlier calls.
 */
void
AprSession_AppendInput(AprSession_t *session, const void *bytes, size_t size)
{
    if (session->state == FAILED) {
        return;
    }
    discard_consumed_input(session);
    g_byte_array_append(session->input, bytes, (guint)size);
}

static bool
identities_equal(const AprIdentity_t *left, const AprIdentity_t *right)
{
    return left->incarnation == right->incarnation &&
           strcmp(left->host, right->host) == 0;
}

/* Checks the peer's protocol version and identity, and stores its identity and
   nonce. Rejects the identity of this process: such a peer is a connection of
   the process to itself or a reflected handshake. */
static int
accept_peer_identity(AprSession_t *session, const AprHello_t *hello)
{
    if (hello->protocol_version != APR_PROTOCOL_VERSION ||
        identities_equal(&hello->identity, own_identity(session))) {
        return APR_E_INVALID;
    }
    *peer_identity(session) = hello->identity;
    memcpy(peer_nonce(session), hello->nonce, APR_NONCE_SIZE);
    return APR_OK;
}

static bool
peer_proof_is_valid(AprSession_t *session, const AprHello_t *hello)
{
    AprDirection_t prover = session->role == APR_FROM_INITIATOR
                                ? APR_FROM_ACCEPTOR
                                : APR_FROM_INITIATOR;
    uint8_t expected[APR_MAC_SIZE];

    AprTranscript_ComputeProof(&session->transcript, session->peer_key, prover,
                               expected);
    return memeql_sec(expected, hello->proof, sizeof(expected)) != 0;
}

static void
establish_session(AprSession_t *session, AprSessionEvent_t *event)
{
    AprTranscript_DeriveSessionKey(&session->transcript, session->peer_key,
                                   &session->key);
    session->state = ESTABLISHED;
    event->kind = APR_SESSION_UP;
}

static int
handle_hello(AprSession_t *session, const uint8_t *payload, size_t size)
{
    AprHello_t hello;
    int status = AprHello_Decode(payload, size, APR_FRAME_HELLO, &hello);

    if (status == APR_OK) {
        status = accept_peer_identity(session, &hello);
    }
    if (status == APR_OK) {
        append_handshake_frame(session, APR_FRAME_HELLO_ACK);
        session->state = AWAIT_HELLO_DONE;
    }
    return status;
}

static int
handle_hello_ack(AprSession_t *session, const uint8_t *payload, size_t size,
                 AprSessionEvent_t *event)
{
    AprHello_t hello;
    int status = AprHello_Decode(payload, size, APR_FRAME_HELLO_ACK, &hello);

    if (status == APR_OK) {
        status = accept_peer_identity(session, &hello);
    }
    if (status == APR_OK && !peer_proof_is_valid(session, &hello)) {
        status = APR_E_AUTH;
    }
    if (status == APR_OK) {
        append_handshake_frame(session, APR_FRAME_HELLO_DONE);
        establish_session(session, event);
    }
    return status;
}

static int
handle_hello_done(AprSession_t *session, const uint8_t *payload, size_t size,
                  AprSessionEvent_t *event)
{
    AprHello_t hello;
    int status = AprHello_Decode(payload, size, APR_FRAME_HELLO_DONE, &hello);

    if (status == APR_OK && !peer_proof_is_valid(session, &hello)) {
        status = APR_E_AUTH;
    }
    if (status == APR_OK) {
        establish_session(session, event);
    }
    return status;
}

/* Returns the type of a keepalive payload, or 0 for a payload of another
   form. */
static int
keepalive_type(const uint8_t *payload, size_t size)
{
    static const uint8_t prefix[] = {0x91, 0xcc};

    if (size == KEEPALIVE_SIZE &&
        memcmp(payload, prefix, sizeof(prefix)) == 0) {
        return payload[KEEPALIVE_SIZE - 1];
    }
    return 0;
}

static int
handle_established_frame(AprSession_t *session, const AprFrameHeader_t *header,
                         const uint8_t *payload, AprSessionEvent_t *event)
{
    AprDirection_t sender = session->role == APR_FROM_INITIATOR
                                ? APR_FROM_ACCEPTOR
                                : APR_FROM_INITIATOR;
    uint8_t mac[APR_FRAME_MAC_SIZE];

    AprFrame_ComputeMac(&session->key, sender, header->sequence, payload,
                        header->payload_size, mac);
    if (memeql_sec(mac, header->mac, sizeof(mac)) == 0) {
        return APR_E_AUTH;
    }
    if (header->sequence != session->receive_sequence) {
        return APR_E_REPLAY;
    }
    session->receive_sequence++;
    switch (keepalive_type(payload, header->payload_size)) {
    case APR_FRAME_KEEPALIVE:
        event->kind = APR_SESSION_KEEPALIVE;
        return APR_OK;
    case APR_FRAME_KEEPALIVE_REPLY:
        return APR_OK;
    default:
        break;
    }
    event->kind = APR_SESSION_MESSAGE;
    return AprMessage_Decode((const char *)payload, header->payload_size,
                             &event->message);
}

/* Returns whether a header has sequence 0 and no MAC, as all handshake frames
   have. Other values are rejected, so that a third party cannot change a field
   of a handshake frame undetected. */
static bool
is_handshake_header(const AprFrameHeader_t *header)
{
    static const uint8_t no_mac[APR_FRAME_MAC_SIZE];

    return header->sequence == 0 &&
           memcmp(header->mac, no_mac, sizeof(no_mac)) == 0;
}

static int
handle_frame(AprSession_t *session, const AprFrameHeader_t *header,
             const uint8_t *payload, AprSessionEvent_t *event)
{
    if (session->state != ESTABLISHED && !is_handshake_header(header)) {
        return APR_E_AUTH;
    }
    switch (session->state) {
    case AWAIT_HELLO:
        return handle_hello(session, payload, header->payload_size);
    case AWAIT_HELLO_ACK:
        return handle_hello_ack(session, payload, header->payload_size, event);
    case AWAIT_HELLO_DONE:
        return handle_hello_done(session, payload, header->payload_size,
                                 event);
    case ESTABLISHED:
        return handle_established_frame(session, header, payload, event);
    default:
        return session->error;
    }
}

/* Takes the next complete frame from the input. Returns false when more bytes
   are needed. If the frame exceeds the size limit, returns true and sets
   *status to APR_E_TOO_LARGE. */
static bool
take_frame(AprSession_t *session, AprFrameHeader_t *header,
           const uint8_t **payload, int *status)
{
    size_t limit = session->state == ESTABLISHED ? APR_FRAME_MAX_BYTES
                                                 : APR_HANDSHAKE_MAX_BYTES;
    size_t available = session->input->len - session->consumed_size;
    const uint8_t *bytes = session->input->data + session->consumed_size;

    if (available < APR_FRAME_HEADER_SIZE) {
        return false;
    }
    AprFrame_DecodeHeader(bytes, header);
    if (header->payload_size > limit) {
        *status = APR_E_TOO_LARGE;
        return true;
    }
    if (available - APR_FRAME_HEADER_SIZE < header->payload_size) {
        return false;
    }
    *payload = bytes + APR_FRAME_HEADER_SIZE;
    session->consumed_size += APR_FRAME_HEADER_SIZE + header->payload_size;
    return true;
}

/* Takes the next event from the received bytes. The event is
   APR_SESSION_NEED_INPUT when more bytes are needed. The caller frees
   event->message with AprMessage_Free. An error is permanent: all later calls
   return it again. */
int
AprSession_NextEvent(AprSession_t *session, AprSessionEvent_t *event)
{
    AprFrameHeader_t header;
    const uint8_t *payload = NULL;
    int status = APR_OK;

    event->kind = APR_SESSION_NEED_INPUT;
    event->message = NULL;
    if (session->state == FAILED) {
        return session->error;
    }
    while (event->kind == APR_SESSION_NEED_INPUT &&
           take_frame(session, &header, &payload, &status)) {
        if (status == APR_OK) {
            status = handle_frame(session, &header, payload, event);
        }
        if (status != APR_OK) {
            session->state = FAILED;
            session->error = status;
            event->kind = APR_SESSION_NEED_INPUT;
            return status;
        }
    }
    return APR_OK;
}

/* Encodes a message and appends its frame to the output. The caller keeps the
   message. Returns APR_E_CLOSED unless the session is up, or the error of
   AprMessage_Encode; neither ends the session. */
int
AprSession_AppendMessage(AprSession_t *session, const AprMessage_t *message)
{
    char *payload;
    size_t size;
    int status;

    if (session->state != ESTABLISHED) {
        return APR_E_CLOSED;
    }
    status = AprMessage_Encode(message, &payload, &size);
    if (status == APR_OK) {
        append_frame(session, session->send_sequence++, payload, size);
        free(payload);
    }
    return status;
}

/* Appends a keepalive, or the reply to one, to the output. Returns
   APR_E_CLOSED unless the session is up. */
int
AprSession_AppendKeepalive(AprSession_t *session, bool is_reply)
{
    uint8_t payload[KEEPALIVE_SIZE] = {0x91, 0xcc,
                                       is_reply ? APR_FRAME_KEEPALIVE_REPLY
                                                : APR_FRAME_KEEPALIVE};

    if (session->state != ESTABLISHED) {
        return APR_E_CLOSED;
    }
    append_frame(session, session->send_sequence++, payload, sizeof(payload));
    return APR_OK;
}

/* Returns whether the peer is authenticated and the session has not failed. */
bool
AprSession_IsUp(const AprSession_t *session)
{
    return session->state == ESTABLISHED;
}

/* Returns the identity of the peer, which is not authenticated before the
   session is up. */
const AprIdentity_t *
AprSession_PeerIdentity(const AprSession_t *session)
{
    return session->role == APR_FROM_INITIATOR
               ? &session->transcript.acceptor
               : &session->transcript.initiator;
}
