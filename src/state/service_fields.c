#include "internal/service_fields.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

#define LIST_OFFSET_AND_SIZE(member)      \
    offsetof(AprServiceConfig_t, member), \
        sizeof(((AprServiceConfig_t *)NULL)->member[0])
#define FIELD_OFFSET(member) offsetof(AprServiceConfig_t, member)
#define RANK_OFFSET(member) offsetof(AprRankConfig_t, member)
#define MAX_NAME_LENGTH (APR_NAME_SIZE - 1)
#define MAX_PATTERN_LENGTH (2 * APR_NAME_SIZE - 1)

/* Equal to APR_ENTRY_MAX_BODY. The HTTP entry and the backend client hold no
   larger body, so that a higher limit would be accepted but not work. */
#define MAX_BODY_BYTES 65536

/* 2^53, up to which a double holds every integer exactly. The ranges of fields
   are doubles. */
#define MAX_EXACT_INTEGER 9007199254740992.0

const AprField_t apr_service_fields[] = {
    {NULL, "service", APR_FIELD_NAME, FIELD_OFFSET(service), APR_NAME_SIZE, 1,
     MAX_NAME_LENGTH, "characters", NULL, "name of the service", 0, 0},
    {NULL, "keys", APR_FIELD_TEXT, LIST_OFFSET_AND_SIZE(patterns), 1,
     MAX_PATTERN_LENGTH, "characters", "", "key patterns with * and ?",
     APR_MAX_PATTERNS, FIELD_OFFSET(pattern_count)},
    {NULL, "idempotent", APR_FIELD_NAME, LIST_OFFSET_AND_SIZE(idempotent), 1,
     MAX_NAME_LENGTH, "characters", "", "operations that may run twice",
     APR_MAX_IDEMPOTENT, FIELD_OFFSET(idempotent_count)},
    {NULL, "move_cost", APR_FIELD_DOUBLE, FIELD_OFFSET(move_cost), 0, 0, 1, "",
     "0.5", "0 moves for any imbalance, 1 for gross imbalance only", 0, 0},
    {NULL, "ramp_s", APR_FIELD_INT, FIELD_OFFSET(ramp_s), 0, 0, 3600, "s",
     "30", "time until a new member has its full share", 0, 0},
    {NULL, "hot_share", APR_FIELD_DOUBLE, FIELD_OFFSET(hot_share), 0, 0.01, 1,
     "", "0.2", "share of its host's requests above which a key is hot", 0, 0},
    {"limits", "caller_rate", APR_FIELD_DOUBLE, FIELD_OFFSET(caller_rate), 0,
     0.1, 1e6, "requests/s", "200", "per caller", 0, 0},
    {"limits", "service_rate", APR_FIELD_DOUBLE, FIELD_OFFSET(service_rate), 0,
     0.1, 1e7, "requests/s", "5000", "per entry process", 0, 0},
    {"limits", "queue", APR_FIELD_INT, FIELD_OFFSET(queue), 0, 1, 65536,
     "requests", "256", "queue of each rank", 0, 0},
    {"limits", "body_bytes", APR_FIELD_INT, FIELD_OFFSET(body_bytes), 0, 0,
     MAX_BODY_BYTES, "bytes", "65536", "largest request or answer body", 0, 0},
    {NULL, "rank", APR_FIELD_TABLES, 0, 0, 0, 0, "", "",
     "array of tables with name, target_ms and worth", 0, 0},
    {NULL, "generation", APR_FIELD_INT64, FIELD_OFFSET(generation), 0, 0,
     MAX_EXACT_INTEGER, "", "0", "generation at which it was accepted", 0, 0},
    {NULL, "published_by", APR_FIELD_TEXT, FIELD_OFFSET(published_by),
     2 * APR_NAME_SIZE, 0, MAX_PATTERN_LENGTH, "characters", "", "user@host",
     0, 0},
    {NULL, "published_at_ms", APR_FIELD_INT64, FIELD_OFFSET(published_at_ms),
     0, 0, MAX_EXACT_INTEGER, "ms", "0", "calendar time", 0, 0},
};

#define JSON_ONLY_FIELD_COUNT 3

const int apr_service_json_field_count =
    sizeof(apr_service_fields) / sizeof(apr_service_fields[0]);
const int apr_service_file_field_count =
    sizeof(apr_service_fields) / sizeof(apr_service_fields[0]) -
    JSON_ONLY_FIELD_COUNT;

static const AprField_t rank_fields[] = {
    {NULL, "name", APR_FIELD_NAME, RANK_OFFSET(name), APR_NAME_SIZE, 1,
     MAX_NAME_LENGTH, "characters", NULL, "name = \"urgent\"", 0, 0},
    {NULL, "target_ms", APR_FIELD_INT, RANK_OFFSET(spec.target_ms), 0, 1,
     600000, "ms", NULL, "target_ms = 50, the latency aimed at", 0, 0},
    {NULL, "worth", APR_FIELD_INT, RANK_OFFSET(spec.worth), 0, 1, 1000000, "",
     NULL, "worth = 10, its weight in the guaranteed share", 0, 0},
};

#define RANK_FIELD_COUNT ((int)(sizeof(rank_fields) / sizeof(rank_fields[0])))

typedef struct RankReport_t {
    const AprFieldReader_t *document_reader;
    int line; /* of the [[rank]] header */
} RankReport_t;

/* Reports an error in a [[rank]] table: prefixes the field with "rank." and
   reports a missing field at the line of the [[rank]] header. */
static void
report_rank_error(void *context, int line, const char *field,
                  const char *message)
{
    const RankReport_t *rank = context;
    char *name = g_strdup_printf("rank.%s", field);

    rank->document_reader->report(rank->document_reader->context,
                                  line > 1 ? line : rank->line, name, message);
    g_free(name);
}

/* The index of the rank with this name, or APR_E_NOT_FOUND. */
int
AprServiceConfig_FindRankByName(const AprServiceConfig_t *config,
                                const char *name)
{
    for (int i = 0; i < config->rank_count; i++) {
        if (strcmp(config->ranks[i].name, name) == 0) {
            return i;
        }
    }
    return APR_E_NOT_FOUND;
}

static int
read_rank(const AprFieldReader_t *document_reader, const AprTree_t *tree,
          AprServiceConfig_t *config, int *rank_lines)
{
    RankReport_t context = {document_reader, tree->line};
    AprFieldReader_t reader = {rank_fields, RANK_FIELD_COUNT,
                               document_reader->ignore_unknown,
                               report_rank_error, &context};
    AprRankConfig_t rank = {0};
    AprFieldLines_t lines;
    int error_count = AprFields_Read(&reader, tree, &rank, &lines);

    error_count += AprFields_ReportMissing(&reader, &lines);
    if (error_count > 0) {
        return error_count;
    }
    if (AprServiceConfig_FindRankByName(config, rank.name) >= 0) {
        report_rank_error(&context, tree->line, "name",
                          "is used by two ranks; rename one of them");
        return 1;
    }
    if (config->rank_count == APR_MAX_RANKS) {
        report_rank_error(&context, tree->line, "name",
                          "is one rank too many; use at most 8");
        return 1;
    }
    rank_lines[config->rank_count] = tree->line;
    config->ranks[config->rank_count++] = rank;
    return 0;
}

/* Reads a document into a configuration that holds the defaults. Reports each
   error and returns their number. Ranks are in the order of the document. */
int
AprServiceFields_Read(const AprFieldReader_t *reader, const AprTree_t *tree,
                      AprServiceConfig_t *config, AprFieldLines_t *lines,
                      int *rank_lines)
{
    int error_count = AprFields_Read(reader, tree, config, lines);
    const AprTree_t *ranks;

    if (tree->type != APR_TREE_TABLE) {
        return error_count;
    }
    error_count += AprFields_ReportMissing(reader, lines);
    ranks = AprTree_Find(tree, "rank");
    if (ranks == NULL || ranks->type != APR_TREE_ARRAY) {
        return error_count;
    }
    for (const AprTree_t *rank = ranks->first; rank != NULL;
         rank = rank->next) {
        error_count += read_rank(reader, rank, config, rank_lines);
    }
    return error_count;
}

static int
compare_ranks(const void *left_rank, const void *right_rank)
{
    const AprRankConfig_t *left = left_rank;
    const AprRankConfig_t *right = right_rank;

    if (left->spec.target_ms != right->spec.target_ms) {
        return left->spec.target_ms < right->spec.target_ms ? -1 : 1;
    }
    if (left->spec.worth != right->spec.worth) {
        return left->spec.worth > right->spec.worth ? -1 : 1;
    }
    return strcmp(left->name, right->name);
}

/* Sorts ranks by ascending target_ms, which puts the most urgent first. Equal
   targets are sorted by worth and name, so that the result does not depend on
   the order of the files. */
void
AprServiceConfig_SortRanks(AprServiceConfig_t *config)
{
    qsort(config->ranks, (size_t)config->rank_count, sizeof(config->ranks[0]),
          compare_ranks);
}
