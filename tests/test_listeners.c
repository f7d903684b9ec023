/* Listeners of a gateway when the process has no descriptor left. The program
   replaces accept(), to make it fail and to count the attempts. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "gateway_cluster.h"

#define START_TIMEOUT_S 6.0
#define PAUSE_S 0.05
#define MAX_PORTS 65536

static Cluster_t cluster;
static int failure; /* errno of accept(); 0: it works */
static int attempts[MAX_PORTS];

static int
local_port(int fd)
{
    struct sockaddr_in address = {0};
    socklen_t size = sizeof(address);

    getsockname(fd, (struct sockaddr *)&address, &size);
    return ntohs(address.sin_port);
}

int
/* The names of the parameters in the system's header are reserved. */
/* NOLINTNEXTLINE(readability-inconsistent-declaration-parameter-name) */
accept(int fd, __SOCKADDR_ARG address, socklen_t *restrict size)
{
    attempts[local_port(fd)]++;
    if (failure != 0) {
        errno = failure;
        return -1;
    }
    return accept4(fd, address, size, 0);
}

static int
connect_to(const char *address)
{
    struct sockaddr_in to = {.sin_family = AF_INET};
    int fd = socket(AF_INET, SOCK_STREAM, 0);

    to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    to.sin_port = htons((uint16_t)atoi(strrchr(address, ':') + 1));
    assert_int_equal(connect(fd, (struct sockaddr *)&to, sizeof(to)), 0);
    return fd;
}

/* Checks that each listener of host 0 pauses after an attempt that fails, and
   accepts again later. The pauses bound the attempts, however slow this
   machine is; a listener that is polled on attempts thousands. */
static void
check_pauses(int error)
{
    const ClusterHost_t *host = &cluster.hosts[0];
    const char *addresses[] = {host->settings.listen_callers,
                               host->settings.listen_peers,
                               host->settings.backend_address};
    int fds[3];
    double start_s;
    double elapsed_s;

    failure = error;
    memset(attempts, 0, sizeof(attempts));
    start_s = ev_time();
    for (int i = 0; i < 3; i++) {
        fds[i] = connect_to(addresses[i]);
    }
    cluster_run_for(&cluster, 0.5);
    elapsed_s = ev_time() - start_s;
    for (int i = 0; i < 3; i++) {
        int count = attempts[atoi(strrchr(addresses[i], ':') + 1)];

        print_message("%s: %d attempts in %.3f s\n", addresses[i], count,
                      elapsed_s);
        assert_in_range(count, 2, (int)(elapsed_s / PAUSE_S) + 1);
    }
    failure = 0;
    memset(attempts, 0, sizeof(attempts));
    cluster_run_for(&cluster, 2 * PAUSE_S);
    for (int i = 0; i < 3; i++) {
        assert_true(attempts[atoi(strrchr(addresses[i], ':') + 1)] > 0);
        close(fds[i]);
    }
}

/* Guards against a listener that keeps the event loop busy, because it stays
   readable as long as no connection can be accepted. */
static void
test_listeners_pause_without_descriptors(void **state)
{
    static const int errors[] = {EMFILE, ENFILE, ENOBUFS, ENOMEM};

    (void)state;
    cluster_start(&cluster);
    assert_true(cluster_wait_until_held(&cluster, START_TIMEOUT_S) <
                START_TIMEOUT_S);
    for (size_t i = 0; i < sizeof(errors) / sizeof(errors[0]); i++) {
        check_pauses(errors[i]);
    }
    cluster_send_request(&cluster, 0, cluster.hosts[0].held[0].first, "GET");
    cluster_run_for(&cluster, 0.5);
    assert_int_equal(cluster.answered, 1);
    cluster_stop(&cluster);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_listeners_pause_without_descriptors),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
