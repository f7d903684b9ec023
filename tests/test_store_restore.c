/* The store comes back from an older copy, and something else happens after
   that. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "gateway_cluster.h"

#define START_TIMEOUT_S 6.0

/* Longest time until an era is settled and the keys that waited for that are
   held. */
#define SETTLE_TIMEOUT_S 9.0

/* Longest time until the other hosts hold the keys of a lost one, when the era
   is settled. */
#define REMOVAL_TIMEOUT_S 12.0

static Cluster_t cluster;

static void
start_in_first_era(void)
{
    cluster_start_in_first_era(&cluster);
    assert_true(cluster_wait_until_held(&cluster, START_TIMEOUT_S) <
                START_TIMEOUT_S);
    cluster_run_for(&cluster, 0.5);
}

/* Moves all keys of a host to the others in a planned way, and replaces its
   backend server by one that holds no keys. */
static void
move_keys_away(ClusterHost_t *host)
{
    host->leaving = true;
    cluster_run_for(&cluster, 2.0);
    assert_int_equal(host->held_count, 0);
    assert_int_equal(cluster_count_unheld_keys(&cluster), 0);
    host_kill_backend(host);
    host->leaving = false;
    host_start_backend(host);
    cluster_run_for(&cluster, 1.0);
    assert_int_equal(cluster.overlaps, 0);
    assert_int_equal(cluster_count_unheld_keys(&cluster), 0);
}

static void
restart_gateway(ClusterHost_t *host)
{
    host_kill_gateway(host);
    cluster_run_for(&cluster, 0.3);
    host_start_gateway(host);
}

/* Asserts that no key has two holders for some time and that each has one at
   its end. */
static void
assert_keys_are_held(double seconds)
{
    cluster_run_for(&cluster, seconds);
    assert_int_equal(cluster.overlaps, 0);
    assert_int_equal(cluster_count_unheld_keys(&cluster), 0);
}

/* Returns the index of the host that holds a key, or -1. */
static int
find_holder(int key)
{
    for (int i = 0; i < CLUSTER_HOSTS; i++) {
        if (host_holds_key(&cluster.hosts[i], key)) {
            return i;
        }
    }
    return -1;
}

/* Returns the fencing token under which a key is held, 0 if it is not. */
static int64_t
find_fence(int key)
{
    int holder = find_holder(key);

    for (int i = 0; holder >= 0 && i < cluster.hosts[holder].held_count; i++) {
        const AprGrant_t *grant = &cluster.hosts[holder].held[i];

        if (grant->first <= key && key <= grant->last) {
            return grant->fence;
        }
    }
    return 0;
}

/* Guards against two holders of the keys that had moved when the store came
   back with the key map of before, and a host is restarted then (review/11).
 */
static void
test_restarted_host_grants_no_moved_keys(void **state)
{
    (void)state;
    start_in_first_era();
    store_take_copy(&cluster.store);
    move_keys_away(&cluster.hosts[1]);
    cluster_return_from_copy(&cluster);
    assert_keys_are_held(3.0);
    restart_gateway(&cluster.hosts[1]);
    assert_keys_are_held(3.0);
    restart_gateway(&cluster.hosts[2]);
    assert_keys_are_held(SETTLE_TIMEOUT_S);
    cluster_stop(&cluster);
}

/* Guards against the same when the host is restarted before the others have
   read the store again. */
static void
test_host_restarted_in_the_gap_grants_no_moved_keys(void **state)
{
    ClusterHost_t *host = &cluster.hosts[1];

    (void)state;
    start_in_first_era();
    store_take_copy(&cluster.store);
    move_keys_away(host);
    cluster.store.down = true;
    cluster_run_for(&cluster, CLUSTER_STORE_AWAY_S);
    host_kill_gateway(host);
    cluster.store.watch_poll_s = 0.5;
    store_return_from_copy(&cluster.store);
    host_start_gateway(host);
    assert_keys_are_held(SETTLE_TIMEOUT_S);
    cluster_stop(&cluster);
}

/* Guards against keys that move, or that nobody holds for a while, though
   nothing but the return happens. */
static void
test_owners_go_on_through_the_return(void **state)
{
    int holders[APR_KEY_COUNT / 97 + 1];
    int64_t fences[APR_KEY_COUNT / 97 + 1];

    (void)state;
    start_in_first_era();
    store_take_copy(&cluster.store);
    move_keys_away(&cluster.hosts[1]);
    for (int i = 0; i * 97 < APR_KEY_COUNT; i++) {
        holders[i] = find_holder(i * 97);
        fences[i] = find_fence(i * 97);
    }
    cluster.store.down = true;
    cluster_run_for(&cluster, CLUSTER_STORE_AWAY_S);
    store_return_from_copy(&cluster.store);
    for (int step = 0; step < 120; step++) {
        assert_keys_are_held(0.1);
        for (int i = 0; i * 97 < APR_KEY_COUNT; i++) {
            assert_int_equal(find_holder(i * 97), holders[i]);
            assert_int_equal(find_fence(i * 97), fences[i]);
        }
    }
    cluster_stop(&cluster);
}

/* Guards against keys without an owner after the loss of a host that follows
   the return (issue 45). */
static void
test_host_lost_after_the_return_is_replaced(void **state)
{
    ClusterHost_t *host = &cluster.hosts[2];

    (void)state;
    start_in_first_era();
    store_take_copy(&cluster.store);
    move_keys_away(&cluster.hosts[1]);
    cluster_return_from_copy(&cluster);
    assert_keys_are_held(2.0);
    host_kill_gateway(host);
    host_kill_backend(host);
    /* Until the grants of the backend server have ended. */
    cluster_run_for(&cluster, 5.0);
    assert_true(cluster_wait_until_held(&cluster,
                                        SETTLE_TIMEOUT_S + REMOVAL_TIMEOUT_S) <
                SETTLE_TIMEOUT_S + REMOVAL_TIMEOUT_S);
    assert_int_equal(cluster.overlaps, 0);
    cluster_stop(&cluster);
}

/* Guards against lost assignments when no process remembers them: only the
   backend servers do. */
static void
test_all_processes_restarted_in_the_gap(void **state)
{
    (void)state;
    start_in_first_era();
    store_take_copy(&cluster.store);
    move_keys_away(&cluster.hosts[1]);
    cluster.store.down = true;
    for (int i = 0; i < CLUSTER_HOSTS; i++) {
        restart_gateway(&cluster.hosts[i]);
    }
    store_return_from_copy(&cluster.store);
    cluster_run_for(&cluster, 1.0);
    assert_true(cluster_wait_until_held(&cluster, SETTLE_TIMEOUT_S) <
                SETTLE_TIMEOUT_S);
    assert_keys_are_held(SETTLE_TIMEOUT_S);
    cluster_stop(&cluster);
}

/* Guards against two holders, and against equal fencing tokens, when the store
   comes back twice and keys move in between. */
static void
test_two_returns_with_moves(void **state)
{
    int64_t fences[APR_KEY_COUNT / 97 + 1];

    (void)state;
    start_in_first_era();
    store_take_copy(&cluster.store);
    move_keys_away(&cluster.hosts[1]);
    cluster_return_from_copy(&cluster);
    assert_keys_are_held(3.0);
    move_keys_away(&cluster.hosts[3]);
    for (int i = 0; i * 97 < APR_KEY_COUNT; i++) {
        fences[i] = find_fence(i * 97);
    }
    cluster_return_from_copy(&cluster);
    assert_keys_are_held(1.0);
    restart_gateway(&cluster.hosts[3]);
    assert_keys_are_held(SETTLE_TIMEOUT_S);
    move_keys_away(&cluster.hosts[0]);
    assert_keys_are_held(2.0);
    for (int i = 0; i * 97 < APR_KEY_COUNT; i++) {
        assert_true(find_fence(i * 97) >= fences[i]);
    }
    cluster_stop(&cluster);
}

/* Guards against two holders when the store has accepted a hand-over without a
   response and then lost it. */
static void
test_hand_over_without_a_response(void **state)
{
    ClusterHost_t *host = &cluster.hosts[1];

    (void)state;
    start_in_first_era();
    store_take_copy(&cluster.store);
    cluster.store.lost_prefix = "apricot/keys/";
    host->leaving = true;
    cluster_run_for(&cluster, CLUSTER_HEARTBEAT_S + 0.2);
    assert_true(cluster.store.has_late_change);
    assert_true(store_apply_late_change(&cluster.store));
    cluster_run_for(&cluster, 0.3);
    cluster_return_from_copy(&cluster);
    cluster_run_for(&cluster, 3.0);
    host->leaving = false;
    restart_gateway(host);
    assert_keys_are_held(SETTLE_TIMEOUT_S);
    cluster_stop(&cluster);
}

/* Guards against a change that other hosts do not see because its revision is
   one that they knew before the return. */
static void
test_revision_given_out_again_hides_no_change(void **state)
{
    (void)state;
    start_in_first_era();
    store_take_copy(&cluster.store);
    move_keys_away(&cluster.hosts[1]);
    cluster_return_from_copy(&cluster);
    assert_keys_are_held(1.0);
    move_keys_away(&cluster.hosts[2]);
    assert_keys_are_held(SETTLE_TIMEOUT_S);
    for (int i = 0; i < CLUSTER_HOSTS; i++) {
        AprOwnership_t *ownership = cluster.hosts[i].gateway->ownership;

        for (int key = 0; key < APR_KEY_COUNT; key += 97) {
            const char *owner =
                AprOwnership_FindOwner(ownership, CLUSTER_SERVICE, key);

            assert_string_equal(owner,
                                cluster.hosts[find_holder(key)].settings.host);
        }
    }
    cluster_stop(&cluster);
}

/* Guards against a host that the store has turned away across the return, and
   whose keys others hold when it is heard again. */
static void
test_host_cut_off_across_the_return(void **state)
{
    ClusterHost_t *host = &cluster.hosts[1];

    (void)state;
    start_in_first_era();
    store_take_copy(&cluster.store);
    move_keys_away(&cluster.hosts[3]);
    host->store_silent = true;
    cluster_return_from_copy(&cluster);
    cluster_run_for(&cluster, 4.0);
    assert_int_equal(cluster.overlaps, 0);
    host->store_silent = false;
    assert_true(cluster_wait_until_held(&cluster, SETTLE_TIMEOUT_S) <
                SETTLE_TIMEOUT_S);
    assert_keys_are_held(SETTLE_TIMEOUT_S);
    cluster_stop(&cluster);
}

/* Guards against the loss of a key map that the copy does not have at all. */
static void
test_copy_from_before_the_first_key_map(void **state)
{
    (void)state;
    cluster_init(&cluster);
    cluster.store.revision = AprRevision_Make(1, 1);
    store_put_item(&cluster.store, "config", "1", 0);
    store_take_copy(&cluster.store);
    cluster_start_hosts(&cluster);
    assert_true(cluster_wait_until_held(&cluster, START_TIMEOUT_S) <
                START_TIMEOUT_S);
    cluster_return_from_copy(&cluster);
    assert_keys_are_held(SETTLE_TIMEOUT_S);
    restart_gateway(&cluster.hosts[1]);
    assert_keys_are_held(4.0);
    cluster_stop(&cluster);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_restarted_host_grants_no_moved_keys),
        cmocka_unit_test(test_host_restarted_in_the_gap_grants_no_moved_keys),
        cmocka_unit_test(test_owners_go_on_through_the_return),
        cmocka_unit_test(test_host_lost_after_the_return_is_replaced),
        cmocka_unit_test(test_all_processes_restarted_in_the_gap),
        cmocka_unit_test(test_two_returns_with_moves),
        cmocka_unit_test(test_hand_over_without_a_response),
        cmocka_unit_test(test_revision_given_out_again_hides_no_change),
        cmocka_unit_test(test_host_cut_off_across_the_return),
        cmocka_unit_test(test_copy_from_before_the_first_key_map),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
