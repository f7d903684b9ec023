#ifndef APRICOT_COLD_LIMIT_H
#define APRICOT_COLD_LIMIT_H

#include <stdbool.h>
#include <stdint.h>

/* Limit on the requests a second to a cold backend server. A cold backend
   server works slowly for some time after its start, or again later, and
   crashes when it gets many more requests than its configuration names. The
   code makes decisions only: it does no input or output, and the caller passes
   the time, in milliseconds of a monotonic clock. */

/* Length of the window in which the limit is kept. Requests may arrive up to
   100 ms later than they were sent, so that those sent in 1.1 s may arrive
   within one second. */
#define APR_COLD_WINDOW_MS 1100

/* Most requests that may be sent in a window, and number of send times that
   are kept. */
#define APR_COLD_MAX_WINDOW_REQUESTS 512

typedef struct AprColdLimit_t {
    double per_s; /* requests a second that a cold backend server tolerates;
                     0: there is no limit */
    double rate;  /* requests a second that are sent */
    double burst; /* requests that may follow each other at once */
    int window_limit; /* most requests in a window */
    int64_t created_ms;
    bool cold;
    /* While cold: end of the cold time as last reported, and of the time in
       which that report holds. */
    int64_t cold_until_ms;
    int64_t valid_until_ms;
    double allowance; /* requests that may be sent at `allowance_ms` */
    int64_t allowance_ms;
    double mean_service_ms; /* moving average; 0: not known */
    int64_t sent_ms[APR_COLD_MAX_WINDOW_REQUESTS]; /* ring of send times */
    uint64_t sent_count; /* index of the next send time, modulo its size */
} AprColdLimit_t;

void AprColdLimit_Init(AprColdLimit_t *limit, int64_t now_ms);
void AprColdLimit_Configure(AprColdLimit_t *limit, double per_s, double over,
                            double slack, int64_t now_ms);
void AprColdLimit_Report(AprColdLimit_t *limit, int64_t cold_left_ms,
                         int64_t now_ms);
bool AprColdLimit_IsCold(const AprColdLimit_t *limit, int64_t now_ms);
int64_t AprColdLimit_RemainingMs(const AprColdLimit_t *limit, int64_t now_ms);
void AprColdLimit_CountSent(AprColdLimit_t *limit, int64_t now_ms);
int64_t AprColdLimit_WaitMs(const AprColdLimit_t *limit, int64_t now_ms);
bool AprColdLimit_HasRoom(const AprColdLimit_t *limit, int64_t now_ms);
int AprColdLimit_CountRecent(const AprColdLimit_t *limit, int64_t now_ms);
void AprColdLimit_AddServiceTime(AprColdLimit_t *limit, double service_ms);
int AprColdLimit_UsableSlots(const AprColdLimit_t *limit, int slots,
                             int64_t now_ms);

#endif
