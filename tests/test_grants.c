#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "apricot/error.h"
#include "apricot/grant_table.h"
#include "apricot/key_plan.h"
#include "internal/generation_record.h"

#define GRANT_MS 3000
#define MAX_GRANTS 16

#define GENERATION 7 /* of the backend server */

/* Guards against grants that a host issues after its authority has ended, when
   another host may have replaced it. */
static void
test_no_grant_without_authority(void **state)
{
    const char *host = "h1";
    AprGrant_t grants[MAX_GRANTS];
    AprGrantTable_t table;
    AprKeyMap_t map;

    (void)state;
    AprKeyMap_Init(&map);
    AprKeyMap_Assign(&map, 0, 999, host, NULL);
    AprGrantTable_Init(&table, "h1", GRANT_MS, 0);
    assert_int_equal(AprGrantTable_RenewGrants(&table, &map, GENERATION, 10,
                                               grants, MAX_GRANTS),
                     -1);
    table.authority_until_ms = 500;
    assert_int_equal(AprGrantTable_RenewGrants(&table, &map, GENERATION, 499,
                                               grants, MAX_GRANTS),
                     1);
    assert_int_equal(AprGrantTable_RenewGrants(&table, &map, GENERATION, 500,
                                               grants, MAX_GRANTS),
                     -1);
    /* An incarnation that is not in the store yet gets no grant. */
    table.authority_until_ms = 9999;
    assert_int_equal(
        AprGrantTable_RenewGrants(&table, &map, 0, 600, grants, MAX_GRANTS),
        -1);
    AprKeyMap_Free(&map);
}

/* Guards against an authority that is given back without the store after
   another host may have replaced this one, and against one that is refused
   while none can have. */
static void
test_takeover_waits_for_the_last_grant(void **state)
{
    AprGrant_t grants[MAX_GRANTS];
    AprGrantTable_t table;
    AprKeyMap_t map;

    (void)state;
    AprKeyMap_Init(&map);
    AprKeyMap_Assign(&map, 0, 999, "h1", NULL);
    AprGrantTable_Init(&table, "h1", GRANT_MS, 0);
    table.authority_until_ms = 500;
    assert_int_equal(AprGrantTable_RenewGrants(&table, &map, GENERATION, 499,
                                               grants, MAX_GRANTS),
                     1);
    assert_false(
        AprGrantTable_IsTakeoverPossible(&table, table.latest_expiry_ms));
    assert_true(AprGrantTable_IsTakeoverPossible(
        &table, AprGrant_LatestExpiryMs(500, GRANT_MS)));
    AprKeyMap_Free(&map);
}

/* Guards against a fencing token that a later incarnation of the backend
   server or a later owner does not exceed, and against a handover token that
   is used twice. */
static void
test_restart_gets_a_higher_fence(void **state)
{
    AprGrant_t token = {0, 999, 1, "t1"};
    AprGrant_t grants[MAX_GRANTS];
    AprGrantTable_t table;
    AprKeyMap_t map;
    int64_t fence;

    (void)state;
    AprKeyMap_Init(&map);
    AprKeyMap_Assign(&map, 0, 999, "h1", "h2");
    AprGrantTable_Init(&table, "h1", GRANT_MS, 0);
    AprGrantTable_ApplyKeyMap(&table, &map, 0);
    AprGrantTable_AddHandoverToken(&table, &token);
    table.authority_until_ms = INT64_MAX;
    assert_int_equal(AprGrantTable_RenewGrants(&table, &map, 1, 0, grants, 1),
                     1);
    assert_string_equal(grants[0].token, "t1");
    fence = grants[0].fence;
    AprGrantTable_HandleRestart(&table, 10);
    assert_int_equal(AprGrantTable_RenewGrants(&table, &map, 2, 20, grants, 1),
                     1);
    assert_true(grants[0].fence > fence);
    assert_string_equal(grants[0].token, "");
    fence = grants[0].fence;
    AprKeyMap_Assign(&map, 0, 999, "h3", NULL);
    AprGrantTable_Init(&table, "h3", GRANT_MS, 0);
    table.authority_until_ms = INT64_MAX;
    assert_int_equal(AprGrantTable_RenewGrants(&table, &map, 1, 30, grants, 1),
                     1);
    assert_true(grants[0].fence > fence);
    AprKeyMap_Free(&map);
}

/* Guards against a generation that is assigned twice: after an unknown outcome
   of a write, after a restart of this process, or to an older incarnation. */
static void
test_generation_rises_with_each_incarnation(void **state)
{
    AprBackendIncarnation_t first = {"a", 100};
    AprBackendIncarnation_t second = {"b", 200};
    AprGenerationRecord_t record = {0};
    AprGenerationRecord_t restarted = {0};
    AprKvResult_t unknown = {.code = APR_E_UNKNOWN_OUTCOME};
    AprKvResult_t done = {.code = APR_OK, .revision = 5};
    AprKvItem_t item = {.key = "lives/h1", .revision = 5};
    char *text;

    (void)state;
    free(AprGenerationRecord_BeginWrite(&record, &first));
    assert_int_equal(AprGenerationRecord_Find(&record, &first), 0);
    AprGenerationRecord_EndWrite(&record, &unknown);
    assert_int_equal(AprGenerationRecord_Find(&record, &first), 0);
    text = AprGenerationRecord_BeginWrite(&record, &first);
    AprGenerationRecord_EndWrite(&record, &done);
    assert_int_equal(AprGenerationRecord_Find(&record, &first), 1);
    assert_int_equal(AprGenerationRecord_Find(&record, &second), 0);
    item.value = text;
    item.value_size = strlen(text);
    assert_int_equal(AprGenerationRecord_Update(&restarted, &item), APR_OK);
    assert_int_equal(AprGenerationRecord_Find(&restarted, &first), 1);
    /* A restarted process claims the record under the same generation. */
    assert_int_equal(AprGenerationRecord_FindClaimed(&record, &first), 1);
    assert_int_equal(AprGenerationRecord_FindClaimed(&restarted, &first), 0);
    free(AprGenerationRecord_BeginWrite(&restarted, &first));
    done.revision = 7;
    AprGenerationRecord_EndWrite(&restarted, &done);
    assert_int_equal(AprGenerationRecord_FindClaimed(&restarted, &first), 1);
    item.revision = 7;
    assert_int_equal(AprGenerationRecord_Update(&record, &item), APR_OK);
    assert_int_equal(AprGenerationRecord_FindClaimed(&record, &first), 0);
    assert_int_equal(AprGenerationRecord_Find(&record, &first), 1);
    free(AprGenerationRecord_BeginWrite(&restarted, &second));
    done.revision = 9;
    AprGenerationRecord_EndWrite(&restarted, &done);
    assert_int_equal(AprGenerationRecord_Find(&restarted, &second), 2);
    assert_int_equal(AprGenerationRecord_Find(&restarted, &first), 0);
    /* An older revision of the item changes nothing. */
    assert_int_equal(AprGenerationRecord_Update(&restarted, &item), APR_OK);
    assert_int_equal(AprGenerationRecord_Find(&restarted, &second), 2);
    item.revision = 10;
    item.value = "{\"id\":1}";
    item.value_size = strlen(item.value);
    assert_int_equal(AprGenerationRecord_Update(&restarted, &item),
                     APR_E_PARSE);
    free(text);
}

/* Guards against a grant while that of the previous holder may still be in
   force, whose clock may run 2 % slow. */
static void
test_waits_for_expiry_of_previous_holder(void **state)
{
    const char *host = "h1";
    AprGrant_t grants[MAX_GRANTS];
    AprGrantTable_t table;
    AprKeyMap_t map;

    (void)state;
    AprKeyMap_Init(&map);
    AprKeyMap_Assign(&map, 0, 999, host, "h2");
    AprGrantTable_Init(&table, "h1", GRANT_MS, 0);
    table.authority_until_ms = INT64_MAX;
    AprGrantTable_ApplyKeyMap(&table, &map, 1000);
    assert_int_equal(AprGrantTable_RenewGrants(&table, &map, GENERATION,
                                               1000 + GRANT_MS, grants,
                                               MAX_GRANTS),
                     0);
    /* A later change of other keys does not restart the wait. */
    AprGrantTable_ApplyKeyMap(&table, &map, 3000);
    assert_int_equal(
        AprGrantTable_RenewGrants(&table, &map, GENERATION,
                                  1000 + GRANT_MS + GRANT_MS / 50 + 100,
                                  grants, MAX_GRANTS),
        1);
    AprKeyMap_Free(&map);
}

/* Guards against a handover token of an earlier assignment that frees keys too
   soon, and against a handover that grants more keys than were released. */
static void
test_handover_token_frees_only_its_keys(void **state)
{
    const char *host = "h1";
    AprGrant_t token = {0, 99, 0, "t1"};
    AprGrant_t grants[MAX_GRANTS];
    AprGrantTable_t table;
    AprKeyMap_t map;

    (void)state;
    AprKeyMap_Init(&map);
    AprKeyMap_Assign(&map, 0, 999, host, "h2");
    AprGrantTable_Init(&table, "h1", GRANT_MS, 0);
    table.authority_until_ms = INT64_MAX;
    AprGrantTable_ApplyKeyMap(&table, &map, 0);
    token.fence = map.ranges[0].fence - 1;
    AprGrantTable_AddHandoverToken(&table, &token);
    assert_int_equal(AprGrantTable_RenewGrants(&table, &map, GENERATION, 10,
                                               grants, MAX_GRANTS),
                     0);
    token.fence = map.ranges[0].fence;
    AprGrantTable_AddHandoverToken(&table, &token);
    assert_int_equal(AprGrantTable_RenewGrants(&table, &map, GENERATION, 20,
                                               grants, MAX_GRANTS),
                     1);
    assert_int_equal(grants[0].first, 0);
    assert_int_equal(grants[0].last, 99);
    assert_string_equal(grants[0].token, "t1");
    AprKeyMap_Free(&map);
}

/* Guards against a restarted process that waits for the grant of a previous
   holder although its backend server holds the keys already, and against keys
   that it grants on the report of an earlier assignment or generation. */
static void
test_held_keys_need_no_release(void **state)
{
    AprGrant_t held[] = {{0, 99, 0, ""}, {100, 199, 0, ""}, {200, 299, 0, ""}};
    AprGrant_t grants[MAX_GRANTS];
    AprGrantTable_t table;
    AprKeyMap_t map;
    int64_t fence;

    (void)state;
    AprKeyMap_Init(&map);
    AprKeyMap_Assign(&map, 0, 999, "h1", "h2");
    fence = map.ranges[0].fence;
    held[0].fence = fence * APR_GENERATIONS_PER_FENCE + GENERATION;
    held[1].fence = (fence - 1) * APR_GENERATIONS_PER_FENCE + GENERATION;
    held[2].fence = fence * APR_GENERATIONS_PER_FENCE + GENERATION - 1;
    AprGrantTable_Init(&table, "h1", GRANT_MS, 0);
    table.authority_until_ms = INT64_MAX;
    AprGrantTable_ApplyKeyMap(&table, &map, 0);
    AprGrantTable_RecordHeldKeys(&table, held, 3, GENERATION);
    assert_int_equal(AprGrantTable_RenewGrants(&table, &map, GENERATION, 10,
                                               grants, MAX_GRANTS),
                     1);
    assert_int_equal(grants[0].first, 0);
    assert_int_equal(grants[0].last, 99);
    assert_int_equal(grants[0].fence, held[0].fence);
    AprKeyMap_Free(&map);
}

/* Guards against keys that have no owner or two owners after changes of the
   map, and against a fencing token that does not increase. */
static void
test_map_covers_all_keys_once(void **state)
{
    const char *hosts[3] = {"h1", "h2", "h3"};
    AprKeyMap_t map;
    unsigned int seed = 7;

    (void)state;
    AprKeyMap_Init(&map);
    for (int i = 0; i < 500; i++) {
        int first = rand_r(&seed) % APR_KEY_COUNT;
        int last = first + rand_r(&seed) % (APR_KEY_COUNT - first);
        int64_t fence = map.last_fence;
        int next = 0;

        assert_int_equal(
            AprKeyMap_Assign(&map, first, last, hosts[i % 3], NULL), APR_OK);
        AprKeyMap_MergeRanges(&map);
        assert_true(map.last_fence > fence);
        assert_string_equal(AprKeyMap_FindRange(&map, first)->host,
                            hosts[i % 3]);
        for (int j = 0; j < map.count; j++) {
            assert_int_equal(map.ranges[j].first, next);
            next = map.ranges[j].last + 1;
        }
        assert_int_equal(next, APR_KEY_COUNT);
    }
    AprKeyMap_Free(&map);
}

/* Guards against acceptance of a stored part that is malformed or does not
   cover all keys. */
static void
test_stored_map_part(void **state)
{
    static const char out_of_order[] =
        "{\"hosts\":[\"h\"],"
        "\"ranges\":[[9,0,1,-1],[5,0,1,-1],[4095,0,1,-1]]}";
    static const char beyond_part[] =
        "{\"hosts\":[\"h\"],\"ranges\":[[9,0,1,-1],[4096,0,1,-1]]}";
    static const char *const malformed[] = {
        "",
        "{}",
        "[]",
        "{\"hosts\":[\"h\"],\"ranges\":[]}",
        "{\"hosts\":[\"h\"],\"ranges\":[[9,0,1,-1]]}",
        "{\"hosts\":[\"h\"],\"ranges\":[[4095,0,-1,-1]]}",
        "{\"hosts\":[\"h\"],\"ranges\":[[4095,1,1,-1]]}",
        "{\"hosts\":[\"h\"],\"ranges\":[[4095,0,1,7]]}",
        out_of_order,
        beyond_part,
        "{\"ranges\":[[4095,0,1,-1]]}",
    };
    const char *host = "h1";
    AprKeyMap_t map;
    AprKeyMap_t read;
    char *text;

    (void)state;
    AprKeyMap_Init(&map);
    AprKeyMap_Init(&read);
    AprKeyMap_Assign(&map, 10, 20, host, "h2");
    AprKeyMap_Assign(&map, 4000, 4200, host, NULL);
    text = AprKeyMap_SerializePart(&map, 0);
    assert_int_equal(AprKeyMap_ParsePart(&read, 0, text, strlen(text)),
                     APR_OK);
    assert_string_equal(AprKeyMap_FindRange(&read, 15)->releasing_host, "h2");
    assert_string_equal(AprKeyMap_FindRange(&read, 4095)->host, "h1");
    assert_string_equal(AprKeyMap_FindRange(&read, 4096)->host, "");
    /* The next fencing token will exceed those that were read. */
    assert_int_equal(read.last_fence, map.last_fence);
    assert_int_equal(AprKeyMap_ChangedParts(&map, &read), 2);
    for (size_t i = 0; i < sizeof(malformed) / sizeof(malformed[0]); i++) {
        int count = read.count;

        assert_int_equal(
            AprKeyMap_ParsePart(&read, 0, malformed[i], strlen(malformed[i])),
            APR_E_PARSE);
        assert_int_equal(read.count, count);
    }
    free(text);
    AprKeyMap_Free(&read);
    AprKeyMap_Free(&map);
}

/* Guards against conflicts between changes of different parts, and against a
   change of one part that reverts another part. */
static void
test_parts_change_independently(void **state)
{
    const char *host = "h1";
    const char *other_host = "h2";
    AprKeyMap_t base;
    AprKeyMap_t left;
    AprKeyMap_t right;

    (void)state;
    AprKeyMap_Init(&base);
    AprKeyMap_Copy(&left, &base);
    AprKeyMap_Copy(&right, &base);
    AprKeyMap_Assign(&left, 100, 200, host, NULL);
    AprKeyMap_Assign(&right, 9 * APR_KEYS_PER_PART, 11 * APR_KEYS_PER_PART - 1,
                     other_host, NULL);
    assert_int_equal(AprKeyMap_ChangedParts(&base, &left), 1);
    assert_int_equal(AprKeyMap_ChangedParts(&base, &right), 3 << 9);
    AprKeyMap_CopyPart(&base, &right, 9);
    AprKeyMap_CopyPart(&base, &left, 0);
    AprKeyMap_CopyPart(&base, &right, 10);
    assert_string_equal(AprKeyMap_FindRange(&base, 150)->host, "h1");
    assert_string_equal(AprKeyMap_FindRange(&base, 201)->host, "");
    assert_int_equal(AprKeyMap_CountKeysOf(&base, "h2"),
                     2 * APR_KEYS_PER_PART);
    AprKeyMap_Free(&base);
    AprKeyMap_Free(&left);
    AprKeyMap_Free(&right);
}

/* Guards against a grant that is issued too early because a range in another
   part has the same fencing token and an earlier change. */
static void
test_expiry_wait_is_per_part(void **state)
{
    const char *host = "h1";
    AprGrant_t grants[4];
    AprGrantTable_t table;
    AprKeyMap_t map;
    AprKeyMap_t other;
    int64_t end_ms = AprGrant_LatestExpiryMs(0, 3000);

    (void)state;
    AprKeyMap_Init(&map);
    AprKeyMap_Init(&other);
    AprKeyMap_Assign(&map, 0, 99, host, "h2");
    AprKeyMap_Assign(&other, 3 * APR_KEYS_PER_PART, 3 * APR_KEYS_PER_PART + 9,
                     host, "h3");
    AprGrantTable_Init(&table, "h1", 3000, 0);
    AprGrantTable_ApplyKeyMap(&table, &map, 0);
    AprKeyMap_CopyPart(&map, &other, 3);
    assert_int_equal(AprKeyMap_FindRange(&map, 0)->fence,
                     AprKeyMap_FindRange(&map, 3 * APR_KEYS_PER_PART)->fence);
    AprGrantTable_ApplyKeyMap(&table, &map, 2000);
    table.authority_until_ms = INT64_MAX;
    assert_int_equal(
        AprGrantTable_RenewGrants(&table, &map, GENERATION, end_ms, grants, 4),
        1);
    assert_int_equal(grants[0].first, 0);
    assert_int_equal(AprGrantTable_RenewGrants(&table, &map, GENERATION,
                                               end_ms + 2000, grants, 4),
                     2);
    AprKeyMap_Free(&map);
    AprKeyMap_Free(&other);
}

/* Guards against grants of keys that a change with an unknown outcome may have
   assigned to another host. */
static void
test_withholds_keys_of_unknown_changes(void **state)
{
    const char *host = "h1";
    const char *other_host = "h2";
    AprKeyMap_t map;
    AprKeyMap_t proposal;

    (void)state;
    AprKeyMap_Init(&map);
    AprKeyMap_Assign(&map, 0, 999, host, NULL);
    AprKeyMap_Copy(&proposal, &map);
    AprKeyMap_Assign(&proposal, 500, 599, other_host, "h1");
    /* The proposal also assigns keys to this host, which are not in force. */
    AprKeyMap_Assign(&proposal, 2000, 2999, host, NULL);
    assert_int_equal(AprKeyMap_UnassignChangedKeys(&map, &proposal, "h1"),
                     APR_OK);
    assert_int_equal(AprKeyMap_CountKeysOf(&map, "h1"), 900);
    assert_string_equal(AprKeyMap_FindRange(&map, 550)->host, "");
    assert_string_equal(AprKeyMap_FindRange(&map, 2500)->host, "");
    AprKeyMap_Free(&map);
    AprKeyMap_Free(&proposal);
}

/* Guards against keys of a lost host that stay without an owner, and against
   the assignment of all of them to one host. */
static void
test_distributes_by_spare_capacity(void **state)
{
    AprKeyCandidate_t candidates[3] = {
        {"h2", 0.5, 6, 0},
        {"h3", 0.0, 6, 0},
        {"h4", 2.0, 6, 0},
    };
    const char *lost = "h1";
    AprKeyMap_t map;

    (void)state;
    AprKeyMap_Init(&map);
    AprKeyMap_Assign(&map, 1000, 16999, lost, NULL);
    assert_int_equal(
        AprKeyPlan_Distribute(&map, "h1", candidates, 3, NULL, NULL, NULL),
        16000);
    assert_int_equal(AprKeyMap_CountKeysOf(&map, "h1"), 0);
    assert_int_equal(AprKeyMap_CountKeysOf(&map, ""), APR_KEY_COUNT - 16000);
    assert_true(AprKeyMap_CountKeysOf(&map, "h3") >
                AprKeyMap_CountKeysOf(&map, "h2"));
    assert_true(AprKeyMap_CountKeysOf(&map, "h2") >
                5 * AprKeyMap_CountKeysOf(&map, "h4"));
    assert_true(AprKeyMap_CountKeysOf(&map, "h4") > 0);
    AprKeyMap_Free(&map);
}

/* Guards against a key map that falls into pieces: when many of hundreds of
   hosts leave one after the other, each must hand its keys to a few others, so
   that its change touches few parts and rarely conflicts. */
static void
test_leaving_hosts_keep_few_ranges(void **state)
{
    enum { HOSTS = 227, LEAVING = 70 };
    static AprKeyCandidate_t all[HOSTS];
    static AprKeyCandidate_t candidates[HOSTS];
    AprKeyMap_t map;
    int parts_touched = 0;

    (void)state;
    for (int i = 0; i < HOSTS; i++) {
        snprintf(all[i].host, sizeof(all[i].host), "h%d", i);
        all[i].load = 0.5;
        all[i].slots = 4;
    }
    AprKeyMap_Init(&map);
    memcpy(candidates, all, sizeof(all));
    AprKeyPlan_Distribute(&map, "", candidates, HOSTS, NULL, NULL, NULL);
    assert_int_equal(map.count, HOSTS);
    for (int i = 0; i < LEAVING; i++) {
        AprKeyMap_t before;
        uint32_t parts;

        memcpy(candidates, all + LEAVING, (HOSTS - LEAVING) * sizeof(all[0]));
        AprKeyMap_Copy(&before, &map);
        AprKeyPlan_Distribute(&map, all[i].host, candidates, HOSTS - LEAVING,
                              all[i].host, NULL, NULL);
        assert_int_equal(AprKeyMap_CountKeysOf(&map, all[i].host), 0);
        for (parts = AprKeyMap_ChangedParts(&before, &map); parts != 0;
             parts &= parts - 1) {
            parts_touched++;
        }
        AprKeyMap_Free(&before);
    }
    print_message("%d ranges, %d parts touched\n", map.count, parts_touched);
    assert_true(map.count <= HOSTS + 5 * LEAVING);
    assert_true(parts_touched <= 2 * LEAVING);
    /* No host takes more than a few usual shares. */
    for (int i = LEAVING; i < HOSTS; i++) {
        assert_true(AprKeyMap_CountKeysOf(&map, all[i].host) <
                    4 * APR_KEY_COUNT / HOSTS);
    }
    AprKeyMap_Free(&map);
}

static bool
is_always_released(const void *context, const AprKeyRange_t *range)
{
    (void)context;
    (void)range;
    return true;
}

/* Guards against two holders of keys that move on before their first holder
   has released them: h1 gives keys to h2, whose backend server is gone or
   which is lost, and h3 must still wait for h1. */
static void
test_second_move_waits_for_the_first_holder(void **state)
{
    const char *first = "h1";
    AprKeyCandidate_t candidates[1] = {{"h3", 0.5, 4, 0}};
    AprKeyMap_t map;

    (void)state;
    AprKeyMap_Init(&map);
    AprKeyMap_Assign(&map, 0, 999, "h2", first);
    AprKeyPlan_Distribute(&map, "h2", candidates, 1, NULL, NULL, NULL);
    assert_string_equal(map.ranges[0].host, "h3");
    assert_string_equal(map.ranges[0].releasing_host, first);
    AprKeyMap_Assign(&map, 0, 999, "h2", first);
    AprKeyPlan_Distribute(&map, "h2", candidates, 1, "h2", NULL, NULL);
    assert_string_equal(map.ranges[0].releasing_host, first);
    /* h2 has held the keys, so that only its own release counts. */
    AprKeyMap_Assign(&map, 0, 999, "h2", first);
    AprKeyPlan_Distribute(&map, "h2", candidates, 1, "h2", is_always_released,
                          NULL);
    assert_string_equal(map.ranges[0].releasing_host, "h2");
    AprKeyMap_Assign(&map, 0, 999, "h2", first);
    AprKeyPlan_Distribute(&map, "h2", candidates, 1, NULL, is_always_released,
                          NULL);
    assert_string_equal(map.ranges[0].releasing_host, "");
    AprKeyMap_Free(&map);
}

/* Guards against moves of hot keys that do not reduce the load, take many
   keys, or move the overload to another host. The hot keys are adjacent on one
   of four hosts, which has a load of 1.8. */
static void
test_rebalances_hot_keys(void **state)
{
    AprKeyCandidate_t candidates[3] = {
        {"h2", 0.1, 6, 16384},
        {"h3", 0.2, 6, 16384},
        {"h4", 0.5, 6, 16384},
    };
    static AprKeyDemand_t demand;
    const char *host = "h1";
    double load = 1.8;
    AprKeyMap_t map;

    (void)state;
    memset(&demand, 0, sizeof(demand));
    AprKeyMap_Init(&map);
    AprKeyMap_Assign(&map, 0, 16383, host, NULL);
    for (int key = 4000; key < 4400; key++) {
        AprKeyDemand_Add(&demand, key, 25);
    }
    assert_true(AprKeyPlan_Rebalance(&map, "h1", &load, 6, &demand, candidates,
                                     3) > 0);
    assert_true(load < 0.9);
    for (int i = 0; i < 3; i++) {
        assert_true(candidates[i].load < 0.9);
    }
    assert_true(AprKeyMap_CountKeysOf(&map, "h1") > 3000);
    /* The demand of moved keys has been cleared, so the next plan has nothing
       to move. */
    assert_int_equal(
        AprKeyPlan_Rebalance(&map, "h1", &load, 6, &demand, candidates, 3), 0);
    AprKeyMap_Free(&map);
}

/* Guards against keys that are granted by two hosts, or never, when a range
   moves on as soon as its last holder has released it: each new owner needs
   the token that belongs to its own fencing token, and those rise. */
static void
test_released_range_moves_on(void **state)
{
    AprGrant_t first = {0, 999, 2, "t1"};
    AprGrant_t second = {400, 499, 3, "t2"};
    AprGrant_t grants[MAX_GRANTS];
    static AprGrantTable_t h2;
    static AprGrantTable_t h3;
    int64_t fence;
    AprKeyMap_t map;

    (void)state;
    AprKeyMap_Init(&map);
    AprKeyMap_Assign(&map, 0, 999, "h1", NULL);
    AprKeyMap_Assign(&map, 0, 999, "h2", "h1");
    AprGrantTable_Init(&h2, "h2", GRANT_MS, 0);
    AprGrantTable_Init(&h3, "h3", GRANT_MS, 0);
    h2.authority_until_ms = 99999;
    h3.authority_until_ms = 99999;
    AprGrantTable_ApplyKeyMap(&h2, &map, 100);
    assert_false(
        AprGrantTable_IsReleased(&h2, AprKeyMap_FindRange(&map, 0), 200));
    AprGrantTable_AddHandoverToken(&h2, &first);
    assert_true(
        AprGrantTable_IsReleased(&h2, AprKeyMap_FindRange(&map, 0), 200));
    assert_int_equal(AprGrantTable_RenewGrants(&h2, &map, GENERATION, 200,
                                               grants, MAX_GRANTS),
                     1);
    fence = grants[0].fence;
    assert_string_equal(grants[0].token, "t1");

    /* A part of it goes from h2 to h3; the rest stays as it is. */
    AprKeyMap_Assign(&map, 400, 499, "h3", "h2");
    AprGrantTable_ApplyKeyMap(&h2, &map, 300);
    AprGrantTable_ApplyKeyMap(&h3, &map, 300);
    assert_true(
        AprGrantTable_IsReleased(&h2, AprKeyMap_FindRange(&map, 0), 300));
    assert_true(
        AprGrantTable_IsReleased(&h2, AprKeyMap_FindRange(&map, 999), 300));
    assert_int_equal(AprGrantTable_RenewGrants(&h2, &map, GENERATION, 300,
                                               grants, MAX_GRANTS),
                     2);
    assert_int_equal(grants[0].last, 399);
    assert_int_equal(grants[1].first, 500);
    assert_int_equal(grants[0].fence, fence);
    /* The token of the earlier move is none for this one. */
    AprGrantTable_AddHandoverToken(&h3, &first);
    assert_int_equal(AprGrantTable_RenewGrants(&h3, &map, GENERATION, 400,
                                               grants, MAX_GRANTS),
                     0);
    AprGrantTable_AddHandoverToken(&h3, &second);
    assert_int_equal(AprGrantTable_RenewGrants(&h3, &map, GENERATION, 400,
                                               grants, MAX_GRANTS),
                     1);
    assert_true(grants[0].fence > fence);
    assert_string_equal(grants[0].token, "t2");
    AprKeyMap_Free(&map);
}

/* Guards against keys that are withheld from the backend server while a change
   that merges ranges of its own host is open, and against granting keys that
   the same change gives away. */
static void
test_merged_ranges_stay_granted(void **state)
{
    AprKeyMap_t map;
    AprKeyMap_t proposal;

    (void)state;
    AprKeyMap_Init(&map);
    AprKeyMap_Assign(&map, 0, 99, "h1", NULL);
    AprKeyMap_Assign(&map, 100, 199, "h1", "h2");
    AprKeyMap_Assign(&map, 200, 299, "h1", NULL);
    AprKeyMap_Copy(&proposal, &map);
    AprKeyMap_Assign(&proposal, 0, 199, "h1", NULL);
    AprKeyMap_Assign(&proposal, 200, 299, "h2", "h1");
    AprKeyMap_UnassignChangedKeys(&map, &proposal, "h1");
    assert_int_equal(AprKeyMap_CountKeysOf(&map, "h1"), 200);
    assert_string_equal(AprKeyMap_FindRange(&map, 250)->host, "");
    AprKeyMap_Free(&map);
    AprKeyMap_Free(&proposal);
}

/* Guards against moves while the load is balanced well enough, and against an
   added backend server that never gets keys. */
static void
test_moves_keys_only_when_unbalanced(void **state)
{
    AprKeyCandidate_t calm = {"h2", 0.4, 6, 100};
    AprKeyCandidate_t added = {"h3", 0.0, 6, 0};
    static AprKeyDemand_t demand;
    const char *host = "h1";
    double load = 0.5;
    AprKeyMap_t map;

    (void)state;
    memset(&demand, 0, sizeof(demand));
    AprKeyMap_Init(&map);
    AprKeyMap_Assign(&map, 0, APR_KEY_COUNT - 1, host, NULL);
    for (int key = 0; key < APR_KEY_COUNT; key += 16) {
        AprKeyDemand_Add(&demand, key, 1);
    }
    assert_int_equal(
        AprKeyPlan_Rebalance(&map, "h1", &load, 6, &demand, &calm, 1), 0);
    assert_true(
        AprKeyPlan_Rebalance(&map, "h1", &load, 6, &demand, &added, 1) > 0);
    assert_true(AprKeyMap_CountKeysOf(&map, "h3") > 0);
    AprKeyMap_Free(&map);
}

/* Guards against plans of several hosts that all choose the same target, which
   is overloaded next. Eight overloaded hosts plan at the same time with eight
   idle ones as candidates. */
static void
test_concurrent_plans_choose_different_hosts(void **state)
{
    static AprKeyDemand_t demand;
    int chosen[8] = {0};
    int most = 0;

    (void)state;
    for (int donor = 0; donor < 8; donor++) {
        AprKeyCandidate_t candidates[8];
        char name[16];
        double load = 1.0;
        AprKeyMap_t map;

        snprintf(name, sizeof(name), "donor%d", donor);
        memset(&demand, 0, sizeof(demand));
        AprKeyMap_Init(&map);
        AprKeyMap_Assign(&map, 0, 999, name, NULL);
        for (int key = 0; key < 1000; key++) {
            AprKeyDemand_Add(&demand, key, 4);
        }
        for (int i = 0; i < 8; i++) {
            AprKeyCandidate_t idle = {"", 0.1, 4, 1000};

            snprintf(idle.host, sizeof(idle.host), "idle%d", i);
            candidates[i] = idle;
        }
        AprKeyPlan_Rebalance(&map, name, &load, 4, &demand, candidates, 8);
        for (int i = 0; i < 8; i++) {
            chosen[i] += candidates[i].load > 0.1;
        }
        AprKeyMap_Free(&map);
    }
    for (int i = 0; i < 8; i++) {
        most = chosen[i] > most ? chosen[i] : most;
    }
    print_message("most plans with one host: %d of 8\n", most);
    assert_true(most <= 4);
}

/* Guards against all hosts moving keys to an added host at once; only the most
   loaded host does. */
static void
test_only_the_most_loaded_fills_an_empty_host(void **state)
{
    AprKeyCandidate_t candidates[2] = {
        {"h2", 0.5, 6, 100},
        {"h3", 0.0, 6, 0},
    };
    static AprKeyDemand_t demand;
    const char *host = "h1";
    double load = 0.4;
    AprKeyMap_t map;

    (void)state;
    memset(&demand, 0, sizeof(demand));
    AprKeyMap_Init(&map);
    AprKeyMap_Assign(&map, 0, 9999, host, NULL);
    for (int key = 0; key < 10000; key += 16) {
        AprKeyDemand_Add(&demand, key, 1);
    }
    assert_int_equal(
        AprKeyPlan_Rebalance(&map, "h1", &load, 6, &demand, candidates, 2), 0);
    AprKeyMap_Free(&map);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_no_grant_without_authority),
        cmocka_unit_test(test_takeover_waits_for_the_last_grant),
        cmocka_unit_test(test_restart_gets_a_higher_fence),
        cmocka_unit_test(test_generation_rises_with_each_incarnation),
        cmocka_unit_test(test_waits_for_expiry_of_previous_holder),
        cmocka_unit_test(test_handover_token_frees_only_its_keys),
        cmocka_unit_test(test_held_keys_need_no_release),
        cmocka_unit_test(test_map_covers_all_keys_once),
        cmocka_unit_test(test_stored_map_part),
        cmocka_unit_test(test_parts_change_independently),
        cmocka_unit_test(test_expiry_wait_is_per_part),
        cmocka_unit_test(test_withholds_keys_of_unknown_changes),
        cmocka_unit_test(test_distributes_by_spare_capacity),
        cmocka_unit_test(test_leaving_hosts_keep_few_ranges),
        cmocka_unit_test(test_second_move_waits_for_the_first_holder),
        cmocka_unit_test(test_rebalances_hot_keys),
        cmocka_unit_test(test_moves_keys_only_when_unbalanced),
        cmocka_unit_test(test_released_range_moves_on),
        cmocka_unit_test(test_merged_ranges_stay_granted),
        cmocka_unit_test(test_concurrent_plans_choose_different_hosts),
        cmocka_unit_test(test_only_the_most_loaded_fills_an_empty_host),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
