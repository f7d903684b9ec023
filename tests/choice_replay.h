#ifndef APRICOT_TESTS_CHOICE_REPLAY_H
#define APRICOT_TESTS_CHOICE_REPLAY_H

/* Replays unkeyed requests through many entry gateways, each of which knows
   the load of the hosts by their responses to its own requests only. Hosts
   differ in slots and speed, work takes three times as long in spells of 400
   ms, a fifth of the time, and service times are log-normal with one in fifty
   five times as long. Refused requests try up to four hosts. */

#include <math.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "apricot/admission.h"
#include "internal/host_choice.h"

#define REPLAY_MAX_HOSTS 300
#define REPLAY_MEAN_MS 80.0
#define REPLAY_SPREAD 0.4
#define REPLAY_OBJECTIVE_MS 350
#define REPLAY_DEADLINE_MS 1200
#define REPLAY_WARM_MS 1000 /* not counted */
#define REPLAY_SLOW_MS 400
#define REPLAY_CYCLE_MS 2000
#define REPLAY_DOMAINS 4
#define REPLAY_ATTEMPTS 4
#define REPLAY_MAX_RUNNING 16

typedef enum ReplayPolicy_t {
    REPLAY_PRESENT,   /* present admission, all hosts compared */
    REPLAY_ADMISSION, /* admission by cost, all hosts compared */
    REPLAY_ADAPTIVE,  /* admission by cost, sampled hosts */
    REPLAY_POLICIES
} ReplayPolicy_t;

typedef struct ReplayOptions_t {
    ReplayPolicy_t policy;
    int hosts;
    double load;       /* of the mean capacity */
    bool failing_host; /* host 0 fails everything at once */
    int64_t duration_ms;
} ReplayOptions_t;

typedef struct ReplayResult_t {
    int offered;
    int timely;
    int late;
    int failed;  /* by the failing host */
    int refused; /* by all hosts that were tried */
    double decision_ns;
} ReplayResult_t;

/* What an entry gateway knows about a host. */
typedef struct ReplayView_t {
    int64_t report_ms; /* 0: none */
    int64_t wait_ms;
    int request_count;
    double work_ms;
    double pace;
    int in_flight;
    int sent_count;
    AprRecentFailures_t failures;
} ReplayView_t;

typedef struct ReplayRequest_t {
    int entry;
    int host;
    int64_t arrived_ms;
    double work_ms;
    int tried[REPLAY_ATTEMPTS];
    int tried_count;
    bool counted; /* in the result */
} ReplayRequest_t;

typedef struct ReplayHost_t {
    AprAdmission_t admission;
    AprCostModel_t costs;
    AprRecentFailures_t failures;
    int slots;
    double speed;
    int64_t slow_from_ms;
    int running[REPLAY_MAX_RUNNING];
    int running_count;
} ReplayHost_t;

typedef struct Replay_t {
    ReplayOptions_t options;
    uint64_t random_state;
    ReplayHost_t *hosts;
    ReplayView_t *views; /* entry * hosts + host */
    AprUsualLoad_t usual[REPLAY_MAX_HOSTS];
    ReplayRequest_t *requests;
    int request_count;
    int request_capacity;
    int64_t decisions;
    double decision_ns;
    ReplayResult_t result;
} Replay_t;

static inline double
replay_random(Replay_t *replay)
{
    replay->random_state =
        replay->random_state * 6364136223846793005u + 1442695041u;
    return ((double)(replay->random_state >> 33) + 0.5) / 2147483648.0;
}

static inline double
replay_work_ms(Replay_t *replay)
{
    double normal = sqrt(-2 * log(replay_random(replay))) *
                    cos(6.283185307 * replay_random(replay));
    double factor =
        exp(REPLAY_SPREAD * normal - REPLAY_SPREAD * REPLAY_SPREAD / 2);

    return REPLAY_MEAN_MS * factor * (replay_random(replay) < 0.02 ? 5 : 1);
}

static inline bool
replay_is_slow(const ReplayHost_t *host, int64_t now_ms)
{
    return now_ms >= host->slow_from_ms &&
           now_ms < host->slow_from_ms + REPLAY_SLOW_MS;
}

/* The host reports its load to an entry gateway. */
static inline void
replay_report(Replay_t *replay, int entry, int host_index, int64_t now_ms)
{
    ReplayHost_t *host = &replay->hosts[host_index];
    ReplayView_t *view =
        &replay->views[entry * replay->options.hosts + host_index];

    view->report_ms = now_ms;
    view->wait_ms = AprAdmission_ExpectedWaitMs(&host->admission, 0, now_ms);
    view->request_count =
        host->admission.running_count + host->admission.queue_count;
    view->sent_count = 0;
    if (replay->options.policy != REPLAY_PRESENT) {
        view->work_ms =
            AprAdmission_RemainingWorkMs(&host->admission, now_ms) +
            host->slots * AprRecentFailures_PenaltyMs(&host->failures, now_ms);
        view->pace = AprCostModel_Pace(&host->costs, now_ms);
        AprUsualLoad_Add(&replay->usual[entry], view->work_ms, view->pace,
                         view->request_count, host->slots);
    }
}

static inline void
replay_fill(Replay_t *replay, int entry, int host, int64_t now_ms,
            AprHostCandidate_t *candidate)
{
    const ReplayView_t *view =
        &replay->views[entry * replay->options.hosts + host];

    memset(candidate, 0, sizeof(*candidate));
    candidate->wait_ms = view->wait_ms;
    candidate->age_ms = view->report_ms == 0 ? 0 : now_ms - view->report_ms;
    candidate->request_count = view->request_count;
    candidate->in_flight = host == entry ? 0 : view->in_flight;
    candidate->slots = replay->hosts[host].slots;
    candidate->same_domain = host % REPLAY_DOMAINS == entry % REPLAY_DOMAINS;
    candidate->tie_breaker = (uint32_t)(replay_random(replay) * 4e9);
    if (replay->options.policy == REPLAY_ADAPTIVE) {
        candidate->age_ms =
            view->report_ms == 0 ? INT32_MAX : candidate->age_ms;
        candidate->has_work = view->report_ms != 0;
        candidate->work_ms = view->work_ms;
        candidate->pace = view->pace;
        candidate->sent_count = host == entry ? 0 : view->sent_count;
        candidate->failures_ms =
            AprRecentFailures_PenaltyMs(&view->failures, now_ms);
    }
}

static inline bool
replay_was_tried(const ReplayRequest_t *request, int host)
{
    for (int i = 0; i < request->tried_count; i++) {
        if (request->tried[i] == host) {
            return true;
        }
    }
    return false;
}

static inline int
replay_choose(Replay_t *replay, const ReplayRequest_t *request, int64_t now_ms)
{
    int hosts = replay->options.hosts;
    AprHostCandidate_t candidate;
    AprHostCandidate_t best_candidate = {0};
    AprHostSample_t sample;
    int best = -1;

    if (replay->options.policy != REPLAY_ADAPTIVE) {
        for (int i = 0; i < hosts; i++) {
            if (replay_was_tried(request, i)) {
                continue;
            }
            replay_fill(replay, request->entry, i, now_ms, &candidate);
            if (best < 0 ||
                AprHostCandidate_IsBetter(&candidate, &best_candidate)) {
                best = i;
                best_candidate = candidate;
            }
        }
        return best;
    }
    replay_random(replay);
    AprHostSample_Init(&sample, hosts, request->entry, replay->random_state);
    for (int step = 0; step <= hosts; step++) {
        int index = AprHostSample_IndexAt(&sample, step);

        if (index < 0 || replay_was_tried(request, index)) {
            continue;
        }
        replay_fill(replay, request->entry, index, now_ms, &candidate);
        if (AprHostSample_Add(&sample, index, &candidate, step)) {
            break;
        }
    }
    return AprHostSample_FindBest(&sample, &replay->usual[request->entry]);
}

static inline void replay_send(Replay_t *replay, int index, int64_t now_ms);

/* An attempt of a request ended without an answer. */
static inline void
replay_fail(Replay_t *replay, int index, bool refused, int64_t now_ms)
{
    ReplayRequest_t *request = &replay->requests[index];
    ReplayView_t *view =
        &replay->views[request->entry * replay->options.hosts + request->host];

    view->in_flight--;
    AprRecentFailures_Add(
        &view->failures,
        (double)(request->arrived_ms + REPLAY_OBJECTIVE_MS - now_ms), now_ms);
    replay_report(replay, request->entry, request->host, now_ms);
    if (!refused) {
        replay->result.failed += request->counted;
        return;
    }
    if (request->tried_count < REPLAY_ATTEMPTS &&
        (double)(now_ms - request->arrived_ms) < 0.7 * REPLAY_DEADLINE_MS) {
        replay_send(replay, index, now_ms);
        return;
    }
    replay->result.refused += request->counted;
}

static inline void
replay_send(Replay_t *replay, int index, int64_t now_ms)
{
    ReplayRequest_t *request = &replay->requests[index];
    AprAdmissionRequest_t offered = {0};
    struct timespec before;
    struct timespec after;
    ReplayHost_t *host;
    ReplayView_t *view;

    clock_gettime(CLOCK_MONOTONIC, &before);
    request->host = replay_choose(replay, request, now_ms);
    clock_gettime(CLOCK_MONOTONIC, &after);
    replay->decisions++;
    replay->decision_ns += (double)(after.tv_sec - before.tv_sec) * 1e9 +
                           (double)(after.tv_nsec - before.tv_nsec);
    if (request->host < 0) {
        replay->result.refused += request->counted;
        return;
    }
    request->tried[request->tried_count++] = request->host;
    host = &replay->hosts[request->host];
    view =
        &replay->views[request->entry * replay->options.hosts + request->host];
    view->in_flight++;
    view->sent_count++;
    if (replay->options.failing_host && request->host == 0) {
        AprRecentFailures_Add(
            &host->failures,
            (double)(request->arrived_ms + REPLAY_OBJECTIVE_MS - now_ms),
            now_ms);
        replay_fail(replay, index, false, now_ms);
        return;
    }
    offered.id = (uint64_t)index + 1;
    offered.kind = 1;
    offered.arrived_ms = request->arrived_ms;
    offered.objective_ms = request->arrived_ms + REPLAY_OBJECTIVE_MS;
    offered.deadline_ms = request->arrived_ms + REPLAY_DEADLINE_MS;
    if (!AprAdmission_Offer(&host->admission, &offered, now_ms).admitted) {
        replay_fail(replay, index, true, now_ms);
    }
}

static inline void
replay_run_host(Replay_t *replay, int host_index, int64_t now_ms)
{
    ReplayHost_t *host = &replay->hosts[host_index];
    bool slow = replay_is_slow(host, now_ms);
    AprAdmissionRequest_t started;
    AprAdmissionDecision_t decision;

    for (int i = 0; i < host->running_count; i++) {
        int index = host->running[i];
        ReplayRequest_t *request = &replay->requests[index];
        int64_t took_ms = now_ms - request->arrived_ms;

        request->work_ms -= host->speed * (slow ? 1 / 3.0 : 1);
        if (request->work_ms > 0) {
            continue;
        }
        host->running[i--] = host->running[--host->running_count];
        if (replay->options.policy != REPLAY_PRESENT) {
            AprCostModel_ReportPace(&host->costs, slow ? 300 : 100, now_ms);
        }
        AprRecentFailures_Add(&host->failures, 0, now_ms);
        AprAdmission_Finish(&host->admission, (uint64_t)index + 1, now_ms,
                            true);
        replay_report(replay, request->entry, host_index, now_ms);
        replay->views[request->entry * replay->options.hosts + host_index]
            .in_flight--;
        AprRecentFailures_Add(
            &replay->views[request->entry * replay->options.hosts + host_index]
                 .failures,
            0, now_ms);
        if (request->counted) {
            replay->result.timely += took_ms <= REPLAY_OBJECTIVE_MS;
            replay->result.late +=
                took_ms > REPLAY_OBJECTIVE_MS && took_ms <= REPLAY_DEADLINE_MS;
        }
    }
    while (AprAdmission_StartNext(&host->admission, now_ms, &started)) {
        host->running[host->running_count++] = (int)started.id - 1;
    }
    while (
        AprAdmission_ShedNext(&host->admission, now_ms, &started, &decision)) {
        replay_fail(replay, (int)started.id - 1, true, now_ms);
    }
}

static inline ReplayResult_t
replay_choice(const ReplayOptions_t *options)
{
    static Replay_t replay;
    double capacity = 0; /* work a millisecond */
    double due = 0;

    memset(&replay, 0, sizeof(replay));
    replay.options = *options;
    replay.random_state = 5;
    replay.hosts = calloc((size_t)options->hosts, sizeof(ReplayHost_t));
    replay.views = calloc((size_t)(options->hosts * options->hosts),
                          sizeof(ReplayView_t));
    for (int i = 0; i < options->hosts; i++) {
        ReplayHost_t *host = &replay.hosts[i];

        host->slots = 4 + (int)(replay_random(&replay) * 6);
        host->speed = 0.5 + 1.2 * replay_random(&replay);
        capacity += host->slots * host->speed * (0.8 + 0.2 / 3);
        AprAdmission_Init(&host->admission, host->slots);
        AprCostModel_Init(&host->costs, 0);
        if (options->policy != REPLAY_PRESENT) {
            AprAdmission_SetCostModel(&host->admission, &host->costs);
        }
    }
    for (int64_t now_ms = 1; now_ms < options->duration_ms; now_ms++) {
        due += options->load * capacity / (REPLAY_MEAN_MS * 1.08) * 2 *
               replay_random(&replay);
        while (due >= 1) {
            ReplayRequest_t *request;

            due -= 1;
            if (replay.request_count == replay.request_capacity) {
                replay.request_capacity = replay.request_capacity * 2 + 100000;
                replay.requests =
                    realloc(replay.requests, (size_t)replay.request_capacity *
                                                 sizeof(*replay.requests));
            }
            request = &replay.requests[replay.request_count++];
            memset(request, 0, sizeof(*request));
            request->entry = (int)(replay_random(&replay) * options->hosts);
            request->arrived_ms = now_ms;
            request->work_ms = replay_work_ms(&replay);
            /* Later ones keep up the load only. */
            request->counted =
                now_ms > REPLAY_WARM_MS &&
                now_ms < options->duration_ms - REPLAY_DEADLINE_MS;
            replay.result.offered += request->counted;
            replay_send(&replay, replay.request_count - 1, now_ms);
        }
        for (int i = 0; i < options->hosts; i++) {
            if (now_ms % REPLAY_CYCLE_MS == 1) {
                replay.hosts[i].slow_from_ms =
                    now_ms + (int64_t)(replay_random(&replay) *
                                       (REPLAY_CYCLE_MS - REPLAY_SLOW_MS));
            }
            replay_run_host(&replay, i, now_ms);
        }
    }
    replay.result.decision_ns = replay.decision_ns / (double)replay.decisions;
    free(replay.hosts);
    free(replay.views);
    free(replay.requests);
    replay.requests = NULL;
    return replay.result;
}

#endif
