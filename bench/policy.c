/* Service by rank in virtual time: six slots, Poisson arrivals, exponential
   service times. The rank queue is compared with a first-come-first-served
   queue of the same total size that also drops work past its deadline. */

#include <stdio.h>
#include <stdlib.h>

#include <gsl/gsl_randist.h>
#include <gsl/gsl_rng.h>

#include "apricot/clock.h"
#include "apricot/error.h"
#include "apricot/rank_queue.h"
#include "internal/latency.h"

#define RANKS 3
#define SLOTS 6
#define PER_RANK 256
#define ITEMS (RANKS * PER_RANK + SLOTS)
#define SERVICE_MS 5.0
#define WARM_UP_MS 20000.0 /* longer than the longest deadline */
#define END_MS 80000.0
#define TIMEOUT_FACTOR 4 /* default timeout of callers: target x 4 */
#define DEFAULT_SEED 20261204
#define NEVER 1e18

/* Capacity is 6 slots / 5 ms = 1,200 requests per second. */
typedef struct scenario_t {
    const char *name;
    double rates[RANKS]; /* requests per second */
} scenario_t;

static const char *const rank_names[RANKS] = {"urgent", "normal", "batch"};
static const AprRankSpec_t specs[RANKS] = {{50, 10}, {400, 3}, {2000, 1}};
static const scenario_t scenarios[] = {
    {"no_load", {24, 36, 60}},
    {"saturation", {240, 360, 600}},
    {"flood_batch", {144, 216, 6000}},
    {"flood_urgent", {6000, 216, 360}},
};

typedef struct result_t {
    double offered;
    double answered;
    double in_target;
    double dispatched;
    AprLatencyHistogram_t *latency;
} result_t;

typedef struct sim_t {
    bool first_come;
    AprRankQueue_t *queue;
    uint32_t fifo[RANKS * PER_RANK];
    uint32_t fifo_first;
    uint32_t fifo_size;
    struct {
        double arrived_ms;
        int rank;
    } items[ITEMS];
    uint32_t free_items[ITEMS];
    uint32_t free_count;
    struct {
        double end_ms; /* NEVER: the slot is free */
        double start_ms;
        uint32_t item;
    } slots[SLOTS];
    gsl_rng *arrivals;
    gsl_rng *services;
    double next_ms[RANKS];
    double now_ms;
    result_t results[RANKS];
} sim_t;

static struct timespec
to_time(double ms)
{
    struct timespec start = {1, 0};
    int64_t ns = (int64_t)(ms * 1e6);

    start.tv_sec += ns / 1000000000;
    start.tv_nsec = ns % 1000000000;
    return start;
}

static double
deadline_ms(const sim_t *sim, uint32_t item)
{
    return sim->items[item].arrived_ms +
           specs[sim->items[item].rank].target_ms * TIMEOUT_FACTOR;
}

static bool
counted(const sim_t *sim, uint32_t item)
{
    return sim->items[item].arrived_ms >= WARM_UP_MS;
}

static void
release_item(sim_t *sim, uint32_t item)
{
    sim->free_items[sim->free_count++] = item;
}

static bool
enqueue(sim_t *sim, uint32_t item)
{
    int rank = sim->items[item].rank;

    if (!sim->first_come) {
        return AprRankQueue_Push(sim->queue, rank, item,
                                 to_time(deadline_ms(sim, item)),
                                 to_time(sim->now_ms)) == APR_OK;
    }
    if (sim->fifo_size == RANKS * PER_RANK) {
        return false;
    }
    sim->fifo[(sim->fifo_first + sim->fifo_size++) % (RANKS * PER_RANK)] =
        item;
    return true;
}

static bool
dequeue(sim_t *sim, uint32_t *item)
{
    int rank;

    if (!sim->first_come) {
        while (
            AprRankQueue_PopExpired(sim->queue, to_time(sim->now_ms), item)) {
            release_item(sim, *item);
        }
        return AprRankQueue_Pop(sim->queue, to_time(sim->now_ms), item, &rank);
    }
    while (sim->fifo_size > 0) {
        *item = sim->fifo[sim->fifo_first];
        sim->fifo_first = (sim->fifo_first + 1) % (RANKS * PER_RANK);
        sim->fifo_size--;
        if (deadline_ms(sim, *item) > sim->now_ms) {
            return true;
        }
        release_item(sim, *item);
    }
    return false;
}

static void
dispatch(sim_t *sim)
{
    for (int i = 0; i < SLOTS; i++) {
        uint32_t item;

        if (sim->slots[i].end_ms != NEVER) {
            continue;
        }
        if (!dequeue(sim, &item)) {
            return;
        }
        sim->slots[i].item = item;
        sim->slots[i].start_ms = sim->now_ms;
        sim->slots[i].end_ms =
            sim->now_ms + gsl_ran_exponential(sim->services, SERVICE_MS);
        if (sim->now_ms >= WARM_UP_MS) {
            sim->results[sim->items[item].rank].dispatched++;
        }
    }
}

static void
arrive(sim_t *sim, int rank, double rate)
{
    uint32_t item;

    sim->next_ms[rank] += gsl_ran_exponential(sim->arrivals, 1000 / rate);
    if (sim->now_ms >= WARM_UP_MS) {
        sim->results[rank].offered++;
    }
    if (sim->free_count == 0) {
        return;
    }
    item = sim->free_items[--sim->free_count];
    sim->items[item].arrived_ms = sim->now_ms;
    sim->items[item].rank = rank;
    if (!enqueue(sim, item)) {
        release_item(sim, item);
    }
}

static void
finish(sim_t *sim, int slot)
{
    uint32_t item = sim->slots[slot].item;
    int rank = sim->items[item].rank;
    double took_ms = sim->now_ms - sim->items[item].arrived_ms;
    result_t *result = &sim->results[rank];

    sim->slots[slot].end_ms = NEVER;
    if (!sim->first_come) {
        AprRankQueue_Finish(sim->queue, rank,
                            sim->now_ms - sim->slots[slot].start_ms);
    }
    if (counted(sim, item) && deadline_ms(sim, item) >= sim->now_ms) {
        result->answered++;
        result->in_target += took_ms <= specs[rank].target_ms;
        AprLatencyHistogram_Add(result->latency, took_ms);
    }
    release_item(sim, item);
}

/* Advances to the next event. */
static void
step(sim_t *sim, const scenario_t *scenario)
{
    int rank = 0;
    int slot = 0;

    for (int i = 1; i < RANKS; i++) {
        rank = sim->next_ms[i] < sim->next_ms[rank] ? i : rank;
    }
    for (int i = 1; i < SLOTS; i++) {
        slot = sim->slots[i].end_ms < sim->slots[slot].end_ms ? i : slot;
    }
    if (sim->slots[slot].end_ms < sim->next_ms[rank]) {
        sim->now_ms = sim->slots[slot].end_ms;
        finish(sim, slot);
    }
    else {
        sim->now_ms = sim->next_ms[rank];
        arrive(sim, rank, scenario->rates[rank]);
    }
    dispatch(sim);
}

static sim_t *
simulate(const scenario_t *scenario, bool first_come, unsigned long seed)
{
    sim_t *sim = calloc(1, sizeof(*sim));

    if (sim == NULL) {
        abort();
    }
    sim->first_come = first_come;
    sim->queue = AprRankQueue_New(specs, RANKS, SLOTS, PER_RANK);
    sim->arrivals = gsl_rng_alloc(gsl_rng_mt19937);
    sim->services = gsl_rng_alloc(gsl_rng_mt19937);
    gsl_rng_set(sim->arrivals, seed);
    gsl_rng_set(sim->services, seed + 1);
    for (uint32_t i = 0; i < ITEMS; i++) {
        release_item(sim, i);
    }
    for (int i = 0; i < SLOTS; i++) {
        sim->slots[i].end_ms = NEVER;
    }
    for (int i = 0; i < RANKS; i++) {
        sim->results[i].latency = AprLatencyHistogram_New();
    }
    while (sim->now_ms < END_MS) {
        step(sim, scenario);
    }
    return sim;
}

static void
free_sim(sim_t *sim)
{
    for (int i = 0; i < RANKS; i++) {
        AprLatencyHistogram_Free(sim->results[i].latency);
    }
    AprRankQueue_Free(sim->queue);
    gsl_rng_free(sim->arrivals);
    gsl_rng_free(sim->services);
    free(sim);
}

static double
dispatch_share(const sim_t *sim, int rank)
{
    double all = 0;

    for (int i = 0; i < RANKS; i++) {
        all += sim->results[i].dispatched;
    }
    return sim->results[rank].dispatched / all;
}

static void
print(const char *scenario, const char *queue, int rank, const char *what,
      double value, const char *unit)
{
    printf("policy.%s.%s.%s.%s %.4g %s\n", scenario, queue, rank_names[rank],
           what, value, unit);
}

static void
print_results(const char *scenario, const char *queue, const sim_t *sim)
{
    for (int i = 0; i < RANKS; i++) {
        const result_t *result = &sim->results[i];

        print(scenario, queue, i, "answered",
              result->answered / result->offered, "fraction");
        print(scenario, queue, i, "in_target",
              result->in_target / result->offered, "fraction");
        print(scenario, queue, i, "p50",
              AprLatencyHistogram_Quantile(result->latency, 0.5), "ms");
        print(scenario, queue, i, "p99",
              AprLatencyHistogram_Quantile(result->latency, 0.99), "ms");
        print(scenario, queue, i, "dispatch_share", dispatch_share(sim, i),
              "fraction");
    }
}

/* What a rank can claim of the dispatches: its guaranteed share, or less when
   less of it arrives. */
static double
claim(const scenario_t *scenario, const sim_t *sim, int rank)
{
    double share = AprRankQueue_GuaranteedShare(sim->queue, rank);
    double offered = scenario->rates[rank] * SERVICE_MS / 1000 / SLOTS;

    return offered < share ? offered : share;
}

static void
compare(const scenario_t *scenario, unsigned long seed)
{
    sim_t *ours = simulate(scenario, false, seed);
    sim_t *base = simulate(scenario, true, seed);

    print_results(scenario->name, "rank_queue", ours);
    print_results(scenario->name, "first_come", base);
    for (int i = 0; i < RANKS; i++) {
        double in_target = base->results[i].in_target;

        print(scenario->name, "rank_queue", i, "share_kept_of_claim",
              dispatch_share(ours, i) / claim(scenario, ours, i), "ratio");
        print(scenario->name, "rank_queue", i, "in_target_to_first_come",
              in_target > 0 ? ours->results[i].in_target / in_target : -1,
              in_target > 0 ? "ratio" : "none_in_baseline");
    }
    free_sim(ours);
    free_sim(base);
}

int
main(int argc, char **argv)
{
    unsigned long seed = argc > 1 ? strtoul(argv[1], NULL, 10) : DEFAULT_SEED;

    printf("policy.seed %lu seed\n", seed);
    for (size_t i = 0; i < sizeof(scenarios) / sizeof(scenarios[0]); i++) {
        compare(&scenarios[i], seed);
    }
    return 0;
}
