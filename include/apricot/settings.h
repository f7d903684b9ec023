#ifndef APRICOT_SETTINGS_H
#define APRICOT_SETTINGS_H

#include "apricot/error.h"
#include "apricot/log.h"
#include "apricot/record.h"

#define APR_MAX_ENDPOINTS 8
#define APR_MAX_SEEDS 8
#define APR_SECRET_SIZE 128
#define APR_PATH_SIZE 256

/* Settings of one apricotd process. */
typedef struct AprSettings_t {
    char host[APR_NAME_SIZE];
    char cell[APR_NAME_SIZE];
    char failure_domain[APR_NAME_SIZE];
    char region[APR_NAME_SIZE];
    char listen_callers[APR_ADDRESS_SIZE]; /* IP:port */
    char listen_peers[APR_ADDRESS_SIZE];
    char listen_admin[APR_ADDRESS_SIZE];
    char advertise_callers[APR_ADDRESS_SIZE];
    char advertise_peers[APR_ADDRESS_SIZE];
    char advertise_admin[APR_ADDRESS_SIZE];
    int endpoint_count;
    char endpoints[APR_MAX_ENDPOINTS][APR_PATH_SIZE]; /* URLs */
    char store_prefix[APR_NAME_SIZE];                 /* "/apricot" */
    int store_timeout_ms;
    char peer_key[APR_SECRET_SIZE];
    char admin_token[APR_SECRET_SIZE];
    char caller_token[APR_SECRET_SIZE];
    int backend_slots;
    int backend_connections;
    int backend_timeout_ms;
    AprLogLevel_t log_level;
    char log_file[APR_PATH_SIZE]; /* empty for standard error */
    int lease_renew_ms;
    int lease_promise_ms;
    int seed_count;
    char seeds[APR_MAX_SEEDS][APR_ADDRESS_SIZE];
} AprSettings_t;

/* Reads and validates a settings file. On failure the error gives file, line,
   field and remedy in one line. */
int AprSettings_Load(const char *path, AprSettings_t *settings,
                     AprError_t *error);
/* Returns the unit, range and default of every field, for --help. */
char *AprSettings_DescribeFields(void);

#endif
