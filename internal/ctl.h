#ifndef APRICOT_INTERNAL_CTL_H
#define APRICOT_INTERNAL_CTL_H

#include <glib.h>
#include <jansson.h>
#include <stdio.h>

#include "apricot/service_config.h"
#include "apricot/store.h"

/* Exit codes of apricotctl. */
enum {
    APR_CTL_OK = 0,
    APR_CTL_FAILED = 1,
    APR_CTL_INVALID = 2, /* invalid input or usage */
    APR_CTL_CONFLICT = 3,
    APR_CTL_UNAVAILABLE = 4
};

/* One invocation of apricotctl. */
typedef struct AprCtl_t {
    FILE *out;
    FILE *err;
    int argument_count;
    char **arguments; /* positional, after the verb */
    gboolean json;
    gboolean confirm_dead;
    gint64 based_on;
    char *admin;  /* IP:port */
    char *token;  /* may be NULL */
    char *store;  /* URLs separated by commas */
    char *prefix; /* of the store's keys */
} AprCtl_t;

int AprCtl_Run(int argc, char **argv, FILE *out, FILE *err);

/* Reports a failure and returns the exit code. */
int AprCtl_Fail(const AprCtl_t *ctl, int exit_code, const char *format, ...)
    __attribute__((format(printf, 3, 4)));
/* Prints a JSON value on one line and releases it. */
void AprCtl_PrintJson(const AprCtl_t *ctl, json_t *value);
int AprCtl_ExitOf(int error_code);
void AprCtl_FormatTime(int64_t wall_ms, char *text, size_t size);

/* Text and integer members of an answer; "" and 0 when absent. */
const char *AprCtl_Text(const json_t *object, const char *name);
json_int_t AprCtl_Integer(const json_t *object, const char *name);

/* Calls to the admin interface. On APR_CTL_OK *answer is the caller's
   reference; otherwise the failure has been reported. */
int AprCtl_Get(const AprCtl_t *ctl, const char *address, const char *path,
               json_t **answer);
int AprCtl_Post(const AprCtl_t *ctl, const char *address, const char *path,
                json_t **answer);
int AprCtl_RequireAdmin(const AprCtl_t *ctl);
/* Admin address of a host, from GET /status. */
int AprCtl_FindHost(const AprCtl_t *ctl, const char *host, char *address,
                    size_t size);
/* Joins "path?name=value&..." with escaped values; ends with NULL. */
char *AprCtl_Path(const char *path, const char *name, ...)
    __attribute__((sentinel));

int AprCtl_LoadServices(const AprCtl_t *ctl, AprServiceConfig_t **configs,
                        int *count);
int AprCtl_OpenStore(const AprCtl_t *ctl, AprStore_t *store);

/* Verbs. */
int AprCtl_Check(AprCtl_t *ctl);
int AprCtl_Publish(AprCtl_t *ctl);
int AprCtl_Config(AprCtl_t *ctl);
int AprCtl_Status(AprCtl_t *ctl);
int AprCtl_Where(AprCtl_t *ctl);
int AprCtl_Dump(AprCtl_t *ctl);
int AprCtl_Drain(AprCtl_t *ctl);
int AprCtl_Undrain(AprCtl_t *ctl);
int AprCtl_Move(AprCtl_t *ctl);
int AprCtl_RemoveHost(AprCtl_t *ctl);

#endif
