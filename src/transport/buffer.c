/* Growable byte buffers. */

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "apricot/error.h"
#include "internal/stream.h"

#define BUFFER_MIN_CAPACITY 512

/* A buffer with a larger capacity in bytes is freed as soon as it is empty, so
   that one long body does not raise the memory use of an idle connection. */
#define BUFFER_MAX_IDLE_CAPACITY 4096

/* A larger buffer grows by a quarter instead of to the double, so that its
   capacity stays close to what it holds. */
#define BUFFER_DOUBLING_MAX 65536

/* Capacity of all buffers of this thread. */
static _Thread_local size_t total_capacity;

/* Returns the memory of all buffers of the calling thread. */
size_t
AprBuffer_TotalCapacity(void)
{
    return total_capacity;
}

/* Returns the number of bytes in use. */
size_t
AprBuffer_Size(const AprBuffer_t *buffer)
{
    return buffer->end - buffer->start;
}

/* Returns the first byte in use; valid until the buffer changes. */
const char *
AprBuffer_Data(const AprBuffer_t *buffer)
{
    return buffer->data + buffer->start;
}

static int
reserve_capacity(AprBuffer_t *buffer, size_t size)
{
    size_t used = AprBuffer_Size(buffer);
    size_t capacity =
        buffer->capacity == 0 ? BUFFER_MIN_CAPACITY : buffer->capacity;
    char *data;

    if (buffer->end + size <= buffer->capacity) {
        return APR_OK;
    }
    if (buffer->start > 0) {
        memmove(buffer->data, buffer->data + buffer->start, used);
        buffer->start = 0;
        buffer->end = used;
    }
    while (capacity < used + size) {
        capacity += capacity < BUFFER_DOUBLING_MAX ? capacity : capacity / 4;
    }
    if (capacity > buffer->capacity) {
        data = realloc(buffer->data, capacity);
        if (data == NULL) {
            return APR_E_NOMEM;
        }
        total_capacity += capacity - buffer->capacity;
        buffer->data = data;
        buffer->capacity = capacity;
    }
    return APR_OK;
}

/* Appends bytes. Returns APR_E_NOMEM when memory runs out. */
int
AprBuffer_Append(AprBuffer_t *buffer, const void *data, size_t size)
{
    if (size == 0) {
        return APR_OK;
    }
    if (reserve_capacity(buffer, size) != APR_OK) {
        return APR_E_NOMEM;
    }
    memcpy(buffer->data + buffer->end, data, size);
    buffer->end += size;
    return APR_OK;
}

/* Appends formatted text without its terminating NUL. Returns APR_E_NOMEM when
   memory runs out. */
int
AprBuffer_AppendFormat(AprBuffer_t *buffer, const char *format, ...)
{
    va_list arguments;
    int size;

    va_start(arguments, format);
    size = vsnprintf(NULL, 0, format, arguments);
    va_end(arguments);
    if (size < 0 || reserve_capacity(buffer, (size_t)size + 1) != APR_OK) {
        return APR_E_NOMEM;
    }
    va_start(arguments, format);
    vsnprintf(buffer->data + buffer->end, (size_t)size + 1, format, arguments);
    va_end(arguments);
    buffer->end += (size_t)size;
    return APR_OK;
}

/* Removes bytes from the front; a large buffer that becomes empty is freed. */
void
AprBuffer_Consume(AprBuffer_t *buffer, size_t size)
{
    buffer->start += size;
    if (buffer->start == buffer->end) {
        buffer->start = 0;
        buffer->end = 0;
        if (buffer->capacity > BUFFER_MAX_IDLE_CAPACITY) {
            AprBuffer_Free(buffer);
        }
    }
}

/* Frees the memory; the buffer is empty and usable afterwards. */
void
AprBuffer_Free(AprBuffer_t *buffer)
{
    total_capacity -= buffer->capacity;
    free(buffer->data);
    memset(buffer, 0, sizeof(*buffer));
}

/* Returns the bytes, which the caller frees with free(), or NULL; the buffer
   is empty and usable afterwards. */
char *
AprBuffer_Release(AprBuffer_t *buffer)
{
    char *data = buffer->data;

    total_capacity -= buffer->capacity;
    memset(buffer, 0, sizeof(*buffer));
    return data;
}
