#ifndef APRICOT_BODY_PACING_H
#define APRICOT_BODY_PACING_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Decides when other hosts send the request bodies of their calls. Load: a
   burst of uploads that needs more than the link of a host carries. Without
   pacing all of them are under way at once, all end after their deadlines, and
   the small requests behind them are late as well. */

/* Part of a body that is sent with its call, without a grant. */
#define APR_BODY_UNPACED_BYTES 8192

/* A body that is being received. */
typedef struct AprPacedBody_t {
    uint64_t id;
    bool has_length;
    uint64_t wanted;     /* bytes without a grant yet */
    size_t outstanding;  /* bytes with a grant, not received yet */
    uint64_t granted;    /* bytes with a grant in all */
    int64_t progress_ms; /* last grant or receipt */
} AprPacedBody_t;

typedef struct AprBodyPacing_t {
    double bytes_per_ms;    /* of the link; 0: unknown, nothing is paced */
    AprPacedBody_t *bodies; /* in the order of their turns */
    int count;
    int capacity;
} AprBodyPacing_t;

void AprBodyPacing_Init(AprBodyPacing_t *pacing, double link_mbps);
void AprBodyPacing_Free(AprBodyPacing_t *pacing);
bool AprBodyPacing_IsActive(const AprBodyPacing_t *pacing);
int64_t AprBodyPacing_WaitMs(const AprBodyPacing_t *pacing, int64_t now_ms);
bool AprBodyPacing_Offer(AprBodyPacing_t *pacing, uint64_t id, bool has_length,
                         uint64_t bytes, int64_t time_left_ms, int64_t now_ms);
void AprBodyPacing_Receive(AprBodyPacing_t *pacing, uint64_t id, size_t size,
                           int64_t now_ms);
void AprBodyPacing_Remove(AprBodyPacing_t *pacing, uint64_t id);
size_t AprBodyPacing_NextGrant(AprBodyPacing_t *pacing, uint64_t *id,
                               int64_t now_ms);

#endif
