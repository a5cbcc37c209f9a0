#include "sched.h"

#include <stdlib.h>
#include <string.h>

#include "err.h"
#include "sched_impl.h"

/* After ATTEMPT_NOT_LOADED, reports of placement about the target are ignored
   for this long. The next report may still list the model; the target is used
   again with the one after it. */
#define UNLOADED_IGNORE_MS 2000
#define EXPIRY_CHECK_INTERVAL_MS 1000
#define RETRY_AFTER_MS 1000
#define DRAINING_REFUSAL                                                      \
  ((struct refusal){ .code = GRANT_DRAINING,                                  \
                     .detail = "the scheduler is leaving" })

struct sched_action *
action_add (struct sched *s, enum sched_action_kind kind, struct str text)
{
  struct action_node *node = xcalloc (1, sizeof *node);

  node->text = str_dup (text);
  node->action.kind = kind;
  if (kind == SCHED_WAKE)
    node->action.adapter = node->text;
  else
    node->action.target = node->text;
  LL_APPEND2 (s->actions, node, next);
  return &node->action;
}

static void
action_free (struct action_node *node)
{
  if (!node)
    return;
  str_free (&node->text);
  free (node);
}

bool
sched_next (struct sched *s, struct sched_action *out)
{
  action_free (s->returned_action);
  s->returned_action = s->actions;
  if (!s->returned_action)
    return false;
  LL_DELETE (s->actions, s->returned_action);
  *out = s->returned_action->action;
  return true;
}

struct variant *
variant_get (struct sched *s, struct str name)
{
  struct variant *variant;

  HASH_FIND (hh, s->variants, name.len ? name.data : "", name.len, variant);
  if (variant)
    return variant;
  variant = xcalloc (1, sizeof *variant);
  variant->name = str_dup (name);
  HASH_ADD_KEYPTR (hh, s->variants, variant->name.data, name.len, variant);
  return variant;
}

struct sched *
sched_create (const struct sched_policy *policy,
              const struct sched_config *config, struct crash *crash,
              uint64_t now_ms)
{
  struct sched *s = xcalloc (1, sizeof *s);

  s->policy = policy;
  s->config = *config;
  s->crash = crash;
  s->base = variant_get (s, STR (""));
  s->base->last_used_ms = now_ms;
  retry_init (&s->retry, now_ms);
  return s;
}

void
sched_configure (struct sched *s, const struct sched_config *config)
{
  s->config = *config;
}

static void
grant_free (struct sched *s, struct grant *g)
{
  HASH_DEL (s->grants, g);
  str_free (&g->target);
  str_free (&g->entry);
  free (g);
}

void
sched_destroy (struct sched *s)
{
  struct waiter *w;
  struct waiter *w_next;
  struct grant *g;
  struct grant *g_next;
  struct variant *variant;
  struct variant *variant_next;
  struct sched_action a;

  DL_FOREACH_SAFE (s->queue, w, w_next) { waiter_remove (s, w); }
  HASH_ITER (hh, s->grants, g, g_next)
  {
    crash_end (s->crash, g->fingerprint, false, 0);
    grant_free (s, g);
  }
  for (size_t i = 0; i < s->replica_cap; i++)
    if (s->replicas[i].used)
      replica_remove (s, i);
  free (s->replicas);
  HASH_ITER (hh, s->variants, variant, variant_next)
  {
    HASH_DEL (s->variants, variant);
    str_free (&variant->name);
    free (variant);
  }
  while (sched_next (s, &a))
    ;
  free (s);
}

static void
mark_variant_used (struct sched *s, struct variant *variant, uint64_t now_ms)
{
  variant->last_used_ms = now_ms;
  s->base->last_used_ms = now_ms;
}

/* ---- grants ---- */

static void
grant_request (struct sched *s, struct waiter *w, size_t index, bool alone,
               uint64_t now_ms)
{
  struct sched_replica *r = &s->replicas[index];
  struct grant *g = xcalloc (1, sizeof *g);
  struct sched_action *a = action_add (s, SCHED_GRANT, r->target);

  *g = (struct grant){
    .id = ++s->last_grant_id,
    .target = str_dup (r->target),
    .target_hash = r->target_hash,
    .instance = r->instance,
    .entry = str_dup (w->entry),
    .variant = w->variant,
    .replica = index,
    .fingerprint = w->fingerprint,
    .hold_until_ms = now_ms + s->config.grant_hold_ms,
    .suspect_run = alone,
  };
  HASH_ADD (hh, s->grants, id, sizeof g->id, g);
  a->ctx = w->ctx;
  a->grant = g->id;
  a->fence = r->fence;
  a->expires_ms = s->config.grant_use_ms;
  a->wait_ms = (uint32_t)(now_ms - w->submitted_ms);
  r->in_flight++;
  w->variant->in_flight++;
  crash_begin (s->crash, w->fingerprint, r->target_hash, now_ms);
  /* The grant takes over the reservation from the waiting request. */
  if (alone)
    {
      w->reserved_replica = NO_REPLICA;
      r->reserved = false;
      r->runs_suspect = true;
    }
  waiter_remove (s, w);
}

/* Grants a waiting request if a replica can take it now; returns true if it
   did. */
static bool
try_grant (struct sched *s, struct waiter *w, uint64_t now_ms)
{
  const struct crash_verdict v
      = crash_check (s->crash, w->fingerprint, now_ms);
  size_t i = NO_REPLICA;

  if (v.rule == CRASH_ISOLATED)
    i = reserve_replica (s, w);
  else if (v.rule == CRASH_SAME_TARGET)
    i = s->policy->choose_replica (s, w, v.target);
  else if (v.rule == CRASH_ANYWHERE)
    i = s->policy->choose_replica (s, w, 0);
  if (i == NO_REPLICA
      || (v.rule == CRASH_ISOLATED && !suspect_may_start (s, &s->replicas[i])))
    return false;
  grant_request (s, w, i, v.rule == CRASH_ISOLATED, now_ms);
  return true;
}

static bool
any_slot_free (const struct sched *s)
{
  for (size_t i = 0; i < s->replica_cap; i++)
    if (replica_available (&s->replicas[i])
        && replica_has_free_slot (&s->replicas[i]))
      return true;
  return false;
}

static void
dispatch_queue (struct sched *s, uint64_t now_ms)
{
  bool free_slot = any_slot_free (s);
  struct waiter *w;
  struct waiter *next;

  DL_FOREACH_SAFE (s->queue, w, next)
  {
    if (!free_slot && crash_marked_count (s->crash) == 0)
      return;
    if (try_grant (s, w, now_ms))
      free_slot = any_slot_free (s);
  }
}

void
dispatch_and_wake (struct sched *s, uint64_t now_ms)
{
  if (s->draining)
    return;
  dispatch_queue (s, now_ms);
  if (!s->config.plain)
    wake_variants (s, now_ms);
}

/* ---- requests ---- */

static struct waiter *
waiter_make (struct sched *s, const struct sched_request *q, uint64_t now_ms)
{
  struct waiter *w = xcalloc (1, sizeof *w);

  *w = (struct waiter){
    .ctx = q->ctx,
    .entry = str_dup (q->entry),
    .variant = variant_get (s, q->adapter),
    .priority = q->priority,
    .deadline_ms = q->deadline_ms,
    .submitted_ms = now_ms,
    .fingerprint = q->fingerprint,
    .prefix_hash = q->prefix_hash,
    .reserved_replica = NO_REPLICA,
  };
  for (size_t i = 0; i < q->excluded_count && i < EXCLUDED_MAX; i++)
    w->excluded[w->excluded_count++] = str_hash (q->excluded[i], 0);
  return w;
}

/* Refuses a new request for reasons that do not depend on the queue; returns
   true if it did. */
static bool
refuse_on_arrival (struct sched *s, const struct sched_request *q,
                   uint64_t now_ms)
{
  const struct crash_verdict v
      = crash_check (s->crash, q->fingerprint, now_ms);

  if (s->draining)
    {
      refuse_request (s, q->ctx, DRAINING_REFUSAL);
      return true;
    }
  if (v.rule == CRASH_QUARANTINED)
    {
      refuse_request (s, q->ctx, quarantine_refusal (v.quarantine_left_ms));
      return true;
    }
  if (q->attempt <= 1)
    {
      retry_add_first_attempt (&s->retry, now_ms);
      return false;
    }
  /* Retries after a crash are limited by the quarantine instead of the retry
     budget, because all innocent requests of the crash are retried at the same
     moment. */
  if (q->crash_seen || retry_take (&s->retry, now_ms))
    return false;
  refuse_request (s, q->ctx,
                  (struct refusal){ .code = GRANT_RETRY_BUDGET,
                                    .retry_after_ms = RETRY_AFTER_MS,
                                    .detail = "too many repeated attempts" });
  return true;
}

void
sched_submit (struct sched *s, const struct sched_request *q, uint64_t now_ms)
{
  struct variant *variant = variant_get (s, q->adapter);

  /* While an attempt with the fingerprint is in flight, its release reports
     the crash; counting it here too would quarantine after one crash. */
  if (q->crash_seen && crash_running (s->crash, q->fingerprint) == 0)
    crash_merge (s->crash, q->fingerprint, 1, 0, now_ms);
  mark_variant_used (s, variant, now_ms);
  variant->requests++;
  if (variant != s->base)
    s->base->requests++;
  if (refuse_on_arrival (s, q, now_ms))
    return;
  enqueue (s, waiter_make (s, q, now_ms));
  review_queue (s, now_ms);
  dispatch_and_wake (s, now_ms);
  if (s->waiting > s->config.queue_max)
    refuse_waiter (s, s->queue->prev,
                   (struct refusal){ .code = GRANT_QUEUE_FULL,
                                     .retry_after_ms = RETRY_AFTER_MS,
                                     .detail = "the queue is full" },
                   now_ms);
}

void
sched_cancel (struct sched *s, const void *ctx)
{
  struct waiter *w;
  struct waiter *next;

  DL_FOREACH_SAFE (s->queue, w, next)
  {
    if (w->ctx == ctx)
      waiter_remove (s, w);
  }
}

/* ---- release and expiry of grants ---- */

static void
record_run_times (struct sched *s, const struct sched_result *r,
                  uint64_t now_ms)
{
  const uint32_t total_ms
      = r->total_ms > r->first_byte_ms ? r->total_ms : r->first_byte_ms;

  if (r->outcome != ATTEMPT_DONE)
    return;
  estimate_add (&s->first_byte_time, r->first_byte_ms);
  estimate_add (&s->total_time, total_ms);
  s->last_completed_ms = now_ms;
}

/* The target does not report whether the model or the adapter is missing. For
   a grant with an adapter, only the adapter is dropped from the replica; if
   the model is gone too, the next report of placement or the next attempt
   shows it. */
static void
drop_unloaded (struct sched *s, const struct grant *g, uint64_t now_ms)
{
  if (g->replica == NO_REPLICA)
    return;
  struct sched_replica *r = &s->replicas[g->replica];

  if (g->variant != s->base)
    {
      replica_drop_adapter (r, g->variant);
      return;
    }
  replica_ignore_reports (s, r, now_ms + UNLOADED_IGNORE_MS);
  replica_remove (s, g->replica);
}

static void
report_target_death (struct sched *s, const struct grant *g, uint64_t now_ms)
{
  const uint64_t event = crash_next_death_id (s->crash);
  struct sched_action *a = action_add (s, SCHED_TARGET_LOST, g->target);

  a->grant = event;
  a->fence = g->instance;
  record_target_death (s, g->target_hash, g->instance, event, now_ms);
}

static void
apply_outcome (struct sched *s, const struct grant *g, attempt_outcome outcome,
               uint64_t now_ms)
{
  if (outcome == ATTEMPT_NOT_RUN || outcome == ATTEMPT_NOT_LOADED
      || outcome == ATTEMPT_LEAVING)
    retry_refund (&s->retry);
  if (outcome == ATTEMPT_NOT_LOADED)
    drop_unloaded (s, g, now_ms);
  if (outcome == ATTEMPT_LEAVING && g->replica != NO_REPLICA)
    s->replicas[g->replica].leaving = true;
  if (outcome == ATTEMPT_NOT_RUN && g->replica != NO_REPLICA)
    replica_throttle (&s->replicas[g->replica], now_ms);
  if (outcome == ATTEMPT_DONE && g->replica != NO_REPLICA)
    replica_completed (&s->replicas[g->replica]);
  if (outcome == ATTEMPT_CRASHED && !g->death_counted)
    report_target_death (s, g, now_ms);
}

static void
end_grant (struct sched *s, struct grant *g, bool completed, uint64_t now_ms)
{
  if (g->replica != NO_REPLICA)
    {
      struct sched_replica *r = &s->replicas[g->replica];

      r->in_flight--;
      if (g->suspect_run)
        {
          r->runs_suspect = false;
          release_reservation (s, r);
        }
    }
  g->variant->in_flight--;
  mark_variant_used (s, g->variant, now_ms);
  if (crash_end (s->crash, g->fingerprint, completed, now_ms))
    action_add (s, SCHED_CLEARED, g->target)->fingerprint = g->fingerprint;
  grant_free (s, g);
}

bool
sched_release (struct sched *s, uint64_t id, const struct sched_result *result,
               uint64_t now_ms)
{
  struct grant *g;

  HASH_FIND (hh, s->grants, &id, sizeof id, g);
  if (!g)
    return false;
  record_run_times (s, result, now_ms);
  apply_outcome (s, g, result->outcome, now_ms);
  end_grant (s, g, result->outcome == ATTEMPT_DONE, now_ms);
  if (result->outcome == ATTEMPT_CRASHED)
    review_queue (s, now_ms);
  dispatch_and_wake (s, now_ms);
  return true;
}

void
sched_entry_lost (struct sched *s, struct str entry, uint64_t now_ms)
{
  struct waiter *w;
  struct waiter *w_next;
  struct grant *g;
  struct grant *g_next;

  DL_FOREACH_SAFE (s->queue, w, w_next)
  {
    if (str_eq (w->entry, entry))
      refuse_waiter (s, w,
                     (struct refusal){ .code = GRANT_UNAVAILABLE,
                                       .detail = "the entry is gone" },
                     now_ms);
  }
  HASH_ITER (hh, s->grants, g, g_next)
  {
    if (str_eq (g->entry, entry))
      end_grant (s, g, false, now_ms);
  }
  dispatch_and_wake (s, now_ms);
}

static void
expire_grants (struct sched *s, uint64_t now_ms)
{
  struct grant *g;
  struct grant *next;

  if (now_ms < s->next_expiry_check_ms)
    return;
  s->next_expiry_check_ms = now_ms + EXPIRY_CHECK_INTERVAL_MS;
  HASH_ITER (hh, s->grants, g, next)
  {
    if (now_ms >= g->hold_until_ms)
      end_grant (s, g, false, now_ms);
  }
}

void
sched_tick (struct sched *s, uint64_t now_ms)
{
  expire_grants (s, now_ms);
  replicas_end_pauses (s, now_ms);
  if (s->waiting > 0)
    review_queue (s, now_ms);
  dispatch_and_wake (s, now_ms);
}

void
sched_drain (struct sched *s, uint64_t now_ms)
{
  s->draining = true;
  while (s->queue)
    refuse_waiter (s, s->queue, DRAINING_REFUSAL, now_ms);
}

void
sched_resume (struct sched *s)
{
  s->draining = false;
}

/* ---- queries ---- */

uint64_t
sched_idle_ms (const struct sched *s, uint64_t now_ms)
{
  return now_ms - s->base->last_used_ms;
}

size_t
sched_waiting (const struct sched *s)
{
  return s->waiting;
}

size_t
sched_in_flight (const struct sched *s)
{
  return HASH_COUNT (s->grants);
}

size_t
sched_target_count (const struct sched *s)
{
  return capacity_of (s, s->base).replicas;
}

uint32_t
sched_target_in_flight (const struct sched *s, struct str target)
{
  const uint64_t hash = str_hash (target, 0);
  uint32_t n = 0;

  for (const struct grant *g = s->grants; g; g = g->hh.next)
    n += g->target_hash == hash;
  return n;
}

struct sched_demand
sched_take_demand (struct sched *s, struct str adapter)
{
  struct variant *variant = variant_get (s, adapter);
  const bool all = variant == s->base;
  const struct sched_demand load = {
    .in_flight = all ? HASH_COUNT (s->grants) : variant->in_flight,
    .queued = all ? (uint32_t)s->waiting : variant->queued,
    .requests = variant->requests,
    .last_used_ms = variant->last_used_ms,
  };

  variant->requests = 0;
  return load;
}

size_t
sched_adapters (const struct sched *s, uint64_t recent_ms, uint64_t now_ms,
                struct str *out, size_t max)
{
  size_t n = 0;

  for (const struct variant *variant = s->variants; variant && n < max;
       variant = variant->hh.next)
    if (variant != s->base
        && (variant->in_flight + variant->queued > 0
            || now_ms - variant->last_used_ms < recent_ms))
      out[n++] = variant->name;
  return n;
}
