#ifndef APRICOT_INTERNAL_STREAM_H
#define APRICOT_INTERNAL_STREAM_H

#include <ev.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Bytes between `start` and `end` are in use. */
typedef struct AprBuffer_t {
    char *data;
    size_t start;
    size_t end;
    size_t capacity;
} AprBuffer_t;

size_t AprBuffer_Size(const AprBuffer_t *buffer);
const char *AprBuffer_Data(const AprBuffer_t *buffer);
int AprBuffer_Append(AprBuffer_t *buffer, const void *data, size_t size);
int AprBuffer_Print(AprBuffer_t *buffer, const char *format, ...)
    __attribute__((format(printf, 2, 3)));
void AprBuffer_Consume(AprBuffer_t *buffer, size_t size);
void AprBuffer_Free(AprBuffer_t *buffer);

typedef struct AprStream_t AprStream_t;

typedef struct AprStreamHandler_t {
    /* New bytes; whatever is not wanted later must be copied. */
    void (*on_data)(void *context, const char *data, size_t size);
    /* The peer closed (error 0) or the connection failed (errno). Called at
       most once and not after AprStream_Close. */
    void (*on_close)(void *context, int error);
    /* All written bytes were handed to the kernel; may be NULL. */
    void (*on_drain)(void *context);
} AprStreamHandler_t;

/* Owner of all streams of one event loop: writes are gathered during one pass
   of the loop and closed streams are freed after it. */
typedef struct AprStreamSet_t {
    struct ev_loop *loop;
    ev_prepare flush;
    AprStream_t *dirty;
    AprStream_t *closed;
    bool lagging; /* the process is behind: what it reads may be old */
} AprStreamSet_t;

void AprStreamSet_Init(AprStreamSet_t *set, struct ev_loop *loop);

int AprStream_Listen(const char *address);
AprStream_t *AprStream_Open(AprStreamSet_t *set, int fd,
                            const AprStreamHandler_t *handler, void *context);
AprStream_t *AprStream_Connect(AprStreamSet_t *set, const char *address,
                               const AprStreamHandler_t *handler,
                               void *context);
void AprStream_Write(AprStream_t *stream, const void *data, size_t size);
bool AprStream_Connecting(const AprStream_t *stream);
void AprStream_ReadPause(AprStream_t *stream, bool pause);
/* Bytes whose sender has closed already are dropped while the process is
   behind, as nobody waits for what they ask. */
void AprStream_DropAbandoned(AprStream_t *stream);
void AprStream_Close(AprStream_t *stream);
void AprStream_Abort(AprStream_t *stream);
void AprStream_CloseAfterFlush(AprStream_t *stream);

#endif
