#include "internal/life_record.h"

#include <glib.h>
#include <jansson.h>
#include <string.h>

#include "apricot/error.h"

/* Returns the generation of an incarnation, or 0 while it is not the one in
   the store. */
int64_t
AprLifeRecord_Generation(const AprLifeRecord_t *record,
                         const AprBackendLife_t *life)
{
    return AprBackendLife_Equal(&record->life, life) ? record->generation : 0;
}

/* Updates the record from the stored item; a removed item, or one that is not
   newer than the known revision, has no effect. Returns APR_E_PARSE when the
   item is malformed. */
int
AprLifeRecord_Read(AprLifeRecord_t *record, const AprKvItem_t *item)
{
    json_t *root;
    const char *id;
    json_int_t born_ms;
    json_int_t generation;
    int result = APR_E_PARSE;

    if (item->removed || item->revision <= record->revision) {
        return APR_OK;
    }
    root = json_loadb(item->value, item->value_size, 0, NULL);
    if (json_unpack(root, "{s:s,s:I,s:I}", "id", &id, "born", &born_ms,
                    "generation", &generation) == 0 &&
        generation > 0) {
        g_strlcpy(record->life.id, id, sizeof(record->life.id));
        record->life.born_ms = born_ms;
        record->generation = generation;
        record->revision = item->revision;
        result = APR_OK;
    }
    json_decref(root);
    return result;
}

/* Starts to store an incarnation under the next generation. Returns the value
   to write, which the caller frees, or NULL when memory runs out. The caller
   reports the outcome with AprLifeRecord_Done. */
char *
AprLifeRecord_Propose(AprLifeRecord_t *record, const AprBackendLife_t *life)
{
    json_t *root = json_pack("{s:s,s:I,s:I}", "id", life->id, "born",
                             (json_int_t)life->born_ms, "generation",
                             (json_int_t)record->generation + 1);
    char *text = json_dumps(root, JSON_COMPACT);

    json_decref(root);
    if (text != NULL) {
        record->proposed = *life;
        record->writing = true;
    }
    return text;
}

/* Applies the outcome of a write. After an unknown outcome the caller proposes
   the same incarnation again under the same condition, which either succeeds
   or shows the stored item. */
void
AprLifeRecord_Done(AprLifeRecord_t *record, const AprKvResult_t *result)
{
    record->writing = false;
    if (result->code == APR_OK && result->revision > record->revision) {
        record->life = record->proposed;
        record->generation++;
        record->revision = result->revision;
    }
}
