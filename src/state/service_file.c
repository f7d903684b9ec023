#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "internal/service_fields.h"

/* One file as it was read. */
typedef struct Part_t {
    char file[256];
    AprServiceConfig_t config;
    AprFieldLines_t lines;
    int rank_lines[APR_MAX_RANKS];
} Part_t;

/* One service and where each of its values came from. */
typedef struct Merged_t {
    AprServiceConfig_t config;
    const Part_t *first;
    const Part_t *origin[APR_MAX_FIELDS];
    const Part_t *rank_origin[APR_MAX_RANKS];
} Merged_t;

typedef struct Report_t {
    AprProblems_t *problems;
    const char *file;
} Report_t;

static void
add_problem(void *context, int line, const char *field, const char *message)
{
    Report_t *report = context;
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
compare_names(gconstpointer left, gconstpointer right)
{
    return strcmp(*(const char *const *)left, *(const char *const *)right);
}

/* Appends the *.toml files of one directory in the order of their names. */
static int
list_files(const char *directory, GPtrArray *files, AprError_t *error)
{
    GDir *dir = g_dir_open(directory, 0, NULL);
    GPtrArray *names;
    const char *name;

    if (dir == NULL) {
        return AprError_Set(error, APR_E_IO, APR_STEP_CONFIG, directory,
                            "cannot be opened; check that the directory "
                            "exists and is readable");
    }
    names = g_ptr_array_new();
    while ((name = g_dir_read_name(dir)) != NULL) {
        if (g_str_has_suffix(name, ".toml") && name[0] != '.') {
            g_ptr_array_add(names, g_build_filename(directory, name, NULL));
        }
    }
    g_dir_close(dir);
    g_ptr_array_sort(names, compare_names);
    for (guint i = 0; i < names->len; i++) {
        g_ptr_array_add(files, g_ptr_array_index(names, i));
    }
    if (names->len == 0) {
        AprError_Set(error, APR_E_NOT_FOUND, APR_STEP_CONFIG, directory,
                     "has no *.toml files");
    }
    g_ptr_array_free(names, TRUE);
    return error->code;
}

static int
compare_lines(const void *left, const void *right)
{
    const AprProblem_t *first = left;
    const AprProblem_t *second = right;

    if (first->line != second->line) {
        return first->line < second->line ? -1 : 1;
    }
    return strcmp(first->field, second->field);
}

static void
read_part(const char *file, Part_t *part, AprProblems_t *problems)
{
    Report_t report = {problems, file};
    AprFieldReader_t reader = {apr_service_fields,
                               apr_service_file_field_count, false,
                               add_problem, &report};
    int known = problems->count;
    AprError_t fault;
    AprTree_t *tree;
    int line;

    g_strlcpy(part->file, file, sizeof(part->file));
    AprFields_SetDefaults(apr_service_fields, apr_service_json_field_count,
                          &part->config);
    if (AprTree_ReadToml(file, &tree, &line, &fault) != APR_OK) {
        add_problem(&report, line, "file", fault.detail);
        return;
    }
    AprService_Read(&reader, tree, &part->config, &part->lines,
                    part->rank_lines);
    AprTree_Free(tree);
    /* The parsed tables are ordered by key, not as in the file. */
    qsort(&problems->items[known], (size_t)(problems->count - known),
          sizeof(problems->items[0]), compare_lines);
}

static Merged_t *
find_merged(Merged_t *merged, int *count, const Part_t *part,
            AprProblems_t *problems)
{
    Report_t report = {problems, part->file};

    for (int i = 0; i < *count; i++) {
        if (strcmp(merged[i].config.service, part->config.service) == 0) {
            return &merged[i];
        }
    }
    if (*count == APR_MAX_SERVICES) {
        add_problem(&report, part->lines.line[0], "service",
                    "is one service too many; a cell holds at most 16");
        return NULL;
    }
    merged[*count].first = part;
    AprFields_SetDefaults(apr_service_fields, apr_service_json_field_count,
                          &merged[*count].config);
    g_strlcpy(merged[*count].config.service, part->config.service,
              APR_NAME_SIZE);
    return &merged[(*count)++];
}

static void
report_contradiction(const Part_t *part, int line, const char *field,
                     const Part_t *other, int other_line,
                     AprProblems_t *problems)
{
    Report_t report = {problems, part->file};
    char message[256];
    const char *base = strrchr(other->file, '/');

    snprintf(message, sizeof(message),
             "contradicts %.80s line %d of the same service; make both equal "
             "or remove one",
             base == NULL ? other->file : base + 1, other_line);
    add_problem(&report, line, field, message);
}

static void
merge_list(const AprField_t *field, int index, const Part_t *part,
           Merged_t *merged, AprProblems_t *problems)
{
    Report_t report = {problems, part->file};
    char *target = (char *)&merged->config + field->offset;
    const char *source = (const char *)&part->config + field->offset;
    int used;
    int added;

    memcpy(&used, (char *)&merged->config + field->count_offset, sizeof(used));
    memcpy(&added, (const char *)&part->config + field->count_offset,
           sizeof(added));
    for (int i = 0; i < added; i++) {
        const char *text = source + (size_t)i * field->size;
        int known = 0;

        while (known < used &&
               strcmp(target + (size_t)known * field->size, text) != 0) {
            known++;
        }
        if (known == field->capacity) {
            add_problem(&report, part->lines.line[index], field->name,
                        "has more elements in all files of the service than "
                        "the 32 that are possible");
            break;
        }
        if (known == used) {
            g_strlcpy(target + (size_t)used * field->size, text, field->size);
            used++;
        }
    }
    memcpy((char *)&merged->config + field->count_offset, &used, sizeof(used));
}

static void
merge_value(const AprField_t *field, int index, const Part_t *part,
            Merged_t *merged, AprProblems_t *problems)
{
    size_t size =
        field->kind == APR_FIELD_DOUBLE ? sizeof(double) : sizeof(int);
    char *target = (char *)&merged->config + field->offset;
    const char *source = (const char *)&part->config + field->offset;
    const Part_t *origin = merged->origin[index];
    char name[APR_NAME_SIZE];

    if (origin != NULL && memcmp(target, source, size) != 0) {
        AprField_FullName(field, name, sizeof(name));
        report_contradiction(part, part->lines.line[index], name, origin,
                             origin->lines.line[index], problems);
        return;
    }
    memcpy(target, source, size);
    merged->origin[index] = part;
}

static int
rank_line(const Part_t *part, const char *name)
{
    int rank = AprService_FindRankName(&part->config, name);

    return rank < 0 ? 1 : part->rank_lines[rank];
}

static void
merge_rank(int index, const Part_t *part, Merged_t *merged,
           AprProblems_t *problems)
{
    Report_t report = {problems, part->file};
    const AprRankConfig_t *rank = &part->config.ranks[index];
    AprServiceConfig_t *config = &merged->config;
    int known = AprService_FindRankName(config, rank->name);

    if (known >= 0) {
        if (memcmp(&config->ranks[known].spec, &rank->spec,
                   sizeof(rank->spec)) != 0) {
            const Part_t *other = merged->rank_origin[known];

            report_contradiction(part, part->rank_lines[index], "rank", other,
                                 rank_line(other, rank->name), problems);
        }
        return;
    }
    if (config->rank_count == APR_MAX_RANKS) {
        add_problem(&report, part->rank_lines[index], "rank",
                    "is one rank too many for the service; at most 8 are "
                    "possible");
        return;
    }
    merged->rank_origin[config->rank_count] = part;
    config->ranks[config->rank_count++] = *rank;
}

static void
merge_part(const Part_t *part, Merged_t *merged, AprProblems_t *problems)
{
    for (int i = 0; i < apr_service_file_field_count; i++) {
        const AprField_t *field = &apr_service_fields[i];

        if (part->lines.line[i] == 0 || field->kind == APR_FIELD_TABLES) {
            continue;
        }
        if (field->capacity > 0) {
            merge_list(field, i, part, merged, problems);
        }
        else if (field->kind != APR_FIELD_NAME) {
            merge_value(field, i, part, merged, problems);
        }
    }
    for (int i = 0; i < part->config.rank_count; i++) {
        merge_rank(i, part, merged, problems);
    }
}

static void
check_merged(Merged_t *merged, AprProblems_t *problems)
{
    Report_t report = {problems, merged->first->file};

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
    AprService_SortRanks(&merged->config);
}

static int
merge_parts(const Part_t *parts, int part_count, Merged_t *merged,
            AprProblems_t *problems)
{
    int count = 0;

    for (int i = 0; i < part_count; i++) {
        Merged_t *entry = find_merged(merged, &count, &parts[i], problems);

        if (entry != NULL) {
            merge_part(&parts[i], entry, problems);
        }
    }
    for (int i = 0; i < count; i++) {
        check_merged(&merged[i], problems);
    }
    return count;
}

static int
load_files(const GPtrArray *files, AprServiceConfig_t **configs,
           AprProblems_t *problems, AprError_t *error)
{
    int part_count = (int)files->len;
    Part_t *parts = g_new0(Part_t, files->len);
    Merged_t *merged = g_new0(Merged_t, APR_MAX_SERVICES);
    int count = 0;

    for (int i = 0; i < part_count; i++) {
        read_part(g_ptr_array_index(files, i), &parts[i], problems);
    }
    /* Contradictions with a file that was only read in part would mislead. */
    if (problems->count == 0) {
        count = merge_parts(parts, part_count, merged, problems);
    }
    if (problems->count > 0 || count == 0) {
        count = AprError_Set(error, APR_E_INVALID, APR_STEP_CONFIG, "",
                             "%d problems in %d files", problems->count,
                             part_count);
    }
    else {
        *configs = calloc((size_t)count, sizeof(**configs));
        if (*configs == NULL) {
            abort(); /* as GLib does for the other allocations here */
        }
        for (int i = 0; i < count; i++) {
            (*configs)[i] = merged[i].config;
        }
    }
    g_free(merged);
    g_free(parts);
    return count;
}

/* Reads all *.toml files of several directories and merges them per service;
   files of one service may lie in different directories. Returns the number
   of services; APR_E_INVALID when there are problems; APR_E_IO or
   APR_E_NOT_FOUND when a directory cannot be read or has no such files. */
int
AprServiceConfig_LoadDirectories(const char *const *directories, int count,
                                 AprServiceConfig_t **configs,
                                 AprProblems_t *problems, AprError_t *error)
{
    GPtrArray *files = g_ptr_array_new_with_free_func(g_free);
    AprError_t fault = {0};
    int result = APR_OK;

    problems->count = 0;
    *configs = NULL;
    for (int i = 0; i < count && result == APR_OK; i++) {
        result = list_files(directories[i], files, &fault);
    }
    if (result != APR_OK) {
        AprError_Set(error, result, APR_STEP_CONFIG, fault.peer, "%s",
                     fault.detail);
    }
    else {
        result = load_files(files, configs, problems, error);
    }
    g_ptr_array_free(files, TRUE);
    return result;
}

/* The same for one directory. */
int
AprServiceConfig_LoadDirectory(const char *directory,
                               AprServiceConfig_t **configs,
                               AprProblems_t *problems, AprError_t *error)
{
    return AprServiceConfig_LoadDirectories(&directory, 1, configs, problems,
                                            error);
}
