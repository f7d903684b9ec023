#include "apricot/publish.h"

#include <errno.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "apricot/clock.h"
#include "apricot/log.h"

/* An attempt fails with a conflict only when another publisher succeeded, so
   all of them fail only against as many concurrent publishers. */
#define MAX_ATTEMPTS 32
/* The upper limit of the random back-off grows by this much with each attempt,
   to spread out publishers that conflict. */
#define BACKOFF_STEP_MS 4
/* The store replays its history without delay; the timeout ends the search
   during an outage. */
#define CHANGE_SEARCH_TIMEOUT_MS 2000
#define GENERATION_TEXT_SIZE 24

/* The published state that an attempt replaces. */
typedef struct PublishedState_t {
    AprStoreValue_t value; /* stored configuration of the service */
    bool config_valid;     /* `config` is parsed from `value` */
    AprServiceConfig_t config;
    uint64_t generation; /* of the configuration of all services */
    int64_t generation_revision;
} PublishedState_t;

typedef struct Publisher_t {
    AprStore_t *store;
    char config_key[APR_STORE_KEY_SIZE];
    char generation_key[APR_STORE_KEY_SIZE];
    const AprServiceConfig_t *config;
    int64_t base_revision;   /* of the service at the first attempt */
    int64_t search_revision; /* where the search for the first change starts */
    AprPublishResult_t *result;
    AprError_t *error;
    char *unconfirmed_text; /* written by the last swap with unknown result */
    uint64_t unconfirmed_generation;
} Publisher_t;

/* A search for the first change of the service after the base revision. */
typedef struct ChangeSearch_t {
    const Publisher_t *publisher;
    struct timespec deadline;
    bool found;
    bool is_own;
} ChangeSearch_t;

static int
parse_generation(const AprStoreValue_t *value, uint64_t *generation,
                 AprError_t *error)
{
    char *end = NULL;

    *generation = 0;
    if (value->revision == 0) {
        return APR_OK;
    }
    errno = 0;
    *generation = strtoull(value->data, &end, 10);
    if (errno != 0 || end == value->data || *end != '\0') {
        return AprError_Set(error, APR_E_PARSE, APR_STEP_CONFIG, value->key,
                            "the generation is not a number");
    }
    return APR_OK;
}

static int
read_generation(AprStore_t *store, const char *key, uint64_t *generation,
                int64_t *revision, AprError_t *error)
{
    AprStoreValue_t value;
    int result = store->get(store->context, key, &value, error);

    if (result != APR_OK) {
        return result;
    }
    *revision = value.revision;
    result = parse_generation(&value, generation, error);
    AprStoreValue_Clear(&value);
    return result;
}

/* Reads the generation and the stored configuration of the service. A stored
   configuration that cannot be parsed counts as different from any other, so
   that it can be replaced. */
static int
read_published(const Publisher_t *publisher, PublishedState_t *published)
{
    AprStore_t *store = publisher->store;
    int result = read_generation(
        store, publisher->generation_key, &published->generation,
        &published->generation_revision, publisher->error);

    if (result != APR_OK) {
        return result;
    }
    result = store->get(store->context, publisher->config_key,
                        &published->value, publisher->error);
    published->config_valid =
        result == APR_OK && published->value.revision != 0 &&
        AprServiceConfig_FromJson(published->value.data, published->value.size,
                                  &published->config, NULL) == APR_OK;
    return result;
}

/* Compares the content that operators declare. Generation, publisher and time
   of publication are ignored. */
static bool
has_same_content(const AprServiceConfig_t *left,
                 const AprServiceConfig_t *right)
{
    AprServiceConfig_t *config_copy = malloc(sizeof(*config_copy));
    char *left_text = AprServiceConfig_ToJson(left);
    char *right_text = NULL;
    bool same = false;

    if (config_copy != NULL) {
        *config_copy = *right;
        config_copy->generation = left->generation;
        config_copy->published_at_ms = left->published_at_ms;
        memcpy(config_copy->published_by, left->published_by,
               sizeof(config_copy->published_by));
        right_text = AprServiceConfig_ToJson(config_copy);
    }
    if (left_text != NULL && right_text != NULL) {
        same = strcmp(left_text, right_text) == 0;
    }
    free(left_text);
    free(right_text);
    free(config_copy);
    return same;
}

static int
report_conflict(const Publisher_t *publisher,
                const PublishedState_t *published)
{
    AprPublishResult_t *result = publisher->result;

    result->conflict = true;
    if (published->config_valid) {
        snprintf(result->winner, sizeof(result->winner), "%s",
                 published->config.published_by);
        result->winner_at_ms = published->config.published_at_ms;
        result->winner_generation = published->config.generation;
    }
    return AprError_Set(
        publisher->error, APR_E_CONFLICT, APR_STEP_CONFIG,
        publisher->config->service, "changed by %s at generation %" PRIu64,
        result->winner[0] == '\0' ? "another publisher" : result->winner,
        result->winner_generation);
}

/* Returns the configuration as JSON with the next generation, allocated with
   malloc, or NULL when out of memory. */
static char *
serialize_next_generation(const Publisher_t *publisher,
                          const PublishedState_t *published)
{
    AprServiceConfig_t *config_copy = malloc(sizeof(*config_copy));
    char *text;

    if (config_copy == NULL) {
        return NULL;
    }
    *config_copy = *publisher->config;
    config_copy->generation = published->generation + 1;
    text = AprServiceConfig_ToJson(config_copy);
    free(config_copy);
    return text;
}

/* Writes the service and the generation in one swap. Keeps the written text
   when the result of the swap is unknown. */
static int
try_swap(Publisher_t *publisher, const PublishedState_t *published)
{
    AprStore_t *store = publisher->store;
    char generation_text[GENERATION_TEXT_SIZE];
    char *text = serialize_next_generation(publisher, published);
    AprStoreCompare_t compares[2] = {
        {publisher->config_key, publisher->base_revision},
        {publisher->generation_key, published->generation_revision}};
    AprStorePut_t puts[2] = {{.key = publisher->config_key},
                             {.key = publisher->generation_key}};
    int64_t revision;
    int result;

    if (text == NULL) {
        return AprError_Set(publisher->error, APR_E_NOMEM, APR_STEP_CONFIG,
                            publisher->config->service, "out of memory");
    }
    snprintf(generation_text, sizeof(generation_text), "%" PRIu64,
             published->generation + 1);
    puts[0].data = text;
    puts[0].size = strlen(text);
    puts[1].data = generation_text;
    puts[1].size = strlen(generation_text);
    result = store->swap(store->context, compares, 2, puts, 2, &revision,
                         publisher->error);
    if (result == APR_OK) {
        publisher->result->generation = published->generation + 1;
    }
    else if (result == APR_E_UNKNOWN_OUTCOME) {
        free(publisher->unconfirmed_text);
        publisher->unconfirmed_text = text;
        publisher->unconfirmed_generation = published->generation + 1;
        text = NULL;
    }
    free(text);
    return result;
}

static void
record_first_change(void *context, const AprStoreEvent_t *event)
{
    ChangeSearch_t *search = context;
    const Publisher_t *publisher = search->publisher;

    /* The watch also reports other keys that start with this one. */
    if (!search->found && strcmp(event->key, publisher->config_key) == 0) {
        search->found = true;
        search->is_own = event->data != NULL &&
                         strcmp(event->data, publisher->unconfirmed_text) == 0;
    }
}

static bool
change_search_is_over(void *context)
{
    const ChangeSearch_t *search = context;
    AprClock_t clock = AprClock_System();

    return search->found ||
           !AprTime_IsBefore(AprClock_Now(&clock), search->deadline);
}

/* Finds out what happened to a swap with unknown result when the service has
   changed since: another publisher was first, or the swap took effect and was
   replaced before it was read back. The first change after the base revision
   shows which. */
static int
resolve_unconfirmed_swap(const Publisher_t *publisher,
                         const PublishedState_t *published)
{
    AprStore_t *store = publisher->store;
    AprClock_t clock = AprClock_System();
    ChangeSearch_t search = {.publisher = publisher};

    search.deadline =
        AprTime_AddMs(AprClock_Now(&clock), CHANGE_SEARCH_TIMEOUT_MS);
    store->watch(store->context, publisher->config_key,
                 publisher->search_revision, record_first_change, &search,
                 change_search_is_over, &search, publisher->error);
    if (search.is_own) {
        publisher->result->generation = publisher->unconfirmed_generation;
        return APR_OK;
    }
    if (search.found) {
        return report_conflict(publisher, published);
    }
    return AprError_Set(publisher->error, APR_E_UNKNOWN_OUTCOME,
                        APR_STEP_STORE, publisher->config->service,
                        "the store's answer was lost; replaced by %s",
                        published->config.published_by);
}

static bool
is_own_write(const Publisher_t *publisher, const PublishedState_t *published)
{
    return publisher->unconfirmed_text != NULL &&
           published->value.data != NULL &&
           strcmp(published->value.data, publisher->unconfirmed_text) == 0;
}

/* Makes one attempt to publish the service. Returns APR_E_STALE when the
   generation has changed or the result of the swap is unknown. The next
   attempt then starts with a new read, which shows whether the swap took
   effect. Of a delayed swap and that of the next attempt only one can take
   effect, because both compare the same revision of the service. */
static int
try_publish(Publisher_t *publisher, PublishedState_t *published, bool is_first,
            uint64_t based_on)
{
    int result = read_published(publisher, published);

    if (result != APR_OK) {
        return result;
    }
    if (is_first) {
        publisher->base_revision = published->value.revision;
        /* The generation was read before the service, so the next change of
           the service is later than both revisions. A store that discards old
           revisions still holds the ones after the later of them for a
           while. */
        publisher->search_revision =
            1 + (published->generation_revision > published->value.revision
                     ? published->generation_revision
                     : published->value.revision);
    }
    if (is_own_write(publisher, published)) {
        publisher->result->generation = published->config.generation;
        return APR_OK;
    }
    if (published->config_valid &&
        has_same_content(&published->config, publisher->config)) {
        publisher->result->generation = published->config.generation;
        publisher->result->unchanged = true;
        return APR_OK;
    }
    if (published->value.revision != publisher->base_revision &&
        publisher->unconfirmed_text != NULL) {
        return resolve_unconfirmed_swap(publisher, published);
    }
    if (published->value.revision != publisher->base_revision ||
        (based_on != 0 && published->config_valid &&
         published->config.generation > based_on)) {
        return report_conflict(publisher, published);
    }
    result = try_swap(publisher, published);
    return result == APR_E_CONFLICT || result == APR_E_UNKNOWN_OUTCOME
               ? APR_E_STALE
               : result;
}

static void
sleep_backoff(int attempts)
{
    unsigned limit_ms = (unsigned)(attempts + 1) * BACKOFF_STEP_MS;
    struct timespec now;
    struct timespec pause = {0, 0};

    /* The low digits of the clock serve as a random number; they differ
       between publishers that conflict. */
    clock_gettime(CLOCK_MONOTONIC, &now);
    pause.tv_nsec = (long)(now.tv_nsec / 1000 % (limit_ms * 1000)) * 1000;
    nanosleep(&pause, NULL);
}

static int
publish_with_retries(Publisher_t *publisher, uint64_t based_on)
{
    PublishedState_t *published = malloc(sizeof(*published));
    int result = APR_E_STALE;

    if (published == NULL) {
        return AprError_Set(publisher->error, APR_E_NOMEM, APR_STEP_CONFIG,
                            publisher->config->service, "out of memory");
    }
    for (int i = 0; i < MAX_ATTEMPTS && result == APR_E_STALE; i++) {
        if (i > 0) {
            sleep_backoff(i);
        }
        memset(published, 0, sizeof(*published));
        result = try_publish(publisher, published, i == 0, based_on);
        AprStoreValue_Clear(&published->value);
    }
    free(published);
    return result;
}

static int
init_keys(Publisher_t *publisher, const char *prefix)
{
    int size = snprintf(publisher->config_key, sizeof(publisher->config_key),
                        "%s/config/%s", prefix, publisher->config->service);

    if (size < 0 || (size_t)size >= sizeof(publisher->config_key)) {
        return AprError_Set(publisher->error, APR_E_INVALID, APR_STEP_CONFIG,
                            publisher->config->service,
                            "prefix and service name are too long");
    }
    snprintf(publisher->generation_key, sizeof(publisher->generation_key),
             "%s/generation", prefix);
    return APR_OK;
}

/* Publishes the configuration of one service. `based_on` is the generation, of
   the service or of all services, that the operator last saw; a later change
   of the service is a conflict. With 0 only changes made during the call are
   conflicts. Returns APR_OK also when the store already has the same content;
   APR_E_CONFLICT with the other publisher in the result; APR_E_UNAVAILABLE
   when nothing was published; APR_E_UNKNOWN_OUTCOME when the store's answer
   was lost and could not be verified by reading the store; publishing again
   then gives a definite result. */
int
AprPublish_Service(AprStore_t *store, const char *prefix,
                   const AprServiceConfig_t *config, uint64_t based_on,
                   AprPublishResult_t *result, AprError_t *error)
{
    Publisher_t publisher = {
        .store = store, .config = config, .result = result, .error = error};
    int code;

    memset(result, 0, sizeof(*result));
    code = init_keys(&publisher, prefix);
    if (code == APR_OK) {
        code = publish_with_retries(&publisher, based_on);
    }
    if (publisher.unconfirmed_text != NULL &&
        (code == APR_E_UNAVAILABLE || code == APR_E_STALE)) {
        code = AprError_Set(error, APR_E_UNKNOWN_OUTCOME, APR_STEP_STORE,
                            config->service,
                            "the store's answer was lost; it may be in force");
    }
    else if (code == APR_E_STALE) {
        code = AprError_Set(
            error, APR_E_UNAVAILABLE, APR_STEP_STORE, config->service,
            "gave up after %d conflicts with other publishers", MAX_ATTEMPTS);
    }
    free(publisher.unconfirmed_text);
    return code;
}

typedef struct ConfigList_t {
    int count;
    AprServiceConfig_t *configs;
    bool failed;
} ConfigList_t;

/* Adds a published service to the list. One that cannot be parsed is logged
   and skipped, so that it does not hide the others. */
static void
append_config(void *context, const AprStoreEvent_t *event)
{
    ConfigList_t *list = context;
    size_t size = ((size_t)list->count + 1) * sizeof(*list->configs);
    AprServiceConfig_t *configs = realloc(list->configs, size);
    AprError_t error;

    if (configs == NULL) {
        list->failed = true;
        return;
    }
    list->configs = configs;
    if (AprServiceConfig_FromJson(event->data, event->size,
                                  &configs[list->count], &error) != APR_OK) {
        AprLog_Write(APR_LOG_WARN, "config-unreadable", "key=%s detail=\"%s\"",
                     event->key, error.detail);
        return;
    }
    list->count++;
}

/* Reads all published services in the order of their names. The generation is
   read first, so that with it as `based_on` a change made during the listing
   is reported as a conflict and not overwritten. Returns the number of
   services in *configs, which is allocated with malloc, or an error. */
int
AprPublish_ListServices(AprStore_t *store, const char *prefix,
                        AprServiceConfig_t **configs, uint64_t *generation,
                        AprError_t *error)
{
    char key[APR_STORE_KEY_SIZE];
    ConfigList_t list = {0};
    int64_t revision;
    int result;

    *configs = NULL;
    snprintf(key, sizeof(key), "%s/generation", prefix);
    result = read_generation(store, key, generation, &revision, error);
    if (result != APR_OK) {
        return result;
    }
    snprintf(key, sizeof(key), "%s/config/", prefix);
    result = store->list(store->context, key, append_config, &list, &revision,
                         error);
    if (result == APR_OK && list.failed) {
        result = AprError_Set(error, APR_E_NOMEM, APR_STEP_CONFIG, NULL,
                              "out of memory");
    }
    if (result != APR_OK) {
        free(list.configs);
        return result;
    }
    *configs = list.configs;
    return list.count;
}
