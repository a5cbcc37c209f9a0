#include "edge/fleet_impl.h"

/* Publication of server states: changes go to all nodes; what becomes ready
   goes without delay to the nodes with calls that wait for it. */

/* Smallest change of a server's calls in flight that is published. */
#define RUNNING_STEP 2
/* Nodes ignore the state of a server that they do not know yet. A server is
   therefore published at this interval for NEW_SERVER_MS after it is listed.
 */
#define NEW_SERVER_REFRESH_MS 2500
#define NEW_SERVER_MS 5000
/* Time in the update queue of servers that are published again without a
   change: in the past, but after the servers that changed, which are queued
   with time 0. */
#define REPUBLISH_DUE_MS 1

static struct fleet_view
make_view (const struct fleet_server *s)
{
  return (struct fleet_view){
    .hash = s->hash,
    .order_count = s->order_count,
    .running = s->running,
    .confirmed = s->confirmed,
    .replicas = s->replicas,
    .replica_count = s->replica_count,
  };
}

void
fleet_views_remove (struct fleet *f, struct fleet_server *s)
{
  due_clear (&f->updates, &s->update_due);
  due_clear (&f->notices, &s->notice_due);
  if (s->running_changed)
    DL_DELETE2 (f->running_changed, s, running_prev, running_next);
  s->running_changed = false;
}

/* ---- updates for all nodes ---- */

/* Hashes everything that a view shows except the calls in flight. */
static uint64_t
view_hash (const struct fleet_server *s, uint64_t now)
{
  uint64_t hash = s->order_count * 2 + s->confirmed;

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
fleet_republish (struct fleet *f)
{
  for (struct fleet_server *s = f->servers; s; s = s->hh.next)
    {
      s->republish_ms = 0;
      if (s->listed)
        due_set (&f->updates, &s->update_due, REPUBLISH_DUE_MS);
    }
}

bool
fleet_has_updates (const struct fleet *f, uint64_t now)
{
  return due_first (&f->updates, now) != NULL;
}

void
fleet_each_listed (const struct fleet *f, fleet_view_fn fn, void *ctx)
{
  for (const struct fleet_server *s = f->servers; s; s = s->hh.next)
    {
      const struct fleet_view view = make_view (s);

      if (s->listed && !fn (ctx, &view))
        return;
    }
}

/* Returns when the next adapter that is loading can be used, or UINT64_MAX. */
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
refresh_interval_ms (const struct fleet_server *s, uint64_t now,
                     uint32_t refresh_ms)
{
  return now < s->listed_ms + NEW_SERVER_MS ? NEW_SERVER_REFRESH_MS
                                            : refresh_ms;
}

static uint64_t
next_update_ms (const struct fleet_server *s, uint64_t now)
{
  const uint64_t adapter_ms = next_adapter_ms (s, now);

  return adapter_ms < s->republish_ms ? adapter_ms : s->republish_ms;
}

bool
fleet_each_changed (struct fleet *f, uint64_t now, uint32_t refresh_ms,
                    fleet_view_fn fn, void *ctx)
{
  struct due_item *d;

  while ((d = due_first (&f->updates, now)))
    {
      struct fleet_server *s = d->owner;
      const struct fleet_view view = make_view (s);
      const uint64_t hash = view_hash (s, now);
      const bool must_publish
          = hash != s->published_hash || now >= s->republish_ms;

      if (must_publish)
        s->republish_ms = now + refresh_interval_ms (s, now, refresh_ms);
      due_set (&f->updates, &s->update_due, next_update_ms (s, now));
      if (!must_publish)
        continue;
      s->published_hash = hash;
      s->published_running = s->running;
      if (!fn (ctx, &view))
        return false;
    }
  return true;
}

void
fleet_running_changed (struct fleet *f, struct fleet_server *s)
{
  const uint32_t change = s->running > s->published_running
                              ? s->running - s->published_running
                              : s->published_running - s->running;

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
      s->published_running = s->running;
      fn (ctx, s->hash, s->running);
    }
}

/* ---- notices for nodes with waiting calls ---- */

void
fleet_became_ready (struct fleet *f, struct fleet_server *s, uint64_t at_ms)
{
  if (s->listed && (!s->notice_due.queued || at_ms < s->notice_due.at_ms))
    due_set (&f->notices, &s->notice_due, at_ms);
}

void
fleet_each_waiting_node (struct fleet *f, uint64_t now,
                         void (*fn) (void *ctx, struct str node,
                                     const struct fleet_view *view),
                         void *ctx)
{
  struct due_item *d;

  while ((d = due_first (&f->notices, now)))
    {
      struct fleet_server *s = d->owner;
      const struct fleet_view view = make_view (s);
      const uint64_t adapter_ms = next_adapter_ms (s, now);

      due_clear (&f->notices, d);
      if (adapter_ms < UINT64_MAX)
        due_set (&f->notices, d, adapter_ms);
      f->notice_round++;
      for (size_t i = 0; i < s->replica_count; i++)
        for (size_t j = 0; j < s->replicas[i].ref->waiter_count; j++)
          {
            struct fleet_node *n = s->replicas[i].ref->waiters[j];

            if (n->notice_round == f->notice_round)
              continue;
            n->notice_round = f->notice_round;
            fn (ctx, n->name, &view);
          }
    }
}
