#include "edge/plan_impl.h"

/* The server on which a model gets its next replica soonest. Servers with the
   weights at hand are looked at one by one; those that would load from the
   weight store only where they have room, or where no server has the
   weights. */

/* A new holder removes nothing before all nodes had time to tell what they
   need; they tell each 250 ms. */
#define LEARN_MS 600
/* Added to the cost of a server in a failure domain that has a replica. */
#define SAME_DOMAIN_MS 200
/* Added for each call that runs on the server. */
#define CROWDED_MS 15

/* A server that carries an order out takes the next one after it. */
static uint32_t
order_left_ms (const struct fleet_server *s, uint64_t now)
{
  const uint64_t end_ms = s->pending.expected_ms + ORDER_END_MS;

  if (s->pending.state == PENDING_NONE)
    return 0;
  return end_ms > now ? (uint32_t)(end_ms - now) : ORDER_END_MS;
}

static bool
reserved_for_other (const struct fleet_server *s, const struct fleet_model *m,
                    uint64_t now)
{
  return now < s->reserved_until_ms && s->reserved_for != m;
}

enum weights
plan_weights (const struct fleet_server *s, const struct fleet_model *m)
{
  for (size_t i = 0; i < m->copy_count; i++)
    if (m->copies[i].server == s)
      return m->copies[i].where;
  return WEIGHTS_STORE;
}

static uint32_t
load_ms (const struct model_spec *m, enum weights from)
{
  switch (from)
    {
    case WEIGHTS_MEMORY:
      return m->memory_load_ms;
    case WEIGHTS_DISK:
      return m->disk_load_ms;
    case WEIGHTS_STORE:
      break;
    }
  return m->load_ms;
}

/* Is another replica of the model in the server's failure domain? */
static bool
domain_taken (const struct fleet_server *s, const struct fleet_model *m)
{
  for (size_t i = 0; i < m->replicas.count; i++)
    {
      const struct fleet_server *o = m->replicas.items[i];

      if (o != s && o->domain == s->domain && fleet_usable (o))
        return true;
    }
  return false;
}

static bool
step_from (struct fleet *f, struct fleet_server *s,
           const struct fleet_model *m, const struct want *w,
           enum weights from, const struct cold_gate *gate, uint64_t now,
           struct step *out)
{
  const bool cold = from == WEIGHTS_STORE;
  double removal = 0;
  double missing_mb;

  if (!fleet_may_order (s, now) || reserved_for_other (s, m, now)
      || fleet_replica (s, m))
    return false;
  if (cold && !cold_allowed (gate, s))
    return false;
  *out = (struct step){ .server = s, .weights = from };
  out->takes_ms = load_ms (m->spec, from);
  missing_mb = m->spec->weights_mb - s->free_mb;
  if (missing_mb > 0)
    {
      /* A place on a server with the weights comes sooner than a load from
         the weight store ends. */
      if (w->need == NEED_SPARE_ROOM || now < f->term_ms + LEARN_MS
          || (cold && plan_replica_elsewhere (s, m)))
        return false;
      out->remove = plan_make_room (s, m, w, now, missing_mb, &removal);
      if (!out->remove)
        return false;
    }
  out->cost_ms = order_left_ms (s, now) + out->takes_ms + removal
                 + CROWDED_MS * s->running;
  if (w->have > 0 && domain_taken (s, m))
    out->cost_ms += SAME_DOMAIN_MS;
  return true;
}

bool
plan_step_on (struct fleet *f, struct fleet_server *s,
              const struct fleet_model *m, const struct want *w,
              const struct cold_gate *gate, uint64_t now, struct step *out)
{
  return step_from (f, s, m, w, plan_weights (s, m), gate, now, out);
}

/* ---- the best of several servers ---- */

struct search
{
  struct fleet *fleet;
  const struct fleet_model *model;
  const struct cold_gate *gate;
  uint64_t now_ms;
  bool found;
  struct step best;
};

static void
try_server (struct search *c, struct fleet_server *s, enum weights from)
{
  struct step step;

  if (!step_from (c->fleet, s, c->model, &c->model->want, from, c->gate,
                  c->now_ms, &step))
    return;
  if (c->found && step.cost_ms > c->best.cost_ms)
    return;
  if (c->found && step.cost_ms == c->best.cost_ms
      && s->ordinal > c->best.server->ordinal)
    return; /* so that the choice does not depend on the order of the search */
  c->best = step;
  c->found = true;
}

static void
try_cold (struct search *c, struct fleet_server *s)
{
  if (plan_weights (s, c->model) == WEIGHTS_STORE)
    try_server (c, s, WEIGHTS_STORE);
}

static void
try_set (struct search *c, const struct server_set *set)
{
  for (size_t i = 0; i < set->count; i++)
    try_cold (c, set->items[i]);
}

static void
try_with_room (struct search *c, struct fleet_model *m)
{
  for (struct fleet_server *s = fleet_most_room (m->service);
       s && s->free_mb >= m->spec->weights_mb; s = fleet_less_room (s))
    try_cold (c, s);
}

/* Servers that would load from the weight store. */
static void
try_store (struct search *c, struct fleet_model *m)
{
  struct fleet_service *v = m->service;

  if (!c->gate->window_open)
    return;
  if (!cold_any_allowed (c->gate))
    {
      try_set (c, &v->cold.servers);
      return;
    }
  if (m->want.need == NEED_SPARE_ROOM || plan_replica_elsewhere (NULL, m)
      || c->now_ms < m->room_searched_ms + PLAN_SEARCH_ROOM_MS)
    {
      try_with_room (c, m);
      return;
    }
  try_set (c, &v->servers);
  if (!c->found)
    m->room_searched_ms = c->now_ms;
}

bool
plan_best_step (struct fleet *f, struct fleet_model *m,
                const struct cold_gate *gate, uint64_t now, struct step *out)
{
  struct search c = { .fleet = f, .model = m, .gate = gate, .now_ms = now };

  for (size_t i = 0; i < m->copy_count; i++)
    try_server (&c, m->copies[i].server, m->copies[i].where);
  try_store (&c, m);
  *out = c.best;
  return c.found;
}
