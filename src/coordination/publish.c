#include "apricot/publish.h"

#include <errno.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "apricot/clock.h"
#include "apricot/log.h"

/* Each lost attempt means that another publisher got through, so this many
   are lost only against as many others at the same time. */
#define MAX_ATTEMPTS 32
/* The waiting time grows by up to this much with each attempt, so that
   publishers that collide spread out. */
#define BACKOFF_STEP_MS 4
/* The history of the store answers at once; the limit is for an outage. */
#define CHANGE_SEARCH_MS 2000
#define NUMBER_SIZE 24

/* The published state that an attempt is based on. */
typedef struct Published_t {
    AprStoreValue_t value; /* of the service */
    bool readable;         /* `config` is filled from `value` */
    AprServiceConfig_t config;
    uint64_t generation; /* of the whole configuration */
    int64_t generation_revision;
} Published_t;

typedef struct Publisher_t {
    AprStore_t *store;
    char config_key[APR_STORE_KEY_SIZE];
    char generation_key[APR_STORE_KEY_SIZE];
    const AprServiceConfig_t *config;
    int64_t base_revision; /* of the service when the call started */
    int64_t search_from;   /* no later than the next change of the service */
    AprPublishResult_t *result;
    AprError_t *error;
    char *written; /* text of the last swap whose result is unknown */
    uint64_t written_generation;
} Publisher_t;

/* Search for the first change of the service after a revision. */
typedef struct FirstChange_t {
    const Publisher_t *publisher;
    struct timespec limit;
    bool seen;
    bool ours;
} FirstChange_t;

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

/* Reads the service and the generation. A stored service that cannot be read
   counts as different from any other, so that it can be replaced. */
static int
read_published(const Publisher_t *publisher, Published_t *published)
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
    published->readable =
        result == APR_OK && published->value.revision != 0 &&
        AprServiceConfig_FromJson(published->value.data, published->value.size,
                                  &published->config, NULL) == APR_OK;
    return result;
}

/* Compares what the operators declared; generation, publisher and time are
   added by publishing. */
static bool
same_content(const AprServiceConfig_t *left, const AprServiceConfig_t *right)
{
    AprServiceConfig_t *copy = malloc(sizeof(*copy));
    char *left_text = AprServiceConfig_ToJson(left);
    char *right_text = NULL;
    bool same = false;

    if (copy != NULL) {
        *copy = *right;
        copy->generation = left->generation;
        copy->published_at_ms = left->published_at_ms;
        memcpy(copy->published_by, left->published_by,
               sizeof(copy->published_by));
        right_text = AprServiceConfig_ToJson(copy);
    }
    if (left_text != NULL && right_text != NULL) {
        same = strcmp(left_text, right_text) == 0;
    }
    free(left_text);
    free(right_text);
    free(copy);
    return same;
}

static int
report_conflict(const Publisher_t *publisher, const Published_t *published)
{
    AprPublishResult_t *result = publisher->result;

    result->conflict = true;
    if (published->readable) {
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

/* The text that puts the configuration into force at the next generation. */
static char *
next_text(const Publisher_t *publisher, const Published_t *published)
{
    AprServiceConfig_t *copy = malloc(sizeof(*copy));
    char *text;

    if (copy == NULL) {
        return NULL;
    }
    *copy = *publisher->config;
    copy->generation = published->generation + 1;
    text = AprServiceConfig_ToJson(copy);
    free(copy);
    return text;
}

/* One swap of the service and the generation. */
static int
try_swap(Publisher_t *publisher, const Published_t *published)
{
    AprStore_t *store = publisher->store;
    char number[NUMBER_SIZE];
    char *text = next_text(publisher, published);
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
    snprintf(number, sizeof(number), "%" PRIu64, published->generation + 1);
    puts[0].data = text;
    puts[0].size = strlen(text);
    puts[1].data = number;
    puts[1].size = strlen(number);
    result = store->swap(store->context, compares, 2, puts, 2, &revision,
                         publisher->error);
    if (result == APR_OK) {
        publisher->result->generation = published->generation + 1;
    }
    else if (result == APR_E_UNKNOWN) {
        free(publisher->written);
        publisher->written = text;
        publisher->written_generation = published->generation + 1;
        text = NULL;
    }
    free(text);
    return result;
}

static void
note_change(void *context, const AprStoreEvent_t *event)
{
    FirstChange_t *change = context;
    const Publisher_t *publisher = change->publisher;

    /* The watch covers all keys that start with this one. */
    if (!change->seen && strcmp(event->key, publisher->config_key) == 0) {
        change->seen = true;
        change->ours = event->data != NULL &&
                       strcmp(event->data, publisher->written) == 0;
    }
}

static bool
change_search_ends(void *context)
{
    const FirstChange_t *change = context;
    AprClock_t clock = AprClock_System();

    return change->seen ||
           !AprTime_Before(AprClock_Now(&clock), change->limit);
}

/* The service changed, and the result of our swap is unknown: either another
   publisher came first, or ours took effect and was replaced before it was
   read back. The first change after the base revision tells which. */
static int
settle_replaced(const Publisher_t *publisher, const Published_t *published)
{
    AprStore_t *store = publisher->store;
    AprClock_t clock = AprClock_System();
    FirstChange_t change = {.publisher = publisher};

    change.limit = AprTime_AddMs(AprClock_Now(&clock), CHANGE_SEARCH_MS);
    store->watch(store->context, publisher->config_key, publisher->search_from,
                 note_change, &change, change_search_ends, &change,
                 publisher->error);
    if (change.ours) {
        publisher->result->generation = publisher->written_generation;
        return APR_OK;
    }
    if (change.seen) {
        return report_conflict(publisher, published);
    }
    return AprError_Set(publisher->error, APR_E_UNKNOWN, APR_STEP_STORE,
                        publisher->config->service,
                        "the store's answer was lost; replaced by %s",
                        published->config.published_by);
}

static bool
is_ours(const Publisher_t *publisher, const Published_t *published)
{
    return publisher->written != NULL && published->value.data != NULL &&
           strcmp(published->value.data, publisher->written) == 0;
}

/* One attempt. APR_E_STALE: the generation moved on, or the result of the
   swap is unknown; the next attempt starts from a fresh read, which shows
   whether the swap took effect. A swap that is still on its way can take
   effect or the next attempt's can, never both, because both compare the same
   revision of the service. */
static int
attempt(Publisher_t *publisher, Published_t *published, bool first,
        uint64_t based_on)
{
    int result = read_published(publisher, published);

    if (result != APR_OK) {
        return result;
    }
    if (first) {
        publisher->base_revision = published->value.revision;
        /* The generation was read before the service, and a store that drops
           old revisions still has the ones after it for a while. */
        publisher->search_from =
            1 + (published->generation_revision > published->value.revision
                     ? published->generation_revision
                     : published->value.revision);
    }
    if (is_ours(publisher, published)) {
        publisher->result->generation = published->config.generation;
        return APR_OK;
    }
    if (published->readable &&
        same_content(&published->config, publisher->config)) {
        publisher->result->generation = published->config.generation;
        publisher->result->unchanged = true;
        return APR_OK;
    }
    if (published->value.revision != publisher->base_revision &&
        publisher->written != NULL) {
        return settle_replaced(publisher, published);
    }
    if (published->value.revision != publisher->base_revision ||
        (based_on != 0 && published->readable &&
         published->config.generation > based_on)) {
        return report_conflict(publisher, published);
    }
    result = try_swap(publisher, published);
    return result == APR_E_CONFLICT || result == APR_E_UNKNOWN ? APR_E_STALE
                                                               : result;
}

static void
back_off(int attempts)
{
    unsigned limit_ms = (unsigned)(attempts + 1) * BACKOFF_STEP_MS;
    struct timespec now;
    struct timespec pause = {0, 0};

    /* The clock's low digits differ between publishers that collide. */
    clock_gettime(CLOCK_MONOTONIC, &now);
    pause.tv_nsec = (long)(now.tv_nsec / 1000 % (limit_ms * 1000)) * 1000;
    nanosleep(&pause, NULL);
}

static int
run_attempts(Publisher_t *publisher, uint64_t based_on)
{
    Published_t *published = malloc(sizeof(*published));
    int result = APR_E_STALE;

    if (published == NULL) {
        return AprError_Set(publisher->error, APR_E_NOMEM, APR_STEP_CONFIG,
                            publisher->config->service, "out of memory");
    }
    for (int i = 0; i < MAX_ATTEMPTS && result == APR_E_STALE; i++) {
        if (i > 0) {
            back_off(i);
        }
        memset(published, 0, sizeof(*published));
        result = attempt(publisher, published, i == 0, based_on);
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

/* Puts one service's configuration into force. `based_on` is a generation, of
   the service or of the whole configuration, that the operator last saw: a
   later change of the service is a conflict. 0 takes what is there when the
   call starts. Returns APR_OK also when the store already has the same
   content; APR_E_CONFLICT with the winner in the result; APR_E_UNAVAILABLE
   when nothing was published; APR_E_UNKNOWN when the store's answer was lost
   and the store could not be read after that, then publishing again settles
   it. */
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
        code = run_attempts(&publisher, based_on);
    }
    if (publisher.written != NULL &&
        (code == APR_E_UNAVAILABLE || code == APR_E_STALE)) {
        code =
            AprError_Set(error, APR_E_UNKNOWN, APR_STEP_STORE, config->service,
                         "the store's answer was lost; it may be in force");
    }
    else if (code == APR_E_STALE) {
        code = AprError_Set(
            error, APR_E_UNAVAILABLE, APR_STEP_STORE, config->service,
            "lost %d attempts to other publishers", MAX_ATTEMPTS);
    }
    free(publisher.written);
    return code;
}

typedef struct Listing_t {
    int count;
    AprServiceConfig_t *configs;
    bool failed;
} Listing_t;

/* A service that cannot be read must not hide the others. */
static void
add_config(void *context, const AprStoreEvent_t *event)
{
    Listing_t *listing = context;
    size_t size = ((size_t)listing->count + 1) * sizeof(*listing->configs);
    AprServiceConfig_t *configs = realloc(listing->configs, size);
    AprError_t error;

    if (configs == NULL) {
        listing->failed = true;
        return;
    }
    listing->configs = configs;
    if (AprServiceConfig_FromJson(event->data, event->size,
                                  &configs[listing->count],
                                  &error) != APR_OK) {
        AprLog_Write(APR_LOG_WARN, "config-unreadable", "key=%s detail=\"%s\"",
                     event->key, error.detail);
        return;
    }
    listing->count++;
}

/* Reads all published services in the order of their names. The generation is
   read first: with it as `based_on`, a change made during the listing is a
   conflict and not lost. */
int
AprPublish_List(AprStore_t *store, const char *prefix,
                AprServiceConfig_t **configs, uint64_t *generation,
                AprError_t *error)
{
    char key[APR_STORE_KEY_SIZE];
    Listing_t listing = {0};
    int64_t revision;
    int result;

    *configs = NULL;
    snprintf(key, sizeof(key), "%s/generation", prefix);
    result = read_generation(store, key, generation, &revision, error);
    if (result != APR_OK) {
        return result;
    }
    snprintf(key, sizeof(key), "%s/config/", prefix);
    result = store->list(store->context, key, add_config, &listing, &revision,
                         error);
    if (result == APR_OK && listing.failed) {
        result = AprError_Set(error, APR_E_NOMEM, APR_STEP_CONFIG, NULL,
                              "out of memory");
    }
    if (result != APR_OK) {
        free(listing.configs);
        return result;
    }
    *configs = listing.configs;
    return listing.count;
}
