#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cmocka.h>

#include "gateway_cell.h"

/* First grants: entries are read, then the keys are given out. */
#define START_S 6.0

static Cell_t cell;

static void
open_with_keys(void)
{
    cell_open(&cell);
    assert_true(cell_wait_held(&cell, START_S) < START_S);
}

static void
assert_one_owner(void)
{
    assert_int_equal(cell.overlaps, 0);
    assert_int_equal(cell.unowned_runs, 0);
}

/* Guards against a path that does not serve every key from every host. */
static void
test_serves_all_keys(void **state)
{
    (void)state;
    open_with_keys();
    cell_run_load(&cell, 2.0, "GET");
    cell_run(&cell, 0.3);
    assert_int_equal(cell.answered, cell.sent);
    assert_one_owner();
    cell_close(&cell);
}

/* Guards against keys that move, or are lost, when only the process restarts
   and its backend server lives. */
static void
test_restart_moves_no_key(void **state)
{
    int writes;

    (void)state;
    open_with_keys();
    writes = cell.store.writes;
    cell_kill_gateway(&cell.hosts[1]);
    cell_run(&cell, 1.0);
    cell_start_gateway(&cell.hosts[1]);
    cell_run(&cell, 3.0);
    assert_int_equal(cell_unheld(&cell), 0);
    /* Its entry, before and after the first heartbeat. */
    assert_true(cell.store.writes - writes <= 2);
    assert_one_owner();
    cell_close(&cell);
}

/* Guards against keys of a lost host that nobody takes, or that another host
   takes while the old grant is still in force. */
static void
test_lost_host_is_replaced(void **state)
{
    double waited = 0;

    (void)state;
    open_with_keys();
    /* The backend server goes on with its grants. */
    cell_kill_gateway(&cell.hosts[2]);
    while (waited < 20 && cell.hosts[2].held_until > ev_now(cell.loop)) {
        cell_run(&cell, 0.1);
        waited += 0.1;
    }
    waited += cell_wait_held(&cell, 20);
    print_message("held again after %.1f s\n", waited);
    assert_true(waited < 15);
    assert_one_owner();
    cell_close(&cell);
}

/* Guards against a lost host that counts as alive because another host answers
   at its address. */
static void
test_reused_address_hides_no_loss(void **state)
{
    CellHost_t *lost = &cell.hosts[2];
    double waited;

    (void)state;
    open_with_keys();
    cell_kill_gateway(lost);
    cell_kill_backend(lost);
    strcpy(lost->settings.host, "newcomer");
    strcpy(lost->settings.backend_service, "other");
    cell_start_gateway(lost);
    waited = cell_wait_held(&cell, 20);
    print_message("held again after %.1f s\n", waited);
    assert_true(waited < 15);
    assert_one_owner();
    cell_close(&cell);
}

/* Guards against an outage when the backend server ends and its host knows
   that nobody holds the keys any more. */
static void
test_ended_backend_is_replaced_at_once(void **state)
{
    double waited;

    (void)state;
    open_with_keys();
    cell_kill_backend(&cell.hosts[3]);
    cell_run_load(&cell, 1.0, "GET");
    waited = 1.0 + cell_wait_held(&cell, 5);
    print_message("held again after %.1f s\n", waited);
    assert_true(waited < 2.5);
    assert_one_owner();
    cell_close(&cell);
}

/* Guards against grants that end while the store is away for longer than
   grants last. */
static void
test_store_outage_costs_nothing(void **state)
{
    (void)state;
    open_with_keys();
    cell.store.down = true;
    cell_run(&cell, 7.0);
    cell_run_load(&cell, 3.0, "POST");
    cell.store.down = false;
    cell_run(&cell, 2.0);
    assert_int_equal(cell_unheld(&cell), 0);
    assert_true(cell.answered * 100 >= cell.sent * 99);
    assert_one_owner();
    cell_close(&cell);
}

/* Guards against hosts that send requests to the earlier owner of keys for the
   time of a whole watch, since the store took the watch and never answered. */
static void
test_unanswered_watch_is_renewed(void **state)
{
    (void)state;
    open_with_keys();
    cell.store.swallows = true;
    cell.store.revision++;
    cell_put(&cell.store, "apricot/test/1", "x", 0);
    cell_run(&cell, 0.5);
    cell.store.swallows = false;
    cell.hosts[0].leaving = true;
    /* A watch, and the time after it until it counts as lost. */
    cell_run(&cell, 6.0);
    cell.answered = 0;
    cell.sent = 0;
    cell_run_load(&cell, 1.0, "GET");
    cell_run(&cell, 0.3);
    assert_int_equal(cell.answered, cell.sent);
    assert_one_owner();
    cell_close(&cell);
}

/* Guards against keys that stay with a leaving backend server, or that wait
   for the end of its grants although it released them. */
static void
test_leaving_backend_hands_over(void **state)
{
    double waited = 0;

    (void)state;
    open_with_keys();
    cell.hosts[0].leaving = true;
    while (waited < 5 &&
           (cell.hosts[0].held_count > 0 || cell_unheld(&cell) > 0)) {
        cell_run(&cell, 0.1);
        waited += 0.1;
    }
    print_message("handed over after %.1f s\n", waited);
    /* Two heartbeats: of the one that releases, and of the one that gets. */
    assert_true(waited < 2.0);
    assert_one_owner();
    cell_close(&cell);
}

/* Guards against lives that wait for each other's changes of the store: all
   backend servers start again at once and need new grants, and keys that
   changed owner before lie mixed in the parts of the map. */
static void
test_all_backends_restart_at_once(void **state)
{
    double waited;

    (void)state;
    cell_open(&cell);
    /* Unequal shares: owners meet in the same part of the map. */
    for (int i = 0; i < CELL_HOSTS; i++) {
        cell.hosts[i].slots = 3 + i;
    }
    assert_true(cell_wait_held(&cell, START_S) < START_S);
    for (int i = 0; i < CELL_HOSTS; i++) {
        cell_kill_backend(&cell.hosts[i]);
        cell_start_backend(&cell.hosts[i]);
        /* The same moment of all heartbeats makes the changes collide. */
        ev_timer_stop(cell.loop, &cell.hosts[i].beat);
        ev_timer_set(&cell.hosts[i].beat, 0.1, CELL_BEAT_S);
        ev_timer_start(cell.loop, &cell.hosts[i].beat);
    }
    waited = cell_wait_held(&cell, 5);
    print_message("held again after %.1f s, %d conflicts\n", waited,
                  cell.store.conflicts);
    assert_int_equal(cell.store.conflicts, 0);
    /* Within the first heartbeat, not one host with each. */
    assert_true(waited < 0.1 + CELL_BEAT_S);
    assert_one_owner();
    cell_close(&cell);
}

/* Guards against items that are sent again with each change while nothing new
   comes from the watch of the configuration. */
static void
test_items_are_sent_once(void **state)
{
    const int changes = 40;
    int64_t before = 0;
    int64_t sent = 0;

    (void)state;
    open_with_keys();
    for (int i = 0; i < CELL_HOSTS; i++) {
        before -= cell_items_sent(&cell.hosts[i]);
    }
    for (int i = 0; i < changes; i++) {
        char key[64];

        snprintf(key, sizeof(key), "apricot/test/%d", i % 10);
        cell.store.revision++;
        cell_put(&cell.store, key, "x", 0);
        cell_run(&cell, 0.1);
    }
    for (int i = 0; i < CELL_HOSTS; i++) {
        sent += cell_items_sent(&cell.hosts[i]);
    }
    print_message("%d items sent for %d changes\n", (int)(sent + before),
                  changes);
    /* One host gets the items from another one: each of them, the end of each
       list, and a list for each of its questions. */
    assert_true(sent + before <= 3 * changes);
    cell_close(&cell);
}

/* Guards against requests cut by a planned stop: those in flight are
   answered, and other hosts' requests are refused, not lost. */
static void
test_stop_cuts_nothing(void **state)
{
    (void)state;
    open_with_keys();
    cell_run_load(&cell, 0.5, "POST");
    AprGateway_Stop(cell.hosts[1].gateway);
    cell_run_load(&cell, 3.5, "POST");
    cell_run(&cell, 1.2);
    assert_int_equal(cell.cut, 0);
    assert_int_equal(cell.failed, 0);
    assert_int_equal(cell.answered + cell.refused, cell.sent);
    assert_int_equal(cell.hosts[1].gateway->stop_step, APR_STOP_LAST);
    assert_one_owner();
    cell_close(&cell);
}

/* Guards against requests that wait until their deadline at a backend server
   that answers nothing any more. */
static void
test_silent_backend_is_spared(void **state)
{
    int first;

    (void)state;
    open_with_keys();
    cell_run_load(&cell, 0.5, "POST");
    first = cell.hosts[2].held[0].first;
    cell.hosts[2].dark = true;
    for (int i = 0; i < 100; i++) {
        cell_send(&cell, i % CELL_HOSTS, first, "POST");
        cell_run(&cell, 0.02);
    }
    cell_run(&cell, 1.5);
    print_message("failed %d, refused %d, runs %d\n", cell.failed,
                  cell.refused, cell.hosts[2].runs);
    /* One filling of the slots, and a probe now and then. */
    assert_true(cell.failed <= 2 * 4);
    assert_true(cell.refused >= 90);
    cell.hosts[2].dark = false;
    cell_run(&cell, 1.5);
    cell.answered = 0;
    cell.sent = 0;
    cell_run_load(&cell, 1.0, "GET");
    cell_run(&cell, 0.5);
    assert_true(cell.answered * 100 >= cell.sent * 90);
    cell_close(&cell);
}

/* Number of requests in what arrived on a listening socket. */
static int
count_delivered(int fd)
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

/* Guards against a non-idempotent request that is answered as not run
   although it was sent: its link stood, but nothing had come back on it. */
static void
test_sent_request_is_not_refused(void **state)
{
    int delivered;
    int key;
    int fd;

    (void)state;
    open_with_keys();
    key = cell.hosts[2].held[0].first;
    cell_kill_gateway(&cell.hosts[2]);
    fd = AprStream_Listen(cell.hosts[2].settings.listen_peers);
    assert_true(fd >= 0);
    cell.sent = 0;
    for (int i = 0; i < 20; i++) {
        cell_send(&cell, 0, key, "POST");
        cell_run(&cell, 0.03);
    }
    delivered = count_delivered(fd);
    close(fd);
    cell_run(&cell, 2.0);
    print_message("delivered %d, refused %d of %d\n", delivered, cell.refused,
                  cell.sent);
    assert_true(delivered > 0);
    assert_true(cell.refused + delivered <= cell.sent);
    cell_close(&cell);
}

/* A backend server whose answers have no length and end with the
   connection. */
static void
unframed_on_data(void *context, const char *data, size_t size)
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
unframed_on_close(void *context, int error)
{
    (void)context;
    (void)error;
}

static const AprStreamHandler_t unframed_handler = {unframed_on_data,
                                                    unframed_on_close, NULL};

static void
unframed_on_accept(struct ev_loop *loop, ev_io *watcher, int events)
{
    static AprStream_t *stream;
    int fd = accept(watcher->fd, NULL, NULL);

    (void)loop;
    (void)events;
    if (fd >= 0) {
        stream = AprStream_Open(&cell.streams, fd, &unframed_handler, &stream);
    }
}

static char old_caller_text[512];

static void
old_caller_on_data(void *context, const char *data, size_t size)
{
    (void)context;
    strncat(old_caller_text, data,
            size < 256 ? size : 256 - strlen(old_caller_text) % 256);
}

static const AprStreamHandler_t old_caller = {old_caller_on_data,
                                              unframed_on_close, NULL};

/* Guards against a chunked answer to a caller of HTTP/1.0, who does not know
   that form. */
static void
test_old_caller_gets_plain_body(void **state)
{
    CellHost_t *host = &cell.hosts[0];
    char address[APR_ADDRESS_SIZE];
    AprStream_t *stream;
    ev_io listener;
    char text[256];
    int fd;

    (void)state;
    open_with_keys();
    cell_address(&cell, address);
    AprHttpService_Free(host->backend);
    host->backend =
        AprHttpService_New(&cell.streams, address, cell_serve, host);
    fd = AprStream_Listen(host->settings.backend_address);
    assert_true(fd >= 0);
    ev_io_init(&listener, unframed_on_accept, fd, EV_READ);
    ev_io_start(cell.loop, &listener);
    stream = AprStream_Connect(&cell.streams, host->settings.listen_callers,
                               &old_caller, NULL);
    snprintf(text, sizeof(text),
             "GET /k/%d HTTP/1.0\r\nHost: desk.example\r\nAttempt: x\r\n"
             "Key: %d\r\n\r\n",
             host->held[0].first, host->held[0].first);
    AprStream_Write(stream, text, strlen(text));
    cell_run(&cell, 0.5);
    assert_null(strstr(old_caller_text, "chunked"));
    assert_non_null(strstr(old_caller_text, "\r\n\r\nunframed"));
    ev_io_stop(cell.loop, &listener);
    close(fd);
    cell_close(&cell);
}

/* Guards against work for a caller who left before a late process read its
   request. */
static void
test_abandoned_request_is_dropped(void **state)
{
    AprStream_t *stream;
    char text[256];
    int runs;

    (void)state;
    open_with_keys();
    runs = cell.hosts[0].runs;
    stream =
        AprStream_Connect(&cell.streams, cell.hosts[0].settings.listen_callers,
                          &cell_caller, NULL);
    snprintf(text, sizeof(text),
             "GET /k/%d HTTP/1.1\r\nHost: desk.example\r\nAttempt: x\r\n"
             "Key: %d\r\n\r\n",
             cell.hosts[0].held[0].first, cell.hosts[0].held[0].first);
    cell.streams.lagging = true;
    AprStream_Write(stream, text, strlen(text));
    AprStream_CloseAfterFlush(stream);
    for (int i = 0; i < 20; i++) {
        cell.streams.lagging = true;
        ev_run(cell.loop, EVRUN_ONCE);
    }
    cell_run(&cell, 0.3);
    assert_int_equal(cell.hosts[0].runs, runs);
    cell_close(&cell);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_serves_all_keys),
        cmocka_unit_test(test_restart_moves_no_key),
        cmocka_unit_test(test_lost_host_is_replaced),
        cmocka_unit_test(test_reused_address_hides_no_loss),
        cmocka_unit_test(test_ended_backend_is_replaced_at_once),
        cmocka_unit_test(test_store_outage_costs_nothing),
        cmocka_unit_test(test_unanswered_watch_is_renewed),
        cmocka_unit_test(test_leaving_backend_hands_over),
        cmocka_unit_test(test_all_backends_restart_at_once),
        cmocka_unit_test(test_items_are_sent_once),
        cmocka_unit_test(test_stop_cuts_nothing),
        cmocka_unit_test(test_silent_backend_is_spared),
        cmocka_unit_test(test_sent_request_is_not_refused),
        cmocka_unit_test(test_old_caller_gets_plain_body),
        cmocka_unit_test(test_abandoned_request_is_dropped),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
