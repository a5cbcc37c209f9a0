#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "err.h"
#include "str.h"

enum log_level
{
  LOG_LEVEL_DEBUG,
  LOG_LEVEL_INFO,
  LOG_LEVEL_WARN,
  LOG_LEVEL_ERROR,
};

/** log_start() - set up logging to stderr. Returns 0, or -EINVAL if log4c
 * can't be initialised. */
int log_start (enum log_level level, const char *node);
/** log_start_stdout() - set up logging to stdout without blocking: lines that
 * stdout does not accept at once, and lines that exceed the rate budget, are
 * dropped and counted. Returns 0 or -EINVAL. */
int log_start_stdout (enum log_level level, const char *node);
/** log_dropped() - number of lines dropped so far. */
uint64_t log_dropped (void);
bool log_level_parse (struct str s, enum log_level *out);
void log_stop (void);

/**
 * log_line() - write one event as a log line.
 * @module: LOG_MODULE of the calling file.
 * @event: short name of the event, for example "grant-refused".
 * @fmt: key=value pairs separated by blanks; values that may contain blanks
 *   stand in double quotes.
 */
void log_line (enum log_level level, const char *module, const char *event,
               const char *fmt, ...) __attribute__ ((format (printf, 4, 5)));

/* Arguments of STR_FMT for a name that may be longer than a log line: only its
   beginning is logged, so that the fields behind it are not lost. */
#define LOG_NAME_MAX_BYTES 256
#define LOG_NAME_ARG(s)                                                       \
  (int)((s).len < LOG_NAME_MAX_BYTES ? (s).len : LOG_NAME_MAX_BYTES), (s).data

#define LOG_DBG(event, ...)                                                   \
  log_line (LOG_LEVEL_DEBUG, LOG_MODULE, event, __VA_ARGS__)
#define LOG_INFO(event, ...)                                                  \
  log_line (LOG_LEVEL_INFO, LOG_MODULE, event, __VA_ARGS__)
#define LOG_WARN(event, ...)                                                  \
  log_line (LOG_LEVEL_WARN, LOG_MODULE, event, __VA_ARGS__)
#define LOG_ERR(event, ...)                                                   \
  log_line (LOG_LEVEL_ERROR, LOG_MODULE, event, __VA_ARGS__)

/* Log fields of a struct err: "step=... peer=... error=...". */
#define LOG_E_FMT "step=%s peer=%s error=\"%s\""
#define LOG_E_ARG(e) (e).step, (e).peer, err_str ((e).code)
