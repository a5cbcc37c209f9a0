#include "edge/fleet_impl.h"

/* Loads from the weight store: how many may begin, and at once. */

/* Loads from the weight store at once. The memory for each serves nobody for
   seconds, which costs more calls than a further copy of weights saves. */
#define COLD_AT_ONCE 2

/* Does the server load from the weight store, or will it? Loads into spare
   room count only if @spare. */
static bool
is_loading (const struct fleet_server *s, bool spare, uint64_t now)
{
  const bool loads = s->pending.state != PENDING_NONE && s->pending.cold
                     && (spare || !s->pending.spare);
  const bool will_load = s->reserved_cold && now < s->reserved_until_ms;

  return !s->down && (loads || will_load);
}

void
cold_note (struct fleet_server *s)
{
  struct server_set *set = &s->service->cold.servers;
  const bool noted = server_set_has (set, s);

  /* A reservation that is over is left to fleet_unreserve(). */
  if (is_loading (s, true, 0) == noted)
    return;
  if (noted)
    server_set_remove (set, s);
  else
    server_set_add (set, s);
}

struct cold_gate
cold_gate (const struct fleet *f, struct fleet_service *v, bool spare,
           uint64_t now)
{
  struct cold_loads *c = &v->cold;
  const double most = v->engine->loads_per_s * f->load_window_ms / 1000.0;
  struct cold_gate gate = { .cold = c, .spare = spare, .now_ms = now };
  size_t kept = 0;

  for (size_t i = 0; i < c->count; i++)
    if (now < c->starts_ms[i] + f->load_window_ms)
      c->starts_ms[kept++] = c->starts_ms[i];
  c->count = kept;
  gate.window_open = c->count + 1 <= most && c->count < COLD_STARTS_MAX;
  for (size_t i = 0; i < c->servers.count; i++)
    if (is_loading (c->servers.items[i], spare, now))
      gate.running++;
  return gate;
}

bool
cold_any_allowed (const struct cold_gate *g)
{
  return g->window_open && g->running < COLD_AT_ONCE;
}

bool
cold_allowed (const struct cold_gate *g, const struct fleet_server *s)
{
  const bool counted = server_set_has (&g->cold->servers, s)
                       && is_loading (s, g->spare, g->now_ms);

  return g->window_open && g->running - counted < COLD_AT_ONCE;
}

void
cold_begin (struct fleet_server *s, uint64_t now)
{
  struct cold_loads *c = &s->service->cold;

  if (c->count < COLD_STARTS_MAX)
    c->starts_ms[c->count++] = now;
}
