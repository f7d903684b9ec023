#ifndef APRICOT_TESTS_RANDOM_MESSAGE_H
#define APRICOT_TESTS_RANDOM_MESSAGE_H

/* Generates random messages within the limits of the codec, for property tests
   in C++. */

#include <random>
#include <string>
#include <vector>

extern "C" {
#include "apricot/message.h"
#include "apricot/rank_queue.h"
#include "internal/message_codec.h"
}

using Random = std::mt19937_64;

inline uint64_t
random_below(Random &random, uint64_t limit)
{
    return random() % limit;
}

/* Owns the texts that a message points to. */
struct Arena {
    std::vector<std::string> texts;

    Arena()
    {
        texts.reserve(4096);
    }

    AprBytes_t add_random_text(Random &random, size_t max)
    {
        std::string value(random_below(random, 8)
                              ? random_below(random, 20) % (max + 1)
                              : random_below(random, max + 1),
                          ' ');

        for (char &c : value) {
            c = static_cast<char>(1 + random_below(random, 255));
        }
        texts.push_back(value);
        return AprBytes_t{texts.back().data(), texts.back().size()};
    }
};

/* Returns a value near a power of two, so that msgpack integers of every width
   occur. */
inline uint64_t
random_integer(Random &random)
{
    return (uint64_t{1} << random_below(random, 64)) - random_below(random, 3);
}

inline void
fill_request(Random &random, Arena &arena, AprRequestMessage_t &request)
{
    request.id = random_integer(random);
    request.service = arena.add_random_text(random, APR_NAME_SIZE - 1);
    request.operation = arena.add_random_text(random, APR_NAME_SIZE - 1);
    request.key = arena.add_random_text(random, APR_KEY_MAX_BYTES);
    request.key_hash = random_integer(random);
    request.rank = static_cast<int>(random_below(random, APR_MAX_RANKS));
    request.remaining_ms =
        static_cast<int64_t>(random_below(random, APR_REMAINING_MAX_MS + 1));
    request.idempotent = random_below(random, 2);
    request.has_idempotency_key = random_below(random, 2);
    for (uint8_t &byte : request.idempotency_key) {
        byte = request.has_idempotency_key ? random_below(random, 256) : 0;
    }
    request.first_attempt = random_below(random, 2);
    request.is_get = random_below(random, 2);
    request.caller = arena.add_random_text(random, APR_CALLER_MAX_BYTES);
    request.content_type =
        arena.add_random_text(random, APR_CONTENT_TYPE_MAX_BYTES);
    request.body = arena.add_random_text(random, 70000);
}

inline void
fill_answer(Random &random, Arena &arena, AprAnswerMessage_t &answer)
{
    answer.id = random_integer(random);
    answer.outcome = static_cast<AprOutcomeKind_t>(random_below(random, 5));
    answer.status = static_cast<int>(random_below(random, APR_STATUS_MAX + 1));
    answer.reason = arena.add_random_text(random, APR_REASON_MAX_BYTES);
    answer.step = static_cast<AprStep_t>(random_below(random, APR_STEP_COUNT));
    answer.peer = arena.add_random_text(random, APR_ERROR_PEER_SIZE - 1);
    answer.detail = arena.add_random_text(random, APR_ERROR_DETAIL_SIZE - 1);
    answer.hint_rank =
        static_cast<int>(random_below(random, APR_MAX_RANKS + 1)) - 1;
    answer.hint_ms =
        static_cast<int>(random_below(random, APR_HINT_MAX_MS + 1));
    answer.record_version = random_integer(random);
    answer.content_type =
        arena.add_random_text(random, APR_CONTENT_TYPE_MAX_BYTES);
    answer.body = arena.add_random_text(random, 70000);
}

inline void
fill_outcomes(Random &random, Arena &arena,
              std::vector<AprOutcomeEntry_t> &entries,
              AprOutcomesMessage_t &outcomes)
{
    outcomes.move_id = random_integer(random);
    outcomes.service = arena.add_random_text(random, APR_NAME_SIZE - 1);
    outcomes.partition = static_cast<int>(random_below(random, APR_SLOTS));
    outcomes.floor_ms = static_cast<int64_t>(random_integer(random));
    outcomes.last = random_below(random, 2);
    outcomes.accepted = random_below(random, 2);
    entries.resize(random_below(random, 50));
    for (AprOutcomeEntry_t &entry : entries) {
        AprBytes_t body = arena.add_random_text(random, 2000);

        entry = AprOutcomeEntry_t{};
        entry.request.key_hash = random_integer(random);
        entry.request.first_attempt = random_below(random, 2);
        entry.request.idempotency_key[0] = random_below(random, 256);
        entry.finished_at_ms = static_cast<int64_t>(random_integer(random));
        entry.answer.status = static_cast<int>(random_below(random, 600));
        entry.answer.content_type =
            random_below(random, 2) ? arena.add_random_text(random, 255).data
                                    : nullptr;
        entry.answer.body = body.data;
        entry.answer.body_size = body.size;
    }
    outcomes.entries = entries.data();
    outcomes.entry_count = static_cast<int>(entries.size());
}

inline void
fill_prepare(Random &random, Arena &arena, AprPrepareMessage_t &prepare)
{
    prepare.move_id = random_integer(random);
    prepare.service = arena.add_random_text(random, APR_NAME_SIZE - 1);
    prepare.agreed = random_below(random, 2);
    prepare.partition_count =
        static_cast<int>(random_below(random, APR_SLOTS + 1));
    for (int i = 0; i < prepare.partition_count; i++) {
        prepare.partitions[i] = random_below(random, APR_SLOTS);
    }
}

inline void
fill_message(Random &random, Arena &arena,
             std::vector<AprOutcomeEntry_t> &entries, AprMessage_t &message)
{
    message = AprMessage_t{};
    message.type = static_cast<AprMessageType_t>(
        APR_MSG_RENEW +
        random_below(random, APR_MSG_TYPE_END - APR_MSG_RENEW));
    switch (message.type) {
    case APR_MSG_RENEW:
    case APR_MSG_RENEW_ACK:
        message.renew = {random_integer(random), random_integer(random),
                         random_integer(random), random_integer(random)};
        break;
    case APR_MSG_CONSENT:
    case APR_MSG_CONSENT_ACK:
    case APR_MSG_SUSPECT:
        message.consent = {arena.add_random_text(random, APR_NAME_SIZE - 1),
                           random_integer(random), random_integer(random),
                           random_below(random, 2) == 1,
                           random_integer(random)};
        break;
    case APR_MSG_RECORD_GET:
    case APR_MSG_RECORD:
    case APR_MSG_CONFIG_GET:
    case APR_MSG_CONFIG:
        message.text = {random_integer(random),
                        static_cast<int64_t>(random_integer(random)),
                        arena.add_random_text(random, 100000)};
        break;
    case APR_MSG_REQUEST:
        fill_request(random, arena, message.request);
        break;
    case APR_MSG_ANSWER:
        fill_answer(random, arena, message.answer);
        break;
    case APR_MSG_CANCEL:
        message.cancel.id = random_integer(random);
        break;
    case APR_MSG_PREPARE:
    case APR_MSG_PREPARE_ACK:
        fill_prepare(random, arena, message.prepare);
        break;
    default:
        fill_outcomes(random, arena, entries, message.outcomes);
        break;
    }
}

#endif
