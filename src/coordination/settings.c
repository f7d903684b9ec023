#include "apricot/settings.h"

#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "internal/settings_file.h"

/* Offset and size arguments of an AprField_t, by the kind of the member. */
#define TEXT_MEMBER(member) \
    offsetof(AprSettings_t, member), sizeof(((AprSettings_t *)NULL)->member)
#define LIST_MEMBER(member) \
    offsetof(AprSettings_t, member), sizeof(((AprSettings_t *)NULL)->member[0])
#define NUMBER_MEMBER(member) offsetof(AprSettings_t, member), 0
#define COUNT_OFFSET(member) offsetof(AprSettings_t, member)
#define ADDRESS_MAX_LENGTH (APR_ADDRESS_SIZE - 1)
#define NAME_MAX_LENGTH (APR_NAME_SIZE - 1)
#define SECRET_MAX_LENGTH (APR_SECRET_SIZE - 1)
#define PATH_MAX_LENGTH (APR_PATH_SIZE - 1)
#define UNIT_CHARACTERS "characters"

/* A shorter key can be found by an offline search from one recorded
   handshake. */
#define PEER_KEY_MIN_LENGTH 16

/* A lease must stay valid when one renewal or its answer is lost. */
#define RENEWALS_PER_PROMISE 2

static const AprField_t fields[] = {
    {NULL, "host", APR_FIELD_NAME, TEXT_MEMBER(host), 1, NAME_MAX_LENGTH,
     UNIT_CHARACTERS, NULL, "name of this host, unique in the cell", 0, 0},
    {NULL, "cell", APR_FIELD_NAME, TEXT_MEMBER(cell), 1, NAME_MAX_LENGTH,
     UNIT_CHARACTERS, "main", "cell that this process joins", 0, 0},
    {NULL, "failure_domain", APR_FIELD_NAME, TEXT_MEMBER(failure_domain), 1,
     NAME_MAX_LENGTH, UNIT_CHARACTERS, NULL, "zone that fails as a whole", 0,
     0},
    {NULL, "region", APR_FIELD_NAME, TEXT_MEMBER(region), 1, NAME_MAX_LENGTH,
     UNIT_CHARACTERS, "main", "region of the failure domain", 0, 0},
    {NULL, "seeds", APR_FIELD_ADDRESS, LIST_MEMBER(seeds), 1,
     ADDRESS_MAX_LENGTH, UNIT_CHARACTERS, "",
     "peer addresses to ask while the store is down", APR_MAX_SEEDS,
     COUNT_OFFSET(seed_count)},
    {"listen", "callers", APR_FIELD_ADDRESS, TEXT_MEMBER(listen_callers), 1,
     ADDRESS_MAX_LENGTH, UNIT_CHARACTERS, "127.0.0.1:7400",
     "IP:port for callers", 0, 0},
    {"listen", "peers", APR_FIELD_ADDRESS, TEXT_MEMBER(listen_peers), 1,
     ADDRESS_MAX_LENGTH, UNIT_CHARACTERS, "127.0.0.1:7401",
     "IP:port for other processes", 0, 0},
    {"listen", "admin", APR_FIELD_ADDRESS, TEXT_MEMBER(listen_admin), 1,
     ADDRESS_MAX_LENGTH, UNIT_CHARACTERS, "127.0.0.1:7402",
     "IP:port for operators and backends", 0, 0},
    {"advertise", "callers", APR_FIELD_ADDRESS, TEXT_MEMBER(advertise_callers),
     1, ADDRESS_MAX_LENGTH, UNIT_CHARACTERS, "",
     "IP:port given to others, else as listen", 0, 0},
    {"advertise", "peers", APR_FIELD_ADDRESS, TEXT_MEMBER(advertise_peers), 1,
     ADDRESS_MAX_LENGTH, UNIT_CHARACTERS, "",
     "IP:port given to others, else as listen", 0, 0},
    {"advertise", "admin", APR_FIELD_ADDRESS, TEXT_MEMBER(advertise_admin), 1,
     ADDRESS_MAX_LENGTH, UNIT_CHARACTERS, "",
     "IP:port given to others, else as listen", 0, 0},
    {"store", "endpoints", APR_FIELD_URL, LIST_MEMBER(endpoints), 8,
     PATH_MAX_LENGTH, UNIT_CHARACTERS, "http://127.0.0.1:2379",
     "URLs of the store", APR_MAX_ENDPOINTS, COUNT_OFFSET(endpoint_count)},
    {"store", "prefix", APR_FIELD_TEXT, TEXT_MEMBER(store_prefix), 2, 32,
     UNIT_CHARACTERS, "/apricot", "start of every key in the store", 0, 0},
    {"store", "timeout_ms", APR_FIELD_INT, NUMBER_MEMBER(store_timeout_ms), 50,
     60000, "ms", "2000", "time for one call to the store", 0, 0},
    {"security", "peer_key", APR_FIELD_TEXT, TEXT_MEMBER(peer_key),
     PEER_KEY_MIN_LENGTH, SECRET_MAX_LENGTH, UNIT_CHARACTERS, NULL,
     "secret shared by all processes", 0, 0},
    {"security", "admin_token", APR_FIELD_TEXT, TEXT_MEMBER(admin_token), 0,
     SECRET_MAX_LENGTH, UNIT_CHARACTERS, "", "bearer token of operators", 0,
     0},
    {"security", "caller_token", APR_FIELD_TEXT, TEXT_MEMBER(caller_token), 0,
     SECRET_MAX_LENGTH, UNIT_CHARACTERS, "", "bearer token of callers", 0, 0},
    {"backend", "slots", APR_FIELD_INT, NUMBER_MEMBER(backend_slots), 1, 1024,
     "requests", "6", "requests at a time, unless announced", 0, 0},
    {"backend", "connections", APR_FIELD_INT,
     NUMBER_MEMBER(backend_connections), 1, 4096, "connections", "64",
     "connections, unless announced", 0, 0},
    {"backend", "timeout_ms", APR_FIELD_INT, NUMBER_MEMBER(backend_timeout_ms),
     10, 600000, "ms", "30000", "longest call to the backend server", 0, 0},
    {"log", "level", APR_FIELD_LEVEL, TEXT_MEMBER(log_level), 1, 8,
     UNIT_CHARACTERS, "info", "error, warn, info or debug", 0, 0},
    {"log", "file", APR_FIELD_TEXT, TEXT_MEMBER(log_file), 0, PATH_MAX_LENGTH,
     UNIT_CHARACTERS, "", "log file, else standard error", 0, 0},
    {"lease", "renew_ms", APR_FIELD_INT, NUMBER_MEMBER(lease_renew_ms), 20,
     10000, "ms", "250", "time between renewals", 0, 0},
    {"lease", "promise_ms", APR_FIELD_INT, NUMBER_MEMBER(lease_promise_ms),
     100, 60000, "ms", "900", "promise of a witness, equal in the whole cell",
     0, 0},
};

#define FIELD_COUNT ((int)(sizeof(fields) / sizeof(fields[0])))

static bool
is_wildcard_address(const char *address)
{
    return strncmp(address, "0.0.0.0:", 8) == 0 ||
           strncmp(address, "[::]:", 5) == 0;
}

/* Returns the line that sets a field, or 1 when the file does not set it. */
static int
find_field_line(const AprFieldLines_t *lines, const char *table,
                const char *name)
{
    for (int i = 0; i < FIELD_COUNT; i++) {
        if (fields[i].table != NULL && strcmp(fields[i].table, table) == 0 &&
            strcmp(fields[i].name, name) == 0 && lines->line[i] > 0) {
            return lines->line[i];
        }
    }
    return 1;
}

/* Sets an advertised address that is empty to the listen address, and reports
   an error if the result is a wildcard address. `name` is the field in both
   tables. */
static void
set_default_advertise(char *advertise, const char *listen, const char *name,
                      const AprFieldLines_t *lines, AprSettingsFile_t *file)
{
    char field[APR_NAME_SIZE];
    const char *table = advertise[0] == '\0' ? "listen" : "advertise";

    if (advertise[0] == '\0') {
        g_strlcpy(advertise, listen, APR_ADDRESS_SIZE);
    }
    if (is_wildcard_address(advertise)) {
        snprintf(field, sizeof(field), "advertise.%s", name);
        AprSettingsFile_Report(
            file, find_field_line(lines, table, name), field,
            "would tell others to connect to all addresses; set it to "
            "an address of this host");
    }
}

/* Fills in default addresses and checks the rules that concern more than one
   field. */
static void
check_field_combinations(AprSettings_t *settings, const AprFieldLines_t *lines,
                         AprSettingsFile_t *file)
{
    set_default_advertise(settings->advertise_callers,
                          settings->listen_callers, "callers", lines, file);
    set_default_advertise(settings->advertise_peers, settings->listen_peers,
                          "peers", lines, file);
    set_default_advertise(settings->advertise_admin, settings->listen_admin,
                          "admin", lines, file);
    if (settings->lease_promise_ms <
        RENEWALS_PER_PROMISE * settings->lease_renew_ms) {
        AprSettingsFile_Report(
            file, find_field_line(lines, "lease", "promise_ms"),
            "lease.promise_ms",
            "is less than two lease.renew_ms; raise it or lower "
            "lease.renew_ms");
    }
    if (settings->store_prefix[0] != '/') {
        AprSettingsFile_Report(
            file, find_field_line(lines, "store", "prefix"), "store.prefix",
            "must begin with '/', for instance \"/apricot\"");
    }
    if (settings->endpoint_count == 0) {
        AprSettingsFile_Report(
            file, find_field_line(lines, "store", "endpoints"),
            "store.endpoints", "is empty; name at least one URL");
    }
}

/* Reads and validates a settings file. Returns APR_OK, or APR_E_INVALID with
   file, line, field and remedy in one line of error->detail. */
int
AprSettings_Load(const char *path, AprSettings_t *settings, AprError_t *error)
{
    AprSettingsFile_t file = {path, error, false};
    AprFieldLines_t lines;

    memset(settings, 0, sizeof(*settings));
    if (AprSettingsFile_Read(&file, fields, FIELD_COUNT, settings, &lines) !=
        APR_OK) {
        return APR_E_INVALID;
    }
    check_field_combinations(settings, &lines, &file);
    return file.failed ? APR_E_INVALID : APR_OK;
}

/* Returns the unit, range and default of every field, one field per line,
   allocated with malloc. */
char *
AprSettings_DescribeFields(void)
{
    return AprFields_Describe(fields, FIELD_COUNT);
}
