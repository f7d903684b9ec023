#ifndef APRICOT_KEY_MAP_H
#define APRICOT_KEY_MAP_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "apricot/record.h"

#define APR_KEY_COUNT 65536

/* Number of parts in which a map is stored. Changes of different parts do not
   conflict with each other, and each change is short. */
#define APR_KEY_PARTS 16
#define APR_KEYS_PER_PART (APR_KEY_COUNT / APR_KEY_PARTS)
#define APR_BACKEND_ID_SIZE 64

/* Identifies one incarnation of a backend server: a restart under the same id
   has a later start time. */
typedef struct AprBackendIncarnation_t {
    char id[APR_BACKEND_ID_SIZE];
    int64_t started_ms; /* start time in milliseconds since 1970 */
} AprBackendIncarnation_t;

/* Consecutive keys with one owner, the current backend server of a host. An
   empty host name means that the keys have no owner. */
typedef struct AprKeyRange_t {
    int first;
    int last; /* inclusive */
    char host[APR_NAME_SIZE];
    int64_t fence; /* fencing token; increases with each change of the owner */
    /* Host whose backend server has to release the keys first. Empty when no
       grant of an earlier owner can be in force. */
    char releasing_host[APR_NAME_SIZE];
} AprKeyRange_t;

/* The key map of one service: ranges in ascending order that cover all keys
   without gaps. */
typedef struct AprKeyMap_t {
    int64_t last_fence; /* highest fencing token in the map */
    AprKeyRange_t *ranges;
    int count;
    int capacity;
} AprKeyMap_t;

int AprKeyMap_Init(AprKeyMap_t *map);
void AprKeyMap_Free(AprKeyMap_t *map);
int AprKeyMap_Copy(AprKeyMap_t *to, const AprKeyMap_t *from);
int AprKeyMap_ParsePart(AprKeyMap_t *map, int part, const char *text,
                        size_t size);
char *AprKeyMap_SerializePart(const AprKeyMap_t *map, int part);
int AprKeyMap_CopyPart(AprKeyMap_t *to, const AprKeyMap_t *from, int part);
uint32_t AprKeyMap_ChangedParts(const AprKeyMap_t *left,
                                const AprKeyMap_t *right);
const AprKeyRange_t *AprKeyMap_FindRange(const AprKeyMap_t *map, int key);
int AprKeyMap_Assign(AprKeyMap_t *map, int first, int last, const char *host,
                     const char *releasing_host);
int AprKeyMap_UnassignChangedKeys(AprKeyMap_t *map,
                                  const AprKeyMap_t *proposal,
                                  const char *host);
int AprKeyMap_JoinPart(AprKeyMap_t *map, const AprKeyMap_t *other, int part,
                       const char *only_of);
int AprKeyMap_JoinHeld(AprKeyMap_t *map, int first, int last, int64_t fence,
                       const char *host);
int64_t AprKeyMap_EraFence(int64_t era);
void AprKeyMap_RaiseFence(AprKeyMap_t *map, int64_t era);
int AprKeyMap_UnassignUnheldKeys(AprKeyMap_t *map, const char *host,
                                 int64_t below_fence,
                                 const AprKeyRange_t *held, int held_count);
void AprKeyMap_MergeRanges(AprKeyMap_t *map);
int AprKeyMap_CountKeysOf(const AprKeyMap_t *map, const char *host);
bool AprBackendIncarnation_Equal(const AprBackendIncarnation_t *left,
                                 const AprBackendIncarnation_t *right);

#endif
