#ifndef APRICOT_SERVICE_CONFIG_H
#define APRICOT_SERVICE_CONFIG_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "apricot/error.h"
#include "apricot/rank_queue.h"
#include "apricot/record.h"

#define APR_MAX_PATTERNS 32
#define APR_MAX_IDEMPOTENT 32
#define APR_MAX_PROBLEMS 64

typedef struct AprRankConfig_t {
    char name[APR_NAME_SIZE];
    AprRankSpec_t spec;
} AprRankConfig_t;

/* Configuration of one service, merged from its operators' files. */
typedef struct AprServiceConfig_t {
    char service[APR_NAME_SIZE];
    uint64_t generation; /* at which it was accepted; 0 if not published */
    char published_by[APR_NAME_SIZE * 2]; /* user@host */
    int64_t published_at_ms;
    int pattern_count;
    char patterns[APR_MAX_PATTERNS][APR_NAME_SIZE * 2];
    int idempotent_count;
    char idempotent[APR_MAX_IDEMPOTENT][APR_NAME_SIZE];
    int rank_count;
    AprRankConfig_t ranks[APR_MAX_RANKS]; /* most urgent first */
    double move_cost;
    int ramp_s;
    double caller_rate;
    double service_rate;
    int queue;
    int body_bytes;
    double hot_share; /* of its host's requests above which a key is hot */
} AprServiceConfig_t;

/* One problem in a service file. */
typedef struct AprProblem_t {
    char file[256];
    int line;
    char field[APR_NAME_SIZE];
    char message[256]; /* what is wrong and how to correct it */
} AprProblem_t;

typedef struct AprProblems_t {
    int count;
    AprProblem_t items[APR_MAX_PROBLEMS];
} AprProblems_t;

/* Reads all *.toml files of a directory and merges them per service. Returns
   the number of services, APR_E_INVALID when there are problems, or another
   error code. The caller frees *configs with free(). */
int AprServiceConfig_LoadDirectory(const char *directory,
                                   AprServiceConfig_t **configs,
                                   AprProblems_t *problems, AprError_t *error);
/* Does the same as AprServiceConfig_LoadDirectory for several directories.
   Files of one service may be in different directories. */
int AprServiceConfig_LoadDirectories(const char *const *directories, int count,
                                     AprServiceConfig_t **configs,
                                     AprProblems_t *problems,
                                     AprError_t *error);
char *AprServiceConfig_ToJson(const AprServiceConfig_t *config);
int AprServiceConfig_FromJson(const char *text, size_t size,
                              AprServiceConfig_t *config, AprError_t *error);
bool AprServiceConfig_MatchesKey(const AprServiceConfig_t *config,
                                 const char *key);
bool AprServiceConfig_IsIdempotent(const AprServiceConfig_t *config,
                                   const char *operation);
/* The index of a rank, or APR_E_NOT_FOUND. An empty name stands for the least
   urgent rank. */
int AprServiceConfig_FindRank(const AprServiceConfig_t *config,
                              const char *name);

#endif
