#include "apricot/ring.h"

#include <ck_ring.h>
#include <errno.h>
#include <poll.h>
#include <stdlib.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include "apricot/error.h"

/* ThreadSanitizer does not see the atomic instructions that Concurrency Kit
   writes in assembly, so their memory ordering is annotated here. */
#ifdef __SANITIZE_THREAD__
void __tsan_acquire(void *address);
void __tsan_release(void *address);
#define TSAN_RELEASE(ring) __tsan_release(ring)
#define TSAN_ACQUIRE(ring) __tsan_acquire(ring)
#else
#define TSAN_RELEASE(ring)
#define TSAN_ACQUIRE(ring)
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

/* Frees a ring. The caller must first free the items that are still in it. */
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

/* Appends an item and wakes the reader. Never blocks: returns APR_E_FULL if
   there is no room. Thread safe. */
int
AprRing_Push(AprRing_t *ring, void *item)
{
    uint64_t one = 1;

    TSAN_RELEASE(ring);
    if (!ck_ring_enqueue_mpmc(&ring->ring, ring->buffer, item)) {
        return APR_E_FULL;
    }
    /* EAGAIN means that the eventfd counter is at its maximum; the descriptor
       is readable then, so the reader wakes anyway. */
    while (write(ring->wake_fd, &one, sizeof(one)) < 0 && errno == EINTR) {
    }
    return APR_OK;
}

/* Removes and returns the oldest item; NULL if the ring is empty. */
void *
AprRing_Pop(AprRing_t *ring)
{
    void *item = NULL;

    if (!ck_ring_dequeue_mpmc(&ring->ring, ring->buffer, &item)) {
        return NULL;
    }
    TSAN_ACQUIRE(ring);
    return item;
}

/* Returns a file descriptor for epoll or poll that is readable after a push
   until AprRing_ClearWake. The ring keeps ownership. */
int
AprRing_WakeFd(const AprRing_t *ring)
{
    return ring->wake_fd;
}

/* Makes the file descriptor unreadable until the next push. Call it before
   emptying the ring, so that an item pushed meanwhile wakes the reader
   again. */
void
AprRing_ClearWake(AprRing_t *ring)
{
    uint64_t count;

    while (read(ring->wake_fd, &count, sizeof(count)) < 0 && errno == EINTR) {
    }
}

/* Waits up to timeout_ms milliseconds for a push and then calls
   AprRing_ClearWake. Returns false on a timeout, or if a signal interrupts the
   wait. */
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

/* Returns the number of items, which other threads may change at any time. */
uint32_t
AprRing_Size(const AprRing_t *ring)
{
    return ck_ring_size(&ring->ring);
}
