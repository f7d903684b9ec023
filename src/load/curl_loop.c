#include "internal/curl_loop.h"

#include <errno.h>
#include <stdbool.h>
#include <stdlib.h>
#include <sys/epoll.h>
#include <sys/timerfd.h>
#include <unistd.h>

#include "apricot/clock.h"

#define NS_PER_S 1000000000LL
#define NS_PER_MS 1000000LL
#define EVENTS 256

struct AprCurlLoop_t {
    CURLM *multi;
    int epoll_fd;
    int timer_fd;
    bool timed; /* libcurl wants a call at `due` */
    struct timespec due;
};

static struct timespec
now(void)
{
    AprClock_t clock = AprClock_System();

    return AprClock_Now(&clock);
}

static int
watch_socket(CURL *easy, curl_socket_t socket, int what, void *context,
             void *known)
{
    AprCurlLoop_t *loop = context;
    struct epoll_event event = {.data.fd = socket};

    (void)easy;
    if (what == CURL_POLL_REMOVE) {
        epoll_ctl(loop->epoll_fd, EPOLL_CTL_DEL, socket, NULL);
        return 0;
    }
    event.events = ((what & CURL_POLL_IN) != 0 ? EPOLLIN : 0u) |
                   ((what & CURL_POLL_OUT) != 0 ? EPOLLOUT : 0u);
    epoll_ctl(loop->epoll_fd, known == NULL ? EPOLL_CTL_ADD : EPOLL_CTL_MOD,
              socket, &event);
    curl_multi_assign(loop->multi, socket, loop);
    return 0;
}

static int
set_due(CURLM *multi, long timeout_ms, void *context)
{
    AprCurlLoop_t *loop = context;

    (void)multi;
    loop->timed = timeout_ms >= 0;
    loop->due = AprTime_AddMs(now(), timeout_ms);
    return 0;
}

/* Creates a loop that keeps at most `connections` open. Returns NULL when
   memory or file descriptors run out. */
AprCurlLoop_t *
AprCurlLoop_New(int connections)
{
    AprCurlLoop_t *loop = calloc(1, sizeof(*loop));
    struct epoll_event event = {.events = EPOLLIN};

    if (loop == NULL) {
        return NULL;
    }
    loop->multi = curl_multi_init();
    loop->epoll_fd = epoll_create1(EPOLL_CLOEXEC);
    /* AprClock_System counts suspended time, so this timer does too. */
    loop->timer_fd =
        timerfd_create(CLOCK_BOOTTIME, TFD_NONBLOCK | TFD_CLOEXEC);
    event.data.fd = loop->timer_fd;
    if (loop->multi == NULL || loop->epoll_fd < 0 || loop->timer_fd < 0 ||
        epoll_ctl(loop->epoll_fd, EPOLL_CTL_ADD, loop->timer_fd, &event) < 0) {
        AprCurlLoop_Free(loop);
        return NULL;
    }
    curl_multi_setopt(loop->multi, CURLMOPT_SOCKETFUNCTION, watch_socket);
    curl_multi_setopt(loop->multi, CURLMOPT_SOCKETDATA, loop);
    curl_multi_setopt(loop->multi, CURLMOPT_TIMERFUNCTION, set_due);
    curl_multi_setopt(loop->multi, CURLMOPT_TIMERDATA, loop);
    curl_multi_setopt(loop->multi, CURLMOPT_MAX_TOTAL_CONNECTIONS,
                      (long)connections);
    curl_multi_setopt(loop->multi, CURLMOPT_MAXCONNECTS, (long)connections);
    return loop;
}

/* Frees a loop; its transfers are removed and freed before. */
void
AprCurlLoop_Free(AprCurlLoop_t *loop)
{
    if (loop == NULL) {
        return;
    }
    if (loop->multi != NULL) {
        curl_multi_cleanup(loop->multi);
    }
    if (loop->epoll_fd >= 0) {
        close(loop->epoll_fd);
    }
    if (loop->timer_fd >= 0) {
        close(loop->timer_fd);
    }
    free(loop);
}

/* The libcurl handle to add transfers to and to read their results from. */
CURLM *
AprCurlLoop_Multi(AprCurlLoop_t *loop)
{
    return loop->multi;
}

/* epoll counts in milliseconds, which is too coarse for arrivals above 1,000
   per second; the timer counts in nanoseconds. A time of 0 would disarm it. */
static void
arm_timer(AprCurlLoop_t *loop, int64_t wait_ns)
{
    struct itimerspec setting = {{0, 0}, {0, 0}};

    if (wait_ns < 1) {
        wait_ns = 1;
    }
    setting.it_value.tv_sec = wait_ns / NS_PER_S;
    setting.it_value.tv_nsec = wait_ns % NS_PER_S;
    timerfd_settime(loop->timer_fd, 0, &setting, NULL);
}

static int
actions_of(uint32_t events)
{
    return ((events & EPOLLIN) != 0 ? CURL_CSELECT_IN : 0) |
           ((events & EPOLLOUT) != 0 ? CURL_CSELECT_OUT : 0) |
           ((events & (EPOLLERR | EPOLLHUP)) != 0 ? CURL_CSELECT_ERR : 0);
}

/* Waits up to `wait_ns` nanoseconds for socket events or a time-out of
   libcurl, and lets libcurl handle them. */
void
AprCurlLoop_Run(AprCurlLoop_t *loop, int64_t wait_ns)
{
    struct epoll_event events[EVENTS];
    int running;
    int count;

    if (loop->timed) {
        int64_t due_ns = AprTime_DiffNs(loop->due, now());

        wait_ns = due_ns < wait_ns ? due_ns : wait_ns;
    }
    arm_timer(loop, wait_ns);
    count = epoll_wait(loop->epoll_fd, events, EVENTS, -1);
    for (int i = 0; i < count; i++) {
        if (events[i].data.fd != loop->timer_fd) {
            curl_multi_socket_action(loop->multi, events[i].data.fd,
                                     actions_of(events[i].events), &running);
        }
    }
    if (loop->timed && !AprTime_Before(now(), loop->due)) {
        loop->timed = false;
        curl_multi_socket_action(loop->multi, CURL_SOCKET_TIMEOUT, 0,
                                 &running);
    }
}
