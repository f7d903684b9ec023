#ifndef APRICOT_KEY_MAP_H
#define APRICOT_KEY_MAP_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "apricot/record.h"

#define APR_KEY_COUNT 65536

/* A map is stored in parts of this many keys. Changes of different parts do
   not exclude each other, and each change is short. */
#define APR_KEY_PARTS 16
#define APR_KEYS_PER_PART (APR_KEY_COUNT / APR_KEY_PARTS)
#define APR_BACKEND_ID_SIZE 64

/* One life of a backend server: a restart under the same id has a later
   birth. */
typedef struct AprBackendLife_t {
    char id[APR_BACKEND_ID_SIZE];
    int64_t born_ms; /* since 1970 */
} AprBackendLife_t;

/* Consecutive keys with one owner, the present backend server of a host. An
   empty host means that nobody owns them. */
typedef struct AprKeyRange_t {
    int first;
    int last; /* inclusive */
    char host[APR_NAME_SIZE];
    int64_t fence; /* rises with each change of the owner */
    /* Host whose backend server must release the keys first; empty when no
       grant of an earlier owner can be in force. */
    char releasing_host[APR_NAME_SIZE];
} AprKeyRange_t;

/* All keys of one service: ranges in ascending order without gaps. */
typedef struct AprKeyMap_t {
    int64_t last_fence;
    AprKeyRange_t *ranges;
    int count;
    int capacity;
} AprKeyMap_t;

int AprKeyMap_Init(AprKeyMap_t *map);
void AprKeyMap_Free(AprKeyMap_t *map);
int AprKeyMap_Copy(AprKeyMap_t *to, const AprKeyMap_t *from);
int AprKeyMap_ReadPart(AprKeyMap_t *map, int part, const char *text,
                       size_t size);
char *AprKeyMap_PartText(const AprKeyMap_t *map, int part);
int AprKeyMap_CopyPart(AprKeyMap_t *to, const AprKeyMap_t *from, int part);
uint32_t AprKeyMap_ChangedParts(const AprKeyMap_t *left,
                                const AprKeyMap_t *right);
const AprKeyRange_t *AprKeyMap_Find(const AprKeyMap_t *map, int key);
int AprKeyMap_Assign(AprKeyMap_t *map, int first, int last, const char *host,
                     const char *releasing_host);
int AprKeyMap_Withhold(AprKeyMap_t *map, const AprKeyMap_t *proposal,
                       const char *host);
void AprKeyMap_Merge(AprKeyMap_t *map);
int AprKeyMap_CountOf(const AprKeyMap_t *map, const char *host);
bool AprBackendLife_Equal(const AprBackendLife_t *left,
                          const AprBackendLife_t *right);

#endif
