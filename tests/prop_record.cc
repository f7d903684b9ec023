#include <rapidcheck.h>

#include <cstdio>
#include <cstdlib>
#include <memory>
#include <random>
#include <set>
#include <string>

extern "C" {
#include "apricot/record.h"
#include "internal/record_check.h"
}

namespace {

using Random = std::mt19937_64;

std::string
to_json(const AprRecord_t &record)
{
    char *text = AprRecord_ToJson(&record);
    std::string result = text == nullptr ? "" : text;
    free(text);
    return result;
}

AprMemberEntry_t
member_entry(uint64_t host, uint64_t incarnation, uint64_t domain)
{
    AprMemberEntry_t entry = {};
    entry.state = APR_MEMBER_ACTIVE;
    entry.incarnation = incarnation;
    snprintf(entry.host, sizeof(entry.host), "host-%02d", int(host));
    snprintf(entry.failure_domain, sizeof(entry.failure_domain), "domain%d",
             int(domain));
    snprintf(entry.peer_address, sizeof(entry.peer_address), "127.0.0.1:%d",
             int(host) + 7000);
    return entry;
}

/* Applies one change with random, often invalid, arguments and returns its
   result. */
int
apply_random_change(AprRecord_t *record, Random &random)
{
    AprMember_t member = AprMember_t(random() % 12);
    int service = int(random() % 3);
    int partition = int(random() % (APR_SLOTS + 8)) - 4;
    char list[APR_MAX_WITNESSES][APR_NAME_SIZE] = {};
    switch (random() % 10) {
    case 0:
    case 1: {
        AprMemberEntry_t entry =
            member_entry(random() % 12, random() % 9, random() % 4);
        entry.offered_services = uint32_t(random() % 4);
        return AprRecord_AddMember(record, &entry, &member, nullptr);
    }
    case 2:
        return AprRecord_RemoveMember(record, member);
    case 3:
        for (char *name : list) {
            snprintf(name, APR_NAME_SIZE, "host-%02d", int(random() % 12));
        }
        return AprRecord_SetWitnesses(record, member, list,
                                      int(random() % 5) - 1);
    case 4:
        return AprRecord_SetMemberState(record, member,
                                        AprMemberState_t(random() % 3));
    case 5:
        return AprRecord_AddService(record, random() % 2 ? "desk" : "bench") <
                       0
                   ? -1
                   : 0;
    case 6:
        return AprRecord_SetServiceOffered(record, member, service,
                                           random() % 3);
    case 7:
        return AprRecord_BindHotSlot(record, service, random() % 100,
                                     &partition);
    case 8:
        return AprRecord_FreeHotSlot(record, service, partition);
    default:
        return AprRecord_AssignPartition(record, service, partition,
                                         random() % 4 ? member : APR_NO_MEMBER,
                                         random());
    }
}

/* Returns whether no partition's epoch decreased, and each partition with a
   new owner has the record version as its epoch. */
bool
epochs_are_monotonic(const AprRecord_t &before, const AprRecord_t &after)
{
    for (int i = 0; i < before.service_count; i++) {
        for (int j = 0; j < APR_PARTITIONS; j++) {
            const AprPartitionEntry_t &old = before.services[i].partitions[j];
            const AprPartitionEntry_t &now = after.services[i].partitions[j];
            if (now.epoch < old.epoch ||
                (now.owner != old.owner && now.epoch != after.version)) {
                return false;
            }
        }
    }
    return true;
}

/* Checks that a rejected change leaves the record as it was, and that an
   accepted one leaves a consistent record that survives a JSON round trip. */
void
changes_keep_the_record_consistent(uint64_t seed)
{
    Random random(seed);
    auto record = std::make_unique<AprRecord_t>();
    auto before = std::make_unique<AprRecord_t>();
    auto parsed = std::make_unique<AprRecord_t>();
    AprRecord_Init(record.get(), "cell");
    for (int i = 0; i < 60; i++) {
        AprRecord_BeginChange(record.get());
        *before = *record;
        int code = apply_random_change(record.get(), random);
        RC_ASSERT(AprRecordCheck_IsConsistent(record.get()));
        RC_ASSERT(epochs_are_monotonic(*before, *record));
        std::string text = to_json(*record);
        RC_ASSERT(text != "");
        RC_ASSERT(code == APR_OK || text == to_json(*before));
        RC_ASSERT(AprRecord_FromJson(text.data(), text.size(), parsed.get(),
                                     nullptr) == APR_OK);
        RC_ASSERT(to_json(*parsed) == text);
    }
    /* A corrupted text is rejected or parsed into a consistent record. */
    std::string text = to_json(*record);
    for (int i = 0; i < 30; i++) {
        std::string corrupted = text;
        corrupted[random() % corrupted.size()] = char(random() % 128);
        if (AprRecord_FromJson(corrupted.data(), corrupted.size(),
                               parsed.get(), nullptr) == APR_OK) {
            RC_ASSERT(AprRecordCheck_IsConsistent(parsed.get()));
        }
    }
}

/* Checks that a member of n gets min(3, n - 1) witnesses: one in each other
   domain as far as they suffice, then one in its own domain, and a second one
   in its own domain only if no host of another domain is left. */
void
witnesses_are_spread(uint64_t seed)
{
    Random random(seed);
    auto record = std::make_unique<AprRecord_t>();
    size_t domains = 1 + random() % 5;
    int members = int(1 + random() % 12);
    AprMember_t member;
    char list[APR_MAX_WITNESSES][APR_NAME_SIZE];
    AprRecord_Init(record.get(), "cell");
    for (int i = 0; i < members; i++) {
        AprMemberEntry_t entry =
            member_entry(uint64_t(i), 1, random() % domains);
        AprRecord_AddMember(record.get(), &entry, &member, nullptr);
    }
    for (AprMember_t i = 0; i < members; i++) {
        std::string own = record->members[i].failure_domain;
        std::set<std::string> other_domains;
        std::set<std::string> chosen_domains;
        std::set<std::string> chosen;
        int own_domain_hosts = -1;
        int own_chosen = 0;
        for (int j = 0; j < members; j++) {
            std::string domain = record->members[j].failure_domain;
            domain == own ? void(own_domain_hosts++)
                          : void(other_domains.insert(domain));
        }
        int count = AprRecord_ChooseWitnesses(record.get(), i, list);
        for (int j = 0; j < count; j++) {
            AprMember_t witness = AprRecord_FindHost(record.get(), list[j]);
            std::string domain = record->members[witness].failure_domain;
            RC_ASSERT(witness != i);
            chosen.insert(list[j]);
            domain == own ? void(own_chosen++)
                          : void(chosen_domains.insert(domain));
        }
        int others = std::min(int(other_domains.size()), APR_MAX_WITNESSES);
        RC_ASSERT(count == std::min(APR_MAX_WITNESSES, members - 1));
        RC_ASSERT(int(chosen.size()) == count);
        RC_ASSERT(int(chosen_domains.size()) == others);
        RC_ASSERT(own_chosen >=
                  std::min({1, own_domain_hosts, count - others}));
        RC_ASSERT(own_chosen <= 1 ||
                  own_chosen + members - 1 - own_domain_hosts <= count);
        RC_ASSERT(AprRecord_SetWitnesses(record.get(), i, list, count) ==
                  APR_OK);
    }
}

/* Checks the size of a large record: 64 members, two services, every partition
   with its own epoch and a random owner, and one in 16 with its own handover
   id. The size determines the load on the store and the network. */
void
stored_value_size_is_bounded(uint64_t seed)
{
    Random random(seed);
    auto record = std::make_unique<AprRecord_t>();
    AprMember_t member;
    AprRecord_Init(record.get(), "cell");
    record->version = 1000000;
    for (const char *name : {"desk", "bench"}) {
        AprRecord_AddService(record.get(), name);
    }
    for (uint64_t i = 0; i < APR_MAX_MEMBERS; i++) {
        AprMemberEntry_t entry = member_entry(i, 1764830000000000 + i, i % 3);
        entry.offered_services = 3;
        RC_ASSERT(AprRecord_AddMember(record.get(), &entry, &member,
                                      nullptr) == APR_OK);
    }
    size_t size_without_owners = to_json(*record).size();
    for (int service = 0; service < 2; service++) {
        for (int i = 0; i < APR_PARTITIONS; i++) {
            AprRecord_BeginChange(record.get());
            AprRecord_AssignPartition(record.get(), service, i,
                                      AprMember_t(random() % APR_MAX_MEMBERS),
                                      i % 16 == 0 ? random() : 0);
        }
    }
    RC_ASSERT(to_json(*record).size() < size_without_owners + 2 * 8192);
    RC_ASSERT(to_json(*record).size() < 65536u);
}

} // namespace

int
main()
{
    bool passed = rc::check("changes keep the record consistent",
                            changes_keep_the_record_consistent);
    passed = rc::check("witnesses are spread over failure domains",
                       witnesses_are_spread) &&
             passed;
    passed = rc::check("the size of the stored value is bounded",
                       stored_value_size_is_bounded) &&
             passed;
    return passed ? 0 : 1;
}
