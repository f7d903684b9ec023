#include "internal/json_lines.h"

#include <jansson.h>
#include <string.h>

/* Values at a greater depth have no line of their own. It bounds the recursion
   and the length of the paths for any document. */
#define MAX_DEPTH 8

/* Position in a document that the JSON library has accepted. */
typedef struct Scanner_t {
    const char *next;
    const char *end;
    int line;
    GString *path;
    AprJsonLines_t *result;
} Scanner_t;

static void scan_value(Scanner_t *scanner, int depth);

/* Moves to the next character that is not white space and returns it; 0 at the
   end. */
static char
skip_space(Scanner_t *scanner)
{
    while (scanner->next < scanner->end &&
           strchr(" \t\r\n", *scanner->next) != NULL) {
        scanner->line += *scanner->next == '\n';
        scanner->next++;
    }
    return scanner->next < scanner->end ? *scanner->next : '\0';
}

/* Moves behind the string that starts here. Valid JSON has no line break
   inside a string. */
static void
skip_string(Scanner_t *scanner)
{
    scanner->next++;
    while (scanner->next < scanner->end && *scanner->next != '"') {
        scanner->next += *scanner->next == '\\' ? 2 : 1;
    }
    scanner->next++;
}

/* Moves behind the value that starts here, without recursion. */
static void
skip_value(Scanner_t *scanner)
{
    int open_count = 0;

    do {
        char first = skip_space(scanner);

        if (first == '"') {
            skip_string(scanner);
            continue;
        }
        open_count += first == '{' || first == '[';
        open_count -= first == '}' || first == ']';
        scanner->next++;
        /* A number or literal ends before the next separator. */
        while (strchr("{}[],:", first) == NULL &&
               scanner->next < scanner->end &&
               strchr("{}[],: \t\r\n", *scanner->next) == NULL) {
            scanner->next++;
        }
    } while (open_count > 0 && scanner->next < scanner->end);
}

static void
record_line(Scanner_t *scanner)
{
    g_hash_table_insert(scanner->result->lines, g_strdup(scanner->path->str),
                        GINT_TO_POINTER(scanner->line));
}

/* Appends the member name that starts here to the path, decoded as the JSON
   library does, and moves behind it. */
static void
append_name(Scanner_t *scanner)
{
    const char *start = scanner->next;
    json_t *name;

    skip_string(scanner);
    name = json_loadb(start, (size_t)(scanner->next - start), JSON_DECODE_ANY,
                      NULL);
    if (scanner->path->len > 0) {
        g_string_append_c(scanner->path, '.');
    }
    g_string_append(scanner->path,
                    name == NULL ? "" : json_string_value(name));
    json_decref(name);
}

static void
scan_object(Scanner_t *scanner, int depth)
{
    size_t parent_size = scanner->path->len;
    GHashTable *paths =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);

    scanner->next++;
    while (skip_space(scanner) == '"') {
        append_name(scanner);
        record_line(scanner);
        if (!g_hash_table_add(paths, g_strdup(scanner->path->str))) {
            g_ptr_array_add(scanner->result->duplicates,
                            g_strdup(scanner->path->str));
        }
        skip_space(scanner);
        scanner->next++; /* the colon */
        scan_value(scanner, depth + 1);
        g_string_truncate(scanner->path, parent_size);
        if (skip_space(scanner) == ',') {
            scanner->next++;
        }
    }
    scanner->next++;
    g_hash_table_destroy(paths);
}

static void
scan_array(Scanner_t *scanner, int depth)
{
    size_t parent_size = scanner->path->len;
    int index = 0;
    char first;

    scanner->next++;
    while ((first = skip_space(scanner)) != ']' && first != '\0') {
        g_string_append_printf(scanner->path, "[%d]", index++);
        record_line(scanner);
        scan_value(scanner, depth + 1);
        g_string_truncate(scanner->path, parent_size);
        if (skip_space(scanner) == ',') {
            scanner->next++;
        }
    }
    scanner->next++;
}

static void
scan_value(Scanner_t *scanner, int depth)
{
    char first = skip_space(scanner);

    if (depth < MAX_DEPTH && first == '{') {
        scan_object(scanner, depth);
    }
    else if (depth < MAX_DEPTH && first == '[') {
        scan_array(scanner, depth);
    }
    else {
        skip_value(scanner);
    }
}

/* Scans a document that the JSON library has accepted. If an object has a
   member repeatedly, the line is that of the last one, which the library
   uses. */
AprJsonLines_t *
AprJsonLines_New(const char *text, size_t size)
{
    AprJsonLines_t *lines = g_new0(AprJsonLines_t, 1);
    Scanner_t scanner = {.next = text,
                         .end = text + size,
                         .line = 1,
                         .path = g_string_new(NULL),
                         .result = lines};

    lines->lines =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    lines->duplicates = g_ptr_array_new_with_free_func(g_free);
    scan_value(&scanner, 0);
    g_string_free(scanner.path, TRUE);
    return lines;
}

void
AprJsonLines_Free(AprJsonLines_t *lines)
{
    g_hash_table_destroy(lines->lines);
    g_ptr_array_free(lines->duplicates, TRUE);
    g_free(lines);
}

/* Returns the line of the value with this path; if the document does not
   contain it, that of the closest object or list around it. */
int
AprJsonLines_Find(const AprJsonLines_t *lines, const char *path)
{
    size_t size = strlen(path);
    int line = 0;

    while (size > 0 && line == 0) {
        char *prefix = g_strndup(path, size);

        line = GPOINTER_TO_INT(g_hash_table_lookup(lines->lines, prefix));
        g_free(prefix);
        do {
            size--;
        } while (size > 0 && path[size] != '.' && path[size] != '[');
    }
    return line == 0 ? 1 : line;
}
