#include "internal/load_client.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <curl/curl.h>
#include <glib.h>

#include "internal/curl_loop.h"

/* Bounds the memory when nothing is answered any more. */
#define MAX_WAITING 100000

/* The router answers by the deadline of a request; the extra time is for an
   answer that is on its way. */
#define GRACE_MS 2000

#define NS_PER_S 1e9
#define MS_PER_S 1000
#define POLL_NS 1000000000LL

typedef struct transfer_t {
    CURL *easy;
    struct curl_slist *headers;
    AprArrival_t arrival;
    int sends;
} transfer_t;

typedef struct run_t {
    const AprWorkload_t *workload;
    const AprClock_t *clock;
    AprLoadStats_t *stats;
    AprArrivals_t *arrivals;
    AprArrival_t next;
    struct timespec start;
    AprCurlLoop_t *loop;
    GPtrArray *idle; /* transfers whose easy handle can be used again */
    /* Each rank has its part of the connections, because callers with urgent
       work do not wait behind the connections of others. */
    GQueue waiting[APR_MAX_RANKS]; /* due, but without a connection */
    int open_by_rank[APR_MAX_RANKS];
    int connections_per_rank;
    int open;
} run_t;

static double
elapsed_s(const run_t *run)
{
    return AprTime_DiffNs(AprClock_Now(run->clock), run->start) / NS_PER_S;
}

/* The signatures of both callbacks are those of libcurl. */
static size_t
// NOLINTNEXTLINE(readability-non-const-parameter)
discard(char *data, size_t size, size_t count, void *context)
{
    (void)data;
    (void)context;
    return size * count;
}

/* libcurl sends a request again when a reused connection closes before the
   answer. The second sending is stopped, because the request may have run and
   is marked as a first attempt. */
static int
// NOLINTNEXTLINE(readability-non-const-parameter)
before_send(void *context, char *remote, char *local, int remote_port,
            int local_port)
{
    transfer_t *transfer = context;

    (void)remote;
    (void)local;
    (void)remote_port;
    (void)local_port;
    transfer->sends++;
    return transfer->sends > 1 ? CURL_PREREQFUNC_ABORT : CURL_PREREQFUNC_OK;
}

static void
free_transfer(void *item)
{
    transfer_t *transfer = item;

    curl_slist_free_all(transfer->headers);
    curl_easy_cleanup(transfer->easy);
    free(transfer);
}

static transfer_t *
new_transfer(void)
{
    transfer_t *transfer = calloc(1, sizeof(*transfer));

    if (transfer == NULL) {
        return NULL;
    }
    transfer->easy = curl_easy_init();
    if (transfer->easy == NULL) {
        free(transfer);
        return NULL;
    }
    curl_easy_setopt(transfer->easy, CURLOPT_PRIVATE, transfer);
    curl_easy_setopt(transfer->easy, CURLOPT_WRITEFUNCTION, discard);
    curl_easy_setopt(transfer->easy, CURLOPT_PREREQFUNCTION, before_send);
    curl_easy_setopt(transfer->easy, CURLOPT_PREREQDATA, transfer);
    curl_easy_setopt(transfer->easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(transfer->easy, CURLOPT_PROXY, "");
    curl_easy_setopt(transfer->easy, CURLOPT_POST, 1L);
    curl_easy_setopt(transfer->easy, CURLOPT_POSTFIELDSIZE, 0L);
    curl_easy_setopt(transfer->easy, CURLOPT_POSTFIELDS, "");
    return transfer;
}

static void
add_header(transfer_t *transfer, const char *name, const char *value)
{
    char *line = g_strdup_printf("%s: %s", name, value);

    transfer->headers = curl_slist_append(transfer->headers, line);
    g_free(line);
}

static void
set_headers(run_t *run, transfer_t *transfer, int timeout_ms)
{
    const AprLoadRank_t *rank = &run->workload->ranks[transfer->arrival.rank];
    char id[APR_UUID_TEXT_SIZE];
    char *timeout = g_strdup_printf("%d", timeout_ms);

    curl_slist_free_all(transfer->headers);
    transfer->headers = NULL;
    AprUuid7_Text(AprClock_WallMs(run->clock), id);
    add_header(transfer, "Apricot-Rank", rank->name);
    add_header(transfer, "Apricot-Timeout-Ms", timeout);
    add_header(transfer, "Idempotency-Key", id);
    add_header(transfer, "Apricot-Attempt", "1");
    add_header(transfer, "Apricot-Caller", run->workload->caller);
    if (run->workload->token != NULL) {
        char *bearer = g_strdup_printf("Bearer %s", run->workload->token);

        add_header(transfer, "Authorization", bearer);
        g_free(bearer);
    }
    g_free(timeout);
    curl_easy_setopt(transfer->easy, CURLOPT_HTTPHEADER, transfer->headers);
}

static void
set_url(const run_t *run, transfer_t *transfer, int timeout_ms)
{
    const AprWorkload_t *workload = run->workload;
    const AprLoadRank_t *rank = &workload->ranks[transfer->arrival.rank];
    char *url = g_strdup_printf("http://%s/v1/%s/%s/%s%d",
                                workload->targets[transfer->arrival.target],
                                workload->service, rank->operation,
                                workload->key_prefix, transfer->arrival.key);

    curl_easy_setopt(transfer->easy, CURLOPT_URL, url);
    curl_easy_setopt(transfer->easy, CURLOPT_TIMEOUT_MS,
                     (long)timeout_ms + GRACE_MS);
    g_free(url);
}

/* Milliseconds left of the timeout of an arrival, which runs from the time at
   which it was due. */
static int
remaining_ms(const run_t *run, const AprArrival_t *arrival)
{
    double waited_s = elapsed_s(run) - arrival->at_s;

    return run->workload->ranks[arrival->rank].timeout_ms -
           (int)(waited_s * MS_PER_S);
}

static void
send_request(run_t *run, const AprArrival_t *arrival, int timeout_ms)
{
    transfer_t *transfer =
        run->idle->len > 0
            ? g_ptr_array_steal_index_fast(run->idle, run->idle->len - 1)
            : new_transfer();

    if (transfer == NULL) {
        run->stats->skipped++;
        return;
    }
    transfer->arrival = *arrival;
    transfer->sends = 0;
    set_headers(run, transfer, timeout_ms);
    set_url(run, transfer, timeout_ms);
    run->open++;
    run->open_by_rank[arrival->rank]++;
    run->stats->ranks[arrival->rank].sent++;
    curl_multi_add_handle(AprCurlLoop_Multi(run->loop), transfer->easy);
}

static void
send_rank(run_t *run, int rank)
{
    GQueue *waiting = &run->waiting[rank];

    while (run->open_by_rank[rank] < run->connections_per_rank &&
           !g_queue_is_empty(waiting)) {
        AprArrival_t *arrival = g_queue_pop_head(waiting);
        int timeout_ms = remaining_ms(run, arrival);

        if (timeout_ms > 0) {
            send_request(run, arrival, timeout_ms);
        }
        else {
            run->stats->skipped++;
        }
        g_free(arrival);
    }
}

/* Sends waiting requests while connections are free. libcurl could hold them
   itself, but it visits every transfer in each round: with 20,000 of them the
   client and not the router was the limit. */
static void
send_waiting(run_t *run)
{
    for (int i = 0; i < run->workload->rank_count; i++) {
        send_rank(run, i);
    }
}

static void
take_due(run_t *run)
{
    while (run->next.at_s < run->workload->duration_s &&
           run->next.at_s <= elapsed_s(run)) {
        GQueue *waiting = &run->waiting[run->next.rank];

        if (waiting->length < MAX_WAITING) {
            AprArrival_t *arrival = g_new(AprArrival_t, 1);

            *arrival = run->next;
            g_queue_push_tail(waiting, arrival);
        }
        else {
            run->stats->skipped++;
        }
        run->next = AprArrivals_Next(run->arrivals);
    }
}

static void
finish_transfer(run_t *run, CURL *easy, CURLcode result)
{
    struct curl_header *header = NULL;
    transfer_t *transfer;
    AprLoadOutcome_t outcome = APR_LOAD_TRANSPORT;

    curl_easy_getinfo(easy, CURLINFO_PRIVATE, (char **)&transfer);
    if (result == CURLE_OK &&
        curl_easy_header(easy, "Apricot-Outcome", 0, CURLH_HEADER, -1,
                         &header) == CURLHE_OK) {
        outcome = AprLoadStats_OutcomeOf(header->value);
    }
    AprLoadStats_Add(run->stats, transfer->arrival.rank, outcome,
                     transfer->arrival.at_s, elapsed_s(run));
    curl_multi_remove_handle(AprCurlLoop_Multi(run->loop), easy);
    run->open--;
    run->open_by_rank[transfer->arrival.rank]--;
    g_ptr_array_add(run->idle, transfer);
}

static void
collect(run_t *run)
{
    CURLMsg *message;
    int left;

    while ((message = curl_multi_info_read(AprCurlLoop_Multi(run->loop),
                                           &left)) != NULL) {
        if (message->msg == CURLMSG_DONE) {
            finish_transfer(run, message->easy_handle, message->data.result);
        }
    }
}

static bool
still_sending(const run_t *run)
{
    return run->next.at_s < run->workload->duration_s;
}

/* Nanoseconds until the next request is due. */
static int64_t
until_next_ns(const run_t *run)
{
    double wait_s = run->next.at_s - elapsed_s(run);

    return still_sending(run) ? (int64_t)(wait_s * NS_PER_S) : POLL_NS;
}

static void
run_to_end(run_t *run)
{
    run->next = AprArrivals_Next(run->arrivals);
    while (still_sending(run) || run->open > 0) {
        take_due(run);
        send_waiting(run);
        AprCurlLoop_Run(run->loop, until_next_ns(run));
        collect(run);
        send_waiting(run); /* a waiting request must not end the loop */
    }
    AprLoadStats_Finish(run->stats, run->workload->duration_s);
}

/* Runs a checked workload to its end and waits for the open requests; their
   number is bounded by their timeouts. Returns APR_E_NOMEM when it cannot
   start. */
int
AprLoadClient_Run(const AprWorkload_t *workload, const AprClock_t *clock,
                  AprLoadStats_t *stats, AprError_t *error)
{
    run_t run = {.workload = workload, .clock = clock, .stats = stats};
    int code = APR_OK;

    for (int i = 0; i < APR_MAX_RANKS; i++) {
        g_queue_init(&run.waiting[i]);
    }
    run.connections_per_rank =
        MAX(1, workload->connections / workload->rank_count);
    run.idle = g_ptr_array_new_with_free_func(free_transfer);
    run.arrivals = AprArrivals_New(workload);
    run.loop = AprCurlLoop_New(workload->connections);
    if (run.arrivals == NULL || run.loop == NULL) {
        code = AprError_Set(error, APR_E_NOMEM, APR_STEP_NONE, NULL,
                            "cannot start the load client");
        goto error;
    }
    run.start = AprClock_Now(clock);
    run_to_end(&run);

error:
    for (int i = 0; i < APR_MAX_RANKS; i++) {
        g_queue_clear_full(&run.waiting[i], g_free);
    }
    g_ptr_array_free(run.idle, TRUE);
    AprCurlLoop_Free(run.loop);
    AprArrivals_Free(run.arrivals);
    return code;
}
