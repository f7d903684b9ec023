#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "internal/service_fields.h"

/* The content of one service file and the lines at which it is set. */
typedef struct ServiceFile_t {
    char file[256];
    AprServiceConfig_t config;
    AprFieldLines_t lines;
    int rank_lines[APR_MAX_RANKS];
} ServiceFile_t;

/* The merged configuration of one service and the file that set each value. */
typedef struct MergedService_t {
    AprServiceConfig_t config;
    const ServiceFile_t *first; /* first file that names the service */
    const ServiceFile_t *value_origin[APR_MAX_FIELDS];
    const ServiceFile_t *rank_origin[APR_MAX_RANKS];
} MergedService_t;

/* Context of add_problem for one file. */
typedef struct FileProblems_t {
    AprProblems_t *problems;
    const char *file;
} FileProblems_t;

/* Records a problem of a file. This is an AprFieldReport_t; `context` is the
   FileProblems_t. Problems beyond APR_MAX_PROBLEMS are not recorded. */
static void
add_problem(void *context, int line, const char *field, const char *message)
{
    FileProblems_t *report = context;
    AprProblem_t *problem;

    if (report->problems->count == APR_MAX_PROBLEMS) {
        return;
    }
    problem = &report->problems->items[report->problems->count++];
    g_strlcpy(problem->file, report->file, sizeof(problem->file));
    problem->line = line;
    g_strlcpy(problem->field, field, sizeof(problem->field));
    g_strlcpy(problem->message, message, sizeof(problem->message));
}

static gint
compare_paths(gconstpointer left, gconstpointer right)
{
    return strcmp(*(const char *const *)left, *(const char *const *)right);
}

/* Appends the *.toml files of one directory in the order of their names. */
static int
list_files(const char *directory, GPtrArray *paths, AprError_t *error)
{
    GDir *dir = g_dir_open(directory, 0, NULL);
    GPtrArray *directory_paths;
    const char *name;

    if (dir == NULL) {
        return AprError_Set(error, APR_E_IO, APR_STEP_CONFIG, directory,
                            "cannot be opened; check that the directory "
                            "exists and is readable");
    }
    directory_paths = g_ptr_array_new();
    while ((name = g_dir_read_name(dir)) != NULL) {
        if (g_str_has_suffix(name, ".toml") && name[0] != '.') {
            g_ptr_array_add(directory_paths,
                            g_build_filename(directory, name, NULL));
        }
    }
    g_dir_close(dir);
    g_ptr_array_sort(directory_paths, compare_paths);
    for (guint i = 0; i < directory_paths->len; i++) {
        g_ptr_array_add(paths, g_ptr_array_index(directory_paths, i));
    }
    if (directory_paths->len == 0) {
        AprError_Set(error, APR_E_NOT_FOUND, APR_STEP_CONFIG, directory,
                     "has no *.toml files");
    }
    g_ptr_array_free(directory_paths, TRUE);
    return error->code;
}

static int
compare_by_line(const void *left, const void *right)
{
    const AprProblem_t *first = left;
    const AprProblem_t *second = right;

    if (first->line != second->line) {
        return first->line < second->line ? -1 : 1;
    }
    return strcmp(first->field, second->field);
}

static void
read_service_file(const char *path, ServiceFile_t *source_file,
                  AprProblems_t *problems)
{
    FileProblems_t report = {problems, path};
    AprFieldReader_t reader = {apr_service_fields,
                               apr_service_file_field_count, false,
                               add_problem, &report};
    int first_new = problems->count;
    AprError_t fault;
    AprTree_t *tree;
    int line;

    g_strlcpy(source_file->file, path, sizeof(source_file->file));
    AprFields_SetDefaults(apr_service_fields, apr_service_json_field_count,
                          &source_file->config);
    if (AprTree_ReadToml(path, &tree, &line, &fault) != APR_OK) {
        add_problem(&report, line, "file", fault.detail);
        return;
    }
    AprServiceFields_Read(&reader, tree, &source_file->config,
                          &source_file->lines, source_file->rank_lines);
    AprTree_Free(tree);
    /* The parser orders a table by key, not by line. */
    qsort(&problems->items[first_new], (size_t)(problems->count - first_new),
          sizeof(problems->items[0]), compare_by_line);
}

/* Finds the merged service that a file belongs to, or adds it with the default
   values. Returns NULL and reports a problem when there are too many. */
static MergedService_t *
find_or_add_service(MergedService_t *merged, int *count,
                    const ServiceFile_t *source_file, AprProblems_t *problems)
{
    FileProblems_t report = {problems, source_file->file};

    for (int i = 0; i < *count; i++) {
        if (strcmp(merged[i].config.service, source_file->config.service) ==
            0) {
            return &merged[i];
        }
    }
    if (*count == APR_MAX_SERVICES) {
        add_problem(&report, source_file->lines.line[0], "service",
                    "is one service too many; a cell has at most 16");
        return NULL;
    }
    merged[*count].first = source_file;
    AprFields_SetDefaults(apr_service_fields, apr_service_json_field_count,
                          &merged[*count].config);
    g_strlcpy(merged[*count].config.service, source_file->config.service,
              APR_NAME_SIZE);
    return &merged[(*count)++];
}

static void
report_conflict(const ServiceFile_t *source_file, int line, const char *field,
                const ServiceFile_t *other, int other_line,
                AprProblems_t *problems)
{
    FileProblems_t report = {problems, source_file->file};
    char message[256];
    const char *base = strrchr(other->file, '/');

    snprintf(message, sizeof(message),
             "contradicts %.80s line %d of the same service; make both equal "
             "or remove one",
             base == NULL ? other->file : base + 1, other_line);
    add_problem(&report, line, field, message);
}

/* Appends the elements of a file's list that the merged list lacks. */
static void
merge_list(const AprField_t *field, int index,
           const ServiceFile_t *source_file, MergedService_t *merged,
           AprProblems_t *problems)
{
    FileProblems_t report = {problems, source_file->file};
    char *target = (char *)&merged->config + field->offset;
    const char *source = (const char *)&source_file->config + field->offset;
    int used;
    int added;

    memcpy(&used, (char *)&merged->config + field->count_offset, sizeof(used));
    memcpy(&added, (const char *)&source_file->config + field->count_offset,
           sizeof(added));
    for (int i = 0; i < added; i++) {
        const char *text = source + (size_t)i * field->size;
        int known = 0;

        while (known < used &&
               strcmp(target + (size_t)known * field->size, text) != 0) {
            known++;
        }
        if (known == field->capacity) {
            add_problem(&report, source_file->lines.line[index], field->name,
                        "has too many elements in all files of the service; "
                        "use at most 32");
            break;
        }
        if (known == used) {
            g_strlcpy(target + (size_t)used * field->size, text, field->size);
            used++;
        }
    }
    memcpy((char *)&merged->config + field->count_offset, &used, sizeof(used));
}

/* Copies a value of a file, or reports a conflict when another file has set a
   different one. */
static void
merge_value(const AprField_t *field, int index,
            const ServiceFile_t *source_file, MergedService_t *merged,
            AprProblems_t *problems)
{
    size_t size =
        field->kind == APR_FIELD_DOUBLE ? sizeof(double) : sizeof(int);
    char *target = (char *)&merged->config + field->offset;
    const char *source = (const char *)&source_file->config + field->offset;
    const ServiceFile_t *value_origin = merged->value_origin[index];
    char name[APR_NAME_SIZE];

    if (value_origin != NULL && memcmp(target, source, size) != 0) {
        AprField_FormatFullName(field, name, sizeof(name));
        report_conflict(source_file, source_file->lines.line[index], name,
                        value_origin, value_origin->lines.line[index],
                        problems);
        return;
    }
    memcpy(target, source, size);
    merged->value_origin[index] = source_file;
}

static int
line_of_rank(const ServiceFile_t *source_file, const char *name)
{
    int rank = AprServiceConfig_FindRankByName(&source_file->config, name);

    return rank < 0 ? 1 : source_file->rank_lines[rank];
}

static void
merge_rank(int index, const ServiceFile_t *source_file,
           MergedService_t *merged, AprProblems_t *problems)
{
    FileProblems_t report = {problems, source_file->file};
    const AprRankConfig_t *rank = &source_file->config.ranks[index];
    AprServiceConfig_t *config = &merged->config;
    int known = AprServiceConfig_FindRankByName(config, rank->name);

    if (known >= 0) {
        if (memcmp(&config->ranks[known].spec, &rank->spec,
                   sizeof(rank->spec)) != 0) {
            const ServiceFile_t *other = merged->rank_origin[known];

            report_conflict(source_file, source_file->rank_lines[index],
                            "rank", other, line_of_rank(other, rank->name),
                            problems);
        }
        return;
    }
    if (config->rank_count == APR_MAX_RANKS) {
        add_problem(&report, source_file->rank_lines[index], "rank",
                    "is one rank too many for the service; use at most 8");
        return;
    }
    merged->rank_origin[config->rank_count] = source_file;
    config->ranks[config->rank_count++] = *rank;
}

static void
merge_file(const ServiceFile_t *source_file, MergedService_t *merged,
           AprProblems_t *problems)
{
    for (int i = 0; i < apr_service_file_field_count; i++) {
        const AprField_t *field = &apr_service_fields[i];

        if (source_file->lines.line[i] == 0 ||
            field->kind == APR_FIELD_TABLES) {
            continue;
        }
        if (field->capacity > 0) {
            merge_list(field, i, source_file, merged, problems);
        }
        else if (field->kind != APR_FIELD_NAME) {
            merge_value(field, i, source_file, merged, problems);
        }
    }
    for (int i = 0; i < source_file->config.rank_count; i++) {
        merge_rank(i, source_file, merged, problems);
    }
}

static void
check_and_sort_ranks(MergedService_t *merged, AprProblems_t *problems)
{
    FileProblems_t report = {problems, merged->first->file};

    if (merged->config.pattern_count == 0) {
        add_problem(&report, 1, "keys",
                    "is empty in all files of the service; add for instance "
                    "keys = [\"job/*\"]");
    }
    if (merged->config.rank_count == 0) {
        add_problem(&report, 1, "rank",
                    "is missing in all files of the service; add a [[rank]] "
                    "with name, target_ms and worth");
    }
    AprServiceConfig_SortRanks(&merged->config);
}

static int
merge_files(const ServiceFile_t *files, int file_count,
            MergedService_t *merged, AprProblems_t *problems)
{
    int count = 0;

    for (int i = 0; i < file_count; i++) {
        MergedService_t *entry =
            find_or_add_service(merged, &count, &files[i], problems);

        if (entry != NULL) {
            merge_file(&files[i], entry, problems);
        }
    }
    for (int i = 0; i < count; i++) {
        check_and_sort_ranks(&merged[i], problems);
    }
    return count;
}

/* Reads and merges files. Returns the number of services, or APR_E_INVALID
   when there are problems; then *configs is not set. */
static int
load_files(const GPtrArray *paths, AprServiceConfig_t **configs,
           AprProblems_t *problems, AprError_t *error)
{
    int file_count = (int)paths->len;
    ServiceFile_t *files = g_new0(ServiceFile_t, paths->len);
    MergedService_t *merged = g_new0(MergedService_t, APR_MAX_SERVICES);
    int count = 0;

    for (int i = 0; i < file_count; i++) {
        read_service_file(g_ptr_array_index(paths, i), &files[i], problems);
    }
    /* Files are not merged after an error: conflicts with a file that was read
       in part would be misleading. */
    if (problems->count == 0) {
        count = merge_files(files, file_count, merged, problems);
    }
    if (problems->count > 0 || count == 0) {
        count = AprError_Set(error, APR_E_INVALID, APR_STEP_CONFIG, "",
                             "%d problems in %d files", problems->count,
                             file_count);
    }
    else {
        *configs = calloc((size_t)count, sizeof(**configs));
        if (*configs == NULL) {
            abort(); /* GLib also aborts when its allocations fail */
        }
        for (int i = 0; i < count; i++) {
            (*configs)[i] = merged[i].config;
        }
    }
    g_free(merged);
    g_free(files);
    return count;
}

/* Reads all *.toml files of several directories and merges them per service.
   Files of one service may be in different directories. Returns the number of
   services, APR_E_INVALID when there are problems, APR_E_IO when a directory
   cannot be read, or APR_E_NOT_FOUND when it has no such files. The caller
   frees *configs with free(). */
int
AprServiceConfig_LoadDirectories(const char *const *directories, int count,
                                 AprServiceConfig_t **configs,
                                 AprProblems_t *problems, AprError_t *error)
{
    GPtrArray *paths = g_ptr_array_new_with_free_func(g_free);
    AprError_t fault = {0};
    int result = APR_OK;

    problems->count = 0;
    *configs = NULL;
    for (int i = 0; i < count && result == APR_OK; i++) {
        result = list_files(directories[i], paths, &fault);
    }
    if (result != APR_OK) {
        AprError_Set(error, result, APR_STEP_CONFIG, fault.peer, "%s",
                     fault.detail);
    }
    else {
        result = load_files(paths, configs, problems, error);
    }
    g_ptr_array_free(paths, TRUE);
    return result;
}

/* Does the same as AprServiceConfig_LoadDirectories for one directory. */
int
AprServiceConfig_LoadDirectory(const char *directory,
                               AprServiceConfig_t **configs,
                               AprProblems_t *problems, AprError_t *error)
{
    return AprServiceConfig_LoadDirectories(&directory, 1, configs, problems,
                                            error);
}
