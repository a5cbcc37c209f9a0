#include "edge/plan_impl.h"

/* Chooses the next order on a model: by urgency, the load on the server where
   the replica is ready soonest, or an eviction that this load requires. */

/* How long memory that is freed on a server stays reserved for the model. */
#define RESERVE_MS 3000
/* Number of models of a service for which one plan searches a step; the others
   can wait for the next plan. */
#define MODELS_TRIED 24

static const char *const weights_names[] = {
  [WEIGHTS_MEMORY] = "memory",
  [WEIGHTS_DISK] = "disk",
  [WEIGHTS_STORE] = "store",
};

static struct order_reason
make_reason (const struct step *step, const struct fleet_model *m,
             const struct replica_need *w, uint64_t now)
{
  return (struct order_reason){
    .need = plan_need_name (w->need),
    .weights = weights_names[step->weights],
    .for_model = m->name,
    .waiting = m->demand.waiting,
    .running = m->demand.running,
    .rate = fleet_rate (&m->demand, now),
    .replicas = w->have,
    .target = w->target,
  };
}

static void
to_planned (struct fleet *f, const struct step *step, struct fleet_model *m,
            const struct replica_need *w, uint64_t now,
            struct planned_order *out)
{
  struct fleet_server *s = step->server;
  const bool cold = step->weights == WEIGHTS_STORE;

  if (step->remove)
    {
      fleet_reserve (f, s, m, now + RESERVE_MS, cold);
      *out = (struct planned_order){ .server = s,
                                     .kind = ORDER_UNLOAD,
                                     .model = step->remove->ref,
                                     .duration_ms = UNLOAD_MS,
                                     .reason = make_reason (step, m, w, now) };
      return;
    }
  fleet_unreserve (f, s);
  *out = (struct planned_order){ .server = s,
                                 .kind = ORDER_LOAD,
                                 .model = m,
                                 .cold = cold,
                                 .spare = w->need == NEED_SPARE_ROOM,
                                 .duration_ms = step->duration_ms,
                                 .reason = make_reason (step, m, w, now) };
}

/* ---- reserved memory ---- */

/* Plans the step on a server with reserved memory. Drops the reservation if
   the model no longer needs the replica, for example because it got one
   elsewhere. */
static bool
reserved_step (struct fleet *f, struct fleet_server *s, uint64_t now,
               struct planned_order *out)
{
  struct fleet_model *m = s->reserved_for;
  const struct cold_admission admission
      = cold_admission (f, s->service, false, now);
  /* The reservation itself must not count as a replica. */
  const struct replica_need w = plan_model_need (m, s, now);
  struct step step;

  if (w.need == NEED_NONE || w.need == NEED_SPARE_ROOM)
    {
      fleet_unreserve (f, s);
      fleet_server_changed (f, s);
      return false;
    }
  if (!plan_step_on (f, s, m, &w, &admission, now, &step))
    return false;
  to_planned (f, &step, m, &w, now, out);
  return true;
}

/* Plans the steps on servers with reserved memory, which come before all
   others. Drops expired reservations. */
static bool
use_reserved (struct fleet *f, uint64_t now, struct planned_order *out)
{
  for (size_t i = 0; i < f->reserved.count;)
    {
      struct fleet_server *s = f->reserved.items[i];
      const size_t count = f->reserved.count;

      if (now >= s->reserved_until_ms)
        {
          fleet_unreserve (f, s);
          fleet_server_changed (f, s);
          continue;
        }
      if (fleet_is_idle (s, now) && reserved_step (f, s, now, out))
        return true;
      if (f->reserved.count == count)
        i++;
    }
  return false;
}

/* ---- models ---- */

/* Plans the most urgent step of a service that can be taken now. */
static bool
plan_service (struct fleet *f, struct fleet_service *v, uint64_t now,
              struct planned_order *out)
{
  const struct cold_admission spare = cold_admission (f, v, true, now);
  const struct cold_admission in_use = cold_admission (f, v, false, now);
  struct fleet_model *m = plan_most_urgent (v);
  struct step step;

  for (int i = 0; i < MODELS_TRIED && m; i++, m = plan_next_urgent (m))
    {
      const bool is_spare = m->replica_need.need == NEED_SPARE_ROOM;

      /* The best server may be busy with another order, for example if it has
         the weights cached. The model then waits for it rather than use
         another server. */
      if (!plan_best_step (f, m, is_spare ? &spare : &in_use, now, &step)
          || !fleet_is_idle (step.server, now))
        continue;
      to_planned (f, &step, m, &m->replica_need, now, out);
      return true;
    }
  return false;
}

bool
plan_models (struct fleet *f, uint64_t now, struct planned_order *out)
{
  if (!f->routing)
    return false;
  plan_refresh_needs (f, now);
  if (use_reserved (f, now, out))
    return true;
  plan_refresh_needs (f, now);
  for (size_t i = 0; i < f->routing->service_count; i++)
    {
      const struct service *s = &f->routing->services[i];

      if (s->engine
          && plan_service (f, fleet_service_get (f, s->name), now, out))
        return true;
    }
  return false;
}
