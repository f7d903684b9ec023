#ifndef APRICOT_INTERNAL_CONFIG_TREE_H
#define APRICOT_INTERNAL_CONFIG_TREE_H

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
    APR_TREE_OTHER /* boolean, date, time, null, or text that contains a NUL */
} AprTreeType_t;

/* A node of a parsed TOML or JSON document; the root stands for the whole
   document. A node owns its key, its text and its children. */
typedef struct AprTree_t {
    AprTreeType_t type;
    int line;   /* 0 when the source has no lines */
    char *key;  /* NULL unless the parent is a table */
    char *text; /* of a TEXT node */
    int64_t integer;
    double number;           /* also set for integers */
    struct AprTree_t *first; /* first child */
    struct AprTree_t *last;  /* last child */
    struct AprTree_t *next;  /* next sibling */
} AprTree_t;

AprTree_t *AprTree_New(AprTreeType_t type, const char *key, int line);
void AprTree_Append(AprTree_t *parent, AprTree_t *child);
void AprTree_Free(AprTree_t *tree);
const AprTree_t *AprTree_Find(const AprTree_t *table, const char *key);
AprTree_t *AprTree_FromJson(const json_t *value, const char *key);
/* Sets *line to the line of a syntax error, or to 0 when the file cannot be
   read. */
int AprTree_ReadToml(const char *path, AprTree_t **tree, int *line,
                     AprError_t *error);

#ifdef __cplusplus
}
#endif

#endif
