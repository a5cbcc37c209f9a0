#include "placement_impl.h"

#include <errno.h>
#include <stdlib.h>

#include "clock.h"
#include "err.h"
#include "lease.h"
#include "log.h"
#include "metrics.h"

#define LOG_MODULE "placement"
#define REPLICAS_MAX 64
#define USAGE_MAX 512
#define WAKES_MAX 4096

/* Returns true if a replica on a server can be reported to callers. An adapter
   also needs its model loaded there. */
static bool
is_available (const struct place_service *s,
              const struct ledger_server *server,
              const struct replica_key *key)
{
  const struct place_target *t = place_target (s, server->addr);
  const struct replica_key model
      = { .model = key->model, .version = key->version };
  const struct ledger_entry *m = ledger_find_entry (server, &model);
  const struct ledger_entry *a
      = key->adapter.len > 0 ? ledger_find_entry (server, key) : m;

  return server->status_known && !ledger_server_leaving (server) && t
         && t->refused_since_ms == 0 && !t->poll_timed_out && m && a
         && m->state == LEDGER_LOADED && a->state == LEDGER_LOADED;
}

size_t
place_available_replicas (const struct place_service *s,
                          const struct replica_key *key)
{
  size_t n = 0;

  for (size_t i = 0; i < s->ledger->server_count; i++)
    n += is_available (s, s->ledger->servers[i], key);
  return n;
}

/* Returns the available replicas, at most REPLICAS_MAX. The caller frees the
   array; the strings are borrowed from the ledger. */
static replica *
list_replicas (const struct place_service *s, const struct replica_key *key,
               u_int *count)
{
  const struct model *m = place_model (s, key);
  replica *out = xcalloc (REPLICAS_MAX, sizeof *out);

  *count = 0;
  for (size_t i = 0; i < s->ledger->server_count && *count < REPLICAS_MAX; i++)
    {
      const struct ledger_server *server = s->ledger->servers[i];

      if (!is_available (s, server, key))
        continue;
      out[(*count)++] = (replica){
        .target = TEXT_STR (server->addr),
        .domain = TEXT_STR (server->domain),
        .fence = s->ledger->fence,
        .target_instance = server->instance,
        .slots = m ? m->slots : server->slots,
      };
    }
  return out;
}

static const char *const code_names[] = {
  [WAKE_LOADED] = "loaded", [WAKE_NO_MEMORY] = "no-memory",
  [WAKE_LIMIT] = "limit",   [WAKE_TOO_LATE] = "too-late",
  [WAKE_FAILED] = "failed", [WAKE_UNKNOWN_MODEL] = "unknown-model",
};

static void
answer_wake (struct place_service *s, struct bus_request *req,
             const struct policy_load_request *load, enum wake_code code,
             uint32_t eta_ms, const char *detail)
{
  wake_res res = { .code = code,
                   .eta_ms = eta_ms,
                   .detail = TEXT_STR (str_from (detail)) };

  if (s->ledger)
    res.replicas.replicas_val
        = list_replicas (s, &load->key, &res.replicas.replicas_len);
  LOG_INFO ("wake-answer",
            "service=" STR_FMT " model=" STR_FMT " adapter=" STR_FMT
            " code=%s replicas=%u waited_ms=%lu reason=%s",
            STR_ARG (s->name), STR_ARG (load->key.model),
            STR_ARG (load->key.adapter), code_names[code],
            res.replicas.replicas_len, clock_ms () - load->requested_ms,
            detail);
  bus_reply (req, &res);
  free (res.replicas.replicas_val);
}

static void
wake_free (struct place_service *s, struct place_wake *w)
{
  DL_DELETE (s->wakes, w);
  replica_key_free (&w->load.key);
  free (w);
}

static void
finish_wake (struct place_service *s, struct place_wake *w,
             enum wake_code code, uint32_t eta_ms, const char *detail)
{
  answer_wake (s, w->req, &w->load, code, eta_ms, detail);
  wake_free (s, w);
}

void
place_refuse_wakes (struct place_service *s, const struct replica_key *key,
                    enum wake_code code, uint32_t eta_ms, const char *detail)
{
  struct place_wake *w;
  struct place_wake *next;

  DL_FOREACH_SAFE (s->wakes, w, next)
  if (replica_key_eq (&w->load.key, key))
    finish_wake (s, w, code, eta_ms, detail);
}

void
place_refuse_late_wakes (struct place_service *s,
                         const struct replica_key *key, uint64_t ready_ms,
                         uint64_t now)
{
  struct place_wake *w;
  struct place_wake *next;

  DL_FOREACH_SAFE (s->wakes, w, next)
  if (replica_key_eq (&w->load.key, key) && ready_ms > w->load.deadline_ms)
    finish_wake (s, w, WAKE_TOO_LATE, (uint32_t)(ready_ms - now),
                 "load-estimate");
}

void
place_fail_wakes (struct place_service *s, int err)
{
  const struct str holder
      = lease_holder (lease_get (s->kernel), s->lease_name);

  while (s->wakes)
    {
      bus_fail (s->wakes->req, err, holder);
      wake_free (s, s->wakes);
    }
}

void
place_answer_wakes (struct place_service *s)
{
  const uint64_t now = clock_ms ();
  struct place_wake *w;
  struct place_wake *next;

  DL_FOREACH_SAFE (s->wakes, w, next)
  {
    if (place_serving (s)
        && place_available_replicas (s, &w->load.key) >= w->min_available)
      finish_wake (s, w, WAKE_LOADED, 0, "loaded");
    else if (!s->lease_held)
      finish_wake (s, w, WAKE_FAILED, 0, "lease-expired");
    else if (now >= w->load.deadline_ms)
      finish_wake (s, w, w->load_failed ? WAKE_FAILED : WAKE_TOO_LATE, 0,
                   "deadline");
  }
}

/* Fills in the version, size and load estimate from the lists. Returns false
   if the model, version or adapter is not listed. */
static bool
resolve_load (const struct place_service *s, struct policy_load_request *load)
{
  const struct model *m = place_model (s, &load->key);

  if (!m
      || (load->key.version.len > 0
          && !str_eq (load->key.version, m->version)))
    return false;
  load->key.version = m->version;
  load->bytes = m->bytes;
  load->load_ms = m->load_ms;
  if (load->key.adapter.len == 0)
    return true;
  const struct adapter *a = lists_adapter (m, load->key.adapter);
  if (!a)
    return false;
  load->bytes = a->bytes;
  load->load_ms = 0;
  return true;
}

/* Usage. */

static struct str
usage_key (const struct replica_key *key)
{
  return str_printf (STR_FMT "/" STR_FMT, STR_ARG (key->model),
                     STR_ARG (key->adapter));
}

const struct place_usage *
place_usage (const struct place_service *s, const struct replica_key *key)
{
  struct str name = usage_key (key);
  struct place_usage *u;

  HASH_FIND (hh, s->usage, name.data, name.len, u);
  str_free (&name);
  return u;
}

static void
report_to_policy (struct place_service *s, const struct place_usage *u,
                  uint32_t requests, uint32_t idle_ms, uint64_t now)
{
  const struct model *m = place_model (s, &u->key);
  const struct policy_usage use = {
    .key = u->key,
    .in_flight = u->in_flight,
    .queued = u->queued,
    .requests = requests,
    .idle_ms = idle_ms,
    .slots = m ? m->slots : 1,
    .load_ms = m && u->key.adapter.len == 0 ? m->load_ms : 0,
  };

  s->policy->ops->add_usage_report (s->policy, &use, now);
}

static struct place_usage *
find_or_add_usage (struct place_service *s, const struct replica_key *key)
{
  struct place_usage *u = (struct place_usage *)place_usage (s, key);

  if (u)
    return u;
  u = xcalloc (1, sizeof *u);
  u->name = usage_key (key);
  u->key = replica_key_dup (key);
  HASH_ADD_KEYPTR (hh, s->usage, u->name.data, u->name.len, u);
  return u;
}

static void
record_usage (struct place_service *s, const struct replica_key *key,
              const struct usage_item *item, uint64_t now)
{
  struct place_usage *u = find_or_add_usage (s, key);

  u->in_flight = item->in_flight;
  u->queued = item->queued;
  u->reported_ms = now;
  report_to_policy (s, u, item->requests, item->idle_ms, now);
}

void
place_expire_usage (struct place_service *s, uint64_t now)
{
  for (struct place_usage *u = s->usage; u; u = u->hh.next)
    {
      if (now < u->reported_ms + PLACE_USAGE_VALID_MS
          || u->in_flight + u->queued == 0)
        continue;
      u->in_flight = 0;
      u->queued = 0;
      report_to_policy (s, u, 0, 0, now);
    }
}

void
place_usage_free (struct place_service *s)
{
  struct place_usage *u;
  struct place_usage *next;

  HASH_ITER (hh, s->usage, u, next)
  {
    HASH_DEL (s->usage, u);
    str_free (&u->name);
    replica_key_free (&u->key);
    free (u);
  }
}

/* Procedures. */

static size_t
count_wakes (const struct place_service *s)
{
  const struct place_wake *w;
  size_t n = 0;

  DL_COUNT (s->wakes, w, n);
  return n;
}

void
place_on_wake (struct place_service *s, struct bus_request *req,
               const struct wake_args *args)
{
  const uint64_t now = clock_ms ();
  struct policy_load_request load = {
    .key = { .model = STR_TEXT (args->model),
             .version = STR_TEXT (args->model_version),
             .adapter = STR_TEXT (args->adapter) },
    .priority = args->priority,
    .deadline_ms = now + args->deadline_ms,
    .requested_ms = now,
  };

  metrics_add ("galenagate_wakes_total", s->metric_labels, 1);
  if (!resolve_load (s, &load))
    {
      answer_wake (s, req, &load, WAKE_UNKNOWN_MODEL, 0, "not-listed");
      return;
    }
  if (!s->lease_held && place_available_replicas (s, &load.key) == 0)
    {
      bus_fail (req, -ESTALE, STR (""));
      return;
    }
  if (count_wakes (s) >= WAKES_MAX)
    {
      answer_wake (s, req, &load, WAKE_LIMIT, 1000, "too-many-callers");
      return;
    }
  struct place_wake *w = xcalloc (1, sizeof *w);
  w->req = req;
  w->load = load;
  w->load.key = replica_key_dup (&load.key);
  w->replicas_wanted = args->replicas_wanted > 0 ? args->replicas_wanted : 1;
  /* A caller that wants several replicas continues with the first new one. */
  w->min_available
      = place_serving (s) ? place_available_replicas (s, &load.key) + 1 : 1;
  if (w->min_available > w->replicas_wanted)
    w->min_available = w->replicas_wanted;
  DL_APPEND (s->wakes, w);
  place_stage_load_requested (s, &w->load.key, now);
  /* Until the scheduler reports its usage, enough requests count as queued to
     need the wanted replicas. */
  const struct model *m = place_model (s, &load.key);
  const struct usage_item item
      = { .queued = (w->replicas_wanted - 1) * m->slots + 1, .requests = 1 };
  record_usage (s, &w->load.key, &item, now);
  place_answer_wakes (s);
  place_decide (s);
}

void
place_on_usage (struct place_service *s, struct bus_request *req,
                const struct usage_args *args)
{
  const uint64_t now = clock_ms ();
  usage_item_res *items = xcalloc (USAGE_MAX, sizeof *items);
  usage_res res = { .items = { .items_val = items } };

  for (u_int i = 0; i < args->items.items_len && i < USAGE_MAX; i++)
    {
      const usage_item *item = &args->items.items_val[i];
      struct policy_load_request load
          = { .key = { .model = STR_TEXT (item->model),
                       .version = STR_TEXT (item->model_version),
                       .adapter = STR_TEXT (item->adapter) } };
      usage_item_res *out = &items[res.items.items_len++];

      out->model = item->model;
      out->model_version = item->model_version;
      if (!resolve_load (s, &load))
        continue;
      record_usage (s, &load.key, item, now);
      out->replicas.replicas_val
          = list_replicas (s, &load.key, &out->replicas.replicas_len);
    }
  bus_reply (req, &res);
  for (u_int i = 0; i < res.items.items_len; i++)
    free (items[i].replicas.replicas_val);
  free (items);
}
