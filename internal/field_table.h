#ifndef APRICOT_INTERNAL_FIELD_TABLE_H
#define APRICOT_INTERNAL_FIELD_TABLE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "internal/config_tree.h"

typedef enum AprFieldKind_t {
    APR_FIELD_NAME,    /* letters, digits, '.', '_' and '-' */
    APR_FIELD_TEXT,    /* printable text */
    APR_FIELD_ADDRESS, /* IP:port */
    APR_FIELD_URL,     /* http:// or https:// */
    APR_FIELD_LEVEL,   /* name of an AprLogLevel_t */
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
    size_t size; /* bytes of a text or of one element of a list */
    double min;  /* of the value, or of the length of a text */
    double max;
    const char *unit;
    const char *default_text; /* NULL for a required field */
    const char *help;
    int64_t capacity;    /* elements of a list; 0 if not a list */
    size_t count_offset; /* of the element count of a list */
} AprField_t;

/* Receives each error of a document. `field` includes its table's name. */
typedef void (*AprFieldReport_t)(void *context, int line, const char *field,
                                 const char *message);

typedef struct AprFieldReader_t {
    const AprField_t *fields;
    int count;
    bool ignore_unknown; /* for JSON from a newer release */
    AprFieldReport_t report;
    void *context;
} AprFieldReader_t;

#define APR_MAX_FIELDS 48

/* Line at which each field of a document is set, by field index; 0 for a field
   that is not set. */
typedef struct AprFieldLines_t {
    int line[APR_MAX_FIELDS];
} AprFieldLines_t;

void AprFields_SetDefaults(const AprField_t *fields, int count, void *target);
/* Reads the fields that the document sets; returns the number of errors.
   `lines` may be NULL. */
int AprFields_Read(const AprFieldReader_t *reader, const AprTree_t *root,
                   void *target, AprFieldLines_t *lines);
/* Reports each required field that is not set; returns their number. */
int AprFields_ReportMissing(const AprFieldReader_t *reader,
                            const AprFieldLines_t *lines);
void AprField_FormatFullName(const AprField_t *field, char *name, size_t size);
char *AprFields_Describe(const AprField_t *fields, int count);

/* Checks a text; if it is invalid, the message says what is expected. */
bool AprField_CheckText(const AprField_t *field, const char *text,
                        char *message, size_t size);
bool AprAddress_IsValid(const char *text);
/* Returns the known name with the smallest edit distance. */
const char *AprName_FindNearest(const char *name, const char *const *known,
                                int count);
int AprName_Distance(const char *left, const char *right);

#endif
