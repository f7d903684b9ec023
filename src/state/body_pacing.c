#include "apricot/body_pacing.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

/* Time that the bytes under way may take on the link: the most that a small
   request waits behind them. Nested calls have objectives of 150 ms. */
#define WINDOW_MS 60

/* Bytes of one grant. Several senders then share the window, as the link of
   one sender may be busy. */
#define GRANT_BYTES 16384

/* Least bytes under way, for slow links. */
#define MIN_WINDOW_BYTES (2 * GRANT_BYTES)

/* After this many bytes a body waits for its next turn behind the others, so
   that a very large one does not keep them waiting. */
#define TURN_BYTES 131072

/* A sender that was granted bytes and sends none for this time is not waited
   for: it may be cut off. */
#define STALLED_MS 250

/* Sets the rate of the link in Mbit/s; 0: unknown. */
void
AprBodyPacing_Init(AprBodyPacing_t *pacing, double link_mbps)
{
    memset(pacing, 0, sizeof(*pacing));
    pacing->bytes_per_ms = link_mbps * 1e6 / 8 / 1000;
}

void
AprBodyPacing_Free(AprBodyPacing_t *pacing)
{
    free(pacing->bodies);
    memset(pacing, 0, sizeof(*pacing));
}

bool
AprBodyPacing_IsActive(const AprBodyPacing_t *pacing)
{
    return pacing->bytes_per_ms > 0;
}

/* Returns whether the sender of a body was granted bytes and sends none. */
static bool
is_stalled(const AprPacedBody_t *body, int64_t now_ms)
{
    return body->outstanding > 0 && now_ms - body->progress_ms >= STALLED_MS;
}

/* Returns the time in milliseconds until a new body gets its turn: each one
   before it counts with one turn at most, so that a very large or a stalled
   one does not keep all others out. */
int64_t
AprBodyPacing_WaitMs(const AprBodyPacing_t *pacing, int64_t now_ms)
{
    double bytes = 0;

    for (int i = 0; i < pacing->count; i++) {
        const AprPacedBody_t *body = &pacing->bodies[i];
        double left = (double)body->wanted + (double)body->outstanding;

        if (!is_stalled(body, now_ms)) {
            bytes += left < TURN_BYTES ? left : TURN_BYTES;
        }
    }
    return pacing->bytes_per_ms > 0
               ? (int64_t)fmin(bytes / pacing->bytes_per_ms, INT32_MAX)
               : 0;
}

static int
find_body(const AprBodyPacing_t *pacing, uint64_t id)
{
    for (int i = 0; i < pacing->count; i++) {
        if (pacing->bodies[i].id == id) {
            return i;
        }
    }
    return -1;
}

/* Adds a body of which `bytes` remain to be received; without a known length
   it counts as one grant until its end. Returns false if its turn comes later
   than in `time_left_ms`, or when out of memory: the call is refused without
   its body. The body itself does not count, so that one of any size is
   received while the link is idle. */
bool
AprBodyPacing_Offer(AprBodyPacing_t *pacing, uint64_t id, bool has_length,
                    uint64_t bytes, int64_t time_left_ms, int64_t now_ms)
{
    AprPacedBody_t *body;

    if (AprBodyPacing_WaitMs(pacing, now_ms) > time_left_ms &&
        pacing->count > 0) {
        return false;
    }
    if (pacing->count == pacing->capacity) {
        int capacity = pacing->capacity == 0 ? 16 : 2 * pacing->capacity;
        AprPacedBody_t *grown =
            realloc(pacing->bodies, (size_t)capacity * sizeof(*grown));

        if (grown == NULL) {
            return false;
        }
        pacing->bodies = grown;
        pacing->capacity = capacity;
    }
    body = &pacing->bodies[pacing->count++];
    memset(body, 0, sizeof(*body));
    body->id = id;
    body->has_length = has_length;
    body->wanted = has_length ? bytes : GRANT_BYTES;
    body->progress_ms = now_ms;
    return true;
}

/* Counts received bytes of a body. */
void
AprBodyPacing_Receive(AprBodyPacing_t *pacing, uint64_t id, size_t size,
                      int64_t now_ms)
{
    int index = find_body(pacing, id);

    if (index >= 0) {
        AprPacedBody_t *body = &pacing->bodies[index];

        size_t granted = size < body->outstanding ? size : body->outstanding;
        uint64_t early = size - granted; /* sent without a grant */

        body->outstanding -= granted;
        body->wanted -= early < body->wanted ? early : body->wanted;
        body->progress_ms = now_ms;
        if (!body->has_length && body->outstanding == 0) {
            body->wanted = GRANT_BYTES;
        }
    }
}

/* Removes a body that was received or is no longer wanted. Unknown ids are
   ignored. */
void
AprBodyPacing_Remove(AprBodyPacing_t *pacing, uint64_t id)
{
    int index = find_body(pacing, id);

    if (index >= 0) {
        pacing->count--;
        memmove(&pacing->bodies[index], &pacing->bodies[index + 1],
                (size_t)(pacing->count - index) * sizeof(*pacing->bodies));
    }
}

/* Returns the bytes under way from senders that send. */
static size_t
outstanding_bytes(const AprBodyPacing_t *pacing, int64_t now_ms)
{
    size_t sum = 0;

    for (int i = 0; i < pacing->count; i++) {
        const AprPacedBody_t *body = &pacing->bodies[i];

        if (!is_stalled(body, now_ms)) {
            sum += body->outstanding;
        }
    }
    return sum;
}

/* Lets the body at an index wait behind all others. */
static void
move_to_end(AprBodyPacing_t *pacing, int index)
{
    AprPacedBody_t body = pacing->bodies[index];

    memmove(&pacing->bodies[index], &pacing->bodies[index + 1],
            (size_t)(pacing->count - 1 - index) * sizeof(body));
    pacing->bodies[pacing->count - 1] = body;
}

/* Returns the number of bytes that the sender of the body `*id` may send now
   in addition; 0 when there is nothing to grant. */
size_t
AprBodyPacing_NextGrant(AprBodyPacing_t *pacing, uint64_t *id, int64_t now_ms)
{
    double window = WINDOW_MS * pacing->bytes_per_ms;
    size_t limit =
        window > MIN_WINDOW_BYTES ? (size_t)window : MIN_WINDOW_BYTES;

    if (outstanding_bytes(pacing, now_ms) + GRANT_BYTES > limit) {
        return 0;
    }
    for (int i = 0; i < pacing->count; i++) {
        AprPacedBody_t *body = &pacing->bodies[i];
        size_t size =
            body->wanted < GRANT_BYTES ? (size_t)body->wanted : GRANT_BYTES;

        if (size == 0 || is_stalled(body, now_ms)) {
            continue;
        }
        *id = body->id;
        body->wanted -= size;
        body->outstanding += size;
        body->granted += size;
        body->progress_ms = now_ms;
        if (body->granted % TURN_BYTES == 0 && body->wanted > 0) {
            move_to_end(pacing, i);
        }
        return size;
    }
    return 0;
}
