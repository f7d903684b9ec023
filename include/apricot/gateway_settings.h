#ifndef APRICOT_GATEWAY_SETTINGS_H
#define APRICOT_GATEWAY_SETTINGS_H

#include "apricot/error.h"
#include "apricot/log.h"
#include "apricot/record.h"
#include "apricot/route_table.h"

/* When requests and keys are placed by learned costs and reported load. */
typedef enum AprBalancingMode_t {
    APR_BALANCING_AUTO, /* if the configuration declares uneven work */
    APR_BALANCING_OFF,
    APR_BALANCING_ON
} AprBalancingMode_t;

/* Settings of one apricot-gateway process. */
typedef struct AprGatewaySettings_t {
    char host[APR_NAME_SIZE];
    char failure_domain[APR_NAME_SIZE];
    double cpu_share; /* cores available to this process */
    double link_mbps; /* bandwidth of the host's network link */
    char listen_callers[APR_ADDRESS_SIZE];
    char listen_peers[APR_ADDRESS_SIZE];
    /* "": listen_peers is advertised */
    char advertise_peers[APR_ADDRESS_SIZE];
    char listen_control[APR_ADDRESS_SIZE];
    char listen_readiness[APR_ADDRESS_SIZE];
    char listen_metrics[APR_ADDRESS_SIZE];
    char backend_service[APR_ROUTE_NAME_SIZE];
    char backend_address[APR_ADDRESS_SIZE];
    double heartbeat_s; /* heartbeat interval of the backend server */
    char store_address[APR_ADDRESS_SIZE];
    char store_prefix[APR_NAME_SIZE];
    /* Within this time a change of the configuration must be in force. */
    double config_deadline_s;
    double hold_max_s; /* longest grant that the backend server accepts */
    double drain_s;    /* from a leave until no request may start */
    /* From the stop signal to the process exit, at most. */
    double stop_grace_s;
    double retry_ratio; /* retries per request, over all hosts */
    double retry_extra; /* additional retries per window, over all hosts */
    /* A cold backend server gets at most its configured requests a second,
       times cold_over, plus cold_slack, in any second. */
    double cold_over;
    double cold_slack;
    double cold_probe_ms; /* interval of health probes; 0: none */
    /* Time until an evacuated failure domain gets no more requests; 0:
       evacuation is not used. */
    double evacuation_deadline_s;
    double memory_mb;   /* that this process may use */
    double descriptors; /* that this process may open */
    char balancing[16]; /* name of the mode */
    AprBalancingMode_t balancing_mode;
    AprLogLevel_t log_level;
} AprGatewaySettings_t;

int AprGatewaySettings_Load(const char *path, AprGatewaySettings_t *settings,
                            AprError_t *error);
char *AprGatewaySettings_Describe(void);

#endif
