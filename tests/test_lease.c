#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

#include "apricot/clock.h"
#include "apricot/lease.h"

#define HOSTS 4
#define PROMISE_AND_DRIFT_MS 919 /* 900 ms + 1 % of it + 10 ms */

static AprRecord_t record;
static AprLease_t *leases[HOSTS];
static const char *const hosts[HOSTS] = {"a", "b", "c", "d"};

static struct timespec
at(int64_t ms)
{
    return AprTime_FromMs(ms);
}

static void
apply_record_on_all_hosts(int64_t ms)
{
    for (int i = 0; i < HOSTS; i++) {
        AprLease_OnRecord(leases[i], &record, at(ms));
    }
}

/* Creates a cell of four members with incarnation 1. Each has the other three
   as witnesses. */
static int
set_up(void **state)
{
    AprLeaseSettings_t settings = AprLeaseSettings_Default();

    (void)state;
    AprRecord_Init(&record, "cell");
    AprRecord_BeginChange(&record);
    for (int i = 0; i < HOSTS; i++) {
        AprMemberEntry_t entry = {.state = APR_MEMBER_ACTIVE,
                                  .incarnation = 1};
        AprMember_t member;

        snprintf(entry.host, sizeof(entry.host), "%s", hosts[i]);
        if (AprRecord_AddMember(&record, &entry, &member, NULL) != APR_OK) {
            return -1;
        }
        leases[i] = AprLease_New(&settings, hosts[i], 1, at(0));
    }
    for (int i = 0; i < HOSTS; i++) {
        char witnesses[APR_MAX_WITNESSES][APR_NAME_SIZE];
        int count =
            AprRecord_ChooseWitnesses(&record, (AprMember_t)i, witnesses);

        AprRecord_SetWitnesses(&record, (AprMember_t)i, witnesses, count);
    }
    apply_record_on_all_hosts(0);
    return 0;
}

static int
tear_down(void **state)
{
    (void)state;
    for (int i = 0; i < HOSTS; i++) {
        AprLease_Free(leases[i]);
    }
    return 0;
}

/* Member `a` renews with its witnesses; only the first `reachable_count` of
   them receive the renewal. */
static void
renew_member_a(int64_t ms, int reachable_count)
{
    AprRenewal_t renewals[APR_MAX_WITNESSES];
    int count = AprLease_TakeDueRenewals(leases[0], at(ms), renewals,
                                         APR_MAX_WITNESSES);

    for (int i = 0; i < count && i < reachable_count; i++) {
        AprLease_t *witness = leases[renewals[i].witness[0] - 'a'];

        if (AprLease_OnRenew(witness, "a", 1, at(ms))) {
            AprLease_OnRenewAck(leases[0], renewals[i].witness, 1,
                                renewals[i].send_id);
        }
    }
}

/* Guards against a lease that is valid with fewer than two acknowledgements,
   or longer than the promise of the second latest one. */
static void
test_quorum_and_expiry(void **state)
{
    (void)state;
    assert_false(AprLease_IsValid(leases[0], at(0)));
    renew_member_a(1000, 1);
    assert_false(AprLease_IsValid(leases[0], at(1000)));
    renew_member_a(1250, 3);
    assert_true(AprLease_IsValid(leases[0], at(2149)));
    renew_member_a(1500, 1);
    assert_false(AprLease_IsValid(leases[0], at(2150)));
}

/* Guards against a witness that consents while its promise is in force or to a
   replaced record version, or that acknowledges a renewal while its consent is
   in force. */
static void
test_consent_during_promise(void **state)
{
    AprMember_t suspect;

    (void)state;
    renew_member_a(1000, 3);
    assert_false(AprLease_OnConsentRequest(
        leases[1], "a", 1, 1, at(1000 + PROMISE_AND_DRIFT_MS - 1)));
    assert_int_equal(
        AprLease_ListExpiredMembers(leases[1], at(1000 + PROMISE_AND_DRIFT_MS),
                                    &suspect, 1),
        1);
    assert_true(AprLease_OnConsentRequest(leases[1], "a", 1, 1,
                                          at(1000 + PROMISE_AND_DRIFT_MS)));
    assert_false(AprLease_OnRenew(leases[1], "a", 1, at(2000)));
    AprRecord_BeginChange(&record);
    apply_record_on_all_hosts(2100);
    assert_true(AprLease_OnRenew(leases[1], "a", 1, at(2200)));
    assert_false(AprLease_OnConsentRequest(leases[1], "a", 1, 1, at(9000)));
}

/* Guards against a restarted witness, not in the record yet, that consents
   before the promises of its previous incarnation have expired, or to the
   removal of a member that still sends renewals. */
static void
test_consent_of_restarted_witness(void **state)
{
    AprLeaseSettings_t settings = AprLeaseSettings_Default();
    AprLease_t *witness = AprLease_New(&settings, "b", 2, at(1000));

    (void)state;
    AprLease_OnRecord(witness, &record, at(1000));
    assert_false(AprLease_OnConsentRequest(
        witness, "a", 1, 1, at(1000 + PROMISE_AND_DRIFT_MS - 1)));
    assert_false(AprLease_OnRenew(witness, "a", 1, at(1900)));
    assert_false(AprLease_OnConsentRequest(witness, "a", 1, 1, at(2000)));
    assert_true(AprLease_OnConsentRequest(witness, "a", 1, 1,
                                          at(1900 + PROMISE_AND_DRIFT_MS)));
    AprLease_Free(witness);
}

/* Guards against a removal whose consents are for a replaced record version,
   or come from a witness whose newer incarnation is in the record. */
static void
test_removal_version_and_incarnation(void **state)
{
    AprMemberRemoval_t removal;
    AprMember_t member = AprRecord_FindHost(&record, "c");
    AprMemberEntry_t restarted = record.members[member];

    (void)state;
    assert_int_equal(AprMemberRemoval_Begin(&removal, &record, 0), APR_OK);
    AprMemberRemoval_AddConsent(&removal, "b", 1);
    AprMemberRemoval_AddConsent(&removal, "b", 1);
    assert_false(AprMemberRemoval_HasQuorum(&removal, &record));
    AprMemberRemoval_AddConsent(&removal, "c", 1);
    assert_true(AprMemberRemoval_HasQuorum(&removal, &record));
    AprRecord_BeginChange(&record);
    assert_false(AprMemberRemoval_HasQuorum(&removal, &record));
    AprRecord_RemoveMember(&record, member);
    restarted.incarnation = 2;
    assert_int_equal(AprRecord_AddMember(&record, &restarted, &member, NULL),
                     APR_OK);
    removal.record_version = record.version;
    assert_false(AprMemberRemoval_HasQuorum(&removal, &record));
}

/* Guards against a lease that is still valid after the member has learnt of
   its removal, and against a witness that still acknowledges the removed
   incarnation. */
static void
test_removed_member_loses_lease(void **state)
{
    (void)state;
    renew_member_a(1000, 3);
    AprRecord_BeginChange(&record);
    AprRecord_RemoveMember(&record, 0);
    assert_true(AprLease_IsValid(leases[0], at(1100)));
    apply_record_on_all_hosts(1100);
    assert_false(AprLease_IsValid(leases[0], at(1100)));
    assert_false(AprLease_IsMember(leases[0]));
    assert_true(AprLease_WasRemoved(leases[0]));
    assert_false(AprLease_OnRenew(leases[1], "a", 1, at(1200)));
}

/* Guards against a lease that is valid under only one witness list while the
   write of another list is pending. */
static void
test_validity_during_witness_change(void **state)
{
    char list[1][APR_NAME_SIZE] = {"e"};

    (void)state;
    renew_member_a(1000, 3);
    AprLease_BeginWitnessChange(leases[0], list, 1);
    assert_false(AprLease_IsValid(leases[0], at(1100)));
    AprLease_EndWitnessChange(leases[0]);
    assert_true(AprLease_IsValid(leases[0], at(1100)));
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup_teardown(test_quorum_and_expiry, set_up,
                                        tear_down),
        cmocka_unit_test_setup_teardown(test_consent_during_promise, set_up,
                                        tear_down),
        cmocka_unit_test_setup_teardown(test_consent_of_restarted_witness,
                                        set_up, tear_down),
        cmocka_unit_test_setup_teardown(test_removal_version_and_incarnation,
                                        set_up, tear_down),
        cmocka_unit_test_setup_teardown(test_removed_member_loses_lease,
                                        set_up, tear_down),
        cmocka_unit_test_setup_teardown(test_validity_during_witness_change,
                                        set_up, tear_down),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
