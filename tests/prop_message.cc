#include <rapidcheck.h>

#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <random>
#include <string>
#include <vector>

extern "C" {
#include "apricot/message.h"
#include "internal/message_codec.h"
#include "internal/session.h"
}

#include "tests/random_message.h"

using Bytes = std::string;

/* Returns the number of inputs per property, which APRICOT_FUZZ_CASES
   overrides. */
static long
fuzz_cases()
{
    const char *text = getenv("APRICOT_FUZZ_CASES");

    return text == nullptr ? 100000 : atol(text);
}

static Bytes
encode(const AprMessage_t *message)
{
    char *data = nullptr;
    size_t size = 0;
    int status = AprMessage_Encode(message, &data, &size);
    Bytes bytes;

    RC_ASSERT(status == APR_OK);
    bytes.assign(data, size);
    free(data);
    return bytes;
}

static Bytes
encode_random_message(Random &random)
{
    Arena arena;
    std::vector<AprOutcomeEntry_t> entries;
    AprMessage_t message;

    fill_message(random, arena, entries, message);
    return encode(&message);
}

/* Guards against a message that encoding, decoding or copying changes. The
   decoded message and its copy must encode to the bytes of the original;
   test_message compares the single fields. */
static void
check_round_trip(uint64_t seed)
{
    Random random(seed);
    Bytes bytes = encode_random_message(random);
    AprMessage_t *decoded = nullptr;
    AprMessage_t *copy;

    RC_ASSERT(AprMessage_Decode(bytes.data(), bytes.size(), &decoded) ==
              APR_OK);
    copy = AprMessage_Copy(decoded);
    RC_ASSERT(encode(decoded) == bytes);
    RC_ASSERT(AprMessage_ContentSize(copy) == AprMessage_ContentSize(decoded));
    AprMessage_Free(decoded);
    RC_ASSERT(encode(copy) == bytes);
    AprMessage_Free(copy);
}

static void
mutate_bytes(Random &random, Bytes &bytes)
{
    /* msgpack type bytes, including those with large lengths. */
    static const unsigned char type_bytes[] = {0x90, 0xc0, 0xc4, 0xc5,
                                               0xc6, 0xcf, 0xd3, 0xdb,
                                               0xdc, 0xdd, 0xdf, 0xff};

    for (uint64_t n = 1 + random_below(random, 4); n > 0 && !bytes.empty();
         n--) {
        /* Half of the changes are near the start, where most fields are. */
        size_t offset =
            random_below(random, 2)
                ? random_below(random, bytes.size())
                : random_below(random, std::min<size_t>(64, bytes.size()));

        switch (random_below(random, 5)) {
        case 0:
            bytes[offset] = static_cast<char>(random());
            break;
        case 1:
            bytes[offset] = static_cast<char>(
                type_bytes[random_below(random, sizeof(type_bytes))]);
            break;
        case 2:
            bytes.erase(offset, 1 + random_below(random, 8));
            break;
        case 3:
            bytes.insert(offset, 1 + random_below(random, 8),
                         static_cast<char>(random()));
            break;
        default:
            bytes[offset] ^= static_cast<char>(1 << random_below(random, 8));
            break;
        }
    }
}

/* Returns random, truncated, extended, mutated or oversized input. */
static Bytes
corrupt_input(Random &random, const Bytes &valid)
{
    Bytes bytes;

    switch (random_below(random, 8)) {
    case 0:
        bytes.resize(random_below(random, 200));
        for (char &c : bytes) {
            c = static_cast<char>(random());
        }
        return bytes;
    case 1:
        return valid.substr(0, random_below(random, valid.size()));
    case 2:
        return valid + Bytes(1 + random_below(random, 100),
                             static_cast<char>(random()));
    case 3:
        if (random_below(random, 200) == 0) {
            return Bytes(APR_FRAME_MAX_BYTES + random_below(random, 3),
                         static_cast<char>(random()));
        }
        [[fallthrough]];
    default:
        bytes = valid;
        mutate_bytes(random, bytes);
        return bytes;
    }
}

struct Counts {
    long accepted = 0;
    long rejected = 0;
};

static void
decode_corrupt_input(Random &random, const Bytes &valid, Counts &counts)
{
    Bytes input = corrupt_input(random, valid);
    /* Exactly the size of the input, so that a sanitizer detects any read
       beyond it. */
    std::vector<char> exact(input.begin(), input.end());
    AprMessage_t *message = nullptr;
    int status = AprMessage_Decode(exact.data(), exact.size(), &message);

    if (status != APR_OK) {
        RC_ASSERT(status == APR_E_PARSE || status == APR_E_TOO_LARGE);
        RC_ASSERT(message == nullptr);
        counts.rejected++;
        return;
    }
    /* The encoder must accept every message that the decoder accepts. */
    RC_ASSERT(AprMessage_IsInRange(message));
    encode(message);
    AprMessage_Free(message);
    counts.accepted++;
}

/* Guards against input that crashes the decoder, makes it read or allocate
   beyond its limits, or decodes to a message out of range. */
static void
fuzz_decoder(uint64_t seed, long cases, Counts &counts)
{
    Random random(seed);
    Bytes valid;

    for (long i = 0; i < cases; i++) {
        if (i % 20 == 0) {
            do {
                valid = encode_random_message(random);
            } while (valid.size() > 20000 && random_below(random, 50) != 0);
        }
        decode_corrupt_input(random, valid, counts);
    }
}

static AprSession_t *
new_session(AprDirection_t role)
{
    AprIdentity_t identity = {};

    identity.incarnation = 1;
    strcpy(identity.host, role == APR_FROM_INITIATOR ? "a" : "b");
    return AprSession_New(role, &identity, "key");
}

static Bytes
take_output(AprSession_t *session)
{
    GByteArray *output = AprSession_Output(session);
    Bytes bytes(reinterpret_cast<char *>(output->data), output->len);

    g_byte_array_set_size(output, 0);
    return bytes;
}

/* Takes all events and adds to the counts. Returns the last status. */
static int
drain_events(AprSession_t *session, long &up_count, long &message_count)
{
    AprSessionEvent_t event;
    int status;

    do {
        status = AprSession_NextEvent(session, &event);
        up_count += event.kind == APR_SESSION_UP;
        message_count += event.kind == APR_SESSION_MESSAGE;
        AprMessage_Free(event.message);
    } while (status == APR_OK && event.kind != APR_SESSION_NEED_INPUT);
    return status;
}

/* Returns the number of whole frames at the start of `valid` with which
   `input` starts too. */
static long
count_unchanged_frames(const Bytes &input, const Bytes &valid)
{
    size_t offset = 0;
    long frame_count = 0;

    while (offset + APR_FRAME_HEADER_SIZE <= valid.size()) {
        AprFrameHeader_t header;

        AprFrame_DecodeHeader(
            reinterpret_cast<const uint8_t *>(valid.data()) + offset, &header);
        offset += APR_FRAME_HEADER_SIZE + header.payload_size;
        if (offset > input.size() ||
            input.compare(0, offset, valid, 0, offset) != 0) {
            break;
        }
        frame_count++;
    }
    return frame_count;
}

struct Link {
    AprSession_t *initiator = new_session(APR_FROM_INITIATOR);
    AprSession_t *acceptor = new_session(APR_FROM_ACCEPTOR);

    Link() = default;
    Link(const Link &) = delete;
    Link &operator=(const Link &) = delete;
    ~Link()
    {
        AprSession_Free(initiator);
        AprSession_Free(acceptor);
    }
};

/* Feeds the input in pieces of random size. Returns the last status. */
static int
feed_in_pieces(Random &random, AprSession_t *session, const Bytes &input,
               long &up_count, long &message_count)
{
    int status = APR_OK;

    for (size_t offset = 0; offset < input.size();) {
        size_t size = random_below(random, 2)
                          ? input.size() - offset
                          : 1 + random_below(random, input.size() - offset);

        AprSession_AppendInput(session, input.data() + offset, size);
        status = drain_events(session, up_count, message_count);
        offset += size;
    }
    return status;
}

/* Feeds one corrupt input to one end. Only the unchanged frames before the
   first changed byte may have an effect. After a rejection the session must
   not be up, must not write anything and must ignore valid frames. */
static void
feed_corrupt_input(Random &random, Counts &counts)
{
    Link link;
    uint64_t stage = random_below(random, 4);
    bool to_initiator = stage == 1;
    AprSession_t *target = to_initiator ? link.initiator : link.acceptor;
    Bytes valid = take_output(link.initiator);
    long up_count = 0;
    long message_count = 0;
    long frame_count;
    Bytes input;
    int status;

    if (stage > 0) {
        feed_in_pieces(random, link.acceptor, valid, up_count, message_count);
        valid = take_output(link.acceptor);
    }
    if (stage > 1) {
        feed_in_pieces(random, link.initiator, valid, up_count, message_count);
        valid = take_output(link.initiator);
    }
    if (stage > 2) {
        AprMessage_t message = {};

        feed_in_pieces(random, link.acceptor, valid, up_count, message_count);
        message.type = APR_MSG_CANCEL;
        for (int i = 0; i < 3; i++) {
            RC_ASSERT(AprSession_AppendMessage(link.initiator, &message) ==
                      APR_OK);
        }
        valid = take_output(link.initiator);
    }
    up_count = message_count = 0;
    input = corrupt_input(random, valid);
    frame_count = count_unchanged_frames(input, valid);
    status = feed_in_pieces(random, target, input, up_count, message_count);
    if (stage > 2) {
        RC_ASSERT(message_count == frame_count && up_count == 0);
    }
    else {
        RC_ASSERT(message_count == 0 && up_count <= frame_count);
    }
    if (status == APR_OK) {
        counts.accepted++;
        return;
    }
    counts.rejected++;
    RC_ASSERT(!AprSession_IsUp(target));
    take_output(target);
    up_count = message_count = 0;
    RC_ASSERT(feed_in_pieces(random, target, valid, up_count, message_count) ==
              status);
    RC_ASSERT(up_count == 0 && message_count == 0 &&
              take_output(target).empty());
}

/* Guards against input that crashes the session, is accepted although it was
   changed, or has an effect after a rejection. */
static void
fuzz_session(uint64_t seed, long cases, Counts &counts)
{
    Random random(seed);

    for (long i = 0; i < cases; i++) {
        feed_corrupt_input(random, counts);
    }
}

/* Returns a seed from which many inputs are generated, because RapidCheck is
   too slow to generate that many cases itself. RapidCheck prints the seed of a
   failure. */
static uint64_t
generate_seed()
{
    return *rc::gen::noShrink(rc::gen::resize(rc::kNominalSize * 10,
                                              rc::gen::arbitrary<uint64_t>()));
}

static void
print_counts(const char *name, const Counts &counts)
{
    printf("%s: %ld inputs rejected, %ld accepted or incomplete\n", name,
           counts.rejected, counts.accepted);
}

int
main()
{
    /* RapidCheck runs each property 100 times. */
    long cases = std::max(1L, fuzz_cases() / 100);
    Counts decoder;
    Counts session;
    bool ok = true;

    ok &= rc::check("messages survive encoding, decoding and copying",
                    [](uint64_t seed) { check_round_trip(seed); });
    ok &= rc::check("the decoder rejects or decodes any input",
                    [&] { fuzz_decoder(generate_seed(), cases, decoder); });
    ok &= rc::check("the session rejects any changed input",
                    [&] { fuzz_session(generate_seed(), cases, session); });
    print_counts("decoder", decoder);
    print_counts("session", session);
    return ok ? 0 : 1;
}
