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

static int
fail(AprError_t *error, const char *what, const char *value)
{
    return AprError_Set(error, APR_E_INVALID, APR_STEP_SETTINGS, NULL,
                        "%s: \"%s\"", what, value);
}

static bool
copy_name(char name[APR_LOAD_NAME_SIZE], const char *text)
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

static bool
is_address(const char *text)
{
    const char *colon = strrchr(text, ':');
    double port;

    return colon != NULL && colon != text && parse_number(colon + 1, &port) &&
           port >= 1 && port <= UINT16_MAX && port == floor(port);
}

/* Reads "IP:port,IP:port,...". */
int
AprWorkload_SetTargets(AprWorkload_t *workload, const char *text,
                       AprError_t *error)
{
    char **parts = g_strsplit(text, ",", -1);
    int code = APR_OK;

    workload->target_count = 0;
    for (int i = 0; parts[i] != NULL && code == APR_OK; i++) {
        if (i == APR_LOAD_MAX_TARGETS) {
            code = fail(error, "more than 64 targets", text);
        }
        else if (!is_address(parts[i]) ||
                 !copy_name(workload->targets[i], parts[i])) {
            code = fail(error, "target is not IP:port", parts[i]);
        }
        else {
            workload->target_count++;
        }
    }
    if (code == APR_OK && workload->target_count == 0) {
        code = fail(error, "no target", text);
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
        code =
            fail(error, "rank is not name:share:timeout_ms:operation", text);
    }
    else if (!copy_name(rank->name, fields[0]) ||
             !copy_name(rank->operation, fields[3])) {
        code = fail(error, "name or operation is empty or too long", text);
    }
    else if (!parse_number(fields[1], &rank->share) || rank->share <= 0) {
        code = fail(error, "share is not a number above 0", text);
    }
    else if (!parse_number(fields[2], &timeout_ms) || timeout_ms < 1 ||
             timeout_ms > MAX_TIMEOUT_MS) {
        code = fail(error, "timeout_ms is not within 1..600000", text);
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

/* Reads "name:share:timeout_ms:operation,...". Shares may have any sum. */
int
AprWorkload_SetRanks(AprWorkload_t *workload, const char *text,
                     AprError_t *error)
{
    char **parts = g_strsplit(text, ",", -1);
    int code = APR_OK;

    workload->rank_count = 0;
    for (int i = 0; parts[i] != NULL && code == APR_OK; i++) {
        if (i == APR_MAX_RANKS) {
            code = fail(error, "more than 8 ranks", text);
        }
        else {
            code = parse_rank(parts[i], &workload->ranks[i], error);
            workload->rank_count++;
        }
    }
    if (code == APR_OK && workload->rank_count == 0) {
        code = fail(error, "no rank", text);
    }
    if (code == APR_OK) {
        normalize_shares(workload);
    }
    g_strfreev(parts);
    return code;
}

/* Checks the ranges of the numbers of a workload. */
int
AprWorkload_Check(const AprWorkload_t *workload, AprError_t *error)
{
    if (workload->service == NULL || workload->service[0] == '\0') {
        return fail(error, "service is missing", "");
    }
    if (!(workload->rate > 0) || !(workload->duration_s > 0)) {
        return fail(error, "rate and duration must be above 0", "");
    }
    if (workload->keys < 1 || workload->keys > MAX_KEYS) {
        return fail(error, "keys is not within 1..10000000", "");
    }
    if (!(workload->skew >= 0)) {
        return fail(error, "skew must not be negative", "");
    }
    if (workload->connections < 1 || workload->connections > MAX_CONNECTIONS) {
        return fail(error, "connections is not within 1..20000", "");
    }
    return APR_OK;
}
