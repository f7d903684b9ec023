#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <string>

#include <rapidcheck.h>

extern "C" {
#include "apricot/service_config.h"
}

static std::string
arbitrary_name(int limit)
{
    auto letter = rc::gen::elementOf(std::string("abcXYZ019._-"));
    auto size = *rc::gen::inRange(1, limit);

    return *rc::gen::container<std::string>(size, letter);
}

static void
fill_arbitrary_ranks(AprServiceConfig_t &config)
{
    config.rank_count = *rc::gen::inRange(1, APR_MAX_RANKS + 1);
    int target = 0;

    for (int i = 0; i < config.rank_count; i++) {
        target += *rc::gen::inRange(1, 1000);
        std::string name = std::to_string(i) + arbitrary_name(20);
        snprintf(config.ranks[i].name, APR_NAME_SIZE, "%s", name.c_str());
        config.ranks[i].spec.target_ms = target;
        config.ranks[i].spec.worth = *rc::gen::inRange(1, 1000000);
    }
}

static AprServiceConfig_t
arbitrary_config()
{
    AprServiceConfig_t config;
    auto arbitrary_fraction = [](int least) {
        return *rc::gen::inRange(least, 1000000) / 1000000.0;
    };

    memset(&config, 0, sizeof(config));
    snprintf(config.service, APR_NAME_SIZE, "%s", arbitrary_name(64).c_str());
    config.generation = *rc::gen::inRange<uint64_t>(0, 1ULL << 53);
    snprintf(config.published_by, sizeof(config.published_by), "%s@%s",
             arbitrary_name(40).c_str(), arbitrary_name(40).c_str());
    config.published_at_ms = *rc::gen::inRange<int64_t>(0, 1LL << 53);
    config.pattern_count = *rc::gen::inRange(1, APR_MAX_PATTERNS + 1);
    for (int i = 0; i < config.pattern_count; i++) {
        snprintf(config.patterns[i], sizeof(config.patterns[i]),
                 "\"%s\\/*\xc3\xbc", arbitrary_name(100).c_str());
    }
    config.idempotent_count = *rc::gen::inRange(0, APR_MAX_IDEMPOTENT + 1);
    for (int i = 0; i < config.idempotent_count; i++) {
        snprintf(config.idempotent[i], APR_NAME_SIZE, "%s",
                 arbitrary_name(64).c_str());
    }
    fill_arbitrary_ranks(config);
    config.move_cost = arbitrary_fraction(0);
    config.ramp_s = *rc::gen::inRange(0, 3601);
    config.caller_rate = 0.1 + arbitrary_fraction(0) * 1000;
    config.service_rate = 0.1 + arbitrary_fraction(0) * 100000;
    config.queue = *rc::gen::inRange(1, 65537);
    config.body_bytes = *rc::gen::inRange(0, 65537);
    config.hot_share = arbitrary_fraction(10000);
    return config;
}

int
main()
{
    bool ok = true;

    /* Guards against a field that is lost or changed when a configuration is
       published. */
    ok &= rc::check("JSON round trip keeps every field", [] {
        AprServiceConfig_t config = arbitrary_config();
        AprServiceConfig_t copy;
        AprError_t error;
        char *text = AprServiceConfig_ToJson(&config);

        RC_ASSERT(text != nullptr);
        RC_ASSERT(AprServiceConfig_FromJson(text, strlen(text), &copy,
                                            &error) == APR_OK);
        free(text);
        RC_ASSERT(memcmp(&config, &copy, sizeof(config)) == 0);
    });

    /* Guards against a crash on damaged JSON, and against a configuration with
       missing or out-of-range values that is accepted from it. */
    ok &= rc::check("damaged JSON is refused or valid", [] {
        AprServiceConfig_t config = arbitrary_config();
        AprServiceConfig_t copy;
        AprError_t error;
        char *text = AprServiceConfig_ToJson(&config);
        std::string damaged(text);

        free(text);
        size_t offset = *rc::gen::inRange<size_t>(0, damaged.size());
        damaged[offset] = *rc::gen::arbitrary<char>();
        if (AprServiceConfig_FromJson(damaged.data(), damaged.size(), &copy,
                                      &error) == APR_OK) {
            RC_ASSERT(copy.rank_count >= 1 && copy.rank_count <= 8);
            RC_ASSERT(copy.pattern_count >= 1);
            RC_ASSERT(copy.queue >= 1 && copy.queue <= 65536);
        }
    });
    return ok ? 0 : 1;
}
