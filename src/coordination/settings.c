#include "apricot/settings.h"

#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "internal/settings_file.h"

#define TEXT(member) \
    offsetof(AprSettings_t, member), sizeof(((AprSettings_t *)NULL)->member)
#define LIST(member) \
    offsetof(AprSettings_t, member), sizeof(((AprSettings_t *)NULL)->member[0])
#define NUMBER(member) offsetof(AprSettings_t, member), 0
#define COUNT(member) offsetof(AprSettings_t, member)
#define ADDRESS_MAX (APR_ADDRESS_SIZE - 1)
#define NAME_MAX_LENGTH (APR_NAME_SIZE - 1)
#define SECRET_MAX (APR_SECRET_SIZE - 1)
#define PATH_MAX_LENGTH (APR_PATH_SIZE - 1)
#define CHARACTERS "characters"

/* A shorter key can be guessed offline from one recorded handshake. */
#define PEER_KEY_MIN 16

/* A member must survive one lost renewal and its answer within a promise. */
#define RENEWALS_PER_PROMISE 2

static const AprField_t fields[] = {
    {NULL, "host", APR_FIELD_NAME, TEXT(host), 1, NAME_MAX_LENGTH, CHARACTERS,
     NULL, "name of this host, unique in the cell", 0, 0},
    {NULL, "cell", APR_FIELD_NAME, TEXT(cell), 1, NAME_MAX_LENGTH, CHARACTERS,
     "main", "cell that this process joins", 0, 0},
    {NULL, "failure_domain", APR_FIELD_NAME, TEXT(failure_domain), 1,
     NAME_MAX_LENGTH, CHARACTERS, NULL, "zone that fails as a whole", 0, 0},
    {NULL, "region", APR_FIELD_NAME, TEXT(region), 1, NAME_MAX_LENGTH,
     CHARACTERS, "main", "region of the failure domain", 0, 0},
    {NULL, "seeds", APR_FIELD_ADDRESS, LIST(seeds), 1, ADDRESS_MAX, CHARACTERS,
     "", "peer addresses to ask while the store is down", APR_MAX_SEEDS,
     COUNT(seed_count)},
    {"listen", "callers", APR_FIELD_ADDRESS, TEXT(listen_callers), 1,
     ADDRESS_MAX, CHARACTERS, "127.0.0.1:7400", "IP:port for callers", 0, 0},
    {"listen", "peers", APR_FIELD_ADDRESS, TEXT(listen_peers), 1, ADDRESS_MAX,
     CHARACTERS, "127.0.0.1:7401", "IP:port for other processes", 0, 0},
    {"listen", "admin", APR_FIELD_ADDRESS, TEXT(listen_admin), 1, ADDRESS_MAX,
     CHARACTERS, "127.0.0.1:7402", "IP:port for operators and backends", 0, 0},
    {"advertise", "callers", APR_FIELD_ADDRESS, TEXT(advertise_callers), 1,
     ADDRESS_MAX, CHARACTERS, "", "IP:port given to others, else as listen", 0,
     0},
    {"advertise", "peers", APR_FIELD_ADDRESS, TEXT(advertise_peers), 1,
     ADDRESS_MAX, CHARACTERS, "", "IP:port given to others, else as listen", 0,
     0},
    {"advertise", "admin", APR_FIELD_ADDRESS, TEXT(advertise_admin), 1,
     ADDRESS_MAX, CHARACTERS, "", "IP:port given to others, else as listen", 0,
     0},
    {"store", "endpoints", APR_FIELD_URL, LIST(endpoints), 8, PATH_MAX_LENGTH,
     CHARACTERS, "http://127.0.0.1:2379", "URLs of the store",
     APR_MAX_ENDPOINTS, COUNT(endpoint_count)},
    {"store", "prefix", APR_FIELD_TEXT, TEXT(store_prefix), 2, 32, CHARACTERS,
     "/apricot", "start of every key in the store", 0, 0},
    {"store", "timeout_ms", APR_FIELD_INT, NUMBER(store_timeout_ms), 50, 60000,
     "ms", "2000", "time for one call to the store", 0, 0},
    {"security", "peer_key", APR_FIELD_TEXT, TEXT(peer_key), PEER_KEY_MIN,
     SECRET_MAX, CHARACTERS, NULL, "secret shared by all processes", 0, 0},
    {"security", "admin_token", APR_FIELD_TEXT, TEXT(admin_token), 0,
     SECRET_MAX, CHARACTERS, "", "bearer token of operators", 0, 0},
    {"security", "caller_token", APR_FIELD_TEXT, TEXT(caller_token), 0,
     SECRET_MAX, CHARACTERS, "", "bearer token of callers", 0, 0},
    {"backend", "slots", APR_FIELD_INT, NUMBER(backend_slots), 1, 1024,
     "requests", "6", "requests at a time, unless announced", 0, 0},
    {"backend", "connections", APR_FIELD_INT, NUMBER(backend_connections), 1,
     4096, "connections", "64", "connections, unless announced", 0, 0},
    {"backend", "timeout_ms", APR_FIELD_INT, NUMBER(backend_timeout_ms), 10,
     600000, "ms", "30000", "longest call to the backend server", 0, 0},
    {"log", "level", APR_FIELD_LEVEL, TEXT(log_level), 1, 8, CHARACTERS,
     "info", "error, warn, info or debug", 0, 0},
    {"log", "file", APR_FIELD_TEXT, TEXT(log_file), 0, PATH_MAX_LENGTH,
     CHARACTERS, "", "log file, else standard error", 0, 0},
    {"lease", "renew_ms", APR_FIELD_INT, NUMBER(lease_renew_ms), 20, 10000,
     "ms", "250", "time between renewals", 0, 0},
    {"lease", "promise_ms", APR_FIELD_INT, NUMBER(lease_promise_ms), 100,
     60000, "ms", "900", "promise of a witness, equal in the whole cell", 0,
     0},
};

#define FIELD_COUNT ((int)(sizeof(fields) / sizeof(fields[0])))

static bool
is_any_address(const char *address)
{
    return strncmp(address, "0.0.0.0:", 8) == 0 ||
           strncmp(address, "[::]:", 5) == 0;
}

static int
field_line(const AprFieldLines_t *lines, const char *table, const char *name)
{
    for (int i = 0; i < FIELD_COUNT; i++) {
        if (fields[i].table != NULL && strcmp(fields[i].table, table) == 0 &&
            strcmp(fields[i].name, name) == 0 && lines->line[i] > 0) {
            return lines->line[i];
        }
    }
    return 1;
}

static void
default_advertise(char *advertise, const char *listen, const char *name,
                  const AprFieldLines_t *lines, AprSettingsFile_t *load)
{
    char field[APR_NAME_SIZE];
    const char *table = advertise[0] == '\0' ? "listen" : "advertise";

    if (advertise[0] == '\0') {
        g_strlcpy(advertise, listen, APR_ADDRESS_SIZE);
    }
    if (is_any_address(advertise)) {
        snprintf(field, sizeof(field), "advertise.%s", name);
        AprSettingsFile_Report(
            load, field_line(lines, table, name), field,
            "would tell others to connect to all addresses; set it to "
            "an address of this host");
    }
}

/* Rules that concern more than one field. */
static void
check_together(AprSettings_t *settings, const AprFieldLines_t *lines,
               AprSettingsFile_t *load)
{
    default_advertise(settings->advertise_callers, settings->listen_callers,
                      "callers", lines, load);
    default_advertise(settings->advertise_peers, settings->listen_peers,
                      "peers", lines, load);
    default_advertise(settings->advertise_admin, settings->listen_admin,
                      "admin", lines, load);
    if (settings->lease_promise_ms <
        RENEWALS_PER_PROMISE * settings->lease_renew_ms) {
        AprSettingsFile_Report(
            load, field_line(lines, "lease", "promise_ms"), "lease.promise_ms",
            "is less than two lease.renew_ms; raise it or lower "
            "lease.renew_ms");
    }
    if (settings->store_prefix[0] != '/') {
        AprSettingsFile_Report(
            load, field_line(lines, "store", "prefix"), "store.prefix",
            "must begin with '/', for instance \"/apricot\"");
    }
    if (settings->endpoint_count == 0) {
        AprSettingsFile_Report(load, field_line(lines, "store", "endpoints"),
                               "store.endpoints",
                               "is empty; name at least one URL");
    }
}

/* Reads and checks a settings file. Returns APR_OK, or APR_E_INVALID with the
   file, the line, the field and the fix in one line of error->detail. */
int
AprSettings_Load(const char *path, AprSettings_t *settings, AprError_t *error)
{
    AprSettingsFile_t load = {path, error, false};
    AprFieldLines_t lines;

    memset(settings, 0, sizeof(*settings));
    if (AprSettingsFile_Read(&load, fields, FIELD_COUNT, settings, &lines) !=
        APR_OK) {
        return APR_E_INVALID;
    }
    check_together(settings, &lines, &load);
    return load.failed ? APR_E_INVALID : APR_OK;
}

/* The unit, range and default of every field, one a line; allocated with
   malloc. */
char *
AprSettings_Describe(void)
{
    return AprFields_Describe(fields, FIELD_COUNT);
}
