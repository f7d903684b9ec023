#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "apricot/record.h"

static AprRecord_t record;

static AprMember_t
expect_join(const char *host, uint64_t incarnation, int expected)
{
    AprMemberEntry_t entry = {.state = APR_MEMBER_ACTIVE,
                              .incarnation = incarnation,
                              .offered_services = 1};
    AprMember_t member = APR_NO_MEMBER;

    snprintf(entry.host, sizeof(entry.host), "%s", host);
    assert_int_equal(AprRecord_AddMember(&record, &entry, &member, NULL),
                     expected);
    return member;
}

static void
create_record(void)
{
    AprRecord_Init(&record, "cell");
    AprRecord_BeginChange(&record);
    assert_int_equal(AprRecord_AddService(&record, "desk"), 0);
}

/* Guards against a removed incarnation that joins again, and against
   partitions that keep a removed owner. */
static void
test_remove_and_rejoin(void **state)
{
    AprMember_t member;

    (void)state;
    create_record();
    member = expect_join("a", 5, APR_OK);
    expect_join("a", 6, APR_E_EXISTS);
    assert_int_equal(AprRecord_AssignPartition(&record, 0, 7, member, 3),
                     APR_OK);
    AprRecord_BeginChange(&record);
    assert_int_equal(AprRecord_RemoveMember(&record, member), APR_OK);
    assert_int_equal(record.services[0].partitions[7].owner, APR_NO_MEMBER);
    assert_int_equal(record.services[0].partitions[7].epoch, 2);
    assert_int_equal(record.services[0].partitions[7].handover_id, 0);
    expect_join("a", 5, APR_E_STALE);
    expect_join("a", 6, APR_OK);
}

/* Guards against a hot key whose owner changes or whose epoch decreases when
   its slot is bound or freed. */
static void
test_hot_slot_owner_and_epoch(void **state)
{
    uint64_t hash = AprKey_Hash("desk", "job/1", 5);
    int base = (int)(hash % APR_PARTITIONS);
    AprMember_t a;
    AprMember_t b;
    int hot;

    (void)state;
    create_record();
    a = expect_join("a", 1, APR_OK);
    b = expect_join("b", 1, APR_OK);
    assert_int_equal(AprRecord_AssignPartition(&record, 0, base, a, 0),
                     APR_OK);
    AprRecord_BeginChange(&record);
    assert_int_equal(AprRecord_BindHotSlot(&record, 0, hash, &hot), APR_OK);
    assert_int_equal(AprRecord_FindPartition(&record, 0, hash), hot);
    assert_int_equal(record.services[0].partitions[hot].owner, a);
    assert_int_equal(AprRecord_AssignPartition(&record, 0, hot, b, 9), APR_OK);
    assert_int_equal(AprRecord_FreeHotSlot(&record, 0, hot), APR_E_CONFLICT);
    AprRecord_BeginChange(&record);
    assert_int_equal(AprRecord_AssignPartition(&record, 0, hot, a, 10),
                     APR_OK);
    assert_int_equal(AprRecord_FreeHotSlot(&record, 0, hot), APR_OK);
    assert_int_equal(AprRecord_FindPartition(&record, 0, hash), base);
    assert_int_equal(record.services[0].partitions[base].epoch, 3);
}

static void
expect_rejected(const char *text, const char *from, const char *to)
{
    static AprRecord_t parsed;
    char changed[8192];
    const char *place = strstr(text, from);

    assert_non_null(place);
    snprintf(changed, sizeof(changed), "%.*s%s%s", (int)(place - text), text,
             to, place + strlen(from));
    assert_int_equal(
        AprRecord_FromJson(changed, strlen(changed), &parsed, NULL),
        APR_E_PARSE);
}

/* Guards against a parser that accepts a stored record with a field that is
   missing, unknown, out of range or inconsistent with the others. */
static void
test_parser_rejects_invalid_records(void **state)
{
    char *text;

    (void)state;
    create_record();
    AprRecord_AssignPartition(&record, 0, 0, expect_join("a", 1, APR_OK), 0);
    text = AprRecord_ToJson(&record);
    expect_rejected(text, "\"format\":1", "\"format\":2");
    expect_rejected(text, "\"version\":1", "\"version\":-1");
    expect_rejected(text, "\"version\":1", "\"version\":0");
    expect_rejected(text, "\"incarnation\":1", "\"incarnation\":0");
    expect_rejected(text, "\"incarnation\":1", "\"incarnation\":1.5");
    expect_rejected(text, "\"slot\":0", "\"slot\":64");
    expect_rejected(text, "\"slot\":0", "\"slot\":1");
    expect_rejected(text, "\"active\"", "\"free\"");
    expect_rejected(text, "\"services\":1", "\"services\":2");
    expect_rejected(text, "\"region\"", "\"regions\"");
    expect_rejected(text, "\"witnesses\":[]", "\"witnesses\":[\"a\"]");
    expect_rejected(text, "\"removed\":[]", "\"removed\":[\"a\",1]");
    expect_rejected(text, "[0,1,65535,319]", "[0,1,65535,318]");
    expect_rejected(text, "[0,1,65535,319]", "[0,1,65535,320]");
    expect_rejected(text, "[0,1,65535,319]", "[0,1,3,1,65535,318]");
    expect_rejected(text, "[0,1,65535,319]", "[65535,319,0,1]");
    expect_rejected(text, "\"hot\":[]", "\"hot\":[0,\"1\",0,\"2\"]");
    expect_rejected(text, "\"hot\":[]", "\"hot\":[0,\"1\",1,\"1\"]");
    expect_rejected(text, "\"hot\":[]", "\"hot\":[0,\"01\"]");
    expect_rejected(text, "\"desk\"", "\"\"");
    expect_rejected(text, "}", "");
    free(text);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_remove_and_rejoin),
        cmocka_unit_test(test_hot_slot_owner_and_epoch),
        cmocka_unit_test(test_parser_rejects_invalid_records),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
