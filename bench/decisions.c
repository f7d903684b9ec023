/* Time of the decision functions in nanoseconds per call, on the monotonic
   clock. Each is compared with a simpler function in the same run. */

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>
#include <gsl/gsl_rng.h>
#include <xxhash.h>

#include "apricot/clock.h"
#include "apricot/error.h"
#include "apricot/hot_keys.h"
#include "apricot/placement.h"
#include "apricot/rank_queue.h"
#include "apricot/rate_limit.h"
#include "apricot/record.h"

#define CALLS 400000
#define PLAN_CALLS 2000
#define INPUT_COUNT 65536
#define ROUNDS 5
#define CALLER_COUNT 1000
#define DEFAULT_SEED 20261204

typedef struct Inputs_t {
    uint32_t numbers[INPUT_COUNT];
    char names[CALLER_COUNT][16];
    AprRecord_t record;
} Inputs_t;

typedef void (*BenchFunction_t)(Inputs_t *inputs, int calls);

/* Takes the results, so that the compiler does not optimize the calls away. */
static volatile uint64_t result_sink;

/* Returns the time per call in the fastest of ROUNDS rounds. */
static double
ns_per_call(BenchFunction_t function, Inputs_t *inputs, int calls)
{
    AprClock_t clock = AprClock_System();
    double best = 1e18;

    for (int i = 0; i < ROUNDS; i++) {
        struct timespec start = AprClock_Now(&clock);
        double ns;

        function(inputs, calls);
        ns = (double)AprTime_DiffNs(AprClock_Now(&clock), start) / calls;
        best = ns < best ? ns : best;
    }
    return best;
}

/* Baseline of the rank queue: one FIFO list that holds 600 items. */
static void
fifo_push_and_pop(Inputs_t *inputs, int calls)
{
    GQueue queue = G_QUEUE_INIT;

    for (int i = 0; i < 600; i++) {
        g_queue_push_tail(&queue, GINT_TO_POINTER(i));
    }
    for (int i = 0; i < calls; i++) {
        result_sink += GPOINTER_TO_UINT(g_queue_pop_head(&queue));
        g_queue_push_tail(&queue,
                          GUINT_TO_POINTER(inputs->numbers[i % INPUT_COUNT]));
    }
    g_queue_clear(&queue);
}

/* Baseline of the rate limit and of the hot-key sketch: exact counts per key
   in unbounded memory. */
static void
count_exactly(Inputs_t *inputs, int calls)
{
    GHashTable *counts = g_hash_table_new(g_direct_hash, g_direct_equal);

    for (int i = 0; i < calls; i++) {
        uint32_t number = inputs->numbers[i % INPUT_COUNT];
        gpointer key = GUINT_TO_POINTER(number % 2 ? number % 32 : number);
        guint count = GPOINTER_TO_UINT(g_hash_table_lookup(counts, key));

        g_hash_table_insert(counts, key, GUINT_TO_POINTER(count + 1));
    }
    result_sink += g_hash_table_size(counts);
    g_hash_table_destroy(counts);
}

/* Returns the owner of a key by rendezvous hashing over 64 members. */
static AprMember_t
rendezvous_owner(const void *key, size_t size)
{
    uint64_t best = 0;
    AprMember_t owner = 0;

    for (int i = 0; i < APR_MAX_MEMBERS; i++) {
        uint64_t hash = XXH3_64bits_withSeed(key, size, (uint64_t)i);

        if (hash > best) {
            best = hash;
            owner = (AprMember_t)i;
        }
    }
    return owner;
}

/* Baseline of the owner lookup: rendezvous hashing of each key. */
static void
rendezvous_lookup(Inputs_t *inputs, int calls)
{
    for (int i = 0; i < calls; i++) {
        const char *name =
            inputs->names[inputs->numbers[i % INPUT_COUNT] % CALLER_COUNT];

        result_sink += rendezvous_owner(name, strlen(name));
    }
}

/* Baseline of the placement plan: rendezvous hashing of all partitions. */
static void
rendezvous_all_partitions(Inputs_t *inputs, int calls)
{
    (void)inputs;
    for (int i = 0; i < calls; i++) {
        for (int partition = 0; partition < APR_PARTITIONS; partition++) {
            result_sink += rendezvous_owner(&partition, sizeof(partition));
        }
    }
}

/* One push and one pop per call, with 200 items queued in each of three
   ranks. */
static void
rank_queue_push_and_pop(Inputs_t *inputs, int calls)
{
    static const AprRankSpec_t specs[] = {{50, 10}, {400, 3}, {2000, 1}};
    AprRankQueue_t *queue = AprRankQueue_New(specs, 3, 6, 256);
    struct timespec now = {1, 0};
    uint32_t next = 0;

    for (; next < 600; next++) {
        AprRankQueue_Push(queue, (int)(next % 3), next,
                          AprTime_AddMs(now, 100000), now);
    }
    for (int i = 0; i < calls; i++) {
        uint32_t number = inputs->numbers[i % INPUT_COUNT];
        uint32_t item;
        int rank;

        now = AprTime_AddMs(now, (int64_t)(number % 2));
        if (AprRankQueue_Pop(queue, now, &item, &rank)) {
            AprRankQueue_Finish(queue, rank, 0.01);
            AprRankQueue_Push(
                queue, rank, next++,
                AprTime_AddMs(now, 1000000 + (int64_t)(number % 1000)), now);
            result_sink += item;
        }
    }
    AprRankQueue_Free(queue);
}

static void
take_tokens(Inputs_t *inputs, int calls)
{
    AprRateLimit_t *limit = AprRateLimit_New(200, 5000, CALLER_COUNT);
    struct timespec now = {1, 0};

    for (int i = 0; i < calls; i++) {
        uint32_t number = inputs->numbers[i % INPUT_COUNT];

        now = AprTime_AddMs(now, (int64_t)(number % 2));
        result_sink += AprRateLimit_TakeToken(
            limit, inputs->names[number % CALLER_COUNT], now);
    }
    AprRateLimit_Free(limit);
}

/* Half of the additions are keys that the sketch does not hold. */
static void
add_hot_keys(Inputs_t *inputs, int calls)
{
    AprHotKeys_t *sketch = AprHotKeys_New();

    for (int i = 0; i < calls; i++) {
        uint32_t number = inputs->numbers[i % INPUT_COUNT];

        AprHotKeys_Add(sketch, number % 2 ? number % 32 : number, 1);
    }
    result_sink += (uint64_t)AprHotKeys_Total(sketch);
    AprHotKeys_Free(sketch);
}

static void
hash_and_look_up(Inputs_t *inputs, int calls)
{
    for (int i = 0; i < calls; i++) {
        uint32_t number = inputs->numbers[i % INPUT_COUNT];
        const char *name = inputs->names[number % CALLER_COUNT];
        uint64_t hash = AprKey_Hash("catalogue", name, strlen(name));

        result_sink +=
            (uint64_t)AprRecord_FindPartition(&inputs->record, 0, hash);
    }
}

/* Plans the moves of a service on 64 members, one of which is draining. */
static void
plan_moves(Inputs_t *inputs, int calls)
{
    AprPlacementPolicy_t policy = {0.1, 30};
    AprMove_t moves[APR_SLOTS];

    for (int i = 0; i < calls; i++) {
        result_sink += (uint64_t)AprPlacement_Plan(
            &inputs->record, 0, &policy, 100000000 + i, moves, APR_SLOTS);
    }
}

static void
fill_record(Inputs_t *inputs)
{
    AprPlacementPolicy_t policy = {0.1, 0};
    AprRecord_t *record = &inputs->record;

    AprRecord_Init(record, "bench");
    AprRecord_BeginChange(record);
    AprRecord_AddService(record, "catalogue");
    for (int i = 0; i < APR_MAX_MEMBERS; i++) {
        snprintf(record->members[i].host, sizeof(record->members[i].host),
                 "host-%d", i);
        record->members[i].state = APR_MEMBER_ACTIVE;
        record->members[i].offered_services = 1;
    }
    AprPlacement_AssignUnowned(record, 0, &policy, 0);
    for (int i = 0; i < APR_HOT_SLOTS; i++) {
        int slot;

        AprRecord_BindHotSlot(record, 0, inputs->numbers[i], &slot);
    }
    record->members[0].state = APR_MEMBER_DRAINING;
}

static Inputs_t *
new_inputs(unsigned long seed)
{
    Inputs_t *inputs = calloc(1, sizeof(*inputs));
    gsl_rng *rng = gsl_rng_alloc(gsl_rng_mt19937);

    if (inputs == NULL || rng == NULL) {
        abort();
    }
    gsl_rng_set(rng, seed);
    for (int i = 0; i < INPUT_COUNT; i++) {
        inputs->numbers[i] = (uint32_t)gsl_rng_get(rng);
    }
    for (int i = 0; i < CALLER_COUNT; i++) {
        snprintf(inputs->names[i], sizeof(inputs->names[i]), "caller-%d", i);
    }
    gsl_rng_free(rng);
    fill_record(inputs);
    return inputs;
}

int
main(int argc, char **argv)
{
    static const struct {
        const char *name;
        BenchFunction_t function;
        const char *baseline_name;
        BenchFunction_t baseline;
        int calls;
    } cases[] = {
        {"rank_queue_push_pop_done", rank_queue_push_and_pop,
         "first_come_list", fifo_push_and_pop, CALLS},
        {"rate_limit_take", take_tokens, "exact_count", count_exactly, CALLS},
        {"hot_keys_add", add_hot_keys, "exact_count", count_exactly, CALLS},
        {"key_hash_and_lookup", hash_and_look_up, "rendezvous_hashing",
         rendezvous_lookup, CALLS},
        {"placement_plan_64_members", plan_moves, "rendezvous_hashing",
         rendezvous_all_partitions, PLAN_CALLS},
    };
    unsigned long seed = argc > 1 ? strtoul(argv[1], NULL, 10) : DEFAULT_SEED;
    Inputs_t *inputs = new_inputs(seed);

    printf("decisions.seed %lu seed\n", seed);
    for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        double ns = ns_per_call(cases[i].function, inputs, cases[i].calls);
        double baseline =
            ns_per_call(cases[i].baseline, inputs, cases[i].calls);

        printf("decisions.%s %.1f ns\n", cases[i].name, ns);
        printf("decisions.%s.%s %.1f ns\n", cases[i].name,
               cases[i].baseline_name, baseline);
        printf("decisions.%s.to_%s %.3f ratio\n", cases[i].name,
               cases[i].baseline_name, ns / baseline);
    }
    free(inputs);
    return 0;
}
