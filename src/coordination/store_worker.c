#include "internal/store_worker.h"

#include <glib.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "apricot/log.h"
#include "internal/event.h"

#define JOB_RING_SIZE 64
#define JOB_POLL_INTERVAL_MS 200
#define WATCH_RETRY_MS 200
#define NS_PER_MS 1000000L

typedef struct StoreJob_t {
    AprStoreJobType_t type;
    char *text;
    int64_t revision;
} StoreJob_t;

/* A thread that watches the record or, if `is_record` is false, the published
   services. */
typedef struct WatchThread_t {
    AprStoreWorker_t *worker;
    bool is_record;
    char prefix[APR_STORE_KEY_SIZE];
    pthread_t thread;
    atomic_bool connected;
} WatchThread_t;

struct AprStoreWorker_t {
    AprStore_t store;
    AprRing_t *inbox;
    AprRing_t *jobs;
    char record_key[APR_STORE_KEY_SIZE];
    char config_prefix[APR_STORE_KEY_SIZE];
    pthread_t job_thread;
    WatchThread_t watches[2];
    atomic_bool stop;
    atomic_bool watch_enabled;
    /* The condition ends the idle wait of the watch threads when `stop` or
       `watch_enabled` changes. Most members of a cell never watch, so their
       threads wait without polling. */
    pthread_mutex_t watch_mutex;
    pthread_cond_t watch_flags_changed;
};

static void
sleep_ms(long ms)
{
    struct timespec pause = {0, ms * NS_PER_MS};

    nanosleep(&pause, NULL);
}

static void
read_record(AprStoreWorker_t *worker, AprStoreResult_t *result)
{
    AprStoreValue_t value = {0};

    result->code = worker->store.get(worker->store.context, worker->record_key,
                                     &value, &result->error);
    if (result->code == APR_E_NOT_FOUND) {
        result->code = APR_OK;
    }
    if (result->code == APR_OK) {
        result->data = value.data;
        result->size = value.size;
        result->revision = value.revision;
        value.data = NULL;
    }
    AprStoreValue_Clear(&value);
}

static void
swap_record(AprStoreWorker_t *worker, const StoreJob_t *job,
            AprStoreResult_t *result)
{
    AprStoreCompare_t compare = {worker->record_key, job->revision};
    AprStorePut_t put = {worker->record_key, job->text, strlen(job->text), 0};

    result->code = worker->store.swap(worker->store.context, &compare, 1, &put,
                                      1, &result->revision, &result->error);
}

static void
append_config_text(void *context, const AprStoreEvent_t *event)
{
    AprStoreResult_t *result = context;
    AprServiceConfigText_t *configs;

    configs = realloc(result->configs,
                      (size_t)(result->config_count + 1) * sizeof(*configs));
    if (configs == NULL) {
        return;
    }
    result->configs = configs;
    configs[result->config_count].data = g_strndup(event->data, event->size);
    configs[result->config_count].size = event->size;
    result->config_count++;
}

static void
read_config(AprStoreWorker_t *worker, AprStoreResult_t *result)
{
    result->code = worker->store.list(
        worker->store.context, worker->config_prefix, append_config_text,
        result, &result->revision, &result->error);
}

static void
execute_job(AprStoreWorker_t *worker, StoreJob_t *job)
{
    AprStoreResult_t *result = calloc(1, sizeof(*result));
    AprEvent_t *event = AprEvent_New(APR_EVENT_STORE);

    if (result == NULL || event == NULL) {
        abort(); /* a lost result would block all record changes */
    }
    result->type = job->type;
    switch (job->type) {
    case APR_JOB_READ_RECORD:
        read_record(worker, result);
        break;
    case APR_JOB_SWAP_RECORD:
        swap_record(worker, job, result);
        break;
    case APR_JOB_READ_CONFIG:
        read_config(worker, result);
        break;
    }
    event->store = result;
    AprEvent_PostBlocking(worker->inbox, event);
}

static void
free_job(StoreJob_t *job)
{
    free(job->text);
    free(job);
}

static void *
run_job_thread(void *argument)
{
    AprStoreWorker_t *worker = argument;

    while (!atomic_load(&worker->stop)) {
        StoreJob_t *job;

        AprRing_Wait(worker->jobs, JOB_POLL_INTERVAL_MS);
        while (!atomic_load(&worker->stop) &&
               (job = AprRing_Pop(worker->jobs)) != NULL) {
            execute_job(worker, job);
            free_job(job);
        }
    }
    return NULL;
}

static void
post_watch_event(void *context, const AprStoreEvent_t *change)
{
    WatchThread_t *watch = context;
    AprWatchEvent_t *item;
    AprEvent_t *event;

    if (change->data == NULL) {
        return; /* deletions are ignored: no state is ever reverted */
    }
    item = calloc(1, sizeof(*item));
    event = AprEvent_New(APR_EVENT_WATCH);
    if (item == NULL || event == NULL) {
        free(item);
        free(event);
        return;
    }
    item->is_record = watch->is_record;
    item->data = g_strndup(change->data, change->size);
    item->size = change->size;
    item->revision = change->revision;
    event->watch = item;
    AprEvent_PostBlocking(watch->worker->inbox, event);
}

static bool
should_stop_watch(void *context)
{
    WatchThread_t *watch = context;

    return atomic_load(&watch->worker->stop) ||
           !atomic_load(&watch->worker->watch_enabled);
}

/* Lists all keys and then watches for changes after the revision of the
   listing, so that changes made while no watch was open are not missed.
   Returns when the watch is stopped or lost. */
static void
list_and_watch(WatchThread_t *watch)
{
    AprStore_t *store = &watch->worker->store;
    AprError_t error = {0};
    int64_t revision = 0;
    int code = store->list(store->context, watch->prefix, post_watch_event,
                           watch, &revision, &error);

    if (code == APR_OK) {
        atomic_store(&watch->connected, true);
        store->watch(store->context, watch->prefix, revision + 1,
                     post_watch_event, watch, should_stop_watch, watch,
                     &error);
    }
    if (atomic_exchange(&watch->connected, false) &&
        !should_stop_watch(watch)) {
        AprLog_Write(APR_LOG_WARN, "watch-lost",
                     "prefix=%s error=%s detail=\"%s\"", watch->prefix,
                     AprError_Name(error.code), error.detail);
    }
}

/* Sets `stop` or `watch_enabled` and wakes the watch threads that wait for
   them. */
static void
set_watch_flag(AprStoreWorker_t *worker, atomic_bool *flag, bool value)
{
    pthread_mutex_lock(&worker->watch_mutex);
    atomic_store(flag, value);
    pthread_cond_broadcast(&worker->watch_flags_changed);
    pthread_mutex_unlock(&worker->watch_mutex);
}

static void
wait_until_watch_enabled(AprStoreWorker_t *worker)
{
    pthread_mutex_lock(&worker->watch_mutex);
    while (!atomic_load(&worker->stop) &&
           !atomic_load(&worker->watch_enabled)) {
        pthread_cond_wait(&worker->watch_flags_changed, &worker->watch_mutex);
    }
    pthread_mutex_unlock(&worker->watch_mutex);
}

static void *
run_watch_thread(void *argument)
{
    WatchThread_t *watch = argument;

    while (!atomic_load(&watch->worker->stop)) {
        if (!atomic_load(&watch->worker->watch_enabled)) {
            wait_until_watch_enabled(watch->worker);
            continue;
        }
        list_and_watch(watch);
        if (!should_stop_watch(watch)) {
            sleep_ms(WATCH_RETRY_MS);
        }
    }
    return NULL;
}

static void
init_watch(AprStoreWorker_t *worker, int index, bool is_record,
           const char *prefix)
{
    WatchThread_t *watch = &worker->watches[index];

    watch->worker = worker;
    watch->is_record = is_record;
    snprintf(watch->prefix, sizeof(watch->prefix), "%s", prefix);
}

/* Opens the store named in the settings and starts the threads. Results and
   watch events are posted to `inbox`, which the caller owns and must keep
   until AprStoreWorker_Stop(). Returns NULL on failure, with the error set. */
AprStoreWorker_t *
AprStoreWorker_Start(const AprSettings_t *settings, AprRing_t *inbox,
                     AprError_t *error)
{
    const char *endpoints[APR_MAX_ENDPOINTS];
    AprStoreWorker_t *worker = calloc(1, sizeof(*worker));

    if (worker == NULL) {
        AprError_Set(error, APR_E_NOMEM, APR_STEP_STORE, NULL,
                     "out of memory");
        return NULL;
    }
    for (int i = 0; i < settings->endpoint_count; i++) {
        endpoints[i] = settings->endpoints[i];
    }
    worker->inbox = inbox;
    worker->jobs = AprRing_New(JOB_RING_SIZE);
    if (worker->jobs == NULL ||
        AprEtcd_Open(endpoints, settings->endpoint_count,
                     settings->store_timeout_ms, &worker->store,
                     error) != APR_OK) {
        AprRing_Free(worker->jobs);
        free(worker);
        return NULL;
    }
    snprintf(worker->record_key, sizeof(worker->record_key), "%s/cell/%s",
             settings->store_prefix, settings->cell);
    snprintf(worker->config_prefix, sizeof(worker->config_prefix),
             "%s/config/", settings->store_prefix);
    pthread_mutex_init(&worker->watch_mutex, NULL);
    pthread_cond_init(&worker->watch_flags_changed, NULL);
    init_watch(worker, 0, true, worker->record_key);
    init_watch(worker, 1, false, worker->config_prefix);
    pthread_create(&worker->job_thread, NULL, run_job_thread, worker);
    for (int i = 0; i < 2; i++) {
        pthread_create(&worker->watches[i].thread, NULL, run_watch_thread,
                       &worker->watches[i]);
    }
    return worker;
}

/* Stops the threads, closes the store and frees the worker. Waits for a call
   in progress, whose duration the store's timeout limits. */
void
AprStoreWorker_Stop(AprStoreWorker_t *worker)
{
    StoreJob_t *job;

    if (worker == NULL) {
        return;
    }
    set_watch_flag(worker, &worker->stop, true);
    pthread_join(worker->job_thread, NULL);
    for (int i = 0; i < 2; i++) {
        pthread_join(worker->watches[i].thread, NULL);
    }
    while ((job = AprRing_Pop(worker->jobs)) != NULL) {
        free_job(job);
    }
    AprRing_Free(worker->jobs);
    AprStore_Close(&worker->store);
    pthread_cond_destroy(&worker->watch_flags_changed);
    pthread_mutex_destroy(&worker->watch_mutex);
    free(worker);
}

/* Queues a job and takes ownership of `text`, also on failure. */
static int
submit_job(AprStoreWorker_t *worker, AprStoreJobType_t type, char *text,
           int64_t revision)
{
    StoreJob_t *job = calloc(1, sizeof(*job));
    int code;

    if (job == NULL) {
        free(text);
        return APR_E_NOMEM;
    }
    job->type = type;
    job->text = text;
    job->revision = revision;
    code = AprRing_Push(worker->jobs, job);
    if (code != APR_OK) {
        free_job(job);
    }
    return code;
}

/* Starts a read of the cell record. Returns APR_E_FULL when the job queue is
   full. */
int
AprStoreWorker_ReadRecord(AprStoreWorker_t *worker)
{
    return submit_job(worker, APR_JOB_READ_RECORD, NULL, 0);
}

/* Starts a read of all published services. */
int
AprStoreWorker_ReadConfig(AprStoreWorker_t *worker)
{
    return submit_job(worker, APR_JOB_READ_CONFIG, NULL, 0);
}

/* Starts a compare-and-swap of the cell record against `revision`. Takes
   ownership of `text`, also on failure. */
int
AprStoreWorker_SwapRecord(AprStoreWorker_t *worker, char *text,
                          int64_t revision)
{
    return submit_job(worker, APR_JOB_SWAP_RECORD, text, revision);
}

/* Enables or disables both watches. Only the relays of a cell watch, so that
   the load of the store grows with the number of cells and not of hosts. */
void
AprStoreWorker_SetWatchEnabled(AprStoreWorker_t *worker, bool enabled)
{
    if (atomic_load(&worker->watch_enabled) != enabled) {
        set_watch_flag(worker, &worker->watch_enabled, enabled);
    }
}

/* Returns whether both watches are connected. */
bool
AprStoreWorker_IsWatching(const AprStoreWorker_t *worker)
{
    return atomic_load(&worker->watches[0].connected) &&
           atomic_load(&worker->watches[1].connected);
}

void
AprStoreResult_Free(AprStoreResult_t *result)
{
    if (result == NULL) {
        return;
    }
    for (int i = 0; i < result->config_count; i++) {
        g_free(result->configs[i].data);
    }
    free(result->configs);
    free(result->data);
    free(result);
}

void
AprWatchEvent_Free(AprWatchEvent_t *event)
{
    if (event != NULL) {
        g_free(event->data);
        free(event);
    }
}
