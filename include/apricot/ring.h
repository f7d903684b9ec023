#ifndef APRICOT_RING_H
#define APRICOT_RING_H

#include <stdbool.h>
#include <stdint.h>

/* Bounded queue of pointers from any number of threads to one reader, with a
   file descriptor that becomes readable when an item is pushed. The ring does
   not own the items. */
typedef struct AprRing_t AprRing_t;

AprRing_t *AprRing_New(uint32_t capacity);
void AprRing_Free(AprRing_t *ring);
int AprRing_Push(AprRing_t *ring, void *item);
void *AprRing_Pop(AprRing_t *ring);
int AprRing_WakeFd(const AprRing_t *ring);
void AprRing_ClearWake(AprRing_t *ring);
bool AprRing_Wait(AprRing_t *ring, int timeout_ms);
uint32_t AprRing_Size(const AprRing_t *ring);

#endif
