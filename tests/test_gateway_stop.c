/* The end of a planned stop, seen from another host: the test speaks the
   protocol of the links to a gateway that stops. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "gateway_cluster.h"

#define START_TIMEOUT_S 6.0

/* Less than APR_CALL_WINDOW_BYTES, so that the stopping host can send the
   response without an acknowledgement. */
#define RESPONSE_BYTES 200000

static Cluster_t cluster;

/* Connects to the address for links of a host, with a small receive buffer, so
   that most of a response stays in the send buffer of the host. */
static int
connect_link(const ClusterHost_t *host)
{
    struct sockaddr_in address = {.sin_family = AF_INET};
    int fd = socket(AF_INET, SOCK_STREAM, 0);
    int size = 4096;

    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof(size));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port =
        htons((uint16_t)atoi(strrchr(host->settings.listen_peers, ':') + 1));
    assert_int_equal(connect(fd, (struct sockaddr *)&address, sizeof(address)),
                     0);
    fcntl(fd, F_SETFL, O_NONBLOCK);
    return fd;
}

static void
send_frame(int fd, const AprLinkFrame_t *frame)
{
    msgpack_sbuffer buffer;
    uint32_t size;

    msgpack_sbuffer_init(&buffer);
    AprLinkFrame_Encode(&buffer, frame, 0);
    size = htonl((uint32_t)buffer.size);
    send(fd, &size, sizeof(size), MSG_NOSIGNAL);
    send(fd, buffer.data, buffer.size, MSG_NOSIGNAL);
    msgpack_sbuffer_destroy(&buffer);
}

/* Sends a request for a key of a host on a link of its own. */
static int
open_link_with_call(const ClusterHost_t *host)
{
    int fd = connect_link(host);
    int key = host->held[0].first;
    char target[32];
    AprLinkFrame_t frame = {.type = APR_LINK_HELLO};

    strcpy(frame.host, "h9");
    strcpy(frame.expected_host, host->settings.host);
    send_frame(fd, &frame);
    snprintf(target, sizeof(target), "/k/%d", key);
    frame = (AprLinkFrame_t){.type = APR_LINK_CALL, .stream = 1};
    strcpy(frame.call.id, "a1");
    strcpy(frame.call.method, "GET");
    strcpy(frame.call.service, CLUSTER_SERVICE);
    strcpy(frame.call.route, "all");
    frame.call.target = target;
    frame.call.headers = "";
    frame.call.key = key;
    frame.call.objective_ms = 2000;
    frame.call.deadline_ms = 2000;
    frame.call.config_version = 1;
    frame.last_part = true;
    send_frame(fd, &frame);
    return fd;
}

/* Reads what has arrived; returns 0 at the end of the connection, negative
   when it was reset or nothing has arrived. */
static ssize_t
read_link(int fd, size_t limit, size_t *received)
{
    static char bytes[RESPONSE_BYTES];
    ssize_t size = recv(fd, bytes, MIN(limit, sizeof(bytes)), 0);

    *received += size > 0 ? (size_t)size : 0;
    return size;
}

/* Guards against the loss of the end of a long response, when a stopping host
   exits while acknowledgements arrive on the link: the kernel then resets the
   link and drops what it has not sent yet. */
static void
test_stop_waits_for_links(void **state)
{
    ClusterHost_t *host = &cluster.hosts[0];
    AprLinkFrame_t acknowledgement = {
        .type = APR_LINK_ACK, .stream = 1, .acknowledged_bytes = 1000};
    size_t received = 0;
    ssize_t size = -1;
    int fd;

    (void)state;
    cluster_start(&cluster);
    assert_true(cluster_wait_until_held(&cluster, START_TIMEOUT_S) <
                START_TIMEOUT_S);
    host->settings.stop_grace_s = 3;
    AprGateway_ApplySettings(host->gateway, &host->settings);
    host->response_size = RESPONSE_BYTES;
    fd = open_link_with_call(host);
    cluster_run_for(&cluster, 0.2);
    AprGateway_Stop(host->gateway);
    for (int i = 0; i < 500 && host->gateway->stop_step < APR_STOP_EXIT; i++) {
        cluster_run_for(&cluster, 0.01);
    }
    /* Reads until the gateway has passed all bytes to the kernel. */
    while (cluster.streams.unsent_bytes > 0) {
        read_link(fd, 1000, &received);
        cluster_run_for(&cluster, 0.002);
    }
    assert_true(received < RESPONSE_BYTES);
    cluster_run_for(&cluster, 0.1);
    if (host->gateway->stop_step == APR_STOP_DONE) {
        host_kill_gateway(host); /* as the exit of the process does */
    }
    for (int i = 0; i < 50 && size != 0; i++) {
        send_frame(fd, &acknowledgement);
        cluster_run_for(&cluster, 0.002);
        while ((size = read_link(fd, 65536, &received)) > 0) {
        }
        assert_true(size == 0 || errno == EAGAIN);
    }
    assert_int_equal(size, 0);
    assert_true(received > RESPONSE_BYTES);
    close(fd);
    cluster_run_for(&cluster, 0.15);
    assert_non_null(host->gateway);
    assert_int_equal(host->gateway->stop_step, APR_STOP_DONE);
    cluster_stop(&cluster);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_stop_waits_for_links),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
