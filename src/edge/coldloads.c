#include "edge/fleet_impl.h"

/* Limits on the rate and concurrency of loads from the weight store. */

/* Maximum number of concurrent loads from the weight store. The memory for
   each of them is unused for seconds, which costs more calls than a further
   copy of the weights saves. */
#define COLD_CONCURRENT_MAX 2

/* Returns true if the server loads from the weight store, or has memory
   reserved for such a load. Loads of models that are not in use count only if
   @spare. */
static bool
is_loading (const struct fleet_server *s, bool spare, uint64_t now)
{
  const bool loads = s->pending.state != PENDING_NONE && s->pending.cold
                     && (spare || !s->pending.spare);
  const bool will_load = s->reserved_cold && now < s->reserved_until_ms;

  return !s->down && (loads || will_load);
}

void
cold_update_server (struct fleet_server *s)
{
  struct server_set *set = &s->service->cold.servers;
  const bool is_member = server_set_has (set, s);

  /* Time 0 ignores the expiry of reservations: fleet_unreserve() clears
     expired ones. */
  if (is_loading (s, true, 0) == is_member)
    return;
  if (is_member)
    server_set_remove (set, s);
  else
    server_set_add (set, s);
}

struct cold_admission
cold_admission (const struct fleet *f, struct fleet_service *v, bool spare,
                uint64_t now)
{
  struct cold_loads *c = &v->cold;
  const double max_loads = v->engine->loads_per_s * f->load_window_ms / 1000.0;
  struct cold_admission admission
      = { .cold = c, .spare = spare, .now_ms = now };
  size_t kept = 0;

  for (size_t i = 0; i < c->count; i++)
    if (now < c->starts_ms[i] + f->load_window_ms)
      c->starts_ms[kept++] = c->starts_ms[i];
  c->count = kept;
  admission.window_open
      = c->count + 1 <= max_loads && c->count < COLD_STARTS_MAX;
  for (size_t i = 0; i < c->servers.count; i++)
    if (is_loading (c->servers.items[i], spare, now))
      admission.running++;
  return admission;
}

bool
cold_any_allowed (const struct cold_admission *a)
{
  return a->window_open && a->running < COLD_CONCURRENT_MAX;
}

bool
cold_allowed (const struct cold_admission *a, const struct fleet_server *s)
{
  const bool is_counted = server_set_has (&a->cold->servers, s)
                          && is_loading (s, a->spare, a->now_ms);

  return a->window_open && a->running - is_counted < COLD_CONCURRENT_MAX;
}

void
cold_record_start (struct fleet_server *s, uint64_t now)
{
  struct cold_loads *c = &s->service->cold;

  if (c->count < COLD_STARTS_MAX)
    c->starts_ms[c->count++] = now;
}
