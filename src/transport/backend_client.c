#include "apricot/backend_client.h"

#include <pthread.h>
#include <stdatomic.h>
#include <stdlib.h>

#include "apricot/ring.h"
#include "internal/backend_transfer.h"

#define COMMAND_QUEUE_CAPACITY 1024
/* Longest wait of the client thread when no transfer expires sooner. */
#define MAX_POLL_MS 10000
/* Limit of idle connections kept for reuse. libcurl's default limit is four
   for each running transfer, so a pause between calls would close connections
   that the next calls could reuse. A backend server has 6 slots, and few
   services share one process. */
#define MAX_IDLE_CONNECTIONS 32L

typedef enum CommandType_t { COMMAND_SUBMIT, COMMAND_CANCEL } CommandType_t;

typedef struct Command_t {
    CommandType_t type;
    uint64_t id;
    AprBackendCall_t *call; /* COMMAND_SUBMIT only */
} Command_t;

struct AprBackendClient_t {
    AprClock_t clock;
    size_t max_body_bytes;
    AprBackendResultHandler_t on_result;
    void *context;
    AprRing_t *commands;
    CURLM *multi;
    GHashTable *transfers; /* id -> AprBackendTransfer_t */
    pthread_t thread;
    atomic_bool stopping;
};

static pthread_once_t libcurl_once = PTHREAD_ONCE_INIT;

static void
init_libcurl(void)
{
    curl_global_init(CURL_GLOBAL_DEFAULT);
}

/* Frees a call and its request; NULL is ignored. */
void
AprBackendCall_Free(AprBackendCall_t *call)
{
    if (call != NULL) {
        AprMessage_Free(call->request);
        free(call);
    }
}

void
AprBackendResult_Free(AprBackendResult_t *result)
{
    if (result != NULL) {
        free(result->content_type);
        free(result->body);
        free(result);
    }
}

/* Reports a call that never became a transfer, and frees it. */
static void
complete_as_not_run(AprBackendClient_t *client, AprBackendCall_t *call,
                    int code, const char *reason)
{
    client->on_result(client->context,
                      AprBackendResult_NewNotRun(call, code, reason));
    AprBackendCall_Free(call);
}

/* Passes the result on and frees the transfer. Removing a handle that is still
   active closes its connection, which tells the backend that the caller has
   gone. */
static void
complete_transfer(AprBackendClient_t *client, AprBackendTransfer_t *transfer,
                  AprBackendResult_t *result)
{
    curl_multi_remove_handle(client->multi, transfer->curl);
    g_hash_table_remove(client->transfers, &transfer->call->id);
    client->on_result(client->context, result);
    AprBackendTransfer_Free(transfer);
}

static void
start_transfer(AprBackendClient_t *client, AprBackendCall_t *call)
{
    AprBackendTransfer_t *transfer;

    if (!AprTime_IsBefore(AprClock_Now(&client->clock), call->send_deadline)) {
        complete_as_not_run(client, call, APR_E_TIMEOUT, "too late to start");
        return;
    }
    transfer =
        AprBackendTransfer_New(call, &client->clock, client->max_body_bytes);
    if (transfer == NULL) {
        complete_as_not_run(client, call, APR_E_NOMEM, "out of memory");
        return;
    }
    g_hash_table_insert(client->transfers, &call->id, transfer);
    if (curl_multi_add_handle(client->multi, transfer->curl) != CURLM_OK) {
        complete_transfer(
            client, transfer,
            AprBackendTransfer_NewAbortedResult(transfer, APR_E_NOMEM,
                                                "cannot add the transfer"));
    }
}

static void
cancel_transfer(AprBackendClient_t *client, uint64_t id)
{
    AprBackendTransfer_t *transfer =
        g_hash_table_lookup(client->transfers, &id);

    if (transfer != NULL) {
        complete_transfer(client, transfer,
                          AprBackendTransfer_NewAbortedResult(
                              transfer, APR_E_CLOSED, "cancelled"));
    }
}

static void
process_commands(AprBackendClient_t *client)
{
    Command_t *command;

    AprRing_ClearWake(client->commands);
    while ((command = AprRing_Pop(client->commands)) != NULL) {
        if (command->type == COMMAND_CANCEL) {
            cancel_transfer(client, command->id);
        }
        else if (atomic_load(&client->stopping)) {
            complete_as_not_run(client, command->call, APR_E_CLOSED,
                                "stopping");
        }
        else {
            start_transfer(client, command->call);
        }
        free(command);
    }
}

static void
complete_finished_transfers(AprBackendClient_t *client)
{
    CURLMsg *message;
    int remaining;

    while ((message = curl_multi_info_read(client->multi, &remaining)) !=
           NULL) {
        AprBackendTransfer_t *transfer = NULL;

        if (message->msg != CURLMSG_DONE) {
            continue;
        }
        curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE,
                          (char **)&transfer);
        complete_transfer(
            client, transfer,
            AprBackendTransfer_NewResult(transfer, message->data.result));
    }
}

/* Times out expired transfers, or ends all transfers when the client stops.
   Expiry is checked here because libcurl's own timeouts do not cover transfers
   that wait for a free connection. Returns the time in milliseconds until the
   next transfer expires, at most MAX_POLL_MS. */
static int
time_out_transfers(AprBackendClient_t *client)
{
    struct timespec now = AprClock_Now(&client->clock);
    bool stopping = atomic_load(&client->stopping);
    int64_t next_ms = MAX_POLL_MS;
    GList *transfers = g_hash_table_get_values(client->transfers);

    for (GList *link = transfers; link != NULL; link = link->next) {
        AprBackendTransfer_t *transfer = link->data;
        struct timespec expires_at = AprBackendTransfer_ExpiresAt(transfer);

        if (stopping) {
            complete_transfer(client, transfer,
                              AprBackendTransfer_NewAbortedResult(
                                  transfer, APR_E_CLOSED, "stopping"));
        }
        else if (!AprTime_IsBefore(now, expires_at)) {
            complete_transfer(
                client, transfer,
                AprBackendTransfer_NewAbortedResult(transfer, APR_E_TIMEOUT,
                                                    "no answer in time"));
        }
        else if (AprTime_DiffMs(expires_at, now) < next_ms) {
            next_ms = AprTime_DiffMs(expires_at, now) + 1; /* rounded up */
        }
    }
    g_list_free(transfers);
    return (int)next_ms;
}

static void *
run_client_thread(void *argument)
{
    AprBackendClient_t *client = argument;
    struct curl_waitfd wake = {AprRing_WakeFd(client->commands),
                               CURL_WAIT_POLLIN, 0};

    while (!atomic_load(&client->stopping)) {
        int running;
        int wait_ms;

        process_commands(client);
        curl_multi_perform(client->multi, &running);
        complete_finished_transfers(client);
        wait_ms = time_out_transfers(client);
        curl_multi_poll(client->multi, &wake, 1, wait_ms, NULL);
    }
    process_commands(client);
    time_out_transfers(client);
    return NULL;
}

static void
free_client(AprBackendClient_t *client)
{
    if (client->transfers != NULL) {
        g_hash_table_destroy(client->transfers);
    }
    curl_multi_cleanup(client->multi);
    AprRing_Free(client->commands);
    free(client);
}

/* Starts the client's thread. At most `max_connections` connections are open
   at a time; further calls wait for a free connection until they expire. A
   response whose body exceeds `max_body_bytes` gives the outcome unknown.
   Returns NULL, with the error set, when the client cannot be started. */
AprBackendClient_t *
AprBackendClient_Start(const AprClock_t *clock, int max_connections,
                       size_t max_body_bytes,
                       AprBackendResultHandler_t on_result, void *context,
                       AprError_t *error)
{
    AprBackendClient_t *client = calloc(1, sizeof(*client));

    pthread_once(&libcurl_once, init_libcurl);
    if (client == NULL) {
        goto error;
    }
    client->clock = *clock;
    client->max_body_bytes = max_body_bytes;
    client->on_result = on_result;
    client->context = context;
    client->commands = AprRing_New(COMMAND_QUEUE_CAPACITY);
    client->multi = curl_multi_init();
    client->transfers = g_hash_table_new(g_int64_hash, g_int64_equal);
    if (client->commands == NULL || client->multi == NULL) {
        goto error;
    }
    curl_multi_setopt(client->multi, CURLMOPT_MAX_TOTAL_CONNECTIONS,
                      (long)max_connections);
    curl_multi_setopt(client->multi, CURLMOPT_MAXCONNECTS,
                      MIN((long)max_connections, MAX_IDLE_CONNECTIONS));
    if (pthread_create(&client->thread, NULL, run_client_thread, client) !=
        0) {
        goto error;
    }
    return client;

error:
    if (client != NULL) {
        free_client(client);
    }
    AprError_Set(error, APR_E_NOMEM, APR_STEP_BACKEND, NULL,
                 "cannot start the backend thread");
    return NULL;
}

/* Stops the thread and frees the client. Each call that is still open gets a
   result before this function returns. */
void
AprBackendClient_Stop(AprBackendClient_t *client)
{
    atomic_store(&client->stopping, true);
    curl_multi_wakeup(client->multi);
    pthread_join(client->thread, NULL);
    free_client(client);
}

static int
enqueue_command(AprBackendClient_t *client, CommandType_t type, uint64_t id,
                AprBackendCall_t *call)
{
    Command_t *command = malloc(sizeof(*command));
    int result;

    if (command == NULL) {
        return APR_E_FULL;
    }
    *command = (Command_t){type, id, call};
    result = AprRing_Push(client->commands, command);
    if (result != APR_OK) {
        free(command);
    }
    return result;
}

/* Queues a call. On APR_OK the client owns the call and will report exactly
   one result for it; on any other return value the caller keeps it. May be
   called from any thread. */
int
AprBackendClient_Submit(AprBackendClient_t *client, AprBackendCall_t *call)
{
    return enqueue_command(client, COMMAND_SUBMIT, call->id, call);
}

/* Cancels a call: its outcome is not-run if nothing was sent, otherwise
   unknown. Has no effect on a completed call. When the command queue is full,
   the call is not cancelled and runs until it completes or expires. May be
   called from any thread. */
void
AprBackendClient_Cancel(AprBackendClient_t *client, uint64_t id)
{
    enqueue_command(client, COMMAND_CANCEL, id, NULL);
}
