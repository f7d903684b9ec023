#ifndef APRICOT_INTERNAL_GENERATION_RECORD_H
#define APRICOT_INTERNAL_GENERATION_RECORD_H

#include "apricot/grant_table.h"
#include "apricot/kv.h"

/* Stored record of the local backend server's generation, which increases with
   each of its incarnations and is part of every fencing token. Each host has a
   record of its own and is the only one to write it. Incarnations that start
   at the same time on many hosts therefore do not conflict, as changes of the
   key map would.

   A process writes the record once before it grants keys (it claims the
   record), also if the incarnation stays the same. Changes of the key map that
   an earlier process sent are conditional on the previous revision, so that
   none of them can be carried out any more. */
typedef struct AprGenerationRecord_t {
    AprBackendIncarnation_t incarnation; /* latest incarnation in the store */
    int64_t generation;                  /* in the store; 0: none */
    int64_t revision; /* store revision of the record; 0: not stored */
    bool claimed;     /* this process wrote that revision */
    /* The store has lost the claim of this process, which stays in force but
       has to be written again. */
    bool claim_lost;
    bool write_pending;
    /* Incarnation and generation to write; valid if `write_pending`. */
    AprBackendIncarnation_t proposed;
    int64_t proposed_generation;
} AprGenerationRecord_t;

int64_t AprGenerationRecord_Find(const AprGenerationRecord_t *record,
                                 const AprBackendIncarnation_t *incarnation);
int64_t
AprGenerationRecord_FindClaimed(const AprGenerationRecord_t *record,
                                const AprBackendIncarnation_t *incarnation);
int AprGenerationRecord_Update(AprGenerationRecord_t *record,
                               const AprKvItem_t *item);
char *
AprGenerationRecord_BeginWrite(AprGenerationRecord_t *record,
                               const AprBackendIncarnation_t *incarnation);
void AprGenerationRecord_EndWrite(AprGenerationRecord_t *record,
                                  const AprKvResult_t *result);
void AprGenerationRecord_OnStoreRestored(AprGenerationRecord_t *record);
void AprGenerationRecord_AdoptHeld(AprGenerationRecord_t *record,
                                   const AprBackendIncarnation_t *incarnation,
                                   int64_t generation);

#endif
