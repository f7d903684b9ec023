#include "internal/load_client.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <curl/curl.h>
#include <glib.h>

#include "internal/curl_loop.h"

/* Bounds the memory when the processes stop responding. */
#define MAX_WAITING_PER_RANK 100000

/* The router responds by the deadline of a request. The extra time allows for
   a response that is in transit. */
#define RESPONSE_GRACE_MS 2000

#define NS_PER_S 1e9
#define MS_PER_S 1000
#define MAX_WAIT_NS 1000000000LL /* of one pass after the last arrival */

/* A request in flight, or an idle easy handle for the next one. */
typedef struct transfer_t {
    CURL *easy;
    struct curl_slist *headers;
    AprArrival_t arrival;
    int send_count;
} transfer_t;

/* State of one run of a workload. */
typedef struct load_run_t {
    const AprWorkload_t *workload;
    const AprClock_t *clock;
    AprLoadStats_t *stats;
    AprArrivals_t *arrivals;
    AprArrival_t next_arrival;
    struct timespec start_time;
    AprCurlLoop_t *loop;
    GPtrArray *idle_transfers; /* their easy handles are reused */
    /* Requests that are due but have no free connection, by rank. The
       connections are divided among the ranks, because in practice callers
       with urgent requests do not queue behind the connections of others. */
    GQueue waiting[APR_MAX_RANKS];
    int open_count_by_rank[APR_MAX_RANKS];
    int connections_per_rank;
    int open_count;
} load_run_t;

static double
elapsed_s(const load_run_t *run)
{
    return AprTime_DiffNs(AprClock_Now(run->clock), run->start_time) /
           NS_PER_S;
}

/* Callback for response bodies; libcurl defines the signature. */
static size_t
// NOLINTNEXTLINE(readability-non-const-parameter)
discard_body(char *data, size_t size, size_t count, void *context)
{
    (void)data;
    (void)context;
    return size * count;
}

/* Callback before each request is sent; libcurl defines the signature. libcurl
   resends a request when a reused connection closes before the response. The
   resend is aborted, because the request may have been executed and its header
   marks it as a first attempt. */
static int
// NOLINTNEXTLINE(readability-non-const-parameter)
abort_resend(void *context, char *remote, char *local, int remote_port,
             int local_port)
{
    transfer_t *transfer = context;

    (void)remote;
    (void)local;
    (void)remote_port;
    (void)local_port;
    transfer->send_count++;
    return transfer->send_count > 1 ? CURL_PREREQFUNC_ABORT
                                    : CURL_PREREQFUNC_OK;
}

static void
free_transfer(void *item)
{
    transfer_t *transfer = item;

    curl_slist_free_all(transfer->headers);
    curl_easy_cleanup(transfer->easy);
    free(transfer);
}

/* Returns NULL when memory runs out; freed with free_transfer. */
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
    curl_easy_setopt(transfer->easy, CURLOPT_WRITEFUNCTION, discard_body);
    curl_easy_setopt(transfer->easy, CURLOPT_PREREQFUNCTION, abort_resend);
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
set_headers(load_run_t *run, transfer_t *transfer, int timeout_ms)
{
    const AprLoadRank_t *rank =
        &run->workload->ranks[transfer->arrival.rank_index];
    char id[APR_UUID_TEXT_SIZE];
    char *timeout = g_strdup_printf("%d", timeout_ms);

    curl_slist_free_all(transfer->headers);
    transfer->headers = NULL;
    AprUuid7_Format(AprClock_WallMs(run->clock), id);
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
set_url(const load_run_t *run, transfer_t *transfer, int timeout_ms)
{
    const AprWorkload_t *workload = run->workload;
    const AprLoadRank_t *rank = &workload->ranks[transfer->arrival.rank_index];
    char *url = g_strdup_printf(
        "http://%s/v1/%s/%s/%s%d",
        workload->targets[transfer->arrival.target_index], workload->service,
        rank->operation, workload->key_prefix, transfer->arrival.key_index);

    curl_easy_setopt(transfer->easy, CURLOPT_URL, url);
    curl_easy_setopt(transfer->easy, CURLOPT_TIMEOUT_MS,
                     (long)timeout_ms + RESPONSE_GRACE_MS);
    g_free(url);
}

/* Returns the milliseconds left of the timeout of an arrival. The timeout runs
   from the time at which the request was due. */
static int
remaining_ms(const load_run_t *run, const AprArrival_t *arrival)
{
    double waited_s = elapsed_s(run) - arrival->due_s;

    return run->workload->ranks[arrival->rank_index].timeout_ms -
           (int)(waited_s * MS_PER_S);
}

/* Counts the request as not sent when memory runs out. */
static void
send_request(load_run_t *run, const AprArrival_t *arrival, int timeout_ms)
{
    transfer_t *transfer =
        run->idle_transfers->len > 0
            ? g_ptr_array_steal_index_fast(run->idle_transfers,
                                           run->idle_transfers->len - 1)
            : new_transfer();

    if (transfer == NULL) {
        run->stats->not_sent++;
        return;
    }
    transfer->arrival = *arrival;
    transfer->send_count = 0;
    set_headers(run, transfer, timeout_ms);
    set_url(run, transfer, timeout_ms);
    run->open_count++;
    run->open_count_by_rank[arrival->rank_index]++;
    run->stats->ranks[arrival->rank_index].sent++;
    curl_multi_add_handle(AprCurlLoop_GetMulti(run->loop), transfer->easy);
}

/* Sends the waiting requests of a rank while it has free connections. Requests
   that have timed out while waiting count as not sent. */
static void
send_waiting_of_rank(load_run_t *run, int rank)
{
    GQueue *waiting = &run->waiting[rank];

    while (run->open_count_by_rank[rank] < run->connections_per_rank &&
           !g_queue_is_empty(waiting)) {
        AprArrival_t *arrival = g_queue_pop_head(waiting);
        int timeout_ms = remaining_ms(run, arrival);

        if (timeout_ms > 0) {
            send_request(run, arrival, timeout_ms);
        }
        else {
            run->stats->not_sent++;
        }
        g_free(arrival);
    }
}

/* Sends waiting requests while connections are free. libcurl could queue them
   itself, but it visits every transfer on each pass: with 20,000 transfers the
   client and not the router was the bottleneck. */
static void
send_waiting(load_run_t *run)
{
    for (int i = 0; i < run->workload->rank_count; i++) {
        send_waiting_of_rank(run, i);
    }
}

/* Moves the requests that are due into the queues of their ranks. Requests
   that find their queue full count as not sent. */
static void
queue_due_requests(load_run_t *run)
{
    while (run->next_arrival.due_s < run->workload->duration_s &&
           run->next_arrival.due_s <= elapsed_s(run)) {
        GQueue *waiting = &run->waiting[run->next_arrival.rank_index];

        if (waiting->length < MAX_WAITING_PER_RANK) {
            AprArrival_t *arrival = g_new(AprArrival_t, 1);

            *arrival = run->next_arrival;
            g_queue_push_tail(waiting, arrival);
        }
        else {
            run->stats->not_sent++;
        }
        run->next_arrival = AprArrivals_Next(run->arrivals);
    }
}

/* Records the outcome of a transfer and makes its easy handle idle. */
static void
finish_transfer(load_run_t *run, CURL *easy, CURLcode result)
{
    struct curl_header *header = NULL;
    transfer_t *transfer;
    AprLoadOutcome_t outcome = APR_LOAD_TRANSPORT_ERROR;

    curl_easy_getinfo(easy, CURLINFO_PRIVATE, (char **)&transfer);
    if (result == CURLE_OK &&
        curl_easy_header(easy, "Apricot-Outcome", 0, CURLH_HEADER, -1,
                         &header) == CURLHE_OK) {
        outcome = AprLoadStats_ParseOutcome(header->value);
    }
    AprLoadStats_RecordResult(run->stats, transfer->arrival.rank_index,
                              outcome, transfer->arrival.due_s,
                              elapsed_s(run));
    curl_multi_remove_handle(AprCurlLoop_GetMulti(run->loop), easy);
    run->open_count--;
    run->open_count_by_rank[transfer->arrival.rank_index]--;
    g_ptr_array_add(run->idle_transfers, transfer);
}

static void
finish_done_transfers(load_run_t *run)
{
    CURLMsg *message;
    int left;

    while ((message = curl_multi_info_read(AprCurlLoop_GetMulti(run->loop),
                                           &left)) != NULL) {
        if (message->msg == CURLMSG_DONE) {
            finish_transfer(run, message->easy_handle, message->data.result);
        }
    }
}

static bool
has_more_arrivals(const load_run_t *run)
{
    return run->next_arrival.due_s < run->workload->duration_s;
}

/* Returns the nanoseconds until the next request is due, or MAX_WAIT_NS after
   the last one. */
static int64_t
next_arrival_wait_ns(const load_run_t *run)
{
    double wait_s = run->next_arrival.due_s - elapsed_s(run);

    return has_more_arrivals(run) ? (int64_t)(wait_s * NS_PER_S) : MAX_WAIT_NS;
}

static void
run_to_end(load_run_t *run)
{
    run->next_arrival = AprArrivals_Next(run->arrivals);
    while (has_more_arrivals(run) || run->open_count > 0) {
        queue_due_requests(run);
        send_waiting(run);
        AprCurlLoop_RunOnce(run->loop, next_arrival_wait_ns(run));
        finish_done_transfers(run);
        send_waiting(run); /* the loop must not end while one waits */
    }
    AprLoadStats_Finish(run->stats, run->workload->duration_s);
}

/* Runs a workload that AprWorkload_Validate has accepted, and waits for the
   requests in flight, each of which ends at most RESPONSE_GRACE_MS after its
   timeout. The caller has initialised stats. Returns APR_E_NOMEM when memory
   or file descriptors run out at the start. */
int
AprLoadClient_Run(const AprWorkload_t *workload, const AprClock_t *clock,
                  AprLoadStats_t *stats, AprError_t *error)
{
    load_run_t run = {.workload = workload, .clock = clock, .stats = stats};
    int code = APR_OK;

    for (int i = 0; i < APR_MAX_RANKS; i++) {
        g_queue_init(&run.waiting[i]);
    }
    run.connections_per_rank =
        MAX(1, workload->connections / workload->rank_count);
    run.idle_transfers = g_ptr_array_new_with_free_func(free_transfer);
    run.arrivals = AprArrivals_New(workload);
    run.loop = AprCurlLoop_New(workload->connections);
    if (run.arrivals == NULL || run.loop == NULL) {
        code =
            AprError_Set(error, APR_E_NOMEM, APR_STEP_NONE, NULL,
                         "cannot start the load client: out of memory or file "
                         "descriptors");
        goto error;
    }
    run.start_time = AprClock_Now(clock);
    run_to_end(&run);

error:
    for (int i = 0; i < APR_MAX_RANKS; i++) {
        g_queue_clear_full(&run.waiting[i], g_free);
    }
    g_ptr_array_free(run.idle_transfers, TRUE);
    AprCurlLoop_Free(run.loop);
    AprArrivals_Free(run.arrivals);
    return code;
}
