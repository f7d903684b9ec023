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

/* Inputs per property; APRICOT_FUZZ_CASES sets another number. */
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
random_encoded(Random &random)
{
    Arena arena;
    std::vector<AprOutcomeEntry_t> entries;
    AprMessage_t message;

    fill_message(random, arena, entries, message);
    return encode(&message);
}

/* Guards against any message that changes on the way. test_message compares
   the fields one by one; here the bytes of the decoded message and of its
   copy must be those of the original. */
static void
round_trip(uint64_t seed)
{
    Random random(seed);
    Bytes bytes = random_encoded(random);
    AprMessage_t *decoded = nullptr;
    AprMessage_t *copy;

    RC_ASSERT(AprMessage_Decode(bytes.data(), bytes.size(), &decoded) ==
              APR_OK);
    copy = AprMessage_Copy(decoded);
    RC_ASSERT(encode(decoded) == bytes);
    RC_ASSERT(AprMessage_Weight(copy) == AprMessage_Weight(decoded));
    AprMessage_Free(decoded);
    RC_ASSERT(encode(copy) == bytes);
    AprMessage_Free(copy);
}

static void
mutate(Random &random, Bytes &bytes)
{
    /* Type bytes of msgpack, among them those of large lengths. */
    static const unsigned char types[] = {0x90, 0xc0, 0xc4, 0xc5, 0xc6, 0xcf,
                                          0xd3, 0xdb, 0xdc, 0xdd, 0xdf, 0xff};

    for (uint64_t n = 1 + below(random, 4); n > 0 && !bytes.empty(); n--) {
        /* Changes near the start hit the fields more often. */
        size_t at = below(random, 2)
                        ? below(random, bytes.size())
                        : below(random, std::min<size_t>(64, bytes.size()));

        switch (below(random, 5)) {
        case 0:
            bytes[at] = static_cast<char>(random());
            break;
        case 1:
            bytes[at] = static_cast<char>(types[below(random, sizeof(types))]);
            break;
        case 2:
            bytes.erase(at, 1 + below(random, 8));
            break;
        case 3:
            bytes.insert(at, 1 + below(random, 8),
                         static_cast<char>(random()));
            break;
        default:
            bytes[at] ^= static_cast<char>(1 << below(random, 8));
            break;
        }
    }
}

/* Random, truncated, mutated or oversized bytes, made from valid ones. */
static Bytes
hostile(Random &random, const Bytes &valid)
{
    Bytes bytes;

    switch (below(random, 8)) {
    case 0:
        bytes.resize(below(random, 200));
        for (char &c : bytes) {
            c = static_cast<char>(random());
        }
        return bytes;
    case 1:
        return valid.substr(0, below(random, valid.size()));
    case 2:
        return valid +
               Bytes(1 + below(random, 100), static_cast<char>(random()));
    case 3:
        if (below(random, 200) == 0) {
            return Bytes(APR_FRAME_MAX_BYTES + below(random, 3),
                         static_cast<char>(random()));
        }
        [[fallthrough]];
    default:
        bytes = valid;
        mutate(random, bytes);
        return bytes;
    }
}

struct Counts {
    long accepted = 0;
    long rejected = 0;
};

static void
decode_hostile(Random &random, const Bytes &valid, Counts &counts)
{
    Bytes input = hostile(random, valid);
    /* Of exactly this size, so that a sanitizer sees each byte too many. */
    std::vector<char> exact(input.begin(), input.end());
    AprMessage_t *message = nullptr;
    int status = AprMessage_Decode(exact.data(), exact.size(), &message);

    if (status != APR_OK) {
        RC_ASSERT(status == APR_E_PARSE || status == APR_E_TOO_LARGE);
        RC_ASSERT(message == nullptr);
        counts.rejected++;
        return;
    }
    /* What is accepted is a message that this end could have sent. */
    RC_ASSERT(AprMessage_InRange(message));
    encode(message);
    AprMessage_Free(message);
    counts.accepted++;
}

/* Guards against input that crashes the decoder, makes it read or reserve
   beyond its bounds, or yields a message out of range. */
static void
fuzz_decoder(uint64_t seed, long cases, Counts &counts)
{
    Random random(seed);
    Bytes valid;

    for (long i = 0; i < cases; i++) {
        if (i % 20 == 0) {
            do {
                valid = random_encoded(random);
            } while (valid.size() > 20000 && below(random, 50) != 0);
        }
        decode_hostile(random, valid, counts);
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

/* Takes all events; returns the status of the last and counts the kinds. */
static int
take_events(AprSession_t *session, long &ups, long &messages)
{
    AprSessionEvent_t event;
    int status;

    do {
        status = AprSession_Next(session, &event);
        ups += event.kind == APR_SESSION_UP;
        messages += event.kind == APR_SESSION_MESSAGE;
        AprMessage_Free(event.message);
    } while (status == APR_OK && event.kind != APR_SESSION_NOTHING);
    return status;
}

/* The bytes up to which `input` equals `valid`, in whole frames. */
static long
untouched_frames(const Bytes &input, const Bytes &valid)
{
    size_t at = 0;
    long frames = 0;

    while (at + APR_FRAME_HEADER_SIZE <= valid.size()) {
        AprFrameHeader_t header;

        AprFrame_ReadHeader(
            reinterpret_cast<const uint8_t *>(valid.data()) + at, &header);
        at += APR_FRAME_HEADER_SIZE + header.size;
        if (at > input.size() || input.compare(0, at, valid, 0, at) != 0) {
            break;
        }
        frames++;
    }
    return frames;
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

/* Gives bytes in random pieces. */
static int
give(Random &random, AprSession_t *session, const Bytes &input, long &ups,
     long &messages)
{
    int status = APR_OK;

    for (size_t at = 0; at < input.size();) {
        size_t size = below(random, 2) ? input.size() - at
                                       : 1 + below(random, input.size() - at);

        AprSession_Push(session, input.data() + at, size);
        status = take_events(session, ups, messages);
        at += size;
    }
    return status;
}

/* One hostile input to one end. Only the untouched frames before the first
   changed byte may have an effect. After a rejection the session is not up,
   writes nothing and ignores valid frames. */
static void
session_hostile(Random &random, Counts &counts)
{
    Link link;
    uint64_t stage = below(random, 4);
    bool to_initiator = stage == 1;
    AprSession_t *target = to_initiator ? link.initiator : link.acceptor;
    Bytes valid = take_output(link.initiator);
    long ups = 0;
    long messages = 0;
    long frames;
    Bytes input;
    int status;

    if (stage > 0) {
        give(random, link.acceptor, valid, ups, messages);
        valid = take_output(link.acceptor);
    }
    if (stage > 1) {
        give(random, link.initiator, valid, ups, messages);
        valid = take_output(link.initiator);
    }
    if (stage > 2) {
        AprMessage_t message = {};

        give(random, link.acceptor, valid, ups, messages);
        message.type = APR_MSG_CANCEL;
        for (int i = 0; i < 3; i++) {
            RC_ASSERT(AprSession_Seal(link.initiator, &message) == APR_OK);
        }
        valid = take_output(link.initiator);
    }
    ups = messages = 0;
    input = hostile(random, valid);
    frames = untouched_frames(input, valid);
    status = give(random, target, input, ups, messages);
    if (stage > 2) {
        RC_ASSERT(messages == frames && ups == 0);
    }
    else {
        RC_ASSERT(messages == 0 && ups <= frames);
    }
    if (status == APR_OK) {
        counts.accepted++;
        return;
    }
    counts.rejected++;
    RC_ASSERT(!AprSession_IsUp(target));
    take_output(target);
    ups = messages = 0;
    RC_ASSERT(give(random, target, valid, ups, messages) == status);
    RC_ASSERT(ups == 0 && messages == 0 && take_output(target).empty());
}

/* Guards against input that crashes the session, is taken although it was
   changed, or has an effect after a rejection. */
static void
fuzz_session(uint64_t seed, long cases, Counts &counts)
{
    Random random(seed);

    for (long i = 0; i < cases; i++) {
        session_hostile(random, counts);
    }
}

/* One seed stands for many inputs, because RapidCheck's own cases are too
   slow for such numbers. A failure shows it. */
static uint64_t
any_seed()
{
    return *rc::gen::noShrink(rc::gen::resize(rc::kNominalSize * 10,
                                              rc::gen::arbitrary<uint64_t>()));
}

static void
report(const char *name, const Counts &counts)
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
                    [](uint64_t seed) { round_trip(seed); });
    ok &= rc::check("the decoder rejects or decodes any input",
                    [&] { fuzz_decoder(any_seed(), cases, decoder); });
    ok &= rc::check("the session rejects any changed input",
                    [&] { fuzz_session(any_seed(), cases, session); });
    report("decoder", decoder);
    report("session", session);
    return ok ? 0 : 1;
}
