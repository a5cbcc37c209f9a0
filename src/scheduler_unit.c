#include "scheduler_impl.h"

#include <errno.h>
#include <stdlib.h>

#include "clock.h"
#include "err.h"
#include "log.h"
#include "membership.h"
#include "metrics.h"
#include "settings.h"

#define LOG_MODULE "scheduler"
#define QUEUE_MAX 1024
/* An entry starts an attempt immediately. A grant older than this was delayed
   in transit, and its slot may soon be granted to another request. */
#define GRANT_USE_MS 2000
/* Time after which an attempt without a release is assumed to have ended. */
#define GRANT_HOLD_MS (10 * 60 * 1000)
#define SUSPECT_NOTICE_TTL_MS (10 * 60 * 1000)

static struct str
unit_id (struct str service, struct str model, struct str version)
{
  return str_printf (STR_FMT "\n" STR_FMT "\n" STR_FMT, STR_ARG (service),
                     STR_ARG (model), STR_ARG (version));
}

struct unit *
unit_find (const struct scheduler *s, struct str service, struct str model,
           struct str version)
{
  struct str id = unit_id (service, model, version);
  struct unit *u;

  HASH_FIND (hh, s->units, id.data, id.len, u);
  str_free (&id);
  return u;
}

/* The load time in the lists is that of a load from remote storage. It is not
   used as an estimate, because requests would be refused that a cached
   checkpoint can serve in time; placement answers WAKE_TOO_LATE if a load
   takes too long. */
static struct sched_config
config_of (const struct scheduler *s, const struct unit *u)
{
  const struct lists *lists = kernel_latest (s->kernel, TOPIC_LISTS);
  const struct model *m
      = lists ? lists_model (lists, u->model, u->version) : NULL;

  return (struct sched_config){
    .queue_max = QUEUE_MAX,
    .grant_use_ms = GRANT_USE_MS,
    .grant_hold_ms = GRANT_HOLD_MS,
    .slots = m ? m->slots : 0,
    .replicas_max = m ? m->max_replicas : 0,
    .plain = u->plain,
    .lock = !u->plain,
  };
}

void
unit_configure (struct scheduler *s, struct unit *u)
{
  const struct sched_config config = config_of (s, u);

  sched_configure (u->sched, &config);
}

struct unit *
unit_get (struct scheduler *s, const struct grant_args *args)
{
  const struct str service = STR_TEXT (args->service);
  const struct str model = STR_TEXT (args->model);
  const struct str version = STR_TEXT (args->model_version);
  struct unit *u = unit_find (s, service, model, version);

  if (u)
    return u;
  u = xcalloc (1, sizeof *u);
  u->id = unit_id (service, model, version);
  u->key = sched_key_make (s, service, model).key;
  u->service = str_dup (service);
  u->model = str_dup (model);
  u->version = str_dup (version);
  u->plain = model.len == 0;
  u->grants_locks = u->plain && str_eq (version, LOCK_VERSION);
  u->epoch = ++s->last_epoch;
  u->owned = true;
  const struct sched_config config = config_of (s, u);
  u->sched = sched_create (&sched_real, &config, s->crash, clock_ms ());
  HASH_ADD_KEYPTR (hh, s->units, u->id.data, u->id.len, u);
  unit_refresh (s, u);
  return u;
}

void
unit_destroy (struct scheduler *s, struct unit *u)
{
  struct grant_call *c;
  struct grant_call *next;

  HASH_ITER (hh, s->grant_calls, c, next)
  {
    if (c->unit == u)
      grant_call_free (s, c);
  }
  HASH_DEL (s->units, u);
  sched_destroy (u->sched);
  str_free (&u->id);
  str_free (&u->key);
  str_free (&u->service);
  str_free (&u->model);
  str_free (&u->version);
  free (u);
}

void
grant_call_free (struct scheduler *s, struct grant_call *c)
{
  HASH_DELETE (hh, s->grant_calls, c);
  if (c->key.grant)
    HASH_DELETE (by_grant, s->calls_by_grant, c);
  str_free (&c->id);
  str_free (&c->request_id);
  str_free (&c->customer);
  str_free (&c->class_name);
  free (c);
}

/* ---- targets from the host list ---- */

static void
refresh_plain_targets (struct unit *u, const struct host_view *hosts)
{
  struct sched_target *list = xcalloc (hosts->count + 1, sizeof *list);
  size_t n = 0;

  for (size_t i = 0; i < hosts->count; i++)
    {
      const struct host *h = &hosts->hosts[i];

      if (str_eq (h->service, u->service))
        list[n++] = (struct sched_target){ .target = h->addr,
                                           .domain = h->domain,
                                           .slots = u->grants_locks,
                                           .leaving = h->leaving };
    }
  sched_targets (u->sched, list, n, clock_ms ());
  for (size_t i = 0; i < n && u->grants_locks; i++)
    sched_adapter_targets (u->sched, list[i].target, &list[i], 1, clock_ms ());
  free (list);
}

void
unit_refresh (struct scheduler *s, struct unit *u)
{
  const struct host_view *hosts = kernel_latest (s->kernel, TOPIC_HOSTS);

  if (!hosts)
    return;
  if (u->plain)
    refresh_plain_targets (u, hosts);
  for (size_t i = 0; i < hosts->count; i++)
    if (hosts->hosts[i].leaving
        && str_eq (hosts->hosts[i].service, u->service))
      sched_target_leaving (u->sched, hosts->hosts[i].addr, clock_ms ());
}

/* ---- actions ---- */

static const char *
refusal_reason (grant_code code)
{
  static const char *const names[]
      = { "ok",          "deadline",     "queue-full",  "no-capacity",
          "quarantined", "retry-budget", "unavailable", "draining" };

  return (size_t)code < sizeof names / sizeof *names ? names[code] : "other";
}

static struct str
customer_labels (const struct grant_call *c)
{
  return str_printf ("customer=\"" STR_FMT "\",class=\"" STR_FMT "\"",
                     STR_ARG (c->customer), STR_ARG (c->class_name));
}

static void
count_grant (const struct grant_call *c, uint32_t wait_ms)
{
  if (c->unit->grants_locks)
    return;
  struct str labels = customer_labels (c);

  metrics_observe ("galenagate_grant_wait_ms", labels, wait_ms);
  str_free (&labels);
  if (!c->cold)
    return;
  labels = str_printf ("service=\"" STR_FMT "\",class=\"" STR_FMT "\"",
                       STR_ARG (c->unit->service), STR_ARG (c->class_name));
  metrics_observe ("galenagate_cold_start_ms", labels, wait_ms);
  str_free (&labels);
}

static void
count_refusal (const struct grant_call *c, grant_code code)
{
  if (c->unit->grants_locks)
    return;
  struct str labels = str_printf (
      "customer=\"" STR_FMT "\",class=\"" STR_FMT "\",reason=\"%s\"",
      STR_ARG (c->customer), STR_ARG (c->class_name), refusal_reason (code));

  metrics_add ("galenagate_grant_refusals_total", labels, 1);
  str_free (&labels);
}

/* Releases a grant whose caller's connection has closed: the entry repeats the
   request over a new connection, or has given up. */
static void
withdraw_grant (struct scheduler *s, struct grant_call *c, uint64_t grant)
{
  static const struct sched_result unused = { .outcome = ATTEMPT_UNUSED };
  struct unit *u = c->unit;

  bus_fail (c->req, -ECANCELED, (struct str){ 0 });
  grant_call_free (s, c);
  sched_release (u->sched, grant, &unused, clock_ms ());
}

/* The attempt id is "ADDR-INSTANCE-EPOCH-GRANT". It identifies the granting
   scheduler, to which the release is sent. */
static void
reply_granted (struct scheduler *s, struct grant_call *c,
               const struct sched_action *a)
{
  const struct str self = kernel_settings (s->kernel)->bus_addr;
  struct str id
      = str_printf (STR_FMT "-%lx-%lu-%lu", STR_ARG (self),
                    kernel_instance (s->kernel), c->unit->epoch, a->grant);
  const struct grant_res res = {
    .code = GRANT_OK,
    .target = TEXT_STR (a->target),
    .attempt_id = TEXT_STR (id),
    .fence = a->fence,
    .expires_ms = a->expires_ms,
  };

  if (bus_caller_disconnected (c->req))
    {
      withdraw_grant (s, c, a->grant);
      str_free (&id);
      return;
    }
  c->key = (struct grant_key){ c->unit->epoch, a->grant };
  c->granted_ms = clock_ms ();
  HASH_ADD (by_grant, s->calls_by_grant, key, sizeof c->key, c);
  count_grant (c, a->wait_ms);
  bus_reply (c->req, &res);
  c->req = NULL;
  str_free (&id);
}

/* Redirects the caller to the current owner, or lets it call again if this
   node was only paused. Returns false if no node schedules the request. */
static bool
redirect_to_owner (struct scheduler *s, struct grant_call *c)
{
  struct sched_key key = sched_key_make (s, c->unit->service, c->unit->model);
  const struct member_info *owner = scheduler_owner (s, &key);
  const struct str self = kernel_settings (s->kernel)->bus_addr;
  const bool other = owner && !str_eq (owner->addr, self);
  const bool paused = c->unit->owned && !s->draining;

  if (other || paused)
    bus_fail (c->req, -ESTALE, other ? owner->addr : (struct str){ 0 });
  str_free (&key.key);
  return other || paused;
}

static void
reply_refused (struct scheduler *s, struct grant_call *c,
               const struct sched_action *a)
{
  const struct grant_res res = {
    .code = a->code,
    .retry_after_ms = a->retry_after_ms,
    .detail = TEXT_STR (str_from (a->detail)),
  };

  if (a->code != GRANT_DRAINING || !redirect_to_owner (s, c))
    {
      count_refusal (c, a->code);
      LOG_INFO ("grant-refused",
                "request=" STR_FMT " customer=" STR_FMT " class=" STR_FMT
                " model=" STR_FMT " reason=%s wait_ms=%u",
                STR_ARG (c->request_id), STR_ARG (c->customer),
                STR_ARG (c->class_name), STR_ARG (c->unit->model),
                refusal_reason (a->code), a->wait_ms);
      bus_reply (c->req, &res);
    }
  grant_call_free (s, c);
}

/* Sends a notice to all nodes. Its value contains the address of the sender,
   which ignores its own notices. */
static void
publish_crash_notice (struct scheduler *s, struct unit *u,
                      const struct sched_action *a)
{
  const struct str self = kernel_settings (s->kernel)->bus_addr;
  const bool quarantine = a->kind == SCHED_QUARANTINE;
  const char *state = a->kind == SCHED_CLEARED ? "cleared" : "crashed";
  struct str key = str_printf ("%016lx", a->fingerprint);
  struct str value = str_printf ("%s " STR_FMT, state, STR_ARG (self));
  const struct notice notice = {
    .kind = quarantine ? NOTICE_QUARANTINE : NOTICE_CRASH_SUSPECT,
    .key = TEXT_STR (key),
    .value = TEXT_STR (value),
    .number = clock_wall_ms (),
    .ttl_ms = quarantine ? CRASH_QUARANTINE_MS : SUSPECT_NOTICE_TTL_MS,
  };

  LOG_WARN (quarantine ? "quarantine" : "crash-suspect",
            "fingerprint=" STR_FMT " state=%s service=" STR_FMT
            " model=" STR_FMT " target=" STR_FMT,
            STR_ARG (key), state, STR_ARG (u->service), STR_ARG (u->model),
            STR_ARG (a->target));
  membership_broadcast_notice (membership_get (s->kernel), &notice);
  str_free (&key);
  str_free (&value);
}

/* The death of a server also ends the replicas of other models on it. */
static void
propagate_target_loss (struct scheduler *s, struct unit *u,
                       const struct sched_action *a)
{
  LOG_WARN ("target-lost", "target=" STR_FMT " instance=%lu service=" STR_FMT,
            STR_ARG (a->target), a->fence, STR_ARG (u->service));
  for (struct unit *other = s->units; other; other = other->hh.next)
    {
      if (other == u || !str_eq (other->service, u->service))
        continue;
      sched_target_lost (other->sched, a->target, a->fence, a->grant,
                         clock_ms ());
      unit_run_actions (s, other);
    }
}

static void
perform_action (struct scheduler *s, struct unit *u,
                const struct sched_action *a)
{
  switch (a->kind)
    {
    case SCHED_GRANT:
      reply_granted (s, a->ctx, a);
      break;
    case SCHED_REFUSE:
      reply_refused (s, a->ctx, a);
      break;
    case SCHED_WAKE:
      unit_wake (s, u, a);
      break;
    case SCHED_TARGET_LOST:
      propagate_target_loss (s, u, a);
      break;
    case SCHED_LOCK:
      unit_request_lock (s, u, a->target);
      break;
    case SCHED_UNLOCK:
      unit_return_lock (s, u, a->target);
      break;
    case SCHED_SUSPECT:
    case SCHED_QUARANTINE:
    case SCHED_CLEARED:
      publish_crash_notice (s, u, a);
      break;
    }
}

void
unit_run_actions (struct scheduler *s, struct unit *u)
{
  struct sched_action a;

  while (sched_next (u->sched, &a))
    perform_action (s, u, &a);
  update_fast_timer (s);
}
