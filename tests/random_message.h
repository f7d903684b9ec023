#ifndef APRICOT_TESTS_RANDOM_MESSAGE_H
#define APRICOT_TESTS_RANDOM_MESSAGE_H

/* Random messages within the limits of the codec, for property tests (C++).
 */

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
below(Random &random, uint64_t limit)
{
    return random() % limit;
}

/* Texts that a message points to live here. */
struct Arena {
    std::vector<std::string> texts;

    Arena()
    {
        texts.reserve(4096);
    }

    AprBytes_t text(Random &random, size_t max)
    {
        std::string value(below(random, 8) ? below(random, 20) % (max + 1)
                                           : below(random, max + 1),
                          ' ');

        for (char &c : value) {
            c = static_cast<char>(1 + below(random, 255));
        }
        texts.push_back(value);
        return AprBytes_t{texts.back().data(), texts.back().size()};
    }
};

/* A value near a power of two, so that every width is used. */
inline uint64_t
integer(Random &random)
{
    return (uint64_t{1} << below(random, 64)) - below(random, 3);
}

inline void
fill_request(Random &random, Arena &arena, AprRequestMessage_t &request)
{
    request.id = integer(random);
    request.service = arena.text(random, APR_NAME_SIZE - 1);
    request.operation = arena.text(random, APR_NAME_SIZE - 1);
    request.key = arena.text(random, APR_KEY_MAX_BYTES);
    request.key_hash = integer(random);
    request.rank = static_cast<int>(below(random, APR_MAX_RANKS));
    request.remaining_ms =
        static_cast<int64_t>(below(random, APR_REMAINING_MAX_MS + 1));
    request.idempotent = below(random, 2);
    request.has_idempotency_key = below(random, 2);
    for (uint8_t &byte : request.idempotency_key) {
        byte = request.has_idempotency_key ? below(random, 256) : 0;
    }
    request.first_attempt = below(random, 2);
    request.is_get = below(random, 2);
    request.caller = arena.text(random, APR_CALLER_MAX_BYTES);
    request.content_type = arena.text(random, APR_CONTENT_TYPE_MAX_BYTES);
    request.body = arena.text(random, 70000);
}

inline void
fill_answer(Random &random, Arena &arena, AprAnswerMessage_t &answer)
{
    answer.id = integer(random);
    answer.outcome = static_cast<AprOutcomeKind_t>(below(random, 5));
    answer.status = static_cast<int>(below(random, APR_STATUS_MAX + 1));
    answer.reason = arena.text(random, APR_REASON_MAX_BYTES);
    answer.step = static_cast<AprStep_t>(below(random, APR_STEP_COUNT));
    answer.peer = arena.text(random, APR_ERROR_PEER_SIZE - 1);
    answer.detail = arena.text(random, APR_ERROR_DETAIL_SIZE - 1);
    answer.hint_rank = static_cast<int>(below(random, APR_MAX_RANKS + 1)) - 1;
    answer.hint_ms = static_cast<int>(below(random, APR_HINT_MAX_MS + 1));
    answer.record_version = integer(random);
    answer.content_type = arena.text(random, APR_CONTENT_TYPE_MAX_BYTES);
    answer.body = arena.text(random, 70000);
}

inline void
fill_outcomes(Random &random, Arena &arena,
              std::vector<AprOutcomeEntry_t> &entries,
              AprOutcomesMessage_t &outcomes)
{
    outcomes.move_id = integer(random);
    outcomes.service = arena.text(random, APR_NAME_SIZE - 1);
    outcomes.partition = static_cast<int>(below(random, APR_SLOTS));
    outcomes.floor_ms = static_cast<int64_t>(integer(random));
    outcomes.last = below(random, 2);
    outcomes.accepted = below(random, 2);
    entries.resize(below(random, 50));
    for (AprOutcomeEntry_t &entry : entries) {
        AprBytes_t body = arena.text(random, 2000);

        entry = AprOutcomeEntry_t{};
        entry.request.key_hash = integer(random);
        entry.request.first_attempt = below(random, 2);
        entry.request.idempotency_key[0] = below(random, 256);
        entry.finished_at_ms = static_cast<int64_t>(integer(random));
        entry.answer.status = static_cast<int>(below(random, 600));
        entry.answer.content_type =
            below(random, 2) ? arena.text(random, 255).data : nullptr;
        entry.answer.body = body.data;
        entry.answer.body_size = body.size;
    }
    outcomes.entries = entries.data();
    outcomes.entry_count = static_cast<int>(entries.size());
}

inline void
fill_prepare(Random &random, Arena &arena, AprPrepareMessage_t &prepare)
{
    prepare.move_id = integer(random);
    prepare.service = arena.text(random, APR_NAME_SIZE - 1);
    prepare.agreed = below(random, 2);
    prepare.partition_count = static_cast<int>(below(random, APR_SLOTS + 1));
    for (int i = 0; i < prepare.partition_count; i++) {
        prepare.partitions[i] = below(random, APR_SLOTS);
    }
}

inline void
fill_message(Random &random, Arena &arena,
             std::vector<AprOutcomeEntry_t> &entries, AprMessage_t &message)
{
    message = AprMessage_t{};
    message.type = static_cast<AprMessageType_t>(
        APR_MSG_RENEW + below(random, APR_MSG_TYPE_END - APR_MSG_RENEW));
    switch (message.type) {
    case APR_MSG_RENEW:
    case APR_MSG_RENEW_ACK:
        message.renew = {integer(random), integer(random), integer(random),
                         integer(random)};
        break;
    case APR_MSG_CONSENT:
    case APR_MSG_CONSENT_ACK:
    case APR_MSG_SUSPECT:
        message.consent = {arena.text(random, APR_NAME_SIZE - 1),
                           integer(random), integer(random),
                           below(random, 2) == 1, integer(random)};
        break;
    case APR_MSG_RECORD_GET:
    case APR_MSG_RECORD:
    case APR_MSG_CONFIG_GET:
    case APR_MSG_CONFIG:
        message.text = {integer(random), static_cast<int64_t>(integer(random)),
                        arena.text(random, 100000)};
        break;
    case APR_MSG_REQUEST:
        fill_request(random, arena, message.request);
        break;
    case APR_MSG_ANSWER:
        fill_answer(random, arena, message.answer);
        break;
    case APR_MSG_CANCEL:
        message.cancel.id = integer(random);
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
