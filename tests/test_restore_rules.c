/* Decisions after the return of the store from an older copy: what is known of
   the holders of keys, when an era is settled, and what an older generation
   record means. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "apricot/error.h"
#include "apricot/grant_table.h"
#include "apricot/store_restore.h"
#include "apricot/store_revision.h"
#include "internal/generation_record.h"

#define MAX_GRANT_MS 5000

/* What a host finds out, in order. */
typedef struct Step_t {
    int64_t at_ms;
    int64_t era;         /* that the store is in; 0: not told */
    bool kept_authority; /* when it finds out about the era */
    int64_t settled;     /* era that the store names as settled; 0: none */
    /* What then holds. */
    bool open;
    bool holders_unknown;
    bool settlement_due;
} Step_t;

static void
run_steps(const Step_t *steps, size_t count)
{
    AprStoreRestore_t restore = {0};

    for (size_t i = 0; i < count; i++) {
        const Step_t *step = &steps[i];

        if (step->era != 0) {
            AprStoreRestore_Notice(&restore, step->era, step->kept_authority,
                                   0, step->at_ms);
        }
        if (step->settled != 0) {
            AprStoreRestore_Settle(&restore, step->settled);
        }
        assert_int_equal(AprStoreRestore_IsOpen(&restore), step->open);
        assert_int_equal(AprStoreRestore_AreHoldersUnknown(&restore),
                         step->holders_unknown);
        assert_int_equal(AprStoreRestore_IsSettlementDue(
                             &restore, false, true, MAX_GRANT_MS, step->at_ms),
                         step->settlement_due);
    }
}

/* Guards against a host that trusts the key map of a copy after a start, or
   after its keys may have been taken over, and against one that stops granting
   though it never lost its authority. */
static void
test_who_knows_the_holders(void **state)
{
    static const Step_t started[] = {
        {100, 2, false, 1, true, true, false},
        {5100, 0, false, 0, true, true, false},
        {7100, 0, false, 0, true, true, true},
        {7200, 0, false, 2, false, false, false},
    };
    static const Step_t lived_through[] = {
        {100, 1, true, 1, false, false, false},
        {9000, 2, true, 0, true, false, false},
        {15999, 0, true, 0, true, false, false},
        {16000, 0, true, 0, true, false, true},
        {16000, 0, true, 2, false, false, false},
    };
    static const Step_t cut_off[] = {
        {100, 1, true, 1, false, false, false},
        {9000, 2, false, 0, true, true, false},
        /* A second return before the first one is settled. */
        {12000, 3, true, 2, true, true, false},
        {18999, 0, true, 2, true, true, false},
        {19000, 0, true, 2, true, true, true},
        {19000, 0, true, 3, false, false, false},
        {30000, 4, true, 3, true, false, false},
    };

    (void)state;
    run_steps(started, sizeof(started) / sizeof(started[0]));
    run_steps(lived_through, sizeof(lived_through) / sizeof(lived_through[0]));
    run_steps(cut_off, sizeof(cut_off) / sizeof(cut_off[0]));
}

/* Guards against any recovery with a store that names no era. */
static void
test_no_era_is_always_settled(void **state)
{
    AprStoreRestore_t restore = {0};

    (void)state;
    assert_false(AprStoreRestore_Notice(&restore, 0, false, 0, 100));
    assert_false(AprStoreRestore_IsOpen(&restore));
    assert_false(AprStoreRestore_AreHoldersUnknown(&restore));
    assert_false(
        AprStoreRestore_IsSettlementDue(&restore, true, true, 0, 1000000));
}

/* Guards against an era that stays open because the planner does not reach the
   store, and against many hosts that settle it at the same time. */
static void
test_others_settle_when_the_planner_does_not(void **state)
{
    AprStoreRestore_t restore = {0};

    (void)state;
    AprStoreRestore_Notice(&restore, 1, true, 0, 0);
    AprStoreRestore_Settle(&restore, 1);
    AprStoreRestore_Notice(&restore, 2, true, 400, 1000);
    assert_true(AprStoreRestore_IsSettlementDue(&restore, false, true,
                                                MAX_GRANT_MS, 8000));
    assert_false(AprStoreRestore_IsSettlementDue(&restore, false, false,
                                                 MAX_GRANT_MS, 11699));
    assert_true(AprStoreRestore_IsSettlementDue(&restore, false, false,
                                                MAX_GRANT_MS, 11700));
}

/* Guards against many hosts that write the same parts at the same time. */
static void
test_owners_save_first(void **state)
{
    AprStoreRestore_t restore = {0};

    (void)state;
    AprStoreRestore_Notice(&restore, 1, true, 0, 0);
    AprStoreRestore_Settle(&restore, 1);
    assert_false(AprStoreRestore_IsSaveDue(&restore, true, 10));
    assert_true(AprStoreRestore_Notice(&restore, 2, true, 12345, 1000));
    assert_true(AprStoreRestore_IsSaveDue(&restore, true, 1000));
    assert_false(AprStoreRestore_IsSaveDue(&restore, false, 1100));
    assert_true(AprStoreRestore_IsSaveDue(&restore, false, 2000));
}

static AprKvItem_t
make_record(const char *value, int64_t revision)
{
    AprKvItem_t item = {.key = "lives/h1",
                        .value = value,
                        .value_size = strlen(value),
                        .revision = revision};

    return item;
}

/* Guards against fencing tokens that go back, and against grants that end,
   because the store has lost the claim of this process. */
static void
test_lost_claim_stays_in_force(void **state)
{
    const AprBackendIncarnation_t incarnation = {"b", 20};
    AprGenerationRecord_t record = {0};
    AprKvItem_t copy = make_record(
        "{\"id\":\"a\",\"born\":10,\"generation\":6}", AprRevision_Make(2, 4));
    AprKvResult_t stored = {.code = APR_OK,
                            .revision = AprRevision_Make(1, 9)};

    (void)state;
    record.generation = 6;
    record.revision = AprRevision_Make(1, 4);
    free(AprGenerationRecord_BeginWrite(&record, &incarnation));
    AprGenerationRecord_EndWrite(&record, &stored);
    assert_int_equal(AprGenerationRecord_FindClaimed(&record, &incarnation),
                     7);

    AprGenerationRecord_OnStoreRestored(&record);
    assert_int_equal(record.revision, 0);
    assert_int_equal(AprGenerationRecord_Update(&record, &copy), APR_OK);
    assert_int_equal(record.revision, AprRevision_Make(2, 4));
    assert_true(record.claim_lost);
    assert_int_equal(AprGenerationRecord_FindClaimed(&record, &incarnation),
                     7);

    free(AprGenerationRecord_BeginWrite(&record, &incarnation));
    assert_int_equal(record.proposed_generation, 7);
    stored.revision = AprRevision_Make(2, 5);
    AprGenerationRecord_EndWrite(&record, &stored);
    assert_false(record.claim_lost);
    assert_int_equal(AprGenerationRecord_FindClaimed(&record, &incarnation),
                     7);
}

/* Guards against a record that is taken for one of an older copy though the
   store has not come back. */
static void
test_lower_generation_of_the_same_era(void **state)
{
    AprGenerationRecord_t record = {.generation = 6,
                                    .revision = AprRevision_Make(1, 4)};
    AprKvItem_t item = make_record(
        "{\"id\":\"a\",\"born\":10,\"generation\":5}", AprRevision_Make(1, 5));

    (void)state;
    assert_int_equal(AprGenerationRecord_Update(&record, &item), APR_OK);
    assert_int_equal(record.generation, 5);
    assert_string_equal(record.incarnation.id, "a");
}

/* Guards against grants under a lower generation than the backend server has
   already seen, by a process that knows only the copy. */
static void
test_held_generation_is_adopted(void **state)
{
    const AprBackendIncarnation_t incarnation = {"c", 30};
    AprGenerationRecord_t record = {0};
    AprKvItem_t copy = make_record(
        "{\"id\":\"a\",\"born\":10,\"generation\":5}", AprRevision_Make(2, 4));

    (void)state;
    assert_int_equal(AprGenerationRecord_Update(&record, &copy), APR_OK);
    AprGenerationRecord_AdoptHeld(&record, &incarnation, 7);
    assert_int_equal(AprGenerationRecord_Find(&record, &incarnation), 7);
    assert_int_equal(AprGenerationRecord_FindClaimed(&record, &incarnation),
                     0);
    free(AprGenerationRecord_BeginWrite(&record, &incarnation));
    assert_int_equal(record.proposed_generation, 7);
    assert_int_equal(record.revision, AprRevision_Make(2, 4));
    AprGenerationRecord_AdoptHeld(&record, &incarnation, 3);
    assert_int_equal(AprGenerationRecord_Find(&record, &incarnation), 7);
}

/* Guards against a grant while a previous holder that read the older key map
   has renewed its own. */
static void
test_wait_for_previous_holder_restarts(void **state)
{
    AprGrantTable_t table;
    AprKeyMap_t map;
    AprGrant_t grants[8];

    (void)state;
    AprGrantTable_Init(&table, "h2", 3000, 0);
    table.authority_until_ms = 100000;
    assert_int_equal(AprKeyMap_Init(&map), APR_OK);
    AprKeyMap_Assign(&map, 0, APR_KEYS_PER_PART - 1, "h2", "h1");
    AprGrantTable_ApplyKeyMap(&table, &map, 1000);
    assert_int_equal(
        AprGrantTable_RenewGrants(&table, &map, 1, 4000, grants, 8), 0);
    AprGrantTable_RestartWaits(&table, 1);
    AprGrantTable_ApplyKeyMap(&table, &map, 4000);
    AprGrantTable_RestartWaits(&table, 0);
    AprGrantTable_ApplyKeyMap(&table, &map, 4100);
    assert_int_equal(
        AprGrantTable_RenewGrants(&table, &map, 1, 7200, grants, 8), 0);
    assert_int_equal(
        AprGrantTable_RenewGrants(&table, &map, 1, 7300, grants, 8), 1);
    AprKeyMap_Free(&map);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_who_knows_the_holders),
        cmocka_unit_test(test_no_era_is_always_settled),
        cmocka_unit_test(test_others_settle_when_the_planner_does_not),
        cmocka_unit_test(test_owners_save_first),
        cmocka_unit_test(test_lost_claim_stays_in_force),
        cmocka_unit_test(test_lower_generation_of_the_same_era),
        cmocka_unit_test(test_held_generation_is_adopted),
        cmocka_unit_test(test_wait_for_previous_holder_restarts),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
