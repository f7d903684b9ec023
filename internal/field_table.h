#ifndef APRICOT_INTERNAL_FIELD_TABLE_H
#define APRICOT_INTERNAL_FIELD_TABLE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "internal/toml_tree.h"

typedef enum AprFieldKind_t {
    APR_FIELD_NAME,    /* letters, digits, '.', '_' and '-' */
    APR_FIELD_TEXT,    /* printable text */
    APR_FIELD_ADDRESS, /* IP:port */
    APR_FIELD_URL,     /* http:// or https:// */
    APR_FIELD_LEVEL,   /* AprLogLevel_t */
    APR_FIELD_INT,
    APR_FIELD_INT64,
    APR_FIELD_DOUBLE,
    APR_FIELD_TABLES /* array of tables; the caller reads it */
} AprFieldKind_t;

/* Describes one field of a settings or service file and its place in the
   struct that receives it. */
typedef struct AprField_t {
    const char *table; /* NULL: top level */
    const char *name;
    AprFieldKind_t kind;
    size_t offset;
    size_t size; /* of a text, or of one element of a list */
    double min;  /* of the value, or of the text's length */
    double max;
    const char *unit;
    const char *preset; /* default as text; NULL: required */
    const char *help;
    int64_t capacity; /* of a list; 0: not a list */
    size_t count_offset;
} AprField_t;

/* Receives each fault of a document. `field` includes the table's name. */
typedef void (*AprFieldReport_t)(void *context, int line, const char *field,
                                 const char *message);

typedef struct AprFieldReader_t {
    const AprField_t *fields;
    int count;
    bool ignore_unknown; /* for JSON of a newer release */
    AprFieldReport_t report;
    void *context;
} AprFieldReader_t;

#define APR_MAX_FIELDS 48

/* Lines at which the fields of one document were set; 0: not set. */
typedef struct AprFieldLines_t {
    int line[APR_MAX_FIELDS];
} AprFieldLines_t;

void AprFields_SetDefaults(const AprField_t *fields, int count, void *target);
/* Reads the fields that the document sets; returns the number of faults.
   `lines` may be NULL. */
int AprFields_Read(const AprFieldReader_t *reader, const AprTree_t *root,
                   void *target, AprFieldLines_t *lines);
/* Reports the required fields that were not set. */
int AprFields_RequireAll(const AprFieldReader_t *reader,
                         const AprFieldLines_t *lines);
void AprField_FullName(const AprField_t *field, char *name, size_t size);
char *AprFields_Describe(const AprField_t *fields, int count);

/* Checks one text; on a fault the message says what is expected. */
bool AprField_CheckText(const AprField_t *field, const char *text,
                        char *message, size_t size);
bool AprAddress_Valid(const char *text);
/* The known name with the smallest edit distance. */
const char *AprName_Nearest(const char *name, const char *const *known,
                            int count);

#endif
