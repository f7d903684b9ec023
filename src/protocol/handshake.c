#include "internal/handshake.h"

#include <msgpack.h>
#include <string.h>

#define HELLO_ITEM_COUNT 5
#define HELLO_ACK_ITEM_COUNT 6
#define HELLO_DONE_ITEM_COUNT 2

static void
pack_bin(msgpack_packer *packer, const void *data, size_t size)
{
    msgpack_pack_bin_with_body(packer, data, size);
}

static int
append_bytes(void *context, const char *data, size_t size)
{
    g_byte_array_append(context, (const guint8 *)data, (guint)size);
    return 0;
}

/* Appends the encoding of a handshake payload to `payload`. */
void
AprHello_Encode(const AprHello_t *hello, GByteArray *payload)
{
    msgpack_packer packer;

    msgpack_packer_init(&packer, payload, append_bytes);
    if (hello->type == APR_FRAME_HELLO_DONE) {
        msgpack_pack_array(&packer, HELLO_DONE_ITEM_COUNT);
        msgpack_pack_int(&packer, hello->type);
        pack_bin(&packer, hello->proof, sizeof(hello->proof));
        return;
    }
    msgpack_pack_array(&packer, hello->type == APR_FRAME_HELLO
                                    ? HELLO_ITEM_COUNT
                                    : HELLO_ACK_ITEM_COUNT);
    msgpack_pack_int(&packer, hello->type);
    msgpack_pack_uint64(&packer, hello->protocol_version);
    pack_bin(&packer, hello->identity.host, strlen(hello->identity.host));
    msgpack_pack_uint64(&packer, hello->identity.incarnation);
    pack_bin(&packer, hello->nonce, sizeof(hello->nonce));
    if (hello->type == APR_FRAME_HELLO_ACK) {
        pack_bin(&packer, hello->proof, sizeof(hello->proof));
    }
}

static bool
decode_u64(const msgpack_object *item, uint64_t *value)
{
    if (item->type != MSGPACK_OBJECT_POSITIVE_INTEGER) {
        return false;
    }
    *value = item->via.u64;
    return true;
}

static bool
decode_fixed_bytes(const msgpack_object *item, uint8_t *bytes, size_t size)
{
    if (item->type != MSGPACK_OBJECT_BIN || item->via.bin.size != size) {
        return false;
    }
    memcpy(bytes, item->via.bin.ptr, size);
    return true;
}

static bool
decode_host(const msgpack_object *item, char host[APR_NAME_SIZE])
{
    size_t size;

    if (item->type != MSGPACK_OBJECT_BIN) {
        return false;
    }
    size = item->via.bin.size;
    if (size == 0 || size >= APR_NAME_SIZE ||
        memchr(item->via.bin.ptr, '\0', size) != NULL) {
        return false;
    }
    memcpy(host, item->via.bin.ptr, size);
    host[size] = '\0';
    return true;
}

static bool
decode_hello(const msgpack_object *object, int type, AprHello_t *hello)
{
    const msgpack_object *items;
    uint32_t count;
    uint64_t actual_type;

    if (object->type != MSGPACK_OBJECT_ARRAY) {
        return false;
    }
    items = object->via.array.ptr;
    count = object->via.array.size;
    if (count == 0 || !decode_u64(&items[0], &actual_type) ||
        actual_type != (uint64_t)type) {
        return false;
    }
    hello->type = type;
    if (type == APR_FRAME_HELLO_DONE) {
        return count == HELLO_DONE_ITEM_COUNT &&
               decode_fixed_bytes(&items[1], hello->proof, APR_MAC_SIZE);
    }
    if (count !=
        (type == APR_FRAME_HELLO ? HELLO_ITEM_COUNT : HELLO_ACK_ITEM_COUNT)) {
        return false;
    }
    return decode_u64(&items[1], &hello->protocol_version) &&
           decode_host(&items[2], hello->identity.host) &&
           decode_u64(&items[3], &hello->identity.incarnation) &&
           decode_fixed_bytes(&items[4], hello->nonce, APR_NONCE_SIZE) &&
           (type == APR_FRAME_HELLO ||
            decode_fixed_bytes(&items[5], hello->proof, APR_MAC_SIZE));
}

/* Parses a handshake payload of the expected type from untrusted bytes.
   Returns APR_E_PARSE for anything else. */
int
AprHello_Decode(const uint8_t *data, size_t size, int type, AprHello_t *hello)
{
    msgpack_unpacked unpacked;
    size_t offset = 0;
    bool ok;

    memset(hello, 0, sizeof(*hello));
    if (!AprMessage_IsWellFormed((const char *)data, size)) {
        return APR_E_PARSE;
    }
    msgpack_unpacked_init(&unpacked);
    ok = msgpack_unpack_next(&unpacked, (const char *)data, size, &offset) ==
             MSGPACK_UNPACK_SUCCESS &&
         decode_hello(&unpacked.data, type, hello);
    msgpack_unpacked_destroy(&unpacked);
    return ok ? APR_OK : APR_E_PARSE;
}

/* Adds an identity to an HMAC. The length precedes the host name, so that
   different identities never yield the same bytes. */
static void
add_identity_to_hmac(AprMacKey_t *hmac, const AprIdentity_t *identity)
{
    uint8_t size = (uint8_t)strlen(identity->host);
    uint64_t incarnation = GUINT64_TO_BE(identity->incarnation);

    hmac_sha256_update(hmac, sizeof(size), &size);
    hmac_sha256_update(hmac, size, (const uint8_t *)identity->host);
    hmac_sha256_update(hmac, sizeof(incarnation),
                       (const uint8_t *)&incarnation);
}

/* Computes the HMAC of a label and the transcript, keyed with the peer key.
   Each use of the peer key has its own label, so that the result of one use is
   not valid for another. */
static void
compute_transcript_hmac(const AprTranscript_t *transcript,
                        const char *peer_key, const char *label,
                        uint8_t digest[APR_MAC_SIZE])
{
    AprMacKey_t hmac;

    hmac_sha256_set_key(&hmac, strlen(peer_key), (const uint8_t *)peer_key);
    hmac_sha256_update(&hmac, strlen(label) + 1, (const uint8_t *)label);
    hmac_sha256_update(&hmac, APR_NONCE_SIZE, transcript->initiator_nonce);
    hmac_sha256_update(&hmac, APR_NONCE_SIZE, transcript->acceptor_nonce);
    add_identity_to_hmac(&hmac, &transcript->initiator);
    add_identity_to_hmac(&hmac, &transcript->acceptor);
    hmac_sha256_digest(&hmac, APR_MAC_SIZE, digest);
    explicit_bzero(&hmac, sizeof(hmac));
}

/* Computes the proof by which the prover shows that it knows the key and saw
   the same nonces and identities. */
void
AprTranscript_ComputeProof(const AprTranscript_t *transcript,
                           const char *peer_key, AprDirection_t prover,
                           uint8_t proof[APR_MAC_SIZE])
{
    compute_transcript_hmac(transcript, peer_key,
                            prover == APR_FROM_INITIATOR ? "apricot initiator"
                                                         : "apricot acceptor",
                            proof);
}

/* Derives the session key and initializes an HMAC state with it. */
void
AprTranscript_DeriveSessionKey(const AprTranscript_t *transcript,
                               const char *peer_key, AprMacKey_t *session)
{
    uint8_t key[APR_MAC_SIZE];

    compute_transcript_hmac(transcript, peer_key, "apricot session", key);
    hmac_sha256_set_key(session, sizeof(key), key);
    explicit_bzero(key, sizeof(key));
}
