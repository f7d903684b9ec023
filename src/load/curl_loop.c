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
#define MAX_EVENTS 256

struct AprCurlLoop_t {
    CURLM *multi;
    int epoll_fd;
    int timer_fd;
    bool timeout_set; /* libcurl has asked for a call at timeout_at */
    struct timespec timeout_at;
};

static struct timespec
current_time(void)
{
    AprClock_t clock = AprClock_System();

    return AprClock_Now(&clock);
}

/* libcurl socket callback: registers the events that libcurl waits for with
   epoll. registered_loop is NULL for a socket that epoll does not know yet. */
static int
update_socket_events(CURL *easy, curl_socket_t socket, int curl_events,
                     void *context, void *registered_loop)
{
    AprCurlLoop_t *loop = context;
    struct epoll_event event = {.data.fd = socket};

    (void)easy;
    if (curl_events == CURL_POLL_REMOVE) {
        epoll_ctl(loop->epoll_fd, EPOLL_CTL_DEL, socket, NULL);
        return 0;
    }
    event.events = ((curl_events & CURL_POLL_IN) != 0 ? EPOLLIN : 0u) |
                   ((curl_events & CURL_POLL_OUT) != 0 ? EPOLLOUT : 0u);
    epoll_ctl(loop->epoll_fd,
              registered_loop == NULL ? EPOLL_CTL_ADD : EPOLL_CTL_MOD, socket,
              &event);
    curl_multi_assign(loop->multi, socket, loop);
    return 0;
}

/* libcurl timer callback: timeout_ms is -1 to cancel the timer. */
static int
set_timeout(CURLM *multi, long timeout_ms, void *context)
{
    AprCurlLoop_t *loop = context;

    (void)multi;
    loop->timeout_set = timeout_ms >= 0;
    loop->timeout_at = AprTime_AddMs(current_time(), timeout_ms);
    return 0;
}

/* Creates a loop that keeps at most `connections` connections open. Returns
   NULL when memory or file descriptors run out. */
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
    /* AprClock_System includes the time that the machine is suspended, so the
       timer uses a clock that does too. */
    loop->timer_fd =
        timerfd_create(CLOCK_BOOTTIME, TFD_NONBLOCK | TFD_CLOEXEC);
    event.data.fd = loop->timer_fd;
    if (loop->multi == NULL || loop->epoll_fd < 0 || loop->timer_fd < 0 ||
        epoll_ctl(loop->epoll_fd, EPOLL_CTL_ADD, loop->timer_fd, &event) < 0) {
        AprCurlLoop_Free(loop);
        return NULL;
    }
    curl_multi_setopt(loop->multi, CURLMOPT_SOCKETFUNCTION,
                      update_socket_events);
    curl_multi_setopt(loop->multi, CURLMOPT_SOCKETDATA, loop);
    curl_multi_setopt(loop->multi, CURLMOPT_TIMERFUNCTION, set_timeout);
    curl_multi_setopt(loop->multi, CURLMOPT_TIMERDATA, loop);
    curl_multi_setopt(loop->multi, CURLMOPT_MAX_TOTAL_CONNECTIONS,
                      (long)connections);
    curl_multi_setopt(loop->multi, CURLMOPT_MAXCONNECTS, (long)connections);
    return loop;
}

/* Frees a loop; NULL is allowed. The caller has removed and freed its
   transfers before. */
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

/* Returns the libcurl multi handle, to add transfers to and to read their
   results from. The loop owns it. */
CURLM *
AprCurlLoop_GetMulti(AprCurlLoop_t *loop)
{
    return loop->multi;
}

/* Sets the timer to expire after wait_ns. The timeout of epoll_wait is in
   milliseconds, which is too coarse for more than 1,000 arrivals per second;
   the timer has a resolution of 1 ns. A time of 0 would disarm it, so the
   minimum is 1 ns. */
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
curl_select_flags(uint32_t events)
{
    return ((events & EPOLLIN) != 0 ? CURL_CSELECT_IN : 0) |
           ((events & EPOLLOUT) != 0 ? CURL_CSELECT_OUT : 0) |
           ((events & (EPOLLERR | EPOLLHUP)) != 0 ? CURL_CSELECT_ERR : 0);
}

/* Waits up to max_wait_ns nanoseconds for socket events or a timeout of
   libcurl, and passes them to libcurl. */
void
AprCurlLoop_RunOnce(AprCurlLoop_t *loop, int64_t max_wait_ns)
{
    struct epoll_event events[MAX_EVENTS];
    int running;
    int count;

    if (loop->timeout_set) {
        int64_t until_timeout_ns =
            AprTime_DiffNs(loop->timeout_at, current_time());

        max_wait_ns =
            until_timeout_ns < max_wait_ns ? until_timeout_ns : max_wait_ns;
    }
    arm_timer(loop, max_wait_ns);
    count = epoll_wait(loop->epoll_fd, events, MAX_EVENTS, -1);
    for (int i = 0; i < count; i++) {
        if (events[i].data.fd != loop->timer_fd) {
            curl_multi_socket_action(loop->multi, events[i].data.fd,
                                     curl_select_flags(events[i].events),
                                     &running);
        }
    }
    if (loop->timeout_set &&
        !AprTime_IsBefore(current_time(), loop->timeout_at)) {
        loop->timeout_set = false;
        curl_multi_socket_action(loop->multi, CURL_SOCKET_TIMEOUT, 0,
                                 &running);
    }
}
