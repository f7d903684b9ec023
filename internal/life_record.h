#ifndef APRICOT_INTERNAL_LIFE_RECORD_H
#define APRICOT_INTERNAL_LIFE_RECORD_H

#include "apricot/grant_book.h"
#include "apricot/kv.h"

/* The generation of the local backend server: each of its lives gets a higher
   one, which is part of every fencing token. Only this host writes the stored
   item, so that lives which begin at the same moment on many hosts do not wait
   for each other as changes of the key map would. */
typedef struct AprLifeRecord_t {
    AprBackendLife_t life; /* latest one that the store knows */
    int64_t generation;    /* of that life; 0: none */
    int64_t revision;      /* of the item; 0: not stored */
    bool writing;
    AprBackendLife_t proposed; /* while `writing` */
} AprLifeRecord_t;

int64_t AprLifeRecord_Generation(const AprLifeRecord_t *record,
                                 const AprBackendLife_t *life);
int AprLifeRecord_Read(AprLifeRecord_t *record, const AprKvItem_t *item);
char *AprLifeRecord_Propose(AprLifeRecord_t *record,
                            const AprBackendLife_t *life);
void AprLifeRecord_Done(AprLifeRecord_t *record, const AprKvResult_t *result);

#endif
