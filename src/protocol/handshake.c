#include "internal/handshake.h"

#include <msgpack.h>
#include <string.h>

#define HELLO_ITEMS 5
#define HELLO_ACK_ITEMS 6
#define HELLO_DONE_ITEMS 2

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

/* Serializes a handshake payload. */
void
AprHello_Encode(const AprHello_t *hello, GByteArray *payload)
{
    msgpack_packer packer;

    msgpack_packer_init(&packer, payload, append_bytes);
    if (hello->type == APR_FRAME_HELLO_DONE) {
        msgpack_pack_array(&packer, HELLO_DONE_ITEMS);
        msgpack_pack_int(&packer, hello->type);
        pack_bin(&packer, hello->proof, sizeof(hello->proof));
        return;
    }
    msgpack_pack_array(&packer, hello->type == APR_FRAME_HELLO
                                    ? HELLO_ITEMS
                                    : HELLO_ACK_ITEMS);
    msgpack_pack_int(&packer, hello->type);
    msgpack_pack_uint64(&packer, hello->protocol);
    pack_bin(&packer, hello->identity.host, strlen(hello->identity.host));
    msgpack_pack_uint64(&packer, hello->identity.incarnation);
    pack_bin(&packer, hello->nonce, sizeof(hello->nonce));
    if (hello->type == APR_FRAME_HELLO_ACK) {
        pack_bin(&packer, hello->proof, sizeof(hello->proof));
    }
}

static bool
take_u64(const msgpack_object *item, uint64_t *value)
{
    if (item->type != MSGPACK_OBJECT_POSITIVE_INTEGER) {
        return false;
    }
    *value = item->via.u64;
    return true;
}

static bool
take_fixed(const msgpack_object *item, uint8_t *bytes, size_t size)
{
    if (item->type != MSGPACK_OBJECT_BIN || item->via.bin.size != size) {
        return false;
    }
    memcpy(bytes, item->via.bin.ptr, size);
    return true;
}

static bool
take_host(const msgpack_object *item, char host[APR_NAME_SIZE])
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
take_hello(const msgpack_object *object, int type, AprHello_t *hello)
{
    const msgpack_object *items;
    uint32_t count;
    uint64_t seen_type;

    if (object->type != MSGPACK_OBJECT_ARRAY) {
        return false;
    }
    items = object->via.array.ptr;
    count = object->via.array.size;
    if (count == 0 || !take_u64(&items[0], &seen_type) ||
        seen_type != (uint64_t)type) {
        return false;
    }
    hello->type = type;
    if (type == APR_FRAME_HELLO_DONE) {
        return count == HELLO_DONE_ITEMS &&
               take_fixed(&items[1], hello->proof, APR_MAC_SIZE);
    }
    if (count != (type == APR_FRAME_HELLO ? HELLO_ITEMS : HELLO_ACK_ITEMS)) {
        return false;
    }
    return take_u64(&items[1], &hello->protocol) &&
           take_host(&items[2], hello->identity.host) &&
           take_u64(&items[3], &hello->identity.incarnation) &&
           take_fixed(&items[4], hello->nonce, APR_NONCE_SIZE) &&
           (type == APR_FRAME_HELLO ||
            take_fixed(&items[5], hello->proof, APR_MAC_SIZE));
}

/* Parses a handshake payload of the expected type from untrusted bytes. */
int
AprHello_Decode(const uint8_t *data, size_t size, int type, AprHello_t *hello)
{
    msgpack_unpacked unpacked;
    size_t offset = 0;
    bool ok;

    memset(hello, 0, sizeof(*hello));
    if (!AprMessage_WellFormed((const char *)data, size)) {
        return APR_E_PARSE;
    }
    msgpack_unpacked_init(&unpacked);
    ok = msgpack_unpack_next(&unpacked, (const char *)data, size, &offset) ==
             MSGPACK_UNPACK_SUCCESS &&
         take_hello(&unpacked.data, type, hello);
    msgpack_unpacked_destroy(&unpacked);
    return ok ? APR_OK : APR_E_PARSE;
}

/* Each host name is preceded by its length, so that no two different
   identities give the same bytes. */
static void
hash_identity(GHmac *hmac, const AprIdentity_t *identity)
{
    uint8_t size = (uint8_t)strlen(identity->host);
    uint64_t incarnation = GUINT64_TO_BE(identity->incarnation);

    g_hmac_update(hmac, &size, sizeof(size));
    g_hmac_update(hmac, (const guchar *)identity->host, size);
    g_hmac_update(hmac, (const guchar *)&incarnation, sizeof(incarnation));
}

static GHmac *
keyed_hmac(const char *peer_key, const char *label)
{
    GHmac *hmac = g_hmac_new(G_CHECKSUM_SHA256, (const guchar *)peer_key,
                             strlen(peer_key));

    g_hmac_update(hmac, (const guchar *)label, (gssize)strlen(label) + 1);
    return hmac;
}

static void
hash_transcript(GHmac *hmac, const AprTranscript_t *transcript)
{
    g_hmac_update(hmac, transcript->initiator_nonce, APR_NONCE_SIZE);
    g_hmac_update(hmac, transcript->acceptor_nonce, APR_NONCE_SIZE);
    hash_identity(hmac, &transcript->initiator);
    hash_identity(hmac, &transcript->acceptor);
}

static void
finish_hmac(GHmac *hmac, uint8_t digest[APR_MAC_SIZE])
{
    gsize size = APR_MAC_SIZE;

    g_hmac_get_digest(hmac, digest, &size);
    g_hmac_unref(hmac);
}

/* Computes what the prover sends to show that it knows the key and saw the
   same nonces and identities. */
void
AprTranscript_Proof(const AprTranscript_t *transcript, const char *peer_key,
                    AprDirection_t prover, uint8_t proof[APR_MAC_SIZE])
{
    GHmac *hmac = keyed_hmac(peer_key, prover == APR_FROM_INITIATOR
                                           ? "apricot initiator"
                                           : "apricot acceptor");

    hash_transcript(hmac, transcript);
    finish_hmac(hmac, proof);
}

/* Derives the session key and returns an HMAC state keyed with it; the caller
   releases it with g_hmac_unref. */
GHmac *
AprTranscript_SessionKey(const AprTranscript_t *transcript,
                         const char *peer_key)
{
    uint8_t key[APR_MAC_SIZE];
    GHmac *hmac = keyed_hmac(peer_key, "apricot session");
    GHmac *session;

    hash_transcript(hmac, transcript);
    finish_hmac(hmac, key);
    session = g_hmac_new(G_CHECKSUM_SHA256, key, sizeof(key));
    explicit_bzero(key, sizeof(key));
    return session;
}
