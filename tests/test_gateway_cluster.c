#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cmocka.h>

#include "gateway_cluster.h"

/* Timeout until the gateways have read each other's entries and have granted
   all keys for the first time. */
#define START_TIMEOUT_S 6.0

static Cluster_t cluster;

static void
start_with_all_keys_held(void)
{
    cluster_start(&cluster);
    assert_true(cluster_wait_until_held(&cluster, START_TIMEOUT_S) <
                START_TIMEOUT_S);
}

static void
assert_single_owner(void)
{
    assert_int_equal(cluster.overlaps, 0);
    assert_int_equal(cluster.unowned_runs, 0);
}

/* Guards against a host that can't serve the requests for some of the keys. */
static void
test_every_host_serves_all_keys(void **state)
{
    (void)state;
    start_with_all_keys_held();
    cluster_run_with_load(&cluster, 2.0, "GET");
    cluster_run_for(&cluster, 0.3);
    assert_int_equal(cluster.answered, cluster.sent);
    assert_single_owner();
    cluster_stop(&cluster);
}

/* Guards against keys that move or are lost when a gateway restarts while its
   backend server keeps running. */
static void
test_restart_moves_no_key(void **state)
{
    int commits_before;

    (void)state;
    start_with_all_keys_held();
    commits_before = cluster.store.commit_count;
    host_kill_gateway(&cluster.hosts[1]);
    cluster_run_for(&cluster, 1.0);
    host_start_gateway(&cluster.hosts[1]);
    cluster_run_for(&cluster, 3.0);
    assert_int_equal(cluster_count_unheld_keys(&cluster), 0);
    /* The restarted gateway writes its entry at most twice: before and after
       the first heartbeat of its backend server. */
    assert_true(cluster.store.commit_count - commits_before <= 2);
    assert_single_owner();
    cluster_stop(&cluster);
}

/* Guards against keys of a lost host that stay unowned, or that get a new
   owner before the old grant has expired. */
static void
test_lost_host_is_replaced(void **state)
{
    double waited_s = 0;

    (void)state;
    start_with_all_keys_held();
    /* The backend server keeps its grants until they expire. */
    host_kill_gateway(&cluster.hosts[2]);
    while (waited_s < 20 &&
           cluster.hosts[2].held_until_s > ev_now(cluster.loop)) {
        cluster_run_for(&cluster, 0.1);
        waited_s += 0.1;
    }
    waited_s += cluster_wait_until_held(&cluster, 20);
    print_message("held again after %.1f s\n", waited_s);
    assert_true(waited_s < 15);
    assert_single_owner();
    cluster_stop(&cluster);
}

/* Guards against a lost host that counts as alive because another host now
   responds at its address. */
static void
test_reused_address_does_not_hide_lost_host(void **state)
{
    ClusterHost_t *lost = &cluster.hosts[2];
    double waited_s;

    (void)state;
    start_with_all_keys_held();
    host_kill_gateway(lost);
    host_kill_backend(lost);
    strcpy(lost->settings.host, "newcomer");
    strcpy(lost->settings.backend_service, "other");
    host_start_gateway(lost);
    waited_s = cluster_wait_until_held(&cluster, 20);
    print_message("held again after %.1f s\n", waited_s);
    assert_true(waited_s < 15);
    assert_single_owner();
    cluster_stop(&cluster);
}

/* Guards against waiting for grants to expire after a backend server ended,
   although its host knows that its keys are no longer held. */
static void
test_ended_backend_is_replaced_at_once(void **state)
{
    double waited_s;

    (void)state;
    start_with_all_keys_held();
    host_kill_backend(&cluster.hosts[3]);
    cluster_run_with_load(&cluster, 1.0, "GET");
    waited_s = 1.0 + cluster_wait_until_held(&cluster, 5);
    print_message("held again after %.1f s\n", waited_s);
    assert_true(waited_s < 2.5);
    assert_single_owner();
    cluster_stop(&cluster);
}

/* Guards against grants that expire during a store outage which lasts longer
   than a grant. */
static void
test_store_outage_keeps_grants(void **state)
{
    (void)state;
    start_with_all_keys_held();
    cluster.store.down = true;
    cluster_run_for(&cluster, 7.0);
    cluster_run_with_load(&cluster, 3.0, "POST");
    cluster.store.down = false;
    cluster_run_for(&cluster, 2.0);
    assert_int_equal(cluster_count_unheld_keys(&cluster), 0);
    assert_true(cluster.answered * 100 >= cluster.sent * 99);
    assert_single_owner();
    cluster_stop(&cluster);
}

/* Guards against hosts that keep sending requests to the earlier owner of keys
   for the duration of a whole watch, because the store accepted the watch and
   never responded. */
static void
test_unanswered_watch_is_retried(void **state)
{
    (void)state;
    start_with_all_keys_held();
    cluster.store.ignores_watches = true;
    cluster.store.revision++;
    store_put_item(&cluster.store, "apricot/test/1", "x", 0);
    cluster_run_for(&cluster, 0.5);
    cluster.store.ignores_watches = false;
    cluster.hosts[0].leaving = true;
    /* The wait time of a watch, and the time until it counts as lost. */
    cluster_run_for(&cluster, 6.0);
    cluster.answered = 0;
    cluster.sent = 0;
    cluster_run_with_load(&cluster, 1.0, "GET");
    cluster_run_for(&cluster, 0.3);
    assert_int_equal(cluster.answered, cluster.sent);
    assert_single_owner();
    cluster_stop(&cluster);
}

/* Guards against keys that stay with a draining backend server, or that stay
   unowned until its grants expire although it released them. */
static void
test_draining_backend_hands_over_keys(void **state)
{
    double waited_s = 0;

    (void)state;
    start_with_all_keys_held();
    cluster.hosts[0].leaving = true;
    while (waited_s < 5 && (cluster.hosts[0].held_count > 0 ||
                            cluster_count_unheld_keys(&cluster) > 0)) {
        cluster_run_for(&cluster, 0.1);
        waited_s += 0.1;
    }
    print_message("handed over after %.1f s\n", waited_s);
    /* A handover takes two heartbeats: one of the backend server that releases
       the keys and one of the backend server that gets them. */
    assert_true(waited_s < 2.0);
    assert_single_owner();
    cluster_stop(&cluster);
}

/* Guards against hosts that wait for each other's store transactions when all
   backend servers restart at the same time and need new grants, while keys of
   several owners share a part of the key map. */
static void
test_all_backends_restart_at_once(void **state)
{
    double waited_s;

    (void)state;
    cluster_start(&cluster);
    /* Unequal shares, so that several owners share a part of the key map. */
    for (int i = 0; i < CLUSTER_HOSTS; i++) {
        cluster.hosts[i].slots = 3 + i;
    }
    assert_true(cluster_wait_until_held(&cluster, START_TIMEOUT_S) <
                START_TIMEOUT_S);
    for (int i = 0; i < CLUSTER_HOSTS; i++) {
        host_kill_backend(&cluster.hosts[i]);
        host_start_backend(&cluster.hosts[i]);
        /* Simultaneous heartbeats of all hosts provoke conflicting
           transactions. */
        ev_timer_stop(cluster.loop, &cluster.hosts[i].heartbeat_timer);
        ev_timer_set(&cluster.hosts[i].heartbeat_timer, 0.1,
                     CLUSTER_HEARTBEAT_S);
        ev_timer_start(cluster.loop, &cluster.hosts[i].heartbeat_timer);
    }
    waited_s = cluster_wait_until_held(&cluster, 5);
    print_message("held again after %.1f s, %d conflicts\n", waited_s,
                  cluster.store.conflict_count);
    assert_int_equal(cluster.store.conflict_count, 0);
    /* All hosts get their grants within the first heartbeat interval, not one
       host per interval. */
    assert_true(waited_s < 0.1 + CLUSTER_HEARTBEAT_S);
    assert_single_owner();
    cluster_stop(&cluster);
}

/* Guards against items that hosts send to each other again with each change,
   while the watch of the configuration reports no change. */
static void
test_items_are_sent_once(void **state)
{
    const int changes = 40;
    int64_t minus_items_before = 0;
    int64_t items_sent = 0;

    (void)state;
    start_with_all_keys_held();
    for (int i = 0; i < CLUSTER_HOSTS; i++) {
        minus_items_before -= host_items_sent(&cluster.hosts[i]);
    }
    for (int i = 0; i < changes; i++) {
        char key[64];

        snprintf(key, sizeof(key), "apricot/test/%d", i % 10);
        cluster.store.revision++;
        store_put_item(&cluster.store, key, "x", 0);
        cluster_run_for(&cluster, 0.1);
    }
    for (int i = 0; i < CLUSTER_HOSTS; i++) {
        items_sent += host_items_sent(&cluster.hosts[i]);
    }
    print_message("%d items sent for %d changes\n",
                  (int)(items_sent + minus_items_before), changes);
    /* Two of the four hosts watch the store, and each of the others fetches
       the items from another one. For each change it gets the item, the end of
       the list, and a list for its next query. */
    assert_true(items_sent + minus_items_before <= 2 * 3 * changes);
    cluster_stop(&cluster);
}

/* Guards against requests that a planned stop cuts: those in flight must be
   answered, and those of other hosts must be answered or refused. */
static void
test_planned_stop_cuts_no_request(void **state)
{
    (void)state;
    start_with_all_keys_held();
    cluster_run_with_load(&cluster, 0.5, "POST");
    AprGateway_Stop(cluster.hosts[1].gateway);
    cluster_run_with_load(&cluster, 3.5, "POST");
    cluster_run_for(&cluster, 1.2);
    assert_int_equal(cluster.cut, 0);
    assert_int_equal(cluster.failed, 0);
    assert_int_equal(cluster.answered + cluster.refused, cluster.sent);
    assert_int_equal(cluster.hosts[1].gateway->stop_step, APR_STOP_DONE);
    assert_single_owner();
    cluster_stop(&cluster);
}

/* Guards against requests that wait until their deadline for a backend server
   that no longer responds. */
static void
test_unresponsive_backend_is_avoided(void **state)
{
    int first;

    (void)state;
    start_with_all_keys_held();
    cluster_run_with_load(&cluster, 0.5, "POST");
    first = cluster.hosts[2].held[0].first;
    cluster.hosts[2].unresponsive = true;
    for (int i = 0; i < 100; i++) {
        cluster_send_request(&cluster, i % CLUSTER_HOSTS, first, "POST");
        cluster_run_for(&cluster, 0.02);
    }
    cluster_run_for(&cluster, 1.5);
    print_message("failed %d, refused %d, runs %d\n", cluster.failed,
                  cluster.refused, cluster.hosts[2].run_count);
    /* Only the requests that fill the 4 slots, and a few probes, may fail. */
    assert_true(cluster.failed <= 2 * 4);
    assert_true(cluster.refused >= 90);
    cluster.hosts[2].unresponsive = false;
    cluster_run_for(&cluster, 1.5);
    cluster.answered = 0;
    cluster.sent = 0;
    cluster_run_with_load(&cluster, 1.0, "GET");
    cluster_run_for(&cluster, 0.5);
    assert_true(cluster.answered * 100 >= cluster.sent * 90);
    cluster_stop(&cluster);
}

/* Makes the service one without keys: any host may serve any request. */
static void
stop_owning_keys(void)
{
    for (int i = 0; i < CLUSTER_HOSTS; i++) {
        cluster.hosts[i].gateway->routes->services[0].owns_keys = false;
    }
}

/* Sends 200 requests, one every 20 ms, and returns how many of them get a
   response with status 200. `host` gets them all, or each host in turn if it
   is negative. */
static int
count_served_requests(int host)
{
    int answered = cluster.answered;

    for (int i = 0; i < 200; i++) {
        cluster_send_request(&cluster, host < 0 ? i % CLUSTER_HOSTS : host, 1,
                             "GET");
        cluster_run_for(&cluster, 0.02);
    }
    cluster_run_for(&cluster, 0.5);
    return cluster.answered - answered;
}

/* Guards against a service without keys that stays unavailable after all its
   backend servers were unresponsive during a heartbeat (soak seed 603912). */
static void
test_unresponsive_backends_are_used_again(void **state)
{
    (void)state;
    start_with_all_keys_held();
    stop_owning_keys();
    for (int i = 0; i < CLUSTER_HOSTS; i++) {
        cluster.hosts[i].unresponsive = true;
    }
    count_served_requests(-1);
    for (int i = 0; i < CLUSTER_HOSTS; i++) {
        cluster.hosts[i].unresponsive = false;
    }
    cluster_run_for(&cluster, 1.0);
    assert_int_equal(count_served_requests(-1), 200);
    cluster_stop(&cluster);
}

/* Guards against a host that never uses its own backend server again, because
   no other host sends the request whose response would show that it responds
   again. */
static void
test_only_backend_is_used_again(void **state)
{
    (void)state;
    start_with_all_keys_held();
    stop_owning_keys();
    for (int i = 1; i < CLUSTER_HOSTS; i++) {
        cluster.hosts[i].leaving = true;
    }
    cluster_run_for(&cluster, 2.0);
    cluster.hosts[0].unresponsive = true;
    count_served_requests(0);
    cluster.hosts[0].unresponsive = false;
    cluster_run_for(&cluster, 1.0);
    assert_int_equal(count_served_requests(0), 200);
    cluster_stop(&cluster);
}

/* Accepts the pending connections of a listening socket and returns the number
   of requests in the data received on them. */
static int
count_received_requests(int fd)
{
    static char bytes[1 << 20];
    int delivered = 0;
    int peer;

    while ((peer = accept4(fd, NULL, NULL, SOCK_NONBLOCK)) >= 0) {
        ssize_t size = recv(peer, bytes, sizeof(bytes), 0);
        char *end = bytes + (size > 0 ? size : 0);

        for (char *at = bytes; at < end;) {
            at = memmem(at, (size_t)(end - at), "Attempt: ", 9);
            if (at == NULL) {
                break;
            }
            delivered++;
            at++;
        }
        close(peer);
    }
    return delivered;
}

/* Guards against a non-idempotent request that is answered as not run although
   it was sent on a link that was established but had not received any data. */
static void
test_sent_request_is_not_answered_as_not_run(void **state)
{
    int delivered;
    int key;
    int fd;

    (void)state;
    start_with_all_keys_held();
    key = cluster.hosts[2].held[0].first;
    host_kill_gateway(&cluster.hosts[2]);
    fd = AprStream_Listen(cluster.hosts[2].settings.listen_peers);
    assert_true(fd >= 0);
    cluster.sent = 0;
    for (int i = 0; i < 20; i++) {
        cluster_send_request(&cluster, 0, key, "POST");
        cluster_run_for(&cluster, 0.03);
    }
    delivered = count_received_requests(fd);
    close(fd);
    cluster_run_for(&cluster, 2.0);
    print_message("delivered %d, refused %d of %d\n", delivered,
                  cluster.refused, cluster.sent);
    assert_true(delivered > 0);
    assert_true(cluster.refused + delivered <= cluster.sent);
    cluster_stop(&cluster);
}

/* A backend server whose responses have no length: they end when it closes the
   connection. */
static void
unframed_backend_on_data(void *context, const char *data, size_t size)
{
    static const char answer[] = "HTTP/1.1 200 OK\r\n\r\nunframed";
    AprStream_t **stream = context;

    (void)data;
    (void)size;
    AprStream_Write(*stream, answer, strlen(answer));
    AprStream_CloseAfterFlush(*stream);
    *stream = NULL;
}

static void
ignore_close(void *context, int error)
{
    (void)context;
    (void)error;
}

static const AprStreamHandler_t unframed_backend_handler = {
    unframed_backend_on_data, ignore_close, NULL};

static void
unframed_backend_on_accept(struct ev_loop *loop, ev_io *watcher, int events)
{
    static AprStream_t *stream;
    int fd = accept(watcher->fd, NULL, NULL);

    (void)loop;
    (void)events;
    if (fd >= 0) {
        stream = AprStream_Open(&cluster.streams, fd,
                                &unframed_backend_handler, &stream);
    }
}

static char http_1_0_response[512];

static void
http_1_0_caller_on_data(void *context, const char *data, size_t size)
{
    (void)context;
    strncat(http_1_0_response, data,
            size < 256 ? size : 256 - strlen(http_1_0_response) % 256);
}

static const AprStreamHandler_t http_1_0_caller_handler = {
    http_1_0_caller_on_data, ignore_close, NULL};

/* Guards against a chunked response to an HTTP/1.0 caller, as HTTP/1.0 has no
   chunked coding. */
static void
test_http_1_0_caller_gets_unchunked_body(void **state)
{
    ClusterHost_t *host = &cluster.hosts[0];
    char address[APR_ADDRESS_SIZE];
    AprStream_t *stream;
    ev_io listener;
    char text[256];
    int fd;

    (void)state;
    start_with_all_keys_held();
    cluster_allocate_address(&cluster, address);
    AprHttpServer_Free(host->backend);
    host->backend =
        AprHttpServer_New(&cluster.streams, address, host_serve_request, host);
    fd = AprStream_Listen(host->settings.backend_address);
    assert_true(fd >= 0);
    ev_io_init(&listener, unframed_backend_on_accept, fd, EV_READ);
    ev_io_start(cluster.loop, &listener);
    stream = AprStream_Connect(&cluster.streams, host->settings.listen_callers,
                               &http_1_0_caller_handler, NULL);
    snprintf(text, sizeof(text),
             "GET /k/%d HTTP/1.0\r\nHost: desk.example\r\nAttempt: x\r\n"
             "Key: %d\r\n\r\n",
             host->held[0].first, host->held[0].first);
    AprStream_Write(stream, text, strlen(text));
    cluster_run_for(&cluster, 0.5);
    assert_null(strstr(http_1_0_response, "chunked"));
    assert_non_null(strstr(http_1_0_response, "\r\n\r\nunframed"));
    ev_io_stop(cluster.loop, &listener);
    close(fd);
    cluster_stop(&cluster);
}

/* Guards against running a request whose caller closed the connection before
   the gateway, being behind, read the request. */
static void
test_abandoned_request_is_dropped(void **state)
{
    AprStream_t *stream;
    char text[256];
    int runs;

    (void)state;
    start_with_all_keys_held();
    runs = cluster.hosts[0].run_count;
    stream = AprStream_Connect(&cluster.streams,
                               cluster.hosts[0].settings.listen_callers,
                               &caller_handler, NULL);
    snprintf(text, sizeof(text),
             "GET /k/%d HTTP/1.1\r\nHost: desk.example\r\nAttempt: x\r\n"
             "Key: %d\r\n\r\n",
             cluster.hosts[0].held[0].first, cluster.hosts[0].held[0].first);
    cluster.streams.lagging = true;
    AprStream_Write(stream, text, strlen(text));
    AprStream_CloseAfterFlush(stream);
    for (int i = 0; i < 20; i++) {
        cluster.streams.lagging = true;
        ev_run(cluster.loop, EVRUN_ONCE);
    }
    cluster_run_for(&cluster, 0.3);
    assert_int_equal(cluster.hosts[0].run_count, runs);
    cluster_stop(&cluster);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_every_host_serves_all_keys),
        cmocka_unit_test(test_restart_moves_no_key),
        cmocka_unit_test(test_lost_host_is_replaced),
        cmocka_unit_test(test_reused_address_does_not_hide_lost_host),
        cmocka_unit_test(test_ended_backend_is_replaced_at_once),
        cmocka_unit_test(test_store_outage_keeps_grants),
        cmocka_unit_test(test_unanswered_watch_is_retried),
        cmocka_unit_test(test_draining_backend_hands_over_keys),
        cmocka_unit_test(test_all_backends_restart_at_once),
        cmocka_unit_test(test_items_are_sent_once),
        cmocka_unit_test(test_planned_stop_cuts_no_request),
        cmocka_unit_test(test_unresponsive_backend_is_avoided),
        cmocka_unit_test(test_unresponsive_backends_are_used_again),
        cmocka_unit_test(test_only_backend_is_used_again),
        cmocka_unit_test(test_sent_request_is_not_answered_as_not_run),
        cmocka_unit_test(test_http_1_0_caller_gets_unchunked_body),
        cmocka_unit_test(test_abandoned_request_is_dropped),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
