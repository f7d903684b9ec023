#ifndef APRICOT_CLOCK_H
#define APRICOT_CLOCK_H

#include <stdbool.h>
#include <stdint.h>
#include <time.h>

/* Source of time, passed to every module that needs it. `now` is monotonic and
   includes the time during which the machine is suspended; `wall` is the
   calendar time. */
typedef struct AprClock_t {
    struct timespec (*now)(void *context);
    struct timespec (*wall)(void *context);
    void *context;
} AprClock_t;

AprClock_t AprClock_System(void);
struct timespec AprClock_Now(const AprClock_t *clock);
int64_t AprClock_WallMs(const AprClock_t *clock);

struct timespec AprTime_AddMs(struct timespec time, int64_t ms);
int64_t AprTime_DiffNs(struct timespec later, struct timespec earlier);
int64_t AprTime_DiffMs(struct timespec later, struct timespec earlier);
bool AprTime_IsBefore(struct timespec left, struct timespec right);
int64_t AprTime_ToMs(struct timespec time);
struct timespec AprTime_FromMs(int64_t ms);

#endif
