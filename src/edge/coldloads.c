#include "edge/fleet_impl.h"

#include <stdlib.h>

#include "err.h"

/* Loads from the weight store: how many may begin, and at once. */

/* Loads from the weight store at once. The memory for each serves nobody for
   seconds, which costs more calls than a further copy of weights saves. */
#define COLD_AT_ONCE 2

static struct cold_loads *
cold_of (struct fleet *f, struct str service)
{
  struct cold_loads *c;

  HASH_FIND (hh, f->cold, service.data, service.len, c);
  if (!c)
    {
      c = xcalloc (1, sizeof *c);
      c->service = str_dup (service);
      HASH_ADD_KEYPTR (hh, f->cold, c->service.data, c->service.len, c);
    }
  return c;
}

/* Loads from the weight store under way, those into spare room only if
   @spare. */
static uint32_t
cold_running (const struct fleet *f, const struct fleet_server *except,
              bool spare, uint64_t now)
{
  uint32_t n = 0;

  for (const struct fleet_server *s = f->servers; s; s = s->hh.next)
    {
      const bool loads = s->pending.state != PENDING_NONE && s->pending.cold
                         && (spare || !s->pending.spare);
      const bool will_load = s->reserved_cold && now < s->reserved_until_ms;

      if (s != except && !s->down && (loads || will_load)
          && str_eq (s->service, except->service))
        n++;
    }
  return n;
}

bool
cold_allowed (struct fleet *f, const struct fleet_server *s, bool spare,
              uint64_t now)
{
  const struct engine_spec *e = fleet_engine (f, s);
  struct cold_loads *c = cold_of (f, s->service);
  const double most = e->loads_per_s * f->load_window_ms / 1000.0;
  size_t kept = 0;

  for (size_t i = 0; i < c->count; i++)
    if (now < c->starts_ms[i] + f->load_window_ms)
      c->starts_ms[kept++] = c->starts_ms[i];
  c->count = kept;
  return c->count + 1 <= most && c->count < COLD_STARTS_MAX
         && cold_running (f, s, spare, now) < COLD_AT_ONCE;
}

void
cold_begin (struct fleet *f, const struct fleet_server *s, uint64_t now)
{
  struct cold_loads *c = cold_of (f, s->service);

  if (c->count < COLD_STARTS_MAX)
    c->starts_ms[c->count++] = now;
}
