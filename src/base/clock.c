#include "apricot/clock.h"

#include <stddef.h>

#define NS_PER_S 1000000000LL
#define NS_PER_MS 1000000LL
#define MS_PER_S 1000LL

/* CLOCK_BOOTTIME, unlike CLOCK_MONOTONIC, advances while a virtual machine is
   suspended, so that a lease does not outlive the suspension. */
static struct timespec
system_now(void *context)
{
    struct timespec time;

    (void)context;
    clock_gettime(CLOCK_BOOTTIME, &time);
    return time;
}

static struct timespec
system_wall(void *context)
{
    struct timespec time;

    (void)context;
    clock_gettime(CLOCK_REALTIME, &time);
    return time;
}

/* Returns the clock of the operating system. */
AprClock_t
AprClock_System(void)
{
    AprClock_t clock = {system_now, system_wall, NULL};

    return clock;
}

/* Reads the monotonic time of a clock. */
struct timespec
AprClock_Now(const AprClock_t *clock)
{
    return clock->now(clock->context);
}

/* Reads the calendar time of a clock in milliseconds since 1970. */
int64_t
AprClock_WallMs(const AprClock_t *clock)
{
    return AprTime_ToMs(clock->wall(clock->context));
}

/* Returns a time plus milliseconds, which may be negative. */
struct timespec
AprTime_AddMs(struct timespec time, int64_t ms)
{
    int64_t ns = time.tv_nsec + (ms % MS_PER_S) * NS_PER_MS;

    time.tv_sec += ms / MS_PER_S;
    if (ns >= NS_PER_S) {
        ns -= NS_PER_S;
        time.tv_sec++;
    }
    else if (ns < 0) {
        ns += NS_PER_S;
        time.tv_sec--;
    }
    time.tv_nsec = ns;
    return time;
}

/* Returns the difference in nanoseconds; negative if `later` is before
   `earlier`. */
int64_t
AprTime_DiffNs(struct timespec later, struct timespec earlier)
{
    return (later.tv_sec - earlier.tv_sec) * NS_PER_S +
           (later.tv_nsec - earlier.tv_nsec);
}

/* Returns the difference in milliseconds, rounded towards zero. */
int64_t
AprTime_DiffMs(struct timespec later, struct timespec earlier)
{
    return AprTime_DiffNs(later, earlier) / NS_PER_MS;
}

/* Returns whether `left` is strictly before `right`. */
bool
AprTime_IsBefore(struct timespec left, struct timespec right)
{
    if (left.tv_sec != right.tv_sec) {
        return left.tv_sec < right.tv_sec;
    }
    return left.tv_nsec < right.tv_nsec;
}

/* Converts a time to milliseconds, rounded down. */
int64_t
AprTime_ToMs(struct timespec time)
{
    return time.tv_sec * MS_PER_S + time.tv_nsec / NS_PER_MS;
}

/* Converts non-negative milliseconds to a time. */
struct timespec
AprTime_FromMs(int64_t ms)
{
    struct timespec time = {ms / MS_PER_S, (ms % MS_PER_S) * NS_PER_MS};

    return time;
}
