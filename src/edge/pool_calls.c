#include "edge/pool_impl.h"

#include "err.h"

/* Updates of server state from the outcomes of calls. */

/* A server on which a call failed is avoided for this long, doubled for each
   further failure. */
#define AVOID_BACKOFF_MIN_MS 300
#define AVOID_BACKOFF_MAX_MS 5000
/* A server that accepted no connection is tried again after this time; trying
   costs the server nothing. */
#define UNREACHED_RETRY_MS 300
/* It is reported to the placement holder as unreached for this much longer;
   the holder then probes the server itself. */
#define UNREACHED_REPORT_MS 1000
/* A server that rejected a call because it is full gets no calls from this
   node for this long, doubled for each further rejection: its running calls
   take longer than that, and many nodes send to it. */
#define FULL_BACKOFF_MIN_MS 50
#define FULL_BACKOFF_MAX_MS 800
/* A model or adapter that a server should have but rejected as missing is
   requested from it again after this time. */
#define MODEL_MISSING_MS 1000

void
pool_call_started (struct pool_server *s)
{
  s->running++;
}

void
pool_call_ended (struct pool_server *s)
{
  s->running--;
}

static uint64_t
doubling_backoff_ms (uint64_t min_ms, uint64_t max_ms, uint32_t times)
{
  uint64_t ms = min_ms;

  for (uint32_t i = 0; i < times && ms < max_ms; i++)
    ms *= 2;
  return ms < max_ms ? ms : max_ms;
}

void
pool_call_failed (struct pool_server *s, uint64_t now_ms)
{
  s->avoid_until_ms
      = now_ms
        + doubling_backoff_ms (AVOID_BACKOFF_MIN_MS, AVOID_BACKOFF_MAX_MS,
                               s->failures);
  s->failures++;
  s->unreached = false;
}

void
pool_connect_failed (struct pool_server *s, uint64_t now_ms)
{
  s->unreached = true;
  s->avoid_until_ms = now_ms + UNREACHED_RETRY_MS;
}

void
pool_call_rejected (struct pool_server *s, uint64_t now_ms)
{
  s->full_until_ms
      = now_ms
        + doubling_backoff_ms (FULL_BACKOFF_MIN_MS, FULL_BACKOFF_MAX_MS,
                               s->rejections);
  s->rejections++;
}

void
pool_call_served (struct pool_server *s)
{
  s->rejections = 0;
  s->full_until_ms = 0;
  s->unreached = false;
  s->failures = 0;
  s->avoid_until_ms = 0;
}

void
pool_model_missing (struct pool_server *s, struct str model,
                    struct str adapter, uint64_t now_ms)
{
  struct placed_model *m = pool_model (s, model);

  if (!m)
    return;
  m->missing_until_ms = now_ms + MODEL_MISSING_MS;
  str_assign (&m->missing,
              name_list_has (&m->adapters, adapter) ? adapter : STR (""));
}

bool
pool_server_announced_leaving (struct pool_server *s)
{
  const bool is_new = !s->leaving;

  s->leaving = true;
  return is_new;
}

void
pool_defer_calls (struct pool_server *s, uint64_t until_ms)
{
  if (until_ms > s->deferred_until_ms)
    s->deferred_until_ms = until_ms;
}

void
pool_server_replaced (struct pool_server *s)
{
  s->replaced = true;
}

struct pool_server_stats
pool_get_server_stats (const struct pool_server *s, uint64_t now_ms)
{
  return (struct pool_server_stats){
    .running = s->running,
    .other_nodes_running = s->other_nodes_running,
    .view_age_ms = s->view_received_ms > 0 ? now_ms - s->view_received_ms : 0,
  };
}

size_t
pool_report_loads (struct pool *p, uint64_t now_ms,
                   struct pool_load_report *out, size_t max)
{
  size_t n = 0;

  for (struct pool_server *s = p->servers; s && n < max; s = s->hh.next)
    {
      s->reported_running = s->running;
      const bool unreached
          = s->listed && s->unreached
            && now_ms < s->avoid_until_ms + UNREACHED_REPORT_MS;

      if (s->running > 0 || unreached)
        out[n++] = (struct pool_load_report){ .server = s->hash,
                                              .running = s->running,
                                              .unreached = unreached };
    }
  return n;
}
