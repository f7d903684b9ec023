#ifndef APRICOT_INTERNAL_JSON_LINES_H
#define APRICOT_INTERNAL_JSON_LINES_H

#include <glib.h>
#include <stddef.h>

/* Lines of the values of a JSON document by path, for instance
   "routes[2].prefix". The JSON library keeps no lines after parsing. */
typedef struct AprJsonLines_t {
    GHashTable *lines;     /* path -> line */
    GPtrArray *duplicates; /* paths of members that an object has repeatedly */
} AprJsonLines_t;

AprJsonLines_t *AprJsonLines_New(const char *text, size_t size);
void AprJsonLines_Free(AprJsonLines_t *lines);
int AprJsonLines_Find(const AprJsonLines_t *lines, const char *path);

#endif
