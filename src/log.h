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

/** log_start() - set up log4c; lines go to stderr. Returns 0 or -EINVAL. */
int log_start (enum log_level level, const char *node);
/** log_start_stdout() - likewise; lines go to stdout, which is not waited for:
 * lines that it does not take at once, and those beyond a budget a second, are
 * counted and dropped. */
int log_start_stdout (enum log_level level, const char *node);
/** log_dropped() - number of lines dropped so far. */
uint64_t log_dropped (void);
bool log_level_parse (struct str s, enum log_level *out);
void log_stop (void);

/**
 * log_line() - write one event.
 * @module: LOG_MODULE of the calling file.
 * @event: short name of the event, for example "grant-refused".
 * @fmt: key=value pairs separated by blanks; quote values that may hold
 *   blanks with LOG_Q.
 */
void log_line (enum log_level level, const char *module, const char *event,
               const char *fmt, ...) __attribute__ ((format (printf, 4, 5)));

#define LOG_DBG(event, ...)                                                   \
  log_line (LOG_LEVEL_DEBUG, LOG_MODULE, event, __VA_ARGS__)
#define LOG_INFO(event, ...)                                                  \
  log_line (LOG_LEVEL_INFO, LOG_MODULE, event, __VA_ARGS__)
#define LOG_WARN(event, ...)                                                  \
  log_line (LOG_LEVEL_WARN, LOG_MODULE, event, __VA_ARGS__)
#define LOG_ERR(event, ...)                                                   \
  log_line (LOG_LEVEL_ERROR, LOG_MODULE, event, __VA_ARGS__)

/* Fields of a struct err: "step=... peer=... error=...". */
#define LOG_E_FMT "step=%s peer=%s error=\"%s\""
#define LOG_E_ARG(e) (e).step, (e).peer, err_str ((e).code)
