#include "fleetsim.h"

#include <stdio.h>
#include <string.h>

#include <jansson.h>

#include "platform/routingcodec.h"
#include "random.h"

uint32_t
sim_random (struct sim *m, uint32_t below)
{
  return (uint32_t)(random_next (&m->random) % below);
}

/* ---- servers ---- */

struct sim_replica *
sim_find_replica (struct sim_server *s, const char *model)
{
  for (int i = 0; i < s->count; i++)
    if (strcmp (s->replicas[i].model, model) == 0)
      return &s->replicas[i];
  return NULL;
}

static bool
on_disk (const struct sim_server *s, const char *model)
{
  for (int i = 0; i < s->disk_count; i++)
    if (strcmp (s->on_disk[i], model) == 0)
      return true;
  return false;
}

static int
loaded_adapters (const struct sim_server *s)
{
  int n = 0;

  for (int i = 0; i < s->count; i++)
    n += s->replicas[i].adapter_count;
  return n;
}

static void
begin_load (struct sim *m, struct sim_server *s, const char *model)
{
  if ((s->count + 1) * MODEL_MB > SERVER_MB)
    m->violations++;
  s->busy = true;
  s->loading = true;
  snprintf (s->busy_model, sizeof s->busy_model, "%s", model);
  s->busy_until_ms = m->now + (on_disk (s, model) ? DISK_MS : LOAD_MS);
  if (!on_disk (s, model) && m->cold_count < 4096)
    m->cold_starts[m->cold_count++] = m->now;
}

static void
begin_unload (struct sim *m, struct sim_server *s, const char *model)
{
  s->busy = true;
  s->loading = false;
  snprintf (s->busy_model, sizeof s->busy_model, "%s", model);
  s->busy_until_ms = m->now + sim_random (m, 200);
}

static void
finish_order (struct sim *m, struct sim_server *s)
{
  if (!s->busy || m->now < s->busy_until_ms)
    return;
  s->busy = false;
  if (s->loading && s->count < HELD_MAX)
    {
      struct sim_replica *h = &s->replicas[s->count++];

      memset (h, 0, sizeof *h);
      snprintf (h->model, sizeof h->model, "%s", s->busy_model);
      if (!on_disk (s, s->busy_model))
        snprintf (s->on_disk[s->disk_count++], 16, "%s", s->busy_model);
      return;
    }
  struct sim_replica *h = sim_find_replica (s, s->busy_model);
  if (h)
    *h = s->replicas[--s->count];
}

static enum order_result
execute_adapter_order (struct sim *m, struct sim_server *s, const char *model,
                       const char *adapter, bool load)
{
  struct sim_replica *h = sim_find_replica (s, model);

  if (!h)
    return ORDER_REJECTED;
  s->order_count++;
  if (load)
    {
      if (loaded_adapters (s) >= ADAPTER_SLOTS)
        m->violations++;
      snprintf (h->adapters[h->adapter_count++], 16, "%s", adapter);
      return ORDER_ACCEPTED;
    }
  for (int i = 0; i < h->adapter_count; i++)
    if (strcmp (h->adapters[i], adapter) == 0)
      memcpy (h->adapters[i], h->adapters[--h->adapter_count], 16);
  return ORDER_HOLDS_ALREADY;
}

static enum order_result
execute_order (struct sim *m, struct sim_server *s,
               const struct delayed_order *l)
{
  const bool load = l->order.kind == ORDER_LOAD;

  if (s->started_ms != l->started_ms)
    return ORDER_OTHER_INSTANCE;
  if (l->order.fence < s->fence)
    return ORDER_FENCED;
  if (s->busy || l->order.order_count != s->order_count)
    return ORDER_CONFLICT;
  s->fence = l->order.fence;
  if (l->adapter[0])
    return execute_adapter_order (m, s, l->model, l->adapter, load);
  if (load == (sim_find_replica (s, l->model) != NULL))
    return ORDER_HOLDS_ALREADY;
  s->order_count++;
  if (load)
    begin_load (m, s, l->model);
  else
    begin_unload (m, s, l->model);
  return ORDER_ACCEPTED;
}

static void
send_entry (struct sim *m, int i)
{
  struct sim_server *s = &m->servers[i];
  const struct server_entry e = {
    .id = str_from (s->id),
    .service = STR ("lm"),
    .address = STR ("10.0.0.1:80"),
    .domain = i % 2 ? STR ("a") : STR ("b"),
    .state = SERVER_READY,
    .started_ms = s->started_ms,
    .slots = 8,
  };

  fleet_update_server (m->fleet, &e);
}

void
sim_restart (struct sim *m, int i)
{
  struct sim_server *s = &m->servers[i];

  s->started_ms = m->now + 1;
  s->order_count = 0;
  s->fence = 0;
  s->count = 0;
  s->busy = false;
  send_entry (m, i);
}

static void
send_report (struct sim *m, int i)
{
  struct sim_server *s = &m->servers[i];
  struct held_model models[HELD_MAX];
  struct str adapters[HELD_MAX][HELD_MAX];
  struct str disk[MODELS_MAX];
  struct server_report r = {
    .started_ms = s->started_ms,
    .order_count = s->order_count,
    .busy = s->busy,
    .models = models,
    .model_count = (size_t)s->count,
    .on_disk = { disk, (size_t)s->disk_count },
  };

  if (s->unreachable)
    {
      fleet_report (m->fleet, str_from (s->id), NULL, m->now);
      return;
    }
  for (int j = 0; j < s->count; j++)
    {
      for (int k = 0; k < s->replicas[j].adapter_count; k++)
        adapters[j][k] = str_from (s->replicas[j].adapters[k]);
      models[j]
          = (struct held_model){ str_from (s->replicas[j].model), adapters[j],
                                 (size_t)s->replicas[j].adapter_count };
    }
  for (int j = 0; j < s->disk_count; j++)
    disk[j] = str_from (s->on_disk[j]);
  fleet_report (m->fleet, str_from (s->id), sim_random (m, 20) ? &r : NULL,
                m->now);
}

/* ---- orders ---- */

static int
server_index (const struct sim *m, struct str id)
{
  for (int i = 0; i < SERVERS; i++)
    if (str_eq (str_from (m->servers[i].id), id))
      return i;
  return -1;
}

static void
send_order (struct sim *m, const struct fleet_server *to,
            const struct order *order)
{
  const int i = server_index (m, fleet_server_id (to));
  struct delayed_order l = { .server = i,
                             .at_ms = m->now + 1000 + sim_random (m, 8000),
                             .started_ms = m->servers[i].started_ms,
                             .order = *order };
  const struct str id = str_from (m->servers[i].id);

  snprintf (l.model, sizeof l.model, STR_FMT, STR_ARG (order->model));
  snprintf (l.adapter, sizeof l.adapter, STR_FMT, STR_ARG (order->adapter));
  l.order.fence = m->fence;
  if (m->servers[i].unreachable)
    {
      fleet_order_done (m->fleet, id, ORDER_NOT_SENT, m->now);
      return;
    }
  if (sim_random (m, 100) >= m->faults)
    {
      fleet_order_done (m->fleet, id, execute_order (m, &m->servers[i], &l),
                        m->now);
      return;
    }
  /* The answer is lost: the order is carried out now, later, or never. */
  const uint32_t outcome = sim_random (m, 3);
  if (outcome == 0)
    execute_order (m, &m->servers[i], &l);
  else if (outcome == 1 && m->delayed_count < DELAYED_MAX)
    m->delayed[m->delayed_count++] = l;
  fleet_order_done (m->fleet, id, ORDER_UNANSWERED, m->now);
}

static void
execute_delayed_orders (struct sim *m)
{
  for (size_t i = 0; i < m->delayed_count; i++)
    if (m->now >= m->delayed[i].at_ms)
      {
        const struct delayed_order l = m->delayed[i];

        m->delayed[i--] = m->delayed[--m->delayed_count];
        execute_order (m, &m->servers[l.server], &l);
      }
}

struct routing *
sim_routing (int model_count)
{
  struct routing *routing;
  json_t *models = json_array ();

  for (int i = 0; i < model_count; i++)
    {
      char name[16];

      snprintf (name, sizeof name, "m%d", i);
      json_array_append_new (
          models,
          json_pack ("{s:s, s:i, s:f, s:f, s:f, s:i, s:f}", "name", name,
                     "weights_mb", MODEL_MB, "load_s", LOAD_MS / 1000.0,
                     "warm_s", DISK_MS / 1000.0, "disk_s", DISK_MS / 1000.0,
                     "adapters", 4, "adapter_mb", 1.0));
    }
  json_t *json
      = json_pack ("{s:i, s:[], s:[{s:s, s:{s:i, s:i, s:i, s:i, s:o}}]}",
                   "version", 1, "routes", "services", "name", "lm", "engine",
                   "slots", 8, "weights_mb", SERVER_MB, "adapter_slots",
                   ADAPTER_SLOTS, "loads_per_s", COLD_PER_S, "models", models);
  routing = routing_decode (json);
  json_decref (json);
  return routing;
}

struct sim
sim_create_with (uint64_t seed, unsigned faults, int model_count)
{
  struct sim m = { .now = 100000,
                   .random = seed,
                   .fence = 1,
                   .faults = faults,
                   .next_order = fleet_next_order };

  m.routing = sim_routing (model_count);
  m.fleet = fleet_create ();
  fleet_set_routing (m.fleet, m.routing, 5000);
  fleet_begin_term (m.fleet, 0, m.now);
  for (int i = 0; i < SERVERS; i++)
    {
      snprintf (m.servers[i].id, sizeof m.servers[i].id, "i-%d", i);
      sim_restart (&m, i);
    }
  return m;
}

struct sim
sim_create (uint64_t seed, unsigned faults)
{
  return sim_create_with (seed, faults, MODELS);
}

void
sim_destroy (struct sim *m)
{
  fleet_destroy (m->fleet);
  routing_destroy (m->routing);
}

void
sim_add_demand (struct sim *m, const char *model, const char *adapter,
                uint32_t waiting)
{
  const struct node_demand w = { .service = STR ("lm"),
                                 .model = str_from (model),
                                 .adapter = str_from (adapter),
                                 .waiting = waiting,
                                 .arrivals = waiting };

  fleet_add_node_demand (m->fleet, STR ("node"), &w, m->now);
}

void
sim_tick (struct sim *m)
{
  struct fleet_server *s;
  struct order order;
  struct order_reason why;

  m->now += TICK_MS;
  for (int i = 0; i < SERVERS; i++)
    finish_order (m, &m->servers[i]);
  execute_delayed_orders (m);
  fleet_complete_orders (m->fleet, m->now);
  while ((s = fleet_next_report (m->fleet, m->now)))
    send_report (m, server_index (m, fleet_server_id (s)));
  while ((s = m->next_order (m->fleet, m->now, &order, &why)))
    send_order (m, s, &order);
}

bool
sim_holds (struct sim *m, const char *model, const char *adapter)
{
  for (int i = 0; i < SERVERS; i++)
    {
      struct sim_replica *h = sim_find_replica (&m->servers[i], model);

      for (int j = 0; h && adapter[0] && j < h->adapter_count; j++)
        if (strcmp (h->adapters[j], adapter) == 0)
          return true;
      if (h && !adapter[0])
        return true;
    }
  return false;
}

size_t
sim_max_cold_loads (const struct sim *m)
{
  size_t most = 0;

  for (size_t i = 0; i < m->cold_count; i++)
    {
      size_t n = 0;

      for (size_t j = i;
           j < m->cold_count && m->cold_starts[j] < m->cold_starts[i] + 5000;
           j++)
        n++;
      if (n > most)
        most = n;
    }
  return most;
}

int
sim_live_replicas (struct sim *m, const char *model)
{
  int n = 0;

  for (int i = 0; i < SERVERS; i++)
    if (!m->servers[i].unreachable && sim_find_replica (&m->servers[i], model))
      n++;
  return n;
}

void
sim_remove_server (struct sim *m, int i)
{
  fleet_remove_server (m->fleet, str_from (m->servers[i].id));
  m->servers[i].unreachable = true;
}

void
sim_fill_disks (struct sim *m, int model_count)
{
  for (int i = 1; i < SERVERS; i++)
    for (int j = 0; j < model_count; j++)
      snprintf (m->servers[i].on_disk[m->servers[i].disk_count++], 16, "m%d",
                j);
}
