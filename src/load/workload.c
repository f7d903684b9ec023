#include "internal/workload.h"

#include <errno.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#define RANK_FIELDS 4
#define MAX_TIMEOUT_MS 600000
#define MAX_KEYS 10000000
#define MAX_CONNECTIONS 20000

/* Sets an APR_E_INVALID error with the text: problem: "quoted". quoted is the
   rejected text, empty where the option has none, or what is valid where the
   problem ends in "write" or "valid values". */
static int
set_value_error(AprError_t *error, const char *problem, const char *quoted)
{
    return AprError_Set(error, APR_E_INVALID, APR_STEP_SETTINGS, NULL,
                        "%s: \"%s\"", problem, quoted);
}

/* Returns false for an empty name and for one that does not fit. */
static bool
copy_nonempty_name(char name[APR_LOAD_NAME_SIZE], const char *text)
{
    return text[0] != '\0' &&
           g_strlcpy(name, text, APR_LOAD_NAME_SIZE) < APR_LOAD_NAME_SIZE;
}

static bool
parse_number(const char *text, double *value)
{
    char *end;

    errno = 0;
    *value = g_ascii_strtod(text, &end);
    return end != text && *end == '\0' && errno == 0 && isfinite(*value);
}

/* Checks only the port and that there is text before it. */
static bool
is_host_and_port(const char *text)
{
    const char *colon = strrchr(text, ':');
    double port;

    return colon != NULL && colon != text && parse_number(colon + 1, &port) &&
           port >= 1 && port <= UINT16_MAX && port == floor(port);
}

/* Parses "IP:port,IP:port,..." into the targets of a workload. Returns
   APR_E_INVALID for malformed text. */
int
AprWorkload_ParseTargets(AprWorkload_t *workload, const char *text,
                         AprError_t *error)
{
    char **parts = g_strsplit(text, ",", -1);
    int code = APR_OK;

    workload->target_count = 0;
    for (int i = 0; parts[i] != NULL && code == APR_OK; i++) {
        if (i == APR_LOAD_MAX_TARGETS) {
            code = set_value_error(
                error, "--targets has more than 64 addresses", text);
        }
        else if (!is_host_and_port(parts[i]) ||
                 !copy_nonempty_name(workload->targets[i], parts[i])) {
            code = set_value_error(error, "--targets: address is not IP:port",
                                   parts[i]);
        }
        else {
            workload->target_count++;
        }
    }
    if (code == APR_OK && workload->target_count == 0) {
        code = set_value_error(
            error, "--targets has no address; write IP:port,IP:port,...",
            text);
    }
    g_strfreev(parts);
    return code;
}

static int
parse_rank(const char *text, AprLoadRank_t *rank, AprError_t *error)
{
    char **fields = g_strsplit(text, ":", -1);
    double timeout_ms;
    int code = APR_OK;

    if (g_strv_length(fields) != RANK_FIELDS) {
        code = set_value_error(
            error, "--ranks: rank is not name:share:timeout_ms:operation",
            text);
    }
    else if (!copy_nonempty_name(rank->name, fields[0]) ||
             !copy_nonempty_name(rank->operation, fields[3])) {
        code = set_value_error(
            error, "--ranks: name and operation must have 1 to 63 bytes",
            text);
    }
    else if (!parse_number(fields[1], &rank->share) || rank->share <= 0) {
        code = set_value_error(error, "--ranks: share is not a number above 0",
                               text);
    }
    else if (!parse_number(fields[2], &timeout_ms) || timeout_ms < 1 ||
             timeout_ms > MAX_TIMEOUT_MS) {
        code = set_value_error(
            error, "--ranks: timeout_ms is not a number from 1 to 600000",
            text);
    }
    else {
        rank->timeout_ms = (int)timeout_ms;
    }
    g_strfreev(fields);
    return code;
}

static void
normalize_shares(AprWorkload_t *workload)
{
    double sum = 0;

    for (int i = 0; i < workload->rank_count; i++) {
        sum += workload->ranks[i].share;
    }
    for (int i = 0; i < workload->rank_count; i++) {
        workload->ranks[i].share /= sum;
    }
}

/* Parses "name:share:timeout_ms:operation,..." into the ranks of a workload.
   Shares may have any sum and are scaled to 1. Returns APR_E_INVALID for
   malformed text. */
int
AprWorkload_ParseRanks(AprWorkload_t *workload, const char *text,
                       AprError_t *error)
{
    char **parts = g_strsplit(text, ",", -1);
    int code = APR_OK;

    workload->rank_count = 0;
    for (int i = 0; parts[i] != NULL && code == APR_OK; i++) {
        if (i == APR_MAX_RANKS) {
            code =
                set_value_error(error, "--ranks has more than 8 ranks", text);
        }
        else {
            code = parse_rank(parts[i], &workload->ranks[i], error);
            workload->rank_count++;
        }
    }
    if (code == APR_OK && workload->rank_count == 0) {
        code = set_value_error(
            error,
            "--ranks has no rank; write name:share:timeout_ms:operation,...",
            text);
    }
    if (code == APR_OK) {
        normalize_shares(workload);
    }
    g_strfreev(parts);
    return code;
}

/* Checks that the service is set and that the numbers are in range. Returns
   APR_E_INVALID otherwise. */
int
AprWorkload_Validate(const AprWorkload_t *workload, AprError_t *error)
{
    if (workload->service == NULL || workload->service[0] == '\0') {
        return set_value_error(error, "--service is missing; write",
                               "--service NAME");
    }
    if (!(workload->rate_per_s > 0) || !(workload->duration_s > 0)) {
        return set_value_error(
            error, "--rate or --duration-s is out of range; valid values",
            "above 0");
    }
    if (workload->key_count < 1 || workload->key_count > MAX_KEYS) {
        return set_value_error(error, "--keys is out of range; valid values",
                               "1 to 10000000");
    }
    if (!(workload->skew >= 0)) {
        return set_value_error(error, "--skew is out of range; valid values",
                               "0 and above");
    }
    if (workload->connections < 1 || workload->connections > MAX_CONNECTIONS) {
        return set_value_error(error,
                               "--connections is out of range; valid values",
                               "1 to 20000");
    }
    return APR_OK;
}
