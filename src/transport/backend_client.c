#include "apricot/backend_client.h"

#include <pthread.h>
#include <stdatomic.h>
#include <stdlib.h>

#include "apricot/ring.h"
#include "internal/backend_transfer.h"

#define RING_CAPACITY 1024
#define IDLE_POLL_MS 10000
/* By default libcurl keeps four connections for each transfer that runs at the
   time, so that a pause between calls closes those that the next calls would
   reuse. A backend server has 6 slots, and few services share one process. */
#define MAX_IDLE_CONNECTIONS 32L

typedef enum CommandType_t { COMMAND_SUBMIT, COMMAND_CANCEL } CommandType_t;

typedef struct Command_t {
    CommandType_t type;
    uint64_t id;
    AprBackendCall_t *call; /* SUBMIT only */
} Command_t;

struct AprBackendClient_t {
    AprClock_t clock;
    size_t max_body_bytes;
    AprBackendDone_t done;
    void *context;
    AprRing_t *commands;
    CURLM *multi;
    GHashTable *transfers; /* id -> AprBackendTransfer_t */
    pthread_t thread;
    atomic_bool stopping;
};

static pthread_once_t curl_once = PTHREAD_ONCE_INIT;

static void
init_curl(void)
{
    curl_global_init(CURL_GLOBAL_DEFAULT);
}

/* Frees a call and its request. */
void
AprBackendCall_Free(AprBackendCall_t *call)
{
    if (call != NULL) {
        AprMessage_Free(call->request);
        free(call);
    }
}

/* Frees a result. */
void
AprBackendResult_Free(AprBackendResult_t *result)
{
    if (result != NULL) {
        free(result->content_type);
        free(result->body);
        free(result);
    }
}

static void
refuse_call(AprBackendClient_t *client, AprBackendCall_t *call, int code,
            const char *reason)
{
    client->done(client->context, AprBackendResult_NotRun(call, code, reason));
    AprBackendCall_Free(call);
}

/* Ends a transfer with a result. Removing a handle that still runs closes its
   connection, which tells the backend that the caller has gone. */
static void
end_transfer(AprBackendClient_t *client, AprBackendTransfer_t *transfer,
             AprBackendResult_t *result)
{
    curl_multi_remove_handle(client->multi, transfer->curl);
    g_hash_table_remove(client->transfers, &transfer->call->id);
    client->done(client->context, result);
    AprBackendTransfer_Free(transfer);
}

static void
start_call(AprBackendClient_t *client, AprBackendCall_t *call)
{
    AprBackendTransfer_t *transfer;

    if (!AprTime_Before(AprClock_Now(&client->clock), call->not_after)) {
        refuse_call(client, call, APR_E_TIMEOUT, "too late to start");
        return;
    }
    transfer =
        AprBackendTransfer_New(call, &client->clock, client->max_body_bytes);
    if (transfer == NULL) {
        refuse_call(client, call, APR_E_NOMEM, "out of memory");
        return;
    }
    g_hash_table_insert(client->transfers, &call->id, transfer);
    if (curl_multi_add_handle(client->multi, transfer->curl) != CURLM_OK) {
        end_transfer(client, transfer,
                     AprBackendTransfer_GiveUp(transfer, APR_E_NOMEM,
                                               "cannot add the transfer"));
    }
}

static void
cancel_call(AprBackendClient_t *client, uint64_t id)
{
    AprBackendTransfer_t *transfer =
        g_hash_table_lookup(client->transfers, &id);

    if (transfer != NULL) {
        end_transfer(
            client, transfer,
            AprBackendTransfer_GiveUp(transfer, APR_E_CLOSED, "cancelled"));
    }
}

static void
take_commands(AprBackendClient_t *client)
{
    Command_t *command;

    AprRing_ClearWake(client->commands);
    while ((command = AprRing_Pop(client->commands)) != NULL) {
        if (command->type == COMMAND_CANCEL) {
            cancel_call(client, command->id);
        }
        else if (atomic_load(&client->stopping)) {
            refuse_call(client, command->call, APR_E_CLOSED, "stopping");
        }
        else {
            start_call(client, command->call);
        }
        free(command);
    }
}

static void
take_finished(AprBackendClient_t *client)
{
    CURLMsg *message;
    int left;

    while ((message = curl_multi_info_read(client->multi, &left)) != NULL) {
        AprBackendTransfer_t *transfer = NULL;

        if (message->msg != CURLMSG_DONE) {
            continue;
        }
        curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE,
                          (char **)&transfer);
        end_transfer(
            client, transfer,
            AprBackendTransfer_Finish(transfer, message->data.result));
    }
}

/* Gives up the transfers whose time is over, all of them when the client
   stops. The time limits are checked here, because libcurl's own do not cover
   transfers that wait for a free connection. Returns the time in milliseconds
   until the next limit. */
static int
take_expired(AprBackendClient_t *client)
{
    struct timespec now = AprClock_Now(&client->clock);
    bool stopping = atomic_load(&client->stopping);
    int64_t next_ms = IDLE_POLL_MS;
    GList *transfers = g_hash_table_get_values(client->transfers);

    for (GList *link = transfers; link != NULL; link = link->next) {
        AprBackendTransfer_t *transfer = link->data;
        struct timespec limit = AprBackendTransfer_Limit(transfer);

        if (stopping) {
            end_transfer(
                client, transfer,
                AprBackendTransfer_GiveUp(transfer, APR_E_CLOSED, "stopping"));
        }
        else if (!AprTime_Before(now, limit)) {
            end_transfer(client, transfer,
                         AprBackendTransfer_GiveUp(transfer, APR_E_TIMEOUT,
                                                   "no answer in time"));
        }
        else if (AprTime_DiffMs(limit, now) < next_ms) {
            next_ms = AprTime_DiffMs(limit, now) + 1; /* rounded up */
        }
    }
    g_list_free(transfers);
    return (int)next_ms;
}

static void *
run(void *argument)
{
    AprBackendClient_t *client = argument;
    struct curl_waitfd wake = {AprRing_Fd(client->commands), CURL_WAIT_POLLIN,
                               0};

    while (!atomic_load(&client->stopping)) {
        int running;
        int wait_ms;

        take_commands(client);
        curl_multi_perform(client->multi, &running);
        take_finished(client);
        wait_ms = take_expired(client);
        curl_multi_poll(client->multi, &wake, 1, wait_ms, NULL);
    }
    take_commands(client);
    take_expired(client);
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

/* Starts the backend thread. At most `max_connections` connections are open
   at a time; calls beyond that wait until their time is over. An answer with
   a body above `max_body_bytes` counts as unknown. */
AprBackendClient_t *
AprBackendClient_Start(const AprClock_t *clock, int max_connections,
                       size_t max_body_bytes, AprBackendDone_t done,
                       void *context, AprError_t *error)
{
    AprBackendClient_t *client = calloc(1, sizeof(*client));

    pthread_once(&curl_once, init_curl);
    if (client == NULL) {
        goto error;
    }
    client->clock = *clock;
    client->max_body_bytes = max_body_bytes;
    client->done = done;
    client->context = context;
    client->commands = AprRing_New(RING_CAPACITY);
    client->multi = curl_multi_init();
    client->transfers = g_hash_table_new(g_int64_hash, g_int64_equal);
    if (client->commands == NULL || client->multi == NULL) {
        goto error;
    }
    curl_multi_setopt(client->multi, CURLMOPT_MAX_TOTAL_CONNECTIONS,
                      (long)max_connections);
    curl_multi_setopt(client->multi, CURLMOPT_MAXCONNECTS,
                      MIN((long)max_connections, MAX_IDLE_CONNECTIONS));
    if (pthread_create(&client->thread, NULL, run, client) != 0) {
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

/* Ends all calls, each with a result, and stops the thread. */
void
AprBackendClient_Stop(AprBackendClient_t *client)
{
    atomic_store(&client->stopping, true);
    curl_multi_wakeup(client->multi);
    pthread_join(client->thread, NULL);
    free_client(client);
}

static int
push_command(AprBackendClient_t *client, CommandType_t type, uint64_t id,
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

/* Queues a call and takes ownership of it on APR_OK; then `done` is called
   exactly once for it. Safe from any thread. */
int
AprBackendClient_Submit(AprBackendClient_t *client, AprBackendCall_t *call)
{
    return push_command(client, COMMAND_SUBMIT, call->id, call);
}

/* Ends a call early; its result is not-run if nothing was sent, otherwise
   unknown. Has no effect on a call that is over. When the ring is full the
   call runs on until its time is over. Safe from any thread. */
void
AprBackendClient_Cancel(AprBackendClient_t *client, uint64_t id)
{
    push_command(client, COMMAND_CANCEL, id, NULL);
}
