#ifndef APRICOT_INTERNAL_CALL_H
#define APRICOT_INTERNAL_CALL_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "apricot/record.h"
#include "apricot/route_table.h"

/* Flow-control window in bytes: the sender of a body stops reading its source
   while more than this is unacknowledged by the receiver. */
#define APR_CALL_WINDOW_BYTES 262144

/* Time after the deadline that a response from the other end of a call may
   take to arrive. */
#define APR_RESPONSE_GRACE_MS 200

#define APR_CALL_ID_SIZE 80
#define APR_NO_KEY (-1)

/* Head of a request for a backend server, with its routing data. Points in
   time are milliseconds of this process's monotonic clock. */
typedef struct AprCallHead_t {
    char id[APR_CALL_ID_SIZE]; /* from the caller's; see AprCallId_Set() */
    char method[24];
    char *target;  /* path and query; owned */
    char *headers; /* forwarded "Name: value\r\n" lines; owned */
    char service[APR_ROUTE_NAME_SIZE];
    char caller[APR_ROUTE_NAME_SIZE]; /* service of the caller's host */
    char route[APR_ROUTE_NAME_SIZE];
    bool idempotent;
    bool has_deadline; /* the caller sent a time limit */
    bool nested;       /* made by a request that a backend server runs */
    int rank;          /* priority; 0 is the most urgent */
    int key;           /* APR_NO_KEY: none */
    /* Start of the caller's first attempt, as far as it can be told. */
    int64_t arrived_ms;
    int64_t objective_ms; /* target time of the response */
    int64_t deadline_ms;  /* the caller stops waiting */
    bool has_length;
    uint64_t length;         /* of the body; valid if has_length */
    uint64_t config_version; /* of the route table that routed it */
} AprCallHead_t;

/* Status line and headers of a backend server's response. */
typedef struct AprResponseHead_t {
    int status;
    char *headers; /* "Name: value\r\n" lines */
    bool has_length;
    uint64_t length; /* of the body; valid if has_length */
} AprResponseHead_t;

/* Why a call failed. The numeric values are sent between gateways. */
typedef enum AprCallError_t {
    APR_CALL_FULL, /* queue full, deadline not reachable, or key not granted */
    APR_CALL_NOT_OWNER,   /* another host owns the key or runs the service */
    APR_CALL_NO_BACKEND,  /* no usable backend server on the host */
    APR_CALL_LEAVING,     /* the backend server or gateway is shutting down */
    APR_CALL_SHED,        /* the backend server did not execute the request */
    APR_CALL_UNREACHABLE, /* no connection to the host or backend server */
    APR_CALL_BROKEN,      /* the connection closed before the whole response */
    APR_CALL_TIMEOUT,     /* the deadline passed */
    APR_CALL_BAD_ANSWER,  /* the response is not valid HTTP */
    APR_CALL_ERROR_COUNT
} AprCallError_t;

typedef struct AprCallFailure_t {
    AprCallError_t error;
    bool not_run;           /* the request was not and will not be executed */
    int64_t retry_after_ms; /* delay until a retry may succeed; 0: unknown */
} AprCallFailure_t;

/* Callbacks with the outcome of a call: one response head, its body parts and
   its end, or one failure. A failure may also follow the response head. The
   arguments are valid during the callback only. */
typedef struct AprCallHandlers_t {
    void (*on_response_head)(void *context, const AprResponseHead_t *head);
    void (*on_data)(void *context, const char *data, size_t size);
    void (*on_end)(void *context);
    void (*on_failure)(void *context, const AprCallFailure_t *failure);
    /* The receiver consumed `size` bytes of the request body. */
    void (*on_body_consumed)(void *context, size_t size);
    /* Returns whether the call would be sent again if it failed now with an
       unknown outcome. NULL: no. */
    bool (*may_repeat)(void *context);
} AprCallHandlers_t;

/* Operations on a call in progress, at the local backend server or on a
   link. */
typedef struct AprCallOps_t {
    /* Sends a part of the request body; `end` marks the last one. */
    void (*write_body)(void *call, const char *data, size_t size, bool end);
    /* Reports that `size` bytes of the response body were consumed. */
    void (*acknowledge_response)(void *call, size_t size);
    /* Ends the call; no callback follows. Calls no handler of another call
       either, as its caller may be about to close a connection. */
    void (*cancel)(void *call);
} AprCallOps_t;

/* Handle of a call in progress; invalid after on_end, on_failure or cancel. */
typedef struct AprCallRef_t {
    const AprCallOps_t *ops;
    void *call; /* NULL: none */
} AprCallRef_t;

int64_t AprCallHead_ResponseLimitMs(const AprCallHead_t *head,
                                    bool has_length);
int AprCallHead_Copy(AprCallHead_t *to, const AprCallHead_t *from);
void AprCallHead_Clear(AprCallHead_t *head);
const char *AprCallError_Name(AprCallError_t error);

void AprCallId_Set(char *id, const char *text, size_t size);

#endif
