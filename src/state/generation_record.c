#include "internal/generation_record.h"

#include <glib.h>
#include <jansson.h>
#include <string.h>

#include "apricot/error.h"

/* Returns the generation of an incarnation, or 0 while it is not the one in
   the store. */
int64_t
AprGenerationRecord_Find(const AprGenerationRecord_t *record,
                         const AprBackendIncarnation_t *incarnation)
{
    return AprBackendIncarnation_Equal(&record->incarnation, incarnation)
               ? record->generation
               : 0;
}

/* Updates the record from the stored item; a removed item, or one that is not
   newer than the known revision, has no effect. Returns APR_E_PARSE when the
   item is malformed. */
int
AprGenerationRecord_Update(AprGenerationRecord_t *record,
                           const AprKvItem_t *item)
{
    json_t *root;
    const char *id;
    json_int_t started_ms;
    json_int_t generation;
    int result = APR_E_PARSE;

    if (item->removed || item->revision <= record->revision) {
        return APR_OK;
    }
    root = json_loadb(item->value, item->value_size, 0, NULL);
    if (json_unpack(root, "{s:s,s:I,s:I}", "id", &id, "born", &started_ms,
                    "generation", &generation) == 0 &&
        generation > 0) {
        g_strlcpy(record->incarnation.id, id, sizeof(record->incarnation.id));
        record->incarnation.started_ms = started_ms;
        record->generation = generation;
        record->revision = item->revision;
        result = APR_OK;
    }
    json_decref(root);
    return result;
}

/* Starts to store an incarnation under the next generation. Returns the value
   to write, which the caller frees, or NULL when memory runs out. The caller
   reports the outcome with AprGenerationRecord_EndWrite. */
char *
AprGenerationRecord_BeginWrite(AprGenerationRecord_t *record,
                               const AprBackendIncarnation_t *incarnation)
{
    json_t *root = json_pack("{s:s,s:I,s:I}", "id", incarnation->id, "born",
                             (json_int_t)incarnation->started_ms, "generation",
                             (json_int_t)record->generation + 1);
    char *text = json_dumps(root, JSON_COMPACT);

    json_decref(root);
    if (text != NULL) {
        record->proposed = *incarnation;
        record->write_pending = true;
    }
    return text;
}

/* Applies the outcome of a write. After an unknown outcome the caller proposes
   the same incarnation again under the same condition, which either succeeds
   or shows the stored item. */
void
AprGenerationRecord_EndWrite(AprGenerationRecord_t *record,
                             const AprKvResult_t *result)
{
    record->write_pending = false;
    if (result->code == APR_OK && result->revision > record->revision) {
        record->incarnation = record->proposed;
        record->generation++;
        record->revision = result->revision;
    }
}
