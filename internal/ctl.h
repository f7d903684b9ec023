#ifndef APRICOT_INTERNAL_CTL_H
#define APRICOT_INTERNAL_CTL_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdio.h>

#include "apricot/error.h"
#include "apricot/service_config.h"
#include "apricot/store.h"

/* Exit codes of apricotctl. */
enum {
    APR_CTL_OK = 0,
    APR_CTL_FAILED = 1,
    APR_CTL_INVALID = 2, /* invalid input or usage */
    APR_CTL_CONFLICT = 3,
    /* The store or process did not respond; a command may be in effect. */
    APR_CTL_UNAVAILABLE = 4
};

/* A configuration to check and, if `compares`, an older one; `old_text` is
   NULL if there is no older one. */
typedef struct AprCtlConfigInput_t {
    const char *file; /* for the findings */
    const char *text;
    size_t size;
    bool compares;
    const char *old_text;
    size_t old_size;
} AprCtlConfigInput_t;

/* What apricotctl knows of the users' platform, set by the program's main. */
typedef struct AprCtlPlatform_t {
    /* Path and query that return the item with the configuration in force. */
    const char *config_path;
    /* Returns the configuration in an item, freed with g_free(); NULL if the
       text is not an item. */
    char *(*decode_config_item)(const char *text, size_t size,
                                size_t *config_size);
    /* Appends findings (file, line, field, severity, message) and differences
       (kind, name, field, old, new). Fails if the older configuration cannot
       be compared; the findings are complete all the same. */
    int (*check_config)(const AprCtlConfigInput_t *input, json_t *findings,
                        json_t *differences, AprError_t *error);
} AprCtlPlatform_t;

/* Output streams, arguments and options of one apricotctl command. */
typedef struct AprCtl_t {
    FILE *out;
    FILE *err;
    int argument_count;
    char **arguments; /* positional, without the verb; borrowed */
    gboolean print_json;
    gboolean confirm_dead;
    gint64 based_on_generation; /* --based-on; 0: not given */
    char *admin_address;        /* IP:port; NULL: not set */
    char *admin_token;          /* bearer token; NULL: send none */
    char *store_urls;           /* separated by commas; NULL: not set */
    char *key_prefix;           /* start of every key in the store */
    char *against;              /* file, "store" or NULL: not compared */
    const AprCtlPlatform_t *platform;
} AprCtl_t;

int AprCtl_Run(int argc, char **argv, FILE *out, FILE *err,
               const AprCtlPlatform_t *platform);

/* Prints an error message and returns exit_code. */
int AprCtl_Fail(const AprCtl_t *ctl, int exit_code, const char *format, ...)
    __attribute__((format(printf, 3, 4)));
/* Prints a JSON value on one line and drops the reference to it. */
void AprCtl_PrintJson(const AprCtl_t *ctl, json_t *value);
int AprCtl_ErrorToExitCode(int error_code);
void AprCtl_FormatTime(int64_t wall_ms, char *text, size_t size);

/* Read a member of a JSON object; "" or 0 when it is absent or of another
   type. */
const char *AprCtl_GetText(const json_t *object, const char *name);
json_int_t AprCtl_GetInteger(const json_t *object, const char *name);

/* Send a request to the admin interface at address. On APR_CTL_OK the caller
   owns a reference to *response. On an error the message has been printed and
   *response is NULL. */
int AprCtl_HttpGet(const AprCtl_t *ctl, const char *address, const char *path,
                   json_t **response);
int AprCtl_HttpPost(const AprCtl_t *ctl, const char *address, const char *path,
                    json_t **response);
/* Sends a GET to a URL without the token. Returns NULL if there was a
   response, else the reason. */
const char *AprCtl_FetchUrl(const char *url, GString *body, long *status);
int AprCtl_RequireAdminAddress(const AprCtl_t *ctl);
/* Reads the admin address of a host from GET /status. */
int AprCtl_FindAdminAddress(const AprCtl_t *ctl, const char *host,
                            char *address, size_t size);
/* Formats "path?name=value&..." from pairs of name and value, ended by NULL.
   The values are escaped. The result is freed with g_free. */
char *AprCtl_FormatPath(const char *path, const char *name, ...)
    __attribute__((sentinel));

int AprCtl_LoadServices(const AprCtl_t *ctl, AprServiceConfig_t **configs,
                        int *count);
int AprCtl_OpenStore(const AprCtl_t *ctl, AprStore_t *store);

/* One function for each verb; returns an exit code. */
int AprCtl_RunCheck(AprCtl_t *ctl);
int AprCtl_RunPublish(AprCtl_t *ctl);
int AprCtl_RunConfig(AprCtl_t *ctl);
int AprCtl_RunConfigCheck(AprCtl_t *ctl);
int AprCtl_RunStatus(AprCtl_t *ctl);
int AprCtl_RunWhere(AprCtl_t *ctl);
int AprCtl_RunDump(AprCtl_t *ctl);
int AprCtl_RunDrain(AprCtl_t *ctl);
int AprCtl_RunUndrain(AprCtl_t *ctl);
int AprCtl_RunMove(AprCtl_t *ctl);
int AprCtl_RunRemoveHost(AprCtl_t *ctl);

#endif
