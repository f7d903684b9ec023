#ifndef APRICOT_INTERNAL_TOML_TREE_H
#define APRICOT_INTERNAL_TOML_TREE_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

#include "apricot/error.h"

typedef enum AprTreeType_t {
    APR_TREE_TABLE,
    APR_TREE_ARRAY,
    APR_TREE_TEXT,
    APR_TREE_INTEGER,
    APR_TREE_NUMBER,
    APR_TREE_OTHER /* boolean, date, time, or text with a NUL inside */
} AprTreeType_t;

/* A parsed TOML or JSON document. Children of a table have a key. */
typedef struct AprTree_t {
    AprTreeType_t type;
    int line; /* 0 when the source has no lines */
    char *key;
    char *text;
    int64_t integer;
    double number; /* also set for integers */
    struct AprTree_t *first;
    struct AprTree_t *last;
    struct AprTree_t *next;
} AprTree_t;

AprTree_t *AprTree_New(AprTreeType_t type, const char *key, int line);
void AprTree_Append(AprTree_t *parent, AprTree_t *child);
void AprTree_Free(AprTree_t *tree);
const AprTree_t *AprTree_Find(const AprTree_t *table, const char *key);
AprTree_t *AprTree_FromJson(const json_t *value, const char *key);
/* *line is that of the syntax error, 0 when the file cannot be read. */
int AprTree_ReadToml(const char *path, AprTree_t **tree, int *line,
                     AprError_t *error);

#ifdef __cplusplus
}
#endif

#endif
