#include "apricot/gateway_settings.h"

#include <glib.h>
#include <string.h>

#include "internal/settings_file.h"

#define TEXT(member)                        \
    offsetof(AprGatewaySettings_t, member), \
        sizeof(((AprGatewaySettings_t *)NULL)->member)
#define NUMBER(member) offsetof(AprGatewaySettings_t, member), 0
#define ADDRESS_MAX (APR_ADDRESS_SIZE - 1)
#define NAME_MAX_LENGTH (APR_NAME_SIZE - 1)
#define CHARACTERS "characters"

static const AprField_t fields[] = {
    {NULL, "host", APR_FIELD_NAME, TEXT(host), 1, NAME_MAX_LENGTH, CHARACTERS,
     NULL, "unique name of this host", 0, 0},
    {NULL, "failure_domain", APR_FIELD_NAME, TEXT(failure_domain), 1,
     NAME_MAX_LENGTH, CHARACTERS, NULL, "failure domain of this host", 0, 0},
    {NULL, "cpu_share", APR_FIELD_DOUBLE, NUMBER(cpu_share), 0.001, 1024,
     "cores", "1.0", "CPU time available to this process", 0, 0},
    {NULL, "link_mbps", APR_FIELD_DOUBLE, NUMBER(link_mbps), 0.01, 1e6,
     "Mbit/s", "1000", "bandwidth of the host's network link", 0, 0},
    {"listen", "callers", APR_FIELD_ADDRESS, TEXT(listen_callers), 1,
     ADDRESS_MAX, CHARACTERS, NULL, "IP:port for callers", 0, 0},
    {"listen", "peers", APR_FIELD_ADDRESS, TEXT(listen_peers), 1, ADDRESS_MAX,
     CHARACTERS, NULL, "IP:port for the gateways of other hosts", 0, 0},
    {"listen", "control", APR_FIELD_ADDRESS, TEXT(listen_control), 1,
     ADDRESS_MAX, CHARACTERS, NULL, "IP:port for the backend server", 0, 0},
    {"listen", "readiness", APR_FIELD_ADDRESS, TEXT(listen_readiness), 1,
     ADDRESS_MAX, CHARACTERS, NULL, "IP:port for readiness probes", 0, 0},
    {"listen", "metrics", APR_FIELD_ADDRESS, TEXT(listen_metrics), 1,
     ADDRESS_MAX, CHARACTERS, NULL, "IP:port for metrics and the state dump",
     0, 0},
    {"advertise", "peers", APR_FIELD_ADDRESS, TEXT(advertise_peers), 1,
     ADDRESS_MAX, CHARACTERS, "",
     "IP:port advertised to peers; default: listen", 0, 0},
    {"backend", "service", APR_FIELD_NAME, TEXT(backend_service), 1,
     APR_ROUTE_NAME_SIZE - 1, CHARACTERS, NULL,
     "service of the backend server on this host", 0, 0},
    {"backend", "address", APR_FIELD_ADDRESS, TEXT(backend_address), 1,
     ADDRESS_MAX, CHARACTERS, NULL, "IP:port of the backend server", 0, 0},
    {"backend", "heartbeat_s", APR_FIELD_DOUBLE, NUMBER(heartbeat_s), 0.05, 60,
     "s", "1.0", "heartbeat interval of the backend server", 0, 0},
    {"backend", "hold_max_s", APR_FIELD_DOUBLE, NUMBER(hold_max_s), 0.5, 600,
     "s", "10", "longest grant that the backend server accepts", 0, 0},
    {"backend", "drain_s", APR_FIELD_DOUBLE, NUMBER(drain_s), 0.1, 600, "s",
     "2", "time from a leave until no request may start", 0, 0},
    {"store", "address", APR_FIELD_ADDRESS, TEXT(store_address), 1,
     ADDRESS_MAX, CHARACTERS, NULL, "IP:port of the store", 0, 0},
    {"store", "prefix", APR_FIELD_TEXT, TEXT(store_prefix), 1, 32, CHARACTERS,
     "apricot/", "prefix of all keys that the gateways write", 0, 0},
    {"config", "deadline_s", APR_FIELD_DOUBLE, NUMBER(config_deadline_s), 0.5,
     60, "s", "2",
     "time within which a change of the configuration is in force", 0, 0},
    {"stop", "grace_s", APR_FIELD_DOUBLE, NUMBER(stop_grace_s), 0.5, 600, "s",
     "6", "longest time from the stop signal to the exit", 0, 0},
    {"retry", "ratio", APR_FIELD_DOUBLE, NUMBER(retry_ratio), 0, 1, "", "0.2",
     "retries per request, over all hosts", 0, 0},
    {"retry", "extra", APR_FIELD_DOUBLE, NUMBER(retry_extra), 0, 1e6,
     "requests", "60", "additional retries per window, over all hosts", 0, 0},
    {"cold", "over", APR_FIELD_DOUBLE, NUMBER(cold_over), 1, 100, "", "1.5",
     "factor on the requests a second that a cold backend server tolerates", 0,
     0},
    {"cold", "slack", APR_FIELD_DOUBLE, NUMBER(cold_slack), 0, 1e6, "requests",
     "8", "additional requests in a second to a cold backend server", 0, 0},
    {"cold", "probe_ms", APR_FIELD_DOUBLE, NUMBER(cold_probe_ms), 0, 60000,
     "ms", "250",
     "interval of health probes that tell whether a backend server is cold; "
     "0: none",
     0, 0},
    {"evacuation", "deadline_s", APR_FIELD_DOUBLE,
     NUMBER(evacuation_deadline_s), 0, 600, "s", "0",
     "time until an evacuated failure domain gets no more requests; 0: "
     "evacuation is not used",
     0, 0},
    {"limits", "memory_mb", APR_FIELD_DOUBLE, NUMBER(memory_mb), 16, 1e6, "MB",
     "256", "memory that this process may use", 0, 0},
    {"limits", "descriptors", APR_FIELD_DOUBLE, NUMBER(descriptors), 64, 1e6,
     "descriptors", "4096", "descriptors that this process may open", 0, 0},
    {"balancing", "mode", APR_FIELD_NAME, TEXT(balancing), 2, 4, CHARACTERS,
     "auto", "on, off or auto: whether learned costs decide on placement", 0,
     0},
    {"log", "level", APR_FIELD_LEVEL, TEXT(log_level), 1, 8, CHARACTERS,
     "info", "error, warn, info or debug", 0, 0},
};

#define FIELD_COUNT ((int)(sizeof(fields) / sizeof(fields[0])))

static const char *const balancing_names[] = {"auto", "off", "on"};

/* Sets the mode that settings->balancing names. Returns APR_OK or
   APR_E_INVALID. */
static int
parse_balancing_mode(AprGatewaySettings_t *settings)
{
    for (size_t i = 0; i < G_N_ELEMENTS(balancing_names); i++) {
        if (strcmp(settings->balancing, balancing_names[i]) == 0) {
            settings->balancing_mode = (AprBalancingMode_t)i;
            return APR_OK;
        }
    }
    return APR_E_INVALID;
}

/* Reads and validates a settings file. Returns APR_OK, or APR_E_INVALID with
   the file, line, field and correction in one line of error->detail; the
   settings are then unchanged. */
int
AprGatewaySettings_Load(const char *path, AprGatewaySettings_t *settings,
                        AprError_t *error)
{
    AprSettingsFile_t load = {path, error, false};
    AprFieldLines_t lines;
    AprGatewaySettings_t loaded = {0};
    int result =
        AprSettingsFile_Read(&load, fields, FIELD_COUNT, &loaded, &lines);

    if (result == APR_OK && parse_balancing_mode(&loaded) != APR_OK) {
        return AprError_Set(error, APR_E_INVALID, APR_STEP_SETTINGS, path,
                            "%s: balancing.mode: choose on, off or auto",
                            path);
    }
    if (result == APR_OK) {
        *settings = loaded;
    }
    return result;
}

/* Returns the unit, range and default of each field, one per line. The caller
   frees the text with free(). */
char *
AprGatewaySettings_Describe(void)
{
    return AprFields_Describe(fields, FIELD_COUNT);
}
