/* A host that comes back after the other hosts have given its keys away. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "gateway_cluster.h"
#include "internal/links_state.h"

#define START_TIMEOUT_S 6.0

/* Longest time until the other hosts hold the keys of a lost one. */
#define REMOVAL_TIMEOUT_S 12.0

/* An address at which nothing listens. */
#define CLOSED_ADDRESS "127.0.0.1:1"

static Cluster_t cluster;

static void
start_with_all_keys_held(void)
{
    cluster_start(&cluster);
    assert_true(cluster_wait_until_held(&cluster, START_TIMEOUT_S) <
                START_TIMEOUT_S);
}

/* Cuts or restores the links that one host opens to another one. */
static void
set_link(ClusterHost_t *from, const ClusterHost_t *to, bool cut)
{
    AprHost_t *member =
        AprMembers_Find(from->gateway->members, to->settings.host);
    AprGatewayLink_t *link =
        AprLinks_FindOutbound(from->gateway->links, to->settings.host);

    strcpy(member->address, cut ? CLOSED_ADDRESS : to->settings.listen_peers);
    if (cut && link != NULL && link->stream != NULL) {
        AprGatewayLink_CloseOutbound(link, "cut");
    }
}

/* Cuts or restores the links between a host and all others. */
static void
set_links(ClusterHost_t *host, bool cut)
{
    strcpy(host->gateway->settings.advertise_peers, cut ? CLOSED_ADDRESS : "");
    for (int i = 0; i < CLUSTER_HOSTS; i++) {
        if (&cluster.hosts[i] != host) {
            set_link(host, &cluster.hosts[i], cut);
            set_link(&cluster.hosts[i], host, cut);
        }
    }
}

/* Cuts a host off until the other hosts hold its keys. */
static void
cut_off_until_removed(ClusterHost_t *host)
{
    host->store_silent = true;
    set_links(host, true);
    /* Until the grants of the backend server have ended. */
    cluster_run_for(&cluster, 5.0);
    assert_true(cluster_wait_until_held(&cluster, REMOVAL_TIMEOUT_S) <
                REMOVAL_TIMEOUT_S);
    assert_int_equal(cluster.overlaps, 0);
}

static bool
holds_any_key(const ClusterHost_t *host)
{
    return ev_now(cluster.loop) < host->held_until_s && host->held_count > 0;
}

/* Lets a host reach the store again while all watches of the store are silent,
   so that it registers before it learns of any change. */
static void
reconnect_store_without_watches(ClusterHost_t *host)
{
    cluster.store.ignores_watches = true;
    cluster_run_for(&cluster, 1.0);
    host->store_silent = false;
}

/* Waits until a host has registered, and for some heartbeats more. */
static void
wait_until_registered(const ClusterHost_t *host)
{
    const AprStoreCache_t *cache = host->gateway->store_cache;

    for (int i = 0; i < 60 && !AprStoreCache_IsRegistered(cache); i++) {
        cluster_run_for(&cluster, 0.1);
    }
    assert_true(AprStoreCache_IsRegistered(cache));
    cluster_run_for(&cluster, 4 * CLUSTER_HEARTBEAT_S);
}

/* Asserts that no key gets a second holder once the watches are answered and
   the links are back. */
static void
assert_return_is_harmless(ClusterHost_t *host)
{
    cluster.store.ignores_watches = false;
    set_links(host, false);
    cluster_run_for(&cluster, 3.0);
    assert_int_equal(cluster.overlaps, 0);
    assert_int_equal(cluster_count_unheld_keys(&cluster), 0);
    cluster_stop(&cluster);
}

/* Guards against two holders of a key when a host that was cut off registers
   again and grants keys by its key map from before. */
static void
test_returning_host_grants_no_lost_keys(void **state)
{
    ClusterHost_t *host = &cluster.hosts[1];

    (void)state;
    start_with_all_keys_held();
    cut_off_until_removed(host);
    reconnect_store_without_watches(host);
    wait_until_registered(host);
    assert_int_equal(cluster.overlaps, 0);
    assert_false(holds_any_key(host));
    assert_return_is_harmless(host);
}

/* Guards against the same when the store carries out the registration without
   an answer, and the host learns of it from its entry. */
static void
test_unanswered_registration_grants_no_lost_keys(void **state)
{
    ClusterHost_t *host = &cluster.hosts[1];

    (void)state;
    start_with_all_keys_held();
    cut_off_until_removed(host);
    cluster.store.lost_prefix = "apricot/hosts/";
    reconnect_store_without_watches(host);
    for (int i = 0; i < 40 && !cluster.store.has_late_change; i++) {
        cluster_run_for(&cluster, 0.05);
    }
    assert_true(store_apply_late_change(&cluster.store));
    wait_until_registered(host);
    assert_int_equal(cluster.overlaps, 0);
    assert_false(holds_any_key(host));
    assert_return_is_harmless(host);
}

/* Guards against the same when the store stops answering before the host can
   register again: the reports of the other hosts must not give it the
   authority that it had before. */
static void
test_outage_returns_no_lost_keys(void **state)
{
    ClusterHost_t *host = &cluster.hosts[1];

    (void)state;
    start_with_all_keys_held();
    cut_off_until_removed(host);
    cluster.store.down = true;
    host->store_silent = false;
    set_links(host, false);
    cluster_run_for(&cluster, 4.0);
    assert_int_equal(cluster.overlaps, 0);
    assert_false(holds_any_key(host));
    cluster.store.down = false;
    assert_return_is_harmless(host);
}

/* Ends the lease of a host's entry, as a host that misses it does. */
static void
end_lease(const ClusterHost_t *host)
{
    char key[128];
    const StoreItem_t *entry;

    snprintf(key, sizeof(key), "apricot/hosts/%s", host->settings.host);
    entry = store_find_item(&cluster.store, key);
    store_find_lease(&cluster.store, entry->lease)->expires_s = 0;
    store_remove_leased_items(&cluster.store, entry->lease);
}

/* Guards against keys without a holder when a host registers again that has
   lost none: its grants must not wait for the watches, which are silent. */
static void
test_returning_host_keeps_its_keys(void **state)
{
    ClusterHost_t *host = &cluster.hosts[1];
    double granted_s = 0; /* time from a reply to the end of its grants */
    double longest_s = 0; /* between two replies with grants */

    (void)state;
    start_with_all_keys_held();
    granted_s = host->held_until_s - host->grants_changed_s;
    cluster.store.ignores_watches = true;
    cluster_run_for(&cluster, 1.0);
    end_lease(host);
    for (int i = 0; i < 150; i++) {
        cluster_run_for(&cluster, 0.02);
        longest_s = MAX(longest_s,
                        ev_now(cluster.loop) + granted_s - host->held_until_s);
    }
    assert_true(AprStoreCache_IsRegistered(host->gateway->store_cache));
    assert_true(longest_s < 2 * CLUSTER_HEARTBEAT_S);
    assert_return_is_harmless(host);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_returning_host_grants_no_lost_keys),
        cmocka_unit_test(test_unanswered_registration_grants_no_lost_keys),
        cmocka_unit_test(test_outage_returns_no_lost_keys),
        cmocka_unit_test(test_returning_host_keeps_its_keys),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
