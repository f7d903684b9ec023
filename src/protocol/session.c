#include "internal/session.h"

#include <stdlib.h>
#include <string.h>
#include <sys/random.h>

#include <nettle/memops.h>

#include "internal/handshake.h"

#define FIRST_SEQUENCE 1 /* of the frames after the handshake */
#define KEEPALIVE_SIZE 3 /* array of one uint8 */

typedef enum SessionState_t {
    AWAIT_HELLO,
    AWAIT_HELLO_ACK,
    AWAIT_HELLO_DONE,
    ESTABLISHED,
    FAILED
} SessionState_t;

struct AprSession_t {
    AprDirection_t role; /* the direction of what this end sends */
    SessionState_t state;
    int failure;
    char *peer_key;
    AprTranscript_t transcript;
    AprMacKey_t key; /* once ESTABLISHED */
    uint64_t send_sequence;
    uint64_t receive_sequence;
    GByteArray *output;
    GByteArray *input;
    size_t consumed; /* bytes of input that are dealt with */
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
        AprFrame_Mac(&session->key, session->role, sequence, payload, size,
                     header.mac);
    }
    AprFrame_WriteHeader(&header, bytes);
    g_byte_array_append(session->output, bytes, sizeof(bytes));
    g_byte_array_append(session->output, payload, (guint)size);
}

/* Handshake frames have sequence 0 and no MAC; their content is covered by
   the proofs. */
static void
send_hello(AprSession_t *session, int type)
{
    AprHello_t hello = {.type = type, .protocol = APR_PROTOCOL_VERSION};
    GByteArray *payload = g_byte_array_new();

    hello.identity = *own_identity(session);
    memcpy(hello.nonce, own_nonce(session), APR_NONCE_SIZE);
    if (type != APR_FRAME_HELLO) {
        AprTranscript_Proof(&session->transcript, session->peer_key,
                            session->role, hello.proof);
    }
    AprHello_Encode(&hello, payload);
    append_frame(session, 0, payload->data, payload->len);
    g_byte_array_unref(payload);
}

static int
random_nonce(uint8_t nonce[APR_NONCE_SIZE])
{
    /* Up to 256 bytes are returned whole once the pool is ready. */
    return getrandom(nonce, APR_NONCE_SIZE, 0) == APR_NONCE_SIZE ? APR_OK
                                                                 : APR_E_IO;
}

/* Creates one end of a connection. The initiator's output holds its HELLO at
   once. Returns NULL when memory or randomness is missing. */
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
    if (random_nonce(own_nonce(session)) != APR_OK) {
        AprSession_Free(session);
        return NULL;
    }
    if (role == APR_FROM_INITIATOR) {
        session->state = AWAIT_HELLO_ACK;
        send_hello(session, APR_FRAME_HELLO);
    }
    return session;
}

/* Frees a session and clears its copy of the key. NULL is allowed. */
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

/* The bytes to write to the connection. */
GByteArray *
AprSession_Output(AprSession_t *session)
{
    return session->output;
}

static void
discard_consumed(AprSession_t *session)
{
    if (session->consumed > 0) {
        g_byte_array_remove_range(session->input, 0, (guint)session->consumed);
        session->consumed = 0;
    }
}

static void
release_if_empty(GByteArray **array)
{
    if ((*array)->len == 0) {
        g_byte_array_unref(*array);
        *array = g_byte_array_new();
    }
}

/* Releases empty buffers, which keep the size of the largest message so far.
   Called now and then, so that idle links hold little memory. */
void
AprSession_Trim(AprSession_t *session)
{
    discard_consumed(session);
    release_if_empty(&session->input);
    release_if_empty(&session->output);
}

/* Adds received bytes, to be taken apart by AprSession_Next. A failed session
   ignores them. The owner takes all events between two calls, so that no more
   than one partial frame is held. */
void
AprSession_Push(AprSession_t *session, const void *bytes, size_t size)
{
    if (session->state == FAILED) {
        return;
    }
    discard_consumed(session);
    g_byte_array_append(session->input, bytes, (guint)size);
}

static bool
same_identity(const AprIdentity_t *left, const AprIdentity_t *right)
{
    return left->incarnation == right->incarnation &&
           strcmp(left->host, right->host) == 0;
}

/* Takes over the peer's identity and nonce. A peer with the identity of this
   process is either a connection to itself or a reflected handshake. */
static int
accept_peer(AprSession_t *session, const AprHello_t *hello)
{
    if (hello->protocol != APR_PROTOCOL_VERSION ||
        same_identity(&hello->identity, own_identity(session))) {
        return APR_E_INVALID;
    }
    *peer_identity(session) = hello->identity;
    memcpy(peer_nonce(session), hello->nonce, APR_NONCE_SIZE);
    return APR_OK;
}

static bool
proof_holds(AprSession_t *session, const AprHello_t *hello)
{
    AprDirection_t prover = session->role == APR_FROM_INITIATOR
                                ? APR_FROM_ACCEPTOR
                                : APR_FROM_INITIATOR;
    uint8_t expected[APR_MAC_SIZE];

    AprTranscript_Proof(&session->transcript, session->peer_key, prover,
                        expected);
    return memeql_sec(expected, hello->proof, sizeof(expected)) != 0;
}

static void
establish(AprSession_t *session, AprSessionEvent_t *event)
{
    AprTranscript_SessionKey(&session->transcript, session->peer_key,
                             &session->key);
    session->state = ESTABLISHED;
    event->kind = APR_SESSION_UP;
}

static int
on_hello(AprSession_t *session, const uint8_t *payload, size_t size)
{
    AprHello_t hello;
    int status = AprHello_Decode(payload, size, APR_FRAME_HELLO, &hello);

    if (status == APR_OK) {
        status = accept_peer(session, &hello);
    }
    if (status == APR_OK) {
        send_hello(session, APR_FRAME_HELLO_ACK);
        session->state = AWAIT_HELLO_DONE;
    }
    return status;
}

static int
on_hello_ack(AprSession_t *session, const uint8_t *payload, size_t size,
             AprSessionEvent_t *event)
{
    AprHello_t hello;
    int status = AprHello_Decode(payload, size, APR_FRAME_HELLO_ACK, &hello);

    if (status == APR_OK) {
        status = accept_peer(session, &hello);
    }
    if (status == APR_OK && !proof_holds(session, &hello)) {
        status = APR_E_AUTH;
    }
    if (status == APR_OK) {
        send_hello(session, APR_FRAME_HELLO_DONE);
        establish(session, event);
    }
    return status;
}

static int
on_hello_done(AprSession_t *session, const uint8_t *payload, size_t size,
              AprSessionEvent_t *event)
{
    AprHello_t hello;
    int status = AprHello_Decode(payload, size, APR_FRAME_HELLO_DONE, &hello);

    if (status == APR_OK && !proof_holds(session, &hello)) {
        status = APR_E_AUTH;
    }
    if (status == APR_OK) {
        establish(session, event);
    }
    return status;
}

/* Recognizes the two payloads of the session itself. */
static int
keepalive_type(const uint8_t *payload, size_t size)
{
    static const uint8_t head[] = {0x91, 0xcc};

    if (size == KEEPALIVE_SIZE && memcmp(payload, head, sizeof(head)) == 0) {
        return payload[KEEPALIVE_SIZE - 1];
    }
    return 0;
}

static int
on_payload(AprSession_t *session, const AprFrameHeader_t *header,
           const uint8_t *payload, AprSessionEvent_t *event)
{
    AprDirection_t sender = session->role == APR_FROM_INITIATOR
                                ? APR_FROM_ACCEPTOR
                                : APR_FROM_INITIATOR;
    uint8_t mac[APR_FRAME_MAC_SIZE];

    AprFrame_Mac(&session->key, sender, header->sequence, payload,
                 header->size, mac);
    if (memeql_sec(mac, header->mac, sizeof(mac)) == 0) {
        return APR_E_AUTH;
    }
    if (header->sequence != session->receive_sequence) {
        return APR_E_REPLAY;
    }
    session->receive_sequence++;
    switch (keepalive_type(payload, header->size)) {
    case APR_FRAME_KEEPALIVE:
        event->kind = APR_SESSION_KEEPALIVE;
        return APR_OK;
    case APR_FRAME_KEEPALIVE_REPLY:
        return APR_OK;
    default:
        break;
    }
    event->kind = APR_SESSION_MESSAGE;
    return AprMessage_Decode((const char *)payload, header->size,
                             &event->message);
}

/* Handshake frames have no field that a third party could change unseen. */
static bool
is_handshake_header(const AprFrameHeader_t *header)
{
    static const uint8_t no_mac[APR_FRAME_MAC_SIZE];

    return header->sequence == 0 &&
           memcmp(header->mac, no_mac, sizeof(no_mac)) == 0;
}

static int
on_frame(AprSession_t *session, const AprFrameHeader_t *header,
         const uint8_t *payload, AprSessionEvent_t *event)
{
    if (session->state != ESTABLISHED && !is_handshake_header(header)) {
        return APR_E_AUTH;
    }
    switch (session->state) {
    case AWAIT_HELLO:
        return on_hello(session, payload, header->size);
    case AWAIT_HELLO_ACK:
        return on_hello_ack(session, payload, header->size, event);
    case AWAIT_HELLO_DONE:
        return on_hello_done(session, payload, header->size, event);
    case ESTABLISHED:
        return on_payload(session, header, payload, event);
    default:
        return session->failure;
    }
}

/* Takes the next whole frame from the input. Returns false when more bytes
   are needed. */
static bool
next_frame(AprSession_t *session, AprFrameHeader_t *header,
           const uint8_t **payload, int *status)
{
    size_t limit = session->state == ESTABLISHED ? APR_FRAME_MAX_BYTES
                                                 : APR_HANDSHAKE_MAX_BYTES;
    size_t waiting = session->input->len - session->consumed;
    const uint8_t *bytes = session->input->data + session->consumed;

    if (waiting < APR_FRAME_HEADER_SIZE) {
        return false;
    }
    AprFrame_ReadHeader(bytes, header);
    if (header->size > limit) {
        *status = APR_E_TOO_LARGE;
        return true;
    }
    if (waiting - APR_FRAME_HEADER_SIZE < header->size) {
        return false;
    }
    *payload = bytes + APR_FRAME_HEADER_SIZE;
    session->consumed += APR_FRAME_HEADER_SIZE + header->size;
    return true;
}

/* Takes the next event from the received bytes; APR_SESSION_NOTHING when more
   bytes are needed. On an error the session fails for good. */
int
AprSession_Next(AprSession_t *session, AprSessionEvent_t *event)
{
    AprFrameHeader_t header;
    const uint8_t *payload = NULL;
    int status = APR_OK;

    event->kind = APR_SESSION_NOTHING;
    event->message = NULL;
    if (session->state == FAILED) {
        return session->failure;
    }
    while (event->kind == APR_SESSION_NOTHING &&
           next_frame(session, &header, &payload, &status)) {
        if (status == APR_OK) {
            status = on_frame(session, &header, payload, event);
        }
        if (status != APR_OK) {
            session->state = FAILED;
            session->failure = status;
            event->kind = APR_SESSION_NOTHING;
            return status;
        }
    }
    return APR_OK;
}

/* Appends the frame of a message to the output. */
int
AprSession_Seal(AprSession_t *session, const AprMessage_t *message)
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

/* Appends a keepalive or the reply to one. APR_E_CLOSED before UP. */
int
AprSession_SealKeepalive(AprSession_t *session, bool is_reply)
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

/* Whether the peer has proved itself and the session has not failed. */
bool
AprSession_IsUp(const AprSession_t *session)
{
    return session->state == ESTABLISHED;
}

/* Identity of the peer; unproved before UP. */
const AprIdentity_t *
AprSession_Peer(const AprSession_t *session)
{
    return session->role == APR_FROM_INITIATOR
               ? &session->transcript.acceptor
               : &session->transcript.initiator;
}
