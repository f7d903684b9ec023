/* Evacuation of a failure domain in a cluster: the operators' item stops the
   requests to its backend servers and moves their keys, and its removal opens
   the domain again. Hosts 0 and 3 are in domain d0. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "gateway_cluster.h"
#include "internal/ownership_state.h"
#include "internal/store_cache_state.h"

#define START_TIMEOUT_S 6.0

/* Time from the acknowledgement of the item until no request may reach a
   backend server of the domain. */
#define DEADLINE_S 5.0

static Cluster_t cluster;
static bool running;

static int
stop_cluster(void **state)
{
    (void)state;
    if (running) {
        running = false;
        cluster_stop(&cluster);
    }
    return 0;
}

static void
init_with_evacuation(void)
{
    running = true;
    cluster_init(&cluster);
    for (int i = 0; i < CLUSTER_HOSTS; i++) {
        cluster.hosts[i].settings.evacuation_deadline_s = DEADLINE_S;
    }
}

static void
start_with_evacuation(void)
{
    init_with_evacuation();
    cluster_start_hosts(&cluster);
    assert_true(cluster_wait_until_held(&cluster, START_TIMEOUT_S) <
                START_TIMEOUT_S);
}

/* Starts the hosts with a service that has no keys. */
static void
start_unkeyed(const char *config)
{
    store_put_item(&cluster.store, "config", config, 0);
    cluster_start_hosts(&cluster);
    cluster_run_for(&cluster, 3.0);
}

/* Writes or removes the item of a domain, as the operators do. */
static void
set_evacuated(const char *domain, bool evacuated)
{
    char key[64];

    snprintf(key, sizeof(key), "conf/evacuate/%s", domain);
    cluster.store.revision++;
    store_put_item(&cluster.store, key, evacuated ? "{}" : NULL, 0);
}

static bool
is_in_domain(int host, const char *domain)
{
    return strcmp(cluster.hosts[host].settings.failure_domain, domain) == 0;
}

/* Returns the number of requests that the backend servers of a domain got. */
static int
count_runs(const char *domain)
{
    int runs = 0;

    for (int i = 0; i < CLUSTER_HOSTS; i++) {
        runs += is_in_domain(i, domain) ? cluster.hosts[i].run_count : 0;
    }
    return runs;
}

static int
count_held_ranges(const char *domain)
{
    int ranges = 0;

    for (int i = 0; i < CLUSTER_HOSTS; i++) {
        ranges += is_in_domain(i, domain) ? cluster.hosts[i].held_count : 0;
    }
    return ranges;
}

static void
assert_single_owner(void)
{
    assert_int_equal(cluster.overlaps, 0);
    assert_int_equal(cluster.unowned_runs, 0);
}

/* Guards against requests that still reach a domain after the deadline, keys
   that stay there, and requests that its hosts no longer take from callers. */
static void
test_domain_gets_no_requests_after_deadline(void **state)
{
    int runs;

    (void)state;
    start_with_evacuation();
    cluster_run_with_load(&cluster, 0.5, "POST");
    set_evacuated("d0", true);
    cluster_run_with_load(&cluster, 3.0, "POST");
    assert_int_equal(count_held_ranges("d0"), 0);
    assert_int_equal(cluster_count_unheld_keys(&cluster), 0);
    print_message("refused %d of %d during the handover\n", cluster.refused,
                  cluster.sent);
    cluster_run_for(&cluster, 0.5);
    assert_int_equal(cluster.cut + cluster.failed, 0);
    cluster.sent = 0;
    cluster.answered = 0;
    runs = count_runs("d0");
    cluster_run_with_load(&cluster, 3.0, "POST");
    cluster_run_for(&cluster, 0.3);
    assert_int_equal(count_runs("d0"), runs);
    assert_int_equal(cluster.answered, cluster.sent);
    assert_single_owner();
}

/* Sends requests from all hosts for some seconds and returns how many were not
   answered with status 200. */
static int
count_unanswered(double seconds)
{
    cluster.sent = 0;
    cluster.answered = 0;
    cluster_run_with_load(&cluster, seconds, "POST");
    cluster_run_for(&cluster, 0.5);
    return cluster.sent - cluster.answered;
}

/* Guards against a domain that stays closed after its evacuation: when the two
   others are evacuated, it must take all keys and requests. */
static void
test_domain_is_used_again(void **state)
{
    (void)state;
    start_with_evacuation();
    set_evacuated("d0", true);
    cluster_run_for(&cluster, 2.5);
    assert_int_equal(count_held_ranges("d0"), 0);
    set_evacuated("d0", false);
    cluster_run_for(&cluster, 1.0);
    set_evacuated("d1", true);
    set_evacuated("d2", true);
    cluster_run_for(&cluster, 3.0);
    assert_int_equal(count_held_ranges("d1") + count_held_ranges("d2"), 0);
    assert_int_equal(cluster_count_unheld_keys(&cluster), 0);
    assert_int_equal(count_unanswered(1.0), 0);
    assert_single_owner();
}

/* Guards against keys that stay in an evacuated domain because a host which
   does not know of the evacuation gave them away later. */
static void
test_later_keys_are_handed_over(void **state)
{
    int later = 0;

    (void)state;
    start_with_evacuation();
    set_evacuated("d0", true);
    cluster_run_for(&cluster, 2.0);
    assert_int_equal(count_held_ranges("d0"), 0);
    AprEvacuation_Remove(&cluster.hosts[1].gateway->evacuation, "d0");
    AprMembers_DiscardLoadReports(cluster.hosts[1].gateway->members, "d0");
    cluster.hosts[1].leaving = true;
    for (int i = 0; i < 200; i++) {
        AprServiceKeyMap_t *entry =
            AprOwnership_FindOwnMap(cluster.hosts[2].gateway->ownership);

        later |= AprKeyMap_CountKeysOf(&entry->map, "h0") +
                 AprKeyMap_CountKeysOf(&entry->map, "h3");
        cluster_run_for(&cluster, 0.02);
    }
    assert_true(later > 0);
    assert_int_equal(count_held_ranges("d0"), 0);
    assert_int_equal(cluster_count_unheld_keys(&cluster), 0);
    assert_int_equal(count_runs("d0"), 0);
    assert_single_owner();
}

/* Guards against keys that are taken from all hosts, requests that run or wait
   although no host is left, and a service that stays closed afterwards. */
static void
test_last_domain_keeps_its_keys(void **state)
{
    static const char *const domains[] = {"d0", "d1", "d2"};
    int ranges = 0;
    int runs = 0;

    (void)state;
    start_with_evacuation();
    for (int i = 0; i < 3; i++) {
        set_evacuated(domains[i], true);
    }
    cluster_run_for(&cluster, 1.5);
    for (int i = 0; i < 3; i++) {
        ranges += count_held_ranges(domains[i]);
        runs += count_runs(domains[i]);
    }
    cluster.refused = 0;
    count_unanswered(1.0);
    assert_int_equal(cluster.answered, 0);
    assert_int_equal(cluster.refused, cluster.sent);
    for (int i = 0; i < 3; i++) {
        ranges -= count_held_ranges(domains[i]);
        runs -= count_runs(domains[i]);
    }
    assert_int_equal(ranges, 0);
    assert_int_equal(runs, 0);
    assert_int_equal(cluster_count_unheld_keys(&cluster), 0);
    for (int i = 0; i < 3; i++) {
        set_evacuated(domains[i], false);
    }
    cluster_run_for(&cluster, 0.7);
    assert_int_equal(count_unanswered(1.0), 0);
    assert_single_owner();
}

/* Guards against requests that run beyond the limit at an owner which can't
   move its keys, and against keys that stay there once it can. */
static void
test_owner_without_store_refuses_after_limit(void **state)
{
    int runs;

    (void)state;
    start_with_evacuation();
    cluster.hosts[0].store_refuses_changes = true;
    cluster.hosts[3].store_refuses_changes = true;
    set_evacuated("d0", true);
    runs = count_runs("d0");
    cluster_run_with_load(&cluster, 2.0, "POST");
    assert_true(count_runs("d0") > runs);
    cluster_run_for(&cluster, DEADLINE_S - 2.0);
    assert_true(count_held_ranges("d0") > 0);
    runs = count_runs("d0");
    cluster.refused = 0;
    assert_true(count_unanswered(1.0) > 0);
    assert_int_equal(cluster.refused, cluster.sent - cluster.answered);
    assert_int_equal(count_runs("d0"), runs);
    cluster.hosts[0].store_refuses_changes = false;
    cluster.hosts[3].store_refuses_changes = false;
    cluster_run_for(&cluster, 3.0);
    assert_int_equal(count_held_ranges("d0"), 0);
    assert_int_equal(count_unanswered(1.0), 0);
    assert_int_equal(count_runs("d0"), runs);
    assert_single_owner();
}

/* Guards against an outage of the store that ends an evacuation, or that
   starts one in a domain which was taken back before. */
static void
test_store_outage_keeps_the_state(void **state)
{
    int runs;

    (void)state;
    start_with_evacuation();
    set_evacuated("d1", true);
    cluster_run_for(&cluster, 1.0);
    set_evacuated("d1", false);
    set_evacuated("d0", true);
    cluster_run_for(&cluster, 2.5);
    runs = count_runs("d0");
    cluster.store.down = true;
    cluster_run_for(&cluster, 5.0);
    assert_int_equal(count_unanswered(2.0), 0);
    assert_int_equal(count_runs("d0"), runs);
    for (int i = 0; i < CLUSTER_HOSTS; i++) {
        assert_true(AprGateway_IsEvacuated(cluster.hosts[i].gateway, "d0"));
        assert_false(AprGateway_IsEvacuated(cluster.hosts[i].gateway, "d1"));
    }
    cluster.store.down = false;
    assert_single_owner();
}

/* Guards against a planned stop that keeps the keys of an evacuated host, or
   an evacuation that holds the stop up. */
static void
test_stopping_host_moves_keys(void **state)
{
    ClusterHost_t *host = &cluster.hosts[0];

    (void)state;
    start_with_evacuation();
    set_evacuated("d0", true);
    AprGateway_Stop(host->gateway);
    cluster_run_with_load(&cluster, 2.5, "POST");
    assert_int_equal(host->held_count, 0);
    assert_int_equal(cluster_count_unheld_keys(&cluster), 0);
    cluster_run_for(&cluster, 4.0);
    assert_int_equal(host->gateway->stop_step, APR_STOP_DONE);
    assert_int_equal(cluster.cut + cluster.failed, 0);
    host_kill_gateway(host);
    assert_int_equal(count_unanswered(1.0), 0);
    assert_single_owner();
}

/* Guards against a process that starts during an evacuation and sends requests
   for keys that it still owns, as if it had just begun. */
static void
test_started_host_knows_the_evacuation(void **state)
{
    ClusterHost_t *host = &cluster.hosts[0];
    int64_t wait_ms;
    int runs;
    int key;

    (void)state;
    start_with_evacuation();
    key = host->held[0].first;
    host_kill_gateway(host);
    set_evacuated("d0", true);
    cluster_run_for(&cluster, 0.5);
    runs = host->run_count;
    host_start_gateway(host);
    /* The process renews its grants at the first heartbeat, and can't move the
       keys after that. */
    for (int i = 0;
         i < 600 && AprOwnership_CheckKey(host->gateway->ownership, key,
                                          &wait_ms) != APR_KEY_GRANTED;
         i++) {
        cluster_run_for(&cluster, 0.005);
    }
    host->store_refuses_changes = true;
    assert_int_equal(
        AprOwnership_CheckKey(host->gateway->ownership, key, &wait_ms),
        APR_KEY_GRANTED);
    for (int i = 0; i < 100 && !AprGateway_IsReady(host->gateway); i++) {
        cluster_run_for(&cluster, 0.02);
    }
    assert_true(AprGateway_IsReady(host->gateway));
    assert_true(AprGateway_IsEvacuated(host->gateway, "d0"));
    assert_true(host->held_count > 0);
    cluster_run_with_load(&cluster, 1.0, "POST");
    assert_int_equal(host->run_count, runs);
    host->store_refuses_changes = false;
    cluster_run_for(&cluster, 2.0);
    assert_int_equal(host->held_count, 0);
    assert_int_equal(host->run_count, runs);
    assert_single_owner();
}

/* Guards against two owners of a key, keys without an owner, and a state of
   some hosts that differs from the store, when an evacuation is cancelled
   while keys move and begins again within a second. */
static void
test_cancelled_evacuation_leaves_one_owner(void **state)
{
    (void)state;
    start_with_evacuation();
    for (int i = 0; i < 6; i++) {
        set_evacuated("d0", i % 2 == 0);
        cluster_run_with_load(&cluster, 0.13 + 0.07 * i, "POST");
    }
    cluster_run_for(&cluster, 2.0);
    assert_int_equal(cluster.cut + cluster.failed, 0);
    assert_int_equal(cluster_count_unheld_keys(&cluster), 0);
    for (int i = 0; i < CLUSTER_HOSTS; i++) {
        assert_false(AprGateway_IsEvacuated(cluster.hosts[i].gateway, "d0"));
    }
    assert_int_equal(count_unanswered(1.0), 0);
    assert_single_owner();
}

/* Guards against an evacuation that lasts because the store lost the history
   with its end, and against one that ends although its item exists. */
static void
test_reload_shows_evacuations(void **state)
{
    (void)state;
    start_with_evacuation();
    set_evacuated("d0", true);
    set_evacuated("d1", true);
    cluster_run_for(&cluster, 1.0);
    set_evacuated("d0", false);
    store_compact(&cluster.store);
    cluster_run_for(&cluster, 1.5);
    for (int i = 0; i < CLUSTER_HOSTS; i++) {
        assert_false(AprGateway_IsEvacuated(cluster.hosts[i].gateway, "d0"));
        assert_true(AprGateway_IsEvacuated(cluster.hosts[i].gateway, "d1"));
    }
    assert_single_owner();
}

/* Guards against queued requests that start in the domain or are lost when it
   is evacuated: they have not run and belong to another host. */
static void
test_queued_requests_go_elsewhere(void **state)
{
    ClusterHost_t *host = &cluster.hosts[0];
    AprKvItem_t item = {"conf/evacuate/d0", "{}", 2, 0, 0, false};
    AprHostLoad_t load = {0};
    int runs;

    (void)state;
    init_with_evacuation();
    start_unkeyed("1 unkeyed");
    /* The hosts learn the service time, so that they queue what they can serve
       in time. */
    assert_int_equal(count_unanswered(3.0), 0);
    cluster.sent = 0;
    cluster.answered = 0;
    for (int i = 0; i < 60; i++) {
        cluster_send_request(&cluster, 0, 0, "POST");
    }
    for (int i = 0; i < 100 && load.queued < 4; i++) {
        ev_run(cluster.loop, EVRUN_ONCE);
        AprBackend_GetLoad(host->gateway->backend, &load);
    }
    assert_true(load.queued >= 4);
    set_evacuated("d0", true);
    item.revision = cluster.store.revision;
    AprStoreCache_ApplyItem(host->gateway->store_cache, &item);
    runs = host->run_count;
    /* The running requests may still be on their way to the server. */
    runs += load.running;
    cluster_run_for(&cluster, 1.5);
    print_message("queued %d, running %d, refused %d\n", load.queued,
                  load.running, cluster.refused);
    assert_true(host->run_count <= runs);
    assert_int_equal(cluster.answered, cluster.sent);
}

/* Guards against test requests to unresponsive backend servers of evacuated
   domains. */
static void
test_unresponsive_backend_is_not_probed(void **state)
{
    int runs;

    (void)state;
    init_with_evacuation();
    strcpy(cluster.hosts[3].settings.failure_domain, "d1");
    start_unkeyed("1 unkeyed");
    set_evacuated("d1", true);
    set_evacuated("d2", true);
    cluster_run_for(&cluster, 1.0);
    cluster.hosts[0].unresponsive = true;
    for (int i = 0; i < 4; i++) {
        cluster_send_request(&cluster, 0, 0, "POST");
    }
    cluster_run_for(&cluster, 2.0);
    assert_true(AprBackend_IsProbeDue(cluster.hosts[0].gateway->backend));
    set_evacuated("d0", true);
    cluster_run_for(&cluster, 0.7);
    assert_false(AprBackend_IsProbeDue(cluster.hosts[0].gateway->backend));
    runs = cluster.hosts[0].run_count;
    count_unanswered(0.5);
    assert_int_equal(cluster.answered, 0);
    assert_int_equal(cluster.hosts[0].run_count, runs);
}

/* Guards against keyed requests that test an unresponsive backend server of an
   evacuated domain while it still owns their keys. */
static void
test_unresponsive_owner_is_not_probed(void **state)
{
    ClusterHost_t *host = &cluster.hosts[0];
    int runs;
    int key;

    (void)state;
    start_with_evacuation();
    key = host->held[0].first;
    host->store_refuses_changes = true;
    host->unresponsive = true;
    for (int i = 0; i < 4; i++) {
        cluster_send_request(&cluster, 0, key, "POST");
    }
    cluster_run_for(&cluster, 2.0);
    assert_true(AprBackend_IsProbeDue(host->gateway->backend));
    set_evacuated("d0", true);
    cluster_run_for(&cluster, 0.7);
    assert_true(
        AprGateway_MayStartIn(host->gateway, "d0", CLUSTER_SERVICE, true));
    assert_true(host->held_count > 0);
    runs = host->run_count;
    cluster_send_request(&cluster, 0, key, "POST");
    cluster_run_for(&cluster, 0.5);
    assert_int_equal(host->run_count, runs);
}

/* A backend server that answers the first request of a connection and keeps
   the next one until the test closes the connection. */
typedef struct KeepingBackend_t {
    AprStream_t *stream;
    int request_count;
} KeepingBackend_t;

static KeepingBackend_t keeping_backend;

static void
keeping_backend_on_data(void *context, const char *data, size_t size)
{
    static const char answer[] =
        "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    KeepingBackend_t *backend = context;

    (void)data;
    (void)size;
    if (backend->request_count++ == 0) {
        AprStream_Write(backend->stream, answer, strlen(answer));
    }
}

static void
ignore_close(void *context, int error)
{
    (void)context;
    (void)error;
}

static const AprStreamHandler_t keeping_backend_handler = {
    keeping_backend_on_data, ignore_close, NULL};

static void
keeping_backend_on_accept(struct ev_loop *loop, ev_io *watcher, int events)
{
    int fd = accept(watcher->fd, NULL, NULL);

    (void)loop;
    (void)events;
    if (fd >= 0) {
        keeping_backend.stream = AprStream_Open(
            &cluster.streams, fd, &keeping_backend_handler, &keeping_backend);
    }
}

/* Returns the number of requests that a backend server gets when it closes a
   kept connection on an idempotent request, the second one. */
static int
count_requests_after_close(bool evacuated)
{
    ClusterHost_t *host = &cluster.hosts[0];
    char address[APR_ADDRESS_SIZE];
    ev_io listener;
    int fd;

    init_with_evacuation();
    strcpy(cluster.hosts[3].settings.failure_domain, "d1");
    start_unkeyed("1 unkeyed idempotent");
    set_evacuated("d1", true);
    set_evacuated("d2", true);
    cluster_run_for(&cluster, 1.0);
    cluster_allocate_address(&cluster, address);
    AprHttpServer_Free(host->backend);
    host->backend =
        AprHttpServer_New(&cluster.streams, address, host_serve_request, host);
    fd = AprStream_Listen(host->settings.backend_address);
    assert_true(fd >= 0);
    ev_io_init(&listener, keeping_backend_on_accept, fd, EV_READ);
    ev_io_start(cluster.loop, &listener);
    keeping_backend.request_count = 0;
    for (int i = 0; i < 2; i++) {
        cluster_send_request(&cluster, 0, 0, "GET");
        cluster_run_for(&cluster, 0.1);
    }
    assert_int_equal(keeping_backend.request_count, 2);
    set_evacuated("d0", evacuated);
    cluster_run_for(&cluster, 0.3);
    AprStream_Close(keeping_backend.stream);
    cluster_run_for(&cluster, 0.3);
    ev_io_stop(cluster.loop, &listener);
    close(fd);
    stop_cluster(NULL);
    return keeping_backend.request_count;
}

/* Guards against a request that is sent again to a backend server whose domain
   was evacuated while the request ran. */
static void
test_request_is_not_resent(void **state)
{
    (void)state;
    assert_true(count_requests_after_close(false) > 2);
    assert_int_equal(count_requests_after_close(true), 2);
}

/* Guards against a deployment without the setting that watches or uses the
   operators' other items. */
static void
test_unused_without_setting(void **state)
{
    (void)state;
    running = true;
    cluster_start(&cluster);
    assert_true(cluster_wait_until_held(&cluster, START_TIMEOUT_S) <
                START_TIMEOUT_S);
    set_evacuated("d0", true);
    cluster_run_for(&cluster, 1.0);
    assert_true(count_held_ranges("d0") > 0);
    assert_int_equal(count_unanswered(1.0), 0);
    assert_string_equal(
        cluster.hosts[0].gateway->store_cache->config_watch.prefix, "config");
    assert_single_owner();
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_teardown(test_domain_gets_no_requests_after_deadline,
                                  stop_cluster),
        cmocka_unit_test_teardown(test_domain_is_used_again, stop_cluster),
        cmocka_unit_test_teardown(test_later_keys_are_handed_over,
                                  stop_cluster),
        cmocka_unit_test_teardown(test_last_domain_keeps_its_keys,
                                  stop_cluster),
        cmocka_unit_test_teardown(test_owner_without_store_refuses_after_limit,
                                  stop_cluster),
        cmocka_unit_test_teardown(test_store_outage_keeps_the_state,
                                  stop_cluster),
        cmocka_unit_test_teardown(test_stopping_host_moves_keys, stop_cluster),
        cmocka_unit_test_teardown(test_started_host_knows_the_evacuation,
                                  stop_cluster),
        cmocka_unit_test_teardown(test_cancelled_evacuation_leaves_one_owner,
                                  stop_cluster),
        cmocka_unit_test_teardown(test_reload_shows_evacuations, stop_cluster),
        cmocka_unit_test_teardown(test_queued_requests_go_elsewhere,
                                  stop_cluster),
        cmocka_unit_test_teardown(test_unresponsive_backend_is_not_probed,
                                  stop_cluster),
        cmocka_unit_test_teardown(test_unresponsive_owner_is_not_probed,
                                  stop_cluster),
        cmocka_unit_test_teardown(test_request_is_not_resent, stop_cluster),
        cmocka_unit_test_teardown(test_unused_without_setting, stop_cluster),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
