#ifndef APRICOT_INTERNAL_CALL_H
#define APRICOT_INTERNAL_CALL_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "apricot/record.h"
#include "apricot/route_table.h"

/* Bytes of a body that may be on their way between two processes before the
   receiver has passed them on. */
#define APR_CALL_WINDOW 262144

#define APR_CALL_ID_SIZE 80
#define APR_NO_KEY (-1)

/* A request on its way to a backend server. Points in time are milliseconds
   of this process's steady clock. */
typedef struct AprCallHead_t {
    char id[APR_CALL_ID_SIZE]; /* the caller's id of this attempt */
    char method[24];
    char *target;  /* path and query */
    char *headers; /* "Name: value\r\n" lines that are passed on */
    char service[APR_ROUTE_NAME_SIZE];
    char caller[APR_ROUTE_NAME_SIZE]; /* service on the entry's host */
    char route[APR_ROUTE_NAME_SIZE];
    bool idempotent;
    bool has_deadline; /* the caller set one */
    bool nested;       /* called by a request that a backend server runs */
    int rank;
    int key; /* APR_NO_KEY: none */
    int64_t arrived_ms;
    int64_t objective_ms;
    int64_t deadline_ms;
    bool has_length;
    uint64_t length; /* of the body */
    uint64_t config_version;
} AprCallHead_t;

/* Head of an answer of a backend server. */
typedef struct AprAnswerHead_t {
    int status;
    char *headers; /* "Name: value\r\n" lines */
    bool has_length;
    uint64_t length;
} AprAnswerHead_t;

/* Why a call got no answer of a backend server. */
typedef enum AprCallError_t {
    APR_CALL_FULL,        /* no place before the deadline */
    APR_CALL_NOT_OWNER,   /* the keys belong to another host */
    APR_CALL_NO_BACKEND,  /* no usable backend server here */
    APR_CALL_LEAVING,     /* the backend server takes no new work */
    APR_CALL_SHED,        /* the backend server refused it */
    APR_CALL_UNREACHABLE, /* the host or backend server refused to connect */
    APR_CALL_BROKEN,      /* the connection ended without an answer */
    APR_CALL_TIMEOUT,     /* the deadline passed */
    APR_CALL_BAD_ANSWER,  /* the bytes were no answer */
    APR_CALL_ERROR_COUNT
} AprCallError_t;

typedef struct AprCallFailure_t {
    AprCallError_t error;
    bool not_run; /* it has not run and never will */
    int64_t retry_after_ms;
} AprCallFailure_t;

/* Receives the outcome of a call: one answer with its body and end, or one
   failure. A failure may also follow the answer's head. */
typedef struct AprCallSink_t {
    void (*answer)(void *context, const AprAnswerHead_t *head);
    void (*data)(void *context, const char *data, size_t size);
    void (*end)(void *context);
    void (*fail)(void *context, const AprCallFailure_t *failure);
    /* The receiver of the request took `size` bytes of its body. */
    void (*taken)(void *context, size_t size);
} AprCallSink_t;

/* A call under way, at the local backend server or on a link. */
typedef struct AprCallOps_t {
    void (*body)(void *call, const char *data, size_t size, bool end);
    /* `size` bytes of the answer were passed on. */
    void (*taken)(void *call, size_t size);
    /* Ends the call without a further callback. */
    void (*cancel)(void *call);
} AprCallOps_t;

typedef struct AprCallRef_t {
    const AprCallOps_t *ops;
    void *call; /* NULL: none */
} AprCallRef_t;

int AprCallHead_Copy(AprCallHead_t *to, const AprCallHead_t *from);
void AprCallHead_Clear(AprCallHead_t *head);
const char *AprCallError_Name(AprCallError_t error);

#endif
