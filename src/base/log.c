#include "apricot/log.h"

#include <log4c.h>
#include <poll.h>
#include <stdarg.h>
#include <stdatomic.h>
#include <stdbool.h>
#include <stdio.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "apricot/error.h"

#define STDERR_NAME "stderr"
#define LOG_LINE_SIZE 2048
#define LOG_MESSAGE_SIZE 1536
#define LOG_HOST_SIZE 64

/* Limit of info and debug lines per second; errors and warnings are not
   limited. */
#define MAX_INFO_LINES_PER_S 400

static log4c_category_t *category;
static atomic_long dropped_lines;
static atomic_long lines_this_second;
static atomic_long current_second;
static char log_host[LOG_HOST_SIZE];

static const int log4c_priorities[] = {
    [APR_LOG_ERROR] = LOG4C_PRIORITY_ERROR,
    [APR_LOG_WARN] = LOG4C_PRIORITY_WARN,
    [APR_LOG_INFO] = LOG4C_PRIORITY_INFO,
    [APR_LOG_DEBUG] = LOG4C_PRIORITY_DEBUG,
};

static const char *const level_names[] = {"error", "warn", "info", "debug"};

static const char *
level_name_of_priority(int priority)
{
    for (int level = APR_LOG_ERROR; level <= APR_LOG_DEBUG; level++) {
        if (log4c_priorities[level] == priority) {
            return level_names[level];
        }
    }
    return "info";
}

static const char *
format_line(const log4c_layout_t *layout, const log4c_logging_event_t *event)
{
    /* One buffer per thread, because log4c formats on the thread that logs. */
    static _Thread_local char line[LOG_LINE_SIZE];
    struct tm calendar;
    char stamp[32];

    (void)layout;
    gmtime_r(&event->evt_timestamp.tv_sec, &calendar);
    strftime(stamp, sizeof(stamp), "%Y-%m-%dT%H:%M:%S", &calendar);
    snprintf(line, sizeof(line), "time=%s.%03ldZ level=%s host=%s %s\n", stamp,
             (long)(event->evt_timestamp.tv_usec / 1000),
             level_name_of_priority(event->evt_priority), log_host,
             event->evt_msg);
    return line;
}

static const log4c_layout_type_t key_value_layout = {"key_value", format_line};

static int
open_stream(log4c_appender_t *appender)
{
    const char *name = log4c_appender_get_name(appender);
    FILE *stream = strcmp(name, STDERR_NAME) == 0      ? stderr
                   : strcmp(name, APR_LOG_STDOUT) == 0 ? stdout
                                                       : fopen(name, "a");

    if (stream == NULL) {
        return -1;
    }
    setvbuf(stream, NULL, _IOLBF, BUFSIZ);
    log4c_appender_set_udata(appender, stream);
    return 0;
}

/* Writes a line to standard output, or drops and counts it if the write would
   block. A pipe that poll() reports as writable has room for PIPE_BUF bytes,
   and a line is shorter than that. */
static int
write_stdout_without_blocking(const char *line)
{
    struct pollfd output = {STDOUT_FILENO, POLLOUT, 0};

    if (poll(&output, 1, 0) != 1 || (output.revents & POLLOUT) == 0) {
        atomic_fetch_add(&dropped_lines, 1);
        return 0;
    }
    return write(STDOUT_FILENO, line, strlen(line)) < 0 ? -1 : 0;
}

/* Replaces log4c's stream appender, which writes its name in front of each
   line. */
static int
append_line(log4c_appender_t *appender, const log4c_logging_event_t *event)
{
    if (log4c_appender_get_udata(appender) == stdout) {
        return write_stdout_without_blocking(event->evt_rendered_msg);
    }
    return fputs(event->evt_rendered_msg, log4c_appender_get_udata(appender));
}

static int
close_stream(log4c_appender_t *appender)
{
    FILE *stream = log4c_appender_get_udata(appender);

    return stream == stderr || stream == stdout || stream == NULL
               ? 0
               : fclose(stream);
}

static const log4c_appender_type_t line_appender = {
    "apricot_line", open_stream, append_line, close_stream};

/* Starts logging to a file, to standard output if `file` is APR_LOG_STDOUT, or
   to standard error if it is NULL or empty. log4c's configuration files are
   not read, so that the process settings are the only source of configuration.
   Returns APR_E_IO if the file cannot be opened. */
int
AprLog_Init(AprLogLevel_t level, const char *file, const char *host)
{
    log4c_appender_t *appender;
    log4c_layout_t *layout = log4c_layout_get("apricot");

    snprintf(log_host, sizeof(log_host), "%s", host);
    if (file == NULL || file[0] == '\0') {
        file = STDERR_NAME;
    }
    appender = log4c_appender_get(file);
    category = log4c_category_get("apricot");
    log4c_layout_set_type(layout, &key_value_layout);
    log4c_appender_set_type(appender, &line_appender);
    log4c_appender_set_layout(appender, layout);
    if (log4c_appender_open(appender) != 0) {
        category = NULL;
        return APR_E_IO;
    }
    log4c_category_set_appender(category, appender);
    log4c_category_set_additivity(category, 0);
    log4c_category_set_priority(category, log4c_priorities[level]);
    return APR_OK;
}

/* Flushes and closes the log. */
void
AprLog_Close(void)
{
    category = NULL;
    log4c_fini();
}

/* Counts a line of this level and returns whether it may be written in the
   current second. A line over the limit is counted as dropped. */
static bool
is_within_rate_limit(AprLogLevel_t level)
{
    long second = (long)time(NULL);

    if (level < APR_LOG_INFO) {
        return true;
    }
    if (atomic_exchange(&current_second, second) != second) {
        atomic_store(&lines_this_second, 0);
    }
    if (atomic_fetch_add(&lines_this_second, 1) < MAX_INFO_LINES_PER_S) {
        return true;
    }
    atomic_fetch_add(&dropped_lines, 1);
    return false;
}

/* Logs the number of lines dropped since the last report, if any. */
static void
report_dropped_lines(void)
{
    long dropped = atomic_exchange(&dropped_lines, 0);

    if (dropped > 0) {
        log4c_category_log(category, LOG4C_PRIORITY_WARN,
                           "event=log_dropped lines=%ld", dropped);
    }
}

/* Writes one line with the event name and the formatted key=value pairs. Does
   nothing before AprLog_Init or if the level is disabled. Drops info and debug
   lines over MAX_INFO_LINES_PER_S, and lines of any level if writing them to
   standard output would block. Thread safe. */
void
AprLog_Write(AprLogLevel_t level, const char *event, const char *format, ...)
{
    char pairs[LOG_MESSAGE_SIZE];
    va_list arguments;

    if (category == NULL ||
        !log4c_category_is_priority_enabled(category,
                                            log4c_priorities[level]) ||
        !is_within_rate_limit(level)) {
        return;
    }
    report_dropped_lines();
    va_start(arguments, format);
    vsnprintf(pairs, sizeof(pairs), format, arguments);
    va_end(arguments);
    log4c_category_log(category, log4c_priorities[level], "event=%s %s", event,
                       pairs);
}

/* Parses "error", "warn", "info" or "debug". Returns APR_E_INVALID for any
   other name. */
int
AprLog_LevelFromName(const char *name, AprLogLevel_t *level)
{
    for (int i = APR_LOG_ERROR; i <= APR_LOG_DEBUG; i++) {
        if (strcmp(name, level_names[i]) == 0) {
            *level = (AprLogLevel_t)i;
            return APR_OK;
        }
    }
    return APR_E_INVALID;
}
