/* Key maps that are joined after the return of the store from an older copy:
   hosts that join the same maps in any order agree, and no key goes back to an
   earlier assignment. */
#include <cstring>
#include <vector>

#include <rapidcheck.h>

extern "C" {
#include "apricot/error.h"
#include "apricot/key_map.h"
}

namespace {

/* Assignment of some keys of the first part. */
struct Change {
    int first;
    int size;
    int host;
    int releasing; /* 0: none */
};

rc::Gen<Change>
change_gen()
{
    return rc::gen::build<Change>(
        rc::gen::set(&Change::first, rc::gen::inRange(0, 60)),
        rc::gen::set(&Change::size, rc::gen::inRange(1, 20)),
        rc::gen::set(&Change::host, rc::gen::inRange(1, 5)),
        rc::gen::set(&Change::releasing, rc::gen::inRange(0, 5)));
}

void
showValue(const Change &change, std::ostream &os)
{
    os << "{" << change.first << "+" << change.size << "," << change.host
       << "," << change.releasing << "}";
}

std::string
host_name(int host)
{
    return "h" + std::to_string(host);
}

struct Map {
    AprKeyMap_t map;

    Map()
    {
        RC_ASSERT(AprKeyMap_Init(&map) == APR_OK);
    }
    Map(const Map &other)
    {
        RC_ASSERT(AprKeyMap_Copy(&map, &other.map) == APR_OK);
    }
    Map &operator=(const Map &other) = delete;
    ~Map()
    {
        AprKeyMap_Free(&map);
    }

    void apply(const std::vector<Change> &changes)
    {
        for (const Change &change : changes) {
            RC_ASSERT(AprKeyMap_Assign(
                          &map, change.first, change.first + change.size - 1,
                          host_name(change.host).c_str(),
                          change.releasing == 0
                              ? nullptr
                              : host_name(change.releasing).c_str()) ==
                      APR_OK);
        }
    }

    void join(const Map &other)
    {
        RC_ASSERT(AprKeyMap_JoinPart(&map, &other.map, 0, nullptr) == APR_OK);
    }

    bool equals(const Map &other) const
    {
        return AprKeyMap_ChangedParts(&map, &other.map) == 0;
    }
};

/* Returns maps that have forked from a common one, as in two eras or at hosts
   that know of different changes. */
std::vector<Map>
forked_maps(int count)
{
    const auto changes = rc::gen::container<std::vector<Change>>(change_gen());
    std::vector<Map> maps;
    Map base;

    base.apply(*changes);
    for (int i = 0; i < count; i++) {
        maps.push_back(base);
        maps.back().apply(*changes);
    }
    return maps;
}

void
check_covers_all_keys(const AprKeyMap_t &map)
{
    int next = 0;

    for (int i = 0; i < map.count; i++) {
        RC_ASSERT(map.ranges[i].first == next);
        next = map.ranges[i].last + 1;
    }
    RC_ASSERT(next == APR_KEY_COUNT);
}

void
test_order_does_not_matter()
{
    const std::vector<Map> maps = forked_maps(3);
    Map forward = maps[0];
    Map backward = maps[2];

    forward.join(maps[1]);
    forward.join(maps[2]);
    backward.join(maps[1]);
    backward.join(maps[0]);
    RC_ASSERT(forward.equals(backward));
    backward.join(forward);
    RC_ASSERT(forward.equals(backward));
    check_covers_all_keys(forward.map);
}

void
test_no_key_goes_back()
{
    const std::vector<Map> maps = forked_maps(2);
    Map joined = maps[0];

    joined.join(maps[1]);
    for (int key = 0; key < 100; key++) {
        const AprKeyRange_t *range = AprKeyMap_FindRange(&joined.map, key);
        int64_t fence = 0;

        for (const Map &map : maps) {
            fence = std::max(fence, AprKeyMap_FindRange(&map.map, key)->fence);
        }
        RC_ASSERT(range->fence == fence);
        RC_ASSERT(joined.map.last_fence >= fence);
    }
}

/* A change of the next era is above those of a fork that nobody remembers. */
void
test_later_era_wins()
{
    std::vector<Map> maps = forked_maps(2);
    const auto changes = *rc::gen::nonEmpty(
        rc::gen::container<std::vector<Change>>(change_gen()));
    Map joined = maps[0];

    AprKeyMap_RaiseFence(&maps[1].map, 1);
    maps[1].apply(changes);
    joined.join(maps[1]);
    for (const Change &change : changes) {
        for (int key = change.first; key < change.first + change.size; key++) {
            const AprKeyRange_t *range = AprKeyMap_FindRange(&joined.map, key);

            RC_ASSERT(range->fence > AprKeyMap_EraFence(1));
            RC_ASSERT(std::strcmp(
                          range->host,
                          AprKeyMap_FindRange(&maps[1].map, key)->host) == 0);
        }
    }
}

/* Held keys count where their token is above that of the map, and the host may
   go on granting just those. */
void
test_held_keys()
{
    const std::vector<Map> maps = forked_maps(2);
    Map map = maps[0];
    std::vector<AprKeyRange_t> held;

    for (int i = 0; i < maps[1].map.count; i++) {
        const AprKeyRange_t &range = maps[1].map.ranges[i];

        if (std::strcmp(range.host, "h1") == 0) {
            held.push_back(range);
            RC_ASSERT(AprKeyMap_JoinHeld(&map.map, range.first, range.last,
                                         range.fence, "h1") == APR_OK);
        }
    }
    check_covers_all_keys(map.map);
    RC_ASSERT(AprKeyMap_UnassignUnheldKeys(&map.map, "h1",
                                           AprKeyMap_EraFence(1), held.data(),
                                           (int)held.size()) == APR_OK);
    check_covers_all_keys(map.map);
    for (int key = 0; key < 100; key++) {
        const AprKeyRange_t *range = AprKeyMap_FindRange(&map.map, key);
        const AprKeyRange_t *known = AprKeyMap_FindRange(&maps[0].map, key);
        const AprKeyRange_t *other = AprKeyMap_FindRange(&maps[1].map, key);
        bool is_held = std::strcmp(other->host, "h1") == 0;

        if (is_held && other->fence > known->fence) {
            RC_ASSERT(range->fence == other->fence);
            RC_ASSERT(std::strcmp(range->host, "h1") == 0);
        }
        else if (!is_held || other->fence != known->fence) {
            RC_ASSERT(std::strcmp(range->host, "h1") != 0);
        }
    }
}

} // namespace

int
main()
{
    bool ok =
        rc::check("joins in any order agree", test_order_does_not_matter);

    ok = rc::check("no key goes back", test_no_key_goes_back) && ok;
    ok = rc::check("a later era wins", test_later_era_wins) && ok;
    ok = rc::check("held keys count", test_held_keys) && ok;
    return ok ? 0 : 1;
}
