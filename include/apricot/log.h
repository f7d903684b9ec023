#ifndef APRICOT_LOG_H
#define APRICOT_LOG_H

/* Log file name that selects standard output. */
#define APR_LOG_STDOUT "stdout"

typedef enum AprLogLevel_t {
    APR_LOG_ERROR,
    APR_LOG_WARN,
    APR_LOG_INFO,
    APR_LOG_DEBUG
} AprLogLevel_t;

/* The log has one line per AprLog_Write: time, level, host, event and the
   key=value pairs that the caller's format gives. */
int AprLog_Init(AprLogLevel_t level, const char *file, const char *host);
void AprLog_Close(void);
void AprLog_Write(AprLogLevel_t level, const char *event, const char *format,
                  ...) __attribute__((format(printf, 3, 4)));
int AprLog_LevelFromName(const char *name, AprLogLevel_t *level);

#endif
