/* Simulates service by rank in virtual time: six slots, Poisson arrivals,
   exponential service times. The rank queue is compared with a FIFO queue of
   the same total size that also drops requests past their deadline. */

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
#define QUEUE_SIZE_PER_RANK 256
#define ITEM_COUNT (RANKS * QUEUE_SIZE_PER_RANK + SLOTS)
#define SERVICE_MS 5.0
#define WARM_UP_MS 20000.0 /* above the longest timeout, 8,000 ms */
#define END_MS 80000.0     /* of the simulation */
#define TIMEOUT_FACTOR 4   /* default timeout of callers per target time */
#define DEFAULT_SEED 20261204
#define NO_END_MS 1e18

/* Capacity is 6 slots / 5 ms = 1,200 requests per second. */
typedef struct Scenario_t {
    const char *name;
    double rates[RANKS]; /* requests per second */
} Scenario_t;

static const char *const rank_names[RANKS] = {"urgent", "normal", "batch"};
static const AprRankSpec_t specs[RANKS] = {{50, 10}, {400, 3}, {2000, 1}};
static const Scenario_t scenarios[] = {
    {"no_load", {24, 36, 60}},
    {"saturation", {240, 360, 600}},
    {"flood_batch", {144, 216, 6000}},
    {"flood_urgent", {6000, 216, 360}},
};

typedef struct RankResult_t {
    double offered;
    double answered;
    double in_target;
    double dispatched;
    AprLatencyHistogram_t *latency;
} RankResult_t;

typedef struct Simulation_t {
    bool use_fifo;
    AprRankQueue_t *queue;
    uint32_t fifo[RANKS * QUEUE_SIZE_PER_RANK];
    uint32_t fifo_first;
    uint32_t fifo_size;
    struct {
        double arrived_ms;
        int rank;
    } items[ITEM_COUNT];
    uint32_t free_items[ITEM_COUNT];
    uint32_t free_count;
    struct {
        double end_ms; /* NO_END_MS: the slot is free */
        double start_ms;
        uint32_t item;
    } slots[SLOTS];
    gsl_rng *arrival_rng;
    gsl_rng *service_rng;
    double next_arrival_ms[RANKS];
    double now_ms;
    RankResult_t results[RANKS];
} Simulation_t;

/* Converts the time since the start of the simulation. */
static struct timespec
to_timespec(double ms)
{
    struct timespec start = {1, 0};
    int64_t ns = (int64_t)(ms * 1e6);

    start.tv_sec += ns / 1000000000;
    start.tv_nsec = ns % 1000000000;
    return start;
}

static double
deadline_ms(const Simulation_t *sim, uint32_t item)
{
    return sim->items[item].arrived_ms +
           specs[sim->items[item].rank].target_ms * TIMEOUT_FACTOR;
}

static bool
arrived_after_warm_up(const Simulation_t *sim, uint32_t item)
{
    return sim->items[item].arrived_ms >= WARM_UP_MS;
}

static void
release_item(Simulation_t *sim, uint32_t item)
{
    sim->free_items[sim->free_count++] = item;
}

static bool
enqueue(Simulation_t *sim, uint32_t item)
{
    int rank = sim->items[item].rank;

    if (!sim->use_fifo) {
        return AprRankQueue_Push(sim->queue, rank, item,
                                 to_timespec(deadline_ms(sim, item)),
                                 to_timespec(sim->now_ms)) == APR_OK;
    }
    if (sim->fifo_size == RANKS * QUEUE_SIZE_PER_RANK) {
        return false;
    }
    sim->fifo[(sim->fifo_first + sim->fifo_size++) %
              (RANKS * QUEUE_SIZE_PER_RANK)] = item;
    return true;
}

static bool
dequeue(Simulation_t *sim, uint32_t *item)
{
    int rank;

    if (!sim->use_fifo) {
        while (AprRankQueue_PopExpired(sim->queue, to_timespec(sim->now_ms),
                                       item)) {
            release_item(sim, *item);
        }
        return AprRankQueue_Pop(sim->queue, to_timespec(sim->now_ms), item,
                                &rank);
    }
    while (sim->fifo_size > 0) {
        *item = sim->fifo[sim->fifo_first];
        sim->fifo_first =
            (sim->fifo_first + 1) % (RANKS * QUEUE_SIZE_PER_RANK);
        sim->fifo_size--;
        if (deadline_ms(sim, *item) > sim->now_ms) {
            return true;
        }
        release_item(sim, *item);
    }
    return false;
}

static void
dispatch_to_free_slots(Simulation_t *sim)
{
    for (int i = 0; i < SLOTS; i++) {
        uint32_t item;

        if (sim->slots[i].end_ms != NO_END_MS) {
            continue;
        }
        if (!dequeue(sim, &item)) {
            return;
        }
        sim->slots[i].item = item;
        sim->slots[i].start_ms = sim->now_ms;
        sim->slots[i].end_ms =
            sim->now_ms + gsl_ran_exponential(sim->service_rng, SERVICE_MS);
        if (sim->now_ms >= WARM_UP_MS) {
            sim->results[sim->items[item].rank].dispatched++;
        }
    }
}

static void
handle_arrival(Simulation_t *sim, int rank, double rate)
{
    uint32_t item;

    sim->next_arrival_ms[rank] +=
        gsl_ran_exponential(sim->arrival_rng, 1000 / rate);
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
handle_completion(Simulation_t *sim, int slot)
{
    uint32_t item = sim->slots[slot].item;
    int rank = sim->items[item].rank;
    double latency_ms = sim->now_ms - sim->items[item].arrived_ms;
    RankResult_t *result = &sim->results[rank];

    sim->slots[slot].end_ms = NO_END_MS;
    if (!sim->use_fifo) {
        AprRankQueue_Finish(sim->queue, rank,
                            sim->now_ms - sim->slots[slot].start_ms);
    }
    if (arrived_after_warm_up(sim, item) &&
        deadline_ms(sim, item) >= sim->now_ms) {
        result->answered++;
        result->in_target += latency_ms <= specs[rank].target_ms;
        AprLatencyHistogram_Add(result->latency, latency_ms);
    }
    release_item(sim, item);
}

/* Advances the time to the next arrival or completion and handles it. */
static void
process_next_event(Simulation_t *sim, const Scenario_t *scenario)
{
    int rank = 0;
    int slot = 0;

    for (int i = 1; i < RANKS; i++) {
        rank = sim->next_arrival_ms[i] < sim->next_arrival_ms[rank] ? i : rank;
    }
    for (int i = 1; i < SLOTS; i++) {
        slot = sim->slots[i].end_ms < sim->slots[slot].end_ms ? i : slot;
    }
    if (sim->slots[slot].end_ms < sim->next_arrival_ms[rank]) {
        sim->now_ms = sim->slots[slot].end_ms;
        handle_completion(sim, slot);
    }
    else {
        sim->now_ms = sim->next_arrival_ms[rank];
        handle_arrival(sim, rank, scenario->rates[rank]);
    }
    dispatch_to_free_slots(sim);
}

static Simulation_t *
simulate(const Scenario_t *scenario, bool use_fifo, unsigned long seed)
{
    Simulation_t *sim = calloc(1, sizeof(*sim));

    if (sim == NULL) {
        abort();
    }
    sim->use_fifo = use_fifo;
    sim->queue = AprRankQueue_New(specs, RANKS, SLOTS, QUEUE_SIZE_PER_RANK);
    sim->arrival_rng = gsl_rng_alloc(gsl_rng_mt19937);
    sim->service_rng = gsl_rng_alloc(gsl_rng_mt19937);
    gsl_rng_set(sim->arrival_rng, seed);
    gsl_rng_set(sim->service_rng, seed + 1);
    for (uint32_t i = 0; i < ITEM_COUNT; i++) {
        release_item(sim, i);
    }
    for (int i = 0; i < SLOTS; i++) {
        sim->slots[i].end_ms = NO_END_MS;
    }
    for (int i = 0; i < RANKS; i++) {
        sim->results[i].latency = AprLatencyHistogram_New();
    }
    while (sim->now_ms < END_MS) {
        process_next_event(sim, scenario);
    }
    return sim;
}

static void
free_sim(Simulation_t *sim)
{
    for (int i = 0; i < RANKS; i++) {
        AprLatencyHistogram_Free(sim->results[i].latency);
    }
    AprRankQueue_Free(sim->queue);
    gsl_rng_free(sim->arrival_rng);
    gsl_rng_free(sim->service_rng);
    free(sim);
}

static double
dispatch_share(const Simulation_t *sim, int rank)
{
    double all = 0;

    for (int i = 0; i < RANKS; i++) {
        all += sim->results[i].dispatched;
    }
    return sim->results[rank].dispatched / all;
}

static void
print_row(const char *scenario, const char *queue, int rank, const char *what,
          double value, const char *unit)
{
    printf("policy.%s.%s.%s.%s %.4g %s\n", scenario, queue, rank_names[rank],
           what, value, unit);
}

static void
print_results(const char *scenario, const char *queue, const Simulation_t *sim)
{
    for (int i = 0; i < RANKS; i++) {
        const RankResult_t *result = &sim->results[i];

        print_row(scenario, queue, i, "answered",
                  result->answered / result->offered, "fraction");
        print_row(scenario, queue, i, "in_target",
                  result->in_target / result->offered, "fraction");
        print_row(scenario, queue, i, "p50",
                  AprLatencyHistogram_Quantile(result->latency, 0.5), "ms");
        print_row(scenario, queue, i, "p99",
                  AprLatencyHistogram_Quantile(result->latency, 0.99), "ms");
        print_row(scenario, queue, i, "dispatch_share", dispatch_share(sim, i),
                  "fraction");
    }
}

/* Returns the share of the dispatches that a rank is entitled to: its
   guaranteed share, or its offered load if that is less. */
static double
claimed_share(const Scenario_t *scenario, const Simulation_t *sim, int rank)
{
    double share = AprRankQueue_GuaranteedShare(sim->queue, rank);
    double offered = scenario->rates[rank] * SERVICE_MS / 1000 / SLOTS;

    return offered < share ? offered : share;
}

static void
compare_queues(const Scenario_t *scenario, unsigned long seed)
{
    Simulation_t *ranked = simulate(scenario, false, seed);
    Simulation_t *fifo = simulate(scenario, true, seed);

    print_results(scenario->name, "rank_queue", ranked);
    print_results(scenario->name, "first_come", fifo);
    for (int i = 0; i < RANKS; i++) {
        double in_target = fifo->results[i].in_target;

        print_row(scenario->name, "rank_queue", i, "share_kept_of_claim",
                  dispatch_share(ranked, i) /
                      claimed_share(scenario, ranked, i),
                  "ratio");
        print_row(scenario->name, "rank_queue", i, "in_target_to_first_come",
                  in_target > 0 ? ranked->results[i].in_target / in_target
                                : -1,
                  in_target > 0 ? "ratio" : "none_in_baseline");
    }
    free_sim(ranked);
    free_sim(fifo);
}

int
main(int argc, char **argv)
{
    unsigned long seed = argc > 1 ? strtoul(argv[1], NULL, 10) : DEFAULT_SEED;

    printf("policy.seed %lu seed\n", seed);
    for (size_t i = 0; i < sizeof(scenarios) / sizeof(scenarios[0]); i++) {
        compare_queues(&scenarios[i], seed);
    }
    return 0;
}
