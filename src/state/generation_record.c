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

/* Returns the generation of an incarnation, or 0 until this process has
   claimed the record for it. */
int64_t
AprGenerationRecord_FindClaimed(const AprGenerationRecord_t *record,
                                const AprBackendIncarnation_t *incarnation)
{
    return record->claimed ? AprGenerationRecord_Find(record, incarnation) : 0;
}

/* Returns whether a stored generation is one that the store has brought back
   from an older copy, while a later record is known here. */
static bool
is_from_older_copy(const AprGenerationRecord_t *record, int64_t generation)
{
    bool known_since_return = record->revision != 0;

    return !known_since_return &&
           (generation < record->generation ||
            (record->claim_lost && generation == record->generation));
}

/* Updates the record from the stored item; a removed item, or one that is not
   newer than the known revision, has no effect. A newer one ends the claim of
   this process, unless the store has only lost that claim. Returns APR_E_PARSE
   when the item is malformed, its id is too long, or no fencing token can tell
   its generation from others; the record is then unchanged. */
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
        strlen(id) < sizeof(record->incarnation.id) && generation > 0 &&
        generation < APR_GENERATIONS_PER_FENCE) {
        if (!is_from_older_copy(record, generation)) {
            g_strlcpy(record->incarnation.id, id,
                      sizeof(record->incarnation.id));
            record->incarnation.started_ms = started_ms;
            record->generation = generation;
            record->claimed = false;
            record->claim_lost = false;
        }
        record->revision = item->revision;
        result = APR_OK;
    }
    json_decref(root);
    return result;
}

/* Starts to store an incarnation, under the next generation unless it is the
   stored one. Returns the value to write, which the caller frees with free(),
   or NULL when memory runs out. The caller reports the outcome with
   AprGenerationRecord_EndWrite. */
char *
AprGenerationRecord_BeginWrite(AprGenerationRecord_t *record,
                               const AprBackendIncarnation_t *incarnation)
{
    int64_t generation =
        AprBackendIncarnation_Equal(&record->incarnation, incarnation)
            ? record->generation
            : record->generation + 1;
    json_t *root = json_pack("{s:s,s:I,s:I}", "id", incarnation->id, "born",
                             (json_int_t)incarnation->started_ms, "generation",
                             (json_int_t)generation);
    char *text = json_dumps(root, JSON_COMPACT);

    json_decref(root);
    if (text != NULL) {
        record->proposed = *incarnation;
        record->proposed_generation = generation;
        record->write_pending = true;
    }
    return text;
}

/* Applies the outcome of a write, whose item may have been delivered before.
   After an unknown outcome the caller proposes the same incarnation again
   under the same condition, which either succeeds or shows the stored item. */
void
AprGenerationRecord_EndWrite(AprGenerationRecord_t *record,
                             const AprKvResult_t *result)
{
    record->write_pending = false;
    if (result->code == APR_OK && result->revision >= record->revision) {
        record->incarnation = record->proposed;
        record->generation = record->proposed_generation;
        record->revision = result->revision;
        record->claimed = true;
        record->claim_lost = false;
    }
}

/* Handles the return of the store from an older copy, which may hold an
   earlier record or none. */
void
AprGenerationRecord_OnStoreRestored(AprGenerationRecord_t *record)
{
    record->claim_lost = record->claimed || record->claim_lost;
    record->revision = 0;
}

/* Records that an incarnation of the backend server holds keys under a
   generation. If that is above the stored one, the store has lost the record
   of this incarnation, and its present grants need the same generation. */
void
AprGenerationRecord_AdoptHeld(AprGenerationRecord_t *record,
                              const AprBackendIncarnation_t *incarnation,
                              int64_t generation)
{
    if (generation > record->generation) {
        record->incarnation = *incarnation;
        record->generation = generation;
        record->claimed = false;
        record->claim_lost = false;
    }
}
