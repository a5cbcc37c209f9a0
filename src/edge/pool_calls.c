#include "edge/pool_impl.h"

#include "err.h"

/* What calls show of their servers. */

/* A server that failed a call is avoided for this long, doubled for each
   further failure. */
#define AVOID_MIN_MS 300
#define AVOID_MAX_MS 5000
/* A server that took no connection is tried again after this time. A try costs
   the server nothing. */
#define UNREACHED_MS 300
/* The placement holder is told of it for this much longer: it asks the server
   itself. */
#define UNREACHED_TOLD_MS 1000
/* A server that turned a call away as full gets none from this node for this
   time, doubled for each further one: its calls take longer than that, and
   many nodes ask it. */
#define FULL_MIN_MS 50
#define FULL_MAX_MS 800
/* A server that lacks a model or adapter which it should have is asked for it
   again after this time. */
#define MISPLACED_MS 1000

void
pool_begin (struct pool_server *s)
{
  s->running++;
}

void
pool_end (struct pool_server *s)
{
  s->running--;
}

static uint64_t
doubled_ms (uint64_t min_ms, uint64_t max_ms, uint32_t times)
{
  uint64_t ms = min_ms;

  for (uint32_t i = 0; i < times && ms < max_ms; i++)
    ms *= 2;
  return ms < max_ms ? ms : max_ms;
}

void
pool_failed (struct pool_server *s, uint64_t now_ms)
{
  s->avoid_until_ms
      = now_ms + doubled_ms (AVOID_MIN_MS, AVOID_MAX_MS, s->failures);
  s->failures++;
  s->unreached = false;
}

void
pool_unreached (struct pool_server *s, uint64_t now_ms)
{
  s->unreached = true;
  s->avoid_until_ms = now_ms + UNREACHED_MS;
}

void
pool_turned_away (struct pool_server *s, uint64_t now_ms)
{
  s->full_until_ms
      = now_ms + doubled_ms (FULL_MIN_MS, FULL_MAX_MS, s->rejections);
  s->rejections++;
}

void
pool_served (struct pool_server *s)
{
  s->rejections = 0;
  s->full_until_ms = 0;
  s->unreached = false;
  s->failures = 0;
  s->avoid_until_ms = 0;
}

void
pool_misplaced (struct pool_server *s, struct str model, struct str adapter,
                uint64_t now_ms)
{
  struct placed_model *m = pool_model (s, model);

  if (!m)
    return;
  m->lacking_until_ms = now_ms + MISPLACED_MS;
  str_assign (&m->lacking,
              name_list_has (&m->adapters, adapter) ? adapter : STR (""));
}

void
pool_replaced (struct pool_server *s)
{
  s->replaced = true;
}

struct pool_belief
pool_server_belief (const struct pool_server *s, uint64_t now_ms)
{
  return (struct pool_belief){
    .running = s->running,
    .others = s->others,
    .view_age_ms = s->view_ms > 0 ? now_ms - s->view_ms : 0,
  };
}

size_t
pool_loads (struct pool *p, uint64_t now_ms, struct pool_load *out, size_t max)
{
  size_t n = 0;

  for (struct pool_server *s = p->servers; s && n < max; s = s->hh.next)
    {
      s->told = s->running;
      const bool unreached = s->listed && s->unreached
                             && now_ms < s->avoid_until_ms + UNREACHED_TOLD_MS;

      if (s->running > 0 || unreached)
        out[n++] = (struct pool_load){ .server = s->hash,
                                       .running = s->running,
                                       .unreached = unreached };
    }
  return n;
}
