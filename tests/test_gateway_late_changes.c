/* Changes of the key map that the store carries out after their sender has
   given up waiting for the answer. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "gateway_cluster.h"
#include "internal/lease_timing.h"
#include "internal/store_cache_state.h"

#define START_TIMEOUT_S 6.0

/* Longest time until a gateway without heartbeats gives its keys to other
   hosts: the end of the last grant, and some ticks. */
#define REASSIGN_TIMEOUT_S 5.0

static Cluster_t cluster;

static void
start_with_all_keys_held(void)
{
    cluster_start(&cluster);
    assert_true(cluster_wait_until_held(&cluster, START_TIMEOUT_S) <
                START_TIMEOUT_S);
}

/* Silences the heartbeats of a host until its gateway gives the keys to other
   hosts, and loses that change. */
static void
lose_change_of_silent_host(ClusterHost_t *host)
{
    ev_timer_stop(cluster.loop, &host->heartbeat_timer);
    cluster.store.lost_prefix = "apricot/keys/";
    for (double waited_s = 0;
         waited_s < REASSIGN_TIMEOUT_S && !cluster.store.has_late_change;
         waited_s += 0.1) {
        cluster_run_for(&cluster, 0.1);
    }
    assert_true(cluster.store.has_late_change);
}

/* Carries out the lost change just after a heartbeat of its sender's host, so
   that the other hosts see the change before the next one. Asserts that no key
   gets a second holder. */
static void
assert_late_change_is_harmless(const ClusterHost_t *host)
{
    int64_t sequence = host->sequence;

    while (host->sequence == sequence) {
        cluster_run_for(&cluster, 0.02);
    }
    cluster_run_for(&cluster, 0.02);
    store_apply_late_change(&cluster.store);
    cluster_run_for(&cluster, 3 * CLUSTER_HEARTBEAT_S);
    assert_int_equal(cluster.overlaps, 0);
    assert_true(cluster_wait_until_held(&cluster, START_TIMEOUT_S) <
                START_TIMEOUT_S);
    assert_int_equal(cluster.overlaps, 0);
}

/* Loses a change, restarts its sender, and carries the change out when the
   restarted process has granted the keys. */
static void
check_restart_voids_change(bool new_incarnation)
{
    ClusterHost_t *host = &cluster.hosts[1];

    start_with_all_keys_held();
    lose_change_of_silent_host(host);
    cluster_run_for(&cluster, 0.2);
    host_kill_gateway(host);
    if (new_incarnation) {
        host_kill_backend(host);
        host_start_backend(host);
    }
    cluster_run_for(&cluster, 0.3);
    host_start_gateway(host);
    ev_timer_start(cluster.loop, &host->heartbeat_timer);
    assert_true(cluster_wait_until_held(&cluster, 2.0) < 2.0);
    assert_late_change_is_harmless(host);
    cluster_stop(&cluster);
}

/* Guards against two holders of a key when a change of a killed process is
   carried out after a new incarnation of its backend server got the keys. */
static void
test_restart_voids_change_before_new_incarnation(void **state)
{
    (void)state;
    check_restart_voids_change(true);
}

/* Guards against the same when the backend server did not restart. */
static void
test_restart_voids_change_of_same_incarnation(void **state)
{
    (void)state;
    check_restart_voids_change(false);
}

/* Guards against two holders of a key when a change is carried out after its
   sender has dropped it, because the store refused the repetition. */
static void
test_refused_repetition_keeps_change_open(void **state)
{
    ClusterHost_t *host = &cluster.hosts[1];

    (void)state;
    start_with_all_keys_held();
    lose_change_of_silent_host(host);
    host->store_refuses_changes = true;
    cluster_run_for(&cluster, CLUSTER_STORE_TIMEOUT_S + 0.5);
    ev_timer_start(cluster.loop, &host->heartbeat_timer);
    cluster_run_for(&cluster, 3 * CLUSTER_HEARTBEAT_S);
    assert_late_change_is_harmless(host);
    host->store_refuses_changes = false;
    cluster_run_for(&cluster, 1.0);
    assert_int_equal(cluster_count_unheld_keys(&cluster), 0);
    assert_int_equal(cluster.overlaps, 0);
    cluster_stop(&cluster);
}

/* Returns the revision of the last change of the key map. */
static int64_t
key_map_revision(void)
{
    int64_t revision = 0;

    for (int i = 0; i < cluster.store.item_count; i++) {
        const StoreItem_t *item = &cluster.store.items[i];

        if (strncmp(item->key, "apricot/keys/", 13) == 0 &&
            item->revision > revision) {
            revision = item->revision;
        }
    }
    return revision;
}

/* Guards against keys that move although their backend server has restarted,
   because the open change is repeated before the new incarnation has claimed
   them. */
static void
test_restarted_server_keeps_keys_of_open_change(void **state)
{
    ClusterHost_t *host = &cluster.hosts[1];
    int64_t revision;

    (void)state;
    start_with_all_keys_held();
    revision = key_map_revision();
    lose_change_of_silent_host(host);
    host->store_refuses_changes = true;
    host_kill_backend(host);
    host_start_backend(host);
    ev_timer_start(cluster.loop, &host->heartbeat_timer);
    cluster_run_for(&cluster, CLUSTER_STORE_TIMEOUT_S - 0.2);
    /* The store serves the host again, and the lost attempt times out, before
       the next heartbeat. */
    ev_timer_stop(cluster.loop, &host->heartbeat_timer);
    host->store_refuses_changes = false;
    cluster_run_for(&cluster, 0.35);
    ev_timer_start(cluster.loop, &host->heartbeat_timer);
    assert_true(cluster_wait_until_held(&cluster, 2.0) < 2.0);
    assert_int_equal(key_map_revision(), revision);
    assert_late_change_is_harmless(host);
    cluster_stop(&cluster);
}

/* Guards against keys that stay withheld after a repetition has shown that the
   lost change will not be carried out. */
static void
test_settled_change_frees_the_keys(void **state)
{
    ClusterHost_t *host = &cluster.hosts[1];

    (void)state;
    start_with_all_keys_held();
    lose_change_of_silent_host(host);
    host->store_refuses_changes = true;
    cluster_run_for(&cluster, CLUSTER_STORE_TIMEOUT_S + 0.5);
    ev_timer_start(cluster.loop, &host->heartbeat_timer);
    host->store_refuses_changes = false;
    assert_true(cluster_wait_until_held(&cluster, 2.0) < 2.0);
    assert_late_change_is_harmless(host);
    cluster_stop(&cluster);
}

/* Starts the cluster and loses the write of a new number of slots to the entry
   of h1. */
static ClusterHost_t *
lose_write_of_entry(int slots)
{
    ClusterHost_t *host = &cluster.hosts[1];

    start_with_all_keys_held();
    cluster.store.lost_prefix = "apricot/hosts/h1";
    host->slots = slots;
    cluster_run_for(&cluster, 2 * CLUSTER_HEARTBEAT_S);
    assert_true(cluster.store.has_late_change);
    return host;
}

static void
assert_entry_names_slots(int slots)
{
    const StoreItem_t *item =
        store_find_item(&cluster.store, "apricot/hosts/h1");
    char text[32];

    snprintf(text, sizeof(text), "\"slots\":%d,", slots);
    assert_false(item->removed);
    assert_non_null(strstr(item->value, text));
}

/* Guards against an entry that is replaced by an older one, which an earlier
   process wrote: once the later process has written its own, and before. */
static void
test_late_entry_does_not_replace_newer_one(void **state)
{
    ClusterHost_t *host = lose_write_of_entry(5);

    (void)state;
    host_kill_gateway(host);
    host->slots = 6;
    host_start_gateway(host);
    cluster_run_for(&cluster, 1.0);
    assert_entry_names_slots(6);
    assert_false(store_apply_late_change(&cluster.store));
    cluster_run_for(&cluster, 1.0);
    assert_entry_names_slots(6);
    cluster_stop(&cluster);

    host = lose_write_of_entry(5);
    host_kill_gateway(host);
    host->slots = 4;
    host_start_gateway(host);
    cluster_run_for(&cluster, 1.0);
    assert_true(store_apply_late_change(&cluster.store));
    cluster_run_for(&cluster, 1.0);
    assert_entry_names_slots(4);
    cluster_stop(&cluster);
}

/* Guards against an entry that is written twice, and against a host that does
   not go on, when the response to the write is lost. The entry is read first:
   the write has been carried out here. */
static void
test_entry_is_read_after_a_lost_response(void **state)
{
    ClusterHost_t *host = lose_write_of_entry(5);
    int64_t revision;

    (void)state;
    assert_true(store_apply_late_change(&cluster.store));
    revision = store_find_item(&cluster.store, "apricot/hosts/h1")->revision;
    cluster_run_for(&cluster, CLUSTER_STORE_TIMEOUT_S + 1.0);
    assert_int_equal(
        store_find_item(&cluster.store, "apricot/hosts/h1")->revision,
        revision);
    assert_true(AprStoreCache_IsRegistered(host->gateway->store_cache));
    host->slots = 6;
    cluster_run_for(&cluster, 1.0);
    assert_entry_names_slots(6);
    assert_int_equal(cluster_count_unheld_keys(&cluster), 0);
    assert_int_equal(cluster.overlaps, 0);
    cluster_stop(&cluster);
}

/* Renewals of one lease, which the store carries out when they are sent, and
   answers in answer_renewal(). */
static int64_t held_lease;
static struct {
    AprKvCallback_t done;
    void *context;
    int code;
} held_renewals[16];
static int held_renewal_count;

/* Keeps the answer to a renewal of `held_lease`; an operation of the store. */
static void
hold_renewal(void *self, int64_t id, AprKvCallback_t done, void *context)
{
    StoreLease_t *lease = store_find_lease(&cluster.store, id);
    int at = held_renewal_count;

    if (id != held_lease) {
        store_renew_lease(self, id, done, context);
        return;
    }
    assert_in_range(at, 0, 15);
    held_renewal_count++;
    held_renewals[at].done = done;
    held_renewals[at].context = context;
    held_renewals[at].code = lease == NULL ? APR_E_NOT_FOUND : APR_OK;
    if (lease != NULL) {
        lease->expires_s = ev_now(cluster.loop) + lease->ttl_s;
    }
}

static void
answer_renewal(int at)
{
    AprKvResult_t result = {.code = held_renewals[at].code};

    held_renewals[at].done(held_renewals[at].context, &result);
}

/* Guards against another registration, with another write of the entry,
   because of a late answer that a lease has ended which was replaced
   meanwhile: while the new one is requested, and once the entry is written. */
static void
test_late_end_of_replaced_lease_is_ignored(void **state)
{
    (void)state;
    for (int registered = 0; registered < 2; registered++) {
        ClusterHost_t *host = &cluster.hosts[1];
        const AprRegistration_t *registration;
        int64_t old_lease;
        int leases;

        start_with_all_keys_held();
        registration = &host->gateway->store_cache->registration;
        old_lease = registration->lease_id;
        leases = cluster.store.lease_count;
        held_renewal_count = 0;
        held_lease = old_lease;
        host->kv.renew_lease = hold_renewal;
        store_find_lease(&cluster.store, old_lease)->expires_s = 0;
        while (held_renewal_count == 0) {
            cluster_run_for(&cluster, 0.02);
        }
        store_remove_leased_items(&cluster.store, old_lease);
        while (registration->step != APR_LEASE_REQUESTED) {
            ev_run(cluster.loop, EVRUN_ONCE);
        }
        while (registered && registration->step != APR_LEASE_REGISTERED) {
            ev_run(cluster.loop, EVRUN_ONCE);
        }
        answer_renewal(0);
        cluster_run_for(&cluster, 1.5);
        assert_int_equal(cluster.store.lease_count, leases + 1);
        assert_int_equal(registration->step, APR_LEASE_REGISTERED);
        assert_int_not_equal(registration->lease_id, old_lease);
        assert_int_equal(cluster.overlaps, 0);
        cluster_stop(&cluster);
    }
}

/* Runs until renewal number `count` is held; returns the time after that. */
static int64_t
wait_for_held_renewal(const ClusterHost_t *host, int count)
{
    while (held_renewal_count < count) {
        cluster_run_for(&cluster, 0.02);
    }
    return AprGateway_NowMs(host->gateway);
}

static int64_t
authority_until_ms(const ClusterHost_t *host)
{
    int64_t left_ms;

    AprOwnership_GetOwnKeyMap(host->gateway->ownership, &left_ms);
    return AprGateway_NowMs(host->gateway) + left_ms;
}

/* Guards against authority that lasts longer than the lease: a late answer to
   one request for a renewal by another host must not count from the next
   request, for which the lease may have ended. */
static void
test_late_renewal_by_peer_counts_from_its_request(void **state)
{
    ClusterHost_t *host = &cluster.hosts[1];
    int64_t first_ms;
    int64_t second_ms;

    (void)state;
    start_with_all_keys_held();
    held_renewal_count = 0;
    held_lease = host->gateway->store_cache->registration.lease_id;
    for (int i = 0; i < CLUSTER_HOSTS; i++) {
        cluster.hosts[i].kv.renew_lease =
            i == host->index ? store_renew_lease : hold_renewal;
    }
    host->store_silent = true;
    first_ms = wait_for_held_renewal(host, 1);
    second_ms = wait_for_held_renewal(host, 2);
    answer_renewal(0);
    cluster_run_for(&cluster, 0.1);
    assert_true(authority_until_ms(host) <= first_ms + APR_GRANT_AUTHORITY_MS);
    answer_renewal(1);
    cluster_run_for(&cluster, 0.1);
    assert_true(authority_until_ms(host) > first_ms + APR_GRANT_AUTHORITY_MS);
    assert_true(authority_until_ms(host) <=
                second_ms + APR_GRANT_AUTHORITY_MS);
    cluster_stop(&cluster);
}

static bool
is_stored(const char *key)
{
    const StoreItem_t *item = store_find_item(&cluster.store, key);

    return item != NULL && !item->removed;
}

/* Guards against lease items of hosts that are gone for good: those of a lost
   host and of one that stopped without keys are removed, that of a host which
   stopped with keys stays. One that comes back has an item again. */
static void
test_lease_items_of_gone_hosts_are_removed(void **state)
{
    ClusterHost_t *stopped = &cluster.hosts[2];
    ClusterHost_t *lost = &cluster.hosts[3];

    (void)state;
    start_with_all_keys_held();
    host_kill_gateway(lost);
    host_kill_backend(lost);
    AprGateway_Stop(cluster.hosts[1].gateway);
    stopped->leaving = true;
    cluster_run_for(&cluster, 1.0);
    AprGateway_Stop(stopped->gateway);
    for (int i = 1; i <= 2; i++) {
        while (cluster.hosts[i].gateway->stop_step != APR_STOP_DONE) {
            ev_run(cluster.loop, EVRUN_ONCE);
        }
        host_kill_gateway(&cluster.hosts[i]);
    }
    assert_false(is_stored("apricot/leases/h2"));
    assert_true(is_stored("apricot/leases/h1"));
    host_kill_backend(stopped);
    stopped->leaving = false;
    host_start_backend(stopped);
    host_start_gateway(stopped);
    host_start_gateway(&cluster.hosts[1]);
    assert_true(cluster_wait_until_held(&cluster, 15) < 15);
    assert_true(is_stored("apricot/leases/h1"));
    assert_true(is_stored("apricot/leases/h2"));
    assert_false(is_stored("apricot/leases/h3"));
    host_start_backend(lost);
    host_start_gateway(lost);
    cluster_run_for(&cluster, 2.0);
    assert_true(is_stored("apricot/leases/h3"));
    /* As the removal of an earlier process does when it is carried out late.
     */
    cluster.store.revision++;
    store_put_item(&cluster.store, "apricot/leases/h1", NULL, 0);
    cluster_run_for(&cluster, 1.0);
    assert_true(is_stored("apricot/leases/h1"));
    assert_int_equal(cluster.overlaps, 0);
    cluster_stop(&cluster);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_restart_voids_change_before_new_incarnation),
        cmocka_unit_test(test_restart_voids_change_of_same_incarnation),
        cmocka_unit_test(test_refused_repetition_keeps_change_open),
        cmocka_unit_test(test_restarted_server_keeps_keys_of_open_change),
        cmocka_unit_test(test_settled_change_frees_the_keys),
        cmocka_unit_test(test_late_entry_does_not_replace_newer_one),
        cmocka_unit_test(test_entry_is_read_after_a_lost_response),
        cmocka_unit_test(test_late_end_of_replaced_lease_is_ignored),
        cmocka_unit_test(test_late_renewal_by_peer_counts_from_its_request),
        cmocka_unit_test(test_lease_items_of_gone_hosts_are_removed),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
