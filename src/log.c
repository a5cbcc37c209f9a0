#include "log.h"

#include <errno.h>
#include <fcntl.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include <log4c.h>

#include "clock.h"
#include "logbudget.h"

#define LINE_MAX_BYTES 2048

static log4c_category_t *category;
/* Lines dropped because stdout was full or the budget was used up. */
static uint64_t dropped_lines;
static bool budget_enabled;
static struct log_budget budget;
static char node_name[80];

static const int priorities[] = {
  [LOG_LEVEL_DEBUG] = LOG4C_PRIORITY_DEBUG,
  [LOG_LEVEL_INFO] = LOG4C_PRIORITY_INFO,
  [LOG_LEVEL_WARN] = LOG4C_PRIORITY_WARN,
  [LOG_LEVEL_ERROR] = LOG4C_PRIORITY_ERROR,
};

static const char *const level_names[] = {
  [LOG_LEVEL_DEBUG] = "debug",
  [LOG_LEVEL_INFO] = "info",
  [LOG_LEVEL_WARN] = "warn",
  [LOG_LEVEL_ERROR] = "error",
};

static const char *
format_line (const log4c_layout_t *layout, const log4c_logging_event_t *event)
{
  static char line[LINE_MAX_BYTES + 2];

  (void)layout;
  snprintf (line, sizeof line, "%s\n", event->evt_msg);
  return line;
}

static const log4c_layout_type_t keyvalue_layout = {
  .name = "keyvalue",
  .format = format_line,
};

static int
append_to_stderr (log4c_appender_t *appender,
                  const log4c_logging_event_t *event)
{
  (void)appender;
  return fputs (event->evt_rendered_msg, stderr);
}

/* Replaces the built-in stream appender, which prefixes each line with its own
   name. */
static const log4c_appender_type_t plain_appender = {
  .name = "plain",
  .append = append_to_stderr,
};

bool
log_level_parse (struct str s, enum log_level *out)
{
  for (size_t i = 0; i < sizeof level_names / sizeof *level_names; i++)
    if (str_eq (s, str_from (level_names[i])))
      {
        *out = (enum log_level)i;
        return true;
      }
  return false;
}

static int
append_to_stdout (log4c_appender_t *appender,
                  const log4c_logging_event_t *event)
{
  const char *line = event->evt_rendered_msg;
  const size_t len = strlen (line);

  (void)appender;
  if (write (STDOUT_FILENO, line, len) != (ssize_t)len)
    dropped_lines++;
  return 0;
}

static const log4c_appender_type_t dropping_appender = {
  .name = "dropping",
  .append = append_to_stdout,
};

static int
start_log4c (enum log_level level, const char *node,
             const log4c_appender_type_t *type)
{
  log4c_layout_type_set (&keyvalue_layout);
  log4c_appender_type_set (type);
  if (log4c_init () != 0)
    return -EINVAL;

  log4c_layout_t *layout = log4c_layout_get ("keyvalue");
  log4c_layout_set_type (layout, &keyvalue_layout);
  log4c_appender_t *appender = log4c_appender_get (type->name);
  log4c_appender_set_type (appender, type);
  log4c_appender_set_layout (appender, layout);
  category = log4c_category_get ("root");
  log4c_category_set_appender (category, appender);
  log4c_category_set_priority (category, priorities[level]);
  snprintf (node_name, sizeof node_name, "%s", node ? node : "-");
  return 0;
}

int
log_start (enum log_level level, const char *node)
{
  return start_log4c (level, node, &plain_appender);
}

int
log_start_stdout (enum log_level level, const char *node)
{
  const int flags = fcntl (STDOUT_FILENO, F_GETFL);

  /* A slow reader must not block the node. */
  if (flags >= 0)
    fcntl (STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
  budget_enabled = true;
  return start_log4c (level, node, &dropping_appender);
}

uint64_t
log_dropped (void)
{
  return dropped_lines;
}

void
log_stop (void)
{
  if (category)
    log4c_fini ();
  category = NULL;
}

static size_t
format_time (char *line, size_t size)
{
  const uint64_t ms = clock_wall_ms ();
  const time_t s = (time_t)(ms / 1000);
  struct tm tm;

  gmtime_r (&s, &tm);
  const size_t n = strftime (line, size, "time=%Y-%m-%dT%H:%M:%S", &tm);
  return n
         + (size_t)snprintf (line + n, size - n, ".%03uZ",
                             (unsigned)(ms % 1000));
}

static void
write_line (enum log_level level, const char *module, const char *event,
            const char *fmt, va_list ap)
{
  char line[LINE_MAX_BYTES];
  size_t n = format_time (line, sizeof line);

  n += (size_t)snprintf (line + n, sizeof line - n,
                         " level=%s node=%s module=%s event=%s ",
                         level_names[level], node_name, module, event);
  vsnprintf (line + n, sizeof line - n, fmt, ap);
  /* A value supplied by a client must not be able to start a new line. */
  for (char *p = line + n; *p; p++)
    if (*p == '\n' || *p == '\r')
      *p = ' ';
  log4c_category_log (category, priorities[level], "%s", line);
}

static void
write_event (enum log_level level, const char *module, const char *event,
             const char *fmt, ...)
{
  va_list ap;

  va_start (ap, fmt);
  write_line (level, module, event, fmt, ap);
  va_end (ap);
}

/* Charges a line to the budget, and logs how many lines were dropped before
   it. Returns false if the line exceeds the budget and must be dropped. */
static bool
charge_budget (enum log_level level)
{
  uint64_t dropped;

  if (!budget_enabled)
    return true;
  if (!log_budget_take (&budget, level >= LOG_LEVEL_WARN, clock_ms ()))
    {
      dropped_lines++;
      return false;
    }
  dropped = log_budget_take_dropped (&budget);
  if (dropped > 0)
    write_event (LOG_LEVEL_WARN, "log", "lines-dropped", "count=%lu", dropped);
  return true;
}

void
log_line (enum log_level level, const char *module, const char *event,
          const char *fmt, ...)
{
  va_list ap;

  if (!category
      || !log4c_category_is_priority_enabled (category, priorities[level])
      || !charge_budget (level))
    return;
  va_start (ap, fmt);
  write_line (level, module, event, fmt, ap);
  va_end (ap);
}
