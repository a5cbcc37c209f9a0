#include "sched.h"

#include <stdlib.h>
#include <string.h>

#include "err.h"
#include "sched_impl.h"

/* A target that said "not loaded" is not used again before placement's next
   report but one. */
#define UNLOADED_DISTRUST_MS 2000
#define EXPIRY_CHECK_MS 1000
#define RETRY_AFTER_MS 1000
#define DRAINING                                                              \
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
  action_free (s->taken);
  s->taken = s->actions;
  if (!s->taken)
    return false;
  LL_DELETE (s->actions, s->taken);
  *out = s->taken->action;
  return true;
}

struct need *
need_get (struct sched *s, struct str name)
{
  struct need *need;

  HASH_FIND (hh, s->needs, name.len ? name.data : "", name.len, need);
  if (need)
    return need;
  need = xcalloc (1, sizeof *need);
  need->name = str_dup (name);
  HASH_ADD_KEYPTR (hh, s->needs, need->name.data, name.len, need);
  return need;
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
  s->model = need_get (s, STR (""));
  s->model->used_ms = now_ms;
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
  struct need *need;
  struct need *need_next;
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
  HASH_ITER (hh, s->needs, need, need_next)
  {
    HASH_DEL (s->needs, need);
    str_free (&need->name);
    free (need);
  }
  while (sched_next (s, &a))
    ;
  free (s);
}

static void
touch_need (struct sched *s, struct need *need, uint64_t now_ms)
{
  need->used_ms = now_ms;
  s->model->used_ms = now_ms;
}

/* ---- grants ---- */

static void
grant (struct sched *s, struct waiter *w, size_t index, bool alone,
       uint64_t now_ms)
{
  struct replica_slot *r = &s->replicas[index];
  struct grant *g = xcalloc (1, sizeof *g);
  struct sched_action *a = action_add (s, SCHED_GRANT, r->target);

  *g = (struct grant){
    .id = ++s->next_grant,
    .target = str_dup (r->target),
    .target_hash = r->hash,
    .instance = r->instance,
    .entry = str_dup (w->entry),
    .need = w->need,
    .replica = index,
    .fingerprint = w->fingerprint,
    .until_ms = now_ms + s->config.hold_ms,
    .alone = alone,
  };
  HASH_ADD (hh, s->grants, id, sizeof g->id, g);
  a->ctx = w->ctx;
  a->grant = g->id;
  a->fence = r->fence;
  a->expires_ms = s->config.use_ms;
  a->wait_ms = (uint32_t)(now_ms - w->submitted_ms);
  r->in_flight++;
  w->need->in_flight++;
  crash_begin (s->crash, w->fingerprint, r->hash, now_ms);
  /* From here on the reservation belongs to the grant. */
  if (alone)
    {
      w->reserved = NO_REPLICA;
      r->reserved = false;
      r->alone = true;
    }
  waiter_remove (s, w);
}

/* Grants a waiting request if a replica may take it now. */
static bool
try_grant (struct sched *s, struct waiter *w, uint64_t now_ms)
{
  const struct crash_verdict v
      = crash_check (s->crash, w->fingerprint, now_ms);
  size_t i = NO_REPLICA;

  if (v.rule == CRASH_ALONE)
    i = reserve (s, w);
  else if (v.rule == CRASH_HERE)
    i = s->policy->choose (s, w, v.target);
  else if (v.rule == CRASH_ANYWHERE)
    i = s->policy->choose (s, w, 0);
  if (i == NO_REPLICA
      || (v.rule == CRASH_ALONE && !ready_alone (s, &s->replicas[i])))
    return false;
  grant (s, w, i, v.rule == CRASH_ALONE, now_ms);
  return true;
}

static bool
any_free (const struct sched *s)
{
  for (size_t i = 0; i < s->replica_cap; i++)
    if (replica_open (&s->replicas[i]) && replica_free (&s->replicas[i]))
      return true;
  return false;
}

static void
dispatch (struct sched *s, uint64_t now_ms)
{
  bool free_slot = any_free (s);
  struct waiter *w;
  struct waiter *next;

  DL_FOREACH_SAFE (s->queue, w, next)
  {
    if (!free_slot && crash_marked (s->crash) == 0)
      return;
    if (try_grant (s, w, now_ms))
      free_slot = any_free (s);
  }
}

void
settle (struct sched *s, uint64_t now_ms)
{
  if (s->draining)
    return;
  dispatch (s, now_ms);
  if (!s->config.plain)
    wake_needs (s, now_ms);
}

/* ---- requests ---- */

static struct waiter *
waiter_make (struct sched *s, const struct sched_request *q, uint64_t now_ms)
{
  struct waiter *w = xcalloc (1, sizeof *w);

  *w = (struct waiter){
    .ctx = q->ctx,
    .entry = str_dup (q->entry),
    .need = need_get (s, q->adapter),
    .priority = q->priority,
    .deadline_ms = q->deadline_ms,
    .submitted_ms = now_ms,
    .fingerprint = q->fingerprint,
    .prefix_hash = q->prefix_hash,
    .reserved = NO_REPLICA,
  };
  for (size_t i = 0; i < q->excluded_count && i < EXCLUDED_MAX; i++)
    w->excluded[w->excluded_count++] = str_hash (q->excluded[i], 0);
  return w;
}

/* Refusals that need no look at the queue. */
static bool
refuse_at_door (struct sched *s, const struct sched_request *q,
                uint64_t now_ms)
{
  const struct crash_verdict v
      = crash_check (s->crash, q->fingerprint, now_ms);

  if (s->draining)
    {
      refuse (s, q->ctx, DRAINING);
      return true;
    }
  if (v.rule == CRASH_REFUSED)
    {
      refuse (s, q->ctx, quarantine_refusal (v.left_ms));
      return true;
    }
  if (q->attempt <= 1)
    {
      retry_first (&s->retry, now_ms);
      return false;
    }
  /* Repetitions after a crash are bounded by the quarantine instead: all the
     innocent requests of a crash come back at the same moment. */
  if (q->crash_seen || retry_take (&s->retry, now_ms))
    return false;
  refuse (s, q->ctx,
          (struct refusal){ .code = GRANT_RETRY_BUDGET,
                            .retry_after_ms = RETRY_AFTER_MS,
                            .detail = "too many repeated attempts" });
  return true;
}

void
sched_submit (struct sched *s, const struct sched_request *q, uint64_t now_ms)
{
  struct need *need = need_get (s, q->adapter);

  /* While a run is in flight its own release will tell whether it crashed;
     counting it here too would quarantine after one crash. */
  if (q->crash_seen && crash_running (s->crash, q->fingerprint) == 0)
    crash_merge (s->crash, q->fingerprint, 1, 0, now_ms);
  touch_need (s, need, now_ms);
  need->requests++;
  if (need != s->model)
    s->model->requests++;
  if (refuse_at_door (s, q, now_ms))
    return;
  enqueue (s, waiter_make (s, q, now_ms));
  review (s, now_ms);
  settle (s, now_ms);
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

/* ---- ends of grants ---- */

static void
record_times (struct sched *s, const struct sched_result *r, uint64_t now_ms)
{
  const uint32_t total_ms
      = r->total_ms > r->first_byte_ms ? r->total_ms : r->first_byte_ms;

  if (r->outcome != ATTEMPT_DONE)
    return;
  estimate_add (&s->first_byte, r->first_byte_ms);
  estimate_add (&s->total, total_ms);
  s->sampled_ms = now_ms;
}

/* The answer does not say whether the model or the adapter is missing. A
   grant for an adapter drops only that; if the model is gone, placement's
   next report or the next answer says so. */
static void
not_loaded (struct sched *s, const struct grant *g, uint64_t now_ms)
{
  if (g->replica == NO_REPLICA)
    return;
  struct replica_slot *r = &s->replicas[g->replica];

  if (g->need != s->model)
    {
      replica_drop_adapter (r, g->need);
      return;
    }
  replica_distrust (s, r, now_ms + UNLOADED_DISTRUST_MS);
  replica_remove (s, g->replica);
}

static void
target_died (struct sched *s, const struct grant *g, uint64_t now_ms)
{
  const uint64_t event = crash_event (s->crash);
  struct sched_action *a = action_add (s, SCHED_LOST, g->target);

  a->grant = event;
  a->fence = g->instance;
  grants_died (s, g->target_hash, g->instance, event, now_ms);
}

static void
follow_outcome (struct sched *s, const struct grant *g,
                attempt_outcome outcome, uint64_t now_ms)
{
  if (outcome == ATTEMPT_NOT_RUN || outcome == ATTEMPT_NOT_LOADED
      || outcome == ATTEMPT_LEAVING)
    retry_refund (&s->retry);
  if (outcome == ATTEMPT_NOT_LOADED)
    not_loaded (s, g, now_ms);
  if (outcome == ATTEMPT_LEAVING && g->replica != NO_REPLICA)
    s->replicas[g->replica].leaving = true;
  if (outcome == ATTEMPT_NOT_RUN && g->replica != NO_REPLICA)
    replica_not_run (&s->replicas[g->replica], now_ms);
  if (outcome == ATTEMPT_DONE && g->replica != NO_REPLICA)
    replica_done (&s->replicas[g->replica]);
  if (outcome == ATTEMPT_CRASHED && !g->died)
    target_died (s, g, now_ms);
}

static void
end_grant (struct sched *s, struct grant *g, bool completed, uint64_t now_ms)
{
  if (g->replica != NO_REPLICA)
    {
      struct replica_slot *r = &s->replicas[g->replica];

      r->in_flight--;
      if (g->alone)
        {
          r->alone = false;
          unreserve (s, r);
        }
    }
  g->need->in_flight--;
  touch_need (s, g->need, now_ms);
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
  record_times (s, result, now_ms);
  follow_outcome (s, g, result->outcome, now_ms);
  end_grant (s, g, result->outcome == ATTEMPT_DONE, now_ms);
  if (result->outcome == ATTEMPT_CRASHED)
    review (s, now_ms);
  settle (s, now_ms);
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
  settle (s, now_ms);
}

static void
expire_grants (struct sched *s, uint64_t now_ms)
{
  struct grant *g;
  struct grant *next;

  if (now_ms < s->expiry_check_ms)
    return;
  s->expiry_check_ms = now_ms + EXPIRY_CHECK_MS;
  HASH_ITER (hh, s->grants, g, next)
  {
    if (now_ms >= g->until_ms)
      end_grant (s, g, false, now_ms);
  }
}

void
sched_tick (struct sched *s, uint64_t now_ms)
{
  expire_grants (s, now_ms);
  replica_unpause (s, now_ms);
  if (s->waiting > 0)
    review (s, now_ms);
  settle (s, now_ms);
}

void
sched_drain (struct sched *s, uint64_t now_ms)
{
  s->draining = true;
  while (s->queue)
    refuse_waiter (s, s->queue, DRAINING, now_ms);
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
  return now_ms - s->model->used_ms;
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
  return capacity_of (s, s->model).replicas;
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

struct sched_load
sched_load (struct sched *s, struct str adapter)
{
  struct need *need = need_get (s, adapter);
  const bool all = need == s->model;
  const struct sched_load load = {
    .in_flight = all ? HASH_COUNT (s->grants) : need->in_flight,
    .queued = all ? (uint32_t)s->waiting : need->queued,
    .requests = need->requests,
    .used_ms = need->used_ms,
  };

  need->requests = 0;
  return load;
}

size_t
sched_adapters (const struct sched *s, uint64_t recent_ms, uint64_t now_ms,
                struct str *out, size_t max)
{
  size_t n = 0;

  for (const struct need *need = s->needs; need && n < max;
       need = need->hh.next)
    if (need != s->model
        && (need->in_flight + need->queued > 0
            || now_ms - need->used_ms < recent_ms))
      out[n++] = need->name;
  return n;
}
