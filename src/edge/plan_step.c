#include "edge/plan_impl.h"

/* Finds the server on which a model can get its next replica soonest. All
   servers with the weights cached are candidates. Servers that would load from
   the weight store are candidates if they have enough free memory, or if no
   other server could load the model from cached weights. */

/* A new holder evicts no replicas for this long, so that all nodes have time
   to report their demand, which they do every 250 ms. */
#define TERM_SETTLE_MS 600
/* Added to the cost of a server whose failure domain has a replica already. */
#define SAME_DOMAIN_COST_MS 200
/* Added to the cost for each call in flight on the server. */
#define RUNNING_CALL_COST_MS 15

/* Returns the expected time until the server has finished its pending order
   and takes the next one. */
static uint32_t
remaining_order_ms (const struct fleet_server *s, uint64_t now)
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

/* Returns true if another usable server in the server's failure domain has a
   replica of the model. */
static bool
domain_has_replica (const struct fleet_server *s, const struct fleet_model *m)
{
  for (size_t i = 0; i < m->replicas.count; i++)
    {
      const struct fleet_server *other = m->replicas.items[i];

      if (other != s && other->domain == s->domain && fleet_usable (other))
        return true;
    }
  return false;
}

static bool
make_step (struct fleet *f, struct fleet_server *s,
           const struct fleet_model *m, const struct replica_need *w,
           enum weights from, const struct cold_admission *admission,
           uint64_t now, struct step *out)
{
  const bool cold = from == WEIGHTS_STORE;
  double removal = 0;
  double missing_mb;

  if (!fleet_may_order (s, now) || reserved_for_other (s, m, now)
      || fleet_replica (s, m))
    return false;
  if (cold && !cold_allowed (admission, s))
    return false;
  *out = (struct step){ .server = s, .weights = from };
  out->duration_ms = load_ms (m->spec, from);
  missing_mb = m->spec->weights_mb - s->free_mb;
  if (missing_mb > 0)
    {
      /* Memory on a server with cached weights becomes free sooner than a load
         from the weight store completes. */
      if (w->need == NEED_SPARE_ROOM || now < f->term_ms + TERM_SETTLE_MS
          || (cold && plan_cached_load_elsewhere (s, m)))
        return false;
      out->remove = plan_eviction (s, m, w, now, missing_mb, &removal);
      if (!out->remove)
        return false;
    }
  out->cost_ms = remaining_order_ms (s, now) + out->duration_ms + removal
                 + RUNNING_CALL_COST_MS * s->running;
  if (w->have > 0 && domain_has_replica (s, m))
    out->cost_ms += SAME_DOMAIN_COST_MS;
  return true;
}

bool
plan_step_on (struct fleet *f, struct fleet_server *s,
              const struct fleet_model *m, const struct replica_need *w,
              const struct cold_admission *admission, uint64_t now,
              struct step *out)
{
  return make_step (f, s, m, w, plan_weights (s, m), admission, now, out);
}

/* ---- search over all servers ---- */

struct search
{
  struct fleet *fleet;
  const struct fleet_model *model;
  const struct cold_admission *admission;
  uint64_t now_ms;
  bool found;
  struct step best;
};

static void
try_server (struct search *search, struct fleet_server *s, enum weights from)
{
  struct step step;

  if (!make_step (search->fleet, s, search->model,
                  &search->model->replica_need, from, search->admission,
                  search->now_ms, &step))
    return;
  if (search->found && step.cost_ms > search->best.cost_ms)
    return;
  if (search->found && step.cost_ms == search->best.cost_ms
      && s->ordinal > search->best.server->ordinal)
    return; /* makes the choice independent of the search order */
  search->best = step;
  search->found = true;
}

static void
try_cold (struct search *search, struct fleet_server *s)
{
  if (plan_weights (s, search->model) == WEIGHTS_STORE)
    try_server (search, s, WEIGHTS_STORE);
}

static void
try_cold_set (struct search *search, const struct server_set *set)
{
  for (size_t i = 0; i < set->count; i++)
    try_cold (search, set->items[i]);
}

static void
try_cold_with_free_memory (struct search *search, struct fleet_model *m)
{
  for (struct fleet_server *s = fleet_most_free (m->service);
       s && s->free_mb >= m->spec->weights_mb; s = fleet_next_most_free (s))
    try_cold (search, s);
}

/* Tries servers that would load from the weight store. */
static void
try_all_cold (struct search *search, struct fleet_model *m)
{
  struct fleet_service *v = m->service;

  if (!search->admission->window_open)
    return;
  if (!cold_any_allowed (search->admission))
    {
      try_cold_set (search, &v->cold.servers);
      return;
    }
  if (m->replica_need.need == NEED_SPARE_ROOM
      || plan_cached_load_elsewhere (NULL, m)
      || search->now_ms < m->cold_searched_ms + PLAN_COLD_SEARCH_MS)
    {
      try_cold_with_free_memory (search, m);
      return;
    }
  try_cold_set (search, &v->servers);
  if (!search->found)
    m->cold_searched_ms = search->now_ms;
}

bool
plan_best_step (struct fleet *f, struct fleet_model *m,
                const struct cold_admission *admission, uint64_t now,
                struct step *out)
{
  struct search search
      = { .fleet = f, .model = m, .admission = admission, .now_ms = now };

  for (size_t i = 0; i < m->copy_count; i++)
    try_server (&search, m->copies[i].server, m->copies[i].where);
  try_all_cold (&search, m);
  *out = search.best;
  return search.found;
}
