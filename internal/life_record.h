#ifndef APRICOT_INTERNAL_LIFE_RECORD_H
#define APRICOT_INTERNAL_LIFE_RECORD_H

#include "apricot/grant_book.h"
#include "apricot/kv.h"

/* Stored record of the local backend server's generation, which increases with
   each of its incarnations and is part of every fencing token. Each host has a
   record of its own and is the only one to write it. Incarnations that start
   at the same time on many hosts therefore do not conflict, as changes of the
   key map would. */
typedef struct AprLifeRecord_t {
    AprBackendLife_t life; /* latest incarnation in the store */
    int64_t generation;    /* its generation in the store; 0: none */
    int64_t revision;      /* store revision of the record; 0: not stored */
    bool writing;
    AprBackendLife_t proposed; /* incarnation to write; valid if `writing` */
} AprLifeRecord_t;

int64_t AprLifeRecord_Generation(const AprLifeRecord_t *record,
                                 const AprBackendLife_t *life);
int AprLifeRecord_Read(AprLifeRecord_t *record, const AprKvItem_t *item);
char *AprLifeRecord_Propose(AprLifeRecord_t *record,
                            const AprBackendLife_t *life);
void AprLifeRecord_Done(AprLifeRecord_t *record, const AprKvResult_t *result);

#endif
