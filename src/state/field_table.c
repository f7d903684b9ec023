#include "internal/field_table.h"

#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "apricot/log.h"

#define MESSAGE_SIZE 224
#define FULL_NAME_SIZE 64

/* Writes the name of a field with that of its table, for instance
   "listen.peers". */
void
AprField_FormatFullName(const AprField_t *field, char *name, size_t size)
{
    if (field->table == NULL) {
        snprintf(name, size, "%s", field->name);
    }
    else {
        snprintf(name, size, "%s.%s", field->table, field->name);
    }
}

static void
store_text(const AprField_t *field, const char *text, char *destination)
{
    if (field->kind == APR_FIELD_LEVEL) {
        AprLog_LevelFromName(text, (AprLogLevel_t *)(void *)destination);
        return;
    }
    g_strlcpy(destination, text, field->size);
}

static bool
is_numeric(const AprField_t *field)
{
    return field->kind == APR_FIELD_INT || field->kind == APR_FIELD_INT64 ||
           field->kind == APR_FIELD_DOUBLE;
}

static void
store_number(const AprField_t *field, int64_t integer, double number,
             char *destination)
{
    int narrow = (int)integer;

    switch (field->kind) {
    case APR_FIELD_INT:
        memcpy(destination, &narrow, sizeof(narrow));
        break;
    case APR_FIELD_INT64:
        memcpy(destination, &integer, sizeof(integer));
        break;
    default:
        memcpy(destination, &number, sizeof(number));
        break;
    }
}

/* Sets every field that has a default. The default of a list has at most one
   element; an empty text stands for an empty list. */
void
AprFields_SetDefaults(const AprField_t *fields, int count, void *target)
{
    for (int i = 0; i < count; i++) {
        const AprField_t *field = &fields[i];
        char *destination = (char *)target + field->offset;

        if (field->default_text == NULL || field->kind == APR_FIELD_TABLES) {
            continue;
        }
        if (is_numeric(field)) {
            store_number(field, strtoll(field->default_text, NULL, 10),
                         strtod(field->default_text, NULL), destination);
            continue;
        }
        store_text(field, field->default_text, destination);
        if (field->capacity > 0) {
            int element_count = field->default_text[0] != '\0';

            memcpy((char *)target + field->count_offset, &element_count,
                   sizeof(element_count));
        }
    }
}

static bool
read_text(const AprField_t *field, const AprTree_t *value, char *destination,
          char *message)
{
    if (value->type != APR_TREE_TEXT) {
        snprintf(message, MESSAGE_SIZE, "must be text in quotes");
        return false;
    }
    if (!AprField_CheckText(field, value->text, message, MESSAGE_SIZE)) {
        return false;
    }
    store_text(field, value->text, destination);
    return true;
}

static bool
read_number(const AprField_t *field, const AprTree_t *value, char *destination,
            char *message)
{
    bool integer_only = field->kind != APR_FIELD_DOUBLE;

    if (value->type != APR_TREE_INTEGER &&
        (integer_only || value->type != APR_TREE_NUMBER)) {
        snprintf(message, MESSAGE_SIZE, "must be a %snumber",
                 integer_only ? "whole " : "");
        return false;
    }
    /* The negated form rejects not-a-number as well. */
    if (!(value->number >= field->min && value->number <= field->max)) {
        snprintf(message, MESSAGE_SIZE, "is %g; use %g to %g%s%s",
                 value->number, field->min, field->max,
                 field->unit[0] == '\0' ? "" : " ", field->unit);
        return false;
    }
    store_number(field, value->integer, value->number, destination);
    return true;
}

static bool
read_list(const AprField_t *field, const AprTree_t *value, char *target,
          char *message)
{
    int element_count = 0;

    if (value->type != APR_TREE_ARRAY) {
        snprintf(message, MESSAGE_SIZE, "must be a list: [\"...\", \"...\"]");
        return false;
    }
    for (const AprTree_t *item = value->first; item != NULL;
         item = item->next) {
        char *destination =
            target + field->offset + (size_t)element_count * field->size;

        if (element_count == field->capacity) {
            snprintf(message, MESSAGE_SIZE,
                     "has too many elements; use at most %d",
                     (int)field->capacity);
            return false;
        }
        if (!read_text(field, item, destination, message)) {
            return false;
        }
        element_count++;
    }
    memcpy(target + field->count_offset, &element_count,
           sizeof(element_count));
    return true;
}

static bool
read_value(const AprField_t *field, const AprTree_t *value, char *target,
           char *message)
{
    if (field->kind == APR_FIELD_TABLES) {
        if (value->type != APR_TREE_ARRAY ||
            (value->first != NULL && value->first->type != APR_TREE_TABLE)) {
            snprintf(message, MESSAGE_SIZE, "must be written as [[%s]]",
                     field->name);
            return false;
        }
        return true;
    }
    if (field->capacity > 0) {
        return read_list(field, value, target, message);
    }
    if (is_numeric(field)) {
        return read_number(field, value, target + field->offset, message);
    }
    return read_text(field, value, target + field->offset, message);
}

static bool
is_same_table(const char *left, const char *right)
{
    return left == NULL || right == NULL ? left == right
                                         : strcmp(left, right) == 0;
}

static int
find_field(const AprFieldReader_t *reader, const char *table, const char *name)
{
    for (int i = 0; i < reader->count; i++) {
        if (is_same_table(reader->fields[i].table, table) &&
            strcmp(reader->fields[i].name, name) == 0) {
            return i;
        }
    }
    return -1;
}

static bool
is_table_name(const AprFieldReader_t *reader, const char *name)
{
    for (int i = 0; i < reader->count; i++) {
        if (reader->fields[i].table != NULL &&
            strcmp(reader->fields[i].table, name) == 0) {
            return true;
        }
    }
    return false;
}

/* The index of a field with this name in any table, or -1. It finds the right
   table for a field that is in the wrong one. */
static int
find_in_any_table(const AprFieldReader_t *reader, const char *name)
{
    for (int i = 0; i < reader->count; i++) {
        if (strcmp(reader->fields[i].name, name) == 0) {
            return i;
        }
    }
    return -1;
}

/* Writes the known name closest to `name`, with its table. At the top level
   the names of tables are candidates as well. */
static void
format_nearest_field(const AprFieldReader_t *reader, const char *table,
                     const char *name, char *nearest)
{
    const char *known[2 * APR_MAX_FIELDS];
    int exact = find_in_any_table(reader, name);
    int count = 0;

    if (exact >= 0) {
        AprField_FormatFullName(&reader->fields[exact], nearest,
                                FULL_NAME_SIZE);
        return;
    }
    for (int i = 0; i < reader->count; i++) {
        if (is_same_table(reader->fields[i].table, table)) {
            known[count++] = reader->fields[i].name;
        }
        else if (table == NULL) {
            known[count++] = reader->fields[i].table;
        }
    }
    snprintf(nearest, FULL_NAME_SIZE, "%s%s%s", table == NULL ? "" : table,
             table == NULL ? "" : ".",
             AprName_FindNearest(name, known, count));
}

static void
report_unknown(const AprFieldReader_t *reader, const char *table,
               const AprTree_t *value)
{
    char nearest[FULL_NAME_SIZE];
    char name[FULL_NAME_SIZE];
    char message[MESSAGE_SIZE];

    snprintf(name, sizeof(name), "%s%s%.40s", table == NULL ? "" : table,
             table == NULL ? "" : ".", value->key);
    format_nearest_field(reader, table, value->key, nearest);
    snprintf(message, sizeof(message),
             "is not a known field; the closest known one is \"%s\"", nearest);
    reader->report(reader->context, value->line, name, message);
}

static int read_table(const AprFieldReader_t *reader, const char *table,
                      const AprTree_t *tree, void *target,
                      AprFieldLines_t *lines);

static int
read_child(const AprFieldReader_t *reader, const char *table,
           const AprTree_t *value, void *target, AprFieldLines_t *lines)
{
    char name[FULL_NAME_SIZE];
    char message[MESSAGE_SIZE];
    int index = find_field(reader, table, value->key);

    if (index < 0 && table == NULL && value->type == APR_TREE_TABLE &&
        is_table_name(reader, value->key)) {
        return read_table(reader, value->key, value, target, lines);
    }
    if (index < 0) {
        if (reader->ignore_unknown) {
            return 0;
        }
        report_unknown(reader, table, value);
        return 1;
    }
    if (lines != NULL) {
        lines->line[index] = value->line > 0 ? value->line : 1;
    }
    if (read_value(&reader->fields[index], value, target, message)) {
        return 0;
    }
    AprField_FormatFullName(&reader->fields[index], name, sizeof(name));
    reader->report(reader->context, value->line, name, message);
    return 1;
}

static int
read_table(const AprFieldReader_t *reader, const char *table,
           const AprTree_t *tree, void *target, AprFieldLines_t *lines)
{
    int error_count = 0;

    for (const AprTree_t *value = tree->first; value != NULL;
         value = value->next) {
        error_count += read_child(reader, table, value, target, lines);
    }
    return error_count;
}

/* Reads the fields that the document sets into `target` and reports each
   error. Other fields keep their values. `lines`, which may be NULL, receives
   the line of each field that is set. Returns the number of errors. */
int
AprFields_Read(const AprFieldReader_t *reader, const AprTree_t *root,
               void *target, AprFieldLines_t *lines)
{
    if (lines != NULL) {
        memset(lines, 0, sizeof(*lines));
    }
    if (root->type != APR_TREE_TABLE) {
        reader->report(reader->context, root->line, "document",
                       "must be a table of fields");
        return 1;
    }
    return read_table(reader, NULL, root, target, lines);
}

/* Reports each required field that is not set; returns their number. */
int
AprFields_ReportMissing(const AprFieldReader_t *reader,
                        const AprFieldLines_t *lines)
{
    char name[FULL_NAME_SIZE];
    char message[MESSAGE_SIZE];
    int missing = 0;

    for (int i = 0; i < reader->count; i++) {
        const AprField_t *field = &reader->fields[i];

        if (field->default_text != NULL || lines->line[i] != 0) {
            continue;
        }
        AprField_FormatFullName(field, name, sizeof(name));
        snprintf(message, sizeof(message), "is missing; set it (%s)",
                 field->help);
        reader->report(reader->context, 1, name, message);
        missing++;
    }
    return missing;
}

/* Describes each field in one line with range, unit and default, for --help.
   The caller frees the text with free(). */
char *
AprFields_Describe(const AprField_t *fields, int count)
{
    GString *text = g_string_new(NULL);
    char *result;

    for (int i = 0; i < count; i++) {
        const AprField_t *field = &fields[i];
        char name[FULL_NAME_SIZE];

        AprField_FormatFullName(field, name, sizeof(name));
        g_string_append_printf(text, "%-22s %s", name, field->help);
        if (field->capacity > 0) {
            g_string_append_printf(text, "; list of up to %d",
                                   (int)field->capacity);
        }
        if (field->kind != APR_FIELD_TABLES) {
            g_string_append_printf(text, "; %g to %g %s", field->min,
                                   field->max, field->unit);
        }
        if (field->default_text == NULL) {
            g_string_append(text, "; required\n");
        }
        else {
            g_string_append_printf(
                text, "; default %s\n",
                field->default_text[0] == '\0' ? "none" : field->default_text);
        }
    }
    result = strdup(text->str);
    g_string_free(text, TRUE);
    return result;
}
