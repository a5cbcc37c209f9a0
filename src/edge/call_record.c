#include "edge/call_impl.h"

#include "clock.h"
#include "log.h"
#include "metrics.h"

#define LOG_MODULE "call"

/* Log line and metrics of the end of a call. */

static const char *const end_names[] = {
  [CALL_END_SERVED] = "served",   [CALL_END_FAILED] = "failed",
  [CALL_END_REFUSED] = "refused", [CALL_END_UNKNOWN] = "unknown",
  [CALL_END_CUT] = "cut",         [CALL_END_CLIENT_LEFT] = "left",
  [CALL_END_DENIED] = "denied",
};

static void
log_end (const struct call *c, enum call_end end, int status,
         const char *reason)
{
  const uint64_t now = clock_ms ();
  const struct str server = c->server ? pool_server_id (c->server) : STR ("-");

  LOG_INFO ("call",
            CALL_LOG_FMT
            " server=" STR_FMT
            " end=%s status=%d reason=%s runs=%u rejections=%u wait_ms=%lu"
            " first_byte_ms=%lu max_gap_ms=%lu silent_ms=%lu total_ms=%lu"
            " config=%lu",
            CALL_LOG_ARG (c), STR_ARG (server), end_names[end], status, reason,
            c->possible_runs, c->rejections,
            (c->sent_ms > 0 ? c->sent_ms : now) - c->arrival_ms,
            c->response_start_ms > 0 ? c->response_start_ms - c->arrival_ms
                                     : 0,
            c->longest_gap_ms, c->last_part_ms > 0 ? now - c->last_part_ms : 0,
            now - c->arrival_ms, c->config_version);
}

void
call_count_reason (const char *metric, const char *reason)
{
  struct str labels = str_printf ("reason=\"%s\"", reason);

  metrics_add (metric, labels, 1);
  str_free (&labels);
}

static void
count_call_end (const struct call *c, enum call_end end)
{
  struct str labels = str_printf ("route=\"" STR_FMT "\",end=\"%s\"",
                                  STR_ARG (c->route_name), end_names[end]);
  const uint64_t now = clock_ms ();

  metrics_add ("galenagate_calls_total", labels, 1);
  metrics_observe ("galenagate_call_ms", labels,
                   (double)(now - c->arrival_ms));
  if (c->response_start_ms > 0)
    metrics_observe ("galenagate_call_first_ms", labels,
                     (double)(c->response_start_ms - c->arrival_ms));
  str_free (&labels);
}

void
call_record_end (const struct call *c, enum call_end end, int status,
                 const char *reason)
{
  log_end (c, end, status, reason);
  count_call_end (c, end);
  if (end == CALL_END_REFUSED)
    call_count_reason ("galenagate_refused_total", reason);
  else if (end == CALL_END_CUT)
    call_count_reason ("galenagate_cut_total", reason);
}
