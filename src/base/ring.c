#include "apricot/ring.h"

#include <ck_ring.h>
#include <errno.h>
#include <poll.h>
#include <stdlib.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include "apricot/error.h"

/* ThreadSanitizer does not see the atomic instructions that Concurrency Kit
   writes in assembly, so the order that they guarantee is told to it. */
#ifdef __SANITIZE_THREAD__
void __tsan_acquire(void *address);
void __tsan_release(void *address);
#define NOTE_BEFORE_PUSH(ring) __tsan_release(ring)
#define NOTE_AFTER_POP(ring) __tsan_acquire(ring)
#else
#define NOTE_BEFORE_PUSH(ring)
#define NOTE_AFTER_POP(ring)
#endif

struct AprRing_t {
    ck_ring_t ring;
    ck_ring_buffer_t *buffer;
    int wake_fd;
};

static uint32_t
next_power_of_two(uint32_t value)
{
    uint32_t power = 4; /* the smallest size that ck_ring accepts */

    while (power < value) {
        power *= 2;
    }
    return power;
}

/* Creates a ring for at least `capacity` items. Returns NULL when memory or
   file descriptors run out. */
AprRing_t *
AprRing_New(uint32_t capacity)
{
    /* ck_ring keeps one slot free to tell full from empty. */
    uint32_t size = next_power_of_two(capacity + 1);
    AprRing_t *ring = calloc(1, sizeof(*ring));

    if (ring == NULL) {
        return NULL;
    }
    ring->wake_fd = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
    ring->buffer = calloc(size, sizeof(*ring->buffer));
    if (ring->wake_fd < 0 || ring->buffer == NULL) {
        goto error;
    }
    ck_ring_init(&ring->ring, size);
    return ring;

error:
    if (ring->wake_fd >= 0) {
        close(ring->wake_fd);
    }
    free(ring->buffer);
    free(ring);
    return NULL;
}

/* Frees a ring; items still in it are the caller's to free first. */
void
AprRing_Free(AprRing_t *ring)
{
    if (ring == NULL) {
        return;
    }
    close(ring->wake_fd);
    free(ring->buffer);
    free(ring);
}

/* Appends an item and wakes the reader. Never waits: returns APR_E_FULL when
   there is no room. Safe from any thread. */
int
AprRing_Push(AprRing_t *ring, void *item)
{
    uint64_t one = 1;

    NOTE_BEFORE_PUSH(ring);
    if (!ck_ring_enqueue_mpmc(&ring->ring, ring->buffer, item)) {
        return APR_E_FULL;
    }
    /* A full eventfd counter already wakes the reader, so EAGAIN is fine. */
    while (write(ring->wake_fd, &one, sizeof(one)) < 0 && errno == EINTR) {
    }
    return APR_OK;
}

/* Takes the oldest item, or NULL when the ring is empty. */
void *
AprRing_Pop(AprRing_t *ring)
{
    void *item = NULL;

    if (!ck_ring_dequeue_mpmc(&ring->ring, ring->buffer, &item)) {
        return NULL;
    }
    NOTE_AFTER_POP(ring);
    return item;
}

/* File descriptor that is readable while something was pushed since the last
   AprRing_ClearWake; for epoll loops. */
int
AprRing_Fd(const AprRing_t *ring)
{
    return ring->wake_fd;
}

/* Resets the wake-up. Called before the ring is emptied, so that an item
   pushed meanwhile wakes the reader again. */
void
AprRing_ClearWake(AprRing_t *ring)
{
    uint64_t count;

    while (read(ring->wake_fd, &count, sizeof(count)) < 0 && errno == EINTR) {
    }
}

/* Waits until something is pushed or the time in milliseconds is over, and
   clears the wake-up. Returns false on a timeout. */
bool
AprRing_Wait(AprRing_t *ring, int timeout_ms)
{
    struct pollfd descriptor = {ring->wake_fd, POLLIN, 0};

    if (poll(&descriptor, 1, timeout_ms) <= 0) {
        return false;
    }
    AprRing_ClearWake(ring);
    return true;
}

/* Number of items that wait; a snapshot. */
uint32_t
AprRing_Size(const AprRing_t *ring)
{
    return ck_ring_size(&ring->ring);
}
