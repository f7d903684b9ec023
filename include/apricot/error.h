#ifndef APRICOT_ERROR_H
#define APRICOT_ERROR_H

/* Error codes are negative; APR_OK is zero. */
enum {
    APR_OK = 0,
    APR_E_NOMEM = -1,
    APR_E_INVALID = -2,
    APR_E_PARSE = -3,
    APR_E_IO = -4,
    APR_E_TIMEOUT = -5,
    APR_E_CLOSED = -6,
    APR_E_AUTH = -7,
    APR_E_CONFLICT = -8,        /* another writer won a compare-and-swap */
    APR_E_UNKNOWN_OUTCOME = -9, /* the operation may have taken effect */
    APR_E_UNAVAILABLE = -10,    /* the operation did not take effect */
    APR_E_FULL = -11,
    APR_E_NOT_FOUND = -12,
    APR_E_STALE = -13,
    APR_E_REPLAY = -14,
    APR_E_TOO_LARGE = -15,
    APR_E_EXISTS = -16
};

/* Step of a request or operation in which an error occurred. */
typedef enum AprStep_t {
    APR_STEP_NONE,
    APR_STEP_SETTINGS,
    APR_STEP_CONFIG,
    APR_STEP_ENTRY,
    APR_STEP_ROUTE,
    APR_STEP_FORWARD,
    APR_STEP_OWNER,
    APR_STEP_QUEUE,
    APR_STEP_BACKEND,
    APR_STEP_STORE,
    APR_STEP_PEER,
    APR_STEP_RECORD,
    APR_STEP_COUNT
} AprStep_t;

#define APR_ERROR_PEER_SIZE 96
#define APR_ERROR_DETAIL_SIZE 256

typedef struct AprError_t {
    int code;
    AprStep_t step;
    char peer[APR_ERROR_PEER_SIZE]; /* host, address or file; may be "" */
    char detail[APR_ERROR_DETAIL_SIZE];
} AprError_t;

int AprError_Set(AprError_t *error, int code, AprStep_t step, const char *peer,
                 const char *format, ...)
    __attribute__((format(printf, 5, 6)));
const char *AprError_Name(int code);
const char *AprStep_Name(AprStep_t step);

#endif
