#ifndef APRICOT_INTERNAL_STREAM_H
#define APRICOT_INTERNAL_STREAM_H

#include <ev.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "apricot/memory_budget.h"

/* Growable byte buffer; the bytes from `start` up to `end` are in use. */
typedef struct AprBuffer_t {
    char *data;
    size_t start;
    size_t end;
    size_t capacity;
} AprBuffer_t;

size_t AprBuffer_Size(const AprBuffer_t *buffer);
const char *AprBuffer_Data(const AprBuffer_t *buffer);
int AprBuffer_Append(AprBuffer_t *buffer, const void *data, size_t size);
int AprBuffer_AppendFormat(AprBuffer_t *buffer, const char *format, ...)
    __attribute__((format(printf, 2, 3)));
void AprBuffer_Consume(AprBuffer_t *buffer, size_t size);
void AprBuffer_Free(AprBuffer_t *buffer);
char *AprBuffer_Release(AprBuffer_t *buffer);
size_t AprBuffer_TotalCapacity(void);

typedef struct AprStream_t AprStream_t;

typedef struct AprStreamHandler_t {
    /* Bytes were received; `data` is valid during the callback only. */
    void (*on_data)(void *context, const char *data, size_t size);
    /* The peer closed (error 0) or the connection failed (errno). Called at
       most once and not after AprStream_Close. */
    void (*on_close)(void *context, int error);
    /* All written bytes were passed to the kernel; may be NULL. */
    void (*on_flushed)(void *context);
} AprStreamHandler_t;

/* The streams of one event loop. Before the loop polls, the set sends what was
   written to its streams during the iteration and frees closed streams. */
typedef struct AprStreamSet_t {
    struct ev_loop *loop;
    ev_prepare flush_watcher;
    AprStream_t *to_flush;
    AprStream_t *closed_streams;
    /* Bytes that were written to established connections and not passed to the
       kernel yet. */
    size_t unsent_bytes;
    bool lagging; /* the process lags: received bytes may be outdated */
    AprStream_t *streams;     /* that are not closed */
    int open_count;           /* of `streams` */
    int receive_window_bytes; /* of each socket; 0: chosen by the kernel */
    /* Called before bytes are read, to make room for them; may close any
       stream. NULL: none. */
    void (*make_room)(void *context);
    void *make_room_context;
    /* Bytes from streams of a kind that their owners hold; see
       AprStreamSet_AddReceived(). */
    size_t received_by_kind[APR_MEMORY_KIND_COUNT];
    bool kind_paused[APR_MEMORY_KIND_COUNT]; /* these streams are not read */
} AprStreamSet_t;

void AprStreamSet_Init(AprStreamSet_t *set, struct ev_loop *loop);
void AprStreamSet_Flush(AprStreamSet_t *set);

void AprStreamSet_AddReceived(AprStreamSet_t *set, AprMemoryKind_t kind,
                              size_t before, size_t now);
void AprStreamSet_SetKindPaused(AprStreamSet_t *set, AprMemoryKind_t kind,
                                bool pause);

int AprStream_Listen(const char *address);
AprStream_t *AprStream_Open(AprStreamSet_t *set, int fd,
                            const AprStreamHandler_t *handler, void *context);
AprStream_t *AprStream_Connect(AprStreamSet_t *set, const char *address,
                               const AprStreamHandler_t *handler,
                               void *context);
size_t AprStreamSet_Measure(AprStreamSet_t *set, int64_t now_ms);
bool AprStreamSet_AbortStalled(AprStreamSet_t *set, int64_t now_ms,
                               int64_t min_ms);
AprStream_t *AprStreamSet_FindDraining(AprStreamSet_t *set, int64_t now_ms,
                                       double *score);
void AprStream_SetKind(AprStream_t *stream, AprMemoryKind_t kind);
size_t AprStream_HeldBytes(const AprStream_t *stream);
size_t AprStream_UnsentBytes(const AprStream_t *stream);
size_t AprStream_CountUnread(const AprStream_t *stream);
int AprStream_UnacknowledgedBytes(const AprStream_t *stream);
uint64_t AprStream_SentBytes(const AprStream_t *stream);
void AprStream_Write(AprStream_t *stream, const void *data, size_t size);
bool AprStream_IsConnecting(const AprStream_t *stream);
bool AprStream_HasReceivedBytes(const AprStream_t *stream);
void AprStream_SetReadPaused(AprStream_t *stream, bool pause);
void AprStream_AllowPausedReader(AprStream_t *stream);
void AprStream_EnableDropAbandoned(AprStream_t *stream);
void AprStream_EndWriting(AprStream_t *stream);
void AprStream_Close(AprStream_t *stream);
void AprStream_Abort(AprStream_t *stream);
void AprStream_CloseAfterFlush(AprStream_t *stream);

#endif
