#include "edge/fleet_impl.h"

/* What is told of servers: to all nodes what changed, to nodes that wait what
   they wait for, at once. */

/* Changes of a server's calls below this number are not told. */
#define RUNNING_STEP 2
/* Nodes that do not know a server yet drop what they are told of it, so a new
   one is told again at this interval for a while. */
#define NEW_REFRESH_MS 2500
#define NEW_MS 5000
/* Servers that are told again without a change are due at this time, long
   past, but after those that changed, which are due at 0. */
#define RETELL_MS 1

static struct fleet_view
view_of (const struct fleet_server *s)
{
  return (struct fleet_view){
    .hash = s->hash,
    .order_count = s->order_count,
    .running = s->running,
    .known = s->known,
    .replicas = s->replicas,
    .replica_count = s->replica_count,
  };
}

void
fleet_views_forget (struct fleet *f, struct fleet_server *s)
{
  due_clear (&f->tells, &s->tell);
  due_clear (&f->awaited, &s->awaited);
  if (s->running_changed)
    DL_DELETE2 (f->running_changed, s, running_prev, running_next);
  s->running_changed = false;
}

/* ---- to all nodes ---- */

/* Changes with all that a view shows but the calls. */
static uint64_t
view_hash (const struct fleet_server *s, uint64_t now)
{
  uint64_t hash = s->order_count * 2 + s->known;

  for (size_t i = 0; i < s->replica_count; i++)
    {
      const struct replica *r = &s->replicas[i];

      hash = str_hash (r->model, hash + (uint64_t)r->state);
      for (size_t j = 0; j < r->adapter_count; j++)
        if (r->adapters[j].ready_ms <= now)
          hash = str_hash (r->adapters[j].name, hash);
    }
  return hash;
}

void
fleet_retell (struct fleet *f)
{
  for (struct fleet_server *s = f->servers; s; s = s->hh.next)
    {
      s->retell_ms = 0;
      if (s->listed)
        due_set (&f->tells, &s->tell, RETELL_MS);
    }
}

bool
fleet_is_telling (const struct fleet *f, uint64_t now)
{
  return due_first (&f->tells, now) != NULL;
}

void
fleet_each_listed (const struct fleet *f, fleet_view_fn fn, void *ctx)
{
  for (const struct fleet_server *s = f->servers; s; s = s->hh.next)
    {
      const struct fleet_view view = view_of (s);

      if (s->listed && !fn (ctx, &view))
        return;
    }
}

/* When the next adapter on its way can be used, or UINT64_MAX. */
static uint64_t
next_adapter_ms (const struct fleet_server *s, uint64_t now)
{
  uint64_t at_ms = UINT64_MAX;

  for (size_t i = 0; i < s->replica_count; i++)
    for (size_t j = 0; j < s->replicas[i].adapter_count; j++)
      {
        const uint64_t ready_ms = s->replicas[i].adapters[j].ready_ms;

        if (ready_ms > now && ready_ms < at_ms)
          at_ms = ready_ms;
      }
  return at_ms;
}

static uint32_t
refresh_of (const struct fleet_server *s, uint64_t now, uint32_t refresh_ms)
{
  return now < s->listed_ms + NEW_MS ? NEW_REFRESH_MS : refresh_ms;
}

static uint64_t
next_tell_ms (const struct fleet_server *s, uint64_t now)
{
  const uint64_t adapter_ms = next_adapter_ms (s, now);

  return adapter_ms < s->retell_ms ? adapter_ms : s->retell_ms;
}

bool
fleet_each_changed (struct fleet *f, uint64_t now, uint32_t refresh_ms,
                    fleet_view_fn fn, void *ctx)
{
  struct due *d;

  while ((d = due_first (&f->tells, now)))
    {
      struct fleet_server *s = d->owner;
      const struct fleet_view view = view_of (s);
      const uint64_t hash = view_hash (s, now);
      const bool is_news = hash != s->told_hash || now >= s->retell_ms;

      if (is_news)
        s->retell_ms = now + refresh_of (s, now, refresh_ms);
      due_set (&f->tells, &s->tell, next_tell_ms (s, now));
      if (!is_news)
        continue;
      s->told_hash = hash;
      s->running_told = s->running;
      if (!fn (ctx, &view))
        return false;
    }
  return true;
}

void
fleet_running_changed (struct fleet *f, struct fleet_server *s)
{
  const uint32_t change = s->running > s->running_told
                              ? s->running - s->running_told
                              : s->running_told - s->running;

  if (s->running_changed || !s->listed || change < RUNNING_STEP)
    return;
  s->running_changed = true;
  DL_APPEND2 (f->running_changed, s, running_prev, running_next);
}

void
fleet_each_running (struct fleet *f,
                    void (*fn) (void *ctx, uint64_t server, uint32_t running),
                    void *ctx)
{
  while (f->running_changed)
    {
      struct fleet_server *s = f->running_changed;

      DL_DELETE2 (f->running_changed, s, running_prev, running_next);
      s->running_changed = false;
      s->running_told = s->running;
      fn (ctx, s->hash, s->running);
    }
}

/* ---- to nodes that wait ---- */

void
fleet_became_ready (struct fleet *f, struct fleet_server *s, uint64_t at_ms)
{
  if (s->listed && (!s->awaited.queued || at_ms < s->awaited.at_ms))
    due_set (&f->awaited, &s->awaited, at_ms);
}

void
fleet_each_awaited (struct fleet *f, uint64_t now,
                    void (*fn) (void *ctx, struct str node,
                                const struct fleet_view *view),
                    void *ctx)
{
  struct due *d;

  while ((d = due_first (&f->awaited, now)))
    {
      struct fleet_server *s = d->owner;
      const struct fleet_view view = view_of (s);
      const uint64_t adapter_ms = next_adapter_ms (s, now);

      due_clear (&f->awaited, d);
      if (adapter_ms < UINT64_MAX)
        due_set (&f->awaited, d, adapter_ms);
      f->awaited_round++;
      for (size_t i = 0; i < s->replica_count; i++)
        for (size_t j = 0; j < s->replicas[i].ref->waiter_count; j++)
          {
            struct node *n = s->replicas[i].ref->waiters[j];

            if (n->awaited_round == f->awaited_round)
              continue;
            n->awaited_round = f->awaited_round;
            fn (ctx, n->name, &view);
          }
    }
}
