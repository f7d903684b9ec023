#include "apricot/service_config.h"

#include <glib.h>
#include <jansson.h>
#include <string.h>

#include "internal/service_fields.h"

static json_t *
list_to_json(const char *first, size_t size, int count)
{
    json_t *list = json_array();

    for (int i = 0; i < count; i++) {
        json_array_append_new(list, json_string(first + (size_t)i * size));
    }
    return list;
}

static json_t *
ranks_to_json(const AprServiceConfig_t *config)
{
    json_t *list = json_array();

    for (int i = 0; i < config->rank_count; i++) {
        const AprRankConfig_t *rank = &config->ranks[i];

        json_array_append_new(
            list, json_pack("{s:s, s:i, s:i}", "name", rank->name, "target_ms",
                            rank->spec.target_ms, "worth", rank->spec.worth));
    }
    return list;
}

/* Serializes a configuration to the JSON form that is published and sent
   between processes. Its fields have the names of those in a service file. The
   caller frees the text with free(); NULL when memory runs out. */
char *
AprServiceConfig_ToJson(const AprServiceConfig_t *config)
{
    json_t *root = json_pack(
        "{s:s, s:I, s:s, s:I, s:o, s:o, s:f, s:i, s:f, s:{s:f, s:f, s:i, "
        "s:i}, s:o}",
        "service", config->service, "generation",
        (json_int_t)config->generation, "published_by", config->published_by,
        "published_at_ms", (json_int_t)config->published_at_ms, "keys",
        list_to_json(config->patterns[0], sizeof(config->patterns[0]),
                     config->pattern_count),
        "idempotent",
        list_to_json(config->idempotent[0], sizeof(config->idempotent[0]),
                     config->idempotent_count),
        "move_cost", config->move_cost, "ramp_s", config->ramp_s, "hot_share",
        config->hot_share, "limits", "caller_rate", config->caller_rate,
        "service_rate", config->service_rate, "queue", config->queue,
        "body_bytes", config->body_bytes, "rank", ranks_to_json(config));
    char *text;

    if (root == NULL) {
        return NULL;
    }
    text = json_dumps(root, JSON_COMPACT);
    json_decref(root);
    return text;
}

static void
set_first_error(void *context, int line, const char *field,
                const char *message)
{
    AprError_t *error = context;

    (void)line;
    if (error->code == APR_OK) {
        AprError_Set(error, APR_E_PARSE, APR_STEP_CONFIG, "", "%s: %s", field,
                     message);
    }
}

/* Parses the JSON form. It is validated like a service file, because it can
   come from a peer. Unknown fields are ignored, because a newer release may
   add some. Returns APR_OK, or APR_E_PARSE with the first error. */
int
AprServiceConfig_FromJson(const char *text, size_t size,
                          AprServiceConfig_t *config, AprError_t *error)
{
    AprError_t first = {0};
    AprFieldReader_t reader = {apr_service_fields,
                               apr_service_json_field_count, true,
                               set_first_error, &first};
    int rank_lines[APR_MAX_RANKS];
    AprFieldLines_t lines;
    json_error_t fault;
    json_t *root = json_loadb(text, size, JSON_REJECT_DUPLICATES, &fault);
    AprTree_t *tree;

    memset(config, 0, sizeof(*config));
    if (root == NULL) {
        return AprError_Set(error, APR_E_PARSE, APR_STEP_CONFIG, "",
                            "JSON: %s", fault.text);
    }
    tree = AprTree_FromJson(root, NULL);
    json_decref(root);
    AprFields_SetDefaults(apr_service_fields, apr_service_json_field_count,
                          config);
    AprServiceFields_Read(&reader, tree, config, &lines, rank_lines);
    AprTree_Free(tree);
    if (config->rank_count == 0 || config->pattern_count == 0) {
        set_first_error(&first, 0, config->rank_count == 0 ? "rank" : "keys",
                        "is empty");
    }
    if (first.code != APR_OK) {
        return AprError_Set(error, first.code, APR_STEP_CONFIG,
                            config->service, "%s", first.detail);
    }
    AprServiceConfig_SortRanks(config);
    return APR_OK;
}

/* Whether a shard key matches one of the service's patterns. Keys come from
   callers, and GLib's matcher is defined for valid UTF-8 only; a key that is
   not valid UTF-8 does not match. */
bool
AprServiceConfig_MatchesKey(const AprServiceConfig_t *config, const char *key)
{
    if (!g_utf8_validate(key, -1, NULL)) {
        return false;
    }
    for (int i = 0; i < config->pattern_count; i++) {
        if (g_pattern_match_simple(config->patterns[i], key)) {
            return true;
        }
    }
    return false;
}

/* Whether the configuration lists the operation as idempotent. */
bool
AprServiceConfig_IsIdempotent(const AprServiceConfig_t *config,
                              const char *operation)
{
    for (int i = 0; i < config->idempotent_count; i++) {
        if (strcmp(config->idempotent[i], operation) == 0) {
            return true;
        }
    }
    return false;
}

/* The index of a rank, or APR_E_NOT_FOUND. An empty or NULL name stands for
   the least urgent rank. */
int
AprServiceConfig_FindRank(const AprServiceConfig_t *config, const char *name)
{
    if (name == NULL || name[0] == '\0') {
        return config->rank_count > 0 ? config->rank_count - 1
                                      : APR_E_NOT_FOUND;
    }
    return AprServiceConfig_FindRankByName(config, name);
}
